// What the judge holds a run against: the settings that the balancers were started with, who took part, the
// faults of the script, and how exactly the lab can see. Plain data, filled once before the run.
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
    int cell = 0;  // of a node, where a class's repeats are dropped by cell
  };
  struct Fault {
    std::string name;  // for the reader of a result
    FaultKind kind = FaultKind::kSilentNodes;
    std::vector<int> targets;  // of kBalancersKilled, the balancers; of kZoneCut, the zone
  };
  struct Weights {
    double whole = 0.45;
    double worst_ten_seconds = 0.15;
    double worst_class = 0.30;
    double worst_tenant = 0.10;
  };

  std::string experiment;
  std::string subject;  // what was tried: a version, a branch
  uint64_t seed = 0;
  // Classes, tenants and the rules' figures, as any one balancer has them.
  meadowslip::Settings settings;
  std::vector<Participant> nodes;  // and the spares behind them
  std::vector<Participant> balancers;
  std::vector<Fault> faults;  // by the script's number of the action
  bool pushed = false;        // lists: they count as told as soon as they are listed
  Micros begins_at = 0;
  Micros length = 0;
  Micros settle = 0;  // at the start, not counted in service, latency and outcomes; rules count throughout
  Weights weights;

  Micros socket_slack = 50 * kMs;    // every time limit is longer by this
  Micros order_slack = 5 * kMs;      // by which events of different ends may cross
  Micros check_after = 2 * kSecond;  // from a query's end; until then its last events may come
  Micros linger = 10 * kSecond;      // from its end; attempts that have not ended by then never will
  Micros late_after = 5 * kMs;             // a send of the lab's own that is later than this is late
  double max_late_share = 0.01;           // share of them beyond which the run says nothing
  int max_findings = 20;            // of each rule that are kept
  std::size_t trace_events = 1 << 18;
};

// `settings`: as the balancers read them, the text of SettingsJson() parsed.
Facts FactsOf(const Experiment& experiment, const Script& script, const meadowslip::Settings& settings,
              Micros begins_at);

// What a query is worth in all: by the work that it is, and less beyond its tenant's share.
double WorthOf(const meadowslip::Settings& settings, int cls, double work_us, bool within_share);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_FACTS_H_
