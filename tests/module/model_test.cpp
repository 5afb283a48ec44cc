// The module under random events, beside a plain and slow model of the four operating rules: what each query
// may still suffer, what was told of each server, and what a cold one may be sent. A hundred histories of
// 10,000 events each; RapidCheck cuts one that breaks a rule down to the least that still does.
#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>

#include "node_harness.h"

namespace meadowslip {
namespace {

constexpr size_t kEvents = 10'000;
constexpr Micros kWork = 5 * kMs;  // of a query, as the servers take it

class Model {
 public:
  Model(const Settings& settings, BackendId servers) : set_(settings) {
    for (BackendId i = 1; i <= servers; ++i) {
      BackendEntry e;
      e.id = i;
      e.cell = static_cast<int>(i % 3);
      e.zone = static_cast<int>(i % 2);
      entries[i] = e;
      told_[i] = BackendState::kReady;
    }
  }

  struct Query {
    int cls = 0;
    Micros give_up = 0;
    bool over = false;
    std::vector<BackendId> to;
    std::vector<Micros> at;
    std::vector<bool> out, may_have_run;
  };

  void Told(const BackendEntry& e) {
    if (e.state != BackendState::kGone || set_.gone_binds) told_[e.id] = e.state;
    if (e.state == BackendState::kReady && e.started_at > 0) cold_[e.id] = {e.started_at, {}};
  }
  void Asked(RequestId id, int cls, Micros give_up) {
    Query& q = live[id];
    q.cls = cls;
    q.give_up = give_up;
    by_end_.emplace(give_up, id);
  }
  // The first attempt that is out, or nothing.
  int Out(const Query& q) const {
    for (size_t k = 0; k < q.out.size(); ++k) {
      if (q.out[k]) return static_cast<int>(k);
    }
    return -1;
  }
  void Ended(RequestId id, int attempt, Outcome o) {
    Query& q = live.at(id);
    const auto k = static_cast<size_t>(attempt);
    q.out[k] = false;
    q.may_have_run[k] = o != Outcome::kFull && o != Outcome::kConnectFailed && o != Outcome::kMoot;
    if (o == Outcome::kOk) q.over = true;
  }
  void Forget(RequestId id) {
    if (live.at(id).over && Out(live.at(id)) < 0) live.erase(id);
  }

  void Judge(const Action& a) {
    if (a.act == Act::kProbe || a.act == Act::kSubscribe || a.act == Act::kCancel) return;
    RC_ASSERT(live.contains(a.id));
    Query& q = live.at(a.id);
    int ran = -1;
    for (size_t k = 0; k < q.to.size() && ran < 0; ++k) {
      if (q.may_have_run[k]) ran = static_cast<int>(k);
    }
    const RequestClass& c = set_.classes[static_cast<size_t>(q.cls)];
    RC_ASSERT(!q.over);  // one answer
    if (a.act == Act::kSend) {
      RC_ASSERT(a.at < q.give_up);
      RC_ASSERT(told_.at(a.backend) == BackendState::kReady);  // orderly draining
      RC_ASSERT(q.to.size() < static_cast<size_t>(set_.max_attempts));
      RC_ASSERT(set_.second_copies || Out(q) < 0);
      if (ran >= 0) {  // no repeated effect
        const auto first = static_cast<size_t>(ran);
        RC_ASSERT(c.idempotency != Idempotency::kUnsafe);
        if (c.idempotency == Idempotency::kKeyed) {
          RC_ASSERT(entries.at(q.to[first]).cell == entries.at(a.backend).cell);
          RC_ASSERT(a.at - q.at[first] <= c.dedup_window);
        }
      }
      q.to.push_back(a.backend);
      q.at.push_back(a.at);
      q.out.push_back(true);
      q.may_have_run.push_back(true);
      Warm(a);
      return;
    }
    if (a.act == Act::kRefuse) RC_ASSERT(ran < 0 || c.idempotency == Idempotency::kSafe);
    RC_ASSERT(a.at <= q.give_up + set_.answer_slack);
    q.over = true;
    Forget(a.id);
  }
  // All whose time has passed are over.
  void JudgeTime(Micros now) {
    while (!by_end_.empty() && by_end_.begin()->first + set_.answer_slack < now) {
      auto it = live.find(by_end_.begin()->second);
      RC_ASSERT(it == live.end() || it->second.over);
      by_end_.erase(by_end_.begin());
    }
  }
  // Those whose clients have given up by now.
  std::vector<RequestId> GivenUp(Micros now) const {
    std::vector<RequestId> ids;
    for (auto it = by_end_.begin(); it != by_end_.end() && it->first <= now; ++it) {
      if (live.contains(it->second)) ids.push_back(it->second);
    }
    return ids;
  }

  std::map<RequestId, Query> live;
  std::map<BackendId, BackendEntry> entries;

 private:
  // Orderly fail-back: in no window this node's part of the budget, and two queries for chance.
  void Warm(const Action& a) {
    auto it = cold_.find(a.backend);
    if (it == cold_.end() || a.at >= it->second.from + set_.warm_after) return;
    std::vector<Micros>& sent = it->second.sent;
    sent.push_back(a.at);
    Micros work = 0;
    for (auto k = sent.rbegin(); k != sent.rend() && *k > a.at - set_.overload_window; ++k) work += kWork;
    const double age = static_cast<double>(a.at - it->second.from) / static_cast<double>(set_.warm_after);
    const double share = set_.start_capacity + (1 - set_.start_capacity) * age;
    const double most = set_.overload_factor * share * static_cast<double>(set_.overload_window) / set_.nodes;
    RC_ASSERT(static_cast<double>(work) <= most + 2.0 * kWork);
  }

