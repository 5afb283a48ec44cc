// What the platform hands to balancers, as JSON in its own form and names: discovery's lists, a balancer's
// settings and its whole configuration.
#ifndef BURLFALL_LAB_SCRIPT_PLATFORM_JSON_H_
#define BURLFALL_LAB_SCRIPT_PLATFORM_JSON_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lab/script/experiment.h"
#include "lab/script/script.h"
#include "meadowslip/balancer.h"

namespace burlfall::lab {

// A node as one balancer sees it in a list.
struct ListedNode {
  int node = 0;         // its number in the script; a spare's follows those of all nodes
  std::string address;  // "127.0.0.1:9000"; may differ from balancer to balancer
  meadowslip::BackendState state = meadowslip::BackendState::kReady;
  Micros started_at = 0;  // Unix time; 0: long ago
};
struct NodeList {
  uint64_t version = 1;
  bool full = true;  // the whole list; else what has changed
  std::vector<ListedNode> nodes;
};
std::string ListJson(const Experiment& experiment, const Script& script, const NodeList& list);

// The `settings` of a balancer.
std::string SettingsJson(const Experiment& experiment, const Script& script, int balancer);

// Its whole config.json.
struct BalancerStart {
  std::string listen;     // "127.0.0.1:8000"
  std::string discovery;  // "127.0.0.1:8500"
  uint64_t seed = 0;      // new with each start
  NodeList known;         // the list that it last had
};
std::string ConfigJson(const Experiment& experiment, const Script& script, int balancer,
                       const BalancerStart& start);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SCRIPT_PLATFORM_JSON_H_
