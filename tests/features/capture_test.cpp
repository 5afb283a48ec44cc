// The capture: what is recorded, what the ring drops, and that a replay takes the same decisions.
#include "observe/capture.h"

#include <fcntl.h>
#include <sys/stat.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <sstream>
#include <thread>

#include "replay/replay.h"
#include "stories/peers.h"

namespace burlfall {
namespace {

constexpr char kToken[] = "v1.k1.secret.all.99.sig";

std::vector<std::string> RecordLines(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with('{')) lines.push_back(line);
  }
  return lines;
}

std::string Joined(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text.append(line).append("\n");
  return text;
}

long CountOf(const std::string& text, const std::string& what) {
  long n = 0;
  for (size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) ++n;
  return n;
}

struct ReplayResult {
  explicit ReplayResult(const std::string& capture, const std::string& config = "") {
    TextFile file(capture), properties(config);
    std::ostringstream out, errors;
    code = Replay(file.path, properties.path, *MakeRealFiles(), out, errors);
    text = out.str() + errors.str();
  }
  int code = -1;
  std::string text;
};

// A server that answers with a mix of successes and errors until it is destroyed.
class MixedServer {
 public:
  MixedServer() : thread_([this] { Run(); }) {}
  ~MixedServer() {
    done_ = true;
    thread_.join();
  }
  uint16_t port() const { return peer_.port; }

 private:
  void Run() {
    std::vector<std::thread> threads;
    while (!done_) {
      if (!Readable(peer_.fd(), 5)) continue;
      Descriptor fd(accept4(peer_.fd(), nullptr, nullptr,
                            SOCK_CLOEXEC));  // no CHECK: Catch2 assertions are not thread-safe
      threads.emplace_back([this, link = std::make_shared<Link>(std::move(fd))] {
        while (!link->Read().empty()) {
          const int n = ++count_;
          link->TryWrite(n % 7 == 0    ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
                         : n % 11 == 0 ? "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
                                       : Ok("fine"));
        }
      });
    }
    for (std::thread& thread : threads) thread.join();
  }

  Peer peer_;
  std::atomic<bool> done_ = false;
  std::atomic<int> count_ = 0;
  std::thread thread_;
};

// Sends queries of all classes from several clients at a time; some clients disconnect before the answer.
void Load(uint16_t port, int rounds) {
  for (int i = 0; i < rounds; ++i) {
    std::vector<Link> clients;
    for (int k = 0; k < 6; ++k) {
      clients.push_back(Link::To(port));
      std::string trace = std::string("t").append(std::to_string(i * 6 + k));
      if (k == 0) {
        clients.back().Write(
            Get(trace, std::string("X-Swap-Token: ") + kToken + "\r\nX-Expires-In: 900m\r\n"));
      } else if (k == 5 && i % 4 == 0) {
        clients.back().Write(Post("nothing", trace, "x"));  // an unknown class
      } else {
        clients.back().Write(Post(k % 2 == 0 ? "pay" : "open", trace, "x"));
      }
    }
    for (size_t k = 0; k < clients.size(); ++k) {
      if (k != 3 || i % 5 != 0) clients[k].Read();  // otherwise the client disconnects
    }
  }
}

}  // namespace

TEST_CASE("a capture that version 0.1.0 made is refused by name, in one line") {
  TextFile properties("capture.enabled = true\n");
  std::ostringstream out, errors;
  const std::string old = TEST_DATA "/features/capture_0_1_0.jsonl";
  CHECK(Replay(old, properties.path, *MakeRealFiles(), out, errors) == kReplayImpossible);
  CHECK(errors.str() == "burlfall: " + old +
                            ": line 1: captured by version 0.1.0 with decisions of format 1: this version "
                            "replays format 5 alone\n");
  CHECK(out.str().empty());
}

