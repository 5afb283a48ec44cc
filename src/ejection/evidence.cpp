#include "ejection/evidence.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burlfall::ejection {
namespace {

constexpr size_t kMaxTrackedClasses = 64;
constexpr uint32_t kMinLatencySamples = 50;          // of a class, before an answer can count as slow
constexpr uint32_t kHalveLatencySamplesAt = 4000;    // so that older latencies lose weight
constexpr Micros kOwnNetworkLookback = 5 * kSecond;  // span of the results that are examined for it
constexpr uint32_t kMinOwnNetworkResults = 8;        // with fewer, the span is extended

size_t LatencyBucketOf(Micros latency) {
  const double half_octaves = 2 * std::log2(std::max<double>(1, static_cast<double>(latency) / kMs));
  return std::min<size_t>(39, static_cast<size_t>(half_octaves));
}

Micros LatencyBucketEnd(size_t slot) {
  return static_cast<Micros>(std::exp2(static_cast<double>(slot + 1) / 2) * kMs);
}

}  // namespace

void Evidence::Sum::Add(const Bucket& bucket) {
  if (trials == 0) since = bucket.begin;
  trials += bucket.trials;
  failed += bucket.Failed();
  for (size_t kind = 0; kind < kKinds; ++kind) failures[kind] += bucket.failures[kind];
}

Evidence::Bucket& Evidence::CurrentBucket(Ring& ring, Micros now) const {
  const Micros width = std::max<Micros>(1, rules_.window / std::max(1u, rules_.buckets));
  const Micros begin = now - now % width;
  std::erase_if(ring, [&](const Bucket& old) { return old.begin + rules_.window <= now; });
  if (ring.empty() || ring.back().begin < begin) ring.push_back({begin, 0, {}});
  return ring.back();
}

Evidence::Sum Evidence::SumOf(const Ring& ring, Micros since) const {
  Sum sum;
  for (const Bucket& bucket : ring) {
    if (bucket.begin >= since) sum.Add(bucket);
  }
  return sum;
}

double Evidence::LogOddsOf(const Bucket& bucket, double baseline) const {
  // If the other hosts fail too, only a much higher share of failures counts against this host.
  const double bad = std::clamp(std::max(rules_.bad_share, 2 * baseline), baseline, 0.999);
  const double failed = bucket.Failed();
  return failed * std::log(bad / baseline) +
         (static_cast<double>(bucket.trials) - failed) * std::log((1 - bad) / (1 - baseline));
}

template <typename Piece>
void Evidence::UpdateBestSpan(const std::vector<Piece>& pieces, Sum& best) {
  Sum sum;
  for (const Piece& piece : pieces) {
    const double log_odds = sum.log_odds + piece.log_odds;
    if (log_odds <= 0) {
      sum = {};
      continue;
    }
    sum.Add(*piece.bucket);
    sum.log_odds = log_odds;
  }
  if (sum.log_odds > best.log_odds) best = sum;
}

bool Evidence::IsSlow(const ClassRecord& class_record, Micros latency) const {
  if (latency < rules_.min_slow_latency || class_record.latency_samples < kMinLatencySamples) return false;
  uint32_t before = 0;
  for (size_t slot = 0; slot < class_record.latency_histogram.size(); ++slot) {
    before += class_record.latency_histogram[slot];
    if (2 * before < class_record.latency_samples) continue;
    return static_cast<double>(latency) > rules_.slow_factor * static_cast<double>(LatencyBucketEnd(slot));
  }
  return false;
}

void Evidence::MarkChanged(const std::string& host, HostRecord& record) {
  if (record.changed) return;
  record.changed = true;
  changed_.push_back(host);
}

void Evidence::ClearResults(HostRecord& record) {
  record.classes.clear();
  record.poll_open = false;
  record.stance = Stance::kNothing;
}

