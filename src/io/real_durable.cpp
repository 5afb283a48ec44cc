#include "io/real_durable.h"

#include <fcntl.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <mutex>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>

namespace burlfall {
namespace {

bool WriteAt(int fd, std::string_view bytes, uint64_t at) {
  while (!bytes.empty()) {
    const ssize_t n = pwrite(fd, bytes.data(), bytes.size(), static_cast<off_t>(at));
    if (n > 0) {
      bytes.remove_prefix(static_cast<size_t>(n));
      at += static_cast<uint64_t>(n);
    } else if (n == 0 || errno != EINTR) {
      if (n == 0) errno = ENOSPC;
      return false;
    }
  }
  return true;
}

// A new or renamed directory entry is durable only once its folder is flushed.
bool FlushFolderOf(const std::string& path) {
  const size_t slash = path.rfind('/');
  const std::string folder = slash == std::string::npos ? "." : slash == 0 ? "/" : path.substr(0, slash);
  const Descriptor fd(open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return fd && fsync(fd.get()) == 0;
}

// Returns false with errno set. Errors of close() are ignored: the data is already flushed.
bool Replace(const DurableWrite& write) {
  const std::string temporary = write.path + ".new";
  const Descriptor fd(open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640));
  return fd && WriteAt(fd.get(), write.bytes, 0) && fsync(fd.get()) == 0 &&
         rename(temporary.c_str(), write.path.c_str()) == 0 && FlushFolderOf(write.path);
}

bool WriteTail(const DurableWrite& write) {
  const bool created = access(write.path.c_str(), F_OK) != 0;
  const Descriptor fd(open(write.path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0640));
  return fd && WriteAt(fd.get(), write.bytes, *write.at) &&
         ftruncate(fd.get(), static_cast<off_t>(*write.at + write.bytes.size())) == 0 &&
         fdatasync(fd.get()) == 0 && (!created || FlushFolderOf(write.path));
}

class RealDurable final : public DurableWriter {
 public:
  explicit RealDurable(RealScheduler& scheduler)
      : DurableWriter(scheduler), event_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (!event_fd_) throw std::system_error(errno, std::generic_category(), "eventfd");
    scheduler.Watch(event_fd_.get(), *this);
    worker_ = std::thread([this] { RunWorker(); });
  }

  // Batches that have not begun are dropped, as if the process had ended a moment earlier.
  ~RealDurable() override {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    worker_.join();
  }

  void Write(std::vector<DurableWrite> batch) override {
    {
      const std::lock_guard lock(mutex_);
      waiting_.push_back(std::move(batch));
    }
    wake_.notify_one();
  }
  uint64_t done() const override {
    const std::lock_guard lock(mutex_);
    return done_;
  }
  std::string ErrorText() const override {
    const std::lock_guard lock(mutex_);
    return why_;
  }

 private:
  void RunWorker() {
    std::unique_lock lock(mutex_);
    while (true) {
      wake_.wait(lock, [this] { return stopping_ || (why_.empty() && !waiting_.empty()); });
      if (stopping_) return;
      const std::vector<DurableWrite> batch = std::move(waiting_.front());
      waiting_.pop_front();
      lock.unlock();
      std::string why;
      for (const DurableWrite& write : batch) {
        if (write.at ? WriteTail(write) : Replace(write)) continue;
        why = write.path + ": " + std::strerror(errno);
        break;
      }
      lock.lock();
      why_ = why;
      if (why_.empty()) ++done_;
      const uint64_t one = 1;
      // The eventfd counter can't overflow; and the owner checks again in any case.
      if (write(event_fd_.get(), &one, sizeof one) < 0 && why_.empty()) continue;
    }
  }

  Descriptor event_fd_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::vector<DurableWrite>> waiting_;
  uint64_t done_ = 0;
  std::string why_;
  bool stopping_ = false;
  std::thread worker_;  // last: the thread uses all members above
};

}  // namespace

std::unique_ptr<DurableWriter> MakeRealDurable(RealScheduler& scheduler) {
  return std::make_unique<RealDurable>(scheduler);
}

}  // namespace burlfall
