// What a process that serves leaves to the one that takes its place, and the messages in which it goes. No
// I/O.
//
// A message is a packet: a letter, then what the letter says. Protocol version 1.
//
//   new to old   T  a claim: version, name
//                S  the door is open; then the letters of what else it answers, none in earlier versions
//                K  in answer to C: how many links it has taken
//   old to new   N  no: why, in plain words
//                E  a piece of the estate; the last, which may be empty, is Z
//                L  a link goes along: whether it has asked before, and what was read of its next query
//                U  in use by this process: descriptors, memory
//                C  all links are on their way: does the new process hold them?
//   both ways    O  an operator took a node out: its name, since when
//                I  an operator put it back
//                A  drain by hand;  W  back to work
//                Q  this process ends in order
#ifndef BURLFALL_HANDOVER_ESTATE_H_
#define BURLFALL_HANDOVER_ESTATE_H_

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
  std::string settings;  // as JSON: a module takes over only a state of its own settings
  bool aside = false;    // drained by hand
  Micros aside_since = 0;
  uint64_t list = 0;  // version of discovery's list
  std::vector<HostRecord> hosts;
  DispatcherState carried;
  void Fields(auto& a) { a(settings, aside, aside_since, list, hosts, carried); }
};

struct PassedLink {
  bool asked = false;
  Micros began = 0;  // when the first bytes of the query that was begun came; 0: none has
  std::string read;
  void Fields(auto& a) { a(asked, began, read); }
};

// What the new process has taken, by its own count.
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

// With a sum over all; nothing where it is not whole, or not what was written.
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

// The packets of an estate, in order.
std::vector<std::string> Pieces(Estate estate);

// Puts them together again.
class EstateReader {
 public:
  enum class Read { kMore, kWhole, kBad };
  Read Take(std::string_view message);  // with its letter, which is E or Z
  Estate& estate() { return estate_; }  // after kWhole

 private:
  std::string bytes_;
  Estate estate_;
};

}  // namespace burlfall

#endif  // BURLFALL_HANDOVER_ESTATE_H_
