#include "membership/list_log.h"

#include <utility>

namespace burlfall {
namespace {

constexpr Micros kChangesInterval = 1 * kSecond;
constexpr Micros kFailuresInterval = 10 * kSecond;

}  // namespace

ListLog::ListLog(const Scheduler& clock, HostGroup& hosts, Log& log)
    : clock_(clock), hosts_(hosts), log_(log) {
  hosts_.ForgetChanges();
}

void ListLog::OnListApplied() {
  if (std::exchange(failure_logged_, false)) {
    log_.Emit<"list_back">(failed_, (clock_.Now() - failing_since_) / kMs);
  }
  failed_ = 0;
  LogChanges();
}

void ListLog::OnFailure(const std::string& why) {
  const Micros now = clock_.Now();
  if (++failed_ == 1) failing_since_ = now;
  if (now < log_failure_at_) return;
  log_failure_at_ = now + kFailuresInterval;
  failure_logged_ = true;
  log_.Emit<"list_failed">(failed_, why);
}

void ListLog::LogChanges() {
  const HostChanges& all = hosts_.changes();
  if (!all.any() || clock_.Now() < log_changes_at_) return;
  log_changes_at_ = clock_.Now() + kChangesInterval;
  log_.Emit<"list_heard">(hosts_.version(), hosts_.Ready(), all.added, all.removed, all.draining,
                          all.restarted);
  hosts_.ForgetChanges();
}

}  // namespace burlfall
