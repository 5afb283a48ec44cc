// Wire format of the membership messages. A frame is "bfc", the version of the format, a checksum of the body
// (XXH3, 64 bits, the low byte first), and the body: one MessagePack array that begins with the site's name.
// A later writer of the same version may append values to an array; a reader ignores them.
#ifndef BURLFALL_CLUSTER_WIRE_H_
#define BURLFALL_CLUSTER_WIRE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/message.h"

namespace burlfall::cluster {

constexpr unsigned char kWireVersion = 1;
constexpr size_t kMaxFrameBytes = 1 << 20;  // on a connection

std::string Encode(const Message& message, std::string_view site);

struct DecodedMessage {
  std::optional<Message> message;
  // Where there is no message: "not ours", "another version", "damaged", "another site" or "malformed".
  const char* why = "";
};
DecodedMessage Decode(std::string_view frame, std::string_view site);

}  // namespace burlfall::cluster

#endif  // BURLFALL_CLUSTER_WIRE_H_
