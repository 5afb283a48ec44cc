// The protocol-specific content of a query or of an answer. The code in between passes it on without knowing
// the protocol: only the front that creates a query and the upstream that sends it interpret it.
#ifndef BURLFALL_CODEC_PAYLOAD_H_
#define BURLFALL_CODEC_PAYLOAD_H_

#include <memory>

namespace burlfall {

class Payload {
 public:
  virtual ~Payload() = default;
  virtual bool Consumed() const { return false; }  // true once part of it is used up: it can't be sent again
  std::shared_ptr<const void> memory;  // reservation of the memory that the content takes, returned with it
  bool closed = false;  // the query needs no answer any more: an attempt not yet fully sent may be dropped
};

}  // namespace burlfall

#endif  // BURLFALL_CODEC_PAYLOAD_H_
