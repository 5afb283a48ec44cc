// Simulated members that own tasks, and executors that check their epochs, on one simulated coordinator
// group.
#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "lab/council_judge/simulation.h"
#include "lab/council_judge/timeline.h"
#include "owner/executor.h"
#include "owner/holder.h"
#include "owner/lease_expiry.h"
#include "owner/owner.h"

namespace burlfall::lab {
namespace {

constexpr const char* kTasks[] = {"freeze", "list_call"};
constexpr size_t kMembers = 4;
constexpr size_t kExecutors = 3;
constexpr Micros kTick = 25 * kMs;

struct Member {
  owner::ProcessId who;
  DriftingClock clock;
  std::vector<owner::LeaseHolder> holders;  // one per task
  Micros paused_until = 0;                  // paused or crashed
};

struct ExecutorHost {
  std::string name;
  bool has_disk = false;
  std::optional<std::string> file;
  std::unique_ptr<owner::Executor> executor;
  uint64_t incarnation = 0;
};

// An act of an owner at an executor; `by` is the member.
struct Act {
  uint64_t number = 0;
  size_t task = 0;
  uint64_t epoch = 0;
  size_t by = 0;
  int tries = 0;
};

// Simulates owners and executors on random schedules, and records their history.
class OwnerSimulation {
 public:
  OwnerSimulation(const SimulationOptions& options, OwnerFault fault)
      : options_(options), fault_(fault), time_(options.seed), lease_expiry_(options.drift_bound) {
    result_.facts.answer_timeout = options.answer_timeout;
  }

  SimulationResult Run() {
    for (size_t i = 0; i < kMembers; ++i) {
      members_.push_back({{std::string("m").append(std::to_string(i)), 1},
                          DriftingClock::Random(time_, options_.clock_drift),
                          {},
                          0});
      StartMember(i);
      time_.After(time_.Between(0, kTick), [this, i] { TickMember(i); });
    }
    for (size_t i = 0; i < kExecutors; ++i) {
      ExecutorHost host;
      host.name = std::string("x").append(std::to_string(i));
      host.has_disk = i != 0;
      executor_hosts_.push_back(std::move(host));
      Restart(i);
      time_.After(time_.Between(2 * kSecond, 6 * kSecond), [this, i] { CrashPeriodically(i); });
    }
    ElectLeader();
    time_.After(kTick, [this] { TickLeader(); });
    if (time_.Chance(0.4) || fault_ == OwnerFault::kNoFloor) {
      time_.At(time_.Between(options_.length / 4, options_.length / 2), [this] { RebuildGroup(); });
    }
    time_.Run(options_.length);
    return std::move(result_);
  }

 private:
  void RecordAct(Observation::What what, const std::string& host, const Act& act) {
    Observation observation;
    observation.at = time_.now();
    observation.what = what;
    observation.place = host;
    observation.task = kTasks[act.task];
    observation.epoch = act.epoch;
    observation.act = act.number;
    result_.history.push_back(std::move(observation));
  }

  Micros NetworkDelay() {
    return time_.Chance(0.05) ? time_.Between(0, 4 * kSecond) : time_.Between(1 * kMs, 40 * kMs);
  }
  // Delivers a message late, twice, or not at all.
  void Send(const std::function<void()>& what) {
    if (time_.Chance(options_.loss)) return;
    time_.After(NetworkDelay(), what);
    if (time_.Chance(0.05)) time_.After(NetworkDelay(), what);
  }

  // The coordinator group.
  void ElectLeader() {
    ++result_.leaders;
    leads_ = true;
    leader_clock_ = DriftingClock::Random(time_, options_.clock_drift);
    lease_expiry_.BecomeLeader(leader_clock_.Read(time_.now()), state_.Leases());
    time_.After(time_.Between(2 * kSecond, 10 * kSecond), [this] {
      leads_ = false;
      time_.After(time_.Between(100 * kMs, 2 * kSecond), [this] { ElectLeader(); });
    });
  }

  void TickLeader() {
    time_.After(kTick, [this] { TickLeader(); });
    if (!leads_) return;
    for (const owner::Lease& lease : lease_expiry_.Due(leader_clock_.Read(time_.now()))) {
      // Entries that are already in the log may overtake it.
      time_.After(time_.Between(0, 30 * kMs), [this, lease] { Apply(owner::MakeExpireCommand(lease)); });
    }
    if (!time_.Chance(0.005)) return;
    owner::Command command;
    command.task = kTasks[time_.Below(2)];
    command.by = "anna";
    command.reason = "rolled to another zone";
    command.kind = owner::Command::Kind::kRevoke;
    if (time_.Chance(0.5)) {
      const auto task = state_.tasks().find(command.task);
      if (task == state_.tasks().end()) return;
      command.kind = owner::Command::Kind::kHandOver;
      command.epoch = task->second.epoch;
      command.to = members_[time_.Below(kMembers)].who;
    }
    Apply(command);
  }

