// Simulates many balancers and their nodes on one clock, one of the nodes cold. The balancers share only the
// settings. What all of them send to the cold node is counted as the platform counts it.
#ifndef MEADOWSLIP_TESTS_FLEET_SIMULATION_H_
#define MEADOWSLIP_TESTS_FLEET_SIMULATION_H_

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "node_harness.h"

namespace meadowslip {

// The platform's check of a cold node: the work that it was sent within the window, in requests of mean work.
// The settings allow N; 2 * sqrt(N) + 2 more are tolerated for random variation. Beyond that the node is
// overloaded, and the rule is broken if over two thirds of the work came from balancers that had been
// notified of the start.
class ColdLoadCheck {
 public:
  void Sent(Micros at, double requests, bool notified, double n, Micros window) {
    while (!sent_.empty() && sent_.front().at <= at - window) {
      all_ -= sent_.front().requests;
      notified_ -= sent_.front().notified ? sent_.front().requests : 0;
      sent_.pop_front();
    }
    sent_.push_back({at, requests, notified});
    all_ += requests;
    notified_ += notified ? requests : 0;
    cold_requests += requests;
    const double part = all_ / (n + 2 * std::sqrt(n) + 2);
    if (notified_ * 3 > all_ * 2 && part > worst) worst = part, requests_in_window = all_, allowed = n;
  }
  double worst = 0;               // highest share of the tolerated work so far; over 1 the rule is broken
  double requests_in_window = 0;  // requests in the window at that moment
  double allowed = 0;
  double cold_requests = 0;  // requests, while it was cold

 private:
  struct Sample {
    Micros at = 0;
    double requests = 0;
    bool notified = false;
  };
  std::deque<Sample> sent_;
  double all_ = 0, notified_ = 0;
};

class FleetSimulation {
 public:
  // Serves requests in order on one core, so that the work learned by the balancers is the node's service
  // time. The speed of a cold node grows linearly.
  struct Node {
    double speed = 1;          // of its core
    Micros started_at = 0;     // 0: started long ago
    Micros down_until = 0;     // until then connections are refused
    double failure_share = 0;  // share of its requests that fail immediately
    bool hangs = false;        // accepts requests and never answers
    Micros free_at = 0;
  };
  struct Plan {
    Settings settings;
    int nodes = 12;            // their ids are 1, 2, ...; node 1 is the cold one
    std::vector<Micros> work;  // by class, of a request of mean size
    uint64_t seed = 1;
  };
  static constexpr BackendId kColdNode = 1;

  explicit FleetSimulation(const Plan& plan)
      : settings(plan.settings),
        nodes_(static_cast<size_t>(plan.nodes)),
        work_(plan.work),
        random_(plan.seed) {
    for (const Micros w : work_) mean_work_ += static_cast<double>(w) / static_cast<double>(work_.size());
    for (int i = 0; i < settings.nodes; ++i) {
      balancers_.push_back(MakeBalancer(i));
      weights_.push_back(i % 10 == 0 ? 4 : 0.7);  // a tenth of the balancers get several times the mean
    }
  }

  FleetSimulation(const FleetSimulation&) = delete;  // the balancers hold a reference to this
  FleetSimulation& operator=(const FleetSimulation&) = delete;

  // Sends a list to one balancer, or to all at random times.
  void Notify(int balancer, ListKind kind, const std::vector<BackendEntry>& entries) {
    BalancerSim& one = *balancers_.at(static_cast<size_t>(balancer));
    for (const BackendEntry& e : entries) {
      if (e.id == kColdNode && e.state == BackendState::kReady)
        one.notified = e.started_at >= node(kColdNode).started_at - clock_tolerance;
    }
    one.module.OnList(now, {kind, entries}, one);
  }
  void NotifyAll(ListKind kind, const std::vector<BackendEntry>& entries, Micros within) {
    for (int i = 0; i < settings.nodes; ++i) {
      ScheduleAt(now + static_cast<Micros>(random_() % static_cast<uint64_t>(within + 1)),
                 [this, i, kind, entries] { Notify(i, kind, entries); });
    }
  }
  void RestartBalancer(int balancer) {
    retired_.push_back(std::exchange(balancers_.at(static_cast<size_t>(balancer)), MakeBalancer(balancer)));
    retired_.back()->retired = true;
  }
  void StartCold() {
    node(kColdNode).started_at = now;
    node(kColdNode).free_at = now;
    for (auto& one : balancers_) one->notified = false;
  }
  void ScheduleAt(Micros at, std::function<void()> action) {
    due_.push({std::max(at, now), ++orders_, std::move(action)});
  }

