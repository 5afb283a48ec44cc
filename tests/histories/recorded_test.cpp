// Small histories that were recorded, each beside the experiment that it is of: what the world did in them is
// played to today's code, and what that does is judged. A file says how the code of then did.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

#include "lab/script/experiment_file.h"
#include "virtual_run.h"

namespace burlfall::lab {
namespace {

namespace fs = std::filesystem;

std::string Text(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// What clients asked for, whatever came of it: their first tries.
std::string Asked(const std::string& history) {
  std::istringstream lines(history);
  std::string asked;
  for (std::string line; std::getline(lines, line);) {
    if (line.find(R"("event":"due")") != std::string::npos &&
        line.find(R"("number":0)") != std::string::npos) {
      asked += line + "\n";
    }
  }
  return asked;
}

std::string RulesBroken(const Verdict& verdict) {
  std::string broken;
  for (const RuleResult& rule : verdict.rules) {
    if (rule.broken > 0) broken += (broken.empty() ? "" : " ") + rule.rule;
  }
  return broken.empty() ? "kept" : broken;
}

TEST(Recorded, TheirWorldsArePlayedToTodaysCode) {
  std::vector<fs::path> files;
  for (const auto& entry : fs::directory_iterator(RECORDED)) {
    if (entry.path().extension() == ".toml") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  EXPECT_GE(files.size(), 7u);
  for (const fs::path& file : files) {
    SCOPED_TRACE(file.string());
    const std::string text = Text(file);
    const Loaded<Experiment> experiment = ParseExperiment(file.filename().string(), text);
    ASSERT_TRUE(experiment.errors.empty()) << experiment.errors.front().Line();
    fs::path recorded = file;
    recorded.replace_extension(".jsonl");
    const VirtualRun now = PlayVirtually(*experiment.value, experiment.value->seed);
    // RECORD=1 in the environment makes those anew that are not there.
    if (std::getenv("RECORD") != nullptr && !fs::exists(recorded)) {
      std::ofstream(recorded, std::ios::binary) << now.history;
    }
    const std::string history = Text(recorded);
    HistoryError bad;
    const std::optional<CheckedHistory> then = CheckHistory(history, bad);
    ASSERT_TRUE(then) << bad.line << ": " << bad.why;
    const std::string said = "# recorded: " + RulesBroken(then->verdict) + "\n";
    EXPECT_TRUE(text.starts_with(said)) << said;
    ASSERT_TRUE(now.whole) << now.why_not;
    EXPECT_EQ(RulesBroken(now.verdict), "kept");
    EXPECT_EQ(Asked(now.history), Asked(history));  // the same world
  }
}

}  // namespace
}  // namespace burlfall::lab
