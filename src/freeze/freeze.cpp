#include "freeze/freeze.h"

#include <algorithm>
#include <cstdlib>

namespace burlfall::freeze {
namespace {

using owner::kMaxNameSize;
using owner::kMaxReasonSize;

constexpr Micros kMaxIncidentDuration = 366 * 24 * 3600 * kSecond;
// Prefixes of lease keys; the id of the change follows.
const std::string kChangeKeyPrefix = "change ";
const std::string kGrantKeyPrefix = "grant ";
constexpr uint64_t kMaxFloor = uint64_t{1} << 62;  // leaves room for epochs above it

bool IsName(const std::string& name) { return !name.empty() && name.size() <= kMaxNameSize; }

bool IsScope(const Scope& scope) {
  if (scope.kind == Scope::Kind::kSite) return scope.name.empty();
  return IsName(scope.name) && scope.zone.size() <= kMaxNameSize && scope.group.size() <= kMaxNameSize;
}

bool IsValid(const Command& command) {
  using Kind = Command::Kind;
  if (command.by.size() > kMaxNameSize || command.reason.size() > kMaxReasonSize) return false;
  if (command.duration < 0 || command.duration > kMaxIncidentDuration) return false;
  const bool named = IsName(command.who.name);
  const bool by = !command.by.empty() && !command.reason.empty();
  switch (command.kind) {
    case Kind::kBegin:
      return named && IsScope(command.scope) && !command.steps.empty() && command.steps.size() <= kMaxSteps &&
             std::all_of(command.steps.begin(), command.steps.end(), IsName) && (command.by.empty() || by);
    case Kind::kStep:
      return named && (command.by.empty() || by);
    case Kind::kStepDone:
    case Kind::kStepReturned:
    case Kind::kRenew:
    case Kind::kUndo:
    case Kind::kAbandon:
      return named;
    case Kind::kTakeOver:
      return IsName(command.to.name) && by;
    case Kind::kOpenIncident:
      return IsScope(command.scope) && by;
    case Kind::kCloseIncident:
      return by;
    case Kind::kRecordEmergency:
      return named && IsScope(command.scope) && by;
    case Kind::kRules:
      return *InvalidReason(command.rules) == '\0';
    case Kind::kFloor:
      return command.epoch <= kMaxFloor;
    case Kind::kExpire:
    case Kind::kExpireIncident:
      return true;
  }
  return false;
}

// The kind of change that reverses a change of this kind.
ChangeKind InverseOf(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kNodeOut:
      return ChangeKind::kNodeBack;
    case ChangeKind::kNodeBack:
      return ChangeKind::kNodeOut;
    case ChangeKind::kDrain:
      return ChangeKind::kUndrain;
    case ChangeKind::kUndrain:
      return ChangeKind::kDrain;
    case ChangeKind::kReload:
    case ChangeKind::kUpgrade:
    case ChangeKind::kRestart:
    case ChangeKind::kVoters:
      return kind;
  }
  return kind;
}

}  // namespace

bool ActsForOwner(const Command& command) { return command.observed || command.coordinator != 0; }

const char* NameOf(End end) {
  constexpr const char* kNames[] = {"open", "done", "undone", "abandoned", "refused"};
  return kNames[static_cast<size_t>(end)];
}

const char* NameOf(Effect::What what) {
  constexpr const char* kNames[] = {"begun",         "granted", "kept",    "taken",  "hold",
                                    "grant_over",    "ended",   "refused", "opened", "incident_yes",
                                    "incident_over", "glass",   "noted"};
  return kNames[static_cast<size_t>(what)];
}

Effect State::Answer(const Command& command) const {
  Effect effect;
  effect.who = command.who;
  effect.request = command.request;
  effect.change = command.change;
  effect.incident = command.incident;
  effect.change_kind = command.change_kind;
  effect.incident_kind = command.incident_kind;
  effect.scope = command.scope;
  effect.by = command.by;
  effect.reason = command.reason;
  effect.number = command.number;
  effect.observed = command.observed;
  return effect;
}

Effect& State::Refuse(const Command& command, Error error, Effects& effects) const {
  Effect effect = Answer(command);
  effect.what = Effect::What::kRefused;
  effect.error = error;
  effect.retry_after = rules_.retry_after;
  effects.push_back(std::move(effect));
  return effects.back();
}

