// One attempt at a server, and the events that cross it: a connection that comes up late, a process that
// stood still, a server that speaks out of turn. Each order is forced on a virtual clock.
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "dispatch/dispatcher.h"
#include "front/upload.h"
#include "upstream/http_upstream.h"
#include "world/virtual_machine.h"

namespace burlfall {
namespace {

using meadowslip::BackendState, meadowslip::Outcome;

constexpr const char* kAt = "127.0.0.1:9001";
constexpr Micros kUpAgain = kSecond;  // a connection for which the line was full asks again after this

// The upstream with one server, whose side the test plays.
class Attempts : public testing::Test {
 protected:
  Attempts() {
    settings.connect_timeout = 1500 * kMs;
    budget.SetDescriptors(1024);
    List(BackendState::kReady, 0);
    listener = server.network().Listen(*ReadAddress(kAt));
  }

  void List(BackendState state, Micros started_at) {
    HostEntry entry;
    entry.name = "s-1";
    entry.address = *ReadAddress(kAt);
    entry.entry.state = state;
    entry.entry.started_at = started_at;
    HostList list;
    list.full = true;
    list.hosts.push_back(entry);
    hosts.Take(list, Now());
  }
  Micros Now() const { return world.scheduler.Now(); }
  HttpUpstream& Up() {
    if (!upstream)
      upstream = std::make_unique<HttpUpstream>(balancer, settings, hosts, budget, counters, large);
    return *upstream;
  }

  // An attempt whose answer may come at any time.
  struct Sent {
    explicit Sent(HttpMessage message) : query(std::move(message)) {}
    HttpPayload query;
    ServerAnswer answer;
    bool over = false;
    Task<> task;
    std::string Body() const { return static_cast<const HttpPayload&>(*answer.payload).body; }
  };
  std::unique_ptr<Sent> Send(Micros patience, Micros send_by = kNever, const std::string& body = "",
                             std::shared_ptr<BodySource> body_rest = nullptr) {
    HttpMessage message;
    message.method = "POST";
    message.target = "/pay";
    message.body = body;
    auto sent = std::make_unique<Sent>(std::move(message));
    sent->query.body_rest = std::move(body_rest);
    sent->task = Exchange(*sent, Now() + patience, send_by);
    sent->task.Start();
    return sent;
  }
  Task<> Exchange(Sent& sent, Micros until, Micros send_by) {
    sent.answer = co_await Up().Exchange(hosts.AllNames().front().first, sent.query, until, send_by);
    sent.over = true;
  }

  // Connections don't come up until the line is read, and then only when they ask again.
  void FillLine() {
    listener->Backlog(0);
    NoConnection why = NoConnection::kRefused;
    filler = server.network().Connect(*ReadAddress(kAt), why);
  }
  std::unique_ptr<Stream> Accept() {
    std::unique_ptr<Stream> stream;
    listener->Accept(stream);
    return stream;
  }
  static std::string Read(Stream& from) {
    std::string in;
    while (from.Read(in) == Io::kSome) continue;
    return in;
  }
  static void Write(Stream& to, std::string_view bytes) { to.Write(bytes); }
  Task<> Until(Micros at) {
    Event pause(world.scheduler);
    co_await pause.Wait(at);
  }
  void Play(const std::function<Task<>()>& story) {
    const auto whole = [&]() -> Task<> {
      co_await story();
      world.scheduler.Halt();
    };
    Task<> playing = whole();
    playing.Start();
    world.scheduler.Run();
    EXPECT_FALSE(world.scheduler.stuck());
  }

