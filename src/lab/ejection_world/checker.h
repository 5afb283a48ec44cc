// Checks a history of ejections from outside, from what balancers sent, what hosts answered, which ejections
// each balancer applied and which hosts and balancers existed, and reports violations of invariant 5: no
// ejection without its votes; never more than the cap, at any balancer, whichever owner counts; no ejection
// of a host that works for most balancers; each ejection ends. It knows the values of the rules, but not how
// the council counts.
#ifndef BURLFALL_LAB_EJECTION_WORLD_CHECKER_H_
#define BURLFALL_LAB_EJECTION_WORLD_CHECKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "ejection/rules.h"
#include "ejection/state.h"
#include "io/time.h"

namespace burlfall::ejection_world {

// One step of the history. Which fields are set depends on `what`.
struct Event {
  enum class What {
    kGroup,         // group: the balancers and hosts from now on
    kTruth,         // host, users: the balancers that it fails often from now on, by its simulated faults
    kVote,          // vote: a balancer sent it
    kWithdrawVote,  // balancer, host: the balancer withdrew its vote
    kResult,        // balancer, host, good
    kEjected,  // balancer, host, incarnation, number: the balancer sends no new queries there; again for each
               // term
    kReturned,  // balancer, host: the balancer sends queries there again
    kByHand,    // host, span: an operator extended the term
  };
  What what = What::kGroup;
  Micros at = 0;  // simulation time, not the clock of any balancer
  std::string balancer;
  std::string host;
  ejection::Incarnation incarnation = 0;
  uint64_t number = 0;  // of the ejection
  bool good = false;
  Micros span = 0;
  std::set<std::string> users;
  ejection::Vote vote;
  ejection::Group group;
};

// Receives the events in order of time and collects violations.
class Checker {
 public:
  // `max_delay`: the longest time that any message to or from a balancer may take.
  Checker(ejection::Rules rules, Micros max_delay) : rules_(rules), max_delay_(max_delay) {}
  void OnEvent(const Event& event);
  void Finish(Micros at);
  // The violations with their times; at most a hundred are stored.
  const std::vector<std::string>& violations() const { return violations_; }
  uint64_t ejections() const { return ejected_.size(); }

 private:
  struct Out {
    ejection::Incarnation incarnation = 0;
    uint64_t number = 0;
    Micros since = 0;  // begin of this term
    Micros until = 0;  // latest permitted end
    bool reported = false;
  };
  struct SentVote {
    ejection::Vote vote;
    Micros at = 0;
  };
  void AddViolation(Micros at, const std::string& what);
  void CheckVotes(const Event& out);
  void CheckMajoritySeesFailures(const Event& out);
  void CheckCap(Micros at, const std::string& balancer);
  void CheckEnds(Micros at);
  bool HasValidNumbers(const SentVote& sent) const;

  ejection::Rules rules_;
  Micros max_delay_;
  std::vector<std::string> violations_;
  // The newest last. Earlier ones are kept while a balancer may still use them.
  std::deque<std::pair<Micros, ejection::Group>> groups_;
  std::map<std::string, std::deque<SentVote>> votes_;  // by host
  std::map<std::string, std::deque<std::pair<Micros, std::set<std::string>>>> truth_;
  std::unordered_map<std::string, Micros> failed_;         // by balancer and host: its last failure
  std::unordered_map<std::string, Micros> last_served_;    // by balancer and host: its last good answer
  std::map<std::string, Micros> last_failed_;              // by host
  std::map<std::string, std::map<std::string, Out>> out_;  // by balancer, host
  std::map<std::string, Micros> by_hand_;
  std::set<std::pair<std::string, uint64_t>> ejected_;  // host, number
  Micros last_check_ = 0;
};

}  // namespace burlfall::ejection_world

#endif  // BURLFALL_LAB_EJECTION_WORLD_CHECKER_H_
