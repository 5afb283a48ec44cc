// State machine of the change freeze: decides which changes may run and what an incident stops. It is a
// deterministic function of the log entries and uses no clock, no randomness and no I/O.
// `docs/design/council_freeze.md` states its two invariants and why they hold.
//
// - A *change* is begun by kBegin, proceeds step by step, each step under a grant, and has exactly one end.
//   Its owner must send a command at least once per `change_lease`; otherwise the leader proposes kExpire,
//   which ends the change as abandoned.
// - A *grant* is the permission to BEGIN one step: a short lease with an epoch. Its holder counts the lease
//   on its own clock from before it sent the request (`freeze/permit.h`). A grant ends when it is returned
//   (kStepDone, kStepReturned, any end of the change) or when its kExpire enters the log.
// - An *incident* applies from its log entry on: what it forbids is refused after that entry. It is *in
//   force* (kIncidentInForce) once the last conflicting grant that was outstanding has been returned or has
//   expired.
// - A step that had begun is finished or undone, as the policy of the kind of change says. kHold notifies the
//   owner.
//
// kExpire names the `renewed_index` that its proposer saw. If a renewal overtook it in the log, it has no
// effect.
#ifndef BURLFALL_FREEZE_FREEZE_H_
#define BURLFALL_FREEZE_FREEZE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "freeze/rules.h"
#include "freeze/scope.h"
#include "io/time.h"
#include "owner/errors.h"
#include "owner/lease_expiry.h"
#include "owner/owner.h"

