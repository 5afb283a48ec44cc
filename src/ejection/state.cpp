#include "ejection/state.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace burlfall::ejection {
namespace {

constexpr size_t kMostBalancers = 2000;

using What = Effect::What;

Effect About(What what, const std::string& host, Life life = 0) {
  Effect effect;
  effect.what = what;
  effect.host = host;
  effect.life = life;
  return effect;
}

Effect Refused(const std::string& who, const std::string& host, Refusal refusal) {
  Effect effect = About(What::kRefused, host);
  effect.who = {who};
  effect.refusal = refusal;
  return effect;
}

bool PastCap(Held held) {
  return held == Held::kGroupCap || held == Held::kZoneCap || held == Held::kWork || held == Held::kMany;
}

// Where this share of a host's answers fails, how much `trials` good ones speak against that. By
// multiplication alone, so that each member's processor finds the same.
double Contradicts(uint32_t trials, double share) {
  double chance = 1;
  for (uint32_t i = 0; i < std::min<uint32_t>(trials, 64); ++i) chance *= 1 - share;
  return 1 - chance;
}

}  // namespace

Effects State::Apply(uint64_t index, Micros at, const Command& command) {
  Effects effects;
  if (index <= index_) return effects;
  index_ = index;
  at_ = std::max(at_, at);
  RunOut(effects);
  Refusal refusal = Refusal::kNone;
  std::string by = command.balancer;
  std::string about = command.host;
  switch (command.what) {
    case Command::What::kVote:
      by = command.vote.balancer;
      about = command.vote.host;
      refusal = TakeVote(command.vote);
      break;
    case Command::What::kGood:
      by = command.good.balancer;
      about = command.good.host;
      refusal = TakeGood(command.good);
      break;
    case Command::What::kWithdraw: {
      const auto at_case = cases_.find(command.host);
      if (at_case == cases_.end()) break;
      DropWord(at_case->second, command.balancer);
      break;
    }
    case Command::What::kRunOut:
      break;
    case Command::What::kTrial:
      refusal = TakeTrial(command, effects);
      break;
    case Command::What::kOperator:
      by = command.who;
      refusal = TakeOperator(command, effects);
      break;
    case Command::What::kHosts:
      if (TakeEpoch(command.epoch)) {
        TakeHosts(command.group, effects);
      } else {
        refusal = Refusal::kFenced;
      }
      break;
    case Command::What::kCount:
      if (TakeEpoch(command.epoch)) {
        CountAll(effects);
      } else {
        refusal = Refusal::kFenced;
      }
      break;
  }
  if (refusal == Refusal::kTooMany) {  // told once in a span: the flood is not answered by another
    const auto known = balancers_.find(by);
    if (known != balancers_.end() && std::exchange(known->second.told, true)) refusal = Refusal::kNone;
  }
  if (refusal != Refusal::kNone) effects.push_back(Refused(by, about, refusal));
  Suspect(effects);
  Ask(effects);
  return effects;
}

bool State::TakeEpoch(uint64_t epoch) {
  if (epoch < epoch_) return rules_.planted.stale_owner;
  if (epoch > epoch_) {
    epoch_ = epoch;
    owner_index_ = index_;
  }
  return true;
}

bool State::Uses(const KnownBalancer& balancer, const std::string& host) const {
  return balancer.hosts.empty() || balancer.hosts.contains(host);
}

size_t State::ZonesUsing(const std::string& host) const {
  std::set<std::string> zones;
  for (const auto& [name, balancer] : balancers_) {
    if (Uses(balancer, host)) zones.insert(balancer.zone);
  }
  return zones.size();
}

bool State::InGrace(const std::string& host) const {
  if (at_ < hosts_.at(host).appeared + rules_.grace) return true;
  const auto record = ejections_.find(host);
  return record != ejections_.end() && !record->second.out() && at_ < record->second.since + rules_.grace;
}

