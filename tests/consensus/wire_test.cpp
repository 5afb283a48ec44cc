// Tests of encoding, and of the rejection of invalid frames.
#include "consensus/wire.h"

#include <gtest/gtest.h>

namespace burlfall::consensus {
namespace {

Message FullMessage() {
  Message message;
  message.kind = Message::Kind::kSnapshotChunk;
  message.from = {"a", UINT64_MAX};
  message.to = {"b", 2};
  message.term = 3;
  message.index = 4;
  message.log_term = 2;
  message.accepted = message.handed_over = true;
  message.commit = 5;
  message.round = 6;
  message.log_time = 7;
  message.entries = {{5, 3, Entry::Kind::kCommand, 9, "x\ny"}};
  message.voters = {{{"a", 1}, "a:1"}};
  message.total = 10;
  message.offset = 3;
  message.data = std::string("bytes");
  return message;
}

TEST(ConsensusWire, EncodedMessagesDecodeToTheSame) {
  const FollowRequest request{"f", 1, 2, 3, 4, 5};
  FollowResponse response;
  response.number = 8;
  response.kind = FollowResponse::Kind::kSnapshotChunk;
  response.from = {"a", 1};
  response.entries = FullMessage().entries;
  response.voters = FullMessage().voters;
  response.data = FullMessage().data;
  for (const AnyMessage& message : {AnyMessage(FullMessage()), AnyMessage(request), AnyMessage(response)}) {
    const DecodeResult result = Decode(Encode(message, "site"), "site");
    ASSERT_TRUE(result.message) << result.error;
    EXPECT_EQ(*result.message, message);
  }
  const Entry entry = FullMessage().entries[0];
  EXPECT_EQ(DecodeEntry(EncodeEntry(entry)), entry);
  EXPECT_EQ(DecodeVoters(EncodeVoters(FullMessage().voters)), FullMessage().voters);
}

TEST(ConsensusWire, InvalidFramesAreRejectedWithAReason) {
  const std::string frame = Encode(FullMessage(), "site");
  EXPECT_STREQ(Decode("GET / HTTP/1.1", "site").error, "not ours");
  EXPECT_STREQ(Decode(frame, "other").error, "another site");
  std::string frame_copy = frame;
  frame_copy.resize(kMaxFrameBytes + 1);
  EXPECT_STREQ(Decode(frame_copy, "site").error, "too large");
  frame_copy = frame;
  ++frame_copy[3];
  EXPECT_STREQ(Decode(frame_copy, "site").error, "another version");
  for (size_t i = 4; i < frame.size(); ++i) {
    frame_copy = frame;
    frame_copy[i] = static_cast<char>(frame_copy[i] ^ 0x10);
    EXPECT_STREQ(Decode(frame_copy, "site").error, "damaged") << i;
  }
  for (size_t i = 0; i < frame.size(); ++i) EXPECT_FALSE(Decode(frame.substr(0, i), "site").message) << i;
  Message message = FullMessage();
  message.term = UINT64_MAX;  // incrementing it would overflow
  EXPECT_STREQ(Decode(Encode(message, "site"), "site").error, "malformed");
  message = FullMessage();
  message.voters.resize(kMaxVotersDecoded + 1);
  EXPECT_STREQ(Decode(Encode(message, "site"), "site").error, "malformed");
  EXPECT_FALSE(DecodeEntry("\xc1"));
  EXPECT_FALSE(DecodeVoters(""));
}

}  // namespace
}  // namespace burlfall::consensus
