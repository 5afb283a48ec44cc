#include "observe/outlet.h"

#include <utility>

namespace burlfall {
namespace {

constexpr size_t kMostKept = 16 * 1024;

}  // namespace

Outlet::Outlet(Scheduler& clock, std::unique_ptr<Writable> to) : clock_(clock), to_(std::move(to)) {}

Outlet::Outlet(Scheduler& clock, Files& files, std::string path)
    : clock_(clock), files_(&files), path_(std::move(path)) {}

void Outlet::Reopen() {
  if (files_ != nullptr) to_.reset();
}

// Takes off the front what was written.
Outlet::Taken Outlet::Push(std::string_view& bytes) {
  switch (to_->Write(bytes)) {
    case Io::kSome:
      return Taken::kYes;
    case Io::kLater:
      return Taken::kLater;
    default:
      return Taken::kNo;
  }
}

Outlet::Taken Outlet::Flush() {
  std::string why;
  if (!to_ && files_ != nullptr) to_ = files_->Write(path_, Files::Open::kAppend, why);
  if (!to_) return Taken::kNo;
  while (holds()) {
    if (rest_.empty()) rest_.swap(said_);
    std::string_view left = rest_;
    const Taken taken = Push(left);
    rest_.erase(0, rest_.size() - left.size());
    if (taken != Taken::kYes) return taken;
  }
  return Taken::kYes;
}

Outlet::Taken Outlet::Offer(std::string_view lines) {
  Taken before = Flush();
  if (before != Taken::kYes) return before;
  std::string_view left = lines;
  Taken taken = Push(left);
  if (taken == Taken::kYes || left.size() == lines.size()) return taken;
  rest_ = left;  // a line that was begun is finished, or the next one would be torn too
  return Taken::kYes;
}

void Outlet::Say(std::string_view line) {
  const Taken taken = Offer(line);
  if (taken == Taken::kYes) return;
  if (taken == Taken::kLater && said_.size() + line.size() <= kMostKept) {
    said_ += line;
  } else {
    ++dropped_;
  }
}

void Outlet::AwaitRoom(Micros patience) const {
  if (to_) to_->WaitUntilWritable(patience);
}

bool Outlet::Drain(Micros patience) {
  const Micros until = clock_.Now() + patience;
  while (Flush() == Taken::kLater && clock_.Now() < until) AwaitRoom(20 * kMs);
  return !holds();
}

}  // namespace burlfall
