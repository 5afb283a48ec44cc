// Simulates owners on random schedules and checks their histories; injected faults must be found.
#include "lab/council_judge/simulation.h"

#include <gtest/gtest.h>

namespace burlfall::lab {
namespace {

TEST(OwnerPlay, NoInvariantIsBrokenAndAllEventsOccur) {
  Played sum;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    PlayOptions options;
    options.seed = seed;
    // Up to the drift bound and twice as far, since epochs don't depend on clocks.
    options.apart = seed % 2 == 0 ? options.drift : 2 * options.drift;
    const Played played = PlayOwners(options);
    for (const Broken& broken : JudgeCouncil(played.history, played.facts)) {
      ADD_FAILURE() << "seed " << seed << ", invariant " << broken.invariant << ": " << broken.what;
    }
    sum.grants += played.grants;
    sum.obeyed += played.obeyed;
    sum.fenced += played.fenced;
    sum.pauses += played.pauses;
    sum.deaths += played.deaths;
  }
  EXPECT_GT(sum.grants, 3000u);
  EXPECT_GT(sum.obeyed, 20000u);
  EXPECT_GT(sum.fenced, 500u);
  EXPECT_GT(sum.pauses, 1000u);
  EXPECT_GT(sum.deaths, 1000u);
}

struct Case {
  OwnerFault fault;
  uint64_t seeds;  // number of seeds within which it is found
  int invariant;
};
class PlantedInOwners : public ::testing::TestWithParam<Case> {};

TEST_P(PlantedInOwners, IsFound) {
  for (uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
    PlayOptions options;
    options.seed = seed;
    const Played played = PlayOwners(options, GetParam().fault);
    const std::vector<Broken> broken = JudgeCouncil(played.history, played.facts);
    if (broken.empty()) continue;
    EXPECT_EQ(broken[0].invariant, GetParam().invariant) << broken[0].what;
    return;
  }
  ADD_FAILURE() << "not within " << GetParam().seeds << " seeds";
}

INSTANTIATE_TEST_SUITE_P(
    Faults, PlantedInOwners,
    ::testing::Values(Case{OwnerFault::kNoCheck, 5, 1}, Case{OwnerFault::kForgets, 20, 1},
                      Case{OwnerFault::kObeysUnwritten, 100, 1}, Case{OwnerFault::kFailedIsWritten, 200, 1},
                      Case{OwnerFault::kStaleRead, 20, 1}, Case{OwnerFault::kNoFloor, 5, 1},
                      Case{OwnerFault::kEffectsOfFenced, 5, 2}, Case{OwnerFault::kDamagedIsEmpty, 100, 1}),
    [](const auto& tested) { return std::string(NameOf(tested.param.fault)); });

}  // namespace
}  // namespace burlfall::lab
