// Tests of the log: its table of events, the page made from it, both formats, and a full standard error.
#include "observe/log.h"

#include <fcntl.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "stories/peers.h"

namespace burlfall {
namespace {

using nlohmann::ordered_json;

constexpr char kPage[] = TEST_DATA "/../docs/events.md";
constexpr const char* kLevels[] = {"info", "warning", "error"};
constexpr const char* kTypes[] = {"number", "text", "object of numbers"};

std::string PageOfEvents() {
  std::ostringstream page;
  page
      << "# Events\n\nMade from the table in `src/observe/events.h`, and held against it by a test; "
         "`BURLFALL_WRITE_PAGES=1 ctest -R page`\nwrites it anew.\n\n"
         "`burlfall serve --log-format text`, which is the default, says each event as a line that begins "
         "with "
         "`burlfall: `.\nWith `--log-format json` each is one JSON object on a line of its own: `event`, the "
         "fields below in their order,\n`level`, and `t`, Unix time in milliseconds. Both go to standard "
         "error, "
         "between figures and captured records where\nthose go there too. Names and fields stay as they are; "
         "new ones may come, so skip those that you don't know.\n";
  for (const LogEvent& event : events::kAll) {
    page << "\n## " << event.name << "\n\n"
         << event.meaning << " Level `" << kLevels[static_cast<size_t>(event.level)]
         << "`.\n\n    burlfall: " << event.text << "\n";
    if (!event.fields().empty()) page << "\n| field | holds | meaning |\n| --- | --- | --- |\n";
    for (const LogField& field : event.fields()) {
      page << "| `" << field.name << "` | " << kTypes[static_cast<size_t>(field.type)] << " | "
           << field.meaning << " |\n";
    }
  }
  return page.str();
}

std::vector<std::string> LinesOf(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

// A log that writes into a pipe, with a constant clock.
struct PipedLog {
  class Clock final : public Scheduler {
   public:
    Micros Now() const override { return 1717000000123456; }

   private:
    void Poll(Micros) override {}
  };
  explicit PipedLog(LogFormat format, int bytes = 65536) {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    in = Descriptor(ends[0]);
    out = Descriptor(ends[1]);
    REQUIRE(fcntl(out.get(), F_SETPIPE_SZ, bytes) == bytes);
    sink.emplace(clock, MakeDescriptorWriter(out.get()));
    log.emplace(clock, *sink, format, counters);
  }
  std::string ReadAvailable() {  // without waiting
    std::string text;
    char piece[4096];
    while (Readable(in.get(), 0))
      text.append(piece, static_cast<size_t>(read(in.get(), piece, sizeof piece)));
    return text;
  }
  Clock clock;
  Descriptor in, out;
  Counters counters;
  std::optional<LineSink> sink;
  std::optional<Log> log;
};

// Checks that the line has the fields of the table, in their order and with their types.
void CheckShape(const ordered_json& line) {
  CAPTURE(line.dump());
  const size_t at = EventAt(events::kAll, line.at("event").get<std::string>());
  REQUIRE(at < std::size(events::kAll));
  const LogEvent& event = events::kAll[at];
  std::vector<std::string> expected = {"event"}, got;
  for (const LogField& field : event.fields()) {
    expected.emplace_back(field.name);
    const ordered_json& value = line.at(std::string(field.name));
    CHECK((field.type == LogField::Type::kNumber ? value.is_number_integer()
           : field.type == LogField::Type::kText ? value.is_string()
                                                 : value.is_object()));
  }
  expected.insert(expected.end(), {"level", "t"});
  for (const auto& [name, value] : line.items()) got.push_back(name);
  CHECK(got == expected);
  CHECK(line.at("level") == kLevels[static_cast<size_t>(event.level)]);
}

}  // namespace

TEST_CASE("the page of events matches the table, and the table is valid") {
  if (std::getenv("BURLFALL_WRITE_PAGES") != nullptr) std::ofstream(kPage) << PageOfEvents();
  std::ifstream page(kPage);
  CHECK(std::string(std::istreambuf_iterator<char>(page), {}) == PageOfEvents());
  std::set<std::string_view> names;
  for (const LogEvent& event : events::kAll) {
    CAPTURE(event.name);
    CHECK(names.insert(event.name).second);
    CHECK(event.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz_") == std::string_view::npos);
    CHECK(std::count(event.text.begin(), event.text.end(), '[') ==
          std::count(event.text.begin(), event.text.end(), ']'));
    for (size_t at = event.text.find('{'); at != std::string_view::npos; at = event.text.find('{', at + 1)) {
      const std::string_view name = event.text.substr(at + 1, event.text.find('}', at) - at - 1);
      CHECK(std::any_of(event.fields().begin(), event.fields().end(),
                        [&](const LogField& field) { return field.name == name; }));
    }
  }
}

TEST_CASE("an event is one line of text, or one of JSON at the machine's time") {
  PipedLog text(LogFormat::kText), json(LogFormat::kJson);
  const std::string special_text = "a \"b\\\n\x01 \xc3\xbc";
  for (PipedLog* piped_log : {&text, &json}) {
    piped_log->log->Emit<"serving">("n1", "127.0.0.1:9000");
    piped_log->log->Emit<"config_read">("");
    piped_log->log->Emit<"list_heard">(41u, 12u, 0u, 2u, 0u, 1u);
    piped_log->log->Emit<"config_kept">(special_text);
    piped_log->log->Emit<"config_kept">(special_text + "\xff");
    piped_log->log->Emit<"capture_busy">();
  }
  CHECK(text.ReadAvailable() ==
        "burlfall: n1 serves at 127.0.0.1:9000\n"
        "burlfall: configuration read anew\n"
        "burlfall: discovery: list 41, 12 servers ready, 2 removed, 1 restarted\n"
        "burlfall: configuration kept as it was: a \"b\\   \xc3\xbc\n"
        "burlfall: configuration kept as it was: a \"b\\   \xc3\xbc\xff\n"
        "burlfall: capture: still writing what was asked for before\n");
  const std::vector<std::string> lines = LinesOf(json.ReadAvailable());
  REQUIRE(lines.size() == 6);
  CHECK(lines[0] == R"({"event":"serving","name":"n1","address":"127.0.0.1:9000",)"
                    R"("level":"info","t":1717000000123})");
  for (const std::string& line : lines) CheckShape(ordered_json::parse(line));
  CHECK(ordered_json::parse(lines[3]).at("why") == special_text);
  CHECK(lines[4].find(R"(\u00c3\u00bc\u00ff")") != std::string::npos);
}

TEST_CASE("lines that do not fit are counted, and reported once there is room") {
  PipedLog piped_log(LogFormat::kJson, 4096);
  constexpr int kEvents = 400;
  for (int i = 0; i < kEvents; ++i) piped_log.log->Emit<"config_kept">(std::string(100, 'x'));
  const uint64_t dropped = piped_log.counters.log_dropped;
  CHECK(dropped > 0);
  CHECK(piped_log.counters.Text().ends_with(" log_dropped=" + std::to_string(dropped)));
  std::string received = piped_log.ReadAvailable();
  for (std::string more = received; !more.empty(); received += more) {
    piped_log.sink->Flush();
    more = piped_log.ReadAvailable();
  }
  piped_log.log->Emit<"capture_busy">();
  const std::vector<std::string> lines = LinesOf(received + piped_log.ReadAvailable());
  CHECK(lines.size() + dropped == kEvents + 2);
  CHECK(ordered_json::parse(lines.back()).at("event") == "log_dropped");
  CHECK(ordered_json::parse(lines.back()).at("lines") == dropped);
  piped_log.log->Emit<"capture_busy">();
  CHECK(LinesOf(piped_log.ReadAvailable()).size() == 1);  // reported only once
  CHECK(piped_log.counters.log_dropped == dropped);

  signal(SIGPIPE, SIG_IGN);
  piped_log.in = Descriptor();  // no reader: every line is lost, and none causes another
  for (int i = 0; i < 5; ++i) piped_log.log->Emit<"capture_busy">();
  CHECK(piped_log.counters.log_dropped == dropped + 5);
}

TEST_CASE("with --log-format json each event is one JSON line, from the start of the program to its end") {
  Peer server, discovery;
  TextFile blocked("a file, where a folder should be");
  TextFile properties("capture.dir = ./" + blocked.path + "\n");
  const Setup setup{.known = Entry("s-1", server.port), .discovery = discovery.port};
  Program program(ConfigText(setup), {"serve", "--log-format", "json", "--config", properties.path});
  REQUIRE(program.port != 0);
  {
    Link call = discovery.Accept();
    call.Read();
    call.Write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  }
  Link call = discovery.Accept();
  call.Read();
  call.Write(Ok(List(7, true, Entry("s-1", server.port) + "," + Entry("s-2", 1))));
  CHECK(call.Read().find("index=7&") != std::string::npos);
  call.Write(Ok(List(8, false, Entry("s-2", 1, "Terminating"))));
  CHECK(call.Read().find("index=8&") != std::string::npos);
  program.Signal(SIGHUP);
  auto read_until = [&program](const std::string& what) {
    while (program.output.find(what) == std::string::npos) {
      const std::string line = program.ReadLine();
      REQUIRE_FALSE(line.empty());
      program.output += line;
    }
  };
  read_until("properties_read");
  read_until(R"("list_heard","version":8)");
  program.Configure("{");
  properties.Write("no");
  program.Signal(SIGHUP);
  read_until("properties_kept");
  program.Signal(SIGUSR1);
  CHECK(program.Wait(SIGTERM) == 0);
  std::map<std::string, ordered_json> events;
  std::vector<std::string> order;
  for (const std::string& line : LinesOf(program.output)) {
    const ordered_json event = ordered_json::parse(line);
    CheckShape(event);
    order.push_back(event.at("event"));
    events[order.back()] = event;
  }
  CHECK(order.front() == "starting");
  CHECK(std::vector<std::string>(order.end() - 4, order.end()) ==
        std::vector<std::string>{"draining", "closing", "counters", "stopped"});
  CHECK(events.at("serving").at("address") == "127.0.0.1:" + std::to_string(program.port));
  CHECK(events.at("starting").at("known") == 1);
  CHECK(events.at("starting").at("features") == "capture");
  CHECK(events.at("list_back").at("calls") == 1);
  CHECK(events.at("list_heard").at("servers") == 1);  // the last event summarizes the updates after the first
  CHECK(events.at("list_heard").at("draining") == 1);
  CHECK(events.at("config_read").at("waits") == "");
  CHECK(events.contains("config_kept"));
  CHECK(events.contains("capture_disk_error"));
  CHECK(events.at("counters").at("counters").at("lists") >= 2);
  CHECK(events.at("counters").at("phase") == 4);
}

TEST_CASE("a shortage of descriptors is logged only when it begins and ends") {
  Program program(ConfigText({.sockets = 64}));
  std::vector<Link> idle_links;
  for (int i = 0; i < 30; ++i) idle_links.push_back(Link::To(program.port));
  CHECK(program.ReadLineExceptDiscovery().starts_with("burlfall: descriptors run short: "));
  for (Link& link : idle_links) CHECK(link.Ended());  // as all links without a query do
  CHECK(program.ReadLineExceptDiscovery().starts_with("burlfall: descriptors suffice again: "));
  CHECK(program.Wait(SIGTERM) == 0);
  CHECK(program.output.find("descriptors run short") == std::string::npos);
}

TEST_CASE("an unread log stalls no query, and lost lines are counted and reported in the end") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port)}), {"serve", "--log-format", "json"});
  REQUIRE(fcntl(program.fd(), F_SETPIPE_SZ, 4096) == 4096);
  Link client = Link::To(program.port);
  std::optional<Link> link;
  std::string counters;
  for (int i = 0; i < 2000 && counters.find("log_dropped=") == std::string::npos; ++i) {
    program.Signal(SIGUSR1);
    client.Write(Get("t"));
    server.AwaitQuery(link);
    link->Read();
    link->Write(Ok("fine"));
    REQUIRE(client.Read().ends_with("fine"));
    client.Write("GET /counters HTTP/1.1\r\n\r\n");
    counters = client.Read();
  }
  const size_t at = counters.find("log_dropped=");
  REQUIRE(at != std::string::npos);
  std::string line;  // without a further event: the buffered lines, then the number of lost ones
  while ((line = program.ReadLine()).find("log_dropped") == std::string::npos) {
    REQUIRE(ordered_json::accept(line));
  }
  CHECK(ordered_json::parse(line).at("lines") >= std::stol(counters.substr(at + 12)));
  CHECK(program.Wait(SIGTERM) == 0);
}

}  // namespace burlfall
