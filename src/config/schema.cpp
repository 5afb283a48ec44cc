#include "config/schema.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

namespace burlfall {
namespace {

using Type = KeySpec::Type;

constexpr size_t kMaxShownBytes = 60;    // of a value in an error message
constexpr size_t kMaxListedBytes = 200;  // of the list of valid keys or words in an error message

// Units that a key may end in; the longest match is the key's unit.
constexpr std::array<std::string_view, 9> kUnits = {"ns",    "us",     "ms",      "s", "bytes",
                                                    "per_s", "per_ms", "percent", "hz"};

std::string UnitAtEndOf(std::string_view key) {
  std::string_view longest;
  for (const std::string_view unit : kUnits) {
    if (key.size() > unit.size() + 1 && key.ends_with(unit) && key[key.size() - unit.size() - 1] == '_' &&
        unit.size() > longest.size()) {
      longest = unit;
    }
  }
  return std::string(longest);
}

std::string ShowBound(const Bound& bound, bool whole) {
  if (whole || bound.is_whole) return ShowToml(TomlValue::Whole(bound.whole));
  // A whole number given as a double (1e6) is shown as an integer (1000000).
  const bool reads_whole = std::abs(bound.number) < 1e15 && std::trunc(bound.number) == bound.number;
  return ShowToml(reads_whole ? TomlValue::Whole(static_cast<int64_t>(bound.number))
                              : TomlValue::Number(bound.number));
}

// Returns the limits of a number, such as "1 to 64" or "above 0"; empty without limits. The type of a member
// narrower than 64 bits is a limit too.
std::string NumberRange(const KeySpec& key) {
  const bool whole = key.type == Type::kWhole;
  std::optional<Bound> low = key.low;
  std::optional<Bound> high = key.high;
  if (whole && !low && key.member_min != std::numeric_limits<int64_t>::min()) low = key.member_min;
  if (whole && !high && key.member_max != std::numeric_limits<int64_t>::max()) high = key.member_max;
  if (low && high && !key.is_low_open) return ShowBound(*low, whole) + " to " + ShowBound(*high, whole);
  std::string text;
  if (low) text = (key.is_low_open ? "above " : "at least ") + ShowBound(*low, whole);
  if (high) text += (text.empty() ? "at most " : ", at most ") + ShowBound(*high, whole);
  return text;
}

std::string LengthRange(const KeySpec& key) {
  const bool bounded = key.max_length != std::numeric_limits<size_t>::max();
  if (key.min_length == 0 && !bounded) return "";
  std::string unit = key.is_list ? (key.type == Type::kTable ? " tables" : " elements") : " bytes";
  const std::string least = std::to_string(key.min_length);
  if (!bounded) return "at least " + least + unit;
  const std::string most = std::to_string(key.max_length);
  if (most == "1") unit.pop_back();  // "1 byte"
  return key.min_length == key.max_length ? most + unit : least + " to " + most + unit;
}

std::string Joined(const std::vector<std::string>& parts, size_t max_bytes) {
  std::string text;
  for (const std::string& part : parts) {
    const std::string next = (text.empty() ? "" : ", ") + part;
    if (max_bytes > 0 && text.size() + next.size() > max_bytes) return text + ", ...";
    text += next;
  }
  return text;
}

// `max_bytes` limits the length of the list of words; 0: no limit.
std::string ElementType(const KeySpec& key, size_t max_bytes) {
  switch (key.type) {
    case Type::kFlag:
      return "true or false";
    case Type::kWhole:
      return key.is_range ? "a range [low, high] of whole numbers" : "a whole number";
    case Type::kNumber:
      return key.is_range ? "a range [low, high] of numbers" : "a number";
    case Type::kText:
      return "a text";
    case Type::kWord:
      return "one of " + Joined(key.words, max_bytes);
    case Type::kTable:
      return "a table";
  }
  return "";
}

// Returns what is expected of an element of the key: its type and limits.
std::string ElementWanted(const KeySpec& key) {
  std::string text = ElementType(key, kMaxListedBytes);
  if (key.type == Type::kText && !key.is_list) {
    const std::string length = LengthRange(key);
    return length.empty() ? text : text + " of " + length;
  }
  const std::string limits = NumberRange(key);
  if (!limits.empty()) text += (limits[0] >= 'a' ? ", " : " from ") + limits;
  return text;
}

std::string Found(const TomlValue& value) {
  switch (value.type) {
    case TomlValue::Type::kTable:
      return "a table";
    case TomlValue::Type::kDate:
      return "the date " + ShowToml(value, kMaxShownBytes);
    default:
      return ShowToml(value, kMaxShownBytes);
  }
}

// Returns the edit distance between `a` and `b`, where a swap of adjacent characters is one edit; at most
// `bound` + 1.
size_t Distance(std::string_view a, std::string_view b, size_t bound) {
  constexpr size_t kMax = 48;
  if (a.size() > kMax || b.size() > kMax) return bound + 1;
  if (std::max(a.size(), b.size()) - std::min(a.size(), b.size()) > bound) return bound + 1;
  std::array<std::array<size_t, kMax + 1>, kMax + 1> d;
  for (size_t i = 0; i <= a.size(); i++) {
    for (size_t j = 0; j <= b.size(); j++) {
      if (i == 0 || j == 0) {
        d[i][j] = i + j;
        continue;
      }
      const size_t change = a[i - 1] == b[j - 1] ? 0 : 1;
      d[i][j] = std::min({d[i - 1][j] + 1, d[i][j - 1] + 1, d[i - 1][j - 1] + change});
      if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1]) {
        d[i][j] = std::min(d[i][j], d[i - 2][j - 2] + 1);
      }
    }
  }
  return std::min(d[a.size()][b.size()], bound + 1);
}