Refusal State::Check(const std::string& balancer, const std::string& host, Life life) {
  const auto known = balancers_.find(balancer);
  if (known == balancers_.end()) return Refusal::kUnknownBalancer;
  if (at_ - known->second.since >= rules_.window) {
    known->second.since = at_;
    known->second.entries = 0;
    known->second.told = false;
  }
  if (++known->second.entries > rules_.most_entries) return Refusal::kTooMany;
  const auto in_group = hosts_.find(host);
  if (in_group == hosts_.end()) return Refusal::kUnknownHost;
  if (!Uses(known->second, host)) return Refusal::kUnknownBalancer;
  if (life != in_group->second.host.life && !rules_.planted.old_life) return Refusal::kOldLife;
  return Refusal::kNone;
}

Refusal State::TakeVote(const Vote& vote) {
  const Refusal refusal = Check(vote.balancer, vote.host, vote.life);
  if (refusal != Refusal::kNone) return refusal;
  KnownBalancer& balancer = balancers_.at(vote.balancer);
  if (vote.zone != balancer.zone) return Refusal::kOtherZone;
  // Beyond these bounds a number is no evidence, whoever tells it.
  const bool can_be = vote.failures >= 1 && vote.failures <= vote.trials && vote.window >= 0 &&
                      vote.window <= rules_.window + kSecond && vote.lasts > 0 &&
                      vote.lasts <= rules_.vote_lasts &&
                      vote.trials <= (vote.window / kSecond + 2) * rules_.most_rate &&
                      (!vote.sure || vote.trials >= rules_.least_trials);
  if (!can_be && !rules_.planted.numbers_believed) return Refusal::kCantBe;
  if (InGrace(vote.host)) return Refusal::kInGrace;
  const auto record = ejections_.find(vote.host);
  if (record != ejections_.end() && record->second.out()) return Refusal::kNone;  // late; nothing to add
  Case& one = cases_[vote.host];
  const auto old = one.votes.find(vote.balancer);
  if (old == one.votes.end() && balancer.against >= rules_.most_votes) return Refusal::kTooMany;
  std::string key = vote.balancer;
  if (old != one.votes.end() && rules_.planted.counts_twice) key += "#" + std::to_string(index_);
  one.goods.erase(vote.balancer);
  if (!one.votes.contains(key)) ++balancer.against;
  one.votes[key] = {vote, at_ + vote.lasts};
  dirty_ = true;
  return Refusal::kNone;
}

Refusal State::TakeGood(const Good& good) {
  const Refusal refusal = Check(good.balancer, good.host, good.life);
  if (refusal != Refusal::kNone) return refusal;
  if (good.zone != balancers_.at(good.balancer).zone) return Refusal::kOtherZone;
  const bool can_be = good.trials >= 1 && good.lasts > 0 && good.lasts <= rules_.vote_lasts &&
                      good.trials <= (rules_.window / kSecond + 2) * rules_.most_rate;
  if (!can_be && !rules_.planted.numbers_believed) return Refusal::kCantBe;
  const auto at_case = cases_.find(good.host);
  if (at_case == cases_.end() || !at_case->second.asked) return Refusal::kNone;  // nobody asks any more
  DropWord(at_case->second, good.balancer);
  Word word;
  word.vote.balancer = good.balancer;
  word.vote.zone = good.zone;
  word.vote.host = good.host;
  word.vote.life = good.life;
  word.vote.trials = good.trials;
  word.vote.cls = good.cls;
  word.vote.lasts = good.lasts;
  word.until = at_ + good.lasts;
  at_case->second.goods[good.balancer] = std::move(word);
  dirty_ = true;
  return Refusal::kNone;
}

void State::DropWord(Case& one, std::string key) {  // a copy: it may be the word's own
  const auto vote = one.votes.find(key);
  if (vote != one.votes.end()) {
    const auto balancer = balancers_.find(vote->second.vote.balancer);
    if (balancer != balancers_.end()) --balancer->second.against;
    one.votes.erase(vote);
    dirty_ = true;
  }
  if (one.goods.erase(key) > 0) dirty_ = true;
}

void State::Close(const std::string& host, Effects& effects) {
  const auto at_case = cases_.find(host);
  if (at_case == cases_.end()) return;
  if (at_case->second.asked) effects.push_back(About(What::kAsked, host));
  while (!at_case->second.votes.empty()) DropWord(at_case->second, at_case->second.votes.begin()->first);
  cases_.erase(at_case);
}

