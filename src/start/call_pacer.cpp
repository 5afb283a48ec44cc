#include "start/call_pacer.h"

#include <algorithm>
#include <cmath>

namespace burlfall::start {
namespace {

// Part of the service's capacity that first calls, and watches in steady state, may use. The rest is reserve
// for random variation and for changes among the nodes.
constexpr double kFirstPart = 0.72;
constexpr double kWatchPart = 0.3;
// Part used when there are so many balancers that the first watches begin before the last balancer has its
// list, so that lists and watches share the service.
constexpr double kBothPart = 0.72;
// Part of Rules.MustAskIn after which a watch begins: its first call may still have to wait in the service's
// queue.
constexpr double kGiveWay = 0.9;
// Part of four times Rules.MustAskIn, which is the limit after a failed call.
constexpr double kFailedPart = 0.8;
// Delay between two failed calls, in rounds. The mean is 1.2, so that all balancers together use five sixths
// of the service's capacity when it recovers, and none waits much longer than the service needs for all.
constexpr double kLeastGap = 0.7, kMostGap = 1.7;
// Balancers that can serve from an older list call later; in windows.
constexpr double kUsableFrom = 0.25, kUsableTo = 1.08;
// Random shift around the assigned place, as a part of the window: guards against balancers that were given
// the same number.
constexpr double kMoved = 0.04;
constexpr double kNewsRounds = 1.2;  // delay after a change, which all balancers receive at once
constexpr double kMostStretch = 16;
constexpr double kMostBudget = 3;  // calls
// Maximum window, in multiples of Rules.MustAskIn: a balancer without a list cannot break that rule, but
// cannot serve either.
constexpr int kMostWindow = 6;
// Factor on the stretch after a list that arrived quickly, and after a watch that succeeded.
constexpr double kEased = 0.6, kEasedByWatch = 0.85;
constexpr Micros kLeastLoop = 60 * kSecond;  // starts further apart than this are no crash loop
constexpr int kMostDoublings = 10;
constexpr Micros kLeastRound = 20 * kMs;
// With a shorter round the balancers do not disturb each other, and no call is delayed.
constexpr Micros kAlone = 250 * kMs;
// The service's changes count as delivered 6 s after a call; until then it is worth waiting for the answer.
constexpr Micros kPatience = 5500 * kMs;
constexpr Micros kLeastWatch = kSecond, kLongestWatch = 60 * kSecond, kUsualWatch = 20 * kSecond;

double Fraction(double x) { return x - std::floor(x); }

Micros Rounded(double us) { return static_cast<Micros>(us); }

Micros RoundOf(const AskRules& rules) {
  const double s = std::max(1.0, rules.balancers) / std::max(0.01, rules.calls_per_s);
  return std::max(kLeastRound, Rounded(std::min(s, 3600.0) * static_cast<double>(kSecond)));
}

}  // namespace

const char* NameOf(StartPhase phase) {
  constexpr const char* kNames[] = {"without_list", "older_list", "listed", "following"};
  return kNames[static_cast<int>(phase)];
}

Asking::Asking(const AskRules& rules, uint64_t who) : rules_(rules), who_(who), round_(RoundOf(rules)) {}

void Asking::SharedBy(double balancers) {
  rules_.balancers = balancers;
  round_ = RoundOf(rules_);
}

Micros Asking::Part(double rounds) const { return Rounded(static_cast<double>(round_) * rounds * stretch_); }

Micros Asking::Longest() const {
  return Rounded(4 * kFailedPart * static_cast<double>(rules_.must_ask_within));
}

// Fits the lists alone if all are delivered before the first watch is due, otherwise lists and watches.
Micros Asking::window() const {
  const Micros alone = Part(1 / kFirstPart);
  const auto due = Rounded(kGiveWay * static_cast<double>(rules_.must_ask_within));
  return std::min(alone <= due ? alone : Part(2 / kBothPart), kMostWindow * rules_.must_ask_within);
}

Micros Asking::loop_span() const { return std::max(kLeastLoop, 10 * round_); }

void Asking::Begin(Micros now, bool usable, double draw, int before) {
  began_at_ = now;
  told_at_ = 0;
  watching_ = out_ = failed_ = false;
  phase_ = usable ? StartPhase::kOlder : StartPhase::kWithout;
  stretch_ = 1;
  budget_ = kMostBudget;
  refilled_at_ = now;
  next_at_ = now;
  if (before > 0) {
    // The delay doubles with each restart. A process that crashes before its first call costs the service
    // nothing.
    const auto first = static_cast<double>(std::max(kAlone, round_ / 4));
    const double wait = first * std::pow(2, std::min(before, kMostDoublings) - 1) * (0.75 + 0.5 * draw);
    next_at_ = now + std::min(Rounded(wait), Longest());
  }
  const Micros after_loop = next_at_;
  if (round_ < kAlone) return;
  // Adds the name's hash, so that balancers with equal seeds, clocks and images get different places.
  const double chance = Fraction(static_cast<double>(who_ >> 11) * 0x1p-53 + draw);
  double place = chance;
  if (rules_.number >= 0 && rules_.number < rules_.balancers) {
    place = Fraction(rules_.number / rules_.balancers + kMoved * (chance - 0.5));
  }
  const auto wide = static_cast<double>(window());
  const auto due = kGiveWay * static_cast<double>(rules_.must_ask_within);
  const double at = usable ? std::min(wide * (kUsableFrom + (kUsableTo - kUsableFrom) * place),
                                      due * (kUsableFrom + (1 - kUsableFrom) * place))
                           : wide * place;
  next_at_ = std::max(after_loop, now + Rounded(at));
}

void Asking::BeginAnew(Micros now, double draw) {
  Refill(now);
  const double kept = budget_;
  // While a watch was in progress, the balancer received all changes up to now.
  const Micros told_at = out_ && watching_ ? now : told_at_;
  const bool bound = told_at > 0 && !failed_;
  Begin(now, phase_ != StartPhase::kWithout, draw);
  told_at_ = told_at;
  budget_ = kept;
  const auto due = Rounded(kGiveWay * static_cast<double>(rules_.must_ask_within));
  if (bound) next_at_ = std::min(next_at_, std::max(now, told_at + due));
  if (budget_ < 1) next_at_ = std::max(next_at_, now + Missing());
}

// Time until the budget allows a call.
Micros Asking::Missing() const {
  const auto missing = (1 - budget_) * static_cast<double>(std::max(round_, kAlone));
  return std::min(Rounded(missing), Longest());
}

void Asking::Refill(Micros now) {
  const double rounds =
      static_cast<double>(now - refilled_at_) / static_cast<double>(std::max(round_, kAlone));
  budget_ = std::min(kMostBudget, budget_ + std::max(0.0, rounds));
  refilled_at_ = std::max(refilled_at_, now);
}

double Asking::budget(Micros now) const {
  Asking then = *this;
  then.Refill(now);
  return then.budget_;
}

void Asking::Called(Micros now, bool watch) {
  Refill(now);
  budget_ -= 1;
  watching_ = watch;
  out_ = true;
  if (watch) phase_ = StartPhase::kFollowing;
}

void Asking::Ended(Micros now, CallEnd how, Micros in_line, Micros retry_after, double draw) {
  const bool heard = how == CallEnd::kNews || how == CallEnd::kNothing;
  out_ = false;
  failed_ = !heard;
  const auto due = Rounded(kGiveWay * static_cast<double>(rules_.must_ask_within));
  if (heard) {
    budget_ = kMostBudget;
    refilled_at_ = now;
    const bool first = told_at_ == 0;
    told_at_ = now;
    if (!watching_) phase_ = StartPhase::kListed;
    if (watching_ || in_line <= round_ / 4) {
      stretch_ = std::max(1.0, stretch_ * (watching_ ? kEasedByWatch : kEased));
    }
    next_at_ = now;
    if (round_ < kAlone) return;
    if (!watching_) {
      // Places the first call of the watch behind the list calls of all other balancers.
      const Micros wide = window();
      const auto moved = Rounded(kMoved * static_cast<double>(wide) * draw);
      next_at_ = now + std::max<Micros>(0, std::min(due, wide + wide / 10) - moved);
    } else if (how == CallEnd::kNews && !first) {
      next_at_ = now + std::min(due, Rounded(static_cast<double>(Part(kNewsRounds)) * draw));
    }
    return;
  }
  if (phase_ == StartPhase::kFollowing || phase_ == StartPhase::kListed) phase_ = StartPhase::kOlder;
  if (how == CallEnd::kBusy) stretch_ = std::min(kMostStretch, stretch_ * 2);
  if (how == CallEnd::kNoAnswer) stretch_ = std::min(kMostStretch, stretch_ * 1.25);
  const Micros gap = Part(kLeastGap + (kMostGap - kLeastGap) * draw);
  next_at_ = now + std::min(std::max(gap, retry_after + (retry_after > 0 ? gap / 2 : 0)), Longest());
  Refill(now);
  if (budget_ < 1) next_at_ = std::max(next_at_, now + Missing());
}

std::optional<Micros> Asking::Refuses(Micros now, Micros patience, double draw) const {
  if (phase_ != StartPhase::kWithout) return std::nullopt;
  const Micros wait = next_at_ - now;  // a call in progress may be answered at any time
  if (wait <= patience / 2) return std::nullopt;
  return wait + Rounded(static_cast<double>(std::max(kAlone, window() / 10)) * draw);
}

// Long enough that the watches of all balancers use only a part of the service's capacity, but no longer
// than the service allows and than changes may take to count as delivered.
Micros Asking::watch_wait() const {
  const Micros usual = std::min(kUsualWatch, std::max(kLeastWatch, rules_.must_ask_within / 2));
  return std::clamp(Part(1 / kWatchPart), usual, kLongestWatch);
}

Micros Asking::patience() const { return kPatience; }

}  // namespace burlfall::start
