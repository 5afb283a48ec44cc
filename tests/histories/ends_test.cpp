// The shutdown of a process on a virtual clock: which queries are open when the platform may kill it, and
// which links it waits for. Times are exact, whatever the load of the machine.
#include <gtest/gtest.h>

#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/platform.h"
#include "config/platform_config.h"
#include "serve/program.h"
#include "world/virtual_machine.h"

namespace burlfall {
namespace {

constexpr char kListenAddress[] = "127.0.0.1:8000";
constexpr char kNode[] = "127.0.0.1:9000";
constexpr char kDiscovery[] = "127.0.0.1:7000";

std::string NodeEntry() {
  return std::string(R"({"id":"s-1","addr":")") + kNode +
         R"(","zone":"a","kind":"m","cell":1,"state":"Ready","weight":1.0,"started_ms":0})";
}
std::string ListOf(const std::string& entries) {
  return R"({"version":1,"full":true,"servers":[)" + entries + "]}";
}

// A configuration with one class of safe queries that has this deadline.
std::string ConfigText(Micros deadline, const std::string& known, const std::string& descriptors) {
  return std::string(R"({"name":"n1","listen":")") + kListenAddress + R"(","discovery":")" + kDiscovery +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":)" + descriptors +
         R"(},"known":)" + ListOf(known) +
         R"(,"settings":{"Balancers":1,"MyZone":0,"Zones":["a"],"MachineTypes":["m"],"Categories":[)"
         R"({"Name":"look","Effect":"pure","Group":"all","DedupWindow":60000000,"Slo":)" +
         std::to_string(deadline / 10 * 8) + R"(,"HardLimit":)" + std::to_string(deadline) +
         R"(,"Worth":1.0}],"Realms":[],"MembershipMode":"subscribe","Caps":{"Cancel":true,"SendCap":5,)"
         R"("RetryAfter":true,"MaxRetryAfter":1500000,"ConnectTimeout":1000000,"Keepalive":10000000,)"
         R"("OpenCap":20000},"Rules":{"AnswerSlack":20000,"DrainGrace":750000,"MustAskIn":2000000}}})";
}

std::string Query(const std::string& trace) {
  return "GET /look?user=1 HTTP/1.1\r\nX-Trace-Id: " + trace + "\r\n\r\n";
}
std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One balancer process, from its start to its end, and its environment.
class Simulation {
 public:
  explicit Simulation(const std::string& config, size_t descriptors = 1024)
      : outside(world_, 1 << 16), machine_(world_, descriptors), pause_(world_.scheduler) {
    world_.files["config.json"] = config;
    const auto environment = [](const char* name) -> const char* {
      return std::string_view(name) == platform::kConfigVariable ? "config.json" : nullptr;
    };
    errors_ = std::make_unique<LineSink>(world_.scheduler, machine_.StandardError());
    log_ = std::make_unique<Log>(world_.scheduler, *errors_, LogFormat::kText, counters_);
    program_ = std::make_unique<Program>(machine_, LoadConfig(environment, machine_.files()), Properties(),
                                         *log_, counters_);
    world_.scheduler.on_stop = [this] { ended_at = Now(); };
    started_at_ = Now();
    program_->Start();
  }

  Micros Now() const { return world_.scheduler.Now(); }
  Micros time_since_start() const { return Now() - started_at_; }
  Waiter Until(Micros after_start) { return pause_.Wait(started_at_ + after_start); }
  Event MakeEvent() { return Event(world_.scheduler); }
  bool ended() const { return ended_at != 0; }
  void Terminate() { program_->Drain(); }
  // Closes what the process has open, as the kernel does when a process ends.
  void DestroyProgram() { program_.reset(); }
  const std::string& said() const { return machine_.standard_error_text; }
  const Counters& counters() const { return counters_; }
  std::unique_ptr<Stream> Connect(const char* to = kListenAddress) {
    NoConnection why{};
    return outside.network().Connect(*ReadAddress(to), why);
  }
  std::unique_ptr<Listener> Listen(const char* at) { return outside.network().Listen(*ReadAddress(at)); }
  void RunScenario(Task<> scenario) {
    scenario.Start();
    while (!finished_ && !world_.scheduler.deadlocked()) world_.scheduler.Run();
    EXPECT_TRUE(finished_);
  }
  void Finish() {
    finished_ = true;
    world_.scheduler.StopAll();
  }

 private:
  world::World world_{1'700'000'000 * kSecond, 1};

 public:
  world::VirtualMachine outside;  // of nodes, discovery and clients
  Micros ended_at = 0;

 private:
  world::VirtualMachine machine_;
  Event pause_;
  Counters counters_;
  std::unique_ptr<LineSink> errors_;
  std::unique_ptr<Log> log_;
  std::unique_ptr<Program> program_;
  Micros started_at_ = 0;
  bool finished_ = false;
};

// Reads one complete message, or what arrived before the link ended.
Task<std::string> ReadMessage(Stream& stream) {
  std::string text;
  while (true) {
    const size_t head = text.find("\r\n\r\n");
    const size_t length = text.find("Content-Length: ");
    if (head != std::string::npos &&
        text.size() >= head + 4 + (length < head ? std::stoul(text.substr(length + 16)) : 0)) {
      break;
    }
    const Io io = stream.Read(text);
    if (io == Io::kLater) {
      co_await stream.Wait();
    } else if (io != Io::kSome) {
      break;
    }
  }
  co_return text;
}

Task<> Write(Stream& stream, std::string bytes) {
  bool written = co_await WriteAll(stream, bytes, kNever);
  (void)written;
}

// A node that accepts every link and never answers.
class SilentNode {
 public:
  explicit SilentNode(Simulation& simulation) : listener_(simulation.Listen(kNode)), accepts_(Accept()) {
    accepts_.Start();
  }
  std::vector<std::unique_ptr<Stream>> links;

