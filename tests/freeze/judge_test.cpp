// Tests of the checker of council histories: it accepts a correct history and reports each violation
// invariant.
#include <gtest/gtest.h>

#include "lab/council_judge/history_checker.h"

namespace burlfall::lab {
namespace {

using What = Observation::What;
using freeze::ChangeKind;
using freeze::IncidentKind;
using freeze::Scope;

class CouncilJudge : public ::testing::Test {
 protected:
  Observation& Record(What what) {
    history_.emplace_back();
    history_.back().at = static_cast<Micros>(history_.size()) * kMs;
    history_.back().what = what;
    history_.back().place = "b1";
    history_.back().task = "freeze";
    return history_.back();
  }
  Observation& Change(What what, uint64_t id) {
    Observation& observation = Record(what);
    observation.change = id;
    observation.scope = Scope::Balancer("b1", "z0");
    return observation;
  }
  Observation& Act(What what, uint64_t epoch, uint64_t act) {
    Observation& observation = Record(what);
    observation.epoch = epoch;
    observation.act = act;
    return observation;
  }
  Observation& Incident(What what) {
    Observation& observation = Record(what);
    observation.incident = 5;
    observation.scope = Scope::Zone("z0");
    return observation;
  }
  // Numbers of the invariants that are violation, in the order found.
  std::vector<int> Found() {
    std::vector<int> found;
    for (const Violation& violation : CheckHistory(history_, {})) found.push_back(violation.invariant);
    return found;
  }
  using Numbers = std::vector<int>;

  std::vector<Observation> history_;
};

TEST_F(CouncilJudge, PassesAGoodHistory) {
  Record(What::kEpochGranted).epoch = 3;
  Record(What::kEpochGranted).epoch = 3;  // reported twice
  Act(What::kActAccepted, 3, 1);
  Act(What::kActHadEffect, 3, 1);
  Act(What::kActAccepted, 4, 2);
  Act(What::kActFenced, 3, 3);
  Record(What::kRequestSent).number = 1;
  Change(What::kChangeBegan, 1);
  Record(What::kRequestAnswered).number = 1;
  Change(What::kStepBegan, 1);
  Incident(What::kIncidentOpened);
  Change(What::kStepEnded, 1);
  Incident(What::kIncidentEnforced);
  Change(What::kStepBegan, 1).undoing = true;  // it ran when the incident opened
  Change(What::kStepEnded, 1);
  Change(What::kChangeEnded, 1);
  Observation& refused = Record(What::kRequestSent);
  refused.number = 2;
  refused.scope = Scope::Site();
  Observation& answer = Record(What::kRequestAnswered);
  answer.number = 2;
  answer.error = owner::Error::kFrozen;
  Change(What::kChangeBegan, 2);
  Change(What::kEmergencyOverride, 2);
  Change(What::kStepBegan, 2);
  Change(What::kStepEnded, 2);
  Change(What::kChangeEnded, 2);
  Observation& emergency = Record(What::kEmergency);
  emergency.number = 1;
  emergency.change_kind = ChangeKind::kRestart;
  Record(What::kEmergencyOnRecord).number = 1;
  EXPECT_EQ(Found(), Numbers{});
}

TEST_F(CouncilJudge, Rejects1ALowerEpochOverARestartAndOneEpochTwice) {
  Act(What::kActAccepted, 4, 1);
  Act(What::kActAccepted, 3, 2);
  EXPECT_EQ(Found(), Numbers{1});
  history_.clear();
  Record(What::kEpochGranted).epoch = 3;
  Observation& other = Record(What::kEpochGranted);
  other.epoch = 3;
  other.who.name = "b2";
  EXPECT_EQ(Found(), Numbers{1});
}

TEST_F(CouncilJudge, Rejects2AFencedActWithAnEffect) {
  Act(What::kActFenced, 3, 7);
  Act(What::kActHadEffect, 3, 7);
  EXPECT_EQ(Found(), Numbers{2});
}

TEST_F(CouncilJudge, Rejects3AStepWhileAnIncidentIsInForceAndAnUnrecordedEmergency) {
  Change(What::kChangeBegan, 1);
  Incident(What::kIncidentOpened);
  Incident(What::kIncidentEnforced);
  Change(What::kStepBegan, 1);
  Change(What::kStepEnded, 1);
  Incident(What::kIncidentEnded);
  Change(What::kStepBegan, 1);  // no incident is open any more
  Change(What::kStepEnded, 1);
  Change(What::kChangeEnded, 1);
  EXPECT_EQ(Found(), Numbers{3});
  history_.clear();
  Record(What::kEmergency).change_kind = ChangeKind::kNodeOut;
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
  Change(What::kChangeLeaseHeld, 1).until = kSecond;
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
  Record(What::kRequestSent).number = 1;
  Record(What::kMajorityAvailable).up = false;
  Record(What::kMajorityAvailable).at = 100 * kSecond;
  history_.back().up = true;
  Record(What::kMajorityAvailable).at = 109 * kSecond;
  history_.back().up = true;
  EXPECT_EQ(Found(), Numbers{});
  history_.pop_back();
  Record(What::kStepEnded).at = 111 * kSecond;
  EXPECT_EQ(Found(), Numbers{4});
  history_.clear();
  Record(What::kRequestSent).number = 1;
  Record(What::kRequestAnswered).number = 1;
  history_.back().error = owner::Error::kConflict;
  EXPECT_EQ(Found(), Numbers{4});
}

}  // namespace
}  // namespace burlfall::lab
