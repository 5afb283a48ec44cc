// MessagePack encoding of the coordinator group's files and frames: arrays of unsigned numbers and byte
// strings. Reading checks types and sizes. Also the XXH3 checksum that protects each file and frame.
#ifndef BURLFALL_COUNCIL_PACKING_H_
#define BURLFALL_COUNCIL_PACKING_H_

// xxHash and msgpack are used header-only, so the balancer links no further library for them.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace burlfall::council {

// XXH3, 64 bits.
inline uint64_t Checksum(std::string_view body) { return XXH3_64bits(body.data(), body.size()); }

// Appends the checksum to `to` as 8 bytes, the low byte first.
inline void AppendChecksum(std::string& to, uint64_t sum) {
  for (int byte = 0; byte < 8; ++byte) to += static_cast<char>(sum >> (8 * byte) & 0xff);
}

// Reads the 8 bytes that AppendChecksum() wrote. `from` must hold at least 8 bytes.
inline uint64_t ReadChecksum(std::string_view from) {
  uint64_t sum = 0;
  for (size_t byte = 8; byte-- > 0;) sum = sum << 8 | static_cast<unsigned char>(from[byte]);
  return sum;
}

// Thrown when the bytes that are read are not the expected array of values.
struct FormatError {};

// Encodes one MessagePack array. The number of values is fixed at construction.
class ArrayWriter {
 public:
  explicit ArrayWriter(uint32_t values) : packer_(buffer_) { packer_.pack_array(values); }
  ArrayWriter& Add(uint64_t number) {
    packer_.pack_uint64(number);
    return *this;
  }
  ArrayWriter& Add(std::string_view bytes) {
    packer_.pack_bin(static_cast<uint32_t>(bytes.size()));
    packer_.pack_bin_body(bytes.data(), static_cast<uint32_t>(bytes.size()));
    return *this;
  }
  std::string ToBytes() const { return {buffer_.data(), buffer_.size()}; }

 private:
  msgpack::sbuffer buffer_;
  msgpack::packer<msgpack::sbuffer> packer_;
};

// Decodes one MessagePack array, value by value. The constructor and each read throw FormatError on malformed
// input. The bytes that are read must outlive the reader.
class ArrayReader {
 public:
  explicit ArrayReader(std::string_view bytes) {
    try {
      const size_t max_bytes = bytes.size();
      handle_ = msgpack::unpack(bytes.data(), max_bytes, nullptr, nullptr,
                                msgpack::unpack_limit(64, 0, 0, max_bytes, 0, 2));
    } catch (const std::exception&) {
      throw FormatError{};
    }
    if (handle_.get().type != msgpack::type::ARRAY) throw FormatError{};
  }
  uint64_t Number() {
    const msgpack::object& value = Next();
    if (value.type != msgpack::type::POSITIVE_INTEGER) throw FormatError{};
    return value.via.u64;
  }
  // Throws FormatError for a byte string longer than `max_bytes`.
  std::string Bytes(size_t max_bytes) {
    const msgpack::object& value = Next();
    if (value.type != msgpack::type::BIN || value.via.bin.size > max_bytes) throw FormatError{};
    return {value.via.bin.ptr, value.via.bin.size};
  }

 private:
  const msgpack::object& Next() {
    const msgpack::object_array& array = handle_.get().via.array;
    if (next_ >= array.size) throw FormatError{};
    return array.ptr[next_++];
  }

  msgpack::object_handle handle_;
  uint32_t next_ = 0;
};

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_PACKING_H_
