#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "lab/council_judge/simulation.h"
#include "lab/council_judge/timeline.h"
#include "owner/executor.h"
#include "owner/holder.h"
#include "owner/lease_expiry.h"
#include "owner/owner.h"

namespace burlfall::lab {
namespace {

constexpr const char* kWorks[] = {"freeze", "list_call"};
constexpr size_t kMembers = 4;
constexpr size_t kExecutors = 3;
constexpr Micros kTick = 25 * kMs;

struct Member {
  owner::ProcessId who;
  DriftingClock clock;
  std::vector<owner::LeaseHolder> holders;  // by work
  Micros still_until = 0;                   // it stands still, or is dead
};

struct Place {
  std::string name;
  bool disk = false;
  std::optional<std::string> file;
  std::unique_ptr<owner::Executor> executor;
  uint64_t life = 0;
};

struct Act {
  uint64_t number = 0;
  size_t work = 0;
  uint64_t epoch = 0;
  size_t by = 0;
  int tries = 0;
};

class OwnerPlay {
 public:
  OwnerPlay(const PlayOptions& options, OwnerFault fault)
      : options_(options), fault_(fault), time_(options.seed), lapse_(options.drift) {
    played_.facts.bound = options.bound;
  }

  Played Run() {
    for (size_t i = 0; i < kMembers; ++i) {
      members_.push_back({{std::string("m").append(std::to_string(i)), 1},
                          DriftingClock::Drawn(time_, options_.apart),
                          {},
                          0});
      Live(i);
      time_.After(time_.Between(0, kTick), [this, i] { TickMember(i); });
    }
    for (size_t i = 0; i < kExecutors; ++i) {
      Place place;
      place.name = std::string("x").append(std::to_string(i));
      place.disk = i != 0;
      places_.push_back(std::move(place));
      Restart(i);
      time_.After(time_.Between(2 * kSecond, 6 * kSecond), [this, i] { Crash(i); });
    }
    TakeOffice();
    time_.After(kTick, [this] { TickLeader(); });
    if (time_.Chance(0.4) || fault_ == OwnerFault::kNoFloor) {
      time_.At(time_.Between(options_.length / 4, options_.length / 2), [this] { BeginAnew(); });
    }
    time_.Run(options_.length);
    return std::move(played_);
  }

 private:
  void See(Seen::What what, const std::string& place, const Act& act) {
    Seen seen;
    seen.at = time_.now();
    seen.what = what;
    seen.place = place;
    seen.work = kWorks[act.work];
    seen.epoch = act.epoch;
    seen.act = act.number;
    played_.history.push_back(std::move(seen));
  }

  Micros Way() {
    return time_.Chance(0.05) ? time_.Between(0, 4 * kSecond) : time_.Between(1 * kMs, 40 * kMs);
  }
  // On its way: lost, late, or twice.
  void Send(const std::function<void()>& what) {
    if (time_.Chance(options_.loss)) return;
    time_.After(Way(), what);
    if (time_.Chance(0.05)) time_.After(Way(), what);
  }

  // The council.
  void TakeOffice() {
    ++played_.leaders;
    leads_ = true;
    leader_clock_ = DriftingClock::Drawn(time_, options_.apart);
    lapse_.BecomeLeader(leader_clock_.Read(time_.now()), state_.Leases());
    time_.After(time_.Between(2 * kSecond, 10 * kSecond), [this] {
      leads_ = false;
      time_.After(time_.Between(100 * kMs, 2 * kSecond), [this] { TakeOffice(); });
    });
  }

  void TickLeader() {
    time_.After(kTick, [this] { TickLeader(); });
    if (!leads_) return;
    for (const owner::Lease& lease : lapse_.Due(leader_clock_.Read(time_.now()))) {
      // What is in the log already may overtake it.
      time_.After(time_.Between(0, 30 * kMs), [this, lease] { Apply(owner::MakeExpireCommand(lease)); });
    }
    if (!time_.Chance(0.005)) return;
    owner::Command command;
    command.task = kWorks[time_.Below(2)];
    command.by = "anna";
    command.reason = "rolled to another zone";
    command.kind = owner::Command::Kind::kRevoke;
    if (time_.Chance(0.5)) {
      const auto work = state_.tasks().find(command.task);
      if (work == state_.tasks().end()) return;
      command.kind = owner::Command::Kind::kHandOver;
      command.epoch = work->second.epoch;
      command.to = members_[time_.Below(kMembers)].who;
    }
    Apply(command);
  }

