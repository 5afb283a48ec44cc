// Reads a history of ejections from outside (what balancers sent, what hosts answered, what was in force
// where, which hosts and balancers there were) and says which of invariant 5's parts it breaks: no ejection
// without its votes; never past the cap, at any balancer, whoever owns the count; no host that most see good;
// each ejection ends. It knows the rules' figures and nothing of how the council counts.
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

struct Event {
  enum class What {
    kGroup,         // group: as the balancers and hosts are from now on
    kTruth,         // host, users: those whom it fails often from now on, by what it is and does
    kVote,          // vote: sent
    kWithdrawVote,  // balancer, host: its vote
    kResult,        // balancer, host, good
    kEjected,       // balancer, host, life, number: nothing new goes there from it; again for each new term
    kReturned,      // balancer, host: it does again
    kByHand,        // host, span: an operator extended its term
  };
  What what = What::kGroup;
  Micros at = 0;  // the lab's own time, which nobody else knows
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

class Checker {
 public:
  // `late`: how late anything may come at a balancer, or be told by it.
  Checker(ejection::Rules rules, Micros max_delay) : rules_(rules), max_delay_(max_delay) {}
  void OnEvent(const Event& event);
  void Finish(Micros at);
  // What was broken, each with its time; at most a hundred are kept.
  const std::vector<std::string>& violations() const { return violations_; }
  uint64_t ejections() const { return ejected_.size(); }

 private:
  struct Out {
    ejection::Incarnation incarnation = 0;
    uint64_t number = 0;
    Micros since = 0;  // of this term
    Micros until = 0;  // at the latest
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
  bool HasValidNumbers(const SentVote& sent_votes) const;

  ejection::Rules rules_;
  Micros max_delay_;
  std::vector<std::string> violations_;
  std::deque<std::pair<Micros, ejection::Group>>
      groups_;                                         // the newest last; those that may still be believed
  std::map<std::string, std::deque<SentVote>> votes_;  // by host
  std::map<std::string, std::deque<std::pair<Micros, std::set<std::string>>>> truth_;
  std::unordered_map<std::string, Micros> failed_;         // by balancer and host, its last
  std::unordered_map<std::string, Micros> last_served_;    // its last good answer
  std::map<std::string, Micros> last_failed_;              // by host
  std::map<std::string, std::map<std::string, Out>> out_;  // by balancer, host
  std::map<std::string, Micros> by_hand_;
  std::set<std::pair<std::string, uint64_t>> ejected_;  // host, number
  Micros last_check_ = 0;
};

}  // namespace burlfall::ejection_world

#endif  // BURLFALL_LAB_EJECTION_WORLD_CHECKER_H_
