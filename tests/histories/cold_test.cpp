// Cold nodes with the complete program, twenty balancers on one clock: which lists discovery sends, when, and
// how the host group applies them. The checks use counts taken at the nodes.
#include <gtest/gtest.h>

#include <numeric>
#include <ostream>
#include <sstream>

#include "lab/script/experiment_file.h"
#include "virtual_run.h"

namespace burlfall::lab {
namespace {

struct Case {
  const char* name;
  const char* faults;            // of the nodes under test
  const char* late = "20, 300";  // ms until discovery announces a change
};
void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

std::string Site(const Case& c) {
  std::ostringstream out;
  out << "title = \"t\"\nlength_s = 26\nsettle_s = 1\n[site]\nzones = [\"a\", \"b\"]\n"
      << "[site.balancers]\ncount = 20\n[site.discovery]\nlate_ms = [" << c.late << "]\n"
      << "[[site.nodes]]\nkind = \"n\"\ncount = 8\ncores = 1\ncold_share = [0.13, 0.13]\ncold_s = [20, 20]\n"
      << "[load]\nrate_per_s = 60\n"
      << "[[classes]]\nname = \"look\"\nwork_ms = [30, 30]\n"
      << "[[classes]]\nname = \"take\"\neffect = \"unsafe\"\nwork_ms = [40, 40]\n"
      // First little load, then bursts of 1.5 times the capacity of the nodes.
      << "[[faults]]\nkind = \"traffic-jump\"\nat_s = [9, 9]\nfor_s = [3, 3]\nsize = [6, 6]\n"
      << "[[faults]]\nkind = \"traffic-jump\"\nat_s = [15, 15]\nfor_s = [3, 3]\nsize = [6, 6]\n"
      << c.faults;
  return out.str();
}

class ColdHistory : public testing::TestWithParam<Case> {};

TEST_P(ColdHistory, NoColdNodeIsOverloaded) {
  const std::string text = Site(GetParam());
  const Loaded<Experiment> site = ParseExperiment("cold.toml", text);
  for (const auto& error : site.errors) ADD_FAILURE() << error.Line() << "\n" << text;
  ASSERT_TRUE(site.errors.empty());
  const VirtualRun run = RunVirtually(*site.value, 3);
  ASSERT_TRUE(run.completed) << run.failure;
  EXPECT_EQ(run.verdict.fleet.fell, 0u);
  for (const RuleResult& rule : run.verdict.rules) {
    for (const Finding& finding : rule.findings) ADD_FAILURE() << rule.rule << ": " << finding.why;
  }
  uint64_t late = 0;  // nodes with attempts in the last seconds: all of them
  for (const auto& attempts : run.verdict.series.attempts_by_node) {
    late += std::accumulate(attempts.end() - 4, attempts.end(), uint64_t{0}) > 0;
  }
  EXPECT_GE(late, 8u);
}

constexpr const char* kRestarted =
    "[[faults]]\nkind = \"nodes-restarted\"\nat_s = [8.5, 8.5]\nnames = [\"n-1\", \"n-2\"]\n";
INSTANTIATE_TEST_SUITE_P(
    Nodes, ColdHistory,
    testing::Values(
        Case{"BackAtOnce", kRestarted}, Case{"ToldLate", kRestarted, "2000, 3500"},
        Case{
            "CrashedAndBack",
            "[[faults]]\nkind = \"nodes-gone\"\nat_s = [6, 6]\nfor_s = [3, 3]\nnames = [\"n-1\", \"n-2\"]\n"},
        Case{"Replaced",
             "[[faults]]\nkind = \"nodes-replaced\"\nat_s = [8, 8]\nfor_s = [0.5, 0.5]\nshare = 0.25\n"},
        Case{"DrainedAndBack",
             "[[faults]]\nkind = \"nodes-drained\"\nat_s = [6, 6]\nfor_s = [2, 2]\nnames = [\"n-1\"]\n"},
        Case{"BalancersKilledAndBackWithTheirFirstList",
             "[[faults]]\nkind = \"nodes-restarted\"\nat_s = [8.5, 8.5]\nnames = [\"n-1\", \"n-2\"]\n"
             "[[faults]]\nkind = \"balancers-killed\"\nat_s = [9, 9]\nfor_s = [1, 1]\nshare = 0.7\n"},
        Case{"DiscoveryDownMeanwhile",
             "[[faults]]\nkind = \"nodes-restarted\"\nat_s = [8.5, 8.5]\nnames = [\"n-1\", \"n-2\"]\n"
             "[[faults]]\nkind = \"discovery-down\"\nat_s = [8, 8]\nfor_s = [5, 5]\n"}),
    [](const auto& one) { return std::string(one.param.name); });

}  // namespace
}  // namespace burlfall::lab
