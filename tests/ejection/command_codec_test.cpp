#include <gtest/gtest.h>

#include <string>

#include "ejection/state.h"

namespace burlfall::ejection {
namespace {

TEST(Wire, EachCommandIsDecodedAsEncoded) {
  for (uint8_t what = 0; what <= static_cast<uint8_t>(Command::What::kCount); ++what) {
    Command command;
    command.what = static_cast<Command::What>(what);
    command.vote = {"b", "z", "h", 7, -5, 3, 9, Kind::kSlow, 2, 4, true, 30 * kSecond};
    command.good = {"b", "z", "h", 7, 3, 2, kSecond};
    command.balancer = "b";
    command.host = std::string("h");
    command.incarnation = 7;
    command.was_good = true;
    command.operation = OperatorAction::kExtend;
    command.span = kSecond;
    command.who = "staff";
    command.reason = "at night";
    command.epoch = 77;
    command.group = {{{"h", "z", 7, true, false, 3}}, {{"b", "z", {"h"}}}, 0.25};
    const std::string bytes = EncodeCommand(command);
    const auto read = DecodeCommand(bytes);
    ASSERT_TRUE(read.has_value()) << int{what};
    EXPECT_EQ(read->what, command.what);
    EXPECT_EQ(EncodeCommand(*read), bytes);
    for (size_t i = 0; i < bytes.size(); ++i) {
      std::string other = bytes;
      other[i] = static_cast<char>(other[i] ^ 1);
      EXPECT_FALSE(DecodeCommand(other).has_value());
      EXPECT_FALSE(DecodeCommand(bytes.substr(0, i)).has_value());
    }
  }
}

TEST(Wire, NamesAreBounded) {
  Command command;
  command.what = Command::What::kTrial;
  command.balancer = std::string(kMaxNameBytes + 1, 'b');
  EXPECT_FALSE(DecodeCommand(EncodeCommand(command)).has_value());
  command.balancer = "a\nb";
  EXPECT_FALSE(DecodeCommand(EncodeCommand(command)).has_value());
}

TEST(Wire, EachRefusalHasANameAndAdvice) {
  for (uint8_t i = 0; i <= static_cast<uint8_t>(Refusal::kTooLong); ++i) {
    EXPECT_STRNE(NameOf(static_cast<Refusal>(i)), "?");
    EXPECT_STRNE(AdviceOf(static_cast<Refusal>(i)), "?");
  }
}

}  // namespace
}  // namespace burlfall::ejection
