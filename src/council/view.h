// A member's status report about the coordinator group, as text for people or as JSON for programs.
#ifndef BURLFALL_COUNCIL_VIEW_H_
#define BURLFALL_COUNCIL_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "io/time.h"
#include "owner/errors.h"

namespace burlfall::council {

// One voter.
struct VoterView {
  std::string name;
  uint64_t disk = 0;
  std::string address;
  Micros last_contact_ago = -1;  // known to the leader only; below 0: never, or unknown
  bool is_leader = false;
};

// One owned task, which at most one member owns at a time.
struct TaskView {
  std::string task;
  std::string owner;         // empty: no owner
  uint64_t incarnation = 0;  // of the owner
  uint64_t epoch = 0;
  Micros since = 0;                           // log time of the grant
  owner::Error ending = owner::Error::kNone;  // why the ownership ends
  std::vector<std::string> waiting;           // members that own it next, in order
  bool owned_here = false;                    // this member owns it, by its own clock
  Micros lease_left = 0;                      // of this member's lease, by its own clock
  uint64_t highest_epoch = 0;                 // the highest epoch whose actions this member accepted
};

// One open incident, which forbids changes.
struct IncidentView {
  uint64_t id = 0;
  std::string kind, scope, by, reason;
  bool in_force = false;
  size_t pending = 0;  // permissions granted before that have not ended
};

// One change under way.
struct ChangeView {
  uint64_t id = 0;
  std::string kind, scope, owner;
  bool granted = false;
};

// All that one member knows of the group.
struct View {
  std::string name;
  std::string role;    // leader, follower, ..., or "outside" if it does not vote
  std::string status;  // "in", "waits" (to be added as a voter), "disk", "no leader", "majority lost"
  std::string fault;   // of the disk
  uint64_t disk = 0;
  uint64_t term = 0;
  std::string leader;
  uint64_t commit = 0, applied = 0, first = 0, last = 0;
  Micros council_time = 0;
  std::vector<VoterView> voters;
  std::vector<std::string> missing;  // voters without contact to the leader for an election timeout
  std::vector<TaskView> tasks;
  std::vector<IncidentView> incidents;
  std::vector<ChangeView> changes;
  size_t followers = 0;
  uint64_t accepted_actions = 0, rejected_actions = 0;
  std::vector<std::string> history;
};

std::string JsonString(const std::string& text);  // quoted and escaped; control characters become blanks
std::string StatusText(const View& view);
std::string StatusJson(const View& view);
// The report on one voter or task with its history; empty: the name is unknown.
std::string ExplainText(const View& view, const std::string& name);
std::string ExplainJson(const View& view, const std::string& name);

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_VIEW_H_
