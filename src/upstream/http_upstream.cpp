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

// Idle links are reused for this share of the time after which the server closes them. A query that crosses
// the server's close would end in a reset, and an unsafe one could not be sent again.
constexpr double kIdleTimeoutShare = 0.7;

// A reset this soon after the query, with no byte of an answer before it, is due to the link, not the query.
constexpr Micros kImmediateReset = 10 * kMs;

// A chunked answer that is incomplete this long after its first bytes is streamed to the client.
constexpr Micros kStreamingDelay = 100 * kMs;
// A server that does not accept the next piece of a large query within this time is given up.
constexpr Micros kStreamStallTimeout = 10 * kSecond;

// Reads in a row before other tasks get their turn; more than a well-formed answer that is held needs.
constexpr int kReadsPerTurn = 16;

std::string FormatQuery(const HttpPayload& query, Micros time_left) {
  std::string out;
  out.reserve(512 + (query.body.size() <= kMaxHeldBody ? query.body.size() : 0));
  out.append(query.method).append(" ").append(query.target).append(" HTTP/1.1\r\n");
  AppendEndToEnd(out, query, platform::kExpiresIn);
  AppendHeader(out, platform::kExpiresIn, std::to_string(time_left) + "u");
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
  } else if (query.body.size() <= kMaxHeldBody) {  // a larger one is written separately, to avoid a copy
    out.append(query.body);
  }
  return out;
}

Outcome ToOutcome(const HttpMessage& answer) {
  if (answer.status == 200) return Outcome::kOk;
  const std::string* never_ran = answer.Find(platform::kNeverRan);
  bool refused = (answer.status == 503 || answer.status == 504) && never_ran != nullptr && *never_ran == "1";
  return refused ? Outcome::kFull : Outcome::kError;
}

}  // namespace

HttpUpstream::Link::Link(HttpUpstream& upstream, std::unique_ptr<Stream> to, uint64_t generation)
    : owner(upstream), stream(std::move(to)), host_generation(generation) {
  ++owner.open_;
}

HttpUpstream::Link::~Link() { --owner.open_; }

// Streams the rest of an answer from its server link. Bytes are read from the link only as they are taken.
class HttpUpstream::Download final : public BodySource {
 public:
  Download(HttpUpstream& upstream, std::shared_ptr<const Host> host, std::unique_ptr<Link> link,
           HttpParser parser, std::string in, bool keep_alive)
      : upstream_(upstream),
        host_(std::move(host)),
        link_(std::move(link)),
        parser_(std::move(parser)),
        received_(std::move(in)),
        keep_alive_(keep_alive) {
    length = parser_.length();
  }

  Next Take(std::string& into) override {
    while (!result_) {
      if (!parser_.body().empty()) {
        into.append(parser_.body());
        parser_.body().clear();
        return Next::kSome;
      }
      if (parsed_ == Parsed::kDone) {
        result_ = Next::kDone;
        link_->answers.Note(std::nullopt, upstream_.scheduler_.Now());
        if (keep_alive_ && received_.empty()) upstream_.ReturnToPool(*host_, std::move(link_));
      } else if (parsed_ != Parsed::kMore) {
        result_ = Next::kBroken;
      } else {
        const Io io = link_->stream->Read(received_);
        if (io == Io::kLater) return Next::kLater;
        parsed_ = io == Io::kSome     ? parser_.Feed(received_)
                  : io == Io::kClosed ? parser_.OnPeerClosed()
                                      : Parsed::kBad;
      }
    }
    if (link_) link_->stream->Close();
    return *result_;
  }
  Signal& signal() override { return *link_->stream; }

 private:
  HttpUpstream& upstream_;
  const std::shared_ptr<const Host> host_;  // the host may leave the group before the answer ends
  std::unique_ptr<Link> link_;
  HttpParser parser_;
  std::string received_;
  const bool keep_alive_;
  Parsed parsed_ = Parsed::kMore;
  std::optional<Next> result_;
};

