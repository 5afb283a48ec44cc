// Membership: what the list names, what of it this node keeps to, and what it may send to one just started.
#ifndef MEADOWSLIP_SRC_POLICY_FLEET_H_
#define MEADOWSLIP_SRC_POLICY_FLEET_H_

#include "kit/mix.h"
#include "policy/context.h"
#include "state/backend_table.h"

namespace meadowslip::policy {

using state::Backend, state::Group, state::kNever;

constexpr double kFirstLimit = 3;  // of all nodes together, a backend
constexpr double kMembers = 3;     // backends that a sparse node keeps to, and where their load is asked for
constexpr double kProbedMembers = 5;
constexpr double kSmooth = 0.1;
constexpr double kColdSafety = 0.7;    // of the cold budget; the rest is for chance
constexpr double kMostRetriesTo = 20;  // further tries to one backend beyond one for each first try there

struct Fleet : state::Roster {
  Fleet(Turn& t, const Classes& c) : Roster(t.set), turn(t), classes(c) {}

  Turn& turn;
  const Classes& classes;
  std::vector<double> kinds = {};      // smoothed payoff by kind of machine
  std::vector<uint32_t> members = {};  // those that a sparse node keeps to
  bool chosen = false;                 // the members with the list and the sleeps
  bool sparse = false;                 // more nodes than backends
  double sharers = 1;                  // nodes that keep to the same backend
  int zones = 1;
  bool subscribed = false;
  Micros ask_at = 0, ask_wait = 0;
  uint64_t lists = 0;

  void OnList(const BackendList& list) {
    if (list.kind != ListKind::kCached) subscribed = list.kind != ListKind::kFailed;
    if (list.kind == ListKind::kFailed) return;
    ++lists;
    for (const BackendEntry& e : list.entries) TakeEntry(e);
    if (list.kind == ListKind::kChanges) return;
    for (uint32_t i = 0; i < backends.size(); ++i) {
      if (backends[i].used && backends[i].listed != lists) Withdraw(i);
    }
  }

  // Where there are more nodes than backends, each keeps to a few: backends take fewer connections than there
  // are nodes, and a node learns of few what it can't of many. Rank by node and backend (rendezvous hashing)
  // spreads the nodes and moves little as the list changes; the next stands in for one out of service.
  void ChooseMembers() {
    if (std::exchange(chosen, true)) return;
    double count = static_cast<double>(ready());
    sparse = turn.set.nodes > count;
    members.clear();
    double want = !sparse ? 0 : turn.probes_each > 0 ? kProbedMembers : kMembers, in_service = 0;
    for (auto it = by_rank().begin(); it != by_rank().end() && in_service < want; ++it) {
      const Backend& b = backends[it->second];
      members.push_back(it->second);
      in_service += !b.asleep ? 1 : b.only < 0 ? 0 : 0.5;
    }
    double kept = sparse ? static_cast<double>(members.size()) : count;
    sharers = std::max(1.0, turn.set.nodes * kept / std::max(1.0, count));
  }

  // A backend the list no longer names. Where gone alone does not bind, it stays usable as it was.
  void Withdraw(uint32_t i) {
    if (backends[i].withdrawn) return;
    Backend& b = Change(i);
    b.withdrawn = true;
    if (b.state == BackendState::kReady && turn.set.gone_binds) b.state = BackendState::kGone;
  }

