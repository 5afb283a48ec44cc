// Decides when a balancer calls the list service, which hundreds of other balancers share. Performs no I/O:
// the caller passes in the time, the outcome of each call and random numbers drawn uniformly from [0, 1),
// and reads back the time of the next call. docs/design/start.md compares the alternatives; docs/start.md
// describes what operators see.
//
// A starting balancer costs the service two places in its queue: the call for the list and the first call of
// the watch, which may be delayed for as long as Rules.MustAskIn allows. Therefore:
// - First calls are spread over a *window*, slightly longer than the service needs to answer all of them.
//   Each balancer's place follows from its number among the balancers, shifted by its name and a random
//   amount. A balancer without a list goes before one that can serve from an older list.
// - A balancer that has its list delays its watch until the others have their lists.
// - A watch waits long enough that the watches of all balancers use only a part of the service's capacity.
//   After a change, which all balancers receive at once, the next watch call is delayed by a random time.
// - A failed call is retried after a random delay, so that balancers do not all call at once when the
//   service recovers. When the service shows that it is overloaded, all delays grow; successful answers
//   shrink them again. A balancer that has a list to serve from calls no later than ListClock says
//   (membership/list_clock.h).
// - Calls are paid from a budget, which refills with time and when a list arrives, but not on a failure.
#ifndef BURLFALL_START_CALL_PACER_H_
#define BURLFALL_START_CALL_PACER_H_

#include <cstdint>
#include <optional>

#include "io/time.h"

namespace burlfall::start {

// Limits and shares of the list service.
struct PacerRules {
  // A balancer that has not called for this long is treated as if it had received what was listed that long
  // ago; after a failed call the limit is four times as long (the settings' Rules.MustAskIn).
  Micros must_ask_within = 10 * kSecond;
  double balancers = 1;     // number of balancers that call the same service
  double calls_per_s = 50;  // capacity of the service
  // Index of this balancer among them, from 0; negative: it has no index.
  int number = -1;
};

// Outcome of a call.
enum class CallOutcome {
  kChanged,    // a full list or changes that were not known yet
  kUnchanged,  // an answer without changes
  kBusy,       // the service rejected the call as overloaded, or let it wait in its queue for too long
  kNoAnswer,   // timeout; a network partition gives no other sign
  kDown,       // refused, reset, or an invalid answer
};

// Phase of a balancer's start. NameOf() gives the names that events and counters use.
enum class StartPhase {
  kNoList,     // no list: no request can be forwarded
  kOldList,    // serves from a list received before its start
  kListed,     // has its list, and delays its watch in favour of balancers without one
  kFollowing,  // watches for changes
};
const char* NameOf(StartPhase phase);

// The pacer of one balancer.
class CallPacer {
 public:
  // `name_hash`: a hash of the balancer's name, unique among the balancers.
  CallPacer(const PacerRules& rules, uint64_t name_hash);

  // The process has started. `has_list`: it has a list to serve from. `recent_starts`: how often this
  // balancer was started within loop_span() without an orderly exit.
  void Begin(Micros now, bool has_list, double draw, int recent_starts = 0);
  Micros loop_span() const;
  // The balancer was pointed at another list service, and the call in progress was abandoned. All balancers
  // may be told at the same moment, so the first call waits for this balancer's turn, but no longer than
  // Rules.MustAskIn allows since the last answer. The budget carries over.
  void Restart(Micros now, double draw);
  // Sets the number of balancers that call the service, as known by now. Applies to later calls.
  void SetBalancers(double balancers);
  Micros next_at() const { return next_at_; }  // earliest time of the next call
  // A call was sent. `watch`: it waits for changes.
  void Called(Micros now, bool watch);
  // The call ended. `queue_time`: how long the answer took, for a call that does not wait for changes.
  // `retry_after`: what the service asked for; 0: nothing.
  void Ended(Micros now, CallOutcome how, Micros queue_time, Micros retry_after, double draw);

  // For a query that arrives while there is no list and may wait `max_wait`. Returns after what time its
  // client should retry, if the list cannot be there within half of that time; nullopt if the query may
  // wait. The time is randomized so that refused clients do not return at the same moment.
  std::optional<Micros> RetryDelay(Micros now, Micros max_wait, double draw) const;

  // The longest wait that a watch requests from the service.
  Micros watch_wait() const;
  // Timeout of a call that does not wait for changes. It is long, so that a call in the service's queue is
  // not abandoned and replaced by one at the end of the queue.
  Micros call_timeout() const;

  StartPhase phase() const { return phase_; }
  // Round: the minimum time in which the service can give a list to every balancer. Window: the time over
  // which first calls are spread.
  Micros round() const { return round_; }
  Micros window() const;
  double stretch() const { return stretch_; }  // factor on all delays; 1: the service is not overloaded
  double budget(Micros now) const;             // remaining budget, in calls

 private:
  Micros Stretched(double rounds) const;  // a number of rounds, multiplied by the stretch
  Micros MaxRetryDelay() const;           // maximum time between two calls after a failure
  void Refill(Micros now);
  Micros BudgetDelay() const;

  PacerRules rules_;
  const uint64_t name_hash_;
  Micros round_;
  Micros next_at_ = 0;
  Micros began_at_ = 0;
  Micros last_list_at_ = 0;  // when the last list arrived; 0: none since the start
  bool in_watch_ = false;
  bool in_call_ = false;  // a call is in progress
  bool failed_ = false;   // the last call failed
  StartPhase phase_ = StartPhase::kNoList;
  double stretch_ = 1;
  double budget_ = 0;
  Micros refilled_at_ = 0;
};

}  // namespace burlfall::start

#endif  // BURLFALL_START_CALL_PACER_H_
