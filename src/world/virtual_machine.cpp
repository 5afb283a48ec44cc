#include "world/virtual_machine.h"

#include <algorithm>
#include <array>
#include <deque>
#include <system_error>
#include <utility>

namespace burlfall::world {
namespace {

constexpr size_t kBufferBytes = 64 * 1024;  // bytes in flight of a connection, in each direction
constexpr size_t kReadBytes = 16 * 1024;    // bytes, maximum of one read
constexpr size_t kBacklog = 4096;           // connections in the accept queue
constexpr const char* kDiskFull = "No space left on device";

Address ParseAddress(const std::string& text) { return *ReadAddress(text); }

}  // namespace

void VirtualScheduler::Poll(Micros until) {
  if (until == kNever && run_until_ == kNever) {
    deadlocked_ = true;
    return StopAll();
  }
  now_ = std::max(now_ + 1, std::min(until, run_until_));
}

void VirtualScheduler::RunFor(Micros span) {
  run_until_ = now_ + span;
  while (now_ < run_until_) RunOnce();
  run_until_ = kNever;
}

// ---- Connections -----------------------------------------------------------------------------------------

class VirtualStream;

// An established or pending connection. sides[0] is the connecting side.
struct Connection {
  struct Side {
    VirtualStream* endpoint = nullptr;  // while it exists
    std::string received;               // not yet read
    bool finished = false;              // has ended its sending
    bool closed = false;
    bool reset = false;    // by the other side
    bool blocked = false;  // has bytes to write, but the buffer is full
    Address at;
  };
  std::array<Side, 2> sides;
  Stream::State state = Stream::State::kUp;

  void NotifySide(size_t side);
  // Closes this side. The other side sees the end of the stream, or a reset if received bytes were unread.
  void End(size_t side, bool by_reset) {
    Side &own = sides[side], &other = sides[1 - side];
    if (std::exchange(own.closed, true)) return;
    own.finished = true;
    if (by_reset || !own.received.empty()) other.reset = true;
    own.received.clear();
    NotifySide(1 - side);
  }
};

class VirtualStream final : public Stream {
 public:
  VirtualStream(VirtualMachine& machine, std::shared_ptr<Connection> connection, size_t side)
      : Stream(machine.scheduler()), machine_(machine), connection_(std::move(connection)), side_(side) {
    own().endpoint = this;
    ++machine_.open_descriptors;
  }
  // Retries a connection that found the accept queue full, like TCP: after 1 s, and then with doubled
  // intervals.
  void RetryConnecting(World& world) {
    retries_ = RetryLoop(world);
    retries_.Start();
  }
  ~VirtualStream() override {
    Close();
    own().endpoint = nullptr;
  }

  State Opened() override { return connection_->state; }

  using Stream::Read;
  Io Read(std::string& into, size_t max_bytes) override {
    if (own().closed || connection_->state == State::kFailed) return Io::kBroken;
    std::string& received = own().received;
    if (!received.empty()) {
      const size_t n = std::min({received.size(), kReadBytes, max_bytes});
      into.append(received, 0, n);
      received.erase(0, n);
      if (std::exchange(other().blocked, false)) connection_->NotifySide(1 - side_);
      return Io::kSome;
    }
    if (own().reset) return Io::kBroken;
    return other().finished ? Io::kClosed : Io::kLater;
  }

  Io Write(std::string_view& bytes) override {
    if (own().finished || own().reset || connection_->state == State::kFailed) return Io::kBroken;
    if (connection_->state == State::kOpening) return Io::kLater;
    if (other().closed) {  // accepted locally; the other machine answers with a reset
      bytes = {};
      own().reset = true;
      Notify();
      return Io::kSome;
    }
    const size_t n = std::min(bytes.size(), kBufferBytes - std::min(kBufferBytes, other().received.size()));
    other().received.append(bytes.substr(0, n));
    bytes.remove_prefix(n);
    if (n > 0) connection_->NotifySide(1 - side_);
    own().blocked = !bytes.empty();
    return bytes.empty() ? Io::kSome : Io::kLater;
  }

