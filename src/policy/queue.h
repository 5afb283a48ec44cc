// Admission and queue: what a request is worth, and which goes out next.
#ifndef MEADOWSLIP_SRC_POLICY_QUEUE_H_
#define MEADOWSLIP_SRC_POLICY_QUEUE_H_

#include "policy/pick.h"

namespace meadowslip::policy {

constexpr double kRepeatWorth = 0.1;  // of a client's repeat against a first try
constexpr double kRetryShare = 0.2;   // further attempts earned by each request, of what may have run
constexpr double kFreeShare = 1;      // and of what has not; all sends stay under 2.2 times the requests
constexpr double kMostRetries = 20;
constexpr double kLeastQueue = 100;  // requests that may wait at any rate of service
constexpr double kEaseOfMind = 2;    // times its usual latency: a request with more time left is safe
constexpr double kLeastTime = 0.75;  // and with less it is lost
constexpr uint64_t kTick = 1;        // timers: this, and one for each attempt

struct Queue {
  const Turn& turn;
  Classes& classes;
  Fleet& fleet;
  Load& load;
  Requests& requests;
  const Rules& rules;
  Picker& picker;
  Sending& sending;
  std::vector<kit::TokenBucket> shares = std::vector<kit::TokenBucket>(turn.set.tenants.size());
  kit::TokenBucket retries{kMostRetries};       // of what may have run
  kit::TokenBucket free_retries{kMostRetries};  // of what has not
  bool tick_set = false;

  void OnRequest(const Request& request) {
    if (request.request_class < 0 || request.request_class >= std::ssize(turn.set.classes)) {
      return turn.act->Fail(request.id);
    }
    auto [it, fresh] = requests.held.try_emplace(request.id);
    if (!fresh) return;  // taken already: that one is answered
    Held& r = it->second;
    Take(r, request);
    retries.Earn(kRetryShare, kMostRetries);
    free_retries.Earn(kFreeShare, kMostRetries);
    const state::Times times = TimesOf(r);
    // At its last moment it is ended at once: the timer's next round would be too late.
    turn.now < times.useful_until ? Hold(r, times) : sending.Settle(r);
  }

  void Take(Held& r, const Request& request) {
    r.id = request.id;
    r.cls = request.request_class;
    r.arrived = turn.now;
    r.give_up_at = request.give_up_at;
    const bool within = WithinShare(request.tenant);
    r.level = 2 * !within + request.client_retry;
    r.worth = turn.set.classes[r.cls].worth * (within ? 1 : turn.set.over_share_worth);
    // A client's repeat comes when most of the aim is spent: it takes the room that first tries leave. Guards
    // against storms of repeats that are late even if they are served.
    if (request.client_retry) r.worth *= kRepeatWorth;
    r.size = classes.learned[r.cls].SizeOf(request.estimate);
  }

  // A node grants its part of a tenant's share, with room for a whole request at any rate.
  bool WithinShare(int tenant) {
    if (tenant < 0 || static_cast<size_t>(tenant) >= shares.size()) return true;
    const double rate = turn.set.tenants[tenant].quota_per_s / turn.set.nodes;
    return rate <= 0 || shares[tenant].Take(rate, std::max(2.0, 2 * rate), turn.now);
  }

  // Its value, less where the time left makes a late answer likely: while there is time the
  // oldest of a class goes first, and once the queue has outgrown the aim the newest, which can make it.
  double Priority(const Held& r) const {
    const RequestClass& c = turn.set.classes[r.cls];
    const Learned& learned = classes.learned[r.cls];
    double left = static_cast<double>(r.arrived + c.aim - turn.now);
    double chance = std::clamp(left / (kEaseOfMind * learned.Expected(r.size)), 0.0, 1.0);
    return classes.Value(r.cls, r.worth) * (chance + (1 - chance) * c.late_share);
  }

  // Until when there is time enough that the answer most likely comes within the aim; and any at all: never
  // later than the timer's next round, so that the answer is not late either.
  state::Times TimesOf(const Held& r) const {
    const RequestClass& c = turn.set.classes[r.cls];
    const double expected = classes.learned[r.cls].Expected(r.size);
    const Micros aim = r.arrived + c.aim,
                 latest = c.late_share > 0 ? r.give_up_at : std::min(r.give_up_at, aim);
    return {aim - static_cast<Micros>(kEaseOfMind * expected),
            latest - std::max(static_cast<Micros>(expected * kLeastTime), turn.tick)};
  }

  void Hold(Held& r, const state::Times& times) {
    requests.Line(r, picker.ProbeFor(r) ? Wait::kForProbes : Wait::kCalm, turn.now, times);
  }

  // Sends what there is room for, the best first. Under overload most events find no room: they end at once.
  void Dispatch() {
    const auto times = [this](const Held& r) { return TimesOf(r); };
    requests.Advance(turn.now, times, [this](Held& r) { sending.Settle(r); });
    Shed();
    if (requests.Waiting() == 0) return;
    load.Survey();
    requests.Release(turn.now, picker.probes_out == 0, times);
    // Where a backend may have room again, the first of those that wait for its group is tried again, and the
    // next once that was sent. So is one of the others in each of the timer's rounds.
    for (size_t k = 0; k < load.reviewed.size() && requests.AnyForGroup(); ++k) {
      const Backend& b = fleet.backends[load.reviewed[k]];
      if (b.stands.door != Door::kClosed || b.asleep || fleet.sparse) requests.Stir(b, turn.now, times);
    }
    while (requests.Waiting() > 0 && (load.TrialDue() || (load.AnyRoom() && load.NodeHasRoom()))) {
      Held* best = requests.Best([this](const Held& r) { return Priority(r); });
      if (best == nullptr) return;
      const Group group = rules.Bounds(*best).value_or(kAnywhere);
      uint32_t due = load.TrialDue() ? picker.DueTrial(*best) : kNone;
      uint32_t i = due != kNone ? due : picker.Pick(*best);
      if (i != kNone) {
        if (!sending.Send(*best, i, due != kNone)) return;
        requests.Stir(group, turn.now, times);
      } else if (best->sent == 0 || !load.NodeHasRoom(picker.Value(*best))) {
        return;
      } else {  // it may not go where there is room
        requests.Line(*best, Wait::kForGroup, turn.now, TimesOf(*best), group);
      }
    }
  }

  // What can't all be served in time at the rate of late: the worst of those pressed are refused at once.
  void Shed() {
    if (requests.Waiting() <= static_cast<size_t>(kLeastQueue)) return;
    const double per_s = sending.served.Now(turn.now, kRateSpan);
    const double in_time = per_s * static_cast<double>(turn.longest_aim) / kSecond;
    while (static_cast<double>(requests.Waiting()) > kLeastQueue + in_time) {
      Held* worst = requests.Worst([this](const Held& r) { return Priority(r); });
      if (worst == nullptr) return;
      sending.Settle(*worst);
    }
  }

  // Housekeeping, on a timer that runs while there is something to watch.
  void Tick(bool fired) {
    tick_set &= !fired;
    if (fired) requests.StirNext(turn.now, [this](const Held& r) { return TimesOf(r); });
    fleet.KeepSubscribed();
    if (tick_set || (requests.Waiting() == 0 && !fleet.WantsList())) return;
    tick_set = true;
    turn.act->Schedule(turn.tick, kTick);
  }
};

}  // namespace meadowslip::policy

#endif  // MEADOWSLIP_SRC_POLICY_QUEUE_H_