bool State::Forbids(const Incident& incident, const Change& change) const {
  if (change.overridden_incidents.contains(incident.id)) return false;
  // Remedial changes are allowed: undoing a change that ran when the incident opened, and a change of a
  // remedial kind whose scope is exactly that of the incident.
  if (change.undoing && incident.running_at_open.contains(change.id)) return false;
  if (change.undoes != 0 && incident.running_at_open.contains(change.undoes)) return false;
  if (change.scope == incident.scope && incident.scope.kind != Scope::Kind::kSite &&
      std::find(rules_.remedial_kinds.begin(), rules_.remedial_kinds.end(), change.kind) !=
          rules_.remedial_kinds.end()) {
    return false;
  }
  Reach reach = Reach::kWhereScopesMeet;
  for (const TableRow& row : rules_.table) {
    if (row.incident && *row.incident != incident.kind) continue;
    if (row.change && *row.change != change.kind) continue;
    reach = row.reach;
    break;
  }
  return reach == Reach::kEverywhere ||
         (reach == Reach::kWhereScopesMeet && Overlap(incident.scope, change.scope));
}

const Incident* State::ForbiddenBy(const Change& change) const {
  for (const auto& [id, incident] : incidents_) {
    if (Forbids(incident, change)) return &incident;
  }
  return nullptr;
}

const Change* State::ConflictOf(const Change& change) const {
  for (const auto& [id, other] : changes_) {
    if (faults_.by_kind_only && other.kind != change.kind) continue;
    if (id != change.id && Overlap(other.scope, change.scope)) return &other;
  }
  return nullptr;
}

// Returns one of the changes that exhaust the limit, or null if there is room.
const Change* State::OverLimit(const Change& change) const {
  const bool balancer = change.scope.kind == Scope::Kind::kBalancer;
  if (!balancer && change.scope.kind != Scope::Kind::kNode) return nullptr;
  const std::string& own_domain = balancer ? change.scope.zone : change.scope.group;
  const uint64_t limit = balancer ? rules_.max_balancers_per_zone : rules_.max_nodes_per_group;
  uint64_t count = 0;
  for (const auto& [id, other] : changes_) {
    if (other.scope.kind != change.scope.kind) continue;
    const std::string& other_domain = balancer ? other.scope.zone : other.scope.group;
    // A change whose zone or group is not known counts towards every limit.
    if (!own_domain.empty() && !other_domain.empty() && own_domain != other_domain) continue;
    if (++count >= limit) return &other;
  }
  return nullptr;
}

// Returns true if no incident forbids the change or if the command carries an emergency override. Otherwise
// returns false, and the refusal names the incident.
bool State::PassesIncidents(Change& change, const Command& command, Effects& effects) {
  const Incident* const incident = ForbiddenBy(change);
  if (incident == nullptr) return true;
  if (command.by.empty()) {
    Effect& effect = Refuse(command, Error::kFrozen, effects);
    effect.incident = incident->id;
    effect.incident_kind = incident->kind;
    effect.change_kind = change.kind;
    effect.scope = incident->scope;
    effect.reason = incident->reason;
    if (incident->until > council_time_) effect.retry_after = incident->until - council_time_;
    return false;
  }
  // The override covers the incidents that are open now, not later ones.
  for (const auto& [id, one] : incidents_) {
    if (Forbids(one, change)) change.overridden_incidents.insert(id);
  }
  overrides_.push_back({change.id, command.by, command.reason, council_time_});
  while (overrides_.size() > rules_.max_overrides) {
    overrides_.pop_front();
    ++overrides_dropped_;
  }
  Effect effect = Answer(command);
  effect.what = Effect::What::kOverride;
  effect.change = change.id;
  effect.change_kind = change.kind;
  effect.scope = change.scope;
  effects.push_back(std::move(effect));
  return true;
}

uint64_t State::NewEpoch(uint64_t index, const Change& change) {
  if (faults_.epoch_reused) return change.last_grant_epoch + 1;
  last_epoch_ = std::max({index, floor_ + 1, last_epoch_ + 1});
  return last_epoch_;
}