  bool IsIdle() override {
    return !own().closed && !own().reset && own().received.empty() && !other().finished &&
           connection_->state == State::kUp;
  }
  bool PeerEnded() override { return own().reset || other().finished; }
  void Finish() override {
    own().finished = true;
    connection_->NotifySide(1 - side_);
  }
  void Reset() override { Shut(true); }
  void Close() override { Shut(false); }
  Address Peer() const override { return connection_->sides[1 - side_].at; }
  Address Local() const override { return connection_->sides[side_].at; }

 private:
  Connection::Side& own() { return connection_->sides[side_]; }
  Connection::Side& other() { return connection_->sides[1 - side_]; }
  void Shut(bool by_reset) {
    if (own().closed) return;
    --machine_.open_descriptors;
    connection_->End(side_, by_reset);
  }

  Task<> RetryLoop(World& world);

  VirtualMachine& machine_;
  std::shared_ptr<Connection> connection_;
  const size_t side_;
  Task<> retries_;
};

void Connection::NotifySide(size_t side) {
  if (sides[side].endpoint != nullptr) sides[side].endpoint->Notify();
}

class VirtualListener final : public Listener {
 public:
  VirtualListener(World& world, VirtualMachine& machine, Address at)
      : Listener(machine.scheduler()), world_(world), machine_(machine), at_(std::move(at)) {
    if (!world_.listeners.emplace(at_.text, this).second) {
      throw std::system_error(std::make_error_code(std::errc::address_in_use), "can't listen on " + at_.text);
    }
    ++machine_.open_descriptors;
  }
  ~VirtualListener() override {
    --machine_.open_descriptors;
    world_.listeners.erase(at_.text);
    for (const auto& pending : waiting_) pending->End(1, true);
  }

  Accepted Accept(std::unique_ptr<Stream>& into) override {
    if (waiting_.empty()) return Accepted::kNone;
    if (machine_.open_descriptors >= machine_.max_descriptors) return Accepted::kNoResources;
    into = std::make_unique<VirtualStream>(machine_, std::move(waiting_.front()), 1);
    waiting_.pop_front();
    return Accepted::kOne;
  }
  Address Local() const override { return at_; }
  void SetBacklog(int limit) override { backlog_ = static_cast<size_t>(limit); }

  // Adds a connection to the accept queue; false if the queue is full, and the connection is not established.
  bool Enqueue(const std::shared_ptr<Connection>& pending) {
    if (waiting_.size() > backlog_) return false;
    waiting_.push_back(pending);
    Notify();
    return true;
  }

 private:
  World& world_;
  VirtualMachine& machine_;
  const Address at_;
  size_t backlog_ = kBacklog;
  std::deque<std::shared_ptr<Connection>> waiting_;
};

Task<> VirtualStream::RetryLoop(World& world) {
  Event pause(world.scheduler);
  for (Micros wait = kSecond; connection_->state == State::kOpening && !own().closed; wait *= 2) {
    co_await pause.Wait(world.scheduler.Now() + wait);
    const auto listener = world.listeners.find(connection_->sides[1].at.text);
    if (listener == world.listeners.end()) {
      connection_->state = State::kFailed;
    } else if (!own().closed && listener->second->Enqueue(connection_)) {
      connection_->state = State::kUp;
    }
  }
  Notify();
}

// Datagrams arrive immediately and in order; without a receiving socket or buffer space they are lost.
class VirtualSocket final : public DatagramSocket {
 public:
  VirtualSocket(World& world, VirtualMachine& machine, Address at)
      : DatagramSocket(machine.scheduler()), world_(world), machine_(machine), at_(std::move(at)) {
    if (!world_.sockets.emplace(at_.text, this).second) {
      throw std::system_error(std::make_error_code(std::errc::address_in_use),
                              "can't receive datagrams at " + at_.text);
    }
    ++machine_.open_descriptors;
  }
  ~VirtualSocket() override {
    --machine_.open_descriptors;
    world_.sockets.erase(at_.text);
  }

