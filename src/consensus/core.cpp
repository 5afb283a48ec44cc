// The voter of the replicated log: elections, replication, reads, changes of voters, snapshots.
#include "consensus/core.h"

#include <algorithm>
#include <functional>

#include "consensus/wire.h"

namespace burlfall::consensus {
namespace {

// Estimated bytes of an entry in a message besides its data.
constexpr size_t kEntryOverheadBytes = 64;
// A new voter is added once it is at most this many entries behind.
constexpr uint64_t kMaxJoinLag = 16;
constexpr size_t kMaxDropReasons = 64;     // distinct reasons in dropped()
constexpr size_t kMaxHeldMessages = 1024;  // messages that wait for a flush; further ones are dropped

}  // namespace

const char* NameOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kNotLeader:
      return "not-leader";
    case Refusal::kNoMajority:
      return "no-majority";
    case Refusal::kDiskLost:
      return "disk-lost";
    case Refusal::kBusy:
      return "busy";
    case Refusal::kTooLarge:
      return "too-large";
    case Refusal::kHandingOver:
      return "handing-over";
    case Refusal::kTermTooYoung:
      return "term-too-young";
    case Refusal::kChangeUnderWay:
      return "change-under-way";
    case Refusal::kAlreadyVoter:
      return "already-voter";
    case Refusal::kUnknownVoter:
      return "unknown-voter";
    case Refusal::kTooManyVoters:
      return "too-many-voters";
    case Refusal::kLastVoter:
      return "last-voter";
  }
  return "?";
}

const char* NameOf(Notice::Kind kind) {
  switch (kind) {
    case Notice::Kind::kBecameLeader:
      return "leads";
    case Notice::Kind::kSteppedDown:
      return "stepped-down";
    case Notice::Kind::kFollowsLeader:
      return "follows";
    case Notice::Kind::kNoLeader:
      return "no-leader";
    case Notice::Kind::kVotersChanged:
      return "voters";
    case Notice::Kind::kJoined:
      return "joined";
    case Notice::Kind::kJoinFailed:
      return "join-failed";
    case Notice::Kind::kTransferFailed:
      return "transfer-failed";
    case Notice::Kind::kDiskLost:
      return "disk-lost";
    case Notice::Kind::kOlderDisk:
      return "older-disk";
    case Notice::Kind::kMessageDropped:
      return "dropped";
  }
  return "?";
}

const char* NameOf(Role role) {
  switch (role) {
    case Role::kFollower:
      return "follower";
    case Role::kPreCandidate:
      return "asking";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
  }
  return "?";
}

PersistentState BootstrapState(const Voter& self, uint64_t index_floor, std::string state) {
  PersistentState stored;
  stored.snapshot.index = index_floor;
  stored.snapshot.voters = {self};
  stored.snapshot.data = std::move(state);
  return stored;
}

Core::Core(Setup setup) : setup_(std::move(setup)), rules_(setup_.rules), random_state_(setup_.seed) {
  snapshot_ = std::make_shared<Snapshot>();
}

