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

const char* NameOf(UnderWay how) { return how == UnderWay::kFinish ? "finish" : "undo"; }

constexpr Micros kLongestSpan = 24 * 3600 * kSecond;

const char* WhyNot(const Rules& rules) {
  if (rules.step_lease <= 0) return "step_lease must be above 0";
  if (rules.change_lease < rules.step_lease) return "change_lease must not be below step_lease";
  if (rules.change_lease > kLongestSpan) return "change_lease must not be above a day";
  if (rules.most_balancers_of_zone < 1 || rules.most_nodes_of_group < 1) return "limits must be 1 at least";
  if (rules.table.size() > kMostRows) return "the table has too many lines";
  if (rules.betters.size() > kChangeKinds || rules.emergencies.size() > kChangeKinds) {
    return "a kind is named twice";
  }
  if (rules.ask_again <= 0 || rules.sight_lasts <= 0) return "a span must be above 0";
  if (rules.ask_again > kLongestSpan || rules.sight_lasts > kLongestSpan) {
    return "a span must not be above a day";
  }
  if (rules.most_changes < 1 || rules.most_changes > kMostChanges) return "most_changes is out of range";
  if (rules.most_incidents < 1 || rules.most_incidents > kMostIncidents)
    return "most_incidents is out of range";
  if (rules.most_history < 1 || rules.most_history > kMostHistory) return "most_history is out of range";
  if (rules.most_glass < 1 || rules.most_glass > kMostHistory) return "most_glass is out of range";
  if (rules.most_local < 1 || rules.most_local > kMostHistory) return "most_local is out of range";
  for (size_t i = 1; i < rules.sights.size(); ++i) {
    const SightRule& sight = rules.sights[i];
    if (!(sight.low < sight.high) || !(sight.low >= 0) || !(sight.high <= 1000)) {
      return "a sight's low share must be below its high one";
    }
    if (sight.open_after < 0 || sight.close_after < 0 || sight.open_after > kLongestSpan ||
        sight.close_after > kLongestSpan) {
      return "a sight's spans must be from 0 to a day";
    }
  }
  return "";
}

}  // namespace burlfall::freeze
