// Context of the current event: settings, time, random numbers and the action sink; and the statistics of
// each class. Decides only whether probes are worth their price.
#ifndef MEADOWSLIP_SRC_POLICY_CONTEXT_H_
#define MEADOWSLIP_SRC_POLICY_CONTEXT_H_

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "state/class_stats.h"
#include "state/records.h"

namespace meadowslip::policy {

namespace kit = burlfall::kit;
using state::ClassStats;

constexpr Micros kMs = 1000, kSecond = 1000 * kMs;

constexpr double kMaxProbeCost = 0.01;  // of the result: maximum cost of probes for one request
constexpr double kMaxProbes = 6;
constexpr double kMinServedShare = 1e-3;  // lower bound of the share of a class served in time

// What every part needs to handle the current event. Decides how many probes a request may have: none if they
// are not allowed, cost too much or would report no load.
struct Context {
  Context(const Settings& given, uint64_t seed) : settings(given), random(seed) {
    settings.max_attempts = std::clamp(settings.max_attempts, 1, state::kMaxAttempts);
    tick_interval = std::max(2 * settings.resolution, 5 * kMs);
    for (const RequestClass& c : settings.classes) {
      min_aim = std::min(min_aim, c.aim);
      max_aim = std::max(max_aim, c.aim);
    }
    const auto& fields = settings.report_fields;
    load_field = std::find(fields.begin(), fields.end(), LoadField::kInFlight) - fields.begin();
    if (settings.may_probe && load_field < fields.size() && settings.probe_price > 0) {
      probes_per_request = static_cast<int>(std::min(kMaxProbes, kMaxProbeCost / settings.probe_price));
      if (probes_per_request < 2) probes_per_request = 0;
    }
  }

  double Uniform() { return static_cast<double>(random() >> 11) * 0x1.0p-53; }
  size_t RandomBelow(size_t n) { return static_cast<size_t>(Uniform() * static_cast<double>(n)); }

  Settings settings;
  Micros tick_interval = 0;  // between timer rounds
  Micros min_aim = 60 * kSecond, max_aim = 0;
  size_t load_field = 0;
  int probes_per_request = 0;  // 0: no probes
  std::mt19937_64 random;
  Micros now = 0;
  ActionSink* sink = nullptr;
};

// Statistics of each request class. Decides what a class's requests are worth per work, for their order.
struct Classes {
  explicit Classes(const Settings& settings) {
    for (const RequestClass& c : settings.classes) {
      stats.emplace_back(static_cast<double>(c.aim) / 8);
    }
  }
  void Refresh() {
    auto [fast, slow] = std::minmax_element(stats.begin(), stats.end(),
                                            [](auto& x, auto& y) { return x.latency < y.latency; });
    min_work = fast->ColdWork(1);
    slowest = slow->latency;
    backend_wait = slowest;
    for (const ClassStats& s : stats) {
      if (s.samples > 0) backend_wait = std::clamp(s.latency - s.fastest, 0.0, backend_wait);
    }
  }
  // Worth per work, raised as less of the class is served: alpha-fairness with alpha = 1.5. Classes of equal
  // value get equal shares; a class whose work is overestimated 2.8 times gets half of one. A strict order
  // would let the smallest difference, or error, decide for a whole class.
  double Value(int cls, double worth) const {
    const double share = std::max(stats[cls].served_share, kMinServedShare);
    return worth / Work(cls) / (share * std::sqrt(share));
  }
  // The latency minus the wait at backends, which is equal for all classes while the work is not.
  double Work(int cls) const {
    return std::max({stats[cls].latency - backend_wait, stats[cls].fastest / 2, 1.0});
  }
  // Records a completed request; `served` is 1 if answered in time, 0 if not. Requests of lower priority by
  // their worth (retries, tenants over their share) do not raise their class's value.
  void OnEnded(int cls, int worth_level, double served) {
    if (worth_level == 0) stats[cls].AddServed(served);
  }

  std::vector<ClassStats> stats;
  double slowest = 50 * kMs;  // latency of the slowest class
  double min_work = 0;        // work of the fastest class
  double backend_wait = 0;    // part of the latency spent in queues at backends
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_CONTEXT_H_
