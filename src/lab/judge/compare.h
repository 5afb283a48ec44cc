// What two sets of results differ in, and where that is no more than noise. No I/O.
#ifndef BURLFALL_LAB_JUDGE_COMPARE_H_
#define BURLFALL_LAB_JUDGE_COMPARE_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/judge/figures.h"
#include "lab/judge/result.h"

namespace burlfall::lab {

enum class Significance {
  kSame,    // equal in each run
  kNoise,   // the interval holds 0
  kBetter,  // it does not
  kWorse,
  kDiffers,   // nor here, but more of this figure is neither better nor worse
  kSingleRun,  // they differ, and a run on one side says nothing of the spread
};

struct FigureChange {
  std::string figure;
  Spread before;
  Spread after;
  double difference = 0;  // after less before
  double low = 0;         // the interval of the difference
  double high = 0;
  Significance significance = Significance::kSame;
};

struct ExperimentChange {
  std::string experiment;
  int before_runs = 0;  // that say something
  int after_runs = 0;
  int before_too_late = 0;  // left out: the lab was late
  int after_too_late = 0;
  bool by_seed = false;                    // both sides ran the same seeds, and are compared seed by seed
  std::vector<std::string> before_broken;  // rules, in any run
  std::vector<std::string> after_broken;
  std::vector<FigureChange> figures;
};

struct Comparison {
  double confidence = 0.95;
  std::string method;                         // in words
  std::vector<ExperimentChange> experiments;  // by name; those that both sides ran
  std::vector<std::string> only_before;
  std::vector<std::string> only_after;
};

Comparison Compare(const std::vector<Verdict>& before, const std::vector<Verdict>& after,
                   double confidence = 0.95);
std::string ToText(const Comparison& comparison);
nlohmann::ordered_json ToJson(const Comparison& comparison);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_COMPARE_H_
