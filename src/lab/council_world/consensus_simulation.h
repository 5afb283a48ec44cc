// Voters of a council on a virtual clock, network and disk, with two that only follow. All chance is one
// seed: the same seed plays the same course. What is done to them comes from outside, call by call, or is
// drawn by PlayDrawn(); what they do goes to the judge.
#ifndef BURLFALL_LAB_COUNCIL_WORLD_CONSENSUS_SIMULATION_H_
#define BURLFALL_LAB_COUNCIL_WORLD_CONSENSUS_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "consensus/core.h"
#include "io/time.h"
#include "lab/council_world/consensus_checker.h"

namespace burlfall::lab {

// SplitMix64: the same everywhere.
class CouncilDraws {
 public:
  explicit CouncilDraws(uint64_t seed) : state_(seed) {}
  uint64_t Next();
  uint64_t Below(uint64_t n) { return Next() % n; }
  Micros Span(Micros least, Micros most) {
    return least + static_cast<Micros>(Below(static_cast<uint64_t>(most - least + 1)));
  }
  bool Percent(uint64_t percent) { return Below(100) < percent; }

 private:
  uint64_t state_;
};

struct CouncilSettings {
  size_t voters = 5;
  size_t followers = 2;
  consensus::Rules rules;  // of all cores
  // A planted fault of the carrier's: a folder made new keeps the number of the one before.
  bool wiped_keeps_disk = false;
  uint64_t loss_percent = 0;
  uint64_t double_percent = 0;
  Micros delay_least = 100;
  Micros delay_most = 2 * kMs;
  Micros flush_least = 200;
  Micros flush_most = 4 * kMs;
  Micros proposals_every = 40 * kMs;  // on the average; 0: none
  Micros reads_every = 60 * kMs;
  uint64_t drift_percent = 5;    // clocks run at most so much fast or slow
  uint64_t snapshot_every = 40;  // entries
  bool through_wire = false;     // each message is written and read
};

// What a crash leaves of the writes that were under way.
enum class Crash {
  kProcess,  // some of them, in order
  kPower,    // likewise, and of the one after that a part of its entries
};

class CouncilWorld {
 public:
  CouncilWorld(CouncilSettings settings, uint64_t seed);
  ~CouncilWorld();

  void RunFor(Micros span);
  // Until `done` says so, at most for `span`. False: it never did.
  bool RunUntil(const std::function<bool()>& done, Micros span);
  Micros now() const { return now_; }
  size_t size() const;  // machines that vote or are to vote

  // Whoever believes that it leads, in the highest term; below 0: nobody.
  int Leader() const;
  const consensus::Core* core(size_t who) const;  // null: it doesn't run
  bool AllVote() const;  // each machine, as it is now, is among the leader's committed voters
  void Propose(size_t who);
  void Read(size_t who);

  void Kill(size_t who, Crash how);
  void Start(size_t who);
  void Pause(size_t who, bool on);
  void Cut(size_t from, size_t to, bool on) { cut_[from * size() + to] = on; }
  void CutAll(size_t who, bool in, bool out, bool on);
  void HealNetwork();
  void SetLoss(uint64_t percent) { settings_.loss_percent = percent; }
  void SetDelay(Micros most) { settings_.delay_most = most; }
  void SlowDisk(size_t who, bool on);
  void FailFlush(size_t who);  // the next one
  void Wipe(size_t who);       // of one that doesn't run
  bool DiskLost(size_t who) const;
  // Asks for a change of voters whoever believes that it leads.
  void Change(size_t leader, consensus::Core::Change change, const consensus::Voter& voter);
  consensus::Voter VoterOf(size_t who) const;
  void Transfer(size_t leader, size_t to);
  // The operator who brings in what should vote and takes out what is gone, one step now and then.
  void Operate(bool on) { operates_ = on; }
  // Twice at once, by mistake.
  void OperateHastily();

  // Everybody runs, hears everybody, and agrees on one more entry, within `span`.
  bool Settles(Micros span);
  CouncilJudge& judge() { return judge_; }
  CouncilDraws& draws() { return draws_; }

 private:
  struct Pending {
    consensus::DiskWrite write;
    bool fails = false;
  };
  struct Machine {
    std::string name;
    uint64_t disk = 0;
    consensus::PersistentState stored;
    std::deque<Pending> pending;
    size_t flushing = 0;  // so many of the first go with the flush under way
    bool slow_disk = false;
    bool fail_next = false;
    bool disk_failed = false;  // in this run
    std::unique_ptr<consensus::Core> core;
    std::string run;
    uint64_t incarnation = 0;
    bool paused = false;
    std::deque<std::function<void()>> waiting;  // while it stands still
    int64_t drift_ppm = 0;
    Micros offset = 0;
    // The state machine.
    uint64_t index = 0;
    uint64_t state = 0;
    uint64_t snapshot = 0;
    std::set<std::pair<uint64_t, uint64_t>> proposed;
    uint64_t last_change = 0;
    uint64_t tick_number = 0;
    Micros tick_at = kNever;
  };
  struct Watcher {
    std::unique_ptr<consensus::Follower> follower;
    std::string name;
    uint64_t index = 0;
    uint64_t state = 0;
    Micros tick_at = kNever;
  };
  struct Event {
    Micros at;
    uint64_t number;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void At(Micros at, std::function<void()> what);
  Micros Local(const Machine& machine) const;
  Micros Global(const Machine& machine, Micros local) const;
  int Find(const std::string& name) const;
  void Settle(size_t who);  // carries out what the core wants
  void Plan(size_t who);
  void Save(Machine& machine, const consensus::DiskWrite& write, Crash* torn);
  void Flush(size_t who);
  void Flushed(size_t who);
  void Deliver(int from, const consensus::Outgoing& outgoing);
  void Arrive(size_t who, const consensus::Message& message);
  void Apply(size_t who, const consensus::Applied& applied);
  void Watch(size_t which);
  void PlanWatch(size_t which);
  void Client();
  void Reader();
  void Operator();

  CouncilSettings settings_;
  CouncilDraws draws_;
  Micros now_ = 0;
  uint64_t numbers_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Machine> machines_;
  std::vector<Watcher> watchers_;
  std::vector<bool> cut_;
  std::map<uint64_t, std::pair<size_t, uint64_t>> reads_;
  uint64_t operation_ = 0;
  bool operates_ = true;
  CouncilJudge judge_;
};

struct CouncilVerdict {
  std::vector<std::string> broken;
  size_t broken_count = 0;
  size_t acknowledged = 0, reads = 0, leaders = 0, faults = 0;
  uint64_t applied = 0;
  std::map<std::string, size_t> kinds;  // of faults
};

// A course that the seed draws: 3, 5 or 7 voters, faults on top of one another for some 12 s, then none; all
// must come together again.
CouncilVerdict PlayDrawn(uint64_t seed, const consensus::Rules& rules = {}, bool wiped_keeps_disk = false);

// Kills the leader `kills` times; the spans until another has taken office, in order of length.
std::vector<Micros> MeasureNewLeader(uint64_t seed, size_t voters, uint64_t loss_percent, size_t kills);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_WORLD_CONSENSUS_SIMULATION_H_
