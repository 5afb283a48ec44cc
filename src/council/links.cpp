#include "council/links.h"

#include <algorithm>
#include <utility>

#include "consensus/wire.h"

namespace burlfall::council {
namespace {

constexpr size_t kMostDialled = 32;    // addresses
constexpr size_t kMostAccepted = 600;  // connections; further ones wait to be accepted
constexpr size_t kMostFrames = 512;    // waiting on one connection
constexpr size_t kMostBytes = 8 << 20;
constexpr size_t kHeadBytes = 4;
constexpr Micros kConnectWithin = kSecond;
constexpr Micros kDialAgain = 50 * kMs, kDialAgainMost = 400 * kMs;
constexpr Micros kStalled = 5 * kSecond;  // with something to go out, and none of it went
constexpr Micros kIdle = 60 * kSecond;
constexpr Micros kLookAgain = 100 * kMs;

Links::Frame Framed(std::string_view frame, bool repeats) {
  Links::Frame one;
  one.repeats = repeats;
  for (int byte = 3; byte >= 0; --byte) one.bytes += static_cast<char>(frame.size() >> (8 * byte) & 0xff);
  one.bytes += frame;
  return one;
}

}  // namespace

Links::~Links() = default;

void Links::Open() {
  listener_ = machine_.network().Listen(listen_);
  accepting_ = Accept();
  accepting_.Start();
}

void Links::Put(Link& link, std::string_view frame, bool repeats) {
  if (link.out.size() >= kMostFrames || link.out_bytes + frame.size() > kMostBytes) {
    ++counts_.lost;
    // The first may be under way.
    const auto oldest = std::find_if(link.out.begin() + (link.out.empty() ? 0 : 1), link.out.end(),
                                     [](const Frame& f) { return f.repeats; });
    if (oldest == link.out.end()) return;
    link.out_bytes -= oldest->bytes.size();
    link.out.erase(oldest);
  }
  if (link.out.empty()) link.moved_at = machine_.Now();
  Frame one = Framed(frame, repeats);
  link.out_bytes += one.bytes.size();
  link.out.push_back(std::move(one));
  if (link.stream) link.stream->Notify();
  link.wanted.Notify();
}

void Links::Send(const std::string& address, std::string_view frame, bool repeats) {
  auto it = dialled_.find(address);
  if (it == dialled_.end()) {
    if (dialled_.size() >= kMostDialled) return;
    it = dialled_.emplace(address, std::make_unique<Link>(machine_.scheduler())).first;
    Link& link = *it->second;
    link.number = ++numbers_;
    link.address = address;
    link.task = Dial(link);
    link.task.Start();
  }
  Put(*it->second, frame, repeats);
}

void Links::Answer(uint64_t number, std::string_view frame) {
  for (const auto& link : accepted_) {
    if (link->number == number && !link->over) return Put(*link, frame, false);
  }
  for (const auto& [address, link] : dialled_) {
    if (link->number == number && link->stream) return Put(*link, frame, false);
  }
}

void Links::ToFollowers(std::string_view frame) {
  for (const auto& link : accepted_) {
    if (link->follows && !link->over) Put(*link, frame, false);
  }
}

size_t Links::followers() const {
  return static_cast<size_t>(
      std::ranges::count_if(accepted_, [](const auto& link) { return link->follows && !link->over; }));
}

bool Links::Up(const std::string& address) const {
  const auto it = dialled_.find(address);
  return it != dialled_.end() && it->second->stream != nullptr;
}

void Links::Bury() {
  std::erase_if(accepted_, [](const auto& link) { return link->over && link->task.Done(); });
}

void Links::Drop(Link& link) {
  link.stream.reset();
  link.out.clear();
  link.in.clear();
  link.out_bytes = link.written = 0;
}

Task<> Links::Accept() {
  while (true) {
    Bury();
    std::unique_ptr<Stream> stream;
    if (accepted_.size() >= kMostAccepted) {
      co_await room_.Wait(machine_.Now() + kLookAgain);
      continue;
    }
    const Listener::Accepted accepted = listener_->Accept(stream);
    if (accepted == Listener::Accepted::kNone) co_await listener_->Wait(machine_.Now() + kSecond);
    if (accepted == Listener::Accepted::kNoResources) co_await room_.Wait(machine_.Now() + kLookAgain);
    if (accepted != Listener::Accepted::kOne) continue;
    accepted_.push_back(std::make_unique<Link>(machine_.scheduler()));
    Link& link = *accepted_.back();
    link.number = ++numbers_;
    link.stream = std::move(stream);
    link.task = Serve(link);
    link.task.Start();
  }
}

Task<> Links::Serve(Link& link) {
  co_await Run(link);
  Drop(link);
  link.over = true;
  room_.Notify();
}

Task<> Links::Dial(Link& link) {
  const std::optional<Address> to = ReadAddress(link.address);
  Micros wait = kDialAgain;
  while (to) {
    if (link.out.empty()) {
      co_await link.wanted.Wait();
      continue;
    }
    NoConnection why = NoConnection::kRefused;
    std::unique_ptr<Stream> stream = machine_.network().ConnectFrom(&listen_, *to, why);
    if (stream && co_await Connected(*stream, machine_.Now() + kConnectWithin)) {
      wait = kDialAgain;
      link.stream = std::move(stream);
      link.moved_at = machine_.Now();
      link.out.push_front(Framed(hears_.hello(), false));
      link.out_bytes += link.out.front().bytes.size();
      co_await Run(link);
    }
    stream.reset();
    Drop(link);  // what waited is old by now
    const Micros until = machine_.Now() + wait;
    while (machine_.Now() < until) co_await link.wanted.Wait(until);
    wait = std::min(2 * wait, kDialAgainMost);
  }
}

void Links::WriteOut(Link& link) {
  while (!link.out.empty() && !link.over) {
    Frame& first = link.out.front();
    std::string_view rest = std::string_view(first.bytes).substr(link.written);
    const size_t before = rest.size();
    const Io io = link.stream->Write(rest);
    if (rest.size() < before) link.moved_at = machine_.Now();
    link.written += before - rest.size();
    counts_.bytes_out += before - rest.size();
    if (io == Io::kBroken) link.over = true;
    if (!rest.empty()) return;
    ++counts_.frames_out;
    link.out_bytes -= first.bytes.size();
    link.out.pop_front();
    link.written = 0;
  }
}

// False where what came can't be a frame.
bool Links::TakeIn(Link& link) {
  size_t at = 0;
  while (link.in.size() - at >= kHeadBytes) {
    size_t length = 0;
    for (size_t byte = 0; byte < kHeadBytes; ++byte)
      length = length << 8 | static_cast<unsigned char>(link.in[at + byte]);
    if (length == 0 || length > consensus::kMaxFrameBytes) return false;
    if (link.in.size() - at < kHeadBytes + length) break;
    ++counts_.frames_in;
    hears_.frame(link, std::string_view(link.in).substr(at + kHeadBytes, length));
    at += kHeadBytes + length;
  }
  link.in.erase(0, at);
  return true;
}

Task<> Links::Run(Link& link) {
  link.over = false;
  Micros heard_at = machine_.Now();
  while (true) {
    WriteOut(link);
    if (link.over) break;
    const Io io = link.stream->Read(link.in);
    if (io == Io::kClosed || io == Io::kBroken) break;
    if (io == Io::kSome) {
      heard_at = machine_.Now();
      if (!TakeIn(link)) break;
      if (!link.out.empty()) WriteOut(link);
    }
    const Micros idle = std::max(heard_at, link.moved_at) + kIdle;
    const Micros until = link.out.empty() ? idle : link.moved_at + kStalled;
    // A process that stood still has not waited: what has come since is read before it gives up.
    if (io == Io::kLater && machine_.Now() >= until) break;
    co_await link.stream->Wait(io == Io::kSome ? machine_.Now() : until);
  }
}

}  // namespace burlfall::council
