// Tests of the choice of links to close when descriptors are needed.
#include <gtest/gtest.h>

#include "links/link_shedding.h"

namespace burlfall {
namespace {

using Activity = LinkStatus::Activity;
constexpr int64_t kMilli = 1000;

TEST(WhoMakesRoom, LinksWithoutAQueryThenPartialQueriesThenIdleEachLongestStalledFirst) {
  const std::vector<LinkStatus> links = {
      {Activity::kIdle, 9000 * kMilli},      {Activity::kPartialQuery, 700 * kMilli},
      {Activity::kNoQueryYet, 300 * kMilli}, {Activity::kPartialQuery, 1500 * kMilli},
      {Activity::kNoQueryYet, 400 * kMilli}, {Activity::kIdle, 1000 * kMilli}};
  EXPECT_EQ(ChooseLinksToClose(links, 99), (std::vector<size_t>{4, 2, 3, 1, 0, 5}));
  EXPECT_EQ(ChooseLinksToClose(links, 2), (std::vector<size_t>{4, 2}));
  EXPECT_TRUE(ChooseLinksToClose(links, 0).empty());
}

TEST(WhoMakesRoom, NoneThatIsBusyOrHasJustBeenActive) {
  const std::vector<LinkStatus> links = {
      {Activity::kBusy, 60000 * kMilli},
      {Activity::kNoQueryYet, 249 * kMilli},
      {Activity::kPartialQuery, 599 * kMilli},  // a slow sender, between two pieces
      {Activity::kIdle, 999 * kMilli}};
  EXPECT_TRUE(ChooseLinksToClose(links, 99).empty());
}

TEST(WhoFreesMemory, TheLongestStalledFirstAndNoMoreThanNeeded) {
  const std::vector<HeldRequestBytes> links = {{5000, 300 * kMilli},
                                               {9000, 249 * kMilli},  // still makes progress
                                               {3000, 900 * kMilli},
                                               {0, 2000 * kMilli},
                                               {4000, 500 * kMilli}};
  EXPECT_EQ(ChooseLinksToFree(links, 3000), (std::vector<size_t>{2}));
  EXPECT_EQ(ChooseLinksToFree(links, 3001), (std::vector<size_t>{2, 4}));
  EXPECT_EQ(ChooseLinksToFree(links, 99999), (std::vector<size_t>{2, 4, 0}));
}

}  // namespace
}  // namespace burlfall