TEST_CASE("a captured loopback run replays without a difference") {
  MixedServer one, two, three;
  TextFile file("capture.enabled = true\n");
  Program program(ConfigText({.known = Entry("s-1", one.port()) + "," + Entry("s-2", two.port()) + "," +
                                       Entry("s-3", three.port())}),
                  {"serve", "--config", file.path});
  Load(program.port, 20);
  program.Signal(SIGUSR1);
  CHECK(program.Wait(SIGTERM) == 0);
  CHECK(program.output.find("burlfall: counters: taken=120 ") != std::string::npos);
  CHECK(program.output.find(kToken) == std::string::npos);
  CHECK(program.output.find("secret") == std::string::npos);
  const std::vector<std::string> lines = RecordLines(program.output);
  REQUIRE(lines.size() > 300);
  CHECK(lines[0].find("\"kind\":\"start\"") != std::string::npos);
  CHECK(lines[0].find("\"seed\":\"8c1f30d27a5be964\",\"settings\":{\"Balancers\":1,") != std::string::npos);
  CHECK(CountOf(program.output, "\"kind\":\"query\"") == 120);
  const auto first = std::find_if(lines.begin(), lines.end(), [](const std::string& line) {
    return line.find("\"did\":\"send\"") != std::string::npos;
  });
  REQUIRE(first != lines.end());
  for (std::string part : {"{\"t\":", ",\"trace\":\"t", ",\"class\":\"", ",\"tenant\":\"-\"", ",\"list\":1,",
                           ",\"chose\":\"s-"}) {
    CAPTURE(part);
    CHECK(first->find(part) != std::string::npos);
  }

  ReplayResult same(program.output);  // the records are mixed with other lines on standard error
  CAPTURE(same.text);
  CHECK(same.code == kReplayMatches);
  CHECK(same.text.find(" lines that are no records skipped\n") != std::string::npos);
  CHECK(same.text.ends_with(" 0 differences\n"));

  SECTION("another choice is a difference, and its line is printed") {
    std::vector<std::string> bent = lines;
    const size_t at = static_cast<size_t>(first - lines.begin());
    const size_t id = bent[at].find("\"backend\":") + 10;
    bent[at].replace(id, bent[at].find(',', id) - id, "7");
    ReplayResult differs(Joined(bent));
    CHECK(differs.code == kReplayDiffers);
    CHECK(differs.text.starts_with("line " + std::to_string(at + 1) + ": " + bent[at] +
                                   "\n  replay chose: send "));
    CHECK(differs.text.ends_with(": 1 difference\n"));
  }
  SECTION("a choice left out is a difference") {
    std::vector<std::string> bent = lines;
    bent.erase(bent.begin() + (first - lines.begin()));
    CHECK(ReplayResult(Joined(bent)).code == kReplayDiffers);
  }
  SECTION("a choice made up is a difference") {
    std::vector<std::string> bent = lines;
    bent.insert(bent.begin() + (first - lines.begin()), *first);
    CHECK(ReplayResult(Joined(bent)).code == kReplayDiffers);
  }
  SECTION("other settings are tried, and said to be others") {
    std::string config = ConfigText({.known = Entry("s-1", 1)});
    CHECK(ReplayResult(Joined(lines), config).code == kReplayMatches);
    config.replace(config.find("\"SendCap\":5"), 11, "\"SendCap\":1");
    ReplayResult other(Joined(lines), config);
    CHECK(other.code == kReplayDiffers);
    CHECK(other.text.starts_with("replayed with the settings of the configuration"));
  }
  SECTION("a torn last line is skipped and reported, anything else that is torn stops the replay") {
    const std::string whole = Joined(lines);
    for (size_t cut : {2, 10, 40}) {
      ReplayResult torn(whole.substr(0, whole.size() - cut));
      CAPTURE(cut, torn.text);
      CHECK(torn.code == kReplayMatches);
      CHECK(torn.text.find("line " + std::to_string(lines.size()) + ": torn, skipped\n") !=
            std::string::npos);
    }
    std::vector<std::string> bent = lines;
    bent[lines.size() / 2].resize(30);
    ReplayResult stopped(Joined(bent));
    CHECK(stopped.code == kReplayImpossible);
    CHECK(stopped.text.find("line " + std::to_string(lines.size() / 2 + 1) + ": no JSON object") !=
          std::string::npos);
  }
  SECTION("an unknown kind stops the replay") {
    for (std::string odd : {"{\"t\":1,\"us\":2,\"kind\":\"rumour\"}", "{\"t\":1717000000123,\"list\":41}"}) {
      std::vector<std::string> more = lines;
      more.insert(more.begin() + 5, odd);
      CHECK(ReplayResult(Joined(more)).code == 2);
    }
  }
  SECTION("without a start record, or its checkpoint, nothing is said to be the same") {
    std::vector<std::string> cut(lines.begin() + 1, lines.end());
    CHECK(ReplayResult(Joined(cut)).code == kReplayImpossible);
    cut.erase(cut.begin());
    CHECK(ReplayResult(Joined(cut)).code == kReplayImpossible);
    cut.insert(cut.begin(), lines[0]);
    ReplayResult none(Joined(cut));
    CHECK(none.code == kReplayImpossible);
    CHECK(none.text.find("no checkpoint") != std::string::npos);
    CHECK(ReplayResult(lines[0] + "\n").code == kReplayImpossible);
    CHECK(ReplayResult("burlfall: nothing of that\n").code == kReplayImpossible);
  }
  SECTION("a record that can't be is refused, whatever is wrong with it") {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"\"state\":\"", "\"state\":\"AAAA"},
        {"\"seed\":\"", "\"seed\":\"x"},
        {"\"machine\":0", "\"machine\":-1"},
        {"\"machine\":0", "\"machine\":2000000000"},
        {"\"how\":\"", "\"how\":\"un"},
        {"\"class_no\":", "\"class_no\":\"a\",\"x\":"},
        {"\"settings\":{", "\"settings\":{\"Categories\":[{\"Effect\":\"odd\"}],\"x\":{"},
    };
    for (const auto& [from, to] : cases) {
      std::string text = Joined(lines);
      text.replace(text.find(from), from.size(), to);
      CAPTURE(from, to);
      CHECK(ReplayResult(text).code == kReplayImpossible);
    }
  }
  SECTION("the command line does the same") {
    const std::string config = ConfigText({.known = Entry("s-1", 1)});
    TextFile captured(Joined(lines));
    Program replay(config, {"replay", "--capture", captured.path, "--config", file.path});
    CHECK(replay.Wait() == 0);
    CHECK(replay.output.ends_with(" 0 differences\n"));
    captured.Write("{\"kind\":\"rumour\"}\n");
    CHECK(Program(config, {"replay", "--capture", captured.path, "--config", file.path}).Wait() == 2);
    CHECK(Program(config, {"replay", "--capture", captured.path}).Wait() == 2);
    CHECK(Program(config, {"replay", "--capture", captured.path, "--config", "/nowhere"}).Wait() == 2);
    CHECK(Program(config, {"replay", "--capture", "/nowhere", "--config", file.path}).Wait() == 2);
  }
}

