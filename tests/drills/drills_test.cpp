// Drills: things that the real process depends on are made to fail. Shortages are resource limits on the
// process that the drill started and on no other. docs/on-call.md describes what staff see of each.
#define CATCH_CONFIG_MAIN
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/un.h>

#include <cstring>
#include <thread>

#include "handover/handover_state.h"
#include "service/operators.h"

namespace burlfall {
namespace {

using std::chrono::milliseconds;

double SecondsSince(std::chrono::steady_clock::time_point since) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - since).count();
}

// Processor time that the process has used, in seconds.
double CpuSeconds(const Program& program) {
  const std::string text = ReadFile("/proc/" + std::to_string(program.pid()) + "/stat");
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void Limit(const Program& program, __rlimit_resource resource, rlim_t to) {
  rlimit limit{};
  REQUIRE(prlimit(program.pid(), resource, nullptr, &limit) == 0);
  limit.rlim_cur = to;
  REQUIRE(prlimit(program.pid(), resource, &limit, nullptr) == 0);
}

void PauseProcess(const Program& program) {
  program.Signal(SIGSTOP);
  siginfo_t info{};
  REQUIRE(waitid(P_PID, static_cast<id_t>(program.pid()), &info, WSTOPPED | WNOWAIT) == 0);
}

std::string Numbered(std::string name, int i) { return name.append(std::to_string(i)); }

std::string TwoEntries(const Peer& one, const Peer& two) {
  return Entry("s-1", one.port) + "," + Entry("s-2", two.port);
}

std::string Counters(uint16_t port) {
  Link link = Link::To(port);
  link.Write("GET /counters HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  return link.Read();
}

// Answers one query of each client on the server that it goes to; returns how many went to the first server.
int ServeAll(std::vector<Link>& clients, Peer& one, Peer& two) {
  int first = 0;
  for (size_t i = 0; i < clients.size(); ++i) {
    Peer& called = Peer::FirstContacted(one, two);
    first += &called == &one;
    Link link = called.Accept();
    CHECK_FALSE(link.Read().empty());
    link.Write(Ok("fine", "Connection: close\r\n"));
  }
  for (Link& client : clients) CHECK(client.Read().ends_with("fine"));
  return first;
}

}  // namespace

TEST_CASE(
    "clock: a process that was paused learns of a drain before it sends the queries that arrived meanwhile") {
  Peer discovery, one, two;
  Program program(ConfigText({.known = TwoEntries(one, two), .discovery = discovery.port}));
  Link watch = discovery.Accept();
  watch.Read();
  watch.Write(Ok(List(2, true, TwoEntries(one, two))));
  watch.Read();  // from here on it waits for updates
  std::vector<Link> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(Link::To(program.port));
    clients.back().Write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(clients.back().Read().starts_with("HTTP/1.1 200"));
  }
  PauseProcess(program);
  for (int i = 0; i < 12; ++i) clients[static_cast<size_t>(i)].Write(Get(Numbered("t", i)));
  watch.Write(Ok(List(3, false, Entry("s-1", one.port, "Terminating"))));
  std::this_thread::sleep_for(milliseconds(900));  // longer than the drain grace and its slack
  program.Signal(SIGCONT);
  CHECK(ServeAll(clients, one, two) == 0);
}

