// A Raft-style replicated log: Core is one voter, Follower is a client that replicates the committed log
// without a vote. Both are pure state machines without I/O. Inputs are messages, completions of writes and
// the time; outputs are messages, writes, applied entries and notices. All randomness derives from a seed.
// docs/design/council.md, section "The log", compares the alternatives and names the guarantees.
//
// What the host does at each event (a message, a completed flush, next_at(), a call):
//   1. Call the core (OnMessage, OnWritten, Tick, Propose, Read, ...) with the time of a monotonic clock.
//   2. TakeWrites(): write to disk in order; report each number, or the last of several, to OnWritten().
//   3. TakeMessages(): send; messages may be lost. Those that need a durable write come out after
//   OnWritten().
//   4. TakeApplied(): apply to the state machine in order. TakeReads(): answer readers. TakeNotices(): log.
// Steps 2 to 4 may run in any order, and a write may take any time: the core goes on meanwhile.
#ifndef BURLFALL_CONSENSUS_CORE_H_
#define BURLFALL_CONSENSUS_CORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "consensus/message.h"
#include "io/time.h"

namespace burlfall::consensus {

// Settings of a voter.
struct Rules {
  Micros heartbeat_interval = 100 * kMs;
  // A voter that hears no leader starts an election after a random timeout from [election_min, election_max).
  // A leader that does not hear from a majority for election_max steps down.
  Micros election_min = 400 * kMs;
  Micros election_max = 800 * kMs;
  Micros resend_timeout = 200 * kMs;   // for the response to a batch or snapshot chunk
  Micros join_timeout = 30 * kSecond;  // for a new voter to catch up before its change is proposed
  Micros transfer_timeout = kSecond;   // for the target to be elected; then proposals are accepted again
  size_t max_voters = 7;
  size_t max_uncommitted = 1024;        // entries that a leader accepts beyond the commit index
  size_t max_entry_bytes = 256 * 1024;  // of an entry's data
  size_t batch_entries = 128;           // limit in one append, and in one response to a follower
  size_t batch_bytes = 512 * 1024;      // likewise; one entry is always sent
  size_t chunk_bytes = 256 * 1024;      // of a snapshot
  size_t max_snapshot_bytes = 64 << 20;
  size_t keep_entries = 1024;  // retained before the snapshot's index, for peers slightly behind
  size_t max_waiting_reads = 4096;
  size_t max_follow_responses = 400;  // per second, to followers; further requests get kRetryLater
  // Safety rules of the protocol. Tests switch them off one at a time to show which failure each prevents; a
  // program leaves all of them on.
  bool votes_wait_for_flush = true;
  bool appends_wait_for_flush = true;
  bool counts_itself_after_flush = true;
  bool commits_own_term_only = true;
  bool reads_confirm_leadership = true;  // by responses of a majority to messages sent after the read arrived
  bool reads_wait_for_own_term = true;
  bool pre_vote = true;
  bool check_quorum = true;
  bool one_change_at_a_time = true;
  bool votes_for_newer_log_only = true;
  bool votes_once = true;             // in a term
  bool checks_previous_entry = true;  // an append must match the entry before it
  bool stops_on_failed_write = true;
};

struct Setup {
  VoterId self;
  Rules rules;
  uint64_t seed = 0;  // for random timeouts; must differ at each start
  // Log time to start from while neither the log nor a leader provides one, for instance Unix time. Only the
  // very first leader stamps entries by it.
  Micros initial_log_time = 0;
};

// What the disk held at the start. Empty: a new voter's folder. Such a voter stays silent until a leader
// contacts it, which happens after an operator has it added with ChangeVoter() at the leader.
struct PersistentState {
  uint64_t term = 0;
  std::optional<VoterId> vote;  // given in `term`
  Snapshot snapshot;            // index 0: none; `voters` is then the log's initial configuration
  // In order without gaps. It may begin before the snapshot's end, but at the latest with the next entry
  // after it.
  std::vector<Entry> log;
};

// The initial state of a new log. An operator bootstraps exactly ONE voter with it, once: that voter is the
// only one, leads, and the others are added one by one. The first entry's index is above `index_floor`, which
// is 0 except when a log is started anew after the loss of a majority: then it is above each index that
// anybody may have seen, and `state` is the initial state of the state machine.
PersistentState BootstrapState(const Voter& self, uint64_t index_floor = 0, std::string state = "");

// State that must be made durable. Writes are executed in the order of their numbers, as a later one may
// depend on an earlier one; after a failure no further write is executed.
struct DiskWrite {
  uint64_t number = 0;
  // Replaces the term and vote on disk.
  struct TermVote {
    uint64_t term = 0;
    std::optional<VoterId> vote;
  };
  std::optional<TermVote> term_vote;
  // Replaces the snapshot on disk.
  std::optional<Snapshot> snapshot;
  // If not 0: drop the entries below this index, once the snapshot is durable. A crash between the two is
  // harmless: Begin() accepts what is left and repeats the unfinished write.
  uint64_t keep_from = 0;
  // If not 0: replace all entries from this index on by `entries` (which may be empty).
  uint64_t replace_from = 0;
  std::vector<Entry> entries;
};

struct Outgoing {
  // Address of the voter in the log's configuration. Empty for a response to a sender that the configuration
  // of this core does not name (a leader that replicates to a new voter): it goes back to where the message
  // came from.
  std::string address;
  Message message;  // message.to is the receiver
};

// Input for the state machine, each index once and in order since Begin(): either a snapshot, which replaces
// all state (one with empty data resets to the initial state), or an entry. Entries of kinds kNoOp and
// kVoters are included.
struct Applied {
  std::optional<Snapshot> snapshot;
  Entry entry;  // if there is no snapshot
};

enum class Refusal : uint8_t {
  kNone,
  kNotLeader,       // ask the one in `leader`; if it is empty, wait for an election
  kNoMajority,      // a leader that lost its leadership: as kNotLeader, and the outcome of a read is unknown
  kDiskLost,        // this voter has stopped after a disk failure: see its notice
  kBusy,            // too many entries or reads are waiting for the majority: retry shortly
  kTooLarge,        // larger than Rules::max_entry_bytes
  kHandingOver,     // leadership is being transferred: retry shortly
  kTermTooYoung,    // no entry of this leader's term is committed yet: retry shortly
  kChangeUnderWay,  // an earlier change of voters is not committed yet
  kAlreadyVoter,    // also if a voter has the same name with another disk: remove that one first
  kUnknownVoter,
  kTooManyVoters,
  kLastVoter,  // the only voter can't be removed
};
const char* NameOf(Refusal refusal);  // such as "not-leader"

// Result of Propose() and ChangeVoter(). Accepted does not mean committed: the proposal is committed once an
// entry of this index AND term comes out of TakeApplied(). If an entry of another term comes out at this
// index, the proposal was lost and may be repeated. If this core loses leadership or its process ends first,
// the outcome is unknown.
struct ProposeResult {
  Refusal refusal = Refusal::kNone;
  VoterId leader;       // with kNotLeader: the leader as far as known; otherwise with an empty name
  std::string address;  // the leader's
  uint64_t index = 0;   // 0 for a new voter, which catches up first: a notice reports the result
  uint64_t term = 0;
};

struct ReadResult {
  uint64_t token = 0;
  Refusal refusal = Refusal::kNone;
  VoterId leader;
  std::string address;
  // The entries through this one are available from TakeApplied() by now: with them applied, the state is
  // current as of some moment after the call.
  uint64_t index = 0;
};

// An event to be logged.
struct Notice {
  enum class Kind : uint8_t {
    kBecameLeader,   // this voter leads, from `term` on
    kSteppedDown,    // `text`: "newer term", "no majority", "removed", "disk", "handed over"
    kFollowsLeader,  // `who` leads in `term`
    kNoLeader,       // no leader was heard for an election timeout
    kVotersChanged,  // the configuration changed with the entry at `index`
    kJoined,         // `who` has caught up; the change that adds it is proposed at `index`
    kJoinFailed,     // `who` did not catch up in time, or the leader changed first
    kTransferFailed,
    // A write failed, or the disk was unusable at Begin(): this voter neither votes nor leads until it is
    // restarted. Operator: repair the disk; start with the same folder if it is undamaged, otherwise with an
    // empty one as a new voter, which has to be added by a change of voters.
    kDiskLost,
    // Reported by the leader: `who` no longer has the entries through `index` that it acknowledged. It is not
    // counted in this term and is told to stop. Operator: for that voter as with kDiskLost.
    kOlderDisk,
    kMessageDropped,  // `text`: the reason; counted in dropped()
  };
  Kind kind = Kind::kBecameLeader;
  uint64_t term = 0;
  uint64_t index = 0;
  VoterId who;
  std::string text;
};
const char* NameOf(Notice::Kind kind);

enum class Role : uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };
const char* NameOf(Role role);