  // Clients send requests at random times; `share` is the load relative to the capacity of all warm nodes.
  void Run(double share, Micros duration) {
    const Micros end = now + duration;
    std::exponential_distribution<double> gap(share * TotalSpeed() / mean_work_);
    std::discrete_distribution<int> random_balancer(weights_.begin(), weights_.end());
    for (Micros next = now + 1; share > 0; SendRequest(random_balancer(random_))) {
      next += static_cast<Micros>(std::min(gap(random_), 1e9)) + 1;
      if (next > end) break;
      AdvanceTo(next);
    }
    AdvanceTo(end);
  }

  Node& node(BackendId id) { return nodes_.at(id - 1); }
  BackendId nodes() const { return static_cast<BackendId>(nodes_.size()); }
  BackendEntry Entry(BackendId id) {
    BackendEntry e;
    e.id = id;
    e.started_at = node(id).started_at;
    return e;
  }
  std::vector<BackendEntry> Entries(BackendId from = 1) {
    std::vector<BackendEntry> entries;
    for (BackendId id = from; id <= nodes(); ++id) entries.push_back(Entry(id));
    return entries;
  }

  Settings settings;
  Micros now = 100 * kSecond;
  // A start listed this much too early counts as notified: the balancer's clock is ahead.
  Micros clock_tolerance = 0;
  ColdLoadCheck count;
  // Requests, and how many were answered within the aim: by class, tenant and second.
  struct ServedCount {
    double asked = 0, in_time = 0;
    double share() const { return in_time / std::max(asked, 1.0); }
  };
  void CountFromNow() {
    counted_from_ = now;
    by_class.clear();
    by_tenant.clear();
    by_second.clear();
  }
  std::map<int, ServedCount> by_class, by_tenant;
  std::map<Micros, ServedCount> by_second;

 private:
  struct BalancerSim final : ActionSink {
    BalancerSim(FleetSimulation& f, const Settings& s, uint64_t seed) : fleet(f), module(s, seed) {}
    void Send(RequestId id, BackendId backend, Micros timeout) override {
      if (held.contains(id)) fleet.Send(*this, id, backend, timeout);
    }
    void Refuse(RequestId id, Micros) override { held.erase(id); }
    void Fail(RequestId id) override { held.erase(id); }
    void Cancel(RequestId, int) override {}
    void Schedule(Micros delay, uint64_t timer) override {
      fleet.ScheduleAt(fleet.now + std::max<Micros>(delay, 1), [this, timer] {
        if (!retired) module.OnTimer(fleet.now, timer, *this);
      });
    }
    void Probe(BackendId) override {}
    void Subscribe() override {}

    struct PendingRequest {
      double work = 0;
      Micros arrived_at = 0;
      Micros give_up_at = 0;
      int cls = 0;
      int tenant = 0;
      int attempts = 0;
    };
    FleetSimulation& fleet;
    Balancer module;
    std::map<RequestId, PendingRequest> held;
    bool notified = false;  // of the cold node's start
    bool retired = false;
  };
  struct Due {
    Micros at = 0;
    long order = 0;
    std::function<void()> action;
    bool operator<(const Due& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };

