#include "io/real_files.h"

#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

#include "io/real_machine.h"

namespace burlfall {
namespace {

bool IsWritable(int fd, int wait_ms) {
  pollfd one{fd, POLLOUT, 0};
  return poll(&one, 1, wait_ms) == 1 && (one.revents & POLLOUT) != 0;
}

class DescriptorWriter final : public Writable {
 public:
  enum class Kind {
    kOwn,     // an open file description of our own, which never blocks, or a regular file
    kShared,  // a description shared with other processes, which may block
    kSocket,
    kClosed,
  };
  DescriptorWriter(Kind kind, int shared, Descriptor own)
      : kind_(kind), shared_(shared), own_(std::move(own)) {}

  Io Write(std::string_view& bytes) override {
    if (kind_ == Kind::kClosed) return Io::kBroken;
    while (!bytes.empty()) {
      ssize_t n = 0;
      if (kind_ == Kind::kSocket) {
        n = send(fd(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      } else if (kind_ == Kind::kShared) {
        // A pipe that polls as writable has room for PIPE_BUF bytes; more could block.
        if (!IsWritable(fd(), 0)) return Io::kLater;
        n = write(fd(), bytes.data(), std::min<size_t>(bytes.size(), PIPE_BUF));
      } else {
        n = write(fd(), bytes.data(), bytes.size());
      }
      if (n > 0) {
        bytes.remove_prefix(static_cast<size_t>(n));
      } else if (n == 0 || errno != EINTR) {
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return Io::kLater;
        why_ = n == 0 ? "the write accepted no bytes" : std::strerror(errno);
        return Io::kBroken;
      }
    }
    return Io::kSome;
  }

  std::string ErrorText() const override { return why_; }
  void WaitUntilWritable(Micros timeout) override { IsWritable(fd(), static_cast<int>(timeout / kMs)); }

 private:
  int fd() const { return own_ ? own_.get() : shared_; }

  Kind kind_;
  int shared_;
  Descriptor own_;
  std::string why_;
};

class RealFiles final : public Files {
 public:
  std::optional<std::string> Read(const std::string& path) override {
    try {
      std::ifstream file(path, std::ios::binary);
      if (!file) return {};
      std::string text(std::istreambuf_iterator<char>(file), {});
      if (!file.bad()) return text;
    } catch (const std::ios_base::failure&) {  // the path is a folder, for example
    }
    return {};
  }

  std::unique_ptr<Writable> Write(const std::string& path, Open how, std::string& why) override {
    const bool create = how == Open::kNew;
    // O_NONBLOCK, since the path may be a named pipe.
    const int flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | (create ? O_EXCL : O_NONBLOCK | O_NOCTTY);
    Descriptor fd(open(path.c_str(), flags, create ? 0640 : 0644));
    if (!fd) {
      why = std::strerror(errno);
      return nullptr;
    }
    return std::make_unique<DescriptorWriter>(DescriptorWriter::Kind::kOwn, -1, std::move(fd));
  }

  bool Replace(const std::string& path, std::string_view text, std::string& why) override {
    // The temporary file has the pid in its name: two processes that write at once each publish their own
    // complete text.
    const std::string temporary = path + ".new." + std::to_string(getpid());
    Descriptor fd(open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640));
    bool written = static_cast<bool>(fd);
    while (written && !text.empty()) {
      const ssize_t n = write(fd.get(), text.data(), text.size());
      if (n > 0) text.remove_prefix(static_cast<size_t>(n));
      written = n > 0 || (n < 0 && errno == EINTR);
    }
    if (written && rename(temporary.c_str(), path.c_str()) == 0) return true;
    why = std::strerror(errno);
    if (fd) unlink(temporary.c_str());
    return false;
  }

  bool MakeFolder(const std::string& path) override {
    std::error_code error;
    std::filesystem::create_directories(path, error);
    return !error;
  }

  bool IsWritableFolder(const std::string& folder, std::string& why) override {
    std::error_code error;
    const bool usable = std::filesystem::is_directory(folder, error);
    if (usable && access(folder.c_str(), W_OK | X_OK) == 0) return true;
    why = usable ? std::strerror(errno) : error ? error.message() : "not a folder";
    return false;
  }

  std::vector<std::string> List(const std::string& folder) override {
    std::vector<std::string> names;
    std::error_code error;
    std::filesystem::directory_iterator it(folder, error), end;
    for (; !error && it != end; it.increment(error)) names.push_back(it->path().filename().string());
    return names;
  }

  bool Remove(const std::string& path) override {
    std::error_code error;
    return std::filesystem::remove(path, error);
  }
};

}  // namespace

std::unique_ptr<Files> MakeRealFiles() { return std::make_unique<RealFiles>(); }

std::unique_ptr<Writable> MakeClosedWriter() {
  return std::make_unique<DescriptorWriter>(DescriptorWriter::Kind::kClosed, -1, Descriptor());
}

std::unique_ptr<Writable> MakeDescriptorWriter(int fd, bool reopen) {
  using Kind = DescriptorWriter::Kind;
  struct stat status {};
  // Never write to a closed descriptor: its number may soon belong to a client link.
  if (fstat(fd, &status) != 0) return MakeClosedWriter();
  if (S_ISSOCK(status.st_mode)) return std::make_unique<DescriptorWriter>(Kind::kSocket, fd, Descriptor());
  // A regular file is not reopened: two descriptions have separate offsets and would overwrite each other.
  if (S_ISREG(status.st_mode)) return std::make_unique<DescriptorWriter>(Kind::kOwn, fd, Descriptor());
  Descriptor own;  // stays empty for another user's pipe, which can't be opened
  const std::string path = "/proc/self/fd/" + std::to_string(fd);
  if (reopen) own = Descriptor(open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY));
  const Kind kind = own ? Kind::kOwn : Kind::kShared;
  return std::make_unique<DescriptorWriter>(kind, fd, std::move(own));
}

}  // namespace burlfall
