// Decodes arbitrary bytes as the body of a frame. The result must be a message or an error, and a decoded
// message must survive another encoding and decoding. The frame gets a correct checksum, as the decoder would
// otherwise reject almost every input. The message is then delivered to a core and to a follower: the core's
// commit index must stay within its log, and its messages within the frame limit.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <variant>

#include "consensus/core.h"
#include "consensus/wire.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burlfall::consensus;
  const std::string body(reinterpret_cast<const char*>(data), size);
  std::string frame = "bfl";
  frame += static_cast<char>(kWireVersion);
  const uint64_t checksum = XXH3_64bits(body.data(), body.size());
  for (int byte = 0; byte < 8; ++byte) frame += static_cast<char>(checksum >> (8 * byte) & 0xff);
  const DecodeResult result = Decode(frame + body, "s");
  if (!result.message) {
    if (*result.error == '\0') std::abort();
    return 0;
  }
  const DecodeResult again = Decode(Encode(*result.message, "s"), "s");
  if (!again.message || !(*again.message == *result.message)) std::abort();
  const Voter self{{"me", 7}, "a:1"}, other{{"b", 2}, "b:1"}, third{{"c", 3}, "c:1"};
  PersistentState stored;
  stored.term = 1;
  stored.snapshot.voters = {self, other, third};
  for (const bool leading : {false, true}) {
    Core core({self.id, {}, 1, 0});
    core.Begin(0, stored, true);
    burlfall::Micros now = 0;
    const auto flush = [&] {
      for (const DiskWrite& write : core.TakeWrites()) core.OnWritten(now, write.number, true);
    };
    if (leading) {
      now = core.next_at();
      core.Tick(now);
      for (const auto kind : {Message::Kind::kPreVoteResponse, Message::Kind::kVoteResponse}) {
        Message grant;
        grant.kind = kind;
        grant.from = other.id;
        grant.to = self.id;
        grant.term = 2;
        grant.accepted = true;
        core.OnMessage(now, grant);
        flush();
      }
      core.Propose(now, "x");
    }
    if (const auto* request = std::get_if<FollowRequest>(&*result.message))
      core.HandleFollowRequest(now, *request);
    if (const auto* message = std::get_if<Message>(&*result.message)) {
      Message received = *message;
      received.to = self.id;
      for (int times = 0; times < 2; ++times) {
        core.OnMessage(now, received);
        flush();
      }
      received.from = other.id;
      core.OnMessage(now, received);
      flush();
    }
    core.Tick(now + burlfall::kSecond);
    flush();
    if (core.commit() > core.last_index()) std::abort();
    for (const Outgoing& one : core.TakeMessages()) {
      if (Encode(one.message, "s").size() > kMaxFrameBytes) std::abort();
    }
  }
  if (const auto* response = std::get_if<FollowResponse>(&*result.message)) {
    Follower follower({}, "f", {"a:1"}, 1);
    follower.Begin(0);
    follower.Tick(0);
    FollowResponse received = *response;
    received.number = follower.TakeRequests().at(0).request.number;
    follower.OnResponse(1, received);
    follower.Tick(burlfall::kSecond);
  }
  return 0;
}
