// Shared by the cases of this folder: stand-ins for clients, nodes, discovery and the platform, and child
// processes started by the line `run` of deploy/balancer.toml. Everything is on loopback addresses.
#ifndef REVIEW_SUPPORT_2_COMMON_H_
#define REVIEW_SUPPORT_2_COMMON_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rv {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kBegan = Clock::now();

inline double NowMs() { return std::chrono::duration<double, std::milli>(Clock::now() - kBegan).count(); }
inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// ---- The record ----------------------------------------------------------------------------------------

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

inline void Rec(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void Rec(const char* format, ...) {
  const std::lock_guard lock(record_mutex);
  va_list arguments;
  va_start(arguments, format);
  if (record_file != nullptr) {
    std::fprintf(record_file, "%10.1f ms  ", NowMs());
    std::vfprintf(record_file, format, arguments);
    std::fputc('\n', record_file);
    std::fflush(record_file);
  }
  va_end(arguments);
}

inline std::string Text(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline std::string Text(const char* format, ...) {
  char buffer[4096];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(buffer, sizeof buffer, format, arguments);
  va_end(arguments);
  return buffer;
}

inline std::string ReadAll(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}
// Replaces the file at once, as a platform does.
inline void WriteAll(const std::string& path, const std::string& text) {
  std::ofstream(path + ".tmp", std::ios::binary) << text;
  std::rename((path + ".tmp").c_str(), path.c_str());
}

// ---- The end of a case ---------------------------------------------------------------------------------

inline bool trouble = true;
inline std::string case_folder, temp_folder;
void KillAll();

[[noreturn]] inline void End(int code, const std::string& why) {
  static std::mutex once;
  once.lock();
  KillAll();
  const char* const word = code == 1 ? "BROKEN" : code == 0 ? "HELD" : "COULD NOT RUN";
  Rec("%s: %s", word, why.c_str());
  std::printf("%s: %s\n", word, why.c_str());
  std::fflush(stdout);
  if (!temp_folder.empty() && std::getenv("KEEP") == nullptr) {
    const std::string command = "rm -rf '" + temp_folder + "'";
    if (std::system(command.c_str()) != 0) std::perror("rm");
  }
  _exit(code);
}

// Called by main(): argv[1] is the folder of the case.
inline void Begin(int argc, char** argv, int seconds) {
  if (argc < 2) {
    std::fprintf(stderr, "usage: %s CASE_FOLDER\n", argv[0]);
    _exit(2);
  }
  signal(SIGPIPE, SIG_IGN);
  case_folder = argv[1];
  record_file = std::fopen((case_folder + "/record.txt").c_str(), "w");
  const char* const wanted = std::getenv("TROUBLE");
  trouble = wanted == nullptr || std::string(wanted) != "0";
  const char* const parent = std::getenv("TMPDIR");
  std::string made = std::string(parent != nullptr && *parent != '\0' ? parent : "/tmp") + "/review-XXXXXX";
  if (mkdtemp(made.data()) == nullptr) End(2, "no temporary folder");
  temp_folder = made;
  Rec("the disruption is %s", trouble ? "on" : "off (TROUBLE=0)");
  std::thread([seconds] {
    SleepMs(seconds * 1000.0);
    End(2, "it took too long");
  }).detach();
}

// ---- Sockets -------------------------------------------------------------------------------------------

inline sockaddr_in Loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

// A listener on a free port of 127.0.0.1.
inline int ListenOn(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = Loopback(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 512) != 0)
    End(2, "no free port");
  socklen_t length = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
  port = ntohs(at.sin_port);
  return fd;
}

// Free at this moment, and below the ports that the system gives to outgoing connections.
inline int FreePort() {
  static std::set<int> given;
  static std::mt19937 random(static_cast<unsigned>(getpid()) * 7919u + static_cast<unsigned>(time(nullptr)));
  for (int tries = 0; tries < 1000; ++tries) {
    const int port = 15000 + static_cast<int>(random() % 15000);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = Loopback(port);
    const bool is_free = bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    close(fd);
    if (is_free && given.insert(port).second) return port;
  }
  End(2, "no free port");
}

inline int ConnectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = Loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

enum class Got { kBytes, kNothing, kEnd };

// Appends what comes until `deadline` (NowMs()).
inline Got Receive(int fd, std::string& into, double deadline) {
  pollfd one{fd, POLLIN, 0};
  const double left = deadline - NowMs();
  const int ready = poll(&one, 1, left > 0 ? static_cast<int>(left) + 1 : 0);
  if (ready <= 0) return Got::kNothing;
  char bytes[65536];
  const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
  if (n <= 0) return Got::kEnd;
  into.append(bytes, static_cast<size_t>(n));
  return Got::kBytes;
}

// ---- HTTP ----------------------------------------------------------------------------------------------

struct Message {
  std::string first;                           // the start line
  std::map<std::string, std::string> headers;  // by name in lower case
  std::string body;
  bool whole = false;  // it came whole
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const {
    const size_t at = first.find(' ');
    return first.substr(at + 1, first.find(' ', at + 1) - at - 1);
  }
  std::string path() const {
    const std::string t = target();
    return t.substr(0, t.find('?'));
  }
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
  std::string header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

// Reads one message with a length, chunks, or (an answer) up to the end of the connection.
inline Message ReadMessage(int fd, std::string& buffer, double deadline, bool answer) {
  Message message;
  size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (Receive(fd, buffer, deadline) != Got::kBytes) return message;
  }
  std::istringstream head(buffer.substr(0, end));
  buffer.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  message.first = line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const size_t from = line.find_first_not_of(" \t", colon + 1);
    message.headers[name] = from == std::string::npos ? "" : line.substr(from);
  }
  const auto need = [&](size_t bytes) {
    while (buffer.size() < bytes) {
      if (Receive(fd, buffer, deadline) != Got::kBytes) return false;
    }
    return true;
  };
  if (message.header("transfer-encoding") == "chunked") {
    while (true) {
      size_t eol = std::string::npos;
      while ((eol = buffer.find("\r\n")) == std::string::npos) {
        if (Receive(fd, buffer, deadline) != Got::kBytes) return message;
      }
      const size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
      buffer.erase(0, eol + 2);
      if (!need(size + 2)) return message;
      message.body.append(buffer, 0, size);
      buffer.erase(0, size + 2);
      if (size == 0) break;
    }
  } else if (message.headers.contains("content-length")) {
    const size_t size = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    const bool all = need(size);
    message.body.append(buffer, 0, size);
    buffer.erase(0, std::min(size, buffer.size()));
    if (!all) return message;
  } else if (answer) {
    Got got = Got::kBytes;
    while ((got = Receive(fd, buffer, deadline)) == Got::kBytes) {
    }
    message.body.swap(buffer);
    if (got != Got::kEnd) return message;
  }
  message.whole = true;
  return message;
}

