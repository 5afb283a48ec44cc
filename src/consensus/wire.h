// The council's messages as bytes. A frame is "bfl", the version of the format, a checksum of the body (XXH3,
// 64 bits, the low byte first), and the body: one MessagePack array, which begins with the site's name and
// what it is. A later writer of the same version may add values at an array's end; they are passed over.
#ifndef BURLFALL_CONSENSUS_WIRE_H_
#define BURLFALL_CONSENSUS_WIRE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consensus/message.h"

namespace burlfall::consensus {

constexpr unsigned char kWireVersion = 1;
// Bounds on what is taken from anybody.
constexpr size_t kLongestName = 64;        // bytes, of a member or site
constexpr size_t kLongestAddress = 64;     // as text
constexpr size_t kMostEntries = 4096;      // in one message
constexpr size_t kMostVotersRead = 16;     // in one list
constexpr size_t kLargestFrame = 2 << 20;  // bytes, on a connection

using AnyMessage = std::variant<Message, FollowAsk, FollowAnswer>;
std::string Write(const AnyMessage& message, std::string_view site);

struct ReadMessage {
  std::optional<AnyMessage> message;
  // Where there is none: "not ours", "too large", "another version", "damaged", "another site", "malformed".
  const char* why = "";
};
ReadMessage Read(std::string_view frame, std::string_view site);

// The data of an entry of kind kVoters. Read: nothing where it is malformed.
std::string WriteVoters(const std::vector<Voter>& voters);
std::optional<std::vector<Voter>> ReadVoters(std::string_view bytes);

// One entry, for a carrier's files; without a checksum.
std::string WriteEntry(const Entry& entry);
std::optional<Entry> ReadEntry(std::string_view bytes);

}  // namespace burlfall::consensus

#endif  // BURLFALL_CONSENSUS_WIRE_H_
