// What the freeze goes by: the settings as a plain struct. They stand in the council's state (kRules), so
// that all replicas decide alike; the leader proposes its own where they differ.
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
constexpr size_t kChangeKinds = 8;
const char* NameOf(ChangeKind kind);  // node_out, node_back, drain, undrain, reload, upgrade, restart, voters

enum class IncidentKind : uint8_t {
  kOperator,     // opened by a person, of no other kind
  kZoneDown,     // too many members of a zone are dead
  kNoLists,      // too many balancers without a list
  kEjectionCap,  // more hosts are bad than may be ejected
  kRefusals,     // too large a share of queries refused
};
constexpr size_t kIncidentKinds = 5;
const char* NameOf(IncidentKind kind);  // operator, zone_down, no_lists, ejection_cap, refusals

// Where an incident forbids a change.
enum class Reach : uint8_t {
  kNowhere,
  kWhereScopesMeet,
  kEverywhere,  // in the whole site, whatever the incident's scope
};
const char* NameOf(Reach reach);  // nowhere, where_scopes_meet, everywhere

// What becomes of a step that is under way as a conflicting incident opens.
enum class UnderWay : uint8_t { kFinish, kUndo };
const char* NameOf(UnderWay how);  // finish, undo

// A line of the table; an empty kind stands for all. The first line that fits decides; with none that fits, a
// change is forbidden where scopes meet.
struct Row {
  std::optional<IncidentKind> incident;
  std::optional<ChangeKind> change;
  Reach reach = Reach::kWhereScopesMeet;
  bool operator==(const Row&) const = default;
};
constexpr size_t kMostRows = 64;
// What the bounds in the settings may be at most.
constexpr uint64_t kMostChanges = 1024;
constexpr uint64_t kMostIncidents = 256;
constexpr uint64_t kMostHistory = 4096;

// The defaults of the table: a change of voters stops everywhere while a zone is down; what brings work back
// (undrain, node_back) is forbidden only where scopes meet, as all else is.
inline std::vector<Row> DefaultTable() {
  return {{IncidentKind::kZoneDown, ChangeKind::kVoters, Reach::kEverywhere},
          {IncidentKind::kZoneDown, ChangeKind::kUpgrade, Reach::kEverywhere},
          {IncidentKind::kNoLists, ChangeKind::kUndrain, Reach::kNowhere},
          {IncidentKind::kRefusals, ChangeKind::kUndrain, Reach::kNowhere},
          {IncidentKind::kRefusals, ChangeKind::kNodeBack, Reach::kNowhere}};
}

// How the fleet's sights open and close an incident of one kind. Shares are of 1. high > low.
struct SightRule {
  double high = 0;  // opens at or above this, for `open_after` without a break
  double low = 0;   // closes below this, for `close_after` without a break
  Micros open_after = 5 * kSecond;
  Micros close_after = 60 * kSecond;
  bool operator==(const SightRule&) const = default;
};

struct Rules {
  // Leases. A holder counts its own from before it asked; the leader's count is longer by the drift.
  Micros step_lease = 2 * kSecond;     // in which a granted step may begin
  Micros change_lease = 30 * kSecond;  // without a word of the owner: the change is abandoned. >= step_lease
  // On their way at once.
  uint64_t most_balancers_of_zone = 1;  // balancers of one zone with a change under way
  uint64_t most_nodes_of_group = 2;     // nodes of one host group
  // Incidents.
  std::vector<Row> table = DefaultTable();
  // The kinds that make it better where the change is about what the incident is about.
  std::vector<ChangeKind> betters = {ChangeKind::kNodeOut};
  std::array<UnderWay, kChangeKinds> under_way = {
      UnderWay::kFinish, UnderWay::kFinish, UnderWay::kUndo,    // node_out, node_back, drain
      UnderWay::kFinish, UnderWay::kFinish, UnderWay::kFinish,  // undrain, reload, upgrade
      UnderWay::kFinish, UnderWay::kFinish};                    // restart, voters
  Micros ask_again = 30 * kSecond;         // told to whoever is refused, where nothing better is known
  Micros sight_lasts = 10 * 60 * kSecond;  // an incident by sight ends so long after it was last confirmed
  // Without a majority these go on locally, and are told afterwards.
  std::vector<ChangeKind> emergencies = {ChangeKind::kNodeOut, ChangeKind::kRestart};
  // By IncidentKind; kOperator has none.
  std::array<SightRule, kIncidentKinds> sights = {SightRule{},
                                                  {0.5, 0.2, 5 * kSecond, 60 * kSecond},
                                                  {0.3, 0.1, 5 * kSecond, 60 * kSecond},
                                                  {1.0, 0.5, 1 * kSecond, 60 * kSecond},
                                                  {0.1, 0.02, 10 * kSecond, 60 * kSecond}};
  // Bounds.
  uint64_t most_changes = 256;   // under way
  uint64_t most_incidents = 64;  // open
  uint64_t most_history = 512;   // changes and incidents that ended: the last
  uint64_t most_glass = 256;     // breaks of glass: the last
  uint64_t most_local = 64;      // emergencies that one balancer keeps until the council is back
  bool operator==(const Rules&) const = default;
};

// Why they can't be used, for whoever reads them from a file; empty: they can.
const char* WhyNot(const Rules& rules);

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_RULES_H_