// SplitMix64: yields the same sequence on every platform.
uint64_t Core::NextRandom() {
  uint64_t z = random_state_ += 0x9e3779b97f4a7c15;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

Micros Core::AdvanceClock(Micros now) { return now_ = std::max(now_, now); }

void Core::AddNotice(Notice::Kind kind, const VoterId& who, const std::string& text, uint64_t index) {
  notices_.push_back({kind, term_, index, who, text});
}

void Core::DropMessage(const char* reason, const VoterId& who) {
  if (dropped_.size() < kMaxDropReasons || dropped_.contains(reason)) ++dropped_[reason];
  AddNotice(Notice::Kind::kMessageDropped, who, reason);
}

// ---------------------------------------------------------------------------------------------- the log

uint64_t Core::first_index() const { return log_first_; }
uint64_t Core::last_index() const { return log_first_ + log_.size() - 1; }

const Entry* Core::entry(uint64_t index) const {
  return index < log_first_ || index > last_index() ? nullptr : &At(index);
}

uint64_t Core::LastTerm() const { return log_.empty() ? snapshot_->term : log_.back().term; }

// Returns nullopt if the index is before the retained log or after its end. Every log contains entry 0.
std::optional<uint64_t> Core::TermAt(uint64_t index) const {
  if (index == 0) return 0;
  if (index == snapshot_->index) return snapshot_->term;
  if (index < log_first_ || index > last_index()) return std::nullopt;
  return At(index).term;
}

const Voter* Core::FindVoter(const VoterId& id) const {
  for (const Voter& voter : voters_) {
    if (voter.id == id) return &voter;
  }
  return nullptr;
}

bool Core::is_voter() const { return FindVoter(setup_.self) != nullptr; }

uint64_t Core::QueueWrite(DiskWrite write) {
  write.number = ++last_write_;
  pending_writes_.emplace_back(write.number, last_index());
  writes_.push_back(std::move(write));
  return last_write_;
}

void Core::QueueTermVote() {
  DiskWrite write;
  write.term_vote = {term_, vote_};
  QueueWrite(std::move(write));
}

void Core::AppendToLog(Entry entry) {
  if (entry.kind == Entry::Kind::kVoters) {
    const auto voters = DecodeVoters(entry.data);
    if (voters && !voters->empty()) configurations_.push_back({entry.index, *voters});
  }
  log_.push_back(std::move(entry));
}

void Core::TruncateFrom(uint64_t index) {
  while (!log_.empty() && last_index() >= index) log_.pop_back();
  while (configurations_.size() > 1 && configurations_.back().index >= index) configurations_.pop_back();
  durable_index_ = std::min(durable_index_, index - 1);
  for (auto& pending : pending_writes_) pending.second = std::min(pending.second, index - 1);
}

// The last configuration in the log is in effect, committed or not.
void Core::ApplyConfiguration() {
  if (voters_ == configurations_.back().voters) return;
  voters_ = configurations_.back().voters;
  AddNotice(Notice::Kind::kVotersChanged, {}, "", configurations_.back().index);
  if (role_ != Role::kLeader) return;
  for (const Voter& voter : voters_) {
    if (voter.id == setup_.self) continue;
    Peer& peer = peers_[voter.id];
    peer.address = voter.address;
    if (peer.last_contact == 0) peer.last_contact = now_;
    if (peer.match == 0 && peer.next == 1) peer.next = last_index() + 1;
  }
  std::erase_if(peers_, [&](const auto& one) {
    return !FindVoter(one.first) && !(joining_ && joining_->voter.id == one.first);
  });
}

// ----------------------------------------------------------------------------------- inputs and outputs

void Core::Begin(Micros now, PersistentState stored, bool may_vote) {
  AdvanceClock(now);
  began_ = true;
  may_vote_ = may_vote;
  term_ = stored.term;
  vote_ = stored.vote;
  snapshot_ = std::make_shared<const Snapshot>(std::move(stored.snapshot));
  configurations_.push_back({snapshot_->index, snapshot_->voters});
  commit_ = snapshot_->index;
  log_first_ = stored.log.empty() ? snapshot_->index + 1 : stored.log.front().index;
  // The entries must be in order, without gaps and of no later term than the stored one, as the host has
  // checked. Otherwise none of them is used, and this voter does not vote.
  uint64_t next = log_first_;
  bool log_valid = log_first_ <= snapshot_->index + 1;
  for (const Entry& entry : stored.log) log_valid = log_valid && entry.index == next++ && entry.term <= term_;
  // A snapshot from the leader is written before the log is truncated. A power cut between the two leaves a
  // log that ends before the snapshot or has another entry at its index. The snapshot replaces such a log.
  bool replaced = !stored.log.empty() && next <= snapshot_->index;
  for (const Entry& entry : stored.log) {
    replaced = replaced || (entry.index == snapshot_->index && entry.term != snapshot_->term);
  }
  if (!log_valid || replaced) {
    log_first_ = snapshot_->index + 1;
    may_vote_ = may_vote_ && log_valid;
  } else {
    for (Entry& entry : stored.log) {
      if (entry.index <= snapshot_->index && entry.kind == Entry::Kind::kVoters) {
        log_.push_back(std::move(entry));  // the snapshot's voters include it already
      } else {
        AppendToLog(std::move(entry));
      }
    }
  }
  durable_index_ = last_index();
  applied_index_ = 0;
  if (snapshot_->index > 0) {
    applied_.push_back({*snapshot_, {}});
    applied_index_ = snapshot_->index;
  }
  voters_ = configurations_.back().voters;
  const Micros last_log_time = log_.empty() ? snapshot_->log_time : log_.back().log_time;
  log_time_ = last_log_time > 0 ? last_log_time : setup_.initial_log_time;
  log_time_set_at_ = now_;
  if (may_vote_ && replaced) {
    // Removes the old log from the disk before anything new is written.
    DiskWrite write;
    write.replace_from = write.keep_from = log_first_;
    QueueWrite(std::move(write));
  }
  if (!may_vote_) {
    AddNotice(Notice::Kind::kDiskLost, setup_.self,
              log_valid ? "disk unusable at the start" : "gap or wrong term in the stored log");
  }
  ResetElectionTimer();
  // A single voter need not wait for a leader.
  if (may_vote_ && is_voter() && voters_.size() == 1) election_deadline_ = now_;
}

void Core::OnWritten(Micros now, uint64_t number, bool ok) {
  AdvanceClock(now);
  if (number <= durable_write_ || number > last_write_ || !may_vote_) return;
  if (!ok && rules_.stops_on_failed_write) return StopVoting("a write failed");
  durable_write_ = number;
  while (!pending_writes_.empty() && pending_writes_.front().first <= number) {
    durable_index_ = pending_writes_.front().second;
    pending_writes_.pop_front();
  }
  ReleaseHeldMessages();
  if (role_ == Role::kCandidate) CountVotes();
  if (role_ == Role::kLeader) AdvanceCommit();
}

void Core::ReleaseHeldMessages() {
  while (!held_messages_.empty() && held_messages_.front().number <= durable_write_) {
    outgoing_.push_back(std::move(held_messages_.front().outgoing));
    held_messages_.pop_front();
  }
}

void Core::StopVoting(const std::string& reason) {
  held_messages_.clear();
  pending_writes_.clear();
  may_vote_ = false;
  if (role_ == Role::kLeader) {
    AddNotice(Notice::Kind::kSteppedDown, setup_.self, "disk");
    RefuseReads(Refusal::kDiskLost);
  }
  role_ = Role::kFollower;
  leader_.reset();
  peers_.clear();
  joining_.reset();
  transfer_.reset();
  writes_.clear();
  AddNotice(Notice::Kind::kDiskLost, setup_.self, reason);
}

Message Core::MakeMessage(Message::Kind kind, const VoterId& to) const {
  Message message;
  message.kind = kind;
  message.from = setup_.self;
  message.to = to;
  message.term = term_;
  return message;
}

// With `after_writes`, the message waits for the last queued write to become durable, and thereby for all
// earlier ones, as writes are executed in order.
void Core::Send(const std::string& address, Message message, bool after_writes) {
  if (after_writes && durable_write_ < last_write_) {
    // The disk hangs: drops the message, as the protocol tolerates lost messages.
    if (held_messages_.size() >= kMaxHeldMessages) return;
    held_messages_.push_back({last_write_, {address, std::move(message)}});
  } else {
    outgoing_.push_back({address, std::move(message)});
  }
}

// If the sender is not in the configuration (a leader, before this voter is added), the address is empty: the
// host responds to where the message came from, or looks up the member's name.
void Core::Respond(const Message& to, Message response, bool after_writes) {
  const Voter* voter = FindVoter(to.from);
  Send(voter ? voter->address : "", std::move(response), after_writes);
}

void Core::OnMessage(Micros now, const Message& message) {
  AdvanceClock(now);
  if (!began_ || !may_vote_) return;
  if (message.to != setup_.self) return DropMessage("for another disk", message.from);
  if (message.from == setup_.self) return DropMessage("from itself", message.from);
  switch (message.kind) {
    case Message::Kind::kPreVoteRequest:
    case Message::Kind::kVoteRequest:
      return HandleVoteRequest(message);
    case Message::Kind::kPreVoteResponse:
    case Message::Kind::kVoteResponse:
      return HandleVoteResponse(message);
    case Message::Kind::kAppend:
      return HandleAppend(message);
    case Message::Kind::kAppendResponse:
      return HandleAppendResponse(message);
    case Message::Kind::kSnapshotChunk:
      return HandleSnapshotChunk(message);
    case Message::Kind::kSnapshotChunkResponse:
      return HandleSnapshotChunkResponse(message);
    case Message::Kind::kTimeoutNow:
      if (message.term != term_ || leader_ != message.from || role_ == Role::kLeader || !is_voter()) return;
      return BecomeCandidate(true);
    case Message::Kind::kStopVoting:
      if (message.term < term_ || !FindVoter(message.from)) return;
      return StopVoting("disk older than its acknowledgements");
  }
}

void Core::Tick(Micros now) {
  AdvanceClock(now);
  if (!began_ || !may_vote_) return;
  if (role_ == Role::kLeader) {
    if (rules_.check_quorum && !HasMajorityContact()) {
      BecomeFollower(term_, std::nullopt, "no majority");
      return;
    }
    if (joining_ && now_ >= joining_->deadline) {
      AddNotice(Notice::Kind::kJoinFailed, joining_->voter.id, "did not catch up in time");
      peers_.erase(joining_->voter.id);
      joining_.reset();
    }
    if (transfer_ && now_ >= transfer_->deadline) {
      AddNotice(Notice::Kind::kTransferFailed, transfer_->to, "was not elected in time");
      transfer_.reset();
    }
    if (now_ >= heartbeat_at_) {
      SendHeartbeats();
      ContinueTransfer();
    }
    return;
  }
  if (now_ < election_deadline_) {
    if (role_ != Role::kFollower && now_ >= vote_retry_at_) RequestVotes(true);
    return;
  }
  if (!is_voter()) return ResetElectionTimer();
  if (leader_) {
    leader_.reset();
    AddNotice(Notice::Kind::kNoLeader);
  }
  if (rules_.pre_vote && voters_.size() > 1) {
    BecomePreCandidate();
  } else {
    BecomeCandidate(false);
  }
}

Micros Core::next_at() const {
  if (!began_ || !may_vote_) return kNever;
  if (role_ == Role::kLeader) return heartbeat_at_;
  return role_ == Role::kFollower ? election_deadline_ : std::min(election_deadline_, vote_retry_at_);
}

// ---------------------------------------------------------------------------------------------- elections

void Core::ResetElectionTimer() {
  const auto span = static_cast<uint64_t>(std::max<Micros>(1, rules_.election_max - rules_.election_min));
  election_deadline_ = now_ + rules_.election_min + static_cast<Micros>(NextRandom() % span);
}

// Follows `leader`, or none yet, in `term`. `reason` is why this voter stops leading, if it led.
void Core::BecomeFollower(uint64_t term, const std::optional<VoterId>& leader, const std::string& reason) {
  if (role_ == Role::kLeader) {
    AddNotice(Notice::Kind::kSteppedDown, setup_.self, transfer_ ? "handed over" : reason);
    RefuseReads(Refusal::kNoMajority);
    if (joining_) AddNotice(Notice::Kind::kJoinFailed, joining_->voter.id, "the leader changed");
    joining_.reset();
    transfer_.reset();
    peers_.clear();
    log_time_ = log_time(now_);
    log_time_set_at_ = now_;
  }
  role_ = Role::kFollower;
  votes_.clear();
  if (term > term_) {
    term_ = term;
    vote_.reset();
    leader_.reset();
    incoming_snapshot_ = {};
    QueueTermVote();
  }
  if (leader != leader_) {
    leader_ = leader;
    if (leader_) AddNotice(Notice::Kind::kFollowsLeader, *leader_);
  }
  ResetElectionTimer();
}

// Starts a pre-vote: asks whether a majority would vote for this voter. It changes no voter's vote or term.
void Core::BecomePreCandidate() {
  role_ = Role::kPreCandidate;
  votes_ = {setup_.self};
  ResetElectionTimer();
  RequestVotes(false);
}

// Sends requests to the voters that have not granted their vote. They are repeated, as a request may be lost,
// and as a voter that rejected it because it had just heard the leader may grant it shortly after.
void Core::RequestVotes(bool retry) {
  vote_retry_at_ = now_ + rules_.heartbeat_interval;
  const bool pre_vote = role_ == Role::kPreCandidate;
  // The first requests are still held back until the own vote is durable.
  if (retry && !pre_vote && durable_write_ < vote_write_) return;
  for (const Voter& voter : voters_) {
    if (voter.id == setup_.self || votes_.contains(voter.id)) continue;
    Message request =
        MakeMessage(pre_vote ? Message::Kind::kPreVoteRequest : Message::Kind::kVoteRequest, voter.id);
    if (pre_vote) ++request.term;
    request.index = last_index();
    request.log_term = LastTerm();
    request.handed_over = !pre_vote && handed_over_;
    // Waits until the own vote, and with it the log that the request describes, are durable. Otherwise a
    // power cut could remove the end of the log, and this voter would be elected without those entries.
    Send(voter.address, std::move(request), !pre_vote && rules_.votes_wait_for_flush);
  }
}

void Core::BecomeCandidate(bool handed_over) {
  role_ = Role::kCandidate;
  leader_.reset();
  ++term_;
  vote_ = setup_.self;
  incoming_snapshot_ = {};
  handed_over_ = handed_over;
  votes_.clear();
  QueueTermVote();
  vote_write_ = last_write_;
  ResetElectionTimer();
  RequestVotes(false);
  CountVotes();
}

void Core::CountVotes() {
  std::set<VoterId> votes = votes_;
  const bool own_vote_counts = !rules_.votes_wait_for_flush || durable_write_ >= vote_write_;
  if (own_vote_counts) votes.insert(setup_.self);
  const auto count = std::count_if(voters_.begin(), voters_.end(),
                                   [&](const Voter& voter) { return votes.contains(voter.id); });
  // The own vote must be among them: a voter leads only after its vote is durable.
  if (own_vote_counts && static_cast<size_t>(count) >= Majority()) BecomeLeader();
}

bool Core::IsUpToDate(const Message& request) const {
  if (!rules_.votes_for_newer_log_only) return true;
  return request.log_term > LastTerm() || (request.log_term == LastTerm() && request.index >= last_index());
}

// True if this voter has recently heard from a leader: it then helps to elect no other one.
bool Core::HasRecentLeader() const {
  if (role_ == Role::kLeader) return true;
  return leader_ && leader_contacted_ && now_ - leader_contact_at_ < rules_.election_min;
}

void Core::HandleVoteRequest(const Message& message) {
  const bool pre_vote = message.kind == Message::Kind::kPreVoteRequest;
  Message response =
      MakeMessage(pre_vote ? Message::Kind::kPreVoteResponse : Message::Kind::kVoteResponse, message.from);
  const bool leader_active = rules_.pre_vote && HasRecentLeader() && !message.handed_over;
  if (pre_vote) {
    response.accepted = message.term > term_ && !leader_active && IsUpToDate(message);
    if (response.accepted) response.term = message.term;
    return Respond(message, std::move(response));
  }
  if (message.term < term_ || leader_active) return Respond(message, std::move(response));
  if (message.term > term_) BecomeFollower(message.term, std::nullopt, "newer term");
  response.term = term_;
  const bool may_grant = !rules_.votes_once || !vote_ || *vote_ == message.from;
  if (!may_grant || role_ == Role::kLeader || !IsUpToDate(message))
    return Respond(message, std::move(response));
  if (vote_ != message.from) {
    vote_ = message.from;
    QueueTermVote();
  }
  ResetElectionTimer();
  response.accepted = true;
  Respond(message, std::move(response), rules_.votes_wait_for_flush);
}

void Core::HandleVoteResponse(const Message& message) {
  if (!message.accepted) {
    if (message.term > term_) BecomeFollower(message.term, std::nullopt, "newer term");
    return;
  }
  if (!FindVoter(message.from)) return DropMessage("not a voter", message.from);
  if (message.kind == Message::Kind::kPreVoteResponse) {
    if (role_ != Role::kPreCandidate || message.term != term_ + 1) return;
    votes_.insert(message.from);
    if (votes_.size() >= Majority()) BecomeCandidate(false);
  } else {
    if (role_ != Role::kCandidate || message.term != term_) return;
    votes_.insert(message.from);
    CountVotes();
  }
}

void Core::BecomeLeader() {
  role_ = Role::kLeader;
  leader_ = setup_.self;
  votes_.clear();
  peers_.clear();
  waiting_reads_.clear();
  for (const Voter& voter : voters_) {
    if (voter.id == setup_.self) continue;
    Peer& peer = peers_[voter.id];
    peer.address = voter.address;
    peer.next = last_index() + 1;
    peer.last_contact = now_;
  }
  AddNotice(Notice::Kind::kBecameLeader, setup_.self);
  own_term_index_ = AppendAsLeader(Entry::Kind::kNoOp, "");
  SendHeartbeats();
  AdvanceCommit();
}

// --------------------------------------------------------------------------------------------- following

// Returns false if the message is not from the current leader; then it has been answered.
bool Core::AcceptLeader(const Message& message) {
  if (message.term < term_ || role_ == Role::kLeader) {
    if (message.term == term_) DropMessage("two leaders in a term", message.from);
    if (message.term <= term_) {
      Message response = MakeMessage(Message::Kind::kAppendResponse, message.from);
      response.index = last_index();
      Respond(message, std::move(response));
      return false;
    }
  }
  BecomeFollower(message.term, message.from, "newer term");
  leader_contacted_ = true;
  leader_contact_at_ = now_;
  log_time_ = std::max(log_time(now_), message.log_time);
  log_time_set_at_ = now_;
  return true;
}

void Core::HandleAppend(const Message& message) {
  if (!AcceptLeader(message)) return;
  Message response = MakeMessage(Message::Kind::kAppendResponse, message.from);
  response.round = message.round;
  // Committed entries match every leader's log, even those that are no longer retained here.
  const auto own_term = TermAt(message.index);
  const bool in_snapshot = !own_term && message.index < log_first_;
  if (!in_snapshot && (!own_term || (rules_.checks_previous_entry && *own_term != message.log_term))) {
    uint64_t hint = std::min(last_index(), message.index - 1);
    // Skips all entries of the conflicting term at once.
    const auto hint_term = TermAt(hint);
    if (own_term && hint_term == own_term) {
      while (hint > commit_ && hint >= log_first_ && At(hint).term == *own_term) --hint;
    }
    response.index = std::max(hint, commit_);
    response.commit = last_index();
    return Respond(message, std::move(response));
  }
  uint64_t match = message.index;
  DiskWrite write;
  for (const Entry& entry : message.entries) {
    if (entry.index != ++match || entry.term > message.term)
      return DropMessage("gap between entries", message.from);
  }
  match = message.index;
  for (const Entry& entry : message.entries) {
    match = entry.index;
    if (entry.index < log_first_ || entry.index <= commit_) continue;
    if (entry.index <= last_index()) {
      if (At(entry.index).term == entry.term) continue;
      TruncateFrom(entry.index);
    }
    if (write.replace_from == 0) write.replace_from = entry.index;
    write.entries.push_back(entry);
    AppendToLog(entry);
  }
  if (write.replace_from != 0) {
    QueueWrite(std::move(write));
    ApplyConfiguration();
  }
  CommitThrough(std::min(message.commit, match));
  response.accepted = true;
  if (!rules_.appends_wait_for_flush || match <= durable_index_) {
    response.index = match;
    return Respond(message, std::move(response));
  }
  // Responds twice: at once, to confirm the leader; after the flush, to acknowledge the entries.
  Message flushed = response;
  response.index = std::min(match, durable_index_);
  flushed.index = match;
  Respond(message, std::move(response));
  Respond(message, std::move(flushed), true);
}

void Core::HandleSnapshotChunk(const Message& message) {
  if (!AcceptLeader(message)) return;
  if (message.index <= commit_) {
    Message response = MakeMessage(Message::Kind::kAppendResponse, message.from);
    response.round = message.round;
    response.accepted = true;
    response.index = std::min(message.index, durable_index_);
    return Respond(message, std::move(response));
  }
  if (message.total > rules_.max_snapshot_bytes) return DropMessage("snapshot too large", message.from);
  if (incoming_snapshot_.index != message.index || incoming_snapshot_.term != message.log_term) {
    incoming_snapshot_ = {message.index, message.log_term, message.log_time, message.voters, ""};
  }
  if (message.offset == incoming_snapshot_.data.size() &&
      message.offset + message.data.size() <= message.total) {
    incoming_snapshot_.data += message.data;
  }
  Message response = MakeMessage(Message::Kind::kSnapshotChunkResponse, message.from);
  response.round = message.round;
  response.index = message.index;
  response.offset = incoming_snapshot_.data.size();
  response.accepted = incoming_snapshot_.data.size() == message.total;
  if (!response.accepted) return Respond(message, std::move(response));
  InstallSnapshot(std::move(incoming_snapshot_));
  incoming_snapshot_ = {};
  Respond(message, std::move(response), rules_.appends_wait_for_flush);
}

void Core::InstallSnapshot(Snapshot snapshot) {
  const uint64_t index = snapshot.index;
  const bool fits = TermAt(index) == snapshot.term;
  DiskWrite write;
  write.keep_from = index + 1;
  if (fits) {
    while (!log_.empty() && log_first_ <= index) {
      log_.pop_front();
      ++log_first_;
    }
  } else {
    log_.clear();
    log_first_ = index + 1;
    write.replace_from = index + 1;
    durable_index_ = 0;
    for (auto& pending : pending_writes_) pending.second = 0;
  }
  std::erase_if(configurations_, [&](const Configuration& one) { return !fits || one.index <= index; });
  configurations_.push_front({index, snapshot.voters});
  write.snapshot = snapshot;
  snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
  QueueWrite(std::move(write));
  ApplyConfiguration();
  commit_ = std::max(commit_, index);
  applied_index_ = index;
  applied_.push_back({*snapshot_, {}});
}

void Core::CommitThrough(uint64_t index) {
  commit_ = std::max(commit_, std::min(index, last_index()));
  while (applied_index_ < commit_) applied_.push_back({std::nullopt, At(++applied_index_)});
}

// ----------------------------------------------------------------------------------------------- leading

Micros Core::log_time(Micros now) const {
  const Micros last_log_time = log_.empty() ? snapshot_->log_time : log_.back().log_time;
  return std::max(last_log_time, log_time_ + std::max<Micros>(0, std::max(now, now_) - log_time_set_at_));
}

uint64_t Core::AppendAsLeader(Entry::Kind kind, std::string data) {
  Entry entry{last_index() + 1, term_, kind, log_time(now_), std::move(data)};
  DiskWrite write;
  write.replace_from = entry.index;
  write.entries = {entry};
  AppendToLog(std::move(entry));
  QueueWrite(std::move(write));
  ApplyConfiguration();
  return last_index();
}

void Core::SendHeartbeats() {
  heartbeat_at_ = now_ + rules_.heartbeat_interval;
  for (auto& [id, peer] : peers_) SendToPeer(id, peer, true);
  if (!waiting_reads_.empty()) read_round_ = round_;
}

void Core::SendToPeers() {
  for (auto& [id, peer] : peers_) SendToPeer(id, peer, false);
}

// Sends at most one batch or snapshot chunk at a time until it is answered; a heartbeat is sent in any case.
void Core::SendToPeer(const VoterId& id, Peer& peer, bool heartbeat) {
  if (peer.in_flight_index != 0 && now_ - peer.in_flight_since >= rules_.resend_timeout) {
    peer.in_flight_index = 0;
    if (peer.match > 0) peer.next = peer.match + 1;
  }
  if (peer.in_flight_index == 0) {
    if (peer.sending_snapshot || peer.next < log_first_ || !TermAt(peer.next - 1))
      return SendSnapshotChunk(id, peer);
    if (peer.next <= last_index()) return SendBatch(id, peer);
  }
  if (!heartbeat) return;
  Message message = MakeMessage(Message::Kind::kAppend, id);
  // If the peer's last index is unknown or no longer retained here, the heartbeat refers to entry 0, which
  // every log contains.
  const uint64_t previous =
      peer.match > 0 || peer.sending_snapshot || peer.in_flight_index != 0 ? peer.match : peer.next - 1;
  if (const auto term = TermAt(previous)) {
    message.index = previous;
    message.log_term = *term;
  }
  message.commit = commit_;
  message.round = ++round_;
  message.log_time = log_time(now_);
  Send(peer.address, std::move(message));
}

void Core::SendBatch(const VoterId& id, Peer& peer) {
  Message message = MakeMessage(Message::Kind::kAppend, id);
  message.index = peer.next - 1;
  message.log_term = *TermAt(message.index);
  message.commit = commit_;
  message.round = ++round_;
  message.log_time = log_time(now_);
  size_t bytes = 0;
  for (uint64_t index = peer.next; index <= last_index(); ++index) {
    const Entry& entry = At(index);
    bytes += entry.data.size() + kEntryOverheadBytes;
    if (!message.entries.empty() &&
        (message.entries.size() >= rules_.batch_entries || bytes > rules_.batch_bytes)) {
      break;
    }
    message.entries.push_back(entry);
  }
  peer.in_flight_index = message.entries.back().index;
  peer.in_flight_since = now_;
  Send(peer.address, std::move(message));
}

void Core::SendSnapshotChunk(const VoterId& id, Peer& peer) {
  // A transfer that has begun is finished, even if there is a newer snapshot.
  if (!peer.sending_snapshot) {
    peer.sending_snapshot = snapshot_;
    peer.snapshot_offset = 0;
  }
  const Snapshot& snapshot = *peer.sending_snapshot;
  Message message = MakeMessage(Message::Kind::kSnapshotChunk, id);
  message.index = snapshot.index;
  message.log_term = snapshot.term;
  message.log_time = snapshot.log_time;
  message.voters = snapshot.voters;
  message.total = snapshot.data.size();
  message.offset = std::min<uint64_t>(peer.snapshot_offset, snapshot.data.size());
  message.data = snapshot.data.substr(message.offset, rules_.chunk_bytes);
  message.round = ++round_;
  peer.in_flight_index = snapshot.index;
  peer.in_flight_since = now_;
  Send(peer.address, std::move(message));
}

void Core::HandleAppendResponse(const Message& message) {
  if (message.term > term_) return BecomeFollower(message.term, std::nullopt, "newer term");
  if (role_ != Role::kLeader || message.term < term_) return;
  const auto found = peers_.find(message.from);
  if (found == peers_.end()) return DropMessage("not a voter", message.from);
  if (message.index > last_index() && message.accepted) return DropMessage("beyond the log", message.from);
  Peer& peer = found->second;
  // A rejection from a log that ends before the entries that the peer acknowledged. It counts only if it
  // responds to a message sent after that acknowledgement arrived: an older rejection may arrive late.
  if (!message.accepted && message.round > peer.match_round && message.commit < peer.match) {
    AddNotice(Notice::Kind::kOlderDisk, message.from, "", peer.match);
    peer.stopped = true;
    peer.match = peer.acked_round = 0;
  }
  if (peer.stopped) return Send(peer.address, MakeMessage(Message::Kind::kStopVoting, message.from));
  peer.last_contact = now_;
  peer.acked_round = std::max(peer.acked_round, std::min(message.round, round_));
  if (message.accepted) {
    if (message.index > peer.match) {
      peer.match = message.index;
      peer.match_round = round_;
      peer.next = std::max(peer.next, peer.match + 1);
      if (peer.sending_snapshot && peer.match >= peer.sending_snapshot->index) peer.sending_snapshot.reset();
    }
    if (peer.in_flight_index != 0 && peer.match >= peer.in_flight_index) peer.in_flight_index = 0;
  } else if (message.round > peer.rejected_round) {
    peer.rejected_round = message.round;
    peer.next = std::max(peer.match + 1, std::min(message.index, last_index()) + 1);
    if (!peer.sending_snapshot) peer.in_flight_index = 0;
  }
  AdvanceCommit();
  if (role_ != Role::kLeader) return;
  const auto remaining = peers_.find(message.from);
  if (remaining != peers_.end()) SendToPeer(message.from, remaining->second, false);
  AddCaughtUpVoter();
  ContinueTransfer();
}

void Core::HandleSnapshotChunkResponse(const Message& message) {
  if (message.term > term_) return BecomeFollower(message.term, std::nullopt, "newer term");
  if (role_ != Role::kLeader || message.term < term_) return;
  const auto found = peers_.find(message.from);
  if (found == peers_.end()) return DropMessage("not a voter", message.from);
  Peer& peer = found->second;
  if (peer.stopped) return;
  peer.last_contact = now_;
  peer.acked_round = std::max(peer.acked_round, std::min(message.round, round_));
  if (peer.sending_snapshot && peer.sending_snapshot->index == message.index) {
    if (message.accepted) {
      peer.match = std::max(peer.match, message.index);
      peer.match_round = round_;
      peer.next = peer.match + 1;
      peer.sending_snapshot.reset();
      peer.in_flight_index = 0;
    } else if (message.offset != peer.snapshot_offset || peer.snapshot_offset == 0) {
      peer.snapshot_offset = message.offset;
      peer.in_flight_index = 0;
    }
  }
  AdvanceCommit();
  if (role_ != Role::kLeader) return;
  const auto remaining = peers_.find(message.from);
  if (remaining != peers_.end()) SendToPeer(message.from, remaining->second, false);
  AddCaughtUpVoter();
}

// Commits entries that are durable at a majority, if the last of them is of this term: an entry of an earlier
// term can still be replaced although a majority has it, until an entry of this term follows it (Raft,
// section 5.4.2).
void Core::AdvanceCommit() {
  std::vector<uint64_t> matches;
  for (const Voter& voter : voters_) {
    if (voter.id == setup_.self) {
      matches.push_back(rules_.counts_itself_after_flush ? durable_index_ : last_index());
    } else {
      const auto found = peers_.find(voter.id);
      matches.push_back(found == peers_.end() ? 0 : found->second.match);
    }
  }
  if (!matches.empty()) {
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const uint64_t index = matches[Majority() - 1];
    if (index > commit_ && (!rules_.commits_own_term_only || TermAt(index) == term_)) {
      CommitThrough(index);
      // The others learn the new commit index with the next batch or heartbeat, but at once if this leader is
      // no longer a voter: it then steps down, and asks an up-to-date voter to start an election.
      if (configurations_.back().index <= commit_ && !is_voter()) {
        SendHeartbeats();
        for (const auto& [id, peer] : peers_) {
          if (peer.match != last_index()) continue;
          Send(peer.address, MakeMessage(Message::Kind::kTimeoutNow, id));
          break;
        }
        BecomeFollower(term_, std::nullopt, "removed");
        return;
      }
    }
  }
  CompleteReads();
}

bool Core::HasMajorityContact() const {
  size_t reachable = 0;
  for (const Voter& voter : voters_) {
    const auto found = peers_.find(voter.id);
    if (voter.id == setup_.self ||
        (found != peers_.end() && now_ - found->second.last_contact < rules_.election_max)) {
      ++reachable;
    }
  }
  return reachable >= Majority();
}

ProposeResult Core::Refuse(Refusal reason) const {
  ProposeResult refused;
  refused.refusal = reason;
  if (reason == Refusal::kNotLeader && leader_) {
    refused.leader = *leader_;
    if (const Voter* voter = FindVoter(*leader_)) refused.address = voter->address;
  }
  return refused;
}

ProposeResult Core::Propose(Micros now, std::string data) {
  AdvanceClock(now);
  if (!may_vote_) return Refuse(Refusal::kDiskLost);
  if (role_ != Role::kLeader) return Refuse(Refusal::kNotLeader);
  if (data.size() > rules_.max_entry_bytes) return Refuse(Refusal::kTooLarge);
  if (transfer_) return Refuse(Refusal::kHandingOver);
  if (last_index() - commit_ >= rules_.max_uncommitted) return Refuse(Refusal::kBusy);
  ProposeResult result;
  result.term = term_;
  result.leader = setup_.self;
  result.index = AppendAsLeader(Entry::Kind::kCommand, std::move(data));
  SendToPeers();
  AdvanceCommit();
  return result;
}

void Core::Read(Micros now, uint64_t token) {
  AdvanceClock(now);
  Refusal reason = Refusal::kNone;
  if (!may_vote_) {
    reason = Refusal::kDiskLost;
  } else if (role_ != Role::kLeader) {
    reason = Refusal::kNotLeader;
  } else if (waiting_reads_.size() >= rules_.max_waiting_reads) {
    reason = Refusal::kBusy;
  }
  if (reason != Refusal::kNone) {
    const ProposeResult hint = Refuse(reason);
    read_results_.push_back({token, reason, hint.leader, hint.address, 0});
    return;
  }
  const bool round_in_flight = !waiting_reads_.empty();
  const bool index_known = commit_ >= own_term_index_ || !rules_.reads_wait_for_own_term;
  waiting_reads_.push_back({token, round_ + 1, index_known ? std::max<uint64_t>(commit_, 1) : 0});
  // A round per read would cost the voters as many messages as there are readers. Reads that arrive during a
  // round wait for its end or for the next heartbeat.
  if (!round_in_flight) SendHeartbeats();
  CompleteReads();
}

void Core::CompleteReads() {
  if (role_ != Role::kLeader || waiting_reads_.empty()) return;
  std::vector<uint64_t> rounds;
  for (const Voter& voter : voters_) {
    const auto found = peers_.find(voter.id);
    rounds.push_back(voter.id == setup_.self ? UINT64_MAX
                     : found == peers_.end() ? 0
                                             : found->second.acked_round);
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const uint64_t confirmed = rules_.reads_confirm_leadership ? rounds[Majority() - 1] : UINT64_MAX;
  const bool own_term_committed = commit_ >= own_term_index_ || !rules_.reads_wait_for_own_term;
  bool answered = false;
  while (!waiting_reads_.empty()) {
    WaitingRead& read = waiting_reads_.front();
    if (read.index == 0 && own_term_committed) read.index = std::max<uint64_t>(commit_, 1);
    if (read.index == 0 || read.round > confirmed || read.index > commit_) break;
    read_results_.push_back({read.token, Refusal::kNone, setup_.self, "", read.index});
    waiting_reads_.pop_front();
    answered = true;
  }
  if (answered && !waiting_reads_.empty() && waiting_reads_.front().round > read_round_) SendHeartbeats();
}

void Core::RefuseReads(Refusal reason) {
  for (const WaitingRead& read : waiting_reads_) read_results_.push_back({read.token, reason, {}, "", 0});
  waiting_reads_.clear();
}

ProposeResult Core::ChangeVoter(Micros now, Change change, const Voter& voter) {
  AdvanceClock(now);
  if (!may_vote_) return Refuse(Refusal::kDiskLost);
  if (role_ != Role::kLeader) return Refuse(Refusal::kNotLeader);
  if (transfer_) return Refuse(Refusal::kHandingOver);
  if (rules_.one_change_at_a_time) {
    if (commit_ < own_term_index_) return Refuse(Refusal::kTermTooYoung);
    if (configurations_.back().index > commit_ || joining_) return Refuse(Refusal::kChangeUnderWay);
  }
  ProposeResult result;
  result.term = term_;
  result.leader = setup_.self;
  if (change == Change::kAdd) {
    for (const Voter& other : voters_) {
      if (other.id.name == voter.id.name) return Refuse(Refusal::kAlreadyVoter);
    }
    if (voters_.size() >= rules_.max_voters) return Refuse(Refusal::kTooManyVoters);
    if (joining_) return Refuse(Refusal::kChangeUnderWay);
    joining_ = {voter, now_ + rules_.join_timeout};
    Peer& peer = peers_[voter.id];
    peer = {};
    peer.address = voter.address;
    peer.next = last_index() + 1;
    peer.last_contact = now_;
    SendToPeer(voter.id, peer, true);
    return result;
  }
  if (!FindVoter(voter.id)) return Refuse(Refusal::kUnknownVoter);
  if (voters_.size() == 1) return Refuse(Refusal::kLastVoter);
  std::vector<Voter> remaining = voters_;
  std::erase_if(remaining, [&](const Voter& other) { return other.id == voter.id; });
  result.index = AppendAsLeader(Entry::Kind::kVoters, EncodeVoters(remaining));
  SendToPeers();
  AdvanceCommit();
  return result;
}

// Once the new voter has caught up, proposes the configuration that includes it.
void Core::AddCaughtUpVoter() {
  if (role_ != Role::kLeader || !joining_) return;
  const auto found = peers_.find(joining_->voter.id);
  if (found == peers_.end() || found->second.match == 0) return;
  if (found->second.match + kMaxJoinLag < last_index()) return;
  std::vector<Voter> voters = voters_;
  voters.push_back(joining_->voter);
  const VoterId who = joining_->voter.id;
  joining_.reset();
  const uint64_t index = AppendAsLeader(Entry::Kind::kVoters, EncodeVoters(voters));
  AddNotice(Notice::Kind::kJoined, who, "", index);
  SendToPeers();
  AdvanceCommit();
}

Refusal Core::Transfer(Micros now, const VoterId& to) {
  AdvanceClock(now);
  if (!may_vote_) return Refusal::kDiskLost;
  if (role_ != Role::kLeader) return Refusal::kNotLeader;
  if (transfer_) return Refusal::kHandingOver;
  if (to == setup_.self || !FindVoter(to)) return Refusal::kUnknownVoter;
  transfer_ = {to, now_ + rules_.transfer_timeout};
  ContinueTransfer();
  return Refusal::kNone;
}

void Core::ContinueTransfer() {
  if (role_ != Role::kLeader || !transfer_) return;
  const auto found = peers_.find(transfer_->to);
  if (found == peers_.end() || found->second.match != last_index()) return;
  Send(found->second.address, MakeMessage(Message::Kind::kTimeoutNow, transfer_->to));
}

void Core::SaveSnapshot(Micros now, uint64_t index, std::string data) {
  AdvanceClock(now);
  if (index <= snapshot_->index || index > applied_index_ || data.size() > rules_.max_snapshot_bytes) return;
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = *TermAt(index);
  snapshot.log_time = At(index).log_time;
  while (configurations_.size() > 1 && configurations_[1].index <= index) configurations_.pop_front();
  configurations_.front().index = index;
  snapshot.voters = configurations_.front().voters;
  snapshot.data = std::move(data);
  const uint64_t keep_from = index + 1 > rules_.keep_entries ? index + 1 - rules_.keep_entries : 1;
  while (!log_.empty() && log_first_ < keep_from) {
    log_.pop_front();
    ++log_first_;
  }
  DiskWrite write;
  write.snapshot = snapshot;
  write.keep_from = log_first_;
  snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
  if (may_vote_) QueueWrite(std::move(write));
}

FollowResponse Core::HandleFollowRequest(Micros now, const FollowRequest& request) {
  AdvanceClock(now);
  FollowResponse response;
  response.number = request.number;
  response.from = setup_.self;
  if (leader_) response.leader = *leader_;
  response.commit = commit_;
  if (now_ - follow_window_start_ >= kSecond) {
    follow_window_start_ = now_;
    follow_responses_ = 0;
  }
  if (++follow_responses_ > rules_.max_follow_responses) {
    response.kind = FollowResponse::Kind::kRetryLater;
    return response;
  }
  for (const Configuration& configuration : configurations_) {
    if (configuration.index <= commit_) response.voters = configuration.voters;
  }
  response.index = request.index;
  response.term = request.term;
  if (request.index >= commit_) return response;  // no committed entries after it are known
  const auto term = TermAt(request.index);
  if (term && (*term != request.term || request.index + 1 < log_first_)) {
    if (request.index != 0) {
      response.kind = FollowResponse::Kind::kUnknownEntry;
      return response;
    }
  }
  if (!term || request.index + 1 < log_first_) {
    const Snapshot& snapshot = *snapshot_;
    response.kind = FollowResponse::Kind::kSnapshotChunk;
    response.index = snapshot.index;
    response.term = snapshot.term;
    response.log_time = snapshot.log_time;
    response.voters = snapshot.voters;
    response.total = snapshot.data.size();
    response.offset = request.snapshot_index == snapshot.index
                          ? std::min<uint64_t>(request.offset, snapshot.data.size())
                          : 0;
    response.data = snapshot.data.substr(response.offset, rules_.chunk_bytes);
    return response;
  }
  size_t bytes = 0;
  for (uint64_t index = request.index + 1; index <= commit_; ++index) {
    bytes += At(index).data.size() + kEntryOverheadBytes;
    if (!response.entries.empty() &&
        (response.entries.size() >= rules_.batch_entries || bytes > rules_.batch_bytes)) {
      break;
    }
    response.entries.push_back(At(index));
  }
  return response;
}

std::string Core::Fingerprint() const {
  std::string all;
  const auto number = [&all](uint64_t n) { all.append(std::to_string(n)).append(","); };
  const auto who = [&all](const VoterId& id) {
    all.append(id.name).append("#").append(std::to_string(id.disk)).append(",");
  };
  number(may_vote_ ? 1 : 0);
  number(term_);
  who(vote_.value_or(VoterId{}));
  number(static_cast<uint64_t>(role_));
  who(leader_.value_or(VoterId{}));
  number(snapshot_->index);
  number(log_first_);
  for (const Entry& entry : log_) all.append(EncodeEntry(entry));
  for (const uint64_t n : {commit_, applied_index_, durable_index_, own_term_index_, round_, read_round_})
    number(n);
  // Numbers of writes grow without bound; only their distance from the last durable write matters.
  number(last_write_ - durable_write_);
  number(vote_write_ > durable_write_ ? vote_write_ - durable_write_ : 0);
  for (const auto& [write_number, index] : pending_writes_) number(index);
  for (const HeldMessage& held : held_messages_) {
    number(held.number - durable_write_);
    all.append(Encode(held.outgoing.message, ""));
  }
  for (const VoterId& id : votes_) who(id);
  number(handed_over_ ? 1 : 0);
  for (const auto& [id, peer] : peers_) {
    who(id);
    for (const uint64_t n : {peer.match, peer.next, peer.in_flight_index, peer.acked_round,
                             peer.rejected_round, peer.match_round, peer.snapshot_offset})
      number(n);
    number(peer.sending_snapshot ? peer.sending_snapshot->index : 0);
  }
  for (const WaitingRead& read : waiting_reads_) {
    for (const uint64_t n : {read.token, read.round, read.index}) number(n);
  }
  if (joining_) who(joining_->voter.id);
  if (transfer_) who(transfer_->to);
  return all;
}

std::map<VoterId, Micros> Core::last_contacts() const {
  std::map<VoterId, Micros> all;
  for (const auto& [id, peer] : peers_) all[id] = peer.last_contact;
  return all;
}

std::vector<DiskWrite> Core::TakeWrites() { return std::exchange(writes_, {}); }
std::vector<Outgoing> Core::TakeMessages() { return std::exchange(outgoing_, {}); }
std::vector<Applied> Core::TakeApplied() { return std::exchange(applied_, {}); }
std::vector<ReadResult> Core::TakeReads() { return std::exchange(read_results_, {}); }
std::vector<Notice> Core::TakeNotices() { return std::exchange(notices_, {}); }

}  // namespace burlfall::consensus
