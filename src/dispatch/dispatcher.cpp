#include "dispatch/dispatcher.h"

#include <algorithm>

namespace burlfall {
namespace {

constexpr Micros kLeastGrace = 200 * kMs;  // a turn takes some time, whatever the settings say
constexpr Micros kOnSockets = 40 * kMs;    // of the 50 ms by which each limit is longer there

}  // namespace

using meadowslip::BackendId;
using meadowslip::Outcome;
using meadowslip::RequestId;

Dispatcher::Dispatcher(Scheduler& scheduler, const meadowslip::Settings& settings, uint64_t seed,
                       Upstream& upstream, std::function<void()> follow, Counters& counters)
    : scheduler_(scheduler),
      settings_(settings),
      seed_(seed),
      upstream_(upstream),
      follow_(std::move(follow)),
      counters_(counters),
      most_held_(static_cast<size_t>(settings.open_cap)),
      turn_(scheduler),
      balancer_(settings, seed) {}

void Dispatcher::Observe(Figures* figures, Capture* capture) {
  figures_ = figures;
  capture_ = capture;
}

void Dispatcher::Start() {
  turns_ = Turns();
  turns_.Start();
}

// ---- What happens, turn by turn --------------------------------------------------------------------------

// The module is told of results and timers here and nowhere else, so an action of its own never comes back to
// it while it is still deciding.
Task<> Dispatcher::Turns() {
  while (true) {
    std::vector<Result> results;
    results.swap(results_);
    for (Result& result : results) Deliver(std::move(result));
    FireTimers();
    if (scheduler_.Now() >= ends_by_) AnswerAll();
    Bury();
    wakes_at_ = timers_.empty() ? kNever : timers_.top().at;
    if (ends_by_ > scheduler_.Now()) wakes_at_ = std::min(wakes_at_, ends_by_);
    co_await turn_.Wait(wakes_at_);
  }
}

void Dispatcher::Post(RequestId id, int attempt, ServerAnswer answer) {
  Result result;
  result.id = id;
  result.attempt = attempt;
  result.answer = std::move(answer);
  results_.push_back(std::move(result));
  turn_.Notify();
}

void Dispatcher::Deliver(Result result) {
  Query* known = Known(result.id);
  if (known == nullptr) return;
  Query& query = *known;
  Attempt& attempt = query.attempts[static_cast<size_t>(result.attempt)];
  attempt.task = Task<>();
  attempt.heard = true;
  attempt.never_ran = result.answer.outcome == Outcome::kFull || result.answer.outcome == Outcome::kMoot ||
                      result.answer.outcome == Outcome::kConnectFailed;
  --query.out;
  Count(result.answer.outcome);
  if (result.answer.outcome == Outcome::kOk && !query.closed) {
    ++counters_.served;
    Close(result.id, query, Figure::kServed)->Serve(*result.answer.payload);
  }
  if (query.closed) ended_.push_back(result.id);
  meadowslip::AttemptResult told;
  told.id = result.id;
  told.attempt = result.attempt;
  told.closed = query.closed;
  told.backend = attempt.backend;
  const Micros now = scheduler_.Now();
  told.elapsed = now - attempt.sent_at;
  told.outcome = result.answer.outcome;
  // Guards what is sent but once: an attempt that took a part of the query and failed must be the last.
  if (told.outcome != Outcome::kOk && query.asked.payload->Consumed()) TellStream(told.id, told.attempt);
  if (capture_) capture_->OnResult(now, told);
  balancer_.OnResult(now, told, *this);
}

void Dispatcher::FireTimers() {
  Micros now = scheduler_.Now();
  while (!timers_.empty() && timers_.top().at <= now) {
    uint64_t name = timers_.top().name;
    timers_.pop();
    const Micros at = scheduler_.Now();
    if (capture_) capture_->OnTimer(at, name);
    balancer_.OnTimer(at, name, *this);
  }
}

void Dispatcher::EndBy(Micros when) {
  ends_by_ = when;
  turn_.Notify();
}

// Guards what is open against an end of the process that answers nothing. What was never sent on is refused,
// since that is harmless; the rest has failed. The module hears of it as of clients that left, once all of
// them are closed: it would send others in their place.
void Dispatcher::AnswerAll() {
  std::vector<RequestId> open;
  for (const auto& [id, query] : queries_) {
    if (!query.closed) open.push_back(id);
  }
  std::sort(open.begin(), open.end());
  for (RequestId id : open) {
    Query& query = queries_.at(id);
    const bool never_ran = std::all_of(query.attempts.begin(), query.attempts.end(),
                                       [](const Attempt& a) { return a.heard && a.never_ran; });
    ++(never_ran ? counters_.throttled : counters_.failed);
    Asker* asker = Close(id, query, never_ran ? Figure::kThrottled : Figure::kFailed);
    never_ran ? asker->Throttle(ComeBack()) : asker->Fail();
  }
  for (RequestId id : open) {
    const Micros now = scheduler_.Now();
    if (capture_) capture_->OnClientLeft(now, id);
    balancer_.OnClientLeft(now, id, *this);
  }
}

// Not at once: whoever ended them may still hold them.
void Dispatcher::Bury() {
  for (RequestId id : ended_) {
    auto it = queries_.find(id);
    if (it != queries_.end() && it->second.closed && it->second.out == 0) queries_.erase(it);
  }
  ended_.clear();
}

void Dispatcher::OnList(const meadowslip::BackendList& list) {
  ++(list.kind == meadowslip::ListKind::kFailed ? counters_.lists_failed : counters_.lists);
  const Micros now = scheduler_.Now();
  if (capture_) capture_->OnList(now, list);
  balancer_.OnList(now, list, *this);
}

// ---- From one process to the next ------------------------------------------------------------------------

Carried Dispatcher::Carry() const {
  Carried all;
  all.module = balancer_.Save();
  all.now = scheduler_.Now();
  all.last_id = last_id_;
  for (auto left = timers_; !left.empty(); left.pop()) all.timers.push_back({left.top().at, left.top().name});
  for (const auto& [id, query] : queries_) {
    Carried::Query& q = all.queries.emplace_back();
    q.id = id;
    q.sent = static_cast<int>(query.attempts.size());
    for (int n = 0; n < q.sent; ++n) {
      const Attempt& attempt = query.attempts[static_cast<size_t>(n)];
      if (!attempt.heard) q.out.push_back({n, attempt.backend, attempt.sent_at});
    }
  }
  return all;
}

// Takes what the module does while another process's queries are settled: nothing of it is carried out, but a
// send must be settled too, and timers run on.
class Dispatcher::Settler final : public meadowslip::ActionSink {
 public:
  explicit Settler(Dispatcher& of) : of_(of) {}
  void Send(RequestId id, BackendId backend, Micros) override {
    out.emplace_back(id, Carried::Attempt{sent[id]++, backend, of_.scheduler_.Now()});
  }
  void Schedule(Micros delay, uint64_t timer) override { of_.Schedule(delay, timer); }
  void Refuse(RequestId, Micros) override {}
  void Fail(RequestId) override {}
  void Cancel(RequestId, int) override {}
  void Probe(BackendId) override {}
  void Subscribe() override {}
  std::unordered_map<RequestId, int> sent;
  std::vector<std::pair<RequestId, Carried::Attempt>> out;

