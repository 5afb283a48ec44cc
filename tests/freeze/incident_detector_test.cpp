// Tests of the incident detector: hysteresis, change of coordinator, expiry and bounds.
#include "freeze/incident_detector.h"

#include <gtest/gtest.h>

namespace burlfall::freeze {
namespace {

const Scope kZone = Scope::Zone("z0");
constexpr auto kKind = IncidentKind::kZoneDown;  // high 0.5 for 5 s, low 0.2 for 60 s

class SightsTest : public ::testing::Test {
 protected:
  // Observes `share` every 500 ms for `span`, applies all proposals and returns their kinds.
  std::string Observe(double share, Micros span) {
    std::string kinds;
    for (const Micros until = now_ + span; now_ < until; now_ += 500 * kMs) {
      for (const Command& command : detector_.OnObservation(now_, kKind, kZone, share)) {
        kinds += command.kind == Command::Kind::kOpenIncident ? 'o' : 'c';
        EXPECT_EQ(command.coordinator, 4u);
        for (const Effect& effect : state_.Apply(++index_, now_, command)) detector_.OnApplied(now_, effect);
      }
    }
    return kinds;
  }

  void SetUp() override { detector_.BecomeCoordinator(0, state_, 4); }

  State state_;
  IncidentDetector detector_{Rules{}};
  Micros now_ = 0;
  uint64_t index_ = 0;
};

TEST_F(SightsTest, OpensAndClosesWithHysteresis) {
  EXPECT_EQ(Observe(0.4, 30 * kSecond), "");
  EXPECT_EQ(Observe(0.6, 4 * kSecond), "");
  EXPECT_EQ(Observe(0.4, kSecond), "");  // an interruption: the time starts again
  EXPECT_EQ(Observe(0.6, 4 * kSecond), "");
  EXPECT_EQ(Observe(0.6, 4 * kSecond), "o");
  EXPECT_EQ(Observe(0.3, 100 * kSecond), "");  // between the two shares
  EXPECT_EQ(Observe(0.1, 50 * kSecond), "");
  EXPECT_EQ(Observe(0.3, kSecond), "o");  // confirmed once more
  EXPECT_EQ(Observe(0.1, 50 * kSecond), "");
  EXPECT_EQ(Observe(0.1, 20 * kSecond), "c");
  EXPECT_TRUE(state_.incidents().empty());
  EXPECT_EQ(Observe(0.6, 6 * kSecond), "o");  // opens again
}

TEST_F(SightsTest, ANewCoordinatorClosesWhatTheEarlierOneOpened) {
  Observe(0.9, 6 * kSecond);
  ASSERT_EQ(state_.incidents().size(), 1u);
  IncidentDetector next{Rules{}};
  next.BecomeCoordinator(now_, state_, 5);
  std::vector<Command> closes;
  for (int i = 0; i < 122 && closes.empty(); ++i) {
    closes = next.OnObservation(now_ += 500 * kMs, kKind, kZone, 0.0);
  }
  ASSERT_EQ(closes.size(), 1u);
  EXPECT_EQ(state_.Apply(++index_, now_, closes[0])[0].what, Effect::What::kIncidentClosed);
  // Commands of the earlier coordinator are refused.
  EXPECT_EQ(Observe(0.9, 20 * kSecond).find('c'), std::string::npos);
  EXPECT_TRUE(state_.incidents().empty());
}

TEST_F(SightsTest, AnIncidentThatNobodyObservesEndsByItself) {
  Observe(0.9, 6 * kSecond);
  EXPECT_TRUE(state_.IncidentsDue(now_ + 9 * 60 * kSecond).empty());
  EXPECT_EQ(state_.IncidentsDue(now_ + 11 * 60 * kSecond).size(), 1u);
}

TEST_F(SightsTest, IsBounded) {
  IncidentDetector bounded{Rules{}, 2};
  size_t opened = 0;
  for (int round = 0; round < 20; ++round) {
    for (int i = 0; i < 10; ++i) {
      opened += bounded.OnObservation(round * kSecond, kKind,
                                      Scope::Zone(std::string("z").append(std::to_string(i))), 0.9)
                        .size() != 0 &&
                round == 5;
    }
  }
  EXPECT_EQ(opened, 2u);
}

}  // namespace
}  // namespace burlfall::freeze
