// Tells several witnesses, in the order in which they were added.
#ifndef BURLFALL_LAB_WITNESS_OBSERVER_LIST_H_
#define BURLFALL_LAB_WITNESS_OBSERVER_LIST_H_

#include <vector>

#include "lab/witness/observer.h"

namespace burlfall::lab {

class Witnesses : public Witness {
 public:
  void Add(Witness& one) { all_.push_back(&one); }  // outlives this

  void Due(const Try& one) override { Tell(&Witness::Due, one); }
  void Written(TraceId trace, Micros at) override { Tell(&Witness::Written, trace, at); }
  void Ended(TraceId trace, Micros at, End how, int status, const Mark& mark, Micros refused_for) override {
    Tell(&Witness::Ended, trace, at, how, status, mark, refused_for);
  }
  void SentLate(Micros late_by) override { Tell(&Witness::SentLate, late_by); }
  void Arrived(const AttemptSeen& attempt) override { Tell(&Witness::Arrived, attempt); }
  void Ran(uint64_t attempt, Micros at, bool effect) override { Tell(&Witness::Ran, attempt, at, effect); }
  void AnsweredAtNode(uint64_t attempt, Micros at, AtNode how) override {
    Tell(&Witness::AnsweredAtNode, attempt, at, how);
  }
  void LinkEnded(uint64_t attempt, Micros at) override { Tell(&Witness::LinkEnded, attempt, at); }
  void HandshakeAt(int node, int balancer, Micros at) override {
    Tell(&Witness::HandshakeAt, node, balancer, at);
  }
  void NodeChanged(int node, NodeChange change, Micros at, const std::vector<double>& pushed_by) override {
    Tell(&Witness::NodeChanged, node, change, at, pushed_by);
  }
  void Strange(int node, int balancer, Micros at) override { Tell(&Witness::Strange, node, balancer, at); }
  void Listed(int node, meadowslip::BackendState state, Micros started_at, Micros at) override {
    Tell(&Witness::Listed, node, state, started_at, at);
  }
  void Told(int balancer, int node, meadowslip::BackendState state, Micros started_at, Micros at) override {
    Tell(&Witness::Told, balancer, node, state, started_at, at);
  }
  void Asked(int balancer, Micros at, bool watching) override {
    Tell(&Witness::Asked, balancer, at, watching);
  }
  void AskFailed(int balancer, Micros at) override { Tell(&Witness::AskFailed, balancer, at); }
  void ListCall(int balancer, bool watch, Micros at) override {
    Tell(&Witness::ListCall, balancer, watch, at);
  }
  void ListCallEnded(int balancer, bool watch, ListEnd how, Micros in_line, Micros at) override {
    Tell(&Witness::ListCallEnded, balancer, watch, how, in_line, at);
  }
  void BalancerStarts(int balancer, Micros at) override { Tell(&Witness::BalancerStarts, balancer, at); }
  void ByHand(int balancer, int node, bool out, Micros at) override {
    Tell(&Witness::ByHand, balancer, node, out, at);
  }
  void BalancerUp(int balancer, Micros at) override { Tell(&Witness::BalancerUp, balancer, at); }
  void BalancerDown(int balancer, Micros at, bool planned) override {
    Tell(&Witness::BalancerDown, balancer, at, planned);
  }
  void FaultBegan(int action, Micros at) override { Tell(&Witness::FaultBegan, action, at); }
  void FaultEnded(int action, Micros at) override { Tell(&Witness::FaultEnded, action, at); }

 private:
  template <typename Event, typename... Values>
  void Tell(Event event, const Values&... values) {
    for (Witness* one : all_) (one->*event)(values...);
  }

  std::vector<Witness*> all_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_WITNESS_OBSERVER_LIST_H_
