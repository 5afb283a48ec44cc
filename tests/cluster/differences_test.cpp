#include "cluster/differences.h"

#include <gtest/gtest.h>

namespace burlfall::cluster {
namespace {

constexpr Micros kNow = 1000 * kSecond;

struct Stage {
  Stage() : detector(Options(), {"me", "a:1", {1, 0}}, {}, 1) {
    detector.Start(kNow);
    detector.SetFacts(Facts{"a", "0.2", 1, 77, 10, 0, 0});
  }
  void Tells(const std::string& name, Facts facts) {
    Message message;
    message.from = {name, "b:" + std::to_string(++sequence), {1, 0}};
    message.sequence = sequence;
    message.facts = std::move(facts);
    detector.OnMessage(kNow, message);
  }
  FailureDetector detector;
  uint64_t sequence = 0;
};

TEST(WhoDiffers, NobodyWhereAllAreAlike) {
  Stage stage;
  for (const char* name : {"m1", "m2", "m3"}) stage.Tells(name, {"a", "0.2", 1, 77, 10, 100, 5});
  EXPECT_TRUE(FindDifferences(stage.detector, kNow).empty());
}

TEST(WhoDiffers, AStaleListAnotherBuildAndAnotherConfigurationInALineEach) {
  Stage stage;
  stage.Tells("m1", {"a", "0.1", 1, 77, 10, 100, 5});
  stage.Tells("m2", {"a", "0.2", 1, 78, 10, 100, 5});
  stage.Tells("m3", {"a", "0.2", 1, 77, 8, 30000, 5});
  stage.Tells("m4", {"a", "0.2", 1, 77, 9, 200, 5});  // one list behind, and just told: it is on its way
  const std::vector<Difference> found = FindDifferences(stage.detector, kNow);
  ASSERT_EQ(found.size(), 3u);
  EXPECT_EQ(found[0], (Difference{"m1", "build 0.1, most have 0.2"}));
  EXPECT_EQ(found[1].who, "m2");
  EXPECT_EQ(found[2], (Difference{"m3", "list 8, told 30 s ago; the newest is 10"}));
  EXPECT_EQ(NewestListVersion(stage.detector, kNow), 10u);
}

TEST(WhoDiffers, AllStaleAlikeIsSaidOfAll) {
  Stage stage;
  stage.detector.SetFacts(Facts{"a", "0.2", 1, 77, 10, 60000, 0});
  for (const char* name : {"m1", "m2"}) stage.Tells(name, {"a", "0.2", 1, 77, 10, 60000, 5});
  const std::vector<Difference> found = FindDifferences(stage.detector, kNow);
  ASSERT_EQ(found.size(), 1u);
  EXPECT_EQ(found[0].who, "");
}

TEST(WhoDiffers, WhereNoValueHasMoreThanHalfNobodyIsBlamed) {
  Stage stage;
  stage.Tells("m1", {"a", "0.3", 1, 77, 10, 100, 5});
  const std::vector<Difference> found = FindDifferences(stage.detector, kNow);
  ASSERT_EQ(found.size(), 1u);
  EXPECT_EQ(found[0].who, "");
}

}  // namespace
}  // namespace burlfall::cluster
