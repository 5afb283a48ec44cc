// All backends that a node knows, by slot, with their sums, counts and index sets. Code that changes a
// backend marks it through Modify(); its status is then computed elsewhere and stored here in logarithmic
// time. The table makes no decisions.
#ifndef MEADOWSLIP_SRC_STATE_BACKEND_TABLE_H_
#define MEADOWSLIP_SRC_STATE_BACKEND_TABLE_H_

#include <cmath>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kit/indexed_set.h"
#include "state/records.h"

namespace meadowslip::state {

using burlfall::kit::IndexedSet, burlfall::kit::IndexedHeap;

constexpr int kMaxPlaces = 65536;  // exclusive upper bound of zone, cell and kind numbers

using Group = std::pair<DedupGroup, int>;  // scope and its number: all (0), a zone or a cell
constexpr Group kAnywhere = {DedupGroup::kAll, 0};

class BackendTable {
 public:
  explicit BackendTable(const Settings& settings)
      : own_zone_(settings.own_zone),
        start_capacity_(settings.start_capacity),
        warm_after_(settings.warm_after) {
    // Sets by zone and by cell are maintained only if a request may need them.
    group_indexed_[static_cast<size_t>(DedupGroup::kAll)] = true;
    group_indexed_[static_cast<size_t>(DedupGroup::kZone)] = settings.cross_zone_price > 0;
    for (const RequestClass& c : settings.classes) group_indexed_[static_cast<size_t>(c.group)] = true;
  }
  BackendTable(const BackendTable&) = delete;  // the heap holds a pointer to the table
  BackendTable& operator=(const BackendTable&) = delete;

  std::vector<Backend> backends = {};  // by slot; a slot is reused once nothing refers to it
  Micros epoch = 0;                    // time zero of the sums: any moment in the past

  // Lower bound of a backend's share of its full capacity: grows linearly from start_capacity.
  double Capacity(const Backend& b, Micros now) const {
    if (now >= b.cold_until) return 1;
    double age = static_cast<double>(now - b.cold_from) / static_cast<double>(warm_after_);
    return start_capacity_ + (1 - start_capacity_) * std::clamp(age, 0.0, 1.0);
  }
  // The time at which the backend reaches that share.
  Micros CapacityReachedAt(const Backend& b, double share) const {
    double age = (share - start_capacity_) / std::max(1 - start_capacity_, 1e-9);
    return b.cold_from + 1 + static_cast<Micros>(age * static_cast<double>(warm_after_));
  }
  // The contribution of one backend to the totals, its limit weighted by its capacity; and the sum of the
  // limits in a total.
  Totals TotalsOf(const Backend& b, Micros now) const {
    Totals t;
    t.asleep = b.OutOfService();
    if (b.OutOfService()) return t;
    t.in_service = 1;
    t.in_flight = b.in_flight;
    const bool warming = now >= b.cold_from && now < b.cold_until;
    if (warming) t.cold_start_sum = ExactSum(b.limit * Seconds(b.cold_from));
    (warming ? t.cold_limit : t.warm_limit) = ExactSum(warming ? b.limit : b.limit * Capacity(b, now));
    return t;
  }
  double TotalLimit(const Totals& t, Micros now) const {
    if (t.cold_limit == ExactSum()) return t.warm_limit.value();
    const double grown = Seconds(now) * t.cold_limit.value() - t.cold_start_sum.value();
    const double warm_s = std::max(static_cast<double>(warm_after_) / 1e6, 1e-6);
    return t.warm_limit.value() + t.cold_limit.value() * start_capacity_ +
           (1 - start_capacity_) / warm_s * grown;
  }

  const Totals& totals() const { return totals_; }
  const Totals& zone_totals() const { return zone_totals_; }  // of the node's own zone
  size_t ready() const { return ready_by_rank_.size(); }
  int ready(const Group& group) const {
    auto it = ready_.find(group);
    return it == ready_.end() ? 0 : it->second;
  }
  const std::set<std::pair<uint64_t, uint32_t>>& by_rank() const { return ready_by_rank_; }  // ready backends
  const std::set<std::pair<Micros, uint32_t>>& sleepers() const { return sleepers_; }        // by wake time
  // Usable backends with a fresh report.
  const std::set<std::pair<double, uint32_t>>& by_reported_load() const { return by_reported_load_; }
  bool ReviewDue(Micros now) const { return !reviews_.empty() && reviews_.TopKey().first <= now; }
  uint32_t NextReview() const { return reviews_.Top(); }

