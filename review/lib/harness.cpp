#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>

namespace review {
namespace {

const auto kBegan = std::chrono::steady_clock::now();
std::mutex record_mutex;
std::ofstream record_file;

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(port);
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

void NoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool Readable(int fd, double ms) {
  pollfd one{fd, POLLIN, 0};
  return poll(&one, 1, static_cast<int>(std::max(0.0, ms))) > 0;
}

bool WriteAll(int fd, const std::string& bytes) {
  size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    at += static_cast<size_t>(n);
  }
  return true;
}

int AcceptOne(const Listener& listener) {
  if (!Readable(listener.fd, 50)) return -1;
  const int fd = accept4(listener.fd, nullptr, nullptr, SOCK_CLOEXEC);
  if (fd >= 0) NoDelay(fd);
  return fd;
}

}  // namespace

double Now() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - kBegan).count();
}

void Sleep(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

void Fail(const std::string& why) { throw CannotRun{why}; }

bool WaitUntil(double ms, const std::function<bool()>& holds) {
  const double until = Now() + ms;
  while (!holds()) {
    if (Now() >= until) return false;
    Sleep(10);
  }
  return true;
}

bool Trouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void Record::Open(const std::string& path) {
  const std::lock_guard lock(record_mutex);
  record_file.open(path, std::ios::trunc);
}

void Record::Line(const std::string& text) {
  const std::string line = Text("%10.2f ms  ", Now()) + text;
  const std::lock_guard lock(record_mutex);
  record_file << line << std::endl;
}

std::string Text(const char* format, ...) {
  char text[4096];
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  return text;
}

namespace {

std::string MakeFolder() {
  const char* parent = getenv("TMPDIR");
  std::string path =
      std::string(parent != nullptr && *parent != 0 ? parent : "/tmp") + "/burlfall-review-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) Fail("no temporary folder: " + path);
  return path;
}

}  // namespace

Folder::Folder() : path(MakeFolder()) {}
Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path, ignored);
}

// Replaced as a whole, so that no reader sees half of it.
void WriteFile(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".tmp";
  std::ofstream(temporary) << text;
  if (rename(temporary.c_str(), path.c_str()) != 0) Fail("can't write " + path);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

Listener::Listener() {
  fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = Loopback(0);
  socklen_t length = sizeof at;
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 512) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length) != 0)
    Fail("can't listen on loopback");
  port = ntohs(at.sin_port);
}
Listener::~Listener() { close(fd); }

uint16_t FreePort() {
  // Not handed out twice by this process.
  static std::set<uint16_t> given;
  while (true) {
    const Listener one;
    if (given.insert(one.port).second) return one.port;
  }
}

std::string DeployLine(const std::string& key) {
  std::istringstream file(ReadFile("deploy/balancer.toml"));
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with(key + " = \"")) continue;
    const size_t from = line.find('"') + 1, to = line.find('"', from);
    return line.substr(from, to - from);
  }
  Fail("deploy/balancer.toml has no " + key);
}

namespace {

pid_t Spawn(const std::string& line, const std::map<std::string, std::string>& variables,
            const std::string& log_path, int passed_fd) {
  const pid_t parent = getpid();
  std::vector<std::string> environment;
  for (char** one = environ; *one != nullptr; ++one) {
    const std::string entry = *one;
    if (entry.starts_with("PROXY_") || variables.contains(entry.substr(0, entry.find('=')))) continue;
    environment.push_back(entry);
  }
  for (const auto& [name, value] : variables) environment.push_back(name + "=" + value);
  std::vector<char*> pointers;
  for (std::string& entry : environment) pointers.push_back(entry.data());
  pointers.push_back(nullptr);
  const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
  if (log < 0) Fail("can't write " + log_path);
  const pid_t pid = fork();
  if (pid < 0) Fail("can't fork");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit no_core{0, 0};
    setrlimit(RLIMIT_CORE, &no_core);
    if (getppid() != parent) _exit(127);
    const int nothing = open("/dev/null", O_RDONLY);
    dup2(nothing, 0);
    dup2(log, 1);
    dup2(log, 2);
    if (passed_fd >= 0) {
      if (passed_fd == 5)
        fcntl(5, F_SETFD, 0);
      else
        dup2(passed_fd, 5);
    }
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    signal(SIGPIPE, SIG_DFL);
    execle("/bin/sh", "sh", "-c", line.c_str(), static_cast<char*>(nullptr), pointers.data());
    _exit(127);
  }
  close(log);
  return pid;
}

}  // namespace

