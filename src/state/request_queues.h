// The requests that are held, and the lines in which those that wait stand. Each change costs the logarithm
// of their number at the most. What is calm, useful or worth more is judged elsewhere: no decisions are made
// here.
#ifndef MEADOWSLIP_SRC_STATE_REQUEST_QUEUES_H_
#define MEADOWSLIP_SRC_STATE_REQUEST_QUEUES_H_

#include <boost/intrusive/set.hpp>

#include "state/backend_table.h"

namespace meadowslip::state {

constexpr int kLevels = 4;  // of worth in a class

// How long a request is calm, and how long its answer is of use.
struct Times {
  Micros calm_until = 0;
  Micros useful_until = 0;
};

class Lines {
 public:
  Lines(Roster& roster, size_t classes) : roster_(roster), buckets_(classes * kLevels) {}
  Lines(const Lines&) = delete;  // what waits knows where its line is
  Lines& operator=(const Lines&) = delete;
  ~Lines() {  // the lines before what stands in them
    buckets_.clear();
    for_group_.clear();
    for_probes_.clear();
  }

  std::unordered_map<RequestId, Held> held;  // looked up, never walked
  uint64_t turns = 0;

  Held* Find(RequestId id) {
    auto it = held.find(id);
    return it != held.end() ? &it->second : nullptr;
  }
  size_t Waiting() const { return by_next_.size(); }

  // Into a line, or from one to another.
  void Line(Held& r, Wait as, Micros now, const Times& times, const Group& group = kAnywhere) {
    Unqueue(r);
    r.calm_until = times.calm_until;
    r.waits = as == Wait::kCalm && times.calm_until <= now ? Wait::kPressed : as;
    r.next_at = NextAt(r, times);
    r.turn = ++turns;
    Insert(r, group);
  }
  void Unqueue(Held& r) {
    if (r.waits == Wait::kNot) return;
    by_next_.Erase(&r);
    if (r.waits == Wait::kPressed) {
      r.pressed_hook.unlink();
    } else {
      r.hook.unlink();
    }
    r.waits = Wait::kNot;
  }
  void Erase(Held& r) {
    Unqueue(r);
    for (const Attempt& a : r) {
      Backend& b = roster_.backends[a.backend];
      if (--b.held_by == 0 && b.withdrawn) roster_.Change(a.backend);
    }
    held.erase(r.id);
  }

  // What is due by now: of no use any more, and to be taken out by `end`; or pressed from now on. Moments
  // follow from what was learned when they were set, so each is worked out anew when it has come.
  void Advance(Micros now, const auto& times, const auto& end) {
    while (!by_next_.empty() && by_next_.TopKey().first <= now) {
      Held& r = *by_next_.Top();
      const Times t = times(r);
      if (t.useful_until <= now) {
        end(r);
      } else if (r.waits == Wait::kCalm && t.calm_until <= now) {
        Line(r, Wait::kPressed, now, t);
      } else {
        r.next_at = NextAt(r, t);
        by_next_.Set(&r);
      }
    }
  }
  // Those whose probes are answered, or were waited for long enough.
  void Release(Micros now, bool answered, const auto& times) {
    while (!for_probes_.empty() && (answered || for_probes_.front().hold_until <= now)) {
      Line(for_probes_.front(), Wait::kCalm, now, times(for_probes_.front()));
    }
  }
  // The first of those that wait for a group goes back to its line.
  bool AnyForGroup() const { return !for_group_.empty(); }
  void Stir(const Group& group, Micros now, const auto& times) {
    auto it = for_group_.find(group);
    if (it == for_group_.end()) return;
    if (!it->second.empty()) Line(it->second.front(), Wait::kCalm, now, times(it->second.front()));
    if (it->second.empty()) for_group_.erase(it);
  }
  void Stir(const Backend& b, Micros now, const auto& times) {
    for (const Group& g : Roster::Groups(b)) Stir(g, now, times);
  }
  // Of each group in turn, so that none is forgotten.
  void StirNext(Micros now, const auto& times) {
    if (for_group_.empty()) return;
    auto it = for_group_.upper_bound(stirred_);
    stirred_ = it == for_group_.end() ? for_group_.begin()->first : it->first;
    Stir(stirred_, now, times);
  }

