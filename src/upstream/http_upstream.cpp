#include "upstream/http_upstream.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "config/platform.h"

namespace burlfall {
namespace {

using meadowslip::BackendState;
using meadowslip::Outcome;

// Of the time after which the server's machine closes an idle link. Guards against a query that crosses that
// close: it would end as a reset, and an unsafe one could not be sent again.
constexpr double kKeepShare = 0.7;

// A reset that comes so soon after a query, with nothing before it, is about the link and not the query.
constexpr Micros kResetAtOnce = 10 * kMs;

// From a chunked answer's first bytes until it is passed on, if it has not come whole by then.
constexpr Micros kGoOn = 100 * kMs;
// A second answer comes some milliseconds after the first: so long links of a server that gave one rest,
// until it has given none for a while.
constexpr Micros kRest = 50 * kMs;
constexpr Micros kUnaskedRemembered = 600 * kSecond;
// A server that takes or gives nothing of a message for so long has given up on it.
constexpr Micros kStreamPatience = 10 * kSecond;

// More than any sound answer that is held comes in.
constexpr int kPiecesATurn = 16;

std::string WriteQuery(const HttpPayload& query, Micros patience) {
  std::string out;
  out.reserve(512 + (query.body.size() <= kMaxHeldBody ? query.body.size() : 0));
  out.append(query.method).append(" ").append(query.target).append(" HTTP/1.1\r\n");
  AppendEndToEnd(out, query, platform::kExpiresIn);
  AppendHeader(out, platform::kExpiresIn, std::to_string(patience) + "u");
  const bool chunked = query.body_rest && !query.body_rest->length;
  if (chunked) {
    AppendHeader(out, "Transfer-Encoding", "chunked");
  } else if (!query.body.empty() || query.body_rest || (query.method != "GET" && query.method != "HEAD")) {
    AppendHeader(out, "Content-Length",
                 std::to_string(query.body_rest ? *query.body_rest->length : query.body.size()));
  }
  out.append("\r\n");
  if (chunked && !query.body.empty()) {
    AppendChunk(out, query.body);
  } else if (query.body.size() <= kMaxHeldBody) {  // a larger one is not copied, it follows by itself
    out.append(query.body);
  }
  return out;
}

Outcome ToOutcome(const HttpMessage& answer) {
  if (answer.status == 200) return Outcome::kOk;
  const std::string* never_ran = answer.Find(platform::kNeverRan);
  bool turned_away =
      (answer.status == 503 || answer.status == 504) && never_ran != nullptr && *never_ran == "1";
  return turned_away ? Outcome::kFull : Outcome::kError;
}

}  // namespace

HttpUpstream::Link::Link(HttpUpstream& upstream, std::unique_ptr<Stream> to, uint64_t host_era)
    : owner(upstream), stream(std::move(to)), era(host_era) {
  ++owner.open_;
}

HttpUpstream::Link::~Link() { --owner.open_; }

// The rest of an answer, straight from its server's link: what is not taken here is not read there.
class HttpUpstream::Download final : public BodySource {
 public:
  Download(HttpUpstream& upstream, std::shared_ptr<const Host> host, std::unique_ptr<Link> link,
           HttpParser parser, std::string in, bool keep_alive)
      : upstream_(upstream),
        host_(std::move(host)),
        link_(std::move(link)),
        parser_(std::move(parser)),
        in_(std::move(in)),
        keep_alive_(keep_alive) {
    length = parser_.length();
  }

  Next Take(std::string& into) override {
    while (!over_) {
      if (!parser_.body().empty()) {
        into.append(parser_.body());
        parser_.body().clear();
        return Next::kSome;
      }
      if (parsed_ == Parsed::kDone) {
        over_ = Next::kDone;
        if (keep_alive_ && in_.empty()) upstream_.Keep(*host_, std::move(link_));
      } else if (parsed_ != Parsed::kMore) {
        over_ = Next::kBroken;
      } else {
        const Io io = link_->stream->Read(in_);
        if (io == Io::kLater) return Next::kLater;
        parsed_ = io == Io::kSome     ? parser_.Feed(in_)
                  : io == Io::kClosed ? parser_.OnPeerClosed()
                                      : Parsed::kBad;
      }
    }
    if (link_) link_->stream->Close();
    return *over_;
  }
  Signal& signal() override { return *link_->stream; }

