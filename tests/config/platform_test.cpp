// The platform's JSON, its variables and lists: what can't be used is refused by file, key and what was
// expected, a key that is left out has the page's default, and nothing is taken for something else in
// silence.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/platform_config.h"
#include "config/settings.h"

namespace burlfall {
namespace {

class OneFile : public Files {
 public:
  explicit OneFile(std::string text) : text_(std::move(text)) {}
  std::optional<std::string> Read(const std::string&) override { return text_; }
  std::unique_ptr<Writable> Write(const std::string&, Open, std::string&) override { return nullptr; }
  bool Replace(const std::string&, std::string_view, std::string&) override { return false; }
  bool MakeFolder(const std::string&) override { return false; }
  bool Usable(const std::string&, std::string&) override { return true; }
  std::vector<std::string> List(const std::string&) override { return {}; }
  bool Remove(const std::string&) override { return false; }

 private:
  std::string text_;
};

using Variables = std::map<std::string, std::string>;
using Replaced =
    std::map<std::string, std::string>;  // keys, and the JSON that stands there; empty: the key is left out

std::string Json(const Replaced& replaced) {
  Replaced keys = {{"name", R"("n3")"},
                   {"listen", R"("10.0.0.4:9000")"},
                   {"discovery", R"("10.2.0.1:8500")"},
                   {"seed", R"("8c1f")"},
                   {"limits", R"({"cores":1.0,"memory_mb":96,"sockets":512})"},
                   {"known", R"({"version":1,"full":true,"servers":[]})"},
                   {"settings", R"({"Balancers":2})"}};
  for (const auto& [key, json] : replaced) keys[key] = json;
  std::string text;
  for (const auto& [key, json] : keys) {
    if (!json.empty()) text += (text.empty() ? "{\"" : ",\"") + key + "\":" + json;
  }
  return text + "}";
}

Config Load(const Replaced& replaced, Variables variables = {}) {
  variables.emplace("PROXY_CONFIG", "c.json");
  OneFile file(Json(replaced));
  return LoadConfig(
      [&](const char* name) {
        auto it = variables.find(name);
        return it == variables.end() ? nullptr : it->second.c_str();
      },
      file);
}

std::string Complaint(const Replaced& replaced, const Variables& variables = {}) {
  try {
    Load(replaced, variables);
  } catch (const BadConfig& e) {
    return e.what();
  }
  return "taken";
}

std::string SettingsComplaint(const std::string& json) { return Complaint({{"settings", json}}); }

TEST(PlatformSettings, CountsAreWholeAndSharesAreShares) {
  for (const char* key : {"Balancers", "SlotNo", "MyZone"}) {
    EXPECT_EQ(SettingsComplaint(std::string("{\"") + key + "\":2.5}")
                  .find(std::string("c.json: settings.") + key + ": expected a whole number from "),
              0u)
        << SettingsComplaint(std::string("{\"") + key + "\":2.5}");
  }
  EXPECT_EQ(SettingsComplaint(R"({"Caps":{"SendCap":1.5}})"),
            "c.json: settings.Caps.SendCap: expected a whole number from 1 to 65535, found 1.5");
  EXPECT_EQ(SettingsComplaint(R"({"Caps":{"SendCap":3.0}})"), "taken");
  EXPECT_EQ(SettingsComplaint(R"({"OverShareWorth":1.01})"),
            "c.json: settings.OverShareWorth: expected a number from 0 to 1, found 1.01");
  EXPECT_EQ(SettingsComplaint(R"({"Rules":{"StartCapacity":30}})"),
            "c.json: settings.Rules.StartCapacity: expected a number from 0 to 1, found 30");
  EXPECT_EQ(SettingsComplaint(R"({"Categories":[{"Name":"a","LateShare":2}]})"),
            "c.json: settings.Categories.0.LateShare: expected a number from 0 to 1, found 2");
  EXPECT_EQ(SettingsComplaint(R"({"OverShareWorth":1,"Rules":{"StartCapacity":0}})"), "taken");
}

TEST(PlatformSettings, TimesOfNothingAreNotTakenForAMicrosecond) {
  EXPECT_EQ(SettingsComplaint(R"({"Categories":[{"Slo":0}]})"),
            "c.json: settings.Categories.0.Slo: expected microseconds from 1 to 4e+15, found 0");
  EXPECT_EQ(SettingsComplaint(R"({"Categories":[{"Slo":5},{"HardLimit":0.5}]})"),
            "c.json: settings.Categories.1.HardLimit: expected microseconds from 1 to 4e+15, found 0.5");
  EXPECT_EQ(SettingsComplaint(R"({"Caps":{"ConnectTimeout":0}})"),
            "c.json: settings.Caps.ConnectTimeout: expected microseconds from 1 to 4e+15, found 0");
  EXPECT_EQ(SettingsComplaint(R"({"Rules":{"Fall":-1}})"),
            "c.json: settings.Rules.Fall: expected microseconds from 0 to 4e+15, found -1");
  EXPECT_EQ(SettingsComplaint(R"({"Rules":{"Fall":"1s"}})"),
            "c.json: settings.Rules.Fall: expected microseconds from 0 to 4e+15, found 1s");
  // At once, and warm from the start: a microsecond is the same.
  EXPECT_EQ(SettingsComplaint(R"({"Rules":{"Fall":0,"WarmAfter":0,"DrainGrace":0}})"), "taken");
}

// What is of another shape would be passed over as unknown keys, and leave a deployment without classes or
// rules.
TEST(PlatformSettings, OfAnotherShapeAreRefusedByName) {
  EXPECT_EQ(SettingsComplaint(R"({"Categories":["a","b"]})"),
            "c.json: settings.Categories: expected a list of objects, found a,b");
  EXPECT_EQ(SettingsComplaint(R"({"Categories":{"Name":"a"}})"),
            "c.json: settings.Categories: expected a list of objects, found an object");
  EXPECT_EQ(SettingsComplaint(R"({"Realms":5})"),
            "c.json: settings.Realms: expected a list of objects, found 5");
  EXPECT_EQ(SettingsComplaint(R"({"Realms":[{"Name":"a"},"b"]})"),
            "c.json: settings.Realms.1: expected an object, found b");
  EXPECT_EQ(SettingsComplaint(R"({"Zones":[{"Name":"a"}]})"),
            "c.json: settings.Zones: expected a list of names, found objects");
  for (const char* group : {"Caps", "Rules", "Report", "Prices"}) {
    EXPECT_EQ(SettingsComplaint(std::string("{\"") + group + "\":true}"),
              std::string("c.json: settings.") + group + ": expected an object, found true");
  }
  EXPECT_EQ(SettingsComplaint(R"({"Caps":{"Cancel":1}})"),
            "c.json: settings.Caps.Cancel: expected true or false, found 1");
  EXPECT_EQ(SettingsComplaint(R"({"Categories":[{"Effect":"keyed"}]})"),
            "c.json: settings.Categories.0.Effect: expected pure, token or side_effect, found keyed");
  EXPECT_EQ(
      SettingsComplaint(R"({"Categories":[],"Realms":[],"Zones":[],"Caps":{},"Rules":null,"New":[{"a":1}]})"),
      "taken");
}

}  // namespace
}  // namespace burlfall
