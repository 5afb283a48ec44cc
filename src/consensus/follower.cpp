#include <algorithm>

#include "consensus/core.h"

namespace burlfall::consensus {

Follower::Follower(FollowerRules rules, std::string name, std::vector<std::string> seeds, uint64_t seed)
    : rules_(rules), name_(std::move(name)), seeds_(std::move(seeds)), addresses_(seeds_), draws_(seed) {}

uint64_t Follower::Draw() {
  uint64_t z = draws_ += 0x9e3779b97f4a7c15;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

void Follower::Begin(Micros now) {
  turn_ = Draw() % 64;  // not all at the same voter
  ask_at_ = now;
}

Micros Follower::next_at() const { return asked_ != 0 ? asked_at_ + rules_.patience : ask_at_; }

void Follower::AskNow(Micros now) { ask_at_ = std::min(ask_at_, now); }

void Follower::NextVoter(bool failed) {
  ++turn_;
  failures_ = failed ? failures_ + 1 : 0;
  if (!failed) return;
  pieces_.clear();
  piece_index_ = 0;
  // Whoever the log named may all be gone since.
  if (failures_ >= 2 * addresses_.size() && !seeds_.empty()) addresses_ = seeds_;
}

void Follower::Tick(Micros now) {
  if (asked_ != 0 && now - asked_at_ >= rules_.patience) {
    asked_ = 0;
    NextVoter(true);
    ask_at_ = now;
  }
  if (asked_ != 0 || now < ask_at_ || addresses_.empty()) return;
  FollowAsk ask{name_, ++number_, index_, term_, piece_index_, pieces_.size()};
  asked_ = number_;
  asked_at_ = now;
  asks_.push_back({addresses_[turn_ % addresses_.size()], std::move(ask)});
}

bool Follower::TakeEntries(const FollowAnswer& answer) {
  if (answer.index != index_ || answer.term != term_) return false;
  uint64_t index = index_, term = term_;
  for (const Entry& entry : answer.entries) {
    if (entry.index != ++index || entry.term < term || entry.index > answer.commit) return false;
    term = entry.term;
  }
  for (const Entry& entry : answer.entries) applied_.push_back({std::nullopt, entry});
  index_ = index;
  term_ = term;
  return true;
}

bool Follower::TakePiece(const FollowAnswer& answer) {
  if (answer.index <= index_ || answer.index > answer.commit || answer.total > rules_.largest_snapshot) {
    return false;
  }
  if (answer.index != piece_index_ || answer.term != piece_term_) {
    pieces_.clear();
    piece_index_ = answer.index;
    piece_term_ = answer.term;
  }
  if (answer.offset != pieces_.size() || pieces_.size() + answer.data.size() > answer.total ||
      (answer.data.empty() && answer.total != pieces_.size())) {
    return false;
  }
  pieces_ += answer.data;
  if (pieces_.size() < answer.total) return true;
  index_ = answer.index;
  term_ = answer.term;
  applied_.push_back({Snapshot{index_, term_, answer.at, answer.voters, std::move(pieces_)}, {}});
  pieces_.clear();
  piece_index_ = 0;
  return true;
}

void Follower::Heard(Micros now, const FollowAnswer& answer) {
  if (answer.number != asked_ || asked_ == 0) return;
  asked_ = 0;
  const Micros later =
      now + rules_.period +
      static_cast<Micros>(Draw() % static_cast<uint64_t>(std::max<Micros>(1, rules_.period / 2)));
  if (answer.kind == FollowAnswer::Kind::kLater) {
    ask_at_ = later;
    return NextVoter(true);
  }
  heard_at_ = now;
  known_ = std::max(known_, answer.commit);
  leader_ = answer.leader;
  bool fits = false;
  if (answer.kind == FollowAnswer::Kind::kUnknown) {
    // What is committed is in the log of each voter that has come so far. If all say that it is not, this is
    // another log, begun anew: it follows that from its beginning.
    if (++unknown_ > addresses_.size()) {
      index_ = term_ = known_ = 0;
      unknown_ = 0;
      applied_.push_back({Snapshot{}, {}});
    }
  } else {
    unknown_ = 0;
    fits = answer.kind == FollowAnswer::Kind::kEntries ? TakeEntries(answer) : TakePiece(answer);
  }
  if (!fits) {
    ++damaged_;
    ask_at_ = later;
    return NextVoter(true);
  }
  if (!answer.voters.empty() && answer.kind == FollowAnswer::Kind::kEntries) {
    voters_ = answer.voters;
    addresses_.clear();
    for (const Voter& voter : voters_) addresses_.push_back(voter.address);
  }
  // A snapshot comes from one voter: another's may end elsewhere.
  if (piece_index_ == 0) NextVoter(false);
  ask_at_ = index_ < answer.commit ? now : later;
}

std::vector<Follower::Ask> Follower::TakeAsks() { return std::exchange(asks_, {}); }
std::vector<Applied> Follower::TakeApplied() { return std::exchange(applied_, {}); }

}  // namespace burlfall::consensus
