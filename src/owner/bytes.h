// State and commands as bytes: a frame of four letters that say what it is, a version, a checksum of the body
// (XXH3, 64 bits, the low byte first), and the body: one flat MessagePack array of numbers and texts.
#ifndef BURLFALL_OWNER_BYTES_H_
#define BURLFALL_OWNER_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "io/time.h"

namespace burlfall::owner {

class Writer {
 public:
  Writer();
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  Writer& Number(uint64_t value);
  Writer& Span(Micros value) { return Number(static_cast<uint64_t>(value)); }  // not negative
  Writer& Flag(bool value) { return Number(value ? 1 : 0); }
  Writer& Share(double value);
  Writer& Text(std::string_view value);
  template <class Enum>
  Writer& Name(Enum value) {
    return Number(static_cast<uint64_t>(value));
  }
  // `what`: four letters.
  std::string Finish(std::string_view what);

 private:
  struct Body;
  std::unique_ptr<Body> body_;
};

// Never throws and builds nothing before its bound is checked. After the first value that is not what it must
// be, ok() is false and all further values are 0 or empty.
class Reader {
 public:
  // `most`: values in all.
  Reader(std::string_view bytes, std::string_view what, size_t most);
  ~Reader();
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  uint64_t Number(uint64_t most = UINT64_MAX);
  Micros Span();
  bool Flag() { return Number(1) == 1; }
  double Share();  // finite, 0 to 1000
  // No control characters: it goes into logs, tables and pages.
  std::string Text(size_t most);
  // The length of a list that follows: at most `most`.
  size_t Count(size_t most) { return static_cast<size_t>(Number(most)); }
  template <class Enum>
  Enum Name(Enum last) {
    return static_cast<Enum>(Number(static_cast<uint64_t>(last)));
  }
  void Fail() { ok_ = false; }
  bool ok() const { return ok_; }
  bool Done() const;  // ok, and nothing is left over

 private:
  struct Body;
  std::unique_ptr<Body> body_;
  size_t at_ = 0;
  bool ok_ = false;
};

}  // namespace burlfall::owner

#endif  // BURLFALL_OWNER_BYTES_H_
