// Scenario helper for tests of the judge: a test reports the events at both ends of each query to a Judge.
#ifndef BURLFALL_TESTS_LAB_STAGE_H_
#define BURLFALL_TESTS_LAB_STAGE_H_

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lab/judge/run_checker.h"
#include "lab/judge/text.h"

namespace burlfall::lab {

enum { kRead, kRelease, kCharge };  // safe, unsafe, keyed

// Three nodes, the last one in another zone, and two balancers. Limits: answers up to 70 ms after the
// deadline, keyed repeats up to 550 ms, and sends up to 800 ms after the notification of a drain.
inline Facts StageFacts() {
  Facts facts;
  meadowslip::Settings& settings = facts.settings;
  using meadowslip::Idempotency;
  settings.classes.resize(3);
  settings.classes[kRead] = {
      .idempotency = Idempotency::kSafe, .aim = 300 * kMs, .deadline = kSecond, .name = "read"};
  settings.classes[kRelease] = {
      .idempotency = Idempotency::kUnsafe, .aim = 400 * kMs, .deadline = kSecond, .name = "release"};
  settings.classes[kCharge] = {.idempotency = Idempotency::kKeyed,
                               .dedup_window = 500 * kMs,
                               .aim = 300 * kMs,
                               .deadline = kSecond,
                               .name = "charge"};
  settings.tenants = {{0, 0.7, "big"}, {0, 0.3, "small"}};
  settings.second_copies = true;
  settings.max_attempts = 3;
  settings.answer_slack = 20 * kMs;
  settings.drain_grace = 750 * kMs;
  settings.must_ask_within = 10 * kSecond;
  facts.nodes = {{"n1", 0, 0}, {"n2", 0, 1}, {"n3", 1, 2}};
  facts.balancers = {{"b1", 0, 0}, {"b2", 1, 0}};
  facts.faults = {{"balancers-killed", FaultKind::kBalancersKilled, {0}},
                  {"zone-cut", FaultKind::kZoneCut, {1}}};
  facts.begins_at = 1'700'000'000 * kSecond;
  facts.length = 40 * kSecond;
  return facts;
}

struct Stage {
  explicit Stage(Facts with = StageFacts()) : facts(with), judge(std::move(with)) {}

  Micros At(double ms) const { return facts.begins_at + static_cast<Micros>(ms * kMs); }

  // A client sends a query, which is written at once, and gives up a second later.
  TraceId Ask(int cls, double ms, TraceId first = 0, int balancer = 0) {
    Try one;
    one.trace = ++last_trace;
    one.first = first == 0 ? one.trace : first;
    one.number = first == 0 ? 0 : 1;
    one.cls = cls;
    one.balancer = balancer;
    one.due = At(ms);
    one.give_up_at = At(ms + 1000);
    one.worth = 1;
    one.aim_at = At(ms + 300);
    judge.Due(one);
    judge.Written(one.trace, At(ms));
    return one.trace;
  }
  uint64_t Send(TraceId trace, int node, double ms, int balancer = 0) {
    ArrivedAttempt seen;
    seen.attempt = ++last_attempt;
    seen.trace = trace;
    seen.node = node;
    seen.balancer = balancer;
    seen.first_byte_at = seen.at = At(ms);
    seen.work_us = 1000.0 * static_cast<double>(last_attempt);
    judge.Arrived(seen);
    marks[seen.attempt] = {trace, node, seen.attempt};
    return seen.attempt;
  }
  void Run(uint64_t attempt, double ms, bool effect = true) { judge.Ran(attempt, At(ms), effect); }
  void Answer(uint64_t attempt, double ms, AttemptEnd how = AttemptEnd::kAnswered) {
    judge.AttemptEnded(attempt, At(ms), how);
  }
  void Cancel(uint64_t attempt, double ms) { judge.LinkEnded(attempt, At(ms)); }
  void End(TraceId trace, double ms, lab::End how, int status = 0, Mark mark = {}) {
    judge.Ended(trace, At(ms), how, status, mark, 0);
  }
  void Serve(TraceId trace, uint64_t attempt, double ms) {
    End(trace, ms, End::kServed, 200, marks.at(attempt));
  }
  // A query without violations: one attempt, run and answered.
  TraceId Good(int cls, double ms, double took_ms = 20, int balancer = 0) {
    const TraceId trace = Ask(cls, ms, 0, balancer);
    const uint64_t attempt = Send(trace, 0, ms + 1, balancer);
    Run(attempt, ms + 1);
    Answer(attempt, ms + took_ms - 1);
    Serve(trace, attempt, ms + took_ms);
    return trace;
  }

  const Verdict& Finish(double ms = 100'000) {
    verdict = judge.Finish(At(ms));
    return verdict;
  }
  // Ends the run; returns "rule trace" for each finding, ordered by rule.
  std::vector<std::string> Found() {
    std::vector<std::string> found;
    for (const RuleResult& rule : Finish().rules) {
      EXPECT_EQ(rule.broken, rule.findings.size());
      for (const Finding& finding : rule.findings) found.push_back(rule.rule + " " + finding.trace);
    }
    EXPECT_EQ(verdict.rules_kept, found.empty());
    return found;
  }
  static std::string Line(const char* rule, TraceId trace) {
    return Format("%s %s", rule, HexOf(trace).c_str());
  }
  static std::vector<std::string> Only(const char* rule, TraceId trace) { return {Line(rule, trace)}; }

  Facts facts;
  RunChecker judge;
  Verdict verdict;
  std::map<uint64_t, Mark> marks;
  TraceId last_trace = 0;
  uint64_t last_attempt = 0;
};

inline const std::vector<std::string> kNothing;

}  // namespace burlfall::lab

#endif  // BURLFALL_TESTS_LAB_STAGE_H_
