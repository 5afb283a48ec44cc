#include "council/state.h"

#include <utility>

#include "council/packing.h"

namespace burlfall::council {
namespace {

constexpr uint64_t kVersion = 1;            // of the snapshot format
constexpr size_t kMaxPartBytes = 64 << 20;  // of one library's state in the snapshot

}  // namespace

std::string Envelope(const owner::Command& command) {
  std::string data(1, static_cast<char>(CommandOwner::kOwner));
  return data += owner::Write(command);
}

std::string Envelope(const freeze::Command& command) {
  std::string data(1, static_cast<char>(CommandOwner::kFreeze));
  return data += freeze::Write(command);
}

std::string Envelope(const ejection::Command& command) {
  std::string data(1, static_cast<char>(CommandOwner::kEjection));
  return data += ejection::EncodeCommand(command);
}

std::optional<State> State::AboveFloor(uint64_t floor, const std::string& by) {
  owner::Command command;
  command.kind = owner::Command::Kind::kFloor;
  command.epoch = floor;
  command.by = by;
  State state;
  state.owner_.Apply(floor, 0, command);
  if (state.owner_.floor() != floor) return {};
  return state;
}

owner::Error State::CheckEpoch(const std::string& task, uint64_t epoch, const std::string& by,
                               ApplyResult& result) const {
  const owner::Error error = owner_.CheckEpoch(task, epoch);
  if (error != owner::Error::kNone) result.stale_command = {task, by, epoch, owner_.EpochOf(task), error};
  return error;
}

ApplyResult State::Apply(uint64_t index, Micros log_time, std::string_view data) {
  ApplyResult result;
  result.index = index;
  result.recognized = false;
  if (data.empty()) return result;
  const std::string_view command_bytes = data.substr(1);
  if (data[0] == static_cast<char>(CommandOwner::kOwner)) {
    if (const auto command = owner::ReadCommand(command_bytes)) {
      result.owner = owner_.Apply(index, log_time, *command);
      result.recognized = true;
    }
  }
  if (data[0] == static_cast<char>(CommandOwner::kFreeze)) {
    if (const auto command = freeze::ReadCommand(command_bytes)) {
      owner::Error epoch_error = owner::Error::kNone;
      if (freeze::ActsForOwner(*command))
        epoch_error = CheckEpoch(owner::kFreezeTask, command->coordinator, command->who.name, result);
      result.freeze = freeze_.Apply(index, log_time, *command, epoch_error);
      result.recognized = true;
    }
  }
  if (data[0] == static_cast<char>(CommandOwner::kEjection)) {
    if (const auto command = ejection::DecodeCommand(command_bytes)) {
      bool epoch_owns_count = true;
      if (ejection::ActsForOwner(*command)) {
        epoch_owns_count =
            CheckEpoch(owner::kEjectionTask, command->epoch, "", result) == owner::Error::kNone;
      }
      result.ejection = ejection_.Apply(index, log_time, *command, epoch_owns_count);
      result.recognized = true;
    }
  }
  return result;
}

std::string State::Save() const {
  return ArrayWriter(4).Add(kVersion).Add(owner_.Save()).Add(freeze_.Save()).Add(ejection_.Save()).ToBytes();
}

std::optional<State> State::Load(std::string_view bytes) {
  try {
    ArrayReader reader(bytes);
    if (reader.Number() != kVersion) return {};
    auto owner = owner::State::Load(reader.Bytes(kMaxPartBytes));
    auto freeze = freeze::State::Load(reader.Bytes(kMaxPartBytes));
    auto ejection = ejection::State::Load(reader.Bytes(kMaxPartBytes), ejection::Rules());
    if (!owner || !freeze || !ejection) return {};
    State state;
    state.owner_ = std::move(*owner);
    state.freeze_ = std::move(*freeze);
    state.ejection_ = std::move(*ejection);
    return state;
  } catch (const FormatError&) {
    return {};
  }
}

}  // namespace burlfall::council
