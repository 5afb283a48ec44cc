// Descriptions made from a schema: its keys, the values in force with a given file, its reference page. The
// functions return texts; they neither read files nor print.
#ifndef BURLFALL_CONFIG_EXPLAIN_H_
#define BURLFALL_CONFIG_EXPLAIN_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/key_spec.h"
#include "config/kinds.h"

namespace burlfall {

// The description of one key of a file, at any depth.
struct KeyRow {
  std::string path;           // "site.nodes.speed", without the indices of arrays
  std::string type;           // "a whole number", "an array of tables"
  std::string unit;           // "milliseconds"; empty: none
  std::string default_value;  // as TOML; empty without a default: required, optional, a table
  std::string range;          // "1 to 64"; empty: no limit
  std::string meaning;
  std::string table;  // of a table: the meaning given by its schema
  bool is_required = false;
  bool is_table = false;  // a table or an array of tables; the rows of its keys follow
  bool is_list = false;
};
std::vector<KeyRow> KeyRows(const TableSpec& table);

// One value that is in force with a given file.
struct ValueRow {
  std::string path;  // "site.nodes[2].speed"
  TomlValue value;   // kNothing: an optional key that is not set
  int line = 0;      // 0: the default is in force
};
struct FileValues {
  std::vector<ValueRow> rows;       // in the schema's order; empty if there are errors
  std::vector<ConfigError> errors;  // as Schema::Parse returns them
};
FileValues ValuesInForce(const TableSpec& table, std::string_view file, std::string_view text);

// Texts about all keys of a kind; one key, including all keys below it if it is a table; all values of a
// file. Lines end in '\n'.
std::string ExplainKind(const Kind& kind);
std::string ExplainKey(const Kind& kind, const KeyRow& row);
std::string ExplainValues(const std::vector<ValueRow>& rows);

// The markdown reference page of a kind, and the mark with which such pages begin.
inline constexpr std::string_view kReferenceMark = "<!-- Made from the schema by `burlfall-config reference";
std::string ReferencePage(const Kind& kind);

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_EXPLAIN_H_
