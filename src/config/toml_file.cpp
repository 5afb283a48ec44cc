#include "config/toml_file.h"

// The whole of toml++ is compiled here, once, and without exceptions: an error is a value like any other.
#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
#define TOML_UNRELEASED_FEATURES 0
#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>
#include <sstream>
#include <utility>

namespace burlfall {
namespace {

constexpr size_t kMaxNameBytes = 300;  // of a file or a key, in an error
constexpr size_t kMaxSaidBytes = 400;  // of what was expected or found

struct Character {
  uint32_t code = 0;
  size_t bytes = 1;
  bool valid = false;
};

// The character at the head of a text that isn't empty. Bytes that are no UTF-8 count one by one.
Character Head(std::string_view text) {
  const auto byte = [&](size_t i) { return static_cast<uint32_t>(static_cast<unsigned char>(text[i])); };
  if (byte(0) < 0x80) return {byte(0), 1, true};
  const size_t bytes = byte(0) >= 0xF0 ? 4 : byte(0) >= 0xE0 ? 3 : 2;
  if (byte(0) < 0xC2 || byte(0) > 0xF4 || text.size() < bytes) return {byte(0), 1, false};
  uint32_t code = byte(0) & (0x7FU >> bytes);
  for (size_t i = 1; i < bytes; i++) {
    if ((byte(i) & 0xC0U) != 0x80U) return {byte(0), 1, false};
    code = (code << 6U) | (byte(i) & 0x3FU);
  }
  return {code, bytes, true};
}

// Whether a character would break the line it stands on, hide, or turn the text around it.
bool MustEscape(const Character& c) {
  return !c.valid || c.code < 0x20 || (c.code >= 0x7F && c.code < 0xA0) ||
         (c.code >= 0x200B && c.code <= 0x200F) || (c.code >= 0x2028 && c.code <= 0x202E) ||
         (c.code >= 0x2060 && c.code <= 0x206F) || c.code == 0xFEFF;
}

// `text` fit for one line. Quotes and backslashes are escaped only if it goes between quotes.
std::string OneLine(std::string_view text, size_t max_bytes, bool for_quotes) {
  std::string line;
  while (!text.empty()) {
    const Character c = Head(text);
    std::string next(text.substr(0, c.bytes));
    if (for_quotes && (c.code == '"' || c.code == '\\')) {
      next.insert(0, 1, '\\');
    } else if (for_quotes && c.code == '\n') {
      next = "\\n";
    } else if (for_quotes && c.code == '\t') {
      next = "\\t";
    } else if (MustEscape(c)) {
      char escaped[8];
      std::snprintf(escaped, sizeof escaped, "\\u%04X", static_cast<unsigned>(c.code & 0xFFFFU));
      next = escaped;
    }
    if (max_bytes > 0 && line.size() + next.size() > max_bytes) return line + "...";
    line += next;
    text.remove_prefix(c.bytes);
  }
  return line;
}

bool IsBare(std::string_view key) {
  return !key.empty() && std::all_of(key.begin(), key.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '-';
  });
}

template <class N>
std::string Digits(N number) {
  char digits[64];
  return {digits, std::to_chars(digits, digits + sizeof digits, number).ptr};
}

// Where a text nests deeper than the bounds allow. toml++ and all that walks its tree recurse, so this is
// looked at before anything else. It follows strings and comments, and counts brackets and the dots of each
// key.
std::optional<ConfigError> FindTooDeep(std::string_view text) {
  size_t depth = 0;
  size_t dots = 0;
  int line = 1;
  size_t line_start = 0;
  const auto error = [&](size_t at, const char* what, size_t bound) {
    ConfigError e;
    e.line = line;
    e.column = static_cast<int>(at - line_start) + 1;
    e.expected = std::string(what) + " at most " + std::to_string(bound) + " deep";
    e.found = "more";
    return e;
  };
  for (size_t i = 0; i < text.size(); i++) {
    const char c = text[i];
    if (c == '\n') {
      line++;
      line_start = i + 1;
      dots = 0;
    } else if (c == '#') {
      while (i + 1 < text.size() && text[i + 1] != '\n') i++;
    } else if (c == '"' || c == '\'') {
      const std::string_view rest = text.substr(i);
      const bool is_long = rest.size() >= 3 && rest[1] == c && rest[2] == c;
      for (i += is_long ? 3 : 1; i < text.size(); i++) {
        if (text[i] == '\\' && c == '"') {
          i++;
          if (i >= text.size() || text[i] != '\n') continue;
        }
        if (text[i] == '\n') {
          if (!is_long) break;
          line++;
          line_start = i + 1;
        } else if (text[i] == c && (!is_long || text.substr(i, 3) == std::string(3, c))) {
          if (is_long) {
            i += 2;
            while (i + 1 < text.size() && text[i + 1] == c) i++;  // up to two quotes may stand before the end
          }
          break;
        }
      }
      if (i < text.size() && text[i] == '\n') i--;  // an unended string: let the outer loop count the line
    } else if (c == '[' || c == '{') {
      dots = 0;
      if (++depth > kMaxTomlNesting) return error(i, "lists and tables", kMaxTomlNesting);
    } else if (c == ']' || c == '}') {
      dots = 0;
      if (depth > 0) depth--;
    } else if (c == ',' || c == '=') {
      dots = 0;
    } else if (c == '.') {
      if (++dots >= kMaxTomlKeyParts) return error(i, "dotted keys", kMaxTomlKeyParts);
    }
  }
  return std::nullopt;
}

void SetPlace(TomlValue& value, const toml::source_position& place) {
  if (!place) return;
  value.line = static_cast<int>(place.line);
  value.column = static_cast<int>(place.column);
}

TomlValue Convert(const toml::node& node) {
  TomlValue value;
  const auto date = [&value](const auto& v) {
    std::ostringstream out;
    out << v;
    value.type = TomlValue::Type::kDate;
    value.text = out.str();
  };
  if (const auto* table = node.as_table()) {
    value.type = TomlValue::Type::kTable;
    for (const auto& [key, child] : *table) {
      TomlValue& item = value.items.emplace_back(Convert(child));
      item.key = key.str();
      // Tables that only the path of another names have no place of their own.
      if (item.line == 0) SetPlace(item, key.source().begin);
    }
    std::stable_sort(value.items.begin(), value.items.end(), [](const TomlValue& a, const TomlValue& b) {
      return std::pair(a.line, a.column) < std::pair(b.line, b.column);
    });
  } else if (const auto* array = node.as_array()) {
    value.type = TomlValue::Type::kList;
    for (const toml::node& child : *array) value.items.push_back(Convert(child));
  } else if (const auto* text = node.as_string()) {
    value = TomlValue::Text(text->get());
  } else if (const auto* whole = node.as_integer()) {
    value = TomlValue::Whole(whole->get());
  } else if (const auto* number = node.as_floating_point()) {
    value = TomlValue::Number(number->get());
  } else if (const auto* flag = node.as_boolean()) {
    value = TomlValue::Flag(flag->get());
  } else if (const auto* day = node.as_date()) {
    date(day->get());
  } else if (const auto* time = node.as_time()) {
    date(time->get());
  } else if (const auto* moment = node.as_date_time()) {
    date(moment->get());
  }
  SetPlace(value, node.source().begin);
  return value;
}

// toml++ says "Error while parsing SCOPE: REASON", and often "expected A, saw B" for a reason.
ConfigError FromTomlError(const toml::parse_error& error) {
  ConfigError e;
  e.line = static_cast<int>(error.source().begin.line);
  e.column = static_cast<int>(error.source().begin.column);
  std::string_view reason = error.description();
  if (const size_t colon = reason.find(": "); colon != reason.npos) reason.remove_prefix(colon + 2);
  constexpr std::string_view kExpected = "expected ";
  constexpr std::string_view kSaw = ", saw ";
  constexpr std::string_view kTwice = "cannot redefine existing ";
  const size_t saw = reason.rfind(kSaw);
  if (reason.starts_with(kTwice)) {
    const size_t from = reason.find('\'');
    const size_t to = from == reason.npos ? from : reason.find('\'', from + 1);
    if (to != reason.npos) e.key = reason.substr(from + 1, to - from - 1);
    e.expected = "each key once";
    e.found = "this one again";
  } else if (reason.starts_with(kExpected) && saw != reason.npos) {
    e.expected = reason.substr(kExpected.size(), saw - kExpected.size());
    e.found = reason.substr(saw + kSaw.size());
  } else {
    e.expected = "valid TOML";
    e.found = reason;
  }
  return e;
}

}  // namespace

