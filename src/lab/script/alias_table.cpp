#include "lab/script/alias_table.h"

#include <algorithm>
#include <numeric>

namespace burlfall::lab {

AliasTable::AliasTable(const std::vector<double>& weights) : slots_(weights.size()) {
  const double all = std::accumulate(weights.begin(), weights.end(), 0.0);
  const double scale = static_cast<double>(weights.size()) / all;
  std::vector<uint32_t> low;   // indices whose weight is below that of one slot
  std::vector<uint32_t> high;  // indices whose weight is one slot or more; they fill up the low ones
  for (uint32_t i = 0; i < slots_.size(); ++i) {
    slots_[i] = {weights[i] * scale, i};
    (slots_[i].own_share < 1 ? low : high).push_back(i);
  }
  while (!low.empty() && !high.empty()) {
    const uint32_t underfull = low.back();
    const uint32_t overfull = high.back();
    low.pop_back();
    slots_[underfull].other = overfull;
    slots_[overfull].own_share -= 1 - slots_[underfull].own_share;
    if (slots_[overfull].own_share < 1) {
      high.pop_back();
      low.push_back(overfull);
    }
  }
  // The indices that remain differ from a full slot only by rounding errors. One of them may have weight 0
  // and must never be returned, so the rest of each slot goes to the heaviest index.
  const auto heaviest = std::max_element(weights.begin(), weights.end()) - weights.begin();
  for (uint32_t i : low) slots_[i].other = static_cast<uint32_t>(heaviest);
}

}  // namespace burlfall::lab
