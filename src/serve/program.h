// The balancer process: assembles its components and runs them through their phases.
#ifndef BURLFALL_SERVE_PROGRAM_H_
#define BURLFALL_SERVE_PROGRAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/cluster_settings.h"
#include "config/council_settings.h"
#include "config/platform_config.h"
#include "config/properties.h"
#include "config/start_settings.h"
#include "control/control_server.h"
#include "control/operations.h"
#include "council/coordinator_member.h"
#include "dispatch/dispatcher.h"
#include "front/http_front.h"
#include "gates/rate_limiter.h"
#include "gates/tokens.h"
#include "handover/handover.h"
#include "io/machine.h"
#include "links/budget.h"
#include "member/member.h"
#include "membership/discovery.h"
#include "membership/host_group.h"
#include "membership/list_log.h"
#include "observe/capture.h"
#include "observe/counters.h"
#include "observe/figures.h"
#include "observe/log.h"
#include "start/call_pacer.h"
#include "start/saved_list.h"
#include "start/start_history.h"
#include "upstream/http_upstream.h"

namespace burlfall {

// The numeric values leave the process: they are logged and announced to other balancers.
enum class Phase {
  kStarting,  // does not accept connections yet
  kServing,
  kDraining,  // shutdown requested: still accepts and answers, and asks clients to reconnect elsewhere
  kClosing,   // accepts nothing more; answers the open queries
  kStopped,
  kDrainedManually,  // drained by an operator: behaves as kDraining, but may return to service
  kHandedOver,  // the successor has the listener: passes client links on, answers open queries, then ends
};

// One balancer process, from its start to its shutdown or hand-over.

class Program final : private Operations, private HandoverHandler {
 public:
  // Binds the addresses; throws std::system_error if that fails. `log` and `counters` must outlive the
  // program. The optional settings switch features on:
  // - `start`: paced start and saved list (src/start).
  // - `cluster`: membership; without it the balancer knows of no other balancer.
  // - `council`: the coordinator group; without it the balancer neither requests change leases nor votes.
  Program(Machine& machine, Config config, const Properties& properties, Log& log, Counters& counters,
          const std::optional<StartSettings>& start = {}, const std::optional<ClusterSettings>& cluster = {},
          const std::optional<CouncilSettings>& council = {});

  void Start();
  void Drain();  // begins the orderly shutdown; the scheduler stops once it is complete
  // Requests the permission for a reload (SIGHUP). A refusal is logged. If granted, call EndReload()
  // after the reload.
  Task<ChangePermission> RequestReload();
  Task<> EndReload(ChangePermission leave) { return ReleasePermission(std::move(leave)); }
  // Applies a configuration that was read again: the address of discovery and the descriptor limit. The
  // other settings apply from the next start; returns false if they differ.
  bool Reload(Config config);
  void Reload(const Properties& properties);  // applies those that may change at run time
  void Dump();                                // writes the captured data to standard error
  void Finish();                              // writes what the features still have to write
  Phase phase() const { return phase_; }
  const Counters& counters() const { return counters_; }
  size_t descriptors() const;  // how many may be open at a time

 private:
  // Operations: calls of operators.
  bool Serving() const override { return phase_ == Phase::kServing || phase_ == Phase::kDrainedManually; }
  Verdict TakeOut(std::string_view server) override;
  Verdict PutBack(std::string_view server) override;
  Verdict StartManualDrain() override;
  Verdict StopManualDrain() override;
  Task<ChangePermission> RequestPermission(ChangeCall call) override;
  Task<> ReleasePermission(ChangePermission leave) override;

  // Heritage: messages from the other process of a hand-over.
  std::optional<HandoverState> ReleaseListener(std::string& why) override;
  void KeepListener() override;
  void OnSuccessorServing() override;
  void OnLinksConfirmed() override;
  void OnSuccessorLost() override;
  void OnSuccessorExited() override;
  void ReceiveLink(std::unique_ptr<Stream> stream, PassedLink link) override;
  void OnPeerUse(const ResourceUse& use) override;
  void OnPeerTookOut(const NodeChange& call) override;
  void OnPeerPutBack(const NodeChange& call) override;
  void OnPeerDrain(bool drains) override;
  std::vector<uint64_t> BegunRequestIds() override { return dispatcher_.request_ids().All(); }
  void OnPeerBegan(const std::vector<uint64_t>& ids) override;

