// Admission and queueing: the worth of a request, and which request is sent next.
#ifndef MEADOWSLIP_SRC_POLICY_QUEUE_H_
#define MEADOWSLIP_SRC_POLICY_QUEUE_H_

#include "policy/pick.h"

namespace meadowslip::policy {

constexpr double kClientRetryWorth = 0.1;  // of a client's retry, relative to a first try
constexpr double kRetryShare = 0.2;        // retries earned by each request, for attempts that may have run
constexpr double kFreeRetryShare = 1;      // for the others; total sends stay under 2.2 times the requests
constexpr double kMaxRetryTokens = 20;
constexpr double kMinQueueLimit = 100;  // requests that may wait at any rate of service
constexpr double kOnTimeLatencies = 2;  // usual latencies: with more time left, a request is on time
constexpr double kMinLatencies = 0.75;  // and with less it can't be answered in time
constexpr uint64_t kTickTimer = 1;      // timer ids: this, then one for each attempt

// Decides in which order waiting requests are sent, and which are refused when more wait than can be served.
struct Queue {
  const Context& context;
  Classes& classes;
  Fleet& fleet;
  Load& load;
  Requests& requests;
  const Rules& rules;
  Picker& picker;
  Sending& sending;
  std::vector<kit::TokenBucket> tenant_tokens =
      std::vector<kit::TokenBucket>(context.settings.tenants.size());
  kit::TokenBucket retries{kMaxRetryTokens};       // for attempts that may have run
  kit::TokenBucket free_retries{kMaxRetryTokens};  // for attempts that have not
  bool tick_scheduled = false;

  void OnRequest(const Request& request) {
    if (request.request_class < 0 || request.request_class >= std::ssize(context.settings.classes)) {
      return context.sink->Fail(request.id);
    }
    auto [it, is_new] = requests.held.try_emplace(request.id);
    if (!is_new) return;  // duplicate id: the earlier request is answered
    HeldRequest& r = it->second;
    Fill(r, request);
    retries.Deposit(kRetryShare, kMaxRetryTokens);
    free_retries.Deposit(kFreeRetryShare, kMaxRetryTokens);
    const state::Deadlines deadlines = DeadlinesOf(r);
    // Ended at once if its time is over, since the timer's next round would be too late.
    context.now < deadlines.useful_until ? StartWaiting(r, deadlines) : sending.GiveUp(r);
  }

  void Fill(HeldRequest& r, const Request& request) {
    r.id = request.id;
    r.cls = request.request_class;
    r.arrived = context.now;
    r.give_up_at = request.give_up_at;
    const bool within = WithinShare(request.tenant);
    r.worth_level = 2 * !within + request.client_retry;
    r.worth = context.settings.classes[r.cls].worth * (within ? 1 : context.settings.over_share_worth);
    // A client's retry comes when most of the aim is spent, so it yields to first tries. This prevents retry
    // storms whose requests are late even when they are served.
    if (request.client_retry) r.worth *= kClientRetryWorth;
    r.size = classes.stats[r.cls].RelativeSize(request.estimate);
  }

  // A node grants its share of a tenant's quota; the burst fits a whole request at any rate.
  bool WithinShare(int tenant) {
    if (tenant < 0 || static_cast<size_t>(tenant) >= tenant_tokens.size()) return true;
    const double rate = context.settings.tenants[tenant].quota_per_s / context.settings.nodes;
    return rate <= 0 || tenant_tokens[tenant].Take(rate, std::max(2.0, 2 * rate), context.now);
  }

  // Its value, reduced as its remaining time makes a late answer likely: with enough time the oldest of a
  // class goes first; once the queue outgrows the aim, the newest, which can still be answered in time.
  double Priority(const HeldRequest& r) const {
    const RequestClass& c = context.settings.classes[r.cls];
    const ClassStats& stats = classes.stats[r.cls];
    double left = static_cast<double>(r.arrived + c.aim - context.now);
    double likelihood = std::clamp(left / (kOnTimeLatencies * stats.ExpectedLatency(r.size)), 0.0, 1.0);
    return classes.Value(r.cls, r.worth) * (likelihood + (1 - likelihood) * c.late_share);
  }

