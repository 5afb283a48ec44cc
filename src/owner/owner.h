// Ownership of named tasks: the part of the council's state that is replicated by the log. It is a
// deterministic function of the entries and uses no clock, no randomness and no I/O.
// `docs/design/council_owner.md` gives the reasons for this design.
//
// - A grant has an *epoch*, the fencing token. It derives from the index of the log entry that made the
//   grant, and is above all earlier epochs of any task and above the floor that an operator sets when a lost
//   council is rebuilt.
// - A grant has a *lease*, which this state does not time. The holder counts it from before its request
//   (`owner/holder.h`), the leader from when it applied the grant (`owner/lease_expiry.h`); the leader then
//   proposes kExpire, which names the last renewal that it knew. If a renewal overtook it in the log, it has
//   no effect.
// - A task is granted to another process only after its owner released it or the lease expired at the leader.
//   Safety does not depend on that, since executors refuse lower epochs (`owner/executor.h`).
#ifndef BURLFALL_OWNER_OWNER_H_
#define BURLFALL_OWNER_OWNER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/time.h"
#include "owner/errors.h"
#include "owner/lease_expiry.h"

namespace burlfall::owner {

constexpr size_t kMaxNameSize = 128;    // bytes; name of a task, a member or an operator
constexpr size_t kMaxReasonSize = 512;  // bytes

// Tasks that have an owner from the start. the coordinator, which turns observations of the fleet into
// incidents
constexpr const char* kFreezeTask = "freeze";
constexpr const char* kEjectionTask = "ejection";   // counts the ejection votes
constexpr const char* kListCallTask = "list_call";  // fetches the full list from the list service

// Identifies a process: the name of a member and the start number of the process. A restarted process is
// another.
struct ProcessId {
  std::string name;
  uint64_t incarnation = 0;
  auto operator<=>(const ProcessId&) const = default;
};

// Equal at all replicas, since they are part of the log (kRules). A leader whose settings differ proposes its
// own.
struct Rules {
  Micros lease = 2 * kSecond;
  uint64_t max_tasks = 64;
  uint64_t max_waiters = 16;  // per task
  bool operator==(const Rules&) const = default;
};

struct Command {
  enum class Kind : uint8_t {
    kAcquire,   // task, who, request: asks for the task; queued if another process owns it
    kRenew,     // task, who, epoch, request
    kRelease,   // task, who, epoch: the owner has stopped. With epoch 0: leaves the queue
    kHandOver,  // task, epoch, to: the owner must stop; `to` gets the task after release or expiry
    kRevoke,    // task, by, reason: the owner must stop, and gets the task again only after another owner
    kExpire,    // task, epoch, renewed_index: proposed by the leader
    kFloor,     // epoch, by: all later epochs are above it, and each owner must stop; for a rebuilt council
    kRules,     // rules
  };
  Kind kind = Kind::kAcquire;
  std::string task;
  ProcessId who;
  uint64_t epoch = 0;
  uint64_t request = 0;        // chosen by the sender; its answers repeat it
  uint64_t renewed_index = 0;  // kExpire: OwnedTask::renewed_index as the proposer saw it
  ProcessId to;
  std::string by;
  std::string reason;
  Rules rules;
};
// The leader proposes what ReadCommand() makes of these bytes, so that all replicas apply the same. It reads
// them back first and refuses as malformed what it can't read (control characters, a text that is too long).
std::string Write(const Command& command);
// empty: corrupted, of another version, or too long
std::optional<Command> ReadCommand(std::string_view bytes);

// A result of Apply(), addressed to `who`. The comment of each kind lists the fields that it sets.
struct Effect {
  enum class What : uint8_t {
    kGranted,  // who, epoch, lease, renewed_index, request: of the kAcquire that it answers
    kRenewed,  // who, epoch, lease, renewed_index, request
    kQueued,   // who, request: waits behind the owner with `epoch`
    kRefused,  // who, request, error; `epoch` is the current one
    kStop,     // who, epoch, error: the owner must stop and release; renewals are refused
    kEnded,    // who, epoch: released (error kNone) or expired (kLeaseOver)
  };
  What what = What::kRefused;
  std::string task;
  ProcessId who;
  uint64_t epoch = 0;
  uint64_t request = 0;
  Micros lease = 0;
  uint64_t renewed_index = 0;  // index of the entry that gave the lease, for LeaseExpiry
  Error error = Error::kNone;
  std::string by;
  std::string reason;
};
using Effects = std::vector<Effect>;
const char* NameOf(Effect::What what);

// A process that waits for a task.
struct Waiter {
  ProcessId who;
  uint64_t request = 0;
};

// The ownership of one task.
struct OwnedTask {
  std::optional<ProcessId> owner;
  uint64_t epoch = 0;                  // the last one granted, also while nobody owns the task
  uint64_t renewed_index = 0;          // index of the entry that granted or last renewed it
  Micros since = 0;                    // council time of the grant
  Micros lease = 0;                    // as granted
  Error stop_reason = Error::kNone;    // kHandedOver, kTakenAway or kFenced (by a floor): no renewal
  std::optional<ProcessId> successor;  // of a hand-over; served before the queue
  std::optional<ProcessId> barred;     // the incarnation that it was revoked from
  std::deque<Waiter> queue;
};

// The replicated state. All replicas that apply the same entries hold the same state.
class State {
 public:
  // `index` increases from entry to entry; `at` is council time. An invalid entry changes nothing and is
  // answered with kRefused. Has no effects outside this object.
  Effects Apply(uint64_t index, Micros at, const Command& command);

  std::string Save() const;
  static std::optional<State> Load(std::string_view bytes);

  const std::map<std::string, OwnedTask>& tasks() const { return tasks_; }
  // The last epoch granted for this task, or 0 if there was none, and never below the floor. An executor
  // without a disk gets it through a linearizable read.
  uint64_t EpochOf(const std::string& task) const;
  // Whether a command on behalf of the task's owner may take effect at this point of the log: kNone if the
  // task is owned under this epoch. kFenced: a later epoch was granted, or the floor is not below this one.
  // kLeaseOver: the owner released the task or its lease expired. kNotOwner: this epoch was never granted.
  Error CheckEpoch(const std::string& task, uint64_t epoch) const;
  // All current leases, for LeaseExpiry; the key is the name of the task.
  std::vector<Lease> Leases() const;
  const Rules& rules() const { return rules_; }
  uint64_t floor() const { return floor_; }
  uint64_t last_epoch() const { return last_epoch_; }

 private:
  void Grant(uint64_t index, Micros at, const std::string& name, const ProcessId& who, uint64_t request,
             Effects& effects);
  void EndOwnership(uint64_t index, Micros at, const std::string& name, Error why, Effects& effects);

  Rules rules_;
  uint64_t floor_ = 0;
  uint64_t last_epoch_ = 0;  // of any task
  Micros council_time_ = 0;
  std::map<std::string, OwnedTask> tasks_;
};

// For the leader: TrackLeases() feeds applied effects into its lease timers, and MakeExpireCommand() makes
// the command to propose for an expired lease.
void TrackLeases(LeaseExpiry& lapse, Micros now, const Effects& effects);
Command MakeExpireCommand(const Lease& lease);

}  // namespace burlfall::owner

#endif  // BURLFALL_OWNER_OWNER_H_
