// How links fare that are used again, by how long they were idle. Servers, and what lies between, may forget
// links far sooner than the settings say and without a sign: the next query on one is reset, and if it is
// unsafe it is lost. What was seen counts for some seconds, then links are tried that long again.
#ifndef BURLFALL_UPSTREAM_IDLE_REUSE_STATS_H_
#define BURLFALL_UPSTREAM_IDLE_REUSE_STATS_H_

#include <array>
#include <cstddef>

#include "io/time.h"

namespace burlfall {

class IdleRecord {
 public:
  void NoteUse(Micros idle, Micros now);
  void NoteReset(Micros idle) { ++seen_[Place(idle)].reset; }  // of a use that was noted
  bool Usable(Micros idle, Micros now) const;

 private:
  struct Seen {
    int used = 0;
    int reset = 0;
    Micros since = 0;
  };
  static size_t Place(Micros idle);
  std::array<Seen, 12> seen_{};  // each for twice the time of the one before
};

}  // namespace burlfall

#endif  // BURLFALL_UPSTREAM_IDLE_REUSE_STATS_H_