void State::AddToHistory(HistoryEntry entry) {
  // Refused calls may be very frequent. They are limited to a quarter of the history so that they don't evict
  // the records of changes that were carried out.
  const bool refused = entry.end == End::kRefused;
  history_.push_back(std::move(entry));
  if (refused) {
    const auto is_refused = [](const HistoryEntry& one) { return one.end == End::kRefused; };
    const auto count = std::count_if(history_.begin(), history_.end(), is_refused);
    if (static_cast<uint64_t>(count) > std::max<uint64_t>(1, rules_.max_history / 4)) {
      history_.erase(std::find_if(history_.begin(), history_.end(), is_refused));
    }
  }
  while (history_.size() > rules_.max_history) history_.pop_front();
}

void State::MarkInForce(Incident& incident, uint64_t request, Effects& effects) const {
  if (!incident.in_force) incident.waited = council_time_ - incident.opened;
  incident.in_force = true;
  Effect effect;
  effect.what = Effect::What::kIncidentInForce;
  effect.incident = incident.id;
  effect.incident_kind = incident.kind;
  effect.scope = incident.scope;
  effect.request = request;
  effect.by = incident.by;
  effect.waited = incident.waited;
  effects.push_back(std::move(effect));
}

void State::ResolvePending(uint64_t epoch, Effects& effects) {
  for (auto& [id, incident] : incidents_) {
    if (incident.pending_grants.erase(epoch) != 0 && incident.pending_grants.empty() && !incident.in_force) {
      MarkInForce(incident, 0, effects);
    }
  }
}

void State::EndGrant(Change& change, Error why, Effects& effects) {
  if (!change.grant) return;
  const StepGrant grant = *change.grant;
  change.grant.reset();
  Effect effect;
  effect.what = Effect::What::kGrantEnded;
  effect.who = change.owner;
  effect.change = change.id;
  effect.step = grant.step;
  effect.epoch = grant.epoch;
  effect.entry_index = grant.entry_index;
  effect.error = why;
  effects.push_back(std::move(effect));
  ResolvePending(grant.epoch, effects);
}

void State::EndChange(uint64_t id, End end, Error why, Effects& effects) {
  Change& change = changes_.at(id);
  EndGrant(change, why, effects);
  HistoryEntry entry;
  entry.id = id;
  entry.change_kind = change.kind;
  entry.scope = change.scope;
  entry.end = end;
  entry.step = change.steps_done;
  entry.who = change.owner;
  entry.request = change.begin_request;
  entry.reason = change.reason;
  entry.error = why;
  entry.began = change.began;
  entry.ended = council_time_;
  AddToHistory(std::move(entry));
  Effect effect;
  effect.what = Effect::What::kEnded;
  effect.who = change.owner;
  effect.change = id;
  effect.step = change.steps_done;
  effect.end = end;
  effect.error = why;
  effect.change_kind = change.kind;
  effect.scope = change.scope;
  effects.push_back(std::move(effect));
  if (!(faults_.two_ends && end == End::kAbandoned)) changes_.erase(id);
}

void State::RenewChange(uint64_t index, Change& change, const Command& command, Effects& effects) {
  change.renewed_index = index;
  change.lease = rules_.change_lease;
  Effect effect = Answer(command);
  effect.what = Effect::What::kRenewed;
  effect.who = change.owner;
  effect.change = change.id;
  effect.change_kind = change.kind;
  effect.scope = change.scope;
  effect.step = change.steps_done;
  effect.undoing = change.undoing;
  effect.renewed_index = index;
  effect.lease = change.lease;
  effects.push_back(std::move(effect));
}

// Passes the change to its successor after the earlier owner has let go or its lease has expired.
void State::Transfer(uint64_t index, Change& change, Effects& effects) {
  if (change.grant) change.last_step_uncertain = true;
  EndGrant(change, Error::kLeaseOver, effects);
  change.owner = *change.successor;
  change.successor.reset();
  change.begin_request = 0;
  change.last_step_request = 0;
  change.renewed_index = index;
  change.lease = rules_.change_lease;
  Effect effect;
  effect.what = Effect::What::kTransferred;
  effect.who = change.owner;
  effect.change = change.id;
  effect.change_kind = change.kind;
  effect.scope = change.scope;
  effect.step = change.steps_done;
  effect.undoing = change.undoing;
  effect.renewed_index = index;
  effect.lease = change.lease;
  effects.push_back(std::move(effect));
}

