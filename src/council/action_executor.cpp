#include "council/action_executor.h"

#include <algorithm>
#include <utility>

namespace burlfall::council {
namespace {

using owner::Error;

constexpr size_t kMaxPendingActions = 256;
constexpr Micros kReopenInterval = 100 * kMs;  // of a disk that failed
constexpr Micros kReadInterval = 100 * kMs;    // of the current epoch, after a read without an answer

}  // namespace

ActionExecutor::ActionExecutor(Machine& machine, const State& replica, Setup setup, Log& log,
                               Counters& counters)
    : machine_(machine),
      replica_(replica),
      setup_(std::move(setup)),
      log_(log),
      counters_(counters),
      executor_({.disk = true}, machine.files().Read(setup_.path)),
      learn_wakeup_(machine.scheduler()),
      reopen_delay_(machine.scheduler()) {}

void ActionExecutor::Start() {
  if (executor_.damaged()) log_.Emit<"council_disk">("damaged", setup_.path);
  disk_task_ = WatchDisk();
  disk_task_.Start();
  learn_task_ = LearnEpochs();
  learn_task_.Start();
}

void ActionExecutor::Stop() {
  disk_task_ = {};
  learn_task_ = {};
  disk_.reset();
}

void ActionExecutor::OnAction(MemberMessage action, uint64_t connection) {
  if (pending_actions_.size() >= kMaxPendingActions) pending_actions_.pop_front();
  pending_actions_.push_back({std::move(action), connection});
  CheckPendingActions();
}

void ActionExecutor::OnReplicaChanged() {
  const std::map<std::string, uint64_t> known_epochs = executor_.highest_epochs();
  bool changed = false;
  for (const auto& [task, epoch] : known_epochs) {
    if (executor_.RefuseBelow(task, replica_.owner().EpochOf(task))) changed = true;
  }
  if (changed) CheckPendingActions();
}

uint64_t ActionExecutor::HighestKnownEpoch() const {
  uint64_t highest = replica_.owner().last_epoch();
  for (const auto& [task, epoch] : executor_.highest_epochs()) highest = std::max(highest, epoch);
  for (const PendingAction& action : pending_actions_) highest = std::max(highest, action.message.epoch);
  return highest;
}

void ActionExecutor::CheckPendingActions() {
  for (PendingAction& action : std::exchange(pending_actions_, {})) {
    const owner::Executor::Verdict verdict = executor_.Check(action.message.owned_task, action.message.epoch);
    if (verdict.error == Error::kNotTold) {
      unknown_epochs_.insert(action.message.owned_task);
      learn_wakeup_.Notify();
    }
    if (verdict.error == Error::kNotTold || verdict.error == Error::kNotWritten) {
      pending_actions_.push_back(std::move(action));
    } else {
      Report(action, verdict);
    }
  }
  WriteEpochs();
}

void ActionExecutor::Report(const PendingAction& action, const owner::Executor::Verdict& verdict) {
  const MemberMessage& message = action.message;
  if (verdict.ok()) {
    ++counters_.council_obeyed;
    uint64_t& logged_epoch = logged_epochs_[message.owned_task];
    if (std::exchange(logged_epoch, message.epoch) != message.epoch)
      log_.Emit<"council_obeys">(message.owned_task, message.name, message.epoch);
  } else {
    ++counters_.council_fenced;
    log_.Emit<"council_refuses">(message.owned_task, message.name, message.epoch, verdict.highest_epoch,
                                 owner::NameOf(verdict.error));
  }
  MemberMessage reply{.kind = MemberMessage::Kind::kActionReply,
                      .number = message.number,
                      .name = setup_.member,
                      .index = verdict.highest_epoch};
  reply.epoch = message.epoch;
  reply.error = verdict.error;
  reply.owned_task = message.owned_task;
  setup_.reply(action.connection, std::move(reply));
}

void ActionExecutor::WriteEpochs() {
  if (!disk_) return;  // written once it is opened again
  if (std::optional<owner::Executor::Write> write = executor_.NextWrite()) {
    pending_writes_.push_back(write->number);
    disk_->Write({{setup_.path, {}, std::move(write->bytes)}});
  }
}

Task<> ActionExecutor::WatchDisk() {
  while (true) {
    if (!disk_) {
      disk_ = machine_.Durable();
      disk_done_ = 0;
    }
    while (disk_done_ < disk_->done() && !pending_writes_.empty()) {
      ++disk_done_;
      executor_.OnWritten(pending_writes_.front(), true);
      pending_writes_.pop_front();
    }
    if (const std::string why = disk_->ErrorText(); !why.empty()) {
      log_.Emit<"council_disk">("failed", why);
      while (!pending_writes_.empty()) {
        executor_.OnWritten(pending_writes_.front(), false);
        pending_writes_.pop_front();
      }
      disk_.reset();
      co_await reopen_delay_.Wait(machine_.Now() + kReopenInterval);
      continue;
    }
    CheckPendingActions();
    co_await disk_->Wait();
  }
}

Task<> ActionExecutor::LearnEpochs() {
  while (true) {
    while (!unknown_epochs_.empty()) {
      const std::string task = *unknown_epochs_.begin();
      const std::optional<uint64_t> epoch = co_await setup_.read_epoch(task);
      if (epoch) {
        // The answer may have been on its way while the log went on.
        executor_.SetCurrentEpoch(task, std::max(*epoch, replica_.owner().EpochOf(task)));
        unknown_epochs_.erase(task);
        CheckPendingActions();
      } else {
        const Micros until = machine_.Now() + kReadInterval;
        while (machine_.Now() < until) co_await learn_wakeup_.Wait(until);
      }
    }
    co_await learn_wakeup_.Wait();
  }
}

}  // namespace burlfall::council
