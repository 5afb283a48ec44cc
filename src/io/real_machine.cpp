#include "io/real_machine.h"

#include <fcntl.h>
#include <malloc.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <string>
#include <system_error>

#include "io/real_durable.h"
#include "io/real_files.h"
#include "io/real_network.h"

namespace burlfall {
namespace {

constexpr int kMaxPolls = 64;  // reads of pending events before the woken coroutines run

template <typename Clock>
Micros Read() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
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

RealScheduler::RealScheduler(bool precise_timers)
    : epoll_(epoll_create1(EPOLL_CLOEXEC)), precise_timers_(precise_timers) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
  offset_ = Read<std::chrono::system_clock>() - Read<std::chrono::steady_clock>();
}

Micros RealScheduler::Now() const { return offset_ + Read<std::chrono::steady_clock>(); }

bool RealScheduler::TryWatch(int fd, Signal& signal) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = &signal;
  return epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) == 0;
}

void RealScheduler::Watch(int fd, Signal& signal) {
  if (!TryWatch(fd, signal)) throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void RealScheduler::Unwatch(int fd) { epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr); }

void RealScheduler::Poll(Micros until) {
  int wait = -1;
  if (until <= 0) {
    wait = 0;
  } else if (until != kNever) {
    const Micros left = std::max<Micros>(0, until - Now());
    wait = static_cast<int>(std::min<Micros>((left + kMs - 1) / kMs, 60000));
  }
  std::array<epoll_event, 256> events;
  const int max_events = static_cast<int>(events.size());
  int n = -1;
  if (precise_timers_ && wait > 0) {
    const Micros left = std::clamp<Micros>(until - Now(), 0, 60 * kSecond);
    const timespec exactly{left / kSecond, left % kSecond * 1000};
    n = epoll_pwait2(epoll_.get(), events.data(), max_events, &exactly, nullptr);
    if (n < 0 && errno != EINTR) precise_timers_ = false;  // the kernel lacks epoll_pwait2
  }
  if (!precise_timers_ || wait <= 0) n = epoll_wait(epoll_.get(), events.data(), max_events, wait);
  // A process that was stopped and continued gets EINTR, whatever has arrived meanwhile: read the events.
  if (n < 0 && errno == EINTR) n = epoll_wait(epoll_.get(), events.data(), max_events, 0);
  if (n < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
  // No coroutine runs in this loop, so no Signal that a later event refers to can be destroyed meanwhile. All
  // pending events are read before any coroutine runs: otherwise a high-priority signal
  // (Signal::SetHighPriority) would wait behind the coroutines of the events read before it.
  for (int polls = 0; n > 0; ++polls) {
    for (int i = 0; i < n; ++i) {
      const epoll_event& event = events[static_cast<size_t>(i)];
      Signal& signal = *static_cast<Signal*>(event.data.ptr);
      event.events&(EPOLLRDHUP | EPOLLHUP | EPOLLERR) ? signal.NotifyPeerEnded() : signal.Notify();
    }
    if (n < max_events || polls >= kMaxPolls) break;
    n = epoll_wait(epoll_.get(), events.data(), max_events, 0);
  }
}

RealMachine::RealMachine(bool precise_timers)
    : standard_error_open_(fcntl(STDERR_FILENO, F_GETFD) >= 0),
      scheduler_(precise_timers),
      network_(MakeRealNetwork(scheduler_)),
      files_(MakeRealFiles()) {}
RealMachine::~RealMachine() = default;

std::unique_ptr<DurableWriter> RealMachine::Durable() { return MakeRealDurable(scheduler_); }

Micros RealMachine::WallClock() { return Read<std::chrono::system_clock>(); }

uint64_t RealMachine::Entropy() {
  uint64_t bits = 0;
  if (getrandom(&bits, sizeof bits, 0) != static_cast<ssize_t>(sizeof bits)) {
    throw std::system_error(errno, std::generic_category(), "getrandom");
  }
  return bits;
}

std::unique_ptr<Writable> RealMachine::StandardError() {
  return standard_error_open_ ? MakeDescriptorWriter(STDERR_FILENO) : MakeClosedWriter();
}

size_t RealMachine::MaxDescriptors() {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<size_t>(limit.rlim_cur) : 1024;
}

size_t RealMachine::ResidentBytes() {
  const std::string text = files_->Read("/proc/self/statm").value_or("");
  const size_t blank = text.find(' ');  // resident size is the second number, in pages: proc(5)
  if (blank == std::string::npos) return 0;
  return std::strtoull(text.c_str() + blank, nullptr, 10) * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

void RealMachine::ReturnFreeMemory() { malloc_trim(0); }

ProcessSignals::ProcessSignals(RealScheduler& scheduler, std::initializer_list<int> signals)
    : Signal(scheduler) {
  sigset_t set;
  sigemptyset(&set);
  for (int one : signals) sigaddset(&set, one);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  fd_ = Descriptor(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
  scheduler.Watch(fd_.get(), *this);
}

int ProcessSignals::Take() {
  signalfd_siginfo info;
  const bool one = read(fd_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info);
  return one ? static_cast<int>(info.ssi_signo) : 0;
}

}  // namespace burlfall