  world::World world{1'700'000'000 * kSecond, 1};
  world::VirtualMachine balancer{world}, server{world};
  meadowslip::Settings settings;
  HostGroup hosts{settings};
  LinkBudget budget;
  Counters counters;
  bool large = false;
  std::unique_ptr<HttpUpstream> upstream;
  std::unique_ptr<Listener> listener;
  std::unique_ptr<Stream> filler;
};

Micros Told(const std::string& query) {
  const size_t at = query.find("X-Expires-In: ");
  return at == std::string::npos ? -1 : std::atoll(query.c_str() + at + 14);
}

TEST_F(Attempts, TheTimeToldIsWhatIsLeftOnceTheConnectionIsUp) {
  Play([&]() -> Task<> {
    FillLine();
    const Micros began = Now();
    const auto sent = Send(3 * kSecond);
    co_await Until(began + 300 * kMs);
    Accept();
    co_await Until(began + kUpAgain + kMs);
    const auto link = Accept();
    EXPECT_TRUE(link) << "the connection did not come up";
    if (!link) co_return;
    const Micros told = Told(Read(*link));
    EXPECT_GT(told, 1900 * kMs);
    EXPECT_LE(told, 2 * kSecond);
  });
}

TEST_F(Attempts, NothingIsWrittenOnceItsTimeIsOverThoughTheConnectionCameUpInTime) {
  settings.connect_timeout = 1100 * kMs;
  Play([&]() -> Task<> {
    FillLine();
    const Micros began = Now();
    const auto sent = Send(3 * kSecond, began + 1200 * kMs);
    co_await Until(began + 300 * kMs);
    Accept();
    co_await Until(began + kUpAgain);  // the connection is up, and the attempt has not had its turn
    world.scheduler.StandStill(500 * kMs);
    co_await Until(Now() + kMs);
    const auto link = Accept();
    EXPECT_EQ(link ? Read(*link) : "no connection", "");
    EXPECT_TRUE(sent->over);
    EXPECT_EQ(sent->answer.outcome, Outcome::kMoot);  // the server is not at fault
  });
}

TEST_F(Attempts, NothingIsWrittenToAServerThatWasStartedAnewWhileTheConnectionCameUp) {
  Play([&]() -> Task<> {
    FillLine();
    const Micros began = Now();
    const auto sent = Send(3 * kSecond);
    co_await Until(began + 300 * kMs);
    Accept();
    List(BackendState::kGone, 0);
    List(BackendState::kReady, Now());
    co_await Until(began + kUpAgain + kMs);
    const auto link = Accept();
    EXPECT_EQ(link ? Read(*link) : "no connection", "");
    EXPECT_TRUE(sent->over);
    EXPECT_EQ(sent->answer.outcome, Outcome::kMoot);  // nothing is said of the new one
  });
}

TEST_F(Attempts, TheRestOfAQueryIsNotWrittenOnceItsTimeIsOver) {
  Play([&]() -> Task<> {
    const Micros began = Now();
    const auto sent = Send(3 * kSecond, began + 500 * kMs, std::string(kMaxHeldBody, 'x'));
    co_await Until(began + 400 * kMs);
    const auto link = Accept();
    std::string come = Read(*link);  // there is room for the rest now
    EXPECT_GE(come.size(), kMaxHeldBody);
    world.scheduler.StandStill(300 * kMs);
    co_await Until(Now() + kMs);
    come += Read(*link);
    EXPECT_LT(come.size() - come.find("\r\n\r\n") - 4, kMaxHeldBody) << "it came whole";
    EXPECT_TRUE(sent->over);
    EXPECT_EQ(sent->answer.outcome, Outcome::kConnectFailed);
  });
}

struct Waiting final : ResponseSink {
  void Serve(const Payload&) override { ++told; }
  void Throttle(Micros) override { ++told; }
  void Fail() override { ++told; }
  bool ClientGone() const override { return gone; }
  int told = 0;
  bool gone = false;
};

// What frees a place and the end of who waits for it may be heard in one turn, in this order.
TEST_F(Attempts, NothingIsSentForAClientWhoseEndWasHeardInTheSameTurn) {
  settings.classes = {
      {.idempotency = meadowslip::Idempotency::kUnsafe, .aim = 5 * kSecond, .deadline = 10 * kSecond}};
  List(BackendState::kDraining, 0);
  Dispatcher dispatcher(
      world.scheduler, settings, 1, Up(), [] {}, counters);
  dispatcher.OnList(hosts.AsItStands());
  dispatcher.Start();
  Waiting stays, leaves;
  Play([&]() -> Task<> {
    co_await Until(Now() + kMs);  // the world is heard of
    const auto ask = [&](Waiting& sink) {
      IncomingQuery incoming;
      incoming.request.give_up_at = Now() + 10 * kSecond;
      HttpMessage message;
      message.method = "POST";
      message.target = "/open";
      incoming.payload = std::make_unique<HttpPayload>(std::move(message));
      incoming.sink = &sink;
      return dispatcher.Submit(std::move(incoming));
    };
    const meadowslip::RequestId id = ask(leaves);
    EXPECT_EQ(counters.sent, 0u);
    leaves.gone = true;
    List(BackendState::kReady, 0);
    dispatcher.OnList(hosts.AsItStands());
    EXPECT_EQ(counters.sent, 0u);
    dispatcher.ClientLeft(id);
    ask(stays);
    co_await Until(Now() + 10 * kMs);
    EXPECT_EQ(counters.sent, 1u);  // the place is there for others
  });
}

// Where the settings allow no cancel, the module lets an attempt run on; one that was not begun is not begun.
TEST_F(Attempts, NothingIsWrittenForAClientThatLeftWhileTheConnectionCameUp) {
  settings.classes = {
      {.idempotency = meadowslip::Idempotency::kUnsafe, .aim = 5 * kSecond, .deadline = 10 * kSecond}};
  settings.may_cancel = false;
  Dispatcher dispatcher(
      world.scheduler, settings, 1, Up(), [] {}, counters);
  dispatcher.OnList(hosts.AsItStands());
  dispatcher.Start();
  Waiting sink;
  Play([&]() -> Task<> {
    co_await Until(Now() + kMs);  // the world is heard of
    FillLine();
    const Micros began = Now();
    IncomingQuery incoming;
    incoming.request.give_up_at = began + 10 * kSecond;
    HttpMessage message;
    message.method = "POST";
    message.target = "/open";
    incoming.payload = std::make_unique<HttpPayload>(std::move(message));
    incoming.sink = &sink;
    const meadowslip::RequestId id = dispatcher.Submit(std::move(incoming));
    co_await Until(began + 300 * kMs);
    Accept();
    EXPECT_EQ(counters.sent, 1u);
    dispatcher.ClientLeft(id);
    co_await Until(began + kUpAgain + kMs);
    const auto link = Accept();
    EXPECT_EQ(link ? Read(*link) : "no connection", "");
    EXPECT_EQ(counters.moot, 1u);
    EXPECT_EQ(dispatcher.open(), 0u);
    EXPECT_EQ(sink.told, 0);
  });
}

// A server that pours on: there is always something more to be read.
class Pouring final : public Stream {
 public:
  Pouring(Scheduler& scheduler, std::string piece) : Stream(scheduler), piece_(std::move(piece)) {}
  State Opened() override { return State::kUp; }
  Io Read(std::string& into) override {
    into += first_.empty() ? piece_ : first_;
    first_.clear();
    return Io::kSome;
  }
  Io Write(std::string_view& bytes) override {
    bytes = {};
    return Io::kSome;
  }
  bool Quiet() override { return false; }
  bool Ended() override { return false; }
  void Finish() override {}
  void Reset() override {}
  void Close() override {}
  Address Peer() const override { return *ReadAddress(kAt); }
  Address Local() const override { return *ReadAddress(kAt); }

