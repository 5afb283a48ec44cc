// Races on a client link: a request, its answer, the client's close and the balancer's close.
#define CATCH_CONFIG_MAIN
#include <netinet/tcp.h>

#include <memory>
#include <string>
#include <vector>

#include "io/real_network.h"
#include "service/operators.h"

namespace burlfall {
namespace {

// Stops the program while it exists: the program then receives everything sent in the meantime in one batch.
class PausedProgram {
 public:
  explicit PausedProgram(const Program& program) : program_(program) {
    program.Signal(SIGSTOP);
    siginfo_t info{};
    REQUIRE(waitid(P_PID, static_cast<id_t>(program.pid()), &info, WSTOPPED | WNOWAIT) == 0);
  }
  PausedProgram(const PausedProgram&) = delete;
  ~PausedProgram() { program_.Signal(SIGCONT); }

 private:
  const Program& program_;
};

std::string SendRequest(Link& link, const std::string& path) {
  link.Write("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  return link.Read();
}

long ReadCounter(uint16_t port, const std::string& name) {
  Link link = Link::To(port);
  const std::string all = SendRequest(link, "/counters");
  const size_t at = all.find(name + "=");
  return at == std::string::npos ? -1 : std::stol(all.substr(at + name.size() + 1));
}

enum class End { kClose, kHalfClose, kReset };

void EndClient(Link& link, End how) {
  how == End::kReset ? link.Reset() : how == End::kClose ? link.Close() : void(shutdown(link.fd(), SHUT_WR));
}

// Whether the peer answered the last write with a reset. On loopback the reset is there once write() returns.
bool WasReset(const Link& link) {
  int error = 0;
  socklen_t length = sizeof error;
  REQUIRE(getsockopt(link.fd(), SOL_SOCKET, SO_ERROR, &error, &length) == 0);
  return error != 0;
}

bool PeerEnds(const Link& link) {
  pollfd one{link.fd(), POLLRDHUP, 0};
  return poll(&one, 1, kTimeoutSeconds * 1000) == 1 && (one.revents & POLLRDHUP) != 0;
}

}  // namespace

TEST_CASE("a client whose request and end come in one batch has left, and nothing is sent") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port)}));
  const std::string once = Post("open", "t1", "x");
  long left = 0;
  for (const std::string& requests : {once, once + Get("t2"), Post("pay", "t3", std::string(60000, 'x'))}) {
    for (const End how : {End::kClose, End::kHalfClose, End::kReset}) {
      CAPTURE(requests.size(), static_cast<int>(how));
      Link client = Link::To(program.port);
      CHECK(SendRequest(client, "/up").starts_with("HTTP/1.1 200 "));
      {
        const PausedProgram paused(program);
        client.Write(requests);
        EndClient(client, how);
      }
      ++left;
      CHECK(WaitUntil(
          [&] { return ReadCounter(program.port, "left") == left || server.HasPendingConnection(); }));
      CHECK(ReadCounter(program.port, "sent") == 0);
      if (how == End::kHalfClose) CHECK(client.Read().empty());
    }
  }
  CHECK(ReadCounter(program.port, "taken") == left);
  CHECK_FALSE(server.HasPendingConnection());
}

TEST_CASE("a client that ends behind more requests than are read ahead has left") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .deadline = 60000000}));
  std::string ahead;
  while (ahead.size() < 100 * 1024) ahead += Post("open", "next", std::string(1000, 'x'));
  long left = 0;
  for (const End how : {End::kClose, End::kHalfClose, End::kReset}) {
    CAPTURE(static_cast<int>(how));
    Link client = Link::To(program.port);
    client.Write(Post("open", FreshTraceId(), "x"));
    Link link = server.Accept();
    CHECK_FALSE(link.Read().empty());
    client.Write(ahead);
    EndClient(client, how);
    CHECK(link.Ended());
    ++left;
    CHECK(WaitUntil([&] { return ReadCounter(program.port, "left") == left; }));
    CHECK(ReadCounter(program.port, "sent") == left);
  }
}

TEST_CASE("a client that ends behind a large body that no node takes has left") {
  Peer server;
  REQUIRE(listen(server.fd(), 0) == 0);
  Link before = Link::To(server.port);  // fills the backlog: the attempt's connection does not come up
  Program program(ConfigText({.known = Entry("s-1", server.port),
                              .connect_timeout = 60000000,
                              .admin = "127.0.0.1:0",
                              .deadline = 60000000}));
  Link client = Link::To(program.port);
  client.Write("POST /open HTTP/1.1\r\nX-Trace-Id: t\r\nContent-Length: 20000000\r\n\r\n" +
               std::string(150000, 'x'));
  CHECK(WaitUntil([&] { return ReadCounter(program.port, "sent") == 1; }));
  client.Close();
  CHECK(WaitUntil([&] { return ReadCounter(program.port, "left") == 1; }));
  CHECK(ReadCounter(program.port, "sent") == 1);
}

