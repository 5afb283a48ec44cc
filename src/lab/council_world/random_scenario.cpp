// Randomly generated fault scenarios, and the measurement of failover times.
#include <algorithm>
#include <map>

#include "lab/council_world/consensus_simulation.h"

namespace burlfall::lab {
namespace {

constexpr Micros kFaultPhase = 12 * kSecond;
constexpr Micros kConvergenceTimeout = 20 * kSecond;

// Injects random faults into a simulation, and repairs them later.
class RandomScenario {
 public:
  RandomScenario(ConsensusSimulation& simulation, ConsensusVerdict& verdict, bool frequent_leader_kills)
      : simulation_(simulation), verdict_(verdict), frequent_leader_kills_(frequent_leader_kills) {}

  void Run() {
    const Micros end = simulation_.now() + kFaultPhase;
    while (simulation_.now() < end) {
      // Some scenarios kill one leader after another while its messages are still in transit.
      simulation_.RunFor(frequent_leader_kills_ ? random().Span(kMs, 400 * kMs)
                                                : random().Span(20 * kMs, 700 * kMs));
      RunDueRepairs();
      if (frequent_leader_kills_ && random().Percent(70)) {
        KillNewLeader();
      } else {
        Fault();
      }
    }
    scheduled_repairs_.clear();
  }

 private:
  SimulationRandom& random() { return simulation_.random(); }
  size_t AnyMachine() { return random().Below(simulation_.size()); }
  // Faults at the leader have the greatest effect.
  size_t AnyMachineOrLeader() {
    const int leader = simulation_.Leader();
    return leader >= 0 && random().Percent(50) ? static_cast<size_t>(leader) : AnyMachine();
  }
  void ScheduleRepair(Micros min, Micros max, std::function<void()> action) {
    scheduled_repairs_.emplace(simulation_.now() + random().Span(min, max), std::move(action));
  }
  void RunDueRepairs() {
    while (!scheduled_repairs_.empty() && scheduled_repairs_.begin()->first <= simulation_.now()) {
      const auto action = scheduled_repairs_.begin()->second;
      scheduled_repairs_.erase(scheduled_repairs_.begin());
      action();
    }
  }
  // True if all machines vote and run in the term of one leader, with working disks: only then one voter may
  // be lost for good, or removed.
  bool Healthy() {
    if (!simulation_.AllMachinesVote()) return false;
    const auto leader = static_cast<size_t>(simulation_.Leader());
    for (size_t i = 0; i < simulation_.size(); ++i) {
      if (!simulation_.core(i) || simulation_.DiskLost(i)) return false;
      if (simulation_.core(i)->term() != simulation_.core(leader)->term()) return false;
    }
    return true;
  }
  void KillAndStart(size_t who, Micros min, Micros max) {
    simulation_.Kill(who, random().Percent(50) ? Crash::kPower : Crash::kProcess);
    ScheduleRepair(min, max, [this, who] { simulation_.Start(who); });
  }
  void CutIntoTwoGroups() {
    simulation_.HealNetwork();
    std::vector<bool> side;
    for (size_t i = 0; i < simulation_.size(); ++i) side.push_back(random().Percent(50));
    for (size_t i = 0; i < simulation_.size(); ++i) {
      for (size_t j = 0; j < simulation_.size(); ++j) {
        if (side[i] != side[j]) simulation_.Cut(i, j, true);
      }
    }
    ScheduleRepair(300 * kMs, 4 * kSecond, [this] { simulation_.HealNetwork(); });
  }
  // Waits for a new leader and kills it soon after its election, while few other voters have its entries.
  void KillNewLeader() {
    ++verdict_.faults;
    ++verdict_.kinds["kill of a new leader"];
    const int before = simulation_.Leader();
    simulation_.RunUntil([&] { return simulation_.Leader() >= 0 && simulation_.Leader() != before; },
                         kSecond);
    const int leader = simulation_.Leader();
    if (leader < 0) return;
    const auto who = static_cast<size_t>(leader);
    for (size_t i = 0; i < simulation_.size(); ++i) {
      if (random().Percent(50)) simulation_.Cut(who, i, true);
    }
    simulation_.Propose(who);
    simulation_.RunFor(random().Span(kMs, 60 * kMs));
    KillAndStart(who, 10 * kMs, 800 * kMs);
    ScheduleRepair(50 * kMs, 800 * kMs, [this] { simulation_.HealNetwork(); });
  }
  // One voter misses the last entries while another one loses its disk.
  void WipeDiskWithLaggingVoter() {
    const size_t lagging = AnyMachine(), who = AnyMachine();
    if (lagging != who) {
      simulation_.CutAll(lagging, true, true, true);
      simulation_.RunFor(random().Span(100 * kMs, 600 * kMs));
    }
    simulation_.Kill(who, Crash::kPower);
    simulation_.Wipe(who);
    ScheduleRepair(10 * kMs, kSecond, [this, who] { simulation_.Start(who); });
    ScheduleRepair(10 * kMs, 500 * kMs, [this] { simulation_.HealNetwork(); });
    const int leader = simulation_.Leader();
    if (leader >= 0 && random().Percent(70)) KillAndStart(static_cast<size_t>(leader), kSecond, 4 * kSecond);
  }
  void CutChain() {
    for (size_t i = 0; i < simulation_.size(); ++i) {
      for (size_t j = 0; j < simulation_.size(); ++j) simulation_.Cut(i, j, i + 1 < j || j + 1 < i);
    }
    ScheduleRepair(300 * kMs, 4 * kSecond, [this] { simulation_.HealNetwork(); });
  }

