#include "io/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <string_view>
#include <system_error>

namespace burlfall {
namespace {

std::string Host(const sockaddr_storage& storage) {
  char text[INET6_ADDRSTRLEN] = "";
  if (storage.ss_family == AF_INET) {
    inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in*>(&storage)->sin_addr, text, sizeof text);
  } else {
    inet_ntop(AF_INET6, &reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_addr, text, sizeof text);
  }
  return text;
}

}  // namespace

std::optional<Address> ReadAddress(const std::string& text) {
  size_t colon = text.rfind(':');
  std::string host = text.substr(0, std::min(colon, text.size()));
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const char* digits = colon == std::string::npos ? end : text.data() + colon + 1;
  auto [stop, error] = std::from_chars(digits, end, port);
  if (error != std::errc() || stop != end) return {};  // 99999 is consumed whole, yet out of range
  Address address;
  address.text = text;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
  if (inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(port);
    address.length = sizeof *v4;
  } else if (host.size() > 2 && host.front() == '[' && host.back() == ']' &&
             inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(port);
    address.length = sizeof *v6;
  } else {
    return {};
  }
  return address;
}

uint16_t PortOf(const Address& address) {
  if (address.length == 0) return 0;
  return ntohs(address.storage.ss_family == AF_INET
                   ? reinterpret_cast<const sockaddr_in*>(&address.storage)->sin_port
                   : reinterpret_cast<const sockaddr_in6*>(&address.storage)->sin6_port);
}

Address ToAddress(const sockaddr_storage& storage, socklen_t length) {
  Address address;
  if (storage.ss_family != AF_INET && storage.ss_family != AF_INET6) return address;
  address.storage = storage;
  address.length = length;
  const std::string host = Host(storage);
  address.text =
      (storage.ss_family == AF_INET ? host : "[" + host + "]") + ":" + std::to_string(PortOf(address));
  return address;
}

std::string HostOf(const Address& address) {
  if (address.length == 0) return "";
  constexpr std::string_view kMapped = "::ffff:";
  std::string host = Host(address.storage);
  if (host.starts_with(kMapped) && host.find('.') != std::string::npos) host.erase(0, kMapped.size());
  return host;
}

}  // namespace burlfall
