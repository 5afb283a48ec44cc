// Parses and answers one call at the control address. Performs no I/O.
#ifndef BURLFALL_CONTROL_CONTROL_CALL_H_
#define BURLFALL_CONTROL_CONTROL_CALL_H_

#include <optional>
#include <string>

#include "codec/http.h"
#include "control/operations.h"

namespace burlfall {

// Returns the complete response to a complete call; the connection closes after it.
std::string AnswerCall(const HttpMessage& call, Operations& operations);
// Returns the change that a complete call requests; nullopt if it changes nothing or can't be carried out as
// written.
std::optional<ChangeCall> ParseChange(const HttpMessage& call);
// Response to a refused change: 409, with Retry-After if a time is known.
std::string RefusalAnswer(const ChangePermission& permission);
// Response to an incomplete or invalid call: 400, 408, 413 or 431.
std::string ErrorAnswer(int status);

}  // namespace burlfall

#endif  // BURLFALL_CONTROL_CONTROL_CALL_H_
