// What a node does with the queries that reach it: slots, waiting room, speed, cold start, warm keys, repeats
// dropped, and falling over. No I/O and no clock: events come in with their time, effects come out. One model
// a node; the stand-in in node.h puts it on connections.
//
// The cores are shared evenly by what is in work, a handshake as much as a query, none getting more than one;
// a slot is leave to be in work. However late an event comes in, what was to end before it ends at its own
// time, so a clock that ticks coarsely costs no capacity.
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
  int cls = -1;                      // -1: none that the experiment names
  uint64_t key = 0;                  // what it concerns; 0: nothing
  std::string idempotency_key = {};  // of a keyed query
  double work_us = 0;                // on a standard core
  Micros over_at = kNever;           // when the balancer stops waiting
  uint64_t link = 0;                 // it waits for the handshake of this one, where that is not done
  bool no_room = false;              // it came by a link that is one too many: turned away
};

// The site's memory of idempotency keys: a repeat has no effect, whichever node it comes to.
class Deduper {
 public:
  explicit Deduper(const std::vector<ClassSpec>& classes);
  // Whether a query that begins now is a repeat: one that came by the end of its class's window, which runs
  // from the effect of its key. However long it has waited since: the balancers' rule goes by when it was
  // sent. If it is none, the key has its effect now.
  bool Repeat(Micros now, Micros came_at, int cls, const std::string& key);

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
  enum class Did {
    kBegan,       // in work now; `repeat`: its effect was dropped, only an answer is made
    kServed,      // answer 200
    kError,       // answer 500
    kTurnedAway,  // 503 and X-Never-Ran: 1
    kOver,        // 504 and X-Never-Ran: 1: its time was over before it began
    kFell,        // the process died of what it was sent; all it held is dropped
  };
  struct Effect {
    Did did = Did::kBegan;
    uint64_t attempt = 0;
    bool repeat = false;
    std::vector<double> pushed_by;  // of kFell: the work in the window, by balancer
  };
  struct Rules {
    double overload_factor = 4;
    Micros overload_window = 1500 * kMs;
    int balancers = 1;
  };

  // `repeats` is the site's, and outlives it.
  NodeModel(const NodePlan& plan, const NodeGroup& group, Deduper& repeats, Rules rules, uint64_t seed);
  ~NodeModel();

  // What came of an event is in the effects, in order; they are appended.
  void Start(Micros now, bool cold);  // from nothing, whatever it was before, and with no fault
  void Stop();                        // holds nothing and takes nothing
  // Turns away what is new, completes what it holds.
  void Drain(Micros now, std::vector<Effect>& effects);
  // Takes queries and answers none: nothing moves. What it held goes on with its end, and what came meanwhile
  // and doesn't fit is turned away.
  void Silence(Micros now, bool on, std::vector<Effect>& effects);
  void FailFast(Micros now, double share, std::vector<Effect>& effects);  // 0: no more
  void Slow(Micros now, double part, std::vector<Effect>& effects);       // 1: no more

  // The work of a new link; what comes by it first waits for the end of that.
  void Handshake(Micros now, int balancer, uint64_t link, std::vector<Effect>& effects);
  void Take(Micros now, NodeQuery query, std::vector<Effect>& effects);
  // Nobody waits for it any more. True where it is dropped: no effect of it follows.
  bool GivenUp(Micros now, uint64_t attempt, std::vector<Effect>& effects);
  Micros NextAt() const;  // when Tick() is due; kNever: not
  void Tick(Micros now, std::vector<Effect>& effects);

  bool draining() const;
  int in_hand() const;                // queries that it holds
  double Capacity(Micros now) const;  // share of the full

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_NODE_MODEL_H_
