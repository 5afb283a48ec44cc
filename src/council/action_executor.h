// Fencing at a member that owners act upon: each action of a task's owner is accepted or rejected by its
// epoch (owner::Executor), once the task's epoch is known here and is on the disk.
#ifndef BURLFALL_COUNCIL_ACTION_EXECUTOR_H_
#define BURLFALL_COUNCIL_ACTION_EXECUTOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "council/member_message.h"
#include "council/state.h"
#include "io/machine.h"
#include "observe/log.h"
#include "owner/executor.h"

namespace burlfall::council {

class ActionExecutor {
 public:
  struct Setup {
    std::string member;  // name of this member, for its replies
    std::string path;    // of the file that keeps the epochs
    // Reads the task's current epoch from the leader: a linearizable read. Nothing if none answered in time.
    std::function<Task<std::optional<uint64_t>>(std::string task)> read_epoch;
    // Takes the reply to an action that was accepted or rejected, and the `connection` of OnAction().
    std::function<void(uint64_t connection, MemberMessage reply)> reply;
  };

  // `replica` is the own replica of the state. It, `log` and `counters` must outlive this.
  ActionExecutor(Machine& machine, const State& replica, Setup setup, Log& log, Counters& counters);

  void Start();  // reads the file
  void Stop();   // at once; a write under way may be lost
  // An action of a task's owner. `connection` identifies where the reply goes.
  void OnAction(MemberMessage action, uint64_t connection);
  // Call after the replica has changed: from now on epochs below those that it names are rejected.
  void OnReplicaChanged();

  uint64_t HighestEpochOf(const std::string& task) const { return executor_.HighestEpochOf(task); }
  // The highest epoch of any task that was heard of here: from the replica, from the file, or from an action
  // that waits.
  uint64_t HighestKnownEpoch() const;

 private:
  struct PendingAction {
    MemberMessage message;
    uint64_t connection = 0;
  };

  void CheckPendingActions();
  void Report(const PendingAction& action, const owner::Executor::Verdict& verdict);
  void WriteEpochs();
  Task<> WatchDisk();    // reports completed writes to the executor
  Task<> LearnEpochs();  // of tasks that the file does not name

  Machine& machine_;
  const State& replica_;
  const Setup setup_;
  Log& log_;
  Counters& counters_;
  owner::Executor executor_;
  std::deque<PendingAction> pending_actions_;      // that wait for the disk or for the group's epoch
  std::set<std::string> unknown_epochs_;           // tasks whose epoch must be read from the leader
  std::map<std::string, uint64_t> logged_epochs_;  // by task: the last accepted epoch that was logged
  std::unique_ptr<DurableWriter> disk_;            // empty while it is opened again after a failure
  uint64_t disk_done_ = 0;
  std::deque<uint64_t> pending_writes_;  // the executor's write numbers
  Event learn_wakeup_;
  Event reopen_delay_;
  Task<> disk_task_;  // the coroutines are declared last: what they use must outlive them
  Task<> learn_task_;
};

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_ACTION_EXECUTOR_H_
