#include "config/platform_config.h"

#include <simdjson.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include "config/platform.h"
#include "config/settings.h"

namespace burlfall {
namespace {

using simdjson::dom::element;
using simdjson::dom::element_type;

// The process itself needs some sockets: listener, epoll, signals, discovery, the standard streams.
constexpr int kMinSockets = 16;
constexpr double kMaxStartTimeMs = 4e12;  // ms since the epoch (year 2096)
constexpr int kMaxCell = 65535;           // the largest u16, the type in the wire format
constexpr char kExpectedAddress[] = "an address such as 10.0.0.4:9000";

std::string Digits(double number) { return std::to_string(static_cast<int64_t>(number)); }

std::string ReadFile(Files& files, const std::string& path) {
  std::optional<std::string> text = files.Read(path);
  if (!text || text->empty()) throw BadConfig(path + ": can't be read, or is empty");
  return std::move(*text);
}

element ParseJson(simdjson::dom::parser& parser, std::string_view json, const std::string& what) {
  element root;
  if (auto error = parser.parse(json.data(), json.size()).get(root)) {
    throw BadConfig(what + ": not JSON: " + simdjson::error_message(error));
  }
  return root;
}

// Formats a value for an error message: on one line, truncated. A missing value is "nothing".
std::string Shown(simdjson::simdjson_result<element> value) {
  return value.error() ? "nothing" : simdjson::minify(value.value_unsafe()).substr(0, 60);
}

std::string Shown(std::string text) {
  text.resize(std::min<size_t>(text.size(), 60));
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c >= 0 && c < ' '; }, '?');
  return '"' + text + '"';
}

[[noreturn]] void Refuse(const std::string& what, const std::string& expected, const std::string& found) {
  throw BadConfig(what + ": expected " + expected + ", found " + found);
}

// Whether a key is missing or null; the platform may write null for a missing value.
bool IsMissing(simdjson::simdjson_result<element> value) { return value.error() || value.is_null(); }

element Object(element object, const char* key, const std::string& what) {
  const auto value = object[key];
  if (value.error() || !value.is_object()) Refuse(what + key, "an object", Shown(value));
  return value.value_unsafe();
}

std::string_view Text(element object, const char* key, const std::string& what) {
  std::string_view text;
  if (object[key].get(text)) Refuse(what + key, "a text", Shown(object[key]));
  return text;
}

// Returns an empty text if the key is missing.
std::string_view OptionalText(element object, const char* key, const std::string& what) {
  return IsMissing(object[key]) ? std::string_view() : Text(object, key, what);
}

// Refuses a value out of range, rather than clamping or replacing it silently.
double Number(element object, const char* key, const std::string& what, double fallback, double min,
              double max) {
  const auto value = object[key];
  if (IsMissing(value)) return fallback;
  double number = 0;
  if (value.get(number) || !(number >= min && number <= max)) {
    Refuse(what + key, "a number from " + Digits(min) + " to " + Digits(max), Shown(value));
  }
  return number;
}

int WholeNumber(element object, const char* key, const std::string& what, int fallback, int min, int max) {
  const auto value = object[key];
  if (IsMissing(value)) return fallback;
  double number = 0;
  if (value.get(number) || !(number >= min && number <= max) || number != std::floor(number)) {
    Refuse(what + key, "a whole number from " + Digits(min) + " to " + Digits(max), Shown(value));
  }
  return static_cast<int>(number);
}

std::string PlainValue(element value) {
  switch (value.type()) {
    case element_type::STRING:
      return PlainName(std::string_view(value));
    case element_type::BOOL:
      return bool(value) ? "true" : "false";
    case element_type::INT64:
      return std::to_string(int64_t(value));
    case element_type::UINT64:
      return std::to_string(uint64_t(value));
    case element_type::DOUBLE: {
      char digits[32];
      return std::string(digits, std::to_chars(digits, digits + sizeof digits, double(value)).ptr);
    }
    default:
      return "";
  }
}

