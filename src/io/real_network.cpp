#include "io/real_network.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include "io/real_channel.h"
#include "io/real_machine.h"

namespace burlfall {
namespace {

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

class RealStream final : public Stream {
 public:
  RealStream(RealScheduler& scheduler, Descriptor fd) : Stream(scheduler), fd_(std::move(fd)) {}

  State Opened() override {
    int error = 0;
    socklen_t length = sizeof error;
    if (getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
      return State::kFailed;
    }
    sockaddr_storage peer;
    length = sizeof peer;
    const bool up = getpeername(fd_.get(), reinterpret_cast<sockaddr*>(&peer), &length) == 0;
    return up ? State::kUp : State::kOpening;
  }

  using Stream::Read;
  Io Read(std::string& into, size_t max_bytes) override {
    std::array<char, kMaxReadBytes> piece;
    const size_t size = std::min(max_bytes, piece.size());
    while (true) {
      ssize_t n = recv(fd_.get(), piece.data(), size, 0);
      if (n < 0 && errno == ENOTSOCK) n = read(fd_.get(), piece.data(), size);
      if (n > 0) {
        into.append(piece.data(), static_cast<size_t>(n));
        return Io::kSome;
      }
      if (n == 0) return Io::kClosed;
      if (errno == EINTR) continue;
      return WouldBlock() ? Io::kLater : Io::kBroken;
    }
  }

  Io Write(std::string_view& bytes) override {
    while (!bytes.empty()) {
      // Without MSG_NOSIGNAL a closed peer would end this program by SIGPIPE.
      ssize_t n = send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n >= 0) {
        bytes.remove_prefix(static_cast<size_t>(n));
      } else if (errno != EINTR) {
        return WouldBlock() ? Io::kLater : Io::kBroken;
      }
    }
    return Io::kSome;
  }

  bool IsIdle() override {
    char byte;
    ssize_t n = recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && WouldBlock();
  }

  bool PeerEnded() override { return peer_ended(); }

  void Finish() override { shutdown(fd_.get(), SHUT_WR); }

  void Reset() override {
    linger now{1, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }

  void Close() override { fd_ = Descriptor(); }
  int fd() const { return fd_.get(); }

  Address Peer() const override { return QueryAddress(getpeername); }
  Address Local() const override { return QueryAddress(getsockname); }

 private:
  Address QueryAddress(int (*call)(int, sockaddr*, socklen_t*)) const {
    sockaddr_storage at{};
    socklen_t length = sizeof at;
    if (call(fd_.get(), reinterpret_cast<sockaddr*>(&at), &length) != 0) return Address();
    return ToAddress(at, length);
  }

  Descriptor fd_;
};

// Nullptr if the stream can't be added to the epoll set: an exception would end the process.
std::unique_ptr<RealStream> MakeWatchedStream(RealScheduler& scheduler, Descriptor fd) {
  auto stream = std::make_unique<RealStream>(scheduler, std::move(fd));
  return scheduler.TryWatch(stream->fd(), *stream) ? std::move(stream) : nullptr;
}

// Bytes that the system may hold unsent for one connection. Without a limit it buffers megabytes for a peer
// that does not read, which count as this process's memory.
constexpr int kMaxUnsentBytes = 32 * 1024;

// Likewise for bytes of a client that are not read: a client that has to wait is not to believe them taken.
constexpr int kMaxUnreadBytes = 128 * 1024;

void SetStreamOptions(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &kMaxUnsentBytes, sizeof kMaxUnsentBytes);
}

class RealListener final : public Listener {
 public:
  RealListener(RealScheduler& scheduler, const Address& at)
      : Listener(scheduler),
        fd_(socket(at.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    int on = 1;
    if (!fd_ || setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        bind(fd_.get(), at.get(), at.length) != 0 || listen(fd_.get(), SOMAXCONN) != 0) {
      throw std::system_error(errno, std::generic_category(), "can't listen on " + at.text);
    }
    scheduler.Watch(fd_.get(), *this);
  }
  RealListener(RealScheduler& scheduler, Descriptor given) : Listener(scheduler), fd_(std::move(given)) {
    scheduler.Watch(fd_.get(), *this);
  }
  // Another holder keeps the socket open, and epoll would go on notifying the destroyed Signal.
  ~RealListener() override { static_cast<RealScheduler&>(scheduler()).Unwatch(fd_.get()); }

  Accepted Accept(std::unique_ptr<Stream>& into) override {
    while (true) {
      Descriptor fd(accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!fd && WouldBlock()) return Accepted::kNone;
      if (!fd && (errno == EINTR || errno == ECONNABORTED || errno == EPROTO))
        continue;  // the peer has gone already
      if (!fd) return Accepted::kNoResources;
      SetStreamOptions(fd.get());
      setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &kMaxUnreadBytes, sizeof kMaxUnreadBytes);
      into = MakeWatchedStream(static_cast<RealScheduler&>(scheduler()), std::move(fd));
      return into ? Accepted::kOne : Accepted::kNoResources;
    }
  }

