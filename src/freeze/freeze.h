// The change-freeze coordinator: which changes may run, and what an incident stops. A function of the
// council's entries: no clock, no chance, no I/O. `docs/design/council_freeze.md` states its two invariants
// and why they hold.
//
// - A *change* is begun by kAsk, goes step by step, each under a grant, and has exactly one end. Its owner
// says
//   something at least once in `change_lease`, or the leader's kRunOut ends it as abandoned.
// - A *grant* is the permission to BEGIN one step: a short lease with an epoch. Its holder counts the lease
// on
//   its own clock from before it asked (`freeze/permit.h`); it is handed back (kStepDone, kStepBack, and
//   every end of the change), or its kRunOut enters the log.
// - An *incident* stands from its entry on: what it forbids is refused from there. Its *yes* is an effect
// that
//   comes when the last of the grants that were out, and that it forbids, is handed back or has run out.
// - A step that had begun is finished or undone, as the kind's rule says: kHold tells its owner.
//
// kRunOut names the `renewed` that its proposer saw; a renewal that overtook it in the log makes it void.
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
#include "owner/lapse.h"
#include "owner/owner.h"

namespace burlfall::freeze {

using owner::Error;
using owner::Who;

constexpr size_t kMostSteps = 64;  // of one change

struct Command {
  enum class Kind : uint8_t {
    // Changes. All name `who` and `request`, and their answers do; `change` is the id that kBegun told.
    kAsk,   // change_kind, scope, steps, reason; undoes (or 0); by + reason for break-glass
    kStep,  // change, step, request (grows): a grant for the next step; by + reason break the glass for the
            // whole change
    kStepDone,  // change, epoch: hands back; the last step's is the change's end
    kStepBack,  // change, epoch: hands back, the step was not begun
    kKeep,      // change: the owner lives
    kUndo,      // change: from now on its steps lead back; the last of them is its end
    kAbandon,   // change: its end, at the step where it is
    kTakeOver,  // change, to, by, reason: goes to `to` when its owner's lease is over
    kRunOut,    // change, epoch, renewed: of a grant; with epoch 0: of the change
    // Incidents.
    kOpen,   // incident_kind, scope, by, reason, lasts (span, 0: until closed), sight
    kClose,  // incident, by, reason, sight
    kEnds,   // incident, renewed: its own end time has come; proposed by the leader
    // What was done without a majority.
    kWasDone,  // change_kind, scope, who, number (grows per who), reason: goes on record
    kRules,    // rules
    kFloor,    // epoch: all epochs from now on are above it; beginning anew
  };
  Kind kind = Kind::kAsk;
  Who who;
  uint64_t request = 0;
  uint64_t change = 0;
  uint64_t incident = 0;
  uint64_t epoch = 0;
  uint64_t renewed = 0;
  uint64_t undoes = 0;
  uint64_t number = 0;
  uint64_t coordinator = 0;  // epoch of the work "freeze", where the command is sent on its behalf; else 0
  uint32_t step = 0;
  ChangeKind change_kind = ChangeKind::kReload;
  IncidentKind incident_kind = IncidentKind::kOperator;
  Scope scope;
  std::vector<std::string> steps;
  Who to;
  std::string by;
  std::string reason;
  Micros lasts = 0;
  bool sight = false;
  bool undoing = false;  // kStep: the asker takes it for a step back; what is not so is refused
  Rules rules;
};
// What is proposed is what ReadCommand() makes of these bytes, at all replicas alike: the proposer reads them
// back first, and refuses as malformed what it can't read (a text with control characters, one that is too
// long).
std::string Write(const Command& command);
std::optional<Command> ReadCommand(std::string_view bytes);  // empty: damaged, of another version, too long

enum class End : uint8_t { kOpen, kDone, kUndone, kAbandoned, kRefused };
const char* NameOf(End end);  // open, done, undone, abandoned, refused

struct Effect {
  enum class What : uint8_t {
    kBegun,      // change, request, renewed, lease = change_lease
    kGranted,    // change, step, epoch, lease, position: may begin. A kKept follows, as after all its words
    kKept,       // change, renewed, lease = change_lease
    kTaken,      // change, step: its new owner is `who`, who says kKeep before anything else
    kHold,       // change, incident, how; or error kHandedOver, to: it is to let go. To the change's owner
    kGrantOver,  // change, step, epoch, error: handed back (kNone) or run out (kLeaseOver)
    kEnded,      // change, step, end: its one end
    kRefused,    // request, error; what stands against it: incident, change, kind, scope; retry (span); of a
                 // kStep or kStepDone, `step` is the next one
    kOpened,     // incident, pending: stands; not yet the yes
    kIncidentYes,   // incident, waited (council time): no conflicting step begins from here
    kIncidentOver,  // incident, by, waited (it stood); `pending` above 0: the yes never came
    kGlass,         // change, by, reason: glass was broken
    kNoted,         // kWasDone stands on record; number
  };
  What what = What::kRefused;
  Who who;
  uint64_t request = 0;
  uint64_t change = 0;
  uint64_t incident = 0;
  uint64_t epoch = 0;
  uint64_t position = 0;  // index of the entry
  uint64_t renewed = 0;
  uint64_t number = 0;
  uint64_t pending = 0;
  uint32_t step = 0;
  Micros lease = 0;
  Micros waited = 0;
  Micros retry = 0;
  Error error = Error::kNone;
  bool sight = false;
  bool undoing = false;  // of the change: its steps lead back
  End end = End::kOpen;
  UnderWay how = UnderWay::kFinish;
  ChangeKind change_kind = ChangeKind::kReload;
  IncidentKind incident_kind = IncidentKind::kOperator;
  Scope scope;
  Who to;
  std::string by;
  std::string reason;
};
using Effects = std::vector<Effect>;
const char* NameOf(Effect::What what);

struct Grant {
  uint64_t epoch = 0;
  uint64_t position = 0;  // index of its entry: the lease's `renewed`
  uint32_t step = 0;
  Micros lease = 0;
  uint64_t request = 0;
};

struct Change {
  uint64_t id = 0;  // the index of its entry
  ChangeKind kind = ChangeKind::kReload;
  Scope scope;
  std::vector<std::string> steps;
  Who owner;
  std::string reason;
  Micros began = 0;
  uint64_t renewed = 0;
  Micros lease = 0;
  uint32_t next = 0;  // steps done; an undo counts down
  bool undoing = false;
  uint64_t undoes = 0;
  std::set<uint64_t> glass;  // incidents that it goes past, by name and reason
  bool doubt = false;        // its last grant ran out: that step may be under way, or done
  uint64_t request = 0;      // of its kAsk
  std::optional<Grant> grant;
  uint64_t last_epoch = 0;    // of the last grant, also when it ran out: the step may be under way
  uint64_t last_request = 0;  // of the kStep that it answered
  std::optional<Who> heir;
};

struct Incident {
  uint64_t id = 0;
  IncidentKind kind = IncidentKind::kOperator;
  Scope scope;
  std::string by;
  std::string reason;
  bool sight = false;
  Micros opened = 0;     // council time
  Micros until = 0;      // 0: until it is closed
  uint64_t renewed = 0;  // index of the entry that set `until`
  bool yes = false;
  Micros waited = 0;
  std::set<uint64_t> pending;  // epochs of grants that it waits for
  std::set<uint64_t> ran;      // changes that it forbids and that ran as it opened: may be undone
};

// What has ended, or was done without a majority.
struct Past {
  enum class What : uint8_t { kChange, kIncident, kEmergency };
  What what = What::kChange;
  uint64_t id = 0;
  ChangeKind change_kind = ChangeKind::kReload;
  IncidentKind incident_kind = IncidentKind::kOperator;
  Scope scope;
  End end = End::kDone;
  uint32_t step = 0;
  Who who;
  uint64_t request = 0;
  std::string by;
  std::string reason;
  Error error = Error::kNone;
  Micros began = 0;
  Micros ended = 0;
};

struct Glass {
  uint64_t change = 0;
  std::string by;
  std::string reason;
  Micros at = 0;
};

// Faults planted by tests, to see that the judge finds them. All off in service.
struct Faults {
  bool yes_at_once = false;         // the yes before grants have ended
  bool by_kind_only = false;        // conflicts are looked for among changes of the same kind only
  bool stale_run_out = false;       // a kRunOut that a renewal overtook counts
  bool grants_in_incident = false;  // an incident refuses new changes, but not the next step of one that runs
  bool epoch_reused = false;        // a grant's epoch is one above the last of its own change
  bool two_ends = false;            // a change that ran out can still be done
};

class State {
 public:
  State() = default;
  explicit State(Faults faults) : faults_(faults) {}

