// A member's messages as bytes. A frame is "bfc", the version of the format, a checksum of the body (XXH3, 64
// bits, the low byte first), and the body: one MessagePack array, which begins with the site's name. A later
// writer of the same version may add values at an array's end; they are passed over.
#ifndef BURLFALL_CLUSTER_WIRE_H_
#define BURLFALL_CLUSTER_WIRE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/message.h"

namespace burlfall::cluster {

constexpr unsigned char kWireVersion = 1;
constexpr size_t kLargestFrame = 1 << 20;  // bytes, on a connection

std::string Write(const Message& message, std::string_view site);

struct ReadMessage {
  std::optional<Message> message;
  const char* why =
      "";  // where there is none: "not ours", "another version", "damaged", "another site", "malformed"
};
ReadMessage Read(std::string_view frame, std::string_view site);

}  // namespace burlfall::cluster

#endif  // BURLFALL_CLUSTER_WIRE_H_
