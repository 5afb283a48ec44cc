// A scenario played by real processes of `burlfall serve --cluster`, each at a loopback address of its own,
// with the lab's paths between any two of them. What each sees is read from its log, and judged from outside.
#ifndef BURLFALL_LAB_MEMBERS_REAL_MEMBERS_H_
#define BURLFALL_LAB_MEMBERS_REAL_MEMBERS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/members/member_judge.h"
#include "lab/members/scenario.h"

namespace burlfall::lab {

struct MembersPlayed {
  bool whole = false;
  std::string why_not;  // where it is not
  MemberVerdict verdict;
  std::vector<std::string> notes;  // crashes
  double late_share = 0;           // of the lab's own timers
  // Of each member that lived all through, from 10 s after the last start to the end, on average and the
  // most.
  double datagrams_per_s = 0, bytes_per_s = 0, most_bytes_per_s = 0;
  double cpu_percent = 0;  // of a core
  double rss_mb = 0;
  uint64_t calls = 0;
};

struct MembersOptions {
  std::string program;  // empty: the `burlfall` beside this program
  bool keep_folder = false;
  std::function<void(const std::string& line)> tells = [](const std::string&) {
  };  // each event that is judged
};

MembersPlayed PlayMembers(const Scenario& scenario, uint64_t seed, const MembersOptions& options);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_MEMBERS_REAL_MEMBERS_H_
