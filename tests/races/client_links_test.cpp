// What crosses on a client's link: a request, its answer, the client's end and ours.
#define CATCH_CONFIG_MAIN
#include <netinet/tcp.h>

#include <memory>
#include <string>
#include <vector>

#include "io/real_network.h"
#include "service/operators.h"

namespace burlfall {
namespace {

// All that comes meanwhile comes to the program in one batch.
class StandsStill {
 public:
  explicit StandsStill(const Program& program) : program_(program) {
    program.Signal(SIGSTOP);
    siginfo_t info{};
    REQUIRE(waitid(P_PID, static_cast<id_t>(program.pid()), &info, WSTOPPED | WNOWAIT) == 0);
  }
  StandsStill(const StandsStill&) = delete;
  ~StandsStill() { program_.Signal(SIGCONT); }

 private:
  const Program& program_;
};

std::string Ask(Link& link, const std::string& path) {
  link.Write("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  return link.Read();
}

long Count(uint16_t port, const std::string& name) {
  Link link = Link::To(port);
  const std::string all = Ask(link, "/counters");
  const size_t at = all.find(name + "=");
  return at == std::string::npos ? -1 : std::stol(all.substr(at + name.size() + 1));
}

enum class End { kClose, kSendingAlone, kReset };

void Finish(Link& link, End how) {
  how == End::kReset ? link.Reset() : how == End::kClose ? link.Close() : void(shutdown(link.fd(), SHUT_WR));
}

// Whether the other side answered what came by a reset. On loopback that is here once the write returns.
bool WasReset(const Link& link) {
  int error = 0;
  socklen_t length = sizeof error;
  REQUIRE(getsockopt(link.fd(), SOL_SOCKET, SO_ERROR, &error, &length) == 0);
  return error != 0;
}

bool OtherSideEnds(const Link& link) {
  pollfd one{link.fd(), POLLRDHUP, 0};
  return poll(&one, 1, kPatience * 1000) == 1 && (one.revents & POLLRDHUP) != 0;
}

}  // namespace

TEST_CASE("a client whose request and end come in one batch has left, and nothing is sent") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port)}));
  const std::string once = Post("open", "t1", "x");
  long left = 0;
  for (const std::string& requests : {once, once + Get("t2"), Post("pay", "t3", std::string(60000, 'x'))}) {
    for (const End how : {End::kClose, End::kSendingAlone, End::kReset}) {
      CAPTURE(requests.size(), static_cast<int>(how));
      Link client = Link::To(program.port);
      CHECK(Ask(client, "/up").starts_with("HTTP/1.1 200 "));
      {
        const StandsStill still(program);
        client.Write(requests);
        Finish(client, how);
      }
      ++left;
      CHECK(Until([&] { return Count(program.port, "left") == left || server.Called(); }));
      CHECK(Count(program.port, "sent") == 0);
      if (how == End::kSendingAlone) CHECK(client.Read().empty());
    }
  }
  CHECK(Count(program.port, "taken") == left);
  CHECK_FALSE(server.Called());
}

TEST_CASE("a client that ends behind more requests than are read ahead has left") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .deadline = 60000000}));
  std::string ahead;
  while (ahead.size() < 100 * 1024) ahead += Post("open", "next", std::string(1000, 'x'));
  long left = 0;
  for (const End how : {End::kClose, End::kSendingAlone, End::kReset}) {
    CAPTURE(static_cast<int>(how));
    Link client = Link::To(program.port);
    client.Write(Post("open", "t1", "x"));
    Link link = server.Accept();
    CHECK_FALSE(link.Read().empty());
    client.Write(ahead);
    Finish(client, how);
    CHECK(link.Ended());
    ++left;
    CHECK(Until([&] { return Count(program.port, "left") == left; }));
    CHECK(Count(program.port, "sent") == left);
  }
}

