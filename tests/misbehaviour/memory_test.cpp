// Guards the limit on the process's memory against clients that make it hold much.
#define CATCH_CONFIG_MAIN
#include "misbehaviour/clients.h"

namespace burlfall {
namespace {

constexpr size_t kLimitKb = kLeastMemoryMb * 1024;

// A few more than the connections that clients may hold (three quarters of what links may use).
size_t CrowdSize(int sockets) { return static_cast<size_t>(sockets) * 71 / 100; }

// Lets the crowd write for `span` while a bystander asks; reports the peak, and checks it and the bystander.
// Returns the program's log.
std::string CheckCrowd(const std::string& kind, const NodeScript& script, int sockets, size_t count,
                       const std::function<std::string(size_t)>& text_of, size_t write_piece = 1 << 20,
                       size_t read_piece = 0, milliseconds span = milliseconds(3000),
                       milliseconds pause = milliseconds(10)) {
  ScriptedNode node(script);
  Program program(LeastMemoryConfig(node, sockets), InService());
  const size_t before = ResidentKb(program);
  Crowd crowd(program.port, count, text_of);
  Bystander bystander;
  for (const Clock::time_point end = Clock::now() + span; Clock::now() < end;) {
    crowd.WriteMore(write_piece);
    if (read_piece > 0) crowd.ReadMore(read_piece);
    bystander.Ask(program.port, milliseconds(500));
    poll(nullptr, 0, static_cast<int>(pause.count()));
  }
  const size_t peak = PeakKb(program);
  WARN(kind << ": " << count << " clients, " << kLeastMemoryMb << " MB, " << sockets << " descriptors: peak "
            << peak << " kB (" << before << " kB before them); others: " << bystander.Text());
  CHECK(bystander.lost == 0);
#if !defined(__SANITIZE_ADDRESS__)
  CHECK(peak <= kLimitKb);
#endif
  crowd.Leave();
  poll(nullptr, 0, 600);  // the memory is looked at each half second
  CHECK(program.Wait(SIGTERM) == 0);
  return program.output;
}

std::string TraceOf(size_t i) { return Numbered("t", i); }

}  // namespace

TEST_CASE("clients that stop in a body of 65,000 bytes don't take the process over its memory limit") {
  for (const int sockets : {512, 1024}) {
    const std::string log = CheckCrowd("stopped bodies", {}, sockets, CrowdSize(sockets), [](size_t i) {
      return "POST /open HTTP/1.1\r\nX-Trace-Id: " + TraceOf(i) + "\r\n" + ManyShortHeaders(92) +
             "Content-Length: 65000\r\n\r\n" + std::string(64000, 'b');
    });
    CHECK(log.find("memory runs short") != std::string::npos);
    CHECK(log.find("memory suffices again") != std::string::npos);
  }
}

TEST_CASE("heads of many short fields that never end don't take the process over its memory limit") {
  CheckCrowd("heads without an end", {}, 1024, CrowdSize(1024), [](size_t i) {
    return "GET /look HTTP/1.1\r\nX-Trace-Id: " + TraceOf(i) + "\r\n" + ManyShortHeaders(1700);
  });
}

TEST_CASE("answers of 64,000 bytes that nobody reads don't take the process over its memory limit") {
  for (const int sockets : {512, 1024}) {
    CheckCrowd("unread answers", {.body = std::string(64000, 'a')}, sockets, CrowdSize(sockets),
               [](size_t i) {
                 std::string queries;
                 for (size_t n = 0; n < 400; ++n)
                   queries += Get(Numbered(TraceOf(i) + "-", n), ManyShortHeaders(20));
                 return queries + "GET /look HTTP/1.1\r\nX-Tr";
               });
  }
}

TEST_CASE("clients that ask again and again and read nothing don't take the process over its memory limit") {
  // One query each at a time, so that all are served: the answers wait for their readers.
  const size_t query_size = Get(TraceOf(100) + "-10").size();
  CheckCrowd(
      "answers nobody reads", {.body = std::string(64000, 'a')}, 1024, 500,
      [](size_t i) {
        std::string queries;
        for (size_t n = 10; n < 80; ++n) queries += Get(Numbered(TraceOf(i) + "-", n));
        return queries;
      },
      query_size, 0, milliseconds(5000), milliseconds(100));
}

TEST_CASE("long answers that are read slowly don't take the process over its memory limit") {
  CheckCrowd(
      "slowly read answers", {.body = std::string(4000000, 'a')}, 1024, CrowdSize(1024),
      [](size_t i) { return Get(TraceOf(i)); }, 1 << 20, 1024);
}

TEST_CASE("bodies of a megabyte that are written slowly don't take the process over its memory limit") {
  CheckCrowd(
      "slowly written bodies", {}, 1024, CrowdSize(1024),
      [](size_t i) {
        return "POST /open HTTP/1.1\r\nX-Trace-Id: " + TraceOf(i) + "\r\n" + ManyShortHeaders(92) +
               "Content-Length: 1000000\r\n\r\n" + std::string(1000000, 'b');
      },
      3000);
}

TEST_CASE("pipelined queries behind a slow one don't take the process over its memory limit") {
  CheckCrowd("pipelined", {.delay = milliseconds(3000)}, 1024, CrowdSize(1024), [](size_t i) {
    std::string queries;
    for (int n = 0; n < 900; ++n)
      queries += Get(Numbered(TraceOf(i) + "-", static_cast<size_t>(n)), ManyShortHeaders(4));
    return queries;
  });
}

}  // namespace burlfall
