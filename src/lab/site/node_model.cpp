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

constexpr double kLittle = 0.05;  // of its work: what a repeat costs, or a query that fails at once
// A repeat that was sent in time may be so late on its way, and wait so long for its turn.
constexpr Micros kWindowSlack = 100 * kMs;
constexpr Micros kLongestWait = 10 * kSecond;
constexpr double kNear = 1e-3;  // microseconds; less than this is an error of rounding
constexpr double kNeverEnds = std::numeric_limits<double>::infinity();

// What was met lately, the latest first.
class WarmKeys {
 public:
  WarmKeys(size_t most, double for_us) : most_(most), for_us_(for_us) {}

  // Whether it was met lately; it is met now.
  bool Meet(double now, uint64_t key) {
    auto known = places_.find(key);
    const bool warm = known != places_.end() && now - known->second->second <= for_us_;
    if (known != places_.end()) {
      keys_.splice(keys_.begin(), keys_, known->second);
      keys_.front().second = now;
      return warm;
    }
    keys_.emplace_front(key, now);
    places_.emplace(key, keys_.begin());
    if (keys_.size() > most_) {
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
  size_t most_;
  double for_us_;
  std::list<std::pair<uint64_t, double>> keys_;
  std::unordered_map<uint64_t, std::list<std::pair<uint64_t, double>>::iterator> places_;
};

}  // namespace

Deduper::Deduper(const std::vector<ClassSpec>& classes) {
  for (const ClassSpec& one : classes) {
    Memory memory;
    memory.keyed = one.effect == meadowslip::Idempotency::kKeyed;
    memory.window = static_cast<Micros>(one.window_ms * kMs) + kWindowSlack;
    classes_.push_back(std::move(memory));
  }
}

bool Deduper::Repeat(Micros now, Micros came_at, int cls, const std::string& key) {
  if (cls < 0 || static_cast<size_t>(cls) >= classes_.size() || key.empty()) return false;
  Memory& memory = classes_[static_cast<size_t>(cls)];
  if (!memory.keyed) return false;
  while (!memory.oldest.empty() && now - memory.oldest.front().first > memory.window + kLongestWait) {
    auto known = memory.effects.find(memory.oldest.front().second);
    if (known != memory.effects.end() && known->second == memory.oldest.front().first) {
      memory.effects.erase(known);
    }
    memory.oldest.pop_front();
  }
  auto [known, fresh] = memory.effects.try_emplace(key, now);
  if (!fresh && came_at - known->second <= memory.window) return true;
  known->second = now;
  memory.oldest.emplace_back(now, key);
  return false;
}

struct NodeModel::State {
  enum class Place { kHandshake, kWaiting, kWorking };
  // In work: by the progress at which it ends.
  struct Job {
    bool handshake = false;
    uint64_t id = 0;  // the attempt, or the link
  };
  using Jobs = std::multimap<double, Job>;
  struct Held {
    NodeQuery query;
    Micros came_at = 0;
    Place place = Place::kWaiting;
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

  State(const NodePlan& node, const NodeGroup& kind, Deduper& site, Rules its, uint64_t seed)
      : plan(node),
        group(kind),
        repeats(site),
        rules(its),
        draws(seed, "node " + node.name),
        warm(static_cast<size_t>(std::max(0, kind.warm_keys)), kind.warm_key_s * kSecond) {
    Reset();
  }

  void Reset() {
    running = draining = silent = false;
    fail_share = 0;
    slow_to = 1;
    slots_used = 0;
    clock = progress = 0;
    held.clear();
    waiting.clear();
    jobs.clear();
    handshakes.clear();
    received.clear();
    warm.Clear();
    pushed.assign(static_cast<size_t>(std::max(1, rules.balancers)), 0);
  }

  // Times of this struct are microseconds since the start, and progress is the work that a job alone on its
  // core would have had done since then.
  double Since(Micros now) const { return static_cast<double>(now - started); }
  Micros At(double when) const { return started + static_cast<Micros>(std::ceil(when - kNear)); }

