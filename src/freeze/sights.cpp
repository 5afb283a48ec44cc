#include "freeze/sights.h"

#include <string>

namespace burlfall::freeze {
namespace {

constexpr Micros kAgain = 1 * kSecond;  // what was proposed and did not come back

}  // namespace

void Sights::Begin(Micros now, const State& state, uint64_t coordinator) {
  coordinator_ = coordinator;
  seen_.clear();
  for (const auto& [id, incident] : state.incidents()) {
    if (!incident.sight) continue;
    Seen& seen = seen_[{incident.kind, incident.scope}];
    seen.incident = id;
    seen.confirmed = now;
  }
}

std::vector<Command> Sights::Saw(Micros now, IncidentKind kind, const Scope& scope, double share) {
  const SightRule& rule = rules_.sights[static_cast<size_t>(kind)];
  auto at = seen_.find({kind, scope});
  if (kind == IncidentKind::kOperator || (at == seen_.end() && share < rule.high)) return {};
  if (at == seen_.end()) {
    if (seen_.size() >= most_) return {};
    at = seen_.try_emplace({kind, scope}).first;
  }
  Seen& seen = at->second;
  if (share < rule.high) {
    seen.above_since = -1;
  } else if (seen.above_since < 0) {
    seen.above_since = now;
  }
  if (share >= rule.low) {
    seen.below_since = -1;
  } else if (seen.below_since < 0) {
    seen.below_since = now;
  }
  // Between the two shares nothing begins, and what stands goes on.
  const bool opens = seen.incident == 0 && seen.above_since >= 0 && now - seen.above_since >= rule.open_after;
  const bool closes =
      seen.incident != 0 && seen.below_since >= 0 && now - seen.below_since >= rule.close_after;
  const bool confirms = seen.incident != 0 && seen.below_since < 0 &&
                        (seen.confirmed < 0 || now - seen.confirmed >= rules_.sight_lasts / 4);
  if (seen.incident == 0 && share < rule.low) {
    seen_.erase(at);
    return {};
  }
  if (!opens && !closes && !confirms) return {};
  if (seen.proposed >= 0 && now - seen.proposed < kAgain) return {};
  seen.proposed = now;
  Command command;
  command.kind = closes ? Command::Kind::kClose : Command::Kind::kOpen;
  command.incident = closes ? seen.incident : 0;
  command.incident_kind = kind;
  command.scope = scope;
  command.coordinator = coordinator_;
  command.sight = true;
  command.by = "sight";
  command.reason = std::string(NameOf(kind)) + " " + std::to_string(static_cast<int>(share * 100)) + "%";
  return {command};
}

void Sights::Applied(Micros now, const Effect& effect) {
  if (effect.what == Effect::What::kOpened) {
    if (!effect.sight || (seen_.size() >= most_ && !seen_.contains({effect.incident_kind, effect.scope})))
      return;
    // Also where it has gone since it was proposed: somebody has to close it.
    Seen& seen = seen_[{effect.incident_kind, effect.scope}];
    seen.incident = effect.incident;
    seen.confirmed = now;
    seen.proposed = -1;
  } else if (effect.what == Effect::What::kIncidentOver) {
    for (auto at = seen_.begin(); at != seen_.end(); ++at) {
      if (at->second.incident != effect.incident) continue;
      // Closed by a person while it is still seen: it opens again only after `open_after` anew.
      seen_.erase(at);
      return;
    }
  }
}

}  // namespace burlfall::freeze
