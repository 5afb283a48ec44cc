// Simulated balancers that perform changes, and reporters of incidents, on one simulated coordinator group.
#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "freeze/freeze.h"
#include "freeze/local_gate.h"
#include "freeze/permit.h"
#include "lab/council_judge/simulation.h"
#include "lab/council_judge/timeline.h"
#include "owner/lease_expiry.h"

namespace burlfall::lab {
namespace {

using freeze::ChangeKind;
using freeze::Command;
using freeze::Effect;
using freeze::IncidentKind;
using freeze::Scope;
using owner::Error;

constexpr size_t kBalancers = 6;  // each requests and executes changes
constexpr size_t kReporters = 2;
constexpr Micros kTick = 25 * kMs;
constexpr Micros kRetryInterval = 300 * kMs;

const std::string kZones[] = {"z0", "z1"};
const std::string kGroups[] = {"g0", "g1"};

// A balancer; it has at most one change at a time.
struct SimulatedBalancer {
  enum class Phase {
    kIdle,
    kRequestingChange,
    kBetweenSteps,
    kRequestingStep,
    kGranted,
    kStepping,
    kReportingStep,
    kTakingOver,
    kRequestingUndo
  };
  owner::ProcessId who;
  std::string zone;
  DriftingClock clock;
  Micros paused_until = 0;
  Micros inbound_delayed_until = 0;   // messages to it are delayed until then; its own are sent
  Micros outbound_delayed_until = 0;  // its messages are delayed until then
  Phase phase = Phase::kIdle;
  freeze::StepPermit permit;
  std::optional<freeze::LocalGate> gate;
  std::map<uint64_t, Micros> sent_requests;  // request -> time of the first try, own clock
  uint64_t requests = 0;
  Command command;            // the request that waits for an answer
  Micros sent_at = 0;         // last time
  Micros renew_at = 0;        // next renewal, own clock
  Micros next_action_at = 0;  // outside time
  uint64_t change = 0;
  uint64_t epoch = 0;  // of the current step
  uint32_t next_step = 0;
  bool undoing = false;
  bool abandons = false;
};

// A process that opens incidents and closes them.
struct IncidentReporter {
  Command command;
  Micros sent_at = 0;
  uint64_t incident = 0;
  Micros close_at = 0;
  bool open = false;
};

// Simulates changes and incidents on random schedules, and records their history.
class FreezeSimulation {
 public:
  FreezeSimulation(const SimulationOptions& options, FreezeFault fault)
      : options_(options),
        fault_(fault),
        time_(options.seed),
        state_(FaultsOf(fault)),
        lease_expiry_(fault == FreezeFault::kIgnoresDrift ? 0 : options.drift_bound) {
    rules_.step_lease = 1 * kSecond;
    rules_.change_lease = 3 * kSecond;
    rules_.max_balancers_per_zone = 2;
    result_.facts.rules = rules_;
    result_.facts.answer_timeout = options.answer_timeout;
  }

  SimulationResult Run() {
    for (size_t i = 0; i < kBalancers; ++i) {
      SimulatedBalancer balancer;
      balancer.who = {std::string("b").append(std::to_string(i)), 1};
      balancer.zone = kZones[i % 2];
      balancer.clock = DriftingClock::Random(time_, options_.clock_drift);
      balancers_.push_back(std::move(balancer));
      balancers_[i].gate.emplace(GateRules(), balancers_[i].who);
      time_.After(time_.Between(0, kTick), [this, i] { TickBalancer(i); });
    }
    reporters_.resize(kReporters);
    for (size_t i = 0; i < kReporters; ++i) time_.After(kTick, [this, i] { TickReporter(i); });
    leads_ = true;
    Command command;
    command.kind = Command::Kind::kRules;
    command.rules = rules_;
    Apply(command);
    ElectLeader();
    time_.After(kTick, [this] { TickLeader(); });
    time_.Run(options_.length);
    // No more faults: all activity comes to its end.
    faults_ended_ = true;
    time_.Run(options_.length + 4 * rules_.change_lease + 80 * kSecond);
    return std::move(result_);
  }

