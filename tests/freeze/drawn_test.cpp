// Commands of all kinds in a drawn order, sensible and not, straight into the state.
#include <gtest/gtest.h>

#include <set>

#include "freeze/freeze.h"
#include "lab/council_judge/timeline.h"

namespace burlfall::freeze {
namespace {

Command Drawn(lab::Timeline& draw, const State& state, uint64_t index) {
  const Scope scopes[] = {Scope::Site(),
                          Scope::Zone("z0"),
                          Scope::Group("g0"),
                          Scope::Node("n0", "z0", "g0"),
                          Scope::Node("n1", "z1", "g0"),
                          Scope::Node("n2", "", ""),
                          Scope::Balancer("b0", "z0"),
                          Scope::Balancer("b1", "z1"),
                          {Scope::Kind::kZone, "", "", ""}};
  Command command;
  command.kind = static_cast<Command::Kind>(draw.Below(static_cast<uint64_t>(Command::Kind::kWasDone) + 1));
  if (draw.Chance(0.4)) command.kind = draw.Chance(0.5) ? Command::Kind::kStep : Command::Kind::kStepDone;
  command.who = {draw.Chance(0.5) ? "a" : "b", 1 + draw.Below(2)};
  command.to = {draw.Chance(0.9) ? "b" : "", 1};
  command.request = draw.Below(200);
  command.number = draw.Below(9);
  command.step = static_cast<uint32_t>(draw.Below(3));
  command.undoing = draw.Chance(0.2);
  command.change_kind = static_cast<ChangeKind>(draw.Below(kChangeKinds));
  command.incident_kind = static_cast<IncidentKind>(draw.Below(kIncidentKinds));
  command.scope = scopes[draw.Below(std::size(scopes))];
  command.steps.assign(draw.Below(4), "step");
  command.by = draw.Chance(0.1) || command.kind >= Command::Kind::kTakeOver ? "anna" : "";
  command.reason = draw.Chance(0.9) ? "why" : "";
  if (draw.Chance(0.1)) command.kind = Command::Kind::kClose;
  command.lasts = draw.Chance(0.5) ? static_cast<Micros>(draw.Below(50)) : 0;
  command.sight = draw.Chance(0.3);
  command.change = command.incident = command.undoes = command.epoch = draw.Below(index + 1);
  if (draw.Chance(0.9)) command.undoes = 0;
  // Mostly what fits.
  if (!state.changes().empty() && draw.Chance(0.9)) {
    auto at = state.changes().begin();
    std::advance(at, draw.Below(state.changes().size()));
    const Change& change = at->second;
    command.change = change.id;
    command.who = draw.Chance(0.9) ? change.owner : command.who;
    command.epoch = change.last_epoch;
    command.undoing = change.undoing;
    if (draw.Chance(0.9)) command.step = change.undoing ? change.next - 1 : change.next;
    command.renewed = change.renewed;
    if (command.kind == Command::Kind::kRunOut && draw.Chance(0.5)) command.epoch = 0;
    if (command.kind == Command::Kind::kStep) command.request = index;
  }
  if (!state.incidents().empty() && draw.Chance(0.9)) {
    auto at = state.incidents().begin();
    std::advance(at, draw.Below(state.incidents().size()));
    command.incident = at->first;
    if (command.kind == Command::Kind::kEnds) command.renewed = at->second.renewed;
  }
  return command;
}

TEST(DrawnCommands, KeepTheInvariantsAndReplicasAreAlike) {
  size_t done = 0, yes = 0, waited = 0, refused = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    lab::Timeline draw(seed);
    State state;
    std::set<uint64_t> epochs, ended, said_yes;
    for (uint64_t index = 1; index <= 600; ++index) {
      const Command command = Drawn(draw, state, index);
      const std::optional<Command> read = ReadCommand(Write(command));
      if (!read) continue;  // a step that can't be
      std::optional<State> replica = State::Load(state.Save());
      ASSERT_TRUE(replica);
      const Effects effects = state.Apply(index, static_cast<Micros>(index), *read);
      const Effects again = replica->Apply(index, static_cast<Micros>(index), *read);
      ASSERT_EQ(effects.size(), again.size());
      ASSERT_EQ(state.Save(), replica->Save());
      for (const Effect& effect : effects) {
        if (effect.what == Effect::What::kGranted && effect.position == index) {
          EXPECT_TRUE(epochs.empty() || effect.epoch > *epochs.rbegin());
          epochs.insert(effect.epoch);
        } else if (effect.what == Effect::What::kEnded && effect.request == 0) {
          EXPECT_TRUE(ended.insert(effect.change).second) << "two ends";
          done += effect.end == End::kDone ? 1 : 0;
        } else if (effect.what == Effect::What::kIncidentYes) {
          said_yes.insert(effect.incident);  // whoever opens it again is told again
          waited += effect.request == 0 ? 1 : 0;
        } else if (effect.what == Effect::What::kRefused) {
          EXPECT_NE(effect.error, Error::kNone);
          ++refused;
        }
      }
      for (const auto& [id, change] : state.changes()) {
        EXPECT_FALSE(ended.contains(id));
        for (const auto& [other_id, other] : state.changes()) {
          EXPECT_TRUE(id == other_id || !Meet(change.scope, other.scope)) << id << " and " << other_id;
        }
        const Incident* const incident = state.ForbiddenBy(change);
        EXPECT_FALSE(incident != nullptr && incident->yes && change.grant) << "seed " << seed;
      }
      for (const auto& [id, incident] : state.incidents()) EXPECT_NE(incident.yes, !incident.pending.empty());
    }
    yes += said_yes.size();
  }
  EXPECT_GT(done, 50u);
  EXPECT_GT(yes, 50u);
  EXPECT_GT(waited, 20u);
  EXPECT_GT(refused, 5000u);
}

}  // namespace
}  // namespace burlfall::freeze
