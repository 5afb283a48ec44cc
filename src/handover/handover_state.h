// The state that a serving process hands over to its successor, and the messages that carry it. Performs no
// I/O.
//
// A message is one packet: a letter and its content. Protocol version 1.
//
//   new to old   T  claim: protocol version, balancer name
//                S  the successor's listener is open; then the letters of the other messages that it answers
//                (none in earlier versions)
//                K  answer to C: how many links it has received
//   old to new   N  refusal, with the reason as text
//                E  a part of the state; the last part, which may be empty, is Z
//                L  a passed link: whether it has sent a query before, and the bytes read of its next query
//                U  resources in use by this process: descriptors, memory
//                C  all links have been sent: has the new process received them?
//   both ways    O  an operator took a node out of service: its name, since when
//                I  an operator put the node back
//                A  drain manually;  W  resume
//                Q  this process exits in order
#ifndef BURLFALL_HANDOVER_HANDOVER_STATE_H_
#define BURLFALL_HANDOVER_HANDOVER_STATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/dispatcher_state.h"
#include "io/time.h"
#include "membership/host_group.h"
#include "state/serializer.h"

namespace burlfall {

constexpr int kHandoverVersion = 1;
constexpr size_t kMostPiece = 32 * 1024;
constexpr size_t kMostEstate = 16 * 1024 * 1024;

struct Claim {
  int version = kHandoverVersion;
  std::string name;
  void Fields(auto& a) { a(version, name); }
};

struct Estate {
  std::string settings;  // as JSON; a module accepts only state written under the same settings
  bool aside = false;    // drained manually by an operator
  Micros aside_since = 0;
  uint64_t list = 0;  // version of the list from discovery
  std::vector<HostRecord> hosts;
  DispatcherState carried;
  void Fields(auto& a) { a(settings, aside, aside_since, list, hosts, carried); }
};

struct PassedLink {
  bool asked = false;
  Micros began = 0;  // when the first bytes of the incomplete query arrived; 0: none has begun
  std::string read;
  void Fields(auto& a) { a(asked, began, read); }
};

// Number of links that the new process has received, by its own count.
struct Held {
  uint64_t links = 0;
  void Fields(auto& a) { a(links); }
};

struct Use {
  uint64_t descriptors = 0;
  uint64_t memory_kb = 0;
  void Fields(auto& a) { a(descriptors, memory_kb); }
};

struct NodeCall {
  std::string name;
  Micros since = 0;
  void Fields(auto& a) { a(name, since); }
};

// Pack() appends a checksum over the content. Unpack() returns nullopt if the content is truncated or
// corrupted.
template <typename T>
std::string Pack(char letter, T what) {
  meadowslip::state::Writer out;
  what.Fields(out);
  return std::string(1, letter).append(out.Finish());
}
template <typename T>
std::optional<T> Unpack(std::string_view bytes) {
  T what;
  meadowslip::state::Reader in(bytes);
  what.Fields(in);
  if (!in.Complete()) return {};
  return what;
}

// Splits the state into packets, in order.
std::vector<std::string> Pieces(Estate estate);

// Reassembles the packets.
class EstateReader {
 public:
  enum class Read { kMore, kWhole, kBad };
  Read Take(std::string_view message);  // the message with its letter, which is E or Z
  Estate& estate() { return estate_; }  // valid after kWhole

 private:
  std::string bytes_;
  Estate estate_;
};

}  // namespace burlfall

#endif  // BURLFALL_HANDOVER_HANDOVER_STATE_H_
