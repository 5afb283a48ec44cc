// ListClock in isolation: when the list service must be called again, even if nobody requests it.
#include "membership/list_clock.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace burlfall {
namespace {

using enum ListCallOutcome;

constexpr ListRules kAsked = {.pushed = false, .must_ask_within = 10 * kSecond, .drain_grace = 750 * kMs};
constexpr ListRules kPushed = {.pushed = true, .must_ask_within = 10 * kSecond, .drain_grace = 750 * kMs};

// For any settings, a silent watch is detected, and its replacement has waited in the service's queue,
// before a missed change counts.
TEST(ListClock, ASilentWatchIsDetectedWithTimeLeftToQueue) {
  for (Micros must_ask : {200 * kMs, kSecond, 2 * kSecond, 10 * kSecond, 60 * kSecond, 3600 * kSecond}) {
    ListClock clock({.must_ask_within = must_ask});
    clock.Called(0, true);
    EXPECT_GE(clock.wait(), kSecond);
    const Micros found = clock.timeout(true, false);
    clock.Ended(found, kSilent, 0, 0.5);
    EXPECT_EQ(clock.next_call_at(), found) << must_ask;  // retried at once
    EXPECT_EQ(clock.counts_at(), 6 * kSecond);
    EXPECT_GE(clock.counts_at() - found, 2500 * kMs) << must_ask;
  }
}

TEST(ListClock, AMissedChangeCountsNoEarlierThanSixSecondsAfterTheCall) {
  ListClock clock(kAsked);
  clock.Called(100 * kSecond, true);
  clock.Ended(103 * kSecond, kSilent, 0, 0);
  EXPECT_EQ(clock.counts_at(), 106 * kSecond);
  clock.Called(103 * kSecond, true);
  clock.Ended(107 * kSecond, kSilent, 0, 0);
  EXPECT_EQ(clock.counts_at(), 106 * kSecond);  // a later silence does not postpone it
  clock.Called(107 * kSecond, true);
  clock.Ended(107 * kSecond, kAnswered, 0, 0);
  EXPECT_EQ(clock.counts_at(), kNever);
  EXPECT_EQ(clock.next_call_at(), kNever);
}

TEST(ListClock, ACallRejectedAfterASilenceIsRetriedInTime) {
  for (double draw : {0.0, 0.5, 0.999}) {
    ListClock clock(kAsked);
    clock.Called(0, true);
    Micros now = clock.timeout(true, false);
    clock.Ended(now, kSilent, 0, draw);
    int calls = 0;
    while (clock.next_call_at() < clock.counts_at()) {
      now = clock.next_call_at();
      clock.Called(now, true);
      clock.Ended(now + 5 * kMs, kBusy, 3600 * kSecond, draw);  // the Retry-After of an hour is limited
      EXPECT_GT(clock.next_call_at(), now + 5 * kMs);  // but the service is not called without a pause
      ++calls;
    }
    EXPECT_GE(calls, 3) << draw;  // all of them before a missed change counts
  }
}

// Whatever Rules.MustAskIn is, a change counts 6 s after the service had it and was reachable. The call
// after a failure may be rejected once more after 2 s in the queue, and another one waits in it.
TEST(ListClock, AfterAnyFailureTheNextCallIsInTimeForAChangeRightAfterIt) {
  for (Micros must_ask : {kSecond, 10 * kSecond, 60 * kSecond, 3600 * kSecond}) {
    for (ListCallOutcome how : {kBusy, kDown}) {
      for (double draw : {0.0, 0.5, 0.999}) {
        ListClock clock({.must_ask_within = must_ask});
        for (Micros now = 0; now < 60 * kSecond; now = clock.next_call_at()) {
          clock.Called(now, false);
          clock.Ended(now + 5 * kMs, how, 0, draw);
          ASSERT_LE(clock.next_call_at() - now, 1900 * kMs) << must_ask << " " << draw;
          ASSERT_GE(clock.next_call_at() - now, 600 * kMs) << must_ask << " " << draw;  // but not in a loop
          EXPECT_EQ(clock.counts_at(), kNever);
        }
      }
    }
  }
}

// A Retry-After is obeyed within the same limit. The calls of balancers that were rejected at the same
// moment are spread out.
TEST(ListClock, ARetryAfterIsObeyedWithinLimits) {
  for (Micros must_ask : {kSecond, 10 * kSecond, 60 * kSecond, 3600 * kSecond}) {
    for (Micros asked_for : {100 * kMs, kSecond, 3 * kSecond, 86400 * kSecond}) {
      Micros least = kNever, most = 0;
      for (double draw : {0.0, 0.5, 0.999}) {
        ListClock clock({.must_ask_within = must_ask});
        clock.Called(0, false);
        clock.Ended(0, kBusy, asked_for, draw);
        least = std::min(least, clock.next_call_at());
        most = std::max(most, clock.next_call_at());
      }
      EXPECT_GE(least, std::min({asked_for, must_ask / 3, kSecond}));
      EXPECT_LE(most, 1900 * kMs);
      EXPECT_GE(most - least, 500 * kMs);
    }
  }
}

// Whatever the service has counts at once, so each pause is a part of the grace.
TEST(ListClock, WithPushedListsTheNextCallIsWithinAPartOfTheGrace) {
  for (Micros grace : {20 * kMs, 100 * kMs, 750 * kMs, 10 * kSecond}) {
    for (ListCallOutcome how : {kBusy, kDown, kSilent}) {
      ListClock clock({.pushed = true, .drain_grace = grace});
      for (int i = 0; i < 20; ++i) {
        clock.Called(i * kSecond, true);
        clock.Ended(i * kSecond, how, i % 2 * 3600 * kSecond, 0.999);
        EXPECT_LE(clock.next_call_at() - i * kSecond, std::max<Micros>(10 * kMs, grace / 4));
      }
    }
  }
  ListClock clock(kPushed);
  clock.Called(0, true);
  clock.Ended(0, kDown, 0, 0);
  EXPECT_GE(clock.next_call_at(), 50 * kMs);  // but not in a tight loop
}

// Failures of the previous service do not lengthen the timeout: a silent new service is detected and called
// again in time.
TEST(ListClock, ANewServiceStartsWithoutFailuresAndCountsAfterFourSeconds) {
  ListClock clock(kAsked);
  const Micros timeout = clock.timeout(false, true);
  Micros now = 0;
  for (int i = 0; i < 5; ++i) {
    clock.Called(now, true);
    now += clock.timeout(true, true);
    clock.Ended(now, kSilent, 0, 0.5);
  }
  clock.Reset(now);
  EXPECT_EQ(clock.counts_at(), now + 4 * kSecond);
  EXPECT_EQ(clock.timeout(false, true), timeout);
  clock.Called(now, false);
  clock.Ended(now + timeout, kSilent, 0, 0.999);
  EXPECT_EQ(clock.next_call_at(), now + timeout);
  EXPECT_LE(clock.counts_at(), now + 4 * kSecond);  // a silence does not postpone it
}

TEST(ListClock, AQueueLongerThanTheTimeoutIsWaitedForTheSecondTime) {
  ListClock clock(kAsked);
  const Micros first = clock.timeout(false, true);
  clock.Called(0, false);
  clock.Ended(first, kSilent, 0, 0);
  EXPECT_GT(clock.timeout(false, true), first);
  EXPECT_GT(clock.timeout(true, true), first);
  // a call that continues a watch does not wait in the queue
  EXPECT_EQ(clock.timeout(true, false), clock.wait() + kSecond);
}

}  // namespace
}  // namespace burlfall
