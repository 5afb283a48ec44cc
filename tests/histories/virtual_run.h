// A lab run on virtual machines: the site, its clients and the checker as in any run, and between them the
// real balancer code, all on one virtual clock. The result depends only on the experiment and the seed.
#ifndef BURLFALL_TESTS_HISTORIES_VIRTUAL_RUN_H_
#define BURLFALL_TESTS_HISTORIES_VIRTUAL_RUN_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/platform.h"
#include "config/platform_config.h"
#include "config/properties.h"
#include "lab/run/run.h"
#include "serve/program.h"
#include "world/virtual_machine.h"

namespace burlfall::lab {

struct VirtualRun {
  bool completed = false;  // ran to its end
  std::string failure;     // why it did not complete
  std::string history;
  Verdict verdict;
  std::vector<std::string> logs;  // one for each balancer
};

// Runs an experiment with all balancers in this process.
class VirtualRunner final : private Processes {
 public:
  VirtualRunner(const Experiment& experiment, uint64_t seed)
      : world_(1'700'000'000 * kSecond, seed),
        machine_(world_, 1 << 20),
        experiment_(experiment),
        processes_(static_cast<std::size_t>(experiment.site.balancers.count)),
        command_event_(world_.scheduler),
        run_(machine_, experiment, seed, MakeSetup(), *this) {
    world_.scheduler.on_stop = [this] { command_event_.Notify(); };
  }

  VirtualRun RunToEnd() {
    Task<> run_task = RunExperiment(), manage_task = ManageProcesses();
    manage_task.Start();
    run_task.Start();
    world_.scheduler.Run();
    if (world_.scheduler.deadlocked()) out_.failure = "nothing was left that could happen";
    for (const Process& process : processes_)
      out_.logs.push_back(process.machine ? process.machine->standard_error_text : "");
    return std::move(out_);
  }

 private:
  enum class Action { kStart, kKill };
  struct Command {
    Action action;
    int balancer;
    std::string config;
    FolderAfter folder = FolderAfter::kKept;
  };
  // The parts of one balancer process, in the order of their construction.
  struct Process {
    std::unique_ptr<world::VirtualMachine> machine;
    std::unique_ptr<Counters> counters;
    std::unique_ptr<LineSink> errors;
    std::unique_ptr<Log> log;
    std::unique_ptr<Program> program;
    void End() {
      program.reset();
      log.reset();
      errors.reset();
    }
  };

  // Whether there are so many listeners that a port of a dead node could be given to another node, which
  // would then receive queries for the dead one.
  bool NeedsHostPerNode() const {
    int nodes = 0;
    for (const NodeGroup& group : experiment_.site.nodes) nodes += group.count;
    return nodes * experiment_.site.balancers.count >= 1000;
  }
  Run::Setup MakeSetup() {
    Run::Setup setup;
    setup.subject = "virtual";
    setup.node_host = "127.64.0.1";
    setup.host_each = NeedsHostPerNode();
    setup.history = [this](std::string_view line) { out_.history += line; };
    for (int b = 0; b < experiment_.site.balancers.count; ++b) {
      setup.listen.push_back("127.64." + std::to_string(b / 250) + "." + std::to_string(2 + b % 250) +
                             ":8000");
    }
    return setup;
  }

  Config ReadConfig(const std::string& path) {
    const auto environment = [&](const char* name) -> const char* {
      return std::string_view(name) == platform::kConfigVariable ? path.c_str() : nullptr;
    };
    return LoadConfig(environment, machine_.files());
  }

  // Starts and ends processes in separate turns of the event loop, as an operating system would.
  Task<> ManageProcesses() {
    while (true) {
      while (!commands_.empty()) {
        const Command command = std::move(commands_.front());
        commands_.pop_front();
        if (command.action == Action::kStart && command.folder == FolderAfter::kEmpty)
          DeleteFiles(command.balancer);
        command.action == Action::kStart ? StartProcess(command.balancer, command.config)
                                         : OnEnded(command.balancer);
      }
      for (std::size_t b = 0; b < processes_.size(); ++b) {
        if (!processes_[b].program || processes_[b].program->phase() != Phase::kStopped) continue;
        processes_[b].program->Finish();
        OnEnded(static_cast<int>(b));
      }
      co_await command_event_.Wait();
    }
  }

  void StartProcess(int balancer, const std::string& config) {
    Process& process = processes_[static_cast<std::size_t>(balancer)];
    const std::string path = "config-" + std::to_string(balancer) + ".json";
    world_.files[path] = config;
    process.machine = std::make_unique<world::VirtualMachine>(
        world_, static_cast<std::size_t>(experiment_.site.balancers.descriptors));
    process.counters = std::make_unique<Counters>();
    process.errors = std::make_unique<LineSink>(world_.scheduler, process.machine->StandardError());
    process.log =
        std::make_unique<Log>(world_.scheduler, *process.errors, LogFormat::kJson, *process.counters);
    process.program = std::make_unique<Program>(*process.machine, ReadConfig(path), Properties(),
                                                *process.log, *process.counters, experiment_.start);
    process.program->Start();
    run_.Up(balancer);
  }

  // Deletes the balancer's saved files; older versions of them are not simulated.
  void DeleteFiles(int balancer) {
    const std::string name =
        "/burlfall-" + run_.script().balancers[static_cast<std::size_t>(balancer)].name + ".";
    std::erase_if(world_.files, [&](const auto& file) { return file.first.find(name) != std::string::npos; });
  }

  void OnEnded(int balancer) {
    Process& process = processes_[static_cast<std::size_t>(balancer)];
    if (!process.program) return;
    process.End();
    run_.Ended(balancer);
  }

  Task<> RunExperiment() {
    co_await run_.Play();
    out_.failure = run_.failed();
    out_.completed = out_.failure.empty();
    out_.verdict = std::move(run_.verdict());
    world_.scheduler.StopAll();
  }

  void Enqueue(Command command) {
    commands_.push_back(std::move(command));
    command_event_.Notify();
  }
  void Start(int balancer, const std::string& config, FolderAfter folder) override {
    Enqueue({Action::kStart, balancer, config, folder});
  }
  void Pause(int, bool) override {}  // all machines share one clock, so none can pause alone
  void Kill(int balancer) override { Enqueue({Action::kKill, balancer, ""}); }
  void Terminate(int balancer) override { processes_[static_cast<std::size_t>(balancer)].program->Drain(); }
  void Reload(int balancer, const std::string& config) override {
    const std::string path = "config-" + std::to_string(balancer) + ".json";
    world_.files[path] = config;
    processes_[static_cast<std::size_t>(balancer)].program->Reload(ReadConfig(path));
  }

  world::World world_;
  world::VirtualMachine machine_;  // of the site and its clients
  const Experiment& experiment_;
  VirtualRun out_;
  std::vector<Process> processes_;
  std::deque<Command> commands_;
  Event command_event_;
  Run run_;
};

inline VirtualRun RunVirtually(const Experiment& experiment, uint64_t seed) {
  return VirtualRunner(experiment, seed).RunToEnd();
}

}  // namespace burlfall::lab

#endif  // BURLFALL_TESTS_HISTORIES_VIRTUAL_RUN_H_