void Flatten(const std::string& path, element value, std::string& out) {
  if (value.type() == element_type::OBJECT) {
    for (auto [key, child] : simdjson::dom::object(value)) {
      Flatten(path.empty() ? PlainName(key) : path + "." + PlainName(key), child, out);
    }
  } else if (value.type() == element_type::ARRAY) {
    simdjson::dom::array items(value);
    bool objects =
        std::any_of(items.begin(), items.end(), [](element e) { return e.type() == element_type::OBJECT; });
    std::string list;
    size_t n = 0;
    for (element item : items) {
      if (objects) {
        Flatten(path + "." + std::to_string(n), item, out);
      } else {
        list.append(n > 0 ? "," : "").append(PlainValue(item));
      }
      ++n;
    }
    out += objects ? path + ".count=" + std::to_string(n) + "\n" : path + "=" + list + "\n";
  } else if (value.type() != element_type::NULL_VALUE) {
    out += path + "=" + PlainValue(value) + "\n";
  }
}

// Returns the index of a name in the settings' list, or the list's size if it is not in it.
int IndexIn(const std::vector<std::string>& names, std::string_view name) {
  return static_cast<int>(std::find(names.begin(), names.end(), PlainName(name)) - names.begin());
}

HostEntry ReadHost(element e, const meadowslip::Settings& settings) {
  const std::string what = "host list: ";
  HostEntry host;
  host.name = Text(e, "id", what);
  if (host.name.empty()) throw BadConfig(what + "an empty id");
  std::string_view state = Text(e, "state", what);
  if (state == platform::kReady) {
    host.entry.state = meadowslip::BackendState::kReady;
  } else if (state == platform::kDraining) {
    host.entry.state = meadowslip::BackendState::kDraining;
  } else if (state == platform::kGone) {
    host.entry.state = meadowslip::BackendState::kGone;
  } else {
    Refuse(what + "state", "Ready, Terminating or Gone", Shown(e["state"]));
  }
  if (const std::string_view address = OptionalText(e, "addr", what); !address.empty()) {
    const std::string text(address);
    const std::optional<Address> read = ReadAddress(text);
    if (!read) Refuse(what + "addr", kExpectedAddress, Shown(text));
    host.address = *read;
  } else if (host.entry.state != meadowslip::BackendState::kGone) {
    Refuse(what + "addr", kExpectedAddress, Shown(e["addr"]));
  }
  // Zones, cells and start times affect safety rules (a request may be repeated only within a group; a cold
  // node gets less load), so invalid values are errors.
  if (!IsMissing(e["zone"])) host.entry.zone = IndexIn(settings.zones, Text(e, "zone", what));
  if (!IsMissing(e["kind"])) host.entry.kind = IndexIn(settings.kinds, Text(e, "kind", what));
  host.entry.cell = WholeNumber(e, "cell", what, 0, 0, kMaxCell);
  host.entry.started_at =
      static_cast<meadowslip::Micros>(Number(e, "started_ms", what, 0, 0, kMaxStartTimeMs) * 1000);
  // A weight affects no safety rule: one that is not positive counts as 1, and the list is accepted.
  double weight = 1;
  if (!IsMissing(e["weight"]) && e["weight"].get(weight))
    Refuse(what + "weight", "a number", Shown(e["weight"]));
  host.entry.size = weight > 0 ? weight : 1;
  return host;
}

HostList ReadHostList(element root, const meadowslip::Settings& settings) {
  HostList list;
  simdjson::dom::array hosts;
  if (root["version"].get(list.version) || root["full"].get(list.full) || root["servers"].get(hosts)) {
    throw BadConfig("host list: \"version\", \"full\" or \"servers\" is missing");
  }
  for (element e : hosts) list.hosts.push_back(ReadHost(e, settings));
  return list;
}

}  // namespace

std::string PlainName(std::string_view name) {
  std::string plain(name);
  std::replace_if(
      plain.begin(), plain.end(), [](char c) { return c == ' ' || c == ',' || (c >= 0 && c < ' '); }, '_');
  return plain;
}

