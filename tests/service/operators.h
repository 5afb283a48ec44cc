// What the stories of service share: a folder that two processes see, and an operator's calls.
#ifndef BURLFALL_TESTS_SERVICE_OPERATORS_H_
#define BURLFALL_TESTS_SERVICE_OPERATORS_H_

#include <stdlib.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>

#include "stories/peers.h"

namespace burlfall {

class Folder {
 public:
  Folder() {
    std::string made = (std::filesystem::temp_directory_path() / "burlfall-XXXXXX").string();
    REQUIRE(mkdtemp(made.data()) != nullptr);
    path = made;
  }
  Folder(const Folder&) = delete;
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

// The status of an operator's call; 0: the connection ended without an answer.
inline int Call(uint16_t port, const std::string& method, const std::string& path) {
  Link link = Link::To(port);
  link.Write(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  const std::string answer = link.Read();
  return answer.empty() ? 0 : std::stoi(answer.substr(9, 3));
}
inline int Tell(uint16_t port, const std::string& path) { return Call(port, "POST", path); }
// What a query gets, which this server is to answer on a link of its own.
inline std::string Served(Link& client, Peer& server, const std::string& trace) {
  client.Write(Get(trace));
  Link link = server.Accept();
  link.Read();
  link.Write(Ok("fine", "Connection: close\r\n"));
  return client.Read();
}
// Until it holds, for kPatience at most.
template <typename Holds>
bool Until(Holds holds) {
  for (int i = 0; i < kPatience * 100; ++i) {
    if (holds()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return holds();
}
inline std::string Text(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}
inline int Up(uint16_t port) { return Call(port, "GET", "/up"); }

}  // namespace burlfall

#endif  // BURLFALL_TESTS_SERVICE_OPERATORS_H_