// One call on a connection of its own; status() is 0 where no whole answer came.
inline Message Call(int port, const std::string& method, const std::string& target,
                    const std::string& headers = "", double timeout_ms = 5000) {
  Message none;
  const int fd = ConnectTo(port);
  if (fd < 0) return none;
  const std::string length = method == "POST" ? "Content-Length: 0\r\n" : "";
  std::string buffer;
  Message answer;
  if (SendAll(fd, method + " " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + length + "\r\n"))
    answer = ReadMessage(fd, buffer, NowMs() + timeout_ms, true);
  close(fd);
  return answer.whole ? answer : none;
}

// A server with a thread for each connection. The handler writes its answer itself, and returns false to have
// the connection closed.
class Server {
 public:
  using Handler = std::function<bool(int fd, const Message& request)>;
  Server(std::string its_name, Handler handler) : name(std::move(its_name)), handler_(std::move(handler)) {
    listener_ = ListenOn(port);
    std::thread([this] { Accept(); }).detach();
  }
  // Accepts no more, and ends the open connections.
  void Stop() {
    stopped_ = true;
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }
  int port = 0;
  const std::string name;

 private:
  void Accept() {
    while (!stopped_) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (stopped_) return;
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
  void Serve(int fd) {
    std::string buffer;
    while (true) {
      const Message request = ReadMessage(fd, buffer, NowMs() + 600000, false);
      if (!request.whole || !handler_(fd, request)) break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    close(fd);
  }
  const Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<int> open_;
};

inline std::string Ok(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" +
         body;
}

// ---- Nodes and discovery -------------------------------------------------------------------------------

// A sound node: it runs each request once it has arrived, and answers with the request's id and its name.
class Node {
 public:
  using Handler = std::function<bool(int fd, const Message& request, Node& node)>;
  Node(std::string id, std::string its_zone, std::string its_kind, Handler special = nullptr)
      : zone(std::move(its_zone)),
        kind(std::move(its_kind)),
        special_(std::move(special)),
        server(std::move(id), [this](int fd, const Message& request) { return Run(fd, request); }) {}
  const std::string& id() const { return server.name; }
  std::string Entry(const std::string& state = "Ready") const {
    return Text(R"({"id":"%s","addr":"127.0.0.1:%d","zone":"%s","kind":"%s","cell":0,"state":"%s",)"
                R"("weight":1.0,"started_ms":0})",
                id().c_str(), server.port, zone.c_str(), kind.c_str(), state.c_str());
  }
  void Note(const Message& request, const char* what) {
    Rec("node %s %s %s %s", id().c_str(), what, request.path().c_str(), request.header("x-trace-id").c_str());
  }
  std::atomic<int> runs = 0;
  std::atomic<double> last_arrival = -1;
  const std::string zone, kind;

 private:
  bool Run(int fd, const Message& request) {
    last_arrival = NowMs();
    ++runs;
    if (special_) return special_(fd, request, *this);
    Note(request, "runs");
    SleepMs(5);
    return SendAll(fd, Ok(request.header("x-trace-id") + " " + id() + "\n"));
  }
  const Handler special_;

 public:
  Server server;  // last: its threads use what stands above
};

// Discovery: the whole list, and watches. What it tells is set by Set() and Change().
class Discovery {
 public:
  explicit Discovery(const std::string& name)
      : server(name, [this](int fd, const Message& request) { return Answer(fd, request); }) {}
  // The whole list; entries by id.
  void Set(uint64_t version, const std::map<std::string, std::string>& entries) {
    const std::lock_guard lock(mutex_);
    version_ = version;
    entries_ = entries;
    changes_.clear();
  }
  void Change(const std::string& id, const std::string& entry) {
    const std::lock_guard lock(mutex_);
    ++version_;
    entries_[id] = entry;
    changes_.emplace_back(version_, entry);
  }
  std::atomic<int> calls = 0;

 private:
  static std::string Join(const std::vector<std::string>& all) {
    std::string text;
    for (const std::string& one : all) text += (text.empty() ? "" : ",") + one;
    return text;
  }
  bool Answer(int fd, const Message& request) {
    ++calls;
    const std::string target = request.target();
    Rec("discovery %s is asked %s", server.name.c_str(), target.c_str());
    const size_t index = target.find("index="), wait = target.find("wait=");
    if (index != std::string::npos) {
      const uint64_t known = std::strtoull(target.c_str() + index + 6, nullptr, 10);
      const double until = NowMs() + (wait == std::string::npos ? 0 : std::atof(target.c_str() + wait + 5));
      while (NowMs() < until) {
        {
          const std::lock_guard lock(mutex_);
          if (version_ != known) break;
        }
        pollfd one{fd, POLLIN | POLLRDHUP, 0};
        if (poll(&one, 1, 5) > 0 && (one.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return false;
      }
      std::unique_lock lock(mutex_);
      if (version_ >= known && (changes_.empty() ? version_ == known : changes_.front().first <= known + 1)) {
        std::vector<std::string> some;
        for (const auto& [version, entry] : changes_) {
          if (version > known) some.push_back(entry);
        }
        const std::string body = Text("{\"version\":%llu,\"full\":false,\"servers\":[",
                                      static_cast<unsigned long long>(version_)) +
                                 Join(some) + "]}";
        lock.unlock();
        return SendAll(fd, Ok(body));
      }
    }
    std::vector<std::string> all;
    std::string head;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& [id, entry] : entries_) all.push_back(entry);
      head = Text("{\"version\":%llu,\"full\":true,\"servers\":[", static_cast<unsigned long long>(version_));
    }
    return SendAll(fd, Ok(head + Join(all) + "]}"));
  }
  std::mutex mutex_;
  uint64_t version_ = 1;
  std::map<std::string, std::string> entries_;
  std::vector<std::pair<uint64_t, std::string>> changes_;

 public:
  Server server;  // last
};

// ---- Processes -----------------------------------------------------------------------------------------

inline std::mutex processes_mutex;
inline std::set<pid_t> processes;

class Process {
 public:
  // `passed`: a descriptor that the process inherits as descriptor 5.
  Process(std::string its_name, const std::string& command,
          const std::map<std::string, std::string>& variables, int passed = -1)
      : name(std::move(its_name)), log(temp_folder + "/" + name + ".log") {
    const pid_t parent = getpid();
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    std::vector<std::string> environment;
    for (char** one = environ; *one != nullptr; ++one) {
      const std::string text = *one;
      if (text.starts_with("PROXY_") || text.starts_with("TMPDIR=")) continue;
      environment.push_back(text);
    }
    for (const auto& [variable, value] : variables) environment.push_back(variable + "=" + value);
    std::vector<char*> env;
    for (std::string& one : environment) env.push_back(one.data());
    env.push_back(nullptr);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(127);
      dup2(out, 1);
      dup2(out, 2);
      if (passed >= 0) {
        if (passed == 5) {
          fcntl(5, F_SETFD, 0);
        } else {
          dup2(passed, 5);
        }
      }
      const char* const arguments[] = {"/bin/sh", "-c", command.c_str(), nullptr};
      execve("/bin/sh", const_cast<char* const*>(arguments), env.data());
      _exit(127);
    }
    close(out);
    if (pid_ < 0) End(2, "no process could be started");
    const std::lock_guard lock(processes_mutex);
    processes.insert(pid_);
    Rec("process %s is started as %d: %s", name.c_str(), static_cast<int>(pid_), command.c_str());
  }
  void Signal(int number) {
    Rec("process %s is sent signal %d (%s)", name.c_str(), number, strsignal(number));
    if (!over_) kill(pid_, number);
  }
  // Whether it has ended, within `timeout_ms`; then `code` is its exit code, or minus the signal's number.
  bool Ended(double timeout_ms) {
    const double until = NowMs() + timeout_ms;
    while (!over_) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        over_ = true;
        code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        const std::lock_guard lock(processes_mutex);
        processes.erase(pid_);
        Rec("process %s has ended with %d", name.c_str(), code);
        break;
      }
      if (NowMs() >= until) return false;
      SleepMs(5);
    }
    return true;
  }
  std::string LogText() const { return ReadAll(log); }
  bool LogHas(const std::string& text, double timeout_ms = 0) const {
    const double until = NowMs() + timeout_ms;
    while (LogText().find(text) == std::string::npos) {
      if (NowMs() >= until) return false;
      SleepMs(2);
    }
    return true;
  }
  const std::string name, log;
  int code = 0;

 private:
  pid_t pid_ = -1;
  bool over_ = false;
};

