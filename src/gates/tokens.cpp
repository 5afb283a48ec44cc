#include "gates/tokens.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <stdexcept>

#include "codec/base64.h"

namespace burlfall {
namespace {

constexpr size_t kMaxTokenBytes = 4096;
constexpr size_t kMacBytes = 32;
constexpr int64_t kMaxExpirySeconds = 999999999999;  // seconds
constexpr std::string_view kVersion = "v1";

std::string Sign(const std::string& key, std::string_view text) {
  std::string mac(kMacBytes, '\0');
  unsigned int length = kMacBytes;
  if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
           reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           reinterpret_cast<unsigned char*>(mac.data()), &length) == nullptr ||
      length != kMacBytes) {
    throw std::runtime_error("HMAC-SHA256 is not available");
  }
  return mac;
}

std::string_view NextField(std::string_view& text, char end) {
  const size_t at = std::min(text.find(end), text.size());
  const std::string_view part = text.substr(0, at);
  text.remove_prefix(std::min(at + 1, text.size()));
  return part;
}

// Returns nothing unless `text` is an integer from 0 to kMaxExpirySeconds.
std::optional<int64_t> ParseSeconds(std::string_view text) {
  int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > kMaxExpirySeconds) {
    return std::nullopt;
  }
  return value;
}

bool IsClassName(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
}

}  // namespace

// Checks the signature before the expiry, and the expiry before the class: nothing in a token is trusted
// before its signature has been verified.
Tokens::Verdict Tokens::Check(std::string_view token, std::string_view cls, Micros now) const {
  if (token.empty()) return settings_.required ? Verdict::kMissing : Verdict::kPass;
  if (token.size() > kMaxTokenBytes || std::count(token.begin(), token.end(), '.') != 5)
    return Verdict::kForged;
  const std::string_view text = token.substr(0, token.rfind('.'));
  const std::optional<std::string> mac = FromBase64Url(token.substr(text.size() + 1));
  std::string_view rest = text;
  const std::string_view version = NextField(rest, '.');
  const auto key = settings_.keys.find(std::string(NextField(rest, '.')));
  if (version != kVersion || key == settings_.keys.end() || !mac || mac->size() != kMacBytes) {
    return Verdict::kForged;
  }
  if (CRYPTO_memcmp(Sign(key->second, text).data(), mac->data(), kMacBytes) != 0) return Verdict::kForged;
  const std::optional<std::string> holder = FromBase64Url(NextField(rest, '.'));
  std::string_view classes = NextField(rest, '.');
  const std::optional<int64_t> expiry = ParseSeconds(rest);
  if (!holder || holder->empty() || !expiry) return Verdict::kForged;
  if (now > (*expiry + settings_.leeway_s) * kSecond) return Verdict::kExpired;
  while (!cls.empty() && !classes.empty()) {
    if (NextField(classes, '+') == cls) return Verdict::kPass;
  }
  return Verdict::kLacksClass;
}

std::string Tokens::Issue(const std::string& key, std::string_view holder, std::string_view classes,
                          int64_t expiry) const {
  const auto signing_key = settings_.keys.find(key);
  if (signing_key == settings_.keys.end()) throw BadConfig("no such key: tokens.key." + key.substr(0, 16));
  if (holder.empty()) throw BadConfig("no holder");
  std::string_view remaining = classes;
  bool valid = !classes.empty() && classes.back() != '+';
  while (!remaining.empty()) valid = IsClassName(NextField(remaining, '+')) && valid;
  if (!valid) throw BadConfig("not classes joined by plus signs: " + std::string(classes.substr(0, 60)));
  std::string token(kVersion);
  token.append(".").append(key).append(".").append(Base64Url(holder)).append(".").append(classes);
  token.append(".").append(std::to_string(std::min(expiry, kMaxExpirySeconds)));
  const std::string signature =
      Base64Url(Sign(signing_key->second, token));  // the signature does not cover its dot
  token.append(".").append(signature);
  if (token.size() > kMaxTokenBytes) throw BadConfig("the token would be too long");
  return token;
}

TokenResponse ResponseFor(Tokens::Verdict verdict) {
  switch (verdict) {
    case Tokens::Verdict::kPass:
      break;
    case Tokens::Verdict::kMissing:
      return {401, "token missing"};
    case Tokens::Verdict::kExpired:
      return {401, "token expired"};
    case Tokens::Verdict::kForged:
      return {403, "token forged"};
    case Tokens::Verdict::kLacksClass:
      return {403, "token lacks class"};
  }
  return {};
}

}  // namespace burlfall
