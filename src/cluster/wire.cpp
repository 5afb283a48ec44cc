#include "cluster/wire.h"

// Both libraries are header-only, so the balancer links nothing more for them.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <msgpack.hpp>

namespace burlfall::cluster {
namespace {

constexpr std::string_view kMagic = "bfc";
constexpr size_t kHeaderBytes = 12;
constexpr size_t kMaxUpdates = 4096;
constexpr size_t kMaxNestingDepth = 5;
constexpr uint8_t kReached = 1, kCutOff = 2;

uint64_t Checksum(std::string_view body) { return XXH3_64bits(body.data(), body.size()); }

struct DecodeError {
  const char* why;
};

// Reads the values of one array in order. Throws DecodeError for a value of the wrong type or size.
class ArrayReader {
 public:
  explicit ArrayReader(const msgpack::object& from) : array_(from.via.array) {
    if (from.type != msgpack::type::ARRAY) throw DecodeError{"malformed"};
  }
  const msgpack::object& Next() {
    if (at_ >= array_.size) throw DecodeError{"malformed"};
    return array_.ptr[at_++];
  }
  uint64_t Number(uint64_t max = UINT64_MAX) {
    const msgpack::object& one = Next();
    if (one.type != msgpack::type::POSITIVE_INTEGER || one.via.u64 > max) throw DecodeError{"malformed"};
    return one.via.u64;
  }
  std::string Text(size_t min, size_t max) {
    const msgpack::object& one = Next();
    if (one.type != msgpack::type::STR || one.via.str.size < min || one.via.str.size > max) {
      throw DecodeError{"malformed"};
    }
    std::string text(one.via.str.ptr, one.via.str.size);
    // No blanks or control characters: names go into logs, tables and files.
    for (const char c : text) {
      if (static_cast<unsigned char>(c) < 0x21 || c == 0x7f) throw DecodeError{"malformed"};
    }
    return text;
  }
  ArrayReader Array() { return ArrayReader(Next()); }
  uint32_t size() const { return array_.size; }

