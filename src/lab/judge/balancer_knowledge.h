// What each balancer knows from discovery, or is deemed to know: the rules on drains and cold nodes count
// from there. No I/O, no clock.
#ifndef BURLFALL_LAB_JUDGE_BALANCER_KNOWLEDGE_H_
#define BURLFALL_LAB_JUDGE_BALANCER_KNOWLEDGE_H_

#include <deque>
#include <vector>

#include "io/time.h"
#include "meadowslip/balancer.h"

namespace burlfall::lab {

class BalancerKnowledge {
 public:
  // `pushed`: each change counts as told to all as soon as it is listed, from the first moment of a process.
  explicit BalancerKnowledge(const meadowslip::Settings& settings, bool pushed = false)
      : max_request_interval_(settings.must_ask_within), gone_binds_(settings.gone_binds), pushed_(pushed) {}

  void OnBalancerUp(int balancer, Micros at);  // with nothing in its head
  void OnListed(int node, meadowslip::BackendState state, Micros started_at, Micros at);
  void OnNodeState(int balancer, int node, meadowslip::BackendState state, Micros started_at, Micros at);
  void OnListRequest(int balancer, Micros at, bool watching);
  void OnListRequestFailed(int balancer, Micros at);
  // An operator took the node out there, or put it back; that outlives the process.
  void OnManualDrain(int balancer, int node, bool out, Micros at);

  // Since when the balancer knows at `at` that the node is to get nothing new; kNever: it does not.
  Micros UnusableSince(int balancer, int node, Micros at) const;
  // It got a list since its start, long enough before, and none that it got has named the node.
  bool NeverListed(int balancer, int node, Micros at) const;
  // Since when it knows at `at` of the start at `started_at`, or a later one; kNever: it does not.
  Micros StartKnownSince(int balancer, int node, Micros started_at, Micros at) const;

 private:
  struct Change {
    Micros at = 0;
    bool unusable = false;
    Micros started_at = 0;
  };
  struct Node {  // to one balancer
    bool named = false;
    Micros unusable_since = kNever;
    Micros started_at = 0;
    Micros started_since = kNever;
  };
  struct Balancer {
    std::vector<Node> nodes;
    Micros up_at = 0;
    Micros requested_at = 0;  // or watched until
    bool watching = false;
    bool failed = false;  // so did its last call
  };

  bool IsUnusable(meadowslip::BackendState state) const;
  Micros ListedUnusableSince(int balancer, int node, Micros at) const;
  const Node* Find(int balancer, int node) const;
  // What the balancer is deemed told of, without a word from discovery: all that was listed by `until`; what
  // was listed at L counts from the later of L and `asked_at`, plus `wait`.
  struct AssumedKnowledge {
    const std::deque<Change>* changes = nullptr;  // none: not deemed
    Micros until = 0;
    Micros requested_at = 0;
    Micros wait = 0;
  };
  AssumedKnowledge Assumed(int balancer, int node, Micros at) const;

  Micros max_request_interval_;  // 0: nobody has to ask
  bool gone_binds_;
  bool pushed_;
  std::vector<std::deque<Change>> listed_;  // by node, the latest ones
  std::vector<Balancer> balancers_;
  std::vector<std::vector<Micros>> manual_drains_;  // by balancer and node: by hand; 0: it is not
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_BALANCER_KNOWLEDGE_H_
