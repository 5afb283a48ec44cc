// Operators' calls that the old process of an upgrade says yes to while its successor takes over.
#include <signal.h>

#include <optional>

#include "harness.h"

using namespace review;

namespace {

constexpr double kMaxHeldUp = 150;  // ms: a balancer may be held up that long (STANDING.md)
// The grace of the rule on drains (750 ms), the slack on sockets (50 ms), and the way from a query's first
// byte to its last one at the node.
constexpr double kDrainKept = 1000;

// Some clients that ask one query after the other on connections that they keep.
class Load {
 public:
  Load(uint16_t port, int clients) {
    for (int i = 0; i < clients; ++i) {
      threads_.emplace_back([this, port] {
        Connection connection;
        while (!stop_) {
          Message answer;
          if (!connection.IsOpen() && !connection.Open(port, 1000)) {
            Sleep(20);
            continue;
          }
          const bool answered = connection.Write(StockQuery(TraceId())) && connection.Read(answer, 1500);
          ++(answered && answer.status() == 200 ? served : unserved);
          if (!answered || answer.Closes()) connection.Close();
          Sleep(15);
        }
      });
    }
  }
  ~Load() {
    stop_ = true;
    for (std::thread& thread : threads_) thread.join();
  }
  std::atomic<int> served{0}, unserved{0};

 private:
  std::atomic<bool> stop_{false};
  std::vector<std::thread> threads_;
};

std::string Answer(const Message& answer) {
  return answer.status() == 0
             ? "no answer"
             : std::to_string(answer.status()) + " " + answer.body.substr(0, answer.body.find('\n'));
}

struct Platform {
  Folder folder, temporary;  // the logs and configurations; $TMPDIR, common to all processes
  Listener door;             // the clients' listening socket, passed on
  std::unique_ptr<Discovery> discovery;
  int processes = 0;

  struct Process {
    uint16_t admin = 0;
    std::unique_ptr<Child> child;
    bool Serves() const { return CallOnce(admin, "GET", "/healthcheck", 1000).status() == 200; }
  };

  Process Start() {
    Process process;
    process.admin = FreePort();
    const std::string stem = folder.path + "/" + std::to_string(++processes);
    Balancer balancer;
    balancer.listen = door.port;
    balancer.discovery = discovery->port();
    balancer.admin = process.admin;
    balancer.known = discovery->WholeList();
    WriteFile(stem + ".json", ConfigJson(balancer));
    process.child = std::make_unique<Child>(
        DeployLine("run"),
        std::map<std::string, std::string>{
            {"PROXY_CONFIG", stem + ".json"}, {"PROXY_PASSED_SOCKET", "5"}, {"TMPDIR", temporary.path}},
        stem + ".log", door.fd);
    return process;
  }