HttpUpstream::HttpUpstream(Machine& machine, const meadowslip::Settings& settings, const HostGroup& hosts,
                           LinkBudget& budget, Counters& counters, bool large)
    : scheduler_(machine.scheduler()),
      network_(machine.network()),
      hosts_(hosts),
      budget_(budget),
      idle_timeout_(static_cast<Micros>(static_cast<double>(settings.keepalive) * kIdleTimeoutShare)),
      connect_timeout_(settings.connect_timeout),
      counters_(counters),
      large_(large) {}

Task<ServerAnswer> HttpUpstream::Exchange(meadowslip::BackendId to, const Payload& query, Micros until,
                                          Micros send_by) {
  return RunAttempt(hosts_.FindShared(to), static_cast<const HttpPayload&>(query), until,
                    std::min(until, send_by));
}

// Returns false if the link broke, or if the deadline passed or the query was closed first. Unlike
// WriteAll(), it writes nothing after the deadline even if the socket has room: after a pause of this process
// the server must not receive a query that is too late.
Task<bool> HttpUpstream::WriteByDeadline(Stream& to, const Payload& query, std::string_view bytes,
                                         Micros until) {
  while (!bytes.empty()) {
    if (query.closed || scheduler_.Now() >= until || to.Write(bytes) == Io::kBroken) co_return false;
    if (!bytes.empty()) co_await to.Wait(until);
  }
  co_return true;
}

// Sends the rest of a query's body as it arrives. Returns kDone once the last byte was written, kBroken if
// the server accepted no more, and kLater if the client did not deliver the rest.
Task<BodySource::Next> HttpUpstream::SendBodyRest(Stream& to, std::shared_ptr<BodySource> body_rest) {
  using Next = BodySource::Next;
  std::string chunk, out;
  while (true) {
    chunk.clear();
    const Next next = body_rest->Take(chunk);
    if (next == Next::kBroken) co_return Next::kLater;
    if (next == Next::kLater) {
      co_await body_rest->signal().Wait();  // the source itself ends a stalled body
      continue;
    }
    if (!body_rest->length) {
      out.clear();
      AppendChunk(out, chunk);  // the last chunk is empty
      chunk.swap(out);
    }
    bool written = co_await WriteAll(to, chunk, scheduler_.Now() + kStreamStallTimeout);
    if (!written) co_return Next::kBroken;
    if (next == Next::kDone) co_return Next::kDone;
  }
}

