// The policies that learn nothing of a host but what they have in flight there. One further try, elsewhere
// where there is an elsewhere, as Envoy's num_retries gives by default: these are choices of Envoy's and
// HAProxy's too (HAProxy names them random, roundrobin and leastconn).
#include <random>
#include <vector>

#include "lab/peers/peer_policy.h"

namespace burlfall::lab {
namespace {

class Random : public PeerPolicy {
 public:
  explicit Random(uint64_t seed) : random_(seed) {}

  std::optional<size_t> Pick(Micros, std::span<const PeerHost> hosts,
                             std::span<const BackendId> tried) override {
    left_.clear();
    for (size_t i = 0; i < hosts.size(); ++i) {
      if (!WasTried(tried, hosts[i].id)) left_.push_back(i);
    }
    return left_.empty() ? random_() % hosts.size() : left_[random_() % left_.size()];
  }

 private:
  std::mt19937_64 random_;
  std::vector<size_t> left_;
};

// In the list's order, and for the least in flight among equals in that order, from where the last one was.
class InTurn : public PeerPolicy {
 public:
  InTurn(uint64_t start, bool least) : next_(start), least_(least) {}

  std::optional<size_t> Pick(Micros, std::span<const PeerHost> hosts,
                             std::span<const BackendId> tried) override {
    std::optional<size_t> best;
    for (size_t k = 0; k < hosts.size(); ++k) {
      const size_t i = (next_ + k) % hosts.size();
      if (WasTried(tried, hosts[i].id)) continue;
      if (!best || (least_ && hosts[i].in_flight < hosts[*best].in_flight)) best = i;
    }
    if (!best) best = next_ % hosts.size();
    next_ = *best + 1;
    return best;
  }

 private:
  size_t next_;
  const bool least_;
};

}  // namespace

std::unique_ptr<PeerPolicy> MakeRandom(uint64_t seed) { return std::make_unique<Random>(seed); }
// From a place of its own each, so that many proxies don't go round in step.
std::unique_ptr<PeerPolicy> MakeRoundRobin(uint64_t seed) {
  return std::make_unique<InTurn>(std::mt19937_64(seed)() >> 1, false);
}
std::unique_ptr<PeerPolicy> MakeLeastInFlight() { return std::make_unique<InTurn>(0, true); }

}  // namespace burlfall::lab
