// The four operating rules in edge cases; model_test.cpp checks them under random events.
#include <gtest/gtest.h>

#include <map>

#include "node_harness.h"

namespace meadowslip {
namespace {

TEST(OneAnswer, ATimeOutAtTheDeadlineIsAnsweredImmediatelyAndOnce) {
  for (int cls : {0, 1, 2}) {
    NodeHarness b(PlainSettings());
    b.Ready({1});
    RequestId id = b.Request(cls);
    b.AdvanceTime(2 * kSecond);
    b.Result(id, 0, Outcome::kTimeout);
    EXPECT_EQ(b.FinalAnswers(id), 1);
    b.Result(id, 0, Outcome::kTimeout);  // a duplicate is ignored
    b.AdvanceTime(kSecond);
    EXPECT_EQ(b.FinalAnswers(id), 1);
    EXPECT_EQ(b.Count(Act::kSend, id), 1);
  }
}

TEST(OneAnswer, AHeldRequestIsAnsweredBeforeItsClientGivesUp) {
  for (Micros give_up_after : {3 * kMs, 30 * kMs, 400 * kMs, 2 * kSecond}) {
    NodeHarness b(PlainSettings());  // no backend
    RequestId id = b.Request(2, give_up_after);
    b.AdvanceTime(3 * kSecond);
    ASSERT_EQ(b.FinalAnswers(id), 1);
    EXPECT_LE(b.actions.back().at, 100 * kSecond + give_up_after + 20 * kMs);
  }
}

// Guards against an endless round of sends because of a request whose time has run out between two timers.
TEST(OneAnswer, AnExpiredHeldRequestIsAnsweredNotSentWhenCapacityAppears) {
  NodeHarness b(PlainSettings());
  b.Ready({1});
  std::vector<RequestId> in_flight;
  for (int i = 0; i < 3; ++i) in_flight.push_back(b.Request());
  RequestId held = b.Request();
  ASSERT_EQ(b.SentTo(held), 0u);
  b.now += 3 * kSecond;  // no timer ran
  b.Result(in_flight[0], 0, Outcome::kOk);
  EXPECT_EQ(b.Count(Act::kSend, held), 0);
  EXPECT_EQ(b.FinalAnswers(held), 1);
}

TEST(OneAnswer, NothingIsSentAfterTheClientLeftOrTheAnswer) {
  NodeHarness b(PlainSettings());
  b.Ready({1, 2});
  RequestId left = b.Request();
  b.ClientLeft(left);
  b.Result(left, 0, Outcome::kError, true);
  RequestId done = b.Request();
  b.Result(done, 0, Outcome::kOk);
  b.Result(done, 0, Outcome::kError);
  b.Result(999, 0, Outcome::kError);
  b.ClientLeft(999);
  b.AdvanceTime(3 * kSecond);
  EXPECT_EQ(b.Count(Act::kSend, left), 1);
  EXPECT_EQ(b.Count(Act::kSend, done), 1);
  EXPECT_EQ(b.FinalAnswers(left) + b.FinalAnswers(done), 0);
}

// The forwarded bytes can't be sent again, so no other attempt may follow, whatever the result.
TEST(OneAnswer, ARequestWhoseBodyWasForwardedIsNotSentAgain) {
  for (const int cls : {0, 1, 2}) {
    NodeHarness b(PlainSettings());
    b.Ready({1, 2});
    const RequestId id = b.Request(cls);
    b.StreamStarted(id, 0);
    b.AdvanceTime(kSecond);  // a slow upload is not the backend's fault
    EXPECT_EQ(b.Count(Act::kSend, id), 1);
    b.Result(id, 0, Outcome::kConnectFailed);
    EXPECT_EQ(b.Count(Act::kSend, id), 1);
    EXPECT_EQ(b.Count(Act::kRefuse, id), 1);
  }
}

// The duration of an attempt counts from the request's last byte: slow uploads neither put the backend to
// sleep nor raise the class's latency.
TEST(OneAnswer, ASlowlyUploadedRequestDoesNotCountAgainstItsBackend) {
  NodeHarness b(PlainSettings());
  b.Ready({1});
  b.Traffic(50, 0, Outcome::kOk, 2);
  for (int i = 0; i < 8; ++i) {
    const RequestId id = b.Request(2, 5 * kSecond);
    ASSERT_EQ(b.SentTo(id), 1u);
    b.StreamStarted(id, 0);
    b.AdvanceTime(3 * kSecond);
    b.StreamStarted(id, 0);
    b.AdvanceTime(10 * kMs);
    b.Result(id, 0, Outcome::kOk);
  }
  // A silent backend is still detected: an attempt becomes overdue as early as before.
  const RequestId lost = b.Request(0);
  EXPECT_EQ(b.SentTo(lost), 1u);
  b.AdvanceTime(400 * kMs);
  EXPECT_EQ(b.FinalAnswers(lost), 0);
  const RequestId next = b.Request(2);
  EXPECT_EQ(b.SentTo(next), 1u);  // in service
}

TEST(OneAnswer, AStartedStreamIsNeitherAnsweredNorSentAgain) {
  NodeHarness b(PlainSettings());
  b.Ready({1, 2});
  RequestId id = b.Request();
  b.StreamStarted(id, 0);
  b.AdvanceTime(5 * kSecond);
  EXPECT_EQ(b.FinalAnswers(id), 0);
  b.Result(id, 0, Outcome::kReset, true);
  EXPECT_EQ(b.Count(Act::kSend, id), 1);
  EXPECT_EQ(b.FinalAnswers(id), 0);
}

TEST(NoSecondEffect, AnUnsafeRequestThatMayHaveRunFails) {
  for (Outcome o : {Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled}) {
    NodeHarness b(PlainSettings());
    b.Ready({1, 2});
    RequestId id = b.Request(2);
    b.Result(id, 0, o);
    EXPECT_EQ(b.Count(Act::kSend, id), 1);
    EXPECT_EQ(b.Count(Act::kFail, id), 1);
    EXPECT_EQ(b.Count(Act::kRefuse, id), 0);
  }
}

TEST(NoSecondEffect, AnUnsafeRequestThatNeverRanIsSentElsewhereOrRefused) {
  for (Outcome o : {Outcome::kFull, Outcome::kConnectFailed}) {
    NodeHarness b(PlainSettings());
    b.Ready({1, 2});
    RequestId id = b.Request(2);
    b.Result(id, 0, o);
    EXPECT_EQ(b.Count(Act::kSend, id), 2);
    b.Result(id, 1, o);
    EXPECT_EQ(b.Count(Act::kRefuse, id), 1);
  }
}

TEST(NoSecondEffect, AKeyedRequestStaysInItsGroupAndWindow) {
  std::vector<BackendEntry> entries(4);
  for (BackendId i = 0; i < 4; ++i) {
    entries[i].id = i + 1;
    entries[i].cell = i < 2 ? 0 : 1;
  }
  for (uint64_t seed = 1; seed < 20; ++seed) {
    NodeHarness b(PlainSettings(), seed);
    b.List(ListKind::kFull, entries);
    RequestId id = b.Request(1);
    BackendId first = b.SentTo(id);
    b.Result(id, 0, Outcome::kError);
    ASSERT_EQ(b.Count(Act::kSend, id), 2);
    EXPECT_EQ((first - 1) / 2, (b.SentTo(id) - 1) / 2);
    b.Result(id, 1,
             Outcome::kError);  // no backend left in the group; a refusal would promise that it has not run
    EXPECT_EQ(b.Count(Act::kFail, id), 1);

    RequestId late = b.Request(1);
    b.AdvanceTime(301 * kMs);
    b.Result(late, 0, Outcome::kError);
    EXPECT_EQ(b.Count(Act::kSend, late), 1);
    EXPECT_EQ(b.Count(Act::kFail, late), 1);
  }
}

TEST(Drains, NothingIsSentOnceADrainIsListed) {
  NodeHarness b(PlainSettings());
  b.Ready({1, 2});
  b.Change(1, BackendState::kDraining);
  size_t from = b.actions.size();
  b.Traffic(30, 0, Outcome::kOk);
  EXPECT_EQ(b.SendsTo(1, from), 0);
  b.Change(2, BackendState::kGone);
  RequestId held = b.Request();
  EXPECT_EQ(b.SentTo(held), 0u);
  b.Change(1, BackendState::kReady);  // ready again: the held request is sent immediately
  EXPECT_EQ(b.SentTo(held), 1u);
}

TEST(Drains, ABackendAbsentFromAFullListIsGone) {
  NodeHarness b(PlainSettings());
  b.Ready({1, 2});
  b.Ready({2});
  size_t from = b.actions.size();
  b.Traffic(30, 0, Outcome::kOk);
  EXPECT_EQ(b.SendsTo(1, from), 0);
}

TEST(Drains, WithoutGoneBindsOnlyADrainStopsSends) {
  Settings s = PlainSettings();
  s.gone_binds = false;
  NodeHarness b(s);
  b.Ready({1, 2});
  b.Change(1, BackendState::kDraining);
  b.Change(1, BackendState::kGone);
  b.Ready({1}, ListKind::kChanges);
  b.Change(1, BackendState::kGone);
  b.Change(2, BackendState::kDraining);
  EXPECT_EQ(b.SentTo(b.Request()), 1u);
  b.Change(1, BackendState::kDraining);
  EXPECT_EQ(b.SentTo(b.Request()), 0u);
}

// The largest work, in seconds, sent to backend 1 in any window if each request takes `work`.
double WorstWindow(const NodeHarness& b, Micros window, double work, size_t from) {
  double worst = 0;
  for (size_t i = from; i < b.actions.size(); ++i) {
    double sum = 0;
    for (size_t k = i; k < b.actions.size() && b.actions[k].at < b.actions[i].at + window; ++k) {
      if (b.actions[k].act == Act::kSend && b.actions[k].backend == 1) sum += work;
    }
    worst = std::max(worst, sum);
  }
  return worst;
}

// More requests than all backends can serve; each sent request is answered after `work`.
void HeavyTraffic(NodeHarness& b, Micros until, Micros work) {
  std::multimap<Micros, RequestId> due;
  size_t seen = b.actions.size();
  while (b.now < until) {
    for (int i = 0; i < 3; ++i) b.Request();
    b.AdvanceTime(10 * kMs);
    while (!due.empty() && due.begin()->first <= b.now) {
      b.Result(due.begin()->second, 0, Outcome::kOk);
      due.erase(due.begin());
    }
    for (; seen < b.actions.size(); ++seen) {
      if (b.actions[seen].act == Act::kSend) due.insert({b.actions[seen].at + work, b.actions[seen].id});
    }
  }
  for (auto& [at, id] : due) b.Result(id, 0, Outcome::kOk);
}

TEST(ColdBackends, AnAnnouncedStartStaysWithinThisNodesShareOfTheBudget) {
  Settings s = PlainSettings();
  s.nodes = 3;
  s.overload_factor = 3;
  s.overload_window = 1500 * kMs;
  s.start_capacity = 0.3;
  s.warm_after = 8 * kSecond;
  NodeHarness b(s);
  b.Ready({1, 2, 3});
  HeavyTraffic(b, b.now + 5 * kSecond, 50 * kMs);
  b.Change(1, BackendState::kGone);
  b.Change(1, BackendState::kReady, b.now);
  size_t from = b.actions.size();
  HeavyTraffic(b, b.now + kSecond, 50 * kMs);
  EXPECT_GT(b.SendsTo(1, from), 0);
  EXPECT_LT(WorstWindow(b, s.overload_window, 0.05, from), 3 * 0.4 * 1.5 / 3);
}

TEST(ColdBackends, AnUnannouncedRestartIsColdToo) {
  Settings s = PlainSettings();
  s.nodes = 3;
  NodeHarness b(s);
  b.Ready({1, 2, 3});
  HeavyTraffic(b, b.now + 5 * kSecond, 50 * kMs);
  b.Traffic(40, 1, Outcome::kConnectFailed);
  b.AdvanceTime(2 * kSecond);
  b.Traffic(1, 0, Outcome::kOk);  // the trial succeeds
  size_t from = b.actions.size();
  HeavyTraffic(b, b.now + kSecond, 50 * kMs);
  EXPECT_GT(b.SendsTo(1, from), 0);
  EXPECT_LT(WorstWindow(b, s.overload_window, 0.05, from), 2 * 0.4 / 3);
}

// Guards against missing a restart because its connections were overdue before they failed.
TEST(ColdBackends, ARestartAfterOverdueConnectionsIsColdToo) {
  Settings s = PlainSettings();
  s.nodes = 3;
  NodeHarness b(s);
  b.Ready({1, 2, 3});
  HeavyTraffic(b, b.now + 5 * kSecond, 50 * kMs);
  for (int i = 0; i < 40; ++i) {
    const RequestId id = b.Request(2);
    for (int attempt = 0; attempt < b.Count(Act::kSend, id); ++attempt) {
      const bool bad = b.SentTo(id) == 1;
      b.AdvanceTime(bad ? 1500 * kMs : 50 * kMs);
      b.Result(id, attempt, bad ? Outcome::kConnectFailed : Outcome::kOk);
    }
  }
  b.AdvanceTime(4 * kSecond);
  b.Traffic(1, 0, Outcome::kOk, 0, 50 * kMs);  // the trial succeeds
  const size_t from = b.actions.size();
  HeavyTraffic(b, b.now + kSecond, 50 * kMs);
  EXPECT_GT(b.SendsTo(1, from), 0);
  EXPECT_LT(WorstWindow(b, s.overload_window, 0.05, from), 2 * 0.4 / 3);
}

// Guards against taking one reset connection for a restart: in a run with resets, warm backends got the limit
// of cold ones, and queries were throttled for it.
TEST(ColdBackends, OneRefusedConnectionIsNoRestart) {
  Settings s = PlainSettings();
  s.nodes = 3;
  NodeHarness b(s);
  b.Ready({1, 2, 3});
  HeavyTraffic(b, b.now + 5 * kSecond, 50 * kMs);
  RequestId id;
  do {
    id = b.Request();
    b.AdvanceTime(10 * kMs);
    b.Result(id, 0, b.SentTo(id) == 1 ? Outcome::kConnectFailed : Outcome::kOk);
    if (b.Count(Act::kSend, id) > 1) b.Result(id, 1, Outcome::kOk);
  } while (b.Count(Act::kSend, id) == 1);
  b.Traffic(10, 0, Outcome::kOk);
  size_t from = b.actions.size();
  HeavyTraffic(b, b.now + 2 * kSecond, 50 * kMs);
  EXPECT_GT(b.SendsTo(1, from) * 2, b.SendsTo(2, from));
}

}  // namespace
}  // namespace meadowslip
