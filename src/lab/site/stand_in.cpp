#include "lab/site/stand_in.h"

#include <algorithm>
#include <system_error>
#include <utility>

namespace burlfall::lab {
namespace {

constexpr Micros kWritePatience = 10 * kSecond;
constexpr Micros kNoRoomPause = 50 * kMs;
constexpr uint64_t kFirstPort = 12000;
constexpr uint64_t kPorts = 20000;
constexpr int kMostTries = 100;
constexpr int kBacklog = 4096;
// Above its own limit a machine still answers some, and resets the others.
constexpr int kMostSurplus = 64;

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
    : machine_(machine), limits_(limits), sweeps_(machine.scheduler()) {
  for (size_t i = 0; i < at.size(); ++i) {
    gates_.push_back(std::make_unique<Gate>());
    gates_.back()->balancer = static_cast<int>(i);
  }
  MoveTo(std::move(at));
  sweeping_ = Sweep();
  sweeping_.Start();
}

StandIn::~StandIn() = default;

void StandIn::MoveTo(std::vector<Address> at) {
  for (size_t i = 0; i < gates_.size(); ++i) gates_[i]->at = std::move(at[i]);
}

void StandIn::Open() {
  open_ = true;
  for (auto& gate : gates_) Settle(*gate);
}

void StandIn::Shut() {
  open_ = false;
  for (auto it = links_.begin(); it != links_.end();) {
    Link& link = **it;
    ++it;
    if (link.silent) continue;  // nobody hears of this reset either
    link.stream->Reset();
    links_.erase(link.place);
  }
  for (auto& gate : gates_) Settle(*gate);
}

void StandIn::Cut(int balancer, bool on) {
  Gate& gate = *gates_[static_cast<size_t>(balancer)];
  if (gate.cut == on) return;
  gate.cut = on;
  if (!on) Heal(gate);
  Settle(gate);
  if (on) CutOff(gate);
}

// Brings the listener to what it should be. A cut one is there though the process may be dead: without it new
// connections would be refused, and that is a sign.
void StandIn::Settle(Gate& gate) {
  if (!open_ || gate.cut) gate.task = Task<>();
  if (!open_ && !gate.cut) gate.listener.reset();
  if (gate.listener == nullptr && (open_ || gate.cut)) {
    gate.listener = Claim(gate.at);
    gate.at = gate.listener->Local();
  }
  if (!open_ || gate.cut || !gate.task.Done()) return;
  gate.task = Accept(gate);
  gate.task.Start();
}

// Port 0: one below those that the system gives to connections. Guards a process that comes back to its
// address: a connection that had got its port meanwhile would keep it out.
std::unique_ptr<Listener> StandIn::Claim(const Address& at) {
  if (!at.text.ends_with(":0")) return machine_.network().Listen(at);
  for (int tries = 1;; ++tries) {
    const uint64_t port = kFirstPort + machine_.Entropy() % kPorts;
    const auto one = ReadAddress(at.text.substr(0, at.text.size() - 1) + std::to_string(port));
    try {
      return machine_.network().Listen(*one);
    } catch (const std::system_error&) {
      if (tries == kMostTries) throw;
    }
  }
}

void StandIn::CutOff(Gate& gate) {
  gate.listener->SetBacklog(0);
  NoConnection why = NoConnection::kRefused;
  gate.filler = machine_.network().Connect(gate.at, why);
  for (auto& link : links_) {
    if (link->gate != &gate) continue;
    link->silent = true;
    link->task = Overhear(*link);
    link->task.Start();
  }
}

void StandIn::Heal(Gate& gate) {
  for (auto it = links_.begin(); it != links_.end();) {
    Link& link = **it;
    ++it;
    if (link.gate != &gate || !link.silent) continue;
    Lost(link);
    link.stream->Reset();
    links_.erase(link.place);
  }
  gate.filler.reset();
  // What came up in the machine's line meanwhile was as silent as the rest.
  std::unique_ptr<Stream> stream;
  while (gate.listener->Accept(stream) == Listener::Accepted::kOne) stream->Reset();
  gate.listener->SetBacklog(kBacklog);
}

Task<> StandIn::Accept(Gate& gate) {
  while (true) {
    std::unique_ptr<Stream> stream;
    const Listener::Accepted accepted = gate.listener->Accept(stream);
    if (accepted == Listener::Accepted::kNone) co_await gate.listener->Wait();
    if (accepted == Listener::Accepted::kNoResources) co_await Rest(machine_.Now() + kNoRoomPause);
    if (accepted != Listener::Accepted::kOne) continue;
    if (links() >= limits_.most_links + kMostSurplus) {
      stream->Reset();
      continue;
    }
    std::unique_ptr<Link> link = NewLink();
    link->stream = std::move(stream);
    link->gate = &gate;
    link->number = ++links_made_;
    link->came_up_at = machine_.Now();
    link->surplus = links() >= limits_.most_links;
    Link& here = *link;
    here.place = links_.insert(links_.end(), std::move(link));
    CameUp(here);
    here.task = Run(here);
    here.task.Start();
  }
}

Task<> StandIn::Run(Link& link) {
  const Micros one_way = link.gate->one_way;
  // The way there and back, which the balancer's connect would have taken.
  if (one_way > 0) co_await Rest(link.came_up_at + 2 * one_way);
  while (true) {
    const bool whole = co_await Read(link);
    if (!whole) break;
    if (link.gate->one_way > 0) co_await Rest(machine_.Now() + link.gate->one_way);
    HttpMessage query = link.parser.Take();
    link.last = !query.keep_alive || link.surplus;
    link.out.clear();
    const bool answered = co_await Handle(link, std::move(query));
    if (!answered) break;
    if (link.gate->one_way > 0) co_await Rest(machine_.Now() + link.gate->one_way);
    const bool written = co_await Write(link);
    if (written) Written(link);
    if (!written || link.last) break;
  }
  Lost(link);
  link.stream->Close();
  over_.splice(over_.end(), links_, link.place);
  sweeps_.Notify();
}

// False where there is no further query, or none that can be answered.
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
      std::string_view leave = "HTTP/1.1 100 Continue\r\n\r\n";
      if (link.stream->Write(leave) != Io::kSome) co_return false;
    }
    const Io io = link.stream->Read(link.in);
    if (io == Io::kSome) continue;
    if (io != Io::kLater) co_return false;
    const Micros until = link.first_byte_at == 0 ? idle_until : link.first_byte_at + limits_.read_patience;
    const bool notified = co_await link.stream->Wait(until);
    if (!notified && machine_.Now() >= until) co_return false;
  }
}

