// Ejection by vote as a replicated state machine: the votes, the ejections and their terms. Each member
// applies the same log entries with their stamped times (council time, which never goes back) and computes
// the same state. No I/O, no clock and no randomness.
//
// A vote alone changes nothing. The owner of the count proposes kCount, and kHosts with its view of the
// group, both with its epoch; an epoch older than one already seen is refused (fencing). Without a council or
// an owner no further host is therefore ejected. Terms end by the entries' stamps: the leader proposes
// kExpire once next_at() is reached.
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

constexpr uint32_t kSeveralClasses = 0xffff;  // stands for "more than one class"

// A balancer's report that a host is bad, from its own queries only.
struct Vote {
  std::string balancer;
  std::string zone;  // of the balancer
  std::string host;
  Incarnation incarnation = 0;     // of the host
  Micros window = 0;               // from the first failure to the vote, on the balancer's clock
  uint32_t trials = 0;             // results since the first failure, including it
  uint32_t failures = 0;           // among the trials
  Kind kind = Kind::kErrors;       // the most frequent kind of failure
  uint32_t cls = kSeveralClasses;  // the class that fails
  uint32_t others = 0;             // good answers in the other classes, if `cls` is one class
  bool sure = false;               // the evidence is enough without a poll; otherwise the vote answers a poll
  Micros lifetime = 0;             // from its log entry; at most Rules::vote_lifetime
};

// A balancer's report that a polled host is good.
struct GoodReport {
  std::string balancer;
  std::string zone;
  std::string host;
  Incarnation incarnation = 0;
  uint32_t trials = 0;  // results since the poll started, none of them a failure
  uint32_t cls = kSeveralClasses;
  Micros lifetime = 0;
};

struct Host {
  std::string name;
  std::string zone;
  Incarnation incarnation = 0;
  bool draining = false;
  bool by_hand = false;   // taken out of service manually by an operator
  uint32_t capacity = 1;  // in any unit that is the same for the whole group
};

struct Balancer {
  std::string name;
  std::string zone;
  std::vector<std::string> hosts;  // that it uses; empty: all hosts of the group
};

// The host group as the owner of the count sees it.
struct Group {
  std::vector<Host> hosts;
  std::vector<Balancer> balancers;
  double used_share = 0;  // present load as a share of the group's capacity, 0 to 1
};

enum class OperatorAction : uint8_t {
  kEnd,     // return the host now
  kForbid,  // do not eject the host
  kExtend,  // prolong the term
  kAllow    // withdraw kForbid
};
const char* NameOf(OperatorAction what);

