// The judge: sees both ends of every query and says which rules the balancers kept, and what the clients got.
// No I/O, no clock: it knows the time from what it is told, and only ever looks at a query once that is over
// and its last events have had time to come in, so that it does not matter which end tells first.
//
//   Judge judge(FactsOf(experiment, script, settings, begins_at));
//   ... the stand-ins tell it, from one thread ...
//   Verdict verdict = judge.Finish(now);
//
// It keeps records of queries that are open or were lately, and sketches of fixed size of all others.
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

#include "lab/judge/facts.h"
#include "lab/judge/fault_history.h"
#include "lab/judge/record.h"
#include "lab/judge/result.h"
#include "lab/judge/rules.h"
#include "lab/judge/balancer_knowledge.h"
#include "lab/judge/traces.h"
#include "lab/witness/observer.h"

namespace burlfall::lab {

class Sketch;
class Tally;

class Judge : public Witness {
 public:
  explicit Judge(Facts facts);
  ~Judge() override;
  Judge(const Judge&) = delete;
  Judge& operator=(const Judge&) = delete;

  // Judges what is still open and ends the run; call it once, when the balancers have answered all.
  Verdict Finish(Micros at);

  std::size_t records() const { return tries_.size() + attempts_.size(); }  // that are held
  uint64_t Broken(Rule rule) const;                                         // times so far
  const TraceStore& traces() const { return stories_; }

  void Due(const Try& one) override;
  void Written(TraceId trace, Micros at) override;
  void Ended(TraceId trace, Micros at, End how, int status, const Mark& mark, Micros refused_for) override;
  void SentLate(Micros late_by) override;
  void Arrived(const AttemptSeen& attempt) override;
  void Ran(uint64_t attempt, Micros at, bool effect) override;
  void AnsweredAtNode(uint64_t attempt, Micros at, AtNode how) override;
  void LinkEnded(uint64_t attempt, Micros at) override;
  void HandshakeAt(int node, int balancer, Micros at) override;
  void NodeChanged(int node, NodeChange change, Micros at, const std::vector<double>& pushed_by) override;
  void Strange(int node, int balancer, Micros at) override;
  void Listed(int node, meadowslip::BackendState state, Micros started_at, Micros at) override;
  void Told(int balancer, int node, meadowslip::BackendState state, Micros started_at, Micros at) override;
  void Asked(int balancer, Micros at, bool watching) override;
  void AskFailed(int balancer, Micros at) override;
  void ByHand(int balancer, int node, bool out, Micros at) override;
  void BalancerUp(int balancer, Micros at) override;
  void BalancerDown(int balancer, Micros at, bool planned) override;
  void FaultBegan(int action, Micros at) override;
  void FaultEnded(int action, Micros at) override;

 private:
  struct Place {
    std::size_t query = 0;
    std::size_t number = 0;  // of the try, or the attempt, in it
  };
  struct Query {
    QueryRecord seen;
    bool retry_alone = false;  // its first try is long forgotten: it counts for the rules only
  };
  using Check = std::pair<Micros, std::size_t>;  // when to look at which query

  void Pass(Micros at);  // time
  void Look(std::size_t place);
  void Close(std::size_t place, Micros run_ended_at);
  std::size_t NewPlace();
  TryRecord* FindTry(TraceId trace);
  AttemptRecord* FindAttempt(uint64_t attempt);
  void Count(const QueryRecord& query);  // and what was judged of it
  void JudgeDrain(const AttemptSeen& attempt);
  void JudgeListed(const AttemptSeen& attempt);
  void JudgeCrashes();

  void Break(Rule rule, Finding finding, TraceId trace, Micros at, Micros since);
  Finding About(int balancer, int node, std::string why) const;

  const Facts facts_;
  TraceStore stories_;
  ToldBook told_;
  History history_;
  QueryRules rules_;
  std::unique_ptr<Tally> tally_;
  std::unique_ptr<Sketch> late_;
  Verdict verdict_;  // what is counted as it happens
  Micros now_ = 0;

  std::vector<Query> queries_;     // by place
  std::vector<std::size_t> free_;  // places
  std::unordered_map<TraceId, Place> tries_;
  std::unordered_map<uint64_t, Place> attempts_;
  std::priority_queue<Check, std::vector<Check>, std::greater<>> checks_;  // one for each open query
  Judged judged_;                                                          // the last one

  std::vector<Micros> node_started_at_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_RUN_CHECKER_H_
