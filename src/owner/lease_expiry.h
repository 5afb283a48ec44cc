// Lease expiry at the leader: when to propose that a lease has expired. It counts `lease * (1 + drift)` on
// the leader's own monotonic clock from when it applied the grant. A new leader counts all leases anew, in
// full. `drift` bounds the relative rate error between the monotonic clocks of two machines. If the clocks
// drift further, a lease may be declared expired while its holder still acts: fencing then still holds,
// guarantees about time don't.
#ifndef BURLFALL_OWNER_LEASE_EXPIRY_H_
#define BURLFALL_OWNER_LEASE_EXPIRY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "io/time.h"

namespace burlfall::owner {

// A lease in the log. `key` and `epoch` identify it; `renewed_index` is the index of the entry that granted
// or last renewed it.
struct Lease {
  std::string key;
  uint64_t epoch = 0;
  uint64_t renewed_index = 0;
  Micros duration = 0;
};

// The leader's timers for all leases.
class LeaseExpiry {
 public:
  // `retry_interval`: an expiry that was proposed and has not entered the log is proposed again after this
  // time.
  explicit LeaseExpiry(double drift, Micros retry_interval = 500 * kMs)
      : drift_(drift), retry_interval_(retry_interval) {}

  // On becoming the leader: all leases of the state. On losing leadership: BecomeLeader(now, {}).
  void BecomeLeader(Micros now, const std::vector<Lease>& leases);
  void OnRenewed(Micros now, const Lease& lease);  // granted or renewed, as this leader applied it
  void OnEnded(const std::string& key);            // released or expired
  // Leases whose expiry is to be proposed now, as kExpire with `epoch` and `renewed_index`.
  std::vector<Lease> Due(Micros now);
  Micros next_at() const;

  static Micros ExpiryDelay(Micros lease, double drift);  // rounded up

 private:
  struct Entry {
    Lease lease;
    Micros propose_at = 0;  // when the expiry is next proposed
  };
  const double drift_;
  const Micros retry_interval_;
  std::map<std::string, Entry> entries_;
};

}  // namespace burlfall::owner

#endif  // BURLFALL_OWNER_LEASE_EXPIRY_H_
