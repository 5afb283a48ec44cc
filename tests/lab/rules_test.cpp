// Each rule is violated, and just barely kept, by a scripted balancer: the run checker must report the
// violation with its trace and accept the other.
#include "stage.h"

namespace burlfall::lab {
namespace {

TEST(Kept, AnOrdinaryQueryOfEachClassViolatesNothing) {
  Stage stage;
  for (int cls : {kRead, kRelease, kCharge}) stage.Good(cls, 100 * cls);
  EXPECT_EQ(stage.Found(), kNothing);
  EXPECT_EQ(stage.verdict.verdict, "kept");
  EXPECT_EQ(stage.verdict.outcomes.in_time, 3u);
  EXPECT_EQ(stage.verdict.ends.served, 3u);
}

// The order in which the two ends report does not matter.
TEST(Kept, AnAnswerReportedByTheClientBeforeTheNode) {
  Stage stage;
  TraceId trace = stage.Ask(kRelease, 0);
  uint64_t attempt = stage.Send(trace, 0, 1);
  stage.Serve(trace, attempt, 20);
  stage.Run(attempt, 2);
  stage.Answer(attempt, 19.9);
  EXPECT_EQ(stage.Found(), kNothing);
}

// The review of the query was first scheduled for earlier, by the end of its first try.
TEST(Kept, ARetryReportedLateByItsNode) {
  Stage stage;
  TraceId first = stage.Ask(kRelease, 0);
  stage.End(first, 10, End::kRefused, 503);
  TraceId trace = stage.Ask(kRelease, 2500, first);
  uint64_t attempt = stage.Send(trace, 0, 2501);
  stage.Serve(trace, attempt, 2600);
  stage.Good(kRead, 4000);
  stage.Answer(attempt, 2599);
  EXPECT_EQ(stage.Found(), kNothing);
}

TEST(AnswerLost, ALinkThatALiveBalancerEnds) {
  Stage stage;
  TraceId trace = stage.Ask(kRead, 0);
  stage.Send(trace, 0, 1);
  stage.End(trace, 30, End::kBroken);
  EXPECT_EQ(stage.Found(), Stage::Only("answer_lost", trace));
  const Finding& finding = stage.verdict.rules[0].findings[0];
  EXPECT_EQ(finding.balancer, "b1");
  EXPECT_DOUBLE_EQ(finding.at_s, 0.03);
  ASSERT_EQ(finding.story.size(), 4u);
  EXPECT_NE(finding.story[0].find("read for big is due, to b1"), std::string::npos);
  EXPECT_NE(finding.story[2].find("+1.000 ms  n1           attempt 1 arrived"), std::string::npos);
}

TEST(AnswerLost, NotForATryThatWasNeverTaken) {
  Stage stage;
  Try one;
  one.trace = one.first = 7;
  one.due = stage.At(0);
  one.give_up_at = stage.At(1000);
  stage.judge.Due(one);
  stage.End(7, 30, End::kBroken);
  EXPECT_EQ(stage.Found(), kNothing);
  EXPECT_EQ(stage.verdict.ends.unreached, 1u);
}

TEST(AnswerLost, NoAnswerUntilTheLimit) {
  for (double ms : {1069.0, 1070.0}) {  // 20 ms of answer slack and 50 ms of socket slack
    Stage stage;
    TraceId trace = stage.Ask(kRead, 0);
    stage.End(trace, ms, End::kLeft);
    EXPECT_EQ(stage.Found(), ms < 1070 ? kNothing : Stage::Only("answer_lost", trace));
    EXPECT_EQ(stage.verdict.ends.left_unanswered, 1u);
  }
}

TEST(AnswerLost, NoEndIsReported) {
  Stage stage;
  TraceId trace = stage.Ask(kRead, 0);
  stage.Good(kRead, 5000);  // lets time advance
  EXPECT_EQ(stage.judge.Violations(Rule::kAnswerLost), 1u);
  EXPECT_EQ(stage.Found(), Stage::Only("answer_lost", trace));
  EXPECT_EQ(stage.verdict.ends.untold, 1u);
}

TEST(AnswerLost, NotIfTheRunEndsBeforeTheLimit) {
  Stage stage;
  stage.Ask(kRead, 0);
  EXPECT_TRUE(stage.Finish(900).rules_kept);
}

TEST(AnswerLost, NotIfTheBalancerIsKilledBeforeItAnswers) {
  // The client may see the link end before the lab sees the process end.
  for (End how : {End::kLost, End::kBroken}) {
    Stage stage;
    TraceId trace = stage.Ask(kRelease, 0);
    stage.Send(trace, 0, 1);
    stage.judge.FaultBegan(0, stage.At(30));
    stage.End(trace, 31, how);
    stage.judge.BalancerDown(0, stage.At(33), false);
    EXPECT_EQ(stage.Found(), kNothing);
    EXPECT_EQ(stage.verdict.ends.lost, 1u);
    EXPECT_EQ(stage.verdict.balancers[0].kills, 1);
  }
}

TEST(AnswerLost, IfTheBalancerWasKilledBeforeOrAfter) {
  for (double killed_ms : {-50.0, 400.0}) {
    Stage stage;
    stage.judge.FaultBegan(0, stage.At(killed_ms));
    stage.judge.BalancerDown(0, stage.At(killed_ms), false);
    TraceId trace = stage.Ask(kRead, 0);
    stage.End(trace, 30, End::kBroken);
    EXPECT_EQ(stage.Found(), Stage::Only("answer_lost", trace));
  }
}

// A try is sent again if its keep-alive link was closed meanwhile, here to a balancer that is then killed.
TEST(AnswerLost, OnlyTheLastBalancerThatTookTheTryCounts) {
  Stage stage;
  TraceId trace = stage.Ask(kRead, 0, 0, 1);
  Try again;
  again.trace = again.first = trace;
  again.due = stage.At(0);
  again.give_up_at = stage.At(1000);
  again.worth = 1;
  stage.judge.Due(again);
  stage.judge.Written(trace, stage.At(5));
  stage.judge.FaultBegan(0, stage.At(10));
  stage.judge.BalancerDown(0, stage.At(10), false);
  stage.End(trace, 11, End::kLost);
  EXPECT_EQ(stage.Found(), kNothing);
  EXPECT_EQ(stage.verdict.outcomes.asked, 1u);
}

TEST(AnswerLost, ByAPlannedStop) {
  Stage stage;
  stage.Good(kRead, 0, 20);
  TraceId trace = stage.Ask(kRead, 10);
  stage.End(trace, 31, End::kLost);
  stage.judge.BalancerDown(0, stage.At(31), true);
  EXPECT_EQ(stage.Found(), Stage::Only("answer_lost", trace));
  EXPECT_EQ(stage.verdict.balancers[0].planned_ends, 1);
}

TEST(AnswerLost, NotIfANodeTruncatesTheForwardedAnswer) {
  for (AttemptEnd how : {AttemptEnd::kDropped, AttemptEnd::kAnswered}) {
    Stage stage;
    TraceId trace = stage.Ask(kRead, 0);
    uint64_t attempt = stage.Send(trace, 0, 1);
    stage.Answer(attempt, 20, how);
    stage.End(trace, 21, End::kBroken, 200);
    EXPECT_EQ(stage.Found(), how == AttemptEnd::kDropped ? kNothing : Stage::Only("answer_lost", trace));
  }
}

TEST(AnswerLate, OnlyAfterTheSlack) {
  for (double ms : {1070.0, 1071.0}) {
    Stage stage;
    TraceId trace = stage.Ask(kRead, 0);
    stage.End(trace, ms, End::kFailed, 504);
    EXPECT_EQ(stage.Found(), ms == 1070 ? kNothing : Stage::Only("answer_late", trace));
  }
}

TEST(AnswerForeign, EachKindOfMarkOfAnotherTry) {
  enum Kind { kNoMark, kOtherQuery, kOtherTry, kUnknown, kOtherNode, kError };
  for (Kind kind : {kNoMark, kOtherQuery, kOtherTry, kUnknown, kOtherNode, kError}) {
    Stage stage;
    TraceId other = stage.Good(kRead, 0);
    TraceId first = stage.Ask(kRead, 10);
    uint64_t first_attempt = stage.Send(first, 0, 11);
    stage.Answer(first_attempt, 20);
    stage.End(first, 21, End::kFailed, 502);
    TraceId trace = stage.Ask(kRead, 40, first);
    uint64_t attempt = stage.Send(trace, 1, 41);
    stage.Answer(attempt, 50, kind == kError ? AttemptEnd::kError : AttemptEnd::kAnswered);
    Mark mark = stage.marks[attempt];
    if (kind == kNoMark) mark = {};
    if (kind == kOtherQuery) mark = {other, 0, 1};
    if (kind == kOtherTry) mark = stage.marks[first_attempt];
    if (kind == kUnknown) mark.attempt = 99;
    if (kind == kOtherNode) mark.node = 2;
    stage.End(trace, 51, End::kServed, 200, mark);
    EXPECT_EQ(stage.Found(), Stage::Only("answer_foreign", trace)) << kind;
    EXPECT_EQ(stage.verdict.outcomes.failed, 1u);
  }
}

TEST(AnsweredTwice, OnlyByASecondCompleteAnswer) {
  for (End how : {End::kFailed, End::kLeft}) {
    Stage stage;
    TraceId trace = stage.Good(kRead, 0);
    stage.End(trace, 25, how, 502);
    EXPECT_EQ(stage.Found(), how == End::kLeft ? kNothing : Stage::Only("answered_twice", trace));
    EXPECT_EQ(stage.verdict.outcomes.in_time, 1u);
  }
}

TEST(SentAfterEnd, OnlyAfterTheSlack) {
  for (double ms : {70.0, 71.0}) {
    Stage stage;
    TraceId trace = stage.Good(kRead, 0);
    uint64_t late = stage.Send(trace, 1, ms);
    stage.Cancel(late, ms + 1);
    EXPECT_EQ(stage.Found(), ms == 70 ? kNothing : Stage::Only("sent_after_end", trace));
  }
}

TEST(SentAfterEnd, ForAClientThatLeft) {
  Stage stage;
  TraceId trace = stage.Ask(kRead, 0);
  uint64_t attempt = stage.Send(trace, 0, 1);
  stage.End(trace, 20, End::kLeft);
  stage.Answer(attempt, 40);  // an answer that no client waits for is no violation
  stage.Send(trace, 1, 80);
  EXPECT_EQ(stage.Found(), Stage::Only("sent_after_end", trace));
  EXPECT_EQ(stage.verdict.ends.left_unanswered, 0u);
}

TEST(SentAfterEnd, ForAQueryThatEndedLongAgoOrNeverExisted) {
  Stage stage;
  stage.Good(kRead, 0);
  stage.Send(0xabc, 1, 20'000);
  EXPECT_EQ(stage.Found(), Stage::Only("sent_after_end", 0xabc));
}

TEST(SentAgain, AnUnsafeQueryThatMayHaveRun) {
  for (AttemptEnd how : {AttemptEnd::kRejected, AttemptEnd::kError, AttemptEnd::kDropped}) {
    Stage stage;
    TraceId trace = stage.Ask(kRelease, 0);
    uint64_t first = stage.Send(trace, 0, 1);
    stage.Answer(first, 10, how);
    uint64_t second = stage.Send(trace, 1, 11);
    stage.Answer(second, 20);
    stage.Serve(trace, second, 21);
    EXPECT_EQ(stage.Found(), how == AttemptEnd::kRejected ? kNothing : Stage::Only("sent_again", trace));
  }
}

TEST(SentAgain, AnUnsafeQueryProvenNotRunOnlyAfterwards) {
  for (double proof_ms : {14.0, 20.0}) {  // events of different ends may be out of order by 5 ms
    Stage stage;
    TraceId trace = stage.Ask(kRelease, 0);
    uint64_t first = stage.Send(trace, 0, 1);
    uint64_t second = stage.Send(trace, 1, 10);
    stage.Answer(first, proof_ms, AttemptEnd::kRejected);
    stage.Answer(second, 30);
    stage.Serve(trace, second, 31);
    EXPECT_EQ(stage.Found(), proof_ms == 14 ? kNothing : Stage::Only("sent_again", trace));
  }
}

TEST(SentAgain, AKeyedQueryAfterItsWindow) {
  for (double ms : {551.0, 552.0}) {
    Stage stage;
    TraceId trace = stage.Ask(kCharge, 0);
    uint64_t first = stage.Send(trace, 0, 1);
    stage.Answer(first, 300, AttemptEnd::kError);
    uint64_t second = stage.Send(trace, 1, ms);
    stage.Answer(second, 600);
    stage.Serve(trace, second, 601);
    EXPECT_EQ(stage.Found(), ms == 551 ? kNothing : Stage::Only("sent_again", trace));
  }
}

TEST(SentAgain, AKeyedQueryToNodesThatDoNotDropItsRepeats) {
  for (int node : {1, 2}) {
    Facts facts = StageFacts();
    facts.settings.classes[kCharge].group = meadowslip::DedupGroup::kZone;
    Stage stage(facts);
    TraceId trace = stage.Ask(kCharge, 0);
    stage.Answer(stage.Send(trace, 0, 1), 30, AttemptEnd::kError);
    uint64_t second = stage.Send(trace, node, 31);
    stage.Answer(second, 40);
    stage.Serve(trace, second, 41);
    EXPECT_EQ(stage.Found(), node == 1 ? kNothing : Stage::Only("sent_again", trace));
  }
}

TEST(EffectRepeated, InOneTry) {
  Stage stage;
  TraceId trace = stage.Ask(kRelease, 0);
  uint64_t first = stage.Send(trace, 0, 1);
  stage.Run(first, 2);
  stage.Answer(first, 10, AttemptEnd::kError);
  uint64_t second = stage.Send(trace, 1, 11);
  stage.Run(second, 12);
  stage.Answer(second, 20);
  stage.Serve(trace, second, 21);
  EXPECT_EQ(stage.Found(), (std::vector<std::string>{Stage::Line("effect_repeated", trace),
                                                     Stage::Line("sent_again", trace)}));
}

TEST(EffectRepeated, InTwoTriesIfTheFirstWasRefused) {
  Stage stage;
  TraceId first = stage.Ask(kRelease, 0);
  stage.Run(stage.Send(first, 0, 1), 2);
  stage.End(first, 10, End::kRefused, 503);
  TraceId second = stage.Ask(kRelease, 50, first);
  uint64_t attempt = stage.Send(second, 1, 51);
  stage.Run(attempt, 52);
  stage.Answer(attempt, 60);
  stage.Serve(second, attempt, 61);
  EXPECT_EQ(stage.Found(), (std::vector<std::string>{Stage::Line("effect_repeated", second),
                                                     Stage::Line("refusal_untrue", first)}));
}

TEST(EffectRepeated, NotIfTheClientRetriedOnItsOwn) {
  Stage stage;
  TraceId first = stage.Ask(kRelease, 0);
  uint64_t attempt = stage.Send(first, 0, 1);
  stage.Run(attempt, 2);
  stage.Answer(attempt, 9, AttemptEnd::kError);
  stage.End(first, 10, End::kFailed, 502);
  TraceId second = stage.Ask(kRelease, 50, first);
  attempt = stage.Send(second, 1, 51);
  stage.Run(attempt, 52);
  stage.Answer(attempt, 60);
  stage.Serve(second, attempt, 61);
  EXPECT_EQ(stage.Found(), kNothing);
}

// The nodes should have dropped the second attempt, so it is not the balancer's fault.
TEST(EffectRepeated, NotForAKeyedQueryThatNodesShouldHaveDropped) {
  Stage stage;
  TraceId trace = stage.Ask(kCharge, 0);
  stage.Run(stage.Send(trace, 0, 1), 2);
  uint64_t second = stage.Send(trace, 1, 100);
  stage.Run(second, 101);
  stage.Answer(second, 120);
  stage.Serve(trace, second, 121);
  EXPECT_EQ(stage.Found(), kNothing);
  EXPECT_EQ(stage.verdict.lab.site_repeats, 1u);
}

TEST(RefusalUntrue, AnUnsafeQueryThatMayHaveRun) {
  for (AttemptEnd how : {AttemptEnd::kRejected, AttemptEnd::kDropped}) {
    Stage stage;
    TraceId trace = stage.Ask(kRelease, 0);
    stage.Answer(stage.Send(trace, 0, 1), 9, how);
    stage.End(trace, 10, End::kRefused, 429);
    EXPECT_EQ(stage.Found(), how == AttemptEnd::kRejected ? kNothing : Stage::Only("refusal_untrue", trace));
  }
}

TEST(RefusalUntrue, AKeyedQueryWhereNotAllNodesDropItsRepeats) {
  for (auto group : {meadowslip::DedupGroup::kAll, meadowslip::DedupGroup::kCell}) {
    Facts facts = StageFacts();
    facts.settings.classes[kCharge].group = group;
    Stage stage(facts);
    TraceId trace = stage.Ask(kCharge, 0);
    stage.Send(trace, 0, 1);
    stage.End(trace, 10, End::kRefused, 503);
    const bool harmless = group == meadowslip::DedupGroup::kAll;
    EXPECT_EQ(stage.Found(), harmless ? kNothing : Stage::Only("refusal_untrue", trace));
  }
}

TEST(Copies, IfNoneAreAllowed) {
  for (double cancelled_ms : {149.0, 151.0}) {  // 50 ms of socket slack after the second is sent
    Facts facts = StageFacts();
    facts.settings.second_copies = false;
    Stage stage(facts);
    TraceId trace = stage.Ask(kRead, 0);
    uint64_t first = stage.Send(trace, 0, 1);
    uint64_t second = stage.Send(trace, 1, 100);
    stage.Cancel(first, cancelled_ms);
    stage.Answer(second, 160);
    stage.Serve(trace, second, 161);
    EXPECT_EQ(stage.Found(), cancelled_ms == 149 ? kNothing : Stage::Only("copies", trace));
    EXPECT_EQ(stage.verdict.effort.copies, 1u);
  }
}

// A node behind the cut has not seen the balancer close the link.
TEST(Copies, NotIfTheNodeOfTheFirstWasCutOff) {
  for (int node : {2, 1}) {
    Facts facts = StageFacts();
    facts.settings.second_copies = false;
    Stage stage(facts);
    TraceId trace = stage.Ask(kRead, 0);
    stage.Send(trace, node, 1);
    stage.judge.FaultBegan(1, stage.At(50));
    uint64_t second = stage.Send(trace, 0, 150);
    stage.Answer(second, 160);
    stage.Serve(trace, second, 161);
    EXPECT_EQ(stage.Found(), node == 2 ? kNothing : Stage::Only("copies", trace));
  }
}

TEST(Copies, NeverOfAnUnsafeQuery) {
  Stage stage;
  TraceId trace = stage.Ask(kRelease, 0);
  stage.Send(trace, 0, 1);
  uint64_t second = stage.Send(trace, 1, 100);
  stage.Answer(second, 160);
  stage.Serve(trace, second, 161);
  EXPECT_EQ(stage.Found(),
            (std::vector<std::string>{Stage::Line("sent_again", trace), Stage::Line("copies", trace)}));
}

TEST(TooManyAttempts, OneMoreThanTheSettingsAllow) {
  for (int attempts : {3, 4}) {
    Stage stage;
    TraceId trace = stage.Ask(kRead, 0);
    uint64_t attempt = 0;
    for (int i = 0; i < attempts; ++i) {
      attempt = stage.Send(trace, i % 3, 10 * i);
      stage.Answer(attempt, 10 * i + 5, i + 1 == attempts ? AttemptEnd::kAnswered : AttemptEnd::kError);
    }
    stage.Serve(trace, attempt, 50);
    EXPECT_EQ(stage.Found(), attempts == 3 ? kNothing : Stage::Only("too_many_attempts", trace));
  }
}

TEST(Draining, SentAfterTheGracePeriod) {
  for (auto state : {meadowslip::BackendState::kDraining, meadowslip::BackendState::kGone}) {
    for (double ms :
         {899.0, 901.0}) {  // notified at 100; the repeated notification starts no new grace period
      Stage stage;
      stage.judge.NodeStateSent(0, 0, state, 0, stage.At(100));
      stage.judge.NodeStateSent(0, 0, state, 0, stage.At(500));
      stage.Good(kRead, 2000, 20, 1);  // the other balancer has not been notified
      TraceId trace = stage.Good(kRead, ms);
      EXPECT_EQ(stage.Found(), ms == 899 ? kNothing : Stage::Only("draining", trace));
    }
  }
}

TEST(Draining, NotAfterTheNodeReturnsOrTheBalancerRestarts) {
  Stage stage;
  stage.judge.NodeStateSent(0, 0, meadowslip::BackendState::kDraining, 0, stage.At(100));
  stage.judge.NodeStateSent(0, 0, meadowslip::BackendState::kReady, stage.At(1500), stage.At(2000));
  stage.judge.NodeStateSent(1, 0, meadowslip::BackendState::kDraining, 0, stage.At(100));
  stage.judge.BalancerUp(1, stage.At(2500));
  stage.Good(kRead, 3000);
  stage.Good(kRead, 3000, 20, 1);
  EXPECT_EQ(stage.Found(), kNothing);
}

TEST(Draining, AssumedKnownIfTheBalancerHasNotRequestedTheList) {
  struct Case {
    bool watching, failed;
    double sent_ms;
    bool broken;
  };
  // Listed at 500, requested at 1,000: assumed known at 11,000; if the call failed, at 41,000.
  for (const Case& c : {Case{false, false, 11'798, false}, Case{false, false, 11'800, true},
                        Case{true, false, 39'000, false}, Case{false, true, 39'000, false}}) {
    Stage stage;
    stage.judge.BalancerUp(0, stage.At(0));
    stage.judge.Listed(0, meadowslip::BackendState::kDraining, 0, stage.At(500));
    if (c.failed) {
      stage.judge.ListRequestFailed(0, stage.At(1000));
    } else {
      stage.judge.ListRequested(0, stage.At(1000), c.watching);
    }
    TraceId trace = stage.Good(kRead, c.sent_ms);
    EXPECT_EQ(stage.Found(), c.broken ? Stage::Only("draining", trace) : kNothing) << c.sent_ms;
  }
}

// Listed at 500; the balancer runs since 0, or starts at 5,000. It counts as knowing pushed lists from the
// later of the two on.
TEST(Draining, PushedListsAreKnownWithoutARequest) {
  for (const double up_ms : {0.0, 5000.0}) {
    for (const bool late : {false, true}) {
      Facts facts = StageFacts();
      facts.pushed = true;
      Stage stage(facts);
      stage.judge.BalancerUp(0, stage.At(up_ms));
      stage.judge.Listed(0, meadowslip::BackendState::kDraining, 0, stage.At(500));
      const TraceId trace = stage.Good(kRead, std::max(500.0, up_ms) + (late ? 801 : 799));
      EXPECT_EQ(stage.Found(), late ? Stage::Only("draining", trace) : kNothing) << up_ms;
    }
  }
}

TEST(Draining, AssumedKnownThatTheNodeIsBack) {
  Stage stage;
  stage.judge.BalancerUp(0, stage.At(0));
  stage.judge.NodeStateSent(0, 0, meadowslip::BackendState::kDraining, 0, stage.At(100));
  stage.judge.ListRequested(0, stage.At(100), false);
  stage.judge.Listed(0, meadowslip::BackendState::kDraining, 0, stage.At(50));
  stage.judge.Listed(0, meadowslip::BackendState::kReady, stage.At(1900), stage.At(2000));
  stage.Good(kRead, 12'100);
  EXPECT_EQ(stage.Found(), kNothing);
}

TEST(Draining, AGoneNodeDoesNotCountIfOnlyListedDrainsBind) {
  Facts facts = StageFacts();
  facts.settings.gone_binds = false;
  Stage stage(facts);
  stage.judge.NodeStateSent(0, 0, meadowslip::BackendState::kGone, 0, stage.At(100));
  stage.Good(kRead, 5000);
  EXPECT_EQ(stage.Found(), kNothing);
}

TEST(ColdNode, OverloadedByBalancersThatKnew) {
  struct Case {
    std::vector<double> pushed_by;
    double started_ms, told_ms;  // the start time that b1 receives, and when; the node started at 5,000
    bool broken;
  };
  for (const Case& c : {Case{{2, 1}, 5000, 6000, true}, Case{{1.9, 1.1}, 5000, 6000, false},
                        Case{{2, 1}, 1000, 6000, false}, Case{{2, 1}, 5000, 7951, false}}) {
    Stage stage;
    stage.judge.NodeChanged(0, NodeChange::kStarted, stage.At(5000), {});
    stage.judge.NodeStateSent(0, 0, meadowslip::BackendState::kReady, stage.At(c.started_ms),
                              stage.At(c.told_ms));
    stage.judge.NodeChanged(0, NodeChange::kOverloaded, stage.At(8000), c.pushed_by);
    const Verdict& verdict = stage.Finish();
    EXPECT_EQ(verdict.rules_kept, !c.broken);
    EXPECT_EQ(stage.judge.Violations(Rule::kColdNode), c.broken ? 1u : 0u);
    EXPECT_EQ(verdict.nodes[0].fell, 1);
  }
}

TEST(ColdNode, OverloadedByABalancerAssumedToKnow) {
  for (double fell_ms : {14'000.0, 16'000.0}) {
    Stage stage;
    stage.judge.BalancerUp(0, stage.At(0));
    stage.judge.NodeChanged(0, NodeChange::kStarted, stage.At(5000), {});
    stage.judge.Listed(0, meadowslip::BackendState::kReady, stage.At(5000), stage.At(5500));
    stage.judge.NodeChanged(0, NodeChange::kOverloaded, stage.At(fell_ms), {3, 0});
    EXPECT_EQ(stage.Finish().rules_kept, fell_ms < 15'500);
  }
}

TEST(Crashed, ABalancerThatNeitherStoppedNorWasKilled) {
  Stage stage;
  stage.judge.FaultBegan(0, stage.At(1000));  // kills the first balancer
  stage.judge.BalancerDown(0, stage.At(1000), false);
  stage.judge.FaultEnded(0, stage.At(4000));
  stage.judge.FaultBegan(1, stage.At(9000));  // cuts off the zone
  stage.judge.BalancerDown(1, stage.At(9000), false);
  const Verdict& verdict = stage.Finish();
  EXPECT_EQ(stage.judge.Violations(Rule::kCrashed), 1u);
  EXPECT_EQ(verdict.balancers[0].kills, 1);
  EXPECT_EQ(verdict.balancers[1].crashes, 1);
}

// A paused process does not answer, which is not its fault. The time limits still apply to another balancer,
// and to the same one before and after the pause.
TEST(AnswerLost, APausedBalancerIsExcusedOnlyForThePause) {
  struct Case {
    double asked_ms;
    int balancer;
    bool lost;
  };
  for (const Case& c : {Case{2500, 0, false}, Case{1500, 0, false}, Case{500, 0, true}, Case{2500, 1, true},
                        Case{4000, 0, true}}) {
    Facts facts = StageFacts();
    facts.faults.push_back({"balancers-paused", FaultKind::kBalancersPaused, {0}});
    Stage stage(facts);
    stage.judge.FaultBegan(2, stage.At(2000));
    stage.judge.FaultEnded(2, stage.At(3000));
    const TraceId trace = stage.Ask(kRead, c.asked_ms, 0, c.balancer);
    stage.End(trace, c.asked_ms + 1070, End::kLeft);
    EXPECT_EQ(stage.Found(), c.lost ? Stage::Only("answer_lost", trace) : kNothing) << c.asked_ms;
  }
}

}  // namespace
}  // namespace burlfall::lab
