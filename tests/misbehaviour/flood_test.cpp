// Guards other clients' answers, and the memory, against clients that send at full speed on one connection.
#include <memory>

#include "misbehaviour/clients.h"

namespace burlfall {
namespace {

constexpr size_t kFloods = 6;
constexpr milliseconds kDeadline{150};
constexpr milliseconds kSpan{1500};
constexpr size_t kMaxGrowthKb = 1024;  // between the first and the last third of a flood

using Text = std::function<std::string(size_t flood, size_t n)>;

void CheckFlood(const std::string& kind, const Text& text) {
  ScriptedNode node;
  Program program(LeastMemoryConfig(node, 256), InService());
  Bystander warm_up;
  for (int i = 0; i < 5; ++i) warm_up.Ask(program.port, milliseconds(1000));
  std::vector<std::unique_ptr<Flood>> floods;
  for (size_t i = 0; i < kFloods; ++i) {
    floods.push_back(
        std::make_unique<Flood>(program.port, [&text, i, n = size_t{0}]() mutable { return text(i, n++); }));
  }
  Bystander bystander;
  bystander.AskFor(program.port, kDeadline, kSpan / 3);
  const size_t resident = ResidentKb(program);
  bystander.AskFor(program.port, kDeadline, kSpan * 2 / 3);
  const size_t grown = std::max(ResidentKb(program), resident) - resident;
  size_t answered = 0;
  for (const auto& one : floods) answered += one->answered_bytes;
  floods.clear();
  const size_t peak = PeakKb(program);
  WARN(kFloods << " floods, " << kind << ": they were answered " << answered << " bytes; others: "
               << bystander.Text() << "; grown by " << grown << " kB, peak " << peak << " kB");
  CHECK(answered > 0);
  CHECK(bystander.lost == 0);
  CHECK(bystander.failed == 0);
#if !defined(__SANITIZE_ADDRESS__)
  CHECK(grown <= kMaxGrowthKb);
  CHECK(peak <= kLeastMemoryMb * 1024);
#endif
  CHECK(program.Wait(SIGTERM) == 0);
}

std::string Numbered(const std::string& name, size_t flood, size_t n) {
  return burlfall::Numbered(burlfall::Numbered(name, flood).append("-"), n);
}

}  // namespace

TEST_CASE("a flood of requests without an id does not keep other clients from their answers") {
  CheckFlood("no id", [](size_t, size_t) { return "GET /look HTTP/1.1\r\nHost: s\r\n\r\n"; });
}

TEST_CASE("a flood of questions whether it is up does not keep other clients from their answers") {
  CheckFlood("/up", [](size_t, size_t) { return "GET /up HTTP/1.1\r\nHost: s\r\n\r\n"; });
}

TEST_CASE("a flood of questions for the counters does not keep other clients from their answers") {
  CheckFlood("/counters", [](size_t, size_t) { return "GET /counters HTTP/1.1\r\nHost: s\r\n\r\n"; });
}

TEST_CASE(
    "a flood of ever new classes does not keep other clients from their answers, nor grow the process") {
  CheckFlood("new classes", [](size_t flood, size_t n) {
    return "GET " + Numbered("/class-", flood, n) + " HTTP/1.1\r\nX-Trace-Id: " + Numbered("c", flood, n) +
           "\r\n\r\n";
  });
}

TEST_CASE(
    "a flood of ever new tenants does not keep other clients from their answers, nor grow the process") {
  CheckFlood("new tenants", [](size_t flood, size_t n) {
    return "GET /look HTTP/1.1\r\nX-Customer: " + Numbered("tenant-", flood, n) +
           "\r\nX-Expires-In: 1u\r\nX-Trace-Id: " + Numbered("n", flood, n) + "\r\n\r\n";
  });
}

TEST_CASE("a flood of requests that can't be read does not keep other clients from their answers") {
  CheckFlood("no HTTP", [](size_t, size_t) { return "LOOK\r\n\r\n"; });
}

TEST_CASE("a flood of sound requests does not keep other clients from their answers") {
  CheckFlood("sound", [](size_t flood, size_t n) { return Get(Numbered("s", flood, n)); });
}

}  // namespace burlfall
