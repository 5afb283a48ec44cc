// Every decision of meadowslip. The types, events and actions are in include/meadowslip/balancer.h.
//
// In order: what a node keeps, membership, health (sleep and trial), cold budget, load (limits and reports),
// pick, sending and settling (the only places that send or end a request, so the rules are guarded there),
// admission and queue, results, and the events themselves.
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <random>
#include <unordered_map>
#include <utility>

#include "meadowslip/balancer.h"
#include "state.h"

namespace meadowslip {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;
// The design's figures.
constexpr int kFailuresInARow = 5;        // fewer, and chance resets or silences put sound servers to sleep
constexpr int kSparseFailuresInARow = 2;  // a node that visits a backend once in seconds can't wait for more
constexpr Micros kFirstSleep = 1 * kSecond;
constexpr Micros kLongestSleep = 30 * kSecond;
constexpr Micros kHoldDown = 5 * kSecond;
constexpr Micros kStartGrace = 3 * kSecond;
// Ours; each is a share or a count, scaled by the settings where it is used.
constexpr double kRepeatWorth = 0.1;  // of a client's repeat against a first try
constexpr double kMostAsleep = 0.5;   // of the ready backends; beyond it the fault is not a server's
constexpr double kCrowdedPace = 2;    // times the calm latency: a slower backend asks for a lower limit
constexpr double kSlowShare = 0.5;    // of the aim: so does an answer slower than this, or at a sparse node
constexpr double kSparseSlowShare = 0.8;
constexpr int kFirstSamples = 20;
constexpr double kLimitGain = 0.1;  // added to the fleet's limit for each prompt answer
constexpr double kInUse = 0.5;      // of the node's limit: below it prompt answers say nothing of more
constexpr double kLimitCut = 0.1;   // share taken off for each slow one
constexpr double kFirstLimit = 3;   // of all nodes together, a backend
constexpr double kLeastLimit = 1;   // twice that for sparse nodes
constexpr double kMostLimit = 256;
constexpr double kColdSafety = 0.7;  // of the cold budget; the rest is for chance
constexpr double kRetryShare = 0.2;  // further attempts earned by each request
constexpr double kMostRetries = 20;
constexpr double kTryPatience = 8;  // usual latencies before an attempt, or a trial, is overdue at few nodes
constexpr double kTrialPatience = 3;
constexpr double kProbeBudget = 0.01;  // points of the result that probing a request may cost
constexpr double kMostProbes = 6;
constexpr Micros kProbeWait = 40;  // parts of the aim that a request waits for its probes
constexpr Micros kReportAge = 8;   // parts of the aim for which a report counts
constexpr double kPatience = 4;    // mean deviations over the usual latency: then an attempt is overdue
constexpr double kEaseOfMind = 2;  // times its usual latency: a request with more time left is safe
constexpr double kSmooth = 0.1;
constexpr double kWorkShare = 0.7;  // of the calm latency of a request of the mean size
constexpr double kMostSize = 10;
constexpr double kZonePriceThatCounts = 0.01;
constexpr double kMembers = 3;  // backends that a sparse node keeps to, and where their load is asked for
constexpr double kProbedMembers = 5;
constexpr double kReserve = 0.6;  // of that burst, left by the class of least worth for its work
constexpr double kBurst = 6;      // usual latencies for which a sparse node may have one request too many
constexpr int kFullPauses = 4;    // turned away so often in a row, a backend is full
constexpr int kMostAttempts = 8;
constexpr uint32_t kNone = std::numeric_limits<uint32_t>::max();
constexpr uint64_t kTick = 1;  // timers: this, and one for each attempt, by its request's id
constexpr uint64_t kOverdue = 2;

struct Backend {
  BackendId id = 0;
  BackendState state = BackendState::kGone;
  int zone = 0;
  int cell = 0;
  int kind = 0;
  double size = 1;
  uint64_t rank = 0;  // this node keeps to the lowest
  // Health.
  int failures = 0;      // in a row
  uint64_t failing = 0;  // the classes that failed in that row
  bool asleep = false;
  int only = -1;     // asleep for this class alone; -1: for all
  Micros sleep = 0;  // the last sleep's length, as later trials left it
  Micros wake_at = 0;
  Micros lost_at = -kLongestSleep;
  Micros up_since = 0;
  bool trial_out = false;
  bool others_served = false;   // classes that did not fail, since the row began
  bool served = false;          // since it last appeared
  int refused_connections = 0;  // since the last answer: its process may have restarted
  int turned_away = 0;          // in a row
  // Cold budget.
  Micros cold_from = 0;
  Micros cold_until = 0;
  Micros credited_at = 0;
  double credit = 0;  // work that this node may send it now
  double first_work = 0;
  // Load.
  int in_flight = 0;
  int overdue = 0;             // of those
  double limit = kFirstLimit;  // of all nodes together; this node takes its part
  Micros full_until = 0;
  double reported = 0;  // requests in hand, by its last report, and what this node has sent since
  Micros reported_at = -kLongestSleep;
  Micros probed_at = -kLongestSleep;
  double payoff = 0;
  double pace = 1;

  void Fields(auto& a) {
    a(id, state, zone, cell, kind, size, rank, failures, failing, asleep, only, sleep, wake_at, lost_at);
    a(up_since, trial_out, others_served, served, refused_connections, turned_away, cold_from, cold_until);
    a(credited_at, credit, first_work, in_flight, overdue, limit, full_until, reported, reported_at);
    a(probed_at, payoff, pace);
  }
};

struct Attempt {
  uint32_t backend = kNone;
  Micros sent_at = 0;
  bool out = false;
  bool may_have_run = false;
  bool trial = false;
  bool overdue = false;  // no answer for far longer than usual
  Micros due_at = 0;

