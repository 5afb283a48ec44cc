// The platform's configuration of the program: addresses, limits, the initial server list and the settings.
// It is read from environment variables and a JSON file.
#ifndef BURLFALL_CONFIG_PLATFORM_CONFIG_H_
#define BURLFALL_CONFIG_PLATFORM_CONFIG_H_

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "io/address.h"
#include "io/files.h"
#include "meadowslip/balancer.h"

namespace burlfall {

// Thrown for an invalid configuration or server list; the message is one line for operators.
class BadConfig : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

Address ParseAddress(const std::string& text);  // "10.0.0.4:9000" or "[::1]:9000"; throws BadConfig

// A server of discovery's list.
struct HostEntry {
  std::string name;
  Address address;
  meadowslip::BackendEntry entry;  // without its id
};
// Discovery's complete list (`full`), or the servers that have changed.
struct HostList {
  uint64_t version = 0;
  bool full = false;
  std::vector<HostEntry> hosts;
};
HostList ParseHostList(std::string_view json, const meadowslip::Settings& settings);  // throws BadConfig

struct Config {
  std::string name;
  Address listen;
  Address discovery;
  Address admin;  // length 0: there is no admin address
  // Whether the platform sets an admin address or passes a listener. Request bodies may then be large and
  // slow to arrive.
  bool in_service = false;
  int passed_listener = -1;  // inherited descriptor of the clients' listener; -1: none
  // Folder for small files that outlive the process; empty: none.
  std::string folder;
  uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 192;
  HostList initial_hosts;
  meadowslip::Settings settings;
  std::string settings_json;  // the settings as minified JSON
};

// Looks up an environment variable; returns nullptr if it is not set.
using Environment = std::function<const char*(const char*)>;
Config LoadConfig(const Environment& environment, Files& files);  // throws BadConfig

// Converts the nested JSON of the settings to the path=value lines that ParseSettings() reads.
std::string FlattenSettings(std::string_view json);

// Replaces spaces, commas and control characters, which a name in path=value lines can't contain, by `_`.
std::string PlainName(std::string_view name);

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_PLATFORM_CONFIG_H_
