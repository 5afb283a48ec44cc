// Subjects against experiments: what each got on each, with its spread over repeats, and what it broke. No
// I/O.
#ifndef BURLFALL_LAB_REPORT_TABLE_H_
#define BURLFALL_LAB_REPORT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/judge/figures.h"
#include "lab/judge/result.h"

namespace burlfall::lab {

// A run of which there is no result.
struct LostRun {
  std::string subject;
  std::string experiment;
  std::string why;
};

struct TableCell {
  int runs = 0;      // that say something
  int too_late = 0;  // left out of the service: the lab was late
  int lost = 0;
  Spread service;                   // combined
  std::vector<std::string> broken;  // rules, in any run: those in which the lab was late too
  uint64_t times = 0;               // that they were broken, in all runs
  bool best = false;                // the highest mean among the subjects that broke no rule there
};

struct Table {
  std::vector<std::string> experiments;       // by name
  std::vector<std::string> subjects;          // in the order in which they were given
  std::vector<std::vector<TableCell>> cells;  // by subject, by experiment
  std::vector<LostRun> lost;
};

// An experiment or a subject with nothing but lost runs has its column or row too.
Table TableOf(const std::vector<const Verdict*>& runs, std::vector<LostRun> lost = {});

// Each tells under the table, of every subject, where it is not best: a lost comparison is not to be
// overlooked.
std::string ToText(const Table& table);
std::string ToMarkdown(const Table& table);
std::string ToHtml(const Table& table);  // the elements alone, for a page
nlohmann::ordered_json ToJson(const Table& table);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_REPORT_TABLE_H_