TomlValue TomlValue::Flag(bool flag) {
  TomlValue value;
  value.type = Type::kFlag;
  value.flag = flag;
  return value;
}

TomlValue TomlValue::Whole(int64_t whole) {
  TomlValue value;
  value.type = Type::kWhole;
  value.whole = whole;
  value.number = static_cast<double>(whole);
  return value;
}

TomlValue TomlValue::Number(double number) {
  TomlValue value;
  value.type = Type::kNumber;
  value.number = number;
  return value;
}

TomlValue TomlValue::Text(std::string text) {
  TomlValue value;
  value.type = Type::kText;
  value.text = std::move(text);
  return value;
}

TomlValue TomlValue::List(std::vector<TomlValue> items) {
  TomlValue value;
  value.type = Type::kList;
  value.items = std::move(items);
  return value;
}

TomlValue TomlValue::Table() {
  TomlValue value;
  value.type = Type::kTable;
  return value;
}

const TomlValue* TomlValue::Find(std::string_view name) const {
  if (type != Type::kTable) return nullptr;
  for (const TomlValue& item : items) {
    if (item.key == name) return &item;
  }
  return nullptr;
}

std::string ConfigError::Line() const {
  std::string text = OneLine(file, kMaxNameBytes, false) + ":";
  if (line > 0) text += std::to_string(line) + ":";
  if (column > 0) text += std::to_string(column) + ":";
  if (!key.empty()) text += " " + OneLine(key, kMaxNameBytes, false) + ":";
  return text + " expected " + OneLine(expected, kMaxSaidBytes, false) + ", found " +
         OneLine(found, kMaxSaidBytes, false);
}

