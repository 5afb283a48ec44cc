#include "membership/out_file.h"

#include <charconv>
#include <system_error>

namespace burlfall {
namespace {

constexpr std::string_view kFirstLine = "burlfall-out 1";
constexpr std::string_view kEnd = "end ";
constexpr char kHex[] = "0123456789abcdef";

std::string Escaped(std::string_view name) {
  std::string out;
  for (char c : name) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte > ' ' && byte != 127 && c != '%') {
      out += c;
    } else {
      out.append(1, '%').append(1, kHex[byte >> 4]).append(1, kHex[byte & 15]);
    }
  }
  return out;
}

template <typename Number>
bool Whole(std::string_view text, Number& value, int base = 10) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return error == std::errc() && end == text.data() + text.size() && value >= 0;
}

bool Plain(std::string_view text, std::string& name) {
  while (!text.empty()) {
    const char c = text.front();
    if (c == '%') {
      int byte = 0;
      if (text.size() < 3 || !Whole(text.substr(1, 2), byte, 16)) return false;
      name += static_cast<char>(byte);
      text.remove_prefix(3);
    } else {
      if (static_cast<unsigned char>(c) <= ' ' || c == 127) return false;
      name += c;
      text.remove_prefix(1);
    }
  }
  return !name.empty();
}

}  // namespace

std::string WriteOutFile(const std::vector<OutHost>& hosts) {
  std::string out(kFirstLine);
  for (const OutHost& host : hosts) {
    out.append("\n").append(std::to_string(host.since)).append(" ").append(Escaped(host.name));
  }
  return out.append("\n").append(kEnd).append(std::to_string(hosts.size())).append("\n");
}

std::optional<std::vector<OutHost>> ReadOutFile(std::string_view text) {
  std::vector<OutHost> hosts;
  bool first = true;
  while (true) {
    const size_t eol = text.find('\n');
    if (eol == std::string_view::npos) return {};
    const std::string_view line = text.substr(0, eol);
    text.remove_prefix(eol + 1);
    if (first) {
      if (line != kFirstLine) return {};
      first = false;
      continue;
    }
    if (line.starts_with(kEnd)) {
      size_t count = 0;
      if (!Whole(line.substr(kEnd.size()), count) || count != hosts.size() || !text.empty()) return {};
      return hosts;
    }
    const size_t blank = line.find(' ');
    OutHost host;
    if (blank == std::string_view::npos || !Whole(line.substr(0, blank), host.since) ||
        !Plain(line.substr(blank + 1), host.name)) {
      return {};
    }
    hosts.push_back(std::move(host));
  }
}

}  // namespace burlfall