 private:
  static freeze::Faults FaultsOf(FreezeFault fault) {
    freeze::Faults faults;
    faults.yes_at_once = fault == FreezeFault::kEnforcedBeforeGrantsEnd;
    faults.by_kind_only = fault == FreezeFault::kByKindOnly;
    faults.stale_run_out = fault == FreezeFault::kAppliesStaleExpiry;
    faults.grants_in_incident = fault == FreezeFault::kGrantsInIncident;
    faults.epoch_reused = fault == FreezeFault::kEpochPerChange;
    faults.two_ends = fault == FreezeFault::kExpiredChangeStaysOpen;
    return faults;
  }
  freeze::Rules GateRules() const {
    freeze::Rules rules = rules_;
    if (fault_ == FreezeFault::kAllowsAnyEmergency) {
      for (size_t i = 0; i < freeze::kChangeKindCount; ++i)
        rules.emergency_kinds.push_back(static_cast<ChangeKind>(i));
    }
    return rules;
  }

  Observation& Record(Observation::What what) {
    Observation observation;
    observation.at = time_.now();
    observation.what = what;
    result_.history.push_back(std::move(observation));
    return result_.history.back();
  }

  Micros NetworkDelay() {
    if (faults_ended_) return 5 * kMs;
    return time_.Chance(0.03) ? time_.Between(0, 3 * kSecond) : time_.Between(1 * kMs, 40 * kMs);
  }
  void Send(const std::function<void()>& what) {
    if (!faults_ended_ && time_.Chance(options_.loss)) return;
    time_.After(NetworkDelay(), what);
    if (!faults_ended_ && time_.Chance(0.05)) time_.After(NetworkDelay(), what);
  }

  Scope RandomScope(const SimulatedBalancer* balancer) {
    const std::string& zone = kZones[time_.Below(2)];
    switch (time_.Below(balancer != nullptr ? 6 : 4)) {
      case 0:
        return time_.Chance(0.3) ? Scope::Site() : Scope::Zone(zone);
      case 1:
        return Scope::Group(kGroups[time_.Below(2)]);
      case 2:
      case 4: {
        const uint64_t node = time_.Below(6);
        return Scope::Node(std::string("n").append(std::to_string(node)), kZones[node % 2],
                           kGroups[node / 3]);
      }
      default: {
        const size_t i =
            balancer != nullptr ? static_cast<size_t>(balancer - balancers_.data()) : time_.Below(kBalancers);
        return Scope::Balancer(balancers_[i].who.name, balancers_[i].zone);
      }
    }
  }

  // The coordinator group.
  void ElectLeader() {
    ++result_.leaders;
    leads_ = true;
    Record(Observation::What::kMajorityAvailable).up = true;
    leader_clock_ = DriftingClock::Random(time_, options_.clock_drift);
    lease_expiry_.BecomeLeader(leader_clock_.Read(time_.now()), state_.Leases());
    if (fault_ == FreezeFault::kNewLeaderExpiresLeases) {
      for (const owner::Lease& lease : state_.Leases()) Apply(freeze::MakeExpireCommand(lease));
    }
    time_.After(time_.Between(2 * kSecond, 10 * kSecond), [this] {
      if (faults_ended_) return;
      leads_ = false;
      Record(Observation::What::kMajorityAvailable).up = false;
      time_.After(time_.Between(100 * kMs, 3 * kSecond), [this] { ElectLeader(); });
    });
  }

  void TickLeader() {
    time_.After(kTick, [this] { TickLeader(); });
    if (!leads_) return;
    const Micros now = leader_clock_.Read(time_.now());
    for (const owner::Lease& lease : lease_expiry_.Due(now)) {
      const Command command = freeze::MakeExpireCommand(lease);
      // A renewal in transit may overtake the expiry: the worst moment for the expiry is right after it.
      if (lease.epoch == 0 && time_.Chance(0.5)) {
        delayed_expiries_[command.change] = command;
      } else {
        time_.After(time_.Between(0, 30 * kMs), [this, command] { Apply(command); });
      }
    }
    for (const Command& command : state_.IncidentsDue(now)) Apply(command);
    if (!faults_ended_ && time_.Chance(0.003) && !state_.changes().empty()) {
      auto change = state_.changes().begin();
      std::advance(change, time_.Below(state_.changes().size()));
      Command command;
      command.kind = Command::Kind::kTakeOver;
      command.change = change->first;
      command.to = balancers_[time_.Below(kBalancers)].who;
      command.by = "anna";
      command.reason = "its owner is gone";
      Apply(command);
    }
  }

