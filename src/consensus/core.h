// The council's agreed log: one voter's core, and whoever follows from outside. They decide, and do nothing:
// messages, what came of writes, and the time go in; messages, writes, applied entries and notices come out.
// Their chance is a seed. docs/design/council.md, section "The log", weighs the ways and names the promises.
//
// How a carrier goes round, at each event (a message, a flush's end, next_at(), a call):
//   1. tell the core (Heard, Wrote, Tick, Propose, Read, ...), with the time of its monotonic clock;
//   2. TakeWrites(): put them on disk in order, and tell Wrote() of each number or of the last of several;
//   3. TakeMessages(): send them; a loss is nobody's fault. What rests on a write comes out after Wrote();
//   4. TakeApplied(): give them to the state machine, in order; TakeReads(): answer; TakeNotices(): log.
// Steps 2 to 4 in any order, and a write may take as long as it will: a core goes on in the meantime.
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

struct Rules {
  Micros heartbeat = 100 * kMs;
  // Without a word from a leader, a voter asks whether it would be elected after a span drawn from these. A
  // leader that hears no majority for `election_most` steps down.
  Micros election_least = 400 * kMs;
  Micros election_most = 800 * kMs;
  Micros resend = 200 * kMs;            // a batch or piece without an answer
  Micros join_patience = 30 * kSecond;  // for a new voter to catch up before it is brought in
  Micros transfer_patience = kSecond;   // for another to take office; then proposals are taken again
  size_t most_voters = 7;
  size_t most_uncommitted = 1024;      // entries that a leader takes before the earlier ones are committed
  size_t largest_entry = 256 * 1024;   // bytes of data
  size_t batch_entries = 128;          // in one append, and in one answer to a follower
  size_t batch_bytes = 512 * 1024;     // likewise; one entry always goes
  size_t piece_bytes = 256 * 1024;     // of a snapshot
  size_t largest_snapshot = 64 << 20;  // bytes
  size_t keep_entries = 1024;          // behind a snapshot, for those a little behind
  size_t most_reads = 4096;            // waiting at one time
  size_t follow_answers = 400;         // a second, to those that follow from outside; more are put off
  // Taken away one by one to see what each is for; a program leaves them as they are.
  bool votes_wait_for_flush = true;
  bool appends_wait_for_flush = true;
  bool counts_itself_after_flush = true;
  bool commits_own_term_only = true;
  bool reads_confirm = true;  // by a round of answers that began after the read came
  bool reads_wait_for_own_term = true;
  bool pre_vote = true;
  bool check_quorum = true;
  bool one_change_at_a_time = true;
  bool votes_for_newer_log_only = true;
  bool votes_once = true;       // in a term
  bool checks_previous = true;  // an append fits on the entry before it
  bool stops_on_failed_write = true;
};

struct Setup {
  VoterId self;
  Rules rules;
  uint64_t seed = 0;  // of its draws: another one at each start
  // Council time where the log and the leader have told none yet, for instance Unix time. Only the very first
  // leader stamps by it.
  Micros wall = 0;
};

// What a disk held at the start. Empty: a new voter's folder; it is silent until a leader speaks to it, which
// happens once an operator has it brought in by ChangeVoter() elsewhere.
struct Stored {
  uint64_t term = 0;
  std::optional<VoterId> vote;  // given in `term`
  Snapshot snapshot;            // index 0: none, `voters` are those that the log began with
  // In order without a gap. It may begin before the snapshot's end, and never after the entry next to it.
  std::vector<Entry> log;
};

// The log's very beginning, by an operator's call, on ONE voter and once: it is then the only one, leads, and
// the others are brought in one by one. `floor`: the first entry's index is above it (0 but where a council
// begins anew after its majority was lost; then above each index that anybody may have seen).
Stored FirstVoter(const Voter& self, uint64_t floor = 0);

