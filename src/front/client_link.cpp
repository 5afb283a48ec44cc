#include "front/client_link.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <new>
#include <optional>
#include <utility>

#include "codec/words.h"
#include "config/platform.h"
#include "front/http_front.h"
#include "front/request_check.h"

namespace burlfall {
namespace {

// From a query's first byte to its last. A client that can't send a query must get an answer, or the end of
// the link, within 3 s.
constexpr Micros kReadTimeout = 2500 * kMs;
// After that a body may still arrive slowly, as long as it makes progress within this time.
constexpr Micros kStallTimeout = 1 * kSecond;
constexpr Micros kWriteTimeout = 10 * kSecond;
constexpr Micros kLingerTimeout = 1 * kSecond;
constexpr Micros kLingerUnreadTimeout = 5 * kSecond;  // if a large query was answered before it was complete
// If descriptors run short, or connections wait to be accepted, other clients wait for this link's
// descriptor; its client closes within a round trip.
constexpr Micros kLingerTightTimeout = 100 * kMs;
// Beyond the client's time, for the attempt's or the module's own word to come first.
constexpr Micros kExpirySlack = 50 * kMs;
constexpr size_t kMaxClientBuffer = 4 * 1024 * 1024;  // unsent bytes that a client's system may hold for it
constexpr size_t kMaxDropped = kMaxStreamedBody;  // bytes read after the last answer: a large query's body
constexpr Micros kMaxSizeHint = 3600 * kSecond;
constexpr size_t kMaxBytesPerTurn = 64 * 1024;  // read or written before other links get their turn
constexpr size_t kMaxJoinedBody = 2048;         // of an answer: a larger body is not copied to its head
constexpr size_t kHeadReadBytes = 4096;         // in one read: most requests are smaller
constexpr size_t kMaxReadAhead = kMaxHead + kMaxHeldBody;
constexpr size_t kAheadReadBytes = 16 * 1024;
// Bytes of a body that pass from a client to its server at a time, in each of the buffers on the way.
constexpr size_t kStreamWindow = 16 * 1024, kNarrowStreamWindow = 2048, kStreamBuffers = 4;

// Parses a number of microseconds from 1 to kMaxSizeHint; returns 0 for anything else.
Micros ParseSize(const std::string* text) {
  Micros size = 0;
  if (text == nullptr) return 0;
  auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), size);
  return error == std::errc() && end == text->data() + text->size() && size > 0 && size <= kMaxSizeHint ? size
                                                                                                        : 0;
}

// An assignment of an empty string would keep the memory.
void FreeMemory(std::string& text) { std::string().swap(text); }

std::string_view FirstSegment(std::string_view target) {
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Returns the index of the class that the first segment of a path names, or -1. Characters that a path can't
// hold are percent-encoded there.
int ClassOf(const NameIndex& classes, std::string_view segment) {
  const int exact = classes.Find(PlainName(segment));
  std::string decoded;
  if (exact >= 0 || segment.find('%') == std::string_view::npos || !Unescaped(segment, decoded)) return exact;
  return classes.Find(PlainName(decoded));
}

}  // namespace

ClientLink::ClientLink(std::unique_ptr<Stream> stream, HttpFront& front, HandedOverLink from)
    : had_query(from.had_query),
      front_(front),
      stream_(std::move(stream)),
      parser_(HttpParser::Kind::kRequest, front.parts_.config.in_service ? kMaxStreamedBody : kMaxHeldBody,
              ByteBudget::kFreeBytes),
      share_(front.parts_.memory.requests),
      in_(std::move(from.buffered)),
      inherited_began_at_(from.query_began_at) {}

ClientLink::~ClientLink() {
  if (upload_) upload_->Abandon();
}

void ClientLink::Start() {
  idle_since_ = stream_->scheduler().Now();
  task_ = Run();
  task_.Start();
}

LinkStatus ClientLink::Status(Micros now) const {
  using Activity = LinkStatus::Activity;
  if (busy_ || close_when_idle_ || abort_unfinished_ || ended_) return {Activity::kBusy, 0};
  if (query_began_at_ != 0) return {Activity::kPartialQuery, now - std::max(query_began_at_, progress_at_)};
  return {had_query ? Activity::kIdle : Activity::kNoQueryYet, now - idle_since_};
}

void ClientLink::CloseWhenIdle() {
  close_when_idle_ = true;
  stream_->Notify();
}

