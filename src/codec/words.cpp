#include "codec/words.h"

namespace burlfall {
namespace {

constexpr char kHex[] = "0123456789abcdef";

}  // namespace

std::string Escaped(std::string_view text) {
  std::string out;
  for (char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte > ' ' && byte != 127 && c != '%') {
      out += c;
    } else {
      out.append(1, '%').append(1, kHex[byte >> 4]).append(1, kHex[byte & 15]);
    }
  }
  return out;
}

bool Unescaped(std::string_view word, std::string& text) {
  while (!word.empty()) {
    const char c = word.front();
    if (c == '%') {
      int byte = 0;
      if (word.size() < 3 || !WholeNumber(word.substr(1, 2), byte, 16)) return false;
      text += static_cast<char>(byte);
      word.remove_prefix(3);
    } else {
      if (static_cast<unsigned char>(c) <= ' ' || c == 127) return false;
      text += c;
      word.remove_prefix(1);
    }
  }
  return !text.empty();
}

std::string_view NextWord(std::string_view& line) {
  const size_t blank = line.find(' ');
  const std::string_view word = line.substr(0, blank);
  line.remove_prefix(blank == std::string_view::npos ? line.size() : blank + 1);
  return word;
}

double PositiveSeconds(std::string_view text) {
  double seconds = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, seconds);
  return error == std::errc() && stop == end && seconds > 0 ? seconds : 0;
}

}  // namespace burlfall
