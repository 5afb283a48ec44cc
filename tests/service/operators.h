// Helpers of the service tests: a temporary folder that two processes can share, and operator calls.
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

class TempFolder {
 public:
  TempFolder() {
    std::string made = (std::filesystem::temp_directory_path() / "burlfall-XXXXXX").string();
    REQUIRE(mkdtemp(made.data()) != nullptr);
    path = made;
  }
  TempFolder(const TempFolder&) = delete;
  ~TempFolder() { std::filesystem::remove_all(path); }
  std::string path;
};

// The status of an operator's call. 0: the connection ended without an answer.
inline int CallStatus(uint16_t port, const std::string& method, const std::string& path) {
  Link link = Link::To(port);
  link.Write(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  const std::string answer = link.Read();
  return answer.empty() ? 0 : std::stoi(answer.substr(9, 3));
}
inline int PostCall(uint16_t port, const std::string& path) { return CallStatus(port, "POST", path); }
// Sends a query, has `server` answer it on a new link, and returns the answer that the client receives.
inline std::string ServeQuery(Link& client, Peer& server, const std::string& trace) {
  client.Write(Get(trace));
  Link link = server.Accept();
  link.Read();
  link.Write(Ok("fine", "Connection: close\r\n"));
  return client.Read();
}
// Waits until the condition holds, for at most kTimeoutSeconds; returns whether it holds.
template <typename Holds>
bool WaitUntil(Holds holds) {
  for (int i = 0; i < kTimeoutSeconds * 100; ++i) {
    if (holds()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return holds();
}
inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}
// The status of GET /up.
inline int UpStatus(uint16_t port) { return CallStatus(port, "GET", "/up"); }

}  // namespace burlfall

#endif  // BURLFALL_TESTS_SERVICE_OPERATORS_H_