  void Fields(auto& a) { a(backend, sent_at, out, may_have_run, trial, overdue, due_at); }
};

struct Held {
  RequestId id = 0;
  int cls = 0;
  bool closed = false;  // the final answer was given, or is not owed any more
  bool streaming = false;
  bool waiting = false;
  double worth = 0;
  Micros arrived = 0;
  Micros give_up_at = 0;
  Micros hold_until = 0;  // probes are out on its behalf
  double size = 1;        // its estimated work against its class's mean
  int sent = 0;
  int out = 0;
  uint64_t passed_over = 0;  // in this round of sends
  std::array<Attempt, kMostAttempts> attempts;

  void Fields(auto& a) {
    a(id, cls, closed, streaming, waiting, worth, arrived, give_up_at, hold_until, size, sent, out);
    a(passed_over);
    for (int k = 0; k < std::clamp(sent, 0, kMostAttempts); ++k) a(attempts[k]);
  }
};

struct Learned {       // for each class
  double latency = 0;  // of good answers, smoothed
  double spread = 0;   // its mean deviation
  double calm = 0;     // the same, of answers while the node was not crowded
  int samples = 0;
  double work = 0;  // mean of the estimates

  void Fields(auto& a) { a(latency, spread, calm, samples, work); }
};

struct Bucket {
  double tokens = 0;
  Micros filled_at = 0;

  void Fields(auto& a) { a(tokens, filled_at); }
};

}  // namespace

class Balancer::Node {
 public:
  Node(const Settings& settings, uint64_t seed) : set_(settings), random_(seed) {
    set_.max_attempts = std::clamp(set_.max_attempts, 1, kMostAttempts);
    for (const RequestClass& c : set_.classes) {
      learned_.push_back({static_cast<double>(c.aim) / 8, static_cast<double>(c.aim) / 16, 0, 0});
      tightest_aim_ = std::min(tightest_aim_, c.aim);
    }
    load_column_ = std::find(set_.report_fields.begin(), set_.report_fields.end(), LoadField::kInFlight) -
                   set_.report_fields.begin();
    bool column = load_column_ < set_.report_fields.size();
    if (set_.may_probe && column && set_.probe_price > 0) {
      probes_each_ = static_cast<int>(std::min(kMostProbes, kProbeBudget / set_.probe_price));
      if (probes_each_ < 2) probes_each_ = 0;
    }
    for (const Tenant& t : set_.tenants) buckets_.push_back({t.quota_per_s / set_.nodes, 0});
  }

  // ---- Events ------------------------------------------------------------------------------------------

  // Every event: what it says is taken in, then what there is room for goes out.
  template <typename Event, typename... What>
  void At(Micros now, ActionSink& act, Event event, const What&... what) {
    now_ = now;
    act_ = &act;
    (this->*event)(what...);
    Dispatch();
    Tick(false);
  }

  void OnRequest(const Request& r) {
    if (r.request_class < 0 || static_cast<size_t>(r.request_class) >= set_.classes.size()) {
      return act_->Fail(r.id);
    }
    auto [it, fresh] = held_.try_emplace(r.id);
    if (!fresh) return;  // taken already: that one is answered
    Held& h = it->second;
    Take(h, r);
    retry_tokens_ = std::min(kMostRetries, retry_tokens_ + kRetryShare);
    if (StillUseful(h)) {
      ProbeFor(h);
    } else {
      Settle(h);  // it may have come at its last moment: the timer's next round would be too late
    }
  }

  void OnStreamStarted(RequestId id, int attempt) {
    auto it = held_.find(id);
    if (it == held_.end()) return;
    it->second.streaming = true;
    Unqueue(it->second);
    CancelOut(it->second, attempt);
  }

  void OnClientLeft(RequestId id) {
    auto it = held_.find(id);
    if (it != held_.end()) Close(it->second);
  }

  void OnTimer(uint64_t timer) {
    auto it = held_.find(timer - kOverdue);
    if (timer == kTick) {
      Tick(true);
    } else if (it != held_.end()) {
      LookForOverdue(it->second);
    }
  }

  void OnProbe(const ProbeResult& result) {
    auto it = index_.find(result.backend);
    if (it == index_.end()) return;
    probes_out_ = std::max(0, probes_out_ - 1);
    if (result.ok) TakeReport(backends_[it->second], result.load);  // a failed one is no failure event
  }

  // ---- Membership --------------------------------------------------------------------------------------

  void TakeList(const BackendList& list) {
    if (list.kind == ListKind::kFailed) {
      subscribed_ = false;
      return;
    }
    if (list.kind != ListKind::kCached) subscribed_ = true;
    if (list.kind != ListKind::kChanges) {
      std::vector<bool> named(backends_.size(), false);
      for (const BackendEntry& e : list.entries) {
        if (auto it = index_.find(e.id); it != index_.end()) named[it->second] = true;
      }
      for (size_t i = 0; i < named.size(); ++i) {
        if (!named[i]) Withdraw(backends_[i]);
      }
    }
    for (const BackendEntry& e : list.entries) TakeEntry(e);
    ranked_ = false;
  }

  // The backends that this node keeps to. Where there are more nodes than backends, each keeps to a few:
  // backends take fewer connections than there are nodes, a new one costs them work, and a node learns of few
  // what it can't of many. Rendezvous hashing by node and backend spreads the nodes and moves little as the
  // list changes; the next in rank stands in for one out of service.
  void ChooseMembers() {
    if (!ranked_) {
      order_.clear();
      for (uint32_t i = 0; i < backends_.size(); ++i) {
        if (backends_[i].state == BackendState::kReady) order_.push_back(i);
      }
      std::sort(order_.begin(), order_.end(),
                [this](uint32_t x, uint32_t y) { return backends_[x].rank < backends_[y].rank; });
    } else if (chosen_) {
      return;
    }
    ranked_ = chosen_ = true;
    double all = static_cast<double>(order_.size());
    sparse_ = set_.nodes > all;
    double want = !sparse_ ? all : probes_each_ > 0 ? kProbedMembers : kMembers;
    double in_service = 0;
    members_.clear();
    for (uint32_t i : order_) {
      if (in_service >= want) break;
      members_.push_back(i);
      in_service += !backends_[i].asleep ? 1 : backends_[i].only < 0 ? 0 : 0.5;
    }
    sharers_ = std::max(1.0, set_.nodes * static_cast<double>(members_.size()) / std::max(1.0, all));
  }

