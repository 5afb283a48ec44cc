// A balancer's own answer to a change while the council can't be asked. Conflicting kinds are refused at
// once, with who is missing; the emergency kinds of the settings go on, are written down, and are told to the
// council when it is back. The balancer's own service never asks here.
#ifndef BURLFALL_FREEZE_LOCAL_GATE_H_
#define BURLFALL_FREEZE_LOCAL_GATE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "freeze/freeze.h"
#include "io/time.h"

namespace burlfall::freeze {

class LocalGate {
 public:
  LocalGate(Rules rules, Who self) : rules_(std::move(rules)), self_(std::move(self)) {}

  struct Answer {
    Error error = Error::kNone;        // kNone: go on, it is written down. kNoMajority, kTooMany, kMalformed
    std::vector<std::string> missing;  // voters that don't answer
    std::string what_to_do;
    Micros retry = 0;
    uint64_t number = 0;  // of the record
  };
  // `missing`: voters that don't answer, by name. `by` and `reason` are both needed for an emergency.
  Answer Ask(ChangeKind kind, const Scope& scope, const std::string& by, const std::string& reason,
             const std::vector<std::string>& missing);

  // The oldest that the council has not confirmed: to be proposed again and again until it has, then the
  // next. One at a time: two on their way could change places, and the later would hide the earlier.
  std::vector<Command> Untold() const;
  void Applied(const Effect& effect);  // kNoted

  std::string Save() const;  // for the disk, before an emergency goes on
  // False: the bytes can't be read; nothing is taken.
  bool Take(std::string_view bytes);

  size_t kept() const { return records_.size(); }

 private:
  struct Record {
    uint64_t number = 0;
    ChangeKind kind = ChangeKind::kNodeOut;
    Scope scope;
    std::string by;
    std::string reason;
    uint64_t life = 0;  // in which it was written down
  };
  const Rules rules_;
  const Who self_;
  uint64_t last_ = 0;
  std::deque<Record> records_;
};

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_LOCAL_GATE_H_
