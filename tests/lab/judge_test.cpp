// Tests of what the run checker counts: service, latency, values per second, its own memory, and late sends
// of the lab.
#include <chrono>
#include <random>

#include "lab/judge/sketch.h"
#include "lab/witness/observer_list.h"
#include "stage.h"

namespace burlfall::lab {
namespace {

TEST(Service, MatchesAManualCalculation) {
  Facts facts = StageFacts();
  facts.settle = 2 * kSecond;
  Stage stage(facts);
  struct Case {
    double at_ms, took_ms;
    int cls, tenant;
    double worth;
    bool within_share;
  };
  // Aim 300 ms. Queries due in the first two seconds do not count.
  for (const Case& c : {Case{1000, 900, kCharge, 0, 100, true}, Case{3200, 100, kCharge, 0, 6, true},
                        Case{3000, 500, kCharge, 0, 2, true}, Case{20'000, 100, kRead, 1, 4, true},
                        Case{21'000, 100, kRead, 1, 3, false}, Case{35'000, 301, kRead, 1, 1, true}}) {
    Try one;
    one.trace = one.first = ++stage.last_trace;
    one.cls = c.cls;
    one.tenant = c.tenant;
    one.due = stage.At(c.at_ms);
    one.aim_at = stage.At(c.at_ms + 300);
    one.give_up_at = stage.At(c.at_ms + 1000);
    one.worth = c.worth;
    one.within_share = c.within_share;
    stage.judge.Due(one);
    stage.judge.Written(one.trace, one.due);
    uint64_t attempt = stage.Send(one.trace, 0, c.at_ms + 1);
    stage.Answer(attempt, c.at_ms + c.took_ms);
    stage.Serve(one.trace, attempt, c.at_ms + c.took_ms);
  }
  const Verdict& verdict = stage.Finish();
  const Service& service = verdict.service;
  EXPECT_DOUBLE_EQ(service.whole, 13.0 / 16);
  EXPECT_DOUBLE_EQ(service.worst_class, 6.0 / 8);
  EXPECT_EQ(service.worst_class_name, "charge");
  EXPECT_DOUBLE_EQ(service.worst_tenant, 6.0 / 8);  // small: 4 of 5 within its share
  EXPECT_DOUBLE_EQ(verdict.tenants[1].service, 4.0 / 5);
  EXPECT_DOUBLE_EQ(service.worst_ten_seconds, 0);  // from 26 s on, with only the last query
  EXPECT_DOUBLE_EQ(service.worst_ten_seconds_at_s, 26);
  EXPECT_DOUBLE_EQ(service.combined, 0.45 * 13 / 16 + 0.15 * 0 + 0.3 * 6 / 8 + 0.1 * 6 / 8);
  EXPECT_EQ(verdict.outcomes.asked, 5u);
  EXPECT_EQ(verdict.outcomes.late, 2u);
  EXPECT_DOUBLE_EQ(verdict.effort.late_fail_share, 3.0 / 16);
  EXPECT_EQ(verdict.series.late[1], 1u);  // the series includes the settle time
}

TEST(Service, WorthIsProportionalToWorkAndReducedBeyondTheShare) {
  meadowslip::Settings settings = StageFacts().settings;
  settings.classes[kRead].worth = 3;
  settings.over_share_worth = 0.1;
  EXPECT_DOUBLE_EQ(WorthOf(settings, kRead, 2000, true), 6000);
  EXPECT_DOUBLE_EQ(WorthOf(settings, kRead, 2000, false), 600);
}

TEST(Service, ARetryBelongsToItsFirstTry) {
  Stage stage;
  for (double retry_ms : {100.0, 1050.0}) {  // served 250 ms later: in time, or late by the first try's aim
    TraceId first = stage.Ask(kRead, retry_ms - 60);
    stage.End(first, retry_ms - 50, End::kRefused, 503);
    TraceId second = stage.Ask(kRead, retry_ms, first);
    uint64_t attempt = stage.Send(second, 0, retry_ms + 1);
    const double answered_ms = retry_ms < 1000 ? retry_ms + 200 : retry_ms + 250;
    stage.Answer(attempt, answered_ms);
    stage.Serve(second, attempt, answered_ms);
  }
  const Verdict& verdict = stage.Finish();
  EXPECT_EQ(verdict.outcomes.asked, 2u);
  EXPECT_EQ(verdict.outcomes.in_time, 1u);
  EXPECT_EQ(verdict.outcomes.late, 1u);
  EXPECT_EQ(verdict.ends.refused, 2u);
  EXPECT_DOUBLE_EQ(verdict.service.whole, 0.5);
  EXPECT_DOUBLE_EQ(verdict.effort.tries_per_query, 2);
  EXPECT_DOUBLE_EQ(verdict.latency.most_ms, 310);  // from when the first try was due
}

// The query was already counted as refused and stays so; the rules still apply to the retry.
TEST(Service, ARetryAfterItsQueryIsForgottenCountsOnlyForTheRules) {
  Stage stage;
  TraceId first = stage.Ask(kRead, 0);
  stage.End(first, 10, End::kRefused, 503);
  stage.Good(kRead, 15'000);
  stage.End(stage.Ask(kRead, 20'000, first), 20'010, End::kBroken);
  const Verdict& verdict = stage.Finish();
  EXPECT_EQ(verdict.outcomes.asked, 2u);
  EXPECT_EQ(verdict.lab.strays, 1u);
  EXPECT_EQ(stage.judge.Violations(Rule::kAnswerLost), 1u);
}

TEST(Effort, CountsWasteCopiesCrossZoneAttemptsAndHeldBackTries) {
  Stage stage;
  TraceId trace = stage.Ask(kRead, 0);
  uint64_t first = stage.Send(trace, 2, 1);  // a node of another zone
  stage.Run(first, 2);
  uint64_t second = stage.Send(trace, 0, 50);
  stage.Run(second, 51);
  stage.Answer(second, 70);
  stage.Serve(trace, second, 71);
  stage.Cancel(first, 72);
  stage.End(stage.Ask(kRead, 100), 601, End::kRefused,
            503);  // after more than half of its time, without an attempt
  stage.End(stage.Ask(kRead, 100), 599, End::kRefused, 503);
  trace = stage.Ask(kRead, 100);
  stage.Send(trace, 0, 101);
  stage.End(trace, 601, End::kFailed, 504);
  stage.judge.HandshakeAt(0, 0, stage.At(1));
  const Effort& effort = stage.Finish().effort;
  EXPECT_EQ(effort.attempts, 3u);
  EXPECT_EQ(effort.copies, 1u);
  EXPECT_EQ(effort.cross_zone, 1u);
  EXPECT_EQ(effort.handshakes, 1u);
  EXPECT_EQ(effort.held_back, 1u);
  EXPECT_DOUBLE_EQ(effort.work_begun_ms, 3);
  EXPECT_DOUBLE_EQ(effort.work_wasted_share, 1.0 / 3);
}

TEST(Outcomes, AreCountedInTotalPerSecondAndPerNode) {
  Stage stage;
  stage.Good(kRead, 0, 40);
  stage.End(stage.Ask(kRead, 0), 500, End::kRefused, 503);
  stage.End(stage.Ask(kRead, 0), 500, End::kFailed, 500);
  stage.End(stage.Ask(kRead, 0), 500, End::kBroken);
  stage.End(stage.Ask(kRead, 0), 500, End::kLeft);
  stage.End(stage.Ask(kRead, 0), 500, End::kUnreached);
  TraceId trace = stage.Ask(kRead, 1000);
  for (AttemptEnd how : {AttemptEnd::kError, AttemptEnd::kRejected, AttemptEnd::kDropped}) {
    stage.Answer(stage.Send(trace, 0, 1001), 1002, how);
  }
  stage.End(trace, 1010, End::kFailed, 502);
  const Verdict& verdict = stage.Finish();
  const Outcomes& all = verdict.outcomes;
  EXPECT_EQ(all.asked, 7u);
  EXPECT_EQ(all.in_time + 2 * all.refused + 4 * all.lost + 8 * all.left, 15u);
  EXPECT_EQ(all.failed, 2u);
  EXPECT_EQ(verdict.series.failed, (std::vector<uint64_t>{1, 1}));
  EXPECT_EQ(verdict.series.lost, (std::vector<uint64_t>{1, 0}));
  EXPECT_DOUBLE_EQ(verdict.series.p99_ms[0], 40);
  EXPECT_EQ(verdict.latency.served, 1u);
  EXPECT_EQ(verdict.balancers[0].taken, 7u);
  const NodeResult& node = verdict.nodes[0];
  EXPECT_EQ(node.attempts, 4u);
  EXPECT_EQ(node.answered + 2 * node.errors + 4 * node.turned_away + 8 * node.dropped, 15u);
}

TEST(Series, AttemptsAndMaxInFlightByNode) {
  Stage stage;
  TraceId trace = stage.Ask(kRead, 100);
  uint64_t first = stage.Send(trace, 0, 500);
  uint64_t second = stage.Send(trace, 0, 900);
  stage.Cancel(first, 1500);
  stage.Answer(second, 2100);
  stage.Serve(trace, second, 2100);
  const Series& series = stage.Finish().series;
  EXPECT_EQ(series.attempts_by_node[0], (std::vector<uint64_t>{2, 0, 0}));
  EXPECT_EQ(series.in_flight_by_node[0], (std::vector<uint64_t>{2, 2, 1}));
  EXPECT_EQ(series.asked, (std::vector<uint64_t>{1, 0, 0}));
  EXPECT_EQ(series.sends, (std::vector<uint64_t>{2, 0, 0}));
}

TEST(Sketch, QuantilesAreWithinAPercent) {
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> draw(10, 2);  // median 22 ms, from microseconds to tens of seconds
  std::vector<Micros> times;
  Sketch one, other, both;
  for (int i = 0; i < 100'000; ++i) {
    times.push_back(static_cast<Micros>(draw(random)));
    (i % 3 == 0 ? one : other).Add(times.back());
    both.Add(times.back());
  }
  one.Merge(other);
  std::sort(times.begin(), times.end());
  for (double share : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    const auto exact = static_cast<double>(times[static_cast<size_t>(share * 100'000) - 1]);
    EXPECT_NEAR(both.Quantile(share), exact, 0.01 * exact) << share;
    EXPECT_DOUBLE_EQ(one.Quantile(share), both.Quantile(share));
  }
  EXPECT_EQ(both.Max(), times.back());
  EXPECT_DOUBLE_EQ(both.Quantile(1), static_cast<double>(times.back()));
  EXPECT_EQ(Sketch().Quantile(0.5), 0);
}

TEST(Lab, FactsComeFromTheScript) {
  Experiment experiment;
  experiment.name = "small";
  experiment.settle_s = 1.5;
  experiment.clients.most_retry_after_ms = 4000;
  Script script;
  script.nodes = {{.name = "std-1", .zone = 1}};
  script.spares = {{.name = "std-1.2", .zone = 1}};
  script.balancers = {{"b1", 0}};
  script.actions.resize(1);
  script.actions[0].kind = FaultKind::kBalancersKilled;
  const Facts facts = FactsOf(experiment, script, StageFacts().settings, 5 * kSecond);
  EXPECT_EQ(facts.nodes.at(1).name, "std-1.2");
  EXPECT_EQ(facts.faults.at(0).name, TraitsOf(FaultKind::kBalancersKilled).kind_name);
  EXPECT_EQ(facts.settle, 1500 * kMs);
  EXPECT_EQ(facts.check_after,
            5080 * kMs);  // a client may retry after the longest Retry-After plus its own wait
}

TEST(Lab, GivesNoVerdictWhenTheLabSentTooLate) {
  for (int late : {1, 2}) {
    Stage stage;
    for (int i = 0; i < 100; ++i) stage.judge.SentLate(i < late ? 6 * kMs : 5 * kMs);
    const Verdict& verdict = stage.Finish();
    EXPECT_EQ(verdict.verdict, late == 1 ? "kept" : "none");
    EXPECT_EQ(verdict.lab.late_sends, static_cast<uint64_t>(late));
    EXPECT_DOUBLE_EQ(verdict.lab.late_most_ms, 6);
    EXPECT_NEAR(verdict.lab.late_p99_ms, late == 1 ? 5 : 6, 0.06);
  }
}

TEST(Findings, AreLimitedInNumberButAllCounted) {
  Stage stage;
  for (int i = 0; i < 30; ++i) stage.End(stage.Ask(kRead, i), i + 5, End::kBroken);
  const RuleResult& lost = stage.Finish().rules[0];
  EXPECT_EQ(lost.broken, 30u);
  EXPECT_EQ(lost.findings.size(), 20u);
}

// Simulates 1,000 queries a second, of which every hundredth takes a second.
TEST(Memory, IsBoundedOverAMillionQueries) {
  Facts facts = StageFacts();
  facts.length = 0;
  Stage stage(facts);
  std::size_t max_records = 0;
  const auto began = std::chrono::steady_clock::now();
  constexpr int kQueries = 1'000'000;
  for (int i = 0; i < kQueries; ++i) {
    stage.judge.SentLate(100);
    stage.Good(i % 3, i, i % 100 == 0 ? 1000 : 20);
    stage.marks.clear();
    max_records = std::max(max_records, stage.judge.records());
  }
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - began;
  // A query is open until its limit and is reviewed two seconds later: 3.07 s of queries and attempts.
  EXPECT_LE(max_records, 2u * 3100);
  RecordProperty("nanoseconds_a_query", static_cast<int>(1000 * took.count() / kQueries));
  EXPECT_TRUE(stage.Finish(1'010'000).rules_kept);
  EXPECT_EQ(stage.verdict.outcomes.asked, static_cast<uint64_t>(kQueries));
  EXPECT_EQ(stage.judge.records(), 0u);
}

// An attempt that never ends must not keep the record of its query forever.
TEST(Memory, ForgetsAttemptsThatNeverEnd) {
  Stage stage;
  TraceId trace = stage.Ask(kRead, 0);
  stage.Send(trace, 0, 1);
  stage.End(trace, 30, End::kFailed, 504);
  stage.Good(kRead, 5000);
  EXPECT_EQ(stage.judge.records(), 4u);
  stage.Good(kRead, 10'500);
  EXPECT_EQ(stage.judge.records(), 2u);
}

TEST(Traces, TimelineHasTheEventsOfAQueryAndItsPeers) {
  Facts facts = StageFacts();
  facts.trace_events = 8;
  TraceStore store(facts);
  RunChecker judge(facts);
  ObserverList both;
  both.Add(store);
  both.Add(judge);
  const Micros at = facts.begins_at;
  both.NodeChanged(1, NodeChange::kDraining, at - kSecond, {});
  both.NodeChanged(2, NodeChange::kDied, at - kSecond, {});
  Try one;
  one.trace = one.first = 0xfeed;
  one.due = at;
  both.Due(one);
  both.Arrived({1, 0xfeed, 1, 0, at + 2 * kMs, at + 2 * kMs, 5, 100});
  both.AttemptEnded(1, at + 3 * kMs, AttemptEnd::kRejected);
  both.Ended(0xfeed, at + 4 * kMs, End::kRefused, 503, {}, 250 * kMs);
  both.FaultBegan(1, at + 5 * kMs);
  EXPECT_EQ(store.Timeline(0xfeed), judge.traces().Timeline(0xfeed));
  const std::vector<std::string> timeline = store.Timeline(0xfeed, at);
  ASSERT_EQ(timeline.size(), 6u);
  EXPECT_EQ(timeline[0], "  -1000.000 ms  n2           draining");
  EXPECT_EQ(timeline[3], "     +3.000 ms  n2           attempt 1: turned away, never ran");
  EXPECT_EQ(timeline[4], "     +4.000 ms  client       refused, status 503, Retry-After 250 ms");
  EXPECT_EQ(timeline[5], "     +5.000 ms  script       fault 1 (zone-cut) begins");
  for (int i = 0; i < 8; ++i) store.Written(static_cast<TraceId>(i + 1), at + kSecond);
  EXPECT_TRUE(store.Timeline(0xfeed).empty());  // overwritten
}

}  // namespace
}  // namespace burlfall::lab
