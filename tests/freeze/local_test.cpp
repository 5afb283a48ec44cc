// Tests of the gate that decides about changes while the council has no majority.
#include <gtest/gtest.h>

#include "freeze/local_gate.h"

namespace burlfall::freeze {
namespace {

const Scope kScope = Scope::Node("n1", "z0", "g0");

TEST(LocalGate, RefusesAtOnceAndNamesTheMissingVotersAndWhatToDo) {
  LocalGate gate(Rules{}, {"b1", 3});
  const LocalGate::Answer answer = gate.Ask(ChangeKind::kUpgrade, kScope, "anna", "new build", {"v1", "v3"});
  EXPECT_EQ(answer.error, Error::kNoMajority);
  EXPECT_EQ(answer.missing, (std::vector<std::string>{"v1", "v3"}));
  EXPECT_FALSE(answer.what_to_do.empty());
  EXPECT_GT(answer.retry_after, 0);
  EXPECT_EQ(gate.record_count(), 0u);
}

TEST(LocalGate, EmergenciesProceedAndAreReportedOnce) {
  LocalGate gate(Rules{}, {"b1", 3});
  EXPECT_EQ(gate.Ask(ChangeKind::kNodeOut, kScope, "anna", "", {}).error, Error::kMalformed);
  EXPECT_EQ(gate.Ask(ChangeKind::kNodeOut, kScope, "anna", "it burns", {}).error, Error::kNone);
  EXPECT_EQ(gate.Ask(ChangeKind::kRestart, kScope, "anna", "it burns", {}).error, Error::kNone);
  // Restarted with the file from disk.
  LocalGate back(Rules{}, {"b1", 4});
  std::string bytes = gate.Save();
  ASSERT_TRUE(back.Load(bytes));
  bytes.back() = static_cast<char>(bytes.back() ^ 1);
  EXPECT_FALSE(back.Load(bytes));
  EXPECT_EQ(back.record_count(), 2u);
  State state;
  uint64_t index = 0;
  while (!back.Unconfirmed().empty()) {
    const Command command = *ReadCommand(Write(back.Unconfirmed()[0]));
    state.Apply(++index, 0, command);  // its answer is lost
    for (const Effect& effect : state.Apply(++index, 0, command)) back.OnApplied(effect);
  }
  ASSERT_EQ(state.history().size(), 2u);
  EXPECT_EQ(state.history()[0].what, HistoryEntry::What::kEmergency);
  EXPECT_EQ(state.history()[0].by, "anna");
  EXPECT_EQ(state.history()[1].change_kind, ChangeKind::kRestart);
}

TEST(LocalGate, IsBounded) {
  Rules rules;
  rules.max_local_emergencies = 2;
  LocalGate gate(rules, {"b1", 3});
  for (int i = 0; i < 5; ++i) gate.Ask(ChangeKind::kNodeOut, kScope, "anna", "it burns", {});
  EXPECT_EQ(gate.record_count(), 2u);
  EXPECT_EQ(gate.Ask(ChangeKind::kNodeOut, kScope, "anna", "it burns", {}).error, Error::kTooMany);
}

}  // namespace
}  // namespace burlfall::freeze
