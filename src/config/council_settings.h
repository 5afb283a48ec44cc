// Settings of `serve --council FILE`: the voters of the site's replicated log (the council), and what this
// balancer does with it (src/council, docs/council.md). The file is TOML, see deploy/council.toml. Without a
// file, the council is off. Fields have the names of their keys in the file; the meanings are in
// council_settings.cpp.
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

// A rule about which changes an incident forbids; empty fields match all. The first match applies.
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
// `file` is the file's name for error messages.
Loaded<CouncilSettings> ParseCouncil(std::string_view file, std::string_view text);

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_COUNCIL_SETTINGS_H_
