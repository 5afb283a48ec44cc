// One call at the second address, as it is read and answered. No I/O.
#ifndef BURLFALL_CONTROL_CONTROL_CALL_H_
#define BURLFALL_CONTROL_CONTROL_CALL_H_

#include <optional>
#include <string>

#include "codec/http.h"
#include "control/operations.h"

namespace burlfall {

// The whole answer to a call that was read whole; the connection closes after it.
std::string AnswerCall(const HttpMessage& call, Operations& operations);
// What a call that was read whole would change; nothing where it changes nothing, or can't be carried out as
// it is written.
std::optional<ChangeCall> ChangeOf(const HttpMessage& call);
// The answer to one that was refused: 409, with when to ask again.
std::string AnswerRefused(const Leave& leave);
// The answer to what is no whole call: 400, 408, 413 or 431.
std::string AnswerBad(int status);

}  // namespace burlfall

#endif  // BURLFALL_CONTROL_CONTROL_CALL_H_
