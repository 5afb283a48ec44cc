// Finds members that differ from the rest, with a reason in one line each. No I/O, no clock.
#ifndef BURLFALL_CLUSTER_DIFFERENCES_H_
#define BURLFALL_CLUSTER_DIFFERENCES_H_

#include <string>
#include <vector>

#include "cluster/failure_detector.h"

namespace burlfall::cluster {

struct Difference {
  std::string who;  // empty: all members are affected
  std::string why;
  bool operator==(const Difference&) const = default;
};

struct DifferenceOptions {
  // An older list is reported once the list service last answered the member so long ago.
  Micros stale_list_after = 10 * kSecond;
  Micros received_within = 600 * kSecond;  // facts received longer ago are ignored
};

// Compares what each living member last reported about itself with what the majority reports.
std::vector<Difference> FindDifferences(const FailureDetector& detector, Micros now,
                                        const DifferenceOptions& options = {});
// The latest list version that any of these members has.
uint64_t NewestListVersion(const FailureDetector& detector, Micros now,
                           const DifferenceOptions& options = {});

}  // namespace burlfall::cluster

#endif  // BURLFALL_CLUSTER_DIFFERENCES_H_
