// One member of the coordinator group ("council" in settings and commands). It connects the consensus core
// (src/consensus) with files, connections and timers; applies the log to the replicated state; owns tasks
// under leases and sends the actions of their owner; and checks the actions of other owners against their
// epochs (fencing). The decisions are made in src/consensus, src/owner, src/freeze and src/ejection. A
// balancer's own service does not wait for any of it.
#ifndef BURLFALL_COUNCIL_COORDINATOR_MEMBER_H_
#define BURLFALL_COUNCIL_COORDINATOR_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/council_settings.h"
#include "consensus/core.h"
#include "council/action_executor.h"
#include "council/member_connections.h"
#include "council/member_message.h"
#include "council/state.h"
#include "council/store.h"
#include "council/view.h"
#include "freeze/incident_detector.h"
#include "freeze/local_gate.h"
#include "freeze/permit.h"
#include "io/machine.h"
#include "observe/log.h"
#include "owner/holder.h"
#include "owner/lease_expiry.h"

namespace burlfall {

// A member that may be a voter or a follower of the log, as the settings say.
class CoordinatorMember {
 public:
  struct Setup {
    std::string name;
    // Path of the files and of the socket without their extensions; `folder` is the folder that holds them.
    std::string stem;
    std::string folder;
    // One health observation of the fleet by this balancer. The owner of the freeze task collects them with
    // each of its actions, four times per lease.
    struct Observation {
      freeze::IncidentKind kind = freeze::IncidentKind::kZoneDown;
      freeze::Scope scope;
      double share = 0;
    };
    std::function<std::vector<Observation>()> observations = [] { return std::vector<Observation>(); };
  };

  // `log` and `counters` must outlive it.
  CoordinatorMember(Machine& machine, const CouncilSettings& settings, Setup setup, Log& log,
                    Counters& counters);
  ~CoordinatorMember();

  // Binds the address, and retries as long as it is in use: the previous process may still hold it, and with
  // it the disk.
  void Start();
  // Releases address, disk and socket at once, without notifying other members. Calls that wait in
  // RequestPermission() are refused.
  void ShutDown();
  // Graceful leave: gives up owned tasks and transfers the leadership.
  void Leave();

  // Whether a change of one step may begin now. ReportDone() must report its end.
  struct Permission {
    owner::Error error = owner::Error::kNone;
    std::string text;       // with an error: the cause, such as the incident or the missing voters
    uint64_t incident = 0;  // the one that forbids it; 0: none
    Micros retry = 0;       // time until the next attempt
    uint64_t change = 0;    // 0: begun without the group, as an emergency
    uint64_t epoch = 0;
  };
  // Asks the group for a change. `by` and `reason` (both or none) request an emergency override: the change
  // may begin despite an incident, or without a majority if its kind is an emergency kind.
  Task<Permission> RequestPermission(freeze::ChangeKind kind, freeze::Scope scope, std::string by,
                                     std::string reason);
  // Reports the end of the change. Returns once it is committed, or after kDoneTimeout; the report is
  // repeated in the background until it is committed.
  Task<> ReportDone(Permission permission);

 private:
  // A call to the leader that waits for its answer.
  struct PendingCall {
    explicit PendingCall(Scheduler& scheduler) : answered(scheduler) {}
    Event answered;
    std::optional<council::MemberMessage> answer;
  };
  // A proposal whose sender waits for the commit of an entry of this term.
  struct PendingProposal {
    uint64_t term = 0;
    uint64_t connection = 0;
    uint64_t number = 0;
  };
  // A read whose sender waits for the answer.
  struct PendingRead {
    uint64_t connection = 0;
    uint64_t number = 0;
    std::string owned_task;
  };
  // A task that this member wants to own.
  struct WantedTask {
    WantedTask(Scheduler& scheduler, owner::LeaseHolder its) : holder(std::move(its)), changed(scheduler) {}
    owner::LeaseHolder holder;
    uint64_t actions_sent = 0;
    Micros next_action_at = 0;
    Event changed;
    Task<> coroutine;
  };
  // What is known of another voter from its own messages. What it acknowledged is on its disk, so a voter
  // that returns with the same disk and less than that has lost data.
  struct KnownVoter {
    uint64_t disk = 0;
    uint64_t last_index = 0;
    std::string address;
    uint64_t promised_term = 0;   // of its last acknowledgement
    uint64_t promised_index = 0;  // last index of its log that it acknowledged in that term
  };
  // One operator's connection on the Unix socket.
  struct OperatorSession {
    std::unique_ptr<Channel> channel;
    bool finished = false;
    Task<> task;
  };

  // Start and input.
  Task<> Open();
  void OpenDisk();
  void BeginCore(consensus::PersistentState state, bool may_vote);
  Task<> RunTimers();     // timers of the core, the follower and the leader
  Task<> WatchLogDisk();  // reports completed log writes to the core
  void OnFrame(council::MemberConnections::Connection& from, std::string_view frame);
  void OnMemberMessage(council::MemberConnections::Connection& from, council::MemberMessage message);
  void LogDropped(const char* why, const std::string& from);  // logs each reason once

  // Outputs of the consensus core.
  // Carries out all writes, messages, applied entries and notices of the core and the follower. Safe to call
  // from within itself: the outer call then makes another pass.
  void ProcessOutputs();
  void OnApplied(const consensus::Applied& applied);
  void OnOwnerEffects(const owner::Effects& effects);
  void OnNotice(const consensus::Notice& notice);
  void ProposeAsLeader();
  bool IsLeader() const { return core_ && core_->role() == consensus::Role::kLeader; }
  bool MajorityLost() const;
  void RecordPromise(const consensus::Message& message);
  bool IsVoter() const { return core_ && core_->is_voter(); }
  const std::string& AddressOf(const std::string& name) const;
  std::string LeaderAddress() const;
  std::string NextTarget();
  void SnapshotIfDue();

