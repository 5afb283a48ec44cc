// What voters of the council say to one another, and to those that follow, as values. wire.h puts them into
// bytes.
#ifndef BURLFALL_CONSENSUS_MESSAGE_H_
#define BURLFALL_CONSENSUS_MESSAGE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "io/time.h"

namespace burlfall::consensus {

// Who votes: a member by its name, and the disk that it promised on. `disk` is a number drawn when a voter's
// folder was made new (never 0): one that comes back with an empty disk has another, and is not the voter of
// before.
struct VoterId {
  std::string name;
  uint64_t disk = 0;
  auto operator<=>(const VoterId&) const = default;
};

struct Voter {
  VoterId id;
  std::string address;
  bool operator==(const Voter&) const = default;
};

struct Entry {
  enum class Kind : uint8_t {
    kNothing,  // a leader's first: with it, all before is committed
    kCommand,  // data: the state machine's
    kVoters,   // data: WriteVoters(); in force from the moment it is in a log
  };
  uint64_t index = 0;  // from 1 on, without a gap
  uint64_t term = 0;
  Kind kind = Kind::kNothing;
  Micros at = 0;  // council time: the leader's stamp, never below that of the entry before
  std::string data;
  bool operator==(const Entry&) const = default;
};

struct Snapshot {
  uint64_t index = 0;  // the last entry in it
  uint64_t term = 0;
  Micros at = 0;              // that entry's council time
  std::vector<Voter> voters;  // in force at that entry
  std::string data;           // the state machine's
  bool operator==(const Snapshot&) const = default;
};

// Between voters. Fields that a kind doesn't name are 0 or empty.
struct Message {
  enum class Kind : uint8_t {
    kPreVoteAsk,     // would you vote for me in `term`? index, log_term: the last entry; promises nothing
    kPreVoteAnswer,  // yes; term: as asked on a yes, the answerer's own on a no
    kVoteAsk,        // index, log_term; handed_over: the old leader wants it, although it is still heard
    kVoteAnswer,     // yes
    kAppend,         // index, log_term: the entry before the first of `entries`; commit, round, at
    kAppendAnswer,   // yes, index: the log agrees through there; no: try after `index`; commit: its last.
                     // round
    kPiece,          // of a snapshot: index, log_term, at, voters, total, offset, data, round
    kPieceAnswer,  // index: of the snapshot; offset: bytes that are there; yes: all of it, and durable. round
    kTimeoutNow,   // stand for election at once: the leader hands over
    kStop,         // the leader has had a yes to more than this voter\'s disk holds: it is an older one
  };
  Kind kind = Kind::kAppend;
  VoterId from;
  VoterId to;  // one with another disk passes it over
  uint64_t term = 0;
  uint64_t index = 0;
  uint64_t log_term = 0;
  bool yes = false;
  bool handed_over = false;
  uint64_t commit = 0;
  uint64_t round = 0;  // of the leader's: an answer repeats it, which confirms reads
  Micros at = 0;       // council time
  std::vector<Entry> entries;
  std::vector<Voter> voters;
  uint64_t total = 0;
  uint64_t offset = 0;
  std::string data;
  bool operator==(const Message&) const = default;
};

// From one that follows from outside: what is committed after `index`?
struct FollowAsk {
  std::string name;     // the member's
  uint64_t number = 0;  // the answer repeats it
  uint64_t index = 0;   // the last entry that it has, 0: none
  uint64_t term = 0;    // of that entry
  // A snapshot on its way: which one, and how much of it is there.
  uint64_t piece_index = 0;
  uint64_t offset = 0;
  bool operator==(const FollowAsk&) const = default;
};

struct FollowAnswer {
  enum class Kind : uint8_t {
    kEntries,  // those after (index, term), which may be none
    kPiece,    // of the snapshot (index, term)
    kLater,    // too many ask: again in a while, or somebody else
    kUnknown,  // the entry that was named is not in this voter's log, or not committed as far as it knows
  };
  uint64_t number = 0;
  Kind kind = Kind::kEntries;
  VoterId from;
  VoterId leader;  // as the answerer knows; may be empty
  uint64_t commit = 0;
  uint64_t index = 0;
  uint64_t term = 0;
  std::vector<Entry> entries;  // committed, without a gap
  std::vector<Voter> voters;   // in force, as far as committed
  Micros at = 0;               // of a piece
  uint64_t total = 0;
  uint64_t offset = 0;
  std::string data;
  bool operator==(const FollowAnswer&) const = default;
};

}  // namespace burlfall::consensus

#endif  // BURLFALL_CONSENSUS_MESSAGE_H_
