// The byte budget: the limits for one message and for all messages together.
#include "links/byte_budget.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace burlfall {
namespace {

TEST(ByteBudget, OneMessageHoldsAtMostAnEighthAndAllNoMoreThanTheTotal) {
  ByteBudget budget(800);
  ByteBudget::Share one(budget);
  EXPECT_TRUE(one.Grow(60));
  EXPECT_FALSE(one.Grow(41));
  EXPECT_TRUE(one.Grow(40));
  EXPECT_EQ(budget.available(), 700u);
  {
    std::vector<std::unique_ptr<ByteBudget::Share>> others;
    for (int i = 0; i < 7; ++i) {
      others.push_back(std::make_unique<ByteBudget::Share>(budget));
      EXPECT_TRUE(others.back()->Grow(100));
    }
    ByteBudget::Share last(budget);
    EXPECT_FALSE(last.Grow(1));
    EXPECT_EQ(last.held(), 0u);
    one.Clear();
    EXPECT_TRUE(last.Grow(100));
  }
  EXPECT_EQ(budget.available(), 800u);
}

}  // namespace
}  // namespace burlfall
