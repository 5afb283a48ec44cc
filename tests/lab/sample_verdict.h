// Randomly generated results that resemble those of a run, for tests of reports and tables.
#ifndef BURLFALL_TESTS_LAB_SAMPLE_VERDICT_H_
#define BURLFALL_TESTS_LAB_SAMPLE_VERDICT_H_

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "lab/judge/result.h"
#include "lab/judge/sketch.h"

namespace burlfall::lab {

struct SampleSpec {
  std::string experiment = "everything";
  std::string subject = "burlfall";
  uint64_t seed = 8;
  int seconds = 60;
  int nodes = 12;
  double rate = 250;
  double severity = 1;  // scales all failures
  bool many_faults = false;
};

class SampleMaker {
 public:
  explicit SampleMaker(const SampleSpec& spec) : spec_(spec), state_(spec.seed * 2654435761u + 1) {}

  Verdict Make() {
    Verdict v;
    v.experiment = spec_.experiment;
    v.subject = spec_.subject;
    v.seed = spec_.seed;
    v.begins_at_us = 1'764'590'400'000'000;
    v.length_s = spec_.seconds;
    v.settle_s = 2;
    for (int i = 0; i < spec_.nodes; ++i) {
      v.nodes.push_back(
          {(i % 12 < 7 ? "std-" : "slow-") + std::to_string(i + 1), i % 2, 0, 0, 0, 0, 0, 40, 0, 0});
    }
    for (int i = 0; i < 3; ++i)
      v.balancers.push_back({"b" + std::to_string(i + 1), i % 2, 5000, 5600, 0, 0, 0});
    Faults(v);
    Rules(v);
    for (int s = 0; s < spec_.seconds; ++s) Second(v, s);
    Groups(v);
    return v;
  }

 private:
  double Draw() {  // uniform in [0, 1)
    state_ = state_ * 6364136223846793005u + 1442695040888963407u;
    return static_cast<double>(state_ >> 11) / 9007199254740992.0;
  }
  static uint64_t Whole(double value) { return static_cast<uint64_t>(std::max(0.0, value)); }

  void Faults(Verdict& v) const {
    const double l = spec_.seconds;
    v.faults = {{"silent-nodes", 0, 0.12 * l, 0.35 * l, {1, spec_.nodes / 2}},
                {"traffic-jump", 1, 0.25 * l, 0.33 * l, {}},
                {"zone-cut", 2, 0.4 * l, 0.5 * l, {1}},
                {"balancers-killed", 3, 0.42 * l, 0.47 * l, {1}},
                {"planned-restart", 4, 0.84 * l, 0.84 * l, {0}}};
    if (!spec_.many_faults) return;
    for (const char* name :
         {"rude-clients", "fast-errors", "nodes-drained", "discovery-down", "nodes-replaced", "slow-nodes",
          "links-reset", "spoilt-answers", "discovery-older", "nodes-restarted"}) {
      const double at = 0.08 * l * static_cast<double>(v.faults.size() - 4);
      v.faults.push_back({name, 5, at, std::min(l, at + 0.12 * l), {3, 4}});
    }
  }

  void Rules(Verdict& v) const {
    for (int i = 0; i < kRules; ++i) {
      const Rule rule = static_cast<Rule>(i);
      v.rules.push_back({std::string(NameOf(rule)), std::string(TextOf(rule)), 0, {}});
    }
    v.verdict = "kept";
    v.rules_kept = true;
    if (spec_.severity < 1) return;
    RuleResult& draining = v.rules[static_cast<std::size_t>(Rule::kDraining)];
    draining.broken = 57;
    for (int i = 0; i < 5; ++i) {
      draining.findings.push_back({"00000000000004d2",
                                   "00000000000004d2",
                                   "b2",
                                   "std-3",
                                   12.25 + i,
                                   "sent 812 ms after it was told that the node drains; 750 ms are allowed",
                                   {"     0 ms  due at b2, class stock-query", "     1 ms  taken by b2",
                                    "     2 ms  attempt 1 at std-3", "    40 ms  served"}});
    }
    v.verdict = "broken";
    v.rules_kept = false;
  }

  // Severity of failures within a second: 0 none, 1 everything fails.
  double Trouble(const Verdict& v, int s) const {
    double trouble = 0;
    for (const FaultResult& f : v.faults) trouble += s >= f.began_s && s < f.ended_s ? 0.12 : 0;
    return std::min(0.8, trouble * spec_.severity);
  }