Refusal State::TakeTrial(const Command& command, Effects& effects) {
  const auto at = ejections_.find(command.host);
  if (at == ejections_.end() || !at->second.out()) return Refusal::kNotEjected;
  Ejection& ejection = at->second;
  if (ejection.life != command.life) return Refusal::kOldLife;
  const auto trier = std::ranges::find(ejection.triers, command.balancer);
  if (ejection.phase == Ejection::Phase::kOut || trier == ejection.triers.end()) return Refusal::kNotTold;
  if (command.was_good) {
    // Only shrinks; and not at all in the hold-down.
    if (at_ - ejection.lost_at >= rules_.hold_down) {
      ejection.term = std::max(rules_.first_term, ejection.term / 2);
    }
    Return(command.host, Over::kTrialGood, effects);
    return Refusal::kNone;
  }
  ejection.triers.erase(trier);
  if (!ejection.triers.empty()) return Refusal::kNone;  // another one's may be good
  ejection.term = ejection.served = std::min(2 * ejection.served, rules_.longest_term);
  ejection.phase = Ejection::Phase::kOut;
  ejection.lost_at = at_;
  ejection.until = at_ + ejection.served;
  Effect effect = About(What::kEject, command.host, ejection.life);
  effect.term = ejection.served;
  effect.kind = ejection.kind;
  effect.who = ejection.voters;
  effects.push_back(std::move(effect));
  return Refusal::kNone;
}

Refusal State::TakeOperator(const Command& command, Effects& effects) {
  const auto at = ejections_.find(command.host);
  const bool out = at != ejections_.end() && at->second.out();
  if (command.span < 0 || command.span > rules_.longest_by_hand) return Refusal::kTooLong;
  switch (command.operation) {
    case Operator::kEnd:
      if (!out) return Refusal::kNotEjected;
      Return(command.host, Over::kOperator, effects);
      break;
    case Operator::kForbid:
      if (!hosts_.contains(command.host)) return Refusal::kUnknownHost;
      if (forbidden_.size() >= rules_.most_hosts) return Refusal::kTooMany;
      forbidden_[command.host] = {command.who, command.reason,
                                  command.span == 0 ? kNever : at_ + command.span};
      if (out) Return(command.host, Over::kOperator, effects);
      break;
    case Operator::kExtend: {
      if (!out) return Refusal::kNotEjected;
      Ejection& ejection = at->second;
      // From now at the latest: each call may add so much, and none makes a term without an end.
      const Micros until = std::max(ejection.until, at_) + command.span;
      if (until - at_ > rules_.longest_by_hand + rules_.longest_term) return Refusal::kTooLong;
      ejection.phase = Ejection::Phase::kOut;
      ejection.triers.clear();
      ejection.until = until;
      Effect effect = About(What::kEject, command.host, ejection.life);
      effect.term = until - at_;
      effect.kind = ejection.kind;
      effect.who = {command.who};
      effects.push_back(std::move(effect));
      break;
    }
    case Operator::kAllow:
      forbidden_.erase(command.host);
      dirty_ = true;
      break;
  }
  return Refusal::kNone;
}