  static uint64_t Mix(uint64_t x) {  // splitmix64
    x += 0x9e3779b97f4a7c15;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
    x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
    return x ^ (x >> 31);
  }

  // A backend the list no longer names. Where gone alone does not bind, it stays usable as it was.
  void Withdraw(Backend& b) {
    if (b.state == BackendState::kReady && set_.gone_binds) b.state = BackendState::kGone;
  }

  void TakeEntry(const BackendEntry& e) {
    auto [it, fresh] = index_.try_emplace(e.id, static_cast<uint32_t>(backends_.size()));
    if (fresh) {
      Backend b;
      b.id = e.id;
      b.rank = Mix(Mix(e.id) + static_cast<uint64_t>(set_.node_index));
      b.up_since = now_;
      backends_.push_back(b);
    }
    Backend& b = backends_[it->second];
    b.zone = e.zone;
    b.cell = e.cell;
    b.kind = e.kind;
    if (kinds_.size() <= static_cast<size_t>(e.kind)) kinds_.resize(e.kind + 1, 0.5);
    if (fresh) b.payoff = kinds_[e.kind];  // new servers start at the mean, of their kind
    zones_ = std::max(zones_, e.zone + 1);
    if (set_.advertised_sizes) b.size = e.size;
    if (e.state == BackendState::kGone) return Withdraw(b);
    bool was_ready = b.state == BackendState::kReady;
    b.state = e.state;
    if (e.state != BackendState::kReady) return;
    if (e.started_at > b.cold_from && e.started_at + set_.warm_after > now_) MarkCold(b, e.started_at);
    if (!fresh && !was_ready) b.up_since = now_;
  }

  // A subscription is asked for again with a jittered back-off that stays well within the must-ask time.
  void KeepSubscribed() {
    if (!set_.must_subscribe || subscribed_ || now_ < ask_at_) return;
    act_->Subscribe();
    ask_wait_ = std::clamp<Micros>(ask_wait_ * 2, set_.must_ask_within / 10, set_.must_ask_within / 3);
    ask_at_ = now_ + static_cast<Micros>(static_cast<double>(ask_wait_) * (0.75 + 0.5 * Uniform()));
  }

  // ---- Health: a sleep that doubles, ended by one trial ------------------------------------------------

  bool Asleep(const Backend& b, int cls) const { return b.asleep && (b.only < 0 || b.only == cls); }

  // A backend may fail one class and serve the others: a success clears the row only if its own class failed
  // in it, and a row of one class that others came through puts the backend to sleep for that class alone.
  // Harm: a class of few requests that fails now and then by chance sleeps too.
  void OnFailure(Backend& b, int cls, Outcome outcome, bool trial) {
    // Without a connection that served before, a refused one may only mean that the backend has its most.
    if (outcome == Outcome::kConnectFailed && b.served) ++b.refused_connections;
    if (now_ - b.up_since < kStartGrace && !trial) return;  // grace after start
    if (Asleep(b, cls)) {
      if (trial) FailureEvent(b);
      return;
    }
    b.failing |= Bit(cls);
    if (++b.failures >= EnoughFailures() && RoomToSleep()) {
      b.only = b.others_served && b.failing == Bit(cls) ? cls : -1;
      FailureEvent(b);
    }
  }
  int EnoughFailures() const { return sparse_ ? kSparseFailuresInARow : kFailuresInARow; }
  static uint64_t Bit(int cls) { return uint64_t{1} << std::min(cls, 63); }

  // Many failing at once are not each at fault (the network, or a bad kind of request): cap the sleepers.
  bool RoomToSleep() const {
    double asleep = 1;
    for (uint32_t i : order_) asleep += backends_[i].asleep && backends_[i].only < 0;
    return asleep <= kMostAsleep * static_cast<double>(order_.size());
  }

  void FailureEvent(Backend& b) {
    b.sleep = std::clamp(b.sleep * 2, kFirstSleep, kLongestSleep);
    b.asleep = true;
    chosen_ = false;
    b.wake_at = now_ + b.sleep;
    b.lost_at = now_;
    b.failures = static_cast<int>(b.failing = 0);
  }

  void OnSuccess(Backend& b, int cls, bool trial) {
    b.others_served = sparse_ && b.failures > 0 && (b.failing & Bit(cls)) == 0;
    if (!b.others_served) b.failures = static_cast<int>(b.failing = 0);
    b.served = true;
    b.turned_away = 0;
    // Back after nothing but refused connections: most likely a new process, which no list has announced yet.
    // One alone is chance, not a restart; taking it for one cost a warm backend most of its limit for as long
    // as a start takes.
    if (std::exchange(b.refused_connections, 0) >= EnoughFailures()) MarkCold(b, now_);
    if (!trial || !Asleep(b, cls)) return;
    b.asleep = chosen_ = false;  // instant return
    b.limit = std::min(b.limit, kFirstLimit);
    if (now_ - b.lost_at >= kHoldDown) b.sleep /= 2;  // only shrinks; and not at all in the hold-down
  }

  // ---- Cold budget -------------------------------------------------------------------------------------

  void MarkCold(Backend& b, Micros from) {
    b.cold_from = from;
    b.cold_until = from + set_.warm_after;
    b.up_since = now_;
    b.limit = std::min(b.limit, kFirstLimit);
    b.failures = 0;
    // Each node begins at a random point of its first request's wait, all together at the allowed rate.
    b.first_work = least_;
    b.credit = Uniform() * least_;
    b.credited_at = now_;
  }

