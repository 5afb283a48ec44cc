// Who among the members differs from the rest, and why, in a line each. No I/O, no clock.
#ifndef BURLFALL_CLUSTER_DIFFERENCES_H_
#define BURLFALL_CLUSTER_DIFFERENCES_H_

#include <string>
#include <vector>

#include "cluster/failure_detector.h"

namespace burlfall::cluster {

struct Difference {
  std::string who;  // empty: all of them alike
  std::string why;
  bool operator==(const Difference&) const = default;
};

struct DifferRules {
  Micros list_behind = 10 * kSecond;  // an older list is told of once the service was last heard so long ago
  Micros heard_within = 600 * kSecond;  // what a member said longer ago says nothing
};

// By what each living member last told of itself; what most tell is what the rest is held against.
// `newest_list` comes back as the latest version that anybody has.
std::vector<Difference> WhoDiffers(const Mind& mind, Micros now, const DifferRules& rules = {});
uint64_t NewestList(const Mind& mind, Micros now, const DifferRules& rules = {});

}  // namespace burlfall::cluster

#endif  // BURLFALL_CLUSTER_DIFFERENCES_H_
