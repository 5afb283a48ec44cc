#include "freeze/incident_detector.h"

#include <string>

namespace burlfall::freeze {
namespace {

constexpr Micros kRetryInterval = 1 * kSecond;  // for proposals that did not enter the log

}  // namespace

void IncidentDetector::BecomeCoordinator(Micros now, const State& state, uint64_t coordinator) {
  coordinator_ = coordinator;
  tracked_.clear();
  for (const auto& [id, incident] : state.incidents()) {
    if (!incident.observed) continue;
    Tracked& tracked = tracked_[{incident.kind, incident.scope}];
    tracked.incident = id;
    tracked.confirmed_at = now;
  }
}

std::vector<Command> IncidentDetector::OnObservation(Micros now, IncidentKind kind, const Scope& scope,
                                                     double share) {
  const ObservationRule& rule = rules_.observation_rules[static_cast<size_t>(kind)];
  auto found = tracked_.find({kind, scope});
  if (kind == IncidentKind::kOperator || (found == tracked_.end() && share < rule.high)) return {};
  if (found == tracked_.end()) {
    if (tracked_.size() >= max_tracked_) return {};
    found = tracked_.try_emplace({kind, scope}).first;
  }
  Tracked& tracked = found->second;
  if (share < rule.high) {
    tracked.above_since = -1;
  } else if (tracked.above_since < 0) {
    tracked.above_since = now;
  }
  if (share >= rule.low) {
    tracked.below_since = -1;
  } else if (tracked.below_since < 0) {
    tracked.below_since = now;
  }
  // Between the two shares no incident opens, and an open one stays open.
  const bool opens =
      tracked.incident == 0 && tracked.above_since >= 0 && now - tracked.above_since >= rule.open_after;
  const bool closes =
      tracked.incident != 0 && tracked.below_since >= 0 && now - tracked.below_since >= rule.close_after;
  const bool confirms =
      tracked.incident != 0 && tracked.below_since < 0 &&
      (tracked.confirmed_at < 0 || now - tracked.confirmed_at >= rules_.observed_incident_ttl / 4);
  if (tracked.incident == 0 && share < rule.low) {
    tracked_.erase(found);
    return {};
  }
  if (!opens && !closes && !confirms) return {};
  if (tracked.proposed_at >= 0 && now - tracked.proposed_at < kRetryInterval) return {};
  tracked.proposed_at = now;
  Command command;
  command.kind = closes ? Command::Kind::kCloseIncident : Command::Kind::kOpenIncident;
  command.incident = closes ? tracked.incident : 0;
  command.incident_kind = kind;
  command.scope = scope;
  command.coordinator = coordinator_;
  command.observed = true;
  command.by = "sight";
  command.reason = std::string(NameOf(kind)) + " " + std::to_string(static_cast<int>(share * 100)) + "%";
  return {command};
}

void IncidentDetector::OnApplied(Micros now, const Effect& effect) {
  if (effect.what == Effect::What::kOpened) {
    if (!effect.observed ||
        (tracked_.size() >= max_tracked_ && !tracked_.contains({effect.incident_kind, effect.scope})))
      return;
    // Also if it is no longer tracked since the proposal: somebody has to close it.
    Tracked& tracked = tracked_[{effect.incident_kind, effect.scope}];
    tracked.incident = effect.incident;
    tracked.confirmed_at = now;
    tracked.proposed_at = -1;
  } else if (effect.what == Effect::What::kIncidentClosed) {
    for (auto found = tracked_.begin(); found != tracked_.end(); ++found) {
      if (found->second.incident != effect.incident) continue;
      // If a person closed it while the condition holds, it opens again only after another `open_after`.
      tracked_.erase(found);
      return;
    }
  }
}

}  // namespace burlfall::freeze