void State::TakeHosts(const Group& group, Effects& effects) {
  std::map<std::string, KnownHost> now;
  for (const Host& host : group.hosts) {
    if (now.size() >= rules_.most_hosts) break;
    KnownHost known{host, at_};
    const auto before = hosts_.find(host.name);
    if (!grouped_) known.appeared = at_ - rules_.grace;  // the first list: they were there before
    if (before != hosts_.end()) {
      const Life life = before->second.host.life;
      known.host.life = std::max(life, host.life);  // an owner with an older list takes no life back
      if (known.host.life == life) known.appeared = before->second.appeared;
    }
    now.emplace(host.name, std::move(known));
  }
  grouped_ = true;
  used_ = std::clamp(group.used, 0.0, 1.0);
  std::vector<std::pair<std::string, Over>> back;
  std::vector<std::string> close;
  for (const auto& [name, before] : hosts_) {
    const auto at = now.find(name);
    const bool gone = at == now.end();
    const bool anew = !gone && at->second.host.life > before.host.life;
    if (gone || anew) close.push_back(name);
    const auto record = ejections_.find(name);
    if (record == ejections_.end()) continue;
    if (record->second.out() && (gone || anew || at->second.host.by_hand)) {
      back.emplace_back(name, gone ? Over::kGone : anew ? Over::kNewLife : Over::kByHand);
    } else if (gone || anew) {
      ejections_.erase(record);
    }
  }
  hosts_ = std::move(now);
  for (const auto& [name, over] : back) {
    Return(name, over, effects);
    if (over != Over::kByHand) ejections_.erase(name);
  }
  for (const std::string& name : close) Close(name, effects);

  std::map<std::string, KnownBalancer> balancers;
  for (const Balancer& balancer : group.balancers) {
    if (balancers.size() >= kMostBalancers) break;
    KnownBalancer known;
    const auto before = balancers_.find(balancer.name);
    if (before != balancers_.end() && before->second.zone == balancer.zone) known = before->second;
    known.zone = balancer.zone;
    known.hosts = {balancer.hosts.begin(), balancer.hosts.end()};
    balancers.emplace(balancer.name, std::move(known));
  }
  // The words of those that are gone, or in another zone, or use the host no more.
  for (auto& [host, one] : cases_) {
    std::vector<std::string> drop;
    const auto stays = [&, &on = host](const Word& word) {
      const auto at = balancers.find(word.vote.balancer);
      return at != balancers.end() && at->second.zone == word.vote.zone && Uses(at->second, on);
    };
    for (const auto& [key, word] : one.votes) {
      if (!stays(word)) drop.push_back(key);
    }
    for (const auto& [key, word] : one.goods) {
      if (!stays(word)) drop.push_back(key);
    }
    for (const std::string& key : drop) {
      DropWord(one, key);
      const auto at = balancers.find(key);  // DropWord counts in the old ones
      if (at != balancers.end() && at->second.against > 0) --at->second.against;
    }
  }
  balancers_ = std::move(balancers);
  dirty_ = true;
  // Where the group, or what the rest can carry, became smaller, the last ejected come back first.
  std::vector<std::pair<uint64_t, std::string>> out;
  for (const auto& [name, ejection] : ejections_) {
    if (ejection.out()) out.emplace_back(ejection.index, name);
  }
  std::sort(out.rbegin(), out.rend());
  for (const auto& [index, name] : out) {
    if (HeldBack(name) != Held::kNone) Return(name, Over::kCap, effects);
  }
}

void State::RunOut(Effects& effects) {
  std::vector<std::string> close;
  for (auto& [host, one] : cases_) {
    std::vector<std::string> drop;
    for (const auto& [key, word] : one.votes) {
      if (word.until <= at_ && !rules_.planted.votes_stay) drop.push_back(key);
    }
    for (const auto& [key, word] : one.goods) {
      if (word.until <= at_) drop.push_back(key);
    }
    for (const std::string& key : drop) DropWord(one, key);
    // Nobody is sure any more: what the others said was only an answer.
    if (SureOf(one) == 0 && at_ >= one.asked_until) close.push_back(host);
  }
  for (const std::string& host : close) Close(host, effects);

  std::vector<std::pair<std::string, Over>> back;
  for (auto& [host, ejection] : ejections_) {
    if (!ejection.out() || ejection.until > at_ || rules_.planted.never_ends) continue;
    const KnownHost& known = hosts_.at(host);
    switch (ejection.phase) {
      case Ejection::Phase::kOut:
        if (known.host.draining) {
          back.emplace_back(host, Over::kDrains);
          break;
        }
        ejection.phase = Ejection::Phase::kTryOne;
        ejection.until = at_ + rules_.try_one;
        Try(host, ejection, 1, effects);
        break;
      case Ejection::Phase::kTryOne:
        ejection.phase = Ejection::Phase::kTryFew;
        ejection.until = at_ + rules_.try_few;
        Try(host, ejection, rules_.few, effects);
        break;
      default:
        back.emplace_back(host, Over::kNoTrial);
        break;
    }
  }
  for (const auto& [host, over] : back) Return(host, over, effects);
  std::erase_if(ejections_, [&](const auto& one) {
    return !one.second.out() && at_ - one.second.since >= rules_.forget_term;
  });
  std::erase_if(forbidden_, [&](const auto& one) { return one.second.until <= at_; });

  const bool held =
      std::ranges::any_of(cases_, [](const auto& one) { return PastCap(one.second.told_held); });
  if (held || !incident_) {
    calm_since_ = kNever;
  } else if (calm_since_ == kNever) {
    calm_since_ = at_;
  } else if (at_ - calm_since_ >= rules_.incident_quiet) {
    incident_ = false;
    effects.push_back(About(What::kIncidentOver, ""));
  }
}

