#include "config/explain.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace burlfall {
namespace {

std::string UnitInWords(std::string_view unit) {
  constexpr std::pair<std::string_view, std::string_view> kWords[] = {
      {"ns", "nanoseconds"}, {"us", "microseconds"},  {"ms", "milliseconds"},
      {"s", "seconds"},      {"per_s", "per second"}, {"per_ms", "per millisecond"}};
  for (const auto& [short_form, words] : kWords) {
    if (unit == short_form) return std::string(words);
  }
  return std::string(unit);
}

void AddRows(const TableSpec& table, void* defaults, const std::string& path, std::vector<KeyRow>& rows) {
  for (const KeySpec& key : table.keys) {
    KeyRow& row = rows.emplace_back();
    row.path = KeyPath(path, key.name);
    row.type = TypeText(key);
    row.unit = UnitInWords(key.unit);
    row.range = RangeText(key);
    row.meaning = key.meaning;
    row.is_required = key.is_required;
    row.is_list = key.is_list;
    row.is_table = key.type == KeySpec::Type::kTable;
    if (row.is_table) row.table = key.table->meaning;
    if (!row.is_table) {
      const TomlValue value = key.get(defaults);
      if (!key.is_required && value.type != TomlValue::Type::kNothing) row.default_value = ShowToml(value);
      continue;
    }
    // The defaults of a table come from the enclosing struct, unless the table is optional or a list.
    void* inner = key.is_list ? nullptr : key.at(defaults, 0);
    const std::shared_ptr<void> fresh = key.table->make();
    const std::string inner_path = row.path;  // a copy, because `row` is invalidated as rows are added
    AddRows(*key.table, inner == nullptr ? fresh.get() : inner, inner_path, rows);
  }
}

// `given` is the file's table, or nullptr if the file has none.
void AddValues(const TableSpec& table, void* object, const TomlValue* given, const std::string& path,
               std::vector<ValueRow>& rows) {
  for (const KeySpec& key : table.keys) {
    const TomlValue* item = given == nullptr ? nullptr : given->Find(key.name);
    const std::string at = KeyPath(path, key.name);
    const int line = item == nullptr ? 0 : item->line;
    if (key.type != KeySpec::Type::kTable) {
      rows.push_back({at, key.get(object), line});
      continue;
    }
    if (key.at(object, 0) == nullptr) {
      rows.push_back({at, key.is_list ? TomlValue::List({}) : TomlValue(), line});
      continue;
    }
    for (size_t i = 0; void* inner = key.at(object, i); i++) {
      if (!key.is_list) {
        AddValues(*key.table, inner, item, at, rows);
        break;
      }
      const TomlValue* element = item == nullptr ? nullptr : &item->items[i];
      AddValues(*key.table, inner, element, at + "[" + std::to_string(i) + "]", rows);
    }
  }
}

std::string DefaultText(const KeyRow& row) {
  if (row.is_required) return "none: required";
  if (!row.default_value.empty()) return row.default_value;
  return row.is_table ? "may be left out" : "not set";
}

// Escapes `text` as one cell of a markdown table.
std::string Cell(std::string_view text) {
  std::string cell;
  for (const char c : text) {
    if (c == '|') cell += '\\';
    cell += c;
  }
  return cell;
}

std::string Capital(std::string text) {
  if (!text.empty() && text[0] >= 'a' && text[0] <= 'z') text[0] = static_cast<char>(text[0] - 32);
  return text;
}

std::string Code(std::string_view text) { return std::string("`").append(text) + "`"; }

std::string Header(const KeyRow& row) { return row.is_list ? "[[" + row.path + "]]" : "[" + row.path + "]"; }

// Appends the keys directly in the table at `path`, and then a section for each table in it.
void AddSections(const std::vector<KeyRow>& rows, const std::string& path, std::string& page) {
  std::string lines;
  const auto is_child = [&](const KeyRow& row) {
    if (path.empty()) return row.path.find('.') == std::string::npos;
    return row.path.starts_with(path + ".") && row.path.find('.', path.size() + 1) == std::string::npos;
  };
  for (const KeyRow& row : rows) {
    if (row.is_table || !is_child(row)) continue;
    const std::string name = row.path.substr(path.empty() ? 0 : path.size() + 1);
    const std::string default_value = row.default_value.empty() ? DefaultText(row) : Code(row.default_value);
    lines += "| `" + name + "` | " + Cell(row.type) + " | " + row.unit + " | " + Cell(default_value) + " | " +
             Cell(row.range) + " | " + Cell(row.meaning) + " |\n";
  }
  if (!lines.empty()) {
    page += "\n| key | type | unit | default | range | meaning |\n| --- | --- | --- | --- | --- | --- |\n" +
            lines;
  }
  for (const KeyRow& row : rows) {
    if (!row.is_table || !is_child(row)) continue;
    page += "\n## `" + Header(row) + "`\n\n" + Capital(row.meaning) + " (" + row.type;
    if (!row.range.empty()) page += ", " + row.range;
    page += row.is_required ? "; required)" : "; may be left out)";
    if (!row.table.empty()) page += ": " + row.table;
    page += ".\n";
    AddSections(rows, row.path, page);
  }
}

}  // namespace

