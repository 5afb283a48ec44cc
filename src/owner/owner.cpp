#include "owner/owner.h"

#include <algorithm>

#include "owner/bytes.h"

namespace burlfall::owner {
namespace {

constexpr std::string_view kCommandBytes = "bfoc";
constexpr std::string_view kStateBytes = "bfos";
constexpr Micros kLongestLease = 3600 * kSecond;
constexpr uint64_t kMostWorks = 1024;
constexpr uint64_t kMostWaiting = 256;
constexpr size_t kMostValues = 1 << 20;
constexpr uint64_t kHighestFloor = uint64_t{1} << 62;  // leaves room above

void Put(Writer& to, const Who& who) { to.Text(who.name).Number(who.life); }
Who TakeWho(Reader& from) {
  Who who;
  who.name = from.Text(kLongestName);
  who.life = from.Number();
  return who;
}

void Put(Writer& to, const std::optional<Who>& who) {
  to.Flag(who.has_value());
  Put(to, who.value_or(Who{}));
}
std::optional<Who> TakeWhoOrNone(Reader& from) {
  const bool some = from.Flag();
  Who who = TakeWho(from);
  return some ? std::optional<Who>(std::move(who)) : std::nullopt;
}

void Put(Writer& to, const Rules& rules) {
  to.Span(rules.lease).Number(rules.most_works).Number(rules.most_waiting);
}
Rules TakeRules(Reader& from) {
  Rules rules;
  rules.lease = from.Span();
  rules.most_works = from.Number(kMostWorks);
  rules.most_waiting = from.Number(kMostWaiting);
  return rules;
}

bool IsName(const std::string& name) { return !name.empty() && name.size() <= kLongestName; }

bool CanBe(const Command& command) {
  if (command.reason.size() > kLongestReason || command.by.size() > kLongestName) return false;
  const bool work = IsName(command.work);
  switch (command.kind) {
    case Command::Kind::kWant:
    case Command::Kind::kRenew:
    case Command::Kind::kGiveUp:
      return work && IsName(command.who.name);
    case Command::Kind::kHandOver:
      return work && IsName(command.to.name);
    case Command::Kind::kTakeAway:
      return work && !command.by.empty() && !command.reason.empty();
    case Command::Kind::kRunOut:
      return work;
    case Command::Kind::kFloor:
      return command.epoch <= kHighestFloor && !command.by.empty();
    case Command::Kind::kRules:
      return command.rules.lease > 0 && command.rules.lease <= kLongestLease &&
             command.rules.most_works >= 1 && command.rules.most_works <= kMostWorks &&
             command.rules.most_waiting >= 1 && command.rules.most_waiting <= kMostWaiting;
  }
  return false;
}

Effect Answer(Effect::What what, const Command& command) {
  Effect effect;
  effect.what = what;
  effect.work = command.work;
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
  to.Name(command.kind).Text(command.work);
  Put(to, command.who);
  to.Number(command.epoch).Number(command.request).Number(command.renewed);
  Put(to, command.to);
  to.Text(command.by).Text(command.reason);
  Put(to, command.rules);
  return to.Finish(kCommandBytes);
}

std::optional<Command> ReadCommand(std::string_view bytes) {
  Reader from(bytes, kCommandBytes, 32);
  Command command;
  command.kind = from.Name(Command::Kind::kRules);
  command.work = from.Text(kLongestName);
  command.who = TakeWho(from);
  command.epoch = from.Number();
  command.request = from.Number();
  command.renewed = from.Number();
  command.to = TakeWho(from);
  command.by = from.Text(kLongestName);
  command.reason = from.Text(kLongestReason);
  command.rules = TakeRules(from);
  return from.Done() ? std::optional<Command>(std::move(command)) : std::nullopt;
}

void State::Grant(uint64_t index, Micros at, const std::string& name, const Who& who, uint64_t request,
                  Effects& effects) {
  Work& work = works_[name];
  last_epoch_ = std::max({index, floor_ + 1, last_epoch_ + 1});
  work.owner = who;
  work.epoch = last_epoch_;
  work.renewed = index;
  work.since = at;
  work.lease = rules_.lease;
  work.ending = Error::kNone;
  work.heir.reset();
  if (work.barred != work.owner) work.barred.reset();
  std::erase_if(work.line, [&](const Waiting& waiting) { return waiting.who.name == who.name; });
  Effect effect;
  effect.what = Effect::What::kGranted;
  effect.work = name;
  effect.who = who;
  effect.epoch = work.epoch;
  effect.request = request;
  effect.lease = work.lease;
  effect.renewed = index;
  effects.push_back(std::move(effect));
}

void State::End(uint64_t index, Micros at, const std::string& name, Error why, Effects& effects) {
  Work& work = works_[name];
  Effect effect;
  effect.what = Effect::What::kOver;
  effect.work = name;
  effect.who = *work.owner;
  effect.epoch = work.epoch;
  effect.error = why;
  effects.push_back(std::move(effect));
  work.owner.reset();
  work.ending = Error::kNone;
  if (work.heir) {
    const Who heir = *work.heir;
    uint64_t request = 0;
    for (const Waiting& waiting : work.line) {
      if (waiting.who == heir) request = waiting.request;
    }
    Grant(index, at, name, heir, request, effects);
    return;
  }
  for (const Waiting& waiting : std::deque<Waiting>(work.line)) {
    if (work.barred == waiting.who) continue;
    Grant(index, at, name, waiting.who, waiting.request, effects);
    return;
  }
}

Effects State::Apply(uint64_t index, Micros at, const Command& command) {
  at_ = std::max(at_, at);
  Effects effects;
  const auto refuse = [&](Error error, uint64_t epoch = 0) {
    Effect effect = Answer(Effect::What::kRefused, command);
    effect.error = error;
    effect.epoch = epoch;
    effects.push_back(std::move(effect));
  };
  if (!CanBe(command)) {
    refuse(Error::kMalformed);
    return effects;
  }
  if (command.kind == Command::Kind::kRules) {
    rules_ = command.rules;
    return effects;
  }
  if (command.kind == Command::Kind::kFloor) {
    floor_ = std::max(floor_, command.epoch);
    for (auto& [name, work] : works_) {
      if (!work.owner || work.epoch > floor_) continue;
      work.ending = Error::kFenced;
      Effect effect = Answer(Effect::What::kStop, command);
      effect.work = name;
      effect.who = *work.owner;
      effect.epoch = work.epoch;
      effect.error = Error::kFenced;
      effects.push_back(std::move(effect));
    }
    return effects;
  }
  auto found = works_.find(command.work);
  if (found == works_.end()) {
    if (command.kind != Command::Kind::kWant) {
      refuse(Error::kUnknownWork);
      return effects;
    }
    if (works_.size() >= rules_.most_works) {
      refuse(Error::kTooMany);
      return effects;
    }
    found = works_.try_emplace(command.work).first;
  }
  Work& work = found->second;
  const bool owns = work.owner == command.who && command.epoch == work.epoch;
  const auto refuse_epoch = [&] {
    refuse(command.epoch < work.epoch ? Error::kFenced
           : work.owner               ? Error::kNotOwner
                                      : Error::kLeaseOver,
           work.epoch);
  };
  switch (command.kind) {
    case Command::Kind::kWant: {
      if (work.owner == command.who) {
        // Its answer was lost: the same grant again, as a renewal.
        if (work.ending != Error::kNone) {
          refuse(work.ending, work.epoch);
          break;
        }
        work.renewed = index;
        Effect effect = Answer(Effect::What::kGranted, command);
        effect.epoch = work.epoch;
        effect.lease = work.lease;
        effect.renewed = index;
        effects.push_back(std::move(effect));
        break;
      }
      if (work.barred == command.who) {
        refuse(Error::kTakenAway, work.epoch);
        break;
      }
      if (!work.owner) {
        Grant(index, at_, command.work, command.who, command.request, effects);
        break;
      }
      const auto mine = std::find_if(work.line.begin(), work.line.end(), [&](const Waiting& waiting) {
        return waiting.who.name == command.who.name;
      });
      if (mine != work.line.end()) {
        // A word of an earlier life that comes late does not take the place of the later one.
        if (mine->who.life <= command.who.life) *mine = {command.who, command.request};
      } else if (work.line.size() >= rules_.most_waiting) {
        refuse(Error::kTooMany, work.epoch);
        break;
      } else {
        work.line.push_back({command.who, command.request});
      }
      Effect effect = Answer(Effect::What::kQueued, command);
      effect.epoch = work.epoch;
      effects.push_back(std::move(effect));
      break;
    }
    case Command::Kind::kRenew: {
      if (!owns) {
        refuse_epoch();
      } else if (work.ending != Error::kNone) {
        refuse(work.ending, work.epoch);
      } else {
        work.renewed = index;
        work.lease = rules_.lease;
        Effect effect = Answer(Effect::What::kRenewed, command);
        effect.epoch = work.epoch;
        effect.lease = work.lease;
        effect.renewed = index;
        effects.push_back(std::move(effect));
      }
      break;
    }
    case Command::Kind::kGiveUp:
      if (command.epoch == 0) {
        std::erase_if(work.line, [&](const Waiting& waiting) { return waiting.who == command.who; });
        if (work.heir == command.who) work.heir.reset();
      } else if (!owns) {
        refuse_epoch();
      } else {
        End(index, at_, command.work, Error::kNone, effects);
      }
      break;
    case Command::Kind::kHandOver:
    case Command::Kind::kTakeAway: {
      const bool hand_over = command.kind == Command::Kind::kHandOver;
      if (!work.owner || (command.epoch != work.epoch && (hand_over || command.epoch != 0))) {
        refuse_epoch();
        break;
      }
      if (hand_over && command.to == work.owner) {
        refuse(Error::kMalformed, work.epoch);
        break;
      }
      if (hand_over) {
        work.heir = command.to;
      } else {
        work.barred = work.owner;
        if (work.heir == work.barred) work.heir.reset();
      }
      work.ending = hand_over ? Error::kHandedOver : Error::kTakenAway;
      Effect effect = Answer(Effect::What::kStop, command);
      effect.who = *work.owner;
      effect.epoch = work.epoch;
      effect.error = work.ending;
      effects.push_back(std::move(effect));
      break;
    }
    case Command::Kind::kRunOut:
      // A renewal that overtook it in the log has told the owner of a longer lease: then it says nothing.
      if (work.owner && command.epoch == work.epoch && command.renewed == work.renewed) {
        End(index, at_, command.work, Error::kLeaseOver, effects);
      }
      break;
    case Command::Kind::kFloor:
    case Command::Kind::kRules:
      break;
  }
  return effects;
}

uint64_t State::EpochOf(const std::string& work) const {
  const auto found = works_.find(work);
  return std::max(floor_, found == works_.end() ? 0 : found->second.epoch);
}

std::vector<Lease> State::Leases() const {
  std::vector<Lease> leases;
  for (const auto& [name, work] : works_) {
    if (work.owner) leases.push_back({name, work.epoch, work.renewed, work.lease});
  }
  return leases;
}

void Count(Lapse& lapse, Micros now, const Effects& effects) {
  for (const Effect& effect : effects) {
    if (effect.what == Effect::What::kGranted || effect.what == Effect::What::kRenewed) {
      lapse.Began(now, {effect.work, effect.epoch, effect.renewed, effect.lease});
    } else if (effect.what == Effect::What::kOver) {
      lapse.Ended(effect.work);
    }
  }
}

Command RunOutOf(const Lease& lease) {
  Command command;
  command.kind = Command::Kind::kRunOut;
  command.work = lease.key;
  command.epoch = lease.epoch;
  command.renewed = lease.renewed;
  return command;
}

std::string State::Save() const {
  Writer to;
  Put(to, rules_);
  to.Number(floor_).Number(last_epoch_).Span(at_).Number(works_.size());
  for (const auto& [name, work] : works_) {
    to.Text(name);
    Put(to, work.owner);
    to.Number(work.epoch).Number(work.renewed).Span(work.since).Span(work.lease).Name(work.ending);
    Put(to, work.heir);
    Put(to, work.barred);
    to.Number(work.line.size());
    for (const Waiting& waiting : work.line) {
      Put(to, waiting.who);
      to.Number(waiting.request);
    }
  }
  return to.Finish(kStateBytes);
}

std::optional<State> State::Load(std::string_view bytes) {
  Reader from(bytes, kStateBytes, kMostValues);
  State state;
  state.rules_ = TakeRules(from);
  state.floor_ = from.Number();
  state.last_epoch_ = from.Number();
  state.at_ = from.Span();
  const size_t works = from.Count(kMostWorks);
  for (size_t i = 0; i < works && from.ok(); ++i) {
    Work& work = state.works_[from.Text(kLongestName)];
    work.owner = TakeWhoOrNone(from);
    work.epoch = from.Number();
    work.renewed = from.Number();
    work.since = from.Span();
    work.lease = from.Span();
    work.ending = from.Name(Error::kStale);
    work.heir = TakeWhoOrNone(from);
    work.barred = TakeWhoOrNone(from);
    const size_t line = from.Count(kMostWaiting);
    for (size_t j = 0; j < line && from.ok(); ++j) {
      Who who = TakeWho(from);
      work.line.push_back({std::move(who), from.Number()});
    }
  }
  return from.Done() ? std::optional<State>(std::move(state)) : std::nullopt;
}

}  // namespace burlfall::owner
