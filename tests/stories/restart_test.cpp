// Planned restarts: clients continue to send on every connection that stays open, while nodes hang. Each
// query that was taken gets one answer, and the program's counters agree with those of the clients.
#include <atomic>
#include <map>
#include <sstream>
#include <thread>

#include "stories/peers.h"

namespace burlfall {
namespace {

// Answers every query, on any number of links; or, if it hangs, accepts links and does not answer.
class Node {
 public:
  explicit Node(bool hangs) : hangs_(hangs), thread_([this] { Run(); }) {}
  ~Node() {
    stopping_ = true;
    thread_.join();
  }
  std::string ListEntry(const std::string& id) const { return Entry(id, peer_.port); }

 private:
  void Run() {
    std::vector<Link> links;
    while (!stopping_) {
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
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// What a client counted on one link until that ended.
struct ClientCounts {
  int answers = 0;
  int unanswered = 0;  // sent, but the link ended: the program may have closed it before reading the query
};

ClientCounts SendUntilClosed(Link link, int number, bool unsafe) {
  ClientCounts counts;
  for (int i = 0;; ++i) {
    const std::string trace =
        std::string("r").append(std::to_string(number)).append("x").append(std::to_string(i));
    link.TryWrite(unsafe ? Post("open", trace, "now") : Get(trace));
    const std::string answer = link.Read();
    if (answer.empty()) {
      counts.unanswered = 1;
      return counts;
    }
    ++counts.answers;
    if (answer.find("Connection: close") != std::string::npos) return counts;
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
      ConfigText({.known = good.ListEntry("s-1") + "," + silent.ListEntry("s-2"), .deadline = deadline_us}));
  constexpr int kLinks = 16;
  std::vector<ClientCounts> counts(kLinks);
  std::vector<std::thread> clients;
  std::atomic<int> answered = 0;
  for (int i = 0; i < kLinks; ++i) {
    clients.emplace_back([&, i, link = Link::To(program.port)]() mutable {
      link.TryWrite(Get("first" + std::to_string(i)));
      counts[i].answers = link.Read().empty() ? 0 : 1;
      ++answered;
      const ClientCounts rest = SendUntilClosed(std::move(link), i, i % 4 == 0);
      counts[i].answers += rest.answers;
      counts[i].unanswered += rest.unanswered;
    });
  }
  while (answered < kLinks) std::this_thread::yield();
  program.Signal(SIGTERM);
  for (std::thread& client : clients) client.join();
  REQUIRE(program.Wait() == 0);
  std::map<std::string, int> reported = Counters(program.output);
  int answers = 0, unanswered = 0;
  for (const ClientCounts& one : counts) answers += one.answers, unanswered += one.unanswered;
  INFO(program.output);
  CHECK(reported["taken"] > kLinks);
  CHECK(reported["left"] == 0);  // no client left, and no query was counted as if one had
  CHECK(reported["taken"] == reported["served"] + reported["throttled"] + reported["failed"]);
  // A query that was sent while its link was being closed was never taken.
  CHECK(answers == reported["taken"] + reported["bad"]);
  CHECK(unanswered <= kLinks);
}

}  // namespace

TEST_CASE("restart: each query on a link that stays open is answered, while nodes hang") { Restart(600000); }

TEST_CASE("restart: each query is answered, while nodes hang and deadlines are short") { Restart(60000); }

// Only the first shutdown request and its time count. Files are reloaded in any phase.
TEST_CASE("restart: further signals while draining and closing do not change the shutdown") {
  Node silent(true);
  Program program(ConfigText({.known = silent.ListEntry("s-1"), .deadline = 2000000}));
  Link open_query = Link::To(program.port);
  open_query.Write(Get("t1"));
  program.Signal(SIGUSR1);
  CHECK(program.ReadLineExceptDiscovery().find("taken=1") != std::string::npos);
  program.Signal(SIGTERM);
  CHECK(program.ReadLineExceptDiscovery().starts_with("burlfall: draining: "));
  program.Configure("{");  // truncated
  program.Signal(SIGHUP);
  CHECK(program.ReadLineExceptDiscovery().starts_with("burlfall: configuration kept as it was: "));
  program.Signal(SIGTERM);
  program.Signal(SIGINT);
  CHECK(program.ReadLineExceptDiscovery().starts_with("burlfall: closing: "));
  program.Configure(ConfigText({.known = silent.ListEntry("s-1"), .deadline = 2000000}));
  program.Signal(SIGHUP);
  CHECK(program.ReadLineExceptDiscovery() == "burlfall: configuration read anew\n");
  program.Signal(SIGTERM);
  CHECK_FALSE(open_query.Read().empty());  // answered, although its node never answers
  CHECK(program.Wait() == 0);
  CHECK(program.output.find("draining") == std::string::npos);  // not logged again
}

}  // namespace burlfall
