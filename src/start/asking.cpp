#include "start/asking.h"

#include <algorithm>
#include <cmath>

namespace burlfall::start {
namespace {

// Of what the service can do, what first calls may take, and steady watches: the rest is for chance, and for
// what changes among the nodes.
constexpr double kFirstPart = 0.72;
constexpr double kWatchPart = 0.3;
// Where so many ask that watches must begin before the last has its list, both share the service.
constexpr double kBothPart = 0.72;
// Of the time within which the service must be asked again: the first call of a watch may wait in line yet.
constexpr double kGiveWay = 0.9;
// Of four times that, after a call that failed.
constexpr double kFailedPart = 0.8;
// Between two calls that failed, in rounds: on the whole 1.2, so that all together ask for five sixths of
// what the service can do the moment it is back, and nobody waits much longer than it needs for all.
constexpr double kLeastGap = 0.7, kMostGap = 1.7;
// Who can serve from an older list goes later, in windows.
constexpr double kUsableFrom = 0.25, kUsableTo = 1.08;
// Around its place, of the window: guards against balancers that were given one number.
constexpr double kMoved = 0.04;
constexpr double kNewsRounds = 1.2;  // after news, which all hear at once
constexpr double kMostStretch = 16;
constexpr double kMostBudget = 3;  // calls
// Of the time of the rule on asking: a balancer without a list can break no rule, and is of no use either.
constexpr int kMostWindow = 6;
// What is left of the stretch after a list that came soon, and after a watch that ended well.
constexpr double kEased = 0.6, kEasedByWatch = 0.85;
constexpr Micros kLeastLoop = 60 * kSecond;  // starts that are further apart are no loop
constexpr int kMostDoublings = 10;
constexpr Micros kLeastRound = 20 * kMs;
// Fewer that ask together do not disturb each other: nothing is put off for their sake.
constexpr Micros kAlone = 250 * kMs;
// What the service has to tell counts as told 6 s after a call: until then an answer is worth waiting for.
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

// Lists alone where they are through before the first watch is due, lists and watches else.
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
    // Twice as long with each round: one that ends before its turn has come costs nothing.
    const auto first = static_cast<double>(std::max(kAlone, round_ / 4));
    const double wait = first * std::pow(2, std::min(before, kMostDoublings) - 1) * (0.75 + 0.5 * draw);
    next_at_ = now + std::min(Rounded(wait), Longest());
  }
  const Micros after_loop = next_at_;
  if (round_ < kAlone) return;
  // The same for everyone but for the name: equal seeds, clocks and images are not the same place.
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
  // Until now it was told of all that there was to tell, where its watch was out.
  const Micros told_at = out_ && watching_ ? now : told_at_;
  const bool bound = told_at > 0 && !failed_;
  Begin(now, phase_ != StartPhase::kWithout, draw);
  told_at_ = told_at;
  budget_ = kept;
  const auto due = Rounded(kGiveWay * static_cast<double>(rules_.must_ask_within));
  if (bound) next_at_ = std::min(next_at_, std::max(now, told_at + due));
  if (budget_ < 1) next_at_ = std::max(next_at_, now + Missing());
}

// Until there is a call in the budget.
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
      // The first call of the watch, behind the lists of all the others.
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
  const Micros wait = next_at_ - now;  // a call that is out may be answered at any time
  if (wait <= patience / 2) return std::nullopt;
  return wait + Rounded(static_cast<double>(std::max(kAlone, window() / 10)) * draw);
}

// So long that the watches of all together take a part of the service only, and no longer than the service
// and the rule on what counts as told allow.
Micros Asking::watch_wait() const {
  const Micros usual = std::min(kUsualWatch, std::max(kLeastWatch, rules_.must_ask_within / 2));
  return std::clamp(Part(1 / kWatchPart), usual, kLongestWatch);
}

Micros Asking::patience() const { return kPatience; }

}  // namespace burlfall::start
