// A node that loads the saved state of another acts identically.
#include <gtest/gtest.h>

#include <random>
#include <utility>

#include "node_harness.h"

namespace meadowslip {
namespace {

// Random traffic of some seconds, identical for nodes that act identically: requests, all kinds of outcomes,
// clients that leave, lists and time.
class RandomTraffic {
 public:
  explicit RandomTraffic(uint64_t seed) : random_(seed) {}
  void Run(NodeHarness& bench, int steps) {
    for (int i = 0; i < steps; ++i) Step(bench);
  }

 private:
  uint64_t Below(uint64_t n) { return random_() % n; }

  void Step(NodeHarness& bench) {
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
    bench.AdvanceTime(static_cast<Micros>(Below(12)) * kMs);
  }

  // Answers the oldest attempt in flight, or the most recent one.
  void Answer(NodeHarness& bench) {
    for (; seen_ < bench.actions.size(); ++seen_) {
      const Action& a = bench.actions[seen_];
      if (a.act == Act::kSend) in_flight_.push_back({a.id, attempts_[a.id]++});
    }
    if (in_flight_.empty()) return;
    const size_t at = Below(4) == 0 ? in_flight_.size() - 1 : 0;
    const auto [id, attempt] = in_flight_[at];
    in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(at));
    if (Below(5) == 0) return in_flight_.push_back({id, attempt});  // far later than usual
    const Outcome outcome = Below(3) > 0 ? Outcome::kOk : static_cast<Outcome>(Below(8));
    bench.Result(id, attempt, outcome, false, std::vector<float>{static_cast<float>(Below(9))});
  }

  std::mt19937_64 random_;
  size_t seen_ = 0;
  std::vector<std::pair<RequestId, int>> in_flight_;
  std::map<RequestId, int> attempts_;
};

bool Equal(const Action& a, const Action& b) {
  return a.act == b.act && a.id == b.id && a.backend == b.backend && a.duration == b.duration && a.at == b.at;
}

std::vector<Settings> SettingsVariants() {
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

TEST(StateTest, ARestoredNodeActsIdentically) {
  int kind = 0;
  for (const Settings& settings : SettingsVariants()) {
    SCOPED_TRACE(kind++);
    for (uint64_t seed = 1; seed <= 8; ++seed) {
      SCOPED_TRACE(seed);
      NodeHarness one(settings, seed);
      RandomTraffic first(seed);
      one.Ready({1, 2, 3, 4, 5, 6});
      first.Run(one, static_cast<int>(100 * seed));
      NodeHarness two(settings, 999);  // another seed: the saved state overrides it
      ASSERT_TRUE(two.TakeOver(one));
      EXPECT_EQ(two.Saved(), one.Saved());
      RandomTraffic second = first;
      const size_t before = one.actions.size();
      two.actions = one.actions;
      first.Run(one, 1500);
      second.Run(two, 1500);
      ASSERT_EQ(one.actions.size(), two.actions.size());
      EXPECT_GT(one.actions.size(), before + 300);
      for (size_t i = before; i < one.actions.size(); ++i) {
        ASSERT_TRUE(Equal(one.actions[i], two.actions[i])) << i;
      }
      EXPECT_EQ(two.Saved(), one.Saved());
    }
  }
}

TEST(StateTest, InvalidStatesAreRefused) {
  NodeHarness one(PlainSettings());
  one.Ready({1, 2, 3});
  one.Traffic(20, 0, Outcome::kOk);
  one.Request();
  const std::string saved = one.Saved();
  EXPECT_TRUE(NodeHarness(PlainSettings()).Load(saved));
  EXPECT_FALSE(NodeHarness(PlainSettings()).Load(""));
  EXPECT_FALSE(NodeHarness(PlainSettings()).Load(saved + "x"));
  for (size_t cut = 0; cut < saved.size(); cut += 7)
    EXPECT_FALSE(NodeHarness(PlainSettings()).Load(saved.substr(0, cut)));
  for (size_t at = 0; at < saved.size(); at += 5) {
    std::string corrupted = saved;
    corrupted[at] = static_cast<char>(corrupted[at] ^ 0x41);
    EXPECT_FALSE(NodeHarness(PlainSettings()).Load(corrupted)) << at;
  }
  Settings other = PlainSettings();
  other.classes.pop_back();
  EXPECT_FALSE(NodeHarness(other).Load(saved));
}

// Guards against a corrupted state whose checksum is valid: it may be refused or loaded, but later events
// must stay within bounds and terminate.
TEST(StateTest, ACorruptedStateWithAValidChecksumDoesNoHarm) {
  std::mt19937_64 random(5);
  for (const Settings& settings : SettingsVariants()) {
    NodeHarness one(settings, 3);
    one.Ready({1, 2, 3, 4, 5, 6});
    RandomTraffic(3).Run(one, 600);
    const std::string saved = one.Saved();
    for (int i = 0; i < 150; ++i) {
      std::string corrupted = saved;
      const size_t body = corrupted.size() - 8;
      corrupted[2500 + random() % (body - 2500)] =
          static_cast<char>(random());  // after the state of the random generator
      uint64_t checksum = 14695981039346656037u;
      for (size_t k = 0; k < body; ++k)
        checksum = (checksum ^ static_cast<unsigned char>(corrupted[k])) * 1099511628211u;
      for (size_t k = 0; k < 8; ++k) corrupted[body + k] = static_cast<char>(checksum >> 8 * k);
      NodeHarness two(settings, 1);
      two.now = one.now;
      if (two.Load(corrupted)) RandomTraffic(7).Run(two, 100);
    }
  }
}

}  // namespace
}  // namespace meadowslip
