// The link budget: how many links a descriptor limit allows.
#include "links/budget.h"

#include <gtest/gtest.h>

namespace burlfall {
namespace {

// Small limits were once treated as 64 descriptors, so that links exceeded the limit of a small deployment.
TEST(LinkBudget, LimitsBelow64DescriptorsAreRespected) {
  LinkBudget budget;
  for (const size_t descriptors : {16, 24, 48, 63}) {
    budget.SetDescriptors(descriptors);
    EXPECT_LE(budget.max_links() + budget.spare(), descriptors);
    EXPECT_GE(budget.max_links(), descriptors / 2);
  }
}

TEST(LinkBudget, ReservedDescriptorsAreNotForLinks) {
  LinkBudget budget;
  budget.SetDescriptors(1024, 100);
  EXPECT_EQ(budget.max_links(), 1024 - 100 - LinkBudget::kSpareDescriptors);
  budget.SetDescriptors(48, 40);
  EXPECT_EQ(budget.max_links(), 4u);
  budget.SetDescriptors(16, 40);
  EXPECT_EQ(budget.max_links(), 0u);
}

}  // namespace
}  // namespace burlfall
