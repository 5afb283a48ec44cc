// The held requests, and the queues of those that wait. Each operation costs at most the logarithm of the
// number of requests. Deadlines and priorities are computed elsewhere; this class makes no decisions.
#ifndef MEADOWSLIP_SRC_STATE_REQUEST_QUEUES_H_
#define MEADOWSLIP_SRC_STATE_REQUEST_QUEUES_H_

#include <boost/intrusive/set.hpp>

#include "state/backend_table.h"

namespace meadowslip::state {

constexpr int kWorthLevels = 4;  // priority levels within a class

// Until when a request can still be answered within its aim, and until when an answer is of use at all.
struct Deadlines {
  Micros on_time_until = 0;
  Micros useful_until = 0;
};

class RequestQueues {
 public:
  RequestQueues(BackendTable& table, size_t classes) : table_(table), buckets_(classes * kWorthLevels) {}
  RequestQueues(const RequestQueues&) = delete;  // queued requests are linked to their queue
  RequestQueues& operator=(const RequestQueues&) = delete;
  ~RequestQueues() {  // empties the queues before the requests in them are destroyed
    buckets_.clear();
    for_group_.clear();
    for_probes_.clear();
  }

  std::unordered_map<RequestId, HeldRequest> held;  // lookups only, never iterated in an order that matters
  uint64_t last_sequence = 0;

  HeldRequest* Find(RequestId id) {
    auto it = held.find(id);
    return it != held.end() ? &it->second : nullptr;
  }
  size_t QueuedCount() const { return by_next_.size(); }

  // Puts a request into a queue, or moves it from one queue to another.
  void Enqueue(HeldRequest& r, Wait new_state, Micros now, const Deadlines& deadlines,
               const Group& group = kAnywhere) {
    Dequeue(r);
    r.on_time_until = deadlines.on_time_until;
    r.wait_state = new_state == Wait::kOnTime && deadlines.on_time_until <= now ? Wait::kUrgent : new_state;
    r.next_at = NextAt(r, deadlines);
    r.sequence = ++last_sequence;
    Link(r, group);
  }
  void Dequeue(HeldRequest& r) {
    if (r.wait_state == Wait::kNone) return;
    by_next_.Erase(&r);
    if (r.wait_state == Wait::kUrgent) {
      r.urgent_hook.unlink();
    } else {
      r.hook.unlink();
    }
    r.wait_state = Wait::kNone;
  }
  void Erase(HeldRequest& r) {
    Dequeue(r);
    for (const Attempt& a : r) {
      Backend& b = table_.backends[a.backend];
      if (--b.references == 0 && b.delisted) table_.Modify(a.backend);
    }
    held.erase(r.id);
  }

  // Handles the requests that are due by now: those that are no longer useful are passed to `give_up`, and
  // those that are no longer on time become urgent. Deadlines depend on statistics at the time when they were
  // set, so each is computed again when it has come.
  void Advance(Micros now, const auto& deadlines, const auto& give_up) {
    while (!by_next_.empty() && by_next_.TopKey().first <= now) {
      HeldRequest& r = *by_next_.Top();
      const Deadlines t = deadlines(r);
      if (t.useful_until <= now) {
        give_up(r);
      } else if (r.wait_state == Wait::kOnTime && t.on_time_until <= now) {
        Enqueue(r, Wait::kUrgent, now, t);
      } else {
        r.next_at = NextAt(r, t);
        by_next_.InsertOrUpdate(&r);
      }
    }
  }
  // Requeues requests whose probes are answered, or have been waited for long enough.
  void Release(Micros now, bool answered, const auto& deadlines) {
    while (!for_probes_.empty() && (answered || for_probes_.front().probe_wait_until <= now)) {
      Enqueue(for_probes_.front(), Wait::kOnTime, now, deadlines(for_probes_.front()));
    }
  }
  bool AnyForGroup() const { return !for_group_.empty(); }
  // Moves the first request that waits for a group back to its class's queue.
  void Requeue(const Group& group, Micros now, const auto& deadlines) {
    auto it = for_group_.find(group);
    if (it == for_group_.end()) return;
    if (!it->second.empty()) Enqueue(it->second.front(), Wait::kOnTime, now, deadlines(it->second.front()));
    if (it->second.empty()) for_group_.erase(it);
  }
  void Requeue(const Backend& b, Micros now, const auto& deadlines) {
    for (const Group& g : BackendTable::Groups(b)) Requeue(g, now, deadlines);
  }
  // Goes round the groups, so that each gets its turn.
  void RequeueNextGroup(Micros now, const auto& deadlines) {
    if (for_group_.empty()) return;
    auto it = for_group_.upper_bound(last_requeued_);
    last_requeued_ = it == for_group_.end() ? for_group_.begin()->first : it->first;
    Requeue(last_requeued_, now, deadlines);
  }

