// Tests of the stand-ins over loopback sockets, one for each of their abilities. Clients and stand-ins share
// one machine, and each scenario is a coroutine on it. An event that must not happen is awaited for
// kQuietPeriod, an event that must happen for kTestTimeout, which is long because it only expires if the code
// is broken. CHECK never contains co_await, because the macro expands its expression twice.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <utility>

#include "io/real_machine.h"
#include "lab/site/discovery.h"
#include "lab/site/mark.h"
#include "lab/site/node.h"
#include "lab/witness/null_observer.h"

namespace burlfall::lab {
namespace {

using meadowslip::BackendState;
using meadowslip::Idempotency;

constexpr Micros kTestTimeout = 15 * kSecond;
constexpr Micros kQuietPeriod = 150 * kMs;

// Records each notification as one word.
class Recorder final : public NullObserver {
 public:
  void Arrived(const ArrivedAttempt& attempt) override {
    seen = attempt;
    Note("arrived");
  }
  void Ran(uint64_t, Micros, bool effect) override { Note(effect ? "ran" : "repeat"); }
  void AttemptEnded(uint64_t, Micros, AttemptEnd how) override {
    constexpr const char* kWords[] = {"answered", "error", "turned-away", "spoilt", "dropped"};
    Note(kWords[static_cast<int>(how)]);
  }
  void LinkEnded(uint64_t, Micros) override { Note("link-ended"); }
  void HandshakeAt(int, int, Micros) override { ++handshakes; }
  void NodeChanged(int, NodeChange change, Micros, const std::vector<double>& by_balancer) override {
    constexpr const char* kWords[] = {"started", "draining", "died", "fell"};
    Note(kWords[static_cast<int>(change)]);
    work_by_balancer = by_balancer;
  }
  void NodeStateSent(int balancer, int node, BackendState state, Micros, Micros) override {
    constexpr const char* kWords[] = {"-gone", "-ready", "-draining"};
    Note("told-" + std::to_string(balancer) + "-" + std::to_string(node) + kWords[static_cast<int>(state)]);
  }
  void Listed(int node, BackendState, Micros, Micros) override { Note("listed-" + std::to_string(node)); }
  void ListRequestFailed(int balancer, Micros) override { Note("failed-" + std::to_string(balancer)); }
  void ListRequested(int balancer, Micros, bool watching) override {
    Note((watching ? "watches-" : "asked-") + std::to_string(balancer));
  }

  // Returns and clears the notifications since the last call.
  const std::string& words() const { return words_; }
  std::string Heard() { return std::exchange(words_, ""); }
  bool Has(const std::string& word) const { return words_.find(word) != std::string::npos; }

  ArrivedAttempt seen;
  std::vector<double> work_by_balancer;
  int handshakes = 0;

 private:
  void Note(const std::string& word) { words_ += (words_.empty() ? "" : " ") + word; }

  std::string words_;
};

struct Site {
  Site() { plan.handshake = 0; }
  // Runs the scenario to its end.
  template <typename Scenario>
  void RunScenario(Scenario scenario) {
    bool done = false;
    auto playing = [&]() -> Task<> {
      co_await scenario();
      done = true;
      machine.scheduler().Stop();
    };
    auto guarding = [&]() -> Task<> {
      co_await Rest(3 * kTestTimeout);
      machine.scheduler().Stop();
    };
    Task<> play = playing();
    Task<> guard = guarding();
    guard.Start();
    play.Start();
    machine.scheduler().Run();
    REQUIRE(done);
  }
  std::vector<Address> AnyPort() const { return {2, *ReadAddress("127.0.0.1:0")}; }
  std::unique_ptr<Node> Up(bool cold = false) {
    auto node = std::make_unique<Node>(site, 7, plan, group, AnyPort(), 1);
    node->Start(cold);
    witness.Heard();
    return node;
  }
  Task<> Rest(Micros span) {
    Event nothing(machine.scheduler());
    co_await nothing.Wait(machine.Now() + span);
  }
  Task<> Hears(std::string words) {
    const Micros until = machine.Now() + kTestTimeout;
    while (!witness.Has(words) && machine.Now() < until) co_await Rest(kMs);
    INFO(witness.words());
    CHECK(witness.Has(words));
  }

