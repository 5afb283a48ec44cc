// Paths of the files and sockets of a balancer process. No I/O.
#ifndef BURLFALL_SERVE_PATHS_H_
#define BURLFALL_SERVE_PATHS_H_

#include <string>

#include "config/platform_config.h"

namespace burlfall {

// The path in `folder` that ends in `suffix`. It contains the balancer's name, so that several balancers can
// share the folder.
std::string PathFor(const Config& config, const std::string& folder, const char* suffix);

// Resolves a folder that a settings file names: "$TMPDIR" stands for the configuration's own folder. An empty
// result means that there is none.
const std::string& ResolveFolder(const Config& config, const std::string& folder);

// The file of the nodes that operators took out of service. Empty: there is none.
std::string OutFilePath(const Config& config);

}  // namespace burlfall

#endif  // BURLFALL_SERVE_PATHS_H_
