#include "ejection/state.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace burlfall::ejection {
namespace {

constexpr size_t kMaxBalancers = 2000;

using What = Effect::What;

Effect MakeEffect(What what, const std::string& host, Incarnation incarnation = 0) {
  Effect effect;
  effect.what = what;
  effect.host = host;
  effect.incarnation = incarnation;
  return effect;
}

Effect RefusedEffect(const std::string& who, const std::string& host, Refusal refusal) {
  Effect effect = MakeEffect(What::kRefused, host);
  effect.who = {who};
  effect.refusal = refusal;
  return effect;
}

bool IsCapReason(HoldReason held) {
  return held == HoldReason::kGroupCap || held == HoldReason::kZoneCap || held == HoldReason::kCapacity ||
         held == HoldReason::kManySuspects;
}

// Returns the probability that a host that fails this share of its queries fails at least one of `trials`
// queries: the weight of that many good answers as evidence against the votes. Uses multiplication only,
// which gives the same result on the processor of each member.
double ContradictionWeight(uint32_t trials, double share) {
  double chance = 1;
  for (uint32_t i = 0; i < std::min<uint32_t>(trials, 64); ++i) chance *= 1 - share;
  return 1 - chance;
}

}  // namespace

Effects State::Apply(uint64_t index, Micros at, const Command& command, bool epoch_owns_count) {
  Effects effects;
  if (index <= index_) return effects;
  index_ = index;
  at_ = std::max(at_, at);
  ExpireDue(effects);
  Refusal refusal = Refusal::kNone;
  std::string by = command.balancer;
  std::string about = command.host;
  switch (command.what) {
    case Command::What::kVote:
      by = command.vote.balancer;
      about = command.vote.host;
      refusal = ApplyVote(command.vote);
      break;
    case Command::What::kGoodReport:
      by = command.good.balancer;
      about = command.good.host;
      refusal = ApplyGoodReport(command.good);
      break;
    case Command::What::kWithdraw: {
      const auto at_case = cases_.find(command.host);
      if (at_case == cases_.end()) break;
      DropReport(at_case->second, command.balancer);
      break;
    }
    case Command::What::kExpire:
      break;
    case Command::What::kTrial:
      refusal = ApplyTrial(command, effects);
      break;
    case Command::What::kOperator:
      by = command.who;
      refusal = ApplyOperatorCommand(command, effects);
      break;
    case Command::What::kHosts:
      if (AcceptEpoch(command.epoch, epoch_owns_count)) {
        ApplyGroup(command.group, effects);
      } else {
        refusal = Refusal::kFenced;
      }
      break;
    case Command::What::kCount:
      if (AcceptEpoch(command.epoch, epoch_owns_count)) {
        CountVotes(effects);
      } else {
        refusal = Refusal::kFenced;
      }
      break;
  }
  if (refusal == Refusal::kTooMany) {  // reported once per window, so that a flood causes no second one
    const auto known = balancers_.find(by);
    if (known != balancers_.end() && std::exchange(known->second.flood_reported, true))
      refusal = Refusal::kNone;
  }
  if (refusal != Refusal::kNone) effects.push_back(RefusedEffect(by, about, refusal));
  UpdateSuspects(effects);
  OpenPolls(effects);
  return effects;
}

