// The module's interface, meadowslip::Balancer, with another policy behind it. A program that links
// burlfall_peers instead of meadowslip has sockets, dispatch and configuration as burlfall has them, and one
// of these in place of its decisions.
#ifndef BURLFALL_LAB_PEERS_PEERS_H_
#define BURLFALL_LAB_PEERS_PEERS_H_

#include <span>
#include <string_view>

namespace meadowslip {

std::span<const std::string_view> PeerNames();

// Every Balancer constructed from here on is this peer; false where there is none of that name. State of the
// whole process, which the product doesn't allow itself: Balancer is constructed far from the command line
// and with the same two arguments as ever, so that all code in between stays the product's own.
bool UsePeer(std::string_view name);

}  // namespace meadowslip

#endif  // BURLFALL_LAB_PEERS_PEERS_H_
