// What makes one peer another: which host a request goes to, what its answers say of a host, and when a
// request is tried again. All that any sane proxy keeps besides is in proxy.h.
#ifndef BURLFALL_LAB_PEERS_PEER_POLICY_H_
#define BURLFALL_LAB_PEERS_PEER_POLICY_H_

#include <algorithm>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>

#include "io/time.h"
#include "meadowslip/balancer.h"

namespace burlfall::lab {

using meadowslip::BackendId;

struct PeerHost {
  BackendId id = 0;
  int in_flight = 0;  // attempts of this proxy alone
  bool ready = false;
};

// When a request is tried again. What can't have run may be, whatever its class; what may have run only where
// it is safe. Both hold for every peer, and so does the site's own limit of attempts.
struct PeerRetries {
  int most_tries = 2;                                  // the first one counts
  bool on_turned_away = true;                          // the host answered that it never ran
  bool on_error = true;                                // it answered with any other error
  Micros most_wait = 0;                                // before a further try: drawn evenly from 0 to this
  int most_at_once = std::numeric_limits<int>::max();  // requests between their first try and their end
};

inline bool WasTried(std::span<const BackendId> tried, BackendId id) {
  return std::ranges::find(tried, id) != tried.end();
}

class PeerPolicy {
 public:
  virtual ~PeerPolicy() = default;
  virtual PeerRetries retries() const { return {}; }
  // The position of the host that a request goes to, which was at `tried` before; nullopt: none is available.
  // `hosts` are those that discovery lists as ready, at least one.
  virtual std::optional<size_t> Pick(Micros now, std::span<const PeerHost> hosts,
                                     std::span<const BackendId> tried) = 0;
  // Discovery's list is this now. What is known of hosts that it doesn't name is to be forgotten.
  virtual void Listed(std::span<const PeerHost>) {}
  // An attempt ended, other than cancelled by the proxy or never sent.
  virtual void Ended(Micros, BackendId, meadowslip::Outcome) {}
  virtual Micros sweep_every() const { return 0; }  // 0: there is no sweep
  virtual void Sweep(Micros, std::span<const PeerHost>) {}
};

// Nothing is learned: what a proxy does that was told nothing but a list.
std::unique_ptr<PeerPolicy> MakeRandom(uint64_t seed);
std::unique_ptr<PeerPolicy> MakeRoundRobin(uint64_t seed);
std::unique_ptr<PeerPolicy> MakeLeastInFlight();
// As two well known proxies document theirs; the figures and their names are in the .cpp.
std::unique_ptr<PeerPolicy> MakeTwoChoices(uint64_t seed);  // Envoy
std::unique_ptr<PeerPolicy> MakeFailureCount();             // nginx

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_PEERS_PEER_POLICY_H_