void Evidence::OnResult(Micros now, const std::string& host, Incarnation incarnation, uint32_t cls,
                        std::optional<Kind> failed, Micros latency) {
  auto at = hosts_.find(host);
  if (at == hosts_.end()) {
    if (hosts_.size() >= rules_.max_hosts) {  // evict the host unused for longest, preferably not ejected
      const auto oldest = std::ranges::min_element(hosts_, {}, [](const auto& entry) {
        return std::make_pair(entry.second.out, entry.second.last_result_at);
      });
      hosts_.erase(oldest);
    }
    at = hosts_.try_emplace(host).first;
    at->second.incarnation = incarnation;
  }
  HostRecord& record = at->second;
  if (incarnation < record.incarnation) return;  // a result of an earlier incarnation
  if (incarnation > record.incarnation) {
    record = {};
    record.incarnation = incarnation;
    record.ignore_until = now + rules_.grace;
  }
  record.last_result_at = now;
  if (classes_.size() >= kMaxTrackedClasses && !classes_.contains(cls)) cls = classes_.rbegin()->first;
  ClassRecord& class_record = classes_[cls];
  if (!failed) {
    if (class_record.latency_samples >= kHalveLatencySamplesAt) {
      class_record.latency_samples = 0;
      for (uint32_t& n : class_record.latency_histogram) class_record.latency_samples += n /= 2;
    }
    if (IsSlow(class_record, latency)) failed = Kind::kSlow;
    ++class_record.latency_histogram[LatencyBucketOf(latency)];
    ++class_record.latency_samples;
  }
  if (record.out) return;  // sent before the ejection; trials are reported by TrialCommand()
  if (now < record.ignore_until) return;
  if (!failed && record.asleep && (record.stance == Stance::kVote || record.stance == Stance::kSure)) {
    record.classes.clear();  // the decision module's own trial succeeded
  }
  uint32_t stored_class = cls;
  if (record.classes.size() >= rules_.max_classes && !record.classes.contains(cls)) {
    stored_class = record.classes.rbegin()->first;
  }
  for (Bucket* bucket :
       {&CurrentBucket(class_record.all, now), &CurrentBucket(record.classes[stored_class], now)}) {
    ++bucket->trials;
    if (failed) ++bucket->failures[static_cast<size_t>(*failed)];
  }
  // Good answers of a host that is not polled and has no report of this balancer need no new assessment.
  if (failed || record.poll_open || record.stance != Stance::kNothing) MarkChanged(host, record);
}

Command Evidence::TrialCommand(const std::string& host, Incarnation incarnation,
                               std::optional<Kind> failed) const {
  Command command;
  command.what = Command::What::kTrial;
  command.balancer = balancer_;
  command.host = host;
  command.incarnation = incarnation;
  command.was_good = !failed;
  return command;
}

void Evidence::OnEffects(Micros now, const Effects& effects) {
  for (const Effect& effect : effects) {
    if (effect.what == Effect::What::kRefused) {
      const auto at = hosts_.find(effect.host);
      if (at != hosts_.end() && effect.who == std::vector<std::string>{balancer_}) {
        at->second.stance = Stance::kNothing;  // reported again with the next result
      }
      continue;
    }
    if (effect.what != Effect::What::kPollOpened && effect.what != Effect::What::kPollClosed &&
        effect.what != Effect::What::kEject && effect.what != Effect::What::kReturn) {
      continue;
    }
    auto at = hosts_.find(effect.host);
    if (at == hosts_.end()) {
      if (hosts_.size() >= rules_.max_hosts) continue;
      at = hosts_.try_emplace(effect.host).first;
      at->second.incarnation = effect.incarnation;
    }
    HostRecord& record = at->second;
    if (effect.incarnation > record.incarnation) {
      record = {};
      record.incarnation = effect.incarnation;
    }
    switch (effect.what) {
      case Effect::What::kPollOpened:
        record.poll_open = true;
        record.poll_start = now - effect.term;
        MarkChanged(effect.host, record);
        break;
      case Effect::What::kPollClosed:
        record.poll_open = false;
        if (record.stance != Stance::kSure) record.stance = Stance::kNothing;
        break;
      case Effect::What::kEject:
        ClearResults(record);
        record.out = true;
        break;
      default:
        ClearResults(record);
        record.out = false;
        record.ignore_until = now + rules_.grace;
        break;
    }
  }
}

void Evidence::LoadState(Micros now, const State& state) {
  for (auto& [host, record] : hosts_) {
    record.out = record.poll_open = false;
    record.stance = Stance::kNothing;
  }
  Effects effects;
  for (const auto& [host, ejection] : state.ejections()) {
    if (!ejection.out()) continue;
    effects.emplace_back();
    effects.back().what = Effect::What::kEject;
    effects.back().host = host;
    effects.back().incarnation = ejection.incarnation;
  }
  for (const std::string& host : state.PolledHosts()) {
    effects.emplace_back();
    effects.back().what = Effect::What::kPollOpened;
    effects.back().host = host;
  }
  OnEffects(now, effects);
}

void Evidence::SetAsleep(const std::string& host, bool asleep) {
  const auto at = hosts_.find(host);
  if (at != hosts_.end()) at->second.asleep = asleep;
}

void Evidence::RemoveHost(const std::string& host) { hosts_.erase(host); }

bool Evidence::OwnNetworkSuspect(Micros now) const { return OthersFail(now, HostRecord{}); }

