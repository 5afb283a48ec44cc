// All backends that a node knows, by slot, and what is kept of them together: sums, counts, and the sets in
// which each stands. Whoever changes a backend says so; how it stands then is judged elsewhere and filed
// here, at a cost that grows with the logarithm of their number. No decisions are made here.
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

using burlfall::kit::Bag, burlfall::kit::IndexedHeap;

constexpr int kMostPlaces = 65536;  // zones, cells and kinds: numbers below this

using Group = std::pair<DedupGroup, int>;  // all (0); a zone; a cell
constexpr Group kAnywhere = {DedupGroup::kAll, 0};

class Roster {
 public:
  explicit Roster(const Settings& set)
      : own_zone_(set.own_zone), start_capacity_(set.start_capacity), warm_after_(set.warm_after) {
    // Sets by zone and by cell are kept where a query may ask for them.
    wanted_[static_cast<size_t>(DedupGroup::kAll)] = true;
    wanted_[static_cast<size_t>(DedupGroup::kZone)] = set.cross_zone_price > 0;
    for (const RequestClass& c : set.classes) wanted_[static_cast<size_t>(c.group)] = true;
  }
  Roster(const Roster&) = delete;  // the heap knows where the backends are
  Roster& operator=(const Roster&) = delete;

  std::vector<Backend> backends = {};  // by slot; a slot is free again once nothing refers to it
  Micros epoch = 0;                    // of the tallies: some moment before

  // The share of its full capacity that a backend has at least: what it starts with, growing evenly.
  double Capacity(const Backend& b, Micros now) const {
    if (now >= b.cold_until) return 1;
    double age = static_cast<double>(now - b.cold_from) / static_cast<double>(warm_after_);
    return start_capacity_ + (1 - start_capacity_) * std::clamp(age, 0.0, 1.0);
  }
  // When it has that share.
  Micros CapacityAt(const Backend& b, double share) const {
    double age = (share - start_capacity_) / std::max(1 - start_capacity_, 1e-9);
    return b.cold_from + 1 + static_cast<Micros>(age * static_cast<double>(warm_after_));
  }
  // What it adds, whose limit counts by its capacity; and what all that a tally holds come to.
  Tally Adds(const Backend& b, Micros now) const {
    Tally t;
    t.asleep = b.OutOfService();
    if (b.OutOfService()) return t;
    t.in_service = 1;
    t.in_flight = b.in_flight;
    const bool grows = now >= b.cold_from && now < b.cold_until;
    if (grows) t.from = ExactSum(b.limit * Seconds(b.cold_from));
    (grows ? t.cold : t.warm) = ExactSum(grows ? b.limit : b.limit * Capacity(b, now));
    return t;
  }
  double Limits(const Tally& t, Micros now) const {
    if (t.cold == ExactSum()) return t.warm.value();
    const double grown = Seconds(now) * t.cold.value() - t.from.value();
    const double warm_s = std::max(static_cast<double>(warm_after_) / 1e6, 1e-6);
    return t.warm.value() + t.cold.value() * start_capacity_ + (1 - start_capacity_) / warm_s * grown;
  }

  const Tally& all() const { return all_; }
  const Tally& own() const { return own_; }  // zone
  size_t ready() const { return order_.size(); }
  int ready(const Group& group) const {
    auto it = ready_.find(group);
    return it == ready_.end() ? 0 : it->second;
  }
  const std::set<std::pair<uint64_t, uint32_t>>& by_rank() const { return order_; }    // the ready
  const std::set<std::pair<Micros, uint32_t>>& sleepers() const { return sleepers_; }  // by when they wake
  const std::set<std::pair<double, uint32_t>>& by_report() const { return fresh_; }    // those open
  bool Due(Micros now) const { return !moments_.empty() && moments_.TopKey().first <= now; }
  uint32_t NextDue() const { return moments_.Top(); }

