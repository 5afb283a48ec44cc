// The votes of the fleet, the ejections in force and their terms: one state in the council's log, computed
// alike at each member from the entries and from their stamped times (council time, which never goes back).
// No I/O, no clock, no chance.
//
// Votes change nothing by themselves. The owner of the count proposes kCount (and kHosts, the group as it
// sees it), each with its epoch; an older epoch than one that was seen is refused. So without a council or an
// owner nothing new is ejected. Terms end by the stamps: kRunOut, proposed by the leader when next_at() has
// come.
#ifndef BURLFALL_EJECTION_STATE_H_
#define BURLFALL_EJECTION_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "ejection/rules.h"
#include "io/time.h"

namespace burlfall::ejection {

constexpr uint32_t kSeveralClasses = 0xffff;  // where more than one fails

// A balancer's word that a host is bad, from its own queries alone.
struct Vote {
  std::string balancer;
  std::string zone;  // of the balancer
  std::string host;
  Incarnation incarnation = 0;  // of the host
  Micros window = 0;            // span from the first failure to the telling, on the balancer's clock
  uint32_t trials = 0;          // from that failure on, it included
  uint32_t failures = 0;
  Kind kind = Kind::kErrors;       // most of them
  uint32_t cls = kSeveralClasses;  // that fails
  uint32_t others = 0;             // good answers in other classes meanwhile, where cls is one
  bool sure = false;               // by itself; the others only answer a question
  Micros lifetime = 0;             // from its entry on; the rules' vote_lasts at most
};

// A balancer's word that a host in question is good.
struct GoodReport {
  std::string balancer;
  std::string zone;
  std::string host;
  Incarnation incarnation = 0;
  uint32_t trials = 0;  // since the question, none of them a failure
  uint32_t cls = kSeveralClasses;
  Micros lifetime = 0;
};

struct Host {
  std::string name;
  std::string zone;
  Incarnation incarnation = 0;
  bool draining = false;
  bool by_hand = false;   // out by an operator's list
  uint32_t capacity = 1;  // in any unit, the same for the group
};

struct Balancer {
  std::string name;
  std::string zone;
  std::vector<std::string> hosts;  // that it uses; empty: all of the group
};

// The host group as the owner of the count sees it.
struct Group {
  std::vector<Host> hosts;
  std::vector<Balancer> balancers;
  double used_share = 0;  // of the group's capacity, 0 to 1: the work that there is
};

enum class OperatorAction : uint8_t { kEnd, kForbid, kExtend, kAllow };
const char* NameOf(OperatorAction what);

struct Command {
  enum class What : uint8_t {
    kVote,        // vote
    kWithdraw,    // balancer, host, life: its vote or its good word
    kGoodReport,  // good
    kExpire,      // nothing: time has come
    kTrial,       // balancer, host, life, was_good: of one that was told to try
    kOperator,    // operation, host, span, who, reason
    kHosts,       // epoch, group
    kCount,       // epoch: count the votes now
  };
  What what = What::kExpire;
  Vote vote;
  GoodReport good;
  std::string balancer;
  std::string host;
  Incarnation incarnation = 0;
  bool was_good = false;
  OperatorAction operation = OperatorAction::kEnd;
  Micros span = 0;  // kExtend: from the end of the term; kForbid: 0 until kAllow
  std::string who;  // an operator's name
  std::string reason;
  uint64_t epoch = 0;
  Group group;
};
// Whose word it is: the carrier lets a balancer propose its own alone. Empty: the owner's or the leader's.
const std::string& SenderOf(const Command& command);
constexpr size_t kMaxCommandBytes = 8 << 20;  // bytes
std::string EncodeCommand(const Command& command);
// Nothing where the bytes are not a command, or damaged, or past a bound.
std::optional<Command> DecodeCommand(std::string_view bytes);

// Why something was refused. What an operator can do is in AdviceOf().
enum class Refusal : uint8_t {
  kNone,
  kFenced,  // an older epoch of the count
  kUnknownHost,
  kUnknownBalancer,  // that doesn't use the host, or is not in the group
  kOtherZone,        // a vote with a zone that is not its balancer's
  kOldIncarnation,   // of the host
  kInvalidNumbers,   // its numbers
  kTooMany,          // entries or votes of one balancer
  kInGrace,
  kNotChosenToTry,  // a trial by a balancer that wasn't told to try
  kNotEjected,
  kTooLong,  // an operator's span
};
const char* NameOf(Refusal refusal);
const char* AdviceOf(Refusal refusal);

// Why a host that has its votes is not ejected.
enum class HoldReason : uint8_t {
  kNone,
  kGroupCap,
  kZoneCap,
  kCapacity,
  kLastOfGroup,
  kLastOfZone,
  kManySuspects,
  kForbidden
};
const char* NameOf(HoldReason held);

enum class ReturnReason : uint8_t {
  kTrialGood,
  kNoTrial,  // nobody tried in time
  kOperator,
  kByHand,  // it is out by the operators' list now
  kNewIncarnation,
  kLeftGroup,   // from the group
  kDraining,    // its term ended while it drains
  kCapReduced,  // the group became smaller, or its work more
};
const char* NameOf(ReturnReason return_reason);

struct Effect {
  enum class What : uint8_t {
    kPollOpened,   // host, life, term: in question; who has seen it in the last `term` says what it saw
    kPollClosed,   // host, life: the question is closed
    kEject,        // host, life, term, kind, voters: nothing new goes there; also when the term begins again
    kRunTrial,     // host, life, who: these send it one real query each, and tell kTrial
    kReturn,       // host, life, over
    kBadFromZone,  // host, zone: bad from this zone alone; told once while it is so
    kBadForClass,  // host, cls: bad for this class alone; likewise
    kSuspect,      // who[0]: its votes don't count
    kSuspectCleared,  // who[0]: they do again
    kHeld,            // host, held: it has its votes, and is not ejected; told once for each reason
    kIncident,        // hosts: many at once, none is ejected; to open at `freeze`
    kIncidentOver,
    kRefused,  // who[0], host, refusal
  };
  What what = What::kRefused;
  std::string host;
  Incarnation incarnation = 0;
  Micros term = 0;
  Kind kind = Kind::kErrors;
  uint32_t cls = kSeveralClasses;
  std::string zone;
  std::vector<std::string> who;    // balancers: voters, those to try, the suspect, the refused
  std::vector<std::string> hosts;  // of an incident
  ReturnReason return_reason = ReturnReason::kTrialGood;
  HoldReason held = HoldReason::kNone;
  Refusal refusal = Refusal::kNone;
};
using Effects = std::vector<Effect>;

// One host's ejection, or what is remembered of its last one.
struct Ejection {
  enum class Phase : uint8_t { kReturned, kOut, kSingleTrial, kMultiTrial };
  Phase phase = Phase::kReturned;
  Incarnation incarnation = 0;
  uint64_t index = 0;    // of the entry that began it: its number
  Micros since = 0;      // council time of the ejection, or of the return
  Micros until = 0;      // of the phase
  Micros term = 0;       // for the next relapse to double: what was served, or less after a good trial
  Micros last_term = 0;  // the last term
  Micros lost_at = 0;    // by vote or by a bad trial
  uint32_t tries = 0;    // told since the ejection
  Kind kind = Kind::kErrors;
  double share = 1;  // of failures, as the votes had it
  std::vector<std::string> voters;
  std::vector<std::string> triers;
  bool out() const { return phase != Phase::kReturned; }
};

class State {
 public:
  explicit State(Rules rules) : rules_(rules) {}

