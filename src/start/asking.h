// When a balancer asks the list service, of which hundreds of others ask too. It decides, and does nothing:
// time and what came of each call go in, with numbers drawn evenly from [0, 1) by whoever holds it; the time
// of the next call comes out. docs/design/start.md weighs the ways, docs/start.md tells operators what they
// see.
//
// A balancer costs the service two turns: the call for the list, and the first call of the watch, which it
// may put off for as long as the rule on asking allows. So
// - first calls stand side by side over a *window*, a little longer than the service needs for all of them:
// each
//   at the place that its number among the balancers gives it, moved by name and chance; a balancer that has
//   no list goes before one that can serve from an older one;
// - whoever has its list gives way, and begins its watch once the others have theirs;
// - a watch waits long enough that all of them together take a part of the service only, and goes on after
//   news, which all hear at once, at a time of its own;
// - a call that failed is followed by another after a time drawn anew each time, so that those who ask a
//   service that is down make no wall when it is back; where the service shows that it has too many callers,
//   all of these grow, and shrink again with its answers. Who has a list to send by asks no later than the
//   list's clock says (membership/list_clock.h);
// - calls are paid from a budget that time refills, and a list, but no failure.
#ifndef BURLFALL_START_ASKING_H_
#define BURLFALL_START_ASKING_H_

#include <cstdint>
#include <optional>

#include "io/time.h"

namespace burlfall::start {

struct AskRules {
  // A balancer that has not asked for so long counts as told what was listed that long ago; four times as
  // long after a call that failed (the settings' Rules.MustAskIn).
  Micros must_ask_within = 10 * kSecond;
  double balancers = 1;     // that ask the same service
  double calls_per_s = 50;  // that it can handle
  // Where this one stands among them, from 0; below 0: it has no number.
  int number = -1;
};

// How a call ended.
enum class CallEnd {
  kNews,      // a list, whole or changes, that was not known
  kNothing,   // what was known is still so
  kBusy,      // the service says that it has too many callers, or let this one wait in line for too long
  kNoAnswer,  // none in time: who is cut off from it gets no sign
  kDown,      // refused, reset, or an answer that is none
};

// Where a start stands, as events and counters name it.
enum class StartPhase {
  kWithout,    // no list: nothing can be sent anywhere
  kOlder,      // serves from a list of before its start
  kListed,     // has its list, and gives way to those that have none
  kFollowing,  // watches for news
};
const char* NameOf(StartPhase phase);

class Asking {
 public:
  // `who`: a hash of the balancer's name, which no other has.
  Asking(const AskRules& rules, uint64_t who);

  // The process has begun. `usable`: it has a list to serve from.
  // `before`: how often its process had begun within loop_span(), without an orderly end.
  void Begin(Micros now, bool usable, double draw, int before = 0);
  Micros loop_span() const;
  // There is another service to ask from now on; whatever was out has been given up. All balancers may be
  // told of it in one moment, so it is asked in turn, but no later than the rule on asking allows since the
  // last answer. The budget goes on.
  void BeginAnew(Micros now, double draw);
  // So many balancers ask the service, as is known by now; calls from then on keep to it.
  void SharedBy(double balancers);
  Micros next_at() const { return next_at_; }  // no call goes out before
  // A call goes out; `watch`: one that waits for news.
  void Called(Micros now, bool watch);
  // It ended. `in_line`: how long the answer of a call that does not wait took. `retry_after`: what the
  // service asked for, 0: nothing.
  void Ended(Micros now, CallEnd how, Micros in_line, Micros retry_after, double draw);

  // For a query with so much time, while there is no list: when its client should come back, where the list
  // can't be there in half of that time. Drawn, so that the refused don't come back as one.
  std::optional<Micros> Refuses(Micros now, Micros patience, double draw) const;

  // What a watch asks the service to wait at the longest.
  Micros watch_wait() const;
  // How long the answer to a call that does not wait is waited for: one that stands in line is not given up
  // for a new one at its end.
  Micros patience() const;

  StartPhase phase() const { return phase_; }
  // The least time in which the service can hand a list to every balancer, and the window of this start.
  Micros round() const { return round_; }
  Micros window() const;
  double stretch() const { return stretch_; }  // 1: the service shows no strain
  double budget(Micros now) const;             // calls

 private:
  Micros Part(double rounds) const;  // of the round, stretched
  Micros Longest() const;            // between two calls, after a failure
  void Refill(Micros now);
  Micros Missing() const;

  AskRules rules_;
  const uint64_t who_;
  Micros round_;
  Micros next_at_ = 0;
  Micros began_at_ = 0;
  Micros told_at_ = 0;  // when it last heard a list; 0: not since it began
  bool watching_ = false;
  bool out_ = false;     // a call is
  bool failed_ = false;  // the last one
  StartPhase phase_ = StartPhase::kWithout;
  double stretch_ = 1;
  double budget_ = 0;
  Micros refilled_at_ = 0;
};

}  // namespace burlfall::start

#endif  // BURLFALL_START_ASKING_H_
