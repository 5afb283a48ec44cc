// Decides when the list service must be called again, even if nobody requests it. What a silent call missed
// counts as delivered some seconds later, whether it arrived or not. The same holds for what the service has
// after a failed call; with pushed lists, everything the service has counts at once. Performs no I/O: the
// caller passes in the time, the outcome of each call and random numbers drawn uniformly from [0, 1), and
// reads back the time of the next call. Sources: the platform's protocol page, "Figures" and "Discovery",
// and its standing test. docs/design/list_clock.md compares the alternatives.
#ifndef BURLFALL_MEMBERSHIP_LIST_CLOCK_H_
#define BURLFALL_MEMBERSHIP_LIST_CLOCK_H_

#include "io/time.h"

namespace burlfall {

// The platform's rules on lists.
struct ListRules {
  // lists are pushed: whatever the service has counts as delivered (the settings' MembershipMode)
  bool pushed = false;
  Micros must_ask_within = 10 * kSecond;  // the settings' Rules.MustAskIn
  Micros drain_grace = 750 * kMs;         // the settings' Rules.DrainGrace
};

// Outcome of a call to the list service.
enum class ListCallOutcome {
  kAnswered,  // a list, or an answer without changes
  kBusy,      // the service rejected the call as overloaded
  kSilent,    // timeout: a broken watch may give no other sign
  kDown,      // refused, reset, or an invalid answer
};

class ListClock {
 public:
  // What a silent call missed counts as delivered this long after the silence began, or after the end of the
  // wait that the call requested, whichever is later (protocol page).
  static constexpr Micros kSilenceCountsAfter = 6 * kSecond;
  static constexpr Micros kWaitCountsAfter = 2 * kSecond;
  // What a new service has counts as delivered this long after the balancer was told its address (standing
  // test).
  static constexpr Micros kNewServiceCountsAfter = 4 * kSecond;

  explicit ListClock(const ListRules& rules) : rules_(rules) {}

  // The longest wait that a watch requests from the service.
  Micros wait() const;
  // Timeout of a call. `opens_watch`: the call waits in the service's queue; a call that continues a watch
  // does not.
  Micros timeout(bool watch, bool opens_watch) const;

  // Another service is called from now on; the behaviour of the previous one no longer counts.
  void Reset(Micros now);
  void Called(Micros now, bool watch);
  // `retry_after`: requested by the service; 0: none. `draw`: random number from [0, 1).
  void Ended(Micros now, ListCallOutcome how, Micros retry_after, double draw);

  // Latest time of the next call, whether requested or not; kNever: only on request.
  Micros next_call_at() const { return next_call_at_; }
  // Time from which a possibly missed change counts as delivered; kNever: nothing was missed.
  Micros counts_at() const { return counts_at_; }

 private:
  Micros Pause(double draw) const;
  Micros PauseAfter(ListCallOutcome how, Micros retry_after, double draw) const;

  const ListRules rules_;
  Micros called_at_ = 0;
  bool watch_ = false;  // the current call is a watch
  int silent_ = 0;      // consecutive calls without an answer
  int failed_ = 0;      // consecutive failed calls
  Micros next_call_at_ = kNever;
  Micros counts_at_ = kNever;
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_LIST_CLOCK_H_
