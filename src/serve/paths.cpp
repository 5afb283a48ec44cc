#include "serve/paths.h"

#include <algorithm>

namespace burlfall {
namespace {

constexpr char kTempFolderVariable[] = "$TMPDIR";

}  // namespace

std::string PathFor(const Config& config, const std::string& folder, const char* suffix) {
  const auto unsafe = [](char c) { return c == '/' || (c >= 0 && c <= ' '); };
  std::string name = config.name;
  std::replace_if(name.begin(), name.end(), unsafe, '_');
  return folder + "/burlfall-" + name + suffix;
}

const std::string& ResolveFolder(const Config& config, const std::string& folder) {
  return folder == kTempFolderVariable ? config.folder : folder;
}

std::string OutFilePath(const Config& config) {
  if (config.folder.empty() || config.admin.length == 0) return "";
  return PathFor(config, config.folder, ".out");
}

}  // namespace burlfall
