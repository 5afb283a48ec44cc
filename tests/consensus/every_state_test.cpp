// Exhaustive exploration of the states of small clusters. BURLFALL_ELECTIONS=2 explores the larger one (half
// a million states).
#include "lab/council_world/state_explorer.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

namespace burlfall::lab {
namespace {

TEST(EveryState, SmallClusterKeepsAllInvariants) {
  EveryStateBounds bounds;
  bounds.elections = 1;
  bounds.proposals = 0;
  bounds.crashes = 1;
  if (const char* elections = std::getenv("BURLFALL_ELECTIONS")) {
    bounds.elections = std::atoi(elections);
    bounds.crashes = 0;
    bounds.most_states = 20'000'000;
  }
  const EveryStateResult result = GoThroughEveryState(bounds);
  EXPECT_EQ(result.broken, "");
  EXPECT_TRUE(result.whole);
  EXPECT_GT(result.commits, 0u);
  std::printf("%zu states, %zu steps\n", result.states, result.steps);
}

TEST(EveryState, FindsAViolationWhenVotesIgnoreTheLog) {
  EveryStateBounds bounds;
  bounds.proposals = 0;
  bounds.crashes = 1;
  bounds.most_states = 200'000;
  consensus::Rules rules;
  rules.votes_for_newer_log_only = false;
  EXPECT_EQ(GoThroughEveryState(bounds, rules).broken, "a leader without what was committed before");
}

}  // namespace
}  // namespace burlfall::lab