  // An upgrade, in the middle of which an operator calls the old process. Returns the new process, and the
  // time of the yes.
  Process Upgrade(Process& old, const std::string& call, double& yes_at) {
    const bool trouble = Trouble();
    // A query that its node works on for a while: the old process stays until it is answered.
    Connection slow;
    if (!slow.Open(door.port, 1000) || !slow.Write(SlotRelease(TraceId()))) Fail("no connection to the door");
    Sleep(50);
    const double began = Now();
    if (trouble) old.child->Signal(SIGSTOP);
    Process next = Start();
    Sleep(90);
    double held = Now();
    if (trouble) {
      next.child->Signal(SIGSTOP);
      held = Now();
      old.child->Signal(SIGCONT);
      Record::Line(Text("the old process was held up for %.0f ms; now the new one is", Now() - began));
      if (Now() - began > kMaxHeldUp) Fail("it was held up for too long");
      Sleep(10);
    } else if (!WaitUntil(6000, [&] { return next.Serves(); })) {  // not by chance in the gap that is tested
      Fail("the new process does not serve");
    }
    Message answer = CallOnce(old.admin, "POST", call, 1000);
    Record::Line("POST " + call + " at the old process: " + Answer(answer));
    if (answer.status() == 0 && WaitUntil(6000, [&] { return next.Serves(); })) {
      answer = CallOnce(next.admin, "POST", call, 1000);
      Record::Line("it has ended; POST " + call + " at the new process: " + Answer(answer));
    }
    yes_at = Now();
    Sleep(10);
    if (trouble) {
      next.child->Signal(SIGCONT);
      Record::Line(Text("the new process was held up for %.0f ms", Now() - held));
      if (Now() - held > kMaxHeldUp) Fail("it was held up for too long");
    }
    if (answer.status() != 200) Fail("the call got no yes");
    if (!WaitUntil(6000, [&] { return next.Serves(); })) Fail("the new process does not serve");
    Record::Line("the new process says yes on /healthcheck; SIGTERM to the old one");
    old.child->Signal(SIGTERM);
    if (!old.child->WaitEnd(3700)) Fail("the old process does not end");
    return next;
  }
};

int Test() {
  Record::Line(Trouble() ? "TROUBLE=1: both processes of each upgrade are held up for a moment"
                         : "TROUBLE=0: nobody is held up");
  const auto answer = [](Node& node, const Message& request, Connection& connection) {
    Sleep(request.method() == "POST" ? 600 : 20);
    return connection.Write(Ok("node " + node.name + " trace " + request.Header("X-Trace-Id")));
  };
  Node a("s-a", answer), b("s-b", answer), c("s-c", answer);
  Platform platform;
  std::vector<Discovery::Entry> entries;
  for (const Node* node : {&a, &b, &c}) {
    Discovery::Entry entry;
    entry.id = node->name;
    entry.addr = "127.0.0.1:" + std::to_string(node->port());
    entries.push_back(entry);
  }
  platform.discovery = std::make_unique<Discovery>(entries);
  Platform::Process first = platform.Start();
  if (!WaitUntil(10000, [&] { return first.Serves(); }))
    Fail("the program does not serve: " + first.child->Log());
  Load load(platform.door.port, 6);
  Sleep(1500);
  if (a.CountSince(Now() - 1000) == 0) Fail("node s-a gets nothing before the trouble");
  bool broken = false;

  // A node out by hand.
  double out_at = 0;
  Platform::Process second = platform.Upgrade(first, "/nodes/s-a/maint", out_at);
  Sleep(out_at + 4000 - Now());
  const size_t sent = a.CountSince(out_at + kDrainKept);
  Record::Line(
      Text("node s-a got %zu queries later than %.0f ms after the yes that it is out", sent, kDrainKept));
  if (sent > 0) {
    broken = true;
    Record::Line(
        "BROKEN: drain. A node that an operator took out, with a yes, gets new work after an upgrade");
  }

  const std::string file = ReadFile(platform.temporary.path + "/burlfall-n1.out");
  Record::Line(std::string("the file of nodes out ") +
               (file.find("s-a") == std::string::npos ? "does not name" : "names") + " s-a");

  // A drain of the balancer.
  double drained_at = 0;
  Platform::Process third = platform.Upgrade(second, "/healthcheck/fail", drained_at);
  Sleep(drained_at + 4100 - Now());
  const int up = CallOnce(platform.door.port, "GET", "/up", 1000).status();
  const int served = load.served;
  Sleep(1000);
  Record::Line(
      Text("GET /up at the clients' address 4.1 s after the yes: %d; %d queries served in the next second",
           up, load.served - served));
  if (up == 200) {
    broken = true;
    Record::Line("BROKEN: lost. 4 s after the yes to a drain the balancer still says yes to the front");
  }
  Record::Line(Text("queries served %d, not served %d", load.served.load(), load.unserved.load()));
  Record::Line("log of the last process:\n" + third.child->Log().substr(0, 3000));
  return broken ? kBroken : kHeld;
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
