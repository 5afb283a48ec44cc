#include "serve/serve.h"

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string_view>

#include "config/platform.h"
#include "config/platform_config.h"
#include "config/properties.h"
#include "io/real_machine.h"
#include "serve/program.h"

namespace burlfall {
namespace {

constexpr Micros kLastLines = 300 * kMs;
constexpr int kUnusableFile = 2;

void TellCounters(const Program& program, Log& log) {
  log.Emit<"counters">(program.counters(), static_cast<int>(program.phase()));
}

// The operators' own settings; without a file, every feature is off.
Properties ReadProperties(const std::string& path, Files& files) {
  return path.empty() ? Properties() : LoadProperties(path, files);
}

// A file that can't be used leaves what was read before in force. The variables don't go before it any more:
// they are those of the start.
void Reload(Program& program, const std::string& path, Files& files, Log& log) {
  try {
    auto file = [](const char* name) -> const char* {
      return std::string_view(name) == platform::kConfigVariable ? std::getenv(name) : nullptr;
    };
    const bool all = program.Reload(LoadConfig(file, files));
    log.Emit<"config_read">(all ? "" : "name, listen and settings");
  } catch (const std::exception& e) {
    log.Emit<"config_kept">(e.what());
  }
  if (path.empty()) return;
  try {
    program.Reload(LoadProperties(path, files));
    log.Emit<"properties_read">("those of figures and capture");
  } catch (const std::exception& e) {
    log.Emit<"properties_kept">(e.what());
  }
}

// Where balancers decide that together, a reload is asked for first; the end of the program waits for
// nothing.
Task<> ReloadOnce(Program& program, const std::string& path, Files& files, Log& log) {
  const Leave leave = co_await program.MayReload();
  if (!leave.granted) co_return;
  Reload(program, path, files, log);
  co_await program.ReloadEnded(leave);
}

// SIGTERM and SIGINT end the program in order, SIGUSR1 prints the counters, SIGHUP has the files read.
Task<> HearSignals(ProcessSignals& signals, Program& program, const std::string& path, Files& files,
                   Log& log) {
  Task<> reloading;
  while (true) {
    while (const int one = signals.Take()) {
      if (one == SIGUSR1) {
        TellCounters(program, log);
        program.Dump();
      } else if (one == SIGHUP) {
        if (!reloading.Done()) continue;  // one is being asked for
        reloading = ReloadOnce(program, path, files, log);
        reloading.Start();
      } else {
        program.Drain();
      }
    }
    co_await signals.Wait();
  }
}

template <class Settings>
std::optional<Settings> ReadSettings(Loaded<Settings> (*parse)(std::string_view, std::string_view),
                                     const std::string& path, Files& files, std::string& errors) {
  const std::optional<std::string> text = files.Read(path);
  if (!text) throw BadConfig(path + ": can't be read");
  Loaded<Settings> loaded = parse(path, *text);
  for (const ConfigError& error : loaded.errors) errors += "burlfall: " + error.Line() + "\n";
  return std::move(loaded.value);
}

}  // namespace

std::optional<StartSettings> ReadStart(const std::string& path, Files& files, std::string& errors) {
  return ReadSettings(ParseStart, path, files, errors);
}

std::optional<ClusterSettings> ReadCluster(const std::string& path, Files& files, std::string& errors) {
  return ReadSettings(ParseCluster, path, files, errors);
}

std::optional<CouncilSettings> ReadCouncil(const std::string& path, Files& files, std::string& errors) {
  return ReadSettings(ParseCouncil, path, files, errors);
}

int Serve(const std::string& path, LogFormat format, const std::string& start_path,
          const std::string& cluster_path, const std::string& council_path) {
  // Before all else: a signal that comes while the program starts must wait, not end it.
  RealMachine machine;
  ProcessSignals signals(machine.scheduler(), {SIGTERM, SIGINT, SIGUSR1, SIGHUP});
  signal(SIGPIPE, SIG_IGN);
  signal(SIGXFSZ, SIG_IGN);  // a file that may not grow is a write that fails, and not the end
  const auto environment = [](const char* name) -> const char* { return std::getenv(name); };
  Config config = LoadConfig(environment, machine.files());
  const Properties properties = ReadProperties(path, machine.files());
  std::optional<StartSettings> start;
  std::optional<ClusterSettings> cluster;
  std::optional<CouncilSettings> council;
  std::string wrong;
  if (!start_path.empty()) start = ReadStart(start_path, machine.files(), wrong);
  if (!cluster_path.empty()) cluster = ReadCluster(cluster_path, machine.files(), wrong);
  if (!council_path.empty()) council = ReadCouncil(council_path, machine.files(), wrong);
  if (!wrong.empty()) {
    std::fputs(wrong.c_str(), stderr);
    return kUnusableFile;
  }
  LineSink errors(machine.scheduler(), machine.StandardError());
  Counters counters;
  Log log(machine.scheduler(), errors, format, counters);
  Program program(machine, config, properties, log, counters, start, cluster, council);
  log.Emit<"starting">(config.name, BURLFALL_VERSION, config.discovery.text,
                       config.initial_hosts.hosts.size(), program.descriptors(),
                       properties.EnabledFeatures());
  Task<> hearing = HearSignals(signals, program, path, machine.files(), log);
  hearing.Start();
  program.Start();
  const Micros began = machine.Now();
  machine.scheduler().Run();
  program.Finish();
  TellCounters(program, log);
  log.Emit<"stopped">((machine.Now() - began) / kMs);
  log.Finish(kLastLines);
  return 0;
}

}  // namespace burlfall
