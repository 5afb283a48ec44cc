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

// An act that came while the disk of epochs was opened again, after a failed write, left its epoch unwritten
// for good: no owner was obeyed any more.
TEST(CoordinatorMember, WritesEpochsAgainAfterAFailedWrite) {
  VirtualCouncil council(3, 1, 1);
  council.StartAll();
  council.Begin(0);
  ASSERT_TRUE(council.MakeOwner(1));
  const auto follower_obeys = [&](uint64_t epoch) {
    const std::vector<uint64_t> obeyed = council.ObeyedBy(3);
    return !obeyed.empty() && obeyed.back() == epoch;
  };
  ASSERT_TRUE(council.RunUntil([&] { return follower_obeys(council.OwnerAt(0).epoch); }));
  council.FailNextFlush(3);  // it has no log on its disk, but epochs
  ASSERT_TRUE(council.MakeOwner(2));
  EXPECT_TRUE(council.RunUntil([&] { return council.LogOf(3).find("council_disk") != std::string::npos; }));
  EXPECT_TRUE(council.RunUntil([&] { return follower_obeys(council.OwnerAt(0).epoch); }))
      << council.LogOf(3).substr(0, 4000);
}

}  // namespace
}  // namespace burlfall::council
