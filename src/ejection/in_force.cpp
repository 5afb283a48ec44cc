#include <algorithm>

#include "ejection/state.h"

namespace burlfall::ejection {

bool InForce::Apply(uint64_t index, Micros now, const Effects& effects, const std::string& self) {
  if (index <= index_) return false;
  index_ = index;
  for (const Effect& effect : effects) {
    switch (effect.what) {
      case Effect::What::kEject:
        out_[effect.host] = {effect.life, now + effect.term + rules_.try_one + rules_.try_few, false};
        break;
      case Effect::What::kTry: {
        const auto at = out_.find(effect.host);
        if (at == out_.end() || at->second.life != effect.life) break;
        at->second.until = now + rules_.try_one + rules_.try_few;
        if (std::ranges::find(effect.who, self) != effect.who.end()) at->second.may_try = true;
        break;
      }
      case Effect::What::kBack:
        out_.erase(effect.host);
        break;
      default:
        break;
    }
  }
  return true;
}

bool InForce::Begin(Micros now, const State& state, const std::string& self) {
  if (state.index() < index_) return false;
  index_ = state.index();
  out_.clear();
  for (const auto& [host, ejection] : state.ejections()) {
    if (!ejection.out()) continue;
    const Micros left = std::max<Micros>(0, ejection.until - state.at());
    const bool told = std::ranges::find(ejection.triers, self) != ejection.triers.end();
    out_[host] = {ejection.life, now + left + rules_.try_one + rules_.try_few,
                  told && ejection.phase != Ejection::Phase::kOut};
  }
  return true;
}

std::vector<std::string> InForce::Tick(Micros now) {
  std::vector<std::string> over;
  if (rules_.planted.never_ends) return over;
  std::erase_if(out_, [&](const auto& one) {
    if (one.second.until > now) return false;
    over.push_back(one.first);
    return true;
  });
  return over;
}

Micros InForce::next_at() const {
  Micros next = kNever;
  for (const auto& [host, one] : out_) next = std::min(next, one.until);
  return next;
}

bool InForce::Out(const std::string& host, Life life) const {
  const auto at = out_.find(host);
  return at != out_.end() && life <= at->second.life;
}

bool InForce::ToTry(const std::string& host, Life life) const {
  const auto at = out_.find(host);
  return at != out_.end() && at->second.life == life && at->second.may_try;
}

bool InForce::TakeTry(const std::string& host, Life life) {
  if (!ToTry(host, life)) return false;
  out_[host].may_try = false;
  return true;
}

std::map<std::string, Life> InForce::hosts() const {
  std::map<std::string, Life> all;
  for (const auto& [host, one] : out_) all[host] = one.life;
  return all;
}

}  // namespace burlfall::ejection
