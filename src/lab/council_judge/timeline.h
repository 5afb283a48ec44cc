// The base of both simulations: events in order of time, random numbers from a seed, and clocks that drift.
#ifndef BURLFALL_LAB_COUNCIL_JUDGE_TIMELINE_H_
#define BURLFALL_LAB_COUNCIL_JUDGE_TIMELINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "io/time.h"

namespace burlfall::lab {

// The event queue and the random numbers of one simulation; the same seed gives the same run.
class Timeline {
 public:
  explicit Timeline(uint64_t seed) : state_(seed * 0x9e3779b97f4a7c15 + 1) {}

  Micros now() const { return now_; }
  void At(Micros when, std::function<void()> action) {
    events_.emplace(std::pair(when < now_ ? now_ : when, ++last_event_number_), std::move(action));
  }
  void After(Micros span, std::function<void()> action) { At(now_ + span, std::move(action)); }
  // Runs all events up to `until`; later ones stay scheduled.
  void Run(Micros until) {
    while (!events_.empty() && events_.begin()->first.first <= until) {
      now_ = events_.begin()->first.first;
      const std::function<void()> action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    now_ = until;
  }

  uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15;
    uint64_t z = state_;
    z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
    z = (z ^ z >> 27) * 0x94d049bb133111eb;
    return z ^ z >> 31;
  }
  uint64_t Below(uint64_t n) { return Next() % n; }
  Micros Between(Micros min, Micros max) {
    return min + static_cast<Micros>(Below(static_cast<uint64_t>(max - min + 1)));
  }
  // True with probability `share`.
  bool Chance(double share) { return static_cast<double>(Next() >> 11) * 0x1p-53 < share; }

 private:
  Micros now_ = 0;
  uint64_t last_event_number_ = 0;
  uint64_t state_;
  std::map<std::pair<Micros, uint64_t>, std::function<void()>> events_;
};

// A monotonic clock with its own start and speed.
struct DriftingClock {
  Micros start = 0;
  double speed = 1;
  Micros Read(Micros now) const { return start + static_cast<Micros>(static_cast<double>(now) * speed); }
  Micros ToSimulationTime(Micros reads) const {
    return static_cast<Micros>(static_cast<double>(reads - start) / speed) + 1;
  }
  // Two of these clocks differ in speed by at most the share `drift`.
  static DriftingClock Random(Timeline& time, double drift) {
    // Half of the clocks run at one of the two extreme speeds.
    const uint64_t share = time.Chance(0.5) ? 1000 * time.Below(2) : time.Below(1001);
    return {time.Between(0, 1000 * kSecond), 1 + drift * static_cast<double>(share) / 1000};
  }
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_JUDGE_TIMELINE_H_
