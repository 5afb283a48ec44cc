// Tests of the change-freeze state machine, its scopes and the permits of a process that carries out a
// change.
#include "freeze/freeze.h"

#include <gtest/gtest.h>

#include "freeze/permit.h"

namespace burlfall::freeze {
namespace {

using Kind = Command::Kind;
using What = Effect::What;
const ProcessId kA{"a", 1}, kB{"b", 1};
const Scope kNode = Scope::Node("n1", "z0", "g0");

class Freeze : public ::testing::Test {
 protected:
  Effects Do(const Command& command) {
    // Encodes and decodes the command, as the log does.
    return state_.Apply(++index_, at_, *ReadCommand(Write(command)));
  }
  Command Make(Kind kind, const ProcessId& who, uint64_t change = 0) {
    Command command;
    command.kind = kind;
    command.who = who;
    command.change = change;
    command.request = ++requests_;
    return command;
  }
  Command MakeBegin(const ProcessId& who, ChangeKind kind, const Scope& scope, size_t steps = 1) {
    Command command = Make(Kind::kBegin, who);
    command.change_kind = kind;
    command.scope = scope;
    command.steps.assign(steps, "step");
    return command;
  }
  // Returns the id of the change.
  uint64_t Begin(const ProcessId& who, ChangeKind kind, const Scope& scope, size_t steps = 1) {
    const Effects effects = Do(MakeBegin(who, kind, scope, steps));
    EXPECT_EQ(effects.back().what, What::kBegun) << NameOf(effects.back().error);
    return effects.back().change;
  }
  Error Refused(const Command& command) {
    const Effects effects = Do(command);
    return effects.empty() || effects.back().what != What::kRefused ? Error::kNone : effects.back().error;
  }
  Command MakeStep(const ProcessId& who, uint64_t change, uint32_t step = 0) {
    Command command = Make(Kind::kStep, who, change);
    command.step = step;
    const auto known = state_.changes().find(change);
    command.undoing = known != state_.changes().end() && known->second.undoing;
    return command;
  }
  // Returns the epoch of the grant.
  uint64_t GrantStep(const ProcessId& who, uint64_t change, uint32_t step = 0) {
    const Effects effects = Do(MakeStep(who, change, step));
    EXPECT_EQ(effects[0].what, What::kGranted) << NameOf(effects[0].error);
    return effects[0].epoch;
  }
  Effects Done(const ProcessId& who, uint64_t change, uint64_t epoch, Kind kind = Kind::kStepDone) {
    Command command = Make(kind, who, change);
    command.epoch = epoch;
    return Do(command);
  }
  Command MakeOpen(IncidentKind kind, const Scope& scope, Micros duration = 0) {
    Command command = Make(Kind::kOpenIncident, {});
    command.incident_kind = kind;
    command.scope = scope;
    command.by = "anna";
    command.reason = "queries are lost";
    command.duration = duration;
    return command;
  }
  Effects Close(uint64_t incident) {
    Command command = Make(Kind::kCloseIncident, {});
    command.incident = incident;
    command.by = "anna";
    command.reason = "over";
    return Do(command);
  }
  static size_t Count(const Effects& effects, What what) {
    size_t count = 0;
    for (const Effect& effect : effects) count += effect.what == what ? 1 : 0;
    return count;
  }