 private:
  Task<> Accept() {
    while (true) {
      std::unique_ptr<Stream> link;
      if (listener_->Accept(link) != Listener::Accepted::kOne) {
        co_await listener_->Wait();
        continue;
      }
      links.push_back(std::move(link));
    }
  }
  std::unique_ptr<Listener> listener_;
  Task<> accepts_;
};

// One query of one client, which connects and sends at these times after SIGTERM.
struct ClientQuery {
  Micros connects = 0;
  Micros sends = 0;
  std::string answer;
  Micros answered_at = 0;
  bool over = false;  // answered, or the link has ended
  std::unique_ptr<Stream> link;
  Task<> task;
};

Task<> SendQuery(Simulation& simulation, ClientQuery& query, Micros terminates) {
  Event pause = simulation.MakeEvent();
  co_await pause.Wait(simulation.Now() - simulation.time_since_start() + terminates + query.connects);
  query.link = simulation.Connect();
  co_await pause.Wait(simulation.Now() - simulation.time_since_start() + terminates + query.sends);
  co_await Write(*query.link, Query(std::string("t").append(std::to_string(query.sends))));
  query.answer = co_await ReadMessage(*query.link);
  query.answered_at = simulation.Now();
  query.over = true;
  query.link.reset();
}

// Checks that no query is open at the earliest time at which the platform may send SIGKILL.
void CheckNoQueryIsOpenAtTheKill(Micros deadline, bool nodes) {
  SCOPED_TRACE("deadline " + std::to_string(deadline));
  Simulation simulation(ConfigText(deadline, nodes ? NodeEntry() : "", "1024"));
  SilentNode node(simulation);
  constexpr Micros kTerminates = 1 * kSecond;
  const Micros kill = kTerminates + std::min(deadline, 3 * kSecond) + 700 * kMs;
  std::list<ClientQuery> all;
  for (const auto& [connects, sends] : std::vector<std::pair<int, int>>{{-900, -40},
                                                                        {-900, -1},
                                                                        {-10, 0},
                                                                        {0, 1},
                                                                        {100, 110},
                                                                        {200, 300},
                                                                        {380, 400},
                                                                        {390, 500},
                                                                        {390, 650},
                                                                        {390, 699},
                                                                        {390, 701},
                                                                        {390, 750},
                                                                        {390, 799},
                                                                        {390, 820},
                                                                        {790, 900},
                                                                        {799, 990}}) {
    ClientQuery& one = all.emplace_back();
    one.connects = connects * kMs;
    one.sends = sends * kMs;
  }
  const auto scenario = [&]() -> Task<> {
    for (ClientQuery& one : all) {
      one.task = SendQuery(simulation, one, kTerminates);
      one.task.Start();
    }
    co_await simulation.Until(kTerminates);
    simulation.Terminate();
    co_await simulation.Until(kill);
    for (const ClientQuery& one : all) {
      if (kTerminates + one.sends >= kill) continue;
      // Otherwise the query was sent on a link that is still open, and not answered.
      EXPECT_TRUE(one.over) << "connected " << one.connects / kMs << " ms, sent " << one.sends / kMs
                            << " ms after SIGTERM";
      // Without nodes the query was never sent on, so it is refused.
      if (nodes || one.answer.empty()) continue;
      EXPECT_EQ(one.answer.substr(0, 12), "HTTP/1.1 503");
    }
    EXPECT_TRUE(simulation.ended());
    simulation.Finish();
  };
  simulation.RunScenario(scenario());
  EXPECT_EQ(simulation.counters().left, 0u);
}

}  // namespace

TEST(Ends, NoQueryIsOpenWhenThePlatformMayKillIt) {
  for (const Micros deadline : {50 * kMs, 600 * kMs, 2 * kSecond, 3 * kSecond, 4 * kSecond, 30 * kSecond}) {
    CheckNoQueryIsOpenAtTheKill(deadline, true);
    CheckNoQueryIsOpenAtTheKill(deadline, false);
  }
}

// The link lingers after its last answer, so that bytes that cross that answer are read and cause no reset.
// The process waits for this too.
TEST(Ends, NoLinkIsResetBeforeItsClientHasReadTheLastAnswer) {
  Simulation simulation(ConfigText(2 * kSecond, NodeEntry(), "1024"));
  SilentNode node(simulation);
  const auto scenario = [&]() -> Task<> {
    co_await simulation.Until(10 * kMs);
    std::unique_ptr<Stream> client = simulation.Connect();
    co_await Write(*client, Query("t1"));
    co_await simulation.Until(200 * kMs);
    simulation.Terminate();
    co_await simulation.Until(1400 * kMs);  // it is closing by now, and only this query is open
    EXPECT_EQ(node.links.size(), 1u);
    if (node.links.size() == 1) co_await Write(*node.links[0], Ok("owed"));
    const std::string answer = co_await ReadMessage(*client);
    EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("owed"));
    co_await simulation.Until(1450 * kMs);
    if (simulation.ended()) simulation.DestroyProgram();
    co_await Write(*client, Query("t2"));  // crosses the answer
    co_await simulation.Until(1500 * kMs);
    if (simulation.ended()) simulation.DestroyProgram();
    std::string rest;
    EXPECT_EQ(client->Read(rest), Io::kClosed);  // closed, not reset
    client.reset();
    co_await simulation.Until(1600 * kMs);
    EXPECT_TRUE(simulation.ended());  // and waits no longer than that
    simulation.Finish();
  };
  simulation.RunScenario(scenario());
  EXPECT_EQ(simulation.counters().taken, 1u) << simulation.said() << simulation.counters().Text();
}

}  // namespace burlfall