  void Apply(const Command& command) {
    if (!leads_) return;
    index_ += 1 + (time_.Chance(0.1) ? time_.Below(5) : 0);
    // Encoded and decoded as on the wire and in the log.
    const std::optional<Command> read = freeze::ReadCommand(freeze::Write(command));
    if (!read) return;  // the encoding refuses it
    const freeze::Effects effects = state_.Apply(index_, leader_clock_.Read(time_.now()), *read);
    if (fault_ == FreezeFault::kNone && time_.Chance(0.01)) state_ = *freeze::State::Load(state_.Save());
    freeze::TrackLeases(lease_expiry_, leader_clock_.Read(time_.now()), effects);
    for (const Effect& effect : effects) {
      RecordEffect(effect);
      Send([this, effect] { Deliver(effect); });
      if (effect.what != Effect::What::kRenewed && effect.what != Effect::What::kGranted) continue;
      const auto delayed = delayed_expiries_.find(effect.change);
      if (delayed == delayed_expiries_.end()) continue;
      time_.After(time_.Between(0, 200 * kMs), [this, command = delayed->second] { Apply(command); });
      delayed_expiries_.erase(delayed);
    }
  }

  // Records what an observer of the log sees.
  void RecordEffect(const Effect& effect) {
    switch (effect.what) {
      case Effect::What::kBegun: {
        if (!begun_changes_.insert(effect.change).second) return;  // a repeated answer
        ++result_.changes;
        Observation& observation = Record(Observation::What::kChangeBegan);
        observation.change = effect.change;
        observation.change_kind = effect.change_kind;
        observation.scope = effect.scope;
        const auto change = state_.changes().find(effect.change);
        if (change != state_.changes().end()) observation.undoes = change->second.undoes;
        if (change != state_.changes().end() && !change->second.overridden_incidents.empty()) {
          Record(Observation::What::kEmergencyOverride).change = effect.change;
        }
        return;
      }
      case Effect::What::kEnded: {
        // A repeated answer to a request about an earlier change.
        if (effect.request != 0) return;
        result_.abandoned += effect.end == freeze::End::kAbandoned ? 1 : 0;
        Observation& observation = Record(Observation::What::kChangeEnded);
        observation.change = effect.change;
        observation.end = effect.end;
        observation.error = effect.error;
        return;
      }
      case Effect::What::kGranted: {
        ++result_.grants;
        Observation& observation = Record(Observation::What::kEpochGranted);
        observation.task = "change " + std::to_string(effect.change) + " step " + std::to_string(effect.step);
        observation.who = effect.who;
        observation.epoch = effect.epoch;
        return;
      }
      case Effect::What::kTransferred:
        ++result_.taken_over;
        return;
      case Effect::What::kOpened: {
        if (!opened_incidents_.insert(effect.incident).second) return;
        Observation& observation = Record(Observation::What::kIncidentOpened);
        observation.incident = effect.incident;
        observation.incident_kind = effect.incident_kind;
        observation.scope = effect.scope;
        return;
      }
      case Effect::What::kIncidentInForce:
        ++result_.incidents_enforced;
        result_.enforced_after_wait += effect.waited > 0 ? 1 : 0;
        Record(Observation::What::kIncidentEnforced).incident = effect.incident;
        return;
      case Effect::What::kIncidentClosed:
        Record(Observation::What::kIncidentEnded).incident = effect.incident;
        return;
      case Effect::What::kOverride:
        ++result_.overrides;
        // A change that requests the override when it begins has not begun yet: kBegun follows.
        if (begun_changes_.contains(effect.change))
          Record(Observation::What::kEmergencyOverride).change = effect.change;
        return;
      case Effect::What::kEmergencyRecorded: {
        Observation& observation = Record(Observation::What::kEmergencyOnRecord);
        observation.place = effect.who.name;
        observation.number = effect.number;
        return;
      }
      default:
        return;
    }
  }

