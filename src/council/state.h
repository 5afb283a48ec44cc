// What the council's log says, put together: one command in, what came of it out, at each member alike. No
// I/O, no clock.
#ifndef BURLFALL_COUNCIL_STATE_H_
#define BURLFALL_COUNCIL_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ejection/state.h"
#include "freeze/freeze.h"
#include "io/time.h"
#include "owner/owner.h"

namespace burlfall::council {

// The room whose command an entry holds; the first byte of its data.
enum class Part : char { kOwner = 'o', kFreeze = 'f', kEjection = 'e' };

std::string Envelope(const owner::Command& command);
std::string Envelope(const freeze::Command& command);
std::string Envelope(const ejection::Command& command);

struct Came {
  uint64_t index = 0;
  bool known = true;  // false: not a command that this build knows, and nothing was done
  owner::Effects owner;
  freeze::Effects freeze;
  ejection::Effects ejection;
};

class State {
 public:
  State() : ejection_(ejection::Rules()) {}

  Came Apply(uint64_t index, Micros at, std::string_view data);
  std::string Save() const;
  static std::optional<State> Load(std::string_view bytes);

  const owner::State& owner() const { return owner_; }
  const freeze::State& freeze() const { return freeze_; }
  const ejection::State& ejection() const { return ejection_; }

 private:
  owner::State owner_;
  freeze::State freeze_;
  ejection::State ejection_;
};

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_STATE_H_
