// Fleets on the virtual clock: the whole program, many times over, against the lab's list service, and its
// faults drawn from seeds. What `burlfall lab fleet` plays with real processes, here with a thousand.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <numeric>

#include "drawn.h"
#include "virtual_run.h"

namespace burlfall::lab {
namespace {

std::string Cold(int balancers, double calls_per_s, double length_s) {
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

TEST(Fleets, WhatAStartCostsTheServiceGrowsWithTheBalancersAndNoMore) {
  for (const int count : {10, 100, 300, 1000}) {
    const double round_s = count / 50.0;
    const Experiment site = Read(Cold(count, 50, std::max(20.0, 3.5 * round_s)));
    const VirtualRun run = PlayVirtually(site, 3);
    ASSERT_TRUE(run.whole) << run.why_not;
    const FleetResult& fleet = run.verdict.fleet;
    EXPECT_EQ(fleet.listed, static_cast<uint64_t>(count));
    EXPECT_LE(fleet.calls_each, 1.05) << count;
    EXPECT_LE(fleet.most_calls_per_s, 50u) << count;
    EXPECT_LE(fleet.listed_within_s, std::max(0.5, (count <= 300 ? 1.5 : 3) * round_s)) << count;
    EXPECT_TRUE(run.verdict.rules_kept) << count;
  }
}

TEST(Fleets, WithoutTheFileOfTheStartsTheSameFleetDoesNotGetThere) {
  Experiment site = Read(Cold(300, 50, 30));
  site.start.reset();
  const VirtualRun run = PlayVirtually(site, 3);
  ASSERT_TRUE(run.whole) << run.why_not;
  EXPECT_GT(run.verdict.fleet.most_calls_per_s, 50u);
  EXPECT_GT(run.verdict.fleet.without_list[9], 0u);
}

// Every fault that the list service and the balancers' lives can have, at once; SEED and SEEDS play others,
// or more.
std::string Faulty(uint64_t seed) {
  Stream64 draws(seed, "fleet");
  const int balancers = 5 + draws.Below(30);
  const double calls_per_s = balancers / draws.Between({0.5, 6});
  std::ostringstream out;
  out << Cold(balancers, calls_per_s, 75);
  if (draws.Chance(0.5)) out << "[start.saved_list]\nfolder = \"disk\"\nwrite_every_s = 0.5\n";
  const char* kinds[] = {"discovery-down", "discovery-busy",  "discovery-breaks",  "discovery-odd",
                         "discovery-slow", "list-calls-lost", "list-answers-lost", "balancers-killed"};
  for (int i = 2 + draws.Below(5); i > 0; --i) {
    const std::string kind = kinds[draws.Below(8)];
    const double at = draws.Between({0, 12});
    out << "[[faults]]\nkind = \"" << kind << "\"\nat_s = [" << at << ", " << at << "]\nfor_s = [1, 8]\n";
    if (kind == "discovery-busy") out << "size = [0, 100]\n";
    if (kind == "discovery-breaks" || kind == "discovery-odd") out << "size = [0.1, 1]\n";
    if (kind == "discovery-slow") out << "size = [0.2, 1]\n";
    if (kind.starts_with("list-") || kind == "balancers-killed")
      out << "share = " << draws.Between({0.1, 1}) << "\n";
    if (kind == "balancers-killed" && draws.Chance(0.5)) out << "folder = \"empty\"\n";
  }
  return out.str();
}

TEST(Fleets, OnceFaultsAreOverNobodyStaysWithoutAList) {
  const uint64_t first = Number("SEED", 1), count = Number("SEEDS", 12);
  for (uint64_t seed = first; seed < first + count; ++seed) {
    const std::string text = Faulty(seed);
    const Experiment site = Read(text);
    const VirtualRun run = PlayVirtually(site, seed);
    ASSERT_TRUE(run.whole) << "seed " << seed << ": " << run.why_not << "\n" << text;
    const FleetResult& fleet = run.verdict.fleet;
    EXPECT_EQ(fleet.without_list.back(), 0u) << "seed " << seed << "\n" << text;
    for (const RuleResult& rule : run.verdict.rules) {
      for (const Finding& finding : rule.findings) {
        ADD_FAILURE() << "seed " << seed << ": " << rule.rule << ": " << finding.why << "\n" << text;
      }
    }
  }
}

// Sixty balancers that start with their nodes, all cold: one is there at first, the others come one by one.
TEST(Fleets, OneNodeAloneAndThenOneAfterTheOtherIsPushedOverByNobody) {
  std::string text = Cold(60, 50, 40);
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
  const VirtualRun run = PlayVirtually(site, 5);
  ASSERT_TRUE(run.whole) << run.why_not;
  EXPECT_EQ(run.verdict.fleet.fell, 0u);
  EXPECT_TRUE(run.verdict.rules_kept);
  // No balancer opens more than one connection to the node in any second, not even when it is alone.
  EXPECT_LE(run.verdict.fleet.most_handshakes, 60u);
  const Series& series = run.verdict.series;
  EXPECT_GE(series.in_time[38] * 20, series.asked[38] * 19);
}

// Before, its end came first: the nodes were started anew and then killed for good, and a site never had them
// back.
TEST(Site, NodesThatAreRestartedServeAgain) {
  Experiment site = Read(Cold(2, 50, 12));
  site.site.nodes[0].count = 4;
  site.site.nodes[0].cold_s = {1, 2};
  site.load.rate_per_s = 100;
  site.faults.push_back({.kind = FaultKind::kNodesRestarted, .at_s = {4, 4}, .share = 0.5});
  const VirtualRun run = PlayVirtually(site, 3);
  ASSERT_TRUE(run.whole) << run.why_not;
  for (const auto& attempts : run.verdict.series.attempts_by_node) {
    EXPECT_GT(std::accumulate(attempts.end() - 4, attempts.end(), uint64_t{0}), 0u);
  }
}

// Any fleet's file on the virtual clock: FLEET names it, RESULT where its result goes. PLAIN: without its
// [start].
TEST(Fleets, PlayTheFileThatTheEnvironmentNames) {
  const char *file = std::getenv("FLEET"), *result = std::getenv("RESULT");
  if (file == nullptr) GTEST_SKIP() << "FLEET names no file";
  std::ifstream in(file);
  Experiment site = Read({std::istreambuf_iterator<char>(in), {}});
  if (std::getenv("PLAIN") != nullptr) site.start.reset();
  const VirtualRun run = PlayVirtually(site, Number("SEED", site.seed));
  ASSERT_TRUE(run.whole) << run.why_not;
  if (std::getenv("SAID") != nullptr) std::cout << run.said.at(0);
  if (result != nullptr) std::ofstream(result) << ToJson(run.verdict).dump();
  EXPECT_TRUE(run.verdict.rules_kept);
}

}  // namespace
}  // namespace burlfall::lab
