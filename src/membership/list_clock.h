// When the list service has to be asked again, whoever else asks: what was missed on a call that fell silent
// counts as told some seconds later, whether it arrived or not, and so does what the service has after a call
// that failed; where lists are pushed all that it has counts at once. It decides, and does nothing: time and
// what came of each call go in, with numbers drawn evenly from [0, 1); the time of the next call comes out.
// Sources: the platform's protocol page, "Figures" and "Discovery", and its standing test.
// docs/design/list_clock.md weighs the ways.
#ifndef BURLFALL_MEMBERSHIP_LIST_CLOCK_H_
#define BURLFALL_MEMBERSHIP_LIST_CLOCK_H_

#include "io/time.h"

namespace burlfall {

struct ListRules {
  bool pushed = false;  // no need to ask: what the service has counts as told (the settings' MembershipMode)
  Micros must_ask_within = 10 * kSecond;  // the settings' Rules.MustAskIn
  Micros drain_grace = 750 * kMs;         // the settings' Rules.DrainGrace
};

// How a call for the list ended.
enum class ListCallEnd {
  kHeard,   // a list, or that there is nothing new
  kBusy,    // the service turned it away
  kSilent,  // no answer in time: a watch that fell silent is broken, and gives no sign
  kDown,    // refused, reset, or an answer that is none
};

class ListClock {
 public:
  // What a silent call has missed counts as told so long after the silence began, or after the end of the
  // wait that the call asked for, whichever is later (protocol page).
  static constexpr Micros kSilenceCounts = 6 * kSecond;
  static constexpr Micros kWaitCounts = 2 * kSecond;
  // What another service has counts so long after the word to ask it (standing test).
  static constexpr Micros kNewPlaceCounts = 4 * kSecond;

  explicit ListClock(const ListRules& rules) : rules_(rules) {}

  // What a watch asks the service to wait at the longest.
  Micros wait() const;
  // How long the answer is waited for in all. `opens`: it stands in line at the service; a watch that goes on
  // does not.
  Micros patience(bool watch, bool opens) const;

  // Another service is asked from now on: how the one before behaved says nothing of it.
  void Anew(Micros now);
  void Called(Micros now, bool watch);
  // `retry_after`: what the service asked for; 0: nothing.
  void Ended(Micros now, ListCallEnd how, Micros retry_after, double draw);

  // The next call goes out then at the latest, asked for or not; kNever: only when it is asked for.
  Micros ask_at() const { return ask_at_; }
  // What a silent call may have missed counts as told from here on; kNever: nothing was missed.
  Micros counts_at() const { return counts_at_; }

 private:
  Micros Pause(double draw) const;
  Micros PauseAfter(ListCallEnd how, Micros retry_after, double draw) const;

  const ListRules rules_;
  Micros called_at_ = 0;
  bool watch_ = false;  // the call at hand is one
  int silent_ = 0;      // calls in a row that were
  int failed_ = 0;      // calls in a row
  Micros ask_at_ = kNever;
  Micros counts_at_ = kNever;
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_LIST_CLOCK_H_