// One log entry. Which fields are set depends on `what`.
struct Command {
  enum class What : uint8_t {
    kVote,        // vote
    kWithdraw,    // balancer, host, incarnation: withdraws its vote or good report
    kGoodReport,  // good
    kExpire,      // no fields: only advances council time
    kTrial,       // balancer, host, incarnation, was_good: result of a trial that the balancer was chosen for
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
  Micros span = 0;  // kExtend: added to the end of the term; kForbid: duration, 0 until kAllow
  std::string who;  // name of the operator
  std::string reason;
  uint64_t epoch = 0;
  Group group;
};
// Name of the balancer or operator that a command comes from. The transport lets a balancer propose only
// commands of its own. Empty for the commands of the owner and the leader.
const std::string& SenderOf(const Command& command);
// Whether the command is sent by the owner of the count, under `epoch`.
bool ActsForOwner(const Command& command);
constexpr size_t kMaxCommandBytes = 8 << 20;
std::string EncodeCommand(const Command& command);
// Returns nothing if the bytes are no command, are damaged or exceed a bound.
std::optional<Command> DecodeCommand(std::string_view bytes);

// Why a command was refused. AdviceOf() says what an operator can do about it.
enum class Refusal : uint8_t {
  kNone,
  kFenced,           // an older epoch of the count
  kUnknownHost,      // the host is not in the group
  kUnknownBalancer,  // the balancer is not in the group or does not use the host
  kOtherZone,        // the zone in the report is not the balancer's zone
  kOldIncarnation,   // the report is about another incarnation of the host
  kInvalidNumbers,   // impossible counts or times
  kTooMany,          // too many entries or votes of one balancer
  kInGrace,          // the host has just appeared or returned
  kNotChosenToTry,   // a trial result from a balancer that was not chosen for the trial
  kNotEjected,
  kTooLong,  // an operator's span exceeds the limit
};
const char* NameOf(Refusal refusal);
const char* AdviceOf(Refusal refusal);

// Why a host that has enough votes is not ejected.
enum class HoldReason : uint8_t {
  kNone,
  kGroupCap,
  kZoneCap,
  kCapacity,  // the remaining hosts could not carry the load
  kLastOfGroup,
  kLastOfZone,
  kManySuspects,  // more hosts are suspected at one time than may be ejected
  kForbidden      // by an operator
};
const char* NameOf(HoldReason held);

// Why an ejection ended.
enum class ReturnReason : uint8_t {
  kTrialGood,
  kNoTrial,  // no balancer tried the host in time
  kOperator,
  kByHand,          // an operator has taken the host out of service manually
  kNewIncarnation,  // the host was restarted
  kLeftGroup,
  kDraining,    // its term ended while it was draining
  kCapReduced,  // the group became smaller or its load higher
};
const char* NameOf(ReturnReason return_reason);

// What applying a log entry brought about. Which fields are set depends on `what`.
struct Effect {
  enum class What : uint8_t {
    // host, incarnation, term: a poll about the host began. Each balancer with results of it from the last
    // `term`
    // reports them.
    kPollOpened,
    kPollClosed,  // host, incarnation
    kEject,  // host, incarnation, term, kind, who (voters): send no further queries; also for each new term
    kRunTrial,  // host, incarnation, who: each of these sends one real query to the host and proposes kTrial
    kReturn,    // host, incarnation, return_reason
    kBadFromZone,     // host, zone, who: bad only from this zone; reported once while this lasts
    kBadForClass,     // host, cls, who: bad only for this class; reported once while this lasts
    kSuspect,         // who[0]: its votes are not counted
    kSuspectCleared,  // who[0]: its votes are counted again
    kHeld,            // host, held, who: enough votes, but not ejected; reported once for each reason
    kIncident,        // hosts: held back by the caps; an incident is to be opened at the change freeze
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
  std::vector<std::string> who;    // balancers: voters, chosen for the trial, suspect or refused
  std::vector<std::string> hosts;  // of an incident
  ReturnReason return_reason = ReturnReason::kTrialGood;
  HoldReason held = HoldReason::kNone;
  Refusal refusal = Refusal::kNone;
};
using Effects = std::vector<Effect>;

// A host's ejection, or the record of its last one, which decides the next term.
struct Ejection {
  enum class Phase : uint8_t { kReturned, kOut, kSingleTrial, kMultiTrial };
  Phase phase = Phase::kReturned;
  Incarnation incarnation = 0;
  uint64_t index = 0;    // of the log entry that ejected the host; identifies the ejection
  Micros since = 0;      // council time of the ejection or of the return
  Micros until = 0;      // end of the phase
  Micros term = 0;       // that a later ejection doubles: the last term, or less after a good trial
  Micros last_term = 0;  // length of the last term
  Micros lost_at = 0;    // last ejection by vote or last bad trial
  uint32_t tries = 0;    // balancers chosen for trials since the ejection
  Kind kind = Kind::kErrors;
  double share = 1;  // of failures, according to the votes
  std::vector<std::string> voters;
  std::vector<std::string> triers;  // balancers chosen for the present trial
  bool out() const { return phase != Phase::kReturned; }
};

// The replicated state.
class State {
 public:
  explicit State(Rules rules) : rules_(rules) {}

  // Applies the log entry `index` with the time stamp `at`. An entry up to the last applied index is ignored.
  // A stamp before the last one counts as the last one. `epoch_owns_count`: false if the epoch of a kHosts or
  // kCount is not that of the owner of the count at this entry; then the command is refused as fenced.
  Effects Apply(uint64_t index, Micros at, const Command& command, bool epoch_owns_count = true);

  // Council time at which the leader proposes kExpire and the owner kCount if no other entry comes first.
  // kNever: the state does not wait for a time.
  Micros next_at() const;
  // Whether a count would find something new at `at`: reports changed since the last kCount, or the longer
  // wait of a poll has ended.
  bool CountDue(Micros at) const;

  // Encodes the state, without the rules, for a snapshot.
  std::string Save() const;
  // Returns nothing if the bytes are no state, are damaged or exceed a bound.
  static std::optional<State> Load(std::string_view bytes, const Rules& rules);

  uint64_t index() const { return index_; }
  uint64_t epoch() const { return epoch_; }  // highest epoch of the count that was seen
  Micros at() const { return at_; }
  bool incident() const { return incident_; }
  // By host: present ejections, and past ones whose term is still remembered.
  const std::map<std::string, Ejection>& ejections() const { return ejections_; }
  const std::set<std::string>& suspects() const { return suspects_; }
  std::vector<std::string> PolledHosts() const;
  std::vector<Vote> VotesAgainst(const std::string& host) const;          // not expired
  std::vector<GoodReport> GoodReportsFor(const std::string& host) const;  // not expired
  // A host that an operator has protected from ejection.
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
    std::set<std::string> hosts;  // that it uses; empty: all
    uint32_t entries = 0;         // in the window that began at `since`
    Micros since = 0;
    uint32_t hosts_voted_against = 0;  // by votes that have not expired
    bool flood_reported = false;       // kTooMany was reported in this window
  };
  struct Report {  // a vote or a good report
    Vote vote;     // for a good report only the sender, trials and class are set
    Micros until = 0;
  };
  // The reports about one host.
  struct Case {
    std::map<std::string, Report> votes;         // by balancer
    std::map<std::string, Report> good_reports;  // by balancer
    bool poll_open = false;
    Micros poll_start = 0;
    Micros poll_min_end = 0;  // until then the case stays open even without a sure vote
    std::string reported_zone;
    bool reported_class = false;
    HoldReason reported_hold = HoldReason::kNone;
  };
  // The result of counting one case.
  struct Tally {
    std::vector<std::string> voters;
    std::set<std::string> zones;  // in which the votes outweigh the good reports
    double good_weight = 0;       // good reports, each weighted by how far it contradicts the votes
    double others = 0;            // balancers for which other classes work
    uint32_t sure = 0;            // sure votes
    double share = 1;      // upper estimate of the share of failures, without each voter's first failure
    double raw_share = 1;  // the same without the margin for uncertainty
    Kind kind = Kind::kErrors;
    uint32_t cls = kSeveralClasses;
  };