  double Capacity(const Backend& b) const {  // the share of its full capacity it has at least
    if (now_ >= b.cold_until) return 1;
    double age = static_cast<double>(now_ - b.cold_from) / static_cast<double>(set_.warm_after);
    return set_.start_capacity + (1 - set_.start_capacity) * std::clamp(age, 0.0, 1.0);
  }

  // A cold backend's budget is earned evenly, each node's part by itself, also where that is one request in
  // many windows. Work is reckoned in the class's usual latency against one core: both err on the safe side.
  bool ColdAllows(Backend& b, double work) {
    if (now_ >= b.cold_until) return true;
    double rate = kColdSafety * set_.overload_factor * Capacity(b) / sharers_;
    double most = std::max(work + b.first_work, rate * static_cast<double>(set_.overload_window) / 2);
    b.credit = std::min(most, b.credit + rate * static_cast<double>(now_ - b.credited_at));
    b.credited_at = now_;
    return b.credit >= std::max(work, b.first_work);
  }

  // ---- Load --------------------------------------------------------------------------------------------

  // The limit on requests in flight: up a little with each prompt answer while it is in use, down with each
  // slow one, as in TCP; it rests where the share of slow answers balances the gain. It is kept for all nodes
  // together, each taking its part, so that many nodes crowd a backend no more than few do. A backend's pace
  // is its latency against what its classes usually take while this node is not crowded.
  void NotePace(Backend& b, int cls, double took) {
    Learned& c = learned_[cls];
    if (c.samples < kFirstSamples || (waiting_.empty() && out_ < node_limit_ / 2)) {
      ++c.samples;
      c.calm += std::max(1.0 / c.samples, 0.02) * (took - c.calm);
    }
    b.pace += kSmooth * (took / std::max(c.calm, 1.0) - b.pace);
  }

  void Adapt(Backend& b, bool slow) {
    if (sparse_) {  // it hears of one backend too seldom: what it hears of one goes for all it keeps to
      for (uint32_t i : members_) Move(backends_[i], slow, spare_ < kInUse * kBurst * usual_);
    } else {
      Move(b, slow, Part(b) >= 1 ? b.in_flight + 1 >= Part(b) : out_ + 1 >= node_limit_ * kInUse);
    }
  }
  void Move(Backend& b, bool slow, bool in_use) {
    if (slow) {
      b.limit = std::max(sparse_ ? 2 * kLeastLimit : kLeastLimit, b.limit * (1 - kLimitCut));
    } else if (in_use) {
      b.limit = std::min(kMostLimit, b.limit + kLimitGain);
    }
  }

  double Limit(const Backend& b) const { return b.limit * Capacity(b); }
  double Part(const Backend& b) const { return Limit(b) / sharers_; }

  // What a round of sends starts from.
  void Survey() {
    auto [least, most] = std::minmax_element(learned_.begin(), learned_.end(),
                                             [](auto& x, auto& y) { return x.latency < y.latency; });
    least_ = least->latency;
    usual_ = most->latency;
    ChooseMembers();
    double sum = 0;
    zone_limit_ = zone_out_ = 0;
    trial_due_ = room_ = false;
    none_in_service_ = true;
    for (uint32_t i : members_) {
      const Backend& b = backends_[i];
      trial_due_ |= b.asleep && !b.trial_out && now_ >= b.wake_at;
      room_ |= HasRoom(b);
      if (b.asleep && b.only < 0) continue;
      none_in_service_ = false;
      sum += Part(b);
      if (b.zone != set_.own_zone) continue;
      zone_limit_ += Part(b);
      zone_out_ += b.in_flight;
    }
    zone_limit_ *= zones_;  // nodes elsewhere prefer their own zones too
    node_limit_ = std::max(1.0, sum);
    spare_ = std::min(kBurst * usual_, spare_ + (sum - out_) * static_cast<double>(now_ - surveyed_at_));
    surveyed_at_ = now_;
  }

  // A sparse node's part is less than one request: it keeps to it over time, not at each moment, or bursts
  // would wait while backends idle. Requests of less worth for their work leave some of it to better ones.
  bool NodeHasRoom(double value) const {
    if (!sparse_) return out_ < node_limit_;
    double better = 0;
    for (size_t k = 0; k < learned_.size(); ++k)
      better += set_.classes[k].worth / learned_[k].latency > value * 1.01;
    return spare_ > kReserve * kBurst * usual_ * better / static_cast<double>(learned_.size());
  }

  bool HasRoom(const Backend& b) const {
    // An overdue attempt may be lost: it must not keep a place until its client gives up.
    if (now_ < b.full_until || b.in_flight - (sparse_ ? 0 : b.overdue) >= std::ceil(Part(b))) return false;
    return !FreshReport(b) || b.reported < std::max(1.0, Limit(b));
  }

  void TakeReport(Backend& b, std::span<const float> load) {
    if (load_column_ >= load.size() || !std::isfinite(load[load_column_])) return;
    b.reported = std::max(0.0f, load[load_column_]);
    b.reported_at = now_;
  }

  bool FreshReport(const Backend& b) const { return now_ - b.reported_at < tightest_aim_ / kReportAge; }

  // Where own requests are too few to show a backend's load and probes cost next to nothing, a few backends
  // drawn at random are asked before a request is sent, which waits for them for a small part of its aim.
  void ProbeFor(Held& r) {
    if (probes_each_ == 0) return;
    candidates_.clear();
    ChooseMembers();
    for (uint32_t i : members_) {
      if (!backends_[i].asleep && Allowed(r, i)) candidates_.push_back(i);
    }
    std::shuffle(candidates_.begin(), candidates_.end(), random_);
    for (size_t k = 0; k < std::min<size_t>(candidates_.size(), probes_each_); ++k) {
      Backend& b = backends_[candidates_[k]];
      if (now_ - std::max(b.probed_at, b.reported_at) < tightest_aim_ / kProbeWait) continue;
      b.probed_at = now_;
      ++probes_out_;
      act_->Probe(b.id);
    }
    r.hold_until = now_ + tightest_aim_ / kProbeWait;
  }