// Whether a number has the key's type and is within its limits.
bool NumberFits(const KeySpec& key, const TomlValue& value) {
  if (key.type == Type::kWhole) {
    const int64_t n = value.whole;
    return value.type == TomlValue::Type::kWhole && n >= key.member_min && n <= key.member_max &&
           (!key.low || (key.is_low_open ? n > key.low->whole : n >= key.low->whole)) &&
           (!key.high || n <= key.high->whole);
  }
  const double n = value.number;
  return (value.type == TomlValue::Type::kNumber || value.type == TomlValue::Type::kWhole) &&
         std::isfinite(n) && (!key.low || (key.is_low_open ? n > key.low->number : n >= key.low->number)) &&
         (!key.high || n <= key.high->number);
}

// Returns the `found` part of the error for an element that is not a table; empty if the element is valid.
std::string BadElement(const KeySpec& key, const TomlValue& value) {
  switch (key.type) {
    case Type::kFlag:
      return value.type == TomlValue::Type::kFlag ? "" : Found(value);
    case Type::kText:
      if (value.type != TomlValue::Type::kText) return Found(value);
      if (key.is_list || (value.text.size() >= key.min_length && value.text.size() <= key.max_length))
        return "";
      return Found(value) + " of " + std::to_string(value.text.size());
    case Type::kWord:
      if (value.type != TomlValue::Type::kText) return Found(value);
      if (std::find(key.words.begin(), key.words.end(), value.text) != key.words.end()) return "";
      return Found(value) + DidYouMean(value.text, key.words);
    case Type::kWhole:
    case Type::kNumber:
      break;
    case Type::kTable:
      return Found(value);
  }
  if (!key.is_range) return NumberFits(key, value) ? "" : Found(value);
  if (value.type != TomlValue::Type::kList || value.items.size() != 2) return Found(value);
  if (!NumberFits(key, value.items[0]) || !NumberFits(key, value.items[1])) return Found(value);
  const TomlValue& low = value.items[0];
  const TomlValue& high = value.items[1];
  const bool wrong_way = key.type == Type::kWhole ? low.whole > high.whole : low.number > high.number;
  return wrong_way ? Found(value) + ", whose low is above its high" : "";
}

