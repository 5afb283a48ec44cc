// A run with real balancers: children of this process, on real sockets.
#ifndef BURLFALL_LAB_RUN_PLAY_H_
#define BURLFALL_LAB_RUN_PLAY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/judge/result.h"
#include "lab/run/run.h"
#include "lab/script/experiment.h"

namespace burlfall::lab {

struct PlayOptions {
  std::vector<std::string> command;  // starts a balancer; empty: the burlfall beside this program
  std::string subject;
  std::string properties;  // the operators' file for balancers; empty: none
  std::string start;       // what their `--start` names; empty: nothing, or a file with `start_text`
  std::string start_text;
  bool keep_folder = false;
  HistoryWriter::LineSink history = {};  // takes the history's lines
  Micros start_within = 2 * kSecond;
  // Told about twice a second, while it runs.
  std::function<void(const Run::Progress&)> progress = [](const Run::Progress&) {};
};

struct Played {
  bool whole = false;  // to its end
  bool began = false;  // else nothing was played at all
  bool interrupted = false;
  std::string why_not;  // else; a result may be there all the same, of what was played
  bool has_verdict = false;
  Verdict verdict;
  std::vector<std::string> notes;
  std::string folder;  // of the children's files, where they were kept
};

// What stands in the way of this experiment on this machine, in one plain line; empty: nothing.
std::string Obstacle(const Experiment& experiment);

// Blocks until the run is over. SIGINT and SIGTERM end it soon, with what was played so far; nothing is left
// running.
Played Play(const Experiment& experiment, uint64_t seed, const PlayOptions& options);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_RUN_PLAY_H_
