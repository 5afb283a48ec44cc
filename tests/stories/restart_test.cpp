// Planned restarts: clients go on sending on every connection that stays open, while nodes hang just then.
// Each query that was taken has one answer; the program's own counts and the clients' must tell the same.
#include <atomic>
#include <map>
#include <sstream>
#include <thread>

#include "stories/peers.h"

namespace burlfall {
namespace {

// Answers whatever comes, on any number of links, until it is ended; or takes it and says nothing.
class Node {
 public:
  explicit Node(bool hangs) : hangs_(hangs), thread_([this] { Run(); }) {}
  ~Node() {
    over_ = true;
    thread_.join();
  }
  std::string Listed(const std::string& id) const { return Entry(id, peer_.port); }

 private:
  void Run() {
    std::vector<Link> links;
    while (!over_) {
      std::vector<pollfd> all = {{peer_.fd(), POLLIN, 0}};
      for (const Link& link : links) all.push_back({link.fd(), POLLIN, 0});
      poll(all.data(), all.size(), 20);
      for (size_t i = all.size(); i-- > 1;) {
        if (all[i].revents == 0 || hangs_) continue;
        if (links[i - 1].Read().empty()) {
          links.erase(links.begin() + static_cast<std::ptrdiff_t>(i) - 1);
        } else {
          links[i - 1].TryWrite(Ok("fine"));
        }
      }
      if (all[0].revents != 0) links.push_back(peer_.Accept());
    }
  }

  Peer peer_;
  const bool hangs_;
  std::atomic<bool> over_ = false;
  std::thread thread_;
};

// What a client saw on one link until it ended.
struct Seen {
  int answers = 0;
  int unanswered = 0;  // sent, and the link ended instead: the program may have closed it before it read this
};

Seen SendOn(Link link, int number, bool unsafe) {
  Seen seen;
  for (int i = 0;; ++i) {
    const std::string trace =
        std::string("r").append(std::to_string(number)).append("x").append(std::to_string(i));
    link.TryWrite(unsafe ? Post("open", trace, "now") : Get(trace));
    const std::string answer = link.Read();
    if (answer.empty()) {
      seen.unanswered = 1;
      return seen;
    }
    ++seen.answers;
    if (answer.find("Connection: close") != std::string::npos) return seen;
  }
}

std::map<std::string, int> Counters(const std::string& output) {
  std::map<std::string, int> counters;
  const size_t line = output.rfind("taken=");
  std::istringstream words(line == std::string::npos ? "" : output.substr(line));
  for (std::string word; words >> word;) {
    const size_t equals = word.find('=');
    if (equals != std::string::npos) counters[word.substr(0, equals)] = std::atoi(word.c_str() + equals + 1);
  }
  return counters;
}

void Restart(int deadline_us) {
  Node good(false), silent(true);
  Program program(
      ConfigText({.known = good.Listed("s-1") + "," + silent.Listed("s-2"), .deadline = deadline_us}));
  constexpr int kLinks = 16;
  std::vector<Seen> seen(kLinks);
  std::vector<std::thread> clients;
  std::atomic<int> answered = 0;
  for (int i = 0; i < kLinks; ++i) {
    clients.emplace_back([&, i, link = Link::To(program.port)]() mutable {
      link.TryWrite(Get("first" + std::to_string(i)));
      seen[i].answers = link.Read().empty() ? 0 : 1;
      ++answered;
      const Seen rest = SendOn(std::move(link), i, i % 4 == 0);
      seen[i].answers += rest.answers;
      seen[i].unanswered += rest.unanswered;
    });
  }
  while (answered < kLinks) std::this_thread::yield();
  program.Signal(SIGTERM);
  for (std::thread& client : clients) client.join();
  REQUIRE(program.Wait() == 0);
  std::map<std::string, int> counted = Counters(program.output);
  int answers = 0, unanswered = 0;
  for (const Seen& one : seen) answers += one.answers, unanswered += one.unanswered;
  INFO(program.output);
  CHECK(counted["taken"] > kLinks);
  CHECK(counted["left"] == 0);  // no client left, and none was lost as one that did
  CHECK(counted["taken"] == counted["served"] + counted["throttled"] + counted["failed"]);
  // A query that crossed the close of its link was never taken.
  CHECK(answers == counted["taken"] + counted["bad"]);
  CHECK(unanswered <= kLinks);
}

}  // namespace

TEST_CASE("restart: each query on a link that stays open has its answer, while nodes hang") {
  Restart(600000);
}

TEST_CASE("restart: the same where deadlines are short") { Restart(60000); }

// The first word to end counts, and its time; a file is read in any phase.
TEST_CASE("restart: further signals while it drains and closes change nothing of its end") {
  Node silent(true);
  Program program(ConfigText({.known = silent.Listed("s-1"), .deadline = 2000000}));
  Link owed = Link::To(program.port);
  owed.Write(Get("t1"));
  program.Signal(SIGUSR1);
  CHECK(program.Line().find("taken=1") != std::string::npos);
  program.Signal(SIGTERM);
  CHECK(program.Line().starts_with("burlfall: draining: "));
  program.Configure("{");  // half written
  program.Signal(SIGHUP);
  CHECK(program.Line().starts_with("burlfall: configuration kept as it was: "));
  program.Signal(SIGTERM);
  program.Signal(SIGINT);
  CHECK(program.Line().starts_with("burlfall: closing: "));
  program.Configure(ConfigText({.known = silent.Listed("s-1"), .deadline = 2000000}));
  program.Signal(SIGHUP);
  CHECK(program.Line() == "burlfall: configuration read anew\n");
  program.Signal(SIGTERM);
  CHECK_FALSE(owed.Read().empty());  // answered, though its node never does
  CHECK(program.Wait() == 0);
  CHECK(program.output.find("draining") == std::string::npos);  // not again
}

}  // namespace burlfall
