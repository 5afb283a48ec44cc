// Parses the settings of a deployment as the simulator's wire and the platform's configuration write them.
#ifndef MEADOWSLIP_CONFIG_SETTINGS_H_
#define MEADOWSLIP_CONFIG_SETTINGS_H_

#include <stdexcept>
#include <string_view>

#include "meadowslip/balancer.h"

namespace meadowslip {

// Thrown for invalid input; the message is one line for operators.
class BadInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses path=value lines; unknown keys are ignored. Throws BadInput.
Settings ParseSettings(std::string_view text);

}  // namespace meadowslip

#endif  // MEADOWSLIP_CONFIG_SETTINGS_H_
