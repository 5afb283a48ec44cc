// Any bytes as a frame of the council's: a message or a reason, and a message that is read is written back as
// the same. The checksum is made right first, or nothing would get past it; and what was read goes to a core,
// and to one that follows.
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
  const uint64_t sum = XXH3_64bits(body.data(), body.size());
  for (int byte = 0; byte < 8; ++byte) frame += static_cast<char>(sum >> (8 * byte) & 0xff);
  const DecodeResult read = Decode(frame + body, "s");
  if (!read.message) {
    if (*read.error == '\0') std::abort();
    return 0;
  }
  const DecodeResult again = Decode(Encode(*read.message, "s"), "s");
  if (!again.message || !(*again.message == *read.message)) std::abort();
  const Voter self{{"me", 7}, "a:1"}, other{{"b", 2}, "b:1"}, third{{"c", 3}, "c:1"};
  PersistentState stored;
  stored.term = 1;
  stored.snapshot.voters = {self, other, third};
  for (const bool leads : {false, true}) {
    Core core({self.id, {}, 1, 0});
    core.Begin(0, stored, true);
    burlfall::Micros now = 0;
    const auto flush = [&] {
      for (const DiskWrite& write : core.TakeWrites()) core.OnWritten(now, write.number, true);
    };
    if (leads) {
      now = core.next_at();
      core.Tick(now);
      for (const auto kind : {Message::Kind::kPreVoteResponse, Message::Kind::kVoteResponse}) {
        Message yes;
        yes.kind = kind;
        yes.from = other.id;
        yes.to = self.id;
        yes.term = 2;
        yes.accepted = true;
        core.OnMessage(now, yes);
        flush();
      }
      core.Propose(now, "x");
    }
    if (const auto* ask = std::get_if<FollowRequest>(&*read.message)) core.HandleFollowRequest(now, *ask);
    if (const auto* message = std::get_if<Message>(&*read.message)) {
      Message heard = *message;
      heard.to = self.id;
      for (int times = 0; times < 2; ++times) {
        core.OnMessage(now, heard);
        flush();
      }
      heard.from = other.id;
      core.OnMessage(now, heard);
      flush();
    }
    core.Tick(now + burlfall::kSecond);
    flush();
    if (core.commit() > core.last_index()) std::abort();
    for (const Outgoing& one : core.TakeMessages()) {
      if (Encode(one.message, "s").size() > kMaxFrameBytes) std::abort();
    }
  }
  if (const auto* answer = std::get_if<FollowResponse>(&*read.message)) {
    Follower follower({}, "f", {"a:1"}, 1);
    follower.Begin(0);
    follower.Tick(0);
    FollowResponse heard = *answer;
    heard.number = follower.TakeRequests().at(0).request.number;
    follower.OnResponse(1, heard);
    follower.Tick(burlfall::kSecond);
  }
  return 0;
}
