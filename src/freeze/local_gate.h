// Decides about changes on a balancer while the council can't be reached. Conflicting kinds are refused at
// once, with the names of the missing voters. The emergency kinds of the settings proceed, are recorded, and
// are reported to the council when it is back. The balancer's own request path never calls this.
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

// Gate for changes without a majority, with the records that are still to be reported.
class LocalGate {
 public:
  LocalGate(Rules rules, ProcessId self) : rules_(std::move(rules)), self_(std::move(self)) {}

  struct Answer {
    Error error = Error::kNone;        // kNone: proceed, it is recorded. kNoMajority, kTooMany, kMalformed
    std::vector<std::string> missing;  // voters that don't answer
    std::string what_to_do;
    Micros retry_after = 0;
    uint64_t number = 0;  // of the record
  };
  // `missing`: names of the voters that don't answer. An emergency needs both `by` and `reason`.
  Answer Ask(ChangeKind kind, const Scope& scope, const std::string& by, const std::string& reason,
             const std::vector<std::string>& missing);

  // The oldest record that the council has not confirmed, as a command. It is proposed again until it is
  // confirmed, then the next one. Only one at a time: if two were in flight they could be reordered, and the
  // later number would hide the earlier one.
  std::vector<Command> Unconfirmed() const;
  void OnApplied(const Effect& effect);  // handles kEmergencyRecorded

  std::string Save() const;  // must be on disk before an emergency action proceeds
  // Returns false, and changes nothing, if the bytes can't be read.
  bool Load(std::string_view bytes);

  size_t record_count() const { return records_.size(); }

 private:
  struct Record {
    uint64_t number = 0;
    ChangeKind kind = ChangeKind::kNodeOut;
    Scope scope;
    std::string by;
    std::string reason;
    uint64_t incarnation = 0;  // of the process that recorded it
  };
  const Rules rules_;
  const ProcessId self_;
  uint64_t last_number_ = 0;
  std::deque<Record> records_;
};

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_LOCAL_GATE_H_
