#include "owner/lease_expiry.h"

#include <algorithm>
#include <cmath>

namespace burlfall::owner {

Micros LeaseExpiry::ExpiryDelay(Micros lease, double drift) {
  return lease + static_cast<Micros>(std::ceil(static_cast<double>(lease) * drift));
}

void LeaseExpiry::BecomeLeader(Micros now, const std::vector<Lease>& leases) {
  entries_.clear();
  for (const Lease& lease : leases) OnRenewed(now, lease);
}

void LeaseExpiry::OnRenewed(Micros now, const Lease& lease) {
  entries_[lease.key] = {lease, now + ExpiryDelay(lease.duration, drift_)};
}

void LeaseExpiry::OnEnded(const std::string& key) { entries_.erase(key); }

std::vector<Lease> LeaseExpiry::Due(Micros now) {
  std::vector<Lease> due;
  for (auto& [key, entry] : entries_) {
    if (entry.propose_at > now) continue;
    due.push_back(entry.lease);
    entry.propose_at = now + retry_interval_;
  }
  return due;
}

Micros LeaseExpiry::next_at() const {
  Micros next = kNever;
  for (const auto& [key, entry] : entries_) next = std::min(next, entry.propose_at);
  return next;
}

}  // namespace burlfall::owner
