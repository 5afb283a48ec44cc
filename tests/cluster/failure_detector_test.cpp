// The mind alone, told what a network would tell it.
#include "cluster/failure_detector.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "cluster/wire.h"

namespace burlfall::cluster {
namespace {

constexpr Micros kBegin = 1000 * kSecond;

// One mind, and others that say what a test wants.
struct Stage {
  explicit Stage(Options options = {}) : detector(options, {"me", "10.0.0.1:1", {100, 0}}, {}, 7) {
    detector.Start(now);
  }

  Message From(const std::string& name, Message::Kind kind, uint64_t start = 50, uint64_t incarnation = 0) {
    Message message;
    message.kind = kind;
    message.from = {
        name, "10.0.0.2:" + std::to_string(std::hash<std::string>()(name) % 1000 + 1), {start, incarnation}};
    message.sequence = ++sequence;
    return message;
  }
  void Hear(const Message& message) {
    detector.OnMessage(now, message);
    Collect();
  }
  void Say(const std::string& by, const Update& update) {
    Message message = From(by, Message::Kind::kGossip);
    message.updates.push_back(update);
    Hear(message);
  }
  Update About(const std::string& name, State state, uint64_t incarnation = 0,
               std::vector<std::string> suspected_by = {}, uint64_t start = 50) {
    return {From(name, Message::Kind::kGossip, start, incarnation).from, state, std::move(suspected_by),
            false};
  }
  void Collect() {
    for (const Outgoing& out : detector.TakeOutgoing()) sent.push_back(out);
    for (const Call& call : detector.TakeCalls()) calls.push_back(call);
    for (const Notice& notice : detector.TakeNotices()) notices.push_back(notice);
  }
  // Timers alone, until then; `answers`: whose pings are answered.
  void Run(Micros span, const std::vector<std::string>& answers = {}) {
    const Micros until = now + span;
    while (now < until) {
      now = std::min(until, std::max(now, detector.next_tick_at()));
      detector.Tick(now);
      const size_t from = sent.size();
      Collect();
      for (size_t i = from; i < sent.size(); ++i) {
        const Message& ping = sent[i].message;
        if (ping.kind != Message::Kind::kPing && ping.kind != Message::Kind::kPingRequest) continue;
        for (const std::string& name : answers) {
          Message back = From(
              name, ping.kind == Message::Kind::kPing ? Message::Kind::kAck : Message::Kind::kPingResult);
          if (back.from.address != sent[i].to) continue;
          back.request_id = ping.request_id;
          back.ping_target = ping.ping_target;
          detector.OnMessage(now, back);
        }
      }
      Collect();
    }
  }
  bool Noted(Notice::What what, const std::string& who) const {
    return std::ranges::any_of(notices, [&](const Notice& n) { return n.what == what && n.who == who; });
  }
  State Of(const std::string& name) const { return detector.members().at(name).state; }