  // `index` of the entry in the log, `at` its stamp. A lower index than the last is passed over, a lower
  // stamp counts as the last.
  Effects Apply(uint64_t index, Micros at, const Command& command);

  // Council time at which the leader proposes kRunOut, and the owner kCount, if nothing else comes before.
  // kNever: nothing waits for time.
  Micros next_at() const;
  // There is something to count since the last kCount, or a question whose time to listen ends by `at`.
  bool CountDue(Micros at) const;

  std::string Save() const;
  // Nothing where the bytes are not a state's, damaged, or past a bound. The rules are not in it.
  static std::optional<State> Load(std::string_view bytes, const Rules& rules);

  uint64_t index() const { return index_; }
  uint64_t epoch() const { return epoch_; }  // highest seen of the count
  Micros at() const { return at_; }
  bool incident() const { return incident_; }
  // By host: those out, and those that were and whose term is remembered.
  const std::map<std::string, Ejection>& ejections() const { return ejections_; }
  const std::set<std::string>& suspects() const { return suspects_; }
  std::vector<std::string> PolledHosts() const;
  std::vector<Vote> VotesAgainst(const std::string& host) const;          // standing
  std::vector<GoodReport> GoodReportsFor(const std::string& host) const;  // standing
  struct Forbidden {
    std::string who;
    std::string reason;
    Micros until = kNever;
  };
  const std::map<std::string, Forbidden>& forbidden() const { return forbidden_; }
  bool Knows(const std::string& host) const { return hosts_.contains(host); }