std::string Element(const std::string& path, size_t i) { return path + "[" + std::to_string(i) + "]"; }

// Parses one file into its struct and collects the errors. What depends on an invalid value is not read, and
// no value is guessed.
class Reader {
 public:
  explicit Reader(std::string_view file) : file_(file) {}

  void Table(const TableSpec& spec, const TomlValue& table, void* object, const std::string& path, int line) {
    const size_t errors_before = count_;
    for (const TomlValue& value : table.items) {
      const auto key = std::find_if(spec.keys.begin(), spec.keys.end(),
                                    [&](const KeySpec& k) { return k.name == value.key; });
      if (key == spec.keys.end()) {
        Unknown(spec, value, path);
      } else {
        Value(*key, value, object, KeyPath(path, key->name));
      }
    }
    for (const KeySpec& key : spec.keys) {
      if (!key.is_required || table.Find(key.name) != nullptr) continue;
      Add(line, KeyPath(path, key.name), Wanted(key), "nothing");
    }
    if (count_ > errors_before) return;
    for (const auto& check : spec.checks) {
      CheckFindings findings(*this, table, path, line);
      check(object, findings);
    }
  }

  // Checks one value by itself; used for the file's values and for defaults.
  void Value(const KeySpec& key, const TomlValue& value, void* object, const std::string& path) {
    if (key.type == Type::kTable && !key.is_list) {
      if (value.type != TomlValue::Type::kTable) return Add(value.line, path, "a table", Found(value));
      key.resize(object, 1);
      return Table(*key.table, value, key.at(object, 0), path, value.line);
    }
    if (!key.is_list) {
      const std::string bad = BadElement(key, value);
      if (!bad.empty()) return Add(value.line, path, ElementWanted(key), bad);
      return key.set(object, value);
    }
    if (value.type != TomlValue::Type::kList) return Add(value.line, path, Wanted(key), Found(value));
    const size_t count = value.items.size();
    if (count < key.min_length || count > key.max_length) {
      return Add(value.line, path, Wanted(key), std::to_string(count));
    }
    const size_t errors_before = count_;
    if (key.type == Type::kTable) key.resize(object, count);
    for (size_t i = 0; i < count; i++) {
      const TomlValue& item = value.items[i];
      if (key.type != Type::kTable) {
        const std::string bad = BadElement(key, item);
        if (!bad.empty()) Add(item.line, Element(path, i), ElementWanted(key), bad);
      } else if (item.type != TomlValue::Type::kTable) {
        Add(item.line, Element(path, i), "a table", Found(item));
      } else {
        Table(*key.table, item, key.at(object, i), Element(path, i), item.line);
      }
    }
    if (key.type != Type::kTable && count_ == errors_before) key.set(object, value);
  }

  void Add(int line, std::string_view path, std::string_view expected, std::string_view found) {
    if (count_++ >= kMaxConfigErrors) return;
    ConfigError error;
    error.file = file_;
    error.line = line;
    error.key = path;
    error.expected = expected;
    error.found = found;
    errors_.push_back(std::move(error));
  }

  std::vector<ConfigError> TakeErrors() {
    std::stable_sort(errors_.begin(), errors_.end(),
                     [](const ConfigError& a, const ConfigError& b) { return a.line < b.line; });
    if (count_ > kMaxConfigErrors) {
      ConfigError rest;
      rest.file = file_;
      rest.expected = "no further errors";
      rest.found = std::to_string(count_ - kMaxConfigErrors) + " more";
      errors_.push_back(std::move(rest));
    }
    return std::move(errors_);
  }

 private:
  class CheckFindings : public Findings {
   public:
    CheckFindings(Reader& reader, const TomlValue& table, const std::string& path, int line)
        : reader_(reader), table_(table), path_(path), line_(line) {}

    void Add(std::string_view key, std::string_view expected, std::string_view found) override {
      int line = line_;
      Walk(key, line);
      const char* dot = path_.empty() || key.empty() || key.front() == '[' ? "" : ".";
      reader_.Add(line, path_ + dot + std::string(key), expected, found);
    }

