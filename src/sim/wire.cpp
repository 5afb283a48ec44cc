#include "sim/wire.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace meadowslip::wire {

uint64_t Reader::LittleEndian(size_t width) {
  std::span<const std::byte> raw = Take(width);
  uint64_t value = 0;
  for (size_t i = width; i-- > 0;) value = value << 8 | std::to_integer<uint64_t>(raw[i]);
  return value;
}
uint8_t Reader::U8() { return static_cast<uint8_t>(LittleEndian(1)); }
uint16_t Reader::U16() { return static_cast<uint16_t>(LittleEndian(2)); }
uint32_t Reader::U32() { return static_cast<uint32_t>(LittleEndian(4)); }
uint64_t Reader::U64() { return LittleEndian(8); }
float Reader::F32() { return std::bit_cast<float>(U32()); }

std::span<const std::byte> Reader::Take(size_t n) {
  if (n > bytes_.size()) throw BadInput(std::string(context_) + ": ends before its last field");
  std::span<const std::byte> head = bytes_.first(n);
  bytes_ = bytes_.subspan(n);
  return head;
}

void Reader::ExpectEnd() const {
  if (!bytes_.empty()) throw BadInput(std::string(context_) + ": bytes left over after its last field");
}

namespace {

enum EventCode : uint16_t {
  kBorn = 1000,
  kPeersKnown = 1010,
  kJobIn = 1020,
  kFirst = 1030,
  kDone = 1040,
  kLeft = 1050,
  kTimeoutFired = 1060,
  kProbeDone = 1070,
  kPeer = 1080,
  kDestroy = 1090,
  kTargetInstance = 1100,
};

Outcome ToOutcome(uint8_t code, const char* what) {
  switch (code) {
    case 0:
      return Outcome::kOk;
    case 5:
      return Outcome::kError;
    case 11:
      return Outcome::kFull;
    case 104:
      return Outcome::kReset;
    case 110:
      return Outcome::kTimeout;
    case 111:
      return Outcome::kConnectFailed;
    case 114:
      return Outcome::kMoot;
    case 125:
      return Outcome::kCancelled;
  }
  throw BadInput(std::string(what) + ": unknown outcome " + std::to_string(code));
}

Micros ToMicros(uint64_t value, const char* what) {
  if (value > uint64_t{1} << 62) throw BadInput(std::string(what) + ": time out of range");
  return static_cast<Micros>(value);
}

void ReadLoad(Reader& in, std::vector<float>& load) {
  load.clear();
  for (int n = in.U8(); n > 0; --n) load.push_back(in.F32());
}

void ReadList(Reader& in, EventHandler& handler) {
  BackendList list;
  in.U64();  // the list's version is not needed: lists arrive in order and without gaps
  uint8_t form = in.U8();
  if (form > 3) throw BadInput("PEERS_KNOWN: unknown form " + std::to_string(form));
  list.kind = static_cast<ListKind>(form);
  uint32_t n = in.U32();
  constexpr size_t kEntryBytes = 21;
  if (n > in.remaining() / kEntryBytes) throw BadInput("PEERS_KNOWN: ends before its last entry");
  list.entries.reserve(n);
  for (; n > 0; --n) {
    BackendEntry e;
    uint8_t state = in.U8();
    if (state > 2) throw BadInput("PEERS_KNOWN: unknown readiness " + std::to_string(state));
    e.state = static_cast<BackendState>(state);
    e.cell = in.U16();
    e.zone = in.U8();
    e.id = in.U32();
    e.started_at = ToMicros(in.U64(), "PEERS_KNOWN");
    float size = in.F32();
    e.size = std::isfinite(size) && size > 0 ? size : 1;
    e.kind = in.U8();
    list.entries.push_back(e);
  }
  in.ExpectEnd();
  handler.List(list);
}

void ReadEvent(uint16_t code, std::span<const std::byte> body, std::vector<float>& load,
               EventHandler& handler) {
  switch (code) {
    case kTargetInstance: {
      Reader in(body, "TARGET_INSTANCE");
      uint32_t instance = in.U32();
      in.ExpectEnd();
      return handler.Target(instance);
    }
    case kBorn: {
      Reader in(body, "BORN");
      uint64_t seed = in.U64();
      std::span<const std::byte> text = in.Take(in.U32());
      in.ExpectEnd();
      return handler.Born(seed, ParseSettings({reinterpret_cast<const char*>(text.data()), text.size()}));
    }
    case kPeersKnown: {
      Reader in(body, "PEERS_KNOWN");
      return ReadList(in, handler);
    }
    case kJobIn: {
      Reader in(body, "JOB_IN");
      Request r;
      r.id = in.U64();
      r.request_class = in.U16();
      r.estimate = in.U32();
      r.give_up_at = ToMicros(in.U64(), "JOB_IN");
      in.U64();  // the key
      const uint8_t marks = in.U8();
      if ((marks & 1) == 0) r.estimate = 0;
      r.client_retry = (marks & 2) != 0;
      r.tenant = in.U16();
      in.ExpectEnd();
      return handler.Job(r);
    }
    case kFirst: {
      Reader in(body, "FIRST");
      RequestId id = in.U64();
      int attempt = in.U16();
      in.U32();
      in.U32();
      in.ExpectEnd();
      return handler.First(id, attempt);
    }
    case kDone: {
      Reader in(body, "DONE");
      AttemptResult r;
      r.id = in.U64();
      r.attempt = in.U16();
      r.closed = in.U8() != 0;
      r.backend = in.U32();
      r.elapsed = in.U32();
      r.outcome = ToOutcome(in.U8(), "DONE");
      ReadLoad(in, load);
      r.load = load;
      in.ExpectEnd();
      return handler.Done(r);
    }
    case kLeft: {
      Reader in(body, "LEFT");
      RequestId id = in.U64();
      in.ExpectEnd();
      return handler.Left(id);
    }
    case kTimeoutFired: {
      Reader in(body, "TIMEOUT_FIRED");
      uint64_t name = in.U64();
      in.ExpectEnd();
      return handler.Timer(name);
    }
    case kProbeDone: {
      Reader in(body, "PROBE_DONE");
      ProbeResult r;
      r.backend = in.U32();
      r.elapsed = in.U32();
      r.ok = ToOutcome(in.U8(), "PROBE_DONE") == Outcome::kOk;
      ReadLoad(in, load);
      r.load = load;
      in.ExpectEnd();
      return handler.Probed(r);
    }
    case kPeer: {
      Reader in(body, "PEER");
      in.U16();
      in.Take(in.U16());
      return in.ExpectEnd();  // no deployment uses messages between balancers: decoded and ignored
    }
    case kDestroy: {
      Reader in(body, "DESTROY");
      in.ExpectEnd();
      return handler.Destroyed();
    }
  }
  throw BadInput("unknown record code " + std::to_string(code));
}

}  // namespace

