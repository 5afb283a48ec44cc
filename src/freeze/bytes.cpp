// Encodes and decodes the commands and the state of the change freeze (see `owner/bytes.h` for the format).
#include "freeze/bytes.h"

#include <algorithm>

namespace burlfall::freeze {

using owner::kMaxNameSize;
using owner::kMaxReasonSize;
using owner::Reader;
using owner::Writer;

namespace {

constexpr std::string_view kCommandTag = "bffc";
constexpr std::string_view kStateTag = "bffs";
constexpr size_t kMaxValues = 1 << 20;

void Put(Writer& to, const std::optional<ProcessId>& who) {
  to.Flag(who.has_value());
  freeze::Put(to, who.value_or(ProcessId{}));
}
std::optional<ProcessId> ReadOptionalProcessId(Reader& from) {
  const bool some = from.Flag();
  ProcessId who = ReadProcessId(from);
  return some ? std::optional<ProcessId>(std::move(who)) : std::nullopt;
}

void Put(Writer& to, const std::set<uint64_t>& ids) {
  to.Number(ids.size());
  for (const uint64_t id : ids) to.Number(id);
}
std::set<uint64_t> ReadIds(Reader& from, size_t most) {
  std::set<uint64_t> ids;
  const size_t count = from.Count(most);
  for (size_t i = 0; i < count && from.ok(); ++i) ids.insert(from.Number());
  return ids;
}

void Put(Writer& to, const std::vector<std::string>& steps) {
  to.Number(steps.size());
  for (const std::string& step : steps) to.Text(step);
}
std::vector<std::string> ReadSteps(Reader& from) {
  std::vector<std::string> steps;
  const size_t count = from.Count(kMaxSteps);
  for (size_t i = 0; i < count && from.ok(); ++i) steps.push_back(from.Text(kMaxNameSize));
  return steps;
}

void Put(Writer& to, const std::vector<ChangeKind>& kinds) {
  to.Number(kinds.size());
  for (const ChangeKind kind : kinds) to.EnumValue(kind);
}
std::vector<ChangeKind> ReadKinds(Reader& from) {
  std::vector<ChangeKind> kinds;
  const size_t count = from.Count(kChangeKindCount);
  for (size_t i = 0; i < count && from.ok(); ++i) kinds.push_back(from.EnumValue(ChangeKind::kVoters));
  return kinds;
}

void Put(Writer& to, const Change& change) {
  to.Number(change.id).EnumValue(change.kind);
  freeze::Put(to, change.scope);
  Put(to, change.steps);
  freeze::Put(to, change.owner);
  to.Number(change.begin_request).Text(change.reason).Duration(change.began).Number(change.renewed_index);
  to.Duration(change.lease).Number(change.steps_done).Flag(change.undoing).Number(change.undoes);
  Put(to, change.overridden_incidents);
  const StepGrant grant = change.grant.value_or(StepGrant{});
  to.Flag(change.grant.has_value()).Number(grant.epoch).Number(grant.entry_index).Number(grant.step);
  to.Duration(grant.lease)
      .Number(grant.request)
      .Number(change.last_grant_epoch)
      .Number(change.last_step_request)
      .Flag(change.last_step_uncertain);
  Put(to, change.successor);
}
Change ReadChange(Reader& from) {
  Change change;
  change.id = from.Number();
  change.kind = from.EnumValue(ChangeKind::kVoters);
  change.scope = ReadScope(from);
  change.steps = ReadSteps(from);
  change.owner = ReadProcessId(from);
  change.begin_request = from.Number();
  change.reason = from.Text(kMaxReasonSize);
  change.began = from.Duration();
  change.renewed_index = from.Number();
  change.lease = from.Duration();
  change.steps_done = static_cast<uint32_t>(from.Number(kMaxSteps));
  if (change.steps_done > change.steps.size()) from.Fail();
  change.undoing = from.Flag();
  change.undoes = from.Number();
  change.overridden_incidents = ReadIds(from, kMaxIncidents);
  const bool granted = from.Flag();
  StepGrant grant;
  grant.epoch = from.Number();
  grant.entry_index = from.Number();
  grant.step = static_cast<uint32_t>(from.Number(kMaxSteps));
  grant.lease = from.Duration();
  grant.request = from.Number();
  if (granted) change.grant = grant;
  change.last_grant_epoch = from.Number();
  change.last_step_request = from.Number();
  change.last_step_uncertain = from.Flag();
  change.successor = ReadOptionalProcessId(from);
  return change;
}

void Put(Writer& to, const Incident& incident) {
  to.Number(incident.id).EnumValue(incident.kind);
  freeze::Put(to, incident.scope);
  to.Text(incident.by).Text(incident.reason).Flag(incident.observed).Duration(incident.opened);
  to.Duration(incident.until)
      .Number(incident.renewed_index)
      .Flag(incident.in_force)
      .Duration(incident.waited);
  Put(to, incident.pending_grants);
  Put(to, incident.running_at_open);
}
Incident ReadIncident(Reader& from) {
  Incident incident;
  incident.id = from.Number();
  incident.kind = from.EnumValue(IncidentKind::kRefusals);
  incident.scope = ReadScope(from);
  incident.by = from.Text(kMaxNameSize);
  incident.reason = from.Text(kMaxReasonSize);
  incident.observed = from.Flag();
  incident.opened = from.Duration();
  incident.until = from.Duration();
  incident.renewed_index = from.Number();
  incident.in_force = from.Flag();
  incident.waited = from.Duration();
  incident.pending_grants = ReadIds(from, kMaxChanges);
  incident.running_at_open = ReadIds(from, kMaxChanges);
  return incident;
}

void Put(Writer& to, const HistoryEntry& entry) {
  to.EnumValue(entry.what).Number(entry.id).EnumValue(entry.change_kind).EnumValue(entry.incident_kind);
  freeze::Put(to, entry.scope);
  to.EnumValue(entry.end).Number(entry.step);
  freeze::Put(to, entry.who);
  to.Number(entry.request).Text(entry.by).Text(entry.reason).EnumValue(entry.error);
  to.Duration(entry.began).Duration(entry.ended);
}
HistoryEntry ReadHistoryEntry(Reader& from) {
  HistoryEntry entry;
  entry.what = from.EnumValue(HistoryEntry::What::kEmergency);
  entry.id = from.Number();
  entry.change_kind = from.EnumValue(ChangeKind::kVoters);
  entry.incident_kind = from.EnumValue(IncidentKind::kRefusals);
  entry.scope = ReadScope(from);
  entry.end = from.EnumValue(End::kRefused);
  entry.step = static_cast<uint32_t>(from.Number(kMaxSteps));
  entry.who = ReadProcessId(from);
  entry.request = from.Number();
  entry.by = from.Text(kMaxNameSize);
  entry.reason = from.Text(kMaxReasonSize);
  entry.error = from.EnumValue(Error::kStale);
  entry.began = from.Duration();
  entry.ended = from.Duration();
  return entry;
}

}  // namespace

void Put(Writer& to, const Scope& scope) {
  to.EnumValue(scope.kind).Text(scope.name).Text(scope.zone).Text(scope.group);
}
Scope ReadScope(Reader& from) {
  Scope scope;
  scope.kind = from.EnumValue(Scope::Kind::kBalancer);
  scope.name = from.Text(kMaxNameSize);
  scope.zone = from.Text(kMaxNameSize);
  scope.group = from.Text(kMaxNameSize);
  return scope;
}

void Put(Writer& to, const ProcessId& who) { to.Text(who.name).Number(who.incarnation); }
ProcessId ReadProcessId(Reader& from) {
  ProcessId who;
  who.name = from.Text(kMaxNameSize);
  who.incarnation = from.Number();
  return who;
}

void Put(Writer& to, const Rules& rules) {
  to.Duration(rules.step_lease).Duration(rules.change_lease);
  to.Number(rules.max_balancers_per_zone).Number(rules.max_nodes_per_group).Number(rules.table.size());
  for (const TableRow& row : rules.table) {
    // 0 encodes an empty kind, which stands for all kinds.
    to.Number(row.incident ? static_cast<uint64_t>(*row.incident) + 1 : 0);
    to.Number(row.change ? static_cast<uint64_t>(*row.change) + 1 : 0).EnumValue(row.reach);
  }
  Put(to, rules.remedial_kinds);
  for (const StepPolicy policy : rules.step_policies) to.EnumValue(policy);
  to.Duration(rules.retry_after).Duration(rules.observed_incident_ttl);
  Put(to, rules.emergency_kinds);
  for (const ObservationRule& rule : rules.observation_rules) {
    to.Ratio(rule.high).Ratio(rule.low).Duration(rule.open_after).Duration(rule.close_after);
  }
  to.Number(rules.max_changes).Number(rules.max_incidents).Number(rules.max_history);
  to.Number(rules.max_overrides).Number(rules.max_local_emergencies);
}
Rules ReadRules(Reader& from) {
  Rules rules;
  rules.step_lease = from.Duration();
  rules.change_lease = from.Duration();
  rules.max_balancers_per_zone = from.Number();
  rules.max_nodes_per_group = from.Number();
  rules.table.clear();
  const size_t rows = from.Count(kMaxTableRows);
  for (size_t i = 0; i < rows && from.ok(); ++i) {
    TableRow row;
    if (const uint64_t kind = from.Number(kIncidentKindCount))
      row.incident = static_cast<IncidentKind>(kind - 1);
    if (const uint64_t kind = from.Number(kChangeKindCount)) row.change = static_cast<ChangeKind>(kind - 1);
    row.reach = from.EnumValue(Reach::kEverywhere);
    rules.table.push_back(row);
  }
  rules.remedial_kinds = ReadKinds(from);
  for (StepPolicy& policy : rules.step_policies) policy = from.EnumValue(StepPolicy::kUndo);
  rules.retry_after = from.Duration();
  rules.observed_incident_ttl = from.Duration();
  rules.emergency_kinds = ReadKinds(from);
  for (ObservationRule& rule : rules.observation_rules) {
    rule.high = from.Ratio();
    rule.low = from.Ratio();
    rule.open_after = from.Duration();
    rule.close_after = from.Duration();
  }
  rules.max_changes = from.Number();
  rules.max_incidents = from.Number();
  rules.max_history = from.Number();
  rules.max_overrides = from.Number();
  rules.max_local_emergencies = from.Number();
  if (*InvalidReason(rules) != '\0') from.Fail();
  return rules;
}

std::string Write(const Command& command) {
  Writer to;
  to.EnumValue(command.kind);
  Put(to, command.who);
  to.Number(command.request).Number(command.change).Number(command.incident).Number(command.epoch);
  to.Number(command.renewed_index).Number(command.undoes).Number(command.number).Number(command.coordinator);
  to.Number(command.step).EnumValue(command.change_kind).EnumValue(command.incident_kind);
  Put(to, command.scope);
  Put(to, command.steps);
  Put(to, command.to);
  to.Text(command.by)
      .Text(command.reason)
      .Duration(command.duration)
      .Flag(command.observed)
      .Flag(command.undoing);
  // The rules are long, and only kRules carries them.
  if (command.kind == Command::Kind::kRules) Put(to, command.rules);
  return to.Finish(kCommandTag);
}

std::optional<Command> ReadCommand(std::string_view bytes) {
  Reader from(bytes, kCommandTag, 512);
  Command command;
  command.kind = from.EnumValue(Command::Kind::kFloor);
  command.who = ReadProcessId(from);
  command.request = from.Number();
  command.change = from.Number();
  command.incident = from.Number();
  command.epoch = from.Number();
  command.renewed_index = from.Number();
  command.undoes = from.Number();
  command.number = from.Number();
  command.coordinator = from.Number();
  command.step = static_cast<uint32_t>(from.Number(kMaxSteps));
  command.change_kind = from.EnumValue(ChangeKind::kVoters);
  command.incident_kind = from.EnumValue(IncidentKind::kRefusals);
  command.scope = ReadScope(from);
  command.steps = ReadSteps(from);
  command.to = ReadProcessId(from);
  command.by = from.Text(kMaxNameSize);
  command.reason = from.Text(kMaxReasonSize);
  command.duration = from.Duration();
  command.observed = from.Flag();
  command.undoing = from.Flag();
  if (command.kind == Command::Kind::kRules) command.rules = ReadRules(from);
  return from.Done() ? std::optional<Command>(std::move(command)) : std::nullopt;
}

std::string State::Save() const {
  Writer to;
  Put(to, rules_);
  to.Number(floor_).Number(last_epoch_).Number(coordinator_).Duration(council_time_).Number(changes_.size());
  for (const auto& [id, change] : changes_) Put(to, change);
  to.Number(incidents_.size());
  for (const auto& [id, incident] : incidents_) Put(to, incident);
  to.Number(history_.size());
  for (const HistoryEntry& entry : history_) Put(to, entry);
  to.Number(overrides_dropped_).Number(overrides_.size());
  for (const Override& record : overrides_) {
    to.Number(record.change).Text(record.by).Text(record.reason).Duration(record.at);
  }
  to.Number(last_recorded_.size());
  for (const auto& [name, last] : last_recorded_) to.Text(name).Number(last.first).Number(last.second);
  return to.Finish(kStateTag);
}

std::optional<State> State::Load(std::string_view bytes) {
  Reader from(bytes, kStateTag, kMaxValues);
  State state;
  state.rules_ = ReadRules(from);
  state.floor_ = from.Number();
  state.last_epoch_ = from.Number();
  state.coordinator_ = from.Number();
  state.council_time_ = from.Duration();
  const size_t changes = from.Count(kMaxChanges);
  for (size_t i = 0; i < changes && from.ok(); ++i) {
    Change change = ReadChange(from);
    state.changes_[change.id] = std::move(change);
  }
  const size_t incidents = from.Count(kMaxIncidents);
  for (size_t i = 0; i < incidents && from.ok(); ++i) {
    Incident incident = ReadIncident(from);
    state.incidents_[incident.id] = std::move(incident);
  }
  const size_t history = from.Count(kMaxHistory);
  for (size_t i = 0; i < history && from.ok(); ++i) state.history_.push_back(ReadHistoryEntry(from));
  state.overrides_dropped_ = from.Number();
  const size_t overrides = from.Count(kMaxHistory);
  for (size_t i = 0; i < overrides && from.ok(); ++i) {
    Override record;
    record.change = from.Number();
    record.by = from.Text(kMaxNameSize);
    record.reason = from.Text(kMaxReasonSize);
    record.at = from.Duration();
    state.overrides_.push_back(std::move(record));
  }
  const size_t recorded = from.Count(kMaxHistory);
  for (size_t i = 0; i < recorded && from.ok(); ++i) {
    std::pair<uint64_t, uint64_t>& last = state.last_recorded_[from.Text(kMaxNameSize)];
    last.first = from.Number();
    last.second = from.Number();
  }
  return from.Done() ? std::optional<State>(std::move(state)) : std::nullopt;
}

}  // namespace burlfall::freeze
