// The watch on the platform's discovery between two virtual machines: what is called when, as seen by the
// service, and what is told.
#include <gtest/gtest.h>

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
  };
  using Script = std::function<Say(size_t call, const std::string& path)>;
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
      const Say say = script_(calls.size() - 1, path);
      co_await pause.Wait(world_.scheduler.Now() + say.after);
      if (say.reset) link.stream->Reset();
      if (say.reset) co_return;
      if (say.what) co_await WriteAll(*link.stream, *say.what, kNever);
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
            std::optional<uint64_t> has = 1, Micros must_ask = 10 * kSecond) {
  world::World world(kBegin, 7);
  world::VirtualMachine machine(world);
  Config config;
  config.discovery = *ReadAddress("127.0.0.9:8500");
  config.settings.must_subscribe = !pushed;
  config.settings.must_ask_within = must_ask;
  config.settings.drain_grace = 750 * kMs;
  Service service(world, config.discovery, script);
  Counters counters;
  Played played;
  Discovery discovery(machine, config, counters, [&](const HostList* list, const std::string&) {
    (list != nullptr ? played.heard : played.failed).push_back(world.scheduler.Now() - kBegin);
  });
  discovery.Start(has);
  if (!pushed) discovery.Follow();
  const auto end = [&]() -> Task<> {
    Event pause(world.scheduler);
    co_await pause.Wait(kBegin + length);
    world.scheduler.Halt();
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
      [](size_t, const std::string& path) {
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
  const Played played = Play(
      [](size_t call, const std::string&) { return call == 0 ? Service::Say{Ok(kWhole)} : Service::Say{}; },
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
          [&](size_t call, const std::string& path) {
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
  const Played played = Play(
      [](size_t call, const std::string&) { return call == 0 ? Service::Say{} : Service::Say{Ok(kWhole)}; },
      6 * kSecond, false, {});
  ASSERT_FALSE(played.heard.empty());
  EXPECT_LE(played.heard[0], 4 * kSecond);
}

// What the service has counts from the first moment, through any end of a call: nobody has to ask for it.
TEST(Watch, WhereListsArePushedItIsFollowedFromTheFirstMomentAndThroughEveryEnd) {
  const Played played = Play(
      [](size_t call, const std::string& path) {
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

// Thousands of nodes, indented.
TEST(Watch, AListOfAMegabyteIsHeard) {
  const Played played = Play(
      [](size_t, const std::string&) {
        return Service::Say{
            Ok(R"({"version":4,"full":true,)" + std::string(1 << 20, ' ') + R"("servers":[]})")};
      },
      100 * kMs, false, {});
  EXPECT_FALSE(played.heard.empty());
}

TEST(Watch, AServiceThatCountsFromFurtherBackIsAskedForItsWholeList) {
  const Played played = Play(
      [](size_t call, const std::string&) {
        if (call == 0) return Service::Say{Ok(R"({"version":3,"full":false,"servers":[]})")};
        return call == 1 ? Service::Say{Ok(R"({"version":3,"full":true,"servers":[]})")} : Service::Say{};
      },
      kSecond, false, 9);
  ASSERT_GE(played.calls.size(), 2u);
  EXPECT_EQ(played.calls[1].path, "/discovery/hosts");
  EXPECT_EQ(played.heard.size(), 1u);  // and its changes are no changes of what is known
}

}  // namespace
}  // namespace burlfall
