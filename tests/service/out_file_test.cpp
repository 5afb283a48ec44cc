#include "membership/out_file.h"

#include <gtest/gtest.h>

namespace burlfall {
namespace {

const std::vector<OutHost> kHosts = {{"s-1", 1717000000123456}, {"odd name\n%\x7f\xc3\xa9", 0}};

TEST(OutFile, SaysAgainWhatWasWritten) {
  EXPECT_EQ(ReadOutFile(WriteOutFile(kHosts)), kHosts);
  EXPECT_EQ(ReadOutFile(WriteOutFile({})), std::vector<OutHost>());
}

TEST(OutFile, TornAnywhereIsRefusedWhole) {
  const std::string text = WriteOutFile(kHosts);
  for (size_t n = 0; n < text.size(); ++n) EXPECT_FALSE(ReadOutFile(text.substr(0, n))) << n;
  EXPECT_FALSE(ReadOutFile(text + "x"));
  EXPECT_FALSE(ReadOutFile(text + text));
}

TEST(OutFile, OtherTextIsRefused) {
  EXPECT_FALSE(ReadOutFile("burlfall-out 2\nend 0\n"));
  EXPECT_FALSE(ReadOutFile("burlfall-out 1\n-5 s-1\nend 1\n"));
  EXPECT_FALSE(ReadOutFile("burlfall-out 1\n5 \nend 1\n"));
  EXPECT_FALSE(ReadOutFile("burlfall-out 1\n5 s-%zz\nend 1\n"));
  EXPECT_FALSE(ReadOutFile("burlfall-out 1\n5 s-1\nend 2\n"));
  EXPECT_FALSE(ReadOutFile(std::string(100, '\0')));
}

}  // namespace
}  // namespace burlfall
