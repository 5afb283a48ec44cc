// Parses arbitrary bytes as a TOML file: this must not crash, and each error must be one line of limited
// length.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "config/explain.h"
#include "config/sample.h"

namespace {

// Returns the nesting depth of a value; aborts if a value below it has no line.
size_t Depth(const burlfall::TomlValue& value) {
  size_t deepest = 0;
  for (const burlfall::TomlValue& item : value.items) {
    if (item.line == 0) std::abort();
    deepest = std::max(deepest, Depth(item));
  }
  return deepest + 1;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burlfall;
  static const Schema<sample::Site> schema = sample::SiteSchema();
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto loaded = schema.Parse("fuzz.toml", text);
  if (loaded.value.has_value() != loaded.errors.empty()) std::abort();
  if (loaded.errors.size() > kMaxConfigErrors + 1) std::abort();
  for (const ConfigError& error : loaded.errors) {
    const std::string line = error.Line();
    if (line.size() > 1200 || line.find_first_of("\n\r\0") != line.npos) std::abort();
  }
  const FileValues values = ValuesInForce(schema.Spec(), "fuzz.toml", text);
  if (values.errors.size() != loaded.errors.size()) std::abort();
  ExplainValues(values.rows);
  const TomlValue root = ReadToml("fuzz.toml", text).root;
  ShowToml(root);
  if (Depth(root) > (kMaxTomlNesting + 1) * kMaxTomlKeyParts) std::abort();
  return 0;
}
