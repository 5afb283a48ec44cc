// Results of runs as one page that opens offline: what was run, what came of it, tables and plots. The same
// results give the same bytes.
#ifndef BURLFALL_LAB_REPORT_REPORT_H_
#define BURLFALL_LAB_REPORT_REPORT_H_

#include <string>
#include <vector>

#include "lab/judge/result.h"
#include "lab/report/table.h"
#include "lab/script/experiment.h"

namespace burlfall::lab {

struct ReportedRun {
  Verdict verdict;
  // What the experiment's file says, where it is at hand.
  std::string title = {};
  std::string about = {};
  Goals goals = {};  // 0: none
  std::vector<std::string> zones = {};
};

struct ReportOptions {
  std::string title = {};           // of the page; else the experiment's
  std::string gnuplot = "gnuplot";  // looked up in PATH
  int plot_limit_ms = 20'000;       // for a plot, until gnuplot is killed
  int most_whole = 8;               // runs told of in whole; of more, those that broke rules or served least
  std::vector<LostRun> lost = {};   // runs without a result
};

struct ReportPage {
  std::string html;
  std::string trouble;  // why there are plots missing, in one line; the page says so too
};

// One run: all of it. Several: the subjects against the experiments, the spread over repeats, then single
// runs.
ReportPage Report(const std::vector<ReportedRun>& runs, const ReportOptions& options = {});

// Repeats of one experiment with one subject, as elements for a page: each run, then each figure's mean and
// spread over those in which the lab was not late; these folded away where that is asked for.
std::string RepeatsReport(const std::vector<const Verdict*>& runs, bool folded = false);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_REPORT_REPORT_H_
