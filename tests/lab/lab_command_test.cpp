// Stories of `burlfall lab` as people start it, and as things go wrong around it. Nothing here is written to
// a device: what can't be written is a folder that is a file, or a file beyond the size that a shell allows.
#define CATCH_CONFIG_MAIN
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace {

namespace fs = std::filesystem;

// Only for a lab that is broken: each wait ends with the event it is for.
bool Until(const std::function<bool()>& holds) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!holds()) {
    if (std::chrono::steady_clock::now() > until) return false;
    poll(nullptr, 0, 5);
  }
  return true;
}

std::string Read(const fs::path& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// A folder for a story.
struct Folder {
  Folder() {
    std::string name = (fs::temp_directory_path() / "burlfall-story-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    path = name;
  }
  Folder(const Folder&) = delete;
  ~Folder() { fs::remove_all(path); }
  std::string At(const std::string& name) const { return (path / name).string(); }
  std::string File(const std::string& name, const std::string& text) const {
    std::ofstream(path / name) << text;
    return At(name);
  }
  std::string Script(const std::string& name, const std::string& text) const {
    const std::string file = File(name, "#!/bin/sh\n" + text);
    REQUIRE(chmod(file.c_str(), 0700) == 0);
    return file;
  }
  std::string Tiny(double seconds, const std::string& more = "") const {
    return File("tiny.toml", "title = 'Tiny'\nlength_s = " + std::to_string(seconds) + R"(
settle_s = 0.2
[site]
zones = ['a', 'b']
[site.balancers]
count = 2
descriptors = 512
[[site.nodes]]
kind = 'std'
count = 4
cores = 2
[load]
rate_per_s = 40
[[classes]]
name = 'look'
work_ms = [5, 6]
worth = 2
[[tenants]]
name = 'one'
quota_per_s = 100
)" + more);
  }
  fs::path path;
};

bool Lives(pid_t pid) {
  const std::string stat = Read("/proc/" + std::to_string(pid) + "/stat");
  return !stat.empty() && stat[std::min(stat.size() - 1, stat.rfind(')') + 2)] != 'Z';
}

// The lab, started as its users do.
class Lab {
 public:
  Lab(
      const Folder& folder, std::vector<std::string> words, const std::function<void()>& first = [] {})
      : out_(folder.At("out-" + std::to_string(++Made()))), err_(out_ + ".err") {
    words.insert(words.begin(), {BURLFALL, "lab"});
    pid_ = fork();
    REQUIRE(pid_ >= 0);
    if (pid_ != 0) return;
    first();
    constexpr int kFresh = O_WRONLY | O_CREAT | O_TRUNC;
    dup2(open(out_.c_str(), kFresh, 0600), 1);
    dup2(open(err_.c_str(), kFresh, 0600), 2);
    std::vector<char*> args;
    for (std::string& word : words) args.push_back(word.data());
    args.push_back(nullptr);
    execv(BURLFALL, args.data());
    _exit(127);
  }
  Lab(const Lab&) = delete;
  ~Lab() {
    if (pid_ > 0) Wait(SIGKILL);
  }
  // Its exit code; -1 where a signal ended it.
  int Wait(int signal = 0) {
    if (signal != 0) kill(pid_, signal);
    int status = 0;
    if (!Until([&] { return waitpid(pid_, &status, WNOHANG) == pid_; })) {
      kill(pid_, SIGKILL);
      waitpid(pid_, &status, 0);
      UNSCOPED_INFO("it did not end");
      status = SIGKILL;
    }
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  void Signal(int signal) const { kill(pid_, signal); }
  std::vector<pid_t> Children(size_t many) const {
    std::vector<pid_t> pids;
    const std::string id = std::to_string(pid_);
    CHECK(Until([&] {
      pids.clear();
      std::ifstream in("/proc/" + id + "/task/" + id + "/children");
      for (pid_t pid; in >> pid;) pids.push_back(pid);
      return pids.size() >= many;
    }));
    return pids;
  }
  // Its balancers, once clients are at work.
  std::vector<pid_t> Playing() const {
    CHECK(Until([&] { return Err().find("playing") != std::string::npos; }));
    return Children(2);
  }
  std::string Out() const { return Read(out_); }
  std::string Err() const { return Read(err_); }

 private:
  static int& Made() {
    static int made = 0;
    return made;
  }
  const std::string out_, err_;
  pid_t pid_ = -1;
};

bool AllGone(const std::vector<pid_t>& pids) {
  return Until([&] { return std::ranges::none_of(pids, Lives); });
}

// Lines of what it complained of, without those that say how far it is.
std::vector<std::string> Complaints(const Lab& lab) {
  std::vector<std::string> lines;
  std::istringstream in(lab.Err());
  for (std::string line; std::getline(in, line);) {
    const bool said = line.find(" queries sent, ") != std::string::npos || line.starts_with("report: ");
    if (!said) lines.push_back(line);
  }
  return lines;
}

size_t Files(const fs::path& folder, const std::string& name) {
  if (!fs::exists(folder)) return 0;
  return static_cast<size_t>(std::ranges::count_if(
      fs::recursive_directory_iterator(folder), [&](const auto& e) { return e.path().filename() == name; }));
}

constexpr char kRun[] = "seed-1";

TEST_CASE("a file that can't be used is one plain line and exit code 2") {
  const Folder f;
  const std::string broken = f.File("broken.toml", "title = [");
  const std::vector<std::pair<std::vector<std::string>, std::string>> all = {
      {{"run", broken}, "broken.toml:1"},
      {{"check", broken}, "broken.toml:1"},
      {{"run", f.At("none.toml")}, "none.toml: no such file"},
      {{"run", "no-such-name"}, "no shipped experiment of that name"},
      {{"check", f.path.string()}, "a folder, not a file"},
      {{"run", f.Tiny(1), "--out", broken}, "broken.toml: no folder that can be written to"},
      {{"run", f.Tiny(1), f.At("tiny.toml"), "--out", f.At("o")}, "would take the other's results"},
      {{"report", f.At("none")}, "none: no folder or file"},
      {{"report", f.path.string()}, "holds no results"},
      {{"table", f.path.string()}, "holds no results"},
      {{"compare", f.path.string(), f.path.string()}, "holds no results"},
      {{"node", "192.0.2.1:1"}, "192.0.2.1:1: "},
  };
  for (const auto& [words, says] : all) {
    CAPTURE(words);
    Lab lab(f, words);
    CHECK(lab.Wait() == 2);
    REQUIRE(Complaints(lab).size() == 1);
    CHECK(Complaints(lab)[0].find(says) != std::string::npos);
    CHECK(lab.Out().empty());
  }
}

TEST_CASE("a wrong command line is exit code 2, and each level tells what there is") {
  const Folder f;
  using Words = std::vector<std::string>;
  const Words wrong = GENERATE(Words{}, Words{"conquer"}, Words{"run"}, Words{"run", "ci", "--repeat", "0"},
                               Words{"check", "ci", "--seed", "1"}, Words{"table", "x", "--format", "odd"});
  CAPTURE(wrong);
  CHECK(Lab(f, wrong).Wait() == 2);
  Words help = wrong.empty() || wrong[0] == "conquer" ? Words{} : Words{wrong[0]};
  help.push_back("--help");
  Lab lab(f, help);
  CHECK(lab.Wait() == 0);
  CHECK(lab.Out().find(help.size() == 1 ? "compare" : "Positionals") != std::string::npos);
}

TEST_CASE("what was never played is one line, exit code 2 and no result") {
  const Folder f;
  const std::string crashes = f.Script("crashes", "echo out of luck >&2; exit 3\n");
  std::vector<std::string> words = {"run", f.Tiny(1), "--out", f.At("o")};
  std::string says;
  std::function<void()> first = [] {};
  SECTION("a balancer that ends at its start") {
    words.insert(words.end(), {"--program", crashes});
    says = "did not come up: exit code 3: out of luck";
  }
  SECTION("what is no program") {
    words.insert(words.end(), {"--program", f.File("text", "x")});
    says = "can't start ";
  }
  SECTION("a policy that nobody knows") {
    words.insert(words.end(), {"--policy", "magic"});
    says = "magic not in ";
  }
  SECTION("a balancer that never serves, and doesn't end when asked") {
    words.insert(words.end(), {"--start-within", "0.3", "--program"});
    words.push_back(f.Script("mute", "trap '' TERM\nwhile :; do sleep 1; done\n"));
    says = "not all balancers came up in 300 ms: b1, b2";
  }
  SECTION("an address that is taken") {
    // As Block() of play.cpp has it; this is the lab before it is that program, so it has its number.
    first = [] {
      const auto pid = static_cast<uint32_t>(getpid());
      sockaddr_in at{};
      at.sin_family = AF_INET;
      at.sin_port = htons(8000);
      at.sin_addr.s_addr = htonl(127u << 24 | (64 + pid / 250 % 60) << 16 | (1 + pid % 250) << 8 | 2);
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 1) != 0) _exit(99);
    };
    says = "Address already in use";
  }
  SECTION("fewer descriptors than the site needs") {
    first = [] {
      const rlimit few{200, 200};
      setrlimit(RLIMIT_NOFILE, &few);
    };
    says = "this process may hold 200 (ulimit -n)";
  }
  CAPTURE(words);
  Lab lab(f, words, first);
  const int code = lab.Wait();
  CAPTURE(lab.Err());
  CHECK(code == 2);
  REQUIRE(Complaints(lab).size() == 1);
  CHECK(Complaints(lab)[0].find(says) != std::string::npos);
  CHECK(Files(f.At("o"), "result.json") == 0);
}

TEST_CASE("an interrupt ends all balancers and writes what was played, which counts as no whole run") {
  const Folder f;
  Lab lab(f, {"run", f.Tiny(40), "--repeat", "3", "--out", f.At("o")});
  const std::vector<pid_t> balancers = lab.Playing();
  CHECK(lab.Wait(SIGINT) == 1);
  CHECK(AllGone(balancers));
  const fs::path run = fs::path(f.At("o")) / "tiny" / "burlfall" / kRun;
  CHECK(nlohmann::json::accept(Read(run / "result.json")));
  CHECK(Read(run / "lost.txt") == "interrupted\n");
  CHECK(Files(f.At("o"), "result.json") == 1);
  CHECK(Read(f.At("o/report.html")).find("interrupted") != std::string::npos);
  Lab table(f, {"table", f.At("o")});
  CHECK(table.Wait() == 0);
  CHECK(table.Out().find("lost: burlfall, tiny: interrupted") != std::string::npos);
}

TEST_CASE("a second interrupt, or the lab's own death, ends balancers that would not end") {
  const Folder f;
  const bool killed = GENERATE(true, false);
  CAPTURE(killed);
  const std::string mute = f.Script("mute", "trap 'echo asked >> " + f.At("said") + "' TERM\necho up >> " +
                                                f.At("said") + "\nwhile :; do sleep 0.1; done\n");
  const auto said = [&](const std::string& all) { return Until([&] { return Read(f.At("said")) == all; }); };
  Lab lab(f, {"run", f.Tiny(40), "--start-within", "60", "--out", f.At("o"), "--program", mute});
  const std::vector<pid_t> balancers = lab.Children(2);
  CHECK(said("up\nup\n"));
  if (killed) {
    CHECK(lab.Wait(SIGKILL) == -1);
  } else {
    lab.Signal(SIGINT);
    CHECK(said("up\nup\nasked\nasked\n"));  // it has heard the first
    CHECK(lab.Wait(SIGINT) == 1);
    CHECK(lab.Err().find("interrupted twice") != std::string::npos);
  }
  CHECK(AllGone(balancers));
}

TEST_CASE("a balancer that is killed on the way is named and breaks a rule, and the run goes on") {
  const Folder f;
  Lab lab(f, {"run", f.Tiny(1.5), "--json", "--out", f.At("o")});
  const std::vector<pid_t> balancers = lab.Playing();
  kill(balancers[0], SIGKILL);
  CHECK(lab.Wait() == 1);
  CHECK(lab.Err().find(" crashed: signal 9 (Killed); its last lines:\n") != std::string::npos);
  const auto result = nlohmann::json::parse(lab.Out());
  for (const auto& rule : result.at("rules")) {
    if (rule.at("rule") == "crashed") CHECK(rule.at("broken") == 1);
  }
  CHECK(Files(f.At("o"), "lost.txt") == 0);
}

TEST_CASE("a run's history is judged as the run was, and what is none is refused by its line") {
  const Folder f;
  REQUIRE(Lab(f, {"run", f.Tiny(1.5), "--history", "--rules-only", "--out", f.At("o")}).Wait() == 0);
  std::string run;
  for (const auto& entry : fs::recursive_directory_iterator(f.At("o"))) {
    if (entry.path().filename() == "history.jsonl") run = entry.path().parent_path().string();
  }
  REQUIRE(!run.empty());
  const std::string history = Read(run + "/history.jsonl");
  Lab again(f, {"judge", run + "/history.jsonl", "--json"});
  CHECK(again.Wait() == 0);
  // But for what the balancers asked of the list service, of which a history does not tell.
  nlohmann::ordered_json judged = nlohmann::ordered_json::parse(again.Out());
  nlohmann::ordered_json result = nlohmann::ordered_json::parse(Read(run + "/result.json"));
  for (nlohmann::ordered_json* one : {&judged, &result}) one->erase("fleet");
  CHECK(judged == result);
  // A balancer that ended by itself, on the line before the last.
  const size_t end = history.rfind('\n', history.size() - 2) + 1;
  auto last = nlohmann::ordered_json::parse(history.substr(end));
  last["events"] = last["events"].get<int>() + 1;
  const std::string crash =
      R"({"at":)" + last["at"].dump() + R"(,"event":"down","balancer":0,"planned":false})" + "\n";
  Lab broken(f, {"judge", f.File("broken.jsonl", history.substr(0, end) + crash + last.dump() + "\n")});
  CHECK(broken.Wait() == 1);
  const auto lines = std::count(history.begin(), history.end(), '\n');
  CHECK(broken.Out().find("broken.jsonl:" + std::to_string(lines) + ": crashed broken at ") !=
        std::string::npos);
  Lab cut(f, {"judge", f.File("cut.jsonl", history.substr(0, history.size() - 1))});
  CHECK(cut.Wait() == 2);
  CHECK(cut.Err().find("cut.jsonl:" + std::to_string(lines) + ": a line that is cut short") !=
        std::string::npos);
  CHECK(Lab(f, {"judge", f.At("none.jsonl")}).Wait() == 2);
}

TEST_CASE("two labs side by side, each with two runs, take nothing from each other") {
  const Folder f;
  const std::string tiny = f.Tiny(1);
  std::vector<std::string> words = {"run", tiny, "--repeat", "2", "--json", "--rules-only", "--seed", "5"};
  auto to = [&words](const std::string& out) {
    std::vector<std::string> all = words;
    all.insert(all.end(), {"--out", out});
    return all;
  };
  const std::string odd = f.At("ä b'\"");
  Lab one(f, to(odd)), other(f, to(f.At("other")));
  CHECK(one.Wait() == 0);
  CHECK(other.Wait() == 0);
  for (const Lab* lab : {&one, &other}) {
    std::istringstream lines(lab->Out());
    int seed = 5;
    for (std::string line; std::getline(lines, line); ++seed) {
      CHECK(nlohmann::json::parse(line).at("seed") == seed);
    }
    CHECK(seed == 7);
  }
  Lab report(f, {"report", odd}), table(f, {"table", odd}), compare(f, {"compare", odd, f.At("other")});
  CHECK(report.Wait() == 0);
  CHECK(table.Wait() == 0);
  CHECK(compare.Wait() == 0);
  const fs::path result = fs::path(odd) / "tiny" / "burlfall" / "seed-5" / "result.json";
  fs::resize_file(result, fs::file_size(result) / 2);
  Lab cut(f, {"report", odd});
  CHECK(cut.Wait() == 2);
  REQUIRE(Complaints(cut).size() == 1);
  CHECK(Complaints(cut)[0].find("result.json: no JSON") != std::string::npos);
}

TEST_CASE("a page that doesn't fit leaves the old one, and one to a pipe leaves the pipe") {
  const Folder f;
  const std::string page = f.File("page.html", "old"), results = f.At("o");
  REQUIRE(Lab(f, {"run", f.Tiny(1), "--rules-only", "--out", results}).Wait() == 0);
  Lab full(f, {"report", results, "--out", page}, [] {
    signal(SIGXFSZ, SIG_IGN);  // a write beyond it fails then, as on a full disk
    const rlimit small{4096, 4096};
    setrlimit(RLIMIT_FSIZE, &small);
  });
  CHECK(full.Wait() == 2);
  REQUIRE(Complaints(full).size() == 1);
  CHECK(Complaints(full)[0].find("page.html: can't be written") != std::string::npos);
  CHECK(Read(page) == "old");
  for (const auto& entry : fs::directory_iterator(f.path)) CHECK(entry.path().extension() != ".part");

  const std::string pipe = f.At("pipe");
  REQUIRE(mkfifo(pipe.c_str(), 0600) == 0);
  const int reads = open(pipe.c_str(), O_RDONLY | O_NONBLOCK);
  Lab to_pipe(f, {"report", results, "--out", pipe});
  std::string got;
  char piece[4096];
  CHECK(Until([&] {
    const ssize_t n = read(reads, piece, sizeof piece);
    if (n > 0) got.append(piece, static_cast<size_t>(n));
    return got.find("</html>") != std::string::npos;
  }));
  CHECK(to_pipe.Wait() == 0);
  CHECK(fs::is_fifo(pipe));
  close(reads);
}

TEST_CASE("faults that meet on one node or outlast the run, and a list that goes back, break no rule") {
  const Folder f;
  const std::string tiny = f.Tiny(4, R"(
[[faults]]
kind = 'silent-nodes'
at_s = [0.5, 0.5]
for_s = [60, 60]
names = ['std-1']
[[faults]]
kind = 'silent-nodes'
at_s = [1, 1]
for_s = [0.5, 0.5]
names = ['std-1']
[[faults]]
kind = 'nodes-restarted'
at_s = [1.2, 1.2]
names = ['std-2']
[[faults]]
kind = 'nodes-drained'
at_s = [1.3, 1.3]
for_s = [1, 1]
names = ['std-2']
[[faults]]
kind = 'discovery-older'
at_s = [2.5, 2.5]
for_s = [0.4, 0.4]
size = [2, 2]
)");
  Lab lab(f, {"run", tiny, "--rules-only", "--out", f.At("o")});
  const int code = lab.Wait();
  CAPTURE(lab.Err(), lab.Out());
  CHECK(code == 0);
}

TEST_CASE("the same seed draws the same script, byte for byte, and another another") {
  const Folder f;
  auto script = [&f](const std::string& seed) {
    Lab lab(f, {"check", "ci", "--script", "--seed", seed});
    CHECK(lab.Wait() == 0);
    return lab.Out();
  };
  const std::string first = script("7");
  CHECK(first.find("\narrival ") != std::string::npos);
  CHECK(first == script("7"));
  CHECK(first != script("8"));
}

}  // namespace