  const uint32_t* Find(BackendId id) const {
    auto it = index_.find(id);
    return it == index_.end() ? nullptr : &it->second;
  }
  uint32_t Add(BackendId id) {
    if (free_.empty()) free_.insert(static_cast<uint32_t>(backends.size()));
    const uint32_t i = free_.extract(free_.begin()).value();
    if (i == backends.size()) backends.emplace_back();
    backends[i].used = true;
    backends[i].id = id;
    index_.emplace(id, i);
    return i;
  }
  // The only way to a backend that is to be changed.
  Backend& Change(uint32_t i) {
    if (!std::exchange(backends[i].changed, true)) changed_.push_back(i);
    return backends[i];
  }
  // The next that has changed since it was filed; its slot may be free.
  bool TakeChanged(uint32_t& i) {
    if (changed_.empty()) return false;
    i = changed_.back();
    changed_.pop_back();
    backends[i].changed = false;
    return true;
  }

  // How a backend stands now. True where the order of the ready is another one.
  bool File(uint32_t i, const Standing& now) {
    Backend& b = backends[i];
    const bool moved = b.in_zone != b.zone || b.in_cell != b.cell;
    bool reordered = false;
    if (b.stands.ready) Count(b, &Tally::Take);
    if (b.stands.ready && (!now.ready || moved)) {
      Place(i, Door::kClosed);
      Join(i, false);
      reordered = true;
    }
    if (now.ready && (!b.stands.ready || moved)) {
      b.in_zone = b.zone;
      b.in_cell = b.cell;
      Join(i, true);
      reordered = true;
    }
    Place(i, now.door);
    Key(sleepers_, b.stands.wakes, now.wakes, kNever, i);
    Key(fresh_, b.stands.reports, now.reports, kNoReport, i);
    const bool awaits = b.stands.next != now.next;
    b.stands = now;
    if (now.ready) Count(b, &Tally::Add);
    if (awaits) Await(i);
    return reordered;
  }
  // Filed as in no set before.
  void Forget(uint32_t i) {
    moments_.Erase(i);
    index_.erase(backends[i].id);
    backends[i] = Backend{};
    free_.insert(i);
  }

  // Those of a group that could take a request: in service, or asleep.
  Bag& Open(const Group& group, bool asleep) {
    std::vector<Bag>& bags = open_[static_cast<size_t>(group.first)];
    const size_t at = 2 * static_cast<size_t>(group.second) + asleep;
    if (bags.size() <= at) [[unlikely]]
      bags.resize(at + 1);
    return bags[at];
  }
  // One of them that fits, in random order; `chance.Below(n)` draws.
  uint32_t Draw(const Group& group, bool asleep, size_t most, uint32_t none, auto& chance, const auto& fits) {
    const auto below = [&chance](size_t n) { return chance.Below(n); };
    return Open(group, asleep).Draw(most, none, below, fits, PlaceIn{this, group.first});
  }
  static Group GroupOf(DedupGroup kind, const Backend& b) {
    return {kind, kind == DedupGroup::kAll ? 0 : kind == DedupGroup::kZone ? b.zone : b.cell};
  }
  static bool In(const Group& group, const Backend& b) { return GroupOf(group.first, b) == group; }
  // How many of the ready it has not been to.
  int Left(const Group& group, const Held& r) const {
    const auto been = std::count_if(r.begin(), r.end(), [&](const Attempt& a) {
      return backends[a.backend].stands.ready && In(group, backends[a.backend]);
    });
    return ready(group) - static_cast<int>(been);
  }
  static std::array<Group, 3> Groups(const Backend& b) {
    return {kAnywhere, {DedupGroup::kZone, b.in_zone}, {DedupGroup::kCell, b.in_cell}};
  }

