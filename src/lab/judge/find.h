// Bounds-checked access to an entry by a number from an untrusted source.
#ifndef BURLFALL_LAB_JUDGE_FIND_H_
#define BURLFALL_LAB_JUDGE_FIND_H_

#include <cstddef>

namespace burlfall::lab {

template <typename All>
auto Find(All& all, int number) -> decltype(&all[0]) {  // null if there is none
  const auto at = static_cast<std::size_t>(number);
  return number >= 0 && at < all.size() ? &all[at] : nullptr;
}

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_FIND_H_
