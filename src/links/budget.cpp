#include "links/budget.h"

#include <algorithm>

namespace burlfall {

void LinkBudget::SetDescriptors(size_t descriptors, size_t reserved) {
  const size_t left = descriptors - std::min(descriptors, reserved);
  spare_ = std::min(kSpareDescriptors, left / 2);  // links get at least half of what is left
  max_links_ = left - spare_;
}

size_t LinkBudget::open() const {
  size_t total = 0;
  for (const LinkHolder* holder : holders_) total += holder->open();
  return total;
}

bool LinkBudget::EnsureCapacity(size_t wanted) {
  if (open() < max_links_) return true;
  const bool released = std::any_of(holders_.begin(), holders_.end(),
                                    [wanted](LinkHolder* holder) { return holder->ReleaseIdle(wanted); });
  return released && open() < hard_limit();
}

}  // namespace burlfall
