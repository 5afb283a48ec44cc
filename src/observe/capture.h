// The capture records the inputs and the decisions of the decision module in a ring buffer that drops its
// oldest records. The ring consists of segments (in memory) or files; each begins with a start record and
// the module's state, so that it can be replayed alone.
#ifndef BURLFALL_OBSERVE_CAPTURE_H_
#define BURLFALL_OBSERVE_CAPTURE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/platform_config.h"
#include "config/properties.h"
#include "io/machine.h"
#include "meadowslip/balancer.h"
#include "observe/capture_record.h"
#include "observe/counters.h"
#include "observe/labels.h"
#include "observe/log.h"

namespace burlfall {

// Records to memory, or to files if the settings name a folder.
class Capture {
 public:
  // Returns the serialized state of the module; called between two events.
  using State = std::function<std::string()>;
  Capture(Machine& machine, const CaptureSettings& settings, const Config& config, const ServerNames& names,
          State state, Log& log, Counters& counters);
  void Start();

  // Inputs of the module. Call each just before the module is called, with the same time.
  void OnList(Micros now, const meadowslip::BackendList& list);
  void OnQuery(Micros now, const meadowslip::Request& request, const Labels& labels);
  void OnResult(Micros now, const meadowslip::AttemptResult& result);
  void OnClientLeft(Micros now, meadowslip::RequestId id);
  void OnStream(Micros now, meadowslip::RequestId id, int attempt);
  void OnTimer(Micros now, uint64_t timer);
  // Records a decision that the module took while it handled an input. `request` and `labels` are nullptr
  // if the decision is not about a known query. `span` is the time-out of a send, or the time to stay away
  // of a refusal.
  void OnDecision(Record::Choice choice, meadowslip::RequestId id, const meadowslip::Request* request,
                  const Labels* labels, meadowslip::BackendId backend = 0, int attempt = 0, Micros span = 0);

  // Starts writing the ring in memory to standard error, in chunks. With files, writes what is pending.
  void Dump();
  // Writes the rest of a dump; blocks for at most `timeout`.
  void Finish(Micros timeout);

 private:
  enum class Step { kMore, kLater, kDone };

  bool to_files() const { return !settings_.dir.empty(); }
  void RecordEvent(const Record& record);
  void Append(const Record& record);
  bool Begin(Micros now);
  void AddNames(Record& record, const Labels& labels) const;
  void Pause(Micros now);

  // Ring in memory.
  bool BeginSegment(const Record& start, const Record& checkpoint);
  void DropOldestSegment();
  Task<> WriteDump();
  Step DumpStep();

  // Ring of files.
  bool BeginFile(const Record& start, const Record& checkpoint);
  Task<> WriteFiles();
  bool WritePending();
  void DiskError(const std::string& what, const std::string& why);
  std::string FileName(uint64_t number) const;
  std::vector<uint64_t> FileNumbers() const;  // of the existing files, the oldest first

  Scheduler& scheduler_;
  Files& files_;
  CaptureSettings settings_;
  const Config& config_;
  const ServerNames& names_;
  State state_;
  Log& log_;
  Counters& counters_;
  std::string file_prefix_;
  bool open_ = false;  // a segment or file has begun
  Micros paused_until_ = 0;
  Micros now_ = 0;  // time of the event that is handled

  std::deque<std::string> segments_;
  std::vector<std::string> free_segments_;
  size_t total_bytes_ = 0;
  size_t head_bytes_ = 0;  // bytes of the start and checkpoint records of the newest segment
  Micros last_at_ = 0;

  std::vector<std::string> dump_;  // segments that are still to be written
  size_t dump_segment_ = 0;
  size_t dump_offset_ = 0;
  Micros dump_at_ = 0;
  std::string dump_text_;

  std::unique_ptr<Writable> file_;
  uint64_t file_number_ = 0;
  size_t file_bytes_ = 0;  // bytes already written
  std::string pending_;    // bytes not yet written
  bool disk_error_logged_ = false;

  Event tick_;
  Event dump_tick_;
  Task<> writing_;  // the tasks come last: what they use must outlive them
  Task<> dumping_;
};

}  // namespace burlfall

#endif  // BURLFALL_OBSERVE_CAPTURE_H_
