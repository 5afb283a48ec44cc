// Tests of the generation of scripts and arrivals, and of their random number streams.
#include "lab/script/script.h"

#include <gtest/gtest.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>

#include "lab/script/portable_math.h"

namespace burlfall::lab {
namespace {

Experiment Site() {
  Experiment e;
  e.name = "test";
  e.length_s = 100;
  e.site.nodes = {{.kind = "std", .count = 7, .speed = {0.85, 1.1}},
                  {.kind = "slow", .count = 5, .zone = "bern", .speed = {0.64, 0.86}}};
  e.site.balancers.count = 3;
  e.load.rate_per_s = 2000;
  e.load.zone_shares = {3, 1};
  e.classes = {{.name = "look", .share = 5, .work_ms = {20, 40}},
               {.name = "open", .effect = meadowslip::Idempotency::kUnsafe, .share = 3, .work_ms = {40, 70}},
               {.name = "bill", .effect = meadowslip::Idempotency::kKeyed, .share = 2, .work_ms = {30, 60}}};
  e.tenants = {{.name = "big", .share = 0.7, .quota_per_s = 1000}, {.name = "small", .share = 0.3}};
  return e;
}

std::vector<Arrival> All(const Experiment& e, uint64_t seed = 1) {
  const Script script = GenerateScript(e, seed);
  const auto arrivals = GenerateArrivals(e, script);
  std::vector<Arrival> all;
  for (Arrival a; arrivals->Next(a);) all.push_back(a);
  return all;
}

int Between(
    const std::vector<Arrival>& all, double from_s, double to_s,
    const std::function<bool(const Arrival&)>& counts = [](const Arrival&) { return true; }) {
  return static_cast<int>(std::count_if(all.begin(), all.end(), [&](const Arrival& a) {
    const double at = static_cast<double>(a.at) / 1e6;
    return at >= from_s && at < to_s && counts(a);
  }));
}

// Expects a Poisson count within four standard deviations of its mean.
void ExpectCount(int count, double expected) { EXPECT_NEAR(count, expected, 4 * std::sqrt(expected)); }

// Expects a share of n samples within four standard deviations.
void ExpectShare(double count, double n, double share) {
  EXPECT_NEAR(count, n * share, 4 * std::sqrt(n * share * (1 - share)));
}

TEST(PortableMath, AgreesWithTheLibrary) {
  for (double x = -40; x < 40; x += 0.0173) {
    EXPECT_NEAR(Exp(x) / std::exp(x), 1, 1e-15);
    EXPECT_NEAR(Log(std::exp(x)), x, 1e-15 * std::max(1.0, std::abs(x)));
  }
  for (double p = 1e-12; p < 1; p += 0.00037) {
    EXPECT_NEAR(std::erfc(-NormalQuantile(p) / std::sqrt(2.0)) / 2 / p, 1, 1e-11) << p;
  }
}

TEST(Stream64, DependsOnSeedAndActor) {
  EXPECT_EQ(Stream64(1, "a").Next(), Stream64(1, "a").Next());
  EXPECT_NE(Stream64(1, "a").Next(), Stream64(1, "b").Next());
  EXPECT_NE(Stream64(1, "a").Next(), Stream64(2, "a").Next());
}

TEST(Stream64, DistributionsHaveTheirMeansAndDeviations) {
  Stream64 stream(7, "test");
  constexpr int kDraws = 200000;
  std::map<int, int> below;
  double exponential = 0, normal = 0, square = 0, log_normal = 0, log_square = 0, middle = 0;
  for (int i = 0; i < kDraws; ++i) {
    ++below[stream.Below(6)];
    exponential += stream.Exponential(3);
    const double z = stream.Normal(0, 2);
    normal += z;
    square += z * z;
    const double x = stream.LogNormal(10, 0.5);
    log_normal += x;
    log_square += x * x;
    middle += stream.Between({2, 4});
  }
  EXPECT_EQ(below.size(), 6u);
  for (auto [value, count] : below) ExpectShare(count, kDraws, 1.0 / 6);
  const double root = std::sqrt(kDraws);
  EXPECT_NEAR(exponential / kDraws, 3, 4 * 3 / root);
  EXPECT_NEAR(normal / kDraws, 0, 4 * 2 / root);
  EXPECT_NEAR(square / kDraws, 4, 4 * 4 * std::sqrt(2.0) / root);
  EXPECT_NEAR(log_normal / kDraws, 10, 4 * 5 / root);
  EXPECT_NEAR(std::sqrt(log_square / kDraws - 100), 5, 0.1);
  EXPECT_NEAR(middle / kDraws, 3, 4 * 0.58 / root);
  EXPECT_DOUBLE_EQ(stream.LogNormal(10, 0), 10);
}

TEST(Script, IsTheSameForTheSameSeedOnAnyMachine) {
  Experiment e = Site();
  e.length_s = 20;
  e.load.shape = {{0, 1}, {5, 0.5}, {15, 1.5}};
  for (const FaultTraits& kind : AllFaults()) {
    if (kind.kind > FaultKind::kMisbehavingClients)
      break;  // kinds added later: they would change the checksum below
    e.faults.push_back({.kind = kind.kind, .at_s = {2, 18}, .for_s = {1, 10}, .share = 0.2});
  }
  e.faults[3].size = {1.5, 2};
  const std::string once = Describe(e, GenerateScript(e, 42));
  EXPECT_EQ(once, Describe(e, GenerateScript(e, 42)));
  EXPECT_NE(once, Describe(e, GenerateScript(e, 43)));
  // A different checksum means that seeds give other scripts, so runs cannot be compared with older ones.
  EXPECT_EQ(XXH3_64bits(once.data(), once.size()), 13120797521429408234u) << once.substr(0, 4000);
}

TEST(Script, GeneratesNodesWithinTheirGroupsRanges) {
  const Script script = GenerateScript(Site(), 3);
  ASSERT_EQ(script.nodes.size(), 12u);
  EXPECT_EQ(script.nodes[6].name, "std-7");
  EXPECT_EQ(script.nodes[11].name, "slow-5");
  for (size_t i = 0; i < 12; ++i) {
    const NodePlan& node = script.nodes[i];
    EXPECT_EQ(node.zone, i < 7 ? static_cast<int>(i) % 2 : 1);
    EXPECT_TRUE(i < 7 ? node.speed >= 0.85 && node.speed <= 1.1 : node.speed >= 0.64 && node.speed <= 0.86);
    EXPECT_EQ(node.slots, 2);
    EXPECT_EQ(node.queue, 128);
    EXPECT_TRUE(node.links >= 1200 && node.links <= 1800);
    EXPECT_TRUE(node.cold_for >= 15 * kSecond && node.cold_for <= 23 * kSecond);
  }
  EXPECT_EQ(script.balancers[2].zone, 0);
  EXPECT_TRUE(script.mean_work_us[1] >= 40000 && script.mean_work_us[1] <= 70000);
}

TEST(Script, FaultsAffectTheShareTheZoneOrTheNames) {
  Experiment e = Site();
  e.faults = {
      {.kind = FaultKind::kSilentNodes, .at_s = {5, 9}, .for_s = {200, 200}, .share = 0.16},
      {.kind = FaultKind::kSlowNodes, .at_s = {5, 5}, .share = 0.001, .zone = "bern", .size = {0.5, 0.5}},
      {.kind = FaultKind::kNodesGone, .at_s = {6, 6}, .names = {"slow-2", "std-1"}},
      {.kind = FaultKind::kZoneCut, .at_s = {7, 7}, .zone = "bern"},
      {.kind = FaultKind::kBalancersKilled, .at_s = {8, 8}, .share = 0.7},
      {.kind = FaultKind::kReload, .at_s = {9, 9}, .share = 1}};
  for (uint64_t seed = 1; seed < 30; ++seed) {
    std::map<int, Action> by_fault;
    Micros last = 0;
    for (const Action& a : GenerateScript(e, seed).actions) {
      EXPECT_LE(last, a.at);
      last = a.at;
      by_fault[a.fault] = a;
    }
    EXPECT_EQ(by_fault[0].targets.size(), 2u);  // 1.92
    EXPECT_TRUE(by_fault[0].at >= 5 * kSecond && by_fault[0].at <= 9 * kSecond);
    EXPECT_EQ(by_fault[0].until, 100 * kSecond);  // limited by the end of the run
    ASSERT_EQ(by_fault[1].targets.size(), 1u);    // at least one
    EXPECT_EQ(GenerateScript(e, seed).nodes[static_cast<size_t>(by_fault[1].targets[0])].zone, 1);
    EXPECT_EQ(by_fault[2].targets, (std::vector<int>{0, 8}));
    EXPECT_EQ(by_fault[3].targets, std::vector<int>{1});
    EXPECT_EQ(by_fault[4].targets.size(), 2u);
    EXPECT_EQ(by_fault[5].targets, (std::vector<int>{0, 1, 2}));
    EXPECT_EQ(by_fault[5].until, by_fault[5].at);  // no duration
  }
}

TEST(Script, SparesReplaceNodesInOrderOfTime) {
  Experiment e = Site();
  e.faults = {{.kind = FaultKind::kNodesReplaced, .at_s = {20, 20}, .names = {"std-3", "slow-1"}},
              {.kind = FaultKind::kNodesReplaced, .at_s = {10, 10}, .names = {"std-3"}}};
  const Script script = GenerateScript(e, 1);
  ASSERT_EQ(script.spares.size(), 3u);
  EXPECT_EQ(script.spares[0].name, "std-3.2");
  EXPECT_EQ(script.spares[1].name, "std-3.3");
  EXPECT_EQ(script.spares[2].name, "slow-1.2");
  EXPECT_EQ(script.spares[2].zone, 1);
  EXPECT_EQ(script.spares[2].kind, 1);
  EXPECT_EQ(script.actions[1].spares, (std::vector<int>{1, 2}));
}

TEST(Script, AnAdditionalFaultChangesNothingElse) {
  Experiment e = Site();
  e.faults = {{.kind = FaultKind::kSilentNodes, .at_s = {5, 50}, .share = 0.3},
              {.kind = FaultKind::kFastErrors, .at_s = {5, 50}, .share = 0.3, .size = {0.2, 0.9}}};
  const std::string before = Describe(e, GenerateScript(e, 1));
  e.faults.push_back({.kind = FaultKind::kNodesGone, .at_s = {30, 30}, .share = 0.2});
  std::string after = Describe(e, GenerateScript(e, 1));
  const size_t line = after.find("action at=30000000");
  ASSERT_NE(line, std::string::npos);
  after.erase(line, after.find('\n', line) + 1 - line);
  EXPECT_EQ(before, after);
}

TEST(Arrivals, FollowTheRateOfTheShape) {
  Experiment e = Site();
  e.load.shape = {{10, 1}, {30, 1}, {50, 3}, {50, 0.5}, {60, 0}, {70, 0}, {80, 1}};
  const std::vector<Arrival> all = All(e);
  EXPECT_TRUE(
      std::is_sorted(all.begin(), all.end(), [](const Arrival& a, const Arrival& b) { return a.at < b.at; }));
  ExpectCount(Between(all, 0, 10), 20000);
  ExpectCount(Between(all, 10, 30), 40000);
  ExpectCount(Between(all, 30, 40), 2000 * 10 * 1.5);
  ExpectCount(Between(all, 40, 50), 2000 * 10 * 2.5);
  ExpectCount(Between(all, 50, 60), 2000 * 10 * 0.25);
  EXPECT_EQ(Between(all, 60, 70), 0);
  ExpectCount(Between(all, 70, 80), 2000 * 10 * 0.5);
  ExpectCount(Between(all, 80, 100), 40000);
  double waits = 0;  // in a Poisson process, the standard deviation of the intervals is their mean
  double squares = 0;
  for (size_t i = 1; i < 18000; ++i) {
    const auto wait = static_cast<double>(all[i].at - all[i - 1].at);
    waits += wait / 18000;
    squares += wait * wait / 18000;
  }
  EXPECT_NEAR(std::sqrt(squares - waits * waits) / waits, 1, 0.03);
}

TEST(Arrivals, HaveAttributesAccordingToSharesAndRanges) {
  const Experiment e = Site();
  const std::vector<Arrival> all = All(e);
  const Script script = GenerateScript(e, 1);
  const auto n = static_cast<double>(all.size());
  ExpectCount(static_cast<int>(all.size()), 200000);
  std::map<int, int> classes, tenants, zones, honour;
  std::map<uint64_t, int> keys;
  std::vector<double> work(3), square(3);
  std::set<uint64_t> traces;
  double error = 0;
  for (const Arrival& a : all) {
    ++classes[a.cls], ++tenants[a.tenant], ++zones[a.zone], ++honour[a.honours_retry_after], ++keys[a.key];
    const auto cls = static_cast<size_t>(a.cls);
    const double part = a.work_us / script.mean_work_us[cls];
    work[cls] += part;
    square[cls] += part * part;
    error += std::pow(static_cast<double>(a.estimate) / a.work_us - 1, 2);
    EXPECT_TRUE(a.try_timeout >= 700 * kMs && a.try_timeout <= 1000 * kMs);
    EXPECT_NE(a.trace, 0u);
    traces.insert(a.trace);
  }
  EXPECT_EQ(traces.size(), all.size());
  for (int c = 0; c < 3; ++c) {
    ExpectShare(classes[c], n, std::vector{0.5, 0.3, 0.2}[static_cast<size_t>(c)]);
    const double of = classes[c];
    const double mean = work[static_cast<size_t>(c)] / of;
    EXPECT_NEAR(mean, 1, 4 * 0.5 / std::sqrt(of));
    EXPECT_NEAR(std::sqrt(square[static_cast<size_t>(c)] / of - mean * mean), 0.5, 0.02);
  }
  ExpectShare(tenants[0], n, 0.7);
  ExpectShare(zones[0], n, 0.75);
  ExpectShare(honour[1], n, 0.9);
  EXPECT_NEAR(std::sqrt(error / n), 0.1, 0.002);
  std::vector<int> counts;
  for (auto [key, count] : keys) counts.push_back(count);
  std::sort(counts.rbegin(), counts.rend());
  ASSERT_EQ(counts.size(), 500u);
  double sum = 0;
  for (int rank = 1; rank <= 500; ++rank) sum += std::pow(rank, -0.7);
  ExpectShare(counts[0], n, 1 / sum);
  ExpectShare(counts[99], n,
              std::pow(100, -0.7) / sum);  // approximately: neighbouring ranks have similar shares
}

TEST(Arrivals, AreMarkedIfBeyondTheQuota) {
  const std::vector<Arrival> all = All(Site());
  auto within = [](const Arrival& a) { return a.tenant == 0 && a.within_share; };
  EXPECT_NEAR(Between(all, 0, 100, within), 1000 * 101,
              2);  // the quota, plus the initial burst of one second
  EXPECT_EQ(Between(all, 0, 100, [](const Arrival& a) { return a.tenant == 1 && !a.within_share; }), 0);
}

// A change of one attribute's settings affects neither the other attributes nor the times.
TEST(Arrivals, EachAttributeHasAStreamOfItsOwn) {
  const Experiment e = Site();
  const std::vector<Arrival> all = All(e);
  auto expect_same = [&](const Experiment& other, auto... members) {
    const std::vector<Arrival> changed = All(other);
    ASSERT_EQ(changed.size(), all.size());
    for (size_t i = 0; i < all.size(); ++i) ASSERT_TRUE(((all[i].*members == changed[i].*members) && ...));
  };
  Experiment skewed = e;
  skewed.load.key_skew = 0.9;
  skewed.load.keys = 600;
  using A = Arrival;
  expect_same(skewed, &A::at, &A::cls, &A::tenant, &A::zone, &A::work_us, &A::estimate, &A::try_timeout,
              &A::honours_retry_after, &A::within_share, &A::trace);
  Experiment other = e;
  other.load.hints = false;
  other.load.zone_shares = {1, 1};
  other.clients.give_up_share = {0.5, 0.9};
  other.clients.honour_share = 0.1;
  other.tenants = {{.name = "one"}};
  expect_same(other, &A::at, &A::cls, &A::key, &A::work_us, &A::trace);
}

TEST(Arrivals, AJumpAddsArrivalsAndLeavesTheOthersUnchanged) {
  Experiment e = Site();
  const std::vector<Arrival> before = All(e);
  e.faults = {{.kind = FaultKind::kTrafficJump, .at_s = {10, 10}, .for_s = {20, 20}, .size = {2, 2}},
              {.kind = FaultKind::kTrafficJump, .at_s = {20, 20}, .zone = "bern", .size = {3, 3}}};
  const std::vector<Arrival> after = All(e);
  std::map<uint64_t, const Arrival*> by_trace;
  for (const Arrival& a : after) by_trace[a.trace] = &a;
  for (const Arrival& a : before) {
    const auto it = by_trace.find(a.trace);
    ASSERT_NE(it, by_trace.end());
    EXPECT_TRUE(it->second->at == a.at && it->second->work_us == a.work_us && it->second->key == a.key);
  }
  auto bern = [](const Arrival& a) { return a.zone == 1; };
  ExpectCount(Between(after, 0, 10), 20000);
  ExpectCount(Between(after, 10, 20), 40000);
  ExpectCount(Between(after, 20, 30, bern), 500 * 10 * 6);  // both jumps
  ExpectCount(Between(after, 20, 30), 500 * 10 * 6 + 1500 * 10 * 2);
  ExpectCount(Between(after, 30, 100), 140000);
}

TEST(Arrivals, AJumpBelowOneOnlyRemovesArrivals) {
  Experiment e = Site();
  const std::vector<Arrival> before = All(e);
  e.faults = {{.kind = FaultKind::kTrafficJump, .at_s = {10, 10}, .zone = "bern", .size = {0.4, 0.4}}};
  const std::vector<Arrival> after = All(e);
  auto earlier = [](const Arrival& a, const Arrival& b) { return a.at < b.at; };
  EXPECT_TRUE(std::includes(before.begin(), before.end(), after.begin(), after.end(), earlier));
  ExpectCount(Between(after, 10, 20, [](const Arrival& a) { return a.zone == 1; }), 500 * 10 * 0.4);
  auto outside = [](const Arrival& a) { return a.zone == 0 || a.at < 10 * kSecond || a.at >= 20 * kSecond; };
  EXPECT_EQ(Between(before, 0, 100, outside), Between(after, 0, 100, outside));
}

TEST(Arrivals, TracesOfTriesLeadBackToTheFirst) {
  const std::vector<Arrival> all = All(Site());
  std::set<uint64_t> traces;
  for (size_t i = 0; i < 1000; ++i) {
    EXPECT_EQ(TraceOfTry(all[i].trace, 0), all[i].trace);
    for (int number = 0; number < kMaxTries; ++number) {
      const uint64_t trace = TraceOfTry(all[i].trace, number);
      EXPECT_EQ(FirstTrace(trace), all[i].trace);
      traces.insert(trace);
    }
  }
  EXPECT_EQ(traces.size(), 1000u * kMaxTries);
}

TEST(Faults, AreListedInTheOrderOfFaultKind) {
  for (size_t i = 0; i < AllFaults().size(); ++i) EXPECT_EQ(static_cast<size_t>(AllFaults()[i].kind), i);
  EXPECT_EQ(AllFaults().back().kind, FaultKind::kListAnswersLost);
}

}  // namespace
}  // namespace burlfall::lab