  // Of the backends with fresh reports, those that hold least stand for the draws: a backend's own word on
  // its load goes before this node's small part of it. Without fresh reports all stand.
  void KeepLeastLoaded() {
    double least = std::numeric_limits<double>::infinity();
    for (uint32_t i : candidates_) {
      if (FreshReport(backends_[i])) least = std::min(least, backends_[i].reported / backends_[i].size);
    }
    if (!std::isfinite(least)) return;
    std::erase_if(candidates_, [&](uint32_t i) {
      return !FreshReport(backends_[i]) || backends_[i].reported / backends_[i].size > least + 0.5;
    });
    // Among equals those with a connection: a new one costs the backend work.
    auto unused = [this](uint32_t i) { return !backends_[i].served; };
    if (!std::all_of(candidates_.begin(), candidates_.end(), unused)) std::erase_if(candidates_, unused);
  }

  // ---- Pick --------------------------------------------------------------------------------------------

  bool Allowed(const Held& r, uint32_t i) const {
    int first = -1;
    for (int k = 0; k < r.sent; ++k) {
      if (r.attempts[k].backend == i) return false;  // elsewhere
      if (r.attempts[k].may_have_run && first < 0) first = k;
    }
    if (first < 0) return true;
    const RequestClass& c = set_.classes[r.cls];
    if (c.idempotency == Idempotency::kSafe) return true;
    if (c.idempotency == Idempotency::kUnsafe) return false;
    if (now_ >= r.attempts[first].sent_at + c.dedup_window) return false;
    const Backend& a = backends_[r.attempts[first].backend];
    const Backend& b = backends_[i];
    return c.group == DedupGroup::kAll ||
           (c.group == DedupGroup::kZone ? a.zone == b.zone : a.cell == b.cell);
  }

  // A sleeper that is due for its trial. Unsafe requests are spared unless no safe one came for as long
  // again.
  uint32_t DueTrial(const Held& r) {
    bool safe = set_.classes[r.cls].idempotency == Idempotency::kSafe;
    for (uint32_t i : members_) {
      Backend& b = backends_[i];
      if (!Asleep(b, r.cls) || b.state != BackendState::kReady || b.trial_out) continue;
      if (now_ < b.wake_at + (safe ? 0 : b.sleep)) continue;
      if (Allowed(r, i) && ColdAllows(b, Expected(r))) return i;
    }
    return kNone;
  }

  uint32_t Pick(const Held& r) {
    if (!NodeHasRoom(r.worth / learned_[r.cls].latency)) return kNone;
    // Crossing is priced: the own zone first, while this node has less out there than its part of that zone.
    // Guards against crowding one zone while the other idles, when traffic is spread unevenly.
    bool zones = !sparse_ && set_.cross_zone_price >= kZonePriceThatCounts && zone_out_ < zone_limit_;
    for (int pass = zones ? 0 : 1; pass < 2; ++pass) {
      candidates_.clear();
      for (uint32_t i : members_) {
        Backend& b = backends_[i];
        if (b.state != BackendState::kReady || (Asleep(b, r.cls) && !none_in_service_)) continue;
        if (pass == 0 && b.zone != set_.own_zone) continue;
        if (HasRoom(b) && Allowed(r, i) && ColdAllows(b, Expected(r))) candidates_.push_back(i);
      }
      KeepLeastLoaded();
      if (!candidates_.empty()) return TwoDraws();
    }
    return kNone;
  }

  // A sparse node visits one backend seldom: what it sees of a kind of machine counts as much.
  double Payoff(const Backend& b) const { return b.payoff + (sparse_ ? kinds_[b.kind] : 0); }
  void Reward(Backend& b, double payoff) {
    b.payoff += kSmooth * (payoff - b.payoff);
    kinds_[b.kind] += kSmooth * (payoff - kinds_[b.kind]);
  }

  uint32_t TwoDraws() {
    uint32_t x = candidates_[Below(candidates_.size())];
    uint32_t y = candidates_[Below(candidates_.size())];
    const Backend &a = backends_[x], &b = backends_[y];
    double load_a = a.in_flight / a.size, load_b = b.in_flight / b.size;
    if (load_a != load_b) return load_a < load_b ? x : y;
    return Payoff(a) >= Payoff(b) ? x : y;
  }

  // ---- Sending and settling: every rule is guarded here --------------------------------------------------

  bool MaySend(const Held& r, uint32_t i) const {
    const Backend& b = backends_[i];
    return !r.closed && !r.streaming && r.sent < set_.max_attempts && now_ < r.give_up_at &&
           b.state == BackendState::kReady && (r.out == 0 || set_.second_copies) && Allowed(r, i);
  }

  bool Send(Held& r, uint32_t i, bool trial) {
    Backend& b = backends_[i];
    if (!MaySend(r, i)) return false;
    Unqueue(r);
    const Learned& c = learned_[r.cls];
    double far = Expected(r) + kPatience * c.spread;
    if (!sparse_) far = std::max(far, (trial ? kTrialPatience : kTryPatience) * Expected(r));
    Micros patience = static_cast<Micros>(far) + set_.resolution;
    r.attempts[r.sent] = {i, now_, true, true, trial, false, now_ + patience};
    ++r.sent;
    ++r.out;
    ++b.in_flight;
    b.reported += 1;
    ++out_;
    if (b.zone == set_.own_zone) ++zone_out_;
    if (trial) b.trial_out = true;
    if (now_ < b.cold_until) b.credit -= Expected(r);
    // A sparse node does not wait for an answer that is worth nothing once it is late: what still waits at
    // the backend goes, and the node's part is free again. Guards against queues of late answers.
    Micros left = r.arrived + set_.classes[r.cls].aim - now_;
    bool wait = !sparse_ || set_.classes[r.cls].late_share > 0 || left <= 0 || now_ + left >= r.give_up_at;
    act_->Send(r.id, b.id, wait ? 0 : left);
    if (now_ + patience < r.give_up_at) act_->Schedule(patience, r.id + kOverdue);
    return true;
  }