  void Deliver(const Effect& effect) {
    if (effect.what == Effect::What::kOpened || effect.what == Effect::What::kIncidentInForce ||
        effect.what == Effect::What::kIncidentClosed) {
      for (IncidentReporter& reporter : reporters_) {
        if (effect.incident_kind != reporter.command.incident_kind || effect.scope != reporter.command.scope)
          continue;
        reporter.incident = effect.incident;
        if (effect.what == Effect::What::kIncidentClosed) reporter.open = false;
      }
      return;
    }
    for (size_t i = 0; i < kBalancers; ++i) {
      SimulatedBalancer& balancer = balancers_[i];
      if (balancer.who.name != effect.who.name) continue;
      if (time_.now() < balancer.paused_until) {
        time_.At(balancer.paused_until, [this, effect] { Deliver(effect); });
        return;
      }
      if (time_.now() < balancer.inbound_delayed_until) {
        time_.At(balancer.inbound_delayed_until, [this, effect] { Deliver(effect); });
        return;
      }
      balancer.gate->OnApplied(effect);
      if (balancer.who.incarnation == effect.who.incarnation) HandleEffect(i, effect);
    }
  }

  // Balancers.
  void SendWhenPossible(const SimulatedBalancer& balancer, const Command& command) {
    time_.At(std::max(time_.now(), faults_ended_ ? 0 : balancer.outbound_delayed_until),
             [this, command] { Send([this, command] { Apply(command); }); });
  }

  void SendRequest(size_t i, Command command) {
    SimulatedBalancer& balancer = balancers_[i];
    command.who = balancer.who;
    command.request = ++balancer.requests;
    balancer.sent_requests[command.request] = balancer.clock.Read(time_.now());
    while (balancer.sent_requests.size() > 64) balancer.sent_requests.erase(balancer.sent_requests.begin());
    SendWhenPossible(balancer, command);
    if (command.kind == Command::Kind::kRenew) return;
    balancer.command = std::move(command);
    balancer.sent_at = time_.now();
  }

  Command ChangeCommand(const SimulatedBalancer& balancer, Command::Kind kind) const {
    Command command;
    command.kind = kind;
    command.change = balancer.change;
    return command;
  }

  void ReleaseChange(SimulatedBalancer& balancer) {
    balancer.phase = SimulatedBalancer::Phase::kIdle;
    balancer.change = 0;
    balancer.abandons = false;
  }

  void StopStep(size_t i) {
    SimulatedBalancer& balancer = balancers_[i];
    if (balancer.phase != SimulatedBalancer::Phase::kStepping) return;
    Observation& observation = Record(Observation::What::kStepEnded);
    observation.change = balancer.change;
    observation.place = balancer.who.name;
    balancer.permit.OnStepEnded();
  }

