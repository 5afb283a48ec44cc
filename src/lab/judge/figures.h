// The figures by which runs are compared and tabulated, and their spread over repeated runs. No I/O.
#ifndef BURLFALL_LAB_JUDGE_FIGURES_H_
#define BURLFALL_LAB_JUDGE_FIGURES_H_

#include <functional>
#include <string>
#include <vector>

#include "lab/judge/result.h"

namespace burlfall::lab {

// Which direction of a figure is an improvement.
enum class Direction { kHigherIsBetter, kLowerIsBetter, kNeutral };

// A named number that is read from a run's verdict.
struct Figure {
  std::string name;
  Direction direction = Direction::kHigherIsBetter;
  std::function<double(const Verdict&)> measure;
};

// Returns the figures of a run. Figures of a class find it by name, so they can be read from other runs too.
std::vector<Figure> FiguresOf(const Verdict& sample);

// Mean and standard deviation of a figure over repeated runs.
struct Spread {
  double mean = 0;
  double deviation = 0;  // of a sample; 0 for a single run
};
Spread SpreadOf(const std::vector<double>& values);

// Returns the names of the rules that were violated in any of the runs.
std::vector<std::string> ViolatedRules(const std::vector<const Verdict*>& runs);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_FIGURES_H_
