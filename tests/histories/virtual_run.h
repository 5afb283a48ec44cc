// A run of the lab on virtual machines: the site, its clients and the judge as in any run, and between them
// the balancer as it serves, all of it on one virtual clock. What it comes to depends on the experiment and
// the seed alone.
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
  bool whole = false;  // played to its end
  std::string why_not;
  std::string history;
  Verdict verdict;
  std::vector<std::string> said;  // by the balancers' logs
};

class VirtualRunner final : private Processes {
 public:
  VirtualRunner(const Experiment& experiment, uint64_t seed)
      : world_(1'700'000'000 * kSecond, seed),
        machine_(world_, 1 << 20),
        experiment_(experiment),
        lives_(static_cast<std::size_t>(experiment.site.balancers.count)),
        asked_(world_.scheduler),
        run_(machine_, experiment, seed, SetupOf(), *this) {
    world_.scheduler.on_stop = [this] { asked_.Notify(); };
  }

  VirtualRun Play() {
    Task<> playing = Whole(), tending = Tend();
    tending.Start();
    playing.Start();
    world_.scheduler.Run();
    if (world_.scheduler.deadlocked()) out_.why_not = "nothing was left that could happen";
    for (const Life& life : lives_)
      out_.said.push_back(life.machine ? life.machine->standard_error_text : "");
    return std::move(out_);
  }

 private:
  enum class Do { kStart, kKill };
  struct Order {
    Do what;
    int balancer;
    std::string config;
    FolderAfter folder = FolderAfter::kKept;
  };
  // The parts of one process, the first to be there first.
  struct Life {
    std::unique_ptr<world::VirtualMachine> machine;
    std::unique_ptr<Counters> counters;
    std::unique_ptr<Outlet> errors;
    std::unique_ptr<Log> log;
    std::unique_ptr<Program> program;
    void End() {
      program.reset();
      log.reset();
      errors.reset();
    }
  };

  // So many that a port might go from a node that died to another, and queries meant for the one to the
  // other.
  bool ManyListeners() const {
    int nodes = 0;
    for (const NodeGroup& group : experiment_.site.nodes) nodes += group.count;
    return nodes * experiment_.site.balancers.count >= 1000;
  }
  Run::Setup SetupOf() {
    Run::Setup setup;
    setup.subject = "virtual";
    setup.node_host = "127.64.0.1";
    setup.host_each = ManyListeners();
    setup.history = [this](std::string_view line) { out_.history += line; };
    for (int b = 0; b < experiment_.site.balancers.count; ++b) {
      setup.listen.push_back("127.64." + std::to_string(b / 250) + "." + std::to_string(2 + b % 250) +
                             ":8000");
    }
    return setup;
  }

  Config Read(const std::string& path) {
    const auto environment = [&](const char* name) -> const char* {
      return std::string_view(name) == platform::kConfigVariable ? path.c_str() : nullptr;
    };
    return LoadConfig(environment, machine_.files());
  }

  // What processes do comes in a turn of its own, as it does from a system.
  Task<> Tend() {
    while (true) {
      while (!orders_.empty()) {
        const Order order = std::move(orders_.front());
        orders_.pop_front();
        if (order.what == Do::kStart && order.folder == FolderAfter::kEmpty) Forget(order.balancer);
        order.what == Do::kStart ? Begin(order.balancer, order.config) : Gone(order.balancer);
      }
      for (std::size_t b = 0; b < lives_.size(); ++b) {
        if (!lives_[b].program || lives_[b].program->phase() != Phase::kStopped) continue;
        lives_[b].program->Finish();
        Gone(static_cast<int>(b));
      }
      co_await asked_.Wait();
    }
  }

  void Begin(int balancer, const std::string& config) {
    Life& life = lives_[static_cast<std::size_t>(balancer)];
    const std::string path = "config-" + std::to_string(balancer) + ".json";
    world_.files[path] = config;
    life.machine = std::make_unique<world::VirtualMachine>(
        world_, static_cast<std::size_t>(experiment_.site.balancers.descriptors));
    life.counters = std::make_unique<Counters>();
    life.errors = std::make_unique<Outlet>(world_.scheduler, life.machine->StandardError());
    life.log = std::make_unique<Log>(world_.scheduler, *life.errors, LogFormat::kJson, *life.counters);
    life.program = std::make_unique<Program>(*life.machine, Read(path), Properties(), *life.log,
                                             *life.counters, experiment_.start);
    life.program->Start();
    run_.Up(balancer);
  }

  // What it has kept; there is no older one in this world.
  void Forget(int balancer) {
    const std::string name =
        "/burlfall-" + run_.script().balancers[static_cast<std::size_t>(balancer)].name + ".";
    std::erase_if(world_.files, [&](const auto& file) { return file.first.find(name) != std::string::npos; });
  }

  void Gone(int balancer) {
    Life& life = lives_[static_cast<std::size_t>(balancer)];
    if (!life.program) return;
    life.End();
    run_.Ended(balancer);
  }

  Task<> Whole() {
    co_await run_.Play();
    out_.why_not = run_.failed();
    out_.whole = out_.why_not.empty();
    out_.verdict = std::move(run_.verdict());
    world_.scheduler.StopAll();
  }

  void Ask(Order order) {
    orders_.push_back(std::move(order));
    asked_.Notify();
  }
  void Start(int balancer, const std::string& config, FolderAfter folder) override {
    Ask({Do::kStart, balancer, config, folder});
  }
  void Pause(int, bool) override {}  // all machines share one clock here: none stands still alone
  void Kill(int balancer) override { Ask({Do::kKill, balancer, ""}); }
  void Terminate(int balancer) override { lives_[static_cast<std::size_t>(balancer)].program->Drain(); }
  void Reload(int balancer, const std::string& config) override {
    const std::string path = "config-" + std::to_string(balancer) + ".json";
    world_.files[path] = config;
    lives_[static_cast<std::size_t>(balancer)].program->Reload(Read(path));
  }

  world::World world_;
  world::VirtualMachine machine_;  // of the site and its clients
  const Experiment& experiment_;
  VirtualRun out_;
  std::vector<Life> lives_;
  std::deque<Order> orders_;
  Event asked_;
  Run run_;
};

inline VirtualRun PlayVirtually(const Experiment& experiment, uint64_t seed) {
  return VirtualRunner(experiment, seed).Play();
}

}  // namespace burlfall::lab

#endif  // BURLFALL_TESTS_HISTORIES_VIRTUAL_RUN_H_
