// The type-erased description of each key that Schema<T> builds. The parser, the checks, `explain` and the
// reference page all use it and nothing else. Code that only defines a file needs only schema.h.
#ifndef BURLFALL_CONFIG_KEY_SPEC_H_
#define BURLFALL_CONFIG_KEY_SPEC_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "config/toml_file.h"

namespace burlfall {

struct TableSpec;

// A limit with the type it was given in, so that limits of whole numbers stay exact.
struct Bound {
  template <class N>
  requires std::is_arithmetic_v<N> Bound(N n)  // NOLINT: implicit, so that limits can be written as numbers
      : is_whole(std::is_integral_v<N>), number(static_cast<double>(n)) {
    if constexpr (std::is_integral_v<N>) {
      // TOML has no larger integers.
      constexpr int64_t kMost = std::numeric_limits<int64_t>::max();
      whole = std::cmp_greater(n, kMost) ? kMost : static_cast<int64_t>(n);
    }
  }
  bool is_whole;
  int64_t whole = 0;
  double number;
};

struct KeySpec {
  enum class Type { kFlag, kWhole, kNumber, kText, kWord, kTable };

  std::string name;
  std::string meaning;
  std::string unit;  // "ms"; empty: none
  Type type = Type::kFlag;
  bool is_range = false;  // [low, high] of kWhole or kNumber
  bool is_list = false;   // a list of the type, or an array of tables
  bool is_optional = false;
  bool is_required = false;
  std::optional<Bound> low;  // limit of each number, also in lists and ranges
  std::optional<Bound> high;
  bool is_low_open = false;  // the limit itself is not allowed
  int64_t member_min =
      std::numeric_limits<int64_t>::min();  // smallest value that the struct's member can hold
  int64_t member_max = std::numeric_limits<int64_t>::max();
  size_t min_length = 0;  // elements of a list, bytes of a text
  size_t max_length = std::numeric_limits<size_t>::max();
  std::vector<std::string> words;          // of a kWord, in order of definition
  std::shared_ptr<const TableSpec> table;  // of a kTable

  // Access to the member in its struct, to which `object` points.
  std::function<void(void* object, const TomlValue& checked)> set;
  std::function<TomlValue(const void* object)> get;        // kNothing: an optional without a value
  std::function<void(void* object, size_t count)> resize;  // of kTable: makes room for the file's tables
  std::function<void*(void* object, size_t i)> at;  // of kTable: the i-th element, nullptr past the last
};

// Collects the errors that a cross check finds.
class Findings {
 public:
  virtual ~Findings() = default;
  // `key` is relative to the table under check: "speed", "nodes[2].name", or "" for the table itself. The
  // error's line is that of the key or, if the file does not have the key, that of the innermost enclosing
  // table in the file.
  virtual void Add(std::string_view key, std::string_view expected, std::string_view found) = 0;
  // Whether the file has the key.
  virtual bool Given(std::string_view key) const = 0;
};

struct TableSpec {
  std::string meaning;
  std::deque<KeySpec> keys;                     // a deque: references to its elements outlive growth
  std::function<std::shared_ptr<void>()> make;  // returns the struct with its initializers' values
  std::vector<std::function<void(const void* object, Findings&)>> checks;
};

// Returns the faults of the definition itself, one line each: for example a unit that the key does not end
// in, a default out of its own range, a key defined twice. A test checks every file's schema; Parse() asserts
// that there are none in debug builds.
std::vector<std::string> SchemaFaults(const TableSpec& table);

// Parses `text` into `object`, which `table.make` created. Returns at most kMaxConfigErrors errors and a last
// one that counts the rest; if there are errors, `object` must not be used.
inline constexpr size_t kMaxConfigErrors = 20;
std::vector<ConfigError> ParseInto(const TableSpec& table, std::string_view file, std::string_view text,
                                   void* object);

// The type of a key's value in words: "a whole number", "a list of one of fair, fifo".
std::string TypeText(const KeySpec& key);
// The limits of a key's value in words: "1 to 64", "1 to 32 bytes", "at least 0"; empty without limits.
std::string RangeText(const KeySpec& key);

// The most similar candidate, as ` (did you mean "speed"?)`; empty if none is similar enough.
std::string DidYouMean(std::string_view found, const std::vector<std::string>& candidates);

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_KEY_SPEC_H_
