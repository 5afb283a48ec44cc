// Each peer's defining behaviour, and the rules that all of them keep.
#include "lab/peers/peers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "../module/node_harness.h"

namespace meadowslip {
namespace {

constexpr int kSafe = 0, kKeyed = 1, kUnsafe = 2;
constexpr Micros kEnvoySweep = 10 * kSecond;

std::vector<BackendId> Hosts(BackendId n) {
  std::vector<BackendId> ids;
  for (BackendId id = 1; id <= n; ++id) ids.push_back(id);
  return ids;
}

class Peer : public NodeHarness {
 public:
  explicit Peer(std::string_view name, BackendId hosts = 0, const Settings& settings = PlainSettings(),
                uint64_t seed = 1)
      : NodeHarness((UsePeer(name), settings), seed) {
    if (hosts > 0) Ready(Hosts(hosts));
  }

  // One query, answered at once, at `bad` as told and elsewhere well; of a class that is not repeated.
  BackendId Ask(BackendId bad = 0, Outcome outcome = Outcome::kError) {
    actions.clear();
    const RequestId id = Request(kUnsafe);
    const BackendId to = SentTo(id);
    if (to != 0) Result(id, 0, to == bad ? outcome : Outcome::kOk);
    return to;
  }
  // Asks until `host` was asked so often, and ended each as told.
  void Spoil(BackendId host, int times, Outcome outcome = Outcome::kError) {
    for (int n = 0; n < 100000 && times > 0; ++n) times -= Ask(host, outcome) == host;
    ASSERT_EQ(times, 0);
  }
  std::map<BackendId, int> Spread(int queries) {
    std::map<BackendId, int> to;
    for (int i = 0; i < queries; ++i) ++to[Ask()];
    return to;
  }
  bool InService(BackendId host) { return Spread(400).contains(host); }
};

TEST(RandomPeer, ChoosesEvenly) {
  Peer b("random", 20);
  double chi_square = 0;
  const std::map<BackendId, int> to = b.Spread(20000);
  for (const auto& [host, n] : to) chi_square += (n - 1000.0) * (n - 1000.0) / 1000;
  EXPECT_EQ(to.size(), 20u);
  EXPECT_LT(chi_square, 43.8);  // 19 degrees of freedom: exceeded once in a thousand
  EXPECT_GT(chi_square, 5.4);   // and it goes below this as rarely: it draws, and takes no turns
}

TEST(RoundRobinPeer, GoesRoundInTheListsOrder) {
  Peer b("round_robin");
  b.Ready({7, 3, 5});
  const std::vector<BackendId> order = {7, 3, 5};
  auto at = std::ranges::find(order, b.Ask());
  for (int i = 0; i < 10; ++i) {
    at = at + 1 == order.end() ? order.begin() : at + 1;
    EXPECT_EQ(b.Ask(), *at);
  }
}

TEST(LeastInFlightPeer, ChoosesWhereTheLeastIsOut) {
  Peer b("least_in_flight", 3);
  std::map<BackendId, RequestId> out;
  for (int i = 0; i < 3; ++i) {
    const RequestId id = b.Request();
    out[b.SentTo(id)] = id;
  }
  ASSERT_EQ(out.size(), 3u);
  for (BackendId host : {2u, 1u, 3u, 2u}) {
    b.Result(out[host], 0, Outcome::kOk);
    out[host] = b.Request();
    EXPECT_EQ(b.SentTo(out[host]), host);
  }
}

TEST(TwoChoicesPeer, TakesTheLessBusyOfTwoDrawn) {
  Peer b("two_choices", 1);
  for (int i = 0; i < 1000; ++i) b.Request();
  b.Ready({1, 2});
  b.actions.clear();
  for (int i = 0; i < 800; ++i) b.Request();
  EXPECT_NEAR(b.SendsTo(1), 200, 60);  // drawn twice
}

TEST(TwoChoicesPeer, EjectsAfterFiveErrorsInARowForThirtySecondsThenSixty) {
  Peer b("two_choices", 20);
  b.Spoil(4, 4);
  b.Spoil(4, 1, Outcome::kOk);  // ends the row
  b.Spoil(4, 4);
  EXPECT_TRUE(b.InService(4));
  for (Micros span : {30 * kSecond, 60 * kSecond}) {
    b.Spoil(4, 5, Outcome::kFull);
    EXPECT_FALSE(b.InService(4));
    b.AdvanceTime(span - kMs);
    EXPECT_FALSE(b.InService(4));
    b.AdvanceTime(kEnvoySweep);
    EXPECT_TRUE(b.InService(4));
  }
  b.AdvanceTime(2 * kEnvoySweep);  // in service at two sweeps: the next is the first again
  b.Spoil(4, 5, Outcome::kReset);
  EXPECT_FALSE(b.InService(4));
  b.AdvanceTime(30 * kSecond + kEnvoySweep);
  EXPECT_TRUE(b.InService(4));
}

TEST(TwoChoicesPeer, EjectsATenthAtMostAndOneAtLeast) {
  for (const auto& [hosts, ejected] : {std::pair(30u, 3u), std::pair(29u, 2u), std::pair(4u, 1u)}) {
    Peer b("two_choices", hosts);
    for (BackendId host = 1; host <= 4; ++host) {
      if (b.InService(host)) b.Spoil(host, 5);
    }
    EXPECT_EQ(b.Spread(2000).size(), hosts - ejected);
  }
}

TEST(TwoChoicesPeer, PassesOverEjectionsWhereMostHostsAreOut) {
  Peer b("two_choices", 1);
  b.Spoil(1, 20);
  EXPECT_EQ(b.Ask(), 1u);
}

TEST(TwoChoicesPeer, EjectsAHostWhoseShareOfGoodAnswersIsFarBelowTheOthers) {
  Peer b("two_choices", 10);
  for (int i = 0, n = 0; i < 2000; ++i) n += b.Ask(n % 2 == 0 ? 4 : 0) == 4;
  EXPECT_TRUE(b.InService(4));
  b.AdvanceTime(kEnvoySweep);
  EXPECT_FALSE(b.InService(4));
}

TEST(TwoChoicesPeer, RetriesThreeAtOnceAfterABackOff) {
  Peer b("two_choices", 10);
  std::vector<RequestId> ids;
  for (int i = 0; i < 8; ++i) ids.push_back(b.Request(kSafe));
  for (RequestId id : ids) b.Result(id, 0, Outcome::kError);
  b.AdvanceTime(25 * kMs);
  int again = 0, failed = 0;
  for (RequestId id : ids) {
    again += b.Count(Act::kSend, id) == 2;
    failed += b.Count(Act::kFail, id);
  }
  EXPECT_EQ(again, 3);
  EXPECT_EQ(failed, 5);
}

TEST(FailureCountPeer, IsOutForTenSecondsAfterOneFailureThenTriedByOneQuery) {
  for (Outcome failure : {Outcome::kConnectFailed, Outcome::kReset, Outcome::kTimeout}) {
    Peer b("failure_count", 5);
    b.Spoil(4, 1, failure);
    b.AdvanceTime(10 * kSecond);
    EXPECT_FALSE(b.InService(4));
    b.AdvanceTime(kMs);
    b.actions.clear();
    RequestId trial = 0;
    for (int i = 0; i < 50; ++i) {
      const RequestId id = b.Request(kUnsafe);
      if (b.SentTo(id) == 4) trial = id;
    }
    EXPECT_EQ(b.SendsTo(4), 1);
    b.Result(trial, 0, failure);  // out for as long again
    b.AdvanceTime(10 * kSecond + kMs);
    b.Spoil(4, 1, Outcome::kOk);
    EXPECT_GT(b.Spread(50)[4], 5);
  }
}

TEST(FailureCountPeer, PassesOnAnAnswerOfAnyStatus) {
  Peer b("failure_count", 2);
  for (const auto& [outcome, act] :
       {std::pair(Outcome::kError, Act::kFail), {Outcome::kFull, Act::kRefuse}}) {
    const RequestId id = b.Request(kSafe);
    b.Result(id, 0, outcome);
    EXPECT_EQ(b.Count(Act::kSend, id), 1);
    EXPECT_EQ(b.Count(act, id), 1);
  }
  EXPECT_EQ(b.Spread(20).size(), 2u);
}

TEST(FailureCountPeer, TriesAllWhereAllAreOut) {
  Peer b("failure_count", 3);
  for (BackendId host = 1; host <= 3; ++host) b.Spoil(host, 1, Outcome::kReset);
  EXPECT_EQ(b.Spread(9).size(), 3u);
  const RequestId id = b.Request(kSafe);
  std::set<BackendId> tried;
  for (int n = 0; n < 3; ++n) {
    tried.insert(b.SentTo(id));
    b.Result(id, n, Outcome::kConnectFailed);
  }
  EXPECT_EQ(tried.size(), 3u);  // each once
  EXPECT_EQ(b.Count(Act::kSend, id), 3);
  EXPECT_EQ(b.Count(Act::kRefuse, id), 1);
}

// ---- What all of them keep -------------------------------------------------------------------------------

class AnyPeer : public testing::TestWithParam<std::string_view> {};
INSTANTIATE_TEST_SUITE_P(Peers, AnyPeer, testing::ValuesIn(PeerNames().begin(), PeerNames().end()),
                         [](const auto& param) { return std::string(param.param); });

TEST_P(AnyPeer, RepeatsWhatNeverRanElsewhere) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Peer b(GetParam(), 2, PlainSettings(), seed);
    const RequestId id = b.Request(kUnsafe);
    const BackendId first = b.SentTo(id);
    b.Request();  // busies the other
    b.Result(id, 0, Outcome::kConnectFailed);
    b.AdvanceTime(25 * kMs);
    EXPECT_EQ(b.Count(Act::kSend, id), 2);
    if (GetParam() != "two_choices") {  // which draws anew a few times only
      EXPECT_NE(b.SentTo(id), first);
    }
    b.Result(id, 1, Outcome::kConnectFailed);
    EXPECT_EQ(b.Count(Act::kRefuse, id), 1);
  }
}

