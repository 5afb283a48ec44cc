// Clusters of minds on a virtual clock: the shipped scenarios and seeds of drawn ones; and each mechanism
// taken away, which must make the scenario fail that it is for.
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

Scenario Shipped(const std::string& name, int members, double length_s = 0) {
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

uint64_t Broken(const Scenario& scenario, uint64_t seeds, const cluster::Options& rules = {}) {
  uint64_t broken = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const MemberVerdict verdict = VirtualMembers(scenario, seed, rules).Play();
    if (verdict.broken_count > 0 && ++broken < 3) {
      for (const std::string& line : verdict.broken)
        std::printf("seed %d: %s\n", static_cast<int>(seed), line.c_str());
    }
  }
  return broken;
}

TEST(Members, ShippedScenariosAreKeptOnTheVirtualClock) {
  EXPECT_EQ(Broken(Shipped("killed-fifth", 40), 10), 0u);
  EXPECT_EQ(Broken(Shipped("cut-deaf", 40), 10), 0u);
  EXPECT_EQ(Broken(Shipped("cut-mute", 40), 10), 0u);
  EXPECT_EQ(Broken(Shipped("halves-1", 40), 10), 0u);
  EXPECT_EQ(Broken(Shipped("ci-faults", 24), 10), 0u);
  EXPECT_EQ(Broken(Shipped("ci-lossy", 24), 10), 0u);
  EXPECT_EQ(Broken(Shipped("lossy-20", 30, 60), 2), 0u);
  EXPECT_EQ(Broken(Shipped("paused-2", 30, 60), 2), 0u);
  EXPECT_EQ(Broken(Shipped("cut-third", 30, 60), 2), 0u);
}

TEST(Members, WithoutEachOfItsMechanismsANamedScenarioFails) {
  auto without = [](bool cluster::Options::*what) {
    cluster::Options rules;
    rules.*what = false;
    return rules;
  };
  EXPECT_GT(Broken(Shipped("cut-deaf", 30), 3, without(&cluster::Options::require_second_observer)), 0u);
  EXPECT_GT(Broken(Shipped("cut-mute", 30), 3, without(&cluster::Options::indirect_pings)), 0u);
  EXPECT_GT(Broken(Shipped("halves-1", 30), 3, without(&cluster::Options::refutation)), 0u);
  EXPECT_GT(Broken(Shipped("killed-one", 30), 3, without(&cluster::Options::incarnations)), 0u);
  EXPECT_GT(Broken(Shipped("paused-2", 30, 120), 2, without(&cluster::Options::suspicion)), 0u);
  EXPECT_GT(Broken(Shipped("bad-start", 60), 10, without(&cluster::Options::full_sync)), 0u);
}

// MORE: so many more seeds, where the environment asks for them.
TEST(Members, AfterDrawnFaultsAllViewsComeTogetherAndNobodyAccusesFromItsOwnPause) {
  const char* more = std::getenv("MORE");
  const uint64_t seeds = 40 + (more != nullptr ? std::strtoull(more, nullptr, 10) : 0);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const Scenario scenario = DrawScenario(seed);
    const MemberVerdict verdict = VirtualMembers(scenario, seed, {}).Play();
    EXPECT_EQ(verdict.broken_count, 0u)
        << "seed " << seed << ": " << (verdict.broken.empty() ? "" : verdict.broken[0]);
  }
}

TEST(Members, EveryShippedScenarioReadsAndDraws) {
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIOS)) {
    const Loaded<Scenario> loaded =
        ScenarioSchema().Parse(entry.path().string(), TextOf(entry.path().string()));
    ASSERT_TRUE(loaded.value.has_value()) << loaded.errors.at(0).Line();
    const MemberPlan plan = DrawMembers(*loaded.value, loaded.value->seed);
    EXPECT_LT(plan.settled_at, static_cast<Micros>(loaded.value->length_s * 1e6)) << entry.path();
  }
}

TEST(Members, TheSameSeedGivesTheSameCourse) {
  const Scenario scenario = Shipped("ci-lossy", 24);
  const MemberVerdict one = VirtualMembers(scenario, 3, {}).Play(),
                      two = VirtualMembers(scenario, 3, {}).Play();
  EXPECT_EQ(one.suspicions, two.suspicions);
  EXPECT_EQ(one.known.worst, two.known.worst);
}

TEST(ClusterSettings, TheShippedFileReadsAndSlipsAreNamed) {
  const Loaded<ClusterSettings> shipped =
      ParseCluster("cluster.toml", TextOf(std::string(DEPLOY) + "/cluster.toml"));
  ASSERT_TRUE(shipped.value.has_value());
  EXPECT_EQ(shipped.value->seeds.size(), 2u);
  auto slip = [](const std::string& text) {
    const Loaded<ClusterSettings> loaded = ParseCluster("c.toml", text);
    return loaded.errors.empty() ? std::string() : loaded.errors[0].Line();
  };
  EXPECT_NE(slip("listen = \"127.0.0.1:1\"\n").find("site"), std::string::npos);
  EXPECT_NE(slip("site = \"s\"\nlisten = \"nowhere\"\n").find("listen"), std::string::npos);
  EXPECT_NE(slip("site = \"s\"\nlisten = \"127.0.0.1:1\"\nseeds = [\"x\"]\n").find("seeds[0]"),
            std::string::npos);
  EXPECT_NE(slip("site = \"s\"\nlisten = \"127.0.0.1:1\"\nperiods_ms = 5\n").find("period_ms"),
            std::string::npos);
}

}  // namespace
}  // namespace burlfall::lab
