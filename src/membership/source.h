// Where a host group's list comes from.
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
  // Hears of each list, and with nullptr of each call that failed, and why: it must then be asked to follow
  // again.
  using Told = std::function<void(const HostList*, const std::string& why)>;

  virtual ~Source() = default;
  // Ready to follow. `has`: the version of the list that the group has, whose changes are enough; nothing:
  // the whole list is needed.
  virtual void Start(std::optional<uint64_t> has) = 0;
  virtual void Follow() = 0;  // from now on, until a call fails
  virtual void Again() = 0;   // anew and at once, where the configuration now says that the source is
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_SOURCE_H_
