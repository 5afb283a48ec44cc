// What each turn of the node starts from: settings, time, chance, the sink that takes the actions, and what
// was learned of each class. What it decides itself is whether probes are worth their price.
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
using state::Learned;

constexpr Micros kMs = 1000, kSecond = 1000 * kMs;

constexpr double kProbeBudget = 0.01;  // points of the result that probing a request may cost
constexpr double kMostProbes = 6;
constexpr double kLeastShare = 1e-3;  // of a class that is served in time, that counts as such

struct Turn {
  Turn(const Settings& settings, uint64_t seed) : set(settings), random(seed) {
    set.max_attempts = std::clamp(set.max_attempts, 1, state::kMostAttempts);
    tick = std::max(2 * set.resolution, 5 * kMs);
    for (const RequestClass& c : set.classes) {
      tightest_aim = std::min(tightest_aim, c.aim);
      longest_aim = std::max(longest_aim, c.aim);
    }
    const auto& fields = set.report_fields;
    load_column = std::find(fields.begin(), fields.end(), LoadField::kInFlight) - fields.begin();
    if (set.may_probe && load_column < fields.size() && set.probe_price > 0) {
      probes_each = static_cast<int>(std::min(kMostProbes, kProbeBudget / set.probe_price));
      if (probes_each < 2) probes_each = 0;
    }
  }

  double Uniform() { return static_cast<double>(random() >> 11) * 0x1.0p-53; }
  size_t Below(size_t n) { return static_cast<size_t>(Uniform() * static_cast<double>(n)); }

  Settings set;
  Micros tick = 0;  // between the timer's rounds
  Micros tightest_aim = 60 * kSecond, longest_aim = 0;
  size_t load_column = 0;
  int probes_each = 0;  // for a request; 0: none are sent
  std::mt19937_64 random;
  Micros now = 0;
  ActionSink* act = nullptr;
};

struct Classes {
  explicit Classes(const Settings& set) {
    for (const RequestClass& c : set.classes) {
      learned.emplace_back(static_cast<double>(c.aim) / 8);
    }
  }
  void Survey() {
    auto [fast, slow] = std::minmax_element(learned.begin(), learned.end(),
                                            [](auto& x, auto& y) { return x.latency < y.latency; });
    least = fast->ColdWork(1);
    usual = slow->latency;
    wait = usual;
    for (const Learned& l : learned) {
      if (l.samples > 0) wait = std::clamp(l.latency - l.fastest, 0.0, wait);
    }
  }
  // Worth for work, raised as less of the class is served: alpha-fairness with alpha = 1.5. Classes of equal
  // value get equal shares, and a class whose work is taken for 2.8 times what it is half of one. A strict
  // order would let the smallest difference, or error, decide for all of a class.
  double Value(int cls, double worth) const {
    const double share = std::max(learned[cls].served, kLeastShare);
    return worth / Work(cls) / (share * std::sqrt(share));
  }
  // Its latency, less the wait at backends: that is the same for all classes, while their work is not.
  double Work(int cls) const {
    return std::max({learned[cls].latency - wait, learned[cls].fastest / 2, 1.0});
  }
  // A request has come to its end: `served` is 1 where it was answered in time, 0 where it was not. What goes
  // behind first tries within tenants' shares, by its worth, does not lift its class above others.
  void Ended(int cls, int level, double served) {
    if (level == 0) learned[cls].NoteServed(served);
  }

  std::vector<Learned> learned;
  double usual = 50 * kMs;  // the latency of the slowest class, and of the fastest
  double least = 0;
  double wait = 0;  // at backends
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_CONTEXT_H_
