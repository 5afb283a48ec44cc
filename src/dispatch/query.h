// The interface between a front and the dispatcher: incoming queries, and the sinks for their answers.
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

// Receives the final answer to a query: exactly one call of Serve(), Throttle() or Fail(), unless the client
// left first. The calls must not call back into the dispatcher.
class ResponseSink {
 public:
  virtual void Serve(std::unique_ptr<Payload> answer) = 0;
  virtual void Throttle(Micros retry_after) = 0;  // 0: the client may retry at any time
  virtual void Fail() = 0;
  // Whether the client has left, as far as can be seen, even if Dispatcher::ClientLeft() has not been called
  // yet. No attempt begins then.
  virtual bool MayHaveLeft() const = 0;

 protected:
  ~ResponseSink() = default;
};

// A query as a front submits it.
struct IncomingQuery {
  meadowslip::Request request;  // the dispatcher sets its id
  std::unique_ptr<Payload> payload;
  Labels labels;
  ResponseSink* sink = nullptr;
};

}  // namespace burlfall

#endif  // BURLFALL_DISPATCH_QUERY_H_
