// The events that the lab observes at both ends of every query: at the simulated clients and at the simulated
// nodes. The simulated parts report them; the run checker, the history writer and the trace store receive
// them. Times are Unix time in microseconds from one clock, which never steps. Nodes and balancers are
// identified by their number in the script. Spares are numbered after all nodes, so a node and the spare that
// replaces it have different numbers. Events of one end arrive in order; events of different ends may be out
// of order by a few milliseconds. All calls come from one thread.
#ifndef BURLFALL_LAB_WITNESS_OBSERVER_H_
#define BURLFALL_LAB_WITNESS_OBSERVER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "io/time.h"
#include "meadowslip/balancer.h"

namespace burlfall::lab {

using TraceId = uint64_t;  // identifies one try of a client; each retry has its own

// One try of a client's query.
struct Try {
  TraceId trace = 0;
  TraceId first = 0;  // trace of the query's first try; equal to `trace` for the first try
  int number = 0;     // 0: the first try
  int cls = 0;
  int tenant = 0;
  int zone = 0;
  int balancer = 0;
  uint64_t key = 0;
  Micros due = 0;  // scheduled time of sending; the latency of a query counts from its first try's
  Micros give_up_at = 0;
  double worth = 0;  // of the whole query if one of its tries is served by `aim_at`; see WorthOf() in facts.h
  Micros aim_at = 0;         // latency target, counted from the first try
  bool within_share = true;  // of its tenant; only such queries count for the tenant's service
};

// How a try ended at the client.
enum class End {
  kServed,   // a complete 200
  kRefused,  // a complete 429 or 503
  kFailed,   // any other complete answer
  kBroken,   // the link ended without a complete answer while the balancer was alive; `status` is that of the
             // header received so far, 0: none
  kLost,     // the link ended without a complete answer because the balancer had died
  kUnreached,  // the query was never completely written to a link that the balancer's machine had accepted
  kLeft,  // the client gave up. It reads until give_up_at plus the answer slack plus the socket slack: an
          // answer that arrives before then is in time
};

// What a node writes into the body of each answer, which identifies the attempt that produced it.
struct Mark {
  TraceId trace = 0;  // 0: the body contains no mark
  int node = -1;
  uint64_t attempt = 0;  // counts the complete attempts of the whole site
  bool operator==(const Mark&) const = default;
};

// An attempt that a node has completely received.
struct ArrivedAttempt {
  uint64_t attempt = 0;  // as in Mark
  TraceId trace = 0;
  int node = 0;
  int balancer = 0;
  Micros first_byte_at = 0;
  Micros at = 0;      // arrival of the last byte
  uint64_t link = 0;  // identifies the connection at the node
  double work_us = 0;
};

// How an attempt ended at the node.
enum class AttemptEnd {
  kAnswered,   // 200
  kError,      // 500: the query may have run
  kRejected,   // 503 or 504 with X-Never-Ran
  kCorrupted,  // a 200 that was truncated, garbled or another query's: the node's fault
  kDropped,    // never answered, or ended with the link or the process
};

// How a call to the list service ended, as the caller saw it.
enum class ListEnd {
  kListed,   // a complete list, or changes
  kNothing,  // a watch that ended without a change
  kRefused,  // 503, a reset, or an unusable answer
  kLeft,     // the caller closed first
};

// A change in the state of a node's process.
enum class NodeChange { kStarted, kDraining, kDied, kOverloaded };

// Receives the events of a run.
class Observer {
 public:
  virtual ~Observer() = default;

  // Events at the client.

  // A try is due. Called again with the same trace if the link was closed while the try was being sent and
  // the try is sent once more on another link.
  virtual void Due(const Try& one) = 0;
  virtual void Written(TraceId trace, Micros at) = 0;  // completely, to an accepted link
  // `mark`: read from the body. `refused_for`: the Retry-After of a refusal, 0: none.
  virtual void Ended(TraceId trace, Micros at, End how, int status, const Mark& mark, Micros refused_for) = 0;
  virtual void SentLate(Micros late_by) = 0;  // for each try: the delay that the lab caused

  // Events at the node.

  virtual void Arrived(const ArrivedAttempt& attempt) = 0;
  virtual void Ran(uint64_t attempt, Micros at,
                   bool effect) = 0;  // started; `effect`: it was not dropped as a repeat
  virtual void AttemptEnded(uint64_t attempt, Micros at, AttemptEnd how) = 0;
  // The balancer's side closed or reset the link before the attempt was answered, so the attempt is no longer
  // outstanding. AttemptEnded() is called before or after this.
  virtual void LinkEnded(uint64_t attempt, Micros at) = 0;
  virtual void HandshakeAt(int node, int balancer, Micros at) = 0;
  // `work_by_balancer`: only for kOverloaded, the work within the overload window by balancer.
  virtual void NodeChanged(int node, NodeChange change, Micros at,
                           const std::vector<double>& work_by_balancer) = 0;
  // A balancer sent a request that no client had made: a probe, or a query with an unknown trace.
  virtual void UnexpectedRequest(int /*node*/, int /*balancer*/, Micros /*at*/) {}

  // Discovery lists this state from now on, whether or not a balancer has received it. Called for changes
  // only; what was listed when the run started counts as known.
  virtual void Listed(int, meadowslip::BackendState, Micros /*started_at*/, Micros /*at*/) {}
  // Discovery wrote this state to the balancer, whether or not it arrives; or the state was in the list that
  // the balancer started with, and this follows its BalancerUp(). A node not in a complete list is kGone.
  virtual void NodeStateSent(int balancer, int node, meadowslip::BackendState state, Micros started_at,
                             Micros at) = 0;
  // The balancer completed a request (the answer's states have been passed to NodeStateSent()), its watch
  // began
  // (`watching`), or its watch ended. The time until it is assumed to know the list counts from here.
  virtual void ListRequested(int balancer, Micros at, bool watching) = 0;
  virtual void ListRequestFailed(int /*balancer*/, Micros /*at*/) {}  // the call or the watch failed

  // A call has reached the list service, whether the service is up or down; `watch`: it waits for changes.
  // And how it ended, after `queued_for`. Not part of a history.
  virtual void ListCall(int /*balancer*/, bool /*watch*/, Micros /*at*/) {}
  virtual void ListCallEnded(int /*balancer*/, bool /*watch*/, ListEnd, Micros /*queued_for*/,
                             Micros /*at*/) {}
  // The process of a balancer is started; it serves once BalancerUp() is called.
  virtual void BalancerStarting(int /*balancer*/, Micros /*at*/) {}

  // The balancer confirmed to an operator that the node is drained manually (`out`), or is back in service.
  virtual void ManualDrain(int /*balancer*/, int /*node*/, bool /*out*/, Micros /*at*/) {}

  virtual void BalancerUp(int balancer, Micros at) = 0;
  // The process has ended; `planned`: the lab had sent SIGTERM, even if SIGKILL had to follow.
  virtual void BalancerDown(int balancer, Micros at, bool planned) = 0;
  virtual void FaultBegan(int action, Micros at) = 0;
  virtual void FaultEnded(int action, Micros at) = 0;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_WITNESS_OBSERVER_H_
