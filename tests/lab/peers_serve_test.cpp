// The program that serves with a peer, between scripted servers.
#define CATCH_CONFIG_MAIN
#include "stories/peers.h"

namespace burlfall {

TEST_CASE("each peer serves on burlfall's own sockets, and ends in order") {
  const std::string policy =
      GENERATE("random", "round_robin", "least_in_flight", "two_choices", "failure_count");
  CAPTURE(policy);
  Peer server, other;
  const std::string known = Entry("s-1", server.port) + "," + Entry("s-2", other.port, "Terminating");
  Program program(ConfigText({.known = known}), {"--policy", policy});
  Link client = Link::To(program.port);
  client.Write(Get("t1"));
  Link link = server.Accept();
  link.Read();
  link.Write(Ok("first"));
  CHECK(client.Read().ends_with("first"));
  LetServerLinksRest();
  client.Write(Post("open", "t2", "x"));
  CHECK(link.Read().ends_with("x"));
  link.Write("HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n");
  CHECK(client.Read().starts_with("HTTP/1.1 502 "));
  CHECK_FALSE(server.HasPendingConnection());
  CHECK_FALSE(other.HasPendingConnection());
  CHECK(program.Wait(SIGTERM) == 0);
  CHECK(program.output.find(" taken=2 sent=2 served=1 ") != std::string::npos);
}

TEST_CASE("a peer that is not known, or properties that capture, are one refusal") {
  const std::string config = ConfigText({.known = Entry("s-1", 1)});
  CHECK(Program(config, {}).Wait() == 2);
  CHECK(Program(config, {"--policy", "magic"}).Wait() == 2);
  CHECK(Program(config, {"--help"}).Wait() == 0);
  TextFile properties("capture.memory_kb = 512\n");
  CHECK(Program(config, {"--policy", "random", "--config", properties.path}).Wait() == 1);
}

}  // namespace burlfall
