// A socket address: an IPv4 or IPv6 address and a port.
#ifndef BURLFALL_IO_ADDRESS_H_
#define BURLFALL_IO_ADDRESS_H_

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>

namespace burlfall {

struct Address {
  sockaddr_storage storage{};
  socklen_t length = 0;  // of `storage`, in bytes; 0: no address
  std::string text;

  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

// Parses "10.0.0.4:9000" or "[::1]:9000"; returns nothing for any other text. Host names are not accepted, as
// there is no resolver.
std::optional<Address> ReadAddress(const std::string& text);
// An address without length if the family is neither IPv4 nor IPv6.
Address ToAddress(const sockaddr_storage& storage, socklen_t length);
uint16_t PortOf(const Address& address);     // 0 if there is no address
std::string HostOf(const Address& address);  // without the port; an IPv4-mapped IPv6 address as IPv4

}  // namespace burlfall

#endif  // BURLFALL_IO_ADDRESS_H_