void State::BeginChange(uint64_t index, const Command& command, Effects& effects) {
  for (auto& [id, change] : changes_) {
    if (change.owner != command.who || change.begin_request != command.request || command.request == 0)
      continue;
    // The answer was lost, and the request was sent again.
    RenewChange(index, change, command, effects);
    effects.back().what = Effect::What::kBegun;
    return;
  }
  for (const HistoryEntry& entry : history_) {
    if (entry.what != HistoryEntry::What::kChange || entry.who != command.who ||
        entry.request != command.request || command.request == 0) {
      continue;
    }
    Effect effect = Answer(command);
    effect.what = entry.end == End::kRefused ? Effect::What::kRefused : Effect::What::kEnded;
    effect.change = entry.end == End::kRefused ? 0 : entry.id;
    effect.end = entry.end;
    effect.error = entry.error;
    effect.step = entry.step;
    effect.retry_after = entry.end == End::kRefused ? rules_.retry_after : 0;
    effects.push_back(std::move(effect));
    return;
  }
  Change change;
  change.id = index;
  change.kind = command.change_kind;
  change.scope = command.scope;
  change.steps = command.steps;
  change.owner = command.who;
  change.begin_request = command.request;
  change.reason = command.reason;
  change.began = council_time_;
  change.undoes = command.undoes;
  const auto refused = [&](Error error) {
    HistoryEntry entry;
    entry.id = index;
    entry.change_kind = change.kind;
    entry.scope = change.scope;
    entry.end = End::kRefused;
    entry.who = change.owner;
    entry.request = change.begin_request;
    entry.reason = change.reason;
    entry.error = error;
    entry.began = entry.ended = council_time_;
    AddToHistory(std::move(entry));
    effects.back().end = End::kRefused;
  };
  if (command.undoes != 0) {
    const auto undone = std::find_if(history_.begin(), history_.end(), [&](const HistoryEntry& entry) {
      return entry.what == HistoryEntry::What::kChange && entry.id == command.undoes &&
             entry.end != End::kRefused;
    });
    if (undone == history_.end() || undone->scope != change.scope ||
        InverseOf(undone->change_kind) != change.kind) {
      Refuse(command, Error::kUnknownChange, effects).change = command.undoes;
      refused(Error::kUnknownChange);
      return;
    }
  }
  const Change* other = ConflictOf(change);
  const Error error = changes_.size() >= rules_.max_changes ? Error::kTooMany
                      : other != nullptr                    ? Error::kConflict
                                                            : Error::kLimit;
  if (error == Error::kLimit) other = OverLimit(change);
  if (error == Error::kTooMany || other != nullptr) {
    Effect& effect = Refuse(command, error, effects);
    if (other != nullptr) {
      effect.change = other->id;
      effect.change_kind = other->kind;
      effect.scope = other->scope;
      effect.to = other->owner;
    }
    refused(error);
    return;
  }
  if (!PassesIncidents(change, command, effects)) {
    refused(Error::kFrozen);
    return;
  }
  Change& stored = changes_[index] = std::move(change);
  RenewChange(index, stored, command, effects);
  effects.back().what = Effect::What::kBegun;
}

void State::GrantStep(uint64_t index, const Command& command, Effects& effects) {
  Change& change = changes_.at(command.change);
  const uint32_t next = change.undoing ? change.steps_done - 1 : change.steps_done;
  const auto grant = [&] {
    Effect effect = Answer(command);
    effect.what = Effect::What::kGranted;
    effect.step = change.grant->step;
    effect.undoing = change.undoing;
    effect.epoch = change.grant->epoch;
    effect.entry_index = change.grant->entry_index;
    effect.renewed_index = change.grant->entry_index;
    effect.lease = change.grant->lease;
    effect.change_kind = change.kind;
    effect.scope = change.scope;
    effects.push_back(std::move(effect));
  };
  if (change.grant) {
    // The answer was lost: repeats the same grant, whose lease began with the first request.
    if (command.request != 0 && change.grant->request == command.request) {
      grant();
    } else {
      Refuse(command, Error::kGrantOut, effects).step = change.grant->step;
    }
    return;
  }
  // A request that arrives late or twice, after its grant has ended, gets no new grant.
  if (command.step != next || command.undoing != change.undoing ||
      (command.request != 0 && command.request <= change.last_step_request)) {
    Effect& effect = Refuse(command, Error::kWrongStep, effects);
    effect.step = next;
    effect.undoing = change.undoing;
    return;
  }
  if (!faults_.grants_in_incident && !PassesIncidents(change, command, effects)) return;
  change.last_grant_epoch = NewEpoch(index, change);
  change.grant = StepGrant{change.last_grant_epoch, index, next, rules_.step_lease, command.request};
  change.last_step_request = command.request;
  change.last_step_uncertain = false;
  grant();
  RenewChange(index, change, command, effects);
}