  double Warmth(double when) const {
    if (when >= cold_for) return 1;
    return plan.cold_share + (1 - plan.cold_share) * std::max(0.0, when) / cold_for;
  }
  // Of a job, against a standard core, at full warmth.
  double Pace() const {
    if (silent || jobs.empty()) return 0;
    return plan.speed * slow_to * std::min(1.0, group.cores / static_cast<double>(jobs.size()));
  }
  double ProgressUntil(double when) const {
    const double cold = std::clamp(cold_for, clock, when);
    const double warming = (Warmth(clock) + Warmth(cold)) / 2 * (cold - clock);
    return progress + Pace() * (warming + (when - cold));
  }
  double WhenAt(double goal) const {
    const double pace = Pace();
    if (pace <= 0) return kNeverEnds;
    double left = std::max(0.0, goal - progress) / pace;
    if (clock >= cold_for) return clock + left;
    const double warm_up = (Warmth(clock) + 1) / 2 * (cold_for - clock);
    if (left >= warm_up) return cold_for + (left - warm_up);
    const double slope = (1 - plan.cold_share) / cold_for;
    const double now = Warmth(clock);
    const double root = now + std::sqrt(now * now + 2 * slope * left);
    return root > 0 ? clock + 2 * left / root : kNeverEnds;
  }

  // Everything that was to happen until then.
  void Advance(Micros now, std::vector<Effect>& effects) {
    const double until = std::max(clock, Since(now));
    while (!jobs.empty()) {
      const double end = WhenAt(jobs.begin()->first);
      if (end > until + kNear) break;
      progress = jobs.begin()->first;
      clock = std::max(clock, std::min(end, until));
      End(effects);
    }
    progress = jobs.empty() ? 0 : ProgressUntil(until);  // from 0 again: it stays exact for days
    clock = until;
  }

  void End(std::vector<Effect>& effects) {
    const Job job = jobs.begin()->second;
    jobs.erase(jobs.begin());
    if (job.handshake) {
      auto link = handshakes.find(job.id);
      const uint64_t attempt = link->second;
      handshakes.erase(link);
      if (attempt != 0) Enter(held.find(attempt)->second, effects);
      return;
    }
    auto it = held.find(job.id);
    const Held& one = it->second;
    effects.push_back({one.fails ? Did::kError : Did::kServed, job.id, one.repeat, {}});
    slots_used -= one.slot;
    held.erase(it);
    Fill(effects);
  }

  void Drop(Held& one) { held.erase(one.query.attempt); }

  void Answer(Held& one, Did did, std::vector<Effect>& effects) {
    effects.push_back({did, one.query.attempt, false, {}});
    Drop(one);
  }

  bool Fits() const { return slots_used < plan.slots || waiting.size() < static_cast<size_t>(plan.queue); }

