// Clusters of failure detectors on a virtual clock: the shipped scenarios and randomly generated ones. Each
// mechanism is also disabled in turn, which must make the scenario fail that the mechanism is for.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/cluster_settings.h"
#include "lab/members/drawn_scenario.h"
#include "lab/members/virtual_members.h"

namespace burlfall::lab {
namespace {

std::string TextOf(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

Scenario ShippedScenario(const std::string& name, int members, double length_s = 0) {
  const std::string path = std::string(SCENARIOS) + "/" + name + ".toml";
  const Loaded<Scenario> loaded = ScenarioSchema().Parse(path, TextOf(path));
  for (const ConfigError& error : loaded.errors) ADD_FAILURE() << error.Line();
  Scenario scenario = loaded.value.value_or(Scenario());
  scenario.members = members;
  if (length_s > 0) {
    for (MemberFault& fault : scenario.faults) {
      fault.for_s.low = std::min(fault.for_s.low, length_s - 20);
      fault.for_s.high = std::min(fault.for_s.high, length_s - 20);
      fault.until_s = std::min(fault.until_s, length_s - 20);
    }
    scenario.length_s = length_s;
  }
  return scenario;
}

uint64_t CountFailedSeeds(const Scenario& scenario, uint64_t seeds, const cluster::Options& options = {}) {
  uint64_t failed_seeds = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const MemberVerdict verdict = VirtualMembers(scenario, seed, options).Play();
    if (verdict.broken_count > 0 && ++failed_seeds < 3) {
      for (const std::string& line : verdict.broken)
        std::printf("seed %d: %s\n", static_cast<int>(seed), line.c_str());
    }
  }
  return failed_seeds;
}

TEST(Members, ShippedScenariosPassOnTheVirtualClock) {
  EXPECT_EQ(CountFailedSeeds(ShippedScenario("killed-fifth", 40), 10), 0u);
  EXPECT_EQ(CountFailedSeeds(ShippedScenario("cut-deaf", 40), 10), 0u);
  EXPECT_EQ(CountFailedSeeds(ShippedScenario("cut-mute", 40), 10), 0u);
  EXPECT_EQ(CountFailedSeeds(ShippedScenario("halves-1", 40), 10), 0u);
  EXPECT_EQ(CountFailedSeeds(ShippedScenario("ci-faults", 24), 10), 0u);
  EXPECT_EQ(CountFailedSeeds(ShippedScenario("ci-lossy", 24), 10), 0u);
  EXPECT_EQ(CountFailedSeeds(ShippedScenario("lossy-20", 30, 60), 2), 0u);
  EXPECT_EQ(CountFailedSeeds(ShippedScenario("paused-2", 30, 60), 2), 0u);
  EXPECT_EQ(CountFailedSeeds(ShippedScenario("cut-third", 30, 60), 2), 0u);
}

TEST(Members, WithoutEachMechanismANamedScenarioFails) {
  auto without = [](bool cluster::Options::*mechanism) {
    cluster::Options options;
    options.*mechanism = false;
    return options;
  };
  EXPECT_GT(CountFailedSeeds(ShippedScenario("cut-deaf", 30), 3,
                             without(&cluster::Options::require_second_observer)),
            0u);
  EXPECT_GT(CountFailedSeeds(ShippedScenario("cut-mute", 30), 3, without(&cluster::Options::indirect_pings)),
            0u);
  EXPECT_GT(CountFailedSeeds(ShippedScenario("halves-1", 30), 3, without(&cluster::Options::refutation)), 0u);
  EXPECT_GT(CountFailedSeeds(ShippedScenario("killed-one", 30), 3, without(&cluster::Options::incarnations)),
            0u);
  EXPECT_GT(CountFailedSeeds(ShippedScenario("paused-2", 30, 120), 2, without(&cluster::Options::suspicion)),
            0u);
  EXPECT_GT(CountFailedSeeds(ShippedScenario("bad-start", 60), 10, without(&cluster::Options::full_sync)),
            0u);
}

// The environment variable MORE gives a number of additional seeds.
TEST(Members, AfterRandomFaultsAllViewsConvergeAndPausesCauseNoSuspicions) {
  const char* more = std::getenv("MORE");
  const uint64_t seeds = 40 + (more != nullptr ? std::strtoull(more, nullptr, 10) : 0);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const Scenario scenario = DrawScenario(seed);
    const MemberVerdict verdict = VirtualMembers(scenario, seed, {}).Play();
    EXPECT_EQ(verdict.broken_count, 0u)
        << "seed " << seed << ": " << (verdict.broken.empty() ? "" : verdict.broken[0]);
  }
}

TEST(Members, EveryShippedScenarioParsesAndGivesAPlan) {
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIOS)) {
    const Loaded<Scenario> loaded =
        ScenarioSchema().Parse(entry.path().string(), TextOf(entry.path().string()));
    ASSERT_TRUE(loaded.value.has_value()) << loaded.errors.at(0).Line();
    const MemberPlan plan = DrawMembers(*loaded.value, loaded.value->seed);
    EXPECT_LT(plan.settled_at, static_cast<Micros>(loaded.value->length_s * 1e6)) << entry.path();
  }
}

TEST(Members, TheSameSeedGivesTheSameRun) {
  const Scenario scenario = ShippedScenario("ci-lossy", 24);
  const MemberVerdict one = VirtualMembers(scenario, 3, {}).Play(),
                      two = VirtualMembers(scenario, 3, {}).Play();
  EXPECT_EQ(one.suspicions, two.suspicions);
  EXPECT_EQ(one.known.worst, two.known.worst);
}

TEST(ClusterSettings, TheShippedFileParsesAndErrorsNameTheKey) {
  const Loaded<ClusterSettings> shipped =
      ParseCluster("cluster.toml", TextOf(std::string(DEPLOY) + "/cluster.toml"));
  ASSERT_TRUE(shipped.value.has_value());
  EXPECT_EQ(shipped.value->seeds.size(), 2u);
  auto first_error = [](const std::string& text) {
    const Loaded<ClusterSettings> loaded = ParseCluster("c.toml", text);
    return loaded.errors.empty() ? std::string() : loaded.errors[0].Line();
  };
  EXPECT_NE(first_error("listen = \"127.0.0.1:1\"\n").find("site"), std::string::npos);
  EXPECT_NE(first_error("site = \"s\"\nlisten = \"nowhere\"\n").find("listen"), std::string::npos);
  EXPECT_NE(first_error("site = \"s\"\nlisten = \"127.0.0.1:1\"\nseeds = [\"x\"]\n").find("seeds[0]"),
            std::string::npos);
  EXPECT_NE(first_error("site = \"s\"\nlisten = \"127.0.0.1:1\"\nperiods_ms = 5\n").find("period_ms"),
            std::string::npos);
}

}  // namespace
}  // namespace burlfall::lab