  void HandleEffect(size_t i, const Effect& effect) {
    SimulatedBalancer& balancer = balancers_[i];
    const auto sent_request = balancer.sent_requests.find(effect.request);
    const bool own = sent_request != balancer.sent_requests.end();
    const bool answers = own && effect.request == balancer.command.request;
    const Micros since = !own                                          ? 0
                         : fault_ == FreezeFault::kLeaseStartsAtAnswer ? balancer.clock.Read(time_.now())
                                                                       : sent_request->second;
    using Phase = SimulatedBalancer::Phase;
    switch (effect.what) {
      case Effect::What::kBegun:
        if (!answers || balancer.phase != Phase::kRequestingChange) return;
        balancer.permit.OnEffect(since, effect);
        balancer.change = effect.change;
        balancer.next_step = 0;
        balancer.undoing = false;
        RecordChangeLease(balancer);
        WaitBeforeNextStep(i);
        RecordAnswer(balancer, Error::kNone);
        return;
      case Effect::What::kRenewed:
        if (balancer.change != effect.change) return;
        if (own) {
          balancer.permit.OnEffect(since, effect);
          RecordChangeLease(balancer);
        }
        if (balancer.phase == Phase::kTakingOver || (answers && (balancer.phase == Phase::kReportingStep ||
                                                                 balancer.phase == Phase::kRequestingUndo))) {
          balancer.undoing = effect.undoing;
          balancer.next_step = balancer.undoing ? effect.step - 1 : effect.step;
          WaitBeforeNextStep(i);
        }
        return;
      case Effect::What::kGranted:
        if (!answers || balancer.phase != Phase::kRequestingStep) return;
        balancer.permit.OnEffect(since, effect);
        balancer.phase = Phase::kGranted;
        balancer.next_action_at =
            time_.now() + (time_.Chance(0.3) ? time_.Between(0, 1500 * kMs) : time_.Between(0, 50 * kMs));
        return;
      case Effect::What::kGrantEnded:
        balancer.permit.OnEffect(0, effect);
        return;
      case Effect::What::kTransferred:
        if (balancer.phase != Phase::kIdle) return;
        balancer.permit.OnEffect(0, effect);
        balancer.change = effect.change;
        balancer.phase = Phase::kTakingOver;
        balancer.renew_at = 0;
        balancer.next_action_at = time_.now() + 3 * kSecond;
        return;
      case Effect::What::kHold:
        if (effect.change == balancer.change && effect.error == Error::kHandedOver) balancer.abandons = true;
        return;
      case Effect::What::kEnded:
        if (balancer.phase == Phase::kRequestingChange && answers) {
          RecordAnswer(balancer, Error::kNone);
          return ReleaseChange(balancer);
        }
        if (effect.change != balancer.change || balancer.change == 0) return;
        StopStep(i);
        balancer.permit.OnEffect(0, effect);
        return ReleaseChange(balancer);
      case Effect::What::kRefused:
        if (answers) Refused(i, effect);
        return;
      default:
        return;
    }
  }

  void RecordAnswer(const SimulatedBalancer& balancer, Error error) {
    Observation& observation = Record(Observation::What::kRequestAnswered);
    observation.place = balancer.who.name;
    observation.number = balancer.command.request;
    observation.error = error;
  }

  void RecordChangeLease(const SimulatedBalancer& balancer) {
    Observation& observation = Record(Observation::What::kChangeLeaseHeld);
    observation.change = balancer.change;
    observation.until =
        balancer.clock.ToSimulationTime(balancer.permit.continue_until()) - 2;  // rounded down
  }

  void WaitBeforeNextStep(size_t i) {
    SimulatedBalancer& balancer = balancers_[i];
    balancer.phase = SimulatedBalancer::Phase::kBetweenSteps;
    balancer.next_action_at = time_.now() + time_.Between(0, 300 * kMs);
  }

  void Refused(size_t i, const Effect& effect) {
    SimulatedBalancer& balancer = balancers_[i];
    using Phase = SimulatedBalancer::Phase;
    if (balancer.phase == Phase::kRequestingChange) {
      RecordAnswer(balancer, effect.error);
      return ReleaseChange(balancer);
    }
    // The answer to an earlier request.
    if (balancer.phase == Phase::kIdle || balancer.phase == Phase::kTakingOver ||
        balancer.phase == Phase::kStepping || balancer.phase == Phase::kGranted) {
      return;
    }
    if (effect.error == Error::kFrozen && !faults_ended_) {
      const uint64_t draw = time_.Below(10);
      if (draw < 1) {
        // Overrides the freeze, with a name and a reason.
        Command command = ChangeCommand(balancer, Command::Kind::kStep);
        command.step = balancer.next_step;
        command.undoing = balancer.undoing;
        command.by = "anna";
        command.reason = "it is the way out";
        SendRequest(i, command);
        return;
      }
      if (draw < 4 && !balancer.undoing) {
        balancer.phase = Phase::kRequestingUndo;
        SendRequest(i, ChangeCommand(balancer, Command::Kind::kUndo));
        return;
      }
      balancer.abandons = draw < 5;
    }
    if (effect.error == Error::kUnknownChange || effect.error == Error::kNotOwner)
      return ReleaseChange(balancer);
    if (effect.error == Error::kHandedOver) balancer.abandons = true;
    if (effect.error == Error::kWrongStep) {
      balancer.next_step = effect.step;
      balancer.undoing = effect.undoing;
    }
    WaitBeforeNextStep(i);
    balancer.next_action_at += 300 * kMs;
  }