  void Second(Verdict& v, int s) {
    Series& t = v.series;
    const bool jump = s >= v.faults[1].began_s && s < v.faults[1].ended_s;
    const double asked = std::round(spec_.rate * (jump ? 1.8 : 1) * (0.9 + 0.2 * Draw()));
    const double trouble = Trouble(v, s) * (0.7 + 0.6 * Draw());
    Outcomes o;
    o.asked = Whole(asked);
    o.late = Whole(asked * trouble * 0.25);
    o.refused = Whole(asked * trouble * (jump ? 0.5 : 0.1));
    o.failed = Whole(asked * trouble * 0.06);
    o.lost = s == static_cast<int>(v.faults[3].began_s) ? Whole(asked * 0.03) : 0;
    o.left = Whole(asked * trouble * 0.05);
    o.in_time = o.asked - o.late - o.refused - o.failed - o.lost - o.left;
    t.asked.push_back(o.asked);
    t.in_time.push_back(o.in_time);
    t.late.push_back(o.late);
    t.refused.push_back(o.refused);
    t.failed.push_back(o.failed);
    t.lost.push_back(o.lost);
    t.left.push_back(o.left);
    t.unreached.push_back(0);
    t.service.push_back(asked > 0 ? static_cast<double>(o.in_time) / asked : 1);
    t.p50_ms.push_back(42 * (1 + trouble) * (0.9 + 0.2 * Draw()));
    t.p99_ms.push_back(180 * (1 + 4 * trouble) * (0.8 + 0.5 * Draw()));
    v.outcomes.asked += o.asked;
    v.outcomes.in_time += o.in_time;
    v.outcomes.late += o.late;
    v.outcomes.refused += o.refused;
    v.outcomes.failed += o.failed;
    v.outcomes.lost += o.lost;
    v.outcomes.left += o.left;
    Nodes(v, s, asked * (1 + 0.3 * trouble));
  }

  void Nodes(Verdict& v, int s, double sends) {
    Series& t = v.series;
    t.attempts_by_node.resize(v.nodes.size());
    t.in_flight_by_node.resize(v.nodes.size());
    t.sends.push_back(Whole(sends));
    const auto& silent = v.faults[0];
    for (std::size_t n = 0; n < v.nodes.size(); ++n) {
      const bool hit = std::find(silent.targets.begin(), silent.targets.end(), static_cast<int>(n)) !=
                       silent.targets.end();
      const bool out = hit && s >= silent.began_s && s < silent.ended_s;
      double share = sends / static_cast<double>(v.nodes.size()) * (v.nodes[n].name[1] == 't' ? 1.15 : 0.8);
      if (out && s > silent.began_s + 1) share *= 0.04;
      const uint64_t attempts = Whole(share * (0.7 + 0.6 * Draw()));
      t.attempts_by_node[n].push_back(attempts);
      t.in_flight_by_node[n].push_back(out ? Whole(30 + 20 * Draw())
                                           : Whole(share * 0.12 * (0.5 + 2 * Draw())));
      v.nodes[n].attempts += attempts;
      v.nodes[n].answered += out ? 0 : attempts;
      v.nodes[n].dropped += out ? attempts : 0;
    }
  }

  Latency Times(uint64_t count, double scale) {
    Sketch sketch;
    for (uint64_t i = 0; i < std::min<uint64_t>(count, 20000); ++i) {
      const double normal = std::sqrt(-2 * std::log(1 - Draw())) * std::cos(6.2831853 * Draw());
      sketch.Add(static_cast<Micros>(scale * 1000 * std::exp(0.6 * normal)));
    }
    Latency l;
    l.served = sketch.count();
    l.mean_ms = sketch.Mean() / kMs;
    l.p50_ms = sketch.Quantile(0.5) / kMs;
    l.p90_ms = sketch.Quantile(0.9) / kMs;
    l.p95_ms = sketch.Quantile(0.95) / kMs;
    l.p99_ms = sketch.Quantile(0.99) / kMs;
    l.p999_ms = sketch.Quantile(0.999) / kMs;
    l.most_ms = static_cast<double>(sketch.Max()) / kMs;
    for (const auto& [number, n] : sketch.Bins()) l.bins.push_back({number, n});
    return l;
  }

  void Groups(Verdict& v) {
    const uint64_t served = v.outcomes.in_time + v.outcomes.late;
    v.latency = Times(served, 45);
    const double whole = v.outcomes.asked == 0 ? 0
                                               : static_cast<double>(v.outcomes.in_time) /
                                                     static_cast<double>(v.outcomes.asked);
    double scale = 30;
    for (const char* name : {"stock-query", "slot-release", "swap-charge"}) {
      GroupResult g;
      g.name = name;
      g.service = std::max(0.0, whole - scale / 1000);
      g.outcomes = v.outcomes;
      for (uint64_t* n : {&g.outcomes.asked, &g.outcomes.in_time, &g.outcomes.late, &g.outcomes.refused,
                          &g.outcomes.failed, &g.outcomes.lost, &g.outcomes.left}) {
        *n /= 3;
      }
      g.latency = Times(served / 3, scale += 12);
      v.classes.push_back(g);
    }
    v.tenants = {v.classes[0], v.classes[1]};
    v.tenants[0].name = "wagon-north";
    v.tenants[1].name = "wagon-south";
    v.service = {whole - 0.03,         whole,         whole - 0.12,         0.4 * spec_.seconds,
                 v.classes[2].service, "swap-charge", v.tenants[1].service, "wagon-south"};
    v.effort = {v.outcomes.asked + v.outcomes.asked / 10, 1.1, 1.03, 120, 2000, 480, 9e5, 0.04, 0.02, 3};
    v.ends = {served, v.outcomes.refused, v.outcomes.failed, 2, v.outcomes.lost, 0, v.outcomes.left, 0, 0};
    v.lab = {v.outcomes.asked, 12, 0.0008, 0.6, 9.4, false, 0, 0};
  }

  const SampleSpec spec_;
  uint64_t state_;
};

inline Verdict SampleVerdict(const SampleSpec& spec = {}) { return SampleMaker(spec).Make(); }

}  // namespace burlfall::lab

#endif  // BURLFALL_TESTS_LAB_SAMPLE_VERDICT_H_
