#include "lab/members/member_judge.h"

#include <algorithm>
#include <cstdio>

namespace burlfall::lab {
namespace {

constexpr size_t kLinesKept = 20;
constexpr Micros kJustResumed = 300 * kMs;
constexpr Micros kShortPause = 400 * kMs;  // a shorter one may go unnoticed
constexpr Micros kJustHealed = 1 * kSecond;

double Seconds(Micros span) { return static_cast<double>(span) / static_cast<double>(kSecond); }

std::string Text(double seconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f s", seconds);
  return text;
}

MemberSpread SpreadOf(std::vector<double> values) {
  MemberSpread spread;
  if (values.empty()) return spread;
  std::sort(values.begin(), values.end());
  spread.count = values.size();
  spread.median = values[(values.size() - 1) / 2];
  spread.p90 = values[(values.size() - 1) * 9 / 10];
  spread.worst = values.back();
  return spread;
}

}  // namespace

MemberJudge::MemberJudge(const Scenario& scenario, const MemberPlan& plan)
    : scenario_(scenario), plan_(plan), ones_(plan.names.size()) {}

void MemberJudge::Break(const std::string& line) {
  ++verdict_.broken_count;
  if (verdict_.broken.size() < kLinesKept) verdict_.broken.push_back(line);
}

// The paths as they stand by now, from the plan.
void MemberJudge::Look(Micros at) {
  for (; next_path_ < plan_.actions.size() && plan_.actions[next_path_].at <= at; ++next_path_) {
    const MemberAction& action = plan_.actions[next_path_];
    if (action.what != MemberAction::What::kPath) continue;
    if (action.quality.cut) {
      cut_[{action.who, action.to}] = true;
    } else {
      if (cut_.erase({action.who, action.to}) > 0) healed_at_ = action.at;
    }
  }
  if (wrong_views_ > 0) {
    equal_since_ = -1;
  } else if (equal_since_ < 0) {
    equal_since_ = at;
  }
}

bool MemberJudge::Reachable(Micros, int a, int b) const {
  return !cut_.contains({a, b}) && !cut_.contains({b, a});
}

// No more than half of the others reach it and are reached.
bool MemberJudge::Apart(Micros at, int who) const {
  if (cut_.empty()) return false;
  size_t others = 0, reach = 0;
  for (int other = 0; other < static_cast<int>(ones_.size()); ++other) {
    if (other == who || !ones_[static_cast<size_t>(other)].runs) continue;
    ++others;
    reach += Reachable(at, who, other) ? 1 : 0;
  }
  return 2 * reach <= others;
}

void MemberJudge::Started(Micros at, int who) {
  Look(at);
  One& one = Of(who);
  if (one.runs) return;
  one.runs = true;
  one.paused = one.cut_off = false;
  one.since = at;
  one.holds.clear();
  ++one.life;
  Birth birth{who, at, {}};
  for (int other = 0; other < static_cast<int>(ones_.size()); ++other) {
    One& its = Of(other);
    if (other == who || !its.runs) continue;
    ++wrong_views_;                                   // it doesn't hold that one yet
    wrong_views_ += its.holds.contains(who) ? 0 : 1;  // nor that one it; or it still holds the life before
    if (its.holds.contains(who)) --wrong_views_;
    birth.missing.insert(other);
  }
  births_.push_back(std::move(birth));
  for (Death& death : deaths_) {
    if (death.who == who && death.until == 0) death.until = at;
  }
  Look(at);
}

void MemberJudge::Ended(Micros at, int who, bool) {
  Look(at);
  One& one = Of(who);
  if (!one.runs) return;
  one.runs = false;
  Death death{who, at, {}, {}, 0};
  for (int other = 0; other < static_cast<int>(ones_.size()); ++other) {
    if (other == who) continue;
    One& its = Of(other);
    if (its.runs) {
      wrong_views_ -= one.holds.contains(other) ? 0 : 1;
      if (its.holds.contains(who)) {
        ++wrong_views_;
        death.missing.insert(other);
      } else {
        --wrong_views_;
      }
    } else if (one.holds.contains(other)) {
      --wrong_views_;
    }
    wrong_.erase({who, other});
    wrong_.erase({other, who});
  }
  one.holds.clear();
  for (Death& other : deaths_) other.missing.erase(who);
  for (Birth& birth : births_) birth.missing.erase(who);
  std::erase_if(births_, [who](const Birth& birth) { return birth.who == who; });
  deaths_.push_back(std::move(death));
  Look(at);
}

void MemberJudge::Paused(Micros at, int who, bool on) {
  Look(at);
  Of(who).paused = on;
  if (on) Of(who).paused_at = at;
  if (!on) Of(who).resumed_at = at;
}

void MemberJudge::Saw(Micros at, int observer, Sight what, int who, bool own) {
  Look(at);
  One& its = Of(observer);
  if (!its.runs) return;  // a last word that came late
  if (what == Sight::kIn || what == Sight::kCutOff) {
    its.cut_off = what == Sight::kCutOff;
    for (const MemberPlan::CutOff& cut : plan_.cut_off) {
      if (its.cut_off && cut.who == observer && at >= cut.from && at <= cut.until)
        out_.push_back(Seconds(at - cut.from));
    }
    return;
  }
  One& one = Of(who);
  verdict_.suspicions += what == Sight::kSuspected ? 1 : 0;
  if (what == Sight::kSuspected && own && its.resumed_at - its.paused_at > kShortPause &&
      at - its.resumed_at < kJustResumed && one.runs && !one.paused && one.resumed_at == 0 &&
      Reachable(at, observer, who)) {
    Break(Text(Seconds(at)) + ": " + Name(observer) + " stood still until " + Text(Seconds(its.resumed_at)) +
          ", and accuses " + Name(who));
  }
  const bool settled = at > static_cast<Micros>(scenario_.start_s.high * 1e6) + 5 * kSecond;
  if (scenario_.goals.nobody_else && settled && !plan_.touched[static_cast<size_t>(who)]) {
    constexpr const char* kWords[] = {"joined", "suspect", "cleared", "dead", "returned", "left"};
    Break(Text(Seconds(at)) + ": " + Name(observer) + " says of " + Name(who) +
          ", whom no fault is about: " + kWords[static_cast<size_t>(what)]);
  }
  const bool holds = what == Sight::kJoined || what == Sight::kReturned;
  const bool loses = what == Sight::kDied || what == Sight::kLeft;
  const auto held = its.holds.find(who);
  const bool old_life = held != its.holds.end() && held->second != one.life;
  if (holds && its.holds.insert_or_assign(who, one.life).second)
    wrong_views_ += one.runs ? static_cast<size_t>(-1) : 1;
  if (loses && its.holds.erase(who) > 0) wrong_views_ += one.runs ? 1 : static_cast<size_t>(-1);
  if (holds) {
    for (Birth& birth : births_) {
      if (birth.who != who || birth.missing.erase(observer) == 0) continue;
      joined_.push_back(Seconds(at - std::max({birth.at, its.since, its.resumed_at})));
    }
    const auto wrong = wrong_.find({observer, who});
    if (wrong != wrong_.end()) {
      wrong_for_.push_back(Seconds(at - wrong->second.since));
      wrong_.erase(wrong);
    }
  }
  if (holds || loses) {
    for (Death& death : deaths_) {
      if (death.who != who || death.missing.erase(observer) == 0 || !loses) continue;
      death.known.push_back(Seconds(at - std::max(death.at, its.resumed_at)));
    }
  }
  if (what == Sight::kDied && one.runs && !old_life) {
    for (const MemberPlan::CutOff& cut : plan_.cut_off) {
      if (cut.who == who && at >= cut.from && at <= cut.until) out_.push_back(Seconds(at - cut.from));
    }
    // What was said of it in the last moment of a cut is still on its way.
    const bool just_healed =
        healed_at_ >= 0 && at - healed_at_ < kJustHealed && plan_.touched[static_cast<size_t>(who)];
    // A group that is parted from most goes on by itself; one member alone may not do so.
    const bool parted = Apart(at, observer) && std::ranges::none_of(plan_.cut_off, [&](const auto& cut) {
                          return cut.who == observer && at >= cut.from && at <= cut.until;
                        });
    if (!Apart(at, who) && !just_healed && !parted) {
      ++verdict_.false_deaths;
      wrong_[{observer, who}] = {at};
      if (verdict_.false_deaths > static_cast<uint64_t>(scenario_.goals.false_deaths)) {
        Break(Text(Seconds(at)) + ": " + Name(observer) + " holds " + Name(who) + " dead, which runs" +
              (one.paused ? " (it stands still)" : "") + (its.paused ? " (and stands still itself)" : ""));
      }
    }
  }
  Look(at);
}

MemberVerdict MemberJudge::Finish(Micros at) {
  Look(at);
  const MemberGoals& goals = scenario_.goals;
  std::vector<double> known, first;
  for (const Death& death : deaths_) {
    if (!death.known.empty()) first.push_back(*std::ranges::min_element(death.known));
    known.insert(known.end(), death.known.begin(), death.known.end());
    if (death.until > 0 || !goals.known_worst_s || Seconds(at - death.at) <= *goals.known_worst_s) continue;
    for (const int missing : death.missing)
      Break(Name(missing) + " never knew that " + Name(death.who) + " is gone");
  }
  verdict_.known = SpreadOf(known);
  verdict_.first_known = SpreadOf(first);
  verdict_.joined = SpreadOf(joined_);
  verdict_.out = SpreadOf(out_);
  verdict_.false_for = SpreadOf(wrong_for_);
  auto hold = [&](const char* what, double is, const std::optional<double>& most) {
    if (most && is > *most) Break(std::string(what) + ": " + Text(is) + ", at most " + Text(*most));
  };
  hold("from a death to its being known, the median", verdict_.known.median, goals.known_median_s);
  hold("from a death to its being known to the last", verdict_.known.worst, goals.known_worst_s);
  hold("from a start to its being known to the last", verdict_.joined.worst, goals.joined_worst_s);
  if (goals.joined_worst_s) {
    for (const Birth& birth : births_) {
      for (const int missing : birth.missing) Break(Name(missing) + " never heard of " + Name(birth.who));
    }
  }
  if (goals.cut_off_within_s) {
    hold("whoever was cut off was out", verdict_.out.worst, goals.cut_off_within_s);
    // Each of the others that is still there, and itself.
    const auto there =
        static_cast<size_t>(std::ranges::count_if(ones_, [](const One& one) { return one.runs; }));
    const size_t wanted = plan_.cut_off.size() * there;
    if (verdict_.out.count < wanted) {
      Break(std::string("cut off whole: known in ") + std::to_string(verdict_.out.count) + " of " +
            std::to_string(wanted) + " views");
    }
  }
  if (equal_since_ >= 0)
    verdict_.equal_after_s = Seconds(std::max<Micros>(0, equal_since_ - plan_.settled_at));
  if (goals.equal_within_s) {
    if (equal_since_ < 0) {
      Break(std::string("views are not equal and right at the end: ") + std::to_string(wrong_views_) +
            " lines of them differ");
    }
    hold("views equal after the last fault", verdict_.equal_after_s, goals.equal_within_s);
    for (size_t i = 0; i < ones_.size(); ++i) {
      if (ones_[i].runs && ones_[i].cut_off) Break(plan_.names[i] + " holds itself cut off at the end");
    }
  }
  return verdict_;
}

}  // namespace burlfall::lab
