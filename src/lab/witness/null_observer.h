// An observer that ignores every event: the base of observers that need only a few events, and the observer
// of a simulated node that nobody observes.
#ifndef BURLFALL_LAB_WITNESS_NULL_OBSERVER_H_
#define BURLFALL_LAB_WITNESS_NULL_OBSERVER_H_

#include <vector>

#include "lab/witness/observer.h"

namespace burlfall::lab {

class NullObserver : public Observer {
 public:
  void Due(const Try&) override {}
  void Written(TraceId, Micros) override {}
  void Ended(TraceId, Micros, End, int, const Mark&, Micros) override {}
  void SentLate(Micros) override {}
  void Arrived(const ArrivedAttempt&) override {}
  void Ran(uint64_t, Micros, bool) override {}
  void AttemptEnded(uint64_t, Micros, AttemptEnd) override {}
  void LinkEnded(uint64_t, Micros) override {}
  void HandshakeAt(int, int, Micros) override {}
  void NodeChanged(int, NodeChange, Micros, const std::vector<double>&) override {}
  void NodeStateSent(int, int, meadowslip::BackendState, Micros, Micros) override {}
  void ListRequested(int, Micros, bool) override {}
  void BalancerUp(int, Micros) override {}
  void BalancerDown(int, Micros, bool) override {}
  void FaultBegan(int, Micros) override {}
  void FaultEnded(int, Micros) override {}
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_WITNESS_NULL_OBSERVER_H_
