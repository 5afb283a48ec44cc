// The run checker: observes both ends of every query and determines which rules the balancers kept and what
// the clients got. No I/O, no clock: the time comes from the events. A query is checked only once it is over
// and its last events have had time to arrive, so the order in which the two ends report does not matter.
//
//   RunChecker checker(FactsOf(experiment, script, settings, begins_at));
//   ... the simulated clients and nodes report events, from one thread ...
//   Verdict verdict = checker.Finish(now);
//
// It keeps records of open and recently ended queries, and histograms of fixed size for all others.
#ifndef BURLFALL_LAB_JUDGE_RUN_CHECKER_H_
#define BURLFALL_LAB_JUDGE_RUN_CHECKER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/judge/balancer_knowledge.h"
#include "lab/judge/facts.h"
#include "lab/judge/fault_history.h"
#include "lab/judge/record.h"
#include "lab/judge/result.h"
#include "lab/judge/rules.h"
#include "lab/judge/traces.h"
#include "lab/witness/observer.h"

namespace burlfall::lab {

class Sketch;
class Tally;

class RunChecker : public Observer {
 public:
  explicit RunChecker(Facts facts);
  ~RunChecker() override;
  RunChecker(const RunChecker&) = delete;
  RunChecker& operator=(const RunChecker&) = delete;

  // Checks the queries that are still open and ends the run. Call it once, after the last answers.
  Verdict Finish(Micros at);

  std::size_t records() const { return tries_.size() + attempts_.size(); }  // held in memory
  uint64_t Violations(Rule rule) const;                                     // so far
  const TraceStore& traces() const { return traces_; }

  void Due(const Try& one) override;
  void Written(TraceId trace, Micros at) override;
  void Ended(TraceId trace, Micros at, End how, int status, const Mark& mark, Micros refused_for) override;
  void SentLate(Micros late_by) override;
  void Arrived(const ArrivedAttempt& attempt) override;
  void Ran(uint64_t attempt, Micros at, bool effect) override;
  void AttemptEnded(uint64_t attempt, Micros at, AttemptEnd how) override;
  void LinkEnded(uint64_t attempt, Micros at) override;
  void HandshakeAt(int node, int balancer, Micros at) override;
  void NodeChanged(int node, NodeChange change, Micros at,
                   const std::vector<double>& work_by_balancer) override;
  void UnexpectedRequest(int node, int balancer, Micros at) override;
  void Listed(int node, meadowslip::BackendState state, Micros started_at, Micros at) override;
  void NodeStateSent(int balancer, int node, meadowslip::BackendState state, Micros started_at,
                     Micros at) override;
  void ListRequested(int balancer, Micros at, bool watching) override;
  void ListRequestFailed(int balancer, Micros at) override;
  void ManualDrain(int balancer, int node, bool out, Micros at) override;
  void BalancerUp(int balancer, Micros at) override;
  void BalancerDown(int balancer, Micros at, bool planned) override;
  void FaultBegan(int action, Micros at) override;
  void FaultEnded(int action, Micros at) override;

 private:
  struct RecordPosition {
    std::size_t query = 0;
    std::size_t number = 0;  // of the try or attempt within the query
  };
  struct Query {
    QueryRecord seen;
    bool retry_only = false;  // its first try's record is gone: only the rules apply
  };
  using ScheduledReview = std::pair<Micros, std::size_t>;  // when to review which query

  void AdvanceTo(Micros at);  // reviews the queries that are due by then
  void ReviewQuery(std::size_t position);
  void Close(std::size_t position, Micros run_ended_at);
  std::size_t AllocateQuery();
  TryRecord* FindTry(TraceId trace);
  AttemptRecord* FindAttempt(uint64_t attempt);
  void Count(const QueryRecord& query);  // with query_verdict_
  void CheckDrain(const ArrivedAttempt& attempt);
  void CheckListed(const ArrivedAttempt& attempt);
  void CheckBalancerEnds();

  void ReportViolation(Rule rule, Finding finding, TraceId trace, Micros at, Micros since);
  Finding MakeFinding(int balancer, int node, std::string why) const;

  const Facts facts_;
  TraceStore traces_;
  BalancerKnowledge knowledge_;
  FaultHistory fault_history_;
  QueryRules rules_;
  std::unique_ptr<Tally> tally_;
  std::unique_ptr<Sketch> send_delays_;
  Verdict verdict_;  // counted as events arrive
  Micros now_ = 0;

  std::vector<Query> queries_;  // by position
  std::vector<std::size_t> free_positions_;
  std::unordered_map<TraceId, RecordPosition> tries_;
  std::unordered_map<uint64_t, RecordPosition> attempts_;
  std::priority_queue<ScheduledReview, std::vector<ScheduledReview>, std::greater<>>
      reviews_;                 // one per open query
  QueryVerdict query_verdict_;  // of the query checked last

  std::vector<Micros> node_started_at_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_RUN_CHECKER_H_
