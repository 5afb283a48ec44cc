// Who owns a named piece of work: the part of the council's state that the log carries. A function of the
// entries alone: no clock, no chance, no I/O. `docs/design/council_owner.md` tells why it is so.
//
// - A grant has an *epoch*: the fencing token, taken from the index of the entry that made it, above all that
//   were given before, of any work, and above the floor that an operator sets when a lost council begins
//   anew.
// - A grant has a *lease*, which this state does not count. Its holder counts it from before it asked
//   (`owner/holder.h`), the leader from when it applied the grant (`owner/lapse.h`), and proposes kRunOut.
//   kRunOut names the last renewal that its proposer knew: one that overtook it in the log makes it void.
// - Nobody is granted a work before its earlier owner gave it up or its lease ran out by the council's count.
//   Safety does not rest on that: whoever is acted upon refuses lower epochs (`owner/executor.h`).
#ifndef BURLFALL_OWNER_OWNER_H_
#define BURLFALL_OWNER_OWNER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/time.h"
#include "owner/errors.h"
#include "owner/lapse.h"

namespace burlfall::owner {

constexpr size_t kLongestName = 128;    // bytes: of a work, a member, an operator
constexpr size_t kLongestReason = 512;  // bytes

// Works that have an owner from the start.
constexpr const char* kFreezeWork = "freeze";       // the coordinator: what the fleet sees becomes incidents
constexpr const char* kEjectionWork = "ejection";   // counts the votes
constexpr const char* kListCallWork = "list_call";  // asks the list service for all

// A process: a member's name and its life's start number. Another life is another.
struct Who {
  std::string name;
  uint64_t life = 0;
  auto operator<=>(const Who&) const = default;
};

// The same at all replicas: they stand in the log (kRules), proposed by a leader whose settings say
// otherwise.
struct Rules {
  Micros lease = 2 * kSecond;
  uint64_t most_works = 64;
  uint64_t most_waiting = 16;  // for one work
  bool operator==(const Rules&) const = default;
};

struct Command {
  enum class Kind : uint8_t {
    kWant,      // work, who, request: to own it; waits in line where it is another's
    kRenew,     // work, who, epoch, request
    kGiveUp,    // work, who, epoch: it has stopped. With epoch 0: leaves the line
    kHandOver,  // work, epoch, to: the owner is to stop; `to` is granted it after it gave up or ran out
    kTakeAway,  // work, by, reason: likewise, and that life gets it again only after another one had it
    kRunOut,    // work, epoch, renewed: proposed by the leader
    kFloor,     // epoch, by: all epochs from now on are above it; each owner is to stop. Beginning anew
    kRules,     // rules
  };
  Kind kind = Kind::kWant;
  std::string work;
  Who who;
  uint64_t epoch = 0;
  uint64_t request = 0;  // of the asker; its answers name it
  uint64_t renewed = 0;  // kRunOut: Work::renewed, as its proposer saw it
  Who to;
  std::string by;
  std::string reason;
  Rules rules;
};
// What is proposed is what ReadCommand() makes of these bytes, at all replicas alike: the proposer reads them
// back first, and refuses as malformed what it can't read (a text with control characters, one that is too
// long).
std::string Write(const Command& command);
std::optional<Command> ReadCommand(std::string_view bytes);  // empty: damaged, of another version, too long

struct Effect {
  enum class What : uint8_t {
    kGranted,  // who, epoch, lease, renewed, request: of the kWant that it answers
    kRenewed,  // likewise
    kQueued,   // who, request: behind `epoch`'s owner
    kRefused,  // who, request, error; `epoch` is the present one
    kStop,     // who, epoch, error: the owner is to stop and give up; renewals are refused
    kOver,     // who, epoch: given up (error kNone), run out (kLeaseOver)
  };
  What what = What::kRefused;
  std::string work;
  Who who;
  uint64_t epoch = 0;
  uint64_t request = 0;
  Micros lease = 0;
  uint64_t renewed = 0;  // index of the entry that gave the lease: for Lapse
  Error error = Error::kNone;
  std::string by;
  std::string reason;
};
using Effects = std::vector<Effect>;
const char* NameOf(Effect::What what);

struct Waiting {
  Who who;
  uint64_t request = 0;
};

struct Work {
  std::optional<Who> owner;
  uint64_t epoch = 0;           // the last one given, also when nobody owns it now
  uint64_t renewed = 0;         // index of the entry that granted or last renewed it
  Micros since = 0;             // council time of the grant
  Micros lease = 0;             // as granted
  Error ending = Error::kNone;  // kHandedOver, kTakenAway, kFenced (by a floor): no renewal
  std::optional<Who> heir;      // of a hand-over: before the line
  std::optional<Who> barred;    // taken away from this life
  std::deque<Waiting> line;
};

class State {
 public:
  // `index` grows from entry to entry; `at` is council time. An entry that can't be changes nothing but an
  // answer kRefused. Appends nothing to disk, keeps nothing outside itself.
  Effects Apply(uint64_t index, Micros at, const Command& command);

  std::string Save() const;
  static std::optional<State> Load(std::string_view bytes);

  const std::map<std::string, Work>& works() const { return works_; }
  // The last epoch given for it, 0 where there never was one: what an executor without a disk is told, from a
  // read that claims to be current. Never below the floor.
  uint64_t EpochOf(const std::string& work) const;
  // All that stand, for Lapse: the key is the work's name.
  std::vector<Lease> Leases() const;
  const Rules& rules() const { return rules_; }
  uint64_t floor() const { return floor_; }
  uint64_t last_epoch() const { return last_epoch_; }

 private:
  void Grant(uint64_t index, Micros at, const std::string& name, const Who& who, uint64_t request,
             Effects& effects);
  void End(uint64_t index, Micros at, const std::string& name, Error why, Effects& effects);

  Rules rules_;
  uint64_t floor_ = 0;
  uint64_t last_epoch_ = 0;  // of any work
  Micros at_ = 0;
  std::map<std::string, Work> works_;
};

// For whoever leads: what was applied, into its count of leases; and the command that a due lease is proposed
// by.
void Count(Lapse& lapse, Micros now, const Effects& effects);
Command RunOutOf(const Lease& lease);

}  // namespace burlfall::owner

#endif  // BURLFALL_OWNER_OWNER_H_
