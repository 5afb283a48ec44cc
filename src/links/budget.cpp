#include "links/budget.h"

#include <algorithm>

namespace burlfall {

void LinkBudget::Allow(size_t descriptors, size_t reserved) {
  const size_t left = descriptors - std::min(descriptors, reserved);
  spare_ = std::min(kSpare, left / 2);  // where there are few, half is links' all the same
  most_ = left - spare_;
}

size_t LinkBudget::open() const {
  size_t all = 0;
  for (const LinkHolder* holder : holders_) all += holder->open();
  return all;
}

bool LinkBudget::MakeRoom(size_t wanted) {
  if (open() < most_) return true;
  for (LinkHolder* holder : holders_) {
    if (holder->MakeRoom(wanted)) return true;
  }
  return false;
}

}  // namespace burlfall
