#include "ejection/evidence.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burlfall::ejection {
namespace {

constexpr size_t kMostAllClasses = 64;
constexpr uint32_t kEnoughTooks = 50;        // answers of a class before any is called slow
constexpr uint32_t kHalveTooksAt = 4000;     // so that older times fade
constexpr Micros kOwnNetwork = 5 * kSecond;  // looked back at for it
constexpr uint32_t kOwnLeast = 8;            // results in it

size_t SlotOf(Micros took) {
  const double half_octaves = 2 * std::log2(std::max<double>(1, static_cast<double>(took) / kMs));
  return std::min<size_t>(39, static_cast<size_t>(half_octaves));
}

Micros EndOf(size_t slot) { return static_cast<Micros>(std::exp2(static_cast<double>(slot + 1) / 2) * kMs); }

}  // namespace

void Evidence::Sum::Add(const Bucket& bucket) {
  if (trials == 0) since = bucket.begin;
  trials += bucket.trials;
  failed += bucket.Failed();
  for (size_t kind = 0; kind < kKinds; ++kind) failures[kind] += bucket.failures[kind];
}

Evidence::Bucket& Evidence::In(Ring& ring, Micros now) const {
  const Micros width = std::max<Micros>(1, rules_.window / std::max(1u, rules_.buckets));
  const Micros begin = now - now % width;
  std::erase_if(ring, [&](const Bucket& one) { return one.begin + rules_.window <= now; });
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

double Evidence::OddsOf(const Bucket& bucket, double usual) const {
  // Where the others fail too, only what fails much more often is this host's fault.
  const double bad = std::clamp(std::max(rules_.bad_share, 2 * usual), usual, 0.999);
  const double failed = bucket.Failed();
  return failed * std::log(bad / usual) +
         (static_cast<double>(bucket.trials) - failed) * std::log((1 - bad) / (1 - usual));
}

// What speaks most for "bad" of all spans that end with the last piece, into `best` where it is more.
template <typename Piece>
void Evidence::Climb(const std::vector<Piece>& pieces, Sum& best) {
  Sum sum;
  for (const Piece& piece : pieces) {
    const double odds = sum.odds + piece.odds;
    if (odds <= 0) {
      sum = {};
      continue;
    }
    sum.Add(*piece.bucket);
    sum.odds = odds;
  }
  if (sum.odds > best.odds) best = sum;
}

bool Evidence::IsSlow(const OfClass& of, Micros took) const {
  if (took < rules_.slow_least || of.tooks < kEnoughTooks) return false;
  uint32_t before = 0;
  for (size_t slot = 0; slot < of.took.size(); ++slot) {
    before += of.took[slot];
    if (2 * before < of.tooks) continue;
    return static_cast<double>(took) > rules_.slow_times * static_cast<double>(EndOf(slot));
  }
  return false;
}

void Evidence::Mark(const std::string& host, Seen& seen) {
  if (seen.changed) return;
  seen.changed = true;
  changed_.push_back(host);
}

void Evidence::Clear(Seen& seen) {
  seen.classes.clear();
  seen.asked = false;
  seen.said = Said::kNothing;
}

void Evidence::Result(Micros now, const std::string& host, Life life, uint32_t cls,
                      std::optional<Kind> failed, Micros took) {
  auto at = hosts_.find(host);
  if (at == hosts_.end()) {
    if (hosts_.size() >= rules_.most_hosts) {  // the one that was used last makes room
      const auto oldest = std::ranges::min_element(
          hosts_, {}, [](const auto& one) { return std::make_pair(one.second.out, one.second.used); });
      hosts_.erase(oldest);
    }
    at = hosts_.try_emplace(host).first;
    at->second.life = life;
  }
  Seen& seen = at->second;
  if (life < seen.life) return;  // of an earlier life
  if (life > seen.life) {
    seen = {};
    seen.life = life;
    seen.deaf_until = now + rules_.grace;
  }
  seen.used = now;
  if (classes_.size() >= kMostAllClasses && !classes_.contains(cls)) cls = classes_.rbegin()->first;
  OfClass& of = classes_[cls];
  if (!failed) {
    if (of.tooks >= kHalveTooksAt) {
      of.tooks = 0;
      for (uint32_t& n : of.took) of.tooks += n /= 2;
    }
    if (IsSlow(of, took)) failed = Kind::kSlow;
    ++of.took[SlotOf(took)];
    ++of.tooks;
  }
  if (seen.out) return;  // in flight since before; what is told of trials goes another way
  if (now < seen.deaf_until) return;
  if (!failed && seen.asleep && (seen.said == Said::kVote || seen.said == Said::kSure)) {
    seen.classes.clear();  // its own trial was good
  }
  uint32_t kept = cls;
  if (seen.classes.size() >= rules_.most_classes && !seen.classes.contains(cls)) {
    kept = seen.classes.rbegin()->first;
  }
  for (Bucket* bucket : {&In(of.all, now), &In(seen.classes[kept], now)}) {
    ++bucket->trials;
    if (failed) ++bucket->failures[static_cast<size_t>(*failed)];
  }
  // Good answers of a host that nobody asks about change nothing that was said.
  if (failed || seen.asked || seen.said != Said::kNothing) Mark(host, seen);
}

Command Evidence::Trial(const std::string& host, Life life, std::optional<Kind> failed) const {
  Command command;
  command.what = Command::What::kTrial;
  command.balancer = balancer_;
  command.host = host;
  command.life = life;
  command.was_good = !failed;
  return command;
}

void Evidence::Heard(Micros now, const Effects& effects) {
  for (const Effect& effect : effects) {
    if (effect.what == Effect::What::kRefused) {
      const auto at = hosts_.find(effect.host);
      if (at != hosts_.end() && effect.who == std::vector<std::string>{balancer_}) {
        at->second.said = Said::kNothing;  // told anew with the next result
      }
      continue;
    }
    if (effect.what != Effect::What::kAsk && effect.what != Effect::What::kAsked &&
        effect.what != Effect::What::kEject && effect.what != Effect::What::kBack) {
      continue;
    }
    auto at = hosts_.find(effect.host);
    if (at == hosts_.end()) {
      if (hosts_.size() >= rules_.most_hosts) continue;
      at = hosts_.try_emplace(effect.host).first;
      at->second.life = effect.life;
    }
    Seen& seen = at->second;
    if (effect.life > seen.life) {
      seen = {};
      seen.life = effect.life;
    }
    switch (effect.what) {
      case Effect::What::kAsk:
        seen.asked = true;
        seen.asked_at = now - effect.term;
        Mark(effect.host, seen);
        break;
      case Effect::What::kAsked:
        seen.asked = false;
        if (seen.said != Said::kSure) seen.said = Said::kNothing;
        break;
      case Effect::What::kEject:
        Clear(seen);
        seen.out = true;
        break;
      default:
        Clear(seen);
        seen.out = false;
        seen.deaf_until = now + rules_.grace;
        break;
    }
  }
}

void Evidence::Begin(Micros now, const State& state) {
  for (auto& [host, seen] : hosts_) {
    seen.out = seen.asked = false;
    seen.said = Said::kNothing;
  }
  Effects effects;
  for (const auto& [host, ejection] : state.ejections()) {
    if (!ejection.out()) continue;
    effects.emplace_back();
    effects.back().what = Effect::What::kEject;
    effects.back().host = host;
    effects.back().life = ejection.life;
  }
  for (const std::string& host : state.InQuestion()) {
    effects.emplace_back();
    effects.back().what = Effect::What::kAsk;
    effects.back().host = host;
  }
  Heard(now, effects);
}

void Evidence::Asleep(const std::string& host, bool asleep) {
  const auto at = hosts_.find(host);
  if (at != hosts_.end()) at->second.asleep = asleep;
}

void Evidence::Gone(const std::string& host) { hosts_.erase(host); }

bool Evidence::OwnNetwork(Micros now) const { return OthersFail(now, Seen{}); }

// Of the last results but this host's: those of some seconds, or of more where a balancer has few.
bool Evidence::OthersFail(Micros now, const Seen& seen) const {
  const auto of_others = [&](Micros back) {
    uint64_t trials = 0, failed = 0;
    for (const auto& [cls, of] : classes_) {
      const Sum sum = SumOf(of.all, now - back);
      trials += sum.trials;
      failed += sum.failed;
    }
    for (const auto& [cls, ring] : seen.classes) {
      const Sum sum = SumOf(ring, now - back);
      trials -= std::min<uint64_t>(trials, sum.trials);
      failed -= std::min<uint64_t>(failed, sum.failed);
    }
    return std::pair(trials, failed);
  };
  const auto [at_once, failed_at_once] = of_others(2 * kSecond);
  if (at_once >= 3 && 2 * failed_at_once >= at_once) return true;  // it has just begun
  for (Micros back = kOwnNetwork;; back = std::min(2 * back, rules_.window)) {
    const auto [trials, failed] = of_others(back);
    if (trials < kOwnLeast && back < rules_.window) continue;
    return trials >= 3 && static_cast<double>(failed) >= rules_.own_share * static_cast<double>(trials);
  }
}

double Evidence::UsualOf(Micros now, uint32_t cls, const Ring& own_ring) const {
  const auto of = classes_.find(cls);
  if (of == classes_.end()) return rules_.usual_share;
  const Sum own = SumOf(own_ring, now - rules_.window);
  const Sum all = SumOf(of->second.all, now - rules_.window);
  if (all.trials <= own.trials) return rules_.usual_share;
  const double failed = all.failed > own.failed ? static_cast<double>(all.failed - own.failed) : 0;
  return std::clamp(failed / static_cast<double>(all.trials - own.trials), rules_.usual_share, 0.5);
}

// Of each class by itself, and of all together: a host may fail one, or each now and then.
Evidence::Sum Evidence::Worst(Micros now, const Seen& seen, Micros since) const {
  struct Piece {
    const Bucket* bucket;
    double odds;
  };
  std::vector<Piece> pieces;
  Sum best;
  for (const auto& [cls, ring] : seen.classes) {
    const double usual = UsualOf(now, cls, ring);
    std::vector<Piece> own;
    for (const Bucket& bucket : ring) {
      if (bucket.begin >= since) own.push_back({&bucket, OddsOf(bucket, usual)});
    }
    pieces.insert(pieces.end(), own.begin(), own.end());
    if (seen.classes.size() > 1) Climb(own, best);
  }
  std::ranges::stable_sort(pieces, {}, [](const Piece& piece) { return piece.bucket->begin; });
  Climb(pieces, best);
  return best;
}

Evidence::Opinion Evidence::Judge(Micros now, Seen& seen) const {
  Opinion opinion;
  if (OthersFail(now, seen)) {
    seen.doubtful_until = now;  // what failed until now says nothing later, either
    return opinion;
  }
  const Micros oldest = std::max(now - rules_.window, seen.doubtful_until);
  uint64_t trials = 0;
  for (const auto& [cls, ring] : seen.classes) trials += SumOf(ring, oldest).trials;
  Sum worst = Worst(now, seen, oldest);
  // With many results there are many spans to be unlucky in.
  const double sure = rules_.sure + std::max(0.0, std::log(static_cast<double>(trials) / 8));
  if (worst.odds >= sure && worst.trials >= rules_.least_trials && worst.failed >= rules_.least_trials) {
    opinion.said = Said::kSure;
  } else if (seen.asked) {
    const Micros width = rules_.window / std::max(1u, rules_.buckets);
    const Micros since = std::max(oldest, seen.asked_at - width);
    worst = Worst(now, seen, since);
    Sum all;
    uint32_t most = 0;
    double odds = 0;
    for (const auto& [cls, ring] : seen.classes) {
      const Sum sum = SumOf(ring, since);
      if (sum.trials > most) {
        most = sum.trials;
        opinion.cls = cls;
      }
      all.trials += sum.trials;
      all.failed += sum.failed;
      Bucket whole{since, sum.trials, sum.failures};
      odds = std::max(odds, OddsOf(whole, UsualOf(now, cls, ring)));
    }
    if (all.trials == 0 || (odds > 0 && odds < rules_.odds_asked)) return {};
    opinion.said = odds > 0 ? Said::kVote : Said::kGood;
    opinion.sum = all;
    if (opinion.said == Said::kGood) return opinion;
  } else {
    return opinion;
  }
  // All that came since its first failure, of any class.
  opinion.sum = {};
  opinion.sum.since = worst.since;
  opinion.cls = kSeveralClasses;
  bool first = true;
  for (const auto& [cls, ring] : seen.classes) {
    const Sum sum = SumOf(ring, worst.since);
    opinion.sum.trials += sum.trials;
    opinion.sum.failed += sum.failed;
    for (size_t kind = 0; kind < kKinds; ++kind) opinion.sum.failures[kind] += sum.failures[kind];
    if (OddsOf({worst.since, sum.trials, sum.failures}, UsualOf(now, cls, ring)) <= 0) {
      opinion.others += sum.trials - sum.failed;
      continue;
    }
    opinion.cls = std::exchange(first, false) ? cls : kSeveralClasses;
  }
  if (opinion.sum.failed == 0) return {};
  return opinion;
}

std::vector<Command> Evidence::Tell(Micros now) {
  std::vector<Command> commands;
  std::vector<std::string> changed = std::move(changed_);
  changed_.clear();
  if (now >= tell_at_) {
    tell_at_ = kNever;
    for (const auto& [host, seen] : hosts_) {
      if (seen.said == Said::kNothing) continue;
      if (seen.said_until - now <= rules_.tell_again && !seen.changed) changed.push_back(host);
      tell_at_ = std::min(tell_at_, std::max(now + kSecond, seen.said_until - rules_.tell_again));
    }
  }
  for (const std::string& host : changed) {
    const auto at = hosts_.find(host);
    if (at == hosts_.end()) continue;
    Seen& seen = at->second;
    seen.changed = false;
    if (seen.out) continue;
    Opinion opinion = Judge(now, seen);
    if (seen.said != Said::kNothing && now >= seen.said_until) seen.said = Said::kNothing;  // it ran out
    // What was sure stays told, until the odds are even or it runs out.
    if (seen.said == Said::kSure && opinion.said == Said::kVote) opinion.said = Said::kSure;
    const bool due = seen.said_until - now <= rules_.tell_again;
    // In question all that is seen is news: how often the host fails decides what good words weigh.
    const uint32_t enough = seen.said_trials < 4 ? seen.said_trials + 1 : 2 * seen.said_trials;
    const bool more = seen.asked && opinion.sum.trials >= enough;
    if (opinion.said == seen.said && !(opinion.said != Said::kNothing && (due || more))) continue;
    Command command;
    if (opinion.said == Said::kNothing) {
      // Sure, and less so by now: it stands until the odds are even.
      const bool odds = seen.said == Said::kSure && !OthersFail(now, seen) &&
                        Worst(now, seen, now - rules_.window).odds > 0;
      if (odds) continue;
      command.what = Command::What::kWithdraw;
      command.balancer = balancer_;
      command.host = host;
      command.life = seen.life;
    } else if (opinion.said == Said::kGood) {
      command.what = Command::What::kGood;
      command.good = {balancer_, zone_, host, seen.life, opinion.sum.trials, opinion.cls, rules_.vote_lasts};
    } else {
      command.what = Command::What::kVote;
      Vote& vote = command.vote;
      vote.balancer = balancer_;
      vote.zone = zone_;
      vote.host = host;
      vote.life = seen.life;
      vote.window = std::min(rules_.window, std::max<Micros>(0, now - opinion.sum.since));
      vote.trials = opinion.sum.trials;
      vote.failures = opinion.sum.failed;
      vote.kind =
          static_cast<Kind>(std::ranges::max_element(opinion.sum.failures) - opinion.sum.failures.begin());
      vote.cls = opinion.cls;
      vote.others = opinion.others;
      vote.sure = opinion.said == Said::kSure;
      vote.lasts = rules_.vote_lasts;
    }
    seen.said = opinion.said;
    seen.said_trials = opinion.sum.trials;
    seen.said_until = now + rules_.vote_lasts;
    tell_at_ = std::min(tell_at_, seen.said_until - rules_.tell_again);
    commands.push_back(std::move(command));
  }
  return commands;
}

Micros Evidence::next_at() const { return changed_.empty() ? tell_at_ : 0; }

}  // namespace burlfall::ejection
