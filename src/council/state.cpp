#include "council/state.h"

#include <utility>

#include "council/packing.h"

namespace burlfall::council {
namespace {

constexpr uint64_t kVersion = 1;
constexpr size_t kLargest = 64 << 20;

}  // namespace

std::string Envelope(const owner::Command& command) {
  std::string data(1, static_cast<char>(Part::kOwner));
  return data += owner::Write(command);
}

std::string Envelope(const freeze::Command& command) {
  std::string data(1, static_cast<char>(Part::kFreeze));
  return data += freeze::Write(command);
}

std::string Envelope(const ejection::Command& command) {
  std::string data(1, static_cast<char>(Part::kEjection));
  return data += ejection::EncodeCommand(command);
}

Came State::Apply(uint64_t index, Micros at, std::string_view data) {
  Came came;
  came.index = index;
  came.known = false;
  if (data.empty()) return came;
  const std::string_view inner = data.substr(1);
  if (data[0] == static_cast<char>(Part::kOwner)) {
    if (const auto command = owner::ReadCommand(inner)) {
      came.owner = owner_.Apply(index, at, *command);
      came.known = true;
    }
  }
  if (data[0] == static_cast<char>(Part::kFreeze)) {
    if (const auto command = freeze::ReadCommand(inner)) {
      came.freeze = freeze_.Apply(index, at, *command);
      came.known = true;
    }
  }
  if (data[0] == static_cast<char>(Part::kEjection)) {
    if (const auto command = ejection::DecodeCommand(inner)) {
      came.ejection = ejection_.Apply(index, at, *command);
      came.known = true;
    }
  }
  return came;
}

std::string State::Save() const {
  return Packed(4).Add(kVersion).Add(owner_.Save()).Add(freeze_.Save()).Add(ejection_.Save()).Take();
}

std::optional<State> State::Load(std::string_view bytes) {
  try {
    Unpacked from(bytes);
    if (from.Number() != kVersion) return {};
    auto owner = owner::State::Load(from.Bytes(kLargest));
    auto freeze = freeze::State::Load(from.Bytes(kLargest));
    auto ejection = ejection::State::Load(from.Bytes(kLargest), ejection::Rules());
    if (!owner || !freeze || !ejection) return {};
    State state;
    state.owner_ = std::move(*owner);
    state.freeze_ = std::move(*freeze);
    state.ejection_ = std::move(*ejection);
    return state;
  } catch (const Slip&) {
    return {};
  }
}

}  // namespace burlfall::council
