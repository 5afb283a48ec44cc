// Servers in virtual time behind a node under test: cores, how long they take, what they fail.
#ifndef MEADOWSLIP_TESTS_SIMULATED_SERVERS_H_
#define MEADOWSLIP_TESTS_SIMULATED_SERVERS_H_

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "node_harness.h"

namespace meadowslip {

class Site {
 public:
  struct Server {
    Micros takes = 20 * kMs;
    double fails = 0;  // share of its answers
    Outcome how = Outcome::kError;
    std::vector<Micros> cores = std::vector<Micros>(8, 0);  // when each is free
    long sent = 0;
    long first_tries = 0;
  };

  Site(Bench& b, std::vector<Server> all) : bench(b), servers(std::move(all)) {
    std::vector<BackendId> ids;
    for (BackendId i = 0; i < servers.size(); ++i) ids.push_back(i + 1);
    bench.Ready(ids);
    bench.Pass(10 * kSecond);
  }

  // So many queries a second, at random, for so long. Classes in turn.
  void Run(double per_s, Micros span, int classes = 1, Micros patience = kSecond) {
    const Micros end = bench.now + span;
    std::exponential_distribution<double> gap(per_s / 1e6);
    for (Micros next = bench.now;;) {
      next += static_cast<Micros>(gap(random)) + 1;
      Until(std::min(next, end));
      if (next >= end) return;
      const int cls = static_cast<int>(asked_++ % classes);
      const Micros came = bench.now;
      const RequestId id = bench.Request(cls, patience);
      queries_[id] = {cls, came, 0};
      ++asked[cls];
      Look();
    }
  }
  void Until(Micros end) {
    while (!due_.empty() && due_.top().at <= end) {
      const Due d = due_.top();
      due_.pop();
      bench.Pass(std::max<Micros>(0, d.at - bench.now));
      Look();
      auto it = queries_.find(d.id);
      if (it != queries_.end() && d.how == Outcome::kOk) {
        in_time[it->second.cls] += d.at - it->second.came <= 500 * kMs;
        queries_.erase(it);
      }
      bench.Result(d.id, d.attempt, d.how, it == queries_.end());
      Look();
    }
    bench.Pass(std::max<Micros>(0, end - bench.now));
    Look();
  }

  Bench& bench;
  std::vector<Server> servers;
  std::map<int, long> asked, in_time;  // by class
  long sends = 0, first_tries = 0, refused = 0;
  std::vector<Micros> advice;  // when the refused were told to come back
  std::mt19937_64 random{7};

 private:
  struct Query {
    int cls = 0;
    Micros came = 0;
    int tries = 0;
  };
  struct Due {
    Micros at = 0;
    long order = 0;
    RequestId id = 0;
    int attempt = 0;
    Outcome how = Outcome::kOk;
    bool operator<(const Due& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };
  void Look() {
    for (const Action& a : bench.actions) {
      auto it = queries_.find(a.id);
      if (a.act == Act::kSend && it != queries_.end()) {
        Server& s = servers[a.backend - 1];
        const bool first = it->second.tries == 0;
        ++s.sent, ++sends;
        s.first_tries += first, first_tries += first;
        const bool fails = std::uniform_real_distribution<double>()(random) < s.fails;
        auto core = std::min_element(s.cores.begin(), s.cores.end());
        if (!fails) *core = std::max(*core, a.at) + s.takes;
        due_.push(
            {fails ? a.at + kMs : *core, ++orders_, a.id, it->second.tries++, fails ? s.how : Outcome::kOk});
      } else if (a.act == Act::kRefuse || a.act == Act::kFail) {
        if (a.act == Act::kRefuse) advice.push_back(a.span);
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
