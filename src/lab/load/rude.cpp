#include "lab/load/rude.h"

#include <algorithm>
#include <array>
#include <utility>

#include "codec/http.h"

namespace burlfall::lab {
namespace {

constexpr size_t kPourPiece = 16384;
constexpr size_t kPourMost = 8 << 20;
constexpr size_t kMostVisits = 2000;  // at a time: what can't end must not use up all descriptors
constexpr size_t kMostRemembered = 1 << 16;
constexpr Micros kUnderQuery = 60 * kMs;  // within which a client leaves
constexpr Micros kRemember = 10 * kSecond;

// Wrong in one way each. Where one has a trace, no client ever sent it: it must not reach a node.
constexpr std::array<std::string_view, 8> kIllFormed = {
    "GET\r\n\r\n",
    "POST /x HTTP/1.1\r\nX-Trace-Id: 00000000000000ff\r\nContent-Length: -5\r\n\r\nhello",
    "POST /x HTTP/1.1\r\nX-Trace-Id: 00000000000000ff\r\nContent-Length: 99999999999999999999\r\n\r\nhello",
    "POST /x HTTP/1.1\r\nContent-Length: 63000000\r\n\r\n",
    "POST /x HTTP/1.1\r\nX-Trace-Id: 00000000000000fe\r\nContent-Length: 4\r\nTransfer-Encoding: "
    "chunked\r\n\r\n"
    "0\r\n\r\nGET /x HTTP/1.1\r\nX-Trace-Id: 00000000000000ff\r\n\r\n",
    "GET /x HTTP/1.1\r\n X-Trace-Id: 00000000000000ff\r\nno colon here\r\n\r\n",
    "GET /no-such-class-and-no-trace HTTP/1.1\r\nHost: burl\r\n\r\n",
    "GET http://elsewhere/ HTTP/1.1\r\nX-Trace-Id: 00000000000000ff\r\n\r\n",
};

}  // namespace

bool IsRude(TraceId trace) { return NumberOfTry(trace) == kMaxTries - 1; }

RudeClients::RudeClients(Machine& machine, WorkBook& works, const Experiment& experiment,
                         const std::vector<Address>& balancers, uint64_t seed)
    : machine_(machine),
      works_(works),
      classes_(experiment.classes),
      text_(experiment.classes, experiment.tenants) {
  for (size_t i = 0; i < balancers.size(); ++i) {
    targets_.emplace_back(balancers[i], Stream64(seed, "rude/" + std::to_string(i)));
  }
}

void RudeClients::Set(int balancer, double links_per_s) {
  Target& target = targets_[static_cast<size_t>(balancer)];
  target.coming = Task<>();
  if (links_per_s <= 0) return;
  target.coming = Come(target, links_per_s);
  target.coming.Start();
}

Task<> RudeClients::Come(Target& target, double links_per_s) {
  Event pause(machine_.scheduler());
  Micros next = machine_.Now();
  while (true) {
    next += static_cast<Micros>(target.draws.Exponential(kSecond / links_per_s));
    co_await pause.Wait(next);
    std::erase_if(visits_, [](const Task<>& visit) { return visit.Done(); });
    const auto kind = static_cast<Kind>(target.draws.Below(5));
    if (visits_.size() >= kMostVisits) continue;
    ++counts_.links;
    visits_.push_back(Visit(target, kind));
    visits_.back().Start();
  }
}

Task<> RudeClients::Visit(Target& target, Kind kind) {
  Stream64& draws = target.draws;
  // All that is drawn is drawn here, whatever becomes of the link.
  const std::string whole = Whole(draws);
  const std::string garbage = Garbage(draws);
  const size_t half = 1 + static_cast<size_t>(draws.Below(static_cast<int>(whole.size()) - 1));
  const Micros stays = static_cast<Micros>(draws.Uniform() * kUnderQuery);
  const bool odd = draws.Chance(0.5);
  const Micros until = machine_.Now() + kPatience;
  NoConnection why = NoConnection::kRefused;
  const std::unique_ptr<Stream> stream = machine_.network().Connect(target.at, why);
  if (!stream && why == NoConnection::kNoResources) ++counts_.no_room;
  if (!stream) co_return;
  const bool up = co_await Connected(*stream, until);
  if (!up) co_return;
  switch (kind) {
    case Kind::kSilent:
      break;
    case Kind::kHalf:
      co_await WriteAll(*stream, std::string_view(whole).substr(0, half), until);
      break;
    case Kind::kGarbage:
      co_await WriteAll(*stream, garbage, until);
      break;
    case Kind::kPour:
      co_await Pour(*stream, odd, until);
      break;
    case Kind::kLeaves: {
      co_await WriteAll(*stream, whole, until);
      Event pause(machine_.scheduler());
      co_await pause.Wait(machine_.Now() + stays);
      ++counts_.left;
      if (odd) stream->Reset();
      co_return;
    }
  }
  co_await AwaitEnd(*stream, until);
}

// A head, or a body, that goes on and on.
Task<> RudeClients::Pour(Stream& stream, bool body, Micros until) {
  std::string piece =
      body ? "POST /x HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" : "GET /x HTTP/1.1\r\nX-Long: ";
  piece.resize(kPourPiece, 'x');
  for (size_t poured = 0; poured < kPourMost; poured += kPourPiece) {
    const bool written = co_await WriteAll(stream, piece, until);
    if (!written || !stream.IsIdle()) break;
    piece.assign(kPourPiece, 'x');
    co_await stream.Wait(machine_.Now());  // a piece a turn: the others want theirs
  }
}

Task<> RudeClients::AwaitEnd(Stream& stream, Micros until) {
  HttpParser parser(HttpParser::Kind::kResponse);
  std::string in;
  while (true) {
    const Io io = stream.Read(in);
    if (io == Io::kSome) {
      const Parsed parsed = parser.Feed(in);
      if (parsed == Parsed::kMore) continue;
      const bool served = parsed == Parsed::kDone && parser.Take().status < 400;
      ++(served ? counts_.served : counts_.refused);
      co_return;
    }
    if (io != Io::kLater) {
      ++counts_.ended;
      co_return;
    }
    const bool notified = co_await stream.Wait(until);
    if (notified) continue;
    ++counts_.ignored;
    co_return;
  }
}

// A query that any client might have sent, with little work.
std::string RudeClients::Whole(Stream64& draws) {
  Arrival query;
  query.cls = draws.Below(static_cast<int>(classes_.size()));
  query.key = 1 + draws.Next() % 1000;
  query.work_us = kMs;
  query.estimate = kMs;
  query.trace = TraceOfTry(FirstTrace(draws.Next()), kMaxTries - 1);
  works_.Note(query.trace, {query.cls, query.work_us}, machine_.Now() + kRemember);
  std::string text;
  text_.Append(text, query, query.trace, 0, kSecond);
  return text;
}

std::string RudeClients::Garbage(Stream64& draws) {
  const int which = draws.Below(2 * static_cast<int>(kIllFormed.size()));
  if (which < static_cast<int>(kIllFormed.size())) {
    return std::string(kIllFormed[static_cast<size_t>(which)]);
  }
  std::string noise;
  for (int n = 16 + draws.Below(1000); n > 0; --n) noise += static_cast<char>(draws.Next());
  return noise + "\r\n\r\n";
}

void WithoutRude::Arrived(const ArrivedAttempt& attempt) {
  if (!IsRude(attempt.trace)) {
    ObserverList::Arrived(attempt);
    return;
  }
  rude_.insert(attempt.attempt);
  order_.push_back(attempt.attempt);
  if (order_.size() <= kMostRemembered) return;
  rude_.erase(order_.front());
  order_.pop_front();
}

}  // namespace burlfall::lab
