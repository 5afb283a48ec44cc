// The replicated state machine of the coordinator group: it applies the commands of the log, one by one, and
// returns their effects. Every member that applies the same log gets the same state. No I/O, no clock.
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

// The library whose command a log entry holds. Stored as the first byte of the entry's data.
enum class CommandOwner : char { kOwner = 'o', kFreeze = 'f', kEjection = 'e' };

// A command as the data of a log entry: the CommandOwner byte, then the encoded command.
std::string Envelope(const owner::Command& command);
std::string Envelope(const freeze::Command& command);
std::string Envelope(const ejection::Command& command);

// The effects of one applied entry.
struct ApplyResult {
  uint64_t index = 0;
  bool recognized = true;  // false: this build does not know the command, and the state is unchanged
  owner::Effects owner;
  freeze::Effects freeze;
  ejection::Effects ejection;
};

class State {
 public:
  State() : ejection_(ejection::Rules()) {}

  ApplyResult Apply(uint64_t index, Micros log_time, std::string_view data);
  // Snapshot of the state. Load() returns nothing for malformed bytes or another version.
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
