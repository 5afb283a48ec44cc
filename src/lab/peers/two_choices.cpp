// The fewer requests in flight of two hosts drawn, and hosts with errors ejected for a time: Envoy with
// lb_policy LEAST_REQUEST and `outlier_detection: {}`. Each figure is the documented default of the setting
// named beside it, but for the retries.
#include <algorithm>
#include <cmath>
#include <random>
#include <unordered_map>
#include <vector>

#include "lab/peers/peer_policy.h"

namespace burlfall::lab {
namespace {

using meadowslip::Outcome;

// outlier_detection. consecutive_gateway_failure is 5 too, and off (enforcing_consecutive_gateway_failure 0).
// Were it on it would eject nothing more: each gateway failure is a 5xx as well, and a row of the one is
// never longer than that of the other. So there is no count of its own.
constexpr int kConsecutive5xx = 5;                  // consecutive_5xx, enforced at 100 %
constexpr Micros kInterval = 10 * kSecond;          // interval
constexpr Micros kBaseEjection = 30 * kSecond;      // base_ejection_time
constexpr Micros kLongestEjection = 300 * kSecond;  // max_ejection_time
constexpr size_t kMostEjectedPercent = 10;          // max_ejection_percent; one host at the least
constexpr size_t kRateHosts = 5;                    // success_rate_minimum_hosts, enforced at 100 %
constexpr int kRateVolume = 100;                    // success_rate_request_volume
constexpr double kRateDeviations = 1.9;             // success_rate_stdev_factor, in thousandths there
// Where fewer of all hosts are left, ejections are passed over: common_lb_config.healthy_panic_threshold.
constexpr size_t kPanicPercent = 50;
// A route retries nothing unless it is told to. What is usual is taken: retry_on 5xx, reset and
// connect-failure on routes that are safe, and connect-failure and retriable-headers, for the word that it
// never ran, on the others; num_retries 1 and a back-off of 25 ms, which are the defaults then; never more
// than three requests in their second try, the default of circuit_breakers.max_retries; and another host, by
// retry_host_predicates.previous_hosts with host_selection_retry_max_attempts 3.
constexpr PeerRetries kRetries = {.most_tries = 2, .most_wait = 25 * kMs, .most_at_once = 3};
constexpr int kDrawsAnew = 3;

class TwoChoices : public PeerPolicy {
 public:
  explicit TwoChoices(uint64_t seed) : random_(seed) {}

  PeerRetries retries() const override { return kRetries; }

  std::optional<size_t> Pick(Micros, std::span<const PeerHost> hosts,
                             std::span<const BackendId> tried) override {
    left_.clear();
    for (size_t i = 0; i < hosts.size(); ++i) {
      if (!health_[hosts[i].id].ejected) left_.push_back(i);
    }
    if (left_.size() * 100 < hosts.size() * kPanicPercent) {
      left_.resize(hosts.size());
      for (size_t i = 0; i < hosts.size(); ++i) left_[i] = i;
    }
    size_t drawn = Draw(hosts);
    for (int n = 0; n < kDrawsAnew && WasTried(tried, hosts[drawn].id); ++n) {
      drawn = Draw(hosts);
    }
    return drawn;
  }

  void Listed(std::span<const PeerHost> hosts) override {
    std::unordered_map<BackendId, Health> kept;
    ejected_ = 0;
    for (const PeerHost& host : hosts) ejected_ += (kept[host.id] = health_[host.id]).ejected;
    health_ = std::move(kept);
  }

  // A host's refusals are 503 and 504; connections that fail, resets and silence count as those do, since
  // split_external_local_origin_errors is off.
  void Ended(Micros now, BackendId id, Outcome outcome) override {
    const auto it = health_.find(id);
    if (it == health_.end()) return;
    Health& host = it->second;
    const bool good = outcome == Outcome::kOk;
    ++host.asked;
    host.good += good;
    if (good) {
      host.errors = 0;
    } else if (++host.errors == kConsecutive5xx) {
      Eject(now, host);
    }
  }

  Micros sweep_every() const override { return kInterval; }

  void Sweep(Micros now, std::span<const PeerHost> hosts) override {
    for (auto& [id, host] : health_) {
      if (!host.ejected) {
        host.times = std::max(0, host.times - 1);
      } else if (now - host.ejected_at >= std::min(host.times * kBaseEjection, kLongestEjection)) {
        host.ejected = false;
        host.errors = 0;
        --ejected_;
      }
    }
    EjectByRate(now, hosts);
    for (auto& [id, host] : health_) host.asked = host.good = 0;
  }

 private:
  struct Health {
    int errors = 0;  // in a row
    bool ejected = false;
    Micros ejected_at = 0;
    int times = 0;  // ejected in a row; less by one with each sweep that finds it in service
    int asked = 0;  // since the last sweep
    int good = 0;
  };

  size_t Draw(std::span<const PeerHost> hosts) {
    const size_t x = left_[random_() % left_.size()];
    const size_t y = left_[random_() % left_.size()];
    return hosts[y].in_flight < hosts[x].in_flight ? y : x;
  }

  void Eject(Micros now, Health& host) {
    host.errors = 0;
    if (host.ejected) return;
    if (ejected_ > 0 && (ejected_ + 1) * 100 > health_.size() * kMostEjectedPercent) return;
    host.ejected = true;
    host.ejected_at = now;
    ++host.times;
    ++ejected_;
  }

  // Hosts whose share of good answers lies far below the others'.
  void EjectByRate(Micros now, std::span<const PeerHost> hosts) {
    std::vector<std::pair<Health*, double>> rates;
    double sum = 0;
    for (const PeerHost& listed : hosts) {
      Health& host = health_[listed.id];
      if (host.ejected || host.asked < kRateVolume) continue;
      rates.emplace_back(&host, static_cast<double>(host.good) / host.asked);
      sum += rates.back().second;
    }
    if (rates.size() < kRateHosts) return;
    const double count = static_cast<double>(rates.size()), mean = sum / count;
    double squares = 0;
    for (const auto& [host, rate] : rates) squares += (rate - mean) * (rate - mean);
    const double least = mean - kRateDeviations * std::sqrt(squares / count);
    for (const auto& [host, rate] : rates) {
      if (rate < least) Eject(now, *host);
    }
  }

  std::mt19937_64 random_;
  std::unordered_map<BackendId, Health> health_;  // of the listed; walked only where the order doesn't matter
  size_t ejected_ = 0;
  std::vector<size_t> left_;
};

}  // namespace

std::unique_ptr<PeerPolicy> MakeTwoChoices(uint64_t seed) { return std::make_unique<TwoChoices>(seed); }

}  // namespace burlfall::lab
