#include "lab/judge/balancer_knowledge.h"

#include <algorithm>
#include <cstddef>

#include "lab/judge/find.h"

namespace burlfall::lab {
namespace {

constexpr std::size_t kMostChanges = 32;  // of one node; what is older has been overtaken
constexpr Micros kRounding = 50 * kMs;  // discovery tells starts in milliseconds, and sees them a little late
constexpr int kAfterFailure = 4;        // so many times as long may a balancer go after a call that failed

template <typename T>
T& Grown(std::vector<T>& all, int i) {
  const auto at = static_cast<std::size_t>(i);
  if (at >= all.size()) all.resize(at + 1);
  return all[at];
}

}  // namespace

void ToldBook::BalancerUp(int balancer, Micros at) {
  Balancer& one = Grown(balancers_, balancer);
  one = Balancer();
  one.asked_at = one.up_at = at;
}

void ToldBook::ByHand(int balancer, int node, bool out, Micros at) {
  Micros& since = Grown(Grown(out_since_, balancer), node);
  since = !out ? 0 : since == 0 ? at : since;  // saying it again starts no new grace
}

bool ToldBook::NeverNamed(int balancer, int node, Micros at) const {
  const Balancer* one = lab::Find(balancers_, balancer);
  if (one == nullptr || at < one->up_at + kRounding) return false;
  const auto named = [](const Node& known) { return known.named; };
  if (std::none_of(one->nodes.begin(), one->nodes.end(), named)) return false;  // nobody told what it knows
  const Node* known = lab::Find(one->nodes, node);
  return known == nullptr || !known->named;
}

void ToldBook::Listed(int node, meadowslip::BackendState state, Micros started_at, Micros at) {
  std::deque<Change>& changes = Grown(listed_, node);
  changes.push_back({at, Ends(state), started_at});
  if (changes.size() > kMostChanges) changes.pop_front();
}

void ToldBook::Heard(int balancer, int node, meadowslip::BackendState state, Micros started_at, Micros at) {
  Node& one = Grown(Grown(balancers_, balancer).nodes, node);
  one.named = true;
  if (!Ends(state)) {
    one.ended_since = kNever;
  } else if (one.ended_since == kNever) {
    one.ended_since = at;  // hearing it again starts no new grace
  }
  if (started_at != 0 && started_at != one.started_at) {
    one.started_at = started_at;
    one.started_since = at;
  }
}

void ToldBook::Asked(int balancer, Micros at, bool watching) {
  Balancer& one = Grown(balancers_, balancer);
  one.asked_at = std::max(one.asked_at, at);
  one.watching = watching;
  one.failed = false;
}

void ToldBook::AskFailed(int balancer, Micros at) {
  Asked(balancer, at, false);
  Grown(balancers_, balancer).failed = true;
}

Micros ToldBook::EndedSince(int balancer, int node, Micros at) const {
  const std::vector<Micros>* out = lab::Find(out_since_, balancer);
  const Micros* by_hand = out == nullptr ? nullptr : lab::Find(*out, node);
  const Micros listed = ListedEndSince(balancer, node, at);
  return by_hand == nullptr || *by_hand == 0 ? listed : std::min(*by_hand, listed);
}

Micros ToldBook::ListedEndSince(int balancer, int node, Micros at) const {
  const Node* heard = Find(balancer, node);
  const Micros since = heard == nullptr ? kNever : heard->ended_since;
  const Deemed deemed = DeemedTold(balancer, node, at);
  if (deemed.changes == nullptr) return since;
  Micros listed = kNever;
  bool any = false;
  for (const Change& change : *deemed.changes) {
    if (change.at > deemed.until) break;
    any = true;
    if (!change.ended) {
      listed = kNever;
    } else if (listed == kNever) {
      listed = change.at;
    }
  }
  if (!any) return since;
  if (listed == kNever) return kNever;  // what it is deemed told is newer than what it heard
  return std::min(since, std::max(listed, deemed.asked_at) + deemed.wait);
}

Micros ToldBook::StartSince(int balancer, int node, Micros started_at, Micros at) const {
  Micros since = kNever;
  const Node* heard = Find(balancer, node);
  if (heard != nullptr && heard->started_at >= started_at - kRounding) since = heard->started_since;
  const Deemed deemed = DeemedTold(balancer, node, at);
  if (deemed.changes == nullptr) return since;
  for (const Change& change : *deemed.changes) {
    if (change.at > deemed.until) break;
    if (change.started_at < started_at - kRounding) continue;
    return std::min(since, std::max(change.at, deemed.asked_at) + deemed.wait);
  }
  return since;
}

bool ToldBook::Ends(meadowslip::BackendState state) const {
  return state == meadowslip::BackendState::kDraining ||
         (state == meadowslip::BackendState::kGone && gone_binds_);
}

const ToldBook::Node* ToldBook::Find(int balancer, int node) const {
  const Balancer* one = lab::Find(balancers_, balancer);
  return one == nullptr ? nullptr : lab::Find(one->nodes, node);
}

ToldBook::Deemed ToldBook::DeemedTold(int balancer, int node, Micros at) const {
  const Balancer* one = lab::Find(balancers_, balancer);
  const std::deque<Change>* changes = lab::Find(listed_, node);
  if (pushed_ && one != nullptr && changes != nullptr) return {changes, at, one->up_at, 0};
  if (must_ask_within_ <= 0 || one == nullptr || changes == nullptr || one->watching) return {};
  const Micros wait = must_ask_within_ * (one->failed ? kAfterFailure : 1);
  if (at - one->asked_at < wait) return {};
  return {changes, at - wait, one->asked_at, wait};
}

}  // namespace burlfall::lab
