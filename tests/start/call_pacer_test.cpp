// When balancers ask the list service: each by itself, and hundreds together against the lab's model of the
// service.
#include "start/call_pacer.h"

#include <gtest/gtest.h>

#include <cstdlib>

#include "callers.h"
#include "start/start_history.h"

namespace burlfall::start {
namespace {

constexpr Micros kT0 = 1'700'000'000 * kSecond;

AskRules Rules(double balancers = 300, double calls_per_s = 50) {
  return {.must_ask_within = 10 * kSecond, .balancers = balancers, .calls_per_s = calls_per_s, .number = 0};
}

uint64_t Seeds() {
  const char* text = std::getenv("SEEDS");
  return text == nullptr ? 20 : std::strtoull(text, nullptr, 10);
}

// ---- One by itself ---------------------------------------------------------------------------------------

TEST(Asking, AFewBalancersAskAtOnceAndPutNothingOff) {
  Asking asking(Rules(3), 7);
  asking.Begin(kT0, false, 0.9);
  EXPECT_EQ(asking.next_at(), kT0);
  asking.Called(kT0, false);
  asking.Ended(kT0 + kMs, CallEnd::kNews, kMs, 0, 0.9);
  EXPECT_EQ(asking.next_at(), kT0 + kMs);
  asking.Called(kT0 + kMs, true);
  asking.Ended(kT0 + 2 * kSecond, CallEnd::kNews, 0, 0, 0.9);
  EXPECT_EQ(asking.next_at(), kT0 + 2 * kSecond);
  EXPECT_EQ(asking.watch_wait(), 5 * kSecond);
}

TEST(Asking, WhoHasAListAsksAgainBeforeTheTimeOfTheRuleIsOver) {
  for (const double balancers : {10.0, 60.0, 300.0, 1000.0, 100000.0}) {
    for (const double draw : {0.0, 0.5, 0.999}) {
      Asking asking(Rules(balancers), 7);
      asking.Begin(kT0, true, draw);
      EXPECT_LE(asking.next_at(), kT0 + 9 * kSecond) << balancers;  // it serves from an older list
      asking.Called(asking.next_at(), false);
      Micros now = asking.next_at() + 100 * kMs;
      asking.Ended(now, CallEnd::kNews, 100 * kMs, 0, draw);
      EXPECT_LE(asking.next_at() - now, 9 * kSecond) << balancers;
      asking.Called(now = asking.next_at(), true);
      asking.Ended(now += kSecond, CallEnd::kNews, 0, 0, draw);
      EXPECT_LE(asking.next_at() - now, 9 * kSecond) << balancers;
      EXPECT_LE(asking.watch_wait(), 60 * kSecond);  // as long as the service may be asked to wait
      // After a call that failed the rule gives four times as long.
      asking.Called(now = asking.next_at(), true);
      for (int failures = 0; failures < 40; ++failures) {
        asking.Ended(now, CallEnd::kBusy, 2 * kSecond, 3600 * kSecond, draw);
        EXPECT_LE(asking.next_at() - now, 32 * kSecond) << balancers;
        EXPECT_GT(asking.next_at(), now) << balancers;
        asking.Called(now = asking.next_at(), false);
      }
    }
  }
}

TEST(Asking, RetryAfterIsHeededUpToWhatTheRuleAllowsAndNotByAllAtOnce) {
  Asking asking(Rules(), 7);
  asking.Begin(kT0, false, 0);
  asking.Called(kT0, false);
  Asking other = asking;
  asking.Ended(kT0, CallEnd::kBusy, 0, 20 * kSecond, 0.1);
  other.Ended(kT0, CallEnd::kBusy, 0, 20 * kSecond, 0.9);
  EXPECT_GE(asking.next_at(), kT0 + 20 * kSecond);
  EXPECT_GT(other.next_at(), asking.next_at() + kSecond);
}

TEST(Asking, TheServicesStrainStretchesWhatFollowsAndItsAnswersEaseIt) {
  Asking asking(Rules(), 7);
  asking.Begin(kT0, false, 0);
  asking.Called(kT0, false);
  asking.Ended(kT0, CallEnd::kDown, 0, 0, 0.5);
  EXPECT_EQ(asking.stretch(), 1);  // a service that is down is not full
  const Micros plain = asking.next_at() - kT0;
  asking.Called(kT0, false);
  asking.Ended(kT0, CallEnd::kBusy, 2 * kSecond, 0, 0.5);
  EXPECT_EQ(asking.stretch(), 2);
  EXPECT_GE(asking.next_at() - kT0, 2 * plain - 1);
  asking.Called(kT0, false);
  asking.Ended(kT0, CallEnd::kNews, kMs, 0, 0.5);
  EXPECT_LT(asking.stretch(), 2);
}

TEST(Asking, AFailureDoesNotRefillTheBudgetTimeAndAListDo) {
  Asking asking(Rules(60), 7);  // a round of 1.2 s
  asking.Begin(kT0, false, 0);
  // Called on and on, as by reloads.
  for (int i = 0; i < 3; ++i) {
    asking.Called(kT0, false);
    asking.Ended(kT0, CallEnd::kDown, 0, 0, 0);
  }
  EXPECT_LT(asking.budget(kT0), 1);
  EXPECT_GE(asking.next_at(), kT0 + 1200 * kMs);
  EXPECT_NEAR(asking.budget(kT0 + 1200 * kMs), 1, 0.01);
  asking.Called(kT0, false);
  asking.Ended(kT0, CallEnd::kNews, 0, 0, 0);
  EXPECT_EQ(asking.budget(kT0), 3);
}

TEST(Asking, AProcessThatIsStartedAgainAndAgainCostsLessWithEachRound) {
  // One that dies a second after each start, of a few balancers and of many.
  for (const double balancers : {3.0, 300.0}) {
    int calls = 0;
    for (int round = 0; round < 60; ++round) {
      Asking asking(Rules(balancers), 7);
      const Micros now = kT0 + round * kSecond;
      asking.Begin(now, true, 0.5, round);
      EXPECT_LE(asking.next_at(), now + 32 * kSecond);
      calls += asking.next_at() < now + kSecond;
    }
    EXPECT_LE(calls, 4) << balancers;
  }
}

TEST(Asking, WithoutAListAQueryThatCannotWaitForItIsToldWhenToComeBack) {
  Asking asking(Rules(), 7);
  asking.Begin(kT0, false, 0);
  asking.Called(kT0, false);
  asking.Ended(kT0, CallEnd::kDown, 0, 0, 0.5);        // its next call is due after 1.2 rounds, 7.2 s
  EXPECT_FALSE(asking.Refuses(kT0, 20 * kSecond, 0));  // it may wait
  const auto first = asking.Refuses(kT0, kSecond, 0), last = asking.Refuses(kT0, kSecond, 0.999);
  ASSERT_TRUE(first && last);
  EXPECT_GE(*first, 7 * kSecond);
  EXPECT_GT(*last, *first + 500 * kMs);
  EXPECT_FALSE(
      asking.Refuses(asking.next_at(), kSecond, 0));  // the call is out: the list may be there at once
  asking.Called(asking.next_at(), false);
  asking.Ended(asking.next_at(), CallEnd::kNews, 0, 0, 0);
  EXPECT_FALSE(asking.Refuses(kT0 + kSecond, kSecond, 0));
}

TEST(StartBook, RemembersTheLastStartsAndMakesNothingOfWhatItCannotRead) {
  StartBook book;
  for (int i = 0; i < 40; ++i) book.Add(kT0 + i * kSecond);
  const StartBook again(book.Text());
  EXPECT_EQ(again.Text(), book.Text());
  EXPECT_EQ(again.Within(3 * kSecond, kT0 + 39 * kSecond), 4);
  EXPECT_EQ(again.Within(3600 * kSecond, kT0 + 39 * kSecond), 16);
  EXPECT_EQ(again.Within(3600 * kSecond, kT0), 0);  // a clock that has stepped back
  for (const char* text : {"", "burlfall-starts 12", "burlfall-starts 12 x\n", "what\n"}) {
    EXPECT_EQ(StartBook(text).Within(kT0, kT0), 0) << text;
  }
}

TEST(Asking, AnotherServiceIsAskedInTurnAndNoLaterThanTheRuleAllows) {
  for (const double draw : {0.0, 0.5, 0.999}) {
    Asking asking(Rules(), 7);
    asking.Begin(kT0, false, draw);
    asking.BeginAnew(kT0, draw);
    EXPECT_EQ(asking.phase(), StartPhase::kWithout);  // another service is no list
    asking.Called(kT0, false);
    asking.Ended(kT0, CallEnd::kNews, 0, 0, draw);
    const Micros now = kT0 + 8 * kSecond;  // it gives way, and has been told nothing since
    asking.BeginAnew(now, draw);
    EXPECT_LE(asking.next_at(), kT0 + 9 * kSecond);
    asking.Called(now, true);
    asking.BeginAnew(now + 5 * kSecond, draw);  // its watch was out until then
    EXPECT_LE(asking.next_at(), now + 14 * kSecond);
  }
  // Told of another one on and on, a balancer among few does not empty it: its budget goes on.
  Asking asking(Rules(60), 7);
  asking.Begin(kT0, true, 0);
  int calls = 0;
  for (Micros now = kT0; now < kT0 + 10 * kSecond; now += 10 * kMs) {
    asking.BeginAnew(now, 0);
    if (asking.next_at() > now) continue;
    asking.Called(now, false);
    ++calls;
  }
  EXPECT_LE(calls, 12);
}

TEST(Asking, ItsPhaseIsWhatItHasAndWhatItWaitsFor) {
  Asking asking(Rules(), 7);
  asking.Begin(kT0, false, 0);
  EXPECT_EQ(asking.phase(), StartPhase::kWithout);
  asking.Called(kT0, false);
  asking.Ended(kT0, CallEnd::kDown, 0, 0, 0);
  EXPECT_EQ(asking.phase(), StartPhase::kWithout);
  asking.Called(kT0, false);
  asking.Ended(kT0, CallEnd::kNews, 0, 0, 0);
  EXPECT_EQ(asking.phase(), StartPhase::kListed);
  asking.Called(kT0, true);
  EXPECT_EQ(asking.phase(), StartPhase::kFollowing);
  asking.Ended(kT0, CallEnd::kNoAnswer, 0, 0, 0);
  EXPECT_EQ(asking.phase(), StartPhase::kOlder);
}

// ---- Hundreds together -----------------------------------------------------------------------------------

void AllWell(const Course& course, Micros within, double calls_each, int most, const std::string& what) {
  EXPECT_EQ(course.without, 0) << what;
  EXPECT_LE(course.last_listed, within) << what;
  EXPECT_LE(course.Mean(), calls_each) << what;
  EXPECT_LE(course.Most(1), most) << what;
  EXPECT_LE(course.longest_unasked, 10 * kSecond) << what;
}

TEST(ManyAsk, ThreeHundredWithoutAListHaveItWithinHalfAsMuchAgainAsTheLeastPossible) {
  for (uint64_t seed = 1; seed <= Seeds(); ++seed) {
    auto ways = PacedCallers(300, Rules());
    AllWell(PlayCallers(ways, {}, 40 * kSecond, seed), 9 * kSecond, 1.05, 50, std::to_string(seed));
  }
}

TEST(ManyAsk, WhatTheyCostGrowsWithTheirNumberAndNoMore) {
  for (const int count : {10, 30, 100, 300, 1000}) {
    auto ways = PacedCallers(static_cast<size_t>(count), Rules(count));
    const Course course = PlayCallers(ways, {}, 90 * kSecond, 5);
    EXPECT_EQ(course.without, 0) << count;
    EXPECT_LE(course.Mean(), 1.1) << count;
    EXPECT_LE(course.Most(1), 50) << count;
    EXPECT_LE(course.longest_unasked, 10 * kSecond) << count;
  }
}

TEST(ManyAsk, WhoSimplyAsksAgainDoesNotGetThere) {
  // What Asking is held against: main before it, a fixed delay, and a plain exponential back-off.
  std::vector<std::unique_ptr<Way>> fixed, exponential;
  for (int i = 0; i < 300; ++i) {
    fixed.push_back(std::make_unique<Plain>(kSecond, false, kSecond));
    exponential.push_back(std::make_unique<Plain>(kSecond, true, 10 * kSecond / 3));
  }
  const Course by_fixed = PlayCallers(fixed, {}, 30 * kSecond, 3);
  const Course by_exponential = PlayCallers(exponential, {}, 30 * kSecond, 3);
  EXPECT_GT(by_fixed.last_listed, 9 * kSecond);
  EXPECT_GT(by_fixed.Most(1), 50);
  EXPECT_GT(by_exponential.last_listed, 9 * kSecond);
  EXPECT_GT(by_exponential.Most(1), 50);
}

TEST(ManyAsk, AfterAnOutageThereIsARampAndNoWall) {
  for (const int down_s : {10, 20, 60}) {
    for (uint64_t seed = 1; seed <= Seeds(); ++seed) {
      auto ways = PacedCallers(300, Rules());
      const Course course =
          PlayCallers(ways, {.down_until = down_s * kSecond}, (down_s + 40) * kSecond, seed);
      const std::string what = std::to_string(down_s) + " s, seed " + std::to_string(seed);
      EXPECT_EQ(course.without, 0) << what;
      EXPECT_LE(course.last_listed, (down_s + 12) * kSecond) << what;
      EXPECT_LE(course.calls[static_cast<size_t>(down_s)], 60) << what;
    }
  }
}

TEST(ManyAsk, OneSeedOneClockAndOneNumberDoNotMakeThemOne) {
  // All were given one number, and begin in the same moment: their names are what is left.
  auto ways = PacedCallers(300, Rules(), [](size_t) { return 0; });
  const Course course = PlayCallers(ways, {}, 60 * kSecond, 2, 0);
  EXPECT_EQ(course.without, 0);
  EXPECT_LE(course.last_listed, 35 * kSecond);
  // None has one.
  auto unnumbered = PacedCallers(300, Rules(), [](size_t) { return -1; });
  AllWell(PlayCallers(unnumbered, {}, 60 * kSecond, 2, 0), 12 * kSecond, 1.5, 75, "without numbers");
}

TEST(ManyAsk, ANumberOfBalancersThatIsWrongByTenTimesCostsTimeAndNoList) {
  for (const double believed : {30.0, 3000.0}) {
    auto ways = PacedCallers(300, Rules(believed), [&](size_t i) {
      return static_cast<int>(static_cast<double>(i) * believed / 300);
    });
    const Course course = PlayCallers(ways, {}, 90 * kSecond, 4);
    EXPECT_EQ(course.without, 0) << believed;
    EXPECT_LE(course.last_listed, 61 * kSecond) << believed;
    EXPECT_LE(course.longest_unasked, 10 * kSecond) << believed;
  }
}

TEST(ManyAsk, ThoseWithoutAListGoBeforeThoseWithAnOlderOne) {
  auto ways = PacedCallers(300, Rules(), nullptr, [](size_t i) { return i % 2 == 1; });
  double with = 0, without = 0;
  for (size_t i = 0; i < ways.size(); ++i) {
    ways[i]->Begin(kT0, 0.5);
    (i % 2 == 1 ? with : without) += static_cast<double>(ways[i]->NextAt() - kT0) / 150;
  }
  EXPECT_GT(with, without + static_cast<double>(kSecond));
  auto again = PacedCallers(300, Rules(), nullptr, [](size_t i) { return i % 2 == 1; });
  AllWell(PlayCallers(again, {}, 40 * kSecond, 6), 10 * kSecond, 1.05, 55, "half of them");
  auto all = PacedCallers(300, Rules(), nullptr, [](size_t) { return true; });
  AllWell(PlayCallers(all, {}, 40 * kSecond, 6), 10 * kSecond, 1.05, 55, "all of them");
}

TEST(ManyAsk, ARetryAfterOfAnHourKeepsNobodyAwayForLongerThanTheRuleAllows) {
  auto ways = PacedCallers(300, Rules());
  const Course course =
      PlayCallers(ways, {.down_until = 20 * kSecond, .retry_after = 3600 * kSecond}, 90 * kSecond, 7);
  EXPECT_EQ(course.without, 0);
  EXPECT_LE(course.last_listed, 62 * kSecond);
}

TEST(ManyAsk, AChangeThatAllHearAtOnceIsFollowedByNoWall) {
  std::vector<Micros> changes;
  for (int i = 0; i < 5; ++i) changes.push_back((30 + 20 * i) * kSecond);
  auto ways = PacedCallers(300, Rules());
  const Course course = PlayCallers(ways, {.changes = changes}, 140 * kSecond, 8);
  EXPECT_EQ(course.without, 0);
  EXPECT_LE(course.Most(1), 70);
  EXPECT_LE(course.longest_unasked, 10 * kSecond);
}

TEST(ManyAsk, SlowButSteadyIsStillAList) {
  // A tenth of what the balancers believe it can do.
  auto ways = PacedCallers(100, Rules(100));
  const Course course = PlayCallers(ways, {.calls_per_s = 5}, 240 * kSecond, 9);
  EXPECT_EQ(course.without, 0);
}

TEST(ManyAsk, OnceFaultsAreOverNobodyStaysWithoutAList) {
  for (uint64_t seed = 1; seed <= 5 * Seeds(); ++seed) {
    lab::Stream64 draws(seed, "service");
    Service service;
    service.calls_per_s = draws.Between({5, 200});
    service.patience = static_cast<Micros>(draws.Between({300, 4000}) * kMs);
    service.down_until = draws.Chance(0.6) ? static_cast<Micros>(draws.Between({1, 40}) * kSecond) : 0;
    if (draws.Chance(0.3)) service.retry_after = static_cast<Micros>(draws.Between({0, 60}) * kSecond);
    for (int i = draws.Below(4); i > 0; --i)
      service.changes.push_back(static_cast<Micros>(draws.Between({1, 60}) * kSecond));
    std::sort(service.changes.begin(), service.changes.end());
    const int count = 5 + draws.Below(150);
    const double believed = count * draws.Between({0.3, 3}),
                 rate = service.calls_per_s * draws.Between({0.5, 2});
    AskRules rules = Rules(believed, rate);
    rules.must_ask_within = static_cast<Micros>(draws.Between({4, 30}) * kSecond);
    auto ways =
        PacedCallers(static_cast<size_t>(count), rules, [&](size_t i) { return static_cast<int>(i); });
    const Course course = PlayCallers(ways, service, 300 * kSecond, seed);
    EXPECT_EQ(course.without, 0) << "seed " << seed;
    EXPECT_LE(course.longest_unasked, rules.must_ask_within) << "seed " << seed;
  }
}

}  // namespace
}  // namespace burlfall::start
