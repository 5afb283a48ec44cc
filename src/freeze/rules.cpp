#include "freeze/rules.h"

#include <algorithm>

namespace burlfall::freeze {

const char* NameOf(ChangeKind kind) {
  constexpr const char* kNames[] = {"node_out", "node_back", "drain",   "undrain",
                                    "reload",   "upgrade",   "restart", "voters"};
  return kNames[static_cast<size_t>(kind)];
}

const char* NameOf(IncidentKind kind) {
  constexpr const char* kNames[] = {"operator", "zone_down", "no_lists", "ejection_cap", "refusals"};
  return kNames[static_cast<size_t>(kind)];
}

const char* NameOf(Reach reach) {
  constexpr const char* kNames[] = {"nowhere", "where_scopes_meet", "everywhere"};
  return kNames[static_cast<size_t>(reach)];
}

const char* NameOf(StepPolicy policy) { return policy == StepPolicy::kFinish ? "finish" : "undo"; }

constexpr Micros kMaxDuration = 24 * 3600 * kSecond;

const char* InvalidReason(const Rules& rules) {
  if (rules.step_lease <= 0) return "step_lease must be above 0";
  if (rules.change_lease < rules.step_lease) return "change_lease must not be below step_lease";
  if (rules.change_lease > kMaxDuration) return "change_lease must not be above a day";
  if (rules.max_balancers_per_zone < 1 || rules.max_nodes_per_group < 1) return "limits must be 1 at least";
  if (rules.table.size() > kMaxTableRows) return "the table has too many lines";
  if (rules.remedial_kinds.size() > kChangeKindCount || rules.emergency_kinds.size() > kChangeKindCount) {
    return "a kind is named twice";
  }
  if (rules.retry_after <= 0 || rules.observed_incident_ttl <= 0) return "a span must be above 0";
  if (rules.retry_after > kMaxDuration || rules.observed_incident_ttl > kMaxDuration) {
    return "a span must not be above a day";
  }
  if (rules.max_changes < 1 || rules.max_changes > kMaxChanges) return "most_changes is out of range";
  if (rules.max_incidents < 1 || rules.max_incidents > kMaxIncidents) return "most_incidents is out of range";
  if (rules.max_history < 1 || rules.max_history > kMaxHistory) return "most_history is out of range";
  if (rules.max_overrides < 1 || rules.max_overrides > kMaxHistory) return "most_glass is out of range";
  if (rules.max_local_emergencies < 1 || rules.max_local_emergencies > kMaxHistory)
    return "most_local is out of range";
  for (size_t i = 1; i < rules.observation_rules.size(); ++i) {
    const ObservationRule& rule = rules.observation_rules[i];
    if (!(rule.low < rule.high) || !(rule.low >= 0) || !(rule.high <= 1000)) {
      return "a sight's low share must be below its high one";
    }
    if (rule.open_after < 0 || rule.close_after < 0 || rule.open_after > kMaxDuration ||
        rule.close_after > kMaxDuration) {
      return "a sight's spans must be from 0 to a day";
    }
  }
  return "";
}

}  // namespace burlfall::freeze