void State::Try(const std::string& host, Ejection& ejection, size_t most, Effects& effects) {
  std::vector<std::string> all;
  for (const auto& [name, balancer] : balancers_) {
    if (Uses(balancer, host) && !suspects_.contains(name)) all.push_back(name);
  }
  // In turn, from a place that differs between ejections: no draw, and alike at each member.
  for (size_t i = 0; i < std::min(most, all.size()); ++i) {
    const std::string& name = all[(ejection.index * 7919 + ejection.tries++) % all.size()];
    if (std::ranges::find(ejection.triers, name) == ejection.triers.end()) ejection.triers.push_back(name);
  }
  Effect effect = About(What::kTry, host, ejection.life);
  effect.who = ejection.triers;
  effects.push_back(std::move(effect));
}

size_t State::SureOf(const Case& one) const {
  return static_cast<size_t>(
      std::ranges::count_if(one.votes, [](const auto& vote) { return vote.second.vote.sure; }));
}

size_t State::GroupCap() const {
  const double share = rules_.most_group * static_cast<double>(hosts_.size());
  return std::max<size_t>(1, static_cast<size_t>(share + 1e-9));
}

// A balancer that finds many hosts bad: more likely its own network. Its votes stand, and don't count.
void State::Suspect(Effects& effects) {
  for (const auto& [name, balancer] : balancers_) {
    const size_t used = balancer.hosts.empty() ? hosts_.size() : balancer.hosts.size();
    const bool many = balancer.against >= rules_.suspect_least &&
                      balancer.against > rules_.suspect_share * static_cast<double>(used);
    const bool is = many || balancer.told;  // or tells more than one that is sound ever could
    if (is == suspects_.contains(name)) continue;
    Effect effect = About(is ? What::kSuspect : What::kCleared, "");
    effect.who = {name};
    effects.push_back(std::move(effect));
    if (is) {
      suspects_.insert(name);
    } else {
      suspects_.erase(name);
    }
    dirty_ = true;
  }
  std::erase_if(suspects_, [&](const std::string& name) { return !balancers_.contains(name); });
}

void State::Ask(Effects& effects) {
  for (auto& [host, one] : cases_) {
    if (one.asked) continue;
    Micros back = 0;
    size_t sure = 0;
    for (const auto& [key, word] : one.votes) {
      if (!word.vote.sure || (suspects_.contains(word.vote.balancer) && !rules_.planted.suspects_count))
        continue;
      ++sure;
      back = std::max(back, word.vote.window);
    }
    if (sure < rules_.sure_to_ask) continue;
    one.asked = true;
    one.asked_at = one.asked_until = at_;
    Effect effect = About(What::kAsk, host, hosts_.at(host).host.life);
    effect.term = std::min(back, rules_.ask_back);
    effects.push_back(std::move(effect));
    dirty_ = true;
  }
}