TEST_CASE("a ring that has dropped records begins with the module's state, and replays alone") {
  MixedServer one, two;
  TextFile file("capture.memory_kb = 64\n");
  Program program(ConfigText({.known = Entry("s-1", one.port()) + "," + Entry("s-2", two.port())}),
                  {"serve", "--config", file.path});
  Load(program.port, 160);
  program.Signal(SIGUSR1);
  CHECK(program.Wait(SIGTERM) == 0);
  const std::vector<std::string> lines = RecordLines(program.output);
  REQUIRE(lines.size() > 100);
  CHECK(CountOf(program.output, "\"kind\":\"query\"") < 960);  // the oldest were dropped
  CHECK(lines[0].find("\"kind\":\"start\"") != std::string::npos);
  CHECK(lines[1].find("\"kind\":\"checkpoint\"") != std::string::npos);
  CHECK(CountOf(program.output, "\"kind\":\"start\"") > 1);
  ReplayResult same(Joined(lines));
  CAPTURE(same.text);
  CHECK(same.code == kReplayMatches);
  // Each segment replays alone.
  std::vector<std::string> part;
  for (const std::string& line : lines) {
    if (line.find("\"kind\":\"start\"") != std::string::npos && !part.empty()) {
      CHECK(ReplayResult(Joined(part)).code == kReplayMatches);
      part.clear();
    }
    part.push_back(line);
  }
  CHECK(ReplayResult(Joined(part)).code == kReplayMatches);
}

