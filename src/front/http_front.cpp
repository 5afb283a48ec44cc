#include "front/http_front.h"

#include <algorithm>
#include <iterator>
#include <system_error>
#include <utility>

#include "config/platform.h"

namespace burlfall {
namespace {

constexpr Micros kIdleForClosing = 200 * kMs;
constexpr Micros kFinishGrace = 100 * kMs;  // a round trip, before the process ends
constexpr Micros kSweepInterval = 500 * kMs;
constexpr Micros kAcceptRetryDelay = 10 * kMs;
constexpr Micros kIdleForShedding = 1 * kSecond;
constexpr Micros kNewLinkIdleForShedding = 250 * kMs;  // a client with a query sends it once connected
constexpr Micros kNewLinkTimeout = 2 * kSecond;        // even if descriptors are plentiful
constexpr Micros kIdleTimeoutCrowded = 2 * kSecond;    // links need not stay open for longer without a query
constexpr size_t kMaxShedAtOnce = 64;
constexpr size_t kMaxAcceptedPerTurn = 64;
constexpr size_t kServerLinksDivisor = 4;  // at least a quarter of the link budget is left to server links
constexpr size_t kSpareLinksDivisor = 8;   // an eighth of the client links is kept free of open queries

// Adopts the listener that was passed to the process, or opens one.
std::unique_ptr<Listener> OpenListener(const HttpFront::Parts& parts) {
  Network& network = parts.machine.network();
  if (parts.config.passed_listener < 0) return network.Listen(parts.config.listen);
  try {
    return network.Adopt(parts.config.passed_listener);
  } catch (const std::system_error& e) {
    throw BadConfig(std::string(platform::kPassedVariable) + ": " + e.what());
  }
}

}  // namespace

HttpFront::HttpFront(const Parts& parts)
    : parts_(parts),
      admission_(parts.machine, parts.config, parts.tokens, parts.rate_limiter, parts.not_ready,
                 parts.counters),
      classes_(parts.config.settings.classes),
      tenants_(parts.config.settings.tenants),
      listener_(OpenListener(parts)),
      sweep_event_(parts.machine.scheduler()),
      erase_event_(parts.machine.scheduler()) {}

HttpFront::~HttpFront() = default;

uint16_t HttpFront::port() const { return listener_ ? PortOf(listener_->Local()) : 0; }

// ---- States ----------------------------------------------------------------------------------------------

void HttpFront::Open() {
  state_ = State::kOpen;
  erase_task_ = EraseEnded();
  erase_task_.Start();
  sweep_task_ = Sweep();
  sweep_task_.Start();
  StartAccepting();
}

void HttpFront::StopAccepting() {
  accept_task_ = Task<>();
  not_accepting_ = true;
}

bool HttpFront::StartAccepting() {
  if (!std::exchange(not_accepting_, false)) return false;
  accept_task_ = Accept();
  accept_task_.Start();
  return true;
}

void HttpFront::HandOverLinks(HandOverLink hand_over) {
  hand_over_link_ = std::move(hand_over);
  WakeLinks();
}

void HttpFront::WakeLinks() {
  for (auto& link : new_links_) link->WakeUp();
  for (auto& link : used_links_) link->WakeUp();
}

void HttpFront::AdoptLink(std::unique_ptr<Stream> stream, HandedOverLink link) {
  Links& links = link.had_query ? used_links_ : new_links_;
  links.push_back(std::make_unique<ClientLink>(std::move(stream), *this, std::move(link)));
  links.back()->position = std::prev(links.end());
  links.back()->Start();
}

void HttpFront::DrainManually() { state_ = State::kDrainedManually; }

// Closes links that have been idle for a while; those in use are closed after their next answer.
void HttpFront::CloseIdleLinks() {
  ShedNewLinks(kIdleForClosing, kNewLinkTimeout, new_links_.size());  // a slow query may still complete
  ShedIdleLinks(kIdleForClosing);
}

void HttpFront::EndManualDrain() { state_ = State::kOpen; }

void HttpFront::StartLeaving() { state_ = State::kLeaving; }

void HttpFront::Close() {
  state_ = State::kClosing;
  if (!not_accepting_) {
    StopAccepting();
    while (AcceptWaiting(kMaxAcceptedPerTurn) == Accepting::kMoreWait) continue;
  }
  listener_.reset();
}

bool HttpFront::TryFinishClosing(bool hurry) {
  // A link accepted a moment ago may have its first query on the way, which would be lost.
  ShedNewLinks(kIdleForClosing, kIdleForClosing, new_links_.size());
  ShedIdleLinks(kIdleForClosing);
  // Bytes behind the last answers are read and dropped first: otherwise the end of the process would reset
  // the links before the clients have read their answers.
  const bool linger_over = parts_.machine.Now() >= finished_at_ + kFinishGrace;
  const auto ended = [](const auto& link) { return link->Ended(); };
  const bool all = std::ranges::all_of(new_links_, ended) && std::ranges::all_of(used_links_, ended);
  return open_queries_ == 0 && (open() == 0 || (linger_over && (hurry || all)));
}

// ---- Client links ----------------------------------------------------------------------------------------

Task<> HttpFront::Accept() {
  while (true) {
    const Accepting result = AcceptWaiting(kMaxAcceptedPerTurn);
    if (result == Accepting::kMoreWait) {
      co_await listener_->NextTurn();
      continue;
    }
    // When descriptors are short, accepting is retried after a pause: the edge-triggered listener does not
    // report connections that already wait.
    const bool all = result == Accepting::kAllAccepted;
    connections_wait_ = !all;
    co_await listener_->Wait(all ? kNever : parts_.machine.Now() + kAcceptRetryDelay);
  }
}

HttpFront::Accepting HttpFront::AcceptWaiting(size_t limit) {
  for (size_t accepted = 0; accepted < limit; ++accepted) {
    // Descriptors become free only as shed links close. In a burst of connections the limit must hold all the
    // same: a process that exceeds it is stopped.
    const size_t capacity = parts_.budget.max_links();
    const bool over_client_share =
        parts_.config.in_service && open() >= capacity - capacity / kServerLinksDivisor;
    if (over_client_share || parts_.budget.open() >= parts_.budget.hard_limit()) {
      // Links that are already ending still count, so they are subtracted: otherwise each pass would shed as
      // many more, and close links that may stay.
      const size_t wanted = kMaxShedAtOnce - std::min(Ending(), kMaxShedAtOnce);
      if (wanted > 0) over_client_share ? ReleaseIdle(wanted) : parts_.budget.EnsureCapacity(wanted);
      return Accepting::kNoResources;
    }
    std::unique_ptr<Stream> stream;
    switch (listener_->Accept(stream)) {
      case Listener::Accepted::kNone:
        return Accepting::kAllAccepted;
      case Listener::Accepted::kNoResources:
        parts_.budget.EnsureCapacity();
        return Accepting::kNoResources;
      case Listener::Accepted::kOne:
        break;
    }
    // At the limit the link is accepted all the same while spare descriptors last: the operating system has
    // already accepted its query, which waits no longer here than in the backlog.
    parts_.budget.EnsureCapacity();
    ++parts_.counters.client_links;
    new_links_.push_back(std::make_unique<ClientLink>(std::move(stream), *this));
    new_links_.back()->position = std::prev(new_links_.end());
    new_links_.back()->Start();
  }
  return Accepting::kMoreWait;
}

// Counts the links that are ending, or only wait for their client to close.
size_t HttpFront::Ending() const {
  const auto ends = [](const auto& link) { return link->Ending(); };
  return static_cast<size_t>(std::count_if(new_links_.begin(), new_links_.end(), ends) +
                             std::count_if(used_links_.begin(), used_links_.end(), ends));
}

// Closes client links: reconnecting costs clients little. Queries already received are still answered.
bool HttpFront::ReleaseIdle(size_t wanted) {
  if (!parts_.config.in_service) return ReleaseIdleByAge(wanted);
  const Micros now = parts_.machine.Now();
  std::vector<ClientLink*> links;
  std::vector<LinkStatus> statuses;
  for (const Links* some : {&new_links_, &used_links_}) {
    for (const auto& link : *some) {
      links.push_back(link.get());
      statuses.push_back(link->Status(now));
    }
  }
  const std::vector<size_t> first = ChooseLinksToClose(statuses, wanted);
  parts_.counters.closed_short += first.size();
  for (size_t i : first) {
    statuses[i].activity == LinkStatus::Activity::kPartialQuery ? links[i]->AbortUnfinished()
                                                                : links[i]->CloseWhenIdle();
  }
  return !first.empty();
}

// Closes the client link that has been idle longest. A link that was busy or accepted a moment ago does not
// count as idle: its next query may be on its way, and would be lost.
bool HttpFront::ReleaseIdleByAge(size_t wanted) {
  ShedNewLinks(kNewLinkIdleForShedding, kNewLinkIdleForShedding, wanted);
  for (auto& link : used_links_) {
    if (!link->IdleSince(parts_.machine.Now() - kIdleForShedding)) continue;
    link->CloseWhenIdle();
    return true;
  }
  return false;
}

// Closes links that never carried a query, many at once and early: clients that open them by the hundred
// would otherwise block ordinary clients, which wait behind them to be accepted, for seconds. Queries already
// received are still answered.
void HttpFront::ShedNewLinks(Micros idle_for, Micros unfinished_for, size_t limit) {
  const Micros now = parts_.machine.Now(), then = now - idle_for;
  for (auto link = new_links_.begin(); link != new_links_.end() && limit > 0; ++link) {
    if ((*link)->IdleSince(then)) {
      (*link)->CloseWhenIdle();
    } else if (parts_.config.in_service ? (*link)->StalledSince(now - unfinished_for)
                                        : (*link)->UnfinishedSince(now - unfinished_for)) {
      (*link)->AbortUnfinished();
    } else {
      continue;
    }
    --limit;
  }
}

void HttpFront::ShedIdleLinks(Micros idle_for) {
  const Micros then = parts_.machine.Now() - idle_for;
  for (auto& link : used_links_) {
    if (link->IdleSince(then)) link->CloseWhenIdle();
  }
}

Task<> HttpFront::Sweep() {
  while (true) {
    co_await sweep_event_.Wait(parts_.machine.Now() + kSweepInterval);
    if (crowded()) ShedIdleLinks(kIdleTimeoutCrowded);
    ShedNewLinks(kNewLinkTimeout, kNewLinkTimeout, new_links_.size());  // each must end within 3 s
  }
}

// An eighth of the client links is kept free of open queries, so that further clients can be accepted and
// told when to retry. If every link waited for an answer, new connections would wait in the listen backlog
// until their clients give up.
size_t HttpFront::max_open_queries() const {
  const size_t capacity = parts_.budget.max_links();
  const size_t links = parts_.config.in_service ? capacity - capacity / kServerLinksDivisor : capacity;
  return links - std::max<size_t>(1, links / kSpareLinksDivisor);
}

bool HttpFront::FreeRequestMemory(size_t wanted, const ClientLink& wanting) {
  const Micros now = parts_.machine.Now();
  std::vector<ClientLink*> links;
  std::vector<HeldRequestBytes> held;
  for (const Links* some : {&new_links_, &used_links_}) {
    for (const auto& link : *some) {
      if (link.get() == &wanting) continue;
      links.push_back(link.get());
      held.push_back(link->HeldBytes(now));
    }
  }
  const std::vector<size_t> chosen = ChooseLinksToFree(held, wanted);
  for (size_t i : chosen) links[i]->RefuseForMemory();
  return !chosen.empty();
}

void HttpFront::OnQueryStarted(ClientLink& link) {
  ++open_queries_;
  if (!std::exchange(link.had_query, true)) used_links_.splice(used_links_.end(), new_links_, link.position);
}

void HttpFront::OnQueryEnded(ClientLink& link) {
  used_links_.splice(used_links_.end(), used_links_, link.position);
  if (--open_queries_ == 0 && state_ == State::kClosing) all_answered_();
}

void HttpFront::OnLinkEnded(ClientLink& link) {
  ended_links_.push_back(&link);
  erase_event_.Notify();
}

// Erases ended links later, because a link that reports its end is still running.
Task<> HttpFront::EraseEnded() {
  while (true) {
    co_await erase_event_.Wait();
    for (ClientLink* link : ended_links_) (link->had_query ? used_links_ : new_links_).erase(link->position);
    ended_links_.clear();
  }
}

}  // namespace burlfall