  Address Local() const override {
    sockaddr_storage at{};
    socklen_t length = sizeof at;
    if (getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &length) != 0) return Address();
    return ToAddress(at, length);
  }

  void SetBacklog(int max) override { listen(fd_.get(), max); }

 private:
  Descriptor fd_;
};

class DatagramWriter final : public Writable {
 public:
  explicit DatagramWriter(Descriptor fd) : fd_(std::move(fd)) {}
  Io Write(std::string_view& bytes) override {
    while (!bytes.empty()) {
      ssize_t n = send(fd_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (n >= 0) {
        bytes.remove_prefix(static_cast<size_t>(n));
      } else if (errno != EINTR) {
        why_ = std::strerror(errno);
        return Io::kBroken;  // also if there is no room: datagrams are not queued here
      }
    }
    return Io::kSome;
  }
  std::string ErrorText() const override { return why_; }
  void WaitUntilWritable(Micros) override {}

 private:
  Descriptor fd_;
  std::string why_;
};

class RealDatagramSocket final : public DatagramSocket {
 public:
  RealDatagramSocket(RealScheduler& scheduler, const Address& at)
      : DatagramSocket(scheduler),
        fd_(socket(at.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    if (!fd_ || bind(fd_.get(), at.get(), at.length) != 0) {
      throw std::system_error(errno, std::generic_category(), "can't receive datagrams at " + at.text);
    }
    scheduler.Watch(fd_.get(), *this);
  }

  Io Send(const Address& to, std::string_view datagram) override {
    while (true) {
      const ssize_t n =
          sendto(fd_.get(), datagram.data(), datagram.size(), MSG_NOSIGNAL, to.get(), to.length);
      if (n >= 0) return Io::kSome;
      if (errno == EINTR) continue;
      // An ICMP error for an earlier datagram is reported here, and says nothing about this one.
      if (errno == ECONNREFUSED) return Io::kSome;
      return WouldBlock() || errno == ENOBUFS ? Io::kLater : Io::kBroken;
    }
  }

  Io Receive(std::string& into, Address& from) override {
    std::array<char, 65536> piece;
    while (true) {
      sockaddr_storage at{};
      socklen_t length = sizeof at;
      const ssize_t n =
          recvfrom(fd_.get(), piece.data(), piece.size(), 0, reinterpret_cast<sockaddr*>(&at), &length);
      if (n >= 0) {
        into.assign(piece.data(), static_cast<size_t>(n));
        from = ToAddress(at, length);
        return Io::kSome;
      }
      if (errno == EINTR || errno == ECONNREFUSED) continue;
      return WouldBlock() ? Io::kLater : Io::kBroken;
    }
  }

  Address Local() const override {
    sockaddr_storage at{};
    socklen_t length = sizeof at;
    if (getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &length) != 0) return Address();
    return ToAddress(at, length);
  }

