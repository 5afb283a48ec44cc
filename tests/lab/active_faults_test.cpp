// Tests of ActiveFaults and SeparatedByCut().
#include "lab/site/active_faults.h"

#include <gtest/gtest.h>

namespace burlfall::lab {
namespace {

using enum FaultKind;

TEST(Overlaps, ANodeRecoversWhenTheLastOfItsFaultsEnds) {
  ActiveFaults faults;
  faults.Begin(kSilentNodes, 3, 0, 1);
  faults.Begin(kSilentNodes, 3, 1, 1);
  faults.End(kSilentNodes, 3, 0);
  faults.End(kSilentNodes, 3, 0);  // ending it again has no effect
  EXPECT_TRUE(faults.IsActive(kSilentNodes, 3));
  EXPECT_FALSE(faults.IsActive(kSilentNodes, 2));
  EXPECT_FALSE(faults.IsActive(kFastErrors, 3));
  faults.End(kSilentNodes, 3, 1);
  EXPECT_FALSE(faults.IsActive(kSilentNodes, 3));
}

TEST(Overlaps, TheWorstSizeCountsAndTheEndOfAnInactiveFaultIsIgnored) {
  ActiveFaults faults;
  faults.End(kSlowNodes, 1, 9);
  EXPECT_EQ(faults.Worst(kSlowNodes, 1, 1, true), 1);
  faults.Begin(kSlowNodes, 1, 0, 0.5);
  faults.Begin(kSlowNodes, 1, 1, 0.2);
  faults.Begin(kSlowNodes, 2, 1, 0.2);
  EXPECT_EQ(faults.Worst(kSlowNodes, 1, 1, true), 0.2);
  EXPECT_EQ(faults.Worst(kSlowNodes, 1, 1), 0.5);
  faults.End(kSlowNodes, 1, 1);
  EXPECT_EQ(faults.Worst(kSlowNodes, 1, 1, true), 0.5);
  EXPECT_EQ(faults.Targets(kSlowNodes), (std::vector<int>{1, 2}));
}

TEST(Overlaps, ACutSeparatesAZoneFromAllOthersButNotFromItself) {
  EXPECT_TRUE(SeparatedByCut({1}, 0, 1));
  EXPECT_TRUE(SeparatedByCut({1}, 1, 0));
  EXPECT_FALSE(SeparatedByCut({1}, 1, 1));
  EXPECT_FALSE(SeparatedByCut({1}, 0, 2));
  EXPECT_TRUE(SeparatedByCut({1, 2}, 2, 0));
  EXPECT_FALSE(SeparatedByCut({}, 0, 1));
}

}  // namespace
}  // namespace burlfall::lab
