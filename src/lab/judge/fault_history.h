// Records ends of balancers and faults during a run, and tells whether they excuse the outcome of a query.
#ifndef BURLFALL_LAB_JUDGE_FAULT_HISTORY_H_
#define BURLFALL_LAB_JUDGE_FAULT_HISTORY_H_

#include <vector>

#include "lab/judge/facts.h"
#include "lab/judge/record.h"

namespace burlfall::lab {

class FaultHistory {
 public:
  struct BalancerEnd {
    int balancer = 0;
    Micros at = 0;
    bool planned = false;
  };
  struct FaultPeriod {
    int action = 0;
    Micros began_at = 0;
    Micros ended_at = kNever;
  };

  explicit FaultHistory(const Facts& facts) : facts_(facts) {}  // `facts` must outlive this

  void BalancerDown(int balancer, Micros at, bool planned) {
    balancer_ends_.push_back({balancer, at, planned});
  }
  void FaultBegan(int action, Micros at) { faults_.push_back({action, at, kNever}); }
  void FaultEnded(int action, Micros at);

  // Returns the end of the try's balancer after the try was written and before `by`, when its client saw the
  // last of it; null: none.
  const BalancerEnd* EndDuring(const TryRecord& one, Micros by) const;
  // Whether the script killed the balancer or its end was planned; any other end is a crash.
  bool WasIntended(const BalancerEnd& down) const;
  // Whether the script paused the try's balancer, or had only just resumed it, at some time between the write
  // of the try and `until`. A paused balancer answers nothing, which is not its fault.
  bool WasPaused(const TryRecord& one, Micros until) const;
  // Whether the attempt's node and balancer were cut off from each other at some time before `until`. What
  // the node saw of the balancer's side may then be late.
  bool WasCutOff(const AttemptRecord& attempt, Micros until) const;

  const std::vector<BalancerEnd>& balancer_ends() const { return balancer_ends_; }
  const std::vector<FaultPeriod>& faults() const { return faults_; }

 private:
  const Facts::Fault* FaultOfKind(const FaultPeriod& period, FaultKind kind) const;

  const Facts& facts_;
  std::vector<BalancerEnd> balancer_ends_;
  std::vector<FaultPeriod> faults_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_FAULT_HISTORY_H_
