// A query on its way: from its last byte to its final answer and the end of its last attempt.
#ifndef BURLFALL_DISPATCH_QUERY_H_
#define BURLFALL_DISPATCH_QUERY_H_

#include <memory>
#include <vector>

#include "codec/payload.h"
#include "io/task.h"
#include "io/time.h"
#include "meadowslip/balancer.h"
#include "observe/labels.h"

namespace burlfall {

// Who asked, and waits. Told exactly one of these, unless it left first. It must not come back to the
// dispatcher from inside.
class Asker {
 public:
  virtual void Serve(const Payload& answer) = 0;
  virtual void Throttle(Micros retry_after) = 0;  // 0: it may come back at any time
  virtual void Fail() = 0;
  // Word has come that it left, also where it has not said so yet.
  virtual bool Gone() const = 0;

 protected:
  ~Asker() = default;
};

// What a front hands over.
struct Asked {
  meadowslip::Request request;  // its id is the dispatcher's to give
  std::unique_ptr<Payload> payload;
  Labels labels;
  Asker* asker = nullptr;
};

}  // namespace burlfall

#endif  // BURLFALL_DISPATCH_QUERY_H_
