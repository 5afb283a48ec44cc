// What the council can say no with: one table for log, HTTP answer, exit code and page. An error's name is
// stable: scripts of operators read it.
#ifndef BURLFALL_OWNER_ERRORS_H_
#define BURLFALL_OWNER_ERRORS_H_

#include <cstdint>

namespace burlfall::owner {

enum class Error : uint8_t {
  kNone,
  kNoMajority,       // fewer than half of the voters answer
  kNoCouncil,        // no answer from the council within one's own lease or patience
  kNotLeader,        // asked at a voter that does not lead, and none is known
  kFenced,           // an epoch lower than one that was obeyed, or than the present one
  kLeaseOver,        // one's own permission has run out on one's own clock
  kNotOwner,         // the work, change or grant is another's, or nobody's
  kHandedOver,       // the work or change is being handed to another, and is not renewed
  kTakenAway,        // by an operator
  kUnknownWork,      // never wanted by anybody
  kUnknownChange,    // not open, and not among the last that ended
  kUnknownIncident,  // likewise
  kFrozen,           // forbidden by an incident
  kConflict,         // its scope meets that of a change under way
  kLimit,            // as many of the zone or group are on their way as the settings allow
  kGrantOut,         // a step of this change has a grant that is neither handed back nor run out
  kWrongStep,        // not the one that is next
  kTooMany,          // a bound of the state is reached
  kMalformed,        // a command that can't be: no name, no scope, no steps, no reason
  kNotTold,          // an executor without a disk, which the council has not told the epochs yet
  kNotWritten,       // an executor that has not the epoch on disk yet
  kDiskLost,         // durable state can't be read or written; this voter does not vote
  kVoterUnknown,     // a voter with an empty or older disk, or one that is no voter any more
  kMajorityLost,     // more voters have lost their disks than the council bears
  kVotersChanging,   // a change of voters is under way
  kStale,            // the state here is older than the read may be
};
constexpr int kErrors = static_cast<int>(Error::kStale) + 1;

// snake_case, stable; "none" for kNone.
const char* NameOf(Error error);
// One sentence for an operator.
const char* WhatToDo(Error error);

}  // namespace burlfall::owner

#endif  // BURLFALL_OWNER_ERRORS_H_
