// Any bytes as HTTP messages, in any pieces: reading them never crashes, what is held stays bounded, and the
// pieces in which they come change nothing. The first byte says what is read and how it is cut.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "codec/http.h"

namespace {

using namespace burlfall;

std::string Head(const HttpMessage& m) {
  std::string said = m.method + m.target + std::to_string(m.status);
  for (const Header& h : m.headers) said += ";" + h.name + ":" + h.value;
  return said + "/";
}

// All messages in the bytes, as one text; how the last one ended is its last word.
std::string Read(HttpParser::Kind kind, std::string_view bytes, size_t piece) {
  HttpParser parser(kind, 1 << 20, 256);
  std::string said, buffer;
  Parsed parsed = Parsed::kMore;
  bool parted = false;
  while (parsed == Parsed::kMore && (!bytes.empty() || !buffer.empty())) {
    const size_t before = buffer.size();
    buffer += bytes.substr(0, piece);
    const bool came = !bytes.empty();
    bytes.remove_prefix(std::min(piece, bytes.size()));
    parsed = parser.Feed(buffer);
    if (parsed == Parsed::kHeadComplete) {
      parted = true;
      const HttpMessage head = parser.TakeHead();
      said += Head(head) + head.body;
      parsed = parser.Feed(buffer);
      if (parsed == Parsed::kHeadComplete) std::abort();  // it is said once
    }
    if (parted) {
      said += parser.body();
      parser.body().clear();
    }
    if (buffer.size() > kMaxHead + piece + 512) std::abort();
    if (parsed == Parsed::kDone) {
      const HttpMessage whole = parser.Take();
      if (!parted) said += Head(whole) + whole.body;
      said += "|";
      parted = false;
      parsed = Parsed::kMore;
    } else if (!came && buffer.size() == before) {
      break;
    }
  }
  return said + std::to_string(static_cast<int>(parsed));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size < 2 || size > 8192) return 0;
  const auto kind = data[0] & 1 ? HttpParser::Kind::kRequest : HttpParser::Kind::kResponse;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  if (Read(kind, bytes, bytes.size()) != Read(kind, bytes, 1 + (data[0] >> 1) % 31)) std::abort();
  return 0;
}
