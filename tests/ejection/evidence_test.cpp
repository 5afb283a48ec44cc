#include "ejection/evidence.h"

#include <gtest/gtest.h>

namespace burlfall::ejection {
namespace {

class Balancer : public testing::Test {
 protected:
  // One second of answers of ten hosts, of which `bad` fails.
  void OneSecond(const std::string& bad = "", uint32_t cls = 0, std::optional<Kind> how = Kind::kErrors) {
    for (int i = 0; i < 10; ++i) {
      const std::string host = std::string("h").append(std::to_string(i));
      now_ += 100 * kMs;
      evidence_.OnResult(now_, host, 1, cls, host == bad ? how : std::nullopt, 20 * kMs);
    }
  }
  std::vector<Command> TakeCommands() { return evidence_.TakeCommands(now_); }
  void OnEffect(Effect::What what, const std::string& host = "h3") {
    Effect effect;
    effect.what = what;
    effect.host = host;
    effect.incarnation = 1;
    evidence_.OnEffects(now_, {effect});
  }
  Rules rules_;
  Evidence evidence_{rules_, "b", "z"};
  Micros now_ = 1000 * kSecond;
};

TEST_F(Balancer, VotesAfterTwoFailuresNotOne) {
  for (int i = 0; i < 5; ++i) OneSecond();
  EXPECT_TRUE(TakeCommands().empty());
  OneSecond("h3");
  EXPECT_TRUE(TakeCommands().empty());
  OneSecond("h3");
  const auto commands = TakeCommands();
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].what, Command::What::kVote);
  EXPECT_EQ(commands[0].vote.host, "h3");
  EXPECT_EQ(commands[0].vote.failures, 2u);
  EXPECT_EQ(commands[0].vote.trials, 2u);
  EXPECT_TRUE(commands[0].vote.sure);
  EXPECT_TRUE(TakeCommands().empty());  // only changes are reported
}

TEST_F(Balancer, GoodAnswersWithdrawTheVote) {
  for (int i = 0; i < 5; ++i) OneSecond();
  for (int i = 0; i < 2; ++i) OneSecond("h3");
  EXPECT_EQ(TakeCommands().size(), 1u);
  std::vector<Command> commands;
  for (int i = 0; i < 30 && commands.empty(); ++i) {
    OneSecond();
    commands = TakeCommands();
  }
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].what, Command::What::kWithdraw);
}

TEST_F(Balancer, GoodTrialOfASleepingHostWithdrawsAtOnce) {
  for (int i = 0; i < 2; ++i) OneSecond("h3");
  EXPECT_EQ(TakeCommands().size(), 1u);
  evidence_.SetAsleep("h3", true);
  evidence_.OnResult(now_ += kSecond, "h3", 1, 0, std::nullopt, 20 * kMs);
  const auto commands = TakeCommands();
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].what, Command::What::kWithdraw);
}

TEST_F(Balancer, ReportsNothingWhenAllHostsFail) {
  for (int i = 0; i < 5; ++i) OneSecond();
  for (int i = 0; i < 10; ++i) {
    for (int host = 0; host < 10; ++host) {
      evidence_.OnResult(now_ += 100 * kMs, std::string("h").append(std::to_string(host)), 1, 0,
                         Kind::kSilent, kSecond);
    }
    EXPECT_TRUE(TakeCommands().empty());
  }
  EXPECT_TRUE(evidence_.OwnNetworkSuspect(now_));
}

TEST_F(Balancer, SlowIsRelativeToTheOtherHosts) {
  for (int i = 0; i < 20; ++i) OneSecond();
  for (int i = 0; i < 2; ++i) evidence_.OnResult(now_ += kSecond, "h3", 1, 0, std::nullopt, 2 * kSecond);
  const auto commands = TakeCommands();
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].vote.kind, Kind::kSlow);
}

TEST_F(Balancer, OneResultIsReportedDuringAPoll) {
  for (int i = 0; i < 3; ++i) OneSecond();
  OnEffect(Effect::What::kPollOpened, "h4");
  OnEffect(Effect::What::kPollOpened);
  OneSecond("h3");
  bool vote = false, good = false;
  for (const Command& command : TakeCommands()) {
    vote |= command.what == Command::What::kVote && command.vote.host == "h3" && !command.vote.sure;
    good |= command.what == Command::What::kGoodReport && command.good.host == "h4";
  }
  EXPECT_TRUE(vote && good);
}

TEST_F(Balancer, VoteNamesTheOnlyFailingClass) {
  for (int i = 0; i < 3; ++i) {
    OneSecond();
    OneSecond("h3", 1);
  }
  const auto commands = TakeCommands();
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].vote.cls, 1u);
  EXPECT_GE(commands[0].vote.others, 2u);
}

TEST_F(Balancer, IgnoresResultsInGraceAfterRestartAndWhileEjected) {
  for (int i = 0; i < 5; ++i) OneSecond("h3");
  EXPECT_EQ(TakeCommands().size(), 1u);
  OnEffect(Effect::What::kEject);
  OneSecond("h3");
  EXPECT_TRUE(TakeCommands().empty());
  OnEffect(Effect::What::kReturn);
  OneSecond("h3");
  OneSecond("h3");
  EXPECT_TRUE(TakeCommands().empty());
  for (int i = 0; i < 4; ++i) evidence_.OnResult(now_ += 100 * kMs, "h3", 2, 0, Kind::kErrors, kMs);
  EXPECT_TRUE(TakeCommands().empty());  // a new incarnation, in its grace time
  for (int i = 0; i < 4; ++i) evidence_.OnResult(now_ += kSecond, "h3", 1, 0, Kind::kErrors, kMs);
  EXPECT_TRUE(TakeCommands().empty());  // results of the earlier incarnation
}

TEST_F(Balancer, MemoryIsBounded) {
  Rules rules;
  rules.max_hosts = 50;
  Evidence evidence(rules, "b", "z");
  for (uint32_t i = 0; i < 5000; ++i) {
    evidence.OnResult(now_ += kMs, std::string("h").append(std::to_string(i)), 1, i, Kind::kErrors, kMs);
  }
  EXPECT_LE(evidence.hosts(), 50u);
}

}  // namespace
}  // namespace burlfall::ejection
