// Tests of the admin address: operator calls to a running balancer and their effects.
#define CATCH_CONFIG_MAIN
#include "service/operators.h"

#include <chrono>
#include <thread>

namespace burlfall {

using Clock = std::chrono::steady_clock;

TEST_CASE("the admin address answers its calls, and rejects invalid ones with their status") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .admin = "127.0.0.1:0"}));
  REQUIRE(program.admin != 0);
  CHECK(CallStatus(program.admin, "GET", "/healthcheck") == 200);
  CHECK(PostCall(program.admin, "/nodes/s-9/maint") == 404);
  CHECK(PostCall(program.admin, "/nodes/s-1/maint") == 200);
  CHECK(PostCall(program.admin, "/nodes/s-1/maint") == 200);
  CHECK(PostCall(program.admin, "/nodes/s-1/ready") == 200);
  CHECK(CallStatus(program.admin, "GET", "/nodes/s-1/maint") == 405);
  CHECK(CallStatus(program.admin, "GET", "/up") == 404);
  Link bad = Link::To(program.admin);
  bad.Write("nonsense\r\n\r\n");
  CHECK(bad.Read().starts_with("HTTP/1.1 400 "));
  Link longest = Link::To(program.admin);
  longest.TryWrite("GET /" + std::string(20000, 'x'));
  CHECK(longest.Read().starts_with("HTTP/1.1 431 "));
  Link large = Link::To(program.admin);
  large.Write("POST /healthcheck/fail HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
  CHECK(large.Read().starts_with("HTTP/1.1 413 "));
  Link pieces = Link::To(program.admin);
  for (const char c : std::string("GET /healthcheck HTTP/1.1\r\n\r\n")) pieces.Write(std::string(1, c));
  CHECK(pieces.Read().starts_with("HTTP/1.1 200 "));
  CHECK(pieces.Ended());
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE("no admin address is opened unless configured, and an invalid one fails the start with one line") {
  Program none(ConfigText({}));
  CHECK(none.admin == 0);
  Program bad(ConfigText({.admin = "nowhere"}));
  CHECK(bad.Wait() == 2);
  CHECK(bad.output.ends_with(": admin: expected an address such as 10.0.0.4:9000, found \"nowhere\"\n"));
  CHECK(std::count(bad.output.begin(), bad.output.end(), '\n') == 1);
  Program variable(ConfigText({}), {"serve"}, nullptr, {.variables = {{"PROXY_ADMIN", "127.0.0.1:0"}}});
  CHECK(variable.admin != 0);
}

TEST_CASE("admin connections that send nothing or half a call do not delay the next call") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .sockets = 256, .admin = "127.0.0.1:0"}));
  std::vector<Link> silent;
  std::vector<Link> crowd;  // client links, more than fit
  for (int i = 0; i < 400; ++i) crowd.push_back(Link::To(program.port));
  for (int i = 0; i < 200; ++i) {
    silent.push_back(Link::To(program.admin));
    if (i % 2 == 0) silent.back().TryWrite("POST /healthcheck/fa");
    if (i % 10 != 9) continue;
    const auto began = Clock::now();
    CHECK(CallStatus(program.admin, "GET", "/healthcheck") == 200);
    CHECK(Clock::now() - began < std::chrono::seconds(1));
  }
  CHECK(program.Descriptors() < 256);
}

TEST_CASE("a node that is taken out gets nothing until it is put back, then it is used again") {
  Peer one, two;
  Program program(
      ConfigText({.known = Entry("s-1", one.port) + "," + Entry("s-2", two.port), .admin = "127.0.0.1:0"}));
  REQUIRE(PostCall(program.admin, "/nodes/s-1/maint") == 200);
  Link client = Link::To(program.port);
  for (int i = 0; i < 20; ++i) {
    CHECK(ServeQuery(client, two, "t" + std::to_string(i)).ends_with("fine"));
  }
  CHECK_FALSE(one.HasPendingConnection());
  REQUIRE(PostCall(program.admin, "/nodes/s-1/ready") == 200);
  bool used = false;
  const auto until = Clock::now() + std::chrono::seconds(kTimeoutSeconds);
  for (int i = 0; !used && Clock::now() < until; ++i) {
    client.Write(Get("u" + std::to_string(i)));
    Peer& called = Peer::FirstContacted(one, two);
    used = &called == &one;
    Link link = called.Accept();
    link.Read();
    link.Write(Ok("back", "Connection: close\r\n"));
    CHECK(client.Read().ends_with("back"));
  }
  CHECK(used);
}

TEST_CASE("a node taken out while a link to it comes up gets nothing on that link") {
  Peer one;
  REQUIRE(listen(one.fd(), 0) == 0);
  std::vector<Link> before;
  before.push_back(Link::To(one.port));  // fills the accept queue: the next connection is delayed
  Program program(
      ConfigText({.known = Entry("s-1", one.port), .connect_timeout = 9000000, .admin = "127.0.0.1:0"}));
  Link client = Link::To(program.port);
  client.Write(Post("open", "t1", "x"));
  REQUIRE(CallStatus(program.admin, "GET", "/healthcheck") == 200);  // the query has been read by now
  REQUIRE(PostCall(program.admin, "/nodes/s-1/maint") == 200);
  one.Accept();
  Link late = one.Accept();
  CHECK(late.Read().empty());
  CHECK(client.Read().starts_with("HTTP/1.1 50"));
}

