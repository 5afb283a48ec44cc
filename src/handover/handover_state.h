// The state that a serving process hands over to its successor, and the messages that carry it. Performs no
// I/O.
//
// A message is one packet: a letter and its content. Protocol version 1.
//
//   new to old   T  claim: protocol version, balancer name
//                S  the successor's listener is open; then the letters of the other messages that it knows
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
//                R  digests of the ids of requests that this process has begun, or knows of
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
constexpr size_t kMaxPartBytes = 32 * 1024;
constexpr size_t kMaxStateBytes = 16 * 1024 * 1024;
constexpr size_t kMaxIdsPerMessage = 2048;  // at most ten bytes each, and thus a packet

// Message T: the successor claims the state.
struct Claim {
  int version = kHandoverVersion;
  std::string name;
  void Fields(auto& a) { a(version, name); }
};

// The state that the successor takes over (messages E and Z).
struct HandoverState {
  std::string settings;  // as JSON; a module accepts only state written under the same settings
  bool drained_manually = false;
  Micros drained_since = 0;
  uint64_t list = 0;  // version of the list from discovery
  std::vector<HostRecord> hosts;
  DispatcherState dispatcher;
  void Fields(auto& a) { a(settings, drained_manually, drained_since, list, hosts, dispatcher); }
};

// Message L: a client link that goes to the successor.
struct PassedLink {
  bool has_queried = false;  // has sent a query before
  Micros query_began = 0;    // when the first bytes of the incomplete query arrived; 0: none has begun
  std::string read;          // bytes already read of that query
  void Fields(auto& a) { a(has_queried, query_began, read); }
};

// Message K: number of links that the new process has received, by its own count.
struct ReceivedLinks {
  uint64_t links = 0;
  void Fields(auto& a) { a(links); }
};

// Message U: resources that the predecessor uses.
struct ResourceUse {
  uint64_t descriptors = 0;
  uint64_t memory_kb = 0;
  void Fields(auto& a) { a(descriptors, memory_kb); }
};

// Messages O and I: an operator took a node out of service or put it back.
struct NodeChange {
  std::string name;
  Micros since = 0;  // time of the call
  void Fields(auto& a) { a(name, since); }
};

// Message R: ids of requests, which must not be begun by the process that receives them.
struct BegunRequests {
  bool last = false;  // of those that the predecessor knew as it gave its state away
  std::vector<uint64_t> ids;
  void Fields(auto& a) { a(last, ids); }
};

// Pack() appends a checksum over the content. Unpack() returns nullopt if the content is truncated or
// corrupted.
template <typename T>
std::string Pack(char letter, T content) {
  meadowslip::state::Writer out;
  content.Fields(out);
  return std::string(1, letter).append(out.Finish());
}
template <typename T>
std::optional<T> Unpack(std::string_view bytes) {
  T content;
  meadowslip::state::Reader in(bytes);
  content.Fields(in);
  if (!in.Complete()) return {};
  return content;
}

// Splits the state into packets, in order.
std::vector<std::string> SplitState(HandoverState handover_state);

// Reassembles the packets.
class HandoverStateReader {
 public:
  enum class Read { kMore, kComplete, kInvalid };
  Read Add(std::string_view message);         // the message with its letter, which is E or Z
  HandoverState& result() { return state_; }  // valid after kComplete

 private:
  std::string bytes_;
  HandoverState state_;
};

}  // namespace burlfall

#endif  // BURLFALL_HANDOVER_HANDOVER_STATE_H_
