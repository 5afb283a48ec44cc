// Child processes: starts, watches, reads from and kills them, all on the scheduler. Only for the tools; the
// balancer starts no process.
//
// The system kills a child when the thread that started it ends, even by SIGKILL (PR_SET_PDEATHSIG): start
// children from a thread that lives as long as the program. The child's own children are killed with its
// process group once it has ended, but not if this program is killed first.
#ifndef BURLFALL_IO_PROCESS_H_
#define BURLFALL_IO_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "io/cpu_share.h"
#include "io/network.h"
#include "io/real_machine.h"

namespace burlfall {

struct ProcessSpec {
  std::string program;  // its path, with a slash
  std::vector<std::string> arguments = {};
  // Added to this process's variables; on equal names these take precedence.
  std::vector<std::pair<std::string, std::string>> environment = {};
  std::string folder = {};         // working directory; empty: inherited
  uint64_t max_descriptors = 0;    // 0: this process's limit, the maximum in any case
  uint64_t max_address_space = 0;  // bytes; likewise
  std::vector<int> cores = {};     // CPUs that it may run on; empty: inherited
  double cpu_share = 0;            // of one core, if available (Process::share); 0: no limit
};

struct ProcessExit {
  bool by_signal = false;
  int code = 0;  // exit code, or the signal's number

  std::string Text() const;  // "exit code 1", "signal 9 (Killed)"
  bool operator==(const ProcessExit&) const = default;
};

struct ProcessUsage {
  Micros cpu = 0;  // user and system time of all its threads, in us
  uint64_t rss_bytes = 0;
  uint64_t peak_rss_bytes = 0;
};

// Notified once the child has ended. The destructor kills and reaps a child that still runs.
class Process final : public Signal {
 public:
  // Whether `ProcessSpec::cpu_share` is in force.
  struct Share {
    bool enforced = false;  // limited by a cgroup
    std::string why;        // reason if not
  };

  // Throws std::system_error if the program can't be started.
  Process(RealScheduler& scheduler, const ProcessSpec& spec);
  ~Process();
  Process(const Process&) = delete;

  pid_t pid() const { return pid_; }
  // Its standard output and standard error; valid as long as this object.
  Stream& output() { return *output_; }
  Stream& error() { return *error_; }
  // Sends a signal by pidfd, so it never reaches another process that reuses the pid. False if it has ended.
  bool Kill(int signal);
  std::optional<ProcessExit> Exit();  // nothing while it is running
  // Current usage. After the end: total CPU time, no resident memory, and the peak last observed by this
  // call.
  ProcessUsage Usage();
  const Share& share() const { return share_; }

 private:
  bool Reap(bool wait);

  Descriptor pidfd_;
  pid_t pid_ = -1;
  std::unique_ptr<CpuShare> cpu_share_;
  Share share_;
  std::unique_ptr<Stream> output_;
  std::unique_ptr<Stream> error_;
  std::optional<ProcessExit> exit_;
  ProcessUsage last_usage_;
};

// Reads lines until the stream ends, and passes each to the callback without its line break; a longer line
// than `max_length` bytes is truncated. After each bounded amount it pauses, so that a writer that never
// stops can't starve other coroutines.
Task<> ReadLines(Stream& from, size_t max_length, std::function<void(std::string_view)> on_line);

// The path of a program in the directory of this program's executable.
std::string SiblingProgramPath(const std::string& name);

}  // namespace burlfall

#endif  // BURLFALL_IO_PROCESS_H_
