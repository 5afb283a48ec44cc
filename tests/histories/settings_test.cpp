// The program does not depend on one deployment's settings: complete runs with settings that no deployment of
// ours has. The checks cover rules, counts and who was served, not quality or speed.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "lab/script/experiment_file.h"
#include "virtual_run.h"

namespace burlfall::lab {
namespace {

// Settings of a deployment, as lines of an experiment file.
struct Deployment {
  const char* name;
  const char* zones = "['here']";
  const char* site = "";  // further keys of [site]
  const char* discovery = "";
  int balancers = 2;
  double rate_per_s = 40;
  double length_s = 6;
  int tenants = 2;
  const char* classes = "";
  const char* faults = "";
};

void PrintTo(const Deployment& d, std::ostream* out) { *out << d.name; }

constexpr const char* kMixed = R"(
[[classes]]
name = "lookup"
work_ms = [5, 20]
[[classes]]
name = "give_back"
effect = "unsafe"
work_ms = [5, 20]
[[classes]]
name = "pay"
effect = "keyed"
work_ms = [5, 20]
window_ms = 700
)";
constexpr const char* kFive = R"(
[[classes]]
name = "Ab-1x_Yz"
share = 5
work_ms = [5, 20]
aim_ms = 200
deadline_ms = 2000
worth = 7
[[classes]]
name = "q"
effect = "unsafe"
work_ms = [1, 2]
aim_ms = 90
deadline_ms = 90
[[classes]]
name = "up-counters-healthcheck-and-40-bytes_xyz"
effect = "keyed"
work_ms = [20, 40]
window_ms = 300
[[classes]]
name = "long"
effect = "unsafe"
work_ms = [200, 300]
aim_ms = 4000
deadline_ms = 9000
worth = 0.01
[[classes]]
name = "0"
share = 0.2
work_ms = [5, 20]
worth = 1000
)";
constexpr const char* kUnsafe = R"(
[[classes]]
name = "seal"
effect = "unsafe"
work_ms = [5, 20]
[[classes]]
name = "break"
effect = "unsafe"
work_ms = [10, 30]
aim_ms = 150
)";
constexpr const char* kKeyed = R"(
[[classes]]
name = "book"
effect = "keyed"
work_ms = [5, 20]
window_ms = 60000
[[classes]]
name = "cancel"
effect = "keyed"
work_ms = [10, 30]
window_ms = 50
)";
constexpr const char* kOne = R"(
[[classes]]
name = "all-there-is"
work_ms = [5, 20]
)";
constexpr const char* kShort = R"(
[[classes]]
name = "tick"
work_ms = [1, 3]
aim_ms = 30
deadline_ms = 50
[[classes]]
name = "tack"
effect = "unsafe"
work_ms = [1, 3]
aim_ms = 30
deadline_ms = 50
)";
constexpr const char* kLong = R"(
[[classes]]
name = "report"
work_ms = [1500, 2500]
aim_ms = 30000
deadline_ms = 90000
[[classes]]
name = "settle"
effect = "keyed"
work_ms = [500, 900]
aim_ms = 30000
deadline_ms = 90000
window_ms = 60000
[[classes]]
name = "post"
effect = "unsafe"
work_ms = [100, 200]
aim_ms = 30000
deadline_ms = 90000
)";

// Nodes become silent, drain and return errors; one balancer is restarted and one killed; the list service is
// down for a while.
constexpr const char* kFaults = R"(
[[faults]]
kind = "silent-nodes"
at_s = [0.7, 0.7]
for_s = [0.8, 0.8]
share = 0.2
[[faults]]
kind = "nodes-drained"
at_s = [1.2, 1.6]
for_s = [1.5, 1.5]
share = 0.4
[[faults]]
kind = "planned-restart"
at_s = [2, 2]
share = 0.5
[[faults]]
kind = "discovery-down"
at_s = [2.6, 2.6]
for_s = [0.7, 0.7]
[[faults]]
kind = "nodes-drained"
at_s = [3.5, 3.5]
for_s = [1, 1]
share = 0.4
[[faults]]
kind = "balancers-killed"
at_s = [3.9, 3.9]
for_s = [0.5, 0.5]
share = 0.5
[[faults]]
kind = "fast-errors"
at_s = [4.2, 4.2]
for_s = [0.8, 0.8]
share = 0.3
size = [0.9, 0.9]
)";

std::string ExperimentText(const Deployment& d) {
  std::ostringstream out;
  out << "title = \"" << d.name << "\"\nlength_s = " << d.length_s
      << "\nsettle_s = 0\n[site]\nzones = " << d.zones << "\n"
      << d.site << "\n[site.balancers]\ncount = " << d.balancers
      << "\n[site.discovery]\nlate_ms = [20, 300]\n"
      << d.discovery
      << "\n[[site.nodes]]\nkind = \"n\"\ncount = 8\ncold_s = [1, 3]\n[load]\nrate_per_s = " << d.rate_per_s
      << "\n"
      << d.classes;
  for (int t = 0; t < d.tenants; ++t) {
    // Names of many lengths; equal shares, so that each tenant sends queries.
    out << "[[tenants]]\nname = \"" << std::string(static_cast<size_t>(t % 30), 'z') << "T-" << t << "\"\n";
  }
  out << kFaults << d.faults;
  return out.str();
}

