// The command line of burlfall.
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "net/agent.h"
#include "net/config.h"
#include "net/platform.h"
#include "net/scheduler.h"

namespace {

using namespace burlfall;
namespace options = boost::program_options;

constexpr int kUsageError = 2;
constexpr char kUsage[] =
    "usage: burlfall COMMAND\n"
    "\n"
    "  serve          runs the balancer in the foreground until SIGTERM\n"
    "  check-config   reads the configuration, prints what it says and ends\n"
    "  version        prints the version\n"
    "  help           prints this\n"
    "\n"
    "serve and check-config read the file that PROXY_CONFIG names; PROXY_NAME, PROXY_LISTEN and\n"
    "PROXY_DISCOVERY go before what it says. A balancer that runs prints its counters on SIGUSR1, and reads\n"
    "the file anew on SIGHUP.\n";

void PrintCounters(const Agent& agent, Counters& counters) {
  std::cerr << "burlfall: counters: " << counters.Text() << " phase=" << static_cast<int>(agent.phase())
            << "\n";
}

// A file that can't be used leaves what was read before in force. The variables don't go before it any more:
// they are those of the start.
void Reload(Agent& agent) {
  try {
    bool all = agent.Reload(LoadConfig([](const char* name) -> const char* {
      return std::string_view(name) == platform::kConfigVariable ? std::getenv(name) : nullptr;
    }));
    std::cerr << "burlfall: configuration read anew"
              << (all ? "\n" : "; name, listen and settings change with the next start only\n");
  } catch (const std::exception& e) {
    std::cerr << "burlfall: configuration kept as it was: " << e.what() << "\n";
  }
}

// SIGTERM and SIGINT end the program in order, SIGUSR1 prints the counters, SIGHUP has the configuration
// read.
Task<> HearSignals(Socket& signals, Agent& agent) {
  while (true) {
    signalfd_siginfo info;
    while (read(signals.fd(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
      if (info.ssi_signo == SIGUSR1) {
        PrintCounters(agent, agent.counters());
      } else if (info.ssi_signo == SIGHUP) {
        Reload(agent);
      } else {
        agent.Drain();
      }
    }
    co_await signals.Wait();
  }
}

int Serve() {
  // Before all else: a signal that comes while the program starts must wait, not end it.
  sigset_t set;
  sigemptyset(&set);
  for (int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&set, signal);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
  Config config = LoadConfig([](const char* name) -> const char* { return std::getenv(name); });
  Scheduler scheduler;
  Agent agent(scheduler, config);
  Socket signals(scheduler, Descriptor(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC)));
  Task<> hearing = HearSignals(signals, agent);
  hearing.Start();
  agent.Start();
  std::string host = config.listen.text.substr(0, config.listen.text.rfind(':') + 1);
  std::cerr << "burlfall: " << config.name << " serves at " << host << agent.port() << "\n";
  scheduler.Run();
  PrintCounters(agent, agent.counters());
  return 0;
}

int CheckConfig() {
  Config config = LoadConfig([](const char* name) -> const char* { return std::getenv(name); });
  std::cout << "name " << config.name << ", listens at " << config.listen.text << ", discovery at "
            << config.discovery.text << ", " << config.settings.classes.size() << " classes, "
            << config.settings.tenants.size() << " tenants, " << config.known.hosts.size()
            << " known hosts, at most " << config.sockets << " descriptors\n";
  return 0;
}

int Run(int argc, char** argv) {
  options::options_description known("options");
  known.add_options()("help,h", "")("command", options::value<std::string>());
  options::positional_options_description places;
  places.add("command", 1);
  options::variables_map given;
  try {
    options::store(options::command_line_parser(argc, argv).options(known).positional(places).run(), given);
  } catch (const options::error& e) {
    std::cerr << "burlfall: " << e.what() << "\n" << kUsage;
    return kUsageError;
  }
  std::string command = given.contains("command") ? given["command"].as<std::string>() : "";
  if (given.contains("help") || command == "help") {
    std::cout << kUsage;
    return 0;
  }
  if (command == "serve") return Serve();
  if (command == "check-config") return CheckConfig();
  if (command == "version") {
    std::cout << "burlfall " << BURLFALL_VERSION << "\n";
    return 0;
  }
  std::cerr << "burlfall: " << (command.empty() ? "no command" : "unknown command " + command) << "\n"
            << kUsage;
  return kUsageError;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "burlfall: " << e.what() << "\n";
    return 1;
  }
}