  // Until when the answer most likely comes within the aim, and until when an answer is possible at all: the
  // latter leaves one tick, so that the final answer is not late either.
  state::Deadlines DeadlinesOf(const HeldRequest& r) const {
    const RequestClass& c = context.settings.classes[r.cls];
    const double expected = classes.stats[r.cls].ExpectedLatency(r.size);
    const Micros aim = r.arrived + c.aim,
                 latest = c.late_share > 0 ? r.give_up_at : std::min(r.give_up_at, aim);
    return {aim - static_cast<Micros>(kOnTimeLatencies * expected),
            latest - std::max(static_cast<Micros>(expected * kMinLatencies), context.tick_interval)};
  }

  void StartWaiting(HeldRequest& r, const state::Deadlines& deadlines) {
    requests.Enqueue(r, picker.SendProbes(r) ? Wait::kForProbes : Wait::kOnTime, context.now, deadlines);
  }

  // Sends the best requests while there is capacity; under overload most calls find none and end at once.
  void Dispatch() {
    const auto deadlines = [this](const HeldRequest& r) { return DeadlinesOf(r); };
    requests.Advance(context.now, deadlines, [this](HeldRequest& r) { sending.GiveUp(r); });
    Shed();
    if (requests.QueuedCount() == 0) return;
    load.Refresh();
    requests.Release(context.now, picker.probes_pending == 0, deadlines);
    // Where a backend may have capacity again, the first request waiting for its group is tried again, and
    // the next once that was sent. Each timer round also tries one of the others.
    for (size_t k = 0; k < load.reviewed.size() && requests.AnyForGroup(); ++k) {
      const Backend& b = fleet.backends[load.reviewed[k]];
      if (b.status.usable != Usable::kNo || b.asleep || fleet.sparse)
        requests.Requeue(b, context.now, deadlines);
    }
    while (requests.QueuedCount() > 0 && (load.TrialDue() || (load.AnyRoom() && load.NodeHasRoom()))) {
      HeldRequest* best = requests.Best([this](const HeldRequest& r) { return Priority(r); });
      if (best == nullptr) return;
      const Group group = rules.Bounds(*best).value_or(kAnywhere);
      uint32_t trial = load.TrialDue() ? picker.FindDueTrial(*best) : kNone;
      uint32_t i = trial != kNone ? trial : picker.Pick(*best);
      if (i != kNone) {
        if (!sending.Send(*best, i, trial != kNone)) return;
        requests.Requeue(group, context.now, deadlines);
      } else if (best->sent == 0 || !load.NodeHasRoom(picker.Value(*best))) {
        return;
      } else {  // not allowed at the backends with capacity
        requests.Enqueue(*best, Wait::kForGroup, context.now, DeadlinesOf(*best), group);
      }
    }
  }

  // Refuses the worst requests if more wait than can be served in time at the recent rate.
  void Shed() {
    if (requests.QueuedCount() <= static_cast<size_t>(kMinQueueLimit)) return;
    const double per_s = sending.served.At(context.now, kRateSpan);
    const double in_time = per_s * static_cast<double>(context.max_aim) / kSecond;
    while (static_cast<double>(requests.QueuedCount()) > kMinQueueLimit + in_time) {
      HeldRequest* worst = requests.Worst([this](const HeldRequest& r) { return Priority(r); });
      if (worst == nullptr) return;
      sending.GiveUp(*worst);
    }
  }

  // Periodic work; the timer runs only while requests wait or a subscription is needed.
  void OnTick(bool fired) {
    tick_scheduled &= !fired;
    if (fired)
      requests.RequeueNextGroup(context.now, [this](const HeldRequest& r) { return DeadlinesOf(r); });
    fleet.RenewSubscription();
    if (tick_scheduled || (requests.QueuedCount() == 0 && !fleet.NeedsSubscription())) return;
    tick_scheduled = true;
    context.sink->Schedule(context.tick_interval, kTickTimer);
  }
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_QUEUE_H_
