// Guards long answers against being cut off, and final answers against nodes that read slowly.
#include "misbehaviour/clients.h"

namespace burlfall {
namespace {

// Reads until the connection ends, or until the answer's last chunk; returns all bytes.
std::string ReadAll(Link& link) {
  std::string all;
  std::vector<char> piece(65536);
  while (!all.ends_with("0\r\n\r\n")) {
    const ssize_t n = recv(link.fd(), piece.data(), piece.size(), 0);
    if (n <= 0) break;
    all.append(piece.data(), static_cast<size_t>(n));
  }
  return all;
}

}  // namespace

TEST_CASE("a long answer without a length that a node goes on writing at the deadline is not cut off") {
  // Its first bytes come 50 ms before the deadline, the others over two seconds.
  ScriptedNode node({.body = std::string(100000, 'c'),
                     .delay = milliseconds(450),
                     .chunked = true,
                     .write_piece = 5000,
                     .write_every = milliseconds(100)});
  Program program(LeastMemoryConfig(node, 256), InService());
  Link client = Link::To(program.port);
  client.Write(Get("t", "X-Expires-In: 500m\r\n"));
  const std::string answer = ReadAll(client);
  CHECK(answer.starts_with("HTTP/1.1 200 "));
  CHECK(answer.ends_with("0\r\n\r\n"));
  CHECK(std::count(answer.begin(), answer.end(), 'c') >= 100000);
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE("a body without a length that is too long to hold is passed on, not refused") {
  Peer node;
  Program program(ConfigText({.known = Entry("s-1", node.port),
                              .sockets = 256,
                              .admin = "127.0.0.1:0",
                              .memory_mb = static_cast<int>(kLeastMemoryMb)}),
                  InService());
  size_t received = 0;
  std::thread serving([&] {
    Link link = node.Accept();
    const std::string query = ReadAll(link);
    received = static_cast<size_t>(std::count(query.begin(), query.end(), 'u'));
    link.Write(Ok("stored"));
  });
  Link client = Link::To(program.port);
  client.Write("POST /open HTTP/1.1\r\nX-Trace-Id: t\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 48; ++i) client.Write("10000\r\n" + std::string(65536, 'u') + "\r\n");
  client.Write("0\r\n\r\n");
  CHECK(client.Read().ends_with("stored"));
  serving.join();
  CHECK(received >= 48 * 65536);
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE("a long answer that a node writes slowly outlasts its deadline, SIGTERM and idle links") {
  ScriptedNode node(
      {.body = std::string(100000, 'c') + "end", .write_piece = 4000, .write_every = milliseconds(100)});
  Program program(LeastMemoryConfig(node, 256), InService());
  Link client = Link::To(program.port);
  client.Write(Get("t", "X-Expires-In: 300m\r\n"));
  REQUIRE(WaitUntil([&] { return node.Count("t") == 1; }));
  program.Signal(SIGTERM);
  std::string answer;
  std::vector<char> piece(65536);
  for (ssize_t n = 1; n > 0 && !answer.ends_with("end");) {
    n = recv(client.fd(), piece.data(), piece.size(), 0);
    if (n > 0) answer.append(piece.data(), static_cast<size_t>(n));
  }
  CHECK(answer.starts_with("HTTP/1.1 200 "));
  CHECK(std::count(answer.begin(), answer.end(), 'c') == 100000);
  CHECK(program.Wait() == 0);
}

TEST_CASE("a node that reads a large request slowly does not delay the final answer beyond its time") {
  for (const size_t size : {300000, 6000000}) {
    CAPTURE(size);
    ScriptedNode node({.read_piece = 32768, .read_every = milliseconds(100), .receive_buffer = 32768});
    Program program(LeastMemoryConfig(node, 256), InService());
    Descriptor client = ConnectWithoutBlocking(program.port);
    std::string request = "POST /open HTTP/1.1\r\nX-Trace-Id: t\r\nX-Expires-In: 600m\r\nContent-Length: " +
                          std::to_string(size) + "\r\n\r\n" + std::string(size, 'u');
    Clock::time_point last_byte;
    std::string answer;
    const Clock::time_point give_up = Clock::now() + std::chrono::seconds(kTimeoutSeconds);
    while (Clock::now() < give_up && answer.find("\r\n\r\n") == std::string::npos) {
      pollfd one{client.get(), static_cast<short>(request.empty() ? POLLIN : POLLIN | POLLOUT), 0};
      poll(&one, 1, 100);
      if ((one.revents & POLLOUT) != 0) {
        const ssize_t n = send(client.get(), request.data(), request.size(), MSG_NOSIGNAL);
        if (n > 0) request.erase(0, static_cast<size_t>(n));
        last_byte = Clock::now();
      }
      char piece[4096];
      const ssize_t n = recv(client.get(), piece, sizeof piece, MSG_DONTWAIT);
      if (n == 0) break;
      if (n > 0) answer.append(piece, static_cast<size_t>(n));
    }
    const double took_ms = std::chrono::duration<double, std::milli>(Clock::now() - last_byte).count();
    WARN(size << " bytes, " << request.size() << " not taken: answered after " << took_ms << " ms with "
              << answer.substr(0, 12));
    CHECK(answer.starts_with("HTTP/1.1 "));
    if (request.empty()) CHECK(took_ms <= 600 + 500);
    client = Descriptor();
    program.Wait(SIGTERM);
  }
}

}  // namespace burlfall
