// What a member says of the council to whoever asks: as text for people, as JSON for programs.
#ifndef BURLFALL_COUNCIL_VIEW_H_
#define BURLFALL_COUNCIL_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "io/time.h"
#include "owner/errors.h"

namespace burlfall::council {

struct VoterView {
  std::string name;
  uint64_t disk = 0;
  std::string address;
  Micros heard_ago = -1;  // by this member as the leader; below 0: never, or not known here
  bool leads = false;
};

struct WorkView {
  std::string work;
  std::string owner;  // empty: nobody
  uint64_t life = 0;
  uint64_t epoch = 0;
  Micros since = 0;  // council time
  owner::Error ending = owner::Error::kNone;
  std::vector<std::string> line;
  bool own = false;     // this member's, as far as it knows
  Micros left = 0;      // of its lease, on its own clock
  uint64_t obeyed = 0;  // the highest epoch that this member obeyed
};

struct IncidentView {
  uint64_t id = 0;
  std::string kind, scope, by, reason;
  bool in_force = false;
  size_t pending = 0;
};

struct ChangeView {
  uint64_t id = 0;
  std::string kind, scope, owner;
  bool granted = false;
};

struct View {
  std::string name;
  std::string role;      // leader, follower, ..., or "outside" of one that does not vote
  std::string standing;  // "in", "waits" to be brought in, "disk", "no leader"
  std::string fault;     // of the disk
  uint64_t disk = 0;
  uint64_t term = 0;
  std::string leader;
  uint64_t commit = 0, applied = 0, first = 0, last = 0;
  Micros council_time = 0;
  std::vector<VoterView> voters;
  std::vector<std::string> missing;  // voters that the leader has not heard for an election time-out
  std::vector<WorkView> works;
  std::vector<IncidentView> incidents;
  std::vector<ChangeView> changes;
  size_t followers = 0;
  uint64_t obeyed = 0, fenced = 0;  // acts
  std::vector<std::string> history;
};

std::string Quote(const std::string& text);  // as JSON has it
std::string StatusText(const View& view);
std::string StatusJson(const View& view);
// Of a voter or a work; empty: there is none of this name.
std::string ExplainText(const View& view, const std::string& name);
std::string ExplainJson(const View& view, const std::string& name);

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_VIEW_H_