Task<bool> StandIn::Write(Link& link) {
  std::string_view rest = link.out;
  Io io = link.stream->Write(rest);
  // Nearly always it fits at once, and there is nothing to wait for.
  bool written = io == Io::kSome;
  if (io == Io::kLater) written = co_await WriteAll(*link.stream, rest, machine_.Now() + kWritePatience);
  co_return written;
}

Task<bool> StandIn::AwaitAnswer(Link& link) {
  while (link.out.empty()) {
    link.waiting = true;
    co_await link.stream->Wait();
    link.waiting = false;
    if (!link.out.empty() || Listen(link)) continue;
    LeftBy(link);
    if (link.gate->one_way > 0) co_await Rest(machine_.Now() + link.gate->one_way);
    co_return false;
  }
  co_return true;
}

void StandIn::Wake(Link& link) {
  if (std::exchange(link.waiting, false)) link.stream->Notify();
}

// What comes while a query is at hand belongs to the next one; false where the balancer has ended the link.
bool StandIn::Listen(Link& link) {
  while (link.in.size() < kMaxHead + kMaxHeldBody) {  // beyond that the balancer waits
    const Io io = link.stream->Read(link.in);
    if (io == Io::kLater) return true;
    if (io != Io::kSome) return false;
  }
  return true;
}

// Takes what comes by a link that is cut off, and drops it. Only to see when its balancer ends it: for the
// witness the attempt is out no more from then on, though this machine knows nothing of it.
Task<> StandIn::Overhear(Link& link) {
  std::string dropped;
  while (true) {
    dropped.clear();
    const Io io = link.stream->Read(dropped);
    if (io == Io::kLater) co_await link.stream->Wait();
    if (io == Io::kClosed || io == Io::kBroken) break;
  }
  LeftBy(link);
}

Task<> StandIn::Sweep() {
  while (true) {
    co_await sweeps_.Wait();
    over_.clear();
  }
}

Task<> StandIn::Rest(Micros until) {
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
