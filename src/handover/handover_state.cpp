#include "handover/handover_state.h"

#include <algorithm>
#include <utility>

namespace burlfall {

std::vector<std::string> SplitState(HandoverState handover_state) {
  const std::string packed = Pack('Z', std::move(handover_state)).substr(1);
  std::vector<std::string> parts;
  size_t offset = 0;
  do {
    const size_t part_size = std::min(kMaxPartBytes, packed.size() - offset);
    parts.push_back(
        std::string(1, offset + part_size == packed.size() ? 'Z' : 'E').append(packed, offset, part_size));
    offset += part_size;
  } while (offset < packed.size());
  return parts;
}

HandoverStateReader::Read HandoverStateReader::Add(std::string_view message) {
  if (message.empty() || bytes_.size() + message.size() > kMaxStateBytes) return Read::kInvalid;
  bytes_.append(message.substr(1));
  if (message.front() == 'E') return Read::kMore;
  std::optional<HandoverState> state = Unpack<HandoverState>(bytes_);
  if (message.front() != 'Z' || !state) return Read::kInvalid;
  state_ = std::move(*state);
  return Read::kComplete;
}

}  // namespace burlfall
