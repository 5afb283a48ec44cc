// Exhaustive exploration of a small group: three voters, a few elections, entries and crashes, and every
// order of message deliveries (or losses), disk writes and crashes. Clocks stand still: an election may start
// at any time, without a pre-vote, which allows more runs than any clock would.
#ifndef BURLFALL_LAB_COUNCIL_WORLD_STATE_EXPLORER_H_
#define BURLFALL_LAB_COUNCIL_WORLD_STATE_EXPLORER_H_

#include <cstdint>
#include <string>

#include "consensus/core.h"

namespace burlfall::lab {

// At most this many of each event in a run.
struct ExplorationBounds {
  int elections = 2;
  int proposals = 1;
  int crashes = 0;  // each loses all unflushed writes; the voter restarts at once
  size_t max_states = 1'000'000;
};

struct ExplorationResult {
  size_t states = 0;                // distinct states
  size_t steps = 0;                 // transitions between states
  size_t leaders = 0, commits = 0;  // states with a leader; with a committed entry
  bool complete = false;            // all states within the bounds were explored
  std::string violation;            // an invariant that was violated; empty: none
};

ExplorationResult ExploreAllStates(const ExplorationBounds& bounds, consensus::Rules rules = {});

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_WORLD_STATE_EXPLORER_H_
