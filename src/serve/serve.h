// `burlfall serve`: runs the balancer on the real machine until a signal ends it.
#ifndef BURLFALL_SERVE_SERVE_H_
#define BURLFALL_SERVE_SERVE_H_

#include <optional>
#include <string>

#include "config/cluster_settings.h"
#include "config/council_settings.h"
#include "config/start_settings.h"
#include "io/files.h"
#include "observe/log.h"

namespace burlfall {

// Runs the balancer. The environment names the platform's configuration file. The paths name settings files
// of the operators; an empty path leaves the features of that file off:
// - `path`: the properties.
// - `start`: the start settings.
// - `cluster`: the cluster settings; without them the balancer knows of no other balancer.
// - `council`: the settings of the coordinator group.
// Returns the exit code: 2 if the start, cluster or council settings are invalid. Throws an exception with
// a one-line message if the balancer can't start.
int Serve(const std::string& path, LogFormat format = LogFormat::kText, const std::string& start = "",
          const std::string& cluster = "", const std::string& council = "");

// Read the settings of the start, the cluster and the coordinator group. If the file is invalid, they return
// nullopt and append one line for each error to `errors`. They throw BadConfig if the file can't be read.
std::optional<StartSettings> ReadStart(const std::string& path, Files& files, std::string& errors);
std::optional<ClusterSettings> ReadCluster(const std::string& path, Files& files, std::string& errors);
std::optional<CouncilSettings> ReadCouncil(const std::string& path, Files& files, std::string& errors);

}  // namespace burlfall

#endif  // BURLFALL_SERVE_SERVE_H_
