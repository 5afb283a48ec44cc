#include "council/member_message.h"

#include "council/packing.h"

namespace burlfall::council {
namespace {

constexpr std::string_view kMagic = "bfn";
constexpr char kVersion = 1;
constexpr size_t kHead = kMagic.size() + 1 + 8;

// It goes into logs, tables and answers.
bool Plain(std::string_view text) {
  for (const char c : text) {
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) return false;
  }
  return true;
}

std::string Text(Unpacked& from) {
  std::string text = from.Bytes(kLongestText);
  if (!Plain(text)) throw Slip{};
  return text;
}

}  // namespace

bool IsWord(std::string_view frame) { return frame.starts_with(kMagic); }

std::string Write(const Word& word, std::string_view site) {
  const std::string body = Packed(11)
                               .Add(site)
                               .Add(static_cast<uint64_t>(word.kind))
                               .Add(word.number)
                               .Add(word.name)
                               .Add(word.disk)
                               .Add(word.index)
                               .Add(word.epoch)
                               .Add(static_cast<uint64_t>(word.error))
                               .Add(word.address)
                               .Add(word.work)
                               .Add(word.data)
                               .Take();
  std::string out(kMagic);
  out += kVersion;
  PutSum(out, SumOf(body));
  return out += body;
}

ReadWord Read(std::string_view frame, std::string_view site) {
  if (frame.size() < kHead || !IsWord(frame)) return {{}, "malformed"};
  if (frame[kMagic.size()] != kVersion) return {{}, "another version"};
  const std::string_view body = frame.substr(kHead);
  if (SumOf(body) != TakeSum(frame.substr(kMagic.size() + 1))) return {{}, "damaged"};
  try {
    Unpacked from(body);
    if (from.Bytes(kLongestText) != site) return {{}, "another site"};
    Word word;
    const uint64_t kind = from.Number();
    if (kind > static_cast<uint64_t>(Word::Kind::kCallBack)) return {{}, "malformed"};
    word.kind = static_cast<Word::Kind>(kind);
    word.number = from.Number();
    word.name = Text(from);
    word.disk = from.Number();
    word.index = from.Number();
    word.epoch = from.Number();
    const uint64_t error = from.Number();
    if (error >= static_cast<uint64_t>(owner::kErrorCount)) return {{}, "malformed"};
    word.error = static_cast<owner::Error>(error);
    word.address = Text(from);
    word.work = Text(from);
    word.data = from.Bytes(kLongestData);
    return {std::move(word), ""};
  } catch (const Slip&) {
    return {{}, "malformed"};
  }
}

}  // namespace burlfall::council