  bool CanRefuse(const Held& r) const {
    const RequestClass& c = set_.classes[r.cls];
    return c.idempotency == Idempotency::kSafe ||
           (c.idempotency == Idempotency::kKeyed && c.group == DedupGroup::kAll) ||
           std::none_of(r.attempts.begin(), r.attempts.begin() + r.sent,
                        [](const Attempt& a) { return a.may_have_run; });
  }

  // Ends a request that is given up, at once.
  void Settle(Held& r) {
    if (r.closed) return;
    if (r.out > 0) return Unqueue(r);  // what is out may still answer
    // The fleet is full or the aim is lost: a repeat that comes soon finds the same and only adds to it.
    if (CanRefuse(r)) {
      act_->Refuse(r.id, set_.retry_after ? set_.max_retry_after : 0);
    } else {
      act_->Fail(r.id);
    }
    Close(r);
  }

  void Close(Held& r) {
    r.closed = true;
    Unqueue(r);
    CancelOut(r, -1);
    if (r.out == 0) held_.erase(r.id);
  }

  void CancelOut(const Held& r, int but) {
    if (!set_.may_cancel) return;
    for (int k = 0; k < r.sent; ++k) {
      if (k != but && r.attempts[k].out) act_->Cancel(r.id, k);
    }
  }

  // ---- Admission and queue -----------------------------------------------------------------------------

  void Take(Held& r, const Request& request) {
    r.id = request.id;
    r.cls = request.request_class;
    r.arrived = now_;
    r.give_up_at = request.give_up_at;
    r.worth = set_.classes[r.cls].worth * (WithinShare(request.tenant) ? 1 : set_.over_share_worth);
    // A client's repeat comes when most of the aim, which runs from its first try, is spent: it takes the
    // room that first tries leave. Guards against storms of repeats that are late even if they are served.
    if (request.client_retry) r.worth *= kRepeatWorth;
    Learned& c = learned_[r.cls];
    if (request.estimate > 0) {
      double work = static_cast<double>(request.estimate);
      c.work += (c.work > 0 ? 0.02 : 1) * (work - c.work);
      r.size = std::min(work / c.work, kMostSize);
    }
    Enqueue(r);
  }

  // A node sees only its part of a tenant's traffic, so it grants its part of the share.
  bool WithinShare(int tenant) {
    if (tenant < 0 || static_cast<size_t>(tenant) >= buckets_.size()) return true;
    double rate = set_.tenants[tenant].quota_per_s / set_.nodes;
    if (rate <= 0) return true;
    Bucket& k = buckets_[tenant];
    double earned = rate * static_cast<double>(now_ - k.filled_at) / kSecond;
    k.tokens = std::min(std::max(2.0, 2 * rate), k.tokens + earned);  // room for a whole request at any rate
    k.filled_at = now_;
    if (k.tokens < 1) return false;
    k.tokens -= 1;
    return true;
  }

  void Enqueue(Held& r) {
    if (!r.waiting) waiting_.push_back(&r);
    r.waiting = true;
  }

  void Unqueue(Held& r) {
    if (r.waiting) waiting_.erase(std::find(waiting_.begin(), waiting_.end(), &r));
    r.waiting = false;
  }

  // Worth per expected work, less where the time left makes a late answer likely: while there is time the
  // oldest of a class goes first, and once the queue has outgrown the aim the newest, which can make it.
  double Priority(const Held& r) const {
    const RequestClass& c = set_.classes[r.cls];
    double latency = std::max(learned_[r.cls].latency, 1.0);
    double left = static_cast<double>(r.arrived + c.aim - now_);
    double chance = std::clamp(left / (kEaseOfMind * Expected(r)), 0.0, 1.0);
    return r.worth * (chance + (1 - chance) * c.late_share) / latency;
  }

  bool StillUseful(const Held& r) const {
    const RequestClass& c = set_.classes[r.cls];
    Micros latest = std::min(r.give_up_at, c.late_share > 0 ? r.give_up_at : r.arrived + c.aim);
    // Never later than the timer's next round, so that the answer is not late either.
    return now_ + std::max(static_cast<Micros>(Expected(r)) * 3 / 4, TickLength()) < latest;
  }

  // Sends what there is room for, the best first. Under overload most events find no room: they end at once,
  // and the queue is not gone through. Guards the node's own CPU share, which a long queue once used up.
  void Dispatch() {
    if (waiting_.empty()) return;
    Survey();
    ++round_;
    while (trial_due_ || (room_ && (sparse_ ? spare_ > 0 : out_ < node_limit_))) {
      Held* best = nullptr;
      double best_priority = 0;
      for (Held* r : waiting_) {
        if (r->passed_over == round_ || (probes_out_ > 0 && now_ < r->hold_until)) continue;
        double priority = Priority(*r);
        if (best != nullptr && priority <= best_priority) continue;
        best = r;
        best_priority = priority;
      }
      if (best == nullptr) return;
      if (!StillUseful(*best)) {  // since the timer's last round
        Settle(*best);
        continue;
      }
      uint32_t due = trial_due_ ? DueTrial(*best) : kNone;
      uint32_t i = due != kNone ? due : Pick(*best);
      if (i == kNone) {  // it may not go where there is room, or nothing has any
        if (best->sent == 0) return;
        best->passed_over = round_;
      } else if (!Send(*best, i, due != kNone)) {
        return;
      }
    }
  }

  // Housekeeping, on a timer that runs while there is something to watch.
  void Tick(bool fired) {
    if (fired) {
      tick_set_ = false;
      for (size_t k = waiting_.size(); k-- > 0;) {  // before their aims have passed
        if (!StillUseful(*waiting_[k])) Settle(*waiting_[k]);
      }
    }
    KeepSubscribed();
    if (tick_set_ || (waiting_.empty() && (!set_.must_subscribe || subscribed_))) return;
    tick_set_ = true;
    act_->Schedule(TickLength(), kTick);
  }