 private:
  Descriptor fd_;
};

// Binds to the host only. The port is chosen at connect(), so that one source port can serve many peers.
bool BindToHost(int fd, const Address* from) {
  if (from == nullptr) return true;
  sockaddr_storage host = from->storage;
  if (host.ss_family == AF_INET6) {
    reinterpret_cast<sockaddr_in6&>(host).sin6_port = 0;
  } else {
    reinterpret_cast<sockaddr_in&>(host).sin_port = 0;
  }
  const int later = 1;
  setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &later, sizeof later);
  return bind(fd, reinterpret_cast<const sockaddr*>(&host), from->length) == 0;
}

class RealNetwork final : public Network {
 public:
  explicit RealNetwork(RealScheduler& scheduler) : scheduler_(scheduler) {}

  std::unique_ptr<Stream> ConnectFrom(const Address* from, const Address& to, NoConnection& why) override {
    Descriptor fd(socket(to.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (fd) {
      SetStreamOptions(fd.get());
      if (BindToHost(fd.get(), from) &&
          (connect(fd.get(), to.get(), to.length) == 0 || errno == EINPROGRESS)) {
        why = NoConnection::kNoResources;
        return MakeWatchedStream(scheduler_, std::move(fd));
      }
    }
    const bool local_shortage =
        errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM || errno == EADDRNOTAVAIL;
    why = local_shortage ? NoConnection::kNoResources : NoConnection::kRefused;
    return nullptr;
  }

  std::unique_ptr<Listener> Listen(const Address& at) override {
    return std::make_unique<RealListener>(scheduler_, at);
  }

  std::unique_ptr<Listener> Adopt(int descriptor) override {
    int listens = 0;
    socklen_t length = sizeof listens;
    const bool known = getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &length) == 0;
    if (!known || listens == 0) {
      const int error = known ? EINVAL : errno;
      throw std::system_error(error, std::generic_category(),
                              "descriptor " + std::to_string(descriptor) + " is no listening socket");
    }
    Descriptor own(fcntl(descriptor, F_DUPFD_CLOEXEC, 3));
    if (!own || fcntl(own.get(), F_SETFL, fcntl(own.get(), F_GETFL) | O_NONBLOCK) != 0) {
      throw std::system_error(errno, std::generic_category(), "descriptor " + std::to_string(descriptor));
    }
    return std::make_unique<RealListener>(scheduler_, std::move(own));
  }

  std::unique_ptr<Channel> ConnectChannel(const std::string& path) override {
    return ConnectRealChannel(scheduler_, path);
  }
  std::unique_ptr<ChannelListener> ListenOnChannel(const std::string& path, std::string& why) override {
    return ListenOnRealChannel(scheduler_, path, why);
  }

  std::unique_ptr<DatagramSocket> Bind(const Address& at) override {
    return std::make_unique<RealDatagramSocket>(scheduler_, at);
  }
  std::unique_ptr<Writable> DatagramWriterTo(const Address& to) override {
    Descriptor fd(socket(to.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    // Connected, so that a later send reports an error if nothing listens at the address.
    if (!fd || connect(fd.get(), to.get(), to.length) != 0) return nullptr;
    return std::make_unique<burlfall::DatagramWriter>(std::move(fd));
  }

 private:
  RealScheduler& scheduler_;
};

}  // namespace

std::unique_ptr<Network> MakeRealNetwork(RealScheduler& scheduler) {
  return std::make_unique<RealNetwork>(scheduler);
}

int DescriptorOf(const Stream& stream) { return static_cast<const RealStream&>(stream).fd(); }

std::unique_ptr<Stream> MakeStream(RealScheduler& scheduler, Descriptor fd) {
  return MakeWatchedStream(scheduler, std::move(fd));
}

}  // namespace burlfall
