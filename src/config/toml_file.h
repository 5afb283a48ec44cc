// Parses the text of a TOML file into a plain tree that records the position of each value.
//
// Only toml_file.cpp includes toml++. No file is opened here: callers pass the text, and the file's name
// for error messages.
#ifndef BURLFALL_CONFIG_TOML_FILE_H_
#define BURLFALL_CONFIG_TOML_FILE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burlfall {

// Limits on the input, so that no file can exhaust the memory or the stack.
inline constexpr size_t kMaxTomlBytes = size_t{1} << 20;
inline constexpr size_t kMaxTomlNesting = 32;   // of brackets: [[1]] is 2 deep
inline constexpr size_t kMaxTomlKeyParts = 32;  // of a dotted key: a.b.c has 3

struct TomlValue {
  enum class Type { kNothing, kFlag, kWhole, kNumber, kText, kDate, kList, kTable };

  Type type = Type::kNothing;
  int line = 0;    // line and column count from 1; 0: the value is not from a file
  int column = 0;  // in characters
  bool flag = false;
  int64_t whole = 0;
  double number = 0;             // set for kWhole too
  std::string text;              // of a kText; of a kDate, as it was written
  std::string key;               // its key in the enclosing table; empty in a list
  std::vector<TomlValue> items;  // of a list or, in the file's order, of a table

  static TomlValue Flag(bool flag);
  static TomlValue Whole(int64_t whole);
  static TomlValue Number(double number);
  static TomlValue Text(std::string text);
  static TomlValue List(std::vector<TomlValue> items);
  static TomlValue Table();

  // Returns the value of a table's key `name`, or nullptr.
  const TomlValue* Find(std::string_view name) const;
};

// One error in a file; its message is one line of limited length.
struct ConfigError {
  std::string file;
  int line = 0;     // from 1; 0: the file as a whole
  int column = 0;   // from 1, for errors in the TOML syntax; 0: none
  std::string key;  // the full path, "site.nodes[2].speed"; empty: none
  std::string expected;
  std::string found;

  // FILE:LINE: KEY: expected ..., found ...     or, if the text is not valid TOML,
  // FILE:LINE:COLUMN: expected ..., found ...
  std::string Line() const;
};

struct TomlText {
  TomlValue root;                   // a table; empty if there are errors
  std::vector<ConfigError> errors;  // toml++ stops at the first error, so there is at most one
};
TomlText ReadToml(std::string_view file, std::string_view text);

// Formats a value as TOML on one line, truncated to `max_bytes`; 0: no limit.
std::string ShowToml(const TomlValue& value, size_t max_bytes = 0);

// Formats `text` as a TOML "basic string" with its quotes; escapes control and bidirectional characters.
std::string Quoted(std::string_view text, size_t max_bytes = 0);

// Returns the path of `key` in the table at `path`; either may be empty.
std::string KeyPath(std::string_view path, std::string_view key);

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_TOML_FILE_H_