  Micros now = kBegin;
  uint64_t sequence = 0;
  FailureDetector detector;
  std::vector<Outgoing> sent;
  std::vector<Call> calls;
  std::vector<Notice> notices;
};

TEST(Mind, WhoGetsNoAnswerFromAnybodyAccusesNobodyAndKnowsThatItIsCutOff) {
  Stage stage;
  for (const char* name : {"a", "b", "c", "d"}) stage.Hear(stage.From(name, Message::Kind::kGossip));
  stage.Run(30 * kSecond);
  for (const char* name : {"a", "b", "c", "d"}) EXPECT_EQ(stage.Of(name), State::kAlive) << name;
  EXPECT_EQ(stage.detector.status(), SelfStatus::kCutOff);
}

TEST(Mind, OneThatHelpersDoNotReachEitherIsHeldDeadAfterItsTimeToSayOtherwise) {
  Stage stage;
  for (const char* name : {"a", "b", "c", "d"}) stage.Hear(stage.From(name, Message::Kind::kGossip));
  stage.Run(12 * kSecond, {"a", "b", "c"});  // their word for it is "not reached"
  EXPECT_EQ(stage.Of("d"), State::kDead);
  EXPECT_EQ(stage.detector.status(), SelfStatus::kConnected);
  const auto accused =
      std::ranges::find_if(stage.notices, [](const Notice& n) { return n.what == Notice::What::kSuspected; });
  ASSERT_NE(accused, stage.notices.end());
  EXPECT_EQ(accused->who, "d");
}

TEST(Mind, TheAccusedSaysThatItLivesAndTellsWhoAccusedItAtOnce) {
  Stage stage;
  stage.Hear(stage.From("a", Message::Kind::kGossip));
  Update update{{"me", "10.0.0.1:1", {100, 0}}, State::kSuspect, {"a"}, false};
  stage.sent.clear();
  stage.Say("a", update);
  EXPECT_EQ(stage.detector.self().generation.incarnation, 1u);
  ASSERT_FALSE(stage.sent.empty());
  EXPECT_EQ(stage.sent[0].message.from.generation.incarnation, 1u);
  // An accusation that is older than the word against it changes nothing more.
  stage.Say("a", update);
  EXPECT_EQ(stage.detector.self().generation.incarnation, 1u);
}

TEST(Mind, ARumourOfADeathAfterItsRefutationIsNoNewsNorIsOneAWeekLater) {
  Stage stage;
  stage.Hear(stage.From("a", Message::Kind::kGossip));
  stage.Say("a", stage.About("d", State::kAlive, 4));
  stage.Say("a", stage.About("d", State::kDead, 3));
  EXPECT_EQ(stage.Of("d"), State::kAlive);
  // Of one that nobody here knows, it does not even make an entry.
  stage.Say("a", stage.About("long-gone", State::kDead, 3));
  EXPECT_FALSE(stage.detector.members().contains("long-gone"));
}

TEST(Mind, ADeathThatIsToldIsAnAccusationAndNotADeath) {
  Stage stage;
  stage.Hear(stage.From("a", Message::Kind::kGossip));
  stage.Say("a", stage.About("d", State::kAlive, 0));
  stage.Say("a", stage.About("d", State::kDead, 0, {"x", "y", "z"}));
  EXPECT_EQ(stage.Of("d"), State::kSuspect);
  stage.Say("a", stage.About("d", State::kAlive, 1));
  EXPECT_EQ(stage.Of("d"), State::kAlive);
}

TEST(Mind, MoreAccusersShortenTheWaitAndNeverBelowItsLeast) {
  Stage stage;
  for (const char* name : {"a", "b", "c", "e", "f", "d"})
    stage.Hear(stage.From(name, Message::Kind::kGossip));
  stage.Say("a", stage.About("d", State::kSuspect, 0, {"a"}));
  const Options options;
  EXPECT_EQ(stage.detector.members().at("d").suspicion_ends_at - stage.now, options.suspicion_timeout_max);
  stage.Say("b", stage.About("d", State::kSuspect, 0, {"b"}));
  EXPECT_LT(stage.detector.members().at("d").suspicion_ends_at - stage.now, options.suspicion_timeout_max);
  stage.Say("c", stage.About("d", State::kSuspect, 0, {"c", "e", "f"}));
  EXPECT_EQ(stage.detector.members().at("d").suspicion_ends_at - stage.now, options.suspicion_timeout_min);
  EXPECT_LE(stage.detector.members().at("d").suspected_by.size(), kMaxSuspectingMembers);
}

TEST(Mind, WhoStoodStillGivesTheAccusedTheWholeOfItsWait) {
  Stage stage;
  for (const char* name : {"a", "b", "c", "d"}) stage.Hear(stage.From(name, Message::Kind::kGossip));
  stage.Say("a", stage.About("d", State::kSuspect, 0, {"a"}));
  stage.Run(500 * kMs, {"a", "b", "c"});
  stage.now += 60 * kSecond;  // stands still
  stage.detector.Tick(stage.now);
  stage.Collect();
  EXPECT_TRUE(stage.Noted(Notice::What::kPaused, "me"));
  EXPECT_EQ(stage.Of("d"), State::kSuspect);
  EXPECT_GT(stage.detector.members().at("d").suspicion_ends_at, stage.now + 2 * kSecond);
  // What was on its way in is heard before any verdict.
  Message word = stage.From("d", Message::Kind::kGossip, 50, 1);
  stage.Hear(word);
  EXPECT_EQ(stage.Of("d"), State::kAlive);
}

TEST(Mind, WithoutKnowingItsOwnPausesItWouldKillTheAccusedAndHoldItselfCutOff) {
  Options options;
  options.detect_own_pauses = false;
  Stage stage(options);
  for (const char* name : {"a", "b", "c", "d"}) stage.Hear(stage.From(name, Message::Kind::kGossip));
  stage.Run(2 * kSecond, {"a", "b", "c", "d"});
  ASSERT_EQ(stage.detector.status(), SelfStatus::kConnected);
  stage.now += 60 * kSecond;
  stage.detector.Tick(stage.now);
  EXPECT_EQ(stage.detector.status(), SelfStatus::kCutOff);
}

TEST(Mind, ADatagramIsHeardOnceAndOneOfALongPastNotAtAll) {
  Stage stage;
  Message ping = stage.From("a", Message::Kind::kPing);
  stage.Hear(ping);
  const size_t answers = stage.sent.size();
  stage.Hear(ping);
  EXPECT_EQ(stage.sent.size(), answers);
  EXPECT_EQ(stage.detector.dropped().at("replayed"), 1u);
  // Overtaken ones are heard.
  Message late = ping, early = ping;
  late.sequence += 10;
  early.sequence += 5;
  stage.Hear(late);
  stage.Hear(early);
  EXPECT_EQ(stage.sent.size(), answers + 2);
  late.sequence += 1000;
  stage.Hear(late);
  early.sequence += 1;
  stage.Hear(early);
  EXPECT_EQ(stage.detector.dropped().at("replayed"), 2u);
}

TEST(Mind, ARestartIsANewLifeAndTheOldOneIsNotHeardAnyMore) {
  Stage stage;
  stage.Hear(stage.From("a", Message::Kind::kGossip, 50));
  stage.Hear(stage.From("a", Message::Kind::kGossip, 60));
  EXPECT_EQ(stage.detector.members().at("a").who.generation.start, 60u);
  stage.sent.clear();
  stage.Hear(stage.From("a", Message::Kind::kPing, 50));
  EXPECT_EQ(stage.detector.members().at("a").who.generation.start, 60u);
  EXPECT_EQ(stage.detector.dropped().at("an old life"), 1u);
  ASSERT_EQ(stage.sent.size(), 1u);  // it is told of the later one, and nothing else
  EXPECT_EQ(stage.sent[0].message.updates.at(0).who.generation.start, 60u);
}

TEST(Mind, AStartWithAClockThatStandsBackTakesALaterNumberThanTheLifeBefore) {
  Stage stage;
  stage.Hear(stage.From("a", Message::Kind::kGossip));
  stage.Say("a",
            {{"me", "10.0.0.1:1", {500, 3}}, State::kAlive, {}, false});  // at this address: the life before
  EXPECT_EQ(stage.detector.self().generation.start, 501u);
  stage.Say("a", {{"me", "10.0.0.9:1", {900, 0}}, State::kDead, {}, false});  // elsewhere, and gone
  EXPECT_EQ(stage.detector.self().generation.start, 901u);
}

TEST(Mind, TwoProcessesOfOneNameAreNamedAndTheEarlierOneFallsSilent) {
  Stage stage;
  for (const char* name : {"a", "b"}) stage.Hear(stage.From(name, Message::Kind::kGossip));
  stage.Say("a", {{"me", "10.0.0.9:1", {900, 0}}, State::kAlive, {}, false});
  EXPECT_EQ(stage.detector.status(), SelfStatus::kDuplicateName);
  EXPECT_TRUE(stage.Noted(Notice::What::kSelfStatus, "me"));
  stage.sent.clear();
  stage.Run(5 * kSecond);
  EXPECT_TRUE(stage.sent.empty());
  // The other one ends: it takes a later life, and is back.
  stage.Say("a", {{"me", "10.0.0.9:1", {900, 0}}, State::kDead, {}, false});
  EXPECT_EQ(stage.detector.self().generation.start, 901u);
  stage.Run(2 * kSecond, {"a", "b"});
  EXPECT_EQ(stage.detector.status(), SelfStatus::kConnected);
}

TEST(Mind, ALieWithTheLargestNumberIsDroppedAndCanAlwaysBeContradicted) {
  Stage stage;
  stage.Hear(stage.From("a", Message::Kind::kGossip));
  stage.Say("a", {{"me", "10.0.0.1:1", {100, UINT64_MAX}}, State::kDead, {}, false});
  EXPECT_EQ(stage.detector.self().generation.incarnation, 0u);
  EXPECT_EQ(stage.detector.dropped().at("an impossible number"), 1u);
  stage.Say("a", {{"me", "10.0.0.1:1", {100, kMaxGenerationNumber / 2}}, State::kDead, {}, false});
  EXPECT_EQ(stage.detector.self().generation.incarnation, kMaxGenerationNumber / 2 + 1);
  // And others take that word.
  Stage other;
  other.Say("a", other.About("liar", State::kAlive, kMaxGenerationNumber / 2));
  other.Say("a", other.About("liar", State::kAlive, kMaxGenerationNumber / 2 + 1));
  EXPECT_EQ(other.detector.members().at("liar").who.generation.incarnation, kMaxGenerationNumber / 2 + 1);
}

TEST(Mind, AFloodOfNamesIsBoundedByTheSecondAndInAll) {
  Options options;
  options.max_members = 100;
  Stage stage(options);
  for (int burst = 0; burst < 10; ++burst) {
    Message message = stage.From("a", Message::Kind::kGossip);
    for (int i = 0; i < 80; ++i) {
      std::string name("ghost-");
      message.updates.push_back(stage.About(name.append(std::to_string(burst * 80 + i)), State::kAlive));
    }
    stage.Hear(message);
    if (burst == 0) {
      EXPECT_EQ(stage.detector.members().size(), 51u);
    }
    stage.now += 1100 * kMs;
    stage.detector.Tick(stage.now);
  }
  EXPECT_LT(stage.detector.members().size(), 100u);
  EXPECT_GT(stage.detector.dropped().at("too many names at once"), 0u);
  EXPECT_GT(stage.detector.dropped().at("too many members"), 0u);
}

TEST(Mind, WhatGoesOutFitsADatagramHoweverMuchNewsThereIs) {
  Stage stage;
  for (int i = 0; i < 40; ++i) {
    std::string name("member-with-a-rather-long-name-to-carry-about-");
    stage.Hear(stage.From(name.append(std::to_string(i)), Message::Kind::kGossip));
    stage.now += 50 * kMs;
  }
  stage.Run(5 * kSecond);
  ASSERT_GT(stage.sent.size(), 20u);
  for (const Outgoing& out : stage.sent) {
    EXPECT_LE(Encode(out.message, std::string(kMaxNameBytes, 's')).size(), kMaxDatagramBytes);
  }
}

TEST(Mind, NewsGoesOutABoundedNumberOfTimes) {
  Stage stage;
  for (const char* name : {"a", "b", "c"}) stage.Hear(stage.From(name, Message::Kind::kGossip));
  stage.Run(20 * kSecond, {"a", "b", "c"});
  stage.sent.clear();
  stage.Run(20 * kSecond, {"a", "b", "c"});
  for (const Outgoing& out : stage.sent) EXPECT_TRUE(out.message.updates.empty());
}

TEST(Mind, TheMostThatThereWereIsRememberedWhileTheViewShrinks) {
  Stage stage;
  for (const char* name : {"a", "b", "c", "d"}) stage.Hear(stage.From(name, Message::Kind::kGossip));
  EXPECT_EQ(stage.detector.MaxAliveWithin(stage.now, 600 * kSecond), 5u);
  stage.Say("a", stage.About("d", State::kLeft));
  stage.Say("a", stage.About("c", State::kLeft));
  EXPECT_EQ(stage.detector.alive_count(), 3u);
  stage.now += 60 * kSecond;
  EXPECT_EQ(stage.detector.MaxAliveWithin(stage.now, 600 * kSecond), 5u);
  EXPECT_EQ(stage.detector.MaxAliveWithin(stage.now, 30 * kSecond), 3u);
}

TEST(Mind, OneThatLeftIsNotDeadAndNobodyLooksForIt) {
  Stage stage;
  for (const char* name : {"a", "b", "c", "d"}) stage.Hear(stage.From(name, Message::Kind::kGossip));
  stage.Say("a", stage.About("d", State::kLeft));
  stage.Run(5 * kSecond, {"a", "b", "c"});
  EXPECT_EQ(stage.Of("d"), State::kLeft);
  stage.sent.clear();
  stage.Run(20 * kSecond, {"a", "b", "c"});
  const std::string address = stage.From("d", Message::Kind::kGossip).from.address;
  for (const Outgoing& out : stage.sent) EXPECT_NE(out.to, address);
  stage.Run(60 * kSecond, {"a", "b", "c"});
  EXPECT_FALSE(stage.detector.members().contains("d"));
}

TEST(Mind, OneThatWasDeadAndLeftInALaterLifeIsNotCalledAsDead) {
  Stage stage;
  for (const char* name : {"a", "b", "c", "d"}) stage.Hear(stage.From(name, Message::Kind::kGossip));
  stage.Run(12 * kSecond, {"a", "b", "c"});
  ASSERT_EQ(stage.Of("d"), State::kDead);
  stage.Say("a", stage.About("d", State::kLeft, 0, {}, 60));  // its later life, of which nothing was heard
  EXPECT_EQ(stage.Of("d"), State::kLeft);
}

TEST(Mind, ThePingsOfOneThatHearsNobodyAreBounded) {
  Stage stage;
  for (const char* name : {"a", "b", "c"}) stage.Hear(stage.From(name, Message::Kind::kGossip));
  stage.Run(400 * kSecond);
  // The first of them, long forgotten, is no contact any more; the last one is.
  const auto ping = std::ranges::find_if(
      stage.sent, [](const Outgoing& out) { return out.message.kind == Message::Kind::kPing; });
  ASSERT_NE(ping, stage.sent.end());
  for (const char* name : {"a", "b", "c"}) {
    Message late = stage.From(name, Message::Kind::kAck);
    late.request_id = ping->message.request_id;
    stage.Hear(late);
    EXPECT_EQ(stage.detector.members().at(name).acked_at, 0) << name;
  }
}

TEST(Mind, TheDeadAreCalledAndComeBackInTheirOwnWord) {
  Stage stage;
  for (const char* name : {"a", "b", "c", "d"}) stage.Hear(stage.From(name, Message::Kind::kGossip));
  stage.Run(12 * kSecond, {"a", "b", "c"});
  ASSERT_EQ(stage.Of("d"), State::kDead);
  stage.sent.clear();
  stage.Run(5 * kSecond, {"a", "b", "c"});
  const std::string address = stage.From("d", Message::Kind::kGossip).from.address;
  const auto call = std::ranges::find_if(stage.sent, [&](const Outgoing& out) { return out.to == address; });
  ASSERT_NE(call, stage.sent.end());
  EXPECT_EQ(call->message.updates.at(0).state, State::kDead);  // it hears what is held of it
  stage.Hear(stage.From("d", Message::Kind::kAck, 50, 0));
  EXPECT_EQ(stage.Of("d"), State::kDead);  // from before the word
  stage.Hear(
      stage.From("d", Message::Kind::kAck, 50, call->message.updates.at(0).who.generation.incarnation + 1));
  EXPECT_EQ(stage.Of("d"), State::kAlive);
}

}  // namespace
}  // namespace burlfall::cluster
