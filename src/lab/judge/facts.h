// What the run checker needs to know about a run: the settings of the balancers, the nodes and balancers, the
// faults of the script, and the accuracy of the lab's observations. Plain data, filled once before the run.
#ifndef BURLFALL_LAB_JUDGE_FACTS_H_
#define BURLFALL_LAB_JUDGE_FACTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "io/time.h"
#include "lab/script/experiment.h"
#include "lab/script/script.h"
#include "meadowslip/balancer.h"

namespace burlfall::lab {

struct Facts {
  struct Participant {
    std::string name;
    int zone = 0;
    int cell = 0;  // of a node, for classes whose repeats are dropped by cell
  };
  struct Fault {
    std::string name;  // shown in results
    FaultKind kind = FaultKind::kSilentNodes;
    std::vector<int> targets;  // for kBalancersKilled the balancers, for kZoneCut the zone
  };
  struct Weights {
    double whole = 0.45;
    double worst_ten_seconds = 0.15;
    double worst_class = 0.30;
    double worst_tenant = 0.10;
  };

  std::string experiment;
  std::string subject;  // the tested version or branch
  uint64_t seed = 0;
  // Classes, tenants and limits of the rules, as every balancer has them.
  meadowslip::Settings settings;
  std::vector<Participant> nodes;  // followed by the spares
  std::vector<Participant> balancers;
  std::vector<Fault> faults;  // indexed by the number of the action in the script
  bool pushed = false;        // lists are pushed: a change counts as known as soon as it is listed
  Micros begins_at = 0;
  Micros length = 0;
  Micros settle = 0;  // at the start: excluded from service, latency and outcomes; rules always apply
  Weights weights;

  Micros socket_slack = 50 * kMs;    // added to every time limit
  Micros order_slack = 5 * kMs;      // by which events of different ends may be out of order
  Micros check_after = 2 * kSecond;  // after a query's end; its last events arrive before then
  Micros linger = 10 * kSecond;      // after its end; attempts that have not ended by then never will
  Micros late_after = 5 * kMs;       // the lab's own sends count as late beyond this delay
  double max_late_share = 0.01;      // share of late sends above which the run is not valid
  int max_findings = 20;             // recorded per rule
  std::size_t trace_events = 1 << 18;
};

// `settings`: as the balancers read them, parsed from the text of SettingsJson().
Facts FactsOf(const Experiment& experiment, const Script& script, const meadowslip::Settings& settings,
              Micros begins_at);

// Returns the worth of a whole query: proportional to its work, and reduced beyond its tenant's share.
double WorthOf(const meadowslip::Settings& settings, int cls, double work_us, bool within_share);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_FACTS_H_