  Refusal Check(const std::string& balancer, const std::string& host, Incarnation incarnation);
  Refusal ApplyVote(const Vote& vote);
  Refusal ApplyGoodReport(const GoodReport& good);
  Refusal ApplyTrial(const Command& command, Effects& effects);
  Refusal ApplyOperatorCommand(const Command& command, Effects& effects);
  bool AcceptEpoch(uint64_t epoch, bool owns_count);
  void ApplyGroup(const Group& group, Effects& effects);
  void ExpireDue(Effects& effects);
  void UpdateSuspects(Effects& effects);
  void OpenPolls(Effects& effects);
  void CountVotes(Effects& effects);
  Tally TallyCase(const std::string& host, const Case& host_case) const;
  bool HasEnoughVotes(const std::string& host, Case& host_case, const Tally& tally, Effects& effects) const;
  bool ManyHostsSuspected() const;
  HoldReason HoldReasonFor(const std::string& host) const;
  void Eject(const std::string& host, const Tally& tally, Effects& effects);
  void ReturnHost(const std::string& host, ReturnReason return_reason, Effects& effects);
  void StartTrial(const std::string& host, Ejection& ejection, size_t most, Effects& effects);
  void DropReport(Case& host_case, std::string key);
  void CloseCase(const std::string& host, Effects& effects);
  bool InGrace(const std::string& host) const;
  bool Uses(const KnownBalancer& balancer, const std::string& host) const;
  size_t ZonesUsing(const std::string& host) const;
  size_t SureVotesOf(const Case& host_case) const;
  size_t GroupCap() const;

  Rules rules_;
  uint64_t index_ = 0;
  uint64_t epoch_ = 0;
  Micros at_ = 0;
  uint64_t owner_index_ = 0;    // entry at which epoch_ was first seen
  bool count_pending_ = false;  // reports changed since the last count
  Micros counted_at_ = 0;
  bool incident_ = false;
  Micros calm_since_ = kNever;
  double used_share_ = 0;
  bool group_known_ = false;  // a kHosts entry has been applied
  std::map<std::string, KnownHost> hosts_;
  std::map<std::string, KnownBalancer> balancers_;
  std::map<std::string, Case> cases_;
  std::map<std::string, Ejection> ejections_;
  std::map<std::string, Forbidden> forbidden_;
  std::set<std::string> suspects_;
};

// The ejections that one balancer applies, in addition to the hosts taken out of service manually. Follows
// the effects of the log in order and measures terms on the balancer's own clock, so that each ejection ends
// even if the balancer loses contact with the council.
class ActiveEjections {
 public:
  explicit ActiveEjections(Rules rules) : rules_(rules) {}

  // Applies the effects of the log entry `index`; `now` is on the balancer's clock. Returns false, and
  // changes nothing, if this or a later entry has already been applied.
  bool Apply(uint64_t index, Micros now, const Effects& effects, const std::string& self);
  // Takes the ejections from a snapshot, with the rest of their terms by council time. Returns false as
  // above.
  bool LoadState(Micros now, const State& state, const std::string& self);
  // Removes and returns the hosts whose time is over on the balancer's clock.
  std::vector<std::string> DropExpired(Micros now);
  // Time of the next expiry, or kNever.
  Micros next_at() const;

  // Whether the host gets no further queries in this incarnation. A newer incarnation is not ejected.
  bool IsEjected(const std::string& host, Incarnation incarnation) const;
  // Returns true once after this balancer was chosen to try the host: one real query may then be sent to it.
  bool ConsumeTrial(const std::string& host, Incarnation incarnation);
  bool MayTry(const std::string& host, Incarnation incarnation) const;
  std::map<std::string, Incarnation> hosts() const;
  uint64_t index() const { return index_; }

 private:
  struct Entry {
    Incarnation incarnation = 0;
    Micros until = 0;  // on the balancer's clock: end of the term and of the time for trials
    bool trial_allowed = false;
  };
  Rules rules_;
  uint64_t index_ = 0;
  std::map<std::string, Entry> out_;
};

}  // namespace burlfall::ejection

#endif  // BURLFALL_EJECTION_STATE_H_
