// Forwards each event to several observers, in the order in which they were added.
#ifndef BURLFALL_LAB_WITNESS_OBSERVER_LIST_H_
#define BURLFALL_LAB_WITNESS_OBSERVER_LIST_H_

#include <vector>

#include "lab/witness/observer.h"

namespace burlfall::lab {

class ObserverList : public Observer {
 public:
  void Add(Observer& one) { observers_.push_back(&one); }  // `one` must outlive this

  void Due(const Try& one) override { Notify(&Observer::Due, one); }
  void Written(TraceId trace, Micros at) override { Notify(&Observer::Written, trace, at); }
  void Ended(TraceId trace, Micros at, End how, int status, const Mark& mark, Micros refused_for) override {
    Notify(&Observer::Ended, trace, at, how, status, mark, refused_for);
  }
  void SentLate(Micros late_by) override { Notify(&Observer::SentLate, late_by); }
  void Arrived(const ArrivedAttempt& attempt) override { Notify(&Observer::Arrived, attempt); }
  void Ran(uint64_t attempt, Micros at, bool effect) override { Notify(&Observer::Ran, attempt, at, effect); }
  void AttemptEnded(uint64_t attempt, Micros at, AttemptEnd how) override {
    Notify(&Observer::AttemptEnded, attempt, at, how);
  }
  void LinkEnded(uint64_t attempt, Micros at) override { Notify(&Observer::LinkEnded, attempt, at); }
  void HandshakeAt(int node, int balancer, Micros at) override {
    Notify(&Observer::HandshakeAt, node, balancer, at);
  }
  void NodeChanged(int node, NodeChange change, Micros at,
                   const std::vector<double>& work_by_balancer) override {
    Notify(&Observer::NodeChanged, node, change, at, work_by_balancer);
  }
  void UnexpectedRequest(int node, int balancer, Micros at) override {
    Notify(&Observer::UnexpectedRequest, node, balancer, at);
  }
  void Listed(int node, meadowslip::BackendState state, Micros started_at, Micros at) override {
    Notify(&Observer::Listed, node, state, started_at, at);
  }
  void NodeStateSent(int balancer, int node, meadowslip::BackendState state, Micros started_at,
                     Micros at) override {
    Notify(&Observer::NodeStateSent, balancer, node, state, started_at, at);
  }
  void ListRequested(int balancer, Micros at, bool watching) override {
    Notify(&Observer::ListRequested, balancer, at, watching);
  }
  void ListRequestFailed(int balancer, Micros at) override {
    Notify(&Observer::ListRequestFailed, balancer, at);
  }
  void ListCall(int balancer, bool watch, Micros at) override {
    Notify(&Observer::ListCall, balancer, watch, at);
  }
  void ListCallEnded(int balancer, bool watch, ListEnd how, Micros queued_for, Micros at) override {
    Notify(&Observer::ListCallEnded, balancer, watch, how, queued_for, at);
  }
  void BalancerStarting(int balancer, Micros at) override {
    Notify(&Observer::BalancerStarting, balancer, at);
  }
  void ManualDrain(int balancer, int node, bool out, Micros at) override {
    Notify(&Observer::ManualDrain, balancer, node, out, at);
  }
  void BalancerUp(int balancer, Micros at) override { Notify(&Observer::BalancerUp, balancer, at); }
  void BalancerDown(int balancer, Micros at, bool planned) override {
    Notify(&Observer::BalancerDown, balancer, at, planned);
  }
  void FaultBegan(int action, Micros at) override { Notify(&Observer::FaultBegan, action, at); }
  void FaultEnded(int action, Micros at) override { Notify(&Observer::FaultEnded, action, at); }

 private:
  template <typename Event, typename... Values>
  void Notify(Event event, const Values&... values) {
    for (Observer* one : observers_) (one->*event)(values...);
  }

  std::vector<Observer*> observers_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_WITNESS_OBSERVER_LIST_H_
