#include "owner/owner.h"

#include <gtest/gtest.h>

namespace burlfall::owner {
namespace {

using Kind = Command::Kind;
using What = Effect::What;
const Who kA{"a", 1}, kB{"b", 1}, kC{"c", 1};

class Owner : public ::testing::Test {
 protected:
  Effects Do(Kind kind, const Who& who, uint64_t epoch = 0, uint64_t request = 0) {
    Command command;
    command.kind = kind;
    command.work = "freeze";
    command.who = who;
    command.epoch = epoch;
    command.request = request;
    command.by = "anna";
    command.reason = "moved";
    return Do(command);
  }
  Effects Do(const Command& command) { return state_.Apply(++index_, 0, command); }
  Effects RunOut(uint64_t epoch, uint64_t renewed) { return Do(RunOutOf({"freeze", epoch, renewed, 0})); }
  const Work& work() { return state_.works().at("freeze"); }

  uint64_t index_ = 10;
  State state_;
};

TEST_F(Owner, GrantsInTurnWithGrowingEpochs) {
  const Effects first = Do(Kind::kWant, kA, 0, 7);
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].what, What::kGranted);
  EXPECT_EQ(first[0].epoch, 11u);
  EXPECT_EQ(first[0].request, 7u);
  EXPECT_EQ(Do(Kind::kWant, kB, 0, 3)[0].what, What::kQueued);
  EXPECT_EQ(Do(Kind::kWant, kB, 0, 4)[0].what, What::kQueued);
  const Effects given = Do(Kind::kGiveUp, kA, 11);
  ASSERT_EQ(given.size(), 2u);
  EXPECT_EQ(given[0].what, What::kOver);
  EXPECT_EQ(given[1].what, What::kGranted);
  EXPECT_EQ(given[1].who, kB);
  EXPECT_EQ(given[1].request, 4u);
  EXPECT_GT(given[1].epoch, 11u);
  EXPECT_EQ(Do(Kind::kRenew, kA, 11)[0].error, Error::kFenced);
}

TEST_F(Owner, ALostAnswerIsTheSameGrantAgain) {
  const uint64_t epoch = Do(Kind::kWant, kA)[0].epoch;
  const Effects again = Do(Kind::kWant, kA);
  EXPECT_EQ(again[0].what, What::kGranted);
  EXPECT_EQ(again[0].epoch, epoch);
  EXPECT_GT(again[0].renewed, epoch);
}

TEST_F(Owner, ARenewalThatOvertookARunOutMakesItVoid) {
  const Effect grant = Do(Kind::kWant, kA)[0];
  const Effect renewal = Do(Kind::kRenew, kA, grant.epoch)[0];
  EXPECT_EQ(renewal.what, What::kRenewed);
  EXPECT_TRUE(RunOut(grant.epoch, grant.renewed).empty());
  EXPECT_EQ(RunOut(grant.epoch, renewal.renewed)[0].error, Error::kLeaseOver);
  EXPECT_FALSE(work().owner);
}

TEST_F(Owner, AHandOverWaitsForTheOldOwner) {
  const uint64_t epoch = Do(Kind::kWant, kA)[0].epoch;
  Do(Kind::kWant, kC);
  Command command;
  command.kind = Kind::kHandOver;
  command.work = "freeze";
  command.epoch = epoch;
  command.to = kB;
  const Effects stop = Do(command);
  ASSERT_EQ(stop.size(), 1u);  // and no grant yet
  EXPECT_EQ(stop[0].what, What::kStop);
  EXPECT_EQ(Do(Kind::kRenew, kA, epoch)[0].error, Error::kHandedOver);
  EXPECT_EQ(work().owner, kA);
  EXPECT_EQ(Do(Kind::kGiveUp, kA, epoch)[1].who, kB);
  EXPECT_EQ(work().line.front().who, kC);
}

TEST_F(Owner, WhatWasTakenAwayGoesToAnotherFirst) {
  const uint64_t epoch = Do(Kind::kWant, kA)[0].epoch;
  EXPECT_EQ(Do(Kind::kTakeAway, {}, 0)[0].what, What::kStop);
  EXPECT_EQ(Do(Kind::kRenew, kA, epoch)[0].error, Error::kTakenAway);
  RunOut(epoch, work().renewed);
  EXPECT_EQ(Do(Kind::kWant, kA)[0].error, Error::kTakenAway);
  EXPECT_EQ(Do(Kind::kWant, {"a", 2})[0].what, What::kGranted);  // a new life
  EXPECT_EQ(Do(Kind::kWant, kA)[0].what, What::kQueued);
}

TEST_F(Owner, BeginningAnewGivesEpochsAboveTheFloor) {
  State anew;
  Command floor;
  floor.kind = Kind::kFloor;
  floor.epoch = 5000;
  floor.by = "anna";
  anew.Apply(1, 0, floor);
  Command want;
  want.work = "freeze";
  want.who = kA;
  EXPECT_EQ(anew.Apply(2, 0, want)[0].epoch, 5001u);
  EXPECT_EQ(anew.EpochOf("list_call"), 5000u);
  want.work = "list_call";
  EXPECT_EQ(anew.Apply(3, 0, want)[0].epoch, 5002u);
}

TEST_F(Owner, IsBoundedAndSaysSo) {
  Command rules;
  rules.kind = Kind::kRules;
  rules.rules.most_works = 1;
  rules.rules.most_waiting = 1;
  Do(rules);
  Do(Kind::kWant, kA);
  Do(Kind::kWant, kB);
  EXPECT_EQ(Do(Kind::kWant, kC)[0].error, Error::kTooMany);
  Command other;
  other.work = "more";
  other.who = kA;
  EXPECT_EQ(Do(other)[0].error, Error::kTooMany);
  other.who.name = "";
  EXPECT_EQ(Do(other)[0].error, Error::kMalformed);
  EXPECT_EQ(Do(Kind::kGiveUp, kB, 99)[0].error, Error::kNotOwner);
}

TEST_F(Owner, SavedAndLoadedItIsTheSame) {
  Do(Kind::kWant, kA);
  Do(Kind::kWant, kB, 0, 9);
  Do(Kind::kTakeAway, {}, 0);
  const std::string bytes = state_.Save();
  const std::optional<State> loaded = State::Load(bytes);
  ASSERT_TRUE(loaded);
  EXPECT_EQ(loaded->Save(), bytes);
  // No flipped or missing byte passes.
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string bad = bytes;
    bad[i] = static_cast<char>(bad[i] ^ 4);
    EXPECT_FALSE(State::Load(bad)) << i;
    EXPECT_FALSE(State::Load(std::string_view(bytes).substr(0, i))) << i;
  }
  EXPECT_FALSE(ReadCommand(bytes));
}

}  // namespace
}  // namespace burlfall::owner
