// The choice among servers: random where they are alike, by speed where they are not. Seeds are fixed, so
// that a test never fails by chance; each bound is one that fair draws pass for 999 seeds of 1000.
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

TEST(Fairness, AllAreAsLikelyToBeTheFirst) {
  std::vector<int> taken(20);
  for (uint64_t seed = 1; seed <= 4000; ++seed) {
    Bench b(PlainSettings(), seed);
    b.List(ListKind::kFull, InCells(20, 4));
    ++taken[b.SentTo(b.Request()) - 1];
  }
  EXPECT_LT(ChiSquare(taken), 43.8);  // 19 degrees of freedom
}

// Guards against a draw that favours those behind ones that were refused.
TEST(Fairness, AllThatMayTakeAFurtherTryAreAsLikely) {
  std::vector<int> taken(60);
  for (uint64_t seed = 1; seed <= 6000; ++seed) {
    Bench b(PlainSettings(), seed);
    b.List(ListKind::kFull, InCells(60, 1));
    const RequestId id = b.Request(1);
    const BackendId first = b.SentTo(id);
    b.Result(id, 0, Outcome::kError);  // it may have run there: now to another one of the cell
    ASSERT_NE(b.SentTo(id), first);
    ++taken[(b.SentTo(id) + 60 - first) % 60];
  }
  taken.erase(taken.begin());
  EXPECT_LT(ChiSquare(taken), 97.0);  // 58 degrees of freedom
}

// Against draws from a plain list of all: two of them, fewer in flight wins. Wherever ties go to the better
// payoff, the worst server may be a little worse than by chance alone.
TEST(Fairness, LoadIsAsEvenAsWithDrawsFromAPlainList) {
  constexpr int kServers = 50, kInFlight = 100, kQueries = 60000;
  std::mt19937_64 random(5);
  std::vector<int> plain(kServers), most_of(2);
  std::vector<size_t> line;
  int plain_most = 0;
  for (int i = 0; i < kQueries; ++i) {
    const size_t x = random() % kServers, y = random() % kServers;
    line.push_back(plain[x] <= plain[y] ? x : y);
    plain_most = std::max(plain_most, ++plain[line.back()]);
    if (line.size() < kInFlight) continue;
    const size_t at = random() % 10;
    --plain[line[at]];
    line.erase(line.begin() + static_cast<std::ptrdiff_t>(at));
  }

  Bench b(PlainSettings());
  b.List(ListKind::kFull, InCells(kServers, 1));
  std::vector<int> in_flight(kServers), sent(kServers);
  std::vector<std::pair<RequestId, size_t>> out;
  int most = 0;
  for (int i = 0; i < kQueries; ++i) {
    b.Pass(200);
    const RequestId id = b.Request();
    if (b.actions.empty() || b.actions.back().act != Act::kSend || b.actions.back().id != id) continue;
    out.emplace_back(id, b.actions.back().backend - 1);
    b.actions.clear();
    ++sent[out.back().second];
    if (i > kQueries / 4) most = std::max(most, in_flight[out.back().second] + 1);
    ++in_flight[out.back().second];
    if (out.size() < kInFlight) continue;
    const size_t at = random() % 10;
    --in_flight[out[at].second];
    b.Result(out[at].first, 0, Outcome::kOk);
    b.actions.clear();
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(at));
  }
  const auto [least, largest] = std::minmax_element(sent.begin(), sent.end());
  RecordProperty("most_in_flight", std::to_string(most) + ", plain " + std::to_string(plain_most));
  RecordProperty("sent_least_and_most", std::to_string(*least) + " " + std::to_string(*largest));
  EXPECT_LE(most, plain_most + 1);
  EXPECT_LT(*largest, 1.15 * kQueries / kServers);
  EXPECT_GT(*least, 0.85 * kQueries / kServers);
}

TEST(Fairness, OverServersThatDifferLoadFollowsTheirSpeed) {
  Bench b(PlainSettings());
  std::vector<Site::Server> servers(20);
  for (size_t i = 0; i < servers.size(); ++i) {
    servers[i].takes = (i % 2 == 0 ? 20 : 60) * kMs;
    servers[i].cores.resize(2);
  }
  Site site(b, servers);  // these serve 1,333 a second
  site.Run(1000, 30 * kSecond);
  long fast = 0, slow = 0, most_slow = 0, least_fast = 1 << 30;
  for (size_t i = 0; i < site.servers.size(); ++i) {
    (i % 2 == 0 ? fast : slow) += site.servers[i].sent;
    if (i % 2 == 0) least_fast = std::min(least_fast, site.servers[i].sent);
    if (i % 2 != 0) most_slow = std::max(most_slow, site.servers[i].sent);
  }
  RecordProperty("fast_slow", std::to_string(fast) + " " + std::to_string(slow));
  RecordProperty("least_fast_most_slow", std::to_string(least_fast) + " " + std::to_string(most_slow));
  EXPECT_GT(fast, 2 * slow);
  EXPECT_LT(fast, 5 * slow);
  EXPECT_GT(least_fast, most_slow);
  EXPECT_GT(site.in_time[0], 0.99 * static_cast<double>(site.asked[0]));
}

}  // namespace
}  // namespace meadowslip
