// Errors of the council, in one table for logs, HTTP answers, exit codes and pages. The names are stable
// because operators' scripts read them.
#ifndef BURLFALL_OWNER_ERRORS_H_
#define BURLFALL_OWNER_ERRORS_H_

#include <cstdint>

namespace burlfall::owner {

enum class Error : uint8_t {
  kNone,
  kNoMajority,       // fewer than half of the voters answer
  kNoCouncil,        // no answer from the council within the own lease or time-out
  kNotLeader,        // the voter that was asked does not lead, and no leader is known
  kFenced,           // the epoch is lower than one that was accepted, or than the current one
  kLeaseOver,        // the own lease has expired on the own clock
  kNotOwner,         // the task, change or grant belongs to another process, or to nobody
  kHandedOver,       // the task or change is being handed over and is not renewed
  kTakenAway,        // an operator revoked it
  kUnknownWork,      // nobody ever requested this task
  kUnknownChange,    // not open, and not in the history
  kUnknownIncident,  // not open, and not in the history
  kFrozen,           // forbidden by an incident
  kConflict,         // its scope overlaps that of a change under way
  kLimit,            // the zone or group has as many changes under way as the settings allow
  kGrantOut,         // a step of this change has a grant that was neither returned nor has expired
  kWrongStep,        // not the next step
  kTooMany,          // a bound of the state is reached
  kMalformed,        // an invalid command: no name, scope, steps or reason
  kNotTold,          // an executor without a disk does not know the current epochs yet
  kNotWritten,       // an executor has not written the epoch to disk yet
  kDiskLost,         // durable state can't be read or written; this voter does not vote
  kVoterUnknown,     // a voter with an empty or older disk, or one that was removed
  kMajorityLost,     // more voters have lost their disks than the council tolerates
  kVotersChanging,   // a change of voters is under way
  kStale,            // the local state is older than the read allows
};
constexpr int kErrorCount = static_cast<int>(Error::kStale) + 1;

// snake_case and stable; "none" for kNone.
const char* NameOf(Error error);
// One sentence that tells an operator how to resolve the error.
const char* WhatToDo(Error error);

}  // namespace burlfall::owner

#endif  // BURLFALL_OWNER_ERRORS_H_
