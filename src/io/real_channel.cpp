#include "io/real_channel.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <optional>
#include <utility>
#include <vector>

#include "io/real_network.h"

namespace burlfall {
namespace {

constexpr int kBacklog = 8;  // length of the accept queue
constexpr size_t kMaxMessageBytes = 64 * 1024;

Descriptor MakePacketSocket() {
  return Descriptor(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

// A path longer than sun_path is addressed through a descriptor of its folder, /proc/self/fd/N/NAME; `folder`
// must stay open until the address has been used.
std::optional<sockaddr_un> PathAddress(const std::string& path, Descriptor& folder) {
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  std::string text = path;
  if (text.size() >= sizeof at.sun_path) {
    const size_t slash = text.rfind('/');
    if (slash == std::string::npos) return {};
    folder = Descriptor(open(text.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
    if (!folder) return {};
    text = "/proc/self/fd/" + std::to_string(folder.get()) + text.substr(slash);
    if (text.size() >= sizeof at.sun_path) return {};
  }
  std::memcpy(at.sun_path, text.c_str(), text.size() + 1);
  return at;
}

// Whether the received descriptor is a TCP connection, since a sender may pass any descriptor. Sets it to
// non-blocking.
bool IsConnection(int fd) {
  const auto is = [fd](int what, auto... wanted) {
    int value = -1;
    socklen_t length = sizeof value;
    return getsockopt(fd, SOL_SOCKET, what, &value, &length) == 0 && (... || (value == wanted));
  };
  return is(SO_DOMAIN, AF_INET, AF_INET6) && is(SO_TYPE, SOCK_STREAM) && is(SO_ACCEPTCONN, 0) &&
         fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK) == 0;
}

class RealChannel final : public Channel {
 public:
  RealChannel(RealScheduler& scheduler, Descriptor fd) : Channel(scheduler), fd_(std::move(fd)) {
    scheduler.Watch(fd_.get(), *this);
  }

  Io Send(std::string_view message, Stream* along) override {
    iovec part{const_cast<char*>(message.data()), message.size()};
    msghdr header{};
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> space{};
    if (along != nullptr) {
      header.msg_control = space.data();
      header.msg_controllen = space.size();
      cmsghdr* rights = CMSG_FIRSTHDR(&header);
      rights->cmsg_level = SOL_SOCKET;
      rights->cmsg_type = SCM_RIGHTS;
      rights->cmsg_len = CMSG_LEN(sizeof(int));
      const int fd = DescriptorOf(*along);
      std::memcpy(CMSG_DATA(rights), &fd, sizeof fd);
    }
    ssize_t n = -1;
    do {
      n = sendmsg(fd_.get(), &header, MSG_NOSIGNAL);
    } while (n < 0 && errno == EINTR);
    if (n < 0) {
      // ETOOMANYREFS: too many descriptors in flight, as the receiver has not taken the earlier ones yet.
      const bool later = errno == EAGAIN || errno == EWOULDBLOCK || errno == ETOOMANYREFS || errno == ENOBUFS;
      return later ? Io::kLater : Io::kBroken;
    }
    if (along != nullptr) {
      // The socket stays open in the other process, so closing it here would not end the epoll notifications.
      static_cast<RealScheduler&>(scheduler()).Unwatch(DescriptorOf(*along));
      along->Close();
    }
    return Io::kSome;
  }

  Io Receive(std::string& message, std::unique_ptr<Stream>& along) override {
    message.resize(kMaxMessageBytes);
    iovec part{message.data(), message.size()};
    msghdr header{};
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> space{};
    header.msg_control = space.data();
    header.msg_controllen = space.size();
    ssize_t n = -1;
    // ECONNRESET is reported once, before data that was sent earlier, and only means that the peer closed
    // with messages from here unread. Reading on keeps the connections that are still in flight from being
    // lost.
    bool reset = false;
    do {
      n = recvmsg(fd_.get(), &header, MSG_CMSG_CLOEXEC);
    } while (n < 0 && (errno == EINTR || (errno == ECONNRESET && !std::exchange(reset, true))));
    message.resize(n > 0 ? static_cast<size_t>(n) : 0);
    if (n == 0) return Io::kClosed;  // no message is empty
    if (n < 0) return errno == EAGAIN || errno == EWOULDBLOCK ? Io::kLater : Io::kBroken;
    // Own every received descriptor, also unexpected ones: the padding of the buffer has room for a second.
    std::vector<Descriptor> descriptors;
    for (cmsghdr* c = CMSG_FIRSTHDR(&header); c != nullptr; c = CMSG_NXTHDR(&header, c)) {
      if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_RIGHTS) continue;
      for (size_t at = CMSG_LEN(0); at + sizeof(int) <= c->cmsg_len; at += sizeof(int)) {
        int fd = -1;
        std::memcpy(&fd, reinterpret_cast<const char*>(c) + at, sizeof fd);
        descriptors.emplace_back(fd);
      }
    }
    if (descriptors.size() == 1 && IsConnection(descriptors.front().get()))
      along = MakeStream(static_cast<RealScheduler&>(scheduler()), std::move(descriptors.front()));
    return (header.msg_flags & MSG_TRUNC) != 0 ? Io::kBroken : Io::kSome;
  }

 private:
  Descriptor fd_;
};

class RealChannelListener final : public ChannelListener {
 public:
  RealChannelListener(RealScheduler& scheduler, Descriptor fd)
      : ChannelListener(scheduler), fd_(std::move(fd)) {
    scheduler.Watch(fd_.get(), *this);
  }
  std::unique_ptr<Channel> Accept() override {
    while (true) {
      Descriptor fd(accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!fd && (errno == EINTR || errno == ECONNABORTED)) continue;
      if (!fd) return nullptr;
      // Only processes of the same user are accepted, whatever the permissions of the folder.
      ucred credentials{};
      socklen_t length = sizeof credentials;
      if (getsockopt(fd.get(), SOL_SOCKET, SO_PEERCRED, &credentials, &length) != 0 ||
          credentials.uid != geteuid())
        continue;
      return std::make_unique<RealChannel>(static_cast<RealScheduler&>(scheduler()), std::move(fd));
    }
  }

 private:
  Descriptor fd_;
};

}  // namespace

std::unique_ptr<Channel> ConnectRealChannel(RealScheduler& scheduler, const std::string& path) {
  Descriptor folder;
  const std::optional<sockaddr_un> at = PathAddress(path, folder);
  Descriptor fd = MakePacketSocket();
  // A Unix socket connects immediately or not at all; EAGAIN means that the accept queue is full.
  if (!at || !fd || connect(fd.get(), reinterpret_cast<const sockaddr*>(&*at), sizeof *at) != 0)
    return nullptr;
  return std::make_unique<RealChannel>(scheduler, std::move(fd));
}

std::unique_ptr<ChannelListener> ListenOnRealChannel(RealScheduler& scheduler, const std::string& path,
                                                     std::string& why) {
  Descriptor folder;
  const std::optional<sockaddr_un> at = PathAddress(path, folder);
  Descriptor fd = MakePacketSocket();
  if (at) unlink(at->sun_path);  // left by a process that has ended, or hands over to this one
  if (!at || !fd || bind(fd.get(), reinterpret_cast<const sockaddr*>(&*at), sizeof *at) != 0 ||
      listen(fd.get(), kBacklog) != 0) {
    why = at ? std::strerror(errno) : "the path is too long, or its folder can't be used";
    return nullptr;
  }
  return std::make_unique<RealChannelListener>(scheduler, std::move(fd));
}

}  // namespace burlfall