    bool Given(std::string_view key) const override {
      int line = 0;
      return Walk(key, line);
    }

   private:
    // Follows a path such as "nodes[2].name" as far as the file has it; sets `line` to the last value's line.
    bool Walk(std::string_view key, int& line) const {
      const TomlValue* value = &table_;
      while (!key.empty()) {
        if (key.front() == '[') {
          size_t i = 0;
          const auto [end, error] = std::from_chars(key.data() + 1, key.data() + key.size(), i);
          if (error != std::errc() || end == key.data() + key.size() || *end != ']') return false;
          if (value->type != TomlValue::Type::kList || i >= value->items.size()) return false;
          value = &value->items[i];
          key.remove_prefix(static_cast<size_t>(end - key.data()) + 1);
        } else {
          if (key.front() == '.') key.remove_prefix(1);
          const std::string_view name = key.substr(0, key.find_first_of(".["));
          value = value->Find(name);
          if (value == nullptr) return false;
          key.remove_prefix(name.size());
        }
        if (value->line > 0) line = value->line;
      }
      return true;
    }

    Reader& reader_;
    const TomlValue& table_;
    const std::string& path_;
    int line_;
  };

  // Describes a key's valid values: type and limits.
  static std::string Wanted(const KeySpec& key) {
    if (!key.is_list) return ElementWanted(key);
    const std::string length = LengthRange(key);
    return TypeText(key) + (length.empty() ? "" : " with " + length);
  }

  void Unknown(const TableSpec& spec, const TomlValue& value, const std::string& path) {
    // The search for a similar name is the most expensive step, so errors that are only counted skip it.
    if (count_ >= kMaxConfigErrors) return Add(value.line, "", "", "");
    std::vector<std::string> names;
    for (const KeySpec& key : spec.keys) names.push_back(key.name);
    const std::string hint = DidYouMean(value.key, names);
    Add(value.line, KeyPath(path, value.key),
        hint.empty() ? "one of the keys " + Joined(names, kMaxListedBytes) : "a known key",
        Quoted(value.key, kMaxShownBytes) + hint);
  }

  std::string file_;
  size_t count_ = 0;  // of all errors, including those that are not reported
  std::vector<ConfigError> errors_;
};

void AddFaults(const TableSpec& table, const std::string& path, std::vector<std::string>& faults) {
  const std::shared_ptr<void> object = table.make();
  std::set<std::string> names;
  for (const KeySpec& key : table.keys) {
    const std::string at = KeyPath(path, key.name);
    const auto fault = [&](const std::string& what) { faults.push_back(at + ": " + what); };
    const bool numeric = key.type == Type::kWhole || key.type == Type::kNumber;
    if (key.name.empty() || key.name[0] < 'a' || key.name[0] > 'z' ||
        key.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789_") != std::string::npos) {
      fault("is no name of small letters, digits and underscores");
    }
    if (!names.insert(key.name).second) fault("is defined twice");
    if (key.meaning.empty()) fault("has no meaning");
    const std::string unit = UnitAtEndOf(key.name);
    if (!key.unit.empty() && unit != key.unit)
      fault("has the unit " + key.unit + ", but does not end in _" + key.unit);
    if (key.unit.empty() && numeric && !unit.empty()) fault("ends in _" + unit + ", but has no unit");
    if (!key.unit.empty() && !numeric) fault("has a unit, but is no number");
    if ((key.low || key.high) && !numeric) fault("has limits of a number, but is none");
    if (key.type == Type::kWhole && ((key.low && !key.low->is_whole) || (key.high && !key.high->is_whole))) {
      fault("is a whole number, but its limits are not");
    }
    if (key.low && key.high && key.low->number > key.high->number)
      fault("has a low limit above its high one");
    const bool has_length = key.is_list || key.type == Type::kText;
    if (!LengthRange(key).empty() && !has_length) fault("has a length, but is neither a text nor a list");
    if (key.min_length > key.max_length) fault("has a least length above its most");
    if (key.type == Type::kWord) {
      const std::set<std::string> words(key.words.begin(), key.words.end());
      if (words.empty() || words.size() != key.words.size()) fault("has no words, or one twice");
    }
    if (key.type == Type::kTable) AddFaults(*key.table, key.is_list ? at + "[]" : at, faults);
    if (key.is_required) {
      if (key.is_optional) fault("is both required and optional");
      continue;  // its default is not used
    }
    if (key.type == Type::kTable) {
      size_t count = 0;
      while (key.is_list && key.at(object.get(), count) != nullptr) count++;
      if (key.is_list && (count < key.min_length || count > key.max_length)) {
        fault("defaults to " + std::to_string(count) + " tables, which its own limits refuse");
      }
      if (!key.is_list && !key.is_optional) {
        for (const KeySpec& inner : key.table->keys) {
          if (inner.is_required) fault("may be left out, but " + inner.name + " in it may not");
        }
      }
      continue;
    }
    const TomlValue by_default = key.get(object.get());
    if (by_default.type == TomlValue::Type::kNothing) continue;
    const std::shared_ptr<void> scratch = table.make();
    Reader reader("");
    reader.Value(key, by_default, scratch.get(), at);
    for (const ConfigError& error : reader.TakeErrors()) {
      fault("has a default that it refuses: expected " + error.expected + ", found " + error.found);
    }
  }
}

}  // namespace