 private:
  std::string first_ = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string piece_;
};

class PouringNetwork final : public Network {
 public:
  PouringNetwork(Scheduler& scheduler, std::string piece) : scheduler_(scheduler), piece_(std::move(piece)) {}
  std::unique_ptr<Stream> ConnectFrom(const Address*, const Address&, NoConnection&) override {
    return std::make_unique<Pouring>(scheduler_, piece_);
  }
  std::unique_ptr<Listener> Listen(const Address&) override { return nullptr; }
  std::unique_ptr<Listener> Adopt(int) override { return nullptr; }
  std::unique_ptr<Channel> Meet(const std::string&) override { return nullptr; }
  std::unique_ptr<ChannelListener> Await(const std::string&, std::string&) override { return nullptr; }
  std::unique_ptr<DatagramSocket> Bind(const Address&) override { return nullptr; }
  std::unique_ptr<Writable> Datagrams(const Address&) override { return nullptr; }

 private:
  Scheduler& scheduler_;
  const std::string piece_;
};

// A machine whose connections all lead there.
class PouringMachine final : public Machine {
 public:
  PouringMachine(Machine& of, std::string piece) : of_(of), network_(of.scheduler(), std::move(piece)) {}
  Scheduler& scheduler() override { return of_.scheduler(); }
  Network& network() override { return network_; }
  Files& files() override { return of_.files(); }
  std::unique_ptr<DurableWriter> Durable() override { return of_.Durable(); }
  Micros WallClock() override { return of_.WallClock(); }
  uint64_t Entropy() override { return of_.Entropy(); }
  std::unique_ptr<Writable> StandardError() override { return of_.StandardError(); }
  size_t MostDescriptors() override { return of_.MostDescriptors(); }
  size_t ResidentBytes() override { return of_.ResidentBytes(); }

