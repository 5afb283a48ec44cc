#include "front/client_link.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <new>
#include <optional>
#include <utility>

#include "codec/words.h"
#include "config/platform.h"
#include "front/http_front.h"

namespace burlfall {
namespace {

// From a query's first byte to its last: whoever can't send one is owed a word, or the end, within 3 s.
constexpr Micros kReadPatience = 2500 * kMs;
// And after that only where it goes on: a body may come slowly.
constexpr Micros kStallPatience = 1 * kSecond;
constexpr Micros kWritePatience = 10 * kSecond;
constexpr Micros kLinger = 1 * kSecond;
constexpr Micros kLingerUnread = 5 * kSecond;  // where a large query was answered before it had come
// Where descriptors run short: others wait for this one, and whoever hears of our end closes within a round
// trip.
constexpr Micros kLingerTight = 100 * kMs;
constexpr size_t kMostDropped =
    kMaxStreamedBody;  // of what comes behind the last answer: a large query's body
constexpr Micros kMostPatience = 3600 * kSecond;

// A whole number of microseconds within reason; anything else says nothing.
Micros ParseSize(const std::string* text) {
  Micros size = 0;
  if (text == nullptr) return 0;
  auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), size);
  return error == std::errc() && end == text->data() + text->size() && size > 0 && size <= kMostPatience
             ? size
             : 0;
}

// "480m" or "1500u"; anything else says nothing.
Micros ParseExpiry(const std::string* text, Micros fallback) {
  if (text == nullptr) return fallback;
  double number = 0;
  const char* end = text->data() + text->size();
  auto [unit, error] = std::from_chars(text->data(), end, number);
  if (error != std::errc() || end - unit != 1 || !std::isfinite(number) || number < 0) return fallback;
  if (*unit != 'm' && *unit != 'u') return fallback;
  return static_cast<Micros>(std::min(number * (*unit == 'm' ? kMs : 1), static_cast<double>(kMostPatience)));
}

std::string_view FirstPart(std::string_view target) {
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Of a class by the first part of a path. What a path can't hold as it is stands there escaped.
int ClassOf(const NameIndex& classes, std::string_view part) {
  const int plain = classes.Find(PlainName(part));
  std::string meant;
  if (plain >= 0 || part.find('%') == std::string_view::npos || !Unescaped(part, meant)) return plain;
  return classes.Find(PlainName(meant));
}

}  // namespace

ClientLink::ClientLink(std::unique_ptr<Stream> stream, HttpFront& front, QuietLink from)
    : asked(from.asked),
      front_(front),
      stream_(std::move(stream)),
      parser_(HttpParser::Kind::kRequest, front.parts_.config.in_service ? kMaxStreamedBody : kMaxHeldBody),
      share_(front.bytes()),
      in_(std::move(from.read)),
      began_before_(from.began) {}

ClientLink::~ClientLink() {
  if (upload_) upload_->Leave();
}

void ClientLink::Start() {
  idle_since_ = stream_->scheduler().Now();
  task_ = Run();
  task_.Start();
}

LinkStatus ClientLink::Status(Micros now) const {
  using Activity = LinkStatus::Activity;
  if (busy_ || leave_ || cut_ || leaving_) return {Activity::kBusy, 0};
  if (began_ != 0) return {Activity::kPartialQuery, now - std::max(began_, progress_at_)};
  return {asked ? Activity::kIdle : Activity::kNoQueryYet, now - idle_since_};
}

void ClientLink::Leave() {
  leave_ = true;
  stream_->Notify();
}

void ClientLink::Cut() {
  cut_ = true;
  stream_->Notify();
}

Task<> ClientLink::Run() {
  while (true) {
    bool whole = co_await ReadQuery();
    if (!whole) break;
    busy_ = true;
    front_.Busy(*this);
    bool stays = co_await Handle();
    busy_ = false;
    share_.Clear();
    idle_since_ = stream_->scheduler().Now();
    front_.Free(*this);
    if (!stays) break;
  }
  leaving_ = true;
  if ((told_ || asked) && !passed_) co_await Linger();
  // Here and now, not when the front buries this link: it was read empty a moment ago, and a query that comes
  // between that and the close is lost. Guards against the turn that once lay between the two.
  if (!passed_) stream_->Close();
  front_.Retire(*this);
}