State::Count State::CountOne(const std::string& host, const Case& one) const {
  Count count;
  double failed = 0, trials = 0;
  const auto record = ejections_.find(host);
  if (record != ejections_.end() && at_ - record->second.since <= rules_.relapse_within) {
    trials = 8;  // known from the time before
    failed = trials * record->second.share;
  }
  std::array<uint32_t, kKinds> kinds{};
  bool first = true;
  std::map<std::string, double> balance;  // of each zone: votes, less good words
  for (const auto& [key, word] : one.votes) {
    const Vote& vote = word.vote;
    if (suspects_.contains(vote.balancer) && !rules_.planted.suspects_count) continue;
    count.voters.push_back(vote.balancer);
    count.sure += vote.sure ? 1 : 0;
    count.others += vote.others >= rules_.least_trials ? 1 : 0;
    balance[vote.zone] += 1;
    // Each began with a failure, by choice; only what followed tells how often it fails.
    failed += static_cast<double>(std::min(vote.failures, vote.trials)) - 1;
    trials += static_cast<double>(vote.trials) - 1;
    ++kinds[static_cast<size_t>(vote.kind)];
    count.cls = first || count.cls == vote.cls ? vote.cls : kSeveralClasses;
    first = false;
  }
  // The upper side of what it may be: where little is known, good words speak against the votes in full.
  const double likely = (failed + 1) / (trials + 1) + 0.5 / std::sqrt(trials + 1);
  count.share = std::clamp(likely, rules_.bad_share, 1.0);
  count.raw_share = trials > 0 ? std::clamp(failed / trials, rules_.bad_share, 1.0) : 1;
  count.kind = static_cast<Kind>(std::ranges::max_element(kinds) - kinds.begin());
  for (const auto& [key, word] : one.goods) {
    // A few good answers from a host that fails a third of the time are no word against those who saw it
    // fail.
    const double weight = Contradicts(word.vote.trials, count.share);
    count.goods += weight;
    if (!rules_.planted.goods_ignored) balance[word.vote.zone] -= weight;
    if (word.vote.cls != count.cls) count.others += weight;
  }
  for (const auto& [zone, votes] : balance) {
    if (votes > 0) count.zones.insert(zone);
  }
  return count;
}

bool State::MeetsVotes(const std::string& host, Case& one, const Count& count, Effects& effects) const {
  if (count.voters.size() < rules_.voters_least) return false;
  const auto record = ejections_.find(host);
  const bool relapse = record != ejections_.end() && at_ - record->second.since <= rules_.relapse_within;
  const bool sure = count.sure >= rules_.sure_least || count.voters.size() >= 2 * rules_.voters_least;
  if (!sure && !relapse) return false;
  if (count.zones.size() < std::min<size_t>(rules_.zones_least, ZonesUsing(host)) &&
      !rules_.planted.zones_ignored) {
    if (count.zones.size() != 1 || one.told_path == *count.zones.begin()) return false;
    one.told_path = *count.zones.begin();
    Effect effect = About(What::kPath, host, hosts_.at(host).host.life);
    effect.zone = one.told_path;
    effect.who = count.voters;
    effects.push_back(std::move(effect));
    return false;
  }
  const auto voters = static_cast<double>(count.voters.size());
  if (count.cls != kSeveralClasses && count.others > voters / 2 && !rules_.planted.goods_ignored) {
    if (std::exchange(one.told_class, true)) return false;
    Effect effect = About(What::kClass, host, hosts_.at(host).host.life);
    effect.cls = count.cls;
    effect.who = count.voters;
    effects.push_back(std::move(effect));
    return false;
  }
  if (rules_.planted.goods_ignored) return true;
  // All fails for some, and nothing for others: not the host as a whole, perhaps. The rest is heard as well.
  const bool mixed = 4 * count.goods >= voters && count.raw_share >= 0.8;
  if (mixed && at_ < one.asked_at + rules_.listen_long) return false;
  return voters > count.goods;
}

// More hosts accused than may be out, and not by one zone alone: no host's own fault.
bool State::Many() const {
  std::map<std::string, std::set<std::string>> by_zone;
  std::set<std::string> all;
  for (const auto& [host, one] : cases_) {
    for (const auto& [key, word] : one.votes) {
      if (!word.vote.sure) continue;
      by_zone[word.vote.zone].insert(host);
      all.insert(host);
    }
  }
  for (const auto& [host, ejection] : ejections_) {
    if (ejection.out()) all.insert(host);
  }
  if (all.size() <= GroupCap()) return false;
  if (by_zone.size() < 2) return by_zone.empty() ? false : ZonesUsing(*all.begin()) < 2;
  size_t most = 0, second = 0;
  for (const auto& [zone, hosts] : by_zone) {
    if (hosts.size() >= most) {
      second = std::exchange(most, hosts.size());
    } else {
      second = std::max(second, hosts.size());
    }
  }
  return 2 * second > GroupCap();
}

