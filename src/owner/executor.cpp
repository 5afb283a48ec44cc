#include "owner/executor.h"

#include <algorithm>

#include "owner/bytes.h"
#include "owner/owner.h"

namespace burlfall::owner {
namespace {

constexpr std::string_view kWhat = "bfox";
constexpr size_t kMostInFile = 4096;

}  // namespace

Executor::Executor(ExecutorRules rules, std::optional<std::string_view> kept) : rules_(rules) {
  if (!rules_.disk || !kept) return;
  Reader from(*kept, kWhat, 1 + 2 * kMostInFile);
  const size_t works = from.Count(kMostInFile);
  for (size_t i = 0; i < works && from.ok(); ++i) {
    const std::string work = from.Text(kLongestName);
    highest_[work] = from.Number();
  }
  if (!from.Done()) {
    damaged_ = true;
    highest_.clear();
    return;
  }
  written_ = highest_;
}

Executor::Verdict Executor::Ask(const std::string& work, uint64_t epoch) {
  if (work.empty() || work.size() > kLongestName || epoch == 0) return {Error::kMalformed, 0};
  const auto at = highest_.find(work);
  if (at == highest_.end()) {
    return {highest_.size() >= rules_.most_works ? Error::kTooMany : Error::kNotTold, 0};
  }
  if (epoch < at->second) return {Error::kFenced, at->second};
  // From here on lower ones are refused, also while this one is still on its way to the disk.
  at->second = epoch;
  if (rules_.disk) {
    const auto written = written_.find(work);
    if (written == written_.end() || written->second < epoch) {
      return {failed_ ? Error::kDiskLost : Error::kNotWritten, epoch};
    }
  }
  return {Error::kNone, epoch};
}

void Executor::Told(const std::string& work, uint64_t epoch) {
  if (work.empty() || work.size() > kLongestName) return;
  if (!highest_.contains(work) && highest_.size() >= rules_.most_works) return;
  uint64_t& highest = highest_[work];
  highest = std::max(highest, epoch);
}

std::optional<Executor::Write> Executor::Pending() {
  if (!rules_.disk || under_way_ || highest_ == written_) return std::nullopt;
  Writer to;
  to.Number(highest_.size());
  for (const auto& [work, epoch] : highest_) to.Text(work).Number(epoch);
  writing_ = highest_;
  under_way_ = true;
  return Write{++number_, to.Finish(kWhat)};
}

void Executor::Written(uint64_t number, bool ok) {
  if (!under_way_ || number != number_) return;
  under_way_ = false;
  failed_ = !ok;
  if (ok) written_ = writing_;
}

uint64_t Executor::HighestOf(const std::string& work) const {
  const auto at = highest_.find(work);
  return at == highest_.end() ? 0 : at->second;
}

}  // namespace burlfall::owner