TEST_CASE(
    "nodes that were out of service when a process was killed are so in the next one with the same folder") {
  TempFolder folder;
  Peer one, two;
  const std::string config =
      ConfigText({.known = Entry("s-1", one.port) + "," + Entry("s-2", two.port), .admin = "127.0.0.1:0"});
  const ChildEnvironment environment = {.variables = {{"TMPDIR", folder.path}}};
  Program first(config, {"serve"}, nullptr, environment);
  REQUIRE(PostCall(first.admin, "/nodes/s-1/maint") == 200);
  first.Wait(SIGKILL);
  {
    Program second(config, {"serve"}, nullptr, environment);
    CHECK(second.output.find("1 nodes are out by hand since before this start") != std::string::npos);
    Link client = Link::To(second.port);
    for (int i = 0; i < 10; ++i) {
      CHECK(ServeQuery(client, two, "t" + std::to_string(i)).ends_with("fine"));
    }
    CHECK_FALSE(one.HasPendingConnection());
    REQUIRE(PostCall(second.admin, "/nodes/s-1/ready") == 200);
    CHECK(second.Wait(SIGTERM) == 0);
  }
  Program third(config, {"serve"}, nullptr, environment);
  CHECK(third.output.find("are out") == std::string::npos);
  third.Wait(SIGKILL);
  std::ofstream(folder.path + "/burlfall-n1.out") << "burlfall-out 1\n17 s-1\n";  // truncated
  Program fourth(config, {"serve"}, nullptr, environment);
  CHECK(fourth.output.find("is damaged and was not read") != std::string::npos);
}

TEST_CASE("a node can't be taken out of service if that can't be saved, but it can be put back") {
  TempFolder folder;
  Peer one;
  Program program(ConfigText({.known = Entry("s-1", one.port), .admin = "127.0.0.1:0"}), {"serve"}, nullptr,
                  {.variables = {{"TMPDIR", folder.path}}});
  REQUIRE(PostCall(program.admin, "/nodes/s-1/maint") == 200);
  std::filesystem::remove_all(folder.path);
  CHECK(PostCall(program.admin, "/nodes/s-1/ready") == 200);
  CHECK(PostCall(program.admin, "/nodes/s-1/maint") == 500);
  Link client = Link::To(program.port);
  client.Write(Get("t"));
  Link link = one.Accept();
  CHECK_FALSE(link.Read().empty());
}

TEST_CASE("a manual drain fails the health check, loses no query, closes idle links, and can be reverted") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .admin = "127.0.0.1:0"}));
  Link idle = Link::To(program.port), busy = Link::To(program.port), silent = Link::To(program.port);
  CHECK(ServeQuery(idle, server, "t1").find("Connection: close") == std::string::npos);
  busy.Write(Get("t2"));
  Link open_attempt = server.Accept();
  open_attempt.Read();
  const auto began = Clock::now();
  REQUIRE(PostCall(program.admin, "/healthcheck/fail") == 200);
  REQUIRE(PostCall(program.admin, "/healthcheck/fail") == 200);
  CHECK(UpStatus(program.port) == 503);
  CHECK(CallStatus(program.admin, "GET", "/healthcheck") == 200);
  Link late = Link::To(program.port);  // the load balancer in front has not checked /up yet
  CHECK(ServeQuery(late, server, "t3").find("Connection: close") != std::string::npos);
  CHECK(idle.Ended());
  CHECK(silent.Ended());
  CHECK(Clock::now() - began < std::chrono::seconds(4));
  open_attempt.Write(Ok("late", "Connection: close\r\n"));
  const std::string answer = busy.Read();
  CHECK(answer.ends_with("late"));
  CHECK(answer.find("Connection: close") != std::string::npos);
  REQUIRE(PostCall(program.admin, "/healthcheck/ok") == 200);
  CHECK(UpStatus(program.port) == 200);
  Link again = Link::To(program.port);
  CHECK(ServeQuery(again, server, "t4").find("Connection: close") == std::string::npos);
  CHECK(PostCall(program.admin, "/healthcheck/ok") == 200);
}

TEST_CASE("SIGTERM and SIGHUP during a manual drain") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .admin = "127.0.0.1:0"}));
  REQUIRE(PostCall(program.admin, "/healthcheck/fail") == 200);
  program.Signal(SIGHUP);
  std::string line = program.ReadLineExceptDiscovery();
  while (line.find("configuration read anew") == std::string::npos && !line.empty())
    line = program.ReadLineExceptDiscovery();
  CHECK(UpStatus(program.port) == 503);  // still draining
  Link client = Link::To(program.port);
  client.Write(Get("t1"));
  Link link = server.Accept();
  link.Read();
  program.Signal(SIGTERM);
  while (line.find("draining: ") == std::string::npos && !line.empty())
    line = program.ReadLineExceptDiscovery();
  CHECK(PostCall(program.admin, "/healthcheck/ok") == 409);
  CHECK(CallStatus(program.admin, "GET", "/healthcheck") == 503);
  link.Write(Ok("owed"));
  CHECK(client.Read().ends_with("owed"));
  CHECK(program.Wait() == 0);
}

}  // namespace burlfall
