// Cold nodes under thirty balancers that are notified of the start in all possible ways. The tests check the
// work counted at the node.
#include <gtest/gtest.h>

#include <ostream>

#include "fleet_simulation.h"

namespace meadowslip {
namespace {

// Settings for cold nodes, and the work of the classes, which the balancers are not told.
struct ColdSettings {
  const char* name;
  double factor;
  Micros window;
  double cold_capacity;
  Micros warm_after;
  std::vector<Micros> work;
};
const ColdSettings kFour = {"four", 4, 1500 * kMs, 0.12, 23 * kSecond, {32 * kMs, 55 * kMs, 51 * kMs}};
const ColdSettings kThree = {"three", 3, 2000 * kMs, 0.13, 24 * kSecond, {25 * kMs, 37 * kMs, 41 * kMs}};
const ColdSettings kTwo = {"two", 2, 1500 * kMs, 0.2, 40 * kSecond, {50 * kMs, 70 * kMs, 90 * kMs}};
const ColdSettings kOneAndAHalf = {"1.5", 1.5, 1500 * kMs, 0.1, 60 * kSecond, {50 * kMs, 50 * kMs, 50 * kMs}};
const ColdSettings kLowCost = {"light", 4, 1500 * kMs, 0.12, 23 * kSecond, {4 * kMs, 5 * kMs, 6 * kMs}};

FleetSimulation::Plan PlanOf(const ColdSettings& config, int balancers, int nodes, uint64_t seed) {
  FleetSimulation::Plan plan;
  Settings& s = plan.settings = PlainSettings();
  for (RequestClass& c : s.classes) {
    c.idempotency = Idempotency::kSafe;
    c.aim = 400 * kMs;
    c.deadline = kSecond;
  }
  s.nodes = balancers;
  s.second_copies = true;
  s.resolution = 5 * kMs;
  s.overload_factor = config.factor;
  s.overload_window = config.window;
  s.start_capacity = config.cold_capacity;
  s.warm_after = config.warm_after;
  plan.nodes = nodes;
  plan.work = config.work;
  plan.seed = seed;
  return plan;
}

// The balancers learn the work of requests at all nodes, or at all but the one that will be added.
void LearnWork(FleetSimulation& f, BackendId from = 1) {
  f.NotifyAll(ListKind::kFull, f.Entries(from), 0);
  f.Run(0.1, 40 * kSecond);
}
// Bursts of 1.5 times the total capacity, with almost no traffic in between.
void RunBursts(FleetSimulation& f) {
  for (int i = 0; i < 3; ++i) {
    f.Run(1.5, 3 * kSecond);
    f.Run(0.01, 3 * kSecond);
  }
}
void NotifyChange(FleetSimulation& f, Micros within, Micros clock_offset = 0,
                  BackendState state = BackendState::kReady) {
  BackendEntry e = f.Entry(FleetSimulation::kColdNode);
  e.started_at += clock_offset;
  e.state = state;
  f.NotifyAll(ListKind::kChanges, {e}, within);
}
void StartAndNotify(FleetSimulation& f) {
  f.StartCold();
  NotifyChange(f, 300 * kMs);
}

struct Case {
  const char* name;
  std::function<void(FleetSimulation&)> scenario;
};
void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

const std::vector<Case>& Cases() {
  static const std::vector<Case> cases = {
      {"ANewNode",
       [](FleetSimulation& f) {
         LearnWork(f, 2);
         StartAndNotify(f);
       }},
      {"ANewNodeAfterAQuietTime",
       [](FleetSimulation& f) {
         LearnWork(f, 2);
         StartAndNotify(f);
         f.Run(0.01, 6 * kSecond);
       }},
      {"BackAfterACrash",
       [](FleetSimulation& f) {
         LearnWork(f);
         f.node(FleetSimulation::kColdNode).down_until = f.now + kSecond;
         f.Run(0.6, kSecond);
         f.StartCold();
         NotifyChange(f, 500 * kMs);
       }},
      {"BackAfterASleep",
       [](FleetSimulation& f) {
         LearnWork(f);
         f.node(FleetSimulation::kColdNode).failure_share = 1;
         f.Run(0.6, 5 * kSecond);
         f.node(FleetSimulation::kColdNode).failure_share = 0;
         StartAndNotify(f);
       }},
      {"AStartToldLate",
       [](FleetSimulation& f) {
         LearnWork(f);
         f.StartCold();
         f.Run(0.6, 3 * kSecond);
         NotifyChange(f, 300 * kMs);
       }},
      {"AStartInTheFuture",
       [](FleetSimulation& f) {
         LearnWork(f);
         f.StartCold();
         NotifyChange(f, 300 * kMs, 4 * kSecond);
       }},
      // What the host group reports for a start in the future: first the time at which it was received, and
      // later the listed time, once that has come.
      {"AStartToldAnewAsLater",
       [](FleetSimulation& f) {
         LearnWork(f);
         StartAndNotify(f);
         f.Run(1.5, 4 * kSecond);
         NotifyChange(f, 0, 4 * kSecond);
       }},
      {"AllClocksTwoSecondsAhead",
       [](FleetSimulation& f) {
         LearnWork(f);
         f.StartCold();
         f.clock_tolerance = 2 * kSecond;
         NotifyChange(f, 300 * kMs, -2 * kSecond);
       }},
      {"ThreeBalancersTakeItForWarm",
       [](FleetSimulation& f) {
         LearnWork(f);
         StartAndNotify(f);
         for (const int i : {0, 1, 10}) {
           f.ScheduleAt(f.now + 400 * kMs, [&f, i] {
             f.RestartBalancer(i);
             std::vector<BackendEntry> known = f.Entries();
             known[0].started_at = 0;
             f.clock_tolerance = f.now;  // these balancers count as notified
             f.Notify(i, ListKind::kCached, known);
             f.clock_tolerance = 0;
           });
         }
       }},
      {"BalancersRestartWithAnOlderList",
       [](FleetSimulation& f) {
         LearnWork(f);
         StartAndNotify(f);
         f.Run(0.6, kSecond);
         for (int i = 0; i < f.settings.nodes; ++i) {
           f.ScheduleAt(f.now + i * 100 * kMs, [&f, i] {
             f.RestartBalancer(i);
             std::vector<BackendEntry> known = f.Entries();
             known[0].started_at = 0;
             f.Notify(i, ListKind::kCached, known);
           });
           f.ScheduleAt(f.now + i * 100 * kMs + 700 * kMs,
                        [&f, i] { f.Notify(i, ListKind::kFull, f.Entries()); });
         }
       }},
      {"AllBalancersRestartAtOnce",
       [](FleetSimulation& f) {
         LearnWork(f);
         StartAndNotify(f);
         f.Run(0.01, kSecond);
         for (int i = 0; i < f.settings.nodes; ++i) {
           f.ScheduleAt(f.now + i * 10 * kMs, [&f, i] {
             f.RestartBalancer(i);
             f.Notify(i, ListKind::kCached, f.Entries());
           });
         }
       }},
      {"BackAfterADrain",
       [](FleetSimulation& f) {
         LearnWork(f);
         StartAndNotify(f);
         f.Run(0.6, kSecond);
         NotifyChange(f, 300 * kMs, 0, BackendState::kDraining);
         f.Run(0.01, 2 * kSecond);
         NotifyChange(f, 100 * kMs);
       }},
      {"BackOnTheList",
       [](FleetSimulation& f) {
         LearnWork(f);
         StartAndNotify(f);
         f.Run(0.6, kSecond);
         f.NotifyAll(ListKind::kFull, f.Entries(2), 300 * kMs);
         f.Run(0.01, 2 * kSecond);
         f.NotifyAll(ListKind::kFull, f.Entries(), 100 * kMs);
       }},
      // Put back in service manually, at each balancer at another time, which then counts as its start.
      {"PutBackByHand",
       [](FleetSimulation& f) {
         LearnWork(f);
         f.StartCold();
         for (int i = 0; i < f.settings.nodes; ++i) {
           f.ScheduleAt(f.now + i * 100 * kMs, [&f, i] {
             BackendEntry e = f.Entry(FleetSimulation::kColdNode);
             e.started_at = f.now;
             f.Notify(i, ListKind::kCached, {e});
           });
         }
       }},
      {"OfHalfTheOthersSpeed",
       [](FleetSimulation& f) {
         f.node(FleetSimulation::kColdNode).speed = 0.5;
         LearnWork(f);
         StartAndNotify(f);
       }},
      // Retries of requests that failed elsewhere, and of requests that are not answered there.
      {"TheOthersFail",
       [](FleetSimulation& f) {
         LearnWork(f);
         StartAndNotify(f);
         for (BackendId id = 2; id < f.nodes(); ++id) f.node(id).failure_share = 0.5;
       }},
      {"HalfOfTheOthersHang",
       [](FleetSimulation& f) {
         LearnWork(f);
         StartAndNotify(f);
         for (BackendId id = 2; id <= f.nodes() / 2; ++id) f.node(id).hangs = true;
       }},
      // Trials.
      {"ItFailsItself",
       [](FleetSimulation& f) {
         LearnWork(f);
         StartAndNotify(f);
         f.node(FleetSimulation::kColdNode).failure_share = 0.9;
       }},
      {"AllAreNew",
       [](FleetSimulation& f) {
         f.StartCold();
         f.NotifyAll(ListKind::kFull, f.Entries(), 100 * kMs);
       }},
      {"AllAreNewAndEveryNodeIsCold",
       [](FleetSimulation& f) {
         for (BackendId id = 1; id <= f.nodes(); ++id) f.node(id).started_at = f.now;
         f.NotifyAll(ListKind::kFull, f.Entries(), 100 * kMs);
       }},
  };
  return cases;
}

// A run is meaningful only if the cold node gets requests: on average at least one for each seed. A single
// run with an average of six requests gets none about once in a hundred times.
void RunScenario(const Case& c, const ColdSettings& config, int balancers, int nodes, uint64_t seeds) {
  double cold_requests = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    FleetSimulation fleet(PlanOf(config, balancers, nodes, seed));
    c.scenario(fleet);
    RunBursts(fleet);
    EXPECT_LE(fleet.count.worst, 1) << config.name << ", " << balancers << " balancers, " << nodes
                                    << " nodes, seed " << seed << ": " << fleet.count.requests_in_window
                                    << " requests of mean work where N is " << fleet.count.allowed;
    cold_requests += fleet.count.cold_requests;
  }
  EXPECT_GE(cold_requests, static_cast<double>(seeds)) << config.name << ", " << nodes << " nodes";
}

class Cold : public testing::TestWithParam<Case> {};

// With fewer nodes than balancers each balancer uses a subset of them, otherwise all.
TEST_P(Cold, ThirtyBalancersStayWithinTheColdBudget) {
  for (const ColdSettings& config : {kFour, kThree}) {
    RunScenario(GetParam(), config, 30, 12, 2);
    RunScenario(GetParam(), config, 30, 40, 1);
  }
  RunScenario(GetParam(), kLowCost, 30, 12, 1);
}

INSTANTIATE_TEST_SUITE_P(Nodes, Cold, testing::ValuesIn(Cases()),
                         [](const auto& one) { return std::string(one.param.name); });

// Guards against budget that many balancers save up for a cold node while there is little traffic: in the
// first moment of a burst each would send one or two requests there. This happens if a balancer's share of
// the budget in a window is less than one request.
TEST(ColdBurst, UnusedBudgetIsNotSavedUp) {
  for (const ColdSettings& config : {kTwo, kOneAndAHalf}) {
    for (const int nodes : {12, 40}) {
      for (const Micros quiet : {0, 3, 6, 12}) {
        const auto scenario = [&](FleetSimulation& f) {
          LearnWork(f, 2);
          StartAndNotify(f);
          f.Run(0.01, quiet * kSecond);
        };
        SCOPED_TRACE(quiet);
        RunScenario({"", scenario}, config, 30, nodes, 3);
      }
    }
  }
}

// The same for retries of requests that fail elsewhere or hang there.
TEST(ColdBurst, RetriesHaveNoSavedUpBudget) {
  for (const Case& c : Cases()) {
    const std::string name = c.name;
    if (name == "TheOthersFail" || name == "HalfOfTheOthersHang") RunScenario(c, kTwo, 30, 12, 4);
  }
}

// Guards against overload of nodes that had just started: with aims of 120 ms, balancers without statistics
// sent one node 121 requests of mean work where it tolerates 74, and 72 where it tolerates 25 (overload
// factors 4 and 2, thirty balancers and twelve nodes). They assumed an eighth of the aim, 15 ms, for requests
// that take 46 and 70 ms. They did not learn, since a cold node answers none of these requests within the
// aim: it rejects them, or they have less time left than that. An answer elsewhere moved the estimate by only
// a twentieth. Therefore only one request at a time of classes without statistics goes to cold nodes, each
// unanswered one multiplies the assumed work of these classes by four, and the first answers replace it.
class ColdShortAims : public testing::TestWithParam<const ColdSettings*> {};

void RunWithShortAims(const std::string& name, const ColdSettings& config, int balancers, int nodes) {
  for (const Case& c : Cases()) {
    if (c.name != name) continue;
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      FleetSimulation::Plan plan = PlanOf(config, balancers, nodes, seed);
      for (RequestClass& one : plan.settings.classes) {
        one.aim = 120 * kMs;
        one.deadline = 360 * kMs;
      }
      FleetSimulation fleet(plan);
      c.scenario(fleet);
      RunBursts(fleet);
      EXPECT_LE(fleet.count.worst, 1)
          << name << ", " << balancers << " balancers, " << nodes << " nodes, seed " << seed << ": "
          << fleet.count.requests_in_window << " where N is " << fleet.count.allowed;
    }
  }
}

