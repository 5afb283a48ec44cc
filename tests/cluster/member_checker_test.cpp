// Tests the checker of member runs: for each rule a history that breaks it, and one history that breaks none.
#include <gtest/gtest.h>

#include "lab/members/member_judge.h"

namespace burlfall::lab {
namespace {

constexpr int kMembers = 4;

struct Fixture {
  explicit Fixture(const std::function<void(Scenario&)>& with = [](Scenario&) {}) {
    scenario.members = kMembers;
    scenario.goals.known_worst_s = 5;
    scenario.goals.equal_within_s = 5;
    with(scenario);
    plan = DrawMembers(scenario, 1);
    judge.emplace(scenario, plan);
    for (int i = 0; i < kMembers; ++i) judge->Started(0, i);
    for (int i = 0; i < kMembers; ++i) {
      for (int other = 0; other < kMembers; ++other) {
        if (other != i) judge->Saw(kSecond, i, Sight::kJoined, other);
      }
    }
  }
  std::string FirstFailure(Micros at = 30 * kSecond) {
    const MemberVerdict verdict = judge->Finish(at);
    return verdict.broken.empty() ? "" : verdict.broken[0];
  }
  Scenario scenario;
  MemberPlan plan;
  std::optional<MemberJudge> judge;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST(MemberJudge, AcceptsViewsThatMatchTheFaults) {
  Fixture fixture([](Scenario& s) {
    MemberFault fault;
    fault.at_s = 10;
    fault.who = "name:m003";
    s.faults.push_back(fault);
  });
  fixture.judge->Ended(10 * kSecond, 3, false);
  for (int i = 0; i < 3; ++i) fixture.judge->Saw(12 * kSecond, i, Sight::kDied, 3);
  EXPECT_EQ(fixture.FirstFailure(), "");
}

TEST(MemberJudge, RejectsADeathOfARunningMember) {
  Fixture fixture;
  fixture.judge->Saw(10 * kSecond, 0, Sight::kDied, 1);
  fixture.judge->Saw(11 * kSecond, 0, Sight::kReturned, 1);
  EXPECT_TRUE(Contains(fixture.FirstFailure(), "m000 holds m001 dead, which runs"));
}

TEST(MemberJudge, RejectsADeathThatAMemberNeverLearned) {
  Fixture fixture;
  fixture.judge->Ended(10 * kSecond, 3, false);
  for (int i = 0; i < 2; ++i) fixture.judge->Saw(12 * kSecond, i, Sight::kDied, 3);
  EXPECT_TRUE(Contains(fixture.FirstFailure(), "m002 never knew that m003 is gone"));
}

TEST(MemberJudge, RejectsADeathKnownTooLate) {
  Fixture fixture;
  fixture.judge->Ended(10 * kSecond, 3, false);
  for (int i = 0; i < 3; ++i) fixture.judge->Saw((12 + 3 * i) * kSecond, i, Sight::kDied, 3);
  EXPECT_TRUE(Contains(fixture.FirstFailure(), "to the last: 8.00 s"));
}

TEST(MemberJudge, RejectsViewsThatDifferAtTheEnd) {
  Fixture fixture([](Scenario& s) { s.goals.known_worst_s.reset(); });
  fixture.judge->Ended(10 * kSecond, 3, false);
  fixture.judge->Saw(12 * kSecond, 0, Sight::kDied, 3);
  EXPECT_TRUE(Contains(fixture.FirstFailure(), "views are not equal and right at the end: 2"));
}

TEST(MemberJudge, RejectsAStartThatAMemberNeverLearned) {
  Fixture fixture([](Scenario& s) { s.goals.joined_worst_s = 3; });
  fixture.judge->Ended(5 * kSecond, 3, true);
  for (int i = 0; i < 3; ++i) fixture.judge->Saw(5 * kSecond, i, Sight::kLeft, 3);
  fixture.judge->Started(10 * kSecond, 3);
  for (int i = 0; i < 3; ++i) fixture.judge->Saw(11 * kSecond, 3, Sight::kJoined, i);
  for (int i = 0; i < 2; ++i) fixture.judge->Saw(11 * kSecond, i, Sight::kJoined, 3);
  EXPECT_TRUE(Contains(fixture.FirstFailure(), "m002 never heard of m003"));
}

TEST(MemberJudge, RejectsAViewChangeAboutAMemberWithoutFault) {
  Fixture fixture([](Scenario& s) {
    s.goals.nobody_else = true;
    MemberFault fault;
    fault.kind = MemberFaultKind::kPaused;
    fault.at_s = 8;
    fault.for_s = {1, 1};
    fault.who = "name:m003";
    s.faults.push_back(fault);
  });
  fixture.judge->Saw(10 * kSecond, 0, Sight::kSuspected, 3);
  fixture.judge->Saw(10 * kSecond, 0, Sight::kCleared, 3);
  fixture.judge->Saw(10 * kSecond, 0, Sight::kSuspected, 1);
  EXPECT_TRUE(Contains(fixture.FirstFailure(), "m000 says of m001, whom no fault is about: suspect"));
}

TEST(MemberJudge, RejectsASuspicionRightAfterAPause) {
  Fixture fixture;
  fixture.judge->Paused(10 * kSecond, 0, true);
  fixture.judge->Paused(12 * kSecond, 0, false);
  fixture.judge->Saw(12 * kSecond + 100 * kMs, 0, Sight::kSuspected, 1, true);
  EXPECT_TRUE(Contains(fixture.FirstFailure(), "m000 stood still until 12.00 s, and accuses m001"));
}

TEST(MemberJudge, RejectsACutThatTheCutMemberDoesNotNotice) {
  Fixture fixture([](Scenario& s) {
    s.goals.cut_off_within_s = 10;
    MemberFault fault;
    fault.kind = MemberFaultKind::kCut;
    fault.at_s = 8;
    fault.for_s = {12, 12};
    fault.who = "name:m003";
    s.faults.push_back(fault);
  });
  for (int i = 0; i < 3; ++i)
    fixture.judge->Saw(12 * kSecond, i, Sight::kDied, 3);  // m003 itself does not notice
  for (int i = 0; i < 3; ++i) fixture.judge->Saw(21 * kSecond, i, Sight::kReturned, 3);
  EXPECT_TRUE(Contains(fixture.FirstFailure(), "known in 3 of 4 views"));
}

TEST(MemberJudge, RejectsAMemberThatHoldsItselfCutOffAtTheEnd) {
  Fixture fixture;
  fixture.judge->Saw(12 * kSecond, 2, Sight::kCutOff, 2);
  EXPECT_TRUE(Contains(fixture.FirstFailure(), "m002 holds itself cut off at the end"));
}

}  // namespace
}  // namespace burlfall::lab