  void Pause(SimulatedBalancer& balancer) {
    ++result_.pauses;
    // A paused process does not wait for an answer.
    if (balancer.phase == SimulatedBalancer::Phase::kRequestingChange) {
      Observation& observation = Record(Observation::What::kRequestDropped);
      observation.place = balancer.who.name;
      observation.number = balancer.command.request;
    }
    constexpr Micros kSpans[] = {200 * kMs, 2 * kSecond, 3500 * kMs, 30 * kSecond};
    balancer.paused_until = time_.now() + kSpans[time_.Below(4)];
  }

  void Crash(size_t i) {
    SimulatedBalancer& balancer = balancers_[i];
    ++result_.crashes;
    StopStep(i);
    if (balancer.phase == SimulatedBalancer::Phase::kRequestingChange) {
      Observation& observation = Record(Observation::What::kRequestDropped);
      observation.place = balancer.who.name;
      observation.number = balancer.command.request;
    }
    // Its disk keeps the emergencies that it began without the coordinators.
    const std::string saved_gate = balancer.gate->Save();
    ++balancer.who.incarnation;
    balancer.gate.emplace(GateRules(), balancer.who);
    balancer.gate->Load(saved_gate);
    balancer.sent_requests.clear();
    balancer.permit = freeze::StepPermit();
    ReleaseChange(balancer);
    balancer.paused_until = time_.now() + time_.Between(0, 4 * kSecond);
  }

  void RequestChange(size_t i) {
    SimulatedBalancer& balancer = balancers_[i];
    Command command;
    command.kind = Command::Kind::kBegin;
    command.change_kind = static_cast<ChangeKind>(time_.Below(freeze::kChangeKindCount));
    command.scope = RandomScope(&balancer);
    command.steps.resize(1 + time_.Below(3), "step");
    if (time_.Chance(0.1) && !state_.history().empty()) {
      const freeze::HistoryEntry& past = state_.history().back();
      if (past.what == freeze::HistoryEntry::What::kChange) {
        command.undoes = past.id;
        command.scope = past.scope;
      }
    }
    if (time_.Chance(0.05)) {
      command.by = "anna";
      command.reason = "it is the way out";
    }
    balancer.phase = SimulatedBalancer::Phase::kRequestingChange;
    SendRequest(i, command);
    Observation& observation = Record(Observation::What::kRequestSent);
    observation.place = balancer.who.name;
    observation.number = balancer.command.request;
    observation.change_kind = command.change_kind;
    observation.scope = command.scope;
    observation.undoes = command.undoes;
  }

  void BeginStep(size_t i) {
    SimulatedBalancer& balancer = balancers_[i];
    if (balancer.permit.MayBegin(balancer.clock.Read(time_.now())) != Error::kNone &&
        fault_ != FreezeFault::kStepIgnoresLease) {
      balancer.epoch = balancer.permit.epoch();
      balancer.permit.OnStepEnded();
      balancer.phase = SimulatedBalancer::Phase::kReportingStep;
      Command command = ChangeCommand(balancer, Command::Kind::kStepReturned);
      command.epoch = balancer.epoch;
      SendRequest(i, command);
      return;
    }
    ++result_.steps;
    balancer.permit.OnBegun(balancer.clock.Read(time_.now()));
    balancer.epoch = balancer.permit.epoch();
    balancer.phase = SimulatedBalancer::Phase::kStepping;
    balancer.next_action_at = time_.now() + time_.Between(10 * kMs, 3 * kSecond);
    Observation& observation = Record(Observation::What::kStepBegan);
    observation.change = balancer.change;
    observation.step = balancer.permit.step();
    observation.place = balancer.who.name;
    observation.undoing = balancer.undoing;
    if (fault_ != FreezeFault::kStepOutlivesLease) ScheduleStepStop(i, balancer.change, balancer.epoch);
    if (!faults_ended_ && time_.Chance(0.05)) Pause(balancer);
  }

