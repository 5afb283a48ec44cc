// Encoding and validated decoding of messages as MessagePack.
#include "consensus/wire.h"

// Both libraries are used header-only, so that the program needs no further library.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <msgpack.hpp>

namespace burlfall::consensus {
namespace {

constexpr std::string_view kMagic = "bfl";
constexpr size_t kHeaderBytes = 12;
constexpr size_t kMaxNesting = 6;
// Limit on indexes, terms and other counters, so that incrementing them can't overflow.
constexpr uint64_t kMaxNumber = uint64_t{1} << 62;
enum MessageType : uint8_t { kMessage, kFollowRequest, kFollowResponse };
constexpr uint8_t kAcceptedFlag = 1, kHandedOverFlag = 2;

struct DecodeError {
  const char* error;
};

// Reads the values of one array in order. Throws DecodeError if a value is missing, has another type or is
// out of range.
class ArrayReader {
 public:
  explicit ArrayReader(const msgpack::object& from) : array_(from.via.array) {
    if (from.type != msgpack::type::ARRAY) throw DecodeError{"malformed"};
  }
  const msgpack::object& Next() {
    if (at_ >= array_.size) throw DecodeError{"malformed"};
    return array_.ptr[at_++];
  }
  uint64_t Number(uint64_t max = kMaxNumber) {
    const msgpack::object& one = Next();
    if (one.type != msgpack::type::POSITIVE_INTEGER || one.via.u64 > max) throw DecodeError{"malformed"};
    return one.via.u64;
  }
  std::string Text(size_t max_bytes) {
    const msgpack::object& one = Next();
    if (one.type != msgpack::type::STR || one.via.str.size > max_bytes) throw DecodeError{"malformed"};
    std::string text(one.via.str.ptr, one.via.str.size);
    // Rejects blanks and control characters, as the text goes into logs, tables and files.
    for (const char c : text) {
      if (static_cast<unsigned char>(c) < 0x21 || c == 0x7f) throw DecodeError{"malformed"};
    }
    return text;
  }
  std::string Bytes() {
    const msgpack::object& one = Next();
    if (one.type != msgpack::type::BIN) throw DecodeError{"malformed"};
    return {one.via.bin.ptr, one.via.bin.size};
  }
  ArrayReader Array() { return ArrayReader(Next()); }
  uint32_t size() const { return array_.size; }

