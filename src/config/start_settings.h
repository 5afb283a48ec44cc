// Settings of `serve --start FILE`: how a starting balancer limits its load on the list service and the
// nodes, and protects its clients (src/start, docs/start.md). The file is TOML, see deploy/start.toml.
// Without a file, none of this is on. Fields have the names of their keys in the file.
#ifndef BURLFALL_CONFIG_START_SETTINGS_H_
#define BURLFALL_CONFIG_START_SETTINGS_H_

#include <string>
#include <string_view>

#include "config/schema.h"

namespace burlfall {

struct ListServiceSettings {
  bool paced = true;
  double calls_per_s = 50;
};

struct SavedListSettings {
  std::string folder;
  std::string site;
  double write_every_s = 10;
  double oldest_s = 3600;
};

struct StartSettings {
  int balancers = 0;
  ListServiceSettings list_service;
  SavedListSettings saved_list;
};

Schema<StartSettings> StartSchema();
// Returns the settings as the text of a file; ParseStart() reads the same settings from it.
std::string WriteStart(const StartSettings& settings);
// `file` is the file's name for error messages.
Loaded<StartSettings> ParseStart(std::string_view file, std::string_view text);

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_START_SETTINGS_H_