  // A query that has come through its handshake.
  void Enter(Held& one, std::vector<Effect>& effects) {
    one.place = Place::kWaiting;
    one.waiting = waiting.end();
    const bool fast = !silent && fail_share > 0 && draws.Chance(fail_share);
    if (!silent && (draining || one.query.no_room || (!fast && !Fits()))) {
      Answer(one, Did::kTurnedAway, effects);
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
    if (query.over_at <= At(clock)) return Answer(one, Did::kOver, effects);
    one.place = Place::kWorking;
    one.slot = slot;
    one.repeat = repeats.Repeat(At(clock), one.came_at, query.cls, query.idempotency_key);
    one.fails = !slot || (group.error_share > 0 && draws.Chance(group.error_share));
    double work = std::max(0.0, query.work_us);
    if (one.repeat || !slot) {
      work *= kLittle;
    } else if (group.warm_key_saving > 0 && query.key != 0 && warm.Meet(clock, query.key)) {
      work *= 1 - group.warm_key_saving;
    }
    slots_used += slot;
    one.job = jobs.emplace(progress + work, Job{false, query.attempt});
    effects.push_back({Did::kBegan, query.attempt, one.repeat, {}});
  }

  void Fill(std::vector<Effect>& effects) {
    while (!silent && slots_used < plan.slots && !waiting.empty()) {
      Held& one = held.find(waiting.front())->second;
      waiting.pop_front();
      Begin(one, true, effects);
    }
  }

  // What balancers sent it, while it is cold. False where it died of that.
  bool Bear(int balancer, double work, std::vector<Effect>& effects) {
    if (clock >= cold_for) return true;
    const double window = static_cast<double>(rules.overload_window);
    while (!received.empty() && received.front().at <= clock - window) {
      pushed[static_cast<size_t>(received.front().balancer)] -= received.front().work;
      received.pop_front();
    }
    if (received.empty()) std::fill(pushed.begin(), pushed.end(), 0);  // and with it the errors of rounding
    const int who = std::clamp(balancer, 0, static_cast<int>(pushed.size()) - 1);
    received.push_back({clock, who, work});
    pushed[static_cast<size_t>(who)] += work;
    double all = 0;
    for (double part : pushed) all += part;
    // By what it is, not by what a fault has slowed it to: the balancers' guide is its kind.
    const double can = group.cores * plan.speed * Warmth(clock) * window;
    if (all <= rules.overload_factor * can) return true;
    Effect fell{Did::kFell, 0, false, pushed};
    Reset();
    effects.push_back(std::move(fell));
    return false;
  }

  const NodePlan plan;
  const NodeGroup group;
  Deduper& repeats;
  const Rules rules;
  Stream64 draws;

  bool running = false;
  bool draining = false;
  bool silent = false;
  double fail_share = 0;
  double slow_to = 1;
  Micros started = 0;
  double cold_for = 0;
  double clock = 0;
  double progress = 0;
  int slots_used = 0;
  std::unordered_map<uint64_t, Held> held;            // by attempt
  std::list<uint64_t> waiting;                        // first come, first served
  Jobs jobs;                                          // in work
  std::unordered_map<uint64_t, uint64_t> handshakes;  // by link: the attempt that waits for it, or 0
  std::deque<Received> received;                      // within the window
  std::vector<double> pushed;                         // the sum of that, by balancer
  WarmKeys warm;
};

NodeModel::NodeModel(const NodePlan& plan, const NodeGroup& group, Deduper& repeats, Rules rules,
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
  // Woken, it looks at all that has come: the latest of it find no place.
  int room = s.plan.queue + s.plan.slots - s.slots_used;
  for (auto it = s.waiting.begin(); it != s.waiting.end();) {
    State::Held& one = s.held.find(*it)->second;
    const bool fits = !one.query.no_room && room-- > 0;
    it = fits ? std::next(it) : s.waiting.erase(it);
    if (!fits) s.Answer(one, Did::kTurnedAway, effects);
  }
  s.Fill(effects);
}

void NodeModel::FailFast(Micros now, double share, std::vector<Effect>& effects) {
  state_->Advance(now, effects);
  state_->fail_share = state_->running ? share : 0;
}

void NodeModel::Slow(Micros now, double part, std::vector<Effect>& effects) {
  state_->Advance(now, effects);
  state_->slow_to = state_->running ? part : 1;
}

void NodeModel::Handshake(Micros now, int balancer, uint64_t link, std::vector<Effect>& effects) {
  State& s = *state_;
  if (!s.running) return;
  s.Advance(now, effects);
  const double work = static_cast<double>(s.plan.handshake);
  if (!s.Bear(balancer, work, effects) || work <= 0 || !s.handshakes.emplace(link, 0).second) return;
  s.jobs.emplace(s.progress + work, State::Job{true, link});
}

void NodeModel::Take(Micros now, NodeQuery query, std::vector<Effect>& effects) {
  State& s = *state_;
  if (!s.running) return;
  s.Advance(now, effects);
  if (!s.Bear(query.balancer, query.work_us, effects)) return;
  const uint64_t attempt = query.attempt;
  const uint64_t link = query.link;
  State::Held& one = s.held[attempt];
  one.query = std::move(query);
  one.came_at = now;
  auto handshake = s.handshakes.empty() ? s.handshakes.end() : s.handshakes.find(link);
  if (handshake != s.handshakes.end() && handshake->second == 0) {
    one.place = State::Place::kHandshake;
    handshake->second = attempt;
    return;
  }
  s.Enter(one, effects);
  s.Advance(now, effects);  // a query of no work ends at once
}

bool NodeModel::GivenUp(Micros now, uint64_t attempt, std::vector<Effect>& effects) {
  State& s = *state_;
  s.Advance(now, effects);
  auto it = s.held.find(attempt);
  if (it == s.held.end()) return false;
  State::Held& one = it->second;
  const bool working = one.place == State::Place::kWorking;
  const CancelStops stops = s.group.cancel_stops;
  if (stops == CancelStops::kNothing || (working && stops == CancelStops::kQueued)) return false;
  if (one.place == State::Place::kHandshake) s.handshakes[one.query.link] = 0;
  if (one.place == State::Place::kWaiting) s.waiting.erase(one.waiting);
  if (working) {
    s.jobs.erase(one.job);
    s.slots_used -= one.slot;
  }
  s.Drop(one);
  s.Fill(effects);
  return true;
}

Micros NodeModel::NextAt() const {
  const State& s = *state_;
  if (s.jobs.empty()) return kNever;
  const double end = s.WhenAt(s.jobs.begin()->first);
  // Far beyond any run: where it is as good as stopped.
  return end > 1e15 ? kNever : std::max(s.At(end), s.At(s.clock));
}

void NodeModel::Tick(Micros now, std::vector<Effect>& effects) { state_->Advance(now, effects); }

bool NodeModel::draining() const { return state_->draining; }

int NodeModel::in_hand() const { return static_cast<int>(state_->held.size()); }

double NodeModel::Capacity(Micros now) const { return state_->Warmth(state_->Since(now)); }

}  // namespace burlfall::lab