  void Apply(const owner::Command& command) {
    if (!leads_) return;
    index_ += 1 + (time_.Chance(0.1) ? time_.Below(5) : 0);
    // As it goes over the wire and into the log.
    const std::optional<owner::Command> read = owner::ReadCommand(owner::Write(command));
    const owner::Effects effects = state_.Apply(index_, leader_clock_.Read(time_.now()), *read);
    if (time_.Chance(0.01)) state_ = *owner::State::Load(state_.Save());
    owner::TrackLeases(lapse_, leader_clock_.Read(time_.now()), effects);
    for (const owner::Effect& effect : effects) {
      if (effect.what == owner::Effect::What::kGranted) {
        ++played_.grants;
        Seen seen;
        seen.at = time_.now();
        seen.what = Seen::What::kOwned;
        seen.work = effect.task;
        seen.who = effect.who;
        seen.epoch = effect.epoch;
        played_.history.push_back(std::move(seen));
      }
      Send([this, effect] { Deliver(effect); });
    }
  }

  // All voters' disks are lost. Staff begin anew, with a floor above all that was given.
  void BeginAnew() {
    const uint64_t above = state_.last_epoch() + 1000;
    state_ = owner::State();
    index_ = 0;
    lapse_.BecomeLeader(leader_clock_.Read(time_.now()), {});
    const bool led = std::exchange(leads_, true);
    owner::Command command;
    command.kind = owner::Command::Kind::kFloor;
    command.epoch = above;
    command.by = "anna";
    if (fault_ != OwnerFault::kNoFloor) Apply(command);
    leads_ = led;
  }

  // Members.
  void Live(size_t i) {
    Member& member = members_[i];
    member.holders.clear();
    for (const char* work : kWorks) {
      member.holders.emplace_back(member.who, work, owner::HolderRules{});
      member.holders.back().Acquire();
    }
  }

  void Stand(Member& member) {
    ++played_.pauses;
    constexpr Micros kSpans[] = {200 * kMs, 2 * kSecond, 10 * kSecond, 30 * kSecond};
    member.still_until = time_.now() + kSpans[time_.Below(4)];
  }

  void Deliver(const owner::Effect& effect) {
    for (size_t i = 0; i < kMembers; ++i) {
      Member& member = members_[i];
      if (member.who.name != effect.who.name) continue;
      if (time_.now() < member.still_until) {
        time_.At(member.still_until, [this, effect] { Deliver(effect); });
        return;
      }
      for (owner::LeaseHolder& holder : member.holders)
        holder.OnEffect(member.clock.Read(time_.now()), effect);
    }
  }

  void TickMember(size_t i) {
    Member& member = members_[i];
    time_.At(std::max(member.still_until, time_.now()) + kTick, [this, i] { TickMember(i); });
    if (time_.now() < member.still_until) return;
    if (time_.Chance(0.001)) {
      ++played_.deaths;
      ++member.who.incarnation;
      Live(i);
      member.still_until = time_.now() + time_.Between(0, 3 * kSecond);
      return;
    }
    if (time_.Chance(0.003)) {
      Stand(member);
      return;
    }
    for (size_t work = 0; work < member.holders.size(); ++work) {
      owner::LeaseHolder& holder = member.holders[work];
      for (const owner::Command& command : holder.Tick(member.clock.Read(time_.now()))) {
        Send([this, command] { Apply(command); });
      }
      if (holder.stopping() || time_.Chance(0.001)) {
        holder.Release();
        time_.After(time_.Between(kMs, kSecond), [this, i, work] { members_[i].holders[work].Acquire(); });
      }
      if (!holder.owns() || !time_.Chance(0.3)) continue;
      const owner::Permit permit = holder.MayAct(member.clock.Read(time_.now()));
      if (!permit.ok()) continue;
      Act act{0, work, permit.epoch, i, 0};
      // Stopped between its check and its act.
      if (time_.Chance(0.02)) Stand(member);
      const size_t to = time_.Below(kExecutors);
      time_.At(std::max(time_.now(), member.still_until),
               [this, act, to] {  // One that comes twice is two: each has its own answer.
                 Send([this, act, to] {
                   Act arrived = act;
                   arrived.number = ++acts_;
                   Obey(to, arrived);
                 });
               });
    }
  }

