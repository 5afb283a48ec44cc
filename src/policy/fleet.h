// The backend list, the subset of it that this node uses, and the work allowed at backends that just started.
#ifndef MEADOWSLIP_SRC_POLICY_FLEET_H_
#define MEADOWSLIP_SRC_POLICY_FLEET_H_

#include "kit/mix.h"
#include "policy/context.h"
#include "state/backend_table.h"

namespace meadowslip::policy {

using state::Backend, state::Group, state::kNever;

constexpr double kInitialLimit = 3;  // of a backend, for all nodes together
constexpr double kSubset = 3;        // backends that a sparse node uses without probes, and with probes
constexpr double kProbedSubset = 5;
constexpr double kSmoothing = 0.1;
constexpr double kColdSafety = 0.7;     // of the cold budget; the rest covers random variation
constexpr double kMaxRetryBudget = 20;  // retries to a backend beyond one for each first attempt there

// The known backends. Decides which of them this node uses, how much work a backend that just started may
// get, and when to subscribe to the backend list again.
struct Fleet : state::BackendTable {
  Fleet(Context& given, const Classes& all_classes)
      : BackendTable(given.settings), context(given), classes(all_classes) {}

  Context& context;
  const Classes& classes;
  std::vector<double> kind_payoff = {};  // moving average by kind of machine
  std::vector<uint32_t> subset = {};     // backends that a sparse node uses
  bool subset_current = false;           // false after a change of the list or of sleeps
  bool sparse = false;                   // the fleet has more nodes than backends
  double sharers = 1;                    // nodes that share each backend
  int zones = 1;
  bool subscribed = false;
  Micros retry_at = 0, retry_in = 0;  // for the subscription
  uint64_t list_count = 0;

  void OnList(const BackendList& list) {
    if (list.kind != ListKind::kCached) subscribed = list.kind != ListKind::kFailed;
    if (list.kind == ListKind::kFailed) return;
    ++list_count;
    for (const BackendEntry& e : list.entries) ApplyEntry(e);
    if (list.kind == ListKind::kChanges) return;
    for (uint32_t i = 0; i < backends.size(); ++i) {
      if (backends[i].used && backends[i].last_list != list_count) Delist(i);
    }
  }

  // With more nodes than backends, each node uses a subset: backends accept fewer connections than there are
  // nodes, and a node learns more about few backends. Rendezvous hashing by node and backend spreads the
  // nodes and limits changes when the list changes; the next in rank replaces a backend out of service.
  void ChooseSubset() {
    if (std::exchange(subset_current, true)) return;
    double count = static_cast<double>(ready());
    sparse = context.settings.nodes > count;
    subset.clear();
    double want = !sparse ? 0 : context.probes_per_request > 0 ? kProbedSubset : kSubset, in_service = 0;
    for (auto it = by_rank().begin(); it != by_rank().end() && in_service < want; ++it) {
      const Backend& b = backends[it->second];
      subset.push_back(it->second);
      in_service += !b.asleep ? 1 : b.asleep_class < 0 ? 0 : 0.5;
    }
    double in_use = sparse ? static_cast<double>(subset.size()) : count;
    sharers = std::max(1.0, context.settings.nodes * in_use / std::max(1.0, count));
  }

  // Handles a backend that the list no longer names. Without gone_binds it stays usable.
  void Delist(uint32_t i) {
    if (backends[i].delisted) return;
    Backend& b = Modify(i);
    b.delisted = true;
    if (b.state == BackendState::kReady && context.settings.gone_binds) b.state = BackendState::kGone;
  }

