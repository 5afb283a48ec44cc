// The design's ordinary path, and the defences around it.
#include <gtest/gtest.h>

#include <set>

#include "node_harness.h"

namespace meadowslip {
namespace {

// Two backends, past the grace after their start.
Bench TwoUp(Settings s = PlainSettings()) {
  Bench b(s);
  b.Ready({1, 2});
  b.Pass(4 * kSecond);
  return b;
}

// Puts backend 1 to sleep and returns the number of actions so far.
size_t PutToSleep(Bench& b) {
  b.Traffic(40, 1, Outcome::kError);
  return b.actions.size();
}

TEST(Health, FiveFailuresInARowTakeABackendOutAtOnce) {
  Bench b = TwoUp();
  b.Traffic(40, 1, Outcome::kError);
  EXPECT_EQ(b.SendsTo(1), 5);
}

// F13 of docs/review-findings.md. Guards against a node asleep after half the failures, or for twice as long,
// because such an attempt counts when it falls due and once more by its end.
TEST(Health, AnAttemptThatIsOverdueAndThenFailsCountsOnce) {
  Bench b = TwoUp();
  for (int i = 0; i < 40; ++i) {
    const RequestId id = b.Request(2);
    const bool bad = b.SentTo(id) == 1;
    b.Pass(bad ? 1500 * kMs : 10 * kMs);
    b.Result(id, 0, bad ? Outcome::kError : Outcome::kOk);
  }
  EXPECT_EQ(b.SendsTo(1), 5);
}

// Guards against a sleep of four times the last one, doubled as the trial falls due and again by its end.
TEST(Health, ATrialThatIsOverdueAndThenFailsDoublesTheSleepOnce) {
  Bench b = TwoUp();
  const size_t from = PutToSleep(b);
  const Micros end = b.now + 40 * kSecond;
  while (b.now < end) {
    const RequestId id = b.Request();
    for (int attempt = 0; attempt < b.Count(Act::kSend, id); ++attempt) {
      const bool bad = b.SentTo(id) == 1;
      b.Pass(bad ? 1500 * kMs : 10 * kMs);
      b.Result(id, attempt, bad ? Outcome::kError : Outcome::kOk);
    }
  }
  EXPECT_EQ(b.SendsTo(1, from), 5);  // after 1, 2, 4, 8 and 16 s; doubled twice: after 1, 4 and 16 s
}

TEST(Health, ASuccessBetweenFailuresStartsTheCountAnew) {
  Bench b = TwoUp();
  for (int i = 0; i < 4; ++i) {
    int failed = 0;
    while (failed < 4) {
      RequestId id = b.Request();
      bool bad = b.SentTo(id) == 1;
      b.Pass(kMs);
      b.Result(id, 0, bad ? Outcome::kError : Outcome::kOk, bad);
      failed += bad;
    }
    RequestId id;
    do {
      id = b.Request();
      b.Pass(kMs);
      b.Result(id, 0, Outcome::kOk);
    } while (b.SentTo(id) != 1);
  }
  size_t from = b.actions.size();
  b.Traffic(40, 0, Outcome::kOk);
  EXPECT_GT(b.SendsTo(1, from), 0);
}

TEST(Health, FailuresInTheGraceAfterStartAreIgnored) {
  Bench b(PlainSettings());
  b.Ready({1, 2});
  b.Traffic(60, 1, Outcome::kError);
  EXPECT_GT(b.SendsTo(1), 5);
}

TEST(Health, OneRealTrialEndsTheSleepAndAFailedOneDoublesIt) {
  Bench b = TwoUp();
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
  Bench b = TwoUp();
  PutToSleep(b);
  while (b.now < 300 * kSecond) b.Traffic(1, 1, Outcome::kError, 0, 50 * kMs);
  size_t from = b.actions.size();
  while (b.now < 400 * kSecond) b.Traffic(1, 1, Outcome::kError, 0, 50 * kMs);
  EXPECT_GE(b.SendsTo(1, from), 3);
}

TEST(Health, OnlyOneTrialIsOutAtATime) {
  Bench b = TwoUp();
  size_t from = PutToSleep(b);
  b.Pass(1100 * kMs);
  for (int i = 0; i < 6; ++i) b.Request();
  EXPECT_EQ(b.SendsTo(1, from), 1);
}

TEST(Health, AGoodTrialReturnsItAtOnceButOnlyShrinksTheSleep) {
  Bench b = TwoUp();
  PutToSleep(b);
  while (b.now < 112 * kSecond) b.Traffic(1, 1, Outcome::kError);  // sleeps 1, 2, 4 and 8 s
  b.Pass(8 * kSecond);
  size_t from = b.actions.size();
  b.Traffic(30, 0, Outcome::kOk);
  EXPECT_GT(b.SendsTo(1, from), 3);  // back in service
  b.Traffic(30, 1, Outcome::kError);
  Micros lost = b.now;
  from = b.actions.size();
  while (b.SendsTo(1, from) == 0) b.Traffic(1, 1, Outcome::kError);
  EXPECT_GT(b.now - lost, 7 * kSecond);  // 8 s halved, then doubled: not from 1 s again
  EXPECT_LT(b.now - lost, 9 * kSecond);
}

TEST(Health, SuccessesInTheHoldDownLeaveTheSleepAlone) {
  Bench b = TwoUp();
  PutToSleep(b);
  b.Pass(1100 * kMs);
  b.Traffic(10, 0, Outcome::kOk);  // good trial 1 s after the loss: within the hold-down
  b.Traffic(30, 1, Outcome::kError);
  Micros lost = b.now;
  size_t from = b.actions.size();
  while (b.SendsTo(1, from) == 0) b.Traffic(1, 1, Outcome::kError);
  EXPECT_GT(b.now - lost, 1500 * kMs);  // 2 s, not 1 s
}

TEST(Health, TrialsAreMadeWithSafeRequestsIfThereAreAny) {
  Bench b = TwoUp();
  size_t from = PutToSleep(b);
  b.Pass(1100 * kMs);
  RequestId unsafe = b.Request(2);
  EXPECT_EQ(b.SentTo(unsafe), 2u);
  RequestId safe = b.Request(0);
  EXPECT_EQ(b.SentTo(safe), 1u);
  EXPECT_EQ(b.SendsTo(1, from), 1);
}

TEST(Health, WithNoSafeRequestsAnUnsafeOneIsTheTrialInTheEnd) {
  Bench b = TwoUp();
  size_t from = PutToSleep(b);
  b.Pass(2500 * kMs);
  b.Request(2);
  EXPECT_EQ(b.SendsTo(1, from), 1);
}

TEST(Health, ManyFailingAtOnceAreNotAllTakenOut) {
  Bench b(PlainSettings());
  b.Ready({1, 2, 3, 4});
  b.Pass(4 * kSecond);
  for (int i = 0; i < 60; ++i) {
    RequestId id = b.Request(2);
    b.Pass(kMs);
    b.Result(id, 0, Outcome::kError, true);
  }
  std::set<BackendId> used;
  for (int i = 0; i < 30; ++i) {
    RequestId id = b.Request(2);
    used.insert(b.SentTo(id));
    b.Pass(kMs);
    b.Result(id, 0, Outcome::kError, true);
  }
  EXPECT_GE(used.size(), 2u);
}

// Guards against poison requests, which fail wherever they go, putting one backend after another to sleep.
TEST(Health, ARequestThatFailedBeforeDoesNotCountAgainstTheNextBackend) {
  Settings s = PlainSettings();
  Bench b(s);
  b.Ready({1, 2});
  b.Pass(4 * kSecond);
  int second_failures[3] = {};
  for (int i = 0; i < 20; ++i) {
    RequestId id = b.Request();
    BackendId first = b.SentTo(id);
    b.Pass(kMs);
    b.Result(id, 0, Outcome::kError);
    ASSERT_EQ(b.Count(Act::kSend, id), 2);
    BackendId second = b.SentTo(id);
    ++second_failures[second];
    b.Pass(kMs);
    b.Result(id, 1, Outcome::kError);
    // An honest answer from the first clears what it was charged.
    RequestId ok;
    do {
      ok = b.Request();
      b.Pass(kMs);
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

TEST(Pick, WithNoneInServiceAllListedReadyAreDrawnFrom) {
  Bench b = TwoUp();
  PutToSleep(b);
  b.Change(2, BackendState::kDraining);
  RequestId unsafe = b.Request(2);
  EXPECT_EQ(b.SentTo(unsafe), 1u);
}

TEST(Pick, FewerOwnInFlightWinsOfTwoDraws) {
  int busy = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Bench b(PlainSettings(), seed);
    b.Ready({1, 2});
    BackendId first = b.SentTo(b.Request());
    busy += b.SentTo(b.Request()) == first;
  }
  EXPECT_NEAR(busy, 50, 25);  // only when both draws fall on the busy one
}

TEST(Pick, TiesGoToTheHigherPayoffAndNewBackendsStartAtTheMean) {
  Bench b(PlainSettings());
  b.Ready({1, 2});
  for (int i = 0; i < 100; ++i) {
    RequestId id = b.Request();
    b.Pass(b.SentTo(id) == 1 ? 10 * kMs : 200 * kMs);
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

TEST(Pick, TheOwnZoneIsUsedWhileItHasRoomWhereCrossingIsPriced) {
  Settings s = PlainSettings();
  s.cross_zone_price = 0.05;
  s.own_zone = 1;
  Bench b(s);
  std::vector<BackendEntry> entries(2);
  entries[0].id = 1;
  entries[1].id = 2;
  entries[1].zone = 1;
  b.List(ListKind::kFull, entries);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(b.SentTo(b.Request()), 2u);
  for (int i = 0; i < 3; ++i) b.Request();
  EXPECT_GT(b.SendsTo(1), 0);
}

// Guards against crowding: eleven nodes that each took what one of three may take choked every server.
TEST(Load, ManyNodesTogetherCrowdABackendNoMoreThanFewDo) {
  auto out_of_one_node = [](int nodes) {
    Settings s = PlainSettings();
    s.nodes = nodes;
    Bench b(s);
    b.Ready({1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
    for (int i = 0; i < 200; ++i) b.Request();
    int sent = 0;
    for (BackendId id = 1; id <= 10; ++id) sent += b.SendsTo(id);
    return sent;
  };
  EXPECT_LE(11 * out_of_one_node(11), out_of_one_node(1) + 11);
}

TEST(Load, SlowAnswersLowerTheLimit) {
  auto out_after = [](Micros latency) {
    Bench b(PlainSettings());
    b.Ready({1});
    for (int i = 0; i < 40; ++i) {
      RequestId id = b.Request();
      b.Pass(latency);
      b.Result(id, 0, Outcome::kOk);
    }
    size_t from = b.actions.size();
    for (int i = 0; i < 50; ++i) b.Request();
    return b.SendsTo(1, from);
  };
  EXPECT_LT(out_after(400 * kMs), out_after(20 * kMs));
}

// Guards against one zone's servers being crowded by its own nodes while another zone's idle.
TEST(Load, TheOwnZoneIsNotUsedBeyondItsPartTimesTheZones) {
  Settings s = PlainSettings();
  s.nodes = 12;
  s.cross_zone_price = 0.05;
  Bench b(s);
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

// Guards against the trap that turning work away fast looks like having none in hand.
TEST(Load, ABackendThatTurnsAwayIsSparedForAWhile) {
  Bench b = TwoUp();
  RequestId id;
  do {
    id = b.Request();
  } while (b.SentTo(id) != 1);
  b.Result(id, 0, Outcome::kFull);
  size_t from = b.actions.size();
  for (int i = 0; i < 4; ++i) b.Request();
  EXPECT_EQ(b.SendsTo(1, from), 0);
}

// Guards against taking a dear request for an overdue one, and a small one that is lost for one still at
// work.
TEST(Attempts, HowLongIsOverdueFollowsTheEstimateOfTheWork) {
  Settings s = PlainSettings();
  s.second_copies = true;
  Bench b = TwoUp(s);
  auto request = [&](Micros estimate) { return b.Request(0, 2 * kSecond, 0, false, estimate); };
  for (int i = 0; i < 200; ++i) {
    RequestId id = request(10 * kMs);
    b.Pass(20 * kMs);
    b.Result(id, 0, Outcome::kOk);
  }
  RequestId small = request(kMs), dear = request(30 * kMs), plain = request(0);
  b.Pass(100 * kMs);
  EXPECT_EQ(b.Count(Act::kSend, small), 2);
  EXPECT_EQ(b.Count(Act::kSend, plain), 1);
  b.Pass(100 * kMs);
  EXPECT_EQ(b.Count(Act::kSend, plain), 2);
  EXPECT_EQ(b.Count(Act::kSend, dear), 1);
}

// Guards a backend that is silent now and then against being blocked by what it will never answer.
TEST(Load, AnOverdueAttemptGivesItsPlaceFree) {
  Bench b(PlainSettings());
  b.Ready({1});
  b.Traffic(100, 0, Outcome::kOk);
  RequestId id = 0;
  for (int i = 0; i < 3; ++i) id = b.Request();
  EXPECT_EQ(b.SentTo(id), 1u);
  b.Pass(70 * kMs);
  id = b.Request();
  EXPECT_EQ(b.Count(Act::kSend, id), 0);
  b.Pass(60 * kMs);  // the three are overdue
  EXPECT_EQ(b.Count(Act::kSend, id), 1);
}

// Guards the limit of a backend that turns away every other query and serves the rest as promptly as ever:
// it is not crowded. Cut for each, its limit fell to the least and queries were throttled while it idled.
TEST(Load, TurningAwaySomeLeavesTheLimitOfAPromptBackend) {
  Bench b = TwoUp();
  for (int round = 0; round < 200; ++round) {
    RequestId id = b.Request();
    if (round % 2 == 0) b.Result(id, 0, Outcome::kFull);
    b.Pass(20 * kMs);
    b.Result(id, round % 2 == 0 ? 1 : 0, Outcome::kOk);
    b.Pass(20 * kMs);
  }
  size_t from = b.actions.size();
  for (int i = 0; i < 8; ++i) b.Request();
  EXPECT_GE(b.SendsTo(1, from) + b.SendsTo(2, from), 6);  // three each, as at the start
}

// Guards against working twice on requests that their own work keeps long: a slow answer alone brings no
// copy.
TEST(Attempts, WithFewNodesACopyGoesOutOnlyFarAboveTheUsualLatency) {
  Settings s = PlainSettings();
  s.second_copies = true;
  Bench b = TwoUp(s);
  for (int i = 0; i < 200; ++i) {
    RequestId id = b.Request();
    b.Pass(20 * kMs);
    b.Result(id, 0, Outcome::kOk);
  }
  RequestId id = b.Request();
  b.Pass(150 * kMs);
  EXPECT_EQ(b.Count(Act::kSend, id), 1);
  b.Pass(50 * kMs);
  EXPECT_EQ(b.Count(Act::kSend, id), 2);
}

TEST(Attempts, ASafeRequestIsTriedElsewhereAfterAFailure) {
  Bench b = TwoUp();
  RequestId id = b.Request();
  BackendId first = b.SentTo(id);
  b.Result(id, 0, Outcome::kError);
  EXPECT_NE(b.SentTo(id), first);
  EXPECT_EQ(b.Count(Act::kSend, id), 2);
}

TEST(Attempts, RetriesEndWithTheirBudget) {
  Bench b(PlainSettings());
  b.Ready({1, 2, 3, 4, 5, 6, 7, 8});
  size_t sends = 0;
  for (int i = 0; i < 400; ++i) {
    RequestId id = b.Request();
    for (int k = 0; k < b.Count(Act::kSend, id); ++k) b.Result(id, k, Outcome::kError);
    EXPECT_EQ(b.Finals(id), 1);
    sends += static_cast<size_t>(b.Count(Act::kSend, id));
  }
  EXPECT_LT(sends, 400u + 20u + 81u);
}

TEST(Queue, WorthPerWorkGoesFirstAndOverShareLast) {
  Settings s = PlainSettings();
  s.classes[2].worth = 10;
  s.tenants = {{0.0, 0.5}, {2.0, 0.5}};
  s.over_share_worth = 0.1;
  Bench b(s);
  b.Ready({1});
  std::vector<RequestId> out;
  for (int i = 0; i < 20; ++i) out.push_back(b.Request());
  b.Request(0, 2 * kSecond, 1);
  b.Request(0, 2 * kSecond, 1);
  RequestId over = b.Request(0, 2 * kSecond, 1);
  RequestId plain = b.Request(0);
  RequestId dear = b.Request(2);
  size_t from = b.actions.size();
  b.Pass(10 * kMs);
  std::erase_if(out, [&](RequestId id) { return b.SentTo(id) == 0; });
  for (RequestId id : out) b.Result(id, 0, Outcome::kOk);
  ASSERT_LT(from, b.actions.size());
  EXPECT_EQ(b.actions[from].id, dear);
  (void)plain;
  EXPECT_EQ(b.SentTo(over), 0u);
}

// Guards against a queue that serves only requests which are late by the time they are answered.
TEST(Queue, WhenTheQueueHasOutgrownTheAimTheNewestGoesFirst) {
  Bench b(PlainSettings());
  b.Ready({1});
  std::vector<RequestId> out;
  for (int i = 0; i < 3; ++i) out.push_back(b.Request());
  RequestId first = b.Request();
  RequestId second = b.Request();
  b.Pass(260 * kMs);
  b.Result(out[0], 0, Outcome::kOk);
  EXPECT_EQ(b.SentTo(first), 1u);  // while there is time: in order
  EXPECT_EQ(b.SentTo(second), 0u);
  b.Pass(160 * kMs);
  RequestId fresh = b.Request();
  b.Result(out[1], 0, Outcome::kOk);
  EXPECT_EQ(b.SentTo(fresh), 1u);
  EXPECT_EQ(b.SentTo(second), 0u);
}

// Guards against repeats, whose aim is mostly spent, taking the room of first tries.
TEST(Queue, AClientsRepeatGoesAfterFirstTriesButIsServedWhereThereIsRoom) {
  Bench b(PlainSettings());
  b.Ready({1});
  RequestId early = b.Request(0, 2 * kSecond, 0, true);
  EXPECT_EQ(b.SentTo(early), 1u);
  b.Request();
  b.Request();
  RequestId repeat = b.Request(0, 2 * kSecond, 0, true);
  RequestId first = b.Request();
  b.Pass(260 * kMs);
  b.Result(early, 0, Outcome::kOk);
  EXPECT_EQ(b.SentTo(first), 1u);
  EXPECT_EQ(b.SentTo(repeat), 0u);
}

TEST(Queue, WhatCannotMakeItsAimIsRefusedBeforeItsDeadline) {
  Bench b(PlainSettings());
  RequestId id = b.Request();
  b.Pass(520 * kMs);
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

// Guards against sending blind where own requests are too few to tell a backend's load.
TEST(Probes, TheLeastLoadedOfTheProbedIsTaken) {
  Bench b(Probing());
  b.Ready({1, 2, 3});
  RequestId id = b.Request();
  EXPECT_EQ(b.SentTo(id), 0u);
  b.Probed(1, true, {3});
  b.Probed(2, true, {0});
  b.Probed(3, true, {2});
  EXPECT_EQ(b.SentTo(id), 2u);
}

TEST(Probes, UnansweredProbesHoldARequestOnlyShortlyAndAreNoFailure) {
  Bench b(Probing());
  b.Ready({1, 2});
  b.Pass(4 * kSecond);
  for (int i = 0; i < 40; ++i) {
    RequestId id = b.Request();
    b.Pass(30 * kMs);
    EXPECT_NE(b.SentTo(id), 0u);
    b.Probed(1, false, {});
    b.Probed(2, false, {});
    b.Result(id, 0, Outcome::kOk);
  }
  EXPECT_GT(b.SendsTo(1), 0);
  EXPECT_GT(b.SendsTo(2), 0);
}

TEST(Membership, ASubscriptionIsKeptAndAskedForAgainWithinTheMustAskTime) {
  Settings s = PlainSettings();
  s.must_subscribe = true;
  s.must_ask_within = 10 * kSecond;
  Bench b(s);
  b.Ready({1}, ListKind::kCached);
  EXPECT_EQ(b.Count(Act::kSubscribe, 0), 1);
  b.List(ListKind::kFailed, {});
  b.Pass(5 * kSecond);
  EXPECT_GE(b.Count(Act::kSubscribe, 0), 2);
  b.Ready({1});
  int asked = b.Count(Act::kSubscribe, 0);
  b.Pass(30 * kSecond);
  EXPECT_EQ(b.Count(Act::kSubscribe, 0), asked);
  b.List(ListKind::kFailed, {});  // the subscription broke
  b.Pass(5 * kSecond);
  EXPECT_GT(b.Count(Act::kSubscribe, 0), asked);
}

TEST(Node, TheSameEventsGiveTheSameActions) {
  auto run = [] {
    Bench b(PlainSettings(), 7);
    b.Ready({5, 9, 2, 77});
    for (int i = 0; i < 30; ++i) b.Traffic(1, 9, Outcome::kError, i % 3);
    std::vector<BackendId> out;
    for (const Action& a : b.actions) out.push_back(a.backend);
    return out;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace meadowslip