  void TakeEntry(const BackendEntry& e) {
    const uint32_t* known = Find(e.id);
    const bool fresh = known == nullptr;
    if (e.state == BackendState::kGone) return fresh ? void() : Withdraw(*known);
    const uint32_t i = fresh ? Add(e.id) : *known;
    Backend& b = Change(i);
    b.listed = lists;
    b.withdrawn = false;
    b.zone = std::clamp(e.zone, 0, state::kMostPlaces - 1);
    b.cell = std::clamp(e.cell, 0, state::kMostPlaces - 1);
    b.kind = std::clamp(e.kind, 0, state::kMostPlaces - 1);
    if (kinds.size() <= static_cast<size_t>(b.kind)) kinds.resize(b.kind + 1, 0.5);
    if (fresh) {
      b.rank = kit::Mix(kit::Mix(e.id) + static_cast<uint64_t>(turn.set.node_index));
      b.limit = kFirstLimit;
      b.payoff = kinds[b.kind];  // new servers start at the mean, of their kind
      b.up_since = turn.now;
      b.retries = kMostRetriesTo;
    }
    zones = std::max(zones, b.zone + 1);
    if (turn.set.advertised_sizes) b.size = e.size;
    const bool was_ready = std::exchange(b.state, e.state) == BackendState::kReady;
    if (e.state != BackendState::kReady) return;
    if (e.started_at > b.cold_from && e.started_at + turn.set.warm_after > turn.now)
      MarkCold(b, e.started_at);
    if (!fresh && !was_ready) b.up_since = turn.now;
  }

  // Each node begins at a random point of its first request's wait, all together at the allowed rate.
  void MarkCold(Backend& b, Micros from) {
    b.cold_from = from;
    b.cold_until = from + turn.set.warm_after;
    b.first_work = classes.least;
    b.credit = turn.Uniform() * b.first_work;
    b.credited_at = b.up_since = turn.now;
    b.limit = std::min(b.limit, kFirstLimit);
    b.failures = 0, b.wake_at = std::min(b.wake_at, turn.now);  // what slept was its earlier life
  }
  // A cold backend's budget is earned evenly, each node's part by itself, and kept for half a window: where a
  // request takes longer to earn, it is earned anew then. Work is the class's usual latency against one core.
  double ColdRate(const Backend& b, double parts) const {
    return kColdSafety * turn.set.overload_factor * Capacity(b, turn.now) / parts;
  }
  double Credit(const Backend& b, double parts) const {
    return b.credit + ColdRate(b, parts) * static_cast<double>(turn.now - b.credited_at);
  }
  bool ColdAllows(Backend& b, double work) const {
    const double least = std::max(work, b.first_work), earned = Credit(b, sharers);
    const double most = ColdRate(b, sharers) * static_cast<double>(turn.set.overload_window) / 2;
    b.credit = most < least ? std::fmod(earned, least + most) : std::min(most, earned);
    return b.credited_at = turn.now, b.credit >= least;
  }
  // When it can take the least of requests again, at the latest: the rate only grows.
  Micros EarnedAt(const Backend& b, double parts) const {
    double missing = b.first_work - Credit(b, parts);
    if (turn.now >= b.cold_until || missing <= 0) return turn.now;
    double wait = std::min(missing / ColdRate(b, parts), static_cast<double>(turn.set.warm_after));
    return std::min(b.cold_until, turn.now + 1 + static_cast<Micros>(wait));
  }

  // A sparse node visits one backend seldom: what it sees of a kind of machine counts as much.
  double Payoff(const Backend& b) const { return b.payoff + (sparse ? kinds[b.kind] : 0); }
  void Reward(Backend& b, double payoff) {
    b.payoff += kSmooth * (payoff - b.payoff);
    kinds[b.kind] += kSmooth * (payoff - kinds[b.kind]);
  }

  // A subscription is asked for again with a jittered back-off that stays well within the must-ask time.
  bool WantsList() const { return turn.set.must_subscribe && !subscribed; }
  void KeepSubscribed() {
    if (!WantsList() || turn.now < ask_at) return;
    turn.act->Subscribe();
    ask_wait = std::clamp<Micros>(ask_wait * 2, turn.set.must_ask_within / 10, turn.set.must_ask_within / 3);
    ask_at = turn.now + static_cast<Micros>(static_cast<double>(ask_wait) * (0.75 + 0.5 * turn.Uniform()));
  }
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_FLEET_H_
