// Drawn histories of owners and of changes on a virtual clock, one seed each: the deciding rooms' own code,
// with messages that are lost, doubled and late, leaders that fall, processes that stand still or die at
// marked steps, disks that lose writes, and clocks that drift apart. What was seen goes to the judge. The log
// itself is one list here: agreeing on it is another room's.
#ifndef BURLFALL_LAB_COUNCIL_JUDGE_SIMULATION_H_
#define BURLFALL_LAB_COUNCIL_JUDGE_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "freeze/rules.h"
#include "io/time.h"
#include "lab/council_judge/history_checker.h"

namespace burlfall::lab {

// Planted, to see that the judge finds them.
enum class OwnerFault {
  kNone,
  kNoCheck,          // the executor obeys every epoch
  kForgets,          // an executor that restarts without its epochs obeys at once
  kObeysUnwritten,   // it obeys before the epoch stands on disk
  kFailedIsWritten,  // a write that failed counts as done
  kStaleRead,        // what an executor is told is from a read that does not claim to be current
  kNoFloor,          // the council begins anew without a floor
  kEffectsOfFenced,  // an act that is refused has been done all the same
  kDamagedIsEmpty,   // a damaged file is taken for one that names no work
  kLast = kDamagedIsEmpty,
};
const char* NameOf(OwnerFault fault);

enum class FreezeFault {
  kNone,
  kYesAtOnce,         // the yes before grants have ended
  kByKindOnly,        // conflicts are looked for among changes of one kind
  kStaleRunOut,       // a run-out that a renewal overtook counts
  kGrantsInIncident,  // the next step of a change that runs is granted all the same
  kEpochReused,       // epochs are counted for each change alone
  kTwoEnds,           // a change that ran out is still there
  kLeaseFromAnswer,   // leases begin when the answer comes
  kNoDrift,           // the leader's count is no longer than the lease
  kNotAnew,           // a new leader calls all leases over
  kNoLook,            // a step begins without a look at the lease
  kGoesOn,            // a step goes on after the change's lease is over
  kEmergencyNotTold,  // what was done without the council stays untold
  kAnyEmergency,      // every kind goes on without the council
  kLast = kAnyEmergency,
};
const char* NameOf(FreezeFault fault);

struct PlayOptions {
  uint64_t seed = 1;
  Micros length = 60 * kSecond;
  double loss = 0.1;
  double drift = 0.1;           // the bound that the settings name
  double apart = 0.1;           // how far the clocks run apart
  Micros bound = 20 * kSecond;  // for an answer; the judge's
};

struct Played {
  std::vector<Seen> history;
  CouncilFacts facts;
  // What happened, so that a test can hold that it did.
  size_t grants = 0;
  size_t obeyed = 0;
  size_t fenced = 0;
  size_t pauses = 0;
  size_t deaths = 0;
  size_t leaders = 0;
  size_t changes = 0;
  size_t abandoned = 0;
  size_t taken = 0;
  size_t steps = 0;
  size_t yes = 0;
  size_t yes_waited = 0;  // of them, those that had to wait
  size_t glass = 0;
  size_t emergencies = 0;
};
Played PlayOwners(const PlayOptions& options, OwnerFault fault = OwnerFault::kNone);
Played PlayChanges(const PlayOptions& options, FreezeFault fault = FreezeFault::kNone);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_JUDGE_SIMULATION_H_
