// Simulation of a fleet that ejects hosts by vote, to measure the effect of the votes and to check the
// invariant. Each balancer has a simple model of the decision module (three failures in a row put a host to
// sleep, for 1 s doubling up to 30 s, with one trial at the end; two random choices) and the real Evidence
// and ActiveEjections. The log delays entries, its owner changes, and the replicated state is the real State.
// Single-threaded, on a virtual clock, reproducible from a seed.
#ifndef BURLFALL_LAB_EJECTION_WORLD_FLEET_H_
#define BURLFALL_LAB_EJECTION_WORLD_FLEET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ejection/rules.h"
#include "ejection/state.h"
#include "io/time.h"
#include "lab/ejection_world/checker.h"

namespace burlfall::ejection_world {

// A span in which a host fails queries: all queries, or those that the other fields select.
struct HostFault {
  size_t host = 0;
  Micros begin = 0;
  Micros end = kNever;
  ejection::Kind kind = ejection::Kind::kErrors;
  double share = 1;   // of the selected queries that fail
  int zone = -1;      // queries of balancers in this zone; -1: in any zone
  int build = -1;     // queries of balancers with this build; -1: any build
  int cls = -1;       // queries of this class; -1: any class
  Micros period = 0;  // bad and good for this long in turn; 0: bad all the time
};

// The balancers of a zone lose their network: they get no answer from any host, or from the hosts of other
// zones.
struct NetworkOutage {
  size_t zone = 0;
  Micros begin = 0;
  Micros end = 0;
  bool outside = false;  // only hosts of other zones are affected
};

// A balancer that sends false votes.
struct MisbehavingBalancer {
  enum class Behaviour {
    kVotesAgainstAll,  // sure votes against all hosts
    kInvalidNumbers,   // votes against one host with impossible numbers
    kOldIncarnation,   // votes against the previous incarnation of one host
    kFlood,            // a hundred votes a second
    kStaleVote,        // one sure and plausible vote, and nothing after it
  };
  size_t balancer = 0;
  Behaviour behaviour = Behaviour::kVotesAgainstAll;
  Micros begin = 0;
  Micros end = kNever;
  size_t host = 0;
};

struct Span {
  Micros begin = 0;
  Micros end = 0;
};

// Something that happens to a host, or something that an operator or an owner of the count does.
struct Action {
  enum class What { kRestart, kRemove, kDrain, kByHand, kBackInUse, kNewOwner, kStaleOwner, kOperator };
  What what = What::kRestart;
  Micros at = 0;
  size_t host = 0;
  ejection::OperatorAction operation = ejection::OperatorAction::kEnd;
  Micros span = 0;
};

// The parameters of one simulation.
struct Plan {
  uint64_t seed = 1;
  size_t balancers = 300;
  size_t hosts = 200;
  size_t zones = 3;
  size_t builds = 10;
  double rate = 3600;  // queries a second of the whole fleet
  Micros span = 60 * kSecond;
  double background_error_share = 0.002;  // share of errors among the answers of healthy hosts
  Micros latency = 50 * kMs;              // of a good answer, on average
  Micros query_timeout = 1 * kSecond;     // a later answer counts as late, a missing one as silent
  double used_share = 0.5;                // load as a share of the capacity
  bool votes = true;                      // false: no balancer votes, for comparison
  Micros measured_from = 0;
  std::vector<HostFault> faults;
  std::vector<NetworkOutage> outages;
  std::vector<MisbehavingBalancer> misbehaving;
  std::vector<Action> actions;  // in order of time
  std::vector<Span> council_outages;
  std::vector<std::pair<size_t, Span>> partitioned;          // balancers that receive no log entries
  std::vector<std::pair<size_t, size_t>> single_host_users;  // balancer, the only host that it uses
  bool trace_votes = false;  // Results::vote_trace gets the reports behind each ejection
  ejection::Rules rules;
};

// What one simulation counted.
struct Results {
  uint64_t queries = 0;
  uint64_t lost = 0;                   // failed or late queries, from `measured_from` on
  uint64_t lost_minute = 0;            // of `lost`, in the first minute
  uint64_t lost_at_faulty = 0;         // of `lost`, at hosts that have a fault
  uint64_t lost_at_faulty_minute = 0;  // of these, in the first minute
  // From `measured_from` until no balancer sent new queries to the first faulty host, because of sleep or an
  // ejection. kNever: this did not happen.
  Micros quiet_after = kNever;
  uint64_t ejections = 0;
  uint64_t wrong = 0;                   // ejections of hosts without a fault
  uint64_t entries = 0;                 // in the log
  uint64_t max_entries_per_second = 0;  // in the log
  uint64_t paths = 0, classes = 0, suspects = 0, incidents = 0, held = 0, refused = 0;  // effects of the log
  uint64_t largest_state = 0;                                                           // bytes
  std::vector<std::string> vote_trace;
  std::vector<std::string> violations;  // found by the checker
  // Two states computed from the same log differ. One of them is saved and loaded from time to time.
  bool replicas_differ = false;
};

Results Simulate(const Plan& plan);

// A small fleet with randomly generated faults, outages, actions and misbehaving balancers.
Plan RandomPlan(uint64_t seed);

}  // namespace burlfall::ejection_world

#endif  // BURLFALL_LAB_EJECTION_WORLD_FLEET_H_