// What has to be durable. To be done in the order of the numbers: a later one may rest on an earlier, and
// after one that failed none is done any more.
struct DiskWrite {
  uint64_t number = 0;
  // These replace the term and vote on disk.
  struct Promise {
    uint64_t term = 0;
    std::optional<VoterId> vote;
  };
  std::optional<Promise> promise;
  // The snapshot on disk is replaced whole.
  std::optional<Snapshot> snapshot;
  // Not 0: entries below this index are dropped, after the snapshot is durable. A crash between the two is
  // fine: Begin() takes what is left, and writes again what was not done.
  uint64_t keep_from = 0;
  // Not 0: all entries from this index on are replaced by `entries` (which may be empty).
  uint64_t from = 0;
  std::vector<Entry> entries;
};

struct Outgoing {
  // Of the voter, as the log's configuration has it. Empty: an answer to one that this core's configuration
  // does not name (a leader that feeds a new voter): it goes back where the message came from.
  std::string address;
  Message message;  // message.to says who it is for
};

// For the state machine, each index once and in order since Begin(): a snapshot, which replaces all state
// (with empty data: by the state that everything begins with), or an entry. Entries of kind kNothing and
// kVoters come as well.
struct Applied {
  std::optional<Snapshot> snapshot;
  Entry entry;  // where there is no snapshot
};

enum class Refusal : uint8_t {
  kNone,
  kNotLeader,       // ask the one in `leader`, or wait for an election where it is empty
  kNoMajority,      // a leader that has lost its office: as kNotLeader, and the outcome of a read is unknown
  kDiskLost,        // this voter has stopped: see its notice
  kBusy,            // too much is waiting for the majority: again in a moment
  kTooLarge,        // larger than Rules::largest_entry
  kHandingOver,     // another one is about to lead: again in a moment
  kTermTooYoung,    // nothing of this leader's term is committed yet: again in a moment
  kChangeUnderWay,  // an earlier change of voters is not committed yet
  kAlreadyVoter,    // also where the same name is a voter with another disk: that one is removed first
  kUnknownVoter,
  kTooManyVoters,
  kLastVoter,  // the only one can't be removed
};
const char* NameOf(Refusal refusal);  // such as "not-leader"

// Of Propose() and ChangeVoter(). Taken is not yet agreed: it is once an entry of this index AND term comes
// out of TakeApplied(). If another term's entry comes at this index, it was lost and may be proposed again.
// If this core loses its office or its process first, the outcome is open.
struct Proposed {
  Refusal refusal = Refusal::kNone;
  VoterId leader;       // with kNotLeader: who leads, as far as known; else with an empty name
  std::string address;  // its address
  uint64_t index = 0;   // 0 for a new voter that catches up first: a notice tells the end
  uint64_t term = 0;
};

struct ReadAnswer {
  uint64_t token = 0;
  Refusal refusal = Refusal::kNone;
  VoterId leader;
  std::string address;
  // All entries through this one are in TakeApplied() by now: the state then is current, as of some moment
  // after the call.
  uint64_t index = 0;
};

struct Notice {
  enum class What : uint8_t {
    kLeads,        // this voter, from `term` on
    kSteppedDown,  // `text`: "newer term", "no majority", "removed", "disk", "handed over"
    kFollows,      // `who` leads in `term`
    kNoLeader,     // none has been heard for an election time-out
    kVoters,       // the configuration is now another one; index
    kJoined,       // `who` has caught up and its change is proposed, at `index`
    kJoinFailed,   // `who` did not catch up in time, or the leader changed first
    kTransferFailed,
    kDiskLost,   // a write failed, or the disk was not fit at Begin(): no vote, no lead until a new start.
                 // Operator: mend the disk; start with the same folder if it is whole, or else with an
                 // empty one as a new voter, that is brought in by a change of voters
    kOlderDisk,  // told by the leader: `who` has no longer what it had said yes to, through `index`. It
                 // counts for nothing in this term and is told to stop. Operator: as kDiskLost, for that
                 // voter
    kDropped,    // a message, `text` why; counted in dropped()
  };
  What what = What::kLeads;
  uint64_t term = 0;
  uint64_t index = 0;
  VoterId who;
  std::string text;
};
const char* NameOf(Notice::What what);

