// The platform's JSON, environment variables and server lists. Errors name the file, the key and what was
// expected; a missing key has the documented default; no value is silently overrides by another.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/platform_config.h"
#include "config/settings.h"

namespace burlfall {
namespace {

class SingleFile : public Files {
 public:
  explicit SingleFile(std::string text) : text_(std::move(text)) {}
  std::optional<std::string> Read(const std::string&) override { return text_; }
  std::unique_ptr<Writable> Write(const std::string&, Open, std::string&) override { return nullptr; }
  bool Replace(const std::string&, std::string_view, std::string&) override { return false; }
  bool MakeFolder(const std::string&) override { return false; }
  bool IsWritableFolder(const std::string&, std::string&) override { return true; }
  std::vector<std::string> List(const std::string&) override { return {}; }
  bool Remove(const std::string&) override { return false; }

 private:
  std::string text_;
};

using Variables = std::map<std::string, std::string>;
using Overrides = std::map<std::string, std::string>;  // keys and their JSON; empty: the key is left out

std::string Json(const Overrides& overrides) {
  Overrides keys = {{"name", R"("n3")"},
                    {"listen", R"("10.0.0.4:9000")"},
                    {"discovery", R"("10.2.0.1:8500")"},
                    {"seed", R"("8c1f")"},
                    {"limits", R"({"cores":1.0,"memory_mb":96,"sockets":512})"},
                    {"known", R"({"version":1,"full":true,"servers":[]})"},
                    {"settings", R"({"Balancers":2})"}};
  for (const auto& [key, json] : overrides) keys[key] = json;
  std::string text;
  for (const auto& [key, json] : keys) {
    if (!json.empty()) text += (text.empty() ? "{\"" : ",\"") + key + "\":" + json;
  }
  return text + "}";
}

Config Load(const Overrides& overrides, Variables variables = {}) {
  variables.emplace("PROXY_CONFIG", "c.json");
  SingleFile file(Json(overrides));
  return LoadConfig(
      [&](const char* name) {
        auto it = variables.find(name);
        return it == variables.end() ? nullptr : it->second.c_str();
      },
      file);
}

std::string ErrorOf(const Overrides& overrides, const Variables& variables = {}) {
  try {
    Load(overrides, variables);
  } catch (const BadConfig& e) {
    return e.what();
  }
  return "taken";
}

HostList Listed(const std::string& fields) {
  return ParseHostList(
      R"({"version":1,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.1:9","state":"Ready")" + fields +
          "}]}",
      {});
}

std::string ListErrorOf(const std::string& fields) {
  try {
    Listed(fields);
  } catch (const BadConfig& e) {
    return e.what();
  }
  return "taken";
}

std::string SettingsErrorOf(const std::string& json) { return ErrorOf({{"settings", json}}); }

TEST(PlatformLimits, ValidValuesAreUsedUnchanged) {
  for (int given : {16, 48, 63, 64, 1024, 2000000}) {
    EXPECT_EQ(Load({{"limits", "{\"sockets\":" + std::to_string(given) + "}"}}).sockets, given);
  }
  for (int given : {1, 8, 15, 16, 192, 2000000}) {
    EXPECT_EQ(Load({{"limits", "{\"memory_mb\":" + std::to_string(given) + "}"}}).memory_mb, given);
  }
  EXPECT_EQ(Load({{"limits", R"({"memory_mb":96.9,"sockets":512.0})"}}).memory_mb, 96)
      << "never above the limit";
}

TEST(PlatformLimits, MissingValuesHaveTheDocumentedDefaults) {
  for (const char* limits : {"", "null", "{}", R"({"sockets":null,"memory_mb":null})", R"({"cores":1})"}) {
    const Config config = Load({{"limits", limits}});
    EXPECT_EQ(config.sockets, 1024) << limits;
    EXPECT_EQ(config.memory_mb, 192) << limits;
  }
}

TEST(PlatformLimits, InvalidValuesAreRefusedByName) {
  for (const char* bad :
       {"0", "15", "-5", "1024.5", "\"1024\"", "true", "[64]", "{}", "3000000000", "-1e+30"}) {
    EXPECT_EQ(
        ErrorOf({{"limits", std::string("{\"sockets\":") + bad + "}"}}),
        std::string("c.json: limits.sockets: expected a whole number from 16 to 2147483647, found ") + bad);
  }
  for (const char* bad : {"0", "0.5", "-1", "\"96\"", "false", "[]", "3000000000"}) {
    EXPECT_EQ(ErrorOf({{"limits", std::string("{\"memory_mb\":") + bad + "}"}}),
              std::string("c.json: limits.memory_mb: expected a number from 1 to 2147483647, found ") + bad);
  }
  for (const char* bad : {"7", "[]", "\"few\"", "true"}) {
    EXPECT_EQ(ErrorOf({{"limits", bad}}), std::string("c.json: limits: expected an object, found ") + bad);
  }
}

TEST(PlatformAddresses, ErrorsNameTheKeyOrVariable) {
  const std::string address = ": expected an address such as 10.0.0.4:9000, found ";
  EXPECT_EQ(ErrorOf({{"listen", R"("here")"}}), "c.json: listen" + address + "\"here\"");
  EXPECT_EQ(ErrorOf({{"discovery", R"("10.0.0.4")"}}), "c.json: discovery" + address + "\"10.0.0.4\"");
  EXPECT_EQ(ErrorOf({{"admin", R"("10.0.0.4:99999")"}}), "c.json: admin" + address + "\"10.0.0.4:99999\"");
  EXPECT_EQ(ErrorOf({}, {{"PROXY_LISTEN", "here"}}), "PROXY_LISTEN" + address + "\"here\"");
  EXPECT_EQ(ErrorOf({}, {{"PROXY_DISCOVERY", ""}}), "PROXY_DISCOVERY" + address + "\"\"");
  EXPECT_EQ(ErrorOf({}, {{"PROXY_ADMIN", "x:y"}}), "PROXY_ADMIN" + address + "\"x:y\"");
  EXPECT_EQ(Load({{"listen", ""}}, {{"PROXY_LISTEN", "10.0.0.9:1"}}).listen.text, "10.0.0.9:1");
}

TEST(PlatformTexts, ErrorsForMissingOrMistypedValuesNameTheKey) {
  for (const char* key : {"name", "listen", "discovery", "seed"}) {
    EXPECT_EQ(ErrorOf({{key, ""}}), std::string("c.json: ") + key + ": expected a text, found nothing");
    EXPECT_EQ(ErrorOf({{key, "5"}}), std::string("c.json: ") + key + ": expected a text, found 5");
    EXPECT_EQ(ErrorOf({{key, "null"}}), std::string("c.json: ") + key + ": expected a text, found null");
  }
  EXPECT_EQ(ErrorOf({{"name", "\"\""}}), "c.json: name: expected a name, found \"\"");
  EXPECT_EQ(ErrorOf({}, {{"PROXY_NAME", ""}}), "PROXY_NAME: expected a name, found \"\"");
  EXPECT_EQ(ErrorOf({{"admin", "5"}}), "c.json: admin: expected a text, found 5");
  for (const char* bad : {"\"\"", "\"seed\"", "\"-1\"", "\"11112222333344445\""}) {
    EXPECT_EQ(ErrorOf({{"seed", bad}}),
              std::string("c.json: seed: expected 1 to 16 hexadecimal digits, found ") + bad);
  }
  for (const char* bad : {"", "null", "[]", "5"}) {
    EXPECT_EQ(ErrorOf({{"settings", bad}}),
              std::string("c.json: settings: expected an object, found ") + (*bad == 0 ? "nothing" : bad));
    EXPECT_EQ(ErrorOf({{"known", bad}}),
              std::string("c.json: known: expected an object, found ") + (*bad == 0 ? "nothing" : bad));
  }
  EXPECT_EQ(ErrorOf({{"surprise", "[{}]"}}), "taken") << "the platform's format may grow";
}

TEST(PlatformList, ErrorForAnEntryWithoutStateOrAddressIsOneLine) {
  const auto error_of = [](const std::string& fields) -> std::string {
    try {
      ParseHostList(R"({"version":1,"full":true,"servers":[{"id":"s-1")" + fields + "}]}", {});
    } catch (const BadConfig& e) {
      return e.what();
    }
    return "taken";
  };
  EXPECT_EQ(error_of(R"(,"state":"Odd\n","addr":"10.1.0.1:9")"),
            "host list: state: expected Ready, Terminating or Gone, found \"Odd\\n\"");
  EXPECT_EQ(error_of(R"(,"state":"Ready")"),
            "host list: addr: expected an address such as 10.0.0.4:9000, found nothing");
  EXPECT_EQ(error_of(R"(,"state":"Ready","addr":"a\nb")"),
            "host list: addr: expected an address such as 10.0.0.4:9000, found \"a?b\"");
  EXPECT_EQ(error_of(R"(,"state":"Gone")"), "taken");
}

// Cells and zones are the groups within which nodes recognise repeated requests, and start times decide how
// much load a cold node gets. A node in the wrong cell or zone, or treated as warm, would break a safety
// rule.
TEST(PlatformList, InvalidValuesThatAffectSafetyRulesAreRefused) {
  const HostList plain =
      Listed(R"(,"cell":65535,"weight":0.5,"started_ms":1700000000000,"zone":null,"kind":null)");
  EXPECT_EQ(plain.hosts.at(0).entry.cell, 65535);
  EXPECT_EQ(plain.hosts.at(0).entry.started_at, 1700000000000 * 1000);
  EXPECT_EQ(Listed("").hosts.at(0).entry.started_at, 0);
  EXPECT_EQ(Listed(R"(,"cell":null,"weight":null,"started_ms":null)").hosts.at(0).entry.cell, 0);
  EXPECT_EQ(Listed(R"(,"weight":0)").hosts.at(0).entry.size, 1) << "a weight bears on no rule";
  for (const char* bad : {"65536", "-1", "1.5", "\"3\"", "true", "1e+30"}) {
    EXPECT_EQ(ListErrorOf(std::string(",\"cell\":") + bad),
              std::string("host list: cell: expected a whole number from 0 to 65535, found ") + bad);
  }
  for (const char* bad : {"-1", "\"5\"", "false", "1e+30"}) {
    EXPECT_EQ(ListErrorOf(std::string(",\"started_ms\":") + bad),
              std::string("host list: started_ms: expected a number from 0 to 4000000000000, found ") + bad);
  }
  EXPECT_EQ(ListErrorOf(R"(,"weight":"1")"), "host list: weight: expected a number, found \"1\"");
  EXPECT_EQ(ListErrorOf(R"(,"zone":3)"), "host list: zone: expected a text, found 3");
  EXPECT_EQ(ListErrorOf(R"(,"kind":["a"])"), "host list: kind: expected a text, found [\"a\"]");
}

// Fails (F56): all zones that the settings don't name share one number, and so one group within which a keyed
// request may be repeated. But a node of zone "y" does not know which requests a node of zone "x" has run.
TEST(PlatformList, ZonesThatTheSettingsDontNameAreNoCommonGroup) {
  meadowslip::Settings settings;
  settings.zones = {"a", "b"};
  const auto node = [](const std::string& id, const std::string& zone) {
    return R"({"id":")" + id + R"(","state":"Ready","addr":"10.1.0.1:9","zone":")" + zone + "\"}";
  };
  const HostList list = ParseHostList(
      R"({"version":1,"full":true,"servers":[)" + node("s-1", "x") + "," + node("s-2", "y") + "]}", settings);
  ASSERT_EQ(list.hosts.size(), 2u);
  EXPECT_NE(list.hosts[0].entry.zone, list.hosts[1].entry.zone);
}

