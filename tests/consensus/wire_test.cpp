#include "consensus/wire.h"

#include <gtest/gtest.h>

namespace burlfall::consensus {
namespace {

Message Full() {
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
  message.at = 7;
  message.entries = {{5, 3, Entry::Kind::kCommand, 9, "x\ny"}};
  message.voters = {{{"a", 1}, "a:1"}};
  message.total = 10;
  message.offset = 3;
  message.data = std::string("bytes");
  return message;
}

TEST(ConsensusWire, WhatIsWrittenIsRead) {
  const FollowRequest ask{"f", 1, 2, 3, 4, 5};
  FollowResponse answer;
  answer.number = 8;
  answer.kind = FollowResponse::Kind::kSnapshotChunk;
  answer.from = {"a", 1};
  answer.entries = Full().entries;
  answer.voters = Full().voters;
  answer.data = Full().data;
  for (const AnyMessage& one : {AnyMessage(Full()), AnyMessage(ask), AnyMessage(answer)}) {
    const DecodeResult read = Decode(Encode(one, "site"), "site");
    ASSERT_TRUE(read.message) << read.error;
    EXPECT_EQ(*read.message, one);
  }
  const Entry entry = Full().entries[0];
  EXPECT_EQ(DecodeEntry(EncodeEntry(entry)), entry);
  EXPECT_EQ(DecodeVoters(EncodeVoters(Full().voters)), Full().voters);
}

TEST(ConsensusWire, WhatIsNotOursIsNamed) {
  const std::string frame = Encode(Full(), "site");
  EXPECT_STREQ(Decode("GET / HTTP/1.1", "site").error, "not ours");
  EXPECT_STREQ(Decode(frame, "other").error, "another site");
  std::string other = frame;
  other.resize(kMaxFrameBytes + 1);
  EXPECT_STREQ(Decode(other, "site").error, "too large");
  other = frame;
  ++other[3];
  EXPECT_STREQ(Decode(other, "site").error, "another version");
  for (size_t i = 4; i < frame.size(); ++i) {
    other = frame;
    other[i] = static_cast<char>(other[i] ^ 0x10);
    EXPECT_STREQ(Decode(other, "site").error, "damaged") << i;
  }
  for (size_t i = 0; i < frame.size(); ++i) EXPECT_FALSE(Decode(frame.substr(0, i), "site").message) << i;
  Message message = Full();
  message.term = UINT64_MAX;  // nobody could count on from it
  EXPECT_STREQ(Decode(Encode(message, "site"), "site").error, "malformed");
  message = Full();
  message.voters.resize(kMaxVotersDecoded + 1);
  EXPECT_STREQ(Decode(Encode(message, "site"), "site").error, "malformed");
  EXPECT_FALSE(DecodeEntry("\xc1"));
  EXPECT_FALSE(DecodeVoters(""));
}

}  // namespace
}  // namespace burlfall::consensus
