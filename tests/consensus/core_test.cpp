// One core at a time, and small councils in which each fault has its place.
#include "consensus/core.h"

#include <gtest/gtest.h>

#include "consensus/wire.h"
#include "lab/council_world/council_world.h"

namespace burlfall::consensus {
namespace {

using lab::CouncilSettings;
using lab::CouncilWorld;
using lab::Crash;

Voter Named(const std::string& name, uint64_t disk) {
  Voter voter;
  voter.id.name = voter.address = name;
  voter.id.disk = disk;
  return voter;
}

const Voter kA = Named("a", 1), kB = Named("b", 2), kC = Named("c", 3);

PersistentState Three() {
  PersistentState stored;
  stored.term = 1;
  stored.snapshot.voters = {kA, kB, kC};
  return stored;
}

void Flush(Core& core, Micros now) {
  for (const DiskWrite& write : core.TakeWrites()) core.OnWritten(now, write.number, true);
}

Message From(const Voter& voter, Message::Kind kind, uint64_t term) {
  Message message;
  message.kind = kind;
  message.from = voter.id;
  message.to = kA.id;
  message.term = term;
  return message;
}

// `a` as the leader of term 2 among three, with its own writes done.
struct Led {
  Led() : core({kA.id, {}, 1, 0}) {
    core.Begin(0, Three(), true);
    now = core.next_at();
    core.Tick(now);
    Message yes = From(kB, Message::Kind::kPreVoteResponse, 2);
    yes.accepted = true;
    core.OnMessage(now, yes);
    Flush(core, now);
    yes.kind = Message::Kind::kVoteResponse;
    core.OnMessage(now, yes);
    Flush(core, now);
  }
  void Answer(const Voter& from, uint64_t index, uint64_t round) {
    Message yes = From(from, Message::Kind::kAppendResponse, core.term());
    yes.accepted = true;
    yes.index = index;
    yes.round = round;
    core.OnMessage(now, yes);
  }
  uint64_t LastRound() {
    uint64_t round = 0;
    for (const Outgoing& one : core.TakeMessages()) round = std::max(round, one.message.round);
    return round;
  }
  Core core;
  Micros now = 0;
};

TEST(Core, AVoteLeavesAfterItsFlush) {
  Core core({kA.id, {}, 1, 0});
  core.Begin(0, Three(), true);
  core.OnMessage(1, From(kB, Message::Kind::kVoteRequest, 5));
  EXPECT_TRUE(core.TakeMessages().empty());
  const auto writes = core.TakeWrites();
  ASSERT_FALSE(writes.empty());
  EXPECT_EQ(writes.back().term_vote->vote, kB.id);
  core.OnWritten(2, writes.back().number, true);
  const auto messages = core.TakeMessages();
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_TRUE(messages[0].message.accepted);
  // Nobody else gets one in this term.
  core.OnMessage(3, From(kC, Message::Kind::kVoteRequest, 5));
  Flush(core, 3);
  EXPECT_FALSE(core.TakeMessages().at(0).message.accepted);
}

TEST(Core, AFailedWriteEndsItsVoice) {
  Led led;
  ASSERT_EQ(led.core.role(), Role::kLeader);
  led.core.TakeNotices();
  led.core.Propose(led.now, "x");
  led.core.OnWritten(led.now, led.core.TakeWrites().back().number, false);
  EXPECT_EQ(led.core.role(), Role::kFollower);
  EXPECT_FALSE(led.core.may_vote());
  EXPECT_EQ(led.core.TakeNotices().back().kind, Notice::Kind::kDiskLost);
  EXPECT_EQ(led.core.Propose(led.now, "y").refusal, Refusal::kDiskLost);
  led.core.TakeMessages();
  led.core.OnMessage(led.now, From(kB, Message::Kind::kVoteRequest, 9));
  led.core.Tick(led.now + 10 * kSecond);
  EXPECT_TRUE(led.core.TakeMessages().empty());
  EXPECT_TRUE(led.core.TakeWrites().empty());
  EXPECT_EQ(led.core.next_at(), kNever);
}

TEST(Core, AnotherDiskIsAnotherVoter) {
  Led led;
  const uint64_t index = led.core.Propose(led.now, "x").index;
  Flush(led.core, led.now);
  const Voter wiped = Named("b", 77);
  led.Answer(wiped, index, 1);
  EXPECT_EQ(led.core.commit(), 0u);
  EXPECT_EQ(led.core.dropped().at("not a voter"), 1u);
  Message other = From(kB, Message::Kind::kVoteRequest, 9);
  other.to.disk = 99;
  led.core.OnMessage(led.now, other);
  EXPECT_EQ(led.core.term(), 2u);
  EXPECT_EQ(led.core.dropped().at("for another disk"), 1u);
  led.Answer(kB, index, 1);
  EXPECT_EQ(led.core.commit(), index);
}

TEST(Core, AnOlderDiskIsTold) {
  Led led;
  const uint64_t index = led.core.Propose(led.now, "x").index;
  Flush(led.core, led.now);
  led.Answer(kC, index, led.LastRound());
  led.core.Tick(led.core.next_at());
  Message no = From(kC, Message::Kind::kAppendResponse, 2);
  no.round = led.LastRound();
  no.commit = index - 1;  // its log ends before what it had
  led.core.OnMessage(led.now, no);
  EXPECT_EQ(led.core.TakeNotices().back().kind, Notice::Kind::kOlderDisk);
  const auto messages = led.core.TakeMessages();
  ASSERT_EQ(messages.size(), 1u);
  ASSERT_EQ(messages[0].message.kind, Message::Kind::kStopVoting);
  // What it says from now on counts for nothing.
  const uint64_t next = led.core.Propose(led.now, "y").index;
  Flush(led.core, led.now);
  led.Answer(kC, next, led.LastRound());
  EXPECT_LT(led.core.commit(), next);
  Core older({kC.id, {}, 1, 0});
  older.Begin(0, Three(), true);
  older.OnMessage(1, messages[0].message);
  EXPECT_FALSE(older.may_vote());
}

TEST(Core, AReadWaitsForARoundThatBeganAfterIt) {
  Led led;
  led.Answer(kB, 1, led.LastRound());
  ASSERT_EQ(led.core.commit(), 1u);
  const uint64_t before = led.LastRound();
  led.core.Read(led.now, 7);
  led.Answer(kB, 1, before);
  EXPECT_TRUE(led.core.TakeReads().empty());
  led.Answer(kB, 1, led.LastRound());
  const auto reads = led.core.TakeReads();
  ASSERT_EQ(reads.size(), 1u);
  EXPECT_EQ(reads[0].token, 7u);
  EXPECT_EQ(reads[0].index, 1u);
}

TEST(Core, ProposalsAndMessagesAreBounded) {
  Led led;
  EXPECT_EQ(led.core.Propose(led.now, std::string(Rules{}.max_entry_bytes + 1, 'x')).refusal,
            Refusal::kTooLarge);
  size_t taken = 0;
  while (led.core.Propose(led.now, std::string(1000, 'x')).refusal == Refusal::kNone) ++taken;
  EXPECT_LE(taken, Rules{}.max_uncommitted);
  EXPECT_EQ(led.core.Propose(led.now, "x").refusal, Refusal::kBusy);
  led.core.TakeMessages();
  led.Answer(kB, 1, 1);
  for (const Outgoing& one : led.core.TakeMessages()) {
    EXPECT_LE(one.message.entries.size(), Rules{}.batch_entries);
    EXPECT_LE(Encode(one.message, "s").size(), kMaxFrameBytes);
  }
  led.Answer(kB, 100'000, 1);
  EXPECT_EQ(led.core.dropped().at("beyond the log"), 1u);
}

TEST(Core, ChangesAreRefusedByName) {
  Led led;
  EXPECT_EQ(led.core.ChangeVoter(led.now, Core::Change::kRemove, kB).refusal, Refusal::kTermTooYoung);
  led.Answer(kB, 1, 1);
  const Voter unknown = Named("d", 4), again = Named("b", 9);
  EXPECT_EQ(led.core.ChangeVoter(led.now, Core::Change::kRemove, unknown).refusal, Refusal::kUnknownVoter);
  EXPECT_EQ(led.core.ChangeVoter(led.now, Core::Change::kAdd, again).refusal, Refusal::kAlreadyVoter);
  EXPECT_EQ(led.core.ChangeVoter(led.now, Core::Change::kRemove, kC).refusal, Refusal::kNone);
  EXPECT_EQ(led.core.ChangeVoter(led.now, Core::Change::kAdd, unknown).refusal, Refusal::kChangeUnderWay);
  EXPECT_EQ(led.core.Transfer(led.now, kC.id), Refusal::kUnknownVoter);
  Core other({kB.id, {}, 1, 0});
  other.Begin(0, Three(), true);
  EXPECT_EQ(other.Propose(0, "x").refusal, Refusal::kNotLeader);
}

TEST(Core, WhatADiskHoldsIsNotGuessed) {
  PersistentState gap = Three();
  gap.log = {{1, 1, Entry::Kind::kNoOp, 0, ""}, {3, 1, Entry::Kind::kNoOp, 0, ""}};
  Core core({kA.id, {}, 1, 0});
  core.Begin(0, gap, true);
  EXPECT_FALSE(core.may_vote());
  // The snapshot stands, and the log was not cut by it yet.
  PersistentState cut = Three();
  cut.snapshot = {9, 1, 5, {kA, kB, kC}, "state"};
  cut.log = {{1, 1, Entry::Kind::kNoOp, 0, ""}};
  Core other({kA.id, {}, 1, 0});
  other.Begin(0, cut, true);
  EXPECT_TRUE(other.may_vote());
  EXPECT_EQ(other.last_index(), 9u);
  EXPECT_EQ(other.TakeApplied().at(0).snapshot->data, "state");
}

TEST(Core, AFloorIsAboveAllEarlierEntries) {
  Core core({kA.id, {}, 1, 0});
  core.Begin(0, BootstrapState(kA, 5000), true);
  core.Tick(0);
  Flush(core, 0);
  Flush(core, 0);
  ASSERT_EQ(core.role(), Role::kLeader);
  EXPECT_EQ(core.Propose(0, "x").index, 5002u);
}

TEST(Core, FollowersAreAnsweredWithinABound) {
  Led led;
  led.Answer(kB, 1, 1);
  size_t later = 0;
  for (size_t i = 0; i < Rules{}.max_follow_responses + 10; ++i) {
    later += led.core.HandleFollowRequest(led.now, {"f", i + 1, 0, 0, 0, 0}).kind ==
                     FollowResponse::Kind::kRetryLater
                 ? 1
                 : 0;
  }
  EXPECT_EQ(later, 10u);
  EXPECT_EQ(led.core.HandleFollowRequest(led.now + kSecond, {"f", 9999, 1, 7, 0, 0}).kind,
            FollowResponse::Kind::kEntries);
  EXPECT_EQ(led.core.HandleFollowRequest(led.now + kSecond, {"f", 9999, 0, 0, 0, 0}).entries.size(), 1u);
}

TEST(Follower, TakesNothingThatDoesNotFit) {
  Follower follower({}, "f", {"a:1"}, 1);
  follower.Begin(0);
  follower.Tick(0);
  FollowResponse answer;
  answer.number = follower.TakeRequests().at(0).request.number;
  answer.commit = 2;
  answer.entries = {{2, 1, Entry::Kind::kNoOp, 0, ""}};
  follower.OnResponse(1, answer);
  EXPECT_EQ(follower.applied(), 0u);
  EXPECT_EQ(follower.rejected(), 1u);
  follower.Tick(2 * kSecond);
  answer.number = follower.TakeRequests().at(0).request.number;
  answer.entries = {{1, 1, Entry::Kind::kNoOp, 0, ""}, {2, 1, Entry::Kind::kNoOp, 0, ""}};
  follower.OnResponse(2 * kSecond, answer);
  EXPECT_EQ(follower.applied(), 2u);
  EXPECT_EQ(follower.TakeApplied().size(), 2u);
}

// A council that has begun, in quiet.
struct Quiet {
  explicit Quiet(size_t voters, Rules rules = {})
      : world(
            [&] {
              CouncilSettings settings;
              settings.voters = voters;
              settings.rules = rules;
              return settings;
            }(),
            5) {
    began = world.RunUntil([this] { return world.AllVote(); }, 20 * kSecond);
    world.RunFor(kSecond);
    leader = static_cast<size_t>(world.Leader());
  }
  CouncilWorld world;
  bool began = false;
  size_t leader = 0;
};

TEST(Council, AVoterThatHearsNobodyRaisesNobodysTerm) {
  for (const bool pre_vote : {true, false}) {
    Rules rules;
    rules.pre_vote = pre_vote;
    Quiet quiet(5, rules);
    ASSERT_TRUE(quiet.began);
    const uint64_t term = quiet.world.core(quiet.leader)->term();
    quiet.world.CutAll((quiet.leader + 1) % 5, true, false, true);
    quiet.world.RunFor(10 * kSecond);
    const int leader = quiet.world.Leader();
    EXPECT_EQ(leader >= 0 && quiet.world.core(static_cast<size_t>(leader))->term() == term, pre_vote);
  }
}

TEST(Council, ALeaderThatIsHeardAndHearsNobodyStepsDown) {
  for (const bool check_quorum : {true, false}) {
    Rules rules;
    rules.check_quorum = check_quorum;
    Quiet quiet(5, rules);
    ASSERT_TRUE(quiet.began);
    quiet.world.CutAll(quiet.leader, true, false, true);
    const bool another = quiet.world.RunUntil(
        [&] { return quiet.world.Leader() >= 0 && quiet.world.Leader() != static_cast<int>(quiet.leader); },
        5 * kSecond);
    EXPECT_EQ(another, check_quorum);
  }
}

TEST(Council, LeadsOnInOrderWhenHandedOverOrRemoved) {
  Quiet quiet(3);
  ASSERT_TRUE(quiet.began);
  const size_t to = (quiet.leader + 1) % 3;
  quiet.world.Transfer(quiet.leader, to);
  EXPECT_TRUE(quiet.world.RunUntil([&] { return quiet.world.Leader() == static_cast<int>(to); }, 200 * kMs));
  quiet.world.RunFor(kSecond);
  quiet.world.Operate(false);
  quiet.world.Change(to, Core::Change::kRemove, quiet.world.VoterOf(to));
  EXPECT_TRUE(quiet.world.RunUntil(
      [&] { return quiet.world.Leader() >= 0 && quiet.world.Leader() != static_cast<int>(to); }, 300 * kMs));
  EXPECT_TRUE(quiet.world.judge().broken().empty());
}

// A majority has an entry of an earlier term, and a voter that has another of a later one is elected.
TEST(Council, AnEntryOfAnEarlierTermIsNotCommittedByCounting) {
  for (const bool own_term_only : {true, false}) {
    Rules rules;
    rules.commits_own_term_only = own_term_only;
    rules.batch_entries = 1;
    Quiet quiet(5, rules);
    ASSERT_TRUE(quiet.began);
    CouncilWorld& world = quiet.world;
    const size_t first = quiet.leader, beside = (first + 1) % 5;
    for (size_t i = 0; i < 5; ++i) {
      if (i == beside) continue;
      world.Cut(first, i, true);
      world.Cut(i, first, true);
    }
    world.Propose(first);
    world.RunFor(20 * kMs);
    const uint64_t old = world.core(first)->last_index();
    world.Kill(first, Crash::kPower);
    world.Kill(beside, Crash::kPower);
    world.HealNetwork();
    ASSERT_TRUE(world.RunUntil([&] { return world.Leader() >= 0; }, 10 * kSecond));
    const auto second = static_cast<size_t>(world.Leader());
    world.CutAll(second, true, true, true);
    world.RunFor(20 * kMs);
    world.Kill(second, Crash::kPower);
    world.HealNetwork();
    world.Start(first);
    world.Start(beside);
    // The third leader's log reaches one more with the old entry, and not its own.
    ASSERT_TRUE(world.RunUntil([&] { return world.Leader() >= 0; }, 10 * kSecond));
    const auto third = static_cast<size_t>(world.Leader());
    const size_t other = third == first ? beside : first;
    for (size_t i = 0, spare = 0; i < 5; ++i) {
      if (i != first && i != beside && i != second && ++spare == 1) world.Cut(third, i, true);
    }
    world.RunUntil([&] { return world.core(third)->commit() >= old; }, 50 * kMs);
    for (const size_t one : {third, other}) {
      world.CutAll(one, true, true, true);
      world.Kill(one, Crash::kPower);
    }
    world.Start(second);
    world.RunFor(3 * kSecond);
    EXPECT_EQ(world.Settles(20 * kSecond) && world.judge().broken().empty(), own_term_only);
  }
}

TEST(Council, NewLeaderWithinASecondAndThree) {
  // On the virtual clock: a count of times, and the same each run.
  for (const uint64_t loss : {0u, 20u}) {
    const std::vector<Micros> spans = lab::MeasureNewLeader(7, 5, loss, 60);
    ASSERT_GE(spans.size(), 50u);
    EXPECT_LE(spans[spans.size() / 2], kSecond);
    EXPECT_LE(spans.back(), 3 * kSecond);
  }
}

}  // namespace
}  // namespace burlfall::consensus
