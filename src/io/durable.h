// Writes that outlast the power: done in order beside the caller's thread, each batch flushed to the disk
// before it counts as done. Nothing here ever waits: a disk that takes a second for a flush holds up nobody.
#ifndef BURLFALL_IO_DURABLE_H_
#define BURLFALL_IO_DURABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "io/scheduler.h"

namespace burlfall {

struct DurableWrite {
  std::string path;
  // The bytes go there, and the file ends behind them. Nothing: they are the whole file, the old one or the
  // new one whenever this process or the machine ends.
  std::optional<uint64_t> at = {};
  std::string bytes;
};

// Notified whenever a batch has ended.
class DurableWriter : public Signal {
 public:
  using Signal::Signal;
  virtual ~DurableWriter() = default;
  virtual void Write(std::vector<DurableWrite> batch) = 0;
  // How many batches are on the disk, flush included. It never grows again once one has failed: after a flush
  // that failed, nobody knows what the disk holds.
  virtual uint64_t done() const = 0;
  // What failed, in plain words; empty: nothing.
  virtual std::string Why() const = 0;
};

}  // namespace burlfall

#endif  // BURLFALL_IO_DURABLE_H_
