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

constexpr size_t kHands = 6;  // balancers at which changes are asked for and carried out
constexpr size_t kOpeners = 2;
constexpr Micros kTick = 25 * kMs;
constexpr Micros kAgain = 300 * kMs;

const std::string kZones[] = {"z0", "z1"};
const std::string kGroups[] = {"g0", "g1"};

// A balancer with at most one change in its hands.
struct Hand {
  enum class Phase {
    kIdle,
    kAsking,
    kBetween,
    kAskingStep,
    kGranted,
    kStepping,
    kTelling,
    kTaking,
    kUndoing
  };
  owner::ProcessId who;
  std::string zone;
  DriftingClock clock;
  Micros still_until = 0;
  Micros slow_until = 0;  // what comes to it waits on the way until then; what it says goes out
  Micros mute_until = 0;  // the other way round
  Phase phase = Phase::kIdle;
  freeze::StepPermit permit;
  std::optional<freeze::LocalGate> gate;
  std::map<uint64_t, Micros> asked;  // request -> own clock, before the first try
  uint64_t requests = 0;
  Command said;        // the question that waits for an answer
  Micros said_at = 0;  // last
  Micros keep_at = 0;  // own clock
  Micros act_at = 0;   // when it does the next thing, of the outside
  uint64_t change = 0;
  uint64_t epoch = 0;  // of the step under way
  uint32_t next = 0;
  bool undoing = false;
  bool let_go = false;
};

struct Opener {
  Command said;
  Micros said_at = 0;
  uint64_t incident = 0;
  Micros close_at = 0;
  bool open = false;
};

class ChangePlay {
 public:
  ChangePlay(const PlayOptions& options, FreezeFault fault)
      : options_(options),
        fault_(fault),
        time_(options.seed),
        state_(FaultsOf(fault)),
        lapse_(fault == FreezeFault::kNoDrift ? 0 : options.drift) {
    rules_.step_lease = 1 * kSecond;
    rules_.change_lease = 3 * kSecond;
    rules_.max_balancers_per_zone = 2;
    played_.facts.rules = rules_;
    played_.facts.bound = options.bound;
  }

  Played Run() {
    for (size_t i = 0; i < kHands; ++i) {
      Hand hand;
      hand.who = {std::string("b").append(std::to_string(i)), 1};
      hand.zone = kZones[i % 2];
      hand.clock = DriftingClock::Drawn(time_, options_.apart);
      hands_.push_back(std::move(hand));
      hands_[i].gate.emplace(GateRules(), hands_[i].who);
      time_.After(time_.Between(0, kTick), [this, i] { TickHand(i); });
    }
    openers_.resize(kOpeners);
    for (size_t i = 0; i < kOpeners; ++i) time_.After(kTick, [this, i] { TickOpener(i); });
    leads_ = true;
    Command command;
    command.kind = Command::Kind::kRules;
    command.rules = rules_;
    Apply(command);
    TakeOffice();
    time_.After(kTick, [this] { TickLeader(); });
    time_.Run(options_.length);
    // The end of all faults: what began comes to its end.
    quiet_ = true;
    time_.Run(options_.length + 4 * rules_.change_lease + 80 * kSecond);
    return std::move(played_);
  }

 private:
  static freeze::Faults FaultsOf(FreezeFault fault) {
    freeze::Faults faults;
    faults.yes_at_once = fault == FreezeFault::kYesAtOnce;
    faults.by_kind_only = fault == FreezeFault::kByKindOnly;
    faults.stale_run_out = fault == FreezeFault::kStaleRunOut;
    faults.grants_in_incident = fault == FreezeFault::kGrantsInIncident;
    faults.epoch_reused = fault == FreezeFault::kEpochReused;
    faults.two_ends = fault == FreezeFault::kTwoEnds;
    return faults;
  }
  freeze::Rules GateRules() const {
    freeze::Rules rules = rules_;
    if (fault_ == FreezeFault::kAnyEmergency) {
      for (size_t i = 0; i < freeze::kChangeKindCount; ++i)
        rules.emergency_kinds.push_back(static_cast<ChangeKind>(i));
    }
    return rules;
  }