inline void KillAll() {
  const std::lock_guard lock(processes_mutex);
  for (const pid_t pid : processes) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
  }
  for (const pid_t pid : processes) waitpid(pid, nullptr, 0);
  processes.clear();
}

// The output of a command; `code` is its exit code.
inline std::string Output(const std::string& command, int& code) {
  std::string text;
  FILE* const pipe = popen((command + " 2>&1").c_str(), "r");
  char bytes[4096];
  size_t n = 0;
  while ((n = fread(bytes, 1, sizeof bytes, pipe)) > 0) text.append(bytes, n);
  const int status = pclose(pipe);
  code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return text;
}

// The line `run` of the deploy file.
inline std::string RunLine() {
  std::istringstream file(ReadAll("deploy/balancer.toml"));
  std::string line;
  while (std::getline(file, line)) {
    if (!line.starts_with("run = \"")) continue;
    return line.substr(7, line.rfind('"') - 7);
  }
  End(2, "deploy/balancer.toml has no line run");
}

inline bool WaitFor(double timeout_ms, const std::function<bool()>& holds) {
  const double until = NowMs() + timeout_ms;
  while (!holds()) {
    if (NowMs() >= until) return holds();
    SleepMs(10);
  }
  return true;
}

// ---- A small deployment, as the settings of the wire page have it ---------------------------------------