// Why `host` may not be out beside those that are.
Held State::HeldBack(const std::string& host) const {
  const KnownHost& about = hosts_.at(host);
  const auto is_out = [&](const std::string& name) {
    const auto at = ejections_.find(name);
    if (at == ejections_.end() || !at->second.out()) return false;
    return !rules_.planted.cap_forgotten || at->second.index > owner_index_;
  };
  size_t out = 1, out_of_zone = 1, zone = 0, ready = 0, ready_of_zone = 0;
  double capacity = 0, rest = 0;
  for (const auto& [name, known] : hosts_) {
    const bool same_zone = known.host.zone == about.host.zone;
    zone += same_zone ? 1 : 0;
    capacity += known.host.capacity;
    if (name == host) continue;
    if (is_out(name)) {
      ++out;
      out_of_zone += same_zone ? 1 : 0;
    } else if (!known.host.by_hand && !known.host.draining) {
      ++ready;
      ready_of_zone += same_zone ? 1 : 0;
      rest += known.host.capacity;
    }
  }
  if (!rules_.planted.last_host) {
    if (ready == 0) return Held::kLastOfGroup;
    if (ready_of_zone == 0) return Held::kLastOfZone;
  }
  if (rules_.planted.cap_ignored) return Held::kNone;
  if (out > GroupCap()) return Held::kGroupCap;
  const double zone_cap = rules_.most_zone * static_cast<double>(zone) + 1e-9;
  if (out_of_zone > std::max<size_t>(1, static_cast<size_t>(zone_cap))) return Held::kZoneCap;
  if (used_ * capacity > rules_.fill_most * rest) return Held::kWork;
  return Held::kNone;
}

void State::CountAll(Effects& effects) {
  dirty_ = false;
  counted_at_ = at_;
  const bool many = Many() && !rules_.planted.cap_ignored;
  std::vector<std::pair<std::string, Count>> meet;
  std::vector<std::string> answered;
  for (auto& [host, one] : cases_) {
    if (!one.asked) continue;
    const Host& known = hosts_.at(host).host;
    if (known.draining || known.by_hand) continue;  // nothing new goes there anyway
    if (at_ < one.asked_at + rules_.listen) {
      dirty_ = true;
      continue;
    }
    Count count = CountOne(host, one);
    if (!MeetsVotes(host, one, count, effects)) {
      one.told_held = Held::kNone;
      const double enough = rules_.answered_good * static_cast<double>(count.voters.size());
      if (count.goods >= std::max<double>(rules_.answered_least, enough)) answered.push_back(host);
      continue;
    }
    meet.emplace_back(host, std::move(count));
  }
  for (const std::string& host : answered) Close(host, effects);
  // Those with the most votes first.
  std::ranges::stable_sort(
      meet, [](const auto& a, const auto& b) { return a.second.voters.size() > b.second.voters.size(); });
  std::vector<std::string> past;
  for (const auto& [host, count] : meet) {
    Held held = forbidden_.contains(host) ? Held::kForbidden : many ? Held::kMany : HeldBack(host);
    if (held == Held::kNone) {
      Eject(host, count, effects);
      continue;
    }
    if (PastCap(held)) past.push_back(host);
    if (std::exchange(cases_[host].told_held, held) == held) continue;
    Effect effect = About(What::kHeld, host, hosts_.at(host).host.life);
    effect.held = held;
    effect.who = count.voters;
    effects.push_back(std::move(effect));
  }
  if (past.empty() || std::exchange(incident_, true)) return;
  Effect effect = About(What::kIncident, "");
  effect.hosts = std::move(past);
  effects.push_back(std::move(effect));
}

