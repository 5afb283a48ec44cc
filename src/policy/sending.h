// Sending and settling: the only place that sends, cancels or ends a request, so every rule is guarded here.
#ifndef MEADOWSLIP_SRC_POLICY_SENDING_H_
#define MEADOWSLIP_SRC_POLICY_SENDING_H_

#include <optional>

#include "kit/meters.h"
#include "policy/load.h"
#include "state/request_queues.h"

namespace meadowslip::policy {

using Requests = state::Lines;
using state::Attempt, state::Held, state::kAnywhere, state::Wait;

constexpr double kPatience = 4;     // mean deviations over the usual latency: then an attempt is overdue
constexpr double kTryPatience = 8;  // usual latencies before an attempt, or a trial, is overdue at few nodes
constexpr double kTrialPatience = 3;
constexpr double kRateSpan = 2 * kSecond, kExcess = 20;  // one refused in so many: nothing is to spare
constexpr uint64_t kOverdue = 2;  // timers: one for each attempt, from here on by its request's id

// What the operating rules still allow for each request that is held.
struct Rules {
  const Turn& turn;
  const Fleet& fleet;

  // Where it may go after what was sent before: never where its effect could be repeated.
  std::optional<Group> Bounds(const Held& r) const {
    if (r.sent == 0) return kAnywhere;
    const Attempt* first = std::find_if(r.begin(), r.end(), [](auto& a) { return a.may_have_run; });
    const RequestClass& c = turn.set.classes[r.cls];
    if (first == r.end() || c.idempotency == Idempotency::kSafe) return kAnywhere;
    if (c.idempotency == Idempotency::kUnsafe || turn.now >= first->sent_at + c.dedup_window) return {};
    return Fleet::GroupOf(c.group, fleet.backends[first->backend]);
  }
  bool Allowed(const Held& r, uint32_t i) const {
    if (r.sent == 0) return true;
    const std::optional<Group> bounds = Bounds(r);
    return bounds && Fleet::In(*bounds, fleet.backends[i]) && !r.WentTo(i);
  }
  bool AnyLeft(const Held& r) const {
    const std::optional<Group> bounds = Bounds(r);
    if (!fleet.sparse) return bounds && fleet.Left(*bounds, r) > 0;
    return std::ranges::any_of(fleet.members, [&](uint32_t i) { return Allowed(r, i); });
  }
  bool MaySend(const Held& r, uint32_t i) const {
    return !r.closed && !r.streaming && r.sent < turn.set.max_attempts && turn.now < r.give_up_at &&
           fleet.backends[i].state == BackendState::kReady && (r.out == 0 || turn.set.second_copies) &&
           Allowed(r, i);
  }
  bool CanRefuse(const Held& r) const {
    const RequestClass& c = turn.set.classes[r.cls];
    return c.idempotency == Idempotency::kSafe || !r.MayHaveRun() ||
           (c.idempotency == Idempotency::kKeyed && c.group == DedupGroup::kAll);
  }
};

struct Sending {
  const Turn& turn;
  Classes& classes;
  Fleet& fleet;
  Load& load;
  Requests& requests;
  const Rules& rules;
  kit::Rate served = {}, refused = {};

  bool Send(Held& r, uint32_t i, bool trial) {
    if (!rules.MaySend(r, i)) return false;
    Backend& b = fleet.Change(i);
    requests.Unqueue(r);
    b.retries = std::min(kMostRetriesTo, b.retries + (r.sent == 0 ? 1 : r.MayHaveRun() ? -1 : 0));
    Learned& c = classes.learned[r.cls];
    double expected = c.Expected(r.size);
    double far = expected + kPatience * c.spread;
    if (!fleet.sparse) far = std::max(far, (trial ? kTrialPatience : kTryPatience) * expected);
    Micros patience = static_cast<Micros>(far) + turn.set.resolution;
    r.attempts[r.sent] = {i, turn.now, true, true, trial, false, turn.now + patience};
    ++r.sent, ++r.out, ++load.out;
    ++b.in_flight, ++b.held_by;
    b.reported += 1;
    b.trial_out |= trial;
    if (turn.now < b.cold_until) b.credit -= c.ColdWork(r.size), c.trying = c.samples == 0;
    // A sparse node does not wait for an answer that is worth nothing once late, nor does its backend's
    // queue.
    const RequestClass& rc = turn.set.classes[r.cls];
    Micros left = r.arrived + rc.aim - turn.now;
    bool wait = !fleet.sparse || rc.late_share > 0 || left <= 0 || turn.now + left >= r.give_up_at;
    turn.act->Send(r.id, b.id, wait ? 0 : left);
    if (turn.now + patience < r.give_up_at) turn.act->Schedule(patience, r.id + kOverdue);
    load.ReviewChanged();
    return true;
  }

  // Ends a request that is given up, at once.
  void Settle(Held& r) {
    if (r.closed || r.out > 0) return requests.Unqueue(r);  // what is out may still answer
    if (rules.CanRefuse(r)) refused.Add(turn.now, kRateSpan);
    rules.CanRefuse(r) ? turn.act->Refuse(r.id, ComeBack()) : turn.act->Fail(r.id);
    classes.Ended(r.cls, r.level, 0);
    Close(r);
  }
  // When there is room for repeats, at the rates of late: sooner they find the same, in first tries' way.
  Micros ComeBack() const {
    if (!turn.set.retry_after) return 0;
    const double spare = served.Now(turn.now, kRateSpan) - kExcess * refused.Now(turn.now, kRateSpan);
    const double wait = static_cast<double>(requests.Waiting() + 1) * kSecond / std::max(spare, 1e-3);
    return std::min(turn.set.max_retry_after, std::max(turn.longest_aim, static_cast<Micros>(wait)));
  }

  void OnStreamStarted(RequestId id, int attempt) {
    Held* r = requests.Find(id);
    if (r == nullptr || attempt < 0 || attempt >= r->sent) return;
    if (!turn.set.classes[r->cls].stream) r->attempts[attempt].sent_at = turn.now;  // a query's own bytes
    r->streaming = true;
    requests.Unqueue(*r);
    CancelOut(*r, attempt);
  }

  void Close(Held& r) {
    r.closed = true;
    requests.Unqueue(r);
    CancelOut(r, -1);
    if (r.out == 0) requests.Erase(r);
  }

  void CancelOut(const Held& r, int but) {
    for (int k = 0; turn.set.may_cancel && k < r.sent; ++k) {
      if (k != but && r.attempts[k].out) turn.act->Cancel(r.id, k);
    }
  }
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_SENDING_H_
