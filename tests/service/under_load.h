// Load for tests with several processes: a server that records the queries it ran, and clients that send
// queries continuously.
#ifndef BURLFALL_TESTS_SERVICE_UNDER_LOAD_H_
#define BURLFALL_TESTS_SERVICE_UNDER_LOAD_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "service/operators.h"

namespace burlfall {

// Answers each `open` query and records its trace id. Uses one thread per link.
class CountingServer {
 public:
  CountingServer() : accepts_([this] { Accept(); }) {}
  CountingServer(const CountingServer&) = delete;
  ~CountingServer() { Stop(); }
  // Stops the server; returns the trace ids of the queries that ran.
  const std::multiset<std::string>& Stop() {
    stopping_ = true;
    if (accepts_.joinable()) accepts_.join();
    for (std::thread& one : links_) one.join();
    links_.clear();
    return ran_;
  }
  uint16_t port() const { return server_.port; }

 private:
  void Accept() {
    while (!stopping_) {
      if (!Readable(server_.fd(), 20)) continue;
      auto link = std::make_shared<Descriptor>(accept4(server_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
      links_.emplace_back([this, link] { Serve(link->get()); });
    }
  }
  void Serve(int link) {
    std::string in;
    char piece[4096];
    while (!stopping_) {
      if (!Readable(link, 20)) continue;
      const ssize_t n = recv(link, piece, sizeof piece, 0);
      if (n <= 0) return;
      in.append(piece, static_cast<size_t>(n));
      if (!in.ends_with("\r\n\r\nx")) continue;
      const size_t at = in.find("X-Trace-Id: ") + 12;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        ran_.insert(in.substr(at, in.find("\r\n", at) - at));
      }
      in.clear();
      const std::string answer = Ok("y");
      if (send(link, answer.data(), answer.size(), MSG_NOSIGNAL) < 0) return;
    }
  }

  Peer server_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::multiset<std::string> ran_;
  std::vector<std::thread> links_;
  std::thread accepts_;
};

// Each client sends one unsafe query after another on its own link, and opens a new link when that one ends.
class LoadClients {
 public:
  LoadClients(uint16_t port, int clients, int queries) {
    for (int c = 0; c < clients; ++c) {
      threads_.emplace_back(
          [this, port, c, queries] { SendQueries(port, std::to_string(c) + "-", queries); });
    }
  }
  LoadClients(const LoadClients&) = delete;
  ~LoadClients() { Join(); }
  void Join() {
    for (std::thread& one : threads_) {
      if (one.joinable()) one.join();
    }
  }
  void StopEarly() { stop_ = true; }

  std::atomic<int> asked{0};
  std::atomic<int> answered{0};  // 200
  std::atomic<int> refused{0};   // 429 or 503
  std::atomic<int> broken{0};    // the link ended or could not be opened
  std::atomic<int> hung{0};      // no complete answer within kTimeoutSeconds

 private:
  void SendQueries(uint16_t port, const std::string& name, int queries) {
    Descriptor link;
    for (int i = 0; i < queries && !stop_; ++i) {
      ++asked;
      if (!link) {
        link = Descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in at = Loopback(port);
        if (connect(link.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
          ++broken;
          link = Descriptor();
          continue;
        }
      }
      const std::string query = Post("open", name + std::to_string(i), "x");
      send(link.get(), query.data(), query.size(), MSG_NOSIGNAL);
      std::string answer;
      char piece[4096];
      bool timed_out = false;
      while (!IsComplete(answer)) {
        timed_out = !Readable(link.get(), kTimeoutSeconds * 1000);
        const ssize_t n = timed_out ? 0 : recv(link.get(), piece, sizeof piece, 0);
        if (n <= 0) break;
        answer.append(piece, static_cast<size_t>(n));
      }
      if (!IsComplete(answer)) {
        ++(timed_out ? hung : broken);
      } else if (answer.starts_with("HTTP/1.1 200 ")) {
        ++answered;
      } else {
        ++refused;
      }
      if (!IsComplete(answer) || answer.find("Connection: close") != std::string::npos) link = Descriptor();
      poll(nullptr, 0, 1);
    }
  }
  static bool IsComplete(const std::string& answer) {
    const size_t end = answer.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    const size_t at = answer.find("Content-Length: ");
    const size_t length = at < end ? std::stoul(answer.substr(at + 16)) : 0;
    return answer.size() >= end + 4 + length;
  }

  std::atomic<bool> stop_{false};
  std::vector<std::thread> threads_;
};

}  // namespace burlfall

#endif  // BURLFALL_TESTS_SERVICE_UNDER_LOAD_H_
