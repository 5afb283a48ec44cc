// The configuration file is replaced and a balancer of a council gets SIGHUP, under load. It has to run on, and each
// query that it has taken has to get its answer.
#include "../support-2/common.h"

using namespace rv;

int main(int argc, char** argv) {
  Begin(argc, argv, 110);
  Site site;
  Node one("s-zuerich-1", "zuerich", "std-2c"), two("s-zuerich-2", "zuerich", "std-2c"),
      three("s-bern-1", "bern", "slow-2c");
  std::map<std::string, std::string> list;
  std::string known;
  for (const Node* node : {&one, &two, &three}) {
    list[node->id()] = node->Entry();
    known += (known.empty() ? "" : ",") + node->Entry();
  }
  Discovery first("d1"), second("d2");
  first.Set(1, list);
  second.Set(1, list);
  std::vector<std::unique_ptr<Balancer>> balancers;
  std::vector<Balancer*> all;
  for (int i = 0; i < 3; ++i) {
    balancers.push_back(std::make_unique<Balancer>(site, i));
    balancers.back()->Configure(first.server.port, known);
    all.push_back(balancers.back().get());
  }
  Council council(all);
  std::vector<std::unique_ptr<Process>> running;
  for (size_t i = 0; i < 3; ++i)
    running.push_back(std::make_unique<Process>(all[i]->name, RunLine() + council.Flag(i), all[i]->Environment()));
  for (const Balancer* one_of : all) {
    if (!one_of->Up(10000)) End(2, "a balancer did not come up");
  }
  council.BeginLog();
  // Clients at all three balancers, some connections each.
  std::atomic<bool> stop = false;
  std::atomic<int> traces = 0, served = 0, unanswered = 0, refused_connections = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < 12; ++i) {
    clients.emplace_back([&, i] {
      const int port = all[static_cast<size_t>(i % 3)]->listen;
      while (!stop) {
        const int trace = ++traces;
        const int fd = ConnectTo(port);
        if (fd < 0) {
          ++refused_connections;
          SleepMs(100);
          continue;
        }
        std::string buffer;
        SendAll(fd, "GET /stock-query?user=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + Trace(trace) +
                        "\r\nX-Customer: wechselstrom-aare\r\nX-Expires-In: 1000m\r\n\r\n");
        const Message answer = ReadMessage(fd, buffer, NowMs() + 3000, true);
        Rec("client %d at balancer-%d sent %s, got %s", i, i % 3 + 1, Trace(trace).c_str(),
            answer.whole ? answer.first.c_str() : "no answer: the connection ended");
        served += answer.status() == 200;
        unanswered += !answer.whole;
        close(fd);
        SleepMs(10);
      }
    });
  }
  SleepMs(2000);
  const int before = served;
  if (before < 50 || unanswered > 0) End(2, "the load is not served");
  // Never within the first second, as the pages say; each balancer once, a second apart.
  if (trouble) {
    for (size_t i = 0; i < 3; ++i) {
      all[i]->Configure(second.server.port, known);
      Rec("%s: the new configuration names d2 as discovery", all[i]->name.c_str());
      running[i]->Signal(SIGHUP);
      SleepMs(1000);
    }
  }
  SleepMs(3000);
  stop = true;
  for (std::thread& client : clients) client.join();
  std::string ended;
  for (size_t i = 0; i < 3; ++i) {
    if (!running[i]->Ended(0)) continue;
    const std::string log = running[i]->LogText();
    const size_t line = log.find_last_of('\n', log.size() < 2 ? 0 : log.size() - 2);
    ended += (ended.empty() ? "" : ", ") + all[i]->name + Text(" with %d", running[i]->code) + " (its last line: " +
             log.substr(line == std::string::npos ? 0 : line + 1, 200) + ")";
  }
  std::replace(ended.begin(), ended.end(), '\n', ' ');
  Rec("%d queries served, %d without an answer, %d connections refused; calls at d2: %d", served.load(),
      unanswered.load(), refused_connections.load(), second.calls.load());
  if (!ended.empty())
    End(1, "ended on SIGHUP: " + ended + Text("; %d queries without an answer, %d connections refused",
                                               unanswered.load(), refused_connections.load()));
  if (unanswered > 0) End(1, Text("%d queries without an answer", unanswered.load()));
  if (trouble && second.calls < 3) End(1, "the new discovery was not called by all");
  End(0, "all balancers run on, each query has its answer");
}