TEST_CASE("clients that leave in one burst are all seen before anything more is sent") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .deadline = 60000000}));
  constexpr int kClients = 300;
  std::vector<Link> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(Link::To(program.port));
    clients.back().Write(Get(std::to_string(i)));
  }
  CHECK(WaitUntil([&] { return ReadCounter(program.port, "taken") == kClients; }));
  const long sent = ReadCounter(program.port, "sent"), refused = ReadCounter(program.port, "throttled");
  CHECK(sent < kClients / 2);  // the others wait for their first attempt
  {
    const PausedProgram paused(program);
    for (Link& one : clients) one.Close();
  }
  CHECK(WaitUntil([&] { return ReadCounter(program.port, "left") + refused == kClients; }));
  CHECK(ReadCounter(program.port, "sent") == sent);
}

TEST_CASE("a request that crosses the close of an idle link gets no reset and is not forwarded") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .admin = "127.0.0.1:0"}));
  for (const std::string& crossing : {Post("open", "t", "x"), std::string("POST /op")}) {
    Link client = Link::To(program.port);
    client.Write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");  // its answer is not read yet
    REQUIRE(Readable(client.fd(), kTimeoutSeconds * 1000));
    REQUIRE(PostCall(program.admin, "/healthcheck/fail") == 200);
    REQUIRE(PeerEnds(client));
    client.Write(crossing);
    CHECK_FALSE(WasReset(client));
    CHECK(client.Read().starts_with("HTTP/1.1 200 "));
    CHECK(client.Ended());
    REQUIRE(PostCall(program.admin, "/healthcheck/ok") == 200);
  }
  CHECK(ReadCounter(program.port, "taken") == 0);
  CHECK_FALSE(server.HasPendingConnection());
}

TEST_CASE("unread bytes do not reset the last answer before the process ends") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port)}));
  Link client = Link::To(program.port);
  client.Write(Post("open", "t1", "x"));
  Link link = server.Accept();
  CHECK_FALSE(link.Read().empty());
  client.Write(std::string(160 * 1024, 'x'));  // more than is read ahead
  program.Signal(SIGTERM);
  std::string line = program.ReadLineExceptDiscovery();
  while (line.find("closing") == std::string::npos && !line.empty()) line = program.ReadLineExceptDiscovery();
  poll(nullptr, 0, 400);  // until it closes with hurry: only the open query keeps it running
  link.Write(Ok("owed"));
  CHECK(program.Wait() == 0);
  CHECK(client.Read().ends_with("owed"));
  CHECK_FALSE(WasReset(client));
}

TEST_CASE("a client that keeps sending behind its last answer is read only up to a limit") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port)}));
  Link client = Link::To(program.port);
  client.Write("POST /open HTTP/1.1\r\nX-Trace-Id: t\r\nContent-Length: 100000000\r\n\r\n");
  const std::string piece(65536, 'x');
  size_t sent_bytes = 0;
  for (ssize_t n = 1;
       n > 0 && sent_bytes<256 * piece.size() * 16; sent_bytes += n> 0 ? static_cast<size_t>(n) : 0)
    n = send(client.fd(), piece.data(), piece.size(), MSG_NOSIGNAL);
  CHECK(sent_bytes < 64 * 1024 * 1024);  // a large body, and the buffers of both machines
}

TEST_CASE("an HTTP/1.0 client can tell that an answer without a length was truncated") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .admin = "127.0.0.1:0"}));
  Link client = Link::To(program.port);
  client.Write("GET /look HTTP/1.0\r\nX-Trace-Id: t\r\n\r\n");
  Link link = server.Accept();
  CHECK_FALSE(link.Read().empty());
  link.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
  CHECK(client.Read().starts_with("HTTP/1.1 200 "));
  link.Reset();
  ssize_t n = 1;
  char c = 0;
  while (n == 1) n = recv(client.fd(), &c, 1, 0);
  CHECK(n < 0);
  CHECK(errno == ECONNRESET);  // an orderly close would mean that the answer is complete
}

TEST_CASE("no connection delays small writes: accepted, opened, adopted or handed over") {
  RealMachine machine;
  const auto sends_at_once = [](const Stream& stream) {
    int on = 0;
    socklen_t length = sizeof on;
    return getsockopt(DescriptorOf(stream), IPPROTO_TCP, TCP_NODELAY, &on, &length) == 0 && on != 0;
  };
  Peer given;
  const std::unique_ptr<Listener> own = machine.network().Listen(*ReadAddress("127.0.0.1:0"));
  const std::unique_ptr<Listener> adopted = machine.network().Adopt(given.fd());
  for (Listener* listener : {own.get(), adopted.get()}) {
    NoConnection why{};
    const std::unique_ptr<Stream> made = machine.network().Connect(listener->Local(), why);
    REQUIRE(made);
    std::unique_ptr<Stream> accepted;
    REQUIRE(WaitUntil([&] { return listener->Accept(accepted) == Listener::Accepted::kOne; }));
    CHECK(sends_at_once(*made));
    CHECK(sends_at_once(*accepted));
    // Like a link that another process handed over.
    const std::unique_ptr<Stream> passed = MakeStream(static_cast<RealScheduler&>(machine.scheduler()),
                                                      Descriptor(dup(DescriptorOf(*accepted))));
    REQUIRE(passed);
    CHECK(sends_at_once(*passed));
  }
}

}  // namespace burlfall
