#include "config/kinds.h"

namespace burlfall {

const Kind* KindOfFile(const std::vector<Kind>& kinds, std::string_view file, std::string_view text) {
  file.remove_prefix(file.rfind('/') == file.npos ? 0 : file.rfind('/') + 1);
  for (const Kind& kind : kinds) {
    const std::string name = kind.name + ".toml";
    if (file == name || file.ends_with("." + name)) return &kind;
  }
  for (const TomlValue& item : ReadToml(file, text).root.items) {
    for (const Kind& kind : kinds) {
      if (item.key == (kind.top_key.empty() ? kind.name : kind.top_key)) return &kind;
    }
  }
  return nullptr;
}

}  // namespace burlfall