  // Returns the best request in the classes' queues. Candidates are the oldest on-time request of each queue,
  // as these are alike, and the urgent one that became urgent last, which has most of its time left. Ties go
  // to the request that was queued first.
  HeldRequest* Best(const auto& priority) {
    if (by_next_.size() == 1) {  // the common case: nothing to compare with
      HeldRequest& single = *by_next_.Top();
      return single.wait_state == Wait::kOnTime || single.wait_state == Wait::kUrgent ? &single : nullptr;
    }
    HeldRequest* best = nullptr;
    double highest = 0;
    const auto consider = [&](HeldRequest& r) {
      const double p = priority(r);
      if (best != nullptr && (p < highest || (p == highest && r.sequence > best->sequence))) return;
      best = &r;
      highest = p;
    };
    for (Bucket& b : buckets_) {
      if (!b.on_time.empty()) consider(b.on_time.front());
      if (!b.urgent.empty()) consider(*b.urgent.rbegin());
    }
    return best;
  }
  // Returns the worst request. Candidates are the request of each queue that became urgent first or, without
  // urgent ones, the youngest on-time request. Ties go to the request that was queued last.
  HeldRequest* Worst(const auto& priority) {
    HeldRequest* worst = nullptr;
    double lowest = 0;
    const auto consider = [&](HeldRequest& r) {
      const double p = priority(r);
      if (worst != nullptr && (p > lowest || (p == lowest && r.sequence < worst->sequence))) return;
      worst = &r;
      lowest = p;
    };
    for (Bucket& b : buckets_) {
      if (!b.urgent.empty()) {
        consider(*b.urgent.begin());
      } else if (!b.on_time.empty()) {
        consider(b.on_time.back());
      }
    }
    return worst;
  }

  void Fields(auto& a) { a(held, last_sequence, last_requeued_.first, last_requeued_.second); }
  // Rebuilds the queues after loading; `group_of` gives the group that a request waits for.
  void Restore(const auto& group_of) {
    std::vector<HeldRequest*> queued;
    for (auto& [id, r] : held) {
      if (r.wait_state != Wait::kNone) queued.push_back(&r);
    }
    std::ranges::sort(queued, {}, &HeldRequest::sequence);
    for (HeldRequest* r : queued) Link(*r, group_of(*r));
  }

 private:
  struct ByNext {
    static std::pair<Micros, uint64_t> Key(const HeldRequest* r) { return {r->next_at, r->sequence}; }
    static uint32_t& Position(HeldRequest* r) { return r->heap_position; }
  };
  struct ByUrgency {
    bool operator()(const HeldRequest& a, const HeldRequest& b) const {
      return std::pair(a.on_time_until, a.sequence) < std::pair(b.on_time_until, b.sequence);
    }
  };
  using RequestList =
      boost::intrusive::list<HeldRequest,
                             boost::intrusive::member_hook<HeldRequest, ListHook, &HeldRequest::hook>,
                             boost::intrusive::constant_time_size<false>>;
  using RequestSet = boost::intrusive::set<
      HeldRequest, boost::intrusive::member_hook<HeldRequest, SetHook, &HeldRequest::urgent_hook>,
      boost::intrusive::compare<ByUrgency>, boost::intrusive::constant_time_size<false>>;
  struct Bucket {  // for one class and worth level
    RequestList on_time;
    RequestSet urgent;
  };

  static Micros NextAt(const HeldRequest& r, const Deadlines& t) {
    return r.wait_state == Wait::kOnTime ? std::min(t.on_time_until, t.useful_until) : t.useful_until;
  }
  void Link(HeldRequest& r, const Group& group) {
    by_next_.InsertOrUpdate(&r);
    Bucket& bucket = buckets_[static_cast<size_t>(r.cls * kWorthLevels + r.worth_level)];
    switch (r.wait_state) {
      case Wait::kUrgent:
        bucket.urgent.insert(r);
        break;
      case Wait::kForProbes:
        for_probes_.push_back(r);
        break;
      case Wait::kForGroup:
        for_group_[group].push_back(r);
        break;
      default:
        bucket.on_time.push_back(r);
    }
  }

  BackendTable& table_;
  std::vector<Bucket> buckets_;
  RequestList for_probes_;
  std::map<Group, RequestList> for_group_;  // requests that found no capacity where they may still go
  Group last_requeued_ = kAnywhere;
  IndexedHeap<HeldRequest*, ByNext> by_next_;  // all queued requests, by the time of their next check
};

}  // namespace meadowslip::state

#endif  // MEADOWSLIP_SRC_STATE_REQUEST_QUEUES_H_