TEST_P(AnyPeer, RefusesWhereNoHostIsAvailable) {
  Peer b(GetParam(), 1);
  b.Change(1, BackendState::kDraining);
  EXPECT_EQ(b.Count(Act::kRefuse, b.Request()), 1);
  b.Ready({});
  EXPECT_EQ(b.Count(Act::kRefuse, b.Request()), 1);
}

TEST_P(AnyPeer, AsksForTheListUntilItHasIt) {
  Settings s = PlainSettings();
  s.must_subscribe = true;
  s.must_ask_within = 10 * kSecond;
  Peer b(GetParam(), 0, s);
  b.Ready({1}, ListKind::kCached);
  Micros last = b.now, longest = 0;
  for (size_t seen = 0, steps = 0; steps < 600; ++steps, b.AdvanceTime(100 * kMs)) {
    for (; seen < b.actions.size(); ++seen) {
      longest = std::max(longest, b.actions[seen].at - last);
      last = b.actions[seen].at;
      b.List(ListKind::kFailed, {});
    }
  }
  EXPECT_LT(b.actions.size(), 40u);
  EXPECT_GT(b.actions.size(), 12u);
  EXPECT_LT(longest, 4 * kSecond);
  b.Ready({1});
  const size_t asked = b.actions.size();
  b.AdvanceTime(60 * kSecond);
  EXPECT_EQ(b.actions.size(), asked);
  b.List(ListKind::kFailed, {});
  EXPECT_EQ(b.actions.size(), asked + 1);
}

