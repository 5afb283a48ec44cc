// Hosts that operators take out of service: the operator's call overrides the list, for the module and the
// upstream alike.
#include "membership/host_group.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace burlfall {
namespace {

using meadowslip::BackendEntry, meadowslip::BackendList, meadowslip::BackendState;

HostList List(bool full, std::vector<std::pair<std::string, BackendState>> hosts, Micros started_at = 0) {
  HostList list;
  list.version = 1;
  list.full = full;
  for (auto& [name, state] : hosts) {
    HostEntry e;
    e.name = name;
    // An address of its own: a host listed at the address of another one takes its place.
    const std::string port = std::to_string(9000 + name.front());
    if (state != BackendState::kGone) e.address = *ReadAddress(std::string("127.0.0.1:").append(port));
    e.entry.state = state;
    e.entry.started_at = started_at;
    list.hosts.push_back(e);
  }
  return list;
}

BackendState StateOf(const HostGroup& group, const BackendList& told, const std::string& name) {
  for (const BackendEntry& e : told.entries) {
    if (group.NameOf(e.id) == name) return e.state;
  }
  return BackendState::kGone;
}

class Group : public testing::Test {
 protected:
  Group() { hosts.ApplyList(List(true, {{"a", BackendState::kReady}, {"b", BackendState::kReady}})); }
  BackendState EffectiveState(const std::string& name) const {
    BackendState state = BackendState::kGone;
    for (const auto& [id, known] : hosts.AllNames()) {
      if (known == name) state = hosts.Find(id)->state;
    }
    return state;
  }
  meadowslip::BackendId IdOf(const std::string& name) const {
    for (const auto& [id, known] : hosts.AllNames()) {
      if (known == name) return id;
    }
    return 0;
  }
  meadowslip::Settings settings;
  HostGroup hosts{settings};
};

TEST_F(Group, AHostThatWasNeverListedCantBeTakenOut) {
  EXPECT_FALSE(hosts.TakeOut("c", 1));
  EXPECT_FALSE(hosts.PutBack("c", 1));
  EXPECT_FALSE(hosts.Knows("c"));
}

TEST_F(Group, AHostTakenOutDrainsWhateverTheListSays) {
  ASSERT_TRUE(hosts.TakeOut("a", 1));
  EXPECT_EQ(EffectiveState("a"), BackendState::kDraining);
  EXPECT_EQ(StateOf(hosts, hosts.Snapshot(), "a"), BackendState::kDraining);
  EXPECT_EQ(StateOf(hosts, hosts.Snapshot(), "b"), BackendState::kReady);
  for (bool full : {true, false}) {
    const BackendList told =
        hosts.ApplyList(List(full, {{"a", BackendState::kReady}, {"b", BackendState::kReady}}, 5));
    EXPECT_EQ(StateOf(hosts, told, "a"), BackendState::kDraining);
    EXPECT_EQ(EffectiveState("a"), BackendState::kDraining);
  }
  hosts.ApplyList(List(false, {{"a", BackendState::kGone}}));
  EXPECT_EQ(EffectiveState("a"), BackendState::kGone);
  hosts.ApplyList(List(true, {{"b", BackendState::kReady}}));
  const BackendList back = hosts.ApplyList(List(false, {{"a", BackendState::kReady}}, 9));
  EXPECT_EQ(StateOf(hosts, back, "a"), BackendState::kDraining);
  EXPECT_EQ(hosts.Out(), (std::vector<OutHost>{{"a", 1}}));
}

TEST_F(Group, RepeatedCallsOutAreEndedByOneCallBack) {
  hosts.TakeOut("a", 1);
  hosts.TakeOut("a", 7);
  EXPECT_EQ(hosts.Out(), (std::vector<OutHost>{{"a", 1}}));
  hosts.PutBack("a", 10);
  EXPECT_EQ(EffectiveState("a"), BackendState::kReady);
  EXPECT_TRUE(hosts.Out().empty());
}

TEST_F(Group, AHostPutBackHasItsListedState) {
  hosts.TakeOut("a", 1);
  hosts.ApplyList(List(false, {{"a", BackendState::kDraining}}));
  hosts.PutBack("a", 10);
  EXPECT_EQ(EffectiveState("a"), BackendState::kDraining);
  hosts.TakeOut("b", 11);
  hosts.ApplyList(List(false, {{"b", BackendState::kGone}}));
  hosts.PutBack("b", 12);
  EXPECT_EQ(EffectiveState("b"), BackendState::kGone);
}

Micros StartOf(const HostGroup& group, const std::string& name) {
  for (const BackendEntry& e : group.Snapshot().entries) {
    if (group.NameOf(e.id) == name) return e.started_at;
  }
  return -1;
}

TEST_F(Group, AHostPutBackIsColdEvenIfTheListReportsNoRestart) {
  hosts.TakeOut("a", 100);
  hosts.PutBack("a", 200);
  EXPECT_EQ(StartOf(hosts, "a"), 200);
  // a start time from before the restart
  hosts.ApplyList(List(true, {{"a", BackendState::kReady}, {"b", BackendState::kReady}}, 50));
  EXPECT_EQ(StartOf(hosts, "a"), 200);
  EXPECT_EQ(StartOf(hosts, "b"), 50);
  hosts.ApplyList(List(false, {{"a", BackendState::kReady}}, 150));  // the restart itself
  EXPECT_EQ(StartOf(hosts, "a"), 150);
}

TEST_F(Group, PuttingAHostBackStartsANewIncarnation) {
  const auto id = hosts.Snapshot().entries.front().id;
  const uint64_t previous = hosts.Find(id)->incarnation;
  hosts.TakeOut(hosts.NameOf(id), 1);
  hosts.PutBack(hosts.NameOf(id), 2);
  EXPECT_NE(hosts.Find(id)->incarnation, previous);
}

TEST_F(Group, AHostOutBeforeTheStartIsOutOnceListed) {
  hosts.TakeOutUnlisted("late", 1);
  EXPECT_EQ(StateOf(hosts, hosts.ApplyList(List(false, {{"late", BackendState::kReady}})), "late"),
            BackendState::kDraining);
}

// Start times from another machine's clock: a start is never later than the time its list arrived, and does
// not change afterwards.
TEST_F(Group, AStartTimeInTheFutureIsReplacedByNow) {
  const auto start = [&](Micros listed, Micros now, bool full = true) {
    const BackendList told = hosts.ApplyList(List(full, {{"a", BackendState::kReady}}, listed), now);
    return told.entries.at(0).started_at;
  };
  EXPECT_EQ(start(3000, 1000), 1000);
  EXPECT_EQ(start(3000, 2000), 1000);
  EXPECT_EQ(start(3000, 2500, false), 1000);
  EXPECT_EQ(hosts.Snapshot().entries.at(0).started_at, 1000);
  EXPECT_EQ(start(3500, 2600), 2600);  // it was restarted
  EXPECT_EQ(start(3500, 4000), 3500);  // that time has passed
  EXPECT_EQ(start(3800, 4000), 3800);
}

TEST(HostGroupMemory, IsBoundedAndKeepsHostsThatAreOutOrListed) {
  meadowslip::Settings settings;
  HostGroup group(settings);
  group.ApplyList(List(false, {{"there", BackendState::kReady}, {"out", BackendState::kReady}}), 1);
  group.TakeOut("out", 1);
  group.ApplyList(List(false, {{"out", BackendState::kGone}}), 1);
  for (Micros i = 0; i < 300; ++i) {
    std::vector<std::pair<std::string, BackendState>> come, go;
    for (int k = 0; k < 100; ++k) {
      come.emplace_back(std::string("h").append(std::to_string(100 * i + k)), BackendState::kReady);
      go.emplace_back(come.back().first, BackendState::kGone);
    }
    group.ApplyList(List(false, come), i * 60 * kSecond);
    group.ApplyList(List(false, go), i * 60 * kSecond + 1);
  }
  EXPECT_LE(group.AllNames().size(), HostGroup::kMaxKnown + 100);
  EXPECT_TRUE(group.Knows("there"));
  EXPECT_TRUE(group.Knows("out"));
  EXPECT_TRUE(group.Knows("h29999"));
  EXPECT_FALSE(group.Knows("h0"));
}

// The module's side: the state of a node that was put back reaches the module, and the sleep caused by the
// restart does not keep the node idle.
class Sends final : public meadowslip::ActionSink {
 public:
  void Send(meadowslip::RequestId id, meadowslip::BackendId backend, Micros) override {
    last = backend;
    out.push_back({id, backend});
  }
  void Refuse(meadowslip::RequestId, Micros) override {}
  void Fail(meadowslip::RequestId) override {}
  void Cancel(meadowslip::RequestId, int) override {}
  void Schedule(Micros, uint64_t) override {}
  void Probe(meadowslip::BackendId) override {}
  void Subscribe() override {}
  meadowslip::BackendId last = 0;
  std::vector<std::pair<meadowslip::RequestId, meadowslip::BackendId>> out;
};

TEST(NodeBack, GetsAQueryWithinFiveSecondsThoughItsRestartPutItToSleep) {
  meadowslip::Settings settings;
  meadowslip::RequestClass c;
  c.idempotency = meadowslip::Idempotency::kSafe;
  c.aim = 500 * kMs;
  c.deadline = 2 * kSecond;
  settings.classes.push_back(c);
  settings.max_attempts = 1;
  HostGroup hosts(settings);
  meadowslip::Balancer module(settings, 1);
  Sends sends;
  Micros now = 1000 * kSecond;
  module.OnList(
      now,
      hosts.ApplyList(List(
          true, {{"a", BackendState::kReady}, {"b", BackendState::kReady}, {"c", BackendState::kReady}})),
      sends);
  meadowslip::BackendId a = 0;
  for (const auto& [id, name] : hosts.AllNames()) a = name == "a" ? id : a;
  uint64_t next = 0;
  int to_a = 0;
  // `a` fails every query while `broken` is set; one query each 10 ms.
  auto run = [&](Micros span, bool broken) {
    for (const Micros until = now + span; now < until; now += 10 * kMs) {
      meadowslip::Request r;
      r.id = ++next;
      r.give_up_at = now + c.deadline;
      module.OnRequest(now, r, sends);
      for (auto [id, backend] : std::exchange(sends.out, {})) {
        to_a += backend == a;
        meadowslip::AttemptResult result;
        result.id = id;
        result.closed = true;
        result.backend = backend;
        result.elapsed = kMs;
        result.outcome = broken && backend == a ? meadowslip::Outcome::kReset : meadowslip::Outcome::kOk;
        module.OnResult(now + kMs, result, sends);
      }
    }
  };
  run(5 * kSecond, false);
  for (int i = 0; i < 6; ++i) run(20 * kSecond, true);
  to_a = 0;
  // a trial that fails: the node sleeps for half a minute from here on
  while (to_a == 0) run(10 * kMs, true);
  hosts.TakeOut("a", now);
  module.OnList(now, hosts.Snapshot(), sends);
  to_a = 0;
  run(3 * kSecond, false);
  EXPECT_EQ(to_a, 0);
  hosts.PutBack("a", now);
  module.OnList(now, hosts.Snapshot(), sends);
  run(5 * kSecond, false);
  EXPECT_GT(to_a, 0);
}

// A list of changes that names one host, at an address and with a start.
HostList At(const std::string& name, int port, Micros started_at, BackendState state = BackendState::kReady) {
  HostList list = List(false, {{name, state}}, started_at);
  list.hosts.front().address = *ReadAddress(std::string("127.0.0.1:").append(std::to_string(port)));
  return list;
}

TEST_F(Group, AHostListedAtTheAddressOfAnotherTakesItsPlaceForGood) {
  hosts.ApplyList(At("old", 8001, 0));
  const uint64_t links_of = hosts.FindShared(IdOf("old"))->incarnation;
  const BackendList told = hosts.ApplyList(At("new", 8001, 0));
  EXPECT_EQ(EffectiveState("new"), BackendState::kReady);
  EXPECT_EQ(EffectiveState("old"), BackendState::kGone);
  EXPECT_EQ(told.entries.size(), 2u);  // the module hears of both
  EXPECT_EQ(StateOf(hosts, told, "old"), BackendState::kGone);
  EXPECT_NE(hosts.FindShared(IdOf("old"))->incarnation, links_of);
  // Whatever else the list says of the old one, and when the new one goes too: its process has gone.
  hosts.ApplyList(At("old", 8001, 0));
  hosts.ApplyList(At("new", 8001, 0, BackendState::kGone));
  EXPECT_EQ(EffectiveState("old"), BackendState::kGone);
  EXPECT_EQ(StateOf(hosts, hosts.Snapshot(), "old"), BackendState::kGone);
  // Until it starts again, there or elsewhere.
  hosts.ApplyList(At("old", 8001, 77));
  EXPECT_EQ(EffectiveState("old"), BackendState::kReady);
}

TEST_F(Group, WithinOneListTheLatestStartAtAnAddressCountsAndEqualOnesShareIt) {
  HostList list = At("old", 8001, 10);
  list.hosts.push_back(At("new", 8001, 20).hosts.front());
  list.hosts.push_back(At("twin", 8002, 30).hosts.front());
  list.hosts.push_back(At("other", 8002, 30).hosts.front());
  hosts.ApplyList(list, 100);
  EXPECT_EQ(EffectiveState("old"), BackendState::kGone);
  EXPECT_EQ(EffectiveState("new"), BackendState::kReady);
  EXPECT_EQ(EffectiveState("twin"), BackendState::kReady);
  EXPECT_EQ(EffectiveState("other"), BackendState::kReady);
}

TEST_F(Group, ASupersededHostIsGoneForTheNextProcessToo) {
  hosts.ApplyList(At("old", 8001, 0));
  hosts.ApplyList(At("new", 8001, 0));
  HostGroup next{settings};
  ASSERT_TRUE(next.Restore(hosts.Records(), 1));
  EXPECT_EQ(next.Find(IdOf("old"))->state, BackendState::kGone);
  EXPECT_EQ(next.Find(IdOf("new"))->state, BackendState::kReady);
}

}  // namespace
}  // namespace burlfall