// False where the link is to be closed without an answer, or was answered by an error of ours.
Task<bool> ClientLink::ReadQuery() {
  began_ = std::exchange(began_before_, 0);
  while (true) {
    if (began_ == 0 && !in_.empty()) began_ = stream_->scheduler().Now();
    Parsed parsed = in_.empty() ? Parsed::kMore : parser_.Feed(in_);
    if (parsed == Parsed::kHeadComplete && HoldMore()) continue;
    if (parsed == Parsed::kDone || parsed == Parsed::kHeadComplete) {
      if (parsed == Parsed::kHeadComplete) {
        upload_ = std::make_shared<Upload>(stream_->scheduler(), [this] { stream_->Notify(); });
        upload_->length = parser_.length();
      }
      co_return true;
    }
    Io io = Io::kSome;
    if (parsed == Parsed::kMore && Continue()) {
      io = stream_->Read(in_);
      if (io == Io::kSome) {
        progress_at_ = stream_->scheduler().Now();
        continue;
      }
      if (io != Io::kLater) co_return false;
      // Only here, with nothing left to read: what has come whole gets its answer.
      if (leave_ && began_ == 0) co_return false;
      if (front_.passes() && !cut_ && parser_.ReadingHead()) {
        passed_ = front_.Pass(*stream_, {asked, began_, in_}) == Io::kSome;
        if (passed_) co_return false;
      }
      if (!cut_ || began_ == 0) {
        bool notified = co_await stream_->Wait(began_ == 0 ? kNever : ReadUntil());
        if (notified) continue;
      }
    }
    ++front_.parts_.counters.bad;
    last_ = true;
    Answer(parsed == Parsed::kMore ? 408 : parsed == Parsed::kBad ? 400 : 413, "", "");
    co_await WriteAnswer();
    co_return false;
  }
}

// A head has its time; of a body it counts that it goes on.
Micros ClientLink::ReadUntil() const {
  const Micros until = began_ + kReadPatience;
  return parser_.ReadingHead() || !front_.parts_.config.in_service
             ? until
             : std::max(until, progress_at_ + kStallPatience);
}

// Room to hold the whole body, while there is some: its server then waits for no slow client, and the module
// may send it again.
bool ClientLink::HoldMore() {
  const size_t held = kMaxHeldBody + share_.held();
  const size_t wanted = parser_.length().value_or(held + kMaxHeldBody);
  if (!share_.Grow(wanted - held)) return false;
  try {
    if (parser_.length()) parser_.body().reserve(wanted);
  } catch (const std::bad_alloc&) {  // what the budget allows the system may not have: the body then flows
    return false;
  }
  parser_.SetHoldLimit(wanted);
  return true;
}

// A client that waits for leave to send the body gets it; false where it can't be told.
bool ClientLink::Continue() {
  if (!parser_.ExpectsContinue()) return true;
  std::string_view leave = "HTTP/1.1 100 Continue\r\n\r\n";
  return stream_->Write(leave) == Io::kSome;
}

