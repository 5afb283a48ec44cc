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

// Its links are asked to close, and close later.
class SlowHolder final : public LinkHolder {
 public:
  size_t open() const override { return links; }
  bool ReleaseIdle(size_t) override { return true; }
  size_t links = 0;
};

TEST(LinkBudget, LinksThatWereAskedToCloseStillCountSoThatTheDescriptorsAreNotExceeded) {
  LinkBudget budget;
  budget.SetDescriptors(1024);
  SlowHolder holder;
  budget.Add(holder);
  while (holder.links < 5000 && budget.EnsureCapacity()) ++holder.links;
  EXPECT_GE(holder.links, budget.max_links());
  EXPECT_LT(holder.links, 1024u);
}

}  // namespace
}  // namespace burlfall
