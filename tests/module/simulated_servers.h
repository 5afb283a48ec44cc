// Simulated servers behind a node under test: their cores, service times and failures, in virtual time.
#ifndef MEADOWSLIP_TESTS_SIMULATED_SERVERS_H_
#define MEADOWSLIP_TESTS_SIMULATED_SERVERS_H_

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "node_harness.h"

namespace meadowslip {

class SimulatedServers {
 public:
  struct Server {
    Micros service_time = 20 * kMs;
    double failure_share = 0;  // share of its answers that fail
    Outcome failure = Outcome::kError;
    std::vector<Micros> cores = std::vector<Micros>(8, 0);  // when each core is free
    long sent = 0;
    long first_tries = 0;
  };

  SimulatedServers(NodeHarness& b, std::vector<Server> all) : bench(b), servers(std::move(all)) {
    std::vector<BackendId> ids;
    for (BackendId i = 0; i < servers.size(); ++i) ids.push_back(i + 1);
    bench.Ready(ids);
    bench.AdvanceTime(10 * kSecond);
  }

  // Sends requests at random times at the given rate, cycling through the classes.
  void Run(double per_s, Micros duration, int classes = 1, Micros give_up_after = kSecond) {
    const Micros end = bench.now + duration;
    std::exponential_distribution<double> gap(per_s / 1e6);
    for (Micros next = bench.now;;) {
      next += static_cast<Micros>(gap(random)) + 1;
      Until(std::min(next, end));
      if (next >= end) return;
      const int cls = static_cast<int>(asked_++ % classes);
      const Micros arrived_at = bench.now;
      const RequestId id = bench.Request(cls, give_up_after);
      queries_[id] = {cls, arrived_at, 0};
      ++asked[cls];
      ProcessActions();
    }
  }
  void Until(Micros end) {
    while (!due_.empty() && due_.top().at <= end) {
      const Due d = due_.top();
      due_.pop();
      bench.AdvanceTime(std::max<Micros>(0, d.at - bench.now));
      ProcessActions();
      auto it = queries_.find(d.id);
      if (it != queries_.end() && d.failure == Outcome::kOk) {
        in_time[it->second.cls] += d.at - it->second.arrived_at <= 500 * kMs;
        queries_.erase(it);
      }
      bench.Result(d.id, d.attempt, d.failure, it == queries_.end());
      ProcessActions();
    }
    bench.AdvanceTime(std::max<Micros>(0, end - bench.now));
    ProcessActions();
  }

  NodeHarness& bench;
  std::vector<Server> servers;
  std::map<int, long> asked, in_time;  // by class
  long sends = 0, first_tries = 0, refused = 0;
  std::vector<Micros> retry_after;  // the retry_after values of refused requests
  std::mt19937_64 random{7};

 private:
  struct Query {
    int cls = 0;
    Micros arrived_at = 0;
    int tries = 0;
  };
  struct Due {
    Micros at = 0;
    long order = 0;
    RequestId id = 0;
    int attempt = 0;
    Outcome failure = Outcome::kOk;
    bool operator<(const Due& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };
  void ProcessActions() {
    for (const Action& a : bench.actions) {
      auto it = queries_.find(a.id);
      if (a.act == Act::kSend && it != queries_.end()) {
        Server& s = servers[a.backend - 1];
        const bool first = it->second.tries == 0;
        ++s.sent, ++sends;
        s.first_tries += first, first_tries += first;
        const bool failure_share = std::uniform_real_distribution<double>()(random) < s.failure_share;
        auto core = std::min_element(s.cores.begin(), s.cores.end());
        if (!failure_share) *core = std::max(*core, a.at) + s.service_time;
        due_.push({failure_share ? a.at + kMs : *core, ++orders_, a.id, it->second.tries++,
                   failure_share ? s.failure : Outcome::kOk});
      } else if (a.act == Act::kRefuse || a.act == Act::kFail) {
        if (a.act == Act::kRefuse) retry_after.push_back(a.duration);
        ++refused;
        queries_.erase(a.id);
      }
    }
    bench.actions.clear();
  }

  std::map<RequestId, Query> queries_;
  std::priority_queue<Due> due_;
  long orders_ = 0, asked_ = 0;
};

}  // namespace meadowslip

#endif  // MEADOWSLIP_TESTS_SIMULATED_SERVERS_H_
