// Decodes arbitrary bytes as a frame of the membership protocol. Each gives a message or a reason, and a
// decoded message must survive encoding and decoding. The checksum is computed here, else nearly every input
// would fail on it. A decoded message also goes to a failure detector, whose datagrams must stay within their
// size limit.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>
#include <cstdlib>
#include <string>

#include "cluster/failure_detector.h"
#include "cluster/wire.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burlfall::cluster;
  const std::string body(reinterpret_cast<const char*>(data), size);
  std::string frame = "bfc";
  frame += static_cast<char>(kWireVersion);
  const uint64_t sum = XXH3_64bits(body.data(), body.size());
  for (int byte = 0; byte < 8; ++byte) frame += static_cast<char>(sum >> (8 * byte) & 0xff);
  const DecodedMessage read = Decode(frame + body, "s");
  if (!read.message) {
    if (*read.why == '\0') std::abort();
    return 0;
  }
  const DecodedMessage again = Decode(Encode(*read.message, "s"), "s");
  if (!again.message || !(*again.message == *read.message)) std::abort();
  FailureDetector detector({}, {"me", "a:1", {5, 0}}, {}, 1);
  detector.Start(burlfall::kSecond);
  detector.OnMessage(burlfall::kSecond, *read.message);
  detector.AnswerCall(burlfall::kSecond, *read.message);
  detector.Tick(20 * burlfall::kSecond);
  for (const Outgoing& out : detector.TakeOutgoing()) {
    if (Encode(out.message, "s").size() > kMaxDatagramBytes) std::abort();
  }
  return 0;
}
