// Runs the module on random events beside a simple, slow model of the four operating rules: what may still
// happen to each query, the listed state of each backend, and the work allowed at a cold one. A hundred
// histories of 10,000 events each; RapidCheck shrinks a history that breaks a rule to a minimal one.
#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>

#include "node_harness.h"

namespace meadowslip {
namespace {

constexpr size_t kEvents = 10'000;
constexpr Micros kWork = 5 * kMs;  // work of a query at a backend

class Model {
 public:
  Model(const Settings& settings, BackendId servers) : settings_(settings) {
    for (BackendId i = 1; i <= servers; ++i) {
      BackendEntry e;
      e.id = i;
      e.cell = static_cast<int>(i % 3);
      e.zone = static_cast<int>(i % 2);
      entries[i] = e;
      listed_state_[i] = BackendState::kReady;
    }
  }

  struct Query {
    int cls = 0;
    Micros give_up = 0;
    bool closed = false;
    std::vector<BackendId> to;
    std::vector<Micros> at;
    std::vector<bool> pending, may_have_run;
  };

  void OnListed(const BackendEntry& e) {
    if (e.state != BackendState::kGone || settings_.gone_binds) listed_state_[e.id] = e.state;
    if (e.state == BackendState::kReady && e.started_at > 0) cold_[e.id] = {e.started_at, {}};
  }
  void OnRequest(RequestId id, int cls, Micros give_up) {
    Query& q = live[id];
    q.cls = cls;
    q.give_up = give_up;
    by_end_.emplace(give_up, id);
  }
  // The first attempt in flight, or -1.
  int PendingAttempt(const Query& q) const {
    for (size_t k = 0; k < q.pending.size(); ++k) {
      if (q.pending[k]) return static_cast<int>(k);
    }
    return -1;
  }
  void OnResult(RequestId id, int attempt, Outcome o) {
    Query& q = live.at(id);
    const auto k = static_cast<size_t>(attempt);
    q.pending[k] = false;
    q.may_have_run[k] = o != Outcome::kFull && o != Outcome::kConnectFailed && o != Outcome::kMoot;
    if (o == Outcome::kOk) q.closed = true;
  }
  void EraseIfDone(RequestId id) {
    if (live.at(id).closed && PendingAttempt(live.at(id)) < 0) live.erase(id);
  }

  void Check(const Action& a) {
    if (a.act == Act::kProbe || a.act == Act::kSubscribe || a.act == Act::kCancel) return;
    RC_ASSERT(live.contains(a.id));
    Query& q = live.at(a.id);
    int ran = -1;
    for (size_t k = 0; k < q.to.size() && ran < 0; ++k) {
      if (q.may_have_run[k]) ran = static_cast<int>(k);
    }
    const RequestClass& c = settings_.classes[static_cast<size_t>(q.cls)];
    RC_ASSERT(!q.closed);  // only one answer
    if (a.act == Act::kSend) {
      RC_ASSERT(a.at < q.give_up);
      RC_ASSERT(listed_state_.at(a.backend) == BackendState::kReady);  // no sends during a drain
      RC_ASSERT(q.to.size() < static_cast<size_t>(settings_.max_attempts));
      RC_ASSERT(settings_.second_copies || PendingAttempt(q) < 0);
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
      q.pending.push_back(true);
      q.may_have_run.push_back(true);
      CheckColdBudget(a);
      return;
    }
    if (a.act == Act::kRefuse) RC_ASSERT(ran < 0 || c.idempotency == Idempotency::kSafe);
    RC_ASSERT(a.at <= q.give_up + settings_.answer_slack);
    q.closed = true;
    EraseIfDone(a.id);
  }
  // Checks that every query past its deadline is closed.
  void CheckDeadlines(Micros now) {
    while (!by_end_.empty() && by_end_.begin()->first + settings_.answer_slack < now) {
      auto it = live.find(by_end_.begin()->second);
      RC_ASSERT(it == live.end() || it->second.closed);
      by_end_.erase(by_end_.begin());
    }
  }
  // Queries whose clients have given up by now.
  std::vector<RequestId> TimedOut(Micros now) const {
    std::vector<RequestId> ids;
    for (auto it = by_end_.begin(); it != by_end_.end() && it->first <= now; ++it) {
      if (live.contains(it->second)) ids.push_back(it->second);
    }
    return ids;
  }

  std::map<RequestId, Query> live;
  std::map<BackendId, BackendEntry> entries;

 private:
  // Cold budget: this node's share of it in every window, with two queries of tolerance for random variation.
  void CheckColdBudget(const Action& a) {
    auto it = cold_.find(a.backend);
    if (it == cold_.end() || a.at >= it->second.from + settings_.warm_after) return;
    std::vector<Micros>& sent = it->second.sent;
    sent.push_back(a.at);
    Micros work = 0;
    for (auto k = sent.rbegin(); k != sent.rend() && *k > a.at - settings_.overload_window; ++k)
      work += kWork;
    const double age =
        static_cast<double>(a.at - it->second.from) / static_cast<double>(settings_.warm_after);
    const double share = settings_.start_capacity + (1 - settings_.start_capacity) * age;
    const double allowed =
        settings_.overload_factor * share * static_cast<double>(settings_.overload_window) / settings_.nodes;
    RC_ASSERT(static_cast<double>(work) <= allowed + 2.0 * kWork);
  }

