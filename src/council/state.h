// What the council's log says, put together: one command in, what came of it out, at each member alike. No
// I/O, no clock.
#ifndef BURLFALL_COUNCIL_STATE_H_
#define BURLFALL_COUNCIL_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "freeze/freeze.h"
#include "io/time.h"
#include "owner/owner.h"

namespace burlfall::council {

// The room whose command an entry holds; the first byte of its data.
enum class Part : char { kOwner = 'o', kFreeze = 'f' };

std::string Envelope(const owner::Command& command);
std::string Envelope(const freeze::Command& command);

struct Came {
  uint64_t index = 0;
  bool known = true;  // false: not a command that this build knows, and nothing was done
  owner::Effects owner;
  freeze::Effects freeze;
};

class State {
 public:
  Came Apply(uint64_t index, Micros at, std::string_view data);
  std::string Save() const;
  static std::optional<State> Load(std::string_view bytes);

  const owner::State& owner() const { return owner_; }
  const freeze::State& freeze() const { return freeze_; }

 private:
  owner::State owner_;
  freeze::State freeze_;
};

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_STATE_H_