TEST_CASE("a client that ends behind a large body that no node takes has left") {
  Peer server;
  REQUIRE(listen(server.fd(), 0) == 0);
  Link before = Link::To(server.port);  // fills the line: the attempt's connection does not come up
  Program program(ConfigText({.known = Entry("s-1", server.port),
                              .connect_timeout = 60000000,
                              .admin = "127.0.0.1:0",
                              .deadline = 60000000}));
  Link client = Link::To(program.port);
  client.Write("POST /open HTTP/1.1\r\nX-Trace-Id: t\r\nContent-Length: 20000000\r\n\r\n" +
               std::string(150000, 'x'));
  CHECK(Until([&] { return Count(program.port, "sent") == 1; }));
  client.Close();
  CHECK(Until([&] { return Count(program.port, "left") == 1; }));
  CHECK(Count(program.port, "sent") == 1);
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
  CHECK(Until([&] { return Count(program.port, "taken") == kClients; }));
  const long sent = Count(program.port, "sent"), refused = Count(program.port, "throttled");
  CHECK(sent < kClients / 2);  // the others wait for their first attempt
  {
    const StandsStill still(program);
    for (Link& one : clients) one.Close();
  }
  CHECK(Until([&] { return Count(program.port, "left") + refused == kClients; }));
  CHECK(Count(program.port, "sent") == sent);
}

TEST_CASE("a request that crosses the end of a resting link finds no reset, and is never sent on") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .admin = "127.0.0.1:0"}));
  for (const std::string& crossing : {Post("open", "t", "x"), std::string("POST /op")}) {
    Link client = Link::To(program.port);
    client.Write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");  // its answer is not read yet
    REQUIRE(Readable(client.fd(), kPatience * 1000));
    REQUIRE(Tell(program.admin, "/healthcheck/fail") == 200);
    REQUIRE(OtherSideEnds(client));
    client.Write(crossing);
    CHECK_FALSE(WasReset(client));
    CHECK(client.Read().starts_with("HTTP/1.1 200 "));
    CHECK(client.Ended());
    REQUIRE(Tell(program.admin, "/healthcheck/ok") == 200);
  }
  CHECK(Count(program.port, "taken") == 0);
  CHECK_FALSE(server.Called());
}

TEST_CASE("the last answer before the process ends is no reset's over bytes that were not read") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port)}));
  Link client = Link::To(program.port);
  client.Write(Post("open", "t1", "x"));
  Link link = server.Accept();
  CHECK_FALSE(link.Read().empty());
  client.Write(std::string(160 * 1024, 'x'));  // more than is read ahead
  program.Signal(SIGTERM);
  std::string line = program.Line();
  while (line.find("closing") == std::string::npos && !line.empty()) line = program.Line();
  poll(nullptr, 0, 400);  // until it hurries: only what is owed keeps it
  link.Write(Ok("owed"));
  CHECK(program.Wait() == 0);
  CHECK(client.Read().ends_with("owed"));
  CHECK_FALSE(WasReset(client));
}

TEST_CASE("a client that pours on behind its last answer is read for so many bytes and no more") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port)}));
  Link client = Link::To(program.port);
  client.Write("POST /open HTTP/1.1\r\nX-Trace-Id: t\r\nContent-Length: 100000000\r\n\r\n");
  const std::string piece(65536, 'x');
  size_t poured = 0;
  for (ssize_t n = 1; n > 0 && poured<256 * piece.size() * 16; poured += n> 0 ? static_cast<size_t>(n) : 0)
    n = send(client.fd(), piece.data(), piece.size(), MSG_NOSIGNAL);
  CHECK(poured < 64 * 1024 * 1024);  // a large body, and the buffers of both machines
}

TEST_CASE("an old client can tell that an answer without a length was broken off") {
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
  CHECK(errno == ECONNRESET);  // an end in order would say that it was whole
}

TEST_CASE("small writes are never held back on any connection, accepted, made, adopted or watched anew") {
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
    REQUIRE(Until([&] { return listener->Accept(accepted) == Listener::Accepted::kOne; }));
    CHECK(sends_at_once(*made));
    CHECK(sends_at_once(*accepted));
    // As one that another process passed on.
    const std::unique_ptr<Stream> passed = StreamOver(static_cast<RealScheduler&>(machine.scheduler()),
                                                      Descriptor(dup(DescriptorOf(*accepted))));
    REQUIRE(passed);
    CHECK(sends_at_once(*passed));
  }
}

}  // namespace burlfall