// One voter. See the head of this file for how a host drives it.
class Core {
 public:
  explicit Core(Setup setup);

  // Called once, before anything else. `may_vote` is false if the disk can't be relied on (full, read-only,
  // damaged, another voter's). The core then takes no part among voters, as after a failed write: it does not
  // vote, acknowledge, lead or write. Only HandleFollowRequest() still works, from the state loaded at the
  // start; the host keeps its own state machine current with a Follower. Times are of a monotonic clock; a
  // time that lies before an earlier one counts as that earlier one.
  void Begin(Micros now, PersistentState stored, bool may_vote);
  void OnMessage(Micros now, const Message& message);
  // If ok, all writes through `number` are durable. If not, this write failed: the core stops voting and
  // leading, as a retry after a failed flush can't be trusted. Numbers that are not outstanding are ignored.
  void OnWritten(Micros now, uint64_t number, bool ok);
  void Tick(Micros now);
  Micros next_at() const;  // when Tick() is due

  ProposeResult Propose(Micros now, std::string data);
  // Linearizable read: the result comes from TakeReads(), after all entries that it needs have come from
  // TakeApplied().
  void Read(Micros now, uint64_t token);
  // One change at a time. A voter that is added catches up first. Removing the leader is allowed: it steps
  // down once the change is committed.
  enum class Change : uint8_t { kAdd, kRemove };
  ProposeResult ChangeVoter(Micros now, Change change, const Voter& voter);
  // Hands leadership to another voter as soon as it has the whole log; proposals are refused until then.
  Refusal Transfer(Micros now, const VoterId& to);
  // `data` is the state machine's state after entry `index`, which must have come out of TakeApplied():
  // earlier log entries may then be dropped. Ignored if not newer than the last snapshot, or larger than
  // max_snapshot_bytes.
  void SaveSnapshot(Micros now, uint64_t index, std::string data);
  // Response to a follower; contains committed entries only.
  FollowResponse HandleFollowRequest(Micros now, const FollowRequest& request);

