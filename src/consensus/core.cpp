#include "consensus/core.h"

#include <algorithm>
#include <functional>

#include "consensus/wire.h"

namespace burlfall::consensus {
namespace {

// An entry's share in a batch beside its data.
constexpr size_t kEntryHead = 64;
// A new voter that is so many entries behind at most is brought in.
constexpr uint64_t kNearEnough = 16;
constexpr size_t kMostReasons = 64;
constexpr size_t kMostHeld = 1024;  // messages that wait for a flush

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

const char* NameOf(Notice::What what) {
  switch (what) {
    case Notice::What::kLeads:
      return "leads";
    case Notice::What::kSteppedDown:
      return "stepped-down";
    case Notice::What::kFollows:
      return "follows";
    case Notice::What::kNoLeader:
      return "no-leader";
    case Notice::What::kVoters:
      return "voters";
    case Notice::What::kJoined:
      return "joined";
    case Notice::What::kJoinFailed:
      return "join-failed";
    case Notice::What::kTransferFailed:
      return "transfer-failed";
    case Notice::What::kDiskLost:
      return "disk-lost";
    case Notice::What::kOlderDisk:
      return "older-disk";
    case Notice::What::kDropped:
      return "dropped";
  }
  return "?";
}

const char* NameOf(Role role) {
  switch (role) {
    case Role::kFollower:
      return "follower";
    case Role::kAsking:
      return "asking";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
  }
  return "?";
}

Stored FirstVoter(const Voter& self, uint64_t floor) {
  Stored stored;
  stored.snapshot.index = floor;
  stored.snapshot.voters = {self};
  return stored;
}

Core::Core(Setup setup) : setup_(std::move(setup)), rules_(setup_.rules), draws_(setup_.seed) {
  snapshot_ = std::make_shared<Snapshot>();
}

// SplitMix64: its steps are the same everywhere.
uint64_t Core::Draw() {
  uint64_t z = draws_ += 0x9e3779b97f4a7c15;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

Micros Core::NoticeTime(Micros now) { return now_ = std::max(now_, now); }

void Core::Note(Notice::What what, const VoterId& who, const std::string& text, uint64_t index) {
  notices_.push_back({what, term_, index, who, text});
}

void Core::Drop(const char* why, const VoterId& who) {
  if (dropped_.size() < kMostReasons || dropped_.contains(why)) ++dropped_[why];
  Note(Notice::What::kDropped, who, why);
}

// ---------------------------------------------------------------------------------------------- the log

uint64_t Core::first_index() const { return log_first_; }
uint64_t Core::last_index() const { return log_first_ + log_.size() - 1; }

const Entry* Core::entry(uint64_t index) const {
  return index < log_first_ || index > last_index() ? nullptr : &At(index);
}

uint64_t Core::LastTerm() const { return log_.empty() ? snapshot_->term : log_.back().term; }

// Nothing: the log does not reach back that far, or not that far on. Entry 0 is in every log.
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

uint64_t Core::Keep(DiskWrite write) {
  write.number = ++written_;
  marks_.emplace_back(write.number, last_index());
  writes_.push_back(std::move(write));
  return written_;
}

void Core::KeepPromise() {
  DiskWrite write;
  write.promise = {term_, vote_};
  Keep(std::move(write));
}

void Core::Add(Entry entry) {
  if (entry.kind == Entry::Kind::kVoters) {
    const auto voters = ReadVoters(entry.data);
    if (voters && !voters->empty()) configurations_.push_back({entry.index, *voters});
  }
  log_.push_back(std::move(entry));
}

void Core::CutFrom(uint64_t index) {
  while (!log_.empty() && last_index() >= index) log_.pop_back();
  while (configurations_.size() > 1 && configurations_.back().index >= index) configurations_.pop_back();
  durable_index_ = std::min(durable_index_, index - 1);
  for (auto& mark : marks_) mark.second = std::min(mark.second, index - 1);
}

// The last configuration in the log is the one in force, committed or not.
void Core::TakeConfiguration() {
  if (voters_ == configurations_.back().voters) return;
  voters_ = configurations_.back().voters;
  Note(Notice::What::kVoters, {}, "", configurations_.back().index);
  if (role_ != Role::kLeader) return;
  for (const Voter& voter : voters_) {
    if (voter.id == setup_.self) continue;
    Peer& peer = peers_[voter.id];
    peer.address = voter.address;
    if (peer.heard_at == 0) peer.heard_at = now_;
    if (peer.match == 0 && peer.next == 1) peer.next = last_index() + 1;
  }
  std::erase_if(peers_, [&](const auto& one) {
    return !FindVoter(one.first) && !(joining_ && joining_->voter.id == one.first);
  });
}

// ------------------------------------------------------------------------------------ what goes in and out

void Core::Begin(Micros now, Stored stored, bool may_vote) {
  NoticeTime(now);
  began_ = true;
  may_vote_ = may_vote;
  term_ = stored.term;
  vote_ = stored.vote;
  snapshot_ = std::make_shared<const Snapshot>(std::move(stored.snapshot));
  configurations_.push_back({snapshot_->index, snapshot_->voters});
  commit_ = snapshot_->index;
  log_first_ = stored.log.empty() ? snapshot_->index + 1 : stored.log.front().index;
  // Entries in order and without a gap, or none of them: the carrier has checked, and this doesn't guess.
  uint64_t next = log_first_;
  bool sound = log_first_ <= snapshot_->index + 1;
  for (const Entry& entry : stored.log) sound = sound && entry.index == next++ && entry.term <= term_;
  // A snapshot from the leader is written before the log is cut by it; a power cut between the two leaves a
  // log that ends below it or goes on from another entry. All of that is replaced by the snapshot.
  bool replaced = !stored.log.empty() && next <= snapshot_->index;
  for (const Entry& entry : stored.log) {
    replaced = replaced || (entry.index == snapshot_->index && entry.term != snapshot_->term);
  }
  if (!sound || replaced) {
    log_first_ = snapshot_->index + 1;
    may_vote_ = may_vote_ && sound;
  } else {
    for (Entry& entry : stored.log) {
      if (entry.index <= snapshot_->index && entry.kind == Entry::Kind::kVoters) {
        log_.push_back(std::move(entry));  // it is in the snapshot's voters already
      } else {
        Add(std::move(entry));
      }
    }
  }
  durable_index_ = last_index();
  given_ = 0;
  if (snapshot_->index > 0) {
    applied_.push_back({*snapshot_, {}});
    given_ = snapshot_->index;
  }
  voters_ = configurations_.back().voters;
  const Micros told = log_.empty() ? snapshot_->at : log_.back().at;
  council_ = told > 0 ? told : setup_.wall;
  council_at_ = now_;
  if (may_vote_ && replaced) {
    // The old log goes from the disk before anything stands beside it.
    DiskWrite write;
    write.from = write.keep_from = log_first_;
    Keep(std::move(write));
  }
  if (!may_vote_) {
    Note(Notice::What::kDiskLost, setup_.self, sound ? "not fit at the start" : "log with gaps");
  }
  Rest();
  // Alone there is nobody to wait for.
  if (may_vote_ && is_voter() && voters_.size() == 1) election_at_ = now_;
}

void Core::Wrote(Micros now, uint64_t number, bool ok) {
  NoticeTime(now);
  if (number <= durable_ || number > written_ || !may_vote_) return;
  if (!ok && rules_.stops_on_failed_write) return LoseDisk("a write failed");
  durable_ = number;
  while (!marks_.empty() && marks_.front().first <= number) {
    durable_index_ = marks_.front().second;
    marks_.pop_front();
  }
  Release();
  if (role_ == Role::kCandidate) CountVotes();
  if (role_ == Role::kLeader) Advance();
}

void Core::Release() {
  while (!held_.empty() && held_.front().number <= durable_) {
    outgoing_.push_back(std::move(held_.front().outgoing));
    held_.pop_front();
  }
}

void Core::LoseDisk(const std::string& why) {
  held_.clear();
  marks_.clear();
  may_vote_ = false;
  if (role_ == Role::kLeader) {
    Note(Notice::What::kSteppedDown, setup_.self, "disk");
    RefuseReads(Refusal::kDiskLost);
  }
  role_ = Role::kFollower;
  leader_.reset();
  peers_.clear();
  joining_.reset();
  handing_.reset();
  writes_.clear();
  Note(Notice::What::kDiskLost, setup_.self, why);
}

Message Core::Make(Message::Kind kind, const VoterId& to) const {
  Message message;
  message.kind = kind;
  message.from = setup_.self;
  message.to = to;
  message.term = term_;
  return message;
}

// What rests on writes waits for the last that came out: they are done in order.
void Core::Send(const std::string& address, Message message, bool rests_on_writes) {
  if (rests_on_writes && durable_ < written_) {
    if (held_.size() >= kMostHeld) return;  // the disk hangs: as good as lost on the way
    held_.push_back({written_, {address, std::move(message)}});
  } else {
    outgoing_.push_back({address, std::move(message)});
  }
}

// To one that no configuration knows (a leader, before this voter is brought in) the address is empty: the
// carrier answers where the message came from, or by the member's name.
void Core::Answer(const Message& to, Message answer, bool rests_on_writes) {
  const Voter* voter = FindVoter(to.from);
  Send(voter ? voter->address : "", std::move(answer), rests_on_writes);
}

void Core::Heard(Micros now, const Message& message) {
  NoticeTime(now);
  if (!began_ || !may_vote_) return;
  if (message.to != setup_.self) return Drop("for another disk", message.from);
  if (message.from == setup_.self) return Drop("from itself", message.from);
  switch (message.kind) {
    case Message::Kind::kPreVoteAsk:
    case Message::Kind::kVoteAsk:
      return HeardAsk(message);
    case Message::Kind::kPreVoteAnswer:
    case Message::Kind::kVoteAnswer:
      return HeardVote(message);
    case Message::Kind::kAppend:
      return HeardAppend(message);
    case Message::Kind::kAppendAnswer:
      return HeardAppendAnswer(message);
    case Message::Kind::kPiece:
      return HeardPiece(message);
    case Message::Kind::kPieceAnswer:
      return HeardPieceAnswer(message);
    case Message::Kind::kTimeoutNow:
      if (message.term != term_ || leader_ != message.from || role_ == Role::kLeader || !is_voter()) return;
      return Stand(true);
    case Message::Kind::kStop:
      if (message.term < term_ || !FindVoter(message.from)) return;
      return LoseDisk("older than its promises");
  }
}

void Core::Tick(Micros now) {
  NoticeTime(now);
  if (!began_ || !may_vote_) return;
  if (role_ == Role::kLeader) {
    if (rules_.check_quorum && !HasMajority()) {
      Follow(term_, std::nullopt, "no majority");
      return;
    }
    if (joining_ && now_ >= joining_->until) {
      Note(Notice::What::kJoinFailed, joining_->voter.id, "did not catch up in time");
      peers_.erase(joining_->voter.id);
      joining_.reset();
    }
    if (handing_ && now_ >= handing_->until) {
      Note(Notice::What::kTransferFailed, handing_->to, "did not take office in time");
      handing_.reset();
    }
    if (now_ >= heartbeat_at_) {
      SendHeartbeats();
      HandOver();
    }
    return;
  }
  if (now_ < election_at_) {
    if (role_ != Role::kFollower && now_ >= ask_again_at_) AskVotes(true);
    return;
  }
  if (!is_voter()) return Rest();
  if (leader_) {
    leader_.reset();
    Note(Notice::What::kNoLeader);
  }
  if (rules_.pre_vote && voters_.size() > 1) {
    AskAround();
  } else {
    Stand(false);
  }
}

Micros Core::next_at() const {
  if (!began_ || !may_vote_) return kNever;
  if (role_ == Role::kLeader) return heartbeat_at_;
  return role_ == Role::kFollower ? election_at_ : std::min(election_at_, ask_again_at_);
}

// ---------------------------------------------------------------------------------------------- elections

void Core::Rest() {
  const auto span = static_cast<uint64_t>(std::max<Micros>(1, rules_.election_most - rules_.election_least));
  election_at_ = now_ + rules_.election_least + static_cast<Micros>(Draw() % span);
}

// Follows `leader`, or nobody yet, in `term`. Why it led no more, where it led.
void Core::Follow(uint64_t term, const std::optional<VoterId>& leader, const std::string& why) {
  if (role_ == Role::kLeader) {
    Note(Notice::What::kSteppedDown, setup_.self, handing_ ? "handed over" : why);
    RefuseReads(Refusal::kNoMajority);
    if (joining_) Note(Notice::What::kJoinFailed, joining_->voter.id, "the leader changed");
    joining_.reset();
    handing_.reset();
    peers_.clear();
    council_ = council_now(now_);
    council_at_ = now_;
  }
  role_ = Role::kFollower;
  yes_.clear();
  if (term > term_) {
    term_ = term;
    vote_.reset();
    leader_.reset();
    incoming_ = {};
    KeepPromise();
  }
  if (leader != leader_) {
    leader_ = leader;
    if (leader_) Note(Notice::What::kFollows, *leader_);
  }
  Rest();
}

// Would a majority vote for it? It promises nothing, and raises nobody's term.
void Core::AskAround() {
  role_ = Role::kAsking;
  yes_ = {setup_.self};
  Rest();
  AskVotes(false);
}

// Those that have not said yes. Again where there is no answer: an ask is lost as easily as a heartbeat, and
// whoever still heard the leader a moment ago says yes a moment later.
void Core::AskVotes(bool again) {
  ask_again_at_ = now_ + rules_.heartbeat;
  const bool before = role_ == Role::kAsking;
  // Its own vote's flush still holds the first asks back.
  if (again && !before && durable_ < vote_write_) return;
  for (const Voter& voter : voters_) {
    if (voter.id == setup_.self || yes_.contains(voter.id)) continue;
    Message ask = Make(before ? Message::Kind::kPreVoteAsk : Message::Kind::kVoteAsk, voter.id);
    if (before) ++ask.term;
    ask.index = last_index();
    ask.log_term = LastTerm();
    ask.handed_over = !before && handed_over_;
    // Not before its own vote is durable, and with it the log that it asks by: otherwise a power cut takes
    // the log's tail, and the answers to this ask would make a leader of whoever comes back without it.
    Send(voter.address, std::move(ask), !before && rules_.votes_wait_for_flush);
  }
}

void Core::Stand(bool handed_over) {
  role_ = Role::kCandidate;
  leader_.reset();
  ++term_;
  vote_ = setup_.self;
  incoming_ = {};
  handed_over_ = handed_over;
  yes_.clear();
  KeepPromise();
  vote_write_ = written_;
  Rest();
  AskVotes(false);
  CountVotes();
}

void Core::CountVotes() {
  std::set<VoterId> all = yes_;
  const bool own = !rules_.votes_wait_for_flush || durable_ >= vote_write_;
  if (own) all.insert(setup_.self);
  const auto count = std::count_if(voters_.begin(), voters_.end(),
                                   [&](const Voter& voter) { return all.contains(voter.id); });
  // Its own vote is among them: nobody leads who has not promised it durably.
  if (own && static_cast<size_t>(count) >= Majority()) TakeOffice();
}

bool Core::LogIsAsNew(const Message& ask) const {
  if (!rules_.votes_for_newer_log_only) return true;
  return ask.log_term > LastTerm() || (ask.log_term == LastTerm() && ask.index >= last_index());
}

// Whoever hears a leader helps nobody else into office.
bool Core::HearsLeader() const {
  if (role_ == Role::kLeader) return true;
  return leader_ && leader_heard_ && now_ - leader_heard_at_ < rules_.election_least;
}

void Core::HeardAsk(const Message& message) {
  const bool before = message.kind == Message::Kind::kPreVoteAsk;
  Message answer = Make(before ? Message::Kind::kPreVoteAnswer : Message::Kind::kVoteAnswer, message.from);
  const bool stays = rules_.pre_vote && HearsLeader() && !message.handed_over;
  if (before) {
    answer.yes = message.term > term_ && !stays && LogIsAsNew(message);
    if (answer.yes) answer.term = message.term;
    return Answer(message, std::move(answer));
  }
  if (message.term < term_ || stays) return Answer(message, std::move(answer));
  if (message.term > term_) Follow(message.term, std::nullopt, "newer term");
  answer.term = term_;
  const bool free = !rules_.votes_once || !vote_ || *vote_ == message.from;
  if (!free || role_ == Role::kLeader || !LogIsAsNew(message)) return Answer(message, std::move(answer));
  if (vote_ != message.from) {
    vote_ = message.from;
    KeepPromise();
  }
  Rest();
  answer.yes = true;
  Answer(message, std::move(answer), rules_.votes_wait_for_flush);
}

void Core::HeardVote(const Message& message) {
  if (!message.yes) {
    if (message.term > term_) Follow(message.term, std::nullopt, "newer term");
    return;
  }
  if (!FindVoter(message.from)) return Drop("not a voter", message.from);
  if (message.kind == Message::Kind::kPreVoteAnswer) {
    if (role_ != Role::kAsking || message.term != term_ + 1) return;
    yes_.insert(message.from);
    if (yes_.size() >= Majority()) Stand(false);
  } else {
    if (role_ != Role::kCandidate || message.term != term_) return;
    yes_.insert(message.from);
    CountVotes();
  }
}

void Core::TakeOffice() {
  role_ = Role::kLeader;
  leader_ = setup_.self;
  yes_.clear();
  peers_.clear();
  reads_.clear();
  for (const Voter& voter : voters_) {
    if (voter.id == setup_.self) continue;
    Peer& peer = peers_[voter.id];
    peer.address = voter.address;
    peer.next = last_index() + 1;
    peer.heard_at = now_;
  }
  Note(Notice::What::kLeads, setup_.self);
  own_term_index_ = Lead(Entry::Kind::kNothing, "");
  SendHeartbeats();
  Advance();
}

// --------------------------------------------------------------------------------------------- following

// False: it is not the leader's word.
bool Core::HearLeader(const Message& message) {
  if (message.term < term_ || role_ == Role::kLeader) {
    if (message.term == term_) Drop("two leaders in a term", message.from);
    if (message.term <= term_) {
      Message answer = Make(Message::Kind::kAppendAnswer, message.from);
      answer.index = last_index();
      Answer(message, std::move(answer));
      return false;
    }
  }
  Follow(message.term, message.from, "newer term");
  leader_heard_ = true;
  leader_heard_at_ = now_;
  council_ = std::max(council_now(now_), message.at);
  council_at_ = now_;
  return true;
}

void Core::HeardAppend(const Message& message) {
  if (!HearLeader(message)) return;
  Message answer = Make(Message::Kind::kAppendAnswer, message.from);
  answer.round = message.round;
  // What is committed here agrees with every leader's log, also where the log is not kept that far back.
  const auto own = TermAt(message.index);
  const bool in_snapshot = !own && message.index < log_first_;
  if (!in_snapshot && (!own || (rules_.checks_previous && *own != message.log_term))) {
    uint64_t hint = std::min(last_index(), message.index - 1);
    // Past a whole term at a time.
    const auto other = TermAt(hint);
    if (own && other == own) {
      while (hint > commit_ && hint >= log_first_ && At(hint).term == *own) --hint;
    }
    answer.index = std::max(hint, commit_);
    answer.commit = last_index();
    return Answer(message, std::move(answer));
  }
  uint64_t match = message.index;
  DiskWrite write;
  for (const Entry& entry : message.entries) {
    if (entry.index != ++match || entry.term > message.term) return Drop("entries with a gap", message.from);
  }
  match = message.index;
  for (const Entry& entry : message.entries) {
    match = entry.index;
    if (entry.index < log_first_ || entry.index <= commit_) continue;
    if (entry.index <= last_index()) {
      if (At(entry.index).term == entry.term) continue;
      CutFrom(entry.index);
    }
    if (write.from == 0) write.from = entry.index;
    write.entries.push_back(entry);
    Add(entry);
  }
  if (write.from != 0) {
    Keep(std::move(write));
    TakeConfiguration();
  }
  CommitThrough(std::min(message.commit, match));
  answer.yes = true;
  if (!rules_.appends_wait_for_flush || match <= durable_index_) {
    answer.index = match;
    return Answer(message, std::move(answer));
  }
  // At once: that it hears this leader. After the flush: that it has the entries.
  Message later = answer;
  answer.index = std::min(match, durable_index_);
  later.index = match;
  Answer(message, std::move(answer));
  Answer(message, std::move(later), true);
}

void Core::HeardPiece(const Message& message) {
  if (!HearLeader(message)) return;
  if (message.index <= commit_) {
    Message have = Make(Message::Kind::kAppendAnswer, message.from);
    have.round = message.round;
    have.yes = true;
    have.index = std::min(message.index, durable_index_);
    return Answer(message, std::move(have));
  }
  if (message.total > rules_.largest_snapshot) return Drop("snapshot too large", message.from);
  if (incoming_.index != message.index || incoming_.term != message.log_term) {
    incoming_ = {message.index, message.log_term, message.at, message.voters, ""};
  }
  if (message.offset == incoming_.data.size() && message.offset + message.data.size() <= message.total) {
    incoming_.data += message.data;
  }
  Message answer = Make(Message::Kind::kPieceAnswer, message.from);
  answer.round = message.round;
  answer.index = message.index;
  answer.offset = incoming_.data.size();
  answer.yes = incoming_.data.size() == message.total;
  if (!answer.yes) return Answer(message, std::move(answer));
  Install(std::move(incoming_));
  incoming_ = {};
  Answer(message, std::move(answer), rules_.appends_wait_for_flush);
}

void Core::Install(Snapshot snapshot) {
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
    write.from = index + 1;
    durable_index_ = 0;
    for (auto& mark : marks_) mark.second = 0;
  }
  std::erase_if(configurations_, [&](const Configuration& one) { return !fits || one.index <= index; });
  configurations_.push_front({index, snapshot.voters});
  write.snapshot = snapshot;
  snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
  Keep(std::move(write));
  TakeConfiguration();
  commit_ = std::max(commit_, index);
  given_ = index;
  applied_.push_back({*snapshot_, {}});
}

void Core::CommitThrough(uint64_t index) {
  commit_ = std::max(commit_, std::min(index, last_index()));
  while (given_ < commit_) applied_.push_back({std::nullopt, At(++given_)});
}

// ----------------------------------------------------------------------------------------------- leading

Micros Core::council_now(Micros now) const {
  const Micros told = log_.empty() ? snapshot_->at : log_.back().at;
  return std::max(told, council_ + std::max<Micros>(0, std::max(now, now_) - council_at_));
}

uint64_t Core::Lead(Entry::Kind kind, std::string data) {
  Entry entry{last_index() + 1, term_, kind, council_now(now_), std::move(data)};
  DiskWrite write;
  write.from = entry.index;
  write.entries = {entry};
  Add(std::move(entry));
  Keep(std::move(write));
  TakeConfiguration();
  return last_index();
}

void Core::SendHeartbeats() {
  heartbeat_at_ = now_ + rules_.heartbeat;
  for (auto& [id, peer] : peers_) SendTo(id, peer, true);
  if (!reads_.empty()) read_round_ = round_;
}

void Core::SendAll() {
  for (auto& [id, peer] : peers_) SendTo(id, peer, false);
}

// One batch or piece without an answer at a time; a heartbeat in any case.
void Core::SendTo(const VoterId& id, Peer& peer, bool heartbeat) {
  if (peer.out != 0 && now_ - peer.out_at >= rules_.resend) {
    peer.out = 0;
    if (peer.match > 0) peer.next = peer.match + 1;
  }
  if (peer.out == 0) {
    if (peer.sending || peer.next < log_first_ || !TermAt(peer.next - 1)) return SendPiece(id, peer);
    if (peer.next <= last_index()) return SendBatch(id, peer);
  }
  if (!heartbeat) return;
  Message message = Make(Message::Kind::kAppend, id);
  // Where its log's end isn't known or not kept here, entry 0, which is in every log.
  const uint64_t before = peer.match > 0 || peer.sending || peer.out != 0 ? peer.match : peer.next - 1;
  if (const auto term = TermAt(before)) {
    message.index = before;
    message.log_term = *term;
  }
  message.commit = commit_;
  message.round = ++round_;
  message.at = council_now(now_);
  Send(peer.address, std::move(message));
}

void Core::SendBatch(const VoterId& id, Peer& peer) {
  Message message = Make(Message::Kind::kAppend, id);
  message.index = peer.next - 1;
  message.log_term = *TermAt(message.index);
  message.commit = commit_;
  message.round = ++round_;
  message.at = council_now(now_);
  size_t bytes = 0;
  for (uint64_t index = peer.next; index <= last_index(); ++index) {
    const Entry& entry = At(index);
    bytes += entry.data.size() + kEntryHead;
    if (!message.entries.empty() &&
        (message.entries.size() >= rules_.batch_entries || bytes > rules_.batch_bytes)) {
      break;
    }
    message.entries.push_back(entry);
  }
  peer.out = message.entries.back().index;
  peer.out_at = now_;
  Send(peer.address, std::move(message));
}

void Core::SendPiece(const VoterId& id, Peer& peer) {
  // The one that was begun is finished, though there be a newer.
  if (!peer.sending) {
    peer.sending = snapshot_;
    peer.offset = 0;
  }
  const Snapshot& whole = *peer.sending;
  Message message = Make(Message::Kind::kPiece, id);
  message.index = whole.index;
  message.log_term = whole.term;
  message.at = whole.at;
  message.voters = whole.voters;
  message.total = whole.data.size();
  message.offset = std::min<uint64_t>(peer.offset, whole.data.size());
  message.data = whole.data.substr(message.offset, rules_.piece_bytes);
  message.round = ++round_;
  peer.out = whole.index;
  peer.out_at = now_;
  Send(peer.address, std::move(message));
}

void Core::HeardAppendAnswer(const Message& message) {
  if (message.term > term_) return Follow(message.term, std::nullopt, "newer term");
  if (role_ != Role::kLeader || message.term < term_) return;
  const auto found = peers_.find(message.from);
  if (found == peers_.end()) return Drop("not a voter", message.from);
  if (message.index > last_index() && message.yes) return Drop("beyond the log", message.from);
  Peer& peer = found->second;
  // A no from a log that ends before what it said yes to. It answers what was sent after that yes had come:
  // a no from before the yes may come later as well.
  if (!message.yes && message.round > peer.match_round && message.commit < peer.match) {
    Note(Notice::What::kOlderDisk, message.from, "", peer.match);
    peer.stopped = true;
    peer.match = peer.round = 0;
  }
  if (peer.stopped) return Send(peer.address, Make(Message::Kind::kStop, message.from));
  peer.heard_at = now_;
  peer.round = std::max(peer.round, std::min(message.round, round_));
  if (message.yes) {
    if (message.index > peer.match) {
      peer.match = message.index;
      peer.match_round = round_;
      peer.next = std::max(peer.next, peer.match + 1);
      if (peer.sending && peer.match >= peer.sending->index) peer.sending.reset();
    }
    if (peer.out != 0 && peer.match >= peer.out) peer.out = 0;
  } else if (message.round > peer.no_round) {
    peer.no_round = message.round;
    peer.next = std::max(peer.match + 1, std::min(message.index, last_index()) + 1);
    if (!peer.sending) peer.out = 0;
  }
  Advance();
  if (role_ != Role::kLeader) return;
  const auto still = peers_.find(message.from);
  if (still != peers_.end()) SendTo(message.from, still->second, false);
  Join();
  HandOver();
}

void Core::HeardPieceAnswer(const Message& message) {
  if (message.term > term_) return Follow(message.term, std::nullopt, "newer term");
  if (role_ != Role::kLeader || message.term < term_) return;
  const auto found = peers_.find(message.from);
  if (found == peers_.end()) return Drop("not a voter", message.from);
  Peer& peer = found->second;
  if (peer.stopped) return;
  peer.heard_at = now_;
  peer.round = std::max(peer.round, std::min(message.round, round_));
  if (peer.sending && peer.sending->index == message.index) {
    if (message.yes) {
      peer.match = std::max(peer.match, message.index);
      peer.match_round = round_;
      peer.next = peer.match + 1;
      peer.sending.reset();
      peer.out = 0;
    } else if (message.offset != peer.offset || peer.offset == 0) {
      peer.offset = message.offset;
      peer.out = 0;
    }
  }
  Advance();
  if (role_ != Role::kLeader) return;
  const auto still = peers_.find(message.from);
  if (still != peers_.end()) SendTo(message.from, still->second, false);
  Join();
}

// What a majority has, durably, is committed, if it is of this term: an entry of an earlier one can still be
// replaced though a majority have it, until one of this term stands on it.
void Core::Advance() {
  std::vector<uint64_t> has;
  for (const Voter& voter : voters_) {
    if (voter.id == setup_.self) {
      has.push_back(rules_.counts_itself_after_flush ? durable_index_ : last_index());
    } else {
      const auto found = peers_.find(voter.id);
      has.push_back(found == peers_.end() ? 0 : found->second.match);
    }
  }
  if (!has.empty()) {
    std::sort(has.begin(), has.end(), std::greater<>());
    const uint64_t index = has[Majority() - 1];
    if (index > commit_ && (!rules_.commits_own_term_only || TermAt(index) == term_)) {
      CommitThrough(index);
      // The others hear of it with the next batch or heartbeat; a change of voters is told at once.
      if (configurations_.back().index <= commit_ && !is_voter()) {
        SendHeartbeats();
        for (const auto& [id, peer] : peers_) {
          if (peer.match != last_index()) continue;
          Send(peer.address, Make(Message::Kind::kTimeoutNow, id));
          break;
        }
        Follow(term_, std::nullopt, "removed");
        return;
      }
    }
  }
  AnswerReads();
}

bool Core::HasMajority() const {
  size_t heard = 0;
  for (const Voter& voter : voters_) {
    const auto found = peers_.find(voter.id);
    if (voter.id == setup_.self ||
        (found != peers_.end() && now_ - found->second.heard_at < rules_.election_most)) {
      ++heard;
    }
  }
  return heard >= Majority();
}

Proposed Core::Refuse(Refusal why) const {
  Proposed refused;
  refused.refusal = why;
  if (why == Refusal::kNotLeader && leader_) {
    refused.leader = *leader_;
    if (const Voter* voter = FindVoter(*leader_)) refused.address = voter->address;
  }
  return refused;
}

Proposed Core::Propose(Micros now, std::string data) {
  NoticeTime(now);
  if (!may_vote_) return Refuse(Refusal::kDiskLost);
  if (role_ != Role::kLeader) return Refuse(Refusal::kNotLeader);
  if (data.size() > rules_.largest_entry) return Refuse(Refusal::kTooLarge);
  if (handing_) return Refuse(Refusal::kHandingOver);
  if (last_index() - commit_ >= rules_.most_uncommitted) return Refuse(Refusal::kBusy);
  Proposed taken;
  taken.term = term_;
  taken.leader = setup_.self;
  taken.index = Lead(Entry::Kind::kCommand, std::move(data));
  SendAll();
  Advance();
  return taken;
}

void Core::Read(Micros now, uint64_t token) {
  NoticeTime(now);
  Refusal why = Refusal::kNone;
  if (!may_vote_) {
    why = Refusal::kDiskLost;
  } else if (role_ != Role::kLeader) {
    why = Refusal::kNotLeader;
  } else if (reads_.size() >= rules_.most_reads) {
    why = Refusal::kBusy;
  }
  if (why != Refusal::kNone) {
    const Proposed hint = Refuse(why);
    answers_.push_back({token, why, hint.leader, hint.address, 0});
    return;
  }
  const bool under_way = !reads_.empty();
  const bool known = commit_ >= own_term_index_ || !rules_.reads_wait_for_own_term;
  reads_.push_back({token, round_ + 1, known ? std::max<uint64_t>(commit_, 1) : 0});
  // A round for each read would cost the voters as many messages as there are readers: while one is under
  // way, those that come wait for its end or for the next heartbeat.
  if (!under_way) SendHeartbeats();
  AnswerReads();
}

void Core::AnswerReads() {
  if (role_ != Role::kLeader || reads_.empty()) return;
  std::vector<uint64_t> rounds;
  for (const Voter& voter : voters_) {
    const auto found = peers_.find(voter.id);
    rounds.push_back(voter.id == setup_.self ? UINT64_MAX : found == peers_.end() ? 0 : found->second.round);
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const uint64_t confirmed = rules_.reads_confirm ? rounds[Majority() - 1] : UINT64_MAX;
  const bool own_term = commit_ >= own_term_index_ || !rules_.reads_wait_for_own_term;
  bool answered = false;
  while (!reads_.empty()) {
    WaitingRead& read = reads_.front();
    if (read.index == 0 && own_term) read.index = std::max<uint64_t>(commit_, 1);
    if (read.index == 0 || read.round > confirmed || read.index > commit_) break;
    answers_.push_back({read.token, Refusal::kNone, setup_.self, "", read.index});
    reads_.pop_front();
    answered = true;
  }
  if (answered && !reads_.empty() && reads_.front().round > read_round_) SendHeartbeats();
}

void Core::RefuseReads(Refusal why) {
  for (const WaitingRead& read : reads_) answers_.push_back({read.token, why, {}, "", 0});
  reads_.clear();
}

Proposed Core::ChangeVoter(Micros now, Change change, const Voter& voter) {
  NoticeTime(now);
  if (!may_vote_) return Refuse(Refusal::kDiskLost);
  if (role_ != Role::kLeader) return Refuse(Refusal::kNotLeader);
  if (handing_) return Refuse(Refusal::kHandingOver);
  if (rules_.one_change_at_a_time) {
    if (commit_ < own_term_index_) return Refuse(Refusal::kTermTooYoung);
    if (configurations_.back().index > commit_ || joining_) return Refuse(Refusal::kChangeUnderWay);
  }
  Proposed taken;
  taken.term = term_;
  taken.leader = setup_.self;
  if (change == Change::kAdd) {
    for (const Voter& one : voters_) {
      if (one.id.name == voter.id.name) return Refuse(Refusal::kAlreadyVoter);
    }
    if (voters_.size() >= rules_.most_voters) return Refuse(Refusal::kTooManyVoters);
    if (joining_) return Refuse(Refusal::kChangeUnderWay);
    joining_ = {voter, now_ + rules_.join_patience};
    Peer& peer = peers_[voter.id];
    peer = {};
    peer.address = voter.address;
    peer.next = last_index() + 1;
    peer.heard_at = now_;
    SendTo(voter.id, peer, true);
    return taken;
  }
  if (!FindVoter(voter.id)) return Refuse(Refusal::kUnknownVoter);
  if (voters_.size() == 1) return Refuse(Refusal::kLastVoter);
  std::vector<Voter> rest = voters_;
  std::erase_if(rest, [&](const Voter& one) { return one.id == voter.id; });
  taken.index = Lead(Entry::Kind::kVoters, WriteVoters(rest));
  SendAll();
  Advance();
  return taken;
}

// The new voter has caught up: now it counts.
void Core::Join() {
  if (role_ != Role::kLeader || !joining_) return;
  const auto found = peers_.find(joining_->voter.id);
  if (found == peers_.end() || found->second.match == 0) return;
  if (found->second.match + kNearEnough < last_index()) return;
  std::vector<Voter> all = voters_;
  all.push_back(joining_->voter);
  const VoterId who = joining_->voter.id;
  joining_.reset();
  const uint64_t index = Lead(Entry::Kind::kVoters, WriteVoters(all));
  Note(Notice::What::kJoined, who, "", index);
  SendAll();
  Advance();
}

Refusal Core::Transfer(Micros now, const VoterId& to) {
  NoticeTime(now);
  if (!may_vote_) return Refusal::kDiskLost;
  if (role_ != Role::kLeader) return Refusal::kNotLeader;
  if (handing_) return Refusal::kHandingOver;
  if (to == setup_.self || !FindVoter(to)) return Refusal::kUnknownVoter;
  handing_ = {to, now_ + rules_.transfer_patience};
  HandOver();
  return Refusal::kNone;
}

void Core::HandOver() {
  if (role_ != Role::kLeader || !handing_) return;
  const auto found = peers_.find(handing_->to);
  if (found == peers_.end() || found->second.match != last_index()) return;
  Send(found->second.address, Make(Message::Kind::kTimeoutNow, handing_->to));
}

void Core::SaveSnapshot(Micros now, uint64_t index, std::string data) {
  NoticeTime(now);
  if (index <= snapshot_->index || index > given_ || data.size() > rules_.largest_snapshot) return;
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = *TermAt(index);
  snapshot.at = At(index).at;
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
  if (may_vote_) Keep(std::move(write));
}

FollowAnswer Core::Answer(Micros now, const FollowAsk& ask) {
  NoticeTime(now);
  FollowAnswer answer;
  answer.number = ask.number;
  answer.from = setup_.self;
  if (leader_) answer.leader = *leader_;
  answer.commit = commit_;
  if (now_ - follow_second_ >= kSecond) {
    follow_second_ = now_;
    followed_ = 0;
  }
  if (++followed_ > rules_.follow_answers) {
    answer.kind = FollowAnswer::Kind::kLater;
    return answer;
  }
  for (const Configuration& one : configurations_) {
    if (one.index <= commit_) answer.voters = one.voters;
  }
  answer.index = ask.index;
  answer.term = ask.term;
  if (ask.index >= commit_) return answer;  // nothing is known beyond it
  const auto term = TermAt(ask.index);
  if (term && (*term != ask.term || ask.index + 1 < log_first_)) {
    if (ask.index != 0) {
      answer.kind = FollowAnswer::Kind::kUnknown;
      return answer;
    }
  }
  if (!term || ask.index + 1 < log_first_) {
    const Snapshot& whole = *snapshot_;
    answer.kind = FollowAnswer::Kind::kPiece;
    answer.index = whole.index;
    answer.term = whole.term;
    answer.at = whole.at;
    answer.voters = whole.voters;
    answer.total = whole.data.size();
    answer.offset = ask.piece_index == whole.index ? std::min<uint64_t>(ask.offset, whole.data.size()) : 0;
    answer.data = whole.data.substr(answer.offset, rules_.piece_bytes);
    return answer;
  }
  size_t bytes = 0;
  for (uint64_t index = ask.index + 1; index <= commit_; ++index) {
    bytes += At(index).data.size() + kEntryHead;
    if (!answer.entries.empty() &&
        (answer.entries.size() >= rules_.batch_entries || bytes > rules_.batch_bytes)) {
      break;
    }
    answer.entries.push_back(At(index));
  }
  return answer;
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
  for (const Entry& entry : log_) all.append(WriteEntry(entry));
  for (const uint64_t n : {commit_, given_, durable_index_, own_term_index_, round_, read_round_}) number(n);
  // Numbers of writes count on for ever: what matters is how far they are from done.
  number(written_ - durable_);
  number(vote_write_ > durable_ ? vote_write_ - durable_ : 0);
  for (const auto& [mark, index] : marks_) number(index);
  for (const Held& held : held_) {
    number(held.number - durable_);
    all.append(Write(held.outgoing.message, ""));
  }
  for (const VoterId& id : yes_) who(id);
  number(handed_over_ ? 1 : 0);
  for (const auto& [id, peer] : peers_) {
    who(id);
    for (const uint64_t n :
         {peer.match, peer.next, peer.out, peer.round, peer.no_round, peer.match_round, peer.offset})
      number(n);
    number(peer.sending ? peer.sending->index : 0);
  }
  for (const WaitingRead& read : reads_) {
    for (const uint64_t n : {read.token, read.round, read.index}) number(n);
  }
  if (joining_) who(joining_->voter.id);
  if (handing_) who(handing_->to);
  return all;
}

std::map<VoterId, Micros> Core::heard_at() const {
  std::map<VoterId, Micros> all;
  for (const auto& [id, peer] : peers_) all[id] = peer.heard_at;
  return all;
}

std::vector<DiskWrite> Core::TakeWrites() { return std::exchange(writes_, {}); }
std::vector<Outgoing> Core::TakeMessages() { return std::exchange(outgoing_, {}); }
std::vector<Applied> Core::TakeApplied() { return std::exchange(applied_, {}); }
std::vector<ReadAnswer> Core::TakeReads() { return std::exchange(answers_, {}); }
std::vector<Notice> Core::TakeNotices() { return std::exchange(notices_, {}); }

}  // namespace burlfall::consensus
