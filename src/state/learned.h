// What a node has learned of a class by its own requests. No decisions are made here.
#ifndef MEADOWSLIP_SRC_STATE_LEARNED_H_
#define MEADOWSLIP_SRC_STATE_LEARNED_H_

#include <algorithm>
#include <cmath>

#include "meadowslip/balancer.h"

namespace meadowslip::state {

constexpr int kFirstSamples = 20;
constexpr double kWorkShare = 0.7;  // of the calm latency of a request of the mean size
constexpr double kMostSize = 10;
// Weights of the newest in what is smoothed.
constexpr double kLatencyWeight = 0.05;
constexpr double kCalmWeight = 0.02;
constexpr double kEstimateWeight = 0.02;
constexpr double kServedWeight = 0.02;
constexpr double kFasterWeight =
    0.2;  // of an answer that is faster than the fastest, so that one is soon found
constexpr double kSlowerWeight = 0.002;  // of any other, so that it holds for hundreds of answers

// Times are in microseconds.
struct Learned {
  double latency = 0;  // of good answers, smoothed
  double spread = 0;   // its mean deviation
  double calm = 0;     // the same as latency, of answers while the node was not crowded
  int samples = 0;
  double work = 0;     // mean of the estimates
  double fastest = 0;  // latency of the fastest answers
  double served = 1;   // share of the requests that were answered in time, smoothed

  Learned() = default;
  explicit Learned(double first_guess)
      : latency(first_guess), spread(first_guess / 2), fastest(first_guess) {}

  void Fields(auto& a) { a(latency, spread, calm, samples, work, fastest, served); }
  bool Sound() const {
    return std::isfinite(latency) && std::isfinite(spread) && std::isfinite(calm) && std::isfinite(work) &&
           std::isfinite(fastest) && served >= 0 && served <= 1;
  }

  // What a request takes more or less than the mean of its class, by its estimate. Guards against taking dear
  // requests for crowded or silent backends, and small ones for answered in time.
  double OwnWork(double size) const { return samples < kFirstSamples ? 0 : (size - 1) * kWorkShare * calm; }
  double Expected(double size) const { return std::max(latency + OwnWork(size), latency / 4); }

  double SizeOf(Micros estimate) {  // against the mean
    if (estimate <= 0) return 1;
    work += (work > 0 ? kEstimateWeight : 1) * (static_cast<double>(estimate) - work);
    return std::min(static_cast<double>(estimate) / work, kMostSize);
  }

  void Learn(double took) {
    spread += kLatencyWeight * (std::abs(took - latency) - spread);
    latency += kLatencyWeight * (took - latency);
    fastest += (samples == 0 ? 1 : took < fastest ? kFasterWeight : kSlowerWeight) * (took - fastest);
  }

  // `share` of what the request was worth was served: 1 in time, 0 not at all.
  void NoteServed(double share) { served += kServedWeight * (share - served); }

  // An answer's latency against what the class usually takes while this node is not crowded.
  double Pace(double took, bool crowded) {
    if (samples < kFirstSamples || !crowded) {
      ++samples;
      calm += std::max(1.0 / samples, kCalmWeight) * (took - calm);
    }
    return took / std::max(calm, 1.0);
  }
};

}  // namespace meadowslip::state

#endif  // MEADOWSLIP_SRC_STATE_LEARNED_H_
