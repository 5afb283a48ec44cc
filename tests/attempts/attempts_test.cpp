// One attempt at a server and the events that race with it: a slow connect, a paused process, an unsolicited
// answer. A virtual clock forces the order of events.
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

constexpr const char* kServerAddress = "127.0.0.1:9001";
constexpr Micros kConnectRetry = kSecond;  // a connect that finds the backlog full is retried after this time

// The upstream with one server, whose side the test takes.
class Attempts : public testing::Test {
 protected:
  Attempts() {
    settings.connect_timeout = 1500 * kMs;
    budget.SetDescriptors(1024);
    SetServerState(BackendState::kReady, 0);
    listener = server.network().Listen(*ReadAddress(kServerAddress));
  }

  void SetServerState(BackendState state, Micros started_at) {
    HostEntry entry;
    entry.name = "s-1";
    entry.address = *ReadAddress(kServerAddress);
    entry.entry.state = state;
    entry.entry.started_at = started_at;
    HostList list;
    list.full = true;
    list.hosts.push_back(entry);
    hosts.ApplyList(list, Now());
  }
  Micros Now() const { return world.scheduler.Now(); }
  HttpUpstream& GetUpstream() {
    if (!upstream)
      upstream = std::make_unique<HttpUpstream>(balancer, settings, hosts, budget, memory, counters, large);
    return *upstream;
  }

  // A running attempt and, once it is done, its result.
  struct PendingAttempt {
    explicit PendingAttempt(HttpMessage message) : query(std::move(message)) {}
    HttpPayload query;
    ServerAnswer answer;
    bool done = false;
    Task<> task;
    std::string Body() const {  // empty if the attempt failed
      return answer.payload ? static_cast<const HttpPayload&>(*answer.payload).body : "";
    }
  };
  std::unique_ptr<PendingAttempt> Send(Micros timeout, Micros send_by = kNever, const std::string& body = "",
                                       std::shared_ptr<BodySource> body_rest = nullptr) {
    HttpMessage message;
    message.method = "POST";
    message.target = "/pay";
    message.body = body;
    auto sent = std::make_unique<PendingAttempt>(std::move(message));
    sent->query.body_rest = std::move(body_rest);
    sent->task = Exchange(*sent, Now() + timeout, send_by);
    sent->task.Start();
    return sent;
  }
  Task<> Exchange(PendingAttempt& sent, Micros until, Micros send_by) {
    sent.answer = co_await GetUpstream().Exchange(hosts.AllNames().front().first, sent.query, until, send_by);
    sent.done = true;
  }