  Io Send(const Address& to, std::string_view datagram) override {
    const auto other = world_.sockets.find(to.text);
    if (other != world_.sockets.end()) other->second->Enqueue(datagram, at_);
    return Io::kSome;
  }
  Io Receive(std::string& into, Address& from) override {
    if (received_.empty()) return Io::kLater;
    into = std::move(received_.front().first);
    from = received_.front().second;
    received_.pop_front();
    return Io::kSome;
  }
  Address Local() const override { return at_; }

 private:
  void Enqueue(std::string_view datagram, const Address& from) {
    if (received_.size() >= kMaxWaiting) return;
    received_.emplace_back(datagram, from);
    Notify();
  }

  static constexpr size_t kMaxWaiting = 512;
  World& world_;
  VirtualMachine& machine_;
  const Address at_;
  std::deque<std::pair<std::string, Address>> received_;
};

namespace {

class VirtualNetwork final : public Network {
 public:
  VirtualNetwork(World& world, VirtualMachine& machine) : world_(world), machine_(machine) {}

  std::unique_ptr<Stream> ConnectFrom(const Address* from, const Address& to, NoConnection& why) override {
    if (machine_.open_descriptors >= machine_.max_descriptors) {
      why = NoConnection::kNoResources;
      return nullptr;
    }
    auto pending = std::make_shared<Connection>();
    const std::string host = from == nullptr ? "127.0.0.1" : HostOf(*from);
    pending->sides[0].at = ParseAddress(host + ":" + std::to_string(NextPort()));
    pending->sides[1].at = to;
    const auto listener = world_.listeners.find(to.text);
    pending->state = listener == world_.listeners.end()   ? Stream::State::kFailed
                     : listener->second->Enqueue(pending) ? Stream::State::kUp
                                                          : Stream::State::kOpening;
    auto stream = std::make_unique<VirtualStream>(machine_, pending, 0);
    pending->state == Stream::State::kOpening ? stream->RetryConnecting(world_) : stream->Notify();
    return stream;
  }
  std::unique_ptr<Listener> Listen(const Address& at) override {
    return std::make_unique<VirtualListener>(world_, machine_, WithFreePort(at, world_.listeners));
  }
  std::unique_ptr<DatagramSocket> Bind(const Address& at) override {
    return std::make_unique<VirtualSocket>(world_, machine_, WithFreePort(at, world_.sockets));
  }
  std::unique_ptr<Listener> Adopt(int descriptor) override {
    throw std::system_error(std::make_error_code(std::errc::bad_file_descriptor),
                            "descriptor " + std::to_string(descriptor));
  }
  std::unique_ptr<Channel> ConnectChannel(const std::string& path) override {
    return ConnectVirtualChannel(world_.scheduler, world_.channels, path);
  }
  std::unique_ptr<ChannelListener> ListenOnChannel(const std::string& path, std::string&) override {
    return ListenOnVirtualChannel(world_.scheduler, world_.channels, path);
  }
  std::unique_ptr<Writable> DatagramWriterTo(const Address&) override { return nullptr; }

 private:
  // The address; for port 0 with a free port. Ports wrap around after 65535.
  template <typename Map>
  Address WithFreePort(const Address& at, const Map& used) {
    if (PortOf(at) != 0) return at;
    const std::string host = at.text.substr(0, at.text.rfind(':') + 1);
    std::string text = host + std::to_string(NextPort());
    while (used.contains(text)) text = host + std::to_string(NextPort());
    return ParseAddress(text);
  }
  int NextPort() {
    world_.last_port = world_.last_port == 65535 ? 20001 : world_.last_port + 1;
    return world_.last_port;
  }

