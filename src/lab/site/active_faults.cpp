#include "lab/site/active_faults.h"

#include <algorithm>

namespace burlfall::lab {

void ActiveFaults::Begin(FaultKind kind, int target, int action, double size) {
  sizes_[{kind, target}][action] = size;
}

void ActiveFaults::End(FaultKind kind, int target, int action) {
  auto it = sizes_.find({kind, target});
  if (it == sizes_.end()) return;
  it->second.erase(action);
  if (it->second.empty()) sizes_.erase(it);
}

bool ActiveFaults::IsActive(FaultKind kind, int target) const { return sizes_.contains({kind, target}); }

double ActiveFaults::Worst(FaultKind kind, int target, double none, bool smallest) const {
  auto it = sizes_.find({kind, target});
  if (it == sizes_.end()) return none;
  const auto by_size = [](const auto& a, const auto& b) { return a.second < b.second; };
  const auto [low, high] = std::minmax_element(it->second.begin(), it->second.end(), by_size);
  return smallest ? low->second : high->second;
}

std::vector<int> ActiveFaults::Targets(FaultKind kind) const {
  std::vector<int> targets;
  for (const auto& [key, sizes] : sizes_) {
    if (key.first == kind) targets.push_back(key.second);
  }
  return targets;
}

bool SeparatedByCut(const std::vector<int>& zones_cut_off, int node_zone, int balancer_zone) {
  if (node_zone == balancer_zone) return false;
  return std::ranges::any_of(zones_cut_off, [&](int z) { return z == node_zone || z == balancer_zone; });
}

}  // namespace burlfall::lab
