#include "lab/load/http_link.h"

#include <utility>

namespace burlfall::lab {
namespace {

// For how long after the other side's orderly end a reset may still follow, and tell that it had closed the
// link between two queries and not read the second.
constexpr Micros kResetFollows = 20 * kMs;

}  // namespace

HttpLink::HttpLink(Owner& owner, std::unique_ptr<Stream> stream, size_t most_body)
    : owner_(owner), stream_(std::move(stream)), parser_(HttpParser::Kind::kResponse, most_body) {}

void HttpLink::Start() {
  task_ = Run();
  task_.Start();
}

HttpLink::Sent HttpLink::Send(std::string_view query) {
  busy_ = true;
  heard_ = false;
  const Io io = stream_->Write(query);
  if (io == Io::kBroken) return Sent::kBroken;
  rest_.assign(query);
  return rest_.empty() ? Sent::kWhole : Sent::kPartly;
}

void HttpLink::Close() {
  closed_ = true;
  stream_->Close();
}

Task<> HttpLink::Run() {
  Stream::State state;
  while ((state = stream_->Opened()) == Stream::State::kOpening) {
    co_await stream_->Wait();
    if (closed_) co_return;
  }
  if (state == Stream::State::kFailed) {
    End(Gone::kNeverUp);
    co_return;
  }
  up_ = true;
  owner_.CameUp(*this);
  while (!closed_) {
    co_await stream_->Wait();
    if (closed_) break;
    if (!rest_.empty()) Flush();
    const Heard heard = closed_ ? Heard::kOver : Hear();
    if (heard == Heard::kOver) break;
    if (heard == Heard::kMore) continue;
    if (busy_ && !heard_ && answers_ > 0 && stream_->Opened() == Stream::State::kUp) {
      co_await stream_->Wait(stream_->scheduler().Now() + kResetFollows);
      if (closed_) break;
    }
    End(stream_->Opened() == Stream::State::kUp ? Gone::kClosed : Gone::kReset);
  }
}

// Reads until nothing is left or an answer is whole; what came behind that shows before the next query.
HttpLink::Heard HttpLink::Hear() {
  while (true) {
    const Io io = stream_->Read(in_);
    if (io == Io::kLater) return Heard::kMore;
    if (io == Io::kBroken) {
      End(Gone::kReset);
      return Heard::kOver;
    }
    if (io == Io::kClosed && (!busy_ || parser_.OnPeerClosed() != Parsed::kDone)) return Heard::kEnd;
    if (io == Io::kSome) {
      heard_ = true;
      const Parsed parsed = busy_ ? parser_.Feed(in_) : Parsed::kBad;
      if (parsed == Parsed::kMore) continue;
      if (parsed != Parsed::kDone) {
        End(Gone::kGarbled);
        return Heard::kOver;
      }
    }
    HttpMessage answer = parser_.Take();
    if (io == Io::kClosed || !in_.empty() || !rest_.empty()) answer.keep_alive = false;
    busy_ = false;
    ++answers_;
    owner_.Answered(*this, std::move(answer));
    return closed_ ? Heard::kOver : Heard::kMore;
  }
}

void HttpLink::Flush() {
  std::string_view left = rest_;
  const Io io = stream_->Write(left);
  rest_.erase(0, rest_.size() - left.size());
  if (io == Io::kSome) owner_.Written(*this);
  // Where it is broken, reading tells how.
}

void HttpLink::End(Gone how) {
  Close();
  owner_.Ended(*this, how);
}

Task<int> Ask(Machine& machine, Address to, std::string question, Micros until) {
  NoConnection why = NoConnection::kRefused;
  const std::unique_ptr<Stream> stream = machine.network().Connect(to, why);
  if (!stream) co_return 0;
  const bool up = co_await Connected(*stream, until);
  if (!up) co_return 0;
  const bool asked = co_await WriteAll(*stream, question, until);
  if (!asked) co_return 0;
  HttpParser parser(HttpParser::Kind::kResponse);
  std::string in;
  while (true) {
    const Io io = stream->Read(in);
    if (io == Io::kLater) {
      const bool notified = co_await stream->Wait(until);
      if (!notified) co_return 0;
      continue;
    }
    const Parsed parsed = io == Io::kSome     ? parser.Feed(in)
                          : io == Io::kClosed ? parser.OnPeerClosed()
                                              : Parsed::kBad;
    if (parsed == Parsed::kDone) co_return parser.Take().status;
    if (parsed != Parsed::kMore) co_return 0;
  }
}

}  // namespace burlfall::lab
