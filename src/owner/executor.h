// Fencing at the process that carries out an action: it accepts no epoch lower than one that it has accepted
// for the same task, even across restarts and whatever the owner believes.
//
// - With a disk, a new epoch is written and flushed before the first action under it is accepted.
// - Without a disk, or if its file can't be read, nothing is accepted after a restart until the council has
//   given the current epochs, by a linearizable read that began after the restart. No epoch that was accepted
//   before the restart is above what that read returns.
#ifndef BURLFALL_OWNER_EXECUTOR_H_
#define BURLFALL_OWNER_EXECUTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "owner/errors.h"

namespace burlfall::owner {

struct ExecutorRules {
  bool disk = false;  // a disk is configured
  size_t max_tasks = 64;
};

// Accepts or refuses actions by the epoch that they carry.
class Executor {
 public:
  // `file`: the bytes of the file, or empty if there is none. If the file is missing or can't be read, the
  // executor works as without a disk until the council has given the epochs; see damaged().
  explicit Executor(ExecutorRules rules, std::optional<std::string_view> file = std::nullopt);

  // Call before each action. kNone: accepted. kNotTold: ask the council for the epoch of this task, call
  // SetCurrentEpoch(), then check again. kNotWritten: write the bytes of NextWrite() and check again after
  // OnWritten(). kDiskLost: the last write failed. kFenced: `highest_epoch` is higher. kTooMany: too many
  // tasks.
  struct Verdict {
    Error error = Error::kFenced;
    uint64_t highest_epoch = 0;
    bool ok() const { return error == Error::kNone; }
  };
  Verdict Check(const std::string& task, uint64_t epoch);

  // `epoch` is from a linearizable read that began after this object was made. 0: the task never had an
  // owner.
  void SetCurrentEpoch(const std::string& task, uint64_t epoch);

  // Accepts no epoch of this task below `epoch` from now on: the log has granted that one, or ruled out the
  // lower ones. Without effect on a task that is not known here, as the council must give its epoch first.
  // Returns whether it was news.
  bool RefuseBelow(const std::string& task, uint64_t epoch);

  // The whole file, to be written and flushed at once; pass `number` to OnWritten(). Empty: nothing to write,
  // or a write is in flight.
  struct Write {
    uint64_t number = 0;
    std::string bytes;
  };
  std::optional<Write> NextWrite();
  // `ok`: the file is flushed. Otherwise epochs that are not on disk stay refused, and the write is tried
  // again.
  void OnWritten(uint64_t number, bool ok);

  bool damaged() const { return damaged_; }  // the file exists and can't be read
  uint64_t HighestEpochOf(const std::string& task) const;
  const std::map<std::string, uint64_t>& highest_epochs() const { return highest_epochs_; }

 private:
  const ExecutorRules rules_;
  bool damaged_ = false;
  bool last_write_failed_ = false;
  // From the council or from disk. A task that the file doesn't name may have been accepted before the file
  // was lost, so the council is asked for its epoch.
  std::map<std::string, uint64_t> highest_epochs_;  // lower epochs are refused
  std::map<std::string, uint64_t> written_epochs_;  // on disk; with a disk, higher epochs are not accepted
  std::map<std::string, uint64_t> epochs_in_flight_;
  uint64_t write_number_ = 0;
  bool write_in_flight_ = false;
};

}  // namespace burlfall::owner

#endif  // BURLFALL_OWNER_EXECUTOR_H_