namespace burlfall::freeze {

using owner::Error;
using owner::ProcessId;

constexpr size_t kMaxSteps = 64;  // of one change

struct Command {
  enum class Kind : uint8_t {
    // Changes. All carry `who` and `request`, which the answers repeat. `change` is the id from kBegun.
    kBegin,  // change_kind, scope, steps, reason; undoes (or 0); by and reason for an emergency override
    // change, step, request (increasing): asks for a grant for the next step; by and reason request an
    // emergency override for the whole change
    kStep,
    kStepDone,      // change, epoch: returns the grant; the last step ends the change
    kStepReturned,  // change, epoch: returns the grant; the step was not begun
    kRenew,         // change: renews the owner's lease
    kUndo,          // change: from now on the steps are undone; undoing the first one ends the change
    kAbandon,       // change: ends it at its current step
    kTakeOver,      // change, to, by, reason: passes to `to` once the lease of its owner has expired
    kExpire,        // change, epoch, renewed_index: the lease of a grant expired; with epoch 0: of the change
    // Incidents.
    kOpenIncident,    // incident_kind, scope, by, reason, duration (0: until closed), observed
    kCloseIncident,   // incident, by, reason, observed
    kExpireIncident,  // incident, renewed_index: its end time has come; proposed by the leader
    // Actions that were taken without a majority.
    kRecordEmergency,  // change_kind, scope, who, number (increasing per who), reason: records it
    kRules,            // rules
    kFloor,            // epoch: all later epochs are above it; used when the council is rebuilt
  };
  Kind kind = Kind::kBegin;
  ProcessId who;
  uint64_t request = 0;
  uint64_t change = 0;
  uint64_t incident = 0;
  uint64_t epoch = 0;
  uint64_t renewed_index = 0;
  uint64_t undoes = 0;
  uint64_t number = 0;
  uint64_t coordinator = 0;  // epoch of the task "freeze" if sent on its behalf, else 0
  uint32_t step = 0;
  ChangeKind change_kind = ChangeKind::kReload;
  IncidentKind incident_kind = IncidentKind::kOperator;
  Scope scope;
  std::vector<std::string> steps;
  ProcessId to;
  std::string by;
  std::string reason;
  Micros duration = 0;
  bool observed = false;
  bool undoing = false;  // kStep: the sender expects to undo a step; refused if that is not so
  Rules rules;
};
// The leader proposes what ReadCommand() makes of these bytes, so that all replicas apply the same. It reads
// them back first and refuses as malformed what it can't read (control characters, a text that is too long).
std::string Write(const Command& command);
// Whether the command is sent by the owner of the task "freeze", under the epoch `coordinator`.
bool ActsForOwner(const Command& command);
// empty: corrupted, of another version, or too long
std::optional<Command> ReadCommand(std::string_view bytes);

enum class End : uint8_t { kOpen, kDone, kUndone, kAbandoned, kRefused };
const char* NameOf(End end);  // open, done, undone, abandoned, refused

// A result of Apply(), addressed to `who`. The comment of each kind lists the fields that it sets.
struct Effect {
  enum class What : uint8_t {
    kBegun,  // change, request, renewed_index, lease = change_lease
    // change, step, epoch, lease, entry_index: the step may begin. A kRenewed follows, as after the other
    // commands of the owner
    kGranted,
    kRenewed,      // change, renewed_index, lease = change_lease
    kTransferred,  // change, step: `who` is the new owner and must send kRenew before anything else
    kHold,         // to the owner: change, incident, step_policy; or error kHandedOver, to: it must let go
    kGrantEnded,   // change, step, epoch, error: returned (kNone) or expired (kLeaseOver)
    kEnded,        // change, step, end: the only end of the change
    // request, error; what prevents it: incident, change, kind, scope; retry_after. For kStep and kStepDone,
    // `step` is the next one
    kRefused,
    kOpened,             // incident, pending: opened, but not yet in force
    kIncidentInForce,    // incident, waited (council time): no conflicting step begins from here on
    kIncidentClosed,     // incident, by, waited (it was open); `pending` above 0: it never came into force
    kOverride,           // change, by, reason: an emergency override was used
    kEmergencyRecorded,  // number: the kRecordEmergency is on record
  };
  What what = What::kRefused;
  ProcessId who;
  uint64_t request = 0;
  uint64_t change = 0;
  uint64_t incident = 0;
  uint64_t epoch = 0;
  uint64_t entry_index = 0;  // index of the log entry
  uint64_t renewed_index = 0;
  uint64_t number = 0;
  uint64_t pending = 0;
  uint32_t step = 0;
  Micros lease = 0;
  Micros waited = 0;
  Micros retry_after = 0;
  Error error = Error::kNone;
  bool observed = false;
  bool undoing = false;  // of the change: its steps are being undone
  End end = End::kOpen;
  StepPolicy step_policy = StepPolicy::kFinish;
  ChangeKind change_kind = ChangeKind::kReload;
  IncidentKind incident_kind = IncidentKind::kOperator;
  Scope scope;
  ProcessId to;
  std::string by;
  std::string reason;
};
using Effects = std::vector<Effect>;
const char* NameOf(Effect::What what);

// The permission to begin one step (see the file comment).
struct StepGrant {
  uint64_t epoch = 0;
  uint64_t entry_index = 0;  // index of its log entry; the `renewed_index` of its lease
  uint32_t step = 0;
  Micros lease = 0;
  uint64_t request = 0;
};

// A change that is under way.
struct Change {
  uint64_t id = 0;  // index of its log entry
  ChangeKind kind = ChangeKind::kReload;
  Scope scope;
  std::vector<std::string> steps;
  ProcessId owner;
  std::string reason;
  Micros began = 0;
  uint64_t renewed_index = 0;
  Micros lease = 0;
  uint32_t steps_done = 0;  // number of steps done; decreases while undoing
  bool undoing = false;
  uint64_t undoes = 0;
  std::set<uint64_t> overridden_incidents;  // incidents that an emergency override covers
  bool last_step_uncertain = false;         // its last grant expired: that step may be under way or done
  uint64_t begin_request = 0;               // of its kBegin
  std::optional<StepGrant> grant;
  uint64_t last_grant_epoch = 0;   // of the last grant, also if it expired: the step may be under way
  uint64_t last_step_request = 0;  // of the kStep that was last granted
  std::optional<ProcessId> successor;
};

// An open incident.
struct Incident {
  uint64_t id = 0;
  IncidentKind kind = IncidentKind::kOperator;
  Scope scope;
  std::string by;
  std::string reason;
  bool observed = false;
  Micros opened = 0;           // council time
  Micros until = 0;            // 0: until it is closed
  uint64_t renewed_index = 0;  // index of the entry that set `until`
  bool in_force = false;
  Micros waited = 0;
  std::set<uint64_t> pending_grants;   // epochs of the grants that it waits for
  std::set<uint64_t> running_at_open;  // conflicting changes that ran when it opened; they may be undone
};

// A change or incident that has ended, or an emergency action that was taken without a majority.
struct HistoryEntry {
  enum class What : uint8_t { kChange, kIncident, kEmergency };
  What what = What::kChange;
  uint64_t id = 0;
  ChangeKind change_kind = ChangeKind::kReload;
  IncidentKind incident_kind = IncidentKind::kOperator;
  Scope scope;
  End end = End::kDone;
  uint32_t step = 0;
  ProcessId who;
  uint64_t request = 0;
  std::string by;
  std::string reason;
  Error error = Error::kNone;
  Micros began = 0;
  Micros ended = 0;
};

// A record of an emergency override ("break the glass") by a named person.
struct Override {
  uint64_t change = 0;
  std::string by;
  std::string reason;
  Micros at = 0;
};

// Faults that tests inject to prove that the checker finds them. All are off in service.
struct Faults {
  bool yes_at_once = false;    // an incident is in force before conflicting grants have ended
  bool by_kind_only = false;   // conflicts are looked for only among changes of the same kind
  bool stale_run_out = false;  // a kExpire takes effect although a renewal overtook it
  // an incident refuses new changes, but not the next step of a running change
  bool grants_in_incident = false;
  bool epoch_reused = false;  // the epoch of a grant is one above the last of its own change
  bool two_ends = false;      // a change that expired can still be completed
};

// The replicated state. All replicas that apply the same entries hold the same state and return the same
// effects.
class State {
 public:
  State() = default;
  explicit State(Faults faults) : faults_(faults) {}

