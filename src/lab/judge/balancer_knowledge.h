// What each balancer knows from discovery, or is assumed to know. The rules on draining and cold nodes count
// their time limits from there. No I/O, no clock.
#ifndef BURLFALL_LAB_JUDGE_BALANCER_KNOWLEDGE_H_
#define BURLFALL_LAB_JUDGE_BALANCER_KNOWLEDGE_H_

#include <deque>
#include <vector>

#include "io/time.h"
#include "meadowslip/balancer.h"

namespace burlfall::lab {

class BalancerKnowledge {
 public:
  // `pushed`: every balancer counts as knowing each change as soon as it is listed, from its start on.
  explicit BalancerKnowledge(const meadowslip::Settings& settings, bool pushed = false)
      : max_request_interval_(settings.must_ask_within), gone_binds_(settings.gone_binds), pushed_(pushed) {}

  void OnBalancerUp(int balancer, Micros at);  // it knows nothing yet
  void OnListed(int node, meadowslip::BackendState state, Micros started_at, Micros at);
  void OnNodeState(int balancer, int node, meadowslip::BackendState state, Micros started_at, Micros at);
  void OnListRequest(int balancer, Micros at, bool watching);
  void OnListRequestFailed(int balancer, Micros at);
  // An operator drained the node manually at this balancer, or undid that. It survives a restart.
  void OnManualDrain(int balancer, int node, bool out, Micros at);

  // Since when the balancer has known, as of `at`, that the node must get nothing new; kNever: it does not.
  Micros UnusableSince(int balancer, int node, Micros at) const;
  // Whether the balancer got a list since its start, long enough before `at`, and no list named the node.
  bool NeverListed(int balancer, int node, Micros at) const;
  // Since when the balancer has known, as of `at`, of the start at `started_at` or a later one; kNever:
  // it does not.
  Micros StartKnownSince(int balancer, int node, Micros started_at, Micros at) const;

 private:
  struct Change {
    Micros at = 0;
    bool unusable = false;
    Micros started_at = 0;
  };
  struct Node {  // as one balancer knows it
    bool named = false;
    Micros unusable_since = kNever;
    Micros started_at = 0;
    Micros started_since = kNever;
  };
  struct Balancer {
    std::vector<Node> nodes;
    Micros up_at = 0;
    Micros requested_at = 0;  // last request, or the end of the watch
    bool watching = false;
    bool failed = false;  // the last call or watch failed
  };

  bool IsUnusable(meadowslip::BackendState state) const;
  Micros ListedUnusableSince(int balancer, int node, Micros at) const;
  const Node* Find(int balancer, int node) const;
  // What the balancer is assumed to know although discovery has not sent it: everything listed by `until`. A
  // change listed at L counts as known from max(L, `requested_at`) + `wait`.
  struct AssumedKnowledge {
    const std::deque<Change>* changes = nullptr;  // null: nothing is assumed
    Micros until = 0;
    Micros requested_at = 0;
    Micros wait = 0;
  };
  AssumedKnowledge Assumed(int balancer, int node, Micros at) const;

  Micros max_request_interval_;  // 0: requests are not required
  bool gone_binds_;
  bool pushed_;
  std::vector<std::deque<Change>> listed_;  // by node, the latest changes
  std::vector<Balancer> balancers_;
  std::vector<std::vector<Micros>> manual_drains_;  // start, by balancer and node; 0: none
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_BALANCER_KNOWLEDGE_H_
