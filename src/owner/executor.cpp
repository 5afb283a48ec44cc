#include "owner/executor.h"

#include <algorithm>

#include "owner/bytes.h"
#include "owner/owner.h"

namespace burlfall::owner {
namespace {

constexpr std::string_view kFileTag = "bfox";
constexpr size_t kMaxTasksInFile = 4096;

}  // namespace

Executor::Executor(ExecutorRules rules, std::optional<std::string_view> file) : rules_(rules) {
  if (!rules_.disk || !file) return;
  Reader from(*file, kFileTag, 1 + 2 * kMaxTasksInFile);
  const size_t count = from.Count(kMaxTasksInFile);
  for (size_t i = 0; i < count && from.ok(); ++i) {
    const std::string task = from.Text(kMaxNameSize);
    highest_epochs_[task] = from.Number();
  }
  if (!from.Done()) {
    damaged_ = true;
    highest_epochs_.clear();
    return;
  }
  written_epochs_ = highest_epochs_;
}

Executor::Verdict Executor::Check(const std::string& task, uint64_t epoch) {
  if (task.empty() || task.size() > kMaxNameSize || epoch == 0) return {Error::kMalformed, 0};
  const auto found = highest_epochs_.find(task);
  if (found == highest_epochs_.end()) {
    return {highest_epochs_.size() >= rules_.max_tasks ? Error::kTooMany : Error::kNotTold, 0};
  }
  if (epoch < found->second) return {Error::kFenced, found->second};
  // From here on lower epochs are refused, even while this one is still being written to disk.
  found->second = epoch;
  if (rules_.disk) {
    const auto written = written_epochs_.find(task);
    if (written == written_epochs_.end() || written->second < epoch) {
      return {last_write_failed_ ? Error::kDiskLost : Error::kNotWritten, epoch};
    }
  }
  return {Error::kNone, epoch};
}

void Executor::SetCurrentEpoch(const std::string& task, uint64_t epoch) {
  if (task.empty() || task.size() > kMaxNameSize) return;
  if (!highest_epochs_.contains(task) && highest_epochs_.size() >= rules_.max_tasks) return;
  uint64_t& highest_epochs = highest_epochs_[task];
  highest_epochs = std::max(highest_epochs, epoch);
}

bool Executor::RefuseBelow(const std::string& task, uint64_t epoch) {
  const auto known = highest_epochs_.find(task);
  if (known == highest_epochs_.end() || known->second >= epoch) return false;
  known->second = epoch;
  return true;
}

std::optional<Executor::Write> Executor::NextWrite() {
  if (!rules_.disk || write_in_flight_ || highest_epochs_ == written_epochs_) return std::nullopt;
  Writer to;
  to.Number(highest_epochs_.size());
  for (const auto& [task, epoch] : highest_epochs_) to.Text(task).Number(epoch);
  epochs_in_flight_ = highest_epochs_;
  write_in_flight_ = true;
  return Write{++write_number_, to.Finish(kFileTag)};
}

void Executor::OnWritten(uint64_t number, bool ok) {
  if (!write_in_flight_ || number != write_number_) return;
  write_in_flight_ = false;
  last_write_failed_ = !ok;
  if (ok) written_epochs_ = epochs_in_flight_;
}

uint64_t Executor::HighestEpochOf(const std::string& task) const {
  const auto found = highest_epochs_.find(task);
  return found == highest_epochs_.end() ? 0 : found->second;
}

}  // namespace burlfall::owner
