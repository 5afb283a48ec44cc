// ActiveEjections: the ejections that one balancer applies.
#include <algorithm>

#include "ejection/state.h"

namespace burlfall::ejection {

bool ActiveEjections::Apply(uint64_t index, Micros now, const Effects& effects, const std::string& self) {
  if (index <= index_) return false;
  index_ = index;
  for (const Effect& effect : effects) {
    switch (effect.what) {
      case Effect::What::kEject:
        out_[effect.host] = {effect.incarnation,
                             now + effect.term + rules_.single_trial_timeout + rules_.multi_trial_timeout,
                             false};
        break;
      case Effect::What::kRunTrial: {
        const auto at = out_.find(effect.host);
        if (at == out_.end() || at->second.incarnation != effect.incarnation) break;
        at->second.until = now + rules_.single_trial_timeout + rules_.multi_trial_timeout;
        if (std::ranges::find(effect.who, self) != effect.who.end()) at->second.trial_allowed = true;
        break;
      }
      case Effect::What::kReturn:
        out_.erase(effect.host);
        break;
      default:
        break;
    }
  }
  return true;
}

bool ActiveEjections::LoadState(Micros now, const State& state, const std::string& self) {
  if (state.index() < index_) return false;
  index_ = state.index();
  out_.clear();
  for (const auto& [host, ejection] : state.ejections()) {
    if (!ejection.out()) continue;
    const Micros left = std::max<Micros>(0, ejection.until - state.at());
    const bool chosen = std::ranges::find(ejection.triers, self) != ejection.triers.end();
    out_[host] = {ejection.incarnation, now + left + rules_.single_trial_timeout + rules_.multi_trial_timeout,
                  chosen && ejection.phase != Ejection::Phase::kOut};
  }
  return true;
}

std::vector<std::string> ActiveEjections::DropExpired(Micros now) {
  std::vector<std::string> expired;
  if (rules_.injected.terms_never_end) return expired;
  std::erase_if(out_, [&](const auto& entry) {
    if (entry.second.until > now) return false;
    expired.push_back(entry.first);
    return true;
  });
  return expired;
}

Micros ActiveEjections::next_at() const {
  Micros next = kNever;
  for (const auto& [host, entry] : out_) next = std::min(next, entry.until);
  return next;
}

bool ActiveEjections::IsEjected(const std::string& host, Incarnation incarnation) const {
  const auto at = out_.find(host);
  return at != out_.end() && incarnation <= at->second.incarnation;
}

bool ActiveEjections::MayTry(const std::string& host, Incarnation incarnation) const {
  const auto at = out_.find(host);
  return at != out_.end() && at->second.incarnation == incarnation && at->second.trial_allowed;
}

bool ActiveEjections::ConsumeTrial(const std::string& host, Incarnation incarnation) {
  if (!MayTry(host, incarnation)) return false;
  out_[host].trial_allowed = false;
  return true;
}

std::map<std::string, Incarnation> ActiveEjections::hosts() const {
  std::map<std::string, Incarnation> all;
  for (const auto& [host, entry] : out_) all[host] = entry.incarnation;
  return all;
}

}  // namespace burlfall::ejection
