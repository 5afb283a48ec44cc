// The ids of the requests that are open, and of the latest ones that may have run and must not run again. A
// request whose id is among them is a repeat: clients give each request an id of its own. Bounded, no I/O.
#ifndef BURLFALL_DISPATCH_REQUEST_IDS_H_
#define BURLFALL_DISPATCH_REQUEST_IDS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace burlfall {

using RequestIdDigest = uint64_t;

class RequestIds {
 public:
  // Two processes of one balancer compute the same digests from the same seed.
  explicit RequestIds(uint64_t seed) : seed_(seed) {}
  // The number of ids kept of requests that have ended; the oldest are forgotten first.
  void SetCapacity(size_t capacity);

  RequestIdDigest DigestOf(std::string_view id) const;
  bool Contains(RequestIdDigest digest) const { return open_.contains(digest) || ended_.contains(digest); }
  void Open(RequestIdDigest digest) { open_.insert(digest); }
  // The request has ended. It is kept if it must not run again.
  void Close(RequestIdDigest digest, bool keep);
  void Keep(RequestIdDigest digest);  // of a request that another process has begun
  std::vector<RequestIdDigest> All() const;

 private:
  const uint64_t seed_;
  size_t capacity_ = 4096;
  std::unordered_set<RequestIdDigest> open_;
  std::unordered_set<RequestIdDigest> ended_;
  std::vector<RequestIdDigest>
      ring_;  // of `ended_`, in the order in which they are forgotten from `oldest_` on
  size_t oldest_ = 0;
};

}  // namespace burlfall

#endif  // BURLFALL_DISPATCH_REQUEST_IDS_H_
