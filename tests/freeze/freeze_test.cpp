#include "freeze/freeze.h"

#include <gtest/gtest.h>

#include "freeze/permit.h"

namespace burlfall::freeze {
namespace {

using Kind = Command::Kind;
using What = Effect::What;
const Who kA{"a", 1}, kB{"b", 1};
const Scope kNode = Scope::Node("n1", "z0", "g0");

class Freeze : public ::testing::Test {
 protected:
  Effects Do(const Command& command) {
    // As it comes out of the log.
    return state_.Apply(++index_, at_, *ReadCommand(Write(command)));
  }
  Command Make(Kind kind, const Who& who, uint64_t change = 0) {
    Command command;
    command.kind = kind;
    command.who = who;
    command.change = change;
    command.request = ++requests_;
    return command;
  }
  Command MakeAsk(const Who& who, ChangeKind kind, const Scope& scope, size_t steps = 1) {
    Command command = Make(Kind::kAsk, who);
    command.change_kind = kind;
    command.scope = scope;
    command.steps.assign(steps, "step");
    return command;
  }
  // Its id.
  uint64_t Begin(const Who& who, ChangeKind kind, const Scope& scope, size_t steps = 1) {
    const Effects effects = Do(MakeAsk(who, kind, scope, steps));
    EXPECT_EQ(effects.back().what, What::kBegun) << NameOf(effects.back().error);
    return effects.back().change;
  }
  Error Refused(const Command& command) {
    const Effects effects = Do(command);
    return effects.empty() || effects.back().what != What::kRefused ? Error::kNone : effects.back().error;
  }
  Command MakeStep(const Who& who, uint64_t change, uint32_t step = 0) {
    Command command = Make(Kind::kStep, who, change);
    command.step = step;
    const auto known = state_.changes().find(change);
    command.undoing = known != state_.changes().end() && known->second.undoing;
    return command;
  }
  // The grant's epoch.
  uint64_t Grant(const Who& who, uint64_t change, uint32_t step = 0) {
    const Effects effects = Do(MakeStep(who, change, step));
    EXPECT_EQ(effects[0].what, What::kGranted) << NameOf(effects[0].error);
    return effects[0].epoch;
  }
  Effects Done(const Who& who, uint64_t change, uint64_t epoch, Kind kind = Kind::kStepDone) {
    Command command = Make(kind, who, change);
    command.epoch = epoch;
    return Do(command);
  }
  Command MakeOpen(IncidentKind kind, const Scope& scope, Micros lasts = 0) {
    Command command = Make(Kind::kOpen, {});
    command.incident_kind = kind;
    command.scope = scope;
    command.by = "anna";
    command.reason = "queries are lost";
    command.lasts = lasts;
    return command;
  }
  Effects Close(uint64_t incident) {
    Command command = Make(Kind::kClose, {});
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

TEST(Scopes, MeetWhereOneHoldsTheOtherOrTheyCross) {
  const Scope balancer = Scope::Balancer("b1", "z0");
  EXPECT_TRUE(Meet(Scope::Site(), balancer));
  EXPECT_TRUE(Meet(Scope::Zone("z0"), balancer));
  EXPECT_FALSE(Meet(Scope::Zone("z1"), balancer));
  EXPECT_TRUE(Meet(Scope::Zone("z0"), kNode));
  EXPECT_TRUE(Meet(Scope::Group("g0"), kNode));
  EXPECT_FALSE(Meet(Scope::Group("g1"), kNode));
  EXPECT_TRUE(Meet(Scope::Group("g0"), Scope::Zone("z1")));  // it may reach into it
  EXPECT_FALSE(Meet(Scope::Group("g0", "z0"), Scope::Zone("z1")));
  EXPECT_FALSE(Meet(kNode, balancer));
  EXPECT_FALSE(Meet(Scope::Group("g0"), balancer));
  EXPECT_TRUE(Meet(Scope::Zone("z1"), Scope::Node("n9", "", "g0")));  // its zone is not known
}

TEST_F(Freeze, AChangeGoesStepByStepToItsOneEnd) {
  const uint64_t id = Begin(kA, ChangeKind::kUpgrade, Scope::Zone("z0"), 2);
  EXPECT_EQ(Refused(MakeStep(kA, id, 1)), Error::kWrongStep);
  EXPECT_EQ(Refused(MakeStep(kB, id)), Error::kNotOwner);
  const uint64_t first = Grant(kA, id);
  EXPECT_EQ(Refused(MakeStep(kA, id)), Error::kGrantOut);
  EXPECT_EQ(Done(kA, id, first)[0].what, What::kGrantOver);
  EXPECT_EQ(Done(kA, id, first)[0].what, What::kKept);  // told twice
  const uint64_t second = Grant(kA, id, 1);
  EXPECT_GT(second, first);
  EXPECT_EQ(Refused([&] {
              Command late = Make(Kind::kStepDone, kA, id);
              late.epoch = first;
              return late;
            }()),
            Error::kFenced);
  EXPECT_EQ(Done(kA, id, second).back().end, End::kDone);
  EXPECT_EQ(Refused(Make(Kind::kKeep, kA, id)), Error::kUnknownChange);
  EXPECT_EQ(state_.history().back().end, End::kDone);
}

TEST_F(Freeze, LostAnswersAreGivenAgain) {
  const Command ask = MakeAsk(kA, ChangeKind::kReload, Scope::Site());
  const uint64_t id = Do(ask).back().change;
  EXPECT_EQ(Do(ask).back().change, id);
  const Command step = MakeStep(kA, id);
  const uint64_t epoch = Do(step)[0].epoch;
  EXPECT_EQ(Do(step)[0].epoch, epoch);
  Done(kA, id, epoch);
  EXPECT_EQ(Do(ask).back().end, End::kDone);  // and no second change
  EXPECT_TRUE(state_.changes().empty());
}

TEST_F(Freeze, ChangesWhoseScopesMeetDoNotRunTogether) {
  const uint64_t id = Begin(kA, ChangeKind::kDrain, Scope::Balancer("b1", "z0"));
  // Of another kind, at another balancer, in the same moment.
  const Effects refused = Do(MakeAsk(kB, ChangeKind::kVoters, Scope::Zone("z0")));
  EXPECT_EQ(refused.back().error, Error::kConflict);
  EXPECT_EQ(refused.back().change, id);
  EXPECT_EQ(refused.back().end, End::kRefused);
  EXPECT_GT(refused.back().retry, 0);
  Begin(kB, ChangeKind::kVoters, Scope::Zone("z1"));
}

TEST_F(Freeze, LimitsHoldForBalancersOfAZoneAndNodesOfAGroup) {
  Begin(kA, ChangeKind::kDrain, Scope::Balancer("b1", "z0"));
  EXPECT_EQ(Refused(MakeAsk(kB, ChangeKind::kReload, Scope::Balancer("b2", "z0"))), Error::kLimit);
  Begin(kB, ChangeKind::kReload, Scope::Balancer("b3", "z1"));
  Begin(kA, ChangeKind::kNodeOut, Scope::Node("n1", "z0", "g0"));
  Begin(kA, ChangeKind::kNodeOut, Scope::Node("n2", "z1", "g0"));
  EXPECT_EQ(Refused(MakeAsk(kB, ChangeKind::kNodeOut, Scope::Node("n3", "z0", "g0"))), Error::kLimit);
}

TEST_F(Freeze, TheYesWaitsForEachConflictingGrant) {
  const uint64_t near = Begin(kA, ChangeKind::kUpgrade, Scope::Balancer("b1", "z0"), 2);
  const uint64_t node = Begin(kB, ChangeKind::kNodeBack, kNode);
  const uint64_t far = Begin(kB, ChangeKind::kReload, Scope::Balancer("b3", "z1"));
  const uint64_t epoch = Grant(kA, near);
  const uint64_t other = Grant(kB, node);
  Grant(kB, far);
  at_ = kSecond;
  const Effects opened = Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0")));
  const uint64_t incident = opened[0].incident;
  EXPECT_EQ(opened[0].pending, 2u);
  EXPECT_EQ(Count(opened, What::kHold), 2u);
  EXPECT_EQ(Count(opened, What::kIncidentYes), 0u);
  // From here on nothing new, of either; the one far away goes on.
  EXPECT_EQ(Refused(MakeAsk(kB, ChangeKind::kReload, Scope::Node("n8", "z0", "g1"))), Error::kFrozen);
  at_ = 2 * kSecond;
  EXPECT_EQ(Count(Done(kA, near, epoch), What::kIncidentYes), 0u);
  EXPECT_EQ(Refused(MakeStep(kA, near, 1)), Error::kFrozen);
  at_ = 3500 * kMs;
  const Effects over = Do(RunOutOf({"grant " + std::to_string(node), other, 0, 0}));
  ASSERT_EQ(Count(over, What::kIncidentYes), 1u);
  EXPECT_EQ(over.back().waited, 2500 * kMs);
  // The step may have begun before: its end is still taken, and then the change has its end.
  EXPECT_EQ(Done(kB, node, other).back().end, End::kDone);
  // Opened at two places at once: the same, and the yes again.
  EXPECT_EQ(Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0"))).back().what, What::kIncidentYes);
  EXPECT_EQ(Close(incident)[0].what, What::kIncidentOver);
  Grant(kA, near, 1);
}

TEST_F(Freeze, WhatMakesItBetterIsAllowed) {
  const uint64_t done = Begin(kB, ChangeKind::kReload, Scope::Balancer("b2", "z1"));
  Done(kB, done, Grant(kB, done));
  const uint64_t id = Begin(kA, ChangeKind::kUpgrade, Scope::Balancer("b1", "z0"), 3);
  Done(kA, id, Grant(kA, id));
  const uint64_t epoch = Grant(kA, id, 1);
  Do(MakeOpen(IncidentKind::kOperator, Scope::Site()));
  EXPECT_EQ(Refused(Make(Kind::kUndo, kA, id)), Error::kGrantOut);
  Done(kA, id, epoch, Kind::kStepBack);
  Do(Make(Kind::kUndo, kA, id));
  EXPECT_EQ(Done(kA, id, Grant(kA, id, 0)).back().end, End::kUndone);
  // One that had ended before is no part of it.
  Command undo = MakeAsk(kB, ChangeKind::kReload, Scope::Balancer("b2", "z1"));
  undo.undoes = done;
  EXPECT_EQ(Refused(undo), Error::kFrozen);
  undo.undoes = 7;
  undo.request = 0;
  EXPECT_EQ(Refused(undo), Error::kUnknownChange);
  // The very node that it is about.
  Close(state_.incidents().begin()->first);
  Do(MakeOpen(IncidentKind::kEjectionCap, kNode));
  EXPECT_EQ(Refused(MakeAsk(kB, ChangeKind::kNodeBack, kNode)), Error::kFrozen);
  const uint64_t out = Begin(kB, ChangeKind::kNodeOut, kNode);
  Grant(kB, out);
}

TEST_F(Freeze, AChangeThatRanAsItOpenedMayBeUndoneAfterItsEnd) {
  const uint64_t id = Begin(kA, ChangeKind::kDrain, Scope::Balancer("b1", "z0"));
  const uint64_t epoch = Grant(kA, id);
  Do(MakeOpen(IncidentKind::kOperator, Scope::Site()));
  EXPECT_EQ(Done(kA, id, epoch).back().end, End::kDone);
  EXPECT_EQ(Refused(MakeAsk(kA, ChangeKind::kUndrain, Scope::Balancer("b1", "z0"))), Error::kFrozen);
  Command undo = MakeAsk(kA, ChangeKind::kUndrain, Scope::Balancer("b1", "z0"));
  undo.undoes = id;
  EXPECT_EQ(Do(undo).back().what, What::kBegun);
}

TEST_F(Freeze, GlassIsBrokenByNameAndReasonAndOnRecord) {
  Do(MakeOpen(IncidentKind::kOperator, Scope::Site()));
  Command ask = MakeAsk(kA, ChangeKind::kRestart, Scope::Balancer("b1", "z0"));
  ask.by = "anna";
  EXPECT_EQ(Refused(ask), Error::kMalformed);  // no reason
  ask.reason = "it is the cause";
  const Effects effects = Do(ask);
  EXPECT_EQ(effects[0].what, What::kGlass);
  ASSERT_EQ(state_.glass().size(), 1u);
  EXPECT_EQ(state_.glass()[0].by, "anna");
  const uint64_t id = effects.back().change;
  Grant(kA, id);
  // Not past conflicts, and not past an incident that comes later.
  Command other = MakeAsk(kB, ChangeKind::kReload, Scope::Balancer("b1", "z0"));
  other.by = other.reason = "anna";
  EXPECT_EQ(Refused(other), Error::kConflict);
  EXPECT_EQ(Do(MakeOpen(IncidentKind::kZoneDown, Scope::Zone("z0")))[0].pending, 1u);
}

TEST_F(Freeze, TheTableSaysWhatAnIncidentForbids) {
  Do(MakeOpen(IncidentKind::kZoneDown, Scope::Zone("z0")));
  EXPECT_EQ(Refused(MakeAsk(kA, ChangeKind::kVoters, Scope::Zone("z1"))), Error::kFrozen);  // everywhere
  Begin(kA, ChangeKind::kReload, Scope::Balancer("b3", "z1"));
  Do(MakeOpen(IncidentKind::kNoLists, Scope::Zone("z2")));
  Begin(kA, ChangeKind::kUndrain, Scope::Balancer("b5", "z2"));  // nowhere
}

TEST_F(Freeze, IncidentsOverlapNestAndOpenAgain) {
  const uint64_t site = Do(MakeOpen(IncidentKind::kOperator, Scope::Site()))[0].incident;
  const uint64_t zone = Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0"), 5 * kSecond))[0].incident;
  Command sight = MakeOpen(IncidentKind::kOperator, Scope::Zone("z0"));
  sight.sight = true;
  const uint64_t seen = Do(sight)[0].incident;
  EXPECT_NE(seen, zone);
  Close(site);
  const Command ask = MakeAsk(kA, ChangeKind::kReload, Scope::Balancer("b1", "z0"));
  EXPECT_EQ(Refused(ask), Error::kFrozen);
  // A sight closes what a sight opened, and nothing else.
  Command close = Make(Kind::kClose, {});
  close.by = close.reason = "sight";
  close.sight = true;
  close.incident = zone;
  EXPECT_EQ(Refused(close), Error::kUnknownIncident);
  close.incident = seen;
  EXPECT_EQ(Do(close)[0].what, What::kIncidentOver);
  // Its own end, which an extension moves.
  at_ = 4 * kSecond;
  EXPECT_TRUE(state_.EndsDue(at_).empty());
  const Command stale = [&] {
    Command ends;
    ends.kind = Kind::kEnds;
    ends.incident = zone;
    ends.renewed = state_.incidents().at(zone).renewed;
    return ends;
  }();
  Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0"), 5 * kSecond));
  at_ = 6 * kSecond;
  EXPECT_TRUE(Do(stale).empty());
  at_ = 9 * kSecond;
  ASSERT_EQ(state_.EndsDue(at_).size(), 1u);
  EXPECT_EQ(Do(state_.EndsDue(at_)[0])[0].what, What::kIncidentOver);
  const uint64_t again = Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0")))[0].incident;
  EXPECT_GT(again, zone);
}

TEST_F(Freeze, AnOwnerThatDiesLeavesItsScopeFree) {
  for (const uint32_t died_after : {0u, 1u, 2u}) {
    const uint64_t id = Begin(kA, ChangeKind::kDrain, Scope::Balancer("b1", "z0"), 3);
    for (uint32_t step = 0; step < died_after; ++step) Done(kA, id, Grant(kA, id, step));
    Grant(kA, id, died_after);
    const uint64_t renewed = state_.changes().at(id).renewed;
    EXPECT_TRUE(Do(RunOutOf({"change " + std::to_string(id), 0, renewed - 1, 0})).empty());  // overtaken
    const Effects over = Do(RunOutOf({"change " + std::to_string(id), 0, renewed, 0}));
    EXPECT_EQ(Count(over, What::kGrantOver), 1u);
    EXPECT_EQ(over.back().end, End::kAbandoned);
    EXPECT_EQ(over.back().step, died_after);
    EXPECT_TRUE(state_.changes().empty());
  }
}

TEST_F(Freeze, ATakeOverWaitsForTheOldOwnersLease) {
  const uint64_t id = Begin(kA, ChangeKind::kDrain, Scope::Balancer("b1", "z0"), 2);
  const uint64_t epoch = Grant(kA, id);
  Command take = Make(Kind::kTakeOver, {}, id);
  take.to = kB;
  take.by = "anna";
  take.reason = "its owner is gone";
  EXPECT_EQ(Do(take)[0].what, What::kHold);
  EXPECT_EQ(Refused(MakeStep(kB, id)), Error::kNotOwner);
  EXPECT_EQ(Refused(Make(Kind::kKeep, kA, id)), Error::kHandedOver);
  const Effects taken = Do(RunOutOf({"change " + std::to_string(id), 0, state_.changes().at(id).renewed, 0}));
  EXPECT_EQ(taken.back().what, What::kTaken);
  EXPECT_EQ(taken.back().who, kB);
  EXPECT_EQ(Refused([&] {
              Command late = Make(Kind::kStepDone, kA, id);
              late.epoch = epoch;
              return late;
            }()),
            Error::kNotOwner);
  // What the old one may have begun is led back as well.
  Do(Make(Kind::kUndo, kB, id));
  Command forward = MakeStep(kB, id);
  forward.undoing = false;
  EXPECT_EQ(Refused(forward), Error::kWrongStep);  // it would be carried out the wrong way round
  EXPECT_EQ(Done(kB, id, Grant(kB, id, 0)).back().end, End::kUndone);
}

TEST_F(Freeze, ACoordinatorOfAnEarlierEpochIsFenced) {
  Command open = MakeOpen(IncidentKind::kNoLists, Scope::Site());
  open.sight = true;
  open.coordinator = 9;
  EXPECT_EQ(Do(open)[0].what, What::kOpened);
  open.coordinator = 8;
  EXPECT_EQ(Refused(open), Error::kFenced);
}

TEST_F(Freeze, EverythingKeptIsBounded) {
  Command rules;
  rules.kind = Kind::kRules;
  rules.rules.most_changes = 2;
  rules.rules.most_incidents = 1;
  rules.rules.most_history = 8;
  rules.rules.most_glass = 1;
  Do(rules);
  for (int i = 0; i < 50; ++i) {
    const Scope scope = Scope::Node(std::string("n").append(std::to_string(i)), "z0",
                                    std::string("g").append(std::to_string(i)));
    const uint64_t id = Begin(kA, ChangeKind::kReload, scope);
    for (int j = 0; j < 5; ++j) Refused(MakeAsk(kB, ChangeKind::kReload, scope));
    Done(kA, id, Grant(kA, id));
  }
  EXPECT_EQ(state_.history().size(), 8u);
  size_t done = 0;
  for (const Past& past : state_.history()) done += past.end == End::kDone ? 1 : 0;
  EXPECT_GE(done, 6u);  // refusals don't push it out
  Begin(kA, ChangeKind::kReload, Scope::Zone("z1"));
  Begin(kA, ChangeKind::kReload, Scope::Zone("z2"));
  EXPECT_EQ(Refused(MakeAsk(kA, ChangeKind::kReload, Scope::Zone("z3"))), Error::kTooMany);
  Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0")));
  EXPECT_EQ(Refused(MakeOpen(IncidentKind::kOperator, Scope::Zone("z1"))), Error::kTooMany);
}

TEST_F(Freeze, SavedAndLoadedItIsTheSame) {
  const uint64_t id = Begin(kA, ChangeKind::kUpgrade, Scope::Balancer("b1", "z0"), 2);
  Grant(kA, id);
  Do(MakeOpen(IncidentKind::kOperator, Scope::Zone("z0"), kSecond));
  Command ask = MakeAsk(kB, ChangeKind::kNodeOut, kNode);
  ask.by = ask.reason = "anna";
  Do(ask);
  const std::string bytes = state_.Save();
  const std::optional<State> loaded = State::Load(bytes);
  ASSERT_TRUE(loaded);
  EXPECT_EQ(loaded->Save(), bytes);
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string bad = bytes;
    bad[i] = static_cast<char>(bad[i] ^ 4);
    EXPECT_FALSE(State::Load(bad)) << i;
    EXPECT_FALSE(State::Load(std::string_view(bytes).substr(0, i))) << i;
  }
}

TEST(Permits, CountFromBeforeTheQuestionAndAllowOneBegin) {
  Permit permit;
  Effect effect;
  effect.what = What::kBegun;
  effect.change = 7;
  effect.lease = 30 * kSecond;
  permit.Heard(0, effect);
  EXPECT_EQ(permit.MayBegin(0), Error::kNotOwner);
  effect.what = What::kGranted;
  effect.epoch = 9;
  effect.lease = 2 * kSecond;
  permit.Heard(kSecond, effect);
  EXPECT_EQ(permit.MayBegin(2999 * kMs), Error::kNone);
  EXPECT_EQ(permit.MayBegin(3 * kSecond), Error::kLeaseOver);
  EXPECT_EQ(permit.Begun(2999 * kMs), Error::kNone);
  EXPECT_EQ(permit.MayBegin(2999 * kMs), Error::kWrongStep);
  // Under way it goes on as long as the change is its own.
  EXPECT_EQ(permit.MayGoOn(29 * kSecond), Error::kNone);
  EXPECT_EQ(permit.MayGoOn(30 * kSecond), Error::kLeaseOver);
  effect.what = What::kKept;
  effect.lease = 30 * kSecond;
  permit.Heard(20 * kSecond, effect);
  EXPECT_EQ(permit.MayGoOn(49 * kSecond), Error::kNone);
  permit.Ended();
  // Stopped between the look and the act: told after it.
  effect.what = What::kGranted;
  effect.epoch = 12;
  effect.lease = 2 * kSecond;
  permit.Heard(30 * kSecond, effect);
  EXPECT_EQ(permit.MayBegin(31 * kSecond), Error::kNone);
  EXPECT_EQ(permit.Begun(40 * kSecond), Error::kLeaseOver);
  effect.what = What::kEnded;
  permit.Heard(0, effect);
  EXPECT_EQ(permit.MayGoOn(31 * kSecond), Error::kNotOwner);
}

}  // namespace
}  // namespace burlfall::freeze
