// Helpers for the review's cases: the project's programs as child processes, and the stand-ins round them.
// Everything binds to loopback. Threads block; every wait has a limit.
#ifndef BURLFALL_REVIEW_HARNESS_H_
#define BURLFALL_REVIEW_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int kBroken = 1, kHeld = 0, kCouldNotRun = 2;

// Milliseconds since the start of the test.
double Now();
void Sleep(double ms);
// Thrown where the test can't run; the test then exits with kCouldNotRun.
struct CannotRun {
  std::string why;
};
[[noreturn]] void Fail(const std::string& why);
// Waits until the condition holds; false after `ms`.
bool WaitUntil(double ms, const std::function<bool()>& holds);
// Whether the disruption is on: TROUBLE is not 0.
bool Trouble();

// record.txt: one line an event, with its time.
class Record {
 public:
  static void Open(const std::string& path);
  static void Line(const std::string& text);
};
std::string Text(const char* format, ...) __attribute__((format(printf, 1, 2)));

// A temporary folder that is removed at the end.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  const std::string path;
};
void WriteFile(const std::string& path, const std::string& text);
std::string ReadFile(const std::string& path);

// A listening socket on 127.0.0.1 with a port of its own.
class Listener {
 public:
  Listener();
  ~Listener();
  Listener(const Listener&) = delete;
  int fd = -1;
  uint16_t port = 0;
};
// A port that was free a moment ago.
uint16_t FreePort();

// The value of a key of deploy/balancer.toml.
std::string DeployLine(const std::string& key);

// A child process: `/bin/sh -c LINE` from the root, as the platform starts the program. It is killed with
// this process, and by the destructor.
class Child {
 public:
  Child(const std::string& line, const std::map<std::string, std::string>& variables,
        const std::string& log_path, int passed_fd = -1);
  ~Child();
  Child(const Child&) = delete;
  void Signal(int number) const;
  bool Ended();  // whether it has ended; then `status` is set
  bool WaitEnd(double ms);
  std::string Log() const { return ReadFile(log_path_); }
  const pid_t pid;
  int status = 0;

 private:
  const std::string log_path_;
  bool ended_ = false;
};
// Runs a command line to its end and returns its exit code; -1 after `ms`.
int RunCommand(const std::string& line, const std::string& output_path, double ms);

// An HTTP/1.1 message as it was read.
struct Message {
  std::string start;  // request or status line
  std::string head;   // all lines, with the start line
  std::string body;
  int status() const;
  std::string path() const;  // with the query
  std::string method() const;
  std::string Header(const std::string& name) const;  // empty if missing
  bool Closes() const;
};

// A blocking connection.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  bool Open(uint16_t port, double timeout_ms);
  bool IsOpen() const { return fd_ >= 0; }
  void Close();
  bool Write(const std::string& bytes);
  // Reads one message; false if the connection ended first or nothing came for `timeout_ms`.
  bool Read(Message& message, double timeout_ms);
  // Whether bytes or the end can be read now.
  bool HasInput(double wait_ms);
  int fd() const { return fd_; }

 private:
  int fd_ = -1;
  std::string buffer_;
};

// One call on a connection of its own. Status 0: no whole answer in time.
Message CallOnce(uint16_t port, const std::string& method, const std::string& path, double timeout_ms);

// A node stand-in. Its handler runs in the connection's thread; it gets a whole request and the connection.
class Node {
 public:
  using Handler = std::function<bool(Node&, const Message&, Connection&)>;  // false: close the connection
  Node(std::string name, Handler handler);
  ~Node();
  const std::string name;
  uint16_t port() const { return listener_.port; }
  // Requests that arrived whole, by the time of their last byte.
  size_t CountSince(double from) const;
  size_t count() const;

 private:
  void Serve(int fd);
  Listener listener_;
  Handler handler_;
  std::atomic<bool> stop_{false};
  mutable std::mutex mutex_;
  std::vector<double> arrivals_;
  std::vector<std::thread> threads_;
  std::set<int> open_;
  std::thread accept_;
};
// A 200 answer.
std::string Ok(const std::string& body, const std::string& more_headers = "");

// The discovery stand-in: the whole list, and watches, as the protocol page says.
class Discovery {
 public:
  struct Entry {
    std::string id, addr, zone = "zuerich", state = "Ready";
    double weight = 1.0;
    int64_t started_ms = 0;
  };
  explicit Discovery(std::vector<Entry> entries);
  ~Discovery();
  uint16_t port() const { return listener_.port; }
  void Change(const Entry& entry);
  std::string WholeList() const;

 private:
  void Serve(int fd);
  std::string List(uint64_t since) const;
  Listener listener_;
  std::atomic<bool> stop_{false};
  mutable std::mutex mutex_;
  uint64_t version_ = 41;
  std::vector<std::pair<Entry, uint64_t>> entries_;  // with the version of the last change
  std::vector<std::thread> threads_;
  std::set<int> open_;
  std::thread accept_;
};

// Delays what passes between two ends by a fixed time each way; loses and reorders nothing.
class DelayProxy {
 public:
  DelayProxy(uint16_t to, double one_way_ms);
  ~DelayProxy();
  uint16_t port() const { return listener_.port; }

 private:
  void Pump(int from, int to);
  Listener listener_;
  const uint16_t to_;
  const double delay_ms_;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<std::thread> threads_;
  std::set<int> open_;
  std::thread accept_;
};

// The configuration of one balancer of a small deployment, with the classes and limits of the hosted swap
// service.
struct Balancer {
  std::string name = "n1";
  uint16_t listen = 0, discovery = 0, admin = 0;
  std::string known;  // discovery's whole list
  int balancers = 1;
  int index = 0;
};
std::string ConfigJson(const Balancer& balancer);

// A fresh trace id, 16 hexadecimal digits.
std::string TraceId();
// A request of one of the three classes, whole.
std::string StockQuery(const std::string& trace, int expires_ms = 1000);
std::string SlotRelease(const std::string& trace, int expires_ms = 1000);

}  // namespace review

#endif  // BURLFALL_REVIEW_HARNESS_H_
