// An experiment: a site, a load on it, and faults, as an operator writes them down. Plain data; the file's
// schema is in experiment_file.h. Ranges are drawn from evenly, once a run, by the run's seed.
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

// What of an attempt's work stops when its connection ends.
enum class CancelStops { kNothing, kQueued, kAll };

// Nodes of one kind.
struct NodeGroup {
  std::string kind = "std";
  int count = 12;
  std::string zone = {};  // empty: spread over the zones in turn
  int cores = 2;
  Range speed = {1, 1};               // of a core, against a standard one
  int slots_per_core = 1;             // queries in work at a time
  Range queue_per_core = {64, 64};    // waiting room; beyond it a query is turned away
  Range links = {1200, 1800};         // connections it accepts
  Range handshake_us = {1100, 2000};  // work that a new connection costs it
  Range cold_share = {0.13, 0.33};    // of its capacity just after a start
  Range cold_s = {15, 23};            // until it is warm
  double error_share = 0;             // of queries that fail by themselves
  CancelStops cancel_stops = CancelStops::kQueued;
  double warm_key_saving = 0;  // share of the work saved on a key met lately; 0: none
  double warm_key_s = 5;       // for how long a key is remembered
  int warm_keys = 100;         // how many
};

struct ClassSpec {
  std::string name;
  meadowslip::Idempotency effect = meadowslip::Idempotency::kSafe;
  double share = 1;          // of the queries, against the other classes' shares
  Range work_ms = {20, 40};  // the mean, drawn once a run
  double work_spread = 0.5;  // standard deviation over mean, of single queries
  double aim_ms = 300;       // an answer within this earns its worth
  double deadline_ms = 1000;
  double worth = 1;
  double window_ms = 5000;  // keyed: within it nodes drop a repeat
};

struct TenantSpec {
  std::string name;
  double share = 1;        // of the queries, against the others' shares
  double quota_per_s = 0;  // 0: none
};

struct LoadSpec {
  double rate_per_s = 350;
  struct Step {
    double at_s = 0;
    double factor = 1;
  };
  std::vector<Step> shape = {};          // of the rate; between two steps in a straight line
  std::vector<double> zone_shares = {};  // empty: alike
  int keys = 500;                        // things that queries concern
  double key_skew = 0.7;                 // Zipf's exponent of their popularity
  bool hints = true;                     // queries carry an estimate of their work
  double hint_error = 0.1;               // its standard deviation, against the work
};

struct ClientSpec {
  int most_retries = 1;
  Range retry_wait_ms = {10, 80};
  double honour_share = 0.9;          // of clients that heed Retry-After
  double most_retry_after_ms = 1000;  // and up to how long
  Range give_up_share = {0.7, 1};     // of the deadline; then the client leaves
  Range notice_ms = {900, 3800};      // until the front stops sending to a dead balancer
  int most_links = 256;               // that a zone's front opens to one balancer
};

struct BalancerSpec {
  int count = 2;
  bool know_list = true;              // of the site as it was at their first start; else no list at all
  std::optional<Range> start_s = {};  // when each starts on the run's own clock; none: all before it begins
  bool folder = false;                // each has one of its own, kept from start to start
  int memory_mb = 192;
  int descriptors = 1024;
  double cores = 1;  // its share of one
};

struct DiscoverySpec {
  Range late_ms = {430, 3600};           // until it knows of a change
  Range silent_late_ms = {5000, 12000};  // of a node that died without a sign
  double calls_per_s = 50;               // what it can do; further calls wait in turn
  double patience_ms = 2000;             // a call that has waited longer fails
  bool pushed = false;                   // to an agent beside each balancer: told, asked for or not
};

struct SiteSpec {
  std::vector<std::string> zones = {"zuerich", "bern"};  // empty: the platform knows of none
  size_t Zones() const { return zones.empty() ? 1 : zones.size(); }
  Range same_zone_us = {0, 0};  // one way, added to loopback's own
  Range cross_zone_us = {1400, 2600};
  BalancerSpec balancers;
  DiscoverySpec discovery;
  std::vector<NodeGroup> nodes;
  double idle_close_s = 10;  // a node's machine closes a link that was idle so long
  double connect_timeout_ms = 150;
  // The rules' figures.
  double drain_grace_ms = 750;
  double overload_factor = 4;        // a cold node sent more than this many times what it can do ...
  double overload_window_ms = 1500;  // ... for so long falls over
  double answer_slack_ms = 20;       // beyond a client's patience within which an answer still counts
  double must_ask_s = 10;            // a balancer that has not asked discovery for so long counts as told
  // What balancers may do, and what it costs.
  int most_attempts = 5;  // for one query
  bool second_copies = true;
  double cross_zone_price = 0.025;  // of a query's worth, for one attempt that crosses zones
};