void State::EndStep(uint64_t index, const Command& command, Effects& effects) {
  Change& change = changes_.at(command.change);
  if (command.epoch != change.last_grant_epoch || command.epoch == 0) {
    Refuse(command, Error::kFenced, effects).step = change.steps_done;
    return;
  }
  if (!change.grant && !change.last_step_uncertain) {  // reported twice
    RenewChange(index, change, command, effects);
    return;
  }
  change.last_step_uncertain = false;
  EndGrant(change, Error::kNone, effects);
  if (command.kind == Command::Kind::kStepReturned) {
    RenewChange(index, change, command, effects);
    return;
  }
  if (change.undoing ? --change.steps_done == 0 : ++change.steps_done == change.steps.size()) {
    EndChange(change.id, change.undoing ? End::kUndone : End::kDone, Error::kNone, effects);
  } else {
    RenewChange(index, change, command, effects);
  }
}

void State::ApplyToChange(uint64_t index, const Command& command, Effects& effects) {
  using Kind = Command::Kind;
  const auto found = changes_.find(command.change);
  if (found == changes_.end()) {
    Refuse(command, Error::kUnknownChange, effects);
    return;
  }
  Change& change = found->second;
  if (command.kind == Kind::kTakeOver) {
    change.successor = command.to;
    Effect effect = Answer(command);
    effect.what = Effect::What::kHold;
    effect.who = change.owner;
    effect.error = Error::kHandedOver;
    effect.to = command.to;
    effect.change_kind = change.kind;
    effect.scope = change.scope;
    effects.push_back(std::move(effect));
    return;
  }
  if (command.who != change.owner) {
    Refuse(command, Error::kNotOwner, effects).to = change.owner;
    return;
  }
  // An owner that has to hand over may still report the step that it had under way, and nothing else.
  if (change.successor && command.kind != Kind::kAbandon && command.kind != Kind::kStepDone &&
      command.kind != Kind::kStepReturned) {
    Refuse(command, Error::kHandedOver, effects).to = *change.successor;
    return;
  }
  switch (command.kind) {
    case Kind::kStep:
      GrantStep(index, command, effects);
      return;
    case Kind::kStepDone:
    case Kind::kStepReturned:
      EndStep(index, command, effects);
      return;
    case Kind::kRenew:
      RenewChange(index, change, command, effects);
      return;
    case Kind::kUndo:
      if (!change.undoing) {
        if (change.grant) {
          Refuse(command, Error::kGrantOut, effects).step = change.grant->step;
          return;
        }
        // The last step may have been carried out, so it is undone as well.
        if (change.last_step_uncertain && change.steps_done < change.steps.size()) ++change.steps_done;
        change.last_step_uncertain = false;
        change.undoing = true;
      }
      if (change.steps_done == 0) {
        EndChange(change.id, End::kUndone, Error::kNone, effects);
      } else {
        RenewChange(index, change, command, effects);
      }
      return;
    case Kind::kAbandon:
      if (change.successor) {
        Transfer(index, change, effects);
      } else {
        EndChange(change.id, End::kAbandoned, Error::kNone, effects);
      }
      return;
    default:
      return;
  }
}

void State::Expire(uint64_t index, const Command& command, Effects& effects) {
  const auto found = changes_.find(command.change);
  if (found == changes_.end()) return;
  Change& change = found->second;
  // An expiry that a renewal overtook in the log has no effect, because the owner was told of a longer lease.
  if (command.epoch != 0) {
    if (!change.grant || change.grant->epoch != command.epoch) return;
    change.last_step_uncertain = true;
    EndGrant(change, Error::kLeaseOver, effects);
    return;
  }
  if (command.renewed_index != change.renewed_index && !faults_.stale_run_out) return;
  if (change.successor) {
    Transfer(index, change, effects);
  } else {
    EndChange(change.id, End::kAbandoned, Error::kLeaseOver, effects);
  }
}

