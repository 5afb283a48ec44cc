// The checker accepts a correct history and rejects each history with an injected violation.
#include "lab/ejection_world/checker.h"

#include <gtest/gtest.h>

namespace burlfall::ejection_world {
namespace {

// Histories of ten hosts in one zone and four balancers in two zones.
class Histories : public testing::Test {
 protected:
  Histories() {
    Event event = At(0, Event::What::kGroup);
    for (int i = 0; i < 10; ++i)
      event.group.hosts.push_back({std::string("h").append(std::to_string(i)), "z", 1, false, false, 1});
    for (int i = 0; i < 4; ++i) event.group.balancers.push_back({Name(i), i % 2 == 0 ? "z0" : "z1", {}});
    checker_.OnEvent(event);
  }
  static std::string Name(int balancer) { return std::string("b").append(std::to_string(balancer)); }
  static Event At(Micros at, Event::What what, const std::string& balancer = "",
                  const std::string& host = "h0") {
    Event event;
    event.at = at;
    event.what = what;
    event.balancer = balancer;
    event.host = host;
    event.incarnation = 1;
    return event;
  }
  void Truth(Micros at, int users, const std::string& host = "h0") {
    Event event = At(at, Event::What::kTruth, "", host);
    for (int i = 0; i < users; ++i) event.users.insert(Name(i));
    checker_.OnEvent(event);
  }
  void Result(Micros at, int balancer, bool good, const std::string& host = "h0") {
    Event event = At(at, Event::What::kResult, Name(balancer), host);
    event.good = good;
    checker_.OnEvent(event);
  }
  void Vote(Micros at, int balancer, const std::string& host = "h0", ejection::Incarnation incarnation = 1) {
    Result(at, balancer, false, host);
    Event event = At(at, Event::What::kVote);
    event.vote = {
        Name(balancer), balancer % 2 == 0 ? "z0" : "z1", host, incarnation, kSecond, 2, 2, {}, 0, 0, true,
        30 * kSecond};
    checker_.OnEvent(event);
  }
  void EjectEverywhere(Micros at, const std::string& host = "h0", uint64_t number = 1) {
    for (int i = 0; i < 4; ++i) {
      Event event = At(at, Event::What::kEjected, Name(i), host);
      event.number = number;
      checker_.OnEvent(event);
    }
  }
  void ReturnEverywhere(Micros at, const std::string& host = "h0") {
    for (int i = 0; i < 4; ++i) checker_.OnEvent(At(at, Event::What::kReturned, Name(i), host));
  }
  void JustifiedEjection(const std::string& host = "h0", uint64_t number = 1, Micros at = 5 * kSecond) {
    Truth(at, 4, host);
    for (int i = 0; i < 3; ++i) Vote(at + kSecond, i, host);
    EjectEverywhere(at + 4 * kSecond, host, number);
  }
  ejection::Rules rules_;
  Checker checker_{rules_, kSecond};
};

TEST_F(Histories, AcceptsAJustifiedEjection) {
  JustifiedEjection();
  ReturnEverywhere(14 * kSecond);
  checker_.Finish(100 * kSecond);
  EXPECT_TRUE(checker_.violations().empty());
  EXPECT_EQ(checker_.ejections(), 1u);
}

TEST_F(Histories, RejectsEjectionWithTooFewVotes) {
  Truth(kSecond, 4);
  Vote(2 * kSecond, 0);
  Vote(2 * kSecond, 1);
  Vote(3 * kSecond, 1);           // a second vote of one balancer counts once
  Vote(3 * kSecond, 2, "h0", 0);  // of another incarnation
  EjectEverywhere(4 * kSecond);
  EXPECT_FALSE(checker_.violations().empty());
}

TEST_F(Histories, RejectsEjectionByOneZoneOnly) {
  Event group = At(kSecond, Event::What::kGroup);
  group.group.hosts = {{"h0", "z", 1, false, false, 1}, {"h1", "z", 1, false, false, 1}};
  for (int i = 0; i < 4; ++i) group.group.balancers.push_back({Name(i), i < 3 ? "z0" : "z1", {}});
  checker_.OnEvent(group);
  Truth(kSecond, 4);
  for (int i = 0; i < 3; ++i) {
    Result(2 * kSecond, i, false);
    Event event = At(2 * kSecond, Event::What::kVote);
    event.vote = {Name(i), "z0", "h0", 1, kSecond, 2, 2, {}, 0, 0, true, 30 * kSecond};
    checker_.OnEvent(event);
  }
  EjectEverywhere(4 * kSecond);
  EXPECT_FALSE(checker_.violations().empty());
}

TEST_F(Histories, RejectsEjectionsAboveTheCap) {
  JustifiedEjection();
  JustifiedEjection("h1", 2, 6 * kSecond);  // of ten hosts one may be ejected, whichever owner counts
  EXPECT_FALSE(checker_.violations().empty());
}

TEST_F(Histories, RejectsEjectionOfAHostThatWorksForMost) {
  Truth(0, 0);
  for (int i = 0; i < 4; ++i) Result(kSecond, i, true);
  for (int i = 0; i < 3; ++i) Vote(50 * kSecond, i);
  // Three of four balancers have since seen failures, so the host does not work for most of them.
  EjectEverywhere(51 * kSecond);
  EXPECT_TRUE(checker_.violations().empty());
  Truth(60 * kSecond, 1, "h5");
  for (int i = 1; i < 4; ++i) Result(60 * kSecond, i, true, "h5");
  Vote(61 * kSecond, 0, "h5");
  ReturnEverywhere(62 * kSecond);
  EjectEverywhere(62 * kSecond, "h5", 2);
  EXPECT_FALSE(checker_.violations().empty());
}

TEST_F(Histories, RejectsEjectionThatNeverEnds) {
  JustifiedEjection();
  checker_.Finish(100 * kSecond);
  EXPECT_FALSE(checker_.violations().empty());
}

TEST_F(Histories, RejectsNewTermWithoutABadTrial) {
  JustifiedEjection();
  EjectEverywhere(20 * kSecond);
  EXPECT_FALSE(checker_.violations().empty());
}

TEST_F(Histories, RejectsEjectionOfTheLastHostOfAZone) {
  Event group = At(kSecond, Event::What::kGroup);
  group.group.hosts = {{"h0", "alone", 1, false, false, 1}, {"h1", "z", 1, false, false, 1}};
  for (int i = 0; i < 4; ++i) group.group.balancers.push_back({Name(i), i % 2 == 0 ? "z0" : "z1", {}});
  checker_.OnEvent(group);
  checker_.OnEvent(At(4 * kSecond, Event::What::kResult));
  JustifiedEjection();
  EXPECT_FALSE(checker_.violations().empty());
}

}  // namespace
}  // namespace burlfall::ejection_world
