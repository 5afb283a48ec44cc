// The leases of a process that carries out a change: whether a step may begin now, and whether one under way
// may continue. Both leases are counted on the process's own monotonic clock from before the request was
// sent, so a process that was paused sees at its next check that they have expired.
#ifndef BURLFALL_FREEZE_PERMIT_H_
#define BURLFALL_FREEZE_PERMIT_H_

#include <cstdint>

#include "freeze/freeze.h"
#include "io/time.h"
#include "owner/errors.h"

namespace burlfall::freeze {

// Tracks the lease of one change and the grant of its current step.
class StepPermit {
 public:
  // `sent_at`: own clock before sending the kBegin, kStep or kRenew that this effect (kBegun, kGranted,
  // kRenewed) answers; if the request was sent several times, the first time. Only for effects whose `who` is
  // this process. Effects of another change are ignored, except kBegun and kTransferred, which start anew.
  void OnEffect(Micros sent_at, const Effect& effect);
  // kNone: the granted step may begin, under epoch(). Check right before the step, with nothing in between
  // that can block.
  Error MayBegin(Micros now) const;
  // Call after the first action of the step, with `now` read after it. A grant covers the beginning of one
  // step. kLeaseOver: the process was paused between the check and the action, so the step began too late and
  // must be undone and reported at once.
  Error OnBegun(Micros now);
  // kNone: a step that has begun may continue. kLeaseOver: stop, because another owner may have the change.
  Error MayContinue(Micros now) const;
  // The step is over, or the grant is about to be returned.
  void OnStepEnded();

  uint64_t change() const { return change_; }
  uint64_t epoch() const { return epoch_; }
  uint32_t step() const { return step_; }
  Micros begin_until() const { return begin_until_; }
  Micros continue_until() const { return continue_until_; }

 private:
  uint64_t change_ = 0;
  uint64_t epoch_ = 0;  // 0: no grant
  uint64_t last_epoch_ = 0;
  uint32_t step_ = 0;
  bool begun_ = false;
  bool change_ended_ = false;
  Micros begin_until_ = 0;
  Micros continue_until_ = 0;
};

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_PERMIT_H_