  uint64_t index_ = 100;
  uint64_t requests_ = 0;
  Micros at_ = 0;
  State state_;
};

TEST(Scopes, OverlapWhereOneContainsTheOtherOrTheyIntersect) {
  const Scope balancer = Scope::Balancer("b1", "z0");
  EXPECT_TRUE(Overlap(Scope::Site(), balancer));
  EXPECT_TRUE(Overlap(Scope::Zone("z0"), balancer));
  EXPECT_FALSE(Overlap(Scope::Zone("z1"), balancer));
  EXPECT_TRUE(Overlap(Scope::Zone("z0"), kNode));
  EXPECT_TRUE(Overlap(Scope::Group("g0"), kNode));
  EXPECT_FALSE(Overlap(Scope::Group("g1"), kNode));
  EXPECT_TRUE(Overlap(Scope::Group("g0"), Scope::Zone("z1")));  // the group may extend into the zone
  EXPECT_FALSE(Overlap(Scope::Group("g0", "z0"), Scope::Zone("z1")));
  EXPECT_FALSE(Overlap(kNode, balancer));
  EXPECT_FALSE(Overlap(Scope::Group("g0"), balancer));
  EXPECT_TRUE(Overlap(Scope::Zone("z1"), Scope::Node("n9", "", "g0")));  // the zone of the node is not known
}

TEST_F(Freeze, AChangeGoesStepByStepToItsOneEnd) {
  const uint64_t id = Begin(kA, ChangeKind::kUpgrade, Scope::Zone("z0"), 2);
  EXPECT_EQ(Refused(MakeStep(kA, id, 1)), Error::kWrongStep);
  EXPECT_EQ(Refused(MakeStep(kB, id)), Error::kNotOwner);
  const uint64_t first = GrantStep(kA, id);
  EXPECT_EQ(Refused(MakeStep(kA, id)), Error::kGrantOut);
  EXPECT_EQ(Done(kA, id, first)[0].what, What::kGrantEnded);
  EXPECT_EQ(Done(kA, id, first)[0].what, What::kRenewed);  // reported twice
  const uint64_t second = GrantStep(kA, id, 1);
  EXPECT_GT(second, first);
  EXPECT_EQ(Refused([&] {
              Command late = Make(Kind::kStepDone, kA, id);
              late.epoch = first;
              return late;
            }()),
            Error::kFenced);
  EXPECT_EQ(Done(kA, id, second).back().end, End::kDone);
  EXPECT_EQ(Refused(Make(Kind::kRenew, kA, id)), Error::kUnknownChange);
  EXPECT_EQ(state_.history().back().end, End::kDone);
}

TEST_F(Freeze, LostAnswersAreRepeated) {
  const Command begin = MakeBegin(kA, ChangeKind::kReload, Scope::Site());
  const uint64_t id = Do(begin).back().change;
  EXPECT_EQ(Do(begin).back().change, id);
  const Command step = MakeStep(kA, id);
  const uint64_t epoch = Do(step)[0].epoch;
  EXPECT_EQ(Do(step)[0].epoch, epoch);
  Done(kA, id, epoch);
  EXPECT_EQ(Do(begin).back().end, End::kDone);  // no second change begins
  EXPECT_TRUE(state_.changes().empty());
}

TEST_F(Freeze, ChangesWithOverlappingScopesDoNotRunTogether) {
  const uint64_t id = Begin(kA, ChangeKind::kDrain, Scope::Balancer("b1", "z0"));
  // Another kind of change, requested at another balancer at the same time.
  const Effects refused = Do(MakeBegin(kB, ChangeKind::kVoters, Scope::Zone("z0")));
  EXPECT_EQ(refused.back().error, Error::kConflict);
  EXPECT_EQ(refused.back().change, id);
  EXPECT_EQ(refused.back().end, End::kRefused);
  EXPECT_GT(refused.back().retry_after, 0);
  Begin(kB, ChangeKind::kVoters, Scope::Zone("z1"));
}

TEST_F(Freeze, LimitsHoldForBalancersOfAZoneAndNodesOfAGroup) {
  Begin(kA, ChangeKind::kDrain, Scope::Balancer("b1", "z0"));
  EXPECT_EQ(Refused(MakeBegin(kB, ChangeKind::kReload, Scope::Balancer("b2", "z0"))), Error::kLimit);
  Begin(kB, ChangeKind::kReload, Scope::Balancer("b3", "z1"));
  Begin(kA, ChangeKind::kNodeOut, Scope::Node("n1", "z0", "g0"));
  Begin(kA, ChangeKind::kNodeOut, Scope::Node("n2", "z1", "g0"));
  EXPECT_EQ(Refused(MakeBegin(kB, ChangeKind::kNodeOut, Scope::Node("n3", "z0", "g0"))), Error::kLimit);
}

TEST_F(Freeze, AnIncidentIsInForceOnlyAfterEachConflictingGrantEnded) {
  const uint64_t near_change = Begin(kA, ChangeKind::kUpgrade, Scope::Balancer("b1", "z0"), 2);
  const uint64_t node_change = Begin(kB, ChangeKind::kNodeBack, kNode);
  const uint64_t far_change = Begin(kB, ChangeKind::kReload, Scope::Balancer("b3", "z1"));
  const uint64_t epoch = GrantStep(kA, near_change);
  const uint64_t other = GrantStep(kB, node_change);
  GrantStep(kB, far_change);
  at_ = kSecond;
  const Effects opened = Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0")));
  const uint64_t incident = opened[0].incident;
  EXPECT_EQ(opened[0].pending, 2u);
  EXPECT_EQ(Count(opened, What::kHold), 2u);
  EXPECT_EQ(Count(opened, What::kIncidentInForce), 0u);
  // From here on nothing new begins in the zone; the change in the other zone continues.
  EXPECT_EQ(Refused(MakeBegin(kB, ChangeKind::kReload, Scope::Node("n8", "z0", "g1"))), Error::kFrozen);
  at_ = 2 * kSecond;
  EXPECT_EQ(Count(Done(kA, near_change, epoch), What::kIncidentInForce), 0u);
  EXPECT_EQ(Refused(MakeStep(kA, near_change, 1)), Error::kFrozen);
  at_ = 3500 * kMs;
  const Effects over = Do(MakeExpireCommand({"grant " + std::to_string(node_change), other, 0, 0}));
  ASSERT_EQ(Count(over, What::kIncidentInForce), 1u);
  EXPECT_EQ(over.back().waited, 2500 * kMs);
  // The step may have begun before the expiry: its completion is still accepted and ends the change.
  EXPECT_EQ(Done(kB, node_change, other).back().end, End::kDone);
  // Opened at two places at once: both get the same incident, and it is reported in force again.
  EXPECT_EQ(Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0"))).back().what, What::kIncidentInForce);
  EXPECT_EQ(Close(incident)[0].what, What::kIncidentClosed);
  GrantStep(kA, near_change, 1);
}

TEST_F(Freeze, RemedialChangesAreAllowed) {
  const uint64_t done = Begin(kB, ChangeKind::kReload, Scope::Balancer("b2", "z1"));
  Done(kB, done, GrantStep(kB, done));
  const uint64_t id = Begin(kA, ChangeKind::kUpgrade, Scope::Balancer("b1", "z0"), 3);
  Done(kA, id, GrantStep(kA, id));
  const uint64_t epoch = GrantStep(kA, id, 1);
  Do(MakeOpen(IncidentKind::kOperator, Scope::Site()));
  EXPECT_EQ(Refused(Make(Kind::kUndo, kA, id)), Error::kGrantOut);
  Done(kA, id, epoch, Kind::kStepReturned);
  Do(Make(Kind::kUndo, kA, id));
  EXPECT_EQ(Done(kA, id, GrantStep(kA, id, 0)).back().end, End::kUndone);
  // A change that ended before the incident may not be undone.
  Command undo = MakeBegin(kB, ChangeKind::kReload, Scope::Balancer("b2", "z1"));
  undo.undoes = done;
  EXPECT_EQ(Refused(undo), Error::kFrozen);
  undo.undoes = 7;
  undo.request = 0;
  EXPECT_EQ(Refused(undo), Error::kUnknownChange);
  // The node that the incident is about.
  Close(state_.incidents().begin()->first);
  Do(MakeOpen(IncidentKind::kEjectionCap, kNode));
  EXPECT_EQ(Refused(MakeBegin(kB, ChangeKind::kNodeBack, kNode)), Error::kFrozen);
  const uint64_t out = Begin(kB, ChangeKind::kNodeOut, kNode);
  GrantStep(kB, out);
}

TEST_F(Freeze, AChangeThatRanWhenTheIncidentOpenedMayBeUndoneAfterItsEnd) {
  const uint64_t id = Begin(kA, ChangeKind::kDrain, Scope::Balancer("b1", "z0"));
  const uint64_t epoch = GrantStep(kA, id);
  Do(MakeOpen(IncidentKind::kOperator, Scope::Site()));
  EXPECT_EQ(Done(kA, id, epoch).back().end, End::kDone);
  EXPECT_EQ(Refused(MakeBegin(kA, ChangeKind::kUndrain, Scope::Balancer("b1", "z0"))), Error::kFrozen);
  Command undo = MakeBegin(kA, ChangeKind::kUndrain, Scope::Balancer("b1", "z0"));
  undo.undoes = id;
  EXPECT_EQ(Do(undo).back().what, What::kBegun);
}

TEST_F(Freeze, AnOverrideNeedsNameAndReasonAndIsRecorded) {
  Do(MakeOpen(IncidentKind::kOperator, Scope::Site()));
  Command begin = MakeBegin(kA, ChangeKind::kRestart, Scope::Balancer("b1", "z0"));
  begin.by = "anna";
  EXPECT_EQ(Refused(begin), Error::kMalformed);  // no reason
  begin.reason = "it is the cause";
  const Effects effects = Do(begin);
  EXPECT_EQ(effects[0].what, What::kOverride);
  ASSERT_EQ(state_.overrides().size(), 1u);
  EXPECT_EQ(state_.overrides()[0].by, "anna");
  const uint64_t id = effects.back().change;
  GrantStep(kA, id);
  // An override does not cover conflicts, nor incidents that open later.
  Command other = MakeBegin(kB, ChangeKind::kReload, Scope::Balancer("b1", "z0"));
  other.by = other.reason = "anna";
  EXPECT_EQ(Refused(other), Error::kConflict);
  EXPECT_EQ(Do(MakeOpen(IncidentKind::kZoneDown, Scope::Zone("z0")))[0].pending, 1u);
}

TEST_F(Freeze, TheTableSaysWhatAnIncidentForbids) {
  Do(MakeOpen(IncidentKind::kZoneDown, Scope::Zone("z0")));
  EXPECT_EQ(Refused(MakeBegin(kA, ChangeKind::kVoters, Scope::Zone("z1"))), Error::kFrozen);  // everywhere
  Begin(kA, ChangeKind::kReload, Scope::Balancer("b3", "z1"));
  Do(MakeOpen(IncidentKind::kNoLists, Scope::Zone("z2")));
  Begin(kA, ChangeKind::kUndrain, Scope::Balancer("b5", "z2"));  // nowhere
}

TEST_F(Freeze, IncidentsOverlapNestAndOpenAgain) {
  const uint64_t site = Do(MakeOpen(IncidentKind::kOperator, Scope::Site()))[0].incident;
  const uint64_t zone = Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0"), 5 * kSecond))[0].incident;
  Command observed = MakeOpen(IncidentKind::kOperator, Scope::Zone("z0"));
  observed.observed = true;
  const uint64_t seen = Do(observed)[0].incident;
  EXPECT_NE(seen, zone);
  Close(site);
  const Command begin = MakeBegin(kA, ChangeKind::kReload, Scope::Balancer("b1", "z0"));
  EXPECT_EQ(Refused(begin), Error::kFrozen);
  // An observation closes only incidents that an observation opened.
  Command close = Make(Kind::kCloseIncident, {});
  close.by = close.reason = "sight";
  close.observed = true;
  close.incident = zone;
  EXPECT_EQ(Refused(close), Error::kUnknownIncident);
  close.incident = seen;
  EXPECT_EQ(Do(close)[0].what, What::kIncidentClosed);
  // The incident's own end time, which an extension moves.
  at_ = 4 * kSecond;
  EXPECT_TRUE(state_.IncidentsDue(at_).empty());
  const Command stale = [&] {
    Command ends;
    ends.kind = Kind::kExpireIncident;
    ends.incident = zone;
    ends.renewed_index = state_.incidents().at(zone).renewed_index;
    return ends;
  }();
  Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0"), 5 * kSecond));
  at_ = 6 * kSecond;
  EXPECT_TRUE(Do(stale).empty());
  at_ = 9 * kSecond;
  ASSERT_EQ(state_.IncidentsDue(at_).size(), 1u);
  EXPECT_EQ(Do(state_.IncidentsDue(at_)[0])[0].what, What::kIncidentClosed);
  const uint64_t again = Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0")))[0].incident;
  EXPECT_GT(again, zone);
}

TEST_F(Freeze, TheLeaseOfADeadOwnerExpiresAndFreesItsScope) {
  for (const uint32_t died_after : {0u, 1u, 2u}) {
    const uint64_t id = Begin(kA, ChangeKind::kDrain, Scope::Balancer("b1", "z0"), 3);
    for (uint32_t step = 0; step < died_after; ++step) Done(kA, id, GrantStep(kA, id, step));
    GrantStep(kA, id, died_after);
    const uint64_t renewed_index = state_.changes().at(id).renewed_index;
    EXPECT_TRUE(Do(MakeExpireCommand({"change " + std::to_string(id), 0, renewed_index - 1, 0}))
                    .empty());  // overtaken
    const Effects over = Do(MakeExpireCommand({"change " + std::to_string(id), 0, renewed_index, 0}));
    EXPECT_EQ(Count(over, What::kGrantEnded), 1u);
    EXPECT_EQ(over.back().end, End::kAbandoned);
    EXPECT_EQ(over.back().step, died_after);
    EXPECT_TRUE(state_.changes().empty());
  }
}

TEST_F(Freeze, ATakeOverWaitsForTheOldOwnersLease) {
  const uint64_t id = Begin(kA, ChangeKind::kDrain, Scope::Balancer("b1", "z0"), 2);
  const uint64_t epoch = GrantStep(kA, id);
  Command take = Make(Kind::kTakeOver, {}, id);
  take.to = kB;
  take.by = "anna";
  take.reason = "its owner is gone";
  EXPECT_EQ(Do(take)[0].what, What::kHold);
  EXPECT_EQ(Refused(MakeStep(kB, id)), Error::kNotOwner);
  EXPECT_EQ(Refused(Make(Kind::kRenew, kA, id)), Error::kHandedOver);
  const Effects taken =
      Do(MakeExpireCommand({"change " + std::to_string(id), 0, state_.changes().at(id).renewed_index, 0}));
  EXPECT_EQ(taken.back().what, What::kTransferred);
  EXPECT_EQ(taken.back().who, kB);
  EXPECT_EQ(Refused([&] {
              Command late = Make(Kind::kStepDone, kA, id);
              late.epoch = epoch;
              return late;
            }()),
            Error::kNotOwner);
  // A step that the old owner may have begun is undone as well.
  Do(Make(Kind::kUndo, kB, id));
  Command forward = MakeStep(kB, id);
  forward.undoing = false;
  EXPECT_EQ(Refused(forward), Error::kWrongStep);  // it would be carried out in the wrong direction
  EXPECT_EQ(Done(kB, id, GrantStep(kB, id, 0)).back().end, End::kUndone);
}

TEST_F(Freeze, ACoordinatorOfAnEarlierEpochIsFenced) {
  Command open = MakeOpen(IncidentKind::kNoLists, Scope::Site());
  open.observed = true;
  open.coordinator = 9;
  EXPECT_EQ(Do(open)[0].what, What::kOpened);
  open.coordinator = 8;
  EXPECT_EQ(Refused(open), Error::kFenced);
}

TEST_F(Freeze, RetainedStateIsBounded) {
  Command rules;
  rules.kind = Kind::kRules;
  rules.rules.max_changes = 2;
  rules.rules.max_incidents = 1;
  rules.rules.max_history = 8;
  rules.rules.max_overrides = 1;
  Do(rules);
  for (int i = 0; i < 50; ++i) {
    const Scope scope = Scope::Node(std::string("n").append(std::to_string(i)), "z0",
                                    std::string("g").append(std::to_string(i)));
    const uint64_t id = Begin(kA, ChangeKind::kReload, scope);
    for (int j = 0; j < 5; ++j) Refused(MakeBegin(kB, ChangeKind::kReload, scope));
    Done(kA, id, GrantStep(kA, id));
  }
  EXPECT_EQ(state_.history().size(), 8u);
  size_t done = 0;
  for (const HistoryEntry& entry : state_.history()) done += entry.end == End::kDone ? 1 : 0;
  EXPECT_GE(done, 6u);  // refusals don't evict it
  Begin(kA, ChangeKind::kReload, Scope::Zone("z1"));
  Begin(kA, ChangeKind::kReload, Scope::Zone("z2"));
  EXPECT_EQ(Refused(MakeBegin(kA, ChangeKind::kReload, Scope::Zone("z3"))), Error::kTooMany);
  Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0")));
  EXPECT_EQ(Refused(MakeOpen(IncidentKind::kOperator, Scope::Zone("z1"))), Error::kTooMany);
}

TEST_F(Freeze, SaveAndLoadPreserveTheState) {
  const uint64_t id = Begin(kA, ChangeKind::kUpgrade, Scope::Balancer("b1", "z0"), 2);
  GrantStep(kA, id);
  Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0"), kSecond));
  Command begin = MakeBegin(kB, ChangeKind::kNodeOut, kNode);
  begin.by = begin.reason = "anna";
  Do(begin);
  const std::string bytes = state_.Save();
  const std::optional<State> loaded = State::Load(bytes);
  ASSERT_TRUE(loaded);
  EXPECT_EQ(loaded->Save(), bytes);
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string corrupted = bytes;
    corrupted[i] = static_cast<char>(corrupted[i] ^ 4);
    EXPECT_FALSE(State::Load(corrupted)) << i;
    EXPECT_FALSE(State::Load(std::string_view(bytes).substr(0, i))) << i;
  }
}

TEST(Permits, CountFromBeforeTheRequestAndAllowOneBegin) {
  StepPermit permit;
  Effect effect;
  effect.what = What::kBegun;
  effect.change = 7;
  effect.lease = 30 * kSecond;
  permit.OnEffect(0, effect);
  EXPECT_EQ(permit.MayBegin(0), Error::kNotOwner);
  effect.what = What::kGranted;
  effect.epoch = 9;
  effect.lease = 2 * kSecond;
  permit.OnEffect(kSecond, effect);
  EXPECT_EQ(permit.MayBegin(2999 * kMs), Error::kNone);
  EXPECT_EQ(permit.MayBegin(3 * kSecond), Error::kLeaseOver);
  EXPECT_EQ(permit.OnBegun(2999 * kMs), Error::kNone);
  EXPECT_EQ(permit.MayBegin(2999 * kMs), Error::kWrongStep);
  // A step under way continues as long as the process owns the change.
  EXPECT_EQ(permit.MayContinue(29 * kSecond), Error::kNone);
  EXPECT_EQ(permit.MayContinue(30 * kSecond), Error::kLeaseOver);
  effect.what = What::kRenewed;
  effect.lease = 30 * kSecond;
  permit.OnEffect(20 * kSecond, effect);
  EXPECT_EQ(permit.MayContinue(49 * kSecond), Error::kNone);
  permit.OnStepEnded();
  // Paused between the check and the action: detected after it.
  effect.what = What::kGranted;
  effect.epoch = 12;
  effect.lease = 2 * kSecond;
  permit.OnEffect(30 * kSecond, effect);
  EXPECT_EQ(permit.MayBegin(31 * kSecond), Error::kNone);
  EXPECT_EQ(permit.OnBegun(40 * kSecond), Error::kLeaseOver);
  effect.what = What::kEnded;
  permit.OnEffect(0, effect);
  EXPECT_EQ(permit.MayContinue(31 * kSecond), Error::kNotOwner);
}

}  // namespace
}  // namespace burlfall::freeze
