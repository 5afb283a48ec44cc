// What faults come to where several are on at once: the same node may be hit by two of a kind, and must not
// be well again when the first of them ends. No I/O, no clock.
#ifndef BURLFALL_LAB_SITE_ACTIVE_FAULTS_H_
#define BURLFALL_LAB_SITE_ACTIVE_FAULTS_H_

#include <map>
#include <utility>
#include <vector>

#include "lab/script/experiment.h"

namespace burlfall::lab {

// The actions that are on, by what they hit. A target is a number that the caller gives a meaning to.
class Overlaps {
 public:
  void Begin(FaultKind kind, int target, int action, double size);
  void End(FaultKind kind, int target, int action);

  bool On(FaultKind kind, int target) const;
  // The worst of those that are on: the largest size, or the smallest where `least`; `none` where there is
  // none.
  double Worst(FaultKind kind, int target, double none, bool least = false) const;
  std::vector<int> All(FaultKind kind) const;  // the targets that are hit

 private:
  std::map<std::pair<FaultKind, int>, std::map<int, double>> on_;  // sizes by action
};

// Which pairs of a node and a balancer a cut parts: the ends stand in different zones, one of them in a zone
// that is cut off.
bool Parted(const std::vector<int>& zones_cut_off, int node_zone, int balancer_zone);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_ACTIVE_FAULTS_H_
