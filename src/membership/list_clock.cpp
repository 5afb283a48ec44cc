#include "membership/list_clock.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace burlfall {
namespace {

// A third of the time until what a silent watch missed counts: a second third finds it out, and the last is
// for standing in line anew. Calls that go on with a watch cost the service no place in its line.
constexpr Micros kWatchWait = ListClock::kSilenceCounts / 3;
constexpr Micros kLeastWait = kSecond;
constexpr Micros kLate = kSecond;  // an answer may come so long after its wait
// For a place in line, after so many silences in a row: where the line alone takes so much, a call that is
// given up goes to its end again and again. The second leaves time for a third before what it missed counts.
constexpr Micros kInLine[] = {2500 * kMs, 3500 * kMs, 5500 * kMs};
// Between two calls that failed, where something is missed: drawn around it, half as much again with each.
constexpr Micros kLeastPause = 300 * kMs, kMostPause = kSecond;
// After a silence, which was a pause itself.
constexpr Micros kSilencePause = 300 * kMs;
// Where nothing was missed yet: drawn around it. What the service has the moment after counts 6 s later: so a
// call may be turned away after 2 s in line, and one more has time to stand in it.
constexpr Micros kUsualPause = 1200 * kMs;
// A Retry-After is heeded up to here there, and in parts of the time within which the service wants to be
// asked, with a part drawn on top. Guards the service against all those that it turned away in one moment.
constexpr Micros kMostHeeded = kSecond, kHeededSpread = 800 * kMs;
constexpr int kPartsOfAsking = 3;
// Where lists are pushed, in parts of the grace that is left once a drain counts.
constexpr int kPartsOfGrace = 4;
constexpr Micros kPushedPause = 200 * kMs;

Micros Part(Micros whole, double draw) { return static_cast<Micros>(draw * static_cast<double>(whole)); }
Micros Around(Micros mean, double draw) { return Part(mean, 0.5 + draw); }

}  // namespace

Micros ListClock::wait() const {
  return std::min(kWatchWait, std::max(kLeastWait, rules_.must_ask_within / 2));
}

Micros ListClock::patience(bool watch, bool opens) const {
  const Micros line = kInLine[std::min<size_t>(static_cast<size_t>(silent_), std::size(kInLine) - 1)];
  if (!watch) return line;
  return opens ? std::max(line, wait() + kLate) : wait() + kLate;
}

void ListClock::Called(Micros now, bool watch) {
  called_at_ = now;
  watch_ = watch;
  ask_at_ = kNever;
}

Micros ListClock::Pause(double draw) const {
  if (rules_.pushed) {
    const Micros most = std::min(kPushedPause, rules_.drain_grace / kPartsOfGrace);
    return std::max(10 * kMs, static_cast<Micros>((0.5 + 0.5 * draw) * static_cast<double>(most)));
  }
  if (counts_at_ == kNever) return Around(kUsualPause, draw);
  Micros pause = kLeastPause;
  for (int i = 1; i < failed_ && pause < kMostPause; ++i) pause += pause / 2;
  return Around(std::min(pause, kMostPause), draw);
}

// Whatever is allowed after a call that failed, a change counts 6 s after the service had it and could be
// reached: so it is asked again in time for that, also where the settings give longer.
Micros ListClock::PauseAfter(ListCallEnd how, Micros retry_after, double draw) const {
  const Micros pause = Pause(draw);
  if (how == ListCallEnd::kSilent) return failed_ == 1 ? 0 : std::min(pause, Part(kSilencePause, draw));
  // What is missed already, or counts at once, leaves no time for a Retry-After.
  if (retry_after == 0 || rules_.pushed || counts_at_ != kNever) return pause;
  const Micros heeded = std::min({retry_after, rules_.must_ask_within / kPartsOfAsking, kMostHeeded});
  return std::max(pause, heeded + Part(kHeededSpread, draw));
}

void ListClock::Anew(Micros now) {
  silent_ = failed_ = 0;
  ask_at_ = kNever;
  counts_at_ = now + kNewPlaceCounts;
}

void ListClock::Ended(Micros now, ListCallEnd how, Micros retry_after, double draw) {
  if (how == ListCallEnd::kHeard) {
    silent_ = failed_ = 0;
    counts_at_ = ask_at_ = kNever;
    return;
  }
  ++failed_;
  if (how == ListCallEnd::kSilent) {
    ++silent_;
    // Silence may have begun as soon as the call was out.
    const Micros counts =
        std::max(called_at_ + kSilenceCounts, watch_ ? called_at_ + wait() + kWaitCounts : 0);
    counts_at_ = std::min(counts_at_, counts);
  } else {
    silent_ = 0;
  }
  ask_at_ = now + PauseAfter(how, retry_after, draw);
}

}  // namespace burlfall