TEST(PlatformSettings, CountsMustBeWholeAndSharesBetweenZeroAndOne) {
  for (const char* key : {"Balancers", "SlotNo", "MyZone"}) {
    EXPECT_EQ(SettingsErrorOf(std::string("{\"") + key + "\":2.5}")
                  .find(std::string("c.json: settings.") + key + ": expected a whole number from "),
              0u)
        << SettingsErrorOf(std::string("{\"") + key + "\":2.5}");
  }
  EXPECT_EQ(SettingsErrorOf(R"({"Caps":{"SendCap":1.5}})"),
            "c.json: settings.Caps.SendCap: expected a whole number from 1 to 65535, found 1.5");
  EXPECT_EQ(SettingsErrorOf(R"({"Caps":{"SendCap":3.0}})"), "taken");
  EXPECT_EQ(SettingsErrorOf(R"({"OverShareWorth":1.01})"),
            "c.json: settings.OverShareWorth: expected a number from 0 to 1, found 1.01");
  EXPECT_EQ(SettingsErrorOf(R"({"Rules":{"StartCapacity":30}})"),
            "c.json: settings.Rules.StartCapacity: expected a number from 0 to 1, found 30");
  EXPECT_EQ(SettingsErrorOf(R"({"Categories":[{"Name":"a","LateShare":2}]})"),
            "c.json: settings.Categories.0.LateShare: expected a number from 0 to 1, found 2");
  EXPECT_EQ(SettingsErrorOf(R"({"OverShareWorth":1,"Rules":{"StartCapacity":0}})"), "taken");
}

