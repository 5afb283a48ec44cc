#include "control/control_server.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "control/control_call.h"

namespace burlfall {
namespace {

constexpr size_t kMaxCallBody = 4096;           // calls need no body; a longer one is refused
constexpr Micros kCallTimeout = 3 * kSecond;    // to receive a complete call
constexpr Micros kAnswerTimeout = 1 * kSecond;  // for the caller to read the response and close
constexpr Micros kAcceptPause = 10 * kMs;
constexpr size_t kMaxAcceptedPerTurn = 16;

}  // namespace

ControlServer::ControlServer(Machine& machine, const Address& at, size_t max_connections,
                             Operations& operations)
    : machine_(machine),
      operations_(operations),
      max_connections_(max_connections),
      listener_(machine.network().Listen(at)),
      reap_(machine.scheduler()) {}

ControlServer::~ControlServer() = default;

ControlServer::Call::Call(std::unique_ptr<Stream> from)
    : stream(std::move(from)), parser(HttpParser::Kind::kRequest, kMaxCallBody) {}

void ControlServer::Open() {
  reaper_ = ReapCalls();
  reaper_.Start();
  accept_ = Accept();
  accept_.Start();
}

Task<> ControlServer::Accept() {
  for (size_t accepted = 0;;) {
    EvictCalls();
    std::unique_ptr<Stream> stream;
    const Listener::Accepted result = listener_->Accept(stream);
    if (result != Listener::Accepted::kOne) {
      // Free descriptors cause no notification, so retry after a pause.
      const bool has_descriptors = result == Listener::Accepted::kNone;
      co_await listener_->Wait(has_descriptors ? kNever : machine_.Now() + kAcceptPause);
      accepted = 0;
      continue;
    }
    calls_.push_back(std::make_unique<Call>(std::move(stream)));
    Call& call = *calls_.back();
    call.task = Serve(call);
    call.task.Start();  // reads at once: a call that arrived completely is answered before the next accept
    if (++accepted % kMaxAcceptedPerTurn == 0) co_await listener_->NextTurn();
  }
}

// Closes the oldest connection, preferring those that were answered. Keeps callers that send nothing, or an
// incomplete call, from blocking the next call.
void ControlServer::EvictCalls() {
  std::erase_if(calls_, [](const auto& call) { return call->finished; });
  if (calls_.size() < max_connections_) return;
  auto it = std::find_if(calls_.begin(), calls_.end(), [](const auto& call) { return call->answered; });
  calls_.erase(it != calls_.end() ? it : calls_.begin());
}

// Returns the response that is due; empty while more input is needed.
std::string ControlServer::Read(Call& call, Parsed parsed) {
  switch (parsed) {
    case Parsed::kMore:
      return "";
    case Parsed::kDone:  // handled in Serve()
    case Parsed::kBad:
      return ErrorAnswer(400);
    case Parsed::kHeadComplete:
    case Parsed::kTooLarge:
      return ErrorAnswer(call.parser.Take().method.empty() ? 431 : 413);
  }
  return "";
}

// Executes a call. A change first needs permission, because the balancers coordinate changes.
Task<std::string> ControlServer::Execute(HttpMessage message) {
  const std::optional<ChangeCall> change = ParseChange(message);
  if (!change) co_return AnswerCall(message, operations_);
  const ChangePermission permission = co_await operations_.RequestPermission(*change);
  if (!permission.granted) co_return RefusalAnswer(permission);
  std::string answer = AnswerCall(message, operations_);
  co_await operations_.ReleasePermission(permission);
  co_return answer;
}

Task<> ControlServer::Serve(Call& call) {
  const Micros until = machine_.Now() + kCallTimeout;
  std::string answer;
  bool disconnected = false;
  while (answer.empty() && !disconnected) {
    const Io io = call.stream->Read(call.in);
    if (io == Io::kSome) {
      const Parsed parsed = call.parser.Feed(call.in);
      if (parsed == Parsed::kDone) {
        HttpMessage message = call.parser.Take();
        answer = co_await Execute(std::move(message));
      } else {
        answer = Read(call, parsed);
      }
      if (call.parser.ExpectsContinue()) {
        std::string_view interim_response = "HTTP/1.1 100 Continue\r\n\r\n";
        call.stream->Write(interim_response);
      }
    } else if (io == Io::kLater) {
      bool notified = co_await call.stream->Wait(until);
      if (!notified) answer = ErrorAnswer(408);
    } else {
      disconnected = true;
    }
  }
  if (!disconnected) {
    call.answered = true;
    const Micros last = machine_.Now() + kAnswerTimeout;
    bool written = co_await WriteAll(*call.stream, answer, last);
    if (written) call.stream->Finish();
    // Reads until the caller closes: closing with unread bytes would reset the connection, and the response
    // could be lost.
    while (written && machine_.Now() < last) {
      call.in.clear();
      const Io io = call.stream->Read(call.in);
      if (io != Io::kSome && io != Io::kLater) break;
      // Reads one piece per turn, so that a caller that keeps sending does not starve the others.
      co_await call.stream->Wait(io == Io::kSome ? machine_.Now() : last);
    }
  }
  call.stream->Close();
  call.finished = true;
  reap_.Notify();
}

// Destroys finished calls later, because a call that has just ended is still running.
Task<> ControlServer::ReapCalls() {
  while (true) {
    co_await reap_.Wait();
    std::erase_if(calls_, [](const auto& call) { return call->finished; });
  }
}

}  // namespace burlfall