  World& world_;
  VirtualMachine& machine_;
};

// ---- Files -----------------------------------------------------------------------------------------------

class VirtualFile final : public Writable {
 public:
  VirtualFile(const VirtualMachine& machine, std::string& text) : machine_(machine), text_(text) {}
  Io Write(std::string_view& bytes) override {
    if (machine_.disk_full) return Io::kBroken;
    text_.append(std::exchange(bytes, {}));
    return Io::kSome;
  }
  std::string ErrorText() const override { return kDiskFull; }
  void WaitUntilWritable(Micros) override {}

 private:
  const VirtualMachine& machine_;
  std::string& text_;
};

class VirtualFiles final : public Files {
 public:
  VirtualFiles(World& world, VirtualMachine& machine) : files_(world.files), machine_(machine) {}

  std::optional<std::string> Read(const std::string& path) override {
    const auto it = files_.find(path);
    if (it == files_.end()) return {};
    return it->second;
  }
  std::unique_ptr<Writable> Write(const std::string& path, Open how, std::string& why) override {
    const bool there = files_.contains(path);
    if (machine_.disk_full || (there && how == Open::kNew)) {
      why = there ? "File exists" : kDiskFull;
      return nullptr;
    }
    return std::make_unique<VirtualFile>(machine_, files_[path]);
  }
  bool Replace(const std::string& path, std::string_view text, std::string& why) override {
    why = kDiskFull;
    if (machine_.disk_full) return false;
    files_[path] = text;
    return true;
  }
  bool MakeFolder(const std::string&) override { return !machine_.disk_full; }
  bool IsWritableFolder(const std::string&, std::string&) override { return true; }
  std::vector<std::string> List(const std::string& folder) override {
    std::vector<std::string> names;
    for (const auto& [path, text] : files_) {
      if (path.starts_with(folder + "/")) names.push_back(path.substr(folder.size() + 1));
    }
    return names;
  }
  bool Remove(const std::string& path) override { return files_.erase(path) > 0; }

 private:
  std::map<std::string, std::string>& files_;
  VirtualMachine& machine_;
};

// Durable writes that complete immediately.
class VirtualDurable final : public DurableWriter {
 public:
  VirtualDurable(World& world, VirtualMachine& machine)
      : DurableWriter(world.scheduler), files_(world.files), machine_(machine) {}
  void Write(std::vector<DurableWrite> batch) override {
    if (!why_.empty()) return;
    for (DurableWrite& write : batch) {
      if (machine_.disk_full) {
        why_ = write.path + ": " + kDiskFull;
        break;
      }
      std::string& file = files_[write.path];
      if (write.at) {
        file.resize(*write.at);
        file += write.bytes;
      } else {
        file = std::move(write.bytes);
      }
      if (std::exchange(machine_.flush_fails, false)) {
        why_ = write.path + ": Input/output error";
        break;
      }
    }
    if (why_.empty()) ++done_;
    Notify();
  }
  uint64_t done() const override { return done_; }
  std::string ErrorText() const override { return why_; }

 private:
  std::map<std::string, std::string>& files_;
  VirtualMachine& machine_;
  uint64_t done_ = 0;
  std::string why_;
};

// Appends to a string.
class StringWriter final : public Writable {
 public:
  explicit StringWriter(std::string& to) : to_(to) {}
  Io Write(std::string_view& bytes) override {
    to_.append(std::exchange(bytes, {}));
    return Io::kSome;
  }
  std::string ErrorText() const override { return ""; }
  void WaitUntilWritable(Micros) override {}

 private:
  std::string& to_;
};

}  // namespace

VirtualMachine::VirtualMachine(World& world, size_t limit)
    : max_descriptors(limit),
      world_(world),
      network_(std::make_unique<VirtualNetwork>(world, *this)),
      files_(std::make_unique<VirtualFiles>(world, *this)) {}

std::unique_ptr<DurableWriter> VirtualMachine::Durable() {
  return std::make_unique<VirtualDurable>(world_, *this);
}

VirtualMachine::~VirtualMachine() = default;

std::unique_ptr<Writable> VirtualMachine::StandardError() {
  return std::make_unique<StringWriter>(standard_error_text);
}

}  // namespace burlfall::world
