// Small recorded histories, each beside its experiment file. The same world is run with the current code, and
// the result is checked. The first line of the experiment file names the rules that the recorded run broke.
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

// The first tries of the clients' queries, whatever their outcome.
std::string FirstTries(const std::string& history) {
  std::istringstream lines(history);
  std::string first_tries;
  for (std::string line; std::getline(lines, line);) {
    if (line.find(R"("event":"due")") != std::string::npos &&
        line.find(R"("number":0)") != std::string::npos) {
      first_tries += line + "\n";
    }
  }
  return first_tries;
}

std::string BrokenRules(const Verdict& verdict) {
  std::string broken;
  for (const RuleResult& rule : verdict.rules) {
    if (rule.broken > 0) broken += (broken.empty() ? "" : " ") + rule.rule;
  }
  return broken.empty() ? "kept" : broken;
}

TEST(Recorded, TheCurrentCodeKeepsTheRulesInTheSameWorlds) {
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
    const VirtualRun run = RunVirtually(*experiment.value, experiment.value->seed);
    // RECORD=1 in the environment records the missing histories again.
    if (std::getenv("RECORD") != nullptr && !fs::exists(recorded)) {
      std::ofstream(recorded, std::ios::binary) << run.history;
    }
    const std::string history = Text(recorded);
    HistoryError bad;
    const std::optional<CheckedHistory> recorded_run = CheckHistory(history, bad);
    ASSERT_TRUE(recorded_run) << bad.line << ": " << bad.why;
    const std::string expected_line = "# recorded: " + BrokenRules(recorded_run->verdict) + "\n";
    EXPECT_TRUE(text.starts_with(expected_line)) << expected_line;
    ASSERT_TRUE(run.completed) << run.failure;
    EXPECT_EQ(BrokenRules(run.verdict), "kept");
    EXPECT_EQ(FirstTries(run.history), FirstTries(history));  // the same world
  }
}

}  // namespace
}  // namespace burlfall::lab
