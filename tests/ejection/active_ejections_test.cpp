#include <gtest/gtest.h>

#include "ejection/state.h"

namespace burlfall::ejection {
namespace {

Effect MakeEffect(Effect::What what, Incarnation incarnation = 5, Micros term = 0,
                  std::vector<std::string> who = {}) {
  Effect effect;
  effect.what = what;
  effect.host = std::string("h");
  effect.incarnation = incarnation;
  effect.term = term;
  effect.who = std::move(who);
  return effect;
}

TEST(InForce, ExpiresOnTheBalancersOwnClock) {
  Rules rules;
  ActiveEjections in_force(rules);
  in_force.Apply(3, 100 * kSecond, {MakeEffect(Effect::What::kEject, 5, 10 * kSecond)}, "b");
  EXPECT_TRUE(in_force.IsEjected("h", 5));
  EXPECT_TRUE(in_force.IsEjected("h", 4));
  EXPECT_FALSE(in_force.IsEjected("h", 6));  // a new incarnation
  EXPECT_TRUE(in_force.DropExpired(in_force.next_at() - 1).empty());
  EXPECT_EQ(in_force.next_at(), 110 * kSecond + rules.single_trial_timeout + rules.multi_trial_timeout);
  EXPECT_EQ(in_force.DropExpired(in_force.next_at()), std::vector<std::string>{"h"});
  EXPECT_FALSE(in_force.IsEjected("h", 5));
}

TEST(InForce, IgnoresEarlierLogEntries) {
  ActiveEjections in_force{Rules()};
  EXPECT_TRUE(in_force.Apply(3, 0, {MakeEffect(Effect::What::kEject, 5, kSecond)}, "b"));
  EXPECT_TRUE(in_force.Apply(4, 0, {MakeEffect(Effect::What::kReturn)}, "b"));
  EXPECT_FALSE(in_force.Apply(3, 0, {MakeEffect(Effect::What::kEject, 5, kSecond)}, "b"));
  EXPECT_FALSE(in_force.IsEjected("h", 5));
}

TEST(InForce, OnlyTheChosenBalancerMayTryOnce) {
  ActiveEjections chosen{Rules()}, other{Rules()};
  for (ActiveEjections* in_force : {&chosen, &other}) {
    in_force->Apply(1, 0, {MakeEffect(Effect::What::kEject, 5, kSecond)}, "b");
    in_force->Apply(2, kSecond, {MakeEffect(Effect::What::kRunTrial, 5, 0, {"b"})},
                    in_force == &chosen ? "b" : "c");
  }
  EXPECT_FALSE(other.ConsumeTrial("h", 5));
  EXPECT_FALSE(chosen.ConsumeTrial("h", 6));
  EXPECT_TRUE(chosen.ConsumeTrial("h", 5));
  EXPECT_FALSE(chosen.ConsumeTrial("h", 5));
}

}  // namespace
}  // namespace burlfall::ejection
