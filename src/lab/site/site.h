// A site: runs the nodes, discovery and the timeline of faults of a script. The balancers are run by the
// caller, as processes or simulated: the site requests their start and end and is notified of both.
#ifndef BURLFALL_LAB_SITE_SITE_H_
#define BURLFALL_LAB_SITE_SITE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/paths/paths.h"
#include "lab/script/experiment.h"
#include "lab/script/platform_json.h"
#include "lab/script/script.h"
#include "lab/site/active_faults.h"
#include "lab/site/discovery.h"
#include "lab/site/node.h"
#include "lab/witness/null_observer.h"
#include "lab/witness/observer_list.h"

namespace burlfall::lab {

// Interface through which a site controls the balancers. No method may call the site back.
class Balancers {
 public:
  virtual ~Balancers() = default;
  // `config`: the content of its config.json.
  virtual void Start(int balancer, const std::string& config, FolderAfter folder) = 0;
  virtual void Kill(int balancer) = 0;                                        // SIGKILL
  virtual void Terminate(int balancer) = 0;                                   // SIGTERM, then SIGKILL
  virtual void Reload(int balancer, const std::string& config) = 0;           // SIGHUP with this config.json
  virtual void Pause(int balancer, bool on) = 0;                              // SIGSTOP, SIGCONT
  virtual void SetMisbehavingLinkRate(int balancer, double links_per_s) = 0;  // 0: none
};

class Site {
 public:
  struct Places {
    std::string node_host;  // host at which nodes and discovery listen; they choose the ports
    // Each node has a host of its own, in 127.65.0.0/16; needed if there are more listeners than ports.
    bool host_each = false;
    std::vector<std::string> listen;  // the balancers' addresses, with ports
  };
  using WorkOf = std::function<bool(TraceId, WorkInfo&)>;

  // All references must remain valid for the lifetime of the site, which adds an observer to the witnesses.
  Site(Machine& machine, const Experiment& experiment, const Script& script, ObserverList& witnesses,
       Balancers& balancers, WorkOf work_of, Places places);
  ~Site();
  Site(const Site&) = delete;

  void Open();            // starts nodes and discovery; throws std::system_error if they cannot listen
  void StartBalancers();  // first start of all balancers, except those that have a start time in the run
  void Begin(Micros at);  // starts the run; the times of faults are relative to `at`
  void End();             // stops the timeline; active faults remain

  // Notifications from the caller that runs the balancers; not allowed from within a method of Balancers.
  void BalancerUp(int balancer);
  void BalancerDown(int balancer, bool planned);

  uint64_t all_unexpected_queries() const;  // at nodes; no client sent them in this form
  int links() const;                        // open links at nodes

 private:
  struct TimelineEvent {
    Micros at = 0;
    int action = 0;
    bool begins = true;
    bool instantaneous = false;  // the fault has no duration
    bool operator<(const TimelineEvent& other) const;
  };
  // Collects nodes that crashed; HandleCrashes() acts on them after all witnesses have been called.
  class CrashObserver final : public NullObserver {
   public:
    explicit CrashObserver(Site& site) : site_(site) {}
    void NodeChanged(int node, NodeChange change, Micros at,
                     const std::vector<double>& work_by_balancer) override;

   private:
    Site& site_;
  };

  Task<> RunTimeline();
  Task<> StartBalancersOnSchedule();
  void UpdateDiscovery();
  void UpdateListPath(int balancer);
  Address DiscoveryFor(int balancer) const;
  Task<> EndWhenEmpty(int place, Micros until);
  Task<> HandleCrashes();
  void BeginFault(int action);
  void EndFault(int action);
  void UpdateNode(int place);  // applies the active faults to the node at this place
  void UpdateCuts();
  void UpdateTargets(const Action& action);
  void TakeDown(int place);
  void BringUp(int place);
  // Starts it with the list of nodes of its first start.
  void StartBalancer(int balancer, FolderAfter folder = FolderAfter::kKept);
  std::unique_ptr<Node> MakeNode(int number);
  // The node at a place. A spare is created on the first access, which may happen while a fault of another
  // kind still keeps the place down.
  Node& At(int place);
  const NodePlan& PlanOf(int number) const;
  std::string Config(int balancer);

  Machine& machine_;
  const Experiment& experiment_;
  const Script& script_;
  ObserverList& witnesses_;
  Balancers& balancers_;
  const Places places_;
  CrashObserver crash_observer_;
  Deduplicator repeats_;
  NodeSite shared_;
  ActiveFaults faults_;
  std::vector<std::unique_ptr<Node>> nodes_;  // by number; a spare is nullptr until it is created
  std::vector<int> at_;                       // by place: the number of its current node
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<Paths> paths_;       // between balancers and discovery; only if a fault affects them
  std::vector<Address> discovery_at_;  // by balancer: its address of discovery on the paths
  std::vector<NodeList> first_known_;  // by balancer
  std::vector<bool> should_run_;       // by balancer
  std::vector<bool> running_;
  std::vector<uint64_t> starts_;  // number of starts, by balancer
  Micros begins_at_ = 0;
  std::vector<TimelineEvent> timeline_;
  std::vector<int> crashed_nodes_;  // numbers of nodes
  Event due_;
  Event crashed_;
  std::vector<Task<>> drains_;
  Task<> timeline_task_;
  Task<> start_task_;
  Task<> crash_task_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_SITE_H_
