// The real machine: epoll, sockets and files of the system, the system's clocks.
#ifndef BURLFALL_IO_REAL_MACHINE_H_
#define BURLFALL_IO_REAL_MACHINE_H_

#include <initializer_list>
#include <memory>
#include <utility>

#include "io/machine.h"

namespace burlfall {

// Owns a descriptor.
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

class RealScheduler final : public Scheduler {
 public:
  explicit RealScheduler(bool fine = false);
  Micros Now() const override;
  // Notifies the signal at each edge of the descriptor, until that is closed. Throws std::system_error.
  void Watch(int fd, Signal& signal);
  bool TryWatch(int fd, Signal& signal);  // false where the system has no room for one more
  // No more notices of it. Closing does as much, unless another process holds the same thing.
  void Unwatch(int fd);

 private:
  void Poll(Micros until) override;

  Descriptor epoll_;
  bool fine_;
  Micros offset_ = 0;  // from the steady clock to Unix time
};

class RealMachine final : public Machine {
 public:
  // `fine`: timers come to the microsecond, as near as the system can. Else up to a millisecond late, so that
  // those of one millisecond come together.
  explicit RealMachine(bool fine = false);
  ~RealMachine() override;
  RealScheduler& scheduler() override { return scheduler_; }
  Network& network() override { return *network_; }
  Files& files() override { return *files_; }
  std::unique_ptr<DurableWriter> Durable() override;
  Micros WallClock() override;
  uint64_t Entropy() override;
  std::unique_ptr<Writable> StandardError() override;
  size_t MostDescriptors() override;
  size_t ResidentBytes() override;

 private:
  // Looked at first: where it is closed, its number is the next descriptor's.
  const bool standard_error_open_;
  RealScheduler scheduler_;
  std::unique_ptr<Network> network_;
  std::unique_ptr<Files> files_;
};

// What Machine::StandardError() does, for any descriptor, which stays the caller's; `anew` false: it is never
// opened anew.
std::unique_ptr<Writable> WriteTo(int fd, bool anew = true);
std::unique_ptr<Writable> WriteToNobody();  // every write is kBroken

// A connection over a descriptor that is a socket, or the end of a pipe that is read, and doesn't block.
// Nullptr where the system has no room to watch it, or it can't be watched.
std::unique_ptr<Stream> StreamOver(RealScheduler& scheduler, Descriptor fd);

// The process's signals, which wait from here on instead of ending it.
class ProcessSignals final : public Signal {
 public:
  ProcessSignals(RealScheduler& scheduler, std::initializer_list<int> signals);
  int Take();  // the next that has come; 0: none

 private:
  Descriptor fd_;
};

}  // namespace burlfall

#endif  // BURLFALL_IO_REAL_MACHINE_H_
