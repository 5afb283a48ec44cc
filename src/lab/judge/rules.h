// The rules on single queries, applied to everything observed from the first try to the last event: rules on
// answers, effects, copies and numbers of attempts. The run checker has the rules that need no query.
#ifndef BURLFALL_LAB_JUDGE_RULES_H_
#define BURLFALL_LAB_JUDGE_RULES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "lab/judge/facts.h"
#include "lab/judge/fault_history.h"
#include "lab/judge/record.h"
#include "lab/judge/result.h"

namespace burlfall::lab {

// A violation of a rule by one query.
struct Violation {
  Rule rule = Rule::kAnswerLost;
  std::size_t number = 0;  // of the try
  int node = -1;
  Micros at = 0;
  std::string why;
};

// The result of checking one query.
struct QueryVerdict {
  struct TryVerdict {
    End how = End::kLeft;         // corrected by what the nodes and balancers did
    bool own_answer = false;      // served with a node's answer to an attempt of this try
    bool end_unreported = false;  // the lab never reported how the try ended
  };
  std::vector<TryVerdict> tries;
  std::vector<Violation> violations;
  bool site_repeated = false;  // nodes ran a keyed effect twice although the balancer kept the rules
};

class QueryRules {
 public:
  QueryRules(const Facts& facts, const FaultHistory& history) : facts_(facts), history_(history) {}

  // The latest time at which an answer to the try is not too late.
  Micros AnswerLimit(const TryRecord& one) const;
  // `run_ended_at`: a try whose limit is later may have no end.
  void Check(const QueryRecord& query, Micros run_ended_at, QueryVerdict& verdict) const;
  // Whether an earlier attempt of the same try was outstanding when this one arrived.
  bool IsCopy(const QueryRecord& query, std::size_t attempt) const;

 private:
  struct TryView;  // one try of a query with its attempts

  void CheckEnd(const TryView& view, Micros run_ended_at, QueryVerdict& verdict) const;
  void CheckMark(const TryView& view, QueryVerdict& verdict) const;
  void CheckSends(const TryView& view, QueryVerdict& verdict) const;
  void CheckRefusal(const TryView& view, QueryVerdict& verdict) const;
  void CheckEffects(const QueryRecord& query, QueryVerdict& verdict) const;
  // Returns which limit on repeated sending `later` violates given `earlier`; empty: none.
  std::string RetryViolation(const TryView& view, const AttemptRecord& earlier,
                             const AttemptRecord& later) const;

  const meadowslip::RequestClass& ClassOf(const QueryRecord& query) const;
  bool MayHaveRun(const AttemptRecord& attempt, Micros by) const;
  bool SameGroup(const meadowslip::RequestClass& cls, int a, int b) const;

  const Facts& facts_;
  const FaultHistory& history_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_RULES_H_
