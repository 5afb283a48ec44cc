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
