#include "observe/line_sink.h"

#include <utility>

namespace burlfall {
namespace {

constexpr size_t kMaxBufferedBytes = 16 * 1024;

}  // namespace

LineSink::LineSink(Scheduler& clock, std::unique_ptr<Writable> to) : clock_(clock), to_(std::move(to)) {}

LineSink::LineSink(Scheduler& clock, Files& files, std::string path)
    : clock_(clock), files_(&files), path_(std::move(path)) {}

void LineSink::Reopen() {
  if (files_ != nullptr) to_.reset();
}

// Writes once, and removes what was written from the front of `bytes`.
LineSink::Result LineSink::WriteOnce(std::string_view& bytes) {
  switch (to_->Write(bytes)) {
    case Io::kSome:
      return Result::kWritten;
    case Io::kLater:
      return Result::kNoRoom;
    default:
      return Result::kFailed;
  }
}

LineSink::Result LineSink::Flush() {
  std::string why;
  if (!to_ && files_ != nullptr) to_ = files_->Write(path_, Files::Open::kAppend, why);
  if (!to_) return Result::kFailed;
  while (has_buffered()) {
    if (partial_.empty()) partial_.swap(lines_);
    std::string_view left = partial_;
    const Result result = WriteOnce(left);
    partial_.erase(0, partial_.size() - left.size());
    if (result != Result::kWritten) return result;
  }
  return Result::kWritten;
}

LineSink::Result LineSink::TryWrite(std::string_view lines) {
  Result before = Flush();
  if (before != Result::kWritten) return before;
  std::string_view left = lines;
  Result result = WriteOnce(left);
  if (result == Result::kWritten || left.size() == lines.size()) return result;
  partial_ = left;  // the rest of a line that was written in part goes first, or two lines would mix
  return Result::kWritten;
}

void LineSink::WriteOrBuffer(std::string_view line) {
  const Result result = TryWrite(line);
  if (result == Result::kWritten) return;
  if (result == Result::kNoRoom && lines_.size() + line.size() <= kMaxBufferedBytes) {
    lines_ += line;
  } else {
    ++dropped_;
  }
}

void LineSink::AwaitRoom(Micros timeout) const {
  if (to_) to_->WaitUntilWritable(timeout);
}

bool LineSink::Drain(Micros timeout) {
  const Micros deadline = clock_.Now() + timeout;
  while (Flush() == Result::kNoRoom && clock_.Now() < deadline) AwaitRoom(20 * kMs);
  return !has_buffered();
}

}  // namespace burlfall
