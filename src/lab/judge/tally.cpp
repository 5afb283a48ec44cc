#include "lab/judge/tally.h"

#include <algorithm>

#include "lab/judge/find.h"

namespace burlfall::lab {
namespace {

constexpr std::size_t kMaxSeconds = 24 * 3600;  // of a run; later queries count for the last second
constexpr std::size_t kOpenSeconds = 60;        // the last seconds, whose queries may still be open
constexpr std::size_t kWindowSeconds = 10;      // seconds

void Add(Outcomes& outcomes, Tally::Outcome outcome) {
  ++outcomes.asked;
  switch (outcome) {
    case Tally::Outcome::kInTime:
      ++outcomes.in_time;
      break;
    case Tally::Outcome::kLate:
      ++outcomes.late;
      break;
    case Tally::Outcome::kRefused:
      ++outcomes.refused;
      break;
    case Tally::Outcome::kFailed:
      ++outcomes.failed;
      break;
    case Tally::Outcome::kLost:
      ++outcomes.lost;
      break;
    case Tally::Outcome::kLeft:
      ++outcomes.left;
      break;
    case Tally::Outcome::kUnreached:
      ++outcomes.unreached;
      break;
  }
}

bool Served(Tally::Outcome outcome) {
  return outcome == Tally::Outcome::kInTime || outcome == Tally::Outcome::kLate;
}

double Ratio(double part, double of) { return of > 0 ? part / of : 0; }

Latency LatencyOf(const Sketch& sketch) {
  Latency latency;
  latency.served = sketch.count();
  latency.mean_ms = sketch.Mean() / kMs;
  latency.p50_ms = sketch.Quantile(0.5) / kMs;
  latency.p90_ms = sketch.Quantile(0.9) / kMs;
  latency.p95_ms = sketch.Quantile(0.95) / kMs;
  latency.p99_ms = sketch.Quantile(0.99) / kMs;
  latency.p999_ms = sketch.Quantile(0.999) / kMs;
  latency.most_ms = static_cast<double>(sketch.Max()) / kMs;
  for (const auto& [number, count] : sketch.Bins()) latency.bins.push_back({number, count});
  return latency;
}

}  // namespace

Tally::Tally(const Facts& facts)
    : facts_(facts),
      classes_(facts.settings.classes.size()),
      tenants_(facts.settings.tenants.size()),
      in_flight_(facts.nodes.size()) {}

Tally::~Tally() = default;

bool Tally::IsCounted(Micros due) const {
  const Micros at = due - facts_.begins_at;
  return at >= facts_.settle && (facts_.length == 0 || at < facts_.length);
}

Tally::Second& Tally::SecondAt(Micros at) {
  const Micros number = std::max<Micros>(at - facts_.begins_at, 0) / kSecond;
  const auto wanted = std::min(static_cast<std::size_t>(number), kMaxSeconds - 1);
  while (seconds_.size() <= wanted) {
    Second& second = seconds_.emplace_back();
    second.latency = std::make_unique<Sketch>();
    second.attempts.resize(in_flight_.size());
    second.in_flight = in_flight_;  // attempts outstanding from before count here too
    if (seconds_.size() > kOpenSeconds) Finalize(seconds_[finalized_++]);
  }
  return seconds_[wanted];
}

void Tally::Finalize(Second& second) {
  second.p50_ms = second.latency->Quantile(0.5) / kMs;
  second.p99_ms = second.latency->Quantile(0.99) / kMs;
  second.latency.reset();
}

void Tally::AttemptStarted(int node, Micros at) {
  Second& second = SecondAt(at);
  ++second.sends;
  if (Find(in_flight_, node) == nullptr) return;
  const auto i = static_cast<std::size_t>(node);
  ++second.attempts[i];
  second.in_flight[i] = std::max(second.in_flight[i], ++in_flight_[i]);
}

void Tally::AttemptFinished(int node, Micros at) {
  SecondAt(at);
  uint32_t* out = Find(in_flight_, node);
  if (out != nullptr && *out > 0) --*out;
}

void Tally::Close(const Query& query) {
  Second& second = SecondAt(query.due);
  const bool in_time = query.outcome == Outcome::kInTime;
  const Micros latency = query.ended_at - query.due;
  Add(second.outcomes, query.outcome);
  second.worth.asked += query.worth;
  if (in_time) second.worth.in_time += query.worth;
  if (Served(query.outcome) && second.latency != nullptr) second.latency->Add(latency);
  if (!IsCounted(query.due)) return;

  for (Group* group :
       {&all_, Find(classes_, query.cls), query.within_share ? Find(tenants_, query.tenant) : nullptr}) {
    if (group == nullptr) continue;
    group->worth.asked += query.worth;
    if (in_time) group->worth.in_time += query.worth;
    Add(group->outcomes, query.outcome);
    if (Served(query.outcome)) group->latency.Add(latency);
  }
  tries_ += static_cast<uint64_t>(query.tries);
  effort_.attempts += static_cast<uint64_t>(query.attempts);
  effort_.copies += static_cast<uint64_t>(query.copies);
  effort_.cross_zone += static_cast<uint64_t>(query.cross_zone);
  effort_.held_back += static_cast<uint64_t>(query.held_back);
  effort_.work_begun_ms += query.work_begun_us / kMs;
  wasted_us_ += query.work_wasted_us;
  if (!in_time && query.ended_at > query.aim_at) late_failed_worth_ += query.worth;
}

GroupResult Tally::ResultOf(const std::string& name, const Group& group) {
  GroupResult result;
  result.name = name;
  result.service = group.worth.Share();
  result.worth_asked = group.worth.asked;
  result.worth_in_time = group.worth.in_time;
  result.outcomes = group.outcomes;
  result.latency = LatencyOf(group.latency);
  return result;
}

void Tally::Fill(Verdict& verdict) const {
  verdict.outcomes = all_.outcomes;
  verdict.latency = LatencyOf(all_.latency);
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    verdict.classes.push_back(ResultOf(facts_.settings.classes[i].name, classes_[i]));
  }
  for (std::size_t i = 0; i < tenants_.size(); ++i) {
    verdict.tenants.push_back(ResultOf(facts_.settings.tenants[i].name, tenants_[i]));
  }
  verdict.effort = effort_;
  const auto asked = static_cast<double>(all_.outcomes.asked);
  verdict.effort.attempts_per_query = Ratio(static_cast<double>(effort_.attempts), asked);
  verdict.effort.tries_per_query = Ratio(static_cast<double>(tries_), asked);
  verdict.effort.work_wasted_share = Ratio(wasted_us_ / kMs, effort_.work_begun_ms);
  verdict.effort.late_fail_share = Ratio(late_failed_worth_, all_.worth.asked);
  FillService(verdict);
  FillSeries(verdict.series);
}

