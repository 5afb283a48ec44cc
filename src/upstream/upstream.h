// How attempts go out: one exchange with one server, whatever the protocol.
#ifndef BURLFALL_UPSTREAM_UPSTREAM_H_
#define BURLFALL_UPSTREAM_UPSTREAM_H_

#include <memory>

#include "codec/payload.h"
#include "io/task.h"
#include "io/time.h"
#include "meadowslip/balancer.h"

namespace burlfall {

struct ServerAnswer {
  meadowslip::Outcome outcome = meadowslip::Outcome::kMoot;
  std::unique_ptr<Payload> payload;  // of an outcome that is kOk
};

class Upstream {
 public:
  virtual ~Upstream() = default;
  // Whether the server can be named at all; one that can't gets nothing.
  virtual bool Knows(meadowslip::BackendId id) const = 0;
  // Sends the query to a server that it knows, and waits for the answer until then. Never sends it a second
  // time. What is not whole on its way by `whole_by` never will be: the server does not have it. Destroying
  // the task ends the attempt, and closes its link.
  virtual Task<ServerAnswer> Exchange(meadowslip::BackendId to, const Payload& query, Micros until,
                                      Micros whole_by) = 0;
};

}  // namespace burlfall

#endif  // BURLFALL_UPSTREAM_UPSTREAM_H_
