// The kinds of TOML file that burlfall-config knows.
#include "config/kinds.h"

#include "config/cluster_settings.h"
#include "config/council_settings.h"
#include "config/start_settings.h"
#include "lab/members/scenario.h"
#include "lab/script/experiment_file.h"

namespace burlfall {

const std::vector<Kind>& Kinds() {
  // One line for each kind of file; see config/kinds.h.
  static const std::vector<Kind> kKinds = {
      {"start", "how a balancer's start spares the list service and the nodes", StartSchema().Spec(),
       "list_service"},
      {"cluster", "how a balancer knows the others of its site", ClusterSchema().Spec(), "seeds"},
      {"council", "what the balancers of a site decide together, and who votes", CouncilSchema().Spec(),
       "voters"},
      {"members", "what a cluster of members goes through in the laboratory", lab::ScenarioSchema().Spec(),
       "goals"},
      {"experiment", "what the laboratory plays", lab::ExperimentSchema().Spec(), "classes"},
  };
  return kKinds;
}

}  // namespace burlfall
