// A result as scripts for gnuplot: the run's course, second by second, and how long answers took. No I/O.
#ifndef BURLFALL_LAB_REPORT_PLOTS_H_
#define BURLFALL_LAB_REPORT_PLOTS_H_

#include <string>
#include <vector>

#include "lab/judge/result.h"

namespace burlfall::lab {

struct Plot {
  std::string title;
  std::string note;  // what a reader must know to read it; may be empty
  std::string script;
};

// What a fault hit, as text: "std-2, std-5", "4 nodes", "zone bern"; empty where it hits nothing of its own.
std::string TargetsOf(const Verdict& verdict, const FaultResult& fault,
                      const std::vector<std::string>& zones);

// Those that have something to show. All over time have the same axis, with the faults above it, numbered as
// in `faults` from 1. `id` begins the ids in the picture: two on one page need two.
std::vector<Plot> PlotsOf(const Verdict& verdict, const std::string& id);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_REPORT_PLOTS_H_