  Micros TickLength() const { return std::max(2 * set_.resolution, 5 * kMs); }

  // ---- Results -----------------------------------------------------------------------------------------

  void Result(const AttemptResult& result) {
    auto it = held_.find(result.id);
    if (it == held_.end()) return;
    Held& r = it->second;
    if (result.attempt < 0 || result.attempt >= r.sent || !r.attempts[result.attempt].out) return;
    Attempt& a = r.attempts[result.attempt];
    Backend& b = backends_[a.backend];
    a.out = false;
    a.may_have_run = result.outcome != Outcome::kFull && result.outcome != Outcome::kConnectFailed &&
                     result.outcome != Outcome::kMoot;
    --r.out;
    --b.in_flight;
    out_ -= !a.overdue;
    b.overdue -= a.overdue;
    if (a.trial) b.trial_out = false;
    TakeReport(b, result.load);
    Judge(b, r, a, result);
    if (result.closed) r.closed = true;
    if (r.closed) {
      if (result.outcome == Outcome::kOk || result.closed) CancelOut(r, -1);
      Unqueue(r);
      if (r.out == 0) held_.erase(it);
    } else if (r.out == 0 && !Retry(r)) {  // else another copy may still answer
      Settle(r);
    }
  }

  // An attempt without an answer for far longer than usual: lost, stuck, or dear by its own work. It frees
  // this node's part, counts as a failure of the backend unless it answers after all, and a safe request goes
  // elsewhere too where copies are allowed, at the retry budget's cost. Harm: dear ones run twice.
  void LookForOverdue(Held& r) {
    for (int k = 0; k < r.sent; ++k) {
      Attempt& a = r.attempts[k];
      if (!a.out || a.overdue || now_ < a.due_at) continue;
      a.overdue = true;
      ++backends_[a.backend].overdue;
      --out_;
      if (a.trial || !FailedBefore(r, k)) OnFailure(backends_[a.backend], r.cls, Outcome::kTimeout, a.trial);
      Reward(backends_[a.backend], 0);
      bool safe = set_.classes[r.cls].idempotency == Idempotency::kSafe;
      if (safe && !r.closed && set_.second_copies) Retry(r);
    }
  }

  static bool FailedBefore(const Held& r, int attempt) {
    return std::any_of(r.attempts.begin(), r.attempts.begin() + attempt,
                       [](const Attempt& a) { return (!a.out || a.overdue) && a.may_have_run; });
  }

  // What an outcome says of the backend.
  void Judge(Backend& b, const Held& r, const Attempt& a, const AttemptResult& result) {
    const RequestClass& c = set_.classes[r.cls];
    double took = static_cast<double>(now_ - a.sent_at);
    double usual = std::max(took - OwnWork(r), took / 4);  // had it been of the mean size
    double aim = static_cast<double>(c.aim);
    switch (result.outcome) {
      case Outcome::kOk:
        OnSuccess(b, r.cls, a.trial);
        Learn(r.cls, usual);
        Reward(b, took <= aim ? 1 / (1 + usual / learned_[r.cls].latency) : 0);
        NotePace(b, r.cls, usual);
        Adapt(b, b.pace > kCrowdedPace || usual > (sparse_ ? kSparseSlowShare : kSlowShare) * aim);
        break;
      case Outcome::kError:
      case Outcome::kTimeout:
      case Outcome::kReset:
      case Outcome::kConnectFailed:
        // A request that failed elsewhere before is suspect itself: the second backend's count is spared, so
        // that a poison request does not raise sleeps everywhere. Its payoff falls all the same.
        // Counted when it fell due; and a sparse node's own time-out at the aim says little by itself.
        if (result.outcome == Outcome::kTimeout && (a.overdue || (sparse_ && c.late_share == 0 && !a.trial)))
          break;
        if (a.trial || result.outcome == Outcome::kConnectFailed || !FailedBefore(r, result.attempt)) {
          OnFailure(b, r.cls, result.outcome, a.trial);
        }
        Reward(b, 0);
        if (result.outcome == Outcome::kTimeout) Adapt(b, true);
        break;
      case Outcome::kFull:
        // Turned away: no failure, but it must not look least loaded for having answered fast. Whether it is
        // crowded its pace tells: one that turns away some and serves the rest as promptly as ever keeps its
        // limit. Cut for each, the limit of sound backends fell to the least, and the node refused for it.
        b.full_until = now_ + (static_cast<Micros>(learned_[r.cls].latency) >>
                               std::max(0, kFullPauses - b.turned_away++));
        if (b.pace > kCrowdedPace || b.turned_away > kFullPauses) Adapt(b, true);
        if (a.trial) b.wake_at = now_ + b.sleep;  // it runs, but is not fit for load yet
        break;
      case Outcome::kCancelled:
        if (usual > learned_[r.cls].latency)
          Learn(r.cls, usual);  // it would have taken this long at the least
        break;
      case Outcome::kMoot:
        break;
    }
  }

  // What a request takes on account of its own size above or below the mean of its class, by the estimates:
  // the work is the greater part of what answers take while the node is not crowded. Guards against taking
  // dear requests for crowded or silent backends, and small ones for answered in time.
  double OwnWork(const Held& r) const {
    const Learned& c = learned_[r.cls];
    return c.samples < kFirstSamples ? 0 : (r.size - 1) * kWorkShare * c.calm;
  }
  double Expected(const Held& r) const {
    return std::max(learned_[r.cls].latency + OwnWork(r), learned_[r.cls].latency / 4);
  }

  void Learn(int cls, double took) {
    Learned& c = learned_[cls];
    c.spread += 0.05 * (std::abs(took - c.latency) - c.spread);
    c.latency += 0.05 * (took - c.latency);
  }

