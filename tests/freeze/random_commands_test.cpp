// Applies random commands of all kinds, valid and invalid, directly to the state.
#include <gtest/gtest.h>

#include <set>

#include "freeze/freeze.h"
#include "lab/council_judge/timeline.h"

namespace burlfall::freeze {
namespace {

Command RandomCommand(lab::Timeline& random, const State& state, uint64_t index) {
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
  command.kind =
      static_cast<Command::Kind>(random.Below(static_cast<uint64_t>(Command::Kind::kRecordEmergency) + 1));
  if (random.Chance(0.4)) command.kind = random.Chance(0.5) ? Command::Kind::kStep : Command::Kind::kStepDone;
  command.who = {random.Chance(0.5) ? "a" : "b", 1 + random.Below(2)};
  command.to = {random.Chance(0.9) ? "b" : "", 1};
  command.request = random.Below(200);
  command.number = random.Below(9);
  command.step = static_cast<uint32_t>(random.Below(3));
  command.undoing = random.Chance(0.2);
  command.change_kind = static_cast<ChangeKind>(random.Below(kChangeKindCount));
  command.incident_kind = static_cast<IncidentKind>(random.Below(kIncidentKindCount));
  command.scope = scopes[random.Below(std::size(scopes))];
  command.steps.assign(random.Below(4), "step");
  command.by = random.Chance(0.1) || command.kind >= Command::Kind::kTakeOver ? "anna" : "";
  command.reason = random.Chance(0.9) ? "why" : "";
  if (random.Chance(0.1)) command.kind = Command::Kind::kCloseIncident;
  command.duration = random.Chance(0.5) ? static_cast<Micros>(random.Below(50)) : 0;
  command.observed = random.Chance(0.3);
  command.change = command.incident = command.undoes = command.epoch = random.Below(index + 1);
  if (random.Chance(0.9)) command.undoes = 0;
  // Mostly makes the command fit an existing change.
  if (!state.changes().empty() && random.Chance(0.9)) {
    auto found = state.changes().begin();
    std::advance(found, random.Below(state.changes().size()));
    const Change& change = found->second;
    command.change = change.id;
    command.who = random.Chance(0.9) ? change.owner : command.who;
    command.epoch = change.last_grant_epoch;
    command.undoing = change.undoing;
    if (random.Chance(0.9)) command.step = change.undoing ? change.steps_done - 1 : change.steps_done;
    command.renewed_index = change.renewed_index;
    if (command.kind == Command::Kind::kExpire && random.Chance(0.5)) command.epoch = 0;
    if (command.kind == Command::Kind::kStep) command.request = index;
  }
  if (!state.incidents().empty() && random.Chance(0.9)) {
    auto found = state.incidents().begin();
    std::advance(found, random.Below(state.incidents().size()));
    command.incident = found->first;
    if (command.kind == Command::Kind::kExpireIncident) command.renewed_index = found->second.renewed_index;
  }
  return command;
}

TEST(DrawnCommands, KeepTheInvariantsAndReplicasAreAlike) {
  size_t done = 0, in_force_count = 0, waited = 0, refused = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    lab::Timeline random(seed);
    State state;
    std::set<uint64_t> epochs, ended, in_force;
    for (uint64_t index = 1; index <= 600; ++index) {
      const Command command = RandomCommand(random, state, index);
      const std::optional<Command> read = ReadCommand(Write(command));
      if (!read) continue;  // the step number is out of range
      std::optional<State> replica = State::Load(state.Save());
      ASSERT_TRUE(replica);
      const Effects effects = state.Apply(index, static_cast<Micros>(index), *read);
      const Effects replica_effects = replica->Apply(index, static_cast<Micros>(index), *read);
      ASSERT_EQ(effects.size(), replica_effects.size());
      ASSERT_EQ(state.Save(), replica->Save());
      for (const Effect& effect : effects) {
        if (effect.what == Effect::What::kGranted && effect.entry_index == index) {
          EXPECT_TRUE(epochs.empty() || effect.epoch > *epochs.rbegin());
          epochs.insert(effect.epoch);
        } else if (effect.what == Effect::What::kEnded && effect.request == 0) {
          EXPECT_TRUE(ended.insert(effect.change).second) << "two ends";
          done += effect.end == End::kDone ? 1 : 0;
        } else if (effect.what == Effect::What::kIncidentInForce) {
          in_force.insert(effect.incident);  // repeated for each request that opens the same incident
          waited += effect.request == 0 ? 1 : 0;
        } else if (effect.what == Effect::What::kRefused) {
          EXPECT_NE(effect.error, Error::kNone);
          ++refused;
        }
      }
      for (const auto& [id, change] : state.changes()) {
        EXPECT_FALSE(ended.contains(id));
        for (const auto& [other_id, other] : state.changes()) {
          EXPECT_TRUE(id == other_id || !Overlap(change.scope, other.scope)) << id << " and " << other_id;
        }
        const Incident* const incident = state.ForbiddenBy(change);
        EXPECT_FALSE(incident != nullptr && incident->in_force && change.grant) << "seed " << seed;
      }
      for (const auto& [id, incident] : state.incidents())
        EXPECT_NE(incident.in_force, !incident.pending_grants.empty());
    }
    in_force_count += in_force.size();
  }
  EXPECT_GT(done, 50u);
  EXPECT_GT(in_force_count, 50u);
  EXPECT_GT(waited, 20u);
  EXPECT_GT(refused, 5000u);
}

}  // namespace
}  // namespace burlfall::freeze
