// DiscoveryModel of discovery.h.
#include <algorithm>
#include <utility>

#include "lab/site/discovery.h"

namespace burlfall::lab {
namespace {

using meadowslip::BackendState;

constexpr Micros kWatchGap = 200 * kMs;  // max. time between two calls of a watch
constexpr size_t kMaxChanges = 64;  // retained changes; a balancer that has missed more gets the full list

Micros RandomDelay(Stream64& random, const Range& ms) {
  return std::max<Micros>(0, static_cast<Micros>(random.Between(ms) * kMs));
}

}  // namespace

DiscoveryModel::DiscoveryModel(const DiscoverySpec& spec, int balancers, std::vector<HostState> known,
                               uint64_t seed)
    : spec_(spec), random_(seed, "discovery"), watchers_(static_cast<size_t>(std::max(1, balancers))) {
  for (const HostState& host : known) known_[host.node] = host;
  actual_ = known_;
}

void DiscoveryModel::ReportChange(Micros now, const HostState& host, bool silent) {
  actual_[host.node] = host;
  ScheduleUpdate(now + RandomDelay(random_, silent ? spec_.silent_late_ms : spec_.late_ms), host);
}

void DiscoveryModel::ScheduleUpdate(Micros at, const HostState& host) {
  Micros& last = last_update_at_[host.node];
  last = std::max(last, at);
  pending_updates_.emplace(last, host);
}

void DiscoveryModel::ApplyUpdate(Micros at, const HostState& host, std::vector<Effect>& effects) {
  if (down_ && spec_.pushed)
    return;  // nothing is pushed while it is down; ComeBack() schedules the update again
  auto known = known_.find(host.node);
  if (known != known_.end() && known->second == host) return;
  changes_.push_back({++version_, host.node, {}});
  if (known != known_.end()) changes_.back().before = known->second;
  if (changes_.size() > kMaxChanges) changes_.pop_front();
  known_[host.node] = host;
  effects.push_back({EffectType::kListChanged, 0, 0, version_, false, {host}});
  for (size_t i = 0; i < watchers_.size(); ++i) {
    if (watchers_[i].gap_until < at) continue;
    effects.push_back({EffectType::kConsideredInformed, 0, static_cast<int>(i), version_, false, {host}});
  }
  std::vector<uint64_t> watches;
  for (const auto& [call, one] : pending_) {
    if (one.phase == Phase::kWatching) watches.push_back(call);
  }
  std::sort(watches.begin(), watches.end());  // the order of the hash table is not deterministic
  for (uint64_t call : watches) Conclude(at, call, EffectType::kAnswered, effects);
}

uint64_t DiscoveryModel::Call(Micros now, int balancer, std::optional<uint64_t> index, Micros wait,
                              std::vector<Effect>& effects) {
  Tick(now, effects);
  const uint64_t call = ++calls_;
  Pending& one = pending_[call];
  one.balancer = balancer;
  one.index = index;
  one.until = now + wait;
  one.due = due_.end();
  if (index) {
    Watcher& watcher = watchers_[static_cast<size_t>(balancer)];
    ++watcher.calls;
    watcher.gap_until = 0;
  }
  const Micros begins = std::max(now, free_at_);
  const Micros timeout = static_cast<Micros>(spec_.patience_ms * kMs);
  if (down_) {
    Fail(now, call, effects);
  } else if (begins - now > timeout) {
    Schedule(call, one, Phase::kTimingOut, now + timeout);
  } else {
    const bool in_turn = spec_.calls_per_s > 0 && !spec_.pushed;
    const double each = in_turn ? kSecond / (spec_.calls_per_s * speed_) : 0;
    free_at_ = begins + static_cast<Micros>(each);
    Schedule(call, one, Phase::kQueued, free_at_);
  }
  return call;
}

void DiscoveryModel::Schedule(uint64_t call, Pending& one, Phase phase, Micros due) {
  one.phase = phase;
  one.due = due_.emplace(due, call);
}

void DiscoveryModel::Due(Micros at, uint64_t call, std::vector<Effect>& effects) {
  Pending& one = pending_.find(call)->second;
  due_.erase(one.due);
  one.due = due_.end();
  if (one.phase == Phase::kTimingOut) return Fail(at, call, effects);
  const bool has_update =
      !one.index || *one.index != version_ || watchers_[static_cast<size_t>(one.balancer)].needs_full_list;
  if (one.phase == Phase::kWatching || has_update) return Conclude(at, call, EffectType::kAnswered, effects);
  Schedule(call, one, Phase::kWatching, std::max(at, one.until));
}

void DiscoveryModel::Fail(Micros at, uint64_t call, std::vector<Effect>& effects) {
  Conclude(at, call, random_.Chance(0.5) ? EffectType::kFailed : EffectType::kReset, effects);
}

DiscoveryModel::Pending DiscoveryModel::RemoveCall(uint64_t call) {
  const auto it = pending_.find(call);
  const Pending one = it->second;
  if (one.due != due_.end()) due_.erase(one.due);
  pending_.erase(it);
  if (one.index) --watchers_[static_cast<size_t>(one.balancer)].calls;
  return one;
}

void DiscoveryModel::Conclude(Micros at, uint64_t call, EffectType how, std::vector<Effect>& effects) {
  const Pending one = RemoveCall(call);
  Watcher& watcher = watchers_[static_cast<size_t>(one.balancer)];
  Effect effect{how, call, one.balancer, version_, false, {}};
  if (how == EffectType::kAnswered) {
    const uint64_t oldest = changes_.empty() ? version_ : changes_.front().version - 1;
    const bool needs_full_list = std::exchange(watcher.needs_full_list, false);
    effect.full = needs_full_list || !one.index || *one.index > version_ || *one.index < oldest;
    for (const HostState& host : List()) {
      const bool changed = std::any_of(changes_.begin(), changes_.end(), [&](const Change& change) {
        return change.node == host.node && one.index && change.version > *one.index;
      });
      if (effect.full || changed) effect.hosts.push_back(host);
    }
    if (one.index && watcher.calls == 0) watcher.gap_until = at + kWatchGap;
  }
  effects.push_back(std::move(effect));
}

void DiscoveryModel::CallerDisconnected(Micros now, uint64_t call, std::vector<Effect>& effects) {
  Tick(now, effects);
  if (!pending_.contains(call)) return;
  const Pending one = RemoveCall(call);
  if (!one.index || watching(one.balancer)) return;
  effects.push_back({EffectType::kWatchEnded, 0, one.balancer, version_, false, {}});
}

void DiscoveryModel::GoDown(Micros now, std::vector<Effect>& effects) {
  Tick(now, effects);
  down_ = true;
  std::vector<uint64_t> calls;
  for (const auto& [call, one] : pending_) calls.push_back(call);
  std::sort(calls.begin(), calls.end());
  for (uint64_t call : calls) Fail(now, call, effects);
  for (size_t i = 0; i < watchers_.size(); ++i) {
    if (std::exchange(watchers_[i].gap_until, 0) == 0) continue;
    effects.push_back({EffectType::kWatchEnded, 0, static_cast<int>(i), version_, false, {}});
  }
}

void DiscoveryModel::ComeBack(Micros now, int versions_before, std::vector<Effect>& effects) {
  Tick(now, effects);
  down_ = false;
  free_at_ = now;
  for (Watcher& watcher : watchers_) watcher.needs_full_list = watcher.needs_full_list || versions_before > 0;
  for (; versions_before > 0 && !changes_.empty(); --versions_before) {
    const Change& last = changes_.back();
    --version_;
    const HostState older = last.before.value_or(HostState{last.node, BackendState::kGone, 0});
    known_[last.node] = older;
    effects.push_back({EffectType::kListChanged, 0, 0, version_, false, {older}});
    changes_.pop_back();
  }
  for (const auto& [node, host] : actual_) {
    const auto known = known_.find(node);
    const bool right = known != known_.end() && known->second == host;
    const bool coming = std::any_of(pending_updates_.begin(), pending_updates_.end(),
                                    [&](const auto& update) { return update.second == host; });
    if (!right && !coming) ScheduleUpdate(now + RandomDelay(random_, spec_.late_ms), host);
  }
}

Micros DiscoveryModel::NextAt() const {
  Micros next = kNever;
  if (!pending_updates_.empty()) next = std::min(next, pending_updates_.begin()->first);
  if (!due_.empty()) next = std::min(next, due_.begin()->first);
  for (const Watcher& watcher : watchers_) {
    if (watcher.gap_until > 0) next = std::min(next, watcher.gap_until + 1);
  }
  return next;
}

void DiscoveryModel::Tick(Micros now, std::vector<Effect>& effects) {
  for (Micros at = NextAt(); at <= now; at = NextAt()) {
    if (!pending_updates_.empty() && pending_updates_.begin()->first == at) {
      const HostState host = pending_updates_.begin()->second;
      pending_updates_.erase(pending_updates_.begin());
      ApplyUpdate(at, host, effects);
    } else if (!due_.empty() && due_.begin()->first == at) {
      Due(at, due_.begin()->second, effects);
    } else {
      for (size_t i = 0; i < watchers_.size(); ++i) {
        if (watchers_[i].gap_until == 0 || watchers_[i].gap_until >= at) continue;
        watchers_[i].gap_until = 0;
        effects.push_back({EffectType::kWatchEnded, 0, static_cast<int>(i), version_, false, {}});
      }
    }
  }
}

bool DiscoveryModel::watching(int balancer) const {
  const Watcher& watcher = watchers_[static_cast<size_t>(balancer)];
  return watcher.calls > 0 || watcher.gap_until > 0;
}

std::vector<HostState> DiscoveryModel::List() const {
  std::vector<HostState> hosts;
  for (const auto& [node, host] : known_) hosts.push_back(host);
  return hosts;
}

}  // namespace burlfall::lab
