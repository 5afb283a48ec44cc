#include "owner/holder.h"

#include <gtest/gtest.h>

#include "owner/lapse.h"

namespace burlfall::owner {
namespace {

using What = Effect::What;
const Who kA{"a", 1};

Effect Said(What what, uint64_t epoch, uint64_t request) {
  Effect effect;
  effect.what = what;
  effect.work = "freeze";
  effect.who = kA;
  effect.epoch = epoch;
  effect.request = request;
  effect.lease = 2 * kSecond;
  return effect;
}

TEST(Holder, CountsItsLeaseFromBeforeItAsked) {
  Holder holder(kA, "freeze", {});
  holder.Want();
  const uint64_t first = holder.Tick(0)[0].request;
  holder.Tick(kSecond);  // asked again: a question of its own
  holder.Heard(1900 * kMs, Said(What::kGranted, 5, first));
  EXPECT_TRUE(holder.MayAct(1999 * kMs).ok());
  EXPECT_EQ(holder.MayAct(1999 * kMs).epoch, 5u);
  EXPECT_FALSE(holder.MayAct(2 * kSecond).ok());
}

TEST(Holder, OneThatStoodStillFindsOutBeforeItsNextAct) {
  Holder holder(kA, "freeze", {});
  holder.Want();
  holder.Heard(10 * kMs, Said(What::kGranted, 5, holder.Tick(0)[0].request));
  ASSERT_TRUE(holder.MayAct(20 * kMs).ok());
  // 30 s later, with nothing heard.
  EXPECT_EQ(holder.MayAct(30 * kSecond).error, Error::kLeaseOver);
  // It asks; the council says that another has it.
  const std::vector<Command> renew = holder.Tick(30 * kSecond);
  ASSERT_EQ(renew.size(), 1u);
  EXPECT_EQ(renew[0].kind, Command::Kind::kRenew);
  EXPECT_EQ(holder.MayAct(30 * kSecond).error, Error::kNoCouncil);
  Effect refused = Said(What::kRefused, 9, renew[0].request);
  refused.error = Error::kFenced;
  holder.Heard(30100 * kMs, refused);
  EXPECT_EQ(holder.MayAct(30100 * kMs).error, Error::kFenced);
  EXPECT_FALSE(holder.owns());
  // A grant of old that comes late gives nothing.
  holder.Heard(30200 * kMs, Said(What::kGranted, 5, 1));
  EXPECT_FALSE(holder.owns());
  EXPECT_EQ(holder.Tick(30200 * kMs)[0].kind, Command::Kind::kWant);
}

TEST(Holder, RenewsInGoodTimeAndStopsForAHandOver) {
  Holder holder(kA, "freeze", {});
  holder.Want();
  holder.Heard(10 * kMs, Said(What::kGranted, 5, holder.Tick(0)[0].request));
  EXPECT_GT(holder.next_at(), 500 * kMs);
  EXPECT_LT(holder.next_at(), kSecond);
  const Command renew = holder.Tick(holder.next_at())[0];
  holder.Heard(kSecond, Said(What::kRenewed, 5, renew.request));
  EXPECT_TRUE(holder.MayAct(2500 * kMs).ok());
  holder.Heard(kSecond, Said(What::kStop, 5, 0));
  EXPECT_TRUE(holder.stopping());
  EXPECT_TRUE(holder.MayAct(1100 * kMs).ok());  // it finishes
  holder.GiveUp();
  EXPECT_FALSE(holder.MayAct(1100 * kMs).ok());
  const Command told = holder.Tick(1100 * kMs)[0];
  EXPECT_EQ(told.kind, Command::Kind::kGiveUp);
  EXPECT_EQ(told.epoch, 5u);
  EXPECT_EQ(holder.Tick(5 * kSecond).size(), 1u);  // until it is known
  holder.Heard(5 * kSecond, Said(What::kOver, 5, 0));
  EXPECT_TRUE(holder.Tick(9 * kSecond).empty());
}

TEST(Holder, AGrantForAForgottenQuestionGivesNoTime) {
  Holder holder(kA, "freeze", {});
  holder.Want();
  holder.Tick(0);
  holder.Heard(10 * kMs, Said(What::kGranted, 5, 999));
  EXPECT_TRUE(holder.owns());
  EXPECT_FALSE(holder.MayAct(10 * kMs).ok());
  EXPECT_EQ(holder.Tick(10 * kMs)[0].kind, Command::Kind::kRenew);
  // Another life's is not for it.
  Effect other = Said(What::kRenewed, 5, 2);
  other.who.life = 2;
  holder.Heard(20 * kMs, other);
  EXPECT_FALSE(holder.MayAct(20 * kMs).ok());
}

TEST(Lapse, CountsTheLeaseAndTheDriftAndANewLeaderAnew) {
  Lapse lapse(0.05, 100 * kMs);
  lapse.Began(0, {"freeze", 5, 5, 2 * kSecond});
  EXPECT_TRUE(lapse.Due(2099 * kMs).empty());
  lapse.TakeOffice(2099 * kMs, {{"freeze", 5, 5, 2 * kSecond}});
  EXPECT_EQ(lapse.next_at(), 4199 * kMs);
  EXPECT_TRUE(lapse.Due(4198 * kMs).empty());
  ASSERT_EQ(lapse.Due(4199 * kMs).size(), 1u);
  EXPECT_TRUE(lapse.Due(4200 * kMs).empty());
  EXPECT_EQ(lapse.Due(4299 * kMs).size(), 1u);  // lost on its way: again
  lapse.Began(4300 * kMs, {"freeze", 5, 9, 2 * kSecond});
  EXPECT_TRUE(lapse.Due(6 * kSecond).empty());
  lapse.Ended("freeze");
  EXPECT_EQ(lapse.next_at(), kNever);
}

}  // namespace
}  // namespace burlfall::owner
