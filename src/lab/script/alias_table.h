// Weighted random selection in constant time, whatever the number of entries: Walker's alias method, with the
// table built by Vose's algorithm.
#ifndef BURLFALL_LAB_SCRIPT_ALIAS_TABLE_H_
#define BURLFALL_LAB_SCRIPT_ALIAS_TABLE_H_

#include <cstdint>
#include <vector>

#include "lab/script/script.h"

namespace burlfall::lab {

class AliasTable {
 public:
  // Requires at least one weight; none may be negative, and their sum must be above 0.
  explicit AliasTable(const std::vector<double>& weights);

  // Returns an index, chosen with a probability proportional to its weight.
  int Pick(Stream64& stream) const {
    const double at = stream.Uniform() * static_cast<double>(slots_.size());
    const auto i = static_cast<uint32_t>(at);
    const Slot& slot = slots_[i];
    return static_cast<int>(at - i < slot.own_share ? i : slot.other);
  }

 private:
  struct Slot {
    double own_share = 1;  // share of the slot that belongs to its own index; the rest belongs to `other`
    uint32_t other = 0;
  };
  std::vector<Slot> slots_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SCRIPT_ALIAS_TABLE_H_
