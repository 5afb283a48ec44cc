// The watch on the platform's discovery between two virtual machines: what is called when, as seen by the
// service, and what is told.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <list>

#include "membership/discovery.h"
#include "world/virtual_machine.h"

namespace burlfall {
namespace {

constexpr Micros kBegin = 1'700'000'000 * kSecond;
constexpr std::string_view kNothing = R"({"version":1,"full":false,"servers":[]})";
constexpr std::string_view kWhole = R"({"version":1,"full":true,"servers":[]})";

std::string Ok(std::string_view body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

// Listens, and answers each call as the script says: what, and how long after it; nothing: never.
class Service {
 public:
  struct Say {
    std::optional<std::string> what = {};
    Micros after = 0;
    bool reset = false;
    bool ends = false;  // closes in order after it
    Micros each = 0;    // byte by byte, with so long between two
    Micros stands = 0;  // then the process of whoever called stands still, before it hears of it
  };
  using Script = std::function<Say(size_t call, const std::string& path, Micros at)>;
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
      const Say say = script_(calls.size() - 1, path, calls.back().at);
      co_await pause.Wait(world_.scheduler.Now() + say.after);
      if (say.reset) link.stream->Reset();
      if (say.reset) co_return;
      for (size_t i = 0; say.what && say.each > 0 && i < say.what->size(); ++i) {
        bool written = co_await WriteAll(*link.stream, std::string_view(*say.what).substr(i, 1), kNever);
        if (!written) break;
        co_await pause.Wait(world_.scheduler.Now() + say.each);
      }
      if (say.what && say.each == 0) co_await WriteAll(*link.stream, *say.what, kNever);
      world_.scheduler.AdvanceClock(say.stands);
      if (say.ends) link.stream->Close();
      if (say.ends) co_return;
    }
  }