  // Stops the step when the change's lease expires on the balancer's own clock. This holds for a paused
  // process too: it executes nothing, and checks the lease first when it resumes.
  void ScheduleStepStop(size_t i, uint64_t change, uint64_t epoch) {
    time_.At(balancers_[i].clock.ToSimulationTime(balancers_[i].permit.continue_until()),
             [this, i, change, epoch] {
               SimulatedBalancer& balancer = balancers_[i];
               if (balancer.phase != SimulatedBalancer::Phase::kStepping || balancer.change != change ||
                   balancer.epoch != epoch)
                 return;
               if (balancer.permit.MayContinue(balancer.clock.Read(time_.now())) == Error::kNone) {
                 ScheduleStepStop(i, change, epoch);
                 return;
               }
               StopStep(i);
               ReleaseChange(balancer);
             });
  }

  void TickBalancer(size_t i) {
    SimulatedBalancer& balancer = balancers_[i];
    using Phase = SimulatedBalancer::Phase;
    time_.At(std::max(balancer.paused_until, time_.now()) + kTick, [this, i] { TickBalancer(i); });
    if (time_.now() < balancer.paused_until) return;
    if (!faults_ended_ && time_.Chance(0.001)) return Crash(i);
    if (!faults_ended_ && time_.Chance(0.003)) return Pause(balancer);
    if (!faults_ended_ && time_.Chance(0.004))
      balancer.inbound_delayed_until = time_.now() + time_.Between(500 * kMs, 4 * kSecond);
    if (!faults_ended_ && time_.Chance(0.002))
      balancer.outbound_delayed_until = time_.now() + time_.Between(kSecond, 8 * kSecond);
    if (fault_ != FreezeFault::kEmergencyNotReported && time_.Chance(0.1)) {
      for (const Command& command : balancer.gate->Unconfirmed()) {
        Send([this, command] { Apply(command); });
      }
    }
    if (!leads_ && time_.Chance(0.02)) {
      const auto kind = static_cast<ChangeKind>(time_.Below(freeze::kChangeKindCount));
      const Scope scope = Scope::Balancer(balancer.who.name, balancer.zone);
      const freeze::LocalGate::Answer answer =
          balancer.gate->Ask(kind, scope, "anna", "it burns", {"v0", "v2"});
      if (answer.error == Error::kNone) {
        ++result_.emergencies;
        Observation& observation = Record(Observation::What::kEmergency);
        observation.place = balancer.who.name;
        observation.number = answer.number;
        observation.change_kind = kind;
        observation.scope = scope;
      }
    }
    if (balancer.phase != Phase::kIdle && balancer.phase != Phase::kRequestingChange &&
        balancer.clock.Read(time_.now()) >= balancer.renew_at) {
      balancer.renew_at = balancer.clock.Read(time_.now()) + rules_.change_lease / 4;
      SendRequest(i, ChangeCommand(balancer, Command::Kind::kRenew));
    }
    const bool due = time_.now() >= balancer.next_action_at;
    switch (balancer.phase) {
      case Phase::kIdle:
        if (!faults_ended_ && time_.Chance(0.04)) RequestChange(i);
        return;
      case Phase::kRequestingChange:
      case Phase::kRequestingStep:
      case Phase::kReportingStep:
      case Phase::kRequestingUndo:
        // Retries the same request; its lease counts from the first try.
        if (time_.now() - balancer.sent_at < kRetryInterval) return;
        balancer.sent_at = time_.now();
        SendWhenPossible(balancer, balancer.command);
        return;
      case Phase::kTakingOver:
        if (due) ReleaseChange(balancer);
        return;
      case Phase::kBetweenSteps: {
        if (!due) return;
        if (balancer.abandons || (!faults_ended_ && time_.Chance(0.03))) {
          SendRequest(i, ChangeCommand(balancer, Command::Kind::kAbandon));
          return ReleaseChange(balancer);
        }
        if (!balancer.undoing && time_.Chance(0.05)) {
          balancer.phase = Phase::kRequestingUndo;
          SendRequest(i, ChangeCommand(balancer, Command::Kind::kUndo));
          return;
        }
        Command command = ChangeCommand(balancer, Command::Kind::kStep);
        command.step = balancer.next_step;
        command.undoing = balancer.undoing;
        balancer.phase = Phase::kRequestingStep;
        SendRequest(i, command);
        return;
      }
      case Phase::kGranted:
        if (due) BeginStep(i);
        return;
      case Phase::kStepping: {
        if (!due) return;
        StopStep(i);
        balancer.phase = Phase::kReportingStep;
        Command command = ChangeCommand(balancer, Command::Kind::kStepDone);
        command.epoch = balancer.epoch;
        SendRequest(i, command);
        return;
      }
    }
  }

