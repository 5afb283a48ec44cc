// Tests of an upgrade: two real processes of one balancer that both inherit the clients' listener.
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>

#include <chrono>
#include <cstring>
#include <functional>
#include <memory>
#include <set>
#include <thread>

#include "handover/handover_state.h"
#include "service/under_load.h"

namespace burlfall {

namespace {

// What the platform provides: a listener that every process inherits, and a folder that they share.
struct Platform {
  Peer listener;
  TempFolder folder;
  ChildEnvironment environment() {
    return {.variables = {{"TMPDIR", folder.path}, {"PROXY_PASSED_SOCKET", "5"}}, .passed = listener.fd()};
  }
  std::string socket() const { return folder.path + "/burlfall-n1.sock"; }
};

std::string AdminConfigText(const std::string& known) {
  return ConfigText({.known = known, .admin = "127.0.0.1:0"});
}

std::string Numbered(std::string name, int i) { return name.append(std::to_string(i)); }

// Reads log lines until one contains `what`; false if none arrives for kTimeoutSeconds.
bool WaitForLog(Program& program, const std::string& what) {
  if (program.output.find(what) != std::string::npos) return true;
  for (std::string line = program.ReadLine(); !line.empty(); line = program.ReadLine()) {
    program.output += line;
    if (line.find(what) != std::string::npos) return true;
  }
  return false;
}

Descriptor ConnectToSocket(const std::string& path) {
  Descriptor fd(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  path.copy(at.sun_path, sizeof at.sun_path - 1);
  REQUIRE(connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  return fd;
}
void SendMessage(const Descriptor& fd, const std::string& message) {
  REQUIRE(send(fd.get(), message.data(), message.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(message.size()));
}
std::string ReceiveMessage(const Descriptor& fd) {  // empty: the channel ended
  if (!Readable(fd.get(), kTimeoutSeconds * 1000)) return "";
  std::string message(65536, '\0');
  const ssize_t n = recv(fd.get(), message.data(), message.size(), 0);
  message.resize(n > 0 ? static_cast<size_t>(n) : 0);
  return message;
}

}  // namespace

TEST_CASE("an upgrade passes idle links on, with the bytes read from them, and answers open queries") {
  Platform platform;
  Peer server;
  const std::string config = AdminConfigText(Entry("s-1", server.port));
  Program old(config, {"serve"}, nullptr, platform.environment());
  Link idle_link = Link::To(platform.listener.port), half = Link::To(platform.listener.port),
       busy = Link::To(platform.listener.port), fresh = Link::To(platform.listener.port);
  CHECK(ServeQuery(idle_link, server, "t1").ends_with("fine"));
  const std::string query = Get("t2");
  half.Write(query.substr(0, 20));
  busy.Write(Get("t3"));
  Link open_attempt = server.Accept();
  open_attempt.Read();
  Program next(config, {"serve"}, nullptr, platform.environment());
  CHECK(CallStatus(next.admin, "GET", "/healthcheck") == 200);
  CHECK(next.output.find("took over: 1 known nodes, 0 out by hand; 1 queries stay") != std::string::npos);
  CHECK(WaitForLog(old, "handed over"));
  old.Signal(SIGTERM);
  half.Write(query.substr(20));
  Link for_half = server.Accept();
  for_half.Read();
  for_half.Write(Ok("half", "Connection: close\r\n"));
  CHECK(half.Read().ends_with("half"));
  const std::string answer = ServeQuery(idle_link, server, "t4");
  CHECK(answer.ends_with("fine"));
  CHECK(answer.find("Connection: close") == std::string::npos);
  CHECK(ServeQuery(fresh, server, "t5").ends_with("fine"));
  open_attempt.Write(Ok("late", "Connection: close\r\n"));
  CHECK(busy.Read().ends_with("late"));
  CHECK(old.Wait() == 0);
  CHECK(ServeQuery(busy, server, "t6").ends_with("fine"));  // the successor holds that link too
  Link after = Link::To(platform.listener.port);
  CHECK(ServeQuery(after, server, "t7").ends_with("fine"));
  CHECK(next.Wait(SIGTERM) == 0);
}

TEST_CASE("nodes out of service, a manual drain and later operator calls apply to both processes") {
  Platform platform;
  Peer one, two;
  const std::string config = AdminConfigText(Entry("s-1", one.port) + "," + Entry("s-2", two.port));
  Program old(config, {"serve"}, nullptr, platform.environment());
  Link client = Link::To(platform.listener.port);
  client.Write(Get("t0"));  // keeps the old process running
  Peer& holder = Peer::FirstContacted(one, two);
  Link open_attempt = holder.Accept();
  open_attempt.Read();
  REQUIRE(PostCall(old.admin, "/nodes/s-1/maint") == 200);
  REQUIRE(PostCall(old.admin, "/healthcheck/fail") == 200);
  // Without the file, the hand-over state itself carries the nodes.
  std::filesystem::remove(platform.folder.path + "/burlfall-n1.out");
  Program next(config, {"serve"}, nullptr, platform.environment());
  CHECK(next.output.find("1 out by hand") != std::string::npos);
  CHECK(CallStatus(next.admin, "GET", "/healthcheck") == 200);
  CHECK(WaitForLog(next, "burlfall-n1.out is written again"));
  CHECK(UpStatus(platform.listener.port) == 503);
  REQUIRE(PostCall(next.admin, "/healthcheck/ok") == 200);
  CHECK(UpStatus(platform.listener.port) == 200);
  Link again = Link::To(platform.listener.port);
  for (int i = 0; i < 10; ++i) CHECK(ServeQuery(again, two, FreshTraceId()).ends_with("fine"));
  REQUIRE(PostCall(old.admin, "/nodes/s-2/maint") == 200);  // at the old process's address
  REQUIRE(PostCall(next.admin, "/nodes/s-1/ready") == 200);
  CHECK(WaitForLog(next, "s-2 is out by hand"));
  CHECK(WaitForLog(old, "s-1 is back"));
  for (int i = 0; i < 5; ++i) CHECK(ServeQuery(again, one, Numbered("u", i)).ends_with("fine"));
  open_attempt.Write(Ok("done", "Connection: close\r\n"));
  CHECK(client.Read().ends_with("done"));
  CHECK(old.Wait() == 0);
}

TEST_CASE("a second upgrade right after the first, and the first process still has an answer to give") {
  Platform platform;
  Peer server;
  const std::string config = AdminConfigText(Entry("s-1", server.port));
  Program first(config, {"serve"}, nullptr, platform.environment());
  Link busy = Link::To(platform.listener.port), idle_link = Link::To(platform.listener.port);
  CHECK(ServeQuery(idle_link, server, "t1").ends_with("fine"));
  busy.Write(Post("open", "t2", "x"));
  Link open_attempt = server.Accept();
  open_attempt.Read();
  Program second(config, {"serve"}, nullptr, platform.environment());
  Program third(config, {"serve"}, nullptr, platform.environment());
  CHECK(third.output.find("took over") != std::string::npos);
  CHECK(ServeQuery(idle_link, server, "t3").ends_with("fine"));
  open_attempt.Write(Ok("once", "Connection: close\r\n"));
  CHECK(busy.Read().ends_with("once"));
  CHECK_FALSE(server.HasPendingConnection());
  CHECK(first.Wait() == 0);
  CHECK(second.Wait() == 0);
  CHECK(ServeQuery(idle_link, server, "t4").ends_with("fine"));
}

TEST_CASE("a successor that dies, before or after it serves, leaves the listener to the old process") {
  Platform platform;
  Peer server;
  const std::string config = AdminConfigText(Entry("s-1", server.port));
  Program old(config, {"serve"}, nullptr, platform.environment());
  Link idle_link = Link::To(platform.listener.port);
  CHECK(ServeQuery(idle_link, server, "t1").ends_with("fine"));
  const std::string claim = Pack('T', Claim{kHandoverVersion, "n1"});
  {
    const Descriptor successor = ConnectToSocket(platform.socket());
    SendMessage(successor, claim);
    CHECK(ReceiveMessage(successor).front() == 'Z');
  }
  CHECK(WaitForLog(old, "did not come to serve"));
  Link client = Link::To(platform.listener.port);
  CHECK(ServeQuery(client, server, "t2").ends_with("fine"));
  {
    const Descriptor successor = ConnectToSocket(platform.socket());
    SendMessage(successor, claim);
    CHECK(ReceiveMessage(successor).front() == 'Z');
    SendMessage(successor, "S");
    CHECK(WaitForLog(old, "handed over"));
  }
  CHECK(WaitForLog(old, "this one serves again"));
  Link after = Link::To(platform.listener.port);
  CHECK(ServeQuery(after, server, "t3").ends_with("fine"));
  Program next(config, {"serve"}, nullptr, platform.environment());  // another successor can take over again
  CHECK(next.output.find("took over") != std::string::npos);
  CHECK(old.Wait() == 0);
}

TEST_CASE("a successor that hangs leaves the listener to the old process after a time-out") {
  Platform platform;
  Peer server;
  Program old(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  const Descriptor successor = ConnectToSocket(platform.socket());
  SendMessage(successor, Pack('T', Claim{kHandoverVersion, "n1"}));
  CHECK(ReceiveMessage(successor).front() == 'Z');
  Link client = Link::To(platform.listener.port);
  CHECK(ServeQuery(client, server, "t1").ends_with("fine"));
  CHECK(old.Wait(SIGTERM) == 0);
}

TEST_CASE("invalid claims are refused with a reason, and the old process continues") {
  Platform platform;
  Peer server;
  Program old(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  CHECK(WaitForLog(old, "serves at"));
  for (const std::string& bad :
       {Pack('T', Claim{7, "n1"}), Pack('T', Claim{1, "n2"}), std::string("Tnonsense"), std::string("T")}) {
    const Descriptor successor = ConnectToSocket(platform.socket());
    SendMessage(successor, bad);
    CHECK(ReceiveMessage(successor).front() == 'N');
  }
  const Descriptor successor = ConnectToSocket(platform.socket());
  for (const char* odd : {"L", "S", "U123", "Q", "x", "O\xff\xff\xff\xff\xff\xff\xff\xff\xff", "E", "Z"}) {
    SendMessage(successor, odd);
  }
  SendMessage(successor, Pack('T', Claim{kHandoverVersion, "n1"}));
  std::string message = ReceiveMessage(successor);
  CHECK(message.front() == 'Z');
  HandoverStateReader reader;
  CHECK(reader.Add(message) == HandoverStateReader::Read::kComplete);
  CHECK(reader.result().hosts.size() == 1);
  Link client = Link::To(platform.listener.port);
  CHECK(ServeQuery(client, server, "t1").ends_with("fine"));
}

TEST_CASE("if the old process hangs or its socket is stale, the new one starts without it") {
  Platform platform;
  Peer server;
  const std::string config = AdminConfigText(Entry("s-1", server.port));
  {
    Descriptor stale(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    platform.socket().copy(at.sun_path, sizeof at.sun_path - 1);
    REQUIRE(bind(stale.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  }
  Program old(config, {"serve"}, nullptr, platform.environment());
  Link client = Link::To(platform.listener.port);
  CHECK(ServeQuery(client, server, "t1").ends_with("fine"));
  old.Signal(SIGSTOP);
  const auto began = std::chrono::steady_clock::now();
  Program next(config, {"serve"}, nullptr, platform.environment());
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(6));
  CHECK(next.output.find("nothing taken over: no answer in time") != std::string::npos);
  CHECK(CallStatus(next.admin, "GET", "/healthcheck") == 200);
  Link after = Link::To(platform.listener.port);
  CHECK(ServeQuery(after, server, "t2").ends_with("fine"));
}

TEST_CASE(
    "the decision state for other settings is not taken over, but nodes, those out of service and the "
    "listener are") {
  Platform platform;
  Peer one, two;
  const std::string known = Entry("s-1", one.port) + "," + Entry("s-2", two.port);
  Program old(AdminConfigText(known), {"serve"}, nullptr, platform.environment());
  REQUIRE(PostCall(old.admin, "/nodes/s-1/maint") == 200);
  Program next(ConfigText({.connect_timeout = 900000, .admin = "127.0.0.1:0"}), {"serve"}, nullptr,
               platform.environment());
  CHECK(next.output.find("took over without what the process before had learned: other settings") !=
        std::string::npos);
  Link client = Link::To(platform.listener.port);
  for (int i = 0; i < 5; ++i) CHECK(ServeQuery(client, two, Numbered("t", i)).ends_with("fine"));
  CHECK(old.Wait() == 0);
}

TEST_CASE("SIGTERM before the claim: the new process takes the listener of one that drains") {
  Platform platform;
  Peer server;
  const std::string config = AdminConfigText(Entry("s-1", server.port));
  Program old(config, {"serve"}, nullptr, platform.environment());
  Link busy = Link::To(platform.listener.port);
  busy.Write(Get("t1"));
  Link open_attempt = server.Accept();
  open_attempt.Read();
  old.Signal(SIGTERM);
  Program next(config, {"serve"}, nullptr, platform.environment());
  Link client = Link::To(platform.listener.port);
  CHECK(ServeQuery(client, server, "t2").ends_with("fine"));
  open_attempt.Write(Ok("owed", "Connection: close\r\n"));
  CHECK(busy.Read().ends_with("owed"));
  CHECK(old.Wait() == 0);
}

TEST_CASE("upgrades under load: each query is answered once, and no unsafe one runs twice") {
  Platform platform;
  CountingServer server;
  const std::string config = AdminConfigText(Entry("s-1", server.port()));
  int descriptors = 0;
  std::vector<std::unique_ptr<Program>> processes;
  processes.push_back(
      std::make_unique<Program>(config, std::vector<std::string>{"serve"}, nullptr, platform.environment()));
  LoadClients clients(platform.listener.port, 8, 400);
  for (int i = 0; i < 3; ++i) {
    processes.push_back(std::make_unique<Program>(config, std::vector<std::string>{"serve"}, nullptr,
                                                  platform.environment()));
    const long both = processes[processes.size() - 2]->Descriptors() + processes.back()->Descriptors();
    descriptors = std::max(descriptors, static_cast<int>(both));
    processes[processes.size() - 2]->Signal(SIGTERM);
    CHECK(processes[processes.size() - 2]->Wait() == 0);
  }
  clients.Join();
  const std::multiset<std::string>& ran = server.Stop();
  CHECK(clients.answered == 8 * 400);
  CHECK(ran.size() == 8 * 400);
  CHECK(std::set<std::string>(ran.begin(), ran.end()).size() == ran.size());
  CHECK(descriptors < 200);
}

TEST_CASE("a passed descriptor that can't be used ends the start in one line that names it") {
  Peer server;
  Link link = Link::To(server.port);
  const std::string config = ConfigText({});
  auto start = [&](const std::string& number, int passed) {
    Program program(config, {"serve"}, nullptr,
                    {.variables = {{"PROXY_PASSED_SOCKET", number}, {"TMPDIR", "/tmp"}}, .passed = passed});
    CHECK(program.Wait() == 2);
    return program.output;
  };
  CHECK(start("five", -1) == "burlfall: PROXY_PASSED_SOCKET: not a descriptor: five\n");
  CHECK(start("77", -1) ==
        "burlfall: PROXY_PASSED_SOCKET: descriptor 77 is no listening socket: Bad file descriptor\n");
  CHECK(start("5", link.fd()) ==
        "burlfall: PROXY_PASSED_SOCKET: descriptor 5 is no listening socket: Invalid argument\n");
  Program folder(
      config, {"serve"}, nullptr,
      {.variables = {{"PROXY_PASSED_SOCKET", "5"}, {"TMPDIR", "/nowhere"}}, .passed = server.fd()});
  CHECK(folder.Wait() == 2);
  CHECK(folder.output == "burlfall: TMPDIR: /nowhere: No such file or directory\n");
}

TEST_CASE(
    "an upgraded cluster member continues as a new incarnation: no member misses it or declares it dead") {
  Platform platform;
  // A loopback address for this process alone, which no other test uses.
  const int pid = getpid();
  std::string host("127.77.");
  host.append(std::to_string(pid / 250 % 250)).append(".").append(std::to_string(1 + pid % 250));
  auto settings = [&](const char* port) {
    std::string text = "site = \"s\"\nlisten = \"" + host;
    text.append(":").append(port).append("\"\nfolder = \"").append(platform.folder.path);
    return text.append("\"\nseeds = [\"")
        .append(host)
        .append(":7946\", \"")
        .append(host)
        .append(":7947\"]\n");
  };
  const TextFile one(settings("7946")), two(settings("7947"));
  Program old(AdminConfigText(""), {"serve", "--cluster", one.path}, nullptr, platform.environment());
  Program other(AdminConfigText(""), {"serve", "--cluster", two.path}, nullptr,
                {.variables = {{"PROXY_NAME", "n2"}}});
  REQUIRE(WaitForLog(other, "n1 is there"));
  REQUIRE(WaitForLog(old, "n2 is there"));
  Program successor(AdminConfigText(""), {"serve", "--cluster", one.path}, nullptr, platform.environment());
  CHECK(old.Wait() == 0);
  CHECK(WaitForLog(successor, "n2 is there"));
  REQUIRE(WaitForLog(other, "n1 is there, again"));
  // Longer than the suspicion timeout: a missed member would be declared dead by then.
  std::this_thread::sleep_for(std::chrono::seconds(6));
  CHECK(successor.Wait(SIGTERM) == 0);
  REQUIRE(WaitForLog(other, "n1 has left"));
  CHECK(other.output.find("n1 has left") == other.output.rfind("n1 has left"));
  CHECK(other.output.find("n1 is held dead") == std::string::npos);
  CHECK(other.output.find("no way to n1") == std::string::npos);
}

// ---- Signals, and a successor that dies, in any order ----------------------------------------------------

namespace {

// Waits for two turns of the event loop, so that the process has handled everything it has received so far.
void WaitTwoTurns(Program& program) {
  for (int i = 0; i < 2; ++i) {
    program.Signal(SIGUSR1);
    std::string line = program.ReadLine();
    while (!line.empty() && line.find("taken=") == std::string::npos) {
      program.output += line;
      line = program.ReadLine();
    }
    program.output += line;
  }
}

// A scripted successor that has claimed the listener.
Descriptor ClaimListener(const Platform& platform) {
  Descriptor successor = ConnectToSocket(platform.socket());
  SendMessage(successor, Pack('T', Claim{kHandoverVersion, "n1"}));
  CHECK(ReceiveMessage(successor).front() == 'Z');
  return successor;
}

}  // namespace

TEST_CASE("a successor that claims from a process that is already closing, and dies, costs no open query") {
  Platform platform;
  Peer server;
  Program old(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  Link busy = Link::To(platform.listener.port);
  busy.Write(Get("t1"));
  Link open_attempt = server.Accept();
  open_attempt.Read();
  old.Signal(SIGTERM);
  CHECK(WaitForLog(old, "draining: "));
  {
    const Descriptor successor = ClaimListener(platform);
    CHECK(WaitForLog(old, "closing: "));
    SendMessage(successor, "S");
    CHECK(WaitForLog(old, "handed over"));
  }
  WaitTwoTurns(old);
  open_attempt.Write(Ok("owed"));
  CHECK(busy.Read().ends_with("owed"));
  CHECK(old.Wait() == 0);
}

TEST_CASE("a process ends after SIGTERM, also if it takes the listener back from a successor that died") {
  Platform platform;
  Peer server;
  Program old(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  Link busy = Link::To(platform.listener.port);
  busy.Write(Get("t1"));
  Link open_attempt = server.Accept();
  open_attempt.Read();
  {
    const Descriptor successor = ClaimListener(platform);
    SendMessage(successor, "S");
    CHECK(WaitForLog(old, "handed over"));
    old.Signal(SIGTERM);
    WaitTwoTurns(old);
  }
  CHECK(WaitForLog(old, "this one serves again"));
  open_attempt.Write(Ok("owed"));
  CHECK(busy.Read().ends_with("owed"));
  REQUIRE(old.ExitsWithoutReader());
  CHECK(old.Wait() == 0);
  CHECK(old.output.find("draining: ") != std::string::npos);
}

namespace {

// A scripted old process, up to its successor's message that it serves. Between the claim and the hand-over
// state it calls `before_state` with the successor's process id.
class ScriptedPredecessor {
 public:
  ScriptedPredecessor(const Platform& platform, const Peer& server,
                      std::function<void(pid_t)> before_state = {})
      : listener_(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0)) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    platform.socket().copy(at.sun_path, sizeof at.sun_path - 1);
    REQUIRE(bind(listener_.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(listen(listener_.get(), 1) == 0);
    estate_.list = 5;
    HostRecord& host = estate_.hosts.emplace_back();
    host.id = 1;
    host.name = "s-1";
    host.address = "127.0.0.1:" + std::to_string(server.port);
    host.listed = meadowslip::BackendState::kReady;
    thread_ = std::thread([this, before_state = std::move(before_state)] { Run(before_state); });
  }
  ScriptedPredecessor(const ScriptedPredecessor&) = delete;
  ~ScriptedPredecessor() { Join(); }
  void Join() {
    if (thread_.joinable()) thread_.join();
  }
  // After Join(): whether the successor announced that it serves.
  bool successor_serves() const { return successor_serves_; }
  void Pass(const Link& link, const PassedLink& as) const {
    const std::string message = Pack('L', as);
    iovec part{const_cast<char*>(message.data()), message.size()};
    alignas(cmsghdr) char space[CMSG_SPACE(sizeof(int))] = {};
    msghdr header{};
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    header.msg_control = space;
    header.msg_controllen = sizeof space;
    cmsghdr* rights = CMSG_FIRSTHDR(&header);
    rights->cmsg_level = SOL_SOCKET;
    rights->cmsg_type = SCM_RIGHTS;
    rights->cmsg_len = CMSG_LEN(sizeof(int));
    const int fd = link.fd();
    std::memcpy(CMSG_DATA(rights), &fd, sizeof fd);
    REQUIRE(sendmsg(successor_.get(), &header, MSG_NOSIGNAL) > 0);
  }
  void End() { successor_ = Descriptor(); }
  std::string ReceiveFromSuccessor() const { return ReceiveMessage(successor_); }
  void SendToSuccessor(const std::string& message) const { SendMessage(successor_, message); }

 private:
  void Run(const std::function<void(pid_t)>& before_state) {
    if (!Readable(listener_.get(), kTimeoutSeconds * 1000)) return;
    successor_ = Descriptor(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    std::string message = ReceiveMessage(successor_);
    ucred credentials{};
    socklen_t length = sizeof credentials;
    getsockopt(successor_.get(), SOL_SOCKET, SO_PEERCRED, &credentials, &length);
    if (before_state) before_state(credentials.pid);
    for (const std::string& piece : SplitState(std::move(estate_))) {
      send(successor_.get(), piece.data(), piece.size(), MSG_NOSIGNAL);
    }
    while (!(message = ReceiveMessage(successor_)).empty() && message.front() != 'S') {
    }
    successor_serves_ = !message.empty();
  }

  Descriptor listener_, successor_;
  HandoverState estate_;
  bool successor_serves_ = false;
  std::thread thread_;
};

// Sends the signal and waits until it is no longer pending.
void SignalAndWait(pid_t process, int signal) {
  kill(process, signal);
  WaitUntil([&] {
    const std::string status = ReadFile("/proc/" + std::to_string(process) + "/status");
    const size_t at = status.find("ShdPnd:\t");
    return at != std::string::npos &&
           (std::stoull(status.substr(at + 8), nullptr, 16) >> (signal - 1) & 1U) == 0;
  });
}

}  // namespace

TEST_CASE("a successor that gets SIGTERM before it serves leaves the listener to the old process, and ends") {
  Platform platform;
  Peer server;
  ScriptedPredecessor old(platform, server, [](pid_t successor) { SignalAndWait(successor, SIGTERM); });
  Program successor(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  REQUIRE(successor.ExitsWithoutReader());
  CHECK(successor.Wait() == 0);
  old.Join();
  CHECK_FALSE(old.successor_serves());
}

TEST_CASE(
    "SIGHUP while a process waits for the hand-over state: it starts with the discovery that the file now "
    "names") {
  Platform platform;
  Peer server, before, now;
  Setup setup = {.known = Entry("s-1", server.port), .discovery = before.port};
  const TextFile file(ConfigText(setup));
  setup.discovery = now.port;
  ScriptedPredecessor old(platform, server, [&](pid_t successor) {
    file.Write(ConfigText(setup));
    SignalAndWait(successor, SIGHUP);
    if (!Readable(now.fd(), 300)) return;  // expected: it can't receive a list yet
    Link call = now.Accept();
    call.Read();
    call.TryWrite(Ok(List(2, true, Entry("s-1", server.port))));
    call.Read();
  });
  ChildEnvironment environment = platform.environment();
  environment.variables["PROXY_CONFIG"] = file.path;
  Program successor("", {"serve"}, nullptr, environment);
  old.Join();
  CHECK(old.successor_serves());
  Link call = now.Accept();
  // List versions may differ there, so the complete list is requested.
  CHECK(call.Read().starts_with("GET /discovery/hosts HTTP/1.1\r\n"));
  call.Write(Ok(List(2, true, Entry("s-1", server.port))));
  CHECK(call.Read().starts_with("GET /discovery/hosts?index=2&wait="));
  CHECK_FALSE(before.HasPendingConnection());
  Link client = Link::To(platform.listener.port);
  CHECK(ServeQuery(client, server, "t1").ends_with("fine"));
  CHECK(successor.Wait(SIGTERM) == 0);
}

TEST_CASE("links in transit are taken even if the old process ended with unread messages of the successor") {
  Platform platform;
  Peer server, elsewhere;
  ScriptedPredecessor old(platform, server);
  Program successor(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  old.Join();
  REQUIRE(old.successor_serves());
  // The call is forwarded to the old process, which does not read it.
  REQUIRE(PostCall(successor.admin, "/nodes/s-1/maint") == 200);
  REQUIRE(PostCall(successor.admin, "/nodes/s-1/ready") == 200);
  Link client = Link::To(elsewhere.port);
  successor.Signal(SIGSTOP);
  siginfo_t info{};
  REQUIRE(waitid(P_PID, static_cast<id_t>(successor.pid()), &info, WSTOPPED | WNOWAIT) == 0);
  {
    const Link accepted = elsewhere.Accept();
    old.Pass(accepted, {true, 0, "GET /look?user=1 HTTP/1.1\r\n"});
  }
  old.End();
  successor.Signal(SIGCONT);
  client.Write("X-Trace-Id: t1\r\n\r\n");
  REQUIRE(Readable(server.fd(), kTimeoutSeconds * 1000));
  Link link = server.Accept();
  CHECK(link.Read().find("X-Trace-Id: t1\r\n") != std::string::npos);
  link.Write(Ok("fine"));
  CHECK(client.Read().ends_with("fine"));
  CHECK(successor.Wait(SIGTERM) == 0);
}

TEST_CASE(
    "a manual drain that begins or ends during a hand-over is retained when the listener is taken back") {
  Platform platform;
  Peer server;
  Program old(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  const auto taken_back_after = [&](const std::function<void(const Descriptor&)>& during) {
    Link busy = Link::To(platform.listener.port);  // keeps the old process running
    busy.Write(Get("t"));
    Link open_attempt = server.Accept();
    open_attempt.Read();
    old.output.clear();
    {
      const Descriptor successor = ClaimListener(platform);
      SendMessage(successor, "S");
      CHECK(WaitForLog(old, "handed over"));
      during(successor);
    }
    CHECK(WaitForLog(old, "this one serves again"));
    open_attempt.Write(Ok("owed", "Connection: close\r\n"));
    CHECK(busy.Read().ends_with("owed"));
    return UpStatus(platform.listener.port);
  };
  // First through its own admin address, then through the successor.
  CHECK(taken_back_after(
            [&](const Descriptor&) { CHECK(PostCall(old.admin, "/healthcheck/fail") == 200); }) == 503);
  CHECK(taken_back_after([&](const Descriptor&) { CHECK(PostCall(old.admin, "/healthcheck/ok") == 200); }) ==
        200);
  CHECK(taken_back_after(
            [&](const Descriptor& successor) { SendMessage(successor, "A"), WaitTwoTurns(old); }) == 503);
  CHECK(taken_back_after(
            [&](const Descriptor& successor) { SendMessage(successor, "W"), WaitTwoTurns(old); }) == 200);
  CHECK(old.Wait(SIGTERM) == 0);
}

TEST_CASE("a successor that is drained manually notifies the old process") {
  Platform platform;
  Peer server;
  ScriptedPredecessor old(platform, server);
  Program successor(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  old.Join();
  REQUIRE(old.successor_serves());
  REQUIRE(PostCall(successor.admin, "/healthcheck/fail") == 200);
  CHECK(old.ReceiveFromSuccessor() == "A");
  REQUIRE(PostCall(successor.admin, "/healthcheck/ok") == 200);
  CHECK(old.ReceiveFromSuccessor() == "W");
  CHECK(successor.Wait(SIGTERM) == 0);
}

TEST_CASE("a process ends after SIGTERM even if its successor takes none of its links") {
  Platform platform;
  Peer server;
  const Setup setup = {.known = Entry("s-1", server.port), .sockets = 8192, .admin = "127.0.0.1:0"};
  Program old(ConfigText(setup), {"serve"}, nullptr, platform.environment());
  std::vector<Link> links;  // more than the kernel can hold in transit
  for (int i = 0; i < 500; ++i) {
    links.push_back(Link::To(platform.listener.port));
    links.back().Write("GET /up HTTP/1.1\r\n\r\n");
    REQUIRE(links.back().Read().find("Connection: close") == std::string::npos);
  }
  const Descriptor successor = ClaimListener(platform);
  SendMessage(successor, "S");
  CHECK(WaitForLog(old, "handed over"));
  old.Signal(SIGTERM);
  REQUIRE(old.ExitsWithoutReader());
  CHECK(old.Wait() == 0);
}

// ---- Operators' calls while a successor takes over --------------------------------------------------------

namespace {

// The next message with one of these letters; empty if the channel ends or none arrives.
std::string ReceiveOneOf(const Descriptor& channel, const std::string& letters) {
  std::string message = ReceiveMessage(channel);
  while (!message.empty() && letters.find(message.front()) == std::string::npos)
    message = ReceiveMessage(channel);
  return message;
}

}  // namespace

// Guards against an operator's call that is forgotten by an upgrade: the old process answers yes after it has
// given its state away, and before its successor serves.
TEST_CASE("a call that the old process accepts before its successor serves reaches the successor") {
  Platform platform;
  Peer server;
  Program old(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  const Descriptor successor = ClaimListener(platform);  // has the state, and does not serve
  REQUIRE(PostCall(old.admin, "/nodes/s-1/maint") == 200);
  REQUIRE(PostCall(old.admin, "/healthcheck/fail") == 200);
  REQUIRE(PostCall(old.admin, "/nodes/s-1/ready") == 200);
  REQUIRE(PostCall(old.admin, "/healthcheck/ok") == 200);
  std::string letters;
  for (int i = 0; i < 4; ++i) letters += ReceiveOneOf(successor, "OIAW").substr(0, 1);
  CHECK(letters == "OAIW");
}

namespace {

// Receives an operator's call about a node from the successor: the letter and the time of the call.
std::pair<char, Micros> ReceiveNodeCall(const ScriptedPredecessor& old) {
  const std::string message = old.ReceiveFromSuccessor();
  const auto call = message.empty() ? std::nullopt : Unpack<NodeChange>(message.substr(1));
  return call ? std::pair(message.front(), call->since) : std::pair('-', Micros{0});
}

}  // namespace

// Guards against a call that got a yes and is undone by an earlier one, made at the other process, that
// arrives later: a node is put back although it was taken out last, or the other way round.
TEST_CASE("of operator calls at two processes that cross, the later one holds") {
  Platform platform;
  Peer server;
  ScriptedPredecessor old(platform, server);
  Program successor(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  old.Join();
  REQUIRE(old.successor_serves());
  // Put back here, while the message that it was taken out there is still on its way.
  REQUIRE(PostCall(successor.admin, "/nodes/s-1/ready") == 200);
  const auto [back, back_at] = ReceiveNodeCall(old);
  CHECK(back == 'I');
  old.SendToSuccessor(Pack('O', NodeChange{"s-1", back_at - 1}));
  WaitTwoTurns(successor);
  CHECK(successor.output.find("s-1 is out by hand") == std::string::npos);
  // Taken out here once more, while the message that it was put back there is still on its way.
  REQUIRE(PostCall(successor.admin, "/nodes/s-1/maint") == 200);
  CHECK(ReceiveNodeCall(old).first == 'O');
  REQUIRE(PostCall(successor.admin, "/nodes/s-1/maint") == 200);
  const auto [out, out_at] = ReceiveNodeCall(old);
  CHECK(out == 'O');
  old.SendToSuccessor(Pack('I', NodeChange{"s-1", out_at - 1}));
  WaitTwoTurns(successor);
  CHECK(successor.output.find("s-1 is back") == std::string::npos);
  // A later call of the other process holds, also if its clock is behind and it knows of this one's calls.
  old.SendToSuccessor(Pack('I', NodeChange{"s-1", out_at + kSecond * 3600}));
  CHECK(WaitForLog(successor, "s-1 is back"));
  REQUIRE(PostCall(successor.admin, "/nodes/s-1/maint") == 200);
  const auto [last, last_at] = ReceiveNodeCall(old);  // forwarded to other processes, the sender among them
  CHECK(last == 'I');
  CHECK(ReceiveNodeCall(old) > std::pair('O', last_at));
  CHECK(successor.Wait(SIGTERM) == 0);
}

// Guards against a node out of service that is forgotten by a restart, because the process that writes the
// file last did not know of the call when it wrote.
TEST_CASE("the file of nodes out of service names a node that the other process took out") {
  Platform platform;
  Peer server;
  ScriptedPredecessor old(platform, server);
  Program successor(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  old.Join();
  REQUIRE(old.successor_serves());
  old.SendToSuccessor(Pack('O', NodeChange{"s-1", 1'800'000'000 * kSecond}));
  old.SendToSuccessor(Pack('O', NodeChange{"not-listed-here", 1'800'000'000 * kSecond}));
  WaitTwoTurns(successor);
  CHECK(successor.output.find("not-listed-here is out by hand") != std::string::npos);
  successor.Signal(SIGKILL);
  const std::string file = ReadFile(platform.folder.path + "/burlfall-n1.out");
  CHECK(file.find(" s-1\n") != std::string::npos);
  CHECK(file.find(" not-listed-here\n") != std::string::npos);
}

// ---- A successor that dies before it holds what it was given ---------------------------------------------
//
// These tests guard against the loss of the listener and of all connections when the successor dies early. An
// old process that ends once its last connection is written to the channel leaves no process behind if the
// successor dies before it has taken that connection (at the messages oL and oU of hT oZ hS oU oL oL oL oU
// oQ). The old process therefore asks its successor, and ends only after the answer that it holds the
// listener and all connections.

namespace {

constexpr int kIdleLinks = 3;

std::vector<Link> OpenIdleLinks(const Platform& platform, Peer& server) {
  std::vector<Link> links;
  for (int i = 0; i < kIdleLinks; ++i) {
    links.push_back(Link::To(platform.listener.port));
    CHECK(ServeQuery(links.back(), server, Numbered("quiet-", i)).ends_with("fine"));
  }
  return links;
}

// A scripted successor that serves and has announced that it answers the message C.
Descriptor Serving(const Platform& platform, Program& old) {
  Descriptor successor = ClaimListener(platform);
  SendMessage(successor, "SC");
  CHECK(WaitForLog(old, "handed over"));
  return successor;
}

// Reads until the message C, which asks what it holds.
bool ReceivesHoldQuery(const Descriptor& successor) {
  std::string message = ReceiveMessage(successor);
  while (!message.empty() && message != "C") message = ReceiveMessage(successor);
  return message == "C";
}

}  // namespace

TEST_CASE("a successor that dies after any number of messages leaves the listener to the old process") {
  for (const bool by_hand : {false, true}) {
    for (int messages = 0; messages <= 6; ++messages) {
      INFO("read " << messages << " messages, drained by hand: " << by_hand);
      Platform platform;
      Peer server;
      const std::string config = AdminConfigText(Entry("s-1", server.port));
      Program old(config, {"serve"}, nullptr, platform.environment());
      const std::vector<Link> idle_links = OpenIdleLinks(platform, server);
      if (by_hand) REQUIRE(PostCall(old.admin, "/healthcheck/fail") == 200);
      {
        const Descriptor successor = Serving(platform, old);
        for (int i = 0; i < messages; ++i) CHECK_FALSE(ReceiveMessage(successor).empty());
      }
      REQUIRE(WaitForLog(old, "this one serves again"));
      CHECK(UpStatus(platform.listener.port) == (by_hand ? 503 : 200));
      Link client = Link::To(platform.listener.port);
      CHECK(ServeQuery(client, server, "after").ends_with("fine"));
      // After a second upgrade the old process ends without a signal.
      Program next(config, {"serve"}, nullptr, platform.environment());
      CHECK(next.output.find("took over") != std::string::npos);
      CHECK(old.Wait() == 0);
      CHECK(next.Wait(SIGTERM) == 0);
    }
  }
}

TEST_CASE("the old process ends only once its successor confirms that it holds all connections") {
  Platform platform;
  Peer server;
  Program old(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  {
    const std::vector<Link> idle_links = OpenIdleLinks(platform, server);
    const Descriptor successor = Serving(platform, old);
    REQUIRE(ReceivesHoldQuery(successor));
    SendMessage(successor, Pack('K', ReceivedLinks{kIdleLinks - 1}));
    WaitTwoTurns(old);
  }
  REQUIRE(WaitForLog(old, "this one serves again, without 1 client links"));
  const std::vector<Link> idle_links = OpenIdleLinks(platform, server);
  const Descriptor successor = Serving(platform, old);
  REQUIRE(ReceivesHoldQuery(successor));
  SendMessage(successor, Pack('K', ReceivedLinks{kIdleLinks}));
  CHECK(old.Wait() == 0);
}

TEST_CASE(
    "after SIGTERM the old process waits for its successor's confirmation no longer than a drain lasts") {
  Platform platform;
  Peer server;
  Program old(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  const std::vector<Link> idle_links = OpenIdleLinks(platform, server);
  const Descriptor successor = Serving(platform, old);
  REQUIRE(ReceivesHoldQuery(successor));
  old.Signal(SIGTERM);
  REQUIRE(old.ExitsWithoutReader());
  CHECK(old.Wait() == 0);
}

TEST_CASE("a successor of an earlier version, which is not asked, ends the old process as before") {
  Platform platform;
  Peer server;
  Program old(AdminConfigText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.environment());
  const Descriptor successor = ClaimListener(platform);
  SendMessage(successor, "S");
  CHECK(old.Wait() == 0);
}

}  // namespace burlfall
