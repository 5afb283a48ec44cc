// Stories of the second address: what operators tell a balancer that runs, and what comes of it.
#define CATCH_CONFIG_MAIN
#include "service/operators.h"

#include <chrono>
#include <thread>

namespace burlfall {

using Clock = std::chrono::steady_clock;

TEST_CASE("the second address answers its calls, and says no in plain words to what is none") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .admin = "127.0.0.1:0"}));
  REQUIRE(program.admin != 0);
  CHECK(Call(program.admin, "GET", "/healthcheck") == 200);
  CHECK(Tell(program.admin, "/nodes/s-9/maint") == 404);
  CHECK(Tell(program.admin, "/nodes/s-1/maint") == 200);
  CHECK(Tell(program.admin, "/nodes/s-1/maint") == 200);
  CHECK(Tell(program.admin, "/nodes/s-1/ready") == 200);
  CHECK(Call(program.admin, "GET", "/nodes/s-1/maint") == 405);
  CHECK(Call(program.admin, "GET", "/up") == 404);
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

TEST_CASE("without a second address there is none, and one that can't be used ends the start in one line") {
  Program none(ConfigText({}));
  CHECK(none.admin == 0);
  Program bad(ConfigText({.admin = "nowhere"}));
  CHECK(bad.Wait() == 2);
  CHECK(bad.output.ends_with(": admin: expected an address such as 10.0.0.4:9000, found \"nowhere\"\n"));
  CHECK(std::count(bad.output.begin(), bad.output.end(), '\n') == 1);
  Program variable(ConfigText({}), {"serve"}, nullptr, {.variables = {{"PROXY_ADMIN", "127.0.0.1:0"}}});
  CHECK(variable.admin != 0);
}

TEST_CASE("callers who say nothing or half a call never keep the next one waiting") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .sockets = 256, .admin = "127.0.0.1:0"}));
  std::vector<Link> silent;
  std::vector<Link> crowd;  // at the clients' door, more than fit
  for (int i = 0; i < 400; ++i) crowd.push_back(Link::To(program.port));
  for (int i = 0; i < 200; ++i) {
    silent.push_back(Link::To(program.admin));
    if (i % 2 == 0) silent.back().TryWrite("POST /healthcheck/fa");
    if (i % 10 != 9) continue;
    const auto began = Clock::now();
    CHECK(Call(program.admin, "GET", "/healthcheck") == 200);
    CHECK(Clock::now() - began < std::chrono::seconds(1));
  }
  CHECK(program.Descriptors() < 256);
}