 private:
  HttpUpstream& upstream_;
  const std::shared_ptr<const Host> host_;  // an answer may take longer than its host is known
  std::unique_ptr<Link> link_;
  HttpParser parser_;
  std::string in_;
  const bool keep_alive_;
  Parsed parsed_ = Parsed::kMore;
  std::optional<Next> over_;
};

HttpUpstream::HttpUpstream(Machine& machine, const meadowslip::Settings& settings, const HostGroup& hosts,
                           LinkBudget& budget, Counters& counters, bool large)
    : scheduler_(machine.scheduler()),
      network_(machine.network()),
      hosts_(hosts),
      budget_(budget),
      keep_for_(static_cast<Micros>(static_cast<double>(settings.keepalive) * kKeepShare)),
      connect_timeout_(settings.connect_timeout),
      counters_(counters),
      large_(large) {}

Task<ServerAnswer> HttpUpstream::Exchange(meadowslip::BackendId to, const Payload& query, Micros until,
                                          Micros whole_by) {
  return Attempt(hosts_.Hold(to), static_cast<const HttpPayload&>(query), until, std::min(until, whole_by));
}

// False where the connection broke, or its time or its client's end came first. Unlike WriteAll() it writes
// nothing after that, also where there is room at once and this process stood still: guards a server against
// a query that comes too late.
Task<bool> HttpUpstream::WriteWhole(Stream& to, const Payload& query, std::string_view bytes, Micros until) {
  while (!bytes.empty()) {
    if (query.closed || scheduler_.Now() >= until || to.Write(bytes) == Io::kBroken) co_return false;
    if (!bytes.empty()) co_await to.Wait(until);
  }
  co_return true;
}

// The rest of a query, as it comes: kDone where its last byte was written, kBroken where the server took no
// more, kLater where the client did not give it.
Task<BodySource::Next> HttpUpstream::SendRest(Stream& to, std::shared_ptr<BodySource> body_rest) {
  using Next = BodySource::Next;
  std::string piece, out;
  while (true) {
    piece.clear();
    const Next next = body_rest->Take(piece);
    if (next == Next::kBroken) co_return Next::kLater;
    if (next == Next::kLater) {
      co_await body_rest->signal().Wait();  // whoever makes it ends it where it stalls
      continue;
    }
    if (!body_rest->length) {
      out.clear();
      AppendChunk(out, piece);  // with the last one, which is empty
      piece.swap(out);
    }
    bool written = co_await WriteAll(to, piece, scheduler_.Now() + kStreamPatience);
    if (!written) co_return Next::kBroken;
    if (next == Next::kDone) co_return Next::kDone;
  }
}

Task<ServerAnswer> HttpUpstream::Attempt(std::shared_ptr<const Host> held, const HttpPayload& query,
                                         Micros until, Micros whole_by) {
  const Host& host = *held;
  // The query is there as long as any attempt of it.
  const std::shared_ptr<BodySource> body_rest = query.body_rest;
  const bool no_body = query.method == "HEAD";
  ServerAnswer answer;
  std::unique_ptr<Link> link = Reuse(host);
  const Micros idle_since = link ? link->idle_since : kNever;
  if (!link) {
    if (!budget_.EnsureCapacity()) co_return answer;  // moot: the host is not at fault
    NoConnection why = NoConnection::kRefused;
    std::unique_ptr<Stream> stream = network_.Connect(host.address, why);
    // Nor is it where this process has no descriptor or port left: that must not put a good host to sleep.
    if (!stream && why == NoConnection::kNoRoom) co_return answer;
    answer.outcome = Outcome::kConnectFailed;
    if (!stream) co_return answer;
    ++counters_.server_links;
    link = std::make_unique<Link>(*this, std::move(stream), host.era);
    Micros comes_up_by = scheduler_.Now() + connect_timeout_;
    bool connected = co_await Connected(*link->stream, std::min(whole_by, comes_up_by));
    // A query that ran out of time first says nothing about the host. Also of one that came up in time: this
    // process may have stood still since.
    if (scheduler_.Now() >= whole_by && (connected || whole_by < comes_up_by))
      answer.outcome = Outcome::kMoot;
    // Nor does one whose client left, or was answered, meanwhile: it is begun no more, also where attempts
    // may not be cancelled.
    if (query.closed) answer.outcome = Outcome::kMoot;
    if (!connected || answer.outcome == Outcome::kMoot) co_return answer;
    // Guards the drain rule: the host may have been withdrawn while the connection came up. Where it has come
    // back since, or has moved, this link leads to its earlier life, which says nothing of the one that is
    // there now.
    if (link->era != host.era) answer.outcome = Outcome::kMoot;
    if (link->era != host.era || host.state != BackendState::kReady) co_return answer;
  }
  // Only now. Guards the time that the server is told against the wait for the connection, which is the
  // client's too.
  const std::string bytes = WriteQuery(query, std::max<Micros>(0, until - scheduler_.Now()));
  answer.outcome = Outcome::kConnectFailed;  // until the last byte is written it can't have run
  std::string_view rest = bytes;  // at once as a rule; only what finds no room costs a coroutine of its own
  bool whole = link->stream->Write(rest) == Io::kSome;
  if (!rest.empty()) whole = co_await WriteWhole(*link->stream, query, rest, whole_by);
  if (whole && query.body.size() > kMaxHeldBody && (!body_rest || body_rest->length)) {
    // The client's time has not begun where its query has not come whole.
    const Micros by = body_rest ? scheduler_.Now() + kStreamPatience : whole_by;
    whole = co_await WriteWhole(*link->stream, query, query.body, by);
  }
  if (!whole && query.closed) answer.outcome = Outcome::kMoot;
  if (!whole) co_return answer;
  if (body_rest) {
    query.consumed = true;
    const BodySource::Next rest_sent = co_await SendRest(*link->stream, body_rest);
    if (rest_sent == BodySource::Next::kLater) answer.outcome = Outcome::kMoot;  // the host is not at fault
    if (rest_sent != BodySource::Next::kDone) co_return answer;
    until = body_rest->Patience();
  }
  answer.outcome = Outcome::kReset;  // from here on it may have run
  const Micros written = scheduler_.Now();
  const Micros idle = idle_since == kNever ? -1 : written - idle_since;
  if (idle >= 0) idle_record_.NoteUse(idle, written);
  HttpParser parser(HttpParser::Kind::kResponse, large_ ? kMaxStreamedBody : kMaxHeldBody);
  if (no_body) parser.ExpectNoBody();
  std::string in;
  Parsed parsed = Parsed::kMore;
  Micros go_on_at = kNever;
  int pieces = 0;
  while (parsed == Parsed::kMore) {
    Io io = link->stream->Read(in);
    if (io == Io::kSome) {
      parsed = parser.Feed(in);
      if (parsed != Parsed::kMore || ++pieces % kPiecesATurn != 0) continue;
      // Guards the others, and the end of this one, against a server that pours on.
      if (scheduler_.Now() >= until) {
        answer.outcome = Outcome::kTimeout;
        co_return answer;
      }
      co_await link->stream->Wait(scheduler_.Now());
    } else if (io == Io::kLater) {
      if (large_ && go_on_at == kNever && parser.HasBodyBytes() && !parser.length()) {
        go_on_at = scheduler_.Now() + kGoOn;
      }
      bool notified = co_await link->stream->Wait(std::min(until, go_on_at));
      if (notified) continue;
      if (go_on_at < until) {
        parsed = Parsed::kHeadComplete;
        break;
      }
      answer.outcome = Outcome::kTimeout;
      co_return answer;
    } else {
      if (idle >= 0 && in.empty() && scheduler_.Now() - written < kResetAtOnce) idle_record_.NoteReset(idle);
      if (io == Io::kBroken || parser.OnPeerClosed() != Parsed::kDone) co_return answer;
      parsed = Parsed::kDone;
    }
  }
  answer.outcome = Outcome::kError;  // an answer that can't be understood
  if (parsed == Parsed::kHeadComplete) {
    auto head = std::make_unique<HttpPayload>(parser.TakeHead());
    answer.outcome = ToOutcome(*head);
    if (answer.outcome != Outcome::kOk) co_return answer;
    head->body_rest = std::make_shared<Download>(*this, held, std::move(link), std::move(parser),
                                                 std::move(in), head->keep_alive);
    answer.payload = std::move(head);
    co_return answer;
  }
  if (parsed != Parsed::kDone) co_return answer;
  auto message = std::make_unique<HttpPayload>(parser.Take());
  answer.outcome = ToOutcome(*message);
  if (!in.empty()) ++counters_.unasked;
  if (message->keep_alive && in.empty()) Keep(host, std::move(link));
  if (answer.outcome == Outcome::kOk) answer.payload = std::move(message);
  co_return answer;
}

std::unique_ptr<HttpUpstream::Link> HttpUpstream::Reuse(const Host& host) {
  Idle& idle = idle_[host.id];
  for (auto at = idle.end(); at != idle.begin();) {
    --at;
    if (!Rested(host, **at)) continue;
    std::unique_ptr<Link> link = std::move(*at);
    at = idle.erase(at);
    if (Usable(host, *link)) return link;
  }
  return nullptr;
}

// Guards against a query on a link that its server has closed: it would end as a reset.
bool HttpUpstream::Usable(const Host& host, const Link& link) {
  const Micros now = scheduler_.Now(), idle = now - link.idle_since;
  if (link.era != host.era || idle >= keep_for_ || !idle_record_.Usable(idle, now)) return false;
  if (link.stream->Quiet()) return true;
  std::string in;
  if (link.stream->Read(in) == Io::kSome) {
    ++counters_.unasked;
    unasked_at_[host.id] = now;
  }
  return false;
}

// Guards against a server's second answer, which would be taken for that to the next query: nothing tells
// them apart. A server that gave none of late is not waited for.
bool HttpUpstream::Rested(const Host& host, const Link& link) const {
  const auto at = unasked_at_.find(host.id);
  return at == unasked_at_.end() || scheduler_.Now() - link.idle_since >= kRest;
}

void HttpUpstream::Keep(const Host& host, std::unique_ptr<Link> link) {
  if (host.state != BackendState::kReady || link->era != host.era) return;
  link->idle_since = scheduler_.Now();
  idle_[host.id].push_back(std::move(link));
}

void HttpUpstream::Retire() {
  std::erase_if(unasked_at_, [now = scheduler_.Now()](const auto& one) {
    return now - one.second > kUnaskedRemembered;  // also of hosts that are gone
  });
  std::erase_if(idle_, [](const auto& one) { return one.second.empty(); });  // of hosts that may be forgotten
  for (auto& [id, idle] : idle_) {
    const Host& host = *hosts_.Find(id);
    const bool all = host.state != BackendState::kReady;
    std::erase_if(idle, [&](const std::unique_ptr<Link>& link) { return all || !Usable(host, *link); });
  }
}

// From the host that has most of them.
bool HttpUpstream::ReleaseIdle(size_t) {
  Idle* most = nullptr;
  for (auto& [id, idle] : idle_) {
    if (!idle.empty() && (most == nullptr || idle.size() > most->size())) most = &idle;
  }
  if (most != nullptr) most->erase(most->begin());
  return most != nullptr;
}

}  // namespace burlfall
