#include "lab/site/node_model.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <list>
#include <map>
#include <utility>

namespace burlfall::lab {
namespace {

// Share of its work that a repeat or a fast failure costs.
constexpr double kReducedWorkShare = 0.05;
// A repeat that was sent within the window may arrive up to kWindowSlack later and be queued for up to
// kMaxQueueTime.
constexpr Micros kWindowSlack = 100 * kMs;
constexpr Micros kMaxQueueTime = 10 * kSecond;
constexpr double kRoundingErrorUs = 1e-3;  // smaller differences are rounding errors
constexpr double kNeverEnds = std::numeric_limits<double>::infinity();

// LRU cache of recently used keys, with an expiry time.
class WarmKeys {
 public:
  WarmKeys(size_t max_keys, double ttl_us) : max_keys_(max_keys), ttl_us_(ttl_us) {}

  // Returns whether the key is cached, and adds or refreshes it.
  bool Touch(double now, uint64_t key) {
    auto known = places_.find(key);
    const bool warm = known != places_.end() && now - known->second->second <= ttl_us_;
    if (known != places_.end()) {
      keys_.splice(keys_.begin(), keys_, known->second);
      keys_.front().second = now;
      return warm;
    }
    keys_.emplace_front(key, now);
    places_.emplace(key, keys_.begin());
    if (keys_.size() > max_keys_) {
      places_.erase(keys_.back().first);
      keys_.pop_back();
    }
    return false;
  }
  void Clear() {
    keys_.clear();
    places_.clear();
  }

 private:
  size_t max_keys_;
  double ttl_us_;
  std::list<std::pair<uint64_t, double>> keys_;
  std::unordered_map<uint64_t, std::list<std::pair<uint64_t, double>>::iterator> places_;
};

}  // namespace

Deduplicator::Deduplicator(const std::vector<ClassSpec>& classes) {
  for (const ClassSpec& one : classes) {
    Memory memory;
    memory.keyed = one.effect == meadowslip::Idempotency::kKeyed;
    memory.window = static_cast<Micros>(one.window_ms * kMs) + kWindowSlack;
    classes_.push_back(std::move(memory));
  }
}

bool Deduplicator::IsRepeat(Micros now, Micros arrived_at, int cls, const std::string& key) {
  if (cls < 0 || static_cast<size_t>(cls) >= classes_.size() || key.empty()) return false;
  Memory& memory = classes_[static_cast<size_t>(cls)];
  if (!memory.keyed) return false;
  while (!memory.oldest.empty() && now - memory.oldest.front().first > memory.window + kMaxQueueTime) {
    auto known = memory.effects.find(memory.oldest.front().second);
    if (known != memory.effects.end() && known->second == memory.oldest.front().first) {
      memory.effects.erase(known);
    }
    memory.oldest.pop_front();
  }
  auto [known, inserted] = memory.effects.try_emplace(key, now);
  if (!inserted && arrived_at - known->second <= memory.window) return true;
  known->second = now;
  memory.oldest.emplace_back(now, key);
  return false;
}

struct NodeModel::State {
  enum class Phase { kHandshake, kWaiting, kWorking };
  // A job in progress; jobs are ordered by the progress at which they end.
  struct Job {
    bool handshake = false;
    uint64_t id = 0;  // the attempt, or the link of a handshake
  };
  using Jobs = std::multimap<double, Job>;
  struct Held {
    NodeQuery query;
    Micros arrived_at = 0;
    Phase phase = Phase::kWaiting;
    bool slot = false;
    bool fails = false;
    bool repeat = false;
    std::list<uint64_t>::iterator waiting;
    Jobs::iterator job;
  };
  struct Received {
    double at = 0;
    int balancer = 0;
    double work = 0;
  };

  State(const NodePlan& node, const NodeGroup& kind, Deduplicator& site, Rules its_rules, uint64_t seed)
      : plan(node),
        group(kind),
        repeats(site),
        rules(its_rules),
        random(seed, "node " + node.name),
        warm(static_cast<size_t>(std::max(0, kind.warm_keys)), kind.warm_key_s * kSecond) {
    Reset();
  }

