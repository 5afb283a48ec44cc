// Simulates changes on random schedules and checks their histories; injected faults must be found.
#include <gtest/gtest.h>

#include "lab/council_judge/simulation.h"

namespace burlfall::lab {
namespace {

TEST(ChangePlay, NoInvariantIsBrokenAndAllEventsOccur) {
  SimulationResult sum;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    constexpr double kLosses[] = {0.05, 0.2, 0.4};
    options.loss = kLosses[seed % 3];
    options.answer_timeout = 30 * kSecond;
    const SimulationResult result = SimulateChanges(options);
    for (const Violation& violation : CheckHistory(result.history, result.facts)) {
      ADD_FAILURE() << "seed " << seed << ", invariant " << violation.invariant << ": " << violation.what;
    }
    sum.changes += result.changes;
    sum.abandoned += result.abandoned;
    sum.taken_over += result.taken_over;
    sum.steps += result.steps;
    sum.enforced_after_wait += result.enforced_after_wait;
    sum.overrides += result.overrides;
    sum.emergencies += result.emergencies;
    sum.leaders += result.leaders;
    sum.pauses += result.pauses;
    sum.crashes += result.crashes;
  }
  EXPECT_GT(sum.changes, 2000u);
  EXPECT_GT(sum.abandoned, 500u);
  EXPECT_GT(sum.taken_over, 200u);
  EXPECT_GT(sum.steps, 2000u);
  EXPECT_GT(sum.enforced_after_wait, 100u);
  EXPECT_GT(sum.overrides, 30u);
  EXPECT_GT(sum.emergencies, 100u);
  EXPECT_GT(sum.leaders, 500u);
  EXPECT_GT(sum.pauses, 1000u);
  EXPECT_GT(sum.crashes, 300u);
}

struct Case {
  FreezeFault fault;
  uint64_t seeds;  // number of seeds within which it is found
  int invariant;
  double clock_drift = 0.1;  // clock drift, and the answer_timeout that the settings name
};
class PlantedInChanges : public ::testing::TestWithParam<Case> {};

TEST_P(PlantedInChanges, IsFound) {
  for (uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.drift_bound = options.clock_drift = GetParam().clock_drift;
    const SimulationResult result = SimulateChanges(options, GetParam().fault);
    for (const Violation& violation : CheckHistory(result.history, result.facts)) {
      if (violation.invariant == GetParam().invariant) return;
    }
  }
  ADD_FAILURE() << "not within " << GetParam().seeds << " seeds";
}

INSTANTIATE_TEST_SUITE_P(
    Faults, PlantedInChanges,
    ::testing::Values(
        Case{FreezeFault::kEnforcedBeforeGrantsEnd, 20, 3}, Case{FreezeFault::kByKindOnly, 5, 4},
        Case{FreezeFault::kAppliesStaleExpiry, 20, 4}, Case{FreezeFault::kGrantsInIncident, 5, 3},
        Case{FreezeFault::kEpochPerChange, 5, 1}, Case{FreezeFault::kExpiredChangeStaysOpen, 5, 4},
        Case{FreezeFault::kLeaseStartsAtAnswer, 20, 4}, Case{FreezeFault::kIgnoresDrift, 20, 4},
        Case{FreezeFault::kNewLeaderExpiresLeases, 5, 4}, Case{FreezeFault::kStepIgnoresLease, 20, 3},
        Case{FreezeFault::kStepOutlivesLease, 20, 4}, Case{FreezeFault::kEmergencyNotReported, 5, 3},
        Case{FreezeFault::kAllowsAnyEmergency, 5, 3}),
    [](const auto& tested) { return std::string(NameOf(tested.param.fault)); });

}  // namespace
}  // namespace burlfall::lab
