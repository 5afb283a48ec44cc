#include "start/call_pacer.h"

#include <algorithm>
#include <cmath>

namespace burlfall::start {
namespace {

// Part of the service's capacity that first calls, and watches in steady state, may use. The rest is reserve
// for random variation and for changes among the nodes.
constexpr double kFirstCallShare = 0.72;
constexpr double kWatchShare = 0.3;
// Part used when there are so many balancers that the first watches begin before the last balancer has its
// list, so that lists and watches share the service.
constexpr double kCombinedShare = 0.72;
// Part of Rules.MustAskIn after which a watch begins: its first call may still have to wait in the service's
// queue.
constexpr double kWatchDelayShare = 0.9;
// Part of four times Rules.MustAskIn, which is the limit after a failed call.
constexpr double kFailedDelayShare = 0.8;
// Delay between two failed calls, in rounds. The mean is 1.2, so that all balancers together use five sixths
// of the service's capacity when it recovers, and none waits much longer than the service needs for all.
constexpr double kMinRetryRounds = 0.7, kMaxRetryRounds = 1.7;
// Balancers that can serve from an older list call later; in windows.
constexpr double kOldListFrom = 0.25, kOldListTo = 1.08;
// Random shift around the assigned place, as a part of the window: guards against balancers that were given
// the same number.
constexpr double kPlaceJitter = 0.04;
constexpr double kChangeDelayRounds = 1.2;  // delay after a change, which all balancers receive at once
constexpr double kMaxStretch = 16;
constexpr double kMaxBudget = 3;  // calls
// Maximum window, in multiples of Rules.MustAskIn: a balancer without a list cannot break that rule, but
// cannot serve either.
constexpr int kMaxWindow = 6;
// Factor on the stretch after a list that arrived quickly, and after a watch that succeeded.
constexpr double kListRelief = 0.6, kWatchRelief = 0.85;
constexpr Micros kMinLoopSpan = 60 * kSecond;  // starts further apart than this are no crash loop
constexpr int kMaxDoublings = 10;
constexpr Micros kMinRound = 20 * kMs;
// With a shorter round the balancers do not disturb each other, and no call is delayed.
constexpr Micros kMinSharedRound = 250 * kMs;
// The service's changes count as delivered 6 s after a call; until then it is worth waiting for the answer.
constexpr Micros kCallTimeout = 5500 * kMs;
constexpr Micros kMinWatch = kSecond, kMaxWatch = 60 * kSecond, kDefaultWatch = 20 * kSecond;

double Fraction(double x) { return x - std::floor(x); }

Micros Rounded(double us) { return static_cast<Micros>(us); }

Micros RoundOf(const PacerRules& rules) {
  const double s = std::max(1.0, rules.balancers) / std::max(0.01, rules.calls_per_s);
  return std::max(kMinRound, Rounded(std::min(s, 3600.0) * static_cast<double>(kSecond)));
}

}  // namespace

const char* NameOf(StartPhase phase) {
  constexpr const char* kNames[] = {"without_list", "older_list", "listed", "following"};
  return kNames[static_cast<int>(phase)];
}

CallPacer::CallPacer(const PacerRules& rules, uint64_t name_hash)
    : rules_(rules), name_hash_(name_hash), round_(RoundOf(rules)) {}

void CallPacer::SetBalancers(double balancers) {
  rules_.balancers = balancers;
  round_ = RoundOf(rules_);
}

Micros CallPacer::Stretched(double rounds) const {
  return Rounded(static_cast<double>(round_) * rounds * stretch_);
}

Micros CallPacer::MaxRetryDelay() const {
  return Rounded(4 * kFailedDelayShare * static_cast<double>(rules_.must_ask_within));
}

// Fits the lists alone if all are delivered before the first watch is due, otherwise lists and watches.
Micros CallPacer::window() const {
  const Micros alone = Stretched(1 / kFirstCallShare);
  const auto due = Rounded(kWatchDelayShare * static_cast<double>(rules_.must_ask_within));
  return std::min(alone <= due ? alone : Stretched(2 / kCombinedShare), kMaxWindow * rules_.must_ask_within);
}

Micros CallPacer::loop_span() const { return std::max(kMinLoopSpan, 10 * round_); }

void CallPacer::Begin(Micros now, bool has_list, double draw, int recent_starts) {
  began_at_ = now;
  last_list_at_ = 0;
  in_watch_ = in_call_ = failed_ = false;
  phase_ = has_list ? StartPhase::kOldList : StartPhase::kNoList;
  stretch_ = 1;
  budget_ = kMaxBudget;
  refilled_at_ = now;
  next_at_ = now;
  if (recent_starts > 0) {
    // The delay doubles with each restart. A process that crashes before its first call costs the service
    // nothing.
    const auto first = static_cast<double>(std::max(kMinSharedRound, round_ / 4));
    const double wait = first * std::pow(2, std::min(recent_starts, kMaxDoublings) - 1) * (0.75 + 0.5 * draw);
    next_at_ = now + std::min(Rounded(wait), MaxRetryDelay());
  }
  const Micros after_loop = next_at_;
  if (round_ < kMinSharedRound) return;
  // Adds the name's hash, so that balancers with equal seeds, clocks and images get different places.
  const double random_place = Fraction(static_cast<double>(name_hash_ >> 11) * 0x1p-53 + draw);
  double place = random_place;
  if (rules_.number >= 0 && rules_.number < rules_.balancers) {
    place = Fraction(rules_.number / rules_.balancers + kPlaceJitter * (random_place - 0.5));
  }
  const auto window_us = static_cast<double>(window());
  const auto due = kWatchDelayShare * static_cast<double>(rules_.must_ask_within);
  const double at = has_list ? std::min(window_us * (kOldListFrom + (kOldListTo - kOldListFrom) * place),
                                        due * (kOldListFrom + (1 - kOldListFrom) * place))
                             : window_us * place;
  next_at_ = std::max(after_loop, now + Rounded(at));
}

void CallPacer::Restart(Micros now, double draw) {
  Refill(now);
  const double saved_budget = budget_;
  // While a watch was in progress, the balancer received all changes up to now.
  const Micros last_list_at = in_call_ && in_watch_ ? now : last_list_at_;
  const bool is_bound = last_list_at > 0 && !failed_;
  Begin(now, phase_ != StartPhase::kNoList, draw);
  last_list_at_ = last_list_at;
  budget_ = saved_budget;
  const auto due = Rounded(kWatchDelayShare * static_cast<double>(rules_.must_ask_within));
  if (is_bound) next_at_ = std::min(next_at_, std::max(now, last_list_at + due));
  if (budget_ < 1) next_at_ = std::max(next_at_, now + BudgetDelay());
}

// Time until the budget allows a call.
Micros CallPacer::BudgetDelay() const {
  const auto delay_us = (1 - budget_) * static_cast<double>(std::max(round_, kMinSharedRound));
  return std::min(Rounded(delay_us), MaxRetryDelay());
}

void CallPacer::Refill(Micros now) {
  const double rounds =
      static_cast<double>(now - refilled_at_) / static_cast<double>(std::max(round_, kMinSharedRound));
  budget_ = std::min(kMaxBudget, budget_ + std::max(0.0, rounds));
  refilled_at_ = std::max(refilled_at_, now);
}

double CallPacer::budget(Micros now) const {
  CallPacer then = *this;
  then.Refill(now);
  return then.budget_;
}

void CallPacer::Called(Micros now, bool watch) {
  Refill(now);
  budget_ -= 1;
  in_watch_ = watch;
  in_call_ = true;
  if (watch) phase_ = StartPhase::kFollowing;
}

void CallPacer::Ended(Micros now, CallOutcome how, Micros queue_time, Micros retry_after, double draw) {
  const bool answered = how == CallOutcome::kChanged || how == CallOutcome::kUnchanged;
  in_call_ = false;
  failed_ = !answered;
  const auto due = Rounded(kWatchDelayShare * static_cast<double>(rules_.must_ask_within));
  if (answered) {
    budget_ = kMaxBudget;
    refilled_at_ = now;
    const bool first = last_list_at_ == 0;
    last_list_at_ = now;
    if (!in_watch_) phase_ = StartPhase::kListed;
    if (in_watch_ || queue_time <= round_ / 4) {
      stretch_ = std::max(1.0, stretch_ * (in_watch_ ? kWatchRelief : kListRelief));
    }
    next_at_ = now;
    if (round_ < kMinSharedRound) return;
    if (!in_watch_) {
      // Places the first call of the watch behind the list calls of all other balancers.
      const Micros window_us = window();
      const auto shift = Rounded(kPlaceJitter * static_cast<double>(window_us) * draw);
      next_at_ = now + std::max<Micros>(0, std::min(due, window_us + window_us / 10) - shift);
    } else if (how == CallOutcome::kChanged && !first) {
      next_at_ = now + std::min(due, Rounded(static_cast<double>(Stretched(kChangeDelayRounds)) * draw));
    }
    return;
  }
  if (phase_ == StartPhase::kFollowing || phase_ == StartPhase::kListed) phase_ = StartPhase::kOldList;
  if (how == CallOutcome::kBusy) stretch_ = std::min(kMaxStretch, stretch_ * 2);
  if (how == CallOutcome::kNoAnswer) stretch_ = std::min(kMaxStretch, stretch_ * 1.25);
  const Micros delay = Stretched(kMinRetryRounds + (kMaxRetryRounds - kMinRetryRounds) * draw);
  next_at_ =
      now + std::min(std::max(delay, retry_after + (retry_after > 0 ? delay / 2 : 0)), MaxRetryDelay());
  Refill(now);
  if (budget_ < 1) next_at_ = std::max(next_at_, now + BudgetDelay());
}

std::optional<Micros> CallPacer::RetryDelay(Micros now, Micros max_wait, double draw) const {
  if (phase_ != StartPhase::kNoList) return std::nullopt;
  const Micros wait = next_at_ - now;  // a call in progress may be answered at any time
  if (wait <= max_wait / 2) return std::nullopt;
  return wait + Rounded(static_cast<double>(std::max(kMinSharedRound, window() / 10)) * draw);
}

// Long enough that the watches of all balancers use only a part of the service's capacity, but no longer
// than the service allows and than changes may take to count as delivered.
Micros CallPacer::watch_wait() const {
  const Micros usual = std::min(kDefaultWatch, std::max(kMinWatch, rules_.must_ask_within / 2));
  return std::clamp(Stretched(1 / kWatchShare), usual, kMaxWatch);
}

Micros CallPacer::call_timeout() const { return kCallTimeout; }

}  // namespace burlfall::start
