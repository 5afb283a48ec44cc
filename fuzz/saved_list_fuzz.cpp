// Fuzzes reading of a saved list and of a start history: reading never crashes, and accepted input reads
// back unchanged. The checksum would reject most inputs before their lines are parsed, so each input is
// tried a second time with a valid last line.
#include <openssl/evp.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

#include "start/saved_list.h"
#include "start/start_history.h"

namespace {

std::string Hex(const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), bytes.data(), &size, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", bytes[i]);
    hex += digits;
  }
  return hex;
}

void Try(const std::string& text) {
  using namespace burlfall::start;
  std::string why;
  const auto list = ReadSavedList(text, why);
  if (list.has_value() != why.empty()) std::abort();
  if (!list) return;
  const auto again = ReadSavedList(WriteSavedList(*list), why);
  if (!again || !(*again == *list)) std::abort();
  ChooseSavedList({{"f", text}}, list->site, list->confirmed_at, burlfall::kSecond);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  Try(text);
  std::string lines = text;
  size_t nodes = 0;
  for (size_t at = 0; (at = lines.find("\nnode ", at)) != std::string::npos; ++at) ++nodes;
  if (!lines.ends_with('\n')) lines += '\n';
  Try(lines + "end " + std::to_string(nodes) + " " + Hex(lines) + "\n");
  const burlfall::start::StartHistory history(text);
  if (burlfall::start::StartHistory(history.Text()).Text() != history.Text()) std::abort();
  history.Within(burlfall::kSecond, 0);
  return 0;
}