enum class Role : uint8_t { kFollower, kAsking, kCandidate, kLeader };  // kAsking: before a vote (pre-vote)
const char* NameOf(Role role);

class Core {
 public:
  explicit Core(Setup setup);

  // Once, before anything else. `may_vote` is false where the disk is not fit to promise on (full, read-only,
  // damaged, another voter's). Then, as after a write that failed, it is silent among voters: no vote, no
  // yes, no lead, no writes. Only Answer() goes on, with what it knew; the carrier keeps the member's own
  // state machine up by a Follower. Times are of a monotonic clock; one that goes backwards counts as
  // standing still.
  void Begin(Micros now, Stored stored, bool may_vote);
  void Heard(Micros now, const Message& message);
  // All writes through `number` are durable; or this one failed (a flush that failed once is never believed
  // again): the core stops voting and leading. Numbers that are not outstanding are passed over.
  void Wrote(Micros now, uint64_t number, bool ok);
  void Tick(Micros now);
  Micros next_at() const;  // Tick() has something to do then

  Proposed Propose(Micros now, std::string data);
  // The answer comes from TakeReads(), after as many entries as it needs have come from TakeApplied().
  void Read(Micros now, uint64_t token);
  // One at a time. A voter that is added catches up first. Removing the leader is allowed: it steps down when
  // that is committed.
  enum class Change : uint8_t { kAdd, kRemove };
  Proposed ChangeVoter(Micros now, Change change, const Voter& voter);
  // Another voter takes office as soon as it has the whole log; proposals are refused until then.
  Refusal Transfer(Micros now, const VoterId& to);
  // The state machine was saved as it is after entry `index`, which must have come out of TakeApplied(): the
  // log before may be dropped. Passed over if not newer than the last, or larger than largest_snapshot.
  void SaveSnapshot(Micros now, uint64_t index, std::string data);
  // To one that follows from outside; only what is committed.
  FollowAnswer Answer(Micros now, const FollowAsk& ask);

  std::vector<DiskWrite> TakeWrites();
  std::vector<Outgoing> TakeMessages();
  std::vector<Applied> TakeApplied();
  std::vector<ReadAnswer> TakeReads();
  std::vector<Notice> TakeNotices();

  const VoterId& self() const { return setup_.self; }
  Role role() const { return role_; }
  uint64_t term() const { return term_; }
  const std::optional<VoterId>& leader() const { return leader_; }  // as far as known
  uint64_t commit() const { return commit_; }
  uint64_t first_index() const;  // of the log that is kept
  uint64_t last_index() const;
  // Nothing where the log is not kept so far back, or ends before.
  const Entry* entry(uint64_t index) const;
  const std::vector<Voter>& voters() const { return voters_; }  // the latest in the log, committed or not
  bool is_voter() const;
  bool may_vote() const { return may_vote_; }
  // Council time now, as this voter would stamp it: never behind the log's last entry.
  Micros council_now(Micros now) const;
  // Of each other voter: when it was last heard by this one as a leader (own clock); for a status page and
  // for naming who is missing.
  std::map<VoterId, Micros> heard_at() const;
  const std::map<std::string, uint64_t>& dropped() const { return dropped_; }  // messages, by why
  // All that it decides by, but for times: for a tool that goes through every state.
  std::string Fingerprint() const;

