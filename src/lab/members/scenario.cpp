#include "lab/members/scenario.h"

#include <algorithm>
#include <numeric>
#include <stdexcept>
#include <utility>

#include "lab/script/range_key.h"

namespace burlfall::lab {
namespace {

Micros Us(double seconds) { return static_cast<Micros>(seconds * static_cast<double>(kSecond)); }

Schema<MemberFault> FaultSchema() {
  Schema<MemberFault> s("what befalls members, or the network between them");
  s.Words("kind", &MemberFault::kind,
          {{"killed", MemberFaultKind::kKilled},
           {"leave", MemberFaultKind::kLeave},
           {"paused", MemberFaultKind::kPaused},
           {"cut", MemberFaultKind::kCut},
           {"lossy", MemberFaultKind::kLossy}},
          "what happens")
      .Required();
  s.Key("at_s", &MemberFault::at_s, "when it begins").Unit("s").Between(0, 100000);
  s.Key("for_s", &MemberFault::for_s,
        "how long it lasts; of killed and leave, until they start again; 0: never")
      .Unit("s")
      .Between(0, 100000);
  s.Key("again_s", &MemberFault::again_s, "how long after its end it comes again; 0: never")
      .Unit("s")
      .Between(0, 100000);
  s.Key("until_s", &MemberFault::until_s, "it doesn't begin again after that").Unit("s").Between(0, 100000);
  s.Key("who", &MemberFault::who,
        "one, all, half, third, fifth, tenth, most (all but one), a number, zone:NAME, not:NAME (all zones "
        "but that) or "
        "name:NAME")
      .Length(1, 100);
  s.Key("to", &MemberFault::to, "of paths: as who, or rest (all others)").Length(1, 100);
  s.Key("both_ways", &MemberFault::both_ways, "of paths: in the other direction as well");
  s.Key("lost", &MemberFault::lost, "share of the datagrams that are lost").Between(0, 1);
  s.Key("delay_ms", &MemberFault::delay_ms, "one way, drawn for each").Unit("ms").Between(0, 60000);
  s.Key("doubled", &MemberFault::doubled, "share that arrives twice").Between(0, 1);
  s.Key("reordered", &MemberFault::reordered, "share that others overtake").Between(0, 1);
  return s;
}

Schema<MemberGoals> GoalSchema() {
  Schema<MemberGoals> s("what must be true of it");
  s.Key("known_median_s", &MemberGoals::known_median_s,
        "from a death to its being known, the median of all who live")
      .Unit("s")
      .Above(0);
  s.Key("known_worst_s", &MemberGoals::known_worst_s, "likewise, the last").Unit("s").Above(0);
  s.Key("joined_worst_s", &MemberGoals::joined_worst_s, "from a start to its being known to the last")
      .Unit("s")
      .Above(0);
  s.Key("false_deaths", &MemberGoals::false_deaths, "most, each in the eyes of one member")
      .Between(0, 1000000000);
  s.Key("equal_within_s", &MemberGoals::equal_within_s, "all views, after the last fault").Unit("s").Above(0);
  s.Key("cut_off_within_s", &MemberGoals::cut_off_within_s,
        "whoever is cut off whole is out for all, and knows it")
      .Unit("s")
      .Above(0);
  s.Key("nobody_else", &MemberGoals::nobody_else,
        "no view of others than those that faults are about changes");
  return s;
}

// Those that a word means, of members that are named and have zones; `but` are left out of "rest".
std::vector<int> Meant(const std::string& word, const MemberPlan& plan, const std::vector<int>& but,
                       Stream64& draws) {
  const int n = static_cast<int>(plan.names.size());
  std::vector<int> all(static_cast<size_t>(n));
  std::iota(all.begin(), all.end(), 0);
  auto drawn = [&](int count) {
    for (int i = n; i > 1; --i)
      std::swap(all[static_cast<size_t>(i - 1)], all[static_cast<size_t>(draws.Below(i))]);
    all.resize(static_cast<size_t>(std::clamp(count, 1, n)));
    std::sort(all.begin(), all.end());
    return all;
  };
  auto those = [&](auto fits) {
    std::erase_if(all, [&](int i) { return !fits(static_cast<size_t>(i)); });
    return all;
  };
  if (word == "all") return all;
  if (word == "rest") {
    return those([&](size_t i) { return std::ranges::count(but, static_cast<int>(i)) == 0; });
  }
  if (word == "one") return drawn(1);
  if (word == "half") return drawn(n / 2);
  if (word == "third") return drawn(n / 3);
  if (word == "fifth") return drawn(n / 5);
  if (word == "tenth") return drawn(n / 10);
  if (word == "most") return drawn(n - 1);
  if (word.starts_with("zone:")) return those([&](size_t i) { return plan.zones[i] == word.substr(5); });
  if (word.starts_with("not:")) return those([&](size_t i) { return plan.zones[i] != word.substr(4); });
  if (word.starts_with("name:")) return those([&](size_t i) { return plan.names[i] == word.substr(5); });
  if (!word.empty() && word.size() < 7 &&
      std::ranges::all_of(word, [](char c) { return c >= '0' && c <= '9'; })) {
    return drawn(std::stoi(word));
  }
  return {};
}

}  // namespace

Schema<Scenario> ScenarioSchema() {
  Schema<Scenario> s("what a cluster of members goes through");
  s.Key("title", &Scenario::title, "in one line").Required().Length(1, 200);
  s.Key("about", &Scenario::about, "what it is for").Length(0, 4000);
  s.Key("seed", &Scenario::seed, "of all draws");
  s.Key("members", &Scenario::members, "how many there are").Between(2, 2000);
  s.Key("zones", &Scenario::zones, "they are dealt out to these in turn").Length(1, 64);
  s.Key("start_s", &Scenario::start_s, "each starts at a moment drawn from it").Unit("s").Between(0, 3600);
  s.Key("dead_seeds", &Scenario::dead_seeds, "addresses that members ask first, and where nobody is")
      .Between(0, 8);
  s.Key("length_s", &Scenario::length_s, "how long it is played").Unit("s").Between(1, 100000);
  s.Tables("faults", &Scenario::faults, FaultSchema(), "what befalls them").Length(0, 200);
  s.Table("goals", &Scenario::goals, GoalSchema(), "what must be true of it");
  return s;
}

MemberPlan DrawMembers(const Scenario& scenario, uint64_t seed) {
  Stream64 draws(seed, "members");
  MemberPlan plan;
  const auto n = static_cast<size_t>(scenario.members);
  for (size_t i = 0; i < n; ++i) {
    std::string name = i < 10 ? "m00" : i < 100 ? "m0" : "m";
    plan.names.push_back(name.append(std::to_string(i)));
    plan.zones.push_back(scenario.zones[i % scenario.zones.size()]);
    plan.actions.push_back(
        {Us(draws.Between(scenario.start_s)), MemberAction::What::kStart, static_cast<int>(i)});
  }
  plan.settled_at = Us(scenario.start_s.high);
  plan.touched.assign(n, false);
  for (const MemberFault& fault : scenario.faults) {
    const std::vector<int> who = Meant(fault.who, plan, {}, draws);
    if (who.empty()) throw std::runtime_error(std::string("a fault is about nobody: ") + fault.who);
    const Micros begin = Us(fault.at_s);
    const bool paths = fault.kind == MemberFaultKind::kCut || fault.kind == MemberFaultKind::kLossy;
    if (!paths) {
      for (const int one : who) {
        plan.touched[static_cast<size_t>(one)] = true;
        Micros at = begin;
        do {
          const Micros length = Us(draws.Between(fault.for_s));
          const bool pause = fault.kind == MemberFaultKind::kPaused;
          plan.actions.push_back({at,
                                  pause                                   ? MemberAction::What::kPause
                                  : fault.kind == MemberFaultKind::kLeave ? MemberAction::What::kLeave
                                                                          : MemberAction::What::kKill,
                                  one});
          if (length > 0) {
            plan.actions.push_back(
                {at + length, pause ? MemberAction::What::kResume : MemberAction::What::kStart, one});
          }
          plan.settled_at = std::max(plan.settled_at, at + length);
          if (fault.again_s.high <= 0) break;
          at += length + std::max<Micros>(Us(draws.Between(fault.again_s)), kMs);
        } while (at < Us(fault.until_s));
      }
      continue;
    }
    const Micros length = Us(draws.Between(fault.for_s));
    const Micros end = length == 0 ? Us(scenario.length_s) : begin + length;
    const std::vector<int> to = Meant(fault.to, plan, who, draws);
    if (to.empty()) throw std::runtime_error(std::string("a fault is about nobody: ") + fault.to);
    PathQuality quality;
    quality.cut = fault.kind == MemberFaultKind::kCut;
    quality.lost = fault.lost;
    quality.delay_ms = fault.delay_ms;
    quality.doubled = fault.doubled;
    quality.reordered = fault.reordered;
    auto set = [&](int from, int other) {
      if (from == other) return;
      plan.actions.push_back({begin, MemberAction::What::kPath, from, other, quality});
      if (length > 0) plan.actions.push_back({end, MemberAction::What::kPath, from, other, {}});
    };
    for (const int from : who) {
      for (const int other : to) {
        set(from, other);
        if (fault.both_ways) set(other, from);
      }
    }
    if (length > 0) plan.settled_at = std::max(plan.settled_at, end);
    if (!quality.cut) continue;
    // A member whose paths with all others are cut in a direction is cut off whole.
    auto whole = [&](const std::vector<int>& side, const std::vector<int>& others) {
      if (side.size() != 1 || others.size() + 1 < n) return;
      plan.touched[static_cast<size_t>(side[0])] = true;
      plan.cut_off.push_back({side[0], begin, end});
    };
    whole(who, to);
    whole(to, who);
    // Parted groups lose each other from sight.
    if (who.size() > 1 && to.size() > 1 && who.size() + to.size() >= n) plan.touched.assign(n, true);
  }
  std::stable_sort(plan.actions.begin(), plan.actions.end());
  return plan;
}

}  // namespace burlfall::lab
