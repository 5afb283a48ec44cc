// Measures the cost of the module's decisions by number of servers, offered load and queue length. Compiled
// once for each measured module, see CMakeLists.txt. Time, servers and answers are simulated.
#include <benchmark/benchmark.h>

#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "meadowslip/balancer.h"

namespace meadowslip {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;

Settings BenchSettings() {
  Settings s;
  for (Idempotency kind : {Idempotency::kSafe, Idempotency::kKeyed, Idempotency::kUnsafe}) {
    RequestClass c;
    c.idempotency = kind;
    c.dedup_window = kSecond;
    c.aim = 300 * kMs;
    c.deadline = kSecond;
    s.classes.push_back(c);
  }
  s.may_cancel = s.retry_after = true;
  s.max_retry_after = kSecond;
  s.max_attempts = 3;
  s.answer_slack = 20 * kMs;
  return s;
}

// Drives a node: runs its timers and records the attempts that it sends.
class Driver : public ActionSink {
 public:
  struct Sent {
    RequestId id = 0;
    int attempt = 0;
    BackendId to = 0;
  };

  explicit Driver(const Settings& settings) : node(settings, 1) {}

  void List(BackendId servers) {
    BackendList list;
    for (BackendId i = 1; i <= servers; ++i) list.entries.push_back(Entry(i));
    node.OnList(now, list, *this);
  }
  static BackendEntry Entry(BackendId id) {
    BackendEntry e;
    e.id = id;
    e.zone = static_cast<int>(id % 3);
    e.cell = static_cast<int>(id % 50);
    return e;
  }
  void ChangeBackend(BackendId id, BackendState state) {
    BackendList list;
    list.kind = ListKind::kChanges;
    list.entries.push_back(Entry(id));
    list.entries.back().state = state;
    node.OnList(now, list, *this);
  }
  void SendRequest(Micros give_up_after) {
    Request r;
    r.id = ++last_id;
    r.request_class = static_cast<int>(last_id % 3);
    r.give_up_at = now + give_up_after;
    ++unanswered;
    node.OnRequest(now, r, *this);
  }
  void Answer(const Sent& one) {
    AttemptResult r;
    r.id = one.id;
    r.attempt = one.attempt;
    r.closed = true;
    r.backend = one.to;
    --unanswered;
    node.OnResult(now, r, *this);
  }
  void AdvanceTo(Micros end) {
    while (!timers.empty() && timers.top().first <= end) {
      const auto [at, timer] = timers.top();
      timers.pop();
      now = std::max(now, at);
      node.OnTimer(now, timer, *this);
    }
    now = end;
  }

  // Nothing fails, so each attempt is the first of its request.
  void Send(RequestId id, BackendId to, Micros) override { sent.push_back({id, 0, to}); }
  void Refuse(RequestId, Micros) override { --unanswered; }
  void Fail(RequestId) override { --unanswered; }
  void Cancel(RequestId, int) override {}
  void Schedule(Micros delay, uint64_t timer) override {
    timers.push({now + std::max<Micros>(delay, 1), timer});
  }
  void Probe(BackendId) override {}
  void Subscribe() override {}

  Micros now = 1000 * kSecond;
  Balancer node;
  RequestId last_id = 0;
  std::deque<Sent> sent;
  using Timer = std::pair<Micros, uint64_t>;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
  long unanswered = 0;  // queries without a final answer
};

// One query and one result per iteration, with 64 queries in flight.
void QueryByServers(benchmark::State& state) {
  Driver d(BenchSettings());
  d.List(static_cast<BackendId>(state.range(0)));
  d.AdvanceTo(d.now + 10 * kSecond);
  const auto step = [&d] {
    d.AdvanceTo(d.now + 100);
    d.SendRequest(kSecond);
    if (d.unanswered <= 64 || d.sent.empty()) return;
    d.Answer(d.sent.front());
    d.sent.pop_front();
  };
  for (int i = 0; i < 3000; ++i) step();
  for (auto _ : state) step();
  state.counters["saved_kB"] = static_cast<double>(d.node.Save().size()) / 1000;
}

// Twenty servers of eight cores that take 12.3 ms for a query: together they serve 13,000 queries per second.
class SimulatedServers {
 public:
  explicit SimulatedServers(Driver& d) : d_(d), cores_(21, std::vector<Micros>(8, 0)) {}
  void AcceptSent() {
    for (; !d_.sent.empty(); d_.sent.pop_front()) {
      const Driver::Sent& s = d_.sent.front();
      auto& cores = cores_[s.to];
      auto core = std::min_element(cores.begin(), cores.end());
      *core = std::max(*core, d_.now) + 12300;
      due_.push({*core, last_order, s});
    }
  }
  // Processes all answers due until `end`; returns how many queries were answered in time.
  long AdvanceTo(Micros end) {
    long in_time = 0;
    while (!due_.empty() && due_.top().at <= end) {
      const Due due = due_.top();
      due_.pop();
      d_.AdvanceTo(due.at);
      AcceptSent();
      d_.Answer(due.sent);
      in_time += due.at - arrived_at[due.sent.id % arrived_at.size()] <= 300 * kMs;
      AcceptSent();
    }
    d_.AdvanceTo(end);
    AcceptSent();
    return in_time;
  }
  std::vector<Micros> arrived_at = std::vector<Micros>(1 << 20);

