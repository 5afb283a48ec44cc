#include "lab/script/alias_table.h"

#include <algorithm>
#include <numeric>

namespace burlfall::lab {

AliasTable::AliasTable(const std::vector<double>& weights) : slots_(weights.size()) {
  const double all = std::accumulate(weights.begin(), weights.end(), 0.0);
  const double scale = static_cast<double>(weights.size()) / all;
  std::vector<uint32_t> low;   // hold less than their slot
  std::vector<uint32_t> high;  // hold more, and fill up the low ones
  for (uint32_t i = 0; i < slots_.size(); ++i) {
    slots_[i] = {weights[i] * scale, i};
    (slots_[i].own < 1 ? low : high).push_back(i);
  }
  while (!low.empty() && !high.empty()) {
    const uint32_t needy = low.back();
    const uint32_t giver = high.back();
    low.pop_back();
    slots_[needy].other = giver;
    slots_[giver].own -= 1 - slots_[needy].own;
    if (slots_[giver].own < 1) {
      high.pop_back();
      low.push_back(giver);
    }
  }
  // What is left differs from a whole slot by rounding only; but a position of weight 0 may be among it.
  const auto most = std::max_element(weights.begin(), weights.end()) - weights.begin();
  for (uint32_t i : low) slots_[i].other = static_cast<uint32_t>(most);
}

}  // namespace burlfall::lab
