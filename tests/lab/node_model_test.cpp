// Tests of NodeModel: which effects follow an event, and when, to the microsecond.
#include "lab/site/node_model.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace burlfall::lab {
namespace {

using EffectType = NodeModel::EffectType;
using meadowslip::Idempotency;

// A model of a warm node with one core of standard speed, unless a test changes it, and its effects so far.
struct Bench {
  std::vector<ClassSpec> classes = {{.name = "look", .effect = Idempotency::kSafe},
                                    {.name = "pay", .effect = Idempotency::kKeyed, .window_ms = 1000}};
  Deduplicator repeats{classes};
  NodePlan plan;
  NodeGroup group;
  NodeModel::Rules rules{.overload_factor = 4, .overload_window = 1500 * kMs, .balancers = 2};
  bool cold = false;
  std::unique_ptr<NodeModel> made;
  Micros now = 1000 * kSecond;
  std::vector<NodeModel::Effect> effects;

  Bench() {
    group.cores = 1;
    plan.slots = 1;
    plan.queue = 2;
    plan.handshake = 2 * kMs;
  }
  NodeModel& model() {
    if (!made) {
      made = std::make_unique<NodeModel>(plan, group, repeats, rules, 1);
      made->Start(now, cold);
    }
    return *made;
  }
  void Submit(uint64_t attempt, double work_us, NodeQuery more = {}) {
    more.attempt = attempt;
    more.work_us = work_us;
    model().Submit(now, more, effects);
  }
  // Advances the time and calls Tick() whenever it is due.
  void Pass(Micros span) {
    const Micros until = now + span;
    for (Micros at = model().NextAt(); at <= until; at = model().NextAt()) model().Tick(now = at, effects);
    now = until;
  }
  // Advances the time until the attempt has ended; returns how long that took.
  Micros Ends(uint64_t attempt) {
    const Micros from = now;
    while (Times(EffectType::kServed, attempt) + Times(EffectType::kError, attempt) == 0 &&
           model().NextAt() != kNever) {
      model().Tick(now = model().NextAt(), effects);
    }
    return now - from;
  }
  long Times(EffectType type, uint64_t attempt = 0) const {
    return std::count_if(effects.begin(), effects.end(), [&](const NodeModel::Effect& effect) {
      return effect.type == type && (attempt == 0 || effect.attempt == attempt);
    });
  }
};

TEST(NodeModel, AQueryTakesItsWorkDividedByTheNodesSpeed) {
  Bench b;
  b.plan.speed = 2;
  b.Submit(1, 40 * kMs);
  EXPECT_EQ(b.Times(EffectType::kProcessing, 1), 1);
  EXPECT_EQ(b.Ends(1), 20 * kMs);
  b.Submit(2, 0);
  EXPECT_EQ(b.Times(EffectType::kServed, 2), 1) << "a query without work ends at once";
  EXPECT_EQ(b.model().NextAt(), kNever);
  EXPECT_EQ(b.model().pending_queries(), 0);

  Bench shared;  // two slots on one core
  shared.plan.slots = 2;
  shared.Submit(1, 10 * kMs);
  shared.Submit(2, 30 * kMs);
  EXPECT_EQ(shared.Ends(1), 20 * kMs);
  EXPECT_EQ(shared.Ends(2), 20 * kMs);
}

TEST(NodeModel, QueriesWithoutASlotAreQueuedAndRejectedWhenTheQueueIsFull) {
  Bench b;
  for (uint64_t i = 1; i <= 4; ++i) b.Submit(i, 10 * kMs);
  EXPECT_EQ(b.Times(EffectType::kRejected), 1);
  EXPECT_EQ(b.Times(EffectType::kRejected, 4), 1);
  EXPECT_EQ(b.model().pending_queries(), 3);
  b.Pass(10 * kMs);
  EXPECT_EQ(b.Times(EffectType::kProcessing, 2), 1);
  EXPECT_EQ(b.Times(EffectType::kProcessing, 3), 0);
  EXPECT_EQ(b.Ends(3), 20 * kMs);
  b.Submit(5, kMs, {.link_over_limit = true});
  EXPECT_EQ(b.Times(EffectType::kRejected, 5), 1);
}

TEST(NodeModel, AQueryThatExpiresInTheQueueNeverRuns) {
  Bench b;
  b.Submit(1, 10 * kMs);
  b.Submit(2, 10 * kMs, {.expires_at = b.now + 10 * kMs});
  b.Submit(3, 10 * kMs, {.expires_at = b.now + 10 * kMs + 1});
  b.Pass(20 * kMs);
  EXPECT_EQ(b.Times(EffectType::kExpired, 2), 1);
  EXPECT_EQ(b.Times(EffectType::kProcessing, 2), 0);
  EXPECT_EQ(b.Times(EffectType::kServed, 3), 1) << "expires while it runs, and is completed";
}

TEST(NodeModel, AHandshakeCostsWorkAndDelaysTheFirstQueryOfItsLink) {
  Bench b;
  b.Submit(1, 10 * kMs, {.link = 1});
  b.model().Handshake(b.now, 0, 2, b.effects);
  b.Submit(2, 10 * kMs, {.link = 2});
  EXPECT_EQ(b.Ends(1), 12 * kMs);
  EXPECT_EQ(b.Ends(2), 10 * kMs);
  b.model().Handshake(b.now, 0, 3, b.effects);
  b.Submit(3, 10 * kMs, {.link = 3});
  EXPECT_EQ(b.Times(EffectType::kProcessing, 3), 0);
  EXPECT_TRUE(b.model().Cancel(b.now, 3, b.effects));
  b.Submit(4, 10 * kMs, {.link = 3});
  EXPECT_EQ(b.Ends(4), 12 * kMs);
}

TEST(NodeModel, AColdNodesCapacityRisesLinearly) {
  Bench b;
  b.cold = true;
  b.rules.overload_factor = 1000;
  b.plan.cold_share = 0.2;
  b.plan.cold_for = 20 * kSecond;
  EXPECT_DOUBLE_EQ(b.model().Capacity(b.now), 0.2);
  EXPECT_DOUBLE_EQ(b.model().Capacity(b.now + 10 * kSecond), 0.6);
  EXPECT_DOUBLE_EQ(b.model().Capacity(b.now + 30 * kSecond), 1);
  b.Submit(1, 4.0 * kSecond);  // 0.4 on average over ten seconds
  EXPECT_EQ(b.Ends(1), 10 * kSecond);
  b.Submit(2, 9.0 * kSecond);  // 0.8 on average over the next ten, then 1 for one second
  EXPECT_EQ(b.Ends(2), 11 * kSecond);
}

TEST(NodeModel, ALateTickCostsNoCapacity) {
  Bench late;
  Bench punctual;
  for (Bench* b : {&late, &punctual}) {
    b->plan.slots = 2;
    b->plan.queue = 20;
    for (uint64_t i = 1; i <= 20; ++i) b->Submit(i, 10.0 * kMs * static_cast<double>(1 + i % 3));
  }
  punctual.Pass(100 * kMs);
  late.model().Tick(late.now + 100 * kMs, late.effects);
  EXPECT_GT(late.Times(EffectType::kServed), 3);
  EXPECT_EQ(late.Times(EffectType::kServed), punctual.Times(EffectType::kServed));
  EXPECT_EQ(late.model().NextAt(), punctual.model().NextAt());
}

TEST(NodeModel, AColdNodeCrashesAboveItsWorkBudgetOfAnyWindow) {
  // Budget: 0.2 of one core, times the factor 4, for 1.5 s, which is 1.2 s of work.
  auto cold = [] {
    Bench b;
    b.cold = true;
    b.plan.cold_share = 0.2;
    b.plan.cold_for = 2000000 * kSecond;  // practically never warm
    return b;
  };
  Bench b = cold();
  b.Submit(1, 700 * kMs, {.balancer = 0});
  b.Pass(kSecond);
  for (uint64_t i = 2; i <= 6; ++i) b.Submit(i, 100 * kMs, {.balancer = 1});  // two of them are rejected
  EXPECT_EQ(b.Times(EffectType::kCrashed), 0);
  b.model().Handshake(b.now, 1, 1, b.effects);
  ASSERT_EQ(b.Times(EffectType::kCrashed), 1);
  EXPECT_EQ(b.effects.back().work_by_balancer, (std::vector<double>{700.0 * kMs, 502.0 * kMs}));
  EXPECT_EQ(b.model().pending_queries(), 0);
  b.Submit(7, kMs);
  EXPECT_EQ(b.model().pending_queries(), 0) << "a crashed node accepts no query";

  Bench spread = cold();
  spread.Submit(1, 1200 * kMs);
  spread.Pass(1500 * kMs);
  spread.Submit(2, 1200 * kMs);
  EXPECT_EQ(spread.Times(EffectType::kCrashed), 0) << "the first is out of the window";

  Bench warm;
  warm.Submit(1, 100.0 * kSecond);
  EXPECT_EQ(warm.Times(EffectType::kCrashed), 0);
}

TEST(NodeModel, ARecentlyUsedKeySavesWork) {
  Bench b;
  b.group.warm_key_saving = 0.5;
  b.group.warm_key_s = 1;
  b.group.warm_keys = 2;
  auto takes = [&](uint64_t attempt, uint64_t key) {
    b.Submit(attempt, 10 * kMs, {.key = key});
    return b.Ends(attempt);
  };
  EXPECT_EQ(takes(1, 7), 10 * kMs);
  EXPECT_EQ(takes(2, 7), 5 * kMs);
  takes(3, 8);
  takes(4, 7);
  takes(5, 9);  // evicts 8, the least recently used key
  EXPECT_EQ(takes(6, 7), 5 * kMs);
  EXPECT_EQ(takes(7, 8), 10 * kMs);
  b.Pass(2 * kSecond);
  EXPECT_EQ(takes(8, 8), 10 * kMs);
  EXPECT_EQ(takes(9, 0), 10 * kMs);
  EXPECT_EQ(takes(10, 0), 10 * kMs) << "no key";
}

TEST(NodeModel, ARepeatWithinTheWindowIsAnsweredWithoutEffectAtAnyNode) {
  Bench b;
  NodeModel other(b.plan, b.group, b.repeats, b.rules, 2);
  other.Start(b.now, false);
  b.Submit(1, 100 * kMs, {.cls = 1, .idempotency_key = "k"});
  b.Ends(1);
  other.Submit(b.now, {.attempt = 2, .cls = 1, .idempotency_key = "k", .work_us = 100 * kMs}, b.effects);
  ASSERT_EQ(b.Times(EffectType::kProcessing, 2), 1);
  EXPECT_TRUE(b.effects.back().repeat);
  EXPECT_LE(other.NextAt() - b.now, 10 * kMs);
  b.Submit(3, 0, {.cls = 1, .idempotency_key = "l"});
  for (uint64_t i = 0; i < 2; ++i) {
    b.Submit(4 + i, 0, {.cls = 0, .idempotency_key = "k"});
    b.Submit(6 + i, 0, {.cls = 1});
  }
  // The window starts with the first query, which began 100 ms before, and lasts 100 ms longer than the rule.
  // A query that arrives within it is a repeat even if it is processed later.
  b.Pass(900 * kMs);
  b.Submit(8, 500 * kMs);
  b.Submit(9, 0, {.cls = 1, .idempotency_key = "k"});
  EXPECT_EQ(b.Ends(9), 500 * kMs);
  b.Submit(10, 0, {.cls = 1, .idempotency_key = "k"});
  for (const NodeModel::Effect& effect : b.effects) {
    EXPECT_EQ(effect.repeat, effect.attempt == 2 || effect.attempt == 9);
  }
}

TEST(NodeModel, AShareOfQueriesFailsAfterItsWorkOrAtOnce) {
  Bench b;
  b.group.error_share = 0.25;
  for (uint64_t i = 1; i <= 400; ++i) {
    b.Submit(i, 10 * kMs);
    EXPECT_EQ(b.Ends(i), 10 * kMs);
  }
  EXPECT_NEAR(static_cast<double>(b.Times(EffectType::kError)), 100, 40);
  for (uint64_t i = 501; i <= 503; ++i) b.Submit(i, 10 * kMs);
  b.model().FailFast(b.now, 1, b.effects);
  b.Submit(504, 10 * kMs);
  EXPECT_LE(b.Ends(504), kMs) << "a fast failure needs neither a slot nor a queue entry";
  EXPECT_EQ(b.Times(EffectType::kError, 504), 1);
}

TEST(NodeModel, CancelStopsDeterminesWhatACancelledAttemptStops) {
  for (CancelStops stops : {CancelStops::kNothing, CancelStops::kQueued, CancelStops::kAll}) {
    Bench b;
    b.group.cancel_stops = stops;
    b.Submit(1, 10 * kMs);
    b.Submit(2, 10 * kMs);
    b.Submit(3, 10 * kMs);
    EXPECT_EQ(b.model().Cancel(b.now, 2, b.effects), stops != CancelStops::kNothing);
    EXPECT_EQ(b.model().Cancel(b.now, 1, b.effects), stops == CancelStops::kAll);
    EXPECT_FALSE(b.model().Cancel(b.now, 9, b.effects));
    const Micros ends = b.Ends(3);
    EXPECT_EQ(ends, stops == CancelStops::kNothing  ? 30 * kMs
                    : stops == CancelStops::kQueued ? 20 * kMs
                                                    : 10 * kMs);
    EXPECT_EQ(b.Times(EffectType::kServed, 1), stops != CancelStops::kAll);
    EXPECT_EQ(b.Times(EffectType::kProcessing, 2), stops == CancelStops::kNothing);
  }
}

TEST(NodeModel, ASilentNodeAcceptsQueriesAndAnswersNone) {
  Bench b;
  b.Submit(1, 10 * kMs);
  b.Pass(5 * kMs);
  b.model().Silence(b.now, true, b.effects);
  for (uint64_t i = 2; i <= 6; ++i) b.Submit(i, 10 * kMs);
  b.Pass(kSecond);
  EXPECT_EQ(b.effects.size(), 1u);  // only that the first query began
  EXPECT_EQ(b.model().pending_queries(), 6);
  EXPECT_EQ(b.model().NextAt(), kNever);
  b.model().Silence(b.now, false, b.effects);
  EXPECT_EQ(b.Times(EffectType::kRejected), 3) << "the latest exceed the queue";
  EXPECT_EQ(b.Times(EffectType::kRejected, 6), 1);
  EXPECT_EQ(b.Ends(1), 5 * kMs);
  EXPECT_EQ(b.Ends(3), 20 * kMs);
}

TEST(NodeModel, ASlowNodeRunsAtAReducedSpeed) {
  Bench b;
  b.Submit(1, 10 * kMs);
  b.Pass(5 * kMs);
  b.model().SetSpeed(b.now, 0.1, b.effects);
  EXPECT_EQ(b.Ends(1), 50 * kMs);
  b.model().Start(b.now, false);
  b.Submit(2, 10 * kMs);
  EXPECT_EQ(b.Ends(2), 10 * kMs) << "a restart clears the fault";
}

TEST(NodeModel, ADrainingNodeCompletesItsQueriesAndRejectsNewOnes) {
  Bench b;
  b.Submit(1, 10 * kMs);
  b.Submit(2, 10 * kMs);
  b.model().Drain(b.now, b.effects);
  b.Submit(3, 10 * kMs);
  EXPECT_EQ(b.Times(EffectType::kRejected, 3), 1);
  b.Pass(20 * kMs);
  EXPECT_EQ(b.Times(EffectType::kServed), 2);
  EXPECT_EQ(b.model().pending_queries(), 0);
  b.model().Start(b.now, true);
  EXPECT_FALSE(b.model().draining());
}

}  // namespace
}  // namespace burlfall::lab
