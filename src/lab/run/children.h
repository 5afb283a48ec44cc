// The balancers of a run, as children of the lab: started as a platform would start them, their logs read,
// their ends told.
#ifndef BURLFALL_LAB_RUN_CHILDREN_H_
#define BURLFALL_LAB_RUN_CHILDREN_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/process.h"
#include "io/run_folder.h"

namespace burlfall::lab {

// One balancer, as its platform tells it what to be. What is left empty is not told: the configuration says
// it then.
struct ChildSpec {
  std::string name = {};
  std::string listen = {};
  std::string discovery = {};
  std::string config = {};                  // the configuration's JSON
  std::string folder = {};                  // its own, as its $TMPDIR; empty: none
  uint64_t descriptors = 0;                 // at most; 0: no limit of its own
  uint64_t address_space_bytes = 0;         // likewise
  std::vector<int> cores = {};              // that it may run on; empty: any
  double cpu_share = 0;                     // of one core, where the system lets us; 0: all
  std::vector<std::string> arguments = {};  // behind those that all have
};

struct ChildEnd {
  std::string name;
  ProcessExit exit;
  bool asked = false;  // to end, by Terminate(), Kill() or StopAll()
  // It ended unasked, or in another way than it was asked to.
  bool crashed = false;
  ProcessUsage usage;
  std::vector<std::string> last_lines;  // of its log

  // "b3 crashed: signal 11 (Segmentation fault); its last lines:" and these, or one line where it didn't.
  std::string Text() const;
};

class Children {
 public:
  // Each may start, end and ask what it likes, but may not destroy this.
  struct Hears {
    // It accepts clients there.
    std::function<void(int child, const std::string& address)> ready = [](int, const std::string&) {};
    std::function<void(int child, const ChildEnd& end)> ended = [](int, const ChildEnd&) {};
    // Each event of its log, as it is read.
    std::function<void(int child, std::string_view event, const nlohmann::json& fields)> event =
        [](int, std::string_view, const nlohmann::json&) {};
  };
  struct Settings {
    // The program, by its path, and its words; empty: the `burlfall` beside this program, as it serves with a
    // log of JSON lines.
    std::vector<std::string> command = {};
    std::string properties = {};  // the operators' file, for the command above; empty: none
    std::string start = {};       // what `--start` names, likewise
    std::string start_text = {};  // what stands in a file that it names else; empty: none
    std::string folder = {};      // where the run's own is made; empty: where the system keeps such
    bool keep_folder = false;
  };
  static constexpr size_t kLinesKept = 50;
  static constexpr size_t kLongestLine = 4096;  // what a line has beyond it is not kept
  static constexpr size_t kEventNames = 100;    // counted one by one; the rest as "other"

  Children(RealScheduler& scheduler, Settings settings, Hears hears);
  ~Children();  // kills all that run

  // Starts child `i`, for the first time or once it has ended; throws std::system_error where it can't be
  // started, std::logic_error where it runs. False where all were told to stop.
  bool Start(int i, const ChildSpec& spec);
  // What is asked of a child that doesn't run does nothing.
  void Terminate(int i);                          // SIGTERM: to end in order
  void Kill(int i);                               // SIGKILL
  void Reload(int i, const std::string& config);  // SIGHUP, behind a new configuration
  void TellCounters(int i);                       // SIGUSR1
  void Pause(int i, bool on);                     // SIGSTOP, SIGCONT
  // Ends all: in order, and what runs after `patience` by force. Nothing is started from then on.
  Task<> StopAll(Micros patience);

  size_t running() const;
  bool Running(int i) const { return Find(i) != nullptr; }
  bool Ready(int i) const;
  pid_t Pid(int i) const;  // -1: doesn't run
  std::optional<ProcessUsage> Usage(int i) const;
  const Process::Share* Share(int i) const;  // nullptr: doesn't run
  // Of its life at hand, or of its last.
  std::vector<std::string> LastLines(int i) const;
  std::map<std::string, uint64_t, std::less<>> Events(int i) const;
  const std::string& folder() const { return folder_.path(); }

 private:
  enum class Asked { kNothing, kTerminate, kKill };
  // What is known of a life's log, which outlives it.
  struct Heard {
    std::deque<std::string> lines;
    std::map<std::string, uint64_t, std::less<>> events;
  };
  struct Child {
    Child(RealScheduler& scheduler, const ProcessSpec& start, const std::string& its_name, uint64_t its_life);

    const std::string name;
    const uint64_t life;  // counts all starts
    Process process;
    Asked asked = Asked::kNothing;
    bool ready = false;
    int reading = 0;  // streams that have not ended
    Event read;       // one of them has
    Task<> output;    // the tasks last: what they use must outlive them
    Task<> error;
    Task<> watch;
  };
  struct Notice {
    int child = 0;
    uint64_t life = 0;
    std::optional<std::string> ready;  // its address
    std::optional<ChildEnd> end;
  };

  Child* Find(int i) const;
  void Hear(int i, std::string_view line);
  void IsReady(int i, std::string address);
  Task<> Read(int i, Child& child, Stream& from);
  Task<> Watch(int i, Child& child);
  Task<> Tell();
  void Ask(int i, Asked what);

  RealScheduler& scheduler_;
  Settings settings_;
  const Hears hears_;
  RunFolder folder_;
  bool stopping_ = false;
  uint64_t lives_ = 0;
  std::map<int, std::unique_ptr<Child>> children_;  // that run
  std::map<int, Heard> heard_;
  std::deque<Notice> notices_;
  Event noticed_;
  Event ended_;     // one of those that StopAll() waits for
  Task<> telling_;  // last: what it uses must outlive it
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_RUN_CHILDREN_H_
