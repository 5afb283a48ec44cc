// The command line of burlfall: parses the options of each command and runs it.
#include <unistd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cerrno>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "config/platform_config.h"
#include "config/properties.h"
#include "gates/tokens.h"
#include "io/real_machine.h"
#include "observe/log.h"
#include "owner/errors.h"
#include "replay/replay.h"
#include "serve/serve.h"

namespace {

using namespace burlfall;
namespace options = boost::program_options;

constexpr int kUsageError = 2;
constexpr Micros kClusterTimeout = 2 * kSecond;
constexpr Micros kCouncilTimeout = 20 * kSecond;
constexpr int kCouncilError = 10;  // plus the value of owner::Error: exit code of `burlfall council`
constexpr int64_t kMaxTokenSeconds = 10 * 365 * 86400;  // maximum validity of a token
constexpr char kUsage[] =
    "usage: burlfall COMMAND [OPTIONS]\n"
    "\n"
    "  serve          runs the balancer in the foreground until SIGTERM\n"
    "  check-config   reads the configuration and prints a summary of it\n"
    "  cluster        queries a balancer that runs with --cluster about the cluster: members, watch,\n"
    "                 who-differs, explain\n"
    "  council        queries the council of a balancer that runs with --council: status, explain;\n"
    "                 and changes it: begin, add, remove, hand-over, take-away, incident\n"
    "  replay         feeds a capture to the decisions and prints where they differ\n"
    "  token issue    prints a token, signed with one of the operators' keys\n"
    "  lab            a simulated site to test balancers on: load, experiments, reports (burlfall-lab)\n"
    "  config         explains and checks TOML files (burlfall-config)\n"
    "  version        prints the version\n"
    "  help           prints this\n"
    "\n"
    "serve and check-config read the file that PROXY_CONFIG names; PROXY_NAME, PROXY_LISTEN and\n"
    "PROXY_DISCOVERY override it. A running balancer prints its counters on SIGUSR1 and reloads its files\n"
    "on SIGHUP. burlfall COMMAND --help lists the options of a command.\n";

int CheckConfig(const std::string& path, const std::string& start, const std::string& cluster,
                const std::string& council) {
  RealMachine machine;
  const auto environment = [](const char* name) -> const char* { return std::getenv(name); };
  Config config = LoadConfig(environment, machine.files());
  const Properties properties = path.empty() ? Properties() : LoadProperties(path, machine.files());
  std::string errors;
  if (!start.empty()) ReadStart(start, machine.files(), errors);
  if (!cluster.empty()) ReadCluster(cluster, machine.files(), errors);
  if (!council.empty()) ReadCouncil(council, machine.files(), errors);
  if (!errors.empty()) {
    std::cerr << errors;
    return kUsageError;
  }
  std::cout << "name " << config.name << ", listens at " << config.listen.text << ", discovery at "
            << config.discovery.text << ", " << config.settings.classes.size() << " classes, "
            << config.settings.tenants.size() << " tenants, " << config.initial_hosts.hosts.size()
            << " known hosts, at most " << config.sockets << " descriptors";
  if (!path.empty()) std::cout << "; features on: " << properties.EnabledFeatures();
  std::cout << "\n";
  return 0;
}

// Replaces this process by the tool burlfall-COMMAND. Tools are separate programs, as they need libraries
// that serving does not. Throws if the tool can't be started.
int ExecTool(const std::string& command, const std::vector<std::string>& words) {
  const std::filesystem::path tool =
      std::filesystem::read_symlink("/proc/self/exe").replace_filename("burlfall-" + command);
  if (!std::filesystem::exists(tool)) {
    throw std::runtime_error("there is no " + tool.string() + "; -DBURLFALL_TOOLS=ON builds it");
  }
  std::vector<char*> args = {const_cast<char*>(tool.c_str())};
  for (const std::string& word : words) args.push_back(const_cast<char*>(word.c_str()));
  args.push_back(nullptr);
  execv(tool.c_str(), args.data());
  throw std::system_error(errno, std::generic_category(), "can't start " + tool.string());
}

int UsageError(const std::string& what) {
  std::cerr << "burlfall: " << what << "\n" << kUsage;
  return kUsageError;
}

// Parses the options of one command. Returns false if the command line is wrong or help was requested; `code`
// is then the exit code.
bool ParseOptions(options::options_description known, const std::vector<std::string>& words,
                  options::variables_map& given, int& code) {
  known.add_options()("help,h", "prints this");
  try {
    options::store(options::command_line_parser(words)
                       .options(known)
                       .positional(options::positional_options_description())
                       .run(),
                   given);
    if (!given.contains("help")) options::notify(given);
  } catch (const options::error& e) {
    code = UsageError(e.what());
    return false;
  }
  code = 0;
  if (given.contains("help")) std::cout << known;
  return !given.contains("help");
}

// Sends a question to the process at the Unix socket and returns its answer; nothing, after an error message,
// if no answer arrives within `timeout`.
std::optional<std::string> QuerySocket(const std::string& socket, const std::string& question,
                                       Micros timeout) {
  RealMachine machine;
  const std::unique_ptr<Channel> channel = machine.network().ConnectChannel(socket);
  if (!channel) {
    std::cerr << "burlfall: no process listens at " << socket << "\n";
    return {};
  }
  std::optional<std::string> answer;
  auto exchange = [&]() -> Task<> {
    const Micros until = machine.Now() + timeout;
    Io io = channel->Send(question);
    while (io == Io::kLater && co_await channel->Wait(until)) io = channel->Send(question);
    std::string piece;
    std::unique_ptr<Stream> unused;
    while (io == Io::kSome) {
      const Io received = channel->Receive(piece, unused);
      if (received == Io::kSome) {
        answer = answer.value_or("") + piece;
      } else if (received != Io::kLater || !co_await channel->Wait(until)) {
        break;
      }
    }
    machine.scheduler().Stop();
  };
  Task<> task = exchange();
  task.Start();
  machine.scheduler().Run();
  if (!answer) std::cerr << "burlfall: no answer at " << socket << "\n";
  return answer;
}

// Sends a question to the process at the Unix socket and prints the answer. Returns the exit code.
int PrintAnswer(const std::string& socket, const std::string& question) {
  const std::optional<std::string> answer = QuerySocket(socket, question, kClusterTimeout);
  if (!answer) return 1;
  std::cout << *answer;
  return 0;
}

// `burlfall council`: queries and operations. Each error has an exit code of its own, from 10
// (docs/council.md).
int RunCouncilCommand(const std::vector<std::string>& words) {
  options::variables_map given;
  int code = 0;
  std::string socket;
  options::options_description known(
      "burlfall council WHAT --socket PATH [--json]\n"
      "  status                              where it stands: voters, leader, who owns what\n"
      "  explain NAME                        of a voter or a work, what was told of it\n"
      "  begin [FLOOR]                       the log begins, on this voter; FLOOR after a majority was lost\n"
      "  add NAME | remove NAME              a change of voters, one at a time\n"
      "  hand-over WORK NAME                 to a member that waits for it\n"
      "  take-away WORK BY REASON            from its owner\n"
      "  incident open SCOPE BY REASON       site, zone:NAME, group:NAME, node:NAME or balancer:NAME; the "
      "answer is\n"
      "                                      the promise that no step that it forbids begins\n"
      "  incident close NUMBER BY REASON");
  known.add_options()(
      "socket", options::value(&socket)->value_name("PATH")->required(),
      "the balancer's socket: burlfall-NAME.council in the folder that its council.toml names")("json",
                                                                                                "as JSON");
  std::vector<std::string> arguments;
  size_t at = 0;
  while (at < words.size() && !words[at].starts_with("-")) arguments.push_back(words[at++]);
  if (!ParseOptions(known, {words.begin() + static_cast<std::ptrdiff_t>(at), words.end()}, given, code))
    return code;
  if (arguments.empty())
    return UsageError(
        "council needs a command: status, explain, begin, add, remove, hand-over, take-away or incident");
  constexpr std::pair<std::string_view, size_t> kCommands[] = {
      {"status", 1}, {"explain", 2},   {"begin", 1},     {"add", 2},
      {"remove", 2}, {"hand-over", 3}, {"take-away", 4}, {"incident", 5}};
  const auto* const found =
      std::ranges::find(kCommands, arguments[0], &std::pair<std::string_view, size_t>::first);
  if (found == std::end(kCommands)) return UsageError("unknown council command " + arguments[0]);
  if (arguments.size() < found->second) return UsageError("council " + arguments[0] + ": too few arguments");
  std::string question;
  for (const std::string& word : arguments) question += (question.empty() ? "" : " ") + word;
  if (given.contains("json")) question += " json";
  const std::optional<std::string> answer = QuerySocket(socket, question, kCouncilTimeout);
  if (!answer) return 1;
  if (!answer->starts_with("!")) {
    std::cout << *answer;
    return 0;
  }
  const std::string name = answer->substr(1, answer->find(':') - 1);
  std::cerr << "burlfall: " << answer->substr(1);
  for (int error = 0; error < owner::kErrorCount; ++error) {
    if (name == owner::NameOf(static_cast<owner::Error>(error))) return kCouncilError + error;
  }
  return 1;
}

// `burlfall cluster`: queries about the members of the cluster.
int RunClusterCommand(const std::vector<std::string>& words) {
  options::variables_map given;
  int code = 0;
  std::string socket;
  options::options_description known(
      "burlfall cluster members|watch|who-differs|explain NAME --socket PATH [--json]");
  known.add_options()(
      "socket", options::value(&socket)->value_name("PATH")->required(),
      "the balancer's socket: burlfall-NAME.cluster in the folder that its cluster.toml names")("json",
                                                                                                "as JSON");
  const bool wants_help = !words.empty() && (words[0] == "--help" || words[0] == "-h");
  if (words.empty())
    return UsageError("cluster needs a command: members, watch, who-differs or explain NAME");
  const std::string what = words[0];
  // In `cluster explain --help` the second word is no member name.
  const bool wants_explain_help = words.size() > 1 && (words[1] == "--help" || words[1] == "-h");
  const bool explain = what == "explain" && !wants_explain_help;
  if (!wants_help && what != "members" && what != "watch" && what != "who-differs" && what != "explain") {
    return UsageError("unknown cluster command " + what);
  }
  if (explain && (words.size() < 2 || words[1].starts_with("--")))
    return UsageError("cluster explain: the name of a member is missing");
  const size_t first_option = wants_help ? 0 : explain ? 2 : 1;
  if (!ParseOptions(known, {words.begin() + static_cast<std::ptrdiff_t>(first_option), words.end()}, given,
                    code))
    return code;
  std::string question = explain ? "explain " + words[1] : what == "watch" ? "members" : what;
  if (given.contains("json")) question += " json";
  if (what != "watch") return PrintAnswer(socket, question);
  while (true) {
    const bool screen = isatty(STDOUT_FILENO) != 0 && !given.contains("json");
    if (screen) std::cout << "\x1b[H\x1b[2J";
    if (PrintAnswer(socket, question) != 0) return 1;
    std::cout << std::flush;
    sleep(1);
  }
}

int Run(const std::vector<std::string>& words) {
  if (words.empty()) return UsageError("no command");
  const std::string& command = words.front();
  const std::vector<std::string> rest(words.begin() + 1, words.end());
  options::variables_map given;
  int code = 0;
  std::string file;
  if (command == "help" || command == "--help" || command == "-h") {
    std::cout << kUsage;
    return 0;
  }
  if (command == "serve" || command == "check-config") {
    const bool serve = command == "serve";
    std::string format = "text", start, cluster, council;
    options::options_description known("burlfall " + command +
                                       " [--config FILE] [--start FILE] [--cluster FILE] [--council FILE]" +
                                       (serve ? " [--log-format text|json]" : ""));
    known.add_options()("config", options::value(&file)->value_name("FILE"),
                        "the operators' properties; without them every feature is off");
    known.add_options()("start", options::value(&start)->value_name("FILE"),
                        "limits the load on the list service and the nodes after a start "
                        "(deploy/start.toml); default: no limits");
    known.add_options()("cluster", options::value(&cluster)->value_name("FILE"),
                        "how it discovers the other balancers (deploy/cluster.toml); default: it does not");
    known.add_options()("council", options::value(&council)->value_name("FILE"),
                        "the council that it takes part in (deploy/council.toml); default: none");
    if (serve) {
      known.add_options()("log-format", options::value(&format)->value_name("FORMAT"),
                          "text, or json: each event of the log as one line of JSON");
    }
    if (!ParseOptions(known, rest, given, code)) return code;
    if (given.contains("config") && file.empty()) return UsageError("--config names no file");
    if (given.contains("start") && start.empty()) return UsageError("--start names no file");
    if (given.contains("cluster") && cluster.empty()) return UsageError("--cluster names no file");
    if (given.contains("council") && council.empty()) return UsageError("--council names no file");
    const std::optional<LogFormat> log = ReadLogFormat(format);
    if (!log) return UsageError("--log-format is text or json");
    return serve ? Serve(file, *log, start, cluster, council) : CheckConfig(file, start, cluster, council);
  }
  if (command == "cluster") return RunClusterCommand(rest);
  if (command == "council") return RunCouncilCommand(rest);
  if (command == "token") {
    std::string key, holder, classes;
    int64_t ttl = 0;
    options::options_description known(
        "burlfall token issue --config FILE --key ID --holder NAME --classes A+B --ttl SECONDS");
    auto required_text = [](std::string* to, const char* name) {
      return options::value(to)->value_name(name)->required();
    };
    known.add_options()("config", required_text(&file, "FILE"),
                        "the operators' properties, which hold the keys")(
        "key", required_text(&key, "ID"), "the key to sign with: k1 for tokens.key.k1")(
        "holder", required_text(&holder, "NAME"), "the holder of the token")(
        "classes", required_text(&classes, "A+B"), "the classes that it permits")(
        "ttl", options::value(&ttl)->value_name("SECONDS")->required(), "validity, from now on");
    const bool wants_help = !rest.empty() && (rest[0] == "--help" || rest[0] == "-h");
    if (!wants_help && (rest.empty() || rest[0] != "issue"))
      return UsageError("token needs the command issue");
    if (!ParseOptions(known, wants_help ? rest : std::vector<std::string>(rest.begin() + 1, rest.end()),
                      given, code)) {
      return code;
    }
    if (ttl < 1 || ttl > kMaxTokenSeconds)
      return UsageError("--ttl: from 1 to " + std::to_string(kMaxTokenSeconds));
    Tokens tokens;
    RealMachine machine;
    tokens.Configure(LoadProperties(file, machine.files()).tokens);
    std::cout << tokens.Issue(key, holder, classes, machine.WallClock() / kSecond + ttl) << "\n";
    return 0;
  }
  if (command == "lab" || command == "config") return ExecTool(command, rest);
  if (command == "replay") {
    std::string capture;
    options::options_description known("burlfall replay --capture FILE --config FILE");
    known.add_options()("capture", options::value(&capture)->value_name("FILE")->required(),
                        "a capture's file, or standard error with what SIGUSR1 wrote to it");
    known.add_options()(
        "config", options::value(&file)->value_name("FILE")->required(),
        "the operators' properties, or a platform's configuration with other settings to try");
    if (!ParseOptions(known, rest, given, code)) return code;
    RealMachine machine;
    return Replay(capture, file, machine.files(), std::cout, std::cerr);
  }
  if (command == "version") {
    if (!ParseOptions(options::options_description("burlfall version"), rest, given, code)) return code;
    std::cout << "burlfall " << BURLFALL_VERSION << "\n";
    return 0;
  }
  return UsageError("unknown command " + command);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const BadConfig& e) {  // an invalid file or environment variable
    std::cerr << "burlfall: " << e.what() << "\n";
    return kUsageError;
  } catch (const std::exception& e) {
    std::cerr << "burlfall: " << e.what() << "\n";
    return 1;
  }
}
