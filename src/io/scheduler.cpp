#include "io/scheduler.h"

#include <algorithm>
#include <utility>

namespace burlfall {

void Scheduler::Run() {
  while (!stopped_) RunOnce();
}

void Scheduler::RunOnce() {
  // Only the coroutines ready now: those woken meanwhile wait for the next iteration, so that sockets and
  // timers are served in between.
  for (size_t n = ready_.size(); n > 0 && !stopped_ && !ready_.empty(); --n) {
    Waiter* waiter = ready_.front();
    ready_.pop_front();
    if (waiter == nullptr) continue;  // its coroutine was destroyed
    waiter->queued_ = false;
    waiter->handle_.resume();
  }
  if (stopped_) return;
  Poll(!ready_.empty() ? 0 : timers_.empty() ? kNever : timers_.begin()->first);
  const Micros now = Now();
  last_poll_at_ = now;
  while (!timers_.empty() && timers_.begin()->first <= now) timers_.begin()->second->Wake(false);
}

Waiter::~Waiter() {
  if (!suspended_) return;
  Scheduler& scheduler = signal_.scheduler_;
  if (timer_) scheduler.timers_.erase(*timer_);
  if (signal_.waiter_ == this) signal_.waiter_ = nullptr;
  if (queued_)
    std::replace(scheduler.ready_.begin(), scheduler.ready_.end(), this, static_cast<Waiter*>(nullptr));
}

bool Waiter::await_ready() {
  if (next_turn_) return false;
  notified_ = std::exchange(signal_.notified_, false);
  return notified_;
}

void Waiter::await_suspend(std::coroutine_handle<> handle) {
  handle_ = handle;
  suspended_ = true;
  if (next_turn_) {
    queued_ = true;
    signal_.scheduler_.ready_.push_back(this);
    return;
  }
  signal_.waiter_ = this;
  if (until_ != kNever) timer_ = signal_.scheduler_.timers_.emplace(until_, this);
}

void Waiter::Wake(bool notified) {
  if (timer_) signal_.scheduler_.timers_.erase(*timer_);
  timer_.reset();
  signal_.waiter_ = nullptr;
  notified_ = notified;
  queued_ = true;
  std::deque<Waiter*>& ready = signal_.scheduler_.ready_;
  signal_.high_priority_ ? ready.push_front(this) : ready.push_back(this);
}

void Signal::Notify() {
  if (waiter_ != nullptr) {
    waiter_->Wake(true);
  } else {
    notified_ = true;
  }
}

void Signal::NotifyPeerEnded() {
  peer_ended_ = true;
  Notify();
}

}  // namespace burlfall
