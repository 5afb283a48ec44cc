#include "net/outlet.h"

#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

namespace burlfall {
namespace {

constexpr size_t kMostKept = 16 * 1024;

bool HasRoom(int fd, int wait_ms) {
  pollfd one{fd, POLLOUT, 0};
  return poll(&one, 1, wait_ms) == 1 && (one.revents & POLLOUT) != 0;
}

}  // namespace

Outlet Outlet::StandardError() { return On(STDERR_FILENO); }

Outlet Outlet::On(int fd, bool anew) {
  Outlet outlet;
  outlet.shared_ = fd;
  struct stat status {};
  if (fstat(fd, &status) != 0) {
    outlet.shared_ = -1;  // closed: its number may be a client's link soon
    return outlet;
  }
  if (S_ISSOCK(status.st_mode)) {
    outlet.kind_ = Kind::kStream;
  } else if (S_ISREG(status.st_mode)) {
    // Not opened anew: two descriptions of one file have two places to write at, and overwrite each other.
    outlet.kind_ = Kind::kPlain;
  } else {
    // Another user's pipe can't be opened.
    const std::string path = "/proc/self/fd/" + std::to_string(fd);
    if (anew) outlet.own_ = Descriptor(open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY));
    outlet.kind_ = outlet.own_ ? Kind::kOwn : Kind::kShared;
  }
  return outlet;
}

Outlet Outlet::File(std::string path) {
  Outlet outlet;
  outlet.kind_ = Kind::kFile;
  outlet.path_ = std::move(path);
  return outlet;
}

Outlet Outlet::Udp(const Address& to) {
  Outlet outlet;
  outlet.kind_ = Kind::kDatagram;
  outlet.own_ = Descriptor(socket(to.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  // Connected, so that word of a collector that is gone comes back as an error of a later send.
  if (outlet.own_ && connect(outlet.own_.get(), to.get(), to.length) != 0) outlet.own_ = Descriptor();
  return outlet;
}

void Outlet::Reopen() {
  if (kind_ == Kind::kFile) own_ = Descriptor();
}

bool Outlet::Open() {
  if (kind_ == Kind::kFile && !own_) {
    own_ = Descriptor(
        open(path_.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_NONBLOCK | O_CLOEXEC | O_NOCTTY, 0644));
  }
  return fd() >= 0;
}

// Takes off the front what was written.
Outlet::Taken Outlet::Push(std::string_view& bytes) {
  while (!bytes.empty()) {
    ssize_t n = 0;
    if (kind_ == Kind::kStream || kind_ == Kind::kDatagram) {
      n = send(fd(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    } else if (kind_ == Kind::kShared) {
      // A pipe that polls as writable has room for so much; more could block.
      if (!HasRoom(fd(), 0)) return Taken::kLater;
      n = write(fd(), bytes.data(), std::min<size_t>(bytes.size(), PIPE_BUF));
    } else {
      n = write(fd(), bytes.data(), bytes.size());
    }
    if (n >= 0) {
      bytes.remove_prefix(static_cast<size_t>(n));
    } else if (errno != EINTR) {
      bool full = errno == EAGAIN || errno == EWOULDBLOCK;
      return full && kind_ != Kind::kDatagram ? Taken::kLater : Taken::kNo;
    }
  }
  return Taken::kYes;
}

Outlet::Taken Outlet::Flush() {
  if (!Open()) return Taken::kNo;
  while (!rest_.empty() || !said_.empty()) {
    if (rest_.empty()) rest_.swap(said_);
    std::string_view left = rest_;
    const Taken taken = Push(left);
    rest_.erase(0, rest_.size() - left.size());
    if (taken != Taken::kYes) return taken;
  }
  return Taken::kYes;
}

Outlet::Taken Outlet::Offer(std::string_view lines) {
  Taken before = Flush();
  if (before != Taken::kYes) return before;
  std::string_view left = lines;
  Taken taken = Push(left);
  if (taken == Taken::kYes || left.size() == lines.size()) return taken;
  rest_ = left;  // a line that was begun is finished, or the next one would be torn too
  return Taken::kYes;
}

void Outlet::Say(std::string_view line) {
  if (Offer(line) == Taken::kLater && said_.size() + line.size() <= kMostKept) said_ += line;
}

void Outlet::AwaitRoom(Micros patience) const { HasRoom(fd(), static_cast<int>(patience / kMs)); }

bool Outlet::Drain(Micros patience) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::microseconds(patience);
  while (Flush() == Taken::kLater && std::chrono::steady_clock::now() < until) AwaitRoom(20 * kMs);
  return rest_.empty() && said_.empty();
}

}  // namespace burlfall