  RealMachine machine;
  Recorder witness;
  std::vector<ClassSpec> classes = {{.name = "look", .effect = Idempotency::kSafe},
                                    {.name = "pay", .effect = Idempotency::kKeyed}};
  Deduplicator repeats{classes};
  NodePlan plan;
  NodeGroup group;
  NodeSite site{machine, witness, repeats, classes};
};

// The client's end of a connection.
class Client {
 public:
  Client(Site& site, const Address& to) : machine_(site.machine) {
    NoConnection why = NoConnection::kRefused;
    stream_ = machine_.network().Connect(to, why);
  }
  Task<> StaysDown(bool refused) {  // false: no reaction at all
    const Micros until = machine_.Now() + (refused ? kTestTimeout : kQuietPeriod);
    const bool up = co_await Up(until);
    CHECK_FALSE(up);
    CHECK((machine_.Now() < until) == refused);
  }
  Task<> Says(std::string text) {
    const bool up = co_await Up(machine_.Now() + kTestTimeout);
    CHECK(up);
    std::string_view rest = text;
    CHECK(stream_->Write(rest) == Io::kSome);
  }
  Task<> Hears(int status) {
    last = co_await Answer(kTestTimeout);
    CHECK(last.status == status);
  }
  Task<> HearsNothing() {
    last = co_await Answer(kQuietPeriod);
    CHECK(last.status == 0);
    CHECK(ended == Io::kLater);
  }
  Task<> Gets(int status, std::string query) {
    co_await Says(std::move(query));
    co_await Hears(status);
  }
  Task<> Ends(Io how) {
    last = co_await Answer(kTestTimeout);
    CHECK(ended == how);
  }
  // Returns the next answer; its status is 0 if no complete answer arrived. `ended` then gives the reason:
  // kLater for a timeout, kSome for a malformed answer.
  Task<HttpMessage> Answer(Micros timeout) {
    const Micros until = machine_.Now() + timeout;
    HttpParser parser(HttpParser::Kind::kResponse);
    Parsed parsed = Parsed::kMore;
    for (ended = Io::kSome; parsed == Parsed::kMore && ended == Io::kSome;) {
      ended = stream_->Read(in_);
      if (ended == Io::kSome) parsed = parser.Feed(in_);
      if (ended != Io::kLater) continue;
      const bool notified = co_await stream_->Wait(until);
      if (notified) ended = Io::kSome;
    }
    co_return parsed == Parsed::kDone ? parser.Take() : HttpMessage();
  }
  Stream& stream() { return *stream_; }
  HttpMessage last;
  Io ended = Io::kLater;

 private:
  Task<bool> Up(Micros until) {
    if (stream_ == nullptr) co_return false;
    const bool up = co_await Connected(*stream_, until);
    co_return up;
  }

