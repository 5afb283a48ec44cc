// When balancers call the list service: a single balancer, and hundreds of balancers against the lab's model
// of the service.
#include "start/call_pacer.h"

#include <gtest/gtest.h>

#include <cstdlib>

#include "callers.h"
#include "start/start_history.h"

namespace burlfall::start {
namespace {

constexpr Micros kT0 = 1'700'000'000 * kSecond;

PacerRules Rules(double balancers = 300, double calls_per_s = 50) {
  return {.must_ask_within = 10 * kSecond, .balancers = balancers, .calls_per_s = calls_per_s, .number = 0};
}

uint64_t Seeds() {
  const char* text = std::getenv("SEEDS");
  return text == nullptr ? 20 : std::strtoull(text, nullptr, 10);
}

// ---- A single balancer -----------------------------------------------------------------------------------

TEST(Asking, AFewBalancersCallAtOnceWithoutDelays) {
  CallPacer pacer(Rules(3), 7);
  pacer.Begin(kT0, false, 0.9);
  EXPECT_EQ(pacer.next_at(), kT0);
  pacer.Called(kT0, false);
  pacer.Ended(kT0 + kMs, CallOutcome::kChanged, kMs, 0, 0.9);
  EXPECT_EQ(pacer.next_at(), kT0 + kMs);
  pacer.Called(kT0 + kMs, true);
  pacer.Ended(kT0 + 2 * kSecond, CallOutcome::kChanged, 0, 0, 0.9);
  EXPECT_EQ(pacer.next_at(), kT0 + 2 * kSecond);
  EXPECT_EQ(pacer.watch_wait(), 5 * kSecond);
}

TEST(Asking, ABalancerWithAListCallsAgainWithinTheRulesTime) {
  for (const double balancers : {10.0, 60.0, 300.0, 1000.0, 100000.0}) {
    for (const double draw : {0.0, 0.5, 0.999}) {
      CallPacer pacer(Rules(balancers), 7);
      pacer.Begin(kT0, true, draw);
      // it serves from an older list, so the rule applies
      EXPECT_LE(pacer.next_at(), kT0 + 9 * kSecond) << balancers;
      pacer.Called(pacer.next_at(), false);
      Micros now = pacer.next_at() + 100 * kMs;
      pacer.Ended(now, CallOutcome::kChanged, 100 * kMs, 0, draw);
      EXPECT_LE(pacer.next_at() - now, 9 * kSecond) << balancers;
      pacer.Called(now = pacer.next_at(), true);
      pacer.Ended(now += kSecond, CallOutcome::kChanged, 0, 0, draw);
      EXPECT_LE(pacer.next_at() - now, 9 * kSecond) << balancers;
      EXPECT_LE(pacer.watch_wait(), 60 * kSecond);  // the longest wait that the service accepts
      // After a failed call the rule allows four times as long.
      pacer.Called(now = pacer.next_at(), true);
      for (int failures = 0; failures < 40; ++failures) {
        pacer.Ended(now, CallOutcome::kBusy, 2 * kSecond, 3600 * kSecond, draw);
        EXPECT_LE(pacer.next_at() - now, 32 * kSecond) << balancers;
        EXPECT_GT(pacer.next_at(), now) << balancers;
        pacer.Called(now = pacer.next_at(), false);
      }
    }
  }
}

TEST(Asking, RetryAfterIsObeyedWithinTheRulesTimeAndSpreadOut) {
  CallPacer pacer(Rules(), 7);
  pacer.Begin(kT0, false, 0);
  pacer.Called(kT0, false);
  CallPacer other = pacer;
  pacer.Ended(kT0, CallOutcome::kBusy, 0, 20 * kSecond, 0.1);
  other.Ended(kT0, CallOutcome::kBusy, 0, 20 * kSecond, 0.9);
  EXPECT_GE(pacer.next_at(), kT0 + 20 * kSecond);
  EXPECT_GT(other.next_at(), pacer.next_at() + kSecond);
}

TEST(Asking, OverloadOfTheServiceLengthensDelaysAndAnswersShortenThem) {
  CallPacer pacer(Rules(), 7);
  pacer.Begin(kT0, false, 0);
  pacer.Called(kT0, false);
  pacer.Ended(kT0, CallOutcome::kDown, 0, 0, 0.5);
  EXPECT_EQ(pacer.stretch(), 1);  // a service that is down is not overloaded
  const Micros plain = pacer.next_at() - kT0;
  pacer.Called(kT0, false);
  pacer.Ended(kT0, CallOutcome::kBusy, 2 * kSecond, 0, 0.5);
  EXPECT_EQ(pacer.stretch(), 2);
  EXPECT_GE(pacer.next_at() - kT0, 2 * plain - 1);
  pacer.Called(kT0, false);
  pacer.Ended(kT0, CallOutcome::kChanged, kMs, 0, 0.5);
  EXPECT_LT(pacer.stretch(), 2);
}

TEST(Asking, TimeAndAListRefillTheBudgetAndAFailureDoesNot) {
  CallPacer pacer(Rules(60), 7);  // a round of 1.2 s
  pacer.Begin(kT0, false, 0);
  // Repeated calls, as caused by reloads.
  for (int i = 0; i < 3; ++i) {
    pacer.Called(kT0, false);
    pacer.Ended(kT0, CallOutcome::kDown, 0, 0, 0);
  }
  EXPECT_LT(pacer.budget(kT0), 1);
  EXPECT_GE(pacer.next_at(), kT0 + 1200 * kMs);
  EXPECT_NEAR(pacer.budget(kT0 + 1200 * kMs), 1, 0.01);
  pacer.Called(kT0, false);
  pacer.Ended(kT0, CallOutcome::kChanged, 0, 0, 0);
  EXPECT_EQ(pacer.budget(kT0), 3);
}

TEST(Asking, ACrashLoopCausesFewerCallsWithEachRestart) {
  // The process crashes a second after each start, in a small and in a large group of balancers.
  for (const double balancers : {3.0, 300.0}) {
    int calls = 0;
    for (int round = 0; round < 60; ++round) {
      CallPacer pacer(Rules(balancers), 7);
      const Micros now = kT0 + round * kSecond;
      pacer.Begin(now, true, 0.5, round);
      EXPECT_LE(pacer.next_at(), now + 32 * kSecond);
      calls += pacer.next_at() < now + kSecond;
    }
    EXPECT_LE(calls, 4) << balancers;
  }
}

TEST(Asking, WithoutAListAQueryThatCannotWaitGetsARetryDelay) {
  CallPacer pacer(Rules(), 7);
  pacer.Begin(kT0, false, 0);
  pacer.Called(kT0, false);
  pacer.Ended(kT0, CallOutcome::kDown, 0, 0, 0.5);       // the next call is due after 1.2 rounds, 7.2 s
  EXPECT_FALSE(pacer.RetryDelay(kT0, 20 * kSecond, 0));  // the query may wait
  const auto first = pacer.RetryDelay(kT0, kSecond, 0), last = pacer.RetryDelay(kT0, kSecond, 0.999);
  ASSERT_TRUE(first && last);
  EXPECT_GE(*first, 7 * kSecond);
  EXPECT_GT(*last, *first + 500 * kMs);
  EXPECT_FALSE(
      pacer.RetryDelay(pacer.next_at(), kSecond, 0));  // a call is in progress: the list may arrive at once
  pacer.Called(pacer.next_at(), false);
  pacer.Ended(pacer.next_at(), CallOutcome::kChanged, 0, 0, 0);
  EXPECT_FALSE(pacer.RetryDelay(kT0 + kSecond, kSecond, 0));
}

TEST(StartBook, KeepsTheLastStartsAndIgnoresMalformedText) {
  StartHistory history;
  for (int i = 0; i < 40; ++i) history.Add(kT0 + i * kSecond);
  const StartHistory again(history.Text());
  EXPECT_EQ(again.Text(), history.Text());
  EXPECT_EQ(again.Within(3 * kSecond, kT0 + 39 * kSecond), 4);
  EXPECT_EQ(again.Within(3600 * kSecond, kT0 + 39 * kSecond), 16);
  EXPECT_EQ(again.Within(3600 * kSecond, kT0), 0);  // after the clock was set back
  for (const char* text : {"", "burlfall-starts 12", "burlfall-starts 12 x\n", "what\n"}) {
    EXPECT_EQ(StartHistory(text).Within(kT0, kT0), 0) << text;
  }
}

TEST(Asking, ANewServiceIsCalledInTurnAndWithinTheRulesTime) {
  for (const double draw : {0.0, 0.5, 0.999}) {
    CallPacer pacer(Rules(), 7);
    pacer.Begin(kT0, false, draw);
    pacer.Restart(kT0, draw);
    EXPECT_EQ(pacer.phase(), StartPhase::kNoList);  // a new service does not provide a list yet
    pacer.Called(kT0, false);
    pacer.Ended(kT0, CallOutcome::kChanged, 0, 0, draw);
    const Micros now = kT0 + 8 * kSecond;  // it delays its watch and has received nothing since
    pacer.Restart(now, draw);
    EXPECT_LE(pacer.next_at(), kT0 + 9 * kSecond);
    pacer.Called(now, true);
    pacer.Restart(now + 5 * kSecond, draw);  // its watch was in progress until then
    EXPECT_LE(pacer.next_at(), now + 14 * kSecond);
  }
  // Repeated changes of the address: a balancer in a small group does not overload the service, because its
  // budget carries over.
  CallPacer pacer(Rules(60), 7);
  pacer.Begin(kT0, true, 0);
  int calls = 0;
  for (Micros now = kT0; now < kT0 + 10 * kSecond; now += 10 * kMs) {
    pacer.Restart(now, 0);
    if (pacer.next_at() > now) continue;
    pacer.Called(now, false);
    ++calls;
  }
  EXPECT_LE(calls, 12);
}

TEST(Asking, ThePhaseFollowsTheListAndTheCalls) {
  CallPacer pacer(Rules(), 7);
  pacer.Begin(kT0, false, 0);
  EXPECT_EQ(pacer.phase(), StartPhase::kNoList);
  pacer.Called(kT0, false);
  pacer.Ended(kT0, CallOutcome::kDown, 0, 0, 0);
  EXPECT_EQ(pacer.phase(), StartPhase::kNoList);
  pacer.Called(kT0, false);
  pacer.Ended(kT0, CallOutcome::kChanged, 0, 0, 0);
  EXPECT_EQ(pacer.phase(), StartPhase::kListed);
  pacer.Called(kT0, true);
  EXPECT_EQ(pacer.phase(), StartPhase::kFollowing);
  pacer.Ended(kT0, CallOutcome::kNoAnswer, 0, 0, 0);
  EXPECT_EQ(pacer.phase(), StartPhase::kOldList);
}

// ---- Hundreds of balancers -------------------------------------------------------------------------------

void ExpectGoodRun(const RunResult& result, Micros within, double calls_each, int most,
                   const std::string& what) {
  EXPECT_EQ(result.callers_without_list, 0) << what;
  EXPECT_LE(result.last_listed, within) << what;
  EXPECT_LE(result.MeanCalls(), calls_each) << what;
  EXPECT_LE(result.MaxCallsPerSecond(1), most) << what;
  EXPECT_LE(result.longest_silence, 10 * kSecond) << what;
}

TEST(ManyAsk, ThreeHundredBalancersGetTheirListsWithinOneAndAHalfRounds) {
  for (uint64_t seed = 1; seed <= Seeds(); ++seed) {
    auto strategies = PacedCallers(300, Rules());
    ExpectGoodRun(RunCallers(strategies, {}, 40 * kSecond, seed), 9 * kSecond, 1.05, 50,
                  std::to_string(seed));
  }
}

TEST(ManyAsk, CallsGrowOnlyLinearlyWithTheBalancers) {
  for (const int count : {10, 30, 100, 300, 1000}) {
    auto strategies = PacedCallers(static_cast<size_t>(count), Rules(count));
    const RunResult result = RunCallers(strategies, {}, 90 * kSecond, 5);
    EXPECT_EQ(result.callers_without_list, 0) << count;
    EXPECT_LE(result.MeanCalls(), 1.1) << count;
    EXPECT_LE(result.MaxCallsPerSecond(1), 50) << count;
    EXPECT_LE(result.longest_silence, 10 * kSecond) << count;
  }
}

TEST(ManyAsk, SimpleRetriesOverloadTheService) {
  // Baselines: a fixed delay and a plain exponential back-off. Shows why CallPacer is needed.
  std::vector<std::unique_ptr<Strategy>> fixed, exponential;
  for (int i = 0; i < 300; ++i) {
    fixed.push_back(std::make_unique<BackoffStrategy>(kSecond, false, kSecond));
    exponential.push_back(std::make_unique<BackoffStrategy>(kSecond, true, 10 * kSecond / 3));
  }
  const RunResult by_fixed = RunCallers(fixed, {}, 30 * kSecond, 3);
  const RunResult by_exponential = RunCallers(exponential, {}, 30 * kSecond, 3);
  EXPECT_GT(by_fixed.last_listed, 9 * kSecond);
  EXPECT_GT(by_fixed.MaxCallsPerSecond(1), 50);
  EXPECT_GT(by_exponential.last_listed, 9 * kSecond);
  EXPECT_GT(by_exponential.MaxCallsPerSecond(1), 50);
}

TEST(ManyAsk, CallsRampUpAfterAnOutage) {
  for (const int down_s : {10, 20, 60}) {
    for (uint64_t seed = 1; seed <= Seeds(); ++seed) {
      auto strategies = PacedCallers(300, Rules());
      const RunResult result =
          RunCallers(strategies, {.down_until = down_s * kSecond}, (down_s + 40) * kSecond, seed);
      const std::string what = std::to_string(down_s) + " s, seed " + std::to_string(seed);
      EXPECT_EQ(result.callers_without_list, 0) << what;
      EXPECT_LE(result.last_listed, (down_s + 12) * kSecond) << what;
      EXPECT_LE(result.calls[static_cast<size_t>(down_s)], 60) << what;
    }
  }
}

TEST(ManyAsk, BalancersWithTheSameSeedClockAndNumberSpreadOut) {
  // All balancers have the same number and start at the same moment; only their names differ.
  auto strategies = PacedCallers(300, Rules(), [](size_t) { return 0; });
  const RunResult result = RunCallers(strategies, {}, 60 * kSecond, 2, 0);
  EXPECT_EQ(result.callers_without_list, 0);
  EXPECT_LE(result.last_listed, 35 * kSecond);
  // No balancer has a number.
  auto unnumbered = PacedCallers(300, Rules(), [](size_t) { return -1; });
  ExpectGoodRun(RunCallers(unnumbered, {}, 60 * kSecond, 2, 0), 12 * kSecond, 1.5, 75, "without numbers");
}

TEST(ManyAsk, ABalancerCountWrongByTenTimesDelaysListsButLosesNone) {
  for (const double believed : {30.0, 3000.0}) {
    auto strategies = PacedCallers(300, Rules(believed), [&](size_t i) {
      return static_cast<int>(static_cast<double>(i) * believed / 300);
    });
    const RunResult result = RunCallers(strategies, {}, 90 * kSecond, 4);
    EXPECT_EQ(result.callers_without_list, 0) << believed;
    EXPECT_LE(result.last_listed, 61 * kSecond) << believed;
    EXPECT_LE(result.longest_silence, 10 * kSecond) << believed;
  }
}

TEST(ManyAsk, BalancersWithoutAListGoFirst) {
  auto strategies = PacedCallers(300, Rules(), nullptr, [](size_t i) { return i % 2 == 1; });
  double with = 0, callers_without_list = 0;
  for (size_t i = 0; i < strategies.size(); ++i) {
    strategies[i]->Begin(kT0, 0.5);
    (i % 2 == 1 ? with : callers_without_list) += static_cast<double>(strategies[i]->NextAt() - kT0) / 150;
  }
  EXPECT_GT(with, callers_without_list + static_cast<double>(kSecond));
  auto again = PacedCallers(300, Rules(), nullptr, [](size_t i) { return i % 2 == 1; });
  ExpectGoodRun(RunCallers(again, {}, 40 * kSecond, 6), 10 * kSecond, 1.05, 55, "half of them");
  auto all = PacedCallers(300, Rules(), nullptr, [](size_t) { return true; });
  ExpectGoodRun(RunCallers(all, {}, 40 * kSecond, 6), 10 * kSecond, 1.05, 55, "all of them");
}

TEST(ManyAsk, ARetryAfterOfAnHourDelaysNoBalancerBeyondTheRule) {
  auto strategies = PacedCallers(300, Rules());
  const RunResult result =
      RunCallers(strategies, {.down_until = 20 * kSecond, .retry_after = 3600 * kSecond}, 90 * kSecond, 7);
  EXPECT_EQ(result.callers_without_list, 0);
  EXPECT_LE(result.last_listed, 62 * kSecond);
}

TEST(ManyAsk, AChangeThatAllReceiveAtOnceCausesNoBurst) {
  std::vector<Micros> changes;
  for (int i = 0; i < 5; ++i) changes.push_back((30 + 20 * i) * kSecond);
  auto strategies = PacedCallers(300, Rules());
  const RunResult result = RunCallers(strategies, {.changes = changes}, 140 * kSecond, 8);
  EXPECT_EQ(result.callers_without_list, 0);
  EXPECT_LE(result.MaxCallsPerSecond(1), 70);
  EXPECT_LE(result.longest_silence, 10 * kSecond);
}

TEST(ManyAsk, ASlowServiceStillGivesEveryBalancerItsList) {
  // The service handles a tenth of the rate that the balancers assume.
  auto strategies = PacedCallers(100, Rules(100));
  const RunResult result = RunCallers(strategies, {.calls_per_s = 5}, 240 * kSecond, 9);
  EXPECT_EQ(result.callers_without_list, 0);
}

TEST(ManyAsk, EveryBalancerGetsItsListOnceFaultsEnd) {
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
    PacerRules rules = Rules(believed, rate);
    rules.must_ask_within = static_cast<Micros>(draws.Between({4, 30}) * kSecond);
    auto strategies =
        PacedCallers(static_cast<size_t>(count), rules, [&](size_t i) { return static_cast<int>(i); });
    const RunResult result = RunCallers(strategies, service, 300 * kSecond, seed);
    EXPECT_EQ(result.callers_without_list, 0) << "seed " << seed;
    EXPECT_LE(result.longest_silence, rules.must_ask_within) << "seed " << seed;
  }
}

}  // namespace
}  // namespace burlfall::start