Address ParseAddress(const std::string& text) {
  std::optional<Address> address = ReadAddress(text);
  if (!address) throw BadConfig("not an address: " + text.substr(0, 60));
  return *address;
}

HostList ParseHostList(std::string_view json, const meadowslip::Settings& settings) {
  simdjson::dom::parser parser;
  return ReadHostList(ParseJson(parser, json, "host list"), settings);
}

std::string FlattenSettings(std::string_view json) {
  simdjson::dom::parser parser;
  std::string lines;
  Flatten("", ParseJson(parser, json, "settings"), lines);
  return lines;
}

Config LoadConfig(const Environment& environment, Files& files) {
  const char* path = environment(platform::kConfigVariable);
  if (path == nullptr) Refuse(platform::kConfigVariable, "the path of a JSON file", "nothing");
  std::string text = ReadFile(files, path);
  simdjson::dom::parser parser;
  element root = ParseJson(parser, text, path);
  const std::string what = std::string(path) + ": ";
  // A value from an environment variable or a key, and the name of its source for error messages.
  struct Source {
    std::string text;
    std::string where;
  };
  auto given = [&](const char* variable, const char* key) -> Source {
    const char* value = environment(variable);
    if (value != nullptr) return {value, variable};
    return {std::string(Text(root, key, what)), what + key};
  };
  auto address = [](const Source& one) {
    std::optional<Address> read = ReadAddress(one.text);
    if (!read) Refuse(one.where, kExpectedAddress, Shown(one.text));
    return *read;
  };
  Config config;
  const Source name = given(platform::kNameVariable, "name");
  if (name.text.empty()) Refuse(name.where, "a name", Shown(name.text));
  config.name = name.text;
  config.listen = address(given(platform::kListenVariable, "listen"));
  config.discovery = address(given(platform::kDiscoveryVariable, "discovery"));
  if (environment(platform::kAdminVariable) != nullptr || !IsMissing(root["admin"])) {
    config.admin = address(given(platform::kAdminVariable, "admin"));
  }
  if (const char* passed = environment(platform::kPassedVariable)) {
    const std::string number = passed;
    auto [stop, wrong] = std::from_chars(passed, passed + number.size(), config.passed_listener);
    if (wrong != std::errc() || stop != passed + number.size() || config.passed_listener < 0) {
      throw BadConfig(std::string(platform::kPassedVariable) + ": not a descriptor: " + number.substr(0, 60));
    }
  }
  config.in_service = config.admin.length > 0 || config.passed_listener >= 0;
  const char* folder = environment(platform::kFolderVariable);
  if (folder != nullptr && config.in_service) {
    std::string why;
    if (!files.IsWritableFolder(folder, why)) {
      throw BadConfig(std::string(platform::kFolderVariable) + ": " + folder + ": " + why);
    }
    config.folder = folder;
  }
  const std::string seed(Text(root, "seed", what));
  auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size()) {
    Refuse(what + "seed", "1 to 16 hexadecimal digits", Shown(seed));
  }
  if (!IsMissing(root["limits"])) {
    constexpr int kMaxInt = std::numeric_limits<int>::max();
    const element limits = Object(root, "limits", what);
    config.sockets = WholeNumber(limits, "sockets", what + "limits.", config.sockets, kMinSockets, kMaxInt);
    config.memory_mb =
        static_cast<int>(Number(limits, "memory_mb", what + "limits.", config.memory_mb, 1, kMaxInt));
  }
  const element settings = Object(root, "settings", what);
  config.settings_json = simdjson::minify(settings);
  std::string lines;
  Flatten("", settings, lines);
  try {
    config.settings = meadowslip::ParseSettings(lines);
  } catch (const meadowslip::BadInput& e) {
    throw BadConfig(what + e.what());
  }
  config.initial_hosts = ReadHostList(Object(root, "known", what), config.settings);
  return config;
}

}  // namespace burlfall