  struct Cold {
    Micros from = 0;
    std::vector<Micros> sent;
  };
  const Settings& set_;
  std::map<BackendId, BackendState> told_;
  std::map<BackendId, Cold> cold_;
  std::set<std::pair<Micros, RequestId>> by_end_;
};

// Each number is an event: what, whom, how long until the next.
void Play(const std::vector<uint32_t>& events, uint32_t kind) {
  Settings s = PlainSettings();
  s.second_copies = kind % 2 == 0;
  s.gone_binds = kind % 3 != 0;
  s.nodes = kind % 5 == 0 ? 60 : 1 + static_cast<int>(kind % 4);
  s.cross_zone_price = kind % 7 < 3 ? 0.5 : 0;
  s.tenants = {{30, 0.6, "a"}, {20, 0.4, "b"}};
  s.over_share_worth = 0.2;
  s.must_subscribe = kind % 2 == 0;
  s.must_ask_within = 2 * kSecond;
  if (kind % 3 == 1) {
    s.may_probe = true;
    s.probe_price = 0.002;
    s.report_fields = {LoadField::kQueue, LoadField::kInFlight};
  }
  Bench b(s, kind);
  const BackendId servers = kind % 11 == 0 ? 200 : 3 + kind % 12;
  Model model(s, servers);
  BackendId probed = 0;
  const auto look = [&] {
    for (const Action& a : b.actions) model.Judge(a);
    if (!b.actions.empty() && b.actions.back().act == Act::kProbe) probed = b.actions.back().backend;
    b.actions.clear();
  };
  std::vector<BackendEntry> all;
  for (auto& [id, e] : model.entries) all.push_back(e);
  b.List(ListKind::kCached, all);
  std::vector<RequestId> recent;
  const auto end = [&](RequestId id, Outcome o) {
    auto it = model.live.find(id);
    if (it == model.live.end()) return;
    const int attempt = model.Out(it->second);
    if (attempt < 0) return;
    model.Ended(id, attempt, o);
    const bool over = it->second.over;
    b.Result(id, attempt, o, over);
    look();
    if (model.live.contains(id)) model.Forget(id);
  };
  for (uint32_t word : events) {
    const uint32_t what = word & 15, whom = word >> 4 & 0xfff, more = word >> 16;
    if (what < 6) {
      const Micros patience = static_cast<Micros>(1 + more % 900) * kMs;
      const int cls = static_cast<int>(whom % 3);
      model.Asked(recent.size() + 1, cls, b.now + patience);
      recent.push_back(b.Request(cls, patience, static_cast<int>(whom % 2), whom % 9 == 0, more % 30 * kMs));
    } else if (what < 13 && !recent.empty()) {
      constexpr Outcome kEnds[] = {
          Outcome::kOk,    Outcome::kOk,      Outcome::kOk,   Outcome::kOk,
          Outcome::kError, Outcome::kTimeout, Outcome::kFull, Outcome::kConnectFailed,
          Outcome::kReset, Outcome::kMoot,    Outcome::kOk,   Outcome::kOk};
      const size_t back = std::min(recent.size(), size_t{1} + whom % 24);
      end(recent[recent.size() - back], kEnds[more % 12]);
    } else if (what == 13) {
      BackendEntry& e = model.entries.at(1 + whom % servers);
      e.state = more % 8 < 5 ? BackendState::kReady : static_cast<BackendState>(more % 3);
      e.started_at = more % 5 == 0 ? b.now : 0;
      model.Told(e);
      b.List(ListKind::kChanges, {e});
    } else if (what == 14 && !recent.empty()) {
      auto it = model.live.find(recent[recent.size() - std::min(recent.size(), size_t{1} + whom % 50)]);
      if (it != model.live.end() && !it->second.over && model.Out(it->second) >= 0) {
        it->second.over = true;
        b.ClientLeft(it->first);
      }
    }
    if (what == 15 && probed != 0) {
      b.Probed(probed, more % 3 != 0, {1, static_cast<float>(more % 5)});
    } else if (what == 15 && more % 50 == 0) {
      b.List(ListKind::kFailed, {});
    }
    look();
    const Micros step = kind % 4 == 1 ? 200 : kMs;
    const Micros until =
        b.now + (word >> 28 == 15 && step == kMs ? 100 : static_cast<Micros>(more % 5)) * step;
    do {  // no deadline is passed over
      b.Pass(std::min(until - b.now, 5 * kMs));
      look();
      for (RequestId id : model.GivenUp(b.now)) {
        for (int k = 0; k < 8; ++k) end(id, Outcome::kTimeout);
      }
      model.JudgeTime(b.now);
    } while (b.now < until);
  }
}

}  // namespace
}  // namespace meadowslip

int main() {
  const bool kept = rc::check("the four rules hold", [] {
    const auto kind = *rc::gen::inRange<uint32_t>(0, 1'000'000);
    const auto events =
        *rc::gen::container<std::vector<uint32_t>>(meadowslip::kEvents, rc::gen::arbitrary<uint32_t>());
    meadowslip::Play(events, kind);
  });
  return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}
