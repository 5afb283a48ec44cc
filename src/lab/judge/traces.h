// Keeps the last events of a run, from which the timeline of any query can be built: who observed what of it,
// and when. One ring buffer holds the events of all queries, another those of nodes, balancers and faults, so
// memory is bounded. Recording an event is cheap; the search is done when a timeline is requested.
#ifndef BURLFALL_LAB_JUDGE_TRACES_H_
#define BURLFALL_LAB_JUDGE_TRACES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/judge/facts.h"
#include "lab/witness/observer.h"

namespace burlfall::lab {

class TraceStore : public Observer {
 public:
  explicit TraceStore(const Facts& facts);  // for names and the number of events to keep

  // Returns the remaining events of the query that this trace is a try of, with its other tries, and of its
  // balancers and nodes meanwhile: one line per event, sorted by time, with the offset from when the first
  // try was due. `since`: the query's first event is not older, so older events need not be searched.
  std::vector<std::string> Timeline(TraceId trace, Micros since = 0) const;

  void Due(const Try& one) override;
  void Written(TraceId trace, Micros at) override;
  void Ended(TraceId trace, Micros at, End how, int status, const Mark& mark, Micros refused_for) override;
  void SentLate(Micros) override {}
  void Arrived(const ArrivedAttempt& attempt) override;
  void Ran(uint64_t attempt, Micros at, bool effect) override;
  void AttemptEnded(uint64_t attempt, Micros at, AttemptEnd how) override;
  void LinkEnded(uint64_t attempt, Micros at) override;
  void HandshakeAt(int, int, Micros) override {}
  void NodeChanged(int node, NodeChange change, Micros at,
                   const std::vector<double>& work_by_balancer) override;
  void NodeStateSent(int balancer, int node, meadowslip::BackendState state, Micros started_at,
                     Micros at) override;
  void ListRequested(int, Micros, bool) override {}
  void BalancerUp(int balancer, Micros at) override;
  void BalancerDown(int balancer, Micros at, bool planned) override;
  void FaultBegan(int action, Micros at) override;
  void FaultEnded(int action, Micros at) override;

 private:
  enum class EventKind : uint8_t {
    kDue,
    kWritten,
    kEnded,
    kArrived,
    kRan,
    kAttemptEnded,
    kLinkEnded,
    kNodeChanged,
    kNodeStateSent,
    kUp,
    kDown,
    kFaultBegan,
    kFaultEnded,
  };
  struct Event {  // the meaning of the fields depends on `what`: see the functions that fill it
    Micros at = 0;
    TraceId trace = 0;
    uint64_t attempt = 0;
    uint64_t other = 0;
    Micros value = 0;
    int32_t node = -1;
    int32_t balancer = -1;
    int32_t number = 0;
    EventKind what = EventKind::kDue;
    uint8_t how = 0;
  };
  struct Scope;  // of one timeline
  struct Ring {
    explicit Ring(std::size_t max_events) : capacity(max_events) {}
    Event& Push();
    // Returns the events after the last one that is older than `since`, oldest first.
    std::vector<const Event*> From(Micros since) const;

    std::size_t capacity;
    std::vector<Event> events;
    std::size_t next = 0;  // the oldest event, once the ring is full
  };
  std::string Line(const Event& event, const Scope& scope) const;

  std::vector<std::string> nodes_, balancers_, classes_, tenants_, faults_;
  Ring query_events_;
  Ring other_events_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_TRACES_H_
