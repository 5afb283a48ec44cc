#include "lab/peers/proxy.h"

#include <algorithm>
#include <utility>

namespace burlfall::lab {
namespace {

using meadowslip::ActionSink;
using meadowslip::BackendState;
using meadowslip::Idempotency;
using meadowslip::ListKind;
using meadowslip::Outcome;

// Timers: these, and a request's id while it waits for its next try.
constexpr uint64_t kAsk = ~uint64_t{0};
constexpr uint64_t kSweep = kAsk - 1;
// A call for the subscription is repeated after a wait that doubles, in parts of the time within which the
// proxy has to ask.
constexpr Micros kFirstAskPart = 16;
constexpr Micros kLongestAskPart = 4;
constexpr Micros kLeastAskWait = 250 * kMs;
// The proxy's time-out is the client's patience, less this: operators set it so that the proxy hears of a
// host that is silent before the client leaves, which says nothing of the host.
constexpr Micros kBeforeClient = 10 * kMs;

bool NeverRan(Outcome outcome) {
  return outcome == Outcome::kFull || outcome == Outcome::kConnectFailed || outcome == Outcome::kMoot;
}

}  // namespace

Proxy::Proxy(const meadowslip::Settings& settings, std::unique_ptr<PeerPolicy> policy, uint64_t seed)
    : settings_(settings), policy_(std::move(policy)), retries_(policy_->retries()), random_(seed) {}

void Proxy::OnList(Micros now, const meadowslip::BackendList& list, ActionSink& actions) {
  if (list.kind == ListKind::kFailed) {
    subscribed_ = false;
    return Housekeeping(now, actions);
  }
  if (list.kind != ListKind::kCached) {
    subscribed_ = true;
    ask_wait_ = 0;
  }
  if (list.kind != ListKind::kChanges) {
    for (PeerHost& host : hosts_) host.ready = false;
  }
  for (const meadowslip::BackendEntry& entry : list.entries) {
    PeerHost* host = Find(entry.id);
    if (host == nullptr) host = &hosts_.emplace_back(PeerHost{entry.id, 0, false});
    host->ready = entry.state == BackendState::kReady;
  }
  std::erase_if(hosts_, [](const PeerHost& host) { return !host.ready && host.in_flight == 0; });
  const auto rest = std::ranges::stable_partition(hosts_, &PeerHost::ready);
  ready_ = hosts_.size() - rest.size();
  policy_->Listed(Ready());
  Housekeeping(now, actions);
}

void Proxy::OnRequest(Micros now, const meadowslip::Request& request, ActionSink& actions) {
  Housekeeping(now, actions);
  if (request.request_class < 0 || std::cmp_greater_equal(request.request_class, settings_.classes.size())) {
    return actions.Fail(request.id);
  }
  const auto [it, fresh] = held_.try_emplace(request.id);
  if (!fresh) return;  // taken already: that one is answered
  it->second.request = request;
  Try(now, it->second, actions);
}

void Proxy::OnStreamStarted(Micros now, meadowslip::RequestId id, ActionSink& actions) {
  Housekeeping(now, actions);
  const auto it = held_.find(id);
  if (it != held_.end()) it->second.streaming = true;
}

void Proxy::OnResult(Micros now, const meadowslip::AttemptResult& result, ActionSink& actions) {
  Housekeeping(now, actions);
  const auto it = held_.find(result.id);
  if (it == held_.end()) return;
  Held& held = it->second;
  if (!held.out || std::cmp_not_equal(result.attempt + 1, held.tried.size())) return;
  held.out = false;
  held.last = result.outcome;
  held.may_have_run = held.may_have_run || !NeverRan(result.outcome);
  PeerHost* host = Find(held.tried.back());
  --host->in_flight;
  if (result.outcome != Outcome::kCancelled && result.outcome != Outcome::kMoot) {
    policy_->Ended(now, host->id, result.outcome);
  }
  if (std::exchange(held.retrying, false)) --retrying_;
  if (held.over || result.closed || result.outcome == Outcome::kOk) return Forget(held);
  const Micros wait = static_cast<Micros>(static_cast<double>(retries_.most_wait) * Uniform());
  if (!MayRetry(now + wait, held)) return End(held, actions);
  held.retrying = true;
  ++retrying_;
  if (retries_.most_wait == 0) return Try(now, held, actions);
  actions.Schedule(wait, held.request.id);
}

void Proxy::OnClientLeft(Micros now, meadowslip::RequestId id, ActionSink& actions) {
  Housekeeping(now, actions);
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  Held& held = it->second;
  held.over = true;
  if (!held.out) return Forget(held);
  if (settings_.may_cancel) actions.Cancel(id, static_cast<int>(held.tried.size()) - 1);
}

void Proxy::OnTimer(Micros now, uint64_t timer, ActionSink& actions) {
  if (timer == kSweep) {
    sweeping_ = false;
    policy_->Sweep(now, Ready());
  }
  Housekeeping(now, actions);
  const auto it = held_.find(timer);
  if (it != held_.end() && !it->second.out) Try(now, it->second, actions);
}

// What is due whatever happened.
void Proxy::Housekeeping(Micros now, ActionSink& actions) {
  if (policy_->sweep_every() > 0 && !std::exchange(sweeping_, true)) {
    actions.Schedule(policy_->sweep_every(), kSweep);
  }
  if (!settings_.must_subscribe || subscribed_ || now < ask_at_) return;
  actions.Subscribe();
  const Micros least = std::max(kLeastAskWait, settings_.must_ask_within / kFirstAskPart);
  ask_wait_ = std::clamp(ask_wait_ * 2, least, std::max(least, settings_.must_ask_within / kLongestAskPart));
  const Micros wait = static_cast<Micros>(static_cast<double>(ask_wait_) * (0.75 + 0.5 * Uniform()));
  ask_at_ = now + wait;
  actions.Schedule(wait, kAsk);
}

void Proxy::Try(Micros now, Held& held, ActionSink& actions) {
  if (now >= held.request.give_up_at || ready_ == 0) return End(held, actions);
  const std::optional<size_t> picked = policy_->Pick(now, Ready(), held.tried);
  if (!picked) return End(held, actions);
  PeerHost& host = hosts_[*picked];
  ++host.in_flight;
  held.tried.push_back(host.id);
  held.out = true;
  const Micros left = held.request.give_up_at - now;
  actions.Send(held.request.id, host.id, left > 2 * kBeforeClient ? left - kBeforeClient : 0);
}

bool Proxy::Safe(const Held& held) const {
  return settings_.classes[static_cast<size_t>(held.request.request_class)].idempotency == Idempotency::kSafe;
}

bool Proxy::MayRetry(Micros then, const Held& held) const {
  if (held.last == Outcome::kTimeout) return false;  // it had all the time there was
  if (held.last == Outcome::kFull && !retries_.on_turned_away) return false;
  if (held.last == Outcome::kError && !retries_.on_error) return false;
  return (!held.may_have_run || Safe(held)) && !held.streaming && then < held.request.give_up_at &&
         std::cmp_less(held.tried.size(), std::min(retries_.most_tries, settings_.max_attempts)) &&
         retrying_ < retries_.most_at_once;
}

// The client gets what its last try came to. A refusal promises that it never ran, or may be repeated: what
// may have run was sent again only where it is safe, so the last try speaks for all.
void Proxy::End(Held& held, ActionSink& actions) {
  if (NeverRan(held.last)) {
    actions.Refuse(held.request.id, 0);
  } else {
    actions.Fail(held.request.id);
  }
  Forget(held);
}

void Proxy::Forget(Held& held) {
  if (held.retrying) --retrying_;
  held_.erase(held.request.id);
}

PeerHost* Proxy::Find(BackendId id) {
  const auto it = std::ranges::find(hosts_, id, &PeerHost::id);
  return it == hosts_.end() ? nullptr : &*it;
}

}  // namespace burlfall::lab
