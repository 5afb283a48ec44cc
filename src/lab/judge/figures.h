// The figures that runs are compared and tabled by, and how they spread over repeats. No I/O.
#ifndef BURLFALL_LAB_JUDGE_FIGURES_H_
#define BURLFALL_LAB_JUDGE_FIGURES_H_

#include <functional>
#include <string>
#include <vector>

#include "lab/judge/result.h"

namespace burlfall::lab {

enum class Direction { kHigherIsBetter, kLowerIsBetter, kNeutral };

struct Figure {
  std::string name;
  Direction direction = Direction::kHigherIsBetter;
  std::function<double(const Verdict&)> measure;
};

// Those of a run; the classes' own by their names, so that they can be read off another run too.
std::vector<Figure> FiguresOf(const Verdict& sample);

// Of a figure over repeats.
struct Spread {
  double mean = 0;
  double deviation = 0;  // of a sample; 0 where there is one run
};
Spread SpreadOf(const std::vector<double>& values);

std::vector<std::string> BrokenRules(const std::vector<const Verdict*>& runs);  // rules, by name; in any of them

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_FIGURES_H_
