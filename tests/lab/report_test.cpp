// Reports and tables of results that were made up.
#include "lab/report/report.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>

#include "lab/report/course.h"
#include "lab/report/gnuplot.h"
#include "lab/report/html.h"
#include "lab/report/plots.h"
#include "lab/report/sheet.h"
#include "sample_verdict.h"

namespace burlfall::lab {
namespace {

using namespace std::chrono_literals;

std::size_t CountOf(const std::string& text, const std::string& what) {
  std::size_t count = 0;
  for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) ++count;
  return count;
}
bool Has(const std::string& text, const std::string& what) { return text.find(what) != std::string::npos; }

TEST(Report, TellsWhatCameOfARun) {
  const ReportedRun run{SampleVerdict(),
                        "A bad morning",
                        "What it is for",
                        {.service = 0.99, .worst_class = 0.5},
                        {"zuerich", "bern"}};
  const ReportPage page = Report({run});
  EXPECT_EQ(page.trouble, "");
  for (const char* part :
       {"<h1>A bad morning</h1>", "What it is for", "experiment everything, seed 8, subject burlfall, 60 s",
        "began 2025-12-01 12:00:00 UTC", "A rule was broken", "draining (57 times)",
        "The result holds the first 5 of 57", "goal 0.990 missed", "goal 0.500 met",
        "<td class=\"text\">zone bern</td>", "sent 812 ms after", "attempt 1 at std-3"}) {
    EXPECT_TRUE(Has(page.html, part)) << part;
  }
  EXPECT_EQ(CountOf(page.html, "</svg>"), 7u);
  EXPECT_EQ(CountOf(page.html, "<!DOCTYPE"), 1u);
  EXPECT_EQ(CountOf(page.html, "id=\"run1_0_canvas\""), 1u);
  EXPECT_EQ(Report({run}).html, page.html);  // to the byte

  ReportedRun late = run;
  late.verdict.lab.too_late = true;
  late.verdict.verdict = "none";
  const std::string html = Report({late}, {.gnuplot = "no-such-gnuplot"}).html;
  EXPECT_TRUE(Has(html, "No verdict"));
  EXPECT_TRUE(Has(html, "Rules broken all the same: draining (57 times)"));
  EXPECT_TRUE(Has(html, "goal 0.990, not judged"));
}

TEST(Report, NamesAreTextAndNothingElse) {
  const std::string evil = "<script>x('\"&`$@\\</script>\n\xff\x01";
  EXPECT_EQ(Escaped("<a href='\"&\x01\xc3"), "&lt;a href=&#39;&quot;&amp;\xef\xbf\xbd\xef\xbf\xbd");
  EXPECT_EQ(Escaped("z\xc3\xbcrich\n\xc3<"), "z\xc3\xbcrich\n\xef\xbf\xbd&lt;");
  EXPECT_EQ(Quoted("it's `a` @b \\ $(x)\n"), "'it''s ?a? ?b ? ?(x)?'");
  EXPECT_EQ(Quoted("abcdef", 3), "'abc\xe2\x80\xa6'");

  Verdict v = SampleVerdict({.seconds = 5});
  for (std::string* name : {&v.experiment, &v.subject, &v.verdict, &v.classes[0].name, &v.tenants[0].name,
                            &v.nodes[0].name, &v.balancers[0].name, &v.faults[0].name, &v.faults[3].name,
                            &v.service.worst_class_name, &v.rules[0].rule, &v.rules[9].asks}) {
    *name = evil;
  }
  v.rules[0].broken = 1;
  v.rules[0].findings = {{evil, evil + "2", evil, evil, 1, evil, {evil}}};
  const ReportedRun run{v, evil, evil, {}, {evil, evil}};
  const ReportPage plots = Report({run}, {.title = evil});
  const ReportPage one = Report({run}, {.title = evil, .gnuplot = evil});
  const ReportPage two = Report({run, run}, {.title = evil, .gnuplot = evil, .lost = {{evil, evil, evil}}});
  EXPECT_EQ(plots.trouble, "");
  EXPECT_TRUE(Has(plots.html, "<text>&lt;script>x('"));
  EXPECT_FALSE(Has(plots.html, "<script"));
  for (const ReportPage& page : {one, two}) {
    EXPECT_FALSE(Has(page.html, "<script"));
    EXPECT_FALSE(Has(page.html, "x('"));
    EXPECT_TRUE(Has(page.html, "&lt;script&gt;x(&#39;&quot;&amp;"));
  }
}

TEST(Report, WithoutGnuplotTheTablesAreThere) {
  const ReportedRun run{SampleVerdict({.seconds = 5})};
  const ReportPage page = Report({run}, {.gnuplot = "no-such-gnuplot"});
  EXPECT_EQ(page.trouble, "no-such-gnuplot: No such file or directory");
  EXPECT_EQ(CountOf(page.html, "Plots need gnuplot"), 1u);
  EXPECT_FALSE(Has(page.html, "<svg"));
  EXPECT_TRUE(Has(page.html, "<th>std-1</th>"));

  const std::string path = std::getenv("PATH");
  setenv("PATH", "/nonexistent", 1);
  const ReportPage nowhere = Report({run});
  setenv("PATH", path.c_str(), 1);
  EXPECT_EQ(CountOf(nowhere.html, "Plots need gnuplot"), 1u);
}

TEST(Report, GnuplotsTroubleIsTold) {
  EXPECT_TRUE(Has(RunGnuplot("gnuplot", "plot nothing\n", 20s).error, "undefined variable: nothing"));
  EXPECT_EQ(RunGnuplot("gnuplot", "", 20s).error, "gnuplot: wrote no picture");
  EXPECT_EQ(RunGnuplot("false", "", 20s).error, "false: ended with an error");
  const auto began = std::chrono::steady_clock::now();
  EXPECT_EQ(RunGnuplot("gnuplot", "pause 30\n", 200ms).error, "gnuplot: not done after 200 ms");
  EXPECT_LT(std::chrono::steady_clock::now() - began, 10s);
  const ReportPage page = Report({{SampleVerdict({.seconds = 5})}}, {.gnuplot = "false"});
  EXPECT_EQ(CountOf(page.html, "No plot: false: ended with an error"), 7u);
}

// Scripts hold nothing that is no number, and gnuplot takes each without a word.
void ExpectSound(const Verdict& verdict, std::size_t plots) {
  const std::vector<Plot> all = PlotsOf(verdict, "p");
  EXPECT_EQ(all.size(), plots);
  for (const Plot& plot : all) {
    for (const char* word : {"nan", "inf ", "inf\n", "inf]"}) {
      EXPECT_FALSE(Has(plot.script, word)) << plot.title << " " << word;
    }
    const Picture picture = RunGnuplot("gnuplot", plot.script, 20s);
    EXPECT_EQ(picture.error + picture.warning, "") << plot.title;
    EXPECT_FALSE(Has(picture.svg, "nan")) << plot.title;
  }
}

TEST(Report, WhatIsNoNumberIsNotPlotted) {
  Verdict v = SampleVerdict({.seconds = 12});
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const double inf = std::numeric_limits<double>::infinity();
  v.settle_s = nan;
  v.series.service[2] = nan;
  v.series.service[3] = inf;
  v.series.p50_ms[1] = nan;
  v.series.p99_ms[1] = -inf;
  v.series.p99_ms[2] = 0;
  v.service.worst_ten_seconds = nan;
  v.latency.most_ms = inf;
  v.faults[0].began_s = nan;
  v.faults[1].ended_s = inf;
  v.faults[2].targets = {-1, 99};
  ExpectSound(v, 7);
  EXPECT_FALSE(Has(PlotsOf(v, "p")[2].script, "$worst"));
  EXPECT_TRUE(Has(PlotsOf(v, "p")[3].script, "set yrange [0.01:"));  // a logarithm has no 0
  v.length_s = inf;
  v.series.in_time.resize(3);  // lists need not be as long as each other
  v.series.in_flight_by_node.resize(5);
  v.series.attempts_by_node[1].clear();
  ExpectSound(v, 7);
  EXPECT_FALSE(Has(Report({{v}}).html, ">nan"));
}

TEST(Report, SmallAndEmptyRuns) {
  ExpectSound(SampleVerdict({.seconds = 1, .nodes = 1, .rate = 5}), 6);
  ExpectSound(SampleVerdict({.seconds = 2, .nodes = 1, .rate = 5}), 6);
  ExpectSound(SampleVerdict({.seconds = 1, .nodes = 2}), 7);
  ExpectSound(SampleVerdict({.seconds = 5, .nodes = 3, .rate = 0}), 2);  // the nodes' alone
  ExpectSound(Verdict(), 0);
  EXPECT_TRUE(Has(PlotsOf(SampleVerdict({.seconds = 1, .nodes = 1, .rate = 5}), "p")[3].script,
                  "set cbrange [0:1.04139]"));  // ten in flight, though there are fewer
  EXPECT_TRUE(Has(Report({{Verdict()}}).html, "nothing to plot"));
  EXPECT_TRUE(Has(Report({}).html, "0 runs"));
}

TEST(Report, LongRunsAndManyNodesStayBounded) {
  const Verdict v = SampleVerdict({.seconds = 3601, .nodes = 1000, .rate = 4000});
  const Course course(v);
  EXPECT_EQ(course.step, 7u);
  EXPECT_EQ(course.steps, 515u);
  const std::vector<Plot> plots = PlotsOf(v, "p");
  ASSERT_EQ(plots.size(), 7u);
  EXPECT_TRUE(Has(plots[0].note, "Each step is 7 s: means."));
  EXPECT_TRUE(Has(plots[4].note, "Each row is 4 nodes: their most."));
  EXPECT_LT(Report({{v}}).html.size(), 1'500'000u);
  double most = 0;  // of the first seven seconds of four nodes
  double sum = 0;
  for (std::size_t node = 0; node < 4; ++node) {
    for (std::size_t s = 0; s < 7; ++s) {
      most = std::max(most, At(v.series.in_flight_by_node[node], s));
      sum += At(v.series.attempts_by_node[node], s);
    }
  }
  EXPECT_TRUE(Has(plots[4].script, "$cells << EOD\n" + Number(std::log10(1 + most)) + " "));
  EXPECT_TRUE(Has(plots[5].script, "$cells << EOD\n" + Number(sum / 28) + " "));
}

TEST(Report, SecondsArePutTogether) {
  Verdict v;
  v.length_s = 1200;
  v.series.asked.assign(1200, 10);
  v.series.asked[1] = 30;
  v.series.asked[2] = v.series.asked[3] = 0;
  const Course course(v);
  ASSERT_EQ(course.step, 2u);
  EXPECT_EQ(PerSecond(course, v.series.asked)[0], 20);
  const std::vector<double> weights(v.series.asked.begin(), v.series.asked.end());
  std::vector<double> values(1200, 1);
  values[1] = 0.5;
  EXPECT_DOUBLE_EQ(*Weighted(course, values, weights)[0], (10 * 1 + 30 * 0.5) / 40);
  EXPECT_EQ(Weighted(course, values, weights)[1], std::nullopt);
  EXPECT_EQ(Most(course, values, weights)[0], 1);
}

TEST(Report, AllPlotsOverTimeShareTheirAxis) {
  const std::vector<Plot> plots = PlotsOf(SampleVerdict({.many_faults = true}), "p");
  ASSERT_EQ(plots.size(), 7u);
  const auto line = [](const std::string& script, const std::string& begin) {
    const std::size_t at = script.find(begin);
    return at == std::string::npos ? "" : script.substr(at, script.find('\n', at) - at);
  };
  for (std::size_t i = 0; i < 6; ++i) {
    for (const char* begin : {"set lmargin", "set rmargin", "set xrange"}) {
      EXPECT_EQ(line(plots[i].script, begin), line(plots[0].script, begin)) << plots[i].title;
    }
    EXPECT_TRUE(Has(plots[i].script, "'3 zone-cut'")) << plots[i].title;
  }
  EXPECT_EQ(line(plots[0].script, "set xrange"), "set xrange [0:60]");
}

TEST(Plots, HoldWhatTheResultHolds) {
  Verdict v;
  v.length_s = 3;
  v.nodes.resize(2);
  v.nodes[0].name = "a";
  v.nodes[1].name = "b";
  v.faults = {{"silent-nodes drawn", 0, 0, 1, {1}}, {"traffic-jump", 1, 1, 2, {1}}};
  v.series.asked = {4, 0, 4};
  v.series.in_time = {3, 0, 4};
  v.series.refused = {1, 0, 0};
  v.series.service = {0.75, 1, 1};
  v.series.p50_ms = {10, 0, 20};
  v.series.p99_ms = {20, 0, 20};
  v.series.in_flight_by_node = {{9, 0, 0}, {0, 0, 99}};
  v.series.attempts_by_node = {{4, 0, 2}, {0, 0, 2}};
  v.latency.bins = {{0, 1}, {100, 9}};
  v.latency.most_ms = 0.0735;
  const std::vector<Plot> plots = PlotsOf(v, "p");
  ASSERT_EQ(plots.size(), 7u);
  const auto expect = [&](std::size_t plot, const std::string& part) {
    EXPECT_TRUE(Has(plots[plot].script, part)) << plots[plot].script;
  };
  expect(0, "$layer0 << EOD\n0 4\n1 4\n1 0\n2 0\n2 4\n3 4\nEOD\n");
  expect(0, "$layer1 << EOD\n0 3\n1 3\n1 0\n2 0\n2 4\n3 4\nEOD\n");
  expect(0, "y1=0 fc rgb '#e2711d' title 'refused', \\\n");  // behind what is in time
  expect(1, "$refused << EOD\n0 1\n1 1\n1 0\n3 0\nEOD\n");
  expect(2, "$service << EOD\n0 0.75\n1 0.75\n\n2 1\n3 1\nEOD\n");  // nothing was asked in between
  expect(3, "$p99 << EOD\n0 20\n1 20\n\n2 20\n3 20\nEOD\n");
  expect(3, "set yrange [10:100]");
  expect(4, "$cells << EOD\n1 0 0 \n0 0 2 \nEOD\n");  // the logarithm, of one more
  expect(4, "('a' 0, 'b' 1)");
  expect(4, "set cbrange [0:2]");
  expect(5, "$cells << EOD\n4 0 2 \n0 0 2 \nEOD\n");
  expect(5, "rect from first 0, first 0.5 to first 1, first 1.5 front fs empty");
  EXPECT_EQ(CountOf(plots[5].script, "fs empty"), 2u);
  expect(6, "$all << EOD\n0.01 1\n0.0102 0.9\n0.0724465 0.9\n0.0735 0.1\nEOD\n");
  EXPECT_EQ(TargetsOf(v, v.faults[0], {}), "b");
  EXPECT_EQ(TargetsOf(v, v.faults[1], {"x", "y"}), "zone y");
}

TEST(Plots, ManyFaultsAreNumberedAndStayApart) {
  Verdict v;
  v.length_s = 60;
  const Course course(v);
  for (int i = 0; i < 40; ++i) v.faults.push_back({"silent-nodes", i, 1.5 * i, 1.5 * i + 4, {}});
  const std::vector<Lane> lanes = LanesOf(v, course);
  ASSERT_EQ(lanes.size(), 40u);
  for (std::size_t i = 0; i < lanes.size(); ++i) {
    EXPECT_EQ(lanes[i].label, std::to_string(i + 1));
    for (std::size_t j = 0; j < i; ++j) {
      EXPECT_TRUE(lanes[i].lane != lanes[j].lane || lanes[i].from >= lanes[j].to) << i << " " << j;
    }
  }
  v.faults.resize(4);
  EXPECT_EQ(LanesOf(v, course)[3].label, "4 silent-nodes");
  v.faults.assign(100, {"silent-nodes", 0, 10, 50, {}});  // more than there are lanes
  EXPECT_EQ(LanesOf(v, course)[99].label, "");
}

Verdict Day(const std::string& subject, const std::string& experiment, double service, uint64_t broken = 0) {
  Verdict run;
  run.subject = subject;
  run.experiment = experiment;
  run.service.combined = service;
  run.rules = {{"draining", "", broken, {}}};
  return run;
}

std::vector<const Verdict*> Each(const std::vector<Verdict>& runs) {
  std::vector<const Verdict*> all;
  for (const Verdict& run : runs) all.push_back(&run);
  return all;
}

TEST(Table, SetsSubjectsAgainstExperiments) {
  std::vector<Verdict> runs = {Day("ours", "calm", 0.80),  Day("ours", "calm", 0.90),
                               Day("ours", "jump", 0.5),   Day("peer|x", "calm", 0.95, 3),
                               Day("peer|x", "jump", 0.6), Day("ours", "calm", 0.1)};
  runs.back().lab.too_late = true;
  const Table table = TableOf(Each(runs), {{"peer|x", "cut", "did not start"}});
  EXPECT_EQ(table.experiments, (std::vector<std::string>{"calm", "cut", "jump"}));
  EXPECT_EQ(table.subjects, (std::vector<std::string>{"ours", "peer|x"}));
  const TableCell& ours = table.cells[0][0];
  EXPECT_EQ(ours.runs, 2);
  EXPECT_EQ(ours.too_late, 1);
  EXPECT_DOUBLE_EQ(ours.service.mean, 0.85);
  EXPECT_NEAR(ours.service.deviation, 0.0707107, 1e-6);
  EXPECT_TRUE(ours.best);  // the peer had more, but broke a rule
  EXPECT_FALSE(table.cells[1][0].best);
  EXPECT_EQ(table.cells[1][0].times, 3u);
  EXPECT_TRUE(table.cells[1][2].best);
  EXPECT_EQ(table.cells[1][1].lost, 1);

  EXPECT_EQ(
      ToText(table),
      "        calm                           cut      jump\n"
      "ours    0.850 ± 0.071 *                not run  0.500\n"
      "        2 runs, 1 left out (lab late)           1 run\n"
      "        rules kept                              rules kept\n"
      "peer|x  0.950                          lost     0.600 *\n"
      "        1 run                          1 lost   1 run\n"
      "        1 rule broken, 3 times                  rules kept\n"
      "Service, combined: mean ± standard deviation over runs. *: the highest mean among those that broke no "
      "rule.\n"
      "ours: best in 1 of 2, not in jump\n"
      "peer|x: best in 1 of 2, not in calm\n"
      "lost: peer|x, cut: did not start\n");
  EXPECT_TRUE(
      Has(ToMarkdown(table), "| peer\\|x | 0.950<br>1 run<br>1 rule broken, 3 times<br>draining | lost"));
  EXPECT_TRUE(Has(ToHtml(table), "<td class=\"bad\"><b>0.950</b>"));
  EXPECT_EQ(ToJson(table)["cells"][0]["service"]["mean"], ours.service.mean);
}

TEST(Table, IsTurnedWhereItWouldBeTooWide) {
  std::vector<Verdict> runs;
  for (int i = 0; i < 9; ++i) runs.push_back(Day("ours", "an-experiment-" + std::to_string(i), 0.5));
  const std::string text = ToText(TableOf(Each(runs)));
  EXPECT_TRUE(Has(text, "\nan-experiment-8  0.500\n")) << text;
}

TEST(Repeats, MeanAndSpreadOfThoseThatCount) {
  Verdict late = Day("ours", "calm", 0.1);
  late.lab.too_late = true;
  const Verdict a = Day("ours", "calm", 0.8);
  const Verdict b = Day("ours", "calm", 0.9);
  const std::string html = RepeatsReport({&a, &late, &b});
  EXPECT_TRUE(Has(html, "<tr><th>service</th><td>0.8500</td><td>0.0707</td><td>0.8000</td><td>0.9000</td>"))
      << html;
  EXPECT_TRUE(Has(html, "Left out below: 1, since the lab was late."));
  EXPECT_TRUE(Has(RepeatsReport({&a, &late}), "A spread needs two runs."));
}

TEST(Report, OfManyRunsThoseThatNeedALookAreWhole) {
  std::vector<ReportedRun> runs;
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    runs.push_back({SampleVerdict({.seed = seed, .seconds = 2, .severity = seed == 3 ? 1.0 : 0.0})});
  }
  runs[1].verdict.service.combined = 0.01;
  const std::string html = Report(runs, {.gnuplot = "no-such-gnuplot", .most_whole = 2}).html;
  EXPECT_TRUE(Has(html, "4 runs: 3 kept all rules, 1 broke some"));
  EXPECT_TRUE(Has(html, "<b>everything, seed 2, burlfall</b>"));
  EXPECT_TRUE(Has(html, "<b>everything, seed 3, burlfall</b>"));
  EXPECT_EQ(CountOf(html, "<h2>Rules</h2>"), 2u);
}

