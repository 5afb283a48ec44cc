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
#include <system_error>
#include <vector>

#include "net/agent.h"
#include "net/config.h"
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
    "PROXY_DISCOVERY go before what it says. SIGUSR1 prints the counters of a balancer that runs.\n";

void PrintCounters(const Agent& agent, Counters& counters) {
  std::cerr << "burlfall: counters: " << counters.Text() << " phase=" << static_cast<int>(agent.phase())
            << "\n";
}

// SIGTERM and SIGINT end the program in order, SIGUSR1 prints the counters.
Task<> HearSignals(Socket& signals, Agent& agent) {
  while (true) {
    signalfd_siginfo info;
    while (read(signals.fd(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
      if (info.ssi_signo == SIGUSR1) {
        PrintCounters(agent, agent.counters());
      } else {
        agent.Drain();
      }
    }
    co_await signals.Wait();
  }
}

int Serve() {
  Config config = LoadConfig([](const char* name) -> const char* { return std::getenv(name); });
  sigset_t set;
  sigemptyset(&set);
  for (int signal : {SIGTERM, SIGINT, SIGUSR1}) sigaddset(&set, signal);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
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
