// The capture: beside the module, what enters it and what it chose, in a ring that drops its oldest records.
// The ring is made of segments; each begins with a start record and the module's state, so that it can be
// replayed alone.
#ifndef BURLFALL_FEATURES_CAPTURE_H_
#define BURLFALL_FEATURES_CAPTURE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "features/capture_record.h"
#include "features/properties.h"
#include "meadowslip/balancer.h"
#include "net/config.h"
#include "net/counters.h"
#include "net/host_group.h"
#include "net/outlet.h"
#include "net/query.h"
#include "net/scheduler.h"

namespace burlfall {

class Capture {
 public:
  Capture(Scheduler& scheduler, const CaptureSettings& settings, const Config& config, const HostGroup& hosts,
          const meadowslip::Balancer& module, Outlet& errors, Counters& counters);
  void Start();

  // What enters the module: told just before the module is, with the same time.
  void OnList(Micros now, const meadowslip::BackendList& list);
  void OnQuery(Micros now, const Query& query);
  void OnResult(Micros now, const meadowslip::AttemptResult& result);
  void OnClientLeft(Micros now, meadowslip::RequestId id);
  void OnTimer(Micros now, uint64_t timer);
  // What it chose while it was told. `query` is nullptr where the choice is about none that is known.
  void Chose(Record::Choice did, meadowslip::RequestId id, const Query* query,
             meadowslip::BackendId backend = 0, int attempt = 0, Micros span = 0);

  // Writes the ring in memory to standard error, bit by bit; files hold theirs already.
  void Dump();
  void Finish(Micros patience);  // what is still to be written

 private:
  enum class Step { kMore, kLater, kDone };

  bool to_files() const { return !settings_.dir.empty(); }
  void Event(const Record& record);
  void Append(const Record& record);
  bool Begin(Micros now);
  void Name(Record& record, const Query& query) const;
  void Pause(Micros now);

  // In memory.
  bool BeginSegment(const Record& start, const Record& checkpoint);
  void DropFront();
  Task<> WriteDump();
  Step DumpStep();

  // In files.
  bool BeginFile(const Record& start, const Record& checkpoint);
  Task<> WriteFiles();
  bool WritePending();
  void DiskError(const std::string& what);
  std::string FileName(uint64_t number) const;
  std::vector<uint64_t> FileNumbers() const;  // of those that are there, the oldest first

  Scheduler& scheduler_;
  CaptureSettings settings_;
  const Config& config_;
  const HostGroup& hosts_;
  const meadowslip::Balancer& module_;
  Outlet& errors_;
  Counters& counters_;
  std::string prefix_;
  bool open_ = false;  // records have a place to go to
  Micros paused_until_ = 0;
  Micros now_ = 0;  // of the event at hand

  std::deque<std::string> segments_;
  std::vector<std::string> spare_;
  size_t total_ = 0;
  size_t head_ = 0;  // of the last segment: its start and state
  Micros last_at_ = 0;

  std::vector<std::string> dump_;  // segments still to be written
  size_t dump_segment_ = 0;
  size_t dump_offset_ = 0;
  Micros dump_at_ = 0;
  std::string dump_text_;

  Descriptor file_;
  uint64_t file_number_ = 0;
  size_t file_bytes_ = 0;  // written
  std::string pending_;    // and not yet
  bool disk_told_ = false;

  Signal tick_;
  Signal dump_tick_;
  Task<> writing_;  // last: what they use must outlive them
  Task<> dumping_;
};

}  // namespace burlfall

#endif  // BURLFALL_FEATURES_CAPTURE_H_