  std::unique_ptr<BalancerSim> MakeBalancer(int balancer) {
    settings.node_index = balancer;
    return std::make_unique<BalancerSim>(*this, settings, random_());
  }
  double Capacity(const Node& n) const {
    const double age = static_cast<double>(now - n.started_at) / static_cast<double>(settings.warm_after);
    const double least = settings.start_capacity;
    return n.started_at == 0 ? 1 : least + (1 - least) * std::clamp(age, 0.0, 1.0);
  }
  void Answered(BalancerSim& one, RequestId id) {
    auto it = one.held.find(id);
    if (it == one.held.end()) return;
    const BalancerSim::PendingRequest& query = it->second;
    const bool in_time = now - query.arrived_at <= settings.classes[static_cast<size_t>(query.cls)].aim;
    if (query.arrived_at >= counted_from_) {
      for (ServedCount* tally : ServedCounts(query)) tally->in_time += in_time;
    }
    one.held.erase(it);
  }
  std::array<ServedCount*, 3> ServedCounts(const BalancerSim::PendingRequest& query) {
    return {&by_class[query.cls], &by_tenant[query.tenant], &by_second[query.arrived_at / kSecond]};
  }
  double TotalSpeed() const {
    double all = 0;
    for (const Node& n : nodes_) all += n.speed;
    return all;
  }

  void AdvanceTo(Micros end) {
    while (!due_.empty() && due_.top().at <= end) {
      const Due d = due_.top();
      due_.pop();
      now = d.at;
      d.action();
    }
    now = end;
  }
  void SendRequest(int balancer) {
    BalancerSim& one = *balancers_[static_cast<size_t>(balancer)];
    Request r;
    r.id = ++last_id_;
    r.request_class = static_cast<int>(r.id % work_.size());
    r.tenant = settings.tenants.empty() ? 0 : static_cast<int>(random_() % settings.tenants.size());
    const auto cls = static_cast<size_t>(r.request_class);
    r.give_up_at = now + settings.classes[cls].deadline;
    const double size = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
    BalancerSim::PendingRequest& query = one.held[r.id];
    query = {size * static_cast<double>(work_[cls]), now, r.give_up_at, r.request_class, r.tenant, 0};
    for (ServedCount* tally : ServedCounts(query)) tally->asked += 1;
    one.module.OnRequest(now, r, one);
  }
  void Send(BalancerSim& one, RequestId id, BackendId backend, Micros timeout) {
    BalancerSim::PendingRequest& query = one.held.at(id);
    Node& n = node(backend);
    const Micros give_up = timeout > 0 ? now + timeout : query.give_up_at;
    AttemptResult result;
    result.id = id;
    result.attempt = query.attempts++;
    result.backend = backend;
    Micros at = now + kMs;
    if (now < n.down_until) {
      result.outcome = Outcome::kConnectFailed;
    } else {
      if (backend == kColdNode) Count(one, query.work);
      if (n.hangs) {
        result.outcome = Outcome::kTimeout;
        at = give_up;
      } else if (std::uniform_real_distribution<double>()(random_) < n.failure_share) {
        result.outcome = Outcome::kError;
      } else if (n.free_at > now + 500 * kMs) {
        result.outcome = Outcome::kFull;
      } else {
        n.free_at = std::max(n.free_at, now) + static_cast<Micros>(query.work / (n.speed * Capacity(n)));
        at = std::min(n.free_at + kMs, give_up);
        result.outcome = at < give_up ? Outcome::kOk : Outcome::kTimeout;
      }
    }
    result.closed = result.outcome == Outcome::kOk;
    ScheduleAt(at, [this, &one, result] {
      if (one.retired) return;
      if (result.closed) Answered(one, result.id);
      one.module.OnResult(now, result, one);
    });
  }
  void Count(const BalancerSim& from, double work) {
    const Node& n = node(kColdNode);
    if (n.started_at == 0 || now >= n.started_at + settings.warm_after) return;
    const double can = n.speed * Capacity(n) * static_cast<double>(settings.overload_window);
    count.Sent(now, work / mean_work_, from.notified, settings.overload_factor * can / mean_work_,
               settings.overload_window);
  }

  std::vector<Node> nodes_;
  std::vector<Micros> work_;
  std::mt19937_64 random_;
  double mean_work_ = 0;
  std::vector<std::unique_ptr<BalancerSim>> balancers_, retired_;
  std::vector<double> weights_;
  std::priority_queue<Due> due_;
  long orders_ = 0;
  RequestId last_id_ = 0;
  Micros counted_from_ = 0;
};

}  // namespace meadowslip

#endif  // MEADOWSLIP_TESTS_FLEET_SIMULATION_H_
