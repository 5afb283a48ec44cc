#include "links/link_shedding.h"

#include <gtest/gtest.h>

namespace burlfall {
namespace {

using Doing = LinkStanding::Doing;
constexpr int64_t kMilli = 1000;

TEST(WhoMakesRoom, TheSilentFirstThenHalfQueriesThenTheIdleEachByHowLongItStalled) {
  const std::vector<LinkStanding> links = {{Doing::kIdle, 9000 * kMilli},  {Doing::kHalf, 700 * kMilli},
                                           {Doing::kSilent, 300 * kMilli}, {Doing::kHalf, 1500 * kMilli},
                                           {Doing::kSilent, 400 * kMilli}, {Doing::kIdle, 1000 * kMilli}};
  EXPECT_EQ(WhoMakesRoom(links, 99), (std::vector<size_t>{4, 2, 3, 1, 0, 5}));
  EXPECT_EQ(WhoMakesRoom(links, 2), (std::vector<size_t>{4, 2}));
  EXPECT_TRUE(WhoMakesRoom(links, 0).empty());
}

TEST(WhoMakesRoom, NoneThatMayWellGoOn) {
  const std::vector<LinkStanding> links = {{Doing::kBusy, 60000 * kMilli},
                                           {Doing::kSilent, 249 * kMilli},
                                           {Doing::kHalf, 599 * kMilli},  // a slow writer, between two pieces
                                           {Doing::kIdle, 999 * kMilli}};
  EXPECT_TRUE(WhoMakesRoom(links, 99).empty());
}

}  // namespace
}  // namespace burlfall
