// What members say to one another beside the log's own messages: who they are, proposals to the leader,
// reads, acts under an epoch, and operators' calls. A frame is "bfn", the version of the format, a checksum
// of the body (XXH3, 64 bits, the low byte first), and the body, one MessagePack array that begins with the
// site's name.
#ifndef BURLFALL_COUNCIL_MEMBER_MESSAGE_H_
#define BURLFALL_COUNCIL_MEMBER_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "owner/errors.h"

namespace burlfall::council {

constexpr size_t kLongestData = 300 * 1024;  // bytes
constexpr size_t kLongestText = 512;

// Fields that a kind doesn't name are 0 or empty.
struct Word {
  enum class Kind : uint8_t {
    kHello,      // name, disk, index: the last of its log; epoch: its term; address: where it is reached
    kHelloBack,  // likewise; error: kVoterUnknown to one whose disk is older than what it promised
    kPropose,    // number, data: an entry's; 0: no answer is wanted
    kProposed,   // number, error, index; address: of the leader, with kNotLeader
    kRead,       // number, work: its epoch
    kReadBack,   // number, error, index, work, epoch; address as above
    kAct,        // work, epoch, number, name: the owner; data: what it does; disk 1: passed on by a voter
    kActBack,    // work, epoch, number, error, index: the highest that was obeyed; name: whose word it is
    kCall,       // number, data: an operator's words, for the leader
    kCallBack,   // number, error, data; address as above
  };
  Kind kind = Kind::kHello;
  uint64_t number = 0;
  std::string name = {};
  uint64_t disk = 0;
  uint64_t index = 0;
  uint64_t epoch = 0;
  owner::Error error = owner::Error::kNone;
  std::string address = {};
  std::string work = {};
  std::string data = {};
  bool operator==(const Word&) const = default;
};

std::string Write(const Word& word, std::string_view site);

struct ReadWord {
  std::optional<Word> word;
  // Where there is none: "another version", "damaged", "another site", "malformed".
  const char* why = "";
};
ReadWord Read(std::string_view frame, std::string_view site);
bool IsWord(std::string_view frame);  // of this kind, as far as its first bytes say

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_MEMBER_MESSAGE_H_