  void Apply(const owner::Command& command) {
    if (!leads_) return;
    index_ += 1 + (time_.Chance(0.1) ? time_.Below(5) : 0);
    // Encoded and decoded as on the wire and in the log.
    const std::optional<owner::Command> read = owner::ReadCommand(owner::Write(command));
    const owner::Effects effects = state_.Apply(index_, leader_clock_.Read(time_.now()), *read);
    if (time_.Chance(0.01)) state_ = *owner::State::Load(state_.Save());
    owner::TrackLeases(lease_expiry_, leader_clock_.Read(time_.now()), effects);
    for (const owner::Effect& effect : effects) {
      if (effect.what == owner::Effect::What::kGranted) {
        ++result_.grants;
        Observation observation;
        observation.at = time_.now();
        observation.what = Observation::What::kEpochGranted;
        observation.task = effect.task;
        observation.who = effect.who;
        observation.epoch = effect.epoch;
        result_.history.push_back(std::move(observation));
      }
      Send([this, effect] { Deliver(effect); });
    }
  }

  // All disks of the voters are lost. The operators rebuild the group, with a floor above all granted epochs.
  void RebuildGroup() {
    const uint64_t above = state_.last_epoch() + 1000;
    state_ = owner::State();
    index_ = 0;
    lease_expiry_.BecomeLeader(leader_clock_.Read(time_.now()), {});
    const bool led = std::exchange(leads_, true);
    owner::Command command;
    command.kind = owner::Command::Kind::kFloor;
    command.epoch = above;
    command.by = "anna";
    if (fault_ != OwnerFault::kNoFloor) Apply(command);
    leads_ = led;
  }

  // Members.
  void StartMember(size_t i) {
    Member& member = members_[i];
    member.holders.clear();
    for (const char* task : kTasks) {
      member.holders.emplace_back(member.who, task, owner::HolderRules{});
      member.holders.back().Acquire();
    }
  }

  void Pause(Member& member) {
    ++result_.pauses;
    constexpr Micros kSpans[] = {200 * kMs, 2 * kSecond, 10 * kSecond, 30 * kSecond};
    member.paused_until = time_.now() + kSpans[time_.Below(4)];
  }

  void Deliver(const owner::Effect& effect) {
    for (size_t i = 0; i < kMembers; ++i) {
      Member& member = members_[i];
      if (member.who.name != effect.who.name) continue;
      if (time_.now() < member.paused_until) {
        time_.At(member.paused_until, [this, effect] { Deliver(effect); });
        return;
      }
      for (owner::LeaseHolder& holder : member.holders)
        holder.OnEffect(member.clock.Read(time_.now()), effect);
    }
  }

  void TickMember(size_t i) {
    Member& member = members_[i];
    time_.At(std::max(member.paused_until, time_.now()) + kTick, [this, i] { TickMember(i); });
    if (time_.now() < member.paused_until) return;
    if (time_.Chance(0.001)) {
      ++result_.crashes;
      ++member.who.incarnation;
      StartMember(i);
      member.paused_until = time_.now() + time_.Between(0, 3 * kSecond);
      return;
    }
    if (time_.Chance(0.003)) {
      Pause(member);
      return;
    }
    for (size_t task = 0; task < member.holders.size(); ++task) {
      owner::LeaseHolder& holder = member.holders[task];
      for (const owner::Command& command : holder.Tick(member.clock.Read(time_.now()))) {
        Send([this, command] { Apply(command); });
      }
      if (holder.stopping() || time_.Chance(0.001)) {
        holder.Release();
        time_.After(time_.Between(kMs, kSecond), [this, i, task] { members_[i].holders[task].Acquire(); });
      }
      if (!holder.owns() || !time_.Chance(0.3)) continue;
      const owner::Permit permit = holder.MayAct(member.clock.Read(time_.now()));
      if (!permit.ok()) continue;
      Act act{0, task, permit.epoch, i, 0};
      // Pauses between its check and its act.
      if (time_.Chance(0.02)) Pause(member);
      const size_t to = time_.Below(kExecutors);
      time_.At(std::max(time_.now(), member.paused_until),
               [this, act, to] {  // Each copy of a duplicated message counts as an act, with its own answer.
                 Send([this, act, to] {
                   Act arrived = act;
                   arrived.number = ++acts_;
                   Execute(to, arrived);
                 });
               });
    }
  }

  // Executors.
  void Restart(size_t i) {
    ExecutorHost& host = executor_hosts_[i];
    ++host.incarnation;
    owner::ExecutorRules rules;
    rules.disk = host.has_disk;
    std::optional<std::string_view> saved_epochs;
    if (host.has_disk && host.file) saved_epochs = *host.file;
    host.executor = std::make_unique<owner::Executor>(rules, saved_epochs);
    const bool empty = !host.has_disk || !host.file || host.executor->damaged();
    if ((fault_ == OwnerFault::kForgetsEpochs && empty) ||
        (fault_ == OwnerFault::kTreatsDamagedAsEmpty && host.executor->damaged())) {
      for (const char* task : kTasks) host.executor->SetCurrentEpoch(task, 0);
    }
  }

