#include "lab/judge/run_checker.h"

#include <algorithm>

#include "lab/judge/find.h"
#include "lab/judge/sketch.h"
#include "lab/judge/tally.h"
#include "lab/judge/text.h"

namespace burlfall::lab {
namespace {

std::string NameAt(const std::vector<Facts::Place>& places, int number) {
  if (number < 0) return "";
  const Facts::Place* place = Find(places, number);
  return place == nullptr ? std::to_string(number) : place->name;
}

bool Whole(End how) { return how == End::kServed || how == End::kRefused || how == End::kFailed; }

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

Tally::Fate FateOf(const Judged::OneTry& as, bool in_time) {
  switch (as.how) {
    case End::kServed:
      if (!as.own_answer) return Tally::Fate::kFailed;
      return in_time ? Tally::Fate::kInTime : Tally::Fate::kLate;
    case End::kRefused:
      return Tally::Fate::kRefused;
    case End::kFailed:
      return Tally::Fate::kFailed;
    case End::kBroken:
    case End::kLost:
      return Tally::Fate::kLost;
    case End::kUnreached:
      return Tally::Fate::kUnreached;
    case End::kLeft:
      break;
  }
  return Tally::Fate::kLeft;
}

// Refused or failed after over half of its time, or never answered: without an attempt this costs worth.
bool HeldLong(const TryRecord& one, End how, Micros ended_at) {
  const Micros took = ended_at - one.one.due;
  const Micros patience = one.one.give_up_at - one.one.due;
  if (how == End::kRefused || how == End::kFailed) return took > patience / 2;
  return how == End::kBroken || (how == End::kLeft && one.Taken() && took >= patience);
}

}  // namespace

Judge::Judge(Facts facts)
    : facts_(std::move(facts)),
      stories_(facts_),
      told_(facts_.settings, facts_.pushed),
      history_(facts_),
      rules_(facts_, history_),
      tally_(std::make_unique<Tally>(facts_)),
      late_(std::make_unique<Sketch>()),
      now_(facts_.begins_at),
      node_started_at_(facts_.nodes.size()) {
  verdict_.experiment = facts_.experiment;
  verdict_.subject = facts_.subject;
  verdict_.seed = facts_.seed;
  verdict_.begins_at_us = facts_.begins_at;
  verdict_.length_s = Ms(facts_.length) / 1000;
  verdict_.settle_s = Ms(facts_.settle) / 1000;
  for (int rule = 0; rule < kRules; ++rule) {
    const auto as = static_cast<Rule>(rule);
    verdict_.rules.push_back({std::string(NameOf(as)), std::string(TextOf(as)), 0, {}});
  }
  for (const Facts::Place& node : facts_.nodes) {
    verdict_.nodes.emplace_back().name = node.name;
    verdict_.nodes.back().zone = node.zone;
  }
  for (const Facts::Place& balancer : facts_.balancers) {
    verdict_.balancers.emplace_back().name = balancer.name;
    verdict_.balancers.back().zone = balancer.zone;
  }
}

Judge::~Judge() = default;

uint64_t Judge::Broken(Rule rule) const { return verdict_.rules[static_cast<std::size_t>(rule)].broken; }

// What is told

void Judge::Due(const Try& one) {
  stories_.Due(one);
  if (TryRecord* again = FindTry(one.trace)) {
    again->one = one;
    return;
  }
  const auto first = tries_.find(one.first);
  const bool known = first != tries_.end();
  const std::size_t place = known ? first->second.query : NewPlace();
  std::vector<TryRecord>& tries = queries_[place].seen.tries;
  tries_.emplace(one.trace, Place{place, tries.size()});
  tries.emplace_back().one = one;
  if (known) return;
  queries_[place].retry_alone = one.trace != one.first;
  if (queries_[place].retry_alone) ++verdict_.lab.strays;
  checks_.emplace(rules_.Limit(tries.back()) + facts_.judge_after, place);
}

void Judge::Written(TraceId trace, Micros at) {
  stories_.Written(trace, at);
  if (TryRecord* one = FindTry(trace)) {
    one->written_at = at;
    if (BalancerResult* balancer = Find(verdict_.balancers, one->one.balancer)) ++balancer->taken;
  } else {
    ++verdict_.lab.strays;
  }
  Pass(at);
}

void Judge::Ended(TraceId trace, Micros at, End how, int status, const Mark& mark, Micros refused_for) {
  stories_.Ended(trace, at, how, status, mark, refused_for);
  TryRecord* one = FindTry(trace);
  if (one == nullptr) {
    ++verdict_.lab.strays;
  } else {
    if (Whole(how)) ++one->answers;
    if (!one->ended) {  // the first end is what the client went by
      one->ended = true;
      one->how = how;
      one->ended_at = at;
      one->status = status;
      one->mark = mark;
    }
  }
  Pass(at);
}

void Judge::SentLate(Micros late_by) {
  late_->Add(late_by);
  if (late_by > facts_.late) ++verdict_.lab.late_sends;
}

void Judge::Arrived(const AttemptSeen& attempt) {
  stories_.Arrived(attempt);
  if (NodeResult* node = Find(verdict_.nodes, attempt.node)) ++node->attempts;
  if (BalancerResult* balancer = Find(verdict_.balancers, attempt.balancer)) ++balancer->attempts;
  JudgeDrain(attempt);
  JudgeListed(attempt);
  const auto of = tries_.find(attempt.trace);
  if (of == tries_.end()) {
    Finding finding = About(attempt.balancer, attempt.node,
                            Format("attempt %llu is for no query that is open or was lately",
                                   static_cast<unsigned long long>(attempt.attempt)));
    Break(Rule::kSentAfterEnd, std::move(finding), attempt.trace, attempt.first_byte_at,
          attempt.first_byte_at - facts_.linger);
  } else {
    std::vector<AttemptRecord>& attempts = queries_[of->second.query].seen.attempts;
    attempts_.emplace(attempt.attempt, Place{of->second.query, attempts.size()});
    attempts.emplace_back().seen = attempt;
    attempts.back().of = of->second.number;
    tally_->AttemptOut(attempt.node, attempt.at);
  }
  Pass(attempt.at);
}

void Judge::Ran(uint64_t attempt, Micros at, bool effect) {
  stories_.Ran(attempt, at, effect);
  if (AttemptRecord* one = FindAttempt(attempt)) {
    one->ran = true;
    one->effect = effect;
  } else {
    ++verdict_.lab.strays;
  }
  Pass(at);
}

void Judge::AnsweredAtNode(uint64_t attempt, Micros at, AtNode how) {
  stories_.AnsweredAtNode(attempt, at, how);
  AttemptRecord* one = FindAttempt(attempt);
  if (one == nullptr) {
    ++verdict_.lab.strays;
  } else if (!one->answered) {
    if (!one->Over()) tally_->AttemptOver(one->seen.node, at);
    one->answered = true;
    one->answered_at = at;
    one->how = how;
    if (NodeResult* node = Find(verdict_.nodes, one->seen.node)) {
      switch (how) {
        case AtNode::kAnswered:
          ++node->answered;
          break;
        case AtNode::kError:
          ++node->errors;
          break;
        case AtNode::kTurnedAway:
          ++node->turned_away;
          break;
        case AtNode::kSpoilt:
        case AtNode::kDropped:
          ++node->dropped;
          break;
      }
    }
  }
  Pass(at);
}

void Judge::LinkEnded(uint64_t attempt, Micros at) {
  stories_.LinkEnded(attempt, at);
  AttemptRecord* one = FindAttempt(attempt);
  if (one == nullptr) {
    ++verdict_.lab.strays;
  } else {
    if (!one->Over()) tally_->AttemptOver(one->seen.node, at);
    one->link_ended_at = std::min(one->link_ended_at, at);
  }
  Pass(at);
}

void Judge::HandshakeAt(int node, int, Micros at) {
  if (NodeResult* one = Find(verdict_.nodes, node)) ++one->handshakes;
  Pass(at);
}

void Judge::NodeChanged(int node, NodeChange change, Micros at, const std::vector<double>& pushed_by) {
  stories_.NodeChanged(node, change, at, pushed_by);
  NodeResult* one = Find(verdict_.nodes, node);
  if (one == nullptr) return;
  Micros& started_at = node_started_at_[static_cast<std::size_t>(node)];
  if (change == NodeChange::kStarted) {
    ++one->starts;
    started_at = at;
  } else if (change == NodeChange::kFell) {
    ++one->fell;
    double total = 0;
    double informed = 0;
    for (std::size_t balancer = 0; balancer < pushed_by.size(); ++balancer) {
      total += pushed_by[balancer];
      const Micros since = told_.StartSince(static_cast<int>(balancer), node, started_at, at);
      if (since != kNever && since + facts_.socket_slack <= at) informed += pushed_by[balancer];
    }
    if (total > 0 && informed * 3 >= total * 2) {
      Finding finding =
          About(-1, node,
                Format("it fell over %.1f s after its start, and %.0f%% of the work came from balancers "
                       "that were told of that",
                       Ms(at - started_at) / 1000, 100 * informed / total));
      Break(Rule::kColdNode, std::move(finding), 0, at, 0);
    }
  }
  Pass(at);
}

void Judge::Listed(int node, meadowslip::BackendState state, Micros started_at, Micros at) {
  told_.Listed(node, state, started_at, at);
}

void Judge::Told(int balancer, int node, meadowslip::BackendState state, Micros started_at, Micros at) {
  stories_.Told(balancer, node, state, started_at, at);
  told_.Heard(balancer, node, state, started_at, at);
}

void Judge::Asked(int balancer, Micros at, bool watching) { told_.Asked(balancer, at, watching); }

void Judge::AskFailed(int balancer, Micros at) { told_.AskFailed(balancer, at); }

void Judge::ByHand(int balancer, int node, bool out, Micros at) { told_.ByHand(balancer, node, out, at); }

void Judge::Strange(int node, int balancer, Micros at) {
  Break(Rule::kMadeUp, About(balancer, node, "something came that no client had made"), 0, at, 0);
}

void Judge::BalancerUp(int balancer, Micros at) {
  stories_.BalancerUp(balancer, at);
  told_.BalancerUp(balancer, at);
}

void Judge::BalancerDown(int balancer, Micros at, bool planned) {
  stories_.BalancerDown(balancer, at, planned);
  history_.BalancerDown(balancer, at, planned);
}

void Judge::FaultBegan(int action, Micros at) {
  stories_.FaultBegan(action, at);
  history_.FaultBegan(action, at);
}

void Judge::FaultEnded(int action, Micros at) {
  stories_.FaultEnded(action, at);
  history_.FaultEnded(action, at);
}

// The life of a record

std::size_t Judge::NewPlace() {
  if (free_.empty()) {
    queries_.emplace_back();
    return queries_.size() - 1;
  }
  const std::size_t place = free_.back();
  free_.pop_back();
  return place;
}

TryRecord* Judge::FindTry(TraceId trace) {
  const auto it = tries_.find(trace);
  return it == tries_.end() ? nullptr : &queries_[it->second.query].seen.tries[it->second.number];
}

AttemptRecord* Judge::FindAttempt(uint64_t attempt) {
  const auto it = attempts_.find(attempt);
  return it == attempts_.end() ? nullptr : &queries_[it->second.query].seen.attempts[it->second.number];
}

void Judge::Pass(Micros at) {
  now_ = std::max(now_, at);
  while (!checks_.empty() && checks_.top().first <= now_) {
    const std::size_t place = checks_.top().second;
    checks_.pop();
    Look(place);
  }
}

void Judge::Look(std::size_t place) {
  const QueryRecord& query = queries_[place].seen;
  Micros ended_at = 0;
  for (const TryRecord& one : query.tries) {
    ended_at = std::max(ended_at, one.ended ? one.ended_at : rules_.Limit(one));
  }
  const bool running = std::any_of(query.attempts.begin(), query.attempts.end(),
                                   [](const AttemptRecord& attempt) { return !attempt.Over(); });
  if (now_ < ended_at + facts_.judge_after) {
    checks_.emplace(ended_at + facts_.judge_after, place);
  } else if (running && now_ < ended_at + facts_.linger) {
    checks_.emplace(std::min(now_ + facts_.judge_after, ended_at + facts_.linger), place);
  } else {
    Close(place, now_);
  }
}

void Judge::Close(std::size_t place, Micros run_ended_at) {
  Query& query = queries_[place];
  rules_.Judge(query.seen, run_ended_at, judged_);
  for (Breach& breach : judged_.breaches) {
    const Try& one = query.seen.tries[breach.number].one;
    Finding finding = About(one.balancer, breach.node, std::move(breach.why));
    finding.query = HexOf(one.first);
    Break(breach.rule, std::move(finding), one.trace, breach.at, query.seen.tries.front().one.due);
  }
  if (judged_.site_repeated) ++verdict_.lab.site_repeats;
  if (!query.retry_alone) Count(query.seen);
  for (const TryRecord& one : query.seen.tries) tries_.erase(one.one.trace);
  for (const AttemptRecord& attempt : query.seen.attempts) {
    if (!attempt.Over()) tally_->AttemptOver(attempt.seen.node, now_);
    attempts_.erase(attempt.seen.attempt);
  }
  query.seen.tries.clear();  // their memory serves the next query in this place
  query.seen.attempts.clear();
  query.retry_alone = false;
  free_.push_back(place);
}

void Judge::Count(const QueryRecord& query) {
  const Try& first = query.tries.front().one;
  Tally::Query sum;
  sum.cls = first.cls;
  sum.tenant = first.tenant;
  sum.within_share = first.within_share;
  sum.worth = first.worth;
  sum.due = first.due;
  sum.aim_at = first.aim_at;
  sum.tries = static_cast<int>(query.tries.size());
  sum.attempts = static_cast<int>(query.attempts.size());
  Ends not_counted;
  Ends& ends = tally_->Counts(first.due) ? verdict_.ends : not_counted;
  const Mark* used = nullptr;  // that of the answer which its client went by
  for (std::size_t number = 0; number < query.tries.size(); ++number) {
    const TryRecord& one = query.tries[number];
    const Judged::OneTry& as = judged_.tries[number];
    const Micros ended_at = one.ended ? one.ended_at : rules_.Limit(one);
    ++CountOf(ends, as.how);
    if (as.untold) ++ends.untold;
    if (as.how == End::kLeft && one.Taken() && ended_at >= one.one.give_up_at) ++ends.left_unanswered;
    const bool sent = std::any_of(query.attempts.begin(), query.attempts.end(),
                                  [&](const AttemptRecord& attempt) { return attempt.of == number; });
    if (!sent && HeldLong(one, as.how, ended_at)) ++sum.held_back;
    if (used != nullptr) continue;  // what follows an answer changes nothing
    sum.ended_at = ended_at;
    sum.fate = FateOf(as, ended_at <= sum.aim_at);
    if (as.own_answer) used = &one.mark;
  }
  for (std::size_t i = 0; i < query.attempts.size(); ++i) {
    const AttemptRecord& attempt = query.attempts[i];
    if (rules_.IsCopy(query, i)) ++sum.copies;
    const Facts::Place* node = Find(facts_.nodes, attempt.seen.node);
    const Facts::Place* balancer = Find(facts_.balancers, attempt.seen.balancer);
    if (node != nullptr && balancer != nullptr && node->zone != balancer->zone) ++sum.cross_zone;
    if (!attempt.ran || !attempt.effect) continue;  // an answer to a dropped repeat costs next to nothing
    sum.work_begun_us += attempt.seen.work_us;
    if (used == nullptr || used->attempt != attempt.seen.attempt) sum.work_wasted_us += attempt.seen.work_us;
  }
  tally_->Close(sum);
}

// Rules that need no query

void Judge::JudgeDrain(const AttemptSeen& attempt) {
  const Micros since = told_.EndedSince(attempt.balancer, attempt.node, attempt.first_byte_at);
  if (since == kNever) return;
  const Micros grace = facts_.settings.drain_grace + facts_.socket_slack;
  if (attempt.first_byte_at <= since + grace) return;
  const TryRecord* one = FindTry(attempt.trace);
  Finding finding = About(
      attempt.balancer, attempt.node,
      Format("attempt %llu was sent %.1f ms after the balancer was told, or deemed told, that the "
             "node drains, is gone or is out by hand; %.1f ms are allowed",
             static_cast<unsigned long long>(attempt.attempt), Ms(attempt.first_byte_at - since), Ms(grace)));
  if (one != nullptr) finding.query = HexOf(one->one.first);
  Break(Rule::kDraining, std::move(finding), attempt.trace, attempt.first_byte_at,
        attempt.first_byte_at - facts_.linger);
}

void Judge::JudgeListed(const AttemptSeen& attempt) {
  if (!told_.NeverNamed(attempt.balancer, attempt.node, attempt.first_byte_at)) return;
  Finding finding = About(attempt.balancer, attempt.node,
                          Format("attempt %llu was sent to a node that the balancer has heard of in no list",
                                 static_cast<unsigned long long>(attempt.attempt)));
  if (const TryRecord* one = FindTry(attempt.trace)) finding.query = HexOf(one->one.first);
  Break(Rule::kUnlisted, std::move(finding), attempt.trace, attempt.first_byte_at,
        attempt.first_byte_at - facts_.linger);
}

void Judge::JudgeCrashes() {
  for (const History::Down& down : history_.downs()) {
    BalancerResult* balancer = Find(verdict_.balancers, down.balancer);
    const bool meant = history_.Meant(down);
    if (balancer != nullptr)
      ++(down.planned ? balancer->planned_ends : meant ? balancer->kills : balancer->crashes);
    if (meant) continue;
    Break(Rule::kCrashed, About(down.balancer, -1, "it ended though neither stopped nor killed"), 0, down.at,
          0);
  }
}

// What comes of it

Finding Judge::About(int balancer, int node, std::string why) const {
  Finding finding;
  finding.balancer = NameAt(facts_.balancers, balancer);
  finding.node = NameAt(facts_.nodes, node);
  finding.why = std::move(why);
  return finding;
}

void Judge::Break(Rule rule, Finding finding, TraceId trace, Micros at, Micros since) {
  RuleResult& result = verdict_.rules[static_cast<std::size_t>(rule)];
  ++result.broken;
  if (result.findings.size() >= static_cast<std::size_t>(facts_.most_findings)) return;
  finding.at_s = Ms(at - facts_.begins_at) / 1000;
  if (trace != 0) {
    finding.trace = HexOf(trace);
    finding.story = stories_.Story(trace, since);
  }
  result.findings.push_back(std::move(finding));
}

Verdict Judge::Finish(Micros at) {
  Pass(at);
  for (; !checks_.empty(); checks_.pop()) Close(checks_.top().second, at);
  JudgeCrashes();
  Verdict& all = verdict_;
  all.rules_kept = std::all_of(all.rules.begin(), all.rules.end(),
                               [](const RuleResult& rule) { return rule.broken == 0; });
  all.lab.sends = late_->count();
  if (all.lab.sends > 0) {
    all.lab.late_share = static_cast<double>(all.lab.late_sends) / static_cast<double>(all.lab.sends);
  }
  all.lab.late_p99_ms = late_->Quantile(0.99) / kMs;
  all.lab.late_most_ms = Ms(late_->Most());
  all.lab.too_late = all.lab.late_share > facts_.most_late;
  all.verdict = all.lab.too_late ? "none" : all.rules_kept ? "kept" : "broken";
  for (const History::FaultSeen& seen : history_.faults()) {
    FaultResult& fault = all.faults.emplace_back();
    fault.action = seen.action;
    fault.began_s = Ms(seen.began_at - facts_.begins_at) / 1000;
    fault.ended_s = Ms(std::min(seen.ended_at, at) - facts_.begins_at) / 1000;
    if (const Facts::Fault* known = Find(facts_.faults, seen.action)) {
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
