// Generates the arrivals of queries. The load without traffic jumps is one source of arrivals, and each jump
// is a further source. A jump with a factor above 1 adds its own arrivals; one with a factor below 1 removes
// a share of the arrivals of the other sources (thinning). Adding a jump to an experiment therefore leaves
// the arrivals outside the jump unchanged.
#include <algorithm>
#include <cmath>
#include <queue>
#include <stdexcept>
#include <string>

#include "lab/script/alias_table.h"
#include "lab/script/portable_math.h"
#include "lab/script/script.h"

namespace burlfall::lab {
namespace {

// A bijection on 64 bits (the finaliser of MurmurHash3) and its inverse: traces look random, yet no two of
// them can be equal.
constexpr uint64_t Mix(uint64_t x) {
  x = (x ^ x >> 33) * 0xff51afd7ed558ccdULL;
  x = (x ^ x >> 33) * 0xc4ceb9fe1a85ec53ULL;
  return x ^ x >> 33;
}
constexpr uint64_t Unmix(uint64_t x) {
  x = (x ^ x >> 33) * 0x9cb4b2f8129337dbULL;
  x = (x ^ x >> 33) * 0x4f74430c22a54005ULL;
  return x ^ x >> 33;
}
static_assert(Unmix(Mix(0x0123456789abcdefULL)) == 0x0123456789abcdefULL);

// Bit fields of a trace before mixing, from the lowest bit: number of the try, number of the arrival within
// its source, source, run.
constexpr int kTryBits = 4;
constexpr int kArrivalBits = 40;
constexpr int kSourceBits = 8;
constexpr int kMaxSources = 1 << kSourceBits;
static_assert(kMaxTries == 1 << kTryBits);

// A change of the traffic by a factor, in one zone or in all of them.
struct Jump {
  Micros at = 0;
  Micros until = 0;
  double factor = 1;
  int zone = -1;  // -1: all zones
  bool Hits(int in) const { return zone < 0 || zone == in; }
};

// A period of a source during which its rate changes linearly and the zones' shares are constant.
struct Segment {
  double from = 0;                 // us
  double length = 0;               // us
  double low = 0;                  // rate at the start, arrivals per microsecond
  double high = 0;                 // rate at the end, arrivals per microsecond
  std::vector<double> zones = {};  // cumulative shares of the zones; the last is 1
};

// The load factor as a linear function of time, never below 0; it is valid between two steps of the shape.
struct LinearFactor {
  double at = 0;
  double value = 1;
  double slope = 0;
  double operator()(double t) const { return std::max(0.0, value + (t - at) * slope); }
};
LinearFactor ShapeAround(const std::vector<LoadSpec::Step>& shape, double us) {
  if (shape.empty()) return {};
  const auto after =
      std::find_if(shape.begin(), shape.end(), [&](const LoadSpec::Step& s) { return s.at_s * 1e6 > us; });
  if (after == shape.begin()) return {0, shape.front().factor, 0};
  if (after == shape.end()) return {0, shape.back().factor, 0};
  const LoadSpec::Step& before = *(after - 1);
  return {before.at_s * 1e6, before.factor,
          (after->factor - before.factor) / ((after->at_s - before.at_s) * 1e6)};
}

// Returns the given weights, or equal ones if none are given, scaled to a sum of 1.
std::vector<double> Shares(const std::vector<double>& given, size_t n) {
  std::vector<double> shares = given.empty() ? std::vector<double>(n, 1) : given;
  double all = 0;
  for (double share : shares) all += share;
  for (double& share : shares) share /= all;
  return shares;
}

// Returns the segments of the load without jumps (`source` is -1), or of the load that jump `source` adds. A
// jump that overlaps earlier ones multiplies the load that results from these.
std::vector<Segment> Segments(const Experiment& experiment, Micros length, const std::vector<Jump>& jumps,
                              int source) {
  const double end = static_cast<double>(length);
  std::vector<double> cuts = {0, end};
  for (const LoadSpec::Step& step : experiment.load.shape) cuts.push_back(step.at_s * 1e6);
  for (const Jump& jump : jumps) {
    cuts.push_back(static_cast<double>(jump.at));
    cuts.push_back(static_cast<double>(jump.until));
  }
  std::sort(cuts.begin(), cuts.end());
  const std::vector<double> shares = Shares(experiment.load.zone_shares, experiment.site.Zones());
  std::vector<Segment> segments;
  for (size_t i = 0; i + 1 < cuts.size(); ++i) {
    const double from = cuts[i];
    const double to = cuts[i + 1];
    if (from < 0 || to > end || from >= to) continue;
    const double middle = from + (to - from) / 2;
    auto on = [&](const Jump& j) {
      return static_cast<double>(j.at) <= middle && middle < static_cast<double>(j.until);
    };
    Segment segment{from, to - from, 0, 0, {}};
    double all = 0;
    for (int zone = 0; zone < static_cast<int>(shares.size()); ++zone) {
      double weight = shares[static_cast<size_t>(zone)];
      for (int k = 0; k <= source; ++k) {
        const Jump& jump = jumps[static_cast<size_t>(k)];
        const bool here = on(jump) && jump.Hits(zone);
        if (k == source) weight *= here ? std::max(0.0, jump.factor - 1) : 0;
        if (k < source && here) weight *= std::max(1.0, jump.factor);
      }
      segment.zones.push_back(all += weight);
    }
    if (all <= 0) continue;
    for (double& zone : segment.zones) zone /= all;
    const LinearFactor shape = ShapeAround(experiment.load.shape, middle);
    segment.low = experiment.load.rate_per_s * 1e-6 * all * shape(from);
    segment.high = experiment.load.rate_per_s * 1e-6 * all * shape(to);
    segments.push_back(std::move(segment));
  }
  return segments;
}

// Arrival times of an inhomogeneous Poisson process, by inversion: the random number is the integral of the
// rate until the next arrival.
class ArrivalTimes {
 public:
  ArrivalTimes(std::vector<Segment> segments, uint64_t seed, const std::string& actor)
      : segments_(std::move(segments)), stream_(seed, actor) {}

