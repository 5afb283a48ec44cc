// Small random fleets, generated from seeds, are simulated and checked. The same is done with faults injected
// into the rules, each of which the checker must find.
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <string>

#include "lab/ejection_world/fleet.h"

namespace burlfall::ejection_world {
namespace {

using InjectedFaults = ejection::Rules::InjectedFaults;

uint64_t Seeds() {
  const char* many = std::getenv("EJECTION_SEEDS");
  return many != nullptr ? std::strtoull(many, nullptr, 10) : 150;
}

TEST(World, NoSeedBreaksTheInvariant) {
  uint64_t ejections = 0, paths = 0, suspects = 0, incidents = 0, refused = 0, held = 0, classes = 0;
  for (uint64_t seed = 1; seed <= Seeds(); ++seed) {
    const Results results = Simulate(RandomPlan(seed));
    for (const std::string& violation : results.violations)
      ADD_FAILURE() << "seed " << seed << ": " << violation;
    EXPECT_FALSE(results.replicas_differ) << "seed " << seed;
    ejections += results.ejections;
    paths += results.paths;
    suspects += results.suspects;
    incidents += results.incidents;
    refused += results.refused;
    held += results.held;
    classes += results.classes;
  }
  // Without these a simulation in which nothing happens would pass as well.
  EXPECT_GT(ejections, Seeds() / 4);
  EXPECT_GT(paths, 0u);
  EXPECT_GT(suspects, 0u);
  EXPECT_GT(incidents, 0u);
  EXPECT_GT(refused, 0u);
  EXPECT_GT(held, 0u);
  EXPECT_GT(classes, 0u);
}

struct Fault {
  const char* name;
  uint64_t seeds;  // number of seeds within which the fault must be found
  std::function<void(InjectedFaults&)> inject;
};
void PrintTo(const Fault& fault, std::ostream* to) { *to << fault.name; }

class Faults : public testing::TestWithParam<Fault> {};

TEST_P(Faults, AreFound) {
  const uint64_t seeds = std::getenv("EJECTION_SEEDS") != nullptr ? Seeds() : GetParam().seeds;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    Plan plan = RandomPlan(seed);
    GetParam().inject(plan.rules.injected);
    const Results results = Simulate(plan);
    if (results.violations.empty()) continue;
    RecordProperty("found_at", static_cast<int>(seed));
    std::printf("%s: seed %d, %s\n", GetParam().name, static_cast<int>(seed), results.violations[0].c_str());
    return;
  }
  FAIL() << "not found in " << seeds << " seeds";
}

INSTANTIATE_TEST_SUITE_P(
    Planted, Faults,
    testing::Values(Fault{"CountsTwice", 200, [](InjectedFaults& p) { p.counts_twice = true; }},
                    Fault{"OldLife", 200, [](InjectedFaults& p) { p.old_incarnation = true; }},
                    Fault{"SuspectsCount", 200, [](InjectedFaults& p) { p.suspects_count = true; }},
                    Fault{"ZonesIgnored", 200, [](InjectedFaults& p) { p.zones_ignored = true; }},
                    Fault{"GoodsIgnored", 200, [](InjectedFaults& p) { p.good_reports_ignored = true; }},
                    Fault{"CapForgotten", 200, [](InjectedFaults& p) { p.cap_reset_by_new_owner = true; }},
                    Fault{"CapIgnored", 200, [](InjectedFaults& p) { p.cap_ignored = true; }},
                    Fault{"NeverEnds", 200, [](InjectedFaults& p) { p.terms_never_end = true; }},
                    Fault{"LastHost", 200, [](InjectedFaults& p) { p.last_host_ejected = true; }},
                    Fault{"NumbersBelieved", 200,
                          [](InjectedFaults& p) { p.invalid_numbers_accepted = true; }}),
    [](const auto& about) { return about.param.name; });

}  // namespace
}  // namespace burlfall::ejection_world
