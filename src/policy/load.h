// Load: the limit on requests in flight, load reports, and which backends can take a request now.
#ifndef MEADOWSLIP_SRC_POLICY_LOAD_H_
#define MEADOWSLIP_SRC_POLICY_LOAD_H_

#include "policy/health.h"

namespace meadowslip::policy {

using state::Usable;

constexpr double kLimitGain = 0.1;  // added to the fleet's limit for each prompt answer
constexpr double kInUse = 0.5;      // of the node's limit; below it, prompt answers do not raise limits
constexpr double kLimitCut = 0.1;   // share subtracted for each slow answer
constexpr double kMinLimit = 1;     // doubled for sparse nodes
constexpr double kMaxLimit = 256;
constexpr Micros kReportAgeDivisor = 8;  // a report is fresh for the shortest aim divided by this
constexpr double kBurst = 6;             // usual latencies of one request above a sparse node's share
constexpr double kReserve = 0.6;         // share of that burst which the class of least value leaves

// Decides how many requests each backend and this node may have in flight, and whether a backend has room for
// another.
struct Load {
  const Context& context;
  Fleet& fleet;
  Classes& classes;
  std::vector<uint32_t> reviewed = {};  // during this event, if track_reviewed
  bool track_reviewed = false;          // set while requests wait for groups
  bool room = false;                    // in a sparse node's subset
  bool none_in_service = false;
  double spare = 0;  // unused share of this node: requests in flight times time
  Micros refreshed_at = 0;
  int pending = 0;  // attempts in flight, without overdue ones
  double node_limit = 1;

  // Limit on requests in flight, adjusted as in TCP: a prompt answer raises it while it is in use, a slow one
  // lowers it. It holds for all nodes together, each using its share, so that many nodes load a backend like
  // few. Slowdown: latency relative to the uncrowded latency of the class.
  void UpdateSlowdown(Backend& b, ClassStats& c, double duration, bool queue) {
    b.slowdown += kSmoothing * (c.Slowdown(duration, queue || pending >= node_limit / 2) - b.slowdown);
  }

  void Adjust(Backend& b, bool slow) {
    if (fleet.sparse) {  // one answer adjusts the whole subset: a sparse node sees each too seldom
      for (uint32_t i : fleet.subset) Move(fleet.Modify(i), slow, spare < kInUse * kBurst * classes.slowest);
    } else {
      Move(b, slow, NodeShare(b) >= 1 ? b.in_flight + 1 >= NodeShare(b) : pending + 1 >= node_limit * kInUse);
    }
  }
  void Move(Backend& b, bool slow, bool in_use) {
    if (slow) {
      b.limit = std::max(fleet.sparse ? 2 * kMinLimit : kMinLimit, b.limit * (1 - kLimitCut));
    } else if (in_use) {
      b.limit = std::min(kMaxLimit, b.limit + kLimitGain);
    }
  }

  double Limit(const Backend& b) const { return b.limit * fleet.Capacity(b, context.now); }
  double NodeShare(const Backend& b) const { return Limit(b) / fleet.sharers; }

  // Computes the node's limits before a round of sends.
  void Refresh() {
    classes.Refresh();
    fleet.ChooseSubset();
    double sum = fleet.TotalLimit(fleet.totals(), context.now) / fleet.sharers;
    none_in_service = fleet.totals().in_service == 0;
    if (fleet.sparse) {
      sum = room = !(none_in_service = true);
      for (uint32_t i : fleet.subset) {
        const Backend& b = fleet.backends[i];
        room |= HasRoom(b, true, [](Micros) {});
        none_in_service &= b.OutOfService();
        if (!b.OutOfService()) sum += NodeShare(b);
      }
    }
    node_limit = std::max(1.0, sum);
    spare += (sum - pending) * static_cast<double>(context.now - std::exchange(refreshed_at, context.now));
    spare = std::min(kBurst * classes.slowest, spare);
  }

