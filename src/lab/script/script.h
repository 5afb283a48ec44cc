// The script of a run, generated from an experiment and a seed: the nodes with their properties, the faults
// with their times and targets, and the arrivals of queries. The same experiment and seed give the same
// script, byte for byte. Each actor has its own random number stream, so that an additional random number for
// one actor does not change the others. No I/O and no clock.
#ifndef BURLFALL_LAB_SCRIPT_SCRIPT_H_
#define BURLFALL_LAB_SCRIPT_SCRIPT_H_

#include <cstdint>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "io/time.h"
#include "lab/script/experiment.h"

namespace burlfall::lab {

// A random number stream for one actor: a PCG generator, and distributions that give the same values on every
// machine. They use inverse transform sampling, with one number of the stream per value (Below may take
// more), and no function of the C library whose last bit could differ between machines.
class Stream64 {
 public:
  Stream64(uint64_t seed, std::string_view actor);
  uint64_t Next();
  double Uniform();  // in [0, 1)
  double Between(const Range& range);
  int Below(int n);  // in [0, n)
  bool Chance(double p) { return Uniform() < p; }
  double Exponential(double mean);
  double Normal(double mean, double deviation);
  double LogNormal(double mean, double spread);  // spread: deviation / mean; 0: always the mean

 private:
  pcg64 engine_;
};

// The properties of one node.
struct NodePlan {
  std::string name;  // kind and number within the kind, from 1: "std-3"
  int zone = 0;
  int kind = 0;  // index of its NodeGroup
  double speed = 1;
  int slots = 2;
  int queue = 128;
  int links = 1200;
  Micros handshake = 1500;  // work on a standard core
  double cold_share = 0.2;
  Micros cold_for = 20 * kSecond;
  double weight = 2;  // capacity that discovery announces: approximately cores * speed
};

// A fault with its times and targets.
struct Action {
  Micros at = 0;     // from the start of the run
  Micros until = 0;  // at most the end of the run; equal to `at` if the fault has no duration
  FaultKind kind = FaultKind::kSilentNodes;
  // Indices of nodes or balancers; of kZoneCut, the zone; of kTrafficJump, the zone or none. The index of a
  // node is that of its place: once a spare has taken the place, it means the spare.
  std::vector<int> targets;
  double size = 1;
  int fault = 0;            // index of its FaultSpec in the experiment
  std::vector<int> spares;  // of kNodesReplaced: the replacement of each target, as indices in Script::spares
  FolderAfter folder = FolderAfter::kKept;  // of kBalancersKilled
};

struct BalancerPlan {
  std::string name;  // "b1", "b2", ...
  int zone = 0;
  Micros start_at = 0;  // from the start of the run; used only if BalancerSpec::start_s is given
};

// A query, as a client sends it for the first time.
struct Arrival {
  uint64_t trace = 0;  // trace ID of its first try; never 0
  Micros at = 0;       // from the start of the run
  int cls = 0;
  int tenant = 0;
  int zone = 0;
  uint64_t key = 0;
  double work_us = 0;      // on a standard core
  Micros estimate = 0;     // of its work, sent with it; 0: none
  Micros try_timeout = 0;  // how long the client waits for one try
  bool honours_retry_after = false;
  bool within_share = true;  // within its tenant's quota for the whole site (a token bucket of one second)
};

// Trace IDs of the tries of a query, derived from that of the first try, which has number 0. All tries of a
// run have different trace IDs. The last number is never used for a try: it marks the queries of misbehaving
// clients (rude.h).
constexpr int kMaxTries = 16;
constexpr int kMaxRetries = kMaxTries - 2;
uint64_t TraceOfTry(uint64_t first, int number);
uint64_t FirstTrace(uint64_t trace);
int NumberOfTry(uint64_t trace);

// The queries of a run, in order of time.
class Arrivals {
 public:
  virtual ~Arrivals() = default;
  // Stores the next arrival in `into`; false at the end of the run.
  virtual bool Next(Arrival& into) = 0;
};

struct Script {
  uint64_t seed = 0;
  std::vector<NodePlan> nodes;
  std::vector<NodePlan> spares;  // replacements of nodes, in order of time; "std-3.2" replaces std-3
  std::vector<BalancerPlan> balancers;
  std::vector<Action> actions;       // ordered by time
  std::vector<double> mean_work_us;  // indexed by class
  Micros length = 0;
};

Script GenerateScript(const Experiment& experiment, uint64_t seed);
std::unique_ptr<Arrivals> GenerateArrivals(const Experiment& experiment, const Script& script);
// Returns a text with one line for each node, action and arrival; equal scripts have equal texts.
std::string Describe(const Experiment& experiment, const Script& script);

// What a kind of fault affects.
enum class FaultHits { kNodes, kBalancers, kZone, kZoneOrAll, kNothing };
// The properties of a kind of fault.
struct FaultTraits {
  FaultKind kind = FaultKind::kSilentNodes;
  std::string_view kind_name;  // as in the experiment's file, for example "silent-nodes"
  FaultHits hits = FaultHits::kNodes;
  bool lasts = true;      // whether it has a duration
  std::string_view size;  // meaning of `size`; empty: not used
  double size_min = 0;    // bounds of `size`, inclusive
  double size_max = 0;
  std::string_view about;  // short description
};
const std::vector<FaultTraits>& AllFaults();  // ordered by FaultKind
const FaultTraits& TraitsOf(FaultKind kind);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SCRIPT_SCRIPT_H_
