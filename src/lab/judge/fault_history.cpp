#include "lab/judge/fault_history.h"

#include <algorithm>

#include "lab/judge/find.h"

namespace burlfall::lab {
namespace {

// A client sees a dead process's link reset before the lab has seen the process end.
constexpr Micros kNoticed = 200 * kMs;
// What a process needs for what came while it stood still.
constexpr Micros kGoesOn = 500 * kMs;
// A kill and the fault that it is of are told within this.
constexpr Micros kTold = kSecond;

// -1: not known.
int ZoneOf(const std::vector<Facts::Place>& places, int number) {
  const Facts::Place* place = Find(places, number);
  return place == nullptr ? -1 : place->zone;
}

}  // namespace

void History::FaultEnded(int action, Micros at) {
  for (auto seen = faults_.rbegin(); seen != faults_.rend(); ++seen) {
    if (seen->action != action || seen->ended_at != kNever) continue;
    seen->ended_at = at;
    return;
  }
}

const History::Down* History::Met(const TryRecord& one, Micros by) const {
  const Down* met = nullptr;
  for (const Down& down : downs_) {
    if (down.balancer != one.one.balancer || down.at < one.written_at - facts_.order_slack) continue;
    if (down.at <= by + kNoticed) met = &down;
  }
  return met;
}

bool History::Meant(const Down& down) const {
  if (down.planned) return true;
  return std::any_of(faults_.begin(), faults_.end(), [&](const FaultSeen& seen) {
    const Facts::Fault* fault = Of(seen, FaultKind::kBalancersKilled);
    if (fault == nullptr || down.at < seen.began_at - kTold) return false;
    if (seen.ended_at != kNever && down.at > seen.ended_at + kTold) return false;
    return std::find(fault->targets.begin(), fault->targets.end(), down.balancer) != fault->targets.end();
  });
}

bool History::StoodStill(const TryRecord& one, Micros until) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](const FaultSeen& seen) {
    const Facts::Fault* fault = Of(seen, FaultKind::kBalancersPaused);
    if (fault == nullptr || seen.began_at > until) return false;
    if (seen.ended_at != kNever && seen.ended_at + kGoesOn < one.written_at) return false;
    return std::find(fault->targets.begin(), fault->targets.end(), one.one.balancer) != fault->targets.end();
  });
}

bool History::CutOff(const AttemptRecord& attempt, Micros until) const {
  const int node = ZoneOf(facts_.nodes, attempt.seen.node);
  const int balancer = ZoneOf(facts_.balancers, attempt.seen.balancer);
  return std::any_of(faults_.begin(), faults_.end(), [&](const FaultSeen& seen) {
    const Facts::Fault* fault = Of(seen, FaultKind::kZoneCut);
    if (fault == nullptr || seen.began_at > until || seen.ended_at < attempt.seen.at) return false;
    return std::any_of(fault->targets.begin(), fault->targets.end(),
                       [&](int zone) { return (zone == node) != (zone == balancer); });
  });
}

const Facts::Fault* History::Of(const FaultSeen& seen, FaultKind kind) const {
  const Facts::Fault* fault = Find(facts_.faults, seen.action);
  return fault != nullptr && fault->kind == kind ? fault : nullptr;
}

}  // namespace burlfall::lab
