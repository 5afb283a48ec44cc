#include "lab/ejection_world/checker.h"

#include <algorithm>

namespace burlfall::ejection_world {
namespace {

using ejection::Group;

const ejection::Host* Find(const Group& group, const std::string& name) {
  const auto at = std::ranges::find(group.hosts, name, &ejection::Host::name);
  return at == group.hosts.end() ? nullptr : &*at;
}

bool Uses(const ejection::Balancer& balancer, const std::string& host) {
  return balancer.hosts.empty() || std::ranges::find(balancer.hosts, host) != balancer.hosts.end();
}

std::string Pair(const std::string& balancer, const std::string& host) {
  std::string key = balancer;
  return key.append(1, ' ').append(host);
}

size_t CapFor(double share, size_t of) {
  return std::max<size_t>(1, static_cast<size_t>(share * static_cast<double>(of) + 1e-9));
}

}  // namespace

void Checker::AddViolation(Micros at, const std::string& what) {
  if (violations_.size() < 100) violations_.push_back(std::to_string(at / kMs) + " ms: " + what);
}

bool Checker::HasValidNumbers(const SentVote& sent) const {
  const ejection::Vote& vote = sent.vote;
  return vote.failures >= 1 && vote.failures <= vote.trials && vote.window >= 0 &&
         vote.window <= rules_.window + kSecond && vote.lifetime <= rules_.vote_lifetime;
}

void Checker::CheckVotes(const Event& out) {
  // A balancer that votes against many hosts does not count. Votes that it has not withdrawn are considered.
  std::map<std::string, size_t> against;
  for (const auto& [host, sent_votes] : votes_) {
    std::set<std::string> by;
    for (const SentVote& sent_vote : sent_votes) {
      if (sent_vote.at + sent_vote.vote.lifetime > out.at && HasValidNumbers(sent_vote))
        by.insert(sent_vote.vote.balancer);
    }
    for (const std::string& balancer : by) ++against[balancer];
  }
  const Group& group = groups_.back().second;
  std::set<std::string> voters, zones;
  for (const SentVote& sent_vote : votes_[out.host]) {
    const ejection::Vote& vote = sent_vote.vote;
    if (vote.incarnation != out.incarnation || sent_vote.at + vote.lifetime + max_delay_ < out.at ||
        !HasValidNumbers(sent_vote))
      continue;
    const auto from = std::ranges::find(group.balancers, vote.balancer, &ejection::Balancer::name);
    if (from == group.balancers.end() || from->zone != vote.zone || !Uses(*from, out.host)) continue;
    const size_t used = from->hosts.empty() ? group.hosts.size() : from->hosts.size();
    if (against[vote.balancer] >= 2 * rules_.suspect_min_hosts &&
        static_cast<double>(against[vote.balancer]) > 2 * rules_.suspect_share * static_cast<double>(used)) {
      continue;
    }
    // The voter must have seen a failure itself.
    const auto seen = failed_.find(Pair(vote.balancer, out.host));
    if (seen == failed_.end() || seen->second + rules_.window + kSecond < sent_vote.at) continue;
    voters.insert(vote.balancer);
    zones.insert(vote.zone);
  }
  std::set<std::string> using_zones;
  for (const ejection::Balancer& member : group.balancers) {
    if (Uses(member, out.host)) using_zones.insert(member.zone);
  }
  if (voters.size() < rules_.min_voters) {
    AddViolation(out.at, out.host + " ejected by " + std::to_string(voters.size()) + " voters");
  } else if (zones.size() < std::min<size_t>(rules_.min_zones, using_zones.size())) {
    AddViolation(out.at, out.host + " ejected by one zone alone");
  }
}

void Checker::CheckMajoritySeesFailures(const Event& out) {
  // A violation if the host works for most balancers, by its simulated faults and by their own results.
  size_t users = 0, clean = 0;
  for (const ejection::Balancer& member : groups_.back().second.balancers) {
    if (!Uses(member, out.host)) continue;
    ++users;
    const auto failed = failed_.find(Pair(member.name, out.host));
    const auto served = last_served_.find(Pair(member.name, out.host));
    if (served == last_served_.end() || served->second + rules_.window < out.at) continue;
    clean += failed == failed_.end() || failed->second + rules_.window < out.at ? 1 : 0;
  }
  size_t most = 0;
  const auto& course = truth_[out.host];
  for (size_t i = 0; i < course.size(); ++i) {
    const bool over = i + 1 < course.size() && course[i + 1].first + rules_.window + max_delay_ < out.at;
    if (!over) most = std::max(most, course[i].second.size());
  }
  if (2 * most < users && 2 * clean > users) {
    AddViolation(out.at, out.host + " ejected, but works for all but " + std::to_string(most) + " of " +
                             std::to_string(users));
  }
}

void Checker::CheckCap(Micros at, const std::string& balancer) {
  // Within the maximum delay, a balancer may still use an earlier group.
  size_t cap = 0;
  for (const auto& [since, group] : groups_)
    cap = std::max(cap, CapFor(rules_.max_group_share, group.hosts.size()));
  const auto& out = out_[balancer];
  if (out.size() > cap) {
    AddViolation(at, balancer + " has " + std::to_string(out.size()) + " hosts ejected, above the cap of " +
                         std::to_string(cap));
  }
  if (groups_.size() > 1) return;  // the checks by zone need one group that all agree on
  std::map<std::string, std::pair<size_t, size_t>> zones;  // number of hosts, number ejected
  const Group& group = groups_.back().second;
  for (const ejection::Host& host : group.hosts) {
    ++zones[host.zone].first;
    if (out.contains(host.name)) ++zones[host.zone].second;
  }
  for (const auto& [zone, counts] : zones) {
    if (counts.second > 0 && counts.second == counts.first) {
      AddViolation(at, balancer + " has taken the last host of " + zone + " out of service");
    } else if (counts.second > CapFor(rules_.max_zone_share, counts.first)) {
      AddViolation(at, balancer + " is above the cap of " + zone);
    }
  }
}

void Checker::CheckEnds(Micros at) {
  for (auto& [balancer, hosts] : out_) {
    for (auto& [host, out] : hosts) {
      if (out.until >= at || out.reported) continue;
      out.reported = true;
      AddViolation(at, host + " is still ejected at " + balancer + " past its term");
    }
  }
}

void Checker::OnEvent(const Event& event) {
  if (event.at - last_check_ >= kSecond) {
    last_check_ = event.at;
    CheckEnds(event.at);
    while (groups_.size() > 1 && groups_[1].first + max_delay_ < event.at) {
      groups_.pop_front();
      if (groups_.size() == 1) {
        for (const auto& [balancer, hosts] : out_) CheckCap(event.at, balancer);
      }
    }
  }
  switch (event.what) {
    case Event::What::kGroup:
      groups_.emplace_back(event.at, event.group);
      break;
    case Event::What::kTruth:
      truth_[event.host].emplace_back(event.at, event.users);
      if (truth_[event.host].size() > 64) truth_[event.host].pop_front();
      break;
    case Event::What::kVote: {
      auto& votes = votes_[event.vote.host];
      votes.push_back({event.vote, event.at});
      while (votes.front().at + 2 * rules_.vote_lifetime + max_delay_ < event.at) votes.pop_front();
      break;
    }
    case Event::What::kWithdrawVote:
      // The vote may still be counted until the withdrawal has reached all members.
      for (SentVote& sent : votes_[event.host]) {
        if (sent.vote.balancer == event.balancer) {
          sent.vote.lifetime = std::min(sent.vote.lifetime, event.at - sent.at + max_delay_);
        }
      }
      break;
    case Event::What::kResult:
      if (event.good) {
        last_served_[Pair(event.balancer, event.host)] = event.at;
      } else {
        last_failed_[event.host] = failed_[Pair(event.balancer, event.host)] = event.at;
      }
      break;
    case Event::What::kByHand:
      by_hand_[event.host] = event.at + event.span + max_delay_;
      break;
    case Event::What::kEjected: {
      const bool first = ejected_.insert({event.host, event.number}).second;
      if (first) {
        CheckVotes(event);
        CheckMajoritySeesFailures(event);
        const auto* host = Find(groups_.back().second, event.host);
        if (groups_.size() == 1 && (host == nullptr || host->incarnation != event.incarnation)) {
          AddViolation(event.at, event.host + " ejected in an incarnation that it does not have");
        }
      }
      Out& out = out_[event.balancer][event.host];
      const bool again = out.number == event.number && out.since != 0;
      if (again && last_failed_[event.host] < out.since - max_delay_ && by_hand_[event.host] < event.at) {
        AddViolation(event.at, event.host + " stays ejected without a bad trial");
      }
      const Micros term =
          rules_.max_term + rules_.single_trial_timeout + rules_.multi_trial_timeout + max_delay_;
      out = {event.incarnation, event.number, event.at,
             std::max(event.at + term, by_hand_[event.host] + term), false};
      CheckCap(event.at, event.balancer);
      break;
    }
    case Event::What::kReturned:
      out_[event.balancer].erase(event.host);
      break;
  }
}

void Checker::Finish(Micros at) { CheckEnds(at); }

}  // namespace burlfall::ejection_world
