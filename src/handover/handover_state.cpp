#include "handover/handover_state.h"

#include <algorithm>
#include <utility>

namespace burlfall {

std::vector<std::string> Pieces(Estate estate) {
  const std::string all = Pack('Z', std::move(estate)).substr(1);
  std::vector<std::string> pieces;
  size_t at = 0;
  do {
    const size_t n = std::min(kMostPiece, all.size() - at);
    pieces.push_back(std::string(1, at + n == all.size() ? 'Z' : 'E').append(all, at, n));
    at += n;
  } while (at < all.size());
  return pieces;
}

EstateReader::Read EstateReader::Take(std::string_view message) {
  if (message.empty() || bytes_.size() + message.size() > kMostEstate) return Read::kBad;
  bytes_.append(message.substr(1));
  if (message.front() == 'E') return Read::kMore;
  std::optional<Estate> estate = Unpack<Estate>(bytes_);
  if (message.front() != 'Z' || !estate) return Read::kBad;
  estate_ = std::move(*estate);
  return Read::kWhole;
}

}  // namespace burlfall
