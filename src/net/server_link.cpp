#include "net/server_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "net/platform.h"

namespace burlfall {
namespace {

using meadowslip::BackendState;
using meadowslip::Outcome;

// Of the time after which the server's machine closes an idle link. Guards against a query that crosses that
// close: it would end as a reset, and an unsafe one could not be sent again.
constexpr double kKeepShare = 0.7;

// A reset that comes so soon after a query, with nothing before it, is about the link and not the query.
constexpr Micros kResetAtOnce = 10 * kMs;
constexpr Micros kFirstPlace = 16 * kMs;
constexpr Micros kRemembered = 10 * kSecond;
constexpr int kLeastResets = 3;
constexpr int kMostSeen = 64;
constexpr int kBadPart = 4;  // a link is of no use where one in so many is reset

std::string WriteQuery(const HttpMessage& query, Micros patience) {
  std::string out;
  out.reserve(512 + query.body.size());
  out.append(query.method).append(" ").append(query.target).append(" HTTP/1.1\r\n");
  AppendEndToEnd(out, query, platform::kExpiresIn);
  AppendHeader(out, platform::kExpiresIn, std::to_string(patience) + "u");
  if (!query.body.empty() || query.method != "GET") {
    AppendHeader(out, "Content-Length", std::to_string(query.body.size()));
  }
  return out.append("\r\n").append(query.body);
}

Outcome ToOutcome(const HttpMessage& answer) {
  if (answer.status == 200) return Outcome::kOk;
  const std::string* never_ran = answer.Find(platform::kNeverRan);
  bool turned_away =
      (answer.status == 503 || answer.status == 504) && never_ran != nullptr && *never_ran == "1";
  return turned_away ? Outcome::kFull : Outcome::kError;
}

}  // namespace

Descriptor OpenConnection(const Address& to) {
  Descriptor fd(socket(to.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  int on = 1;
  setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect(fd.get(), to.get(), to.length) != 0 && errno != EINPROGRESS) {
    int why = errno;
    fd = Descriptor();
    errno = why;
  }
  return fd;
}

Task<bool> Connected(Socket& socket, Micros until) {
  while (true) {
    int error = 0;
    socklen_t length = sizeof error;
    if (getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) co_return false;
    sockaddr_storage peer;
    length = sizeof peer;
    if (getpeername(socket.fd(), reinterpret_cast<sockaddr*>(&peer), &length) == 0) co_return true;
    bool notified = co_await socket.Wait(until);
    if (!notified) co_return false;
  }
}

ServerLink::ServerLink(ServerLinks& links, Descriptor fd, uint64_t era)
    : Socket(links.scheduler_, std::move(fd)), links_(links), era_(era) {
  ++links_.open_;
}

ServerLink::~ServerLink() { --links_.open_; }

size_t IdleRecord::Place(Micros idle) {
  size_t place = 0;
  while (place + 1 < std::tuple_size_v<decltype(seen_)> && idle >= kFirstPlace << place) ++place;
  return place;
}

void IdleRecord::NoteUse(Micros idle, Micros now) {
  Seen& seen = seen_[Place(idle)];
  if (now - seen.since > kRemembered) seen = {0, 0, now};
  ++seen.used;
  if (seen.used >= kMostSeen) seen = {seen.used / 2, seen.reset / 2, now};
}

// A link that was idle for longer than one that is of no use is of none either.
bool IdleRecord::Usable(Micros idle, Micros now) const {
  return std::none_of(seen_.begin(), seen_.begin() + static_cast<std::ptrdiff_t>(Place(idle)) + 1,
                      [&](const Seen& seen) {
                        return now - seen.since <= kRemembered && seen.reset >= kLeastResets &&
                               seen.reset * kBadPart >= seen.used;
                      });
}

ServerLinks::ServerLinks(Scheduler& scheduler, const meadowslip::Settings& settings, Room room,
                         Counters& counters)
    : scheduler_(scheduler),
      keep_for_(static_cast<Micros>(static_cast<double>(settings.keepalive) * kKeepShare)),
      connect_timeout_(settings.connect_timeout),
      room_(std::move(room)),
      counters_(counters) {}

Task<ServerAnswer> ServerLinks::Exchange(Host& host, const HttpMessage& query, Micros until) {
  // What is written is kept in this frame: the query may be gone before the attempt is.
  std::string bytes = WriteQuery(query, std::max<Micros>(0, until - scheduler_.Now()));
  ServerAnswer answer;
  std::unique_ptr<ServerLink> link = Reuse(host);
  const Micros idle_since = link ? link->idle_since_ : kNever;
  if (!link) {
    if (!room_()) co_return answer;  // moot: the host is not at fault
    Descriptor fd = OpenConnection(host.address);
    // Nor is it where this process has no descriptor or port left: that must not put a good host to sleep.
    bool ours = !fd && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM ||
                        errno == EADDRNOTAVAIL);
    if (ours) co_return answer;
    answer.outcome = Outcome::kConnectFailed;
    if (!fd) co_return answer;
    ++counters_.server_links;
    link = std::make_unique<ServerLink>(*this, std::move(fd), host.era);
    Micros comes_up_by = scheduler_.Now() + connect_timeout_;
    bool connected = co_await Connected(*link, std::min(until, comes_up_by));
    if (!connected) {
      // A query that ran out of time first says nothing about the host.
      if (until < comes_up_by && scheduler_.Now() >= until) answer.outcome = Outcome::kMoot;
      co_return answer;
    }
    // Guards the drain rule: the host may have been withdrawn while the connection came up.
    if (host.state != BackendState::kReady) co_return answer;
  }
  answer.outcome = Outcome::kConnectFailed;  // until the last byte is written it can't have run
  for (std::string_view rest = bytes; !rest.empty();) {
    Io io = link->Write(rest);
    if (io == Io::kBroken) co_return answer;
    if (rest.empty()) break;
    bool notified = co_await link->Wait(until);
    if (!notified) co_return answer;
  }
  answer.outcome = Outcome::kReset;  // from here on it may have run
  const Micros written = scheduler_.Now();
  const Micros idle = idle_since == kNever ? -1 : written - idle_since;
  if (idle >= 0) idle_record_.NoteUse(idle, written);
  HttpParser parser(HttpParser::Kind::kResponse);
  std::string in;
  Parsed parsed = Parsed::kMore;
  while (parsed == Parsed::kMore) {
    Io io = link->Read(in);
    if (io == Io::kSome) {
      parsed = parser.Feed(in);
    } else if (io == Io::kLater) {
      bool notified = co_await link->Wait(until);
      if (notified) continue;
      answer.outcome = Outcome::kTimeout;
      co_return answer;
    } else {
      if (idle >= 0 && in.empty() && scheduler_.Now() - written < kResetAtOnce) idle_record_.NoteReset(idle);
      if (io == Io::kBroken || parser.Closed() != Parsed::kDone) co_return answer;
      parsed = Parsed::kDone;
    }
  }
  answer.outcome = Outcome::kError;  // an answer that can't be understood
  if (parsed != Parsed::kDone) co_return answer;
  answer.message = parser.Take();
  answer.outcome = ToOutcome(answer.message);
  if (answer.message.keep_alive && in.empty()) Keep(host, std::move(link));
  co_return answer;
}

std::unique_ptr<ServerLink> ServerLinks::Reuse(Host& host) {
  while (!host.idle.empty()) {
    std::unique_ptr<ServerLink> link = std::move(host.idle.back());
    host.idle.pop_back();
    if (Usable(host, *link)) return link;
  }
  return nullptr;
}

// Guards against a query on a link that its server has closed: it would end as a reset.
bool ServerLinks::Usable(const Host& host, const ServerLink& link) const {
  const Micros now = scheduler_.Now(), idle = now - link.idle_since_;
  return link.era_ == host.era && idle < keep_for_ && idle_record_.Usable(idle, now) && link.Quiet();
}

void ServerLinks::Keep(Host& host, std::unique_ptr<ServerLink> link) {
  if (host.state != BackendState::kReady || link->era_ != host.era) return;
  link->idle_since_ = scheduler_.Now();
  host.idle.push_back(std::move(link));
}

void ServerLinks::Retire(Host& host) {
  if (host.state != BackendState::kReady) return host.idle.clear();
  std::erase_if(host.idle, [&](const std::unique_ptr<ServerLink>& link) { return !Usable(host, *link); });
}

}  // namespace burlfall
