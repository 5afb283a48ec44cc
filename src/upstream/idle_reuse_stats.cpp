#include "upstream/idle_reuse_stats.h"

#include <algorithm>
#include <tuple>

namespace burlfall {
namespace {

constexpr Micros kFirstBucketLimit = 16 * kMs;
constexpr Micros kBucketLifetime = 10 * kSecond;
constexpr int kMinResets = 3;
constexpr int kMaxUses = 64;         // then both counts of the bucket are halved
constexpr int kBadUsesPerReset = 4;  // links are unusable if one in this many reuses is reset

}  // namespace

size_t IdleReuseStats::BucketOf(Micros idle) {
  size_t index = 0;
  while (index + 1 < std::tuple_size_v<decltype(buckets_)> && idle >= kFirstBucketLimit << index) ++index;
  return index;
}

void IdleReuseStats::NoteUse(Micros idle, Micros now) {
  Bucket& bucket = buckets_[BucketOf(idle)];
  if (now - bucket.since > kBucketLifetime) bucket = {0, 0, now};
  ++bucket.used;
  if (bucket.used >= kMaxUses) bucket = {bucket.used / 2, bucket.reset / 2, now};
}

// If links of some idle time are unusable, so are all that were idle for longer.
bool IdleReuseStats::Usable(Micros idle, Micros now) const {
  return std::none_of(buckets_.begin(), buckets_.begin() + static_cast<std::ptrdiff_t>(BucketOf(idle)) + 1,
                      [&](const Bucket& bucket) {
                        return now - bucket.since <= kBucketLifetime && bucket.reset >= kMinResets &&
                               bucket.reset * kBadUsesPerReset >= bucket.used;
                      });
}

}  // namespace burlfall
