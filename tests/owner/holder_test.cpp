// Tests of a lease at its holder and at the leader.
#include "owner/holder.h"

#include <gtest/gtest.h>

#include "owner/lease_expiry.h"

namespace burlfall::owner {
namespace {

using What = Effect::What;
const ProcessId kA{"a", 1};

Effect MakeEffect(What what, uint64_t epoch, uint64_t request) {
  Effect effect;
  effect.what = what;
  effect.task = "freeze";
  effect.who = kA;
  effect.epoch = epoch;
  effect.request = request;
  effect.lease = 2 * kSecond;
  return effect;
}

TEST(Holder, CountsItsLeaseFromBeforeTheRequest) {
  LeaseHolder holder(kA, "freeze", {});
  holder.Acquire();
  const uint64_t first = holder.Tick(0)[0].request;
  holder.Tick(kSecond);  // sent again as a new request
  holder.OnEffect(1900 * kMs, MakeEffect(What::kGranted, 5, first));
  EXPECT_TRUE(holder.MayAct(1999 * kMs).ok());
  EXPECT_EQ(holder.MayAct(1999 * kMs).epoch, 5u);
  EXPECT_FALSE(holder.MayAct(2 * kSecond).ok());
}

TEST(Holder, APausedHolderDetectsExpiryBeforeItsNextAction) {
  LeaseHolder holder(kA, "freeze", {});
  holder.Acquire();
  holder.OnEffect(10 * kMs, MakeEffect(What::kGranted, 5, holder.Tick(0)[0].request));
  ASSERT_TRUE(holder.MayAct(20 * kMs).ok());
  // 30 s later, with nothing received.
  EXPECT_EQ(holder.MayAct(30 * kSecond).error, Error::kLeaseOver);
  // It requests a renewal; the council answers that another process owns the task.
  const std::vector<Command> renew = holder.Tick(30 * kSecond);
  ASSERT_EQ(renew.size(), 1u);
  EXPECT_EQ(renew[0].kind, Command::Kind::kRenew);
  EXPECT_EQ(holder.MayAct(30 * kSecond).error, Error::kNoCouncil);
  Effect refused = MakeEffect(What::kRefused, 9, renew[0].request);
  refused.error = Error::kFenced;
  holder.OnEffect(30100 * kMs, refused);
  EXPECT_EQ(holder.MayAct(30100 * kMs).error, Error::kFenced);
  EXPECT_FALSE(holder.owns());
  // A late answer with an old grant has no effect.
  holder.OnEffect(30200 * kMs, MakeEffect(What::kGranted, 5, 1));
  EXPECT_FALSE(holder.owns());
  EXPECT_EQ(holder.Tick(30200 * kMs)[0].kind, Command::Kind::kAcquire);
}

TEST(Holder, RenewsEarlyAndStopsForAHandOver) {
  LeaseHolder holder(kA, "freeze", {});
  holder.Acquire();
  holder.OnEffect(10 * kMs, MakeEffect(What::kGranted, 5, holder.Tick(0)[0].request));
  EXPECT_GT(holder.next_at(), 500 * kMs);
  EXPECT_LT(holder.next_at(), kSecond);
  const Command renew = holder.Tick(holder.next_at())[0];
  holder.OnEffect(kSecond, MakeEffect(What::kRenewed, 5, renew.request));
  EXPECT_TRUE(holder.MayAct(2500 * kMs).ok());
  holder.OnEffect(kSecond, MakeEffect(What::kStop, 5, 0));
  EXPECT_TRUE(holder.stopping());
  EXPECT_TRUE(holder.MayAct(1100 * kMs).ok());  // it may finish
  holder.Release();
  EXPECT_FALSE(holder.MayAct(1100 * kMs).ok());
  const Command release = holder.Tick(1100 * kMs)[0];
  EXPECT_EQ(release.kind, Command::Kind::kRelease);
  EXPECT_EQ(release.epoch, 5u);
  EXPECT_EQ(holder.Tick(5 * kSecond).size(), 1u);  // repeated until confirmed
  holder.OnEffect(5 * kSecond, MakeEffect(What::kEnded, 5, 0));
  EXPECT_TRUE(holder.Tick(9 * kSecond).empty());
}

TEST(Holder, AGrantForAForgottenRequestGivesNoLeaseTime) {
  LeaseHolder holder(kA, "freeze", {});
  holder.Acquire();
  holder.Tick(0);
  holder.OnEffect(10 * kMs, MakeEffect(What::kGranted, 5, 999));
  EXPECT_TRUE(holder.owns());
  EXPECT_FALSE(holder.MayAct(10 * kMs).ok());
  EXPECT_EQ(holder.Tick(10 * kMs)[0].kind, Command::Kind::kRenew);
  // An effect for another incarnation is ignored.
  Effect other = MakeEffect(What::kRenewed, 5, 2);
  other.who.incarnation = 2;
  holder.OnEffect(20 * kMs, other);
  EXPECT_FALSE(holder.MayAct(20 * kMs).ok());
}

TEST(Lapse, CountsLeaseAndDriftAndRestartsForANewLeader) {
  LeaseExpiry expiry(0.05, 100 * kMs);
  expiry.OnRenewed(0, {"freeze", 5, 5, 2 * kSecond});
  EXPECT_TRUE(expiry.Due(2099 * kMs).empty());
  expiry.BecomeLeader(2099 * kMs, {{"freeze", 5, 5, 2 * kSecond}});
  EXPECT_EQ(expiry.next_at(), 4199 * kMs);
  EXPECT_TRUE(expiry.Due(4198 * kMs).empty());
  ASSERT_EQ(expiry.Due(4199 * kMs).size(), 1u);
  EXPECT_TRUE(expiry.Due(4200 * kMs).empty());
  EXPECT_EQ(expiry.Due(4299 * kMs).size(), 1u);  // the proposal was lost: repeated
  expiry.OnRenewed(4300 * kMs, {"freeze", 5, 9, 2 * kSecond});
  EXPECT_TRUE(expiry.Due(6 * kSecond).empty());
  expiry.OnEnded("freeze");
  EXPECT_EQ(expiry.next_at(), kNever);
}

}  // namespace
}  // namespace burlfall::owner
