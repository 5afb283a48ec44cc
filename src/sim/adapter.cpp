// Runs instances of the balancer for the simulator: reads batches of events from standard input and writes
// the replies to standard output. Instances share no state.
#include <cstdio>
#include <exception>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "meadowslip/balancer.h"
#include "sim/wire.h"

namespace {

using meadowslip::BadInput;
using meadowslip::Balancer;
using meadowslip::Micros;

// Dispatches the events of each batch to the instances that they target.
class Host : public meadowslip::wire::EventHandler {
 public:
  std::span<const std::byte> Answer(std::span<const std::byte> frame) {
    reply_.Begin();
    target_.reset();
    DecodeBatch(frame, now_, *this);
    if (now_ < last_batch_at_) throw BadInput("batch: the clock runs backwards");
    last_batch_at_ = now_;
    return reply_.Finish();
  }

 private:
  void Target(uint32_t instance) override {
    target_ = instance;
    reply_.At(instance);
  }
  void Born(uint64_t seed, const meadowslip::Settings& settings) override {
    uint32_t target = TargetId();
    instances_.erase(target);
    instances_.emplace(target, Balancer(settings, seed));
  }
  void Destroyed() override {
    TargetBalancer();
    instances_.erase(TargetId());
  }
  void List(const meadowslip::BackendList& list) override { TargetBalancer().OnList(now_, list, reply_); }
  void Job(const meadowslip::Request& r) override { TargetBalancer().OnRequest(now_, r, reply_); }
  void First(meadowslip::RequestId id, int n) override {
    TargetBalancer().OnStreamStarted(now_, id, n, reply_);
  }
  void Done(const meadowslip::AttemptResult& r) override { TargetBalancer().OnResult(now_, r, reply_); }
  void Left(meadowslip::RequestId id) override { TargetBalancer().OnClientLeft(now_, id, reply_); }
  void Timer(uint64_t name) override { TargetBalancer().OnTimer(now_, name, reply_); }
  void Probed(const meadowslip::ProbeResult& r) override { TargetBalancer().OnProbe(now_, r, reply_); }

  uint32_t TargetId() const {
    if (!target_) throw BadInput("an event before any TARGET_INSTANCE");
    return *target_;
  }
  Balancer& TargetBalancer() {
    auto it = instances_.find(TargetId());
    if (it == instances_.end()) {
      throw BadInput("an event for instance " + std::to_string(*target_) + ", which was not started");
    }
    return it->second;
  }

  std::map<uint32_t, Balancer> instances_;
  meadowslip::wire::Reply reply_;
  std::optional<uint32_t> target_;
  Micros now_ = 0;
  Micros last_batch_at_ = 0;
};

void Run() {
  Host host;
  std::vector<std::byte> frame;
  while (true) {
    std::byte head[4];
    size_t length_read = std::fread(head, 1, sizeof head, stdin);
    if (length_read == 0) return;
    if (length_read < sizeof head) throw BadInput("batch: the input ends within a length");
    uint32_t length = meadowslip::wire::Reader(head, "length").U32();
    if (length > meadowslip::wire::kMaxFrame) {
      throw BadInput("batch: length " + std::to_string(length) + " is over the limit");
    }
    frame.clear();
    while (frame.size() < length) {  // allocates as bytes arrive, not by the announced length
      size_t at = frame.size();
      frame.resize(std::min<size_t>(length, at + (size_t{1} << 20)));
      if (std::fread(frame.data() + at, 1, frame.size() - at, stdin) < frame.size() - at) {
        throw BadInput("batch: the input ends within a frame");
      }
    }
    std::span<const std::byte> reply = host.Answer(frame);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) < reply.size() || std::fflush(stdout) != 0) {
      throw std::runtime_error("standard output can't be written");
    }
  }
}

}  // namespace

int main() {
  try {
    Run();
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "meadowslip_adapter: %s\n", e.what());
    return 1;
  }
}
