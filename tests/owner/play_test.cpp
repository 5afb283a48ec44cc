// Simulates owners on random schedules and checks their histories; injected faults must be found.
#include <gtest/gtest.h>

#include "lab/council_judge/simulation.h"

namespace burlfall::lab {
namespace {

TEST(OwnerPlay, NoInvariantIsBrokenAndAllEventsOccur) {
  SimulationResult sum;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    // Up to the drift answer_timeout and twice as far, since epochs don't depend on clocks.
    options.clock_drift = seed % 2 == 0 ? options.drift_bound : 2 * options.drift_bound;
    const SimulationResult result = SimulateOwners(options);
    for (const Violation& violation : CheckHistory(result.history, result.facts)) {
      ADD_FAILURE() << "seed " << seed << ", invariant " << violation.invariant << ": " << violation.what;
    }
    sum.grants += result.grants;
    sum.acts_accepted += result.acts_accepted;
    sum.fenced += result.fenced;
    sum.pauses += result.pauses;
    sum.crashes += result.crashes;
  }
  EXPECT_GT(sum.grants, 3000u);
  EXPECT_GT(sum.acts_accepted, 20000u);
  EXPECT_GT(sum.fenced, 500u);
  EXPECT_GT(sum.pauses, 1000u);
  EXPECT_GT(sum.crashes, 1000u);
}

struct Case {
  OwnerFault fault;
  uint64_t seeds;  // number of seeds within which it is found
  int invariant;
};
class PlantedInOwners : public ::testing::TestWithParam<Case> {};

TEST_P(PlantedInOwners, IsFound) {
  for (uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    const SimulationResult result = SimulateOwners(options, GetParam().fault);
    const std::vector<Violation> violation = CheckHistory(result.history, result.facts);
    if (violation.empty()) continue;
    EXPECT_EQ(violation[0].invariant, GetParam().invariant) << violation[0].what;
    return;
  }
  ADD_FAILURE() << "not within " << GetParam().seeds << " seeds";
}

INSTANTIATE_TEST_SUITE_P(
    Faults, PlantedInOwners,
    ::testing::Values(Case{OwnerFault::kAcceptsEveryEpoch, 5, 1}, Case{OwnerFault::kForgetsEpochs, 20, 1},
                      Case{OwnerFault::kAcceptsBeforeWrite, 100, 1},
                      Case{OwnerFault::kIgnoresFailedWrite, 200, 1}, Case{OwnerFault::kStaleRead, 20, 1},
                      Case{OwnerFault::kNoFloor, 5, 1}, Case{OwnerFault::kExecutesFencedAct, 5, 2},
                      Case{OwnerFault::kTreatsDamagedAsEmpty, 100, 1}),
    [](const auto& tested) { return std::string(NameOf(tested.param.fault)); });

}  // namespace
}  // namespace burlfall::lab
