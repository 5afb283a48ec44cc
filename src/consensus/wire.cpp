#include "consensus/wire.h"

// Header-only, both; the balancer links nothing more for them.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <msgpack.hpp>

namespace burlfall::consensus {
namespace {

constexpr std::string_view kMagic = "bfl";
constexpr size_t kHead = 12;
constexpr size_t kMostNesting = 6;
// Numbers may be counted on from without an overflow.
constexpr uint64_t kMostNumber = uint64_t{1} << 62;
enum What : uint8_t { kMessage, kFollowAsk, kFollowAnswer };
constexpr uint8_t kYes = 1, kHandedOver = 2;

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
  uint64_t Number(uint64_t most = kMostNumber) {
    const msgpack::object& one = Next();
    if (one.type != msgpack::type::POSITIVE_INTEGER || one.via.u64 > most) throw Slip{"malformed"};
    return one.via.u64;
  }
  std::string Text(size_t most) {
    const msgpack::object& one = Next();
    if (one.type != msgpack::type::STR || one.via.str.size > most) throw Slip{"malformed"};
    std::string text(one.via.str.ptr, one.via.str.size);
    // It goes into logs, tables and files.
    for (const char c : text) {
      if (static_cast<unsigned char>(c) < 0x21 || c == 0x7f) throw Slip{"malformed"};
    }
    return text;
  }
  std::string Bytes() {
    const msgpack::object& one = Next();
    if (one.type != msgpack::type::BIN) throw Slip{"malformed"};
    return {one.via.bin.ptr, one.via.bin.size};
  }
  Values Array() { return Values(Next()); }
  uint32_t size() const { return array_.size; }

 private:
  const msgpack::object_array array_;
  uint32_t at_ = 0;
};

using Packer = msgpack::packer<msgpack::sbuffer>;

void Put(Packer& to, std::string_view text) {
  to.pack_str(static_cast<uint32_t>(text.size()));
  to.pack_str_body(text.data(), static_cast<uint32_t>(text.size()));
}

void PutBytes(Packer& to, const std::string& bytes) {
  to.pack_bin(static_cast<uint32_t>(bytes.size()));
  to.pack_bin_body(bytes.data(), static_cast<uint32_t>(bytes.size()));
}

// Council time is Unix time or a count from 0: never below 0.
void PutTime(Packer& to, Micros at) { to.pack(static_cast<uint64_t>(at < 0 ? 0 : at)); }

void Put(Packer& to, const VoterId& id) {
  to.pack_array(2);
  Put(to, id.name);
  to.pack(id.disk);
}

VoterId TakeId(Values from) {
  VoterId id;
  id.name = from.Text(kLongestName);
  id.disk = from.Number(UINT64_MAX);
  return id;
}

void Put(Packer& to, const std::vector<Voter>& voters) {
  to.pack_array(static_cast<uint32_t>(voters.size()));
  for (const Voter& voter : voters) {
    to.pack_array(2);
    Put(to, voter.id);
    Put(to, voter.address);
  }
}

std::vector<Voter> TakeVoters(Values from) {
  if (from.size() > kMostVotersRead) throw Slip{"malformed"};
  std::vector<Voter> voters;
  for (uint32_t i = 0; i < from.size(); ++i) {
    Values one = from.Array();
    Voter voter;
    voter.id = TakeId(one.Array());
    voter.address = one.Text(kLongestAddress);
    voters.push_back(std::move(voter));
  }
  return voters;
}

void Put(Packer& to, const Entry& entry) {
  to.pack_array(5);
  to.pack(entry.index);
  to.pack(entry.term);
  to.pack(static_cast<uint8_t>(entry.kind));
  PutTime(to, entry.at);
  PutBytes(to, entry.data);
}

Entry TakeEntry(Values from) {
  Entry entry;
  entry.index = from.Number();
  entry.term = from.Number();
  entry.kind = static_cast<Entry::Kind>(from.Number(static_cast<uint64_t>(Entry::Kind::kVoters)));
  entry.at = static_cast<Micros>(from.Number());
  entry.data = from.Bytes();
  return entry;
}

void Put(Packer& to, const std::vector<Entry>& entries) {
  to.pack_array(static_cast<uint32_t>(entries.size()));
  for (const Entry& entry : entries) Put(to, entry);
}

std::vector<Entry> TakeEntries(Values from) {
  if (from.size() > kMostEntries) throw Slip{"malformed"};
  std::vector<Entry> entries;
  for (uint32_t i = 0; i < from.size(); ++i) entries.push_back(TakeEntry(from.Array()));
  return entries;
}

void Put(Packer& to, const Message& message) {
  to.pack_array(16);
  to.pack(static_cast<uint8_t>(kMessage));
  to.pack(static_cast<uint8_t>(message.kind));
  Put(to, message.from);
  Put(to, message.to);
  to.pack(message.term);
  to.pack(message.index);
  to.pack(message.log_term);
  to.pack(static_cast<uint8_t>((message.yes ? kYes : 0) | (message.handed_over ? kHandedOver : 0)));
  to.pack(message.commit);
  to.pack(message.round);
  PutTime(to, message.at);
  Put(to, message.entries);
  Put(to, message.voters);
  to.pack(message.total);
  to.pack(message.offset);
  PutBytes(to, message.data);
}

Message TakeMessage(Values from) {
  Message message;
  message.kind = static_cast<Message::Kind>(from.Number(static_cast<uint64_t>(Message::Kind::kStop)));
  message.from = TakeId(from.Array());
  message.to = TakeId(from.Array());
  message.term = from.Number();
  message.index = from.Number();
  message.log_term = from.Number();
  const uint64_t flags = from.Number();
  message.yes = (flags & kYes) != 0;
  message.handed_over = (flags & kHandedOver) != 0;
  message.commit = from.Number();
  message.round = from.Number();
  message.at = static_cast<Micros>(from.Number());
  message.entries = TakeEntries(from.Array());
  message.voters = TakeVoters(from.Array());
  message.total = from.Number();
  message.offset = from.Number();
  message.data = from.Bytes();
  return message;
}

void Put(Packer& to, const FollowAsk& ask) {
  to.pack_array(7);
  to.pack(static_cast<uint8_t>(kFollowAsk));
  Put(to, ask.name);
  to.pack(ask.number);
  to.pack(ask.index);
  to.pack(ask.term);
  to.pack(ask.piece_index);
  to.pack(ask.offset);
}

FollowAsk TakeAsk(Values from) {
  FollowAsk ask;
  ask.name = from.Text(kLongestName);
  ask.number = from.Number();
  ask.index = from.Number();
  ask.term = from.Number();
  ask.piece_index = from.Number();
  ask.offset = from.Number();
  return ask;
}

void Put(Packer& to, const FollowAnswer& answer) {
  to.pack_array(14);
  to.pack(static_cast<uint8_t>(kFollowAnswer));
  to.pack(answer.number);
  to.pack(static_cast<uint8_t>(answer.kind));
  Put(to, answer.from);
  Put(to, answer.leader);
  to.pack(answer.commit);
  to.pack(answer.index);
  to.pack(answer.term);
  Put(to, answer.entries);
  Put(to, answer.voters);
  PutTime(to, answer.at);
  to.pack(answer.total);
  to.pack(answer.offset);
  PutBytes(to, answer.data);
}

FollowAnswer TakeAnswer(Values from) {
  FollowAnswer answer;
  answer.number = from.Number();
  answer.kind =
      static_cast<FollowAnswer::Kind>(from.Number(static_cast<uint64_t>(FollowAnswer::Kind::kUnknown)));
  answer.from = TakeId(from.Array());
  answer.leader = TakeId(from.Array());
  answer.commit = from.Number();
  answer.index = from.Number();
  answer.term = from.Number();
  answer.entries = TakeEntries(from.Array());
  answer.voters = TakeVoters(from.Array());
  answer.at = static_cast<Micros>(from.Number());
  answer.total = from.Number();
  answer.offset = from.Number();
  answer.data = from.Bytes();
  return answer;
}

// Its reader gets the one value of `bytes`; bounds come before anything is built: array, map, text, bytes,
// extensions, depth.
template <typename Reader>
const char* Unpack(std::string_view bytes, Reader reader) {
  try {
    const msgpack::unpack_limit limit(kMostEntries, 0, kLongestAddress, kLargestFrame, 0, kMostNesting);
    size_t used = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), used, nullptr, nullptr, limit);
    if (used != bytes.size()) return "malformed";
    reader(Values(handle.get()));
    return "";
  } catch (const Slip& slip) {
    return slip.why;
  } catch (const msgpack::unpack_error&) {
    return "malformed";
  }
}

}  // namespace

