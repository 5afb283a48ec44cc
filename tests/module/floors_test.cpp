// Minimum service under 1.5 times the capacity: an equal share is then two thirds of the requests of each
// class, effect, tenant and third of the time. The tests check how many were answered within the aim.
#include <gtest/gtest.h>

#include "fleet_simulation.h"

namespace meadowslip {
namespace {

constexpr double kOverload = 1.5;
constexpr double kEqualShare = 1 / kOverload;
constexpr Micros kThird = 10 * kSecond;

struct Workload {
  const char* name;
  std::vector<Micros> work;
  std::vector<double> worth;
  bool effects = false;      // classes are safe, keyed and unsafe; otherwise all are safe
  double failure_share = 0;  // share of requests that fail at the nodes
};
const std::vector<Micros> kEqualWork(3, 20 * kMs);
const std::vector<Micros> kUnequalWork = {5 * kMs, 20 * kMs, 60 * kMs};
const Workload kEffects = {"effects", kEqualWork, {1, 1, 1}, true};
const Workload kEffectsAndFailures = {"effects and failures", kEqualWork, {1, 1, 1}, true, 0.05};
const Workload kUnequalCosts = {"unequal costs", kUnequalWork, {1, 1, 1}};
const Workload kWorthPerWork = {"worth per work", kUnequalWork, {0.25, 1, 3}};

std::unique_ptr<FleetSimulation> Overloaded(const Workload& workload, int balancers, int nodes,
                                            double first_quota = 0) {
  FleetSimulation::Plan plan;
  Settings& s = plan.settings = PlainSettings();
  double work = 0;
  for (size_t k = 0; k < s.classes.size(); ++k) {
    RequestClass& c = s.classes[k];
    if (!workload.effects) c.idempotency = Idempotency::kSafe;
    c.group = DedupGroup::kAll;
    c.dedup_window = kSecond;
    c.aim = 400 * kMs;
    c.deadline = kSecond;
    c.worth = workload.worth[k];
    work += static_cast<double>(workload.work[k]) / static_cast<double>(s.classes.size());
  }
  if (first_quota >
      0) {  // share of all requests; the second tenant's quota is a tenth; both send equally many
    const double per_s = kOverload * nodes * 1e6 / work;
    s.over_share_worth = 0.1;
    s.tenants = {{first_quota * per_s, 0.5}, {0.1 * per_s, 0.5}};
  }
  s.nodes = balancers;
  s.second_copies = true;
  s.resolution = 5 * kMs;
  plan.nodes = nodes;
  plan.work = workload.work;
  auto fleet_ptr = std::make_unique<FleetSimulation>(plan);
  FleetSimulation& fleet = *fleet_ptr;
  for (BackendId id = 1; id <= fleet.nodes(); ++id) fleet.node(id).failure_share = workload.failure_share;
  fleet.NotifyAll(ListKind::kFull, fleet.Entries(), 0);
  fleet.Run(0.5, 10 * kSecond);
  fleet.CountFromNow();
  fleet.Run(kOverload, 3 * kThird);
  return fleet_ptr;
}

void ExpectNoneStarved(const std::map<int, FleetSimulation::ServedCount>& parts, const Workload& workload,
                       int balancers, int nodes) {
  EXPECT_EQ(parts.size(), workload.work.size());
  for (const auto& [part, tally] : parts) {
    EXPECT_GE(tally.share(), kEqualShare / 2)
        << workload.name << ": class " << part << ", " << balancers << " balancers, " << nodes << " nodes";
  }
}

TEST(Floors, NoClassOfThirtyBalancersIsServedLessThanHalfOfItsEqualShare) {
  for (const Workload& workload : {kEffects, kEffectsAndFailures, kUnequalCosts}) {
    for (const int nodes : {12, 40}) {
      ExpectNoneStarved(Overloaded(workload, 30, nodes)->by_class, workload, 30, nodes);
    }
  }
}

// Guards against starvation of low-cost classes: 0.004 to 0.30 of their requests were served, although they
// are worth as much for their work as the high-cost class. The queue was ordered strictly by worth per
// latency, so a difference of 1% decided for a whole class, also in the capacity that a sparse balancer
// reserves for classes of higher value. With work in place of latency and the same strict order, 0.00 to 0.33
// were served, so the strict order was the cause. Therefore a class's value now falls as the share of it that
// is served rises.
TEST(Floors, NoClassWorthAsMuchForItsWorkIsStarved) {
  for (const int nodes : {12, 40}) {
    ExpectNoneStarved(Overloaded(kWorthPerWork, 30, nodes)->by_class, kWorthPerWork, 30, nodes);
  }
  for (const int balancers : {1, 4}) {
    ExpectNoneStarved(Overloaded(kWorthPerWork, balancers, 12)->by_class, kWorthPerWork, balancers, 12);
  }
  ExpectNoneStarved(Overloaded(kEffectsAndFailures, 1, 12)->by_class, kEffectsAndFailures, 1, 12);
}

TEST(Floors, ATenantWithinItsQuotaIsServedAtLeastItsEqualShare) {
  for (const auto& [balancers, nodes] : {std::pair(1, 12), std::pair(4, 12), std::pair(30, 12)}) {
    const auto fleet = Overloaded(kEffects, balancers, nodes, 0.6);
    EXPECT_GE(fleet->by_tenant.at(0).share(), kEqualShare) << balancers << " balancers";
    EXPECT_GT(fleet->by_tenant.at(0).share(), fleet->by_tenant.at(1).share()) << balancers << " balancers";
  }
}

TEST(Floors, NoThirdOfTheTimeIsServedLessThanHalfOfItsEqualShare) {
  for (const auto& [balancers, nodes] : {std::pair(1, 12), std::pair(4, 12), std::pair(30, 12)}) {
    std::map<Micros, FleetSimulation::ServedCount> thirds;
    const auto fleet = Overloaded(kEffectsAndFailures, balancers, nodes);
    const Micros begin = fleet->now / kSecond - 3 * kThird / kSecond;
    for (const auto& [second, tally] : fleet->by_second) {
      FleetSimulation::ServedCount& third = thirds[(second - begin) * kSecond / kThird];
      third.asked += tally.asked;
      third.in_time += tally.in_time;
    }
    EXPECT_EQ(thirds.size(), 3u);
    for (const auto& [third, tally] : thirds) EXPECT_GE(tally.share(), kEqualShare / 2) << balancers;
  }
}

}  // namespace
}  // namespace meadowslip
