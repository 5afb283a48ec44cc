// Scripted peers for tests: the program as a child process, and blocking sockets on loopback around it. The
// child does not inherit their descriptors, because a listener that it held would never refuse a connection.
// Every wait ends after kTimeoutSeconds, which only a faulty program reaches.
#ifndef BURLFALL_TESTS_STORIES_PEERS_H_
#define BURLFALL_TESTS_STORIES_PEERS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "io/real_files.h"
#include "io/real_machine.h"

namespace burlfall {

constexpr int kTimeoutSeconds = 15;

inline sockaddr_in Loopback(uint16_t port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(port);
  return at;
}

inline bool Readable(int fd, int ms) {
  pollfd one{fd, POLLIN, 0};
  return poll(&one, 1, ms) == 1;
}

// One end of a connection.
class Link {
 public:
  explicit Link(Descriptor fd) : fd_(std::move(fd)) {
    timeval timeout{kTimeoutSeconds, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }
  static Link To(uint16_t port) {
    Descriptor fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in at = Loopback(port);
    REQUIRE(connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    return Link(std::move(fd));
  }
  void Write(const std::string& bytes) {
    REQUIRE(send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  void TryWrite(const std::string& bytes) { send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL); }
  // Reads one message, with its body if it has a Content-Length. Empty: the link ended first.
  std::string Read() {
    std::string message;
    size_t expected_size = std::string::npos;
    char c;
    while (message.size() < expected_size && recv(fd_.get(), &c, 1, 0) == 1) {
      message += c;
      if (expected_size != std::string::npos || !message.ends_with("\r\n\r\n")) continue;
      size_t length = message.find("Content-Length: ");
      expected_size =
          message.size() + (length == std::string::npos ? 0 : std::stoul(message.substr(length + 16)));
    }
    return message;
  }
  bool Ended() {  // waits until the other side has closed; drops what it sends before
    char c;
    ssize_t n;
    while ((n = recv(fd_.get(), &c, 1, 0)) == 1) continue;
    return n == 0 || errno == ECONNRESET;
  }
  int fd() const { return fd_.get(); }
  void Close() { fd_ = Descriptor(); }
  void SendUntilClosed(const std::string& head) {  // for at most kTimeoutSeconds
    Write(head);
    const std::string piece(65536, 'x');
    auto until = std::chrono::steady_clock::now() + std::chrono::seconds(kTimeoutSeconds);
    while (std::chrono::steady_clock::now() < until &&
           send(fd_.get(), piece.data(), piece.size(), MSG_NOSIGNAL) > 0) {
    }
  }
  void Reset() {
    linger abort_on_close{1, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &abort_on_close, sizeof abort_on_close);
    Close();
  }

 private:
  Descriptor fd_;
};

// A listening peer: a server or discovery.
class Peer {
 public:
  Peer() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in at = Loopback(0);
    socklen_t length = sizeof at;
    REQUIRE(bind(fd_.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(listen(fd_.get(), 64) == 0);
    REQUIRE(getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &length) == 0);
    port = ntohs(at.sin_port);
  }
  Link Accept() {
    REQUIRE(Readable(fd_.get(), kTimeoutSeconds * 1000));
    return Link(Descriptor(accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  }
  int fd() const { return fd_.get(); }
  bool HasPendingConnection() const { return Readable(fd_.get(), 0); }  // a connection can be accepted
  void Close() { fd_ = Descriptor(); }
  // Waits for a connection to either of the two; returns the peer that has one.
  static Peer& FirstContacted(Peer& a, Peer& b) {
    std::array<pollfd, 2> both = {pollfd{a.fd_.get(), POLLIN, 0}, pollfd{b.fd_.get(), POLLIN, 0}};
    REQUIRE(poll(both.data(), 2, kTimeoutSeconds * 1000) >= 1);
    return both[0].revents != 0 ? a : b;
  }
  // Waits for the next query on `link`, or on a new connection, which then replaces it. For tests in which it
  // does not matter whether the balancer reuses the link.
  void AwaitQuery(std::optional<Link>& link) {
    std::array<pollfd, 2> both = {pollfd{fd_.get(), POLLIN, 0}, pollfd{link ? link->fd() : -1, POLLIN, 0}};
    REQUIRE(poll(both.data(), 2, kTimeoutSeconds * 1000) >= 1);
    if (both[0].revents != 0) link.emplace(Accept());
  }
  uint16_t port = 0;

 private:
  Descriptor fd_;
};

// Lets idle server links rest for longer than HttpUpstream's kSecondAnswerWindow. Then they are reused
// whatever their last answers were.
inline void LetServerLinksRest() { std::this_thread::sleep_for(std::chrono::milliseconds(70)); }

inline std::string Entry(const std::string& id, uint16_t port, const std::string& state = "Ready") {
  return R"({"id":")" + id + R"(","addr":"127.0.0.1:)" + std::to_string(port) +
         R"(","zone":"a","kind":"m","cell":1,"state":")" + state + R"(","weight":1.0,"started_ms":0})";
}
inline std::string List(int version, bool full, const std::string& entries) {
  return R"({"version":)" + std::to_string(version) + R"(,"full":)" + (full ? "true" : "false") +
         R"(,"servers":[)" + entries + "]}";
}
inline std::string Ok(const std::string& body, const std::string& more = "") {
  return "HTTP/1.1 200 OK\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string Get(const std::string& trace, const std::string& more = "") {
  return "GET /look?user=1 HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + trace + "\r\n" + more + "\r\n";
}
inline std::string Post(const std::string& path, const std::string& trace, const std::string& body) {
  return "POST /" + path + " HTTP/1.1\r\nX-Trace-Id: " + trace +
         "\r\nIdempotency-Key: k\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A trace id that no other request of this test program has: a balancer answers a repeated one with an error.
inline std::string FreshTraceId() {
  static int count = 0;
  return std::string("fresh-").append(std::to_string(++count));
}

struct Setup {
  std::string known = {};
  uint16_t discovery = 1;
  int sockets = 1024;
  int connect_timeout = 1000000;
  int keepalive = 10000000;
  std::string admin = {};  // empty: no admin address
  int memory_mb = 192;
  int open_cap = 20000;
  int deadline = 10000000;
  int window = 60000000;  // us, in which servers drop repeats of `pay`
  int must_ask = 10000000;
};

// The class `look` is safe, `pay` is keyed and `open` is unsafe.
inline std::string ConfigText(const Setup& setup) {
  auto one = [&](const std::string& name, const std::string& effect) {
    return R"({"Name":")" + name + R"(","Effect":")" + effect + R"(","Group":"all","DedupWindow":)" +
           std::to_string(setup.window) + R"(,"Slo":)" + std::to_string(setup.deadline / 10 * 8) +
           R"(,"HardLimit":)" + std::to_string(setup.deadline) + R"(,"Worth":1.0})";
  };
  return R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" + std::to_string(setup.discovery) +
         "\"" + (setup.admin.empty() ? "" : ",\"admin\":\"" + setup.admin + "\"") +
         R"(,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" +
         std::to_string(setup.memory_mb) + R"(,"sockets":)" + std::to_string(setup.sockets) +
         R"(},"known":)" + List(1, true, setup.known) +
         R"(,"settings":{"Balancers":1,"MyZone":0,"Zones":["a"],"MachineTypes":["m"],"Categories":[)" +
         one("look", "pure") + "," + one("pay", "token") + "," + one("open", "side_effect") +
         R"(],"Realms":[],"MembershipMode":"subscribe","Caps":{"Cancel":true,"SendCap":5,)" +
         R"("RetryAfter":true,)" + R"("MaxRetryAfter":1500000,"ConnectTimeout":)" +
         std::to_string(setup.connect_timeout) + R"(,"Keepalive":)" + std::to_string(setup.keepalive) +
         R"(,"OpenCap":)" + std::to_string(setup.open_cap) +
         R"(},"Rules":{"AnswerSlack":20000,"DrainGrace":750000,"MustAskIn":)" +
         std::to_string(setup.must_ask) + "}}}";
}

// A temporary file that is removed with the object.
class TextFile {
 public:
  explicit TextFile(const std::string& text = "") { Write(text); }
  TextFile(const TextFile&) = delete;
  ~TextFile() { std::filesystem::remove_all(path); }
  void Write(const std::string& text) const { std::ofstream(path) << text; }
  std::string Text() const {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  const std::string path = "burlfall_test_" + std::to_string(getpid()) + "_" + std::to_string(++FileCount());

 private:
  static int& FileCount() {
    static int count = 0;
    return count;
  }
};

// The child's environment besides the configuration.
struct ChildEnvironment {
  std::map<std::string, std::string> variables = {};
  int passed = -1;  // a descriptor that it inherits as descriptor 5
};

// The program as a child process, started as operators start it.
class Program {
 public:
  explicit Program(const std::string& config, std::vector<std::string> arguments = {"serve"},
                   const char* discovery = nullptr, const ChildEnvironment& environment = {}) {
    Configure(config);
    int pipe_ends[2];
    REQUIRE(pipe(pipe_ends) == 0);
    pid_ = fork();
    REQUIRE(pid_ >= 0);
    if (pid_ == 0) {
      dup2(pipe_ends[1], 1);
      dup2(pipe_ends[1], 2);
      close(pipe_ends[0]);
      close(pipe_ends[1]);
      setenv("PROXY_CONFIG", path_.c_str(), 1);
      if (discovery) setenv("PROXY_DISCOVERY", discovery, 1);
      for (const auto& [name, value] : environment.variables) setenv(name.c_str(), value.c_str(), 1);
      if (environment.passed == 5) fcntl(5, F_SETFD, 0);  // dup2() to itself would keep FD_CLOEXEC
      if (environment.passed >= 0) dup2(environment.passed, 5);
      std::vector<char*> args = {const_cast<char*>(BURLFALL)};
      for (std::string& argument : arguments) args.push_back(argument.data());
      args.push_back(nullptr);
      execv(BURLFALL, args.data());
      _exit(127);
    }
    close(pipe_ends[1]);
    out_ = Descriptor(pipe_ends[0]);
    for (std::string line = ReadLineExceptDiscovery(); !line.empty(); line = ReadLineExceptDiscovery()) {
      output += line;
      if (line.find("serves at") == std::string::npos && !line.starts_with(R"({"event":"serving")")) continue;
      port = PortIn(line);
      break;
    }
    const size_t admin_line = output.find("operators are heard at");
    if (admin_line != std::string::npos) admin = PortIn(output.substr(admin_line));
  }
  Program(const Program&) = delete;
  ~Program() {
    if (pid_ > 0) Wait(SIGKILL);
    std::remove(path_.c_str());
  }
  void Configure(const std::string& config) const { std::ofstream(path_) << config; }
  void Signal(int signal) const { kill(pid_, signal); }
  int fd() const { return out_.get(); }  // its standard output and standard error
  long Descriptors() const {
    std::filesystem::directory_iterator all("/proc/" + std::to_string(pid_) + "/fd");
    return std::distance(begin(all), end(all));
  }
  // Sends the signal, if any, reads all `output`, and returns the exit code; -1 if a signal ended the
  // process.
  int Wait(int signal = 0) {
    if (signal != 0) Signal(signal);
    for (std::string line; !(line = ReadLine()).empty();) output += line;
    int status = 0;
    waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  bool ExitsWithoutReader() const {  // waits for its end without reading its output
    for (int i = 0; i < kTimeoutSeconds * 100; ++i) {
      siginfo_t info{};
      if (waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
          info.si_pid != 0) {
        return true;
      }
      poll(nullptr, 0, 10);
    }
    return false;
  }
  // The next line, without those about discovery, which appear at unpredictable times.
  std::string ReadLineExceptDiscovery() {
    std::string line = ReadLine();
    while (line.starts_with("burlfall: discovery: ")) {
      output += line;
      line = ReadLine();
    }
    return line;
  }
  std::string ReadLine() {
    std::string line;
    char c;
    while (!line.ends_with('\n') && Readable(out_.get(), kTimeoutSeconds * 1000) &&
           read(out_.get(), &c, 1) == 1) {
      line += c;
    }
    return line;
  }
  pid_t pid() const { return pid_; }
  uint16_t port = 0;
  uint16_t admin = 0;
  std::string output;

 private:
  static uint16_t PortIn(const std::string& line) {
    return static_cast<uint16_t>(std::stoul(line.substr(line.find("127.0.0.1:") + 10)));
  }
  static int& FileCount() {
    static int count = 0;
    return count;
  }

  std::string path_ =
      "burlfall_test_" + std::to_string(getpid()) + "_" + std::to_string(++FileCount()) + ".json";
  pid_t pid_ = -1;
  Descriptor out_;
};

}  // namespace burlfall

#endif  // BURLFALL_TESTS_STORIES_PEERS_H_
