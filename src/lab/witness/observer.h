// What the lab sees of a run, at both ends of every query. The stand-ins tell it, the judge takes it in, and
// whoever keeps traces listens too. Times are Unix time in microseconds, all by one clock, and never step.
// Nodes and balancers go by their number in the script; a spare's follows those of all nodes, so that a node
// and the spare that takes its place stay two. Events of one end come in order; those of different ends may
// cross by a few milliseconds. All come from one thread.
#ifndef BURLFALL_LAB_WITNESS_OBSERVER_H_
#define BURLFALL_LAB_WITNESS_OBSERVER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "io/time.h"
#include "meadowslip/balancer.h"

namespace burlfall::lab {

using TraceId = uint64_t;  // of one try of a client; a retry has one of its own

struct Try {
  TraceId trace = 0;
  TraceId first = 0;  // the trace of the first try it belongs to; its own where it is that
  int number = 0;     // 0: the first
  int cls = 0;
  int tenant = 0;
  int zone = 0;
  int balancer = 0;
  uint64_t key = 0;
  Micros due = 0;  // when it was to be sent: latency counts from here, of a retry from its first try's
  Micros give_up_at = 0;
  double worth = 0;          // of the whole query, if a try of it is served by `aim_at`: WorthOf() in facts.h
  Micros aim_at = 0;         // counted from the first try
  bool within_share = true;  // of its tenant, whose service counts these alone
};

// How a try ended at the client.
enum class End {
  kServed,     // 200, whole
  kRefused,    // 429 or 503, whole
  kFailed,     // any other whole answer
  kBroken,     // the link ended without a whole answer, and the balancer was alive; `status` is then that of
               // the head that had come, 0: none
  kLost,       // the same, and the balancer had died
  kUnreached,  // it was never written whole to a link that the balancer's machine had accepted
  kLeft,       // the client gave up first. One that waits for its answer reads on until give_up_at, the
               // answer slack and the slack on sockets are over: until then an answer is in time
};

// What a node writes into each answer's body, so that an answer can be told from any other.
struct Mark {
  TraceId trace = 0;  // 0: the body holds no mark
  int node = -1;
  uint64_t attempt = 0;  // the site's count of attempts that arrived whole
  bool operator==(const Mark&) const = default;
};

struct ArrivedAttempt {
  uint64_t attempt = 0;  // as in Mark
  TraceId trace = 0;
  int node = 0;
  int balancer = 0;
  Micros first_byte_at = 0;
  Micros at = 0;      // the last byte's
  uint64_t link = 0;  // of the node's side
  double work_us = 0;
};

// How an attempt ended at the node.
enum class AttemptEnd {
  kAnswered,    // 200
  kError,       // 500: it may have run
  kRejected,  // 503 or 504 with X-Never-Ran
  kCorrupted,      // a 200 that was cut short, garbled, or another query's: the node's fault, not the balancer's
  kDropped,     // silent, or it ended with the link or the process
};

// What became of a call at the list service, as its caller saw it.
enum class ListEnd {
  kListed,   // a list, whole or changes
  kNothing,  // a watch that was over without news
  kRefused,  // 503, a reset, or nothing usable
  kLeft,     // the caller went first
};

enum class NodeChange { kStarted, kDraining, kDied, kOverloaded };

class Observer {
 public:
  virtual ~Observer() = default;

  // The client's end.
  // Again with the same trace where a try that crossed the closing of its link goes out once more on another.
  virtual void Due(const Try& one) = 0;
  virtual void Written(TraceId trace, Micros at) = 0;  // whole, to an accepted link: it is taken
  // `mark` is what the body held; `refused_for` the Retry-After of a refusal, 0: none.
  virtual void Ended(TraceId trace, Micros at, End how, int status, const Mark& mark, Micros refused_for) = 0;
  virtual void SentLate(Micros late_by) = 0;  // for each try: how late the lab itself was

  // The node's end.
  virtual void Arrived(const ArrivedAttempt& attempt) = 0;
  virtual void Ran(uint64_t attempt, Micros at, bool effect) = 0;  // begun; effect: not dropped as a repeat
  virtual void AttemptEnded(uint64_t attempt, Micros at, AttemptEnd how) = 0;
  // Its link ended before it was answered, from the balancer's side or by a reset: it is out no more. How it
  // ended at the node follows, or has come before.
  virtual void LinkEnded(uint64_t attempt, Micros at) = 0;
  virtual void HandshakeAt(int node, int balancer, Micros at) = 0;
  // `pushed_by`: of kFell, the work in the window by balancer.
  virtual void NodeChanged(int node, NodeChange change, Micros at, const std::vector<double>& work_by_balancer) = 0;
  // Something came from a balancer that no client had made: a probe, or a query with a name of its own.
  virtual void UnexpectedRequest(int /*node*/, int /*balancer*/, Micros /*at*/) {}

  // Discovery has come to list this, whoever it tells. Of changes alone: what it listed at the run's start
  // counts as known.
  virtual void Listed(int, meadowslip::BackendState, Micros /*started_at*/, Micros /*at*/) {}
  // Discovery wrote this to the balancer, whether or not it arrives; or it was in the list that the balancer
  // started with, and then follows its BalancerUp. A node that a whole list leaves out is kGone.
  virtual void NodeStateSent(int balancer, int node, meadowslip::BackendState state, Micros started_at, Micros at) = 0;
  // It asked (and what it was told has been told), its watch began (`watching`), or its watch ended: how long
  // it may go without being deemed told.
  virtual void ListRequested(int balancer, Micros at, bool watching) = 0;
  virtual void ListRequestFailed(int /*balancer*/, Micros /*at*/) {}  // the call, or the watch, failed

  // A call has come to the list service, up or down: `watch` where it waits for news; and how it ended,
  // `in_line` after it came. Not part of a history.
  virtual void ListCall(int /*balancer*/, bool /*watch*/, Micros /*at*/) {}
  virtual void ListCallEnded(int /*balancer*/, bool /*watch*/, ListEnd, Micros /*in_line*/, Micros /*at*/) {}
  // The process of a balancer is started; it serves from its BalancerUp on.
  virtual void BalancerStarting(int /*balancer*/, Micros /*at*/) {}

  // An operator got a yes from the balancer: the node is out by hand there, or back.
  virtual void ManualDrain(int /*balancer*/, int /*node*/, bool /*out*/, Micros /*at*/) {}

  virtual void BalancerUp(int balancer, Micros at) = 0;
  // Its process has ended; planned: it had got SIGTERM from the lab, even where SIGKILL had to follow.
  virtual void BalancerDown(int balancer, Micros at, bool planned) = 0;
  virtual void FaultBegan(int action, Micros at) = 0;
  virtual void FaultEnded(int action, Micros at) = 0;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_WITNESS_OBSERVER_H_
