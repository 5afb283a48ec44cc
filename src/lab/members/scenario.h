// What a cluster of members goes through, as a TOML file tells it: how many, how the network between them
// treats what they send, what befalls whom and when, and what must be true of it. It is played by real
// processes or by minds on a virtual clock; both are judged alike (member_judge.h).
#ifndef BURLFALL_LAB_MEMBERS_SCENARIO_H_
#define BURLFALL_LAB_MEMBERS_SCENARIO_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/schema.h"
#include "io/time.h"
#include "lab/paths/path_model.h"

namespace burlfall::lab {

enum class MemberFaultKind {
  kKilled,  // at once; `for_s` later they start again, in a new life (0: never)
  kLeave,   // in order; likewise
  kPaused,  // stand still for `for_s`, and again after `again_s` until `until_s`
  kCut,     // nothing gets from `who` to `to`
  kLossy,   // paths from `who` to `to` treat datagrams and connections as said
};

struct MemberFault {
  MemberFaultKind kind = MemberFaultKind::kKilled;
  double at_s = 0;
  Range for_s = {0, 0};
  Range again_s = {0, 0};
  double until_s = 0;
  std::string who = "one";
  std::string to = "rest";
  bool both_ways = false;
  double lost = 0;
  Range delay_ms = {0, 0};
  double doubled = 0;
  double reordered = 0;
};

struct MemberGoals {
  std::optional<double> known_median_s;  // from a death to its being known, over all who live
  std::optional<double> known_worst_s;
  std::optional<double> joined_worst_s;    // from a start to its being known to all
  int false_deaths = 0;                    // most, each in the eyes of one member
  std::optional<double> equal_within_s;    // after the last fault
  std::optional<double> cut_off_within_s;  // whoever is cut off whole: out for all, and known to itself
  bool nobody_else = false;                // changes in anybody's view but of those whom a fault is about
};

struct Scenario {
  std::string title;
  std::string about;
  uint64_t seed = 1;
  int members = 5;
  std::vector<std::string> zones = {"a"};
  Range start_s = {0, 0};  // each at a moment drawn from it
  int dead_seeds = 0;      // addresses that members ask first, and where nobody is
  double length_s = 30;
  std::vector<MemberFault> faults;
  MemberGoals goals;
};

Schema<Scenario> ScenarioSchema();

// One thing that is done at one moment.
struct MemberAction {
  enum class What { kStart, kKill, kLeave, kPause, kResume, kPath };
  Micros at = 0;
  What what = What::kStart;
  int who = 0;  // of kPath: from
  int to = 0;   // of kPath
  PathQuality quality = {};
  bool operator<(const MemberAction& other) const { return at < other.at; }
};

struct MemberPlan {
  std::vector<std::string> names, zones;
  std::vector<MemberAction> actions;  // by time
  Micros settled_at = 0;              // the last fault is over
  // Whom faults are about: only of these views may change where the goal says so.
  std::vector<bool> touched;
  // Those that are cut off whole, in any direction, from when until when.
  struct CutOff {
    int who = 0;
    Micros from = 0, until = 0;
  };
  std::vector<CutOff> cut_off;
};

// What a seed makes of it. Throws std::runtime_error where a fault names nobody.
MemberPlan DrawMembers(const Scenario& scenario, uint64_t seed);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_MEMBERS_SCENARIO_H_
