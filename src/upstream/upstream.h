// The interface through which attempts are made: one exchange with one server, independent of the protocol.
#ifndef BURLFALL_UPSTREAM_UPSTREAM_H_
#define BURLFALL_UPSTREAM_UPSTREAM_H_

#include <memory>

#include "codec/payload.h"
#include "io/task.h"
#include "io/time.h"
#include "meadowslip/balancer.h"

namespace burlfall {

// The result of an attempt.
struct ServerAnswer {
  meadowslip::Outcome outcome = meadowslip::Outcome::kMoot;
  std::unique_ptr<Payload> payload;  // set if the outcome is kOk
};

class Upstream {
 public:
  virtual ~Upstream() = default;
  // Whether the server is known; an unknown one is sent nothing.
  virtual bool Knows(meadowslip::BackendId id) const = 0;
  // Sends the query to a known server and waits for the answer until `until`. Never sends it twice. A query
  // not completely written by `send_by` is abandoned, so that the server never has all of it. Destroying the
  // task ends the attempt and closes its link.
  virtual Task<ServerAnswer> Exchange(meadowslip::BackendId to, const Payload& query, Micros until,
                                      Micros send_by) = 0;
};

}  // namespace burlfall

#endif  // BURLFALL_UPSTREAM_UPSTREAM_H_
