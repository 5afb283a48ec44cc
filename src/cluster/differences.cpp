#include "cluster/differences.h"

#include <algorithm>
#include <map>

namespace burlfall::cluster {
namespace {

struct Told {
  const std::string& who;
  const Facts& facts;
  Micros list_age;  // by now
};

std::vector<Told> AllTold(const Mind& mind, Micros now, const DifferRules& rules) {
  std::vector<Told> all = {
      {mind.self().name, mind.facts(), static_cast<Micros>(mind.facts().list_age_ms) * kMs}};
  for (const auto& [name, member] : mind.members()) {
    const bool living = member.state == State::kAlive || member.state == State::kSuspect;
    if (!living || member.heard_at == 0 || now - member.heard_at > rules.heard_within) continue;
    all.push_back(
        {name, member.facts, static_cast<Micros>(member.facts.list_age_ms) * kMs + now - member.heard_at});
  }
  return all;
}

// What more than half of them tell; nothing where no value has so many.
template <class Value>
const Value* MostCommon(const std::map<Value, size_t>& counts, size_t of) {
  for (const auto& [value, count] : counts) {
    if (2 * count > of) return &value;
  }
  return nullptr;
}

template <class Value, class Get, class Say>
void HoldAgainstMost(const std::vector<Told>& all, Get get, Say say, std::vector<Difference>& found) {
  std::map<Value, size_t> counts;
  for (const Told& one : all) ++counts[get(one)];
  const Value* most = MostCommon(counts, all.size());
  if (counts.size() < 2) return;
  if (most == nullptr) {
    found.push_back({"", say(Value(), Value()) + ": " + std::to_string(counts.size()) +
                             " kinds, none of them in more than half"});
    return;
  }
  for (const Told& one : all) {
    if (get(one) != *most) found.push_back({one.who, say(get(one), *most)});
  }
}

}  // namespace

uint64_t NewestList(const Mind& mind, Micros now, const DifferRules& rules) {
  uint64_t newest = 0;
  for (const Told& one : AllTold(mind, now, rules)) newest = std::max(newest, one.facts.list_version);
  return newest;
}

std::vector<Difference> WhoDiffers(const Mind& mind, Micros now, const DifferRules& rules) {
  const std::vector<Told> all = AllTold(mind, now, rules);
  std::vector<Difference> found;
  HoldAgainstMost<std::string>(
      all, [](const Told& one) { return one.facts.build; },
      [](const std::string& its, const std::string& most) {
        return its == most ? std::string("builds differ")
                           : std::string("build ") + its + ", most have " + most;
      },
      found);
  HoldAgainstMost<uint64_t>(
      all, [](const Told& one) { return one.facts.configuration; },
      [](uint64_t its, uint64_t most) {
        return its == most ? std::string("configurations differ")
                           : std::string("another configuration than most (") + std::to_string(its % 100000) +
                                 ", not " + std::to_string(most % 100000) + ")";
      },
      found);
  const uint64_t newest = NewestList(mind, now, rules);
  size_t stale = 0;
  for (const Told& one : all) {
    const bool behind = one.list_age > rules.list_behind;
    stale += behind ? 1 : 0;
    if (one.facts.list_version == newest || !behind) continue;
    found.push_back({one.who, "list " + std::to_string(one.facts.list_version) + ", told " +
                                  std::to_string(one.list_age / kSecond) + " s ago; the newest is " +
                                  std::to_string(newest)});
  }
  if (stale == all.size() && all.size() > 1) {
    found.push_back(
        {"", "nobody has heard the list service for " + std::to_string(rules.list_behind / kSecond) + " s"});
  }
  return found;
}

}  // namespace burlfall::cluster
