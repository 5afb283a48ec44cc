#include "lab/judge/rules.h"

#include <algorithm>

#include "lab/judge/text.h"

namespace burlfall::lab {
namespace {

using meadowslip::DedupGroup;
using meadowslip::Idempotency;

bool IsComplete(End how) { return how == End::kServed || how == End::kRefused || how == End::kFailed; }

unsigned long long Number(const AttemptRecord& attempt) { return attempt.seen.attempt; }

}  // namespace

struct QueryRules::TryView {
  const QueryRecord& query;
  std::size_t number;
  const TryRecord& record;
  std::vector<const AttemptRecord*> attempts;  // of this try

  void Report(QueryVerdict& verdict, Rule rule, int node, Micros at, std::string why) const {
    verdict.violations.push_back({rule, number, node, at, std::move(why)});
  }
};

Micros QueryRules::AnswerLimit(const TryRecord& one) const {
  return one.client_try.give_up_at + facts_.settings.answer_slack + facts_.socket_slack;
}

void QueryRules::Check(const QueryRecord& query, Micros run_ended_at, QueryVerdict& verdict) const {
  verdict.tries.assign(query.tries.size(), {});
  verdict.violations.clear();
  verdict.site_repeated = false;
  for (std::size_t number = 0; number < query.tries.size(); ++number) {
    TryView view{query, number, query.tries[number], {}};
    for (const AttemptRecord& attempt : query.attempts) {
      if (attempt.try_number == number) view.attempts.push_back(&attempt);
    }
    CheckEnd(view, run_ended_at, verdict);
    CheckSends(view, verdict);
    CheckRefusal(view, verdict);
  }
  CheckEffects(query, verdict);
}

void QueryRules::CheckEnd(const TryView& view, Micros run_ended_at, QueryVerdict& verdict) const {
  const TryRecord& one = view.record;
  QueryVerdict::TryVerdict& try_verdict = verdict.tries[view.number];
  const Micros limit = AnswerLimit(one);
  const Micros seen_until = one.ended ? one.ended_at : std::min(limit, run_ended_at);
  const FaultHistory::BalancerEnd* balancer_end = one.Taken() ? history_.EndDuring(one, seen_until) : nullptr;
  const bool killed = balancer_end != nullptr && !balancer_end->planned;
  const bool paused = one.Taken() && history_.WasPaused(one, std::max(seen_until, limit));
  const auto report_lost = [&](const std::string& why) {
    if (paused) return;
    view.Report(verdict, Rule::kAnswerLost, -1, seen_until, why);
  };

  try_verdict.end_unreported = !one.ended;
  try_verdict.how = one.ended ? one.how : End::kBroken;
  if (IsComplete(try_verdict.how)) {
    if (one.answers > 1) {
      view.Report(verdict, Rule::kAnsweredTwice, -1, one.ended_at, Format("it got %d answers", one.answers));
    }
    if (one.ended_at > limit && !paused) {
      view.Report(verdict, Rule::kAnswerLate, -1, one.ended_at,
                  Format("the answer was whole %.1f ms after the client's deadline, %.1f ms too late",
                         Ms(one.ended_at - one.client_try.give_up_at), Ms(one.ended_at - limit)));
    }
    if (try_verdict.how == End::kServed) CheckMark(view, verdict);
    return;
  }
  if (!one.Taken()) {
    try_verdict.how = try_verdict.how == End::kLeft ? End::kLeft : End::kUnreached;
    return;
  }
  switch (try_verdict.how) {
    case End::kLeft:
      if (one.ended_at >= limit && !killed) {
        report_lost(Format("no answer until %.1f ms after the client's deadline",
                           Ms(one.ended_at - one.client_try.give_up_at)));
      }
      return;
    case End::kBroken:
    case End::kLost:
      break;
    default:
      return;
  }
  if (try_verdict.end_unreported && run_ended_at < limit) {
    try_verdict.how = End::kLeft;  // the run ended before its client could give up
  } else if (killed) {
    try_verdict.how = End::kLost;
  } else if (balancer_end != nullptr) {
    report_lost("the balancer, stopped as planned, ended with the query in hand");
  } else if (try_verdict.end_unreported) {
    report_lost("no answer, and no end that the client would have seen");
  } else if (try_verdict.how == End::kLost) {
    return;  // the client saw an end of the balancer that was not reported otherwise
  } else if (one.status != 0 &&
             std::any_of(view.attempts.begin(), view.attempts.end(), [](const AttemptRecord* attempt) {
               return attempt->answered &&
                      (attempt->how == AttemptEnd::kDropped || attempt->how == AttemptEnd::kCorrupted);
             })) {
    try_verdict.how = End::kFailed;  // a node truncated the answer while the balancer was forwarding it
  } else {
    report_lost("the balancer ended the link without a whole answer");
  }
}

void QueryRules::CheckMark(const TryView& view, QueryVerdict& verdict) const {
  const Mark& mark = view.record.mark;
  std::string why;
  if (mark.trace == 0) {
    why = "its answer holds no node's mark";
  } else if (mark.trace != view.record.client_try.trace) {
    const bool own = std::any_of(view.query.tries.begin(), view.query.tries.end(),
                                 [&](const TryRecord& one) { return one.client_try.trace == mark.trace; });
    why = "its answer was made for " + HexOf(mark.trace) +
          (own ? ", another try of the same query" : ", another query");
  } else {
    const auto made = std::find_if(view.attempts.begin(), view.attempts.end(), [&](const auto* attempt) {
      return attempt->seen.attempt == mark.attempt && attempt->seen.node == mark.node;
    });
    if (made == view.attempts.end()) {
      why = Format("its answer names attempt %llu, which did not arrive at that node",
                   static_cast<unsigned long long>(mark.attempt));
    } else if (!(*made)->answered || (*made)->how != AttemptEnd::kAnswered) {
      why = Format("its answer names attempt %llu, which the node did not answer with 200", Number(**made));
    }
  }
  verdict.tries[view.number].own_answer = why.empty();
  // The balancer forwards a corrupted answer unchanged: it has no worth, but is not the balancer's fault.
  const bool corrupted = std::any_of(view.attempts.begin(), view.attempts.end(), [](const auto* attempt) {
    return attempt->answered && attempt->how == AttemptEnd::kCorrupted;
  });
  if (!why.empty() && !corrupted) {
    view.Report(verdict, Rule::kAnswerForeign, mark.node, view.record.ended_at, std::move(why));
  }
}

void QueryRules::CheckSends(const TryView& view, QueryVerdict& verdict) const {
  const End how = verdict.tries[view.number].how;
  const bool over = view.record.ended && how != End::kLost && how != End::kUnreached;
  const int attempt_limit = facts_.settings.max_attempts;
  const bool unsafe = ClassOf(view.query).idempotency == Idempotency::kUnsafe;
  for (std::size_t later = 0; later < view.attempts.size(); ++later) {
    const AttemptRecord& sent = *view.attempts[later];
    const Micros at = sent.seen.first_byte_at;
    const auto report = [&](Rule rule, std::string why) {
      view.Report(verdict, rule, sent.seen.node, at, std::move(why));
    };
    if (over && at > view.record.ended_at + facts_.socket_slack) {
      report(Rule::kSentAfterEnd, Format("attempt %llu was sent %.1f ms after the end of the try",
                                         Number(sent), Ms(at - view.record.ended_at)));
    }
    if (later >= static_cast<std::size_t>(std::max(attempt_limit, 0))) {
      report(Rule::kTooManyAttempts,
             Format("attempt %llu is number %zu of at most %d", Number(sent), later + 1, attempt_limit));
    }
    std::string retry_violation;
    const AttemptRecord* outstanding = nullptr;
    for (std::size_t earlier = 0; earlier < later; ++earlier) {
      const AttemptRecord& before = *view.attempts[earlier];
      if (retry_violation.empty()) retry_violation = RetryViolation(view, before, sent);
      const bool is_outstanding = before.OverAt() > at + facts_.socket_slack;
      if (is_outstanding && !history_.WasCutOff(before, at)) outstanding = &before;
    }
    if (!retry_violation.empty()) report(Rule::kSentAgain, std::move(retry_violation));
    if (outstanding != nullptr && (unsafe || !facts_.settings.second_copies)) {
      report(Rule::kCopies, Format("attempt %llu was sent %.1f ms after attempt %llu, which was out",
                                   Number(sent), Ms(at - outstanding->seen.at), Number(*outstanding)));
    }
  }
}

std::string QueryRules::RetryViolation(const TryView& view, const AttemptRecord& earlier,
                                       const AttemptRecord& later) const {
  const meadowslip::RequestClass& cls = ClassOf(view.query);
  if (cls.idempotency == Idempotency::kSafe || !MayHaveRun(earlier, later.seen.first_byte_at)) return "";
  if (cls.idempotency == Idempotency::kUnsafe) {
    return Format("attempt %llu of an unsafe query was sent while attempt %llu may have run", Number(later),
                  Number(earlier));
  }
  const Micros after = later.seen.at - earlier.seen.at;
  if (after > cls.dedup_window + facts_.socket_slack) {
    return Format(
        "attempt %llu was sent %.1f ms after attempt %llu, which may have run; repeats are dropped "
        "for %.1f ms",
        Number(later), Ms(after), Number(earlier), Ms(cls.dedup_window));
  }
  if (!SameGroup(cls, earlier.seen.node, later.seen.node)) {
    return Format(
        "attempt %llu was sent to a node that does not drop a repeat of attempt %llu, which may have run",
        Number(later), Number(earlier));
  }
  return "";
}

void QueryRules::CheckRefusal(const TryView& view, QueryVerdict& verdict) const {
  const meadowslip::RequestClass& cls = ClassOf(view.query);
  if (verdict.tries[view.number].how != End::kRefused || cls.idempotency == Idempotency::kSafe) return;
  // If all nodes drop repeats, refusing a keyed query is harmless, whatever has run.
  if (cls.idempotency == Idempotency::kKeyed && cls.group == DedupGroup::kAll) return;
  for (const AttemptRecord* attempt : view.attempts) {
    if (!MayHaveRun(*attempt, view.record.ended_at)) continue;
    view.Report(
        verdict, Rule::kRefusalUntrue, attempt->seen.node, view.record.ended_at,
        Format("refused with %d though attempt %llu may have run", view.record.status, Number(*attempt)));
    return;
  }
}

void QueryRules::CheckEffects(const QueryRecord& query, QueryVerdict& verdict) const {
  const meadowslip::RequestClass& cls = ClassOf(query);
  if (cls.idempotency == Idempotency::kSafe) return;
  const bool keyed = cls.idempotency == Idempotency::kKeyed;
  const bool dropped_by_all = keyed && cls.group == DedupGroup::kAll;
  std::vector<int> effects(query.tries.size());
  for (const AttemptRecord& attempt : query.attempts) {
    if (attempt.effect) ++effects[attempt.try_number];
  }
  int refused_after_effect = 0;
  for (std::size_t number = 0; number < query.tries.size(); ++number) {
    const TryRecord& one = query.tries[number];
    const auto repeated = [&](std::string why) {
      verdict.violations.push_back({Rule::kEffectRepeated, number, -1, one.ended_at, std::move(why)});
    };
    const bool sent_wrongly =
        std::any_of(verdict.violations.begin(), verdict.violations.end(), [&](const Violation& violation) {
          return violation.number == number && violation.rule == Rule::kSentAgain;
        });
    if (effects[number] > 1) {
      if (keyed && !sent_wrongly) {
        verdict.site_repeated = true;
      } else {
        repeated(Format("the effect of this try happened %d times", effects[number]));
      }
    }
    if (effects[number] > 0 && refused_after_effect > 0 && !dropped_by_all) {
      repeated("its effect had happened in an earlier try, which was refused as harmless to repeat");
    }
    if (effects[number] > 0 && verdict.tries[number].how == End::kRefused) ++refused_after_effect;
  }
}

bool QueryRules::IsCopy(const QueryRecord& query, std::size_t attempt) const {
  const AttemptRecord& copy = query.attempts[attempt];
  return std::any_of(query.attempts.begin(), query.attempts.begin() + static_cast<std::ptrdiff_t>(attempt),
                     [&](const AttemptRecord& one) {
                       return one.try_number == copy.try_number &&
                              one.OverAt() > copy.seen.first_byte_at + facts_.order_slack;
                     });
}

const meadowslip::RequestClass& QueryRules::ClassOf(const QueryRecord& query) const {
  return facts_.settings.classes.at(static_cast<std::size_t>(query.tries.front().client_try.cls));
}

// An attempt may have run unless its node has answered, by then, that it never ran.
bool QueryRules::MayHaveRun(const AttemptRecord& attempt, Micros by) const {
  const bool proven_not_run = attempt.answered && attempt.how == AttemptEnd::kRejected &&
                              attempt.answered_at <= by + facts_.order_slack;
  return !proven_not_run;
}

bool QueryRules::SameGroup(const meadowslip::RequestClass& cls, int a, int b) const {
  if (cls.group == DedupGroup::kAll || a == b) return true;
  const Facts::Participant& one = facts_.nodes.at(static_cast<std::size_t>(a));
  const Facts::Participant& other = facts_.nodes.at(static_cast<std::size_t>(b));
  return one.zone == other.zone && (cls.group == DedupGroup::kZone || one.cell == other.cell);
}

}  // namespace burlfall::lab
