// A deterministic simulation of the operating system for tests: one clock that advances only when no
// coroutine is ready, connections in memory, files in a map, randomness from a seed. Any number of machines
// share one World and its scheduler; the program's own code runs on them. The same seed and the same calls
// give the same run, to the microsecond.
//
// Resource shortages can be simulated: each machine has a limit of descriptors, and a disk that can be full.
#ifndef BURLFALL_WORLD_VIRTUAL_MACHINE_H_
#define BURLFALL_WORLD_VIRTUAL_MACHINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "io/machine.h"
#include "world/virtual_channel.h"

namespace burlfall::world {

class VirtualListener;
class VirtualSocket;

class VirtualScheduler final : public Scheduler {
 public:
  explicit VirtualScheduler(Micros now) : now_(now) {}
  Micros Now() const override { return now_; }
  // A program that ends stops its machine's scheduler. All machines share this one, so only on_stop is
  // called.
  void Stop() override {
    if (on_stop) on_stop();
  }
  // Advances the clock while a coroutine runs: simulates a stall of the whole process.
  void AdvanceClock(Micros span) { now_ += span; }
  void StopAll() { Scheduler::Stop(); }  // ends Run() for all machines
  // Runs all machines for this time of the clock, and returns. Without StopAll() it can be called again.
  void RunFor(Micros span);
  bool deadlocked() const { return deadlocked_; }  // nothing was ready and no timer was set
  std::function<void()> on_stop;

 protected:
  // Each iteration takes at least 1 us: otherwise two sides that answer each other at once would keep the
  // clock from ever advancing.
  void Poll(Micros until) override;

 private:
  Micros now_;
  Micros run_until_ = kNever;  // end of the present RunFor()
  bool deadlocked_ = false;
};

// State that all machines share.
struct World {
  World(Micros begins_at, uint64_t seed) : scheduler(begins_at), random(seed) {}
  World(const World&) = delete;

  VirtualScheduler scheduler;
  std::mt19937_64 random;
  std::map<std::string, VirtualListener*> listeners;  // by address
  std::map<std::string, VirtualSocket*> sockets;      // datagram sockets, by address
  ChannelListeners channels;
  std::map<std::string, std::string> files;  // by path
  int last_port = 20000;
};

class VirtualMachine final : public Machine {
 public:
  explicit VirtualMachine(World& world, size_t max_descriptors = 1024);
  ~VirtualMachine() override;

  Scheduler& scheduler() override { return world_.scheduler; }
  Network& network() override { return *network_; }
  Files& files() override { return *files_; }
  std::unique_ptr<DurableWriter> Durable() override;
  Micros WallClock() override { return world_.scheduler.Now() + wall_clock_offset; }
  uint64_t Entropy() override { return world_.random(); }
  std::unique_ptr<Writable> StandardError() override;
  size_t MaxDescriptors() override { return max_descriptors; }
  size_t ResidentBytes() override { return 0; }

  size_t max_descriptors;       // limit of open descriptors
  size_t open_descriptors = 0;  // currently open descriptors
  bool disk_full = false;       // all writes fail
  bool flush_fails = false;     // the next flush fails, once: the bytes are written, but may not be relied on
  Micros wall_clock_offset = 0;     // WallClock() minus the true time
  std::string standard_error_text;  // what was written to standard error

 private:
  World& world_;
  std::unique_ptr<Network> network_;
  std::unique_ptr<Files> files_;
};

}  // namespace burlfall::world

#endif  // BURLFALL_WORLD_VIRTUAL_MACHINE_H_
