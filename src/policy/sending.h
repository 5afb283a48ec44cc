// Sending and completion: the only code that sends, cancels or ends requests, so it enforces all rules.
#ifndef MEADOWSLIP_SRC_POLICY_SENDING_H_
#define MEADOWSLIP_SRC_POLICY_SENDING_H_

#include <optional>

#include "kit/meters.h"
#include "policy/load.h"
#include "state/request_queues.h"

namespace meadowslip::policy {

using Requests = state::RequestQueues;
using state::Attempt, state::HeldRequest, state::kAnywhere, state::Wait;

constexpr double kOverdueDeviations = 4;  // mean deviations above the usual latency
constexpr double kOverdueLatencies = 8;   // and at least this many usual latencies, unless sparse
constexpr double kTrialLatencies = 3;     // the same for a trial
constexpr double kRateSpan = 2 * kSecond, kRefusedWeight = 20;  // served requests that one refusal outweighs
constexpr uint64_t kOverdueTimers = 2;                          // timer ids: this plus the request's id

// What the operating rules still allow for a request.
struct Rules {
  const Context& context;
  const Fleet& fleet;

  // The group that it may be sent to after its earlier attempts, so that no effect is repeated.
  std::optional<Group> Bounds(const HeldRequest& r) const {
    if (r.sent == 0) return kAnywhere;
    const Attempt* first = std::find_if(r.begin(), r.end(), [](auto& a) { return a.may_have_run; });
    const RequestClass& c = context.settings.classes[r.cls];
    if (first == r.end() || c.idempotency == Idempotency::kSafe) return kAnywhere;
    if (c.idempotency == Idempotency::kUnsafe || context.now >= first->sent_at + c.dedup_window) return {};
    return Fleet::GroupOf(c.group, fleet.backends[first->backend]);
  }
  bool Allowed(const HeldRequest& r, uint32_t i) const {
    if (r.sent == 0) return true;
    const std::optional<Group> bounds = Bounds(r);
    return bounds && Fleet::InGroup(*bounds, fleet.backends[i]) && !r.WasSentTo(i);
  }
  bool AnyAllowed(const HeldRequest& r) const {
    const std::optional<Group> bounds = Bounds(r);
    if (!fleet.sparse) return bounds && fleet.ReadyUntried(*bounds, r) > 0;
    return std::ranges::any_of(fleet.subset, [&](uint32_t i) { return Allowed(r, i); });
  }
  bool MaySend(const HeldRequest& r, uint32_t i) const {
    return !r.closed && !r.streaming && r.sent < context.settings.max_attempts &&
           context.now < r.give_up_at && fleet.backends[i].state == BackendState::kReady &&
           (r.pending == 0 || context.settings.second_copies) && Allowed(r, i);
  }
  bool CanRefuse(const HeldRequest& r) const {
    const RequestClass& c = context.settings.classes[r.cls];
    return c.idempotency == Idempotency::kSafe || !r.MayHaveRun() ||
           (c.idempotency == Idempotency::kKeyed && c.group == DedupGroup::kAll);
  }
};

// Sends, cancels and ends requests. Decides when an attempt is overdue, whether a request that can't be
// served is refused or failed, and when the client of a refused one should retry.
struct Sending {
  const Context& context;
  Classes& classes;
  Fleet& fleet;
  Load& load;
  Requests& requests;
  const Rules& rules;
  kit::Rate served = {}, refused = {};

  bool Send(HeldRequest& r, uint32_t i, bool trial) {
    if (!rules.MaySend(r, i)) return false;
    Backend& b = fleet.Modify(i);
    requests.Dequeue(r);
    b.retry_budget = std::min(kMaxRetryBudget, b.retry_budget + (r.sent == 0 ? 1 : r.MayHaveRun() ? -1 : 0));
    ClassStats& c = classes.stats[r.cls];
    double expected = c.ExpectedLatency(r.size);
    double limit = expected + kOverdueDeviations * c.deviation;
    if (!fleet.sparse) limit = std::max(limit, (trial ? kTrialLatencies : kOverdueLatencies) * expected);
    Micros overdue_after = static_cast<Micros>(limit) + context.settings.resolution;
    r.attempts[r.sent] = {i, context.now, true, true, trial, false, context.now + overdue_after};
    ++r.sent, ++r.pending, ++load.pending;
    ++b.in_flight, ++b.references;
    b.reported += 1;
    b.trial_pending |= trial;
    if (context.now < b.cold_until) b.cold_credit -= c.ColdWork(r.size), c.cold_pending = c.samples == 0;
    // A sparse node stops waiting at the aim if a late answer is worth nothing; the backend can then drop the
    // request from its queue.
    const RequestClass& request_class = context.settings.classes[r.cls];
    Micros left = r.arrived + request_class.aim - context.now;
    bool wait =
        !fleet.sparse || request_class.late_share > 0 || left <= 0 || context.now + left >= r.give_up_at;
    context.sink->Send(r.id, b.id, wait ? 0 : left);
    if (context.now + overdue_after < r.give_up_at)
      context.sink->Schedule(overdue_after, r.id + kOverdueTimers);
    load.ReviewChanged();
    return true;
  }

  // Ends a request that can't be served.
  void GiveUp(HeldRequest& r) {
    if (r.closed || r.pending > 0) return requests.Dequeue(r);  // a pending attempt may still answer
    if (rules.CanRefuse(r)) refused.Add(context.now, kRateSpan);
    rules.CanRefuse(r) ? context.sink->Refuse(r.id, RetryAfter()) : context.sink->Fail(r.id);
    classes.OnEnded(r.cls, r.worth_level, 0);
    Close(r);
  }
  // Until there is capacity for retries at the recent rates; earlier retries would displace first tries.
  Micros RetryAfter() const {
    if (!context.settings.retry_after) return 0;
    const double spare =
        served.At(context.now, kRateSpan) - kRefusedWeight * refused.At(context.now, kRateSpan);
    const double wait = static_cast<double>(requests.QueuedCount() + 1) * kSecond / std::max(spare, 1e-3);
    return std::min(context.settings.max_retry_after, std::max(context.max_aim, static_cast<Micros>(wait)));
  }

  void OnStreamStarted(RequestId id, int attempt) {
    HeldRequest* r = requests.Find(id);
    if (r == nullptr || attempt < 0 || attempt >= r->sent) return;
    if (!context.settings.classes[r->cls].stream)
      r->attempts[attempt].sent_at = context.now;  // bytes of the request body
    r->streaming = true;
    requests.Dequeue(*r);
    CancelPending(*r, attempt);
  }

  void Close(HeldRequest& r) {
    r.closed = true;
    requests.Dequeue(r);
    CancelPending(r, -1);
    if (r.pending == 0) requests.Erase(r);
  }

  void CancelPending(const HeldRequest& r, int except) {
    for (int k = 0; context.settings.may_cancel && k < r.sent; ++k) {
      if (k != except && r.attempts[k].pending) context.sink->Cancel(r.id, k);
    }
  }
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_SENDING_H_
