// Reads arbitrary bytes as commands and states of src/owner and src/freeze, as an executor's file, and as a
// balancer's record of emergency changes. The bytes must be rejected, or re-encode to a stable form; commands
// that were read are applied. A valid checksum is added first, as otherwise all input would be rejected. The
// first byte of the input selects the format.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>
#include <cstdlib>
#include <string>

#include "freeze/freeze.h"
#include "freeze/local_gate.h"
#include "owner/executor.h"
#include "owner/owner.h"

namespace {

std::string AddChecksum(const char* what, const std::string& body) {
  std::string frame = std::string(what) + '\x01';
  const uint64_t sum = XXH3_64bits(body.data(), body.size());
  for (int byte = 0; byte < 8; ++byte) frame += static_cast<char>(sum >> (8 * byte) & 0xff);
  return frame + body;
}

void Require(bool condition) {
  if (!condition) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burlfall;
  if (size == 0) return 0;
  const std::string body(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 6) {
    case 0:
      if (const auto command = owner::ReadCommand(AddChecksum("bfoc", body))) {
        const std::string bytes = owner::Write(*command);
        Require(owner::Write(*owner::ReadCommand(bytes)) == bytes);
        owner::State state;
        state.Apply(1, 0, *command);
        state.Apply(2, 0, *command);
        Require(owner::State::Load(state.Save()).has_value());
      }
      return 0;
    case 1:
      if (auto state = owner::State::Load(AddChecksum("bfos", body))) {
        const std::string bytes = state->Save();
        Require(owner::State::Load(bytes)->Save() == bytes);
        for (const owner::Lease& lease : state->Leases()) state->Apply(1, 0, owner::MakeExpireCommand(lease));
        Require(owner::State::Load(state->Save()).has_value());
      }
      return 0;
    case 2:
      if (const auto command = freeze::ReadCommand(AddChecksum("bffc", body))) {
        const std::string bytes = freeze::Write(*command);
        Require(freeze::Write(*freeze::ReadCommand(bytes)) == bytes);
        freeze::State state;
        state.Apply(1, 0, *command);
        state.Apply(2, 0, *command);
        Require(freeze::State::Load(state.Save()).has_value());
      }
      return 0;
    case 3:
      if (auto state = freeze::State::Load(AddChecksum("bffs", body))) {
        const std::string bytes = state->Save();
        Require(freeze::State::Load(bytes)->Save() == bytes);
        uint64_t index = uint64_t{1} << 40;
        for (const freeze::Command& ends : state->IncidentsDue(INT64_MAX / 2)) state->Apply(++index, 0, ends);
        for (const owner::Lease& lease : state->Leases()) {
          state->Apply(++index, 0, freeze::MakeExpireCommand(lease));
        }
        Require(freeze::State::Load(state->Save()).has_value());
      }
      return 0;
    case 4: {
      owner::ExecutorRules rules;
      rules.disk = true;
      const std::string file = AddChecksum("bfox", body);
      owner::Executor executor(rules, file);
      executor.Check("freeze", 7);
      executor.SetCurrentEpoch("freeze", 7);
      if (const auto write = executor.NextWrite()) {
        Require(!owner::Executor(rules, write->bytes).damaged());
      }
      return 0;
    }
    default: {
      freeze::LocalGate gate(freeze::Rules{}, {"b1", 1});
      if (gate.Load(AddChecksum("bffl", body))) {
        const std::string bytes = gate.Save();
        Require(gate.Load(bytes) && gate.Save() == bytes);
      }
      return 0;
    }
  }
}
