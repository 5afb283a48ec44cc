// The last events of a run, of which the story of any query can be told: who saw what of it, and when. One
// ring holds those of all queries, another those of nodes, balancers and faults; so memory is bounded
// whatever they do, and taking an event in costs no more than writing it down. The looking is done where a
// story is wanted.
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
  explicit TraceStore(const Facts& facts);  // the names, and how many events to keep

  // What is left of the query that this trace is a try of, with its other tries, and of what its balancers
  // and nodes went through meanwhile. One line an event, by time, its offset from when the first try was due.
  // `since`: the query's first event is not older; spares the look at all that is.
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
  void NodeChanged(int node, NodeChange change, Micros at, const std::vector<double>& work_by_balancer) override;
  void NodeStateSent(int balancer, int node, meadowslip::BackendState state, Micros started_at, Micros at) override;
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
  struct Event {  // what a field means depends on `what`: see those who fill it
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
  struct Scope;  // of one story
  struct Ring {
    explicit Ring(std::size_t max_events) : capacity(max_events) {}
    Event& Push();
    // All from the oldest, but for those before one that is older than `since`.
    std::vector<const Event*> From(Micros since) const;

    std::size_t capacity;
    std::vector<Event> events;
    std::size_t next = 0;  // the oldest, once there are so many
  };
  std::string Line(const Event& event, const Scope& scope) const;

  std::vector<std::string> nodes_, balancers_, classes_, tenants_, faults_;
  Ring query_events_;
  Ring other_events_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_TRACES_H_