void DecodeBatch(std::span<const std::byte> frame, Micros& clock, EventHandler& handler) {
  Reader in(frame, "batch");
  clock = ToMicros(in.U64(), "batch");
  std::vector<float> load;
  for (uint32_t n = in.U32(); n > 0; --n) {
    uint16_t code = in.U16();
    ReadEvent(code, in.Take(in.U32()), load, handler);
  }
  in.ExpectEnd();
}

void Reply::Begin() {
  out_.assign(8, std::byte{0});
  count_ = 0;
  instance_ = last_instance_ = -1;
}

std::span<const std::byte> Reply::Finish() {
  auto put_u32 = [this](size_t at, uint32_t value) {
    for (size_t i = 0; i < 4; ++i) out_[at + i] = static_cast<std::byte>(value >> (8 * i) & 0xff);
  };
  put_u32(0, static_cast<uint32_t>(out_.size() - 4));
  put_u32(4, count_);
  return out_;
}

void Reply::Put(uint64_t value, size_t width) {
  for (size_t i = 0; i < width; ++i) out_.push_back(static_cast<std::byte>(value >> (8 * i) & 0xff));
}

void Reply::Record(uint16_t code, uint32_t length) {
  if (instance_ != last_instance_) {
    last_instance_ = instance_;
    Record(1120, 4);
    Put(static_cast<uint64_t>(instance_), 4);
  }
  Put(code, 2);
  Put(length, 4);
  ++count_;
}

namespace {
uint64_t ClampSpan(Micros span) {
  return static_cast<uint64_t>(std::clamp<Micros>(span, 0, int64_t{70} * 60 * 1000000));
}
}  // namespace

void Reply::Send(RequestId id, BackendId backend, Micros timeout) {
  Record(1000, 16);
  Put(id, 8);
  Put(backend, 4);
  Put(std::min<uint64_t>(ClampSpan(timeout), INT32_MAX), 4);
}
void Reply::Refuse(RequestId id, Micros retry_after) {
  Record(1010, 12);
  Put(id, 8);
  Put(ClampSpan(retry_after), 4);
}
void Reply::Fail(RequestId id) {
  Record(1020, 8);
  Put(id, 8);
}
void Reply::Cancel(RequestId id, int attempt) {
  Record(1030, 10);
  Put(id, 8);
  Put(static_cast<uint64_t>(attempt), 2);
}
void Reply::Schedule(Micros delay, uint64_t timer) {
  Record(1040, 12);
  Put(ClampSpan(delay), 4);
  Put(timer, 8);
}
void Reply::Probe(BackendId backend) {
  Record(1050, 4);
  Put(backend, 4);
}
void Reply::Subscribe() {
  Record(1100, 1);
  Put(1, 1);
}

}  // namespace meadowslip::wire
