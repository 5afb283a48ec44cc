// What was observed of one query at both ends. The run checker fills it, the rules read it.
#ifndef BURLFALL_LAB_JUDGE_RECORD_H_
#define BURLFALL_LAB_JUDGE_RECORD_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "lab/witness/observer.h"

namespace burlfall::lab {

struct AttemptRecord {
  ArrivedAttempt seen;
  std::size_t try_number = 0;  // index in QueryRecord::tries
  bool ran = false;
  bool effect = false;
  bool answered = false;  // or dropped
  AttemptEnd how = AttemptEnd::kDropped;
  Micros answered_at = kNever;
  Micros link_ended_at = kNever;

  // When the attempt stopped being outstanding; kNever: it has not.
  Micros OverAt() const { return std::min(answered_at, link_ended_at); }
  bool Over() const { return OverAt() != kNever; }
};

struct TryRecord {
  Try client_try;
  Micros written_at = kNever;
  bool ended = false;
  End how = End::kLeft;
  Micros ended_at = 0;
  int status = 0;
  Mark mark;
  int answers = 0;  // complete answers

  bool Taken() const { return written_at != kNever; }
};

struct QueryRecord {
  std::vector<TryRecord> tries;         // in the order in which they were due
  std::vector<AttemptRecord> attempts;  // in the order of arrival
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_RECORD_H_