  void Reset() {
    running = draining = silent = false;
    fail_share = 0;
    speed_share = 1;
    slots_used = 0;
    clock = progress = 0;
    held.clear();
    waiting.clear();
    jobs.clear();
    handshakes.clear();
    received.clear();
    warm.Clear();
    work_sums.assign(static_cast<size_t>(std::max(1, rules.balancers)), 0);
  }

  // Times in this struct are microseconds since the start of the node. Progress is the work, on a standard
  // core, that each job in progress has received since then.
  double Since(Micros now) const { return static_cast<double>(now - started); }
  Micros At(double when) const { return started + static_cast<Micros>(std::ceil(when - kRoundingErrorUs)); }

  double CapacityShare(double when) const {
    if (when >= cold_for) return 1;
    return plan.cold_share + (1 - plan.cold_share) * std::max(0.0, when) / cold_for;
  }
  // Speed of each job, relative to a standard core, at full capacity (not cold).
  double ProgressRate() const {
    if (silent || jobs.empty()) return 0;
    return plan.speed * speed_share * std::min(1.0, group.cores / static_cast<double>(jobs.size()));
  }
  double ProgressUntil(double when) const {
    const double cold = std::clamp(cold_for, clock, when);
    const double warming = (CapacityShare(clock) + CapacityShare(cold)) / 2 * (cold - clock);
    return progress + ProgressRate() * (warming + (when - cold));
  }
  double TimeOfProgress(double goal) const {
    const double rate = ProgressRate();
    if (rate <= 0) return kNeverEnds;
    double left = std::max(0.0, goal - progress) / rate;
    if (clock >= cold_for) return clock + left;
    const double warm_up = (CapacityShare(clock) + 1) / 2 * (cold_for - clock);
    if (left >= warm_up) return cold_for + (left - warm_up);
    const double slope = (1 - plan.cold_share) / cold_for;
    const double now = CapacityShare(clock);
    const double root = now + std::sqrt(now * now + 2 * slope * left);
    return root > 0 ? clock + 2 * left / root : kNeverEnds;
  }

  // Processes all events up to `now`.
  void Advance(Micros now, std::vector<Effect>& effects) {
    const double until = std::max(clock, Since(now));
    while (!jobs.empty()) {
      const double end = TimeOfProgress(jobs.begin()->first);
      if (end > until + kRoundingErrorUs) break;
      progress = jobs.begin()->first;
      clock = std::max(clock, std::min(end, until));
      End(effects);
    }
    progress = jobs.empty() ? 0 : ProgressUntil(until);  // restarts at 0 when idle, which keeps it exact
    clock = until;
  }

  void End(std::vector<Effect>& effects) {
    const Job job = jobs.begin()->second;
    jobs.erase(jobs.begin());
    if (job.handshake) {
      auto link = handshakes.find(job.id);
      const uint64_t attempt = link->second;
      handshakes.erase(link);
      if (attempt != 0) Accept(held.find(attempt)->second, effects);
      return;
    }
    auto it = held.find(job.id);
    const Held& one = it->second;
    effects.push_back({one.fails ? EffectType::kError : EffectType::kServed, job.id, one.repeat, {}});
    slots_used -= one.slot;
    held.erase(it);
    StartWaiting(effects);
  }

  void Drop(Held& one) { held.erase(one.query.attempt); }

  void Answer(Held& one, EffectType did, std::vector<Effect>& effects) {
    effects.push_back({did, one.query.attempt, false, {}});
    Drop(one);
  }

  bool Fits() const { return slots_used < plan.slots || waiting.size() < static_cast<size_t>(plan.queue); }

  // Queues, processes or rejects a query whose handshake is done.
  void Accept(Held& one, std::vector<Effect>& effects) {
    one.phase = Phase::kWaiting;
    one.waiting = waiting.end();
    const bool fast = !silent && fail_share > 0 && random.Chance(fail_share);
    if (!silent && (draining || one.query.link_over_limit || (!fast && !Fits()))) {
      Answer(one, EffectType::kRejected, effects);
    } else if (fast) {
      Begin(one, false, effects);
    } else if (!silent && slots_used < plan.slots) {
      Begin(one, true, effects);
    } else {
      one.waiting = waiting.insert(waiting.end(), one.query.attempt);
    }
  }

