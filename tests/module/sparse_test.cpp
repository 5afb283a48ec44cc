// Fleets with more nodes than backends: a node gets about a request per second and sees little of a backend.
#include <gtest/gtest.h>

#include <memory>
#include <set>

#include "node_harness.h"

namespace meadowslip {
namespace {

Settings ManyNodes(int nodes, int index = 0) {
  Settings s = PlainSettings();
  s.nodes = nodes;
  s.node_index = index;
  s.second_copies = true;
  return s;
}

std::vector<BackendId> Ids(BackendId n) {
  std::vector<BackendId> ids;
  for (BackendId i = 1; i <= n; ++i) ids.push_back(i);
  return ids;
}

// Sends requests one after another, each answered after 20 ms; returns the backends used.
std::set<BackendId> ServeSequentially(NodeHarness& b, int n = 60) {
  std::set<BackendId> used;
  for (int i = 0; i < n; ++i) {
    RequestId id = b.Request();
    used.insert(b.SentTo(id));
    b.AdvanceTime(20 * kMs);
    b.Result(id, 0, Outcome::kOk);
    b.AdvanceTime(300 * kMs);
  }
  return used;
}

// Guards against every node opening a connection to every backend, which accepts fewer than there are nodes.
TEST(Members, EachNodeUsesASubsetAndTogetherTheyUseAllBackends) {
  std::map<BackendId, int> nodes_of;
  for (int i = 0; i < 200; ++i) {
    NodeHarness b(ManyNodes(200, i), 7);
    b.Ready(Ids(40));
    std::set<BackendId> used = ServeSequentially(b);
    EXPECT_LE(used.size(), 3u);
    for (BackendId id : used) ++nodes_of[id];
  }
  EXPECT_EQ(nodes_of.size(), 40u);
  for (auto& [id, n] : nodes_of) EXPECT_LT(n, 45) << id;  // 15 on average
}

TEST(Members, AreStableWhenTheListChanges) {
  NodeHarness b(ManyNodes(200));
  b.Ready(Ids(40));
  std::set<BackendId> used = ServeSequentially(b);
  std::vector<BackendId> left;
  for (BackendId id : Ids(40)) {
    if (used.contains(id) || id % 2 == 0) left.push_back(id);
  }
  b.Ready(left);
  EXPECT_EQ(ServeSequentially(b), used);
}

TEST(Members, TheNextInRankReplacesABackendOutOfService) {
  NodeHarness b(ManyNodes(200));
  b.Ready(Ids(40));
  std::set<BackendId> used = ServeSequentially(b);
  for (BackendId id : used) b.Change(id, BackendState::kDraining);
  std::set<BackendId> others = ServeSequentially(b);
  EXPECT_FALSE(others.contains(0));
  for (BackendId id : used) EXPECT_FALSE(others.contains(id));
}

// Guards against many nodes that each send "only one" request to a cold backend: the budget holds for the
// sum.
TEST(ColdBackends, AllNodesTogetherStayWithinTheBudget) {
  for (int nodes : {1, 10, 700}) {
    Settings s = ManyNodes(nodes);
    s.overload_factor = 1.5;
    s.overload_window = 1500 * kMs;
    s.start_capacity = 0.2;
    s.warm_after = 17 * kSecond;
    std::vector<std::unique_ptr<NodeHarness>> fleet;
    for (int i = 0; i < nodes; ++i) {
      s.node_index = i;
      fleet.push_back(std::make_unique<NodeHarness>(s, 1000 + i));
      fleet.back()->Ready(Ids(3));  // every node uses all three
      for (int k = 0; k < 30; ++k) {
        RequestId id = fleet.back()->Request();
        fleet.back()->AdvanceTime(50 * kMs);
        for (int a = 0; a < fleet.back()->Count(Act::kSend, id); ++a)
          fleet.back()->Result(id, a, Outcome::kOk);
      }
      fleet.back()->Change(1, BackendState::kReady, fleet.back()->now);
    }
    std::vector<Micros> sent;
    for (auto& b : fleet) {
      Micros start = b->now;
      size_t from = b->actions.size();
      b->AdvanceTime(static_cast<Micros>(b->SendsTo(2)) * kMs);  // the nodes are out of step
      for (int k = 0; k < 20; ++k) {
        RequestId id = b->Request();
        b->AdvanceTime(50 * kMs);
        for (int a = 0; a < b->Count(Act::kSend, id); ++a) b->Result(id, a, Outcome::kOk);
        b->AdvanceTime(20 * kMs);
      }
      for (size_t i = from; i < b->actions.size(); ++i) {
        const Action& a = b->actions[i];
        if (a.act == Act::kSend && a.backend == 1) sent.push_back(a.at - start);
      }
    }
    double worst = 0;
    for (Micros from : sent) {
      double work = 0;
      for (Micros at : sent) work += at >= from && at < from + s.overload_window ? 0.05 : 0;
      worst = std::max(worst, work);
    }
    EXPECT_LT(worst, 1.5 * 0.25 * 1.5) << nodes << " nodes";
    EXPECT_GT(sent.size(), 0u) << nodes << " nodes";
  }
}

// Guards against losing a request that arrives at its last moment, before the next timer round.
TEST(OneAnswer, ARequestWithoutTimeLeftIsAnsweredOnArrival) {
  for (int nodes : {1, 200}) {
    NodeHarness b(ManyNodes(nodes));
    b.Ready(Ids(3));
    RequestId id = b.Request(2, 0);
    EXPECT_EQ(b.FinalAnswers(id), 1);
    EXPECT_EQ(b.Count(Act::kSend, id), 0);
  }
}

TEST(OneAnswer, AnUnknownClassIsFailedAtOnce) {
  NodeHarness b(PlainSettings());
  b.Ready({1});
  RequestId id = b.Request(9);
  EXPECT_EQ(b.Count(Act::kFail, id), 1);
}

// Guards against answers that never come: connections dropped silently, hangs, lost answers.
TEST(Overdue, ASafeRequestIsAlsoSentElsewhereAnUnsafeOneIsNot) {
  NodeHarness b(ManyNodes(200));
  b.Ready(Ids(40));
  ServeSequentially(b, 200);
  RequestId safe = b.Request(0);
  RequestId unsafe = b.Request(2);
  b.AdvanceTime(250 * kMs);
  EXPECT_EQ(b.Count(Act::kSend, safe), 2);
  EXPECT_EQ(b.Count(Act::kSend, unsafe), 1);
  EXPECT_EQ(b.FinalAnswers(safe) + b.FinalAnswers(unsafe), 0);
}

TEST(Overdue, NoSecondCopyIsSentIfCopiesAreNotAllowed) {
  Settings s = ManyNodes(200);
  s.second_copies = false;
  NodeHarness b(s);
  b.Ready(Ids(40));
  ServeSequentially(b, 200);
  RequestId id = b.Request(0);
  b.AdvanceTime(450 * kMs);
  EXPECT_EQ(b.Count(Act::kSend, id), 1);
}

// Guards against a hung backend that keeps getting traffic since short-lived requests end before they are
// overdue.
TEST(Overdue, TimeOutsOfShortLivedRequestsTakeABackendOut) {
  Settings s = ManyNodes(200);
  s.second_copies = false;
  for (RequestClass& c : s.classes) c.late_share = 0.2;
  NodeHarness b(s);
  b.Ready(Ids(3));
  b.AdvanceTime(4 * kSecond);
  int sent = 0;
  for (int i = 0; i < 80; ++i) {
    RequestId id = b.Request(2, 100 * kMs);
    bool bad = b.SentTo(id) == 1;
    sent += bad;
    b.AdvanceTime(bad ? 100 * kMs : 40 * kMs);
    b.Result(id, 0, bad ? Outcome::kTimeout : Outcome::kOk);
    b.AdvanceTime(10 * kMs);
  }
  EXPECT_LE(sent, 6);
}

// Guards against one hung backend blocking a node's requests to other backends with capacity.
TEST(Overdue, AnOverdueAttemptFreesTheNodesShare) {
  Settings s = ManyNodes(200);
  s.second_copies = false;
  for (RequestClass& c : s.classes) c.late_share = 0.2;
  NodeHarness b(s);
  b.Ready(Ids(40));
  ServeSequentially(b, 200);
  for (int i = 0; i < 2; ++i) b.Request(2, 60 * kSecond);  // unsafe, never answered
  b.AdvanceTime(20 * kSecond);
  int sent = 0;
  for (int i = 0; i < 10; ++i) {
    RequestId id = b.Request(0);
    sent += b.SentTo(id) != 0;
    b.AdvanceTime(20 * kMs);
    if (b.SentTo(id) != 0) b.Result(id, 0, Outcome::kOk);
    b.AdvanceTime(kSecond);
  }
  EXPECT_GE(sent, 9);
}

TEST(Overdue, AnAttemptEndsAtTheAimIfALateAnswerIsWorthNothing) {
  Settings s = ManyNodes(200);
  NodeHarness b(s);
  b.Ready(Ids(40));
  b.Request(2);
  EXPECT_EQ(b.actions.back().duration, 500 * kMs);
  s.classes[2].late_share = 0.3;
  NodeHarness waits(s);
  waits.Ready(Ids(40));
  waits.Request(2);
  EXPECT_EQ(waits.actions.back().duration, 0);
}

// Guards against a backend that does not answer one class and serves the others: their successes must not
// hide the failures, and it must stay in service for them.
TEST(Health, ABackendThatFailsOneClassSleepsForThatClassAlone) {
  NodeHarness b(ManyNodes(200));
  b.Ready(Ids(3));
  b.AdvanceTime(4 * kSecond);
  int failed = 0, served = 0;
  for (int i = 0; i < 400; ++i) {
    for (int cls : {2, 0}) {
      RequestId id = b.Request(cls);
      bool bad = cls == 2 && b.SentTo(id) == 1;
      failed += bad;
      served += cls == 0 && b.SentTo(id) == 1;
      b.AdvanceTime(20 * kMs);
      b.Result(id, 0, bad ? Outcome::kError : Outcome::kOk, true);
      b.AdvanceTime(30 * kMs);
    }
  }
  EXPECT_LE(failed, 8);  // two in a row, then trials after ever longer sleeps
  EXPECT_GT(served, 12);
}

// Guards against shedding all classes alike at a node that has no queue to choose from.
TEST(Load, LowWorthRequestsLeaveASparseNodesCapacityToHighWorthOnes) {
  Settings s = ManyNodes(200);
  s.classes[0].worth = 12;
  NodeHarness b(s);
  b.Ready(Ids(40));
  int sent[2] = {};
  std::vector<RequestId> ids;
  for (size_t i = 0; i < 300; ++i) {  // each answered after 400 ms, which exceeds this node's share
    for (int cls : {2, 0}) ids.push_back(b.Request(cls));
    b.AdvanceTime(40 * kMs);
    for (size_t k = 2 * i - 20; i >= 10 && k < 2 * i - 18; ++k) {
      for (int a = 0; a < b.Count(Act::kSend, ids[k]); ++a) b.Result(ids[k], a, Outcome::kOk);
    }
  }
  for (size_t k = 0; k < ids.size(); ++k) sent[k % 2] += b.SentTo(ids[k]) != 0;
  EXPECT_GT(sent[1], 2 * sent[0]);
}

// Guards against spending the retry budget on backends that reject requests immediately and at no cost.
TEST(Attempts, AttemptsThatNeverRanUseNoRetryBudget) {
  NodeHarness b(ManyNodes(200));
  b.Ready(Ids(40));
  int last = 0;
  for (int i = 0; i < 60; ++i) {
    RequestId id = b.Request();
    last = 0;
    while (b.FinalAnswers(id) == 0 && last < b.Count(Act::kSend, id)) b.Result(id, last++, Outcome::kFull);
    b.AdvanceTime(2 * kSecond);
  }
  EXPECT_GE(last, 2);
}

// Guards against long sleeps of backends that are busy, not broken.
TEST(Health, ATrialRejectedAsFullDoesNotDoubleTheSleep) {
  NodeHarness b(PlainSettings());
  b.Ready({1, 2});
  b.AdvanceTime(4 * kSecond);
  b.Traffic(40, 1, Outcome::kError);
  size_t from = b.actions.size();
  while (b.now < 116 * kSecond) b.Traffic(1, 1, Outcome::kFull);
  EXPECT_GE(b.SendsTo(1, from), 6);  // one per second; with doubled sleeps only four
}

// Guards against a node that rarely sees a tenant treating all of its requests as over quota: they would be
// sent after those of a class with a tenth of the worth.
TEST(Queue, ATenantWithinItsQuotaHasFullWorthAtAnyRate) {
  Settings s = ManyNodes(100);
  s.tenants = {
      {20, 1},
      {0, 0}};  // this node's share of the first quota is one request in 5 s; the second is unlimited
  s.over_share_worth = 0.01;
  s.classes[1].idempotency = Idempotency::kSafe;
  s.classes[1].worth = 0.1;
  NodeHarness b(s);
  b.Ready({1});
  b.AdvanceTime(20 * kSecond);
  while (b.SentTo(b.Request(2, 2 * kSecond, 1)) != 0) continue;  // until there is no capacity left
  RequestId low_worth = b.Request(1, 2 * kSecond, 1);
  RequestId within = b.Request(0, 2 * kSecond, 0);
  Micros sent[2] = {};
  for (int i = 0; i < 40 && sent[1] == 0; ++i) {
    b.AdvanceTime(10 * kMs);
    for (const Action& a : std::vector<Action>(b.actions)) {
      if (a.act == Act::kSend && a.id < low_worth) b.Result(a.id, 0, Outcome::kOk);
      if (a.act == Act::kSend && a.id >= low_worth && sent[a.id - low_worth] == 0)
        sent[a.id - low_worth] = a.at;
    }
  }
  EXPECT_GT(sent[1], 0) << within;
  EXPECT_TRUE(sent[0] == 0 || sent[0] > sent[1]);
}

}  // namespace
}  // namespace meadowslip
