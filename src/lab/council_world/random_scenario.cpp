// Courses that a seed draws, and how long a new leader takes.
#include <algorithm>
#include <map>

#include "lab/council_world/consensus_simulation.h"

namespace burlfall::lab {
namespace {

constexpr Micros kFaultsFor = 12 * kSecond;
constexpr Micros kComesTogether = 20 * kSecond;

class Course {
 public:
  Course(CouncilWorld& world, CouncilVerdict& verdict, bool hasty)
      : world_(world), verdict_(verdict), hasty_(hasty) {}

  void Run() {
    const Micros end = world_.now() + kFaultsFor;
    while (world_.now() < end) {
      // Some courses are a long row of leaders that fall while what they sent is on its way.
      world_.RunFor(hasty_ ? draws().Span(kMs, 400 * kMs) : draws().Span(20 * kMs, 700 * kMs));
      Heal();
      if (hasty_ && draws().Percent(70)) {
        FallOfLeader();
      } else {
        Fault();
      }
    }
    heals_.clear();
  }

 private:
  CouncilDraws& draws() { return world_.draws(); }
  size_t Any() { return draws().Below(world_.size()); }
  // The leader is where a fault tells most.
  size_t AnyOrLeader() {
    const int leader = world_.Leader();
    return leader >= 0 && draws().Percent(50) ? static_cast<size_t>(leader) : Any();
  }
  void After(Micros least, Micros most, std::function<void()> what) {
    heals_.emplace(world_.now() + draws().Span(least, most), std::move(what));
  }
  void Heal() {
    while (!heals_.empty() && heals_.begin()->first <= world_.now()) {
      const auto what = heals_.begin()->second;
      heals_.erase(heals_.begin());
      what();
    }
  }
  // All that should vote do, and all follow one leader: then one may be lost for good, or taken out.
  bool Whole() {
    if (!world_.AllVote()) return false;
    const auto leader = static_cast<size_t>(world_.Leader());
    for (size_t i = 0; i < world_.size(); ++i) {
      if (!world_.core(i) || world_.DiskLost(i)) return false;
      if (world_.core(i)->term() != world_.core(leader)->term()) return false;
    }
    return true;
  }
  void KillAndStart(size_t who, Micros least, Micros most) {
    world_.Kill(who, draws().Percent(50) ? Crash::kPower : Crash::kProcess);
    After(least, most, [this, who] { world_.Start(who); });
  }
  void CutHalves() {
    world_.HealNetwork();
    std::vector<bool> side;
    for (size_t i = 0; i < world_.size(); ++i) side.push_back(draws().Percent(50));
    for (size_t i = 0; i < world_.size(); ++i) {
      for (size_t j = 0; j < world_.size(); ++j) {
        if (side[i] != side[j]) world_.Cut(i, j, true);
      }
    }
    After(300 * kMs, 4 * kSecond, [this] { world_.HealNetwork(); });
  }
  // Soon after it has taken office, with what it holds on few of the others.
  void FallOfLeader() {
    ++verdict_.faults;
    ++verdict_.kinds["fall of a leader"];
    const int before = world_.Leader();
    world_.RunUntil([&] { return world_.Leader() >= 0 && world_.Leader() != before; }, kSecond);
    const int leader = world_.Leader();
    if (leader < 0) return;
    const auto who = static_cast<size_t>(leader);
    for (size_t i = 0; i < world_.size(); ++i) {
      if (draws().Percent(50)) world_.Cut(who, i, true);
    }
    world_.Propose(who);
    world_.RunFor(draws().Span(kMs, 60 * kMs));
    KillAndStart(who, 10 * kMs, 800 * kMs);
    After(50 * kMs, 800 * kMs, [this] { world_.HealNetwork(); });
  }
  // One that did not hear the last entries stands beside one that has lost its disk.
  void WipeBesideLate() {
    const size_t late = Any(), who = Any();
    if (late != who) {
      world_.CutAll(late, true, true, true);
      world_.RunFor(draws().Span(100 * kMs, 600 * kMs));
    }
    world_.Kill(who, Crash::kPower);
    world_.Wipe(who);
    After(10 * kMs, kSecond, [this, who] { world_.Start(who); });
    After(10 * kMs, 500 * kMs, [this] { world_.HealNetwork(); });
    const int leader = world_.Leader();
    if (leader >= 0 && draws().Percent(70)) KillAndStart(static_cast<size_t>(leader), kSecond, 4 * kSecond);
  }
  void CutChain() {
    for (size_t i = 0; i < world_.size(); ++i) {
      for (size_t j = 0; j < world_.size(); ++j) world_.Cut(i, j, i + 1 < j || j + 1 < i);
    }
    After(300 * kMs, 4 * kSecond, [this] { world_.HealNetwork(); });
  }

