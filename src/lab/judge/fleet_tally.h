// Sums up the load that all balancers together put on the list service and on the nodes, per process and per
// second, and compares it with the fleet's goals. No I/O, no clock.
#ifndef BURLFALL_LAB_JUDGE_FLEET_TALLY_H_
#define BURLFALL_LAB_JUDGE_FLEET_TALLY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/judge/result.h"
#include "lab/script/experiment.h"
#include "lab/witness/null_observer.h"

namespace burlfall::lab {

class FleetTally final : public NullObserver {
 public:
  // `names`: names of the balancers. `begins_at`: start of the run.
  FleetTally(const FleetGoals& goals, std::vector<std::string> names, Micros begins_at);

  void BalancerStarting(int balancer, Micros at) override;
  void BalancerUp(int balancer, Micros at) override;
  void BalancerDown(int balancer, Micros at, bool planned) override;
  void ListCall(int balancer, bool watch, Micros at) override;
  void ListCallEnded(int balancer, bool watch, ListEnd how, Micros queued_for, Micros at) override;
  void HandshakeAt(int node, int balancer, Micros at) override;
  void NodeChanged(int node, NodeChange change, Micros at,
                   const std::vector<double>& work_by_balancer) override;

  FleetResult Finish(Micros at);

 private:
  struct Process {
    int balancer = 0;
    Micros began = 0;
    Micros served = -1;
    Micros listed = -1;
    Micros ended = -1;
    uint64_t calls = 0;  // until it got its list, counted from the goals' `from_s` on
  };
  struct Second {
    uint64_t list_calls = 0;
    uint64_t watch_calls = 0;
    uint64_t answers = 0;
    uint64_t refusals = 0;
    uint64_t lacking_list = 0;
    uint64_t max_handshakes = 0;
  };
  Second* SecondAt(Micros at);            // nullptr: before the run
  Process* RunningProcess(int balancer);  // nullptr: none runs
  void AdvanceTo(Micros at);              // closes the seconds before `at`

  const FleetGoals goals_;
  const std::vector<std::string> names_;
  const Micros begins_at_;
  const Micros from_;
  std::vector<Process> processes_;
  std::vector<int> running_;  // by balancer, index into processes_; -1: none
  uint64_t lacking_list_ = 0;
  std::vector<Second> seconds_;
  std::size_t finished_ = 0;
  std::vector<uint64_t> handshakes_;  // by node, in the current second
  std::size_t handshakes_second_ = 0;
  uint64_t overloads_ = 0;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_FLEET_TALLY_H_
