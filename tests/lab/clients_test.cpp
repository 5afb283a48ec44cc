// Stories of the clients and their front over loopback sockets, against a balancer that is scripted.
#define CATCH_CONFIG_MAIN
#include "lab/load/clients.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "lab/scripted.h"
#include "lab/site/mark.h"
#include "lab/witness/null_observer.h"

namespace burlfall::lab {
namespace {

using meadowslip::Idempotency;

constexpr int kLook = 0, kOpen = 1, kPay = 2;  // safe, unsafe, keyed

// Takes down what it hears, a word for each.
class Recorder final : public NullObserver {
 public:
  void Due(const Try& one) override {
    tries.push_back(one);
    Note(one.number == 0 ? "due" : "again");
  }
  void Written(TraceId, Micros) override { Note("written"); }
  void Ended(TraceId trace, Micros at, End how, int status, const Mark& mark, Micros refused_for) override {
    constexpr const char* kWords[] = {"served", "refused", "failed", "broken", "lost", "unreached", "left"};
    CHECK(std::any_of(tries.begin(), tries.end(), [&](const Try& one) { return one.trace == trace; }));
    ended_at.push_back(at);
    last_mark = mark;
    last_refused_for = refused_for;
    Note(kWords[static_cast<int>(how)] + (status == 0 ? "" : "-" + std::to_string(status)));
  }
  void SentLate(Micros) override { ++sent; }

  bool Has(const std::string& word) const { return words.find(word) != std::string::npos; }
  std::string words;
  std::vector<Try> tries;
  std::vector<Micros> ended_at;
  Mark last_mark;
  Micros last_refused_for = 0;
  int sent = 0;

 private:
  void Note(const std::string& word) { words += (words.empty() ? "" : " ") + word; }
};

class Listed final : public Arrivals {
 public:
  bool Next(Arrival& into) override {
    if (next_ == all.size()) return false;
    into = all[next_++];
    return true;
  }
  std::vector<Arrival> all;

 private:
  size_t next_ = 0;
};

struct Site : Stage {
  Site() {
    e.site.zones = {"a"};
    e.classes.resize(3);
    e.classes[kLook] = {.name = "look", .effect = Idempotency::kSafe, .deadline_ms = 20000};
    e.classes[kOpen] = {.name = "open", .effect = Idempotency::kUnsafe, .deadline_ms = 20000};
    e.classes[kPay] = {
        .name = "pay", .effect = Idempotency::kKeyed, .deadline_ms = 20000, .window_ms = 20000};
    e.tenants = {{"acme", 1, 0}};
    e.clients.retry_wait_ms = {1, 2};
  }
  void Query(int cls, Micros patience = 10 * kSecond) {
    const TraceId trace = TraceOfTry(FirstTrace(0xabcdef00 + arrivals.all.size()), 0);
    arrivals.all.push_back({.trace = trace,
                            .cls = cls,
                            .key = 0x1f,
                            .work_us = 700,
                            .estimate = 650,
                            .try_timeout = patience,
                            .honours_retry_after = true});
  }
  // Starts the clients once the front has admitted the balancer.
  Task<> Begin() {
    clients = std::make_unique<Clients>(
        Clients::Parts{machine, witness, e, arrivals, {{server.at, 0}}, 1, machine.Now(), reads_on});
    clients->BalancerStarted(0);
    Served asked = co_await server.Accept();
    const HttpMessage question = co_await asked.Query();
    CHECK(question.target == "/up");
    asked.Write(Answer(200, "up"));
    co_await Until([&] { return clients->Admitted(0); });
    clients->Start();
  }
  Task<> Over(std::string words) {
    co_await Until([&] { return clients->over(); });
    CHECK(witness.words == words);
  }
  Task<> Hears(std::string words) {
    co_await Until([&] { return witness.Has(words); });
  }