  std::vector<DiskWrite> TakeWrites();
  std::vector<Outgoing> TakeMessages();
  std::vector<Applied> TakeApplied();
  std::vector<ReadResult> TakeReads();
  std::vector<Notice> TakeNotices();

  const VoterId& self() const { return setup_.self; }
  Role role() const { return role_; }
  uint64_t term() const { return term_; }
  const std::optional<VoterId>& leader() const { return leader_; }  // as far as known
  uint64_t commit() const { return commit_; }
  uint64_t first_index() const;  // of the retained log
  uint64_t last_index() const;
  // Null if the index is before the retained log or after its end.
  const Entry* entry(uint64_t index) const;
  const std::vector<Voter>& voters() const { return voters_; }  // the latest in the log, committed or not
  bool is_voter() const;
  bool may_vote() const { return may_vote_; }
  // The log time that this voter would assign now; never before that of the log's last entry.
  Micros log_time(Micros now) const;
  // For each other voter, when this leader last received a message from it (own clock). Empty unless this
  // voter leads. For a status page, and to name the missing voters.
  std::map<VoterId, Micros> last_contacts() const;
  const std::map<std::string, uint64_t>& dropped() const { return dropped_; }  // messages, by reason
  // All state that decisions depend on, except times: for a tool that explores every state.
  std::string Fingerprint() const;

 private:
  // What the leader knows of another voter, or of one that is being added.
  struct Peer {
    std::string address;
    uint64_t match = 0;            // its durable log matches this one through here
    uint64_t next = 1;             // next index to send
    uint64_t in_flight_index = 0;  // last index of the batch or snapshot in flight; 0: none
    Micros in_flight_since = 0;
    uint64_t acked_round = 0;     // the highest that it responded to
    uint64_t rejected_round = 0;  // the highest that it responded to with a rejection
    uint64_t match_round = 0;     // the last round sent when `match` was last raised
    bool stopped = false;         // its disk is older than its acknowledgements
    Micros last_contact = 0;
    std::shared_ptr<const Snapshot> sending_snapshot;  // set if it is too far behind for the retained log
    uint64_t snapshot_offset = 0;                      // bytes
  };
  struct Configuration {
    uint64_t index = 0;
    std::vector<Voter> voters;
  };
  // A message held back until a write is durable.
  struct HeldMessage {
    uint64_t number = 0;  // of the write
    Outgoing outgoing;
  };
  struct WaitingRead {
    uint64_t token = 0;
    uint64_t round = 0;  // leadership is confirmed once a majority responded to this round
    uint64_t index = 0;  // commit index to wait for; 0: unknown until an entry of this term is committed
  };
  struct Joining {
    Voter voter;
    Micros deadline = 0;
  };
  struct LeadershipTransfer {
    VoterId to;
    Micros deadline = 0;
  };