  Effects Apply(uint64_t index, Micros at, const Command& command);

  std::string Save() const;
  static std::optional<State> Load(std::string_view bytes);

  const std::map<uint64_t, Change>& changes() const { return changes_; }
  const std::map<uint64_t, Incident>& incidents() const { return incidents_; }
  const std::deque<Past>& history() const { return history_; }
  const std::deque<Glass>& glass() const { return glass_; }
  uint64_t glass_forgotten() const { return glass_forgotten_; }
  const Rules& rules() const { return rules_; }
  uint64_t last_epoch() const { return last_epoch_; }
  uint64_t coordinator() const { return coordinator_; }

  // The first incident that forbids it, or none. For a step of a change that stands; for one to be asked for,
  // give a Change with kind, scope, undoes and glass.
  const Incident* ForbiddenBy(const Change& change) const;
  // All leases that stand, for owner::Lapse: keys "change 7" and "grant 9", epochs 0 and the grant's.
  std::vector<owner::Lease> Leases() const;
  // Those whose own end time has come at council time `at`, as the kEnds to propose.
  std::vector<Command> EndsDue(Micros at) const;

 private:
  const Change* ConflictOf(const Change& change) const;
  const Change* OverLimit(const Change& change) const;
  bool Forbids(const Incident& incident, const Change& change) const;
  Effect Answer(const Command& command) const;
  Effect& Refuse(const Command& command, Error error, Effects& effects) const;
  void ReturnGrant(Change& change, Error why, Effects& effects);
  void EndChange(uint64_t id, End end, Error why, Effects& effects);
  void Resolve(uint64_t epoch, Effects& effects);
  void Yes(Incident& incident, uint64_t request, Effects& effects) const;
  void EndIncident(uint64_t id, const Command& command, Effects& effects);
  bool Passes(Change& change, const Command& command, Effects& effects);
  void Renew(uint64_t index, Change& change, const Command& command, Effects& effects);
  void Transfer(uint64_t index, Change& change, Effects& effects);
  void Keep(Past past);
  uint64_t NewEpoch(uint64_t index, const Change& change);
  void Ask(uint64_t index, const Command& command, Effects& effects);
  void Step(uint64_t index, const Command& command, Effects& effects);
  void StepDone(uint64_t index, const Command& command, Effects& effects);
  void OfChange(uint64_t index, const Command& command, Effects& effects);
  void RunOut(uint64_t index, const Command& command, Effects& effects);
  void Open(uint64_t index, const Command& command, Effects& effects);

  Faults faults_;
  Rules rules_;
  uint64_t floor_ = 0;
  uint64_t last_epoch_ = 0;
  uint64_t coordinator_ = 0;  // highest epoch of "freeze" that was obeyed here
  Micros at_ = 0;
  std::map<uint64_t, Change> changes_;      // by id
  std::map<uint64_t, Incident> incidents_;  // by id; open
  std::deque<Past> history_;
  std::deque<Glass> glass_;
  uint64_t glass_forgotten_ = 0;
  std::map<std::string, std::pair<uint64_t, uint64_t>>
      was_done_;  // name -> life and number of the last kWasDone
};

// For whoever leads: what was applied, into its count of leases; and the command that a due lease is proposed
// by.
void Count(owner::Lapse& lapse, Micros now, const Effects& effects);
Command RunOutOf(const owner::Lease& lease);

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_FREEZE_H_