TEST(PlatformSettings, ZeroTimesAreRefusedWhereTheMinimumIsAMicrosecond) {
  EXPECT_EQ(SettingsErrorOf(R"({"Categories":[{"Slo":0}]})"),
            "c.json: settings.Categories.0.Slo: expected microseconds from 1 to 4e+15, found 0");
  EXPECT_EQ(SettingsErrorOf(R"({"Categories":[{"Slo":5},{"HardLimit":0.5}]})"),
            "c.json: settings.Categories.1.HardLimit: expected microseconds from 1 to 4e+15, found 0.5");
  EXPECT_EQ(SettingsErrorOf(R"({"Caps":{"ConnectTimeout":0}})"),
            "c.json: settings.Caps.ConnectTimeout: expected microseconds from 1 to 4e+15, found 0");
  EXPECT_EQ(SettingsErrorOf(R"({"Rules":{"Fall":-1}})"),
            "c.json: settings.Rules.Fall: expected microseconds from 0 to 4e+15, found -1");
  EXPECT_EQ(SettingsErrorOf(R"({"Rules":{"Fall":"1s"}})"),
            "c.json: settings.Rules.Fall: expected microseconds from 0 to 4e+15, found 1s");
  // 0 is valid here: it means at once (Fall) and warm from the start (WarmAfter), the same as 1 us.
  EXPECT_EQ(SettingsErrorOf(R"({"Rules":{"Fall":0,"WarmAfter":0,"DrainGrace":0}})"), "taken");
}

