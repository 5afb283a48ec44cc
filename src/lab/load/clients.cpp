#include "lab/load/clients.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "codec/words.h"
#include "config/platform.h"
#include "lab/judge/facts.h"
#include "lab/site/mark.h"

namespace burlfall::lab {
namespace {

constexpr Micros kAskEvery = 50 * kMs;       // a balancer that is not up yet
constexpr Micros kAskPatience = kSecond;     // for its word
constexpr Micros kForgetWork = 3 * kSecond;  // after a query's deadline
constexpr Micros kSocketSlack = 50 * kMs;    // that the rules give to every time limit
constexpr size_t kMostWorks = 1 << 20;
constexpr Range kLeavingMs = {200, 400};  // until the front knows that a balancer ends
// A close that crosses a query shows at once, as a reset.
constexpr Micros kCrossing = 100 * kMs;
// Answers that have come are read in between.
constexpr int kMostAtOnce = 256;
// What falls due so soon after the last look goes out together. Guards against a turn for each at 20,000 a
// second, where timers are fine.
constexpr Micros kTogether = 200;

Micros FromMs(double ms) { return static_cast<Micros>(ms * kMs); }

template <typename Part>
std::vector<Part> All(const std::vector<Clients::Balancer>& balancers, Part Clients::Balancer::*part) {
  std::vector<Part> all;
  for (const Clients::Balancer& one : balancers) all.push_back(one.*part);
  return all;
}

// Seconds, whole or decimal; 0: none that can be read.
Micros ReadRetryAfter(const HttpMessage& answer) {
  const std::string* text = answer.Find(platform::kRetryAfter);
  if (text == nullptr) return 0;
  const double seconds = PositiveSeconds(*text);
  if (!std::isfinite(seconds)) return 0;
  return static_cast<Micros>(std::min(seconds, 3600.0) * kSecond);
}

}  // namespace

struct Clients::ClientLink : HttpLink {
  ClientLink(Clients& clients, std::unique_ptr<Stream> stream, Pool& of, uint32_t first)
      : HttpLink(clients, std::move(stream)), pool(of), slot(first) {}
  Pool& pool;
  uint32_t slot;     // of the query at hand
  size_t place = 0;  // in the pool
};

Clients::Clients(Parts parts)
    : parts_(std::move(parts)),
      machine_(parts_.machine),
      witness_(parts_.witness),
      classes_(parts_.experiment.classes),
      balancers_(parts_.balancers),
      most_links_(static_cast<size_t>(parts_.experiment.clients.most_links)),
      reads_on_(
          parts_.reads_on.value_or(FromMs(parts_.experiment.site.answer_slack_ms) + Facts().socket_slack)),
      front_(static_cast<int>(parts_.experiment.site.Zones()), All(balancers_, &Balancer::zone)),
      retries_(parts_.experiment.clients, classes_),
      text_(classes_, parts_.experiment.tenants),
      works_(kMostWorks),
      wake_(machine_.scheduler()),
      when_over_(machine_.scheduler()),
      rude_(machine_, works_, parts_.experiment, All(balancers_, &Balancer::at), parts_.seed) {
  for (size_t i = 0; i < balancers_.size(); ++i) {
    lives_.push_back({true, 0, Stream64(parts_.seed, "front/" + std::to_string(i)), {}});
  }
  for (size_t zone = 0; zone < parts_.experiment.site.Zones(); ++zone) {
    for (size_t i = 0; i < balancers_.size(); ++i) pools_.emplace_back().balancer = static_cast<int>(i);
  }
}

Clients::~Clients() = default;

void Clients::Start() {
  more_ = parts_.arrivals.Next(next_);
  running_ = Run();
  running_.Start();
}

// ---- Balancers -------------------------------------------------------------------------------------------

void Clients::BalancerStarted(int balancer) {
  Life& life = lives_[static_cast<size_t>(balancer)];
  life.dead = false;
  life.asking = AskUntilUp(balancer);
  life.asking.Start();
}

void Clients::BalancerLeaving(int balancer) {
  Life& life = lives_[static_cast<size_t>(balancer)];
  front_.Leaving(balancer, machine_.Now() + FromMs(life.draws.Between(kLeavingMs)));
}

void Clients::BalancerDied(int balancer) {
  Life& life = lives_[static_cast<size_t>(balancer)];
  const Micros now = machine_.Now();
  life.dead = true;
  life.died_at = now;
  life.asking = Task<>();
  front_.Died(balancer, now + FromMs(life.draws.Between(parts_.experiment.clients.notice_ms)));
}

Task<> Clients::AskUntilUp(int balancer) {
  std::string question = "GET ";
  question.append(platform::kUpPath).append(" HTTP/1.1\r\nHost: burl\r\nConnection: close\r\n\r\n");
  while (true) {
    const Micros began = machine_.Now();
    const int status =
        co_await Ask(machine_, balancers_[static_cast<size_t>(balancer)].at, question, began + kAskPatience);
    if (status == 200) break;
    Event pause(machine_.scheduler());
    co_await pause.Wait(began + kAskEvery);
  }
  front_.Admitted(balancer);
}

// ---- Time ------------------------------------------------------------------------------------------------

Task<> Clients::Run() {
  while (true) {
    buried_.clear();
    const Micros now = machine_.Now();
    int done = 0;
    for (; done < kMostAtOnce && !plans_.empty() && plans_.top().at <= now; ++done) {
      const Plan plan = plans_.top();
      plans_.pop();
      if (At(plan.slot).generation == plan.generation) Carry(plan, now);
    }
    for (; done < kMostAtOnce && more_ && parts_.begins_at + next_.at <= now; ++done) Begin(now);
    works_.Forget(now);
    if (over()) when_over_.Notify();
    asleep_until_ = kNever;
    if (more_) asleep_until_ = parts_.begins_at + next_.at;
    if (!plans_.empty()) asleep_until_ = std::min(asleep_until_, plans_.top().at);
    asleep_until_ = std::max(asleep_until_, now + kTogether);
    co_await wake_.Wait(asleep_until_);
  }
}

void Clients::Later(Micros at, uint32_t slot, Do what) {
  plans_.push({at, slot, At(slot).generation, what});
  if (at < asleep_until_) wake_.Notify();
}

void Clients::Carry(const Plan& plan, Micros now) {
  Query& one = At(plan.slot);
  switch (plan.what) {
    case Do::kRetry:
      Try(plan.slot, now);
      break;
    case Do::kWrite:
      if (one.link == nullptr) {
        Put(plan.slot);
      } else if (!Give(*one.link, plan.slot)) {
        Unreached(*one.link);
      }
      break;
    case Do::kTell:
      Tell(plan.slot);
      break;
    case Do::kGiveUp:
      // What was never written has no answer to wait for.
      if (one.written_at != 0 && reads_on_ > 0) {
        Later(one.give_up_at + reads_on_, plan.slot, Do::kLeave);
      } else {
        Leave(plan.slot);
      }
      break;
    case Do::kLeave:
      Leave(plan.slot);
      break;
  }
}

// ---- Queries ---------------------------------------------------------------------------------------------

void Clients::Begin(Micros now) {
  uint32_t slot = static_cast<uint32_t>(queries_.size());
  if (free_.empty()) {
    queries_.emplace_back();
  } else {
    slot = free_.back();
    free_.pop_back();
  }
  ++open_;
  Query& one = At(slot);
  const uint32_t generation = one.generation;
  one = Query();
  one.generation = generation;
  one.what = next_;
  one.trace = next_.trace;
  one.due = one.first_due = parts_.begins_at + next_.at;
  more_ = parts_.arrivals.Next(next_);
  Try(slot, now);
}

void Clients::Try(uint32_t slot, Micros now) {
  Query& one = At(slot);
  const ClassSpec& cls = classes_[static_cast<size_t>(one.what.cls)];
  one.give_up_at =
      retries_.GiveUpAt(one.what.cls, one.due, one.first_due, one.what.try_timeout, one.may_run_since);
  works_.Note(one.trace, {one.what.cls, one.what.work_us},
              one.first_due + FromMs(cls.deadline_ms) + reads_on_ + kForgetWork);
  ++counts_.tries;
  witness_.SentLate(now - one.due);
  Later(one.give_up_at, slot, Do::kGiveUp);
  Route(slot, now);
}

void Clients::Route(uint32_t slot, Micros now) {
  Query& one = At(slot);
  one.balancer = front_.Choose(one.what.zone, now, [&](int balancer) {
    return !one.resent && !PoolOf(one.what.zone, balancer).idle.empty();
  });
  one.written_at = 0;
  const ClassSpec& cls = classes_[static_cast<size_t>(one.what.cls)];
  const double share = one.what.within_share ? 1 : parts_.experiment.over_share_worth;
  witness_.Due({.trace = one.trace,
                .first = one.what.trace,
                .number = one.number,
                .cls = one.what.cls,
                .tenant = one.what.tenant,
                .zone = one.what.zone,
                .balancer = one.balancer,
                .key = one.what.key,
                .due = one.due,
                .give_up_at = one.give_up_at,
                .worth = cls.worth * one.what.work_us * share,
                .aim_at = one.first_due + FromMs(cls.aim_ms),
                .within_share = one.what.within_share});
  if (one.balancer < 0) {
    ++counts_.nobody;
    one.outcome = {End::kUnreached, 0, {}, 0};
    Tell(slot);
  } else if (const Micros one_way = PoolOf(one).one_way; one_way > 0) {
    Later(now + one_way, slot, Do::kWrite);
  } else {
    Put(slot);
  }
}

void Clients::Put(uint32_t slot) {
  Pool& pool = PoolOf(At(slot));
  while (!At(slot).resent && !pool.idle.empty()) {
    ClientLink& link = *pool.idle.back();
    pool.idle.pop_back();
    if (link.Quiet() && Give(link, slot)) return;
    Bury(link);
  }
  if (pool.links.size() >= most_links_ && !pool.idle.empty()) Bury(*pool.idle.front());
  if (pool.links.size() < most_links_) {
    OpenLink(pool, slot);
  } else {
    pool.waiting.push_back({0, slot, At(slot).generation, Do::kWrite});
  }
}

// False where the link can't be written to.
bool Clients::Give(ClientLink& link, uint32_t slot) {
  Query& one = At(slot);
  const Micros now = machine_.Now();
  out_.clear();
  text_.Append(out_, one.what, one.trace, one.number, one.give_up_at - now);
  const HttpLink::Sent sent = link.Send(out_);
  if (sent == HttpLink::Sent::kBroken) return false;
  link.slot = slot;
  one.link = &link;
  if (sent == HttpLink::Sent::kWhole) {
    one.written_at = now;
    witness_.Written(one.trace, now);
  }
  return true;
}

void Clients::OpenLink(Pool& pool, uint32_t slot) {
  NoConnection why = NoConnection::kRefused;
  std::unique_ptr<Stream> stream =
      machine_.network().Connect(balancers_[static_cast<size_t>(pool.balancer)].at, why);
  if (!stream) {
    if (why == NoConnection::kNoResources) ++counts_.no_room;
    Settle(slot, {End::kUnreached, 0, {}, 0});
    return;
  }
  ++counts_.links;
  pool.links.push_back(std::make_unique<ClientLink>(*this, std::move(stream), pool, slot));
  ClientLink& link = *pool.links.back();
  link.place = pool.links.size() - 1;
  At(slot).link = &link;
  link.Start();
}

// The link is over. Nothing is destroyed here: it may be its own coroutine that runs.
void Clients::Bury(ClientLink& link) {
  Pool& pool = link.pool;
  link.Close();
  std::erase(pool.idle, &link);
  const size_t place = link.place;
  std::swap(pool.links[place], pool.links.back());
  pool.links[place]->place = place;
  buried_.push_back(std::move(pool.links.back()));
  pool.links.pop_back();
}

// The link could not be written to, and no balancer has heard of its query.
void Clients::Unreached(ClientLink& link) {
  Bury(link);
  Settle(link.slot, {End::kUnreached, 0, {}, 0});
  Serve(link.pool);
}

// The tries that wait for a link of this pool, as far as there is room for links.
void Clients::Serve(Pool& pool) {
  while (!pool.waiting.empty() && (pool.links.size() < most_links_ || !pool.idle.empty())) {
    const Plan next = pool.waiting.front();
    pool.waiting.pop_front();
    if (At(next.slot).generation == next.generation) Put(next.slot);
  }
}

void Clients::Leave(uint32_t slot) {
  Query& one = At(slot);
  const bool connecting = one.written_at == 0 && one.link != nullptr;
  if (one.link != nullptr) {
    Pool& pool = one.link->pool;
    Bury(*std::exchange(one.link, nullptr));
    Serve(pool);
  }
  one.outcome = {connecting ? End::kUnreached : End::kLeft, 0, {}, 0};
  Tell(slot);
}

// What the client hears of it, as soon as that has come the way back.
void Clients::Settle(uint32_t slot, const Outcome& outcome) {
  Query& one = At(slot);
  one.link = nullptr;
  one.outcome = outcome;
  const Micros one_way = PoolOf(one).one_way;
  if (one_way > 0) {
    Later(machine_.Now() + one_way, slot, Do::kTell);
  } else {
    Tell(slot);
  }
}

// The end of a try, and the next one if there is to be one.
void Clients::Tell(uint32_t slot) {
  Query& one = At(slot);
  const Outcome& outcome = one.outcome;
  const Micros now = machine_.Now();
  witness_.Ended(one.trace, now, outcome.how, outcome.status, outcome.mark, outcome.refused_for);
  ++one.generation;
  if (RetryModel::MayHaveRun(outcome.how)) one.may_run_since = std::min(one.may_run_since, one.due);
  std::optional<Micros> again;
  if (outcome.how != End::kServed) {
    const int number = one.number + 1;
    Stream64 draws(parts_.seed, "retry/" + TraceText(TraceOfTry(one.what.trace, number)));
    again = retries_.At({.how = outcome.how,
                         .number = one.number,
                         .cls = one.what.cls,
                         .at = now,
                         .first_due = one.first_due,
                         .may_run_since = one.may_run_since,
                         .refused_for = outcome.refused_for,
                         .honours = one.what.honours_retry_after,
                         .wait = FromMs(draws.Between(parts_.experiment.clients.retry_wait_ms))});
  }
  if (again) {
    ++counts_.retries;
    ++one.number;
    one.trace = TraceOfTry(one.what.trace, one.number);
    one.due = *again;
    one.resent = false;
    one.written_at = 0;
    Later(one.due, slot, Do::kRetry);
    return;
  }
  --open_;
  free_.push_back(slot);
  if (over()) when_over_.Notify();
}

// ---- Links -----------------------------------------------------------------------------------------------

void Clients::CameUp(HttpLink& up) {
  auto& link = static_cast<ClientLink&>(up);
  const uint32_t slot = link.slot;
  if (link.pool.one_way > 0) {
    // The way there and back that the connect would have taken.
    Later(machine_.Now() + 2 * link.pool.one_way, slot, Do::kWrite);
  } else if (!Give(link, slot)) {
    Unreached(link);
  }
}

void Clients::Written(HttpLink& link) {
  Query& one = At(static_cast<ClientLink&>(link).slot);
  one.written_at = machine_.Now();
  witness_.Written(one.trace, one.written_at);
}

void Clients::Answered(HttpLink& from, HttpMessage answer) {
  auto& link = static_cast<ClientLink&>(from);
  const uint32_t slot = std::exchange(link.slot, kNoSlot);
  Outcome outcome{End::kFailed, answer.status, {}, 0};
  if (answer.status == 200) {
    outcome.how = End::kServed;
    outcome.mark = ReadMark(answer.body);
  } else if (answer.status == 429 || answer.status == 503) {
    outcome.how = End::kRefused;
    outcome.refused_for = ReadRetryAfter(answer);
  }
  Settle(slot, outcome);
  if (answer.keep_alive) {
    link.pool.idle.push_back(&link);
  } else {
    Bury(link);
  }
  Serve(link.pool);
}

void Clients::Ended(HttpLink& ended, HttpLink::Gone how) {
  auto& link = static_cast<ClientLink&>(ended);
  const uint32_t slot = link.slot;
  Pool& pool = link.pool;
  Bury(link);
  if (slot == kNoSlot) {
    Serve(pool);
    return;
  }
  Query& one = At(slot);
  one.link = nullptr;
  const Micros now = machine_.Now();
  const bool written = one.written_at != 0;
  const bool unread = how == HttpLink::Gone::kReset && link.answers() > 0 && !link.heard() &&
                      (!written || now - one.written_at <= kCrossing);
  if (unread && !one.resent) {
    one.resent = true;
    ++counts_.resent;
    Route(slot, now);
  } else if (!written) {
    Settle(slot, {End::kUnreached, 0, {}, 0});
  } else {
    const Life& life = lives_[static_cast<size_t>(one.balancer)];
    const bool lost = life.dead || life.died_at >= one.written_at;
    Settle(slot, {lost ? End::kLost : End::kBroken, link.head_status(), {}, 0});
  }
  Serve(pool);
}

}  // namespace burlfall::lab
