// What both plays run on: events in the order of their time, draws from a seed, and clocks that drift.
#ifndef BURLFALL_LAB_COUNCIL_JUDGE_TIMELINE_H_
#define BURLFALL_LAB_COUNCIL_JUDGE_TIMELINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "io/time.h"

namespace burlfall::lab {

class Timeline {
 public:
  explicit Timeline(uint64_t seed) : draws_(seed * 0x9e3779b97f4a7c15 + 1) {}

  Micros now() const { return now_; }
  void At(Micros when, std::function<void()> what) {
    events_.emplace(std::pair(when < now_ ? now_ : when, ++number_), std::move(what));
  }
  void After(Micros span, std::function<void()> what) { At(now_ + span, std::move(what)); }
  // All until then; what it planned for later stays.
  void Run(Micros until) {
    while (!events_.empty() && events_.begin()->first.first <= until) {
      now_ = events_.begin()->first.first;
      const std::function<void()> what = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      what();
    }
    now_ = until;
  }

  uint64_t Draw() {
    draws_ += 0x9e3779b97f4a7c15;
    uint64_t z = draws_;
    z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
    z = (z ^ z >> 27) * 0x94d049bb133111eb;
    return z ^ z >> 31;
  }
  uint64_t Below(uint64_t n) { return Draw() % n; }
  Micros Between(Micros least, Micros most) {
    return least + static_cast<Micros>(Below(static_cast<uint64_t>(most - least + 1)));
  }
  bool Chance(double share) { return static_cast<double>(Draw() >> 11) * 0x1p-53 < share; }

 private:
  Micros now_ = 0;
  uint64_t number_ = 0;
  uint64_t draws_;
  std::map<std::pair<Micros, uint64_t>, std::function<void()>> events_;
};

// A monotonic clock of its own start and speed.
struct DriftingClock {
  Micros start = 0;
  double speed = 1;
  Micros Read(Micros now) const { return start + static_cast<Micros>(static_cast<double>(now) * speed); }
  Micros When(Micros reads) const {
    return static_cast<Micros>(static_cast<double>(reads - start) / speed) + 1;
  }
  // Two of them run apart by a share of `drift` at most.
  static DriftingClock Drawn(Timeline& time, double drift) {
    // Often at the very ends.
    const uint64_t share = time.Chance(0.5) ? 1000 * time.Below(2) : time.Below(1001);
    return {time.Between(0, 1000 * kSecond), 1 + drift * static_cast<double>(share) / 1000};
  }
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_JUDGE_TIMELINE_H_