// Examines the recent results of all other hosts: of a few seconds, or of a longer span if they are few.
bool Evidence::OthersFail(Micros now, const HostRecord& record) const {
  const auto of_others = [&](Micros back) {
    uint64_t trials = 0, failed = 0;
    for (const auto& [cls, class_record] : classes_) {
      const Sum sum = SumOf(class_record.all, now - back);
      trials += sum.trials;
      failed += sum.failed;
    }
    for (const auto& [cls, ring] : record.classes) {
      const Sum sum = SumOf(ring, now - back);
      trials -= std::min<uint64_t>(trials, sum.trials);
      failed -= std::min<uint64_t>(failed, sum.failed);
    }
    return std::pair(trials, failed);
  };
  const auto [at_once, failed_at_once] = of_others(2 * kSecond);
  if (at_once >= 3 && 2 * failed_at_once >= at_once) return true;  // a failure that has just begun
  for (Micros back = kOwnNetworkLookback;; back = std::min(2 * back, rules_.window)) {
    const auto [trials, failed] = of_others(back);
    if (trials < kMinOwnNetworkResults && back < rules_.window) continue;
    return trials >= 3 &&
           static_cast<double>(failed) >= rules_.own_network_share * static_cast<double>(trials);
  }
}

double Evidence::BaselineShareOf(Micros now, uint32_t cls, const Ring& own_ring) const {
  const auto of = classes_.find(cls);
  if (of == classes_.end()) return rules_.min_baseline_share;
  const Sum own = SumOf(own_ring, now - rules_.window);
  const Sum all = SumOf(of->second.all, now - rules_.window);
  if (all.trials <= own.trials) return rules_.min_baseline_share;
  const double failed = all.failed > own.failed ? static_cast<double>(all.failed - own.failed) : 0;
  return std::clamp(failed / static_cast<double>(all.trials - own.trials), rules_.min_baseline_share, 0.5);
}

// Examines each class alone and all classes together, since a host may always fail one class, or
// sometimes fail each.
Evidence::Sum Evidence::MostSuspectSpan(Micros now, const HostRecord& record, Micros since) const {
  struct Piece {
    const Bucket* bucket;
    double log_odds;
  };
  std::vector<Piece> pieces;
  Sum best;
  for (const auto& [cls, ring] : record.classes) {
    const double baseline = BaselineShareOf(now, cls, ring);
    std::vector<Piece> own;
    for (const Bucket& bucket : ring) {
      if (bucket.begin >= since) own.push_back({&bucket, LogOddsOf(bucket, baseline)});
    }
    pieces.insert(pieces.end(), own.begin(), own.end());
    if (record.classes.size() > 1) UpdateBestSpan(own, best);
  }
  std::ranges::stable_sort(pieces, {}, [](const Piece& piece) { return piece.bucket->begin; });
  UpdateBestSpan(pieces, best);
  return best;
}

Evidence::Opinion Evidence::Assess(Micros now, HostRecord& record) const {
  Opinion opinion;
  if (OthersFail(now, record)) {
    record.discard_until = now;  // failures up to now are not used later, either
    return opinion;
  }
  const Micros oldest = std::max(now - rules_.window, record.discard_until);
  uint64_t trials = 0;
  for (const auto& [cls, ring] : record.classes) trials += SumOf(ring, oldest).trials;
  Sum suspect_span = MostSuspectSpan(now, record, oldest);
  // More results contain more spans that look bad by chance, so the threshold rises.
  const double sure = rules_.sure_log_odds + std::max(0.0, std::log(static_cast<double>(trials) / 8));
  if (suspect_span.log_odds >= sure && suspect_span.trials >= rules_.min_trials &&
      suspect_span.failed >= rules_.min_trials) {
    opinion.stance = Stance::kSure;
  } else if (record.poll_open) {
    const Micros width = rules_.window / std::max(1u, rules_.buckets);
    const Micros since = std::max(oldest, record.poll_start - width);
    suspect_span = MostSuspectSpan(now, record, since);
    Sum all;
    uint32_t most = 0;
    double log_odds = 0;
    for (const auto& [cls, ring] : record.classes) {
      const Sum sum = SumOf(ring, since);
      if (sum.trials > most) {
        most = sum.trials;
        opinion.cls = cls;
      }
      all.trials += sum.trials;
      all.failed += sum.failed;
      Bucket whole{since, sum.trials, sum.failures};
      log_odds = std::max(log_odds, LogOddsOf(whole, BaselineShareOf(now, cls, ring)));
    }
    if (all.trials == 0 || (log_odds > 0 && log_odds < rules_.poll_log_odds)) return {};
    opinion.stance = log_odds > 0 ? Stance::kVote : Stance::kGoodReport;
    opinion.sum = all;
    if (opinion.stance == Stance::kGoodReport) return opinion;
  } else {
    return opinion;
  }
  // The vote covers all results since the first failure of the span, of every class.
  opinion.sum = {};
  opinion.sum.since = suspect_span.since;
  opinion.cls = kSeveralClasses;
  bool first = true;
  for (const auto& [cls, ring] : record.classes) {
    const Sum sum = SumOf(ring, suspect_span.since);
    opinion.sum.trials += sum.trials;
    opinion.sum.failed += sum.failed;
    for (size_t kind = 0; kind < kKinds; ++kind) opinion.sum.failures[kind] += sum.failures[kind];
    if (LogOddsOf({suspect_span.since, sum.trials, sum.failures}, BaselineShareOf(now, cls, ring)) <= 0) {
      opinion.others += sum.trials - sum.failed;
      continue;
    }
    opinion.cls = std::exchange(first, false) ? cls : kSeveralClasses;
  }
  if (opinion.sum.failed == 0) return {};
  return opinion;
}

