#include "owner/errors.h"

#include <array>
#include <cstddef>

namespace burlfall::owner {
namespace {

struct Entry {
  Error error;
  const char* name;
  const char* what_to_do;
};

constexpr std::array<Entry, kErrorCount> kTable = {{
    {Error::kNone, "none", "Nothing is to be done."},
    {Error::kNoMajority, "no_majority",
     "Bring back the voters that are named as missing, or the paths to them; emergency kinds go on locally."},
    {Error::kNoCouncil, "no_council",
     "No voter answered in time: look whether this balancer is cut off (`burlfall cluster status`), and ask "
     "again."},
    {Error::kNotLeader, "not_leader", "Ask again in a second: the voters are choosing a leader."},
    {Error::kFenced, "fenced",
     "A newer owner has taken over: stop what was done under the old epoch, and ask for the work anew."},
    {Error::kLeaseOver, "lease_over",
     "The permission has run out, as after a pause: ask for a new one, and look where the work stands "
     "first."},
    {Error::kNotOwner, "not_owner", "Ask its owner, who is named by `burlfall council status`."},
    {Error::kHandedOver, "handed_over", "Finish the step under way and let go: the named successor waits."},
    {Error::kTakenAway, "taken_away",
     "An operator took it from this balancer: ask them, or restart it once the cause is gone."},
    {Error::kUnknownWork, "unknown_work", "Check the name of the work against `burlfall council status`."},
    {Error::kUnknownChange, "unknown_change",
     "It has ended, or never began: look at the history in `burlfall council status`."},
    {Error::kUnknownIncident, "unknown_incident",
     "It has been closed, or never opened: look at the history in `burlfall council status`."},
    {Error::kFrozen, "frozen",
     "An incident forbids this: wait for its end, have it closed, or break the glass by name and reason."},
    {Error::kConflict, "conflict",
     "Wait for the change that is named to end, or have an operator take it over if its owner is gone."},
    {Error::kLimit, "limit", "As many as the settings allow are on their way: ask again when one has ended."},
    {Error::kGrantOut, "grant_out",
     "A step of this change may be under way: hand its grant back, or wait until it runs out."},
    {Error::kWrongStep, "wrong_step", "Ask for the step that the answer names as next."},
    {Error::kTooMany, "too_many", "A bound is reached: end what is not needed any more, or raise the bound."},
    {Error::kMalformed, "malformed", "Correct the call: a name, a scope, a step or a reason is missing."},
    {Error::kNotTold, "not_told",
     "This balancer restarted without its epochs and asks the council for them first: wait for a majority."},
    {Error::kNotWritten, "not_written", "The epoch is being written to disk: send the call again."},
    {Error::kDiskLost, "disk_lost",
     "Mend or replace the disk; a voter is then brought in anew by a change of voters."},
    {Error::kVoterUnknown, "voter_unknown",
     "This voter's disk is not the one it voted with: take it out and bring it in by a change of voters."},
    {Error::kMajorityLost, "majority_lost",
     "Begin the council anew as docs/council.md says, with a floor above all epochs that were given."},
    {Error::kVotersChanging, "voters_changing", "Wait until the change of voters under way has ended."},
    {Error::kStale, "stale", "This balancer has not caught up with the log: ask again, or ask the leader."},
}};

constexpr bool InOrder() {
  for (size_t i = 0; i < kTable.size(); ++i) {
    if (static_cast<size_t>(kTable[i].error) != i) return false;
  }
  return true;
}
static_assert(InOrder(), "a line for each error, in their order");

const Entry& EntryOf(Error error) {
  const auto at = static_cast<size_t>(error);
  return kTable[at < kTable.size() ? at : 0];
}

}  // namespace

const char* NameOf(Error error) { return EntryOf(error).name; }
const char* WhatToDo(Error error) { return EntryOf(error).what_to_do; }

}  // namespace burlfall::owner
