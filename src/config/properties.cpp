#include "config/properties.h"

#include <boost/program_options.hpp>
#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

namespace burlfall {
namespace {

namespace options = boost::program_options;

constexpr size_t kMaxKeyIdBytes = 16;

std::string Short(std::string_view text) { return std::string(text.substr(0, 40)); }

// Formats a key for an error message. A long key is truncated: it may be a misplaced secret.
std::string ShownKey(const std::string& key) {
  return key.size() <= 60 ? key.substr(0, key.size()) : key.substr(0, 14) + "...";
}

std::string ReadText(Files& files, const std::string& path) {
  std::optional<std::string> text = files.Read(path);
  if (!text) throw BadConfig(path + ": can't be read");
  return std::move(*text);
}

bool Flag(const std::string& value) {
  if (value != "true" && value != "false") throw BadConfig("neither true nor false: " + Short(value));
  return value == "true";
}

int64_t Whole(const std::string& value, int64_t min, int64_t max) {
  int64_t number = 0;
  auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
  if (error != std::errc() || end != value.data() + value.size() || number < min || number > max) {
    throw BadConfig("not a whole number from " + std::to_string(min) + " to " + std::to_string(max) + ": " +
                    Short(value));
  }
  return number;
}

double Decimal(const std::string& value, double min, double max) {
  double number = 0;
  auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
  if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(number) || number < min ||
      number > max) {
    std::ostringstream range;
    range << "not a number from " << min << " to " << max << ": " << Short(value);
    throw BadConfig(range.str());
  }
  return number;
}

std::string Name(const std::string& value, const char* what) {
  if (value.empty()) throw BadConfig(std::string("no ") + what);
  return value;
}

// Setters by key. A name that ends in `*` matches all keys with that prefix; its setter receives the rest.
using Setter = std::function<void(const std::string& value, const std::string& rest)>;
using Setters = std::map<std::string, Setter>;

void AddFiguresKeys(Setters& keys, FiguresSettings& figures) {
  keys["figures.format"] = [&](const std::string& value, const std::string&) {
    if (value != "statsd" && value != "influx") throw BadConfig("neither statsd nor influx: " + Short(value));
    figures.influx = value == "influx";
  };
  keys["figures.target"] = [&](const std::string& value, const std::string&) {
    figures.target = Name(value, "target");
    if (value.find(':') != std::string::npos && value.find('/') == std::string::npos) {
      figures.collector = ParseAddress(value);
    }
  };
  keys["figures.flush_ms"] = [&](const std::string& value, const std::string&) {
    figures.flush = Whole(value, 10, 3600000) * kMs;
  };
  keys["figures.batch_bytes"] = [&](const std::string& value, const std::string&) {
    figures.batch_bytes = static_cast<size_t>(Whole(value, 64, 32768));
  };
}

// Collects rates and bursts, which may come in any order. If a caller has only one of the two, the other is
// that of `default`.
struct RateLimitLines {
  std::map<std::string, double> rates;
  std::map<std::string, double> bursts;