std::vector<Command> Evidence::TakeCommands(Micros now) {
  std::vector<Command> commands;
  std::vector<std::string> changed = std::move(changed_);
  changed_.clear();
  if (now >= next_renewal_) {
    next_renewal_ = kNever;
    for (const auto& [host, record] : hosts_) {
      if (record.stance == Stance::kNothing) continue;
      if (record.stance_until - now <= rules_.renew_before_expiry && !record.changed) changed.push_back(host);
      next_renewal_ =
          std::min(next_renewal_, std::max(now + kSecond, record.stance_until - rules_.renew_before_expiry));
    }
  }
  for (const std::string& host : changed) {
    const auto at = hosts_.find(host);
    if (at == hosts_.end()) continue;
    HostRecord& record = at->second;
    record.changed = false;
    if (record.out) continue;
    Opinion opinion = Assess(now, record);
    if (record.stance != Stance::kNothing && now >= record.stance_until)
      record.stance = Stance::kNothing;  // it has expired
    // A sure vote stays sure until the odds are even or it expires.
    if (record.stance == Stance::kSure && opinion.stance == Stance::kVote) opinion.stance = Stance::kSure;
    const bool due = record.stance_until - now <= rules_.renew_before_expiry;
    // During a poll, more results are reported again: the share of failures sets the weight of good reports.
    const uint32_t enough = record.stance_trials < 4 ? record.stance_trials + 1 : 2 * record.stance_trials;
    const bool more = record.poll_open && opinion.sum.trials >= enough;
    if (opinion.stance == record.stance && !(opinion.stance != Stance::kNothing && (due || more))) continue;
    Command command;
    if (opinion.stance == Stance::kNothing) {
      // The evidence of a sure vote has become weaker: the vote is stored_class until the odds are even.
      const bool log_odds = record.stance == Stance::kSure && !OthersFail(now, record) &&
                            MostSuspectSpan(now, record, now - rules_.window).log_odds > 0;
      if (log_odds) continue;
      command.what = Command::What::kWithdraw;
      command.balancer = balancer_;
      command.host = host;
      command.incarnation = record.incarnation;
    } else if (opinion.stance == Stance::kGoodReport) {
      command.what = Command::What::kGoodReport;
      command.good = {balancer_,           zone_, host, record.incarnation, opinion.sum.trials, opinion.cls,
                      rules_.vote_lifetime};
    } else {
      command.what = Command::What::kVote;
      Vote& vote = command.vote;
      vote.balancer = balancer_;
      vote.zone = zone_;
      vote.host = host;
      vote.incarnation = record.incarnation;
      vote.window = std::min(rules_.window, std::max<Micros>(0, now - opinion.sum.since));
      vote.trials = opinion.sum.trials;
      vote.failures = opinion.sum.failed;
      vote.kind =
          static_cast<Kind>(std::ranges::max_element(opinion.sum.failures) - opinion.sum.failures.begin());
      vote.cls = opinion.cls;
      vote.others = opinion.others;
      vote.sure = opinion.stance == Stance::kSure;
      vote.lifetime = rules_.vote_lifetime;
    }
    record.stance = opinion.stance;
    record.stance_trials = opinion.sum.trials;
    record.stance_until = now + rules_.vote_lifetime;
    next_renewal_ = std::min(next_renewal_, record.stance_until - rules_.renew_before_expiry);
    commands.push_back(std::move(command));
  }
  return commands;
}

Micros Evidence::next_at() const { return changed_.empty() ? next_renewal_ : 0; }

}  // namespace burlfall::ejection
