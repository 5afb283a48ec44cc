#include "dispatch/dispatcher.h"

#include <algorithm>

namespace burlfall {
namespace {

constexpr Micros kMinDrainGrace = 200 * kMs;   // one pass of the loop takes some time, whatever the settings
constexpr Micros kSocketAllowance = 40 * kMs;  // of the 50 ms that are added to each limit over sockets

}  // namespace

using meadowslip::BackendId;
using meadowslip::Outcome;
using meadowslip::RequestId;

Dispatcher::Dispatcher(Scheduler& scheduler, const meadowslip::Settings& settings, uint64_t seed,
                       Upstream& upstream, std::function<void()> request_list, Counters& counters)
    : scheduler_(scheduler),
      settings_(settings),
      seed_(seed),
      upstream_(upstream),
      request_list_(std::move(request_list)),
      request_ids_(seed),
      counters_(counters),
      max_open_queries_(static_cast<size_t>(settings.open_cap)),
      wake_event_(scheduler),
      balancer_(settings, seed) {}

void Dispatcher::Observe(Figures* figures, Capture* capture) {
  figures_ = figures;
  capture_ = capture;
}

void Dispatcher::Start() {
  loop_task_ = RunLoop();
  loop_task_.Start();
}

// ---- The event loop --------------------------------------------------------------------------------------

// Results and timers are reported to the module only here, so that its actions never re-enter it.
Task<> Dispatcher::RunLoop() {
  while (true) {
    std::vector<Result> results;
    results.swap(results_);
    for (Result& result : results) DeliverResult(std::move(result));
    FireTimers();
    if (scheduler_.Now() >= shutdown_deadline_) AnswerAllOpen();
    EraseEnded();
    next_wakeup_ = timers_.empty() ? kNever : timers_.top().at;
    if (shutdown_deadline_ > scheduler_.Now()) next_wakeup_ = std::min(next_wakeup_, shutdown_deadline_);
    co_await wake_event_.Wait(next_wakeup_);
  }
}

void Dispatcher::PostResult(RequestId id, int attempt, ServerAnswer answer) {
  Result result;
  result.id = id;
  result.attempt = attempt;
  result.answer = std::move(answer);
  results_.push_back(std::move(result));
  wake_event_.Notify();
}

void Dispatcher::DeliverResult(Result result) {
  Query* found = FindQuery(result.id);
  if (found == nullptr) return;
  Query& query = *found;
  Attempt& attempt = query.attempts[static_cast<size_t>(result.attempt)];
  attempt.task = Task<>();
  attempt.reported = true;
  attempt.never_ran = result.answer.outcome == Outcome::kFull || result.answer.outcome == Outcome::kMoot ||
                      result.answer.outcome == Outcome::kConnectFailed;
  --query.unreported;
  Count(result.answer.outcome);
  if (result.answer.outcome == Outcome::kOk && !query.closed) {
    ++counters_.served;
    Close(result.id, query, Figure::kServed)->Serve(std::move(result.answer.payload));
  }
  if (query.closed) ended_queries_.push_back(result.id);
  meadowslip::AttemptResult report;
  report.id = result.id;
  report.attempt = result.attempt;
  report.closed = query.closed;
  report.backend = attempt.backend;
  const Micros now = scheduler_.Now();
  report.elapsed = now - attempt.sent_at;
  report.outcome = result.answer.outcome;
  // An attempt that consumed part of the query and failed must be the last: the query can't be sent again.
  if (report.outcome != Outcome::kOk && query.incoming.payload->Consumed())
    ReportStreamStarted(report.id, report.attempt);
  if (capture_) capture_->OnResult(now, report);
  balancer_.OnResult(now, report, *this);
}

void Dispatcher::FireTimers() {
  Micros now = scheduler_.Now();
  while (!timers_.empty() && timers_.top().at <= now) {
    uint64_t timer_id = timers_.top().timer_id;
    timers_.pop();
    const Micros at = scheduler_.Now();
    if (capture_) capture_->OnTimer(at, timer_id);
    balancer_.OnTimer(at, timer_id, *this);
  }
}

void Dispatcher::SetShutdownDeadline(Micros when) {
  shutdown_deadline_ = when;
  wake_event_.Notify();
}

// Answers all open queries before the process ends. Those that never ran are refused, since that is harmless;
// the others fail. The module is notified, as of clients that left, only once all of them are closed: it
// would send waiting ones in their place.
void Dispatcher::AnswerAllOpen() {
  std::vector<RequestId> open;
  for (const auto& [id, query] : queries_) {
    if (!query.closed) open.push_back(id);
  }
  std::sort(open.begin(), open.end());
  for (RequestId id : open) {
    AnswerUnserved(id, queries_.at(id));
  }
  for (RequestId id : open) {
    const Micros now = scheduler_.Now();
    if (capture_) capture_->OnClientLeft(now, id);
    balancer_.OnClientLeft(now, id, *this);
  }
}

void Dispatcher::AnswerUnserved(RequestId id, Query& query) {
  const bool never_ran = std::all_of(query.attempts.begin(), query.attempts.end(),
                                     [](const Attempt& a) { return a.reported && a.never_ran; });
  ++(never_ran ? counters_.throttled : counters_.failed);
  ResponseSink* sink = Close(id, query, never_ran ? Figure::kThrottled : Figure::kFailed);
  never_ran ? sink->Throttle(DefaultRetryAfter()) : sink->Fail();
}

// Queries are not erased where they end, because the code that ended them may still hold a reference.
void Dispatcher::EraseEnded() {
  for (RequestId id : ended_queries_) {
    auto it = queries_.find(id);
    if (it == queries_.end() || !it->second.closed || it->second.unreported > 0) continue;
    if (it->second.incoming.labels.trace != nullptr)
      request_ids_.Close(it->second.id_digest, MustNotRunAgain(it->second));
    queries_.erase(it);
  }
  ended_queries_.clear();
}

// Whether a second request of the same id could repeat an effect.
bool Dispatcher::MustNotRunAgain(const Query& query) const {
  const int cls = query.incoming.request.request_class;
  if (cls < 0 || static_cast<size_t>(cls) >= settings_.classes.size()) return false;
  if (settings_.classes[static_cast<size_t>(cls)].idempotency == meadowslip::Idempotency::kSafe) return false;
  return std::any_of(query.attempts.begin(), query.attempts.end(),
                     [](const Attempt& a) { return !a.never_ran; });
}

void Dispatcher::OnList(const meadowslip::BackendList& list) {
  ++(list.kind == meadowslip::ListKind::kFailed ? counters_.lists_failed : counters_.lists);
  const Micros now = scheduler_.Now();
  if (capture_) capture_->OnList(now, list);
  balancer_.OnList(now, list, *this);
}

// ---- Hand-over between processes -------------------------------------------------------------------------

DispatcherState Dispatcher::ExportState() const {
  DispatcherState state;
  state.module_state = balancer_.Save();
  state.saved_at = scheduler_.Now();
  state.last_id = last_id_;
  for (auto pending = timers_; !pending.empty(); pending.pop())
    state.timers.push_back({pending.top().at, pending.top().timer_id});
  for (const auto& [id, query] : queries_) {
    DispatcherState::Query& q = state.queries.emplace_back();
    q.id = id;
    q.attempt_count = static_cast<int>(query.attempts.size());
    for (int n = 0; n < q.attempt_count; ++n) {
      const Attempt& attempt = query.attempts[static_cast<size_t>(n)];
      if (!attempt.reported) q.unreported.push_back({n, attempt.backend, attempt.sent_at});
    }
  }
  return state;
}

// Receives the module's actions while another process's queries are ended. Nothing is carried out, but timers
// are set, and the result of each attempt that the module starts must be reported to it too.
class Dispatcher::DiscardingSink final : public meadowslip::ActionSink {
 public:
  explicit DiscardingSink(Dispatcher& dispatcher) : dispatcher_(dispatcher) {}
  void Send(RequestId id, BackendId backend, Micros) override {
    unreported.emplace_back(
        id, DispatcherState::Attempt{attempt_count[id]++, backend, dispatcher_.scheduler_.Now()});
  }
  void Schedule(Micros delay, uint64_t timer) override { dispatcher_.Schedule(delay, timer); }
  void Refuse(RequestId, Micros) override {}
  void Fail(RequestId) override {}
  void Cancel(RequestId, int) override {}
  void Probe(BackendId) override {}
  void Subscribe() override {}
  std::unordered_map<RequestId, int> attempt_count;
  std::vector<std::pair<RequestId, DispatcherState::Attempt>> unreported;

