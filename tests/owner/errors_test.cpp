// Tests of the table of council errors.
#include "owner/errors.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace burlfall::owner {
namespace {

TEST(CouncilErrors, EachHasAStableNameAndSaysWhatToDo) {
  std::set<std::string> names;
  for (int i = 0; i < kErrorCount; ++i) {
    const auto error = static_cast<Error>(i);
    const std::string name = NameOf(error);
    EXPECT_TRUE(names.insert(name).second) << name << " twice";
    EXPECT_FALSE(name.empty());
    EXPECT_EQ(name.find_first_not_of("abcdefghijklmnopqrstuvwxyz_"), std::string::npos) << name;
    const std::string what = WhatToDo(error);
    ASSERT_GT(what.size(), 10u) << name;
    EXPECT_EQ(what.back(), '.') << name;
  }
}

}  // namespace
}  // namespace burlfall::owner
