// A node that answers every query by a script: how large its answers are, how slowly it reads and writes. It
// serves all its connections from one thread and records when each query was read whole.
#ifndef BURLFALL_TESTS_MISBEHAVIOUR_SCRIPTED_NODE_H_
#define BURLFALL_TESTS_MISBEHAVIOUR_SCRIPTED_NODE_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "stories/peers.h"

namespace burlfall {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// The value of a header in a message; empty if it has none.
inline std::string HeaderOf(const std::string& message, const std::string& name) {
  const size_t at = message.find(std::string("\r\n").append(name).append(": "));
  if (at == std::string::npos) return "";
  const size_t begin = at + name.size() + 4;
  return message.substr(begin, message.find("\r\n", begin) - begin);
}

inline std::string Numbered(std::string name, size_t n) { return name.append(std::to_string(n)); }

struct NodeScript {
  std::string body = "fine";
  milliseconds delay{0};   // between a query and its answer
  bool chunked = false;    // the answer has no length
  size_t write_piece = 0;  // bytes written every `write_every`; 0: all at once
  milliseconds write_every{0};
  size_t read_piece = 65536;  // bytes read every `read_every`
  milliseconds read_every{0};
  int receive_buffer = 0;  // bytes that its sockets hold unread; 0: as many as the system allows
};

class ScriptedNode {
 public:
  struct Seen {
    std::string trace;
    Clock::time_point at;
    bool unsafe = false;  // a POST without a key
  };

  explicit ScriptedNode(NodeScript script = {}) : script_(std::move(script)) {
    if (script_.receive_buffer > 0) {
      setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &script_.receive_buffer,
                 sizeof script_.receive_buffer);
    }
    thread_ = std::thread([this] { Run(); });
  }
  ScriptedNode(const ScriptedNode&) = delete;
  ~ScriptedNode() {
    stopping_ = true;
    thread_.join();
  }
  uint16_t port() const { return listener_.port; }
  std::vector<Seen> Queries() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return seen_;
  }
  size_t Count(const std::string& trace) const {
    const std::vector<Seen> all = Queries();
    return static_cast<size_t>(
        std::count_if(all.begin(), all.end(), [&](const Seen& one) { return one.trace == trace; }));
  }

 private:
  struct Connection {
    explicit Connection(Descriptor from) : fd(std::move(from)) {}
    Descriptor fd;
    std::string in;
    std::string out;
    Clock::time_point read_at{};
    Clock::time_point write_at{};
  };

  void Run() {
    while (!stopping_) {
      std::vector<pollfd> polled = {{listener_.fd(), POLLIN, 0}};
      const Clock::time_point now = Clock::now();
      int wait_ms = 20;
      for (const auto& one : connections_) {
        const bool reads = one->read_at <= now, writes = !one->out.empty() && one->write_at <= now;
        polled.push_back(
            {one->fd.get(), static_cast<short>((reads ? POLLIN : 0) | (writes ? POLLOUT : 0)), 0});
        if (!reads || (!one->out.empty() && !writes)) wait_ms = 1;
      }
      poll(polled.data(), polled.size(), wait_ms);
      for (size_t i = 1; i < polled.size(); ++i) {
        Connection& one = *connections_[i - 1];
        if ((polled[i].revents & POLLOUT) != 0) Write(one);
        if ((polled[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0 && !Read(one)) one.fd = Descriptor();
      }
      std::erase_if(connections_, [](const auto& one) { return !one->fd; });
      if (polled[0].revents != 0) {
        Descriptor fd(accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
        if (fd) connections_.push_back(std::make_unique<Connection>(std::move(fd)));
      }
    }
  }

  bool Read(Connection& one) {
    std::string piece(script_.read_piece, '\0');
    const ssize_t n = recv(one.fd.get(), piece.data(), piece.size(), 0);
    if (n == 0 || (n < 0 && errno != EAGAIN)) return false;
    if (n > 0) one.in.append(piece, 0, static_cast<size_t>(n));
    one.read_at = Clock::now() + script_.read_every;
    while (TakeQuery(one)) continue;
    return true;
  }

  // Takes one whole query from the input, if there is one, and queues its answer.
  bool TakeQuery(Connection& one) {
    const size_t end = one.in.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    const std::string length = HeaderOf(one.in.substr(0, end + 2), "Content-Length");
    const size_t size = end + 4 + (length.empty() ? 0 : std::stoul(length));
    if (one.in.size() < size) return false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const std::string head = one.in.substr(0, end + 2);
      const bool unsafe = head.starts_with("POST ") && HeaderOf(head, "Idempotency-Key").empty();
      seen_.push_back({HeaderOf(head, "X-Trace-Id"), Clock::now(), unsafe});
    }
    one.in.erase(0, size);
    one.write_at = Clock::now() + script_.delay;
    one.out += script_.chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks()
                               : Ok(script_.body);
    return true;
  }

  // One chunk for each piece that is written.
  std::string Chunks() const {
    const size_t piece = script_.write_piece == 0 ? script_.body.size() : script_.write_piece;
    std::string out;
    for (size_t at = 0; at < script_.body.size(); at += piece) {
      const std::string part = script_.body.substr(at, piece);
      char size[20];
      std::snprintf(size, sizeof size, "%zx\r\n", part.size());
      out += size + part + "\r\n";
    }
    return out + "0\r\n\r\n";
  }

  void Write(Connection& one) {
    const size_t size =
        script_.write_piece == 0 ? one.out.size() : std::min(script_.write_piece, one.out.size());
    const ssize_t n = send(one.fd.get(), one.out.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) one.out.erase(0, static_cast<size_t>(n));
    one.write_at = Clock::now() + script_.write_every;
  }

  const NodeScript script_;
  Peer listener_;
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;
  std::vector<Seen> seen_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::thread thread_;
};

}  // namespace burlfall

#endif  // BURLFALL_TESTS_MISBEHAVIOUR_SCRIPTED_NODE_H_