Child::Child(const std::string& line, const std::map<std::string, std::string>& variables,
             const std::string& log_path, int passed_fd)
    : pid(Spawn(line, variables, log_path, passed_fd)), log_path_(log_path) {}

Child::~Child() {
  if (Ended()) return;
  kill(pid, SIGKILL);
  waitpid(pid, &status, 0);
}

void Child::Signal(int number) const {
  if (!ended_) kill(pid, number);
}

bool Child::Ended() {
  if (!ended_ && waitpid(pid, &status, WNOHANG) == pid) ended_ = true;
  return ended_;
}

bool Child::WaitEnd(double ms) {
  return WaitUntil(ms, [this] { return Ended(); });
}

int RunCommand(const std::string& line, const std::string& output_path, double ms) {
  Child child(line, {}, output_path);
  if (!child.WaitEnd(ms)) return -1;
  return WIFEXITED(child.status) ? WEXITSTATUS(child.status) : -1;
}

// ---- HTTP ------------------------------------------------------------------------------------------------

int Message::status() const {
  const size_t blank = start.find(' ');
  return blank == std::string::npos ? 0 : atoi(start.c_str() + blank + 1);
}
std::string Message::method() const { return start.substr(0, start.find(' ')); }
std::string Message::path() const {
  const size_t from = start.find(' ') + 1;
  return start.substr(from, start.find(' ', from) - from);
}
std::string Message::Header(const std::string& name) const {
  std::istringstream lines(head);
  for (std::string line; std::getline(lines, line);) {
    if (line.size() > name.size() && line[name.size()] == ':' &&
        strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
      std::string value = line.substr(name.size() + 1);
      value.erase(0, value.find_first_not_of(' '));
      while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) value.pop_back();
      return value;
    }
  }
  return "";
}
bool Message::Closes() const { return strcasecmp(Header("Connection").c_str(), "close") == 0; }

bool Connection::Open(uint16_t port, double timeout_ms) {
  Close();
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto ms = static_cast<long>(timeout_ms);
  const timeval timeout{ms / 1000, ms % 1000 * 1000};
  setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  const sockaddr_in at = Loopback(port);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
    NoDelay(fd_);
    return true;
  }
  Close();
  return false;
}

void Connection::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
  buffer_.clear();
}

bool Connection::Write(const std::string& bytes) { return fd_ >= 0 && WriteAll(fd_, bytes); }

bool Connection::HasInput(double wait_ms) { return !buffer_.empty() || (fd_ >= 0 && Readable(fd_, wait_ms)); }

bool Connection::Read(Message& message, double timeout_ms) {
  const double until = Now() + timeout_ms;
  const auto more = [&] {
    char bytes[16384];
    if (fd_ < 0 || !Readable(fd_, until - Now())) return false;
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    buffer_.append(bytes, static_cast<size_t>(n));
    return true;
  };
  message = {};
  size_t end = 0;
  while (true) {
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!more()) return false;
    }
    message.head = buffer_.substr(0, end + 2);
    message.start = message.head.substr(0, message.head.find("\r\n"));
    buffer_.erase(0, end + 4);
    if (!message.start.starts_with("HTTP/1.1 1")) break;
  }
  if (strcasecmp(message.Header("Transfer-Encoding").c_str(), "chunked") == 0) {
    while (true) {
      size_t eol = 0;
      while ((eol = buffer_.find("\r\n")) == std::string::npos) {
        if (!more()) return false;
      }
      const size_t size = strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < eol + 2 + size + 2) {
        if (!more()) return false;
      }
      message.body.append(buffer_, eol + 2, size);
      buffer_.erase(0, eol + 2 + size + 2);
      if (size == 0) return true;
    }
  }
  const size_t length = strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
  while (buffer_.size() < length) {
    if (!more()) return false;
  }
  message.body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return true;
}

Message CallOnce(uint16_t port, const std::string& method, const std::string& path, double timeout_ms) {
  Connection connection;
  Message answer;
  const std::string request = method + " " + path + " HTTP/1.1\r\nHost: service.internal\r\n" +
                              (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n";
  if (connection.Open(port, timeout_ms) && connection.Write(request) && connection.Read(answer, timeout_ms))
    return answer;
  return {};
}

std::string Ok(const std::string& body, const std::string& more_headers) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more_headers +
         "\r\n" + body;
}

// ---- Stand-ins -------------------------------------------------------------------------------------------