TEST_CASE("a node that is taken out gets nothing until it is put back, then it is used again") {
  Peer one, two;
  Program program(
      ConfigText({.known = Entry("s-1", one.port) + "," + Entry("s-2", two.port), .admin = "127.0.0.1:0"}));
  REQUIRE(Tell(program.admin, "/nodes/s-1/maint") == 200);
  Link client = Link::To(program.port);
  for (int i = 0; i < 20; ++i) {
    CHECK(Served(client, two, "t" + std::to_string(i)).ends_with("fine"));
  }
  CHECK_FALSE(one.Called());
  REQUIRE(Tell(program.admin, "/nodes/s-1/ready") == 200);
  bool used = false;
  const auto until = Clock::now() + std::chrono::seconds(kPatience);
  for (int i = 0; !used && Clock::now() < until; ++i) {
    client.Write(Get("u" + std::to_string(i)));
    Peer& called = Peer::Called(one, two);
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
  before.push_back(Link::To(one.port));  // fills the line: the next connection does not come up for a while
  Program program(
      ConfigText({.known = Entry("s-1", one.port), .connect_timeout = 9000000, .admin = "127.0.0.1:0"}));
  Link client = Link::To(program.port);
  client.Write(Post("open", "t1", "x"));
  REQUIRE(Call(program.admin, "GET", "/healthcheck") == 200);  // it has been read by now
  REQUIRE(Tell(program.admin, "/nodes/s-1/maint") == 200);
  one.Accept();
  Link late = one.Accept();
  CHECK(late.Read().empty());
  CHECK(client.Read().starts_with("HTTP/1.1 50"));
}

TEST_CASE("nodes that were out when a process was killed are out in the next one in the same folder") {
  Folder folder;
  Peer one, two;
  const std::string config =
      ConfigText({.known = Entry("s-1", one.port) + "," + Entry("s-2", two.port), .admin = "127.0.0.1:0"});
  const World world = {.variables = {{"TMPDIR", folder.path}}};
  Program first(config, {"serve"}, nullptr, world);
  REQUIRE(Tell(first.admin, "/nodes/s-1/maint") == 200);
  first.Wait(SIGKILL);
  {
    Program second(config, {"serve"}, nullptr, world);
    CHECK(second.output.find("1 nodes are out by hand since before this start") != std::string::npos);
    Link client = Link::To(second.port);
    for (int i = 0; i < 10; ++i) {
      CHECK(Served(client, two, "t" + std::to_string(i)).ends_with("fine"));
    }
    CHECK_FALSE(one.Called());
    REQUIRE(Tell(second.admin, "/nodes/s-1/ready") == 200);
    CHECK(second.Wait(SIGTERM) == 0);
  }
  Program third(config, {"serve"}, nullptr, world);
  CHECK(third.output.find("are out") == std::string::npos);
  third.Wait(SIGKILL);
  std::ofstream(folder.path + "/burlfall-n1.out") << "burlfall-out 1\n17 s-1\n";  // torn
  Program fourth(config, {"serve"}, nullptr, world);
  CHECK(fourth.output.find("is damaged and was not read") != std::string::npos);
}

TEST_CASE("a call out that can't be kept is refused and changes nothing; one back holds all the same") {
  Folder folder;
  Peer one;
  Program program(ConfigText({.known = Entry("s-1", one.port), .admin = "127.0.0.1:0"}), {"serve"}, nullptr,
                  {.variables = {{"TMPDIR", folder.path}}});
  REQUIRE(Tell(program.admin, "/nodes/s-1/maint") == 200);
  std::filesystem::remove_all(folder.path);
  CHECK(Tell(program.admin, "/nodes/s-1/ready") == 200);
  CHECK(Tell(program.admin, "/nodes/s-1/maint") == 500);
  Link client = Link::To(program.port);
  client.Write(Get("t"));
  Link link = one.Accept();
  CHECK_FALSE(link.Read().empty());
}

TEST_CASE("a drain by hand says no, loses no query, closes what is idle, and can be taken back") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .admin = "127.0.0.1:0"}));
  Link idle = Link::To(program.port), busy = Link::To(program.port), silent = Link::To(program.port);
  CHECK(Served(idle, server, "t1").find("Connection: close") == std::string::npos);
  busy.Write(Get("t2"));
  Link at_work = server.Accept();
  at_work.Read();
  const auto began = Clock::now();
  REQUIRE(Tell(program.admin, "/healthcheck/fail") == 200);
  REQUIRE(Tell(program.admin, "/healthcheck/fail") == 200);
  CHECK(Up(program.port) == 503);
  CHECK(Call(program.admin, "GET", "/healthcheck") == 200);
  Link late = Link::To(program.port);  // the front has not looked yet
  CHECK(Served(late, server, "t3").find("Connection: close") != std::string::npos);
  CHECK(idle.Ended());
  CHECK(silent.Ended());
  CHECK(Clock::now() - began < std::chrono::seconds(4));
  at_work.Write(Ok("late", "Connection: close\r\n"));
  const std::string answer = busy.Read();
  CHECK(answer.ends_with("late"));
  CHECK(answer.find("Connection: close") != std::string::npos);
  REQUIRE(Tell(program.admin, "/healthcheck/ok") == 200);
  CHECK(Up(program.port) == 200);
  Link again = Link::To(program.port);
  CHECK(Served(again, server, "t4").find("Connection: close") == std::string::npos);
  CHECK(Tell(program.admin, "/healthcheck/ok") == 200);
}

TEST_CASE("SIGTERM and SIGHUP during a drain by hand") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .admin = "127.0.0.1:0"}));
  REQUIRE(Tell(program.admin, "/healthcheck/fail") == 200);
  program.Signal(SIGHUP);
  std::string line = program.Line();
  while (line.find("configuration read anew") == std::string::npos && !line.empty()) line = program.Line();
  CHECK(Up(program.port) == 503);  // it drains on
  Link client = Link::To(program.port);
  client.Write(Get("t1"));
  Link link = server.Accept();
  link.Read();
  program.Signal(SIGTERM);
  while (line.find("draining: ") == std::string::npos && !line.empty()) line = program.Line();
  CHECK(Tell(program.admin, "/healthcheck/ok") == 409);
  CHECK(Call(program.admin, "GET", "/healthcheck") == 503);
  link.Write(Ok("owed"));
  CHECK(client.Read().ends_with("owed"));
  CHECK(program.Wait() == 0);
}

}  // namespace burlfall
