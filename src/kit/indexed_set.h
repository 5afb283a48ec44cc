// A set of numbers with constant-time insertion, removal and random draw. The caller stores each number's
// index in the set and gives access to it by `position(n)`; each set that a number belongs to costs one word.
#ifndef BURLFALL_KIT_INDEXED_SET_H_
#define BURLFALL_KIT_INDEXED_SET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace burlfall::kit {

class IndexedSet {
 public:
  bool empty() const { return items_.empty(); }
  size_t size() const { return items_.size(); }
  uint32_t operator[](size_t at) const { return items_[at]; }

  void Insert(uint32_t n, const auto& position) {
    position(n) = static_cast<uint32_t>(items_.size());
    items_.push_back(n);
  }
  void Remove(uint32_t n, const auto& position) {
    const uint32_t at = position(n), last = items_.back();
    items_[at] = last;
    position(last) = at;
    items_.pop_back();
  }

  // Draws in random order until a number is accepted, at most `max_tries` of them, each at most once; returns
  // `not_found` if none was accepted. Every acceptable number is equally likely. `random_below(n)` returns a
  // random index below n. An accepted number is not moved, so the common case writes nothing.
  uint32_t Draw(size_t max_tries, uint32_t not_found, const auto& random_below, const auto& accepts,
                const auto& position) {
    for (size_t from = 0; from < std::min(max_tries, items_.size()); ++from) {
      const size_t at = from + random_below(items_.size() - from);
      const uint32_t n = items_[at];
      if (accepts(n)) return n;
      std::swap(items_[at], items_[from]);
      position(items_[at]) = static_cast<uint32_t>(at);
      position(items_[from]) = static_cast<uint32_t>(from);
    }
    return not_found;
  }

  // Rebuilds the set from saved positions, one call for each number; Complete() must hold afterwards. Returns
  // false if the position is not below `count`, or is taken.
  bool Restore(uint32_t n, size_t count, const auto& position) {
    const size_t at = position(n);
    if (at >= count) return false;
    if (items_.size() <= at) items_.resize(at + 1, kEmptySlot);
    return std::exchange(items_[at], n) == kEmptySlot;
  }
  bool Complete() const { return std::find(items_.begin(), items_.end(), kEmptySlot) == items_.end(); }

 private:
  static constexpr uint32_t kEmptySlot = ~uint32_t{0};
  std::vector<uint32_t> items_;
};

}  // namespace burlfall::kit

#endif  // BURLFALL_KIT_INDEXED_SET_H_
