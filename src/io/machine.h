// One machine as a program on it sees it: its scheduler and clocks, its network, its files, its randomness.
// There is a real one (real_machine.h); a world of virtual ones fits behind the same interface.
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
  // Its writes go on in order, and beside whoever asks. Throws std::system_error.
  virtual std::unique_ptr<DurableWriter> Durable() = 0;
  // Unix time by the clock on the wall, which may step. Everything but dates goes by Scheduler::Now().
  virtual Micros WallClock() = 0;
  virtual uint64_t Entropy() = 0;  // from the system; for seeds alone
  // Standard error may be shared with other programs: it is written to without ever waiting, and without
  // changing what others see of it. A pipe or terminal is opened anew, and where that can't be done it is
  // only written to while it has room. Never nullptr; where it is closed every write is kBroken.
  virtual std::unique_ptr<Writable> StandardError() = 0;
  virtual size_t MostDescriptors() = 0;  // that this process may hold
  virtual size_t ResidentBytes() = 0;    // of memory that it holds; 0: that can't be told

  Micros Now() { return scheduler().Now(); }
  // Evenly from [0, 1), by the system's chance: of machines that were copied from one image, each draws its
  // own.
  double Draw() { return static_cast<double>(Entropy() >> 11) * 0x1p-53; }
};

}  // namespace burlfall

#endif  // BURLFALL_IO_MACHINE_H_
