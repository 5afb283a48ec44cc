#define XXH_INLINE_ALL
#include <xxhash.h>

#include "lab/script/portable_math.h"
#include "lab/script/script.h"

namespace burlfall::lab {
namespace {

// Both the state and the stream (increment) of PCG depend on the actor, so that two actors share neither.
pcg64 Engine(uint64_t seed, std::string_view actor) {
  const XXH128_hash_t state = XXH3_128bits_withSeed(actor.data(), actor.size(), seed);
  const XXH128_hash_t stream = XXH3_128bits_withSeed(actor.data(), actor.size(), ~seed);
  using pcg_extras::pcg128_t;  // used by the macro
  auto combine = [](XXH128_hash_t hash) { return PCG_128BIT_CONSTANT(hash.high64, hash.low64); };
  return pcg64(combine(state), combine(stream));
}

}  // namespace

Stream64::Stream64(uint64_t seed, std::string_view actor) : engine_(Engine(seed, actor)) {}

uint64_t Stream64::Next() { return engine_(); }

double Stream64::Uniform() { return static_cast<double>(Next() >> 11) * 0x1p-53; }

double Stream64::Between(const Range& range) { return range.low + (range.high - range.low) * Uniform(); }

int Stream64::Below(int n) { return n < 2 ? 0 : static_cast<int>(engine_(static_cast<uint64_t>(n))); }

double Stream64::Exponential(double mean) { return -mean * Log(1 - Uniform()); }  // 1 - Uniform() is never 0

double Stream64::Normal(double mean, double deviation) {
  // Uses the middle of each interval between two adjacent values, which excludes both 0 and 1.
  return mean + deviation * NormalQuantile((static_cast<double>(Next() >> 12) + 0.5) * 0x1p-52);
}

double Stream64::LogNormal(double mean, double spread) {
  const double variance = Log(1 + spread * spread);
  return mean * Exp(Normal(-variance / 2, std::sqrt(variance)));
}

}  // namespace burlfall::lab
