// Whoever is acted upon: it obeys no epoch that is lower than one that it has obeyed for the same work,
// across its restarts, whatever the owner believes.
//
// - With a disk, an epoch that is new to it stands on the disk, flushed, before the first act under it is
// obeyed.
// - Without one, or with one that can't be read, a restart obeys nobody before the council told it the
// epochs:
//   from a read that claims to be current and began after the restart. All that it can have obeyed is not
//   above what that read says.
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
  bool disk = false;  // one is configured
  size_t most_works = 64;
};

class Executor {
 public:
  // `kept`: the file's bytes. Empty: none there. A disk with no file, or with one that can't be read, is no
  // disk until the council has told: see damaged().
  explicit Executor(ExecutorRules rules, std::optional<std::string_view> kept = std::nullopt);

  // Before each act. kNone: obeyed. kNotTold: ask the council for this work's epoch, then Told(), then ask
  // again. kNotWritten: Pending() has bytes to be written; ask again after Written(). kDiskLost: the last
  // write failed. kFenced: `highest` is higher. kTooMany: of works.
  struct Verdict {
    Error error = Error::kFenced;
    uint64_t highest = 0;
    bool ok() const { return error == Error::kNone; }
  };
  Verdict Ask(const std::string& work, uint64_t epoch);

  // From a read that claims to be current and began after this object was made. 0: the work never had an
  // owner.
  void Told(const std::string& work, uint64_t epoch);

  // The whole file, to be written and flushed as one; `number` comes back with Written(). Empty: nothing to
  // write, or one is under way already.
  struct Write {
    uint64_t number = 0;
    std::string bytes;
  };
  std::optional<Write> Pending();
  // `ok`: it stands flushed. Otherwise epochs that are not on disk stay refused, and it is tried again.
  void Written(uint64_t number, bool ok);

  bool damaged() const { return damaged_; }  // the file was there and can't be read
  uint64_t HighestOf(const std::string& work) const;
  const std::map<std::string, uint64_t>& highest() const { return highest_; }

 private:
  const ExecutorRules rules_;
  bool damaged_ = false;
  bool failed_ = false;
  // By the council or by the disk. A work that the disk doesn't name may have been obeyed before the file was
  // lost, so the council is asked for it.
  std::map<std::string, uint64_t> highest_;  // refused below
  std::map<std::string, uint64_t> written_;  // obeyed up to, where there is a disk
  std::map<std::string, uint64_t> writing_;
  uint64_t number_ = 0;
  bool under_way_ = false;
};

}  // namespace burlfall::owner

#endif  // BURLFALL_OWNER_EXECUTOR_H_