 private:
  Dispatcher& of_;
};

bool Dispatcher::TakeOver(const Carried& from) {
  if (!balancer_.Load(from.module)) {
    balancer_ = meadowslip::Balancer(settings_, seed_);  // what could not take a state is of no use
    return false;
  }
  last_id_ = from.last_id;
  for (const Carried::Timer& timer : from.timers) {
    timers_.push({timer.at, ++timers_set_, timer.name});
  }
  const Micros now = scheduler_.Now();
  Settler settler(*this);
  for (const Carried::Query& q : from.queries) {
    settler.sent[q.id] = q.sent;
    for (const Carried::Attempt& attempt : q.out) settler.out.emplace_back(q.id, attempt);
  }
  // Left first, all of them: a result for one may let the module send another.
  for (const Carried::Query& q : from.queries) balancer_.OnClientLeft(now, q.id, settler);
  while (!settler.out.empty()) {
    const auto [id, attempt] = settler.out.back();
    settler.out.pop_back();
    meadowslip::AttemptResult told;
    told.id = id;
    told.attempt = attempt.number;
    told.closed = true;
    told.backend = attempt.backend;
    told.elapsed = now - attempt.sent_at;
    told.outcome = Outcome::kMoot;  // says nothing of the server
    balancer_.OnResult(now, told, settler);
  }
  return true;
}

// ---- Queries ---------------------------------------------------------------------------------------------

RequestId Dispatcher::Take(Asked asked) {
  RequestId id = ++last_id_;
  ++counters_.taken;
  if (queries_.size() >= std::min(most_held_, static_cast<size_t>(settings_.open_cap))) {
    ++counters_.throttled;
    if (figures_) figures_->Add(asked.labels.series, Figure::kThrottled);
    asked.asker->Throttle(ComeBack());
    return id;
  }
  asked.request.id = id;
  asked.request.give_up_at = std::min(asked.request.give_up_at, ends_by_);
  const Micros now = scheduler_.Now();
  if (figures_) figures_->Opened(asked.labels.series);
  const meadowslip::Request request = asked.request;
  Query& query = queries_[id];
  query.asked = std::move(asked);
  query.taken_at = now;
  if (capture_) capture_->OnQuery(now, request, query.asked.labels);
  balancer_.OnRequest(now, request, *this);
  return id;
}

// Of those that were refused before the module heard of them: by then some of those at hand are over.
Micros Dispatcher::ComeBack() const {
  Micros aim = 0;
  for (const meadowslip::RequestClass& c : settings_.classes) aim = std::max(aim, c.aim);
  return settings_.retry_after ? std::min(settings_.max_retry_after, aim) : 0;
}

void Dispatcher::Went(RequestId id) {
  const Query* query = Known(id);
  if (query == nullptr || query->closed || query->attempts.empty()) return;
  TellStream(id, static_cast<int>(query->attempts.size()) - 1);
}

void Dispatcher::TellStream(RequestId id, int attempt) {
  const Micros now = scheduler_.Now();
  if (capture_) capture_->OnStream(now, id, attempt);
  balancer_.OnStreamStarted(now, id, attempt, *this);
}

void Dispatcher::Left(RequestId id) {
  Query* query = Known(id);
  if (query == nullptr || query->closed) return;
  ++counters_.left;
  Close(id, *query, Figure::kLeft);
  const Micros now = scheduler_.Now();
  if (capture_) capture_->OnClientLeft(now, id);
  balancer_.OnClientLeft(now, id, *this);
}

Dispatcher::Query* Dispatcher::Known(RequestId id) {
  auto it = queries_.find(id);
  return it == queries_.end() ? nullptr : &it->second;
}

// From here on nothing is owed; the answer is the caller's to give.
Asker* Dispatcher::Close(RequestId id, Query& query, Figure how) {
  if (figures_) figures_->Closed(query.asked.labels.series, how, scheduler_.Now() - query.taken_at);
  query.closed = true;
  query.asked.payload->closed = true;
  ended_.push_back(id);
  turn_.Notify();
  return std::exchange(query.asked.asker, nullptr);
}

// ---- The module's actions --------------------------------------------------------------------------------

void Dispatcher::Chose(Record::Choice did, RequestId id, const Query* query, BackendId backend, int attempt,
                       Micros span) {
  if (!capture_) return;
  capture_->Chose(did, id, query ? &query->asked.request : nullptr, query ? &query->asked.labels : nullptr,
                  backend, attempt, span);
}

void Dispatcher::Send(RequestId id, BackendId backend, Micros timeout) {
  Query* known = Known(id);
  if (known == nullptr) return;
  Query& query = *known;
  int n = static_cast<int>(query.attempts.size());
  Chose(Record::Choice::kSend, id, &query, backend, n, timeout);
  Attempt& attempt = query.attempts.emplace_back();
  attempt.backend = backend;
  attempt.sent_at = scheduler_.Now();
  ++query.out;
  Micros until = query.asked.request.give_up_at;
  if (timeout > 0) until = std::min(until, attempt.sent_at + timeout);
  // Guards the drain rule where this process stood still in the middle of a turn: what discovery has told
  // meanwhile is heard of before the module hears of this.
  const Micros longest =
      std::min(std::max(settings_.drain_grace, kLeastGrace) / 2, settings_.drain_grace + kOnSockets);
  const bool unheard = attempt.sent_at - scheduler_.heard_at() > longest;
  // Guards against an attempt for a client whose end was heard in this turn: its link may not have had its
  // own.
  const bool gone = query.asked.asker != nullptr && query.asked.asker->Gone();
  if (query.closed || unheard || gone || !upstream_.Knows(backend) || n >= settings_.max_attempts ||
      until <= attempt.sent_at) {
    attempt.ended = true;
    return Post(id, n, ServerAnswer());
  }
  ++counters_.sent;
  if (figures_) figures_->Add(query.asked.labels.series, Figure::kAttempts);
  attempt.task = Try(id, n, backend, until, WholeBy(query));
  attempt.task.Start();
}

// Servers drop repeats of a keyed query for so long after an attempt that may have run. The module sends none
// later; this guards the time that a link takes to come up, and a body to be written.
Micros Dispatcher::WholeBy(const Query& query) const {
  const int cls = query.asked.request.request_class;
  if (cls < 0 || static_cast<size_t>(cls) >= settings_.classes.size()) return kNever;
  const meadowslip::RequestClass& c = settings_.classes[static_cast<size_t>(cls)];
  if (c.idempotency != meadowslip::Idempotency::kKeyed) return kNever;
  const auto last = query.attempts.end() - 1;  // the one that is about to be made
  const auto ran = std::find_if(query.attempts.begin(), last, [](const Attempt& a) { return !a.never_ran; });
  return ran == last ? kNever : ran->sent_at + c.dedup_window;
}

Task<> Dispatcher::Try(RequestId id, int n, BackendId backend, Micros until, Micros send_by) {
  ServerAnswer answer = co_await upstream_.Exchange(backend, *queries_.at(id).asked.payload, until, send_by);
  queries_.at(id).attempts[static_cast<size_t>(n)].ended = true;
  Post(id, n, std::move(answer));
}

void Dispatcher::Cancel(RequestId id, int n) {
  Query* query = Known(id);
  Chose(Record::Choice::kCancel, id, query, 0, n);
  if (query == nullptr || n < 0 || static_cast<size_t>(n) >= query->attempts.size()) return;
  Attempt& attempt = query->attempts[static_cast<size_t>(n)];
  if (attempt.ended) return;  // its own outcome is on its way to the module
  attempt.ended = true;
  attempt.task = Task<>();  // closes its link
  ServerAnswer cancelled;
  cancelled.outcome = Outcome::kCancelled;
  Post(id, n, std::move(cancelled));
}

void Dispatcher::Refuse(RequestId id, Micros retry_after) {
  Query* query = Known(id);
  Chose(Record::Choice::kRefuse, id, query, 0, 0, retry_after);
  if (query == nullptr || query->closed) return;
  ++counters_.throttled;
  Close(id, *query, Figure::kThrottled)->Throttle(retry_after);
}

void Dispatcher::Fail(RequestId id) {
  Query* query = Known(id);
  Chose(Record::Choice::kFail, id, query);
  if (query == nullptr || query->closed) return;
  ++counters_.failed;
  Close(id, *query, Figure::kFailed)->Fail();
}

void Dispatcher::Schedule(Micros delay, uint64_t timer) {
  ModuleTimer set;
  set.at = scheduler_.Now() + std::max<Micros>(0, delay);
  set.order = ++timers_set_;
  set.name = timer;
  timers_.push(set);
  if (set.at < wakes_at_) turn_.Notify();
}

void Dispatcher::Subscribe() {
  Chose(Record::Choice::kAsk, 0, nullptr);
  follow_();
}

void Dispatcher::Count(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      ++counters_.ok;
      break;
    case Outcome::kError:
      ++counters_.error;
      break;
    case Outcome::kFull:
      ++counters_.full;
      break;
    case Outcome::kTimeout:
      ++counters_.timeout;
      break;
    case Outcome::kConnectFailed:
      ++counters_.connect_failed;
      break;
    case Outcome::kReset:
      ++counters_.reset;
      break;
    case Outcome::kCancelled:
      ++counters_.cancelled;
      break;
    case Outcome::kMoot:
      ++counters_.moot;
      break;
  }
}

}  // namespace burlfall
