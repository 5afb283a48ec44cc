// The file that `serve --start` names.
#include "config/start_settings.h"

#include <gtest/gtest.h>

#include "config/explain.h"

namespace burlfall {
namespace {

TEST(StartSettings, AnEmptyFileIsTheDefaults) {
  const Loaded<StartSettings> loaded = ParseStart("start.toml", "");
  ASSERT_TRUE(loaded.value);
  EXPECT_TRUE(loaded.value->list_service.paced);
  EXPECT_EQ(loaded.value->balancers, 0);
  EXPECT_TRUE(loaded.value->saved_list.folder.empty());
  EXPECT_TRUE(SchemaFaults(StartSchema().Spec()).empty());
}

TEST(StartSettings, WhatIsWrittenReadsBackAsTheSame) {
  StartSettings one;
  one.balancers = 300;
  one.list_service.calls_per_s = 12.5;
  one.saved_list.folder = "/a \"b\"";
  const Loaded<StartSettings> loaded = ParseStart("start.toml", WriteStart(one));
  ASSERT_TRUE(loaded.value) << loaded.errors[0].Line();
  EXPECT_EQ(loaded.value->balancers, 300);
  EXPECT_EQ(loaded.value->list_service.calls_per_s, 12.5);
  EXPECT_EQ(loaded.value->saved_list.folder, one.saved_list.folder);
  EXPECT_EQ(WriteStart(*loaded.value), WriteStart(one));
}

TEST(StartSettings, AnErrorIsReportedWithFileLineAndKey) {
  struct Case {
    const char* text;
    const char* error;
  };
  for (const Case& c : std::initializer_list<Case>{
           {"balancers = -1", "start.toml:1: balancers:"},
           {"\n[list_service]\ncalls = 3", "start.toml:3: list_service.calls:"},
           {"[list_service]\ncalls_per_s = 0", "start.toml:2: list_service.calls_per_s:"},
           {"[saved_list]\noldest_s = \"an hour\"", "start.toml:2: saved_list.oldest_s:"},
       }) {
    const Loaded<StartSettings> loaded = ParseStart("start.toml", c.text);
    ASSERT_EQ(loaded.errors.size(), 1u) << c.text;
    EXPECT_EQ(loaded.errors[0].Line().find(c.error), 0u) << loaded.errors[0].Line();
  }
}

}  // namespace
}  // namespace burlfall