  // `index` increases from entry to entry; `at` is council time. `epoch_error`: why the epoch under which the
  // command was sent is not that of the owner of the task "freeze" at this entry
  // (owner::State::CheckEpoch()); such a command has no effect and is refused with this error.
  Effects Apply(uint64_t index, Micros at, const Command& command, Error epoch_error = Error::kNone);

  std::string Save() const;
  static std::optional<State> Load(std::string_view bytes);

  const std::map<uint64_t, Change>& changes() const { return changes_; }
  const std::map<uint64_t, Incident>& incidents() const { return incidents_; }
  const std::deque<HistoryEntry>& history() const { return history_; }
  const std::deque<Override>& overrides() const { return overrides_; }
  uint64_t overrides_dropped() const { return overrides_dropped_; }
  const Rules& rules() const { return rules_; }
  uint64_t last_epoch() const { return last_epoch_; }
  uint64_t coordinator() const { return coordinator_; }

  // Returns the first incident that forbids this change, or null. To check a change that has not begun, pass
  // a Change with kind, scope, undoes and overridden_incidents.
  const Incident* ForbiddenBy(const Change& change) const;
  // All current leases, for owner::LeaseExpiry. The keys are "change 7" and "grant 9", with epoch 0 and the
  // epoch of the grant.
  std::vector<owner::Lease> Leases() const;
  // The kExpireIncident commands to propose for incidents whose end time has come at council time `at`.
  std::vector<Command> IncidentsDue(Micros at) const;

 private:
  const Change* ConflictOf(const Change& change) const;
  const Change* OverLimit(const Change& change) const;
  bool Forbids(const Incident& incident, const Change& change) const;
  Effect Answer(const Command& command) const;
  Effect& Refuse(const Command& command, Error error, Effects& effects) const;
  void EndGrant(Change& change, Error why, Effects& effects);
  void EndChange(uint64_t id, End end, Error why, Effects& effects);
  void ResolvePending(uint64_t epoch, Effects& effects);
  void MarkInForce(Incident& incident, uint64_t request, Effects& effects) const;
  void EndIncident(uint64_t id, const Command& command, Effects& effects);
  bool PassesIncidents(Change& change, const Command& command, Effects& effects);
  void RenewChange(uint64_t index, Change& change, const Command& command, Effects& effects);
  void Transfer(uint64_t index, Change& change, Effects& effects);
  void AddToHistory(HistoryEntry entry);
  uint64_t NewEpoch(uint64_t index, const Change& change);
  void BeginChange(uint64_t index, const Command& command, Effects& effects);
  void GrantStep(uint64_t index, const Command& command, Effects& effects);
  void EndStep(uint64_t index, const Command& command, Effects& effects);
  void ApplyToChange(uint64_t index, const Command& command, Effects& effects);
  void Expire(uint64_t index, const Command& command, Effects& effects);
  void OpenIncident(uint64_t index, const Command& command, Effects& effects);

  Faults faults_;
  Rules rules_;
  uint64_t floor_ = 0;
  uint64_t last_epoch_ = 0;
  uint64_t coordinator_ = 0;  // highest epoch of the task "freeze" seen here
  Micros council_time_ = 0;
  std::map<uint64_t, Change> changes_;      // by id
  std::map<uint64_t, Incident> incidents_;  // open ones, by id
  std::deque<HistoryEntry> history_;
  std::deque<Override> overrides_;
  uint64_t overrides_dropped_ = 0;
  std::map<std::string, std::pair<uint64_t, uint64_t>>
      last_recorded_;  // name -> incarnation and number of the last kRecordEmergency
};

// For the leader: TrackLeases() feeds applied effects into its lease timers, and MakeExpireCommand() makes
// the command to propose for an expired lease.
void TrackLeases(owner::LeaseExpiry& lapse, Micros now, const Effects& effects);
Command MakeExpireCommand(const owner::Lease& lease);

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_FREEZE_H_
