// Stand-in for the discovery service: a model of what the service knows and when it answers, and an HTTP
// server that runs this model.
#ifndef BURLFALL_LAB_SITE_DISCOVERY_H_
#define BURLFALL_LAB_SITE_DISCOVERY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/script/platform_json.h"
#include "lab/script/script.h"
#include "lab/site/stand_in.h"
#include "lab/witness/observer.h"
#include "meadowslip/balancer.h"

namespace burlfall::lab {

// The state of a node, as discovery knows it.
struct HostState {
  int node = 0;
  meadowslip::BackendState state = meadowslip::BackendState::kReady;
  Micros started_at = 0;  // 0: unknown, long ago
  bool operator==(const HostState&) const = default;
};

// The model: no I/O and no clock. It learns of each change with a delay. Calls are queued and handled at a
// limited rate. A watch (a call with an index) is held until the list changes or its wait time is over.
class DiscoveryModel {
 public:
  enum class EffectType {
    kAnswered,            // the call gets the list, or the changes
    kFailed,              // the call gets 503
    kReset,               // the call's connection is reset
    kListChanged,         // the list now has these states of these hosts
    kConsideredInformed,  // between two calls of a watch: `balancer` counts as informed of these hosts
    kWatchEnded,          // the watch of `balancer` has ended without a failed call
  };
  struct Effect {
    EffectType type = EffectType::kAnswered;
    uint64_t call = 0;
    int balancer = 0;
    uint64_t version = 0;
    bool full = false;
    std::vector<HostState> hosts;  // also contains hosts that are gone, which a full list leaves out
  };

  DiscoveryModel(const DiscoverySpec& spec, int balancers, std::vector<HostState> known, uint64_t seed);

  // A node has changed its state or has restarted. `silent`: it gave no sign of the change.
  void ReportChange(Micros now, const HostState& host, bool silent);

  // A call for the full list, or, with `index`, one that waits for a version other than `index`. Returns the
  // number of the call, which the effect with the answer carries.
  uint64_t Call(Micros now, int balancer, std::optional<uint64_t> index, Micros wait,
                std::vector<Effect>& effects);
  void CallerDisconnected(Micros now, uint64_t call, std::vector<Effect>& effects);
  void GoDown(Micros now, std::vector<Effect>& effects);
  void SetSpeed(double share) { speed_ = share; }  // remaining share of its calls per second
  // Recovers with the list as it was `versions_before` versions ago; it learns the lost changes again, with
  // the usual delay.
  void ComeBack(Micros now, int versions_before, std::vector<Effect>& effects);
  Micros NextAt() const;  // time at which Tick() is due; kNever: no event is pending
  void Tick(Micros now, std::vector<Effect>& effects);

  bool watching(int balancer) const;  // a watch is held, or the time between two of its calls has not expired
  uint64_t version() const { return version_; }
  std::vector<HostState> List() const;  // ordered by node; includes those that are gone

 private:
  enum class Phase { kQueued, kTimingOut, kWatching };
  struct Pending {
    int balancer = 0;
    std::optional<uint64_t> index;
    Micros until = 0;  // end of its wait time
    Phase phase = Phase::kQueued;
    std::multimap<Micros, uint64_t>::iterator due;
  };
  struct Change {
    uint64_t version = 0;
    int node = 0;
    std::optional<HostState> before;
  };
  struct Watcher {
    int calls = 0;         // watch calls in progress
    Micros gap_until = 0;  // the watch continues if the next call arrives by then; 0: not between two calls
    // The balancer may know a newer list than the service does. Versions are reused after the service has
    // lost some, so the next answer must be a full list.
    bool needs_full_list = false;
  };

  void ScheduleUpdate(Micros at, const HostState& host);
  void ApplyUpdate(Micros at, const HostState& host, std::vector<Effect>& effects);
  void Due(Micros at, uint64_t call, std::vector<Effect>& effects);
  void Schedule(uint64_t call, Pending& one, Phase phase, Micros due);
  Pending RemoveCall(uint64_t call);
  void Conclude(Micros at, uint64_t call, EffectType how, std::vector<Effect>& effects);
  void Fail(Micros at, uint64_t call, std::vector<Effect>& effects);

  const DiscoverySpec spec_;
  Stream64 random_;
  bool down_ = false;
  uint64_t version_ = 1;
  uint64_t calls_ = 0;
  double speed_ = 1;
  Micros free_at_ = 0;  // when all earlier calls are done
  std::map<int, HostState> known_;
  std::map<int, HostState> actual_;
  std::map<int, Micros> last_update_at_;  // by node: the updates of a node are applied in order
  std::multimap<Micros, HostState> pending_updates_;
  // The latest changes, used for partial answers and to return to older versions.
  std::deque<Change> changes_;
  std::unordered_map<uint64_t, Pending> pending_;
  std::multimap<Micros, uint64_t> due_;
  std::vector<Watcher> watchers_;
};

// HTTP server that runs the model and can misbehave in further ways.
class Discovery final : public StandIn {
 public:
  // The address at which a node listens for a balancer, and the JSON text of a list.
  using AddressOf = std::function<std::string(int node, int balancer)>;
  using TextOf = std::function<std::string(const NodeList& list)>;
  // Starts to listen; throws std::system_error if an address is not available.
  Discovery(Machine& machine, Observer& witness, const DiscoverySpec& spec, const std::vector<Address>& at,
            std::vector<HostState> known, AddressOf address_of, TextOf text_of, uint64_t seed);
  ~Discovery() override;

  void ReportChange(int node, meadowslip::BackendState state, Micros started_at, bool silent = false);
  void GoDown();
  void ComeBack(int versions_before = 0);
  // Impairments other than being down; they affect calls that arrive after they are set.
  struct Impairments {
    bool busy = false;         // answers 503 at once
    double retry_after_s = 0;  // Retry-After of these answers; 0: none
    double truncated = 0;      // share of the answers that break off in the middle
    double unusable = 0;       // share of the answers that are 200 with an unusable body
    double speed = 1;          // remaining share of its calls per second
  };
  void SetImpairments(const Impairments& impairments);
  NodeList ListFor(int balancer) const;  // the full list that it would answer now

 private:
  struct CallLink;

  std::unique_ptr<Link> NewLink() override;
  Task<bool> Handle(Link& link, HttpMessage query) override;
  void OnAnswerWritten(Link& link) override;
  void OnClosed(Link& link) override;
  Task<> RunModel();
  void Apply();
  void Conclude(DiscoveryModel::Effect effect);
  NodeList BuildList(int balancer, uint64_t version, bool full, const std::vector<HostState>& hosts) const;

  Observer& witness_;
  DiscoveryModel model_;
  Impairments impairments_;
  Stream64 random_;
  AddressOf address_of_;
  TextOf text_of_;
  std::unordered_map<uint64_t, CallLink*> calls_;
  std::vector<DiscoveryModel::Effect> effects_;
  Event model_changed_;
  Micros next_tick_at_ = kNever;
  Task<> model_task_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_DISCOVERY_H_
