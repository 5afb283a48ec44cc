// The module as its callers see it: it puts a node together from the parts of the policy, hands each event to
// the part that takes it, and saves and loads what the parts keep. No decisions are made here.
#include "meadowslip/balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/results.h"
#include "state/serializer.h"

namespace meadowslip {

using state::Attempt, state::Backend, state::Held, state::Wait;

class Balancer::Node {
 public:
  Node(const Settings& settings, uint64_t seed) : turn(settings, seed) {}
  Node(const Node&) = delete;  // its parts know each other by where they are
  Node& operator=(const Node&) = delete;

  // Every event: what it says is taken in, then what there is room for goes out.
  void At(Micros now, ActionSink& act, auto take) {
    if (fleet.epoch == 0) fleet.epoch = now;
    turn.now = now;
    turn.act = &act;
    load.Advance(requests.AnyForGroup());
    take(*this);
    load.ReviewChanged();
    queue.Dispatch();
    queue.Tick(false);
    load.ReviewChanged();
  }

  void OnClientLeft(RequestId id) {
    if (Held* r = requests.Find(id)) sending.Close(*r);
  }

  // One list of fields that saves and loads; what follows from the settings, or from these, is not in it.
  void Fields(auto& a) {
    int format = kStateFormat;
    a(format);
    if (format != kStateFormat) return;
    a(turn.random, turn.now, fleet.epoch, fleet.backends, requests);
    a(load.room, load.none_in_service, load.spare, load.surveyed_at, load.out, load.node_limit);
    a(fleet.kinds, fleet.members, fleet.chosen, fleet.sparse, fleet.sharers, fleet.zones);
    a(classes.learned, classes.usual, classes.least, classes.wait, queue.shares, picker.probes_out,
      sending.served);
    a(sending.refused);
    a(queue.retries, queue.free_retries, fleet.subscribed, fleet.ask_at, fleet.ask_wait, queue.tick_set);
  }

  bool Load(std::string_view saved) {
    state::Reader in(saved);
    Fields(in);
    if (!in.Whole() || classes.learned.size() != turn.set.classes.size() ||
        queue.shares.size() != turn.set.tenants.size()) {
      return false;
    }
    const auto known = [this](uint32_t i) { return i < fleet.backends.size() && fleet.backends[i].used; };
    const auto sound = [this](const Backend& b) {
      return !b.used || (b.kind >= 0 && b.kind < std::ssize(fleet.kinds) && std::isfinite(b.limit) &&
                         std::isfinite(b.credit) && std::isfinite(b.first_work));
    };
    const auto fits = [&](const auto& held) {
      const Held& r = held.second;
      return r.id == held.first && r.cls >= 0 && r.cls < std::ssize(classes.learned) && r.level >= 0 &&
             r.level < state::kLevels && r.sent >= 0 && r.sent <= state::kMostAttempts &&
             r.waits >= Wait::kNot && r.waits <= Wait::kForGroup && std::isfinite(r.size) &&
             std::all_of(r.attempts.begin(), r.attempts.begin() + r.sent,
                         [&](const Attempt& a) { return known(a.backend); });
    };
    if (!std::ranges::all_of(fleet.members, known) || !std::ranges::all_of(fleet.backends, sound) ||
        !std::ranges::all_of(classes.learned, &policy::Learned::Sound) ||
        !std::ranges::all_of(requests.held, fits) || !std::isfinite(classes.wait)) {
      return false;
    }
    if (!fleet.Restore()) return false;
    requests.Restore([this](const Held& r) { return rules.Bounds(r).value_or(state::kAnywhere); });
    return true;
  }

  // Each part uses those that are named with it, and no others.
  policy::Turn turn;
  policy::Classes classes{turn.set};
  policy::Fleet fleet{turn, classes};
  policy::Health health{turn, fleet};
  policy::Load load{turn, fleet, classes};
  policy::Requests requests{fleet, turn.set.classes.size()};
  policy::Rules rules{turn, fleet};
  policy::Picker picker{turn, classes, fleet, load, rules};
  policy::Sending sending{turn, classes, fleet, load, requests, rules};
  policy::Queue queue{turn, classes, fleet, load, requests, rules, picker, sending};
  policy::Results results{turn, classes, fleet, health, load, requests, rules, sending, queue};
};

Balancer::Balancer(const Settings& settings, uint64_t seed) : node_(std::make_unique<Node>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::OnList(Micros t, const BackendList& list, ActionSink& a) {
  node_->At(t, a, [&](Node& n) { n.fleet.OnList(list); });
}
void Balancer::OnRequest(Micros t, const Request& r, ActionSink& a) {
  node_->At(t, a, [&](Node& n) { n.queue.OnRequest(r); });
}
void Balancer::OnStreamStarted(Micros t, RequestId id, int attempt, ActionSink& a) {
  node_->At(t, a, [&](Node& n) { n.sending.OnStreamStarted(id, attempt); });
}
void Balancer::OnResult(Micros t, const AttemptResult& result, ActionSink& a) {
  node_->At(t, a, [&](Node& n) { n.results.OnResult(result); });
}
void Balancer::OnClientLeft(Micros t, RequestId id, ActionSink& a) {
  node_->At(t, a, [&](Node& n) { n.OnClientLeft(id); });
}
void Balancer::OnTimer(Micros t, uint64_t timer, ActionSink& a) {
  node_->At(t, a, [&](Node& n) { n.results.OnTimer(timer); });
}
void Balancer::OnProbe(Micros t, const ProbeResult& result, ActionSink& a) {
  node_->At(t, a, [&](Node& n) { n.picker.OnProbe(result); });
}

std::string Balancer::Save() const {
  state::Writer out;
  node_->Fields(out);
  return out.Take();
}
bool Balancer::Load(std::string_view saved) { return node_->Load(saved); }

}  // namespace meadowslip