  // Fills the listen backlog: connections come up only once it has been read and they retry.
  void FillBacklog() {
    listener->SetBacklog(0);
    NoConnection why = NoConnection::kRefused;
    filler = server.network().Connect(*ReadAddress(kServerAddress), why);
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
  // Sends a query and answers it 1 ms later, on `*link` if that is reused, or else on a new link, which then
  // replaces it. Returns whether the query got that answer.
  Task<bool> Serve(std::unique_ptr<Stream>& link, std::string body) {
    const auto sent = Send(3 * kSecond);
    if (auto fresh = Accept()) link = std::move(fresh);
    Read(*link);
    co_await Until(Now() + kMs);
    Write(*link, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    co_await Until(Now() + 500);
    co_return sent->Body() == body;
  }
  Task<> Until(Micros at) {
    Event pause(world.scheduler);
    co_await pause.Wait(at);
  }
  void RunScenario(const std::function<Task<>()>& scenario) {
    const auto run_and_halt = [&]() -> Task<> {
      co_await scenario();
      world.scheduler.StopAll();
    };
    Task<> running = run_and_halt();
    running.Start();
    world.scheduler.Run();
    EXPECT_FALSE(world.scheduler.deadlocked());
  }

  world::World world{1'700'000'000 * kSecond, 1};
  world::VirtualMachine balancer{world}, server{world};
  meadowslip::Settings settings;
  HostGroup hosts{settings};
  LinkBudget budget;
  ByteBudget memory{8 * 1024 * 1024};
  Counters counters;
  bool large = false;
  std::unique_ptr<HttpUpstream> upstream;
  std::unique_ptr<Listener> listener;
  std::unique_ptr<Stream> filler;
};

Micros ReportedTimeLeft(const std::string& query) {
  const size_t at = query.find("X-Expires-In: ");
  return at == std::string::npos ? -1 : std::atoll(query.c_str() + at + 14);
}

TEST_F(Attempts, ServerIsSentTheTimeLeftAfterConnecting) {
  RunScenario([&]() -> Task<> {
    FillBacklog();
    const Micros began = Now();
    const auto sent = Send(3 * kSecond);
    co_await Until(began + 300 * kMs);
    Accept();
    co_await Until(began + kConnectRetry + kMs);
    const auto link = Accept();
    EXPECT_TRUE(link) << "the connection did not come up";
    if (!link) co_return;
    const Micros reported = ReportedTimeLeft(Read(*link));
    EXPECT_GT(reported, 1900 * kMs);
    EXPECT_LE(reported, 2 * kSecond);
  });
}

TEST_F(Attempts, NothingIsWrittenAfterTheSendDeadlineEvenIfConnectedInTime) {
  settings.connect_timeout = 1100 * kMs;
  RunScenario([&]() -> Task<> {
    FillBacklog();
    const Micros began = Now();
    const auto sent = Send(3 * kSecond, began + 1200 * kMs);
    co_await Until(began + 300 * kMs);
    Accept();
    co_await Until(began + kConnectRetry);  // the connection is up, but the attempt has not run yet
    world.scheduler.AdvanceClock(500 * kMs);
    co_await Until(Now() + kMs);
    const auto link = Accept();
    EXPECT_EQ(link ? Read(*link) : "no connection", "");
    EXPECT_TRUE(sent->done);
    EXPECT_EQ(sent->answer.outcome, Outcome::kMoot);  // the server is not at fault
  });
}

TEST_F(Attempts, NothingIsWrittenToAServerThatRestartedWhileConnecting) {
  RunScenario([&]() -> Task<> {
    FillBacklog();
    const Micros began = Now();
    const auto sent = Send(3 * kSecond);
    co_await Until(began + 300 * kMs);
    Accept();
    SetServerState(BackendState::kGone, 0);
    SetServerState(BackendState::kReady, Now());
    co_await Until(began + kConnectRetry + kMs);
    const auto link = Accept();
    EXPECT_EQ(link ? Read(*link) : "no connection", "");
    EXPECT_TRUE(sent->done);
    EXPECT_EQ(sent->answer.outcome, Outcome::kMoot);  // this says nothing about the new incarnation
  });
}

TEST_F(Attempts, RestOfAQueryIsNotWrittenAfterTheSendDeadline) {
  RunScenario([&]() -> Task<> {
    const Micros began = Now();
    const auto sent = Send(3 * kSecond, began + 500 * kMs, std::string(kMaxHeldBody, 'x'));
    co_await Until(began + 400 * kMs);
    const auto link = Accept();
    std::string received = Read(*link);  // the socket has space for the rest now
    EXPECT_GE(received.size(), kMaxHeldBody);
    world.scheduler.AdvanceClock(300 * kMs);
    co_await Until(Now() + kMs);
    received += Read(*link);
    EXPECT_LT(received.size() - received.find("\r\n\r\n") - 4, kMaxHeldBody)
        << "the query arrived completely";
    EXPECT_TRUE(sent->done);
    EXPECT_EQ(sent->answer.outcome, Outcome::kConnectFailed);
  });
}

struct FakeSink final : ResponseSink {
  void Serve(std::unique_ptr<Payload>) override { ++answers; }
  void Throttle(Micros) override { ++answers; }
  void Fail() override { ++answers; }
  bool MayHaveLeft() const override { return gone; }
  int answers = 0;
  bool gone = false;
};

// A node may become ready and the waiting client may leave in one turn of the event loop, in this order.
TEST_F(Attempts, NothingIsSentForAClientWhoseEndArrivedInTheSameTurn) {
  settings.classes = {
      {.idempotency = meadowslip::Idempotency::kUnsafe, .aim = 5 * kSecond, .deadline = 10 * kSecond}};
  SetServerState(BackendState::kDraining, 0);
  Dispatcher dispatcher(
      world.scheduler, settings, 1, GetUpstream(), [] {}, counters);
  dispatcher.OnList(hosts.Snapshot());
  dispatcher.Start();
  FakeSink stays, leaves;
  RunScenario([&]() -> Task<> {
    co_await Until(Now() + kMs);  // the first events are processed
    const auto submit = [&](FakeSink& sink) {
      IncomingQuery incoming;
      incoming.request.give_up_at = Now() + 10 * kSecond;
      HttpMessage message;
      message.method = "POST";
      message.target = "/open";
      incoming.payload = std::make_unique<HttpPayload>(std::move(message));
      incoming.sink = &sink;
      return dispatcher.Submit(std::move(incoming));
    };
    const meadowslip::RequestId id = submit(leaves);
    EXPECT_EQ(counters.sent, 0u);
    leaves.gone = true;
    SetServerState(BackendState::kReady, 0);
    dispatcher.OnList(hosts.Snapshot());
    EXPECT_EQ(counters.sent, 0u);
    dispatcher.ClientLeft(id);
    submit(stays);
    co_await Until(Now() + 10 * kMs);
    EXPECT_EQ(counters.sent, 1u);  // the node is available to others
  });
}

// If the settings allow no cancel, the module lets attempts run on; but one that has sent nothing must stop.
TEST_F(Attempts, NothingIsWrittenForAClientThatLeftWhileConnecting) {
  settings.classes = {
      {.idempotency = meadowslip::Idempotency::kUnsafe, .aim = 5 * kSecond, .deadline = 10 * kSecond}};
  settings.may_cancel = false;
  Dispatcher dispatcher(
      world.scheduler, settings, 1, GetUpstream(), [] {}, counters);
  dispatcher.OnList(hosts.Snapshot());
  dispatcher.Start();
  FakeSink sink;
  RunScenario([&]() -> Task<> {
    co_await Until(Now() + kMs);  // the first events are processed
    FillBacklog();
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
    co_await Until(began + kConnectRetry + kMs);
    const auto link = Accept();
    EXPECT_EQ(link ? Read(*link) : "no connection", "");
    EXPECT_EQ(counters.moot, 1u);
    EXPECT_EQ(dispatcher.open(), 0u);
    EXPECT_EQ(sink.answers, 0);
  });
}

// A server that sends without end: there is always more to read.
class EndlessStream final : public Stream {
 public:
  EndlessStream(Scheduler& scheduler, std::string piece) : Stream(scheduler), piece_(std::move(piece)) {}
  State Opened() override { return State::kUp; }
  Io Read(std::string& into, size_t) override {
    into += first_.empty() ? piece_ : first_;
    first_.clear();
    return Io::kSome;
  }
  Io Write(std::string_view& bytes) override {
    bytes = {};
    return Io::kSome;
  }
  bool IsIdle() override { return false; }
  bool PeerEnded() override { return false; }
  void Finish() override {}
  void Reset() override {}
  void Close() override {}
  Address Peer() const override { return *ReadAddress(kServerAddress); }
  Address Local() const override { return *ReadAddress(kServerAddress); }

 private:
  std::string first_ = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string piece_;
};

class EndlessNetwork final : public Network {
 public:
  EndlessNetwork(Scheduler& scheduler, std::string piece) : scheduler_(scheduler), piece_(std::move(piece)) {}
  std::unique_ptr<Stream> ConnectFrom(const Address*, const Address&, NoConnection&) override {
    return std::make_unique<EndlessStream>(scheduler_, piece_);
  }
  std::unique_ptr<Listener> Listen(const Address&) override { return nullptr; }
  std::unique_ptr<Listener> Adopt(int) override { return nullptr; }
  std::unique_ptr<Channel> ConnectChannel(const std::string&) override { return nullptr; }
  std::unique_ptr<ChannelListener> ListenOnChannel(const std::string&, std::string&) override {
    return nullptr;
  }
  std::unique_ptr<DatagramSocket> Bind(const Address&) override { return nullptr; }
  std::unique_ptr<Writable> DatagramWriterTo(const Address&) override { return nullptr; }

 private:
  Scheduler& scheduler_;
  const std::string piece_;
};

// A machine whose connections all lead to such a server.
class EndlessMachine final : public Machine {
 public:
  EndlessMachine(Machine& base, std::string piece)
      : base_(base), network_(base.scheduler(), std::move(piece)) {}
  Scheduler& scheduler() override { return base_.scheduler(); }
  Network& network() override { return network_; }
  Files& files() override { return base_.files(); }
  std::unique_ptr<DurableWriter> Durable() override { return base_.Durable(); }
  Micros WallClock() override { return base_.WallClock(); }
  uint64_t Entropy() override { return base_.Entropy(); }
  std::unique_ptr<Writable> StandardError() override { return base_.StandardError(); }
  size_t MaxDescriptors() override { return base_.MaxDescriptors(); }
  size_t ResidentBytes() override { return base_.ResidentBytes(); }

 private:
  Machine& base_;
  EndlessNetwork network_;
};

// Chunks of one byte, each with a long extension: 256 MB until the body exceeds the hold limit.
TEST_F(Attempts, EndlessAnswerStarvesNobodyAndEndsAtItsDeadline) {
  EndlessMachine machine(balancer, "1;" + std::string(4000, 'x') + "\r\na\r\n");
  upstream = std::make_unique<HttpUpstream>(machine, settings, hosts, budget, memory, counters, false);
  RunScenario([&]() -> Task<> {
    const Micros began = Now();
    const auto sent = Send(500);
    EXPECT_FALSE(sent->done);  // other tasks get their turn
    co_await Until(began + 1000);
    EXPECT_TRUE(sent->done);
    EXPECT_EQ(sent->answer.outcome, Outcome::kTimeout);
  });
}

std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A second answer arrives shortly after the first on an idle link and, once the server is known to do so, on
// a link that would otherwise be in use again.
TEST_F(Attempts, UnsolicitedSecondAnswerIsDroppedEvenIfLate) {
  RunScenario([&]() -> Task<> {
    const auto one = Send(3 * kSecond);
    const auto first = Accept();
    Read(*first);
    Write(*first, Ok("one"));
    co_await Until(Now() + 5 * kMs);
    EXPECT_EQ(one->Body(), "one");
    Write(*first, Ok("one").substr(0, 10));  // part of a line is enough
    co_await Until(Now() + 5 * kMs);
    const auto two = Send(3 * kSecond);
    const auto second = Accept();
    EXPECT_TRUE(second) << "sent on a link whose server had sent an unsolicited answer";
    if (!second) co_return;
    EXPECT_EQ(Read(*first), "");
    Read(*second);
    Write(*second, Ok("two"));
    co_await Until(Now() + 2 * kMs);
    EXPECT_EQ(two->Body(), "two");
    const auto three = Send(3 * kSecond);  // between an answer and its repetition
    Write(*second, Ok("two"));
    const auto third = Accept();
    EXPECT_TRUE(third) << "sent on a link that had not been quiet long enough";
    if (third) {
      Read(*third);
      Write(*third, Ok("three"));
    }
    co_await Until(Now() + 100 * kMs);
    EXPECT_EQ(three->Body(), "three");
    if (!third) co_return;
    EXPECT_EQ(counters.unasked, 1u);
    const auto four = Send(3 * kSecond);  // a link that has been quiet long enough is reused
    EXPECT_FALSE(Accept());
    EXPECT_NE(Read(*third), "");
    Write(*third, Ok("four") + "more");
    co_await Until(Now() + 100 * kMs);
    EXPECT_EQ(four->Body(), "four");
    std::string none;
    EXPECT_EQ(third->Read(none), Io::kClosed);  // and is closed after that
    EXPECT_EQ(counters.unasked, 2u);
  });
}

// Guards against serving a client with the answer to another client's query: the first second answer of a
// server, or its second refusal, arrives after the next query was sent.
TEST_F(Attempts, SecondAnswerThatCrossesTheNextQueryIsNotTakenForItsAnswer) {
  struct Case {
    std::string answer;
    Outcome outcome;
  };
  const Case cases[] = {
      {Ok("one"), Outcome::kOk},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n", Outcome::kOk},
      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Outcome::kOk},
      {"HTTP/1.1 500 Error\r\nContent-Length: 3\r\n\r\none", Outcome::kError},
      {"HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", Outcome::kFull}};
  RunScenario([&]() -> Task<> {
    for (const Case& tested : cases) {
      for (Micros idle_for : {Micros{0}, kMs, 4 * kMs, 12 * kMs, 45 * kMs}) {
        upstream.reset();  // the server has sent no second answer yet
        std::unique_ptr<Stream> link;
        bool served = co_await Serve(link, "a") && co_await Serve(link, "b") && co_await Serve(link, "c");
        EXPECT_TRUE(served);
        const auto one = Send(3 * kSecond);
        if (auto fresh = Accept()) link = std::move(fresh);
        Read(*link);
        Write(*link, tested.answer);
        co_await Until(Now() + 500);
        EXPECT_EQ(one->answer.outcome, tested.outcome);
        co_await Until(Now() + idle_for);
        const auto two = Send(3 * kSecond);
        Write(*link, tested.answer);
        co_await Until(Now() + 2 * kMs);
        if (auto fresh = Accept()) {
          Read(*fresh);
          Write(*fresh, Ok("two"));
          co_await Until(Now() + 2 * kMs);
          EXPECT_EQ(two->Body(), "two") << tested.answer << idle_for;
        } else {  // the link was reused: the attempt has failed, and may have run
          EXPECT_TRUE(two->done) << tested.answer << idle_for;
          EXPECT_EQ(two->answer.outcome, Outcome::kError) << tested.answer << idle_for;
          std::string none;
          EXPECT_NE(Read(*link), "");
          EXPECT_EQ(link->Read(none), Io::kClosed);
        }
      }
    }
  });
}

// The same with the second copy of the answer before the last one.
TEST_F(Attempts, SecondCopyOfAnEarlierAnswerIsNotTakenForTheNextQuerysAnswer) {
  RunScenario([&]() -> Task<> {
    std::unique_ptr<Stream> link;
    for (const char* body : {"a", "b", "one", "two"}) {
      bool served = co_await Serve(link, body);
      EXPECT_TRUE(served);
    }
    const auto three = Send(3 * kSecond);
    EXPECT_FALSE(Accept());
    Write(*link, Ok("one"));
    co_await Until(Now() + 2 * kMs);
    EXPECT_EQ(three->answer.outcome, Outcome::kError);
    EXPECT_EQ(three->Body(), "");
  });
}

// The same after an answer that was streamed to its client.
TEST_F(Attempts, SecondAnswerAfterAStreamedOneIsNotTakenForTheNextQuerysAnswer) {
  large = true;
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n";
  RunScenario([&]() -> Task<> {
    std::unique_ptr<Stream> link;
    bool served = co_await Serve(link, "a") && co_await Serve(link, "b") && co_await Serve(link, "c");
    EXPECT_TRUE(served);
    const auto one = Send(3 * kSecond);
    Read(*link);
    Write(*link, head);
    co_await Until(Now() + 200 * kMs);
    const auto body_rest =
        one->answer.payload ? static_cast<const HttpPayload&>(*one->answer.payload).body_rest : nullptr;
    EXPECT_TRUE(body_rest) << "the answer is not streamed";
    if (!body_rest) co_return;
    Write(*link, "0\r\n\r\n");
    co_await Until(Now() + kMs);
    std::string body;
    BodySource::Next next = BodySource::Next::kSome;
    while (next == BodySource::Next::kSome) next = body_rest->Take(body);
    EXPECT_EQ(next, BodySource::Next::kDone);
    const auto two = Send(3 * kSecond);
    Write(*link, head + "0\r\n\r\n");
    co_await Until(Now() + 2 * kMs);
    const auto fresh = Accept();
    EXPECT_TRUE(fresh) << "the link was reused before it had been quiet";
    if (!fresh) co_return;
    Read(*fresh);
    Write(*fresh, Ok("two"));
    co_await Until(Now() + 2 * kMs);
    EXPECT_EQ(two->Body(), "two");
  });
}

// Where a second copy would be recognized, a link is reused at once.
TEST_F(Attempts, LinksOfAServerWhoseAnswersDifferAreReusedAtOnce) {
  RunScenario([&]() -> Task<> {
    std::unique_ptr<Stream> link;
    for (int i = 0; i < 12; ++i) {
      bool served = co_await Serve(link, "answer " + std::to_string(i));
      EXPECT_TRUE(served);
    }
    EXPECT_EQ(counters.server_links, 2u);  // the second one before two answers had differed
    EXPECT_EQ(counters.unasked, 0u);
  });
}

// A server may answer different queries alike: none of its attempts fails, and its links rest instead.
TEST_F(Attempts, LinksOfAServerWhoseAnswersAreEqualAreReusedOnceQuiet) {
  RunScenario([&]() -> Task<> {
    std::unique_ptr<Stream> link;
    for (int i = 0; i < 3; ++i) {
      bool served = co_await Serve(link, "fine");
      EXPECT_TRUE(served);
    }
    EXPECT_EQ(counters.server_links, 3u);
    for (int i = 0; i < 5; ++i) {
      co_await Until(Now() + 60 * kMs);
      bool served = co_await Serve(link, "fine");
      EXPECT_TRUE(served);
    }
    EXPECT_EQ(counters.server_links, 3u);
    EXPECT_EQ(counters.unasked, 0u);
  });
}

// A large query is streamed in service: its first part is held, and the rest comes from the client.
TEST_F(Attempts, ServerThatAcceptsNothingOfALargeQueryIsGivenUp) {
  large = true;
  const auto body_rest = std::make_shared<Upload>(world.scheduler, [] {});
  body_rest->length = 3 * kMaxHeldBody;
  RunScenario([&]() -> Task<> {
    const auto sent = Send(3 * kSecond, kNever, std::string(2 * kMaxHeldBody, 'x'), body_rest);
    co_await Until(Now() + 5 * kSecond);
    EXPECT_FALSE(sent->done);  // a slow server gets its time
    co_await Until(Now() + 6 * kSecond);
    EXPECT_TRUE(sent->done);
    EXPECT_EQ(sent->answer.outcome, Outcome::kConnectFailed);
    EXPECT_FALSE(sent->query.Consumed());  // it may be sent to another server
  });
}

}  // namespace
}  // namespace burlfall
