// A council that is rebuilt after all voters have lost their folders: no earlier owner is obeyed.
#include <gtest/gtest.h>

#include <algorithm>

#include "virtual_council.h"

namespace burlfall::council {
namespace {

constexpr size_t kVoters = 3;
constexpr size_t kOwner = 3;     // a member that follows, and owns the work before
constexpr size_t kFollower = 4;  // another
constexpr uint64_t kFloor = 1'000'000;

// A council whose voters have lost their folders, while the owner's lease still runs.
class RebuiltCouncil : public testing::Test {
 protected:
  RebuiltCouncil() : council(kVoters, 2, 1) {
    for (size_t i = 0; i < kVoters + 2; ++i) council.SettingsOf(i).lease_s = 20;
    council.StartAll();
    council.Begin(0);
    EXPECT_TRUE(council.MakeOwner(kOwner));
    epoch = council.OwnerAt(0).epoch;
    EXPECT_TRUE(council.RunUntil([&] { return Obeys(0) && Obeys(kFollower); }));
    council.RunFor(kSecond);
    for (size_t i = 0; i < kVoters; ++i) council.Stop(i);
    for (size_t i = 0; i < kVoters; ++i) council.LoseFolder(i);
    for (size_t i = 0; i < kVoters + 2; ++i) log_begins.push_back(council.LogOf(i).size());
    for (size_t i = 0; i < kVoters; ++i) council.Start(i);
    council.RunFor(6 * kSecond);  // acts of the owner wait at the voters
  }
  bool Obeys(size_t member) {
    const std::vector<uint64_t> obeyed = council.ObeyedBy(member);
    return !obeyed.empty() && obeyed.back() == epoch;
  }
  std::vector<uint64_t> ObeyedSince(size_t member) { return council.ObeyedBy(member, log_begins[member]); }
  bool Tells(size_t member, const std::string& event) {
    return council.LogOf(member).find("\"" + event + "\"", log_begins[member]) != std::string::npos;
  }

  VirtualCouncil council;
  uint64_t epoch = 0;
  std::vector<size_t> log_begins;
};

// Guards against review/7: executors without their files were told that the work never had an owner, and
// obeyed the earlier owner.
TEST_F(RebuiltCouncil, VotersWithoutTheirFilesObeyNoStaleOwner) {
  ASSERT_TRUE(council.Call(0, "begin " + std::to_string(kFloor)).starts_with("the log begins here"));
  ASSERT_TRUE(council.RunUntil([&] {
    for (size_t i = 0; i < kVoters; ++i) {
      if (ObeyedSince(i).empty()) return false;
    }
    return true;
  })) << "all voters obey the owner of now";
  council.RunFor(12 * kSecond);
  for (size_t i = 0; i < kVoters; ++i) {
    for (const uint64_t obeyed : ObeyedSince(i)) EXPECT_GT(obeyed, kFloor) << "m" << i + 1;
  }
  EXPECT_GT(council.OwnerAt(0).epoch, kFloor);
}

// Members that have their files, and the owner itself, learn the floor from the new log, before the work is
// granted again.
TEST_F(RebuiltCouncil, MembersThatLearnTheFloorStopAndRefuseTheStaleOwner) {
  for (size_t i = 0; i < kVoters; ++i) council.Stop(i);
  for (size_t i = 0; i < kVoters; ++i) {
    council.SettingsOf(i).wants.clear();
    council.Start(i);
  }
  council.Call(0, "begin " + std::to_string(kFloor));
  ASSERT_TRUE(council.RunUntil([&] { return Tells(kOwner, "council_rebuilt"); }));
  ASSERT_TRUE(council.RunUntil([&] { return Tells(kFollower, "council_rebuilt"); }));
  EXPECT_TRUE(Tells(kOwner, "council_lost")) << council.LogOf(kOwner);
  council.RunFor(12 * kSecond);
  for (size_t i = 0; i < kVoters + 2; ++i) {
    for (const uint64_t obeyed : ObeyedSince(i)) EXPECT_GT(obeyed, kFloor) << "m" << i + 1;
  }
  // Also after a restart, and with a log that goes on behind a snapshot.
  council.Stop(kFollower);
  council.Start(kFollower);
  council.RunFor(12 * kSecond);
  for (const uint64_t obeyed : ObeyedSince(kFollower)) EXPECT_GT(obeyed, kFloor);
  EXPECT_GT(council.OwnerAt(kFollower).epoch, kFloor);
}

// Without a floor, or with one below its epoch, the same owner would be obeyed again.
TEST_F(RebuiltCouncil, IsRefusedWithANumberBelowAnEpochThatWasGiven) {
  for (const std::string& words : {std::string("begin"), "begin " + std::to_string(epoch - 1)}) {
    const std::string answer = council.Call(0, words);
    EXPECT_TRUE(answer.starts_with("!majority_lost: ")) << answer;
    EXPECT_NE(answer.find("Epoch " + std::to_string(epoch) + " was given"), std::string::npos) << answer;
  }
  for (const char* words : {"begin 4611686018427387905", "begin 18446744073709551615"}) {
    const std::string answer = council.Call(0, words);
    EXPECT_TRUE(answer.starts_with("!malformed: ")) << answer;
  }
  council.RunFor(5 * kSecond);
  for (size_t i = 0; i < kVoters; ++i) EXPECT_TRUE(ObeyedSince(i).empty()) << "m" << i + 1;
  EXPECT_TRUE(council.Call(0, "begin " + std::to_string(epoch)).starts_with("the log begins here"));
}

}  // namespace
}  // namespace burlfall::council
