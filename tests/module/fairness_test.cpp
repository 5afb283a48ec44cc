// The choice among backends: random among equal ones, by speed among unequal ones. Seeds are fixed, so the
// results never vary; fair draws stay within each bound for 999 seeds of 1000.
#include <gtest/gtest.h>

#include <numeric>

#include "simulated_servers.h"

namespace meadowslip {
namespace {

double ChiSquare(const std::vector<int>& counts) {
  const double all = std::accumulate(counts.begin(), counts.end(), 0.0);
  const double each = all / static_cast<double>(counts.size());
  double chi = 0;
  for (int n : counts) chi += (n - each) * (n - each) / each;
  return chi;
}

std::vector<BackendEntry> InCells(BackendId servers, BackendId cells) {
  std::vector<BackendEntry> all(servers);
  for (BackendId i = 0; i < servers; ++i) {
    all[i].id = i + 1;
    all[i].cell = static_cast<int>(i % cells);
  }
  return all;
}

TEST(Fairness, EveryBackendIsEquallyLikelyToBePickedFirst) {
  std::vector<int> picked(20);
  for (uint64_t seed = 1; seed <= 4000; ++seed) {
    NodeHarness b(PlainSettings(), seed);
    b.List(ListKind::kFull, InCells(20, 4));
    ++picked[b.SentTo(b.Request()) - 1];
  }
  EXPECT_LT(ChiSquare(picked), 43.8);  // 19 degrees of freedom
}

// Guards against a draw that favours the neighbours of rejected backends.
TEST(Fairness, EveryAllowedBackendIsEquallyLikelyToGetTheRetry) {
  std::vector<int> picked(60);
  for (uint64_t seed = 1; seed <= 6000; ++seed) {
    NodeHarness b(PlainSettings(), seed);
    b.List(ListKind::kFull, InCells(60, 1));
    const RequestId id = b.Request(1);
    const BackendId first = b.SentTo(id);
    b.Result(id, 0,
             Outcome::kError);  // it may have run there, so the retry goes to another backend of the cell
    ASSERT_NE(b.SentTo(id), first);
    ++picked[(b.SentTo(id) + 60 - first) % 60];
  }
  picked.erase(picked.begin());
  EXPECT_LT(ChiSquare(picked), 97.0);  // 58 degrees of freedom
}

// Compares with two draws from a plain list of all backends, where fewer in flight wins. Since ties go to the
// better payoff, the most loaded server may have one request more than with plain draws.
TEST(Fairness, LoadIsAsEvenAsWithDrawsFromAPlainList) {
  constexpr int kServers = 50, kInFlight = 100, kQueries = 60000;
  std::mt19937_64 random(5);
  std::vector<int> plain(kServers), most_of(2);
  std::vector<size_t> plain_in_flight;
  int plain_most = 0;
  for (int i = 0; i < kQueries; ++i) {
    const size_t x = random() % kServers, y = random() % kServers;
    plain_in_flight.push_back(plain[x] <= plain[y] ? x : y);
    plain_most = std::max(plain_most, ++plain[plain_in_flight.back()]);
    if (plain_in_flight.size() < kInFlight) continue;
    const size_t at = random() % 10;
    --plain[plain_in_flight[at]];
    plain_in_flight.erase(plain_in_flight.begin() + static_cast<std::ptrdiff_t>(at));
  }

  NodeHarness b(PlainSettings());
  b.List(ListKind::kFull, InCells(kServers, 1));
  std::vector<int> in_flight(kServers), sent(kServers);
  std::vector<std::pair<RequestId, size_t>> in_flight_requests;
  int most = 0;
  for (int i = 0; i < kQueries; ++i) {
    b.AdvanceTime(200);
    const RequestId id = b.Request();
    if (b.actions.empty() || b.actions.back().act != Act::kSend || b.actions.back().id != id) continue;
    in_flight_requests.emplace_back(id, b.actions.back().backend - 1);
    b.actions.clear();
    ++sent[in_flight_requests.back().second];
    if (i > kQueries / 4) most = std::max(most, in_flight[in_flight_requests.back().second] + 1);
    ++in_flight[in_flight_requests.back().second];
    if (in_flight_requests.size() < kInFlight) continue;
    const size_t at = random() % 10;
    --in_flight[in_flight_requests[at].second];
    b.Result(in_flight_requests[at].first, 0, Outcome::kOk);
    b.actions.clear();
    in_flight_requests.erase(in_flight_requests.begin() + static_cast<std::ptrdiff_t>(at));
  }
  const auto [least, largest] = std::minmax_element(sent.begin(), sent.end());
  RecordProperty("most_in_flight", std::to_string(most) + ", plain " + std::to_string(plain_most));
  RecordProperty("sent_least_and_most", std::to_string(*least) + " " + std::to_string(*largest));
  EXPECT_LE(most, plain_most + 1);
  EXPECT_LT(*largest, 1.15 * kQueries / kServers);
  EXPECT_GT(*least, 0.85 * kQueries / kServers);
}

TEST(Fairness, LoadFollowsTheSpeedOfUnequalServers) {
  NodeHarness b(PlainSettings());
  std::vector<SimulatedServers::Server> servers(20);
  for (size_t i = 0; i < servers.size(); ++i) {
    servers[i].service_time = (i % 2 == 0 ? 20 : 60) * kMs;
    servers[i].cores.resize(2);
  }
  SimulatedServers sim(b, servers);  // capacity: 1,333 requests per second
  sim.Run(1000, 30 * kSecond);
  long fast = 0, slow = 0, most_slow = 0, least_fast = 1 << 30;
  for (size_t i = 0; i < sim.servers.size(); ++i) {
    (i % 2 == 0 ? fast : slow) += sim.servers[i].sent;
    if (i % 2 == 0) least_fast = std::min(least_fast, sim.servers[i].sent);
    if (i % 2 != 0) most_slow = std::max(most_slow, sim.servers[i].sent);
  }
  RecordProperty("fast_slow", std::to_string(fast) + " " + std::to_string(slow));
  RecordProperty("least_fast_most_slow", std::to_string(least_fast) + " " + std::to_string(most_slow));
  EXPECT_GT(fast, 2 * slow);
  EXPECT_LT(fast, 5 * slow);
  EXPECT_GT(least_fast, most_slow);
  EXPECT_GT(sim.in_time[0], 0.99 * static_cast<double>(sim.asked[0]));
}

}  // namespace
}  // namespace meadowslip
