// A world without a system under it: one clock that moves only when nothing is left to do, connections in
// memory, files in a map, chance from a seed. Any number of machines live in it, on one scheduler; what runs
// on them is the program's own code. The same seed and the same calls give the same course, to the
// microsecond.
//
// Shortages are played here: a machine has so many descriptors, and a disk that can be full.
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

namespace burlfall::world {

class VirtualListener;
class VirtualSocket;

class VirtualScheduler final : public Scheduler {
 public:
  explicit VirtualScheduler(Micros now) : now_(now) {}
  Micros Now() const override { return now_; }
  // A program that ends stops its own machine's scheduler, which here is everybody's: it is only told of.
  void Stop() override {
    if (on_stop) on_stop();
  }
  void StandStill(Micros span) { now_ += span; }  // in the middle of a turn
  void Halt() { Scheduler::Stop(); }
  bool stuck() const { return stuck_; }  // nothing was left that could ever happen
  std::function<void()> on_stop;

 protected:
  // Each turn takes a moment. Guards against two ends that answer each other at once for ever.
  void Poll(Micros until) override;

 private:
  Micros now_;
  bool stuck_ = false;
};

// What all machines of a world share.
struct World {
  World(Micros begins_at, uint64_t seed) : scheduler(begins_at), chance(seed) {}
  World(const World&) = delete;

  VirtualScheduler scheduler;
  std::mt19937_64 chance;
  std::map<std::string, VirtualListener*> listeners;  // by address
  std::map<std::string, VirtualSocket*> sockets;      // of datagrams, by address
  std::map<std::string, std::string> files;           // by path
  int last_port = 20000;
};

class VirtualMachine final : public Machine {
 public:
  explicit VirtualMachine(World& world, size_t descriptors = 1024);
  ~VirtualMachine() override;

  Scheduler& scheduler() override { return world_.scheduler; }
  Network& network() override { return *network_; }
  Files& files() override { return *files_; }
  std::unique_ptr<DurableWriter> Durable() override;
  Micros WallClock() override { return world_.scheduler.Now() + wall_off; }
  uint64_t Entropy() override { return world_.chance(); }
  std::unique_ptr<Writable> StandardError() override;
  size_t MostDescriptors() override { return descriptors; }
  size_t ResidentBytes() override { return 0; }

  size_t descriptors;        // that may be open
  size_t open = 0;           // that are
  bool disk_full = false;    // nothing more can be written
  bool flush_fails = false;  // the next flush does, once: what was written is there, and nobody may trust it
  Micros wall_off = 0;       // what the clock on the wall is ahead of the true time
  std::string said;          // on standard error

 private:
  World& world_;
  std::unique_ptr<Network> network_;
  std::unique_ptr<Files> files_;
};

}  // namespace burlfall::world

#endif  // BURLFALL_WORLD_VIRTUAL_MACHINE_H_