  uint64_t NextRandom();
  Micros AdvanceClock(Micros now);
  void AddNotice(Notice::Kind kind, const VoterId& who = {}, const std::string& text = "",
                 uint64_t index = 0);
  void DropMessage(const char* reason, const VoterId& who);

  uint64_t LastTerm() const;
  std::optional<uint64_t> TermAt(uint64_t index) const;
  const Entry& At(uint64_t index) const { return log_[index - log_first_]; }
  size_t Majority() const { return voters_.size() / 2 + 1; }
  const Voter* FindVoter(const VoterId& id) const;

  uint64_t QueueWrite(DiskWrite write);  // returns its number
  void QueueTermVote();
  void AppendToLog(Entry entry);  // in memory
  void TruncateFrom(uint64_t index);
  void ApplyConfiguration();
  void Send(const std::string& address, Message message, bool after_writes = false);
  Message MakeMessage(Message::Kind kind, const VoterId& to) const;
  void Respond(const Message& to, Message response, bool after_writes = false);
  void ReleaseHeldMessages();
  void StopVoting(const std::string& reason);

  void ResetElectionTimer();
  void BecomeFollower(uint64_t term, const std::optional<VoterId>& leader, const std::string& reason);
  void BecomePreCandidate();
  void RequestVotes(bool retry);
  void BecomeCandidate(bool handed_over);
  void BecomeLeader();
  void CountVotes();
  bool IsUpToDate(const Message& request) const;
  bool HasRecentLeader() const;

  void HandleVoteRequest(const Message& message);
  void HandleVoteResponse(const Message& message);
  void HandleAppend(const Message& message);
  void HandleAppendResponse(const Message& message);
  void HandleSnapshotChunk(const Message& message);
  void HandleSnapshotChunkResponse(const Message& message);
  bool AcceptLeader(const Message& message);
  void InstallSnapshot(Snapshot snapshot);

  uint64_t AppendAsLeader(Entry::Kind kind, std::string data);  // returns the new entry's index
  void SendToPeer(const VoterId& id, Peer& peer, bool heartbeat);
  void SendBatch(const VoterId& id, Peer& peer);
  void SendSnapshotChunk(const VoterId& id, Peer& peer);
  void SendHeartbeats();
  void SendToPeers();
  void AdvanceCommit();
  void CommitThrough(uint64_t index);
  void CompleteReads();
  void RefuseReads(Refusal reason);
  void AddCaughtUpVoter();
  void ContinueTransfer();
  bool HasMajorityContact() const;
  ProposeResult Refuse(Refusal reason) const;

  const Setup setup_;
  const Rules rules_;
  uint64_t random_state_;
  Micros now_ = 0;
  bool began_ = false;
  bool may_vote_ = false;

  uint64_t term_ = 0;
  std::optional<VoterId> vote_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::deque<Entry> log_;
  uint64_t log_first_ = 1;
  std::deque<Configuration> configurations_;  // the first is the snapshot's, which is committed
  std::vector<Voter> voters_;                 // of the last configuration
  uint64_t commit_ = 0;
  uint64_t applied_index_ = 0;  // last index handed out through TakeApplied()

  Role role_ = Role::kFollower;
  std::optional<VoterId> leader_;
  Micros leader_contact_at_ = 0;
  bool leader_contacted_ = false;  // since Begin()
  Micros election_deadline_ = 0;
  Micros vote_retry_at_ = 0;
  std::set<VoterId> votes_;  // granted to this voter, or pre-votes
  uint64_t vote_write_ = 0;  // number of the write with its own vote, which counts once that is durable
  bool handed_over_ = false;
  // A snapshot that is being received.
  Snapshot incoming_snapshot_;
  // Log time: `log_time_` when the own clock was `log_time_set_at_`.
  Micros log_time_ = 0;
  Micros log_time_set_at_ = 0;