void ClientLink::AbortUnfinished() {
  abort_unfinished_ = true;
  stream_->Notify();
}

Task<> ClientLink::Run() {
  while (true) {
    bool received = co_await ReadQuery();
    if (!received) break;
    busy_ = true;
    front_.OnQueryStarted(*this);
    bool keep_open = co_await HandleQuery();
    busy_ = false;
    AccountForInput();
    idle_since_ = stream_->scheduler().Now();
    front_.OnQueryEnded(*this);
    if (!keep_open) break;
    query_began_at_ = 0;
    if (!in_.empty()) co_await stream_->NextTurn();
    while (IsPaced()) co_await stream_->Wait(paced_until_);
  }
  ended_ = true;
  if ((final_answer_sent_ || had_query) && !handed_over_) co_await Linger();
  // Closed here and not when the front erases this link: the socket was read empty a moment ago, and a query
  // that arrived between that and a later close would be lost.
  if (!handed_over_) stream_->Close();
  front_.OnLinkEnded(*this);
}

bool ClientLink::IsPaced() const {
  return stream_->scheduler().Now() < paced_until_ && !close_when_idle_ && !abort_unfinished_ &&
         !front_.leaving();
}

// Reads the next query, of a large one the head. Returns false if the link is to be closed, either without an
// answer or after an error answer that was written here.
Task<bool> ClientLink::ReadQuery() {
  query_began_at_ = std::exchange(inherited_began_at_, 0);
  query_lacks_memory_ = false;
  size_t read_this_turn = 0;
  while (true) {
    if (refused_for_memory_) break;
    if (query_began_at_ == 0 && !in_.empty()) query_began_at_ = stream_->scheduler().Now();
    Parsed parsed = in_.empty() ? Parsed::kMore : parser_.Feed(in_);
    while (parsed == Parsed::kHeadComplete && BufferWholeBody()) parsed = parser_.Feed(in_);
    const bool has_memory = AccountForInput();
    if (parsed == Parsed::kDone) {
      query_lacks_memory_ = !has_memory;
      co_return true;
    }
    if (parsed == Parsed::kHeadComplete && MayStreamBody()) {
      StartUpload();
      co_return true;
    }
    if (parsed == Parsed::kHeadComplete || (parsed == Parsed::kMore && !has_memory)) {
      RefuseForMemory();
      continue;
    }
    Io io = Io::kSome;
    if (parsed == Parsed::kMore && SendContinue()) {
      const size_t before = in_.size();
      io = stream_->Read(in_, parser_.ReadingHead() ? kHeadReadBytes : Stream::kMaxReadBytes);
      if (io == Io::kSome) {
        progress_at_ = stream_->scheduler().Now();
        read_this_turn += in_.size() - before;
        if (read_this_turn < kMaxBytesPerTurn) continue;
        read_this_turn = 0;
        co_await stream_->NextTurn();
        continue;
      }
      if (io != Io::kLater) co_return false;
      // Checked only now, with nothing left to read: a complete query still gets its answer.
      if (close_when_idle_ && query_began_at_ == 0) co_return false;
      if (front_.handing_over() && !abort_unfinished_ && parser_.ReadingHead()) {
        handed_over_ = front_.HandOver(*stream_, {had_query, query_began_at_, in_}) == Io::kSome;
        if (handed_over_) co_return false;
      }
      if (!abort_unfinished_ || query_began_at_ == 0) {
        bool notified = co_await stream_->Wait(query_began_at_ == 0 ? kNever : ReadDeadline());
        if (notified) continue;
      }
    }
    ++front_.parts_.counters.bad;
    front_.parts_.counters.unfinished += parsed == Parsed::kMore;
    close_after_answer_ = true;
    PrepareAnswer(parsed == Parsed::kMore ? 408 : parsed == Parsed::kBad ? 400 : 413, "", "");
    co_await WriteAnswer();
    co_return false;
  }
  close_after_answer_ = true;
  Throttle(front_.parts_.dispatcher.DefaultRetryAfter());
  co_await WriteAnswer();
  co_return false;
}

// ---- Memory ----------------------------------------------------------------------------------------------

// Accounts for the input that the link holds. If memory is short, links whose requests make no progress are
// given up for it. Returns false if it is still short then: the input must be given up.
bool ClientLink::AccountForInput() {
  if (in_.empty() && in_.capacity() > ByteBudget::kFreeBytes) FreeMemory(in_);
  if (in_.capacity() > kHeadReadBytes && in_.size() < in_.capacity() / 4) in_.shrink_to_fit();
  return ReserveInput(in_.capacity() + parser_.HeldBytes());
}

