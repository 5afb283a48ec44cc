// Tests of the checker of cluster histories: it rejects an invalid history for each of its rules.
#include <gtest/gtest.h>

#include "consensus/wire.h"
#include "lab/council_world/consensus_simulation.h"

namespace burlfall::lab {
namespace {

using consensus::Entry;

Entry Command(uint64_t index, uint64_t term, const std::string& data, Micros at = 0) {
  return {index, term, Entry::Kind::kCommand, at, data};
}

Entry Voters(uint64_t index, const std::vector<std::string>& names) {
  std::vector<consensus::Voter> voters;
  for (const std::string& name : names) {
    consensus::Voter voter;
    voter.id.name = voter.address = name;
    voters.push_back(voter);
  }
  return {index, 1, Entry::Kind::kVoters, 0, consensus::EncodeVoters(voters)};
}

TEST(CouncilJudge, AcceptsAValidHistory) {
  ConsensusChecker checker;
  checker.OnBecameLeader("a", 1, {});
  checker.OnBecameLeader("a", 1, {});
  checker.OnLogEntry("a", 0, Command(1, 1, "x"));
  checker.OnLogEntry("b", 0, Command(1, 1, "x"));
  checker.OnApplied("a", Command(1, 1, "x"));
  checker.OnAcknowledged(1, 1, 1);
  checker.OnReadStarted(1);
  checker.OnApplied("b", Command(1, 1, "x"));
  checker.OnReadAnswered(1, 1);
  checker.OnBecameLeader("b", 2, {Command(1, 1, "x")});
  // Acknowledged by a leader of term 4, so a leader of the earlier term 3 need not have the entry.
  checker.OnAcknowledged(2, 1, 4);
  checker.OnBecameLeader("c", 3, {Command(1, 1, "x")});
  checker.OnSnapshotApplied("c", 1, NextState(0, Command(1, 1, "x")));
  checker.OnApplied("c", Command(2, 2, "y", 5));
  checker.OnApplied("c", Voters(3, {"a", "b"}));
  checker.OnVoterChangeStarted("b", 3, 3);
  EXPECT_EQ(checker.violation_count(), 1u);  // log time went back, from 5 to 0
}

TEST(CouncilJudge, RejectsEachInvalidHistory) {
  const std::vector<std::function<void(ConsensusChecker&)>> invalid_histories = {
      [](ConsensusChecker& checker) {
        checker.OnBecameLeader("a", 1, {});
        checker.OnBecameLeader("b", 1, {});
      },
      [](ConsensusChecker& checker) {
        checker.OnLogEntry("a", 1, Command(2, 2, "x"));
        checker.OnLogEntry("b", 1, Command(2, 2, "y"));
      },
      [](ConsensusChecker& checker) {
        checker.OnLogEntry("a", 1, Command(2, 2, "x"));
        checker.OnLogEntry("b", 0, Command(2, 2, "x"));
      },
      [](ConsensusChecker& checker) {
        checker.OnApplied("a", Command(1, 1, "x"));
        checker.OnApplied("b", Command(1, 2, "x"));
      },
      [](ConsensusChecker& checker) {
        checker.OnApplied("a", Command(1, 1, "x"));
        checker.OnApplied("b", Command(1, 1, "y"));
      },
      [](ConsensusChecker& checker) { checker.OnApplied("a", Command(2, 1, "x")); },
      [](ConsensusChecker& checker) {
        checker.OnApplied("a", Command(1, 1, "x"));
        checker.OnApplied("a", Command(1, 1, "x"));
      },
      [](ConsensusChecker& checker) {
        checker.OnApplied("a", Command(1, 1, "x"));
        checker.OnSnapshotApplied("b", 1, 4711);
      },
      [](ConsensusChecker& checker) { checker.OnSnapshotApplied("b", 5, 0); },
      [](ConsensusChecker& checker) {
        checker.OnAcknowledged(1, 1, 1);
        checker.OnBecameLeader("b", 2, {Command(1, 2, "y")});
      },
      [](ConsensusChecker& checker) {
        checker.OnAcknowledged(2, 1, 1);
        checker.OnBecameLeader("b", 2, {Command(1, 1, "x")});
      },
      [](ConsensusChecker& checker) {
        checker.OnAcknowledged(5, 1, 1);
        checker.OnReadStarted(1);
        checker.OnReadAnswered(1, 4);
      },
      [](ConsensusChecker& checker) {  // a later read must not return an older state
        checker.OnReadStarted(1);
        checker.OnReadAnswered(1, 4);
        checker.OnReadStarted(2);
        checker.OnReadAnswered(2, 3);
      },
      [](ConsensusChecker& checker) {
        checker.OnApplied("a", Command(1, 1, "x", 10));
        checker.OnApplied("a", Command(2, 1, "y", 9));
      },
      [](ConsensusChecker& checker) {
        checker.OnApplied("a", Voters(1, {"a", "b"}));
        checker.OnApplied("a", Voters(2, {"a", "b", "c", "d"}));
      },
      [](ConsensusChecker& checker) { checker.OnVoterChangeStarted("a", 9, 8); },
  };
  for (size_t i = 0; i < invalid_histories.size(); ++i) {
    ConsensusChecker checker;
    invalid_histories[i](checker);
    EXPECT_EQ(checker.violation_count(), 1u) << i;
  }
}

// Shows what each safety rule of the core prevents: with the rule switched off, one of the first seeds leads
// to a violation.
TEST(Planted, EachDisabledSafetyRuleIsFoundWithinItsSeeds) {
  struct DisabledRule {
    const char* name;
    bool consensus::Rules::*safety_rule;
    uint64_t max_seed;
  };
  const std::vector<DisabledRule> all = {
      {"vote before flush", &consensus::Rules::votes_wait_for_flush, 100},
      {"append yes before flush", &consensus::Rules::appends_wait_for_flush, 100},
      {"leader counts itself before its flush", &consensus::Rules::counts_itself_after_flush, 100},
      {"read without a round", &consensus::Rules::reads_confirm_leadership, 50},
      {"read before an entry of the own term", &consensus::Rules::reads_wait_for_own_term, 10},
      {"two changes of voters at once", &consensus::Rules::one_change_at_a_time, 20},
      {"vote for an older log", &consensus::Rules::votes_for_newer_log_only, 10},
      {"two votes in a term", &consensus::Rules::votes_once, 20},
      {"append without a check of the previous entry", &consensus::Rules::checks_previous_entry, 20},
      {"goes on after a failed flush", &consensus::Rules::stops_on_failed_write, 10},
  };
  for (const DisabledRule& one : all) {
    consensus::Rules rules;
    rules.*one.safety_rule = false;
    bool found = false;
    for (uint64_t seed = 1; seed <= one.max_seed && !found; ++seed)
      found = RunRandomScenario(seed, rules).violation_count > 0;
    EXPECT_TRUE(found) << one.name;
  }
  bool found = false;
  for (uint64_t seed = 1; seed <= 60 && !found; ++seed)
    found = RunRandomScenario(seed, {}, true).violation_count > 0;
  EXPECT_TRUE(found) << "a voter with an emptied disk keeps its name";
}

TEST(World, SameSeedGivesTheSameRun) {
  const ConsensusVerdict one = RunRandomScenario(16), other = RunRandomScenario(16);
  EXPECT_EQ(one.acknowledged, other.acknowledged);
  EXPECT_EQ(one.applied, other.applied);
  EXPECT_EQ(one.leaders, other.leaders);
  EXPECT_EQ(one.reads, other.reads);
  EXPECT_EQ(one.kinds, other.kinds);
}

}  // namespace
}  // namespace burlfall::lab