struct Site {
  int balancers = 3;
  int look_deadline_ms = 1000;  // stock-query
  int sockets = 1024, memory_mb = 192;
  std::string zones = R"("zuerich","bern")", kinds = R"("std-2c","slow-2c")";

  std::string Settings(int number) const {
    return Text(
        R"({"Balancers":%d,"Caps":{"Cancel":true,"ConnectTimeout":150000,"CpuUsPerRequest":0.0,)"
        R"("CpuUsPerS":8000,)"
        R"("Keepalive":10000000,"MaxRetryAfter":1000000,"MaxStreams":1,"MayProbe":false,)"
        R"("OpenCap":20000,"Peers":false,)"
        R"("RetryAfter":true,"SecondCopies":true,"SendCap":5},"Categories":[)"
        R"({"DedupWindow":5000000,"Effect":"pure","Group":"all","HardLimit":%d,"LateShare":0.0,)"
        R"("Name":"stock-query","Slo":%d,"Stream":false,"Worth":3.0},)"
        R"({"DedupWindow":5000000,"Effect":"side_effect","Group":"all","HardLimit":1000000,)"
        R"("LateShare":0.0,"Name":"slot-release","Slo":400000,"Stream":false,"Worth":3.0},)"
        R"({"DedupWindow":1200000,"Effect":"token","Group":"all","HardLimit":600000,)"
        R"("LateShare":0.0,"Name":"swap-charge","Slo":300000,"Stream":false,"Worth":5.0}],)"
        R"("ClientHabits":{"MarksRetry":false},"Family":"proxy","FamilyInfo":{"WarmKeys":true},)"
        R"("Goal":{"Whole":0.45,"WorstClass":0.3,"WorstTenant":0.1,"WorstWindow":0.15},"MachineTypes":[%s],)"
        R"("MembershipMode":"subscribe","MyZone":0,"OverShareWorth":0.1,)"
        R"("Prices":{"Connection":0.05,"CrossZone":0.0,"Handshake":0.05,"LateFail":0.15,"Waste":0.02},)"
        R"("Realms":[{"Name":"wechselstrom-aare","QuotaPerS":197.0,"Share":0.68},)"
        R"({"Name":"akku-punkt-lu","QuotaPerS":93.0,"Share":0.32}],)"
        R"("Report":{"Columns":[],"How":"silent"},"Resolution":5000,"Rules":{"AnswerSlack":20000,)"
        R"("DrainGrace":750000,)"
        R"("Fall":1500000,"MustAskIn":10000000,"OverloadFactor":4.0,"StartCapacity":0.12,)"
        R"("WarmAfter":23000000},)"
        R"("SlotNo":%d,"Tier":0,"Tiers":["swap-nodes"],"Weights":"rough","WorthBy":"work","Zones":[%s]})",
        balancers, look_deadline_ms * 1000, look_slo_ms() * 1000, kinds.c_str(), number, zones.c_str());
  }
  int look_slo_ms() const { return slo_ms > 0 ? slo_ms : look_deadline_ms * 3 / 10; }
  int slo_ms = 0;
};