enum class FaultKind {
  kSilentNodes,      // take queries and answer none
  kFastErrors,       // `size`: share of their queries that fail at once
  kSlowNodes,        // `size`: part of their speed that is left
  kTrafficJump,      // `size`: factor on the load
  kZoneCut,          // the links between one zone and the others are silent
  kBalancersKilled,  // SIGKILL; back after for_s, with the list they were first given or the last before
  kPlannedRestart,   // SIGTERM, and started again once it has ended
  kReload,           // SIGHUP with a configuration written anew
  kNodesDrained,     // Terminating, and ended once they are empty or for_s is over; then back, cold
  kNodesGone,        // killed at once; back, cold, after for_s
  kNodesReplaced,    // killed at once; others with new names take their place after for_s
  kNodesRestarted,   // killed and back, cold, at the same address at once
  kDiscoveryDown,
  kDiscoveryOlder,   // comes back with a list of some versions before
  kLinksReset,       // `size`: share of queries under which the node's side resets the link
  kSpoiltAnswers,    // `size`: share of answers that are cut short, garbled, or belong to another query
  kRudeClients,      // `size`: links a second that say nothing, half a query, or leave under one
  kBalancersPaused,  // SIGSTOP, and SIGCONT after for_s
  kDiscoveryBusy,    // says 503 at once; `size`: seconds of Retry-After, 0: none
  kDiscoveryBreaks,  // `size`: share of its answers that break in the middle
  kDiscoveryOdd,     // `size`: share of its answers that are 200 with nothing usable
  kDiscoverySlow,    // `size`: part of its calls a second that is left
  kListCallsLost,    // balancers' calls don't arrive, answers would
  kListAnswersLost,  // calls arrive, answers don't
};

// What a killed balancer finds in its folder when it is back.
enum class FolderAfter {
  kKept,
  kEmpty,
  kOld,  // as it was at its start before
};

struct FaultSpec {
  FaultKind kind = FaultKind::kSilentNodes;
  Range at_s = {0, 0};
  Range for_s = {10, 10};
  double share = 0.1;                   // of the nodes or balancers it hits; at least one
  std::string zone = {};                // only there; of kZoneCut, the zone that is cut off (empty: drawn)
  std::vector<std::string> names = {};  // exactly these instead
  Range size = {1, 1};
  FolderAfter folder = FolderAfter::kKept;  // of kBalancersKilled
};

struct Goals {  // none of these is a rule: a run that misses one says so
  double service = 0;
  double worst_class = 0;
  double worst_ten_seconds = 0;
  double worst_tenant = 0;
};

// What the balancers together may ask of the list service. 0: nothing is asked of it. A run that misses one
// has failed.
struct FleetGoals {
  double from_s = 0;            // counted from here on, or from a process's later start
  double listed_within_s = 0;   // all have their list
  double calls_each = 0;        // until then, on average
  double first_second = 0;      // calls at the service in the first second
  double calls_per_s = 0;       // and in each one after it
  double handshakes_per_s = 0;  // at any node, in any second
  bool nobody_without = false;  // at the run's end
  double in_time = 0;  // share of the queries of the ten seconds that begin one second after `from_s`
  bool operator==(const FleetGoals&) const = default;
};

struct Experiment {
  std::string name;  // the file's, without its ending
  std::string title;
  std::string about;  // a few words on what it is for
  uint64_t seed = 1;
  double length_s = 40;
  double settle_s = 2;  // at the start, not counted in the service
  SiteSpec site;
  LoadSpec load;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  double over_share_worth = 0.1;
  ClientSpec clients;
  std::vector<FaultSpec> faults;
  Goals goals;
  FleetGoals fleet;
  std::optional<StartSettings> start;  // what balancers are told by `--start`; none: what the run says
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SCRIPT_EXPERIMENT_H_