  // Sets `at` to the time of the next arrival and returns its segment, or nullptr after the last arrival.
  const Segment* Next(Micros& at) {
    double left = stream_.Exponential(1);
    while (now_ < segments_.size()) {
      const Segment& s = segments_[now_];
      const double slope = (s.high - s.low) / s.length;
      const double rate = s.low + slope * passed_;
      const double rest = (rate + s.high) / 2 * (s.length - passed_);
      if (left < rest) {
        const double square = std::max(0.0, rate * rate + 2 * slope * left);
        passed_ = std::min(s.length, passed_ + 2 * left / (rate + std::sqrt(square)));
        at = static_cast<Micros>(s.from + passed_);
        return &s;
      }
      left -= std::max(0.0, rest);
      passed_ = 0;
      ++now_;
    }
    return nullptr;
  }

 private:
  std::vector<Segment> segments_;
  size_t now_ = 0;
  double passed_ = 0;  // time since the start of the segment, us
  Stream64 stream_;
};

// A log-normal distribution with its constant terms computed once.
class WorkDistribution {
 public:
  WorkDistribution(double mean, double spread) {
    const double variance = Log(1 + spread * spread);
    mean_ = Log(mean) - variance / 2;
    deviation_ = std::sqrt(variance);
  }
  double Sample(Stream64& stream) const { return Exp(stream.Normal(mean_, deviation_)); }

 private:
  double mean_ = 0;
  double deviation_ = 0;
};

// Distributions and settings that all sources share.
struct SharedTables {
  SharedTables(const Experiment& e, const Script& script)
      : classes(Weights(e.classes)),
        tenants(e.tenants.empty() ? std::vector<double>{1} : Weights(e.tenants)),
        keys(Zipf(e.load.keys, e.load.key_skew)),
        first_key(Stream64(script.seed, "keys").Next() >> 1 | 1),
        error(1, e.load.hint_error),
        hints(e.load.hints),
        give_up_share(e.clients.give_up_share),
        honour_share(e.clients.honour_share) {
    for (size_t i = 0; i < e.classes.size(); ++i) {
      work.emplace_back(script.mean_work_us[i], e.classes[i].work_spread);
      deadlines.push_back(e.classes[i].deadline_ms * 1000);
    }
  }
  template <class Spec>
  static std::vector<double> Weights(const std::vector<Spec>& specs) {
    std::vector<double> weights;
    for (const Spec& spec : specs) weights.push_back(spec.share);
    return weights;
  }
  static std::vector<double> Zipf(int n, double skew) {
    std::vector<double> weights;
    weights.reserve(static_cast<size_t>(n));
    for (int rank = 1; rank <= n; ++rank) weights.push_back(Exp(-skew * Log(rank)));
    return weights;
  }

