// Hosts in turn, and one with a failure out for ten seconds: nginx with an `upstream` of servers of equal
// weight and proxy_pass, all else left at its documented default. proxy_read_timeout is the client's
// patience, as for every peer: at its default of 60 s no silent server would ever be noticed.
#include <algorithm>
#include <limits>
#include <unordered_map>

#include "lab/peers/peer_policy.h"

namespace burlfall::lab {
namespace {

using meadowslip::Outcome;

constexpr int kMaxFails = 1;                   // server ... max_fails
constexpr Micros kFailTimeout = 10 * kSecond;  // server ... fail_timeout
// proxy_next_upstream error timeout: an answer of status 500 or 503 goes to the client as it came and says
// nothing of the server; http_500 and http_503 would have to be named. proxy_next_upstream_tries 0: until
// each server was tried. What was sent and is not idempotent stays where it is, as for every peer.
constexpr PeerRetries kRetries = {
    .most_tries = std::numeric_limits<int>::max(), .on_turned_away = false, .on_error = false};

class FailureCount : public PeerPolicy {
 public:
  PeerRetries retries() const override { return kRetries; }

  std::optional<size_t> Pick(Micros now, std::span<const PeerHost> hosts,
                             std::span<const BackendId> tried) override {
    if (std::optional<size_t> picked = PickLive(now, hosts, tried)) return picked;
    // All out: all count as live again. Releases of late answer "no live upstreams" instead; the kinder of
    // the two is compared with.
    for (auto& [id, server] : servers_) server.fails = 0;
    return PickLive(now, hosts, tried);
  }

  void Listed(std::span<const PeerHost> hosts) override {
    std::unordered_map<BackendId, Server> kept;
    for (const PeerHost& host : hosts) kept[host.id] = servers_[host.id];
    servers_ = std::move(kept);
  }

  void Ended(Micros now, BackendId id, Outcome outcome) override {
    const auto it = servers_.find(id);
    if (it == servers_.end() || servers_.size() == 1) return;  // a server on its own is never out
    Server& server = it->second;
    if (outcome == Outcome::kConnectFailed || outcome == Outcome::kReset || outcome == Outcome::kTimeout) {
      ++server.fails;
      server.failed_at = server.checked_at = now;
      server.weight = 0;
    } else if (server.failed_at < server.checked_at) {
      server.fails = 0;  // what was let through after the time-out came back well
    }
  }

 private:
  struct Server {
    int fails = 0;
    Micros failed_at = std::numeric_limits<Micros>::min() / 2;
    Micros checked_at = failed_at;  // its last failure, or the request that was let through after it
    int weight = 1;                 // 0 for the first turn after a failure
    int credit = 0;
  };

  // Smooth round robin: each is credited its weight, and the one with the most pays for all.
  std::optional<size_t> PickLive(Micros now, std::span<const PeerHost> hosts,
                                 std::span<const BackendId> tried) {
    std::optional<size_t> best;
    int total = 0;
    for (size_t i = 0; i < hosts.size(); ++i) {
      Server& server = servers_[hosts[i].id];
      if (WasTried(tried, hosts[i].id)) continue;
      if (server.fails >= kMaxFails && now - server.checked_at <= kFailTimeout) continue;
      server.credit += server.weight;
      total += server.weight;
      server.weight = 1;
      if (!best || server.credit > servers_[hosts[*best].id].credit) best = i;
    }
    if (!best) return best;
    Server& server = servers_[hosts[*best].id];
    server.credit -= total;
    if (now - server.checked_at > kFailTimeout) server.checked_at = now;
    return best;
  }

  std::unordered_map<BackendId, Server>
      servers_;  // of the listed; walked only where the order doesn't matter
};

}  // namespace

std::unique_ptr<PeerPolicy> MakeFailureCount() { return std::make_unique<FailureCount>(); }

}  // namespace burlfall::lab
