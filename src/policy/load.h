// Load: the limit on requests in flight, what backends report, and which could take a request now.
#ifndef MEADOWSLIP_SRC_POLICY_LOAD_H_
#define MEADOWSLIP_SRC_POLICY_LOAD_H_

#include "policy/health.h"

namespace meadowslip::policy {

using state::Door;

constexpr double kLimitGain = 0.1;  // added to the fleet's limit for each prompt answer
constexpr double kInUse = 0.5;      // of the node's limit: below it prompt answers say nothing of more
constexpr double kLimitCut = 0.1;   // share taken off for each slow one
constexpr double kLeastLimit = 1;   // twice that for sparse nodes
constexpr double kMostLimit = 256;
constexpr Micros kReportAge = 8;  // parts of the aim for which a report counts
constexpr double kBurst = 6;      // usual latencies for which a sparse node may have one request too many
constexpr double kReserve = 0.6;  // of that burst, left by the class of least value

struct Load {
  const Turn& turn;
  Fleet& fleet;
  Classes& classes;
  std::vector<uint32_t> reviewed = {};  // in this event, while
  bool waited_for = false;              // requests wait for groups
  bool room = false;                    // of a sparse node's members
  bool none_in_service = false;
  double spare = 0;  // time of requests in flight under this node's part
  Micros surveyed_at = 0;
  int out = 0;  // attempts
  double node_limit = 1;

  // The limit on requests in flight: up a little with each prompt answer while it is in use, down with each
  // slow one, as in TCP. It is kept for all nodes together, each taking its part, so that many nodes crowd a
  // backend no more than few do. A backend's pace is its latency against its classes' where it is calm.
  void NotePace(Backend& b, Learned& c, double took, bool queue) {
    b.pace += kSmooth * (c.Pace(took, queue || out >= node_limit / 2) - b.pace);
  }

  void Adapt(Backend& b, bool slow) {
    if (fleet.sparse) {  // it hears of one backend too seldom: what it hears of one goes for all it keeps to
      for (uint32_t i : fleet.members) Move(fleet.Change(i), slow, spare < kInUse * kBurst * classes.usual);
    } else {
      Move(b, slow, Part(b) >= 1 ? b.in_flight + 1 >= Part(b) : out + 1 >= node_limit * kInUse);
    }
  }
  void Move(Backend& b, bool slow, bool in_use) {
    if (slow) {
      b.limit = std::max(fleet.sparse ? 2 * kLeastLimit : kLeastLimit, b.limit * (1 - kLimitCut));
    } else if (in_use) {
      b.limit = std::min(kMostLimit, b.limit + kLimitGain);
    }
  }

  double Limit(const Backend& b) const { return b.limit * fleet.Capacity(b, turn.now); }
  double Part(const Backend& b) const { return Limit(b) / fleet.sharers; }

  // What a round of sends starts from.
  void Survey() {
    classes.Survey();
    fleet.ChooseMembers();
    double sum = fleet.Limits(fleet.all(), turn.now) / fleet.sharers;
    none_in_service = fleet.all().in_service == 0;
    if (fleet.sparse) {
      sum = room = !(none_in_service = true);
      for (uint32_t i : fleet.members) {
        const Backend& b = fleet.backends[i];
        room |= HasRoom(b, true, [](Micros) {});
        none_in_service &= b.OutOfService();
        if (!b.OutOfService()) sum += Part(b);
      }
    }
    node_limit = std::max(1.0, sum);
    spare += (sum - out) * static_cast<double>(turn.now - std::exchange(surveyed_at, turn.now));
    spare = std::min(kBurst * classes.usual, spare);
  }

