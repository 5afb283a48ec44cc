// Tests of the comparison of results: significant differences and noise.
#include "lab/judge/compare.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace burlfall::lab {
namespace {

Verdict SampleRun(double service, uint64_t seed = 0, const std::string& experiment = "calm") {
  Verdict run;
  run.experiment = experiment;
  run.seed = seed;
  run.service.combined = service;
  run.classes.resize(1);
  run.classes[0].name = "read";
  run.classes[0].service = 0.9;
  return run;
}

const FigureChange& First(const Comparison& comparison) { return comparison.experiments.at(0).figures.at(0); }

TEST(Compare, WelchsIntervalMatchesAManualCalculation) {
  // Means 0.82 and 0.88, deviations 0.02 each: error 0.016330, 4 degrees of freedom, t 2.77645.
  const Comparison comparison = Compare({SampleRun(0.80), SampleRun(0.82), SampleRun(0.84)},
                                        {SampleRun(0.86), SampleRun(0.88), SampleRun(0.90)});
  const FigureChange& change = First(comparison);
  EXPECT_EQ(change.figure, "service");
  EXPECT_NEAR(change.before.deviation, 0.02, 1e-12);
  EXPECT_NEAR(change.difference, 0.06, 1e-12);
  EXPECT_NEAR(change.low, 0.06 - 0.045340, 1e-5);
  EXPECT_NEAR(change.high, 0.06 + 0.045340, 1e-5);
  EXPECT_EQ(change.significance, Significance::kBetter);
  EXPECT_EQ(comparison.experiments[0].figures[5].figure, "service, read");
  EXPECT_EQ(comparison.experiments[0].figures[5].significance, Significance::kSame);
}

TEST(Compare, NoiseAndSingleRunsAreReportedAsSuch) {
  EXPECT_EQ(
      First(Compare({SampleRun(0.80), SampleRun(0.86)}, {SampleRun(0.84), SampleRun(0.88)})).significance,
      Significance::kNoise);
  EXPECT_EQ(First(Compare({SampleRun(0.80)}, {SampleRun(0.84), SampleRun(0.88)})).significance,
            Significance::kSingleRun);
  EXPECT_EQ(First(Compare({SampleRun(0.80)}, {SampleRun(0.80)})).significance, Significance::kSame);
  EXPECT_EQ(First(Compare({SampleRun(0.9), SampleRun(0.9)}, {SampleRun(0.8), SampleRun(0.8)})).significance,
            Significance::kWorse);
}

// The results of different seeds differ far more than the two sides do for the same seed.
TEST(Compare, ComparesSeedBySeedIfBothSidesRanTheSameSeeds) {
  const std::vector<Verdict> before = {SampleRun(0.5, 1), SampleRun(0.7, 2), SampleRun(0.9, 3)};
  const std::vector<Verdict> after = {SampleRun(0.93, 3), SampleRun(0.52, 1), SampleRun(0.72, 2)};
  const Comparison comparison = Compare(before, after);
  EXPECT_TRUE(comparison.experiments[0].by_seed);
  EXPECT_EQ(First(comparison).significance, Significance::kBetter);
  EXPECT_EQ(First(Compare(before, {SampleRun(0.93, 3), SampleRun(0.52, 1), SampleRun(0.72, 4)})).significance,
            Significance::kNoise);
}

TEST(Compare, ExcludesLateRunsAndReportsViolatedRules) {
  Verdict late = SampleRun(0.1);
  late.lab.too_late = true;
  late.rules = {{"draining", "", 2, {}}};
  const Comparison comparison = Compare({SampleRun(0.9), SampleRun(0.8), SampleRun(0.1, 0, "old")},
                                        {SampleRun(0.9), SampleRun(0.8), late, SampleRun(0.1, 0, "new")});
  const ExperimentChange& change = comparison.experiments.at(0);
  EXPECT_EQ(change.after_runs, 2);
  EXPECT_EQ(change.after_too_late, 1);
  EXPECT_EQ(change.after_broken, std::vector<std::string>{"draining"});
  EXPECT_EQ(comparison.only_before, std::vector<std::string>{"old"});
  EXPECT_EQ(comparison.only_after, std::vector<std::string>{"new"});
  const std::string text = ToText(comparison);
  EXPECT_NE(text.find("calm: before 2 runs, after 2 runs, 1 left out (lab late)"), std::string::npos);
  EXPECT_NE(text.find("rules broken: before none, after draining"), std::string::npos);
  EXPECT_EQ(ToJson(comparison)["experiments"][0]["figures"][0]["says"], "noise");
}

}  // namespace
}  // namespace burlfall::lab
