// Adds up what the balancers together asked of the list service and of the nodes, process by process and
// second by second, and holds it against the fleet's goals. No I/O, no clock.
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
  // `names`: of the balancers. `begins_at`: of the run.
  FleetTally(const FleetGoals& goals, std::vector<std::string> names, Micros begins_at);

  void BalancerStarting(int balancer, Micros at) override;
  void BalancerUp(int balancer, Micros at) override;
  void BalancerDown(int balancer, Micros at, bool planned) override;
  void ListCall(int balancer, bool watch, Micros at) override;
  void ListCallEnded(int balancer, bool watch, ListEnd how, Micros queued_for, Micros at) override;
  void HandshakeAt(int node, int balancer, Micros at) override;
  void NodeChanged(int node, NodeChange change, Micros at, const std::vector<double>& work_by_balancer) override;

  FleetResult Finish(Micros at);

 private:
  struct Process {
    int balancer = 0;
    Micros began = 0;
    Micros served = -1;
    Micros listed = -1;
    Micros ended = -1;
    uint64_t calls = 0;  // until it was listed, from the goals' begin on
  };
  struct Second {
    uint64_t list_calls = 0;
    uint64_t watch_calls = 0;
    uint64_t answers = 0;
    uint64_t refusals = 0;
    uint64_t lacking_list = 0;
    uint64_t max_handshakes = 0;
  };
  Second* SecondAt(Micros at);   // nullptr: before the run
  Process* RunningProcess(int balancer);  // the process that runs; nullptr: none
  void AdvanceTo(Micros at);    // the seconds that are over

  const FleetGoals goals_;
  const std::vector<std::string> names_;
  const Micros begins_at_;
  const Micros from_;
  std::vector<Process> processes_;
  std::vector<int> running_;  // by balancer, the position of its life; -1: none
  uint64_t lacking_list_ = 0;
  std::vector<Second> seconds_;
  std::size_t finished_ = 0;
  std::vector<uint64_t> handshakes_;  // by node, in the second at hand
  std::size_t handshakes_second_ = 0;
  uint64_t overloads_ = 0;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_FLEET_TALLY_H_
