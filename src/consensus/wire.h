// Encoding of the replicated log's messages. A frame is "bfl", the format version (one byte), a checksum of
// the body (XXH3, 64 bits, little-endian) and the body: one MessagePack array, which begins with the site's
// name and the type of the message. A newer writer of the same version may add values at the end of an array;
// readers ignore them.
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
// Limits on what is accepted from a peer.
constexpr size_t kMaxNameBytes = 64;        // of a member's or site's name
constexpr size_t kMaxAddressBytes = 64;     // as text
constexpr size_t kMaxEntries = 4096;        // in one message
constexpr size_t kMaxVotersDecoded = 16;    // in one list
constexpr size_t kMaxFrameBytes = 2 << 20;  // on a connection

using AnyMessage = std::variant<Message, FollowRequest, FollowResponse>;
std::string Encode(const AnyMessage& message, std::string_view site);

struct DecodeResult {
  std::optional<AnyMessage> message;
  // Set if there is no message: "not ours", "too large", "another version", "damaged", "another
  // site" or "malformed".
  const char* error = "";
};
DecodeResult Decode(std::string_view frame, std::string_view site);

// The data of an entry of kind kVoters. Decoding returns nullopt for malformed bytes.
std::string EncodeVoters(const std::vector<Voter>& voters);
std::optional<std::vector<Voter>> DecodeVoters(std::string_view bytes);

// One entry without a checksum, for the host's log files. Decoding returns nullopt for malformed bytes.
std::string EncodeEntry(const Entry& entry);
std::optional<Entry> DecodeEntry(std::string_view bytes);

}  // namespace burlfall::consensus

#endif  // BURLFALL_CONSENSUS_WIRE_H_