std::vector<KeyRow> KeyRows(const TableSpec& table) {
  std::vector<KeyRow> rows;
  const std::shared_ptr<void> defaults = table.make();
  AddRows(table, defaults.get(), "", rows);
  return rows;
}

FileValues ValuesInForce(const TableSpec& table, std::string_view file, std::string_view text) {
  FileValues values;
  const std::shared_ptr<void> object = table.make();
  values.errors = ParseInto(table, file, text, object.get());
  if (!values.errors.empty()) return values;
  const TomlText given = ReadToml(file, text);
  AddValues(table, object.get(), &given.root, "", values.rows);
  return values;
}

std::string ExplainKind(const Kind& kind) {
  std::string text = kind.name + ": " + kind.what + "\n";
  for (const KeyRow& row : KeyRows(kind.schema)) {
    text += "\n" + (row.is_table ? Header(row) : row.path) + "  ";
    text += row.default_value.empty() ? std::string("(").append(DefaultText(row)) + ")"
                                      : "= " + row.default_value;
    text += "\n    " + row.type;
    if (!row.unit.empty()) text += ", in " + row.unit;
    if (!row.range.empty()) text += ", " + row.range;
    text += "\n    " + row.meaning + "\n";
  }
  return text;
}

std::string ExplainKey(const Kind& kind, const KeyRow& row) {
  std::string text;
  for (const KeyRow& one : KeyRows(kind.schema)) {
    if (one.path != row.path && !(row.is_table && one.path.starts_with(row.path + "."))) continue;
    if (!text.empty()) text += '\n';
    text += one.path + ", a key of " + kind.name + "\n";
    text += "  type     " + one.type + "\n";
    text += "  unit     " + (one.unit.empty() ? "none" : one.unit) + "\n";
    text += "  default  " + DefaultText(one) + "\n";
    text += "  range    " + (one.range.empty() ? "no limit" : one.range) + "\n";
    text += "  meaning  " + one.meaning + "\n";
  }
  return text;
}

std::string ExplainValues(const std::vector<ValueRow>& rows) {
  std::vector<std::string> lines;
  size_t width = 0;
  for (const ValueRow& row : rows) {
    const bool is_set = row.value.type != TomlValue::Type::kNothing;
    lines.push_back(row.path + (is_set ? " = " + ShowToml(row.value) : "  (not set)"));
    // Lines over 60 bytes are not counted, so that one long value does not shift the notes of all others.
    if (lines.back().size() <= 60) width = std::max(width, lines.back().size());
  }
  std::string text;
  for (size_t i = 0; i < rows.size(); i++) {
    text += lines[i] + std::string(width > lines[i].size() ? width - lines[i].size() : 0, ' ');
    text += rows[i].line > 0 ? "  # line " + std::to_string(rows[i].line) + "\n" : "  # default\n";
  }
  return text;
}

std::string ReferencePage(const Kind& kind) {
  std::string page = std::string(kReferenceMark) + " --write`; change it there. -->\n";
  page += "# " + kind.name + "\n\n" + Capital(kind.what);
  if (!kind.schema.meaning.empty()) page += ". " + Capital(kind.schema.meaning);
  page += ".\n\nFiles are named `" + kind.name + ".toml` or `ANYTHING." + kind.name + ".toml`";
  const std::string top_key = kind.top_key.empty() ? kind.name : kind.top_key;
  if (std::any_of(kind.schema.keys.begin(), kind.schema.keys.end(),
                  [&](const KeySpec& key) { return key.name == top_key; })) {
    page += ", or known by their key `" + top_key + "`";
  }
  page += ".\n";
  AddSections(KeyRows(kind.schema), "", page);
  return page;
}

}  // namespace burlfall