TEST_P(AnyPeer, HasNoStateToHandOn) {
  Peer b(GetParam(), 1);
  EXPECT_TRUE(b.Saved().empty());
  EXPECT_FALSE(b.Load(""));
  EXPECT_FALSE(UsePeer("none"));
}

struct Query {
  int cls = kSafe;
  Micros give_up_at = 0;
  bool over = false;
  bool out = false;
  bool may_have_run = false;
  int tries = 0;
  Micros until = 0;  // of the one out
};

// Random events, held against what each request may still suffer and what was told of each host.
void RandomDay(std::string_view peer, uint64_t seed) {
  std::mt19937_64 random(seed);
  auto below = [&](uint64_t n) { return random() % n; };
  Settings s = PlainSettings();
  s.must_subscribe = seed % 2 == 0;
  s.may_cancel = seed % 3 != 0;
  Peer b(peer, 0, s, seed);
  std::map<RequestId, Query> queries;  // not over, or out: of any other, an act finds one whose time is over
  RequestId last = 0;
  int again = 0;
  std::map<BackendId, BackendState> told;
  const auto look = [&] {
    for (const Action& a : std::exchange(b.actions, {})) {
      if (a.act == Act::kSubscribe || a.act == Act::kCancel) continue;
      Query& q = queries[a.id];
      ASSERT_FALSE(q.over) << "an act on request " << a.id << " after its end";
      ASSERT_FALSE(q.out) << "two acts at once";
      if (a.act == Act::kSend) {
        ASSERT_LT(a.at, q.give_up_at);
        ASSERT_EQ(told[a.backend], BackendState::kReady) << "sent to a host that drains or is gone";
        ASSERT_LE(++q.tries, s.max_attempts);
        again += q.tries == 2;
        ASSERT_TRUE(q.cls == kSafe || !q.may_have_run) << "an effect twice";
        q.out = true;
        q.until = a.duration > 0 ? std::min(q.give_up_at, a.at + a.duration) : q.give_up_at;
      } else {
        ASSERT_LE(a.at, q.give_up_at + s.answer_slack);
        ASSERT_TRUE(a.act == Act::kFail || q.cls == kSafe || !q.may_have_run) << "a refusal that lies";
        q.over = true;
      }
    }
  };
  const auto end = [&](RequestId id, Query& q, Outcome outcome) {
    q.out = false;
    q.may_have_run |=
        outcome != Outcome::kFull && outcome != Outcome::kConnectFailed && outcome != Outcome::kMoot;
    q.over |= outcome == Outcome::kOk;
    b.Result(id, q.tries - 1, outcome, q.over);
  };
  for (int step = 0; step < 3000 && !testing::Test::HasFatalFailure(); ++step) {
    const uint64_t what = below(16);
    if (what < 2) {
      std::vector<BackendEntry> entries(what == 0 && below(4) == 0 ? 6 : 1);
      const bool full = entries.size() > 1;
      for (auto& [host, state] : told) state = full ? BackendState::kGone : state;
      for (BackendEntry& e : entries) {
        e.id = static_cast<BackendId>(1 + below(8));
        e.state = full ? BackendState::kReady : static_cast<BackendState>(below(3));
        told[e.id] = e.state;
      }
      b.List(full ? ListKind::kFull : ListKind::kChanges, entries);
    } else if (what == 2 && below(20) == 0) {
      b.List(ListKind::kFailed, {});
    } else if (what < 9) {
      const Micros patience = static_cast<Micros>(below(600)) * kMs;
      Query& q = queries[++last];
      q.cls = static_cast<int>(below(3));
      q.give_up_at = b.now + patience;
      ASSERT_EQ(b.Request(q.cls, patience), last);
    }
    look();
    for (auto& [id, q] : queries) {
      constexpr Outcome kEnds[] = {Outcome::kOk,      Outcome::kError,    Outcome::kFull,
                                   Outcome::kTimeout, Outcome::kReset,    Outcome::kConnectFailed,
                                   Outcome::kMoot,    Outcome::kCancelled};
      if (!q.over && below(60) == 0) {
        q.over = true;
        b.ClientLeft(id);
      } else if (q.out && b.now >= q.until) {
        end(id, q, Outcome::kTimeout);
      } else if (q.out && below(10) == 0) {
        end(id, q, kEnds[below(8)]);
      }
      look();
      if (testing::Test::HasFatalFailure()) return;
      ASSERT_TRUE(q.over || b.now <= q.give_up_at + s.answer_slack) << "request " << id << " was lost";
    }
    std::erase_if(queries, [](const auto& q) { return q.second.over && !q.second.out; });
    b.AdvanceTime(static_cast<Micros>(below(8)) * kMs);
    look();
  }
  EXPECT_GT(again, 20);
}

TEST_P(AnyPeer, KeepsTheRulesUnderRandomEvents) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RandomDay(GetParam(), seed);
    ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace meadowslip
