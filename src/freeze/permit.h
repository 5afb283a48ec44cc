// The side of whoever carries out a change: whether a step may begin now, and whether one under way may go
// on. Both leases are counted on the own monotonic clock from before the question left; a process that stood
// still finds out at its next look.
#ifndef BURLFALL_FREEZE_PERMIT_H_
#define BURLFALL_FREEZE_PERMIT_H_

#include <cstdint>

#include "freeze/freeze.h"
#include "io/time.h"
#include "owner/errors.h"

namespace burlfall::freeze {

class Permit {
 public:
  // `asked`: the own clock before the kAsk, kStep or kKeep left that this effect (kBegun, kGranted, kKept)
  // answers; of several tries of one request, the first. Only effects whose `who` is this process. An effect
  // of another change is passed over, but for kBegun and kTaken, which begin anew.
  void Heard(Micros asked, const Effect& effect);
  // kNone: the granted step may begin, under epoch(). Asked right before, with nothing between that can wait.
  Error MayBegin(Micros now) const;
  // The step's first act is done; `now` is read after it. A grant begins one step. kLeaseOver: the process
  // stood still between its look and the act, and the step began too late: it is to be undone at once, and
  // told.
  Error Begun(Micros now);
  // kNone: a step that has begun may go on. kLeaseOver: stop where it is: the change is no longer one's own.
  Error MayGoOn(Micros now) const;
  // The step is over, or the grant is about to be handed back.
  void Ended();

  uint64_t change() const { return change_; }
  uint64_t epoch() const { return epoch_; }
  uint32_t step() const { return step_; }
  Micros begin_until() const { return begin_until_; }
  Micros go_until() const { return go_until_; }

 private:
  uint64_t change_ = 0;
  uint64_t epoch_ = 0;  // 0: no grant
  uint64_t last_epoch_ = 0;
  uint32_t step_ = 0;
  bool begun_ = false;
  bool over_ = false;
  Micros begin_until_ = 0;
  Micros go_until_ = 0;
};

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_PERMIT_H_
