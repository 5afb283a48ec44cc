// Rate limits at admission: the token buckets, the table's bound, and the answers to clients.
#include "gates/rate_limiter.h"

#include "stories/peers.h"

namespace burlfall {
namespace {

RateLimitSettings Limits(double per_s, double burst) {
  RateLimitSettings settings;
  settings.on = true;
  settings.default_rate = {per_s, burst};
  return settings;
}

std::string Header(const std::string& answer, const std::string& name) {
  size_t at = answer.find(name + ": ");
  if (at == std::string::npos) return "";
  at += name.size() + 2;
  return answer.substr(at, answer.find("\r\n", at) - at);
}

std::string TenantHeader(const std::string& tenant) {
  return tenant.empty() ? "" : "X-Customer: " + tenant + "\r\n";
}

}  // namespace

TEST_CASE("a caller may send its burst, then its rate, and gets the time until the next token") {
  RateLimiter limiter;
  CHECK_FALSE(limiter.CheckLimit("a", 0));  // off
  limiter.Configure(Limits(50, 3));
  Micros now = 1000 * kSecond;
  for (int i = 0; i < 3; ++i) CHECK_FALSE(limiter.CheckLimit("a", now));
  CHECK(limiter.CheckLimit("a", now) == 20000);
  CHECK(limiter.CheckLimit("a", now + 5000) == 15000);
  CHECK_FALSE(limiter.CheckLimit("b", now));  // each caller has its own bucket
  CHECK_FALSE(limiter.CheckLimit("a", now + 20000));
  CHECK(limiter.CheckLimit("a", now + 20000) == 20000);
  now += 3600 * kSecond;  // no more than the burst is saved up
  for (int i = 0; i < 3; ++i) CHECK_FALSE(limiter.CheckLimit("a", now));
  CHECK(limiter.CheckLimit("a", now));
  CHECK(limiter.CheckLimit("a", now - kSecond));  // a clock that steps back neither adds nor removes tokens
}

TEST_CASE("at any rate the announced wait is long enough") {
  for (double rate : {0.3, 1.0, 3.0, 7.0, 33.3, 999.0, 100000.0}) {
    CAPTURE(rate);
    RateLimiter limiter;
    limiter.Configure(Limits(rate, 1));
    Micros now = 1000 * kSecond;
    for (int i = 0; i < 50; ++i) {
      CHECK_FALSE(limiter.CheckLimit("a", now));
      std::optional<Micros> wait = limiter.CheckLimit("a", now);
      REQUIRE(wait);
      if (*wait > 1) CHECK(limiter.CheckLimit("a", now + *wait - 2));
      now += *wait;
    }
  }
}

TEST_CASE("a tiny rate yields a wait that can be formatted") {
  RateLimiter limiter;
  limiter.Configure(Limits(5e-324, 1));
  CHECK_FALSE(limiter.CheckLimit("a", kSecond));
  std::optional<Micros> wait = limiter.CheckLimit("a", kSecond);
  REQUIRE(wait);
  CHECK(RateLimiter::FormatSeconds(*wait) == "1000000000");
}

TEST_CASE("seconds are rounded up and formatted as short as possible") {
  CHECK(RateLimiter::FormatSeconds(20000) == "0.02");
  CHECK(RateLimiter::FormatSeconds(20001) == "0.021");
  CHECK(RateLimiter::FormatSeconds(1) == "0.001");
  CHECK(RateLimiter::FormatSeconds(0) == "0.001");
  CHECK(RateLimiter::FormatSeconds(100 * kMs) == "0.1");
  CHECK(RateLimiter::FormatSeconds(2 * kSecond) == "2");
  CHECK(RateLimiter::FormatSeconds(10 * kSecond) == "10");
  CHECK(RateLimiter::FormatSeconds(1050 * kMs) == "1.05");
}

TEST_CASE("a rate of 0 refuses everything permanently") {
  RateLimitSettings settings = Limits(20, 40);
  settings.rates_by_key["shut"] = {0, 40};
  RateLimiter limiter;
  limiter.Configure(settings);
  CHECK(limiter.CheckLimit("shut", kSecond) == kNever);
  CHECK(limiter.CheckLimit("shut", 9000 * kSecond) == kNever);
  CHECK_FALSE(limiter.CheckLimit("open", kSecond));
}

TEST_CASE("the table stays bounded and evicts the least recently seen caller") {
  RateLimitSettings settings = Limits(0.001, 1);
  settings.max_keys = 3;
  RateLimiter limiter;
  limiter.Configure(settings);
  for (std::string key : {"a", "b", "c"}) CHECK_FALSE(limiter.CheckLimit(key, 1));
  CHECK(limiter.CheckLimit("a", 2));        // seen again: now b is the oldest
  CHECK_FALSE(limiter.CheckLimit("d", 3));  // takes the place of b
  CHECK(limiter.CheckLimit("a", 4));
  CHECK(limiter.CheckLimit("c", 4));
  CHECK_FALSE(limiter.CheckLimit("b", 5));
  for (int i = 0; i < 10000; ++i) limiter.CheckLimit(std::string(1000, 'x').append(std::to_string(i)), 6);
  for (int i = 0; i < 10000; ++i) limiter.CheckLimit(std::to_string(i), 6);
  CHECK(limiter.caller_count() == 3);
}

TEST_CASE("new rates apply at once, and callers keep the state of their buckets") {
  RateLimiter limiter;
  limiter.Configure(Limits(1, 10));
  for (int i = 0; i < 10; ++i) CHECK_FALSE(limiter.CheckLimit("a", kSecond));
  RateLimitSettings settings = Limits(1, 10);
  settings.rates_by_key["a"] = {100, 20};
  limiter.Configure(settings);
  CHECK(limiter.CheckLimit("a", kSecond) == 10000);
  settings.by_address = true;
  limiter.Configure(settings);
  CHECK(limiter.caller_count() == 0);
}

TEST_CASE("an excess query is answered 429 at admission, reaches no server, and its link stays usable") {
  Peer server;
  TextFile file(
      "door.rate.wechselstrom-aare = 50\ndoor.burst.wechselstrom-aare = 2\ndoor.rate.shut = 0\n"
      "door.rate.default = 0.001\ndoor.burst.default = 1\n");
  Program program(ConfigText({.known = Entry("s-1", server.port)}), {"serve", "--config", file.path});
  Link client = Link::To(program.port);
  std::optional<Link> link;
  auto served = [&](const std::string& tenant) {
    client.Write("POST /open HTTP/1.1\r\nX-Trace-Id: " + FreshTraceId() + "\r\n" + TenantHeader(tenant) +
                 "Content-Length: 4\r\n\r\nbody");
    server.AwaitQuery(link);
    CHECK(link->Read().ends_with("body"));
    link->Write(Ok("fine"));
    CHECK(client.Read().ends_with("fine"));
  };
  auto refused = [&](const std::string& tenant) {
    client.Write("POST /open HTTP/1.1\r\nX-Trace-Id: " + FreshTraceId() + "\r\n" + TenantHeader(tenant) +
                 "Content-Length: 4\r\n\r\nbody");
    std::string answer = client.Read();
    CHECK(answer.starts_with("HTTP/1.1 429 Too Many Requests\r\n"));
    return Header(answer, "Retry-After");
  };
  CHECK(refused("shut").empty());
  served("");
  double wait = std::stod(refused(""));
  CHECK(wait > 900);
  CHECK(wait <= 1000);
  CHECK(std::stod(refused("-")) > 900);  // the same key
  served("akku-punkt-lu");
  refused("akku-punkt-lu");
  // Repeated until a query exceeds the rate: at 50 per second a slow machine may earn tokens in between.
  std::string retry_after;
  for (int i = 0; i < 500 && retry_after.empty(); ++i) {
    std::string burst;
    for (int k = 0; k < 4; ++k)
      burst += "GET /look HTTP/1.1\r\n" + TenantHeader("wechselstrom-aare") + "\r\n";
    client.Write(burst);  // names a class, but has no trace id: 400 once it is admitted
    for (int k = 0; k < 4; ++k) {
      std::string answer = client.Read();
      if (answer.starts_with("HTTP/1.1 429 ")) retry_after = Header(answer, "Retry-After");
    }
  }
  CHECK(std::stod(retry_after) > 0);
  CHECK(std::stod(retry_after) <= 0.02);
  client.Write("GET /up HTTP/1.1\r\n\r\n");
  CHECK(client.Read().starts_with("HTTP/1.1 200 "));

  file.Write("door.rate.default = 1000\n");
  program.Signal(SIGHUP);
  program.ReadLineExceptDiscovery();
  CHECK(program.ReadLineExceptDiscovery().starts_with("burlfall: properties read anew"));
  served("shut");
  CHECK(program.Wait(SIGTERM) == 0);
  CHECK(program.output.find(" limited=") != std::string::npos);
  CHECK(program.output.find(" sent=3 ") != std::string::npos);
}

TEST_CASE("callers may be identified by their address") {
  Peer server;
  TextFile file("door.key = address\ndoor.rate.127.0.0.1 = 0.001\ndoor.burst.127.0.0.1 = 1\n");
  Program program(ConfigText({.known = Entry("s-1", server.port)}), {"serve", "--config", file.path});
  for (int i = 0; i < 2; ++i) {
    Link client = Link::To(program.port);  // from another port each time
    client.Write("GET /look HTTP/1.1\r\n" + TenantHeader(std::string("t").append(std::to_string(i))) +
                 "\r\n");
    CHECK(client.Read().starts_with(i == 0 ? "HTTP/1.1 400 " : "HTTP/1.1 429 "));
  }
}

}  // namespace burlfall
