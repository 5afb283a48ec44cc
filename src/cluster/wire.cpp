#include "cluster/wire.h"

// Header-only, both; the balancer links nothing more for them.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <msgpack.hpp>

namespace burlfall::cluster {
namespace {

constexpr std::string_view kMagic = "bfc";
constexpr size_t kHead = 12;
constexpr size_t kMostClaims = 4096;
constexpr size_t kMostNesting = 5;
constexpr uint8_t kReached = 1, kCutOff = 2;

uint64_t SumOf(std::string_view body) { return XXH3_64bits(body.data(), body.size()); }

struct Slip {
  const char* why;
};

// The values of one array, in turn. Throws Slip where one is not what it must be.
class Values {
 public:
  explicit Values(const msgpack::object& from) : array_(from.via.array) {
    if (from.type != msgpack::type::ARRAY) throw Slip{"malformed"};
  }
  const msgpack::object& Next() {
    if (at_ >= array_.size) throw Slip{"malformed"};
    return array_.ptr[at_++];
  }
  uint64_t Number(uint64_t most = UINT64_MAX) {
    const msgpack::object& one = Next();
    if (one.type != msgpack::type::POSITIVE_INTEGER || one.via.u64 > most) throw Slip{"malformed"};
    return one.via.u64;
  }
  std::string Text(size_t least, size_t most) {
    const msgpack::object& one = Next();
    if (one.type != msgpack::type::STR || one.via.str.size < least || one.via.str.size > most) {
      throw Slip{"malformed"};
    }
    std::string text(one.via.str.ptr, one.via.str.size);
    // It goes into logs, tables and files.
    for (const char c : text) {
      if (static_cast<unsigned char>(c) < 0x21 || c == 0x7f) throw Slip{"malformed"};
    }
    return text;
  }
  Values Array() { return Values(Next()); }
  uint32_t size() const { return array_.size; }

 private:
  const msgpack::object_array array_;
  uint32_t at_ = 0;
};

using Packer = msgpack::packer<msgpack::sbuffer>;

void Put(Packer& to, const std::string& text) {
  to.pack_str(static_cast<uint32_t>(text.size()));
  to.pack_str_body(text.data(), static_cast<uint32_t>(text.size()));
}

void Put(Packer& to, const Identity& who) {
  to.pack_array(4);
  Put(to, who.name);
  Put(to, who.address);
  to.pack(who.life.start);
  to.pack(who.life.incarnation);
}

Identity TakeIdentity(Values from, bool may_be_none) {
  const size_t least = may_be_none ? 0 : 1;
  Identity who;
  who.name = from.Text(least, kLongestName);
  who.address = from.Text(least, kLongestAddress);
  who.life.start = from.Number();
  who.life.incarnation = from.Number();
  return who;
}

void Put(Packer& to, const Claim& claim) {
  to.pack_array(4);
  Put(to, claim.who);
  to.pack(static_cast<uint8_t>(claim.state));
  to.pack(static_cast<uint8_t>(claim.refused ? 1 : 0));
  to.pack_array(static_cast<uint32_t>(claim.accusers.size()));
  for (const std::string& accuser : claim.accusers) Put(to, accuser);
}

Claim TakeClaim(Values from) {
  Claim claim;
  claim.who = TakeIdentity(from.Array(), false);
  claim.state = static_cast<State>(from.Number(static_cast<uint64_t>(State::kLeft)));
  claim.refused = from.Number(1) == 1;
  Values accusers = from.Array();
  if (accusers.size() > kMostAccusers) throw Slip{"malformed"};
  for (uint32_t i = 0; i < accusers.size(); ++i) claim.accusers.push_back(accusers.Text(1, kLongestName));
  return claim;
}

Message TakeMessage(const msgpack::object& object, std::string_view site) {
  Values all(object);
  if (all.Text(0, kLongestName) != site) throw Slip{"another site"};
  Message message;
  message.kind = static_cast<Message::Kind>(all.Number(static_cast<uint64_t>(Message::Kind::kAllBack)));
  message.from = TakeIdentity(all.Array(), false);
  message.sequence = all.Number();
  message.number = all.Number();
  const uint64_t flags = all.Number();
  message.reached = (flags & kReached) != 0;
  message.cut_off = (flags & kCutOff) != 0;
  message.about = TakeIdentity(all.Array(), true);
  message.digest = all.Number();
  Values facts = all.Array();
  message.facts.zone = facts.Text(0, kLongestName);
  message.facts.build = facts.Text(0, kLongestName);
  message.facts.phase = static_cast<uint8_t>(facts.Number(UINT8_MAX));
  message.facts.configuration = facts.Number();
  message.facts.list_version = facts.Number();
  message.facts.list_age_ms = facts.Number();
  message.facts.used_percent = static_cast<uint8_t>(facts.Number(UINT8_MAX));
  Values claims = all.Array();
  if (claims.size() > kMostClaims) throw Slip{"malformed"};
  for (uint32_t i = 0; i < claims.size(); ++i) message.claims.push_back(TakeClaim(claims.Array()));
  return message;
}

}  // namespace

std::string Write(const Message& message, std::string_view site) {
  msgpack::sbuffer body;
  Packer to(body);
  to.pack_array(10);
  Put(to, std::string(site));
  to.pack(static_cast<uint8_t>(message.kind));
  Put(to, message.from);
  to.pack(message.sequence);
  to.pack(message.number);
  to.pack(static_cast<uint8_t>((message.reached ? kReached : 0) | (message.cut_off ? kCutOff : 0)));
  Put(to, message.about);
  to.pack(message.digest);
  to.pack_array(7);
  Put(to, message.facts.zone);
  Put(to, message.facts.build);
  to.pack(message.facts.phase);
  to.pack(message.facts.configuration);
  to.pack(message.facts.list_version);
  to.pack(message.facts.list_age_ms);
  to.pack(message.facts.used_percent);
  to.pack_array(static_cast<uint32_t>(message.claims.size()));
  for (const Claim& claim : message.claims) Put(to, claim);
  std::string frame(kMagic);
  frame += static_cast<char>(kWireVersion);
  const uint64_t sum = SumOf({body.data(), body.size()});
  for (int byte = 0; byte < 8; ++byte) frame += static_cast<char>(sum >> (8 * byte) & 0xff);
  return frame.append(body.data(), body.size());
}

ReadMessage Read(std::string_view frame, std::string_view site) {
  if (!frame.starts_with(kMagic) || frame.size() < kHead) return {{}, "not ours"};
  if (static_cast<unsigned char>(frame[3]) != kWireVersion) return {{}, "another version"};
  uint64_t sum = 0;
  for (size_t byte = 0; byte < 8; ++byte) {
    sum |= static_cast<uint64_t>(static_cast<unsigned char>(frame[4 + byte])) << (8 * byte);
  }
  const std::string_view body = frame.substr(kHead);
  if (SumOf(body) != sum) return {{}, "damaged"};
  try {
    // Bounds before anything is built: array, map, text, bytes, extensions, depth.
    const msgpack::unpack_limit limit(kMostClaims, 0, kLongestAddress, 0, 0, kMostNesting);
    size_t used = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(body.data(), body.size(), used, nullptr, nullptr, limit);
    if (used != body.size()) return {{}, "malformed"};
    return {TakeMessage(handle.get(), site), ""};
  } catch (const Slip& slip) {
    return {{}, slip.why};
  } catch (const msgpack::unpack_error&) {
    return {{}, "malformed"};
  }
}

}  // namespace burlfall::cluster
