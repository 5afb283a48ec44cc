// Tests with hundreds of connections that send nothing or half a query, while descriptors are few.
#include <chrono>
#include <thread>
#include <vector>

#include "service/operators.h"

namespace burlfall {

TEST_CASE("a slow query is served while stalled ones are closed, and SIGTERM answers the open query") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .sockets = 128, .admin = "127.0.0.1:0"}));
  std::vector<Link> crowd;
  const std::string query = Get("slow");
  Link slow = Link::To(program.port);
  for (size_t at = 0; at < query.size(); at += query.size() / 9) {
    slow.Write(query.substr(at, query.size() / 9));
    for (int i = 0; i < 40; ++i) {
      crowd.push_back(Link::To(program.port));
      if (i % 2 == 0) crowd.back().TryWrite("GET /look HTTP/1.1\r\nX-Tr");
    }
    CHECK(program.Descriptors() < 128);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));  // the client is slow
  }
  Link link = server.Accept();
  CHECK(link.Read().find("X-Trace-Id: slow") != std::string::npos);
  program.Signal(SIGTERM);
  for (int i = 0; i < 20; ++i) crowd.push_back(Link::To(program.port));
  link.Write(Ok("served"));
  CHECK(slow.Read().ends_with("served"));
  CHECK(program.Wait() == 0);
}

}  // namespace burlfall
