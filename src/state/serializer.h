// Binary serialization of the module's state. A type lists its fields once, in Fields(), for both directions.
#ifndef MEADOWSLIP_SRC_STATE_SERIALIZER_H_
#define MEADOWSLIP_SRC_STATE_SERIALIZER_H_

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <vector>

namespace meadowslip::state {

template <typename T>
concept Number = std::is_arithmetic_v<T> || std::is_enum_v<T>;

// Integers are varints of seven bits a byte, with zigzag encoding of signed ones; doubles take 8 bytes.
class Writer {
 public:
  static constexpr bool kLoads = false;
  void operator()(auto&... fields) { (Put(fields), ...); }
  // Appends a checksum, which Reader::Complete() verifies.
  std::string Finish();

 private:
  void Varint(uint64_t value) {
    for (; value >= 0x80; value >>= 7) out_ += static_cast<char>(value | 0x80);
    out_ += static_cast<char>(value);
  }
  void Fixed64(uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) out_ += static_cast<char>(value >> shift);
  }
  template <Number T>
  void Put(T value) {
    if constexpr (std::is_floating_point_v<T>) {
      Fixed64(std::bit_cast<uint64_t>(static_cast<double>(value)));
    } else if constexpr (std::is_unsigned_v<T>) {
      Varint(value);
    } else {
      const auto wide = static_cast<int64_t>(value);
      Varint(static_cast<uint64_t>(wide) << 1 ^ static_cast<uint64_t>(wide >> 63));
    }
  }
  template <typename T>
  requires requires(T& t, Writer& w) { t.Fields(w); }
  void Put(T& one) { one.Fields(*this); }
  template <typename T, size_t n>
  void Put(std::array<T, n>& all) {
    for (T& one : all) Put(one);
  }
  template <typename T>
  void Put(std::vector<T>& all) {
    Varint(all.size());
    for (T& one : all) Put(one);
  }
  void Put(std::string& text) {
    Varint(text.size());
    out_ += text;
  }
  // Sorted by key: the iteration order of such a map is arbitrary, and differs after loading.
  template <typename Key, typename T>
  void Put(std::unordered_map<Key, T>& all) {
    std::vector<Key> keys;
    for (auto& [key, one] : all) keys.push_back(key);
    std::sort(keys.begin(), keys.end());
    Varint(keys.size());
    for (const Key& key : keys) {
      Put(key);
      Put(all.at(key));
    }
  }
  void Put(std::mt19937_64& random) {
    std::stringstream text;
    text << random;
    for (uint64_t word = 0; text >> word;) Fixed64(word);
  }

  friend class Reader;
  static uint64_t Checksum(std::string_view bytes) {
    uint64_t sum = 14695981039346656037u;
    for (char c : bytes) sum = (sum ^ static_cast<unsigned char>(c)) * 1099511628211u;
    return sum;
  }
  std::string out_;
};

inline std::string Writer::Finish() {
  Fixed64(Checksum(out_));
  return std::move(out_);
}

// An unreadable field keeps its value, and Complete() returns false at the end.
class Reader {
 public:
  static constexpr bool kLoads = true;
  explicit Reader(std::string_view bytes) {
    if (bytes.size() < 8) return;
    in_ = bytes.substr(0, bytes.size() - 8);
    const std::string_view body = in_;
    in_ = bytes.substr(body.size());
    ok_ = Fixed64() == Writer::Checksum(body);
    in_ = body;
  }
  void operator()(auto&... fields) { (Get(fields), ...); }
  bool Complete() const { return ok_ && in_.empty(); }

 private:
  uint8_t Byte() {
    if (in_.empty()) return ok_ = false, uint8_t{0};
    const auto byte = static_cast<uint8_t>(in_.front());
    in_.remove_prefix(1);
    return byte;
  }
  uint64_t Varint() {
    uint64_t value = 0;
    for (int shift = 0; shift < 64 && ok_; shift += 7) {
      const uint8_t byte = Byte();
      value |= static_cast<uint64_t>(byte & 0x7f) << shift;
      if (byte < 0x80) break;
    }
    return value;
  }
  uint64_t Fixed64() {
    uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 8) value |= static_cast<uint64_t>(Byte()) << shift;
    return value;
  }
  size_t Count() {  // bounded by the remaining input, since each element takes at least one byte
    const uint64_t n = Varint();
    if (n > in_.size()) ok_ = false;
    return ok_ ? static_cast<size_t>(n) : 0;
  }
  template <Number T>
  void Get(T& value) {
    if constexpr (std::is_floating_point_v<T>) {
      const double read = std::bit_cast<double>(Fixed64());
      // Bounds the value like the integers below: a latency that no clock can hold must not become a time.
      if (!(read >= -1e15 && read <= 1e15)) ok_ = false;
      value = static_cast<T>(read);
    } else if constexpr (std::is_unsigned_v<T>) {
      value = static_cast<T>(Varint());
    } else {
      const uint64_t folded = Varint();
      const auto wide = static_cast<int64_t>(folded >> 1 ^ (0 - (folded & 1)));
      // Guards sums of times against overflow: no real time is so far away, except the value for never.
      constexpr int64_t kMaxTime = int64_t{1} << 61;
      if (wide < -kMaxTime || (wide > kMaxTime && wide != std::numeric_limits<int64_t>::max())) ok_ = false;
      value = static_cast<T>(wide);
    }
  }
  template <typename T>
  requires requires(T& t, Reader& r) { t.Fields(r); }
  void Get(T& one) { one.Fields(*this); }
  template <typename T, size_t n>
  void Get(std::array<T, n>& all) {
    for (T& one : all) Get(one);
  }
  template <typename T>
  void Get(std::vector<T>& all) {
    all.assign(Count(), T());
    for (T& one : all) Get(one);
  }
  void Get(std::string& text) {
    const size_t n = Count();
    text = in_.substr(0, n);
    in_.remove_prefix(n);
  }
  template <typename Key, typename T>
  void Get(std::unordered_map<Key, T>& all) {
    all.clear();
    for (size_t n = Count(); n > 0 && ok_; --n) {
      Key key{};
      Get(key);
      Get(all[key]);
    }
  }
  void Get(std::mt19937_64& random) {
    std::stringstream text;
    for (size_t i = 0; i <= std::mt19937_64::state_size; ++i) text << Fixed64() << ' ';
    if (!(text >> random)) ok_ = false;
  }

  std::string_view in_;
  bool ok_ = false;
};

}  // namespace meadowslip::state

#endif  // MEADOWSLIP_SRC_STATE_SERIALIZER_H_
