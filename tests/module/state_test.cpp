// What a node saves, another takes over and acts alike.
#include <gtest/gtest.h>

#include <random>
#include <utility>

#include "node_harness.h"

namespace meadowslip {
namespace {

// Some seconds of service, the same for nodes that act the same: requests, outcomes of all kinds, client's
// leaving, lists and time.
class Service {
 public:
  explicit Service(uint64_t seed) : random_(seed) {}
  void Run(Bench& bench, int steps) {
    for (int i = 0; i < steps; ++i) Step(bench);
  }

 private:
  uint64_t Below(uint64_t n) { return random_() % n; }

  void Step(Bench& bench) {
    const uint64_t what = Below(100);
    if (what < 45) {
      bench.Request(static_cast<int>(Below(3)), static_cast<Micros>(200 + Below(1800)) * kMs,
                    static_cast<int>(Below(2)), Below(10) == 0, static_cast<Micros>(Below(50)) * kMs);
    } else if (what < 88) {
      Answer(bench);
    } else if (what < 91) {
      bench.ClientLeft(1 + Below(400));
    } else if (what < 93) {
      bench.Change(static_cast<BackendId>(1 + Below(12)), static_cast<BackendState>(Below(3)),
                   Below(2) == 0 ? bench.now : 0);
    } else if (what < 94) {
      bench.Ready({1, 2, 3, 4, 5, 6, static_cast<BackendId>(7 + Below(6))},
                  Below(4) == 0 ? ListKind::kFailed : ListKind::kFull);
    } else {
      bench.Probed(static_cast<BackendId>(1 + Below(7)), Below(4) > 0, {static_cast<float>(Below(9))});
    }
    bench.Pass(static_cast<Micros>(Below(12)) * kMs);
  }

  // The oldest attempt that was sent since and is still without a result, or one of the last of them.
  void Answer(Bench& bench) {
    for (; seen_ < bench.actions.size(); ++seen_) {
      const Action& a = bench.actions[seen_];
      if (a.act == Act::kSend) out_.push_back({a.id, attempts_[a.id]++});
    }
    if (out_.empty()) return;
    const size_t at = Below(4) == 0 ? out_.size() - 1 : 0;
    const auto [id, attempt] = out_[at];
    out_.erase(out_.begin() + static_cast<std::ptrdiff_t>(at));
    if (Below(5) == 0) return out_.push_back({id, attempt});  // far later than usual
    const Outcome outcome = Below(3) > 0 ? Outcome::kOk : static_cast<Outcome>(Below(8));
    bench.Result(id, attempt, outcome, false, std::vector<float>{static_cast<float>(Below(9))});
  }

  std::mt19937_64 random_;
  size_t seen_ = 0;
  std::vector<std::pair<RequestId, int>> out_;
  std::map<RequestId, int> attempts_;
};

bool Same(const Action& a, const Action& b) {
  return a.act == b.act && a.id == b.id && a.backend == b.backend && a.span == b.span && a.at == b.at;
}

std::vector<Settings> Kinds() {
  Settings plain = PlainSettings();
  plain.second_copies = plain.must_subscribe = true;
  plain.must_ask_within = 2 * kSecond;
  plain.tenants = {{40, 0.6, "a"}, {20, 0.4, "b"}};
  plain.over_share_worth = 0.1;
  plain.cross_zone_price = 2.5;
  Settings sparse = plain;
  sparse.nodes = 30;
  sparse.classes[0].late_share = 0.5;
  Settings probing = plain;
  probing.may_probe = true;
  probing.probe_price = 0.001;
  probing.report_mode = ReportMode::kProbes;
  probing.report_fields = {LoadField::kInFlight};
  return {plain, sparse, probing};
}

TEST(StateTest, ANodeThatTakesOverActsAlike) {
  int kind = 0;
  for (const Settings& settings : Kinds()) {
    SCOPED_TRACE(kind++);
    for (uint64_t seed = 1; seed <= 8; ++seed) {
      SCOPED_TRACE(seed);
      Bench one(settings, seed);
      Service first(seed);
      one.Ready({1, 2, 3, 4, 5, 6});
      first.Run(one, static_cast<int>(100 * seed));
      Bench two(settings, 999);  // another seed: the state holds the one that counts
      ASSERT_TRUE(two.TakeOver(one));
      EXPECT_EQ(two.Saved(), one.Saved());
      Service second = first;
      const size_t before = one.actions.size();
      two.actions = one.actions;
      first.Run(one, 1500);
      second.Run(two, 1500);
      ASSERT_EQ(one.actions.size(), two.actions.size());
      EXPECT_GT(one.actions.size(), before + 300);
      for (size_t i = before; i < one.actions.size(); ++i) {
        ASSERT_TRUE(Same(one.actions[i], two.actions[i])) << i;
      }
      EXPECT_EQ(two.Saved(), one.Saved());
    }
  }
}

TEST(StateTest, WhatIsNoStateIsRefused) {
  Bench one(PlainSettings());
  one.Ready({1, 2, 3});
  one.Traffic(20, 0, Outcome::kOk);
  one.Request();
  const std::string saved = one.Saved();
  EXPECT_TRUE(Bench(PlainSettings()).Load(saved));
  EXPECT_FALSE(Bench(PlainSettings()).Load(""));
  EXPECT_FALSE(Bench(PlainSettings()).Load(saved + "x"));
  for (size_t cut = 0; cut < saved.size(); cut += 7)
    EXPECT_FALSE(Bench(PlainSettings()).Load(saved.substr(0, cut)));
  for (size_t at = 0; at < saved.size(); at += 5) {
    std::string bent = saved;
    bent[at] = static_cast<char>(bent[at] ^ 0x41);
    EXPECT_FALSE(Bench(PlainSettings()).Load(bent)) << at;
  }
  Settings other = PlainSettings();
  other.classes.pop_back();
  EXPECT_FALSE(Bench(other).Load(saved));
}

// Guards against a state that is whole by its sum and yet can't have been saved: it may be refused or taken,
// but what follows must stay within bounds and end.
TEST(StateTest, ABentStateWithARightSumDoesNoHarm) {
  std::mt19937_64 random(5);
  for (const Settings& settings : Kinds()) {
    Bench one(settings, 3);
    one.Ready({1, 2, 3, 4, 5, 6});
    Service(3).Run(one, 600);
    const std::string saved = one.Saved();
    for (int i = 0; i < 150; ++i) {
      std::string bent = saved;
      const size_t body = bent.size() - 8;
      bent[2500 + random() % (body - 2500)] =
          static_cast<char>(random());  // behind the random numbers' state
      uint64_t sum = 14695981039346656037u;
      for (size_t k = 0; k < body; ++k) sum = (sum ^ static_cast<unsigned char>(bent[k])) * 1099511628211u;
      for (size_t k = 0; k < 8; ++k) bent[body + k] = static_cast<char>(sum >> 8 * k);
      Bench two(settings, 1);
      two.now = one.now;
      if (two.Load(bent)) Service(7).Run(two, 100);
    }
  }
}

}  // namespace
}  // namespace meadowslip