// Answers one query; false where the link is to be closed.
Task<bool> ClientLink::Handle() {
  HttpMessage message = upload_ ? parser_.TakeHead() : parser_.Take();
  last_ = !message.keep_alive;
  old_client_ = message.http_1_0;
  head_only_ = message.method == "HEAD";
  answered_ = false;
  const meadowslip::Settings& settings = front_.parts_.config.settings;
  std::string_view path = std::string_view(message.target).substr(0, message.target.find('?'));
  int request_class = ClassOf(front_.classes_, FirstPart(message.target));
  const bool named = message.Find(platform::kTraceId) != nullptr;
  const bool ours = !named && message.method == "GET";
  if (ours && path == platform::kUpPath) {
    Answer(front_.up() ? 200 : 503, "", front_.up() ? "up\n" : "not serving\n");
  } else if (ours && path == platform::kCountersPath) {
    Answer(200, "", front_.parts_.counters.Text() + "\n");
  } else if ((named || request_class >= 0) && TurnedAway(message, request_class)) {
    // Answered; the module does not hear of it.
  } else if (!named) {
    ++front_.parts_.counters.bad;
    Answer(request_class < 0 ? 404 : 400, "", "");
  } else if (FirstPart(message.target).empty()) {
    ++front_.parts_.counters.bad;
    Answer(404, "", "");
  } else {
    IncomingQuery query;
    query.sink = this;
    query.request.request_class = request_class;
    const std::string* tenant = message.Find(platform::kTenant);
    query.request.tenant = tenant != nullptr ? std::max(0, front_.tenants_.Find(PlainName(*tenant))) : 0;
    if (Figures* figures = front_.parts_.figures) {
      query.labels.series = figures->Of(request_class, tenant);
      figures->Add(query.labels.series, Figure::kRequests);
    }
    const std::string* second = message.Find(platform::kSecondTry);
    query.request.client_retry = second != nullptr && *second == "1";
    query.request.estimate = ParseSize(message.Find(platform::kSizeHint));
    Micros patience = request_class < 0 ? 0 : settings.classes[static_cast<size_t>(request_class)].deadline;
    // The client counts from its sending. The first bytes are the nearest to that, but for a query that was
    // written slowly: there it is the last.
    const Micros sent_at = front_.parts_.config.in_service ? stream_->scheduler().Now() : began_;
    upload_patience_ = ParseExpiry(message.Find(platform::kExpiresIn), patience);
    query.request.give_up_at = sent_at + upload_patience_;
    auto payload = std::make_unique<HttpPayload>(std::move(message));
    query.labels.trace = payload->Find(platform::kTraceId);
    query.labels.tenant = payload->Find(platform::kTenant);
    if (request_class < 0) query.labels.odd_class = FirstPart(payload->target);
    // Guards against an attempt for a client that is gone: where its end came in one batch with the request,
    // or behind pipelined ones, no further notice tells of it.
    if (upload_ ? stream_->Ended() : !Listen()) {
      ++front_.parts_.counters.taken;
      ++front_.parts_.counters.left;
      if (Figures* figures = front_.parts_.figures) figures->Add(query.labels.series, Figure::kLeft);
      co_return false;
    }
    payload->body_rest = upload_;
    query.payload = std::move(payload);
    const meadowslip::RequestId id = front_.parts_.dispatcher.Submit(std::move(query));
    if (upload_) {
      bool owed = co_await Await(id);
      if (!owed) co_return false;
    }
    for (bool heard = !upload_; !answered_; heard = true) {  // what is behind a large body was not read yet
      if (heard) co_await stream_->Wait();
      if (!answered_ && !Listen()) {
        front_.parts_.dispatcher.ClientLeft(id);
        co_return false;
      }
    }
  }
  bool written = co_await WriteAnswer();
  const bool to_end = body_rest_ && !body_rest_->length && old_client_;
  if (written && body_rest_) written = co_await WriteRest();
  // Guards an old client, to whom the end of the link says that the answer is whole.
  if (!written && to_end) stream_->Reset();
  body_rest_.reset();
  if (upload_) {
    upload_->Leave();
    if (upload_->whole()) upload_.reset();
  }
  co_return written && !last_;
}

// Until the rest of a large query has come, or it is answered before. False where the link ends: the client
// left, or was told what is wrong with the rest.
Task<bool> ClientLink::Await(meadowslip::RequestId id) {
  Dispatcher& dispatcher = front_.parts_.dispatcher;
  bool told = false;
  while (!answered_) {
    if (upload_->began() && !told) {
      told = true;
      dispatcher.OnBodyStreamed(id);
      if (!Continue()) {
        dispatcher.ClientLeft(id);
        co_return false;
      }
    }
    const int wrong = ReadBody();
    if (upload_->whole() && wrong == 0) {
      if (told) dispatcher.OnBodyStreamed(id);
      co_return true;
    }
    int status = wrong;
    if (wrong == 0) {
      // While nobody takes what has come, the client is not to blame.
      const bool waits = upload_->began() && upload_->held() == 0;
      const Micros until = waits ? ReadUntil() : kNever;
      bool notified = co_await stream_->Wait(until);
      if (notified || stream_->scheduler().Now() < until) continue;
      status = 408;
    }
    dispatcher.ClientLeft(id);
    if (status > 0) {
      ++front_.parts_.counters.bad;
      last_ = true;
      Answer(status, "", "");
      co_await WriteAnswer();
    }
    co_return false;
  }
  co_return true;
}

// Reads on, as far as there is room. 0: all is well; a status: what is wrong with it; below 0: the client has
// closed the link.
int ClientLink::ReadBody() {
  const size_t most = front_.most_held();
  bool fresh = !in_.empty();
  while (upload_->held() < most) {
    if (fresh) {
      const Parsed parsed = parser_.Feed(in_);
      upload_->Put(parser_.body());
      if (parsed == Parsed::kDone) {
        parser_.Take();
        upload_->Finish(stream_->scheduler().Now() + upload_patience_);
        return 0;
      }
      if (parsed == Parsed::kBad) return 400;
      if (parsed == Parsed::kTooLarge) return 413;
    }
    const Io io = stream_->Read(in_);
    if (io == Io::kLater) return 0;
    if (io != Io::kSome) return -1;
    fresh = true;
    progress_at_ = stream_->scheduler().Now();
  }
  return stream_->Ended() ? -1 : 0;  // behind what there is no room for
}

