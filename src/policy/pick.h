// Backend choice for a request, and load probes before it.
#ifndef MEADOWSLIP_SRC_POLICY_PICK_H_
#define MEADOWSLIP_SRC_POLICY_PICK_H_

#include "policy/sending.h"

namespace meadowslip::policy {

constexpr uint32_t kNone = std::numeric_limits<uint32_t>::max();
constexpr Micros kProbeWaitDivisor = 40;  // a request waits for its probes the shortest aim divided by this
constexpr double kUnreported = std::numeric_limits<double>::infinity();  // load without a fresh report
constexpr double kTolerance = 0.5;                                       // of a request above the lowest load
constexpr double kMinZonePrice = 0.01;
constexpr size_t kMaxChecks = 32;  // backends checked in one draw; if all are rejected, the request waits

// Decides which backend an attempt goes to, including trials of sleeping backends, and which are probed
// first.
struct Picker {
  Context& context;
  const Classes& classes;
  Fleet& fleet;
  Load& load;
  const Rules& rules;
  std::vector<std::pair<double, uint32_t>> candidates = {};  // with their reported load
  int probes_pending = 0;

  // Where a node sees too few requests to know a backend's load, and probes cost next to nothing, a few
  // random backends are probed before a request is sent. It waits for them for a small part of its aim.
  bool SendProbes(HeldRequest& r) {
    if (context.probes_per_request == 0) return false;
    const auto most = static_cast<size_t>(context.probes_per_request);
    fleet.ChooseSubset();
    std::vector<uint32_t> to_probe;
    if (fleet.sparse) {
      std::ranges::copy_if(fleet.subset, std::back_inserter(to_probe),
                           [&](uint32_t i) { return !fleet.backends[i].asleep && rules.Allowed(r, i); });
      std::ranges::shuffle(to_probe, context.random);
      to_probe.resize(std::min(to_probe.size(), most));
    } else {
      Draw(kAnywhere, [&](uint32_t i) {
        if (rules.Allowed(r, i)) to_probe.push_back(i);
        return to_probe.size() >= most;
      });
    }
    for (uint32_t i : to_probe) {
      Backend& b = fleet.backends[i];
      if (context.now - std::max(b.probed_at, b.reported_at) < context.min_aim / kProbeWaitDivisor) continue;
      b.probed_at = context.now;
      ++probes_pending;
      context.sink->Probe(b.id);
    }
    r.probe_wait_until = context.now + context.min_aim / kProbeWaitDivisor;
    return true;
  }

  void OnProbe(const ProbeResult& result) {
    const uint32_t* i = fleet.Find(result.backend);
    probes_pending = std::max(0, probes_pending - 1);
    if (i != nullptr && result.ok) load.ApplyReport(fleet.Modify(*i), result.load);  // else no failure
  }

  // Returns a backend whose trial is due. Prefers safe requests: an unsafe one is taken only if no safe one
  // came for as long again as the sleep.
  uint32_t FindDueTrial(const HeldRequest& r) {
    bool safe = context.settings.classes[r.cls].idempotency == Idempotency::kSafe;
    size_t checked = 0;
    for (auto [wake_at, i] : fleet.sleepers()) {
      if (wake_at > context.now || ++checked > kMaxChecks) break;
      const Backend& b = fleet.backends[i];
      if (!b.AsleepFor(r.cls) || context.now < wake_at + (safe ? 0 : b.sleep)) continue;
      if (fleet.sparse && std::ranges::find(fleet.subset, i) == fleet.subset.end()) continue;
      if (rules.Allowed(r, i) && WithinBudget(r, i)) return i;
    }
    return kNone;
  }

