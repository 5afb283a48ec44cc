// Many balancers and their nodes on one clock, one of the nodes cold. Nothing is shared between the balancers
// but the settings; what all of them send to the cold node is counted as the platform counts it.
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

// The platform's count of a cold node: all that it was sent within the window, in requests of mean work,
// against N, which the settings allow it then, and 2 x root of N + 2 more by chance. It falls beyond that;
// the rule is broken where over two thirds of it came from balancers that had been told of the start.
class ColdCount {
 public:
  void Sent(Micros at, double requests, bool told, double n, Micros window) {
    while (!sent_.empty() && sent_.front().at <= at - window) {
      all_ -= sent_.front().requests;
      told_ -= sent_.front().told ? sent_.front().requests : 0;
      sent_.pop_front();
    }
    sent_.push_back({at, requests, told});
    all_ += requests;
    told_ += told ? requests : 0;
    taken += requests;
    const double part = all_ / (n + 2 * std::sqrt(n) + 2);
    if (told_ * 3 > all_ * 2 && part > worst) worst = part, most = all_, allowed = n;
  }
  double worst = 0;  // part of what it bears, at the worst moment: over 1 the rule is broken
  double most = 0;   // requests in the window then
  double allowed = 0;
  double taken = 0;  // requests, while it was cold

 private:
  struct One {
    Micros at = 0;
    double requests = 0;
    bool told = false;
  };
  std::deque<One> sent_;
  double all_ = 0, told_ = 0;
};

class ColdFleet {
 public:
  // First come, first served. Of one core: what balancers learn of work is what such a node takes. The pace
  // of a cold one grows evenly.
  struct Node {
    double speed = 1;       // of its one core
    Micros started_at = 0;  // 0: long ago
    Micros down_until = 0;  // connections are refused
    double fails = 0;       // share of its requests, at once
    bool hangs = false;     // takes requests and answers none
    Micros free_at = 0;
  };
  struct Plan {
    Settings settings;
    int nodes = 12;            // their ids are 1, 2, ...; the first is the cold one
    std::vector<Micros> work;  // by class, of a request of mean size
    uint64_t seed = 1;
  };
  static constexpr BackendId kCold = 1;

  explicit ColdFleet(const Plan& plan)
      : settings(plan.settings),
        nodes_(static_cast<size_t>(plan.nodes)),
        work_(plan.work),
        random_(plan.seed) {
    for (const Micros w : work_) mean_work_ += static_cast<double>(w) / static_cast<double>(work_.size());
    for (int i = 0; i < settings.nodes; ++i) {
      balancers_.push_back(Fresh(i));
      weights_.push_back(i % 10 == 0 ? 4 : 0.7);  // a tenth of them see several times the mean
    }
  }

  ColdFleet(const ColdFleet&) = delete;  // its balancers know where it is
  ColdFleet& operator=(const ColdFleet&) = delete;

  // What a balancer is told: one of them, or all, each within a time of its own.
  void Tell(int balancer, ListKind kind, const std::vector<BackendEntry>& entries) {
    One& one = *balancers_.at(static_cast<size_t>(balancer));
    for (const BackendEntry& e : entries) {
      if (e.id == kCold && e.state == BackendState::kReady)
        one.told = e.started_at >= node(kCold).started_at - tolerated;
    }
    one.module.OnList(now, {kind, entries}, one);
  }
  void TellAll(ListKind kind, const std::vector<BackendEntry>& entries, Micros within) {
    for (int i = 0; i < settings.nodes; ++i) {
      At(now + static_cast<Micros>(random_() % static_cast<uint64_t>(within + 1)),
         [this, i, kind, entries] { Tell(i, kind, entries); });
    }
  }
  void RestartBalancer(int balancer) {
    left_.push_back(std::exchange(balancers_.at(static_cast<size_t>(balancer)), Fresh(balancer)));
    left_.back()->gone = true;
  }
  void StartCold() {
    node(kCold).started_at = now;
    node(kCold).free_at = now;
    for (auto& one : balancers_) one->told = false;
  }
  void At(Micros at, std::function<void()> what) {
    due_.push({std::max(at, now), ++orders_, std::move(what)});
  }

