// Exhaustive exploration of the states of small clusters. BURLFALL_ELECTIONS=2 explores the larger one (half
// a million states).
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

#include "lab/council_world/state_explorer.h"

namespace burlfall::lab {
namespace {

TEST(EveryState, SmallClusterKeepsAllInvariants) {
  ExplorationBounds bounds;
  bounds.elections = 1;
  bounds.proposals = 0;
  bounds.crashes = 1;
  if (const char* elections = std::getenv("BURLFALL_ELECTIONS")) {
    bounds.elections = std::atoi(elections);
    bounds.crashes = 0;
    bounds.max_states = 20'000'000;
  }
  const ExplorationResult result = ExploreAllStates(bounds);
  EXPECT_EQ(result.violation, "");
  EXPECT_TRUE(result.complete);
  EXPECT_GT(result.commits, 0u);
  std::printf("%zu states, %zu steps\n", result.states, result.steps);
}

TEST(EveryState, FindsAViolationWhenVotesIgnoreTheLog) {
  ExplorationBounds bounds;
  bounds.proposals = 0;
  bounds.crashes = 1;
  bounds.max_states = 200'000;
  consensus::Rules rules;
  rules.votes_for_newer_log_only = false;
  EXPECT_EQ(ExploreAllStates(bounds, rules).violation, "a leader without what was committed before");
}

}  // namespace
}  // namespace burlfall::lab