// One balancer of the deployment: its addresses, its configuration, its files.
struct Balancer {
  Balancer(const Site& its_site, int its_number)
      : site(its_site),
        number(its_number),
        name("balancer-" + std::to_string(its_number + 1)),
        folder(temp_folder + "/" + name) {
    mkdir(folder.c_str(), 0755);
    listen = FreePort();
    admin = FreePort();
  }
  // `known`: entries of the list that it last had.
  void Configure(int discovery, const std::string& known, uint64_t version = 1) {
    WriteAll(
        config(),
        Text(R"({"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","admin":"127.0.0.1:%d",)",
             name.c_str(), listen, discovery, admin) +
            Text(R"("seed":"8c1f30d27a5be96%d","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},)",
                 number % 10, site.memory_mb, site.sockets) +
            Text(R"("known":{"version":%llu,"full":true,"servers":[)",
                 static_cast<unsigned long long>(version)) +
            known + R"(]},"settings":)" + site.Settings(number) + "}");
  }
  std::string config() const { return temp_folder + "/" + name + ".json"; }
  std::map<std::string, std::string> Environment(int its_admin = 0, bool passed = false) const {
    std::map<std::string, std::string> all = {
        {"PROXY_NAME", name},
        {"PROXY_CONFIG", config()},
        {"TMPDIR", folder},
        {"PROXY_LISTEN", Text("127.0.0.1:%d", listen)},
        {"PROXY_ADMIN", Text("127.0.0.1:%d", its_admin > 0 ? its_admin : admin)}};
    if (passed) all["PROXY_PASSED_SOCKET"] = "5";
    return all;
  }
  bool Up(double timeout_ms) const {
    return WaitFor(timeout_ms, [this] { return Call(listen, "GET", "/up", "", 500).status() == 200; });
  }
  const Site& site;
  const int number;
  const std::string name, folder;
  int listen = 0, admin = 0;
};

