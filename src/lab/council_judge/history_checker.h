// What was seen from outside of owners, executors, changes and incidents, held against invariants 1 to 4 of
// docs/design/council_freeze.md and council_owner.md. It has its own reading of the rules: of the rooms it
// judges it uses the plain data and whether two scopes meet. No I/O, no clock.
#ifndef BURLFALL_LAB_COUNCIL_JUDGE_HISTORY_CHECKER_H_
#define BURLFALL_LAB_COUNCIL_JUDGE_HISTORY_CHECKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "freeze/freeze.h"
#include "freeze/rules.h"
#include "freeze/scope.h"
#include "io/time.h"
#include "owner/errors.h"
#include "owner/owner.h"

namespace burlfall::lab {

// One thing seen, at a time of the outside: the events of a history stand in their order.
struct Seen {
  enum class What : uint8_t {
    // Owners and executors.
    kOwned,      // work, who, epoch: granted
    kObeyed,     // place (an executor, the same over its restarts), work, epoch, act (a number of its own)
    kFencedAct,  // place, work, epoch, act: refused for its epoch
    kHadEffect,  // place, act
    // Changes, as the log has them.
    kChangeBegan,  // change, change_kind, scope, undoes
    kChangeEnded,  // change, end, error (kLeaseOver: called over)
    kMayGoOn,  // change, until: its holder takes the change for its own until then, on the outside's clock
    // Steps, as whoever carries them out does.
    kStepBegan,  // change, step, place, undoing
    kStepEnded,  // change, place: over, or stopped where it was
    // Incidents.
    kIncidentStands,  // incident, incident_kind, scope
    kIncidentYes,     // incident
    kIncidentOver,    // incident
    kGlass,           // change: on record, against the incidents that stand
    kEmergency,       // place, number, change_kind, scope: begun without the council
    kNoted,           // place, number: on record
    // Whether those that ask are served.
    kAsked,     // place, number, change_kind, scope, undoes
    kAnswered,  // place, number, error
    kWentAway,  // place, number: whoever asked waits no more
    kMajority,  // up
  };
  Micros at = 0;
  What what = What::kOwned;
  std::string place;
  std::string work;
  owner::ProcessId who;
  uint64_t epoch = 0;
  uint64_t act = 0;
  uint64_t change = 0;
  uint64_t incident = 0;
  uint64_t undoes = 0;
  uint64_t number = 0;
  uint32_t step = 0;
  Micros until = 0;
  bool undoing = false;
  bool up = false;
  freeze::End end = freeze::End::kOpen;
  owner::Error error = owner::Error::kNone;
  freeze::ChangeKind change_kind = freeze::ChangeKind::kReload;
  freeze::IncidentKind incident_kind = freeze::IncidentKind::kOperator;
  freeze::Scope scope;
};

struct CouncilFacts {
  freeze::Rules rules;
  Micros bound = 10 * kSecond;  // for an answer, while a majority is there
  // The history goes on until all is at rest: what began has an end, and what was done is on record.
  bool complete = true;
};

struct Broken {
  int invariant = 0;
  Micros at = 0;
  std::string what;
};

std::vector<Broken> JudgeCouncil(const std::vector<Seen>& history, const CouncilFacts& facts);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_JUDGE_HISTORY_CHECKER_H_
