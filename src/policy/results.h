// Results and time-outs: their effect on the backend's health and load, and retries.
#ifndef MEADOWSLIP_SRC_POLICY_RESULTS_H_
#define MEADOWSLIP_SRC_POLICY_RESULTS_H_

#include "policy/health.h"
#include "policy/queue.h"

namespace meadowslip::policy {

constexpr double kCrowded = 2;      // times the uncrowded latency: the limit is lowered
constexpr double kSlowShare = 0.5;  // of the aim: also if slower than this, or at a sparse node
constexpr double kSparseSlowShare = 0.8;
constexpr int kMaxFullPauses = 4;  // rejected this often in a row, a backend is full

// Decides what a result or an overdue attempt says about its backend, and whether the request is retried.
struct Results {
  const Context& context;
  Classes& classes;
  Fleet& fleet;
  Health& health;
  Load& load;
  Requests& requests;
  const Rules& rules;
  Sending& sending;
  Queue& queue;

  void OnResult(const AttemptResult& result) {
    HeldRequest* held = requests.Find(result.id);
    if (held == nullptr || result.attempt < 0 || result.attempt >= held->sent) return;
    HeldRequest& r = *held;
    Attempt& a = r.attempts[result.attempt];
    if (!a.pending) return;
    Backend& b = fleet.Modify(a.backend);
    a.pending = false;
    a.may_have_run = result.outcome != Outcome::kFull && result.outcome != Outcome::kConnectFailed &&
                     result.outcome != Outcome::kMoot;
    --r.pending;
    --b.in_flight;
    load.pending -= !a.overdue;
    b.overdue -= a.overdue;
    if (a.trial) b.trial_pending = false;
    load.ApplyReport(b, result.load);
    NoteOutcome(b, r, a, result);
    if (result.closed) NoteClosed(r, result.outcome);
    if (r.closed) {
      if (result.outcome == Outcome::kOk || result.closed) sending.CancelPending(r, -1);
      requests.Dequeue(r);
      if (r.pending == 0) requests.Erase(r);
    } else if (r.pending == 0 && !Retry(r)) {  // else another copy may still answer
      sending.GiveUp(r);
    }
  }

  // Requests whose client has left count neither as served nor as unserved.
  void NoteClosed(HeldRequest& r, Outcome outcome) {
    if (std::exchange(r.closed, true) || outcome == Outcome::kMoot || outcome == Outcome::kCancelled) return;
    const RequestClass& c = context.settings.classes[r.cls];
    const double answered = context.now <= r.arrived + c.aim ? 1 : c.late_share;
    classes.OnEnded(r.cls, r.worth_level, outcome == Outcome::kOk ? answered : 0);
  }

  void OnTimer(uint64_t timer) {
    if (timer == kTickTimer) return queue.OnTick(true);
    if (HeldRequest* r = requests.Find(timer - kOverdueTimers)) CheckOverdue(*r);
  }

  // An attempt far slower than usual frees this node's share and counts as a failure; a safe request is also
  // sent elsewhere if copies and the retry budget allow it. Drawback: high-cost requests run twice.
  void CheckOverdue(HeldRequest& r) {
    for (int k = 0; k < r.sent; ++k) {
      Attempt& a = r.attempts[k];
      if (!a.pending || a.overdue || r.streaming || context.now < a.due_at) continue;
      Backend& b = fleet.Modify(a.backend);
      a.overdue = true;
      state::NoteColdAttempt(classes.stats, r.cls, false,
                             static_cast<double>(context.settings.classes[r.cls].aim));
      ++b.overdue;
      --load.pending;
      if (a.trial || !r.FailedBefore(k)) health.OnFailure(b, r.cls, a.trial);
      fleet.UpdatePayoff(b, 0);
      bool safe = context.settings.classes[r.cls].idempotency == Idempotency::kSafe;
      if (safe && !r.closed && context.settings.second_copies) Retry(r);
    }
  }

  // Updates the backend's health and load from an outcome.
  void NoteOutcome(Backend& b, const HeldRequest& r, const Attempt& a, const AttemptResult& result) {
    const RequestClass& c = context.settings.classes[r.cls];
    ClassStats& stats = classes.stats[r.cls];
    double duration = static_cast<double>(context.now - a.sent_at);
    double scaled = std::max(duration - stats.ExtraWork(r.size), duration / 4);  // scaled to mean size
    double aim = static_cast<double>(c.aim);
    if (a.sent_at < b.cold_until)
      state::NoteColdAttempt(classes.stats, r.cls, result.outcome == Outcome::kOk, aim);
    if (result.outcome == Outcome::kOk) {
      health.OnSuccess(b, r.cls, a.trial);
      stats.AddLatency(scaled);
      fleet.UpdatePayoff(b, duration <= aim ? 1 / (1 + scaled / stats.latency) : 0);
      load.UpdateSlowdown(b, stats, scaled, requests.QueuedCount() > 0);
      sending.served.Add(context.now, kRateSpan);
      load.Adjust(b, b.slowdown > kCrowded || scaled > (fleet.sparse ? kSparseSlowShare : kSlowShare) * aim);
    } else if (result.outcome == Outcome::kFull) {
      // A rejection is no failure, but the fast answer must not make the backend look idle. Its limit follows
      // its slowdown: lowering the limit on each rejection drove healthy backends down to the minimum.
      Micros latency = static_cast<Micros>(stats.latency);
      b.full_until = context.now + (latency >> std::max(0, kMaxFullPauses - b.rejections++));
      if (b.slowdown > kCrowded || b.rejections > kMaxFullPauses) load.Adjust(b, true);
      if (a.trial) b.wake_at = context.now + b.sleep;  // running, but not ready for load yet
    } else if (result.outcome == Outcome::kCancelled) {
      if (scaled > stats.latency) stats.AddLatency(scaled);  // lower bound of its latency
    } else if (result.outcome != Outcome::kMoot) {
      const bool timed_out = result.outcome == Outcome::kTimeout;
      // A refused connection without an earlier answer may only mean that the backend has no free connection.
      b.refused_connections += result.outcome == Outcome::kConnectFailed && b.served;
      // Counted when it became overdue; and a sparse node's own time-out at the aim is weak evidence.
      if (a.overdue || (timed_out && fleet.sparse && c.late_share == 0 && !a.trial)) return;
      // A request that failed elsewhere before is suspect itself: a poison request must not put many backends
      // to sleep. The second backend's payoff is lowered all the same.
      if (a.trial || result.outcome == Outcome::kConnectFailed || !r.FailedBefore(result.attempt)) {
        health.OnFailure(b, r.cls, a.trial);
      }
      fleet.UpdatePayoff(b, 0);
      if (timed_out) load.Adjust(b, true);
    }
  }

  // Each retry takes a token, which bounds what a failing fleet is sent to a multiple of the first tries.
  bool Retry(HeldRequest& r) {
    const state::Deadlines deadlines = queue.DeadlinesOf(r);
    if (r.sent >= context.settings.max_attempts || r.streaming || context.now >= deadlines.useful_until)
      return false;
    fleet.ChooseSubset();
    if (!rules.AnyAllowed(r)) return false;
    if (!(r.attempts[r.sent - 1].may_have_run ? queue.retries : queue.free_retries).Take()) return false;
    queue.StartWaiting(r, deadlines);
    return true;
  }
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_RESULTS_H_
