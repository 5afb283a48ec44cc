// From what the fleet sees to incidents, with hysteresis: open at or above `high` for `open_after` without a
// break, closed below `low` for `close_after`. Run by the owner of the work "freeze"; its commands carry that
// epoch. What is still seen is confirmed again, so that an incident ends by itself when nobody looks any
// more.
#ifndef BURLFALL_FREEZE_SIGHTS_H_
#define BURLFALL_FREEZE_SIGHTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "freeze/freeze.h"
#include "io/time.h"

namespace burlfall::freeze {

class Sights {
 public:
  explicit Sights(const Rules& rules, size_t most = 256) : rules_(rules), most_(most) {}

  // On becoming the owner: the incidents by sight that stand, so that they can be closed.
  void Begin(Micros now, const State& state, uint64_t coordinator);
  // One sight: `share` of 1, of this kind in this scope, on the own monotonic clock. Commands to propose;
  // what is lost on the way is proposed again while it is still so.
  std::vector<Command> Saw(Micros now, IncidentKind kind, const Scope& scope, double share);
  // As the own replica applied it: kOpened, kIncidentOver.
  void Applied(Micros now, const Effect& effect);

 private:
  struct Seen {
    Micros above_since = -1;  // -1: not above
    Micros below_since = -1;
    uint64_t incident = 0;  // that stands for it
    Micros confirmed = -1;  // in the log
    Micros proposed = -1;   // not again at once
  };
  const Rules rules_;
  const size_t most_;
  uint64_t coordinator_ = 0;
  std::map<std::pair<IncidentKind, Scope>, Seen> seen_;
};

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_SIGHTS_H_