bool ClientLink::ReserveInput(size_t bytes) {
  if (share_.Resize(bytes)) return true;
  return front_.FreeRequestMemory(bytes, *this) && share_.Resize(bytes);
}

void ClientLink::ReleaseInput() {
  FreeMemory(in_);
  parser_.Take();
  share_.Clear();
}

HeldRequestBytes ClientLink::HeldBytes(Micros now) const {
  const bool arriving = !busy_ && !ended_ && !refused_for_memory_ && query_began_at_ != 0;
  return {arriving ? share_.held() : 0, now - std::max(query_began_at_, progress_at_)};
}

void ClientLink::RefuseForMemory() {
  ++front_.parts_.counters.refused_memory;
  refused_for_memory_ = true;
  ReleaseInput();
  stream_->Notify();
}

// The head must be complete within kReadTimeout; a body need only make progress after that.
Micros ClientLink::ReadDeadline() const {
  const Micros until = query_began_at_ + kReadTimeout;
  return parser_.ReadingHead() || !front_.parts_.config.in_service
             ? until
             : std::max(until, progress_at_ + kStallTimeout);
}

// Reserves memory for the whole body, if the budget allows it: its server then does not wait for a slow
// client, and the module may send the query again.
bool ClientLink::BufferWholeBody() {
  const size_t limit = parser_.length().value_or(parser_.hold_limit() + kMaxHeldBody);
  if (limit <= parser_.hold_limit()) return false;
  // A body of unknown length is found too long by one read more than the limit.
  const size_t capacity = limit + (parser_.length() ? 0 : Stream::kMaxReadBytes);
  if (!ReserveInput(in_.capacity() + parser_.HeldBytes() - parser_.body().capacity() + capacity))
    return false;
  try {
    std::string body;  // a new one: a string that grows takes up to twice what it needs
    body.reserve(capacity);
    parser_.body().swap(body.append(parser_.body()));
  } catch (const std::bad_alloc&) {
    return false;  // the system has less memory than the budget allows: the body is streamed
  }
  parser_.SetHoldLimit(limit);
  return true;
}

// A body that the budget has no memory for is streamed if it is large, and refused otherwise: a small one
// that arrives slowly would occupy a server for longer than it is worth.
bool ClientLink::MayStreamBody() const {
  return front_.parts_.config.in_service && parser_.length().value_or(kMaxStreamedBody) > kMaxHeldBody;
}

void ClientLink::StartUpload() {
  upload_ = std::make_shared<Upload>(stream_->scheduler(), [this] { stream_->Notify(); });
  upload_->length = parser_.length();
  const size_t held = in_.capacity() + parser_.HeldBytes();
  const bool wide = share_.Resize(held + kStreamBuffers * kStreamWindow);
  upload_window_ = wide ? kStreamWindow : kNarrowStreamWindow;
}

// Sends "100 Continue" if the client waits for it. Returns false if it can't be written.
bool ClientLink::SendContinue() {
  if (!parser_.ExpectsContinue()) return true;
  std::string_view response = "HTTP/1.1 100 Continue\r\n\r\n";
  return stream_->Write(response) == Io::kSome;
}

// Answers one query. Returns false if the link is to be closed.
Task<bool> ClientLink::HandleQuery() {
  HttpMessage message = upload_ ? parser_.TakeHead() : parser_.Take();
  close_after_answer_ = !message.keep_alive;
  http_1_0_client_ = message.http_1_0;
  head_only_ = message.method == "HEAD";
  answered_ = false;
  has_unread_input_ = false;
  answer_by_ = blocked_since_ = kNever;
  const int request_class = ClassOf(front_.classes_, FirstSegment(message.target));
  AnswerLocally(message, request_class);
  if (answered_ || request_class < 0) paced_until_ = pacer_.NoteAnswer(stream_->scheduler().Now());
  if (!answered_) {
    const bool answers = co_await Dispatch(MakeQuery(std::move(message), request_class));
    if (!answers) co_return false;
  }
  const bool ends_with_link = body_rest_ && !body_rest_->length && http_1_0_client_;
  bool written = co_await WriteAnswer();
  if (written && body_rest_) written = co_await WriteRest();
  // For an HTTP/1.0 client an orderly end of the link would mean that the answer is complete.
  if (!written && ends_with_link) stream_->Reset();
  body_rest_.reset();
  if (upload_) {
    upload_->Abandon();
    if (upload_->complete()) upload_.reset();
  }
  co_return written && !close_after_answer_;
}

