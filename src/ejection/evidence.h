// What one balancer's own queries say of its hosts, and what it tells the council of it: votes, good words,
// and their withdrawal. It reads results and changes nothing of the decision module. Time goes in on the
// balancer's own clock.
//
// Unasked, it votes only where it is sure: at least `least_trials` since the first failure, and the odds of
// "fails at bad_share or more" against "fails as the others of its group and class" past `sure`. In question
// (two balancers were sure), each tells at once what it has seen since: failed at all, or good. That way the
// log is quiet, and balancers with little traffic count.
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

  // A query's end at a host. `failed` none: an answer; it may still be slow, by `took`, against the others.
  // Refused by the host's admission, cancelled, or the client left: no result, don't tell it.
  void OnResult(Micros now, const std::string& host, Incarnation incarnation, uint32_t cls,
                std::optional<Kind> failed, Micros latency);
  // The end of a query that this balancer sent since it was told to try (InForce::TakeTry). Gives kTrial.
  Command TrialCommand(const std::string& host, Incarnation incarnation, std::optional<Kind> failed) const;

  // From the log: the effects kAsk, kAsked, kEject, kBack are read, the others passed over.
  void OnEffects(Micros now, const Effects& effects);
  // From a snapshot.
  void LoadState(Micros now, const State& state);
  // What the module knows, read: it lets the host sleep, so silence of results is no good word.
  void SetAsleep(const std::string& host, bool asleep);
  void RemoveHost(const std::string& host);  // from the group

  // What to propose now; nothing for most calls. A vote that the council didn't take is told again before its
  // end.
  std::vector<Command> TakeCommands(Micros now);
  // Tell() may have something at that time; kNever: not before the next result or effect.
  Micros next_at() const;

  bool OwnNetworkSuspect(Micros now) const;  // under suspicion by itself: most of all fails
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
    Micros since = 0;  // begin of its first bucket
    std::array<uint32_t, kKinds> failures{};
    double log_odds = 0;  // logarithm, bad : as the others
    void Add(const Bucket& bucket);
  };
  enum class Stance { kNothing, kVote, kSure, kGoodReport };
  struct HostRecord {
    Incarnation incarnation = 0;
    std::map<uint32_t, Ring> classes;
    Micros last_result_at = 0;  // last result
    Micros ignore_until = 0;    // grace
    Micros discard_until = 0;   // the other hosts failed as well
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
    std::array<uint32_t, 40>
        latency_histogram{};  // by half powers of two of milliseconds, halved now and then
    uint32_t latency_samples = 0;
  };

  Bucket& CurrentBucket(Ring& ring, Micros now) const;
  Sum SumOf(const Ring& ring, Micros since) const;
  template <typename Piece>
  static void UpdateBestSpan(const std::vector<Piece>& pieces, Sum& best);
  Sum MostSuspectSpan(Micros now, const HostRecord& record, Micros since) const;
  // Share of failures of the other hosts in this class.
  double BaselineShareOf(Micros now, uint32_t cls, const Ring& own_ring) const;
  double LogOddsOf(const Bucket& bucket, double baseline) const;
  bool IsSlow(const ClassRecord& class_record, Micros latency) const;
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
  Micros next_renewal_ = kNever;      // something that was said is due again
  std::vector<std::string> changed_;  // hosts to be judged at the next Tell
};

}  // namespace burlfall::ejection

#endif  // BURLFALL_EJECTION_EVIDENCE_H_
