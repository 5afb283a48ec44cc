// The balancer as it serves: its parts, put together, and its phases.
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
#include "council/council.h"
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

enum class Phase {
  kStarting,  // nothing is accepted yet
  kServing,
  kDraining,  // told to end: still accepts and answers, and asks clients to go elsewhere
  kClosing,   // accepts nothing more, answers what it owes
  kStopped,
  kAside,       // drained by hand: as draining, but it may serve again
  kHandedOver,  // another process has the door: passes its links on, answers what it owes, and ends
};

class Program final : private Operations, private HandoverHandler {
 public:
  // Binds the addresses; throws std::system_error where that can't be done. `log` and `counters` must outlive
  // it.
  // `start`: the operators' settings of the start; without them nothing of src/start is on. `cluster`: those
  // of the cluster; without them it knows of no other balancer. `council`: those of what is decided together;
  // without them it asks nobody and nobody asks it.
  Program(Machine& machine, Config config, const Properties& properties, Log& log, Counters& counters,
          const std::optional<StartSettings>& start = {}, const std::optional<ClusterSettings>& cluster = {},
          const std::optional<CouncilSettings>& council = {});

  void Start();
  void Drain();  // ends, in order: the scheduler stops once it has
  // Whether what SIGHUP asks for may be done now; where it may not, that is in the log. To be told by
  // ReleasePermission().
  Task<ChangePermission> MayReload();
  Task<> ReloadEnded(ChangePermission leave) { return ReleasePermission(std::move(leave)); }
  // Takes up a configuration read anew: where discovery is, and the descriptors it allows. The rest holds
  // until the next start; false where it differs.
  bool Reload(Config config);
  void Reload(const Properties& properties);  // what of them may change in service
  void Dump();                                // what was captured, to standard error
  void Finish();                              // what the features still have to write
  Phase phase() const { return phase_; }
  const Counters& counters() const { return counters_; }
  size_t descriptors() const;  // how many may be open

 private:
  // What operators tell it.
  bool Serving() const override { return phase_ == Phase::kServing || phase_ == Phase::kAside; }
  Verdict TakeOut(std::string_view server) override;
  Verdict PutBack(std::string_view server) override;
  Verdict StartManualDrain() override;
  Verdict StopManualDrain() override;
  Task<ChangePermission> RequestPermission(ChangeCall call) override;
  Task<> ReleasePermission(ChangePermission leave) override;

  // What the other process of a hand-over tells it.
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

  Task<ChangePermission> Leaving(freeze::ChangeKind kind, freeze::Scope scope, std::string by,
                                 std::string reason);
  Task<> Begin();
  void BeginAlone();
  std::function<std::optional<Micros>(Micros)> NotReady();
  start::CallPacer* PaceFor(const std::optional<StartSettings>& start);
  std::string KeptPath(const char* what) const;  // in the folder of the saved list
  std::string ListPath(int file) const;
  start::SavedChoice FindSavedList();
  bool UseSavedList();
  void KeepList();
  int BeganBefore();  // within a loop's span; and takes this start down
  void TellStart();
  void ShareByMembers();
  void Join();
  cluster::Facts FactsNow() const;
  std::vector<Council::Setup::Sight> SightsNow() const;
  bool TakeOver(const HandoverState& estate);
  void SetAside(bool aside);
  void TellUse();
  Task<> Drained();
  Task<> HandedOver();
  Task<> Closing();
  void ReadOut();
  bool KeepOut(const std::vector<OutHost>& out);
  void KeepOutLate();
  void HostsChanged();
  void Allow();
  void Take(const HostList* list, const std::string& why);
  void TellDescriptors();
  Task<> Phases();
  Task<> Sweep();

  Machine& machine_;
  Config config_;
  Log& log_;
  Counters& counters_;
  std::unique_ptr<Figures> figures_;
  Tokens tokens_;
  RateLimiter door_;
  LinkBudget budget_;
  const StartSettings start_;
  std::optional<start::CallPacer> asking_;
  std::optional<start::SavedListSchedule> keeper_;
  Micros heard_at_ = 0;  // by the clock on the wall: the list service last answered
  HostGroup hosts_;
  std::optional<ListLog> list_log_;  // once the list of the start is taken in
  HttpUpstream upstream_;
  Discovery discovery_;
  Dispatcher dispatcher_;
  std::unique_ptr<Capture> capture_;
  HttpFront front_;
  const std::optional<CouncilSettings> council_settings_;
  std::unique_ptr<Council> council_;
  std::vector<std::unique_ptr<Council>> councils_before_;  // shut: a call may still wait in one
  std::optional<ControlServer> control_;
  std::optional<Handover> handover_;
  const std::optional<ClusterSettings> cluster_;
  std::optional<ClusterMember> member_;
  Phase phase_ = Phase::kStarting;
  Phase before_hand_on_ = Phase::kServing;
  std::optional<Micros> told_to_end_at_;  // by whoever runs it, in any phase
  bool heir_takes_ = true;                // links, as far as was seen last
  bool list_moved_ = false;               // before it served: where discovery is was read anew
  Micros nothing_owed_at_ = 0;            // while it closes
  Micros aside_since_ = 0;
  ResourceUse other_;  // of a hand-over
  bool descriptors_tight_ = false;
  Micros began_at_ = 0;
  start::StartPhase told_phase_ = start::StartPhase::kNoList;
  bool list_file_bad_ = false;  // and that was told
  bool out_kept_ = true;        // the file says who is out
  Event moved_;
  Event sweep_;
  Task<> begin_;  // the tasks last: what they use must outlive them
  Task<> phases_;
  Task<> sweeper_;
};

}  // namespace burlfall

#endif  // BURLFALL_SERVE_PROGRAM_H_
