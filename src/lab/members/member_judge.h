// What is true of a cluster, told from outside: it hears what was done to whom, and what each member says
// that it sees, and nothing else. The same judge for real processes and for minds on a virtual clock.
//
//   - nobody who runs and can be reached is held dead, but as often as the goals allow
//   - a death is known to all who run in time; so is a start
//   - whoever is cut off whole is out for all, and knows it, in time
//   - nobody who just stood still accuses anybody for the silence of that time
//   - once faults are over, all who run hold alive all who run, and nobody else, in time
//   - where the goal says so, nobody's view of those that no fault is about ever changes
#ifndef BURLFALL_LAB_MEMBERS_MEMBER_JUDGE_H_
#define BURLFALL_LAB_MEMBERS_MEMBER_JUDGE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/members/scenario.h"

namespace burlfall::lab {

// What a member says that it sees.
enum class Sight { kJoined, kSuspected, kCleared, kDied, kReturned, kLeft, kIn, kCutOff };

struct MemberSpread {  // of times in seconds
  double median = 0, p90 = 0, worst = 0;
  size_t count = 0;
};

struct MemberVerdict {
  std::vector<std::string> broken;  // one line each; the first ones
  size_t broken_count = 0;
  MemberSpread known;        // from a death to each that knows it
  MemberSpread first_known;  // to the first
  MemberSpread joined;
  MemberSpread out;  // of those that were cut off: for others, and for themselves
  uint64_t false_deaths = 0;
  MemberSpread false_for;  // how long each lasted, at one member
  uint64_t suspicions = 0;
  double equal_after_s = -1;  // after the last fault; below 0: never
};

class MemberJudge {
 public:
  MemberJudge(const Scenario& scenario, const MemberPlan& plan);

  // What was done, and to be told before what anybody sees of it. Times since the scenario's begin.
  void Started(Micros at, int who);
  void Ended(Micros at, int who, bool in_order);
  void Paused(Micros at, int who, bool on);
  // `observer` says so. `who` is another, or itself for kIn and kCutOff. `own`: a suspicion is its own, and
  // not somebody else's word.
  void Saw(Micros at, int observer, Sight what, int who, bool own = false);
  MemberVerdict Finish(Micros at);

 private:
  struct One {
    bool runs = false;
    bool paused = false;
    Micros since = 0;
    Micros paused_at = 0;
    Micros resumed_at = 0;
    std::map<int, uint64_t> holds;  // alive or suspect, others, and in which life it came to hold them
    bool cut_off = false;
    uint64_t life = 0;
  };
  struct Death {
    int who = 0;
    Micros at = 0;
    std::set<int> missing;  // who still has to know
    std::vector<double> known;
    Micros until = 0;  // it runs again
  };
  struct Birth {
    int who = 0;
    Micros at = 0;
    std::set<int> missing;
  };
  struct Wrong {  // a false death in one's eyes
    Micros since = 0;
  };

  void Break(const std::string& line);
  void Look(Micros at);
  bool Apart(Micros at, int who) const;
  bool Reachable(Micros at, int a, int b) const;
  std::string Name(int who) const { return plan_.names.at(static_cast<size_t>(who)); }
  One& Of(int who) { return ones_.at(static_cast<size_t>(who)); }

  const Scenario& scenario_;
  const MemberPlan& plan_;
  std::vector<One> ones_;
  std::vector<Death> deaths_;
  std::vector<Birth> births_;
  std::map<std::pair<int, int>, Wrong> wrong_;
  std::vector<double> wrong_for_, joined_, out_;
  size_t wrong_views_ =
      0;  // pairs of members that run where one doesn't hold the other, or holds one that doesn't
  Micros equal_since_ = -1;
  bool over_ = false;
  MemberVerdict verdict_;
  std::map<std::pair<int, int>, bool> cut_;
  size_t next_path_ = 0;
  Micros healed_at_ = -1;  // a cut was last lifted
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_MEMBERS_MEMBER_JUDGE_H_