  AliasTable classes;
  AliasTable tenants;
  AliasTable keys;
  uint64_t first_key;
  std::vector<WorkDistribution> work;
  std::vector<double> deadlines;
  WorkDistribution error;
  bool hints;
  Range give_up_share;
  double honour_share;
};

// One source of arrivals: the load without jumps, or what one jump adds.
class Source {
 public:
  // `index`: -1 for the load without jumps, else the index of the jump.
  Source(const Experiment& experiment, const Script& script, const std::vector<Jump>& jumps, int index,
         const SharedTables& tables)
      : tables_(tables),
        jumps_(jumps),
        last_(script.length - 1),
        trace_((Stream64(script.seed, "traces").Next() | 1) << (kSourceBits + kArrivalBits + kTryBits) |
               static_cast<uint64_t>(index + 1) << (kArrivalBits + kTryBits)),
        actor_(index < 0 ? "arrivals" : "jump/" + std::to_string(index)),
        seed_(script.seed),
        times_(Segments(experiment, script.length, jumps, index), seed_, actor_ + "/time") {
    for (size_t k = 0; k < jumps.size(); ++k) thin_.push_back(Stream("thin/" + std::to_string(k)));
  }

  bool Next(Arrival& into) {
    do {
      const Segment* segment = times_.Next(into.at);
      if (segment == nullptr) return false;
      into.at = std::min(into.at, last_);
      const double zone_draw = zone_.Uniform();
      into.zone = 0;
      while (zone_draw >= segment->zones[static_cast<size_t>(into.zone)]) ++into.zone;
      into.cls = tables_.classes.Pick(class_);
      into.tenant = tables_.tenants.Pick(tenant_);
      into.key = Mix(tables_.first_key + static_cast<uint64_t>(tables_.keys.Pick(key_)));
      const auto cls = static_cast<size_t>(into.cls);
      into.work_us = tables_.work[cls].Sample(work_);
      into.estimate = 0;
      if (tables_.hints) {
        const double noisy_work = into.work_us * tables_.error.Sample(estimate_);
        into.estimate = std::max<Micros>(1, static_cast<Micros>(noisy_work + 0.5));
      }
      into.try_timeout =
          static_cast<Micros>(tables_.deadlines[cls] * try_timeout_.Between(tables_.give_up_share) + 0.5);
      into.honours_retry_after = honour_.Chance(tables_.honour_share);
      trace_ += uint64_t{1} << kTryBits;
      into.trace = Mix(trace_);
    } while (RemovedByThinning(into));
    return true;
  }

 private:
  // Each attribute of an arrival has a random number stream of its own.
  Stream64 Stream(const std::string& attribute) const { return Stream64(seed_, actor_ + "/" + attribute); }

  // Whether a jump with a factor below 1 removes the arrival. Each active jump consumes a random number, also
  // when another one has already removed the arrival, so that the streams stay independent.
  bool RemovedByThinning(const Arrival& a) {
    bool thinned = false;
    for (size_t k = 0; k < jumps_.size(); ++k) {
      const Jump& jump = jumps_[k];
      if (jump.factor >= 1 || a.at < jump.at || a.at >= jump.until || !jump.Hits(a.zone)) continue;
      if (!thin_[k].Chance(jump.factor)) thinned = true;
    }
    return thinned;
  }

