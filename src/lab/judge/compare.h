// Compares two sets of results and tells significant differences from noise. No I/O.
#ifndef BURLFALL_LAB_JUDGE_COMPARE_H_
#define BURLFALL_LAB_JUDGE_COMPARE_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/judge/figures.h"
#include "lab/judge/result.h"

namespace burlfall::lab {

// What the difference of one figure means.
enum class Significance {
  kSame,    // equal in all runs
  kNoise,   // the confidence interval contains 0
  kBetter,  // the interval excludes 0, in the better direction
  kWorse,
  kDiffers,    // the interval excludes 0, but neither direction of this figure is better
  kSingleRun,  // they differ, but one side has a single run, so the spread is unknown
};

struct FigureChange {
  std::string figure;
  Spread before;
  Spread after;
  double difference = 0;  // after minus before
  double low = 0;         // confidence interval of the difference, low to high
  double high = 0;
  Significance significance = Significance::kSame;
};

struct ExperimentChange {
  std::string experiment;
  int before_runs = 0;  // runs that count
  int after_runs = 0;
  int before_too_late = 0;  // excluded: the lab sent too late
  int after_too_late = 0;
  bool by_seed = false;                    // both sides ran the same seeds and are compared seed by seed
  std::vector<std::string> before_broken;  // rules violated in any run, by name
  std::vector<std::string> after_broken;
  std::vector<FigureChange> figures;
};

struct Comparison {
  double confidence = 0.95;
  std::string method;                         // description of the statistics
  std::vector<ExperimentChange> experiments;  // that both sides ran, by name
  std::vector<std::string> only_before;
  std::vector<std::string> only_after;
};

Comparison Compare(const std::vector<Verdict>& before, const std::vector<Verdict>& after,
                   double confidence = 0.95);
std::string ToText(const Comparison& comparison);
nlohmann::ordered_json ToJson(const Comparison& comparison);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_COMPARE_H_
