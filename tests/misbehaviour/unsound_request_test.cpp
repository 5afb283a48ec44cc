// Guards against serving requests that the protocol page does not allow.
#include "misbehaviour/clients.h"

namespace burlfall {
namespace {

struct Case {
  std::string what;
  std::string request;
};

std::string Request(const std::string& line, const std::string& headers, const std::string& body = "") {
  return line + " HTTP/1.1\r\nHost: s\r\n" + headers +
         (line.starts_with("POST") ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") +
         "\r\n" + body;
}

}  // namespace

TEST_CASE("requests that are not sound get an error, and no node sees them") {
  ScriptedNode node;
  Program program(LeastMemoryConfig(node, 256), InService());
  const std::string id = "X-Trace-Id: u1\r\n", key = "Idempotency-Key: k\r\n";
  const std::vector<Case> cases = {
      {"no id", Request("GET /look", "")},
      {"an empty id", Request("GET /look", "X-Trace-Id:\r\n")},
      {"an id of blanks", Request("GET /look", "X-Trace-Id:  \t \r\n")},
      {"two ids", Request("GET /look", id + "X-Trace-Id: u2\r\n")},
      {"an id twice", Request("GET /look", id + id)},
      {"a deadline that is no number", Request("GET /look", id + "X-Expires-In: soon\r\n")},
      {"a deadline of letters and a unit", Request("GET /look", id + "X-Expires-In: nanm\r\n")},
      {"an endless deadline", Request("GET /look", id + "X-Expires-In: infm\r\n")},
      {"an empty deadline", Request("GET /look", id + "X-Expires-In:\r\n")},
      {"a negative deadline", Request("GET /look", id + "X-Expires-In: -5m\r\n")},
      {"a deadline without a unit", Request("GET /look", id + "X-Expires-In: 480\r\n")},
      {"a deadline of another unit", Request("GET /look", id + "X-Expires-In: 480s\r\n")},
      {"a deadline with more behind it", Request("GET /look", id + "X-Expires-In: 480mm\r\n")},
      {"two deadlines", Request("GET /look", id + "X-Expires-In: 480m\r\nX-Expires-In: 9m\r\n")},
      {"a class that does not exist", Request("GET /nothing", id)},
      {"no class", Request("GET /", id)},
      {"a keyed class without its key", Request("POST /pay", id, "x")},
      {"a keyed class with an empty key", Request("POST /pay", id + "Idempotency-Key:\r\n", "x")},
      {"a keyed class with two keys", Request("POST /pay", id + key + "Idempotency-Key: l\r\n", "x")},
      {"a safe class by POST", Request("POST /look", id, "x")},
      {"a keyed class by GET", Request("GET /pay", id + key)},
      {"an unsafe class by GET", Request("GET /open", id)},
      {"an unsafe class by PUT", "PUT /open HTTP/1.1\r\n" + id + "Content-Length: 1\r\n\r\nx"},
      {"a safe class with a body", "GET /look HTTP/1.1\r\n" + id + "Content-Length: 1\r\n\r\nx"},
      {"a length and a coding",
       "POST /open HTTP/1.1\r\n" + id + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"a negative length", "POST /open HTTP/1.1\r\n" + id + "Content-Length: -1\r\n\r\n"},
  };
  for (const Case& one : cases) {
    CAPTURE(one.what);
    Link client = Link::To(program.port);
    client.Write(one.request);
    const std::string answer = client.Read();
    CHECK((answer.starts_with("HTTP/1.1 4") || answer.starts_with("HTTP/1.1 502")));
    CHECK_FALSE(answer.starts_with("HTTP/1.1 429"));
    CHECK(node.Queries().empty());
  }
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE("requests that the protocol page allows or leaves open are served") {
  ScriptedNode node;
  Program program(LeastMemoryConfig(node, 256), InService());
  const std::string key = "Idempotency-Key: k\r\n";
  const std::vector<Case> cases = {
      {"milliseconds", Request("GET /look?user=1", "X-Trace-Id: s1\r\nX-Expires-In: 480m\r\n")},
      {"microseconds", Request("GET /look", "X-Trace-Id: s2\r\nX-Expires-In: 480000u\r\n")},
      {"a decimal", Request("GET /look", "X-Trace-Id: s3\r\nX-Expires-In: 480.5m\r\n")},
      {"no deadline", Request("GET /look", "X-Trace-Id: s4\r\n")},
      {"an unknown tenant", Request("GET /look", "X-Trace-Id: s5\r\nX-Customer: nobody\r\n")},
      {"keyed", Request("POST /pay?user=2", "X-Trace-Id: s6\r\n" + key, "x")},
      {"unsafe", Request("POST /open", "x-trace-id: s7\r\n", "x")},
      {"unsafe without a body", Request("POST /open", "X-Trace-Id: s8\r\n")},
      {"an empty body where none is needed",
       "GET /look HTTP/1.1\r\nX-Trace-Id: s9\r\nContent-Length: 0\r\n\r\n"},
  };
  for (const Case& one : cases) {
    CAPTURE(one.what);
    Link client = Link::To(program.port);
    client.Write(one.request);
    CHECK(client.Read().ends_with("fine"));
  }
  CHECK(program.Wait(SIGTERM) == 0);
}

}  // namespace burlfall
