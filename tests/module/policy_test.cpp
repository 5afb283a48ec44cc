// The normal operation of the policy, and its protection against failures and overload.
#include <gtest/gtest.h>

#include <set>

#include "node_harness.h"

namespace meadowslip {
namespace {

// Two backends, past the grace after their start.
NodeHarness TwoUp(Settings s = PlainSettings()) {
  NodeHarness b(s);
  b.Ready({1, 2});
  b.AdvanceTime(4 * kSecond);
  return b;
}

// Puts backend 1 to sleep and returns the number of actions so far.
size_t PutToSleep(NodeHarness& b) {
  b.Traffic(40, 1, Outcome::kError);
  return b.actions.size();
}

TEST(Health, FiveFailuresInARowTakeABackendOutAtOnce) {
  NodeHarness b = TwoUp();
  b.Traffic(40, 1, Outcome::kError);
  EXPECT_EQ(b.SendsTo(1), 5);
}

// F13 of docs/review-findings.md. Guards against a sleep after half the failures, or of twice the length,
// because an attempt counts as a failure when it becomes overdue and again when it ends.
TEST(Health, AnAttemptThatIsOverdueAndThenFailsCountsOnce) {
  NodeHarness b = TwoUp();
  for (int i = 0; i < 40; ++i) {
    const RequestId id = b.Request(2);
    const bool bad = b.SentTo(id) == 1;
    b.AdvanceTime(bad ? 1500 * kMs : 10 * kMs);
    b.Result(id, 0, bad ? Outcome::kError : Outcome::kOk);
  }
  EXPECT_EQ(b.SendsTo(1), 5);
}

// Guards against a sleep of four times the last one: doubled when the trial is overdue and again at its end.
TEST(Health, ATrialThatIsOverdueAndThenFailsDoublesTheSleepOnce) {
  NodeHarness b = TwoUp();
  const size_t from = PutToSleep(b);
  const Micros end = b.now + 40 * kSecond;
  while (b.now < end) {
    const RequestId id = b.Request();
    for (int attempt = 0; attempt < b.Count(Act::kSend, id); ++attempt) {
      const bool bad = b.SentTo(id) == 1;
      b.AdvanceTime(bad ? 1500 * kMs : 10 * kMs);
      b.Result(id, attempt, bad ? Outcome::kError : Outcome::kOk);
    }
  }
  EXPECT_EQ(b.SendsTo(1, from), 5);  // after 1, 2, 4, 8 and 16 s; if doubled twice, only after 1, 4 and 16 s
}

TEST(Health, ASuccessResetsTheFailureCount) {
  NodeHarness b = TwoUp();
  for (int i = 0; i < 4; ++i) {
    int failed = 0;
    while (failed < 4) {
      RequestId id = b.Request();
      bool bad = b.SentTo(id) == 1;
      b.AdvanceTime(kMs);
      b.Result(id, 0, bad ? Outcome::kError : Outcome::kOk, bad);
      failed += bad;
    }
    RequestId id;
    do {
      id = b.Request();
      b.AdvanceTime(kMs);
      b.Result(id, 0, Outcome::kOk);
    } while (b.SentTo(id) != 1);
  }
  size_t from = b.actions.size();
  b.Traffic(40, 0, Outcome::kOk);
  EXPECT_GT(b.SendsTo(1, from), 0);
}

TEST(Health, FailuresInTheGraceAfterStartAreIgnored) {
  NodeHarness b(PlainSettings());
  b.Ready({1, 2});
  b.Traffic(60, 1, Outcome::kError);
  EXPECT_GT(b.SendsTo(1), 5);
}

TEST(Health, OneRealTrialEndsTheSleepAndAFailedOneDoublesIt) {
  NodeHarness b = TwoUp();
  size_t from = PutToSleep(b);
  std::vector<Micros> trials;
  while (b.now < 130 * kSecond) b.Traffic(1, 1, Outcome::kError, 0, 10 * kMs);
  for (size_t i = from; i < b.actions.size(); ++i) {
    if (b.actions[i].act == Act::kSend && b.actions[i].backend == 1) trials.push_back(b.actions[i].at);
  }
  ASSERT_GE(trials.size(), 4u);  // after sleeps of 1, 2, 4 and 8 s
  for (size_t i = 1; i < 4; ++i) {
    EXPECT_NEAR(static_cast<double>(trials[i] - trials[i - 1]), static_cast<double>(kSecond << i), 1e5);
  }
}

TEST(Health, ASleepIsCapped) {
  NodeHarness b = TwoUp();
  PutToSleep(b);
  while (b.now < 300 * kSecond) b.Traffic(1, 1, Outcome::kError, 0, 50 * kMs);
  size_t from = b.actions.size();
  while (b.now < 400 * kSecond) b.Traffic(1, 1, Outcome::kError, 0, 50 * kMs);
  EXPECT_GE(b.SendsTo(1, from), 3);
}

TEST(Health, OnlyOneTrialIsInFlightAtATime) {
  NodeHarness b = TwoUp();
  size_t from = PutToSleep(b);
  b.AdvanceTime(1100 * kMs);
  for (int i = 0; i < 6; ++i) b.Request();
  EXPECT_EQ(b.SendsTo(1, from), 1);
}

TEST(Health, ASuccessfulTrialRestoresTheBackendAndHalvesTheSleep) {
  NodeHarness b = TwoUp();
  PutToSleep(b);
  while (b.now < 112 * kSecond) b.Traffic(1, 1, Outcome::kError);  // sleeps of 1, 2, 4 and 8 s
  b.AdvanceTime(8 * kSecond);
  size_t from = b.actions.size();
  b.Traffic(30, 0, Outcome::kOk);
  EXPECT_GT(b.SendsTo(1, from), 3);  // back in service
  b.Traffic(30, 1, Outcome::kError);
  Micros lost = b.now;
  from = b.actions.size();
  while (b.SendsTo(1, from) == 0) b.Traffic(1, 1, Outcome::kError);
  EXPECT_GT(b.now - lost, 7 * kSecond);  // 8 s halved, then doubled, instead of starting from 1 s
  EXPECT_LT(b.now - lost, 9 * kSecond);
}

TEST(Health, SuccessesInTheHoldDownDoNotShortenTheSleep) {
  NodeHarness b = TwoUp();
  PutToSleep(b);
  b.AdvanceTime(1100 * kMs);
  b.Traffic(10, 0, Outcome::kOk);  // successful trial 1 s after the failure: within the hold-down
  b.Traffic(30, 1, Outcome::kError);
  Micros lost = b.now;
  size_t from = b.actions.size();
  while (b.SendsTo(1, from) == 0) b.Traffic(1, 1, Outcome::kError);
  EXPECT_GT(b.now - lost, 1500 * kMs);  // 2 s, not 1 s
}

TEST(Health, TrialsAreMadeWithSafeRequestsIfThereAreAny) {
  NodeHarness b = TwoUp();
  size_t from = PutToSleep(b);
  b.AdvanceTime(1100 * kMs);
  RequestId unsafe = b.Request(2);
  EXPECT_EQ(b.SentTo(unsafe), 2u);
  RequestId safe = b.Request(0);
  EXPECT_EQ(b.SentTo(safe), 1u);
  EXPECT_EQ(b.SendsTo(1, from), 1);
}

TEST(Health, WithoutSafeRequestsAnUnsafeOneBecomesTheTrial) {
  NodeHarness b = TwoUp();
  size_t from = PutToSleep(b);
  b.AdvanceTime(2500 * kMs);
  b.Request(2);
  EXPECT_EQ(b.SendsTo(1, from), 1);
}

TEST(Health, ManyFailingAtOnceAreNotAllTakenOut) {
  NodeHarness b(PlainSettings());
  b.Ready({1, 2, 3, 4});
  b.AdvanceTime(4 * kSecond);
  for (int i = 0; i < 60; ++i) {
    RequestId id = b.Request(2);
    b.AdvanceTime(kMs);
    b.Result(id, 0, Outcome::kError, true);
  }
  std::set<BackendId> used;
  for (int i = 0; i < 30; ++i) {
    RequestId id = b.Request(2);
    used.insert(b.SentTo(id));
    b.AdvanceTime(kMs);
    b.Result(id, 0, Outcome::kError, true);
  }
  EXPECT_GE(used.size(), 2u);
}

// Guards against poison requests, which fail at every backend, putting one backend after another to sleep.
TEST(Health, ARequestThatFailedBeforeDoesNotCountAgainstTheNextBackend) {
  Settings s = PlainSettings();
  NodeHarness b(s);
  b.Ready({1, 2});
  b.AdvanceTime(4 * kSecond);
  int second_failures[3] = {};
  for (int i = 0; i < 20; ++i) {
    RequestId id = b.Request();
    BackendId first = b.SentTo(id);
    b.AdvanceTime(kMs);
    b.Result(id, 0, Outcome::kError);
    ASSERT_EQ(b.Count(Act::kSend, id), 2);
    BackendId second = b.SentTo(id);
    ++second_failures[second];
    b.AdvanceTime(kMs);
    b.Result(id, 1, Outcome::kError);
    // A success of the first backend clears its failure.
    RequestId ok;
    do {
      ok = b.Request();
      b.AdvanceTime(kMs);
      bool answered = b.SentTo(ok) == first;
      b.Result(ok, 0, answered ? Outcome::kOk : Outcome::kCancelled, true);
      if (answered) break;
    } while (b.now < 200 * kSecond);
  }
  EXPECT_GE(std::max(second_failures[1], second_failures[2]), 8);
  size_t from = b.actions.size();
  b.Traffic(60, 0, Outcome::kOk);
  EXPECT_GT(b.SendsTo(1, from), 0);
  EXPECT_GT(b.SendsTo(2, from), 0);
}

TEST(Pick, WithNoBackendInServiceAllReadyOnesAreUsed) {
  NodeHarness b = TwoUp();
  PutToSleep(b);
  b.Change(2, BackendState::kDraining);
  RequestId unsafe = b.Request(2);
  EXPECT_EQ(b.SentTo(unsafe), 1u);
}

TEST(Pick, OfTwoDrawsTheBackendWithFewerInFlightIsPicked) {
  int busy = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    NodeHarness b(PlainSettings(), seed);
    b.Ready({1, 2});
    BackendId first = b.SentTo(b.Request());
    busy += b.SentTo(b.Request()) == first;
  }
  EXPECT_NEAR(busy, 50, 25);  // only if both draws give the busy one
}

TEST(Pick, TiesGoToTheHigherPayoffAndNewBackendsStartAtTheMean) {
  NodeHarness b(PlainSettings());
  b.Ready({1, 2});
  for (int i = 0; i < 100; ++i) {
    RequestId id = b.Request();
    b.AdvanceTime(b.SentTo(id) == 1 ? 10 * kMs : 200 * kMs);
    b.Result(id, 0, Outcome::kOk);
  }
  b.Ready({1, 2, 3});
  int sent[4] = {};
  for (int i = 0; i < 300; ++i) {
    RequestId id = b.Request();
    ++sent[b.SentTo(id)];
    b.ClientLeft(id);
    b.Result(id, 0, Outcome::kCancelled, true);
  }
  EXPECT_GT(sent[1], sent[3]);
  EXPECT_GT(sent[3], sent[2]);
}

TEST(Pick, TheOwnZoneIsPreferredWhileItHasCapacityIfCrossingHasAPrice) {
  Settings s = PlainSettings();
  s.cross_zone_price = 0.05;
  s.own_zone = 1;
  NodeHarness b(s);
  std::vector<BackendEntry> entries(2);
  entries[0].id = 1;
  entries[1].id = 2;
  entries[1].zone = 1;
  b.List(ListKind::kFull, entries);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(b.SentTo(b.Request()), 2u);
  for (int i = 0; i < 3; ++i) b.Request();
  EXPECT_GT(b.SendsTo(1), 0);
}

// Guards against overload by many nodes: eleven nodes that each used the full limit of one of three
// overloaded every server.
TEST(Load, TheLimitOfABackendHoldsForAllNodesTogether) {
  auto sent_by_one_node = [](int nodes) {
    Settings s = PlainSettings();
    s.nodes = nodes;
    NodeHarness b(s);
    b.Ready({1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
    for (int i = 0; i < 200; ++i) b.Request();
    int sent = 0;
    for (BackendId id = 1; id <= 10; ++id) sent += b.SendsTo(id);
    return sent;
  };
  EXPECT_LE(11 * sent_by_one_node(11), sent_by_one_node(1) + 11);
}

TEST(Load, SlowAnswersLowerTheLimit) {
  auto sent_after = [](Micros latency) {
    NodeHarness b(PlainSettings());
    b.Ready({1});
    for (int i = 0; i < 40; ++i) {
      RequestId id = b.Request();
      b.AdvanceTime(latency);
      b.Result(id, 0, Outcome::kOk);
    }
    size_t from = b.actions.size();
    for (int i = 0; i < 50; ++i) b.Request();
    return b.SendsTo(1, from);
  };
  EXPECT_LT(sent_after(400 * kMs), sent_after(20 * kMs));
}

// Guards against one zone's servers being overloaded by the zone's nodes while another zone's are idle.
TEST(Load, TheOwnZoneIsUsedUpToItsShareTimesTheZones) {
  Settings s = PlainSettings();
  s.nodes = 12;
  s.cross_zone_price = 0.05;
  NodeHarness b(s);
  std::vector<BackendEntry> entries(40);
  for (BackendId i = 0; i < 40; ++i) {
    entries[i].id = i + 1;
    entries[i].zone = static_cast<int>(i % 2);
  }
  b.List(ListKind::kFull, entries);
  for (int i = 0; i < 100; ++i) b.Request();
  int own = 0, other = 0;
  for (BackendId id = 1; id <= 40; ++id) (id % 2 == 1 ? own : other) += b.SendsTo(id);
  EXPECT_GE(own, 9);
  EXPECT_LE(own, 11);  // 20 backends, a twelfth of 3 each, times two zones
}

// Guards against a backend that rejects requests quickly and therefore looks idle.
TEST(Load, ABackendThatRejectsIsPausedForAWhile) {
  NodeHarness b = TwoUp();
  RequestId id;
  do {
    id = b.Request();
  } while (b.SentTo(id) != 1);
  b.Result(id, 0, Outcome::kFull);
  size_t from = b.actions.size();
  for (int i = 0; i < 4; ++i) b.Request();
  EXPECT_EQ(b.SendsTo(1, from), 0);
}

// Guards against treating a high-cost request as overdue, and a lost low-cost one as still running.
TEST(Attempts, TheOverdueTimeFollowsTheEstimateOfTheWork) {
  Settings s = PlainSettings();
  s.second_copies = true;
  NodeHarness b = TwoUp(s);
  auto request = [&](Micros estimate) { return b.Request(0, 2 * kSecond, 0, false, estimate); };
  for (int i = 0; i < 200; ++i) {
    RequestId id = request(10 * kMs);
    b.AdvanceTime(20 * kMs);
    b.Result(id, 0, Outcome::kOk);
  }
  RequestId low_cost = request(kMs), high_cost = request(30 * kMs), plain = request(0);
  b.AdvanceTime(100 * kMs);
  EXPECT_EQ(b.Count(Act::kSend, low_cost), 2);
  EXPECT_EQ(b.Count(Act::kSend, plain), 1);
  b.AdvanceTime(100 * kMs);
  EXPECT_EQ(b.Count(Act::kSend, plain), 2);
  EXPECT_EQ(b.Count(Act::kSend, high_cost), 1);
}

// Guards against a backend that is silent now and then being blocked by attempts that it will never answer.
TEST(Load, AnOverdueAttemptFreesItsCapacity) {
  NodeHarness b(PlainSettings());
  b.Ready({1});
  b.Traffic(100, 0, Outcome::kOk);
  RequestId id = 0;
  for (int i = 0; i < 3; ++i) id = b.Request();
  EXPECT_EQ(b.SentTo(id), 1u);
  b.AdvanceTime(70 * kMs);
  id = b.Request();
  EXPECT_EQ(b.Count(Act::kSend, id), 0);
  b.AdvanceTime(60 * kMs);  // the three are overdue
  EXPECT_EQ(b.Count(Act::kSend, id), 1);
}

// Guards the limit of a backend that rejects every other query and serves the rest promptly: it is not
// crowded. If each rejection lowers its limit, it falls to the minimum, and queries are throttled while the
// backend is idle.
TEST(Load, RejectionsDoNotLowerTheLimitOfAPromptBackend) {
  NodeHarness b = TwoUp();
  for (int round = 0; round < 200; ++round) {
    RequestId id = b.Request();
    if (round % 2 == 0) b.Result(id, 0, Outcome::kFull);
    b.AdvanceTime(20 * kMs);
    b.Result(id, round % 2 == 0 ? 1 : 0, Outcome::kOk);
    b.AdvanceTime(20 * kMs);
  }
  size_t from = b.actions.size();
  for (int i = 0; i < 8; ++i) b.Request();
  EXPECT_GE(b.SendsTo(1, from) + b.SendsTo(2, from), 6);  // three each, as at the start
}

// Guards against running high-cost requests twice: a slow answer alone causes no copy.
TEST(Attempts, WithFewNodesACopyIsSentOnlyFarAboveTheUsualLatency) {
  Settings s = PlainSettings();
  s.second_copies = true;
  NodeHarness b = TwoUp(s);
  for (int i = 0; i < 200; ++i) {
    RequestId id = b.Request();
    b.AdvanceTime(20 * kMs);
    b.Result(id, 0, Outcome::kOk);
  }
  RequestId id = b.Request();
  b.AdvanceTime(150 * kMs);
  EXPECT_EQ(b.Count(Act::kSend, id), 1);
  b.AdvanceTime(50 * kMs);
  EXPECT_EQ(b.Count(Act::kSend, id), 2);
}

TEST(Attempts, ASafeRequestIsTriedElsewhereAfterAFailure) {
  NodeHarness b = TwoUp();
  RequestId id = b.Request();
  BackendId first = b.SentTo(id);
  b.Result(id, 0, Outcome::kError);
  EXPECT_NE(b.SentTo(id), first);
  EXPECT_EQ(b.Count(Act::kSend, id), 2);
}

TEST(Attempts, RetriesStopWhenTheBudgetIsUsedUp) {
  NodeHarness b(PlainSettings());
  b.Ready({1, 2, 3, 4, 5, 6, 7, 8});
  size_t sends = 0;
  for (int i = 0; i < 400; ++i) {
    RequestId id = b.Request();
    for (int k = 0; k < b.Count(Act::kSend, id); ++k) b.Result(id, k, Outcome::kError);
    EXPECT_EQ(b.FinalAnswers(id), 1);
    sends += static_cast<size_t>(b.Count(Act::kSend, id));
  }
  EXPECT_LT(sends, 400u + 20u + 81u);
}

TEST(Queue, HighestWorthPerWorkIsSentFirstAndOverQuotaLast) {
  Settings s = PlainSettings();
  s.classes[2].worth = 10;
  s.tenants = {{0.0, 0.5}, {2.0, 0.5}};
  s.over_share_worth = 0.1;
  NodeHarness b(s);
  b.Ready({1});
  std::vector<RequestId> in_flight;
  for (int i = 0; i < 20; ++i) in_flight.push_back(b.Request());
  b.Request(0, 2 * kSecond, 1);
  b.Request(0, 2 * kSecond, 1);
  RequestId over = b.Request(0, 2 * kSecond, 1);
  RequestId plain = b.Request(0);
  RequestId high_value = b.Request(2);
  size_t from = b.actions.size();
  b.AdvanceTime(10 * kMs);
  std::erase_if(in_flight, [&](RequestId id) { return b.SentTo(id) == 0; });
  for (RequestId id : in_flight) b.Result(id, 0, Outcome::kOk);
  ASSERT_LT(from, b.actions.size());
  EXPECT_EQ(b.actions[from].id, high_value);
  (void)plain;
  EXPECT_EQ(b.SentTo(over), 0u);
}

// Guards against a queue that serves only requests that are late by the time they are answered.
TEST(Queue, OnceTheQueueOutgrowsTheAimTheNewestIsSentFirst) {
  NodeHarness b(PlainSettings());
  b.Ready({1});
  std::vector<RequestId> in_flight;
  for (int i = 0; i < 3; ++i) in_flight.push_back(b.Request());
  RequestId first = b.Request();
  RequestId second = b.Request();
  b.AdvanceTime(260 * kMs);
  b.Result(in_flight[0], 0, Outcome::kOk);
  EXPECT_EQ(b.SentTo(first), 1u);  // while there is enough time, in order
  EXPECT_EQ(b.SentTo(second), 0u);
  b.AdvanceTime(160 * kMs);
  RequestId newest = b.Request();
  b.Result(in_flight[1], 0, Outcome::kOk);
  EXPECT_EQ(b.SentTo(newest), 1u);
  EXPECT_EQ(b.SentTo(second), 0u);
}

// Guards against retries, whose aim is mostly spent, displacing first tries.
TEST(Queue, AClientRetryYieldsToFirstTriesButIsServedIfThereIsCapacity) {
  NodeHarness b(PlainSettings());
  b.Ready({1});
  RequestId early = b.Request(0, 2 * kSecond, 0, true);
  EXPECT_EQ(b.SentTo(early), 1u);
  b.Request();
  b.Request();
  RequestId client_retry = b.Request(0, 2 * kSecond, 0, true);
  RequestId first = b.Request();
  b.AdvanceTime(260 * kMs);
  b.Result(early, 0, Outcome::kOk);
  EXPECT_EQ(b.SentTo(first), 1u);
  EXPECT_EQ(b.SentTo(client_retry), 0u);
}

TEST(Queue, ARequestThatCannotMeetItsAimIsRefusedBeforeItsDeadline) {
  NodeHarness b(PlainSettings());
  RequestId id = b.Request();
  b.AdvanceTime(520 * kMs);
  EXPECT_EQ(b.Count(Act::kRefuse, id), 1);
  EXPECT_LE(b.actions.back().at - 100 * kSecond, 500 * kMs);
}

Settings Probing() {
  Settings s = PlainSettings();
  s.may_probe = true;
  s.probe_price = 0.002;
  s.report_mode = ReportMode::kAnswers;
  s.report_fields = {LoadField::kInFlight};
  return s;
}

// Guards against picking without knowledge where a node has too few requests to know a backend's load.
TEST(Probes, TheLeastLoadedProbedBackendIsPicked) {
  NodeHarness b(Probing());
  b.Ready({1, 2, 3});
  RequestId id = b.Request();
  EXPECT_EQ(b.SentTo(id), 0u);
  b.Probed(1, true, {3});
  b.Probed(2, true, {0});
  b.Probed(3, true, {2});
  EXPECT_EQ(b.SentTo(id), 2u);
}

TEST(Probes, UnansweredProbesDelayARequestBrieflyAndAreNoFailure) {
  NodeHarness b(Probing());
  b.Ready({1, 2});
  b.AdvanceTime(4 * kSecond);
  for (int i = 0; i < 40; ++i) {
    RequestId id = b.Request();
    b.AdvanceTime(30 * kMs);
    EXPECT_NE(b.SentTo(id), 0u);
    b.Probed(1, false, {});
    b.Probed(2, false, {});
    b.Result(id, 0, Outcome::kOk);
  }
  EXPECT_GT(b.SendsTo(1), 0);
  EXPECT_GT(b.SendsTo(2), 0);
}

TEST(Membership, ASubscriptionIsRenewedWithinTheMustAskTime) {
  Settings s = PlainSettings();
  s.must_subscribe = true;
  s.must_ask_within = 10 * kSecond;
  NodeHarness b(s);
  b.Ready({1}, ListKind::kCached);
  EXPECT_EQ(b.Count(Act::kSubscribe, 0), 1);
  b.List(ListKind::kFailed, {});
  b.AdvanceTime(5 * kSecond);
  EXPECT_GE(b.Count(Act::kSubscribe, 0), 2);
  b.Ready({1});
  int asked = b.Count(Act::kSubscribe, 0);
  b.AdvanceTime(30 * kSecond);
  EXPECT_EQ(b.Count(Act::kSubscribe, 0), asked);
  b.List(ListKind::kFailed, {});  // the subscription failed
  b.AdvanceTime(5 * kSecond);
  EXPECT_GT(b.Count(Act::kSubscribe, 0), asked);
}

TEST(Node, TheSameEventsGiveTheSameActions) {
  auto run = [] {
    NodeHarness b(PlainSettings(), 7);
    b.Ready({5, 9, 2, 77});
    for (int i = 0; i < 30; ++i) b.Traffic(1, 9, Outcome::kError, i % 3);
    std::vector<BackendId> in_flight;
    for (const Action& a : b.actions) in_flight.push_back(a.backend);
    return in_flight;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace meadowslip
