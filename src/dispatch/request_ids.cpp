#include "dispatch/request_ids.h"

// Header-only, so the balancer links nothing more for it.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace burlfall {

void RequestIds::SetCapacity(size_t capacity) { capacity_ = std::max<size_t>(capacity, ring_.size()); }

RequestIdDigest RequestIds::DigestOf(std::string_view id) const { return XXH64(id.data(), id.size(), seed_); }

void RequestIds::Close(RequestIdDigest digest, bool keep) {
  open_.erase(digest);
  if (keep) Keep(digest);
}

void RequestIds::Keep(RequestIdDigest digest) {
  if (!ended_.insert(digest).second) return;
  if (ring_.size() < capacity_) {
    ring_.push_back(digest);
    return;
  }
  ended_.erase(ring_[oldest_]);
  ring_[oldest_] = digest;
  oldest_ = (oldest_ + 1) % ring_.size();
}

std::vector<RequestIdDigest> RequestIds::All() const {
  std::vector<RequestIdDigest> all(open_.begin(), open_.end());
  for (size_t i = 0; i < ring_.size(); ++i) all.push_back(ring_[(oldest_ + i) % ring_.size()]);
  return all;
}

}  // namespace burlfall