  // Clients ask for such a share of what all nodes carry once warm, at random, for so long.
  void Run(double share, Micros span) {
    const Micros end = now + span;
    std::exponential_distribution<double> gap(share * Carried() / mean_work_);
    std::discrete_distribution<int> whose(weights_.begin(), weights_.end());
    for (Micros next = now + 1; share > 0; Ask(whose(random_))) {
      next += static_cast<Micros>(std::min(gap(random_), 1e9)) + 1;
      if (next > end) break;
      Until(next);
    }
    Until(end);
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
  Micros tolerated = 0;  // a start told as so much earlier counts as told: the balancer's clock is ahead
  ColdCount count;
  // Of those that asked, how many had their answer within the aim: by class, tenant and second.
  struct Tally {
    double asked = 0, in_time = 0;
    double share() const { return in_time / std::max(asked, 1.0); }
  };
  void CountFromNow() {
    counted_from_ = now;
    by_class.clear();
    by_tenant.clear();
    by_second.clear();
  }
  std::map<int, Tally> by_class, by_tenant;
  std::map<Micros, Tally> by_second;

 private:
  struct One final : ActionSink {
    One(ColdFleet& f, const Settings& s, uint64_t seed) : fleet(f), module(s, seed) {}
    void Send(RequestId id, BackendId backend, Micros timeout) override {
      if (held.contains(id)) fleet.Send(*this, id, backend, timeout);
    }
    void Refuse(RequestId id, Micros) override { held.erase(id); }
    void Fail(RequestId id) override { held.erase(id); }
    void Cancel(RequestId, int) override {}
    void Schedule(Micros delay, uint64_t timer) override {
      fleet.At(fleet.now + std::max<Micros>(delay, 1), [this, timer] {
        if (!gone) module.OnTimer(fleet.now, timer, *this);
      });
    }
    void Probe(BackendId) override {}
    void Subscribe() override {}

    struct Asked {
      double work = 0;
      Micros came_at = 0;
      Micros give_up_at = 0;
      int cls = 0;
      int tenant = 0;
      int attempts = 0;
    };
    ColdFleet& fleet;
    Balancer module;
    std::map<RequestId, Asked> held;
    bool told = false;  // of the cold node's start
    bool gone = false;
  };
  struct Due {
    Micros at = 0;
    long order = 0;
    std::function<void()> what;
    bool operator<(const Due& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };

  std::unique_ptr<One> Fresh(int balancer) {
    settings.node_index = balancer;
    return std::make_unique<One>(*this, settings, random_());
  }
  double Capacity(const Node& n) const {
    const double age = static_cast<double>(now - n.started_at) / static_cast<double>(settings.warm_after);
    const double least = settings.start_capacity;
    return n.started_at == 0 ? 1 : least + (1 - least) * std::clamp(age, 0.0, 1.0);
  }
  void Answered(One& one, RequestId id) {
    auto it = one.held.find(id);
    if (it == one.held.end()) return;
    const One::Asked& query = it->second;
    const bool in_time = now - query.came_at <= settings.classes[static_cast<size_t>(query.cls)].aim;
    if (query.came_at >= counted_from_) {
      for (Tally* tally : Tallies(query)) tally->in_time += in_time;
    }
    one.held.erase(it);
  }
  std::array<Tally*, 3> Tallies(const One::Asked& query) {
    return {&by_class[query.cls], &by_tenant[query.tenant], &by_second[query.came_at / kSecond]};
  }
  double Carried() const {
    double all = 0;
    for (const Node& n : nodes_) all += n.speed;
    return all;
  }

  void Until(Micros end) {
    while (!due_.empty() && due_.top().at <= end) {
      const Due d = due_.top();
      due_.pop();
      now = d.at;
      d.what();
    }
    now = end;
  }
  void Ask(int balancer) {
    One& one = *balancers_[static_cast<size_t>(balancer)];
    Request r;
    r.id = ++last_id_;
    r.request_class = static_cast<int>(r.id % work_.size());
    r.tenant = settings.tenants.empty() ? 0 : static_cast<int>(random_() % settings.tenants.size());
    const auto cls = static_cast<size_t>(r.request_class);
    r.give_up_at = now + settings.classes[cls].deadline;
    const double size = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
    One::Asked& query = one.held[r.id];
    query = {size * static_cast<double>(work_[cls]), now, r.give_up_at, r.request_class, r.tenant, 0};
    for (Tally* tally : Tallies(query)) tally->asked += 1;
    one.module.OnRequest(now, r, one);
  }
  void Send(One& one, RequestId id, BackendId backend, Micros timeout) {
    One::Asked& query = one.held.at(id);
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
      if (backend == kCold) Count(one, query.work);
      if (n.hangs) {
        result.outcome = Outcome::kTimeout;
        at = give_up;
      } else if (std::uniform_real_distribution<double>()(random_) < n.fails) {
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
    At(at, [this, &one, result] {
      if (one.gone) return;
      if (result.closed) Answered(one, result.id);
      one.module.OnResult(now, result, one);
    });
  }
  void Count(const One& from, double work) {
    const Node& n = node(kCold);
    if (n.started_at == 0 || now >= n.started_at + settings.warm_after) return;
    const double can = n.speed * Capacity(n) * static_cast<double>(settings.overload_window);
    count.Sent(now, work / mean_work_, from.told, settings.overload_factor * can / mean_work_,
               settings.overload_window);
  }

  std::vector<Node> nodes_;
  std::vector<Micros> work_;
  std::mt19937_64 random_;
  double mean_work_ = 0;
  std::vector<std::unique_ptr<One>> balancers_, left_;
  std::vector<double> weights_;
  std::priority_queue<Due> due_;
  long orders_ = 0;
  RequestId last_id_ = 0;
  Micros counted_from_ = 0;
};

}  // namespace meadowslip

#endif  // MEADOWSLIP_TESTS_FLEET_SIMULATION_H_