 private:
  struct Due {
    Micros at;
    long order;
    Driver::Sent sent;
    bool operator<(const Due& other) const { return at > other.at; }
  };
  Driver& d_;
  std::vector<std::vector<Micros>> cores_;
  std::priority_queue<Due> due_;
  long last_order = 0;
};

// One query offered to these servers, with its answers and timers.
void QueryByLoad(benchmark::State& state) {
  Driver d(BenchSettings());
  d.List(20);
  d.AdvanceTo(d.now + 10 * kSecond);
  SimulatedServers servers(d);
  std::mt19937_64 random(1);
  const auto gap = static_cast<uint64_t>(2 * kSecond / state.range(0));
  long in_time = 0;
  const auto step = [&] {
    in_time += servers.AdvanceTo(d.now + static_cast<Micros>(random() % (gap + 1)));
    servers.arrived_at[(d.last_id + 1) % servers.arrived_at.size()] = d.now;
    d.SendRequest(kSecond);
    servers.AcceptSent();
  };
  for (Micros end = d.now + 3 * kSecond; d.now < end;) step();
  in_time = 0;
  const Micros from = d.now;
  for (auto _ : state) step();
  state.counters["in_time_per_s"] =
      static_cast<double>(in_time) / (static_cast<double>(d.now - from + 1) / 1e6);
}

// One answer, after which the best queued query is sent, and one new query to keep the queue length.
void QueryByWaiting(benchmark::State& state) {
  Settings s = BenchSettings();
  for (RequestClass& c : s.classes) c.aim = c.deadline = 1000 * kSecond;
  Driver d(s);
  d.List(20);
  for (long i = 0; i < state.range(0) + 60; ++i) d.SendRequest(1000 * kSecond);
  for (auto _ : state) {
    d.AdvanceTo(d.now + 100);
    if (!d.sent.empty()) {
      d.Answer(d.sent.front());
      d.sent.pop_front();
    }
    d.SendRequest(1000 * kSecond);
  }
}

// One server of the list drains or is ready again.
void ListChange(benchmark::State& state) {
  Driver d(BenchSettings());
  const auto servers = static_cast<BackendId>(state.range(0));
  d.List(servers);
  BackendId at = 0;
  for (auto _ : state) {
    d.AdvanceTo(d.now + 10 * kMs);
    d.ChangeBackend(1 + (at / 2) % servers, at % 2 == 0 ? BackendState::kDraining : BackendState::kReady);
    ++at;
    d.SendRequest(kSecond);  // the node applies the change with the next query
    if (!d.sent.empty()) {
      d.Answer(d.sent.back());
      d.sent.clear();
    }
  }
}

// A complete, unchanged list.
void FullList(benchmark::State& state) {
  Driver d(BenchSettings());
  for (auto _ : state) d.List(static_cast<BackendId>(state.range(0)));
}

std::string Name(const char* what) { return std::string(what) + "/" + MEASURED; }

const bool kRegistered = [] {
  for (long n : {10, 100, 1000, 10000, 50000}) {
    benchmark::RegisterBenchmark(Name("query_by_servers").c_str(), QueryByServers)->Arg(n)->MinTime(0.5);
    benchmark::RegisterBenchmark(Name("list_change").c_str(), ListChange)->Arg(n)->MinTime(0.2);
    benchmark::RegisterBenchmark(Name("full_list").c_str(), FullList)->Arg(n)->MinTime(0.2);
  }
  for (long n : {5000, 15000, 30000, 60000, 120000}) {
    benchmark::RegisterBenchmark(Name("query_by_load").c_str(), QueryByLoad)->Arg(n)->Iterations(3 * n);
  }
  for (long n : {10, 100, 1000, 20000}) {
    benchmark::RegisterBenchmark(Name("query_by_waiting").c_str(), QueryByWaiting)->Arg(n)->MinTime(0.2);
  }
  return true;
}();

}  // namespace
}  // namespace meadowslip
