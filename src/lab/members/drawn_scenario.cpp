#include "lab/members/drawn_scenario.h"

namespace burlfall::lab {
namespace {

constexpr double kFaultsUntil = 40;
constexpr double kLength = 75;

}  // namespace

Scenario DrawScenario(uint64_t seed) {
  Stream64 draws(seed, "scenario");
  Scenario scenario;
  scenario.title = "drawn";
  scenario.members = draws.Chance(0.1) ? 100 + draws.Below(201) : 5 + draws.Below(36);
  scenario.zones = {"a", "b", "c"};
  scenario.zones.resize(static_cast<size_t>(1 + draws.Below(3)));
  scenario.start_s = {0, draws.Uniform() * 3};
  scenario.dead_seeds = draws.Below(3);
  scenario.length_s = kLength;
  const char* groups[] = {"one", "one", "tenth", "fifth", "third", "half", "3", "zone:a"};
  const int count = 1 + draws.Below(6);
  for (int i = 0; i < count; ++i) {
    MemberFault fault;
    fault.kind = static_cast<MemberFaultKind>(draws.Below(5));
    fault.at_s = 4 + draws.Uniform() * (kFaultsUntil - 10);
    const double length = 0.2 + draws.Uniform() * (kFaultsUntil - fault.at_s);
    fault.for_s = {length, length};
    fault.who = groups[draws.Below(8)];
    switch (fault.kind) {
      case MemberFaultKind::kPaused:
        fault.for_s = {0.2, 0.3 + draws.Uniform() * 5};
        fault.again_s = {0.2, 1 + draws.Uniform() * 5};
        fault.until_s = kFaultsUntil - fault.for_s.high;
        break;
      case MemberFaultKind::kCut:
        fault.to = draws.Chance(0.5) ? "rest" : groups[draws.Below(8)];
        fault.both_ways = draws.Chance(0.4);
        // Of one zone there is no rest.
        if (scenario.zones.size() == 1 && fault.who == "zone:a") fault.who = "half";
        break;
      case MemberFaultKind::kLossy:
        fault.who = draws.Chance(0.5) ? "all" : fault.who;
        fault.to = "all";
        fault.lost = draws.Uniform() * 0.5;
        fault.delay_ms = {0, draws.Uniform() * 400};
        fault.doubled = draws.Uniform() * 0.3;
        fault.reordered = draws.Uniform() * 0.3;
        break;
      default:
        // For good; one alone, as members that start when no seed is left can't find one another.
        if (draws.Chance(0.3)) {
          fault.for_s = {0, 0};
          fault.who = "one";
        }
        break;
    }
    scenario.faults.push_back(fault);
  }
  // What is said of whom meanwhile is measured elsewhere: here all may look dead to all for a while.
  scenario.goals.false_deaths = 1000000000;
  scenario.goals.equal_within_s = 25;
  return scenario;
}

}  // namespace burlfall::lab