// Answers a request that does not reach the dispatcher: a question to this process, or one that is not
// admitted, not sound or a repeat. Leaves others unanswered.
void ClientLink::AnswerLocally(const HttpMessage& message, int request_class) {
  Counters& counters = front_.parts_.counters;
  const std::string* id = message.Find(platform::kTraceId);
  const std::string_view path = std::string_view(message.target).substr(0, message.target.find('?'));
  if (id == nullptr && message.method == "GET") {
    if (path == platform::kUpPath)
      return PrepareAnswer(front_.up() ? 200 : 503, "", front_.up() ? "up\n" : "not serving\n");
    if (path == platform::kCountersPath) return PrepareAnswer(200, "", counters.Text() + "\n");
  }
  const bool names_nothing = id == nullptr && request_class < 0;
  if (!names_nothing) {
    if (const auto refusal = front_.admission_.Check(message, request_class, *stream_)) {
      CountRefused(message, request_class, refusal->why);
      return PrepareAnswer(refusal->status, refusal->headers, refusal->body);
    }
  }
  const meadowslip::RequestClass* known_class = front_.ClassAt(request_class);
  const RequestFault fault = FindFault(message, known_class, upload_ || !message.body.empty());
  if (!names_nothing && fault != RequestFault::kNone) {
    ++counters.bad;
    ++counters.unsound;
    return PrepareAnswer(StatusOf(fault), "", "");
  }
  if (names_nothing || FirstSegment(message.target).empty()) {
    ++counters.bad;
    return PrepareAnswer(404, "", "");
  }
  if (!front_.parts_.dispatcher.IsRepeat(*id)) return;
  ++counters.bad;
  ++counters.repeated_ids;
  PrepareAnswer(409, "", "");
}

void ClientLink::CountRefused(const HttpMessage& message, int request_class, Figure why) {
  Figures* figures = front_.parts_.figures;
  if (figures == nullptr) return;
  const Figures::Series series = figures->SeriesOf(request_class, message.Find(platform::kTenant));
  figures->Add(series, Figure::kRequests);
  figures->Add(series, why);
}

// The query as the dispatcher and the module know it.
IncomingQuery ClientLink::MakeQuery(HttpMessage message, int request_class) {
  IncomingQuery query;
  query.sink = this;
  query.request.request_class = request_class;
  const std::string* tenant = message.Find(platform::kTenant);
  query.request.tenant = tenant != nullptr ? std::max(0, front_.tenants_.Find(PlainName(*tenant))) : 0;
  if (Figures* figures = front_.parts_.figures) {
    query.labels.series = figures->SeriesOf(request_class, tenant);
    figures->Add(query.labels.series, Figure::kRequests);
  }
  const std::string* second_try = message.Find(platform::kSecondTry);
  query.request.client_retry = second_try != nullptr && *second_try == "1";
  query.request.estimate = ParseSize(message.Find(platform::kSizeHint));
  // The client's timeout starts when it sends. The first bytes are the closest to that, unless the query
  // was written slowly: then it is the last byte.
  const Micros sent_at = front_.parts_.config.in_service ? stream_->scheduler().Now() : query_began_at_;
  const meadowslip::RequestClass* known_class = front_.ClassAt(request_class);
  answer_timeout_ = known_class != nullptr ? known_class->deadline : 0;
  if (const std::string* deadline = message.Find(platform::kExpiresIn))
    answer_timeout_ = ParseDeadline(*deadline).value_or(0);
  query.request.give_up_at = sent_at + answer_timeout_;
  auto payload = std::make_unique<HttpPayload>(std::move(message));
  ByteBudget::Share memory = share_.Take(payload->HeldBytes());
  if (memory.held() > 0) payload->memory = std::make_shared<ByteBudget::Share>(std::move(memory));
  query.labels.trace = payload->Find(platform::kTraceId);
  query.labels.tenant = payload->Find(platform::kTenant);
  if (request_class < 0) query.labels.unknown_class = FirstSegment(payload->target);
  payload->body_rest = upload_;
  query.payload = std::move(payload);
  return query;
}

