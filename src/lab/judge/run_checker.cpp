#include "lab/judge/run_checker.h"

#include <algorithm>

#include "lab/judge/find.h"
#include "lab/judge/sketch.h"
#include "lab/judge/tally.h"
#include "lab/judge/text.h"

namespace burlfall::lab {
namespace {

std::string NameAt(const std::vector<Facts::Participant>& places, int number) {
  if (number < 0) return "";
  const Facts::Participant* place = Find(places, number);
  return place == nullptr ? std::to_string(number) : place->name;
}

bool IsComplete(End how) { return how == End::kServed || how == End::kRefused || how == End::kFailed; }

uint64_t& CountOf(Ends& ends, End how) {
  switch (how) {
    case End::kServed:
      return ends.served;
    case End::kRefused:
      return ends.refused;
    case End::kFailed:
      return ends.failed;
    case End::kBroken:
      return ends.broken;
    case End::kLost:
      return ends.lost;
    case End::kUnreached:
      return ends.unreached;
    case End::kLeft:
      break;
  }
  return ends.left;
}

Tally::Outcome OutcomeOf(const QueryVerdict::TryVerdict& try_verdict, bool in_time) {
  switch (try_verdict.how) {
    case End::kServed:
      if (!try_verdict.own_answer) return Tally::Outcome::kFailed;
      return in_time ? Tally::Outcome::kInTime : Tally::Outcome::kLate;
    case End::kRefused:
      return Tally::Outcome::kRefused;
    case End::kFailed:
      return Tally::Outcome::kFailed;
    case End::kBroken:
    case End::kLost:
      return Tally::Outcome::kLost;
    case End::kUnreached:
      return Tally::Outcome::kUnreached;
    case End::kLeft:
      break;
  }
  return Tally::Outcome::kLeft;
}

// Whether the try was refused or failed after more than half of its time, or was never answered. If no
// attempt was sent for it, this counts as held back.
bool HeldTooLong(const TryRecord& one, End how, Micros ended_at) {
  const Micros took = ended_at - one.client_try.due;
  const Micros time_allowed = one.client_try.give_up_at - one.client_try.due;
  if (how == End::kRefused || how == End::kFailed) return took > time_allowed / 2;
  return how == End::kBroken || (how == End::kLeft && one.Taken() && took >= time_allowed);
}

}  // namespace

RunChecker::RunChecker(Facts facts)
    : facts_(std::move(facts)),
      traces_(facts_),
      knowledge_(facts_.settings, facts_.pushed),
      fault_history_(facts_),
      rules_(facts_, fault_history_),
      tally_(std::make_unique<Tally>(facts_)),
      send_delays_(std::make_unique<Sketch>()),
      now_(facts_.begins_at),
      node_started_at_(facts_.nodes.size()) {
  verdict_.experiment = facts_.experiment;
  verdict_.subject = facts_.subject;
  verdict_.seed = facts_.seed;
  verdict_.begins_at_us = facts_.begins_at;
  verdict_.length_s = Ms(facts_.length) / 1000;
  verdict_.settle_s = Ms(facts_.settle) / 1000;
  for (int rule = 0; rule < kRules; ++rule) {
    const auto id = static_cast<Rule>(rule);
    verdict_.rules.push_back({std::string(NameOf(id)), std::string(TextOf(id)), 0, {}});
  }
  for (const Facts::Participant& node : facts_.nodes) {
    verdict_.nodes.emplace_back().name = node.name;
    verdict_.nodes.back().zone = node.zone;
  }
  for (const Facts::Participant& balancer : facts_.balancers) {
    verdict_.balancers.emplace_back().name = balancer.name;
    verdict_.balancers.back().zone = balancer.zone;
  }
}

RunChecker::~RunChecker() = default;

uint64_t RunChecker::Violations(Rule rule) const {
  return verdict_.rules[static_cast<std::size_t>(rule)].broken;
}

// Events

void RunChecker::Due(const Try& one) {
  traces_.Due(one);
  if (TryRecord* again = FindTry(one.trace)) {
    again->client_try = one;
    return;
  }
  const auto first = tries_.find(one.first);
  const bool known = first != tries_.end();
  const std::size_t position = known ? first->second.query : AllocateQuery();
  std::vector<TryRecord>& tries = queries_[position].seen.tries;
  tries_.emplace(one.trace, RecordPosition{position, tries.size()});
  tries.emplace_back().client_try = one;
  if (known) return;
  queries_[position].retry_only = one.trace != one.first;
  if (queries_[position].retry_only) ++verdict_.lab.strays;
  reviews_.emplace(rules_.AnswerLimit(tries.back()) + facts_.check_after, position);
}

void RunChecker::Written(TraceId trace, Micros at) {
  traces_.Written(trace, at);
  if (TryRecord* one = FindTry(trace)) {
    one->written_at = at;
    if (BalancerResult* balancer = Find(verdict_.balancers, one->client_try.balancer)) ++balancer->taken;
  } else {
    ++verdict_.lab.strays;
  }
  AdvanceTo(at);
}

void RunChecker::Ended(TraceId trace, Micros at, End how, int status, const Mark& mark, Micros refused_for) {
  traces_.Ended(trace, at, how, status, mark, refused_for);
  TryRecord* one = FindTry(trace);
  if (one == nullptr) {
    ++verdict_.lab.strays;
  } else {
    if (IsComplete(how)) ++one->answers;
    if (!one->ended) {  // the client acted on the first end
      one->ended = true;
      one->how = how;
      one->ended_at = at;
      one->status = status;
      one->mark = mark;
    }
  }
  AdvanceTo(at);
}

void RunChecker::SentLate(Micros late_by) {
  send_delays_->Add(late_by);
  if (late_by > facts_.late_after) ++verdict_.lab.late_sends;
}

void RunChecker::Arrived(const ArrivedAttempt& attempt) {
  traces_.Arrived(attempt);
  if (NodeResult* node = Find(verdict_.nodes, attempt.node)) ++node->attempts;
  if (BalancerResult* balancer = Find(verdict_.balancers, attempt.balancer)) ++balancer->attempts;
  CheckDrain(attempt);
  CheckListed(attempt);
  const auto of = tries_.find(attempt.trace);
  if (of == tries_.end()) {
    Finding finding = MakeFinding(attempt.balancer, attempt.node,
                                  Format("attempt %llu is for no query that is open or was lately",
                                         static_cast<unsigned long long>(attempt.attempt)));
    ReportViolation(Rule::kSentAfterEnd, std::move(finding), attempt.trace, attempt.first_byte_at,
                    attempt.first_byte_at - facts_.linger);
  } else {
    std::vector<AttemptRecord>& attempts = queries_[of->second.query].seen.attempts;
    attempts_.emplace(attempt.attempt, RecordPosition{of->second.query, attempts.size()});
    attempts.emplace_back().seen = attempt;
    attempts.back().try_number = of->second.number;
    tally_->AttemptStarted(attempt.node, attempt.at);
  }
  AdvanceTo(attempt.at);
}

void RunChecker::Ran(uint64_t attempt, Micros at, bool effect) {
  traces_.Ran(attempt, at, effect);
  if (AttemptRecord* one = FindAttempt(attempt)) {
    one->ran = true;
    one->effect = effect;
  } else {
    ++verdict_.lab.strays;
  }
  AdvanceTo(at);
}

void RunChecker::AttemptEnded(uint64_t attempt, Micros at, AttemptEnd how) {
  traces_.AttemptEnded(attempt, at, how);
  AttemptRecord* one = FindAttempt(attempt);
  if (one == nullptr) {
    ++verdict_.lab.strays;
  } else if (!one->answered) {
    if (!one->Over()) tally_->AttemptFinished(one->seen.node, at);
    one->answered = true;
    one->answered_at = at;
    one->how = how;
    if (NodeResult* node = Find(verdict_.nodes, one->seen.node)) {
      switch (how) {
        case AttemptEnd::kAnswered:
          ++node->answered;
          break;
        case AttemptEnd::kError:
          ++node->errors;
          break;
        case AttemptEnd::kRejected:
          ++node->turned_away;
          break;
        case AttemptEnd::kCorrupted:
        case AttemptEnd::kDropped:
          ++node->dropped;
          break;
      }
    }
  }
  AdvanceTo(at);
}

void RunChecker::LinkEnded(uint64_t attempt, Micros at) {
  traces_.LinkEnded(attempt, at);
  AttemptRecord* one = FindAttempt(attempt);
  if (one == nullptr) {
    ++verdict_.lab.strays;
  } else {
    if (!one->Over()) tally_->AttemptFinished(one->seen.node, at);
    one->link_ended_at = std::min(one->link_ended_at, at);
  }
  AdvanceTo(at);
}

void RunChecker::HandshakeAt(int node, int, Micros at) {
  if (NodeResult* one = Find(verdict_.nodes, node)) ++one->handshakes;
  AdvanceTo(at);
}

void RunChecker::NodeChanged(int node, NodeChange change, Micros at,
                             const std::vector<double>& work_by_balancer) {
  traces_.NodeChanged(node, change, at, work_by_balancer);
  NodeResult* one = Find(verdict_.nodes, node);
  if (one == nullptr) return;
  Micros& started_at = node_started_at_[static_cast<std::size_t>(node)];
  if (change == NodeChange::kStarted) {
    ++one->starts;
    started_at = at;
  } else if (change == NodeChange::kOverloaded) {
    ++one->fell;
    double total_work = 0;
    double work_by_informed = 0;
    for (std::size_t balancer = 0; balancer < work_by_balancer.size(); ++balancer) {
      total_work += work_by_balancer[balancer];
      const Micros since = knowledge_.StartKnownSince(static_cast<int>(balancer), node, started_at, at);
      if (since != kNever && since + facts_.socket_slack <= at)
        work_by_informed += work_by_balancer[balancer];
    }
    if (total_work > 0 && work_by_informed * 3 >= total_work * 2) {
      Finding finding = MakeFinding(
          -1, node,
          Format("it fell over %.1f s after its start, and %.0f%% of the work came from balancers "
                 "that were told of that",
                 Ms(at - started_at) / 1000, 100 * work_by_informed / total_work));
      ReportViolation(Rule::kColdNode, std::move(finding), 0, at, 0);
    }
  }
  AdvanceTo(at);
}

void RunChecker::Listed(int node, meadowslip::BackendState state, Micros started_at, Micros at) {
  knowledge_.OnListed(node, state, started_at, at);
}

void RunChecker::NodeStateSent(int balancer, int node, meadowslip::BackendState state, Micros started_at,
                               Micros at) {
  traces_.NodeStateSent(balancer, node, state, started_at, at);
  knowledge_.OnNodeState(balancer, node, state, started_at, at);
}

void RunChecker::ListRequested(int balancer, Micros at, bool watching) {
  knowledge_.OnListRequest(balancer, at, watching);
}

void RunChecker::ListRequestFailed(int balancer, Micros at) { knowledge_.OnListRequestFailed(balancer, at); }

void RunChecker::ManualDrain(int balancer, int node, bool out, Micros at) {
  knowledge_.OnManualDrain(balancer, node, out, at);
}

void RunChecker::UnexpectedRequest(int node, int balancer, Micros at) {
  ReportViolation(Rule::kMadeUp, MakeFinding(balancer, node, "something came that no client had made"), 0, at,
                  0);
}

void RunChecker::BalancerUp(int balancer, Micros at) {
  traces_.BalancerUp(balancer, at);
  knowledge_.OnBalancerUp(balancer, at);
}

void RunChecker::BalancerDown(int balancer, Micros at, bool planned) {
  traces_.BalancerDown(balancer, at, planned);
  fault_history_.BalancerDown(balancer, at, planned);
}

void RunChecker::FaultBegan(int action, Micros at) {
  traces_.FaultBegan(action, at);
  fault_history_.FaultBegan(action, at);
}

void RunChecker::FaultEnded(int action, Micros at) {
  traces_.FaultEnded(action, at);
  fault_history_.FaultEnded(action, at);
}

// Records of queries

std::size_t RunChecker::AllocateQuery() {
  if (free_positions_.empty()) {
    queries_.emplace_back();
    return queries_.size() - 1;
  }
  const std::size_t position = free_positions_.back();
  free_positions_.pop_back();
  return position;
}

TryRecord* RunChecker::FindTry(TraceId trace) {
  const auto it = tries_.find(trace);
  return it == tries_.end() ? nullptr : &queries_[it->second.query].seen.tries[it->second.number];
}

AttemptRecord* RunChecker::FindAttempt(uint64_t attempt) {
  const auto it = attempts_.find(attempt);
  return it == attempts_.end() ? nullptr : &queries_[it->second.query].seen.attempts[it->second.number];
}

void RunChecker::AdvanceTo(Micros at) {
  now_ = std::max(now_, at);
  while (!reviews_.empty() && reviews_.top().first <= now_) {
    const std::size_t position = reviews_.top().second;
    reviews_.pop();
    ReviewQuery(position);
  }
}

void RunChecker::ReviewQuery(std::size_t position) {
  const QueryRecord& query = queries_[position].seen;
  Micros ended_at = 0;
  for (const TryRecord& one : query.tries) {
    ended_at = std::max(ended_at, one.ended ? one.ended_at : rules_.AnswerLimit(one));
  }
  const bool running = std::any_of(query.attempts.begin(), query.attempts.end(),
                                   [](const AttemptRecord& attempt) { return !attempt.Over(); });
  if (now_ < ended_at + facts_.check_after) {
    reviews_.emplace(ended_at + facts_.check_after, position);
  } else if (running && now_ < ended_at + facts_.linger) {
    reviews_.emplace(std::min(now_ + facts_.check_after, ended_at + facts_.linger), position);
  } else {
    Close(position, now_);
  }
}

void RunChecker::Close(std::size_t position, Micros run_ended_at) {
  Query& query = queries_[position];
  rules_.Check(query.seen, run_ended_at, query_verdict_);
  for (Violation& violation : query_verdict_.violations) {
    const Try& one = query.seen.tries[violation.number].client_try;
    Finding finding = MakeFinding(one.balancer, violation.node, std::move(violation.why));
    finding.query = HexOf(one.first);
    ReportViolation(violation.rule, std::move(finding), one.trace, violation.at,
                    query.seen.tries.front().client_try.due);
  }
  if (query_verdict_.site_repeated) ++verdict_.lab.site_repeats;
  if (!query.retry_only) Count(query.seen);
  for (const TryRecord& one : query.seen.tries) tries_.erase(one.client_try.trace);
  for (const AttemptRecord& attempt : query.seen.attempts) {
    if (!attempt.Over()) tally_->AttemptFinished(attempt.seen.node, now_);
    attempts_.erase(attempt.seen.attempt);
  }
  query.seen.tries.clear();  // the next query at this position reuses the memory
  query.seen.attempts.clear();
  query.retry_only = false;
  free_positions_.push_back(position);
}

void RunChecker::Count(const QueryRecord& query) {
  const Try& first = query.tries.front().client_try;
  Tally::Query totals;
  totals.cls = first.cls;
  totals.tenant = first.tenant;
  totals.within_share = first.within_share;
  totals.worth = first.worth;
  totals.due = first.due;
  totals.aim_at = first.aim_at;
  totals.tries = static_cast<int>(query.tries.size());
  totals.attempts = static_cast<int>(query.attempts.size());
  Ends not_counted;
  Ends& ends = tally_->IsCounted(first.due) ? verdict_.ends : not_counted;
  const Mark* used = nullptr;  // that of the answer which the client used
  for (std::size_t number = 0; number < query.tries.size(); ++number) {
    const TryRecord& one = query.tries[number];
    const QueryVerdict::TryVerdict& try_verdict = query_verdict_.tries[number];
    const Micros ended_at = one.ended ? one.ended_at : rules_.AnswerLimit(one);
    ++CountOf(ends, try_verdict.how);
    if (try_verdict.end_unreported) ++ends.untold;
    if (try_verdict.how == End::kLeft && one.Taken() && ended_at >= one.client_try.give_up_at)
      ++ends.left_unanswered;
    const bool sent = std::any_of(query.attempts.begin(), query.attempts.end(),
                                  [&](const AttemptRecord& attempt) { return attempt.try_number == number; });
    if (!sent && HeldTooLong(one, try_verdict.how, ended_at)) ++totals.held_back;
    if (used != nullptr) continue;  // tries after an answer change nothing
    totals.ended_at = ended_at;
    totals.outcome = OutcomeOf(try_verdict, ended_at <= totals.aim_at);
    if (try_verdict.own_answer) used = &one.mark;
  }
  for (std::size_t i = 0; i < query.attempts.size(); ++i) {
    const AttemptRecord& attempt = query.attempts[i];
    if (rules_.IsCopy(query, i)) ++totals.copies;
    const Facts::Participant* node = Find(facts_.nodes, attempt.seen.node);
    const Facts::Participant* balancer = Find(facts_.balancers, attempt.seen.balancer);
    if (node != nullptr && balancer != nullptr && node->zone != balancer->zone) ++totals.cross_zone;
    if (!attempt.ran || !attempt.effect) continue;  // answering a dropped repeat costs almost no work
    totals.work_begun_us += attempt.seen.work_us;
    if (used == nullptr || used->attempt != attempt.seen.attempt)
      totals.work_wasted_us += attempt.seen.work_us;
  }
  tally_->Close(totals);
}

// Rules that need no query record

void RunChecker::CheckDrain(const ArrivedAttempt& attempt) {
  const Micros since = knowledge_.UnusableSince(attempt.balancer, attempt.node, attempt.first_byte_at);
  if (since == kNever) return;
  const Micros grace = facts_.settings.drain_grace + facts_.socket_slack;
  if (attempt.first_byte_at <= since + grace) return;
  const TryRecord* one = FindTry(attempt.trace);
  Finding finding = MakeFinding(
      attempt.balancer, attempt.node,
      Format("attempt %llu was sent %.1f ms after the balancer was told, or deemed told, that the "
             "node drains, is gone or is out by hand; %.1f ms are allowed",
             static_cast<unsigned long long>(attempt.attempt), Ms(attempt.first_byte_at - since), Ms(grace)));
  if (one != nullptr) finding.query = HexOf(one->client_try.first);
  ReportViolation(Rule::kDraining, std::move(finding), attempt.trace, attempt.first_byte_at,
                  attempt.first_byte_at - facts_.linger);
}

void RunChecker::CheckListed(const ArrivedAttempt& attempt) {
  if (!knowledge_.NeverListed(attempt.balancer, attempt.node, attempt.first_byte_at)) return;
  Finding finding =
      MakeFinding(attempt.balancer, attempt.node,
                  Format("attempt %llu was sent to a node that the balancer has heard of in no list",
                         static_cast<unsigned long long>(attempt.attempt)));
  if (const TryRecord* one = FindTry(attempt.trace)) finding.query = HexOf(one->client_try.first);
  ReportViolation(Rule::kUnlisted, std::move(finding), attempt.trace, attempt.first_byte_at,
                  attempt.first_byte_at - facts_.linger);
}

void RunChecker::CheckBalancerEnds() {
  for (const FaultHistory::BalancerEnd& balancer_end : fault_history_.balancer_ends()) {
    BalancerResult* balancer = Find(verdict_.balancers, balancer_end.balancer);
    const bool intended = fault_history_.WasIntended(balancer_end);
    if (balancer != nullptr)
      ++(balancer_end.planned ? balancer->planned_ends : intended ? balancer->kills : balancer->crashes);
    if (intended) continue;
    ReportViolation(Rule::kCrashed,
                    MakeFinding(balancer_end.balancer, -1, "it ended though neither stopped nor killed"), 0,
                    balancer_end.at, 0);
  }
}

// Results

Finding RunChecker::MakeFinding(int balancer, int node, std::string why) const {
  Finding finding;
  finding.balancer = NameAt(facts_.balancers, balancer);
  finding.node = NameAt(facts_.nodes, node);
  finding.why = std::move(why);
  return finding;
}

void RunChecker::ReportViolation(Rule rule, Finding finding, TraceId trace, Micros at, Micros since) {
  RuleResult& result = verdict_.rules[static_cast<std::size_t>(rule)];
  ++result.broken;
  if (result.findings.size() >= static_cast<std::size_t>(facts_.max_findings)) return;
  finding.at_s = Ms(at - facts_.begins_at) / 1000;
  if (trace != 0) {
    finding.trace = HexOf(trace);
    finding.story = traces_.Timeline(trace, since);
  }
  result.findings.push_back(std::move(finding));
}

Verdict RunChecker::Finish(Micros at) {
  AdvanceTo(at);
  for (; !reviews_.empty(); reviews_.pop()) Close(reviews_.top().second, at);
  CheckBalancerEnds();
  Verdict& all = verdict_;
  all.rules_kept = std::all_of(all.rules.begin(), all.rules.end(),
                               [](const RuleResult& rule) { return rule.broken == 0; });
  all.lab.sends = send_delays_->count();
  if (all.lab.sends > 0) {
    all.lab.late_share = static_cast<double>(all.lab.late_sends) / static_cast<double>(all.lab.sends);
  }
  all.lab.late_p99_ms = send_delays_->Quantile(0.99) / kMs;
  all.lab.late_most_ms = Ms(send_delays_->Max());
  all.lab.too_late = all.lab.late_share > facts_.max_late_share;
  all.verdict = all.lab.too_late ? "none" : all.rules_kept ? "kept" : "broken";
  for (const FaultHistory::FaultPeriod& period : fault_history_.faults()) {
    FaultResult& fault = all.faults.emplace_back();
    fault.action = period.action;
    fault.began_s = Ms(period.began_at - facts_.begins_at) / 1000;
    fault.ended_s = Ms(std::min(period.ended_at, at) - facts_.begins_at) / 1000;
    if (const Facts::Fault* known = Find(facts_.faults, period.action)) {
      fault.name = known->name;
      fault.targets = known->targets;
    }
  }
  tally_->Fill(all);
  all.effort.handshakes = 0;
  for (const NodeResult& node : all.nodes) all.effort.handshakes += node.handshakes;
  return all;
}

}  // namespace burlfall::lab
