// Differences between members that `burlfall cluster who-differs` reports.
#include "cluster/differences.h"

#include <gtest/gtest.h>

namespace burlfall::cluster {
namespace {

constexpr Micros kNow = 1000 * kSecond;

struct Fixture {
  Fixture() : detector(Options(), {"me", "a:1", {1, 0}}, {}, 1) {
    detector.Start(kNow);
    detector.SetFacts(Facts{"a", "0.2", 1, 77, 10, 0, 0});
  }
  void ReceiveFacts(const std::string& name, Facts facts) {
    Message message;
    message.from = {name, "b:" + std::to_string(++sequence), {1, 0}};
    message.sequence = sequence;
    message.facts = std::move(facts);
    detector.OnMessage(kNow, message);
  }
  FailureDetector detector;
  uint64_t sequence = 0;
};

TEST(WhoDiffers, NoDifferencesWhereAllMembersAgree) {
  Fixture fixture;
  for (const char* name : {"m1", "m2", "m3"}) fixture.ReceiveFacts(name, {"a", "0.2", 1, 77, 10, 100, 5});
  EXPECT_TRUE(FindDifferences(fixture.detector, kNow).empty());
}

TEST(WhoDiffers, OneLineForEachStaleListBuildAndConfiguration) {
  Fixture fixture;
  fixture.ReceiveFacts("m1", {"a", "0.1", 1, 77, 10, 100, 5});
  fixture.ReceiveFacts("m2", {"a", "0.2", 1, 78, 10, 100, 5});
  fixture.ReceiveFacts("m3", {"a", "0.2", 1, 77, 8, 30000, 5});
  fixture.ReceiveFacts("m4", {"a", "0.2", 1, 77, 9, 200,
                              5});  // one list behind, but its list is recent: the new one is in flight
  const std::vector<Difference> found = FindDifferences(fixture.detector, kNow);
  ASSERT_EQ(found.size(), 3u);
  EXPECT_EQ(found[0], (Difference{"m1", "build 0.1, most have 0.2"}));
  EXPECT_EQ(found[1].who, "m2");
  EXPECT_EQ(found[2], (Difference{"m3", "list 8, told 30 s ago; the newest is 10"}));
  EXPECT_EQ(NewestListVersion(fixture.detector, kNow), 10u);
}

TEST(WhoDiffers, ASharedStaleListIsReportedForAllMembers) {
  Fixture fixture;
  fixture.detector.SetFacts(Facts{"a", "0.2", 1, 77, 10, 60000, 0});
  for (const char* name : {"m1", "m2"}) fixture.ReceiveFacts(name, {"a", "0.2", 1, 77, 10, 60000, 5});
  const std::vector<Difference> found = FindDifferences(fixture.detector, kNow);
  ASSERT_EQ(found.size(), 1u);
  EXPECT_EQ(found[0].who, "");
}

TEST(WhoDiffers, WithoutAMajorityNoMemberIsNamed) {
  Fixture fixture;
  fixture.ReceiveFacts("m1", {"a", "0.3", 1, 77, 10, 100, 5});
  const std::vector<Difference> found = FindDifferences(fixture.detector, kNow);
  ASSERT_EQ(found.size(), 1u);
  EXPECT_EQ(found[0].who, "");
}

}  // namespace
}  // namespace burlfall::cluster
