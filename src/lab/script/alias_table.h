// Draws a position by weight in constant time, however many there are: Walker's alias method as Vose builds
// it.
#ifndef BURLFALL_LAB_SCRIPT_ALIAS_TABLE_H_
#define BURLFALL_LAB_SCRIPT_ALIAS_TABLE_H_

#include <cstdint>
#include <vector>

#include "lab/script/script.h"

namespace burlfall::lab {

class AliasTable {
 public:
  explicit AliasTable(const std::vector<double>& weights);  // one at least, none below 0, not all 0

  int Pick(Stream64& stream) const {
    const double at = stream.Uniform() * static_cast<double>(slots_.size());
    const auto i = static_cast<uint32_t>(at);
    const Slot& slot = slots_[i];
    return static_cast<int>(at - i < slot.own ? i : slot.other);
  }

 private:
  struct Slot {
    double own = 1;  // share of the slot that is its own position's
    uint32_t other = 0;
  };
  std::vector<Slot> slots_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SCRIPT_ALIAS_TABLE_H_
