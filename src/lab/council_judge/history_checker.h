// Checks a history of owners, executors, changes and incidents, as observed from outside, against invariants
// 1 to 4 of docs/design/council_freeze.md and council_owner.md. It implements the rules independently: from
// the modules that it checks it uses only the plain data types and the test whether two scopes overlap. No
// I/O, no clock.
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

// One event of a history, observed from outside; the events of a history are in order of time. The comment of
// each kind lists the fields that it uses.
struct Observation {
  enum class What : uint8_t {
    // Owners and executors.
    kEpochGranted,  // task, who, epoch
    kActAccepted,   // place (an executor, unchanged by restarts), task, epoch, act (a number unique to the
                    // act)
    kActFenced,     // place, task, epoch, act: refused because of its epoch
    kActHadEffect,  // place, act
    // Changes, as recorded in the log.
    kChangeBegan,      // change, change_kind, scope, undoes
    kChangeEnded,      // change, end, error (kLeaseOver: its lease was declared expired)
    kChangeLeaseHeld,  // change, until: its holder relies on the change's lease until then, in outside time
    // Steps, as observed where they are executed.
    kStepBegan,  // change, step, place, undoing
    kStepEnded,  // change, place: completed, or stopped before its end
    // Incidents.
    kIncidentOpened,     // incident, incident_kind, scope
    kIncidentEnforced,   // incident: its freeze is in force
    kIncidentEnded,      // incident
    kEmergencyOverride,  // change: recorded in the log, against all open incidents
    kEmergency,          // place, number, change_kind, scope: begun without the coordinators
    kEmergencyOnRecord,  // place, number: recorded in the log
    // Whether requests are answered.
    kRequestSent,        // place, number, change_kind, scope, undoes
    kRequestAnswered,    // place, number, error
    kRequestDropped,     // place, number: the requester no longer waits
    kMajorityAvailable,  // up
  };
  Micros at = 0;
  What what = What::kEpochGranted;
  std::string place;
  std::string task;
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

// What the checker must know beside the history.
struct HistoryFacts {
  freeze::Rules rules;
  Micros answer_timeout = 10 * kSecond;  // in which a request is answered while a majority is available
  // The history runs until all activity has ended: each change has an end, and each emergency is on record.
  bool complete = true;
};

// `invariant`: its number, 1 to 4.
struct Violation {
  int invariant = 0;
  Micros at = 0;
  std::string what;
};

// Returns the violations found, at most 100.
std::vector<Violation> CheckHistory(const std::vector<Observation>& history, const HistoryFacts& facts);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_JUDGE_HISTORY_CHECKER_H_
