// The state that a node keeps for each backend and for each held request, in the order in which it is saved.
// It makes no decisions.
#ifndef MEADOWSLIP_SRC_STATE_RECORDS_H_
#define MEADOWSLIP_SRC_STATE_RECORDS_H_

#include <algorithm>
#include <array>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set_hook.hpp>
#include <cstdint>
#include <limits>

#include "kit/exact_sum.h"
#include "kit/indexed_heap.h"
#include "meadowslip/balancer.h"

namespace meadowslip::state {

constexpr int kMaxAttempts = 8;  // array capacity: attempts of one request
constexpr Micros kLongAgo =
    -30 * 1000000;  // before the start of the clock, further back than any interval that matters

constexpr Micros kNever = std::numeric_limits<Micros>::max();

using burlfall::kit::ExactSum, burlfall::kit::kNotInHeap;

// Sums over backends, updated as they change: the contribution of one backend, or the total.
struct Totals {
  int asleep = 0;           // for all classes
  int in_service = 0;       // the others
  int in_flight = 0;        // at backends in service, as are the sums below
  ExactSum warm_limit;      // limits of warm backends
  ExactSum cold_limit;      // limits of cold backends, whose capacity grows linearly
  ExactSum cold_start_sum;  // each cold backend's start, in seconds after the epoch, times its limit

  void Fields(auto& a) { a(asleep, in_service, in_flight, warm_limit, cold_limit, cold_start_sum); }
  void Add(const Totals& t) {
    asleep += t.asleep, in_service += t.in_service, in_flight += t.in_flight;
    warm_limit += t.warm_limit, cold_limit += t.cold_limit, cold_start_sum += t.cold_start_sum;
  }
  void Subtract(const Totals& t) {
    asleep -= t.asleep, in_service -= t.in_service, in_flight -= t.in_flight;
    warm_limit -= t.warm_limit, cold_limit -= t.cold_limit, cold_start_sum -= t.cold_start_sum;
  }
};

enum class Usable { kNo, kYes, kYesAsleep };  // whether a backend can take a request now
constexpr double kNoReport = -1;

// A backend's entry in the indexes of BackendTable.
struct BackendStatus {
  bool ready = false;
  Usable usable = Usable::kNo;
  Micros review_at = kNever;         // when the passage of time alone changes any of this
  Micros wakes_at = kNever;          // set if it sleeps and has no trial in flight
  double reported_load = kNoReport;  // set if its report is fresh and it is usable
  Totals contribution = {};

  void Fields(auto& a) {
    bool has_wake = wakes_at != kNever, has_report = reported_load != kNoReport,
         has_review = review_at != kNever;
    a(ready, usable, contribution, has_wake, has_report, has_review);
    if (has_wake) a(wakes_at);
    if (has_report) a(reported_load);
    if (has_review) a(review_at);
  }
};

struct Backend {
  bool used = false;  // false: the slot is free
  BackendId id = 0;
  BackendState state = BackendState::kGone;
  int zone = 0;
  int cell = 0;
  int kind = 0;
  double size = 1;
  uint64_t rank = 0;  // a sparse node uses the backends of lowest rank
  // Health. A sleep takes a backend out of service after failures in a row; one request, the trial, ends it.
  // The hold-down is the time after a failure in which a good trial does not shorten the next sleep, and the
  // grace is the time after a start in which failures do not count.
  int failures = 0;             // in a row
  uint64_t failed_classes = 0;  // bit set of the classes that failed in that row
  bool asleep = false;
  int asleep_class = -1;  // asleep for this class only; -1: for all classes
  Micros sleep = 0;       // length of the last sleep, adjusted by later trials
  Micros wake_at = 0;
  Micros failed_at = kLongAgo;
  Micros up_since = 0;
  bool trial_pending = false;
  bool others_succeeded = false;  // other classes succeeded since the row began
  bool served = false;            // answered a request since it last appeared
  int refused_connections = 0;    // since the last answer; a sign that its process restarted
  int rejections = 0;             // answers kFull in a row
  // Budget of work while the backend is cold (just started).
  Micros cold_from = 0;
  Micros cold_until = 0;
  Micros credit_updated_at = 0;
  double cold_credit = 0;  // work that this node may send it now
  double min_cold_work = 0;
  // Load.
  int in_flight = 0;
  int overdue = 0;   // of those in flight
  double limit = 0;  // for all nodes together; this node uses its share
  Micros full_until = 0;
  double reported = 0;  // requests in its last report, plus those that this node has sent since
  Micros reported_at = kLongAgo;
  Micros probed_at = kLongAgo;
  double payoff = 0;
  double slowdown = 1;
  double retry_budget = 0;  // retries that may still be sent to it
  // Position in the indexes.
  bool delisted = false;      // the list no longer names it
  int references = 0;         // attempts of held requests that refer to the slot, which keep it allocated
  BackendStatus status = {};  // as stored in the indexes
  std::array<uint32_t, 3> positions = {};  // in the sets of usable backends: all, its zone, its cell
  int indexed_zone = 0;                    // the zone and cell under which it is indexed
  int indexed_cell = 0;
  // Not saved: derived from the fields above.
  bool changed = false;
  uint32_t review_position = kNotInHeap;
  uint64_t last_list = 0;  // number of the last list that named it

