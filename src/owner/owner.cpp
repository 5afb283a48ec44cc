#include "owner/owner.h"

#include <algorithm>

#include "owner/bytes.h"

namespace burlfall::owner {
namespace {

constexpr std::string_view kCommandTag = "bfoc";
constexpr std::string_view kStateTag = "bfos";
constexpr Micros kMaxLease = 3600 * kSecond;
constexpr uint64_t kMaxTasks = 1024;
constexpr uint64_t kMaxWaiters = 256;
constexpr size_t kMaxValues = 1 << 20;
constexpr uint64_t kMaxFloor = uint64_t{1} << 62;  // leaves room for epochs above it

void Put(Writer& to, const ProcessId& who) { to.Text(who.name).Number(who.incarnation); }
ProcessId ReadProcessId(Reader& from) {
  ProcessId who;
  who.name = from.Text(kMaxNameSize);
  who.incarnation = from.Number();
  return who;
}

void Put(Writer& to, const std::optional<ProcessId>& who) {
  to.Flag(who.has_value());
  Put(to, who.value_or(ProcessId{}));
}
std::optional<ProcessId> ReadOptionalProcessId(Reader& from) {
  const bool some = from.Flag();
  ProcessId who = ReadProcessId(from);
  return some ? std::optional<ProcessId>(std::move(who)) : std::nullopt;
}

void Put(Writer& to, const Rules& rules) {
  to.Duration(rules.lease).Number(rules.max_tasks).Number(rules.max_waiters);
}
Rules ReadRules(Reader& from) {
  Rules rules;
  rules.lease = from.Duration();
  rules.max_tasks = from.Number(kMaxTasks);
  rules.max_waiters = from.Number(kMaxWaiters);
  return rules;
}

bool IsName(const std::string& name) { return !name.empty() && name.size() <= kMaxNameSize; }

bool IsValid(const Command& command) {
  if (command.reason.size() > kMaxReasonSize || command.by.size() > kMaxNameSize) return false;
  const bool task = IsName(command.task);
  switch (command.kind) {
    case Command::Kind::kAcquire:
    case Command::Kind::kRenew:
    case Command::Kind::kRelease:
      return task && IsName(command.who.name);
    case Command::Kind::kHandOver:
      return task && IsName(command.to.name);
    case Command::Kind::kRevoke:
      return task && !command.by.empty() && !command.reason.empty();
    case Command::Kind::kExpire:
      return task;
    case Command::Kind::kFloor:
      return command.epoch <= kMaxFloor && !command.by.empty();
    case Command::Kind::kRules:
      return command.rules.lease > 0 && command.rules.lease <= kMaxLease && command.rules.max_tasks >= 1 &&
             command.rules.max_tasks <= kMaxTasks && command.rules.max_waiters >= 1 &&
             command.rules.max_waiters <= kMaxWaiters;
  }
  return false;
}

Effect Answer(Effect::What what, const Command& command) {
  Effect effect;
  effect.what = what;
  effect.task = command.task;
  effect.who = command.who;
  effect.request = command.request;
  effect.by = command.by;
  effect.reason = command.reason;
  return effect;
}

}  // namespace

const char* NameOf(Effect::What what) {
  constexpr const char* kNames[] = {"granted", "renewed", "queued", "refused", "stop", "over"};
  return kNames[static_cast<size_t>(what)];
}

std::string Write(const Command& command) {
  Writer to;
  to.EnumValue(command.kind).Text(command.task);
  Put(to, command.who);
  to.Number(command.epoch).Number(command.request).Number(command.renewed_index);
  Put(to, command.to);
  to.Text(command.by).Text(command.reason);
  Put(to, command.rules);
  return to.Finish(kCommandTag);
}

std::optional<Command> ReadCommand(std::string_view bytes) {
  Reader from(bytes, kCommandTag, 32);
  Command command;
  command.kind = from.EnumValue(Command::Kind::kRules);
  command.task = from.Text(kMaxNameSize);
  command.who = ReadProcessId(from);
  command.epoch = from.Number();
  command.request = from.Number();
  command.renewed_index = from.Number();
  command.to = ReadProcessId(from);
  command.by = from.Text(kMaxNameSize);
  command.reason = from.Text(kMaxReasonSize);
  command.rules = ReadRules(from);
  return from.Done() ? std::optional<Command>(std::move(command)) : std::nullopt;
}

void State::Grant(uint64_t index, Micros at, const std::string& name, const ProcessId& who, uint64_t request,
                  Effects& effects) {
  OwnedTask& task = tasks_[name];
  last_epoch_ = std::max({index, floor_ + 1, last_epoch_ + 1});
  task.owner = who;
  task.epoch = last_epoch_;
  task.renewed_index = index;
  task.since = at;
  task.lease = rules_.lease;
  task.stop_reason = Error::kNone;
  task.successor.reset();
  if (task.barred != task.owner) task.barred.reset();
  std::erase_if(task.queue, [&](const Waiter& waiter) { return waiter.who.name == who.name; });
  Effect effect;
  effect.what = Effect::What::kGranted;
  effect.task = name;
  effect.who = who;
  effect.epoch = task.epoch;
  effect.request = request;
  effect.lease = task.lease;
  effect.renewed_index = index;
  effects.push_back(std::move(effect));
}

void State::EndOwnership(uint64_t index, Micros at, const std::string& name, Error why, Effects& effects) {
  OwnedTask& task = tasks_[name];
  Effect effect;
  effect.what = Effect::What::kEnded;
  effect.task = name;
  effect.who = *task.owner;
  effect.epoch = task.epoch;
  effect.error = why;
  effects.push_back(std::move(effect));
  task.owner.reset();
  task.stop_reason = Error::kNone;
  if (task.successor) {
    const ProcessId successor = *task.successor;
    uint64_t request = 0;
    for (const Waiter& waiter : task.queue) {
      if (waiter.who == successor) request = waiter.request;
    }
    Grant(index, at, name, successor, request, effects);
    return;
  }
  for (const Waiter& waiter : std::deque<Waiter>(task.queue)) {
    if (task.barred == waiter.who) continue;
    Grant(index, at, name, waiter.who, waiter.request, effects);
    return;
  }
}

Effects State::Apply(uint64_t index, Micros at, const Command& command) {
  council_time_ = std::max(council_time_, at);
  Effects effects;
  const auto refuse = [&](Error error, uint64_t epoch = 0) {
    Effect effect = Answer(Effect::What::kRefused, command);
    effect.error = error;
    effect.epoch = epoch;
    effects.push_back(std::move(effect));
  };
  if (!IsValid(command)) {
    refuse(Error::kMalformed);
    return effects;
  }
  if (command.kind == Command::Kind::kRules) {
    rules_ = command.rules;
    return effects;
  }
  if (command.kind == Command::Kind::kFloor) {
    floor_ = std::max(floor_, command.epoch);
    for (auto& [name, task] : tasks_) {
      if (!task.owner || task.epoch > floor_) continue;
      task.stop_reason = Error::kFenced;
      Effect effect = Answer(Effect::What::kStop, command);
      effect.task = name;
      effect.who = *task.owner;
      effect.epoch = task.epoch;
      effect.error = Error::kFenced;
      effects.push_back(std::move(effect));
    }
    return effects;
  }
  auto found = tasks_.find(command.task);
  if (found == tasks_.end()) {
    if (command.kind != Command::Kind::kAcquire) {
      refuse(Error::kUnknownWork);
      return effects;
    }
    if (tasks_.size() >= rules_.max_tasks) {
      refuse(Error::kTooMany);
      return effects;
    }
    found = tasks_.try_emplace(command.task).first;
  }
  OwnedTask& task = found->second;
  const bool owns = task.owner == command.who && command.epoch == task.epoch;
  const auto refuse_epoch = [&] {
    refuse(command.epoch < task.epoch ? Error::kFenced
           : task.owner               ? Error::kNotOwner
                                      : Error::kLeaseOver,
           task.epoch);
  };
  switch (command.kind) {
    case Command::Kind::kAcquire: {
      if (task.owner == command.who) {
        // The answer was lost: repeats the same grant, as a renewal.
        if (task.stop_reason != Error::kNone) {
          refuse(task.stop_reason, task.epoch);
          break;
        }
        task.renewed_index = index;
        Effect effect = Answer(Effect::What::kGranted, command);
        effect.epoch = task.epoch;
        effect.lease = task.lease;
        effect.renewed_index = index;
        effects.push_back(std::move(effect));
        break;
      }
      if (task.barred == command.who) {
        refuse(Error::kTakenAway, task.epoch);
        break;
      }
      if (!task.owner) {
        Grant(index, council_time_, command.task, command.who, command.request, effects);
        break;
      }
      const auto queued = std::find_if(task.queue.begin(), task.queue.end(), [&](const Waiter& waiter) {
        return waiter.who.name == command.who.name;
      });
      if (queued != task.queue.end()) {
        // A late message of an earlier incarnation does not replace the later one.
        if (queued->who.incarnation <= command.who.incarnation) *queued = {command.who, command.request};
      } else if (task.queue.size() >= rules_.max_waiters) {
        refuse(Error::kTooMany, task.epoch);
        break;
      } else {
        task.queue.push_back({command.who, command.request});
      }
      Effect effect = Answer(Effect::What::kQueued, command);
      effect.epoch = task.epoch;
      effects.push_back(std::move(effect));
      break;
    }
    case Command::Kind::kRenew: {
      if (!owns) {
        refuse_epoch();
      } else if (task.stop_reason != Error::kNone) {
        refuse(task.stop_reason, task.epoch);
      } else {
        task.renewed_index = index;
        task.lease = rules_.lease;
        Effect effect = Answer(Effect::What::kRenewed, command);
        effect.epoch = task.epoch;
        effect.lease = task.lease;
        effect.renewed_index = index;
        effects.push_back(std::move(effect));
      }
      break;
    }
    case Command::Kind::kRelease:
      if (command.epoch == 0) {
        std::erase_if(task.queue, [&](const Waiter& waiter) { return waiter.who == command.who; });
        if (task.successor == command.who) task.successor.reset();
      } else if (!owns) {
        refuse_epoch();
      } else {
        EndOwnership(index, council_time_, command.task, Error::kNone, effects);
      }
      break;
    case Command::Kind::kHandOver:
    case Command::Kind::kRevoke: {
      const bool hand_over = command.kind == Command::Kind::kHandOver;
      if (!task.owner || (command.epoch != task.epoch && (hand_over || command.epoch != 0))) {
        refuse_epoch();
        break;
      }
      if (hand_over && command.to == task.owner) {
        refuse(Error::kMalformed, task.epoch);
        break;
      }
      if (hand_over) {
        task.successor = command.to;
      } else {
        task.barred = task.owner;
        if (task.successor == task.barred) task.successor.reset();
      }
      task.stop_reason = hand_over ? Error::kHandedOver : Error::kTakenAway;
      Effect effect = Answer(Effect::What::kStop, command);
      effect.who = *task.owner;
      effect.epoch = task.epoch;
      effect.error = task.stop_reason;
      effects.push_back(std::move(effect));
      break;
    }
    case Command::Kind::kExpire:
      // If a renewal overtook it in the log, the owner was told of a longer lease, and the expiry has no
      // effect.
      if (task.owner && command.epoch == task.epoch && command.renewed_index == task.renewed_index) {
        EndOwnership(index, council_time_, command.task, Error::kLeaseOver, effects);
      }
      break;
    case Command::Kind::kFloor:
    case Command::Kind::kRules:
      break;
  }
  return effects;
}

uint64_t State::EpochOf(const std::string& task) const {
  const auto found = tasks_.find(task);
  return std::max(floor_, found == tasks_.end() ? 0 : found->second.epoch);
}

Error State::CheckEpoch(const std::string& task, uint64_t epoch) const {
  if (epoch <= floor_ || epoch < EpochOf(task)) return Error::kFenced;
  const auto found = tasks_.find(task);
  if (found == tasks_.end() || epoch != found->second.epoch) return Error::kNotOwner;
  return found->second.owner ? Error::kNone : Error::kLeaseOver;
}

std::vector<Lease> State::Leases() const {
  std::vector<Lease> leases;
  for (const auto& [name, task] : tasks_) {
    if (task.owner) leases.push_back({name, task.epoch, task.renewed_index, task.lease});
  }
  return leases;
}

void TrackLeases(LeaseExpiry& lapse, Micros now, const Effects& effects) {
  for (const Effect& effect : effects) {
    if (effect.what == Effect::What::kGranted || effect.what == Effect::What::kRenewed) {
      lapse.OnRenewed(now, {effect.task, effect.epoch, effect.renewed_index, effect.lease});
    } else if (effect.what == Effect::What::kEnded) {
      lapse.OnEnded(effect.task);
    }
  }
}

Command MakeExpireCommand(const Lease& lease) {
  Command command;
  command.kind = Command::Kind::kExpire;
  command.task = lease.key;
  command.epoch = lease.epoch;
  command.renewed_index = lease.renewed_index;
  return command;
}

std::string State::Save() const {
  Writer to;
  Put(to, rules_);
  to.Number(floor_).Number(last_epoch_).Duration(council_time_).Number(tasks_.size());
  for (const auto& [name, task] : tasks_) {
    to.Text(name);
    Put(to, task.owner);
    to.Number(task.epoch)
        .Number(task.renewed_index)
        .Duration(task.since)
        .Duration(task.lease)
        .EnumValue(task.stop_reason);
    Put(to, task.successor);
    Put(to, task.barred);
    to.Number(task.queue.size());
    for (const Waiter& waiter : task.queue) {
      Put(to, waiter.who);
      to.Number(waiter.request);
    }
  }
  return to.Finish(kStateTag);
}

std::optional<State> State::Load(std::string_view bytes) {
  Reader from(bytes, kStateTag, kMaxValues);
  State state;
  state.rules_ = ReadRules(from);
  state.floor_ = from.Number();
  state.last_epoch_ = from.Number();
  state.council_time_ = from.Duration();
  const size_t tasks = from.Count(kMaxTasks);
  for (size_t i = 0; i < tasks && from.ok(); ++i) {
    OwnedTask& task = state.tasks_[from.Text(kMaxNameSize)];
    task.owner = ReadOptionalProcessId(from);
    task.epoch = from.Number();
    task.renewed_index = from.Number();
    task.since = from.Duration();
    task.lease = from.Duration();
    task.stop_reason = from.EnumValue(Error::kStale);
    task.successor = ReadOptionalProcessId(from);
    task.barred = ReadOptionalProcessId(from);
    const size_t queue = from.Count(kMaxWaiters);
    for (size_t j = 0; j < queue && from.ok(); ++j) {
      ProcessId who = ReadProcessId(from);
      task.queue.push_back({std::move(who), from.Number()});
    }
  }
  return from.Done() ? std::optional<State>(std::move(state)) : std::nullopt;
}

}  // namespace burlfall::owner
