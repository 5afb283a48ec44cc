// Settings of `serve --cluster FILE`: how a balancer finds and monitors the other members of its site
// (src/cluster, docs/cluster.md). The file is TOML, see deploy/cluster.toml. Without a file, the balancer
// knows no other members and binds no address for them.
#ifndef BURLFALL_CONFIG_CLUSTER_SETTINGS_H_
#define BURLFALL_CONFIG_CLUSTER_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/schema.h"

namespace burlfall {

// Fields have the names of their keys in the file; the meanings are in cluster_settings.cpp.
struct ClusterSettings {
  std::string site;
  std::string listen;
  std::string told;
  std::string zone;
  std::vector<std::string> seeds;
  std::string folder;
  int most_members = 2000;
  int period_ms = 500;
  Range<double> wait_s = {2.5, 4};
  double remember_s = 7200;
};

Schema<ClusterSettings> ClusterSchema();
// `file` is the file's name for error messages.
Loaded<ClusterSettings> ParseCluster(std::string_view file, std::string_view text);

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_CLUSTER_SETTINGS_H_