  void Fault() {
    ++verdict_.faults;
    const auto count = [this](const char* kind) { ++verdict_.kinds[kind]; };
    switch (random().Below(15)) {
      case 0:
      case 1:
        count("kill");
        return KillAndStart(AnyMachineOrLeader(), 10 * kMs, 3 * kSecond);
      case 2:
        count("kill of several");
        for (size_t i = 0; i < simulation_.size() / 2; ++i)
          KillAndStart(AnyMachineOrLeader(), 10 * kMs, 2 * kSecond);
        return;
      case 3:
        count("power loss of all");
        for (size_t i = 0; i < simulation_.size(); ++i) {
          simulation_.Kill(i, Crash::kPower);
          ScheduleRepair(10 * kMs, kSecond, [this, i] { simulation_.Start(i); });
        }
        return;
      case 4:
        count("cut into two groups");
        return CutIntoTwoGroups();
      case 5: {
        count("cut in one direction");
        const size_t who = AnyMachineOrLeader();
        const bool in = random().Percent(50);
        simulation_.CutAll(who, in, !in, true);
        ScheduleRepair(300 * kMs, 4 * kSecond, [this, who, in] { simulation_.CutAll(who, in, !in, false); });
        return;
      }
      case 6:
        count("cut into a chain");
        return CutChain();
      case 7:
        count("cut of some paths");
        for (size_t i = 0; i < simulation_.size(); ++i) simulation_.Cut(AnyMachine(), AnyMachine(), true);
        return ScheduleRepair(300 * kMs, 4 * kSecond, [this] { simulation_.HealNetwork(); });
      case 8:
        count("loss");
        simulation_.SetLoss(random().Percent(50) ? 20 : 40);
        return ScheduleRepair(300 * kMs, 4 * kSecond, [this] { simulation_.SetLoss(0); });
      case 9:
        count("delays");
        simulation_.SetDelay(random().Span(10 * kMs, 600 * kMs));
        return ScheduleRepair(300 * kMs, 3 * kSecond, [this] { simulation_.SetDelay(2 * kMs); });
      case 10: {
        count("pause");
        const size_t who = AnyMachineOrLeader();
        simulation_.Pause(who, true);
        return ScheduleRepair(50 * kMs, 3 * kSecond, [this, who] { simulation_.Pause(who, false); });
      }
      case 11: {
        count("slow disk");
        const size_t who = AnyMachineOrLeader();
        simulation_.SlowDisk(who, true);
        return ScheduleRepair(300 * kMs, 4 * kSecond, [this, who] { simulation_.SlowDisk(who, false); });
      }
      case 12: {
        count("failed flush");
        const size_t who = AnyMachineOrLeader();
        simulation_.FailFlush(who);
        return ScheduleRepair(300 * kMs, 3 * kSecond, [this, who] { KillAndStart(who, 10 * kMs, kSecond); });
      }
      case 13: {
        simulation_.HealNetwork();
        if (!simulation_.RunUntil([this] { return Healthy(); }, 3 * kSecond)) return;
        count("wipe");
        return WipeDiskWithLaggingVoter();
      }
      default: {
        const int leader = simulation_.Leader();
        if (leader < 0) return;
        if (random().Percent(60)) {
          simulation_.HealNetwork();
          if (!simulation_.RunUntil([this] { return Healthy(); }, 2 * kSecond)) return;
          count("concurrent removals");
          if (random().Percent(50)) CutIntoTwoGroups();
          return simulation_.RemoveVotersConcurrently();
        }
        count("transfer");
        return simulation_.Transfer(static_cast<size_t>(leader), AnyMachine());
      }
    }
  }

