// Simulates changes on random schedules and checks their histories; injected faults must be found.
#include "lab/council_judge/simulation.h"

#include <gtest/gtest.h>

namespace burlfall::lab {
namespace {

TEST(ChangePlay, NoInvariantIsBrokenAndAllEventsOccur) {
  Played sum;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    PlayOptions options;
    options.seed = seed;
    constexpr double kLosses[] = {0.05, 0.2, 0.4};
    options.loss = kLosses[seed % 3];
    options.bound = 30 * kSecond;
    const Played played = PlayChanges(options);
    for (const Broken& broken : JudgeCouncil(played.history, played.facts)) {
      ADD_FAILURE() << "seed " << seed << ", invariant " << broken.invariant << ": " << broken.what;
    }
    sum.changes += played.changes;
    sum.abandoned += played.abandoned;
    sum.taken += played.taken;
    sum.steps += played.steps;
    sum.yes_waited += played.yes_waited;
    sum.glass += played.glass;
    sum.emergencies += played.emergencies;
    sum.leaders += played.leaders;
    sum.pauses += played.pauses;
    sum.deaths += played.deaths;
  }
  EXPECT_GT(sum.changes, 2000u);
  EXPECT_GT(sum.abandoned, 500u);
  EXPECT_GT(sum.taken, 200u);
  EXPECT_GT(sum.steps, 2000u);
  EXPECT_GT(sum.yes_waited, 100u);
  EXPECT_GT(sum.glass, 30u);
  EXPECT_GT(sum.emergencies, 100u);
  EXPECT_GT(sum.leaders, 500u);
  EXPECT_GT(sum.pauses, 1000u);
  EXPECT_GT(sum.deaths, 300u);
}

struct Case {
  FreezeFault fault;
  uint64_t seeds;  // number of seeds within which it is found
  int invariant;
  double apart = 0.1;  // clock drift, and the bound that the settings name
};
class PlantedInChanges : public ::testing::TestWithParam<Case> {};

TEST_P(PlantedInChanges, IsFound) {
  for (uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
    PlayOptions options;
    options.seed = seed;
    options.drift = options.apart = GetParam().apart;
    const Played played = PlayChanges(options, GetParam().fault);
    for (const Broken& broken : JudgeCouncil(played.history, played.facts)) {
      if (broken.invariant == GetParam().invariant) return;
    }
  }
  ADD_FAILURE() << "not within " << GetParam().seeds << " seeds";
}

INSTANTIATE_TEST_SUITE_P(
    Faults, PlantedInChanges,
    ::testing::Values(Case{FreezeFault::kYesAtOnce, 20, 3}, Case{FreezeFault::kByKindOnly, 5, 4},
                      Case{FreezeFault::kStaleRunOut, 20, 4}, Case{FreezeFault::kGrantsInIncident, 5, 3},
                      Case{FreezeFault::kEpochReused, 5, 1}, Case{FreezeFault::kTwoEnds, 5, 4},
                      Case{FreezeFault::kLeaseFromAnswer, 20, 4}, Case{FreezeFault::kNoDrift, 20, 4},
                      Case{FreezeFault::kNotAnew, 5, 4}, Case{FreezeFault::kNoLook, 20, 3},
                      Case{FreezeFault::kGoesOn, 20, 4}, Case{FreezeFault::kEmergencyNotTold, 5, 3},
                      Case{FreezeFault::kAnyEmergency, 5, 3}),
    [](const auto& tested) { return std::string(NameOf(tested.param.fault)); });

}  // namespace
}  // namespace burlfall::lab
