// A process that stands still in the middle of a turn: what it would send then it sends only once it has
// heard what came meanwhile.
#include <gtest/gtest.h>

#include "codec/payload.h"
#include "dispatch/dispatcher.h"
#include "world/virtual_machine.h"

namespace burlfall {
namespace {

struct Nothing final : Payload {
  bool Consumed() const override { return false; }
};

struct Sent final : Upstream {
  bool Knows(meadowslip::BackendId) const override { return true; }
  Task<ServerAnswer> Exchange(meadowslip::BackendId to, const Payload&, Micros, Micros) override {
    to_.push_back(to);
    ServerAnswer answer;
    answer.outcome = meadowslip::Outcome::kError;
    co_return answer;
  }
  std::vector<meadowslip::BackendId> to_;
};

struct Patient final : ResponseSink {
  void Serve(const Payload&) override { ++told; }
  void Throttle(Micros) override { ++told; }
  void Fail() override { ++told; }
  bool ClientGone() const override { return false; }
  int told = 0;
};

void NothingGoesToADrainedNode(Micros drain_grace, Micros pause_for) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    world::World world(1'700'000'000 * kSecond, seed);
    meadowslip::Settings settings;
    settings.classes = {
        {.idempotency = meadowslip::Idempotency::kUnsafe, .aim = 5 * kSecond, .deadline = 10 * kSecond}};
    settings.max_attempts = 3;
    settings.drain_grace = drain_grace;
    Counters counters;
    Sent upstream;
    Patient sink;
    Dispatcher dispatcher(
        world.scheduler, settings, seed, upstream, [] {}, counters);
    dispatcher.OnList({meadowslip::ListKind::kFull, {{.id = 1}, {.id = 2}}});
    dispatcher.Start();
    const auto ask = [&] {
      IncomingQuery query;
      query.request.give_up_at = world.scheduler.Now() + 10 * kSecond;
      query.payload = std::make_unique<Nothing>();
      query.sink = &sink;
      dispatcher.Submit(std::move(query));
    };
    const auto story = [&]() -> Task<> {
      Event pause(world.scheduler);
      co_await pause.Wait(world.scheduler.Now() + kMs);
      ask();
      EXPECT_EQ(upstream.to_.size(), 1u);  // at once, as a rule
      co_await pause.Wait(world.scheduler.Now() + kMs);
      upstream.to_.clear();
      world.scheduler.AdvanceClock(pause_for);
      ask();
      EXPECT_TRUE(upstream.to_.empty());
      dispatcher.OnList(
          {meadowslip::ListKind::kChanges, {{.id = 1, .state = meadowslip::BackendState::kDraining}}});
      co_await pause.Wait(world.scheduler.Now() + 20 * kMs);
      for (meadowslip::BackendId to : upstream.to_) EXPECT_EQ(to, 2u) << seed;
      EXPECT_EQ(sink.told, 2);
      world.scheduler.StopAll();
    };
    Task<> telling = story();
    telling.Start();
    world.scheduler.Run();
  }
}

TEST(StandsStill, NothingGoesToANodeThatWasDrainedMeanwhile) {
  NothingGoesToADrainedNode(750 * kMs, kSecond);
}

TEST(StandsStill, AShortPauseIsTooLongWhereDrainsHaveNoGrace) { NothingGoesToADrainedNode(0, 60 * kMs); }

}  // namespace
}  // namespace burlfall