  Seen& See(Seen::What what) {
    Seen seen;
    seen.at = time_.now();
    seen.what = what;
    played_.history.push_back(std::move(seen));
    return played_.history.back();
  }

  Micros Way() {
    if (quiet_) return 5 * kMs;
    return time_.Chance(0.03) ? time_.Between(0, 3 * kSecond) : time_.Between(1 * kMs, 40 * kMs);
  }
  void Send(const std::function<void()>& what) {
    if (!quiet_ && time_.Chance(options_.loss)) return;
    time_.After(Way(), what);
    if (!quiet_ && time_.Chance(0.05)) time_.After(Way(), what);
  }

  Scope DrawScope(const Hand* hand) {
    const std::string& zone = kZones[time_.Below(2)];
    switch (time_.Below(hand != nullptr ? 6 : 4)) {
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
        const size_t i = hand != nullptr ? static_cast<size_t>(hand - hands_.data()) : time_.Below(kHands);
        return Scope::Balancer(hands_[i].who.name, hands_[i].zone);
      }
    }
  }

  // The council.
  void TakeOffice() {
    ++played_.leaders;
    leads_ = true;
    See(Seen::What::kMajority).up = true;
    leader_clock_ = DriftingClock::Drawn(time_, options_.apart);
    lapse_.BecomeLeader(leader_clock_.Read(time_.now()), state_.Leases());
    if (fault_ == FreezeFault::kNotAnew) {
      for (const owner::Lease& lease : state_.Leases()) Apply(freeze::MakeExpireCommand(lease));
    }
    time_.After(time_.Between(2 * kSecond, 10 * kSecond), [this] {
      if (quiet_) return;
      leads_ = false;
      See(Seen::What::kMajority).up = false;
      time_.After(time_.Between(100 * kMs, 3 * kSecond), [this] { TakeOffice(); });
    });
  }

  void TickLeader() {
    time_.After(kTick, [this] { TickLeader(); });
    if (!leads_) return;
    const Micros now = leader_clock_.Read(time_.now());
    for (const owner::Lease& lease : lapse_.Due(now)) {
      const Command command = freeze::MakeExpireCommand(lease);
      // A renewal that is on its way may overtake it: the worst moment is right after that.
      if (lease.epoch == 0 && time_.Chance(0.5)) {
        held_[command.change] = command;
      } else {
        time_.After(time_.Between(0, 30 * kMs), [this, command] { Apply(command); });
      }
    }
    for (const Command& command : state_.IncidentsDue(now)) Apply(command);
    if (!quiet_ && time_.Chance(0.003) && !state_.changes().empty()) {
      auto change = state_.changes().begin();
      std::advance(change, time_.Below(state_.changes().size()));
      Command command;
      command.kind = Command::Kind::kTakeOver;
      command.change = change->first;
      command.to = hands_[time_.Below(kHands)].who;
      command.by = "anna";
      command.reason = "its owner is gone";
      Apply(command);
    }
  }

  void Apply(const Command& command) {
    if (!leads_) return;
    index_ += 1 + (time_.Chance(0.1) ? time_.Below(5) : 0);
    // As it goes over the wire and into the log.
    const std::optional<Command> read = freeze::ReadCommand(freeze::Write(command));
    if (!read) return;  // refused before it comes so far
    const freeze::Effects effects = state_.Apply(index_, leader_clock_.Read(time_.now()), *read);
    if (fault_ == FreezeFault::kNone && time_.Chance(0.01)) state_ = *freeze::State::Load(state_.Save());
    freeze::TrackLeases(lapse_, leader_clock_.Read(time_.now()), effects);
    for (const Effect& effect : effects) {
      Witness(effect);
      Send([this, effect] { Deliver(effect); });
      if (effect.what != Effect::What::kRenewed && effect.what != Effect::What::kGranted) continue;
      const auto held = held_.find(effect.change);
      if (held == held_.end()) continue;
      time_.After(time_.Between(0, 200 * kMs), [this, command = held->second] { Apply(command); });
      held_.erase(held);
    }
  }

  // What a watcher of the log sees.
  void Witness(const Effect& effect) {
    switch (effect.what) {
      case Effect::What::kBegun: {
        if (!begun_.insert(effect.change).second) return;  // told again
        ++played_.changes;
        Seen& seen = See(Seen::What::kChangeBegan);
        seen.change = effect.change;
        seen.change_kind = effect.change_kind;
        seen.scope = effect.scope;
        const auto change = state_.changes().find(effect.change);
        if (change != state_.changes().end()) seen.undoes = change->second.undoes;
        if (change != state_.changes().end() && !change->second.overridden_incidents.empty()) {
          See(Seen::What::kGlass).change = effect.change;
        }
        return;
      }
      case Effect::What::kEnded: {
        // Told again to one that asks about a change of old.
        if (effect.request != 0) return;
        played_.abandoned += effect.end == freeze::End::kAbandoned ? 1 : 0;
        Seen& seen = See(Seen::What::kChangeEnded);
        seen.change = effect.change;
        seen.end = effect.end;
        seen.error = effect.error;
        return;
      }
      case Effect::What::kGranted: {
        ++played_.grants;
        Seen& seen = See(Seen::What::kOwned);
        seen.work = "change " + std::to_string(effect.change) + " step " + std::to_string(effect.step);
        seen.who = effect.who;
        seen.epoch = effect.epoch;
        return;
      }
      case Effect::What::kTransferred:
        ++played_.taken;
        return;
      case Effect::What::kOpened: {
        if (!stood_.insert(effect.incident).second) return;
        Seen& seen = See(Seen::What::kIncidentStands);
        seen.incident = effect.incident;
        seen.incident_kind = effect.incident_kind;
        seen.scope = effect.scope;
        return;
      }
      case Effect::What::kIncidentInForce:
        ++played_.yes;
        played_.yes_waited += effect.waited > 0 ? 1 : 0;
        See(Seen::What::kIncidentYes).incident = effect.incident;
        return;
      case Effect::What::kIncidentClosed:
        See(Seen::What::kIncidentOver).incident = effect.incident;
        return;
      case Effect::What::kOverride:
        ++played_.glass;
        // A change that breaks it in its question has not begun yet: kBegun follows.
        if (begun_.contains(effect.change)) See(Seen::What::kGlass).change = effect.change;
        return;
      case Effect::What::kEmergencyRecorded: {
        Seen& seen = See(Seen::What::kNoted);
        seen.place = effect.who.name;
        seen.number = effect.number;
        return;
      }
      default:
        return;
    }
  }

  void Deliver(const Effect& effect) {
    if (effect.what == Effect::What::kOpened || effect.what == Effect::What::kIncidentInForce ||
        effect.what == Effect::What::kIncidentClosed) {
      for (Opener& opener : openers_) {
        if (effect.incident_kind != opener.said.incident_kind || effect.scope != opener.said.scope) continue;
        opener.incident = effect.incident;
        if (effect.what == Effect::What::kIncidentClosed) opener.open = false;
      }
      return;
    }
    for (size_t i = 0; i < kHands; ++i) {
      Hand& hand = hands_[i];
      if (hand.who.name != effect.who.name) continue;
      if (time_.now() < hand.still_until) {
        time_.At(hand.still_until, [this, effect] { Deliver(effect); });
        return;
      }
      if (time_.now() < hand.slow_until) {
        time_.At(hand.slow_until, [this, effect] { Deliver(effect); });
        return;
      }
      hand.gate->OnApplied(effect);
      if (hand.who.incarnation == effect.who.incarnation) Hear(i, effect);
    }
  }

  // Hands.
  void Out(const Hand& hand, const Command& command) {
    time_.At(std::max(time_.now(), quiet_ ? 0 : hand.mute_until),
             [this, command] { Send([this, command] { Apply(command); }); });
  }

  void Say(size_t i, Command command) {
    Hand& hand = hands_[i];
    command.who = hand.who;
    command.request = ++hand.requests;
    hand.asked[command.request] = hand.clock.Read(time_.now());
    while (hand.asked.size() > 64) hand.asked.erase(hand.asked.begin());
    Out(hand, command);
    if (command.kind == Command::Kind::kRenew) return;
    hand.said = std::move(command);
    hand.said_at = time_.now();
  }

  Command OfChange(const Hand& hand, Command::Kind kind) const {
    Command command;
    command.kind = kind;
    command.change = hand.change;
    return command;
  }

  void Drop(Hand& hand) {
    hand.phase = Hand::Phase::kIdle;
    hand.change = 0;
    hand.let_go = false;
  }

  void StopStep(size_t i) {
    Hand& hand = hands_[i];
    if (hand.phase != Hand::Phase::kStepping) return;
    Seen& seen = See(Seen::What::kStepEnded);
    seen.change = hand.change;
    seen.place = hand.who.name;
    hand.permit.OnStepEnded();
  }

  void Hear(size_t i, const Effect& effect) {
    Hand& hand = hands_[i];
    const auto asked = hand.asked.find(effect.request);
    const bool own = asked != hand.asked.end();
    const bool answers = own && effect.request == hand.said.request;
    const Micros since = !own                                      ? 0
                         : fault_ == FreezeFault::kLeaseFromAnswer ? hand.clock.Read(time_.now())
                                                                   : asked->second;
    using Phase = Hand::Phase;
    switch (effect.what) {
      case Effect::What::kBegun:
        if (!answers || hand.phase != Phase::kAsking) return;
        hand.permit.OnEffect(since, effect);
        hand.change = effect.change;
        hand.next = 0;
        hand.undoing = false;
        MayGoOn(hand);
        Between(i);
        Answered(hand, Error::kNone);
        return;
      case Effect::What::kRenewed:
        if (hand.change != effect.change) return;
        if (own) {
          hand.permit.OnEffect(since, effect);
          MayGoOn(hand);
        }
        if (hand.phase == Phase::kTaking ||
            (answers && (hand.phase == Phase::kTelling || hand.phase == Phase::kUndoing))) {
          hand.undoing = effect.undoing;
          hand.next = hand.undoing ? effect.step - 1 : effect.step;
          Between(i);
        }
        return;
      case Effect::What::kGranted:
        if (!answers || hand.phase != Phase::kAskingStep) return;
        hand.permit.OnEffect(since, effect);
        hand.phase = Phase::kGranted;
        hand.act_at =
            time_.now() + (time_.Chance(0.3) ? time_.Between(0, 1500 * kMs) : time_.Between(0, 50 * kMs));
        return;
      case Effect::What::kGrantEnded:
        hand.permit.OnEffect(0, effect);
        return;
      case Effect::What::kTransferred:
        if (hand.phase != Phase::kIdle) return;
        hand.permit.OnEffect(0, effect);
        hand.change = effect.change;
        hand.phase = Phase::kTaking;
        hand.keep_at = 0;
        hand.act_at = time_.now() + 3 * kSecond;
        return;
      case Effect::What::kHold:
        if (effect.change == hand.change && effect.error == Error::kHandedOver) hand.let_go = true;
        return;
      case Effect::What::kEnded:
        if (hand.phase == Phase::kAsking && answers) {
          Answered(hand, Error::kNone);
          return Drop(hand);
        }
        if (effect.change != hand.change || hand.change == 0) return;
        StopStep(i);
        hand.permit.OnEffect(0, effect);
        return Drop(hand);
      case Effect::What::kRefused:
        if (answers) Refused(i, effect);
        return;
      default:
        return;
    }
  }

  void Answered(const Hand& hand, Error error) {
    Seen& seen = See(Seen::What::kAnswered);
    seen.place = hand.who.name;
    seen.number = hand.said.request;
    seen.error = error;
  }

  void MayGoOn(const Hand& hand) {
    Seen& seen = See(Seen::What::kMayGoOn);
    seen.change = hand.change;
    seen.until = hand.clock.When(hand.permit.continue_until()) - 2;  // rounded down
  }

  void Between(size_t i) {
    Hand& hand = hands_[i];
    hand.phase = Hand::Phase::kBetween;
    hand.act_at = time_.now() + time_.Between(0, 300 * kMs);
  }

  void Refused(size_t i, const Effect& effect) {
    Hand& hand = hands_[i];
    using Phase = Hand::Phase;
    if (hand.phase == Phase::kAsking) {
      Answered(hand, effect.error);
      return Drop(hand);
    }
    // Of a question that is over.
    if (hand.phase == Phase::kIdle || hand.phase == Phase::kTaking || hand.phase == Phase::kStepping ||
        hand.phase == Phase::kGranted) {
      return;
    }
    if (effect.error == Error::kFrozen && !quiet_) {
      const uint64_t draw = time_.Below(10);
      if (draw < 1) {
        // By name and reason.
        Command command = OfChange(hand, Command::Kind::kStep);
        command.step = hand.next;
        command.undoing = hand.undoing;
        command.by = "anna";
        command.reason = "it is the way out";
        Say(i, command);
        return;
      }
      if (draw < 4 && !hand.undoing) {
        hand.phase = Phase::kUndoing;
        Say(i, OfChange(hand, Command::Kind::kUndo));
        return;
      }
      hand.let_go = draw < 5;
    }
    if (effect.error == Error::kUnknownChange || effect.error == Error::kNotOwner) return Drop(hand);
    if (effect.error == Error::kHandedOver) hand.let_go = true;
    if (effect.error == Error::kWrongStep) {
      hand.next = effect.step;
      hand.undoing = effect.undoing;
    }
    Between(i);
    hand.act_at += 300 * kMs;
  }

  void Stand(Hand& hand) {
    ++played_.pauses;
    // Whoever stands still waits for no answer.
    if (hand.phase == Hand::Phase::kAsking) {
      Seen& seen = See(Seen::What::kWentAway);
      seen.place = hand.who.name;
      seen.number = hand.said.request;
    }
    constexpr Micros kSpans[] = {200 * kMs, 2 * kSecond, 3500 * kMs, 30 * kSecond};
    hand.still_until = time_.now() + kSpans[time_.Below(4)];
  }

  void Die(size_t i) {
    Hand& hand = hands_[i];
    ++played_.deaths;
    StopStep(i);
    if (hand.phase == Hand::Phase::kAsking) {
      Seen& seen = See(Seen::What::kWentAway);
      seen.place = hand.who.name;
      seen.number = hand.said.request;
    }
    // Its disk keeps what it did without the council.
    const std::string kept = hand.gate->Save();
    ++hand.who.incarnation;
    hand.gate.emplace(GateRules(), hand.who);
    hand.gate->Load(kept);
    hand.asked.clear();
    hand.permit = freeze::StepPermit();
    Drop(hand);
    hand.still_until = time_.now() + time_.Between(0, 4 * kSecond);
  }

  void Ask(size_t i) {
    Hand& hand = hands_[i];
    Command command;
    command.kind = Command::Kind::kBegin;
    command.change_kind = static_cast<ChangeKind>(time_.Below(freeze::kChangeKindCount));
    command.scope = DrawScope(&hand);
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
    hand.phase = Hand::Phase::kAsking;
    Say(i, command);
    Seen& seen = See(Seen::What::kAsked);
    seen.place = hand.who.name;
    seen.number = hand.said.request;
    seen.change_kind = command.change_kind;
    seen.scope = command.scope;
    seen.undoes = command.undoes;
  }

  void BeginStep(size_t i) {
    Hand& hand = hands_[i];
    if (hand.permit.MayBegin(hand.clock.Read(time_.now())) != Error::kNone &&
        fault_ != FreezeFault::kNoLook) {
      hand.epoch = hand.permit.epoch();
      hand.permit.OnStepEnded();
      hand.phase = Hand::Phase::kTelling;
      Command command = OfChange(hand, Command::Kind::kStepReturned);
      command.epoch = hand.epoch;
      Say(i, command);
      return;
    }
    ++played_.steps;
    hand.permit.OnBegun(hand.clock.Read(time_.now()));
    hand.epoch = hand.permit.epoch();
    hand.phase = Hand::Phase::kStepping;
    hand.act_at = time_.now() + time_.Between(10 * kMs, 3 * kSecond);
    Seen& seen = See(Seen::What::kStepBegan);
    seen.change = hand.change;
    seen.step = hand.permit.step();
    seen.place = hand.who.name;
    seen.undoing = hand.undoing;
    if (fault_ != FreezeFault::kGoesOn) Halt(i, hand.change, hand.epoch);
    if (!quiet_ && time_.Chance(0.05)) Stand(hand);
  }

  // A step goes no further than the change's lease on the own clock, also where nobody looks: one who stands
  // still does nothing, and looks first when it wakes.
  void Halt(size_t i, uint64_t change, uint64_t epoch) {
    time_.At(hands_[i].clock.When(hands_[i].permit.continue_until()), [this, i, change, epoch] {
      Hand& hand = hands_[i];
      if (hand.phase != Hand::Phase::kStepping || hand.change != change || hand.epoch != epoch) return;
      if (hand.permit.MayContinue(hand.clock.Read(time_.now())) == Error::kNone) {
        Halt(i, change, epoch);
        return;
      }
      StopStep(i);
      Drop(hand);
    });
  }

  void TickHand(size_t i) {
    Hand& hand = hands_[i];
    using Phase = Hand::Phase;
    time_.At(std::max(hand.still_until, time_.now()) + kTick, [this, i] { TickHand(i); });
    if (time_.now() < hand.still_until) return;
    if (!quiet_ && time_.Chance(0.001)) return Die(i);
    if (!quiet_ && time_.Chance(0.003)) return Stand(hand);
    if (!quiet_ && time_.Chance(0.004)) hand.slow_until = time_.now() + time_.Between(500 * kMs, 4 * kSecond);
    if (!quiet_ && time_.Chance(0.002)) hand.mute_until = time_.now() + time_.Between(kSecond, 8 * kSecond);
    if (fault_ != FreezeFault::kEmergencyNotTold && time_.Chance(0.1)) {
      for (const Command& command : hand.gate->Unconfirmed()) {
        Send([this, command] { Apply(command); });
      }
    }
    if (!leads_ && time_.Chance(0.02)) {
      const auto kind = static_cast<ChangeKind>(time_.Below(freeze::kChangeKindCount));
      const Scope scope = Scope::Balancer(hand.who.name, hand.zone);
      const freeze::LocalGate::Answer answer = hand.gate->Ask(kind, scope, "anna", "it burns", {"v0", "v2"});
      if (answer.error == Error::kNone) {
        ++played_.emergencies;
        Seen& seen = See(Seen::What::kEmergency);
        seen.place = hand.who.name;
        seen.number = answer.number;
        seen.change_kind = kind;
        seen.scope = scope;
      }
    }
    if (hand.phase != Phase::kIdle && hand.phase != Phase::kAsking &&
        hand.clock.Read(time_.now()) >= hand.keep_at) {
      hand.keep_at = hand.clock.Read(time_.now()) + rules_.change_lease / 4;
      Say(i, OfChange(hand, Command::Kind::kRenew));
    }
    const bool due = time_.now() >= hand.act_at;
    switch (hand.phase) {
      case Phase::kIdle:
        if (!quiet_ && time_.Chance(0.04)) Ask(i);
        return;
      case Phase::kAsking:
      case Phase::kAskingStep:
      case Phase::kTelling:
      case Phase::kUndoing:
        // The same question again: of its tries the first counts.
        if (time_.now() - hand.said_at < kAgain) return;
        hand.said_at = time_.now();
        Out(hand, hand.said);
        return;
      case Phase::kTaking:
        if (due) Drop(hand);
        return;
      case Phase::kBetween: {
        if (!due) return;
        if (hand.let_go || (!quiet_ && time_.Chance(0.03))) {
          Say(i, OfChange(hand, Command::Kind::kAbandon));
          return Drop(hand);
        }
        if (!hand.undoing && time_.Chance(0.05)) {
          hand.phase = Phase::kUndoing;
          Say(i, OfChange(hand, Command::Kind::kUndo));
          return;
        }
        Command command = OfChange(hand, Command::Kind::kStep);
        command.step = hand.next;
        command.undoing = hand.undoing;
        hand.phase = Phase::kAskingStep;
        Say(i, command);
        return;
      }
      case Phase::kGranted:
        if (due) BeginStep(i);
        return;
      case Phase::kStepping: {
        if (!due) return;
        StopStep(i);
        hand.phase = Phase::kTelling;
        Command command = OfChange(hand, Command::Kind::kStepDone);
        command.epoch = hand.epoch;
        Say(i, command);
        return;
      }
    }
  }

  void TickOpener(size_t i) {
    Opener& opener = openers_[i];
    time_.After(kTick, [this, i] { TickOpener(i); });
    if (quiet_ && !state_.incidents().empty()) {
      // Those whose opener has gone are closed by somebody else.
      Command command;
      command.kind = Command::Kind::kCloseIncident;
      command.incident = state_.incidents().begin()->first;
      command.by = "anna";
      command.reason = "over";
      Apply(command);
      return;
    }
    if (!opener.open) {
      if (quiet_ || !time_.Chance(0.01)) return;
      opener.open = true;
      opener.incident = 0;
      opener.said = Command();
      opener.said.kind = Command::Kind::kOpenIncident;
      opener.said.incident_kind = static_cast<IncidentKind>(time_.Below(freeze::kIncidentKindCount));
      opener.said.scope = DrawScope(nullptr);
      opener.said.by = std::string("o").append(std::to_string(i));
      opener.said.reason = "queries are lost";
      // Often about what is going on right now.
      if (time_.Chance(0.5) && !state_.changes().empty()) {
        auto change = state_.changes().begin();
        std::advance(change, time_.Below(state_.changes().size()));
        for (auto at = state_.changes().begin(); at != state_.changes().end(); ++at) {
          if (at->second.grant && time_.Chance(0.7)) change = at;
        }
        opener.said.scope = change->second.scope;
      }
      opener.said.duration = time_.Chance(0.3) ? time_.Between(kSecond, 6 * kSecond) : 0;
      opener.said_at = 0;
      opener.close_at = time_.now() + time_.Between(500 * kMs, 8 * kSecond);
      // It may die before it hears the yes; what it opened ends by itself, or another closes it.
      if (time_.Chance(0.1)) opener.said.duration = 5 * kSecond;
    }
    if (opener.incident == 0 && time_.now() - opener.said_at >= kAgain) {
      opener.said_at = time_.now();
      Send([this, command = opener.said] { Apply(command); });
    } else if (opener.incident != 0 && (quiet_ || time_.now() >= opener.close_at) &&
               time_.now() - opener.said_at >= kAgain) {
      opener.said_at = time_.now();
      Command command;
      command.kind = Command::Kind::kCloseIncident;
      command.incident = opener.incident;
      command.by = opener.said.by;
      command.reason = "over";
      Send([this, command] { Apply(command); });
      if (time_.now() >= opener.close_at + 5 * kSecond) opener.open = false;
    }
  }

  const PlayOptions options_;
  const FreezeFault fault_;
  Timeline time_;
  Played played_;
  freeze::Rules rules_;
  freeze::State state_;
  uint64_t index_ = 0;
  bool leads_ = false;
  bool quiet_ = false;
  DriftingClock leader_clock_;
  owner::LeaseExpiry lapse_;
  std::vector<Hand> hands_;
  std::vector<Opener> openers_;
  std::map<uint64_t, Command> held_;  // by change: run-outs that wait to be overtaken
  std::set<uint64_t> begun_;
  std::set<uint64_t> stood_;
};

}  // namespace

const char* NameOf(FreezeFault fault) {
  constexpr const char* kNames[] = {
      "none",         "yes_at_once", "by_kind_only",       "stale_run_out", "grants_in_incident",
      "epoch_reused", "two_ends",    "lease_from_answer",  "no_drift",      "not_anew",
      "no_look",      "goes_on",     "emergency_not_told", "any_emergency"};
  return kNames[static_cast<size_t>(fault)];
}

Played PlayChanges(const PlayOptions& options, FreezeFault fault) { return ChangePlay(options, fault).Run(); }

}  // namespace burlfall::lab