 private:
  const msgpack::object_array array_;
  uint32_t at_ = 0;
};

using Packer = msgpack::packer<msgpack::sbuffer>;

void Pack(Packer& to, std::string_view text) {
  to.pack_str(static_cast<uint32_t>(text.size()));
  to.pack_str_body(text.data(), static_cast<uint32_t>(text.size()));
}

void PackBytes(Packer& to, const std::string& bytes) {
  to.pack_bin(static_cast<uint32_t>(bytes.size()));
  to.pack_bin_body(bytes.data(), static_cast<uint32_t>(bytes.size()));
}

// Log time is Unix time or counted from 0, and therefore never negative.
void PackTime(Packer& to, Micros time) { to.pack(static_cast<uint64_t>(time < 0 ? 0 : time)); }

void Pack(Packer& to, const VoterId& id) {
  to.pack_array(2);
  Pack(to, id.name);
  to.pack(id.disk);
}

VoterId UnpackId(ArrayReader from) {
  VoterId id;
  id.name = from.Text(kMaxNameBytes);
  id.disk = from.Number(UINT64_MAX);
  return id;
}

void Pack(Packer& to, const std::vector<Voter>& voters) {
  to.pack_array(static_cast<uint32_t>(voters.size()));
  for (const Voter& voter : voters) {
    to.pack_array(2);
    Pack(to, voter.id);
    Pack(to, voter.address);
  }
}

std::vector<Voter> UnpackVoters(ArrayReader from) {
  if (from.size() > kMaxVotersDecoded) throw DecodeError{"malformed"};
  std::vector<Voter> voters;
  for (uint32_t i = 0; i < from.size(); ++i) {
    ArrayReader one = from.Array();
    Voter voter;
    voter.id = UnpackId(one.Array());
    voter.address = one.Text(kMaxAddressBytes);
    voters.push_back(std::move(voter));
  }
  return voters;
}

void Pack(Packer& to, const Entry& entry) {
  to.pack_array(5);
  to.pack(entry.index);
  to.pack(entry.term);
  to.pack(static_cast<uint8_t>(entry.kind));
  PackTime(to, entry.log_time);
  PackBytes(to, entry.data);
}

Entry UnpackEntry(ArrayReader from) {
  Entry entry;
  entry.index = from.Number();
  entry.term = from.Number();
  entry.kind = static_cast<Entry::Kind>(from.Number(static_cast<uint64_t>(Entry::Kind::kVoters)));
  entry.log_time = static_cast<Micros>(from.Number());
  entry.data = from.Bytes();
  return entry;
}

void Pack(Packer& to, const std::vector<Entry>& entries) {
  to.pack_array(static_cast<uint32_t>(entries.size()));
  for (const Entry& entry : entries) Pack(to, entry);
}

std::vector<Entry> UnpackEntries(ArrayReader from) {
  if (from.size() > kMaxEntries) throw DecodeError{"malformed"};
  std::vector<Entry> entries;
  for (uint32_t i = 0; i < from.size(); ++i) entries.push_back(UnpackEntry(from.Array()));
  return entries;
}

void Pack(Packer& to, const Message& message) {
  to.pack_array(16);
  to.pack(static_cast<uint8_t>(kMessage));
  to.pack(static_cast<uint8_t>(message.kind));
  Pack(to, message.from);
  Pack(to, message.to);
  to.pack(message.term);
  to.pack(message.index);
  to.pack(message.log_term);
  to.pack(static_cast<uint8_t>((message.accepted ? kAcceptedFlag : 0) |
                               (message.handed_over ? kHandedOverFlag : 0)));
  to.pack(message.commit);
  to.pack(message.round);
  PackTime(to, message.log_time);
  Pack(to, message.entries);
  Pack(to, message.voters);
  to.pack(message.total);
  to.pack(message.offset);
  PackBytes(to, message.data);
}

Message UnpackMessage(ArrayReader from) {
  Message message;
  message.kind = static_cast<Message::Kind>(from.Number(static_cast<uint64_t>(Message::Kind::kStopVoting)));
  message.from = UnpackId(from.Array());
  message.to = UnpackId(from.Array());
  message.term = from.Number();
  message.index = from.Number();
  message.log_term = from.Number();
  const uint64_t flags = from.Number();
  message.accepted = (flags & kAcceptedFlag) != 0;
  message.handed_over = (flags & kHandedOverFlag) != 0;
  message.commit = from.Number();
  message.round = from.Number();
  message.log_time = static_cast<Micros>(from.Number());
  message.entries = UnpackEntries(from.Array());
  message.voters = UnpackVoters(from.Array());
  message.total = from.Number();
  message.offset = from.Number();
  message.data = from.Bytes();
  return message;
}

void Pack(Packer& to, const FollowRequest& request) {
  to.pack_array(7);
  to.pack(static_cast<uint8_t>(kFollowRequest));
  Pack(to, request.name);
  to.pack(request.number);
  to.pack(request.index);
  to.pack(request.term);
  to.pack(request.snapshot_index);
  to.pack(request.offset);
}

FollowRequest UnpackFollowRequest(ArrayReader from) {
  FollowRequest request;
  request.name = from.Text(kMaxNameBytes);
  request.number = from.Number();
  request.index = from.Number();
  request.term = from.Number();
  request.snapshot_index = from.Number();
  request.offset = from.Number();
  return request;
}

void Pack(Packer& to, const FollowResponse& response) {
  to.pack_array(14);
  to.pack(static_cast<uint8_t>(kFollowResponse));
  to.pack(response.number);
  to.pack(static_cast<uint8_t>(response.kind));
  Pack(to, response.from);
  Pack(to, response.leader);
  to.pack(response.commit);
  to.pack(response.index);
  to.pack(response.term);
  Pack(to, response.entries);
  Pack(to, response.voters);
  PackTime(to, response.log_time);
  to.pack(response.total);
  to.pack(response.offset);
  PackBytes(to, response.data);
}

FollowResponse UnpackFollowResponse(ArrayReader from) {
  FollowResponse response;
  response.number = from.Number();
  response.kind = static_cast<FollowResponse::Kind>(
      from.Number(static_cast<uint64_t>(FollowResponse::Kind::kUnknownEntry)));
  response.from = UnpackId(from.Array());
  response.leader = UnpackId(from.Array());
  response.commit = from.Number();
  response.index = from.Number();
  response.term = from.Number();
  response.entries = UnpackEntries(from.Array());
  response.voters = UnpackVoters(from.Array());
  response.log_time = static_cast<Micros>(from.Number());
  response.total = from.Number();
  response.offset = from.Number();
  response.data = from.Bytes();
  return response;
}

// Passes the single array in `bytes` to `reader`. Limits are enforced before objects are built; in the order
// of the arguments: elements of an array and of a map, bytes of a string, of binary data and of an extension,
// depth. Returns the error, or "".
template <typename Reader>
const char* UnpackArray(std::string_view bytes, Reader reader) {
  try {
    const msgpack::unpack_limit limit(kMaxEntries, 0, kMaxAddressBytes, kMaxFrameBytes, 0, kMaxNesting);
    size_t used = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), used, nullptr, nullptr, limit);
    if (used != bytes.size()) return "malformed";
    reader(ArrayReader(handle.get()));
    return "";
  } catch (const DecodeError& failure) {
    return failure.error;
  } catch (const msgpack::unpack_error&) {
    return "malformed";
  }
}

}  // namespace

