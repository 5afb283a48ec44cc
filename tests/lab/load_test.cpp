// Stories of the load against a scripted server, and of its command line.
#define CATCH_CONFIG_MAIN
#include "lab/load/load.h"

#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "lab/scripted.h"

namespace burlfall::lab {
namespace {

struct Site : Stage {
  Site() {
    plan.to = server.at;
    plan.query = "GET /{id} HTTP/1.1\r\nX-Again: {id}\r\n\r\n";
    plan.connections = 1;
    plan.duration = 300 * kMs;
    plan.timeout = kPatience;
  }
  // Plays the load to its end, with `serve` on each link of it.
  template <typename Serve>
  LoadResult Run(Serve serve) {
    LoadResult result;
    Play([&]() -> Task<> {
      const auto accept = [&]() -> Task<> {
        std::vector<Task<>> links;
        while (true) {
          links.push_back(serve(co_await server.Accept()));
          links.back().Start();
        }
      };
      Task<> accepting = accept();
      accepting.Start();
      Load load(machine, plan);
      co_await load.Run();
      result = load.result();
    });
    return result;
  }

  Server server{*this};
  LoadPlan plan;
};

TEST_CASE("in an open loop latency counts from when a query was to be sent, whatever held it up") {
  Site s;
  s.plan.rate_per_s = 50;
  s.plan.even = true;
  const LoadResult result = s.Run([&](Served link) -> Task<> {
    while (true) {
      const HttpMessage query = co_await link.Query();
      if (query.method.empty()) co_return;
      co_await s.Rest(60 * kMs);  // three times as long as there is between two queries
      link.Write(Answer(200));
    }
  });
  CHECK(result.queries == 14);
  CHECK(result.answers == std::map<int, uint64_t>{{200, 14}});
  CHECK(result.latency.Max() >= 14 * 60 * kMs - 300 * kMs);
  CHECK(result.took >= 14 * 60 * kMs);
  CHECK(result.connects == 1);
}

TEST_CASE("in a closed loop the next query follows the answer, with an id of its own") {
  Site s;
  std::set<std::string> ids;
  const LoadResult result = s.Run([&](Served link) -> Task<> {
    while (true) {
      const HttpMessage query = co_await link.Query();
      if (query.method.empty()) co_return;
      CHECK(query.target == "/" + *query.Find("X-Again"));
      CHECK(query.target.size() == 17);
      CHECK(ids.insert(query.target).second);
      co_await s.Rest(20 * kMs);
      link.Write(Answer(ids.size() % 2 == 0 ? 503 : 200, "body"));
    }
  });
  CHECK(result.queries == ids.size());
  CHECK(result.answered() == ids.size());
  CHECK(result.answers.at(503) == ids.size() / 2);
  CHECK(result.latency.Quantile(0.5) >= 20 * kMs);
}

TEST_CASE("a server that is silent, closes, or answers with anything else is counted, and asked on") {
  Site s;
  s.plan.timeout = 50 * kMs;
  s.plan.duration = kSecond;
  int links = 0;
  const LoadResult result = s.Run([&](Served link) -> Task<> {
    const int kind = links++ % 4;
    const HttpMessage query = co_await link.Query();
    if (query.method.empty()) co_return;
    if (kind == 0) link.Write("what is this\r\n\r\n");
    if (kind == 1) link.Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort");
    if (kind <= 1) link->Close();
    if (kind <= 1) co_return;
    if (kind == 2) link.Write(Answer(200, "last", "Connection: close\r\n"));
    co_await link.Query();
  });
  CHECK(result.garbled >= 2);
  CHECK(result.broken >= 2);
  CHECK(result.timed_out >= 2);
  CHECK(result.answered() >= 2);
  CHECK(result.garbled + result.broken + result.timed_out + result.answered() == result.queries);
}

TEST_CASE("a load that is itself late gives no verdict") {
  Site s;
  s.plan.rate_per_s = 100;
  s.plan.even = true;
  const LoadResult result = s.Run([&](Served link) -> Task<> {
    // Both ends share one thread: for so long it can't send.
    for (const Micros until = s.machine.Now() + 100 * kMs; s.machine.Now() < until;) continue;
    while (true) {
      const HttpMessage query = co_await link.Query();
      if (query.method.empty()) co_return;
      link.Write(Answer(200));
    }
  });
  CHECK(result.late.Max() >= 50 * kMs);
  CHECK(result.too_late());
}

struct Ended {
  int code = -1;
  std::string out;
};
Ended Command(const std::string& words) {
  Ended ended;
  FILE* pipe = popen((BURLFALL " lab load " + words + " 2>/dev/null").c_str(), "r");
  REQUIRE(pipe != nullptr);
  for (int c; (c = std::getc(pipe)) != EOF;) ended.out += static_cast<char>(c);
  const int status = pclose(pipe);
  if (WIFEXITED(status)) ended.code = WEXITSTATUS(status);
  return ended;
}

TEST_CASE("the command ends with 2 where it is used wrongly and 1 where nothing was answered") {
  for (const char* words : {"", "nowhere", "https://127.0.0.1/", "http://127.0.0.1:1/ --rate -1",
                            "http://127.0.0.1:1/ --header nocolon"}) {
    INFO(words);
    CHECK(Command(words).code == 2);
  }
  CHECK(Command("--help").code == 0);
  const Ended nobody = Command("http://127.0.0.1:1/ --duration 0.1 --timeout 0.1 --rate 50 --json");
  CHECK(nobody.code == 1);
  const auto json = nlohmann::json::parse(nobody.out);
  CHECK(json["answered"] == 0);
  CHECK(json["latency_ms"].is_null());
  CHECK(json["errors"]["connects_failed"] > 0);
}

}  // namespace
}  // namespace burlfall::lab
