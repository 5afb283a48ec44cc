#include "links/link_shedding.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burlfall {
namespace {

constexpr std::array<int64_t, 3> kMinStalledUs = {250'000, 600'000, 1'000'000};  // by LinkStatus::Activity

constexpr int64_t kMinStalledHoldingUs = 250'000;

}  // namespace

std::vector<size_t> ChooseLinksToClose(std::span<const LinkStatus> links, size_t wanted) {
  std::vector<size_t> order;
  for (size_t i = 0; i < links.size(); ++i) {
    const auto activity = static_cast<size_t>(links[i].activity);
    if (activity < kMinStalledUs.size() && links[i].stalled >= kMinStalledUs[activity]) order.push_back(i);
  }
  const size_t count = std::min(wanted, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
                    [&](size_t a, size_t b) {
                      return std::pair(links[a].activity, -links[a].stalled) <
                             std::pair(links[b].activity, -links[b].stalled);
                    });
  order.resize(count);
  return order;
}

std::vector<size_t> ChooseLinksToFree(std::span<const HeldRequestBytes> links, size_t wanted) {
  std::vector<size_t> order;
  for (size_t i = 0; i < links.size(); ++i) {
    if (links[i].bytes > 0 && links[i].stalled >= kMinStalledHoldingUs) order.push_back(i);
  }
  std::sort(order.begin(), order.end(),
            [&](size_t a, size_t b) { return links[a].stalled > links[b].stalled; });
  size_t freed = 0, count = 0;
  while (count < order.size() && freed < wanted) freed += links[order[count++]].bytes;
  order.resize(count);
  return order;
}

}  // namespace burlfall
