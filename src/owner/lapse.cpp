#include "owner/lapse.h"

#include <algorithm>
#include <cmath>

namespace burlfall::owner {

Micros Lapse::Span(Micros lease, double drift) {
  return lease + static_cast<Micros>(std::ceil(static_cast<double>(lease) * drift));
}

void Lapse::TakeOffice(Micros now, const std::vector<Lease>& standing) {
  counted_.clear();
  for (const Lease& lease : standing) Began(now, lease);
}

void Lapse::Began(Micros now, const Lease& lease) {
  counted_[lease.key] = {lease, now + Span(lease.lease, drift_)};
}

void Lapse::Ended(const std::string& key) { counted_.erase(key); }

std::vector<Lease> Lapse::Due(Micros now) {
  std::vector<Lease> due;
  for (auto& [key, counted] : counted_) {
    if (counted.at > now) continue;
    due.push_back(counted.lease);
    counted.at = now + again_;
  }
  return due;
}

Micros Lapse::next_at() const {
  Micros next = kNever;
  for (const auto& [key, counted] : counted_) next = std::min(next, counted.at);
  return next;
}

}  // namespace burlfall::owner
