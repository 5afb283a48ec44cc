// The set of active faults per target. Several faults of one kind may overlap on the same node, which must
// not recover when the first of them ends. No I/O and no clock.
#ifndef BURLFALL_LAB_SITE_ACTIVE_FAULTS_H_
#define BURLFALL_LAB_SITE_ACTIVE_FAULTS_H_

#include <map>
#include <utility>
#include <vector>

#include "lab/script/experiment.h"

namespace burlfall::lab {

// The active actions, by fault kind and target. The caller defines the meaning of a target's number.
class ActiveFaults {
 public:
  void Begin(FaultKind kind, int target, int action, double size);
  void End(FaultKind kind, int target, int action);

  bool IsActive(FaultKind kind, int target) const;
  // Returns the largest size of the active faults, or the smallest one if `smallest` is set; `none` if no
  // fault is active.
  double Worst(FaultKind kind, int target, double none, bool smallest = false) const;
  std::vector<int> Targets(FaultKind kind) const;  // the targets with an active fault

 private:
  std::map<std::pair<FaultKind, int>, std::map<int, double>> sizes_;  // by kind and target: size by action
};

// Whether zone cuts separate a node from a balancer: they are in different zones, and at least one of these
// zones is cut off.
bool SeparatedByCut(const std::vector<int>& zones_cut_off, int node_zone, int balancer_zone);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_ACTIVE_FAULTS_H_
