#include "upstream/idle_reuse_stats.h"

#include <algorithm>
#include <tuple>

namespace burlfall {
namespace {

constexpr Micros kFirstPlace = 16 * kMs;
constexpr Micros kRemembered = 10 * kSecond;
constexpr int kLeastResets = 3;
constexpr int kMostSeen = 64;
constexpr int kBadPart = 4;  // a link is of no use where one in so many is reset

}  // namespace

size_t IdleRecord::Place(Micros idle) {
  size_t place = 0;
  while (place + 1 < std::tuple_size_v<decltype(seen_)> && idle >= kFirstPlace << place) ++place;
  return place;
}

void IdleRecord::NoteUse(Micros idle, Micros now) {
  Seen& seen = seen_[Place(idle)];
  if (now - seen.since > kRemembered) seen = {0, 0, now};
  ++seen.used;
  if (seen.used >= kMostSeen) seen = {seen.used / 2, seen.reset / 2, now};
}

// A link that was idle for longer than one that is of no use is of none either.
bool IdleRecord::Usable(Micros idle, Micros now) const {
  return std::none_of(seen_.begin(), seen_.begin() + static_cast<std::ptrdiff_t>(Place(idle)) + 1,
                      [&](const Seen& seen) {
                        return now - seen.since <= kRemembered && seen.reset >= kLeastResets &&
                               seen.reset * kBadPart >= seen.used;
                      });
}

}  // namespace burlfall
