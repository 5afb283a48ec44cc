// Durable writes, which survive a power failure. They run in order outside the caller's thread, and a batch
// counts as done once it is flushed to the disk. No call here blocks: a slow flush does not delay the caller.
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
  // Offset at which the bytes are written; the file is truncated after them. Nothing: the bytes replace the
  // whole file atomically, so a crash of the process or the machine leaves either the old or the new content.
  std::optional<uint64_t> at = {};
  std::string bytes;
};

// Notified whenever a batch has completed or failed.
class DurableWriter : public Signal {
 public:
  using Signal::Signal;
  virtual ~DurableWriter() = default;
  virtual void Write(std::vector<DurableWrite> batch) = 0;
  // Number of batches written and flushed. It never grows again once a batch has failed, since the content of
  // the disk is unknown after a failed flush.
  virtual uint64_t done() const = 0;
  // Describes the failure; empty if there was none.
  virtual std::string ErrorText() const = 0;
};

}  // namespace burlfall

#endif  // BURLFALL_IO_DURABLE_H_
