#include "lab/judge/balancer_knowledge.h"

#include <algorithm>
#include <cstddef>

#include "lab/judge/find.h"

namespace burlfall::lab {
namespace {

constexpr std::size_t kMaxChanges = 32;  // kept per node; older ones are superseded
constexpr Micros kStartTolerance =
    50 * kMs;                      // discovery reports start times in milliseconds and a little late
constexpr int kFailureFactor = 4;  // a failed call lengthens the permitted interval by this factor

template <typename T>
T& GrowTo(std::vector<T>& all, int i) {
  const auto at = static_cast<std::size_t>(i);
  if (at >= all.size()) all.resize(at + 1);
  return all[at];
}

}  // namespace

void BalancerKnowledge::OnBalancerUp(int balancer, Micros at) {
  Balancer& one = GrowTo(balancers_, balancer);
  one = Balancer();
  one.requested_at = one.up_at = at;
}

void BalancerKnowledge::OnManualDrain(int balancer, int node, bool out, Micros at) {
  Micros& since = GrowTo(GrowTo(manual_drains_, balancer), node);
  since = !out ? 0 : since == 0 ? at : since;  // a repeated drain starts no new grace period
}

bool BalancerKnowledge::NeverListed(int balancer, int node, Micros at) const {
  const Balancer* one = lab::Find(balancers_, balancer);
  if (one == nullptr || at < one->up_at + kStartTolerance) return false;
  const auto named = [](const Node& known) { return known.named; };
  if (std::none_of(one->nodes.begin(), one->nodes.end(), named))
    return false;  // nothing is recorded of what it knows
  const Node* known = lab::Find(one->nodes, node);
  return known == nullptr || !known->named;
}

void BalancerKnowledge::OnListed(int node, meadowslip::BackendState state, Micros started_at, Micros at) {
  std::deque<Change>& changes = GrowTo(listed_, node);
  changes.push_back({at, IsUnusable(state), started_at});
  if (changes.size() > kMaxChanges) changes.pop_front();
}

void BalancerKnowledge::OnNodeState(int balancer, int node, meadowslip::BackendState state, Micros started_at,
                                    Micros at) {
  Node& one = GrowTo(GrowTo(balancers_, balancer).nodes, node);
  one.named = true;
  if (!IsUnusable(state)) {
    one.unusable_since = kNever;
  } else if (one.unusable_since == kNever) {
    one.unusable_since = at;  // a repeated notification starts no new grace period
  }
  if (started_at != 0 && started_at != one.started_at) {
    one.started_at = started_at;
    one.started_since = at;
  }
}

void BalancerKnowledge::OnListRequest(int balancer, Micros at, bool watching) {
  Balancer& one = GrowTo(balancers_, balancer);
  one.requested_at = std::max(one.requested_at, at);
  one.watching = watching;
  one.failed = false;
}

void BalancerKnowledge::OnListRequestFailed(int balancer, Micros at) {
  OnListRequest(balancer, at, false);
  GrowTo(balancers_, balancer).failed = true;
}

Micros BalancerKnowledge::UnusableSince(int balancer, int node, Micros at) const {
  const std::vector<Micros>* out = lab::Find(manual_drains_, balancer);
  const Micros* by_hand = out == nullptr ? nullptr : lab::Find(*out, node);
  const Micros listed = ListedUnusableSince(balancer, node, at);
  return by_hand == nullptr || *by_hand == 0 ? listed : std::min(*by_hand, listed);
}

Micros BalancerKnowledge::ListedUnusableSince(int balancer, int node, Micros at) const {
  const Node* received = Find(balancer, node);
  const Micros since = received == nullptr ? kNever : received->unusable_since;
  const AssumedKnowledge assumed = Assumed(balancer, node, at);
  if (assumed.changes == nullptr) return since;
  Micros listed = kNever;
  bool any = false;
  for (const Change& change : *assumed.changes) {
    if (change.at > assumed.until) break;
    any = true;
    if (!change.unusable) {
      listed = kNever;
    } else if (listed == kNever) {
      listed = change.at;
    }
  }
  if (!any) return since;
  if (listed == kNever) return kNever;  // what it is assumed to know is newer than what it received
  return std::min(since, std::max(listed, assumed.requested_at) + assumed.wait);
}

Micros BalancerKnowledge::StartKnownSince(int balancer, int node, Micros started_at, Micros at) const {
  Micros since = kNever;
  const Node* received = Find(balancer, node);
  if (received != nullptr && received->started_at >= started_at - kStartTolerance)
    since = received->started_since;
  const AssumedKnowledge assumed = Assumed(balancer, node, at);
  if (assumed.changes == nullptr) return since;
  for (const Change& change : *assumed.changes) {
    if (change.at > assumed.until) break;
    if (change.started_at < started_at - kStartTolerance) continue;
    return std::min(since, std::max(change.at, assumed.requested_at) + assumed.wait);
  }
  return since;
}

bool BalancerKnowledge::IsUnusable(meadowslip::BackendState state) const {
  return state == meadowslip::BackendState::kDraining ||
         (state == meadowslip::BackendState::kGone && gone_binds_);
}

const BalancerKnowledge::Node* BalancerKnowledge::Find(int balancer, int node) const {
  const Balancer* one = lab::Find(balancers_, balancer);
  return one == nullptr ? nullptr : lab::Find(one->nodes, node);
}

BalancerKnowledge::AssumedKnowledge BalancerKnowledge::Assumed(int balancer, int node, Micros at) const {
  const Balancer* one = lab::Find(balancers_, balancer);
  const std::deque<Change>* changes = lab::Find(listed_, node);
  if (pushed_ && one != nullptr && changes != nullptr) return {changes, at, one->up_at, 0};
  if (max_request_interval_ <= 0 || one == nullptr || changes == nullptr || one->watching) return {};
  const Micros wait = max_request_interval_ * (one->failed ? kFailureFactor : 1);
  if (at - one->requested_at < wait) return {};
  return {changes, at - wait, one->requested_at, wait};
}

}  // namespace burlfall::lab