std::string Encode(const AnyMessage& message, std::string_view site) {
  msgpack::sbuffer body;
  Packer to(body);
  to.pack_array(2);
  Pack(to, site);
  std::visit([&](const auto& one) { Pack(to, one); }, message);
  std::string frame(kMagic);
  frame += static_cast<char>(kWireVersion);
  const uint64_t checksum = XXH3_64bits(body.data(), body.size());
  for (int byte = 0; byte < 8; ++byte) frame += static_cast<char>(checksum >> (8 * byte) & 0xff);
  return frame.append(body.data(), body.size());
}

DecodeResult Decode(std::string_view frame, std::string_view site) {
  if (!frame.starts_with(kMagic) || frame.size() < kHeaderBytes) return {{}, "not ours"};
  if (frame.size() > kMaxFrameBytes) return {{}, "too large"};
  if (static_cast<unsigned char>(frame[3]) != kWireVersion) return {{}, "another version"};
  uint64_t checksum = 0;
  for (size_t byte = 0; byte < 8; ++byte) {
    checksum |= static_cast<uint64_t>(static_cast<unsigned char>(frame[4 + byte])) << (8 * byte);
  }
  const std::string_view body = frame.substr(kHeaderBytes);
  if (XXH3_64bits(body.data(), body.size()) != checksum) return {{}, "damaged"};
  DecodeResult result;
  result.error = UnpackArray(body, [&](ArrayReader all) {
    if (all.Text(kMaxNameBytes) != site) throw DecodeError{"another site"};
    ArrayReader values = all.Array();
    switch (values.Number(kFollowResponse)) {
      case kMessage:
        result.message = UnpackMessage(values);
        break;
      case kFollowRequest:
        result.message = UnpackFollowRequest(values);
        break;
      default:
        result.message = UnpackFollowResponse(values);
    }
  });
  return result;
}

std::string EncodeVoters(const std::vector<Voter>& voters) {
  msgpack::sbuffer bytes;
  Packer to(bytes);
  Pack(to, voters);
  return {bytes.data(), bytes.size()};
}

std::optional<std::vector<Voter>> DecodeVoters(std::string_view bytes) {
  std::optional<std::vector<Voter>> voters;
  UnpackArray(bytes, [&](ArrayReader values) { voters = UnpackVoters(values); });
  return voters;
}

std::string EncodeEntry(const Entry& entry) {
  msgpack::sbuffer bytes;
  Packer to(bytes);
  Pack(to, entry);
  return {bytes.data(), bytes.size()};
}

std::optional<Entry> DecodeEntry(std::string_view bytes) {
  std::optional<Entry> entry;
  UnpackArray(bytes, [&](ArrayReader values) { entry = UnpackEntry(values); });
  return entry;
}

}  // namespace burlfall::consensus
