// Rate limiting and rate measurement. The caller passes the time, in microseconds; no clock is read.
#ifndef BURLFALL_KIT_METERS_H_
#define BURLFALL_KIT_METERS_H_

#include <algorithm>
#include <cstdint>

namespace burlfall::kit {

constexpr double kMicrosPerSecond = 1e6;

// Refilled at a constant rate up to a capacity; each operation takes one token.
struct TokenBucket {
  double tokens = 0;
  int64_t filled_at = 0;

  void Fields(auto& a) { a(tokens, filled_at); }  // for serialization
  bool Take(double rate_per_s, double capacity, int64_t now) {
    tokens =
        std::min(capacity, tokens + rate_per_s * static_cast<double>(now - filled_at) / kMicrosPerSecond);
    filled_at = now;
    return Take();
  }
  bool Take() {
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }
  void Deposit(double amount, double capacity) { tokens = std::min(capacity, tokens + amount); }
};

// Decaying estimate of how often an event happens, over about the last `span` microseconds. Its
// arithmetic gives the same result on every machine.
struct Rate {
  double per_s = 0;
  int64_t at = 0;

  void Fields(auto& a) { a(per_s, at); }  // for serialization
  double At(int64_t now, double span) const { return per_s / (1 + static_cast<double>(now - at) / span); }
  void Add(int64_t now, double span) {
    per_s = At(now, span) + kMicrosPerSecond / span;
    at = now;
  }
};

}  // namespace burlfall::kit

#endif  // BURLFALL_KIT_METERS_H_
