// A process that pauses in the middle of a turn: before it sends anything after the pause, it processes what
// has arrived in the meantime.
#include <gtest/gtest.h>

#include "codec/payload.h"
#include "dispatch/dispatcher.h"
#include "world/virtual_machine.h"

namespace burlfall {
namespace {

struct EmptyPayload final : Payload {
  bool Consumed() const override { return false; }
};

struct RecordingUpstream final : Upstream {
  bool Knows(meadowslip::BackendId) const override { return true; }
  Task<ServerAnswer> Exchange(meadowslip::BackendId to, const Payload&, Micros, Micros) override {
    to_.push_back(to);
    ServerAnswer answer;
    answer.outcome = meadowslip::Outcome::kError;
    co_return answer;
  }
  std::vector<meadowslip::BackendId> to_;
};

struct CountingSink final : ResponseSink {
  void Serve(std::unique_ptr<Payload>) override { ++answers; }
  void Throttle(Micros) override { ++answers; }
  void Fail() override { ++answers; }
  bool MayHaveLeft() const override { return false; }
  int answers = 0;
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
    RecordingUpstream upstream;
    CountingSink sink;
    Dispatcher dispatcher(
        world.scheduler, settings, seed, upstream, [] {}, counters);
    dispatcher.OnList({meadowslip::ListKind::kFull, {{.id = 1}, {.id = 2}}});
    dispatcher.Start();
    const auto submit = [&] {
      IncomingQuery query;
      query.request.give_up_at = world.scheduler.Now() + 10 * kSecond;
      query.payload = std::make_unique<EmptyPayload>();
      query.sink = &sink;
      dispatcher.Submit(std::move(query));
    };
    const auto scenario = [&]() -> Task<> {
      Event pause(world.scheduler);
      co_await pause.Wait(world.scheduler.Now() + kMs);
      submit();
      EXPECT_EQ(upstream.to_.size(), 1u);  // normally sent at once
      co_await pause.Wait(world.scheduler.Now() + kMs);
      upstream.to_.clear();
      world.scheduler.AdvanceClock(pause_for);
      submit();
      EXPECT_TRUE(upstream.to_.empty());
      dispatcher.OnList(
          {meadowslip::ListKind::kChanges, {{.id = 1, .state = meadowslip::BackendState::kDraining}}});
      co_await pause.Wait(world.scheduler.Now() + 20 * kMs);
      for (meadowslip::BackendId to : upstream.to_) EXPECT_EQ(to, 2u) << seed;
      EXPECT_EQ(sink.answers, 2);
      world.scheduler.StopAll();
    };
    Task<> scenario_task = scenario();
    scenario_task.Start();
    world.scheduler.Run();
  }
}

TEST(StandsStill, NothingGoesToANodeThatWasDrainedMeanwhile) {
  NothingGoesToADrainedNode(750 * kMs, kSecond);
}

TEST(StandsStill, AShortPauseIsTooLongWhereDrainsHaveNoGrace) { NothingGoesToADrainedNode(0, 60 * kMs); }

}  // namespace
}  // namespace burlfall
