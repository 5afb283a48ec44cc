#include "lab/summary.h"

#include "lab/judge/text.h"

namespace burlfall::lab {
namespace {

unsigned long long N(uint64_t n) { return n; }

void AddGoal(std::string& out, const char* name, double got, double goal) {
  out += Format("  %-18s %.3f", name, got);
  if (goal > 0) out += Format("   goal %.3f: %s", goal, got >= goal ? "met" : "missed");
  out += "\n";
}

}  // namespace

std::string Summary(const Verdict& v, const Goals& goals) {
  std::string out;
  out +=
      Format("%s, seed %llu, %s: %.0f s\n\n", v.experiment.c_str(), N(v.seed), v.subject.c_str(), v.length_s);
  const Outcomes& o = v.outcomes;
  out += Format(
      "queries  %llu asked: %llu in time, %llu late, %llu refused, %llu failed, %llu lost, %llu left, %llu "
      "unreached\n",
      N(o.asked), N(o.in_time), N(o.late), N(o.refused), N(o.failed), N(o.lost), N(o.left), N(o.unreached));
  out += Format("latency  p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, most %.1f ms\n", v.latency.p50_ms,
                v.latency.p90_ms, v.latency.p99_ms, v.latency.most_ms);
  out += Format("attempts %llu, %.3f a query; tries %.3f a query\n\n", N(v.effort.attempts),
                v.effort.attempts_per_query, v.effort.tries_per_query);
  out += "service: worth served in time over worth asked for\n";
  AddGoal(out, "combined", v.service.combined, goals.service);
  AddGoal(out, "whole run", v.service.whole, 0);
  AddGoal(out, "worst class", v.service.worst_class, goals.worst_class);
  AddGoal(out, "worst ten seconds", v.service.worst_ten_seconds, goals.worst_ten_seconds);
  AddGoal(out, "worst tenant", v.service.worst_tenant, goals.worst_tenant);
  out += "\n";
  const FleetResult& fleet = v.fleet;
  out += Format(
      "lists    %llu of %llu processes got one, the last after %.2f s; %.2f calls each until then, %llu at "
      "most;\n"
      "         %llu calls in the busiest second after the first\n"
      "nodes    %llu new connections at one in its worst second, %llu pushed over\n\n",
      N(fleet.listed), N(fleet.lives), fleet.listed_within_s, fleet.calls_each, N(fleet.most_calls_each),
      N(fleet.most_calls_per_s), N(fleet.most_handshakes), N(fleet.fell));
  for (const std::string& missed : fleet.missed) out += "MISSED   " + missed + "\n";
  if (v.lab.too_late) {
    out += Format(
        "no verdict: the lab itself sent %.1f%% of its queries over 5 ms late; this machine was too busy\n",
        100 * v.lab.late_share);
  }
  for (const RuleResult& rule : v.rules) {
    out += Format("  %-18s %s", rule.rule.c_str(), rule.broken == 0 ? "held" : "BROKEN");
    if (rule.broken > 0) out += Format(" %llu times: %s", N(rule.broken), rule.asks.c_str());
    out += "\n";
  }
  for (const RuleResult& rule : v.rules) {
    if (rule.findings.empty()) continue;
    const Finding& first = rule.findings.front();
    out += Format("\n%s, first at %.3f s, %s %s: %s\n", rule.rule.c_str(), first.at_s, first.balancer.c_str(),
                  first.node.c_str(), first.why.c_str());
    for (const std::string& line : first.story) out += "    " + line + "\n";
  }
  return out;
}

}  // namespace burlfall::lab
