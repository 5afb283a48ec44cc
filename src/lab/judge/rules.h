// The rules on single queries, over what was seen of one from its first try to the last event: those on
// answers, effects, copies and numbers of attempts. The rules on nodes, which need no query, are the judge's.
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

struct Violation {
  Rule rule = Rule::kAnswerLost;
  std::size_t number = 0;  // of the try
  int node = -1;
  Micros at = 0;
  std::string why;
};

struct QueryVerdict {
  struct TryVerdict {
    End how = End::kLeft;     // as it really was
    bool own_answer = false;  // served with what a node made for it
    bool end_unreported = false;      // the lab never told of its end
  };
  std::vector<TryVerdict> tries;
  std::vector<Violation> violations;
  bool site_repeated = false;  // nodes ran a keyed effect twice though the balancer kept the rules
};

class QueryRules {
 public:
  QueryRules(const Facts& facts, const FaultHistory& history) : facts_(facts), history_(history) {}

  // The last moment at which a try's answer is in time.
  Micros AnswerLimit(const TryRecord& one) const;
  // `run_ended_at`: a try whose limit is later is not blamed for having no end.
  void Check(const QueryRecord& query, Micros run_ended_at, QueryVerdict& verdict) const;
  // An earlier attempt of the same try was out when this one came.
  bool IsCopy(const QueryRecord& query, std::size_t attempt) const;

 private:
  struct TryView;  // of one try of a query

  void CheckEnd(const TryView& view, Micros run_ended_at, QueryVerdict& verdict) const;
  void CheckMark(const TryView& view, QueryVerdict& verdict) const;
  void CheckSends(const TryView& view, QueryVerdict& verdict) const;
  void CheckRefusal(const TryView& view, QueryVerdict& verdict) const;
  void CheckEffects(const QueryRecord& query, QueryVerdict& verdict) const;
  // The first word on what an attempt after `earlier` breaks; empty: nothing.
  std::string RetryViolation(const TryView& view, const AttemptRecord& earlier, const AttemptRecord& later) const;

  const meadowslip::RequestClass& ClassOf(const QueryRecord& query) const;
  bool MayHaveRun(const AttemptRecord& attempt, Micros by) const;
  bool SameGroup(const meadowslip::RequestClass& cls, int a, int b) const;

  const Facts& facts_;
  const FaultHistory& history_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_RULES_H_
