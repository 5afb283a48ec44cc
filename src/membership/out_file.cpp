#include "membership/out_file.h"

#include "codec/words.h"

namespace burlfall {
namespace {

constexpr std::string_view kFirstLine = "burlfall-out 1";
constexpr std::string_view kEnd = "end ";

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
      if (!WholeNumber(line.substr(kEnd.size()), count) || count != hosts.size() || !text.empty()) return {};
      return hosts;
    }
    const size_t blank = line.find(' ');
    OutHost host;
    if (blank == std::string_view::npos || !WholeNumber(line.substr(0, blank), host.since) ||
        !Unescaped(line.substr(blank + 1), host.name)) {
      return {};
    }
    hosts.push_back(std::move(host));
  }
}

}  // namespace burlfall
