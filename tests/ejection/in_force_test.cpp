#include <gtest/gtest.h>

#include "ejection/state.h"

namespace burlfall::ejection {
namespace {

Effect About(Effect::What what, Life life = 5, Micros term = 0, std::vector<std::string> who = {}) {
  Effect effect;
  effect.what = what;
  effect.host = std::string("h");
  effect.life = life;
  effect.term = term;
  effect.who = std::move(who);
  return effect;
}

TEST(InForce, EndsByItsOwnClock) {
  Rules rules;
  InForce in_force(rules);
  in_force.Apply(3, 100 * kSecond, {About(Effect::What::kEject, 5, 10 * kSecond)}, "b");
  EXPECT_TRUE(in_force.Out("h", 5));
  EXPECT_TRUE(in_force.Out("h", 4));
  EXPECT_FALSE(in_force.Out("h", 6));  // a new life
  EXPECT_TRUE(in_force.Tick(in_force.next_at() - 1).empty());
  EXPECT_EQ(in_force.next_at(), 110 * kSecond + rules.try_one + rules.try_few);
  EXPECT_EQ(in_force.Tick(in_force.next_at()), std::vector<std::string>{"h"});
  EXPECT_FALSE(in_force.Out("h", 5));
}

TEST(InForce, NeverGoesBackInTheLog) {
  InForce in_force{Rules()};
  EXPECT_TRUE(in_force.Apply(3, 0, {About(Effect::What::kEject, 5, kSecond)}, "b"));
  EXPECT_TRUE(in_force.Apply(4, 0, {About(Effect::What::kBack)}, "b"));
  EXPECT_FALSE(in_force.Apply(3, 0, {About(Effect::What::kEject, 5, kSecond)}, "b"));
  EXPECT_FALSE(in_force.Out("h", 5));
}

TEST(InForce, OneTrialForTheOneThatWasTold) {
  InForce told{Rules()}, other{Rules()};
  for (InForce* in_force : {&told, &other}) {
    in_force->Apply(1, 0, {About(Effect::What::kEject, 5, kSecond)}, "b");
    in_force->Apply(2, kSecond, {About(Effect::What::kTry, 5, 0, {"b"})}, in_force == &told ? "b" : "c");
  }
  EXPECT_FALSE(other.TakeTry("h", 5));
  EXPECT_FALSE(told.TakeTry("h", 6));
  EXPECT_TRUE(told.TakeTry("h", 5));
  EXPECT_FALSE(told.TakeTry("h", 5));
}

}  // namespace
}  // namespace burlfall::ejection
