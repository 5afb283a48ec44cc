// Non-blocking output of lines to standard error, a file or a UDP collector. Only Drain() and AwaitRoom()
// block, for a given time.
#ifndef BURLFALL_OBSERVE_LINE_SINK_H_
#define BURLFALL_OBSERVE_LINE_SINK_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "io/files.h"
#include "io/scheduler.h"

namespace burlfall {

class LineSink {
 public:
  enum class Result {
    kWritten,  // all is written
    kNoRoom,   // there is no room now; try again later
    kFailed,   // it can't be written: the output is closed or broken
  };
  // `to` may be nullptr; then every write fails.
  LineSink(Scheduler& clock, std::unique_ptr<Writable> to);
  LineSink(Scheduler& clock, Files& files, std::string path);  // opened, and created, with the first line

  // Writes complete lines: all or none. The rest of a partial write is buffered and written first.
  Result TryWrite(std::string_view lines);
  // As TryWrite(), but a line for which there is no room is buffered, or dropped if the buffer is full.
  void WriteOrBuffer(std::string_view line);
  uint64_t dropped() const { return dropped_; }  // lines dropped so far
  bool has_buffered() const { return !partial_.empty() || !lines_.empty(); }
  Result Flush();  // writes what is buffered, as far as there is room: kWritten if that is all
  // Writes what is buffered; blocks for at most `timeout`. Returns false if some is left.
  bool Drain(Micros timeout);
  void AwaitRoom(Micros timeout) const;
  void Reopen();  // reopens the file with the next line, after log rotation

 private:
  Result WriteOnce(std::string_view& bytes);

  Scheduler& clock_;
  Files* files_ = nullptr;
  std::string path_;
  std::unique_ptr<Writable> to_;
  std::string partial_;  // rest of lines that were written in part
  std::string lines_;    // complete lines that follow the rest
  uint64_t dropped_ = 0;
};

}  // namespace burlfall

#endif  // BURLFALL_OBSERVE_LINE_SINK_H_