  const SharedTables& tables_;
  const std::vector<Jump>& jumps_;
  Micros last_ = 0;
  uint64_t trace_ = 0;
  std::string actor_;
  uint64_t seed_ = 0;
  ArrivalTimes times_;
  Stream64 class_ = Stream("class");
  Stream64 tenant_ = Stream("tenant");
  Stream64 zone_ = Stream("zone");
  Stream64 key_ = Stream("key");
  Stream64 work_ = Stream("work");
  Stream64 estimate_ = Stream("estimate");
  Stream64 try_timeout_ = Stream("patience");
  Stream64 honour_ = Stream("honour");
  std::vector<Stream64> thin_;  // by jump
};

// Token bucket for a tenant's quota; its capacity is the quota of one second.
class QuotaBucket {
 public:
  explicit QuotaBucket(double per_s) : per_us_(per_s * 1e-6), burst_(std::max(1.0, per_s)), tokens_(burst_) {}
  bool Take(Micros at) {
    if (per_us_ <= 0) return true;  // the tenant has no quota
    tokens_ = std::min(burst_, tokens_ + static_cast<double>(at - last_) * per_us_);
    last_ = at;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double per_us_ = 0;
  double burst_ = 1;
  double tokens_ = 1;
  Micros last_ = 0;
};

// Merges the arrivals of all sources in order of time.
class MergedArrivals : public Arrivals {
 public:
  MergedArrivals(const Experiment& experiment, const Script& script)
      : jumps_(Jumps(experiment, script)), tables_(experiment, script) {
    for (const TenantSpec& tenant : experiment.tenants) quotas_.emplace_back(tenant.quota_per_s);
    if (quotas_.empty()) quotas_.emplace_back(0);
    sources_.reserve(jumps_.size() + 1);
    for (int i = -1; i < static_cast<int>(jumps_.size()); ++i) {
      sources_.emplace_back(experiment, script, jumps_, i, tables_);
      FetchNext(sources_.size() - 1);
    }
  }
  MergedArrivals(const MergedArrivals&) = delete;  // the sources hold references to members
  MergedArrivals& operator=(const MergedArrivals&) = delete;

  bool Next(Arrival& into) override {
    if (pending_.empty()) return false;
    into = pending_.top().arrival;
    const size_t source = pending_.top().source;
    pending_.pop();
    FetchNext(source);
    into.within_share = quotas_[static_cast<size_t>(into.tenant)].Take(into.at);
    return true;
  }

 private:
  struct PendingArrival {
    Arrival arrival;
    size_t source = 0;
    bool operator<(const PendingArrival& other) const {  // the earliest is on top
      if (arrival.at != other.arrival.at) return arrival.at > other.arrival.at;
      return source > other.source;
    }
  };

  // Returns the jumps in the order of the experiment file, not of time: a jump's random number streams are
  // named by its index among the jumps.
  static std::vector<Jump> Jumps(const Experiment& experiment, const Script& script) {
    std::vector<const Action*> actions;
    for (const Action& a : script.actions) {
      if (a.kind == FaultKind::kTrafficJump) actions.push_back(&a);
    }
    std::sort(actions.begin(), actions.end(),
              [](const Action* a, const Action* b) { return a->fault < b->fault; });
    std::vector<Jump> jumps;
    for (const Action* a : actions) {
      jumps.push_back({a->at, a->until, a->size, a->targets.empty() ? -1 : a->targets.front()});
    }
    if (jumps.size() >= kMaxSources) throw std::invalid_argument("too many traffic jumps");
    if (experiment.load.keys < 1) throw std::invalid_argument("a load without keys");
    return jumps;
  }

  void FetchNext(size_t source) {
    Arrival next;
    if (sources_[source].Next(next)) pending_.push({next, source});
  }

  std::vector<Jump> jumps_;
  SharedTables tables_;
  std::vector<Source> sources_;
  std::vector<QuotaBucket> quotas_;
  std::priority_queue<PendingArrival> pending_;
};

}  // namespace

uint64_t TraceOfTry(uint64_t first, int number) { return Mix(Unmix(first) + static_cast<uint64_t>(number)); }

uint64_t FirstTrace(uint64_t trace) { return Mix(Unmix(trace) & ~static_cast<uint64_t>(kMaxTries - 1)); }

int NumberOfTry(uint64_t trace) { return static_cast<int>(Unmix(trace) & (kMaxTries - 1)); }

std::unique_ptr<Arrivals> GenerateArrivals(const Experiment& experiment, const Script& script) {
  return std::make_unique<MergedArrivals>(experiment, script);
}

}  // namespace burlfall::lab