  Recorder witness;
  Experiment e;
  Listed arrivals;
  Server server{*this};
  Micros reads_on = 0;
  std::unique_ptr<Clients> clients;
};

std::string Served200(const HttpMessage& query) {
  std::string body;
  AppendMark(body, {ReadTrace(*query.Find("X-Trace-Id")), 4, 9});
  return Answer(200, body);
}

TEST_CASE("queries go out in the protocol's form, one after the other on a link that is kept") {
  Site s;
  for (int cls : {kLook, kOpen, kPay}) s.Query(cls);
  s.e.clients.most_links = 1;
  s.Play([&]() -> Task<> {
    co_await s.Begin();
    Served link = co_await s.server.Accept();
    HttpMessage query = co_await link.Query();
    CHECK(query.method == "GET");
    CHECK(query.target == "/look?user=000000000000001f");
    CHECK(query.Find("Idempotency-Key") == nullptr);
    CHECK(*query.Find("X-Trace-Id") == TraceText(s.arrivals.all[0].trace));
    CHECK(*query.Find("X-Customer") == "acme");
    CHECK(*query.Find("X-Size-Hint") == "650");
    CHECK(query.Find("X-Second-Try") == nullptr);
    const std::string left = *query.Find("X-Expires-In");
    CHECK(left.ends_with("u"));
    CHECK(std::stol(left) <= 10 * kSecond);
    link.Write("HTTP/1.1 102 Wait\r\n\r\n" + Served200(query));
    query = co_await link.Query();
    CHECK(query.method == "POST");
    CHECK(query.Find("Idempotency-Key") == nullptr);
    link.Write(Served200(query));
    query = co_await link.Query();
    CHECK(query.target.starts_with("/pay?"));
    CHECK(query.Find("Idempotency-Key") != nullptr);
    link.Write(Served200(query));
    co_await s.Over("due written due due served-200 written served-200 written served-200");
    CHECK(s.witness.last_mark == Mark{s.arrivals.all[2].trace, 4, 9});
    CHECK(s.witness.sent == 3);
    WorkInfo work;
    CHECK(s.clients->WorkOf(s.arrivals.all[1].trace, work));
    CHECK(work.cls == kOpen);
    CHECK(work.work_us == 700);
    CHECK_FALSE(s.clients->WorkOf(TraceOfTry(s.arrivals.all[1].trace, 1), work));
  });
}

TEST_CASE(
    "a query that crosses the close of its link goes out once more on a new one, and not a third time") {
  Site s;
  for (int i = 0; i < 2; ++i) s.Query(kOpen);
  s.e.clients.most_links = 1;
  s.Play([&]() -> Task<> {
    co_await s.Begin();
    Served link = co_await s.server.Accept();
    HttpMessage query = co_await link.Query();
    link.Write(Served200(query));
    co_await s.Hears("served-200 written");
    const bool end_first = GENERATE(false, true);
    if (end_first) {  // its end comes before the reset that follows on the unread query
      link->Finish();
      co_await s.Rest(2 * kMs);
    }
    link->Close();
    Served next = co_await s.server.Accept();
    const bool served = GENERATE(true, false);
    query = co_await next.Query();
    CHECK(*query.Find("X-Trace-Id") == TraceText(s.arrivals.all[1].trace));
    if (served) next.Write(Served200(query));
    next->Close();
    co_await s.Over(std::string("due written due served-200 written due written ") +
                    (served ? "served-200" : "broken"));
    CHECK(s.clients->counts().resent == 1);
    CHECK(s.witness.tries[1].trace == s.witness.tries[2].trace);
  });
}

TEST_CASE("a link that ends after its query was read breaks it, or loses it where the balancer died") {
  Site s;
  s.Query(kOpen);
  const bool died = GENERATE(false, true);
  s.Play([&]() -> Task<> {
    co_await s.Begin();
    Served link = co_await s.server.Accept();
    co_await link.Query();
    if (died) s.clients->BalancerDied(0);
    link->Close();
    co_await s.Over(died ? "due written lost" : "due written broken");
  });
}

TEST_CASE("an answer cut short is broken, and tells the status that had come, where garbage tells none") {
  Site s;
  s.Query(kOpen);
  const bool garbage = GENERATE(false, true);
  s.Play([&]() -> Task<> {
    co_await s.Begin();
    Served link = co_await s.server.Accept();
    co_await link.Query();
    const std::string whole = Answer(200, "as it should be");
    link.Write(garbage ? "\x01\x02 what is this\r\n\r\n" : whole.substr(0, whole.size() - 3));
    if (!garbage) link->Close();
    co_await s.Over(garbage ? "due written broken" : "due written broken-200");
    const HttpMessage more = co_await link.Query();
    CHECK(more.method.empty());  // the client has closed it
  });
}

TEST_CASE("where nobody listens a query is unreached, and even an unsafe one is tried again") {
  Site s;
  s.Query(kOpen);
  s.e.clients.most_retries = 2;
  s.Play([&]() -> Task<> {
    s.arrivals.all[0].at = 20 * kMs;
    co_await s.Begin();
    s.server.Shut();
    co_await s.Over("due unreached again unreached again unreached");
    CHECK(s.witness.tries[1].trace == TraceOfTry(s.arrivals.all[0].trace, 1));
    CHECK(s.witness.tries[1].first == s.arrivals.all[0].trace);
  });
}

TEST_CASE("after a failure safe and keyed queries are tried again, with the same key, and unsafe ones not") {
  Site s;
  const int cls = GENERATE(kLook, kOpen, kPay);
  s.Query(cls);
  s.Play([&]() -> Task<> {
    co_await s.Begin();
    Served link = co_await s.server.Accept();
    const HttpMessage first = co_await link.Query();
    link.Write(Answer(502));
    if (cls == kOpen) {
      co_await s.Over("due written failed-502");
      co_return;
    }
    const HttpMessage second = co_await link.Query();
    CHECK(*second.Find("X-Second-Try") == "1");
    CHECK(*second.Find("X-Trace-Id") == TraceText(TraceOfTry(s.arrivals.all[0].trace, 1)));
    if (cls == kPay) CHECK(*second.Find("Idempotency-Key") == *first.Find("Idempotency-Key"));
    link.Write(Answer(502));
    co_await s.Over("due written failed-502 again written failed-502");  // most_retries is 1
  });
}

TEST_CASE("a refusal's Retry-After is heeded, up to as long as clients do, and an unsafe query comes back") {
  Site s;
  s.Query(kOpen);
  s.e.clients.most_retry_after_ms = 200;
  const auto [status, said, least] = GENERATE(
      table<int, const char*, Micros>({{503, "0.15", 150 * kMs}, {429, "30", 200 * kMs}, {503, "soon", 0}}));
  s.Play([&]() -> Task<> {
    co_await s.Begin();
    Served link = co_await s.server.Accept();
    co_await link.Query();
    link.Write(Answer(status, "", std::string("Retry-After: ") + said + "\r\n"));
    co_await s.Hears("again");
    const Micros waited = s.witness.tries[1].due - s.witness.ended_at[0];
    CHECK(waited >= least);
    CHECK(waited <= least + 2 * kMs);
    const HttpMessage query = co_await link.Query();
    link.Write(Served200(query));
    co_await s.Over("due written refused-" + std::to_string(status) + " again written served-200");
  });
}

TEST_CASE("a client that gives up closes its link, and while it reads on, a late answer is still an answer") {
  Site s;
  s.Query(kOpen, 30 * kMs);
  const bool reads_on = GENERATE(false, true);
  s.reads_on = reads_on ? kPatience : 0;
  s.Play([&]() -> Task<> {
    co_await s.Begin();
    Served link = co_await s.server.Accept();
    const HttpMessage query = co_await link.Query();
    if (reads_on) {
      co_await s.Until([&] { return s.machine.Now() > s.witness.tries[0].give_up_at; });
      link.Write(Served200(query));
      co_await s.Over("due written served-200");
    } else {
      const HttpMessage more = co_await link.Query();
      CHECK(more.method.empty());
      co_await s.Over("due written left");
    }
    CHECK(s.witness.ended_at[0] >= s.witness.tries[0].give_up_at);
  });
}

TEST_CASE("a query that finds no link free waits for one, and its client may leave first") {
  Site s;
  s.e.clients.most_links = 1;
  s.e.clients.most_retries = 0;
  s.Query(kOpen);
  s.Query(kOpen, 40 * kMs);
  s.Play([&]() -> Task<> {
    co_await s.Begin();
    Served link = co_await s.server.Accept();
    const HttpMessage query = co_await link.Query();
    co_await s.Hears("left");
    link.Write(Served200(query));
    co_await s.Over("due written due left served-200");
    CHECK_FALSE(s.server.Called());
  });
}

TEST_CASE("a query whose link does not come up in its time is unreached") {
  Site s;
  s.e.clients.most_retries = 0;
  s.Query(kOpen, 100 * kMs);
  s.arrivals.all[0].at = 20 * kMs;
  s.Play([&]() -> Task<> {
    co_await s.Begin();
    const std::unique_ptr<Stream> filler = s.server.Stall();
    co_await s.Over("due unreached");
    CHECK(s.witness.ended_at[0] >= s.witness.tries[0].give_up_at);
  });
}

TEST_CASE("the front asks until a balancer is up, and goes on with a dead one until it notices") {
  Site s;
  s.e.clients.notice_ms = {150, 150};
  s.e.clients.most_retries = 0;
  s.Query(kLook);
  s.Query(kLook);
  s.arrivals.all[1].at = 400 * kMs;
  s.Play([&]() -> Task<> {
    s.clients = std::make_unique<Clients>(
        Clients::Parts{s.machine, s.witness, s.e, s.arrivals, {{s.server.at, 0}}, 1, s.machine.Now(), 0});
    s.clients->BalancerStarted(0);
    for (int status : {503, 200}) {
      CHECK_FALSE(s.clients->Admitted(0));
      Served asked = co_await s.server.Accept();
      co_await asked.Query();
      asked.Write(Answer(status));
    }
    co_await s.Until([&] { return s.clients->Admitted(0); });
    s.server.Shut();
    s.clients->BalancerDied(0);
    CHECK(s.clients->Admitted(0));
    s.clients->Start();
    co_await s.Hears("due unreached due");
    co_await s.Over("due unreached due unreached");
    CHECK(s.witness.tries[0].balancer == 0);
    CHECK(s.witness.tries[1].balancer == -1);
    CHECK(s.clients->counts().nobody == 1);
  });
}

TEST_CASE("a delay between a zone and a balancer is there on both ways") {
  Site s;
  s.Query(kLook);
  constexpr Micros kOneWay = 30 * kMs;
  s.Play([&]() -> Task<> {
    co_await s.Begin();
    s.clients->Delay(0, 0, kOneWay);
    Served link = co_await s.server.Accept();
    const HttpMessage query = co_await link.Query();
    const Micros came = s.machine.Now();
    link.Write(Served200(query));
    co_await s.Over("due written served-200");
    CHECK(s.witness.ended_at[0] >= came + kOneWay - kMs);
  });
}

TEST_CASE("rude clients come in all kinds, are no queries, and nobody hears of their attempts") {
  Site s;
  s.Play([&]() -> Task<> {
    co_await s.Begin();
    s.clients->BeRude(0, 200);
    std::vector<Served> links;
    TraceId left = 0;
    WorkInfo work;
    const auto refuse = [&](Served link) -> Task<> {
      const HttpMessage query = co_await link.Query();
      const std::string* trace = query.Find("X-Trace-Id");
      if (trace != nullptr && s.clients->WorkOf(ReadTrace(*trace), work)) left = ReadTrace(*trace);
      if (!query.method.empty()) link.Write(Answer(400));
      link->Close();
    };
    std::vector<Task<>> tasks;
    while (left == 0 || s.clients->rude().refused == 0 || s.clients->rude().left == 0) {
      Served link = co_await s.server.Accept();
      tasks.push_back(refuse(std::move(link)));
      tasks.back().Start();
    }
    s.clients->BeRude(0, 0);
    CHECK(IsRude(left));
    CHECK(s.witness.words.empty());
    WithoutRude without;
    Recorder behind;
    struct Counter final : NullObserver {
      void Arrived(const ArrivedAttempt&) override { ++events; }
      void Ran(uint64_t, Micros, bool) override { ++events; }
      void AttemptEnded(uint64_t, Micros, AttemptEnd) override { ++events; }
      void LinkEnded(uint64_t, Micros) override { ++events; }
      int events = 0;
    } counter;
    without.Add(counter);
    for (TraceId trace : {left, TraceOfTry(FirstTrace(left), 0)}) {
      const uint64_t attempt = trace == left ? 1 : 2;
      without.Arrived({.attempt = attempt, .trace = trace});
      without.Ran(attempt, 0, true);
      without.LinkEnded(attempt, 0);
      without.AttemptEnded(attempt, 0, AttemptEnd::kAnswered);
      CHECK(counter.events == (trace == left ? 0 : 4));
    }
  });
}

}  // namespace
}  // namespace burlfall::lab
