// Parses arbitrary bytes as HTTP messages, split into pieces: parsing must not crash, the buffer must stay
// bounded, and the result must not depend on the split. The first byte selects the kind and the piece size.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "codec/http.h"

namespace {

using namespace burlfall;

std::string Head(const HttpMessage& m) {
  std::string transcript = m.method + m.target + std::to_string(m.status);
  for (const Header& h : m.headers) transcript += ";" + h.name + ":" + h.value;
  return transcript + "/";
}

// Returns all messages in the bytes as one text, followed by the parser's last result.
std::string Read(HttpParser::Kind kind, std::string_view bytes, size_t piece) {
  HttpParser parser(kind, 1 << 20, 256);
  std::string transcript, buffer;
  Parsed parsed = Parsed::kMore;
  bool streamed = false;
  while (parsed == Parsed::kMore && (!bytes.empty() || !buffer.empty())) {
    const size_t before = buffer.size();
    buffer += bytes.substr(0, piece);
    const bool had_input = !bytes.empty();
    bytes.remove_prefix(std::min(piece, bytes.size()));
    parsed = parser.Feed(buffer);
    if (parsed == Parsed::kHeadComplete) {
      streamed = true;
      const HttpMessage head = parser.TakeHead();
      transcript += Head(head) + head.body;
      parsed = parser.Feed(buffer);
      if (parsed == Parsed::kHeadComplete) std::abort();  // reported only once per message
    }
    if (streamed) {
      transcript += parser.body();
      parser.body().clear();
    }
    if (buffer.size() > kMaxHead + piece + 512) std::abort();
    if (parsed == Parsed::kDone) {
      const HttpMessage whole = parser.Take();
      if (!streamed) transcript += Head(whole) + whole.body;
      transcript += "|";
      streamed = false;
      parsed = Parsed::kMore;
    } else if (!had_input && buffer.size() == before) {
      break;
    }
  }
  return transcript + std::to_string(static_cast<int>(parsed));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size < 2 || size > 8192) return 0;
  const auto kind = data[0] & 1 ? HttpParser::Kind::kRequest : HttpParser::Kind::kResponse;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  if (Read(kind, bytes, bytes.size()) != Read(kind, bytes, 1 + (data[0] >> 1) % 31)) std::abort();
  return 0;
}