// With WRITE_REPORTS naming a folder the samples are written there, to be looked at.
TEST(Report, SamplesToLookAt) {
  const char* folder = std::getenv("WRITE_REPORTS");
  if (folder == nullptr) GTEST_SKIP() << "WRITE_REPORTS is not set";
  const auto write = [&](const std::string& name, const std::vector<ReportedRun>& runs,
                         ReportOptions options = {}) {
    const ReportPage page = Report(runs, options);
    EXPECT_EQ(page.trouble, "") << name;
    std::ofstream(std::string(folder) + "/" + name + ".html") << page.html;
  };
  const auto run = [](SampleSpec spec, const std::string& title = "") {
    return ReportedRun{SampleVerdict(spec),
                       title,
                       "Made up to look at the page: no run came to this.",
                       {0.85, 0.8, 0.6, 0.8},
                       {"zuerich", "bern"}};
  };
  write("twelve", {run({}, "Everything at once")});
  write("crowded", {run({.seconds = 60, .many_faults = true}, "Everything at once, and more")});
  write("large", {run({.seconds = 600, .nodes = 200, .rate = 4000, .severity = 0.5}, "Two hundred nodes")});
  write("huge", {run({.seconds = 3601, .nodes = 1000, .rate = 4000, .severity = 0.5},
                     "A thousand nodes for an hour")});
  write("second", {run({.seconds = 1, .nodes = 1, .rate = 5}, "One second, one node")});
  write("nothing", {run({.seconds = 5, .nodes = 3, .rate = 0}, "No queries")});
  write("empty", {ReportedRun{}});
  ReportedRun late = run({.severity = 0.5}, "The lab was late");
  late.verdict.lab = {15000, 480, 0.032, 21.5, 88, true, 0, 0};
  late.verdict.verdict = "none";
  write("late", {late});
  std::vector<ReportedRun> many;
  for (const char* subject : {"burlfall 0.2.0", "round-robin", "two-choices"}) {
    for (const char* experiment : {"calm-morning", "silent-nodes", "everything"}) {
      for (uint64_t seed : {1, 2, 3}) {
        many.push_back(run({.experiment = experiment,
                            .subject = subject,
                            .seed = seed + many.size(),
                            .seconds = 30,
                            .severity = *subject == 'b'   ? 0.5
                                        : *subject == 'r' ? 1.5
                                                          : 0.6}));
      }
    }
  }
  many[4].verdict.lab.too_late = true;
  write("many", many, {.lost = {{"two-choices", "zone-cut", "the balancer did not start"}}});
}

}  // namespace
}  // namespace burlfall::lab
