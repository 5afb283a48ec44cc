// Stories of an upgrade: two real processes of one balancer, with the clients' listener passed to both.
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

// What the platform has: a listener that every process inherits, and a folder that all see.
struct Platform {
  Peer door;
  Folder folder;
  World world() {
    return {.variables = {{"TMPDIR", folder.path}, {"PROXY_PASSED_SOCKET", "5"}}, .passed = door.fd()};
  }
  std::string socket() const { return folder.path + "/burlfall-n1.sock"; }
};

std::string SiteText(const std::string& known) {
  return ConfigText({.known = known, .admin = "127.0.0.1:0"});
}

std::string Numbered(std::string name, int i) { return name.append(std::to_string(i)); }

// Reads lines until one that has `what`, or there are none for kPatience.
bool Says(Program& program, const std::string& what) {
  if (program.output.find(what) != std::string::npos) return true;
  for (std::string line = program.AnyLine(); !line.empty(); line = program.AnyLine()) {
    program.output += line;
    if (line.find(what) != std::string::npos) return true;
  }
  return false;
}

Descriptor Meet(const std::string& path) {
  Descriptor fd(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  path.copy(at.sun_path, sizeof at.sun_path - 1);
  REQUIRE(connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  return fd;
}
void Say(const Descriptor& fd, const std::string& message) {
  REQUIRE(send(fd.get(), message.data(), message.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(message.size()));
}
std::string Hear(const Descriptor& fd) {  // empty: it ended
  if (!Readable(fd.get(), kPatience * 1000)) return "";
  std::string message(65536, '\0');
  const ssize_t n = recv(fd.get(), message.data(), message.size(), 0);
  message.resize(n > 0 ? static_cast<size_t>(n) : 0);
  return message;
}

}  // namespace

TEST_CASE("an upgrade passes quiet links on, with what was read of them, and answers what is on its way") {
  Platform platform;
  Peer server;
  const std::string config = SiteText(Entry("s-1", server.port));
  Program old(config, {"serve"}, nullptr, platform.world());
  Link quiet = Link::To(platform.door.port), half = Link::To(platform.door.port),
       busy = Link::To(platform.door.port), fresh = Link::To(platform.door.port);
  CHECK(Served(quiet, server, "t1").ends_with("fine"));
  const std::string query = Get("t2");
  half.Write(query.substr(0, 20));
  busy.Write(Get("t3"));
  Link at_work = server.Accept();
  at_work.Read();
  Program next(config, {"serve"}, nullptr, platform.world());
  CHECK(Call(next.admin, "GET", "/healthcheck") == 200);
  CHECK(next.output.find("took over: 1 known nodes, 0 out by hand; 1 queries stay") != std::string::npos);
  CHECK(Says(old, "handed over"));
  old.Signal(SIGTERM);
  half.Write(query.substr(20));
  Link for_half = server.Accept();
  for_half.Read();
  for_half.Write(Ok("half", "Connection: close\r\n"));
  CHECK(half.Read().ends_with("half"));
  const std::string answer = Served(quiet, server, "t4");
  CHECK(answer.ends_with("fine"));
  CHECK(answer.find("Connection: close") == std::string::npos);
  CHECK(Served(fresh, server, "t5").ends_with("fine"));
  at_work.Write(Ok("late", "Connection: close\r\n"));
  CHECK(busy.Read().ends_with("late"));
  CHECK(old.Wait() == 0);
  CHECK(Served(busy, server, "t6").ends_with("fine"));  // that link too is the new one's
  Link after = Link::To(platform.door.port);
  CHECK(Served(after, server, "t7").ends_with("fine"));
  CHECK(next.Wait(SIGTERM) == 0);
}

TEST_CASE("nodes out by hand, a drain and what operators say later hold for both processes") {
  Platform platform;
  Peer one, two;
  const std::string config = SiteText(Entry("s-1", one.port) + "," + Entry("s-2", two.port));
  Program old(config, {"serve"}, nullptr, platform.world());
  Link client = Link::To(platform.door.port);
  client.Write(Get("t0"));  // keeps the old one there
  Peer& holder = Peer::Called(one, two);
  Link at_work = holder.Accept();
  at_work.Read();
  REQUIRE(Tell(old.admin, "/nodes/s-1/maint") == 200);
  REQUIRE(Tell(old.admin, "/healthcheck/fail") == 200);
  // Without the file: the hand-over itself tells.
  std::filesystem::remove(platform.folder.path + "/burlfall-n1.out");
  Program next(config, {"serve"}, nullptr, platform.world());
  CHECK(next.output.find("1 out by hand") != std::string::npos);
  CHECK(Call(next.admin, "GET", "/healthcheck") == 200);
  CHECK(Says(next, "burlfall-n1.out is written again"));
  CHECK(Up(platform.door.port) == 503);
  REQUIRE(Tell(next.admin, "/healthcheck/ok") == 200);
  CHECK(Up(platform.door.port) == 200);
  Link again = Link::To(platform.door.port);
  for (int i = 0; i < 10; ++i) CHECK(Served(again, two, Numbered("t", i)).ends_with("fine"));
  REQUIRE(Tell(old.admin, "/nodes/s-2/maint") == 200);  // at the old one's address
  REQUIRE(Tell(next.admin, "/nodes/s-1/ready") == 200);
  CHECK(Says(next, "s-2 is out by hand"));
  CHECK(Says(old, "s-1 is back"));
  for (int i = 0; i < 5; ++i) CHECK(Served(again, one, Numbered("u", i)).ends_with("fine"));
  at_work.Write(Ok("done", "Connection: close\r\n"));
  CHECK(client.Read().ends_with("done"));
  CHECK(old.Wait() == 0);
}

TEST_CASE("a second upgrade right after the first, and the first process still has an answer to give") {
  Platform platform;
  Peer server;
  const std::string config = SiteText(Entry("s-1", server.port));
  Program first(config, {"serve"}, nullptr, platform.world());
  Link busy = Link::To(platform.door.port), quiet = Link::To(platform.door.port);
  CHECK(Served(quiet, server, "t1").ends_with("fine"));
  busy.Write(Post("open", "t2", "x"));
  Link at_work = server.Accept();
  at_work.Read();
  Program second(config, {"serve"}, nullptr, platform.world());
  Program third(config, {"serve"}, nullptr, platform.world());
  CHECK(third.output.find("took over") != std::string::npos);
  CHECK(Served(quiet, server, "t3").ends_with("fine"));
  at_work.Write(Ok("once", "Connection: close\r\n"));
  CHECK(busy.Read().ends_with("once"));
  CHECK_FALSE(server.Called());
  CHECK(first.Wait() == 0);
  CHECK(second.Wait() == 0);
  CHECK(Served(quiet, server, "t4").ends_with("fine"));
}

TEST_CASE("an heir that dies before it serves leaves the door to the old process, and after it too") {
  Platform platform;
  Peer server;
  const std::string config = SiteText(Entry("s-1", server.port));
  Program old(config, {"serve"}, nullptr, platform.world());
  Link quiet = Link::To(platform.door.port);
  CHECK(Served(quiet, server, "t1").ends_with("fine"));
  const std::string claim = Pack('T', Claim{kHandoverVersion, "n1"});
  {
    const Descriptor heir = Meet(platform.socket());
    Say(heir, claim);
    CHECK(Hear(heir).front() == 'Z');
  }
  CHECK(Says(old, "did not come to serve"));
  Link client = Link::To(platform.door.port);
  CHECK(Served(client, server, "t2").ends_with("fine"));
  {
    const Descriptor heir = Meet(platform.socket());
    Say(heir, claim);
    CHECK(Hear(heir).front() == 'Z');
    Say(heir, "S");
    CHECK(Says(old, "handed over"));
  }
  CHECK(Says(old, "this one serves again"));
  Link after = Link::To(platform.door.port);
  CHECK(Served(after, server, "t3").ends_with("fine"));
  Program next(config, {"serve"}, nullptr, platform.world());  // and can be taken over from again
  CHECK(next.output.find("took over") != std::string::npos);
  CHECK(old.Wait() == 0);
}

TEST_CASE("an heir that hangs leaves the door to the old process after a while") {
  Platform platform;
  Peer server;
  Program old(SiteText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.world());
  const Descriptor heir = Meet(platform.socket());
  Say(heir, Pack('T', Claim{kHandoverVersion, "n1"}));
  CHECK(Hear(heir).front() == 'Z');
  Link client = Link::To(platform.door.port);
  CHECK(Served(client, server, "t1").ends_with("fine"));
  CHECK(old.Wait(SIGTERM) == 0);
}

TEST_CASE("claims that can't be met are refused by name, and nothing stops") {
  Platform platform;
  Peer server;
  Program old(SiteText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.world());
  CHECK(Says(old, "serves at"));
  for (const std::string& bad :
       {Pack('T', Claim{7, "n1"}), Pack('T', Claim{1, "n2"}), std::string("Tnonsense"), std::string("T")}) {
    const Descriptor heir = Meet(platform.socket());
    Say(heir, bad);
    CHECK(Hear(heir).front() == 'N');
  }
  const Descriptor heir = Meet(platform.socket());
  for (const char* odd : {"L", "S", "U123", "Q", "x", "O\xff\xff\xff\xff\xff\xff\xff\xff\xff", "E", "Z"}) {
    Say(heir, odd);
  }
  Say(heir, Pack('T', Claim{kHandoverVersion, "n1"}));
  std::string message = Hear(heir);
  CHECK(message.front() == 'Z');
  HandoverStateReader reader;
  CHECK(reader.Add(message) == HandoverStateReader::Read::kComplete);
  CHECK(reader.result().hosts.size() == 1);
  Link client = Link::To(platform.door.port);
  CHECK(Served(client, server, "t1").ends_with("fine"));
}

TEST_CASE("an old process that hangs, a stale socket, a refusal: the new one begins by itself") {
  Platform platform;
  Peer server;
  const std::string config = SiteText(Entry("s-1", server.port));
  {
    Descriptor stale(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    platform.socket().copy(at.sun_path, sizeof at.sun_path - 1);
    REQUIRE(bind(stale.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  }
  Program old(config, {"serve"}, nullptr, platform.world());
  Link client = Link::To(platform.door.port);
  CHECK(Served(client, server, "t1").ends_with("fine"));
  old.Signal(SIGSTOP);
  const auto began = std::chrono::steady_clock::now();
  Program next(config, {"serve"}, nullptr, platform.world());
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(6));
  CHECK(next.output.find("nothing taken over: no answer in time") != std::string::npos);
  CHECK(Call(next.admin, "GET", "/healthcheck") == 200);
  Link after = Link::To(platform.door.port);
  CHECK(Served(after, server, "t2").ends_with("fine"));
}

TEST_CASE("a module of other settings is not taken over, but nodes, bans and the door are") {
  Platform platform;
  Peer one, two;
  const std::string known = Entry("s-1", one.port) + "," + Entry("s-2", two.port);
  Program old(SiteText(known), {"serve"}, nullptr, platform.world());
  REQUIRE(Tell(old.admin, "/nodes/s-1/maint") == 200);
  Program next(ConfigText({.connect_timeout = 900000, .admin = "127.0.0.1:0"}), {"serve"}, nullptr,
               platform.world());
  CHECK(next.output.find("took over without what the process before had learned: other settings") !=
        std::string::npos);
  Link client = Link::To(platform.door.port);
  for (int i = 0; i < 5; ++i) CHECK(Served(client, two, Numbered("t", i)).ends_with("fine"));
  CHECK(old.Wait() == 0);
}

TEST_CASE("SIGTERM before the claim: the new process takes the door of one that drains") {
  Platform platform;
  Peer server;
  const std::string config = SiteText(Entry("s-1", server.port));
  Program old(config, {"serve"}, nullptr, platform.world());
  Link busy = Link::To(platform.door.port);
  busy.Write(Get("t1"));
  Link at_work = server.Accept();
  at_work.Read();
  old.Signal(SIGTERM);
  Program next(config, {"serve"}, nullptr, platform.world());
  Link client = Link::To(platform.door.port);
  CHECK(Served(client, server, "t2").ends_with("fine"));
  at_work.Write(Ok("owed", "Connection: close\r\n"));
  CHECK(busy.Read().ends_with("owed"));
  CHECK(old.Wait() == 0);
}

TEST_CASE("upgrades under load: each query is answered once, and no unsafe one runs twice") {
  Platform platform;
  CountingServer server;
  const std::string config = SiteText(Entry("s-1", server.port()));
  int descriptors = 0;
  std::vector<std::unique_ptr<Program>> processes;
  processes.push_back(
      std::make_unique<Program>(config, std::vector<std::string>{"serve"}, nullptr, platform.world()));
  LoadingClients clients(platform.door.port, 8, 400);
  for (int i = 0; i < 3; ++i) {
    processes.push_back(
        std::make_unique<Program>(config, std::vector<std::string>{"serve"}, nullptr, platform.world()));
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

TEST_CASE("an upgrade of a cluster's member is a new life in its place: nobody misses it or holds it dead") {
  Platform platform;
  // Loopback has addresses to spare: one for this process, which no other test takes.
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
  Program old(SiteText(""), {"serve", "--cluster", one.path}, nullptr, platform.world());
  Program other(SiteText(""), {"serve", "--cluster", two.path}, nullptr,
                {.variables = {{"PROXY_NAME", "n2"}}});
  REQUIRE(Says(other, "n1 is there"));
  REQUIRE(Says(old, "n2 is there"));
  Program heir(SiteText(""), {"serve", "--cluster", one.path}, nullptr, platform.world());
  CHECK(old.Wait() == 0);
  CHECK(Says(heir, "n2 is there"));
  REQUIRE(Says(other, "n1 is there, again"));
  // Longer than a suspicion lasts: a member that was missed would be dead by then.
  std::this_thread::sleep_for(std::chrono::seconds(6));
  CHECK(heir.Wait(SIGTERM) == 0);
  REQUIRE(Says(other, "n1 has left"));
  CHECK(other.output.find("n1 has left") == other.output.rfind("n1 has left"));
  CHECK(other.output.find("n1 is held dead") == std::string::npos);
  CHECK(other.output.find("no way to n1") == std::string::npos);
}

// ---- Signals, and an heir that dies, in any order --------------------------------------------------------

namespace {

// What this process has heard of by now it has acted on: two turns have gone by since.
void TwoTurns(Program& program) {
  for (int i = 0; i < 2; ++i) {
    program.Signal(SIGUSR1);
    std::string line = program.AnyLine();
    while (!line.empty() && line.find("taken=") == std::string::npos) {
      program.output += line;
      line = program.AnyLine();
    }
    program.output += line;
  }
}

// An heir that claims the door; it is scripted from then on.
Descriptor Claimed(const Platform& platform) {
  Descriptor heir = Meet(platform.socket());
  Say(heir, Pack('T', Claim{kHandoverVersion, "n1"}));
  CHECK(Hear(heir).front() == 'Z');
  return heir;
}

}  // namespace

TEST_CASE(
    "an heir that takes the door of a process that closes already, and dies, ends nothing that is owed") {
  Platform platform;
  Peer server;
  Program old(SiteText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.world());
  Link busy = Link::To(platform.door.port);
  busy.Write(Get("t1"));
  Link at_work = server.Accept();
  at_work.Read();
  old.Signal(SIGTERM);
  CHECK(Says(old, "draining: "));
  {
    const Descriptor heir = Claimed(platform);
    CHECK(Says(old, "closing: "));
    Say(heir, "S");
    CHECK(Says(old, "handed over"));
  }
  TwoTurns(old);
  at_work.Write(Ok("owed"));
  CHECK(busy.Read().ends_with("owed"));
  CHECK(old.Wait() == 0);
}

TEST_CASE("a process that was told to end ends, also where it takes the door back from an heir that died") {
  Platform platform;
  Peer server;
  Program old(SiteText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.world());
  Link busy = Link::To(platform.door.port);
  busy.Write(Get("t1"));
  Link at_work = server.Accept();
  at_work.Read();
  {
    const Descriptor heir = Claimed(platform);
    Say(heir, "S");
    CHECK(Says(old, "handed over"));
    old.Signal(SIGTERM);
    TwoTurns(old);
  }
  CHECK(Says(old, "this one serves again"));
  at_work.Write(Ok("owed"));
  CHECK(busy.Read().ends_with("owed"));
  REQUIRE(old.EndsUnread());
  CHECK(old.Wait() == 0);
  CHECK(old.output.find("draining: ") != std::string::npos);
}

namespace {

// The process before, scripted up to its heir's word that it serves. Between the claim and the estate it does
// what the story says, with the heir's process.
class ScriptedOld {
 public:
  ScriptedOld(const Platform& platform, const Peer& server, std::function<void(pid_t)> between = {})
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
    thread_ = std::thread([this, between = std::move(between)] { Run(between); });
  }
  ScriptedOld(const ScriptedOld&) = delete;
  ~ScriptedOld() { Join(); }
  void Join() {
    if (thread_.joinable()) thread_.join();
  }
  bool took_door() const { return took_door_; }  // once joined: the heir says that it serves
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
    REQUIRE(sendmsg(heir_.get(), &header, MSG_NOSIGNAL) > 0);
  }
  void End() { heir_ = Descriptor(); }
  std::string HearHeir() const { return Hear(heir_); }

 private:
  void Run(const std::function<void(pid_t)>& between) {
    if (!Readable(listener_.get(), kPatience * 1000)) return;
    heir_ = Descriptor(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    std::string message = Hear(heir_);
    ucred who{};
    socklen_t length = sizeof who;
    getsockopt(heir_.get(), SOL_SOCKET, SO_PEERCRED, &who, &length);
    if (between) between(who.pid);
    for (const std::string& piece : SplitState(std::move(estate_))) {
      send(heir_.get(), piece.data(), piece.size(), MSG_NOSIGNAL);
    }
    while (!(message = Hear(heir_)).empty() && message.front() != 'S') {
    }
    took_door_ = !message.empty();
  }

  Descriptor listener_, heir_;
  HandoverState estate_;
  bool took_door_ = false;
  std::thread thread_;
};

// Sends the signal, and waits until the process has taken it.
void SignalAndWait(pid_t process, int signal) {
  kill(process, signal);
  Until([&] {
    const std::string status = Text("/proc/" + std::to_string(process) + "/status");
    const size_t at = status.find("ShdPnd:\t");
    return at != std::string::npos &&
           (std::stoull(status.substr(at + 8), nullptr, 16) >> (signal - 1) & 1U) == 0;
  });
}

}  // namespace

TEST_CASE("an heir that is told to end before it serves leaves the door to the old process, and ends") {
  Platform platform;
  Peer server;
  ScriptedOld old(platform, server, [](pid_t heir) { SignalAndWait(heir, SIGTERM); });
  Program heir(SiteText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.world());
  REQUIRE(heir.EndsUnread());
  CHECK(heir.Wait() == 0);
  old.Join();
  CHECK_FALSE(old.took_door());
}

TEST_CASE("SIGHUP while a process awaits its estate: it begins at the discovery that the file now names") {
  Platform platform;
  Peer server, before, now;
  Setup setup = {.known = Entry("s-1", server.port), .discovery = before.port};
  const TextFile file(ConfigText(setup));
  setup.discovery = now.port;
  ScriptedOld old(platform, server, [&](pid_t heir) {
    file.Write(ConfigText(setup));
    SignalAndWait(heir, SIGHUP);
    if (!Readable(now.fd(), 300)) return;  // as it should be: it has nothing yet that could take a list
    Link call = now.Accept();
    call.Read();
    call.TryWrite(Ok(List(2, true, Entry("s-1", server.port))));
    call.Read();
  });
  World world = platform.world();
  world.variables["PROXY_CONFIG"] = file.path;
  Program heir("", {"serve"}, nullptr, world);
  old.Join();
  CHECK(old.took_door());
  Link call = now.Accept();
  // Versions may differ there: the whole list.
  CHECK(call.Read().starts_with("GET /discovery/hosts HTTP/1.1\r\n"));
  call.Write(Ok(List(2, true, Entry("s-1", server.port))));
  CHECK(call.Read().starts_with("GET /discovery/hosts?index=2&wait="));
  CHECK_FALSE(before.Called());
  Link client = Link::To(platform.door.port);
  CHECK(Served(client, server, "t1").ends_with("fine"));
  CHECK(heir.Wait(SIGTERM) == 0);
}

TEST_CASE("links on their way are taken also where the old process ended with words of the heir's unread") {
  Platform platform;
  Peer server, elsewhere;
  ScriptedOld old(platform, server);
  Program heir(SiteText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.world());
  old.Join();
  REQUIRE(old.took_door());
  REQUIRE(Tell(heir.admin, "/nodes/s-1/maint") == 200);  // told to the old one, which does not read it
  REQUIRE(Tell(heir.admin, "/nodes/s-1/ready") == 200);
  Link client = Link::To(elsewhere.port);
  heir.Signal(SIGSTOP);
  siginfo_t info{};
  REQUIRE(waitid(P_PID, static_cast<id_t>(heir.pid()), &info, WSTOPPED | WNOWAIT) == 0);
  {
    const Link accepted = elsewhere.Accept();
    old.Pass(accepted, {true, 0, "GET /look?user=1 HTTP/1.1\r\n"});
  }
  old.End();
  heir.Signal(SIGCONT);
  client.Write("X-Trace-Id: t1\r\n\r\n");
  REQUIRE(Readable(server.fd(), kPatience * 1000));
  Link link = server.Accept();
  CHECK(link.Read().find("X-Trace-Id: t1\r\n") != std::string::npos);
  link.Write(Ok("fine"));
  CHECK(client.Read().ends_with("fine"));
  CHECK(heir.Wait(SIGTERM) == 0);
}

TEST_CASE("a drain by hand during a hand-over holds where the door is taken back, and its end does too") {
  Platform platform;
  Peer server;
  Program old(SiteText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.world());
  const auto taken_back_after = [&](const std::function<void(const Descriptor&)>& during) {
    Link busy = Link::To(platform.door.port);  // keeps the old one there
    busy.Write(Get("t"));
    Link at_work = server.Accept();
    at_work.Read();
    old.output.clear();
    {
      const Descriptor heir = Claimed(platform);
      Say(heir, "S");
      CHECK(Says(old, "handed over"));
      during(heir);
    }
    CHECK(Says(old, "this one serves again"));
    at_work.Write(Ok("owed", "Connection: close\r\n"));
    CHECK(busy.Read().ends_with("owed"));
    return Up(platform.door.port);
  };
  // Told at its own second address, then by the heir, whom operators told.
  CHECK(taken_back_after([&](const Descriptor&) { CHECK(Tell(old.admin, "/healthcheck/fail") == 200); }) ==
        503);
  CHECK(taken_back_after([&](const Descriptor&) { CHECK(Tell(old.admin, "/healthcheck/ok") == 200); }) ==
        200);
  CHECK(taken_back_after([&](const Descriptor& heir) { Say(heir, "A"), TwoTurns(old); }) == 503);
  CHECK(taken_back_after([&](const Descriptor& heir) { Say(heir, "W"), TwoTurns(old); }) == 200);
  CHECK(old.Wait(SIGTERM) == 0);
}

TEST_CASE("an heir that is drained by hand tells the process before it") {
  Platform platform;
  Peer server;
  ScriptedOld old(platform, server);
  Program heir(SiteText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.world());
  old.Join();
  REQUIRE(old.took_door());
  REQUIRE(Tell(heir.admin, "/healthcheck/fail") == 200);
  CHECK(old.HearHeir() == "A");
  REQUIRE(Tell(heir.admin, "/healthcheck/ok") == 200);
  CHECK(old.HearHeir() == "W");
  CHECK(heir.Wait(SIGTERM) == 0);
}

TEST_CASE("a process that is told to end ends, also where its heir takes none of its links") {
  Platform platform;
  Peer server;
  const Setup setup = {.known = Entry("s-1", server.port), .sockets = 8192, .admin = "127.0.0.1:0"};
  Program old(ConfigText(setup), {"serve"}, nullptr, platform.world());
  std::vector<Link> links;  // more than the system holds on their way
  for (int i = 0; i < 500; ++i) {
    links.push_back(Link::To(platform.door.port));
    links.back().Write("GET /up HTTP/1.1\r\n\r\n");
    REQUIRE(links.back().Read().find("Connection: close") == std::string::npos);
  }
  const Descriptor heir = Claimed(platform);
  Say(heir, "S");
  CHECK(Says(old, "handed over"));
  old.Signal(SIGTERM);
  REQUIRE(old.EndsUnread());
  CHECK(old.Wait() == 0);
}

// ---- A successor that dies before it holds what it was given ---------------------------------------------
//
// Clients saw that nobody answered at all after an upgrade whose new process died early. The old one ended
// once its last connection was written to the channel; nothing said that the new one had taken it. Where that
// one died in between, the listener had nobody, and the connections were gone. Seen under the sanitizers,
// where the window is wide: killed at the messages oL and oU of hT oZ hS oU oL oL oL oU oQ, the old process
// was a zombie with exit code 0, and had not been told to end. In Release the scripted successor below makes
// it happen each time. Now the old process asks, and ends once the new one says that it holds the listener
// and all connections.

namespace {

constexpr int kQuietLinks = 3;

std::vector<Link> QuietLinks(const Platform& platform, Peer& server) {
  std::vector<Link> links;
  for (int i = 0; i < kQuietLinks; ++i) {
    links.push_back(Link::To(platform.door.port));
    CHECK(Served(links.back(), server, Numbered("quiet-", i)).ends_with("fine"));
  }
  return links;
}

// A scripted successor that has the listener, and says that it answers C.
Descriptor Serving(const Platform& platform, Program& old) {
  Descriptor successor = Claimed(platform);
  Say(successor, "SC");
  CHECK(Says(old, "handed over"));
  return successor;
}

// Reads on until it is asked what it holds.
bool IsAsked(const Descriptor& successor) {
  std::string message = Hear(successor);
  while (!message.empty() && message != "C") message = Hear(successor);
  return message == "C";
}

}  // namespace

TEST_CASE("a successor that dies at any message, unread, leaves the listener to the old process") {
  for (const bool by_hand : {false, true}) {
    for (int messages = 0; messages <= 6; ++messages) {
      INFO("read " << messages << " messages, drained by hand: " << by_hand);
      Platform platform;
      Peer server;
      const std::string config = SiteText(Entry("s-1", server.port));
      Program old(config, {"serve"}, nullptr, platform.world());
      const std::vector<Link> quiet = QuietLinks(platform, server);
      if (by_hand) REQUIRE(Tell(old.admin, "/healthcheck/fail") == 200);
      {
        const Descriptor successor = Serving(platform, old);
        for (int i = 0; i < messages; ++i) CHECK_FALSE(Hear(successor).empty());
      }
      REQUIRE(Says(old, "this one serves again"));
      CHECK(Up(platform.door.port) == (by_hand ? 503 : 200));
      Link client = Link::To(platform.door.port);
      CHECK(Served(client, server, "after").ends_with("fine"));
      // A second upgrade, and the old process ends by itself.
      Program next(config, {"serve"}, nullptr, platform.world());
      CHECK(next.output.find("took over") != std::string::npos);
      CHECK(old.Wait() == 0);
      CHECK(next.Wait(SIGTERM) == 0);
    }
  }
}

TEST_CASE("the old process ends once its successor says that it holds all connections, and no sooner") {
  Platform platform;
  Peer server;
  Program old(SiteText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.world());
  {
    const std::vector<Link> quiet = QuietLinks(platform, server);
    const Descriptor successor = Serving(platform, old);
    REQUIRE(IsAsked(successor));
    Say(successor, Pack('K', ReceivedLinks{kQuietLinks - 1}));
    TwoTurns(old);
  }
  REQUIRE(Says(old, "this one serves again, without 1 client links"));
  const std::vector<Link> quiet = QuietLinks(platform, server);
  const Descriptor successor = Serving(platform, old);
  REQUIRE(IsAsked(successor));
  Say(successor, Pack('K', ReceivedLinks{kQuietLinks}));
  CHECK(old.Wait() == 0);
}

TEST_CASE("an old process that is told to end waits for its successor's word no longer than a drain lasts") {
  Platform platform;
  Peer server;
  Program old(SiteText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.world());
  const std::vector<Link> quiet = QuietLinks(platform, server);
  const Descriptor successor = Serving(platform, old);
  REQUIRE(IsAsked(successor));
  old.Signal(SIGTERM);
  REQUIRE(old.EndsUnread());
  CHECK(old.Wait() == 0);
}

TEST_CASE("a successor of an earlier version, which is not asked, ends the old process as before") {
  Platform platform;
  Peer server;
  Program old(SiteText(Entry("s-1", server.port)), {"serve"}, nullptr, platform.world());
  const Descriptor successor = Claimed(platform);
  Say(successor, "S");
  CHECK(old.Wait() == 0);
}

}  // namespace burlfall
