// docs/council.md lists each error with the exit code of `burlfall council` and the advice that the program
// gives.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

#include "owner/errors.h"

namespace burlfall::owner {
namespace {

TEST(CouncilPage, ListsEachErrorAsTheProgramReportsIt) {
  std::ifstream file(DEPLOY "/../docs/council.md");
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  for (int i = 1; i < kErrorCount; ++i) {
    const auto error = static_cast<Error>(i);
    std::string row = "| `";
    row.append(NameOf(error))
        .append("` | ")
        .append(std::to_string(10 + i))
        .append(" | ")
        .append(WhatToDo(error));
    EXPECT_NE(page.find(row), std::string::npos) << row;
  }
}

}  // namespace
}  // namespace burlfall::owner