Task<ServerAnswer> HttpUpstream::RunAttempt(std::shared_ptr<const Host> host_ref, const HttpPayload& query,
                                            Micros until, Micros send_by) {
  const Host& host = *host_ref;
  // The query outlives its attempts.
  const std::shared_ptr<BodySource> body_rest = query.body_rest;
  const bool no_body = query.method == "HEAD";
  ServerAnswer answer;
  std::unique_ptr<Link> link = TakeIdleLink(host);
  const Micros idle_since = link ? link->idle_since : kNever;
  if (!link) {
    if (!budget_.EnsureCapacity()) co_return answer;  // moot: the host is not at fault
    NoConnection why = NoConnection::kRefused;
    std::unique_ptr<Stream> stream = network_.Connect(host.address, why);
    // Nor is it if this process has no descriptor or port left: that must not put a healthy host to sleep.
    if (!stream && why == NoConnection::kNoResources) co_return answer;
    answer.outcome = Outcome::kConnectFailed;
    if (!stream) co_return answer;
    ++counters_.server_links;
    link = std::make_unique<Link>(*this, std::move(stream), host.incarnation);
    Micros connect_by = scheduler_.Now() + connect_timeout_;
    bool connected = co_await Connected(*link->stream, std::min(send_by, connect_by));
    // A query whose time ran out first says nothing about the host. This holds even if the connection came up
    // in time: this process may have been paused since.
    if (scheduler_.Now() >= send_by && (connected || send_by < connect_by)) answer.outcome = Outcome::kMoot;
    // The same holds if the client has left, or was answered, in the meantime: the query is not sent any
    // more, even where attempts may not be cancelled.
    if (query.closed) answer.outcome = Outcome::kMoot;
    if (!connected || answer.outcome == Outcome::kMoot) co_return answer;
    // The host may have been withdrawn while the connection came up, and the drain rule then forbids the
    // query. If the host has been restarted or has moved since, this link leads to its earlier incarnation,
    // which says nothing about the current one.
    if (link->host_generation != host.incarnation) answer.outcome = Outcome::kMoot;
    if (link->host_generation != host.incarnation || host.state != BackendState::kReady) co_return answer;
  }
  // Formatted only now, so that the remaining time sent to the server excludes the wait for the connection.
  const std::string bytes = FormatQuery(query, std::max<Micros>(0, until - scheduler_.Now()));
  answer.outcome = Outcome::kConnectFailed;  // until the last byte is written it can't have run
  std::string_view rest = bytes;  // usually written at once; a coroutine is needed only if the socket is full
  bool sent = link->stream->Write(rest) == Io::kSome;
  if (!rest.empty()) sent = co_await WriteByDeadline(*link->stream, query, rest, send_by);
  if (sent && query.body.size() > kMaxHeldBody && (!body_rest || body_rest->length)) {
    // The client's timeout starts only once its query has arrived completely.
    const Micros by = body_rest ? scheduler_.Now() + kStreamStallTimeout : send_by;
    sent = co_await WriteByDeadline(*link->stream, query, query.body, by);
  }
  if (!sent && query.closed) answer.outcome = Outcome::kMoot;
  if (!sent) co_return answer;
  if (body_rest) {
    query.consumed = true;
    const BodySource::Next rest_sent = co_await SendBodyRest(*link->stream, body_rest);
    if (rest_sent == BodySource::Next::kLater) answer.outcome = Outcome::kMoot;  // the host is not at fault
    if (rest_sent != BodySource::Next::kDone) co_return answer;
    until = body_rest->ResponseDeadline();
  }
  answer.outcome = Outcome::kReset;  // from here on it may have run
  const Micros written = scheduler_.Now();
  const Micros idle = idle_since == kNever ? -1 : written - idle_since;
  if (idle >= 0) idle_reuse_stats_.NoteUse(idle, written);
  HttpParser parser(HttpParser::Kind::kResponse, large_ ? kMaxStreamedBody : kMaxHeldBody);
  if (no_body) parser.ExpectNoBody();
  std::string in;
  Parsed parsed = Parsed::kMore;
  Micros stream_from = kNever;
  int reads = 0;
  while (parsed == Parsed::kMore) {
    Io io = link->stream->Read(in);
    if (io == Io::kSome) {
      parsed = parser.Feed(in);
      if (parsed != Parsed::kMore || ++reads % kReadsPerTurn != 0) continue;
      // A server that sends without pause must not starve other tasks, nor outlast its deadline.
      if (scheduler_.Now() >= until) {
        answer.outcome = Outcome::kTimeout;
        co_return answer;
      }
      co_await link->stream->Wait(scheduler_.Now());
    } else if (io == Io::kLater) {
      if (large_ && stream_from == kNever && parser.HasBodyBytes() && !parser.length()) {
        stream_from = scheduler_.Now() + kStreamingDelay;
      }
      bool notified = co_await link->stream->Wait(std::min(until, stream_from));
      if (notified) continue;
      if (stream_from < until) {
        parsed = Parsed::kHeadComplete;
        break;
      }
      answer.outcome = Outcome::kTimeout;
      co_return answer;
    } else {
      if (idle >= 0 && in.empty() && scheduler_.Now() - written < kImmediateReset)
        idle_reuse_stats_.NoteReset(idle);
      if (io == Io::kBroken || parser.OnPeerClosed() != Parsed::kDone) co_return answer;
      parsed = Parsed::kDone;
    }
  }
  answer.outcome = Outcome::kError;  // a malformed answer
  if (parsed == Parsed::kHeadComplete) {
    auto head = std::make_unique<HttpPayload>(parser.TakeHead());
    answer.outcome = ToOutcome(*head);
    if (answer.outcome != Outcome::kOk) co_return answer;
    head->body_rest = std::make_shared<Download>(*this, host_ref, std::move(link), std::move(parser),
                                                 std::move(in), head->keep_alive);
    answer.payload = std::move(head);
    co_return answer;
  }
  if (parsed != Parsed::kDone) co_return answer;
  const bool has_length = parser.length().has_value();
  auto message = std::make_unique<HttpPayload>(parser.Take());
  const AnswerDigest digest = DigestOf(*message);
  if (link->answers.Contains(digest)) {  // a second copy of an earlier answer; the link is closed
    ++counters_.unasked;
    server_answers_[host.id].NoteUnsolicited(scheduler_.Now());
    co_return answer;
  }
  server_answers_[host.id].Note(digest, scheduler_.Now());
  // In service a copy without a length may be passed on before it is complete, and so not be recognized.
  link->answers.Note(has_length || !large_ ? digest : std::nullopt, scheduler_.Now());
  answer.outcome = ToOutcome(*message);
  if (!in.empty()) ++counters_.unasked;
  if (message->keep_alive && in.empty()) ReturnToPool(host, std::move(link));
  if (answer.outcome == Outcome::kOk) answer.payload = std::move(message);
  co_return answer;
}

