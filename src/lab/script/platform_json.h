// The JSON documents that the platform gives to balancers, in the platform's format: discovery's lists of
// nodes, a balancer's settings, and its complete configuration.
#ifndef BURLFALL_LAB_SCRIPT_PLATFORM_JSON_H_
#define BURLFALL_LAB_SCRIPT_PLATFORM_JSON_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lab/script/experiment.h"
#include "lab/script/script.h"
#include "meadowslip/balancer.h"

namespace burlfall::lab {

// An entry of a list of nodes, for one balancer.
struct ListedNode {
  int node = 0;         // index in the script; the spares are numbered after all nodes
  std::string address;  // "127.0.0.1:9000"; may differ from balancer to balancer
  meadowslip::BackendState state = meadowslip::BackendState::kReady;
  Micros started_at = 0;  // Unix time; 0: unknown, long ago
};
struct NodeList {
  uint64_t version = 1;
  bool full = true;  // the complete list; false: only the changes
  std::vector<ListedNode> nodes;
};
std::string ListJson(const Experiment& experiment, const Script& script, const NodeList& list);

// Returns the `settings` object of a balancer.
std::string SettingsJson(const Experiment& experiment, const Script& script, int balancer);

// The parts of a balancer's configuration that depend on the single start.
struct BalancerStart {
  std::string listen;     // "127.0.0.1:8000"
  std::string discovery;  // "127.0.0.1:8500"
  uint64_t seed = 0;      // a new one for each start
  NodeList known;         // the list of nodes that it knows at its start
};
// Returns the content of a balancer's config.json.
std::string ConfigJson(const Experiment& experiment, const Script& script, int balancer,
                       const BalancerStart& start);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SCRIPT_PLATFORM_JSON_H_
