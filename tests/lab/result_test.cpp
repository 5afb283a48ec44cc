// Tests that result.json is read back as written, and that the page about it is up to date.
#include "lab/judge/result.h"

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "stage.h"

namespace burlfall::lab {
namespace {

Verdict Sample() {
  Stage stage;
  stage.Good(kRead, 0);
  stage.End(stage.Ask(kRelease, 100), 130, End::kBroken);
  stage.judge.FaultBegan(1, stage.At(200));
  return stage.Finish(60'000);
}

TEST(Result, IsReadBackAsWritten) {
  const nlohmann::ordered_json json = ToJson(Sample());
  Verdict read;
  std::string error;
  ASSERT_TRUE(FromJson(nlohmann::ordered_json::parse(json.dump()), read, error)) << error;
  EXPECT_EQ(ToJson(read), json);
  EXPECT_EQ(read.rules[0].findings.size(), 1u);
  EXPECT_EQ(json["faults"][0]["name"], "zone-cut");
  EXPECT_EQ(json["verdict"], "broken");
}

TEST(Result, AnUnreadableFieldIsReportedByItsPath) {
  const nlohmann::ordered_json good = ToJson(Sample());
  Verdict read;
  std::string error;
  auto expect = [&](const nlohmann::ordered_json& json, const std::string& wanted) {
    EXPECT_FALSE(FromJson(json, read, error));
    EXPECT_EQ(error, wanted);
  };
  nlohmann::ordered_json bad = good;
  bad["schema"] = 1;
  expect(bad, "schema: 2 was expected");
  bad = good;
  bad["service"].erase("whole");
  expect(bad, "service.whole: missing");
  bad = good;
  bad["rules"][0]["findings"][0]["story"][1] = 3;
  expect(bad, "rules[0].findings[0].story[1]: a text was expected");
  bad = good;
  bad["outcomes"]["asked"] = -1;
  expect(bad, "outcomes.asked: a whole number from 0 was expected");
  expect(nlohmann::ordered_json::array(), "an object was expected");
  bad = good;
  bad["new_field"] = 1;
  EXPECT_TRUE(FromJson(bad, read, error));
}

// If WRITE_DOCS is set, the test writes the page.
TEST(Result, ThePageMatchesTheListOfFields) {
  const std::string path = DOCS "/lab-result.md";
  if (std::getenv("WRITE_DOCS") != nullptr) std::ofstream(path) << ResultReference();
  std::ifstream file(path);
  std::stringstream page;
  page << file.rdbuf();
  EXPECT_EQ(page.str(), ResultReference());
}

}  // namespace
}  // namespace burlfall::lab