void Tally::FillService(Verdict& verdict) const {
  Service& service = verdict.service;
  service.whole = all_.worth.Share();
  service.worst_ten_seconds = service.whole;  // if the run is shorter than the window
  service.worst_class = service.worst_tenant = service.whole;

  const auto from = static_cast<std::size_t>((facts_.settle + kSecond - 1) / kSecond);
  std::size_t until = seconds_.size();
  if (facts_.length != 0) until = std::min(until, static_cast<std::size_t>(facts_.length / kSecond));
  service.worst_ten_seconds_at_s = static_cast<double>(from);
  bool any = false;
  for (std::size_t at = from; at + kWindowSeconds <= until; ++at) {
    Worth window;
    for (std::size_t i = at; i < at + kWindowSeconds; ++i) {
      window.asked += seconds_[i].worth.asked;
      window.in_time += seconds_[i].worth.in_time;
    }
    if (window.asked <= 0 || (any && window.Share() >= service.worst_ten_seconds)) continue;
    any = true;
    service.worst_ten_seconds = window.Share();
    service.worst_ten_seconds_at_s = static_cast<double>(at);
  }

  const auto worst = [](const std::vector<GroupResult>& groups, double& share, std::string& name) {
    bool found = false;
    for (const GroupResult& group : groups) {
      if (group.worth_asked <= 0 || (found && group.service >= share)) continue;
      found = true;
      share = group.service;
      name = group.name;
    }
  };
  worst(verdict.classes, service.worst_class, service.worst_class_name);
  worst(verdict.tenants, service.worst_tenant, service.worst_tenant_name);
  const Facts::Weights& weights = facts_.weights;
  service.combined = weights.whole * service.whole + weights.worst_ten_seconds * service.worst_ten_seconds +
                     weights.worst_class * service.worst_class + weights.worst_tenant * service.worst_tenant;
}

void Tally::FillSeries(Series& series) const {
  series.attempts_by_node.resize(in_flight_.size());
  series.in_flight_by_node.resize(in_flight_.size());
  for (const Second& second : seconds_) {
    series.asked.push_back(second.outcomes.asked);
    series.in_time.push_back(second.outcomes.in_time);
    series.late.push_back(second.outcomes.late);
    series.refused.push_back(second.outcomes.refused);
    series.failed.push_back(second.outcomes.failed);
    series.lost.push_back(second.outcomes.lost);
    series.left.push_back(second.outcomes.left);
    series.unreached.push_back(second.outcomes.unreached);
    series.service.push_back(second.worth.Share());
    const Sketch* open = second.latency.get();
    series.p50_ms.push_back(open == nullptr ? second.p50_ms : open->Quantile(0.5) / kMs);
    series.p99_ms.push_back(open == nullptr ? second.p99_ms : open->Quantile(0.99) / kMs);
    series.sends.push_back(second.sends);
    for (std::size_t i = 0; i < in_flight_.size(); ++i) {
      series.attempts_by_node[i].push_back(second.attempts[i]);
      series.in_flight_by_node[i].push_back(second.in_flight[i]);
    }
  }
}

}  // namespace burlfall::lab
