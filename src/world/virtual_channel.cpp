#include "world/virtual_channel.h"

#include <array>
#include <deque>
#include <utility>

namespace burlfall::world {
namespace {

constexpr size_t kMaxQueuedMessages = 64;  // in each direction
constexpr size_t kBacklog = 8;             // callers that are not yet accepted

class VirtualChannel;

// The two ends of a channel, and the messages that each has not yet received.
struct ChannelPair {
  struct End {
    VirtualChannel* channel = nullptr;  // while it exists
    std::deque<std::string> received;
    bool closed = false;
    bool sender_waits = false;  // the other end found no room
  };
  std::array<End, 2> ends;
};

class VirtualChannel final : public Channel {
 public:
  VirtualChannel(Scheduler& scheduler, std::shared_ptr<ChannelPair> pair, size_t end)
      : Channel(scheduler), pair_(std::move(pair)), end_(end) {
    own().channel = this;
  }
  ~VirtualChannel() override {
    own().channel = nullptr;
    own().closed = true;
    NotifyOther();
  }

  Io Send(std::string_view message, Stream* along) override {
    if (along != nullptr || other().closed) return Io::kBroken;
    if (other().received.size() >= kMaxQueuedMessages) {
      other().sender_waits = true;
      return Io::kLater;
    }
    other().received.emplace_back(message);
    NotifyOther();
    return Io::kSome;
  }

  Io Receive(std::string& message, std::unique_ptr<Stream>&) override {
    if (own().received.empty()) return other().closed ? Io::kClosed : Io::kLater;
    message = std::move(own().received.front());
    own().received.pop_front();
    if (std::exchange(own().sender_waits, false)) NotifyOther();
    return Io::kSome;
  }

 private:
  ChannelPair::End& own() { return pair_->ends[end_]; }
  ChannelPair::End& other() { return pair_->ends[1 - end_]; }
  void NotifyOther() {
    if (other().channel != nullptr) other().channel->Notify();
  }

  const std::shared_ptr<ChannelPair> pair_;
  const size_t end_;
};

}  // namespace

class VirtualChannelListener final : public ChannelListener {
 public:
  VirtualChannelListener(Scheduler& scheduler, ChannelListeners& listeners, std::string path)
      : ChannelListener(scheduler), listeners_(listeners), path_(std::move(path)) {
    listeners_[path_] = this;
  }
  ~VirtualChannelListener() override {
    const auto at_path = listeners_.find(path_);
    if (at_path != listeners_.end() && at_path->second == this) listeners_.erase(at_path);
  }

  std::unique_ptr<Channel> Accept() override {
    if (callers_.empty()) return nullptr;
    std::unique_ptr<Channel> channel = std::move(callers_.front());
    callers_.pop_front();
    return channel;
  }

  bool Enqueue(std::unique_ptr<Channel> caller) {
    if (callers_.size() >= kBacklog) return false;
    callers_.push_back(std::move(caller));
    Notify();
    return true;
  }

 private:
  ChannelListeners& listeners_;
  const std::string path_;
  std::deque<std::unique_ptr<Channel>> callers_;
};

std::unique_ptr<Channel> ConnectVirtualChannel(Scheduler& scheduler, ChannelListeners& listeners,
                                               const std::string& path) {
  const auto listener = listeners.find(path);
  if (listener == listeners.end()) return nullptr;
  auto pair = std::make_shared<ChannelPair>();
  auto caller = std::make_unique<VirtualChannel>(scheduler, pair, 0);
  if (!listener->second->Enqueue(std::make_unique<VirtualChannel>(scheduler, pair, 1))) return nullptr;
  return caller;
}

std::unique_ptr<ChannelListener> ListenOnVirtualChannel(Scheduler& scheduler, ChannelListeners& listeners,
                                                        const std::string& path) {
  return std::make_unique<VirtualChannelListener>(scheduler, listeners, path);
}

}  // namespace burlfall::world