Node::Node(std::string its_name, Handler handler) : name(std::move(its_name)), handler_(std::move(handler)) {
  accept_ = std::thread([this] {
    while (!stop_) {
      const int fd = AcceptOne(listener_);
      if (fd < 0) continue;
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
      threads_.emplace_back([this, fd] { Serve(fd); });
    }
  });
}

Node::~Node() {
  stop_ = true;
  accept_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }
  for (std::thread& thread : threads_) thread.join();
}

void Node::Serve(int fd) {
  Connection connection(fd);
  Message request;
  while (!stop_ && connection.Read(request, 3600e3)) {
    {
      const std::lock_guard lock(mutex_);
      arrivals_.push_back(Now());
    }
    if (!handler_(*this, request, connection)) break;
  }
  const std::lock_guard lock(mutex_);
  open_.erase(fd);  // before the descriptor is closed, since its number may be used again at once
}

size_t Node::CountSince(double from) const {
  const std::lock_guard lock(mutex_);
  return static_cast<size_t>(
      std::count_if(arrivals_.begin(), arrivals_.end(), [&](double at) { return at >= from; }));
}
size_t Node::count() const { return CountSince(0); }

Discovery::Discovery(std::vector<Entry> entries) {
  for (Entry& entry : entries) entries_.emplace_back(std::move(entry), version_);
  accept_ = std::thread([this] {
    while (!stop_) {
      const int fd = AcceptOne(listener_);
      if (fd < 0) continue;
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
      threads_.emplace_back([this, fd] { Serve(fd); });
    }
  });
}

Discovery::~Discovery() {
  stop_ = true;
  accept_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }
  for (std::thread& thread : threads_) thread.join();
}

void Discovery::Change(const Entry& entry) {
  const std::lock_guard lock(mutex_);
  ++version_;
  for (auto& [there, changed] : entries_) {
    if (there.id == entry.id) {
      there = entry;
      changed = version_;
      return;
    }
  }
  entries_.emplace_back(entry, version_);
}

// The whole list for `since` 0, otherwise what has changed after that version. Needs the lock.
std::string Discovery::List(uint64_t since) const {
  std::string text = "{\"version\":" + std::to_string(version_) +
                     ",\"full\":" + (since == 0 ? "true" : "false") + ",\"servers\":[";
  bool first = true;
  for (const auto& [entry, changed] : entries_) {
    if (since == 0 ? entry.state == "Gone" : changed <= since) continue;
    text += Text(
        "%s{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"std-2c\",\"cell\":0,\"state\":\"%s\","
        "\"weight\":%.1f,\"started_ms\":%lld}",
        first ? "" : ",", entry.id.c_str(), entry.addr.c_str(), entry.zone.c_str(), entry.state.c_str(),
        entry.weight, static_cast<long long>(entry.started_ms));
    first = false;
  }
  return text + "]}";
}

std::string Discovery::WholeList() const {
  const std::lock_guard lock(mutex_);
  return List(0);
}

void Discovery::Serve(int fd) {
  Connection connection(fd);
  Message request;
  while (!stop_ && connection.Read(request, 3600e3)) {
    const std::string path = request.path();
    const size_t index_at = path.find("index="), wait_at = path.find("wait=");
    const uint64_t index =
        index_at == std::string::npos ? 0 : strtoull(path.c_str() + index_at + 6, nullptr, 10);
    const double wait = wait_at == std::string::npos ? 0 : atof(path.c_str() + wait_at + 5);
    const double until = Now() + std::min(wait, 60000.0);
    std::string body;
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        if (index == 0 || version_ > index || Now() >= until || stop_) body = List(index);
      }
      if (!body.empty()) break;
      if (connection.HasInput(20)) break;  // the caller has gone
    }
    if (body.empty() || !connection.Write(Ok(body, "Content-Type: application/json\r\n"))) break;
  }
  const std::lock_guard lock(mutex_);
  open_.erase(fd);
}