 private:
  struct KnownHost {
    Host host;
    Micros appeared = 0;
  };
  struct KnownBalancer {
    std::string zone;
    std::set<std::string> hosts;  // empty: all
    uint32_t entries = 0;         // in the span that began at `since`
    Micros since = 0;
    uint32_t hosts_voted_against = 0;  // hosts: its votes that stand
    bool flood_reported = false;       // that it is refused for its number of entries
  };
  struct Report {  // a vote or a good word
    Vote vote;     // for a good word: who, trials, class; failures 0
    Micros until = 0;
  };
  struct Case {                           // of a host, while there are votes
    std::map<std::string, Report> votes;  // by balancer
    std::map<std::string, Report> good_reports;
    bool poll_open = false;
    Micros poll_start = 0;
    Micros poll_min_end = 0;  // at least, though nobody is sure
    std::string reported_zone;
    bool reported_class = false;
    HoldReason reported_hold = HoldReason::kNone;
  };
  struct Tally {  // of one case
    std::vector<std::string> voters;
    std::set<std::string> zones;  // in which votes outweigh good words
    double good_weight = 0;       // each by how much it speaks against the votes
    double others = 0;            // those for whom other classes are good
    uint32_t sure = 0;            // of the voters
    double share = 1;             // of failures after each voter's first
    double raw_share = 1;         // without a doubt added
    Kind kind = Kind::kErrors;
    uint32_t cls = kSeveralClasses;
  };

  Refusal Check(const std::string& balancer, const std::string& host, Incarnation incarnation);
  Refusal ApplyVote(const Vote& vote);
  Refusal ApplyGoodReport(const GoodReport& good);
  Refusal ApplyTrial(const Command& command, Effects& effects);
  Refusal ApplyOperatorCommand(const Command& command, Effects& effects);
  bool AcceptEpoch(uint64_t epoch);
  void ApplyGroup(const Group& group, Effects& effects);
  void ExpireDue(Effects& effects);
  void UpdateSuspects(Effects& effects);
  void OpenPolls(Effects& effects);
  void CountVotes(Effects& effects);
  Tally TallyCase(const std::string& host, const Case& one) const;
  bool HasEnoughVotes(const std::string& host, Case& one, const Tally& count, Effects& effects) const;
  bool ManyHostsSuspected() const;
  HoldReason HoldReasonFor(const std::string& host) const;
  void Eject(const std::string& host, const Tally& count, Effects& effects);
  void ReturnHost(const std::string& host, ReturnReason return_reason, Effects& effects);
  void StartTrial(const std::string& host, Ejection& ejection, size_t most, Effects& effects);
  void DropReport(Case& one, std::string key);
  void CloseCase(const std::string& host, Effects& effects);
  bool InGrace(const std::string& host) const;
  bool Uses(const KnownBalancer& balancer, const std::string& host) const;
  size_t ZonesUsing(const std::string& host) const;
  size_t SureVotesOf(const Case& one) const;
  size_t GroupCap() const;

  Rules rules_;
  uint64_t index_ = 0;
  uint64_t epoch_ = 0;
  Micros at_ = 0;
  uint64_t owner_index_ = 0;    // at which its epoch was first seen
  bool count_pending_ = false;  // something to count
  Micros counted_at_ = 0;
  bool incident_ = false;
  Micros calm_since_ = kNever;
  double used_share_ = 0;
  bool group_known_ = false;  // a group was told
  std::map<std::string, KnownHost> hosts_;
  std::map<std::string, KnownBalancer> balancers_;
  std::map<std::string, Case> cases_;
  std::map<std::string, Ejection> ejections_;
  std::map<std::string, Forbidden> forbidden_;
  std::set<std::string> suspects_;
};

// What is in force at one balancer: the hosts that get nothing new beside those out by hand. It follows the
// log's effects, never goes back in it, and counts terms on the balancer's own clock, so that each ejection
// ends also where no council is heard any more.
class ActiveEjections {
 public:
  explicit ActiveEjections(Rules rules) : rules_(rules) {}

  // Effects of the entry at `index`, `now` on the balancer's clock. False: that entry, or a later one, was
  // applied before; nothing is changed.
  bool Apply(uint64_t index, Micros now, const Effects& effects, const std::string& self);
  // From a snapshot: its ejections, with what is left of their terms by council time. False likewise.
  bool LoadState(Micros now, const State& state, const std::string& self);
  // Those whose time is over are taken off, on this clock alone. Tells which.
  std::vector<std::string> DropExpired(Micros now);
  Micros next_at() const;

  // Nothing new goes to `host` in this life; a newer one is not ejected.
  bool IsEjected(const std::string& host, Incarnation incarnation) const;
  // This balancer was told to try it: one real query may go there. The next is refused until told anew.
  bool ConsumeTrial(const std::string& host, Incarnation incarnation);
  bool MayTry(const std::string& host, Incarnation incarnation) const;
  std::map<std::string, Incarnation> hosts() const;
  uint64_t index() const { return index_; }

 private:
  struct Entry {
    Incarnation incarnation = 0;
    Micros until = 0;  // own clock: the term and the time for trials
    bool trial_allowed = false;
  };
  Rules rules_;
  uint64_t index_ = 0;
  std::map<std::string, Entry> out_;
};

}  // namespace burlfall::ejection

#endif  // BURLFALL_EJECTION_STATE_H_