  // Proposals, reads and calls, by this member and by others.
  // Handles a proposal, read or operator call; answers kNotLeader if this member does not lead. `connection`
  // 0: a request of this member.
  void HandleAtLeader(const council::MemberMessage& message, uint64_t connection);
  void Reply(uint64_t connection, council::MemberMessage message);
  Task<council::MemberMessage> AskLeader(council::MemberMessage message, Micros until);
  void ProposeWithoutReply(std::string data);
  council::MemberMessage HandleOperatorCall(const std::string& words);

  // Changes and incidents.
  Task<std::optional<council::ApplyResult>> WaitForResult(uint64_t index, Micros until);
  Task<std::optional<freeze::Effect>> ProposeFreezeCommand(freeze::Command command, Micros until,
                                                           owner::Error& error);
  void OnFreezeEffects(const freeze::Effects& effects);
  void SyncFreezeLeases();
  void ReportFinishedChanges();
  Task<std::string> HandleIncidentCommand(std::string words);
  void ReportObservations(uint64_t epoch);

  // Owned tasks and actions.
  Task<> RunWantedTask(WantedTask& wanted);
  std::string TaskNameOf(const WantedTask& wanted) const;
  void SendAction(WantedTask& wanted, uint64_t epoch);
  // An owner's action. `connection` 0: an action of this member.
  void OnAction(const council::MemberMessage& message, uint64_t connection);
  void ReplyToAction(uint64_t connection, const council::MemberMessage& reply);
  // The current epoch of the task, from the leader.
  Task<std::optional<uint64_t>> ReadEpoch(std::string task);
  // Call after the replica has changed the owners of tasks: holders of this member give up what the log says
  // is no longer theirs, and the executor rejects earlier owners.
  void AdoptEpochs();

  // Operators' requests.
  Task<> AcceptOperators();
  Task<> ServeOperator(OperatorSession& session);
  Task<std::string> AnswerOperator(std::string words);
  Task<std::string> BootstrapLog(uint64_t floor);
  council::View CurrentView();
  std::vector<std::string> MissingVoters() const;
  void AddHistory(const std::string& line);
  std::string EncodeHello(council::MemberMessage::Kind kind, owner::Error error = owner::Error::kNone) const;

  Machine& machine_;
  const CouncilSettings settings_;
  const Setup setup_;
  Log& log_;
  Counters& counters_;
  const Address listen_;
  const owner::ProcessId self_;
  bool open_ = false;
  bool left_ = false;
  bool shut_down_ = false;

  std::optional<council::Store> store_;
  std::string disk_fault_;  // empty: none
  std::unique_ptr<DurableWriter> log_disk_;
  uint64_t log_disk_done_ = 0;
  std::deque<uint64_t> pending_log_writes_;  // the core's write numbers; 0: the bootstrap of the log
  bool bootstrap_written_ = false;           // the bootstrap is flushed
  std::optional<consensus::Core> core_;
  std::optional<consensus::Follower> follower_;
  std::deque<std::string> joining_;  // names of voters that this leader is adding
  std::map<std::string, KnownVoter> known_voters_;

  council::State state_;
  uint64_t applied_ = 0;
  uint64_t snapshot_index_ = 0;  // the last entry in the last snapshot
  owner::LeaseExpiry lease_expiry_;
  owner::LeaseExpiry freeze_lease_expiry_;
  std::map<std::string, owner::Lease> freeze_leases_;        // that freeze_lease_expiry_ tracks
  std::map<uint64_t, council::ApplyResult> recent_results_;  // of the last applied entries, by index
  std::list<Event*> applied_waiters_;                        // notified after each applied entry
  uint64_t last_request_ = 0;
  std::map<uint64_t, freeze::Command> finishing_changes_;  // by change: its end, proposed until applied
  Micros next_finish_report_ = 0;
  const freeze::Rules freeze_rules_;
  freeze::LocalGate local_gate_;
  freeze::IncidentDetector observations_;
  uint64_t observations_epoch_ = 0;  // epoch of the freeze task for which observations_ was reset
  Micros last_leader_proposals_at_ = 0;

  uint64_t last_number_ = 0;  // of requests and reads
  std::map<uint64_t, PendingCall*> pending_calls_;
  std::map<uint64_t, std::vector<PendingProposal>> pending_proposals_;  // by index
  std::map<uint64_t, PendingRead> pending_reads_;                       // by token
  std::string leader_hint_;  // the leader's address from a kNotLeader answer
  size_t voter_turn_ = 0;    // index of the voter to ask next; 0: prefer the leader

  std::list<std::unique_ptr<WantedTask>> wanted_tasks_;
  std::optional<council::ActionExecutor> executor_;
  uint64_t logged_floor_ = 0;                           // of the epochs in the own replica
  std::map<std::string, uint64_t> action_connections_;  // by task: where its last action came from

  std::vector<std::string> history_;    // lines for `burlfall council explain`
  std::set<std::string> logged_drops_;  // reasons
  bool processing_outputs_ = false, process_outputs_again_ = false;
  std::unique_ptr<ChannelListener> operator_listener_;
  std::list<std::unique_ptr<OperatorSession>> operator_sessions_;
  Event timer_wakeup_;
  Event bootstrap_event_;
  Event delay_;
  std::optional<council::MemberConnections> connections_;
  Task<> open_task_;  // the coroutines are declared last: what they use must outlive them
  Task<> timers_task_;
  Task<> log_disk_task_;
  Task<> accept_operators_task_;
};

}  // namespace burlfall

#endif  // BURLFALL_COUNCIL_COORDINATOR_MEMBER_H_
