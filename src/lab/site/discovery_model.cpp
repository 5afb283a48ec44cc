#include <algorithm>
#include <utility>

#include "lab/site/discovery.h"

namespace burlfall::lab {
namespace {

using meadowslip::BackendState;

constexpr Micros kWatchGap = 200 * kMs;
constexpr size_t kMostChanges = 64;  // that it remembers; who has missed more gets the whole list

Micros Drawn(Stream64& draws, const Range& ms) {
  return std::max<Micros>(0, static_cast<Micros>(draws.Between(ms) * kMs));
}

}  // namespace

DiscoveryModel::DiscoveryModel(const DiscoverySpec& spec, int balancers, std::vector<HostState> known,
                               uint64_t seed)
    : spec_(spec), draws_(seed, "discovery"), watchers_(static_cast<size_t>(std::max(1, balancers))) {
  for (const HostState& host : known) known_[host.node] = host;
  truth_ = known_;
}

void DiscoveryModel::Happened(Micros now, const HostState& host, bool silent) {
  truth_[host.node] = host;
  LearnAt(now + Drawn(draws_, silent ? spec_.silent_late_ms : spec_.late_ms), host);
}

void DiscoveryModel::LearnAt(Micros at, const HostState& host) {
  Micros& last = last_word_[host.node];
  last = std::max(last, at);
  words_.emplace(last, host);
}

void DiscoveryModel::Learn(Micros at, const HostState& host, std::vector<Effect>& effects) {
  if (down_ && spec_.pushed) return;  // what is pushed is pushed by nobody meanwhile: it learns at its return
  auto known = known_.find(host.node);
  if (known != known_.end() && known->second == host) return;
  changes_.push_back({++version_, host.node, {}});
  if (known != known_.end()) changes_.back().before = known->second;
  if (changes_.size() > kMostChanges) changes_.pop_front();
  known_[host.node] = host;
  effects.push_back({Did::kListed, 0, 0, version_, false, {host}});
  for (size_t i = 0; i < watchers_.size(); ++i) {
    if (watchers_[i].gap_until < at) continue;
    effects.push_back({Did::kDeemed, 0, static_cast<int>(i), version_, false, {host}});
  }
  std::vector<uint64_t> watches;
  for (const auto& [call, one] : pending_) {
    if (one.phase == Phase::kWatching) watches.push_back(call);
  }
  std::sort(watches.begin(), watches.end());  // a hash table's order says nothing
  for (uint64_t call : watches) Conclude(at, call, Did::kAnswered, effects);
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
  const Micros patience = static_cast<Micros>(spec_.patience_ms * kMs);
  if (down_) {
    Fail(now, call, effects);
  } else if (begins - now > patience) {
    Park(call, one, Phase::kTooLate, now + patience);
  } else {
    const bool in_turn = spec_.calls_per_s > 0 && !spec_.pushed;
    const double each = in_turn ? kSecond / (spec_.calls_per_s * speed_) : 0;
    free_at_ = begins + static_cast<Micros>(each);
    Park(call, one, Phase::kInTurn, free_at_);
  }
  return call;
}

void DiscoveryModel::Park(uint64_t call, Pending& one, Phase phase, Micros due) {
  one.phase = phase;
  one.due = due_.emplace(due, call);
}

void DiscoveryModel::Due(Micros at, uint64_t call, std::vector<Effect>& effects) {
  Pending& one = pending_.find(call)->second;
  due_.erase(one.due);
  one.due = due_.end();
  if (one.phase == Phase::kTooLate) return Fail(at, call, effects);
  const bool news =
      !one.index || *one.index != version_ || watchers_[static_cast<size_t>(one.balancer)].stranger;
  if (one.phase == Phase::kWatching || news) return Conclude(at, call, Did::kAnswered, effects);
  Park(call, one, Phase::kWatching, std::max(at, one.until));
}

void DiscoveryModel::Fail(Micros at, uint64_t call, std::vector<Effect>& effects) {
  Conclude(at, call, draws_.Chance(0.5) ? Did::kFailed : Did::kReset, effects);
}

DiscoveryModel::Pending DiscoveryModel::Forget(uint64_t call) {
  const auto it = pending_.find(call);
  const Pending one = it->second;
  if (one.due != due_.end()) due_.erase(one.due);
  pending_.erase(it);
  if (one.index) --watchers_[static_cast<size_t>(one.balancer)].calls;
  return one;
}

void DiscoveryModel::Conclude(Micros at, uint64_t call, Did how, std::vector<Effect>& effects) {
  const Pending one = Forget(call);
  Watcher& watcher = watchers_[static_cast<size_t>(one.balancer)];
  Effect effect{how, call, one.balancer, version_, false, {}};
  if (how == Did::kAnswered) {
    const uint64_t oldest = changes_.empty() ? version_ : changes_.front().version - 1;
    const bool stranger = std::exchange(watcher.stranger, false);
    effect.full = stranger || !one.index || *one.index > version_ || *one.index < oldest;
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

void DiscoveryModel::Left(Micros now, uint64_t call, std::vector<Effect>& effects) {
  Tick(now, effects);
  if (!pending_.contains(call)) return;
  const Pending one = Forget(call);
  if (!one.index || watching(one.balancer)) return;
  effects.push_back({Did::kUnwatched, 0, one.balancer, version_, false, {}});
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
    effects.push_back({Did::kUnwatched, 0, static_cast<int>(i), version_, false, {}});
  }
}

void DiscoveryModel::ComeBack(Micros now, int versions_before, std::vector<Effect>& effects) {
  Tick(now, effects);
  down_ = false;
  free_at_ = now;
  for (Watcher& watcher : watchers_) watcher.stranger = watcher.stranger || versions_before > 0;
  for (; versions_before > 0 && !changes_.empty(); --versions_before) {
    const Change& last = changes_.back();
    --version_;
    const HostState older = last.before.value_or(HostState{last.node, BackendState::kGone, 0});
    known_[last.node] = older;
    effects.push_back({Did::kListed, 0, 0, version_, false, {older}});
    changes_.pop_back();
  }
  for (const auto& [node, host] : truth_) {
    const auto known = known_.find(node);
    const bool right = known != known_.end() && known->second == host;
    const bool coming =
        std::any_of(words_.begin(), words_.end(), [&](const auto& word) { return word.second == host; });
    if (!right && !coming) LearnAt(now + Drawn(draws_, spec_.late_ms), host);
  }
}

Micros DiscoveryModel::NextAt() const {
  Micros next = kNever;
  if (!words_.empty()) next = std::min(next, words_.begin()->first);
  if (!due_.empty()) next = std::min(next, due_.begin()->first);
  for (const Watcher& watcher : watchers_) {
    if (watcher.gap_until > 0) next = std::min(next, watcher.gap_until + 1);
  }
  return next;
}

void DiscoveryModel::Tick(Micros now, std::vector<Effect>& effects) {
  for (Micros at = NextAt(); at <= now; at = NextAt()) {
    if (!words_.empty() && words_.begin()->first == at) {
      const HostState host = words_.begin()->second;
      words_.erase(words_.begin());
      Learn(at, host, effects);
    } else if (!due_.empty() && due_.begin()->first == at) {
      Due(at, due_.begin()->second, effects);
    } else {
      for (size_t i = 0; i < watchers_.size(); ++i) {
        if (watchers_[i].gap_until == 0 || watchers_[i].gap_until >= at) continue;
        watchers_[i].gap_until = 0;
        effects.push_back({Did::kUnwatched, 0, static_cast<int>(i), version_, false, {}});
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
