#include "lab/run/play.h"

#include <sched.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <system_error>
#include <utility>

#include "io/real_machine.h"
#include "lab/run/children.h"
#include "lab/run/own_share.h"

namespace burlfall::lab {
namespace {

constexpr Micros kTellEvery = 500 * kMs;
constexpr Micros kStopWithin = 5 * kSecond;  // for balancers, in the end
constexpr size_t kOwnDescriptors = 128;
constexpr int kBalancerPort = 8000;
constexpr int kBlock = 64;          // of loopback
constexpr size_t kIdleLinks = 16;   // that a balancer keeps and few queries use
constexpr double kLinksAQuery = 6;  // at most: its client's, its attempts', and those of its retries

// The cores that this process may run on.
std::vector<int> Cores() {
  std::vector<int> cores;
  cpu_set_t set;
  if (sched_getaffinity(0, sizeof set, &set) != 0) return cores;
  for (int core = 0; core < CPU_SETSIZE; ++core) {
    if (CPU_ISSET(core, &set)) cores.push_back(core);
  }
  return cores;
}

// The first core for as long as this lives: the lab must not be late, whatever the balancers do.
class FirstCore {
 public:
  explicit FirstCore(const std::vector<int>& cores) {
    held_ = cores.size() > 1 && sched_getaffinity(0, sizeof before_, &before_) == 0;
    if (!held_) return;
    cpu_set_t one;
    CPU_ZERO(&one);
    CPU_SET(cores.front(), &one);
    sched_setaffinity(0, sizeof one, &one);
  }
  ~FirstCore() {
    if (held_) sched_setaffinity(0, sizeof before_, &before_);
  }
  FirstCore(const FirstCore&) = delete;

 private:
  bool held_ = false;
  cpu_set_t before_;
};

// Why a balancer that never came up ended, on one line.
std::string InOneLine(const ChildEnd& end) {
  constexpr size_t kWords = 3;  // of its last lines
  const auto& lines = end.last_lines;
  std::string text = end.name + " did not come up: " + end.exit.Text();
  const size_t from = lines.size() - std::min(lines.size(), kWords);
  for (size_t i = from; i < lines.size(); ++i) text += (i == from ? ": " : " / ") + lines[i];
  return text;
}

Run::Setup SetupOf(const Experiment& experiment, const PlayOptions& options) {
  Run::Setup setup;
  setup.subject = options.subject;
  setup.start_within = options.start_within;
  setup.history = options.history;
  setup.node_host = OwnLoopback(kBlock) + "1";
  for (int b = 0; b < experiment.site.balancers.count; ++b) {
    const int host = 2 + b % 250;
    setup.listen.push_back(OwnLoopback(kBlock) + std::to_string(host) + ":" +
                           std::to_string(kBalancerPort + b / 250));
  }
  return setup;
}

class Player final : private Processes {
 public:
  Player(const Experiment& experiment, uint64_t seed, const PlayOptions& options)
      : experiment_(experiment),
        options_(options),
        cores_(Cores()),
        core_(cores_),
        machine_(true),
        signals_(machine_.scheduler(), {SIGINT, SIGTERM}),
        children_(machine_.scheduler(), ChildrenSettings(options),
                  {.ready = [this](int b, const std::string&) { run_.Up(b); },
                   .ended = [this](int b, const ChildEnd& end) { Ended(b, end); }}),
        run_(machine_, experiment, seed, SetupOf(experiment, options), *this),
        tell_(machine_.scheduler()) {}

  Played Play() {
    Task<> playing = Whole();
    Task<> hearing = Hear();
    Task<> telling = Tell();
    playing.Start();
    hearing.Start();
    telling.Start();
    machine_.scheduler().Run();
    return std::move(played_);
  }

 private:
  static Children::Settings ChildrenSettings(const PlayOptions& options) {
    Children::Settings settings;
    settings.command = options.command;
    settings.properties = options.properties;
    settings.start = options.start;
    settings.start_text = options.start_text;
    settings.keep_folder = options.keep_folder;
    return settings;
  }

  Task<> Whole() {
    std::string error;
    try {
      co_await run_.Play();
    } catch (const std::system_error& e) {
      error = e.what();  // an address or a descriptor that can't be had
    }
    over_ = true;
    co_await children_.StopAll(kStopWithin);
    played_.why_not = error.empty() ? run_.failed() : error;
    played_.whole = played_.why_not.empty();
    played_.began = run_.began();
    played_.has_verdict = error.empty();
    played_.verdict = std::move(run_.verdict());
    played_.notes = run_.notes();
    played_.notes.insert(played_.notes.end(), crashes_.begin(), crashes_.end());
    if (options_.keep_folder) played_.folder = children_.folder();
    machine_.scheduler().Stop();
  }

