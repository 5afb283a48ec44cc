#include "lab/site/active_faults.h"

#include <algorithm>

namespace burlfall::lab {

void Overlaps::Begin(FaultKind kind, int target, int action, double size) {
  on_[{kind, target}][action] = size;
}

void Overlaps::End(FaultKind kind, int target, int action) {
  auto it = on_.find({kind, target});
  if (it == on_.end()) return;
  it->second.erase(action);
  if (it->second.empty()) on_.erase(it);
}

bool Overlaps::On(FaultKind kind, int target) const { return on_.contains({kind, target}); }

double Overlaps::Worst(FaultKind kind, int target, double none, bool least) const {
  auto it = on_.find({kind, target});
  if (it == on_.end()) return none;
  const auto by_size = [](const auto& a, const auto& b) { return a.second < b.second; };
  const auto [low, high] = std::minmax_element(it->second.begin(), it->second.end(), by_size);
  return least ? low->second : high->second;
}

std::vector<int> Overlaps::All(FaultKind kind) const {
  std::vector<int> targets;
  for (const auto& [key, sizes] : on_) {
    if (key.first == kind) targets.push_back(key.second);
  }
  return targets;
}

bool Parted(const std::vector<int>& zones_cut_off, int node_zone, int balancer_zone) {
  if (node_zone == balancer_zone) return false;
  return std::ranges::any_of(zones_cut_off, [&](int z) { return z == node_zone || z == balancer_zone; });
}

}  // namespace burlfall::lab
