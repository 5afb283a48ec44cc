// Logs changes of the host group and failures of its source, with a limited rate of lines.
#ifndef BURLFALL_MEMBERSHIP_LIST_LOG_H_
#define BURLFALL_MEMBERSHIP_LIST_LOG_H_

#include <cstdint>
#include <string>

#include "io/scheduler.h"
#include "membership/host_group.h"
#include "observe/log.h"

namespace burlfall {

class ListLog {
 public:
  // Changes before the construction are not logged.
  ListLog(const Scheduler& clock, HostGroup& hosts, Log& log);
  void OnListApplied();  // the group has applied a list
  void OnFailure(const std::string& why);
  void LogChanges();  // logs changes that the rate limit held back; call it periodically

 private:
  const Scheduler& clock_;
  HostGroup& hosts_;
  Log& log_;
  Micros log_changes_at_ = 0;
  Micros log_failure_at_ = 0;
  uint64_t failed_ = 0;  // consecutive failed calls
  Micros failing_since_ = 0;
  bool failure_logged_ = false;
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_LIST_LOG_H_