std::string Write(const AnyMessage& message, std::string_view site) {
  msgpack::sbuffer body;
  Packer to(body);
  to.pack_array(2);
  Put(to, site);
  std::visit([&](const auto& one) { Put(to, one); }, message);
  std::string frame(kMagic);
  frame += static_cast<char>(kWireVersion);
  const uint64_t sum = XXH3_64bits(body.data(), body.size());
  for (int byte = 0; byte < 8; ++byte) frame += static_cast<char>(sum >> (8 * byte) & 0xff);
  return frame.append(body.data(), body.size());
}

ReadMessage Read(std::string_view frame, std::string_view site) {
  if (!frame.starts_with(kMagic) || frame.size() < kHead) return {{}, "not ours"};
  if (frame.size() > kLargestFrame) return {{}, "too large"};
  if (static_cast<unsigned char>(frame[3]) != kWireVersion) return {{}, "another version"};
  uint64_t sum = 0;
  for (size_t byte = 0; byte < 8; ++byte) {
    sum |= static_cast<uint64_t>(static_cast<unsigned char>(frame[4 + byte])) << (8 * byte);
  }
  const std::string_view body = frame.substr(kHead);
  if (XXH3_64bits(body.data(), body.size()) != sum) return {{}, "damaged"};
  ReadMessage read;
  read.why = Unpack(body, [&](Values all) {
    if (all.Text(kLongestName) != site) throw Slip{"another site"};
    Values values = all.Array();
    switch (values.Number(kFollowAnswer)) {
      case kMessage:
        read.message = TakeMessage(values);
        break;
      case kFollowAsk:
        read.message = TakeAsk(values);
        break;
      default:
        read.message = TakeAnswer(values);
    }
  });
  return read;
}

std::string WriteVoters(const std::vector<Voter>& voters) {
  msgpack::sbuffer bytes;
  Packer to(bytes);
  Put(to, voters);
  return {bytes.data(), bytes.size()};
}

std::optional<std::vector<Voter>> ReadVoters(std::string_view bytes) {
  std::optional<std::vector<Voter>> voters;
  Unpack(bytes, [&](Values values) { voters = TakeVoters(values); });
  return voters;
}

std::string WriteEntry(const Entry& entry) {
  msgpack::sbuffer bytes;
  Packer to(bytes);
  Put(to, entry);
  return {bytes.data(), bytes.size()};
}

std::optional<Entry> ReadEntry(std::string_view bytes) {
  std::optional<Entry> entry;
  Unpack(bytes, [&](Values values) { entry = TakeEntry(values); });
  return entry;
}

}  // namespace burlfall::consensus