  // A sparse node keeps to its part over time, not at each moment, or bursts would wait while backends idle.
  // Requests of less value leave some of it to better ones.
  bool NodeHasRoom() const { return fleet.sparse ? spare > 0 : out < node_limit; }
  bool NodeHasRoom(double value) const {
    if (!fleet.sparse) return NodeHasRoom();
    const std::vector<RequestClass>& all = turn.set.classes;
    double better = 0;
    for (int k = 0; k < std::ssize(all); ++k) better += classes.Value(k, all[k].worth) > value * 1.01;
    return spare > kReserve * kBurst * classes.usual * better / static_cast<double>(all.size());
  }
  // Nodes elsewhere prefer their own zones too.
  bool OwnZoneHasRoom() const {
    return fleet.own().in_flight < fleet.Limits(fleet.own(), turn.now) / fleet.sharers * fleet.zones;
  }
  bool AnyRoom() { return fleet.sparse ? room : !fleet.Open(state::kAnywhere, none_in_service).empty(); }
  bool TrialDue() const { return !fleet.sleepers().empty() && fleet.sleepers().begin()->first <= turn.now; }

  // Where time alone may end what closes it, `look` hears when.
  bool HasRoom(const Backend& b, bool sparse, const auto& look) const {
    if (turn.now < b.full_until) return look(b.full_until), false;
    if (FreshReport(b) && b.reported >= std::max(1.0, Limit(b)))
      return look(b.reported_at + ReportAge()), false;
    // An overdue attempt may be lost: it must not keep a place until its client gives up.
    const double held = (b.in_flight - (sparse ? 0 : b.overdue)) * (sparse ? fleet.sharers : turn.set.nodes);
    if (held < Limit(b)) return true;
    if (held < b.limit) look(fleet.CapacityAt(b, held / b.limit));
    return false;
  }

  // How a backend stands now, after an event on it or at its moment, for a node that keeps to all.
  void Review(uint32_t i) {
    Backend& b = fleet.backends[i];
    if (waited_for) reviewed.push_back(i);
    if (!b.used) return;
    state::Standing now;
    const auto look = [&](Micros at) { now.next = std::min(now.next, std::max(at, turn.now + 1)); };
    bool gone = Outlived(b) && b.held_by == 0;  // but a relapse within its sleep is remembered
    if (gone && turn.now < b.SleptOutAt()) look(b.SleptOutAt()), gone = false;
    now.ready = b.state == BackendState::kReady && !gone;
    if (now.ready) {
      now.adds = fleet.Adds(b, turn.now);
      if (turn.now < b.cold_until) look(turn.now < b.cold_from ? b.cold_from : b.cold_until);
      const Micros earned = fleet.EarnedAt(b, turn.set.nodes);
      if (earned > turn.now) look(earned);
      if (HasRoom(b, false, look) && earned <= turn.now)
        now.door = b.OutOfService() ? Door::kOpenAsleep : Door::kOpen;
      if (now.door == Door::kOpen && FreshReport(b)) {
        now.reports = b.reported / b.size;
        look(b.reported_at + ReportAge());
      }
      if (b.asleep && !b.trial_out) now.wakes = b.wake_at;
      if (b.asleep && b.wake_at > turn.now) look(b.wake_at);
    }
    fleet.chosen &= !fleet.File(i, now);
    if (gone) fleet.Forget(i);
  }
  // Not listed, and not to be sent to. Where gone alone does not bind, the longest sleep ends it.
  static bool Outlived(const Backend& b) {
    return b.withdrawn && (b.state != BackendState::kReady || (b.OutOfService() && b.sleep >= kLongestSleep));
  }

  void Advance(bool group_waits) {
    waited_for = group_waits;
    reviewed.clear();
    while (fleet.Due(turn.now)) Review(fleet.NextDue());
    ReviewChanged();
  }
  void ReviewChanged() {
    for (uint32_t i = 0; fleet.TakeChanged(i);) Review(i);
  }

  void TakeReport(Backend& b, std::span<const float> load) {
    if (turn.load_column >= load.size() || !std::isfinite(load[turn.load_column])) return;
    b.reported = std::max(0.0f, load[turn.load_column]);
    b.reported_at = turn.now;
  }
  Micros ReportAge() const { return turn.tightest_aim / kReportAge; }
  bool FreshReport(const Backend& b) const { return turn.now - b.reported_at < ReportAge(); }
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_LOAD_H_