  void ApplyTo(RateLimitSettings& rate_limits) const {
    auto given = [](const std::map<std::string, double>& all, const std::string& key, double fallback) {
      auto it = all.find(key);
      return it == all.end() ? fallback : it->second;
    };
    rate_limits.default_rate.per_s = given(rates, "default", rate_limits.default_rate.per_s);
    rate_limits.default_rate.burst = given(bursts, "default", rate_limits.default_rate.burst);
    for (const auto* all : {&rates, &bursts}) {
      for (const auto& [key, value] : *all) {
        if (key == "default") continue;
        rate_limits.rates_by_key[key] = {given(rates, key, rate_limits.default_rate.per_s),
                                         given(bursts, key, rate_limits.default_rate.burst)};
      }
    }
  }
};

void AddRateLimitKeys(Setters& keys, RateLimitSettings& rate_limits, RateLimitLines& lines) {
  keys["door.key"] = [&](const std::string& value, const std::string&) {
    if (value != "tenant" && value != "address") {
      throw BadConfig("neither tenant nor address: " + Short(value));
    }
    rate_limits.by_address = value == "address";
  };
  keys["door.max_keys"] = [&](const std::string& value, const std::string&) {
    rate_limits.max_keys = static_cast<size_t>(Whole(value, 1, 1000000));
  };
  keys["door.rate.*"] = [&](const std::string& value, const std::string& key) {
    lines.rates[key] = Decimal(value, 0, 1e6);
  };
  keys["door.burst.*"] = [&](const std::string& value, const std::string& key) {
    lines.bursts[key] = Decimal(value, 1, 1e6);
  };
}

void AddCaptureKeys(Setters& keys, CaptureSettings& capture) {
  keys["capture.memory_kb"] = [&](const std::string& value, const std::string&) {
    capture.memory_kb = static_cast<size_t>(Whole(value, 64, 1048576));
  };
  keys["capture.dir"] = [&](const std::string& value, const std::string&) {
    capture.dir = Name(value, "folder");
  };
  keys["capture.files"] = [&](const std::string& value, const std::string&) {
    capture.files = static_cast<size_t>(Whole(value, 2, 10000));
  };
  keys["capture.file_kb"] = [&](const std::string& value, const std::string&) {
    capture.file_kb = static_cast<size_t>(Whole(value, 64, 1048576));
  };
}

// Parses a secret key of 32 bytes in hexadecimal. The error message does not show the value.
std::string ParseSecret(const std::string& value) {
  constexpr size_t kBytes = 32;
  std::string bytes;
  for (size_t i = 0; i + 2 <= value.size() && value.size() == 2 * kBytes; i += 2) {
    unsigned byte = 0;
    auto [end, error] = std::from_chars(value.data() + i, value.data() + i + 2, byte, 16);
    if (error == std::errc() && end == value.data() + i + 2) bytes += static_cast<char>(byte);
  }
  if (bytes.size() != kBytes) throw BadConfig("not 64 hexadecimal digits");
  return bytes;
}

void AddTokensKeys(Setters& keys, TokensSettings& tokens) {
  keys["tokens.required"] = [&](const std::string& value, const std::string&) {
    tokens.required = Flag(value);
  };
  keys["tokens.leeway_s"] = [&](const std::string& value, const std::string&) {
    tokens.leeway_s = Whole(value, 0, 86400);
  };
  keys["tokens.key.*"] = [&](const std::string& value, const std::string& id) {
    const bool plain =
        id.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-") ==
        std::string::npos;
    if (!plain || id.size() > kMaxKeyIdBytes) throw BadConfig("an id is 1 to 16 letters, digits, - or _");
    tokens.keys[id] = ParseSecret(value);
  };
}

const Setters::value_type* FindSetter(const Setters& keys, const std::string& key) {
  for (const auto& entry : keys) {
    std::string_view name = entry.first;
    if (name == key) return &entry;
    if (name.back() == '*' && key.starts_with(name.substr(0, name.size() - 1))) return &entry;
  }
  return nullptr;
}

}  // namespace

std::string Properties::EnabledFeatures() const {
  std::string names;
  auto add = [&names](bool on, const char* name) {
    if (on) names.append(names.empty() ? "" : ", ").append(name);
  };
  add(figures.on, "figures");
  add(rate_limits.on, "door");
  add(capture.on, "capture");
  add(tokens.on, "tokens");
  return names.empty() ? "none" : names;
}

Properties LoadProperties(const std::string& path, Files& files) {
  Properties properties;
  Setters keys;
  AddFiguresKeys(keys, properties.figures);
  AddCaptureKeys(keys, properties.capture);
  AddTokensKeys(keys, properties.tokens);
  RateLimitLines rate_limit_lines;
  AddRateLimitKeys(keys, properties.rate_limits, rate_limit_lines);
  const std::map<std::string, bool*> features = {{"figures", &properties.figures.on},
                                                 {"door", &properties.rate_limits.on},
                                                 {"capture", &properties.capture.on},
                                                 {"tokens", &properties.tokens.on}};

  options::options_description known;
  for (const auto& [key, set] : keys) known.add_options()(key.c_str(), options::value<std::string>());
  std::map<std::string, bool> enabled;
  for (const auto& [feature, on] : features) {
    known.add_options()((feature + ".enabled").c_str(), options::value<std::string>());
  }
  std::istringstream text(ReadText(files, path));
  options::parsed_options parsed(&known);
  try {
    parsed = options::parse_config_file(text, known);
  } catch (const options::unknown_option& e) {
    throw BadConfig(path + ": unknown key " + ShownKey(e.get_option_name()));
  } catch (const options::error&) {  // its message would show the line, which may hold a secret
    throw BadConfig(path + ": a line that is not key = value");
  }
  std::map<std::string, int> seen;
  for (const auto& option : parsed.options) {
    const std::string& key = option.string_key;
    const std::string value = option.value.empty() ? "" : option.value.front();
    const std::string feature = key.substr(0, key.find('.'));
    try {
      if (++seen[key] > 1) throw BadConfig("stands there twice");
      bool* on = features.at(feature);
      if (key == feature + ".enabled") {
        enabled[feature] = Flag(value);
      } else if (const auto* entry = FindSetter(keys, key)) {
        entry->second(value, key.substr(std::min(key.size(), entry->first.size() - 1)));
      }
      *on = true;
    } catch (const BadConfig& e) {
      throw BadConfig(path + ": " + ShownKey(key) + ": " + e.what());
    }
  }
  for (const auto& [feature, on] : enabled) *features.at(feature) = on;
  rate_limit_lines.ApplyTo(properties.rate_limits);
  if (properties.tokens.on && properties.tokens.required && properties.tokens.keys.empty()) {
    throw BadConfig(path + ": tokens.required: there is no tokens.key to check them by");
  }
  return properties;
}

}  // namespace burlfall