 private:
  Dispatcher& dispatcher_;
};

bool Dispatcher::ImportState(const DispatcherState& saved) {
  if (!balancer_.Load(saved.module_state)) {
    balancer_ =
        meadowslip::Balancer(settings_, seed_);  // a module that failed to load a state must not be used
    return false;
  }
  last_id_ = saved.last_id;
  for (const DispatcherState::Timer& timer : saved.timers) {
    timers_.push({timer.at, ++timer_sequence_, timer.timer_id});
  }
  const Micros now = scheduler_.Now();
  DiscardingSink discarding(*this);
  for (const DispatcherState::Query& q : saved.queries) {
    discarding.attempt_count[q.id] = q.attempt_count;
    for (const DispatcherState::Attempt& attempt : q.unreported)
      discarding.unreported.emplace_back(q.id, attempt);
  }
  // All clients leave first: the result of one query may let the module send another.
  for (const DispatcherState::Query& q : saved.queries) balancer_.OnClientLeft(now, q.id, discarding);
  while (!discarding.unreported.empty()) {
    const auto [id, attempt] = discarding.unreported.back();
    discarding.unreported.pop_back();
    meadowslip::AttemptResult report;
    report.id = id;
    report.attempt = attempt.number;
    report.closed = true;
    report.backend = attempt.backend;
    report.elapsed = now - attempt.sent_at;
    report.outcome = Outcome::kMoot;  // says nothing about the server
    balancer_.OnResult(now, report, discarding);
  }
  return true;
}

// ---- Queries ---------------------------------------------------------------------------------------------

RequestId Dispatcher::Submit(IncomingQuery incoming) {
  RequestId id = ++last_id_;
  ++counters_.taken;
  if (queries_.size() >= std::min(max_open_queries_, static_cast<size_t>(settings_.open_cap))) {
    ++counters_.throttled;
    ++counters_.refused_open;
    if (figures_) figures_->Add(incoming.labels.series, Figure::kThrottled);
    incoming.sink->Throttle(DefaultRetryAfter());
    return id;
  }
  incoming.request.id = id;
  incoming.request.give_up_at = std::min(incoming.request.give_up_at, shutdown_deadline_);
  const Micros now = scheduler_.Now();
  if (figures_) figures_->Opened(incoming.labels.series);
  const meadowslip::Request request = incoming.request;
  Query& query = queries_[id];
  query.incoming = std::move(incoming);
  query.received_at = now;
  if (const std::string* trace = query.incoming.labels.trace) {
    query.id_digest = request_ids_.DigestOf(*trace);
    request_ids_.Open(query.id_digest);
    id_submitted_(query.id_digest);
  }
  if (capture_) capture_->OnQuery(now, request, query.incoming.labels);
  balancer_.OnRequest(now, request, *this);
  return id;
}

Micros Dispatcher::DefaultRetryAfter() const {
  Micros aim = 0;
  for (const meadowslip::RequestClass& c : settings_.classes) aim = std::max(aim, c.aim);
  return settings_.retry_after ? std::min(settings_.max_retry_after, aim) : 0;
}

void Dispatcher::OnBodyStreamed(RequestId id) {
  const Query* query = FindQuery(id);
  if (query == nullptr || query->closed || query->attempts.empty()) return;
  ReportStreamStarted(id, static_cast<int>(query->attempts.size()) - 1);
}

void Dispatcher::ReportStreamStarted(RequestId id, int attempt) {
  const Micros now = scheduler_.Now();
  if (capture_) capture_->OnStream(now, id, attempt);
  balancer_.OnStreamStarted(now, id, attempt, *this);
}

void Dispatcher::ClientLeft(RequestId id) {
  Query* query = FindQuery(id);
  if (query == nullptr || query->closed) return;
  ++counters_.left;
  Close(id, *query, Figure::kLeft);
  const Micros now = scheduler_.Now();
  if (capture_) capture_->OnClientLeft(now, id);
  balancer_.OnClientLeft(now, id, *this);
}

void Dispatcher::Expire(RequestId id) {
  Query* query = FindQuery(id);
  if (query == nullptr || query->closed) return;
  ++counters_.expired;
  AnswerUnserved(id, *query);
  const Micros now = scheduler_.Now();
  if (capture_) capture_->OnClientLeft(now, id);
  balancer_.OnClientLeft(now, id, *this);
}

Dispatcher::Query* Dispatcher::FindQuery(RequestId id) {
  auto it = queries_.find(id);
  return it == queries_.end() ? nullptr : &it->second;
}

// Marks the query as closed and returns its sink, through which the caller gives the answer, if there is one.
ResponseSink* Dispatcher::Close(RequestId id, Query& query, Figure how) {
  if (figures_) figures_->Closed(query.incoming.labels.series, how, scheduler_.Now() - query.received_at);
  query.closed = true;
  query.incoming.payload->closed = true;
  ended_queries_.push_back(id);
  wake_event_.Notify();
  return std::exchange(query.incoming.sink, nullptr);
}

// ---- The module's actions --------------------------------------------------------------------------------

void Dispatcher::CaptureChoice(Record::Choice did, RequestId id, const Query* query, BackendId backend,
                               int attempt, Micros span) {
  if (!capture_) return;
  capture_->OnDecision(did, id, query ? &query->incoming.request : nullptr,
                       query ? &query->incoming.labels : nullptr, backend, attempt, span);
}

void Dispatcher::Send(RequestId id, BackendId backend, Micros timeout) {
  Query* found = FindQuery(id);
  if (found == nullptr) return;
  Query& query = *found;
  int n = static_cast<int>(query.attempts.size());
  CaptureChoice(Record::Choice::kSend, id, &query, backend, n, timeout);
  Attempt& attempt = query.attempts.emplace_back();
  attempt.backend = backend;
  attempt.sent_at = scheduler_.Now();
  ++query.unreported;
  Micros until = query.incoming.request.give_up_at;
  if (timeout > 0) until = std::min(until, attempt.sent_at + timeout);
  // If this process was paused, the host list may be outdated, and sending would break the drain rule:
  // discovery's pending updates must reach the module before the result of this attempt does.
  const Micros max_pause =
      std::min(std::max(settings_.drain_grace, kMinDrainGrace) / 2, settings_.drain_grace + kSocketAllowance);
  const bool list_outdated = attempt.sent_at - scheduler_.last_poll_at() > max_pause;
  // The client's end may have been received in this pass of the loop, before its link has handled it.
  const bool client_gone = query.incoming.sink != nullptr && query.incoming.sink->MayHaveLeft();
  if (query.closed || list_outdated || client_gone || !upstream_.Knows(backend) ||
      n >= settings_.max_attempts || until <= attempt.sent_at) {
    attempt.ended = true;
    return PostResult(id, n, ServerAnswer());
  }
  ++counters_.sent;
  if (figures_) figures_->Add(query.incoming.labels.series, Figure::kAttempts);
  attempt.task = RunAttempt(id, n, backend, until, SendDeadline(query));
  attempt.task.Start();
}

// Servers recognise repeats of a keyed query only for the dedup window after an attempt that may have run.
// The module sends none later; this limit also covers the time to connect and to write the body.
Micros Dispatcher::SendDeadline(const Query& query) const {
  const int cls = query.incoming.request.request_class;
  if (cls < 0 || static_cast<size_t>(cls) >= settings_.classes.size()) return kNever;
  const meadowslip::RequestClass& c = settings_.classes[static_cast<size_t>(cls)];
  if (c.idempotency != meadowslip::Idempotency::kKeyed) return kNever;
  const auto last = query.attempts.end() - 1;  // the attempt that is about to start
  const auto ran = std::find_if(query.attempts.begin(), last, [](const Attempt& a) { return !a.never_ran; });
  return ran == last ? kNever : ran->sent_at + c.dedup_window;
}

Task<> Dispatcher::RunAttempt(RequestId id, int n, BackendId backend, Micros until, Micros send_by) {
  ServerAnswer answer =
      co_await upstream_.Exchange(backend, *queries_.at(id).incoming.payload, until, send_by);
  queries_.at(id).attempts[static_cast<size_t>(n)].ended = true;
  PostResult(id, n, std::move(answer));
}

void Dispatcher::Cancel(RequestId id, int n) {
  Query* query = FindQuery(id);
  CaptureChoice(Record::Choice::kCancel, id, query, 0, n);
  if (query == nullptr || n < 0 || static_cast<size_t>(n) >= query->attempts.size()) return;
  Attempt& attempt = query->attempts[static_cast<size_t>(n)];
  if (attempt.ended) return;  // its own outcome is on its way to the module
  attempt.ended = true;
  attempt.task = Task<>();  // closes its link
  ServerAnswer cancelled;
  cancelled.outcome = Outcome::kCancelled;
  PostResult(id, n, std::move(cancelled));
}

void Dispatcher::Refuse(RequestId id, Micros retry_after) {
  Query* query = FindQuery(id);
  CaptureChoice(Record::Choice::kRefuse, id, query, 0, 0, retry_after);
  if (query == nullptr || query->closed) return;
  ++counters_.throttled;
  Close(id, *query, Figure::kThrottled)->Throttle(retry_after);
}

void Dispatcher::Fail(RequestId id) {
  Query* query = FindQuery(id);
  CaptureChoice(Record::Choice::kFail, id, query);
  if (query == nullptr || query->closed) return;
  ++counters_.failed;
  Close(id, *query, Figure::kFailed)->Fail();
}

void Dispatcher::Schedule(Micros delay, uint64_t timer) {
  ModuleTimer entry;
  entry.at = scheduler_.Now() + std::max<Micros>(0, delay);
  entry.order = ++timer_sequence_;
  entry.timer_id = timer;
  timers_.push(entry);
  if (entry.at < next_wakeup_) wake_event_.Notify();
}

void Dispatcher::Subscribe() {
  CaptureChoice(Record::Choice::kAsk, 0, nullptr);
  request_list_();
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
