#include "lab/judge/figures.h"

#include <cmath>
#include <set>

namespace burlfall::lab {
namespace {

double ShareOfAsked(const Verdict& run, uint64_t part) {
  return run.outcomes.asked == 0 ? 0 : static_cast<double>(part) / static_cast<double>(run.outcomes.asked);
}

// Returns the service of the class with this name, 1 if the run does not have it.
double ServiceOf(const Verdict& run, const std::string& cls) {
  for (const GroupResult& group : run.classes) {
    if (group.name == cls) return group.service;
  }
  return 1;
}

}  // namespace

std::vector<Figure> FiguresOf(const Verdict& sample) {
  using V = Verdict;
  std::vector<Figure> all = {
      {"service", Direction::kHigherIsBetter, [](const V& v) { return v.service.combined; }},
      {"service, whole", Direction::kHigherIsBetter, [](const V& v) { return v.service.whole; }},
      {"service, worst 10 s", Direction::kHigherIsBetter,
       [](const V& v) { return v.service.worst_ten_seconds; }},
      {"service, worst class", Direction::kHigherIsBetter, [](const V& v) { return v.service.worst_class; }},
      {"service, worst tenant", Direction::kHigherIsBetter,
       [](const V& v) { return v.service.worst_tenant; }},
  };
  for (const GroupResult& group : sample.classes) {
    const std::string name = group.name;
    all.push_back(
        {"service, " + name, Direction::kHigherIsBetter, [name](const V& v) { return ServiceOf(v, name); }});
  }
  const std::vector<Figure> others = {
      {"p50, ms", Direction::kLowerIsBetter, [](const V& v) { return v.latency.p50_ms; }},
      {"p99, ms", Direction::kLowerIsBetter, [](const V& v) { return v.latency.p99_ms; }},
      {"p99.9, ms", Direction::kLowerIsBetter, [](const V& v) { return v.latency.p999_ms; }},
      {"late share", Direction::kLowerIsBetter, [](const V& v) { return ShareOfAsked(v, v.outcomes.late); }},
      {"refused share", Direction::kLowerIsBetter,
       [](const V& v) { return ShareOfAsked(v, v.outcomes.refused); }},
      {"failed share", Direction::kLowerIsBetter,
       [](const V& v) { return ShareOfAsked(v, v.outcomes.failed); }},
      {"lost share", Direction::kLowerIsBetter, [](const V& v) { return ShareOfAsked(v, v.outcomes.lost); }},
      {"tries per query", Direction::kLowerIsBetter, [](const V& v) { return v.effort.tries_per_query; }},
      {"attempts per query", Direction::kLowerIsBetter,
       [](const V& v) { return v.effort.attempts_per_query; }},
      {"copies per query", Direction::kNeutral, [](const V& v) { return ShareOfAsked(v, v.effort.copies); }},
      {"handshakes per query", Direction::kLowerIsBetter,
       [](const V& v) { return ShareOfAsked(v, v.effort.handshakes); }},
      {"crossings per query", Direction::kLowerIsBetter,
       [](const V& v) { return ShareOfAsked(v, v.effort.cross_zone); }},
      {"work wasted, share", Direction::kLowerIsBetter,
       [](const V& v) { return v.effort.work_wasted_share; }},
  };
  all.insert(all.end(), others.begin(), others.end());
  return all;
}

Spread SpreadOf(const std::vector<double>& values) {
  Spread spread;
  const auto n = static_cast<double>(values.size());
  for (double value : values) spread.mean += value / n;
  if (values.size() < 2) return spread;
  double squares = 0;
  for (double value : values) squares += (value - spread.mean) * (value - spread.mean);
  spread.deviation = std::sqrt(squares / (n - 1));
  return spread;
}

std::vector<std::string> ViolatedRules(const std::vector<const Verdict*>& runs) {
  std::set<std::string> broken;
  for (const Verdict* run : runs) {
    for (const RuleResult& rule : run->rules) {
      if (rule.broken > 0) broken.insert(rule.rule);
    }
  }
  return {broken.begin(), broken.end()};
}

}  // namespace burlfall::lab
