// The network between any two processes, as it treats what they send: each direction by itself loses, delays,
// doubles, reorders, slows or cuts. No I/O, no clock: who carries the bytes asks when each piece arrives. The
// same seed and the same calls give the same answers.
#ifndef BURLFALL_LAB_PATHS_PATH_MODEL_H_
#define BURLFALL_LAB_PATHS_PATH_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "io/time.h"
#include "lab/script/script.h"

namespace burlfall::lab {

// Of one direction of a path.
struct PathQuality {
  bool cut = false;         // nothing arrives, and there is no sign of it
  double lost = 0;          // share of the datagrams; a stream sends what was lost again, and is late by that
  Range delay_ms = {0, 0};  // one way, drawn for each
  double doubled = 0;       // share of the datagrams that arrive a second time; streams hide it
  double reordered = 0;     // share of the datagrams that others overtake; streams hide it
  double bytes_per_s = 0;   // that pass; 0: no limit
  bool operator==(const PathQuality&) const = default;
};

// Processes go by numbers that the caller gives a meaning to.
class PathModel {
 public:
  explicit PathModel(uint64_t seed) : draws_(seed, "paths") {}

  void Set(int from, int to, const PathQuality& quality);
  const PathQuality& Of(int from, int to) const;

  // When a datagram that is sent now arrives: never, once or twice.
  std::vector<Micros> Datagram(Micros now, int from, int to, size_t bytes);
  // When a piece of a stream that is sent now arrives, no earlier than what went before it (`after`); kNever
  // while the path is cut.
  Micros Piece(Micros now, int from, int to, size_t bytes, Micros after);

 private:
  using Path = std::pair<int, int>;
  Micros Through(Micros now, const Path& path, const PathQuality& quality, size_t bytes);

  Stream64 draws_;
  std::map<Path, PathQuality> paths_;  // those that are not clear
  std::map<Path, Micros> free_at_;     // of those that are slow: when what was sent before is through
  const PathQuality clear_ = {};
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_PATHS_PATH_MODEL_H_
