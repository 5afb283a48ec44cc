// Where runs leave their results: DIR/EXPERIMENT/SUBJECT/seed-N/result.json, or lost.txt with the reason
// where there is none; both where a run was cut off, and the result is that of what was played. For tools:
// files are read and written as the system does it.
#ifndef BURLFALL_LAB_STORE_H_
#define BURLFALL_LAB_STORE_H_

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "lab/judge/result.h"
#include "lab/report/table.h"

namespace burlfall::lab {

struct StoredRuns {
  std::vector<Verdict> verdicts;         // by path
  std::vector<std::string> experiments;  // the files' texts, by verdict; empty where there is none
  std::vector<LostRun> lost;
};

std::filesystem::path RunPath(const std::filesystem::path& dir, const std::string& experiment,
                              const std::string& subject, uint64_t seed);
// Each throws std::runtime_error, in one plain line that names the file, where it can't be done.
// `why_not`: why the run was not played to its end; empty where it was.
void SaveRun(const std::filesystem::path& run, const Verdict& verdict, const std::string& experiment,
             const std::string& why_not = "");
void SaveLost(const std::filesystem::path& run, const std::string& why);
void SaveText(const std::filesystem::path& file, const std::string& text);
void NeedFolder(const std::filesystem::path& dir);  // makes it where it isn't there
// All results under a folder, or that of one file. Those of runs that were cut off are good to look at, but
// not to compare.
enum class Parts { kLeftOut, kToo };
StoredRuns LoadRuns(const std::filesystem::path& where, Parts parts = Parts::kLeftOut);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_STORE_H_
