// Model of a node that processes queries: slots, queue, speed, cold start, cached (warm) keys, deduplication
// of repeats, and a crash on overload. No I/O and no clock: events come in with their time, effects come out.
// There is one model per node; the stand-in in node.h connects it to the network.
//
// All jobs in progress, handshakes as well as queries, share the cores evenly, and no job uses more than one
// core. A query needs a slot to be processed. An event may come in late: jobs that were due to end before it
// end at their own time, so a coarse clock costs no capacity.
#ifndef BURLFALL_LAB_SITE_NODE_MODEL_H_
#define BURLFALL_LAB_SITE_NODE_MODEL_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "io/time.h"
#include "lab/script/experiment.h"
#include "lab/script/script.h"

namespace burlfall::lab {

struct NodeQuery {
  uint64_t attempt = 0;
  int balancer = 0;
  int cls = -1;                      // -1: no class of the experiment
  uint64_t key = 0;                  // 0: none
  std::string idempotency_key = {};  // of a keyed query
  double work_us = 0;                // on a standard core
  Micros expires_at = kNever;        // when the balancer's timeout expires
  uint64_t link = 0;                 // if its handshake is not done, the query waits for it
  bool link_over_limit = false;      // its link exceeds the limit of connections: rejected
};

// The idempotency keys of all nodes of a site: a repeat has no effect, whichever node receives it.
class Deduplicator {
 public:
  explicit Deduplicator(const std::vector<ClassSpec>& classes);
  // Whether a query whose processing starts now is a repeat: it arrived within the window of its class, which
  // starts with the effect of its key. The time that it has been queued since does not matter, because the
  // rule for balancers depends on when a query was sent. If it is not a repeat, the key takes effect now.
  bool IsRepeat(Micros now, Micros arrived_at, int cls, const std::string& key);

 private:
  struct Memory {
    bool keyed = false;
    Micros window = 0;
    std::unordered_map<std::string, Micros> effects;
    std::deque<std::pair<Micros, std::string>> oldest;
  };
  std::vector<Memory> classes_;
};

class NodeModel {
 public:
  enum class EffectType {
    kProcessing,  // processing has started; `repeat`: without the effect, only to produce an answer
    kServed,      // answer 200
    kError,       // answer 500
    kRejected,    // 503 and X-Never-Ran: 1
    kExpired,     // 504 and X-Never-Ran: 1: its timeout expired before processing started
    kCrashed,     // the process crashed from overload; all its queries are dropped
  };
  struct Effect {
    EffectType type = EffectType::kProcessing;
    uint64_t attempt = 0;
    bool repeat = false;
    std::vector<double> work_by_balancer;  // of kCrashed: the work received in the window
  };
  struct Rules {
    double overload_factor = 4;
    Micros overload_window = 1500 * kMs;
    int balancers = 1;
  };

  // `repeats` belongs to the site and must outlive the model.
  NodeModel(const NodePlan& plan, const NodeGroup& group, Deduplicator& repeats, Rules rules, uint64_t seed);
  ~NodeModel();

  // Each event appends its effects, in order, to `effects`.
  void Start(Micros now, bool cold);  // starts with a clean state and without faults
  void Stop();                        // drops all queries and ignores further ones
  // Rejects new queries, completes those it holds.
  void Drain(Micros now, std::vector<Effect>& effects);
  // While silent, it accepts queries, processes nothing and answers none. Afterwards it resumes its queries
  // and rejects those that arrived meanwhile and exceed its queue.
  void Silence(Micros now, bool on, std::vector<Effect>& effects);
  void FailFast(Micros now, double share, std::vector<Effect>& effects);  // 0: off
  void SetSpeed(Micros now, double part, std::vector<Effect>& effects);   // 1: full speed

  // The handshake of a new link; the first query on the link waits for its completion.
  void Handshake(Micros now, int balancer, uint64_t link, std::vector<Effect>& effects);
  void Submit(Micros now, NodeQuery query, std::vector<Effect>& effects);
  // The balancer no longer waits for the attempt. True if it is dropped, so that no effect of it follows.
  bool Cancel(Micros now, uint64_t attempt, std::vector<Effect>& effects);
  Micros NextAt() const;  // time at which Tick() is due; kNever: no event is pending
  void Tick(Micros now, std::vector<Effect>& effects);

  bool draining() const;
  int pending_queries() const;        // queries being queued or processed
  double Capacity(Micros now) const;  // share of the full capacity

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_NODE_MODEL_H_
