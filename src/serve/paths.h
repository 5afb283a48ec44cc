// Where a process keeps its files and sockets. No I/O.
#ifndef BURLFALL_SERVE_PATHS_H_
#define BURLFALL_SERVE_PATHS_H_

#include <string>

#include "config/platform_config.h"

namespace burlfall {

// A path in `folder` for this balancer's `suffix`. Several balancers may share the folder, by different
// names.
std::string PathFor(const Config& config, const std::string& folder, const char* suffix);

// A folder as the operators' files name it: "$TMPDIR" stands for the configuration's own. Empty: none.
const std::string& NamedFolder(const Config& config, const std::string& folder);

// The file of the nodes that are out by hand. Empty: there is none.
std::string OutPath(const Config& config);

}  // namespace burlfall

#endif  // BURLFALL_SERVE_PATHS_H_