// The rest of a large answer, as it comes. False where it can't be whole: the link then closes short of it.
Task<bool> ClientLink::WriteRest() {
  using Next = BodySource::Next;
  std::string piece, out;
  Micros until = stream_->scheduler().Now() + kWritePatience;
  while (true) {
    piece.clear();
    const Next next = body_rest_->Take(piece);
    if (next == Next::kBroken) co_return false;
    if (next == Next::kLater) {
      bool notified = co_await body_rest_->signal().Wait(until);
      if (!notified && stream_->scheduler().Now() >= until) co_return false;
      continue;
    }
    if (chunks_) {
      out.clear();
      AppendChunk(out, piece);  // with the last one, which is empty
      piece.swap(out);
    }
    std::string_view rest = piece;
    while (!rest.empty()) {
      const size_t before = rest.size();
      const Io io = stream_->Write(rest);
      if (io == Io::kBroken) co_return false;
      if (rest.size() < before) until = stream_->scheduler().Now() + kWritePatience;
      if (rest.empty()) break;
      bool notified = co_await stream_->Wait(until);
      if (!notified && stream_->scheduler().Now() >= until) co_return false;
    }
    until = stream_->scheduler().Now() + kWritePatience;
    if (next == Next::kDone) co_return true;
  }
}

// The gates that the operators set, before anything else hears of the query. True where it was answered here.
bool ClientLink::TurnedAway(const HttpMessage& message, int request_class) {
  const std::string* tenant = message.Find(platform::kTenant);
  auto count = [&](Figure why) {
    if (Figures* figures = front_.parts_.figures) {
      Figures::Series series = figures->Of(request_class, tenant);
      figures->Add(series, Figure::kRequests);
      figures->Add(series, why);
    }
  };
  // Tokens first: forged queries must not use up a caller's bucket.
  if (front_.parts_.tokens.enabled()) {
    const std::string* token = nullptr;
    bool twice = false;
    for (const Header& header : message.headers) {
      if (!EqualsIgnoreCase(header.name, platform::kToken)) continue;
      twice = twice || token != nullptr;
      token = &header.value;
    }
    std::string_view cls;
    if (request_class >= 0)
      cls = front_.parts_.config.settings.classes[static_cast<size_t>(request_class)].name;
    const Tokens::Verdict verdict =
        twice ? Tokens::Verdict::kForged  // one of them may have been added on the way
              : front_.parts_.tokens.Check(token != nullptr ? std::string_view(*token) : "", cls,
                                           front_.parts_.machine.WallClock());
    if (verdict != Tokens::Verdict::kPass) {
      const TokenResponse answer = ResponseFor(verdict);
      std::string headers;
      AppendHeader(headers, "Content-Type", "text/plain");
      if (answer.status == 401) AppendHeader(headers, platform::kChallenge, platform::kToken);
      ++front_.parts_.counters.denied;
      count(Figure::kDenied);
      Answer(answer.status, headers, answer.body);
      return true;
    }
  }
  if (front_.parts_.not_ready && request_class >= 0) {
    const meadowslip::Settings& settings = front_.parts_.config.settings;
    const Micros patience = settings.classes[static_cast<size_t>(request_class)].deadline;
    if (const std::optional<Micros> wait = front_.parts_.not_ready(patience)) {
      ++front_.parts_.counters.not_ready;
      count(Figure::kThrottled);
      std::string headers;
      const Micros told = std::min(*wait, settings.max_retry_after);
      if (settings.retry_after && told > 0)
        AppendHeader(headers, platform::kRetryAfter, RateLimiter::FormatSeconds(told));
      Answer(503, headers, "");
      return true;
    }
  }
  RateLimiter& limiter = front_.parts_.rate_limiter;
  if (!limiter.enabled()) return false;
  std::string key = platform::kNobody;
  if (limiter.by_address()) {
    const std::string from = HostOf(stream_->Peer());
    if (!from.empty()) key = from;
  } else if (tenant != nullptr && !tenant->empty()) {
    key = *tenant;
  }
  const std::optional<Micros> wait = limiter.CheckLimit(key, stream_->scheduler().Now());
  if (!wait) return false;
  ++front_.parts_.counters.limited;
  count(Figure::kLimited);
  std::string headers;
  if (*wait != kNever) AppendHeader(headers, platform::kRetryAfter, RateLimiter::FormatSeconds(*wait));
  Answer(429, headers, "");
  return true;
}