TomlText ReadToml(std::string_view file, std::string_view text) {
  TomlText result;
  result.root = TomlValue::Table();
  const auto fail = [&](ConfigError error) {
    error.file = file;
    result.errors.push_back(std::move(error));
  };
  if (text.size() > kMaxTomlBytes) {
    ConfigError error;
    error.expected = "at most " + std::to_string(kMaxTomlBytes) + " bytes";
    error.found = std::to_string(text.size());
    fail(std::move(error));
  } else if (std::optional<ConfigError> error = FindTooDeep(text)) {
    fail(std::move(*error));
  } else if (const toml::parse_result parsed = toml::parse(text); parsed) {
    result.root = Convert(parsed.table());
  } else {
    fail(FromTomlError(parsed.error()));
  }
  return result;
}

std::string ShowToml(const TomlValue& value, size_t max_bytes) {
  std::string shown;
  switch (value.type) {
    case TomlValue::Type::kNothing:
      return "nothing";
    case TomlValue::Type::kFlag:
      return value.flag ? "true" : "false";
    case TomlValue::Type::kWhole:
      return Digits(value.whole);
    case TomlValue::Type::kNumber:
      // Finite numbers come as short as they can be read back; TOML knows neither "-nan" nor "infinity".
      if (std::isnan(value.number)) return "nan";
      if (std::isinf(value.number)) return value.number > 0 ? "inf" : "-inf";
      shown = Digits(value.number);
      return shown.find_first_of(".e") == std::string::npos ? shown + ".0" : shown;  // else it read as kWhole
    case TomlValue::Type::kText:
      return Quoted(value.text, max_bytes);
    case TomlValue::Type::kDate:
      return value.text;
    case TomlValue::Type::kList:
    case TomlValue::Type::kTable:
      break;
  }
  const bool is_table = value.type == TomlValue::Type::kTable;
  shown = is_table ? "{" : "[";
  for (const TomlValue& item : value.items) {
    if (shown.size() > 1) shown += ", ";
    if (is_table) shown += KeyPath("", item.key) + " = ";
    shown += ShowToml(item, max_bytes);
    if (max_bytes > 0 && shown.size() > max_bytes) return OneLine(shown, max_bytes, false);
  }
  return shown + (is_table ? "}" : "]");
}

std::string Quoted(std::string_view text, size_t max_bytes) {
  return "\"" + OneLine(text, max_bytes, true) + "\"";
}

std::string KeyPath(std::string_view path, std::string_view key) {
  const std::string shown = IsBare(key) || key.empty() ? std::string(key) : Quoted(key, kMaxNameBytes);
  if (path.empty() || key.empty()) return std::string(path) + shown;
  return std::string(path) + "." + shown;
}

}  // namespace burlfall
