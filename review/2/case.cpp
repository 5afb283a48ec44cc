// Nodes whose answers are followed, some milliseconds later, by a second copy, on connections across data
// centres.
#include "harness.h"

using namespace review;

namespace {

constexpr int kNodes = 12;
constexpr double kOneWay = 2.5;  // ms; 1.4 to 2.6 between the data centres (BRIEF-burlfall.md)
constexpr int kClients = 12;
constexpr double kLoadFor = 30000;  // ms
constexpr int kSpoiltShare = 50;    // one answer in so many brings a second copy

int Test() {
  Record::Line(Trouble() ? "TROUBLE=1: one answer in 50 is followed by a second copy, 4 ms later"
                         : "TROUBLE=0: no answer is followed by anything");
  std::atomic<int> copies{0};
  // Answers a query after some work. The second copy leaves only where nothing waits on the connection.
  const auto answer = [&](Node& node, const Message& request, Connection& connection) {
    thread_local unsigned turn =
        static_cast<unsigned>(std::hash<std::thread::id>()(std::this_thread::get_id()));
    turn = turn * 1664525 + 1013904223;
    const std::string trace = request.Header("X-Trace-Id");
    Sleep(8 + turn / 65536 % 10);
    const std::string whole = Ok("node " + node.name + " trace " + trace);
    if (!connection.Write(whole)) return false;
    if (!Trouble() || turn / 1024 % kSpoiltShare != 0) return true;
    if (connection.HasInput(4)) return true;
    ++copies;
    Record::Line(node.name + ": a second copy of the answer to " + trace +
                 "; nothing waits on its connection");
    return connection.Write(whole);
  };
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<DelayProxy>> paths;
  std::vector<Discovery::Entry> entries;
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<Node>(Text("s-%02d", i), answer));
    paths.push_back(std::make_unique<DelayProxy>(nodes.back()->port(), kOneWay));
    Discovery::Entry entry;
    entry.id = nodes.back()->name;
    entry.addr = "127.0.0.1:" + std::to_string(paths.back()->port());
    entry.zone = i % 2 == 0 ? "zuerich" : "bern";
    entries.push_back(entry);
  }
  Discovery discovery(entries);
  const Folder folder;
  Balancer balancer;
  balancer.listen = FreePort();
  balancer.discovery = discovery.port();
  balancer.known = discovery.WholeList();
  WriteFile(folder.path + "/config.json", ConfigJson(balancer));
  Child program(DeployLine("run"), {{"PROXY_CONFIG", folder.path + "/config.json"}, {"TMPDIR", folder.path}},
                folder.path + "/log");
  const auto up = [&] { return CallOnce(balancer.listen, "GET", "/up", 500).status() == 200; };
  if (!WaitUntil(10000, up)) Fail("the program does not serve: " + program.Log());

  std::atomic<int> served{0}, other{0}, foreign{0};
  const double until = Now() + kLoadFor;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Connection connection;
      while (Now() < until && foreign < 50) {
        const std::string trace = TraceId();
        if (!connection.IsOpen() && !connection.Open(balancer.listen, 1000)) continue;
        Message message;
        const std::string query = i % 4 == 0 ? SlotRelease(trace) : StockQuery(trace);
        const bool answered = connection.Write(query) && connection.Read(message, 1500);
        if (answered && message.status() == 200) {
          ++served;
          if (!message.body.ends_with(" trace " + trace)) {
            ++foreign;
            Record::Line("FOREIGN: the client of " + trace +
                         (i % 4 == 0 ? " (slot-release)" : " (stock-query)") + " got 200 with the body \"" +
                         message.body + "\"");
          }
        } else {
          ++other;
        }
        if (!answered || message.Closes()) connection.Close();
        Sleep(1);
      }
    });
  }
  for (std::thread& client : clients) client.join();
  Record::Line(
      Text("served %d, not served %d, second copies %d, served with the answer to another request: %d",
           served.load(), other.load(), copies.load(), foreign.load()));
  if (program.Ended()) Fail("the program has ended");
  if (foreign > 0) {
    Record::Line("BROKEN: a client was served with an answer that no node made for its request");
    return kBroken;
  }
  if (served < 1000 || (Trouble() && copies == 0)) Fail("too little was served, or no second copy was sent");
  return kHeld;
}

}  // namespace

int main(int, char** arguments) {
  Record::Open(arguments[1]);
  int result = kCouldNotRun;
  try {
    result = Test();
  } catch (const CannotRun& e) {
    Record::Line("could not run: " + e.why);
  }
  Record::Line(Text("result %d", result));
  return result;
}
