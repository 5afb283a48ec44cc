// The list's clock alone: when the service has to be asked again, whoever else asks.
#include "membership/list_clock.h"

#include <gtest/gtest.h>

namespace burlfall {
namespace {

using enum ListCallEnd;

constexpr ListRules kAsked = {.pushed = false, .must_ask_within = 10 * kSecond, .drain_grace = 750 * kMs};
constexpr ListRules kPushed = {.pushed = true, .must_ask_within = 10 * kSecond, .drain_grace = 750 * kMs};

// For any settings: a silent watch is found out and its successor has stood in line before what was missed
// counts.
TEST(ListClock, ASilentWatchIsFoundOutWithTimeLeftToStandInLine) {
  for (Micros must_ask : {200 * kMs, kSecond, 2 * kSecond, 10 * kSecond, 60 * kSecond, 3600 * kSecond}) {
    ListClock clock({.must_ask_within = must_ask});
    clock.Called(0, true);
    EXPECT_GE(clock.wait(), kSecond);
    const Micros found = clock.patience(true, false);
    clock.Ended(found, kSilent, 0, 0.5);
    EXPECT_EQ(clock.ask_at(), found) << must_ask;  // at once
    EXPECT_EQ(clock.counts_at(), 6 * kSecond);
    EXPECT_GE(clock.counts_at() - found, 2500 * kMs) << must_ask;
  }
}

TEST(ListClock, WhatAWatchMissedCountsSixSecondsAfterItWasCalledAtTheEarliest) {
  ListClock clock(kAsked);
  clock.Called(100 * kSecond, true);
  clock.Ended(103 * kSecond, kSilent, 0, 0);
  EXPECT_EQ(clock.counts_at(), 106 * kSecond);
  clock.Called(103 * kSecond, true);
  clock.Ended(107 * kSecond, kSilent, 0, 0);
  EXPECT_EQ(clock.counts_at(), 106 * kSecond);  // a later silence takes nothing back
  clock.Called(107 * kSecond, true);
  clock.Ended(107 * kSecond, kHeard, 0, 0);
  EXPECT_EQ(clock.counts_at(), kNever);
  EXPECT_EQ(clock.ask_at(), kNever);
}

TEST(ListClock, ACallThatIsTurnedAwayAfterASilenceIsFollowedByOthersInTime) {
  for (double draw : {0.0, 0.5, 0.999}) {
    ListClock clock(kAsked);
    clock.Called(0, true);
    Micros now = clock.patience(true, false);
    clock.Ended(now, kSilent, 0, draw);
    int calls = 0;
    while (now < clock.counts_at()) {
      now = clock.ask_at();
      clock.Called(now, true);
      clock.Ended(now + 5 * kMs, kBusy, 3600 * kSecond, draw);  // no hour is waited for
      EXPECT_GT(clock.ask_at(), now + 5 * kMs);                 // nor is the service asked without a pause
      ++calls;
    }
    EXPECT_GE(calls, 2) << draw;
  }
}

TEST(ListClock, WhereNothingWasMissedTheModuleSaysWhenToAsk) {
  ListClock clock(kAsked);
  for (ListCallEnd how : {kBusy, kDown}) {
    clock.Called(0, false);
    clock.Ended(5 * kMs, how, 0, 0.5);
    EXPECT_EQ(clock.ask_at(), kNever);
  }
}

// What the service has counts at once: each pause is a part of the grace.
TEST(ListClock, WherePushedItIsAskedAgainWithinAPartOfTheGraceAfterAnyEnd) {
  for (Micros grace : {20 * kMs, 100 * kMs, 750 * kMs, 10 * kSecond}) {
    for (ListCallEnd how : {kBusy, kDown, kSilent}) {
      ListClock clock({.pushed = true, .drain_grace = grace});
      for (int i = 0; i < 20; ++i) {
        clock.Called(i * kSecond, true);
        clock.Ended(i * kSecond, how, 0, 0.999);
        EXPECT_LE(clock.ask_at() - i * kSecond, std::max<Micros>(10 * kMs, grace / 4));
      }
    }
  }
  ListClock clock(kPushed);
  clock.Called(0, true);
  clock.Ended(0, kDown, 0, 0);
  EXPECT_GE(clock.ask_at(), 50 * kMs);  // and yet not in a closed loop
}

TEST(ListClock, ALineThatIsLongerThanThePatienceIsWaitedForTheSecondTime) {
  ListClock clock(kAsked);
  const Micros first = clock.patience(false, true);
  clock.Called(0, false);
  clock.Ended(first, kSilent, 0, 0);
  EXPECT_GT(clock.patience(false, true), first);
  EXPECT_GT(clock.patience(true, true), first);
  EXPECT_EQ(clock.patience(true, false), clock.wait() + kSecond);  // one that goes on stands in no line
}

}  // namespace
}  // namespace burlfall
