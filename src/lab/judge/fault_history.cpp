#include "lab/judge/fault_history.h"

#include <algorithm>

#include "lab/judge/find.h"

namespace burlfall::lab {
namespace {

// A client sees the link of a dead process reset up to this long before the lab sees the process end.
constexpr Micros kResetBeforeEnd = 200 * kMs;
// Time that a resumed process needs to handle what arrived during its pause.
constexpr Micros kResumeTime = 500 * kMs;
// A kill is reported at most this long before its fault begins or after its fault ends.
constexpr Micros kFaultMargin = kSecond;

// Returns the zone, or -1 if the participant is unknown.
int ZoneOf(const std::vector<Facts::Participant>& places, int number) {
  const Facts::Participant* place = Find(places, number);
  return place == nullptr ? -1 : place->zone;
}

}  // namespace

void FaultHistory::FaultEnded(int action, Micros at) {
  for (auto period = faults_.rbegin(); period != faults_.rend(); ++period) {
    if (period->action != action || period->ended_at != kNever) continue;
    period->ended_at = at;
    return;
  }
}

const FaultHistory::BalancerEnd* FaultHistory::EndDuring(const TryRecord& one, Micros by) const {
  const BalancerEnd* balancer_end = nullptr;
  for (const BalancerEnd& down : balancer_ends_) {
    if (down.balancer != one.client_try.balancer || down.at < one.written_at - facts_.order_slack) continue;
    if (down.at <= by + kResetBeforeEnd) balancer_end = &down;
  }
  return balancer_end;
}

bool FaultHistory::WasIntended(const BalancerEnd& down) const {
  if (down.planned) return true;
  return std::any_of(faults_.begin(), faults_.end(), [&](const FaultPeriod& period) {
    const Facts::Fault* fault = FaultOfKind(period, FaultKind::kBalancersKilled);
    if (fault == nullptr || down.at < period.began_at - kFaultMargin) return false;
    if (period.ended_at != kNever && down.at > period.ended_at + kFaultMargin) return false;
    return std::find(fault->targets.begin(), fault->targets.end(), down.balancer) != fault->targets.end();
  });
}

bool FaultHistory::WasPaused(const TryRecord& one, Micros until) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](const FaultPeriod& period) {
    const Facts::Fault* fault = FaultOfKind(period, FaultKind::kBalancersPaused);
    if (fault == nullptr || period.began_at > until) return false;
    if (period.ended_at != kNever && period.ended_at + kResumeTime < one.written_at) return false;
    return std::find(fault->targets.begin(), fault->targets.end(), one.client_try.balancer) !=
           fault->targets.end();
  });
}

bool FaultHistory::WasCutOff(const AttemptRecord& attempt, Micros until) const {
  const int node = ZoneOf(facts_.nodes, attempt.seen.node);
  const int balancer = ZoneOf(facts_.balancers, attempt.seen.balancer);
  return std::any_of(faults_.begin(), faults_.end(), [&](const FaultPeriod& period) {
    const Facts::Fault* fault = FaultOfKind(period, FaultKind::kZoneCut);
    if (fault == nullptr || period.began_at > until || period.ended_at < attempt.seen.at) return false;
    return std::any_of(fault->targets.begin(), fault->targets.end(),
                       [&](int zone) { return (zone == node) != (zone == balancer); });
  });
}

const Facts::Fault* FaultHistory::FaultOfKind(const FaultPeriod& period, FaultKind kind) const {
  const Facts::Fault* fault = Find(facts_.faults, period.action);
  return fault != nullptr && fault->kind == kind ? fault : nullptr;
}

}  // namespace burlfall::lab
