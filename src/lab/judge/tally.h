// Sums up the checked queries: service as the operators count it, latency, outcomes, and the values per
// second. No I/O, no clock.
#ifndef BURLFALL_LAB_JUDGE_TALLY_H_
#define BURLFALL_LAB_JUDGE_TALLY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "lab/judge/facts.h"
#include "lab/judge/result.h"
#include "lab/judge/sketch.h"

namespace burlfall::lab {

class Tally {
 public:
  enum class Outcome { kInTime, kLate, kRefused, kFailed, kLost, kLeft, kUnreached };
  struct Query {  // a finished query
    int cls = 0;
    int tenant = 0;
    bool within_share = true;
    double worth = 0;
    Micros due = 0;  // of its first try
    Micros ended_at = 0;
    Micros aim_at = 0;
    Outcome outcome = Outcome::kInTime;
    int tries = 0;
    int attempts = 0;
    int copies = 0;
    int cross_zone = 0;
    int held_back = 0;
    double work_begun_us = 0;
    double work_wasted_us = 0;
  };

  explicit Tally(const Facts& facts);  // `facts` must outlive this
  ~Tally();

  // Whether a query that was due then counts for service, latency and outcomes.
  bool IsCounted(Micros due) const;
  void Close(const Query& query);
  void AttemptStarted(int node, Micros at);
  void AttemptFinished(int node, Micros at);
  void Fill(Verdict& verdict) const;  // service, outcomes, latency, classes, tenants, effort and series

 private:
  struct Worth {
    double asked = 0;
    double in_time = 0;
    double Share() const { return asked > 0 ? in_time / asked : 1; }
  };
  struct Group {
    Worth worth;
    Outcomes outcomes;
    Sketch latency;
  };
  struct Second {
    Worth worth;
    Outcomes outcomes;
    std::unique_ptr<Sketch> latency;  // null once no query of this second can be open
    double p50_ms = 0;
    double p99_ms = 0;
    uint64_t sends = 0;
    std::vector<uint32_t> attempts;   // by node
    std::vector<uint32_t> in_flight;  // by node, maximum within the second
  };

  Second& SecondAt(Micros at);
  static void Finalize(Second& second);
  static GroupResult ResultOf(const std::string& name, const Group& group);
  void FillService(Verdict& verdict) const;
  void FillSeries(Series& series) const;

  const Facts& facts_;
  Group all_;
  std::vector<Group> classes_;
  std::vector<Group> tenants_;  // within their shares
  Effort effort_;
  double wasted_us_ = 0;
  double late_failed_worth_ = 0;
  uint64_t tries_ = 0;
  std::vector<Second> seconds_;
  std::size_t finalized_ = 0;        // number of leading seconds without a histogram
  std::vector<uint32_t> in_flight_;  // by node, now
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_TALLY_H_
