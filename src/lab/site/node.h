// Stand-in for a node: an HTTP server that runs the model of node_model.h, with faults of the connections.
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

// What the lab knows of a query, in addition to its content.
struct WorkInfo {
  int cls = -1;  // class that the client sent; -1: the one that the path names
  double work_us = 0;
};

// Objects and settings that all nodes of a site share; it must outlive them.
struct NodeSite {
  Machine& machine;
  Observer& witness;
  Deduplicator& repeats;
  const std::vector<ClassSpec>& classes;
  // Returns the work of the query with this trace, from the generator of the load. If it returns false
  // (unknown trace), the work is that of the query's X-Size-Hint; a query without a hint is answered with
  // 400, or with 404 if it has no trace. Empty: every query is served, with no work if it has no hint.
  std::function<bool(TraceId, WorkInfo&)> work_of = {};
  NodeModel::Rules rules = {};  // except the number of balancers, which is that of the node's addresses
  Micros idle_close = 10 * kSecond;
  Micros read_timeout = 5 * kSecond;  // max. time from a query's first byte to its last
  size_t body_bytes = 0;              // min. size of the body of a 200
  uint64_t attempts = 0;              // completely received queries, at all nodes
};

// A node: the HTTP server and its model.
class Node final : public StandIn {
 public:
  // `at`: the addresses at which it listens, one for each balancer. It does not listen before Start().
  Node(NodeSite& site, int number, const NodePlan& plan, const NodeGroup& group,
       const std::vector<Address>& at, uint64_t seed);
  ~Node() override;

  void Start(bool cold);  // throws std::system_error if an address is not available
  void Die();             // as if killed: links are reset, new connections refused
  void Drain();
  bool up() const { return open(); }
  int pending_queries() const { return model_.pending_queries(); }
  const std::string& name() const { return plan_.name; }
  // Number of queries that no client sent in this form.
  uint64_t unexpected_queries() const { return unexpected_queries_; }

  // Faults; each remains until it is changed or the node is restarted.
  void Silence(bool on);
  void FailFast(double share);           // share of queries that fail at once, with 500
  void SetSpeed(double part);            // remaining share of its speed
  void SetResetShare(double share);      // share of queries whose link is reset after arrival
  void SetCorruptedShare(double share);  // share of 200s that are truncated, garbled or of another query

 private:
  struct NodeLink;
  // An attempt that the model holds.
  struct Held {
    NodeLink* link = nullptr;  // nullptr: the link has ended
    TraceId trace = 0;
  };
  enum class ConnectionFault { kNone, kReset, kCorrupt };

  std::unique_ptr<Link> NewLink() override;
  void OnConnected(Link& link) override;
  Task<bool> Handle(Link& link, HttpMessage query) override;
  void OnPeerClosed(Link& link) override;
  void OnClosed(Link& link) override;
  Task<> RunModel();
  int Receive(NodeLink& link, const HttpMessage& query);
  void Apply();
  void Conclude(const NodeModel::Effect& effect);
  void CorruptAnswer(NodeLink& link, const Mark& mark);
  void DropQueries();

  NodeSite& site_;
  const int number_;
  const NodePlan plan_;
  NodeModel model_;
  Stream64 random_;
  double reset_share_ = 0;
  double corrupted_share_ = 0;
  bool crashed_ = false;
  uint64_t unexpected_queries_ = 0;
  Mark last_mark_;  // mark of the last correct answer
  std::unordered_map<uint64_t, Held> held_;
  std::vector<NodeModel::Effect> effects_;
  Event model_changed_;
  Micros next_tick_at_ = kNever;  // when RunModel() calls the model next
  Task<> model_task_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_NODE_H_
