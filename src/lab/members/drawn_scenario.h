// A scenario that a seed draws: 5 to 300 members, and faults of every kind on top of one another. Once they
// are over, all views must come together.
#ifndef BURLFALL_LAB_MEMBERS_DRAWN_SCENARIO_H_
#define BURLFALL_LAB_MEMBERS_DRAWN_SCENARIO_H_

#include "lab/members/scenario.h"

namespace burlfall::lab {

Scenario DrawScenario(uint64_t seed);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_MEMBERS_DRAWN_SCENARIO_H_