  // A sparse node keeps to its share on average over time, so that bursts need not wait while backends idle.
  // Requests of low value leave part of the burst to those of higher value.
  bool NodeHasRoom() const { return fleet.sparse ? spare > 0 : pending < node_limit; }
  bool NodeHasRoom(double value) const {
    if (!fleet.sparse) return NodeHasRoom();
    const std::vector<RequestClass>& defined = context.settings.classes;
    double better = 0;
    for (int k = 0; k < std::ssize(defined); ++k) better += classes.Value(k, defined[k].worth) > value * 1.01;
    return spare > kReserve * kBurst * classes.slowest * better / static_cast<double>(defined.size());
  }
  // The own zone's share counts times the zones, since other nodes prefer their own zones too.
  bool OwnZoneHasRoom() const {
    return fleet.zone_totals().in_flight <
           fleet.TotalLimit(fleet.zone_totals(), context.now) / fleet.sharers * fleet.zones;
  }
  bool AnyRoom() { return fleet.sparse ? room : !fleet.Available(state::kAnywhere, none_in_service).empty(); }
  bool TrialDue() const {
    return !fleet.sleepers().empty() && fleet.sleepers().begin()->first <= context.now;
  }

  // Where the passage of time alone can free capacity, `due` receives that time.
  bool HasRoom(const Backend& b, bool sparse, const auto& due) const {
    if (context.now < b.full_until) return due(b.full_until), false;
    if (HasFreshReport(b) && b.reported >= std::max(1.0, Limit(b)))
      return due(b.reported_at + MaxReportAge()), false;
    // An overdue attempt may be lost, so it does not occupy capacity until its client gives up.
    const double held =
        (b.in_flight - (sparse ? 0 : b.overdue)) * (sparse ? fleet.sharers : context.settings.nodes);
    if (held < Limit(b)) return true;
    if (held < b.limit) due(fleet.CapacityReachedAt(b, held / b.limit));
    return false;
  }

  // Computes and stores a backend's status after an event on it or at its review time, if not sparse.
  void Review(uint32_t i) {
    Backend& b = fleet.backends[i];
    if (track_reviewed) reviewed.push_back(i);
    if (!b.used) return;
    state::BackendStatus now;
    const auto due = [&](Micros at) {
      now.review_at = std::min(now.review_at, std::max(at, context.now + 1));
    };
    bool obsolete = Obsolete(b) && b.references == 0;  // failure history is kept for one sleep
    if (obsolete && context.now < b.SleepEndsAt()) due(b.SleepEndsAt()), obsolete = false;
    now.ready = b.state == BackendState::kReady && !obsolete;
    if (now.ready) {
      now.contribution = fleet.TotalsOf(b, context.now);
      if (context.now < b.cold_until) due(context.now < b.cold_from ? b.cold_from : b.cold_until);
      const Micros earned = fleet.ColdCreditAt(b, context.settings.nodes);
      if (earned > context.now) due(earned);
      if (HasRoom(b, false, due) && earned <= context.now)
        now.usable = b.OutOfService() ? Usable::kYesAsleep : Usable::kYes;
      if (now.usable == Usable::kYes && HasFreshReport(b)) {
        now.reported_load = b.reported / b.size;
        due(b.reported_at + MaxReportAge());
      }
      if (b.asleep && !b.trial_pending) now.wakes_at = b.wake_at;
      if (b.asleep && b.wake_at > context.now) due(b.wake_at);
    }
    fleet.subset_current &= !fleet.SetStatus(i, now);
    if (obsolete) fleet.FreeSlot(i);
  }
  // Delisted and not usable. Without gone_binds, usable until it has slept for the maximum time.
  static bool Obsolete(const Backend& b) {
    return b.delisted && (b.state != BackendState::kReady || (b.OutOfService() && b.sleep >= kMaxSleep));
  }

  void Advance(bool group_waits) {
    track_reviewed = group_waits;
    reviewed.clear();
    while (fleet.ReviewDue(context.now)) Review(fleet.NextReview());
    ReviewChanged();
  }
  void ReviewChanged() {
    for (uint32_t i = 0; fleet.NextChanged(i);) Review(i);
  }

  void ApplyReport(Backend& b, std::span<const float> load) {
    if (context.load_field >= load.size() || !std::isfinite(load[context.load_field])) return;
    b.reported = std::max(0.0f, load[context.load_field]);
    b.reported_at = context.now;
  }
  Micros MaxReportAge() const { return context.min_aim / kReportAgeDivisor; }
  bool HasFreshReport(const Backend& b) const { return context.now - b.reported_at < MaxReportAge(); }
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_LOAD_H_
