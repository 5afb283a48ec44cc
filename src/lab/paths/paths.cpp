#include "lab/paths/paths.h"

#include <algorithm>
#include <utility>

namespace burlfall::lab {
namespace {

constexpr size_t kMostHeld = 256 * 1024;  // of one direction of a link: beyond that its sender waits
constexpr size_t kMostFlights = 100000;   // datagrams on their way
constexpr int kBacklog = 4096;
constexpr Micros kOpenPatience = 3 * kSecond;
constexpr int kAnybody = -1000;  // who connects says its host
constexpr Micros kHeldLook = 50 * kMs;
constexpr Micros kNoRoomPause = 20 * kMs;

}  // namespace

Paths::Paths(Machine& machine, uint64_t seed)
    : machine_(machine), model_(seed), sweeps_(machine.scheduler()), flies_(machine.scheduler()) {
  sweeping_ = Sweep();
  sweeping_.Start();
  delivering_ = Deliver();
  delivering_.Start();
}

Paths::~Paths() = default;

// ---- Connections -----------------------------------------------------------------------------------------

Address Paths::OpenStream(const Address& at, int from, int to, const Address& real) {
  auto door = std::make_unique<Door>();
  door->from = from;
  door->to = to;
  door->real = real;
  door->listener = machine_.network().Listen(at);
  const Address local = door->listener->Local();
  doors_.push_back(std::move(door));
  Settle(*doors_.back());
  return local;
}

void Paths::Knows(const std::string& host, int who) { hosts_[host] = who; }

Address Paths::OpenStreams(const Address& at, int to, const Address& real) {
  return OpenStream(at, kAnybody, to, real);
}

void Paths::Set(int from, int to, const PathQuality& quality) {
  model_.Set(from, to, quality);
  const Micros now = machine_.Now();
  for (auto& door : doors_) {
    if ((door->from == from && door->to == to) || (door->from == to && door->to == from)) Settle(*door);
  }
  for (auto& link : links_) {
    for (End* end : {&link->near, &link->far}) {
      if (end->other != from || end->self != to || !end->stream) continue;
      // A cut holds what was on its way; a path that is whole again sends all of it once more, in order.
      for (Piece& piece : end->coming) {
        if (!quality.cut && piece.at != kNever) continue;
        piece.at = model_.Piece(now, from, to, piece.bytes.size(), end->last_at);
        if (piece.at != kNever) end->last_at = piece.at;
      }
      end->stream->Notify();
    }
  }
}

// Brings a door to what its path is: a cut one lets nothing come up, and gives no sign of that.
void Paths::Settle(Door& door) {
  const bool cut = Cut(door.from, door.to);
  if (cut && !door.filler) {
    door.task = Task<>();
    door.listener->SetBacklog(0);
    NoConnection why = NoConnection::kRefused;
    door.filler = machine_.network().Connect(door.listener->Local(), why);
  } else if (!cut && door.filler) {
    door.filler.reset();
    std::unique_ptr<Stream> stream;
    while (door.listener->Accept(stream) == Listener::Accepted::kOne) stream->Reset();
    door.listener->SetBacklog(kBacklog);
  }
  if (cut || !door.task.Done()) return;
  door.task = Accept(door);
  door.task.Start();
}

Task<> Paths::Accept(Door& door) {
  while (true) {
    std::unique_ptr<Stream> stream;
    const Listener::Accepted accepted = door.listener->Accept(stream);
    if (accepted == Listener::Accepted::kNone) co_await door.listener->Wait();
    if (accepted == Listener::Accepted::kNoResources) {
      Event pause(machine_.scheduler());
      co_await pause.Wait(machine_.Now() + kNoRoomPause);
    }
    if (accepted != Listener::Accepted::kOne) continue;
    ++counts_.links;
    auto link = std::make_unique<Link>();
    link->door = &door;
    int from = door.from;
    if (from == kAnybody) {
      const auto known = hosts_.find(HostOf(stream->Peer()));
      if (known == hosts_.end()) {
        stream->Reset();
        continue;
      }
      from = known->second;
    }
    link->near.stream = std::move(stream);
    link->near.self = link->far.other = from;
    link->near.other = link->far.self = door.to;
    Link& here = *link;
    here.place = links_.insert(links_.end(), std::move(link));
    here.opening = Run(here);
    here.opening.Start();
  }
}

// Until its path is whole, or whoever connected has given up.
Task<> Paths::Held(Link& link) {
  Stream& near = *link.near.stream;
  while (Cut(link.near.self, link.near.other) && near.IsIdle()) {
    co_await near.Wait(machine_.Now() + kHeldLook);
  }
  // What it said meanwhile stays in the line.
  while (Cut(link.near.self, link.near.other)) {
    std::string bytes;
    const Io io = near.Read(bytes);
    if (io == Io::kSome) {
      Piece piece;
      piece.bytes = std::move(bytes);
      link.far.held += piece.bytes.size();
      link.far.coming.push_back(std::move(piece));
      continue;
    }
    if (io == Io::kClosed || io == Io::kBroken) co_return;
    co_await near.Wait(machine_.Now() + kHeldLook);
  }
}

Task<> Paths::Run(Link& link) {
  if (link.door->from == kAnybody && Cut(link.near.self, link.near.other)) {
    co_await Held(link);
    if (Cut(link.near.self, link.near.other)) {
      Over(link);
      co_return;
    }
    for (Piece& piece : link.far.coming) piece.at = machine_.Now();
  }
  NoConnection why = NoConnection::kRefused;
  link.far.stream = machine_.network().Connect(link.door->real, why);
  bool up = false;
  if (link.far.stream) up = co_await Connected(*link.far.stream, machine_.Now() + kOpenPatience);
  if (!up) {
    link.near.stream->Reset();
    link.far.stream.reset();
    Over(link);
    co_return;
  }
  link.near.pump = Pump(link, link.near, link.far);
  link.far.pump = Pump(link, link.far, link.near);
  link.near.pump.Start();
  link.far.pump.Start();
}

// One coroutine for each end, as one may wait on a stream: it takes in what its process sends, and hands it
// what has arrived for it.
Task<> Paths::Pump(Link& link, End& self, End& other) {
  while (true) {
    Hear(self, other);
    const bool full = Tell(self, other);
    if (self.told_all && other.told_all) {
      Over(link);
      co_return;
    }
    const Micros until = full || self.coming.empty() ? kNever : self.coming.front().at;
    co_await self.stream->Wait(until);
  }
}

void Paths::Hear(End& self, End& other) {
  const Micros now = machine_.Now();
  while (!self.heard_all && other.held < kMostHeld) {
    Piece piece;
    const Io io = self.stream->Read(piece.bytes);
    if (io == Io::kLater) return;
    if (io != Io::kSome) {
      piece.what = io == Io::kClosed ? Piece::What::kEnd : Piece::What::kReset;
      self.heard_all = true;
    }
    piece.at = model_.Piece(now, self.self, self.other, piece.bytes.size(), other.last_at);
    if (piece.at != kNever) other.last_at = piece.at;
    other.held += piece.bytes.size();
    other.coming.push_back(std::move(piece));
    other.stream->Notify();
  }
}

bool Paths::Tell(End& self, End& other) {
  while (!self.coming.empty() && self.coming.front().at <= machine_.Now()) {
    Piece& piece = self.coming.front();
    if (piece.what == Piece::What::kBytes && !self.told_all) {
      std::string_view rest = piece.bytes;
      const Io io = self.stream->Write(rest);
      const size_t took = piece.bytes.size() - rest.size();
      self.held -= took;
      if (took > 0) other.stream->Notify();  // there is room again
      piece.bytes.erase(0, took);
      if (io == Io::kLater) return true;
      if (io == Io::kBroken) {
        self.told_all = true;
        other.stream->Notify();
      }
    } else if (piece.what == Piece::What::kEnd) {
      self.stream->Finish();
      self.told_all = true;
      other.stream->Notify();
    } else if (piece.what == Piece::What::kReset) {
      self.stream->Reset();
      self.told_all = other.told_all = true;
      other.stream->Notify();
    }
    self.held -= piece.bytes.size();
    self.coming.pop_front();
  }
  return false;
}

void Paths::Over(Link& link) {
  if (std::exchange(link.over, true)) return;
  over_.splice(over_.end(), links_, link.place);
  sweeps_.Notify();
}

Task<> Paths::Sweep() {
  while (true) {
    co_await sweeps_.Wait();
    over_.clear();
  }
}

// ---- Datagrams -------------------------------------------------------------------------------------------

Address Paths::OpenDatagrams(const Address& at, int who, const Address& real) {
  auto post = std::make_unique<Post>();
  post->who = who;
  post->real = real;
  post->socket = machine_.network().Bind(at);
  const Address local = post->socket->Local();
  Post& here = *post;
  posts_[real.text] = std::move(post);
  here.task = Take(here);
  here.task.Start();
  return local;
}

// What comes to a post's address is for its process, and from the one whose own address it came from.
Task<> Paths::Take(Post& post) {
  std::string bytes;
  Address from;
  while (true) {
    const Io io = post.socket->Receive(bytes, from);
    if (io != Io::kSome) {
      co_await post.socket->Wait();
      continue;
    }
    const auto sender = posts_.find(from.text);
    if (sender == posts_.end()) continue;
    ++counts_.datagrams;
    const std::vector<Micros> arrivals =
        model_.Datagram(machine_.Now(), sender->second->who, post.who, bytes.size());
    if (arrivals.empty() || flights_.size() >= kMostFlights) ++counts_.datagrams_lost;
    for (const Micros at : arrivals) {
      if (flights_.size() >= kMostFlights) break;
      flights_.push({at, ++flown_, sender->second.get(), &post, bytes});
    }
    flies_.Notify();
  }
}

Task<> Paths::Deliver() {
  while (true) {
    while (!flights_.empty() && flights_.top().at <= machine_.Now()) {
      const Flight& one = flights_.top();
      one.from->socket->Send(one.to->real, one.bytes);
      flights_.pop();
    }
    co_await flies_.Wait(flights_.empty() ? kNever : flights_.top().at);
  }
}

}  // namespace burlfall::lab
