// Simulated clusters with faults generated from seeds. BURLFALL_SEEDS=1..10000 selects other seeds
// than the default.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "lab/council_world/consensus_simulation.h"

namespace burlfall::lab {
namespace {

TEST(Seeds, InvariantsHoldUnderRandomFaults) {
  uint64_t first = 1, last = 200;
  if (const char* seeds = std::getenv("BURLFALL_SEEDS")) {
    const std::string text(seeds);
    first = std::stoull(text);
    last = std::stoull(text.substr(text.find("..") + 2));
  }
  uint64_t acknowledged = 0, reads = 0, leaders = 0, faults = 0;
  for (uint64_t seed = first; seed <= last; ++seed) {
    const ConsensusVerdict verdict = RunRandomScenario(seed);
    for (const std::string& one : verdict.violations) ADD_FAILURE() << "seed " << seed << ": " << one;
    acknowledged += verdict.acknowledged;
    reads += verdict.reads;
    leaders += verdict.leaders;
    faults += verdict.faults;
  }
  std::printf("seeds %llu..%llu: %llu faults, %llu leaders, %llu acknowledged, %llu reads\n",
              static_cast<unsigned long long>(first), static_cast<unsigned long long>(last),
              static_cast<unsigned long long>(faults), static_cast<unsigned long long>(leaders),
              static_cast<unsigned long long>(acknowledged), static_cast<unsigned long long>(reads));
}

}  // namespace
}  // namespace burlfall::lab