  void ApplyEntry(const BackendEntry& e) {
    const uint32_t* known = Find(e.id);
    const bool is_new = known == nullptr;
    if (e.state == BackendState::kGone) return is_new ? void() : Delist(*known);
    const uint32_t i = is_new ? Add(e.id) : *known;
    Backend& b = Modify(i);
    b.last_list = list_count;
    b.delisted = false;
    b.zone = std::clamp(e.zone, 0, state::kMaxPlaces - 1);
    b.cell = std::clamp(e.cell, 0, state::kMaxPlaces - 1);
    b.kind = std::clamp(e.kind, 0, state::kMaxPlaces - 1);
    if (kind_payoff.size() <= static_cast<size_t>(b.kind)) kind_payoff.resize(b.kind + 1, 0.5);
    if (is_new) {
      b.rank = kit::Mix(kit::Mix(e.id) + static_cast<uint64_t>(context.settings.node_index));
      b.limit = kInitialLimit;
      b.payoff = kind_payoff[b.kind];  // new backends start at the mean of their kind
      b.up_since = context.now;
      b.retry_budget = kMaxRetryBudget;
    }
    zones = std::max(zones, b.zone + 1);
    if (context.settings.advertised_sizes) b.size = e.size;
    const bool was_ready = std::exchange(b.state, e.state) == BackendState::kReady;
    if (e.state != BackendState::kReady) return;
    if (e.started_at > b.cold_from && e.started_at + context.settings.warm_after > context.now)
      MarkCold(b, e.started_at);
    if (!is_new && !was_ready) b.up_since = context.now;
  }

  // Starting credit is random, so that all nodes together send their first requests at the allowed rate.
  void MarkCold(Backend& b, Micros from) {
    b.cold_from = from;
    b.cold_until = from + context.settings.warm_after;
    b.min_cold_work = classes.min_work;
    b.cold_credit = context.Uniform() * b.min_cold_work;
    b.credit_updated_at = b.up_since = context.now;
    b.limit = std::min(b.limit, kInitialLimit);
    b.failures = 0,
    b.wake_at = std::min(b.wake_at, context.now);  // its sleep belonged to the previous process
  }
  // Credit for a cold backend grows at a constant rate at each node and is capped at half a window; credit
  // for a request above the cap wraps around instead. Work is the class's usual latency on one core.
  double ColdCreditRate(const Backend& b, double sharing) const {
    return kColdSafety * context.settings.overload_factor * Capacity(b, context.now) / sharing;
  }
  double ColdCredit(const Backend& b, double sharing) const {
    return b.cold_credit +
           ColdCreditRate(b, sharing) * static_cast<double>(context.now - b.credit_updated_at);
  }
  bool ColdCreditAllows(Backend& b, double work) const {
    const double need = std::max(work, b.min_cold_work), earned = ColdCredit(b, sharers);
    const double cap = ColdCreditRate(b, sharers) * static_cast<double>(context.settings.overload_window) / 2;
    b.cold_credit = cap < need ? std::fmod(earned, need + cap) : std::min(cap, earned);
    return b.credit_updated_at = context.now, b.cold_credit >= need;
  }
  // Upper bound of the time at which credit suffices for the smallest request: the rate only grows.
  Micros ColdCreditAt(const Backend& b, double sharing) const {
    double missing = b.min_cold_work - ColdCredit(b, sharing);
    if (context.now >= b.cold_until || missing <= 0) return context.now;
    double wait =
        std::min(missing / ColdCreditRate(b, sharing), static_cast<double>(context.settings.warm_after));
    return std::min(b.cold_until, context.now + 1 + static_cast<Micros>(wait));
  }

  // A sparse node sees each backend seldom, so the payoff of its kind of machine counts as much.
  double Payoff(const Backend& b) const { return b.payoff + (sparse ? kind_payoff[b.kind] : 0); }
  void UpdatePayoff(Backend& b, double payoff) {
    b.payoff += kSmoothing * (payoff - b.payoff);
    kind_payoff[b.kind] += kSmoothing * (payoff - kind_payoff[b.kind]);
  }

  // Subscribes again with jittered back-off, well within must_ask_within.
  bool NeedsSubscription() const { return context.settings.must_subscribe && !subscribed; }
  void RenewSubscription() {
    if (!NeedsSubscription() || context.now < retry_at) return;
    context.sink->Subscribe();
    retry_in = std::clamp<Micros>(retry_in * 2, context.settings.must_ask_within / 10,
                                  context.settings.must_ask_within / 3);
    retry_at =
        context.now + static_cast<Micros>(static_cast<double>(retry_in) * (0.75 + 0.5 * context.Uniform()));
  }
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_FLEET_H_