void State::OpenIncident(uint64_t index, const Command& command, Effects& effects) {
  const Micros duration = command.observed ? rules_.observed_incident_ttl : command.duration;
  const Micros until = duration == 0 ? 0 : council_time_ + duration;
  const auto opened = [&](const Incident& incident) {
    Effect effect = Answer(command);
    effect.what = Effect::What::kOpened;
    effect.incident = incident.id;
    effect.pending = incident.pending_grants.size();
    effect.renewed_index = incident.renewed_index;
    effects.push_back(std::move(effect));
  };
  for (auto& [id, incident] : incidents_) {
    if (incident.kind != command.incident_kind || incident.scope != command.scope ||
        incident.observed != command.observed) {
      continue;
    }
    // Another member can extend an incident but never shorten it.
    const bool longer = incident.until != 0 && (until == 0 || until > incident.until);
    if (longer || command.by == incident.by) {
      incident.until = until;
      incident.renewed_index = index;
    }
    opened(incident);
    if (incident.in_force) MarkInForce(incident, command.request, effects);
    return;
  }
  if (incidents_.size() >= rules_.max_incidents) {
    Refuse(command, Error::kTooMany, effects);
    return;
  }
  Incident incident;
  incident.id = index;
  incident.kind = command.incident_kind;
  incident.scope = command.scope;
  incident.by = command.by;
  incident.reason = command.reason;
  incident.observed = command.observed;
  incident.opened = council_time_;
  incident.until = until;
  incident.renewed_index = index;
  Effects hold_effects;
  for (const auto& [id, change] : changes_) {
    if (!Forbids(incident, change)) continue;
    incident.running_at_open.insert(id);
    if (!Forbids(incident, change)) continue;  // it is being undone
    if (change.grant) incident.pending_grants.insert(change.grant->epoch);
    Effect effect;
    effect.what = Effect::What::kHold;
    effect.who = change.owner;
    effect.change = id;
    effect.change_kind = change.kind;
    effect.scope = change.scope;
    effect.incident = index;
    effect.incident_kind = incident.kind;
    effect.step_policy = rules_.step_policies[static_cast<size_t>(change.kind)];
    effect.reason = incident.reason;
    hold_effects.push_back(std::move(effect));
  }
  Incident& stored = incidents_[index] = std::move(incident);
  opened(stored);
  effects.insert(effects.end(), hold_effects.begin(), hold_effects.end());
  if (stored.pending_grants.empty() || faults_.yes_at_once) MarkInForce(stored, command.request, effects);
}

void State::EndIncident(uint64_t id, const Command& command, Effects& effects) {
  const Incident& incident = incidents_.at(id);
  HistoryEntry entry;
  entry.what = HistoryEntry::What::kIncident;
  entry.id = id;
  entry.incident_kind = incident.kind;
  entry.scope = incident.scope;
  entry.by = incident.by;
  entry.reason = incident.reason;
  entry.began = incident.opened;
  entry.ended = council_time_;
  Effect effect = Answer(command);
  effect.what = Effect::What::kIncidentClosed;
  effect.incident = id;
  effect.incident_kind = incident.kind;
  effect.scope = incident.scope;
  effect.waited = council_time_ - incident.opened;
  effect.pending = incident.in_force ? 0 : incident.pending_grants.size();
  effects.push_back(std::move(effect));
  incidents_.erase(id);
  for (auto& [change_id, change] : changes_) change.overridden_incidents.erase(id);
  AddToHistory(std::move(entry));
}

