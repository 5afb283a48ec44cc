// Judges whether a request is one that the platform's protocol allows. A request that is not sound is
// answered with an error and reaches neither the decision module nor a node: served, it would look as if it
// had been sound. What the protocol leaves open is allowed. No I/O.
#ifndef BURLFALL_FRONT_REQUEST_CHECK_H_
#define BURLFALL_FRONT_REQUEST_CHECK_H_

#include <optional>
#include <string_view>

#include "codec/http.h"
#include "io/time.h"
#include "meadowslip/balancer.h"

namespace burlfall {

enum class RequestFault {
  kNone,
  kNoId,
  kRepeatedHeader,  // an id, deadline, key or tenant that stands there twice
  kBadDeadline,
  kWrongMethod,
  kMissingKey,
  kUnexpectedBody,
};

// The first fault of a request; kNone: it is sound. `request_class` is nullptr if the request names no class
// of the settings, whose method and key are then not judged. `has_body`: it has at least one byte of a body.
RequestFault FindFault(const HttpMessage& request, const meadowslip::RequestClass* request_class,
                       bool has_body);

// The HTTP status of the answer to a request with this fault.
int StatusOf(RequestFault fault);

// Parses a deadline in microseconds: a number that is not negative, and a unit, as in "480m" (milliseconds)
// or "1500u" (microseconds). At most an hour; nullopt for anything else.
std::optional<Micros> ParseDeadline(std::string_view text);

}  // namespace burlfall

#endif  // BURLFALL_FRONT_REQUEST_CHECK_H_
