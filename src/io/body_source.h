// The part of a message body that has not arrived yet. The reader of the message provides it, and the sender
// that forwards the message consumes it.
#ifndef BURLFALL_IO_BODY_SOURCE_H_
#define BURLFALL_IO_BODY_SOURCE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "io/scheduler.h"

namespace burlfall {

class BodySource {
 public:
  enum class Next {
    kSome,
    kLater,   // nothing available now: wait on signal()
    kDone,    // the body is complete; every later call returns this again
    kBroken,  // the rest will never arrive
  };

  virtual ~BodySource() = default;
  // Appends what has arrived so far, up to a bounded size. Between calls no more is read from the connection
  // than a bounded buffer holds.
  virtual Next Take(std::string& into) = 0;
  virtual Signal& signal() = 0;
  // For the body of a query, valid after kDone: the time until which the client waits for the answer.
  virtual Micros ResponseDeadline() const { return kNever; }
  // Length in bytes of the whole body, including what has already been read; nothing if not known in advance.
  std::optional<size_t> length;
};

}  // namespace burlfall

#endif  // BURLFALL_IO_BODY_SOURCE_H_