// The council of a deployment: the file of each voter, and the operators' calls.
struct Council {
  explicit Council(const std::vector<Balancer*>& its_voters, const std::string& more = "")
      : voters(its_voters) {
    for (size_t i = 0; i < voters.size(); ++i) ports.push_back(FreePort());
    std::string list;
    for (size_t i = 0; i < voters.size(); ++i) {
      list += Text("\n[[voters]]\nname = \"%s\"\naddress = \"127.0.0.1:%d\"\n", voters[i]->name.c_str(),
                   ports[i]);
    }
    for (size_t i = 0; i < voters.size(); ++i) {
      WriteAll(
          File(i),
          Text("site = \"zuerich\"\nlisten = \"127.0.0.1:%d\"\nfolder = \"$TMPDIR\"\nwants = [\"freeze\"]\n",
               ports[i]) +
              list + more);
    }
  }
  std::string File(size_t i) const { return temp_folder + "/" + voters[i]->name + ".council.toml"; }
  std::string Flag(size_t i) const { return " --council " + File(i); }
  std::string Ask(size_t i, const std::string& words, int& code) const {
    const std::string text = Output("build/burlfall council " + words + " --socket " + voters[i]->folder +
                                        "/burlfall-" + voters[i]->name + ".council",
                                    code);
    std::string line = text.substr(0, text.find('\n'));
    Rec("operator at %s: council %s -> %d %s", voters[i]->name.c_str(), words.c_str(), code, line.c_str());
    return text;
  }
  // Begins the log at the first voter, and waits until all vote and all see a leader.
  void BeginLog() const {
    int code = 1;
    for (int tries = 0; tries < 20 && code != 0; ++tries) {
      Ask(0, "begin", code);
      if (code != 0) SleepMs(300);
    }
    const bool all = WaitFor(20000, [this] {
      for (size_t i = 0; i < voters.size(); ++i) {
        int ended = 0;
        const std::string text = Output("build/burlfall council status --json --socket " + voters[i]->folder +
                                            "/burlfall-" + voters[i]->name + ".council",
                                        ended);
        size_t named = 0;
        for (const Balancer* one : voters) {
          const size_t from = text.find("\"voters\"");
          named += from != std::string::npos && text.find("\"" + one->name + "\"", from) != std::string::npos;
        }
        if (ended != 0 || named < voters.size() || text.find("\"standing\":\"in\"") == std::string::npos)
          return false;
      }
      return true;
    });
    if (!all) End(2, "the council did not come up");
    Rec("the council of %zu voters is up", voters.size());
  }
  const std::vector<Balancer*> voters;
  std::vector<int> ports;
};

inline std::string Trace(int number) { return Text("%016x", 0x51000000u + static_cast<unsigned>(number)); }

// One query of a client on a connection of its own.
inline Message Query(int port, const std::string& method, const std::string& cls, int trace, int expires_ms,
                     double timeout_ms = 5000) {
  const std::string key = cls == "swap-charge" ? Text("Idempotency-Key: %032x\r\n", trace) : "";
  const Message answer = Call(port, method, "/" + cls + "?user=7f3a9c21e0b4d655",
                              "X-Trace-Id: " + Trace(trace) + "\r\nX-Customer: wechselstrom-aare\r\n" + key +
                                  Text("X-Expires-In: %dm\r\n", expires_ms),
                              timeout_ms);
  Rec("client sent %s %s, got %d %s", cls.c_str(), Trace(trace).c_str(), answer.status(),
      answer.body.substr(0, answer.body.find('\n')).c_str());
  return answer;
}

}  // namespace rv

#endif  // REVIEW_SUPPORT_2_COMMON_H_
