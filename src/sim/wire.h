// The simulator's binary protocol: decodes batches of events and encodes replies. Integers are little-endian.
// No balancing decisions are made here.
#ifndef MEADOWSLIP_SIM_WIRE_H_
#define MEADOWSLIP_SIM_WIRE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"
#include "meadowslip/balancer.h"

namespace meadowslip::wire {

constexpr uint32_t kMaxFrame = 512u << 20;  // bytes

// Reads consecutive fields; throws BadInput, which names `context`, at the end of the bytes.
class Reader {
 public:
  Reader(std::span<const std::byte> bytes, const char* context) : bytes_(bytes), context_(context) {}
  uint8_t U8();
  uint16_t U16();
  uint32_t U32();
  uint64_t U64();
  float F32();
  std::span<const std::byte> Take(size_t n);
  size_t remaining() const { return bytes_.size(); }
  void ExpectEnd() const;

 private:
  uint64_t LittleEndian(size_t width);
  std::span<const std::byte> bytes_;
  const char* context_;
};

// Receives the events of a batch in order; one method for each record type.
class EventHandler {
 public:
  virtual ~EventHandler() = default;
  virtual void Target(uint32_t instance) = 0;
  virtual void Born(uint64_t seed, const Settings& settings) = 0;
  virtual void Destroyed() = 0;
  virtual void List(const BackendList& list) = 0;
  virtual void Job(const Request& request) = 0;
  virtual void First(RequestId id, int attempt) = 0;
  virtual void Done(const AttemptResult& result) = 0;
  virtual void Left(RequestId id) = 0;
  virtual void Timer(uint64_t name) = 0;
  virtual void Probed(const ProbeResult& result) = 0;
};

// Decodes a frame, without its leading length, and passes its events to the handler. `clock` is set before
// the first event. Throws BadInput.
void DecodeBatch(std::span<const std::byte> frame, Micros& clock, EventHandler& handler);

// Builds the reply to one batch: Begin(), then actions, with At() for the instance that they are from, then
// Finish(), which returns the frame including its length.
class Reply : public ActionSink {
 public:
  void Begin();
  void At(uint32_t instance) { instance_ = instance; }
  std::span<const std::byte> Finish();

  void Send(RequestId id, BackendId backend, Micros timeout) override;
  void Refuse(RequestId id, Micros retry_after) override;
  void Fail(RequestId id) override;
  void Cancel(RequestId id, int attempt) override;
  void Schedule(Micros delay, uint64_t timer) override;
  void Probe(BackendId backend) override;
  void Subscribe() override;

 private:
  void Record(uint16_t code, uint32_t length);
  void Put(uint64_t value, size_t width);
  std::vector<std::byte> out_;
  uint32_t count_ = 0;
  int64_t instance_ = -1;
  int64_t last_instance_ = -1;
};

}  // namespace meadowslip::wire

#endif  // MEADOWSLIP_SIM_WIRE_H_
