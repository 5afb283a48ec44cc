#include "council/member_message.h"

#include "council/packing.h"

namespace burlfall::council {
namespace {

constexpr std::string_view kMagic = "bfn";
constexpr char kVersion = 1;
constexpr size_t kHeaderBytes = kMagic.size() + 1 + 8;

// Texts go into logs, tables and answers: no control characters.
bool IsPrintable(std::string_view text) {
  for (const char c : text) {
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) return false;
  }
  return true;
}

std::string Text(ArrayReader& reader) {
  std::string text = reader.Bytes(kMaxTextBytes);
  if (!IsPrintable(text)) throw FormatError{};
  return text;
}

}  // namespace

bool IsMemberMessage(std::string_view frame) { return frame.starts_with(kMagic); }

std::string EncodeMessage(const MemberMessage& message, std::string_view site) {
  const std::string body = ArrayWriter(11)
                               .Add(site)
                               .Add(static_cast<uint64_t>(message.kind))
                               .Add(message.number)
                               .Add(message.name)
                               .Add(message.disk)
                               .Add(message.index)
                               .Add(message.epoch)
                               .Add(static_cast<uint64_t>(message.error))
                               .Add(message.address)
                               .Add(message.owned_task)
                               .Add(message.data)
                               .ToBytes();
  std::string out(kMagic);
  out += kVersion;
  AppendChecksum(out, Checksum(body));
  return out += body;
}

DecodedMessage DecodeMessage(std::string_view frame, std::string_view site) {
  if (frame.size() < kHeaderBytes || !IsMemberMessage(frame)) return {{}, "malformed"};
  if (frame[kMagic.size()] != kVersion) return {{}, "another version"};
  const std::string_view body = frame.substr(kHeaderBytes);
  if (Checksum(body) != ReadChecksum(frame.substr(kMagic.size() + 1))) return {{}, "damaged"};
  try {
    ArrayReader reader(body);
    if (reader.Bytes(kMaxTextBytes) != site) return {{}, "another site"};
    MemberMessage message;
    const uint64_t kind = reader.Number();
    if (kind > static_cast<uint64_t>(MemberMessage::Kind::kOperatorCallReply)) return {{}, "malformed"};
    message.kind = static_cast<MemberMessage::Kind>(kind);
    message.number = reader.Number();
    message.name = Text(reader);
    message.disk = reader.Number();
    message.index = reader.Number();
    message.epoch = reader.Number();
    const uint64_t error = reader.Number();
    if (error >= static_cast<uint64_t>(owner::kErrorCount)) return {{}, "malformed"};
    message.error = static_cast<owner::Error>(error);
    message.address = Text(reader);
    message.owned_task = Text(reader);
    message.data = reader.Bytes(kMaxDataBytes);
    return {std::move(message), ""};
  } catch (const FormatError&) {
    return {{}, "malformed"};
  }
}

}  // namespace burlfall::council
