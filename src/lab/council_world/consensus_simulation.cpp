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

constexpr size_t kSnapshotBytes = 300;  // some pieces

std::string SaveState(uint64_t index, uint64_t state) {
  std::string bytes = std::to_string(index);
  bytes.append(" ").append(std::to_string(state)).append(" ");
  bytes.resize(kSnapshotBytes, '.');
  return bytes;
}

uint64_t StateOf(const std::string& bytes) {
  const size_t space = bytes.find(' ');
  return space == std::string::npos ? 0 : std::stoull(bytes.substr(space + 1));
}

consensus::Rules Small(consensus::Rules rules) {
  rules.batch_entries = std::min<size_t>(rules.batch_entries, 8);
  rules.keep_entries = 16;
  rules.chunk_bytes = 100;
  rules.max_uncommitted = 64;
  rules.join_timeout = 5 * kSecond;
  return rules;
}

}  // namespace

uint64_t CouncilDraws::Next() {
  uint64_t z = state_ += 0x9e3779b97f4a7c15;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

CouncilWorld::CouncilWorld(CouncilSettings settings, uint64_t seed)
    : settings_(std::move(settings)), draws_(seed), cut_(settings_.voters * settings_.voters, false) {
  for (size_t i = 0; i < settings_.voters; ++i) {
    Machine machine;
    machine.name = std::string("v").append(std::to_string(i));
    machine.disk = 1 + draws_.Below(1u << 30);
    const auto most = static_cast<int64_t>(settings_.drift_percent) * 10'000;
    machine.drift_ppm = most == 0 ? 0 : draws_.Span(-most, most);
    machine.offset = draws_.Span(0, 1000 * kSecond);
    machines_.push_back(std::move(machine));
  }
  // One begins, and the operator brings in the others.
  machines_[0].stored = consensus::BootstrapState(VoterOf(0));
  for (size_t i = 0; i < machines_.size(); ++i) Start(i);
  std::vector<std::string> seeds;
  for (const Machine& machine : machines_) seeds.push_back(machine.name);
  for (size_t i = 0; i < settings_.followers; ++i) {
    Watcher watcher;
    watcher.name = std::string("f").append(std::to_string(i));
    watcher.follower =
        std::make_unique<consensus::Follower>(consensus::FollowerRules{}, watcher.name, seeds, draws_.Next());
    watcher.follower->Begin(0);
    watchers_.push_back(std::move(watcher));
  }
  for (size_t i = 0; i < watchers_.size(); ++i) PlanWatch(i);
  if (settings_.proposals_every > 0) At(settings_.proposals_every, [this] { Client(); });
  if (settings_.reads_every > 0) At(settings_.reads_every, [this] { Reader(); });
  At(100 * kMs, [this] { Operator(); });
}

CouncilWorld::~CouncilWorld() = default;

size_t CouncilWorld::size() const { return settings_.voters; }

void CouncilWorld::At(Micros at, std::function<void()> what) {
  events_.push({std::max(at, now_), ++numbers_, std::move(what)});
}

Micros CouncilWorld::Local(const Machine& machine) const {
  return machine.offset + now_ + now_ * machine.drift_ppm / 1'000'000;
}

Micros CouncilWorld::Global(const Machine& machine, Micros local) const {
  const Micros span = local - machine.offset;
  return span * 1'000'000 / (1'000'000 + machine.drift_ppm) + 1;
}

int CouncilWorld::Find(const std::string& name) const {
  for (size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

const Core* CouncilWorld::core(size_t who) const { return machines_[who].core.get(); }

Voter CouncilWorld::VoterOf(size_t who) const {
  const Machine& machine = machines_[who];
  return {{machine.name, machine.disk}, machine.name};
}

void CouncilWorld::RunFor(Micros span) {
  RunUntil([] { return false; }, span);
}

bool CouncilWorld::RunUntil(const std::function<bool()>& done, Micros span) {
  const Micros until = now_ + span;
  if (done()) return true;
  while (!events_.empty() && events_.top().at <= until) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.what();
    if (done()) return true;
  }
  now_ = until;
  return false;
}

int CouncilWorld::Leader() const {
  int best = -1;
  for (size_t i = 0; i < machines_.size(); ++i) {
    const Core* one = core(i);
    if (!one || one->role() != consensus::Role::kLeader) continue;
    if (best < 0 || one->term() > core(static_cast<size_t>(best))->term()) best = static_cast<int>(i);
  }
  return best;
}

bool CouncilWorld::AllVote() const {
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

void CouncilWorld::Start(size_t who) {
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
  machine.core = std::make_unique<Core>(
      consensus::Setup{VoterOf(who).id, Small(settings_.rules), draws_.Next(), 1'000'000 * kSecond});
  machine.core->Begin(Local(machine), machine.stored, true);
  Settle(who);
}

// A write on disk; `torn`: only what a crash leaves of it.
void CouncilWorld::Save(Machine& machine, const consensus::DiskWrite& write, Crash* torn) {
  consensus::PersistentState& stored = machine.stored;
  const bool part = torn != nullptr;
  if (write.term_vote && !part) {
    stored.term = write.term_vote->term;
    stored.vote = write.term_vote->vote;
  }
  if (write.snapshot) {
    // It is put in place before the log is cut by it.
    stored.snapshot = *write.snapshot;
    if (part) return;
  }
  if (write.replace_from != 0) {
    if (part && write.entries.empty()) return;
    std::erase_if(stored.log, [&](const Entry& entry) { return entry.index >= write.replace_from; });
    const size_t count = part ? draws_.Below(write.entries.size()) : write.entries.size();
    for (size_t i = 0; i < count; ++i) stored.log.push_back(write.entries[i]);
  }
  if (write.keep_from != 0) {
    std::erase_if(stored.log, [&](const Entry& entry) { return entry.index < write.keep_from; });
  }
}

void CouncilWorld::Kill(size_t who, Crash how) {
  Machine& machine = machines_[who];
  if (!machine.core) return;
  machine.core.reset();
  machine.waiting.clear();
  ++machine.incarnation;
  size_t saved = draws_.Below(machine.pending.size() + 1);
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

void CouncilWorld::Pause(size_t who, bool on) {
  Machine& machine = machines_[who];
  if (!machine.core || machine.paused == on) return;
  machine.paused = on;
  if (on) return;
  // What came in the meantime before the timers, as the carrier does it.
  const auto waiting = std::exchange(machine.waiting, {});
  const uint64_t incarnation = machine.incarnation;
  for (const auto& one : waiting) {
    if (!machine.core || machine.incarnation != incarnation) return;
    one();
  }
  machine.core->Tick(Local(machine));
  Settle(who);
}

void CouncilWorld::Wipe(size_t who) {
  Machine& machine = machines_[who];
  if (machine.core) return;
  machine.stored = {};
  if (!settings_.wiped_keeps_disk) machine.disk = 1 + draws_.Below(1u << 30);
}

void CouncilWorld::CutAll(size_t who, bool in, bool out, bool on) {
  for (size_t i = 0; i < size(); ++i) {
    if (i == who) continue;
    if (in) Cut(i, who, on);
    if (out) Cut(who, i, on);
  }
}

void CouncilWorld::HealNetwork() { cut_.assign(cut_.size(), false); }

void CouncilWorld::SlowDisk(size_t who, bool on) { machines_[who].slow_disk = on; }
void CouncilWorld::FailFlush(size_t who) { machines_[who].fail_next = true; }
bool CouncilWorld::DiskLost(size_t who) const { return core(who) && !core(who)->may_vote(); }

// ------------------------------------------------------------------------------------ what a core wants

void CouncilWorld::Settle(size_t who) {
  Machine& machine = machines_[who];
  if (!machine.core) return;
  Core& core = *machine.core;
  std::vector<consensus::Notice> notices = core.TakeNotices();
  for (const consensus::Notice& notice : notices) {
    if (notice.kind == consensus::Notice::Kind::kBecameLeader) {
      std::vector<Entry> log;
      for (uint64_t i = core.first_index(); i <= core.last_index(); ++i) log.push_back(*core.entry(i));
      judge_.TookOffice(machine.run, notice.term, log);
    } else if (notice.kind == consensus::Notice::Kind::kOlderDisk) {
      judge_.Broken(machine.run + " takes a disk for an older one");  // none is, in these courses
    } else if (notice.kind == consensus::Notice::Kind::kMessageDropped &&
               notice.text == "two leaders in a term") {
      judge_.Broken(notice.text + " heard by " + machine.run);
    }
  }
  for (consensus::DiskWrite& write : core.TakeWrites()) {
    uint64_t before = 0;
    if (!write.entries.empty()) {
      const Entry* entry = core.entry(write.replace_from - 1);
      before = entry ? entry->term : 0;
      // Cut again within one event, or kept no more: nothing to compare.
      const Entry* first = core.entry(write.replace_from);
      const bool there =
          first && first->term == write.entries.front().term && (entry || write.replace_from == 1);
      if (there) judge_.InLog(machine.run, before, write.entries.front());
      for (size_t i = 1; i < write.entries.size(); ++i) {
        judge_.InLog(machine.run, write.entries[i - 1].term, write.entries[i]);
      }
    }
    machine.pending.push_back({std::move(write), std::exchange(machine.fail_next, false)});
  }
  Flush(who);
  for (const consensus::Outgoing& outgoing : core.TakeMessages()) Deliver(static_cast<int>(who), outgoing);
  for (const consensus::Applied& applied : core.TakeApplied()) Apply(who, applied);
  for (const consensus::ReadResult& answer : core.TakeReads()) {
    if (answer.refusal == consensus::Refusal::kNone) {
      if (machine.index < answer.index && answer.index > 1) judge_.Broken("a read before its entries");
      judge_.ReadAnswered(answer.token, machine.index);
    }
  }
  if (machine.index >= machine.snapshot + settings_.snapshot_every) {
    machine.snapshot = machine.index;
    core.SaveSnapshot(Local(machine), machine.index, SaveState(machine.index, machine.state));
    return Settle(who);
  }
  Plan(who);
}

void CouncilWorld::Plan(size_t who) {
  Machine& machine = machines_[who];
  const Micros local = machine.core->next_at();
  if (local == kNever) return;
  const Micros at = std::max(now_, Global(machine, local));
  // The one that is planned earlier finds that there is nothing to do, and plans anew.
  if (machine.tick_at <= at && machine.tick_at >= now_) return;
  machine.tick_at = at;
  At(at, [this, who, incarnation = machine.incarnation, at] {
    Machine& one = machines_[who];
    if (!one.core || one.incarnation != incarnation) return;
    if (one.tick_at == at) one.tick_at = kNever;
    if (one.paused) return;
    one.core->Tick(Local(one));
    Settle(who);
  });
}

// All that waits goes with one flush; what comes meanwhile, with the next.
void CouncilWorld::Flush(size_t who) {
  Machine& machine = machines_[who];
  if (machine.disk_failed || machine.flushing > 0 || machine.pending.empty()) return;
  machine.flushing = machine.pending.size();
  const Micros span = machine.slow_disk ? draws_.Span(20 * kMs, 300 * kMs)
                                        : draws_.Span(settings_.flush_least, settings_.flush_most);
  At(now_ + span, [this, who, incarnation = machine.incarnation] {
    if (machines_[who].core && machines_[who].incarnation == incarnation) Flushed(who);
  });
}

void CouncilWorld::Flushed(size_t who) {
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
  // Nothing is written after a write that failed.
  machine.disk_failed = machine.disk_failed || (failed && settings_.rules.stops_on_failed_write);
  if (machine.disk_failed) machine.pending.clear();
  const auto tell = [this, who, number, failed] {
    machines_[who].core->OnWritten(Local(machines_[who]), number, !failed);
    Settle(who);
  };
  Flush(who);
  // The disk goes on where the process stands; it hears of it when it wakes.
  if (!machine.paused) return tell();
  machine.waiting.push_back(tell);
}

void CouncilWorld::Deliver(int from, const consensus::Outgoing& outgoing) {
  const int to = Find(outgoing.message.to.name);
  if (to < 0) return;
  if (settings_.through_wire) {
    const auto read = consensus::Decode(consensus::Encode(outgoing.message, "s"), "s");
    const auto* same = read.message ? std::get_if<Message>(&*read.message) : nullptr;
    if (!same || !(*same == outgoing.message)) judge_.Broken("a message is another one after the wire");
  }
  const int copies = draws_.Percent(settings_.double_percent) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (draws_.Percent(settings_.loss_percent)) continue;
    if (cut_[static_cast<size_t>(from) * size() + static_cast<size_t>(to)]) continue;
    At(now_ + draws_.Span(settings_.delay_least, settings_.delay_most),
       [this, from, to, message = outgoing.message] {
         if (cut_[static_cast<size_t>(from) * size() + static_cast<size_t>(to)]) return;
         Arrive(static_cast<size_t>(to), message);
       });
  }
}

void CouncilWorld::Arrive(size_t who, const Message& message) {
  Machine& machine = machines_[who];
  if (!machine.core) return;
  if (machine.paused) {
    machine.waiting.push_back([this, who, message] { Arrive(who, message); });
    return;
  }
  machine.core->OnMessage(Local(machine), message);
  Settle(who);
}

void CouncilWorld::Apply(size_t who, const consensus::Applied& applied) {
  Machine& machine = machines_[who];
  if (applied.snapshot) {
    machine.index = machine.snapshot = applied.snapshot->index;
    machine.state = StateOf(applied.snapshot->data);
    judge_.AppliedSnapshot(machine.run, machine.index, machine.state);
    return;
  }
  judge_.Applied(machine.run, applied.entry);
  machine.index = applied.entry.index;
  machine.state = NextState(machine.state, applied.entry);
  if (machine.proposed.erase({applied.entry.index, applied.entry.term}) > 0) {
    judge_.Acknowledged(applied.entry.index, applied.entry.term, machine.core->term());
  }
}

// ------------------------------------------------------------------------------------------- who only
// follows

void CouncilWorld::PlanWatch(size_t which) {
  Watcher& watcher = watchers_[which];
  const Micros at = std::max(now_, watcher.follower->next_at());
  if (watcher.tick_at <= at) return;
  watcher.tick_at = at;
  At(at, [this, which, at] {
    if (watchers_[which].tick_at != at) return;
    watchers_[which].tick_at = kNever;
    watchers_[which].follower->Tick(now_);
    Watch(which);
  });
}

void CouncilWorld::Watch(size_t which) {
  Watcher& watcher = watchers_[which];
  for (const consensus::Follower::Request& ask : watcher.follower->TakeRequests()) {
    const int to = Find(ask.address);
    if (to < 0 || draws_.Percent(settings_.loss_percent)) continue;
    At(now_ + draws_.Span(settings_.delay_least, settings_.delay_most),
       [this, which, to, asked = ask.request] {
         Machine& machine = machines_[static_cast<size_t>(to)];
         if (!machine.core || machine.paused) return;
         const consensus::FollowResponse answer = machine.core->HandleFollowRequest(Local(machine), asked);
         if (draws_.Percent(settings_.loss_percent)) return;
         At(now_ + draws_.Span(settings_.delay_least, settings_.delay_most), [this, which, answer] {
           watchers_[which].follower->OnResponse(now_, answer);
           Watch(which);
         });
       });
  }
  for (const consensus::Applied& applied : watcher.follower->TakeApplied()) {
    if (applied.snapshot) {
      watcher.index = applied.snapshot->index;
      watcher.state = StateOf(applied.snapshot->data);
      judge_.AppliedSnapshot(watcher.name, watcher.index, watcher.state);
    } else {
      judge_.Applied(watcher.name, applied.entry);
    }
  }
  PlanWatch(which);
}

// ------------------------------------------------------------------------------------- clients and operators

void CouncilWorld::Propose(size_t who) {
  Machine& machine = machines_[who];
  if (!machine.core) return;
  if (machine.paused) {
    machine.waiting.push_back([this, who] { Propose(who); });
    return;
  }
  const auto taken =
      machine.core->Propose(Local(machine), std::string("op").append(std::to_string(++operation_)));
  if (taken.refusal == consensus::Refusal::kNone) machine.proposed.insert({taken.index, taken.term});
  Settle(who);
}

void CouncilWorld::Read(size_t who) {
  Machine& machine = machines_[who];
  if (!machine.core || machine.core->role() != consensus::Role::kLeader) return;
  const uint64_t token = ++operation_;
  judge_.ReadBegan(token);
  const auto read = [this, who, token] {
    machines_[who].core->Read(Local(machines_[who]), token);
    Settle(who);
  };
  if (!machine.paused) return read();
  machine.waiting.push_back(read);
}

// Whoever believes that it leads is asked: an old leader as often as the new one.
void CouncilWorld::Client() {
  for (size_t i = 0; i < size(); ++i) {
    if (core(i) && core(i)->role() == consensus::Role::kLeader && draws_.Percent(70)) Propose(i);
  }
  At(now_ + draws_.Span(1, 2 * settings_.proposals_every), [this] { Client(); });
}

void CouncilWorld::Reader() {
  for (size_t i = 0; i < size(); ++i) Read(i);
  At(now_ + draws_.Span(1, 2 * settings_.reads_every), [this] { Reader(); });
}

void CouncilWorld::Change(size_t leader, Core::Change change, const Voter& voter) {
  Machine& machine = machines_[leader];
  if (!machine.core || machine.paused) return;
  uint64_t earlier = 0;
  for (uint64_t i = machine.core->last_index(); i >= machine.core->first_index() && i > 0; --i) {
    if (machine.core->entry(i)->kind != Entry::Kind::kVoters) continue;
    earlier = i;
    break;
  }
  const uint64_t commit = machine.core->commit();
  const auto taken = machine.core->ChangeVoter(Local(machine), change, voter);
  if (taken.refusal == consensus::Refusal::kNone) judge_.ChangeBegan(machine.run, earlier, commit);
  Settle(leader);
}

void CouncilWorld::Transfer(size_t leader, size_t to) {
  Machine& machine = machines_[leader];
  if (!machine.core || machine.paused) return;
  machine.core->Transfer(Local(machine), VoterOf(to).id);
  Settle(leader);
}

void CouncilWorld::Operator() {
  // The staff mends a disk now and then; what was promised on it is whole.
  for (size_t i = 0; operates_ && i < size(); ++i) {
    if (!DiskLost(i) || !draws_.Percent(20)) continue;
    Kill(i, Crash::kProcess);
    Start(i);
  }
  const int leader = Leader();
  if (operates_ && leader >= 0) {
    const auto at = static_cast<size_t>(leader);
    const std::vector<Voter> voters = core(at)->voters();
    bool asked = false;
    for (const Voter& voter : voters) {
      const int who = Find(voter.id.name);
      if (asked || (who >= 0 && VoterOf(static_cast<size_t>(who)).id == voter.id)) continue;
      Change(at, Core::Change::kRemove, voter);
      asked = true;
    }
    for (size_t i = 0; i < size() && !asked; ++i) {
      const Voter voter = VoterOf(i);
      if (!core(i) || std::find(voters.begin(), voters.end(), voter) != voters.end()) continue;
      Change(at, Core::Change::kAdd, voter);
      asked = true;
    }
  }
  At(now_ + draws_.Span(100 * kMs, 300 * kMs), [this] { Operator(); });
}

void CouncilWorld::OperateHastily() {
  for (size_t i = 0; i < size(); ++i) {
    if (!core(i) || core(i)->role() != consensus::Role::kLeader) continue;
    for (int times = 0; times < 2; ++times) {
      const std::vector<Voter> voters = core(i)->voters();
      if (voters.size() <= 2) break;
      const Voter voter = voters[draws_.Below(voters.size())];
      if (voter.id != VoterOf(i).id) Change(i, Core::Change::kRemove, voter);
    }
  }
}

bool CouncilWorld::Settles(Micros span) {
  HealNetwork();
  SetLoss(0);
  for (size_t i = 0; i < size(); ++i) {
    Pause(i, false);
    SlowDisk(i, false);
    machines_[i].fail_next = false;
    // The staff has mended the disk, and what is on it is whole.
    if (DiskLost(i)) Kill(i, Crash::kProcess);
    Start(i);
  }
  operates_ = true;
  if (!RunUntil([this] { return AllVote(); }, span)) return false;
  const uint64_t goal = core(static_cast<size_t>(Leader()))->last_index() + 1;
  Propose(static_cast<size_t>(Leader()));
  return RunUntil(
      [&] {
        for (const Machine& machine : machines_) {
          if (machine.index < goal) return false;
        }
        for (const Watcher& watcher : watchers_) {
          if (watcher.follower->applied() < goal) return false;
        }
        return true;
      },
      span);
}

}  // namespace burlfall::lab
