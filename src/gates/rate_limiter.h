// Rate limits at admission: a token bucket for each caller, so that one faulty app does not starve the
// others. A query refused here reaches neither the module nor a server.
#ifndef BURLFALL_GATES_RATE_LIMITER_H_
#define BURLFALL_GATES_RATE_LIMITER_H_

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "config/properties.h"
#include "io/time.h"

namespace burlfall {

// Keeps the buckets of at most `max_keys` callers, and evicts the least recently seen ones.
class RateLimiter {
 public:
  // Known callers keep the state of their buckets, unless the kind of key changes or the new table is too
  // small for them.
  void Configure(const RateLimitSettings& settings);
  bool enabled() const { return settings_.on; }
  bool by_address() const { return settings_.by_address; }
  size_t caller_count() const { return callers_.size(); }

  // Takes a token from the caller's bucket and returns nothing. If there is none, returns the time until the
  // next one in microseconds, or kNever if the caller's rate is 0.
  std::optional<Micros> CheckLimit(std::string_view key, Micros now);

  // Formats `wait` for Retry-After: in seconds, rounded up to a millisecond, as the shortest decimal.
  static std::string FormatSeconds(Micros wait);

 private:
  struct Caller {
    std::string key;
    RateLimitSettings::Rate rate;
    double tokens = 0;
    Micros filled_at = 0;
  };
  using Callers = std::list<Caller>;

  const RateLimitSettings::Rate& RateFor(const std::string& key) const;
  Caller& FindOrAdd(std::string_view key, Micros now);

  RateLimitSettings settings_;
  Callers callers_;  // most recently seen first
  std::unordered_map<std::string_view, Callers::iterator> index_;
};

}  // namespace burlfall

#endif  // BURLFALL_GATES_RATE_LIMITER_H_
