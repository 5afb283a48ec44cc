// The interface to the operating system: scheduler, clocks, network, files and randomness.
// real_machine.h implements it with system calls, world/virtual_machine.h in memory for tests.
#ifndef BURLFALL_IO_MACHINE_H_
#define BURLFALL_IO_MACHINE_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "io/durable.h"
#include "io/files.h"
#include "io/network.h"
#include "io/scheduler.h"

namespace burlfall {

class Machine {
 public:
  virtual ~Machine() = default;
  virtual Scheduler& scheduler() = 0;
  virtual Network& network() = 0;
  virtual Files& files() = 0;
  // A writer that works in order outside the caller's thread. Throws std::system_error.
  virtual std::unique_ptr<DurableWriter> Durable() = 0;
  // Unix time by the system clock, which may jump. Only for dates: all else uses Scheduler::Now().
  virtual Micros WallClock() = 0;
  virtual uint64_t Entropy() = 0;  // random bits from the system; only for seeds
  // Writes to standard error without blocking, and without setting O_NONBLOCK on a file description that
  // other programs share. A pipe or terminal is reopened; if that fails, it is written only while poll()
  // reports room. Never nullptr; if standard error is closed, every write returns kBroken.
  virtual std::unique_ptr<Writable> StandardError() = 0;
  virtual size_t MaxDescriptors() = 0;  // limit of open descriptors of this process
  virtual size_t ResidentBytes() = 0;   // resident memory of this process; 0 if unknown
  virtual void ReturnFreeMemory() {}    // to the system, as far as the allocator can; takes some milliseconds

  Micros Now() { return scheduler().Now(); }
  // A random number, uniform in [0, 1). It comes from the system's entropy, so machines cloned from one image
  // get different numbers.
  double RandomUnit() { return static_cast<double>(Entropy() >> 11) * 0x1p-53; }
};

}  // namespace burlfall

#endif  // BURLFALL_IO_MACHINE_H_
