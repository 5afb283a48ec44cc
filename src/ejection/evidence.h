// Evidence that one balancer collects about hosts from its own queries, and the reports it sends to the
// council: votes, good reports and their withdrawal. It only reads results and does not influence the
// decision module. All times are on the balancer's own clock.
//
// Without a poll, a balancer votes only if it is sure: at least `min_trials` results since the first failure,
// and the log odds of "fails at bad_share or more" against "fails as often as the other hosts of its group
// and class" reach `sure_log_odds`. During a poll (a balancer was sure), each balancer reports at once what
// it has seen: failures, or only good answers. So the log stays small and balancers with little traffic still
// take part.
#ifndef BURLFALL_EJECTION_EVIDENCE_H_
#define BURLFALL_EJECTION_EVIDENCE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ejection/rules.h"
#include "ejection/state.h"
#include "io/time.h"

namespace burlfall::ejection {

class Evidence {
 public:
  Evidence(Rules rules, std::string balancer, std::string zone)
      : rules_(rules), balancer_(std::move(balancer)), zone_(std::move(zone)) {}

  // Records the end of a query at a host. Without `failed` the host answered; the answer may still count as
  // slow, by its `latency` compared with other answers of the class. A query that the host's admission
  // refused, that was cancelled or whose client has left is no result and must not be recorded.
  void OnResult(Micros now, const std::string& host, Incarnation incarnation, uint32_t cls,
                std::optional<Kind> failed, Micros latency);
  // Returns the kTrial command for the end of a trial query (see ActiveEjections::ConsumeTrial).
  Command TrialCommand(const std::string& host, Incarnation incarnation, std::optional<Kind> failed) const;

  // Applies the effects of a log entry: kPollOpened, kPollClosed, kEject, kReturn and kRefused. Others are
  // ignored.
  void OnEffects(Micros now, const Effects& effects);
  // Takes the polls and ejections from a snapshot.
  void LoadState(Micros now, const State& state);
  // Records whether the decision module lets the host sleep, that is, sends it only trial queries. The lack
  // of results of a sleeping host is then not taken for good.
  void SetAsleep(const std::string& host, bool asleep);
  void RemoveHost(const std::string& host);  // that has left the group

  // Returns the commands to propose now, usually none. A report that still applies is sent again before it
  // expires, so one that the council did not receive is repeated.
  std::vector<Command> TakeCommands(Micros now);
  // Time from which TakeCommands() may return something; kNever: not before the next result or effect.
  Micros next_at() const;

  // Whether so many results fail that the balancer suspects its own network.
  bool OwnNetworkSuspect(Micros now) const;
  size_t hosts() const { return hosts_.size(); }

 private:
  struct Bucket {
    Micros begin = 0;
    uint32_t trials = 0;
    std::array<uint32_t, kKinds> failures{};
    uint32_t Failed() const { return failures[0] + failures[1] + failures[2] + failures[3]; }
  };
  using Ring = std::vector<Bucket>;
  struct Sum {
    uint32_t trials = 0;
    uint32_t failed = 0;
    Micros since = 0;  // begin of the first bucket
    std::array<uint32_t, kKinds> failures{};
    double log_odds = 0;  // natural logarithm of the odds "bad" : "as the others"
    void Add(const Bucket& bucket);
  };
  // What the balancer has last reported about a host.
  enum class Stance { kNothing, kVote, kSure, kGoodReport };
  struct HostRecord {
    Incarnation incarnation = 0;
    std::map<uint32_t, Ring> classes;
    Micros last_result_at = 0;
    Micros ignore_until = 0;   // results until then are not recorded (grace)
    Micros discard_until = 0;  // results until then are not used, as other hosts failed too
    bool poll_open = false;
    Micros poll_start = 0;
    bool out = false;
    bool asleep = false;
    bool changed = false;
    Stance stance = Stance::kNothing;
    Micros stance_until = 0;
    uint32_t stance_trials = 0;
  };
  struct ClassRecord {
    Ring all;
    // Each slot spans a factor of the square root of 2, from 1 ms on. Counts are halved at times.
    std::array<uint32_t, 40> latency_histogram{};
    uint32_t latency_samples = 0;
  };

  Bucket& CurrentBucket(Ring& ring, Micros now) const;
  Sum SumOf(const Ring& ring, Micros since) const;
  // Replaces `best` by the span that ends with the last piece and has the highest log odds, if those are
  // higher.
  template <typename Piece>
  static void UpdateBestSpan(const std::vector<Piece>& pieces, Sum& best);
  // The span of results since `since` with the highest log odds, of one class or of all classes together.
  Sum MostSuspectSpan(Micros now, const HostRecord& record, Micros since) const;
  // Share of failures of the other hosts in this class, at least min_baseline_share.
  double BaselineShareOf(Micros now, uint32_t cls, const Ring& own_ring) const;
  double LogOddsOf(const Bucket& bucket, double baseline) const;
  bool IsSlow(const ClassRecord& class_record, Micros latency) const;
  // Whether too many results of the other hosts fail as well, so that the balancer's own network is suspect.
  bool OthersFail(Micros now, const HostRecord& record) const;
  struct Opinion {
    Stance stance = Stance::kNothing;
    Sum sum;
    uint32_t cls = kSeveralClasses;
    uint32_t others = 0;  // good answers of the other classes
  };
  Opinion Assess(Micros now, HostRecord& record) const;
  void MarkChanged(const std::string& host, HostRecord& record);
  static void ClearResults(HostRecord& record);

  Rules rules_;
  std::string balancer_;
  std::string zone_;
  std::map<std::string, HostRecord> hosts_;
  std::map<uint32_t, ClassRecord> classes_;
  Micros next_renewal_ = kNever;      // a report is due to be sent again
  std::vector<std::string> changed_;  // hosts to be assessed at the next TakeCommands()
};

}  // namespace burlfall::ejection

#endif  // BURLFALL_EJECTION_EVIDENCE_H_