  world::World& world_;
  world::VirtualMachine machine_;
  Script script_;
  std::unique_ptr<Listener> listener_;
  std::list<Link> links_;
  Task<> accepting_;
};

struct Played {
  std::vector<Service::Call> calls;
  std::vector<Micros> heard, failed;
};

// The module's part: it asks once, at the start, and never again.
Played Play(const Service::Script& script, Micros length, bool pushed = false,
            std::optional<uint64_t> has = 1, Micros must_ask = 10 * kSecond, uint64_t seed = 7,
            start::Asking* pace = nullptr) {
  world::World world(kBegin, seed);
  world::VirtualMachine machine(world);
  Config config;
  config.discovery = *ReadAddress("127.0.0.9:8500");
  config.settings.must_subscribe = !pushed;
  config.settings.must_ask_within = must_ask;
  config.settings.drain_grace = 750 * kMs;
  Service service(world, config.discovery, script);
  Counters counters;
  Played played;
  Discovery discovery(
      machine, config, counters,
      [&](const HostList* list, const std::string&) {
        (list != nullptr ? played.heard : played.failed).push_back(world.scheduler.Now() - kBegin);
      },
      pace);
  discovery.Start(has);
  if (!pushed) discovery.Follow();
  const auto end = [&]() -> Task<> {
    Event pause(world.scheduler);
    co_await pause.Wait(kBegin + length);
    world.scheduler.StopAll();
  };
  Task<> ending = end();
  ending.Start();
  world.scheduler.Run();
  played.calls = service.calls;
  return played;
}

Micros WaitIn(const std::string& path) { return std::stoll(path.substr(path.find("wait=") + 5)) * kMs; }

TEST(Watch, WhoHasAListBeginsWithItsVersionAndTakesOnePlaceInTheLine) {
  const Played played = Play(
      [](size_t, const std::string& path, Micros) {
        return Service::Say{Ok(kNothing), WaitIn(path)};
      },
      9 * kSecond);
  ASSERT_GE(played.calls.size(), 3u);
  for (const auto& call : played.calls) EXPECT_TRUE(call.path.starts_with("/discovery/hosts?index=1&wait="));
  for (size_t i = 1; i < played.calls.size(); ++i) {  // it goes on as one watch
    EXPECT_LE(played.calls[i].at - played.calls[i - 1].at, WaitIn(played.calls[0].path) + 200 * kMs);
  }
}

TEST(Watch, WhoHasNoneAsksForTheWholeListFirst) {
  const Played played = Play([](size_t call, const std::string&,
                                Micros) { return call == 0 ? Service::Say{Ok(kWhole)} : Service::Say{}; },
                             kSecond, false, {});
  ASSERT_EQ(played.calls.size(), 2u);
  EXPECT_EQ(played.calls[0].path, "/discovery/hosts");
  EXPECT_TRUE(played.calls[1].path.starts_with("/discovery/hosts?index=1&"));
}

// Silent from any call of the watch on, with the service's line before the answer that comes: heard before
// what was missed counts, whatever time the settings give for asking, and though the module does not ask
// again.
TEST(Watch, AfterASilenceTheListIsHeardBeforeWhatWasMissedCounts) {
  for (Micros must_ask : {kSecond, 10 * kSecond, 120 * kSecond}) {
    for (size_t silent : {0u, 1u, 3u}) {
      size_t tried = 0;
      Micros silent_at = 0, count_at = 0;
      const Played played = Play(
          [&](size_t call, const std::string& path, Micros) {
            if (call < silent) return Service::Say{Ok(kNothing), WaitIn(path)};
            if (call == silent) count_at = std::max(6 * kSecond, WaitIn(path) + 2 * kSecond);
            if (call == silent) return Service::Say{};
            if (++tried == 1) return Service::Say{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"};
            return Service::Say{Ok(kNothing), tried == 2 ? 1800 * kMs : WaitIn(path)};
          },
          16 * kSecond, false, 1, must_ask);
      ASSERT_GT(played.calls.size(), silent + 2) << must_ask << " " << silent;
      silent_at = played.calls[silent].at;
      Micros heard = kNever;
      for (Micros at : played.heard) {
        if (at > silent_at) heard = std::min(heard, at);
      }
      EXPECT_LE(heard, silent_at + count_at) << must_ask << " " << silent;
    }
  }
}

// A poll as well: the whole list, asked for once, and not a word.
TEST(Watch, APollThatFallsSilentIsAskedAnewInTime) {
  const Played played = Play([](size_t call, const std::string&,
                                Micros) { return call == 0 ? Service::Say{} : Service::Say{Ok(kWhole)}; },
                             6 * kSecond, false, {});
  ASSERT_FALSE(played.heard.empty());
  EXPECT_LE(played.heard[0], 4 * kSecond);
}

// What the service has counts from the first moment, through any end of a call: nobody has to ask for it.
TEST(Watch, WhereListsArePushedItIsFollowedFromTheFirstMomentAndThroughEveryEnd) {
  const Played played = Play(
      [](size_t call, const std::string& path, Micros) {
        if (call % 4 == 1) return Service::Say{.reset = true};
        if (call % 4 == 2) return Service::Say{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"};
        return Service::Say{Ok(kNothing), path.find("wait=") == std::string::npos ? 0 : WaitIn(path)};
      },
      20 * kSecond, true);
  ASSERT_GT(played.calls.size(), 8u);
  EXPECT_LE(played.calls[0].at, 10 * kMs);
  ASSERT_FALSE(played.failed.empty());
  for (Micros failed : played.failed) {  // with much of the grace left
    Micros next = kNever;
    for (const auto& call : played.calls) {
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

// A service that is away from 3 s on until `back`, and whose line is 1.8 s long then.
Service::Script AwayUntil(Micros back, Service::Say away) {
  return [back, away](size_t, const std::string& path, Micros at) {
    const bool watch = path.find("wait=") != std::string::npos;
    const Micros wait = watch ? WaitIn(path) : 0;
    if (at < 3 * kSecond && at + wait >= 3 * kSecond)
      return Service::Say{.after = 3 * kSecond - at, .reset = true};
    if (at < 3 * kSecond) return Service::Say{Ok(watch ? kNothing : kWhole), wait};
    if (at < back) return away;
    return Service::Say{Ok(watch ? kNothing : kWhole), std::max(wait, 1800 * kMs)};
  };
}

// A change counts as told 6 s after the service had it and could be reached, whatever the settings give for
// asking, whatever the service says of coming back, and though the module does not ask again.
TEST(Watch, AfterAnOutageTheListIsHeardSixSecondsAfterTheServiceCouldBeReached) {
  const Service::Say aways[] = {{std::string(kBusy)},
                                {std::string(kBusyForAnHour)},
                                {std::string(kBusyForAnHour), 2 * kSecond},  // stood in line first
                                {.reset = true},
                                {std::string("HTTP/1.1 500 Ill\r\nContent-Length: 0\r\n\r\n")}};
  for (Micros must_ask : {kSecond, 10 * kSecond, 60 * kSecond, 3600 * kSecond}) {
    for (size_t away = 0; away < std::size(aways); ++away) {
      for (uint64_t seed = 1; seed <= 12; ++seed) {
        const Micros back = 4 * kSecond + static_cast<Micros>(seed) * 700 * kMs;
        const Played played =
            Play(AwayUntil(back, aways[away]), back + 8 * kSecond, false, 1, must_ask, seed);
        Micros heard = kNever;
        for (Micros at : played.heard) {
          if (at >= back) heard = std::min(heard, at);
        }
        EXPECT_LE(heard, back + 6 * kSecond) << must_ask << " " << away << " " << seed;
        // And yet it is no storm: a call in 0.6 s at most, of each that is turned away.
        EXPECT_LE(played.calls.size(), 8u + static_cast<size_t>((back - 3 * kSecond) / (600 * kMs)));
      }
    }
  }
}

// Paced starts as well, once there is a list to send by: their turns may be a minute apart where hundreds
// share a service, and grow with its refusals.
TEST(Watch, WhereStartsArePacedTheSameHoldsOnceThereIsAList) {
  for (const std::string_view away : {kBusy, kBusyForAnHour}) {
    for (uint64_t seed = 1; seed <= 12; ++seed) {
      const Micros back = 4 * kSecond + static_cast<Micros>(seed) * 700 * kMs;
      start::Asking pace({.must_ask_within = 60 * kSecond, .balancers = 300, .calls_per_s = 50, .number = 30},
                         seed);
      pace.Begin(kBegin, true, 0);
      const Played played = Play(
          [&](size_t, const std::string& path, Micros at) {
            if (at < back) return Service::Say{std::string(away)};
            const bool watch = path.find("wait=") != std::string::npos;
            return Service::Say{Ok(watch ? kNothing : kWhole), watch ? WaitIn(path) : 1800 * kMs};
          },
          back + 8 * kSecond, false, {}, 60 * kSecond, seed, &pace);
      ASSERT_FALSE(played.failed.empty());
      ASSERT_LT(played.failed[0], back);
      ASSERT_FALSE(played.heard.empty()) << away << " " << seed;
      EXPECT_LE(played.heard[0], back + 6 * kSecond) << away << " " << seed;
    }
  }
}

// And a call that falls silent is found out in time, where there is a list to send by.
TEST(Watch, WhereStartsArePacedASilentCallIsFollowedInTimeOnceThereIsAList) {
  start::Asking pace({.must_ask_within = 60 * kSecond, .balancers = 300, .calls_per_s = 50, .number = 30}, 1);
  pace.Begin(kBegin, true, 0);
  const Played played = Play(
      [&](size_t call, const std::string& path, Micros) {
        if (call == 0) return Service::Say{};
        return Service::Say{Ok(kWhole), path.find("wait=") == std::string::npos ? 1800 * kMs : WaitIn(path)};
      },
      12 * kSecond, false, {}, 60 * kSecond, 7, &pace);
  ASSERT_FALSE(played.calls.empty());
  ASSERT_FALSE(played.heard.empty());
  EXPECT_LE(played.heard[0], played.calls[0].at + 6 * kSecond);
}

// Without a list nothing can be sent, and no rule broken: there the pace alone holds.
TEST(Watch, WhereStartsArePacedWhoHasNoListKeepsToItsTurns) {
  start::Asking pace({.must_ask_within = 10 * kSecond, .balancers = 300, .calls_per_s = 5, .number = 0}, 1);
  pace.Begin(kBegin, false, 0);
  const Played played =
      Play([](size_t, const std::string&, Micros) { return Service::Say{std::string(kBusy)}; }, 60 * kSecond,
           false, {}, 10 * kSecond, 1, &pace);
  EXPECT_LE(played.calls.size(), 4u);
}

// All were turned away in one moment, with one word for all: they don't come back as one.
TEST(Watch, WhoWasToldToComeBackLaterComesBackAtATimeOfItsOwn) {
  std::vector<Micros> again;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const Played played =
        Play([](size_t, const std::string&, Micros) { return Service::Say{std::string(kBusyForAnHour)}; },
             4 * kSecond, false, 1, 60 * kSecond, seed);
    ASSERT_GE(played.calls.size(), 2u);
    EXPECT_GE(played.calls[1].at, kSecond);  // it is heeded as far as may be
    again.push_back(played.calls[1].at / (100 * kMs));
  }
  std::sort(again.begin(), again.end());
  again.erase(std::unique(again.begin(), again.end()), again.end());
  EXPECT_GE(again.size(), 6u);
}

// What the agent has counts at once: no word of later puts the call off.
TEST(Watch, WherePushedARetryAfterIsNotHeeded) {
  const Played played = Play(
      [](size_t call, const std::string& path, Micros) {
        if (call < 3) return Service::Say{std::string(kBusyForAnHour)};
        return Service::Say{Ok(kNothing), WaitIn(path)};
      },
      6 * kSecond, true);
  ASSERT_GE(played.calls.size(), 4u);
  EXPECT_LE(played.calls[3].at, 3 * 200 * kMs + 50 * kMs);
}

// Thousands of nodes, indented.
TEST(Watch, AListOfAMegabyteIsHeard) {
  const Played played = Play(
      [](size_t, const std::string&, Micros) {
        return Service::Say{
            Ok(R"({"version":4,"full":true,)" + std::string(1 << 20, ' ') + R"("servers":[]})")};
      },
      100 * kMs, false, {});
  EXPECT_FALSE(played.heard.empty());
}

TEST(Watch, AServiceThatCountsFromFurtherBackIsAskedForItsWholeList) {
  const Played played = Play(
      [](size_t call, const std::string&, Micros) {
        if (call == 0) return Service::Say{Ok(R"({"version":3,"full":false,"servers":[]})")};
        return call == 1 ? Service::Say{Ok(R"({"version":3,"full":true,"servers":[]})")} : Service::Say{};
      },
      kSecond, false, 9);
  ASSERT_GE(played.calls.size(), 2u);
  EXPECT_EQ(played.calls[1].path, "/discovery/hosts");
  EXPECT_EQ(played.heard.size(), 1u);  // and its changes are no changes of what is known
}

// ---- SIGHUP ----------------------------------------------------------------------------------------------

struct Reload {
  Micros at = 0;
  bool elsewhere = true;  // to the new place; or to the old one once more
};

struct Reloaded {
  std::vector<Service::Call> before, after;        // at the old place and at the new one
  std::vector<std::pair<Micros, uint64_t>> heard;  // when, and the list's version
};

// Two places, and the source told at these times where it is now.
Reloaded PlayReloads(const Service::Script& before, const Service::Script& after,
                     const std::vector<Reload>& reloads, Micros length, Micros must_ask = 10 * kSecond,
                     bool pushed = false) {
  world::World world(kBegin, 7);
  world::VirtualMachine machine(world);
  const Address old_place = *ReadAddress("127.0.0.9:8500"), new_place = *ReadAddress("127.0.0.10:8500");
  Config config;
  config.discovery = old_place;
  config.settings.must_subscribe = !pushed;
  config.settings.must_ask_within = must_ask;
  config.settings.drain_grace = 750 * kMs;
  Service one(world, old_place, before), other(world, new_place, after);
  Counters counters;
  Reloaded played;
  Discovery discovery(machine, config, counters, [&](const HostList* list, const std::string&) {
    if (list != nullptr) played.heard.emplace_back(world.scheduler.Now() - kBegin, list->version);
  });
  discovery.Start(1);
  if (!pushed) discovery.Follow();
  const auto story = [&]() -> Task<> {
    Event pause(world.scheduler);
    for (const Reload& reload : reloads) {
      while (world.scheduler.Now() < kBegin + reload.at) co_await pause.Wait(kBegin + reload.at);
      config.discovery = reload.elsewhere ? new_place : old_place;
      discovery.Again();
    }
    co_await pause.Wait(kBegin + length);
    world.scheduler.StopAll();
  };
  Task<> playing = story();
  playing.Start();
  world.scheduler.Run();
  played.before = one.calls;
  played.after = other.calls;
  return played;
}

Service::Say NewPlace(const std::string& path, Micros) {
  if (path.find("wait=") == std::string::npos) return {Ok(R"({"version":7,"full":true,"servers":[]})")};
  return {Ok(R"({"version":7,"full":false,"servers":[]})"), WaitIn(path)};
}

Service::Script Silent() {
  return [](size_t, const std::string&, Micros) { return Service::Say{}; };
}

Micros HeardFrom(const Reloaded& played, uint64_t version, Micros from) {
  for (const auto& [at, of] : played.heard) {
    if (at >= from && of == version) return at;
  }
  return kNever;
}

// Whatever the old place did before, and whatever time the settings give for asking.
TEST(Reload, TheNewPlacesListIsHeardWithinFourSecondsThoughItIsSilentAtFirst) {
  for (Micros must_ask : {kSecond, 10 * kSecond, 60 * kSecond}) {
    for (Micros at : {kSecond, 4 * kSecond, 30 * kSecond}) {
      const Reloaded played = PlayReloads(
          Silent(),
          [](size_t call, const std::string& path, Micros now) {
            return call == 0 ? Service::Say{} : NewPlace(path, now);
          },
          {{at}}, at + 8 * kSecond, must_ask);
      EXPECT_LE(HeardFrom(played, 7, at), at + 4 * kSecond) << must_ask << " " << at;
      ASSERT_FALSE(played.after.empty());
      EXPECT_EQ(played.after[0].path, "/discovery/hosts");
      EXPECT_LE(played.after[0].at, at + 10 * kMs);  // at once
    }
  }
}

TEST(Reload, TheNewPlacesListIsHeardWithinFourSecondsThoughItRefusesAtFirst) {
  for (bool pushed : {false, true}) {
    for (Micros must_ask : {kSecond, 10 * kSecond, 60 * kSecond}) {
      for (const char* how : {"reset", "503", "hour", "500"}) {
        const Reloaded played = PlayReloads(
            Silent(),
            [&](size_t, const std::string& path, Micros now) {
              if (now >= 4500 * kMs) return NewPlace(path, now);
              if (how == std::string("reset")) return Service::Say{.reset = true};
              if (how == std::string("500"))
                return Service::Say{std::string("HTTP/1.1 500 Ill\r\nContent-Length: 0\r\n\r\n")};
              return Service::Say{std::string(how == std::string("503") ? kBusy : kBusyForAnHour)};
            },
            {{2 * kSecond}}, 9 * kSecond, must_ask, pushed);
        EXPECT_LE(HeardFrom(played, 7, 0), 6 * kSecond) << must_ask << " " << how << " " << pushed;
        EXPECT_LE(played.after.size(), 40u);
      }
    }
  }
}

TEST(Reload, ToTheSamePlaceAsksForItsWholeListAtOnce) {
  const Reloaded played =
      PlayReloads([](size_t, const std::string& path, Micros now) { return NewPlace(path, now); }, Silent(),
                  {{700 * kMs, false}}, 2 * kSecond);
  ASSERT_GE(played.before.size(), 3u);
  EXPECT_TRUE(played.before[0].path.starts_with("/discovery/hosts?index=1&"));
  EXPECT_EQ(played.before[1].path, "/discovery/hosts");
  EXPECT_LE(played.before[1].at, 710 * kMs);
  EXPECT_TRUE(played.before[2].path.starts_with("/discovery/hosts?index=7&"));
  EXPECT_TRUE(played.after.empty());
}

// The first word's call is given up wherever it stands: the last word holds.
TEST(Reload, OfTwoInARowTheLastHolds) {
  for (Micros between : {Micros{0}, Micros{1}, Micros{2}, Micros{3}, Micros{5}, 20 * kMs, 400 * kMs}) {
    for (bool back : {false, true}) {
      const Reloaded played = PlayReloads(
          [](size_t call, const std::string& path, Micros now) {
            return call == 0 ? Service::Say{Ok(kNothing), 60 * kSecond} : NewPlace(path, now);
          },
          [](size_t, const std::string& path, Micros now) { return NewPlace(path, now); },
          {{kSecond, back}, {kSecond + between, !back}}, 4 * kSecond);
      const auto& last = back ? played.before : played.after;
      ASSERT_FALSE(last.empty());
      const Micros heard = HeardFrom(played, 7, kSecond + between);
      EXPECT_LE(heard, kSecond + between + 10 * kMs) << between << " " << back;
      EXPECT_GE(last.back().at, kSecond + between);
      EXPECT_NE(last.back().path.find("index=7"), std::string::npos);
    }
  }
}

// The old place's answer and the word of the new place within a few turns of each other, in every order.
TEST(Reload, AnAnswerInTheSameTurnIsHeardOrGivenUpAndTheNewPlaceIsAskedForItsWholeList) {
  size_t both = 0, one = 0;
  for (Micros shift = -12; shift <= 12; ++shift) {
    const Reloaded played = PlayReloads(
        [](size_t, const std::string&, Micros at) {
          return Service::Say{Ok(R"({"version":4,"full":false,"servers":[]})"), kSecond - at};
        },
        [](size_t, const std::string& path, Micros now) { return NewPlace(path, now); }, {{kSecond + shift}},
        2 * kSecond);
    ASSERT_FALSE(played.after.empty()) << shift;
    EXPECT_EQ(played.after[0].path, "/discovery/hosts") << shift;
    ASSERT_FALSE(played.heard.empty()) << shift;
    EXPECT_EQ(played.heard.back().second, 7u) << shift;  // nothing of the old place comes after it
    (HeardFrom(played, 4, 0) != kNever ? both : one) += 1;
  }
  EXPECT_GT(both, 0u);
  EXPECT_GT(one, 0u);
}

// Before the source is started somebody else may yet hand over the list: whoever starts it says what it has.
TEST(Reload, BeforeTheStartNothingIsAskedYet) {
  world::World world(kBegin, 7);
  world::VirtualMachine machine(world);
  Config config;
  config.discovery = *ReadAddress("127.0.0.9:8500");
  Service service(world, config.discovery,
                  [](size_t, const std::string& path, Micros now) { return NewPlace(path, now); });
  Counters counters;
  int heard = 0;
  Discovery discovery(machine, config, counters, [&](const HostList*, const std::string&) { ++heard; });
  discovery.Again();
  const auto story = [&]() -> Task<> {
    Event pause(world.scheduler);
    co_await pause.Wait(kBegin + kSecond);
    EXPECT_EQ(heard, 0);
    EXPECT_TRUE(service.calls.empty());
    discovery.Start(1);
    discovery.Follow();
    co_await pause.Wait(kBegin + 2 * kSecond);
    world.scheduler.StopAll();
  };
  Task<> playing = story();
  playing.Start();
  world.scheduler.Run();
  ASSERT_FALSE(service.calls.empty());
  EXPECT_TRUE(service.calls[0].path.starts_with("/discovery/hosts?index=1&"));
}

// ---- Forms of an answer ----------------------------------------------------------------------------------

// In order, with an answer and without one, instead of telling: there may be news.
TEST(Watch, OneThatEndsInsteadOfTellingIsFollowedByAnotherInTime) {
  for (bool answers : {false, true}) {
    for (uint64_t seed = 1; seed <= 8; ++seed) {
      const Played played = Play(
          [&](size_t call, const std::string& path, Micros) {
            const bool watch = path.find("wait=") != std::string::npos;
            if (call > 0)
              return Service::Say{Ok(watch ? kNothing : kWhole), watch ? WaitIn(path) : 2 * kSecond};
            Service::Say say{.after = 300 * kMs, .ends = true};
            if (answers) say.what = Ok(kNothing);
            return say;
          },
          8 * kSecond, false, 1, 60 * kSecond, seed);
      ASSERT_GE(played.calls.size(), 2u);
      Micros heard = kNever;
      for (Micros at : played.heard) {
        if (at > played.calls[1].at) heard = std::min(heard, at);
      }
      EXPECT_LE(heard, 6300 * kMs) << answers << " " << seed;
    }
  }
}

// As long as a list is coming it is no silence, but one that never comes whole is: bytes buy no time.
TEST(Watch, BytesThatTrickleBuyNoTime) {
  const Played played = Play(
      [](size_t call, const std::string& path, Micros) {
        if (call == 0) return Service::Say{.what = Ok(std::string(4096, ' ')), .each = 50 * kMs};
        return Service::Say{Ok(kNothing), WaitIn(path)};
      },
      7 * kSecond);
  ASSERT_GE(played.calls.size(), 2u);
  EXPECT_LE(played.calls[1].at, 3100 * kMs);
  ASSERT_FALSE(played.heard.empty());
  EXPECT_LE(played.heard[0], 6 * kSecond);
}

// Indented, one byte at a time; and the whole list as the answer to a watch.
TEST(Watch, AnIndentedListThatComesByteByByteIsHeard) {
  const std::string list = "{\n  \"version\": 9,\r\n\t\"full\": true,\n  \"servers\": [\n  ]\n}\n";
  const Played played = Play(
      [&](size_t call, const std::string& path, Micros) {
        if (call == 0) return Service::Say{.what = Ok(list), .each = 5 * kMs};
        EXPECT_NE(path.find("index=9"), std::string::npos);
        return Service::Say{};
      },
      2 * kSecond);
  EXPECT_EQ(played.heard.size(), 1u);
  EXPECT_TRUE(played.failed.empty());
  EXPECT_EQ(played.calls.size(), 2u);
}

// Two silences in a row, the second of a call that stands in line: each is found out with time left.
TEST(Watch, ASecondSilenceInARowIsFoundOutInTimeAsWell) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    Micros second = 0;
    const Played played = Play(
        [&](size_t call, const std::string& path, Micros at) {
          if (call == 1) second = at;
          if (call < 2) return Service::Say{};
          return Service::Say{Ok(kNothing), call == 2 ? 1800 * kMs : WaitIn(path)};
        },
        14 * kSecond, false, 1, 10 * kSecond, seed);
    ASSERT_FALSE(played.heard.empty());
    EXPECT_LE(played.heard[0], second + 6 * kSecond) << seed;
  }
}

// A line that takes longer than a call is waited for at first: once in a row it is waited out.
TEST(Watch, ALineOfFiveSecondsIsHeardInTheEnd) {
  const Played played = Play(
      [](size_t call, const std::string& path, Micros) {
        return Service::Say{Ok(path.find("wait=") == std::string::npos ? kWhole : kNothing),
                            call < 6 ? 5 * kSecond : 20 * kSecond};
      },
      14 * kSecond);
  EXPECT_FALSE(played.heard.empty());
}

// What can't be read is no word of later, and what can is bounded, whatever it says.
TEST(Watch, NoRetryAfterPutsTheNextCallOffForLong) {
  for (const char* value : {"", "-1", "nan", "inf", "1e999", "99999999999999999999999", "0", "1e-9",
                            "0x7fffffff", "Wed, 21 Oct 2026 07:28:00 GMT", "5;5", "1 1"}) {
    const Played played = Play(
        [&](size_t call, const std::string& path, Micros) {
          if (call > 0) return Service::Say{Ok(kNothing), WaitIn(path)};
          return Service::Say{std::string("HTTP/1.1 503 Busy\r\nRetry-After: ") + value +
                              "\r\nContent-Length: 0\r\n\r\n"};
        },
        4 * kSecond, false, 1, 3600 * kSecond);
    ASSERT_GE(played.calls.size(), 2u) << value;
    EXPECT_LE(played.calls[1].at, 1900 * kMs) << value;
    EXPECT_GE(played.calls[1].at, 600 * kMs) << value;
  }
}

// It is no list, and not asked for in a loop; nor does it stand in the way of the next one.
TEST(Watch, AListOfHostileSizeIsACallThatFailed) {
  const Played played = Play(
      [](size_t call, const std::string&, Micros) {
        if (call > 1) return Service::Say{Ok(kWhole)};
        return Service::Say{
            Ok(R"({"version":4,"full":true,)" + std::string(4 << 20, ' ') + R"("servers":[]})")};
      },
      6 * kSecond, false, {});
  ASSERT_GE(played.failed.size(), 2u);
  ASSERT_GE(played.calls.size(), 3u);
  EXPECT_GE(played.calls[2].at - played.calls[0].at, kSecond);
  EXPECT_FALSE(played.heard.empty());
}

// Two answers to one call, at once or one by one: the second is nobody's.
TEST(Watch, ASecondAnswerIsNotTakenForThatOfTheNextCall) {
  for (size_t cut : {size_t{0}, size_t{1}, size_t{40}}) {
    const std::string second = Ok(R"({"version":5,"full":false,"servers":[]})");
    const Played played = Play(
        [&](size_t call, const std::string& path, Micros) {
          if (call > 0)
            return Service::Say{Ok(path.find("wait=") != std::string::npos ? kNothing : kWhole), 500 * kMs};
          return Service::Say{Ok(kNothing) + second.substr(0, second.size() - cut)};
        },
        2 * kSecond);
    ASSERT_GE(played.heard.size(), 2u);
    EXPECT_TRUE(played.failed.empty()) << cut;
    for (size_t i = 1; i < played.calls.size(); ++i) {
      EXPECT_TRUE(played.calls[i].path.starts_with("/discovery/hosts?index=1&"))
          << cut << " " << played.calls[i].path;
    }
  }
}

// A service whose changes are always older than what it has just listed is not asked without a pause.
TEST(Watch, AServiceThatCountsFromFurtherBackEachTimeIsNotAskedInALoop) {
  const Played played = Play(
      [](size_t, const std::string& path, Micros) {
        const bool watch = path.find("wait=") != std::string::npos;
        return Service::Say{Ok(watch ? R"({"version":2,"full":false,"servers":[]})"
                                     : R"({"version":9,"full":true,"servers":[]})")};
      },
      3 * kSecond, false, 9);
  EXPECT_LE(played.calls.size(), 2u * 3000 / 150 + 4);
}

// An answer that was written while the process stood still, past the end of its patience, is heard: it counts
// as told.
TEST(Watch, AnAnswerThatCameWhileTheProcessStoodStillIsHeardThoughItsTimeIsOver) {
  const Played played = Play(
      [](size_t call, const std::string&, Micros) {
        if (call > 0) return Service::Say{};
        return Service::Say{.what = Ok(kNothing), .after = 500 * kMs, .stands = 60 * kSecond};
      },
      61 * kSecond);
  EXPECT_EQ(played.heard.size(), 1u);
  EXPECT_TRUE(played.failed.empty());
}

}  // namespace
}  // namespace burlfall