  void Fault() {
    ++verdict_.faults;
    const auto count = [this](const char* kind) { ++verdict_.kinds[kind]; };
    switch (draws().Below(15)) {
      case 0:
      case 1:
        count("kill");
        return KillAndStart(AnyOrLeader(), 10 * kMs, 3 * kSecond);
      case 2:
        count("kill of some");
        for (size_t i = 0; i < world_.size() / 2; ++i) KillAndStart(AnyOrLeader(), 10 * kMs, 2 * kSecond);
        return;
      case 3:
        count("power of all");
        for (size_t i = 0; i < world_.size(); ++i) {
          world_.Kill(i, Crash::kPower);
          After(10 * kMs, kSecond, [this, i] { world_.Start(i); });
        }
        return;
      case 4:
        count("halves");
        return CutHalves();
      case 5: {
        count("one-sided");
        const size_t who = AnyOrLeader();
        const bool in = draws().Percent(50);
        world_.CutAll(who, in, !in, true);
        After(300 * kMs, 4 * kSecond, [this, who, in] { world_.CutAll(who, in, !in, false); });
        return;
      }
      case 6:
        count("chain");
        return CutChain();
      case 7:
        count("links");
        for (size_t i = 0; i < world_.size(); ++i) world_.Cut(Any(), Any(), true);
        return After(300 * kMs, 4 * kSecond, [this] { world_.HealNetwork(); });
      case 8:
        count("loss");
        world_.SetLoss(draws().Percent(50) ? 20 : 40);
        return After(300 * kMs, 4 * kSecond, [this] { world_.SetLoss(0); });
      case 9:
        count("delays");
        world_.SetDelay(draws().Span(10 * kMs, 600 * kMs));
        return After(300 * kMs, 3 * kSecond, [this] { world_.SetDelay(2 * kMs); });
      case 10: {
        count("pause");
        const size_t who = AnyOrLeader();
        world_.Pause(who, true);
        return After(50 * kMs, 3 * kSecond, [this, who] { world_.Pause(who, false); });
      }
      case 11: {
        count("slow disk");
        const size_t who = AnyOrLeader();
        world_.SlowDisk(who, true);
        return After(300 * kMs, 4 * kSecond, [this, who] { world_.SlowDisk(who, false); });
      }
      case 12: {
        count("failed flush");
        const size_t who = AnyOrLeader();
        world_.FailFlush(who);
        return After(300 * kMs, 3 * kSecond, [this, who] { KillAndStart(who, 10 * kMs, kSecond); });
      }
      case 13: {
        world_.HealNetwork();
        if (!world_.RunUntil([this] { return Whole(); }, 3 * kSecond)) return;
        count("wipe");
        return WipeBesideLate();
      }
      default: {
        const int leader = world_.Leader();
        if (leader < 0) return;
        if (draws().Percent(60)) {
          world_.HealNetwork();
          if (!world_.RunUntil([this] { return Whole(); }, 2 * kSecond)) return;
          count("hasty changes");
          if (draws().Percent(50)) CutHalves();
          return world_.OperateHastily();
        }
        count("transfer");
        return world_.Transfer(static_cast<size_t>(leader), Any());
      }
    }
  }

  CouncilWorld& world_;
  CouncilVerdict& verdict_;
  const bool hasty_;
  std::multimap<Micros, std::function<void()>> heals_;
};

}  // namespace

CouncilVerdict PlayDrawn(uint64_t seed, const consensus::Rules& rules, bool wiped_keeps_disk) {
  CouncilDraws draws(seed * 2654435761 + 17);
  CouncilSettings settings;
  settings.voters = 3 + 2 * draws.Below(3);
  settings.rules = rules;
  settings.wiped_keeps_disk = wiped_keeps_disk;
  settings.double_percent = draws.Percent(50) ? 0 : 5;
  settings.flush_most = draws.Percent(50) ? 4 * kMs : 40 * kMs;
  settings.proposals_every = draws.Span(10 * kMs, 80 * kMs);
  settings.through_wire = seed % 8 == 0;
  const bool hasty = draws.Percent(30);
  if (hasty) {
    settings.rules.batch_entries = 1 + draws.Below(2);
    settings.proposals_every = std::max(settings.proposals_every, 60 * kMs);  // or nobody keeps up
  }
  CouncilWorld world(settings, draws.Next());
  CouncilVerdict verdict;
  if (!world.RunUntil([&] { return world.AllVote(); }, kComesTogether)) {
    world.judge().Broken("the voters were not brought in");
  }
  Course(world, verdict, hasty).Run();
  world.SetDelay(2 * kMs);
  if (!world.Settles(kComesTogether)) world.judge().Broken("they don't come together after the faults");
  verdict.broken = world.judge().broken();
  verdict.broken_count = world.judge().broken_count();
  verdict.acknowledged = world.judge().acknowledged();
  verdict.reads = world.judge().reads();
  verdict.leaders = world.judge().leaders();
  verdict.applied = world.judge().applied();
  return verdict;
}

std::vector<Micros> MeasureNewLeader(uint64_t seed, size_t voters, uint64_t loss_percent, size_t kills) {
  CouncilSettings settings;
  settings.voters = voters;
  settings.proposals_every = 20 * kMs;
  CouncilWorld world(settings, seed);
  std::vector<Micros> spans;
  if (!world.RunUntil([&] { return world.AllVote(); }, kComesTogether)) return spans;
  world.SetLoss(loss_percent);
  world.RunFor(2 * kSecond);
  for (size_t i = 0; i < kills; ++i) {
    const int leader = world.Leader();
    if (leader < 0) {
      world.RunFor(kSecond);
      continue;
    }
    const auto who = static_cast<size_t>(leader);
    world.Kill(who, Crash::kProcess);
    const Micros killed = world.now();
    if (!world.RunUntil([&] { return world.Leader() >= 0; }, 60 * kSecond)) break;
    spans.push_back(world.now() - killed);
    world.RunFor(world.draws().Span(100 * kMs, kSecond));
    world.Start(who);
    world.RunFor(world.draws().Span(kSecond, 2 * kSecond));
  }
  std::sort(spans.begin(), spans.end());
  return spans;
}

}  // namespace burlfall::lab