DelayProxy::DelayProxy(uint16_t to, double one_way_ms) : to_(to), delay_ms_(one_way_ms) {
  accept_ = std::thread([this] {
    while (!stop_) {
      const int client = AcceptOne(listener_);
      if (client < 0) continue;
      const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in at = Loopback(to_);
      if (connect(server, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        close(server);
        close(client);
        continue;
      }
      NoDelay(server);
      const std::lock_guard lock(mutex_);
      open_.insert({client, server});
      threads_.emplace_back([this, client, server] { Pump(client, server); });
      threads_.emplace_back([this, client, server] { Pump(server, client); });
    }
  });
}

DelayProxy::~DelayProxy() {
  stop_ = true;
  accept_.join();
  for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  for (std::thread& thread : threads_) thread.join();
  for (const int fd : open_) close(fd);
}

// Descriptors stay open until the end of the test, so that no number is used twice.
void DelayProxy::Pump(int from, int to) {
  std::deque<std::pair<double, std::string>> queue;  // due time, bytes; empty bytes: the end
  bool ended = false;
  while (!ended || !queue.empty()) {
    while (!queue.empty() && queue.front().first <= Now()) {
      if (queue.front().second.empty())
        shutdown(to, SHUT_WR);
      else
        WriteAll(to, queue.front().second);
      queue.pop_front();
    }
    if (ended && queue.empty()) break;
    const double wait = queue.empty() ? 1000 : queue.front().first - Now();
    pollfd one{ended ? -1 : from, POLLIN, 0};
    const auto ns = static_cast<long>(std::max(0.0, wait) * 1e6);
    const timespec precise{ns / 1000000000, ns % 1000000000};
    if (ppoll(&one, 1, &precise, nullptr) <= 0) continue;
    char bytes[16384];
    const ssize_t n = recv(from, bytes, sizeof bytes, 0);
    ended = n <= 0;
    queue.emplace_back(Now() + delay_ms_, ended ? "" : std::string(bytes, static_cast<size_t>(n)));
  }
}

// ---- The deployment --------------------------------------------------------------------------------------

std::string ConfigJson(const Balancer& b) {
  const auto category = [](const char* name, const char* effect, int aim, int deadline, int worth,
                           int window) {
    return Text(
        "{\"Name\":\"%s\",\"Effect\":\"%s\",\"Group\":\"all\",\"DedupWindow\":%d,\"Slo\":%d,\"HardLimit\":%d,"
        "\"Worth\":%d}",
        name, effect, window * 1000, aim * 1000, deadline * 1000, worth);
  };
  std::string text = "{\"name\":\"" + b.name + "\",\"listen\":\"127.0.0.1:" + std::to_string(b.listen) +
                     "\",\"discovery\":\"127.0.0.1:" + std::to_string(b.discovery) + "\"";
  if (b.admin != 0) text += ",\"admin\":\"127.0.0.1:" + std::to_string(b.admin) + "\"";
  text +=
      ",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
      "\"known\":" +
      b.known + ",\"settings\":{\"Balancers\":" + std::to_string(b.balancers) +
      ",\"SlotNo\":" + std::to_string(b.index) +
      ",\"MyZone\":0,\"Zones\":[\"zuerich\",\"bern\"],\"MachineTypes\":[\"std-2c\",\"slow-2c\"],"
      "\"Categories\":[" +
      category("stock-query", "pure", 300, 1000, 3, 5000) + "," +
      category("slot-release", "side_effect", 400, 1000, 3, 5000) + "," +
      category("swap-charge", "token", 300, 600, 5, 1200) +
      "],\"Realms\":[{\"Name\":\"wechselstrom-aare\",\"Share\":0.68,\"QuotaPerS\":100000},{\"Name\":\"akku-"
      "punkt-lu\","
      "\"Share\":0.32,\"QuotaPerS\":100000}],\"MembershipMode\":\"subscribe\",\"Caps\":{\"Cancel\":true,"
      "\"SecondCopies\":true,\"SendCap\":5,\"RetryAfter\":true,\"MaxRetryAfter\":1000000,\"ConnectTimeout\":"
      "150000,"
      "\"Keepalive\":10000000},\"Rules\":{\"AnswerSlack\":20000,\"DrainGrace\":750000,\"MustAskIn\":10000000,"
      "\"OverloadFactor\":4,\"Fall\":1500000,\"StartCapacity\":0.12,\"WarmAfter\":23000000}}}";
  return text;
}

std::string TraceId() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  return Text("%016llx", static_cast<unsigned long long>(random()));
}

std::string StockQuery(const std::string& trace, int expires_ms) {
  return "GET /stock-query?user=" + trace + " HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + trace +
         "\r\nX-Customer: wechselstrom-aare\r\nX-Expires-In: " + std::to_string(expires_ms) + "m\r\n\r\n";
}

std::string SlotRelease(const std::string& trace, int expires_ms) {
  return "POST /slot-release?user=" + trace + " HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + trace +
         "\r\nX-Customer: akku-punkt-lu\r\nX-Expires-In: " + std::to_string(expires_ms) +
         "m\r\nContent-Length: 4\r\n\r\nopen";
}

}  // namespace review