  // Whoever is acted upon.
  void Restart(size_t i) {
    Place& place = places_[i];
    ++place.life;
    owner::ExecutorRules rules;
    rules.disk = place.disk;
    std::optional<std::string_view> kept;
    if (place.disk && place.file) kept = *place.file;
    place.executor = std::make_unique<owner::Executor>(rules, kept);
    const bool empty = !place.disk || !place.file || place.executor->damaged();
    if ((fault_ == OwnerFault::kForgets && empty) ||
        (fault_ == OwnerFault::kDamagedIsEmpty && place.executor->damaged())) {
      for (const char* work : kWorks) place.executor->SetCurrentEpoch(work, 0);
    }
  }

  void Crash(size_t i) {
    time_.After(time_.Between(1 * kSecond, 8 * kSecond), [this, i] { Crash(i); });
    Die(i);
  }

  void Die(size_t i) {
    Place& place = places_[i];
    ++played_.deaths;
    if (time_.Chance(0.05)) place.file.reset();
    if (place.file && !place.file->empty() && time_.Chance(0.05)) {
      (*place.file)[time_.Below(place.file->size())] ^= 1;
    }
    Restart(i);
  }

  void Obey(size_t i, Act act) {
    Place& place = places_[i];
    const owner::Executor::Verdict verdict = place.executor->Check(kWorks[act.work], act.epoch);
    const uint64_t life = place.life;
    auto again = [this, i, act, life](Micros span) mutable {
      if (++act.tries > 20) return;
      time_.After(span, [this, i, act, life] {
        if (places_[i].life == life) Obey(i, act);
      });
    };
    const auto obey = [&] {
      ++played_.obeyed;
      See(Seen::What::kObeyed, place.name, act);
      See(Seen::What::kHadEffect, place.name, act);
    };
    switch (verdict.error) {
      case owner::Error::kNone:
        obey();
        return;
      case owner::Error::kFenced: {
        if (fault_ == OwnerFault::kNoCheck) {
          obey();
          return;
        }
        ++played_.fenced;
        See(Seen::What::kFencedAct, place.name, act);
        if (fault_ == OwnerFault::kEffectsOfFenced) See(Seen::What::kHadEffect, place.name, act);
        const uint64_t epoch = act.epoch;
        Send([this, act, epoch] { members_[act.by].holders[act.work].OnFenced(epoch); });
        return;
      }
      case owner::Error::kNotTold:
        // A read that claims to be current, asked for from here on.
        if (fault_ == OwnerFault::kStaleRead) {
          place.executor->SetCurrentEpoch(kWorks[act.work], old_[act.work]);
        } else {
          Send([this, i, act, life] {
            if (!leads_) return;
            const uint64_t epoch = state_.EpochOf(kWorks[act.work]);
            Send([this, i, act, life, epoch] {
              if (places_[i].life == life) places_[i].executor->SetCurrentEpoch(kWorks[act.work], epoch);
            });
          });
        }
        again(50 * kMs);
        return;
      case owner::Error::kNotWritten:
      case owner::Error::kDiskLost:
        if (const auto write = place.executor->NextWrite()) {
          // A crash before that time keeps the old file.
          const Micros span = time_.Between(kMs, 60 * kMs);
          if (time_.Chance(0.1)) {
            time_.After(span / 2, [this, i, life] {
              if (places_[i].life == life) Die(i);
            });
          }
          time_.After(span, [this, i, life, write = *write] {
            if (places_[i].life != life) return;
            const bool ok = !time_.Chance(0.15);
            if (ok) places_[i].file = write.bytes;
            places_[i].executor->OnWritten(write.number, ok || fault_ == OwnerFault::kFailedIsWritten);
          });
        }
        if (fault_ == OwnerFault::kObeysUnwritten) {
          obey();
        } else {
          again(20 * kMs);
        }
        return;
      default:
        return;
    }
  }

  const PlayOptions options_;
  const OwnerFault fault_;
  Timeline time_;
  Played played_;
  owner::State state_;
  uint64_t index_ = 0;
  bool leads_ = false;
  DriftingClock leader_clock_;
  owner::LeaseExpiry lapse_;
  std::vector<Member> members_;
  std::vector<Place> places_;
  uint64_t acts_ = 0;
  uint64_t old_[2] = {};  // what a reader far behind would be told
};

}  // namespace

const char* NameOf(OwnerFault fault) {
  constexpr const char* kNames[] = {
      "none",       "no_check", "forgets",           "obeys_unwritten", "failed_is_written",
      "stale_read", "no_floor", "effects_of_fenced", "damaged_is_empty"};
  return kNames[static_cast<size_t>(fault)];
}

Played PlayOwners(const PlayOptions& options, OwnerFault fault) { return OwnerPlay(options, fault).Run(); }

}  // namespace burlfall::lab
