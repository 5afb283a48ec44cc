// Interface to the source of a host group's list.
#ifndef BURLFALL_MEMBERSHIP_SOURCE_H_
#define BURLFALL_MEMBERSHIP_SOURCE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "config/platform_config.h"

namespace burlfall {

class Source {
 public:
  // Called with each list, and with nullptr and the reason after each failed call. After a failure Follow()
  // must be called again.
  using OnUpdate = std::function<void(const HostList*, const std::string& why)>;

  virtual ~Source() = default;
  // Starts the source. `known_version`: version of the list that the group has, so that changes since then
  // suffice; nullopt: the full list is needed.
  virtual void Start(std::optional<uint64_t> known_version) = 0;
  virtual void Follow() = 0;     // follows the list from now on, until a call fails
  virtual void Reconnect() = 0;  // reconnects at once to the address in the current configuration
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_SOURCE_H_