TEST_CASE("files are a ring too, each replays alone, and a restart overwrites none") {
  MixedServer one, two;
  TextFile folder;
  TextFile file("capture.dir = " + folder.path + "/ring\ncapture.files = 3\ncapture.file_kb = 64\n");
  const std::string config = ConfigText({.known = Entry("s-1", one.port()) + "," + Entry("s-2", two.port())});
  auto names = [&] {
    std::vector<std::string> all;
    for (const auto& entry : std::filesystem::directory_iterator(folder.path + "/ring")) {
      all.push_back(entry.path().filename().string());
    }
    std::sort(all.begin(), all.end());
    return all;
  };
  auto text = [&](const std::string& name) {
    std::ifstream in(folder.path + "/ring/" + name);
    return std::string(std::istreambuf_iterator<char>(in), {});
  };
  std::filesystem::remove(folder.path);
  {
    Program program(config, {"serve", "--config", file.path});
    Load(program.port, 120);
    program.Signal(SIGUSR1);
    CHECK(program.Wait(SIGTERM) == 0);
    CHECK(RecordLines(program.output).empty());
  }
  std::vector<std::string> first = names();
  REQUIRE(first.size() == 3);
  CHECK(first.back() > "capture-n1-000003.jsonl");
  for (const std::string& name : first) {
    ReplayResult same(text(name));
    CAPTURE(name, same.text);
    CHECK(same.code == kReplayMatches);
    CHECK(std::filesystem::file_size(folder.path + "/ring/" + name) <= 64 * 1024);
  }
  const std::string newest = text(first.back());
  Program program(config, {"serve", "--config", file.path});
  Load(program.port, 1);
  program.Wait(SIGKILL);
  std::vector<std::string> second = names();
  CHECK(second.size() == 3);
  CHECK(second.back() > first.back());
  CHECK(second[1] == first.back());
  CHECK(text(second[1]) == newest);
}

TEST_CASE("disk errors are counted and survived, and the disk is used again once it works") {
  MixedServer one;
  TextFile blocked("a file, where a folder should be");
  TextFile file("capture.dir = " + blocked.path + "\n");
  Program program(ConfigText({.known = Entry("s-1", one.port())}), {"serve", "--config", file.path});
  Load(program.port, 2);
  auto counters = [&] {
    Link client = Link::To(program.port);
    client.Write("GET /counters HTTP/1.1\r\n\r\n");
    return client.Read();
  };
  CHECK(counters().find(" capture_errors=") != std::string::npos);
  CHECK(counters().find(" capture_dropped=") != std::string::npos);
  std::filesystem::remove(blocked.path);
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(kTimeoutSeconds);
  while (!std::filesystem::is_directory(blocked.path) && std::chrono::steady_clock::now() < until) {
    Load(program.port, 2);
  }
  CHECK(std::filesystem::is_directory(blocked.path));
  CHECK(program.Wait(SIGTERM) == 0);
  CHECK(CountOf(program.output, "burlfall: capture: ") == 1);
  for (const auto& entry : std::filesystem::directory_iterator(blocked.path)) {
    std::ifstream in(entry.path());
    CHECK(ReplayResult(std::string(std::istreambuf_iterator<char>(in), {})).code == kReplayMatches);
  }
}

TEST_CASE("a dump that nobody reads stalls no query, and is complete once somebody reads it") {
  MixedServer one;
  TextFile file("capture.memory_kb = 512\nfigures.flush_ms = 20\n");
  Program program(ConfigText({.known = Entry("s-1", one.port())}), {"serve", "--config", file.path});
  REQUIRE(fcntl(program.fd(), F_SETPIPE_SZ, 4096) == 4096);
  Load(program.port, 60);
  program.Signal(SIGUSR1);
  Load(program.port, 60);
  program.Signal(SIGUSR1);  // a second dump while the first is being written
  Load(program.port, 5);
  CHECK(program.Wait(SIGTERM) == 0);  // Wait() reads all of the output
  std::istringstream all(program.output);
  for (std::string line; std::getline(all, line);) {
    CAPTURE(line);
    CHECK((line.starts_with("{\"t\":") || line.starts_with("burlfall")));
    CHECK(line.ends_with('}') == line.starts_with('{'));
  }
  CHECK(CountOf(program.output, "\"kind\":\"query\"") == 360);
  CHECK(CountOf(program.output, "burlfall: capture: still writing") == 1);
  CHECK(CountOf(program.output, "burlfall: counters: ") == 3);
  ReplayResult same(program.output);
  CAPTURE(same.text);
  CHECK(same.code == kReplayMatches);
}

