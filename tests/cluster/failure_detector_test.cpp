// The failure detector alone; the tests act as its network.
#include "cluster/failure_detector.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "cluster/wire.h"

namespace burlfall::cluster {
namespace {

constexpr Micros kStart = 1000 * kSecond;

// One failure detector, and other members whose messages the test writes.
struct Fixture {
  explicit Fixture(Options options = {}) : detector(options, {"me", "10.0.0.1:1", {100, 0}}, {}, 7) {
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
  void Receive(const Message& message) {
    detector.OnMessage(now, message);
    Collect();
  }
  void ReceiveUpdate(const std::string& by, const Update& update) {
    Message message = From(by, Message::Kind::kGossip);
    message.updates.push_back(update);
    Receive(message);
  }
  Update UpdateAbout(const std::string& name, State state, uint64_t incarnation = 0,
                     std::vector<std::string> suspected_by = {}, uint64_t start = 50) {
    return {From(name, Message::Kind::kGossip, start, incarnation).from, state, std::move(suspected_by),
            false};
  }
  void Collect() {
    for (const Outgoing& out : detector.TakeOutgoing()) sent.push_back(out);
    for (const Call& call : detector.TakeCalls()) calls.push_back(call);
    for (const Notice& notice : detector.TakeNotices()) notices.push_back(notice);
  }
  // Runs the timers for `span`. `answers`: members that answer pings, and that answer ping requests with
  // "not reached".
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
  bool HasNotice(Notice::What what, const std::string& who) const {
    return std::ranges::any_of(notices, [&](const Notice& n) { return n.what == what && n.who == who; });
  }
  State StateOf(const std::string& name) const { return detector.members().at(name).state; }

  Micros now = kStart;
  uint64_t sequence = 0;
  FailureDetector detector;
  std::vector<Outgoing> sent;
  std::vector<Call> calls;
  std::vector<Notice> notices;
};

TEST(Mind, AMemberThatReceivesNoAnswersSuspectsNobodyAndKnowsThatItIsCutOff) {
  Fixture fixture;
  for (const char* name : {"a", "b", "c", "d"}) fixture.Receive(fixture.From(name, Message::Kind::kGossip));
  fixture.Run(30 * kSecond);
  for (const char* name : {"a", "b", "c", "d"}) EXPECT_EQ(fixture.StateOf(name), State::kAlive) << name;
  EXPECT_EQ(fixture.detector.status(), SelfStatus::kCutOff);
}

TEST(Mind, AMemberThatHelpersDoNotReachEitherDiesAfterItsSuspicionTimeout) {
  Fixture fixture;
  for (const char* name : {"a", "b", "c", "d"}) fixture.Receive(fixture.From(name, Message::Kind::kGossip));
  fixture.Run(12 * kSecond, {"a", "b", "c"});  // they answer ping requests with "not reached"
  EXPECT_EQ(fixture.StateOf("d"), State::kDead);
  EXPECT_EQ(fixture.detector.status(), SelfStatus::kConnected);
  const auto suspected = std::ranges::find_if(
      fixture.notices, [](const Notice& n) { return n.what == Notice::What::kSuspected; });
  ASSERT_NE(suspected, fixture.notices.end());
  EXPECT_EQ(suspected->who, "d");
}

TEST(Mind, ASuspectRefutesAndNotifiesTheSuspectingMemberAtOnce) {
  Fixture fixture;
  fixture.Receive(fixture.From("a", Message::Kind::kGossip));
  Update update{{"me", "10.0.0.1:1", {100, 0}}, State::kSuspect, {"a"}, false};
  fixture.sent.clear();
  fixture.ReceiveUpdate("a", update);
  EXPECT_EQ(fixture.detector.self().generation.incarnation, 1u);
  ASSERT_FALSE(fixture.sent.empty());
  EXPECT_EQ(fixture.sent[0].message.from.generation.incarnation, 1u);
  // A suspicion that is older than the refutation has no effect.
  fixture.ReceiveUpdate("a", update);
  EXPECT_EQ(fixture.detector.self().generation.incarnation, 1u);
}

TEST(Mind, AnOutdatedDeathReportIsIgnoredAndCreatesNoEntryForAnUnknownMember) {
  Fixture fixture;
  fixture.Receive(fixture.From("a", Message::Kind::kGossip));
  fixture.ReceiveUpdate("a", fixture.UpdateAbout("d", State::kAlive, 4));
  fixture.ReceiveUpdate("a", fixture.UpdateAbout("d", State::kDead, 3));
  EXPECT_EQ(fixture.StateOf("d"), State::kAlive);
  // A report about an unknown member creates no entry.
  fixture.ReceiveUpdate("a", fixture.UpdateAbout("long-gone", State::kDead, 3));
  EXPECT_FALSE(fixture.detector.members().contains("long-gone"));
}

TEST(Mind, AReportedDeathStartsASuspicionOnly) {
  Fixture fixture;
  fixture.Receive(fixture.From("a", Message::Kind::kGossip));
  fixture.ReceiveUpdate("a", fixture.UpdateAbout("d", State::kAlive, 0));
  fixture.ReceiveUpdate("a", fixture.UpdateAbout("d", State::kDead, 0, {"x", "y", "z"}));
  EXPECT_EQ(fixture.StateOf("d"), State::kSuspect);
  fixture.ReceiveUpdate("a", fixture.UpdateAbout("d", State::kAlive, 1));
  EXPECT_EQ(fixture.StateOf("d"), State::kAlive);
}

TEST(Mind, MoreSuspectingMembersShortenTheSuspicionTimeoutDownToItsMinimum) {
  Fixture fixture;
  for (const char* name : {"a", "b", "c", "e", "f", "d"})
    fixture.Receive(fixture.From(name, Message::Kind::kGossip));
  fixture.ReceiveUpdate("a", fixture.UpdateAbout("d", State::kSuspect, 0, {"a"}));
  const Options options;
  EXPECT_EQ(fixture.detector.members().at("d").suspicion_ends_at - fixture.now,
            options.suspicion_timeout_max);
  fixture.ReceiveUpdate("b", fixture.UpdateAbout("d", State::kSuspect, 0, {"b"}));
  EXPECT_LT(fixture.detector.members().at("d").suspicion_ends_at - fixture.now,
            options.suspicion_timeout_max);
  fixture.ReceiveUpdate("c", fixture.UpdateAbout("d", State::kSuspect, 0, {"c", "e", "f"}));
  EXPECT_EQ(fixture.detector.members().at("d").suspicion_ends_at - fixture.now,
            options.suspicion_timeout_min);
  EXPECT_LE(fixture.detector.members().at("d").suspected_by.size(), kMaxSuspectingMembers);
}

TEST(Mind, APausedMemberExtendsRunningSuspicionsByThePause) {
  Fixture fixture;
  for (const char* name : {"a", "b", "c", "d"}) fixture.Receive(fixture.From(name, Message::Kind::kGossip));
  fixture.ReceiveUpdate("a", fixture.UpdateAbout("d", State::kSuspect, 0, {"a"}));
  fixture.Run(500 * kMs, {"a", "b", "c"});
  fixture.now += 60 * kSecond;  // the process is paused
  fixture.detector.Tick(fixture.now);
  fixture.Collect();
  EXPECT_TRUE(fixture.HasNotice(Notice::What::kPaused, "me"));
  EXPECT_EQ(fixture.StateOf("d"), State::kSuspect);
  EXPECT_GT(fixture.detector.members().at("d").suspicion_ends_at, fixture.now + 2 * kSecond);
  // Messages that are already waiting are processed before any verdict.
  Message refutation_message = fixture.From("d", Message::Kind::kGossip, 50, 1);
  fixture.Receive(refutation_message);
  EXPECT_EQ(fixture.StateOf("d"), State::kAlive);
}

TEST(Mind, WithoutPauseDetectionAPausedMemberHoldsItselfCutOff) {
  Options options;
  options.detect_own_pauses = false;
  Fixture fixture(options);
  for (const char* name : {"a", "b", "c", "d"}) fixture.Receive(fixture.From(name, Message::Kind::kGossip));
  fixture.Run(2 * kSecond, {"a", "b", "c", "d"});
  ASSERT_EQ(fixture.detector.status(), SelfStatus::kConnected);
  fixture.now += 60 * kSecond;
  fixture.detector.Tick(fixture.now);
  EXPECT_EQ(fixture.detector.status(), SelfStatus::kCutOff);
}

TEST(Mind, ARepeatedOrTooOldDatagramIsDropped) {
  Fixture fixture;
  Message ping = fixture.From("a", Message::Kind::kPing);
  fixture.Receive(ping);
  const size_t answers = fixture.sent.size();
  fixture.Receive(ping);
  EXPECT_EQ(fixture.sent.size(), answers);
  EXPECT_EQ(fixture.detector.dropped().at("replayed"), 1u);
  // Reordered datagrams are accepted.
  Message late = ping, early = ping;
  late.sequence += 10;
  early.sequence += 5;
  fixture.Receive(late);
  fixture.Receive(early);
  EXPECT_EQ(fixture.sent.size(), answers + 2);
  late.sequence += 1000;
  fixture.Receive(late);
  early.sequence += 1;
  fixture.Receive(early);
  EXPECT_EQ(fixture.detector.dropped().at("replayed"), 2u);
}

TEST(Mind, AfterARestartTheEarlierProcessGenerationIsIgnored) {
  Fixture fixture;
  fixture.Receive(fixture.From("a", Message::Kind::kGossip, 50));
  fixture.Receive(fixture.From("a", Message::Kind::kGossip, 60));
  EXPECT_EQ(fixture.detector.members().at("a").who.generation.start, 60u);
  fixture.sent.clear();
  fixture.Receive(fixture.From("a", Message::Kind::kPing, 50));
  EXPECT_EQ(fixture.detector.members().at("a").who.generation.start, 60u);
  EXPECT_EQ(fixture.detector.dropped().at("an old life"), 1u);
  ASSERT_EQ(fixture.sent.size(), 1u);  // only an update about the later generation
  EXPECT_EQ(fixture.sent[0].message.updates.at(0).who.generation.start, 60u);
}

TEST(Mind, AStartWithAClockSetBackTakesANumberAboveTheEarlierGeneration) {
  Fixture fixture;
  fixture.Receive(fixture.From("a", Message::Kind::kGossip));
  fixture.ReceiveUpdate(
      "a",
      {{"me", "10.0.0.1:1", {500, 3}}, State::kAlive, {}, false});  // at this address: an earlier generation
  EXPECT_EQ(fixture.detector.self().generation.start, 501u);
  fixture.ReceiveUpdate(
      "a", {{"me", "10.0.0.9:1", {900, 0}}, State::kDead, {}, false});  // at another address, and dead
  EXPECT_EQ(fixture.detector.self().generation.start, 901u);
}

TEST(Mind, OfTwoProcessesWithOneNameTheEarlierOneReportsItAndFallsSilent) {
  Fixture fixture;
  for (const char* name : {"a", "b"}) fixture.Receive(fixture.From(name, Message::Kind::kGossip));
  fixture.ReceiveUpdate("a", {{"me", "10.0.0.9:1", {900, 0}}, State::kAlive, {}, false});
  EXPECT_EQ(fixture.detector.status(), SelfStatus::kDuplicateName);
  EXPECT_TRUE(fixture.HasNotice(Notice::What::kSelfStatus, "me"));
  fixture.sent.clear();
  fixture.Run(5 * kSecond);
  EXPECT_TRUE(fixture.sent.empty());
  // The other process ends: this one takes a later generation, and is back.
  fixture.ReceiveUpdate("a", {{"me", "10.0.0.9:1", {900, 0}}, State::kDead, {}, false});
  EXPECT_EQ(fixture.detector.self().generation.start, 901u);
  fixture.Run(2 * kSecond, {"a", "b"});
  EXPECT_EQ(fixture.detector.status(), SelfStatus::kConnected);
}

TEST(Mind, ANumberAboveTheLimitIsDroppedAndOneAtTheLimitCanBeRefuted) {
  Fixture fixture;
  fixture.Receive(fixture.From("a", Message::Kind::kGossip));
  fixture.ReceiveUpdate("a", {{"me", "10.0.0.1:1", {100, UINT64_MAX}}, State::kDead, {}, false});
  EXPECT_EQ(fixture.detector.self().generation.incarnation, 0u);
  EXPECT_EQ(fixture.detector.dropped().at("an impossible number"), 1u);
  fixture.ReceiveUpdate("a",
                        {{"me", "10.0.0.1:1", {100, kMaxGenerationNumber / 2}}, State::kDead, {}, false});
  EXPECT_EQ(fixture.detector.self().generation.incarnation, kMaxGenerationNumber / 2 + 1);
  // Other members accept that refutation.
  Fixture other;
  other.ReceiveUpdate("a", other.UpdateAbout("liar", State::kAlive, kMaxGenerationNumber / 2));
  other.ReceiveUpdate("a", other.UpdateAbout("liar", State::kAlive, kMaxGenerationNumber / 2 + 1));
  EXPECT_EQ(other.detector.members().at("liar").who.generation.incarnation, kMaxGenerationNumber / 2 + 1);
}

TEST(Mind, AFloodOfNamesIsBoundedPerSecondAndInTotal) {
  Options options;
  options.max_members = 100;
  Fixture fixture(options);
  for (int burst = 0; burst < 10; ++burst) {
    Message message = fixture.From("a", Message::Kind::kGossip);
    for (int i = 0; i < 80; ++i) {
      std::string name("ghost-");
      message.updates.push_back(
          fixture.UpdateAbout(name.append(std::to_string(burst * 80 + i)), State::kAlive));
    }
    fixture.Receive(message);
    if (burst == 0) {
      EXPECT_EQ(fixture.detector.members().size(), 51u);
    }
    fixture.now += 1100 * kMs;
    fixture.detector.Tick(fixture.now);
  }
  EXPECT_LT(fixture.detector.members().size(), 100u);
  EXPECT_GT(fixture.detector.dropped().at("too many names at once"), 0u);
  EXPECT_GT(fixture.detector.dropped().at("too many members"), 0u);
}

TEST(Mind, OutgoingMessagesFitADatagramWithManyQueuedUpdates) {
  Fixture fixture;
  for (int i = 0; i < 40; ++i) {
    std::string name("member-with-a-rather-long-name-to-carry-about-");
    fixture.Receive(fixture.From(name.append(std::to_string(i)), Message::Kind::kGossip));
    fixture.now += 50 * kMs;
  }
  fixture.Run(5 * kSecond);
  ASSERT_GT(fixture.sent.size(), 20u);
  for (const Outgoing& out : fixture.sent) {
    EXPECT_LE(Encode(out.message, std::string(kMaxNameBytes, 's')).size(), kMaxDatagramBytes);
  }
}

TEST(Mind, AnUpdateIsSentABoundedNumberOfTimes) {
  Fixture fixture;
  for (const char* name : {"a", "b", "c"}) fixture.Receive(fixture.From(name, Message::Kind::kGossip));
  fixture.Run(20 * kSecond, {"a", "b", "c"});
  fixture.sent.clear();
  fixture.Run(20 * kSecond, {"a", "b", "c"});
  for (const Outgoing& out : fixture.sent) EXPECT_TRUE(out.message.updates.empty());
}

TEST(Mind, TheMaximumMemberCountIsRememberedWhileTheViewShrinks) {
  Fixture fixture;
  for (const char* name : {"a", "b", "c", "d"}) fixture.Receive(fixture.From(name, Message::Kind::kGossip));
  EXPECT_EQ(fixture.detector.MaxAliveWithin(fixture.now, 600 * kSecond), 5u);
  fixture.ReceiveUpdate("a", fixture.UpdateAbout("d", State::kLeft));
  fixture.ReceiveUpdate("a", fixture.UpdateAbout("c", State::kLeft));
  EXPECT_EQ(fixture.detector.alive_count(), 3u);
  fixture.now += 60 * kSecond;
  EXPECT_EQ(fixture.detector.MaxAliveWithin(fixture.now, 600 * kSecond), 5u);
  EXPECT_EQ(fixture.detector.MaxAliveWithin(fixture.now, 30 * kSecond), 3u);
}

TEST(Mind, AMemberThatLeftIsNotDeadAndNotProbed) {
  Fixture fixture;
  for (const char* name : {"a", "b", "c", "d"}) fixture.Receive(fixture.From(name, Message::Kind::kGossip));
  fixture.ReceiveUpdate("a", fixture.UpdateAbout("d", State::kLeft));
  fixture.Run(5 * kSecond, {"a", "b", "c"});
  EXPECT_EQ(fixture.StateOf("d"), State::kLeft);
  fixture.sent.clear();
  fixture.Run(20 * kSecond, {"a", "b", "c"});
  const std::string address = fixture.From("d", Message::Kind::kGossip).from.address;
  for (const Outgoing& out : fixture.sent) EXPECT_NE(out.to, address);
  fixture.Run(60 * kSecond, {"a", "b", "c"});
  EXPECT_FALSE(fixture.detector.members().contains("d"));
}

TEST(Mind, ADeadMemberThatLeftInALaterGenerationIsNotPingedAsDead) {
  Fixture fixture;
  for (const char* name : {"a", "b", "c", "d"}) fixture.Receive(fixture.From(name, Message::Kind::kGossip));
  fixture.Run(12 * kSecond, {"a", "b", "c"});
  ASSERT_EQ(fixture.StateOf("d"), State::kDead);
  fixture.ReceiveUpdate(
      "a", fixture.UpdateAbout("d", State::kLeft, 0, {}, 60));  // a later generation, unknown until now
  EXPECT_EQ(fixture.StateOf("d"), State::kLeft);
}

TEST(Mind, RememberedPingsAreBoundedWithoutAnswers) {
  Fixture fixture;
  for (const char* name : {"a", "b", "c"}) fixture.Receive(fixture.From(name, Message::Kind::kGossip));
  fixture.Run(400 * kSecond);
  // An answer to the first ping, which is no longer remembered, does not count.
  const auto ping = std::ranges::find_if(
      fixture.sent, [](const Outgoing& out) { return out.message.kind == Message::Kind::kPing; });
  ASSERT_NE(ping, fixture.sent.end());
  for (const char* name : {"a", "b", "c"}) {
    Message late = fixture.From(name, Message::Kind::kAck);
    late.request_id = ping->message.request_id;
    fixture.Receive(late);
    EXPECT_EQ(fixture.detector.members().at(name).acked_at, 0) << name;
  }
}

TEST(Mind, DeadMembersArePingedAndReturnByRefuting) {
  Fixture fixture;
  for (const char* name : {"a", "b", "c", "d"}) fixture.Receive(fixture.From(name, Message::Kind::kGossip));
  fixture.Run(12 * kSecond, {"a", "b", "c"});
  ASSERT_EQ(fixture.StateOf("d"), State::kDead);
  fixture.sent.clear();
  fixture.Run(5 * kSecond, {"a", "b", "c"});
  const std::string address = fixture.From("d", Message::Kind::kGossip).from.address;
  const auto call =
      std::ranges::find_if(fixture.sent, [&](const Outgoing& out) { return out.to == address; });
  ASSERT_NE(call, fixture.sent.end());
  EXPECT_EQ(call->message.updates.at(0).state, State::kDead);  // it receives the report of its own death
  fixture.Receive(fixture.From("d", Message::Kind::kAck, 50, 0));
  EXPECT_EQ(fixture.StateOf("d"),
            State::kDead);  // the answer carries the incarnation from before the refutation
  fixture.Receive(
      fixture.From("d", Message::Kind::kAck, 50, call->message.updates.at(0).who.generation.incarnation + 1));
  EXPECT_EQ(fixture.StateOf("d"), State::kAlive);
}

}  // namespace
}  // namespace burlfall::cluster
