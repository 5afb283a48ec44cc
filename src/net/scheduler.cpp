#include "net/scheduler.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>

namespace burlfall {
namespace {

Micros Steady() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
  Descriptor old(std::move(other));
  std::swap(fd_, old.fd_);
  return *this;
}

Descriptor::~Descriptor() {
  if (fd_ >= 0) close(fd_);
}

Scheduler::Scheduler() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
  offset_ = std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count() -
            Steady();
}

Micros Scheduler::Now() const { return offset_ + Steady(); }

void Scheduler::Run() {
  while (!stopped_) Turn();
}

void Scheduler::Turn() {
  // What is woken from here on belongs to the next turn, so that sockets and timers get theirs.
  for (size_t n = ready_.size(); n > 0 && !stopped_ && !ready_.empty(); --n) {
    Waiter* waiter = ready_.front();
    ready_.pop_front();
    if (waiter == nullptr) continue;  // its coroutine was destroyed
    waiter->queued_ = false;
    waiter->handle_.resume();
  }
  if (stopped_) return;
  int wait = -1;
  if (!ready_.empty()) {
    wait = 0;
  } else if (!timers_.empty()) {
    Micros left = std::max<Micros>(0, timers_.begin()->first - Now());
    wait = static_cast<int>(std::min<Micros>((left + kMs - 1) / kMs, 60000));
  }
  std::array<epoll_event, 256> events;
  int n = epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), wait);
  if (n < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
  // No coroutine runs in this loop, so no socket named by a later event can go away meanwhile.
  for (int i = 0; i < n; ++i) static_cast<Socket*>(events[static_cast<size_t>(i)].data.ptr)->Notify();
  Micros now = Now();
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
  notified_ = std::exchange(signal_.notified_, false);
  return notified_;
}

void Waiter::await_suspend(std::coroutine_handle<> handle) {
  handle_ = handle;
  suspended_ = true;
  signal_.waiter_ = this;
  if (until_ != kNever) timer_ = signal_.scheduler_.timers_.emplace(until_, this);
}

void Waiter::Wake(bool notified) {
  if (timer_) signal_.scheduler_.timers_.erase(*timer_);
  timer_.reset();
  signal_.waiter_ = nullptr;
  notified_ = notified;
  queued_ = true;
  signal_.scheduler_.ready_.push_back(this);
}

void Signal::Notify() {
  if (waiter_ != nullptr) {
    waiter_->Wake(true);
  } else {
    notified_ = true;
  }
}

Socket::Socket(Scheduler& scheduler, Descriptor fd) : Signal(scheduler), fd_(std::move(fd)) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = this;
  if (epoll_ctl(scheduler.epoll_.get(), EPOLL_CTL_ADD, fd_.get(), &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
}

Io Socket::Read(std::string& into) {
  std::array<char, 16384> piece;
  while (true) {
    ssize_t n = recv(fd_.get(), piece.data(), piece.size(), 0);
    if (n > 0) {
      into.append(piece.data(), static_cast<size_t>(n));
      return Io::kSome;
    }
    if (n == 0) return Io::kClosed;
    if (errno == EINTR) continue;
    return errno == EAGAIN || errno == EWOULDBLOCK ? Io::kLater : Io::kBroken;
  }
}

Io Socket::Write(std::string_view& bytes) {
  while (!bytes.empty()) {
    // Without MSG_NOSIGNAL a peer that is gone would end the program by SIGPIPE.
    ssize_t n = send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n >= 0) {
      bytes.remove_prefix(static_cast<size_t>(n));
    } else if (errno != EINTR) {
      return errno == EAGAIN || errno == EWOULDBLOCK ? Io::kLater : Io::kBroken;
    }
  }
  return Io::kSome;
}

bool Socket::Quiet() const {
  char byte;
  ssize_t n = recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace burlfall
