// Stories of children: how they are started, watched, read from and ended.
#define CATCH_CONFIG_MAIN
#include "lab/run/children.h"

#include <fcntl.h>
#include <sched.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "stories/peers.h"

namespace burlfall::lab {
namespace {

using Words = std::vector<std::string>;

// A machine that runs one story, told as a coroutine.
struct Stage {
  template <typename Story>
  void Play(Story story) {
    auto whole = [this, &story]() -> Task<> {
      co_await story();
      machine.scheduler().Stop();
    };
    Task<> playing = whole();
    playing.Start();
    machine.scheduler().Run();
  }
  Task<> Until(std::function<bool()> that) {
    const Micros patience = machine.Now() + kTimeoutSeconds * kSecond;
    while (!that() && machine.Now() < patience) co_await tick.Wait(machine.Now() + 5 * kMs);
    REQUIRE(that());
  }
  RealMachine machine;
  Event tick{machine.scheduler()};
};

ProcessSpec Shell(const std::string& script) { return {.program = "/bin/sh", .arguments = {"-c", script}}; }

// Gone, or at least dead where its new parent has not noticed yet.
bool Gone(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  return !std::getline(stat, line) || line.substr(line.rfind(')') + 2, 1) == "Z";
}

bool InTheBooks(pid_t pid) { return std::filesystem::exists("/proc/" + std::to_string(pid)); }

// A child, to its end, and what it wrote.
struct Played {
  explicit Played(const ProcessSpec& spec) {
    Stage stage;
    stage.Play([&]() -> Task<> {
      Process process(stage.machine.scheduler(), spec);
      auto keep = [this](std::string_view line) { lines.emplace_back(line); };
      co_await ReadLines(process.output(), 100, keep);
      co_await ReadLines(process.error(), 100, keep);
      while (!(exit = process.Exit())) co_await process.Wait();
      CHECK_FALSE(InTheBooks(process.pid()));
      CHECK_FALSE(process.Kill(SIGTERM));
      usage = process.Usage();
    });
  }
  Words lines;
  std::optional<ProcessExit> exit;
  ProcessUsage usage;
};

// Balancers on a stage, and what was heard of them.
struct Troupe : Stage {
  explicit Troupe(Children::Settings settings = {.command = {BURLFALL, "serve", "--log-format", "json"}}) {
    children.emplace(machine.scheduler(), std::move(settings),
                     Children::Hears{
                         .ready = [this](int, const std::string& at) { address = at; },
                         .ended = [this](int, const ChildEnd& end) { ends.push_back(end); },
                         .event = [this](int, std::string_view name,
                                         const nlohmann::json& e) { last[std::string(name)] = e; },
                     });
  }
  Task<> Ends(size_t n) {
    return Until([this, n] { return ends.size() >= n; });
  }
  Task<> Event(int i, std::string name, uint64_t n = 1) {
    return Until([=, this] { return children->Events(i)[name] >= n; });
  }
  std::string address;
  std::vector<ChildEnd> ends;
  std::map<std::string, nlohmann::json> last;
  std::optional<Children> children;
};

ChildSpec Balancer(const std::string& name = "b0") {
  return {.name = name, .listen = "127.0.0.1:0", .discovery = "127.0.0.1:1", .config = ConfigText({})};
}

}  // namespace

TEST_CASE("a child runs where, with and within what it was told") {
  signal(SIGPIPE, SIG_IGN);  // ours, not the child's
  TextFile folder;
  std::filesystem::remove(folder.path);
  std::filesystem::create_directory(folder.path);
  ProcessSpec spec = Shell(
      "echo $GIVEN $HOME; pwd; ulimit -n; ulimit -v; grep -E '^Sig(Blk|Ign)' /proc/self/status; "
      "grep Cpus_allowed_list /proc/self/status; ls /proc/self/fd | wc -l; read x || echo nothing to read "
      ">&2");
  spec.environment = {{"GIVEN", "a b"}, {"HOME", "elsewhere"}};
  spec.folder = folder.path;
  spec.max_descriptors = 77;
  spec.max_address_space = uint64_t{300} << 20;
  cpu_set_t ours;
  REQUIRE(sched_getaffinity(0, sizeof ours, &ours) == 0);
  int core = 0;
  while (!CPU_ISSET(static_cast<size_t>(core), &ours)) ++core;
  spec.cores = {core};
  const Played played(spec);
  CHECK(played.lines == Words{"a b elsewhere", std::filesystem::absolute(folder.path).string(), "77",
                              "307200", "SigBlk:\t0000000000000000", "SigIgn:\t0000000000000000",
                              "Cpus_allowed_list:\t" + std::to_string(core), "4", "nothing to read"});
  CHECK(played.exit == ProcessExit{});
}

TEST_CASE("an exit code is told from a signal, and a program that can't be started is an error") {
  CHECK(Played(Shell("exit 3")).exit->Text() == "exit code 3");
  CHECK(Played(Shell("kill -SEGV $$")).exit->Text() == "signal 11 (Segmentation fault)");
  const Played busy(Shell("i=0; while [ $i -lt 100000 ]; do i=$((i+1)); done"));
  CHECK(busy.usage.cpu > 5 * kMs);
  CHECK(busy.usage.rss_bytes == 0);
  RealMachine machine;
  CHECK_THROWS_WITH(Process(machine.scheduler(), {.program = "/no/such"}),
                    Catch::Contains("/no/such: exec: No such file"));
  ProcessSpec bad = Shell("");
  bad.folder = "/no/such";
  CHECK_THROWS_WITH(Process(machine.scheduler(), bad), Catch::Contains("folder: No such file"));
}

TEST_CASE("what is left of a child goes with it, and is no zombie") {
  Stage stage;
  pid_t child = -1, grandchild = -1;
  stage.Play([&]() -> Task<> {
    Process process(stage.machine.scheduler(), Shell("sleep 1000 & echo $!; sleep 1000"));
    child = process.pid();
    Task<> reading = ReadLines(process.output(), 100,
                               [&](std::string_view line) { grandchild = std::stoi(std::string(line)); });
    reading.Start();
    co_await stage.Until([&] { return grandchild > 0; });
    const ProcessUsage usage = process.Usage();
    CHECK(usage.rss_bytes > 100'000);
    CHECK(usage.peak_rss_bytes >= usage.rss_bytes);
  });
  CHECK_FALSE(InTheBooks(child));
  for (int i = 0; i < kTimeoutSeconds * 100 && !Gone(grandchild); ++i) poll(nullptr, 0, 10);
  CHECK(Gone(grandchild));
}

TEST_CASE("when the parent is killed, its children end too") {
  int ends[2];
  REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
  const Descriptor in(ends[0]), out(ends[1]);
  const pid_t parent = fork();
  REQUIRE(parent >= 0);
  if (parent == 0) {
    RealMachine machine;
    Process process(machine.scheduler(), Shell("exec sleep 1000"));
    const pid_t pid = process.pid();
    if (write(out.get(), &pid, sizeof pid) == sizeof pid) pause();
    _exit(1);
  }
  pid_t child = -1;
  REQUIRE(Readable(in.get(), kTimeoutSeconds * 1000));
  REQUIRE(read(in.get(), &child, sizeof child) == sizeof child);
  CHECK_FALSE(Gone(child));
  kill(parent, SIGKILL);
  waitpid(parent, nullptr, 0);
  for (int i = 0; i < kTimeoutSeconds * 100 && !Gone(child); ++i) poll(nullptr, 0, 10);
  CHECK(Gone(child));
}

TEST_CASE("a child that writes without end is bounded, and holds nobody up") {
  Troupe troupe(
      {.command = {"/bin/sh", "-c", "head -c 300000 /dev/zero | tr '\\0' x; exec yes '{\"event\":\"y\"}'"}});
  troupe.Play([&]() -> Task<> {
    troupe.children->Start(0, Balancer());
    co_await troupe.Event(0, "y", 20000);
    Micros latest = 0;
    for (int i = 0; i < 50; ++i) {
      const Micros due = troupe.machine.Now() + 5 * kMs;
      co_await troupe.tick.Wait(due);
      latest = std::max(latest, troupe.machine.Now() - due);
    }
    CHECK(latest < 500 * kMs);
    CHECK(troupe.children->LastLines(0).size() == Children::kLinesKept);
    troupe.children->Kill(0);
    co_await troupe.Ends(1);
  });
  CHECK_FALSE(troupe.ends[0].crashed);
  Troupe long_line({.command = {"/bin/sh", "-c", "head -c 300000 /dev/zero | tr '\\0' x; echo; echo end"}});
  long_line.Play([&]() -> Task<> {
    long_line.children->Start(0, Balancer());
    co_await long_line.Ends(1);
  });
  CHECK(long_line.ends[0].last_lines == Words{std::string(Children::kLongestLine, 'x'), "end"});
}

TEST_CASE("a balancer is started, heard, told anew and ended as its platform would") {
  Troupe troupe;
  const std::string folder = troupe.children->folder();
  troupe.Play([&]() -> Task<> {
    ChildSpec spec = Balancer();
    spec.descriptors = 300;
    spec.cpu_share = 0.5;
    CHECK_FALSE(troupe.children->Ready(0));
    REQUIRE(troupe.children->Start(0, spec));
    CHECK_THROWS_AS(troupe.children->Start(0, spec), std::logic_error);
    // On a busy machine it may have said so by now, and not before it has.
    CHECK(troupe.children->Ready(0) == (troupe.children->Events(0)["serving"] == 1));
    co_await troupe.Until([&] { return troupe.children->Ready(0) && !troupe.address.empty(); });
    CHECK(troupe.last.at("starting").at("name") == "b0");
    CHECK(troupe.last.at("starting").at("discovery") == "127.0.0.1:1");
    CHECK(troupe.last.at("starting").at("descriptors") == 300);
    CHECK(Link::To(static_cast<uint16_t>(std::stoul(troupe.address.substr(10)))).fd() >= 0);
    CHECK(troupe.children->Usage(0)->rss_bytes > 1'000'000);
    const Process::Share& share = *troupe.children->Share(0);
    CHECK(share.enforced == share.why.empty());
    troupe.children->Reload(0, "{");
    co_await troupe.Event(0, "config_kept");
    troupe.children->Reload(0, ConfigText({.sockets = 200}));
    co_await troupe.Event(0, "config_read");
    troupe.children->TellCounters(0);
    co_await troupe.Event(0, "counters");
    CHECK(troupe.last.at("counters").at("counters").at("client_links") == 1);
    troupe.children->Terminate(0);
    co_await troupe.Ends(1);
    CHECK(troupe.children->running() == 0);
  });
  CHECK(troupe.ends[0].Text() == "b0 ended as asked: exit code 0");
  CHECK(troupe.children->LastLines(0).back().find("\"stopped\"") != std::string::npos);
  CHECK(std::filesystem::exists(folder));
  troupe.children.reset();
  CHECK_FALSE(std::filesystem::exists(folder));
}

TEST_CASE("a balancer that crashes is named, with the last lines of its log, and may be started again") {
  Troupe troupe;
  troupe.Play([&]() -> Task<> {
    troupe.children->Start(0, Balancer("b7"));
    co_await troupe.Event(0, "serving");
    kill(troupe.children->Pid(0), SIGABRT);
    co_await troupe.Ends(1);
    troupe.children->Start(0, Balancer("b7"));
    co_await troupe.Event(0, "serving");
    troupe.children->Kill(0);
    co_await troupe.Ends(2);
    ChildSpec bad = Balancer("b8");
    bad.listen = "192.0.2.1:9";
    troupe.children->Start(0, bad);
    co_await troupe.Ends(3);
  });
  const std::string text = troupe.ends[0].Text();
  CHECK(text.starts_with("b7 crashed: signal 6 (Aborted); its last lines:\n  {\"event\":\"starting\""));
  CHECK(text.find("\n  {\"event\":\"serving\",\"name\":\"b7\"") != std::string::npos);
  CHECK(troupe.ends[1].Text() == "b7 ended as asked: signal 9 (Killed)");
  CHECK(troupe.ends[2].Text().starts_with(
      "b8 crashed: exit code 1; its last lines:\n  burlfall: can't listen on "));
}

TEST_CASE(
    "all end when they are told to, in order or by force, and a text log tells when a program is ready") {
  Troupe troupe({.command = {"/bin/sh", "-c",
                             "case $PROXY_NAME in deaf) trap '' TERM;; *) trap 'exit 0' TERM;; esac\n"
                             "echo burlfall: $PROXY_NAME serves at 127.0.0.1:5 >&2\n"
                             "while true; do sleep 0.01; done"}});
  troupe.Play([&]() -> Task<> {
    troupe.children->Start(0, Balancer("polite"));
    troupe.children->Start(1, Balancer("deaf"));
    co_await troupe.Until([&] { return troupe.children->Ready(0) && troupe.children->Ready(1); });
    const pid_t deaf = troupe.children->Pid(1);
    co_await troupe.children->StopAll(300 * kMs);
    CHECK(troupe.children->running() == 0);
    CHECK_FALSE(InTheBooks(deaf));
    CHECK_FALSE(troupe.children->Start(2, Balancer()));
  });
  REQUIRE(troupe.ends.size() == 2);
  CHECK(troupe.address == "127.0.0.1:5");
  CHECK(troupe.ends[0].Text() == "polite ended as asked: exit code 0");
  CHECK(troupe.ends[1].Text() == "deaf ended as asked: signal 9 (Killed)");
}

TEST_CASE("a share of a core is sought from our own cgroup upwards, and why there is none is told") {
  RunFolder root;
  const std::string cgroups = root.Path("cg/user/app/scope");
  std::filesystem::create_directories(cgroups);
  std::filesystem::create_directories(root.Path("proc/self"));
  auto parent = [&] {
    std::string why;
    return CpuShare::Parent(why, root.path()).value_or(why);
  };
  CHECK(parent() == "no cgroup of version 2 is mounted");
  root.Write("proc/self/mounts", "tmpfs /cg tmpfs rw 0 0\ncgroup2 /cg cgroup2 rw 0 0\n");
  CHECK(parent() == "this process is in no cgroup of version 2");
  root.Write("proc/self/cgroup", "1:cpu:/x\n0::/user/app/scope\n");
  root.Write("cg/user/app/scope/cgroup.subtree_control", "memory pids");
  root.Write("cg/user/app/cgroup.subtree_control", "cpuset memory");
  CHECK(parent().starts_with("no cgroup above this process"));
  root.Write("cg/user/cgroup.subtree_control", "memory cpu");
  root.Write("cg/user/cgroup.procs", "");
  CHECK(parent() == root.Path("cg/user"));
}

}  // namespace burlfall::lab
