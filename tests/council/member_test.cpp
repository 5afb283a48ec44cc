// Members of the coordinator group on a virtual clock: operators' calls, the log and the owner of a work.
#include <gtest/gtest.h>

#include "virtual_council.h"

namespace burlfall::council {
namespace {

TEST(CoordinatorMember, BeginsALogAndHandsTheWorkOver) {
  VirtualCouncil council(3, 1, 1);
  council.StartAll();
  council.Begin(0);
  ASSERT_TRUE(council.MakeOwner(3)) << "a member that follows owns the work";
  const VirtualCouncil::Owner owner = council.OwnerAt(0);
  EXPECT_EQ(owner.name, "m4");
  ASSERT_TRUE(council.RunUntil([&] {
    for (size_t i = 0; i < 4; ++i) {
      const std::vector<uint64_t> obeyed = council.ObeyedBy(i);
      if (obeyed.empty() || obeyed.back() != owner.epoch) return false;
    }
    return true;
  })) << "all obey it";
}

}  // namespace
}  // namespace burlfall::council
