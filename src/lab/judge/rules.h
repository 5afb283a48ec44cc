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

struct Breach {
  Rule rule = Rule::kAnswerLost;
  std::size_t number = 0;  // of the try
  int node = -1;
  Micros at = 0;
  std::string why;
};

struct Judged {
  struct OneTry {
    End how = End::kLeft;     // as it really was
    bool own_answer = false;  // served with what a node made for it
    bool untold = false;      // the lab never told of its end
  };
  std::vector<OneTry> tries;
  std::vector<Breach> breaches;
  bool site_repeated = false;  // nodes ran a keyed effect twice though the balancer kept the rules
};

class QueryRules {
 public:
  QueryRules(const Facts& facts, const History& history) : facts_(facts), history_(history) {}

  // The last moment at which a try's answer is in time.
  Micros Limit(const TryRecord& one) const;
  // `run_ended_at`: a try whose limit is later is not blamed for having no end.
  void Judge(const QueryRecord& query, Micros run_ended_at, Judged& judged) const;
  // An earlier attempt of the same try was out when this one came.
  bool IsCopy(const QueryRecord& query, std::size_t attempt) const;

 private:
  struct View;  // of one try of a query

  void JudgeEnd(const View& view, Micros run_ended_at, Judged& judged) const;
  void JudgeMark(const View& view, Judged& judged) const;
  void JudgeSends(const View& view, Judged& judged) const;
  void JudgeRefusal(const View& view, Judged& judged) const;
  void JudgeEffects(const QueryRecord& query, Judged& judged) const;
  // The first word on what an attempt after `earlier` breaks; empty: nothing.
  std::string WhyNotAgain(const View& view, const AttemptRecord& earlier, const AttemptRecord& later) const;

  const meadowslip::RequestClass& ClassOf(const QueryRecord& query) const;
  bool MayHaveRun(const AttemptRecord& attempt, Micros by) const;
  bool SameGroup(const meadowslip::RequestClass& cls, int a, int b) const;

  const Facts& facts_;
  const History& history_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_RULES_H_
