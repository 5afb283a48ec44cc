#include "membership/list_clock.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace burlfall {
namespace {

// A third of the time until a change missed by a silent watch counts as delivered. The second third detects
// the silence, and the last third is for waiting in the service's queue again. Watch calls that continue a
// watch do not wait in that queue.
constexpr Micros kWatchWait = ListClock::kSilenceCountsAfter / 3;
constexpr Micros kMinWait = kSecond;
constexpr Micros kAnswerMargin = kSecond;  // an answer may arrive this long after the requested wait
// Timeouts for waiting in the service's queue, by the number of consecutive calls without an answer. If the
// queue alone takes longer, a call that is abandoned goes to its end again and again. The second timeout
// leaves time for a third call before a missed change counts.
constexpr Micros kQueueTimeouts[] = {2500 * kMs, 3500 * kMs, 5500 * kMs};
// Pause between failed calls while a change may have been missed: randomized around this mean, which grows
// by half with each failure.
constexpr Micros kMinPause = 300 * kMs, kMaxPause = kSecond;
// Maximum pause after a call without an answer, whose timeout was a pause itself.
constexpr Micros kMaxPauseAfterSilence = 300 * kMs;
// Mean pause while nothing was missed, randomized. What the service has a moment later counts as delivered
// 6 s after that, so a call may be rejected after 2 s in the queue and another still has time to wait there.
constexpr Micros kMeanPause = 1200 * kMs;
// While nothing was missed, a Retry-After is obeyed up to this limit, and up to a part of Rules.MustAskIn,
// plus a random part. The random part spreads the calls of all balancers that the service rejected at the
// same moment.
constexpr Micros kMaxRetryAfter = kSecond, kRetryAfterSpread = 800 * kMs;
constexpr int kMustAskDivisor = 3;
// With pushed lists: pause as a part of Rules.DrainGrace, the time left once a drain counts as delivered.
constexpr int kGraceDivisor = 4;
constexpr Micros kMaxPushedPause = 200 * kMs;

Micros Part(Micros whole, double draw) { return static_cast<Micros>(draw * static_cast<double>(whole)); }
Micros Randomized(Micros mean, double draw) { return Part(mean, 0.5 + draw); }

}  // namespace

Micros ListClock::wait() const {
  return std::min(kWatchWait, std::max(kMinWait, rules_.must_ask_within / 2));
}

Micros ListClock::timeout(bool watch, bool opens_watch) const {
  const Micros queue_timeout =
      kQueueTimeouts[std::min<size_t>(static_cast<size_t>(silent_), std::size(kQueueTimeouts) - 1)];
  if (!watch) return queue_timeout;
  return opens_watch ? std::max(queue_timeout, wait() + kAnswerMargin) : wait() + kAnswerMargin;
}

void ListClock::Called(Micros now, bool watch) {
  called_at_ = now;
  watch_ = watch;
  next_call_at_ = kNever;
}

Micros ListClock::Pause(double draw) const {
  if (rules_.pushed) {
    const Micros max_pause = std::min(kMaxPushedPause, rules_.drain_grace / kGraceDivisor);
    return std::max(10 * kMs, static_cast<Micros>((0.5 + 0.5 * draw) * static_cast<double>(max_pause)));
  }
  if (counts_at_ == kNever) return Randomized(kMeanPause, draw);
  Micros pause = kMinPause;
  for (int i = 1; i < failed_ && pause < kMaxPause; ++i) pause += pause / 2;
  return Randomized(std::min(pause, kMaxPause), draw);
}

// A change counts as delivered 6 s after the service had it and was reachable, so the next call is early
// enough for that even if the settings allow more time.
Micros ListClock::PauseAfter(ListCallOutcome how, Micros retry_after, double draw) const {
  const Micros pause = Pause(draw);
  if (how == ListCallOutcome::kSilent)
    return failed_ == 1 ? 0 : std::min(pause, Part(kMaxPauseAfterSilence, draw));
  // If a change may be missed already, or counts at once, there is no time to obey a Retry-After.
  if (retry_after == 0 || rules_.pushed || counts_at_ != kNever) return pause;
  const Micros obeyed = std::min({retry_after, rules_.must_ask_within / kMustAskDivisor, kMaxRetryAfter});
  return std::max(pause, obeyed + Part(kRetryAfterSpread, draw));
}

void ListClock::Reset(Micros now) {
  silent_ = failed_ = 0;
  next_call_at_ = kNever;
  counts_at_ = now + kNewServiceCountsAfter;
}

void ListClock::Ended(Micros now, ListCallOutcome how, Micros retry_after, double draw) {
  if (how == ListCallOutcome::kAnswered) {
    silent_ = failed_ = 0;
    counts_at_ = next_call_at_ = kNever;
    return;
  }
  ++failed_;
  if (how == ListCallOutcome::kSilent) {
    ++silent_;
    // The silence may have begun as soon as the call was sent.
    const Micros counts =
        std::max(called_at_ + kSilenceCountsAfter, watch_ ? called_at_ + wait() + kWaitCountsAfter : 0);
    counts_at_ = std::min(counts_at_, counts);
  } else {
    silent_ = 0;
  }
  next_call_at_ = now + PauseAfter(how, retry_after, draw);
}

}  // namespace burlfall
