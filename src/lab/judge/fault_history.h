// What happened to balancers and zones during a run, and whether that excuses what a query met.
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

  explicit FaultHistory(const Facts& facts) : facts_(facts) {}  // outlives this

  void BalancerDown(int balancer, Micros at, bool planned) { balancer_ends_.push_back({balancer, at, planned}); }
  void FaultBegan(int action, Micros at) { faults_.push_back({action, at, kNever}); }
  void FaultEnded(int action, Micros at);

  // The end of its balancer that a try taken by then met, if it did; `by`: when its client saw no more of it.
  const BalancerEnd* EndDuring(const TryRecord& one, Micros by) const;
  // A kill by the script, or a planned end: anything else is a crash.
  bool WasIntended(const BalancerEnd& down) const;
  // The balancer of a try stood still, by the script, at some time between its being taken and `until`, or
  // had hardly gone on: it answers nothing then, and that is not its doing.
  bool WasPaused(const TryRecord& one, Micros until) const;
  // The attempt's node and balancer were cut off from each other at some time up to then: what its node saw
  // of the balancer's side may be late.
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
