#include "net/agent.h"

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace burlfall {
namespace {

using meadowslip::BackendId;
using meadowslip::Outcome;
using meadowslip::RequestId;

// After the word to end, connections still come for some time; they would be refused without a listener.
constexpr Micros kDrainFor = 800 * kMs;
constexpr Micros kCloseFor = 300 * kMs;  // for links that owe nothing
constexpr Micros kCloseStep = 20 * kMs;
constexpr Micros kIdleForClosing = 200 * kMs;
constexpr Micros kFinishFor = 300 * kMs;  // for the last lines, where what takes them is slow
constexpr Micros kSweepEvery = 500 * kMs;
constexpr Micros kAcceptPause = 10 * kMs;
constexpr Micros kIdleForShedding = 1 * kSecond;
constexpr Micros kUnaskedForShedding = 250 * kMs;  // who has a query sends it once connected
constexpr Micros kUnaskedFor = 2 * kSecond;        // with room to spare, too
constexpr Micros kIdleWhereCrowded = 2 * kSecond;  // no link need stay for longer without a query
constexpr size_t kShedAtOnce = 64;
constexpr size_t kSpareDescriptors = 32;  // the listener, epoll, discovery, the standard streams, and some

size_t LinkBudget(const Config& config) {
  rlimit limit{};
  size_t most = static_cast<size_t>(config.sockets);
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) most = std::min<size_t>(most, limit.rlim_cur);
  return std::max<size_t>(most, 2 * kSpareDescriptors) - kSpareDescriptors;
}

Descriptor Listen(const Address& at) {
  Descriptor fd(socket(at.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int on = 1;
  // Guards a restart: links of the last process that are winding down must not hold the address.
  if (!fd || setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      bind(fd.get(), at.get(), at.length) != 0 || listen(fd.get(), SOMAXCONN) != 0) {
    throw std::system_error(errno, std::generic_category(), "can't listen on " + at.text);
  }
  return fd;
}

}  // namespace

Agent::Agent(Scheduler& scheduler, Config config, const Properties& properties, Outlet& errors)
    : scheduler_(scheduler),
      config_(std::move(config)),
      most_links_(LinkBudget(config_)),
      server_links_(
          scheduler, config_.settings, [this] { return MakeRoom(); }, counters_),
      hosts_(scheduler, config_, server_links_,
             [this](const meadowslip::BackendList& list) {
               ++(list.kind == meadowslip::ListKind::kFailed ? counters_.lists_failed : counters_.lists);
               const Micros now = scheduler_.Now();
               if (capture_) capture_->OnList(now, list);
               balancer_.OnList(now, list, *this);
             }),
      turn_(scheduler),
      sweep_(scheduler),
      balancer_(config_.settings, config_.seed) {
  if (properties.figures.on) {
    figures_ = std::make_unique<Figures>(scheduler, properties.figures, config_.settings, errors, counters_);
  }
  tokens_.Configure(properties.tokens);
  door_.Configure(properties.door);
  if (properties.capture.on) {
    capture_ = std::make_unique<Capture>(scheduler, properties.capture, config_, hosts_, balancer_, errors,
                                         counters_);
  }
  listener_.emplace(scheduler, Listen(config_.listen));
}

uint16_t Agent::port() const {
  sockaddr_storage at{};
  socklen_t length = sizeof at;
  if (!listener_ || getsockname(listener_->fd(), reinterpret_cast<sockaddr*>(&at), &length) != 0) return 0;
  return ntohs(at.ss_family == AF_INET ? reinterpret_cast<sockaddr_in*>(&at)->sin_port
                                       : reinterpret_cast<sockaddr_in6*>(&at)->sin6_port);
}

// ---- Phases ----------------------------------------------------------------------------------------------

void Agent::Start() {
  if (figures_) figures_->Start();
  if (capture_) capture_->Start();
  hosts_.Start();
  phase_ = Phase::kServing;
  turns_ = Turns();
  turns_.Start();
  sweeper_ = Sweep();
  sweeper_.Start();
  accept_ = Accept();
  accept_.Start();
}

void Agent::Drain() {
  if (phase_ != Phase::kServing) return;
  phase_ = Phase::kDraining;
  phase_ends_ = scheduler_.Now() + kDrainFor;
  turn_.Notify();
}

bool Agent::Reload(Config config) {
  const bool same = config.settings == config_.settings && config.listen.text == config_.listen.text &&
                    config.name == config_.name;
  config_.discovery = config.discovery;
  config_.sockets = config.sockets;
  most_links_ = LinkBudget(config_);
  hosts_.Restart();
  return same;
}

void Agent::Reload(const Properties& properties) {
  tokens_.Configure(properties.tokens);
  door_.Configure(properties.door);
  if (figures_) figures_->Reopen();
}

void Agent::Dump() {
  if (capture_) capture_->Dump();
}

void Agent::Finish() {
  if (capture_) capture_->Finish(kFinishFor);
  if (figures_) figures_->Finish(kFinishFor);
}

void Agent::MovePhase() {
  Micros now = scheduler_.Now();
  if (phase_ == Phase::kDraining && now >= phase_ends_) {
    phase_ = Phase::kClosing;
    phase_ends_ = now + kCloseFor;
    accept_ = Task<>();
    AcceptWaiting();  // what has connected before the listener closes is served too
    listener_.reset();
  }
  if (phase_ == Phase::kClosing) {
    // One accepted a moment ago may have its first query on the way: it would be lost.
    ShedUnasked(kIdleForClosing, unasked_.size());
    ShedIdle(kIdleForClosing);
  }
  if (phase_ == Phase::kClosing && owed_ == 0 &&
      ((clients_.empty() && unasked_.empty()) || now >= phase_ends_)) {
    phase_ = Phase::kStopped;
    scheduler_.Stop();
  }
}

// ---- What happens, turn by turn --------------------------------------------------------------------------

// The module is told of results and timers here and nowhere else, so an action of its own never comes back to
// it while it is still deciding.
Task<> Agent::Turns() {
  while (phase_ != Phase::kStopped) {
    std::vector<Result> results;
    results.swap(results_);
    for (Result& result : results) Deliver(std::move(result));
    FireTimers();
    Bury();
    MovePhase();
    wakes_at_ = timers_.empty() ? kNever : timers_.top().at;
    if (phase_ == Phase::kDraining) wakes_at_ = std::min(wakes_at_, phase_ends_);
    if (phase_ == Phase::kClosing) wakes_at_ = std::min(wakes_at_, scheduler_.Now() + kCloseStep);
    co_await turn_.Wait(wakes_at_);
  }
}

void Agent::Post(RequestId id, int attempt, ServerAnswer answer) {
  Result result;
  result.id = id;
  result.attempt = attempt;
  result.answer = std::move(answer);
  results_.push_back(std::move(result));
  turn_.Notify();
}

void Agent::Deliver(Result result) {
  auto it = queries_.find(result.id);
  if (it == queries_.end()) return;
  Query& query = it->second;
  Attempt& attempt = query.attempts[static_cast<size_t>(result.attempt)];
  attempt.task = Task<>();
  --query.out;
  Count(result.answer.outcome);
  if (result.answer.outcome == Outcome::kOk && !query.closed) {
    ++counters_.served;
    Close(result.id, query, Figure::kServed)->Serve(result.answer.message);
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
  if (capture_) capture_->OnResult(now, told);
  balancer_.OnResult(now, told, *this);
}

void Agent::FireTimers() {
  Micros now = scheduler_.Now();
  while (!timers_.empty() && timers_.top().at <= now) {
    uint64_t name = timers_.top().name;
    timers_.pop();
    const Micros at = scheduler_.Now();
    if (capture_) capture_->OnTimer(at, name);
    balancer_.OnTimer(at, name, *this);
  }
}

// Not at once: whoever ended them may still hold them.
void Agent::Bury() {
  for (RequestId id : ended_) {
    auto it = queries_.find(id);
    if (it != queries_.end() && it->second.closed && it->second.out == 0) queries_.erase(it);
  }
  ended_.clear();
  for (ClientLink* link : retired_) (link->asked ? clients_ : unasked_).erase(link->place);
  retired_.clear();
}

// ---- Client links ----------------------------------------------------------------------------------------

Task<> Agent::Accept() {
  while (true) {
    bool all = AcceptWaiting();
    // Without the pause for want of descriptors the listener would never be tried again: no edge tells of the
    // connections that wait already.
    co_await listener_->Wait(all ? kNever : scheduler_.Now() + kAcceptPause);
  }
}

// False where connections are left waiting for want of descriptors or memory.
bool Agent::AcceptWaiting() {
  while (true) {
    // Room is made only as the links shed close. Guards the limit in a burst of connections: a process that
    // holds more than it may is stopped.
    if (links() >= most_links_ + kSpareDescriptors / 2) {
      MakeRoom(kShedAtOnce);
      return false;
    }
    Descriptor fd(accept4(listener_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
    if (!fd && (errno == EINTR || errno == ECONNABORTED || errno == EPROTO)) continue;  // it is gone already
    if (!fd) {
      MakeRoom();
      return false;
    }
    // Without room the link is taken all the same, while the spare descriptors last: its query is ours from
    // the moment the machine has taken it, and waits no longer here than in the machine's backlog.
    MakeRoom();
    ++counters_.client_links;
    unasked_.push_back(std::make_unique<ClientLink>(scheduler_, std::move(fd), *this));
    unasked_.back()->place = std::prev(unasked_.end());
    unasked_.back()->Start();
  }
}

// Whether one more link fits the budget of descriptors. Where it is used up, the client link that has been
// idle longest makes room, since clients come back at little cost, or else an idle server link. A client link
// that was busy, or was accepted, a moment ago is no idle one: its next query may be on its way, and is lost
// if the link closes now.
bool Agent::MakeRoom(size_t wanted) {
  if (links() < most_links_) return true;
  ShedUnasked(kUnaskedForShedding, wanted);
  for (auto& link : clients_) {
    if (!link->IdleSince(scheduler_.Now() - kIdleForShedding)) continue;
    link->Leave();
    return true;
  }
  return hosts_.ShedIdleLink();
}

// Links that have said nothing go first, many at once and soon: clients that open them by hundreds would
// else keep the usual ones, who wait behind them to be accepted, out for seconds. What has come on a link by
// then is still read and answered.
void Agent::ShedUnasked(Micros idle_for, size_t most) {
  const Micros then = scheduler_.Now() - idle_for;
  for (auto link = unasked_.begin(); link != unasked_.end() && most > 0; ++link) {
    if ((*link)->IdleSince(then)) {
      (*link)->Leave();
    } else if ((*link)->UnfinishedSince(then)) {
      (*link)->Cut();
    } else {
      continue;
    }
    --most;
  }
}

void Agent::ShedIdle(Micros idle_for) {
  const Micros then = scheduler_.Now() - idle_for;
  for (auto& link : clients_) {
    if (link->IdleSince(then)) link->Leave();
  }
}

void Agent::Busy(ClientLink& link) {
  ++owed_;
  if (!std::exchange(link.asked, true)) clients_.splice(clients_.end(), unasked_, link.place);
}

void Agent::Free(ClientLink& link) {
  clients_.splice(clients_.end(), clients_, link.place);
  if (--owed_ == 0 && phase_ == Phase::kClosing) turn_.Notify();
}

void Agent::Retire(ClientLink& link) {
  retired_.push_back(&link);
  turn_.Notify();
}

RequestId Agent::Take(Query query) {
  RequestId id = ++last_id_;
  ++counters_.taken;
  if (queries_.size() >= static_cast<size_t>(config_.settings.open_cap)) {
    ++counters_.throttled;
    if (figures_) figures_->Add(query.series, Figure::kThrottled);
    query.client->Throttle(0);
    return id;
  }
  query.request.id = id;
  const Micros now = query.taken_at = scheduler_.Now();
  if (figures_) figures_->Opened(query.series);
  meadowslip::Request request = query.request;
  auto it = queries_.emplace(id, std::move(query)).first;
  if (capture_) capture_->OnQuery(now, it->second);
  balancer_.OnRequest(now, request, *this);
  return id;
}

void Agent::Left(RequestId id) {
  Query* query = Open(id);
  if (query == nullptr) return;
  ++counters_.left;
  Close(id, *query, Figure::kLeft);
  const Micros now = scheduler_.Now();
  if (capture_) capture_->OnClientLeft(now, id);
  balancer_.OnClientLeft(now, id, *this);
}

Task<> Agent::Sweep() {
  while (true) {
    co_await sweep_.Wait(scheduler_.Now() + kSweepEvery);
    hosts_.RetireLinks();
    if (crowded()) ShedIdle(kIdleWhereCrowded);
    ShedUnasked(kUnaskedFor, unasked_.size());  // each is owed an end within 3 s
  }
}

// ---- The module's actions --------------------------------------------------------------------------------

const Query* Agent::Known(RequestId id) const {
  auto it = queries_.find(id);
  return it == queries_.end() ? nullptr : &it->second;
}

Query* Agent::Open(RequestId id) {
  auto it = queries_.find(id);
  return it == queries_.end() || it->second.closed ? nullptr : &it->second;
}

// From here on nothing is owed; the answer is the caller's to give.
ClientLink* Agent::Close(RequestId id, Query& query, Figure how) {
  if (figures_) figures_->Closed(query.series, how, scheduler_.Now() - query.taken_at);
  query.closed = true;
  ended_.push_back(id);
  turn_.Notify();
  return std::exchange(query.client, nullptr);
}

void Agent::Send(RequestId id, BackendId backend, Micros timeout) {
  auto it = queries_.find(id);
  if (it == queries_.end()) return;
  Query& query = it->second;
  int n = static_cast<int>(query.attempts.size());
  if (capture_) capture_->Chose(Record::Choice::kSend, id, &query, backend, n, timeout);
  Attempt& attempt = query.attempts.emplace_back();
  attempt.backend = backend;
  attempt.sent_at = scheduler_.Now();
  ++query.out;
  Micros until = query.request.give_up_at;
  if (timeout > 0) until = std::min(until, attempt.sent_at + timeout);
  Host* host = hosts_.Find(backend);
  if (query.closed || host == nullptr || n >= config_.settings.max_attempts || until <= attempt.sent_at) {
    attempt.ended = true;
    return Post(id, n, ServerAnswer());
  }
  ++counters_.sent;
  if (figures_) figures_->Add(query.series, Figure::kAttempts);
  attempt.task = Try(id, n, *host, until);
  attempt.task.Start();
}

Task<> Agent::Try(RequestId id, int n, Host& host, Micros until) {
  ServerAnswer answer = co_await server_links_.Exchange(host, queries_.at(id).message, until);
  queries_.at(id).attempts[static_cast<size_t>(n)].ended = true;
  Post(id, n, std::move(answer));
}

void Agent::Cancel(RequestId id, int n) {
  if (capture_) capture_->Chose(Record::Choice::kCancel, id, Known(id), 0, n);
  auto it = queries_.find(id);
  if (it == queries_.end() || n < 0 || static_cast<size_t>(n) >= it->second.attempts.size()) return;
  Attempt& attempt = it->second.attempts[static_cast<size_t>(n)];
  if (attempt.ended) return;  // its own outcome is on its way to the module
  attempt.ended = true;
  attempt.task = Task<>();  // closes its link
  ServerAnswer cancelled;
  cancelled.outcome = Outcome::kCancelled;
  Post(id, n, std::move(cancelled));
}

void Agent::Refuse(RequestId id, Micros retry_after) {
  if (capture_) capture_->Chose(Record::Choice::kRefuse, id, Known(id), 0, 0, retry_after);
  Query* query = Open(id);
  if (query == nullptr) return;
  ++counters_.throttled;
  Close(id, *query, Figure::kThrottled)->Throttle(retry_after);
}

void Agent::Fail(RequestId id) {
  if (capture_) capture_->Chose(Record::Choice::kFail, id, Known(id));
  Query* query = Open(id);
  if (query == nullptr) return;
  ++counters_.failed;
  Close(id, *query, Figure::kFailed)->Fail();
}

void Agent::Schedule(Micros delay, uint64_t timer) {
  ModuleTimer set;
  set.at = scheduler_.Now() + std::max<Micros>(0, delay);
  set.order = ++timers_set_;
  set.name = timer;
  timers_.push(set);
  if (set.at < wakes_at_) turn_.Notify();
}

void Agent::Subscribe() {
  if (capture_) capture_->Chose(Record::Choice::kAsk, 0, nullptr);
  hosts_.Subscribe();
}

void Agent::Count(Outcome outcome) {
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