  bool AsleepFor(int cls) const { return asleep && (asleep_class < 0 || asleep_class == cls); }
  bool OutOfService() const { return asleep && asleep_class < 0; }
  Micros SleepEndsAt() const { return std::max(asleep ? wake_at : failed_at, failed_at + sleep); }

  void Fields(auto& a) {
    a(used);
    if (!used) return;
    a(id, state, zone, cell, kind, size, rank, failures, failed_classes, asleep, asleep_class, sleep, wake_at,
      failed_at);
    a(up_since, trial_pending, others_succeeded, served, refused_connections, rejections, cold_from,
      cold_until);
    a(credit_updated_at, cold_credit, min_cold_work, in_flight, overdue, limit, full_until, reported,
      reported_at);
    a(probed_at, payoff, slowdown, retry_budget, delisted, references, status, positions, indexed_zone,
      indexed_cell);
  }
};

struct Attempt {
  uint32_t backend = 0;  // slot of the backend
  Micros sent_at = 0;
  bool pending = false;
  bool may_have_run = false;
  bool trial = false;
  bool overdue = false;  // no answer for far longer than usual
  Micros due_at = 0;

  void Fields(auto& a) { a(backend, sent_at, pending, may_have_run, trial, overdue, due_at); }
};

enum class Wait { kNone, kForProbes, kOnTime, kUrgent, kForGroup };

using ListHook =
    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

using SetHook = boost::intrusive::set_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

struct HeldRequest {
  RequestId id = 0;
  int cls = 0;
  int worth_level = 0;  // priority level within the class
  bool closed = false;  // the final answer was given, or is no longer required
  bool streaming = false;
  double worth = 0;
  Micros arrived = 0;
  Micros give_up_at = 0;
  Micros probe_wait_until = 0;  // waits this long for the probes sent for it
  double size = 1;              // estimated work relative to the mean of the class
  int sent = 0;
  int pending = 0;
  Wait wait_state = Wait::kNone;
  uint64_t sequence = 0;     // order in which the requests began to wait
  Micros on_time_until = 0;  // after this time a late answer is likely
  Micros next_at = 0;        // next time at which the queues must check it
  std::array<Attempt, kMaxAttempts> attempts;
  // Not saved: derived from the fields above.
  ListHook hook;
  uint32_t heap_position = kNotInHeap;
  SetHook urgent_hook;

  const Attempt* begin() const { return attempts.begin(); }
  const Attempt* end() const { return begin() + sent; }
  bool WasSentTo(uint32_t i) const {
    return std::any_of(begin(), end(), [i](const Attempt& a) { return a.backend == i; });
  }
  bool MayHaveRun() const {
    return std::any_of(begin(), end(), [](const Attempt& a) { return a.may_have_run; });
  }
  bool FailedBefore(int attempt) const {
    return std::any_of(begin(), begin() + attempt,
                       [](const Attempt& a) { return (!a.pending || a.overdue) && a.may_have_run; });
  }

  void Fields(auto& a) {
    a(id, cls, worth_level, closed, streaming, worth, arrived, give_up_at, probe_wait_until, size, sent,
      pending);
    a(wait_state, sequence, on_time_until, next_at);
    for (int k = 0; k < std::clamp(sent, 0, kMaxAttempts); ++k) a(attempts[k]);
  }
};

}  // namespace meadowslip::state

#endif  // MEADOWSLIP_SRC_STATE_RECORDS_H_
