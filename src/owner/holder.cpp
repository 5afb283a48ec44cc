#include "owner/holder.h"

#include <algorithm>

namespace burlfall::owner {
namespace {

constexpr size_t kMaxRememberedRequests = 32;
constexpr int kMaxReleaseTries = 20;  // after that the lease expires

}  // namespace

LeaseHolder::LeaseHolder(ProcessId self, std::string task, HolderRules rules, uint64_t first_request)
    : self_(std::move(self)), task_(std::move(task)), rules_(rules), next_request_(first_request) {}

void LeaseHolder::Acquire() {
  wants_ = true;
  next_at_ = 0;
}

void LeaseHolder::Release() {
  wants_ = false;
  if (epoch_ != 0) {
    release_epoch_ = epoch_;
    release_tries_ = 0;
    LoseOwnership(Error::kNotOwner);
  } else {
    leave_queue_ = true;
  }
  next_at_ = 0;
}

void LeaseHolder::LoseOwnership(Error why) {
  last_lost_epoch_ = std::max(last_lost_epoch_, epoch_);
  epoch_ = 0;
  lease_until_ = 0;
  stopping_ = false;
  unanswered_ = false;
  request_times_.clear();
  not_owner_reason_ = why;
}

std::vector<Command> LeaseHolder::Tick(Micros now) {
  std::vector<Command> commands;
  if (now < next_at_) return commands;
  Command command;
  command.task = task_;
  command.who = self_;
  next_at_ = kNever;
  if (release_epoch_ != 0 || leave_queue_) {
    command.kind = Command::Kind::kRelease;
    command.epoch = release_epoch_;
    commands.push_back(command);
    leave_queue_ = false;
    if (++release_tries_ >= kMaxReleaseTries) release_epoch_ = 0;
    next_at_ = now + rules_.retry_interval;
  }
  if (!wants_ || stopping_) return commands;
  command.request = next_request_++;
  command.kind = epoch_ != 0 ? Command::Kind::kRenew : Command::Kind::kAcquire;
  command.epoch = epoch_;
  request_times_[command.request] = now;
  while (request_times_.size() > kMaxRememberedRequests) request_times_.erase(request_times_.begin());
  unanswered_ = true;
  commands.push_back(command);
  next_at_ = now + rules_.retry_interval;
  return commands;
}

void LeaseHolder::OnEffect(Micros now, const Effect& effect) {
  if (effect.task != task_ || effect.who != self_) return;
  const auto sent = request_times_.find(effect.request);
  const bool known = sent != request_times_.end();
  // An effect that answers no remembered request gives no lease time: the lease has to be renewed first.
  const Micros until = known ? sent->second + effect.lease - rules_.margin : 0;
  switch (effect.what) {
    case Effect::What::kGranted:
    case Effect::What::kRenewed:
      if (effect.epoch <= last_lost_epoch_ || effect.epoch < epoch_) return;
      if (!wants_) {
        if (effect.epoch == release_epoch_) return;  // the release is already being sent
        release_epoch_ = effect.epoch;
        release_tries_ = 0;
        next_at_ = now;
        return;
      }
      if (effect.epoch > epoch_) {
        epoch_ = effect.epoch;
        lease_until_ = 0;
        stopping_ = false;
      }
      lease_until_ = std::max(lease_until_, until);
      if (known) unanswered_ = false;
      next_at_ = std::max(now, known ? sent->second + static_cast<Micros>(static_cast<double>(effect.lease) *
                                                                          rules_.renew_after_share)
                                     : now);
      return;
    case Effect::What::kRefused:
      if (!known) return;
      unanswered_ = false;
      if (epoch_ == 0) {
        not_owner_reason_ = effect.error;
      } else if (effect.error == Error::kHandedOver || effect.error == Error::kTakenAway) {
        stopping_ = true;
      } else if (effect.error != Error::kTooMany) {
        LoseOwnership(effect.error);
        next_at_ = now;
      }
      return;
    case Effect::What::kQueued:
      if (known) unanswered_ = false;
      return;
    case Effect::What::kStop:
      if (effect.epoch == epoch_ && epoch_ != 0) stopping_ = true;
      return;
    case Effect::What::kEnded:
      if (effect.epoch == release_epoch_) release_epoch_ = 0;
      if (effect.epoch == epoch_ && epoch_ != 0) {
        LoseOwnership(effect.error == Error::kNone ? Error::kNotOwner : effect.error);
        next_at_ = now;
      }
      return;
  }
}

Permit LeaseHolder::MayAct(Micros now) {
  if (epoch_ == 0) return {not_owner_reason_, 0, 0};
  if (now >= lease_until_) return {unanswered_ ? Error::kNoCouncil : Error::kLeaseOver, epoch_, 0};
  return {Error::kNone, epoch_, lease_until_ - now};
}

void LeaseHolder::OnFenced(uint64_t epoch) {
  if (epoch != epoch_ || epoch_ == 0) return;
  LoseOwnership(Error::kFenced);
  next_at_ = 0;
}

}  // namespace burlfall::owner
