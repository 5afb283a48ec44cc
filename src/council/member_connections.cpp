#include "council/member_connections.h"

#include <algorithm>
#include <utility>

#include "consensus/wire.h"

namespace burlfall::council {
namespace {

constexpr size_t kMaxOutgoing = 32;       // connections
constexpr size_t kMaxIncoming = 600;      // connections; further ones are not accepted yet
constexpr size_t kMaxQueuedFrames = 512;  // on one connection
constexpr size_t kMaxQueuedBytes = 8 << 20;
constexpr size_t kLengthBytes = 4;
constexpr Micros kConnectTimeout = kSecond;
constexpr Micros kMinRedialInterval = 50 * kMs, kMaxRedialInterval = 400 * kMs;
constexpr Micros kWriteTimeout = 5 * kSecond;  // without progress while frames are queued
constexpr Micros kIdleTimeout = 60 * kSecond;
constexpr Micros kAcceptRetryInterval = 100 * kMs;

MemberConnections::Frame AddLength(std::string_view frame, bool replaceable) {
  MemberConnections::Frame one;
  one.replaceable = replaceable;
  for (int byte = 3; byte >= 0; --byte) one.bytes += static_cast<char>(frame.size() >> (8 * byte) & 0xff);
  one.bytes += frame;
  return one;
}

}  // namespace

MemberConnections::~MemberConnections() = default;

void MemberConnections::Listen() {
  listener_ = machine_.network().Listen(listen_);
  accept_task_ = Accept();
  accept_task_.Start();
}

void MemberConnections::Enqueue(Connection& connection, std::string_view frame, bool replaceable) {
  if (connection.send_queue.size() >= kMaxQueuedFrames ||
      connection.queued_bytes + frame.size() > kMaxQueuedBytes) {
    ++counts_.dropped;
    // The first frame may be partly written.
    const auto oldest =
        std::find_if(connection.send_queue.begin() + (connection.send_queue.empty() ? 0 : 1),
                     connection.send_queue.end(), [](const Frame& f) { return f.replaceable; });
    if (oldest == connection.send_queue.end()) return;
    connection.queued_bytes -= oldest->bytes.size();
    connection.send_queue.erase(oldest);
  }
  if (connection.send_queue.empty()) connection.last_write_at = machine_.Now();
  Frame one = AddLength(frame, replaceable);
  connection.queued_bytes += one.bytes.size();
  connection.send_queue.push_back(std::move(one));
  if (connection.stream) connection.stream->Notify();
  connection.frame_queued.Notify();
}

void MemberConnections::Send(const std::string& address, std::string_view frame, bool replaceable) {
  auto it = outgoing_.find(address);
  if (it == outgoing_.end()) {
    if (outgoing_.size() >= kMaxOutgoing) return;
    it = outgoing_.emplace(address, std::make_unique<Connection>(machine_.scheduler())).first;
    Connection& connection = *it->second;
    connection.number = ++last_number_;
    connection.address = address;
    connection.task = Dial(connection);
    connection.task.Start();
  }
  Enqueue(*it->second, frame, replaceable);
}

void MemberConnections::Reply(uint64_t number, std::string_view frame) {
  for (const auto& connection : incoming_) {
    if (connection->number == number && !connection->closed) return Enqueue(*connection, frame, false);
  }
  for (const auto& [address, connection] : outgoing_) {
    if (connection->number == number && connection->stream) return Enqueue(*connection, frame, false);
  }
}

void MemberConnections::SendToFollowers(std::string_view frame) {
  for (const auto& connection : incoming_) {
    if (connection->is_follower && !connection->closed) Enqueue(*connection, frame, false);
  }
}

size_t MemberConnections::followers() const {
  return static_cast<size_t>(std::ranges::count_if(
      incoming_, [](const auto& connection) { return connection->is_follower && !connection->closed; }));
}

bool MemberConnections::IsConnected(const std::string& address) const {
  const auto it = outgoing_.find(address);
  return it != outgoing_.end() && it->second->stream != nullptr;
}

void MemberConnections::RemoveClosed() {
  std::erase_if(incoming_,
                [](const auto& connection) { return connection->closed && connection->task.Done(); });
}

void MemberConnections::Reset(Connection& connection) {
  connection.stream.reset();
  connection.send_queue.clear();
  connection.read_buffer.clear();
  connection.queued_bytes = connection.written_bytes = 0;
}

Task<> MemberConnections::Accept() {
  while (true) {
    RemoveClosed();
    std::unique_ptr<Stream> stream;
    if (incoming_.size() >= kMaxIncoming) {
      co_await capacity_freed_.Wait(machine_.Now() + kAcceptRetryInterval);
      continue;
    }
    const Listener::Accepted accepted = listener_->Accept(stream);
    if (accepted == Listener::Accepted::kNone) co_await listener_->Wait(machine_.Now() + kSecond);
    if (accepted == Listener::Accepted::kNoResources)
      co_await capacity_freed_.Wait(machine_.Now() + kAcceptRetryInterval);
    if (accepted != Listener::Accepted::kOne) continue;
    incoming_.push_back(std::make_unique<Connection>(machine_.scheduler()));
    Connection& connection = *incoming_.back();
    connection.number = ++last_number_;
    connection.stream = std::move(stream);
    connection.task = ServeIncoming(connection);
    connection.task.Start();
  }
}

Task<> MemberConnections::ServeIncoming(Connection& connection) {
  co_await Run(connection);
  Reset(connection);
  connection.closed = true;
  capacity_freed_.Notify();
}

Task<> MemberConnections::Dial(Connection& connection) {
  const std::optional<Address> to = ReadAddress(connection.address);
  Micros redial_interval = kMinRedialInterval;
  while (to) {
    if (connection.send_queue.empty()) {
      co_await connection.frame_queued.Wait();
      continue;
    }
    NoConnection failure = NoConnection::kRefused;
    std::unique_ptr<Stream> stream = machine_.network().ConnectFrom(&listen_, *to, failure);
    if (stream && co_await Connected(*stream, machine_.Now() + kConnectTimeout)) {
      redial_interval = kMinRedialInterval;
      connection.stream = std::move(stream);
      connection.last_write_at = machine_.Now();
      connection.send_queue.push_front(AddLength(callbacks_.hello(), false));
      connection.queued_bytes += connection.send_queue.front().bytes.size();
      co_await Run(connection);
    }
    stream.reset();
    Reset(connection);  // queued frames are outdated by now
    const Micros until = machine_.Now() + redial_interval;
    while (machine_.Now() < until) co_await connection.frame_queued.Wait(until);
    redial_interval = std::min(2 * redial_interval, kMaxRedialInterval);
  }
}

void MemberConnections::WriteQueued(Connection& connection) {
  while (!connection.send_queue.empty() && !connection.closed) {
    Frame& first = connection.send_queue.front();
    std::string_view rest = std::string_view(first.bytes).substr(connection.written_bytes);
    const size_t before = rest.size();
    const Io io = connection.stream->Write(rest);
    if (rest.size() < before) connection.last_write_at = machine_.Now();
    connection.written_bytes += before - rest.size();
    counts_.bytes_out += before - rest.size();
    if (io == Io::kBroken) connection.closed = true;
    if (!rest.empty()) return;
    ++counts_.frames_out;
    connection.queued_bytes -= first.bytes.size();
    connection.send_queue.pop_front();
    connection.written_bytes = 0;
  }
}

// Delivers all complete frames of the read buffer. False: the length of a frame is invalid.
bool MemberConnections::ReadFrames(Connection& connection) {
  size_t at = 0;
  while (connection.read_buffer.size() - at >= kLengthBytes) {
    size_t length = 0;
    for (size_t byte = 0; byte < kLengthBytes; ++byte)
      length = length << 8 | static_cast<unsigned char>(connection.read_buffer[at + byte]);
    if (length == 0 || length > consensus::kMaxFrameBytes) return false;
    if (connection.read_buffer.size() - at < kLengthBytes + length) break;
    ++counts_.frames_in;
    callbacks_.frame(connection, std::string_view(connection.read_buffer).substr(at + kLengthBytes, length));
    at += kLengthBytes + length;
  }
  connection.read_buffer.erase(0, at);
  return true;
}

Task<> MemberConnections::Run(Connection& connection) {
  connection.closed = false;
  Micros last_read_at = machine_.Now();
  while (true) {
    WriteQueued(connection);
    if (connection.closed) break;
    const Io io = connection.stream->Read(connection.read_buffer);
    if (io == Io::kClosed || io == Io::kBroken) break;
    if (io == Io::kSome) {
      last_read_at = machine_.Now();
      if (!ReadFrames(connection)) break;
      if (!connection.send_queue.empty()) WriteQueued(connection);
    }
    const Micros idle = std::max(last_read_at, connection.last_write_at) + kIdleTimeout;
    const Micros until = connection.send_queue.empty() ? idle : connection.last_write_at + kWriteTimeout;
    // After a pause of this process, the timeout may have passed although the peer has sent data: close only
    // after a read that found none.
    if (io == Io::kLater && machine_.Now() >= until) break;
    co_await connection.stream->Wait(io == Io::kSome ? machine_.Now() : until);
  }
}

}  // namespace burlfall::council