  // Requests a change lease from the coordinator group.
  Task<ChangePermission> RequestChange(freeze::ChangeKind kind, freeze::Scope scope, std::string by,
                                       std::string reason);
  Task<> RunStart();
  void StartFresh();  // without a predecessor
  std::function<std::optional<Micros>(Micros)> CreateReadinessGate();
  start::CallPacer* CreateListPacing(const std::optional<StartSettings>& start);
  std::string SavedPath(const char* suffix) const;  // in the folder of the saved list
  std::string SavedListPath(int file) const;
  start::SavedChoice ReadSavedLists();
  bool ApplySavedList();
  void SaveList();  // when it is due
  // Records this start; returns the number of earlier ones within the restart-loop window.
  int RecordStart();
  void LogStartPhase();
  void UpdateListServiceShare();
  void Join();
  cluster::Facts CurrentFacts() const;
  std::vector<CoordinatorMember::Setup::Observation> CurrentObservations() const;
  bool TakeOver(const HandoverState& estate);
  void SetManualDrain(bool drained);
  void SendUse();
  Task<> RunDraining();
  Task<> RunHandedOver();
  Task<> RunClosing();
  void LoadOutFile();
  bool SaveOutFile(const std::vector<OutHost>& out);
  void RetrySaveOutFile();
  bool OutFileAgrees();
  Micros NextCallTime(std::string_view server);
  void OnPeerCall();
  void OnHostsChanged();
  void UpdateDescriptorLimits();
  void OnListUpdate(const HostList* list, const std::string& why);
  void LogDescriptorUse();
  void WatchMemory();
  void UpdateMemoryBudgets();
  Task<> RunPhases();
  Task<> RunSweep();

  Machine& machine_;
  Config config_;
  Log& log_;
  Counters& counters_;
  std::unique_ptr<Figures> figures_;
  Tokens tokens_;
  RateLimiter rate_limiter_;
  LinkBudget budget_;
  MemoryBudgets memory_;
  const StartSettings start_;
  std::optional<start::CallPacer> list_pacing_;
  std::optional<start::SavedListSchedule> list_saver_;
  Micros list_received_at_ = 0;  // wall clock; when the list service last answered; 0: not yet
  HostGroup hosts_;
  std::optional<ListLog> list_log_;  // set once the initial list is applied
  HttpUpstream upstream_;
  Discovery discovery_;
  Dispatcher dispatcher_;
  std::unique_ptr<Capture> capture_;
  HttpFront front_;
  const std::optional<CouncilSettings> council_settings_;
  std::unique_ptr<CoordinatorMember> council_;
  // Shut down; retained because a call may still wait in one.
  std::vector<std::unique_ptr<CoordinatorMember>> retired_councils_;
  std::optional<ControlServer> control_;
  std::optional<Handover> handover_;
  const std::optional<ClusterSettings> cluster_;
  std::optional<ClusterMember> member_;
  Phase phase_ = Phase::kStarting;
  Phase phase_before_handover_ = Phase::kServing;
  std::optional<Micros> shutdown_requested_at_;  // set by the first SIGTERM or SIGINT, in any phase
  bool successor_accepts_links_ = true;          // at the last attempt to pass one
  bool discovery_changed_ = false;  // discovery's address was read again before the start was complete
  Micros all_answered_at_ = 0;      // while closing: when the last open query was answered
  Micros manual_drain_since_ = 0;
  ResourceUse other_use_;  // resources of the other process during a hand-over
  bool descriptors_tight_ = false;
  bool memory_tight_ = false;
  Micros start_began_at_ = 0;
  start::StartPhase logged_phase_ = start::StartPhase::kNoList;
  bool list_file_error_logged_ = false;  // since the last successful write
  bool out_file_current_ = true;         // the file agrees with the nodes that are out of service
  Event phase_event_;
  Event sweep_timer_;
  Task<> start_task_;  // the tasks come last, because what they use must outlive them
  Task<> phases_task_;
  Task<> sweep_task_;
};

}  // namespace burlfall

#endif  // BURLFALL_SERVE_PROGRAM_H_