  void Begin(Held& one, bool slot, std::vector<Effect>& effects) {
    const NodeQuery& query = one.query;
    if (query.expires_at <= At(clock)) return Answer(one, EffectType::kExpired, effects);
    one.phase = Phase::kWorking;
    one.slot = slot;
    one.repeat = repeats.IsRepeat(At(clock), one.arrived_at, query.cls, query.idempotency_key);
    one.fails = !slot || (group.error_share > 0 && random.Chance(group.error_share));
    double work = std::max(0.0, query.work_us);
    if (one.repeat || !slot) {
      work *= kReducedWorkShare;
    } else if (group.warm_key_saving > 0 && query.key != 0 && warm.Touch(clock, query.key)) {
      work *= 1 - group.warm_key_saving;
    }
    slots_used += slot;
    one.job = jobs.emplace(progress + work, Job{false, query.attempt});
    effects.push_back({EffectType::kProcessing, query.attempt, one.repeat, {}});
  }

  void StartWaiting(std::vector<Effect>& effects) {
    while (!silent && slots_used < plan.slots && !waiting.empty()) {
      Held& one = held.find(waiting.front())->second;
      waiting.pop_front();
      Begin(one, true, effects);
    }
  }

  // Records work received while the node is cold. False if the node crashed from overload.
  bool RecordLoad(int balancer, double work, std::vector<Effect>& effects) {
    if (clock >= cold_for) return true;
    const double window = static_cast<double>(rules.overload_window);
    while (!received.empty() && received.front().at <= clock - window) {
      work_sums[static_cast<size_t>(received.front().balancer)] -= received.front().work;
      received.pop_front();
    }
    if (received.empty()) std::fill(work_sums.begin(), work_sums.end(), 0);  // clears rounding errors
    const int who = std::clamp(balancer, 0, static_cast<int>(work_sums.size()) - 1);
    received.push_back({clock, who, work});
    work_sums[static_cast<size_t>(who)] += work;
    double all = 0;
    for (double part : work_sums) all += part;
    // Ignores a slowdown by a fault: balancers can only know the capacity of the node's kind.
    const double capacity = group.cores * plan.speed * CapacityShare(clock) * window;
    if (all <= rules.overload_factor * capacity) return true;
    Effect crash{EffectType::kCrashed, 0, false, work_sums};
    Reset();
    effects.push_back(std::move(crash));
    return false;
  }

  const NodePlan plan;
  const NodeGroup group;
  Deduplicator& repeats;
  const Rules rules;
  Stream64 random;