  const uint32_t* Find(BackendId id) const {
    auto it = slot_by_id_.find(id);
    return it == slot_by_id_.end() ? nullptr : &it->second;
  }
  uint32_t Add(BackendId id) {
    if (free_slots_.empty()) free_slots_.insert(static_cast<uint32_t>(backends.size()));
    const uint32_t i = free_slots_.extract(free_slots_.begin()).value();
    if (i == backends.size()) backends.emplace_back();
    backends[i].used = true;
    backends[i].id = id;
    slot_by_id_.emplace(id, i);
    return i;
  }
  // The only access for changing a backend: marks it as changed.
  Backend& Modify(uint32_t i) {
    if (!std::exchange(backends[i].changed, true)) changed_.push_back(i);
    return backends[i];
  }
  // Returns the next backend that has changed since its status was stored; its slot may be free.
  bool NextChanged(uint32_t& i) {
    if (changed_.empty()) return false;
    i = changed_.back();
    changed_.pop_back();
    backends[i].changed = false;
    return true;
  }

  // Stores a backend's new status. Returns true if the rank order of the ready backends has changed.
  bool SetStatus(uint32_t i, const BackendStatus& now) {
    Backend& b = backends[i];
    const bool moved = b.indexed_zone != b.zone || b.indexed_cell != b.cell;
    bool order_changed = false;
    if (b.status.ready) UpdateTotals(b, &Totals::Subtract);
    if (b.status.ready && (!now.ready || moved)) {
      SetUsable(i, Usable::kNo);
      SetReady(i, false);
      order_changed = true;
    }
    if (now.ready && (!b.status.ready || moved)) {
      b.indexed_zone = b.zone;
      b.indexed_cell = b.cell;
      SetReady(i, true);
      order_changed = true;
    }
    SetUsable(i, now.usable);
    UpdateKey(sleepers_, b.status.wakes_at, now.wakes_at, kNever, i);
    UpdateKey(by_reported_load_, b.status.reported_load, now.reported_load, kNoReport, i);
    const bool reschedule = b.status.review_at != now.review_at;
    b.status = now;
    if (now.ready) UpdateTotals(b, &Totals::Add);
    if (reschedule) ScheduleReview(i);
    return order_changed;
  }
  // Releases the slot of a backend that is in no index set.
  void FreeSlot(uint32_t i) {
    reviews_.Erase(i);
    slot_by_id_.erase(backends[i].id);
    backends[i] = Backend{};
    free_slots_.insert(i);
  }

  // The usable backends of a group: those in service, or those asleep.
  IndexedSet& Available(const Group& group, bool asleep) {
    std::vector<IndexedSet>& sets = usable_[static_cast<size_t>(group.first)];
    const size_t at = 2 * static_cast<size_t>(group.second) + asleep;
    if (sets.size() <= at) [[unlikely]]
      sets.resize(at + 1);
    return sets[at];
  }
  // Draws a random backend that is accepted; `random.RandomBelow(n)` returns a random index below n.
  uint32_t Draw(const Group& group, bool asleep, size_t max_tries, uint32_t not_found, auto& random,
                const auto& accepts) {
    const auto random_below = [&random](size_t n) { return random.RandomBelow(n); };
    return Available(group, asleep)
        .Draw(max_tries, not_found, random_below, accepts, PositionIn{this, group.first});
  }
  static Group GroupOf(DedupGroup kind, const Backend& b) {
    return {kind, kind == DedupGroup::kAll ? 0 : kind == DedupGroup::kZone ? b.zone : b.cell};
  }
  static bool InGroup(const Group& group, const Backend& b) { return GroupOf(group.first, b) == group; }
  // Number of ready backends of the group that the request has not been sent to.
  int ReadyUntried(const Group& group, const HeldRequest& r) const {
    const auto tried = std::count_if(r.begin(), r.end(), [&](const Attempt& a) {
      return backends[a.backend].status.ready && InGroup(group, backends[a.backend]);
    });
    return ready(group) - static_cast<int>(tried);
  }
  static std::array<Group, 3> Groups(const Backend& b) {
    return {kAnywhere, {DedupGroup::kZone, b.indexed_zone}, {DedupGroup::kCell, b.indexed_cell}};
  }

