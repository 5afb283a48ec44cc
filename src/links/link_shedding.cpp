#include "links/link_shedding.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burlfall {
namespace {

constexpr std::array<int64_t, 3> kLeastStalled = {250'000, 600'000, 1'000'000};  // by what it is doing

}  // namespace

std::vector<size_t> WhoMakesRoom(std::span<const LinkStanding> links, size_t wanted) {
  std::vector<size_t> order;
  for (size_t i = 0; i < links.size(); ++i) {
    const auto doing = static_cast<size_t>(links[i].doing);
    if (doing < kLeastStalled.size() && links[i].stalled >= kLeastStalled[doing]) order.push_back(i);
  }
  const size_t most = std::min(wanted, order.size());
  std::partial_sort(
      order.begin(), order.begin() + static_cast<std::ptrdiff_t>(most), order.end(), [&](size_t a, size_t b) {
        return std::pair(links[a].doing, -links[a].stalled) < std::pair(links[b].doing, -links[b].stalled);
      });
  order.resize(most);
  return order;
}

}  // namespace burlfall
