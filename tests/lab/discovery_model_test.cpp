// Tests of DiscoveryModel: what the service knows at which time, and when it answers a call.
#include <gtest/gtest.h>

#include <algorithm>

#include "lab/site/discovery.h"

namespace burlfall::lab {
namespace {

using EffectType = DiscoveryModel::EffectType;
using meadowslip::BackendState;

// A service with two nodes that learns of a change after 100 ms and answers a call in 20 ms.
struct Bench {
  DiscoverySpec spec{
      .late_ms = {100, 100}, .silent_late_ms = {900, 900}, .calls_per_s = 50, .patience_ms = 50};
  DiscoveryModel model{spec, 2, {{.node = 0}, {.node = 1}}, 1};
  Micros now = 1000 * kSecond;
  std::vector<DiscoveryModel::Effect> effects;

  uint64_t List(int balancer = 0) { return model.Call(now, balancer, {}, 0, effects); }
  uint64_t Watch(uint64_t index, Micros wait = 10 * kSecond, int balancer = 0) {
    return model.Call(now, balancer, index, wait, effects);
  }
  void Happens(int node, BackendState state, bool silent = false) {
    model.ReportChange(now, {node, state, 0}, silent);
  }
  void Pass(Micros span) { model.Tick(now += span, effects); }
  // Returns the effect that ended the call; nullptr if it has not ended.
  const DiscoveryModel::Effect* Of(uint64_t call) const {
    auto it = std::find_if(effects.begin(), effects.end(), [&](const auto& one) { return one.call == call; });
    return it == effects.end() ? nullptr : &*it;
  }
  long Times(EffectType type, int balancer) const {
    return std::count_if(effects.begin(), effects.end(),
                         [&](const auto& one) { return one.type == type && one.balancer == balancer; });
  }
  std::vector<int> Nodes(uint64_t call) const {
    std::vector<int> nodes;
    if (Of(call) == nullptr) return nodes;
    for (const HostState& host : Of(call)->hosts) nodes.push_back(host.node);
    return nodes;
  }
};

TEST(Discovery, ItLearnsOfAChangeAfterADelayAndOfASilentDeathAfterALongerOne) {
  Bench b;
  b.Happens(0, BackendState::kDraining);
  b.Happens(1, BackendState::kGone, true);
  b.Pass(99 * kMs);
  EXPECT_EQ(b.model.version(), 1u);
  b.Pass(kMs);
  EXPECT_EQ(b.model.version(), 2u);
  EXPECT_EQ(b.model.List()[0].state, BackendState::kDraining);
  EXPECT_EQ(b.model.List()[1].state, BackendState::kReady);
  b.Happens(1, BackendState::kReady);  // a node's updates are applied in order
  b.Pass(700 * kMs);
  EXPECT_EQ(b.model.version(), 2u);
  b.Pass(200 * kMs);
  EXPECT_EQ(b.model.version(), 4u);
  EXPECT_EQ(b.model.List()[1].state, BackendState::kReady);
}

TEST(Discovery, AWatchIsHeldUntilTheListChangesOrItsWaitTimeIsOver) {
  Bench b;
  const uint64_t watch = b.Watch(1);
  const uint64_t brief = b.Watch(1, kSecond, 1);
  b.Happens(0, BackendState::kDraining);
  b.Pass(99 * kMs);
  EXPECT_EQ(b.Of(watch), nullptr);
  b.Pass(kMs);
  EXPECT_EQ(b.Nodes(watch), std::vector<int>{0});
  EXPECT_FALSE(b.Of(watch)->full);
  EXPECT_EQ(b.Of(watch)->version, 2u);
  EXPECT_EQ(b.Nodes(brief), std::vector<int>{0});
  const uint64_t again = b.Watch(2, kSecond);
  b.Pass(kSecond - 1);
  EXPECT_EQ(b.Of(again), nullptr);
  b.Pass(1);
  ASSERT_NE(b.Of(again), nullptr);
  EXPECT_TRUE(b.Of(again)->hosts.empty());
  const uint64_t behind = b.Watch(1);
  b.Pass(20 * kMs);
  EXPECT_EQ(b.Nodes(behind), std::vector<int>{0});
}

TEST(Discovery, ABalancerTooFarBehindOrAheadGetsTheFullList) {
  Bench b;
  for (int i = 0; i < 70; ++i) {
    b.Happens(0, i % 2 == 0 ? BackendState::kDraining : BackendState::kReady);
    b.Pass(200 * kMs);
  }
  const uint64_t long_ago = b.Watch(1);
  b.Pass(20 * kMs);
  EXPECT_TRUE(b.Of(long_ago)->full);
  const uint64_t lately = b.Watch(10);
  b.Pass(20 * kMs);
  EXPECT_FALSE(b.Of(lately)->full);
  const uint64_t ahead = b.Watch(1000);
  b.Pass(20 * kMs);
  EXPECT_TRUE(b.Of(ahead)->full);
  EXPECT_EQ(b.Nodes(ahead), (std::vector<int>{0, 1}));
}

TEST(Discovery, CallsAreQueuedAndFailAfterATimeout) {
  Bench b;
  std::vector<uint64_t> calls;
  for (int i = 0; i < 5; ++i) calls.push_back(b.List());
  b.Pass(20 * kMs);
  EXPECT_NE(b.Of(calls[0]), nullptr);
  EXPECT_EQ(b.Of(calls[1]), nullptr);
  b.Pass(29 * kMs);
  EXPECT_EQ(b.Of(calls[3]), nullptr);
  b.Pass(kMs);
  ASSERT_NE(b.Of(calls[3]), nullptr);
  EXPECT_NE(b.Of(calls[3])->type, EffectType::kAnswered);
  b.Pass(10 * kMs);
  EXPECT_EQ(b.Of(calls[2])->type, EffectType::kAnswered);
  const uint64_t next = b.List();  // the failed calls used no capacity
  b.Pass(20 * kMs);
  EXPECT_EQ(b.Of(next)->type, EffectType::kAnswered);
}

TEST(Discovery, AWatchContinuesOverAShortGapAndChangesDuringItCountAsKnown) {
  Bench b;
  b.Watch(1, 0);
  b.Pass(20 * kMs);
  b.Pass(150 * kMs);
  EXPECT_TRUE(b.model.watching(0));
  b.Watch(1, kSecond);
  b.Pass(kSecond);
  EXPECT_EQ(b.Times(EffectType::kWatchEnded, 0), 0);
  b.Happens(0, BackendState::kDraining);
  b.Pass(100 * kMs);
  EXPECT_EQ(b.Times(EffectType::kConsideredInformed, 0), 1);
  EXPECT_EQ(b.Times(EffectType::kConsideredInformed, 1), 0);
  b.Pass(101 * kMs);
  EXPECT_EQ(b.Times(EffectType::kWatchEnded, 0), 1);
  EXPECT_FALSE(b.model.watching(0));
  b.Happens(1, BackendState::kDraining);
  b.Pass(100 * kMs);
  EXPECT_EQ(b.Times(EffectType::kConsideredInformed, 0), 1);
  const uint64_t left = b.Watch(3);
  b.Pass(20 * kMs);
  b.model.CallerDisconnected(b.now, left, b.effects);
  EXPECT_EQ(b.Times(EffectType::kWatchEnded, 0), 2);
}

TEST(Discovery, WhenItGoesDownItsWatchesEndAndItsCallsFail) {
  Bench b;
  const uint64_t watch = b.Watch(1);
  b.Pass(20 * kMs);
  const uint64_t waits = b.List(1);
  b.model.GoDown(b.now, b.effects);
  ASSERT_NE(b.Of(watch), nullptr);
  EXPECT_NE(b.Of(watch)->type, EffectType::kAnswered);
  EXPECT_NE(b.Of(waits)->type, EffectType::kAnswered);
  EXPECT_EQ(b.Times(EffectType::kWatchEnded, 0), 0) << "the failed call already reports it";
  for (int i = 0; i < 40; ++i) b.List();
  EXPECT_GT(b.Times(EffectType::kFailed, 0), 5);
  EXPECT_GT(b.Times(EffectType::kReset, 0), 5);
  EXPECT_EQ(b.Times(EffectType::kAnswered, 0), 0);
  b.Happens(0, BackendState::kDraining);
  b.Pass(kSecond);
  b.model.ComeBack(b.now, 0, b.effects);
  const uint64_t call = b.Watch(1);
  b.Pass(20 * kMs);
  EXPECT_EQ(b.Nodes(call), std::vector<int>{0});
}

TEST(Discovery, AfterItReturnsWithAnOlderListItSendsTheFullListFirstAndLearnsTheChangesAgain) {
  Bench b;
  b.Happens(0, BackendState::kDraining);
  b.Pass(200 * kMs);
  b.Happens(2, BackendState::kReady);  // a new node
  b.Pass(200 * kMs);
  b.Happens(0, BackendState::kGone);
  b.Pass(200 * kMs);
  ASSERT_EQ(b.model.version(), 4u);
  b.model.GoDown(b.now, b.effects);
  b.model.ComeBack(b.now, 2, b.effects);
  EXPECT_EQ(b.Times(EffectType::kListChanged, 0), 5) << "three changes, two of which are reverted";
  EXPECT_EQ(b.model.version(), 2u);
  EXPECT_EQ(b.model.List()[2].state, BackendState::kGone) << "change not learned yet";
  EXPECT_EQ(b.model.List()[0].state, BackendState::kDraining);
  b.Pass(100 * kMs);
  EXPECT_EQ(b.model.version(), 4u);
  EXPECT_EQ(b.model.List()[0].state, BackendState::kGone);
  // The same version as before, but of another list.
  const uint64_t call = b.Watch(4);
  b.Pass(20 * kMs);
  ASSERT_NE(b.Of(call), nullptr);
  EXPECT_TRUE(b.Of(call)->full);
  const uint64_t next = b.Watch(4);
  b.Pass(20 * kMs);
  EXPECT_EQ(b.Of(next), nullptr);
}

}  // namespace
}  // namespace burlfall::lab