void State::Eject(const std::string& host, const Count& count, Effects& effects) {
  Ejection& ejection = ejections_[host];
  const Life life = hosts_.at(host).host.life;
  if (ejection.life != life || ejection.served == 0) {
    ejection = {};
    ejection.served = rules_.first_term;
  } else {
    // Soon after its return: that one good answer was luck, and what it shrank is not lost.
    const bool soon = at_ - ejection.since <= rules_.relapse_within;
    ejection.served =
        std::clamp(2 * (soon ? ejection.served : ejection.term), rules_.first_term, rules_.longest_term);
  }
  ejection.term = ejection.served;
  ejection.phase = Ejection::Phase::kOut;
  ejection.life = life;
  ejection.index = index_;
  ejection.since = ejection.lost_at = at_;
  ejection.until = at_ + ejection.served;
  ejection.tries = 0;
  ejection.kind = count.kind;
  ejection.share = count.raw_share;
  ejection.voters = count.voters;
  ejection.triers.clear();
  Effect effect = About(What::kEject, host, life);
  effect.term = ejection.served;
  effect.kind = count.kind;
  effect.who = count.voters;
  effects.push_back(std::move(effect));
  Close(host, effects);
}

void State::Return(const std::string& host, Over over, Effects& effects) {
  Ejection& ejection = ejections_.at(host);
  ejection.phase = Ejection::Phase::kBack;
  ejection.since = at_;
  ejection.until = kNever;
  ejection.triers.clear();
  Effect effect = About(What::kBack, host, ejection.life);
  effect.over = over;
  effects.push_back(std::move(effect));
  Close(host, effects);
  dirty_ = true;
  if (over != Over::kTrialGood && over != Over::kNoTrial) return;
  // One answer was good. Whether the next ones are, all tell at once, without waiting for two that are sure.
  Case& one = cases_[host];
  one.asked = true;
  one.asked_at = at_ + rules_.grace;
  one.asked_until = one.asked_at + rules_.relapse_ask;
  effects.push_back(About(What::kAsk, host, ejection.life));
}

Micros State::next_at() const {
  Micros next = kNever;
  for (const auto& [host, one] : cases_) {
    for (const auto& [key, word] : one.votes) next = std::min(next, word.until);
    for (const auto& [key, word] : one.goods) next = std::min(next, word.until);
    for (const Micros listen : {rules_.listen, rules_.listen_long}) {
      if (one.asked && at_ < one.asked_at + listen) next = std::min(next, one.asked_at + listen);
    }
    if (at_ < one.asked_until) next = std::min(next, one.asked_until);
  }
  for (const auto& [host, ejection] : ejections_) {
    next = std::min(next, ejection.out() ? ejection.until : ejection.since + rules_.forget_term);
  }
  for (const auto& [host, one] : forbidden_) next = std::min(next, one.until);
  if (incident_) next = std::min(next, (calm_since_ == kNever ? at_ : calm_since_) + rules_.incident_quiet);
  return next;
}

bool State::ToCount(Micros at) const {
  return std::ranges::any_of(cases_, [&](const auto& one) {
    const Micros asked_at = one.second.asked_at;
    if (!one.second.asked || at < asked_at + rules_.listen) return false;
    // Once more when the long listening ends, also where nothing was told in between.
    return dirty_ || (counted_at_ < asked_at + rules_.listen_long && at >= asked_at + rules_.listen_long);
  });
}

std::vector<std::string> State::InQuestion() const {
  std::vector<std::string> hosts;
  for (const auto& [host, one] : cases_) {
    if (one.asked) hosts.push_back(host);
  }
  return hosts;
}

std::vector<Vote> State::VotesAgainst(const std::string& host) const {
  std::vector<Vote> votes;
  const auto at = cases_.find(host);
  if (at == cases_.end()) return votes;
  for (const auto& [key, word] : at->second.votes) votes.push_back(word.vote);
  return votes;
}

std::vector<Good> State::GoodsFor(const std::string& host) const {
  std::vector<Good> goods;
  const auto at = cases_.find(host);
  if (at == cases_.end()) return goods;
  for (const auto& [key, word] : at->second.goods) {
    const Vote& said = word.vote;
    goods.push_back({said.balancer, said.zone, said.host, said.life, said.trials, said.cls, said.lasts});
  }
  return goods;
}

}  // namespace burlfall::ejection
