// Turns observations of the fleet into incidents, with hysteresis: an incident opens when the share is at or
// above `high` for `open_after` without interruption, and closes when it is below `low` for `close_after`.
// Run by the owner of the task "freeze", whose epoch its commands carry. An incident whose condition still
// holds is confirmed periodically, so that it ends by itself once nobody observes it any more.
#ifndef BURLFALL_FREEZE_INCIDENT_DETECTOR_H_
#define BURLFALL_FREEZE_INCIDENT_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "freeze/freeze.h"
#include "io/time.h"

namespace burlfall::freeze {

// Opens, confirms and closes incidents from observed shares. `max_tracked` bounds its memory.
class IncidentDetector {
 public:
  explicit IncidentDetector(const Rules& rules, size_t max_tracked = 256)
      : rules_(rules), max_tracked_(max_tracked) {}

  // On becoming the owner: takes over the open observed incidents, so that it can close them.
  void BecomeCoordinator(Micros now, const State& state, uint64_t coordinator);
  // One observation on the own monotonic clock: `share` is a fraction of 1. Returns commands to propose.
  // Proposals that are lost are repeated while the condition holds.
  std::vector<Command> OnObservation(Micros now, IncidentKind kind, const Scope& scope, double share);
  // Handles kOpened and kIncidentClosed as the own replica applied them.
  void OnApplied(Micros now, const Effect& effect);

 private:
  struct Tracked {
    Micros above_since = -1;  // -1: not above
    Micros below_since = -1;
    uint64_t incident = 0;     // id of the open incident, or 0
    Micros confirmed_at = -1;  // last time in the log
    Micros proposed_at = -1;   // last proposal, to limit repetition
  };
  const Rules rules_;
  const size_t max_tracked_;
  uint64_t coordinator_ = 0;
  std::map<std::pair<IncidentKind, Scope>, Tracked> tracked_;
};

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_INCIDENT_DETECTOR_H_
