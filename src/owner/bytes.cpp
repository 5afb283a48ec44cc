#include "owner/bytes.h"

#include <bit>
#include <cmath>

// Both libraries are header-only, so the balancer links nothing more for them.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <msgpack.hpp>

namespace burlfall::owner {
namespace {

constexpr size_t kTagSize = 4;
constexpr char kFormatVersion = 1;
constexpr size_t kHeaderSize = kTagSize + 1 + 8;
constexpr size_t kMaxTextSize = 4096;

}  // namespace

struct Writer::Body {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer{buffer};
  uint32_t values = 0;
};

Writer::Writer() : body_(std::make_unique<Body>()) {}
Writer::~Writer() = default;

Writer& Writer::Number(uint64_t value) {
  body_->packer.pack(value);
  ++body_->values;
  return *this;
}

Writer& Writer::Ratio(double value) { return Number(std::bit_cast<uint64_t>(value)); }

Writer& Writer::Text(std::string_view value) {
  body_->packer.pack_str(static_cast<uint32_t>(value.size()));
  body_->packer.pack_str_body(value.data(), static_cast<uint32_t>(value.size()));
  ++body_->values;
  return *this;
}

std::string Writer::Finish(std::string_view tag) {
  msgpack::sbuffer array_header;
  msgpack::packer<msgpack::sbuffer>(array_header).pack_array(body_->values);
  std::string body(array_header.data(), array_header.size());
  body.append(body_->buffer.data(), body_->buffer.size());
  std::string frame(tag);
  frame += kFormatVersion;
  const uint64_t checksum = XXH3_64bits(body.data(), body.size());
  for (int byte = 0; byte < 8; ++byte) frame += static_cast<char>(checksum >> (8 * byte) & 0xff);
  return frame + body;
}

struct Reader::Body {
  msgpack::object_handle handle;
  const msgpack::object* begin = nullptr;
  size_t size = 0;
};

Reader::Reader(std::string_view bytes, std::string_view tag, size_t max) : body_(std::make_unique<Body>()) {
  if (bytes.size() < kHeaderSize || bytes.substr(0, kTagSize) != tag || bytes[kTagSize] != kFormatVersion)
    return;
  uint64_t checksum = 0;
  for (size_t byte = 0; byte < 8; ++byte) {
    checksum |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[kTagSize + 1 + byte])) << (8 * byte);
  }
  const std::string_view body = bytes.substr(kHeaderSize);
  if (XXH3_64bits(body.data(), body.size()) != checksum) return;
  try {
    // The limits are checked before anything is built: array, map, string, binary, extension, depth.
    const msgpack::unpack_limit limit(max, 0, kMaxTextSize, 0, 0, 2);
    size_t used = 0;
    body_->handle = msgpack::unpack(body.data(), body.size(), used, nullptr, nullptr, limit);
    const msgpack::object& all = body_->handle.get();
    if (used != body.size() || all.type != msgpack::type::ARRAY) return;
    body_->begin = all.via.array.ptr;
    body_->size = all.via.array.size;
    ok_ = true;
  } catch (const msgpack::unpack_error&) {
  }
}

Reader::~Reader() = default;

uint64_t Reader::Number(uint64_t max) {
  if (!ok_ || next_ >= body_->size || body_->begin[next_].type != msgpack::type::POSITIVE_INTEGER ||
      body_->begin[next_].via.u64 > max) {
    ok_ = false;
    return 0;
  }
  return body_->begin[next_++].via.u64;
}

Micros Reader::Duration() { return static_cast<Micros>(Number(INT64_MAX)); }

double Reader::Ratio() {
  const double value = std::bit_cast<double>(Number());
  if (!std::isfinite(value) || value < 0 || value > 1000) ok_ = false;
  return ok_ ? value : 0;
}

std::string Reader::Text(size_t max) {
  if (!ok_ || next_ >= body_->size || body_->begin[next_].type != msgpack::type::STR ||
      body_->begin[next_].via.str.size > max) {
    ok_ = false;
    return {};
  }
  std::string text(body_->begin[next_].via.str.ptr, body_->begin[next_].via.str.size);
  ++next_;
  for (const char c : text) {
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) ok_ = false;
  }
  return ok_ ? text : std::string();
}

bool Reader::Done() const { return ok_ && next_ == body_->size; }

}  // namespace burlfall::owner
