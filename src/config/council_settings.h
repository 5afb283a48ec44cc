// What `serve --council FILE` reads: who agrees on the site's log, and what this balancer does with it
// (src/council, docs/council.md). A TOML file, deploy/council.toml; without one, nothing of it is on.
#ifndef BURLFALL_CONFIG_COUNCIL_SETTINGS_H_
#define BURLFALL_CONFIG_COUNCIL_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/schema.h"

namespace burlfall {

struct CouncilVoter {
  std::string name;
  std::string address;
};

// What an incident forbids; an empty kind stands for all. The first that fits decides.
struct CouncilForbids {
  std::string incident;
  std::string change;
  std::string reach = "where_scopes_meet";
};

struct CouncilFreeze {
  double step_lease_s = 2;
  double change_lease_s = 30;
  int most_balancers_of_zone = 1;
  int most_nodes_of_group = 2;
  double ask_again_s = 30;
  std::vector<std::string> emergencies = {"node_out", "restart"};
  std::vector<CouncilForbids> forbids;
};

struct CouncilSettings {
  std::string site;
  std::string listen;
  std::string told;
  std::string folder;
  std::vector<CouncilVoter> voters;
  std::vector<std::string> wants;
  int heartbeat_ms = 100;
  Range<int64_t> election_ms = {500, 1000};
  double lease_s = 2;
  double drift = 0.05;
  int ask_ms = 2000;
  int64_t most_log = 4096;
  int step_ms = 0;
  CouncilFreeze freeze;
};

Schema<CouncilSettings> CouncilSchema();
// `file` is the name to blame in errors.
Loaded<CouncilSettings> ParseCouncil(std::string_view file, std::string_view text);

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_COUNCIL_SETTINGS_H_
