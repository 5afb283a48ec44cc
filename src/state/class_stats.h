// What a node has learned of a class by its own requests. No decisions are made here.
#ifndef MEADOWSLIP_SRC_STATE_CLASS_STATS_H_
#define MEADOWSLIP_SRC_STATE_CLASS_STATS_H_

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

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

constexpr double kUnansweredFactor = 4;  // times the work that an unknown request was taken for

// Times are in microseconds.
struct Learned {
  double latency = 0;  // of good answers, smoothed
  double spread = 0;   // its mean deviation
  double calm = 0;     // the same as latency, of answers while the node was not crowded
  int samples = 0;
  double work = 0;     // mean of the estimates
  double fastest = 0;  // latency of the fastest answers
  double served = 1;   // share of the requests that were answered in time, smoothed
  // Until the first good answer: what attempts that had none are taken to say of its work, and whether one is
  // at a cold backend.
  double unanswered = 0;
  bool trying = false;

  Learned() = default;
  explicit Learned(double first_guess)
      : latency(first_guess), spread(first_guess / 2), fastest(first_guess) {}

  void Fields(auto& a) { a(latency, spread, calm, samples, work, fastest, served, unanswered, trying); }
  bool Sound() const {
    return std::isfinite(latency) && std::isfinite(spread) && std::isfinite(calm) && std::isfinite(work) &&
           std::isfinite(fastest) && std::isfinite(unanswered) && served >= 0 && served <= 1;
  }

  // What a request takes more or less than the mean of its class, by its estimate. Guards against taking dear
  // requests for crowded or silent backends, and small ones for answered in time.
  double OwnWork(double size) const { return samples < kFirstSamples ? 0 : (size - 1) * kWorkShare * calm; }
  double Expected(double size) const { return std::max(latency + OwnWork(size), latency / 4); }

  // The work that a request counts for at a cold backend: never less than the mean of what was seen. The
  // smoothed latency alone leaves its first guess too slowly for that.
  double ColdWork(double size) const {
    if (samples == 0) return std::max(latency, unanswered);
    return std::max(Expected(size), calm + OwnWork(size));
  }
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

// Of classes of whose work nothing is known, one request at a time goes to cold backends.
inline bool MayTryCold(const std::vector<Learned>& classes, int cls) {
  return classes[static_cast<size_t>(cls)].samples > 0 || std::ranges::none_of(classes, &Learned::trying);
}
// Where it had no good answer, what is unknown is taken for some times as much work, up to `most`: how long
// an attempt waited says little where it had little time left, or was turned away.
inline void NoteTried(std::vector<Learned>& classes, int cls, bool answered, double most) {
  Learned& tried = classes[static_cast<size_t>(cls)];
  if (!std::exchange(tried.trying, false) || answered) return;
  const double raised = std::min(kUnansweredFactor * tried.ColdWork(1), most);
  for (Learned& one : classes) one.unanswered = std::max(one.unanswered, raised);
}

}  // namespace meadowslip::state

#endif  // MEADOWSLIP_SRC_STATE_CLASS_STATS_H_