  Machine& machine_;
  std::unique_ptr<Stream> stream_;
  std::string in_;
};

std::string Query(TraceId trace, Micros work = 0, const std::string& more = "") {
  return "GET /look?user=1f HTTP/1.1\r\nX-Trace-Id: " + TraceText(trace) +
         "\r\nX-Size-Hint: " + std::to_string(work) + "\r\n" + more + "\r\n";
}

TEST_CASE("a query is run and answered with its mark, and the witness is notified in order") {
  Site s;
  s.site.body_bytes = 300;
  auto node = s.Up();
  s.RunScenario([&]() -> Task<> {
    Client client(s, node->At(1));
    co_await client.Gets(200, Query(0xabc));
    CHECK(client.last.body.size() == 300);
    CHECK(ReadMark(client.last.body) == Mark{0xabc, 7, 1});
    CHECK(s.witness.Heard() == "arrived ran answered");
    CHECK(s.witness.seen.balancer == 1);
    CHECK(s.witness.seen.trace == 0xabc);
    client.last.body[200] = 'x';
    CHECK(ReadMark(client.last.body) == Mark());
    for (int i = 0; i < 2; ++i) {
      const std::string pay = "POST /pay HTTP/1.1\r\nX-Trace-Id: " + TraceText(2) +
                              "\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n";
      co_await client.Gets(200, pay);
    }
    CHECK(s.witness.Heard() == "arrived ran answered arrived repeat answered");
    CHECK(s.witness.handshakes == 1);
  });
}

TEST_CASE("the work of a query is that of its generator, and an unknown query is not served") {
  Site s;
  s.site.work_of = [](TraceId trace, WorkInfo& info) {
    info = {0, 300.0 * kMs};
    return trace == 5;
  };
  s.plan.handshake = 200 * kMs;
  auto node = s.Up();
  s.RunScenario([&]() -> Task<> {
    Client client(s, node->At(0));
    const Micros from = s.machine.Now();
    co_await client.Gets(200, Query(5));
    CHECK(s.machine.Now() - from >= 500 * kMs);  // after the handshake
    co_await client.Gets(200, Query(6));         // the work of its hint
    co_await client.Gets(400, "GET /look HTTP/1.1\r\nX-Trace-Id: 0000000000000006\r\n\r\n");
    co_await client.Gets(400, "GET /pay HTTP/1.1\r\nX-Trace-Id: 0000000000000005\r\n\r\n");
    co_await client.Gets(404, "GET /look HTTP/1.1\r\n\r\n");
    CHECK(node->unexpected_queries() == 3);
    CHECK(s.site.attempts == 2);
  });
}

TEST_CASE("a query that never ran is marked so, an error is a 500, and a silent node does not answer") {
  Site s;
  s.plan.slots = s.group.cores = 1;
  s.plan.queue = 1;
  auto node = s.Up();
  s.RunScenario([&]() -> Task<> {
    Client a(s, node->At(0)), b(s, node->At(0)), c(s, node->At(0));
    co_await a.Says(Query(1, 500 * kMs));
    co_await s.Hears("ran");
    co_await b.Says(Query(2, 0, "X-Expires-In: 1m\r\n"));
    co_await s.Hears("arrived ran arrived");
    co_await c.Gets(503, Query(3));
    CHECK(c.last.Find("X-Never-Ran") != nullptr);
    co_await b.Hears(504);
    CHECK(b.last.Find("X-Never-Ran") != nullptr);
    co_await a.Hears(200);
    node->FailFast(1);
    co_await a.Gets(500, Query(4));
    CHECK(a.last.Find("X-Never-Ran") == nullptr);
    node->FailFast(0);
    node->Silence(true);
    co_await b.Says(Query(5));
    co_await b.HearsNothing();
    node->Silence(false);
    co_await b.Hears(200);
    node->Drain();
    co_await a.Gets(503, Query(6));
    CHECK(s.witness.Heard().ends_with("ran error arrived ran answered draining arrived turned-away"));
  });
}

TEST_CASE("a link above the limit is rejected, and one far above it is reset") {
  Site s;
  s.plan.links = 1;
  auto node = s.Up();
  s.RunScenario([&]() -> Task<> {
    std::vector<std::unique_ptr<Client>> all;
    for (int i = 1; i <= 65; ++i) {
      all.push_back(std::make_unique<Client>(s, node->At(0)));
      while (node->links() < i) co_await s.Rest(kMs);
    }
    Client one_more(s, node->At(0));
    co_await one_more.Ends(Io::kBroken);
    co_await all[1]->Gets(503, Query(1));
    CHECK(all[1]->last.Find("X-Never-Ran") != nullptr);
    CHECK_FALSE(all[1]->last.keep_alive);
    co_await all[0]->Gets(200, Query(2));
    CHECK(s.witness.handshakes == 1);
  });
}

TEST_CASE("a client that gives up is noticed, and an attempt that still runs is not answered") {
  Site s;
  s.plan.slots = s.group.cores = 1;
  auto node = s.Up();
  s.RunScenario([&]() -> Task<> {
    Client a(s, node->At(0)), b(s, node->At(0)), c(s, node->At(0));
    co_await a.Says(Query(1, kSecond));
    co_await s.Hears("ran");
    co_await b.Says(Query(2, 300 * kMs));
    co_await s.Hears("arrived ran arrived");
    b.stream().Finish();  // half-closing the connection also counts as giving up
    co_await s.Hears("link-ended dropped");
    a.stream().Close();
    co_await s.Hears("dropped link-ended");
    CHECK(node->pending_queries() == 1);
    co_await c.Gets(200, Query(3));
    CHECK(s.witness.Heard() ==
          "arrived ran arrived link-ended dropped link-ended arrived dropped ran answered");
  });
}

TEST_CASE("idle, incomplete and malformed links are closed") {
  Site s;
  s.site.idle_close = 500 * kMs;
  s.site.read_timeout = 700 * kMs;
  auto node = s.Up();
  s.RunScenario([&]() -> Task<> {
    Client idle(s, node->At(0)), half(s, node->At(0)), nonsense(s, node->At(0)), large(s, node->At(0));
    const Micros from = s.machine.Now();
    co_await half.Says("GET /look HTT");
    co_await nonsense.Says("\x01\x02\r\n\r\n");
    co_await large.Says("POST /look HTTP/1.1\r\nContent-Length: 70000\r\n\r\n");
    co_await nonsense.Hears(400);
    co_await large.Hears(413);
    co_await idle.Ends(Io::kClosed);
    CHECK(s.machine.Now() - from >= 490 * kMs);
    co_await half.Ends(Io::kClosed);
    CHECK(s.machine.Now() - from >= 690 * kMs);
  });
  CHECK(node->links() == 0);
  CHECK(s.site.attempts == 0);
}

TEST_CASE("the delay between a balancer and a node applies in each direction") {
  Site s;
  auto node = s.Up();
  node->Delay(1, 40 * kMs);
  s.RunScenario([&]() -> Task<> {
    Client far(s, node->At(1));
    Micros from = s.machine.Now();
    co_await far.Gets(200, Query(1));
    CHECK(s.machine.Now() - from >= 160 * kMs);  // includes the connect's round trip
    CHECK(s.witness.seen.at - s.witness.seen.first_byte_at >= 40 * kMs);
    from = s.machine.Now();
    co_await far.Gets(200, Query(2));
    CHECK(s.machine.Now() - from >= 80 * kMs);
  });
}

TEST_CASE("a cut between a balancer and a node is silent, and its end resets the links") {
  Site s;
  auto node = s.Up();
  s.RunScenario([&]() -> Task<> {
    Client cut(s, node->At(0)), waits(s, node->At(0)), gives_up(s, node->At(0)), other(s, node->At(1));
    co_await cut.Gets(200, Query(1));
    co_await waits.Says(Query(2, kSecond / 2));
    co_await s.Hears("arrived ran answered arrived ran");
    co_await gives_up.Says(Query(3, 60 * kSecond));
    co_await s.Hears("ran arrived ran");
    s.witness.Heard();
    node->Cut(0, true);
    co_await cut.Says(Query(4));
    Client late(s, node->At(0));
    co_await late.StaysDown(false);
    co_await cut.HearsNothing();
    CHECK(s.witness.Heard() == "");
    // The witness is notified of both, although node and balancer do not see each other.
    co_await s.Hears("dropped");
    gives_up.stream().Close();
    co_await s.Hears("dropped link-ended");
    CHECK(node->pending_queries() == 1);
    co_await waits.HearsNothing();
    co_await other.Gets(200, Query(5));

    node->Die();
    co_await cut.HearsNothing();
    Client dead(s, node->At(0));
    co_await dead.StaysDown(false);
    node->Start(false);

    node->Cut(0, false);
    co_await cut.Ends(Io::kBroken);
    co_await late.Gets(200, Query(6));
    CHECK(s.site.attempts == 5);
  });
}

TEST_CASE(
    "a node that dies or crashes from overload resets its links, refuses connections, and can restart") {
  Site s;
  s.plan.cold_share = 0.1;
  auto node = s.Up();
  s.RunScenario([&]() -> Task<> {
    const std::string at = node->At(0).text;
    Client idle(s, node->At(0)), waits(s, node->At(1));
    co_await idle.Gets(200, Query(1));
    co_await waits.Says(Query(2, 10 * kSecond));
    co_await s.Hears("arrived ran answered arrived ran");
    node->Die();
    CHECK(s.witness.Heard() == "arrived ran answered arrived ran died dropped");
    co_await idle.Ends(Io::kBroken);
    co_await waits.Ends(Io::kBroken);
    Client refused(s, node->At(0));
    co_await refused.StaysDown(true);
    // The port is outside the ephemeral range, so that no connection can occupy it meanwhile.
    CHECK(std::stoi(at.substr(at.rfind(':') + 1)) < 32768);
    node->Start(true);
    CHECK(node->At(0).text == at);
    Client again(s, node->At(0));
    co_await again.Gets(200, Query(3));
    node->SetAddresses(s.AnyPort());
    node->Start(false);
    CHECK(node->At(0).text != at);
    CHECK(s.witness.Heard() == "started arrived ran answered died started");

    node->Start(true);
    Client a(s, node->At(0)), b(s, node->At(1));
    co_await a.Says(Query(4, kSecond));  // of a budget of 1.2 s
    co_await s.Hears("ran");
    s.witness.Heard();
    co_await b.Says(Query(5, kSecond));
    co_await a.Ends(Io::kBroken);
    co_await b.Ends(Io::kBroken);
    CHECK(s.witness.Heard() == "arrived fell dropped dropped");
    CHECK(s.witness.work_by_balancer == std::vector<double>{1.0 * kSecond, 1.0 * kSecond});
    CHECK_FALSE(node->up());
  });
}

TEST_CASE("links are reset after their query has arrived") {
  Site s;
  auto node = s.Up();
  node->SetResetShare(0.5);
  s.RunScenario([&]() -> Task<> {
    int reset = 0;
    for (TraceId trace = 1; trace <= 40; ++trace) {
      Client client(s, node->At(0));
      co_await client.Says(Query(trace, kMs));
      const HttpMessage answer = co_await client.Answer(kTestTimeout);
      if (answer.status != 0) continue;
      ++reset;
      CHECK(client.ended == Io::kBroken);
      CHECK(s.witness.seen.trace == trace);
      co_await s.Hears("dropped");
      CHECK(s.witness.Heard().ends_with("link-ended dropped"));
    }
    CHECK(reset > 5);
    CHECK(reset < 35);
  });
}

TEST_CASE("corrupted answers are truncated, garbled or another query's, and the witness is notified") {
  Site s;
  auto node = s.Up();
  s.RunScenario([&]() -> Task<> {
    Client first(s, node->At(0));
    co_await first.Gets(200, Query(1));
    node->SetCorruptedShare(1);
    int cut = 0, garbled = 0, another = 0;
    for (TraceId trace = 2; trace <= 60; ++trace) {
      Client client(s, node->At(0));
      s.witness.Heard();
      co_await client.Says(Query(trace));
      const HttpMessage answer = co_await client.Answer(kTestTimeout);
      CHECK(s.witness.Heard() == "arrived ran spoilt");
      another += answer.status == 200 && ReadMark(answer.body).trace == 1;
      cut += answer.status == 0 && client.ended == Io::kClosed;
      garbled += answer.status == 0 && client.ended == Io::kSome;
      CHECK(ReadMark(answer.body).trace != trace);
    }
    CHECK(another > 5);
    CHECK(cut > 5);
    CHECK(garbled > 5);
  });
}

TEST_CASE(
    "discovery gives each balancer its own addresses, and notifies the witness of what it has written") {
  Site s;
  const DiscoverySpec spec{.late_ms = {50, 50}, .silent_late_ms = {100, 100}, .calls_per_s = 1000};
  auto address_of = [](int node, int balancer) {
    return std::to_string(balancer) + ":" + std::to_string(node);
  };
  auto text_of = [](const NodeList& list) {  // "1! 0:0=1 0:1=1": version 1, the full list
    std::string text = std::to_string(list.version) + (list.full ? "!" : "");
    for (const ListedNode& one : list.nodes) {
      text += " " + one.address + "=" + std::to_string(static_cast<int>(one.state));
    }
    return text;
  };
  Discovery discovery(s.machine, s.witness, spec, s.AnyPort(), {{.node = 0}, {.node = 1}}, address_of,
                      text_of, 1);
  s.RunScenario([&]() -> Task<> {
    Client zero(s, discovery.At(0)), one(s, discovery.At(1));
    const std::string list = "GET /discovery/hosts HTTP/1.1\r\n\r\n";
    co_await one.Gets(200, list);
    CHECK(one.last.body == "1! 1:0=1 1:1=1");
    CHECK(one.last.body == text_of(discovery.ListFor(1)));
    co_await one.Gets(404, "GET /elsewhere HTTP/1.1\r\n\r\n");
    CHECK(s.witness.Heard() == "told-1-0-ready told-1-1-ready asked-1");

    co_await zero.Says("GET /discovery/hosts?index=1&wait=20000 HTTP/1.1\r\n\r\n");
    co_await s.Hears("watches-0");
    discovery.ReportChange(1, BackendState::kGone, 0);
    discovery.ReportChange(0, BackendState::kDraining, 0,
                           true);  // takes effect in the gap after that watch's answer
    co_await zero.Hears(200);
    CHECK(zero.last.body == "2 0:1=0");
    for (const char* word : {"told-0-1-gone", "told-0-0-draining", "listed-1", "listed-0"}) {
      co_await s.Hears(word);
    }
    co_await s.Hears("asked-0");  // no further call: the watch ends
    s.witness.Heard();
    co_await one.Gets(200, list);
    CHECK(one.last.body == "3! 1:0=2");
    CHECK(s.witness.Heard() == "told-1-0-draining told-1-1-gone asked-1");

    co_await zero.Says("GET /discovery/hosts?index=3&wait=20000 HTTP/1.1\r\n\r\n");
    co_await s.Hears("watches-0");
    zero.stream().Close();
    co_await s.Hears("watches-0 asked-0");

    Client cut(s, discovery.At(0));
    co_await cut.Says("GET /discovery/hosts?index=3&wait=20000 HTTP/1.1\r\n\r\n");
    co_await s.Hears("watches-0 asked-0 watches-0");
    discovery.Cut(0, true);
    discovery.ReportChange(0, BackendState::kReady, kSecond);
    co_await cut.HearsNothing();
    CHECK_FALSE(s.witness.Has("told-0"));
    discovery.Cut(0, false);
    co_await cut.Ends(Io::kBroken);

    discovery.GoDown();
    int resets = 0;
    for (int i = 0; i < 20; ++i) {
      Client call(s, discovery.At(1));
      co_await call.Says(list);
      const HttpMessage answer = co_await call.Answer(kTestTimeout);
      CHECK((answer.status == 503 || call.ended == Io::kBroken));
      resets += answer.status == 0;
    }
    CHECK(resets > 0);
    CHECK(resets < 20);
    CHECK(s.witness.Has("failed-1 failed-1"));
    discovery.ComeBack();
    co_await one.Gets(200, list);
    CHECK(one.last.body == "4! 1:0=1");
  });
}

}  // namespace
}  // namespace burlfall::lab