  void TickReporter(size_t i) {
    IncidentReporter& reporter = reporters_[i];
    time_.After(kTick, [this, i] { TickReporter(i); });
    if (faults_ended_ && !state_.incidents().empty()) {
      // The operator closes the incidents whose reporter is gone.
      Command command;
      command.kind = Command::Kind::kCloseIncident;
      command.incident = state_.incidents().begin()->first;
      command.by = "anna";
      command.reason = "over";
      Apply(command);
      return;
    }
    if (!reporter.open) {
      if (faults_ended_ || !time_.Chance(0.01)) return;
      reporter.open = true;
      reporter.incident = 0;
      reporter.command = Command();
      reporter.command.kind = Command::Kind::kOpenIncident;
      reporter.command.incident_kind = static_cast<IncidentKind>(time_.Below(freeze::kIncidentKindCount));
      reporter.command.scope = RandomScope(nullptr);
      reporter.command.by = std::string("o").append(std::to_string(i));
      reporter.command.reason = "queries are lost";
      // Half of the incidents concern a running change.
      if (time_.Chance(0.5) && !state_.changes().empty()) {
        auto change = state_.changes().begin();
        std::advance(change, time_.Below(state_.changes().size()));
        for (auto at = state_.changes().begin(); at != state_.changes().end(); ++at) {
          if (at->second.grant && time_.Chance(0.7)) change = at;
        }
        reporter.command.scope = change->second.scope;
      }
      reporter.command.duration = time_.Chance(0.3) ? time_.Between(kSecond, 6 * kSecond) : 0;
      reporter.sent_at = 0;
      reporter.close_at = time_.now() + time_.Between(500 * kMs, 8 * kSecond);
      // The reporter may crash before the freeze is confirmed; its incident expires, or another process
      // closes it.
      if (time_.Chance(0.1)) reporter.command.duration = 5 * kSecond;
    }
    if (reporter.incident == 0 && time_.now() - reporter.sent_at >= kRetryInterval) {
      reporter.sent_at = time_.now();
      Send([this, command = reporter.command] { Apply(command); });
    } else if (reporter.incident != 0 && (faults_ended_ || time_.now() >= reporter.close_at) &&
               time_.now() - reporter.sent_at >= kRetryInterval) {
      reporter.sent_at = time_.now();
      Command command;
      command.kind = Command::Kind::kCloseIncident;
      command.incident = reporter.incident;
      command.by = reporter.command.by;
      command.reason = "over";
      Send([this, command] { Apply(command); });
      if (time_.now() >= reporter.close_at + 5 * kSecond) reporter.open = false;
    }
  }

  const SimulationOptions options_;
  const FreezeFault fault_;
  Timeline time_;
  SimulationResult result_;
  freeze::Rules rules_;
  freeze::State state_;
  uint64_t index_ = 0;
  bool leads_ = false;
  bool faults_ended_ = false;
  DriftingClock leader_clock_;
  owner::LeaseExpiry lease_expiry_;
  std::vector<SimulatedBalancer> balancers_;
  std::vector<IncidentReporter> reporters_;
  std::map<uint64_t, Command> delayed_expiries_;  // change -> expiry to apply after the next renewal
  std::set<uint64_t> begun_changes_;
  std::set<uint64_t> opened_incidents_;
};

}  // namespace

const char* NameOf(FreezeFault fault) {
  constexpr const char* kNames[] = {
      "none",         "yes_at_once", "by_kind_only",       "stale_run_out", "grants_in_incident",
      "epoch_reused", "two_ends",    "lease_from_answer",  "no_drift",      "not_anew",
      "no_look",      "goes_on",     "emergency_not_told", "any_emergency"};
  return kNames[static_cast<size_t>(fault)];
}

SimulationResult SimulateChanges(const SimulationOptions& options, FreezeFault fault) {
  return FreezeSimulation(options, fault).Run();
}

}  // namespace burlfall::lab
