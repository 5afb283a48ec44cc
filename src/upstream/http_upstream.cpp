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

// Bytes of a streamed answer in each of the buffers on its way.
constexpr size_t kStreamWindow = 16 * 1024, kStreamBuffers = 4;
constexpr size_t kSmallReadBytes = 4096;

// Reads in a row before other tasks get their turn; more than a well-formed answer that is held needs.
constexpr int kReadsPerTurn = 16;

// Bodies up to this size are written together with what precedes them; larger ones are written from where
// they are, to avoid a copy.
constexpr size_t kMaxJoinedBody = 2048;

bool IsChunked(const HttpPayload& query) { return query.body_rest && !query.body_rest->length; }
bool IsJoined(const HttpPayload& query) { return query.body.size() <= kMaxJoinedBody; }

// The query's head and, if it is small, the body. Of a larger chunked body it ends with the size of the first
// chunk.
std::string FormatQuery(const HttpPayload& query, Micros time_left) {
  std::string out;
  out.reserve(512 + (IsJoined(query) ? query.body.size() : 0));
  out.append(query.method).append(" ").append(query.target).append(" HTTP/1.1\r\n");
  AppendEndToEnd(out, query, platform::kExpiresIn);
  AppendHeader(out, platform::kExpiresIn, std::to_string(time_left) + "u");
  const bool chunked = IsChunked(query);
  if (chunked) {
    AppendHeader(out, "Transfer-Encoding", "chunked");
  } else if (!query.body.empty() || query.body_rest || (query.method != "GET" && query.method != "HEAD")) {
    AppendHeader(out, "Content-Length",
                 std::to_string(query.body_rest ? *query.body_rest->length : query.body.size()));
  }
  out.append("\r\n");
  if (chunked && !query.body.empty()) {
    AppendChunkSize(out, query.body.size());
    if (IsJoined(query)) out.append(query.body).append(kChunkEnd);
  } else if (IsJoined(query)) {
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
        keep_alive_(keep_alive),
        memory_(upstream.memory_) {
    length = parser_.length();
    window_ = memory_.Resize(kStreamBuffers * kStreamWindow) ? kStreamWindow : ByteBudget::kFreeBytes;
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
        const Io io = link_->stream->Read(received_, window_);
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
  ByteBudget::Share memory_;  // of the buffers between the server and the client
  size_t window_ = 0;         // bytes read at a time
  Parsed parsed_ = Parsed::kMore;
  std::optional<Next> result_;
};

HttpUpstream::HttpUpstream(Machine& machine, const meadowslip::Settings& settings, const HostGroup& hosts,
                           LinkBudget& budget, ByteBudget& memory, Counters& counters, bool large)
    : scheduler_(machine.scheduler()),
      network_(machine.network()),
      hosts_(hosts),
      budget_(budget),
      memory_(memory),
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
// the server accepted no more, and kLater if the client did not deliver the rest or needs no answer.
Task<BodySource::Next> HttpUpstream::SendBodyRest(Stream& to, const HttpPayload& query) {
  using Next = BodySource::Next;
  const std::shared_ptr<BodySource> body_rest = query.body_rest;
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
    const Micros by = std::min(scheduler_.Now() + kStreamStallTimeout, body_rest->ResponseDeadline());
    bool written = co_await WriteByDeadline(to, query, chunk, by);
    if (!written) co_return query.closed ? Next::kLater : Next::kBroken;
    if (next == Next::kDone) co_return Next::kDone;
  }
}

Task<ServerAnswer> HttpUpstream::RunAttempt(std::shared_ptr<const Host> host, const HttpPayload& query,
                                            Micros until, Micros send_by) {
  // The query outlives its attempts.
  AttemptState attempt{std::move(host), query, until, send_by};
  ServerAnswer answer;
  answer.outcome = co_await OpenLink(attempt);
  if (!attempt.ready_to_send) co_return answer;
  answer.outcome = co_await SendQuery(attempt);
  if (!attempt.sent_at) co_return answer;
  co_return co_await ReceiveAnswer(attempt);
}

// Takes an idle link or opens a new one. The outcome counts if the attempt is not ready to send then.
Task<Outcome> HttpUpstream::OpenLink(AttemptState& attempt) {
  const Host& host = *attempt.host;
  attempt.link = TakeIdleLink(host);
  attempt.ready_to_send = attempt.link != nullptr;
  if (attempt.link) {
    attempt.idle_since = attempt.link->idle_since;
    co_return Outcome::kMoot;
  }
  if (!budget_.EnsureCapacity()) co_return Outcome::kMoot;  // the host is not at fault
  NoConnection why = NoConnection::kRefused;
  std::unique_ptr<Stream> stream = network_.Connect(host.address, why);
  // Nor is it if this process has no descriptor or port left: that must not put a healthy host to sleep.
  if (!stream) co_return why == NoConnection::kNoResources ? Outcome::kMoot : Outcome::kConnectFailed;
  ++counters_.server_links;
  attempt.link = std::make_unique<Link>(*this, std::move(stream), host.incarnation);
  const Micros connect_by = scheduler_.Now() + connect_timeout_;
  const bool waits = attempt.link->stream->Opened() == Stream::State::kOpening;
  const bool connected = co_await Connected(*attempt.link->stream, std::min(attempt.send_by, connect_by));
  // After a pause of this process, other events of the meantime may be behind this one: the client's end, a
  // list that withdraws the host.
  if (connected && waits) co_await attempt.link->stream->NextTurn();
  // A query whose time ran out first says nothing about the host. This holds even if the connection came up
  // in time: this process may have been paused since.
  const bool time_over = scheduler_.Now() >= attempt.send_by && (connected || attempt.send_by < connect_by);
  // The same holds if the client has left, or was answered, in the meantime: the query is not sent any
  // more, even where attempts may not be cancelled.
  if (time_over || attempt.query.closed) co_return Outcome::kMoot;
  if (!connected) co_return Outcome::kConnectFailed;
  // If the host has been restarted or has moved while the connection came up, this link leads to its earlier
  // incarnation, which says nothing about the current one.
  if (attempt.link->host_generation != host.incarnation) co_return Outcome::kMoot;
  // It may also have been withdrawn, and the drain rule then forbids the query.
  attempt.ready_to_send = host.state == BackendState::kReady;
  co_return Outcome::kConnectFailed;
}

// Writes the query. Until its last byte is written it can't have run; the outcome counts if it was not.
Task<Outcome> HttpUpstream::SendQuery(AttemptState& attempt) {
  const HttpPayload& query = attempt.query;
  Stream& to = *attempt.link->stream;
  const std::shared_ptr<BodySource> body_rest = query.body_rest;
  bool sent = false;
  {
    // Formatted only now, so that the remaining time sent to the server excludes the wait for the connection.
    const std::string bytes = FormatQuery(query, std::max<Micros>(0, attempt.until - scheduler_.Now()));
    // Usually written at once; a coroutine is needed only if the socket is full.
    std::string_view rest = bytes;
    sent = to.Write(rest) == Io::kSome;
    if (!rest.empty()) sent = co_await WriteByDeadline(to, query, rest, attempt.send_by);
  }
  if (sent && !IsJoined(query)) {
    // The client's timeout starts only once its query has arrived completely.
    const Micros by = body_rest ? scheduler_.Now() + kStreamStallTimeout : attempt.send_by;
    sent = co_await WriteByDeadline(to, query, query.body, by);
    if (sent && IsChunked(query)) sent = co_await WriteByDeadline(to, query, kChunkEnd, by);
  }
  if (!sent) co_return query.closed ? Outcome::kMoot : Outcome::kConnectFailed;
  if (body_rest) {
    query.consumed = true;
    const BodySource::Next rest_sent = co_await SendBodyRest(to, query);
    if (rest_sent == BodySource::Next::kLater) co_return Outcome::kMoot;  // the host is not at fault
    if (rest_sent != BodySource::Next::kDone) co_return Outcome::kConnectFailed;
    attempt.until = body_rest->ResponseDeadline();
  }
  attempt.sent_at = scheduler_.Now();
  co_return Outcome::kReset;
}

// Whether the answer that `parser` reads is to be held whole: if it is of a size that is held, and there is
// memory for it. Others are passed on as they come.
bool HttpUpstream::HoldWholeAnswer(HttpParser& parser, ByteBudget::Share& memory) {
  const size_t limit = parser.length().value_or(kMaxHeldBody);
  if (limit > kMaxHeldBody || limit <= parser.hold_limit()) return false;
  if (!memory.Resize(parser.HeldBytes() + Stream::kMaxReadBytes + limit)) return false;
  parser.body().reserve(limit + (parser.length() ? 0 : Stream::kMaxReadBytes));
  parser.SetHoldLimit(limit);
  return true;
}

Task<ServerAnswer> HttpUpstream::ReceiveAnswer(AttemptState& attempt) {
  ServerAnswer answer;
  answer.outcome = Outcome::kReset;  // from here on it may have run
  Stream& from = *attempt.link->stream;
  const Micros written = *attempt.sent_at;
  const Micros idle = attempt.idle_since == kNever ? -1 : written - attempt.idle_since;
  if (idle >= 0) idle_reuse_stats_.NoteUse(idle, written);
  HttpParser parser(HttpParser::Kind::kResponse, large_ ? kMaxStreamedBody : kMaxHeldBody,
                    ByteBudget::kFreeBytes);
  if (attempt.query.method == "HEAD") parser.ExpectNoBody();
  ByteBudget::Share memory(memory_);
  std::string in;
  Parsed parsed = Parsed::kMore;
  Micros stream_from = kNever;
  int reads = 0;
  while (parsed == Parsed::kMore) {
    // Pieces are small until it is known that there is memory for the answer.
    const bool small = parser.hold_limit() <= ByteBudget::kFreeBytes;
    Io io = from.Read(in, small ? kSmallReadBytes : Stream::kMaxReadBytes);
    if (io == Io::kSome) {
      parsed = parser.Feed(in);
      while (parsed == Parsed::kHeadComplete && HoldWholeAnswer(parser, memory)) parsed = parser.Feed(in);
      if (in.empty()) std::string().swap(in);
      if (parsed != Parsed::kMore || ++reads % kReadsPerTurn != 0) continue;
      // A server that sends without pause must not starve other tasks, nor outlast its deadline.
      if (scheduler_.Now() >= attempt.until) {
        answer.outcome = Outcome::kTimeout;
        co_return answer;
      }
      co_await from.Wait(scheduler_.Now());
    } else if (io == Io::kLater) {
      const bool may_stream = large_ && parser.HasBodyBytes() && !parser.length();
      if (stream_from == kNever && may_stream) stream_from = scheduler_.Now() + kStreamingDelay;
      bool notified = co_await from.Wait(std::min(attempt.until, stream_from));
      if (notified) continue;
      // An answer without a length that has begun may be a long one, of which only the first bytes are due.
      if (may_stream) {
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
    head->memory = std::make_shared<ByteBudget::Share>(memory.Take(head->HeldBytes()));
    head->body_rest = std::make_shared<Download>(*this, attempt.host, std::move(attempt.link),
                                                 std::move(parser), std::move(in), head->keep_alive);
    answer.payload = std::move(head);
    co_return answer;
  }
  if (parsed == Parsed::kDone) FinishAnswer(attempt, parser, !in.empty(), std::move(memory), answer);
  co_return answer;
}

// The answer has arrived whole.
void HttpUpstream::FinishAnswer(AttemptState& attempt, HttpParser& parser, bool has_more_input,
                                ByteBudget::Share memory, ServerAnswer& answer) {
  const Host& host = *attempt.host;
  Link& link = *attempt.link;
  const bool has_length = parser.length().has_value();
  auto message = std::make_unique<HttpPayload>(parser.Take());
  const AnswerDigest digest = DigestOf(*message);
  if (link.answers.Contains(digest)) {  // a second copy of an earlier answer; the link is closed
    ++counters_.unasked;
    server_answers_[host.id].NoteUnsolicited(scheduler_.Now());
    return;
  }
  server_answers_[host.id].Note(digest, scheduler_.Now());
  // In service a copy without a length may be passed on before it is complete, and so not be recognized.
  link.answers.Note(has_length || !large_ ? digest : std::nullopt, scheduler_.Now());
  answer.outcome = ToOutcome(*message);
  if (has_more_input) ++counters_.unasked;
  if (message->keep_alive && !has_more_input) ReturnToPool(host, std::move(attempt.link));
  if (answer.outcome != Outcome::kOk) return;
  memory.Resize(message->HeldBytes());
  if (memory.held() > 0) message->memory = std::make_shared<ByteBudget::Share>(std::move(memory));
  answer.payload = std::move(message);
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
