// The messages of the membership protocol as values. wire.h encodes them; docs/design/cluster.md describes
// the format.
#ifndef BURLFALL_CLUSTER_MESSAGE_H_
#define BURLFALL_CLUSTER_MESSAGE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "io/time.h"

namespace burlfall::cluster {

// Limits on received values.
constexpr size_t kMaxNameBytes = 64;         // of a member, site, zone or build
constexpr size_t kMaxAddressBytes = 64;      // as text
constexpr size_t kMaxSuspectingMembers = 4;  // named in an update
constexpr size_t kMaxDatagramBytes = 1200;
// Limit of start and incarnation numbers. A suspicion may carry at most half of it, so that a member that is
// suspected with the largest number allowed can still refute with a higher one.
constexpr uint64_t kMaxGenerationNumber = uint64_t{1} << 62;

// One run of a member's process (`start`) and the number of suspicions it has refuted (`incarnation`). A
// later start is a new process; what was reported about the earlier one does not apply to it.
struct Generation {
  uint64_t start = 0;
  uint64_t incarnation = 0;
  auto operator<=>(const Generation&) const = default;
};

enum class State : uint8_t {
  kAlive,
  kSuspect,  // reported unreachable, and has not refuted that yet
  kDead,
  kLeft,  // gracefully: it is not probed any more
};
const char* NameOf(State state);

// A member. `address` takes datagrams and connections, on the same port.
struct Identity {
  std::string name;
  std::string address;
  Generation generation;
  bool operator==(const Identity&) const = default;
};

// What one member reports about another.
struct Update {
  Identity who;
  State state = State::kAlive;
  // Of a suspect: members that did not reach it, at most kMaxSuspectingMembers of them.
  std::vector<std::string> suspected_by = {};
  // Of a suspect: its host refused a connection of one of them.
  bool refused = false;
  bool operator==(const Update&) const = default;
};

// What a member reports about itself with each message.
struct Facts {
  std::string zone;
  std::string build;
  uint8_t phase = 0;           // of the program
  uint64_t configuration = 0;  // a digest; 0: unknown
  uint64_t list_version = 0;
  uint64_t list_age_ms = 0;  // since the list service last answered, as of the sending
  uint8_t used_percent = 0;  // of its capacity
  bool operator==(const Facts&) const = default;
};

struct Message {
  enum class Kind : uint8_t {
    kPing,         // requests a kAck
    kAck,          // answers the ping with this request id
    kPingRequest,  // asks the receiver to ping `ping_target`
    kPingResult,   // answers kPingRequest: `reached`
    kGossip,       // updates only
    kFullState,    // on a connection: all that the sender knows; requests a kFullStateReply
    kFullStateReply,
  };
  Kind kind = Kind::kGossip;
  Identity from;
  uint64_t sequence = 0;    // of the sender's datagrams in this process generation; a repeated one is dropped
  uint64_t request_id = 0;  // of the ping or request; an answer repeats it
  Identity ping_target;     // of kPingRequest and kPingResult
  bool reached = false;     // of kPingResult
  bool cut_off = false;     // the sender holds itself cut off
  uint64_t digest = 0;      // of the members that the sender holds alive or suspect, including itself
  Facts facts;
  std::vector<Update> updates;
  bool operator==(const Message&) const = default;
};

// Digest of a text, such as a configuration: equal on all platforms and in all builds.
uint64_t DigestOf(std::string_view text);

}  // namespace burlfall::cluster

#endif  // BURLFALL_CLUSTER_MESSAGE_H_
