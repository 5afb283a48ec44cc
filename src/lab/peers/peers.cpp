#include "lab/peers/peers.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string>

#include "lab/peers/peer_policy.h"
#include "lab/peers/proxy.h"
#include "meadowslip/balancer.h"

namespace meadowslip {
namespace {

using burlfall::lab::PeerPolicy;
namespace lab = burlfall::lab;

constexpr std::array<std::string_view, 5> kNames = {"random", "round_robin", "least_in_flight", "two_choices",
                                                    "failure_count"};
std::string_view g_chosen;  // one of kNames, or empty

std::unique_ptr<PeerPolicy> MakePolicy(std::string_view name, uint64_t seed) {
  if (name == "random") return lab::MakeRandom(seed);
  if (name == "round_robin") return lab::MakeRoundRobin(seed);
  if (name == "least_in_flight") return lab::MakeLeastInFlight();
  if (name == "two_choices") return lab::MakeTwoChoices(seed);
  if (name == "failure_count") return lab::MakeFailureCount();
  throw std::logic_error("no peer was chosen before the first balancer");
}

}  // namespace

std::span<const std::string_view> PeerNames() { return kNames; }

bool UsePeer(std::string_view name) {
  const auto known = std::ranges::find(kNames, name);
  if (known == kNames.end()) return false;
  g_chosen = *known;
  return true;
}

class Balancer::Node : public lab::Proxy {
 public:
  using Proxy::Proxy;
};

Balancer::Balancer(const Settings& settings, uint64_t seed)
    : node_(std::make_unique<Node>(settings, MakePolicy(g_chosen, seed), ~seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::OnList(Micros now, const BackendList& list, ActionSink& actions) {
  node_->OnList(now, list, actions);
}
void Balancer::OnRequest(Micros now, const Request& request, ActionSink& actions) {
  node_->OnRequest(now, request, actions);
}
void Balancer::OnStreamStarted(Micros now, RequestId id, int, ActionSink& actions) {
  node_->OnStreamStarted(now, id, actions);
}
void Balancer::OnResult(Micros now, const AttemptResult& result, ActionSink& actions) {
  node_->OnResult(now, result, actions);
}
void Balancer::OnClientLeft(Micros now, RequestId id, ActionSink& actions) {
  node_->OnClientLeft(now, id, actions);
}
void Balancer::OnTimer(Micros now, uint64_t timer, ActionSink& actions) {
  node_->OnTimer(now, timer, actions);
}
void Balancer::OnProbe(Micros, const ProbeResult&, ActionSink&) {}  // none is ever asked for

// A peer has no state to hand on. Captures need one, so the lab runs peers without.
std::string Balancer::Save() const { return {}; }
bool Balancer::Load(std::string_view) { return false; }

}  // namespace meadowslip
