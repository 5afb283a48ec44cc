// Tests of the load that all balancers together cause, per process and per second, and of the missed goals.
#include "lab/judge/fleet_tally.h"

#include <gtest/gtest.h>

namespace burlfall::lab {
namespace {

constexpr Micros kBegin = 1'700'000'000 * kSecond;

Micros At(double s) { return kBegin + static_cast<Micros>(s * kSecond); }

TEST(FleetTally, CountsEachProcessUntilItsListAndEachSecond) {
  FleetGoals goals;
  goals.listed_within_s = 3;
  goals.calls_each = 1.2;
  goals.calls_per_s = 1;
  goals.nobody_without = true;
  FleetTally tally(goals, {"b1", "b2", "b3"}, kBegin);
  for (int b = 0; b < 3; ++b) tally.BalancerStarting(b, At(0.1));
  tally.ListCall(0, false, At(0.2));
  tally.ListCallEnded(0, false, ListEnd::kListed, 1, At(0.3));
  tally.ListCall(0, true, At(1.2));  // a watch; it already has its list
  tally.ListCall(1, false, At(1.3));
  tally.ListCallEnded(1, false, ListEnd::kRefused, 1, At(1.4));
  tally.ListCall(1, false, At(4.3));
  tally.ListCallEnded(1, false, ListEnd::kListed, 1, At(4.5));
  for (int i = 0; i < 4; ++i) tally.HandshakeAt(i < 3 ? 7 : 2, 0, At(4.6));
  const FleetResult result = tally.Finish(At(6));
  EXPECT_EQ(result.lives, 3u);
  EXPECT_EQ(result.listed, 2u);
  EXPECT_NEAR(result.listed_within_s, 4.4, 1e-6);
  EXPECT_DOUBLE_EQ(result.calls_each, 1);
  EXPECT_EQ(result.most_calls_each, 2u);
  EXPECT_EQ(result.most_calls_per_s, 2u);
  EXPECT_EQ(result.most_handshakes, 3u);
  EXPECT_EQ(result.list_calls, (std::vector<uint64_t>{1, 1, 0, 0, 1, 0, 0}));
  EXPECT_EQ(result.watch_calls, (std::vector<uint64_t>{0, 1, 0, 0, 0, 0, 0}));
  EXPECT_EQ(result.refusals, (std::vector<uint64_t>{0, 1, 0, 0, 0, 0, 0}));
  EXPECT_EQ(result.without_list, (std::vector<uint64_t>{2, 2, 2, 2, 1, 1, 1}));
  ASSERT_EQ(result.missed.size(),
            4u);  // one listed late, one never, two calls in a second, one without a list at the end
}

TEST(FleetTally, AProcessThatTheScriptEndedWithoutAListDoesNotCount) {
  FleetGoals goals;
  goals.listed_within_s = 3;
  FleetTally tally(goals, {"b1"}, kBegin);
  tally.BalancerStarting(0, At(0));
  tally.BalancerDown(0, At(1), false);
  tally.BalancerStarting(0, At(2));
  tally.ListCall(0, false, At(2.5));
  tally.ListCallEnded(0, false, ListEnd::kListed, 1, At(3));
  const FleetResult result = tally.Finish(At(4));
  EXPECT_EQ(result.lives, 1u);
  EXPECT_NEAR(result.listed_within_s, 1, 1e-6);
  EXPECT_TRUE(result.missed.empty());
  EXPECT_EQ(result.each.size(), 2u);
}

}  // namespace
}  // namespace burlfall::lab
