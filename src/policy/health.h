// Passive health checks: failures put a backend to sleep for a time that doubles; one trial ends the sleep.
#ifndef MEADOWSLIP_SRC_POLICY_HEALTH_H_
#define MEADOWSLIP_SRC_POLICY_HEALTH_H_

#include "policy/fleet.h"

namespace meadowslip::policy {

constexpr int kFailureThreshold = 5;        // lower values put healthy backends to sleep on random resets
constexpr int kSparseFailureThreshold = 2;  // a sparse node sees a backend too seldom for more
constexpr Micros kFirstSleep = 1 * kSecond;
constexpr Micros kMaxSleep = 30 * kSecond;
constexpr Micros kHoldDown = 5 * kSecond;
constexpr Micros kStartGrace = 3 * kSecond;
constexpr double kMaxAsleepShare = 0.5;  // of the ready backends; beyond it the cause is elsewhere

// Decides from the outcomes of attempts when a backend goes to sleep, for which class and for how long, and
// when it is back in service.
struct Health {
  const Context& context;
  Fleet& fleet;

  // A backend may fail one class and serve others: a success clears the row only if its own class failed in
  // it, and a row of one class in which others succeeded puts the backend to sleep for that class alone.
  // Drawback: a class of few requests that fails now and then at random also sleeps.
  void OnFailure(Backend& b, int cls, bool trial) {
    if (context.now - b.up_since < kStartGrace && !trial) return;  // grace after a start
    if (b.AsleepFor(cls)) {
      if (trial) PutToSleep(b);
      return;
    }
    b.failed_classes |= ClassBit(cls);
    if (++b.failures >= FailureThreshold() && MaySleepMore()) {
      b.asleep_class = b.others_succeeded && b.failed_classes == ClassBit(cls) ? cls : -1;
      PutToSleep(b);
    }
  }
  int FailureThreshold() const { return fleet.sparse ? kSparseFailureThreshold : kFailureThreshold; }
  static uint64_t ClassBit(int cls) { return uint64_t{1} << std::min(cls, 63); }

  // Many simultaneous failures have a common cause (network, bad kind of request): limits the sleepers.
  bool MaySleepMore() const {
    return 1 + fleet.totals().asleep <= kMaxAsleepShare * static_cast<double>(fleet.ready());
  }

  void PutToSleep(Backend& b) {
    b.sleep = std::clamp(b.sleep * 2, kFirstSleep, kMaxSleep);
    b.asleep = true;
    fleet.subset_current = false;
    b.wake_at = context.now + b.sleep;
    b.failed_at = context.now;
    b.failures = static_cast<int>(b.failed_classes = 0);
  }

  void OnSuccess(Backend& b, int cls, bool trial) {
    b.others_succeeded = fleet.sparse && b.failures > 0 && (b.failed_classes & ClassBit(cls)) == 0;
    if (!b.others_succeeded) b.failures = static_cast<int>(b.failed_classes = 0);
    b.served = true;
    b.rejections = 0;
    // After refused connections only, a success most likely means a restart that no list has announced yet. A
    // single refusal is no evidence: taking it for a restart cost a warm backend most of its limit.
    if (std::exchange(b.refused_connections, 0) >= FailureThreshold()) fleet.MarkCold(b, context.now);
    if (!trial || !b.AsleepFor(cls)) return;
    b.asleep = fleet.subset_current = false;  // back in service at once
    b.limit = std::min(b.limit, kInitialLimit);
    if (context.now - b.failed_at >= kHoldDown) b.sleep /= 2;  // kept within the hold-down
  }
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_HEALTH_H_