 private:
  // What the leader knows of another voter, or of one that is to be brought in.
  struct Peer {
    std::string address;
    uint64_t match = 0;  // its log agrees with this one through here, durably
    uint64_t next = 1;   // to be sent
    uint64_t out = 0;    // last index of the batch under way; 0: none
    Micros out_at = 0;
    uint64_t round = 0;        // the highest that it has answered
    uint64_t no_round = 0;     // likewise with no
    uint64_t match_round = 0;  // the last that was sent when `match` came to be known
    bool stopped = false;      // its disk is older than its promises
    Micros heard_at = 0;
    std::shared_ptr<const Snapshot> sending;  // it is that far behind
    uint64_t offset = 0;
  };
  struct Configuration {
    uint64_t index = 0;
    std::vector<Voter> voters;
  };
  struct Held {
    uint64_t number = 0;  // of the write that it rests on
    Outgoing outgoing;
  };
  struct WaitingRead {
    uint64_t token = 0;
    uint64_t round = 0;  // answered by a majority, it counts
    uint64_t index = 0;  // 0: not known before an entry of this term is committed
  };
  struct Joining {
    Voter voter;
    Micros until = 0;
  };
  struct Handing {
    VoterId to;
    Micros until = 0;
  };

  uint64_t Draw();
  Micros NoticeTime(Micros now);
  void Note(Notice::What what, const VoterId& who = {}, const std::string& text = "", uint64_t index = 0);
  void Drop(const char* why, const VoterId& who);

  uint64_t LastTerm() const;
  std::optional<uint64_t> TermAt(uint64_t index) const;
  const Entry& At(uint64_t index) const { return log_[index - log_first_]; }
  size_t Majority() const { return voters_.size() / 2 + 1; }
  const Voter* FindVoter(const VoterId& id) const;

  uint64_t Keep(DiskWrite write);  // its number
  void KeepPromise();
  void Add(Entry entry);  // to the log in memory
  void CutFrom(uint64_t index);
  void TakeConfiguration();
  void Send(const std::string& address, Message message, bool rests_on_writes = false);
  Message Make(Message::Kind kind, const VoterId& to) const;
  void Answer(const Message& to, Message answer, bool rests_on_writes = false);
  void Release();
  void LoseDisk(const std::string& why);

  void Rest();  // until the next election time-out
  void Follow(uint64_t term, const std::optional<VoterId>& leader, const std::string& why);
  void AskAround();
  void AskVotes(bool again);
  void Stand(bool handed_over);
  void TakeOffice();
  void CountVotes();
  bool LogIsAsNew(const Message& ask) const;
  bool HearsLeader() const;

  void HeardAsk(const Message& message);
  void HeardVote(const Message& message);
  void HeardAppend(const Message& message);
  void HeardAppendAnswer(const Message& message);
  void HeardPiece(const Message& message);
  void HeardPieceAnswer(const Message& message);
  bool HearLeader(const Message& message);
  void Install(Snapshot snapshot);

  uint64_t Lead(Entry::Kind kind, std::string data);  // the new entry's index
  void SendTo(const VoterId& id, Peer& peer, bool heartbeat);
  void SendBatch(const VoterId& id, Peer& peer);
  void SendPiece(const VoterId& id, Peer& peer);
  void SendHeartbeats();
  void SendAll();
  void Advance();  // the commit, as the leader
  void CommitThrough(uint64_t index);
  void AnswerReads();
  void RefuseReads(Refusal why);
  void Join();
  void HandOver();
  bool HasMajority() const;
  Proposed Refuse(Refusal why) const;

  const Setup setup_;
  const Rules rules_;
  uint64_t draws_;
  Micros now_ = 0;
  bool began_ = false;
  bool may_vote_ = false;

  uint64_t term_ = 0;
  std::optional<VoterId> vote_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::deque<Entry> log_;
  uint64_t log_first_ = 1;
  std::deque<Configuration> configurations_;  // the first is committed in the snapshot
  std::vector<Voter> voters_;                 // the last of them
  uint64_t commit_ = 0;
  uint64_t given_ = 0;  // to TakeApplied()

  Role role_ = Role::kFollower;
  std::optional<VoterId> leader_;
  Micros leader_heard_at_ = 0;
  bool leader_heard_ = false;  // in this run
  Micros election_at_ = 0;
  Micros ask_again_at_ = 0;
  std::set<VoterId> yes_;
  uint64_t vote_write_ = 0;  // its own vote counts once this is durable
  bool handed_over_ = false;
  // A snapshot on its way in.
  Snapshot incoming_;
  // Council time: `council_` at `council_at_` of the own clock.
  Micros council_ = 0;
  Micros council_at_ = 0;

