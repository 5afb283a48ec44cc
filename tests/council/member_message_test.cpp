// Words between members: read back as written, and refused by name where they are not.
#include "council/member_message.h"

#include <gtest/gtest.h>

namespace burlfall::council {
namespace {

Word Full() {
  Word word{.kind = Word::Kind::kActBack, .number = 7, .name = "b1", .disk = 8, .index = 9, .epoch = 10};
  word.error = owner::Error::kFenced;
  word.address = "127.0.0.1:7950";
  word.work = "freeze";
  word.data = std::string("any\0bytes", 9);
  return word;
}

TEST(Word, WhatIsWrittenReadsBackAsTheSame) {
  const ReadWord read = Read(Write(Full(), "zuerich"), "zuerich");
  ASSERT_TRUE(read.word);
  EXPECT_EQ(*read.word, Full());
}

TEST(Word, WhatIsNotOneOfOursIsRefusedByName) {
  const std::string good = Write(Full(), "zuerich");
  EXPECT_STREQ(Read(good, "bern").why, "another site");
  EXPECT_STREQ(Read("bfn", "zuerich").why, "malformed");
  std::string later = good;
  later[3] = 2;
  EXPECT_STREQ(Read(later, "zuerich").why, "another version");
  for (size_t at = 4; at < good.size(); ++at) {
    std::string flipped = good;
    flipped[at] = static_cast<char>(flipped[at] ^ 1);
    EXPECT_STREQ(Read(flipped, "zuerich").why, "damaged") << at;
    EXPECT_FALSE(Read(good.substr(0, at), "zuerich").word) << at;
  }
  Word unplain = Full();
  unplain.name = "b\n1";
  EXPECT_STREQ(Read(Write(unplain, "zuerich"), "zuerich").why, "malformed");
}

}  // namespace
}  // namespace burlfall::council
