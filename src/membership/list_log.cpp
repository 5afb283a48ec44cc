#include "membership/list_log.h"

#include <utility>

namespace burlfall {
namespace {

constexpr Micros kChangesEvery = 1 * kSecond;
constexpr Micros kFailedEvery = 10 * kSecond;

}  // namespace

ListLog::ListLog(const Scheduler& clock, HostGroup& hosts, Log& log)
    : clock_(clock), hosts_(hosts), log_(log) {
  hosts_.ForgetChanges();
}

void ListLog::Heard() {
  if (std::exchange(failing_told_, false)) {
    log_.Emit<"list_back">(failed_, (clock_.Now() - failing_since_) / kMs);
  }
  failed_ = 0;
  Tell();
}

void ListLog::Failed(const std::string& why) {
  const Micros now = clock_.Now();
  if (++failed_ == 1) failing_since_ = now;
  if (now < tell_failed_at_) return;
  tell_failed_at_ = now + kFailedEvery;
  failing_told_ = true;
  log_.Emit<"list_failed">(failed_, why);
}

void ListLog::Tell() {
  const HostChanges& all = hosts_.changes();
  if (!all.any() || clock_.Now() < tell_changes_at_) return;
  tell_changes_at_ = clock_.Now() + kChangesEvery;
  log_.Emit<"list_heard">(hosts_.version(), hosts_.Ready(), all.added, all.removed, all.draining,
                          all.restarted);
  hosts_.ForgetChanges();
}

}  // namespace burlfall
