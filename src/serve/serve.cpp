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

// For the last log lines, if the reader of standard error is slow.
constexpr Micros kLogFlushTimeout = 300 * kMs;
constexpr int kExitBadSettings = 2;

void LogCounters(const Program& program, Log& log) {
  log.Emit<"counters">(program.counters(), static_cast<int>(program.phase()));
}

// The operators' own settings; without a file, every feature is off.
Properties ReadProperties(const std::string& path, Files& files) {
  return path.empty() ? Properties() : LoadProperties(path, files);
}

// Reads the files again. If a file is invalid, the settings that were read before stay in force. Environment
// variables no longer override the file, because they still have their values from the start.
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

// Requests the permission for a reload if there is a coordinator group, then reloads. A shutdown does not
// wait for this.
Task<> RequestAndReload(Program& program, const std::string& path, Files& files, Log& log) {
  const ChangePermission leave = co_await program.RequestReload();
  if (!leave.granted) co_return;
  Reload(program, path, files, log);
  co_await program.EndReload(leave);
}

// SIGTERM and SIGINT shut the program down in order, SIGUSR1 prints the counters, SIGHUP reloads the files.
Task<> HandleSignals(ProcessSignals& signals, Program& program, const std::string& path, Files& files,
                     Log& log) {
  Task<> reloading;
  while (true) {
    while (const int signal_number = signals.Take()) {
      if (signal_number == SIGUSR1) {
        LogCounters(program, log);
        program.Dump();
      } else if (signal_number == SIGHUP) {
        if (!reloading.Done()) continue;  // the previous reload is still in progress
        reloading = RequestAndReload(program, path, files, log);
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
  // Signals are blocked first, so that one that arrives during the start waits and does not kill the process.
  RealMachine machine;
  ProcessSignals signals(machine.scheduler(), {SIGTERM, SIGINT, SIGUSR1, SIGHUP});
  signal(SIGPIPE, SIG_IGN);
  signal(SIGXFSZ, SIG_IGN);  // a write beyond the file size limit fails instead of killing the process
  const auto environment = [](const char* name) -> const char* { return std::getenv(name); };
  Config config = LoadConfig(environment, machine.files());
  const Properties properties = ReadProperties(path, machine.files());
  std::optional<StartSettings> start;
  std::optional<ClusterSettings> cluster;
  std::optional<CouncilSettings> council;
  std::string settings_errors;
  if (!start_path.empty()) start = ReadStart(start_path, machine.files(), settings_errors);
  if (!cluster_path.empty()) cluster = ReadCluster(cluster_path, machine.files(), settings_errors);
  if (!council_path.empty()) council = ReadCouncil(council_path, machine.files(), settings_errors);
  if (!settings_errors.empty()) {
    std::fputs(settings_errors.c_str(), stderr);
    return kExitBadSettings;
  }
  LineSink errors(machine.scheduler(), machine.StandardError());
  Counters counters;
  Log log(machine.scheduler(), errors, format, counters);
  Program program(machine, config, properties, log, counters, start, cluster, council);
  log.Emit<"starting">(config.name, BURLFALL_VERSION, config.discovery.text,
                       config.initial_hosts.hosts.size(), program.descriptors(),
                       properties.EnabledFeatures());
  Task<> signal_task = HandleSignals(signals, program, path, machine.files(), log);
  signal_task.Start();
  program.Start();
  const Micros began = machine.Now();
  machine.scheduler().Run();
  program.Finish();
  LogCounters(program, log);
  log.Emit<"stopped">((machine.Now() - began) / kMs);
  log.Finish(kLogFlushTimeout);
  return 0;
}

}  // namespace burlfall
