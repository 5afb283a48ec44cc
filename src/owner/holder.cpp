#include "owner/holder.h"

#include <algorithm>

namespace burlfall::owner {
namespace {

constexpr size_t kMostAsked = 32;
constexpr int kGiveUpTries = 20;  // then the lease ends it

}  // namespace

Holder::Holder(Who self, std::string work, HolderRules rules, uint64_t first_request)
    : self_(std::move(self)), work_(std::move(work)), rules_(rules), next_request_(first_request) {}

void Holder::Want() {
  wants_ = true;
  next_at_ = 0;
}

void Holder::GiveUp() {
  wants_ = false;
  if (epoch_ != 0) {
    give_up_ = epoch_;
    give_up_tries_ = 0;
    Lose(Error::kNotOwner);
  } else {
    leave_line_ = true;
  }
  next_at_ = 0;
}

void Holder::Lose(Error why) {
  over_ = std::max(over_, epoch_);
  epoch_ = 0;
  until_ = 0;
  stopping_ = false;
  asked_in_vain_ = false;
  asked_.clear();
  lost_ = why;
}

std::vector<Command> Holder::Tick(Micros now) {
  std::vector<Command> commands;
  if (now < next_at_) return commands;
  Command command;
  command.work = work_;
  command.who = self_;
  next_at_ = kNever;
  if (give_up_ != 0 || leave_line_) {
    command.kind = Command::Kind::kGiveUp;
    command.epoch = give_up_;
    commands.push_back(command);
    leave_line_ = false;
    if (++give_up_tries_ >= kGiveUpTries) give_up_ = 0;
    next_at_ = now + rules_.ask_again;
  }
  if (!wants_ || stopping_) return commands;
  command.request = next_request_++;
  command.kind = epoch_ != 0 ? Command::Kind::kRenew : Command::Kind::kWant;
  command.epoch = epoch_;
  asked_[command.request] = now;
  while (asked_.size() > kMostAsked) asked_.erase(asked_.begin());
  asked_in_vain_ = true;
  commands.push_back(command);
  next_at_ = now + rules_.ask_again;
  return commands;
}

void Holder::Heard(Micros now, const Effect& effect) {
  if (effect.work != work_ || effect.who != self_) return;
  const auto asked = asked_.find(effect.request);
  const bool known = asked != asked_.end();
  // What answers a question that is not remembered gives no time: it has to be renewed first.
  const Micros until = known ? asked->second + effect.lease - rules_.margin : 0;
  switch (effect.what) {
    case Effect::What::kGranted:
    case Effect::What::kRenewed:
      if (effect.epoch <= over_ || effect.epoch < epoch_) return;
      if (!wants_) {
        if (effect.epoch == give_up_) return;  // it is being told already
        give_up_ = effect.epoch;
        give_up_tries_ = 0;
        next_at_ = now;
        return;
      }
      if (effect.epoch > epoch_) {
        epoch_ = effect.epoch;
        until_ = 0;
        stopping_ = false;
      }
      until_ = std::max(until_, until);
      if (known) asked_in_vain_ = false;
      next_at_ = std::max(now, known ? asked->second + static_cast<Micros>(static_cast<double>(effect.lease) *
                                                                           rules_.renew_at)
                                     : now);
      return;
    case Effect::What::kRefused:
      if (!known) return;
      asked_in_vain_ = false;
      if (epoch_ == 0) {
        lost_ = effect.error;
      } else if (effect.error == Error::kHandedOver || effect.error == Error::kTakenAway) {
        stopping_ = true;
      } else if (effect.error != Error::kTooMany) {
        Lose(effect.error);
        next_at_ = now;
      }
      return;
    case Effect::What::kQueued:
      if (known) asked_in_vain_ = false;
      return;
    case Effect::What::kStop:
      if (effect.epoch == epoch_ && epoch_ != 0) stopping_ = true;
      return;
    case Effect::What::kOver:
      if (effect.epoch == give_up_) give_up_ = 0;
      if (effect.epoch == epoch_ && epoch_ != 0) {
        Lose(effect.error == Error::kNone ? Error::kNotOwner : effect.error);
        next_at_ = now;
      }
      return;
  }
}

Permit Holder::MayAct(Micros now) {
  if (epoch_ == 0) return {lost_, 0, 0};
  if (now >= until_) return {asked_in_vain_ ? Error::kNoCouncil : Error::kLeaseOver, epoch_, 0};
  return {Error::kNone, epoch_, until_ - now};
}

void Holder::Fenced(uint64_t epoch) {
  if (epoch != epoch_ || epoch_ == 0) return;
  Lose(Error::kFenced);
  next_at_ = 0;
}

}  // namespace burlfall::owner