  // From the backends alone, as they were saved. False where they can't have been.
  bool Restore() {
    const auto count = static_cast<uint32_t>(backends.size());
    const auto place = [](int at) { return at >= 0 && at < kMostPlaces; };
    bool sound = true;
    for (uint32_t i = 0; i < count; ++i) {
      Backend& b = backends[i];
      if (!b.used) {
        free_.insert(i);
        continue;
      }
      const Standing& s = b.stands;
      if (!index_.emplace(b.id, i).second || !place(b.zone) || !place(b.cell) || !place(b.in_zone) ||
          !place(b.in_cell) || !std::isfinite(s.reports) || s.door < Door::kClosed ||
          s.door > Door::kOpenAsleep) {
        return false;
      }
      if (s.ready) {
        Join(i, true);
        Count(b, &Tally::Add);
      }
      if (s.door != Door::kClosed) {
        for (const Group& g : Groups(b)) {
          if (!Wanted(g)) continue;
          sound &= Open(g, s.door == Door::kOpenAsleep).Restore(i, count, PlaceIn{this, g.first});
        }
      }
      if (s.wakes != kNever) sleepers_.emplace(s.wakes, i);
      if (s.reports != kNoReport) fresh_.emplace(s.reports, i);
      Await(i);
    }
    for (const auto& bags : open_) sound &= std::ranges::all_of(bags, &Bag::Whole);
    return sound;
  }

 private:
  struct ByMoment {
    Roster* of;
    std::pair<Micros, uint32_t> Key(uint32_t i) const { return {of->backends[i].stands.next, i}; }
    uint32_t& Place(uint32_t i) const { return of->backends[i].moment_place; }
  };
  struct PlaceIn {
    Roster* of;
    DedupGroup kind;
    uint32_t& operator()(uint32_t i) const { return of->backends[i].place[static_cast<size_t>(kind)]; }
  };

  bool Wanted(const Group& g) const { return wanted_[static_cast<size_t>(g.first)]; }
  double Seconds(Micros at) const { return static_cast<double>(at - epoch) / 1e6; }
  void Count(const Backend& b, void (Tally::*how)(const Tally&)) {
    (all_.*how)(b.stands.adds);
    if (b.in_zone == own_zone_) (own_.*how)(b.stands.adds);
  }
  void Join(uint32_t i, bool joins) {
    const Backend& b = backends[i];
    if (joins) {
      order_.emplace(b.rank, i);
    } else {
      order_.erase({b.rank, i});
    }
    for (const Group& g : Groups(b)) {
      if (!Wanted(g)) continue;
      if ((ready_[g] += joins ? 1 : -1) == 0) ready_.erase(g);
    }
  }
  void Place(uint32_t i, Door door) {
    Backend& b = backends[i];
    const Door was = std::exchange(b.stands.door, door);
    if (was == door) return;
    for (const Group& g : Groups(b)) {
      if (!Wanted(g)) continue;
      if (was != Door::kClosed) Open(g, was == Door::kOpenAsleep).Drop(i, PlaceIn{this, g.first});
      if (door != Door::kClosed) Open(g, door == Door::kOpenAsleep).Put(i, PlaceIn{this, g.first});
    }
  }
  template <typename K>
  static void Key(std::set<std::pair<K, uint32_t>>& set, K was, K now, K none, uint32_t i) {
    if (was == now) return;
    if (was != none) set.erase({was, i});
    if (now != none) set.emplace(now, i);
  }
  void Await(uint32_t i) {
    if (backends[i].stands.next == kNever) {
      moments_.Erase(i);
    } else {
      moments_.Set(i);
    }
  }

  const int own_zone_;
  const double start_capacity_;
  const Micros warm_after_;
  std::array<bool, 3> wanted_ = {};
  std::set<uint32_t> free_;                        // slots
  std::unordered_map<BackendId, uint32_t> index_;  // looked up, never walked
  std::vector<uint32_t> changed_;
  std::set<std::pair<uint64_t, uint32_t>> order_;
  std::map<Group, int> ready_;
  Tally all_, own_;
  std::array<std::vector<Bag>, 3> open_;  // by kind of group; in it by number, then by whether asleep
  std::set<std::pair<Micros, uint32_t>> sleepers_;
  std::set<std::pair<double, uint32_t>> fresh_;
  IndexedHeap<uint32_t, ByMoment> moments_{ByMoment{this}};
};

}  // namespace meadowslip::state

#endif  // MEADOWSLIP_SRC_STATE_BACKEND_TABLE_H_
