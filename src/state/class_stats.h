// Statistics that a node learns for one request class from its own requests. They make no decisions.
#ifndef MEADOWSLIP_SRC_STATE_CLASS_STATS_H_
#define MEADOWSLIP_SRC_STATE_CLASS_STATS_H_

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "meadowslip/balancer.h"

namespace meadowslip::state {

constexpr int kFirstSamples = 20;   // answers before uncrowded_latency is used
constexpr double kWorkShare = 0.7;  // of the uncrowded latency of a request of mean size
constexpr double kMaxSize = 10;     // relative to the mean of the class
// Weights of the newest value in the exponential moving averages.
constexpr double kLatencyWeight = 0.05;
constexpr double kUncrowdedWeight = 0.02;
constexpr double kEstimateWeight = 0.02;
constexpr double kServedWeight = 0.02;
constexpr double kFasterWeight =
    0.2;  // of an answer that is faster than `fastest`, so that a fast answer is adopted soon
constexpr double kSlowerWeight =
    0.002;  // of any other answer, so that the value holds for hundreds of answers

constexpr double kUnansweredFactor = 4;  // times the work that a class without answers was assumed to need

// Times are in microseconds.
struct ClassStats {
  double latency = 0;            // moving average over successful answers
  double deviation = 0;          // mean deviation of the latency
  double uncrowded_latency = 0;  // like `latency`, over answers received while the node was not crowded
  int samples = 0;
  double mean_estimate = 0;  // mean of the clients' estimates
  double fastest = 0;        // latency of the fastest answers
  double served_share = 1;   // moving average of the share of requests that were answered in time
  // Until the first successful answer: the work assumed from attempts that had none, and whether an attempt
  // at a cold backend is in flight.
  double unanswered_work = 0;
  bool cold_pending = false;

  ClassStats() = default;
  explicit ClassStats(double first_guess)
      : latency(first_guess), deviation(first_guess / 2), fastest(first_guess) {}

  void Fields(auto& a) {
    a(latency, deviation, uncrowded_latency, samples, mean_estimate, fastest, served_share, unanswered_work,
      cold_pending);
  }
  bool Valid() const {
    return std::isfinite(latency) && std::isfinite(deviation) && std::isfinite(uncrowded_latency) &&
           std::isfinite(mean_estimate) && std::isfinite(fastest) && std::isfinite(unanswered_work) &&
           served_share >= 0 && served_share <= 1;
  }

  // Deviation of a request's duration from the mean of its class, by the client's estimate. Without it a
  // high-cost request would make a backend look crowded or silent, and a low-cost request would look answered
  // in time when it is not.
  double ExtraWork(double size) const {
    return samples < kFirstSamples ? 0 : (size - 1) * kWorkShare * uncrowded_latency;
  }
  double ExpectedLatency(double size) const { return std::max(latency + ExtraWork(size), latency / 4); }

  // The work charged for a request at a cold backend: never less than the mean seen so far. The moving
  // average `latency` alone moves too slowly away from its initial guess.
  double ColdWork(double size) const {
    if (samples == 0) return std::max(latency, unanswered_work);
    return std::max(ExpectedLatency(size), uncrowded_latency + ExtraWork(size));
  }
  double RelativeSize(Micros estimate) {  // against the mean of the class
    if (estimate <= 0) return 1;
    mean_estimate +=
        (mean_estimate > 0 ? kEstimateWeight : 1) * (static_cast<double>(estimate) - mean_estimate);
    return std::min(static_cast<double>(estimate) / mean_estimate, kMaxSize);
  }

  void AddLatency(double duration) {
    deviation += kLatencyWeight * (std::abs(duration - latency) - deviation);
    latency += kLatencyWeight * (duration - latency);
    fastest += (samples == 0 ? 1 : duration < fastest ? kFasterWeight : kSlowerWeight) * (duration - fastest);
  }

  // `served` is the share of the request's worth that was served: 1 in time, 0 not at all.
  void AddServed(double served) { served_share += kServedWeight * (served - served_share); }

  // Returns an answer's latency relative to the class's usual latency while this node is not crowded.
  double Slowdown(double duration, bool crowded) {
    if (samples < kFirstSamples || !crowded) {
      ++samples;
      uncrowded_latency += std::max(1.0 / samples, kUncrowdedWeight) * (duration - uncrowded_latency);
    }
    return duration / std::max(uncrowded_latency, 1.0);
  }
};

// While nothing is known about the work of a class, only one such request at a time goes to cold backends.
inline bool MaySendToCold(const std::vector<ClassStats>& classes, int cls) {
  return classes[static_cast<size_t>(cls)].samples > 0 ||
         std::ranges::none_of(classes, &ClassStats::cold_pending);
}
// If the attempt had no successful answer, the assumed work of the unknown classes grows, up to `max_work`.
// The attempt's duration is not used: it says little after a rejection, or with little time left.
inline void NoteColdAttempt(std::vector<ClassStats>& classes, int cls, bool answered, double max_work) {
  ClassStats& stats = classes[static_cast<size_t>(cls)];
  if (!std::exchange(stats.cold_pending, false) || answered) return;
  const double work = std::min(kUnansweredFactor * stats.ColdWork(1), max_work);
  for (ClassStats& one : classes) one.unanswered_work = std::max(one.unanswered_work, work);
}

}  // namespace meadowslip::state

#endif  // MEADOWSLIP_SRC_STATE_CLASS_STATS_H_
