#include "lab/report/report.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <numeric>
#include <utility>

#include "lab/judge/figures.h"
#include "lab/judge/text.h"
#include "lab/report/course.h"
#include "lab/report/gnuplot.h"
#include "lab/report/html.h"
#include "lab/report/plots.h"

namespace burlfall::lab {
namespace {

constexpr std::size_t kFindingsAtOnce = 3;  // of a rule; the others are folded away
constexpr std::size_t kRowsAtOnce = 24;     // of a table; a longer one is folded away
constexpr std::size_t kMostTableRows = 1000;

// Nothing is fetched and nothing runs, whatever names a result holds.
constexpr const char* kHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta http-equiv="Content-Security-Policy"
  content="default-src 'none'; style-src 'unsafe-inline'; img-src data:">
<meta name="viewport" content="width=1000">
<style>
:root { color-scheme: light; }
body { font: 14px/1.4 system-ui, -apple-system, "Segoe UI", "DejaVu Sans", sans-serif; color: #1c1c1c;
  background: #fff; max-width: 1000px; margin: 0 auto; padding: 16px; }
h1 { font-size: 24px; margin: 0 0 4px; }
h2 { font-size: 18px; margin: 32px 0 6px; border-bottom: 1px solid #ccc; break-after: avoid; }
h3 { font-size: 14px; margin: 18px 0 2px; break-after: avoid; }
p { margin: 4px 0; }
.note, small { color: #5a5a5a; font-size: 12px; }
.banner { padding: 10px 14px; margin: 12px 0; border-left: 8px solid; font-size: 16px; }
.banner small { display: block; font-size: 13px; color: inherit; }
.kept { background: #e6f3eb; border-color: #2e8555; }
.broken { background: #fbe6e4; border-color: #b3261e; }
.none { background: #fdf3d8; border-color: #b98900; }
.cards { display: grid; grid-auto-flow: column; grid-auto-columns: minmax(0, 1fr); gap: 8px; margin: 8px 0; }
.card { border: 1px solid #ccc; border-radius: 4px; padding: 6px 8px; overflow-wrap: anywhere; }
.card b { display: block; font-size: 18px; white-space: nowrap; font-variant-numeric: tabular-nums; }
.card span { font-size: 12px; color: #5a5a5a; display: block; }
.card .met { color: #22693f; } .card .missed { color: #b3261e; font-weight: 600; }
.wide { overflow-x: auto; margin: 6px 0; }
table { border-collapse: collapse; font-size: 13px; font-variant-numeric: tabular-nums; width: 100%; }
th, td { padding: 3px 8px; border-bottom: 1px solid #e4e4e4; text-align: right; vertical-align: top; }
thead th { border-bottom: 1px solid #888; font-weight: 600; vertical-align: bottom; }
tbody th { font-weight: 500; }
td { white-space: nowrap; }
.text { white-space: normal; }
th:first-child, .text, .peers td, .peers th { text-align: left; }
tr.bad th, tr.bad td, td.bad { background: #fbe6e4; }
td.good { background: #e6f3eb; }
td.warn { background: #fdf3d8; }
details { margin: 3px 0; }
summary { cursor: pointer; }
pre { font: 12px/1.35 ui-monospace, "DejaVu Sans Mono", monospace; background: #f6f6f6; padding: 6px 10px;
  margin: 4px 0; white-space: pre-wrap; overflow-wrap: anywhere; }
.plot { break-inside: avoid; }
svg { display: block; width: 100%; height: auto; }
svg image { image-rendering: pixelated; }
@page { margin: 10mm; }
@media print {
  * { print-color-adjust: exact; -webkit-print-color-adjust: exact; }
  body { padding: 0; font-size: 11px; }
  .wide { overflow: visible; }
  table { font-size: 9px; }
  th, td { padding: 2px 4px; }
  .card { padding: 3px 5px; }
  .card b { font-size: 13px; }
  .card span, .note, small { font-size: 9px; }
}
</style>
)";

std::string Plain(double value, int decimals) {
  return std::isfinite(value) ? Format("%.*f", decimals, value) : "?";
}
std::string Share(double value) { return Plain(value, 3); }
std::string Millis(double value) { return Plain(value, value < 10 ? 2 : value < 100 ? 1 : 0); }
std::string Seconds(double value) { return Plain(value, std::abs(value - std::round(value)) < 5e-4 ? 0 : 1); }

std::string Percent(uint64_t part, uint64_t of) {
  return of == 0 ? "" : Plain(100 * static_cast<double>(part) / static_cast<double>(of), 2) + "%";
}

std::string Times(uint64_t n) { return Grouped(n) + (n == 1 ? " time" : " times"); }

// "2026-12-01 12:18:07 UTC"; empty where it is not known.
std::string Moment(int64_t unix_us) {
  constexpr int64_t kYear10000 = 253'402'300'800;
  if (unix_us <= 0 || unix_us / 1'000'000 >= kYear10000) return "";
  const std::chrono::sys_seconds at{std::chrono::seconds(unix_us / 1'000'000)};
  const auto day = std::chrono::floor<std::chrono::days>(at);
  const std::chrono::year_month_day date{day};
  const auto second = static_cast<int>((at - day).count());
  return Format("%04d-%02u-%02u %02d:%02d:%02d UTC", static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()), second / 3600,
                second / 60 % 60, second % 60);
}

std::string Paragraph(const std::string& text, const char* look = "") {
  if (text.empty()) return "";
  return "<p" + (*look == 0 ? "" : std::string(" class=\"") + look + "\"") + ">" + Escaped(text) + "</p>\n";
}

std::string NameOf(const Verdict& run) {
  std::string name = run.experiment.empty() ? "a run" : run.experiment;
  name += ", seed " + std::to_string(run.seed);
  if (!run.subject.empty()) name += ", " + run.subject;
  return name;
}

// "draining (12 times), cold_node (1 time)"
std::string BrokenText(const Verdict& run) {
  std::string text;
  for (const RuleResult& rule : run.rules) {
    if (rule.broken == 0) continue;
    text += (text.empty() ? "" : ", ") + rule.rule + " (" + Times(rule.broken) + ")";
  }
  return text;
}

std::string LateText(const LabResult& lab) {
  return Percent(lab.late_sends, lab.sends) + " of its sends came over 5 ms late, the worst by " +
         Millis(lab.late_most_ms) + " ms";
}

std::string Banner(const Verdict& run) {
  const std::string broken = BrokenText(run);
  const auto banner = [](const char* look, const std::string& text, const std::string& more) {
    return std::string("<div class=\"banner ") + look + "\"><b>" + Escaped(text) + "</b>" +
           (more.empty() ? "" : "<small>" + Escaped(more) + "</small>") + "</div>\n";
  };
  if (run.lab.too_late || (run.verdict != "kept" && run.verdict != "broken")) {
    const std::string why =
        run.lab.too_late ? "The lab itself was late: " + LateText(run.lab) + "." : "The result holds none.";
    return banner("none", "No verdict",
                  why + (broken.empty() ? "" : " Rules broken all the same: " + broken + "."));
  }
  if (broken.empty()) return banner("kept", "All rules kept", "");
  const auto rules =
      std::count_if(run.rules.begin(), run.rules.end(), [](const auto& r) { return r.broken > 0; });
  return banner("broken", rules == 1 ? "A rule was broken" : std::to_string(rules) + " rules were broken",
                broken);
}

std::string Card(const std::string& name, const std::string& value, const std::string& note,
                 const std::string& goal = "", const std::string& look = "") {
  std::string html = "<div class=\"card\"><span>" + Escaped(name) + "</span><b>" + Escaped(value) +
                     "</b><span>" + Escaped(note) + "</span>";
  if (!goal.empty()) html += "<span class=\"" + look + "\">" + Escaped(goal) + "</span>";
  return html + "</div>\n";
}

std::string Cards(const Verdict& run, const Goals& goals) {
  const auto service = [&](const char* name, double value, double goal, const std::string& where) {
    if (goal <= 0) return Card(name, Share(value), where);
    if (run.lab.too_late) return Card(name, Share(value), where, "goal " + Share(goal) + ", not judged");
    const std::string look = value >= goal ? "met" : "missed";
    return Card(name, Share(value), where, "goal " + Share(goal) + " " + look, look);
  };
  const Service& s = run.service;
  const Outcomes& o = run.outcomes;
  std::string html = "<div class=\"cards\">\n";
  html += service("service, combined", s.combined, goals.service, "");
  html += service("whole", s.whole, 0, "");
  html += service("worst class", s.worst_class, goals.worst_class, s.worst_class_name);
  html += service("worst ten seconds", s.worst_ten_seconds, goals.worst_ten_seconds,
                  "from " + Seconds(s.worst_ten_seconds_at_s) + " s");
  html += service("worst tenant", s.worst_tenant, goals.worst_tenant, s.worst_tenant_name);
  html += "</div>\n<div class=\"cards\">\n";
  html += Card("queries asked", Grouped(o.asked), "after the settle time");
  html += Card("in time", Grouped(o.in_time), Percent(o.in_time, o.asked));
  html += Card("late", Grouped(o.late), Percent(o.late, o.asked));
  html += Card("refused", Grouped(o.refused), Percent(o.refused, o.asked));
  html += Card("failed", Grouped(o.failed), Percent(o.failed, o.asked));
  const uint64_t unanswered = o.lost + o.left + o.unreached;
  html += Card("no answer", Grouped(unanswered), Percent(unanswered, o.asked) + " lost, left or unreached");
  const bool served = run.latency.served > 0;
  html += Card("p50", served ? Millis(run.latency.p50_ms) + " ms" : "none", "of those served");
  html += Card("p99", served ? Millis(run.latency.p99_ms) + " ms" : "none",
               served ? "most " + Millis(run.latency.most_ms) + " ms" : "");
  return html + "</div>\n";
}

std::string FindingHtml(const Finding& finding) {
  std::string line = "at " + Plain(finding.at_s, 3) + " s: " + finding.why;
  std::string who;
  const auto add = [&](const char* what, const std::string& name) {
    if (!name.empty()) who += (who.empty() ? "" : ", ") + std::string(what) + " " + name;
  };
  add("balancer", finding.balancer);
  add("node", finding.node);
  add("query", finding.query);
  if (finding.trace != finding.query) add("try", finding.trace);
  const std::string said = Escaped(line) + (who.empty() ? "" : " <small>" + Escaped(who) + "</small>");
  if (finding.story.empty()) return "<p>" + said + "</p>\n";
  std::string html = "<details><summary>" + said + "</summary><pre>";
  for (const std::string& event : finding.story) html += Escaped(event) + "\n";
  return html + "</pre></details>\n";
}

std::string RulesHtml(const Verdict& run) {
  if (run.rules.empty()) return "";
  std::vector<const RuleResult*> rules;  // those that were broken first
  for (const RuleResult& rule : run.rules) rules.push_back(&rule);
  std::stable_sort(rules.begin(), rules.end(), [](const RuleResult* a, const RuleResult* b) {
    return (a->broken > 0) > (b->broken > 0);
  });
  HtmlTable table({"rule", {"asks", true}, "broken"});
  for (const RuleResult* rule : rules) {
    table.Row(rule->broken > 0 ? "bad" : "").Cell(rule->rule).Cell(rule->asks);
    table.Cell(rule->broken == 0 ? "no" : Times(rule->broken));
    if (rule->findings.empty()) continue;
    std::string html;
    for (std::size_t i = 0; i < rule->findings.size(); ++i) {
      if (i == kFindingsAtOnce) {
        html += "<details><summary>" + std::to_string(rule->findings.size() - i) + " more</summary>";
      }
      html += FindingHtml(rule->findings[i]);
    }
    if (rule->findings.size() > kFindingsAtOnce) html += "</details>";
    if (rule->broken > rule->findings.size()) {
      html += Paragraph("The result holds the first " + Grouped(rule->findings.size()) + " of " +
                            Grouped(rule->broken) + ".",
                        "note");
    }
    table.Row().Html(html);
  }
  return "<h2>Rules</h2>\n" + table.Done();
}

std::string FaultsHtml(const ReportedRun& run) {
  const Verdict& verdict = run.verdict;
  if (verdict.faults.empty()) return "";
  HtmlTable table({"fault", {"kind", true}, "from, s", "to, s", {"hit", true}});
  std::size_t number = 0;
  for (const FaultResult& fault : verdict.faults) {
    if (++number > kMostTableRows) break;
    table.Row().Cell(std::to_string(number)).Cell(fault.name);
    table.Cell(Plain(fault.began_s, 1)).Cell(fault.ended_s > fault.began_s ? Plain(fault.ended_s, 1) : "");
    table.Cell(TargetsOf(verdict, fault, run.zones));
  }
  return "<h2>Faults</h2>\n" + table.Done();
}

// Why no plot can be made; empty while they can.
struct Plotting {
  const ReportOptions& options;
  std::string trouble = {};  // the first
  bool missing = false;
};

std::string PlotsHtml(const Verdict& run, const std::string& id, Plotting& plotting) {
  std::string html = "<h2>The run's course</h2>\n";
  const std::vector<Plot> plots = PlotsOf(run, id);
  if (plots.empty()) return html + Paragraph("There were no queries: nothing to plot.");
  std::string failed;
  for (std::size_t i = 0; i < plots.size() && !plotting.missing; ++i) {
    const Plot& plot = plots[i];
    const Picture picture = RunGnuplot(plotting.options.gnuplot, plot.script,
                                       std::chrono::milliseconds(plotting.options.plot_limit_ms));
    if (plotting.trouble.empty()) plotting.trouble = picture.error;
    plotting.missing = picture.missing;
    if (picture.missing) break;
    html += "<div class=\"plot\"><h3>" + Escaped(plot.title) + "</h3>\n" + Paragraph(plot.note, "note");
    if (!picture.error.empty()) {
      html += Paragraph("No plot: " + picture.error);
    } else {
      html += Inlined(picture.svg, id + "_" + std::to_string(i), plot.title) + "\n";
    }
    html += "</div>\n";
  }
  if (plotting.missing)
    html += Paragraph("Plots need gnuplot, which is not here (" + plotting.trouble + ").");
  return html;
}

void GroupRow(HtmlTable& table, const GroupResult& group) {
  const Outcomes& o = group.outcomes;
  const Latency& l = group.latency;
  table.Row().Cell(group.name).Cell(Share(group.service)).Cell(Grouped(o.asked)).Cell(Grouped(o.in_time));
  const auto bad = [&](uint64_t n) { table.Cell(Grouped(n), n > 0 ? "warn" : ""); };
  for (const uint64_t n : {o.late, o.refused, o.failed, o.lost, o.left, o.unreached}) bad(n);
  for (const double ms : {l.p50_ms, l.p90_ms, l.p99_ms, l.p999_ms, l.most_ms}) {
    table.Cell(l.served == 0 ? "" : Millis(ms));
  }
}

std::string GroupsHtml(const Verdict& run) {
  const auto table_of = [](const char* what, const std::vector<GroupResult>& groups) {
    if (groups.empty()) return std::string();
    HtmlTable table({HtmlTable::Column(what), "service", "asked", "in time", "late", "refused", "failed",
                     "lost", "left", "unreached", "p50, ms", "p90", "p99", "p99.9", "most"});
    for (std::size_t i = 0; i < std::min(groups.size(), kMostTableRows); ++i) GroupRow(table, groups[i]);
    return table.Done();
  };
  const std::string tables = table_of("class", run.classes) + table_of("tenant", run.tenants);
  return tables.empty()
             ? ""
             : "<h2>Classes and tenants</h2>\n" +
                   Paragraph("After the settle time; of tenants, what they asked within their share.",
                             "note") +
                   tables;
}

// A long table is folded away behind a line that says what it holds.
std::string Folded(std::size_t rows, const std::string& what, const std::string& table) {
  if (rows <= kRowsAtOnce) return table;
  std::string text = "all " + Grouped(rows) + " " + what;
  if (rows > kMostTableRows)
    text = "the first " + Grouped(kMostTableRows) + " of " + Grouped(rows) + " " + what;
  return "<details><summary>" + Escaped(text) + "</summary>" + table + "</details>\n";
}

std::string BalancersHtml(const ReportedRun& reported) {
  const Verdict& run = reported.verdict;
  const auto zone = [&](int number) {
    const auto at = static_cast<std::size_t>(number);
    return at < reported.zones.size() ? reported.zones[at] : std::to_string(number);
  };
  std::string html;
  const auto seen = [](HtmlTable& table, uint64_t n) { table.Cell(Grouped(n), n > 0 ? "warn" : ""); };
  if (!run.balancers.empty()) {
    HtmlTable table({"balancer", "zone", "tries taken", "attempts", "planned ends", "kills", "crashes"});
    for (std::size_t i = 0; i < std::min(run.balancers.size(), kMostTableRows); ++i) {
      const BalancerResult& b = run.balancers[i];
      table.Row().Cell(b.name).Cell(zone(b.zone)).Cell(Grouped(b.taken)).Cell(Grouped(b.attempts));
      table.Cell(std::to_string(b.planned_ends)).Cell(std::to_string(b.kills), b.kills > 0 ? "warn" : "");
      table.Cell(std::to_string(b.crashes), b.crashes > 0 ? "bad" : "");
    }
    html += "<h2>Balancers</h2>\n" + Folded(run.balancers.size(), "balancers", table.Done());
  }
  if (!run.nodes.empty()) {
    HtmlTable table({"node", "zone", "attempts", "answered", "errors", "turned away", "dropped", "handshakes",
                     "starts", "fell"});
    for (std::size_t i = 0; i < std::min(run.nodes.size(), kMostTableRows); ++i) {
      const NodeResult& n = run.nodes[i];
      table.Row().Cell(n.name).Cell(zone(n.zone)).Cell(Grouped(n.attempts)).Cell(Grouped(n.answered));
      for (const uint64_t count : {n.errors, n.turned_away, n.dropped}) seen(table, count);
      table.Cell(Grouped(n.handshakes)).Cell(std::to_string(n.starts));
      table.Cell(std::to_string(n.fell), n.fell > 0 ? "bad" : "");
    }
    html += "<h2>Nodes</h2>\n" + Folded(run.nodes.size(), "nodes", table.Done());
  }
  return html;
}

std::string EffortHtml(const Verdict& run) {
  const Effort& e = run.effort;
  const Ends& ends = run.ends;
  const LabResult& lab = run.lab;
  const auto list = [](const char* title, const std::vector<std::pair<const char*, std::string>>& rows) {
    HtmlTable table({HtmlTable::Column(title), ""});
    for (const auto& [name, value] : rows) table.Row().Cell(name).Cell(value);
    return "<div class=\"card\">" + table.Done() + "</div>\n";
  };
  std::string html = "<h2>What it took, and how the lab did</h2>\n<div class=\"cards\">\n";
  html += list("effort", {{"attempts at nodes", Grouped(e.attempts)},
                          {"attempts per query", Plain(e.attempts_per_query, 3)},
                          {"tries per query", Plain(e.tries_per_query, 3)},
                          {"copies", Grouped(e.copies)},
                          {"attempts across zones", Grouped(e.cross_zone)},
                          {"handshakes with nodes", Grouped(e.handshakes)},
                          {"work that nodes began, s", Plain(e.work_begun_ms / 1000, 1)},
                          {"of it wasted, share", Share(e.work_wasted_share)},
                          {"worth lost after its aim, share", Share(e.late_fail_share)},
                          {"tries held back", Grouped(e.held_back)}});
  html += list("how tries ended", {{"served", Grouped(ends.served)},
                                   {"refused", Grouped(ends.refused)},
                                   {"failed", Grouped(ends.failed)},
                                   {"broken off by the balancer", Grouped(ends.broken)},
                                   {"lost with a killed balancer", Grouped(ends.lost)},
                                   {"unreached", Grouped(ends.unreached)},
                                   {"left by the client", Grouped(ends.left)},
                                   {"of these, past the deadline", Grouped(ends.left_unanswered)},
                                   {"not told", Grouped(ends.untold)}});
  html += list("the lab", {{"tries sent", Grouped(lab.sends)},
                           {"sent late", Grouped(lab.late_sends)},
                           {"sent late, share", Plain(lab.late_share, 4)},
                           {"p99 of lateness, ms", Millis(lab.late_p99_ms)},
                           {"most late, ms", Millis(lab.late_most_ms)},
                           {"stray events", Grouped(lab.strays)},
                           {"effects repeated by the lab", Grouped(lab.site_repeats)}});
  return html + "</div>\n";
}

std::string RunText(const Verdict& run) {
  std::string text = "experiment " + (run.experiment.empty() ? "without a name" : run.experiment) +
                     ", seed " + std::to_string(run.seed) + ", subject " +
                     (run.subject.empty() ? "without a name" : run.subject) + ", " + Seconds(run.length_s) +
                     " s";
  if (run.settle_s > 0)
    text += ", of which the first " + Seconds(run.settle_s) + " s count for the rules alone";
  text += "; " + std::to_string(run.balancers.size()) + " balancers, " + std::to_string(run.nodes.size()) +
          " nodes";
  const std::string began = Moment(run.begins_at_us);
  return text + (began.empty() ? "" : "; began " + began);
}

std::string RunHtml(const ReportedRun& run, const std::string& id, Plotting& plotting) {
  const Verdict& verdict = run.verdict;
  return Paragraph(RunText(verdict)) + Paragraph(run.about, "note") + Banner(verdict) +
         Cards(verdict, run.goals) + RulesHtml(verdict) + FaultsHtml(run) + PlotsHtml(verdict, id, plotting) +
         GroupsHtml(verdict) + BalancersHtml(run) + EffortHtml(verdict);
}

// Those to tell of in whole, in their order: the ones that an operator would want to look at first.
std::vector<std::size_t> Chosen(const std::vector<ReportedRun>& runs, int most) {
  std::vector<std::size_t> chosen(runs.size());
  std::iota(chosen.begin(), chosen.end(), 0u);
  if (runs.size() <= static_cast<std::size_t>(std::max(most, 0))) return chosen;
  std::stable_sort(chosen.begin(), chosen.end(), [&](std::size_t a, std::size_t b) {
    const Verdict& x = runs[a].verdict;
    const Verdict& y = runs[b].verdict;
    if (x.rules_kept != y.rules_kept) return !x.rules_kept;
    return x.service.combined < y.service.combined;
  });
  chosen.resize(static_cast<std::size_t>(std::max(most, 0)));
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

std::string OverviewHtml(const std::vector<ReportedRun>& runs, const ReportOptions& options) {
  std::vector<const Verdict*> verdicts;
  std::map<std::pair<std::string, std::string>, std::vector<const Verdict*>>
      groups;  // by experiment, subject
  int kept = 0;
  int broke = 0;
  int late = 0;
  for (const ReportedRun& run : runs) {
    const Verdict& verdict = run.verdict;
    verdicts.push_back(&verdict);
    groups[{verdict.experiment, verdict.subject}].push_back(&verdict);
    kept += !verdict.lab.too_late && BrokenText(verdict).empty() ? 1 : 0;
    broke += BrokenText(verdict).empty() ? 0 : 1;
    late += verdict.lab.too_late ? 1 : 0;
  }
  std::string text = std::to_string(runs.size()) + (runs.size() == 1 ? " run: " : " runs: ") +
                     std::to_string(kept) + " kept all rules, " + std::to_string(broke) + " broke some";
  if (late > 0) text += ", " + std::to_string(late) + " without a verdict since the lab was late";
  if (!options.lost.empty())
    text +=
        "; " + std::to_string(options.lost.size()) + (options.lost.size() == 1 ? " run lost" : " runs lost");
  std::string html = std::string("<div class=\"banner ") +
                     (broke > 0  ? "broken"
                      : late > 0 ? "none"
                                 : "kept") +
                     "\"><b>" + Escaped(text) + "</b></div>\n";
  if (groups.size() > 1 || !options.lost.empty()) {
    html += "<h2>Subjects against experiments</h2>\n" + ToHtml(TableOf(verdicts, options.lost));
  }
  for (const auto& [key, group] : groups) {
    if (group.size() < 2) continue;
    html +=
        "<h2>" + Escaped("Repeats: " + key.first + (key.second.empty() ? "" : ", " + key.second)) + "</h2>\n";
    html += RepeatsReport(group, groups.size() > 1);
  }
  return html;
}

}  // namespace

std::string RepeatsReport(const std::vector<const Verdict*>& runs, bool folded) {
  HtmlTable each({"seed",
                  "verdict",
                  "combined",
                  "whole",
                  "worst class",
                  "worst 10 s",
                  "worst tenant",
                  "p50, ms",
                  "p99, ms",
                  "refused",
                  {"rules broken", true}});
  std::vector<const Verdict*> counted;
  for (const Verdict* run : runs) {
    const Service& s = run->service;
    const std::string broken = BrokenText(*run);
    each.Row(broken.empty() ? "" : "bad").Cell(std::to_string(run->seed));
    each.Cell(run->lab.too_late ? "none: lab late"
              : broken.empty()  ? "kept"
                                : "broken",
              run->lab.too_late ? "warn" : "");
    for (const double share : {s.combined, s.whole, s.worst_class, s.worst_ten_seconds, s.worst_tenant}) {
      each.Cell(Share(share));
    }
    each.Cell(Millis(run->latency.p50_ms)).Cell(Millis(run->latency.p99_ms));
    each.Cell(Percent(run->outcomes.refused, run->outcomes.asked)).Cell(broken);
    if (!run->lab.too_late) counted.push_back(run);
  }
  std::string html = each.Done();
  if (counted.size() < runs.size()) {
    html += Paragraph(
        "Left out below: " + std::to_string(runs.size() - counted.size()) + ", since the lab was late.",
        "note");
  }
  if (counted.size() < 2) return html + Paragraph("A spread needs two runs.", "note");
  HtmlTable spreads({"figure", "mean", "deviation", "least", "most"});
  for (const Figure& figure : FiguresOf(*counted.front())) {
    std::vector<double> values;
    for (const Verdict* run : counted) values.push_back(figure.measure(*run));
    const Spread spread = SpreadOf(values);
    const auto [least, most] = std::minmax_element(values.begin(), values.end());
    spreads.Row().Cell(figure.name);
    for (const double value : {spread.mean, spread.deviation, *least, *most}) spreads.Cell(Plain(value, 4));
  }
  return html + (folded ? "<details>" : "<details open>") +
         "<summary>Mean and spread of each figure</summary>" + spreads.Done() +
         Paragraph("Deviation: of the sample.", "note") + "</details>\n";
}

ReportPage Report(const std::vector<ReportedRun>& runs, const ReportOptions& options) {
  Plotting plotting{options};
  std::string title = options.title;
  if (title.empty() && runs.size() == 1) {
    title = runs[0].title.empty() ? runs[0].verdict.experiment : runs[0].title;
  }
  if (title.empty()) title = "Runs of the lab";
  ReportPage page;
  page.html =
      kHead + ("<title>" + Escaped(title) + "</title></head><body>\n<h1>" + Escaped(title) + "</h1>\n");
  if (runs.size() == 1 && options.lost.empty()) {
    page.html += RunHtml(runs[0], "run1", plotting);
  } else {
    page.html += OverviewHtml(runs, options);
    const std::vector<std::size_t> chosen = Chosen(runs, options.most_whole);
    if (chosen.size() < runs.size()) {
      page.html += Paragraph("Told of in whole below: the " + std::to_string(chosen.size()) +
                                 " runs that broke rules or served least.",
                             "note");
    }
    for (const std::size_t i : chosen) {
      const std::string id = "run" + std::to_string(i + 1);
      const Verdict& verdict = runs[i].verdict;
      const std::string broken = BrokenText(verdict);
      page.html += "<details><summary><b>" + Escaped(NameOf(verdict)) + "</b> " +
                   Escaped("service " + Share(verdict.service.combined) +
                           (broken.empty() ? ", rules kept" : ", broke " + broken)) +
                   "</summary>\n" + RunHtml(runs[i], id, plotting) + "</details>\n";
    }
  }
  page.html += "</body></html>\n";
  page.trouble = plotting.trouble;
  return page;
}

}  // namespace burlfall::lab
