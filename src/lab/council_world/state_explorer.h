// A small council gone through whole: three voters, a few elections, entries and crashes, and every order in
// which messages come (or don't), writes are done and crashes fall. Clocks stand still: an election is tried
// whenever it may be, without a pre-vote, which is more than any clock would allow.
#ifndef BURLFALL_LAB_COUNCIL_WORLD_STATE_EXPLORER_H_
#define BURLFALL_LAB_COUNCIL_WORLD_STATE_EXPLORER_H_

#include <cstdint>
#include <string>

#include "consensus/core.h"

namespace burlfall::lab {

struct EveryStateBounds {
  int elections = 2;
  int proposals = 1;
  int crashes = 0;  // each takes all that was not flushed; the voter starts again at once
  size_t most_states = 1'000'000;
};

struct EveryStateResult {
  size_t states = 0;                // different ones
  size_t steps = 0;                 // from one to another
  size_t leaders = 0, commits = 0;  // states in which somebody leads; in which something is committed
  bool whole = false;               // none was left out
  std::string broken;               // the first rule that was broken; empty: none
};

EveryStateResult GoThroughEveryState(const EveryStateBounds& bounds, consensus::Rules rules = {});

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_WORLD_STATE_EXPLORER_H_
