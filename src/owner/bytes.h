// Binary encoding of states and commands. A frame has a tag of four letters, a format version, a checksum of
// the body (XXH3, 64 bits, little-endian) and the body: one flat MessagePack array of integers and strings.
#ifndef BURLFALL_OWNER_BYTES_H_
#define BURLFALL_OWNER_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "io/time.h"

namespace burlfall::owner {

// Encodes a frame. Each call appends one value; Finish() adds the header.
class Writer {
 public:
  Writer();
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  Writer& Number(uint64_t value);
  Writer& Duration(Micros value) { return Number(static_cast<uint64_t>(value)); }  // not negative
  Writer& Flag(bool value) { return Number(value ? 1 : 0); }
  Writer& Ratio(double value);
  Writer& Text(std::string_view value);
  template <class Enum>
  Writer& EnumValue(Enum value) {
    return Number(static_cast<uint64_t>(value));
  }
  // `tag`: four letters that name the type of the frame.
  std::string Finish(std::string_view tag);

 private:
  struct Body;
  std::unique_ptr<Body> body_;
};

// Decodes a frame. Never throws, and checks limits before it allocates. After the first invalid value ok() is
// false, and all further values are 0 or empty.
class Reader {
 public:
  // `max`: number of values in the frame.
  Reader(std::string_view bytes, std::string_view tag, size_t max);
  ~Reader();
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  uint64_t Number(uint64_t max = UINT64_MAX);
  Micros Duration();
  bool Flag() { return Number(1) == 1; }
  double Ratio();  // finite, 0 to 1000
  // Rejects control characters, since the text goes into logs, tables and pages.
  std::string Text(size_t max);
  // The length of a list that follows, `max` at most.
  size_t Count(size_t max) { return static_cast<size_t>(Number(max)); }
  template <class Enum>
  Enum EnumValue(Enum last) {
    return static_cast<Enum>(Number(static_cast<uint64_t>(last)));
  }
  void Fail() { ok_ = false; }
  bool ok() const { return ok_; }
  bool Done() const;  // ok, and no values are left

 private:
  struct Body;
  std::unique_ptr<Body> body_;
  size_t next_ = 0;
  bool ok_ = false;
};

}  // namespace burlfall::owner

#endif  // BURLFALL_OWNER_BYTES_H_