TEST_CASE("upgrade: a descriptor from the other process that is no connection is refused and logged") {
  TempFolder folder;
  Peer listener, server;
  const ChildEnvironment environment = {.variables = {{"TMPDIR", folder.path}, {"PROXY_PASSED_SOCKET", "5"}},
                                        .passed = listener.fd()};
  Descriptor old(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  (folder.path + "/burlfall-n1.sock").copy(at.sun_path, sizeof at.sun_path - 1);
  REQUIRE(bind(old.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  REQUIRE(listen(old.get(), 4) == 0);
  // The program waits during its start for the answer to its claim.
  Descriptor channel;
  std::thread other([&] {
    channel = Descriptor(accept4(old.get(), nullptr, nullptr, SOCK_CLOEXEC));
    char bytes[65536];
    if (recv(channel.get(), bytes, sizeof bytes, 0) <= 0) return;
    send(channel.get(), "Nnot now", 8, MSG_NOSIGNAL);
    channel = Descriptor();
    channel = Descriptor(accept4(old.get(), nullptr, nullptr, SOCK_CLOEXEC));
  });
  Program refused(ConfigText({.known = Entry("s-1", server.port), .admin = "127.0.0.1:0"}), {"serve"},
                  nullptr, environment);
  CHECK(refused.output.find("nothing taken over: not now") != std::string::npos);
  refused.Wait(SIGKILL);
  // A second process, which does take over.
  std::filesystem::remove(folder.path + "/burlfall-n1.sock");
  Descriptor again(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  REQUIRE(bind(again.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  REQUIRE(listen(again.get(), 4) == 0);
  Descriptor successor_channel;
  std::thread before([&] {
    successor_channel = Descriptor(accept4(again.get(), nullptr, nullptr, SOCK_CLOEXEC));
    char bytes[65536];
    if (recv(successor_channel.get(), bytes, sizeof bytes, 0) <= 0) return;
    HandoverState estate;
    HostRecord& host = estate.hosts.emplace_back();
    host.id = 1;
    host.name = "s-1";
    host.address = "127.0.0.1:" + std::to_string(server.port);
    host.listed = meadowslip::BackendState::kReady;
    for (const std::string& piece : SplitState(std::move(estate))) {
      send(successor_channel.get(), piece.data(), piece.size(), MSG_NOSIGNAL);
    }
    while (recv(successor_channel.get(), bytes, sizeof bytes, 0) > 0 && bytes[0] != 'S') {
    }
  });
  Program next(ConfigText({.known = Entry("s-1", server.port), .admin = "127.0.0.1:0"}), {"serve"}, nullptr,
               environment);
  before.join();
  {
    Descriptor gone(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
    connect(gone.get(), reinterpret_cast<sockaddr*>(&at), sizeof at);
    shutdown(old.get(), SHUT_RDWR);
    other.join();
  }
  REQUIRE(CallStatus(next.admin, "GET", "/healthcheck") == 200);
  const long initial_descriptors = next.Descriptors();
  const auto pass = [&](std::vector<int> descriptors) {
    const std::string message = Pack('L', PassedLink{true, 0, ""});
    iovec part{const_cast<char*>(message.data()), message.size()};
    alignas(cmsghdr) char space[CMSG_SPACE(2 * sizeof(int))] = {};
    msghdr header{};
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    header.msg_control = space;
    header.msg_controllen = CMSG_SPACE(descriptors.size() * sizeof(int));
    cmsghdr* rights = CMSG_FIRSTHDR(&header);
    rights->cmsg_level = SOL_SOCKET;
    rights->cmsg_type = SCM_RIGHTS;
    rights->cmsg_len = CMSG_LEN(descriptors.size() * sizeof(int));
    std::memcpy(CMSG_DATA(rights), descriptors.data(), descriptors.size() * sizeof(int));
    REQUIRE(sendmsg(successor_channel.get(), &header, MSG_NOSIGNAL) > 0);
  };
  Descriptor file(open("/dev/null", O_RDONLY | O_CLOEXEC));
  TextFile plain("x");
  Descriptor text(open(plain.path.c_str(), O_RDONLY | O_CLOEXEC));
  for (int i = 0; i < 4; ++i) {
    pass({text.get()});
    pass({file.get()});
    pass({text.get(), file.get()});
    pass({old.get()});  // a socket, but not a connection
  }
  REQUIRE(CallStatus(next.admin, "GET", "/healthcheck") == 200);
  CHECK(WaitUntil([&] { return next.Descriptors() <= initial_descriptors; }));
  Link client = Link::To(listener.port);
  CHECK(ServeQuery(client, server, "t").ends_with("fine"));
  CHECK(next.Wait(SIGTERM) == 0);
  CHECK(next.output.find("can't be read") != std::string::npos);
}

TEST_CASE("servers: a keyed query is not sent again if its window ends while a link is being opened") {
  Peer one, two;
  Program program(ConfigText({.known = TwoEntries(one, two), .connect_timeout = 4000000, .window = 600000}));
  Link client = Link::To(program.port);
  client.Write(Post("pay", "t", "x"));
  Peer& first = Peer::FirstContacted(one, two);
  Peer& other = &first == &one ? two : one;
  Link link = first.Accept();
  CHECK(link.Read().ends_with("x"));
  // The other server's accept queue is full: a link to it opens only at the next SYN, a second later.
  listen(other.fd(), 0);
  Link fill = Link::To(other.port);
  link.Write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
  std::this_thread::sleep_for(milliseconds(300));
  Link filled = other.Accept();
  CHECK_FALSE(client.Read().starts_with("HTTP/1.1 200"));
  if (Readable(other.fd(), 1500)) CHECK(other.Accept().Read().empty());
}

TEST_CASE("disk: a node that was put back while the disk was full is not out of service after a restart") {
  TempFolder folder;
  Peer one;
  const std::string config = ConfigText({.known = Entry("s-1", one.port), .admin = "127.0.0.1:0"});
  const std::string out_file = folder.path + "/burlfall-n1.out";
  const ChildEnvironment environment = {.variables = {{"TMPDIR", folder.path}}};
  {
    Program program(config, {"serve"}, nullptr, environment);
    REQUIRE(PostCall(program.admin, "/nodes/s-1/maint") == 200);
    CHECK(ReadFile(out_file).find("s-1") != std::string::npos);
    Limit(program, RLIMIT_FSIZE, 0);  // no file may grow
    CHECK(PostCall(program.admin, "/nodes/s-1/ready") == 200);
    CHECK(ReadFile(out_file).find("s-1") != std::string::npos);
    CHECK(PostCall(program.admin, "/nodes/s-1/maint") == 500);
    Limit(program, RLIMIT_FSIZE, RLIM_INFINITY);
    CHECK(WaitUntil([&] { return ReadFile(out_file).find("s-1") == std::string::npos; }));
    program.Wait(SIGKILL);
  }
  Program next(config, {"serve"}, nullptr, environment);
  CHECK(next.output.find("are out") == std::string::npos);
  Link client = Link::To(next.port);
  CHECK(ServeQuery(client, one, "t").ends_with("fine"));
}

TEST_CASE("disk: a truncated temporary file of nodes is not read, and does not prevent the next write") {
  TempFolder folder;
  Peer one;
  const std::string config = ConfigText({.known = Entry("s-1", one.port), .admin = "127.0.0.1:0"});
  const std::string out_file = folder.path + "/burlfall-n1.out";
  const ChildEnvironment environment = {.variables = {{"TMPDIR", folder.path}}};
  std::ofstream(out_file + ".new") << "burlfall-out 1\n17 s-";  // its process ended while writing
  Program program(config, {"serve"}, nullptr, environment);
  CHECK(program.output.find("are out") == std::string::npos);
  REQUIRE(PostCall(program.admin, "/nodes/s-1/maint") == 200);
  CHECK(ReadFile(out_file).ends_with("end 1\n"));
}

TEST_CASE("disk: if captures can't be written only captures are lost, and each failure is logged once") {
  TempFolder folder;
  Peer server;
  TextFile properties("capture.dir = " + folder.path + "\n");
  Program program(ConfigText({.known = Entry("s-1", server.port)}), {"serve", "--config", properties.path});
  Link client = Link::To(program.port);
  int n = 0;
  const auto errors = [&] {
    const std::string counters = Counters(program.port);
    const size_t at = counters.find(" capture_errors=");
    return at == std::string::npos ? 0 : std::stoi(counters.substr(at + 16));
  };
  const auto bytes = [&] {
    uintmax_t all = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder.path)) all += file.file_size();
    return all;
  };
  for (int failure = 1; failure <= 2; ++failure) {
    CHECK(ServeQuery(client, server, Numbered("t", ++n)).ends_with("fine"));
    const uintmax_t before = bytes();
    const int known = errors();
    Limit(program, RLIMIT_FSIZE, 0);
    CHECK(WaitUntil([&] {  // it tries again, and fails again
      CHECK(ServeQuery(client, server, Numbered("t", ++n)).ends_with("fine"));
      return errors() >= known + 2;
    }));
    Limit(program, RLIMIT_FSIZE, RLIM_INFINITY);
    CHECK(WaitUntil([&] {
      CHECK(ServeQuery(client, server, Numbered("t", ++n)).ends_with("fine"));
      return bytes() > before;
    }));
  }
  CHECK(program.Wait(SIGTERM) == 0);
  size_t log_lines = 0;
  for (size_t at = 0; (at = program.output.find("burlfall: capture: ", at)) != std::string::npos; ++at)
    ++log_lines;
  CHECK(log_lines == 2);
}

TEST_CASE("clients: a query beyond the limit of open queries is refused at once, with Retry-After") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .open_cap = 1}));
  Link held = Link::To(program.port), refused = Link::To(program.port);
  held.Write(Post("open", "t1", "x"));
  Link link = server.Accept();
  link.Read();
  refused.Write(Get("t2"));
  const std::string answer = refused.Read();
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  link.Write(Ok("fine"));
  CHECK(held.Read().ends_with("fine"));
  LetServerLinksRest();
  held.Write(Get("t3"));
  link.Read();
  link.Write(Ok("room"));
  CHECK(held.Read().ends_with("room"));
}

TEST_CASE(
    "descriptors: the program recovers after there were none for clients, servers, discovery or operators") {
  Peer discovery, server;
  TempFolder folder;
  Program program(ConfigText({.known = Entry("s-1", server.port),
                              .discovery = discovery.port,
                              .admin = "127.0.0.1:0",
                              .must_ask = 2000000}),
                  {"serve"}, nullptr, {.variables = {{"TMPDIR", folder.path}}});
  Link client = Link::To(program.port);
  {
    Link watch = discovery.Accept();
    watch.Read();
    watch.Write(Ok(List(2, true, Entry("s-1", server.port))));
    watch.Read();
    CHECK(ServeQuery(client, server, "t0").ends_with("fine"));
    Limit(program, RLIMIT_NOFILE, 3);  // no descriptor can be opened from here on, whatever is closed
  }                                    // and discovery ends the watch
  std::vector<Link> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(Link::To(program.port));
    clients.back().Write(Get(Numbered("t", i + 1)));
  }
  client.Write(Get("t7"));  // no link to a server can be opened: refused, and not counted against the server
  CHECK(client.Read().starts_with("HTTP/1.1 503"));
  const double before = CpuSeconds(program);
  std::this_thread::sleep_for(milliseconds(1000));
  CHECK(CpuSeconds(program) - before < 0.3);  // it retries periodically and does not spin
  Limit(program, RLIMIT_NOFILE, 1024);
  Link watch = discovery.Accept();
  watch.Read();
  watch.Write(Ok(List(3, true, Entry("s-1", server.port))));
  CHECK(CallStatus(program.admin, "GET", "/healthcheck") == 200);
  int served = 0;
  std::thread serve([&] {
    while (Readable(server.fd(), 1500)) {
      Link link = server.Accept();
      if (link.Read().empty()) continue;
      link.Write(Ok("fine", "Connection: close\r\n"));
    }
  });
  for (Link& one : clients) {
    const std::string answer = one.Read();
    CHECK((answer.ends_with("fine") || answer.starts_with("HTTP/1.1 503")));
    served += answer.ends_with("fine");
  }
  client.Write(Get("t8"));
  CHECK(client.Read().ends_with("fine"));
  serve.join();
  CHECK(served >= 4);
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE(
    "descriptors: idle clients use them up while discovery is down, and its list is received when it "
    "returns") {
  Descriptor discovery(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in at = Loopback(0);
  socklen_t length = sizeof at;
  // Refuses connections until listen() below.
  REQUIRE(bind(discovery.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  REQUIRE(getsockname(discovery.get(), reinterpret_cast<sockaddr*>(&at), &length) == 0);
  Peer one, two;
  Program program(ConfigText({.known = Entry("s-1", one.port),
                              .discovery = ntohs(at.sin_port),
                              .sockets = 96,
                              .admin = "127.0.0.1:0"}));
  std::vector<Link> idle;
  const auto crowd = [&](int links) {
    for (int i = 0; i < links; ++i) {
      idle.push_back(Link::To(program.port));
      REQUIRE(program.Descriptors() <= 96);
    }
  };
  crowd(300);  // more than the limit: as soon as some are closed, others connect
  REQUIRE(listen(discovery.get(), 4) == 0);
  REQUIRE(Readable(discovery.get(), kTimeoutSeconds * 1000));
  Link watch(Descriptor(accept4(discovery.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  watch.Read();
  crowd(100);
  watch.Write(Ok(List(2, true, Entry("s-2", two.port))));
  CHECK(watch.Read().find("index=2&") != std::string::npos);  // so it has applied the list, and watches
  crowd(100);
  CHECK(CallStatus(program.admin, "GET", "/healthcheck") == 200);
  program.Signal(SIGUSR1);
  std::string line = program.ReadLine();
  while (!line.empty() && line.find("taken=") == std::string::npos) line = program.ReadLine();
  CHECK_FALSE(line.empty());
  Link client = Link::To(program.port);
  client.Write(Get("t1"));
  Link link = two.Accept();
  link.Read();
  link.Write(Ok("fine"));
  CHECK(client.Read().ends_with("fine"));
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE("memory: without memory for bodies they are streamed or refused, and the process continues") {
  Peer server;
  TempFolder folder;
  Program program(ConfigText({.known = Entry("s-1", server.port), .admin = "127.0.0.1:0", .memory_mb = 192}),
                  {"serve"}, nullptr, {.variables = {{"TMPDIR", folder.path}}});
  Link small = Link::To(program.port);
  CHECK(ServeQuery(small, server, "t0").ends_with("fine"));
  std::istringstream pages(ReadFile("/proc/" + std::to_string(program.pid()) + "/statm"));
  rlim_t size = 0;
  pages >> size;
  if (size > rlim_t{1} << 28) return;  // a sanitizer's address space, where the limit means nothing
  Limit(program, RLIMIT_AS, size * static_cast<rlim_t>(sysconf(_SC_PAGESIZE)) + (rlim_t{8} << 20));
  constexpr int kBodies = 6;
  constexpr size_t kBody = 2 << 20;
  std::vector<std::thread> clients;
  std::array<std::string, kBodies> answers;
  for (int i = 0; i < kBodies; ++i) {
    clients.emplace_back([&, i] {
      Descriptor fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      sockaddr_in at = Loopback(program.port);
      if (connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) return;
      Link link(std::move(fd));
      link.TryWrite(Post("open", Numbered("b", i), std::string(kBody, 'x')));
      answers[static_cast<size_t>(i)] = link.Read();
    });
  }
  std::thread serve([&] {
    while (Readable(server.fd(), 2500)) {
      Link link = server.Accept();
      if (link.Read().size() >= kBody) link.TryWrite(Ok("whole", "Connection: close\r\n"));
    }
  });
  for (std::thread& client : clients) client.join();
  serve.join();
  int served = 0;
  for (const std::string& answer : answers) served += answer.ends_with("whole");
  CHECK(served >= 1);
  Limit(program, RLIMIT_AS, RLIM_INFINITY);
  if (served < 1) {
    program.Wait(SIGTERM);
    FAIL(program.output);
  }
  Link after = Link::To(program.port);
  CHECK(ServeQuery(after, server, "t1").ends_with("fine"));
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE("discovery: after silence or an invalid list it is asked again, and queries are still served") {
  Peer discovery, server;
  Program program(
      ConfigText({.known = Entry("s-1", server.port), .discovery = discovery.port, .must_ask = 2000000}));
  Link client = Link::To(program.port);
  const std::string list = List(2, true, Entry("s-1", server.port));
  const std::string length = "Content-Length: " + std::to_string(list.size()) + "\r\n\r\n";
  int queries = 0;
  for (const std::string& answer :
       {std::string("HTTP/1.1 200 OK\r\n") + length + list.substr(0, list.size() / 2),  // and the link ends
        Ok("{\"version\":1"), Ok(List(2, true, R"({"id":""})")), std::string("nonsense\r\n\r\n"),
        Ok(list, "Transfer-Encoding: chunked\r\n"),
        std::string("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")}) {
    Link watch = discovery.Accept();
    CHECK_FALSE(watch.Read().empty());
    watch.Write(answer);
    watch.Close();
    CHECK(ServeQuery(client, server, Numbered("t", ++queries)).ends_with("fine"));
  }
  Link watch = discovery.Accept();
  watch.Read();
  watch.Write(Ok(list));
  watch.Read();  // the watch; no answer from here on, as from a machine that is gone
  Link again = discovery.Accept();
  CHECK(again.Read().find("index=2&") != std::string::npos);  // a new watch, from the current version
  again.Write(Ok(List(3, true, Entry("s-1", server.port, "Terminating"))));
  again.Read();
  client.Write(Get("last"));
  CHECK(client.Read().starts_with("HTTP/1.1 503"));
}

TEST_CASE("servers: one that becomes silent during its trial continues to sleep, and gets another trial") {
  Peer one, two;
  Program program(ConfigText({.known = TwoEntries(one, two), .deadline = 1000000}));
  std::this_thread::sleep_for(milliseconds(3100));  // the grace after its start
  // Each query that goes to the first server fails there, and is served by the second.
  std::thread serve([&] {
    while (Readable(two.fd(), 6000)) {
      Link link = two.Accept();
      if (!link.Read().empty()) link.TryWrite(Ok("fine", "Connection: close\r\n"));
    }
  });
  Link client = Link::To(program.port);
  int n = 0, failed = 0;
  const auto ask = [&] {
    client.Write(Get(Numbered("t", ++n)));
    return client.Read();
  };
  std::vector<Link> silent;
  bool answers = true;
  std::thread bad([&] {
    while (failed < 5 && Readable(one.fd(), 6000)) {
      Link link = one.Accept();
      if (link.Read().empty()) continue;
      ++failed;
      link.TryWrite("HTTP/1.1 500 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
  });
  for (int i = 0; i < 200 && failed < 5; ++i) answers &= ask().ends_with("fine");
  bad.join();
  CHECK(answers);
  CHECK(failed == 5);
  const auto asleep_at = std::chrono::steady_clock::now();
  // The trial: the server takes the query and does not answer.
  while (!one.HasPendingConnection() && SecondsSince(asleep_at) < kTimeoutSeconds) ask();
  CHECK(SecondsSince(asleep_at) > 0.9);
  silent.push_back(one.Accept());
  // The trial failed, so the next sleep is twice as long. The next trial succeeds and ends the sleep.
  const auto trial_at = std::chrono::steady_clock::now();
  while (!one.HasPendingConnection() && SecondsSince(trial_at) < kTimeoutSeconds) ask();
  CHECK(SecondsSince(trial_at) > 1.5);
  CHECK(SecondsSince(trial_at) < 6);
  Link good = one.Accept();
  CHECK_FALSE(good.Read().empty());
  good.Write(Ok("fine", "Connection: close\r\n"));
  program.Signal(SIGTERM);
  serve.join();
  CHECK(program.Wait() == 0);
}

TEST_CASE("links: whichever side ends one, and whenever, its query ends once and no descriptor is leaked") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port)}));
  Link client = Link::To(program.port);
  CHECK(ServeQuery(client, server, "t0").ends_with("fine"));
  const long initial_descriptors = program.Descriptors();
  const std::string answer = Ok("whole answer", "Connection: close\r\n");
  const std::string chunks =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n";
  int n = 0;
  for (const std::string& whole : {answer, chunks}) {
    for (size_t cut = 0; cut < whole.size(); cut += whole.size() / 11) {
      for (bool reset : {false, true}) {
        client.Write(Post("open", Numbered("u", ++n), "x"));
        Link link = server.Accept();
        CHECK(link.Read().ends_with("x"));
        if (cut > 0) link.Write(whole.substr(0, cut));
        reset ? link.Reset() : link.Close();
        CHECK(client.Read().starts_with("HTTP/1.1 502"));
        CHECK_FALSE(server.HasPendingConnection());
      }
    }
  }
  const std::string query = Post("open", "left", "body");
  for (size_t cut = 1; cut <= query.size(); cut += 7) {
    for (bool reset : {false, true}) {
      Link leaving = Link::To(program.port);
      leaving.Write(query.substr(0, cut));
      reset ? leaving.Reset() : leaving.Close();
    }
  }
  CHECK(WaitUntil([&] { return program.Descriptors() <= initial_descriptors; }));
  // A client that shuts down its sending side counts as having left, as the platform's page specifies.
  Link half = Link::To(program.port);
  half.Write(Post("open", "half", "x"));
  Link link = server.Accept();
  link.Read();
  shutdown(half.fd(), SHUT_WR);
  CHECK(link.Ended());
  CHECK(half.Read().empty());
  const std::string counters = Counters(program.port);
  CHECK(counters.find(" failed=" + std::to_string(n)) != std::string::npos);
  CHECK(counters.find(" left=1") != std::string::npos);
  CHECK(WaitUntil([&] { return program.Descriptors() <= initial_descriptors; }));
}

TEST_CASE("restart: with short deadlines the process has ended before the platform kills it") {
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port), .deadline = 50000}));
  Link client = Link::To(program.port);
  CHECK(UpStatus(program.port) == 200);
  client.Write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
  client.Read();
  const auto terminated_at = std::chrono::steady_clock::now();
  program.Signal(SIGTERM);
  CHECK(program.ExitsWithoutReader());
  CHECK(SecondsSince(terminated_at) > 0.4);   // connections still arrive
  CHECK(SecondsSince(terminated_at) < 0.75);  // the longest deadline and 0.7 s
  CHECK(program.Wait() == 0);
}

}  // namespace burlfall
