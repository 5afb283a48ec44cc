// Randomly generated histories of owners and of changes on a virtual clock, one per seed. They run the code
// of the owner and freeze modules, with messages that are lost, duplicated and delayed, leaders that fail,
// processes that pause or crash at critical points, disks that lose writes, and clocks that drift. The
// history goes to the checker. The replicated log is a single list here; consensus is simulated by
// lab/council_world.
#ifndef BURLFALL_LAB_COUNCIL_JUDGE_SIMULATION_H_
#define BURLFALL_LAB_COUNCIL_JUDGE_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "freeze/rules.h"
#include "io/time.h"
#include "lab/council_judge/history_checker.h"

namespace burlfall::lab {

// Faults that are injected to show that the checker finds them.
enum class OwnerFault {
  kNone,
  kAcceptsEveryEpoch,     // the executor accepts every epoch
  kForgetsEpochs,         // an executor that restarts without its epochs accepts acts at once
  kAcceptsBeforeWrite,    // the executor accepts an act before its epoch is on disk
  kIgnoresFailedWrite,    // a failed write counts as done
  kStaleRead,             // executors learn the epoch from a read that may be stale
  kNoFloor,               // the coordinator group is rebuilt without an epoch floor
  kExecutesFencedAct,     // an act that is refused is executed nevertheless
  kTreatsDamagedAsEmpty,  // a damaged file is treated as one without tasks
  kLast = kTreatsDamagedAsEmpty,
};
const char* NameOf(OwnerFault fault);

enum class FreezeFault {
  kNone,
  kEnforcedBeforeGrantsEnd,  // a freeze is confirmed before the grants have ended
  kByKindOnly,               // only changes of the same kind are checked for conflicts
  kAppliesStaleExpiry,       // an expiry that was overtaken by a renewal is applied
  kGrantsInIncident,         // the next step of a running change is granted during an incident
  kEpochPerChange,           // epochs are counted for each change separately
  kExpiredChangeStaysOpen,   // an expired change remains in the state
  kLeaseStartsAtAnswer,      // leases begin when the answer arrives
  kIgnoresDrift,             // the leader waits no longer than the lease
  kNewLeaderExpiresLeases,   // a new leader declares all leases expired
  kStepIgnoresLease,         // a step begins without a check of the lease
  kStepOutlivesLease,        // a step continues after the change's lease has expired
  kEmergencyNotReported,     // emergencies begun without the coordinators are never reported
  kAllowsAnyEmergency,       // changes of every kind begin without the coordinators
  kLast = kAllowsAnyEmergency,
};
const char* NameOf(FreezeFault fault);

struct SimulationOptions {
  uint64_t seed = 1;
  Micros length = 60 * kSecond;
  double loss = 0.1;                     // share of messages that are lost
  double drift_bound = 0.1;              // the drift that the settings allow
  double clock_drift = 0.1;              // the drift of the simulated clocks, at most
  Micros answer_timeout = 20 * kSecond;  // in which the checker expects an answer
};

struct SimulationResult {
  std::vector<Observation> history;
  HistoryFacts facts;
  // Numbers of events, so that a test can check that they occurred.
  size_t grants = 0;
  size_t acts_accepted = 0;
  size_t fenced = 0;
  size_t pauses = 0;
  size_t crashes = 0;
  size_t leaders = 0;
  size_t changes = 0;
  size_t abandoned = 0;
  size_t taken_over = 0;
  size_t steps = 0;
  size_t incidents_enforced = 0;
  size_t enforced_after_wait = 0;  // of these, those that had to wait for grants to end
  size_t overrides = 0;
  size_t emergencies = 0;
};
SimulationResult SimulateOwners(const SimulationOptions& options, OwnerFault fault = OwnerFault::kNone);
SimulationResult SimulateChanges(const SimulationOptions& options, FreezeFault fault = FreezeFault::kNone);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_JUDGE_SIMULATION_H_