  // The best of all that wait in classes' lines: the first come of a line's calm ones, which are alike, and
  // the last to be pressed of the others, which has most of its time left. Among equals the first to wait.
  Held* Best(const auto& priority) {
    if (by_next_.size() == 1) {  // as it mostly is: nothing to compare with
      Held& only = *by_next_.Top();
      return only.waits == Wait::kCalm || only.waits == Wait::kPressed ? &only : nullptr;
    }
    Held* best = nullptr;
    double most = 0;
    const auto take = [&](Held& r) {
      const double p = priority(r);
      if (best != nullptr && (p < most || (p == most && r.turn > best->turn))) return;
      best = &r;
      most = p;
    };
    for (Bucket& b : buckets_) {
      if (!b.calm.empty()) take(b.calm.front());
      if (!b.pressed.empty()) take(*b.pressed.rbegin());
    }
    return best;
  }
  // And the worst: the first to be pressed of a line, or the last come of its calm ones. Among equals the
  // last.
  Held* Worst(const auto& priority) {
    Held* worst = nullptr;
    double least = 0;
    const auto take = [&](Held& r) {
      const double p = priority(r);
      if (worst != nullptr && (p > least || (p == least && r.turn < worst->turn))) return;
      worst = &r;
      least = p;
    };
    for (Bucket& b : buckets_) {
      if (!b.pressed.empty()) {
        take(*b.pressed.begin());
      } else if (!b.calm.empty()) {
        take(b.calm.back());
      }
    }
    return worst;
  }

  void Fields(auto& a) { a(held, turns, stirred_.first, stirred_.second); }
  // As they were saved, each with the group that it waits for.
  void Restore(const auto& group_of) {
    std::vector<Held*> waiting;
    for (auto& [id, r] : held) {
      if (r.waits != Wait::kNot) waiting.push_back(&r);
    }
    std::ranges::sort(waiting, {}, &Held::turn);
    for (Held* r : waiting) Insert(*r, group_of(*r));
  }

 private:
  struct ByNext {
    static std::pair<Micros, uint64_t> Key(const Held* r) { return {r->next_at, r->turn}; }
    static uint32_t& Place(Held* r) { return r->next_place; }
  };
  struct ByPressed {
    bool operator()(const Held& a, const Held& b) const {
      return std::pair(a.calm_until, a.turn) < std::pair(b.calm_until, b.turn);
    }
  };
  using HeldList = boost::intrusive::list<Held, boost::intrusive::member_hook<Held, ListHook, &Held::hook>,
                                          boost::intrusive::constant_time_size<false>>;
  using HeldSet =
      boost::intrusive::set<Held, boost::intrusive::member_hook<Held, SetHook, &Held::pressed_hook>,
                            boost::intrusive::compare<ByPressed>,
                            boost::intrusive::constant_time_size<false>>;
  struct Bucket {  // of a class and a level of worth
    HeldList calm;
    HeldSet pressed;
  };

  static Micros NextAt(const Held& r, const Times& t) {
    return r.waits == Wait::kCalm ? std::min(t.calm_until, t.useful_until) : t.useful_until;
  }
  void Insert(Held& r, const Group& group) {
    by_next_.Set(&r);
    Bucket& bucket = buckets_[static_cast<size_t>(r.cls * kLevels + r.level)];
    switch (r.waits) {
      case Wait::kPressed:
        bucket.pressed.insert(r);
        break;
      case Wait::kForProbes:
        for_probes_.push_back(r);
        break;
      case Wait::kForGroup:
        for_group_[group].push_back(r);
        break;
      default:
        bucket.calm.push_back(r);
    }
  }

  Roster& roster_;
  std::vector<Bucket> buckets_;
  HeldList for_probes_;
  std::map<Group, HeldList> for_group_;  // found no room where they may still go
  Group stirred_ = kAnywhere;
  IndexedHeap<Held*, ByNext> by_next_;  // all, by when they have to be looked at
};

}  // namespace meadowslip::state

#endif  // MEADOWSLIP_SRC_STATE_REQUEST_QUEUES_H_
