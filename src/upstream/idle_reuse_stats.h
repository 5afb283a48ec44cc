// Counts reuses of idle server links, and how many of them ended in a reset, by idle time. Servers and
// middleboxes may drop idle links far sooner than the settings say, and without notice: the next query on
// such a link is reset, and an unsafe one is lost. Counts expire after some seconds; then links of that idle
// time are tried again.
#ifndef BURLFALL_UPSTREAM_IDLE_REUSE_STATS_H_
#define BURLFALL_UPSTREAM_IDLE_REUSE_STATS_H_

#include <array>
#include <cstddef>

#include "io/time.h"

namespace burlfall {

class IdleReuseStats {
 public:
  // `idle`: how long the link was idle before its reuse. `now` is in microseconds.
  void NoteUse(Micros idle, Micros now);
  void NoteReset(Micros idle) { ++buckets_[BucketOf(idle)].reset; }  // NoteUse() came first
  bool Usable(Micros idle, Micros now) const;

 private:
  struct Bucket {
    int used = 0;
    int reset = 0;
    Micros since = 0;
  };
  static size_t BucketOf(Micros idle);
  std::array<Bucket, 12> buckets_{};  // each covers twice the idle time of the previous one
};

}  // namespace burlfall

#endif  // BURLFALL_UPSTREAM_IDLE_REUSE_STATS_H_
