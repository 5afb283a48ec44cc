// The watch on the platform's discovery, between two virtual machines: which calls the service receives and
// when, and which lists the balancer receives.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <list>

#include "membership/discovery.h"
#include "world/virtual_machine.h"

namespace burlfall {
namespace {

constexpr Micros kBegin = 1'700'000'000 * kSecond;
constexpr std::string_view kNoChanges = R"({"version":1,"full":false,"servers":[]})";
constexpr std::string_view kFullList = R"({"version":1,"full":true,"servers":[]})";

std::string Ok(std::string_view body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

// A list service. Answers each call as the script says: with which text and after what time; nullopt: never.
class Service {
 public:
  struct Reply {
    std::optional<std::string> what = {};
    Micros after = 0;
    bool reset = false;
    bool ends = false;         // closes the connection in order afterwards
    Micros byte_interval = 0;  // sent byte by byte, with this interval
    Micros suspends_for = 0;   // then the calling process is suspended before it can read the answer
  };
  using Script = std::function<Reply(size_t call, const std::string& path, Micros at)>;
  struct Call {
    Micros at = 0;
    std::string path;
  };

  Service(world::World& world, const Address& at, Script script)
      : world_(world), machine_(world), script_(std::move(script)), listener_(machine_.network().Listen(at)) {
    accepting_ = Accept();
    accepting_.Start();
  }
  std::vector<Call> calls;

 private:
  struct Link {
    std::unique_ptr<Stream> stream;
    Task<> task;
  };

  Task<> Accept() {
    while (true) {
      std::unique_ptr<Stream> stream;
      if (listener_->Accept(stream) != Listener::Accepted::kOne) {
        co_await listener_->Wait();
        continue;
      }
      Link& link = links_.emplace_back();
      link.stream = std::move(stream);
      link.task = Answer(link);
      link.task.Start();
    }
  }

  Task<> Answer(Link& link) {
    std::string in;
    Event pause(world_.scheduler);
    while (true) {
      size_t end = 0;
      while ((end = in.find("\r\n\r\n")) == std::string::npos) {
        const Io io = link.stream->Read(in);
        if (io == Io::kLater) {
          co_await link.stream->Wait();
        } else if (io != Io::kSome) {
          co_return;
        }
      }
      const std::string path = in.substr(4, in.find(' ', 4) - 4);
      in.erase(0, end + 4);
      calls.push_back({world_.scheduler.Now() - kBegin, path});
      const Reply reply = script_(calls.size() - 1, path, calls.back().at);
      co_await pause.Wait(world_.scheduler.Now() + reply.after);
      if (reply.reset) link.stream->Reset();
      if (reply.reset) co_return;
      for (size_t i = 0; reply.what && reply.byte_interval > 0 && i < reply.what->size(); ++i) {
        bool written = co_await WriteAll(*link.stream, std::string_view(*reply.what).substr(i, 1), kNever);
        if (!written) break;
        co_await pause.Wait(world_.scheduler.Now() + reply.byte_interval);
      }
      if (reply.what && reply.byte_interval == 0) co_await WriteAll(*link.stream, *reply.what, kNever);
      world_.scheduler.AdvanceClock(reply.suspends_for);
      if (reply.ends) link.stream->Close();
      if (reply.ends) co_return;
    }
  }

  world::World& world_;
  world::VirtualMachine machine_;
  Script script_;
  std::unique_ptr<Listener> listener_;
  std::list<Link> links_;
  Task<> accepting_;
};

struct RunResult {
  std::vector<Service::Call> calls;
  std::vector<Micros> received, failed;
};

// Runs a balancer against the script. Follow() is called once, at the start, and never again.
RunResult RunWatch(const Service::Script& script, Micros length, bool pushed = false,
                   std::optional<uint64_t> known_version = 1, Micros must_ask = 10 * kSecond,
                   uint64_t seed = 7, start::CallPacer* pacer = nullptr) {
  world::World world(kBegin, seed);
  world::VirtualMachine machine(world);
  Config config;
  config.discovery = *ReadAddress("127.0.0.9:8500");
  config.settings.must_subscribe = !pushed;
  config.settings.must_ask_within = must_ask;
  config.settings.drain_grace = 750 * kMs;
  Service service(world, config.discovery, script);
  Counters counters;
  RunResult result;
  Discovery discovery(
      machine, config, counters,
      [&](const HostList* list, const std::string&) {
        (list != nullptr ? result.received : result.failed).push_back(world.scheduler.Now() - kBegin);
      },
      pacer);
  discovery.Start(known_version);
  if (!pushed) discovery.Follow();
  const auto end = [&]() -> Task<> {
    Event pause(world.scheduler);
    co_await pause.Wait(kBegin + length);
    world.scheduler.StopAll();
  };
  Task<> ending = end();
  ending.Start();
  world.scheduler.Run();
  result.calls = service.calls;
  return result;
}

Micros WaitIn(const std::string& path) { return std::stoll(path.substr(path.find("wait=") + 5)) * kMs; }

TEST(Watch, AWatchWithAListStartsFromItsVersionWithOneQueuedCall) {
  const RunResult result = RunWatch(
      [](size_t, const std::string& path, Micros) {
        return Service::Reply{Ok(kNoChanges), WaitIn(path)};
      },
      9 * kSecond);
  ASSERT_GE(result.calls.size(), 3u);
  for (const auto& call : result.calls) EXPECT_TRUE(call.path.starts_with("/discovery/hosts?index=1&wait="));
  for (size_t i = 1; i < result.calls.size(); ++i) {  // the calls continue one watch
    EXPECT_LE(result.calls[i].at - result.calls[i - 1].at, WaitIn(result.calls[0].path) + 200 * kMs);
  }
}

TEST(Watch, WithoutAListTheFullListIsFetchedFirst) {
  const RunResult result =
      RunWatch([](size_t call, const std::string&,
                  Micros) { return call == 0 ? Service::Reply{Ok(kFullList)} : Service::Reply{}; },
               kSecond, false, {});
  ASSERT_EQ(result.calls.size(), 2u);
  EXPECT_EQ(result.calls[0].path, "/discovery/hosts");
  EXPECT_TRUE(result.calls[1].path.starts_with("/discovery/hosts?index=1&"));
}

// The service is silent from any call of the watch on, and its queue delays the answer that arrives. The
// list must arrive before a missed change counts, whatever Rules.MustAskIn is, and without another Follow().
TEST(Watch, AfterASilenceTheListArrivesBeforeMissedChangesCount) {
  for (Micros must_ask : {kSecond, 10 * kSecond, 120 * kSecond}) {
    for (size_t silent : {0u, 1u, 3u}) {
      size_t tried = 0;
      Micros silent_at = 0, count_at = 0;
      const RunResult result = RunWatch(
          [&](size_t call, const std::string& path, Micros) {
            if (call < silent) return Service::Reply{Ok(kNoChanges), WaitIn(path)};
            if (call == silent) count_at = std::max(6 * kSecond, WaitIn(path) + 2 * kSecond);
            if (call == silent) return Service::Reply{};
            if (++tried == 1) return Service::Reply{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"};
            return Service::Reply{Ok(kNoChanges), tried == 2 ? 1800 * kMs : WaitIn(path)};
          },
          16 * kSecond, false, 1, must_ask);
      ASSERT_GT(result.calls.size(), silent + 2) << must_ask << " " << silent;
      silent_at = result.calls[silent].at;
      Micros received = kNever;
      for (Micros at : result.received) {
        if (at > silent_at) received = std::min(received, at);
      }
      EXPECT_LE(received, silent_at + count_at) << must_ask << " " << silent;
    }
  }
}

// The same for a poll: the full list is requested once and never answered.
TEST(Watch, ASilentPollIsRetriedInTime) {
  const RunResult result =
      RunWatch([](size_t call, const std::string&,
                  Micros) { return call == 0 ? Service::Reply{} : Service::Reply{Ok(kFullList)}; },
               6 * kSecond, false, {});
  ASSERT_FALSE(result.received.empty());
  EXPECT_LE(result.received[0], 4 * kSecond);
}

// Whatever the service has counts from the first moment and after any end of a call, without Follow().
TEST(Watch, PushedListsAreFollowedFromTheStartAndAfterEveryFailure) {
  const RunResult result = RunWatch(
      [](size_t call, const std::string& path, Micros) {
        if (call % 4 == 1) return Service::Reply{.reset = true};
        if (call % 4 == 2) return Service::Reply{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"};
        return Service::Reply{Ok(kNoChanges), path.find("wait=") == std::string::npos ? 0 : WaitIn(path)};
      },
      20 * kSecond, true);
  ASSERT_GT(result.calls.size(), 8u);
  EXPECT_LE(result.calls[0].at, 10 * kMs);
  ASSERT_FALSE(result.failed.empty());
  for (Micros failed : result.failed) {  // with most of the grace left
    Micros next = kNever;
    for (const auto& call : result.calls) {
      if (call.at > failed) next = std::min(next, call.at - failed);
    }
    if (failed < 19 * kSecond) {
      EXPECT_LE(next, 250 * kMs) << failed;
    }
  }
}

constexpr std::string_view kBusy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view kBusyForAnHour =
    "HTTP/1.1 503 Busy\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n";

// A service that is unreachable from 3 s until `back`, and has a queue of 1.8 s then.
Service::Script AwayUntil(Micros back, Service::Reply away) {
  return [back, away](size_t, const std::string& path, Micros at) {
    const bool watch = path.find("wait=") != std::string::npos;
    const Micros wait = watch ? WaitIn(path) : 0;
    if (at < 3 * kSecond && at + wait >= 3 * kSecond)
      return Service::Reply{.after = 3 * kSecond - at, .reset = true};
    if (at < 3 * kSecond) return Service::Reply{Ok(watch ? kNoChanges : kFullList), wait};
    if (at < back) return away;
    return Service::Reply{Ok(watch ? kNoChanges : kFullList), std::max(wait, 1800 * kMs)};
  };
}

// A change counts as delivered 6 s after the service had it and was reachable, whatever Rules.MustAskIn and
// the service's Retry-After are, and without another Follow().
TEST(Watch, AfterAnOutageTheListArrivesWithinSixSeconds) {
  const Service::Reply aways[] = {{std::string(kBusy)},
                                  {std::string(kBusyForAnHour)},
                                  // rejected after waiting in the queue
                                  {std::string(kBusyForAnHour), 2 * kSecond},
                                  {.reset = true},
                                  {std::string("HTTP/1.1 500 Ill\r\nContent-Length: 0\r\n\r\n")}};
  for (Micros must_ask : {kSecond, 10 * kSecond, 60 * kSecond, 3600 * kSecond}) {
    for (size_t away = 0; away < std::size(aways); ++away) {
      for (uint64_t seed = 1; seed <= 12; ++seed) {
        const Micros back = 4 * kSecond + static_cast<Micros>(seed) * 700 * kMs;
        const RunResult result =
            RunWatch(AwayUntil(back, aways[away]), back + 8 * kSecond, false, 1, must_ask, seed);
        Micros received = kNever;
        for (Micros at : result.received) {
          if (at >= back) received = std::min(received, at);
        }
        EXPECT_LE(received, back + 6 * kSecond) << must_ask << " " << away << " " << seed;
        // But the calls do not become a storm: at most one call in 0.6 s if each is rejected.
        EXPECT_LE(result.calls.size(), 8u + static_cast<size_t>((back - 3 * kSecond) / (600 * kMs)));
      }
    }
  }
}

// The same for paced starts, once there is a list to serve from. Their turns may be a minute apart if
// hundreds share a service, and the interval grows when calls are rejected.
TEST(Watch, PacedCallsMeetTheSameLimitOnceThereIsAList) {
  for (const std::string_view away : {kBusy, kBusyForAnHour}) {
    for (uint64_t seed = 1; seed <= 12; ++seed) {
      const Micros back = 4 * kSecond + static_cast<Micros>(seed) * 700 * kMs;
      start::CallPacer pacer(
          {.must_ask_within = 60 * kSecond, .balancers = 300, .calls_per_s = 50, .number = 30}, seed);
      pacer.Begin(kBegin, true, 0);
      const RunResult result = RunWatch(
          [&](size_t, const std::string& path, Micros at) {
            if (at < back) return Service::Reply{std::string(away)};
            const bool watch = path.find("wait=") != std::string::npos;
            return Service::Reply{Ok(watch ? kNoChanges : kFullList), watch ? WaitIn(path) : 1800 * kMs};
          },
          back + 8 * kSecond, false, {}, 60 * kSecond, seed, &pacer);
      ASSERT_FALSE(result.failed.empty());
      ASSERT_LT(result.failed[0], back);
      ASSERT_FALSE(result.received.empty()) << away << " " << seed;
      EXPECT_LE(result.received[0], back + 6 * kSecond) << away << " " << seed;
    }
  }
}

// A silent call is detected in time if there is a list to serve from.
TEST(Watch, PacedSilentCallsAreRetriedInTimeOnceThereIsAList) {
  start::CallPacer pacer({.must_ask_within = 60 * kSecond, .balancers = 300, .calls_per_s = 50, .number = 30},
                         1);
  pacer.Begin(kBegin, true, 0);
  const RunResult result = RunWatch(
      [&](size_t call, const std::string& path, Micros) {
        if (call == 0) return Service::Reply{};
        return Service::Reply{Ok(kFullList),
                              path.find("wait=") == std::string::npos ? 1800 * kMs : WaitIn(path)};
      },
      12 * kSecond, false, {}, 60 * kSecond, 7, &pacer);
  ASSERT_FALSE(result.calls.empty());
  ASSERT_FALSE(result.received.empty());
  EXPECT_LE(result.received[0], result.calls[0].at + 6 * kSecond);
}

// Without a list nothing can be sent and the rule cannot be broken, so only the pacer applies.
TEST(Watch, PacedCallsWithoutAListWaitForTheirTurns) {
  start::CallPacer pacer({.must_ask_within = 10 * kSecond, .balancers = 300, .calls_per_s = 5, .number = 0},
                         1);
  pacer.Begin(kBegin, false, 0);
  const RunResult result =
      RunWatch([](size_t, const std::string&, Micros) { return Service::Reply{std::string(kBusy)}; },
               60 * kSecond, false, {}, 10 * kSecond, 1, &pacer);
  EXPECT_LE(result.calls.size(), 4u);
}

// Balancers that were rejected at the same moment with the same Retry-After do not return at the same
// moment.
TEST(Watch, RetriesAfterARetryAfterAreSpreadOut) {
  std::vector<Micros> again;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const RunResult result = RunWatch(
        [](size_t, const std::string&, Micros) { return Service::Reply{std::string(kBusyForAnHour)}; },
        4 * kSecond, false, 1, 60 * kSecond, seed);
    ASSERT_GE(result.calls.size(), 2u);
    EXPECT_GE(result.calls[1].at, kSecond);  // obeyed within the limit
    again.push_back(result.calls[1].at / (100 * kMs));
  }
  std::sort(again.begin(), again.end());
  again.erase(std::unique(again.begin(), again.end()), again.end());
  EXPECT_GE(again.size(), 6u);
}

// With pushed lists everything counts at once, so a Retry-After does not delay the call.
TEST(Watch, WithPushedListsRetryAfterIsIgnored) {
  const RunResult result = RunWatch(
      [](size_t call, const std::string& path, Micros) {
        if (call < 3) return Service::Reply{std::string(kBusyForAnHour)};
        return Service::Reply{Ok(kNoChanges), WaitIn(path)};
      },
      6 * kSecond, true);
  ASSERT_GE(result.calls.size(), 4u);
  EXPECT_LE(result.calls[3].at, 3 * 200 * kMs + 50 * kMs);
}

// Thousands of nodes, indented.
TEST(Watch, AListOfAMegabyteIsAccepted) {
  const RunResult result = RunWatch(
      [](size_t, const std::string&, Micros) {
        return Service::Reply{
            Ok(R"({"version":4,"full":true,)" + std::string(1 << 20, ' ') + R"("servers":[]})")};
      },
      100 * kMs, false, {});
  EXPECT_FALSE(result.received.empty());
}

TEST(Watch, AServiceWithLowerVersionsIsAskedForItsFullList) {
  const RunResult result = RunWatch(
      [](size_t call, const std::string&, Micros) {
        if (call == 0) return Service::Reply{Ok(R"({"version":3,"full":false,"servers":[]})")};
        return call == 1 ? Service::Reply{Ok(R"({"version":3,"full":true,"servers":[]})")} : Service::Reply{};
      },
      kSecond, false, 9);
  ASSERT_GE(result.calls.size(), 2u);
  EXPECT_EQ(result.calls[1].path, "/discovery/hosts");
  EXPECT_EQ(result.received.size(), 1u);  // and its changes do not apply to the known list
}

// ---- SIGHUP ----------------------------------------------------------------------------------------------

struct Reload {
  Micros at = 0;
  bool to_new_service = true;  // to the new address; false: to the old one again
};

struct ReloadResult {
  std::vector<Service::Call> before, after;           // at the old and the new address
  std::vector<std::pair<Micros, uint64_t>> received;  // time and version of each list received
};

// Two list services; the source is told the current address at these times.
ReloadResult RunReloads(const Service::Script& before, const Service::Script& after,
                        const std::vector<Reload>& reloads, Micros length, Micros must_ask = 10 * kSecond,
                        bool pushed = false) {
  world::World world(kBegin, 7);
  world::VirtualMachine machine(world);
  const Address old_address = *ReadAddress("127.0.0.9:8500"), new_address = *ReadAddress("127.0.0.10:8500");
  Config config;
  config.discovery = old_address;
  config.settings.must_subscribe = !pushed;
  config.settings.must_ask_within = must_ask;
  config.settings.drain_grace = 750 * kMs;
  Service one(world, old_address, before), other(world, new_address, after);
  Counters counters;
  ReloadResult result;
  Discovery discovery(machine, config, counters, [&](const HostList* list, const std::string&) {
    if (list != nullptr) result.received.emplace_back(world.scheduler.Now() - kBegin, list->version);
  });
  discovery.Start(1);
  if (!pushed) discovery.Follow();
  const auto scenario = [&]() -> Task<> {
    Event pause(world.scheduler);
    for (const Reload& reload : reloads) {
      while (world.scheduler.Now() < kBegin + reload.at) co_await pause.Wait(kBegin + reload.at);
      config.discovery = reload.to_new_service ? new_address : old_address;
      discovery.Reconnect();
    }
    co_await pause.Wait(kBegin + length);
    world.scheduler.StopAll();
  };
  Task<> running = scenario();
  running.Start();
  world.scheduler.Run();
  result.before = one.calls;
  result.after = other.calls;
  return result;
}

Service::Reply AnswerOfNewService(const std::string& path, Micros) {
  if (path.find("wait=") == std::string::npos) return {Ok(R"({"version":7,"full":true,"servers":[]})")};
  return {Ok(R"({"version":7,"full":false,"servers":[]})"), WaitIn(path)};
}

Service::Script Silent() {
  return [](size_t, const std::string&, Micros) { return Service::Reply{}; };
}

Micros ListArrivedAt(const ReloadResult& result, uint64_t version, Micros from) {
  for (const auto& [at, of] : result.received) {
    if (at >= from && of == version) return at;
  }
  return kNever;
}

// Whatever the old service did before, and whatever Rules.MustAskIn is.
TEST(Reload, TheNewServicesListArrivesWithinFourSecondsThoughItIsSilentAtFirst) {
  for (Micros must_ask : {kSecond, 10 * kSecond, 60 * kSecond}) {
    for (Micros at : {kSecond, 4 * kSecond, 30 * kSecond}) {
      const ReloadResult result = RunReloads(
          Silent(),
          [](size_t call, const std::string& path, Micros now) {
            return call == 0 ? Service::Reply{} : AnswerOfNewService(path, now);
          },
          {{at}}, at + 8 * kSecond, must_ask);
      EXPECT_LE(ListArrivedAt(result, 7, at), at + 4 * kSecond) << must_ask << " " << at;
      ASSERT_FALSE(result.after.empty());
      EXPECT_EQ(result.after[0].path, "/discovery/hosts");
      EXPECT_LE(result.after[0].at, at + 10 * kMs);  // called at once
    }
  }
}

TEST(Reload, TheNewServicesListArrivesWithinFourSecondsThoughItRefusesAtFirst) {
  for (bool pushed : {false, true}) {
    for (Micros must_ask : {kSecond, 10 * kSecond, 60 * kSecond}) {
      for (const char* how : {"reset", "503", "hour", "500"}) {
        const ReloadResult result = RunReloads(
            Silent(),
            [&](size_t, const std::string& path, Micros now) {
              if (now >= 4500 * kMs) return AnswerOfNewService(path, now);
              if (how == std::string("reset")) return Service::Reply{.reset = true};
              if (how == std::string("500"))
                return Service::Reply{std::string("HTTP/1.1 500 Ill\r\nContent-Length: 0\r\n\r\n")};
              return Service::Reply{std::string(how == std::string("503") ? kBusy : kBusyForAnHour)};
            },
            {{2 * kSecond}}, 9 * kSecond, must_ask, pushed);
        EXPECT_LE(ListArrivedAt(result, 7, 0), 6 * kSecond) << must_ask << " " << how << " " << pushed;
        EXPECT_LE(result.after.size(), 40u);
      }
    }
  }
}

TEST(Reload, ToTheSameAddressFetchesTheFullListAtOnce) {
  const ReloadResult result =
      RunReloads([](size_t, const std::string& path, Micros now) { return AnswerOfNewService(path, now); },
                 Silent(), {{700 * kMs, false}}, 2 * kSecond);
  ASSERT_GE(result.before.size(), 3u);
  EXPECT_TRUE(result.before[0].path.starts_with("/discovery/hosts?index=1&"));
  EXPECT_EQ(result.before[1].path, "/discovery/hosts");
  EXPECT_LE(result.before[1].at, 710 * kMs);
  EXPECT_TRUE(result.before[2].path.starts_with("/discovery/hosts?index=7&"));
  EXPECT_TRUE(result.after.empty());
}

// The call of the first reload is abandoned in any state; the last reload applies.
TEST(Reload, TheLastOfTwoReloadsApplies) {
  for (Micros between : {Micros{0}, Micros{1}, Micros{2}, Micros{3}, Micros{5}, 20 * kMs, 400 * kMs}) {
    for (bool back : {false, true}) {
      const ReloadResult result = RunReloads(
          [](size_t call, const std::string& path, Micros now) {
            return call == 0 ? Service::Reply{Ok(kNoChanges), 60 * kSecond} : AnswerOfNewService(path, now);
          },
          [](size_t, const std::string& path, Micros now) { return AnswerOfNewService(path, now); },
          {{kSecond, back}, {kSecond + between, !back}}, 4 * kSecond);
      const auto& last = back ? result.before : result.after;
      ASSERT_FALSE(last.empty());
      const Micros received = ListArrivedAt(result, 7, kSecond + between);
      EXPECT_LE(received, kSecond + between + 10 * kMs) << between << " " << back;
      EXPECT_GE(last.back().at, kSecond + between);
      EXPECT_NE(last.back().path.find("index=7"), std::string::npos);
    }
  }
}

// The old service's answer and the reload arrive within a few scheduler turns of each other, in every order.
TEST(Reload, AnAnswerInTheSameTurnIsUsedOrDroppedAndTheNewServicesFullListIsFetched) {
  size_t both = 0, one = 0;
  for (Micros shift = -12; shift <= 12; ++shift) {
    const ReloadResult result = RunReloads(
        [](size_t, const std::string&, Micros at) {
          return Service::Reply{Ok(R"({"version":4,"full":false,"servers":[]})"), kSecond - at};
        },
        [](size_t, const std::string& path, Micros now) { return AnswerOfNewService(path, now); },
        {{kSecond + shift}}, 2 * kSecond);
    ASSERT_FALSE(result.after.empty()) << shift;
    EXPECT_EQ(result.after[0].path, "/discovery/hosts") << shift;
    ASSERT_FALSE(result.received.empty()) << shift;
    EXPECT_EQ(result.received.back().second, 7u) << shift;  // no list of the old service arrives after it
    (ListArrivedAt(result, 4, 0) != kNever ? both : one) += 1;
  }
  EXPECT_GT(both, 0u);
  EXPECT_GT(one, 0u);
}

// Before Start() another process may hand over the list; the caller of Start() says which version it has.
TEST(Reload, BeforeTheStartNoCallIsMade) {
  world::World world(kBegin, 7);
  world::VirtualMachine machine(world);
  Config config;
  config.discovery = *ReadAddress("127.0.0.9:8500");
  Service service(world, config.discovery,
                  [](size_t, const std::string& path, Micros now) { return AnswerOfNewService(path, now); });
  Counters counters;
  int received = 0;
  Discovery discovery(machine, config, counters, [&](const HostList*, const std::string&) { ++received; });
  discovery.Reconnect();
  const auto scenario = [&]() -> Task<> {
    Event pause(world.scheduler);
    co_await pause.Wait(kBegin + kSecond);
    EXPECT_EQ(received, 0);
    EXPECT_TRUE(service.calls.empty());
    discovery.Start(1);
    discovery.Follow();
    co_await pause.Wait(kBegin + 2 * kSecond);
    world.scheduler.StopAll();
  };
  Task<> running = scenario();
  running.Start();
  world.scheduler.Run();
  ASSERT_FALSE(service.calls.empty());
  EXPECT_TRUE(service.calls[0].path.starts_with("/discovery/hosts?index=1&"));
}

// ---- Forms of an answer ----------------------------------------------------------------------------------

// The watch ends in order, with or without an answer, instead of reporting a change: a change may be missed.
TEST(Watch, AWatchThatEndsWithoutNewsIsRetriedInTime) {
  for (bool answers : {false, true}) {
    for (uint64_t seed = 1; seed <= 8; ++seed) {
      const RunResult result = RunWatch(
          [&](size_t call, const std::string& path, Micros) {
            const bool watch = path.find("wait=") != std::string::npos;
            if (call > 0)
              return Service::Reply{Ok(watch ? kNoChanges : kFullList), watch ? WaitIn(path) : 2 * kSecond};
            Service::Reply reply{.after = 300 * kMs, .ends = true};
            if (answers) reply.what = Ok(kNoChanges);
            return reply;
          },
          8 * kSecond, false, 1, 60 * kSecond, seed);
      ASSERT_GE(result.calls.size(), 2u);
      Micros received = kNever;
      for (Micros at : result.received) {
        if (at > result.calls[1].at) received = std::min(received, at);
      }
      EXPECT_LE(received, 6300 * kMs) << answers << " " << seed;
    }
  }
}

// A list that is arriving is no silence, but one that is never complete is: single bytes do not extend the
// timeout.
TEST(Watch, TricklingBytesDoNotExtendTheTimeout) {
  const RunResult result = RunWatch(
      [](size_t call, const std::string& path, Micros) {
        if (call == 0) return Service::Reply{.what = Ok(std::string(4096, ' ')), .byte_interval = 50 * kMs};
        return Service::Reply{Ok(kNoChanges), WaitIn(path)};
      },
      7 * kSecond);
  ASSERT_GE(result.calls.size(), 2u);
  EXPECT_LE(result.calls[1].at, 3100 * kMs);
  ASSERT_FALSE(result.received.empty());
  EXPECT_LE(result.received[0], 6 * kSecond);
}

// Indented and one byte at a time; also a full list as the answer to a watch.
TEST(Watch, AnIndentedListThatArrivesByteByByteIsAccepted) {
  const std::string list = "{\n  \"version\": 9,\r\n\t\"full\": true,\n  \"servers\": [\n  ]\n}\n";
  const RunResult result = RunWatch(
      [&](size_t call, const std::string& path, Micros) {
        if (call == 0) return Service::Reply{.what = Ok(list), .byte_interval = 5 * kMs};
        EXPECT_NE(path.find("index=9"), std::string::npos);
        return Service::Reply{};
      },
      2 * kSecond);
  EXPECT_EQ(result.received.size(), 1u);
  EXPECT_TRUE(result.failed.empty());
  EXPECT_EQ(result.calls.size(), 2u);
}

// Two consecutive silences, the second of a call that waits in the queue: each is detected with time left.
TEST(Watch, ASecondConsecutiveSilenceIsDetectedInTime) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    Micros second = 0;
    const RunResult result = RunWatch(
        [&](size_t call, const std::string& path, Micros at) {
          if (call == 1) second = at;
          if (call < 2) return Service::Reply{};
          return Service::Reply{Ok(kNoChanges), call == 2 ? 1800 * kMs : WaitIn(path)};
        },
        14 * kSecond, false, 1, 10 * kSecond, seed);
    ASSERT_FALSE(result.received.empty());
    EXPECT_LE(result.received[0], second + 6 * kSecond) << seed;
  }
}

// A queue that takes longer than the first timeout: a later call waits long enough.
TEST(Watch, AQueueOfFiveSecondsIsWaitedForEventually) {
  const RunResult result = RunWatch(
      [](size_t call, const std::string& path, Micros) {
        return Service::Reply{Ok(path.find("wait=") == std::string::npos ? kFullList : kNoChanges),
                              call < 6 ? 5 * kSecond : 20 * kSecond};
      },
      14 * kSecond);
  EXPECT_FALSE(result.received.empty());
}

// An unreadable Retry-After is ignored, and a readable one is limited.
TEST(Watch, NoRetryAfterDelaysTheNextCallForLong) {
  for (const char* value : {"", "-1", "nan", "inf", "1e999", "99999999999999999999999", "0", "1e-9",
                            "0x7fffffff", "Wed, 21 Oct 2026 07:28:00 GMT", "5;5", "1 1"}) {
    const RunResult result = RunWatch(
        [&](size_t call, const std::string& path, Micros) {
          if (call > 0) return Service::Reply{Ok(kNoChanges), WaitIn(path)};
          return Service::Reply{std::string("HTTP/1.1 503 Busy\r\nRetry-After: ") + value +
                                "\r\nContent-Length: 0\r\n\r\n"};
        },
        4 * kSecond, false, 1, 3600 * kSecond);
    ASSERT_GE(result.calls.size(), 2u) << value;
    EXPECT_LE(result.calls[1].at, 1900 * kMs) << value;
    EXPECT_GE(result.calls[1].at, 600 * kMs) << value;
  }
}

// Such an answer is no list, is not requested in a loop, and does not affect the next call.
TEST(Watch, AnOversizedListIsAFailedCall) {
  const RunResult result = RunWatch(
      [](size_t call, const std::string&, Micros) {
        if (call > 1) return Service::Reply{Ok(kFullList)};
        return Service::Reply{
            Ok(R"({"version":4,"full":true,)" + std::string(4 << 20, ' ') + R"("servers":[]})")};
      },
      6 * kSecond, false, {});
  ASSERT_GE(result.failed.size(), 2u);
  ASSERT_GE(result.calls.size(), 3u);
  EXPECT_GE(result.calls[2].at - result.calls[0].at, kSecond);
  EXPECT_FALSE(result.received.empty());
}

// Two answers to one call, together or one after the other: the second is dropped.
TEST(Watch, ASecondAnswerIsNotUsedForTheNextCall) {
  for (size_t cut : {size_t{0}, size_t{1}, size_t{40}}) {
    const std::string second = Ok(R"({"version":5,"full":false,"servers":[]})");
    const RunResult result = RunWatch(
        [&](size_t call, const std::string& path, Micros) {
          if (call > 0)
            return Service::Reply{Ok(path.find("wait=") != std::string::npos ? kNoChanges : kFullList),
                                  500 * kMs};
          return Service::Reply{Ok(kNoChanges) + second.substr(0, second.size() - cut)};
        },
        2 * kSecond);
    ASSERT_GE(result.received.size(), 2u);
    EXPECT_TRUE(result.failed.empty()) << cut;
    for (size_t i = 1; i < result.calls.size(); ++i) {
      EXPECT_TRUE(result.calls[i].path.starts_with("/discovery/hosts?index=1&"))
          << cut << " " << result.calls[i].path;
    }
  }
}

// A service whose changes are always older than its last full list is not called without a pause.
TEST(Watch, AServiceWithEverLowerVersionsIsNotCalledInALoop) {
  const RunResult result = RunWatch(
      [](size_t, const std::string& path, Micros) {
        const bool watch = path.find("wait=") != std::string::npos;
        return Service::Reply{Ok(watch ? R"({"version":2,"full":false,"servers":[]})"
                                       : R"({"version":9,"full":true,"servers":[]})")};
      },
      3 * kSecond, false, 9);
  EXPECT_LE(result.calls.size(), 2u * 3000 / 150 + 4);
}

// An answer that was written while the process was suspended, past its timeout, is used, because it counts
// as delivered.
TEST(Watch, AnAnswerThatArrivedDuringASuspensionIsUsedAfterItsTimeout) {
  const RunResult result = RunWatch(
      [](size_t call, const std::string&, Micros) {
        if (call > 0) return Service::Reply{};
        return Service::Reply{.what = Ok(kNoChanges), .after = 500 * kMs, .suspends_for = 60 * kSecond};
      },
      61 * kSecond);
  EXPECT_EQ(result.received.size(), 1u);
  EXPECT_TRUE(result.failed.empty());
}

}  // namespace
}  // namespace burlfall
