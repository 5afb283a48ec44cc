#include "lab/site/stand_in.h"

#include <algorithm>
#include <system_error>
#include <utility>

namespace burlfall::lab {
namespace {

constexpr Micros kWriteTimeout = 10 * kSecond;
constexpr Micros kNoRoomPause = 50 * kMs;
constexpr uint64_t kFirstPort = 12000;
constexpr uint64_t kPorts = 20000;
constexpr int kMaxPortTries = 100;
constexpr int kBacklog = 4096;
// Number of links above the limit that still get an answer; further ones are reset.
constexpr int kMaxOverLimit = 64;

}  // namespace

std::string_view ParameterOf(std::string_view target, std::string_view name) {
  size_t at = target.find('?');
  while (at != std::string_view::npos) {
    target.remove_prefix(at + 1);
    at = target.find('&');
    const std::string_view one = target.substr(0, at);
    if (one.starts_with(name) && one.substr(name.size()).starts_with('=')) return one.substr(name.size() + 1);
  }
  return {};
}

StandIn::StandIn(Machine& machine, Limits limits, std::vector<Address> at)
    : machine_(machine), limits_(limits), link_ended_(machine.scheduler()) {
  for (size_t i = 0; i < at.size(); ++i) {
    endpoints_.push_back(std::make_unique<Endpoint>());
    endpoints_.back()->balancer = static_cast<int>(i);
  }
  SetAddresses(std::move(at));
  destroy_task_ = DestroyEndedLinks();
  destroy_task_.Start();
}

StandIn::~StandIn() = default;

void StandIn::SetAddresses(std::vector<Address> at) {
  for (size_t i = 0; i < endpoints_.size(); ++i) endpoints_[i]->at = std::move(at[i]);
}

void StandIn::Open() {
  open_ = true;
  for (auto& endpoint : endpoints_) UpdateListener(*endpoint);
}

void StandIn::CloseAll() {
  open_ = false;
  for (auto it = links_.begin(); it != links_.end();) {
    Link& link = **it;
    ++it;
    if (link.silent) continue;  // a reset would not reach the balancer either
    link.stream->Reset();
    links_.erase(link.place);
  }
  for (auto& endpoint : endpoints_) UpdateListener(*endpoint);
}

void StandIn::Cut(int balancer, bool on) {
  Endpoint& endpoint = *endpoints_[static_cast<size_t>(balancer)];
  if (endpoint.cut == on) return;
  endpoint.cut = on;
  if (!on) EndCut(endpoint);
  UpdateListener(endpoint);
  if (on) BeginCut(endpoint);
}

// Opens or closes the listener according to `open_` and `cut`. A cut endpoint has a listener even if the
// process is dead: without it, new connections would be refused, which the balancer would notice.
void StandIn::UpdateListener(Endpoint& endpoint) {
  if (!open_ || endpoint.cut) endpoint.task = Task<>();
  if (!open_ && !endpoint.cut) endpoint.listener.reset();
  if (endpoint.listener == nullptr && (open_ || endpoint.cut)) {
    endpoint.listener = Bind(endpoint.at);
    endpoint.at = endpoint.listener->Local();
  }
  if (!open_ || endpoint.cut || !endpoint.task.Done()) return;
  endpoint.task = Accept(endpoint);
  endpoint.task.Start();
}

// For port 0, chooses a port below the range of ephemeral ports. Otherwise an outgoing connection could
// occupy the port while the stand-in is down and prevent it from listening again at its address.
std::unique_ptr<Listener> StandIn::Bind(const Address& at) {
  if (!at.text.ends_with(":0")) return machine_.network().Listen(at);
  for (int tries = 1;; ++tries) {
    const uint64_t port = kFirstPort + machine_.Entropy() % kPorts;
    const auto one = ReadAddress(at.text.substr(0, at.text.size() - 1) + std::to_string(port));
    try {
      return machine_.network().Listen(*one);
    } catch (const std::system_error&) {
      if (tries == kMaxPortTries) throw;
    }
  }
}

void StandIn::BeginCut(Endpoint& endpoint) {
  endpoint.listener->SetBacklog(0);
  NoConnection why = NoConnection::kRefused;
  endpoint.backlog_filler = machine_.network().Connect(endpoint.at, why);
  for (auto& link : links_) {
    if (link->endpoint != &endpoint) continue;
    link->silent = true;
    link->task = DrainSilentLink(*link);
    link->task.Start();
  }
}

void StandIn::EndCut(Endpoint& endpoint) {
  for (auto it = links_.begin(); it != links_.end();) {
    Link& link = **it;
    ++it;
    if (link.endpoint != &endpoint || !link.silent) continue;
    OnClosed(link);
    link.stream->Reset();
    links_.erase(link.place);
  }
  endpoint.backlog_filler.reset();
  // Connections that came up in the backlog meanwhile are reset like the other silent links.
  std::unique_ptr<Stream> stream;
  while (endpoint.listener->Accept(stream) == Listener::Accepted::kOne) stream->Reset();
  endpoint.listener->SetBacklog(kBacklog);
}

Task<> StandIn::Accept(Endpoint& endpoint) {
  while (true) {
    std::unique_ptr<Stream> stream;
    const Listener::Accepted accepted = endpoint.listener->Accept(stream);
    if (accepted == Listener::Accepted::kNone) co_await endpoint.listener->Wait();
    if (accepted == Listener::Accepted::kNoResources) co_await SleepUntil(machine_.Now() + kNoRoomPause);
    if (accepted != Listener::Accepted::kOne) continue;
    if (links() >= limits_.max_links + kMaxOverLimit) {
      stream->Reset();
      continue;
    }
    std::unique_ptr<Link> link = NewLink();
    link->stream = std::move(stream);
    link->endpoint = &endpoint;
    link->number = ++links_made_;
    link->connected_at = machine_.Now();
    link->over_limit = links() >= limits_.max_links;
    Link& here = *link;
    here.place = links_.insert(links_.end(), std::move(link));
    OnConnected(here);
    here.task = Serve(here);
    here.task.Start();
  }
}

Task<> StandIn::Serve(Link& link) {
  const Micros one_way = link.endpoint->one_way;
  // The round trip that the balancer's connect would have taken.
  if (one_way > 0) co_await SleepUntil(link.connected_at + 2 * one_way);
  while (true) {
    const bool complete = co_await Read(link);
    if (!complete) break;
    if (link.endpoint->one_way > 0) co_await SleepUntil(machine_.Now() + link.endpoint->one_way);
    HttpMessage query = link.parser.Take();
    link.last = !query.keep_alive || link.over_limit;
    link.out.clear();
    const bool answered = co_await Handle(link, std::move(query));
    if (!answered) break;
    if (link.endpoint->one_way > 0) co_await SleepUntil(machine_.Now() + link.endpoint->one_way);
    const bool written = co_await Write(link);
    if (written) OnAnswerWritten(link);
    if (!written || link.last) break;
  }
  OnClosed(link);
  link.stream->Close();
  ended_.splice(ended_.end(), links_, link.place);
  link_ended_.Notify();
}

// Reads the next query; false if there is none or it cannot be answered.
Task<bool> StandIn::Read(Link& link) {
  const Micros idle_until = machine_.Now() + limits_.idle_close;
  link.first_byte_at = 0;
  while (true) {
    if (link.first_byte_at == 0 && !link.in.empty()) link.first_byte_at = machine_.Now();
    const Parsed parsed = link.in.empty() ? Parsed::kMore : link.parser.Feed(link.in);
    if (parsed == Parsed::kDone) co_return true;
    if (parsed != Parsed::kMore) {
      link.last = true;
      Answer(link, parsed == Parsed::kBad ? 400 : 413, "", "");
      co_await Write(link);
      co_return false;
    }
    if (link.parser.ExpectsContinue()) {
      std::string_view response = "HTTP/1.1 100 Continue\r\n\r\n";
      if (link.stream->Write(response) != Io::kSome) co_return false;
    }
    const Io io = link.stream->Read(link.in);
    if (io == Io::kSome) continue;
    if (io != Io::kLater) co_return false;
    const Micros until = link.first_byte_at == 0 ? idle_until : link.first_byte_at + limits_.read_timeout;
    const bool notified = co_await link.stream->Wait(until);
    if (!notified && machine_.Now() >= until) co_return false;
  }
}

Task<bool> StandIn::Write(Link& link) {
  std::string_view rest = link.out;
  Io io = link.stream->Write(rest);
  // The answer nearly always fits into the socket buffer, so that no wait is needed.
  bool written = io == Io::kSome;
  if (io == Io::kLater) written = co_await WriteAll(*link.stream, rest, machine_.Now() + kWriteTimeout);
  co_return written;
}

Task<bool> StandIn::AwaitAnswer(Link& link) {
  while (link.out.empty()) {
    link.awaiting_answer = true;
    co_await link.stream->Wait();
    link.awaiting_answer = false;
    if (!link.out.empty() || ReadAhead(link)) continue;
    OnPeerClosed(link);
    if (link.endpoint->one_way > 0) co_await SleepUntil(machine_.Now() + link.endpoint->one_way);
    co_return false;
  }
  co_return true;
}

void StandIn::Wake(Link& link) {
  if (std::exchange(link.awaiting_answer, false)) link.stream->Notify();
}

// Reads what arrives during the current query and belongs to the next one; false if the balancer has closed
// the link.
bool StandIn::ReadAhead(Link& link) {
  while (link.in.size() < kMaxHead + kMaxHeldBody) {  // the rest stays in the socket
    const Io io = link.stream->Read(link.in);
    if (io == Io::kLater) return true;
    if (io != Io::kSome) return false;
  }
  return true;
}

// Reads and discards what arrives on a link that is cut, only to notice when the balancer closes it. From
// then on the attempt is no longer outstanding for the witness, although the simulated node does not learn of
// it.
Task<> StandIn::DrainSilentLink(Link& link) {
  std::string dropped;
  while (true) {
    dropped.clear();
    const Io io = link.stream->Read(dropped);
    if (io == Io::kLater) co_await link.stream->Wait();
    if (io == Io::kClosed || io == Io::kBroken) break;
  }
  OnPeerClosed(link);
}

Task<> StandIn::DestroyEndedLinks() {
  while (true) {
    co_await link_ended_.Wait();
    ended_.clear();
  }
}

Task<> StandIn::SleepUntil(Micros until) {
  Event nothing(machine_.scheduler());
  co_await nothing.Wait(until);
}

void StandIn::Answer(Link& link, int status, std::string_view headers, std::string_view body) {
  std::string& out = link.out;
  out.assign("HTTP/1.1 ")
      .append(std::to_string(status))
      .append(" ")
      .append(ReasonPhrase(status))
      .append("\r\n");
  out.append(headers);
  AppendHeader(out, "Content-Length", std::to_string(body.size()));
  if (link.last) AppendHeader(out, "Connection", "close");
  out.append("\r\n").append(body);
}

}  // namespace burlfall::lab