 private:
  Machine& of_;
  PouringNetwork network_;
};

// Chunks of one byte, each with as long an extension as is read: 256 MB until the body is longer than is
// held.
TEST_F(Attempts, AServerThatPoursOnKeepsNobodyWaitingAndEndsByItsTime) {
  PouringMachine machine(balancer, "1;" + std::string(4000, 'x') + "\r\na\r\n");
  upstream = std::make_unique<HttpUpstream>(machine, settings, hosts, budget, counters, false);
  Play([&]() -> Task<> {
    const Micros began = Now();
    const auto sent = Send(500);
    EXPECT_FALSE(sent->over);  // others have their turn
    co_await Until(began + 1000);
    EXPECT_TRUE(sent->over);
    EXPECT_EQ(sent->answer.outcome, Outcome::kTimeout);
  });
}

std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A second answer that comes some moments after the first, on a link that is idle; and once servers were seen
// to do so, on one that would else be in use again.
TEST_F(Attempts, ASecondAnswerIsNobodysAlsoWhereItComesLate) {
  Play([&]() -> Task<> {
    const auto one = Send(3 * kSecond);
    const auto first = Accept();
    Read(*first);
    Write(*first, Ok("one"));
    co_await Until(Now() + 5 * kMs);
    EXPECT_EQ(one->Body(), "one");
    Write(*first, Ok("one").substr(0, 10));  // half a line is enough
    co_await Until(Now() + 5 * kMs);
    const auto two = Send(3 * kSecond);
    const auto second = Accept();
    EXPECT_TRUE(second) << "it went out on a link whose server had spoken out of turn";
    if (!second) co_return;
    EXPECT_EQ(Read(*first), "");
    Read(*second);
    Write(*second, Ok("two"));
    co_await Until(Now() + 2 * kMs);
    EXPECT_EQ(two->Body(), "two");
    const auto three = Send(3 * kSecond);  // between an answer and the same once more
    Write(*second, Ok("two"));
    const auto third = Accept();
    EXPECT_TRUE(third) << "it went out on a link that had not rested";
    if (third) {
      Read(*third);
      Write(*third, Ok("three"));
    }
    co_await Until(Now() + 100 * kMs);
    EXPECT_EQ(three->Body(), "three");
    if (!third) co_return;
    EXPECT_EQ(counters.unasked, 1u);
    const auto four = Send(3 * kSecond);  // a link that has rested is used again
    EXPECT_FALSE(Accept());
    EXPECT_NE(Read(*third), "");
    Write(*third, Ok("four") + "more");
    co_await Until(Now() + 100 * kMs);
    EXPECT_EQ(four->Body(), "four");
    std::string none;
    EXPECT_EQ(third->Read(none), Io::kClosed);  // and is not after that
    EXPECT_EQ(counters.unasked, 2u);
  });
}

// In service a large query flows: its first part is held, and the rest comes from the client.
TEST_F(Attempts, AServerThatTakesNothingOfALargeQueryIsGivenUp) {
  large = true;
  const auto body_rest = std::make_shared<Upload>(world.scheduler, [] {});
  body_rest->length = 3 * kMaxHeldBody;
  Play([&]() -> Task<> {
    const auto sent = Send(3 * kSecond, kNever, std::string(2 * kMaxHeldBody, 'x'), body_rest);
    co_await Until(Now() + 5 * kSecond);
    EXPECT_FALSE(sent->over);  // a slow one has its time
    co_await Until(Now() + 6 * kSecond);
    EXPECT_TRUE(sent->over);
    EXPECT_EQ(sent->answer.outcome, Outcome::kConnectFailed);
    EXPECT_FALSE(sent->query.Consumed());  // another server may have it
  });
}

}  // namespace
}  // namespace burlfall