TEST_CASE("a log of JSON lines with the capture in it replays, and its events are no records") {
  MixedServer one;
  TextFile file("capture.enabled = true\nfigures.flush_ms = 20\n");
  Program program(ConfigText({.known = Entry("s-1", one.port())}),
                  {"serve", "--log-format", "json", "--config", file.path});
  Load(program.port, 10);
  program.Signal(SIGUSR1);
  CHECK(program.Wait(SIGTERM) == 0);
  CHECK(CountOf(program.output, "{\"event\":") >= 6);
  ReplayResult same(program.output);
  CAPTURE(same.text);
  CHECK(same.code == kReplayMatches);
  // Also if another program's log has "event" at another place; a record without a kind is an error.
  const std::string start = program.output.substr(program.output.find("{\"t\":"));
  CHECK(ReplayResult("{\"level\":\"info\",\"event\":\"x\"}\n" + start).code == kReplayMatches);
  CHECK(ReplayResult("{\"level\":\"info\"}\n" + start).code == kReplayImpossible);
}

TEST_CASE("whatever clients write into their headers stays one line of JSON") {
  MixedServer one;
  TextFile file("capture.enabled = true\n");
  Program program(ConfigText({.known = Entry("s-1", one.port())}), {"serve", "--config", file.path});
  Link client = Link::To(program.port);
  const std::string odd = "\"},{\\ \x01\t\xff\xc3\xbc" + std::string(500, '{');
  std::string shown = odd;
  std::erase(shown, '\x01');  // not allowed in a header
  client.Write(Post("a\"b\\", shown, "x"));
  client.Read();
  client.Write(Get(shown, "X-Customer: " + shown + "\r\n"));
  client.Read();
  program.Signal(SIGUSR1);
  CHECK(program.Wait(SIGTERM) == 0);
  CHECK(program.output.find("\"trace\":\"\\\"},{\\\\ \\u0009\\u00ff\\u00c3\\u00bc{") != std::string::npos);
  ReplayResult same(program.output);
  CAPTURE(same.text);
  CHECK(same.code == kReplayMatches);
  for (const std::string& line : RecordLines(program.output)) {
    if (line.find("\"query\"") != std::string::npos) CHECK(line.size() < 1500);
  }
}

TEST_CASE("records in memory and as JSON lines have the same content") {
  meadowslip::Settings settings;
  settings.classes.resize(2);
  settings.classes[1].name = "pay";
  settings.tenants.resize(1);
  settings.tenants[0].name = "a";
  Record record;
  record.kind = Record::Kind::kDecision;
  record.at = 1717000000123456;
  record.trace = "9b1f03aa5c7e2d41";
  record.request.request_class = 1;
  record.request.id = 5;
  record.list = 41;
  record.backend_name = "s-5be2a07c";
  record.backend = 4000000000;
  record.span = -1;
  std::string bytes;
  Micros last = 0;
  AppendBytes(bytes, last, record);
  AppendBytes(bytes, last, record);
  std::string_view left = bytes;
  Micros at = 0;
  TakeBytes(left, at);
  Record back = TakeBytes(left, at);
  CHECK(left.empty());
  std::string line;
  AppendJson(line, back, settings);
  CHECK(line.starts_with(R"({"t":1717000000123,"us":456,"kind":"decision","trace":"9b1f03aa5c7e2d41",)"));
  CHECK(line.find(R"(,"class":"pay","tenant":"a",)") != std::string::npos);
  RecordReader reader;
  back = reader.Read(line);
  CHECK(back.at == record.at);
  CHECK(back.backend == record.backend);
  CHECK(back.span == -1);
  CHECK(back.backend_name == record.backend_name);
  CHECK(back.class_name == "pay");
}

}  // namespace burlfall