  void CrashPeriodically(size_t i) {
    time_.After(time_.Between(1 * kSecond, 8 * kSecond), [this, i] { CrashPeriodically(i); });
    Crash(i);
  }

  void Crash(size_t i) {
    ExecutorHost& host = executor_hosts_[i];
    ++result_.crashes;
    if (time_.Chance(0.05)) host.file.reset();
    if (host.file && !host.file->empty() && time_.Chance(0.05)) {
      (*host.file)[time_.Below(host.file->size())] ^= 1;
    }
    Restart(i);
  }

  void Execute(size_t i, Act act) {
    ExecutorHost& host = executor_hosts_[i];
    const owner::Executor::Verdict verdict = host.executor->Check(kTasks[act.task], act.epoch);
    const uint64_t incarnation = host.incarnation;
    auto again = [this, i, act, incarnation](Micros span) mutable {
      if (++act.tries > 20) return;
      time_.After(span, [this, i, act, incarnation] {
        if (executor_hosts_[i].incarnation == incarnation) Execute(i, act);
      });
    };
    const auto accept = [&] {
      ++result_.acts_accepted;
      RecordAct(Observation::What::kActAccepted, host.name, act);
      RecordAct(Observation::What::kActHadEffect, host.name, act);
    };
    switch (verdict.error) {
      case owner::Error::kNone:
        accept();
        return;
      case owner::Error::kFenced: {
        if (fault_ == OwnerFault::kAcceptsEveryEpoch) {
          accept();
          return;
        }
        ++result_.fenced;
        RecordAct(Observation::What::kActFenced, host.name, act);
        if (fault_ == OwnerFault::kExecutesFencedAct)
          RecordAct(Observation::What::kActHadEffect, host.name, act);
        const uint64_t epoch = act.epoch;
        Send([this, act, epoch] { members_[act.by].holders[act.task].OnFenced(epoch); });
        return;
      }
      case owner::Error::kNotTold:
        // A linearizable read that begins now.
        if (fault_ == OwnerFault::kStaleRead) {
          host.executor->SetCurrentEpoch(kTasks[act.task], stale_epochs_[act.task]);
        } else {
          Send([this, i, act, incarnation] {
            if (!leads_) return;
            const uint64_t epoch = state_.EpochOf(kTasks[act.task]);
            Send([this, i, act, incarnation, epoch] {
              if (executor_hosts_[i].incarnation == incarnation)
                executor_hosts_[i].executor->SetCurrentEpoch(kTasks[act.task], epoch);
            });
          });
        }
        again(50 * kMs);
        return;
      case owner::Error::kNotWritten:
      case owner::Error::kDiskLost:
        if (const auto write = host.executor->NextWrite()) {
          // A crash before the write is complete keeps the old file.
          const Micros span = time_.Between(kMs, 60 * kMs);
          if (time_.Chance(0.1)) {
            time_.After(span / 2, [this, i, incarnation] {
              if (executor_hosts_[i].incarnation == incarnation) Crash(i);
            });
          }
          time_.After(span, [this, i, incarnation, write = *write] {
            if (executor_hosts_[i].incarnation != incarnation) return;
            const bool ok = !time_.Chance(0.15);
            if (ok) executor_hosts_[i].file = write.bytes;
            executor_hosts_[i].executor->OnWritten(write.number,
                                                   ok || fault_ == OwnerFault::kIgnoresFailedWrite);
          });
        }
        if (fault_ == OwnerFault::kAcceptsBeforeWrite) {
          accept();
        } else {
          again(20 * kMs);
        }
        return;
      default:
        return;
    }
  }

  const SimulationOptions options_;
  const OwnerFault fault_;
  Timeline time_;
  SimulationResult result_;
  owner::State state_;
  uint64_t index_ = 0;
  bool leads_ = false;
  DriftingClock leader_clock_;
  owner::LeaseExpiry lease_expiry_;
  std::vector<Member> members_;
  std::vector<ExecutorHost> executor_hosts_;
  uint64_t acts_ = 0;
  uint64_t stale_epochs_[2] = {};  // the result of a stale read
};

}  // namespace

const char* NameOf(OwnerFault fault) {
  constexpr const char* kNames[] = {
      "none",       "no_check", "forgets",           "obeys_unwritten", "failed_is_written",
      "stale_read", "no_floor", "effects_of_fenced", "damaged_is_empty"};
  return kNames[static_cast<size_t>(fault)];
}

SimulationResult SimulateOwners(const SimulationOptions& options, OwnerFault fault) {
  return OwnerSimulation(options, fault).Run();
}

}  // namespace burlfall::lab
