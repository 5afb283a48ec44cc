// The replicated state: a loaded snapshot continues identically, and unknown commands change nothing.
#include "council/state.h"

#include <gtest/gtest.h>

namespace burlfall::council {
namespace {

owner::Command WantFreezeTask(const std::string& who) {
  owner::Command command;
  command.kind = owner::Command::Kind::kAcquire;
  command.task = owner::kFreezeTask;
  command.who = {who, 1};
  command.request = 1;
  return command;
}

TEST(CouncilState, ContinuesIdenticallyAfterSaveAndLoad) {
  State state;
  ASSERT_TRUE(state.Apply(4, kSecond, Envelope(WantFreezeTask("b1"))).recognized);
  freeze::Command open;
  open.kind = freeze::Command::Kind::kOpenIncident;
  open.by = "staff";
  open.reason = "a test";
  ASSERT_FALSE(state.Apply(5, 2 * kSecond, Envelope(open)).freeze.empty());
  std::optional<State> loaded = State::Load(state.Save());
  ASSERT_TRUE(loaded);
  EXPECT_EQ(loaded->owner().EpochOf(owner::kFreezeTask), 4u);
  EXPECT_EQ(loaded->freeze().incidents().size(), 1u);
  EXPECT_EQ(loaded->Save(), state.Save());
  EXPECT_EQ(loaded->Apply(6, 3 * kSecond, Envelope(WantFreezeTask("b2"))).owner.size(),
            state.Apply(6, 3 * kSecond, Envelope(WantFreezeTask("b2"))).owner.size());
}

owner::Command Acquire(const std::string& task, const std::string& who) {
  owner::Command command = WantFreezeTask(who);
  command.task = task;
  return command;
}

owner::Command End(const std::string& task, const std::string& who, uint64_t epoch) {
  owner::Command command = Acquire(task, who);
  command.kind = owner::Command::Kind::kRelease;
  command.epoch = epoch;
  return command;
}

freeze::Command OpenBySight(const std::string& zone, uint64_t epoch) {
  freeze::Command command;
  command.kind = freeze::Command::Kind::kOpenIncident;
  command.incident_kind = freeze::IncidentKind::kZoneDown;
  command.scope = freeze::Scope::Zone(zone);
  command.observed = true;
  command.coordinator = epoch;
  command.who = {"b1", 1};
  command.by = "sight";
  command.reason = "a test";
  return command;
}

freeze::Command CloseBySight(uint64_t incident, uint64_t epoch) {
  freeze::Command command = OpenBySight("", epoch);
  command.kind = freeze::Command::Kind::kCloseIncident;
  command.incident = incident;
  return command;
}

owner::Error RefusalOf(const ApplyResult& result) {
  if (result.freeze.empty() || result.freeze[0].what != freeze::Effect::What::kRefused)
    return owner::Error::kNone;
  return result.freeze[0].error;
}

// Guards against review/6 at the log: a command counts only under the epoch that owns the task at its entry.
TEST(CouncilState, RefusesIncidentsOfAStaleOwner) {
  State state;
  state.Apply(10, kSecond, Envelope(WantFreezeTask("b1")));
  EXPECT_EQ(RefusalOf(state.Apply(11, kSecond, Envelope(OpenBySight("bern", 10)))), owner::Error::kNone);
  EXPECT_EQ(state.freeze().incidents().size(), 1u);
  // Nobody owns it.
  state.Apply(12, kSecond, Envelope(End(owner::kFreezeTask, "b1", 10)));
  EXPECT_EQ(RefusalOf(state.Apply(13, kSecond, Envelope(OpenBySight("genf", 10)))), owner::Error::kLeaseOver);
  EXPECT_EQ(RefusalOf(state.Apply(14, kSecond, Envelope(CloseBySight(11, 10)))), owner::Error::kLeaseOver);
  // Another member owns it, and has sent nothing yet.
  state.Apply(15, kSecond, Envelope(WantFreezeTask("b2")));
  state = *State::Load(state.Save());
  EXPECT_EQ(RefusalOf(state.Apply(16, kSecond, Envelope(OpenBySight("genf", 10)))), owner::Error::kFenced);
  EXPECT_EQ(RefusalOf(state.Apply(17, kSecond, Envelope(CloseBySight(11, 10)))), owner::Error::kFenced);
  // Nobody was given these epochs.
  EXPECT_EQ(RefusalOf(state.Apply(18, kSecond, Envelope(OpenBySight("genf", 18)))), owner::Error::kNotOwner);
  EXPECT_EQ(RefusalOf(state.Apply(19, kSecond, Envelope(OpenBySight("genf", 0)))), owner::Error::kFenced);
  EXPECT_EQ(state.freeze().incidents().size(), 1u);
  EXPECT_EQ(state.freeze().coordinator(), 10u) << "what had no effect counts as not seen";
  // An owner that has to hand over may finish what it does.
  owner::Command hand_over;
  hand_over.kind = owner::Command::Kind::kHandOver;
  hand_over.task = owner::kFreezeTask;
  hand_over.epoch = 15;
  hand_over.to = {"b1", 1};
  state.Apply(20, kSecond, Envelope(hand_over));
  EXPECT_EQ(RefusalOf(state.Apply(21, kSecond, Envelope(CloseBySight(11, 15)))), owner::Error::kNone);
  EXPECT_TRUE(state.freeze().incidents().empty());
}

// The same cause at the other work that acts through the log: the count of ejection votes.
TEST(CouncilState, RefusesCountsOfAStaleOwner) {
  State state;
  state.Apply(10, kSecond, Envelope(Acquire(owner::kEjectionTask, "b1")));
  ejection::Command hosts;
  hosts.what = ejection::Command::What::kHosts;
  const auto knows_after = [&](uint64_t index, const std::string& host, uint64_t epoch) {
    hosts.group.hosts = {{.name = host, .zone = "bern", .incarnation = 1}};
    hosts.epoch = epoch;
    state.Apply(index, kSecond, Envelope(hosts));
    return state.ejection().Knows(host);
  };
  EXPECT_TRUE(knows_after(11, "s1", 10));
  state.Apply(12, kSecond, Envelope(End(owner::kEjectionTask, "b1", 10)));
  EXPECT_FALSE(knows_after(13, "s2", 10));
  state.Apply(14, kSecond, Envelope(Acquire(owner::kEjectionTask, "b2")));
  EXPECT_FALSE(knows_after(15, "s3", 10));
  EXPECT_FALSE(knows_after(16, "s4", 16));
  EXPECT_TRUE(knows_after(17, "s5", 14));
}

TEST(CouncilState, UnknownCommandsChangeNothing) {
  State state;
  const std::string before = state.Save();
  for (const char* data : {"", "o", "f", "x", "oxxxx", "f\x91\x01"})
    EXPECT_FALSE(state.Apply(1, 1, data).recognized);
  EXPECT_EQ(state.Save(), before);
  EXPECT_FALSE(State::Load("no state"));
  EXPECT_FALSE(State::Load(before.substr(0, before.size() / 2)));
}

}  // namespace
}  // namespace burlfall::council
