// MessagePack as the council's files and frames use it: arrays of numbers and byte strings, read with bounds.
#ifndef BURLFALL_COUNCIL_PACKING_H_
#define BURLFALL_COUNCIL_PACKING_H_

// Header-only, both; the balancer links nothing more for them.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace burlfall::council {

inline uint64_t SumOf(std::string_view body) { return XXH3_64bits(body.data(), body.size()); }

inline void PutSum(std::string& to, uint64_t sum) {
  for (int byte = 0; byte < 8; ++byte) to += static_cast<char>(sum >> (8 * byte) & 0xff);
}

inline uint64_t TakeSum(std::string_view from) {
  uint64_t sum = 0;
  for (size_t byte = 8; byte-- > 0;) sum = sum << 8 | static_cast<unsigned char>(from[byte]);
  return sum;
}

struct Slip {};  // what was read is not what it must be

class Packed {
 public:
  explicit Packed(uint32_t values) : to_(buffer_) { to_.pack_array(values); }
  Packed& Add(uint64_t number) {
    to_.pack_uint64(number);
    return *this;
  }
  Packed& Add(std::string_view bytes) {
    to_.pack_bin(static_cast<uint32_t>(bytes.size()));
    to_.pack_bin_body(bytes.data(), static_cast<uint32_t>(bytes.size()));
    return *this;
  }
  std::string Take() const { return {buffer_.data(), buffer_.size()}; }

 private:
  msgpack::sbuffer buffer_;
  msgpack::packer<msgpack::sbuffer> to_;
};

// Throws Slip. What is read must outlive it.
class Unpacked {
 public:
  explicit Unpacked(std::string_view bytes) {
    try {
      const size_t most = bytes.size();
      handle_ =
          msgpack::unpack(bytes.data(), most, nullptr, nullptr, msgpack::unpack_limit(64, 0, 0, most, 0, 2));
    } catch (const std::exception&) {
      throw Slip{};
    }
    if (handle_.get().type != msgpack::type::ARRAY) throw Slip{};
  }
  uint64_t Number() {
    const msgpack::object& one = Next();
    if (one.type != msgpack::type::POSITIVE_INTEGER) throw Slip{};
    return one.via.u64;
  }
  std::string Bytes(size_t most) {
    const msgpack::object& one = Next();
    if (one.type != msgpack::type::BIN || one.via.bin.size > most) throw Slip{};
    return {one.via.bin.ptr, one.via.bin.size};
  }

 private:
  const msgpack::object& Next() {
    const msgpack::object_array& array = handle_.get().via.array;
    if (at_ >= array.size) throw Slip{};
    return array.ptr[at_++];
  }

  msgpack::object_handle handle_;
  uint32_t at_ = 0;
};

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_PACKING_H_