// What comes while a query runs belongs to the next one; false where the client has closed the link.
bool ClientLink::Listen() {
  while (in_.size() < kMaxHead + kMaxHeldBody) {  // beyond that the client waits
    Io io = stream_->Read(in_);
    if (io == Io::kLater) return true;
    if (io != Io::kSome) return false;
  }
  return !stream_->Ended();
}

void ClientLink::Serve(const Payload& payload) {
  const auto& answer = static_cast<const HttpPayload&>(payload);
  std::string headers;
  AppendEndToEnd(headers, answer);
  body_rest_ = answer.body_rest;
  if (head_only_) {
    // What the body would be, in its place.
    const std::string* length = answer.Find("Content-Length");
    Answer(200, length ? headers.append("Content-Length: ").append(*length).append("\r\n") : headers, "");
  } else {
    Answer(200, headers, answer.body, body_rest_.get());
  }
}

void ClientLink::Throttle(Micros retry_after) {
  std::string headers;
  if (retry_after > 0) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(retry_after) / kSecond);
    AppendHeader(headers, platform::kRetryAfter, seconds);
  }
  Answer(503, headers, "");
}

void ClientLink::Fail() { Answer(502, "", ""); }

void ClientLink::Answer(int status, const std::string& headers, std::string_view body,
                        const BodySource* body_rest) {
  // Where descriptors run short the client is told with its answer. Guards the query that would cross the
  // close of a link that looked idle: it is lost.
  last_ = last_ || leave_ || front_.leaving() || front_.tight() || (upload_ && !upload_->whole());
  chunks_ = body_rest && !body_rest->length && !old_client_;
  if (body_rest && !body_rest->length && old_client_) last_ = true;  // its end is the link's
  out_ = "HTTP/1.1 " + std::to_string(status) + " ";
  out_.append(ReasonPhrase(status)).append("\r\n").append(headers);
  if (chunks_) {
    AppendHeader(out_, "Transfer-Encoding", "chunked");
  } else if (!body_rest || body_rest->length) {
    if (!head_only_ || status != 200)
      AppendHeader(out_, "Content-Length", std::to_string(body_rest ? *body_rest->length : body.size()));
  }
  if (last_) AppendHeader(out_, "Connection", "close");
  if (old_client_ && !last_) AppendHeader(out_, "Connection", "keep-alive");
  out_.append("\r\n");
  if (chunks_) {
    if (!body.empty()) AppendChunk(out_, body);
  } else if (!head_only_) {
    out_.append(body);
  }
  answered_ = true;
  stream_->Notify();
}

Task<bool> ClientLink::WriteAnswer() {
  // At once as a rule; only what finds no room costs a coroutine of its own.
  std::string_view rest = out_;
  bool written = stream_->Write(rest) == Io::kSome;
  if (!rest.empty()) {
    written = co_await WriteAll(*stream_, rest, stream_->scheduler().Now() + kWritePatience);
  }
  if (!written) co_return false;
  out_.clear();
  told_ = last_;
  co_return true;
}

// Waits for the client's end after ours. Guards the answers that it has not read yet: closing over bytes that
// were not read, or into which some come, would reset the link. A query among them is dropped, never sent on:
// its client sends it again.
Task<> ClientLink::Linger() {
  const bool last = told_ && !cut_;
  const Micros span = upload_ ? kLingerUnread : last || !front_.tight() ? kLinger : kLingerTight;
  const Micros until = stream_->scheduler().Now() + span;
  size_t dropped = 0;
  stream_->Finish();
  front_.Finished();
  while (true) {
    in_.clear();
    Io io = stream_->Read(in_);
    if (io != Io::kSome && io != Io::kLater) co_return;
    dropped += in_.size();
    const Micros now = stream_->scheduler().Now();
    if (now >= until || dropped > kMostDropped) co_return;
    // A piece a turn. Guards the others, and the end of this one, against a client that pours on.
    co_await stream_->Wait(io == Io::kSome ? now : until);
  }
}

}  // namespace burlfall
