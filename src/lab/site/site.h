// A site: the nodes and discovery of a script, and its faults on a timeline. The balancers are somebody
// else's, processes or not: the site tells them when to start and end, and hears when they have.
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
#include "lab/witness/quiet_witness.h"
#include "lab/witness/witnesses.h"

namespace burlfall::lab {

// The balancers as a site needs them. None of these comes back to the site from inside.
class Balancers {
 public:
  virtual ~Balancers() = default;
  virtual void Start(int balancer, const std::string& config, FolderAfter folder) = 0;  // its config.json
  virtual void Kill(int balancer) = 0;                                                  // SIGKILL
  virtual void Terminate(int balancer) = 0;                          // SIGTERM, and SIGKILL in the end
  virtual void Reload(int balancer, const std::string& config) = 0;  // SIGHUP with this file
  virtual void Pause(int balancer, bool on) = 0;                     // SIGSTOP, SIGCONT
  virtual void SendRude(int balancer, double links_per_s) = 0;       // from now on; 0: no more
};

class Site {
 public:
  struct Places {
    std::string node_host;  // where nodes and discovery listen: ports are theirs to find
    // Each node at a host of its own instead, in 127.65.0.0/16, where there are more listeners than ports.
    bool host_each = false;
    std::vector<std::string> listen;  // of the balancers, with ports
  };
  using WorkOf = std::function<bool(TraceId, WorkInfo&)>;

  // All of these must outlive it. It adds itself to the witnesses.
  Site(Machine& machine, const Experiment& experiment, const Script& script, Witnesses& witnesses,
       Balancers& balancers, WorkOf work_of, Places places);
  ~Site();
  Site(const Site&) = delete;

  void Open();            // nodes and discovery; throws std::system_error where they can't be
  void StartBalancers();  // all of them, for the first time; those that start on the run's clock not yet
  void Begin(Micros at);  // the run: its faults count from here
  void End();             // no further fault; those that are on stay

  // From whoever runs the balancers; not from inside a call of theirs.
  void BalancerUp(int balancer);
  void BalancerDown(int balancer, bool planned);

  uint64_t strange_queries() const;  // at nodes, that nobody sent in this form
  int links() const;                 // at nodes

 private:
  struct Moment {
    Micros at = 0;
    int action = 0;
    bool begins = true;
    bool at_once = false;  // of a fault without length
    bool operator<(const Moment& other) const;
  };
  // Hears of nodes that fell, to act on it once the witnesses are done.
  class FallTap final : public QuietWitness {
   public:
    explicit FallTap(Site& site) : site_(site) {}
    void NodeChanged(int node, NodeChange change, Micros at, const std::vector<double>& pushed_by) override;

   private:
    Site& site_;
  };

  Task<> Play();
  Task<> StartInTurn();
  void SettleDiscovery();
  void SettleListPath(int balancer);
  Address DiscoveryFor(int balancer) const;
  Task<> Emptied(int place, Micros until);
  Task<> SeeFalls();
  void Begins(int action);
  void Ends(int action);
  void Settle(int place);  // the node there as its faults now are
  void SettleCuts();
  void SettleAll(const Action& action);
  void TakeDown(int place);
  void BringUp(int place);
  void GoOn(int balancer,
            FolderAfter folder = FolderAfter::kKept);  // starts it, with the list it was first given
  std::unique_ptr<Node> MakeNode(int number);
  // The node at a place. One that takes another's is made when it is first asked for, which may be while a
  // fault of another kind still keeps the place down.
  Node& At(int place);
  const NodePlan& PlanOf(int number) const;
  std::string Config(int balancer);

  Machine& machine_;
  const Experiment& experiment_;
  const Script& script_;
  Witnesses& witnesses_;
  Balancers& balancers_;
  const Places places_;
  FallTap tap_;
  Deduper repeats_;
  NodeSite shared_;
  Overlaps faults_;
  std::vector<std::unique_ptr<Node>> nodes_;  // by number; a spare is nullptr until it is needed
  std::vector<int> at_;                       // the number of the node that stands at each place
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<Paths> paths_;       // between balancers and discovery, where a fault concerns these
  std::vector<Address> discovery_at_;  // by balancer, through the paths
  std::vector<NodeList> first_known_;  // by balancer
  std::vector<bool> wanted_;           // by balancer: to run
  std::vector<bool> running_;
  std::vector<uint64_t> starts_;  // by balancer
  Micros begins_at_ = 0;
  std::vector<Moment> moments_;
  std::vector<int> fallen_;  // numbers of nodes
  Event moved_;
  Event fell_;
  std::vector<Task<>> drains_;
  Task<> playing_;
  Task<> starting_;
  Task<> falling_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_SITE_H_