// Has the dispatcher handle the query, and waits for its answer. Returns false if none is to be written,
// since the client has left or was answered here.
Task<bool> ClientLink::Dispatch(IncomingQuery query) {
  Counters& counters = front_.parts_.counters;
  Dispatcher& dispatcher = front_.parts_.dispatcher;
  Figures* figures = front_.parts_.figures;
  // Starts no attempt for a client that has left: if its end arrived in one batch with the query, or behind
  // pipelined ones, there is no further notification of it.
  const ClientState client = upload_ == nullptr     ? ReadAhead()
                             : stream_->PeerEnded() ? ClientState::kLeft
                                                    : ClientState::kPresent;
  if (client == ClientState::kLeft) {
    ++counters.taken;
    ++counters.left;
    if (figures != nullptr) figures->Add(query.labels.series, Figure::kLeft);
    co_return false;
  }
  if (client == ClientState::kUnknown || query_lacks_memory_) {
    ++(query_lacks_memory_ ? counters.refused_memory : counters.refused_unread);
    if (figures != nullptr) figures->Add(query.labels.series, Figure::kThrottled);
    Throttle(dispatcher.DefaultRetryAfter());
    co_return true;
  }
  const meadowslip::RequestId id = dispatcher.Submit(std::move(query));
  if (upload_) {
    bool still_open = co_await AwaitUpload(id);
    if (!still_open) co_return false;
  }
  // Bytes behind a large body have not been read yet: in that case reads before it waits.
  for (bool wait_first = !upload_; !answered_; wait_first = true) {
    if (wait_first) co_await stream_->Wait(answer_by_);
    if (!answered_ && stream_->scheduler().Now() >= answer_by_) dispatcher.Expire(id);
    if (!answered_ && ReadAhead() == ClientState::kLeft) {
      dispatcher.ClientLeft(id);
      co_return false;
    }
  }
  co_return true;
}

// Reads the rest of a large query until it is complete or answered. Returns false if the link is to be
// closed: the client has left, or got an error answer.
Task<bool> ClientLink::AwaitUpload(meadowslip::RequestId id) {
  Dispatcher& dispatcher = front_.parts_.dispatcher;
  bool stream_reported = false;
  while (!answered_) {
    if (upload_->started() && !stream_reported) {
      stream_reported = true;
      dispatcher.OnBodyStreamed(id);
      if (!SendContinue()) {
        dispatcher.ClientLeft(id);
        co_return false;
      }
    }
    const int error_status = ReadBody();
    if (upload_->complete() && error_status == 0) {
      if (stream_reported) dispatcher.OnBodyStreamed(id);
      co_return true;
    }
    int status = error_status;
    if (error_status == 0) {
      // While the attempt has not taken what was received, the client need not make progress.
      const bool server_waits = upload_->started() && upload_->held() == 0;
      const Micros until = server_waits ? ReadDeadline() : kNever;
      bool notified = co_await stream_->Wait(std::min(until, BlockedDeadline()));
      if (stream_->scheduler().Now() >= BlockedDeadline()) dispatcher.Expire(id);
      if (notified || answered_ || stream_->scheduler().Now() < until) continue;
      status = 408;
    }
    dispatcher.ClientLeft(id);
    if (status > 0) {
      ++front_.parts_.counters.bad;
      front_.parts_.counters.unfinished += status == 408;
      close_after_answer_ = true;
      PrepareAnswer(status, "", "");
      co_await WriteAnswer();
    }
    co_return false;
  }
  co_return true;
}

// The time at which a client must have its answer whose server does not take the body as fast as it comes:
// its last bytes may be waiting unread, in the system's buffers on either side, so that its time may be
// running.
Micros ClientLink::BlockedDeadline() const {
  return blocked_since_ == kNever ? kNever : blocked_since_ + answer_timeout_ + kExpirySlack;
}

