#include "lab/paths/path_model.h"

#include <algorithm>

namespace burlfall::lab {
namespace {

// What a stream needs to notice a loss and send again, twice as long for each further loss in a row.
constexpr Micros kSentAgain = 200 * kMs;
constexpr int kMostLosses = 6;
constexpr Range kOvertakenMs = {1, 40};  // by which a datagram is late that others overtake

Micros FromMs(double ms) { return static_cast<Micros>(ms * kMs); }

}  // namespace

void PathModel::Set(int from, int to, const PathQuality& quality) {
  const Path path{from, to};
  if (quality == clear_) {
    paths_.erase(path);
    free_at_.erase(path);
  } else {
    paths_[path] = quality;
  }
}

const PathQuality& PathModel::Of(int from, int to) const {
  const auto it = paths_.find({from, to});
  return it == paths_.end() ? clear_ : it->second;
}

Micros PathModel::Through(Micros now, const Path& path, const PathQuality& quality, size_t bytes) {
  Micros at = now;
  if (quality.bytes_per_s > 0) {
    Micros& free_at = free_at_[path];
    free_at =
        std::max(free_at, now) +
        static_cast<Micros>(static_cast<double>(bytes) * static_cast<double>(kSecond) / quality.bytes_per_s);
    at = free_at;
  }
  return at + FromMs(draws_.Between(quality.delay_ms));
}

std::vector<Micros> PathModel::Datagram(Micros now, int from, int to, size_t bytes) {
  const PathQuality& quality = Of(from, to);
  if (quality == clear_) return {now};
  if (quality.cut || draws_.Chance(quality.lost)) return {};
  std::vector<Micros> all = {Through(now, {from, to}, quality, bytes)};
  if (draws_.Chance(quality.reordered)) all[0] += FromMs(draws_.Between(kOvertakenMs));
  if (draws_.Chance(quality.doubled)) {
    all.push_back(Through(now, {from, to}, quality, bytes) + FromMs(draws_.Between(kOvertakenMs)));
  }
  return all;
}

Micros PathModel::Piece(Micros now, int from, int to, size_t bytes, Micros after) {
  const PathQuality& quality = Of(from, to);
  if (quality.cut) return kNever;
  if (quality == clear_) return std::max(now, after);
  Micros at = Through(now, {from, to}, quality, bytes);
  Micros late = kSentAgain;
  for (int n = 0; n < kMostLosses && draws_.Chance(quality.lost); ++n, late *= 2) at += late;
  return std::max(at, after);
}

}  // namespace burlfall::lab