Effects State::Apply(uint64_t index, Micros at, const Command& command, Error epoch_error) {
  using Kind = Command::Kind;
  council_time_ = std::max(council_time_, at);
  Effects effects;
  if (!IsValid(command)) {
    Refuse(command, Error::kMalformed, effects);
    return effects;
  }
  if (epoch_error != Error::kNone) {
    Refuse(command, epoch_error, effects);
    return effects;
  }
  if (command.coordinator != 0) {
    if (command.coordinator < coordinator_) {
      Refuse(command, Error::kFenced, effects);
      return effects;
    }
    coordinator_ = command.coordinator;
  }
  switch (command.kind) {
    case Kind::kBegin:
      BeginChange(index, command, effects);
      break;
    case Kind::kExpire:
      Expire(index, command, effects);
      break;
    case Kind::kOpenIncident:
      OpenIncident(index, command, effects);
      break;
    case Kind::kCloseIncident: {
      const auto found = incidents_.find(command.incident);
      // An observation can't close an incident that a person opened.
      if (found == incidents_.end() || (command.observed && !found->second.observed)) {
        Refuse(command, Error::kUnknownIncident, effects);
      } else {
        EndIncident(command.incident, command, effects);
      }
      break;
    }
    case Kind::kExpireIncident: {
      const auto found = incidents_.find(command.incident);
      if (found != incidents_.end() && found->second.until != 0 && found->second.until <= council_time_ &&
          found->second.renewed_index == command.renewed_index) {
        EndIncident(command.incident, command, effects);
      }
      break;
    }
    case Kind::kRecordEmergency: {
      const auto known = last_recorded_.find(command.who.name);
      const std::pair<uint64_t, uint64_t> number(command.who.incarnation, command.number);
      if (known == last_recorded_.end() && last_recorded_.size() >= kMaxHistory) {
        Refuse(command, Error::kTooMany, effects);
        break;
      }
      if (known == last_recorded_.end() || known->second < number) {
        last_recorded_[command.who.name] = number;
        HistoryEntry entry;
        entry.what = HistoryEntry::What::kEmergency;
        entry.id = index;
        entry.change_kind = command.change_kind;
        entry.scope = command.scope;
        entry.who = command.who;
        entry.request = command.number;
        entry.by = command.by;
        entry.reason = command.reason;
        entry.began = entry.ended = council_time_;
        AddToHistory(std::move(entry));
      }
      Effect effect = Answer(command);
      effect.what = Effect::What::kEmergencyRecorded;
      effects.push_back(std::move(effect));
      break;
    }
    case Kind::kRules:
      rules_ = command.rules;
      break;
    case Kind::kFloor:
      floor_ = std::max(floor_, command.epoch);
      break;
    default:
      ApplyToChange(index, command, effects);
  }
  return effects;
}

void TrackLeases(owner::LeaseExpiry& lapse, Micros now, const Effects& effects) {
  for (const Effect& effect : effects) {
    const std::string id = std::to_string(effect.change);
    switch (effect.what) {
      case Effect::What::kBegun:
      case Effect::What::kRenewed:
      case Effect::What::kTransferred:
        lapse.OnRenewed(now, {kChangeKeyPrefix + id, 0, effect.renewed_index, effect.lease});
        break;
      case Effect::What::kGranted:
        lapse.OnRenewed(now, {kGrantKeyPrefix + id, effect.epoch, effect.entry_index, effect.lease});
        break;
      case Effect::What::kGrantEnded:
        lapse.OnEnded(kGrantKeyPrefix + id);
        break;
      case Effect::What::kEnded:
        // This also comes for changes that ended long ago (a repeated answer); then there is nothing to
        // remove.
        lapse.OnEnded(kChangeKeyPrefix + id);
        lapse.OnEnded(kGrantKeyPrefix + id);
        break;
      default:
        break;
    }
  }
}

Command MakeExpireCommand(const owner::Lease& lease) {
  Command command;
  command.kind = Command::Kind::kExpire;
  command.change = std::strtoull(lease.key.c_str() + lease.key.find(' '), nullptr, 10);
  command.epoch = lease.epoch;
  command.renewed_index = lease.renewed_index;
  return command;
}

std::vector<owner::Lease> State::Leases() const {
  std::vector<owner::Lease> leases;
  for (const auto& [id, change] : changes_) {
    leases.push_back({kChangeKeyPrefix + std::to_string(id), 0, change.renewed_index, change.lease});
    if (change.grant) {
      leases.push_back({"grant " + std::to_string(id), change.grant->epoch, change.grant->entry_index,
                        change.grant->lease});
    }
  }
  return leases;
}

std::vector<Command> State::IncidentsDue(Micros at) const {
  std::vector<Command> due;
  for (const auto& [id, incident] : incidents_) {
    if (incident.until == 0 || incident.until > std::max(at, council_time_)) continue;
    Command command;
    command.kind = Command::Kind::kExpireIncident;
    command.incident = id;
    command.renewed_index = incident.renewed_index;
    due.push_back(std::move(command));
  }
  return due;
}

}  // namespace burlfall::freeze