// Reads more of the body, as far as the buffer has space. Returns 0 on success, an HTTP status if the body is
// invalid, and a negative number if the client has closed the link.
int ClientLink::ReadBody() {
  bool has_input = !in_.empty();
  while (upload_->held() < upload_window_) {
    if (has_input) {
      const Parsed parsed = parser_.Feed(in_);
      upload_->Append(parser_.body());
      if (parsed == Parsed::kDone) {
        parser_.Take();
        const Micros due = stream_->scheduler().Now() + answer_timeout_;
        upload_->SetComplete(due);
        answer_by_ = std::min(BlockedDeadline(), due + kExpirySlack);
        return 0;
      }
      if (parsed == Parsed::kBad) return 400;
      if (parsed == Parsed::kTooLarge) return 413;
    }
    if (in_.empty()) FreeMemory(in_);
    const Io io = stream_->Read(in_, upload_window_);
    if (io == Io::kLater) blocked_since_ = kNever;
    if (io == Io::kLater) return 0;
    if (io != Io::kSome) return -1;
    has_input = true;
    progress_at_ = stream_->scheduler().Now();
  }
  const bool may_be_complete = parser_.remaining() <= kMaxClientBuffer;
  if (blocked_since_ == kNever && may_be_complete) blocked_since_ = stream_->scheduler().Now();
  return stream_->PeerEnded() ? -1 : 0;  // the end is behind bytes that the buffer has no space for
}

// Writes the rest of a large answer as it arrives. Returns false if it can't be completed: the link is then
// closed before its end.
Task<bool> ClientLink::WriteRest() {
  using Next = BodySource::Next;
  std::string piece, out;
  Micros until = stream_->scheduler().Now() + kWriteTimeout;
  size_t written_this_turn = 0;
  while (true) {
    piece.clear();
    const Next next = body_rest_->Take(piece);
    if (next == Next::kBroken) co_return false;
    if (next == Next::kLater) {
      bool notified = co_await body_rest_->signal().Wait(until);
      if (!notified && stream_->scheduler().Now() >= until) co_return false;
      continue;
    }
    if (chunked_) {
      out.clear();
      AppendChunk(out, piece);  // the last chunk is empty
      piece.swap(out);
    }
    bool written = co_await WriteProgressing(piece);
    if (!written) co_return false;
    until = stream_->scheduler().Now() + kWriteTimeout;
    if (next == Next::kDone) co_return true;
    written_this_turn += piece.size();
    if (written_this_turn < kMaxBytesPerTurn) continue;
    written_this_turn = 0;
    co_await stream_->NextTurn();
  }
}

// Reads bytes of the next queries while one is open, to see whether the client has closed the link behind
// them.
ClientLink::ClientState ClientLink::ReadAhead() {
  has_unread_input_ = false;
  while (const size_t room = ReadAheadRoom()) {
    Io io = stream_->Read(in_, room);
    if (io == Io::kLater) return ClientState::kPresent;
    if (io != Io::kSome) return ClientState::kLeft;
  }
  if (stream_->PeerEnded()) return ClientState::kLeft;
  has_unread_input_ = true;
  return ClientState::kUnknown;
}

// How many bytes may be read ahead now, as far as memory allows.
size_t ClientLink::ReadAheadRoom() {
  if (in_.size() >= kMaxReadAhead) return 0;
  if (in_.size() < ByteBudget::kFreeBytes) return ByteBudget::kFreeBytes - in_.size();
  const size_t wanted = std::min(kMaxReadAhead, std::max(2 * in_.capacity(), kAheadReadBytes));
  if (wanted > in_.capacity()) {
    if (!share_.Resize(wanted)) return 0;
    in_.reserve(wanted);
  }
  return in_.capacity() - in_.size();
}

void ClientLink::Serve(std::unique_ptr<Payload> payload) {
  answer_.reset(static_cast<HttpPayload*>(payload.release()));
  std::string headers;
  AppendEndToEnd(headers, *answer_);
  body_rest_ = answer_->body_rest;
  if (head_only_) {
    // The length that the body would have.
    const std::string* length = answer_->Find("Content-Length");
    PrepareAnswer(200, length ? headers.append("Content-Length: ").append(*length).append("\r\n") : headers,
                  "");
    answer_.reset();
    return;
  }
  PrepareAnswer(200, headers, answer_->body, body_rest_.get());
  if (answer_->body.size() <= kMaxJoinedBody) answer_.reset();
}

void ClientLink::Throttle(Micros retry_after) {
  std::string headers;
  if (retry_after > 0) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(retry_after) / kSecond);
    AppendHeader(headers, platform::kRetryAfter, seconds);
  }
  PrepareAnswer(503, headers, "");
}

void ClientLink::Fail() { PrepareAnswer(502, "", ""); }