TEST_P(ColdShortAims, BalancersWithoutStatisticsOverloadNoNode) {
  for (const auto& [balancers, nodes] :
       {std::pair(30, 12), std::pair(30, 40), std::pair(8, 12), std::pair(2, 6)}) {
    RunWithShortAims("AllAreNew", *GetParam(), balancers, nodes);
    RunWithShortAims("AllAreNewAndEveryNodeIsCold", *GetParam(), balancers, nodes);
  }
}
TEST_P(ColdShortAims, BalancersWithStatisticsOverloadNoNode) {
  RunWithShortAims("ANewNode", *GetParam(), 30, 12);
}
INSTANTIATE_TEST_SUITE_P(Nodes, ColdShortAims, testing::Values(&kFour, &kThree, &kTwo), [](const auto& one) {
  return std::string("Multiple").append(std::to_string(static_cast<int>(one.param->factor)));
});

// Fails (F55): the capacity of a cold node is computed as that of one core of the other nodes' speed. At half
// of that speed it gets 29 requests of mean work where it tolerates 28.5, for one seed of four.
TEST(ColdShortAimsAtHalfSpeed, ANodeIsNotPushedOver) {
  for (const ColdSettings* config : {&kFour, &kThree, &kTwo})
    RunWithShortAims("OfHalfTheOthersSpeed", *config, 30, 12);
}

}  // namespace
}  // namespace meadowslip
