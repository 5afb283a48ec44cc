// Tests of the checker of council histories: it accepts a correct history and reports each broken invariant.
#include "lab/council_judge/history_checker.h"

#include <gtest/gtest.h>

namespace burlfall::lab {
namespace {

using What = Seen::What;
using freeze::ChangeKind;
using freeze::IncidentKind;
using freeze::Scope;

class CouncilJudge : public ::testing::Test {
 protected:
  Seen& See(What what) {
    history_.emplace_back();
    history_.back().at = static_cast<Micros>(history_.size()) * kMs;
    history_.back().what = what;
    history_.back().place = "b1";
    history_.back().work = "freeze";
    return history_.back();
  }
  Seen& Change(What what, uint64_t id) {
    Seen& seen = See(what);
    seen.change = id;
    seen.scope = Scope::Balancer("b1", "z0");
    return seen;
  }
  Seen& Act(What what, uint64_t epoch, uint64_t act) {
    Seen& seen = See(what);
    seen.epoch = epoch;
    seen.act = act;
    return seen;
  }
  Seen& Incident(What what) {
    Seen& seen = See(what);
    seen.incident = 5;
    seen.scope = Scope::Zone("z0");
    return seen;
  }
  // Numbers of the invariants that are broken, in the order found.
  std::vector<int> Found() {
    std::vector<int> found;
    for (const Broken& broken : JudgeCouncil(history_, {})) found.push_back(broken.invariant);
    return found;
  }
  using Numbers = std::vector<int>;

  std::vector<Seen> history_;
};

TEST_F(CouncilJudge, PassesAGoodHistory) {
  See(What::kOwned).epoch = 3;
  See(What::kOwned).epoch = 3;  // reported twice
  Act(What::kObeyed, 3, 1);
  Act(What::kHadEffect, 3, 1);
  Act(What::kObeyed, 4, 2);
  Act(What::kFencedAct, 3, 3);
  See(What::kAsked).number = 1;
  Change(What::kChangeBegan, 1);
  See(What::kAnswered).number = 1;
  Change(What::kStepBegan, 1);
  Incident(What::kIncidentStands);
  Change(What::kStepEnded, 1);
  Incident(What::kIncidentYes);
  Change(What::kStepBegan, 1).undoing = true;  // it ran when the incident opened
  Change(What::kStepEnded, 1);
  Change(What::kChangeEnded, 1);
  Seen& refused = See(What::kAsked);
  refused.number = 2;
  refused.scope = Scope::Site();
  Seen& answer = See(What::kAnswered);
  answer.number = 2;
  answer.error = owner::Error::kFrozen;
  Change(What::kChangeBegan, 2);
  Change(What::kGlass, 2);
  Change(What::kStepBegan, 2);
  Change(What::kStepEnded, 2);
  Change(What::kChangeEnded, 2);
  Seen& emergency = See(What::kEmergency);
  emergency.number = 1;
  emergency.change_kind = ChangeKind::kRestart;
  See(What::kNoted).number = 1;
  EXPECT_EQ(Found(), Numbers{});
}

TEST_F(CouncilJudge, Rejects1ALowerEpochOverARestartAndOneEpochTwice) {
  Act(What::kObeyed, 4, 1);
  Act(What::kObeyed, 3, 2);
  EXPECT_EQ(Found(), Numbers{1});
  history_.clear();
  See(What::kOwned).epoch = 3;
  Seen& other = See(What::kOwned);
  other.epoch = 3;
  other.who.name = "b2";
  EXPECT_EQ(Found(), Numbers{1});
}

TEST_F(CouncilJudge, Rejects2AFencedActWithAnEffect) {
  Act(What::kFencedAct, 3, 7);
  Act(What::kHadEffect, 3, 7);
  EXPECT_EQ(Found(), Numbers{2});
}

TEST_F(CouncilJudge, Rejects3AStepWhileAnIncidentIsInForceAndAnUnrecordedEmergency) {
  Change(What::kChangeBegan, 1);
  Incident(What::kIncidentStands);
  Incident(What::kIncidentYes);
  Change(What::kStepBegan, 1);
  Change(What::kStepEnded, 1);
  Incident(What::kIncidentOver);
  Change(What::kStepBegan, 1);  // no incident is open any more
  Change(What::kStepEnded, 1);
  Change(What::kChangeEnded, 1);
  EXPECT_EQ(Found(), Numbers{3});
  history_.clear();
  See(What::kEmergency).change_kind = ChangeKind::kNodeOut;
  EXPECT_EQ(Found(), Numbers{3});
}

TEST_F(CouncilJudge, Rejects4TwoUnderWayTwoEndsNoEndNoAnswerAndARefusalWithoutCause) {
  Change(What::kChangeBegan, 1);
  Change(What::kChangeBegan, 2);
  Change(What::kChangeEnded, 1);
  Change(What::kChangeEnded, 1);
  EXPECT_EQ(Found(), (Numbers{4, 4, 4}));  // both under way, ended twice, never ended
  history_.clear();
  Change(What::kChangeBegan, 1);
  Change(What::kMayGoOn, 1).until = kSecond;
  Change(What::kChangeEnded, 1).error = owner::Error::kLeaseOver;
  EXPECT_EQ(Found(), Numbers{4});
  history_.clear();
  Change(What::kChangeBegan, 1);
  Change(What::kStepBegan, 1);
  Change(What::kChangeEnded, 1);
  Change(What::kChangeBegan, 2);
  Change(What::kStepBegan, 2);  // the first step continues after its change has ended
  Change(What::kChangeEnded, 2);
  EXPECT_EQ(Found(), Numbers{4});
  history_.clear();
  See(What::kAsked).number = 1;
  See(What::kMajority).up = false;
  See(What::kMajority).at = 100 * kSecond;
  history_.back().up = true;
  See(What::kMajority).at = 109 * kSecond;
  history_.back().up = true;
  EXPECT_EQ(Found(), Numbers{});
  history_.pop_back();
  See(What::kStepEnded).at = 111 * kSecond;
  EXPECT_EQ(Found(), Numbers{4});
  history_.clear();
  See(What::kAsked).number = 1;
  See(What::kAnswered).number = 1;
  history_.back().error = owner::Error::kConflict;
  EXPECT_EQ(Found(), Numbers{4});
}

}  // namespace
}  // namespace burlfall::lab