void ClientLink::PrepareAnswer(int status, const std::string& headers, std::string_view body,
                               const BodySource* body_rest) {
  // If descriptors run short, the client is asked to close the link with its answer. Closing it later while
  // it is idle could cross the client's next query, which would be lost.
  close_after_answer_ = close_after_answer_ || close_when_idle_ || front_.leaving() || front_.tight() ||
                        (upload_ && !upload_->complete());
  chunked_ = body_rest && !body_rest->length && !http_1_0_client_;
  if (body_rest && !body_rest->length && http_1_0_client_)
    close_after_answer_ = true;  // the end of the link marks the end of the body
  out_ = "HTTP/1.1 " + std::to_string(status) + " ";
  out_.append(ReasonPhrase(status)).append("\r\n").append(headers);
  if (chunked_) {
    AppendHeader(out_, "Transfer-Encoding", "chunked");
  } else if (!body_rest || body_rest->length) {
    if (!head_only_ || status != 200)
      AppendHeader(out_, "Content-Length", std::to_string(body_rest ? *body_rest->length : body.size()));
  }
  if (close_after_answer_) AppendHeader(out_, "Connection", "close");
  if (http_1_0_client_ && !close_after_answer_) AppendHeader(out_, "Connection", "keep-alive");
  out_.append("\r\n");
  const bool joined = body.size() <= kMaxJoinedBody;
  if (chunked_ && !body.empty()) {
    AppendChunkSize(out_, body.size());
    if (joined) out_.append(body).append(kChunkEnd);
  } else if (joined && !head_only_) {
    out_.append(body);
  }
  answered_ = true;
  stream_->Notify();
}

// Writes the answer as far as it has been received: what is in `out_`, and a body that is not copied there.
Task<bool> ClientLink::WriteAnswer() {
  std::string_view rest = out_;  // usually written at once; a coroutine is needed only if the socket is full
  bool written = stream_->Write(rest) == Io::kSome;
  if (!rest.empty()) written = co_await WriteProgressing(rest);
  if (written && answer_) {
    written = co_await WriteProgressing(answer_->body);
    if (written && chunked_) written = co_await WriteProgressing(kChunkEnd);
  }
  answer_.reset();
  if (!written) co_return false;
  out_.clear();
  final_answer_sent_ = close_after_answer_;
  co_return true;
}

// Writes all bytes, however slowly the client takes them. Returns false if the link broke, or if the client
// took none for kWriteTimeout.
Task<bool> ClientLink::WriteProgressing(std::string_view bytes) {
  Micros until = stream_->scheduler().Now() + kWriteTimeout;
  while (!bytes.empty()) {
    const size_t before = bytes.size();
    if (stream_->Write(bytes) == Io::kBroken) co_return false;
    if (bytes.size() < before) until = stream_->scheduler().Now() + kWriteTimeout;
    if (bytes.empty()) break;
    bool notified = co_await stream_->Wait(until);
    if (!notified && stream_->scheduler().Now() >= until) co_return false;
  }
  co_return true;
}

// Ends the sending side and waits for the client to close. Closing a link with unread bytes, or receiving
// some after the close, would reset it and destroy answers that the client has not read yet. A query among
// the bytes is dropped and never forwarded: its client sends it again.
Task<> ClientLink::Linger() {
  const bool final_answer = final_answer_sent_ && !abort_unfinished_;
  const Micros linger_time = upload_                           ? kLingerUnreadTimeout
                             : final_answer || !front_.tight() ? kLingerTimeout
                                                               : kLingerTightTimeout;
  const Micros until = stream_->scheduler().Now() + linger_time;
  size_t dropped = 0;
  ReleaseInput();
  stream_->Finish();
  front_.OnSendingEnded();
  Micros quiet_since = stream_->scheduler().Now();
  while (true) {
    size_t received = 0;
    const Io io = Discard(received);
    if (io != Io::kSome && io != Io::kLater) co_return;
    dropped += received;
    const Micros now = stream_->scheduler().Now();
    if (now >= until || dropped > kMaxDropped) co_return;
    if (received > 0) quiet_since = now;
    if (!upload_ && front_.connections_wait() && now >= quiet_since + kLingerTightTimeout) co_return;
    // Reads one piece per turn: a client that sends without pause must not starve others or outlast `until`.
    co_await stream_->Wait(io == Io::kSome ? now : std::min(until, now + kLingerTightTimeout));
  }
}

// Reads one piece of the input and drops it.
Io ClientLink::Discard(size_t& received) {
  std::string piece;
  const Io io = stream_->Read(piece);
  received = piece.size();
  return io;
}

}  // namespace burlfall
