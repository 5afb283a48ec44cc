// Encoding of commands and states: MessagePack with a header and a checksum, decoded with bounds checks. A
// frame is a magic of three letters and a version byte, the XXH3 checksum of the body (64 bits,
// little-endian), and the body, which is one MessagePack array.
#ifndef BURLFALL_EJECTION_FRAMING_H_
#define BURLFALL_EJECTION_FRAMING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <msgpack.hpp>

#include "ejection/rules.h"

namespace burlfall::ejection {

struct DecodeError {};  // thrown on a wrong type, a value out of range or a missing value

// Reads the values of one array in order. Throws DecodeError.
class ArrayReader {
 public:
  explicit ArrayReader(const msgpack::object& from) : array_(from.via.array) {
    if (from.type != msgpack::type::ARRAY) throw DecodeError{};
  }
  const msgpack::object& Next() {
    if (at_ >= array_.size) throw DecodeError{};
    return array_.ptr[at_++];
  }
  uint64_t Number(uint64_t max = UINT64_MAX) {
    const msgpack::object& value = Next();
    if (value.type != msgpack::type::POSITIVE_INTEGER || value.via.u64 > max) throw DecodeError{};
    return value.via.u64;
  }
  uint32_t Number32(uint32_t max = UINT32_MAX) { return static_cast<uint32_t>(Number(max)); }
  // A time or duration. Negative ones occur only in the numbers of a vote, which are validated later and not
  // refused here.
  Micros Duration() {
    const msgpack::object& value = Next();
    if (value.type == msgpack::type::NEGATIVE_INTEGER) return value.via.i64;
    if (value.type != msgpack::type::POSITIVE_INTEGER || value.via.u64 > uint64_t{INT64_MAX})
      throw DecodeError{};
    return static_cast<Micros>(value.via.u64);
  }
  bool Flag() { return Number(1) == 1; }
  double Share() {
    const msgpack::object& value = Next();
    // The encoder writes 0.0 and 1.0 as integers.
    if (value.type == msgpack::type::POSITIVE_INTEGER && value.via.u64 <= 1)
      return value.via.u64 == 1 ? 1 : 0;
    if (value.type != msgpack::type::FLOAT64 || !(value.via.f64 >= 0 && value.via.f64 <= 1))
      throw DecodeError{};
    return value.via.f64;
  }
  template <typename E>
  E Enumerator(E last) {
    return static_cast<E>(Number(static_cast<uint64_t>(last)));
  }
  std::string Text(size_t max = kMaxNameBytes) {
    const msgpack::object& value = Next();
    if (value.type != msgpack::type::STR || value.via.str.size > max) throw DecodeError{};
    std::string text(value.via.str.ptr, value.via.str.size);
    for (const char c : text) {  // no control characters: the text goes into logs, tables and files
      if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) throw DecodeError{};
    }
    return text;
  }
  ArrayReader Array(uint32_t max) {
    ArrayReader inner(Next());
    if (inner.size() > max) throw DecodeError{};
    return inner;
  }
  uint32_t size() const { return array_.size; }

 private:
  const msgpack::object_array array_;
  uint32_t at_ = 0;
};

using Packer = msgpack::packer<msgpack::sbuffer>;

inline void PackText(Packer& to, const std::string& text) {
  to.pack_str(static_cast<uint32_t>(text.size()));
  to.pack_str_body(text.data(), static_cast<uint32_t>(text.size()));
}

inline std::string Frame(std::string_view magic, const msgpack::sbuffer& body) {
  std::string frame(magic);
  const uint64_t sum = XXH3_64bits(body.data(), body.size());
  for (int byte = 0; byte < 8; ++byte) frame += static_cast<char>(sum >> (8 * byte) & 0xff);
  return frame.append(body.data(), body.size());
}

// Checks the frame and passes the values of its body to `decode`. Returns nothing if the frame is incomplete
// or damaged, or if `decode` throws DecodeError.
template <typename UnpackCommand>
auto Unframe(std::string_view magic, std::string_view frame, uint32_t max_items, UnpackCommand decode)
    -> std::optional<decltype(decode(std::declval<ArrayReader>()))> {
  if (!frame.starts_with(magic) || frame.size() < magic.size() + 8) return std::nullopt;
  uint64_t sum = 0;
  for (size_t byte = 0; byte < 8; ++byte) {
    sum |= static_cast<uint64_t>(static_cast<unsigned char>(frame[magic.size() + byte])) << (8 * byte);
  }
  const std::string_view body = frame.substr(magic.size() + 8);
  if (XXH3_64bits(body.data(), body.size()) != sum) return std::nullopt;
  try {
    const msgpack::unpack_limit limit(max_items, 0, 4 * kMaxNameBytes, 0, 0, 8);
    size_t used = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(body.data(), body.size(), used, nullptr, nullptr, limit);
    if (used != body.size()) return std::nullopt;
    return decode(ArrayReader(handle.get()));
  } catch (const DecodeError&) {
    return std::nullopt;
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  }
}

}  // namespace burlfall::ejection

#endif  // BURLFALL_EJECTION_FRAMING_H_
