// A voter's durable state as files: its term and vote, its snapshot, its log. Each file names the voter and
// its disk and carries a checksum. Nothing is written here: what is to be written comes out, for a
// DurableWriter.
//
// A log that ends within a record ends there: that record's flush had not come back, so nobody was told of
// it. Anything else that is not as it was written is an error by name, and the voter does not vote.
#ifndef BURLFALL_COUNCIL_STORE_H_
#define BURLFALL_COUNCIL_STORE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/core.h"
#include "io/durable.h"
#include "io/files.h"

namespace burlfall::council {

enum class StoreFault : uint8_t {
  kNone,
  kUnusable,  // the folder: no folder, or nothing may be written there
  kDamaged,   // a file is not what was written
  kOther,     // it is another voter's
  kMixed,     // its files are not of one disk
  kMissing,   // one of its files is gone
};
const char* NameOf(StoreFault fault);  // such as "damaged"

class Store {
 public:
  // `stem`: the files are STEM.vote, STEM.snapshot and STEM.log. `name`: the voter's.
  Store(std::string stem, std::string name) : stem_(std::move(stem)), name_(std::move(name)) {}

  struct Opened {
    StoreFault fault = StoreFault::kNone;
    std::string why;                  // the file, and what is wrong with it
    bool empty = false;               // a new folder: a new disk's number was taken, Begin() writes it down
    size_t cut = 0;                   // bytes of a record that was never flushed
    consensus::PersistentState held;  // as far as there is no fault
  };
  // `draw`: what a new disk goes by; 0 counts as 1.
  Opened Open(Files& files, const std::string& folder, uint64_t draw);
  uint64_t disk() const { return disk_; }

  // All of it, as a log that begins: over whatever was there.
  std::vector<DurableWrite> Whole(const consensus::PersistentState& held);
  // The next of the core's writes, in their order.
  std::vector<DurableWrite> Next(const consensus::DiskWrite& write);
  size_t log_bytes() const { return log_bytes_; }

 private:
  std::string Headed(char kind, std::string_view body) const;
  std::optional<std::string> Body(char kind, const std::string& path, const std::string& text,
                                  Opened& opened);
  DurableWrite Promise(const consensus::DiskWrite::TermVote& promise) const;
  DurableWrite SnapshotFile(const consensus::Snapshot& snapshot) const;
  DurableWrite LogFile();
  void ReadLog(const std::string& text, Opened& opened);
  std::string Path(const char* what) const { return stem_ + what; }

  const std::string stem_;
  const std::string name_;
  uint64_t disk_ = 0;
  uint64_t first_ = 0;               // index of the first record
  std::deque<std::string> records_;  // the log's, as they stand in the file
  uint64_t log_bytes_ = 0;           // of the file, with its head
  uint64_t log_head_ = 0;
  bool log_there_ = false;
  bool rewrite_log_ = false;  // what the file holds is not what was read from it
};

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_STORE_H_
