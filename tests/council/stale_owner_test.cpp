// What an earlier owner has sent has no effect, however late it arrives.
#include <gtest/gtest.h>

#include "virtual_council.h"

namespace burlfall::council {
namespace {

using Observation = CoordinatorMember::Setup::Observation;

bool HasIncident(VirtualCouncil& council, size_t member) {
  return council.Call(member, "status json").find("zone_down") != std::string::npos;
}

// Guards against review/6: a proposal of an owner that was cut off lies in a silent connection, and opens an
// incident after another member owns the work, or after its lease is over.
class StaleOwner : public testing::TestWithParam<bool> {};

TEST_P(StaleOwner, ThatWasCutOffOpensNoIncident) {
  const bool another_takes_over = GetParam();
  VirtualCouncil council(3, 0, 1);
  for (size_t i = 1; i < 3; ++i) {
    if (!another_takes_over) council.SettingsOf(i).wants.clear();
  }
  bool zone_down = false;
  council.ObservationsOf(0) = [&zone_down] {
    const double share = zone_down ? 1 : 0;
    return std::vector<Observation>{{freeze::IncidentKind::kZoneDown, freeze::Scope::Zone("genf"), share}};
  };
  council.StartAll();
  council.Begin(1);  // m2 leads
  ASSERT_TRUE(council.MakeOwner(0));
  const uint64_t first_epoch = council.OwnerAt(1).epoch;
  // An incident opens by what the owner has seen for 5 s on end. The cut begins a moment before that.
  zone_down = true;
  council.RunFor(4700 * kMs);
  council.Cut(0, true);
  council.RunFor(6 * kSecond);
  zone_down = false;
  const VirtualCouncil::Owner owner = council.OwnerAt(1);
  if (another_takes_over) {
    EXPECT_GT(owner.epoch, first_epoch);
    EXPECT_NE(owner.name, "m1");
  } else {
    EXPECT_EQ(owner.name, "");
  }
  EXPECT_FALSE(HasIncident(council, 1)) << "nothing was proposed into the cut";
  council.Cut(0, false);
  council.RunFor(3 * kSecond);
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(council.LogOf(i).find("council_incident"), std::string::npos) << council.LogOf(i);
    EXPECT_FALSE(HasIncident(council, i));
    // The proposal did arrive, and each member says why it has no effect.
    EXPECT_NE(council.LogOf(i).find("council_entry_refused"), std::string::npos) << council.LogOf(i);
  }
}

INSTANTIATE_TEST_SUITE_P(Council, StaleOwner, testing::Bool());

// The same cause at an executor: its own log names another owner, which has not acted yet, and it obeys the
// earlier one.
TEST(Executors, RefuseAStaleOwnerOnceTheirLogNamesAnother) {
  VirtualCouncil council(3, 0, 1);
  council.SettingsOf(1).step_ms = 3000;  // it stands still before each act
  council.SettingsOf(2).wants.clear();
  council.StartAll();
  council.Begin(2);  // m3 leads
  ASSERT_TRUE(council.MakeOwner(0));
  const std::vector<uint64_t> first_epoch = {council.OwnerAt(2).epoch};
  ASSERT_TRUE(council.RunUntil([&] { return council.ObeyedBy(2) == first_epoch; }));
  council.Cut(0, true);
  ASSERT_TRUE(council.RunUntil([&] { return council.OwnerAt(2).name == "m2"; }));
  const VirtualCouncil::Acts before = council.ActsAt(2);
  council.Cut(0, false);
  council.RunFor(kSecond);
  ASSERT_EQ(council.ObeyedBy(2), first_epoch) << "m2 has not acted yet";
  EXPECT_EQ(council.ActsAt(2).obeyed, before.obeyed);
  EXPECT_GT(council.ActsAt(2).refused, before.refused) << "no act of m1 has arrived";
}

// An executor that has lost its file asks the council, and obeys only the owner of now.
TEST(Executors, WithoutTheirFilesAreToldTheEpochOfNow) {
  VirtualCouncil council(3, 1, 1);
  council.SettingsOf(1).step_ms = 3000;
  council.StartAll();
  council.Begin(2);
  ASSERT_TRUE(council.MakeOwner(0));
  const uint64_t first_epoch = council.OwnerAt(2).epoch;
  council.Cut(0, true);
  ASSERT_TRUE(council.RunUntil([&] { return council.OwnerAt(2).epoch > first_epoch; }));
  std::vector<size_t> log_begins(4, 0);
  for (const size_t member : {size_t{2}, size_t{3}}) {
    council.Stop(member);
    council.LoseFile(member, ".epochs");
    log_begins[member] = council.LogOf(member).size();
    council.Start(member);
  }
  council.Cut(0, false);
  council.RunFor(10 * kSecond);
  for (const size_t member : {size_t{2}, size_t{3}}) {
    const std::vector<uint64_t> obeyed = council.ObeyedBy(member, log_begins[member]);
    ASSERT_FALSE(obeyed.empty());
    for (const uint64_t epoch : obeyed) EXPECT_GT(epoch, first_epoch);
  }
}

}  // namespace
}  // namespace burlfall::council