  uint64_t written_ = 0;  // number of the last write that came out
  uint64_t durable_ = 0;  // likewise that is done
  uint64_t durable_index_ = 0;
  std::deque<std::pair<uint64_t, uint64_t>> marks_;  // write under way, and the log's last index with it
  std::deque<Held> held_;

  std::map<VoterId, Peer> peers_;  // of a leader
  uint64_t own_term_index_ = 0;
  uint64_t round_ = 0;
  Micros heartbeat_at_ = 0;
  std::deque<WaitingRead> reads_;
  uint64_t read_round_ = 0;  // the last that was sent for reads
  std::optional<Joining> joining_;
  std::optional<Handing> handing_;
  Micros follow_second_ = 0;
  size_t followed_ = 0;

  std::vector<DiskWrite> writes_;
  std::vector<Outgoing> outgoing_;
  std::vector<Applied> applied_;
  std::vector<ReadAnswer> answers_;
  std::vector<Notice> notices_;
  std::map<std::string, uint64_t> dropped_;
};

// Whoever is no voter and follows: it asks voters in turn for what is committed, and checks that each answer
// goes on where it stands. The cost to a voter is one small answer in a period for each follower, and the
// voter's own bound (Rules::follow_answers).
struct FollowerRules {
  Micros period = 500 * kMs;  // between asks, with a draw of up to a half added
  Micros patience = kSecond;  // for an answer, before another voter is asked
  size_t largest_snapshot = 64 << 20;
};

class Follower {
 public:
  // `name` is a member's; `seeds` are addresses of voters known from the settings. Those of the log replace
  // them once it is known.
  Follower(FollowerRules rules, std::string name, std::vector<std::string> seeds, uint64_t seed);

  void Begin(Micros now);
  void Heard(Micros now, const FollowAnswer& answer);
  void Tick(Micros now);
  void AskNow(Micros now);  // something is wanted at once; bounded by one ask under way
  Micros next_at() const;

  struct Ask {
    std::string address;
    FollowAsk ask;
  };
  std::vector<Ask> TakeAsks();
  std::vector<Applied> TakeApplied();

  uint64_t applied() const { return index_; }       // through this entry it knows all
  uint64_t known_commit() const { return known_; }  // the highest that a voter told of
  Micros heard_at() const { return heard_at_; }     // last answer from any voter; 0: never
  const std::vector<Voter>& voters() const { return voters_; }
  const VoterId& leader() const { return leader_; }  // as the last answering voter knew; may be empty
  uint64_t damaged() const { return damaged_; }      // answers that did not fit what it has

 private:
  uint64_t Draw();
  void NextVoter(bool failed);
  bool TakeEntries(const FollowAnswer& answer);
  bool TakePiece(const FollowAnswer& answer);

  const FollowerRules rules_;
  const std::string name_;
  const std::vector<std::string> seeds_;
  std::vector<std::string> addresses_;
  uint64_t draws_;
  uint64_t number_ = 0;
  uint64_t asked_ = 0;  // the ask under way; 0: none
  Micros asked_at_ = 0;
  Micros ask_at_ = 0;
  size_t turn_ = 0;
  uint64_t index_ = 0, term_ = 0;  // of the last entry that it has
  uint64_t known_ = 0;
  std::vector<Voter> voters_;
  VoterId leader_;
  Micros heard_at_ = 0;
  uint64_t damaged_ = 0;
  size_t failures_ = 0;  // in a row
  size_t unknown_ = 0;   // voters in a row that don't know what it has
  // A snapshot on its way in.
  uint64_t piece_index_ = 0, piece_term_ = 0;
  std::string pieces_;
  std::vector<Ask> asks_;
  std::vector<Applied> applied_;
};

}  // namespace burlfall::consensus

#endif  // BURLFALL_CONSENSUS_CORE_H_