  ConsensusSimulation& simulation_;
  ConsensusVerdict& verdict_;
  const bool frequent_leader_kills_;
  std::multimap<Micros, std::function<void()>> scheduled_repairs_;
};

}  // namespace

ConsensusVerdict RunRandomScenario(uint64_t seed, const consensus::Rules& rules, bool wiped_disk_keeps_id) {
  SimulationRandom random(seed * 2654435761 + 17);
  ConsensusSimulationSettings settings;
  settings.voters = 3 + 2 * random.Below(3);
  settings.rules = rules;
  settings.wiped_disk_keeps_id = wiped_disk_keeps_id;
  settings.duplicate_percent = random.Percent(50) ? 0 : 5;
  settings.flush_max = random.Percent(50) ? 4 * kMs : 40 * kMs;
  settings.proposals_every = random.Span(10 * kMs, 80 * kMs);
  settings.check_encoding = seed % 8 == 0;
  const bool frequent_leader_kills = random.Percent(30);
  if (frequent_leader_kills) {
    settings.rules.batch_entries = 1 + random.Below(2);
    settings.proposals_every =
        std::max(settings.proposals_every, 60 * kMs);  // else the batches are too small for the load
  }
  ConsensusSimulation simulation(settings, random.Next());
  ConsensusVerdict verdict;
  if (!simulation.RunUntil([&] { return simulation.AllMachinesVote(); }, kConvergenceTimeout)) {
    simulation.checker().ReportViolation("the voters were not added");
  }
  RandomScenario(simulation, verdict, frequent_leader_kills).Run();
  simulation.SetDelay(2 * kMs);
  if (!simulation.Converges(kConvergenceTimeout))
    simulation.checker().ReportViolation("the machines do not converge after the faults");
  verdict.violations = simulation.checker().violations();
  verdict.violation_count = simulation.checker().violation_count();
  verdict.acknowledged = simulation.checker().acknowledged();
  verdict.reads = simulation.checker().reads();
  verdict.leaders = simulation.checker().leaders();
  verdict.applied = simulation.checker().applied();
  return verdict;
}

std::vector<Micros> MeasureFailoverTimes(uint64_t seed, size_t voters, uint64_t loss_percent, size_t kills) {
  ConsensusSimulationSettings settings;
  settings.voters = voters;
  settings.proposals_every = 20 * kMs;
  ConsensusSimulation simulation(settings, seed);
  std::vector<Micros> spans;
  if (!simulation.RunUntil([&] { return simulation.AllMachinesVote(); }, kConvergenceTimeout)) return spans;
  simulation.SetLoss(loss_percent);
  simulation.RunFor(2 * kSecond);
  for (size_t i = 0; i < kills; ++i) {
    const int leader = simulation.Leader();
    if (leader < 0) {
      simulation.RunFor(kSecond);
      continue;
    }
    const auto who = static_cast<size_t>(leader);
    simulation.Kill(who, Crash::kProcess);
    const Micros killed = simulation.now();
    if (!simulation.RunUntil([&] { return simulation.Leader() >= 0; }, 60 * kSecond)) break;
    spans.push_back(simulation.now() - killed);
    simulation.RunFor(simulation.random().Span(100 * kMs, kSecond));
    simulation.Start(who);
    simulation.RunFor(simulation.random().Span(kSecond, 2 * kSecond));
  }
  std::sort(spans.begin(), spans.end());
  return spans;
}

}  // namespace burlfall::lab
