// Clients for tests of misbehaviour: crowds of connections, floods on one connection, and a bystander whose
// sound requests show what the others do to it.
#ifndef BURLFALL_TESTS_MISBEHAVIOUR_CLIENTS_H_
#define BURLFALL_TESTS_MISBEHAVIOUR_CLIENTS_H_

#include <sys/resource.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "misbehaviour/scripted_node.h"
#include "service/operators.h"

namespace burlfall {

constexpr size_t kLeastMemoryMb = 32;  // the least that the operators' pages name

inline size_t StatusKb(const Program& program, const std::string& field) {
  std::ifstream status("/proc/" + std::to_string(program.pid()) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(field + ":")) return std::stoul(line.substr(field.size() + 1));
  }
  return 0;
}
inline size_t PeakKb(const Program& program) { return StatusKb(program, "VmHWM"); }
inline size_t ResidentKb(const Program& program) { return StatusKb(program, "VmRSS"); }

// The features that are on in service.
inline std::vector<std::string> InService() {
  return {"serve", "--config", std::string(TEST_DATA) + "/../deploy/burlfall.properties"};
}

// A program with the least memory, and as many descriptors as given.
inline std::string LeastMemoryConfig(const ScriptedNode& node, int sockets, int deadline_ms = 1000) {
  return ConfigText({.known = Entry("s-1", node.port()),
                     .sockets = sockets,
                     .admin = "127.0.0.1:0",
                     .memory_mb = static_cast<int>(kLeastMemoryMb),
                     .deadline = deadline_ms * 1000});
}

// A connection that never blocks the test. -1 descriptors are connections that were not established.
inline Descriptor ConnectWithoutBlocking(uint16_t port) {
  Descriptor fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  sockaddr_in at = Loopback(port);
  if (connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 && errno != EINPROGRESS) {
    return Descriptor();
  }
  return fd;
}

inline std::string ManyShortHeaders(int count) {
  std::string headers;
  for (int i = 0; i < count; ++i) headers += Numbered("a", static_cast<size_t>(i)).append(": b\r\n");
  return headers;
}

// Connections that each write a text as far as they can without waiting, and read nothing.
class Crowd {
 public:
  Crowd(uint16_t port, size_t count, const std::function<std::string(size_t)>& text_of) {
    for (size_t i = 0; i < count; ++i) members_.push_back({ConnectWithoutBlocking(port), text_of(i)});
  }
  // Writes what the sockets take; returns how many connections have written everything.
  size_t WriteMore(size_t piece = 1 << 20) {
    size_t done = 0;
    for (Member& one : members_) {
      const ssize_t n =
          send(one.fd.get(), one.text.data(), std::min(piece, one.text.size()), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) one.text.erase(0, static_cast<size_t>(n));
      done += one.text.empty();
    }
    return done;
  }
  // Reads at most `bytes` from each.
  void ReadMore(size_t bytes) {
    std::vector<char> piece(bytes);
    for (Member& one : members_) recv(one.fd.get(), piece.data(), bytes, MSG_DONTWAIT);
  }
  void Leave() { members_.clear(); }

 private:
  struct Member {
    Descriptor fd;
    std::string text;
  };
  std::vector<Member> members_;
};

// Sends the same bytes, or what `next` gives, on one connection as fast as it can, and reads what it is sent.
// Connects again when its connection ends.
class Flood {
 public:
  Flood(uint16_t port, std::function<std::string()> next)
      : thread_([this, port, next = std::move(next)] { Run(port, next); }) {}
  Flood(const Flood&) = delete;
  ~Flood() {
    stopping_ = true;
    thread_.join();
  }
  std::atomic<size_t> answered_bytes{0};

 private:
  void Run(uint16_t port, const std::function<std::string()>& next) {
    std::vector<char> piece(65536);
    while (!stopping_) {
      Descriptor fd = ConnectWithoutBlocking(port);
      std::string out;
      while (!stopping_ && fd) {
        while (out.size() < 65536) out += next();
        pollfd one{fd.get(), POLLIN | POLLOUT, 0};
        poll(&one, 1, 20);
        if ((one.revents & POLLOUT) != 0) {
          const ssize_t n = send(fd.get(), out.data(), out.size(), MSG_NOSIGNAL);
          if (n > 0) out.erase(0, static_cast<size_t>(n));
          if (n < 0 && errno != EAGAIN) break;
        }
        if ((one.revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
        const ssize_t n = recv(fd.get(), piece.data(), piece.size(), 0);
        if (n == 0 || (n < 0 && errno != EAGAIN)) break;
        if (n > 0) answered_bytes += static_cast<size_t>(n);
      }
    }
  }

  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// Sends sound requests, one after the other, each on a new connection, and counts how they end.
struct Bystander {
  int asked = 0;
  int served = 0;
  int refused = 0;  // 429 or 503
  int failed = 0;   // another answer
  int lost = 0;     // no answer within the deadline and the half second of the pages
  double slowest_ms = 0;

  void Ask(uint16_t port, milliseconds deadline) {
    const std::string trace = Numbered("bystander-", static_cast<size_t>(++asked));
    const Clock::time_point sent = Clock::now();
    Descriptor fd = ConnectWithoutBlocking(port);
    const std::string request =
        Get(trace, Numbered("X-Expires-In: ", static_cast<size_t>(deadline.count())).append("m\r\n"));
    const Clock::time_point until = sent + deadline + milliseconds(500);
    std::string answer;
    size_t written = 0;
    while (Clock::now() < until && answer.find("\r\n\r\n") == std::string::npos) {
      pollfd one{fd.get(), static_cast<short>(written < request.size() ? POLLOUT : POLLIN), 0};
      const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
      if (poll(&one, 1, static_cast<int>(std::max<long>(left, 0))) != 1) break;
      if (written < request.size()) {
        const ssize_t n = send(fd.get(), request.data() + written, request.size() - written, MSG_NOSIGNAL);
        if (n < 0) break;
        written += static_cast<size_t>(n);
        continue;
      }
      char piece[4096];
      const ssize_t n = recv(fd.get(), piece, sizeof piece, 0);
      if (n <= 0) break;
      answer.append(piece, static_cast<size_t>(n));
    }
    slowest_ms = std::max(slowest_ms, std::chrono::duration<double, std::milli>(Clock::now() - sent).count());
    const std::string status = answer.substr(0, std::min<size_t>(answer.size(), 13));
    ++(status.find(" 200 ") != std::string::npos                                                ? served
       : status.find(" 503 ") != std::string::npos || status.find(" 429 ") != std::string::npos ? refused
       : answer.empty()                                                                         ? lost
                                                                                                : failed);
  }
  void AskFor(uint16_t port, milliseconds deadline, milliseconds span) {
    for (const Clock::time_point end = Clock::now() + span; Clock::now() < end;) {
      Ask(port, deadline);
      poll(nullptr, 0, 10);
    }
  }
  std::string Text() const {
    return std::to_string(asked) + " asked, " + std::to_string(served) + " served, " +
           std::to_string(refused) + " refused, " + std::to_string(failed) + " failed, " +
           std::to_string(lost) + " lost, slowest " + std::to_string(static_cast<int>(slowest_ms)) + " ms";
  }
};

}  // namespace burlfall

#endif  // BURLFALL_TESTS_MISBEHAVIOUR_CLIENTS_H_
