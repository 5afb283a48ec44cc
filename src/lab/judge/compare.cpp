#include "lab/judge/compare.h"

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/judge/text.h"

namespace burlfall::lab {
namespace {

using Runs = std::vector<const Verdict*>;

// Returns half the width of Student's confidence interval around a mean with this standard error.
double HalfWidth(double error, double freedom, double confidence) {
  if (error <= 0) return 0;
  const boost::math::students_t distribution(freedom);
  return error * boost::math::quantile(distribution, 0.5 + confidence / 2);
}

double WelchHalfWidth(const Spread& a, std::size_t a_runs, const Spread& b, std::size_t b_runs,
                      double confidence) {
  const auto n = static_cast<double>(a_runs);
  const auto m = static_cast<double>(b_runs);
  const double u = a.deviation * a.deviation / n;
  const double v = b.deviation * b.deviation / m;
  if (u + v <= 0) return 0;
  const double freedom = (u + v) * (u + v) / (u * u / (n - 1) + v * v / (m - 1));
  return HalfWidth(std::sqrt(u + v), freedom, confidence);
}

// Compares with a relative tolerance of 1e-12: smaller differences are rounding errors.
bool Equal(double a, double b) { return std::abs(a - b) <= 1e-12 * std::max(std::abs(a), std::abs(b)); }

Significance SignificanceOf(const FigureChange& change, Direction direction, bool enough, bool all_equal) {
  if (all_equal) return Significance::kSame;
  if (!enough) return Significance::kSingleRun;
  if (change.low <= 0 && change.high >= 0) return Significance::kNoise;
  if (direction == Direction::kNeutral) return Significance::kDiffers;
  return (change.difference > 0) == (direction == Direction::kHigherIsBetter) ? Significance::kBetter
                                                                              : Significance::kWorse;
}

FigureChange ChangeOf(const Figure& figure, const Runs& before, const Runs& after, bool by_seed,
                      double confidence) {
  std::vector<double> a;
  std::vector<double> b;
  for (const Verdict* run : before) a.push_back(figure.measure(*run));
  for (const Verdict* run : after) b.push_back(figure.measure(*run));
  FigureChange change;
  change.figure = figure.name;
  change.before = SpreadOf(a);
  change.after = SpreadOf(b);
  change.difference = change.after.mean - change.before.mean;
  const bool enough = by_seed || (a.size() > 1 && b.size() > 1);
  double half = 0;
  if (by_seed) {
    std::vector<double> steps;
    for (std::size_t i = 0; i < a.size(); ++i) steps.push_back(b[i] - a[i]);
    const auto n = static_cast<double>(steps.size());
    half = HalfWidth(SpreadOf(steps).deviation / std::sqrt(n), n - 1, confidence);
  } else if (enough) {
    half = WelchHalfWidth(change.before, a.size(), change.after, b.size(), confidence);
  }
  change.low = change.difference - half;
  change.high = change.difference + half;
  const auto equal = [&](double value) { return Equal(value, a.front()); };
  const bool all_equal = std::all_of(a.begin(), a.end(), equal) && std::all_of(b.begin(), b.end(), equal);
  change.significance = SignificanceOf(change, figure.direction, enough, all_equal);
  return change;
}

// Sorts both sides by seed. Returns true if both ran the same seeds, each once, and more than one.
bool SortBySeed(Runs& before, Runs& after) {
  const auto by_seed = [](const Verdict* a, const Verdict* b) { return a->seed < b->seed; };
  std::stable_sort(before.begin(), before.end(), by_seed);
  std::stable_sort(after.begin(), after.end(), by_seed);
  if (before.size() < 2 || before.size() != after.size()) return false;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i]->seed != after[i]->seed) return false;
    if (i > 0 && before[i]->seed == before[i - 1]->seed) return false;
  }
  return true;
}

// Removes the runs in which the lab itself sent too late, and returns their number.
int DropTooLate(Runs& runs) {
  return static_cast<int>(std::erase_if(runs, [](const Verdict* run) { return run->lab.too_late; }));
}

ExperimentChange ChangeOf(const std::string& experiment, Runs before, Runs after, double confidence) {
  ExperimentChange change;
  change.experiment = experiment;
  change.before_broken = ViolatedRules(before);  // violations are reported even if the lab was late
  change.after_broken = ViolatedRules(after);
  change.before_too_late = DropTooLate(before);
  change.after_too_late = DropTooLate(after);
  change.before_runs = static_cast<int>(before.size());
  change.after_runs = static_cast<int>(after.size());
  if (before.empty() || after.empty()) return change;
  change.by_seed = SortBySeed(before, after);
  for (const Figure& figure : FiguresOf(*after.front())) {
    change.figures.push_back(ChangeOf(figure, before, after, change.by_seed, confidence));
  }
  return change;
}

