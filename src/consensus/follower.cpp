// The follower: a member without a vote that polls the voters for committed entries.
#include <algorithm>

#include "consensus/core.h"

namespace burlfall::consensus {

Follower::Follower(FollowerRules rules, std::string name, std::vector<std::string> seeds, uint64_t seed)
    : rules_(rules),
      name_(std::move(name)),
      seeds_(std::move(seeds)),
      addresses_(seeds_),
      random_state_(seed) {}

uint64_t Follower::NextRandom() {
  uint64_t z = random_state_ += 0x9e3779b97f4a7c15;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

void Follower::Begin(Micros now) {
  turn_ = NextRandom() % 64;  // spreads the followers over the voters
  next_request_at_ = now;
}

Micros Follower::next_at() const {
  return in_flight_ != 0 ? requested_at_ + rules_.response_timeout : next_request_at_;
}

void Follower::PollNow(Micros now) { next_request_at_ = std::min(next_request_at_, now); }

void Follower::NextVoter(bool failed) {
  ++turn_;
  failures_ = failed ? failures_ + 1 : 0;
  if (!failed) return;
  snapshot_data_.clear();
  snapshot_index_ = 0;
  // The voters named in the log may all have been replaced meanwhile.
  if (failures_ >= 2 * addresses_.size() && !seeds_.empty()) addresses_ = seeds_;
}

void Follower::Tick(Micros now) {
  if (in_flight_ != 0 && now - requested_at_ >= rules_.response_timeout) {
    in_flight_ = 0;
    NextVoter(true);
    next_request_at_ = now;
  }
  if (in_flight_ != 0 || now < next_request_at_ || addresses_.empty()) return;
  FollowRequest request{name_, ++last_number_, index_, term_, snapshot_index_, snapshot_data_.size()};
  in_flight_ = last_number_;
  requested_at_ = now;
  requests_.push_back({addresses_[turn_ % addresses_.size()], std::move(request)});
}

bool Follower::AcceptEntries(const FollowResponse& response) {
  if (response.index != index_ || response.term != term_) return false;
  uint64_t index = index_, term = term_;
  for (const Entry& entry : response.entries) {
    if (entry.index != ++index || entry.term < term || entry.index > response.commit) return false;
    term = entry.term;
  }
  for (const Entry& entry : response.entries) applied_.push_back({std::nullopt, entry});
  index_ = index;
  term_ = term;
  return true;
}

bool Follower::AcceptSnapshotChunk(const FollowResponse& response) {
  if (response.index <= index_ || response.index > response.commit ||
      response.total > rules_.max_snapshot_bytes) {
    return false;
  }
  if (response.index != snapshot_index_ || response.term != snapshot_term_) {
    snapshot_data_.clear();
    snapshot_index_ = response.index;
    snapshot_term_ = response.term;
  }
  if (response.offset != snapshot_data_.size() ||
      snapshot_data_.size() + response.data.size() > response.total ||
      (response.data.empty() && response.total != snapshot_data_.size())) {
    return false;
  }
  snapshot_data_ += response.data;
  if (snapshot_data_.size() < response.total) return true;
  index_ = response.index;
  term_ = response.term;
  applied_.push_back(
      {Snapshot{index_, term_, response.log_time, response.voters, std::move(snapshot_data_)}, {}});
  snapshot_data_.clear();
  snapshot_index_ = 0;
  return true;
}

void Follower::OnResponse(Micros now, const FollowResponse& response) {
  if (response.number != in_flight_ || in_flight_ == 0) return;
  in_flight_ = 0;
  const Micros next_poll = now + rules_.poll_interval +
                           static_cast<Micros>(NextRandom() % static_cast<uint64_t>(std::max<Micros>(
                                                                  1, rules_.poll_interval / 2)));
  if (response.kind == FollowResponse::Kind::kRetryLater) {
    next_request_at_ = next_poll;
    return NextVoter(true);
  }
  last_response_at_ = now;
  known_commit_ = std::max(known_commit_, response.commit);
  leader_ = response.leader;
  bool accepted = false;
  if (response.kind == FollowResponse::Kind::kUnknownEntry) {
    // A committed entry is in the log of each voter that has caught up that far. If all voters report it as
    // unknown, the log was started anew: the follower resets and replicates the new log from its beginning.
    if (++unknown_entries_ > addresses_.size()) {
      index_ = term_ = known_commit_ = 0;
      unknown_entries_ = 0;
      applied_.push_back({Snapshot{}, {}});
    }
  } else {
    unknown_entries_ = 0;
    accepted = response.kind == FollowResponse::Kind::kEntries ? AcceptEntries(response)
                                                               : AcceptSnapshotChunk(response);
  }
  if (!accepted) {
    ++rejected_;
    next_request_at_ = next_poll;
    return NextVoter(true);
  }
  if (!response.voters.empty() && response.kind == FollowResponse::Kind::kEntries) {
    voters_ = response.voters;
    addresses_.clear();
    for (const Voter& voter : voters_) addresses_.push_back(voter.address);
  }
  // All chunks of a snapshot come from one voter: another voter's snapshot may be of another index.
  if (snapshot_index_ == 0) NextVoter(false);
  next_request_at_ = index_ < response.commit ? now : next_poll;
}

std::vector<Follower::Request> Follower::TakeRequests() { return std::exchange(requests_, {}); }
std::vector<Applied> Follower::TakeApplied() { return std::exchange(applied_, {}); }

}  // namespace burlfall::consensus
