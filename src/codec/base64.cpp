#include "codec/base64.h"

#include <cstddef>
#include <cstdint>

namespace burlfall {
namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

}  // namespace

std::string Base64Url(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() * 4 + 2) / 3);
  uint32_t bits = 0;
  int pending_bits = 0;
  for (char c : bytes) {
    bits = bits << 8 | static_cast<unsigned char>(c);
    for (pending_bits += 8; pending_bits >= 6; pending_bits -= 6)
      text += kAlphabet[bits >> (pending_bits - 6) & 63];
  }
  if (pending_bits > 0) text += kAlphabet[bits << (6 - pending_bits) & 63];
  return text;
}

std::optional<std::string> FromBase64Url(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size() * 3 / 4);
  uint32_t bits = 0;
  int pending_bits = 0;
  for (char c : text) {
    const size_t value = kAlphabet.find(c);
    if (value == std::string_view::npos) return std::nullopt;
    bits = bits << 6 | static_cast<uint32_t>(value);
    pending_bits += 6;
    if (pending_bits < 8) continue;
    pending_bits -= 8;
    bytes += static_cast<char>(bits >> pending_bits & 255);
  }
  // The unused bits of the last character must be 0. Six or more of them mean one character too many.
  if (pending_bits >= 6 || (bits & ((1u << pending_bits) - 1)) != 0) return std::nullopt;
  return bytes;
}

}  // namespace burlfall
