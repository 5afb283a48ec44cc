// Encoding and decoding of the types that several serialized forms of this module share.
#ifndef BURLFALL_FREEZE_BYTES_H_
#define BURLFALL_FREEZE_BYTES_H_

#include "freeze/freeze.h"
#include "owner/bytes.h"

namespace burlfall::freeze {

void Put(owner::Writer& to, const Scope& scope);
Scope ReadScope(owner::Reader& from);
void Put(owner::Writer& to, const ProcessId& who);
ProcessId ReadProcessId(owner::Reader& from);
void Put(owner::Writer& to, const Rules& rules);
Rules ReadRules(owner::Reader& from);

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_BYTES_H_
