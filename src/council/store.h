// A voter's durable state as files: term and vote, snapshot, and log. Each file names the voter and its disk
// and carries a checksum. Store reads the files, but writes none: it returns the writes for a DurableWriter.
//
// A log whose last record is incomplete is cut before that record: its flush had not completed, so the voter
// had not acknowledged it to anyone. Any other difference from what was written is reported as a StoreFault,
// and the voter does not vote.
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

// Why a voter's files can't be used.
enum class StoreFault : uint8_t {
  kNone,
  kUnusable,    // the folder does not exist or is not writable
  kDamaged,     // a file's content is not what was written
  kOtherVoter,  // a file belongs to another voter
  kMixedDisks,  // the files name different disks
  kMissing,     // some of the files exist, but not all
};
const char* NameOf(StoreFault fault);  // such as "damaged"

// Reads a voter's files and encodes the changes to them. A disk is identified by a random number, which is
// chosen when the files are first written.
class Store {
 public:
  // `stem`: the files are STEM.vote, STEM.snapshot and STEM.log. `name`: the voter's name.
  Store(std::string stem, std::string name) : stem_(std::move(stem)), name_(std::move(name)) {}

  // Result of Open().
  struct Opened {
    StoreFault fault = StoreFault::kNone;
    std::string reason;                // the file, and what is wrong with it
    bool empty = false;                // no files yet: `new_disk` is used; the first write stores it
    size_t truncated_bytes = 0;        // of an incomplete record at the log's end that was never flushed
    consensus::PersistentState state;  // valid if there is no fault
  };
  // Reads the files. `new_disk`: a random number that identifies a new disk; 0 counts as 1.
  Opened Open(Files& files, const std::string& folder, uint64_t new_disk);
  uint64_t disk() const { return disk_; }

  // Writes that replace all files with `state`, for example when an operator bootstraps the log.
  std::vector<DurableWrite> WriteAll(const consensus::PersistentState& state);
  // Writes that carry out the core's next write. Must be called for each of them, in order.
  std::vector<DurableWrite> WriteNext(const consensus::DiskWrite& write);
  size_t log_bytes() const { return log_bytes_; }

 private:
  std::string AddHeader(char kind, std::string_view body) const;
  std::optional<std::string> ReadBody(char kind, const std::string& path, const std::string& text,
                                      Opened& opened);
  DurableWrite VoteFile(const consensus::DiskWrite::TermVote& term_and_vote) const;
  DurableWrite SnapshotFile(const consensus::Snapshot& snapshot) const;
  DurableWrite LogFile();
  void ReadLog(const std::string& text, Opened& opened);
  std::string PathOf(const char* what) const { return stem_ + what; }

  const std::string stem_;
  const std::string name_;
  uint64_t disk_ = 0;
  uint64_t first_index_ = 0;         // of the first record
  std::deque<std::string> records_;  // of the log, as encoded in the file
  uint64_t log_bytes_ = 0;           // of the log file, including its header
  uint64_t log_header_bytes_ = 0;
  bool log_exists_ = false;
  bool rewrite_log_ = false;  // the log file holds entries that were discarded on reading
};

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_STORE_H_
