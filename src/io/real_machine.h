// The operating system behind the Machine interface: epoll, sockets, files and clocks.
#ifndef BURLFALL_IO_REAL_MACHINE_H_
#define BURLFALL_IO_REAL_MACHINE_H_

#include <initializer_list>
#include <memory>
#include <utility>

#include "io/machine.h"

namespace burlfall {

// Owns a file descriptor and closes it.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept;
  ~Descriptor();
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

// A scheduler over epoll.
class RealScheduler final : public Scheduler {
 public:
  explicit RealScheduler(bool precise_timers = false);
  Micros Now() const override;
  // Notifies the signal at each edge (EPOLLET) of the descriptor, until it is closed. Throws
  // std::system_error.
  void Watch(int fd, Signal& signal);
  bool TryWatch(int fd, Signal& signal);  // false if the system can't watch one more
  // Ends the notifications. Closing does the same, unless another process holds the same file description.
  void Unwatch(int fd);

 private:
  void Poll(Micros until) override;

  Descriptor epoll_;
  bool precise_timers_;
  Micros offset_ = 0;  // added to the steady clock gives Unix time
};

class RealMachine final : public Machine {
 public:
  // `precise_timers`: timers have microsecond precision, as far as the system can. Otherwise they fire up to
  // a millisecond late, so that those of one millisecond fire together.
  explicit RealMachine(bool precise_timers = false);
  ~RealMachine() override;
  RealScheduler& scheduler() override { return scheduler_; }
  Network& network() override { return *network_; }
  Files& files() override { return *files_; }
  std::unique_ptr<DurableWriter> Durable() override;
  Micros WallClock() override;
  uint64_t Entropy() override;
  std::unique_ptr<Writable> StandardError() override;
  size_t MaxDescriptors() override;
  size_t ResidentBytes() override;
  void ReturnFreeMemory() override;

 private:
  // Checked first: if standard error is closed, the next descriptor opened gets its number.
  const bool standard_error_open_;
  RealScheduler scheduler_;
  std::unique_ptr<Network> network_;
  std::unique_ptr<Files> files_;
};

// Writes to any descriptor as Machine::StandardError() does; the caller keeps ownership. With `reopen` false
// it is never reopened.
std::unique_ptr<Writable> MakeDescriptorWriter(int fd, bool reopen = true);
std::unique_ptr<Writable> MakeClosedWriter();  // every write returns kBroken

// A stream over a non-blocking descriptor: a socket, or the read end of a pipe. Nullptr if it can't be added
// to the epoll set.
std::unique_ptr<Stream> MakeStream(RealScheduler& scheduler, Descriptor fd);

// Receives process signals (signalfd); they are blocked from then on, so they no longer end the process.
class ProcessSignals final : public Signal {
 public:
  ProcessSignals(RealScheduler& scheduler, std::initializer_list<int> signals);
  int Take();  // the next pending signal; 0: none

 private:
  Descriptor fd_;
};

}  // namespace burlfall

#endif  // BURLFALL_IO_REAL_MACHINE_H_
