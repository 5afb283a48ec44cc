#include "gates/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace burlfall {
namespace {

constexpr size_t kMaxKeyBytes = 256;    // clients choose the key: longer ones are cut off
constexpr double kMaxWait = 1e15;       // microseconds; keeps the wait representable at tiny rates
constexpr double kOneToken = 1 - 1e-9;  // tolerates rounding

}  // namespace

void RateLimiter::Configure(const RateLimitSettings& settings) {
  if (!settings.on || settings.by_address != settings_.by_address || settings.max_keys < callers_.size()) {
    index_.clear();
    callers_.clear();
  }
  settings_ = settings;
  if (settings_.on) index_.reserve(settings_.max_keys);
  for (Caller& caller : callers_) {
    caller.rate = RateFor(caller.key);
    caller.tokens = std::min(caller.tokens, caller.rate.burst);
  }
}

const RateLimitSettings::Rate& RateLimiter::RateFor(const std::string& key) const {
  auto it = settings_.rates_by_key.find(key);
  return it == settings_.rates_by_key.end() ? settings_.default_rate : it->second;
}

// A full table evicts the least recently seen caller and reuses its list node.
RateLimiter::Caller& RateLimiter::FindOrAdd(std::string_view key, Micros now) {
  key = key.substr(0, kMaxKeyBytes);
  auto it = index_.find(key);
  if (it != index_.end()) {
    callers_.splice(callers_.begin(), callers_, it->second);
    return callers_.front();
  }
  if (callers_.size() >= settings_.max_keys) {
    index_.erase(callers_.back().key);
    callers_.splice(callers_.begin(), callers_, std::prev(callers_.end()));
  } else {
    callers_.emplace_front();
  }
  Caller& caller = callers_.front();
  caller.key = key;
  caller.rate = RateFor(caller.key);
  caller.tokens = caller.rate.burst;
  caller.filled_at = now;
  index_.emplace(caller.key, callers_.begin());
  return caller;
}

std::optional<Micros> RateLimiter::CheckLimit(std::string_view key, Micros now) {
  if (!settings_.on) return std::nullopt;
  Caller& caller = FindOrAdd(key, now);
  const double rate = caller.rate.per_s;
  if (rate <= 0) return kNever;
  const double earned = rate * static_cast<double>(now - caller.filled_at) / kSecond;
  caller.tokens = std::min(caller.rate.burst, caller.tokens + std::max(0.0, earned));
  caller.filled_at = now;
  if (caller.tokens >= kOneToken) {
    caller.tokens = std::max(0.0, caller.tokens - 1);
    return std::nullopt;
  }
  const double wait = std::ceil((1 - caller.tokens) / rate * kSecond - 1e-3);
  return static_cast<Micros>(std::min(wait, kMaxWait));
}

std::string RateLimiter::FormatSeconds(Micros wait) {
  const Micros ms = std::max<Micros>(1, (wait + kMs - 1) / kMs);
  std::string text = std::to_string(ms / 1000);
  if (ms % 1000 == 0) return text;
  std::string fraction = std::to_string(1000 + ms % 1000);
  fraction[0] = '.';
  fraction.erase(fraction.find_last_not_of('0') + 1);
  return text + fraction;
}

}  // namespace burlfall
