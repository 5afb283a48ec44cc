// Messages between the voters of the replicated log, and between voters and followers, as plain structs.
// wire.h encodes them.
#ifndef BURLFALL_CONSENSUS_MESSAGE_H_
#define BURLFALL_CONSENSUS_MESSAGE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "io/time.h"

namespace burlfall::consensus {

// Identity of a voter: the member's name, and the disk that holds its vote and log. `disk` is a random
// number, never 0, chosen when the voter's data folder is created. A member that returns with an empty disk
// gets a new number and therefore is a different voter: the votes and acknowledgements of the lost disk don't
// bind it.
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

// Log time is a clock of the replicated log in microseconds, for instance Unix time: the leader stamps each
// entry with it, and it never goes backwards along the log. State machines that go by it decide the same on
// every member.
struct Entry {
  enum class Kind : uint8_t {
    kNoOp,     // a leader's first entry; committing it commits all entries before it
    kCommand,  // `data` belongs to the state machine
    kVoters,   // `data` is EncodeVoters(); takes effect as soon as the entry is in a log, committed or not
  };
  uint64_t index = 0;  // starts at 1, without gaps
  uint64_t term = 0;
  Kind kind = Kind::kNoOp;
  Micros log_time = 0;  // assigned by the leader; never less than that of the entry before
  std::string data;
  bool operator==(const Entry&) const = default;
};

struct Snapshot {
  uint64_t index = 0;  // of the last entry that it includes
  uint64_t term = 0;
  Micros log_time = 0;        // of that entry
  std::vector<Voter> voters;  // the configuration as of that entry
  std::string data;           // the state machine's state
  bool operator==(const Snapshot&) const = default;
};

// A message between voters. Each kind lists the fields that it uses; the others are 0 or empty.
struct Message {
  enum class Kind : uint8_t {
    // Asks whether the receiver would vote for the sender in `term`; changes no state at the receiver. index,
    // log_term: of the sender's last entry.
    kPreVoteRequest,
    kPreVoteResponse,  // accepted. term: the requested one if accepted, otherwise the responder's own
    // index, log_term: of the candidate's last entry. handed_over: the old leader asked for this election, so
    // a voter grants its vote although it still hears that leader.
    kVoteRequest,
    kVoteResponse,  // accepted
    // index, log_term: of the entry before the first of `entries`; commit, round, log_time. Without
    // entries it is a heartbeat.
    kAppend,
    // accepted: the logs match through `index`. Not accepted: try again after `index`; commit: the
    // responder's last index. Both: round.
    kAppendResponse,
    kSnapshotChunk,  // index, log_term, log_time, voters: of the snapshot; total, offset, data, round
    // index: of the snapshot; offset: bytes received so far; accepted: all received and durable; round
    kSnapshotChunkResponse,
    kTimeoutNow,  // the leader hands over: the receiver starts an election at once
    // The receiver's log lacks entries that it acknowledged to the leader: its disk is an older copy.
    kStopVoting,
  };
  Kind kind = Kind::kAppend;
  VoterId from;
  VoterId to;  // a voter with another disk number ignores the message
  uint64_t term = 0;
  uint64_t index = 0;
  uint64_t log_term = 0;
  bool accepted = false;
  bool handed_over = false;
  uint64_t commit = 0;
  uint64_t round = 0;  // the leader's counter of sent messages; a response repeats it, which confirms reads
  Micros log_time = 0;
  std::vector<Entry> entries;
  std::vector<Voter> voters;
  uint64_t total = 0;   // bytes of the whole snapshot
  uint64_t offset = 0;  // bytes
  std::string data;
  bool operator==(const Message&) const = default;
};

// A follower's request for the committed entries after `index`.
struct FollowRequest {
  std::string name;     // of the member that follows
  uint64_t number = 0;  // the response repeats it
  uint64_t index = 0;   // of the last entry that the follower has; 0: none
  uint64_t term = 0;    // of that entry
  // The snapshot that is being received, and the number of bytes received so far.
  uint64_t snapshot_index = 0;
  uint64_t offset = 0;
  bool operator==(const FollowRequest&) const = default;
};

struct FollowResponse {
  enum class Kind : uint8_t {
    kEntries,        // the entries after (index, term); may be empty
    kSnapshotChunk,  // of the snapshot (index, term)
    kRetryLater,     // rate limited: ask again later, or ask another voter
    kUnknownEntry,   // the named entry is not in this voter's log, or not committed as far as it knows
  };
  uint64_t number = 0;
  Kind kind = Kind::kEntries;
  VoterId from;
  VoterId leader;  // as far as the responder knows; may be empty
  uint64_t commit = 0;
  uint64_t index = 0;
  uint64_t term = 0;
  std::vector<Entry> entries;  // committed, without gaps
  std::vector<Voter> voters;   // the latest committed configuration
  Micros log_time = 0;         // of the snapshot
  uint64_t total = 0;          // bytes of the whole snapshot
  uint64_t offset = 0;         // bytes
  std::string data;
  bool operator==(const FollowResponse&) const = default;
};

}  // namespace burlfall::consensus

#endif  // BURLFALL_CONSENSUS_MESSAGE_H_
