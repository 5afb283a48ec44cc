// Stories of crowds: connections that say nothing, or half a query, by hundreds, where descriptors are few.
#include <chrono>
#include <thread>
#include <vector>

#include "service/operators.h"

namespace burlfall {

TEST_CASE("a slow honest query is served while dead half queries go, and SIGTERM answers what is owed") {
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
    std::this_thread::sleep_for(std::chrono::milliseconds(200));  // the slowness itself
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
