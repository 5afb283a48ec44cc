#include "control/control_server.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "control/control_call.h"

namespace burlfall {
namespace {

constexpr size_t kMostCallBody = 4096;           // calls need no body; a longer one is refused
constexpr Micros kCallPatience = 3 * kSecond;    // to receive a complete call
constexpr Micros kAnswerPatience = 1 * kSecond;  // for the caller to read the response and close
constexpr Micros kAcceptPause = 10 * kMs;

}  // namespace

ControlFront::ControlFront(Machine& machine, const Address& at, size_t most, Operations& operations)
    : machine_(machine),
      operations_(operations),
      most_(most),
      listener_(machine.network().Listen(at)),
      bury_(machine.scheduler()) {}

ControlFront::~ControlFront() = default;

ControlFront::Call::Call(std::unique_ptr<Stream> from)
    : stream(std::move(from)), parser(HttpParser::Kind::kRequest, kMostCallBody) {}

void ControlFront::Open() {
  burier_ = Bury();
  burier_.Start();
  accept_ = Accept();
  accept_.Start();
}

Task<> ControlFront::Accept() {
  while (true) {
    bool none = false;
    while (!none) {
      MakeRoom();
      std::unique_ptr<Stream> stream;
      const Listener::Accepted accepted = listener_->Accept(stream);
      none = accepted != Listener::Accepted::kOne;
      if (none) {
        // Free descriptors cause no notification, so retry after a pause.
        const bool room = accepted == Listener::Accepted::kNone;
        co_await listener_->Wait(room ? kNever : machine_.Now() + kAcceptPause);
        continue;
      }
      calls_.push_back(std::make_unique<Call>(std::move(stream)));
      Call& call = *calls_.back();
      call.task = Serve(call);
      call.task.Start();  // reads at once: a call that arrived completely is answered before the next accept
    }
  }
}

// Closes the oldest connection, preferring those that were answered. Keeps callers that send nothing, or an
// incomplete call, from blocking the next call.
void ControlFront::MakeRoom() {
  std::erase_if(calls_, [](const auto& call) { return call->over; });
  if (calls_.size() < most_) return;
  auto it = std::find_if(calls_.begin(), calls_.end(), [](const auto& call) { return call->answered; });
  calls_.erase(it != calls_.end() ? it : calls_.begin());
}

// Returns the response that is due; empty while more input is needed.
std::string ControlFront::Read(Call& call, Parsed parsed) {
  switch (parsed) {
    case Parsed::kMore:
      return "";
    case Parsed::kDone:  // handled in Serve()
    case Parsed::kBad:
      return AnswerBad(400);
    case Parsed::kHeadComplete:
    case Parsed::kTooLarge:
      return AnswerBad(call.parser.Take().method.empty() ? 431 : 413);
  }
  return "";
}

// Executes a call. A change first needs permission, because the balancers coordinate changes.
Task<std::string> ControlFront::Carry(HttpMessage message) {
  const std::optional<ChangeCall> change = ChangeOf(message);
  if (!change) co_return AnswerCall(message, operations_);
  const Leave leave = co_await operations_.MayBegin(*change);
  if (!leave.granted) co_return AnswerRefused(leave);
  std::string answer = AnswerCall(message, operations_);
  co_await operations_.Ended(leave);
  co_return answer;
}

Task<> ControlFront::Serve(Call& call) {
  const Micros until = machine_.Now() + kCallPatience;
  std::string answer;
  bool gone = false;
  while (answer.empty() && !gone) {
    const Io io = call.stream->Read(call.in);
    if (io == Io::kSome) {
      const Parsed parsed = call.parser.Feed(call.in);
      if (parsed == Parsed::kDone) {
        HttpMessage message = call.parser.Take();
        answer = co_await Carry(std::move(message));
      } else {
        answer = Read(call, parsed);
      }
      if (call.parser.ExpectsContinue()) {
        std::string_view leave = "HTTP/1.1 100 Continue\r\n\r\n";
        call.stream->Write(leave);
      }
    } else if (io == Io::kLater) {
      bool notified = co_await call.stream->Wait(until);
      if (!notified) answer = AnswerBad(408);
    } else {
      gone = true;
    }
  }
  if (!gone) {
    call.answered = true;
    const Micros last = machine_.Now() + kAnswerPatience;
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
  call.over = true;
  bury_.Notify();
}

// Destroys finished calls later, because a call that has just ended is still running.
Task<> ControlFront::Bury() {
  while (true) {
    co_await bury_.Wait();
    std::erase_if(calls_, [](const auto& call) { return call->over; });
  }
}

}  // namespace burlfall