 private:
  const msgpack::object_array array_;
  uint32_t at_ = 0;
};

using Packer = msgpack::packer<msgpack::sbuffer>;

void Pack(Packer& to, const std::string& text) {
  to.pack_str(static_cast<uint32_t>(text.size()));
  to.pack_str_body(text.data(), static_cast<uint32_t>(text.size()));
}

void Pack(Packer& to, const Identity& who) {
  to.pack_array(4);
  Pack(to, who.name);
  Pack(to, who.address);
  to.pack(who.generation.start);
  to.pack(who.generation.incarnation);
}

Identity DecodeIdentity(ArrayReader from, bool may_be_empty) {
  const size_t min = may_be_empty ? 0 : 1;
  Identity who;
  who.name = from.Text(min, kMaxNameBytes);
  who.address = from.Text(min, kMaxAddressBytes);
  who.generation.start = from.Number();
  who.generation.incarnation = from.Number();
  return who;
}

void Pack(Packer& to, const Update& update) {
  to.pack_array(4);
  Pack(to, update.who);
  to.pack(static_cast<uint8_t>(update.state));
  to.pack(static_cast<uint8_t>(update.refused ? 1 : 0));
  to.pack_array(static_cast<uint32_t>(update.suspected_by.size()));
  for (const std::string& suspecting_member : update.suspected_by) Pack(to, suspecting_member);
}

Update DecodeUpdate(ArrayReader from) {
  Update update;
  update.who = DecodeIdentity(from.Array(), false);
  update.state = static_cast<State>(from.Number(static_cast<uint64_t>(State::kLeft)));
  update.refused = from.Number(1) == 1;
  ArrayReader suspected_by = from.Array();
  if (suspected_by.size() > kMaxSuspectingMembers) throw DecodeError{"malformed"};
  for (uint32_t i = 0; i < suspected_by.size(); ++i)
    update.suspected_by.push_back(suspected_by.Text(1, kMaxNameBytes));
  return update;
}

Message DecodeBody(const msgpack::object& object, std::string_view site) {
  ArrayReader all(object);
  if (all.Text(0, kMaxNameBytes) != site) throw DecodeError{"another site"};
  Message message;
  message.kind =
      static_cast<Message::Kind>(all.Number(static_cast<uint64_t>(Message::Kind::kFullStateReply)));
  message.from = DecodeIdentity(all.Array(), false);
  message.sequence = all.Number();
  message.request_id = all.Number();
  const uint64_t flags = all.Number();
  message.reached = (flags & kReached) != 0;
  message.cut_off = (flags & kCutOff) != 0;
  message.ping_target = DecodeIdentity(all.Array(), true);
  message.digest = all.Number();
  ArrayReader facts = all.Array();
  message.facts.zone = facts.Text(0, kMaxNameBytes);
  message.facts.build = facts.Text(0, kMaxNameBytes);
  message.facts.phase = static_cast<uint8_t>(facts.Number(UINT8_MAX));
  message.facts.configuration = facts.Number();
  message.facts.list_version = facts.Number();
  message.facts.list_age_ms = facts.Number();
  message.facts.used_percent = static_cast<uint8_t>(facts.Number(UINT8_MAX));
  ArrayReader updates = all.Array();
  if (updates.size() > kMaxUpdates) throw DecodeError{"malformed"};
  for (uint32_t i = 0; i < updates.size(); ++i) message.updates.push_back(DecodeUpdate(updates.Array()));
  return message;
}

}  // namespace

std::string Encode(const Message& message, std::string_view site) {
  msgpack::sbuffer body;
  Packer to(body);
  to.pack_array(10);
  Pack(to, std::string(site));
  to.pack(static_cast<uint8_t>(message.kind));
  Pack(to, message.from);
  to.pack(message.sequence);
  to.pack(message.request_id);
  to.pack(static_cast<uint8_t>((message.reached ? kReached : 0) | (message.cut_off ? kCutOff : 0)));
  Pack(to, message.ping_target);
  to.pack(message.digest);
  to.pack_array(7);
  Pack(to, message.facts.zone);
  Pack(to, message.facts.build);
  to.pack(message.facts.phase);
  to.pack(message.facts.configuration);
  to.pack(message.facts.list_version);
  to.pack(message.facts.list_age_ms);
  to.pack(message.facts.used_percent);
  to.pack_array(static_cast<uint32_t>(message.updates.size()));
  for (const Update& update : message.updates) Pack(to, update);
  std::string frame(kMagic);
  frame += static_cast<char>(kWireVersion);
  const uint64_t sum = Checksum({body.data(), body.size()});
  for (int byte = 0; byte < 8; ++byte) frame += static_cast<char>(sum >> (8 * byte) & 0xff);
  return frame.append(body.data(), body.size());
}

DecodedMessage Decode(std::string_view frame, std::string_view site) {
  if (!frame.starts_with(kMagic) || frame.size() < kHeaderBytes) return {{}, "not ours"};
  if (static_cast<unsigned char>(frame[3]) != kWireVersion) return {{}, "another version"};
  uint64_t sum = 0;
  for (size_t byte = 0; byte < 8; ++byte) {
    sum |= static_cast<uint64_t>(static_cast<unsigned char>(frame[4 + byte])) << (8 * byte);
  }
  const std::string_view body = frame.substr(kHeaderBytes);
  if (Checksum(body) != sum) return {{}, "damaged"};
  try {
    // Limits that apply before anything is allocated: array, map, text, bytes, extensions, depth.
    const msgpack::unpack_limit limit(kMaxUpdates, 0, kMaxAddressBytes, 0, 0, kMaxNestingDepth);
    size_t used = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(body.data(), body.size(), used, nullptr, nullptr, limit);
    if (used != body.size()) return {{}, "malformed"};
    return {DecodeBody(handle.get(), site), ""};
  } catch (const DecodeError& error) {
    return {{}, error.why};
  } catch (const msgpack::unpack_error&) {
    return {{}, "malformed"};
  }
}

}  // namespace burlfall::cluster