  bool Retry(Held& r) {
    if (r.sent >= set_.max_attempts || r.streaming || !StillUseful(r) ||
        (retry_tokens_ < 1 && r.attempts[r.sent - 1].may_have_run))
      return false;
    ChooseMembers();
    if (std::none_of(members_.begin(), members_.end(), [&](uint32_t i) { return Allowed(r, i); }))
      return false;
    if (r.attempts[r.sent - 1].may_have_run) retry_tokens_ -= 1;
    Enqueue(r);
    ProbeFor(r);
    return true;
  }

  // ---- State: one list of fields that saves and loads; what follows from the settings is not in it ------

  void Fields(auto& a) {
    std::vector<RequestId> queue;
    for (const Held* r : waiting_) queue.push_back(r->id);
    a(random_, backends_, held_, queue, round_, trial_due_, room_, none_in_service_, kinds_, order_,
      members_);
    a(ranked_, chosen_, sparse_, sharers_, spare_, surveyed_at_, learned_, buckets_, out_, node_limit_,
      usual_);
    a(least_, zone_limit_, zone_out_, zones_, probes_out_, retry_tokens_, subscribed_, ask_at_, ask_wait_);
    a(tick_set_);
    if (!a.kLoads) return;
    waiting_.clear();
    for (RequestId id : queue) waiting_.push_back(held_.contains(id) ? &held_.at(id) : nullptr);
    index_.clear();
    for (uint32_t i = 0; i < backends_.size(); ++i) index_.emplace(backends_[i].id, i);
  }

  bool Load(std::string_view saved) {
    state::Reader in(saved);
    Fields(in);
    auto known = [this](uint32_t i) { return i < backends_.size(); };
    auto sound = [this](const Backend& b) { return b.kind >= 0 && b.kind < std::ssize(kinds_); };
    auto fits = [&](const auto& held) {
      const Held& r = held.second;
      return r.id == held.first && r.cls >= 0 && r.cls < std::ssize(learned_) && r.sent >= 0 &&
             r.sent <= kMostAttempts &&
             std::all_of(r.attempts.begin(), r.attempts.begin() + r.sent,
                         [&](const Attempt& a) { return known(a.backend); });
    };
    return in.Whole() && learned_.size() == set_.classes.size() && buckets_.size() == set_.tenants.size() &&
           std::ranges::all_of(order_, known) && std::ranges::all_of(members_, known) &&
           std::ranges::all_of(backends_, sound) && std::ranges::all_of(held_, fits) &&
           std::ranges::all_of(waiting_, [](const Held* r) { return r != nullptr && r->waiting; });
  }

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  size_t Below(size_t n) { return static_cast<size_t>(Uniform() * static_cast<double>(n)); }

 private:
  Settings set_;
  std::mt19937_64 random_;
  Micros now_ = 0;
  ActionSink* act_ = nullptr;

  std::vector<Backend> backends_;
  std::unordered_map<BackendId, uint32_t> index_;  // looked up, never walked
  std::unordered_map<RequestId, Held> held_;       // looked up, never walked
  std::vector<Held*> waiting_;                     // in order of arrival
  uint64_t round_ = 0;                             // of sends
  bool trial_due_ = false;
  bool room_ = false;
  bool none_in_service_ = false;
  std::vector<uint32_t> candidates_;
  std::vector<double> kinds_;      // smoothed payoff by kind of machine
  std::vector<uint32_t> order_;    // the ready, by rank
  std::vector<uint32_t> members_;  // those this node keeps to
  bool ranked_ = false;            // order_ is in step with the list
  bool chosen_ = false;            // members_ with the list and the sleeps
  bool sparse_ = false;            // more nodes than backends
  double sharers_ = 1;             // nodes that keep to the same backend
  double spare_ = 0;               // time of requests in flight under this node's part
  Micros surveyed_at_ = 0;
  std::vector<Learned> learned_;
  std::vector<Bucket> buckets_;
  int out_ = 0;  // attempts
  double node_limit_ = 1;
  double usual_ = 50 * kMs;  // the latency of the slowest class, and of the fastest
  double least_ = 0;
  double zone_limit_ = 0;
  int zone_out_ = 0;
  int zones_ = 1;
  Micros tightest_aim_ = 60 * kSecond;
  size_t load_column_ = 0;
  int probes_each_ = 0;
  int probes_out_ = 0;
  double retry_tokens_ = kMostRetries;
  bool subscribed_ = false;
  Micros ask_at_ = 0;
  Micros ask_wait_ = 0;
  bool tick_set_ = false;
};

Balancer::Balancer(const Settings& settings, uint64_t seed) : node_(std::make_unique<Node>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::OnList(Micros t, const BackendList& l, ActionSink& a) { node_->At(t, a, &Node::TakeList, l); }
void Balancer::OnRequest(Micros t, const Request& r, ActionSink& a) { node_->At(t, a, &Node::OnRequest, r); }
void Balancer::OnStreamStarted(Micros t, RequestId id, int attempt, ActionSink& a) {
  node_->At(t, a, &Node::OnStreamStarted, id, attempt);
}
void Balancer::OnResult(Micros t, const AttemptResult& r, ActionSink& a) {
  node_->At(t, a, &Node::Result, r);
}
void Balancer::OnClientLeft(Micros t, RequestId id, ActionSink& a) {
  node_->At(t, a, &Node::OnClientLeft, id);
}
void Balancer::OnTimer(Micros t, uint64_t timer, ActionSink& a) { node_->At(t, a, &Node::OnTimer, timer); }
std::string Balancer::Save() const {
  state::Writer out;
  node_->Fields(out);
  return out.Take();
}
bool Balancer::Load(std::string_view saved) { return node_->Load(saved); }
void Balancer::OnProbe(Micros t, const ProbeResult& r, ActionSink& a) { node_->At(t, a, &Node::OnProbe, r); }

}  // namespace meadowslip
