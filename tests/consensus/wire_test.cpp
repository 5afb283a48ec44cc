#include "consensus/wire.h"

#include <gtest/gtest.h>

namespace burlfall::consensus {
namespace {

Message Full() {
  Message message;
  message.kind = Message::Kind::kPiece;
  message.from = {"a", UINT64_MAX};
  message.to = {"b", 2};
  message.term = 3;
  message.index = 4;
  message.log_term = 2;
  message.yes = message.handed_over = true;
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
  const FollowAsk ask{"f", 1, 2, 3, 4, 5};
  FollowAnswer answer;
  answer.number = 8;
  answer.kind = FollowAnswer::Kind::kPiece;
  answer.from = {"a", 1};
  answer.entries = Full().entries;
  answer.voters = Full().voters;
  answer.data = Full().data;
  for (const AnyMessage& one : {AnyMessage(Full()), AnyMessage(ask), AnyMessage(answer)}) {
    const ReadMessage read = Read(Write(one, "site"), "site");
    ASSERT_TRUE(read.message) << read.why;
    EXPECT_EQ(*read.message, one);
  }
  const Entry entry = Full().entries[0];
  EXPECT_EQ(ReadEntry(WriteEntry(entry)), entry);
  EXPECT_EQ(ReadVoters(WriteVoters(Full().voters)), Full().voters);
}

TEST(ConsensusWire, WhatIsNotOursIsNamed) {
  const std::string frame = Write(Full(), "site");
  EXPECT_STREQ(Read("GET / HTTP/1.1", "site").why, "not ours");
  EXPECT_STREQ(Read(frame, "other").why, "another site");
  std::string other = frame;
  other.resize(kLargestFrame + 1);
  EXPECT_STREQ(Read(other, "site").why, "too large");
  other = frame;
  ++other[3];
  EXPECT_STREQ(Read(other, "site").why, "another version");
  for (size_t i = 4; i < frame.size(); ++i) {
    other = frame;
    other[i] = static_cast<char>(other[i] ^ 0x10);
    EXPECT_STREQ(Read(other, "site").why, "damaged") << i;
  }
  for (size_t i = 0; i < frame.size(); ++i) EXPECT_FALSE(Read(frame.substr(0, i), "site").message) << i;
  Message message = Full();
  message.term = UINT64_MAX;  // nobody could count on from it
  EXPECT_STREQ(Read(Write(message, "site"), "site").why, "malformed");
  message = Full();
  message.voters.resize(kMostVotersRead + 1);
  EXPECT_STREQ(Read(Write(message, "site"), "site").why, "malformed");
  EXPECT_FALSE(ReadEntry("\xc1"));
  EXPECT_FALSE(ReadVoters(""));
}

}  // namespace
}  // namespace burlfall::consensus
