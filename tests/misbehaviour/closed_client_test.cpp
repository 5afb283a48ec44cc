// Guards against attempts for clients that have closed their connection, and against ids that run twice.
#include "misbehaviour/clients.h"

namespace burlfall {
namespace {

constexpr milliseconds kGoneSlack{100};  // an attempt may begin so long after the close, by the pages

std::string Unsafe(const std::string& trace, const std::string& more = "") {
  return "POST /open HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + trace + "\r\n" + more +
         "Content-Length: 1\r\n\r\nx";
}

// The status of the answer on a new connection; 0 if there is none.
int StatusOf(uint16_t port, const std::string& request) {
  Link link = Link::To(port);
  link.Write(request);
  const std::string answer = link.Read();
  return answer.empty() ? 0 : std::stoi(answer.substr(9, 3));
}

}  // namespace

TEST_CASE("a client closes with much of its pipeline unread, and no request of it begins afterwards") {
  ScriptedNode node({.delay = milliseconds(300)});
  Program program(LeastMemoryConfig(node, 256), InService());
  for (const size_t count : {50u, 400u, 3000u}) {
    // A distant client: its end comes behind its requests, and no reset tells of it before.
    for (const bool distant : {false, true}) {
      const std::string run = Numbered(distant ? "d" : "p", count).append("-");
      std::string pipeline;
      for (size_t n = 0; n < count; ++n) pipeline += Unsafe(Numbered(run, n), ManyShortHeaders(20));
      Descriptor client = ConnectWithoutBlocking(program.port);
      pollfd one{client.get(), POLLOUT, 0};
      poll(&one, 1, 1000);
      size_t written = 0;
      const Clock::time_point until = Clock::now() + milliseconds(400);
      while (Clock::now() < until) {
        const ssize_t n =
            send(client.get(), pipeline.data() + written, pipeline.size() - written, MSG_NOSIGNAL);
        if (n > 0) written += static_cast<size_t>(n);
        // It has read what it was sent: closing over unread answers would reset the connection.
        char answers[65536];
        recv(client.get(), answers, sizeof answers, 0);
        poll(nullptr, 0, 5);
      }
      const Clock::time_point closed = Clock::now();
      distant ? static_cast<void>(shutdown(client.get(), SHUT_WR)) : static_cast<void>(client = Descriptor());
      poll(nullptr, 0, 1500);  // the requests that would be sent on afterwards
      int late = 0;
      double latest_ms = 0;
      for (const ScriptedNode::Seen& query : node.Queries()) {
        if (!query.trace.starts_with(run)) continue;
        late += query.at > closed + kGoneSlack;
        latest_ms = std::max(latest_ms, std::chrono::duration<double, std::milli>(query.at - closed).count());
      }
      WARN(count << (distant ? " pipelined by a distant client, " : " pipelined, ") << written << " of "
                 << pipeline.size() << " bytes taken: " << late << " began after the close, the latest "
                 << latest_ms << " ms after it");
      CHECK(written == pipeline.size());
      CHECK(late == 0);
    }
  }
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE(
    "a client closes while the process stands still and a connection comes up: nothing is sent for it") {
  Peer node;
  REQUIRE(listen(node.fd(), 0) == 0);
  Link filler =
      Link::To(node.port);  // fills the backlog: the attempt's connection comes up with its next SYN
  Program program(ConfigText({.known = Entry("s-1", node.port),
                              .sockets = 256,
                              .connect_timeout = 5000000,
                              .admin = "127.0.0.1:0",
                              .memory_mb = static_cast<int>(kLeastMemoryMb)}),
                  InService());
  Link client = Link::To(program.port);
  client.Write(Unsafe("gone"));
  const auto sent = [&] {
    Link asking = Link::To(program.port);
    asking.Write("GET /counters HTTP/1.1\r\n\r\n");
    return asking.Read().find(" sent=1 ") != std::string::npos;
  };
  REQUIRE(WaitUntil(sent));
  program.Signal(SIGSTOP);
  siginfo_t stopped{};
  REQUIRE(waitid(P_PID, static_cast<id_t>(program.pid()), &stopped, WSTOPPED | WNOWAIT) == 0);
  node.Accept();  // the filler
  Link attempt = node.Accept();
  client.Close();
  poll(nullptr, 0, 150);  // longer than an attempt may begin after the close
  program.Signal(SIGCONT);
  CHECK(attempt.Read().empty());
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE("an id that comes again after its client has left does not run twice") {
  ScriptedNode node({.delay = milliseconds(300)});
  Program program(LeastMemoryConfig(node, 256), InService());
  {
    Link client = Link::To(program.port);
    client.Write(Unsafe("left"));
    REQUIRE(WaitUntil([&] { return node.Count("left") == 1; }));
  }
  const int status = StatusOf(program.port, Unsafe("left"));
  CHECK(status >= 400);
  CHECK(status != 429);
  CHECK(status != 503);
  CHECK(node.Count("left") == 1);
  // Likewise once it was answered.
  CHECK(StatusOf(program.port, Unsafe("answered")) == 200);
  CHECK(StatusOf(program.port, Unsafe("answered")) >= 400);
  CHECK(node.Count("answered") == 1);
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE("the id of another client's open request is answered with an error, and runs once") {
  ScriptedNode node({.delay = milliseconds(450)});
  Program program(LeastMemoryConfig(node, 256), InService());
  Link first = Link::To(program.port);
  first.Write(Get("same"));
  REQUIRE(WaitUntil([&] { return node.Count("same") == 1; }));
  const int status = StatusOf(program.port, Get("same"));
  CHECK(status >= 400);
  CHECK(status < 500);
  CHECK(first.Read().starts_with("HTTP/1.1 200 "));
  CHECK(node.Count("same") == 1);
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE("an id that was refused and never sent on may come again") {
  ScriptedNode node;
  Program program(LeastMemoryConfig(node, 256), InService());
  CHECK(StatusOf(program.port, Get("again", "X-Expires-In: 1u\r\n")) == 503);
  CHECK(StatusOf(program.port, Get("again")) == 200);
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE("an id that runs at the old process of an upgrade does not run again at the new one") {
  TempFolder folder;
  Peer listener;
  ScriptedNode node({.delay = milliseconds(700)});
  const ChildEnvironment environment = {.variables = {{"TMPDIR", folder.path}, {"PROXY_PASSED_SOCKET", "5"}},
                                        .passed = listener.fd()};
  const std::string config = LeastMemoryConfig(node, 512, 2000);
  Program old(config, InService(), nullptr, environment);
  std::optional<Link> open = Link::To(listener.port), left = Link::To(listener.port);
  open->Write(Unsafe("open"));
  left->Write(Unsafe("left"));
  REQUIRE(WaitUntil([&] { return node.Count("open") + node.Count("left") == 2; }));
  left.reset();
  Program next(config, InService(), nullptr, environment);
  REQUIRE(CallStatus(next.admin, "GET", "/healthcheck") == 200);
  for (const char* id : {"open", "left"}) {
    CAPTURE(id);
    const int status = StatusOf(listener.port, Unsafe(id));
    CHECK(status >= 400);
    CHECK(status != 429);
    CHECK(status != 503);
    CHECK(node.Count(id) == 1);
  }
  CHECK(open->Read().starts_with("HTTP/1.1 200 "));
  CHECK(old.Wait(SIGTERM) == 0);
  CHECK(next.Wait(SIGTERM) == 0);
}

}  // namespace burlfall
