// The virtual clock, network and disks of the simulation, its clients and its operator.
#include "lab/council_world/consensus_simulation.h"

#include <algorithm>
#include <variant>

#include "consensus/wire.h"

namespace burlfall::lab {

using consensus::Core;
using consensus::Entry;
using consensus::Message;
using consensus::Voter;

namespace {

constexpr size_t kSnapshotBytes = 300;  // sent in several chunks

std::string SaveState(uint64_t index, uint64_t state) {
  std::string bytes = std::to_string(index);
  bytes.append(" ").append(std::to_string(state)).append(" ");
  bytes.resize(kSnapshotBytes, '.');
  return bytes;
}

uint64_t LoadState(const std::string& bytes) {
  const size_t space = bytes.find(' ');
  return space == std::string::npos ? 0 : std::stoull(bytes.substr(space + 1));
}

consensus::Rules WithSmallLimits(consensus::Rules rules) {
  rules.batch_entries = std::min<size_t>(rules.batch_entries, 8);
  rules.keep_entries = 16;
  rules.chunk_bytes = 100;
  rules.max_uncommitted = 64;
  rules.join_timeout = 5 * kSecond;
  return rules;
}

}  // namespace

uint64_t SimulationRandom::Next() {
  uint64_t z = state_ += 0x9e3779b97f4a7c15;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

ConsensusSimulation::ConsensusSimulation(ConsensusSimulationSettings settings, uint64_t seed)
    : settings_(std::move(settings)), random_(seed), cut_(settings_.voters * settings_.voters, false) {
  for (size_t i = 0; i < settings_.voters; ++i) {
    Machine machine;
    machine.name = std::string("v").append(std::to_string(i));
    machine.disk = 1 + random_.Below(1u << 30);
    const auto max = static_cast<int64_t>(settings_.drift_percent) * 10'000;
    machine.drift_ppm = max == 0 ? 0 : random_.Span(-max, max);
    machine.offset = random_.Span(0, 1000 * kSecond);
    machines_.push_back(std::move(machine));
  }
  // The first machine bootstraps the group; the operator adds the others.
  machines_[0].stored = consensus::BootstrapState(VoterOf(0));
  for (size_t i = 0; i < machines_.size(); ++i) Start(i);
  std::vector<std::string> seeds;
  for (const Machine& machine : machines_) seeds.push_back(machine.name);
  for (size_t i = 0; i < settings_.followers; ++i) {
    FollowerNode follower_node;
    follower_node.name = std::string("f").append(std::to_string(i));
    follower_node.follower = std::make_unique<consensus::Follower>(consensus::FollowerRules{},
                                                                   follower_node.name, seeds, random_.Next());
    follower_node.follower->Begin(0);
    followers_.push_back(std::move(follower_node));
  }
  for (size_t i = 0; i < followers_.size(); ++i) ScheduleFollowerTick(i);
  if (settings_.proposals_every > 0) Schedule(settings_.proposals_every, [this] { RunProposer(); });
  if (settings_.reads_every > 0) Schedule(settings_.reads_every, [this] { RunReader(); });
  Schedule(100 * kMs, [this] { RunOperator(); });
}

ConsensusSimulation::~ConsensusSimulation() = default;

size_t ConsensusSimulation::size() const { return settings_.voters; }

void ConsensusSimulation::Schedule(Micros at, std::function<void()> action) {
  events_.push({std::max(at, now_), ++last_event_number_, std::move(action)});
}

Micros ConsensusSimulation::ToLocalTime(const Machine& machine) const {
  return machine.offset + now_ + now_ * machine.drift_ppm / 1'000'000;
}

Micros ConsensusSimulation::ToSimulationTime(const Machine& machine, Micros local) const {
  const Micros span = local - machine.offset;
  return span * 1'000'000 / (1'000'000 + machine.drift_ppm) + 1;
}

int ConsensusSimulation::Find(const std::string& name) const {
  for (size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

const Core* ConsensusSimulation::core(size_t who) const { return machines_[who].core.get(); }

Voter ConsensusSimulation::VoterOf(size_t who) const {
  const Machine& machine = machines_[who];
  return {{machine.name, machine.disk}, machine.name};
}

void ConsensusSimulation::RunFor(Micros span) {
  RunUntil([] { return false; }, span);
}

bool ConsensusSimulation::RunUntil(const std::function<bool()>& done, Micros span) {
  const Micros until = now_ + span;
  if (done()) return true;
  while (!events_.empty() && events_.top().at <= until) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
    if (done()) return true;
  }
  now_ = until;
  return false;
}

int ConsensusSimulation::Leader() const {
  int best = -1;
  for (size_t i = 0; i < machines_.size(); ++i) {
    const Core* one = core(i);
    if (!one || one->role() != consensus::Role::kLeader) continue;
    if (best < 0 || one->term() > core(static_cast<size_t>(best))->term()) best = static_cast<int>(i);
  }
  return best;
}

bool ConsensusSimulation::AllMachinesVote() const {
  const int leader = Leader();
  if (leader < 0) return false;
  const Core& one = *core(static_cast<size_t>(leader));
  if (one.voters().size() != size()) return false;
  for (size_t i = 0; i < size(); ++i) {
    const Voter voter = VoterOf(i);
    if (std::find(one.voters().begin(), one.voters().end(), voter) == one.voters().end()) return false;
  }
  return one.commit() == one.last_index();
}

// ------------------------------------------------------------------------------------------- processes

void ConsensusSimulation::Start(size_t who) {
  Machine& machine = machines_[who];
  if (machine.core) return;
  machine.run = machine.name;
  machine.run.append("#").append(std::to_string(++machine.incarnation));
  machine.index = machine.state = machine.snapshot = machine.last_change = 0;
  machine.proposed.clear();
  machine.paused = false;
  machine.fail_next = machine.disk_failed = false;
  machine.waiting.clear();
  machine.tick_at = kNever;
  machine.core = std::make_unique<Core>(consensus::Setup{VoterOf(who).id, WithSmallLimits(settings_.rules),
                                                         random_.Next(), 1'000'000 * kSecond});
  machine.core->Begin(ToLocalTime(machine), machine.stored, true);
  ProcessOutputs(who);
}

// Applies a write to the disk; with `crash`, only the part that survives the crash.
void ConsensusSimulation::Save(Machine& machine, const consensus::DiskWrite& write, Crash* crash) {
  consensus::PersistentState& stored = machine.stored;
  const bool partial = crash != nullptr;
  if (write.term_vote && !partial) {
    stored.term = write.term_vote->term;
    stored.vote = write.term_vote->vote;
  }
  if (write.snapshot) {
    // The snapshot is installed before the log is truncated.
    stored.snapshot = *write.snapshot;
    if (partial) return;
  }
  if (write.replace_from != 0) {
    if (partial && write.entries.empty()) return;
    std::erase_if(stored.log, [&](const Entry& entry) { return entry.index >= write.replace_from; });
    const size_t count = partial ? random_.Below(write.entries.size()) : write.entries.size();
    for (size_t i = 0; i < count; ++i) stored.log.push_back(write.entries[i]);
  }
  if (write.keep_from != 0) {
    std::erase_if(stored.log, [&](const Entry& entry) { return entry.index < write.keep_from; });
  }
}

void ConsensusSimulation::Kill(size_t who, Crash how) {
  Machine& machine = machines_[who];
  if (!machine.core) return;
  machine.core.reset();
  machine.waiting.clear();
  ++machine.incarnation;
  size_t saved = random_.Below(machine.pending.size() + 1);
  for (const Pending& pending : machine.pending) {
    if (pending.fails || machine.disk_failed) break;
    if (saved-- == 0) {
      if (how == Crash::kPower) Save(machine, pending.write, &how);
      break;
    }
    Save(machine, pending.write, nullptr);
  }
  machine.pending.clear();
  machine.flushing = 0;
}

void ConsensusSimulation::Pause(size_t who, bool on) {
  Machine& machine = machines_[who];
  if (!machine.core || machine.paused == on) return;
  machine.paused = on;
  if (on) return;
  // Deferred inputs come before the timers, as in the code that drives the core.
  const auto waiting = std::exchange(machine.waiting, {});
  const uint64_t incarnation = machine.incarnation;
  for (const auto& one : waiting) {
    if (!machine.core || machine.incarnation != incarnation) return;
    one();
  }
  machine.core->Tick(ToLocalTime(machine));
  ProcessOutputs(who);
}

void ConsensusSimulation::Wipe(size_t who) {
  Machine& machine = machines_[who];
  if (machine.core) return;
  machine.stored = {};
  if (!settings_.wiped_disk_keeps_id) machine.disk = 1 + random_.Below(1u << 30);
}

void ConsensusSimulation::CutAll(size_t who, bool in, bool out, bool on) {
  for (size_t i = 0; i < size(); ++i) {
    if (i == who) continue;
    if (in) Cut(i, who, on);
    if (out) Cut(who, i, on);
  }
}

void ConsensusSimulation::HealNetwork() { cut_.assign(cut_.size(), false); }

void ConsensusSimulation::SlowDisk(size_t who, bool on) { machines_[who].slow_disk = on; }
void ConsensusSimulation::FailFlush(size_t who) { machines_[who].fail_next = true; }
bool ConsensusSimulation::DiskLost(size_t who) const { return core(who) && !core(who)->may_vote(); }

// ------------------------------------------------------------------------------------ outputs of a core

void ConsensusSimulation::ProcessOutputs(size_t who) {
  Machine& machine = machines_[who];
  if (!machine.core) return;
  Core& core = *machine.core;
  std::vector<consensus::Notice> notices = core.TakeNotices();
  for (const consensus::Notice& notice : notices) {
    if (notice.kind == consensus::Notice::Kind::kBecameLeader) {
      std::vector<Entry> log;
      for (uint64_t i = core.first_index(); i <= core.last_index(); ++i) log.push_back(*core.entry(i));
      checker_.OnBecameLeader(machine.run, notice.term, log);
    } else if (notice.kind == consensus::Notice::Kind::kOlderDisk) {
      // No scenario restores an older disk.
      checker_.ReportViolation(machine.run + " treats its disk as an older one");
    } else if (notice.kind == consensus::Notice::Kind::kMessageDropped &&
               notice.text == "two leaders in a term") {
      checker_.ReportViolation(notice.text + " received by " + machine.run);
    }
  }
  for (consensus::DiskWrite& write : core.TakeWrites()) {
    uint64_t before = 0;
    if (!write.entries.empty()) {
      const Entry* entry = core.entry(write.replace_from - 1);
      before = entry ? entry->term : 0;
      // Truncated again within one event, or already compacted: there is nothing to compare.
      const Entry* first = core.entry(write.replace_from);
      const bool comparable =
          first && first->term == write.entries.front().term && (entry || write.replace_from == 1);
      if (comparable) checker_.OnLogEntry(machine.run, before, write.entries.front());
      for (size_t i = 1; i < write.entries.size(); ++i) {
        checker_.OnLogEntry(machine.run, write.entries[i - 1].term, write.entries[i]);
      }
    }
    machine.pending.push_back({std::move(write), std::exchange(machine.fail_next, false)});
  }
  Flush(who);
  for (const consensus::Outgoing& outgoing : core.TakeMessages()) Deliver(static_cast<int>(who), outgoing);
  for (const consensus::Applied& applied : core.TakeApplied()) Apply(who, applied);
  for (const consensus::ReadResult& answer : core.TakeReads()) {
    if (answer.refusal == consensus::Refusal::kNone) {
      if (machine.index < answer.index && answer.index > 1)
        checker_.ReportViolation("a read was answered before its entries were applied");
      checker_.OnReadAnswered(answer.token, machine.index);
    }
  }
  if (machine.index >= machine.snapshot + settings_.snapshot_every) {
    machine.snapshot = machine.index;
    core.SaveSnapshot(ToLocalTime(machine), machine.index, SaveState(machine.index, machine.state));
    return ProcessOutputs(who);
  }
  ScheduleTick(who);
}

void ConsensusSimulation::ScheduleTick(size_t who) {
  Machine& machine = machines_[who];
  const Micros local = machine.core->next_at();
  if (local == kNever) return;
  const Micros at = std::max(now_, ToSimulationTime(machine, local));
  // If an earlier tick is scheduled, it finds nothing to do and schedules the next one.
  if (machine.tick_at <= at && machine.tick_at >= now_) return;
  machine.tick_at = at;
  Schedule(at, [this, who, incarnation = machine.incarnation, at] {
    Machine& one = machines_[who];
    if (!one.core || one.incarnation != incarnation) return;
    if (one.tick_at == at) one.tick_at = kNever;
    if (one.paused) return;
    one.core->Tick(ToLocalTime(one));
    ProcessOutputs(who);
  });
}

// One flush covers all pending writes; writes that arrive during a flush go with the next one.
void ConsensusSimulation::Flush(size_t who) {
  Machine& machine = machines_[who];
  if (machine.disk_failed || machine.flushing > 0 || machine.pending.empty()) return;
  machine.flushing = machine.pending.size();
  const Micros span = machine.slow_disk ? random_.Span(20 * kMs, 300 * kMs)
                                        : random_.Span(settings_.flush_min, settings_.flush_max);
  Schedule(now_ + span, [this, who, incarnation = machine.incarnation] {
    if (machines_[who].core && machines_[who].incarnation == incarnation) Flushed(who);
  });
}

void ConsensusSimulation::Flushed(size_t who) {
  Machine& machine = machines_[who];
  uint64_t number = 0;
  bool failed = false;
  for (; machine.flushing > 0; --machine.flushing) {
    const Pending pending = std::move(machine.pending.front());
    machine.pending.pop_front();
    number = pending.write.number;
    failed = failed || pending.fails;
    const bool saved = settings_.rules.stops_on_failed_write ? !failed : !pending.fails;
    if (saved) Save(machine, pending.write, nullptr);
  }
  // Nothing is written after a failed write.
  machine.disk_failed = machine.disk_failed || (failed && settings_.rules.stops_on_failed_write);
  if (machine.disk_failed) machine.pending.clear();
  const auto notify = [this, who, number, failed] {
    machines_[who].core->OnWritten(ToLocalTime(machines_[who]), number, !failed);
    ProcessOutputs(who);
  };
  Flush(who);
  // The disk works on while the process is paused; the process is notified when it resumes.
  if (!machine.paused) return notify();
  machine.waiting.push_back(notify);
}

void ConsensusSimulation::Deliver(int from, const consensus::Outgoing& outgoing) {
  const int to = Find(outgoing.message.to.name);
  if (to < 0) return;
  if (settings_.check_encoding) {
    const auto read = consensus::Decode(consensus::Encode(outgoing.message, "s"), "s");
    const auto* same = read.message ? std::get_if<Message>(&*read.message) : nullptr;
    if (!same || !(*same == outgoing.message))
      checker_.ReportViolation("a message changes when it is encoded and decoded");
  }
  const int copies = random_.Percent(settings_.duplicate_percent) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (random_.Percent(settings_.loss_percent)) continue;
    if (cut_[static_cast<size_t>(from) * size() + static_cast<size_t>(to)]) continue;
    Schedule(now_ + random_.Span(settings_.delay_min, settings_.delay_max),
             [this, from, to, message = outgoing.message] {
               if (cut_[static_cast<size_t>(from) * size() + static_cast<size_t>(to)]) return;
               Receive(static_cast<size_t>(to), message);
             });
  }
}

void ConsensusSimulation::Receive(size_t who, const Message& message) {
  Machine& machine = machines_[who];
  if (!machine.core) return;
  if (machine.paused) {
    machine.waiting.push_back([this, who, message] { Receive(who, message); });
    return;
  }
  machine.core->OnMessage(ToLocalTime(machine), message);
  ProcessOutputs(who);
}

void ConsensusSimulation::Apply(size_t who, const consensus::Applied& applied) {
  Machine& machine = machines_[who];
  if (applied.snapshot) {
    machine.index = machine.snapshot = applied.snapshot->index;
    machine.state = LoadState(applied.snapshot->data);
    checker_.OnSnapshotApplied(machine.run, machine.index, machine.state);
    return;
  }
  checker_.OnApplied(machine.run, applied.entry);
  machine.index = applied.entry.index;
  machine.state = NextState(machine.state, applied.entry);
  if (machine.proposed.erase({applied.entry.index, applied.entry.term}) > 0) {
    checker_.OnAcknowledged(applied.entry.index, applied.entry.term, machine.core->term());
  }
}

// ----------------------------------------------------------------------------------------------- followers

void ConsensusSimulation::ScheduleFollowerTick(size_t which) {
  FollowerNode& follower_node = followers_[which];
  const Micros at = std::max(now_, follower_node.follower->next_at());
  if (follower_node.tick_at <= at) return;
  follower_node.tick_at = at;
  Schedule(at, [this, which, at] {
    if (followers_[which].tick_at != at) return;
    followers_[which].tick_at = kNever;
    followers_[which].follower->Tick(now_);
    ProcessFollower(which);
  });
}

void ConsensusSimulation::ProcessFollower(size_t which) {
  FollowerNode& follower_node = followers_[which];
  for (const consensus::Follower::Request& outgoing : follower_node.follower->TakeRequests()) {
    const int to = Find(outgoing.address);
    if (to < 0 || random_.Percent(settings_.loss_percent)) continue;
    Schedule(now_ + random_.Span(settings_.delay_min, settings_.delay_max),
             [this, which, to, request = outgoing.request] {
               Machine& machine = machines_[static_cast<size_t>(to)];
               if (!machine.core || machine.paused) return;
               const consensus::FollowResponse answer =
                   machine.core->HandleFollowRequest(ToLocalTime(machine), request);
               if (random_.Percent(settings_.loss_percent)) return;
               Schedule(now_ + random_.Span(settings_.delay_min, settings_.delay_max), [this, which, answer] {
                 followers_[which].follower->OnResponse(now_, answer);
                 ProcessFollower(which);
               });
             });
  }
  for (const consensus::Applied& applied : follower_node.follower->TakeApplied()) {
    if (applied.snapshot) {
      follower_node.index = applied.snapshot->index;
      follower_node.state = LoadState(applied.snapshot->data);
      checker_.OnSnapshotApplied(follower_node.name, follower_node.index, follower_node.state);
    } else {
      checker_.OnApplied(follower_node.name, applied.entry);
    }
  }
  ScheduleFollowerTick(which);
}

// ------------------------------------------------------------------------------------- clients and operators

void ConsensusSimulation::Propose(size_t who) {
  Machine& machine = machines_[who];
  if (!machine.core) return;
  if (machine.paused) {
    machine.waiting.push_back([this, who] { Propose(who); });
    return;
  }
  const auto taken = machine.core->Propose(ToLocalTime(machine),
                                           std::string("op").append(std::to_string(++last_operation_)));
  if (taken.refusal == consensus::Refusal::kNone) machine.proposed.insert({taken.index, taken.term});
  ProcessOutputs(who);
}

void ConsensusSimulation::Read(size_t who) {
  Machine& machine = machines_[who];
  if (!machine.core || machine.core->role() != consensus::Role::kLeader) return;
  const uint64_t token = ++last_operation_;
  checker_.OnReadStarted(token);
  const auto read = [this, who, token] {
    machines_[who].core->Read(ToLocalTime(machines_[who]), token);
    ProcessOutputs(who);
  };
  if (!machine.paused) return read();
  machine.waiting.push_back(read);
}

// Proposes at every machine that considers itself leader: at a deposed leader as often as at the new one.
void ConsensusSimulation::RunProposer() {
  for (size_t i = 0; i < size(); ++i) {
    if (core(i) && core(i)->role() == consensus::Role::kLeader && random_.Percent(70)) Propose(i);
  }
  Schedule(now_ + random_.Span(1, 2 * settings_.proposals_every), [this] { RunProposer(); });
}

void ConsensusSimulation::RunReader() {
  for (size_t i = 0; i < size(); ++i) Read(i);
  Schedule(now_ + random_.Span(1, 2 * settings_.reads_every), [this] { RunReader(); });
}

void ConsensusSimulation::Change(size_t leader, Core::Change change, const Voter& voter) {
  Machine& machine = machines_[leader];
  if (!machine.core || machine.paused) return;
  uint64_t earlier = 0;
  for (uint64_t i = machine.core->last_index(); i >= machine.core->first_index() && i > 0; --i) {
    if (machine.core->entry(i)->kind != Entry::Kind::kVoters) continue;
    earlier = i;
    break;
  }
  const uint64_t commit = machine.core->commit();
  const auto taken = machine.core->ChangeVoter(ToLocalTime(machine), change, voter);
  if (taken.refusal == consensus::Refusal::kNone) checker_.OnVoterChangeStarted(machine.run, earlier, commit);
  ProcessOutputs(leader);
}

void ConsensusSimulation::Transfer(size_t leader, size_t to) {
  Machine& machine = machines_[leader];
  if (!machine.core || machine.paused) return;
  machine.core->Transfer(ToLocalTime(machine), VoterOf(to).id);
  ProcessOutputs(leader);
}

void ConsensusSimulation::RunOperator() {
  // The operator repairs failed disks now and then; acknowledged data on them is complete.
  for (size_t i = 0; operator_enabled_ && i < size(); ++i) {
    if (!DiskLost(i) || !random_.Percent(20)) continue;
    Kill(i, Crash::kProcess);
    Start(i);
  }
  const int leader = Leader();
  if (operator_enabled_ && leader >= 0) {
    const auto at = static_cast<size_t>(leader);
    const std::vector<Voter> voters = core(at)->voters();
    bool change_requested = false;
    for (const Voter& voter : voters) {
      const int who = Find(voter.id.name);
      if (change_requested || (who >= 0 && VoterOf(static_cast<size_t>(who)).id == voter.id)) continue;
      Change(at, Core::Change::kRemove, voter);
      change_requested = true;
    }
    for (size_t i = 0; i < size() && !change_requested; ++i) {
      const Voter voter = VoterOf(i);
      if (!core(i) || std::find(voters.begin(), voters.end(), voter) != voters.end()) continue;
      Change(at, Core::Change::kAdd, voter);
      change_requested = true;
    }
  }
  Schedule(now_ + random_.Span(100 * kMs, 300 * kMs), [this] { RunOperator(); });
}

void ConsensusSimulation::RemoveVotersConcurrently() {
  for (size_t i = 0; i < size(); ++i) {
    if (!core(i) || core(i)->role() != consensus::Role::kLeader) continue;
    for (int times = 0; times < 2; ++times) {
      const std::vector<Voter> voters = core(i)->voters();
      if (voters.size() <= 2) break;
      const Voter voter = voters[random_.Below(voters.size())];
      if (voter.id != VoterOf(i).id) Change(i, Core::Change::kRemove, voter);
    }
  }
}

bool ConsensusSimulation::Converges(Micros span) {
  HealNetwork();
  SetLoss(0);
  for (size_t i = 0; i < size(); ++i) {
    Pause(i, false);
    SlowDisk(i, false);
    machines_[i].fail_next = false;
    // The operator has repaired the disk; the acknowledged data on it is complete.
    if (DiskLost(i)) Kill(i, Crash::kProcess);
    Start(i);
  }
  operator_enabled_ = true;
  if (!RunUntil([this] { return AllMachinesVote(); }, span)) return false;
  const uint64_t goal = core(static_cast<size_t>(Leader()))->last_index() + 1;
  Propose(static_cast<size_t>(Leader()));
  return RunUntil(
      [&] {
        for (const Machine& machine : machines_) {
          if (machine.index < goal) return false;
        }
        for (const FollowerNode& follower_node : followers_) {
          if (follower_node.follower->applied() < goal) return false;
        }
        return true;
      },
      span);
}

}  // namespace burlfall::lab