VirtualRun RunText(const std::string& text, uint64_t seed) {
  const Loaded<Experiment> site = ParseExperiment("settings.toml", text);
  for (const auto& error : site.errors) ADD_FAILURE() << error.Line() << "\n" << text;
  return site.value ? RunVirtually(*site.value, seed) : VirtualRun();
}

std::string BrokenRules(const Verdict& verdict) {
  std::string all;
  for (const RuleResult& rule : verdict.rules) {
    for (const Finding& finding : rule.findings) {
      all += rule.rule + " " + finding.balancer + " " + finding.node + ": " + finding.why + "\n";
      for (const std::string& line : finding.story) all += "    " + line + "\n";
    }
  }
  return all;
}

uint64_t CountOutcomes(const Outcomes& o) {
  return o.in_time + o.late + o.refused + o.failed + o.lost + o.left + o.unreached;
}

// The problems of a run. Empty: none.
std::string FindProblems(const VirtualRun& run, int tenants) {
  std::ostringstream problems;
  if (!run.completed) problems << "not whole: " << run.failure << "\n";
  const Verdict& v = run.verdict;
  if (!v.rules_kept) problems << BrokenRules(v);
  const Outcomes& all = v.outcomes;
  // For lost queries, the rules check that a balancer was killed with them.
  if (all.asked == 0 || CountOutcomes(all) != all.asked)
    problems << all.asked << " asked, " << CountOutcomes(all) << " ended\n";
  if (v.ends.untold > 0) problems << v.ends.untold << " tries broken an end\n";
  if (all.in_time * 2 <= all.asked) problems << all.in_time << " of " << all.asked << " in time\n";
  const auto each = [&](const std::vector<GroupResult>& groups, const char* what) {
    for (const GroupResult& one : groups) {
      if (one.outcomes.asked > 0 && one.outcomes.in_time + one.outcomes.late > 0) continue;
      problems << what << " " << one.name << ": nothing served of " << one.outcomes.asked << "\n";
    }
  };
  each(v.classes, "class");
  each(v.tenants, "tenant");
  if (v.tenants.size() != static_cast<size_t>(tenants)) problems << v.tenants.size() << " tenants\n";
  return problems.str();
}

const Deployment kDeployments[] = {
    {.name = "FiveClasses", .classes = kFive},
    {.name = "AllUnsafe", .classes = kUnsafe},
    {.name = "AllKeyed", .classes = kKeyed},
    {.name = "OneClass", .classes = kOne},
    {.name = "NoZones", .zones = "[]", .classes = kMixed},
    {.name = "FiveZones",
     .zones = "['a', 'B-2', 'c', 'north', 'z9']",
     .balancers = 5,
     .classes = kMixed,
     .faults = "[[faults]]\nkind = \"zone-cut\"\nat_s = [2, 2]\nfor_s = [1, 1]\n"},
    {.name = "OneTenant", .tenants = 1, .classes = kMixed},
    {.name = "NoTenant", .tenants = 0, .classes = kMixed},
    {.name = "AThousandTenants", .rate_per_s = 100, .length_s = 120, .tenants = 1000, .classes = kOne},
    {.name = "VeryShortDeadlines", .site = "connect_timeout_ms = 10", .classes = kShort},
    {.name = "VeryLongDeadlines", .rate_per_s = 4, .length_s = 40, .classes = kLong},
    {.name = "ListsWithinASecond", .site = "must_ask_s = 1", .classes = kMixed},
    {.name = "ListsWithinAMinute", .site = "must_ask_s = 60", .classes = kMixed},
    {.name = "ShortDrains", .site = "drain_grace_ms = 0", .classes = kMixed},
    {.name = "ListsPushed", .discovery = "pushed = true", .classes = kMixed},
    {.name = "ListsPushedToMany",
     .discovery = "pushed = true",
     .balancers = 60,
     .rate_per_s = 200,
     .classes = kMixed,
     .faults = "[start]\n[start.list_service]\ncalls_per_s = 2\n"},
};

// The environment variable SEEDS sets the number of seeds.
uint64_t Seeds() {
  const char* text = std::getenv("SEEDS");
  return text == nullptr ? 4 : std::strtoull(text, nullptr, 10);
}

class Settings : public testing::TestWithParam<Deployment> {};

TEST_P(Settings, EachQueryEndsOnceEveryClassIsServedAndNoRuleIsBroken) {
  for (uint64_t seed = 1; seed <= Seeds(); ++seed) {
    const std::string text = ExperimentText(GetParam());
    const VirtualRun run = RunText(text, seed);
    EXPECT_EQ(FindProblems(run, GetParam().tenants), "") << "seed " << seed << "\n" << text;
  }
}

