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

TEST(ByteBudget, SmallMessagesCostNothingAndAReservationCanBeHandedOver) {
  ByteBudget budget(8000, 8000);
  ByteBudget::Share request(budget);
  EXPECT_TRUE(request.Resize(ByteBudget::kFreeBytes));
  EXPECT_EQ(budget.used(), 0u);
  EXPECT_TRUE(request.Resize(ByteBudget::kFreeBytes + 5000));
  EXPECT_FALSE(request.Resize(ByteBudget::kFreeBytes + 8001));
  EXPECT_EQ(request.held(), 5000u);
  {
    const ByteBudget::Share payload = request.Take(4000);
    EXPECT_EQ(payload.held(), 4000u);
    EXPECT_EQ(budget.used(), 5000u);
  }
  EXPECT_EQ(budget.used(), 1000u);
  budget.SetTotal(500);  // less than is held: nothing more fits, and what is held may shrink
  EXPECT_EQ(budget.available(), 0u);
  EXPECT_FALSE(request.Resize(ByteBudget::kFreeBytes + 1001));
  EXPECT_TRUE(request.Resize(0));
  EXPECT_EQ(budget.available(), 500u);
}

}  // namespace
}  // namespace burlfall
