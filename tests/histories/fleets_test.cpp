// Fleets on the virtual clock: up to a thousand instances of the complete program against the lab's list
// service, with faults generated from seeds. `burlfall lab fleet` runs the same with real processes.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <numeric>

#include "random_site.h"
#include "virtual_run.h"

namespace burlfall::lab {
namespace {

std::string ColdSite(int balancers, double calls_per_s, double length_s) {
  std::ostringstream out;
  out << "title = \"t\"\nlength_s = " << length_s << "\nsettle_s = 0.5\n[site]\nzones = [\"a\"]\n"
      << "[site.balancers]\ncount = " << balancers << "\nknow_list = false\nstart_s = [0, 0.1]\n"
      << "[site.discovery]\nlate_ms = [20, 60]\ncalls_per_s = " << calls_per_s
      << "\n[[site.nodes]]\nkind = \"n\"\ncount = 2\n[load]\nrate_per_s = 20\n[[classes]]\nname = \"look\"\n"
      << "work_ms = [2, 5]\n[start.list_service]\ncalls_per_s = " << calls_per_s << "\n";
  return out.str();
}

Experiment Read(const std::string& text) {
  Loaded<Experiment> loaded = ParseExperiment("fleet.toml", text);
  for (const auto& error : loaded.errors) ADD_FAILURE() << error.Line() << "\n" << text;
  return loaded.value.value_or(Experiment());
}

uint64_t Number(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

TEST(Fleets, CallsOfAStartAreProportionalToTheNumberOfBalancers) {
  for (const int count : {10, 100, 300, 1000}) {
    const double round_s = count / 50.0;
    const Experiment site = Read(ColdSite(count, 50, std::max(20.0, 3.5 * round_s)));
    const VirtualRun run = RunVirtually(site, 3);
    ASSERT_TRUE(run.completed) << run.failure;
    const FleetResult& fleet = run.verdict.fleet;
    EXPECT_EQ(fleet.listed, static_cast<uint64_t>(count));
    EXPECT_LE(fleet.calls_each, 1.05) << count;
    EXPECT_LE(fleet.most_calls_per_s, 50u) << count;
    EXPECT_LE(fleet.listed_within_s, std::max(0.5, (count <= 300 ? 1.5 : 3) * round_s)) << count;
    EXPECT_TRUE(run.verdict.rules_kept) << count;
  }
}

TEST(Fleets, WithoutStartSettingsTheSameFleetOverloadsTheListService) {
  Experiment site = Read(ColdSite(300, 50, 30));
  site.start.reset();
  const VirtualRun run = RunVirtually(site, 3);
  ASSERT_TRUE(run.completed) << run.failure;
  EXPECT_GT(run.verdict.fleet.most_calls_per_s, 50u);
  EXPECT_GT(run.verdict.fleet.without_list[9], 0u);
}

// A random mix of all faults of the list service and of kills of balancers. The environment variables SEED
// and SEEDS choose the first seed and the number of seeds.
std::string RandomFaults(uint64_t seed) {
  Stream64 random(seed, "fleet");
  const int balancers = 5 + random.Below(30);
  const double calls_per_s = balancers / random.Between({0.5, 6});
  std::ostringstream out;
  out << ColdSite(balancers, calls_per_s, 75);
  if (random.Chance(0.5)) out << "[start.saved_list]\nfolder = \"disk\"\nwrite_every_s = 0.5\n";
  const char* kinds[] = {"discovery-down", "discovery-busy",  "discovery-breaks",  "discovery-odd",
                         "discovery-slow", "list-calls-lost", "list-answers-lost", "balancers-killed"};
  for (int i = 2 + random.Below(5); i > 0; --i) {
    const std::string kind = kinds[random.Below(8)];
    const double at = random.Between({0, 12});
    out << "[[faults]]\nkind = \"" << kind << "\"\nat_s = [" << at << ", " << at << "]\nfor_s = [1, 8]\n";
    if (kind == "discovery-busy") out << "size = [0, 100]\n";
    if (kind == "discovery-breaks" || kind == "discovery-odd") out << "size = [0.1, 1]\n";
    if (kind == "discovery-slow") out << "size = [0.2, 1]\n";
    if (kind.starts_with("list-") || kind == "balancers-killed")
      out << "share = " << random.Between({0.1, 1}) << "\n";
    if (kind == "balancers-killed" && random.Chance(0.5)) out << "folder = \"empty\"\n";
  }
  return out.str();
}

TEST(Fleets, OnceFaultsAreOverEveryBalancerHasAList) {
  const uint64_t first = Number("SEED", 1), count = Number("SEEDS", 12);
  for (uint64_t seed = first; seed < first + count; ++seed) {
    const std::string text = RandomFaults(seed);
    const Experiment site = Read(text);
    const VirtualRun run = RunVirtually(site, seed);
    ASSERT_TRUE(run.completed) << "seed " << seed << ": " << run.failure << "\n" << text;
    const FleetResult& fleet = run.verdict.fleet;
    EXPECT_EQ(fleet.without_list.back(), 0u) << "seed " << seed << "\n" << text;
    for (const RuleResult& rule : run.verdict.rules) {
      for (const Finding& finding : rule.findings) {
        ADD_FAILURE() << "seed " << seed << ": " << rule.rule << ": " << finding.why << "\n" << text;
      }
    }
  }
}

// Sixty balancers start together with their nodes, which are all cold: one node is up at first, the others
// come up one by one.
TEST(Fleets, ColdNodesThatComeUpOneByOneAreNotOverloaded) {
  std::string text = ColdSite(60, 50, 40);
  text.replace(text.find("count = 2\n"), 10, "count = 6\ncold_share = [0.13, 0.2]\ncold_s = [15, 15]\n");
  text.replace(text.find("rate_per_s = 20"), 15, "rate_per_s = 120");
  Experiment site = Read(text);
  site.faults.push_back({.kind = FaultKind::kNodesRestarted, .at_s = {0, 0}, .names = {"n-1"}});
  for (int i = 2; i <= 6; ++i) {
    const double back = 4.0 * (i - 1);
    site.faults.push_back({.kind = FaultKind::kNodesGone,
                           .at_s = {0, 0},
                           .for_s = {back, back},
                           .names = {"n-" + std::to_string(i)}});
  }
  const VirtualRun run = RunVirtually(site, 5);
  ASSERT_TRUE(run.completed) << run.failure;
  EXPECT_EQ(run.verdict.fleet.fell, 0u);
  EXPECT_TRUE(run.verdict.rules_kept);
  // No balancer opens more than one connection to a node in any second, even if it is the only node.
  EXPECT_LE(run.verdict.fleet.most_handshakes, 60u);
  const Series& series = run.verdict.series;
  EXPECT_GE(series.in_time[38] * 20, series.asked[38] * 19);
}

// Guards against a wrong order of the two steps of a restart: if a node is started before its old process is
// ended, the new process is killed and the node never returns.
TEST(Site, NodesThatAreRestartedServeAgain) {
  Experiment site = Read(ColdSite(2, 50, 12));
  site.site.nodes[0].count = 4;
  site.site.nodes[0].cold_s = {1, 2};
  site.load.rate_per_s = 100;
  site.faults.push_back({.kind = FaultKind::kNodesRestarted, .at_s = {4, 4}, .share = 0.5});
  const VirtualRun run = RunVirtually(site, 3);
  ASSERT_TRUE(run.completed) << run.failure;
  for (const auto& attempts : run.verdict.series.attempts_by_node) {
    EXPECT_GT(std::accumulate(attempts.end() - 4, attempts.end(), uint64_t{0}), 0u);
  }
}

// Runs any fleet's file on the virtual clock. Environment variables: FLEET names the file, RESULT the file
// for the result, PLAIN leaves out the [start] settings, SAID prints the log of the first balancer.
TEST(Fleets, PlayTheFileThatTheEnvironmentNames) {
  const char *file = std::getenv("FLEET"), *result = std::getenv("RESULT");
  if (file == nullptr) GTEST_SKIP() << "FLEET names no file";
  std::ifstream in(file);
  Experiment site = Read({std::istreambuf_iterator<char>(in), {}});
  if (std::getenv("PLAIN") != nullptr) site.start.reset();
  const VirtualRun run = RunVirtually(site, Number("SEED", site.seed));
  ASSERT_TRUE(run.completed) << run.failure;
  if (std::getenv("SAID") != nullptr) std::cout << run.logs.at(0);
  if (result != nullptr) std::ofstream(result) << ToJson(run.verdict).dump();
  EXPECT_TRUE(run.verdict.rules_kept);
}

}  // namespace
}  // namespace burlfall::lab
