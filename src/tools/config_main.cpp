// burlfall-config: checks TOML files, explains their keys and values, and writes or verifies the reference
// pages.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "config/explain.h"
#include "config/kinds.h"

namespace burlfall {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kSuccess = 0;
constexpr int kFailure = 1;     // a reference page differs, a file can't be written
constexpr int kUsageError = 2;  // usage error, or an unusable input file

// Reports an error, as a line on standard error or a JSON object on standard output. Returns `code`.
int Fail(bool json, int code, const std::string& line) {
  if (json) {
    std::cout << Json{{"ok", false}, {"error", line}}.dump(2, ' ', false, Json::error_handler_t::replace)
              << "\n";
  } else {
    std::cerr << "burlfall-config: " << line << "\n";
  }
  return code;
}

void Print(const Json& json) {
  std::cout << json.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

// Reads at most one byte more than the size limit, so that ReadToml can reject a file that is too large
// without loading all of it.
std::optional<std::string> ReadFile(const std::string& path, std::string& error) {
  std::error_code code;
  errno = 0;
  std::ifstream in;
  if (std::filesystem::is_directory(path, code)) {
    errno = EISDIR;
  } else {
    in.open(path, std::ios::binary);
  }
  if (!in.is_open()) {
    error = path + ": " + (errno == 0 ? "can't be opened" : std::strerror(errno));
    return std::nullopt;
  }
  std::string text(kMaxTomlBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(in.gcount()));
  if (in.bad()) {
    error = path + ": can't be read";
    return std::nullopt;
  }
  return text;
}

Json ToJson(const TomlValue& value) {
  switch (value.type) {
    case TomlValue::Type::kNothing:
      return nullptr;
    case TomlValue::Type::kFlag:
      return value.flag;
    case TomlValue::Type::kWhole:
      return value.whole;
    case TomlValue::Type::kNumber:
      return value.number;
    case TomlValue::Type::kText:
    case TomlValue::Type::kDate:
      return value.text;
    case TomlValue::Type::kList:
    case TomlValue::Type::kTable:
      break;
  }
  Json items = Json::array();
  for (const TomlValue& item : value.items) items.push_back(ToJson(item));
  return items;
}

Json ToJson(const KeyRow& row) {
  return {{"key", row.path},       {"type", row.type},
          {"unit", row.unit},      {"default", row.default_value.empty() ? Json() : Json(row.default_value)},
          {"range", row.range},    {"required", row.is_required},
          {"meaning", row.meaning}};
}

int PrintErrors(bool json, const std::vector<ConfigError>& errors) {
  if (json) {
    Json list = Json::array();
    for (const ConfigError& e : errors) {
      list.push_back({{"file", e.file},
                      {"line", e.line},
                      {"column", e.column},
                      {"key", e.key},
                      {"expected", e.expected},
                      {"found", e.found},
                      {"text", e.Line()}});
    }
    Print({{"ok", false}, {"errors", list}});
  } else {
    for (const ConfigError& e : errors) std::cerr << e.Line() << "\n";
  }
  return kUsageError;
}

const Kind* KindByName(std::string_view name) {
  for (const Kind& kind : Kinds()) {
    if (kind.name == name) return &kind;
  }
  return nullptr;
}

std::string KindNames() {
  std::string names;
  for (const Kind& kind : Kinds()) names += (names.empty() ? "" : ", ") + kind.name;
  return names.empty() ? "none" : names;
}

// The text of a file and its kind, or the exit code if it can't be used; the error has then been reported.
struct InputFile {
  std::string text;
  const Kind* kind = nullptr;
  int code = kSuccess;
};
InputFile OpenInput(const std::string& file, const std::string& kind_name, bool json) {
  InputFile input;
  std::string error;
  std::optional<std::string> text = ReadFile(file, error);
  if (!text) return {"", nullptr, Fail(json, kUsageError, error)};
  input.text = std::move(*text);
  input.kind = kind_name.empty() ? KindOfFile(Kinds(), file, input.text) : KindByName(kind_name);
  if (input.kind != nullptr) return input;
  if (!kind_name.empty()) {
    return {"", nullptr,
            Fail(json, kUsageError, "unknown kind " + kind_name + "; known kinds: " + KindNames())};
  }
  const TomlText toml = ReadToml(file, input.text);
  if (!toml.errors.empty()) return {"", nullptr, PrintErrors(json, toml.errors)};
  return {
      "", nullptr,
      Fail(json, kUsageError,
           file +
               ": of no known kind; name it KIND.toml or ANYTHING.KIND.toml, or give --kind KIND; kinds: " +
               KindNames())};
}

int Check(const std::vector<std::string>& files, const std::string& kind_name, bool json) {
  Json valid = Json::array();
  std::vector<ConfigError> errors;
  int code = kSuccess;
  for (const std::string& file : files) {
    const InputFile input = OpenInput(file, kind_name, json);
    if (input.code != kSuccess) {
      if (json) return input.code;  // the output must be a single JSON object
      code = input.code;
      continue;
    }
    const FileValues values = ValuesInForce(input.kind->schema, file, input.text);
    errors.insert(errors.end(), values.errors.begin(), values.errors.end());
    if (!values.errors.empty()) continue;
    valid.push_back({{"file", file}, {"kind", input.kind->name}});
    if (!json) std::cout << file << ": valid " << input.kind->name << "\n";
  }
  if (!errors.empty()) return PrintErrors(json, errors);
  if (json) Print({{"ok", true}, {"files", valid}});
  return code;
}

int ExplainFile(const std::string& file, const std::string& kind_name, bool json) {
  const InputFile input = OpenInput(file, kind_name, json);
  if (input.code != kSuccess) return input.code;
  const FileValues values = ValuesInForce(input.kind->schema, file, input.text);
  if (!values.errors.empty()) return PrintErrors(json, values.errors);
  if (!json) {
    std::cout << "# " << file << ": " << input.kind->name << ", " << input.kind->what << "\n"
              << ExplainValues(values.rows);
    return kSuccess;
  }
  Json rows = Json::array();
  for (const ValueRow& row : values.rows) {
    Json value = {
        {"key", row.path}, {"value", ToJson(row.value)}, {"from", row.line > 0 ? "file" : "default"}};
    if (row.line > 0) value["line"] = row.line;
    rows.push_back(std::move(value));
  }
  Print({{"ok", true}, {"file", file}, {"kind", input.kind->name}, {"values", rows}});
  return kSuccess;
}

int ExplainOneKind(const Kind& kind, bool json) {
  if (!json) {
    std::cout << ExplainKind(kind);
    return kSuccess;
  }
  Json keys = Json::array();
  for (const KeyRow& row : KeyRows(kind.schema)) keys.push_back(ToJson(row));
  Print({{"ok", true}, {"kind", kind.name}, {"what", kind.what}, {"keys", keys}});
  return kSuccess;
}

int ListKinds(bool json) {
  Json list = Json::array();
  for (const Kind& kind : Kinds()) {
    if (!json) std::cout << kind.name << ": " << kind.what << "\n";
    list.push_back({{"kind", kind.name}, {"what", kind.what}});
  }
  if (json) Print({{"ok", true}, {"kinds", list}});
  return kSuccess;
}

// Removes array indices: "nodes[2].speed" and "nodes[].speed" mean the same key as "nodes.speed".
std::string WithoutIndices(const std::string& key) {
  std::string path;
  bool inside = false;
  for (const char c : key) {
    inside = (inside || c == '[') && c != ']';
    if (!inside && c != ']') path += c;
  }
  return path;
}

int Explain(const std::string& what, const std::string& kind_name, bool json) {
  if (!kind_name.empty() && KindByName(kind_name) == nullptr) {
    return Fail(json, kUsageError, "unknown kind " + kind_name + "; known kinds: " + KindNames());
  }
  if (what.empty()) return kind_name.empty() ? ListKinds(json) : ExplainOneKind(*KindByName(kind_name), json);
  const bool is_file = what.find('/') != what.npos || what.ends_with(".toml");
  if (is_file) return ExplainFile(what, kind_name, json);
  if (const Kind* kind = KindByName(what)) return ExplainOneKind(*kind, json);
  Json found = Json::array();
  std::vector<std::string> paths;
  std::string text;
  for (const Kind& kind : Kinds()) {
    if (!kind_name.empty() && kind.name != kind_name) continue;
    paths.push_back(kind.name);
    for (const KeyRow& row : KeyRows(kind.schema)) {
      paths.push_back(row.path);
      if (row.path != WithoutIndices(what)) continue;
      Json key = ToJson(row);
      key["kind"] = kind.name;
      found.push_back(std::move(key));
      text += (text.empty() ? "" : "\n") + ExplainKey(kind, row);
    }
  }
  std::error_code code;
  if (found.empty() && std::filesystem::exists(what, code)) return ExplainFile(what, kind_name, json);
  if (found.empty()) {
    return Fail(json, kUsageError, "neither a file, a kind nor a key: " + what + DidYouMean(what, paths));
  }
  if (json) {
    Print({{"ok", true}, {"keys", found}});
  } else {
    std::cout << text;
  }
  return kSuccess;
}

// Reports the faults in the definitions of the kinds; no page is written or checked if there are any.
int ReportSchemaFaults() {
  int result = kSuccess;
  for (const Kind& kind : Kinds()) {
    for (const std::string& fault : SchemaFaults(kind.schema))
      result = Fail(false, kFailure, kind.name + ": " + fault);
  }
  return result;
}

int WriteReference(const std::filesystem::path& dir) {
  std::error_code code;
  std::filesystem::create_directories(dir, code);
  if (code) return Fail(false, kFailure, dir.string() + ": " + code.message());
  for (const Kind& kind : Kinds()) {
    const std::filesystem::path page = dir / (kind.name + ".md");
    std::ofstream out(page, std::ios::binary | std::ios::trunc);
    out << ReferencePage(kind);
    out.close();
    if (!out) return Fail(false, kFailure, page.string() + ": can't be written");
    std::cout << page.string() << "\n";
  }
  return kSuccess;
}

// Reports pages that differ or are missing, and generated pages of kinds that no longer exist.
int CheckReference(const std::filesystem::path& dir) {
  int result = kSuccess;
  const auto report = [&](const std::filesystem::path& page, const std::string& how) {
    result = Fail(false, kFailure, page.string() + ": " + how);
  };
  for (const Kind& kind : Kinds()) {
    const std::filesystem::path page = dir / (kind.name + ".md");
    std::string error;
    const std::optional<std::string> text = ReadFile(page.string(), error);
    if (!text) {
      result = Fail(false, kFailure, error);
    } else if (*text != ReferencePage(kind)) {
      report(page, "differs from the schema; `burlfall-config reference --write` regenerates it");
    }
  }
  std::error_code code;
  for (const auto& entry : std::filesystem::directory_iterator(dir, code)) {
    if (entry.path().extension() != ".md" || KindByName(entry.path().stem().string()) != nullptr) continue;
    std::string error;
    const std::optional<std::string> text = ReadFile(entry.path().string(), error);
    if (text && text->starts_with(kReferenceMark))
      report(entry.path(), "of a kind that no longer exists; remove it");
  }
  return result;
}

int Main(int argc, char** argv) {
  CLI::App app{
      "burlfall-config: checks the TOML files of burlfall, and explains their keys and values.\n"
      "Exit codes: 0 success, 1 failure, 2 usage error or a file that can't be used.",
      "burlfall-config"};
  app.require_subcommand(1);
  std::string what;
  std::string kind;
  std::vector<std::string> files;
  std::string check_dir;
  std::string write_dir;
  bool json = false;

  CLI::App* explain = app.add_subcommand(
      "explain",
      "What a key means, which keys a kind of file has, or which values are in force with a file.");
  explain->add_option("WHAT", what,
                      "a FILE, a KEY such as site.nodes.speed, or a KIND; without it, lists the kinds");
  CLI::App* check = app.add_subcommand("check", "Reads files as the program would, and reports all errors.");
  check->add_option("FILE", files, "the files")->required();
  for (CLI::App* command : {explain, check}) {
    command->add_option("--kind", kind, "the kind of file, if neither its name nor its keys identify it");
    command->add_flag("--json", json, "one JSON object on standard output, errors included");
  }
  CLI::App* reference = app.add_subcommand("reference", "The reference pages, one for each kind of file.");
  CLI::Option* write = reference->add_option("--write", write_dir, "writes DIR/KIND.md")->type_name("DIR");
  CLI::Option* compare =
      reference
          ->add_option("--check", check_dir,
                       "reports the pages in DIR that differ from what --write would write")
          ->type_name("DIR");
  write->excludes(compare);
  reference->callback([&] {
    if (write_dir.empty() == check_dir.empty())
      throw CLI::RequiredError("Exactly one of --write and --check");
  });
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kSuccess : kUsageError;
  }
  int code = kSuccess;
  if (explain->parsed()) code = Explain(what, kind, json);
  if (check->parsed()) code = Check(files, kind, json);
  if (reference->parsed()) code = ReportSchemaFaults();
  if (reference->parsed() && code == kSuccess) {
    code = write_dir.empty() ? CheckReference(check_dir) : WriteReference(write_dir);
  }
  std::cout.flush();
  return std::cout ? code : kFailure;
}

}  // namespace
}  // namespace burlfall

int main(int argc, char** argv) { return burlfall::Main(argc, argv); }
