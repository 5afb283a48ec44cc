// The settings file that --council reads.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

#include "config/council_settings.h"

namespace burlfall {
namespace {

std::string ShippedSettings() {
  std::ifstream file(DEPLOY "/council.toml");
  return {std::istreambuf_iterator<char>(file), {}};
}

TEST(CouncilSettings, ShippedFileIsValid) {
  const Loaded<CouncilSettings> loaded = ParseCouncil("council.toml", ShippedSettings());
  ASSERT_TRUE(loaded.value) << loaded.errors[0].Line();
  EXPECT_EQ(loaded.value->voters.size(), 3u);
  EXPECT_EQ(loaded.value->wants, std::vector<std::string>{"freeze"});
}

TEST(CouncilSettings, ErrorsNameTheSettingOrTheFile) {
  auto first_error = [](const std::string& more) {
    const Loaded<CouncilSettings> loaded = ParseCouncil("council.toml", more + ShippedSettings());
    return loaded.errors.empty() ? std::string() : loaded.errors[0].Line();
  };
  EXPECT_NE(first_error("told = \"nowhere\"\n").find("told"), std::string::npos);
  EXPECT_NE(first_error("heartbeat_ms = 400\n").find("election_ms"), std::string::npos);
  EXPECT_NE(
      first_error("[[voters]]\nname = \"balancer-9\"\naddress = \"127.0.0.9:1\"\n").find("council.toml"),
      std::string::npos);
}

}  // namespace
}  // namespace burlfall
