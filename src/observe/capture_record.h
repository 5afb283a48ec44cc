// One record of a capture: an input of the decision module, or one of its decisions. Each kind has one list
// of fields, which both formats (binary in memory, JSON lines) use for reading and writing.
#ifndef BURLFALL_OBSERVE_CAPTURE_RECORD_H_
#define BURLFALL_OBSERVE_CAPTURE_RECORD_H_

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "meadowslip/balancer.h"

namespace burlfall {

// Texts are not owned: they point into the query, the segment or the line that the record was made from.
struct Record {
  enum class Kind : uint8_t {
    kStart,
    kCheckpoint,
    kList,
    kQuery,
    kResult,
    kLeft,
    kTimer,
    kDecision,
    kStream
  };
  enum class Choice : uint8_t { kSend, kRefuse, kFail, kCancel, kAsk };
  struct Server {
    meadowslip::BackendEntry entry;
    std::string_view name;
  };

  Kind kind = Kind::kStart;
  meadowslip::Micros at = 0;
  // Of kStart.
  std::string_view balancer;
  std::string_view version;
  int format = meadowslip::kStateFormat;  // format number of the module's state and decisions
  uint64_t seed = 0;
  std::string_view settings;  // JSON
  // Of kCheckpoint and kList.
  uint64_t list = 0;  // version of the list; of a decision, of the list in force
  meadowslip::ListKind list_kind = meadowslip::ListKind::kFull;
  std::vector<Server> servers;  // of a checkpoint: all names known so far
  std::string_view state;
  // Of kQuery and kDecision. In memory, a name is empty if the settings have it at its number.
  meadowslip::Request request;
  std::string_view trace;
  std::string_view class_name;
  std::string_view tenant;
  meadowslip::AttemptResult result;
  uint64_t timer = 0;
  // Of kDecision; the query's id is in `request`, the attempt in `result`.
  Choice choice = Choice::kSend;
  meadowslip::BackendId backend = 0;
  std::string_view backend_name;  // name of the chosen server
  meadowslip::Micros span = 0;    // time-out of a send, or time to stay away of a refusal
};

// Thrown for a line that is not a valid record.
class BadRecord : public std::runtime_error {
 public:
  enum class Why {
    kField,  // a field is missing, malformed or out of range
    kKind,   // the kind is missing or unknown to this version
    kEvent,  // the line is a JSON event of the log
    kJson,   // the line is not complete JSON; it may be truncated
  };
  explicit BadRecord(const std::string& what, Why reason = Why::kField)
      : std::runtime_error(what), why(reason) {}
  const Why why;
};

// Appends a record in the binary format. Its time is stored relative to `last_at`,
// which is updated.
void AppendBytes(std::string& out, meadowslip::Micros& last_at, const Record& record);
// Reads the next record and removes it from the front of `in`. The input is trusted: AppendBytes wrote it.
Record TakeBytes(std::string_view& in, meadowslip::Micros& last_at);

// Appends a record as one JSON line. Empty names are filled in from the settings.
void AppendJson(std::string& out, Record record, const meadowslip::Settings& settings);

// Parses JSON lines. A record is valid until the next call of Read().
class RecordReader {
 public:
  RecordReader();
  ~RecordReader();
  Record Read(std::string_view line);  // throws BadRecord

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace burlfall

#endif  // BURLFALL_OBSERVE_CAPTURE_RECORD_H_