const char* NameOf(Significance significance) {
  switch (significance) {
    case Significance::kSame:
      return "same";
    case Significance::kNoise:
      return "noise";
    case Significance::kBetter:
      return "better";
    case Significance::kWorse:
      return "worse";
    case Significance::kDiffers:
      return "differs";
    case Significance::kSingleRun:
      break;
  }
  return "one run: unknown";
}

std::string Joined(const std::vector<std::string>& all) {
  std::string text;
  for (const std::string& one : all) text += (text.empty() ? "" : ", ") + one;
  return text.empty() ? "none" : text;
}

std::string RunsText(int runs, int too_late) {
  std::string text = std::to_string(runs) + (runs == 1 ? " run" : " runs");
  if (too_late > 0) text += ", " + std::to_string(too_late) + " left out (lab late)";
  return text;
}

nlohmann::ordered_json ToJson(const Spread& spread) {
  return {{"mean", spread.mean}, {"deviation", spread.deviation}};
}

}  // namespace

Comparison Compare(const std::vector<Verdict>& before, const std::vector<Verdict>& after, double confidence) {
  std::map<std::string, std::pair<Runs, Runs>> by_name;
  for (const Verdict& run : before) by_name[run.experiment].first.push_back(&run);
  for (const Verdict& run : after) by_name[run.experiment].second.push_back(&run);
  Comparison comparison;
  comparison.confidence = confidence;
  comparison.method = Format(
      "Difference of means with its %g%% interval. Where both sides ran the same seeds, each once: Student's "
      "t over "
      "the differences by seed; else Welch's t. Noise: the interval holds 0. Without any spread on both "
      "sides each "
      "difference counts. Each figure is read alone: of many that only make noise, %g%% will still not look "
      "like it.",
      100 * confidence, 100 * (1 - confidence));
  for (auto& [name, runs] : by_name) {
    if (runs.second.empty()) {
      comparison.only_before.push_back(name);
    } else if (runs.first.empty()) {
      comparison.only_after.push_back(name);
    } else {
      comparison.experiments.push_back(ChangeOf(name, runs.first, runs.second, confidence));
    }
  }
  return comparison;
}

std::string ToText(const Comparison& comparison) {
  std::string text;
  for (const ExperimentChange& change : comparison.experiments) {
    text += change.experiment + ": before " + RunsText(change.before_runs, change.before_too_late) +
            ", after " + RunsText(change.after_runs, change.after_too_late) +
            (change.by_seed ? ", seed by seed" : "") + "\n";
    text += "  rules broken: before " + Joined(change.before_broken) + ", after " +
            Joined(change.after_broken) + "\n";
    if (!change.figures.empty()) {
      text += Format("  %-28s %10s %9s %10s %9s %10s  %-22s %s\n", "figure", "before", "+-", "after", "+-",
                     "difference", "interval", "says");
    }
    for (const FigureChange& figure : change.figures) {
      const bool known = figure.significance != Significance::kSingleRun;
      const std::string interval = known ? Format("%+.4f to %+.4f", figure.low, figure.high) : "";
      text += Format("  %-28s %10.4f %9.4f %10.4f %9.4f %+10.4f  %-22s %s\n", figure.figure.c_str(),
                     figure.before.mean, figure.before.deviation, figure.after.mean, figure.after.deviation,
                     figure.difference, interval.c_str(), NameOf(figure.significance));
    }
    text += "\n";
  }
  if (!comparison.only_before.empty()) text += "only before: " + Joined(comparison.only_before) + "\n";
  if (!comparison.only_after.empty()) text += "only after: " + Joined(comparison.only_after) + "\n";
  return text + comparison.method + "\n";
}

nlohmann::ordered_json ToJson(const Comparison& comparison) {
  nlohmann::ordered_json experiments = nlohmann::ordered_json::array();
  for (const ExperimentChange& change : comparison.experiments) {
    nlohmann::ordered_json figures = nlohmann::ordered_json::array();
    for (const FigureChange& figure : change.figures) {
      figures.push_back({{"figure", figure.figure},
                         {"before", ToJson(figure.before)},
                         {"after", ToJson(figure.after)},
                         {"difference", figure.difference},
                         {"low", figure.low},
                         {"high", figure.high},
                         {"says", NameOf(figure.significance)}});
    }
    experiments.push_back({{"experiment", change.experiment},
                           {"before_runs", change.before_runs},
                           {"after_runs", change.after_runs},
                           {"before_too_late", change.before_too_late},
                           {"after_too_late", change.after_too_late},
                           {"by_seed", change.by_seed},
                           {"before_broken", change.before_broken},
                           {"after_broken", change.after_broken},
                           {"figures", figures}});
  }
  return {{"confidence", comparison.confidence},
          {"method", comparison.method},
          {"experiments", experiments},
          {"only_before", comparison.only_before},
          {"only_after", comparison.only_after}};
}

}  // namespace burlfall::lab