  struct Cold {
    Micros from = 0;
    std::vector<Micros> sent;
  };
  const Settings& settings_;
  std::map<BackendId, BackendState> listed_state_;
  std::map<BackendId, Cold> cold_;
  std::set<std::pair<Micros, RequestId>> by_end_;
};

// Each number encodes an event: its type, subject, details and the time until the next.
void RunHistory(const std::vector<uint32_t>& events, uint32_t kind) {
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
  NodeHarness b(s, kind);
  const BackendId servers = kind % 11 == 0 ? 200 : 3 + kind % 12;
  Model model(s, servers);
  BackendId probed = 0;
  const auto check_actions = [&] {
    for (const Action& a : b.actions) model.Check(a);
    if (!b.actions.empty() && b.actions.back().act == Act::kProbe) probed = b.actions.back().backend;
    b.actions.clear();
  };
  std::vector<BackendEntry> all;
  for (auto& [id, e] : model.entries) all.push_back(e);
  b.List(ListKind::kCached, all);
  std::vector<RequestId> recent;
  const auto finish = [&](RequestId id, Outcome o) {
    auto it = model.live.find(id);
    if (it == model.live.end()) return;
    const int attempt = model.PendingAttempt(it->second);
    if (attempt < 0) return;
    model.OnResult(id, attempt, o);
    const bool closed = it->second.closed;
    b.Result(id, attempt, o, closed);
    check_actions();
    if (model.live.contains(id)) model.EraseIfDone(id);
  };
  for (uint32_t code : events) {
    const uint32_t event = code & 15, subject = code >> 4 & 0xfff, details = code >> 16;
    if (event < 6) {
      const Micros give_up_after = static_cast<Micros>(1 + details % 900) * kMs;
      const int cls = static_cast<int>(subject % 3);
      model.OnRequest(recent.size() + 1, cls, b.now + give_up_after);
      recent.push_back(
          b.Request(cls, give_up_after, static_cast<int>(subject % 2), subject % 9 == 0, details % 30 * kMs));
    } else if (event < 13 && !recent.empty()) {
      constexpr Outcome kOutcomes[] = {
          Outcome::kOk,    Outcome::kOk,      Outcome::kOk,   Outcome::kOk,
          Outcome::kError, Outcome::kTimeout, Outcome::kFull, Outcome::kConnectFailed,
          Outcome::kReset, Outcome::kMoot,    Outcome::kOk,   Outcome::kOk};
      const size_t from_end = std::min(recent.size(), size_t{1} + subject % 24);
      finish(recent[recent.size() - from_end], kOutcomes[details % 12]);
    } else if (event == 13) {
      BackendEntry& e = model.entries.at(1 + subject % servers);
      e.state = details % 8 < 5 ? BackendState::kReady : static_cast<BackendState>(details % 3);
      e.started_at = details % 5 == 0 ? b.now : 0;
      model.OnListed(e);
      b.List(ListKind::kChanges, {e});
    } else if (event == 14 && !recent.empty()) {
      auto it = model.live.find(recent[recent.size() - std::min(recent.size(), size_t{1} + subject % 50)]);
      if (it != model.live.end() && !it->second.closed && model.PendingAttempt(it->second) >= 0) {
        it->second.closed = true;
        b.ClientLeft(it->first);
      }
    }
    if (event == 15 && probed != 0) {
      b.Probed(probed, details % 3 != 0, {1, static_cast<float>(details % 5)});
    } else if (event == 15 && details % 50 == 0) {
      b.List(ListKind::kFailed, {});
    }
    check_actions();
    const Micros step = kind % 4 == 1 ? 200 : kMs;
    const Micros until =
        b.now + (code >> 28 == 15 && step == kMs ? 100 : static_cast<Micros>(details % 5)) * step;
    do {  // steps of at most 5 ms, so that no deadline is skipped
      b.AdvanceTime(std::min(until - b.now, 5 * kMs));
      check_actions();
      for (RequestId id : model.TimedOut(b.now)) {
        for (int k = 0; k < 8; ++k) finish(id, Outcome::kTimeout);
      }
      model.CheckDeadlines(b.now);
    } while (b.now < until);
  }
}

}  // namespace
}  // namespace meadowslip

int main() {
  const bool passed = rc::check("the four rules hold", [] {
    const auto kind = *rc::gen::inRange<uint32_t>(0, 1'000'000);
    const auto events =
        *rc::gen::container<std::vector<uint32_t>>(meadowslip::kEvents, rc::gen::arbitrary<uint32_t>());
    meadowslip::RunHistory(events, kind);
  });
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