  bool running = false;
  bool draining = false;
  bool silent = false;
  double fail_share = 0;
  double speed_share = 1;
  Micros started = 0;
  double cold_for = 0;
  double clock = 0;
  double progress = 0;
  int slots_used = 0;
  std::unordered_map<uint64_t, Held> held;            // by attempt
  std::list<uint64_t> waiting;                        // FIFO queue
  Jobs jobs;                                          // in progress
  std::unordered_map<uint64_t, uint64_t> handshakes;  // by link: the attempt that waits for it, or 0
  std::deque<Received> received;                      // within the window
  std::vector<double> work_sums;                      // sum of `received`, by balancer
  WarmKeys warm;
};

NodeModel::NodeModel(const NodePlan& plan, const NodeGroup& group, Deduplicator& repeats, Rules rules,
                     uint64_t seed)
    : state_(std::make_unique<State>(plan, group, repeats, rules, seed)) {}
NodeModel::~NodeModel() = default;

void NodeModel::Start(Micros now, bool cold) {
  state_->Reset();
  state_->running = true;
  state_->started = now;
  state_->cold_for = cold ? static_cast<double>(state_->plan.cold_for) : 0;
}

void NodeModel::Stop() { state_->Reset(); }

void NodeModel::Drain(Micros now, std::vector<Effect>& effects) {
  state_->Advance(now, effects);
  state_->draining = true;
}

void NodeModel::Silence(Micros now, bool on, std::vector<Effect>& effects) {
  State& s = *state_;
  s.Advance(now, effects);
  s.silent = on && s.running;
  if (on) return;
  // Rejects the latest of the queries that arrived while it was silent if they exceed the queue.
  int room = s.plan.queue + s.plan.slots - s.slots_used;
  for (auto it = s.waiting.begin(); it != s.waiting.end();) {
    State::Held& one = s.held.find(*it)->second;
    const bool fits = !one.query.link_over_limit && room-- > 0;
    it = fits ? std::next(it) : s.waiting.erase(it);
    if (!fits) s.Answer(one, EffectType::kRejected, effects);
  }
  s.StartWaiting(effects);
}

void NodeModel::FailFast(Micros now, double share, std::vector<Effect>& effects) {
  state_->Advance(now, effects);
  state_->fail_share = state_->running ? share : 0;
}

void NodeModel::SetSpeed(Micros now, double part, std::vector<Effect>& effects) {
  state_->Advance(now, effects);
  state_->speed_share = state_->running ? part : 1;
}

void NodeModel::Handshake(Micros now, int balancer, uint64_t link, std::vector<Effect>& effects) {
  State& s = *state_;
  if (!s.running) return;
  s.Advance(now, effects);
  const double work = static_cast<double>(s.plan.handshake);
  if (!s.RecordLoad(balancer, work, effects) || work <= 0 || !s.handshakes.emplace(link, 0).second) return;
  s.jobs.emplace(s.progress + work, State::Job{true, link});
}

void NodeModel::Submit(Micros now, NodeQuery query, std::vector<Effect>& effects) {
  State& s = *state_;
  if (!s.running) return;
  s.Advance(now, effects);
  if (!s.RecordLoad(query.balancer, query.work_us, effects)) return;
  const uint64_t attempt = query.attempt;
  const uint64_t link = query.link;
  State::Held& one = s.held[attempt];
  one.query = std::move(query);
  one.arrived_at = now;
  auto handshake = s.handshakes.empty() ? s.handshakes.end() : s.handshakes.find(link);
  if (handshake != s.handshakes.end() && handshake->second == 0) {
    one.phase = State::Phase::kHandshake;
    handshake->second = attempt;
    return;
  }
  s.Accept(one, effects);
  s.Advance(now, effects);  // a query without work ends at once
}

bool NodeModel::Cancel(Micros now, uint64_t attempt, std::vector<Effect>& effects) {
  State& s = *state_;
  s.Advance(now, effects);
  auto it = s.held.find(attempt);
  if (it == s.held.end()) return false;
  State::Held& one = it->second;
  const bool working = one.phase == State::Phase::kWorking;
  const CancelStops stops = s.group.cancel_stops;
  if (stops == CancelStops::kNothing || (working && stops == CancelStops::kQueued)) return false;
  if (one.phase == State::Phase::kHandshake) s.handshakes[one.query.link] = 0;
  if (one.phase == State::Phase::kWaiting) s.waiting.erase(one.waiting);
  if (working) {
    s.jobs.erase(one.job);
    s.slots_used -= one.slot;
  }
  s.Drop(one);
  s.StartWaiting(effects);
  return true;
}

Micros NodeModel::NextAt() const {
  const State& s = *state_;
  if (s.jobs.empty()) return kNever;
  const double end = s.TimeOfProgress(s.jobs.begin()->first);
  // A time far beyond any run means that the node is practically stopped.
  return end > 1e15 ? kNever : std::max(s.At(end), s.At(s.clock));
}

void NodeModel::Tick(Micros now, std::vector<Effect>& effects) { state_->Advance(now, effects); }

bool NodeModel::draining() const { return state_->draining; }

int NodeModel::pending_queries() const { return static_cast<int>(state_->held.size()); }

double NodeModel::Capacity(Micros now) const { return state_->CapacityShare(state_->Since(now)); }

}  // namespace burlfall::lab
