#include "links/budget.h"

#include <gtest/gtest.h>

namespace burlfall {
namespace {

// Guards the limit of a small deployment: links were counted as if there were 64 descriptors.
TEST(LinkBudget, FewDescriptorsAreCountedAsTheyAre) {
  LinkBudget budget;
  for (const size_t descriptors : {16, 24, 48, 63}) {
    budget.Allow(descriptors);
    EXPECT_LE(budget.most() + budget.spare(), descriptors);
    EXPECT_GE(budget.most(), descriptors / 2);
  }
}

TEST(LinkBudget, WhatIsReservedIsNoLinks) {
  LinkBudget budget;
  budget.Allow(1024, 100);
  EXPECT_EQ(budget.most(), 1024 - 100 - LinkBudget::kSpare);
  budget.Allow(48, 40);
  EXPECT_EQ(budget.most(), 4u);
  budget.Allow(16, 40);
  EXPECT_EQ(budget.most(), 0u);
}

}  // namespace
}  // namespace burlfall