// The checks detect a program that breaks a rule or serves only one class.
TEST(Plays, ARunThatBreaksARuleOrServesOneClassOnlyIsDetected) {
  const std::string slow =
      "[[classes]]\nname = \"slow\"\nwork_ms = [900, 999]\naim_ms = 100\ndeadline_ms = 200\n";
  const std::string text = ExperimentText({.name = "Planted", .tenants = 1, .classes = kOne});
  VirtualRun run = RunText(text + slow, 1);
  EXPECT_NE(FindProblems(run, 1).find("class slow: nothing served"), std::string::npos);
  EXPECT_NE(FindProblems(run, 2).find("1 tenants"), std::string::npos);

  run = RunText(text, 1);
  EXPECT_EQ(FindProblems(run, 1), "");
  const size_t answer = run.history.find("\"how\":\"served\"");
  ASSERT_NE(answer, std::string::npos);
  run.history.replace(answer, run.history.find('\n', answer) - answer, "\"how\":\"broken\"}");
  HistoryError bad;
  const std::optional<CheckedHistory> broken = CheckHistory(run.history, bad);
  ASSERT_TRUE(broken) << bad.line << ": " << bad.why;
  run.verdict = broken->verdict;
  EXPECT_NE(FindProblems(run, 1).find("answer_lost"), std::string::npos);
}

// Names as the platform may choose them. Clients escape what a path can't contain.
TEST(Names, InAnyScriptWithBlanksAndSignsAreServedAsAnyOther) {
  const Loaded<Experiment> plain =
      ParseExperiment("settings.toml", ExperimentText({.name = "Names", .classes = kMixed}));
  ASSERT_TRUE(plain.value);
  Experiment site = *plain.value;
  site.site.zones = {"Zürich, Nord"};
  site.classes[0].name = "Auskunft über/alles?";
  site.classes[1].name = "返却 %41";
  site.classes[2].name = "a=b&c,d";
  site.tenants[0].name = "Müller & Söhne";
  site.tenants[1].name = "\"x\\y\"";
  const VirtualRun run = RunVirtually(site, 1);
  EXPECT_EQ(FindProblems(run, 2), "");
  for (const GroupResult& one : run.verdict.classes) EXPECT_GT(one.outcomes.in_time, 0u) << one.name;
}

// The list service is down for some seconds, and nodes begin to drain as it returns. Each balancer must know
// of the drains within 6 s, whatever must_ask_s is, although all balancers ask at the return. Returns one
// line for each balancer and node for which this fails.
std::string LateDrainNotices(const VirtualRun& run, Micros returns) {
  std::ostringstream late;
  std::istringstream lines(run.history);
  std::map<std::string, Micros> listed;                        // draining nodes
  std::map<std::pair<std::string, std::string>, Micros> told;  // by node and balancer
  std::set<std::string> balancers;
  for (std::string line; std::getline(lines, line);) {
    const nlohmann::json json = nlohmann::json::parse(line);
    const std::string event = json.value("event", "");
    if (event == "up") balancers.insert(json["balancer"].dump());
    // Draining or gone: a draining node without open queries is gone at once.
    if (json.value("state", "ready") == "ready") continue;
    const Micros at = json["at"];
    if (event == "listed") listed.emplace(json["node"].dump(), at);
    if (event == "told") told.emplace(std::pair(json["node"].dump(), json["balancer"].dump()), at);
  }
  if (listed.empty() || balancers.empty()) late << "nothing to tell\n";
  for (const auto& [node, at] : listed) {
    for (const std::string& balancer : balancers) {
      const auto notice = told.find({node, balancer});
      if (notice != told.end() && notice->second <= std::max(at, returns) + 6 * kSecond) continue;
      late << balancer << " of " << node << ", listed " << at << ": ";
      notice == told.end() ? late << "never\n" : late << notice->second << "\n";
    }
  }
  return late.str();
}

TEST(Lists, DrainsThatBeginAsTheListServiceReturnsAreKnownWithinSixSeconds) {
  for (const char* must_ask : {"1", "10", "60"}) {
    for (const char* discovery : {"calls_per_s = 4", "pushed = true"}) {
      for (uint64_t seed = 1; seed <= Seeds(); ++seed) {
        const std::string site = std::string("must_ask_s = ") + must_ask;
        const Deployment deployment = {.name = "Returns",
                                       .site = site.c_str(),
                                       .discovery = discovery,
                                       .balancers = 6,
                                       .length_s = 14,
                                       .classes = kOne};
        std::string text = ExperimentText(deployment);
        text.erase(text.find("[[faults]]"));
        text += R"(
[[faults]]
kind = "discovery-down"
at_s = [1, 1]
for_s = [5, 5]
[[faults]]
kind = "nodes-drained"
at_s = [6, 6.2]
for_s = [7, 7]
share = 0.3
)";
        const VirtualRun run = RunText(text, seed);
        EXPECT_EQ(FindProblems(run, deployment.tenants), "") << "seed " << seed << "\n" << text;
        EXPECT_EQ(LateDrainNotices(run, 6 * kSecond), "") << "seed " << seed << "\n" << text;
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(UnlikeAnyKnownSite, Settings, testing::ValuesIn(kDeployments),
                         [](const auto& one) { return std::string(one.param.name); });

}  // namespace
}  // namespace burlfall::lab
