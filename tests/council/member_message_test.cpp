// Messages between members decode to what was encoded; invalid frames are rejected with the reason.
#include "council/member_message.h"

#include <gtest/gtest.h>

namespace burlfall::council {
namespace {

MemberMessage MessageWithAllFields() {
  MemberMessage message{.kind = MemberMessage::Kind::kActionReply,
                        .number = 7,
                        .name = "b1",
                        .disk = 8,
                        .index = 9,
                        .epoch = 10};
  message.error = owner::Error::kFenced;
  message.address = "127.0.0.1:7950";
  message.owned_task = "freeze";
  message.data = std::string("any\0bytes", 9);
  return message;
}

TEST(Word, EncodedMessageDecodesToTheSame) {
  const DecodedMessage decoded = DecodeMessage(EncodeMessage(MessageWithAllFields(), "zuerich"), "zuerich");
  ASSERT_TRUE(decoded.message);
  EXPECT_EQ(*decoded.message, MessageWithAllFields());
}

TEST(Word, InvalidFrameIsRejectedWithItsReason) {
  const std::string good = EncodeMessage(MessageWithAllFields(), "zuerich");
  EXPECT_STREQ(DecodeMessage(good, "bern").error_text, "another site");
  EXPECT_STREQ(DecodeMessage("bfn", "zuerich").error_text, "malformed");
  std::string later = good;
  later[3] = 2;
  EXPECT_STREQ(DecodeMessage(later, "zuerich").error_text, "another version");
  for (size_t at = 4; at < good.size(); ++at) {
    std::string flipped = good;
    flipped[at] = static_cast<char>(flipped[at] ^ 1);
    EXPECT_STREQ(DecodeMessage(flipped, "zuerich").error_text, "damaged") << at;
    EXPECT_FALSE(DecodeMessage(good.substr(0, at), "zuerich").message) << at;
  }
  MemberMessage with_control_character = MessageWithAllFields();
  with_control_character.name = "b\n1";
  EXPECT_STREQ(DecodeMessage(EncodeMessage(with_control_character, "zuerich"), "zuerich").error_text,
               "malformed");
}

}  // namespace
}  // namespace burlfall::council
