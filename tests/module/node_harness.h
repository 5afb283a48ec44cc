// A test harness around one node: passes events to it, records its actions and runs its timers.
#ifndef MEADOWSLIP_TESTS_NODE_HARNESS_H_
#define MEADOWSLIP_TESTS_NODE_HARNESS_H_

#include <map>
#include <string>
#include <vector>

#include "meadowslip/balancer.h"

namespace meadowslip {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;

enum class Act { kSend, kRefuse, kFail, kCancel, kProbe, kSubscribe };

struct Action {
  Act act;
  RequestId id = 0;
  BackendId backend = 0;
  Micros duration = 0;
  Micros at = 0;
};

// Classes 0, 1 and 2 are safe, keyed (group: cell) and unsafe.
inline Settings PlainSettings() {
  Settings s;
  RequestClass c;
  c.aim = 500 * kMs;
  c.deadline = 2 * kSecond;
  for (Idempotency kind : {Idempotency::kSafe, Idempotency::kKeyed, Idempotency::kUnsafe}) {
    c.idempotency = kind;
    c.group = DedupGroup::kCell;
    c.dedup_window = 300 * kMs;
    s.classes.push_back(c);
  }
  s.may_cancel = s.retry_after = true;
  s.max_retry_after = kSecond;
  s.max_attempts = 4;
  s.answer_slack = 20 * kMs;
  return s;
}

class NodeHarness : public ActionSink {
 public:
  explicit NodeHarness(const Settings& settings, uint64_t seed = 1) : node_(settings, seed) {}

  void List(ListKind kind, std::vector<BackendEntry> entries) { node_.OnList(now, {kind, entries}, *this); }
  void Ready(std::vector<BackendId> ids, ListKind kind = ListKind::kFull) {
    std::vector<BackendEntry> entries;
    for (BackendId id : ids) {
      entries.emplace_back();
      entries.back().id = id;
    }
    List(kind, entries);
  }
  void Change(BackendId id, BackendState state, Micros started_at = 0) {
    BackendEntry e;
    e.id = id;
    e.state = state;
    e.started_at = started_at;
    List(ListKind::kChanges, {e});
  }
  RequestId Request(int cls = 0, Micros give_up_after = 2 * kSecond, int tenant = 0, bool is_retry = false,
                    Micros estimate = 0) {
    meadowslip::Request r;
    r.id = ++last_id_;
    r.request_class = cls;
    r.tenant = tenant;
    r.client_retry = is_retry;
    r.estimate = estimate;
    r.give_up_at = now + give_up_after;
    node_.OnRequest(now, r, *this);
    return r.id;
  }
  void Result(RequestId id, int attempt, Outcome outcome, bool closed = false,
              std::span<const float> load = {}) {
    AttemptResult r;
    r.id = id;
    r.attempt = attempt;
    r.closed = closed || outcome == Outcome::kOk;
    r.outcome = outcome;
    r.load = load;
    node_.OnResult(now, r, *this);
  }
  void ClientLeft(RequestId id) { node_.OnClientLeft(now, id, *this); }
  void Probed(BackendId id, bool ok, std::vector<float> load) {
    node_.OnProbe(now, {.backend = id, .elapsed = kMs, .ok = ok, .load = load}, *this);
  }
  void StreamStarted(RequestId id, int attempt) { node_.OnStreamStarted(now, id, attempt, *this); }

  // Restores the state of another harness's node, with its clock and timers.
  bool TakeOver(const NodeHarness& other) {
    now = other.now;
    last_id_ = other.last_id_;
    timers_ = other.timers_;
    return node_.Load(other.node_.Save());
  }
  std::string Saved() const { return node_.Save(); }
  bool Load(const std::string& saved) { return node_.Load(saved); }

  // Advances the clock and runs the timers that become due.
  void AdvanceTime(Micros duration) {
    Micros end = now + duration;
    while (!timers_.empty() && timers_.begin()->first <= end) {
      auto [at, timer] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = at > now ? at : now;
      node_.OnTimer(now, timer, *this);
    }
    now = end;
  }

  // The backend of the request's last attempt; 0 if none was sent.
  BackendId SentTo(RequestId id) const {
    BackendId to = 0;
    for (const Action& a : actions) {
      if (a.act == Act::kSend && a.id == id) to = a.backend;
    }
    return to;
  }
  int Count(Act act, RequestId id) const {
    int n = 0;
    for (const Action& a : actions) n += a.act == act && a.id == id;
    return n;
  }
  int FinalAnswers(RequestId id) const { return Count(Act::kRefuse, id) + Count(Act::kFail, id); }

  // Sends requests one after another, each answered before the next. Attempts at `bad` end with `outcome`,
  // all others with kOk.
  void Traffic(int n, BackendId bad, Outcome outcome, int cls = 0, Micros gap = 10 * kMs) {
    for (int i = 0; i < n; ++i) {
      RequestId id = Request(cls);
      for (int attempt = 0; attempt < Count(Act::kSend, id); ++attempt) {
        AdvanceTime(gap);
        Result(id, attempt, SentTo(id) == bad ? outcome : Outcome::kOk);
      }
    }
  }
  int SendsTo(BackendId backend, size_t from = 0) const {
    int n = 0;
    for (size_t i = from; i < actions.size(); ++i) {
      n += actions[i].act == Act::kSend && actions[i].backend == backend;
    }
    return n;
  }

  void Send(RequestId id, BackendId backend, Micros timeout) override {
    Record(Act::kSend, id, backend, timeout);
  }
  void Refuse(RequestId id, Micros retry_after) override { Record(Act::kRefuse, id, 0, retry_after); }
  void Fail(RequestId id) override { Record(Act::kFail, id, 0, 0); }
  void Cancel(RequestId id, int attempt) override { Record(Act::kCancel, id, 0, attempt); }
  void Schedule(Micros delay, uint64_t timer) override {
    timers_.insert({now + (delay > 0 ? delay : 1), timer});
  }
  void Probe(BackendId backend) override { Record(Act::kProbe, 0, backend, 0); }
  void Subscribe() override { Record(Act::kSubscribe, 0, 0, 0); }

  Micros now = 100 * kSecond;
  std::vector<Action> actions;

 private:
  void Record(Act act, RequestId id, BackendId backend, Micros duration) {
    actions.push_back({act, id, backend, duration, now});
  }
  Balancer node_;
  RequestId last_id_ = 0;
  std::multimap<Micros, uint64_t> timers_;
};

}  // namespace meadowslip

#endif  // MEADOWSLIP_TESTS_NODE_HARNESS_H_