std::string DidYouMean(std::string_view found, const std::vector<std::string>& candidates) {
  const auto plain = [](std::string_view word) {
    std::string text(word.substr(0, 100));
    for (char& c : text) c = c == '-' ? '_' : static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
    return text;
  };
  const auto without_unit = [](const std::string& key) {
    const std::string unit = UnitAtEndOf(key);
    return unit.empty() ? key : key.substr(0, key.size() - unit.size() - 1);
  };
  const std::string meant = plain(found);
  const std::string* best = nullptr;
  size_t best_distance = 1 + std::max<size_t>(1, meant.size() / 3);
  for (const std::string& candidate : candidates) {
    size_t distance = Distance(meant, plain(candidate), best_distance);
    // A wrong or missing unit is the most common mistake.
    if (without_unit(meant) == without_unit(candidate)) distance = std::min<size_t>(distance, 1);
    // Words without a common character are not similar, however short they are.
    if (distance < best_distance && distance < std::max(meant.size(), candidate.size())) {
      best = &candidate;
      best_distance = distance;
    }
  }
  return best == nullptr ? "" : " (did you mean " + Quoted(*best) + "?)";
}

std::vector<std::string> SchemaFaults(const TableSpec& table) {
  std::vector<std::string> faults;
  AddFaults(table, "", faults);
  return faults;
}

std::vector<ConfigError> ParseInto(const TableSpec& table, std::string_view file, std::string_view text,
                                   void* object) {
  assert(SchemaFaults(table).empty());
  TomlText toml = ReadToml(file, text);
  if (!toml.errors.empty()) return std::move(toml.errors);
  Reader reader(file);
  reader.Table(table, toml.root, object, "", 1);
  return reader.TakeErrors();
}

std::string TypeText(const KeySpec& key) {
  if (!key.is_list) return ElementType(key, 0);
  switch (key.type) {
    case Type::kTable:
      return "an array of tables";
    case Type::kFlag:
      return "a list of flags";
    case Type::kWord:
      return "a list of words, each " + ElementType(key, 0);
    case Type::kText:
      return "a list of texts";
    case Type::kWhole:
      return key.is_range ? "a list of ranges [low, high] of whole numbers" : "a list of whole numbers";
    case Type::kNumber:
      return key.is_range ? "a list of ranges [low, high] of numbers" : "a list of numbers";
  }
  return "";
}

std::string RangeText(const KeySpec& key) {
  const std::string numbers = NumberRange(key);
  const std::string length = LengthRange(key);
  if (numbers.empty() || length.empty()) return numbers + length;
  return length + ", each " + numbers;
}

}  // namespace burlfall