  // The first word ends the run in order, the second at once.
  Task<> Hear() {
    while (true) {
      while (signals_.Take() != 0) {
        if (std::exchange(played_.interrupted, true)) {
          played_.why_not = "interrupted twice";
          played_.began = run_.began();
          machine_.scheduler().Stop();
        }
        run_.Stop("interrupted");
      }
      co_await signals_.Wait();
    }
  }

  Task<> Tell() {
    while (true) {
      co_await tell_.Wait(machine_.Now() + kTellEvery);
      options_.progress(run_.progress());
    }
  }

  void Ended(int balancer, const ChildEnd& end) {
    // One that never came up would keep the run waiting for it, and is all there is to say.
    if (end.crashed && !run_.began()) {
      if (!over_) run_.Stop(InOneLine(end));
    } else if (end.crashed && crashes_.size() < 20) {
      crashes_.push_back(end.Text());
    }
    if (!over_) run_.Ended(balancer);
  }

  // Processes.
  void Start(int balancer, const std::string& config, FolderAfter folder) override {
    const BalancerSpec& spec = experiment_.site.balancers;
    ChildSpec child;
    child.name = run_.script().balancers[static_cast<size_t>(balancer)].name;
    child.config = config;
    if (spec.folder) child.folder = Folder(child.name, folder);
    child.descriptors = static_cast<uint64_t>(spec.descriptors);
    child.cpu_share = spec.cores < 1 ? spec.cores : 0;
    if (cores_.size() > 1) {
      child.cores = {cores_[1 + static_cast<size_t>(balancer) % (cores_.size() - 1)]};
    }
    children_.Start(balancer, child);
  }
  // A balancer's own folder as it is to find it, and beside it what it was at this start.
  std::string Folder(const std::string& name, FolderAfter as) {
    namespace fs = std::filesystem;
    const fs::path own = fs::path(children_.folder()) / ("of-" + name);
    const fs::path before = fs::path(children_.folder()) / ("before-" + name);
    if (as != FolderAfter::kKept) fs::remove_all(own);
    if (as == FolderAfter::kOld && fs::exists(before)) fs::copy(before, own);
    fs::create_directories(own);
    if (as != FolderAfter::kOld) {
      fs::remove_all(before);
      fs::copy(own, before);
    }
    return own.string();
  }
  void Kill(int balancer) override { children_.Kill(balancer); }
  void Pause(int balancer, bool on) override { children_.Pause(balancer, on); }
  void Terminate(int balancer) override { children_.Terminate(balancer); }
  void Reload(int balancer, const std::string& config) override { children_.Reload(balancer, config); }

  const Experiment& experiment_;
  const PlayOptions& options_;
  const std::vector<int> cores_;
  FirstCore core_;
  RealMachine machine_;
  ProcessSignals signals_;
  Children children_;
  Run run_;
  Event tell_;
  bool over_ = false;
  std::vector<std::string> crashes_;
  Played played_;
};

}  // namespace

std::string Obstacle(const Experiment& experiment) {
  size_t nodes = 1;  // and discovery
  for (const NodeGroup& group : experiment.site.nodes) nodes += static_cast<size_t>(group.count);
  const auto balancers = static_cast<size_t>(experiment.site.balancers.count);
  // A listener for each pair, and a filler where zones are cut; and the other end of each link that a
  // balancer may hold, of many balancers no more than the load can fill.
  double patience_s = 0;
  for (const ClassSpec& one : experiment.classes) patience_s = std::max(patience_s, one.deadline_ms / 1000);
  const auto at_hand = static_cast<size_t>(kLinksAQuery * experiment.load.rate_per_s * patience_s);
  const size_t links = std::min(balancers * static_cast<size_t>(experiment.site.balancers.descriptors),
                                balancers * kIdleLinks + at_hand);
  const bool cuts = std::ranges::any_of(
      experiment.faults, [](const FaultSpec& fault) { return fault.kind == FaultKind::kZoneCut; });
  const size_t need = (cuts ? 2 : 1) * nodes * balancers + links + kOwnDescriptors;
  return MayHold(need);
}

Played Play(const Experiment& experiment, uint64_t seed, const PlayOptions& options) {
  signal(SIGPIPE, SIG_IGN);
  return Player(experiment, seed, options).Play();
}

}  // namespace burlfall::lab
