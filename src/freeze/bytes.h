// The parts that several of this room's forms of bytes share.
#ifndef BURLFALL_FREEZE_BYTES_H_
#define BURLFALL_FREEZE_BYTES_H_

#include "freeze/freeze.h"
#include "owner/bytes.h"

namespace burlfall::freeze {

void Put(owner::Writer& to, const Scope& scope);
Scope TakeScope(owner::Reader& from);
void Put(owner::Writer& to, const Who& who);
Who TakeWho(owner::Reader& from);
void Put(owner::Writer& to, const Rules& rules);
Rules TakeRules(owner::Reader& from);

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_BYTES_H_