  // Rebuilds the indexes from the loaded backends. Returns false if the loaded data is inconsistent.
  bool Restore() {
    const auto count = static_cast<uint32_t>(backends.size());
    const auto in_range = [](int at) { return at >= 0 && at < kMaxPlaces; };
    bool ok = true;
    for (uint32_t i = 0; i < count; ++i) {
      Backend& b = backends[i];
      if (!b.used) {
        free_slots_.insert(i);
        continue;
      }
      const BackendStatus& s = b.status;
      if (!slot_by_id_.emplace(b.id, i).second || !in_range(b.zone) || !in_range(b.cell) ||
          !in_range(b.indexed_zone) || !in_range(b.indexed_cell) || !std::isfinite(s.reported_load) ||
          s.usable < Usable::kNo || s.usable > Usable::kYesAsleep) {
        return false;
      }
      if (s.ready) {
        SetReady(i, true);
        UpdateTotals(b, &Totals::Add);
      }
      if (s.usable != Usable::kNo) {
        for (const Group& g : Groups(b)) {
          if (!GroupIndexed(g)) continue;
          ok &= Available(g, s.usable == Usable::kYesAsleep).Restore(i, count, PositionIn{this, g.first});
        }
      }
      if (s.wakes_at != kNever) sleepers_.emplace(s.wakes_at, i);
      if (s.reported_load != kNoReport) by_reported_load_.emplace(s.reported_load, i);
      ScheduleReview(i);
    }
    for (const auto& sets : usable_) ok &= std::ranges::all_of(sets, &IndexedSet::Complete);
    return ok;
  }

 private:
  struct ByReviewTime {
    BackendTable* table;
    std::pair<Micros, uint32_t> Key(uint32_t i) const { return {table->backends[i].status.review_at, i}; }
    uint32_t& Position(uint32_t i) const { return table->backends[i].review_position; }
  };
  struct PositionIn {
    BackendTable* table;
    DedupGroup kind;
    uint32_t& operator()(uint32_t i) const { return table->backends[i].positions[static_cast<size_t>(kind)]; }
  };

  bool GroupIndexed(const Group& g) const { return group_indexed_[static_cast<size_t>(g.first)]; }
  double Seconds(Micros at) const { return static_cast<double>(at - epoch) / 1e6; }
  void UpdateTotals(const Backend& b, void (Totals::*apply)(const Totals&)) {
    (totals_.*apply)(b.status.contribution);
    if (b.indexed_zone == own_zone_) (zone_totals_.*apply)(b.status.contribution);
  }
  void SetReady(uint32_t i, bool ready_now) {
    const Backend& b = backends[i];
    if (ready_now) {
      ready_by_rank_.emplace(b.rank, i);
    } else {
      ready_by_rank_.erase({b.rank, i});
    }
    for (const Group& g : Groups(b)) {
      if (!GroupIndexed(g)) continue;
      if ((ready_[g] += ready_now ? 1 : -1) == 0) ready_.erase(g);
    }
  }
  void SetUsable(uint32_t i, Usable usable) {
    Backend& b = backends[i];
    const Usable was = std::exchange(b.status.usable, usable);
    if (was == usable) return;
    for (const Group& g : Groups(b)) {
      if (!GroupIndexed(g)) continue;
      if (was != Usable::kNo) Available(g, was == Usable::kYesAsleep).Remove(i, PositionIn{this, g.first});
      if (usable != Usable::kNo)
        Available(g, usable == Usable::kYesAsleep).Insert(i, PositionIn{this, g.first});
    }
  }
  template <typename K>
  static void UpdateKey(std::set<std::pair<K, uint32_t>>& set, K was, K now, K none, uint32_t i) {
    if (was == now) return;
    if (was != none) set.erase({was, i});
    if (now != none) set.emplace(now, i);
  }
  void ScheduleReview(uint32_t i) {
    if (backends[i].status.review_at == kNever) {
      reviews_.Erase(i);
    } else {
      reviews_.InsertOrUpdate(i);
    }
  }

  const int own_zone_;
  const double start_capacity_;
  const Micros warm_after_;
  std::array<bool, 3> group_indexed_ = {};
  std::set<uint32_t> free_slots_;
  std::unordered_map<BackendId, uint32_t> slot_by_id_;  // lookups only, never iterated
  std::vector<uint32_t> changed_;
  std::set<std::pair<uint64_t, uint32_t>> ready_by_rank_;
  std::map<Group, int> ready_;
  Totals totals_, zone_totals_;
  // By kind of group, then by group number and whether asleep.
  std::array<std::vector<IndexedSet>, 3> usable_;
  std::set<std::pair<Micros, uint32_t>> sleepers_;
  std::set<std::pair<double, uint32_t>> by_reported_load_;
  IndexedHeap<uint32_t, ByReviewTime> reviews_{ByReviewTime{this}};
};

}  // namespace meadowslip::state

#endif  // MEADOWSLIP_SRC_STATE_BACKEND_TABLE_H_
