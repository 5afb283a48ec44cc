#include "front/http_front.h"

#include <algorithm>
#include <iterator>
#include <system_error>
#include <utility>

#include "config/platform.h"

namespace burlfall {
namespace {

constexpr Micros kIdleForClosing = 200 * kMs;
constexpr Micros kFinishedFor = 100 * kMs;  // a round trip, at the end of the process
constexpr Micros kSweepEvery = 500 * kMs;
constexpr Micros kAcceptPause = 10 * kMs;
constexpr Micros kIdleForShedding = 1 * kSecond;
constexpr Micros kUnaskedForShedding = 250 * kMs;  // who has a query sends it once connected
constexpr Micros kUnaskedFor = 2 * kSecond;        // with room to spare, too
constexpr Micros kIdleWhereCrowded = 2 * kSecond;  // no link need stay for longer without a query
constexpr size_t kShedAtOnce = 64;
constexpr size_t kServersPart = 4;  // of what links may use, at least, is left to server links
constexpr size_t kSparePart = 8;    // of clients' links, that wait for no answer
constexpr size_t kLeastHeld = 4096;
constexpr size_t kHeldPart = 8;  // of the memory, by whole bodies; and as much by pieces of those that stream

// Where clients connect: passed on by whoever holds it, or our own.
std::unique_ptr<Listener> DoorOf(const HttpFront::Parts& parts) {
  Network& network = parts.machine.network();
  if (parts.config.passed < 0) return network.Listen(parts.config.listen);
  try {
    return network.Adopt(parts.config.passed);
  } catch (const std::system_error& e) {
    throw BadConfig(std::string(platform::kPassedVariable) + ": " + e.what());
  }
}

}  // namespace

HttpFront::HttpFront(const Parts& parts)
    : parts_(parts),
      classes_(parts.config.settings.classes),
      tenants_(parts.config.settings.tenants),
      listener_(DoorOf(parts)),
      bytes_(static_cast<size_t>(parts.config.memory_mb) * 1024 * 1024 / kHeldPart),
      sweep_(parts.machine.scheduler()),
      bury_(parts.machine.scheduler()) {}

HttpFront::~HttpFront() = default;

uint16_t HttpFront::port() const { return listener_ ? PortOf(listener_->Local()) : 0; }

// ---- States ----------------------------------------------------------------------------------------------

void HttpFront::Open() {
  state_ = State::kOpen;
  burier_ = Bury();
  burier_.Start();
  sweeper_ = Sweep();
  sweeper_.Start();
  Reopen();
}

void HttpFront::Shut() {
  accept_ = Task<>();
  shut_ = true;
}

bool HttpFront::Reopen() {
  if (!std::exchange(shut_, false)) return false;
  accept_ = Accept();
  accept_.Start();
  return true;
}

void HttpFront::PassOn(Passing pass) {
  pass_ = std::move(pass);
  Stir();
}

void HttpFront::Stir() {
  for (auto& link : unasked_) link->Stir();
  for (auto& link : clients_) link->Stir();
}

void HttpFront::Take(std::unique_ptr<Stream> stream, QuietLink link) {
  Links& links = link.asked ? clients_ : unasked_;
  links.push_back(std::make_unique<ClientLink>(std::move(stream), *this, std::move(link)));
  links.back()->place = std::prev(links.end());
  links.back()->Start();
}

void HttpFront::StandAside() { state_ = State::kAside; }

// Links that were idle for a while: those that are in use are told with their next answer.
void HttpFront::ThinOut() {
  ShedUnasked(kIdleForClosing, kUnaskedFor, unasked_.size());  // a query that comes slowly may come
  ShedIdle(kIdleForClosing);
}

void HttpFront::ComeBack() { state_ = State::kOpen; }

void HttpFront::Leave() { state_ = State::kLeaving; }

void HttpFront::Close() {
  state_ = State::kClosing;
  if (!shut_) {
    Shut();
    AcceptWaiting();
  }
  listener_.reset();
}

bool HttpFront::Closed(bool hurry) {
  // One accepted a moment ago may have its first query on the way: it would be lost.
  ShedUnasked(kIdleForClosing, kIdleForClosing, unasked_.size());
  ShedIdle(kIdleForClosing);
  // Guards the last answers: what came behind them is read and dropped first, or the end of the process would
  // reset their links.
  const bool told = parts_.machine.Now() >= finished_at_ + kFinishedFor;
  const auto ended = [](const auto& link) { return link->Ended(); };
  const bool all = std::ranges::all_of(unasked_, ended) && std::ranges::all_of(clients_, ended);
  return owed_ == 0 && (open() == 0 || (told && (hurry || all)));
}

// ---- Client links ----------------------------------------------------------------------------------------

Task<> HttpFront::Accept() {
  while (true) {
    bool all = AcceptWaiting();
    // Without the pause for want of descriptors the listener would never be tried again: no edge tells of the
    // connections that wait already.
    co_await listener_->Wait(all ? kNever : parts_.machine.Now() + kAcceptPause);
  }
}

// False where connections are left waiting for want of descriptors or memory.
bool HttpFront::AcceptWaiting() {
  while (true) {
    // Room is made only as the links shed close. Guards the limit in a burst of connections: a process that
    // holds more than it may is stopped.
    const size_t most = parts_.budget.max_links();
    const bool over = parts_.config.in_service && open() >= most - most / kServersPart;
    if (over || parts_.budget.open() >= most + parts_.budget.spare() / 2) {
      // Beside those that end already. Guards the links that may stay: one that waits for its client's end is
      // still counted, and each look for room would shed as many more.
      const size_t wanted = kShedAtOnce - std::min(Ending(), kShedAtOnce);
      if (wanted > 0) over ? ReleaseIdle(wanted) : parts_.budget.EnsureCapacity(wanted);
      return false;
    }
    std::unique_ptr<Stream> stream;
    switch (listener_->Accept(stream)) {
      case Listener::Accepted::kNone:
        return true;
      case Listener::Accepted::kNoRoom:
        parts_.budget.EnsureCapacity();
        return false;
      case Listener::Accepted::kOne:
        break;
    }
    // Without room the link is taken all the same, while the spare descriptors last: its query is ours from
    // the moment the machine has taken it, and waits no longer here than in the machine's backlog.
    parts_.budget.EnsureCapacity();
    ++parts_.counters.client_links;
    unasked_.push_back(std::make_unique<ClientLink>(std::move(stream), *this));
    unasked_.back()->place = std::prev(unasked_.end());
    unasked_.back()->Start();
  }
}

// Links that end, and wait for their client's end at most.
size_t HttpFront::Ending() const {
  const auto ends = [](const auto& link) { return link->Ending(); };
  return static_cast<size_t>(std::count_if(unasked_.begin(), unasked_.end(), ends) +
                             std::count_if(clients_.begin(), clients_.end(), ends));
}

// Clients come back at little cost. What has come on a link by then is still read and answered.
bool HttpFront::ReleaseIdle(size_t wanted) {
  if (!parts_.config.in_service) return MakeRoomByAge(wanted);
  const Micros now = parts_.machine.Now();
  std::vector<ClientLink*> links;
  std::vector<LinkStatus> statuses;
  for (const Links* some : {&unasked_, &clients_}) {
    for (const auto& link : *some) {
      links.push_back(link.get());
      statuses.push_back(link->Status(now));
    }
  }
  const std::vector<size_t> first = ChooseLinksToClose(statuses, wanted);
  for (size_t i : first) {
    statuses[i].activity == LinkStatus::Activity::kPartialQuery ? links[i]->Cut() : links[i]->Leave();
  }
  return !first.empty();
}

// The client link that has been idle longest makes room. One that was busy, or was accepted, a moment ago is
// no idle one: its next query may be on its way, and is lost if the link closes now.
bool HttpFront::MakeRoomByAge(size_t wanted) {
  ShedUnasked(kUnaskedForShedding, kUnaskedForShedding, wanted);
  for (auto& link : clients_) {
    if (!link->IdleSince(parts_.machine.Now() - kIdleForShedding)) continue;
    link->Leave();
    return true;
  }
  return false;
}

// Links that have said nothing go first, many at once and soon: clients that open them by hundreds would
// else keep the usual ones, who wait behind them to be accepted, out for seconds. What has come on a link by
// then is still read and answered.
void HttpFront::ShedUnasked(Micros idle_for, Micros unfinished_for, size_t most) {
  const Micros now = parts_.machine.Now(), then = now - idle_for;
  for (auto link = unasked_.begin(); link != unasked_.end() && most > 0; ++link) {
    if ((*link)->IdleSince(then)) {
      (*link)->Leave();
    } else if (parts_.config.in_service ? (*link)->StalledSince(now - unfinished_for)
                                        : (*link)->UnfinishedSince(now - unfinished_for)) {
      (*link)->Cut();
    } else {
      continue;
    }
    --most;
  }
}

void HttpFront::ShedIdle(Micros idle_for) {
  const Micros then = parts_.machine.Now() - idle_for;
  for (auto& link : clients_) {
    if (link->IdleSince(then)) link->Leave();
  }
}

Task<> HttpFront::Sweep() {
  while (true) {
    co_await sweep_.Wait(parts_.machine.Now() + kSweepEvery);
    if (crowded()) ShedIdle(kIdleWhereCrowded);
    ShedUnasked(kUnaskedFor, kUnaskedFor, unasked_.size());  // each is owed an end within 3 s
  }
}

// Of the links that clients may have an eighth stays for those that come meanwhile, to be told when to come
// back. Guards the queries behind them: they would wait in the machine's line until their clients give up,
// since each link that is there waits for an answer.
size_t HttpFront::most_queries() const {
  const size_t most = parts_.budget.max_links();
  const size_t links = parts_.config.in_service ? most - most / kServersPart : most;
  return links - std::max<size_t>(1, links / kSparePart);
}

// All of them together stay within an eighth of the memory, however many links there are.
size_t HttpFront::most_held() const {
  const size_t links = static_cast<size_t>(parts_.config.sockets) / 2;
  const size_t all = static_cast<size_t>(parts_.config.memory_mb) * 1024 * 1024 / kHeldPart;
  return std::clamp(all / links, kLeastHeld, kMaxHeldBody);
}

void HttpFront::Busy(ClientLink& link) {
  ++owed_;
  if (!std::exchange(link.asked, true)) clients_.splice(clients_.end(), unasked_, link.place);
}

void HttpFront::Free(ClientLink& link) {
  clients_.splice(clients_.end(), clients_, link.place);
  if (--owed_ == 0 && state_ == State::kClosing) nothing_owed_();
}

void HttpFront::Retire(ClientLink& link) {
  retired_.push_back(&link);
  bury_.Notify();
}

// Not at once: a link that retires is still running.
Task<> HttpFront::Bury() {
  while (true) {
    co_await bury_.Wait();
    for (ClientLink* link : retired_) (link->asked ? clients_ : unasked_).erase(link->place);
    retired_.clear();
  }
}

}  // namespace burlfall
