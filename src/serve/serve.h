// `burlfall serve`: the program on the real machine, until a signal ends it.
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

// `path` names the operators' own settings; empty: every feature is off. The platform's configuration is
// where the environment says. Returns the exit code; throws, with one plain line, where it can't start.
// `start` names the settings of the start; empty: nothing of it is on. Exit code 2 where that file is wrong.
// `cluster` names the settings of the cluster, likewise; empty: it knows of no other balancer. `council`
// names those of what the balancers decide together; empty: nothing of it is on.
int Serve(const std::string& path, LogFormat format = LogFormat::kText, const std::string& start = "",
          const std::string& cluster = "", const std::string& council = "");
// The settings of the start, of the cluster and of the council; nothing where the file is wrong, and `errors`
// then has a line for each slip. Throw BadConfig where it can't be read.
std::optional<StartSettings> ReadStart(const std::string& path, Files& files, std::string& errors);
std::optional<ClusterSettings> ReadCluster(const std::string& path, Files& files, std::string& errors);
std::optional<CouncilSettings> ReadCouncil(const std::string& path, Files& files, std::string& errors);

}  // namespace burlfall

#endif  // BURLFALL_SERVE_SERVE_H_
