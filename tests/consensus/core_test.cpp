// Tests of a single voter and a single follower, and of small simulated clusters with scripted faults.
#include "consensus/core.h"

#include <gtest/gtest.h>

#include "consensus/wire.h"
#include "lab/council_world/consensus_simulation.h"

namespace burlfall::consensus {
namespace {

using lab::ConsensusSimulation;
using lab::ConsensusSimulationSettings;
using lab::Crash;

Voter MakeVoter(const std::string& name, uint64_t disk) {
  Voter voter;
  voter.id.name = voter.address = name;
  voter.id.disk = disk;
  return voter;
}

const Voter kA = MakeVoter("a", 1), kB = MakeVoter("b", 2), kC = MakeVoter("c", 3);

PersistentState ThreeVoters() {
  PersistentState stored;
  stored.term = 1;
  stored.snapshot.voters = {kA, kB, kC};
  return stored;
}

void FlushWrites(Core& core, Micros now) {
  for (const DiskWrite& write : core.TakeWrites()) core.OnWritten(now, write.number, true);
}

Message MessageFrom(const Voter& voter, Message::Kind kind, uint64_t term) {
  Message message;
  message.kind = kind;
  message.from = voter.id;
  message.to = kA.id;
  message.term = term;
  return message;
}

// Voter `a` as the leader of term 2 among three voters, with its own writes flushed.
struct LeaderOfThree {
  LeaderOfThree() : core({kA.id, {}, 1, 0}) {
    core.Begin(0, ThreeVoters(), true);
    now = core.next_at();
    core.Tick(now);
    Message response = MessageFrom(kB, Message::Kind::kPreVoteResponse, 2);
    response.accepted = true;
    core.OnMessage(now, response);
    FlushWrites(core, now);
    response.kind = Message::Kind::kVoteResponse;
    core.OnMessage(now, response);
    FlushWrites(core, now);
  }
  void Acknowledge(const Voter& from, uint64_t index, uint64_t round) {
    Message response = MessageFrom(from, Message::Kind::kAppendResponse, core.term());
    response.accepted = true;
    response.index = index;
    response.round = round;
    core.OnMessage(now, response);
  }
  uint64_t LastRound() {
    uint64_t round = 0;
    for (const Outgoing& outgoing : core.TakeMessages()) round = std::max(round, outgoing.message.round);
    return round;
  }
  Core core;
  Micros now = 0;
};

TEST(Core, VoteIsSentOnlyAfterItsFlush) {
  Core core({kA.id, {}, 1, 0});
  core.Begin(0, ThreeVoters(), true);
  core.OnMessage(1, MessageFrom(kB, Message::Kind::kVoteRequest, 5));
  EXPECT_TRUE(core.TakeMessages().empty());
  const auto writes = core.TakeWrites();
  ASSERT_FALSE(writes.empty());
  EXPECT_EQ(writes.back().term_vote->vote, kB.id);
  core.OnWritten(2, writes.back().number, true);
  const auto messages = core.TakeMessages();
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_TRUE(messages[0].message.accepted);
  // No other candidate gets a vote in this term.
  core.OnMessage(3, MessageFrom(kC, Message::Kind::kVoteRequest, 5));
  FlushWrites(core, 3);
  EXPECT_FALSE(core.TakeMessages().at(0).message.accepted);
}

TEST(Core, FailedWriteStopsVotingAndLeading) {
  LeaderOfThree leader;
  ASSERT_EQ(leader.core.role(), Role::kLeader);
  leader.core.TakeNotices();
  leader.core.Propose(leader.now, "x");
  leader.core.OnWritten(leader.now, leader.core.TakeWrites().back().number, false);
  EXPECT_EQ(leader.core.role(), Role::kFollower);
  EXPECT_FALSE(leader.core.may_vote());
  EXPECT_EQ(leader.core.TakeNotices().back().kind, Notice::Kind::kDiskLost);
  EXPECT_EQ(leader.core.Propose(leader.now, "y").refusal, Refusal::kDiskLost);
  leader.core.TakeMessages();
  leader.core.OnMessage(leader.now, MessageFrom(kB, Message::Kind::kVoteRequest, 9));
  leader.core.Tick(leader.now + 10 * kSecond);
  EXPECT_TRUE(leader.core.TakeMessages().empty());
  EXPECT_TRUE(leader.core.TakeWrites().empty());
  EXPECT_EQ(leader.core.next_at(), kNever);
}

TEST(Core, MemberWithAnotherDiskIsAnotherVoter) {
  LeaderOfThree leader;
  const uint64_t index = leader.core.Propose(leader.now, "x").index;
  FlushWrites(leader.core, leader.now);
  const Voter wiped = MakeVoter("b", 77);
  leader.Acknowledge(wiped, index, 1);
  EXPECT_EQ(leader.core.commit(), 0u);
  EXPECT_EQ(leader.core.dropped().at("not a voter"), 1u);
  Message misdirected = MessageFrom(kB, Message::Kind::kVoteRequest, 9);
  misdirected.to.disk = 99;
  leader.core.OnMessage(leader.now, misdirected);
  EXPECT_EQ(leader.core.term(), 2u);
  EXPECT_EQ(leader.core.dropped().at("for another disk"), 1u);
  leader.Acknowledge(kB, index, 1);
  EXPECT_EQ(leader.core.commit(), index);
}

TEST(Core, VoterWithAnOlderDiskIsStopped) {
  LeaderOfThree leader;
  const uint64_t index = leader.core.Propose(leader.now, "x").index;
  FlushWrites(leader.core, leader.now);
  leader.Acknowledge(kC, index, leader.LastRound());
  leader.core.Tick(leader.core.next_at());
  Message rejection = MessageFrom(kC, Message::Kind::kAppendResponse, 2);
  rejection.round = leader.LastRound();
  rejection.commit = index - 1;  // its log ends before the entry that it acknowledged
  leader.core.OnMessage(leader.now, rejection);
  EXPECT_EQ(leader.core.TakeNotices().back().kind, Notice::Kind::kOlderDisk);
  const auto messages = leader.core.TakeMessages();
  ASSERT_EQ(messages.size(), 1u);
  ASSERT_EQ(messages[0].message.kind, Message::Kind::kStopVoting);
  // Its later acknowledgements are not counted.
  const uint64_t next = leader.core.Propose(leader.now, "y").index;
  FlushWrites(leader.core, leader.now);
  leader.Acknowledge(kC, next, leader.LastRound());
  EXPECT_LT(leader.core.commit(), next);
  Core older({kC.id, {}, 1, 0});
  older.Begin(0, ThreeVoters(), true);
  older.OnMessage(1, messages[0].message);
  EXPECT_FALSE(older.may_vote());
}

TEST(Core, AReadWaitsForARoundThatBeganAfterIt) {
  LeaderOfThree leader;
  leader.Acknowledge(kB, 1, leader.LastRound());
  ASSERT_EQ(leader.core.commit(), 1u);
  const uint64_t before = leader.LastRound();
  leader.core.Read(leader.now, 7);
  leader.Acknowledge(kB, 1, before);
  EXPECT_TRUE(leader.core.TakeReads().empty());
  leader.Acknowledge(kB, 1, leader.LastRound());
  const auto reads = leader.core.TakeReads();
  ASSERT_EQ(reads.size(), 1u);
  EXPECT_EQ(reads[0].token, 7u);
  EXPECT_EQ(reads[0].index, 1u);
}

TEST(Core, ProposalsAndMessagesAreBounded) {
  LeaderOfThree leader;
  EXPECT_EQ(leader.core.Propose(leader.now, std::string(Rules{}.max_entry_bytes + 1, 'x')).refusal,
            Refusal::kTooLarge);
  size_t taken = 0;
  while (leader.core.Propose(leader.now, std::string(1000, 'x')).refusal == Refusal::kNone) ++taken;
  EXPECT_LE(taken, Rules{}.max_uncommitted);
  EXPECT_EQ(leader.core.Propose(leader.now, "x").refusal, Refusal::kBusy);
  leader.core.TakeMessages();
  leader.Acknowledge(kB, 1, 1);
  for (const Outgoing& outgoing : leader.core.TakeMessages()) {
    EXPECT_LE(outgoing.message.entries.size(), Rules{}.batch_entries);
    EXPECT_LE(Encode(outgoing.message, "s").size(), kMaxFrameBytes);
  }
  leader.Acknowledge(kB, 100'000, 1);
  EXPECT_EQ(leader.core.dropped().at("beyond the log"), 1u);
}

TEST(Core, InvalidVoterChangesAreRefusedWithAReason) {
  LeaderOfThree leader;
  EXPECT_EQ(leader.core.ChangeVoter(leader.now, Core::Change::kRemove, kB).refusal, Refusal::kTermTooYoung);
  leader.Acknowledge(kB, 1, 1);
  const Voter unknown = MakeVoter("d", 4), same_name = MakeVoter("b", 9);
  EXPECT_EQ(leader.core.ChangeVoter(leader.now, Core::Change::kRemove, unknown).refusal,
            Refusal::kUnknownVoter);
  EXPECT_EQ(leader.core.ChangeVoter(leader.now, Core::Change::kAdd, same_name).refusal,
            Refusal::kAlreadyVoter);
  EXPECT_EQ(leader.core.ChangeVoter(leader.now, Core::Change::kRemove, kC).refusal, Refusal::kNone);
  EXPECT_EQ(leader.core.ChangeVoter(leader.now, Core::Change::kAdd, unknown).refusal,
            Refusal::kChangeUnderWay);
  EXPECT_EQ(leader.core.Transfer(leader.now, kC.id), Refusal::kUnknownVoter);
  Core other({kB.id, {}, 1, 0});
  other.Begin(0, ThreeVoters(), true);
  EXPECT_EQ(other.Propose(0, "x").refusal, Refusal::kNotLeader);
}

TEST(Core, LogWithAGapOrBeforeTheSnapshotIsNotUsed) {
  PersistentState gap = ThreeVoters();
  gap.log = {{1, 1, Entry::Kind::kNoOp, 0, ""}, {3, 1, Entry::Kind::kNoOp, 0, ""}};
  Core core({kA.id, {}, 1, 0});
  core.Begin(0, gap, true);
  EXPECT_FALSE(core.may_vote());
  // The snapshot was written, but the log was not yet truncated.
  PersistentState before_snapshot = ThreeVoters();
  before_snapshot.snapshot = {9, 1, 5, {kA, kB, kC}, "state"};
  before_snapshot.log = {{1, 1, Entry::Kind::kNoOp, 0, ""}};
  Core other({kA.id, {}, 1, 0});
  other.Begin(0, before_snapshot, true);
  EXPECT_TRUE(other.may_vote());
  EXPECT_EQ(other.last_index(), 9u);
  EXPECT_EQ(other.TakeApplied().at(0).snapshot->data, "state");
}

TEST(Core, BootstrappedLogBeginsAboveTheIndexFloor) {
  Core core({kA.id, {}, 1, 0});
  core.Begin(0, BootstrapState(kA, 5000), true);
  core.Tick(0);
  FlushWrites(core, 0);
  FlushWrites(core, 0);
  ASSERT_EQ(core.role(), Role::kLeader);
  EXPECT_EQ(core.Propose(0, "x").index, 5002u);
}

TEST(Core, FollowResponsesAreRateLimited) {
  LeaderOfThree leader;
  leader.Acknowledge(kB, 1, 1);
  size_t refused = 0;
  for (size_t i = 0; i < Rules{}.max_follow_responses + 10; ++i) {
    refused += leader.core.HandleFollowRequest(leader.now, {"f", i + 1, 0, 0, 0, 0}).kind ==
                       FollowResponse::Kind::kRetryLater
                   ? 1
                   : 0;
  }
  EXPECT_EQ(refused, 10u);
  EXPECT_EQ(leader.core.HandleFollowRequest(leader.now + kSecond, {"f", 9999, 1, 7, 0, 0}).kind,
            FollowResponse::Kind::kEntries);
  EXPECT_EQ(leader.core.HandleFollowRequest(leader.now + kSecond, {"f", 9999, 0, 0, 0, 0}).entries.size(),
            1u);
}

TEST(Follower, RejectsEntriesThatDoNotContinueItsLog) {
  Follower follower({}, "f", {"a:1"}, 1);
  follower.Begin(0);
  follower.Tick(0);
  FollowResponse response;
  response.number = follower.TakeRequests().at(0).request.number;
  response.commit = 2;
  response.entries = {{2, 1, Entry::Kind::kNoOp, 0, ""}};
  follower.OnResponse(1, response);
  EXPECT_EQ(follower.applied(), 0u);
  EXPECT_EQ(follower.rejected(), 1u);
  follower.Tick(2 * kSecond);
  response.number = follower.TakeRequests().at(0).request.number;
  response.entries = {{1, 1, Entry::Kind::kNoOp, 0, ""}, {2, 1, Entry::Kind::kNoOp, 0, ""}};
  follower.OnResponse(2 * kSecond, response);
  EXPECT_EQ(follower.applied(), 2u);
  EXPECT_EQ(follower.TakeApplied().size(), 2u);
}

// A simulated cluster that has elected a leader and runs without faults.
struct RunningCluster {
  explicit RunningCluster(size_t voters, Rules rules = {})
      : simulation(
            [&] {
              ConsensusSimulationSettings settings;
              settings.voters = voters;
              settings.rules = rules;
              return settings;
            }(),
            5) {
    began = simulation.RunUntil([this] { return simulation.AllMachinesVote(); }, 20 * kSecond);
    simulation.RunFor(kSecond);
    leader = static_cast<size_t>(simulation.Leader());
  }
  ConsensusSimulation simulation;
  bool began = false;
  size_t leader = 0;
};

TEST(Council, PreVoteKeepsADeafVoterFromRaisingTheTerm) {
  for (const bool pre_vote : {true, false}) {
    Rules rules;
    rules.pre_vote = pre_vote;
    RunningCluster cluster(5, rules);
    ASSERT_TRUE(cluster.began);
    const uint64_t term = cluster.simulation.core(cluster.leader)->term();
    cluster.simulation.CutAll((cluster.leader + 1) % 5, true, false, true);
    cluster.simulation.RunFor(10 * kSecond);
    const int leader = cluster.simulation.Leader();
    EXPECT_EQ(leader >= 0 && cluster.simulation.core(static_cast<size_t>(leader))->term() == term, pre_vote);
  }
}

TEST(Council, CheckQuorumMakesADeafLeaderStepDown) {
  for (const bool check_quorum : {true, false}) {
    Rules rules;
    rules.check_quorum = check_quorum;
    RunningCluster cluster(5, rules);
    ASSERT_TRUE(cluster.began);
    cluster.simulation.CutAll(cluster.leader, true, false, true);
    const bool another = cluster.simulation.RunUntil(
        [&] {
          return cluster.simulation.Leader() >= 0 &&
                 cluster.simulation.Leader() != static_cast<int>(cluster.leader);
        },
        5 * kSecond);
    EXPECT_EQ(another, check_quorum);
  }
}

TEST(Council, NewLeaderSoonAfterTransferOrRemoval) {
  RunningCluster cluster(3);
  ASSERT_TRUE(cluster.began);
  const size_t to = (cluster.leader + 1) % 3;
  cluster.simulation.Transfer(cluster.leader, to);
  EXPECT_TRUE(cluster.simulation.RunUntil([&] { return cluster.simulation.Leader() == static_cast<int>(to); },
                                          200 * kMs));
  cluster.simulation.RunFor(kSecond);
  cluster.simulation.EnableOperator(false);
  cluster.simulation.Change(to, Core::Change::kRemove, cluster.simulation.VoterOf(to));
  EXPECT_TRUE(cluster.simulation.RunUntil(
      [&] { return cluster.simulation.Leader() >= 0 && cluster.simulation.Leader() != static_cast<int>(to); },
      300 * kMs));
  EXPECT_TRUE(cluster.simulation.checker().violations().empty());
}

// A majority has an entry of an earlier term, but a voter with a different entry of a later term at that
// index is elected (figure 8 of the Raft paper). Counting copies of the earlier entry must not commit it.
TEST(Council, AnEntryOfAnEarlierTermIsNotCommittedByCounting) {
  for (const bool own_term_only : {true, false}) {
    Rules rules;
    rules.commits_own_term_only = own_term_only;
    rules.batch_entries = 1;
    RunningCluster cluster(5, rules);
    ASSERT_TRUE(cluster.began);
    ConsensusSimulation& simulation = cluster.simulation;
    const size_t first = cluster.leader, neighbour = (first + 1) % 5;
    for (size_t i = 0; i < 5; ++i) {
      if (i == neighbour) continue;
      simulation.Cut(first, i, true);
      simulation.Cut(i, first, true);
    }
    simulation.Propose(first);
    simulation.RunFor(20 * kMs);
    const uint64_t old = simulation.core(first)->last_index();
    simulation.Kill(first, Crash::kPower);
    simulation.Kill(neighbour, Crash::kPower);
    simulation.HealNetwork();
    ASSERT_TRUE(simulation.RunUntil([&] { return simulation.Leader() >= 0; }, 10 * kSecond));
    const auto second = static_cast<size_t>(simulation.Leader());
    simulation.CutAll(second, true, true, true);
    simulation.RunFor(20 * kMs);
    simulation.Kill(second, Crash::kPower);
    simulation.HealNetwork();
    simulation.Start(first);
    simulation.Start(neighbour);
    // The third leader replicates the old entry to one more voter, but not an entry of its own term.
    ASSERT_TRUE(simulation.RunUntil([&] { return simulation.Leader() >= 0; }, 10 * kSecond));
    const auto third = static_cast<size_t>(simulation.Leader());
    const size_t other = third == first ? neighbour : first;
    for (size_t i = 0, spare = 0; i < 5; ++i) {
      if (i != first && i != neighbour && i != second && ++spare == 1) simulation.Cut(third, i, true);
    }
    simulation.RunUntil([&] { return simulation.core(third)->commit() >= old; }, 50 * kMs);
    for (const size_t one : {third, other}) {
      simulation.CutAll(one, true, true, true);
      simulation.Kill(one, Crash::kPower);
    }
    simulation.Start(second);
    simulation.RunFor(3 * kSecond);
    EXPECT_EQ(simulation.Converges(20 * kSecond) && simulation.checker().violations().empty(), own_term_only);
  }
}

TEST(Council, NewLeaderWithinOneSecondAtTheMedianAndThreeAtMost) {
  // Simulated time: the result is the same in each run.
  for (const uint64_t loss : {0u, 20u}) {
    const std::vector<Micros> spans = lab::MeasureFailoverTimes(7, 5, loss, 60);
    ASSERT_GE(spans.size(), 50u);
    EXPECT_LE(spans[spans.size() / 2], kSecond);
    EXPECT_LE(spans.back(), 3 * kSecond);
  }
}

}  // namespace
}  // namespace burlfall::consensus