  uint32_t Pick(const HeldRequest& r) {
    if (!load.NodeHasRoom(Value(r))) return kNone;
    if (fleet.sparse) {
      candidates.clear();
      for (uint32_t i : fleet.subset) {
        const Backend& b = fleet.backends[i];
        if (!load.HasRoom(b, true, [](Micros) {}) || !Eligible(r, i)) continue;
        candidates.emplace_back(load.HasFreshReport(b) ? b.reported / b.size : kUnreported, i);
      }
      return PickCandidate();
    }
    // If crossing zones has a price, the own zone comes first while this node is below its share of that
    // zone; otherwise one zone could be crowded while another idles.
    const std::optional<Group> bounds = rules.Bounds(r);
    uint32_t i = kNone;
    if (bounds == kAnywhere && context.settings.cross_zone_price >= kMinZonePrice && load.OwnZoneHasRoom())
      i = PickInGroup(r, {DedupGroup::kZone, context.settings.own_zone});
    return i != kNone || !bounds ? i : PickInGroup(r, *bounds);
  }
  double Value(const HeldRequest& r) const { return classes.Value(r.cls, r.worth); }

  // Two-draw pick: the better of two random draws; among those of lowest reported load if there are any.
  uint32_t PickInGroup(const HeldRequest& r, const Group& group) {
    candidates.clear();
    size_t checked = 0;
    for (auto [held, i] : fleet.by_reported_load()) {
      if (++checked > kMaxChecks || (!candidates.empty() && held > candidates[0].first + kTolerance)) break;
      if (Fleet::InGroup(group, fleet.backends[i]) && Eligible(r, i)) candidates.emplace_back(held, i);
    }
    if (!candidates.empty()) return PickCandidate();
    const auto accepts = [&](uint32_t i) { return Eligible(r, i); };
    const uint32_t x = Draw(group, accepts), y = Draw(group, accepts);
    return x == kNone || y == kNone ? std::min(x, y) : Better(x, y);
  }
  uint32_t Draw(const Group& group, const auto& accepts) {
    return fleet.Draw(group, load.none_in_service, kMaxChecks, kNone, context, accepts);
  }

  bool Eligible(const HeldRequest& r, uint32_t i) {
    const Backend& b = fleet.backends[i];
    return b.state == BackendState::kReady && (load.none_in_service || !b.AsleepFor(r.cls)) &&
           rules.Allowed(r, i) && WithinBudget(r, i);
  }
  // Each backend has a budget of retries, and a cold one a budget of work.
  bool WithinBudget(const HeldRequest& r, uint32_t i) {
    Backend& b = fleet.backends[i];
    if (r.sent > 0 && r.MayHaveRun() && b.retry_budget < 1) return false;
    const ClassStats& c = classes.stats[r.cls];
    if (context.now >= b.cold_until) return true;
    return state::MaySendToCold(classes.stats, r.cls) && fleet.ColdCreditAllows(b, c.ColdWork(r.size));
  }

  // Two-draw pick among the candidates of lowest fresh report, since a backend's own report is better than
  // this node's view of its load. Without fresh reports, among all.
  uint32_t PickCandidate() {
    double least = kUnreported;
    for (auto& c : candidates) least = std::min(least, c.first);
    std::erase_if(candidates, [&](auto& c) { return c.first > least + kTolerance; });
    // Among equals, backends with a connection: a new one costs the backend work.
    auto unused = [this](auto& c) { return !fleet.backends[c.second].served; };
    if (least < kUnreported && !std::ranges::all_of(candidates, unused)) std::erase_if(candidates, unused);
    if (candidates.empty()) return kNone;
    const uint32_t x = candidates[context.RandomBelow(candidates.size())].second;
    return Better(x, candidates[context.RandomBelow(candidates.size())].second);
  }

  uint32_t Better(uint32_t x, uint32_t y) const {
    const Backend &a = fleet.backends[x], &b = fleet.backends[y];
    double load_a = a.in_flight / a.size, load_b = b.in_flight / b.size;
    if (load_a != load_b) return load_a < load_b ? x : y;
    return fleet.Payoff(a) >= fleet.Payoff(b) ? x : y;
  }
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_PICK_H_