// A value of another type would be ignored as unknown keys, and leave a deployment without classes or rules.
TEST(PlatformSettings, ValuesOfAnotherTypeAreRefusedByName) {
  EXPECT_EQ(SettingsErrorOf(R"({"Categories":["a","b"]})"),
            "c.json: settings.Categories: expected a list of objects, found a,b");
  EXPECT_EQ(SettingsErrorOf(R"({"Categories":{"Name":"a"}})"),
            "c.json: settings.Categories: expected a list of objects, found an object");
  EXPECT_EQ(SettingsErrorOf(R"({"Realms":5})"),
            "c.json: settings.Realms: expected a list of objects, found 5");
  EXPECT_EQ(SettingsErrorOf(R"({"Realms":[{"Name":"a"},"b"]})"),
            "c.json: settings.Realms.1: expected an object, found b");
  EXPECT_EQ(SettingsErrorOf(R"({"Zones":[{"Name":"a"}]})"),
            "c.json: settings.Zones: expected a list of names, found objects");
  for (const char* group : {"Caps", "Rules", "Report", "Prices"}) {
    EXPECT_EQ(SettingsErrorOf(std::string("{\"") + group + "\":true}"),
              std::string("c.json: settings.") + group + ": expected an object, found true");
  }
  EXPECT_EQ(SettingsErrorOf(R"({"Caps":{"Cancel":1}})"),
            "c.json: settings.Caps.Cancel: expected true or false, found 1");
  EXPECT_EQ(SettingsErrorOf(R"({"Categories":[{"Effect":"keyed"}]})"),
            "c.json: settings.Categories.0.Effect: expected pure, token or side_effect, found keyed");
  EXPECT_EQ(
      SettingsErrorOf(R"({"Categories":[],"Realms":[],"Zones":[],"Caps":{},"Rules":null,"New":[{"a":1}]})"),
      "taken");
}

}  // namespace
}  // namespace burlfall