// Returns the most recently used link that can carry a query. Links that are not quiet yet are looked at
// too, unless their server is suspected already: an unsolicited byte on one of them concerns all.
std::unique_ptr<HttpUpstream::Link> HttpUpstream::TakeIdleLink(const Host& host) {
  IdleLinks& idle = idle_links_[host.id];
  const ServerAnswers& server = server_answers_[host.id];
  const Micros now = scheduler_.Now();
  for (auto it = idle.end(); it != idle.begin();) {
    --it;
    const bool quiet = now - (*it)->idle_since >= kSecondAnswerWindow;
    if (!quiet && server.Suspected(now)) continue;
    if (!Usable(host, **it)) {
      it = idle.erase(it);
      continue;
    }
    if (!quiet && !(server.AllDiffer(now) && (*it)->answers.Recognizable(now))) continue;
    std::unique_ptr<Link> link = std::move(*it);
    idle.erase(it);
    link->answers.Expire(now);
    return link;
  }
  return nullptr;
}

// Whether the link can carry a query. A query on a link that its server has closed would end in a reset.
bool HttpUpstream::Usable(const Host& host, const Link& link) {
  const Micros now = scheduler_.Now(), idle = now - link.idle_since;
  if (link.host_generation != host.incarnation || idle >= idle_timeout_ ||
      !idle_reuse_stats_.Usable(idle, now))
    return false;
  if (link.stream->IsIdle()) return true;
  std::string in;
  if (link.stream->Read(in) == Io::kSome) {
    ++counters_.unasked;
    server_answers_[host.id].NoteUnsolicited(now);
  }
  return false;
}

void HttpUpstream::ReturnToPool(const Host& host, std::unique_ptr<Link> link) {
  if (host.state != BackendState::kReady || link->host_generation != host.incarnation) return;
  link->idle_since = scheduler_.Now();
  idle_links_[host.id].push_back(std::move(link));
}

void HttpUpstream::CloseStaleIdle() {
  std::erase_if(server_answers_, [this](const auto& entry) { return hosts_.Find(entry.first) == nullptr; });
  std::erase_if(idle_links_,
                [](const auto& entry) { return entry.second.empty(); });  // their hosts may be forgotten
  for (auto& [id, idle] : idle_links_) {
    const Host& host = *hosts_.Find(id);
    const bool close_all = host.state != BackendState::kReady;
    std::erase_if(idle, [&](const std::unique_ptr<Link>& link) { return close_all || !Usable(host, *link); });
  }
}

// Closes the least recently used idle link of the host that has the most.
bool HttpUpstream::ReleaseIdle(size_t) {
  IdleLinks* largest = nullptr;
  for (auto& [id, idle] : idle_links_) {
    if (!idle.empty() && (largest == nullptr || idle.size() > largest->size())) largest = &idle;
  }
  if (largest != nullptr) largest->erase(largest->begin());
  return largest != nullptr;
}

}  // namespace burlfall
