// An experiment as an operator describes it: a site, a load on it, and faults. Plain data; the schema of the
// file is in experiment_file.h, and the fields have the names of its keys. A value given as a range is chosen
// uniformly at random from it, once per run, by the seed of the run.
#ifndef BURLFALL_LAB_SCRIPT_EXPERIMENT_H_
#define BURLFALL_LAB_SCRIPT_EXPERIMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/start_settings.h"
#include "meadowslip/balancer.h"

namespace burlfall::lab {

struct Range {
  double low = 0;
  double high = 0;
  bool operator==(const Range&) const = default;
};

// Which part of an attempt's work stops when its connection ends.
enum class CancelStops { kNothing, kQueued, kAll };

// A group of nodes of one kind.
struct NodeGroup {
  std::string kind = "std";
  int count = 12;
  std::string zone = {};  // empty: the nodes are assigned to the zones round-robin
  int cores = 2;
  Range speed = {1, 1};               // of a core, relative to a standard core
  int slots_per_core = 1;             // queries that are processed concurrently
  Range queue_per_core = {64, 64};    // queue capacity; a query beyond it is rejected
  Range links = {1200, 1800};         // max. connections
  Range handshake_us = {1100, 2000};  // work caused by a new connection
  Range cold_share = {0.13, 0.33};    // share of the full capacity just after a start
  Range cold_s = {15, 23};            // time from the start to full capacity
  double error_share = 0;             // share of the queries that fail without any fault
  CancelStops cancel_stops = CancelStops::kQueued;
  double warm_key_saving = 0;  // share of the work saved on a recently used key; 0: none
  double warm_key_s = 5;       // how long a key stays cached
  int warm_keys = 100;         // max. cached keys
};

// A class of queries.
struct ClassSpec {
  std::string name;
  meadowslip::Idempotency effect = meadowslip::Idempotency::kSafe;
  double share = 1;          // of the queries, relative to the other classes' shares
  Range work_ms = {20, 40};  // mean work of a query on a standard core; chosen once per run
  double work_spread = 0.5;  // coefficient of variation (standard deviation / mean) of a query's work
  double aim_ms = 300;       // an answer within this time earns the query's worth
  double deadline_ms = 1000;
  double worth = 1;
  double window_ms = 5000;  // of keyed queries: nodes drop a repeat within this time
};

// A tenant, whose name its queries carry.
struct TenantSpec {
  std::string name;
  double share = 1;        // of the queries, relative to the other tenants' shares
  double quota_per_s = 0;  // 0: none
};

// The queries that clients send.
struct LoadSpec {
  double rate_per_s = 350;
  struct Step {
    double at_s = 0;
    double factor = 1;
  };
  std::vector<Step> shape = {};          // factors on the rate over time, linearly interpolated
  std::vector<double> zone_shares = {};  // empty: equal shares
  int keys = 500;                        // number of distinct keys of queries
  double key_skew = 0.7;                 // exponent of the Zipf distribution of the keys
  bool hints = true;                     // queries carry an estimate of their work
  double hint_error = 0.1;               // standard deviation of the estimate, relative to the work
};

// The behaviour of clients and of the front, which stands between them and the balancers.
struct ClientSpec {
  int most_retries = 1;
  Range retry_wait_ms = {10, 80};
  double honour_share = 0.9;          // share of the clients that honour Retry-After
  double most_retry_after_ms = 1000;  // longest Retry-After that they honour
  Range give_up_share = {0.7, 1};     // share of the deadline after which a client gives up
  Range notice_ms = {900, 3800};      // time until the front stops sending to a dead balancer
  int most_links = 256;               // max. connections from a zone's front to one balancer
};

// The balancers under test.
struct BalancerSpec {
  int count = 2;
  bool know_list = true;  // they start with the list of nodes of their first start; else with none
  std::optional<Range> start_s = {};  // when each starts, from the start of the run; none: before the run
  bool folder = false;                // each has its own folder, which is retained across restarts
  int memory_mb = 192;
  int descriptors = 1024;
  double cores = 1;  // share of one core that each may use
};

// The discovery service, which gives balancers the list of nodes.
struct DiscoverySpec {
  Range late_ms = {430, 3600};           // delay until it learns of a change
  Range silent_late_ms = {5000, 12000};  // the same, for a node that died without a sign
  double calls_per_s = 50;               // capacity; calls beyond it are queued
  double patience_ms = 2000;             // a call that is queued for longer fails
  // Lists are pushed to an agent beside each balancer: a change counts as known to the balancer whether or
  // not the balancer requested the list.
  bool pushed = false;
};

// The zones, nodes, balancers and discovery of a site, and the limits that the platform's rules set.
struct SiteSpec {
  std::vector<std::string> zones = {"zuerich", "bern"};  // empty: the platform does not use zones
  size_t Zones() const { return zones.empty() ? 1 : zones.size(); }
  Range same_zone_us = {0, 0};  // one-way latency, added to that of the loopback interface
  Range cross_zone_us = {1400, 2600};
  BalancerSpec balancers;
  DiscoverySpec discovery;
  std::vector<NodeGroup> nodes;
  double idle_close_s = 10;  // a node's machine closes a connection that has been idle for this long
  double connect_timeout_ms = 150;
  // Limits that the platform's rules set.
  double drain_grace_ms = 750;
  // A cold node crashes if, within `overload_window_ms`, it receives more than `overload_factor` times the
  // work that it can do in that time.
  double overload_factor = 4;
  double overload_window_ms = 1500;
  double answer_slack_ms = 20;  // an answer this late after a client's timeout still counts
  double must_ask_s = 10;       // a balancer that has not called discovery for this long counts as informed
  // What balancers may do, and what it costs.
  int most_attempts = 5;            // max. attempts for one query
  bool second_copies = true;        // a query may have two concurrent attempts
  double cross_zone_price = 0.025;  // share of a query's worth, for one attempt that crosses zones
};

enum class FaultKind {
  kSilentNodes,         // nodes accept queries and answer none
  kFastErrors,          // `size`: share of the nodes' queries that fail at once
  kSlowNodes,           // `size`: remaining share of the nodes' speed
  kTrafficJump,         // `size`: factor on the load
  kZoneCut,             // the connections between one zone and the others are silent
  kBalancersKilled,     // SIGKILL; restarted after for_s, with the first list or the last one they had
  kPlannedRestart,      // SIGTERM; restarted once the process has ended
  kReload,              // SIGHUP with a newly written configuration
  kNodesDrained,        // state Terminating; ended once empty or after for_s, then restarted cold
  kNodesGone,           // killed at once; restarted cold after for_s
  kNodesReplaced,       // killed at once; nodes with new names take their place after for_s
  kNodesRestarted,      // killed and restarted cold at once, at the same address
  kDiscoveryDown,       // discovery answers no call
  kDiscoveryOlder,      // discovery is down and returns with a list that is some versions older
  kLinksReset,          // `size`: share of queries during which the node resets the connection
  kCorruptedAnswers,    // `size`: share of answers that are truncated, garbled, or of another query
  kMisbehavingClients,  // `size`: connections per second that send nothing or half a query, or close early
  kBalancersPaused,     // SIGSTOP, and SIGCONT after for_s
  kDiscoveryBusy,       // discovery answers 503 at once; `size`: seconds of Retry-After, 0: none
  kDiscoveryBreaks,     // `size`: share of its answers that break off in the middle
  kDiscoveryOdd,        // `size`: share of its answers that are 200 with an unusable body
  kDiscoverySlow,       // `size`: remaining share of its capacity in calls per second
  kListCallsLost,       // balancers' calls do not reach discovery; the reverse direction works
  kListAnswersLost,     // calls reach discovery; its answers do not reach balancers
};

// The state of a killed balancer's folder when it is restarted.
enum class FolderAfter {
  kKept,  // unchanged
  kEmpty,
  kOld,  // as it was at the previous start
};

struct FaultSpec {
  FaultKind kind = FaultKind::kSilentNodes;
  Range at_s = {0, 0};
  Range for_s = {10, 10};
  double share = 0.1;                   // share of the nodes or balancers that it affects; at least one
  std::string zone = {};                // only in this zone; of kZoneCut, the isolated zone (empty: random)
  std::vector<std::string> names = {};  // if given, exactly these nodes or balancers
  Range size = {1, 1};                  // meaning and bounds depend on the kind
  FolderAfter folder = FolderAfter::kKept;  // of kBalancersKilled
};

// Desired shares of the worth. They are not rules: a run that misses one reports it and does not fail.
struct Goals {
  double service = 0;
  double worst_class = 0;
  double worst_ten_seconds = 0;
  double worst_tenant = 0;
};

// Limits on the load that all balancers together put on the list service and the nodes. 0: not checked. A run
// that misses one fails.
struct FleetGoals {
  double from_s = 0;            // start of the measurement, or the later start of a process
  double listed_within_s = 0;   // time until all balancers have their list
  double calls_each = 0;        // average calls per balancer until then
  double first_second = 0;      // calls at the list service in the first second
  double calls_per_s = 0;       // calls at the list service in each later second
  double handshakes_per_s = 0;  // at any node, in any second
  bool nobody_without = false;  // no balancer is without a list at the end of the run
  // Min. share of queries served in time, of the ten seconds that begin one second after `from_s`.
  double in_time = 0;
  bool operator==(const FleetGoals&) const = default;
};

struct Experiment {
  std::string name;  // file name without its extension
  std::string title;
  std::string about;  // its purpose, in a few words
  uint64_t seed = 1;
  double length_s = 40;
  double settle_s = 2;  // initial period that the service figures leave out
  SiteSpec site;
  LoadSpec load;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  double over_share_worth = 0.1;  // worth of a query above its tenant's quota, as a share of its class's
  ClientSpec clients;
  std::vector<FaultSpec> faults;
  Goals goals;
  FleetGoals fleet;
  std::optional<StartSettings> start;  // passed to balancers with `--start`; none: as the run was told
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SCRIPT_EXPERIMENT_H_
