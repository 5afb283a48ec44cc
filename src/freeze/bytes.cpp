#include "freeze/bytes.h"

#include <algorithm>

namespace burlfall::freeze {

using owner::kLongestName;
using owner::kLongestReason;
using owner::Reader;
using owner::Writer;

namespace {

constexpr std::string_view kCommandBytes = "bffc";
constexpr std::string_view kStateBytes = "bffs";
constexpr size_t kMostValues = 1 << 20;

void Put(Writer& to, const std::optional<Who>& who) {
  to.Flag(who.has_value());
  freeze::Put(to, who.value_or(Who{}));
}
std::optional<Who> TakeWhoOrNone(Reader& from) {
  const bool some = from.Flag();
  Who who = TakeWho(from);
  return some ? std::optional<Who>(std::move(who)) : std::nullopt;
}

void Put(Writer& to, const std::set<uint64_t>& ids) {
  to.Number(ids.size());
  for (const uint64_t id : ids) to.Number(id);
}
std::set<uint64_t> TakeIds(Reader& from, size_t most) {
  std::set<uint64_t> ids;
  const size_t count = from.Count(most);
  for (size_t i = 0; i < count && from.ok(); ++i) ids.insert(from.Number());
  return ids;
}

void Put(Writer& to, const std::vector<std::string>& steps) {
  to.Number(steps.size());
  for (const std::string& step : steps) to.Text(step);
}
std::vector<std::string> TakeSteps(Reader& from) {
  std::vector<std::string> steps;
  const size_t count = from.Count(kMostSteps);
  for (size_t i = 0; i < count && from.ok(); ++i) steps.push_back(from.Text(kLongestName));
  return steps;
}

void Put(Writer& to, const std::vector<ChangeKind>& kinds) {
  to.Number(kinds.size());
  for (const ChangeKind kind : kinds) to.Name(kind);
}
std::vector<ChangeKind> TakeKinds(Reader& from) {
  std::vector<ChangeKind> kinds;
  const size_t count = from.Count(kChangeKinds);
  for (size_t i = 0; i < count && from.ok(); ++i) kinds.push_back(from.Name(ChangeKind::kVoters));
  return kinds;
}

void Put(Writer& to, const Change& change) {
  to.Number(change.id).Name(change.kind);
  freeze::Put(to, change.scope);
  Put(to, change.steps);
  freeze::Put(to, change.owner);
  to.Number(change.request).Text(change.reason).Span(change.began).Number(change.renewed);
  to.Span(change.lease).Number(change.next).Flag(change.undoing).Number(change.undoes);
  Put(to, change.glass);
  const Grant grant = change.grant.value_or(Grant{});
  to.Flag(change.grant.has_value()).Number(grant.epoch).Number(grant.position).Number(grant.step);
  to.Span(grant.lease)
      .Number(grant.request)
      .Number(change.last_epoch)
      .Number(change.last_request)
      .Flag(change.doubt);
  Put(to, change.heir);
}
Change TakeChange(Reader& from) {
  Change change;
  change.id = from.Number();
  change.kind = from.Name(ChangeKind::kVoters);
  change.scope = TakeScope(from);
  change.steps = TakeSteps(from);
  change.owner = TakeWho(from);
  change.request = from.Number();
  change.reason = from.Text(kLongestReason);
  change.began = from.Span();
  change.renewed = from.Number();
  change.lease = from.Span();
  change.next = static_cast<uint32_t>(from.Number(kMostSteps));
  if (change.next > change.steps.size()) from.Fail();
  change.undoing = from.Flag();
  change.undoes = from.Number();
  change.glass = TakeIds(from, kMostIncidents);
  const bool granted = from.Flag();
  Grant grant;
  grant.epoch = from.Number();
  grant.position = from.Number();
  grant.step = static_cast<uint32_t>(from.Number(kMostSteps));
  grant.lease = from.Span();
  grant.request = from.Number();
  if (granted) change.grant = grant;
  change.last_epoch = from.Number();
  change.last_request = from.Number();
  change.doubt = from.Flag();
  change.heir = TakeWhoOrNone(from);
  return change;
}

void Put(Writer& to, const Incident& incident) {
  to.Number(incident.id).Name(incident.kind);
  freeze::Put(to, incident.scope);
  to.Text(incident.by).Text(incident.reason).Flag(incident.sight).Span(incident.opened);
  to.Span(incident.until).Number(incident.renewed).Flag(incident.yes).Span(incident.waited);
  Put(to, incident.pending);
  Put(to, incident.ran);
}
Incident TakeIncident(Reader& from) {
  Incident incident;
  incident.id = from.Number();
  incident.kind = from.Name(IncidentKind::kRefusals);
  incident.scope = TakeScope(from);
  incident.by = from.Text(kLongestName);
  incident.reason = from.Text(kLongestReason);
  incident.sight = from.Flag();
  incident.opened = from.Span();
  incident.until = from.Span();
  incident.renewed = from.Number();
  incident.yes = from.Flag();
  incident.waited = from.Span();
  incident.pending = TakeIds(from, kMostChanges);
  incident.ran = TakeIds(from, kMostChanges);
  return incident;
}

void Put(Writer& to, const Past& past) {
  to.Name(past.what).Number(past.id).Name(past.change_kind).Name(past.incident_kind);
  freeze::Put(to, past.scope);
  to.Name(past.end).Number(past.step);
  freeze::Put(to, past.who);
  to.Number(past.request).Text(past.by).Text(past.reason).Name(past.error);
  to.Span(past.began).Span(past.ended);
}
Past TakePast(Reader& from) {
  Past past;
  past.what = from.Name(Past::What::kEmergency);
  past.id = from.Number();
  past.change_kind = from.Name(ChangeKind::kVoters);
  past.incident_kind = from.Name(IncidentKind::kRefusals);
  past.scope = TakeScope(from);
  past.end = from.Name(End::kRefused);
  past.step = static_cast<uint32_t>(from.Number(kMostSteps));
  past.who = TakeWho(from);
  past.request = from.Number();
  past.by = from.Text(kLongestName);
  past.reason = from.Text(kLongestReason);
  past.error = from.Name(Error::kStale);
  past.began = from.Span();
  past.ended = from.Span();
  return past;
}

}  // namespace

void Put(Writer& to, const Scope& scope) {
  to.Name(scope.kind).Text(scope.name).Text(scope.zone).Text(scope.group);
}
Scope TakeScope(Reader& from) {
  Scope scope;
  scope.kind = from.Name(Scope::Kind::kBalancer);
  scope.name = from.Text(kLongestName);
  scope.zone = from.Text(kLongestName);
  scope.group = from.Text(kLongestName);
  return scope;
}

void Put(Writer& to, const Who& who) { to.Text(who.name).Number(who.life); }
Who TakeWho(Reader& from) {
  Who who;
  who.name = from.Text(kLongestName);
  who.life = from.Number();
  return who;
}

void Put(Writer& to, const Rules& rules) {
  to.Span(rules.step_lease).Span(rules.change_lease);
  to.Number(rules.most_balancers_of_zone).Number(rules.most_nodes_of_group).Number(rules.table.size());
  for (const Row& row : rules.table) {
    // 0 stands for all kinds.
    to.Number(row.incident ? static_cast<uint64_t>(*row.incident) + 1 : 0);
    to.Number(row.change ? static_cast<uint64_t>(*row.change) + 1 : 0).Name(row.reach);
  }
  Put(to, rules.betters);
  for (const UnderWay how : rules.under_way) to.Name(how);
  to.Span(rules.ask_again).Span(rules.sight_lasts);
  Put(to, rules.emergencies);
  for (const SightRule& sight : rules.sights) {
    to.Share(sight.high).Share(sight.low).Span(sight.open_after).Span(sight.close_after);
  }
  to.Number(rules.most_changes).Number(rules.most_incidents).Number(rules.most_history);
  to.Number(rules.most_glass).Number(rules.most_local);
}
Rules TakeRules(Reader& from) {
  Rules rules;
  rules.step_lease = from.Span();
  rules.change_lease = from.Span();
  rules.most_balancers_of_zone = from.Number();
  rules.most_nodes_of_group = from.Number();
  rules.table.clear();
  const size_t rows = from.Count(kMostRows);
  for (size_t i = 0; i < rows && from.ok(); ++i) {
    Row row;
    if (const uint64_t kind = from.Number(kIncidentKinds)) row.incident = static_cast<IncidentKind>(kind - 1);
    if (const uint64_t kind = from.Number(kChangeKinds)) row.change = static_cast<ChangeKind>(kind - 1);
    row.reach = from.Name(Reach::kEverywhere);
    rules.table.push_back(row);
  }
  rules.betters = TakeKinds(from);
  for (UnderWay& how : rules.under_way) how = from.Name(UnderWay::kUndo);
  rules.ask_again = from.Span();
  rules.sight_lasts = from.Span();
  rules.emergencies = TakeKinds(from);
  for (SightRule& sight : rules.sights) {
    sight.high = from.Share();
    sight.low = from.Share();
    sight.open_after = from.Span();
    sight.close_after = from.Span();
  }
  rules.most_changes = from.Number();
  rules.most_incidents = from.Number();
  rules.most_history = from.Number();
  rules.most_glass = from.Number();
  rules.most_local = from.Number();
  if (*WhyNot(rules) != '\0') from.Fail();
  return rules;
}

std::string Write(const Command& command) {
  Writer to;
  to.Name(command.kind);
  Put(to, command.who);
  to.Number(command.request).Number(command.change).Number(command.incident).Number(command.epoch);
  to.Number(command.renewed).Number(command.undoes).Number(command.number).Number(command.coordinator);
  to.Number(command.step).Name(command.change_kind).Name(command.incident_kind);
  Put(to, command.scope);
  Put(to, command.steps);
  Put(to, command.to);
  to.Text(command.by).Text(command.reason).Span(command.lasts).Flag(command.sight).Flag(command.undoing);
  // Rules are long, and only one kind has them.
  if (command.kind == Command::Kind::kRules) Put(to, command.rules);
  return to.Finish(kCommandBytes);
}

std::optional<Command> ReadCommand(std::string_view bytes) {
  Reader from(bytes, kCommandBytes, 512);
  Command command;
  command.kind = from.Name(Command::Kind::kFloor);
  command.who = TakeWho(from);
  command.request = from.Number();
  command.change = from.Number();
  command.incident = from.Number();
  command.epoch = from.Number();
  command.renewed = from.Number();
  command.undoes = from.Number();
  command.number = from.Number();
  command.coordinator = from.Number();
  command.step = static_cast<uint32_t>(from.Number(kMostSteps));
  command.change_kind = from.Name(ChangeKind::kVoters);
  command.incident_kind = from.Name(IncidentKind::kRefusals);
  command.scope = TakeScope(from);
  command.steps = TakeSteps(from);
  command.to = TakeWho(from);
  command.by = from.Text(kLongestName);
  command.reason = from.Text(kLongestReason);
  command.lasts = from.Span();
  command.sight = from.Flag();
  command.undoing = from.Flag();
  if (command.kind == Command::Kind::kRules) command.rules = TakeRules(from);
  return from.Done() ? std::optional<Command>(std::move(command)) : std::nullopt;
}

std::string State::Save() const {
  Writer to;
  Put(to, rules_);
  to.Number(floor_).Number(last_epoch_).Number(coordinator_).Span(at_).Number(changes_.size());
  for (const auto& [id, change] : changes_) Put(to, change);
  to.Number(incidents_.size());
  for (const auto& [id, incident] : incidents_) Put(to, incident);
  to.Number(history_.size());
  for (const Past& past : history_) Put(to, past);
  to.Number(glass_forgotten_).Number(glass_.size());
  for (const Glass& glass : glass_) {
    to.Number(glass.change).Text(glass.by).Text(glass.reason).Span(glass.at);
  }
  to.Number(was_done_.size());
  for (const auto& [name, last] : was_done_) to.Text(name).Number(last.first).Number(last.second);
  return to.Finish(kStateBytes);
}

std::optional<State> State::Load(std::string_view bytes) {
  Reader from(bytes, kStateBytes, kMostValues);
  State state;
  state.rules_ = TakeRules(from);
  state.floor_ = from.Number();
  state.last_epoch_ = from.Number();
  state.coordinator_ = from.Number();
  state.at_ = from.Span();
  const size_t changes = from.Count(kMostChanges);
  for (size_t i = 0; i < changes && from.ok(); ++i) {
    Change change = TakeChange(from);
    state.changes_[change.id] = std::move(change);
  }
  const size_t incidents = from.Count(kMostIncidents);
  for (size_t i = 0; i < incidents && from.ok(); ++i) {
    Incident incident = TakeIncident(from);
    state.incidents_[incident.id] = std::move(incident);
  }
  const size_t history = from.Count(kMostHistory);
  for (size_t i = 0; i < history && from.ok(); ++i) state.history_.push_back(TakePast(from));
  state.glass_forgotten_ = from.Number();
  const size_t glass = from.Count(kMostHistory);
  for (size_t i = 0; i < glass && from.ok(); ++i) {
    Glass one;
    one.change = from.Number();
    one.by = from.Text(kLongestName);
    one.reason = from.Text(kLongestReason);
    one.at = from.Span();
    state.glass_.push_back(std::move(one));
  }
  const size_t was_done = from.Count(kMostHistory);
  for (size_t i = 0; i < was_done && from.ok(); ++i) {
    std::pair<uint64_t, uint64_t>& last = state.was_done_[from.Text(kLongestName)];
    last.first = from.Number();
    last.second = from.Number();
  }
  return from.Done() ? std::optional<State>(std::move(state)) : std::nullopt;
}

}  // namespace burlfall::freeze
