// The cost of events in steps: the module is compiled so that each executed basic block is counted. The
// counts are the same on every machine and cover all loops.
#include <gtest/gtest.h>

#include <cmath>

#include "node_harness.h"

namespace {
uint64_t steps = 0;
}

extern "C" void __sanitizer_cov_trace_pc() { ++steps; }

namespace meadowslip {
namespace {

std::vector<BackendEntry> Servers(BackendId n, BackendId from = 1) {
  std::vector<BackendEntry> all(n);
  for (BackendId i = 0; i < n; ++i) {
    all[i].id = from + i;
    all[i].zone = static_cast<int>(i % 3);
    all[i].cell = static_cast<int>(i % 40);
  }
  return all;
}

uint64_t Steps(const auto& what) {
  const uint64_t before = steps;
  what();
  return steps - before;
}

// The steps of a query and its answer, for a number of backends, waiting requests and tenants.
struct Cost {
  double mean = 0;
  uint64_t worst = 0;
};
Cost CostOfQuery(BackendId servers, int waiting, int tenants, double zone_price = 0) {
  Settings s = PlainSettings();
  s.cross_zone_price = zone_price;
  for (RequestClass& c : s.classes) c.aim = c.deadline = 1000 * kSecond;
  s.tenants.assign(static_cast<size_t>(tenants), Tenant{10, 1, ""});
  NodeHarness b(s);
  b.List(ListKind::kFull, Servers(servers));
  if (waiting > 0) {  // until no backend has capacity
    for (BackendId i = 0; i < 3 * servers; ++i) b.Request(0, 1000 * kSecond);
    for (int i = 0; i < waiting; ++i) b.Request(i % 3, 1000 * kSecond, i % std::max(1, tenants));
  }
  Cost cost;
  constexpr int kQueries = 400;
  size_t answered = 0;
  for (int i = 0; i < kQueries; ++i) {
    b.AdvanceTime(kMs);
    const uint64_t taken = Steps([&] {
      b.Request(i % 3, 1000 * kSecond, tenants > 0 ? i % tenants : 0);
      while (answered < b.actions.size() && b.actions[answered].act != Act::kSend) ++answered;
      if (answered < b.actions.size()) b.Result(b.actions[answered++].id, 0, Outcome::kOk);
    });
    cost.mean += static_cast<double>(taken) / kQueries;
    cost.worst = std::max(cost.worst, taken);
  }
  return cost;
}

TEST(Steps, OfAQueryDoNotGrowWithTheServers) {
  for (double price : {0.0, 0.5}) {
    const Cost baseline = CostOfQuery(20, 0, 2, price);
    ASSERT_GT(baseline.mean, 50);  // otherwise nothing is counted
    for (BackendId servers : {200u, 2000u, 20000u}) {
      const Cost many = CostOfQuery(servers, 0, 2, price);
      EXPECT_LT(many.mean, 1.3 * baseline.mean) << servers;
      EXPECT_LT(many.worst, 2 * baseline.worst) << servers;
    }
  }
}

TEST(Steps, OfAQueryGrowAtMostWithTheLogarithmOfTheQueue) {
  const Cost baseline = CostOfQuery(20, 50, 2);
  for (int waiting : {500, 5000, 50000}) {
    const Cost many = CostOfQuery(20, waiting, 2);
    EXPECT_LT(many.mean, 1.3 * baseline.mean + 30 * std::log2(waiting / 50.0)) << waiting;
    EXPECT_LT(many.worst, 2 * static_cast<double>(baseline.worst) + 60 * std::log2(waiting / 50.0))
        << waiting;
  }
}

TEST(Steps, OfAQueryDoNotGrowWithTheTenants) {
  EXPECT_LT(CostOfQuery(20, 50, 5000).mean, 1.2 * CostOfQuery(20, 50, 2).mean);
}

TEST(Steps, OfAQueryDoNotGrowWithServersThatAreGone) {
  const auto after = [](BackendId gone) {
    NodeHarness b(PlainSettings());
    for (BackendId i = 0; i < gone; i += 1000) b.List(ListKind::kFull, Servers(1000, i + 1));
    b.List(ListKind::kFull, Servers(50, 1'000'000));
    b.AdvanceTime(kSecond);
    return Steps([&] { b.Traffic(100, 0, Outcome::kOk); });
  };
  EXPECT_LT(after(50'000), 1.2 * static_cast<double>(after(1000)));
}

TEST(Steps, OfAListThatChangesOneServerGrowWithTheLogarithmOfAll) {
  const auto change = [](BackendId servers) {
    NodeHarness b(PlainSettings());
    b.List(ListKind::kFull, Servers(servers));
    for (int i = 0; i < 100; ++i) b.Request();
    uint64_t worst = 0;
    for (BackendId i = 1; i <= 20; ++i) {
      b.AdvanceTime(kMs);
      worst = std::max(worst, Steps([&] {
                         b.Change(i, BackendState::kDraining);
                         b.Change(i, BackendState::kReady, b.now);
                       }));
    }
    return static_cast<double>(worst);
  };
  const double baseline = change(20);
  EXPECT_LT(change(200), 1.3 * baseline);
  EXPECT_LT(change(20000), 1.6 * baseline);
}

TEST(Steps, OfAWholeListGrowWithItsEntries) {
  const auto list = [](BackendId servers) {
    NodeHarness b(PlainSettings());
    b.List(ListKind::kFull, Servers(servers));
    return static_cast<double>(Steps([&] { b.List(ListKind::kFull, Servers(servers)); }));
  };
  EXPECT_LT(list(20000), 150 * list(200));
}

TEST(Steps, OfAnEventWithoutCapacityAreFewerThanThoseOfAServedQuery) {
  Settings s = PlainSettings();
  NodeHarness b(s);
  b.List(ListKind::kFull, Servers(20));
  const uint64_t served = Steps([&] { b.Traffic(300, 0, Outcome::kOk); }) / 300;
  for (int i = 0; i < 400; ++i) b.Request(0, 300 * kMs);
  const uint64_t refused = Steps([&] {
                             for (int i = 0; i < 3000; ++i) {
                               b.Request(0, 300 * kMs);
                               b.AdvanceTime(100);
                             }
                           }) /
                           3000;
  EXPECT_LT(refused, served);
}

// A fleet in which every request is difficult to place: backends are asleep, full, cold or not allowed.
TEST(Steps, OfHardCasesStayBounded) {
  const auto worst = [](BackendId servers) {
    Settings s = PlainSettings();
    s.max_attempts = 4;
    s.nodes = 3;
    NodeHarness b(s);
    std::vector<BackendEntry> all = Servers(servers);
    for (BackendEntry& e : all) e.started_at = b.now;  // all backends are cold
    b.List(ListKind::kFull, all);
    b.AdvanceTime(kSecond);  // each has earned its first request: one step each, not one for each event
    b.Request();
    uint64_t most = 0;
    std::vector<RequestId> keyed;
    for (int i = 0; i < 2000; ++i) {
      b.AdvanceTime(500);
      most = std::max(most, Steps([&] { keyed.push_back(b.Request(1, 2 * kSecond, 0, false, 20 * kMs)); }));
      if (i % 2 == 0) {  // it may have run, so it is now bound to its cell
        const RequestId id = keyed[keyed.size() / 2];
        most = std::max(most, Steps([&] { b.Result(id, b.Count(Act::kSend, id) - 1, Outcome::kError); }));
      }
    }
    return static_cast<double>(most);
  };
  const double baseline = worst(40);
  EXPECT_LT(worst(4000), 3 * baseline);
}

}  // namespace
}  // namespace meadowslip