bool State::AcceptEpoch(uint64_t epoch, bool owns_count) {
  if (epoch < epoch_ || !owns_count) return rules_.injected.stale_owner_accepted;
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

Refusal State::Check(const std::string& balancer, const std::string& host, Incarnation incarnation) {
  const auto known = balancers_.find(balancer);
  if (known == balancers_.end()) return Refusal::kUnknownBalancer;
  if (at_ - known->second.since >= rules_.window) {
    known->second.since = at_;
    known->second.entries = 0;
    known->second.flood_reported = false;
  }
  if (++known->second.entries > rules_.max_entries_per_window) return Refusal::kTooMany;
  const auto in_group = hosts_.find(host);
  if (in_group == hosts_.end()) return Refusal::kUnknownHost;
  if (!Uses(known->second, host)) return Refusal::kUnknownBalancer;
  if (incarnation != in_group->second.host.incarnation && !rules_.injected.old_incarnation)
    return Refusal::kOldIncarnation;
  return Refusal::kNone;
}

Refusal State::ApplyVote(const Vote& vote) {
  const Refusal refusal = Check(vote.balancer, vote.host, vote.incarnation);
  if (refusal != Refusal::kNone) return refusal;
  KnownBalancer& balancer = balancers_.at(vote.balancer);
  if (vote.zone != balancer.zone) return Refusal::kOtherZone;
  // Numbers outside of these bounds are impossible, whichever balancer reports them.
  const bool is_valid = vote.failures >= 1 && vote.failures <= vote.trials && vote.window >= 0 &&
                        vote.window <= rules_.window + kSecond && vote.lifetime > 0 &&
                        vote.lifetime <= rules_.vote_lifetime &&
                        vote.trials <= (vote.window / kSecond + 2) * rules_.max_results_per_second &&
                        (!vote.sure || vote.trials >= rules_.min_trials);
  if (!is_valid && !rules_.injected.invalid_numbers_accepted) return Refusal::kInvalidNumbers;
  if (InGrace(vote.host)) return Refusal::kInGrace;
  const auto record = ejections_.find(vote.host);
  if (record != ejections_.end() && record->second.out()) return Refusal::kNone;  // already ejected
  Case& host_case = cases_[vote.host];
  const auto old = host_case.votes.find(vote.balancer);
  if (old == host_case.votes.end() && balancer.hosts_voted_against >= rules_.max_votes_per_balancer)
    return Refusal::kTooMany;
  std::string key = vote.balancer;
  if (old != host_case.votes.end() && rules_.injected.counts_twice) key += "#" + std::to_string(index_);
  host_case.good_reports.erase(vote.balancer);
  if (!host_case.votes.contains(key)) ++balancer.hosts_voted_against;
  host_case.votes[key] = {vote, at_ + vote.lifetime};
  count_pending_ = true;
  return Refusal::kNone;
}

Refusal State::ApplyGoodReport(const GoodReport& good) {
  const Refusal refusal = Check(good.balancer, good.host, good.incarnation);
  if (refusal != Refusal::kNone) return refusal;
  if (good.zone != balancers_.at(good.balancer).zone) return Refusal::kOtherZone;
  const bool is_valid = good.trials >= 1 && good.lifetime > 0 && good.lifetime <= rules_.vote_lifetime &&
                        good.trials <= (rules_.window / kSecond + 2) * rules_.max_results_per_second;
  if (!is_valid && !rules_.injected.invalid_numbers_accepted) return Refusal::kInvalidNumbers;
  const auto at_case = cases_.find(good.host);
  if (at_case == cases_.end() || !at_case->second.poll_open) return Refusal::kNone;  // the poll is closed
  DropReport(at_case->second, good.balancer);
  Report report;
  report.vote.balancer = good.balancer;
  report.vote.zone = good.zone;
  report.vote.host = good.host;
  report.vote.incarnation = good.incarnation;
  report.vote.trials = good.trials;
  report.vote.cls = good.cls;
  report.vote.lifetime = good.lifetime;
  report.until = at_ + good.lifetime;
  at_case->second.good_reports[good.balancer] = std::move(report);
  count_pending_ = true;
  return Refusal::kNone;
}

// Takes `key` by value, since the argument may be the key of the erased report.
void State::DropReport(Case& host_case, std::string key) {
  const auto vote = host_case.votes.find(key);
  if (vote != host_case.votes.end()) {
    const auto balancer = balancers_.find(vote->second.vote.balancer);
    if (balancer != balancers_.end()) --balancer->second.hosts_voted_against;
    host_case.votes.erase(vote);
    count_pending_ = true;
  }
  if (host_case.good_reports.erase(key) > 0) count_pending_ = true;
}

void State::CloseCase(const std::string& host, Effects& effects) {
  const auto at_case = cases_.find(host);
  if (at_case == cases_.end()) return;
  if (at_case->second.poll_open) effects.push_back(MakeEffect(What::kPollClosed, host));
  while (!at_case->second.votes.empty()) DropReport(at_case->second, at_case->second.votes.begin()->first);
  cases_.erase(at_case);
}

Refusal State::ApplyTrial(const Command& command, Effects& effects) {
  const auto at = ejections_.find(command.host);
  if (at == ejections_.end() || !at->second.out()) return Refusal::kNotEjected;
  Ejection& ejection = at->second;
  if (ejection.incarnation != command.incarnation) return Refusal::kOldIncarnation;
  const auto trier = std::ranges::find(ejection.triers, command.balancer);
  if (ejection.phase == Ejection::Phase::kOut || trier == ejection.triers.end())
    return Refusal::kNotChosenToTry;
  if (command.was_good) {
    // A good trial shortens the next term, except during the hold-down.
    if (at_ - ejection.lost_at >= rules_.hold_down) {
      ejection.term = std::max(rules_.first_term, ejection.term / 2);
    }
    ReturnHost(command.host, ReturnReason::kTrialGood, effects);
    return Refusal::kNone;
  }
  ejection.triers.erase(trier);
  if (!ejection.triers.empty()) return Refusal::kNone;  // another balancer's trial may still be good
  ejection.term = ejection.last_term = std::min(2 * ejection.last_term, rules_.max_term);
  ejection.phase = Ejection::Phase::kOut;
  ejection.lost_at = at_;
  ejection.until = at_ + ejection.last_term;
  Effect effect = MakeEffect(What::kEject, command.host, ejection.incarnation);
  effect.term = ejection.last_term;
  effect.kind = ejection.kind;
  effect.who = ejection.voters;
  effects.push_back(std::move(effect));
  return Refusal::kNone;
}

Refusal State::ApplyOperatorCommand(const Command& command, Effects& effects) {
  const auto at = ejections_.find(command.host);
  const bool out = at != ejections_.end() && at->second.out();
  if (command.span < 0 || command.span > rules_.max_extension) return Refusal::kTooLong;
  switch (command.operation) {
    case OperatorAction::kEnd:
      if (!out) return Refusal::kNotEjected;
      ReturnHost(command.host, ReturnReason::kOperator, effects);
      break;
    case OperatorAction::kForbid:
      if (!hosts_.contains(command.host)) return Refusal::kUnknownHost;
      if (forbidden_.size() >= rules_.max_hosts) return Refusal::kTooMany;
      forbidden_[command.host] = {command.who, command.reason,
                                  command.span == 0 ? kNever : at_ + command.span};
      if (out) ReturnHost(command.host, ReturnReason::kOperator, effects);
      break;
    case OperatorAction::kExtend: {
      if (!out) return Refusal::kNotEjected;
      Ejection& ejection = at->second;
      // Extends the term, or starts at the present time if it is over. The bound keeps repeated calls from
      // making the term endless.
      const Micros until = std::max(ejection.until, at_) + command.span;
      if (until - at_ > rules_.max_extension + rules_.max_term) return Refusal::kTooLong;
      ejection.phase = Ejection::Phase::kOut;
      ejection.triers.clear();
      ejection.until = until;
      Effect effect = MakeEffect(What::kEject, command.host, ejection.incarnation);
      effect.term = until - at_;
      effect.kind = ejection.kind;
      effect.who = {command.who};
      effects.push_back(std::move(effect));
      break;
    }
    case OperatorAction::kAllow:
      forbidden_.erase(command.host);
      count_pending_ = true;
      break;
  }
  return Refusal::kNone;
}

void State::ApplyGroup(const Group& group, Effects& effects) {
  std::map<std::string, KnownHost> now;
  for (const Host& host : group.hosts) {
    if (now.size() >= rules_.max_hosts) break;
    KnownHost known{host, at_};
    const auto before = hosts_.find(host.name);
    if (!group_known_) known.appeared = at_ - rules_.grace;  // the hosts of the first list are not new
    if (before != hosts_.end()) {
      const Incarnation incarnation = before->second.host.incarnation;
      // An owner with an older list must not undo a restart.
      known.host.incarnation = std::max(incarnation, host.incarnation);
      if (known.host.incarnation == incarnation) known.appeared = before->second.appeared;
    }
    now.emplace(host.name, std::move(known));
  }
  group_known_ = true;
  used_share_ = std::clamp(group.used_share, 0.0, 1.0);
  std::vector<std::pair<std::string, ReturnReason>> back;
  std::vector<std::string> close;
  for (const auto& [name, before] : hosts_) {
    const auto at = now.find(name);
    const bool gone = at == now.end();
    const bool restarted = !gone && at->second.host.incarnation > before.host.incarnation;
    if (gone || restarted) close.push_back(name);
    const auto record = ejections_.find(name);
    if (record == ejections_.end()) continue;
    if (record->second.out() && (gone || restarted || at->second.host.by_hand)) {
      back.emplace_back(name, gone        ? ReturnReason::kLeftGroup
                              : restarted ? ReturnReason::kNewIncarnation
                                          : ReturnReason::kByHand);
    } else if (gone || restarted) {
      ejections_.erase(record);
    }
  }
  hosts_ = std::move(now);
  for (const auto& [name, return_reason] : back) {
    ReturnHost(name, return_reason, effects);
    if (return_reason != ReturnReason::kByHand) ejections_.erase(name);
  }
  for (const std::string& name : close) CloseCase(name, effects);

  std::map<std::string, KnownBalancer> balancers;
  for (const Balancer& balancer : group.balancers) {
    if (balancers.size() >= kMaxBalancers) break;
    KnownBalancer known;
    const auto before = balancers_.find(balancer.name);
    if (before != balancers_.end() && before->second.zone == balancer.zone) known = before->second;
    known.zone = balancer.zone;
    known.hosts = {balancer.hosts.begin(), balancer.hosts.end()};
    balancers.emplace(balancer.name, std::move(known));
  }
  // Drop the reports of balancers that have left, changed their zone or no longer use the host.
  for (auto& [host, host_case] : cases_) {
    std::vector<std::string> drop;
    const auto stays = [&, &on = host](const Report& report) {
      const auto at = balancers.find(report.vote.balancer);
      return at != balancers.end() && at->second.zone == report.vote.zone && Uses(at->second, on);
    };
    for (const auto& [key, report] : host_case.votes) {
      if (!stays(report)) drop.push_back(key);
    }
    for (const auto& [key, report] : host_case.good_reports) {
      if (!stays(report)) drop.push_back(key);
    }
    for (const std::string& key : drop) {
      DropReport(host_case, key);
      const auto at = balancers.find(key);  // DropReport() has updated only the old list
      if (at != balancers.end() && at->second.hosts_voted_against > 0) --at->second.hosts_voted_against;
    }
  }
  balancers_ = std::move(balancers);
  count_pending_ = true;
  // If the group has shrunk or the rest can carry less, the hosts ejected last return first.
  std::vector<std::pair<uint64_t, std::string>> out;
  for (const auto& [name, ejection] : ejections_) {
    if (ejection.out()) out.emplace_back(ejection.index, name);
  }
  std::sort(out.rbegin(), out.rend());
  for (const auto& [index, name] : out) {
    if (HoldReasonFor(name) != HoldReason::kNone) ReturnHost(name, ReturnReason::kCapReduced, effects);
  }
}

void State::ExpireDue(Effects& effects) {
  std::vector<std::string> close;
  for (auto& [host, host_case] : cases_) {
    std::vector<std::string> drop;
    for (const auto& [key, report] : host_case.votes) {
      if (report.until <= at_ && !rules_.injected.votes_never_expire) drop.push_back(key);
    }
    for (const auto& [key, report] : host_case.good_reports) {
      if (report.until <= at_) drop.push_back(key);
    }
    for (const std::string& key : drop) DropReport(host_case, key);
    // No sure vote is left. The other reports were only answers to the poll.
    if (SureVotesOf(host_case) == 0 && at_ >= host_case.poll_min_end) close.push_back(host);
  }
  for (const std::string& host : close) CloseCase(host, effects);

  std::vector<std::pair<std::string, ReturnReason>> back;
  for (auto& [host, ejection] : ejections_) {
    if (!ejection.out() || ejection.until > at_ || rules_.injected.terms_never_end) continue;
    const KnownHost& known = hosts_.at(host);
    switch (ejection.phase) {
      case Ejection::Phase::kOut:
        if (known.host.draining) {
          back.emplace_back(host, ReturnReason::kDraining);
          break;
        }
        ejection.phase = Ejection::Phase::kSingleTrial;
        ejection.until = at_ + rules_.single_trial_timeout;
        StartTrial(host, ejection, 1, effects);
        break;
      case Ejection::Phase::kSingleTrial:
        ejection.phase = Ejection::Phase::kMultiTrial;
        ejection.until = at_ + rules_.multi_trial_timeout;
        StartTrial(host, ejection, rules_.multi_trial_balancers, effects);
        break;
      default:
        back.emplace_back(host, ReturnReason::kNoTrial);
        break;
    }
  }
  for (const auto& [host, return_reason] : back) ReturnHost(host, return_reason, effects);
  std::erase_if(ejections_, [&](const auto& entry) {
    return !entry.second.out() && at_ - entry.second.since >= rules_.term_retention;
  });
  std::erase_if(forbidden_, [&](const auto& entry) { return entry.second.until <= at_; });

  const bool held =
      std::ranges::any_of(cases_, [](const auto& entry) { return IsCapReason(entry.second.reported_hold); });
  if (held || !incident_) {
    calm_since_ = kNever;
  } else if (calm_since_ == kNever) {
    calm_since_ = at_;
  } else if (at_ - calm_since_ >= rules_.incident_calm_time) {
    incident_ = false;
    effects.push_back(MakeEffect(What::kIncidentOver, ""));
  }
}

void State::StartTrial(const std::string& host, Ejection& ejection, size_t most, Effects& effects) {
  std::vector<std::string> all;
  for (const auto& [name, balancer] : balancers_) {
    if (Uses(balancer, host) && !suspects_.contains(name)) all.push_back(name);
  }
  // Round robin from a start that depends on the ejection: the same at each member, no randomness.
  for (size_t i = 0; i < std::min(most, all.size()); ++i) {
    const std::string& name = all[(ejection.index * 7919 + ejection.tries++) % all.size()];
    if (std::ranges::find(ejection.triers, name) == ejection.triers.end()) ejection.triers.push_back(name);
  }
  Effect effect = MakeEffect(What::kRunTrial, host, ejection.incarnation);
  effect.who = ejection.triers;
  effects.push_back(std::move(effect));
}

size_t State::SureVotesOf(const Case& host_case) const {
  return static_cast<size_t>(
      std::ranges::count_if(host_case.votes, [](const auto& vote) { return vote.second.vote.sure; }));
}

size_t State::GroupCap() const {
  const double share = rules_.max_group_share * static_cast<double>(hosts_.size());
  return std::max<size_t>(1, static_cast<size_t>(share + 1e-9));
}

// If a balancer votes against many hosts, its own network is the more likely cause. Its votes are
// kept but not counted.
void State::UpdateSuspects(Effects& effects) {
  for (const auto& [name, balancer] : balancers_) {
    const size_t used = balancer.hosts.empty() ? hosts_.size() : balancer.hosts.size();
    const bool many = balancer.hosts_voted_against >= rules_.suspect_min_hosts &&
                      balancer.hosts_voted_against > rules_.suspect_share * static_cast<double>(used);
    const bool is = many || balancer.flood_reported;  // or sends more entries than a correct balancer
    if (is == suspects_.contains(name)) continue;
    Effect effect = MakeEffect(is ? What::kSuspect : What::kSuspectCleared, "");
    effect.who = {name};
    effects.push_back(std::move(effect));
    if (is) {
      suspects_.insert(name);
    } else {
      suspects_.erase(name);
    }
    count_pending_ = true;
  }
  std::erase_if(suspects_, [&](const std::string& name) { return !balancers_.contains(name); });
}

void State::OpenPolls(Effects& effects) {
  for (auto& [host, host_case] : cases_) {
    if (host_case.poll_open) continue;
    Micros back = 0;
    size_t sure = 0;
    for (const auto& [key, report] : host_case.votes) {
      if (!report.vote.sure || (suspects_.contains(report.vote.balancer) && !rules_.injected.suspects_count))
        continue;
      ++sure;
      back = std::max(back, report.vote.window);
    }
    if (sure < rules_.sure_votes_to_poll) continue;
    host_case.poll_open = true;
    host_case.poll_start = host_case.poll_min_end = at_;
    Effect effect = MakeEffect(What::kPollOpened, host, hosts_.at(host).host.incarnation);
    effect.term = std::min(back, rules_.poll_lookback);
    effects.push_back(std::move(effect));
    count_pending_ = true;
  }
}

State::Tally State::TallyCase(const std::string& host, const Case& host_case) const {
  Tally tally;
  double failed = 0, trials = 0;
  const auto record = ejections_.find(host);
  if (record != ejections_.end() && at_ - record->second.since <= rules_.relapse_within) {
    trials = 8;  // the share of failures before its return counts as this many results
    failed = trials * record->second.share;
  }
  std::array<uint32_t, kKinds> kinds{};
  bool first = true;
  std::map<std::string, double> balance;  // by zone: votes minus the weight of good reports
  for (const auto& [key, report] : host_case.votes) {
    const Vote& vote = report.vote;
    if (suspects_.contains(vote.balancer) && !rules_.injected.suspects_count) continue;
    tally.voters.push_back(vote.balancer);
    tally.sure += vote.sure ? 1 : 0;
    tally.others += vote.others >= rules_.min_trials ? 1 : 0;
    balance[vote.zone] += 1;
    // Each vote starts at a failure by selection, so only the results after it show how often it fails.
    failed += static_cast<double>(std::min(vote.failures, vote.trials)) - 1;
    trials += static_cast<double>(vote.trials) - 1;
    ++kinds[static_cast<size_t>(vote.kind)];
    tally.cls = first || tally.cls == vote.cls ? vote.cls : kSeveralClasses;
    first = false;
  }
  // An upper estimate: with few results, good reports have their full weight against the votes.
  const double likely = (failed + 1) / (trials + 1) + 0.5 / std::sqrt(trials + 1);
  tally.share = std::clamp(likely, rules_.bad_share, 1.0);
  tally.raw_share = trials > 0 ? std::clamp(failed / trials, rules_.bad_share, 1.0) : 1;
  tally.kind = static_cast<Kind>(std::ranges::max_element(kinds) - kinds.begin());
  for (const auto& [key, report] : host_case.good_reports) {
    // A few good answers of a host that fails a third of its queries hardly contradict the failures that
    // others saw.
    const double weight = ContradictionWeight(report.vote.trials, tally.share);
    tally.good_weight += weight;
    if (!rules_.injected.good_reports_ignored) balance[report.vote.zone] -= weight;
    if (report.vote.cls != tally.cls) tally.others += weight;
  }
  for (const auto& [zone, votes] : balance) {
    if (votes > 0) tally.zones.insert(zone);
  }
  return tally;
}

bool State::HasEnoughVotes(const std::string& host, Case& host_case, const Tally& tally,
                           Effects& effects) const {
  if (tally.voters.size() < rules_.min_voters) return false;
  const auto record = ejections_.find(host);
  const bool relapse = record != ejections_.end() && at_ - record->second.since <= rules_.relapse_within;
  const bool sure = tally.sure >= rules_.min_sure_votes || tally.voters.size() >= 2 * rules_.min_voters;
  if (!sure && !relapse) return false;
  if (tally.zones.size() < std::min<size_t>(rules_.min_zones, ZonesUsing(host)) &&
      !rules_.injected.zones_ignored) {
    if (tally.zones.size() != 1 || host_case.reported_zone == *tally.zones.begin()) return false;
    host_case.reported_zone = *tally.zones.begin();
    Effect effect = MakeEffect(What::kBadFromZone, host, hosts_.at(host).host.incarnation);
    effect.zone = host_case.reported_zone;
    effect.who = tally.voters;
    effects.push_back(std::move(effect));
    return false;
  }
  const auto voters = static_cast<double>(tally.voters.size());
  if (tally.cls != kSeveralClasses && tally.others > voters / 2 && !rules_.injected.good_reports_ignored) {
    if (std::exchange(host_case.reported_class, true)) return false;
    Effect effect = MakeEffect(What::kBadForClass, host, hosts_.at(host).host.incarnation);
    effect.cls = tally.cls;
    effect.who = tally.voters;
    effects.push_back(std::move(effect));
    return false;
  }
  if (rules_.injected.good_reports_ignored) return true;
  // If all queries fail for some balancers and none for others, perhaps only part of the paths to the host
  // fail. Wait for the reports of the other balancers.
  const bool mixed = 4 * tally.good_weight >= voters && tally.raw_share >= 0.8;
  if (mixed && at_ < host_case.poll_start + rules_.poll_wait_if_mixed) return false;
  return voters > tally.good_weight;
}

// Whether more hosts are suspected than may be ejected, and not by the balancers of one zone only. The cause
// is then not a single host.
bool State::ManyHostsSuspected() const {
  std::map<std::string, std::set<std::string>> by_zone;
  std::set<std::string> all;
  for (const auto& [host, host_case] : cases_) {
    for (const auto& [key, report] : host_case.votes) {
      if (!report.vote.sure) continue;
      by_zone[report.vote.zone].insert(host);
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

// Why `host` may not be ejected in addition to the present ejections, or kNone.
HoldReason State::HoldReasonFor(const std::string& host) const {
  const KnownHost& about = hosts_.at(host);
  const auto is_out = [&](const std::string& name) {
    const auto at = ejections_.find(name);
    if (at == ejections_.end() || !at->second.out()) return false;
    return !rules_.injected.cap_reset_by_new_owner || at->second.index > owner_index_;
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
  if (!rules_.injected.last_host_ejected) {
    if (ready == 0) return HoldReason::kLastOfGroup;
    if (ready_of_zone == 0) return HoldReason::kLastOfZone;
  }
  if (rules_.injected.cap_ignored) return HoldReason::kNone;
  if (out > GroupCap()) return HoldReason::kGroupCap;
  const double zone_cap = rules_.max_zone_share * static_cast<double>(zone) + 1e-9;
  if (out_of_zone > std::max<size_t>(1, static_cast<size_t>(zone_cap))) return HoldReason::kZoneCap;
  if (used_share_ * capacity > rules_.max_utilization * rest) return HoldReason::kCapacity;
  return HoldReason::kNone;
}

void State::CountVotes(Effects& effects) {
  count_pending_ = false;
  counted_at_ = at_;
  const bool many = ManyHostsSuspected() && !rules_.injected.cap_ignored;
  std::vector<std::pair<std::string, Tally>> to_eject;
  std::vector<std::string> to_close;
  for (auto& [host, host_case] : cases_) {
    if (!host_case.poll_open) continue;
    const Host& known = hosts_.at(host).host;
    if (known.draining || known.by_hand) continue;  // it gets no new queries anyway
    if (at_ < host_case.poll_start + rules_.poll_wait) {
      count_pending_ = true;
      continue;
    }
    Tally tally = TallyCase(host, host_case);
    if (!HasEnoughVotes(host, host_case, tally, effects)) {
      host_case.reported_hold = HoldReason::kNone;
      const double enough = rules_.close_good_reports_per_vote * static_cast<double>(tally.voters.size());
      if (tally.good_weight >= std::max<double>(rules_.close_min_good_reports, enough))
        to_close.push_back(host);
      continue;
    }
    to_eject.emplace_back(host, std::move(tally));
  }
  for (const std::string& host : to_close) CloseCase(host, effects);
  // Hosts with the most votes are ejected first.
  std::ranges::stable_sort(
      to_eject, [](const auto& a, const auto& b) { return a.second.voters.size() > b.second.voters.size(); });
  std::vector<std::string> past_cap;
  for (const auto& [host, tally] : to_eject) {
    HoldReason held = forbidden_.contains(host) ? HoldReason::kForbidden
                      : many                    ? HoldReason::kManySuspects
                                                : HoldReasonFor(host);
    if (held == HoldReason::kNone) {
      Eject(host, tally, effects);
      continue;
    }
    if (IsCapReason(held)) past_cap.push_back(host);
    if (std::exchange(cases_[host].reported_hold, held) == held) continue;
    Effect effect = MakeEffect(What::kHeld, host, hosts_.at(host).host.incarnation);
    effect.held = held;
    effect.who = tally.voters;
    effects.push_back(std::move(effect));
  }
  if (past_cap.empty() || std::exchange(incident_, true)) return;
  Effect effect = MakeEffect(What::kIncident, "");
  effect.hosts = std::move(past_cap);
  effects.push_back(std::move(effect));
}

void State::Eject(const std::string& host, const Tally& tally, Effects& effects) {
  Ejection& ejection = ejections_[host];
  const Incarnation incarnation = hosts_.at(host).host.incarnation;
  if (ejection.incarnation != incarnation || ejection.last_term == 0) {
    ejection = {};
    ejection.last_term = rules_.first_term;
  } else {
    // Soon after its return, the good trial is taken for chance and the term from before is doubled.
    const bool soon = at_ - ejection.since <= rules_.relapse_within;
    ejection.last_term =
        std::clamp(2 * (soon ? ejection.last_term : ejection.term), rules_.first_term, rules_.max_term);
  }
  ejection.term = ejection.last_term;
  ejection.phase = Ejection::Phase::kOut;
  ejection.incarnation = incarnation;
  ejection.index = index_;
  ejection.since = ejection.lost_at = at_;
  ejection.until = at_ + ejection.last_term;
  ejection.tries = 0;
  ejection.kind = tally.kind;
  ejection.share = tally.raw_share;
  ejection.voters = tally.voters;
  ejection.triers.clear();
  Effect effect = MakeEffect(What::kEject, host, incarnation);
  effect.term = ejection.last_term;
  effect.kind = tally.kind;
  effect.who = tally.voters;
  effects.push_back(std::move(effect));
  CloseCase(host, effects);
}

void State::ReturnHost(const std::string& host, ReturnReason return_reason, Effects& effects) {
  Ejection& ejection = ejections_.at(host);
  ejection.phase = Ejection::Phase::kReturned;
  ejection.since = at_;
  ejection.until = kNever;
  ejection.triers.clear();
  Effect effect = MakeEffect(What::kReturn, host, ejection.incarnation);
  effect.return_reason = return_reason;
  effects.push_back(std::move(effect));
  CloseCase(host, effects);
  count_pending_ = true;
  if (return_reason != ReturnReason::kTrialGood && return_reason != ReturnReason::kNoTrial) return;
  // Only one answer was good. A poll makes all balancers report the next ones without a sure vote.
  Case& host_case = cases_[host];
  host_case.poll_open = true;
  host_case.poll_start = at_ + rules_.grace;
  host_case.poll_min_end = host_case.poll_start + rules_.relapse_poll_time;
  effects.push_back(MakeEffect(What::kPollOpened, host, ejection.incarnation));
}

Micros State::next_at() const {
  Micros next = kNever;
  for (const auto& [host, host_case] : cases_) {
    for (const auto& [key, report] : host_case.votes) next = std::min(next, report.until);
    for (const auto& [key, report] : host_case.good_reports) next = std::min(next, report.until);
    for (const Micros wait : {rules_.poll_wait, rules_.poll_wait_if_mixed}) {
      if (host_case.poll_open && at_ < host_case.poll_start + wait)
        next = std::min(next, host_case.poll_start + wait);
    }
    if (at_ < host_case.poll_min_end) next = std::min(next, host_case.poll_min_end);
  }
  for (const auto& [host, ejection] : ejections_) {
    next = std::min(next, ejection.out() ? ejection.until : ejection.since + rules_.term_retention);
  }
  for (const auto& [host, forbidden] : forbidden_) next = std::min(next, forbidden.until);
  if (incident_)
    next = std::min(next, (calm_since_ == kNever ? at_ : calm_since_) + rules_.incident_calm_time);
  return next;
}

bool State::CountDue(Micros at) const {
  return std::ranges::any_of(cases_, [&](const auto& entry) {
    const Micros poll_start = entry.second.poll_start;
    if (!entry.second.poll_open || at < poll_start + rules_.poll_wait) return false;
    // Count once more when poll_wait_if_mixed ends, even if no report has arrived since.
    return count_pending_ || (counted_at_ < poll_start + rules_.poll_wait_if_mixed &&
                              at >= poll_start + rules_.poll_wait_if_mixed);
  });
}

std::vector<std::string> State::PolledHosts() const {
  std::vector<std::string> hosts;
  for (const auto& [host, host_case] : cases_) {
    if (host_case.poll_open) hosts.push_back(host);
  }
  return hosts;
}

std::vector<Vote> State::VotesAgainst(const std::string& host) const {
  std::vector<Vote> votes;
  const auto at = cases_.find(host);
  if (at == cases_.end()) return votes;
  for (const auto& [key, report] : at->second.votes) votes.push_back(report.vote);
  return votes;
}

std::vector<GoodReport> State::GoodReportsFor(const std::string& host) const {
  std::vector<GoodReport> good_reports;
  const auto at = cases_.find(host);
  if (at == cases_.end()) return good_reports;
  for (const auto& [key, report] : at->second.good_reports) {
    const Vote& fields = report.vote;
    good_reports.push_back({fields.balancer, fields.zone, fields.host, fields.incarnation, fields.trials,
                            fields.cls, fields.lifetime});
  }
  return good_reports;
}

}  // namespace burlfall::ejection
