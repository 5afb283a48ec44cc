// What `serve --cluster FILE` reads: how a balancer knows the others (src/cluster, docs/cluster.md). A TOML
// file, deploy/cluster.toml; without one, it knows of nobody and binds nothing.
#ifndef BURLFALL_CONFIG_CLUSTER_SETTINGS_H_
#define BURLFALL_CONFIG_CLUSTER_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/schema.h"

namespace burlfall {

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
// `file` is the name to blame in errors.
Loaded<ClusterSettings> ParseCluster(std::string_view file, std::string_view text);

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_CLUSTER_SETTINGS_H_
