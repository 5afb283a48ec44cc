// What members of a cluster say to one another, as values. wire.h puts it into bytes, docs/design/cluster.md
// has the format.
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

// Bounds on what is taken from anybody.
constexpr size_t kLongestName = 64;        // of a member, site, zone or build, in bytes
constexpr size_t kLongestAddress = 64;     // as text
constexpr size_t kMostAccusers = 4;        // named in a claim
constexpr size_t kLargestDatagram = 1200;  // bytes
// Numbers of starts and incarnations. An accusation may go half as far, so that whoever is accused with the
// largest number can still be heard when it says that this is not so.
constexpr uint64_t kMostNumber = uint64_t{1} << 62;

// One run of a member's process, and how often it has had to say that it lives. A later start is another
// life, whatever was said of the one before.
struct Life {
  uint64_t start = 0;
  uint64_t incarnation = 0;
  auto operator<=>(const Life&) const = default;
};

enum class State : uint8_t {
  kAlive,
  kSuspect,  // accused, and has not been heard to say otherwise yet
  kDead,
  kLeft,  // in order: nobody looks for it
};
const char* NameOf(State state);

// Who speaks, or is spoken of. `address` takes datagrams and connections, on the same port.
struct Identity {
  std::string name;
  std::string address;
  Life life;
  bool operator==(const Identity&) const = default;
};

// What one member says of another.
struct Claim {
  Identity who;
  State state = State::kAlive;
  // Of a suspect: those that found no way to it, at most kMostAccusers of them.
  std::vector<std::string> accusers = {};
  // Of a suspect: its machine answered one of them that nobody is there.
  bool refused = false;
  bool operator==(const Claim&) const = default;
};

// What a member tells of itself with each ping and answer.
struct Facts {
  std::string zone;
  std::string build;
  uint8_t phase = 0;           // the program's
  uint64_t configuration = 0;  // a digest; 0: not told
  uint64_t list_version = 0;
  uint64_t list_age_ms = 0;  // when it was told: since the list service last answered
  uint8_t used_percent = 0;  // of its capacity
  bool operator==(const Facts&) const = default;
};

struct Message {
  enum class Kind : uint8_t {
    kPing,    // an answer is wanted
    kAnswer,  // to the ping of this number
    kAsk,     // would you ping `about`, and tell me
    kTold,    // what came of that: `reached`
    kGossip,  // claims alone
    kAll,     // on a connection: all that the sender knows, the same is wanted back
    kAllBack,
  };
  Kind kind = Kind::kGossip;
  Identity from;
  uint64_t sequence = 0;  // of the sender's datagrams in this life: told twice, it is dropped
  uint64_t number = 0;    // of the ping or question; an answer repeats it
  Identity about;         // of kAsk and kTold
  bool reached = false;   // of kTold
  bool cut_off = false;   // the sender has had no answer from anybody for a while
  uint64_t digest = 0;    // of those that the sender holds alive or suspect, itself among them
  Facts facts;
  std::vector<Claim> claims;
  bool operator==(const Message&) const = default;
};

// Of a text, such as a configuration: the same everywhere.
uint64_t DigestOf(std::string_view text);

}  // namespace burlfall::cluster

#endif  // BURLFALL_CLUSTER_MESSAGE_H_