  uint64_t last_write_ = 0;     // number of the last queued write
  uint64_t durable_write_ = 0;  // number of the last durable write
  uint64_t durable_index_ = 0;
  std::deque<std::pair<uint64_t, uint64_t>> pending_writes_;  // number, and the log's last index with it
  std::deque<HeldMessage> held_messages_;

  std::map<VoterId, Peer> peers_;  // of a leader
  uint64_t own_term_index_ = 0;    // first entry of this leader's term
  uint64_t round_ = 0;             // counts the appends and snapshot chunks sent
  Micros heartbeat_at_ = 0;
  std::deque<WaitingRead> waiting_reads_;
  uint64_t read_round_ = 0;  // last round sent for reads
  std::optional<Joining> joining_;
  std::optional<LeadershipTransfer> transfer_;
  Micros follow_window_start_ = 0;  // of the second in which follow_responses_ counts
  size_t follow_responses_ = 0;

  std::vector<DiskWrite> writes_;
  std::vector<Outgoing> outgoing_;
  std::vector<Applied> applied_;
  std::vector<ReadResult> read_results_;
  std::vector<Notice> notices_;
  std::map<std::string, uint64_t> dropped_;
};

// Settings of a follower, which polls the voters in turn for committed entries and checks that each response
// continues its own log. It costs a voter one small response per poll interval and follower, limited by the
// voter's Rules::max_follow_responses.
struct FollowerRules {
  Micros poll_interval = 500 * kMs;   // plus a random part of up to half of it
  Micros response_timeout = kSecond;  // before another voter is asked
  size_t max_snapshot_bytes = 64 << 20;
};

// A member without a vote that replicates the committed log.
class Follower {
 public:
  // `name` is the member's; `seeds` are the addresses of voters in the settings. The voters named in the log
  // replace them once they are known.
  Follower(FollowerRules rules, std::string name, std::vector<std::string> seeds, uint64_t seed);

  void Begin(Micros now);
  void OnResponse(Micros now, const FollowResponse& response);
  void Tick(Micros now);
  void PollNow(Micros now);  // does not wait for the poll interval; still only one request is in flight
  Micros next_at() const;    // when Tick() is due

  struct Request {
    std::string address;
    FollowRequest request;
  };
  std::vector<Request> TakeRequests();
  std::vector<Applied> TakeApplied();

  uint64_t applied() const { return index_; }                    // the last entry that it has
  uint64_t known_commit() const { return known_commit_; }        // the highest that a voter reported
  Micros last_response_at() const { return last_response_at_; }  // from any voter; 0: never
  const std::vector<Voter>& voters() const { return voters_; }
  const VoterId& leader() const { return leader_; }  // as the last responding voter knew; may be empty
  uint64_t rejected() const { return rejected_; }    // responses that did not continue its log

 private:
  uint64_t NextRandom();
  void NextVoter(bool failed);
  bool AcceptEntries(const FollowResponse& response);
  bool AcceptSnapshotChunk(const FollowResponse& response);

  const FollowerRules rules_;
  const std::string name_;
  const std::vector<std::string> seeds_;
  std::vector<std::string> addresses_;
  uint64_t random_state_;
  uint64_t last_number_ = 0;  // of the last request
  uint64_t in_flight_ = 0;    // number of the request in flight; 0: none
  Micros requested_at_ = 0;
  Micros next_request_at_ = 0;
  size_t turn_ = 0;                // modulo the number of addresses: the voter to ask next
  uint64_t index_ = 0, term_ = 0;  // of the last entry that it has
  uint64_t known_commit_ = 0;
  std::vector<Voter> voters_;
  VoterId leader_;
  Micros last_response_at_ = 0;
  uint64_t rejected_ = 0;
  size_t failures_ = 0;         // consecutive
  size_t unknown_entries_ = 0;  // consecutive kUnknownEntry responses
  // A snapshot that is being received.
  uint64_t snapshot_index_ = 0, snapshot_term_ = 0;
  std::string snapshot_data_;
  std::vector<Request> requests_;
  std::vector<Applied> applied_;
};

}  // namespace burlfall::consensus

#endif  // BURLFALL_CONSENSUS_CORE_H_
