#include "freeze/freeze.h"

#include <algorithm>
#include <cstdlib>

namespace burlfall::freeze {
namespace {

using owner::kLongestName;
using owner::kLongestReason;

constexpr Micros kLongestIncident = 366 * 24 * 3600 * kSecond;
// Keys of leases: whose, and the change's id.
const std::string kOfChange = "change ";
const std::string kOfGrant = "grant ";
constexpr uint64_t kHighestFloor = uint64_t{1} << 62;  // leaves room above

bool IsName(const std::string& name) { return !name.empty() && name.size() <= kLongestName; }

bool IsScope(const Scope& scope) {
  if (scope.kind == Scope::Kind::kSite) return scope.name.empty();
  return IsName(scope.name) && scope.zone.size() <= kLongestName && scope.group.size() <= kLongestName;
}

bool CanBe(const Command& command) {
  using Kind = Command::Kind;
  if (command.by.size() > kLongestName || command.reason.size() > kLongestReason) return false;
  if (command.lasts < 0 || command.lasts > kLongestIncident) return false;
  const bool named = IsName(command.who.name);
  const bool by = !command.by.empty() && !command.reason.empty();
  switch (command.kind) {
    case Kind::kAsk:
      return named && IsScope(command.scope) && !command.steps.empty() &&
             command.steps.size() <= kMostSteps &&
             std::all_of(command.steps.begin(), command.steps.end(), IsName) && (command.by.empty() || by);
    case Kind::kStep:
      return named && (command.by.empty() || by);
    case Kind::kStepDone:
    case Kind::kStepBack:
    case Kind::kKeep:
    case Kind::kUndo:
    case Kind::kAbandon:
      return named;
    case Kind::kTakeOver:
      return IsName(command.to.name) && by;
    case Kind::kOpen:
      return IsScope(command.scope) && by;
    case Kind::kClose:
      return by;
    case Kind::kWasDone:
      return named && IsScope(command.scope) && by;
    case Kind::kRules:
      return *WhyNot(command.rules) == '\0';
    case Kind::kFloor:
      return command.epoch <= kHighestFloor;
    case Kind::kRunOut:
    case Kind::kEnds:
      return true;
  }
  return false;
}

// The kind that undoes it.
ChangeKind BackOf(ChangeKind kind) {
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
  effect.sight = command.sight;
  return effect;
}

Effect& State::Refuse(const Command& command, Error error, Effects& effects) const {
  Effect effect = Answer(command);
  effect.what = Effect::What::kRefused;
  effect.error = error;
  effect.retry = rules_.ask_again;
  effects.push_back(std::move(effect));
  return effects.back();
}

bool State::Forbids(const Incident& incident, const Change& change) const {
  if (change.glass.contains(incident.id)) return false;
  // What makes it better: undoing what ran as it opened, and what is about the very thing that it is about.
  if (change.undoing && incident.ran.contains(change.id)) return false;
  if (change.undoes != 0 && incident.ran.contains(change.undoes)) return false;
  if (change.scope == incident.scope && incident.scope.kind != Scope::Kind::kSite &&
      std::find(rules_.betters.begin(), rules_.betters.end(), change.kind) != rules_.betters.end()) {
    return false;
  }
  Reach reach = Reach::kWhereScopesMeet;
  for (const Row& row : rules_.table) {
    if (row.incident && *row.incident != incident.kind) continue;
    if (row.change && *row.change != change.kind) continue;
    reach = row.reach;
    break;
  }
  return reach == Reach::kEverywhere ||
         (reach == Reach::kWhereScopesMeet && Meet(incident.scope, change.scope));
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
    if (id != change.id && Meet(other.scope, change.scope)) return &other;
  }
  return nullptr;
}

// One of those that fill the limit, or none.
const Change* State::OverLimit(const Change& change) const {
  const bool balancer = change.scope.kind == Scope::Kind::kBalancer;
  if (!balancer && change.scope.kind != Scope::Kind::kNode) return nullptr;
  const std::string& mine = balancer ? change.scope.zone : change.scope.group;
  const uint64_t most = balancer ? rules_.most_balancers_of_zone : rules_.most_nodes_of_group;
  uint64_t count = 0;
  for (const auto& [id, other] : changes_) {
    if (other.scope.kind != change.scope.kind) continue;
    const std::string& its = balancer ? other.scope.zone : other.scope.group;
    // Where one is not known it counts for both.
    if (!mine.empty() && !its.empty() && mine != its) continue;
    if (++count >= most) return &other;
  }
  return nullptr;
}

// Whether no incident stands against it, or the glass is broken: false, and the answer says what does.
bool State::Passes(Change& change, const Command& command, Effects& effects) {
  const Incident* const incident = ForbiddenBy(change);
  if (incident == nullptr) return true;
  if (command.by.empty()) {
    Effect& effect = Refuse(command, Error::kFrozen, effects);
    effect.incident = incident->id;
    effect.incident_kind = incident->kind;
    effect.change_kind = change.kind;
    effect.scope = incident->scope;
    effect.reason = incident->reason;
    if (incident->until > at_) effect.retry = incident->until - at_;
    return false;
  }
  // It goes past those that stand now, not past later ones.
  for (const auto& [id, one] : incidents_) {
    if (Forbids(one, change)) change.glass.insert(id);
  }
  glass_.push_back({change.id, command.by, command.reason, at_});
  while (glass_.size() > rules_.most_glass) {
    glass_.pop_front();
    ++glass_forgotten_;
  }
  Effect effect = Answer(command);
  effect.what = Effect::What::kGlass;
  effect.change = change.id;
  effect.change_kind = change.kind;
  effect.scope = change.scope;
  effects.push_back(std::move(effect));
  return true;
}

uint64_t State::NewEpoch(uint64_t index, const Change& change) {
  if (faults_.epoch_reused) return change.last_epoch + 1;
  last_epoch_ = std::max({index, floor_ + 1, last_epoch_ + 1});
  return last_epoch_;
}

void State::Keep(Past past) {
  // Refused calls come in floods: they don't push out what was done.
  const bool refused = past.end == End::kRefused;
  history_.push_back(std::move(past));
  if (refused) {
    const auto is_refused = [](const Past& one) { return one.end == End::kRefused; };
    const auto count = std::count_if(history_.begin(), history_.end(), is_refused);
    if (static_cast<uint64_t>(count) > std::max<uint64_t>(1, rules_.most_history / 4)) {
      history_.erase(std::find_if(history_.begin(), history_.end(), is_refused));
    }
  }
  while (history_.size() > rules_.most_history) history_.pop_front();
}

void State::Yes(Incident& incident, uint64_t request, Effects& effects) const {
  if (!incident.yes) incident.waited = at_ - incident.opened;
  incident.yes = true;
  Effect effect;
  effect.what = Effect::What::kIncidentYes;
  effect.incident = incident.id;
  effect.incident_kind = incident.kind;
  effect.scope = incident.scope;
  effect.request = request;
  effect.by = incident.by;
  effect.waited = incident.waited;
  effects.push_back(std::move(effect));
}

void State::Resolve(uint64_t epoch, Effects& effects) {
  for (auto& [id, incident] : incidents_) {
    if (incident.pending.erase(epoch) != 0 && incident.pending.empty() && !incident.yes) {
      Yes(incident, 0, effects);
    }
  }
}

void State::ReturnGrant(Change& change, Error why, Effects& effects) {
  if (!change.grant) return;
  const Grant grant = *change.grant;
  change.grant.reset();
  Effect effect;
  effect.what = Effect::What::kGrantOver;
  effect.who = change.owner;
  effect.change = change.id;
  effect.step = grant.step;
  effect.epoch = grant.epoch;
  effect.position = grant.position;
  effect.error = why;
  effects.push_back(std::move(effect));
  Resolve(grant.epoch, effects);
}

void State::EndChange(uint64_t id, End end, Error why, Effects& effects) {
  Change& change = changes_.at(id);
  ReturnGrant(change, why, effects);
  Past past;
  past.id = id;
  past.change_kind = change.kind;
  past.scope = change.scope;
  past.end = end;
  past.step = change.next;
  past.who = change.owner;
  past.request = change.request;
  past.reason = change.reason;
  past.error = why;
  past.began = change.began;
  past.ended = at_;
  Keep(std::move(past));
  Effect effect;
  effect.what = Effect::What::kEnded;
  effect.who = change.owner;
  effect.change = id;
  effect.step = change.next;
  effect.end = end;
  effect.error = why;
  effect.change_kind = change.kind;
  effect.scope = change.scope;
  effects.push_back(std::move(effect));
  if (!(faults_.two_ends && end == End::kAbandoned)) changes_.erase(id);
}

void State::Renew(uint64_t index, Change& change, const Command& command, Effects& effects) {
  change.renewed = index;
  change.lease = rules_.change_lease;
  Effect effect = Answer(command);
  effect.what = Effect::What::kKept;
  effect.who = change.owner;
  effect.change = change.id;
  effect.change_kind = change.kind;
  effect.scope = change.scope;
  effect.step = change.next;
  effect.undoing = change.undoing;
  effect.renewed = index;
  effect.lease = change.lease;
  effects.push_back(std::move(effect));
}

// To the heir, as the earlier owner has let go or its lease has run out.
void State::Transfer(uint64_t index, Change& change, Effects& effects) {
  if (change.grant) change.doubt = true;
  ReturnGrant(change, Error::kLeaseOver, effects);
  change.owner = *change.heir;
  change.heir.reset();
  change.request = 0;
  change.last_request = 0;
  change.renewed = index;
  change.lease = rules_.change_lease;
  Effect effect;
  effect.what = Effect::What::kTaken;
  effect.who = change.owner;
  effect.change = change.id;
  effect.change_kind = change.kind;
  effect.scope = change.scope;
  effect.step = change.next;
  effect.undoing = change.undoing;
  effect.renewed = index;
  effect.lease = change.lease;
  effects.push_back(std::move(effect));
}

void State::Ask(uint64_t index, const Command& command, Effects& effects) {
  for (auto& [id, change] : changes_) {
    if (change.owner != command.who || change.request != command.request || command.request == 0) continue;
    // Its answer was lost.
    Renew(index, change, command, effects);
    effects.back().what = Effect::What::kBegun;
    return;
  }
  for (const Past& past : history_) {
    if (past.what != Past::What::kChange || past.who != command.who || past.request != command.request ||
        command.request == 0) {
      continue;
    }
    Effect effect = Answer(command);
    effect.what = past.end == End::kRefused ? Effect::What::kRefused : Effect::What::kEnded;
    effect.change = past.end == End::kRefused ? 0 : past.id;
    effect.end = past.end;
    effect.error = past.error;
    effect.step = past.step;
    effect.retry = past.end == End::kRefused ? rules_.ask_again : 0;
    effects.push_back(std::move(effect));
    return;
  }
  Change change;
  change.id = index;
  change.kind = command.change_kind;
  change.scope = command.scope;
  change.steps = command.steps;
  change.owner = command.who;
  change.request = command.request;
  change.reason = command.reason;
  change.began = at_;
  change.undoes = command.undoes;
  const auto refused = [&](Error error) {
    Past past;
    past.id = index;
    past.change_kind = change.kind;
    past.scope = change.scope;
    past.end = End::kRefused;
    past.who = change.owner;
    past.request = change.request;
    past.reason = change.reason;
    past.error = error;
    past.began = past.ended = at_;
    Keep(std::move(past));
    effects.back().end = End::kRefused;
  };
  if (command.undoes != 0) {
    const auto undone = std::find_if(history_.begin(), history_.end(), [&](const Past& past) {
      return past.what == Past::What::kChange && past.id == command.undoes && past.end != End::kRefused;
    });
    if (undone == history_.end() || undone->scope != change.scope ||
        BackOf(undone->change_kind) != change.kind) {
      Refuse(command, Error::kUnknownChange, effects).change = command.undoes;
      refused(Error::kUnknownChange);
      return;
    }
  }
  const Change* other = ConflictOf(change);
  const Error error = changes_.size() >= rules_.most_changes ? Error::kTooMany
                      : other != nullptr                     ? Error::kConflict
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
  if (!Passes(change, command, effects)) {
    refused(Error::kFrozen);
    return;
  }
  Change& stands = changes_[index] = std::move(change);
  Renew(index, stands, command, effects);
  effects.back().what = Effect::What::kBegun;
}

void State::Step(uint64_t index, const Command& command, Effects& effects) {
  Change& change = changes_.at(command.change);
  const uint32_t next = change.undoing ? change.next - 1 : change.next;
  const auto grant = [&] {
    Effect effect = Answer(command);
    effect.what = Effect::What::kGranted;
    effect.step = change.grant->step;
    effect.undoing = change.undoing;
    effect.epoch = change.grant->epoch;
    effect.position = change.grant->position;
    effect.renewed = change.grant->position;
    effect.lease = change.grant->lease;
    effect.change_kind = change.kind;
    effect.scope = change.scope;
    effects.push_back(std::move(effect));
  };
  if (change.grant) {
    // Its answer was lost: the same grant, whose lease began with the first question.
    if (command.request != 0 && change.grant->request == command.request) {
      grant();
    } else {
      Refuse(command, Error::kGrantOut, effects).step = change.grant->step;
    }
    return;
  }
  // A question that comes late, or twice, after its grant has ended gives none anew.
  if (command.step != next || command.undoing != change.undoing ||
      (command.request != 0 && command.request <= change.last_request)) {
    Effect& effect = Refuse(command, Error::kWrongStep, effects);
    effect.step = next;
    effect.undoing = change.undoing;
    return;
  }
  if (!faults_.grants_in_incident && !Passes(change, command, effects)) return;
  change.last_epoch = NewEpoch(index, change);
  change.grant = Grant{change.last_epoch, index, next, rules_.step_lease, command.request};
  change.last_request = command.request;
  change.doubt = false;
  grant();
  Renew(index, change, command, effects);
}

void State::StepDone(uint64_t index, const Command& command, Effects& effects) {
  Change& change = changes_.at(command.change);
  if (command.epoch != change.last_epoch || command.epoch == 0) {
    Refuse(command, Error::kFenced, effects).step = change.next;
    return;
  }
  if (!change.grant && !change.doubt) {  // told twice
    Renew(index, change, command, effects);
    return;
  }
  change.doubt = false;
  ReturnGrant(change, Error::kNone, effects);
  if (command.kind == Command::Kind::kStepBack) {
    Renew(index, change, command, effects);
    return;
  }
  if (change.undoing ? --change.next == 0 : ++change.next == change.steps.size()) {
    EndChange(change.id, change.undoing ? End::kUndone : End::kDone, Error::kNone, effects);
  } else {
    Renew(index, change, command, effects);
  }
}

void State::OfChange(uint64_t index, const Command& command, Effects& effects) {
  using Kind = Command::Kind;
  const auto found = changes_.find(command.change);
  if (found == changes_.end()) {
    Refuse(command, Error::kUnknownChange, effects);
    return;
  }
  Change& change = found->second;
  if (command.kind == Kind::kTakeOver) {
    change.heir = command.to;
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
  // Whoever is to let go still tells of the step that it had under way, and no more.
  if (change.heir && command.kind != Kind::kAbandon && command.kind != Kind::kStepDone &&
      command.kind != Kind::kStepBack) {
    Refuse(command, Error::kHandedOver, effects).to = *change.heir;
    return;
  }
  switch (command.kind) {
    case Kind::kStep:
      Step(index, command, effects);
      return;
    case Kind::kStepDone:
    case Kind::kStepBack:
      StepDone(index, command, effects);
      return;
    case Kind::kKeep:
      Renew(index, change, command, effects);
      return;
    case Kind::kUndo:
      if (!change.undoing) {
        if (change.grant) {
          Refuse(command, Error::kGrantOut, effects).step = change.grant->step;
          return;
        }
        // A step that may have been done is led back as well.
        if (change.doubt && change.next < change.steps.size()) ++change.next;
        change.doubt = false;
        change.undoing = true;
      }
      if (change.next == 0) {
        EndChange(change.id, End::kUndone, Error::kNone, effects);
      } else {
        Renew(index, change, command, effects);
      }
      return;
    case Kind::kAbandon:
      if (change.heir) {
        Transfer(index, change, effects);
      } else {
        EndChange(change.id, End::kAbandoned, Error::kNone, effects);
      }
      return;
    default:
      return;
  }
}

void State::RunOut(uint64_t index, const Command& command, Effects& effects) {
  const auto found = changes_.find(command.change);
  if (found == changes_.end()) return;
  Change& change = found->second;
  // One that a renewal overtook in the log says nothing: its owner was told of a longer lease.
  if (command.epoch != 0) {
    if (!change.grant || change.grant->epoch != command.epoch) return;
    change.doubt = true;
    ReturnGrant(change, Error::kLeaseOver, effects);
    return;
  }
  if (command.renewed != change.renewed && !faults_.stale_run_out) return;
  if (change.heir) {
    Transfer(index, change, effects);
  } else {
    EndChange(change.id, End::kAbandoned, Error::kLeaseOver, effects);
  }
}

void State::Open(uint64_t index, const Command& command, Effects& effects) {
  const Micros lasts = command.sight ? rules_.sight_lasts : command.lasts;
  const Micros until = lasts == 0 ? 0 : at_ + lasts;
  const auto opened = [&](const Incident& incident) {
    Effect effect = Answer(command);
    effect.what = Effect::What::kOpened;
    effect.incident = incident.id;
    effect.pending = incident.pending.size();
    effect.renewed = incident.renewed;
    effects.push_back(std::move(effect));
  };
  for (auto& [id, incident] : incidents_) {
    if (incident.kind != command.incident_kind || incident.scope != command.scope ||
        incident.sight != command.sight) {
      continue;
    }
    // Another's word makes it longer, never shorter.
    const bool longer = incident.until != 0 && (until == 0 || until > incident.until);
    if (longer || command.by == incident.by) {
      incident.until = until;
      incident.renewed = index;
    }
    opened(incident);
    if (incident.yes) Yes(incident, command.request, effects);
    return;
  }
  if (incidents_.size() >= rules_.most_incidents) {
    Refuse(command, Error::kTooMany, effects);
    return;
  }
  Incident incident;
  incident.id = index;
  incident.kind = command.incident_kind;
  incident.scope = command.scope;
  incident.by = command.by;
  incident.reason = command.reason;
  incident.sight = command.sight;
  incident.opened = at_;
  incident.until = until;
  incident.renewed = index;
  Effects holds;
  for (const auto& [id, change] : changes_) {
    if (!Forbids(incident, change)) continue;
    incident.ran.insert(id);
    if (!Forbids(incident, change)) continue;  // it is being undone
    if (change.grant) incident.pending.insert(change.grant->epoch);
    Effect effect;
    effect.what = Effect::What::kHold;
    effect.who = change.owner;
    effect.change = id;
    effect.change_kind = change.kind;
    effect.scope = change.scope;
    effect.incident = index;
    effect.incident_kind = incident.kind;
    effect.how = rules_.under_way[static_cast<size_t>(change.kind)];
    effect.reason = incident.reason;
    holds.push_back(std::move(effect));
  }
  Incident& stands = incidents_[index] = std::move(incident);
  opened(stands);
  effects.insert(effects.end(), holds.begin(), holds.end());
  if (stands.pending.empty() || faults_.yes_at_once) Yes(stands, command.request, effects);
}

void State::EndIncident(uint64_t id, const Command& command, Effects& effects) {
  const Incident& incident = incidents_.at(id);
  Past past;
  past.what = Past::What::kIncident;
  past.id = id;
  past.incident_kind = incident.kind;
  past.scope = incident.scope;
  past.by = incident.by;
  past.reason = incident.reason;
  past.began = incident.opened;
  past.ended = at_;
  Effect effect = Answer(command);
  effect.what = Effect::What::kIncidentOver;
  effect.incident = id;
  effect.incident_kind = incident.kind;
  effect.scope = incident.scope;
  effect.waited = at_ - incident.opened;
  effect.pending = incident.yes ? 0 : incident.pending.size();
  effects.push_back(std::move(effect));
  incidents_.erase(id);
  for (auto& [change_id, change] : changes_) change.glass.erase(id);
  Keep(std::move(past));
}

Effects State::Apply(uint64_t index, Micros at, const Command& command) {
  using Kind = Command::Kind;
  at_ = std::max(at_, at);
  Effects effects;
  if (!CanBe(command)) {
    Refuse(command, Error::kMalformed, effects);
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
    case Kind::kAsk:
      Ask(index, command, effects);
      break;
    case Kind::kRunOut:
      RunOut(index, command, effects);
      break;
    case Kind::kOpen:
      Open(index, command, effects);
      break;
    case Kind::kClose: {
      const auto found = incidents_.find(command.incident);
      // What a person has opened no sight closes.
      if (found == incidents_.end() || (command.sight && !found->second.sight)) {
        Refuse(command, Error::kUnknownIncident, effects);
      } else {
        EndIncident(command.incident, command, effects);
      }
      break;
    }
    case Kind::kEnds: {
      const auto found = incidents_.find(command.incident);
      if (found != incidents_.end() && found->second.until != 0 && found->second.until <= at_ &&
          found->second.renewed == command.renewed) {
        EndIncident(command.incident, command, effects);
      }
      break;
    }
    case Kind::kWasDone: {
      const auto known = was_done_.find(command.who.name);
      const std::pair<uint64_t, uint64_t> number(command.who.life, command.number);
      if (known == was_done_.end() && was_done_.size() >= kMostHistory) {
        Refuse(command, Error::kTooMany, effects);
        break;
      }
      if (known == was_done_.end() || known->second < number) {
        was_done_[command.who.name] = number;
        Past past;
        past.what = Past::What::kEmergency;
        past.id = index;
        past.change_kind = command.change_kind;
        past.scope = command.scope;
        past.who = command.who;
        past.request = command.number;
        past.by = command.by;
        past.reason = command.reason;
        past.began = past.ended = at_;
        Keep(std::move(past));
      }
      Effect effect = Answer(command);
      effect.what = Effect::What::kNoted;
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
      OfChange(index, command, effects);
  }
  return effects;
}

void Count(owner::Lapse& lapse, Micros now, const Effects& effects) {
  for (const Effect& effect : effects) {
    const std::string id = std::to_string(effect.change);
    switch (effect.what) {
      case Effect::What::kBegun:
      case Effect::What::kKept:
      case Effect::What::kTaken:
        lapse.Began(now, {kOfChange + id, 0, effect.renewed, effect.lease});
        break;
      case Effect::What::kGranted:
        lapse.Began(now, {kOfGrant + id, effect.epoch, effect.position, effect.lease});
        break;
      case Effect::What::kGrantOver:
        lapse.Ended(kOfGrant + id);
        break;
      case Effect::What::kEnded:
        // Told again of one that ended long ago, it ends nothing twice.
        lapse.Ended(kOfChange + id);
        lapse.Ended(kOfGrant + id);
        break;
      default:
        break;
    }
  }
}

Command RunOutOf(const owner::Lease& lease) {
  Command command;
  command.kind = Command::Kind::kRunOut;
  command.change = std::strtoull(lease.key.c_str() + lease.key.find(' '), nullptr, 10);
  command.epoch = lease.epoch;
  command.renewed = lease.renewed;
  return command;
}

std::vector<owner::Lease> State::Leases() const {
  std::vector<owner::Lease> leases;
  for (const auto& [id, change] : changes_) {
    leases.push_back({kOfChange + std::to_string(id), 0, change.renewed, change.lease});
    if (change.grant) {
      leases.push_back(
          {"grant " + std::to_string(id), change.grant->epoch, change.grant->position, change.grant->lease});
    }
  }
  return leases;
}

std::vector<Command> State::EndsDue(Micros at) const {
  std::vector<Command> due;
  for (const auto& [id, incident] : incidents_) {
    if (incident.until == 0 || incident.until > std::max(at, at_)) continue;
    Command command;
    command.kind = Command::Kind::kEnds;
    command.incident = id;
    command.renewed = incident.renewed;
    due.push_back(std::move(command));
  }
  return due;
}

}  // namespace burlfall::freeze
