// Tests of the state machine of task ownership.
#include "owner/owner.h"

#include <gtest/gtest.h>

namespace burlfall::owner {
namespace {

using Kind = Command::Kind;
using What = Effect::What;
const ProcessId kA{"a", 1}, kB{"b", 1}, kC{"c", 1};

class Owner : public ::testing::Test {
 protected:
  Effects Do(Kind kind, const ProcessId& who, uint64_t epoch = 0, uint64_t request = 0) {
    Command command;
    command.kind = kind;
    command.task = "freeze";
    command.who = who;
    command.epoch = epoch;
    command.request = request;
    command.by = "anna";
    command.reason = "moved";
    return Do(command);
  }
  Effects Do(const Command& command) { return state_.Apply(++index_, 0, command); }
  Effects ExpireLease(uint64_t epoch, uint64_t renewed) {
    return Do(MakeExpireCommand({"freeze", epoch, renewed, 0}));
  }
  const OwnedTask& task() { return state_.tasks().at("freeze"); }

  uint64_t index_ = 10;
  State state_;
};

TEST_F(Owner, GrantsInQueueOrderWithIncreasingEpochs) {
  const Effects first = Do(Kind::kAcquire, kA, 0, 7);
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].what, What::kGranted);
  EXPECT_EQ(first[0].epoch, 11u);
  EXPECT_EQ(first[0].request, 7u);
  EXPECT_EQ(Do(Kind::kAcquire, kB, 0, 3)[0].what, What::kQueued);
  EXPECT_EQ(Do(Kind::kAcquire, kB, 0, 4)[0].what, What::kQueued);
  const Effects effects = Do(Kind::kRelease, kA, 11);
  ASSERT_EQ(effects.size(), 2u);
  EXPECT_EQ(effects[0].what, What::kEnded);
  EXPECT_EQ(effects[1].what, What::kGranted);
  EXPECT_EQ(effects[1].who, kB);
  EXPECT_EQ(effects[1].request, 4u);
  EXPECT_GT(effects[1].epoch, 11u);
  EXPECT_EQ(Do(Kind::kRenew, kA, 11)[0].error, Error::kFenced);
}

TEST_F(Owner, ALostAnswerRepeatsTheSameGrant) {
  const uint64_t epoch = Do(Kind::kAcquire, kA)[0].epoch;
  const Effects again = Do(Kind::kAcquire, kA);
  EXPECT_EQ(again[0].what, What::kGranted);
  EXPECT_EQ(again[0].epoch, epoch);
  EXPECT_GT(again[0].renewed_index, epoch);
}

TEST_F(Owner, ARenewalThatOvertakesAnExpiryCancelsIt) {
  const Effect grant = Do(Kind::kAcquire, kA)[0];
  const Effect renewal = Do(Kind::kRenew, kA, grant.epoch)[0];
  EXPECT_EQ(renewal.what, What::kRenewed);
  EXPECT_TRUE(ExpireLease(grant.epoch, grant.renewed_index).empty());
  EXPECT_EQ(ExpireLease(grant.epoch, renewal.renewed_index)[0].error, Error::kLeaseOver);
  EXPECT_FALSE(task().owner);
}

TEST_F(Owner, AHandOverWaitsForTheOldOwner) {
  const uint64_t epoch = Do(Kind::kAcquire, kA)[0].epoch;
  Do(Kind::kAcquire, kC);
  Command command;
  command.kind = Kind::kHandOver;
  command.task = "freeze";
  command.epoch = epoch;
  command.to = kB;
  const Effects stop = Do(command);
  ASSERT_EQ(stop.size(), 1u);  // no grant yet
  EXPECT_EQ(stop[0].what, What::kStop);
  EXPECT_EQ(Do(Kind::kRenew, kA, epoch)[0].error, Error::kHandedOver);
  EXPECT_EQ(task().owner, kA);
  EXPECT_EQ(Do(Kind::kRelease, kA, epoch)[1].who, kB);
  EXPECT_EQ(task().queue.front().who, kC);
}

TEST_F(Owner, ARevokedTaskGoesToAnotherProcessFirst) {
  const uint64_t epoch = Do(Kind::kAcquire, kA)[0].epoch;
  EXPECT_EQ(Do(Kind::kRevoke, {}, 0)[0].what, What::kStop);
  EXPECT_EQ(Do(Kind::kRenew, kA, epoch)[0].error, Error::kTakenAway);
  ExpireLease(epoch, task().renewed_index);
  EXPECT_EQ(Do(Kind::kAcquire, kA)[0].error, Error::kTakenAway);
  EXPECT_EQ(Do(Kind::kAcquire, {"a", 2})[0].what, What::kGranted);  // a new incarnation
  EXPECT_EQ(Do(Kind::kAcquire, kA)[0].what, What::kQueued);
}

TEST_F(Owner, ARebuiltCouncilGrantsEpochsAboveTheFloor) {
  State rebuilt;
  Command floor;
  floor.kind = Kind::kFloor;
  floor.epoch = 5000;
  floor.by = "anna";
  rebuilt.Apply(1, 0, floor);
  Command want;
  want.task = "freeze";
  want.who = kA;
  EXPECT_EQ(rebuilt.Apply(2, 0, want)[0].epoch, 5001u);
  EXPECT_EQ(rebuilt.EpochOf("list_call"), 5000u);
  want.task = "list_call";
  EXPECT_EQ(rebuilt.Apply(3, 0, want)[0].epoch, 5002u);
}

TEST_F(Owner, RefusesBeyondItsBounds) {
  Command rules;
  rules.kind = Kind::kRules;
  rules.rules.max_tasks = 1;
  rules.rules.max_waiters = 1;
  Do(rules);
  Do(Kind::kAcquire, kA);
  Do(Kind::kAcquire, kB);
  EXPECT_EQ(Do(Kind::kAcquire, kC)[0].error, Error::kTooMany);
  Command other;
  other.task = "more";
  other.who = kA;
  EXPECT_EQ(Do(other)[0].error, Error::kTooMany);
  other.who.name = "";
  EXPECT_EQ(Do(other)[0].error, Error::kMalformed);
  EXPECT_EQ(Do(Kind::kRelease, kB, 99)[0].error, Error::kNotOwner);
}

TEST_F(Owner, SaveAndLoadPreserveTheState) {
  Do(Kind::kAcquire, kA);
  Do(Kind::kAcquire, kB, 0, 9);
  Do(Kind::kRevoke, {}, 0);
  const std::string bytes = state_.Save();
  const std::optional<State> loaded = State::Load(bytes);
  ASSERT_TRUE(loaded);
  EXPECT_EQ(loaded->Save(), bytes);
  // No flipped or missing byte is accepted.
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string corrupted = bytes;
    corrupted[i] = static_cast<char>(corrupted[i] ^ 4);
    EXPECT_FALSE(State::Load(corrupted)) << i;
    EXPECT_FALSE(State::Load(std::string_view(bytes).substr(0, i))) << i;
  }
  EXPECT_FALSE(ReadCommand(bytes));
}

}  // namespace
}  // namespace burlfall::owner
