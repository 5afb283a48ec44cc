// A model of a fleet, to see what votes are worth and whether they do harm: balancers with a plain model of
// the decision module (three failures in a row put a host to sleep, 1 s doubling to 30 s, one trial at its
// end; two random choices), each with the real Evidence and InForce; a log that delays, an owner that
// changes, and the real State. One thread, one virtual clock, everything from a seed.
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

// A host does badly in a span: for all, or for those that the other fields name.
struct HostFault {
  size_t host = 0;
  Micros begin = 0;
  Micros end = kNever;
  ejection::Kind kind = ejection::Kind::kErrors;
  double share = 1;   // of its queries
  int zone = -1;      // of balancers; -1: of all
  int build = -1;     // likewise
  int cls = -1;       // of queries
  Micros period = 0;  // bad and good in turn, so long each; 0: bad all the time
};

// A zone's balancers lose their network: all hosts, or those of other zones, are silent for them.
struct NetworkOutage {
  size_t zone = 0;
  Micros begin = 0;
  Micros end = 0;
  bool outside = false;
};

struct MisbehavingBalancer {
  enum class Behaviour {
    kVotesAgainstAll,  // votes against all hosts, sure
    kInvalidNumbers,   // votes against one host with numbers that can't be
    kOldIncarnation,   // votes against one host in its earlier life
    kFlood,            // a hundred votes a second
    kStaleVote,        // one vote, sure and good to look at, and then silence
  };
  size_t balancer = 0;
  Behaviour how = Behaviour::kVotesAgainstAll;
  Micros begin = 0;
  Micros end = kNever;
  size_t host = 0;
};

struct Span {
  Micros begin = 0;
  Micros end = 0;
};

struct Action {
  enum class What { kRestart, kRemove, kDrain, kByHand, kBackInUse, kNewOwner, kStaleOwner, kOperator };
  What what = What::kRestart;
  Micros at = 0;
  size_t host = 0;
  ejection::OperatorAction operation = ejection::OperatorAction::kEnd;
  Micros span = 0;
};

struct Plan {
  uint64_t seed = 1;
  size_t balancers = 300;
  size_t hosts = 200;
  size_t zones = 3;
  size_t builds = 10;
  double rate = 3600;  // queries a second of the fleet
  Micros span = 60 * kSecond;
  double background_error_share = 0.002;  // share of all answers that are errors anyway
  Micros latency = 50 * kMs;              // of a good answer, on average
  Micros query_timeout = 1 * kSecond;     // then a host is silent, and an answer is late
  double used_share = 0.5;                // of the capacity
  bool votes = true;
  Micros measured_from = 0;
  std::vector<HostFault> faults;
  std::vector<NetworkOutage> outages;
  std::vector<MisbehavingBalancer> misbehaving;
  std::vector<Action> actions;  // by time
  std::vector<Span> council_outages;
  std::vector<std::pair<size_t, Span>> partitioned;          // balancers that hear nothing of the log
  std::vector<std::pair<size_t, size_t>> single_host_users;  // balancer uses this host alone; the others all
  bool trace_votes = false;  // each count that ejects, with its words, into `told`
  ejection::Rules rules;
};

struct Results {
  uint64_t queries = 0;
  uint64_t lost = 0;            // failed or late, from `measured_from` on
  uint64_t lost_minute = 0;     // of them in the first minute
  uint64_t lost_at_faulty = 0;  // of `lost`, at hosts in trouble
  uint64_t lost_at_faulty_minute = 0;
  // Until the first troubled host had nothing new from any balancer; by sleep or by vote. kNever: not so.
  Micros quiet_after = kNever;
  uint64_t ejections = 0;
  uint64_t wrong = 0;                   // ejections of hosts without trouble
  uint64_t entries = 0;                 // in the log
  uint64_t max_entries_per_second = 0;  // in one second
  uint64_t paths = 0, classes = 0, suspects = 0, incidents = 0, held = 0, refused = 0;
  uint64_t largest_state = 0;  // bytes
  std::vector<std::string> vote_trace;
  std::vector<std::string> violations;  // by the judge
  bool replicas_differ = false;         // two states from one log, one of them saved and loaded on its way
};

Results Simulate(const Plan& plan);

// A small fleet in which anything may happen, drawn from a seed.
Plan RandomPlan(uint64_t seed);

}  // namespace burlfall::ejection_world

#endif  // BURLFALL_LAB_EJECTION_WORLD_FLEET_H_
