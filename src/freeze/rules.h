// The rules of the change freeze, as a plain struct. They are part of the replicated state (kRules), so that
// all replicas decide alike. A leader whose settings differ proposes its own.
#ifndef BURLFALL_FREEZE_RULES_H_
#define BURLFALL_FREEZE_RULES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "io/time.h"

namespace burlfall::freeze {

enum class ChangeKind : uint8_t {
  kNodeOut,
  kNodeBack,
  kDrain,
  kUndrain,
  kReload,
  kUpgrade,
  kRestart,
  kVoters
};
constexpr size_t kChangeKindCount = 8;
const char* NameOf(ChangeKind kind);  // node_out, node_back, drain, undrain, reload, upgrade, restart, voters

enum class IncidentKind : uint8_t {
  kOperator,     // opened by a person, of no other kind
  kZoneDown,     // too many members of a zone are dead
  kNoLists,      // too many balancers have no list
  kEjectionCap,  // more hosts are bad than may be ejected
  kRefusals,     // too large a share of the queries is refused
};
constexpr size_t kIncidentKindCount = 5;
const char* NameOf(IncidentKind kind);  // operator, zone_down, no_lists, ejection_cap, refusals

// Where an incident forbids a change.
enum class Reach : uint8_t {
  kNowhere,
  kWhereScopesMeet,
  kEverywhere,  // in the whole site, whatever the scope of the incident
};
const char* NameOf(Reach reach);  // nowhere, where_scopes_meet, everywhere

// What happens to a step that is under way when a conflicting incident opens.
enum class StepPolicy : uint8_t { kFinish, kUndo };
const char* NameOf(StepPolicy policy);  // finish, undo

// A row of the table that says which incidents forbid which changes. An empty kind matches all kinds. The
// first matching row decides; without a match, a change is forbidden where the scopes overlap.
struct TableRow {
  std::optional<IncidentKind> incident;
  std::optional<ChangeKind> change;
  Reach reach = Reach::kWhereScopesMeet;
  bool operator==(const TableRow&) const = default;
};
constexpr size_t kMaxTableRows = 64;
// Upper limits for the bounds in Rules.
constexpr uint64_t kMaxChanges = 1024;
constexpr uint64_t kMaxIncidents = 256;
constexpr uint64_t kMaxHistory = 4096;

// The default table. While a zone is down, changes of voters and upgrades are forbidden in the whole site.
// Changes that restore capacity (undrain, node_back) are allowed during some incidents. All else is forbidden
// where the scopes overlap.
inline std::vector<TableRow> DefaultTable() {
  return {{IncidentKind::kZoneDown, ChangeKind::kVoters, Reach::kEverywhere},
          {IncidentKind::kZoneDown, ChangeKind::kUpgrade, Reach::kEverywhere},
          {IncidentKind::kNoLists, ChangeKind::kUndrain, Reach::kNowhere},
          {IncidentKind::kRefusals, ChangeKind::kUndrain, Reach::kNowhere},
          {IncidentKind::kRefusals, ChangeKind::kNodeBack, Reach::kNowhere}};
}

// When observations of the fleet open and close an incident of one kind. Shares are fractions of 1; high >
// low.
struct ObservationRule {
  double high = 0;  // opens when at or above this for `open_after` without interruption
  double low = 0;   // closes when below this for `close_after` without interruption
  Micros open_after = 5 * kSecond;
  Micros close_after = 60 * kSecond;
  bool operator==(const ObservationRule&) const = default;
};

// Settings of the change freeze.
struct Rules {
  // Leases. A holder counts its lease from before its request; the leader adds the clock drift to its own
  // count.
  Micros step_lease = 2 * kSecond;  // time in which a granted step may begin
  // without a command of the owner the change is abandoned; >= step_lease
  Micros change_lease = 30 * kSecond;
  // Limits on concurrent changes.
  uint64_t max_balancers_per_zone = 1;  // balancers of one zone with a change under way
  uint64_t max_nodes_per_group = 2;     // nodes of one host group with a change under way
  // Incidents.
  std::vector<TableRow> table = DefaultTable();
  // Kinds of change that an incident of the same scope allows, since they remedy it.
  std::vector<ChangeKind> remedial_kinds = {ChangeKind::kNodeOut};
  std::array<StepPolicy, kChangeKindCount> step_policies = {
      StepPolicy::kFinish, StepPolicy::kFinish, StepPolicy::kUndo,    // node_out, node_back, drain
      StepPolicy::kFinish, StepPolicy::kFinish, StepPolicy::kFinish,  // undrain, reload, upgrade
      StepPolicy::kFinish, StepPolicy::kFinish};                      // restart, voters
  Micros retry_after = 30 * kSecond;  // given with a refusal unless a better time is known
  // an observed incident ends this long after it was last confirmed
  Micros observed_incident_ttl = 10 * 60 * kSecond;
  // Kinds that proceed locally without a majority and are reported afterwards.
  std::vector<ChangeKind> emergency_kinds = {ChangeKind::kNodeOut, ChangeKind::kRestart};
  // By IncidentKind; kOperator has none.
  std::array<ObservationRule, kIncidentKindCount> observation_rules = {
      ObservationRule{},
      {0.5, 0.2, 5 * kSecond, 60 * kSecond},
      {0.3, 0.1, 5 * kSecond, 60 * kSecond},
      {1.0, 0.5, 1 * kSecond, 60 * kSecond},
      {0.1, 0.02, 10 * kSecond, 60 * kSecond}};
  // Bounds of the state.
  uint64_t max_changes = 256;    // under way
  uint64_t max_incidents = 64;   // open
  uint64_t max_history = 512;    // last changes and incidents that ended
  uint64_t max_overrides = 256;  // last emergency overrides
  // emergency actions that one balancer records until the council is back
  uint64_t max_local_emergencies = 64;
  bool operator==(const Rules&) const = default;
};

// Returns why the rules are not valid, or an empty string if they are.
const char* InvalidReason(const Rules& rules);

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_RULES_H_
