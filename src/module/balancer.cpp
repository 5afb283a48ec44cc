// Implementation of the public interface: builds a node from the parts of the policy, dispatches each event
// to the part that handles it, and saves and restores the state. It makes no decisions.
#include "meadowslip/balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/results.h"
#include "state/serializer.h"

namespace meadowslip {

using state::Attempt, state::Backend, state::HeldRequest, state::Wait;

class Balancer::Node {
 public:
  Node(const Settings& settings, uint64_t seed) : context(settings, seed) {}
  Node(const Node&) = delete;  // the parts hold references to each other
  Node& operator=(const Node&) = delete;

  // Handles one event: applies it, then sends the requests for which there is capacity.
  void Handle(Micros now, ActionSink& sink, auto handle) {
    if (fleet.epoch == 0) fleet.epoch = now;
    context.now = now;
    context.sink = &sink;
    load.Advance(requests.AnyForGroup());
    handle(*this);
    load.ReviewChanged();
    queue.Dispatch();
    queue.OnTick(false);
    load.ReviewChanged();
  }

  void OnClientLeft(RequestId id) {
    if (HeldRequest* r = requests.Find(id)) sending.Close(*r);
  }

  // The saved fields, in order, for both saving and loading. Fields that are derived from the settings or
  // from these fields are not saved.
  void Fields(auto& a) {
    int format = kStateFormat;
    a(format);
    if (format != kStateFormat) return;
    a(context.random, context.now, fleet.epoch, fleet.backends, requests);
    a(load.room, load.none_in_service, load.spare, load.refreshed_at, load.pending, load.node_limit);
    a(fleet.kind_payoff, fleet.subset, fleet.subset_current, fleet.sparse, fleet.sharers, fleet.zones);
    a(classes.stats, classes.slowest, classes.min_work, classes.backend_wait, queue.tenant_tokens,
      picker.probes_pending, sending.served);
    a(sending.refused);
    a(queue.retries, queue.free_retries, fleet.subscribed, fleet.retry_at, fleet.retry_in,
      queue.tick_scheduled);
  }

  bool Load(std::string_view saved) {
    state::Reader in(saved);
    Fields(in);
    if (!in.Complete() || classes.stats.size() != context.settings.classes.size() ||
        queue.tenant_tokens.size() != context.settings.tenants.size()) {
      return false;
    }
    const auto valid_slot = [this](uint32_t i) {
      return i < fleet.backends.size() && fleet.backends[i].used;
    };
    const auto valid_backend = [this](const Backend& b) {
      return !b.used || (b.kind >= 0 && b.kind < std::ssize(fleet.kind_payoff) && std::isfinite(b.limit) &&
                         std::isfinite(b.cold_credit) && std::isfinite(b.min_cold_work));
    };
    const auto valid_request = [&](const auto& held) {
      const HeldRequest& r = held.second;
      return r.id == held.first && r.cls >= 0 && r.cls < std::ssize(classes.stats) && r.worth_level >= 0 &&
             r.worth_level < state::kWorthLevels && r.sent >= 0 && r.sent <= state::kMaxAttempts &&
             r.wait_state >= Wait::kNone && r.wait_state <= Wait::kForGroup && std::isfinite(r.size) &&
             std::all_of(r.attempts.begin(), r.attempts.begin() + r.sent,
                         [&](const Attempt& a) { return valid_slot(a.backend); });
    };
    if (!std::ranges::all_of(fleet.subset, valid_slot) ||
        !std::ranges::all_of(fleet.backends, valid_backend) ||
        !std::ranges::all_of(classes.stats, &policy::ClassStats::Valid) ||
        !std::ranges::all_of(requests.held, valid_request) || !std::isfinite(classes.backend_wait)) {
      return false;
    }
    if (!fleet.Restore()) return false;
    requests.Restore([this](const HeldRequest& r) { return rules.Bounds(r).value_or(state::kAnywhere); });
    return true;
  }

  // Each part depends only on the parts that are passed to its constructor.
  policy::Context context;
  policy::Classes classes{context.settings};
  policy::Fleet fleet{context, classes};
  policy::Health health{context, fleet};
  policy::Load load{context, fleet, classes};
  policy::Requests requests{fleet, context.settings.classes.size()};
  policy::Rules rules{context, fleet};
  policy::Picker picker{context, classes, fleet, load, rules};
  policy::Sending sending{context, classes, fleet, load, requests, rules};
  policy::Queue queue{context, classes, fleet, load, requests, rules, picker, sending};
  policy::Results results{context, classes, fleet, health, load, requests, rules, sending, queue};
};

Balancer::Balancer(const Settings& settings, uint64_t seed) : node_(std::make_unique<Node>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::OnList(Micros t, const BackendList& list, ActionSink& a) {
  node_->Handle(t, a, [&](Node& n) { n.fleet.OnList(list); });
}
void Balancer::OnRequest(Micros t, const Request& r, ActionSink& a) {
  node_->Handle(t, a, [&](Node& n) { n.queue.OnRequest(r); });
}
void Balancer::OnStreamStarted(Micros t, RequestId id, int attempt, ActionSink& a) {
  node_->Handle(t, a, [&](Node& n) { n.sending.OnStreamStarted(id, attempt); });
}
void Balancer::OnResult(Micros t, const AttemptResult& result, ActionSink& a) {
  node_->Handle(t, a, [&](Node& n) { n.results.OnResult(result); });
}
void Balancer::OnClientLeft(Micros t, RequestId id, ActionSink& a) {
  node_->Handle(t, a, [&](Node& n) { n.OnClientLeft(id); });
}
void Balancer::OnTimer(Micros t, uint64_t timer, ActionSink& a) {
  node_->Handle(t, a, [&](Node& n) { n.results.OnTimer(timer); });
}
void Balancer::OnProbe(Micros t, const ProbeResult& result, ActionSink& a) {
  node_->Handle(t, a, [&](Node& n) { n.picker.OnProbe(result); });
}

std::string Balancer::Save() const {
  state::Writer out;
  node_->Fields(out);
  return out.Finish();
}
bool Balancer::Load(std::string_view saved) { return node_->Load(saved); }

}  // namespace meadowslip
