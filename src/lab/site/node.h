// A stand-in node: the model of node_model.h on connections, and what can go wrong with those.
#ifndef BURLFALL_LAB_SITE_NODE_H_
#define BURLFALL_LAB_SITE_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/site/node_model.h"
#include "lab/site/stand_in.h"
#include "lab/witness/observer.h"

namespace burlfall::lab {

// What is known of a query beyond what it says.
struct WorkInfo {
  int cls = -1;  // as the client sent it; -1: whatever its path says
  double work_us = 0;
};

// What the nodes of a site share; it outlives them.
struct NodeSite {
  Machine& machine;
  Observer& witness;
  Deduper& repeats;
  const std::vector<ClassSpec>& classes;
  // Who made the queries knows their work. False where it made none of that trace: the query's X-Size-Hint
  // then says it, and a query without that is answered with 400, or 404 where it has no trace. Empty: every
  // query is served, with no work where it has no hint.
  std::function<bool(TraceId, WorkInfo&)> work_of = {};
  NodeModel::Rules rules = {};  // but for the number of balancers, which a node knows by its addresses
  Micros idle_close = 10 * kSecond;
  Micros read_patience = 5 * kSecond;  // from a query's first byte to its last
  size_t body_bytes = 0;               // what a 200 is padded to
  uint64_t attempts = 0;               // that arrived whole, at any node
};

class Node final : public StandIn {
 public:
  // `at`: where it listens, one address for each balancer. It neither listens nor takes anything before
  // Start().
  Node(NodeSite& site, int number, const NodePlan& plan, const NodeGroup& group,
       const std::vector<Address>& at, uint64_t seed);
  ~Node() override;

  void Start(bool cold);  // throws std::system_error where an address can't be had
  void Die();             // killed: links are reset, new ones refused
  void Drain();
  bool up() const { return open(); }
  int in_hand() const { return model_.in_hand(); }
  const std::string& name() const { return plan_.name; }
  uint64_t strange() const { return strange_; }  // queries that nobody sent in this form

  // Until told otherwise, or started anew.
  void Silence(bool on);
  void FailFast(double share);    // of queries fail at once, with 500
  void Slow(double part);         // of its speed is left
  void ResetUnder(double share);  // of queries have their link reset once they have arrived
  void Spoil(double share);       // of 200s are cut short, garbled, or belong to another query

 private:
  struct NodeLink;
  // Of an attempt that the model holds.
  struct Held {
    NodeLink* link = nullptr;  // nullptr: it has ended
    TraceId trace = 0;
  };
  enum class Doom { kNone, kReset, kSpoil };

  std::unique_ptr<Link> NewLink() override;
  void CameUp(Link& link) override;
  Task<bool> Handle(Link& link, HttpMessage query) override;
  void LeftBy(Link& link) override;
  void Lost(Link& link) override;
  Task<> Tend();
  int Receive(NodeLink& link, const HttpMessage& query);
  void Apply();
  void Conclude(const NodeModel::Effect& effect);
  void Spoiled(NodeLink& link, const Mark& mark);
  void DropAll();

  NodeSite& site_;
  const int number_;
  const NodePlan plan_;
  NodeModel model_;
  Stream64 draws_;
  double reset_share_ = 0;
  double spoil_share_ = 0;
  bool fell_ = false;
  uint64_t strange_ = 0;
  Mark last_mark_;  // of the last good answer
  std::unordered_map<uint64_t, Held> held_;
  std::vector<NodeModel::Effect> effects_;
  Event model_moves_;
  Micros tended_at_ = kNever;  // when the model is looked after next
  Task<> tending_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_NODE_H_
