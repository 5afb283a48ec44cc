// A set of numbers with a random draw and removal in constant time. Each number's place in it is kept
// outside, by `place(n)`, so that a number may stand in many bags at the cost of a word each.
#ifndef BURLFALL_KIT_INDEXED_SET_H_
#define BURLFALL_KIT_INDEXED_SET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace burlfall::kit {

class Bag {
 public:
  bool empty() const { return items_.empty(); }
  size_t size() const { return items_.size(); }
  uint32_t operator[](size_t at) const { return items_[at]; }

  void Put(uint32_t n, const auto& place) {
    place(n) = static_cast<uint32_t>(items_.size());
    items_.push_back(n);
  }
  void Drop(uint32_t n, const auto& place) {
    const uint32_t at = place(n), last = items_.back();
    items_[at] = last;
    place(last) = at;
    items_.pop_back();
  }

  // The first that fits, in random order, each looked at once, `most` of them at the most; `none` if none
  // did. Every one that fits is as likely as any other. `below(n)` draws. A number that fits stays where it
  // is: the usual case writes nothing.
  uint32_t Draw(size_t most, uint32_t none, const auto& below, const auto& fits, const auto& place) {
    for (size_t from = 0; from < std::min(most, items_.size()); ++from) {
      const size_t at = from + below(items_.size() - from);
      const uint32_t n = items_[at];
      if (fits(n)) return n;
      std::swap(items_[at], items_[from]);
      place(items_[at]) = static_cast<uint32_t>(at);
      place(items_[from]) = static_cast<uint32_t>(from);
    }
    return none;
  }

  // From places that were saved, one number after the other; at the end it has to be whole. False where it is
  // not the place of one of `most` numbers, or is taken.
  bool Restore(uint32_t n, size_t most, const auto& place) {
    const size_t at = place(n);
    if (at >= most) return false;
    if (items_.size() <= at) items_.resize(at + 1, kHole);
    return std::exchange(items_[at], n) == kHole;
  }
  bool Whole() const { return std::find(items_.begin(), items_.end(), kHole) == items_.end(); }

 private:
  static constexpr uint32_t kHole = ~uint32_t{0};
  std::vector<uint32_t> items_;
};

}  // namespace burlfall::kit

#endif  // BURLFALL_KIT_INDEXED_SET_H_
