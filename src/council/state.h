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

// A command of a task's owner that had no effect, because its epoch did not own the task at its entry: the
// task had gone to another owner, or to nobody, by the time the command entered the log.
struct StaleCommand {
  std::string task;
  std::string by;  // the member; empty if the command does not name it
  uint64_t epoch = 0;
  uint64_t last_epoch = 0;  // of the task
  owner::Error error = owner::Error::kFenced;
};

// The effects of one applied entry.
struct ApplyResult {
  uint64_t index = 0;
  bool recognized = true;  // false: this build does not know the command, and the state is unchanged
  std::optional<StaleCommand> stale_command;
  owner::Effects owner;
  freeze::Effects freeze;
  ejection::Effects ejection;
};

class State {
 public:
  State() : ejection_(ejection::Rules()) {}
  // The initial state of a log that an operator rebuilds after a majority was lost: epochs up to `floor` are
  // ruled out for every task. Nothing if the floor leaves no room for epochs above it.
  static std::optional<State> AboveFloor(uint64_t floor, const std::string& by);

  ApplyResult Apply(uint64_t index, Micros log_time, std::string_view data);
  // Snapshot of the state. Load() returns nothing for malformed bytes or another version.
  std::string Save() const;
  static std::optional<State> Load(std::string_view bytes);

  const owner::State& owner() const { return owner_; }
  const freeze::State& freeze() const { return freeze_; }
  const ejection::State& ejection() const { return ejection_; }

 private:
  // The error of a command that was sent under this epoch of the task; records a stale one in `result`.
  owner::Error CheckEpoch(const std::string& task, uint64_t epoch, const std::string& by,
                          ApplyResult& result) const;

  owner::State owner_;
  freeze::State freeze_;
  ejection::State ejection_;
};

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_STATE_H_
