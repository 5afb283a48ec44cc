// Messages between members besides those of the consensus protocol: introductions, proposals to the leader,
// reads, actions under an epoch, and operators' calls. A frame is "bfn", one byte for the version of the
// format, a checksum of the body (XXH3, 64 bits, the low byte first), and the body: one MessagePack array
// that begins with the site's name.
#ifndef BURLFALL_COUNCIL_MEMBER_MESSAGE_H_
#define BURLFALL_COUNCIL_MEMBER_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "owner/errors.h"

namespace burlfall::council {

constexpr size_t kMaxDataBytes = 300 * 1024;
constexpr size_t kMaxTextBytes = 512;  // of each field but `data`

// Fields that a kind doesn't name are 0 or empty. `number` identifies a request; its reply carries the same.
struct MemberMessage {
  enum class Kind : uint8_t {
    kHello,         // name, disk, index: last of its log, epoch: its term, address: its own
    kHelloReply,    // likewise; error: kVoterUnknown if the other's disk is older than what it acknowledged
    kPropose,       // number (0: no reply is wanted), data: of the log entry
    kProposeReply,  // number, error, index; address: of the leader, with kNotLeader
    kRead,          // number, owned_task: the task whose epoch is read
    kReadReply,     // number, error, index, owned_task, epoch; address as above
    kAction,  // owned_task, epoch, number, name: the owner, data: the action, disk 1: forwarded by a voter
    kActionReply,   // owned_task, epoch, number, error, index: highest accepted epoch, name: of the sender
    kOperatorCall,  // number, data: the operator's command for the leader
    kOperatorCallReply,  // number, error, data; address as above
  };
  Kind kind = Kind::kHello;
  uint64_t number = 0;
  std::string name = {};
  uint64_t disk = 0;
  uint64_t index = 0;
  uint64_t epoch = 0;
  owner::Error error = owner::Error::kNone;
  std::string address = {};
  std::string owned_task = {};
  std::string data = {};
  bool operator==(const MemberMessage&) const = default;
};

std::string EncodeMessage(const MemberMessage& message, std::string_view site);

// Result of DecodeMessage().
struct DecodedMessage {
  std::optional<MemberMessage> message;
  // If there is no message: "another version", "damaged", "another site" or "malformed".
  const char* error_text = "";
};
DecodedMessage DecodeMessage(std::string_view frame, std::string_view site);
// Whether the frame begins as a member message does; other frames are consensus messages.
bool IsMemberMessage(std::string_view frame);

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_WORD_H_
